// Sends attempts to nodes by the platform's protocol. A query doesn't belong to a connection: what a broken
// connection was asked for is asked for again on another, and only what the node itself tells, or its death,
// ends an attempt.
//
// Each node has a few connections, one call at a time on each. Calls wait by kind: giving up, starting,
// pages, news. An attempt that may still be out there holds back the next one of its request until the node
// has confirmed that it is given up, or must have let go of it by itself.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "dispatch/request_dispatcher.h"
#include "http/reader.h"
#include "membership/endpoint_registry.h"
#include "platform/descriptor_budget.h"
#include "rpc/byte_stream.h"

namespace sablelink::platform {

struct EngineClientOptions {
  DescriptorBudget budget;
  TimeUs dial_timeout_us = 250'000;
  TimeUs idle_close_us = 15'000'000;  // of the nodes; connections are let go of well before
  bool hedging_allowed = false;       // more than one attempt of a request may be out
  std::vector<std::string> classes;
};

struct EngineClientCounters {
  uint64_t dials = 0, refused = 0, dial_timeouts = 0;
  uint64_t calls = 0, broken = 0, spoilt = 0, overdue = 0;  // broken: by the connection's end
  uint64_t held_back = 0;                                   // attempts that waited for an earlier one
};

// On the net's strand alone. The dispatcher must outlive every attempt, the client its loop's last turn.
class EngineClient : public dispatch::EngineTransport {
 public:
  EngineClient(EngineClientOptions options, rpc::Dialer& net, Clock& clock,
               const membership::EndpointRegistry& directory);
  ~EngineClient() override;
  void set_dispatcher(dispatch::RequestDispatcher* dispatcher) { dispatcher_ = dispatcher; }

  // The directory has changed.
  void on_endpoints_changed();

  void start(dispatch::AttemptId key, EngineId engine, const dispatch::AttemptSpec& order) override;
  void cancel(dispatch::AttemptId key) override;
  void resume(dispatch::AttemptId) override {}  // a whole answer is passed on at once
  void check_health(uint32_t probe, EngineId engine) override;
  void close_idle_connections(EngineId engine) override;

  const EngineClientCounters& counters() const { return counts_; }
  size_t active_attempts() const { return queries_.size(); }
  size_t connections() const { return connections_; }

 private:
  struct Query {
    dispatch::AttemptId key;
    EngineId engine = 0;
    dispatch::AttemptSpec order;
    TimeUs made_at = 0;
    TimeUs asked_at = 0;  // a call for it left last; 0: none has, and none may have reached the node
    TimeUs posted_at = 0;
    bool over = false;
    int breaks = 0;         // calls in a row that came to nothing
    bool doubtful = false;  // its start broke off: it is not known to have arrived
    bool posting = false;   // its start is on a connection, unanswered
    dispatch::AttemptResult result;
    std::vector<std::optional<std::string>> pages;  // rows
    size_t pages_missing = 0;
  };
  using QueryPtr = std::shared_ptr<Query>;
  enum class Kind { kDelete, kPost, kPage, kNews };
  struct Call {
    Kind kind = Kind::kNews;
    QueryPtr query;
    int page = 0;
    int tries = 0;
  };
  struct Connection {
    std::shared_ptr<rpc::ByteStream> stream;
    http::ResponseReader reader;
    std::optional<Call> call;
    TimeUs due_at = 0;   // of the call
    TimeUs free_at = 0;  // takes no call before
    TimeUs idle_since = 0;
    bool closed = false;
    explicit Connection(const http::MessageLimits& limits) : reader(limits) {}
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Node {
    EngineId id = 0;
    std::string address;
    EndpointState state = EndpointState::kRemoved;
    bool listed = false;
    std::deque<Call> waiting[4];  // by kind
    std::list<ConnectionPtr> connections;
    size_t dialing = 0;
    TimeUs dial_pause = 0;  // after a dial that failed; grows until one succeeds
    bool broken = false;    // a connection was reset, and nothing has come since
    size_t queries = 0;
    TimeUs wake_at = 0;  // of the first dispatch that is to come; 0: none is
  };
  using NodePtr = std::shared_ptr<Node>;
  // Attempts under a client's id that may still be out, though nobody waits for them.
  struct Leftover {
    std::vector<QueryPtr> out;  // whose nodes' word is waited for
    TimeUs until = 0;           // the nodes have let go by then
    std::vector<QueryPtr> held;
  };

  rpc::Awaitable<void> run_connection(NodePtr node);
  rpc::Awaitable<void> write(ConnectionPtr connection, std::string bytes);
  static const std::string& ticket_of(const Query& query);
  NodePtr node_of(EngineId id);
  void queue(const NodePtr& node, Call call, bool first = false);
  void dispatch(const NodePtr& node);
  void wake(const NodePtr& node, TimeUs after);
  static Call next_call(Node& node);
  size_t waiting(const Node& node) const;
  void send(const NodePtr& node, const ConnectionPtr& connection, Call call);
  void close(const NodePtr& node, const ConnectionPtr& connection);
  void lost(const NodePtr& node, const ConnectionPtr& connection);
  void dial_failed(const NodePtr& node, rpc::ConnectStatus status);
  bool make_room();
  void answered(const NodePtr& node, Call call, const http::Response& response);
  bool news(const NodePtr& node, Call& call, const http::Response& response);
  bool page(Call& call, const http::Response& response);
  void broken(const NodePtr& node, Call call);
  void whole(const QueryPtr& query);
  void end(const QueryPtr& query, Outcome outcome);
  void forget(const QueryPtr& query);
  void give_up(const QueryPtr& query);
  void given_up(const QueryPtr& query);
  void release(const std::string& ticket);
  void sweep();

  const EngineClientOptions options_;
  rpc::Dialer& net_;
  Clock& clock_;
  const membership::EndpointRegistry& directory_;
  dispatch::RequestDispatcher* dispatcher_ = nullptr;
  std::map<EngineId, NodePtr> nodes_;
  std::map<std::pair<RequestId, int>, QueryPtr> queries_;
  std::map<std::string, Leftover> leftovers_;  // by the client's id, under which nodes know them
  size_t connections_ = 0;                     // with those being dialled
  size_t listed_ = 0;
  TimeUs swept_at_ = 0;
  EngineClientCounters counts_;
  std::shared_ptr<EngineClient*> self_;  // coroutines and calls that outlive the client find it empty
};

}  // namespace sablelink::platform
