// A small deployment: two nodes, a change log and a gateway, each a process of its own.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "client.h"
#include "node.h"
#include "platform.h"

namespace review {

class Deployment {
 public:
  /// Starts everything; `node` serves for both nodes. Must be called before the driver starts threads.
  Deployment(const std::string& root, const Record& record, NodeOptions node, GatewayOptions options = {}) {
    options.root = root;
    options.directory = folder_.path();
    for (int i = 1; i <= kNodes; ++i) {
      node.name = "node-" + std::to_string(i);
      node.listen_fd = listen_anywhere();
      options.hosts.push_back({node.name, port_of(node.listen_fd), "ready"});
      nodes_.push_back(Child::run([&] { Node(node, record).run(); }));
    }
    const int log_fd = listen_anywhere();
    options.change_log_port = port_of(log_fd);
    change_log_ = Child::run([&] { ChangeLog(log_fd, 1).run(); });
    gateway_.emplace(std::move(options));
    gateway_->start();
  }

  Gateway& gateway() { return *gateway_; }
  const Child& node(size_t index) const { return nodes_[index]; }

 private:
  static constexpr int kNodes = 2;

  const TemporaryFolder folder_;
  std::vector<Child> nodes_;
  Child change_log_;
  std::optional<Gateway> gateway_;
};

/// Sends one request and waits for its answer until half a second after its time and a little more.
inline std::optional<Message> ask(Client& client, const std::string& id, const std::string& cls,
                                  int timeout_ms) {
  constexpr int64_t kUsPerMs = 1'000;
  constexpr int64_t kPatienceUs = 600'000;
  if (!client.send(request_bytes(id, cls, timeout_ms, "tag-" + id))) return std::nullopt;
  return client.receive(now_us() + timeout_ms * kUsPerMs + kPatienceUs);
}

}  // namespace review
