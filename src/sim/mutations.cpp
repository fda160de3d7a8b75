#include "sim/mutations.h"

#include <array>
#include <utility>

#include "base/async_event.h"
#include "flightsql/messages.h"
#include "flightsql/protocol.h"

namespace sablelink::sim {
namespace {

constexpr std::array<const char*, kMutations> kMutationNames = {"none",
                                                                "doubled_send",
                                                                "drop_forgotten",
                                                                "answer_twice",
                                                                "answer_never",
                                                                "answer_late",
                                                                "client_left",
                                                                "drain_ignored",
                                                                "grace_ignored",
                                                                "unsafe_repeated",
                                                                "keyed_anywhere",
                                                                "order_ignored",
                                                                "gap_ignored",
                                                                "placement_ignored",
                                                                "budget_ignored",
                                                                "cold_ignored",
                                                                "lost_timer",
                                                                "batch_lost",
                                                                "batch_doubled",
                                                                "batches_mixed",
                                                                "schema_of_another",
                                                                "unread_kept",
                                                                "plan_unbounded",
                                                                "plan_stays"};

constexpr TimeUs kTimeoutExtensionUs = 300'000;

// Stands between the dispatcher and its engine client.
class MutatedTransport : public dispatch::EngineTransport {
 public:
  MutatedTransport(Mutation mutation, dispatch::EngineTransport& inner)
      : mutation_(mutation), inner_(inner) {}
  void start(dispatch::AttemptId key, EngineId engine, const dispatch::AttemptSpec& order) override {
    if (mutation_ == Mutation::kPlanningPinned && order.statement->kind == dispatch::ExecutionKind::kPlan) {
      if (pinned_engine_ == 0) pinned_engine_ = engine;
      engine = pinned_engine_;
    }
    inner_.start(key, engine, order);
    if (mutation_ == Mutation::kDuplicateSend && ++count_ % 50 == 0) {
      key.number += 100;
      inner_.start(key, engine, order);
    }
  }
  void cancel(dispatch::AttemptId key) override {
    if (mutation_ != Mutation::kCancelNotSent) inner_.cancel(key);
  }
  void resume(dispatch::AttemptId key) override { inner_.resume(key); }
  void check_health(uint32_t probe, EngineId engine) override { inner_.check_health(probe, engine); }
  void close_idle_connections(EngineId engine) override { inner_.close_idle_connections(engine); }

 private:
  const Mutation mutation_;
  dispatch::EngineTransport& inner_;
  uint64_t count_ = 0;
  EngineId pinned_engine_ = 0;
};

// Never releases the buffered bytes of clients that stopped reading.
class LeakingDispatcher : public dispatch::RequestDispatcher {
 public:
  using RequestDispatcher::RequestDispatcher;

 private:
  void discard_unconsumed(RequestId) override {}
};

}  // namespace

// The contents of the gateway's previous response, for the mutations that mix responses.
struct MutatedParts::PreviousResponse {
  std::string batch, schema;
};

const char* mutation_name(Mutation mutation) { return kMutationNames[static_cast<int>(mutation)]; }

// Drops every fiftieth timer.
class MutatedParts::LossyClock : public Clock {
 public:
  explicit LossyClock(Actor& inner) : inner_(inner) {}
  TimeUs now() const override { return inner_.now(); }
  void call_after(TimeUs delay, std::function<void()> fn) override {
    if (++count_ % 50 != 0) inner_.call_after(delay, std::move(fn));
  }

 private:
  Actor& inner_;
  uint64_t count_ = 0;
};

class MutatedParts::MutatedCall : public rpc::ServerCall {
 public:
  MutatedCall(Mutation mutation, uint64_t number, std::shared_ptr<rpc::ServerCall> inner,
              std::shared_ptr<PreviousResponse> previous)
      : mutation_(mutation),
        affected_(number % 20 == 0),
        inner_(std::move(inner)),
        previous_(std::move(previous)) {}

  const std::string& method() const override { return inner_->method(); }
  const rpc::Metadata& metadata() const override { return inner_->metadata(); }
  const std::string& peer() const override { return inner_->peer(); }
  std::optional<TimeUs> client_timeout_us() const override {
    std::optional<TimeUs> allowed = inner_->client_timeout_us();
    if (allowed && mutation_ == Mutation::kTimeoutExtended) *allowed += kTimeoutExtensionUs;
    return allowed;
  }
  rpc::Awaitable<std::optional<std::string>> read() override { return inner_->read(); }
  rpc::Awaitable<bool> write(std::string message) override { return inner_->write(std::move(message)); }
  rpc::Awaitable<bool> finish(rpc::Status status, rpc::Metadata trailers,
                              std::optional<std::string> last) override {
    const std::shared_ptr<rpc::ServerCall> inner = inner_;
    const bool duplicate = affected_ && mutation_ == Mutation::kDuplicateResponse;
    if (affected_ && mutation_ == Mutation::kResponseNeverSent && !inner->cancelled()) {
      AsyncEvent until_cancelled;
      inner->on_cancelled([&until_cancelled] { until_cancelled.set(); });
      co_await until_cancelled.wait();
      co_return false;
    }
    if (mutation_ == Mutation::kForeignSchema && last && inner->method().ends_with("GetFlightInfo")) {
      arrow::flight::protocol::FlightInfo info;
      if (info.ParseFromString(*last)) std::swap(*info.mutable_schema(), previous_->schema);
      last = info.SerializeAsString();
    }
    if (last && inner->method().ends_with("DoGet")) {
      const bool retried = flightsql::find_number(trailers, flightsql::kAttemptsKey, 0) > 1;
      const std::string batch = *last;
      std::string extra;
      if (retried && mutation_ == Mutation::kBatchLost) last.reset();
      if (retried && mutation_ == Mutation::kBatchDuplicated) extra = batch;
      if (retried && mutation_ == Mutation::kForeignBatch) extra = previous_->batch;
      if (!extra.empty()) co_await inner->write(std::move(extra));
      previous_->batch = batch;
    }
    rpc::Status status_copy = status;
    rpc::Metadata trailers_copy = trailers;
    const bool sent = co_await inner->finish(std::move(status), std::move(trailers), std::move(last));
    if (duplicate) {
      std::optional<std::string> no_message;
      co_await inner->finish(std::move(status_copy), std::move(trailers_copy), std::move(no_message));
    }
    co_return sent;
  }
  void on_cancelled(std::function<void()> fn) override {
    if (mutation_ != Mutation::kClientCancelIgnored) inner_->on_cancelled(std::move(fn));
  }
  bool cancelled() const override { return inner_->cancelled(); }

 private:
  const Mutation mutation_;
  const bool affected_;
  const std::shared_ptr<rpc::ServerCall> inner_;
  const std::shared_ptr<PreviousResponse> previous_;
};

MutatedParts::MutatedParts(Mutation mutation, Actor& actor)
    : mutation_(mutation), actor_(actor), previous_(std::make_shared<PreviousResponse>()) {
  if (mutation_ == Mutation::kTimerLost) lossy_clock_ = std::make_unique<LossyClock>(actor_);
}

MutatedParts::~MutatedParts() = default;

Clock& MutatedParts::clock() {
  if (lossy_clock_) return *lossy_clock_;
  return actor_;
}

void MutatedParts::mutate(config::GatewayConfig* config) const {
  Settings& s = config->settings;
  for (ClassSettings& c : s.classes) {
    if (mutation_ == Mutation::kNonIdempotentRetried && c.idempotency == Idempotency::kNotIdempotent)
      c.idempotency = Idempotency::kIdempotent;
    if (mutation_ == Mutation::kKeyedRetriedAnywhere && c.idempotency == Idempotency::kIdempotentWithKey)
      c.dedup_scope = DedupScope::kAll;
    if (mutation_ == Mutation::kKeyOrderIgnored) c.ordered_by_key = false;
    if (mutation_ == Mutation::kPlacementIgnored) c.allowed_zones.clear();
  }
  if (mutation_ == Mutation::kDrainGraceIgnored) s.drain_grace_us = 3600'000'000;
  if (mutation_ == Mutation::kOrderingGapIgnored) s.ordering_gap_us = 0;
  if (mutation_ == Mutation::kRetryBudgetIgnored) s.retry_budget_enabled = false;
  if (mutation_ == Mutation::kSlowStartIgnored)
    s.collapse_window_us = 0, s.slow_start_min_capacity_fraction = 1, s.slow_start_duration_us = 0;
  if (mutation_ == Mutation::kPlanningUnlimited)
    config->planning.budget_base_calls = config->planning.max_concurrent_calls = 1'000'000;
  mutate(&config->engines);
}

void MutatedParts::mutate(std::vector<config::EngineConfig>* list) const {
  for (config::EngineConfig& n : *list) {
    if (mutation_ == Mutation::kDrainIgnored) n.state = EndpointState::kReady;
    if (mutation_ == Mutation::kSlowStartIgnored) n.started_at = 0;
  }
}

service::TransportDecorator MutatedParts::decorate_transport() const {
  if (mutation_ != Mutation::kDuplicateSend && mutation_ != Mutation::kCancelNotSent &&
      mutation_ != Mutation::kPlanningPinned)
    return {};
  return [mutation = mutation_](dispatch::EngineTransport& inner) {
    return std::make_unique<MutatedTransport>(mutation, inner);
  };
}

std::shared_ptr<rpc::ServerCall> MutatedParts::wrap_call(std::shared_ptr<rpc::ServerCall> call) {
  if (mutation_ == Mutation::kNone) return call;
  return std::make_shared<MutatedCall>(mutation_, ++calls_, std::move(call), previous_);
}

service::DispatcherFactory MutatedParts::make_dispatcher() const {
  if (mutation_ != Mutation::kUnreadBytesLeaked) return {};
  return [](auto&&... parts) -> std::unique_ptr<dispatch::RequestDispatcher> {
    return std::make_unique<LeakingDispatcher>(parts...);
  };
}

}  // namespace sablelink::sim
