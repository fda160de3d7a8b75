// Transport of attempts to the platform's engines over HTTP/1.1.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "base/weak_ptr.h"
#include "dispatch/engine_transport.h"
#include "dispatch/request_dispatcher.h"
#include "http/message.h"
#include "membership/endpoint_registry.h"
#include "platform/descriptor_budget.h"
#include "platform/engine_client/connection_pool.h"
#include "platform/engine_client/engine_attempt.h"
#include "platform/engine_client/engine_call_log.h"
#include "platform/engine_client/engine_client_counters.h"
#include "platform/engine_client/orphaned_attempts.h"
#include "platform/engine_client/result_fetch_queue.h"
#include "platform/memory_budget.h"
#include "rpc/byte_stream.h"

namespace sablelink::platform {

struct EngineClientOptions {
  DescriptorBudget budget;
  TimeUs dial_timeout_us = 250'000;
  TimeUs engine_idle_timeout_us = 15'000'000;  // engines close connections that are idle for this long
  std::shared_ptr<MemoryBudget> memory{};      // counts the calls that are being written; null: not counted
  std::shared_ptr<MemoryBudget> result_memory{};  // limits results of several pages; null: unlimited
  bool hedging_allowed = false;                   // whether attempts of one request may overlap
  std::vector<std::string> class_names;  // the platform's names of the workload classes, by class index
};

/// Sends the calls of attempts through the connection pool and reports each attempt's progress and completion
/// to the dispatcher. Unless hedging is allowed, an attempt is delayed until earlier attempts of its request
/// have ended on their engines.
///
/// Used only on the dialer's strand. The dispatcher must outlive all attempts; dialer, clock, registry and
/// log must outlive the client. Timers and coroutines may outlive the client and then have no effect.
class EngineClient : public dispatch::EngineTransport, private ConnectionPool::Delegate {
 public:
  EngineClient(EngineClientOptions options, rpc::Dialer& dialer, Clock& clock,
               const membership::EndpointRegistry& registry, Log& log);
  ~EngineClient() override = default;
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;

  /// Must be called before the first start().
  void set_dispatcher(dispatch::RequestDispatcher* dispatcher) { dispatcher_ = dispatcher; }

  /// Must be called after each change of the registry.
  void on_endpoints_changed() { pool_.on_endpoints_changed(); }

  void start(dispatch::AttemptId id, EngineId engine, const dispatch::AttemptSpec& spec) override;
  void cancel(dispatch::AttemptId id) override;
  /// Has no effect: a result is forwarded complete, in one message.
  void resume(dispatch::AttemptId) override {}
  /// Always reports Outcome::kConnectFailed: the platform's protocol has no health check.
  void check_health(dispatch::HealthCheckId check, EngineId engine) override;
  void close_idle_connections(EngineId engine) override { pool_.close_idle_connections(engine); }

  const EngineClientCounters& counters() const { return counters_; }
  /// Number of started attempts that have neither completed nor been cancelled.
  size_t active_attempts() const { return attempts_.size(); }
  /// Number of open connections and dials in progress.
  size_t connection_count() const { return pool_.connection_count(); }

 private:
  using AttemptPtr = std::shared_ptr<EngineAttempt>;

  std::optional<http::Request> prepare_call(EngineCall& call) override;
  void on_response(EngineCall call, const http::Response& response) override;
  void on_call_failed(EngineCall call, CallFailure failure) override;
  void on_late_response(EngineCall call, const http::Response& response) override;
  void on_late_connection_closed(const EngineCall& call) override;
  void on_late_result_discarded(const EngineCall& call) override;

  void schedule_call(CallType type, const AttemptPtr& attempt);
  void on_cancel_refused(const AttemptPtr& attempt);
  void on_cancel_response(const EngineCall& call, const http::Response& response);
  void on_late_start_response(EngineCall call, PollResponse poll);
  bool is_cut_off_possible(const EngineCall& call, const http::Response& response);
  void on_late_start_read(const AttemptPtr& attempt);
  void on_poll_response(EngineCall call, PollResponse poll);
  void apply_step(EngineCall call, const AttemptStep& step);
  void poll_later(const AttemptPtr& attempt);
  void fetch_pages(const AttemptPtr& attempt);
  void keep_alive(const AttemptPtr& attempt);
  void discard_result(EngineCall call);
  void retry(EngineCall call);
  void schedule_cancel(const AttemptPtr& attempt, TimeUs delay);
  void complete(const AttemptPtr& attempt, Outcome outcome);
  void remove_attempt(const AttemptPtr& attempt);
  void give_up(const AttemptPtr& attempt);
  void orphan(const AttemptPtr& attempt);
  void on_orphan_ended(const AttemptPtr& attempt);
  void expire();

  const EngineClientOptions options_;
  Clock& clock_;
  dispatch::RequestDispatcher* dispatcher_ = nullptr;
  EngineClientCounters counters_;
  const EngineCallLog log_;
  std::map<std::pair<RequestId, int>, AttemptPtr> attempts_;  // by request id and attempt number
  OrphanedAttempts orphans_;
  ResultFetchQueue fetch_queue_;
  ConnectionPool pool_;
  WeakPtrFactory<EngineClient> weak_factory_{this};
};

}  // namespace sablelink::platform
