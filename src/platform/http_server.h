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
#include "dispatch/request_dispatcher.h"
#include "http/reader.h"
#include "rpc/byte_stream.h"

namespace sablelink::platform {

struct HttpServerOptions {
  std::vector<std::string> classes, tenants;
  std::vector<TimeUs> max_timeout_us;     // of each class: a longer wait is out of range
  size_t max_connections = 100;           // at a time; where all are at work, the last tenth is told so
  size_t max_statement_bytes = 64 << 10;  // longer ones are refused as wrong
};

struct HttpServerCounters {
  uint64_t accepted_connections = 0, requests = 0, responses = 0;
  uint64_t malformed_requests = 0, invalid_requests = 0;  // calls that were turned away as such
  uint64_t request_timeouts = 0,
           evicted_connections = 0;   // connections closed: no whole call in time; for room
  uint64_t rejected_at_capacity = 0;  // connections told that there is no room, or closed unread for it
};

// What a client's call asks for. Pure, for tests.
struct ClientRequest {
  int status = 0;  // of the error to answer with; 0: it can be taken
  const char* error = "";
  int class_index = 0;
  TimeUs timeout_us = 0;
  bool is_retry = false;
  int tenant = 0;
  std::optional<double> estimated_cost_us;  // the client's estimate of its work
  double estimated_memory_mb = 0;           // ... and of its memory; 0: none
  std::string id, idempotency_key, ordering_key;
};
ClientRequest parse_client_request(const http::Request& request, const HttpServerOptions& options);

// On the net's strand alone.
class HttpServer {
 public:
  HttpServer(HttpServerOptions options, dispatch::RequestDispatcher& dispatcher, rpc::Dialer& net,
             Clock& clock);
  ~HttpServer();

  rpc::Awaitable<void> serve(std::shared_ptr<rpc::ByteStream> stream);
  // The drain begins: health says so, and connections close after their answers.
  void start_draining() { draining_ = true; }
  // Closes the connections at rest, now and from now on. What has come is still taken.
  void close_idle_connections();
  // No client is connected, or waits for anything.
  bool is_idle() const { return connections_.empty(); }

  const HttpServerCounters& counters() const { return counts_; }
  size_t connection_count() const { return connections_.size(); }

 private:
  class Connection;
  class Reply;

  bool make_room();
  void sweep();

  const HttpServerOptions options_;
  dispatch::RequestDispatcher& dispatcher_;
  rpc::Dialer& net_;
  Clock& clock_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
  std::unordered_set<std::string> open_ids_;
  bool draining_ = false, closing_resting_ = false;
  HttpServerCounters counts_;
  std::shared_ptr<HttpServer*> self_;  // coroutines and calls that outlive the front find it empty
};

}  // namespace sablelink::platform
