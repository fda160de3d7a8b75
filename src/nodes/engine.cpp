#include "nodes/engine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sablelink::nodes {
namespace {

constexpr double kPriorityWeights[] = {1, 4, 8, 16};  // of a thread, by the priority of its job
constexpr double kCompletionToleranceUs = 0.5;        // a job with less remaining work than this is complete

}  // namespace

double Engine::capacity_fraction(TimeUs now) const {
  if (settings_.slow_start_duration_us <= 0) return 1;
  const double age = static_cast<double>(now - started_at_) / settings_.slow_start_duration_us;
  return std::clamp(
      settings_.slow_start_min_capacity_fraction + (1 - settings_.slow_start_min_capacity_fraction) * age,
      settings_.slow_start_min_capacity_fraction, 1.0);
}

double Engine::allocated_memory_mb(const Job& job) const {
  const double requested_mb = job.grant_mb > 0 ? std::min(job.grant_mb, job.memory_mb) : job.memory_mb;
  return std::min(requested_mb, settings_.memory_mb);
}

// Counts the work of an arriving job and makes a warming engine collapse when too much arrives. Jobs that
// are not admitted count as well.
void Engine::record_arrival(TimeUs now, double work_us) {
  if (settings_.collapse_window_us <= 0 || settings_.slow_start_duration_us <= 0 ||
      now - started_at_ >= settings_.slow_start_duration_us)
    return;
  recent_arrivals_.emplace_back(now, work_us);
  recent_work_us_ += work_us;
  while (now - recent_arrivals_.front().first > settings_.collapse_window_us) {
    recent_work_us_ -= recent_arrivals_.front().second;
    recent_arrivals_.pop_front();
  }
  if (recent_work_us_ > settings_.collapse_load_multiple * capacity_fraction(now) * settings_.cores *
                            settings_.collapse_window_us)
    collapsed_ = true;
}

Admission Engine::admit(TimeUs now, const Job& job) {
  run_until(now);
  record_arrival(now, job.work_us);
  if (static_cast<double>(in_flight_count()) >= settings_.sessions_per_core * settings_.cores)
    return Admission::kTooManySessions;
  if (memory_used_ + allocated_memory_mb(job) > settings_.memory_mb || !memory_queue_.empty()) {
    const auto position = std::find_if(memory_queue_.begin(), memory_queue_.end(),
                                       [&](const Job& other) { return other.priority < job.priority; });
    memory_queue_.insert(position, job);
    start_queued_jobs();
    return running_.contains(job.id) ? Admission::kRunning : Admission::kQueued;
  }
  start(job);
  allocate_resources();
  return Admission::kRunning;
}

void Engine::start(const Job& job) {
  RunningJob r;
  r.job = job;
  double work = job.work_us;
  const auto cached = std::find(cached_groups_.begin(), cached_groups_.end(), job.table_group);
  if (job.table_group >= 0 && cached != cached_groups_.end()) {
    work *= 1 - settings_.cached_io_saving * job.io_fraction;
    cached_groups_.erase(cached);
  }
  if (job.table_group >= 0) {
    cached_groups_.push_front(job.table_group);
    if (cached_groups_.size() > settings_.max_cached_groups) cached_groups_.pop_back();
  }
  if (job.memory_mb > 0) {
    const double missing_fraction = 1 - allocated_memory_mb(job) / job.memory_mb;
    work *= 1 + (settings_.max_spill_factor - 1) * missing_fraction;
  }
  r.remaining_work_us = std::max(work, 1.0);
  r.job.work_us = r.remaining_work_us;
  r.memory_mb = allocated_memory_mb(job);
  memory_used_ += r.memory_mb;
  running_[job.id] = r;
}

void Engine::start_queued_jobs() {
  while (!memory_queue_.empty() &&
         memory_used_ + allocated_memory_mb(memory_queue_.front()) <= settings_.memory_mb) {
    const Job job = memory_queue_.front();
    memory_queue_.pop_front();
    start(job);
  }
  allocate_resources();
}

void Engine::remove(TimeUs now, uint64_t id) {
  run_until(now);
  std::erase_if(memory_queue_, [&](const Job& job) { return job.id == id; });
  const auto it = running_.find(id);
  if (it != running_.end()) {
    memory_used_ -= it->second.memory_mb;
    running_.erase(it);
  }
  start_queued_jobs();
}

void Engine::set_slowdown(TimeUs now, double factor) {
  run_until(now);
  slowdown_ = factor;
  allocate_resources();
}

void Engine::set_memory(TimeUs now, double memory_mb) {
  run_until(now);
  settings_.memory_mb = memory_mb;
  start_queued_jobs();
}

// Recomputes the rates of all running jobs. Threads get cores in proportion to the weights of their
// priorities, at most one core each. When more threads do I/O than the disks can serve, the I/O of all jobs
// slows down.
void Engine::allocate_resources() {
  double threads = 0;
  double io_threads = 0;
  for (const auto& [id, r] : running_) {
    threads += r.job.threads;
    io_threads += r.job.threads * r.job.io_fraction;
  }
  const double cores = settings_.cores * capacity_fraction(model_time_) / slowdown_;
  const double oversubscription = threads / (settings_.cores * settings_.peak_threads_per_core);
  double available_cores = oversubscription > 1 ? cores / std::sqrt(oversubscription) : cores;
  const double io_speed =
      io_threads > settings_.full_speed_io_threads ? settings_.full_speed_io_threads / io_threads : 1;
  // Water-filling: a job whose share exceeds what its threads can use gets just that, and the remaining cores
  // are divided among the other jobs.
  std::vector<RunningJob*> unsaturated;
  double total_weight = 0;
  for (auto& [id, r] : running_) {
    r.rate = 0;
    unsaturated.push_back(&r);
    total_weight += kPriorityWeights[r.job.priority] * r.job.threads;
  }
  // A warming or slowed engine runs each thread slower.
  const double max_thread_rate = std::min(1.0, cores / settings_.cores);
  for (bool changed = true; changed && !unsaturated.empty();) {
    changed = false;
    for (auto it = unsaturated.begin(); it != unsaturated.end();) {
      RunningJob& r = **it;
      const double weight = kPriorityWeights[r.job.priority] * r.job.threads;
      if (available_cores * weight / total_weight < r.job.threads * max_thread_rate) {
        ++it;
        continue;
      }
      r.rate = r.job.threads * max_thread_rate;
      available_cores -= r.rate;
      total_weight -= weight;
      it = unsaturated.erase(it);
      changed = true;
    }
  }
  for (RunningJob* r : unsaturated)
    r->rate = available_cores * kPriorityWeights[r->job.priority] * r->job.threads / total_weight;
  for (auto& [id, r] : running_)
    r.rate = std::max(r.rate * (1 - r.job.io_fraction + r.job.io_fraction * io_speed), 1e-6);
}

std::optional<TimeUs> Engine::next_completion() const {
  std::optional<TimeUs> earliest;
  for (const auto& [id, r] : running_) {
    const TimeUs end = model_time_ + static_cast<TimeUs>(std::ceil(r.remaining_work_us / r.rate));
    if (!earliest || end < *earliest) earliest = end;
  }
  return earliest;
}

std::vector<uint64_t> Engine::advance(TimeUs now) {
  run_until(now);
  return std::exchange(completed_, {});
}

void Engine::run_until(TimeUs now) {
  while (model_time_ < now) {
    const std::optional<TimeUs> end = next_completion();
    const TimeUs step_end = end ? std::clamp(*end, model_time_ + 1, now) : now;
    for (auto& [id, r] : running_) r.remaining_work_us -= r.rate * (step_end - model_time_);
    model_time_ = step_end;
    const size_t count_before = completed_.size();
    for (const auto& [id, r] : running_)
      if (r.remaining_work_us <= kCompletionToleranceUs) completed_.push_back(id);
    for (size_t i = count_before; i < completed_.size(); ++i) {
      memory_used_ -= running_[completed_[i]].memory_mb;
      running_.erase(completed_[i]);
    }
    if (completed_.size() > count_before)
      start_queued_jobs();
    else
      allocate_resources();  // the capacity grows during the warm-up
  }
}

std::optional<double> Engine::progress(uint64_t id) const {
  const auto it = running_.find(id);
  if (it == running_.end()) return is_queued(id) ? std::optional(0.0) : std::nullopt;
  return 1 - it->second.remaining_work_us / it->second.job.work_us;
}

bool Engine::is_queued(uint64_t id) const {
  return std::any_of(memory_queue_.begin(), memory_queue_.end(),
                     [&](const Job& job) { return job.id == id; });
}

LoadReport Engine::report() const {
  LoadReport out;
  double threads = 0;
  double io_threads = 0;
  for (const auto& [id, r] : running_) {
    threads += r.job.threads;
    io_threads += r.job.threads * r.job.io_fraction;
  }
  out.in_flight = static_cast<double>(in_flight_count());
  out.waiting_for_memory = static_cast<double>(memory_queue_.size());
  out.cpu_utilization = std::min(1.0, threads / settings_.cores);
  out.memory_utilization = settings_.memory_mb > 0 ? memory_used_ / settings_.memory_mb : 0;
  out.disk_utilization = std::min(1.0, io_threads / settings_.full_speed_io_threads);
  return out;
}

}  // namespace sablelink::nodes
