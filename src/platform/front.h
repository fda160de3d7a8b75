// The platform's clients: one call at a time on each connection, each a statement that is answered as a
// whole. What can't be read, or isn't a call that a client may make, gets an error and, where framing is
// lost, a close; a connection that brings no whole call in time is closed. Calls that come before the answer
// to the one before (pipelining) wait, their times running.
//
// A connection is closed by half-close: nothing that comes after that is taken, and what was written arrives.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "carrier/carrier.h"
#include "http/reader.h"
#include "rpc/byte_stream.h"

namespace sablelink::platform {

struct FrontOptions {
  std::vector<std::string> classes, tenants;
  std::vector<TimeUs> patience_us;    // of each class: a longer wait is out of range
  size_t connections = 100;           // at a time; where all are at work, the last tenth is told so
  size_t statement_bytes = 64 << 10;  // longer ones are refused as wrong
};

struct FrontCounts {
  uint64_t connections = 0, calls = 0, answers = 0;
  uint64_t unreadable = 0, wrong = 0;  // calls that were turned away as such
  uint64_t too_slow = 0, evicted = 0;  // connections closed: no whole call in time; for room
  uint64_t no_room = 0;                // connections told that there is no room, or closed unread for it
};

// What a client's call asks for. Pure, for tests.
struct Call {
  int status = 0;  // of the error to answer with; 0: it can be taken
  const char* error = "";
  int cls = 0;
  TimeUs patience_us = 0;
  bool repeat = false;
  int tenant = 0;
  std::optional<double> cost_us;  // the client's estimate of its work
  double need_mb = 0;             // ... and of its memory; 0: none
  std::string id, idempotency_key, object;
};
Call read_call(const http::Request& request, const FrontOptions& options);

// On the net's strand alone.
class Front {
 public:
  Front(FrontOptions options, carrier::Carrier& carrier, rpc::Dialer& net, Clock& clock);
  ~Front();

  rpc::Awaitable<void> serve(std::shared_ptr<rpc::ByteStream> stream);
  // The drain begins: health says so, and connections close after their answers.
  void drain() { draining_ = true; }
  // Closes the connections at rest, now and from now on. What has come is still taken.
  void close_resting();
  // No client is connected, or waits for anything.
  bool quiet() const { return connections_.empty(); }

  const FrontCounts& counts() const { return counts_; }
  size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  class Reply;

  bool make_room();
  void sweep();

  const FrontOptions options_;
  carrier::Carrier& carrier_;
  rpc::Dialer& net_;
  Clock& clock_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
  std::unordered_set<std::string> open_ids_;
  bool draining_ = false, closing_resting_ = false;
  FrontCounts counts_;
  std::shared_ptr<Front*> self_;  // coroutines and calls that outlive the front find it empty
};

}  // namespace sablelink::platform
