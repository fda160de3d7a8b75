// Sockets, HTTP messages and the record, as the stand-ins of the review use them.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace review {

/// Unix time in microseconds, from the system's clock.
inline int64_t now_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Milliseconds since the case began, for the record. The driver sets the start before it starts a child.
inline int64_t& case_start_us() {
  static int64_t start = now_us();
  return start;
}
inline double case_ms(int64_t at_us) { return static_cast<double>(at_us - case_start_us()) / 1000.0; }

/// The record of a case. Each line is one write to a file opened for appending, so that lines of several
/// processes don't mix.
class Record {
 public:
  explicit Record(const std::string& path)
      : fd_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {}
  void line(const std::string& who, const std::string& text) const {
    char head[64];
    std::snprintf(head, sizeof(head), "%10.1f ms  %-10s ", case_ms(now_us()), who.c_str());
    const std::string out = head + text + "\n";
    if (::write(fd_, out.data(), out.size()) < 0) std::perror("record");
  }

 private:
  int fd_;
};

[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "the case can't run: %s\n", why.c_str());
  std::exit(2);
}

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

/// Listens on a free loopback port.
inline int listen_anywhere() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = loopback(0);
  if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(fd, 512) != 0)
    cannot_run("no socket to listen on");
  return fd;
}

/// A loopback port that was free a moment ago.
inline int free_port() {
  const int fd = listen_anywhere();
  const int port = port_of(fd);
  ::close(fd);
  return port;
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

/// A connected blocking socket, or -1.
inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  const int on = 1;
  if (fd < 0) return -1;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(fd);
    return -1;
  }
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

/// Writes all bytes to a socket, waiting for room for at most 2 s. Returns false if the connection is broken.
inline bool write_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (written > 0) {
      bytes.remove_prefix(static_cast<size_t>(written));
      continue;
    }
    if (written < 0 && errno == EINTR) continue;
    if (written < 0 && errno != EAGAIN) return false;
    pollfd waiting{fd, POLLOUT, 0};
    if (::poll(&waiting, 1, 2000) <= 0) return false;
  }
  return true;
}

/// An HTTP message; the names of its fields are in lower case.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
  /// Of an answer; 0 if there is none.
  int status() const { return start_line.size() > 9 ? std::atoi(start_line.c_str() + 9) : 0; }
};

/// Takes one whole message with Content-Length, or without content, from the front of a buffer.
inline std::optional<Message> take_message(std::string& buffer) {
  const size_t head_end = buffer.find("\r\n\r\n");
  if (head_end == std::string::npos) return std::nullopt;
  Message message;
  size_t at = buffer.find("\r\n");
  message.start_line = buffer.substr(0, at);
  while (at < head_end) {
    const size_t begin = at + 2;
    at = buffer.find("\r\n", begin);
    const std::string line = buffer.substr(begin, at - begin);
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
  if (buffer.size() < head_end + 4 + length) return std::nullopt;
  message.body = buffer.substr(head_end + 4, length);
  buffer.erase(0, head_end + 4 + length);
  return message;
}

}  // namespace review
