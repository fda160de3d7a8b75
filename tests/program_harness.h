// Fakes around a carrier: a clock moved by hand, nodes and clients that take down what they are told.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
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
  void call_after(TimeUs delay, std::function<void()> fn) override {
    calls_.push(now_ + std::max<TimeUs>(delay, 0), std::move(fn));
  }
  // Moves on, making each call at its time.
  void run_for(TimeUs span) {
    const TimeUs end = now_ + span;
    while (!calls_.empty() && calls_.next_deadline() <= end) {
      now_ = std::max(now_, calls_.next_deadline());
      const std::function<void()> fn = calls_.pop();
      fn();
    }
    now_ = end;
  }
  // Time passes without any call being made, as where the process stood still.
  void stall(TimeUs span) { now_ += span; }
  size_t pending() const { return calls_.size(); }

 private:
  TimeUs now_ = 1'000 * kSecond;
  TimerHeap calls_;
};

class FakeNodes : public dispatch::EngineTransport {
 public:
  struct Sent {
    dispatch::AttemptId key;
    EngineId engine = 0;
    dispatch::AttemptSpec order;
    TimeUs at = 0;
    bool dropped = false, ended = false;
  };
  explicit FakeNodes(const Clock& clock) : clock_(clock) {}
  void start(dispatch::AttemptId key, EngineId engine, const dispatch::AttemptSpec& order) override {
    sent.push_back({key, engine, order, clock_.now()});
  }
  void cancel(dispatch::AttemptId key) override {
    if (Sent* const s = find(key)) s->dropped = true;
  }
  void resume(dispatch::AttemptId) override { ++resumes; }
  void check_health(uint32_t probe, EngineId engine) override { probes.emplace_back(probe, engine); }
  void close_idle_connections(EngineId) override {}

  Sent* find(dispatch::AttemptId key) {
    for (Sent& s : sent)
      if (s.key == key) return &s;
    return nullptr;
  }
  // The attempt of a request that is out now.
  Sent* out(RequestId id) {
    for (auto it = sent.rbegin(); it != sent.rend(); ++it)
      if (it->key.request == id && !it->dropped && !it->ended) return &*it;
    return nullptr;
  }
  int count(RequestId id) const {
    return static_cast<int>(
        std::count_if(sent.begin(), sent.end(), [&](const Sent& s) { return s.key.request == id; }));
  }

  std::vector<Sent> sent;
  std::vector<std::pair<uint32_t, EngineId>> probes;
  int resumes = 0;

 private:
  const Clock& clock_;
};

class FakeClient : public dispatch::ResponseSink {
 public:
  void write(std::string message) override {
    bytes += message.size();
    messages.push_back(std::move(message));
  }
  void finish(const dispatch::FinalResponse& answer) override { answers.push_back(answer); }
  std::vector<std::string> messages;
  std::vector<dispatch::FinalResponse> answers;
  size_t bytes = 0;
};

class FakeLists : public dispatch::EndpointSource {
 public:
  void watch(bool) override { ++asked; }
  void fetch() override { ++asked; }
  int asked = 0;
};

// One carrier with two ready engines, ids 1 and 2.
class DispatcherFixture {
 public:
  explicit DispatcherFixture(Settings settings = plain_settings(), dispatch::DispatcherLimits limits = {})
      : nodes(clock), dispatcher(std::move(settings), 7, limits, clock, nodes, lists, log) {
    dispatcher.start();
    dispatcher.on_endpoints_changed(EndpointUpdateKind::kFull, {engine(1), engine(2)});
  }

  RequestId take(std::shared_ptr<FakeClient> client, TimeUs patience = 5 * kSecond, int cls = 0,
                 uint64_t key = 0) {
    QueryRequest q;
    q.class_index = cls;
    q.key = key;
    q.deadline = clock.now() + patience;
    auto statement = std::make_shared<dispatch::Statement>();
    statement->text = "SELECT 1";
    return dispatcher.submit(q, std::move(statement), std::move(client));
  }
  void end(FakeNodes::Sent& sent, Outcome outcome, bool statement_fault = false) {
    sent.ended = true;
    dispatch::AttemptResult result;
    result.outcome = outcome;
    result.is_statement_error = statement_fault;
    if (outcome != Outcome::kOk) result.error = {13, "trouble"};
    dispatcher.on_attempt_completed(sent.key, result);
  }

  ManualClock clock;
  FakeNodes nodes;
  FakeLists lists;
  NullLog log;
  dispatch::RequestDispatcher dispatcher;
};

}  // namespace sablelink::test
