// One client's connection to the HTTP server.
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
#include "rpc/byte_stream.h"

namespace sablelink::platform {

class HttpServer;

/// How readily a connection is closed in favour of a new one, in ascending order.
enum class EvictionRank {
  kNotEvictable,    // a request is in flight or may be arriving
  kStalledRequest,  // part of a request, and nothing more for a while
  kIdle,            // served at least one request
  kUnused,          // never sent a byte
  kHalfClosed,      // has been sent its last response
};

/// Serves one request at a time; requests that arrive meanwhile (pipelining) wait while their timeouts run.
///
/// A connection is closed by half-close: bytes that arrive afterwards are read and ignored for a while, since
/// closing with unread bytes would reset the connection and could destroy the response on its way.
///
/// Owned by its coroutines and by the server's list. Used on the server's strand. Every coroutine checks
/// after each suspension that the server still exists, and touches nothing of it otherwise.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  /// `context` must exist as long as `server` is not empty.
  HttpConnection(HttpServerContext& context, WeakPtr<HttpServer> server,
                 std::shared_ptr<rpc::ByteStream> stream);

  /// Reads until the client has gone or the connection is closed.
  static rpc::Awaitable<void> run(std::shared_ptr<HttpConnection> self);

  /// Answers each request with 503, since all regular connections are in use.
  void reject_requests() { rejects_requests_ = true; }

  /// Closes the connection, or answers with an error, where a timeout has expired.
  void enforce_timeouts(TimeUs now);

  /// Closes the connection at once. A response sent just now may still arrive.
  void abort();

  /// Wakes the coroutine that has paused reading, so that it learns that the server has gone.
  void resume_reading() { reading_resumed_.set(); }

  /// Sends the response of the open request. `json_rows` are the rows of its result.
  void on_request_completed(const std::string& json_rows, const dispatch::FinalResponse& result);

  EvictionRank eviction_rank(TimeUs now) const;
  TimeUs stage_started_at() const { return stage_started_at_; }
  bool has_unread_bytes() const { return stream_->readable(); }
  bool is_client_disconnected() const { return stage_ == Stage::kClosed || stream_->peer_closed(); }

 private:
  enum class Stage { kReadingRequest, kAwaitingResult, kWritingResponse, kHalfClosed, kClosed };

  static rpc::Awaitable<void> write(std::shared_ptr<HttpConnection> self, std::string bytes, bool keep_alive);

  void on_bytes(std::string_view bytes);
  void process_next_request();
  void process_request(http::Request request);
  void submit(ClientRequest client_request, http::Request request);
  void respond(int status, const http::Fields& fields, const std::string& body, bool keep_alive);
  void respond_and_close(int status, const char* message) { respond(status, {}, message, false); }
  void respond_to_health_check(const http::Request& request);
  void enforce_read_timeouts(TimeUs elapsed_us);
  void half_close();
  void close();
  void enter(Stage stage);
  TimeUs idle_timeout_us() const;
  // So many bytes of pipelined requests wait that reading pauses until a response has been sent.
  bool is_reading_paused() const;

  HttpServerContext& context_;
  const WeakPtr<HttpServer> server_;
  const std::shared_ptr<rpc::ByteStream> stream_;
  http::RequestReader reader_;
  http::ParseStatus parse_status_ = http::ParseStatus::kNeedMore;
  Stage stage_ = Stage::kReadingRequest;
  TimeUs stage_started_at_;  // while reading a request: when its first byte arrived
  uint64_t request_count_ = 0;
  size_t ignored_bytes_ = 0;  // received after the half-close
  ArrivalTimes arrival_times_;
  AsyncEvent reading_resumed_;
  bool rejects_requests_ = false;
  bool keep_alive_ = true;  // what the client of the open request asked for
  std::string open_request_id_;
  RequestId open_request_ = 0;  // 0: none, or the dispatcher has completed it
};

}  // namespace sablelink::platform
