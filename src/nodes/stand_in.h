// A stand-in node: emulates an analytic engine that serves Flight SQL. Statements take as long as the engine
// model (nodes/engine.h) computes, and faults can be injected. It waits on timers and doesn't use the CPU for
// the emulated work.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <string>

#include "arrowipc/array.h"
#include "base/clock.h"
#include "dispatch/attempt.h"
#include "nodes/content.h"
#include "nodes/engine.h"
#include "nodes/node_config.h"
#include "nodes/recorder.h"
#include "rpc/rpc.h"

namespace sablelink::nodes {

// Not thread-safe: everything runs on one strand.
class StandIn {
 public:
  // The clock must outlive the node. The recorder may be nullptr. Nodes of one fleet share their tables;
  // without tables the node creates its own.
  StandIn(NodeConfig config, Clock& clock, Recorder* recorder,
          std::shared_ptr<TableCatalog> tables = nullptr);
  ~StandIn();

  rpc::Awaitable<void> handle(std::shared_ptr<rpc::ServerCall> call);

  // Rejects new statements from now on.
  void drain() { draining_ = true; }
  // Starts a fault now.
  void begin_fault(FaultKind kind, TimeUs duration_us, double value);
  size_t open_runs() const { return runs_.size(); }
  bool collapsed() const { return engine_.collapsed(); }

 private:
  struct Run;
  using CallPtr = std::shared_ptr<rpc::ServerCall>;

  // as_prepared_statement: the response to a plan is a prepared statement instead of a schema.
  rpc::Awaitable<void> execute(CallPtr call, std::string statement, dispatch::ExecutionKind kind,
                               bool as_prepared_statement);
  rpc::Awaitable<bool> wait_for_completion(std::shared_ptr<Run> run);
  Content content_of(const std::string& statement) const;
  rpc::Awaitable<bool> send_rows(CallPtr call, Content content, bool reset_after_first_batch);
  rpc::Awaitable<void> finish(CallPtr call, rpc::Status status, std::optional<std::string> final_message,
                              const Run* run);
  bool has_active_fault(FaultKind kind) const;
  void apply_faults();
  void schedule_completion();
  void advance_engine();
  void schedule_progress_notes();
  LoadReport current_report();
  void record(const Run& run, NodeEvent::Kind kind, NodeEvent::End end);

  const NodeConfig config_;
  Clock& clock_;
  Recorder* recorder_;
  const std::shared_ptr<TableCatalog> tables_;
  const TimeUs started_at_;
  Engine engine_;
  std::vector<Fault> faults_;
  bool draining_ = false;
  uint64_t last_run_id_ = 0;
  std::map<uint64_t, std::shared_ptr<Run>> runs_;  // running or queued in the engine, by id
  TimeUs completion_timer_at_ = 0;                 // 0: no timer is pending
  bool progress_timer_pending_ = false;
  LoadReport report_;
  TimeUs report_refreshed_at_ = 0;
  std::shared_ptr<StandIn*> self_;  // shared with callbacks; points to nullptr after destruction
};

}  // namespace sablelink::nodes
