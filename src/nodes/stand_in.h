// A stand-in for an analytic engine: speaks Flight SQL, takes the time that its model says, and fails as it
// is told to. Keeps real time by timers, without burning CPU.
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

// Everything happens on one strand.
class StandIn {
 public:
  // The clock must outlive the node; the recorder may be none. Nodes of one fleet share their tables; one
  // that is given none has some of its own.
  StandIn(NodeConfig config, Clock& clock, Recorder* recorder, std::shared_ptr<Tables> tables = nullptr);
  ~StandIn();

  rpc::Awaitable<void> handle(std::shared_ptr<rpc::ServerCall> call);

  // Admits nothing new from now on.
  void drain() { draining_ = true; }
  // Adds a fault that begins now.
  void begin_fault(FaultKind kind, TimeUs for_us, double value);
  size_t open() const { return jobs_.size(); }
  bool fallen() const { return engine_.fallen(); }

 private:
  struct Job;
  using CallPtr = std::shared_ptr<rpc::ServerCall>;

  // prepares: a plan is told as a prepared statement.
  rpc::Awaitable<void> execute(CallPtr call, std::string statement, dispatch::ExecutionKind task,
                               bool prepares);
  rpc::Awaitable<bool> work(std::shared_ptr<Job> job);
  Content content_of(const std::string& statement) const;
  rpc::Awaitable<bool> send_rows(CallPtr call, Content content, bool break_off);
  rpc::Awaitable<void> finish(CallPtr call, rpc::Status status, std::optional<std::string> last,
                              const Job* job);
  bool struck_by(FaultKind kind) const;
  void apply_faults();
  void schedule();
  void run_engine();
  void schedule_notes();
  LoadReport reported();
  void record(const Job& job, NodeEvent::Kind kind, NodeEvent::End end);

  const NodeConfig config_;
  Clock& clock_;
  Recorder* recorder_;
  const std::shared_ptr<Tables> tables_;
  const TimeUs started_;
  Engine engine_;
  std::vector<Fault> faults_;
  bool draining_ = false;
  uint64_t last_job_ = 0;
  std::map<uint64_t, std::shared_ptr<Job>> jobs_;  // in the engine
  TimeUs armed_for_ = 0;
  bool notes_armed_ = false;
  LoadReport report_;
  TimeUs report_at_ = 0;
  std::shared_ptr<StandIn*> self_;
};

}  // namespace sablelink::nodes
