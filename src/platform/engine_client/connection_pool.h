// Connection pool for the platform's engines: dialing with backoff, reuse, idle and call timeouts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/weak_ptr.h"
#include "http/message.h"
#include "membership/endpoint_registry.h"
#include "platform/descriptor_budget.h"
#include "platform/engine_client/call_failure.h"
#include "platform/engine_client/call_queue.h"
#include "platform/engine_client/engine_call_log.h"
#include "platform/engine_client/engine_client_counters.h"
#include "platform/engine_client/engine_connections.h"
#include "platform/memory_budget.h"
#include "rpc/byte_stream.h"
#include "workload/types.h"

namespace sablelink::platform {

struct ConnectionPoolOptions {
  DescriptorBudget budget;
  TimeUs dial_timeout_us = 0;
  /// Engines close connections that are idle for this long. The pool closes them after 60% of it.
  TimeUs engine_idle_timeout_us = 0;
  std::shared_ptr<MemoryBudget> memory{};  // counts the calls that are being written; null: not counted
};

/// Maintains a limited number of connections to each engine, with one pending call per connection. Calls wait
/// in the engine's queue until a connection is available. Used only on the dialer's strand.
class ConnectionPool {
 public:
  /// Creates the requests of calls and receives the results. Must outlive the pool.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    /// Called immediately before a call is sent. Returns its request, or nothing if it must not be sent.
    virtual std::optional<http::Request> prepare_call(EngineCall& call) = 0;
    /// Called with a complete response. The engine's queued calls are then sent without schedule_dispatch().
    virtual void on_response(EngineCall call, const http::Response& response) = 0;
    /// Like on_response(), for a call that ended without a response.
    virtual void on_call_failed(EngineCall call, CallFailure failure) = 0;
    /// Called with the response to a start or a cancellation that has timed out.
    virtual void on_late_response(EngineCall call, const http::Response& response) = 0;
    /// The engine has closed the connection of a start or a cancellation that has timed out.
    virtual void on_late_connection_closed(const EngineCall& call) = 0;
    /// The engine has responded to a start that has timed out with a result that bytes follow, as with
    /// CallFailure::kTrailingBytes. The result is lost, but the engine has read the start.
    virtual void on_late_result_discarded(const EngineCall& call) = 0;
  };

  /// Interval at which expire() must be called.
  static constexpr TimeUs kExpiryIntervalUs = 25'000;

  ConnectionPool(ConnectionPoolOptions options, rpc::Dialer& dialer, Clock& clock,
                 const membership::EndpointRegistry& registry, Delegate& delegate,
                 EngineClientCounters& counters, const EngineCallLog& log);
  /// Closes all connections without calling the delegate.
  ~ConnectionPool();

  /// Updates the endpoints from the registry. Queued starts for an engine that is not ready fail.
  void on_endpoints_changed();

  /// Keeps the state of the attempt's engine, with its address, for as long as the attempt exists. A finished
  /// attempt that is still being cancelled exists, also after its engine has left the registry.
  void add_attempt(const std::shared_ptr<EngineAttempt>& attempt);
  /// Removes the attempt's queued calls except its cancellation.
  void remove_calls(const std::shared_ptr<EngineAttempt>& attempt);
  /// Removes the queued cancellation of an attempt.
  void remove_cancellation(const std::shared_ptr<EngineAttempt>& attempt);

  /// Queues a call after the other calls of its type, without sending it.
  void enqueue(EngineCall call);
  /// Like enqueue(), but before the other calls of its type.
  void enqueue_first(EngineCall call);
  /// Schedules the sending of the engine's queued calls; does not send them within this function.
  void schedule_dispatch(EngineId engine);

  /// Fails calls that have timed out and closes connections that have been idle for too long.
  void expire();
  /// Closes the engine's connections that have no pending call.
  void close_idle_connections(EngineId engine);

  /// Number of open connections and dials in progress.
  size_t connection_count() const { return connection_count_; }

 private:
  struct EngineState;
  using ConnectionPtr = EngineConnectionPtr;
  using EngineStatePtr = std::shared_ptr<EngineState>;

  EngineStatePtr state_of(EngineId id);
  void schedule_dispatch(const EngineStatePtr& engine, TimeUs delay);
  void dispatch(const EngineStatePtr& engine);
  void send_next_call(EngineState& engine, const ConnectionPtr& connection);
  rpc::Awaitable<void> write(ConnectionPtr connection, std::string bytes);

  void dial(const EngineStatePtr& engine);
  rpc::Awaitable<void> run_connection(EngineStatePtr engine);
  void on_dial_failed(const EngineStatePtr& engine, rpc::ConnectStatus status);
  void on_bytes(const EngineStatePtr& engine, const ConnectionPtr& connection,
                const std::optional<std::string>& bytes);
  void on_message_end(const EngineStatePtr& engine, const ConnectionPtr& connection, bool connection_ended);
  void hold_result(const EngineStatePtr& engine, const ConnectionPtr& connection);
  void release_result(const EngineStatePtr& engine, const ConnectionPtr& connection);
  void on_trailing_bytes(const EngineStatePtr& engine, const ConnectionPtr& connection, size_t bytes);
  void on_response_complete(const EngineStatePtr& engine, const ConnectionPtr& connection, bool reusable);
  void on_connection_lost(const EngineStatePtr& engine, const ConnectionPtr& connection, CallFailure reason);
  void on_call_timed_out(const EngineStatePtr& engine, const ConnectionPtr& connection);
  void fail_calls(EngineState& engine, CallType type, CallFailure failure);

  void close(EngineState& engine, const ConnectionPtr& connection);
  void limit_overdue_connections(EngineState& engine);
  bool close_dispensable_connection();
  bool close_earliest(ConnectionPtr (EngineConnections::*select)() const, TimeUs EngineConnection::*time);
  void expire_connections(const EngineStatePtr& engine, TimeUs now, bool was_stalled);
  bool is_expired(const EngineConnection& connection, TimeUs now, bool was_stalled) const;

  const ConnectionPoolOptions options_;
  rpc::Dialer& dialer_;
  Clock& clock_;
  const membership::EndpointRegistry& registry_;
  Delegate& delegate_;
  EngineClientCounters& counters_;
  const EngineCallLog& log_;
  std::map<EngineId, EngineStatePtr> engines_;
  size_t connection_count_ = 0;
  size_t listed_engine_count_ = 0;
  uint64_t last_connection_number_ = 0;
  TimeUs last_expiry_at_ = 0;
  WeakPtrFactory<ConnectionPool> weak_factory_{this};
};

}  // namespace sablelink::platform
