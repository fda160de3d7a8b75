#include "sim/defects.h"

#include <array>
#include <utility>

#include "base/async_event.h"
#include "flightsql/messages.h"
#include "flightsql/terms.h"

namespace sablelink::sim {
namespace {

constexpr std::array<const char*, kDefects> kNames = {"none",
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

constexpr TimeUs kLateUs = 300'000;

// Spoils the way from the dispatcher to its node client.
class SpoiltTransport : public dispatch::EngineTransport {
 public:
  SpoiltTransport(Defect defect, dispatch::EngineTransport& inner) : defect_(defect), inner_(inner) {}
  void start(dispatch::AttemptId key, EngineId engine, const dispatch::AttemptSpec& order) override {
    if (defect_ == Defect::kPlanStays && order.statement->kind == dispatch::ExecutionKind::kPlan) {
      if (plans_at_ == 0) plans_at_ = engine;
      engine = plans_at_;
    }
    inner_.start(key, engine, order);
    if (defect_ == Defect::kDoubledSend && ++count_ % 50 == 0) {
      key.number += 100;
      inner_.start(key, engine, order);
    }
  }
  void cancel(dispatch::AttemptId key) override {
    if (defect_ != Defect::kDropForgotten) inner_.cancel(key);
  }
  void resume(dispatch::AttemptId key) override { inner_.resume(key); }
  void check_health(uint32_t probe, EngineId engine) override { inner_.check_health(probe, engine); }
  void close_idle_connections(EngineId engine) override { inner_.close_idle_connections(engine); }

 private:
  const Defect defect_;
  dispatch::EngineTransport& inner_;
  uint64_t count_ = 0;
  EngineId plans_at_ = 0;
};

// Never lets go of what a client hasn't read.
class HoardingDispatcher : public dispatch::RequestDispatcher {
 public:
  using RequestDispatcher::RequestDispatcher;

 private:
  void forget_unconsumed(RequestId) override {}
};

}  // namespace

// What another answer of the gateway held, for those that mix them up.
struct DefectiveParts::Earlier {
  std::string batch, schema;
};

const char* defect_name(Defect defect) { return kNames[static_cast<int>(defect)]; }

// Each fiftieth call never comes.
class DefectiveParts::LosingClock : public Clock {
 public:
  explicit LosingClock(Actor& inner) : inner_(inner) {}
  TimeUs now() const override { return inner_.now(); }
  void call_after(TimeUs delay, std::function<void()> fn) override {
    if (++count_ % 50 != 0) inner_.call_after(delay, std::move(fn));
  }

 private:
  Actor& inner_;
  uint64_t count_ = 0;
};

class DefectiveParts::SpoiltCall : public rpc::ServerCall {
 public:
  SpoiltCall(Defect defect, uint64_t number, std::shared_ptr<rpc::ServerCall> inner,
             std::shared_ptr<Earlier> earlier)
      : defect_(defect), strikes_(number % 20 == 0), inner_(std::move(inner)), earlier_(std::move(earlier)) {}

  const std::string& method() const override { return inner_->method(); }
  const rpc::Metadata& metadata() const override { return inner_->metadata(); }
  const std::string& peer() const override { return inner_->peer(); }
  std::optional<TimeUs> client_timeout_us() const override {
    std::optional<TimeUs> allowed = inner_->client_timeout_us();
    if (allowed && defect_ == Defect::kAnswerLate) *allowed += kLateUs;
    return allowed;
  }
  rpc::Awaitable<std::optional<std::string>> read() override { return inner_->read(); }
  rpc::Awaitable<bool> write(std::string message) override { return inner_->write(std::move(message)); }
  rpc::Awaitable<bool> finish(rpc::Status status, rpc::Metadata trailers,
                              std::optional<std::string> last) override {
    const std::shared_ptr<rpc::ServerCall> inner = inner_;
    const bool twice = strikes_ && defect_ == Defect::kAnswerTwice;
    if (strikes_ && defect_ == Defect::kAnswerNever && !inner->cancelled()) {
      AsyncEvent never;
      inner->on_cancelled([&never] { never.set(); });
      co_await never.wait();
      co_return false;
    }
    if (defect_ == Defect::kSchemaOfAnother && last && inner->method().ends_with("GetFlightInfo")) {
      arrow::flight::protocol::FlightInfo info;
      if (info.ParseFromString(*last)) std::swap(*info.mutable_schema(), earlier_->schema);
      last = info.SerializeAsString();
    }
    if (last && inner->method().ends_with("DoGet")) {
      const bool tried_again = flightsql::find_number(trailers, flightsql::kAttemptsKey, 0) > 1;
      const std::string batch = *last;
      std::string before;
      if (tried_again && defect_ == Defect::kBatchLost) last.reset();
      if (tried_again && defect_ == Defect::kBatchDoubled) before = batch;
      if (tried_again && defect_ == Defect::kBatchesMixed) before = earlier_->batch;
      if (!before.empty()) co_await inner->write(std::move(before));
      earlier_->batch = batch;
    }
    rpc::Status again = status;
    rpc::Metadata again_trailers = trailers;
    const bool sent = co_await inner->finish(std::move(status), std::move(trailers), std::move(last));
    if (twice) {
      std::optional<std::string> none;
      co_await inner->finish(std::move(again), std::move(again_trailers), std::move(none));
    }
    co_return sent;
  }
  void on_cancelled(std::function<void()> fn) override {
    if (defect_ != Defect::kClientLeftUnheard) inner_->on_cancelled(std::move(fn));
  }
  bool cancelled() const override { return inner_->cancelled(); }

 private:
  const Defect defect_;
  const bool strikes_;
  const std::shared_ptr<rpc::ServerCall> inner_;
  const std::shared_ptr<Earlier> earlier_;
};

DefectiveParts::DefectiveParts(Defect defect, Actor& actor)
    : defect_(defect), actor_(actor), earlier_(std::make_shared<Earlier>()) {
  if (defect_ == Defect::kLostTimer) losing_ = std::make_unique<LosingClock>(actor_);
}

DefectiveParts::~DefectiveParts() = default;

Clock& DefectiveParts::clock() {
  if (losing_) return *losing_;
  return actor_;
}

void DefectiveParts::spoil(config::GatewayConfig* config) const {
  Settings& s = config->settings;
  for (ClassSettings& c : s.classes) {
    if (defect_ == Defect::kUnsafeRepeated && c.idempotency == Idempotency::kNotIdempotent)
      c.idempotency = Idempotency::kIdempotent;
    if (defect_ == Defect::kKeyedAnywhere && c.idempotency == Idempotency::kIdempotentWithKey)
      c.dedup_scope = DedupScope::kAll;
    if (defect_ == Defect::kOrderIgnored) c.ordered_by_key = false;
    if (defect_ == Defect::kPlacementIgnored) c.allowed_zones.clear();
  }
  if (defect_ == Defect::kGraceIgnored) s.drain_grace_us = 3600'000'000;
  if (defect_ == Defect::kGapIgnored) s.ordering_gap_us = 0;
  if (defect_ == Defect::kBudgetIgnored) s.retry_budget_enabled = false;
  if (defect_ == Defect::kColdIgnored)
    s.collapse_window_us = 0, s.slow_start_min_capacity_fraction = 1, s.slow_start_duration_us = 0;
  if (defect_ == Defect::kPlanUnbounded)
    config->planning.budget_base_calls = config->planning.max_concurrent_calls = 1'000'000;
  spoil(&config->engines);
}

void DefectiveParts::spoil(std::vector<config::EngineConfig>* list) const {
  for (config::EngineConfig& n : *list) {
    if (defect_ == Defect::kDrainIgnored) n.state = EndpointState::kReady;
    if (defect_ == Defect::kColdIgnored) n.started_at = 0;
  }
}

service::TransportDecorator DefectiveParts::decorate_transport() const {
  if (defect_ != Defect::kDoubledSend && defect_ != Defect::kDropForgotten && defect_ != Defect::kPlanStays)
    return {};
  return [defect = defect_](dispatch::EngineTransport& inner) {
    return std::make_unique<SpoiltTransport>(defect, inner);
  };
}

std::shared_ptr<rpc::ServerCall> DefectiveParts::wrap_call(std::shared_ptr<rpc::ServerCall> call) {
  if (defect_ == Defect::kNone) return call;
  return std::make_shared<SpoiltCall>(defect_, ++calls_, std::move(call), earlier_);
}

service::DispatcherFactory DefectiveParts::make_dispatcher() const {
  if (defect_ != Defect::kUnreadKept) return {};
  return [](auto&&... parts) -> std::unique_ptr<dispatch::RequestDispatcher> {
    return std::make_unique<HoardingDispatcher>(parts...);
  };
}

}  // namespace sablelink::sim
