// A warehouse node: HTTP/1.1 as the protocol page has it. One thread that waits for its sockets and serves
// those that are readable in the order in which they were accepted.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "net.h"

namespace review {

struct NodeOptions {
  std::string name;
  int listen_fd = -1;
  int64_t service_us = 20'000;  // mean; each statement takes from half to one and a half times as long
  /// If over 0: a good answer is followed by a second copy of itself after this time.
  int64_t second_copy_after_us = 0;
  int second_copy_every = 1;  // for one good answer out of so many
};

class Node {
 public:
  Node(NodeOptions options, const Record& record) : options_(std::move(options)), record_(record) {}

  [[noreturn]] void run() {
    for (;;) {
      std::vector<pollfd> waiting;
      waiting.reserve(connections_.size() + 1);
      for (const Connection& connection : connections_) waiting.push_back({connection.fd, POLLIN, 0});
      waiting.push_back({options_.listen_fd, POLLIN, 0});
      ::poll(waiting.data(), waiting.size(), kTickMs);
      for (size_t i = 0; i < connections_.size(); ++i)
        if (waiting[i].revents != 0) read(connections_[i]);
      if (waiting.back().revents != 0) accept_all();
      keep_time();
      std::erase_if(connections_, [](const Connection& connection) {
        if (connection.closed) ::close(connection.fd);
        return connection.closed;
      });
    }
  }

 private:
  static constexpr int kTickMs = 1;
  static constexpr int64_t kHoldUs = 250'000;
  static constexpr int64_t kUnaskedUs = 2'000'000;

  struct Connection {
    int fd = -1;
    std::string input;
    bool closed = false;
  };
  struct Query {
    std::string rows;
    int64_t ends_at = 0;
    int64_t asked_at = 0;
    bool ended = false;
    int held_by = -1;  // descriptor of the connection whose call waits for news
    int64_t held_until = 0;
  };
  struct Copy {
    int fd = -1;
    int64_t due = 0;
    std::string bytes;
  };

  void accept_all() {
    for (;;) {
      const int fd = ::accept4(options_.listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      connections_.push_back({fd, {}, false});
    }
  }

  void read(Connection& connection) {
    char bytes[16384];
    for (;;) {
      const ssize_t got = ::recv(connection.fd, bytes, sizeof(bytes), 0);
      if (got > 0) {
        connection.input.append(bytes, static_cast<size_t>(got));
        continue;
      }
      if (got < 0 && errno == EINTR) continue;
      const bool broken = got == 0 || errno != EAGAIN;
      while (const std::optional<Message> call = take_message(connection.input)) serve(connection.fd, *call);
      if (broken) drop(connection);
      return;
    }
  }

  void drop(Connection& connection) {
    connection.closed = true;
    std::erase_if(copies_, [&](const Copy& copy) { return copy.fd == connection.fd; });
    for (auto& [id, query] : queries_)
      if (query.held_by == connection.fd) query.held_by = -1;
  }

  void serve(int fd, const Message& call) {
    const std::string& line = call.start_line;
    const std::string method = line.substr(0, line.find(' '));
    if (method == "POST") {
      start(fd, call);
      return;
    }
    const size_t id_at = line.find("/v2/q/") + 6;
    const std::string id = line.substr(id_at, line.find_first_of("/ ", id_at) - id_at);
    const auto found = queries_.find(id);
    if (found == queries_.end()) {
      record_.line(options_.name, method + " " + id + " answered 500, not known");
      answer(fd, "500 Error", "", "");
      return;
    }
    if (method == "DELETE") {
      if (!found->second.ended) record_.line(options_.name, "given up " + id);
      queries_.erase(found);
      answer(fd, "204 Done", "", "");
      return;
    }
    ask(fd, found->second);
  }

  void start(int fd, const Message& call) {
    const std::string id = call.field("x-ticket");
    const auto found = queries_.find(id);
    if (found == queries_.end() || found->second.ended) {
      record_.line(options_.name, "started " + id);
      Query query;
      query.rows = tag_of(call.body) + "\t" + options_.name + "\t" + id + "\n";
      query.ends_at = now_us() + service_us_of(id);
      queries_[id] = query;
    }
    ask(fd, queries_[id]);
  }

  // From half the mean to one and a half times it, by the id.
  int64_t service_us_of(const std::string& id) const {
    const auto part = static_cast<int64_t>(std::hash<std::string>()(id) % 1000);
    return options_.service_us / 2 + options_.service_us * part / 1000;
  }

  // The tag within the statement, which stands in each row of the result.
  static std::string tag_of(const std::string& statement) {
    const size_t from = statement.find('\'') + 1;
    return statement.substr(from, statement.find('\'', from) - from);
  }

  void ask(int fd, Query& query) {
    query.asked_at = now_us();
    query.held_by = fd;
    query.held_until = query.asked_at + kHoldUs;
    if (query.ended) tell(query);
  }

  // Answers the call that waits for news of the query.
  void tell(Query& query) {
    const int fd = std::exchange(query.held_by, -1);
    if (fd < 0) return;
    query.asked_at = now_us();
    if (!query.ended) {
      answer(fd, "202 Running", "", "");
      return;
    }
    const std::string bytes = answer(
        fd, "200 OK", "Page-Count: 1\r\nWork-Ms: " + std::to_string(options_.service_us / 1000) + "\r\n",
        query.rows);
    const bool doubled =
        options_.second_copy_after_us > 0 && ++good_answers_ % options_.second_copy_every == 0;
    if (doubled) copies_.push_back({fd, now_us() + options_.second_copy_after_us, bytes});
  }

  void keep_time() {
    const int64_t now = now_us();
    for (auto& [id, query] : queries_) {
      if (!query.ended && now >= query.ends_at) {
        query.ended = true;
        record_.line(options_.name, "ended " + id);
      }
      if (query.ended || now >= query.held_until) tell(query);
    }
    std::erase_if(queries_, [&](const auto& item) {
      const Query& query = item.second;
      const bool let_go = query.held_by < 0 && now - query.asked_at > kUnaskedUs;
      if (let_go && !query.ended) record_.line(options_.name, "let go " + item.first);
      return let_go;
    });
    for (const Copy& copy : copies_)
      if (now >= copy.due) {
        record_.line(options_.name, "second copy of an answer written");
        write_all(copy.fd, copy.bytes);
      }
    std::erase_if(copies_, [&](const Copy& copy) { return now >= copy.due; });
  }

  static std::string answer(int fd, const std::string& status, const std::string& fields,
                            const std::string& body) {
    const std::string length =
        status.starts_with("204") ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string bytes = "HTTP/1.1 " + status + "\r\n" + fields + length + "\r\n" + body;
    write_all(fd, bytes);
    return bytes;
  }

  const NodeOptions options_;
  const Record& record_;
  std::vector<Connection> connections_;
  std::map<std::string, Query> queries_;
  std::vector<Copy> copies_;
  int good_answers_ = 0;
};

}  // namespace review
