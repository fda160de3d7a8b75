// An engine of the platform that hangs at times, and the check that no request has two attempts out at once.
#pragma once

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/async_event.h"
#include "http/reader.h"
#include "rpc/byte_stream.h"
#include "sim/random.h"
#include "sim/streams.h"
#include "sim/world.h"
#include "tests/workload/harness.h"

namespace sablelink::test {

/// The attempts of all engines, by the request's tag. An attempt is out from the moment in which its engine
/// reads the start until its end is written or it is given up.
class AttemptAudit {
 public:
  /// Returns the number of the attempt.
  size_t on_started(const std::string& tag, const std::string& engine, TimeUs now) {
    attempts_[tag].push_back({engine, now, kStillOut});
    return attempts_[tag].size() - 1;
  }
  void on_ended(const std::string& tag, size_t number, TimeUs now) { attempts_[tag][number].ended_at = now; }

  /// Descriptions of the requests that had two attempts out for longer than the rule's slack.
  std::vector<std::string> overlaps() const {
    std::vector<std::string> found;
    for (const auto& [tag, attempts] : attempts_) {
      for (size_t i = 1; i < attempts.size(); ++i) {
        for (size_t j = 0; j < i; ++j) {
          const TimeUs from = std::max(attempts[i].started_at, attempts[j].started_at);
          const TimeUs to = std::min(attempts[i].ended_at, attempts[j].ended_at);
          if (to - from <= kSlackUs) continue;
          found.push_back(tag + " at " + std::to_string(from) + " us on " + attempts[j].engine + " and " +
                          attempts[i].engine);
        }
      }
    }
    return found;
  }

 private:
  static constexpr TimeUs kStillOut = 1'000'000 * kSecond;
  static constexpr TimeUs kSlackUs = 50 * kMs;  // every time limit of the rules is that much longer

  struct Attempt {
    std::string engine;
    TimeUs started_at = 0;
    TimeUs ended_at = 0;
  };
  std::map<std::string, std::vector<Attempt>> attempts_;
};

/// Probabilities of what goes wrong at an engine, for each call or attempt.
struct FaultRates {
  double start_lost = 0;       // the connection is reset before the start is read
  double response_lost = 0;    // a call is read and its connection is reset instead of a response
  double response_never = 0;   // a call is read and gets no response
  double response_spoilt = 0;  // a response is not valid HTTP
  double statement_fails = 0;  // at its end
  double shed = 0;             // at its start
};

/// Follows the protocol. While it hangs, it accepts connections and reads nothing; what arrives is read when
/// it resumes, in a random order of the connections, also from connections that the peer has reset by then.
class HangingEngine {
 public:
  HangingEngine(sim::World& world, sim::Streams& streams, AttemptAudit& audit, std::string address,
                FaultRates faults, TimeUs mean_execution_us)
      : world_(world),
        audit_(audit),
        address_(std::move(address)),
        faults_(faults),
        mean_execution_us_(mean_execution_us),
        actor_(sim::Actor::make(world, "engine/" + address_)),
        random_(world.stream("engine/" + address_)) {
    streams.listen(address_, actor_,
                   [this](std::shared_ptr<rpc::ByteStream> s) { return serve(std::move(s)); });
  }
  HangingEngine(const HangingEngine&) = delete;
  HangingEngine& operator=(const HangingEngine&) = delete;

  const std::string& address() const { return address_; }

  void hang_for(TimeUs duration) {
    hangs_until_ = std::max(hangs_until_, world_.now() + duration);
    world_.after(duration, [this] { resume(); });
  }

 private:
  static constexpr TimeUs kLongPollUs = 250 * kMs;
  static constexpr TimeUs kAbandonUs = 2 * kSecond;
  using StreamPtr = std::shared_ptr<rpc::ByteStream>;

  struct Call {
    StreamPtr stream;
    http::Request request;
  };
  struct Attempt {
    size_t number = 0;  // in the audit
    TimeUs ends_at = 0;
    TimeUs asked_at = 0;
    bool ended = false;
    bool fails = false;
    StreamPtr waiting;  // connection of the call that waits for news; may be empty
    TimeUs waits_until = 0;
  };

  bool hangs() const { return world_.now() < hangs_until_; }

  rpc::Awaitable<void> serve(StreamPtr stream) {
    http::RequestReader reader{http::MessageLimits{}};
    for (;;) {
      const std::optional<std::string> bytes = co_await stream->read(4096);
      if (!bytes || bytes->empty()) co_return;
      for (auto state = reader.feed(*bytes); state == http::ParseStatus::kComplete; state = reader.feed({}))
        receive({stream, reader.take_message()});
    }
  }

  void receive(Call call) {
    if (hangs()) {
      unread_.push_back(std::move(call));
    } else {
      read(call);
    }
  }

  void resume() {
    if (hangs()) return;
    std::vector<Call> calls = std::exchange(unread_, {});
    for (size_t i = calls.size(); i > 1; --i) std::swap(calls[i - 1], calls[random_.below(i)]);
    for (const Call& call : calls) read(call);
    for (auto it = attempts_.begin(); it != attempts_.end();) tick((it++)->first);
  }

  void read(const Call& call) {
    const bool is_start = call.request.method == "POST";
    if (is_start && random_.chance(faults_.start_lost)) return call.stream->close();
    if (is_start) start(call);
    const std::string tag = tag_of(call.request);
    const auto it = attempts_.find(tag);
    if (it == attempts_.end()) {
      if (!is_start) respond(call.stream, http::serialize_response(500, {}, "", true));
      return;
    }
    if (call.request.method == "DELETE") {
      if (!it->second.ended) audit_.on_ended(tag, it->second.number, world_.now());
      attempts_.erase(it);
      respond(call.stream, http::serialize_response(204, {}, "", true));
      return;
    }
    it->second.asked_at = world_.now();
    it->second.waiting = call.stream;
    it->second.waits_until = world_.now() + kLongPollUs;
    tick(tag);
  }

  void start(const Call& call) {
    const std::string tag = tag_of(call.request);
    if (random_.chance(faults_.shed))
      return respond(call.stream, http::serialize_response(503, {{"X-Shed", "1"}}, "", true));
    if (const auto known = attempts_.find(tag); known != attempts_.end() && !known->second.ended)
      audit_.on_ended(tag, known->second.number, world_.now());  // the new attempt takes its place
    Attempt& attempt = attempts_[tag];
    attempt = {};
    attempt.number = audit_.on_started(tag, address_, world_.now());
    attempt.ends_at = world_.now() + random_.between(mean_execution_us_ / 5, 2 * mean_execution_us_);
    attempt.fails = random_.chance(faults_.statement_fails);
  }

  // Writes what is due for the attempt, and schedules the next call of this function.
  void tick(const std::string& tag) {
    const auto it = attempts_.find(tag);
    if (it == attempts_.end() || hangs()) return;
    Attempt& attempt = it->second;
    const TimeUs now = world_.now();
    if (!attempt.ended && now >= attempt.ends_at) {
      attempt.ended = true;
      audit_.on_ended(tag, attempt.number, now);
    }
    if (attempt.ended && attempt.fails) {
      if (attempt.waiting) respond(attempt.waiting, http::serialize_response(500, {}, "", true));
      attempts_.erase(it);
      return;
    }
    if (attempt.waiting && (attempt.ended || now >= attempt.waits_until)) {
      attempt.asked_at = now;
      respond(std::exchange(attempt.waiting, nullptr), news_of(attempt));
    }
    if (!attempt.waiting && now - attempt.asked_at >= kAbandonUs) {
      if (!attempt.ended) audit_.on_ended(tag, attempt.number, now);
      attempts_.erase(it);
      return;
    }
    world_.at(next_tick_at(attempt), [this, tag] { tick(tag); });
  }

  TimeUs next_tick_at(const Attempt& attempt) const {
    TimeUs at = attempt.waiting ? attempt.waits_until : attempt.asked_at + kAbandonUs;
    if (!attempt.ended) at = std::min(at, attempt.ends_at);
    return std::max(at, world_.now() + kMs);
  }

  static std::string news_of(const Attempt& attempt) {
    if (!attempt.ended) return http::serialize_response(202, {}, "", true);
    return http::serialize_response(200, {{"Page-Count", "1"}, {"Work-Ms", "90"}}, "a\t1\tx\n", true);
  }

  static std::string tag_of(const http::Request& request) {
    if (request.method == "POST") return std::string(http::field_value(request.fields, "x-ticket"));
    constexpr size_t kPathLength = sizeof("/v2/q/") - 1;
    constexpr size_t kTagLength = 16;
    return request.target.substr(kPathLength, kTagLength);
  }

  void respond(const StreamPtr& stream, std::string bytes) {
    if (random_.chance(faults_.response_never)) return;
    if (random_.chance(faults_.response_lost)) return stream->close();
    if (random_.chance(faults_.response_spoilt)) bytes = "\x01\x02 noise\r\n\r\n";
    boost::asio::co_spawn(
        world_.executor(),
        [](StreamPtr to, std::string text) -> rpc::Awaitable<void> {
          co_await rpc::write_all(*to, std::move(text));
        }(stream, std::move(bytes)),
        boost::asio::detached);
  }

  sim::World& world_;
  AttemptAudit& audit_;
  const std::string address_;
  const FaultRates faults_;
  const TimeUs mean_execution_us_;
  const std::shared_ptr<sim::Actor> actor_;
  sim::RandomStream random_;
  TimeUs hangs_until_ = 0;
  std::vector<Call> unread_;
  std::map<std::string, Attempt> attempts_;  // by tag; removed when the engine no longer knows them
};

}  // namespace sablelink::test
