// Sockets on loopback addresses and HTTP/1.1 messages on them.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "record.h"

namespace review {

inline sockaddr_in loopback_address(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

// Listens; port 0 chooses a free one. Returns -1 on failure.
inline int listen_on(const std::string& host, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = loopback_address(host, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline void no_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Resets the connection when the socket is closed.
inline void reset_on_close(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

inline int connect_to(const std::string& host, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const sockaddr_in address = loopback_address(host, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  no_delay(fd);
  return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

struct Message {
  std::string start;  // the request line or the status line
  std::map<std::string, std::string> fields;
  std::string body;

  int status() const { return start.size() >= 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const size_t first = start.find(' ');
    const size_t last = start.rfind(' ');
    return first == std::string::npos || first == last ? "" : start.substr(first + 1, last - first - 1);
  }
  std::string field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
};

enum class ReadResult { kMessage, kEnd, kReset, kTimeout, kBad };

// Reads the messages of one connection, one after the other. Bodies have a Content-Length.
class MessageReader {
 public:
  explicit MessageReader(int fd) : fd_(fd) {}

  ReadResult read(Message& out, double until_s) {
    while (true) {
      const std::optional<ReadResult> parsed = parse(out);
      if (parsed) return *parsed;
      pollfd waiting{fd_, POLLIN, 0};
      const double left_s = until_s - now_s();
      const int ready = poll(&waiting, 1, left_s <= 0 ? 0 : static_cast<int>(left_s * 1000) + 1);
      if (ready < 0 && errno == EINTR) continue;
      if (ready <= 0) return ReadResult::kTimeout;
      char bytes[16384];
      const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return ReadResult::kReset;
      if (n == 0) return ReadResult::kEnd;
      buffer_.append(bytes, static_cast<size_t>(n));
    }
  }
  size_t buffered() const { return buffer_.size(); }

 private:
  std::optional<ReadResult> parse(Message& out) {
    const size_t head_end = buffer_.find("\r\n\r\n");
    if (head_end == std::string::npos) return std::nullopt;
    Message message;
    size_t at = buffer_.find("\r\n");
    message.start = buffer_.substr(0, at);
    while (at < head_end) {
      const size_t next = buffer_.find("\r\n", at + 2);
      const std::string line = buffer_.substr(at + 2, next - at - 2);
      at = next;
      const size_t colon = line.find(':');
      if (colon == std::string::npos) return ReadResult::kBad;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      const size_t value = line.find_first_not_of(" \t", colon + 1);
      message.fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    const std::string length_text = message.field("content-length");
    const size_t length = length_text.empty() ? 0 : std::strtoul(length_text.c_str(), nullptr, 10);
    if (buffer_.size() < head_end + 4 + length) return std::nullopt;
    message.body = buffer_.substr(head_end + 4, length);
    buffer_.erase(0, head_end + 4 + length);
    out = std::move(message);
    return ReadResult::kMessage;
  }

  const int fd_;
  std::string buffer_;
};

}  // namespace review
