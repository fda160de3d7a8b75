// A client: POST with the fields of the protocol page, one connection for its calls.
#pragma once

#include <string>

#include "net.h"

namespace review {

/// The 16 hex digits of a request's id.
inline std::string request_id(uint64_t number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(number));
  return id;
}

inline std::string request_bytes(const std::string& id, const std::string& cls, int timeout_ms,
                                 const std::string& tag) {
  const std::string statement =
      "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '" + tag + "' GROUP BY day";
  return "POST /v1/" + cls + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: " + id +
         "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) +
         "\r\nContent-Length: " + std::to_string(statement.size()) + "\r\n\r\n" + statement;
}

class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { disconnect(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool connect() {
    if (fd_ < 0) fd_ = connect_to(port_);
    return fd_ >= 0;
  }
  void disconnect() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
    input_.clear();
  }
  bool send(const std::string& bytes) { return connect() && write_all(fd_, bytes); }

  /// Waits for one answer until the given time. None if the connection ended or the time is over.
  std::optional<Message> receive(int64_t until_us) {
    for (;;) {
      if (std::optional<Message> answer = take_message(input_)) return answer;
      const int64_t left_us = until_us - now_us();
      pollfd waiting{fd_, POLLIN, 0};
      if (fd_ < 0 || left_us <= 0) return std::nullopt;
      if (::poll(&waiting, 1, static_cast<int>(left_us / 1000 + 1)) <= 0) continue;
      char bytes[16384];
      const ssize_t got = ::recv(fd_, bytes, sizeof(bytes), 0);
      if (got <= 0) {
        ended_ = true;
        return std::nullopt;
      }
      input_.append(bytes, static_cast<size_t>(got));
    }
  }
  /// Whether the gateway has ended the connection, as seen by the last receive().
  bool has_ended() const { return ended_; }

 private:
  int port_;
  int fd_ = -1;
  bool ended_ = false;
  std::string input_;
};

}  // namespace review
