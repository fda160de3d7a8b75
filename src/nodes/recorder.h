// Takes down what passes a stand-in's or a client's sockets, for the auditor. Times are microseconds since
// 1970 on this machine's clock.
#pragma once

#include <string>

#include "workload/types.h"

namespace sablelink::nodes {

struct NodeEvent {
  enum class Kind { kStarted, kArrived, kEnded, kFell };
  // How a call ended here: what was sent, or that the other side gave it up.
  enum class End { kAnswered, kError, kRefused, kCancelled, kBroken };
  Kind kind = Kind::kArrived;
  TimeUs at = 0;
  std::string node;
  // Of calls alone.
  std::string request;  // as the gateway names it
  std::string tag;      // as the client names it
  int attempt = 0;
  bool update = false;
  bool ran = false;    // kEnded: work was begun
  bool done = false;   // kEnded: the work was done, whoever heard of it
  double work_us = 0;  // that the statement asked for
  End end = End::kAnswered;
};

class Recorder {
 public:
  virtual ~Recorder() = default;
  virtual void record(const NodeEvent& event) = 0;
};

}  // namespace sablelink::nodes
