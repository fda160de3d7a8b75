// Sends attempts to the platform's engines over HTTP/1.1.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/weak_ptr.h"
#include "dispatch/engine_transport.h"
#include "dispatch/request_dispatcher.h"
#include "http/message.h"
#include "membership/endpoint_registry.h"
#include "platform/descriptor_budget.h"
#include "platform/engine_client/connection_pool.h"
#include "platform/engine_client/engine_attempt.h"
#include "platform/engine_client/engine_client_counters.h"
#include "platform/engine_client/orphaned_attempts.h"
#include "rpc/byte_stream.h"

namespace sablelink::platform {

struct EngineClientOptions {
  DescriptorBudget budget;
  TimeUs dial_timeout_us = 250'000;
  TimeUs engine_idle_timeout_us = 15'000'000;  // after which engines close idle connections
  bool hedging_allowed = false;                // attempts of one request may overlap
  std::vector<std::string> class_names;        // the platform's names of the workload classes, by index
};

/// Passes the calls of each attempt through the connection pool and reports its progress and its end to the
/// dispatcher. Unless hedging is allowed, an attempt waits until earlier attempts of its request have ended
/// at their engines.
///
/// On the dialer's strand alone. The dispatcher must outlive every attempt; dialer, clock and registry must
/// outlive the client. Timers and coroutines may outlive it; they then do nothing.
class EngineClient : public dispatch::EngineTransport, private ConnectionPool::Delegate {
 public:
  EngineClient(EngineClientOptions options, rpc::Dialer& dialer, Clock& clock,
               const membership::EndpointRegistry& registry);
  ~EngineClient() override = default;
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;

  /// Must be called before the first attempt.
  void set_dispatcher(dispatch::RequestDispatcher* dispatcher) { dispatcher_ = dispatcher; }

  /// The registry has changed.
  void on_endpoints_changed() { pool_.on_endpoints_changed(); }

  void start(dispatch::AttemptId id, EngineId engine, const dispatch::AttemptSpec& spec) override;
  void cancel(dispatch::AttemptId id) override;
  /// Does nothing: a result is forwarded complete, in one message.
  void resume(dispatch::AttemptId) override {}
  /// Always reports Outcome::kConnectFailed: the platform's protocol has no health check.
  void check_health(dispatch::HealthCheckId check, EngineId engine) override;
  void close_idle_connections(EngineId engine) override { pool_.close_idle_connections(engine); }

  const EngineClientCounters& counters() const { return counters_; }
  /// Attempts that were started and have neither completed nor been cancelled.
  size_t active_attempts() const { return attempts_.size(); }
  /// Open connections and dials in progress.
  size_t connections() const { return pool_.connections(); }

 private:
  using AttemptPtr = std::shared_ptr<EngineAttempt>;

  std::optional<http::Request> prepare_call(const EngineCall& call) override;
  void on_response(EngineCall call, const http::Response& response) override;
  void on_call_failed(EngineCall call, CallFailure failure) override;

  void schedule_call(CallType type, const AttemptPtr& attempt);
  void apply_step(EngineCall call, const AttemptStep& step);
  void retry(EngineCall call);
  void retry_cancel(EngineCall call);
  void complete(const AttemptPtr& attempt, Outcome outcome);
  void forget(const AttemptPtr& attempt);
  void orphan(const AttemptPtr& attempt);
  void on_orphan_ended(const AttemptPtr& attempt);
  void expire();

  const EngineClientOptions options_;
  Clock& clock_;
  dispatch::RequestDispatcher* dispatcher_ = nullptr;
  EngineClientCounters counters_;
  std::map<std::pair<RequestId, int>, AttemptPtr> attempts_;  // by request and attempt number
  OrphanedAttempts orphans_;
  ConnectionPool pool_;
  WeakPtrFactory<EngineClient> weak_factory_{this};
};

}  // namespace sablelink::platform
