// Connections to the platform's engines: dials, backoff, idle connections, timeouts of calls.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/weak_ptr.h"
#include "http/message.h"
#include "membership/endpoint_registry.h"
#include "platform/descriptor_budget.h"
#include "platform/engine_client/call_queue.h"
#include "platform/engine_client/engine_client_counters.h"
#include "rpc/byte_stream.h"
#include "workload/types.h"

namespace sablelink::platform {

/// Why a call has no response.
enum class CallFailure {
  kNotSent,      // it never left, as the engine takes no new attempts or refused the connection
  kInterrupted,  // its connection was lost: the engine may or may not have executed it
  kEngineDown,   // the engine has ended, and with it all that it ran
};

struct ConnectionPoolOptions {
  DescriptorBudget budget;
  TimeUs dial_timeout_us = 0;
  /// After which engines close idle connections. The pool closes them well before.
  TimeUs engine_idle_timeout_us = 0;
};

/// A few connections to each engine, with one call at a time on each. Calls that find no connection wait in
/// the engine's queue. On the dialer's strand alone.
class ConnectionPool {
 public:
  /// Must outlive the pool.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    /// Called right before a call is sent; returns its request. Nothing: the call is not wanted any more.
    virtual std::optional<http::Request> prepare_call(const EngineCall& call) = 0;
    /// Queued calls of the engine are sent after this, without schedule_dispatch().
    virtual void on_response(EngineCall call, const http::Response& response) = 0;
    /// As on_response(), for a call that ended without a response.
    virtual void on_call_failed(EngineCall call, CallFailure failure) = 0;
  };

  /// How often expire() has to be called.
  static constexpr TimeUs kExpiryIntervalUs = 25'000;

  ConnectionPool(ConnectionPoolOptions options, rpc::Dialer& dialer, Clock& clock,
                 const membership::EndpointRegistry& registry, Delegate& delegate,
                 EngineClientCounters& counters);
  /// Closes all connections. The delegate hears nothing of it.
  ~ConnectionPool();

  /// Adopts the registry's endpoints. Starts that wait for an engine that is no longer ready fail.
  void on_endpoints_changed();

  /// Keeps what is known of the attempt's engine until the attempt is removed.
  void add_attempt(const EngineAttempt& attempt);
  /// Removes the attempt and its queued calls, except for its cancellation.
  void remove_attempt(const std::shared_ptr<EngineAttempt>& attempt);

  /// Queues a call behind those of its type. Nothing is sent from within this.
  void enqueue(EngineCall call);
  /// As enqueue(), before those of its type.
  void enqueue_first(EngineCall call);
  /// Sends the engine's queued calls soon, but not from within this.
  void schedule_dispatch(EngineId engine);

  /// Ends calls without a response in time and connections that were idle for too long.
  void expire();
  /// Closes the engine's connections without a call.
  void close_idle_connections(EngineId engine);

  /// Open connections and dials in progress.
  size_t connections() const { return connections_; }

 private:
  struct Connection;
  struct EngineState;
  struct Availability;
  using ConnectionPtr = std::shared_ptr<Connection>;
  using EngineStatePtr = std::shared_ptr<EngineState>;

  EngineStatePtr state_of(EngineId id);
  void schedule_dispatch(const EngineStatePtr& engine, TimeUs delay);
  void dispatch(const EngineStatePtr& engine);
  static Availability check_availability(const EngineState& engine, TimeUs now);
  void send_next(EngineState& engine, const ConnectionPtr& connection);
  rpc::Awaitable<void> write(ConnectionPtr connection, std::string bytes);

  void dial(const EngineStatePtr& engine);
  rpc::Awaitable<void> run_connection(EngineStatePtr engine);
  void on_dial_failed(const EngineStatePtr& engine, rpc::ConnectStatus status);
  void on_bytes(const EngineStatePtr& engine, const ConnectionPtr& connection,
                const std::optional<std::string>& bytes);
  void on_response_complete(const EngineStatePtr& engine, const ConnectionPtr& connection, bool reusable);
  void on_connection_lost(const EngineStatePtr& engine, const ConnectionPtr& connection);
  void fail_calls(EngineState& engine, CallType type, CallFailure failure);

  void close(EngineState& engine, const ConnectionPtr& connection);
  bool close_longest_idle_connection();
  void expire_connections(const EngineStatePtr& engine, TimeUs now, bool was_stalled);

  const ConnectionPoolOptions options_;
  rpc::Dialer& dialer_;
  Clock& clock_;
  const membership::EndpointRegistry& registry_;
  Delegate& delegate_;
  EngineClientCounters& counters_;
  std::map<EngineId, EngineStatePtr> engines_;
  size_t connections_ = 0;
  size_t listed_engines_ = 0;
  TimeUs last_expiry_at_ = 0;
  WeakPtrFactory<ConnectionPool> weak_factory_{this};
};

}  // namespace sablelink::platform
