// A dispatcher with a manual clock, a fake engine transport and fake clients.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/timer_heap.h"
#include "dispatch/request_dispatcher.h"
#include "tests/workload/harness.h"

namespace sablelink::test {

class ManualClock : public Clock {
 public:
  TimeUs now() const override { return now_; }
  void call_after(TimeUs delay_us, std::function<void()> callback) override {
    timers_.push(now_ + std::max<TimeUs>(delay_us, 0), std::move(callback));
  }
  // Advances the time and runs each callback at its deadline.
  void run_for(TimeUs duration_us) {
    const TimeUs end = now_ + duration_us;
    while (!timers_.empty() && timers_.next_deadline() <= end) {
      now_ = std::max(now_, timers_.next_deadline());
      const std::function<void()> callback = timers_.pop();
      callback();
    }
    now_ = end;
  }
  // Advances the time without running callbacks, as if the process had stalled.
  void stall(TimeUs duration_us) { now_ += duration_us; }
  size_t pending() const { return timers_.size(); }

 private:
  TimeUs now_ = 1'000 * kSecond;
  TimerHeap timers_;
};

// Records what the dispatcher sends; the test completes the attempts.
class FakeEngineTransport : public dispatch::EngineTransport {
 public:
  struct SentAttempt {
    dispatch::AttemptId id;
    EngineId engine = 0;
    dispatch::AttemptSpec spec;
    bool is_cancelled = false;
    bool is_completed = false;
  };

  void start(dispatch::AttemptId id, EngineId engine, const dispatch::AttemptSpec& spec) override {
    sent.push_back({id, engine, spec});
  }
  void cancel(dispatch::AttemptId id) override {
    if (SentAttempt* const attempt = find(id)) attempt->is_cancelled = true;
  }
  void resume(dispatch::AttemptId) override { ++resumes; }
  void check_health(dispatch::HealthCheckId check, EngineId) override { health_checks.push_back(check); }
  void close_idle_connections(EngineId) override {}

  SentAttempt* find(dispatch::AttemptId id) {
    for (SentAttempt& attempt : sent)
      if (attempt.id == id) return &attempt;
    return nullptr;
  }
  // The latest attempt of a request that is in flight; null if there is none.
  SentAttempt* in_flight(RequestId request) {
    const auto it = std::find_if(sent.rbegin(), sent.rend(), [&](const SentAttempt& attempt) {
      return attempt.id.request == request && !attempt.is_cancelled && !attempt.is_completed;
    });
    return it == sent.rend() ? nullptr : &*it;
  }
  // The attempts sent for a request so far.
  int sent_count(RequestId request) const {
    return static_cast<int>(std::count_if(
        sent.begin(), sent.end(), [&](const SentAttempt& attempt) { return attempt.id.request == request; }));
  }

  std::vector<SentAttempt> sent;
  std::vector<dispatch::HealthCheckId> health_checks;
  int resumes = 0;
};

// Records the response; the test reports consumption.
class FakeClient : public dispatch::ResponseSink {
 public:
  void write(std::string message) override { messages.push_back(std::move(message)); }
  void finish(const dispatch::FinalResponse& response) override { final_responses.push_back(response); }

  std::vector<std::string> messages;
  std::vector<dispatch::FinalResponse> final_responses;
};

class FakeEndpointSource : public dispatch::EndpointSource {
 public:
  void watch(bool) override {}
  void fetch() override {}
};

// A started dispatcher with two ready engines, 1 and 2.
class DispatcherFixture {
 public:
  explicit DispatcherFixture(Settings settings = plain_settings(), dispatch::DispatcherLimits limits = {})
      : dispatcher(std::move(settings), 7, limits, clock, transport, endpoint_source, log) {
    dispatcher.start();
    dispatcher.on_endpoints_changed(EndpointUpdateKind::kFull, {engine(1), engine(2)});
  }

  RequestId submit(std::shared_ptr<FakeClient> client, TimeUs timeout_us = 5 * kSecond, int class_index = 0,
                   uint64_t key = 0) {
    QueryRequest query;
    query.class_index = class_index;
    query.key = key;
    query.deadline = clock.now() + timeout_us;
    auto statement = std::make_shared<dispatch::Statement>();
    statement->text = "SELECT 1";
    return dispatcher.submit(query, std::move(statement), std::move(client));
  }
  void complete(FakeEngineTransport::SentAttempt& attempt, Outcome outcome, bool is_statement_error = false) {
    attempt.is_completed = true;
    dispatch::AttemptResult result;
    result.outcome = outcome;
    result.is_statement_error = is_statement_error;
    if (outcome != Outcome::kOk) result.error = {13, "engine error"};
    dispatcher.on_attempt_completed(attempt.id, result);
  }

  ManualClock clock;
  FakeEngineTransport transport;
  FakeEndpointSource endpoint_source;
  NullLog log;
  dispatch::RequestDispatcher dispatcher;
};

}  // namespace sablelink::test
