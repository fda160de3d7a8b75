#include "nodes/engine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sablelink::nodes {
namespace {

constexpr double kShares[] = {1, 4, 8, 16};  // of short cores, by priority
constexpr double kEps = 0.5;                 // work left, in microseconds, that counts as none

}  // namespace

double Engine::warmth(TimeUs now) const {
  if (settings_.warm_after_us <= 0) return 1;
  const double age = static_cast<double>(now - started_) / settings_.warm_after_us;
  return std::clamp(settings_.cold_from + (1 - settings_.cold_from) * age, settings_.cold_from, 1.0);
}

double Engine::memory_of(const Job& job) const {
  const double wanted = job.grant_mb > 0 ? std::min(job.grant_mb, job.memory_mb) : job.memory_mb;
  return std::min(wanted, settings_.memory_mb);
}

// A cold engine that is sent too much falls over. All work counts, what isn't admitted as well.
void Engine::note_push(TimeUs now, double work_us) {
  if (settings_.fall_us <= 0 || settings_.warm_after_us <= 0 || now - started_ >= settings_.warm_after_us)
    return;
  pushed_.emplace_back(now, work_us);
  pushed_us_ += work_us;
  while (now - pushed_.front().first > settings_.fall_us) {
    pushed_us_ -= pushed_.front().second;
    pushed_.pop_front();
  }
  if (pushed_us_ > settings_.fall_multiple * warmth(now) * settings_.cores * settings_.fall_us)
    fallen_ = true;
}

Admission Engine::admit(TimeUs now, const Job& job) {
  run_until(now);
  note_push(now, job.work_us);
  if (static_cast<double>(held()) >= settings_.sessions_per_core * settings_.cores)
    return Admission::kTooMany;
  if (memory_used_ + memory_of(job) > settings_.memory_mb || !line_.empty()) {
    const auto after = std::find_if(line_.begin(), line_.end(),
                                    [&](const Job& other) { return other.priority < job.priority; });
    line_.insert(after, job);
    start_waiting();
    return running_.contains(job.id) ? Admission::kRunning : Admission::kWaiting;
  }
  start(job);
  share_out();
  return Admission::kRunning;
}

void Engine::start(const Job& job) {
  Running r;
  r.job = job;
  double work = job.work_us;
  const auto warm = std::find(warm_.begin(), warm_.end(), job.group);
  if (job.group >= 0 && warm != warm_.end()) {
    work *= 1 - settings_.warm_saves * job.io;
    warm_.erase(warm);
  }
  if (job.group >= 0) {
    warm_.push_front(job.group);
    if (warm_.size() > settings_.warm_groups) warm_.pop_back();
  }
  if (job.memory_mb > 0) {
    const double missing = 1 - memory_of(job) / job.memory_mb;
    work *= 1 + (settings_.spill_cost - 1) * missing;
  }
  r.left_us = std::max(work, 1.0);
  r.job.work_us = r.left_us;
  r.memory_mb = memory_of(job);
  memory_used_ += r.memory_mb;
  running_[job.id] = r;
}

void Engine::start_waiting() {
  while (!line_.empty() && memory_used_ + memory_of(line_.front()) <= settings_.memory_mb) {
    const Job job = line_.front();
    line_.pop_front();
    start(job);
  }
  share_out();
}

void Engine::remove(TimeUs now, uint64_t id) {
  run_until(now);
  std::erase_if(line_, [&](const Job& job) { return job.id == id; });
  const auto it = running_.find(id);
  if (it != running_.end()) {
    memory_used_ -= it->second.memory_mb;
    running_.erase(it);
  }
  start_waiting();
}

void Engine::set_slow(TimeUs now, double factor) {
  run_until(now);
  slow_ = factor;
  share_out();
}

void Engine::set_memory(TimeUs now, double memory_mb) {
  run_until(now);
  settings_.memory_mb = memory_mb;
  start_waiting();
}

// Cores go to threads in parts by priority, none to a thread past one core; reading slows all that read where
// the disks are short.
void Engine::share_out() {
  double threads = 0;
  double reading = 0;
  for (const auto& [id, r] : running_) {
    threads += r.job.threads;
    reading += r.job.threads * r.job.io;
  }
  const double cores = settings_.cores * warmth(at_) / slow_;
  const double crowd = threads / (settings_.cores * settings_.peak_threads);
  double left = crowd > 1 ? cores / std::sqrt(crowd) : cores;
  const double disk = reading > settings_.disks ? settings_.disks / reading : 1;
  // Water-filling: whoever would get more than all its threads can use takes that, the rest share on.
  std::vector<Running*> open;
  double weight = 0;
  for (auto& [id, r] : running_) {
    r.rate = 0;
    open.push_back(&r);
    weight += kShares[r.job.priority] * r.job.threads;
  }
  const double most = std::min(1.0, cores / settings_.cores);  // of a thread, on a cold or slow engine
  for (bool again = true; again && !open.empty();) {
    again = false;
    for (auto it = open.begin(); it != open.end();) {
      Running& r = **it;
      const double share = kShares[r.job.priority] * r.job.threads;
      if (left * share / weight < r.job.threads * most) {
        ++it;
        continue;
      }
      r.rate = r.job.threads * most;
      left -= r.rate;
      weight -= share;
      it = open.erase(it);
      again = true;
    }
  }
  for (Running* r : open) r->rate = left * kShares[r->job.priority] * r->job.threads / weight;
  for (auto& [id, r] : running_) r.rate = std::max(r.rate * (1 - r.job.io + r.job.io * disk), 1e-6);
}

std::optional<TimeUs> Engine::next_end() const {
  std::optional<TimeUs> first;
  for (const auto& [id, r] : running_) {
    const TimeUs end = at_ + static_cast<TimeUs>(std::ceil(r.left_us / r.rate));
    if (!first || end < *first) first = end;
  }
  return first;
}

std::vector<uint64_t> Engine::advance(TimeUs now) {
  run_until(now);
  return std::exchange(ended_, {});
}

void Engine::run_until(TimeUs now) {
  while (at_ < now) {
    const std::optional<TimeUs> end = next_end();
    const TimeUs to = end ? std::clamp(*end, at_ + 1, now) : now;
    for (auto& [id, r] : running_) r.left_us -= r.rate * (to - at_);
    at_ = to;
    const size_t before = ended_.size();
    for (const auto& [id, r] : running_)
      if (r.left_us <= kEps) ended_.push_back(id);
    for (size_t i = before; i < ended_.size(); ++i) {
      memory_used_ -= running_[ended_[i]].memory_mb;
      running_.erase(ended_[i]);
    }
    if (ended_.size() > before)
      start_waiting();
    else
      share_out();  // a cold engine warms up
  }
}

std::optional<double> Engine::progress(uint64_t id) const {
  const auto it = running_.find(id);
  if (it == running_.end()) return waiting(id) ? std::optional(0.0) : std::nullopt;
  return 1 - it->second.left_us / it->second.job.work_us;
}

bool Engine::waiting(uint64_t id) const {
  return std::any_of(line_.begin(), line_.end(), [&](const Job& job) { return job.id == id; });
}

LoadReport Engine::report() const {
  LoadReport out;
  double threads = 0;
  double reading = 0;
  for (const auto& [id, r] : running_) {
    threads += r.job.threads;
    reading += r.job.threads * r.job.io;
  }
  out.in_flight = static_cast<double>(held());
  out.waiting_for_memory = static_cast<double>(line_.size());
  out.cpu_utilization = std::min(1.0, threads / settings_.cores);
  out.memory_utilization = settings_.memory_mb > 0 ? memory_used_ / settings_.memory_mb : 0;
  out.disk_utilization = std::min(1.0, reading / settings_.disks);
  return out;
}

}  // namespace sablelink::nodes
