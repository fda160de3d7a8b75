// The platform's clients: one call at a time on each connection, each a statement that is answered as a
// whole. What can't be read, or isn't a call that a client may make, gets an error and, where framing is
// lost, a close; a connection that brings no whole call in time is closed.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "carrier/carrier.h"
#include "http/reader.h"
#include "rpc/byte_stream.h"

namespace sablelink::platform {

struct FrontOptions {
  std::vector<std::string> classes;
  std::vector<TimeUs> patience_us;    // of each class: a longer wait is out of range
  size_t connections = 100;           // at a time
  size_t statement_bytes = 64 << 10;  // longer ones are refused as wrong
};

struct FrontCounts {
  uint64_t connections = 0, calls = 0, answers = 0;
  uint64_t unreadable = 0, wrong = 0;  // calls that were turned away as such
  uint64_t too_slow = 0, evicted = 0;  // connections closed: no whole call in time; for room
};

// What a client's call asks for. Pure, for tests.
struct Call {
  int status = 0;  // of the error to answer with; 0: it can be taken
  const char* error = "";
  int cls = 0;
  TimeUs patience_us = 0;
  bool repeat = false;
  std::string id;
};
Call read_call(const http::Request& request, const FrontOptions& options);

// On the net's strand alone.
class Front {
 public:
  Front(FrontOptions options, carrier::Carrier& carrier, rpc::Dialer& net, Clock& clock);
  ~Front();

  rpc::Awaitable<void> serve(std::shared_ptr<rpc::ByteStream> stream);
  // Clients are told to come no more: health says so, and connections close after their answers.
  void leave() { leaving_ = true; }
  // No answer is on its way to a client.
  bool quiet() const;

  const FrontCounts& counts() const { return counts_; }
  size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  class Reply;

  void make_room();
  void sweep();

  const FrontOptions options_;
  carrier::Carrier& carrier_;
  rpc::Dialer& net_;
  Clock& clock_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
  std::unordered_set<std::string> open_ids_;
  bool leaving_ = false;
  FrontCounts counts_;
  std::shared_ptr<Front*> self_;  // coroutines and calls that outlive the front find it empty
};

}  // namespace sablelink::platform
