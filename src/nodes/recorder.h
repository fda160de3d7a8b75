// Records the start of a stand-in node and the calls that it receives, for the auditor. Times are
// microseconds since 1970 on this machine's clock.
#pragma once

#include <string>

#include "workload/types.h"

namespace sablelink::nodes {

struct NodeEvent {
  // A start of the node, the arrival or the end of a call, or a call whose arrival made the engine collapse.
  enum class Kind { kStarted, kArrived, kEnded, kCollapsed };
  // How a call ended at the node: by a response, by an error or rejection, by the caller's cancellation, or
  // by a reset.
  enum class End { kAnswered, kError, kRejected, kCancelled, kReset };
  Kind kind = Kind::kArrived;
  TimeUs at = 0;
  std::string node;
  // The members below are set for calls only.
  std::string request;  // the gateway's identifier of the request
  std::string tag;      // the client's identifier of the request
  int attempt = 0;
  bool update = false;
  bool work_started = false;    // kEnded: the work was started
  bool work_completed = false;  // kEnded: the work was completed, even if no response was sent
  double work_us = 0;           // the work according to the statement's hint
  End end = End::kAnswered;
};

class Recorder {
 public:
  virtual ~Recorder() = default;
  virtual void record(const NodeEvent& event) = 0;
};

}  // namespace sablelink::nodes
