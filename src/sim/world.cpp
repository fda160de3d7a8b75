#include "sim/world.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace sablelink::sim {

RandomStream::RandomStream(uint64_t seed, std::string_view name) {
  const uint64_t id = XXH3_64bits(name.data(), name.size());
  counter_ = {{0, 0, static_cast<uint32_t>(id), static_cast<uint32_t>(id >> 32)}};
  key_ = {{static_cast<uint32_t>(seed), static_cast<uint32_t>(seed >> 32)}};
}

// ---- Event log

EventLog::EventLog(bool keep_text) : keep_text_(keep_text), state_(XXH3_createState()) {
  XXH3_64bits_reset(state_);
}

EventLog::~EventLog() { XXH3_freeState(state_); }

void EventLog::append(TimeUs at, std::string_view text) {
  ++line_count_;
  XXH3_64bits_update(state_, &at, sizeof(at));
  XXH3_64bits_update(state_, text.data(), text.size());
  if (!keep_text_) return;
  char time[32];
  std::snprintf(time, sizeof(time), "%12.6f  ", static_cast<double>(at) / 1e6);
  text_ += time;
  text_ += text;
  text_ += '\n';
}

uint64_t EventLog::digest() const { return XXH3_64bits_digest(state_); }

// ---- World

World::World(uint64_t seed, EventLog& event_log)
    : seed_(seed),
      event_log_(event_log),
      context_(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE),
      guard_(context_.get_executor()) {}

World::~World() = default;

void World::at(TimeUs when, std::function<void()> fn) { events_.push(std::max(when, now_), std::move(fn)); }

bool World::step() {
  if (events_.empty()) return false;
  now_ = events_.next_deadline();
  ++steps_;
  const std::function<void()> fn = events_.pop();
  fn();
  settle();
  return true;
}

void World::run_until(TimeUs when) {
  while (!events_.empty() && events_.next_deadline() <= when) step();
  now_ = std::max(now_, when);
}

void World::settle() { context_.poll(); }

// ---- Actor

std::shared_ptr<Actor> Actor::make(World& world, std::string name) {
  return std::shared_ptr<Actor>(new Actor(world, std::move(name)));
}

void Actor::call_after(TimeUs delay, std::function<void()> fn) {
  if (!alive_) return;
  timers_.push(now() + std::max<TimeUs>(delay, 0), std::move(fn));
  schedule_next_timer();
}

// Schedules one event of the world for the earliest timer. An event that finds no expired timer has no
// effect.
void Actor::schedule_next_timer() {
  if (timers_.empty()) return;
  const TimeUs at = std::max(timers_.next_deadline() - clock_offset_, stalled_until_);
  if (scheduled_for_ != 0 && scheduled_for_ <= at) return;
  scheduled_for_ = std::max(at, world_.now());
  world_.at(scheduled_for_, [self = weak_from_this(), at = scheduled_for_] {
    const std::shared_ptr<Actor> actor = self.lock();
    if (!actor || !actor->alive_) return;
    if (actor->scheduled_for_ == at) actor->scheduled_for_ = 0;
    actor->run_pending();
  });
}

void Actor::run_pending() {
  if (stalled()) {
    schedule_next_timer();
    return;
  }
  while (!inbox_.empty()) {
    const std::function<void()> fn = std::move(inbox_.front());
    inbox_.pop_front();
    fn();
    if (!alive_) return;
    world_.settle();
  }
  const TimeUs until = now();
  while (!timers_.empty() && timers_.next_deadline() <= until) {
    const std::function<void()> fn = timers_.pop();
    fn();
    if (!alive_) return;
    world_.settle();
  }
  schedule_next_timer();
}

void Actor::deliver(std::function<void()> fn) {
  if (!alive_) return;
  if (stalled() || !inbox_.empty())
    inbox_.push_back(std::move(fn));
  else
    fn();
}

void Actor::stall(TimeUs duration) {
  if (!alive_) return;
  stalled_until_ = std::max(stalled_until_, world_.now() + duration);
  world_.at(stalled_until_, [self = weak_from_this()] {
    const std::shared_ptr<Actor> actor = self.lock();
    if (actor && actor->alive_) actor->run_pending();
  });
}

void Actor::advance_clock(TimeUs by) {
  clock_offset_ += by;
  if (!alive_) return;
  scheduled_for_ = 0;  // the scheduled event is too late for the new clock
  schedule_next_timer();
}

void Actor::kill() {
  alive_ = false;
  timers_.clear();
  inbox_.clear();
}

}  // namespace sablelink::sim
