// A client's connection to the HTTP server.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/async_event.h"
#include "base/weak_ptr.h"
#include "dispatch/response_sink.h"
#include "http/reader.h"
#include "platform/arrival_times.h"
#include "platform/client_request.h"
#include "platform/http_server_context.h"
#include "platform/memory_budget.h"
#include "rpc/byte_stream.h"

namespace sablelink::platform {

class HttpServer;

/// Priority with which a connection is closed in favour of a new one, in ascending order.
enum class EvictionRank {
  kNotEvictable,    // a request is in flight or may be arriving
  kStalledRequest,  // a request has been incomplete for too long
  kIdle,            // has served at least one request
  kUnused,          // has received no bytes
  kHalfClosed,      // has sent its last response
};

/// Serves one request at a time. Pipelined requests wait; their timeouts start at their arrival.
///
/// A connection is half-closed first. Bytes that arrive afterwards are read and ignored for a limited time,
/// because closing a socket with unread bytes resets the connection and may discard a response in transit.
///
/// Owned by its coroutines and by the server's list. Used only on the server's strand. After each suspension,
/// a coroutine checks that the server still exists before it uses the context.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  /// `context` must exist while `server` is not null.
  HttpConnection(HttpServerContext& context, WeakPtr<HttpServer> server,
                 std::shared_ptr<rpc::ByteStream> stream);

  /// Reads until the client disconnects or the connection is closed.
  static rpc::Awaitable<void> run(std::shared_ptr<HttpConnection> self);

  /// Rejects all requests with 503. Used when all regular connections are in use.
  void reject_requests() { rejects_requests_ = true; }

  /// Closes the connection or sends an error response if a timeout has expired.
  void enforce_timeouts(TimeUs now);

  /// Closes the connection if its client has disconnected unnoticed because reading is paused.
  void close_if_disconnected();

  /// Closes the connection immediately. A response that has just been sent can still be delivered.
  void abort();

  /// Resumes the coroutine that has paused reading, so that it detects the destruction of the server.
  void resume_reading() { reading_resumed_.set(); }

  /// Sends the response to the open request. `json_rows` are the rows of its result as JSON.
  void on_request_completed(const std::string& json_rows, const dispatch::FinalResponse& result);

  bool is_closed() const { return stage_ == Stage::kClosed; }
  EvictionRank eviction_rank(TimeUs now) const;
  TimeUs stage_started_at() const { return stage_started_at_; }
  bool has_unread_bytes() const { return stream_->readable(); }
  bool is_client_disconnected() const { return stage_ == Stage::kClosed || stream_->peer_closed(); }

 private:
  enum class Stage { kReadingRequest, kAwaitingResult, kWritingResponse, kHalfClosed, kClosed };

  static rpc::Awaitable<void> write(std::shared_ptr<HttpConnection> self, std::string bytes, bool keep_alive);

  void on_bytes(std::string_view bytes);
  // Updates the reserved bytes to those that the reader stores.
  void update_buffer_reservation() { buffer_reservation_.resize(reader_.stored_bytes()); }
  void process_next_request();
  void process_request(http::Request request);
  void submit(ClientRequest client_request, http::Request request);
  void respond(int status, const http::Fields& fields, const std::string& body, bool keep_alive);
  void respond_and_close(int status, const char* message) { respond(status, {}, message, false); }
  void respond_to_health_check(const http::Request& request);
  void enforce_read_timeouts(TimeUs elapsed_us);
  void enforce_memory_wait(TimeUs elapsed_us);
  void discard_buffers();
  void half_close();
  void close();
  void enter_stage(Stage stage);
  TimeUs idle_timeout_us() const;
  // Whether nothing is read for now: too many bytes of pipelined requests are buffered to read more before
  // the next response is sent, or the memory of requests is exhausted.
  bool is_reading_paused() const;
  // Whether a request is read no further until requests use less memory.
  bool waits_for_memory() const;

  HttpServerContext& context_;
  const WeakPtr<HttpServer> server_;
  const std::shared_ptr<rpc::ByteStream> stream_;
  http::RequestReader reader_;
  MemoryReservation buffer_reservation_;
  MemoryReservation response_reservation_;  // of the response that is being written
  http::ParseStatus parse_status_ = http::ParseStatus::kNeedMore;
  Stage stage_ = Stage::kReadingRequest;
  TimeUs stage_started_at_;  // in kReadingRequest: start of the connection or arrival of the request's first
                             // byte
  uint64_t request_count_ = 0;
  size_t ignored_bytes_ = 0;  // received after the half-close
  ArrivalTimes arrival_times_;
  AsyncEvent reading_resumed_;
  bool rejects_requests_ = false;
  bool has_waited_for_memory_ = false;   // the request that is being read
  bool keep_alive_ = true;               // requested by the client with the open request
  std::string client_request_id_;        // of the open request
  RequestId dispatcher_request_id_ = 0;  // of the open request; 0: none, or completed by the dispatcher
};

}  // namespace sablelink::platform
