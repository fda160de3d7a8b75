#include "platform/http_connection.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "sql/table_group.h"

namespace sablelink::platform {
namespace {

constexpr TimeUs kRequestReadTimeoutUs = 2'500'000;  // since the start of the connection or of the request
constexpr TimeUs kIdleTimeoutUs = 5'000'000;         // most clients close idle connections after 4 s
constexpr TimeUs kWriteTimeoutUs = 5'000'000;
constexpr TimeUs kHalfCloseTimeoutUs = 1'000'000;  // for a client that is still sending to read its response
constexpr size_t kMaxIgnoredBytes = 256 << 10;     // received after the half-close
constexpr size_t kReadBytes = 8 << 10;
constexpr size_t kMaxPipelinedBytes = 16 << 10;
constexpr size_t kSmallRequestBytes = 4 << 10;  // always read: the number of connections limits their memory
constexpr TimeUs kMaxMemoryWaitUs = 1'000'000;  // of a larger request, from its first byte
constexpr TimeUs kNewConnectionGraceUs = 15'000;  // the first bytes arrive one round trip later
constexpr TimeUs kStalledRequestUs = 1'000'000;   // from the request's first byte
constexpr TimeUs kResponseDeliveryUs = 100'000;   // within which a client reads its response

constexpr char kRejectedBody[] = R"({"failure":"Full"})";
constexpr char kFailedBody[] = R"({"failure":"Error"})";

http::Fields json_content_type() { return {{"Content-Type", "application/json"}}; }

// Never 0, which means "no key" in the decision module.
uint64_t ordering_key_hash(std::string_view key) {
  return std::max<uint64_t>(XXH3_64bits(key.data(), key.size()), 1);
}

http::MessageLimits message_limits(const HttpServerOptions& options) {
  http::MessageLimits limits;
  limits.max_body_bytes = options.max_statement_bytes;
  return limits;
}

// Returns a statement that counts as `bytes` of the budget for as long as it exists.
std::shared_ptr<dispatch::Statement> make_counted_statement(const std::shared_ptr<MemoryBudget>& memory,
                                                            size_t bytes) {
  struct CountedStatement {
    CountedStatement(const std::shared_ptr<MemoryBudget>& budget, size_t size)
        : reservation(budget, MemoryUse::kStatements, size) {}
    MemoryReservation reservation;
    dispatch::Statement statement;
  };
  const auto counted = std::make_shared<CountedStatement>(memory, bytes);
  return {counted, &counted->statement};
}

// Collects the result rows of a request for its connection, which may be destroyed before completion.
class HttpResponseSink : public dispatch::ResponseSink {
 public:
  explicit HttpResponseSink(std::weak_ptr<HttpConnection> connection) : connection_(std::move(connection)) {}
  void write(std::string message) override { json_rows_ += message; }
  void finish(const dispatch::FinalResponse& result) override {
    if (const auto connection = connection_.lock()) connection->on_request_completed(json_rows_, result);
  }
  bool is_client_disconnected() const override {
    const auto connection = connection_.lock();
    return !connection || connection->is_client_disconnected();
  }
  bool consumes_immediately() const override { return true; }

 private:
  const std::weak_ptr<HttpConnection> connection_;
  std::string json_rows_;
};

}  // namespace

HttpConnection::HttpConnection(HttpServerContext& context, WeakPtr<HttpServer> server,
                               std::shared_ptr<rpc::ByteStream> stream)
    : context_(context),
      server_(std::move(server)),
      stream_(std::move(stream)),
      reader_(message_limits(context.options)),
      buffer_reservation_(context.memory, MemoryUse::kRequestBuffers),
      response_reservation_(context.memory, MemoryUse::kResponses),
      stage_started_at_(context.clock.now()) {}

// ---- Reading

rpc::Awaitable<void> HttpConnection::run(std::shared_ptr<HttpConnection> self) {
  while (self->stage_ != Stage::kClosed) {
    const std::optional<std::string> bytes = co_await self->stream_->read(kReadBytes);
    if (!self->server_) co_return;
    const bool client_disconnected = !bytes || bytes->empty();
    if (client_disconnected || self->stage_ == Stage::kClosed) break;
    self->on_bytes(*bytes);
    while (self->is_reading_paused()) {
      co_await self->reading_resumed_.wait();
      if (!self->server_) co_return;
    }
  }
  self->close();
}

bool HttpConnection::is_reading_paused() const {
  switch (stage_) {
    case Stage::kReadingRequest:
      return waits_for_memory();
    case Stage::kAwaitingResult:
    case Stage::kWritingResponse:
      return reader_.stored_bytes() > kMaxPipelinedBytes || waits_for_memory();
    case Stage::kHalfClosed:
    case Stage::kClosed:
      return false;
  }
  return false;
}

bool HttpConnection::waits_for_memory() const {
  return context_.memory->is_exhausted() && reader_.stored_bytes() > kSmallRequestBytes;
}

void HttpConnection::on_bytes(std::string_view bytes) {
  const TimeUs now = context_.clock.now();
  switch (stage_) {
    case Stage::kReadingRequest:
      if (reader_.is_at_message_start() && request_count_ > 0) stage_started_at_ = now;
      arrival_times_.record(bytes.size(), now);
      parse_status_ = reader_.feed(bytes);
      update_buffer_reservation();
      process_next_request();
      return;
    case Stage::kAwaitingResult:
    case Stage::kWritingResponse:
      arrival_times_.record(bytes.size(), now);
      reader_.feed(bytes);
      update_buffer_reservation();
      return;
    case Stage::kHalfClosed:
      ignored_bytes_ += bytes.size();
      if (ignored_bytes_ > kMaxIgnoredBytes) close();
      return;
    case Stage::kClosed:
      return;
  }
}

// ---- Requests

void HttpConnection::process_next_request() {
  if (stage_ != Stage::kReadingRequest) return;
  switch (parse_status_) {
    case http::ParseStatus::kNeedMore:
      // All received bytes belong to one request, whose timeout starts at its last byte.
      arrival_times_.discard_all_but_newest();
      has_waited_for_memory_ = has_waited_for_memory_ || waits_for_memory();
      return;
    case http::ParseStatus::kMalformed:
      ++context_.counters.malformed_requests;
      respond_and_close(reader_.error_status(), reader_.error());
      return;
    case http::ParseStatus::kComplete: {
      http::Request request = reader_.take_message();
      update_buffer_reservation();
      parse_status_ = http::ParseStatus::kNeedMore;
      process_request(std::move(request));
      return;
    }
  }
}

void HttpConnection::process_request(http::Request request) {
  ++request_count_;
  ++context_.counters.requests;
  keep_alive_ = request.keep_alive;
  if (request.target == "/healthz") {
    respond_to_health_check(request);
    return;
  }
  auto parsed = parse_client_request(request, context_.options);
  if (const auto* valid = std::get_if<ClientRequest>(&parsed);
      valid != nullptr && context_.open_request_ids.contains(valid->id))
    parsed = ClientRequestError{409, "a request with this id is in progress"};
  if (const auto* error = std::get_if<ClientRequestError>(&parsed)) {
    ++context_.counters.invalid_requests;
    respond(error->status, {}, error->message, keep_alive_);
    return;
  }
  if (rejects_requests_) {
    ++context_.counters.rejected_at_capacity;
    respond(503, json_content_type(), kRejectedBody, false);
    return;
  }
  submit(std::move(std::get<ClientRequest>(parsed)), std::move(request));
}

void HttpConnection::respond_to_health_check(const http::Request& request) {
  if (request.method != "GET") {
    respond(405, {}, "", keep_alive_);
    return;
  }
  respond(context_.is_draining ? 503 : 200, {}, "", keep_alive_);
}

void HttpConnection::submit(ClientRequest client_request, http::Request request) {
  const std::shared_ptr<dispatch::Statement> statement =
      make_counted_statement(context_.memory, request.body.size());
  statement->text = std::move(request.body);
  statement->client_tag = client_request.id;
  statement->idempotency_key = std::move(client_request.idempotency_key);
  statement->ordering_key = std::move(client_request.ordering_key);
  QueryRequest query;
  query.tenant = client_request.tenant;
  query.estimated_cost_us = client_request.estimated_cost_us;
  query.estimated_memory_mb = client_request.estimated_memory_mb;
  if (!statement->ordering_key.empty()) query.key = ordering_key_hash(statement->ordering_key);
  query.class_index = client_request.class_index;
  TimeUs arrived_at =
      arrival_times_.consume_until_pending(reader_.buffered_bytes()).value_or(context_.clock.now());
  // While reading was paused, the last byte may have waited in the kernel.
  if (std::exchange(has_waited_for_memory_, false)) arrived_at = std::min(arrived_at, stage_started_at_);
  query.deadline = arrived_at + client_request.timeout_us;
  query.table_group = sql::table_group(statement->text);
  query.is_client_retry = client_request.is_retry;
  client_request_id_ = client_request.id;
  context_.open_request_ids.insert(client_request_id_);
  stage_ = Stage::kAwaitingResult;
  const RequestId id =
      context_.dispatcher.submit(query, statement, std::make_shared<HttpResponseSink>(weak_from_this()));
  const bool completed_at_once = stage_ != Stage::kAwaitingResult;
  if (!completed_at_once) dispatcher_request_id_ = id;
}

void HttpConnection::on_request_completed(const std::string& json_rows,
                                          const dispatch::FinalResponse& result) {
  if (!server_) return;
  context_.open_request_ids.erase(client_request_id_);
  dispatcher_request_id_ = 0;
  if (stage_ != Stage::kAwaitingResult) return;
  http::Fields fields = json_content_type();
  switch (result.status) {
    case dispatch::RequestStatus::kServed:
      respond(200, fields, "{\"rows\":[" + json_rows + "]}", keep_alive_);
      return;
    case dispatch::RequestStatus::kRejected:
      if (result.retry_after_us > 0)
        fields.emplace_back("Retry-After-Ms", std::to_string((result.retry_after_us + 999) / 1000));
      respond(503, fields, kRejectedBody, keep_alive_);
      return;
    case dispatch::RequestStatus::kFailed:
      respond(500, fields, kFailedBody, keep_alive_);
      return;
  }
}

// ---- Responses

void HttpConnection::respond(int status, const http::Fields& fields, const std::string& body,
                             bool keep_alive) {
  ++context_.counters.responses;
  // While draining, a connection closes only after the responses to all requests that have arrived on it.
  if (context_.is_draining && reader_.buffered_bytes() == 0 && !stream_->readable()) keep_alive = false;
  keep_alive = keep_alive && !rejects_requests_;
  if (!keep_alive) discard_buffers();
  enter_stage(Stage::kWritingResponse);
  std::string bytes = http::serialize_response(status, fields, body, keep_alive);
  response_reservation_.resize(bytes.size());
  boost::asio::co_spawn(context_.executor, write(shared_from_this(), std::move(bytes), keep_alive),
                        boost::asio::detached);
}

rpc::Awaitable<void> HttpConnection::write(std::shared_ptr<HttpConnection> self, std::string bytes,
                                           bool keep_alive) {
  const bool written = co_await rpc::write_all(*self->stream_, std::move(bytes));
  self->response_reservation_.resize(0);
  if (!self->server_ || self->stage_ != Stage::kWritingResponse) co_return;
  if (!written) {
    self->close();
    co_return;
  }
  if (!keep_alive) {
    self->half_close();
    co_return;
  }
  self->enter_stage(Stage::kReadingRequest);
  self->reading_resumed_.set();
  self->parse_status_ = self->reader_.feed({});
  self->process_next_request();
}

// ---- Closing

void HttpConnection::enter_stage(Stage stage) {
  stage_ = stage;
  stage_started_at_ = context_.clock.now();
}

// Nothing more is read from a connection that closes after its response.
void HttpConnection::discard_buffers() {
  reader_.discard();
  update_buffer_reservation();
}

void HttpConnection::half_close() {
  enter_stage(Stage::kHalfClosed);
  stream_->shutdown_write();
}

void HttpConnection::abort() {
  const bool response_in_transit =
      request_count_ > 0 && context_.clock.now() - stage_started_at_ <= kResponseDeliveryUs;
  if (response_in_transit)
    stream_->shutdown_write();
  else
    stream_->reset();
  close();
}

void HttpConnection::close() {
  if (stage_ == Stage::kClosed) return;
  stage_ = Stage::kClosed;
  reading_resumed_.set();
  stream_->close();
  const RequestId id = std::exchange(dispatcher_request_id_, 0);
  if (id == 0) return;
  context_.open_request_ids.erase(client_request_id_);
  context_.dispatcher.on_client_disconnected(id);
}

void HttpConnection::close_if_disconnected() {
  // While reading is paused, only this check detects that the client has disconnected.
  if (is_reading_paused() && stream_->peer_closed()) close();
}

void HttpConnection::enforce_timeouts(TimeUs now) {
  close_if_disconnected();
  if (!is_reading_paused()) reading_resumed_.set();
  const TimeUs elapsed_us = now - stage_started_at_;
  switch (stage_) {
    case Stage::kReadingRequest:
      if (waits_for_memory())
        enforce_memory_wait(elapsed_us);
      else
        enforce_read_timeouts(elapsed_us);
      return;
    case Stage::kAwaitingResult:
      return;
    case Stage::kWritingResponse:
      if (elapsed_us > kWriteTimeoutUs) close();
      return;
    case Stage::kHalfClosed:
      if (elapsed_us > kHalfCloseTimeoutUs) abort();
      return;
    case Stage::kClosed:
      return;
  }
}

// A request that waits is answered before the listener's process ends: its last byte may be in the kernel.
void HttpConnection::enforce_memory_wait(TimeUs elapsed_us) {
  if (elapsed_us <= kMaxMemoryWaitUs && !context_.closes_idle_connections) return;
  ++context_.counters.rejected_for_memory;
  respond(503, json_content_type(), kRejectedBody, false);
  reading_resumed_.set();
}

// A connection with unread bytes in the kernel stays open: they may be a request or a part of one.
void HttpConnection::enforce_read_timeouts(TimeUs elapsed_us) {
  const bool is_idle = reader_.is_at_message_start();
  if (is_idle && (request_count_ > 0 || context_.closes_idle_connections)) {
    if (elapsed_us >= idle_timeout_us() && !stream_->readable()) half_close();
    return;
  }
  if (elapsed_us <= kRequestReadTimeoutUs || stream_->readable()) return;
  ++context_.counters.request_timeouts;
  respond_and_close(408, "request not received within 2.5 s");
}

TimeUs HttpConnection::idle_timeout_us() const {
  if (!context_.closes_idle_connections) return kIdleTimeoutUs;
  return request_count_ > 0 ? 0 : kNewConnectionGraceUs;
}

EvictionRank HttpConnection::eviction_rank(TimeUs now) const {
  const TimeUs elapsed_us = now - stage_started_at_;
  if (stage_ == Stage::kHalfClosed)
    return elapsed_us > kResponseDeliveryUs ? EvictionRank::kHalfClosed : EvictionRank::kNotEvictable;
  if (stage_ != Stage::kReadingRequest) return EvictionRank::kNotEvictable;
  if (!reader_.is_at_message_start())
    return elapsed_us > kStalledRequestUs ? EvictionRank::kStalledRequest : EvictionRank::kNotEvictable;
  if (request_count_ > 0) return EvictionRank::kIdle;
  return elapsed_us > kNewConnectionGraceUs ? EvictionRank::kUnused : EvictionRank::kNotEvictable;
}

}  // namespace sablelink::platform
