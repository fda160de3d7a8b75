#include "platform/http_server.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <utility>

#include "base/signal.h"
#include "platform/pages.h"
#include "sql/table_group.h"

namespace sablelink::platform {
namespace {

// A call has to be whole within that, from its connection or first byte.
constexpr TimeUs kCallUs = 2'500'000;
constexpr TimeUs kIdleUs = 5'000'000;    // clients close idle connections after 4 s; some never do
constexpr TimeUs kWriteUs = 5'000'000;   // a client that takes no answer for so long is gone
constexpr TimeUs kLingerUs = 1'000'000;  // for a client to read why it is turned away, while it still sends
constexpr size_t kLingerBytes = 256 << 10;  // what it sends beyond that isn't read
constexpr TimeUs kSweepUs = 100'000;
constexpr TimeUs kLeastPatienceUs = 1'000;
constexpr TimeUs kPatienceSlackUs = 1'000'000;  // over the class's patience, before a wait is out of range
constexpr double kMostFigure = 1e9;
constexpr size_t kMostName = 256;
constexpr size_t kPiece = 8 << 10;
constexpr size_t kBacklog = 16 << 10;     // bytes of calls that came before the answer to the one before
constexpr TimeUs kSettleUs = 15'000;      // a new connection's first bytes are on their way for a round trip
constexpr size_t kSurplusShare = 10;      // one connection in so many is for telling that there is no room
constexpr size_t kMostPassed = 8;         // connections looked at again, for one to give up
constexpr TimeUs kStalledUs = 1'000'000;  // half a call that stands for so long yields to others
constexpr TimeUs kPartedUs = 100'000;     // by then a client has read why it is turned away
constexpr TimeUs kArrivalUs = 1'000;      // arrivals closer than that count as one

std::string failure(std::string_view word) { return R"({"failure":")" + std::string(word) + "\"}"; }

// The module's number for a name; never 0, which says that there is none.
uint64_t order_key(std::string_view name) {
  return std::max<uint64_t>(XXH3_64bits(name.data(), name.size()), 1);
}

bool is_id(std::string_view id) {
  return id.size() == 16 && std::all_of(id.begin(), id.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

// What may be passed on as a field's value, or stand empty.
bool is_name(std::string_view text) {
  return text.size() <= kMostName &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

}  // namespace

ClientRequest parse_client_request(const http::Request& request, const HttpServerOptions& options) {
  ClientRequest call;
  const auto wrong = [&](int status, const char* error) {
    call.status = status;
    call.error = error;
    return call;
  };
  constexpr std::string_view kPath = "/v1/";
  if (!request.target.starts_with(kPath)) return wrong(404, "no such path");
  const auto cls =
      std::find(options.classes.begin(), options.classes.end(), request.target.substr(kPath.size()));
  if (cls == options.classes.end()) return wrong(404, "no such class");
  if (request.method != "POST") return wrong(405, "statements come by POST");
  call.class_index = static_cast<int>(cls - options.classes.begin());
  for (const char* once : {"x-request-id", "x-timeout-ms", "x-retry", "x-tenant", "x-object", "x-cost-ms",
                           "x-est-mb", "idempotency-key"})
    if (http::count(request.fields, once) > 1) return wrong(400, "a field stands more than once");
  call.id = http::find(request.fields, "x-request-id");
  if (!is_id(call.id)) return wrong(400, "X-Request-Id is not 16 hex digits");
  const TimeUs most = options.max_timeout_us[call.class_index] + kPatienceSlackUs;
  const long long wait = http::parse_decimal(http::find(request.fields, "x-timeout-ms"), most / 1000);
  if (wait < kLeastPatienceUs / 1000) return wrong(400, "X-Timeout-Ms is no time that a client may wait");
  call.timeout_us = wait * 1000;
  if (http::count(request.fields, "x-retry") > 0) {
    if (http::find(request.fields, "x-retry") != "1") return wrong(400, "X-Retry is not 1");
    call.is_retry = true;
  }
  // A field that ends in its unit holds a number of it, also where this gateway has no use for the figure.
  for (const auto& [name, value] : request.fields) {
    if (!name.ends_with("-ms") && !name.ends_with("-mb")) continue;
    const std::optional<double> figure = parse_non_negative(value);
    if (!figure || *figure > kMostFigure)
      return wrong(400, "a field of milliseconds or megabytes holds no number");
    if (name == "x-cost-ms") call.estimated_cost_us = 1000 * *figure;
    if (name == "x-est-mb") call.estimated_memory_mb = *figure;
  }
  if (const std::string_view tenant = http::find(request.fields, "x-tenant"); !tenant.empty()) {
    const auto it = std::find(options.tenants.begin(), options.tenants.end(), tenant);
    if (it == options.tenants.end()) return wrong(400, "no such tenant");
    call.tenant = static_cast<int>(it - options.tenants.begin());
  }
  // Both go to the nodes as they came.
  call.idempotency_key = http::find(request.fields, "idempotency-key");
  call.ordering_key = http::find(request.fields, "x-object");
  for (const std::string& name : {call.idempotency_key, call.ordering_key})
    if (!is_name(name)) return wrong(400, "a key is longer than 256 bytes or holds other than plain signs");
  if (request.body.empty()) return wrong(400, "there is no statement");
  if (!is_plain_text(request.body)) return wrong(400, "the statement is no text");
  return call;
}

// One client's connection. Held by its coroutines, its sink and the front's list.
class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection> {
 public:
  enum class Stage { kReading, kOpen, kWriting, kLingering, kClosed };

  Connection(HttpServer& front, std::shared_ptr<rpc::ByteStream> stream)
      : front_(front),
        stream_(std::move(stream)),
        reader_(limits(front.options_)),
        since_(front.clock_.now()) {}

  static http::MessageLimits limits(const HttpServerOptions& options) {
    http::MessageLimits limits;
    limits.max_body_bytes = options.max_statement_bytes;
    return limits;
  }

  Stage stage() const { return stage_; }
  TimeUs since() const { return since_; }
  void be_surplus() { surplus_ = true; }
  bool readable() const { return stream_->readable(); }
  bool gone() const { return stage_ == Stage::kClosed || stream_->peer_left(); }
  // More is not read before an answer has made room.
  bool full() const {
    return (stage_ == Stage::kOpen || stage_ == Stage::kWriting) && reader_.buffered_bytes() > kBacklog;
  }
  rpc::Awaitable<void> room() { return room_.wait(); }
  void let_go() { room_.give(); }

  // How readily it is given up for one that comes new, by what has been read of it; 0: not at all.
  int eviction_rank(TimeUs now) const {
    const TimeUs age = now - since_;
    if (stage_ == Stage::kLingering) return age > kPartedUs ? 4 : 0;
    if (stage_ != Stage::kReading) return 0;
    if (!reader_.is_at_message_start()) return age > kStalledUs ? 1 : 0;
    return calls_ > 0 ? 2 : age > kSettleUs ? 3 : 0;
  }

  void feed(std::string_view bytes) {
    switch (stage_) {
      case Stage::kReading:
        if (reader_.is_at_message_start() && calls_ > 0) since_ = front_.clock_.now();
        arrived(bytes.size());
        state_ = reader_.feed(bytes);
        advance();
        return;
      case Stage::kOpen:
      case Stage::kWriting:
        arrived(bytes.size());
        reader_.feed(bytes);
        return;
      case Stage::kLingering:
        lingered_ += bytes.size();
        if (lingered_ > kLingerBytes) close();
        return;
      case Stage::kClosed:
        return;
    }
  }

  void answer(int status, const http::Fields& fields, const std::string& body, bool keep_alive) {
    ++front_.counts_.responses;
    // What has come already is answered before the connection ends.
    if (front_.draining_ && reader_.buffered_bytes() == 0 && !stream_->readable()) keep_alive = false;
    keep_alive = keep_alive && !surplus_;
    stage_ = Stage::kWriting;
    since_ = front_.clock_.now();
    boost::asio::co_spawn(
        front_.net_.executor(),
        write(shared_from_this(), http::write_response(status, fields, body, keep_alive), keep_alive),
        boost::asio::detached);
  }

  void finish(const std::string& rows, const dispatch::FinalResponse& end) {
    front_.open_ids_.erase(id_);
    request_ = 0;
    if (stage_ != Stage::kOpen) return;
    const http::Fields json = {{"Content-Type", "application/json"}};
    switch (end.status) {
      case dispatch::RequestStatus::kServed:
        answer(200, json, "{\"rows\":[" + rows + "]}", keep_alive_);
        return;
      case dispatch::RequestStatus::kRejected: {
        http::Fields fields = json;
        if (end.retry_after_us > 0)
          fields.emplace_back("Retry-After-Ms", std::to_string((end.retry_after_us + 999) / 1000));
        answer(503, fields, failure("Full"), keep_alive_);
        return;
      }
      case dispatch::RequestStatus::kFailed:
        answer(500, json, failure("Error"), keep_alive_);
        return;
    }
  }

  // Nothing more is taken from here; what its client still sends is read, for a while, so that what was
  // written to it isn't lost by a reset.
  void half_close() {
    stage_ = Stage::kLingering;
    since_ = front_.clock_.now();
    stream_->end();
  }

  // At once, whatever its client does; only an answer that may be on its way still arrives.
  void cut_off() {
    if (calls_ > 0 && front_.clock_.now() - since_ <= kPartedUs)
      stream_->end();
    else
      stream_->reset();
    close();
  }

  void close() {
    if (stage_ == Stage::kClosed) return;
    stage_ = Stage::kClosed;
    room_.give();
    stream_->close();
    if (const RequestId id = std::exchange(request_, 0); id != 0) {
      front_.open_ids_.erase(id_);
      front_.dispatcher_.on_client_disconnected(id);
    }
  }

  // What its stage allows has passed.
  void check(TimeUs now) {
    switch (stage_) {
      case Stage::kReading:
        check_reading(now - since_);
        return;
      case Stage::kWriting:
        if (now - since_ > kWriteUs) close();
        return;
      case Stage::kLingering:
        if (now - since_ > kLingerUs) cut_off();
        return;
      case Stage::kOpen:
        if (full() && stream_->peer_left()) close();  // whoever reads no further doesn't hear of it
        return;
      case Stage::kClosed:
        return;
    }
  }

 private:
  // Nothing is closed whose call, or the end of it, waits to be read.
  void check_reading(TimeUs age) {
    const bool closing = front_.closing_resting_;
    if (reader_.is_at_message_start() && (calls_ > 0 || closing)) {
      if (age >= (!closing ? kIdleUs : calls_ > 0 ? 0 : kSettleUs) && !stream_->readable()) half_close();
    } else if (age > kCallUs && !stream_->readable()) {
      ++front_.counts_.request_timeouts;
      turn_away(408, "no whole call has come in time");
    }
  }

  // So many bytes have come now.
  void arrived(size_t bytes) {
    const TimeUs now = front_.clock_.now();
    came_ += bytes;
    if (arrivals_.empty() || now - arrivals_.back().at > kArrivalUs)
      arrivals_.push_back({came_, now});
    else
      arrivals_.back().up_to = came_;
  }

  // When the last byte of the call that was just taken came.
  TimeUs call_arrived() {
    const size_t up_to = came_ - reader_.buffered_bytes();
    while (arrivals_.size() > 1 && arrivals_.front().up_to < up_to) arrivals_.pop_front();
    return arrivals_.empty() ? front_.clock_.now() : arrivals_.front().at;
  }

  // Takes the next call, if it has come whole.
  void advance() {
    if (stage_ != Stage::kReading) return;
    if (state_ == http::ParseStatus::kNeedMore) {
      // All that has come is the beginning of one call, which counts from its last byte.
      while (arrivals_.size() > 1) arrivals_.pop_front();
      return;
    }
    if (state_ == http::ParseStatus::kMalformed) {
      ++front_.counts_.malformed_requests;
      turn_away(reader_.error_status(), reader_.error());
      return;
    }
    http::Request request = reader_.take();
    state_ = http::ParseStatus::kNeedMore;
    ++calls_;
    ++front_.counts_.requests;
    keep_alive_ = request.keep_alive;
    if (request.target == "/healthz") {
      const bool get = request.method == "GET";
      answer(!get ? 405 : front_.draining_ ? 503 : 200, {}, "", keep_alive_);
      return;
    }
    ClientRequest call = parse_client_request(request, front_.options_);
    if (call.status == 0 && front_.open_ids_.contains(call.id)) {
      call.status = 409;
      call.error = "a request of this id is open";
    }
    if (call.status != 0) {
      ++front_.counts_.invalid_requests;
      answer(call.status, {}, call.error, keep_alive_);
      return;
    }
    if (surplus_) {
      ++front_.counts_.rejected_at_capacity;
      answer(503, {{"Content-Type", "application/json"}}, failure("Full"), false);
      return;
    }
    take(std::move(call), std::move(request));
  }

  void take(ClientRequest call, http::Request request);

  void turn_away(int status, const char* why) { answer(status, {}, why, false); }

  static rpc::Awaitable<void> write(std::shared_ptr<Connection> self, std::string bytes, bool keep_alive) {
    const std::shared_ptr<HttpServer*> front = self->front_.self_;
    const bool whole = co_await rpc::write_all(*self->stream_, std::move(bytes));
    if (*front == nullptr || self->stage_ != Stage::kWriting) co_return;
    if (!whole) {
      self->close();
      co_return;
    }
    self->since_ = self->front_.clock_.now();
    if (!keep_alive) {
      self->half_close();
      co_return;
    }
    self->stage_ = Stage::kReading;
    self->room_.give();
    self->state_ = self->reader_.feed({});
    self->advance();
  }

  HttpServer& front_;
  const std::shared_ptr<rpc::ByteStream> stream_;
  http::RequestReader reader_;
  http::ParseStatus state_ = http::ParseStatus::kNeedMore;
  Stage stage_ = Stage::kReading;
  TimeUs since_;  // of the stage; while reading, of the call's first byte
  uint64_t calls_ = 0;
  size_t lingered_ = 0;  // bytes read of a client that has been turned away
  struct Arrival {
    size_t up_to = 0;  // of all the connection's bytes
    TimeUs at = 0;
  };
  std::deque<Arrival> arrivals_;  // of bytes that aren't taken yet
  size_t came_ = 0;               // bytes, all together
  Signal room_;                   // for whoever waits to read on
  bool surplus_ = false;          // it came when there was no room
  bool keep_alive_ = true;
  std::string id_;         // of the request that is open
  RequestId request_ = 0;  // 0: none is, or the dispatcher has answered already
};

class HttpServer::Reply : public dispatch::ResponseSink {
 public:
  explicit Reply(std::weak_ptr<Connection> connection) : connection_(std::move(connection)) {}
  void write(std::string message) override { rows_ += message; }
  void finish(const dispatch::FinalResponse& answer) override {
    if (const auto connection = connection_.lock()) connection->finish(rows_, answer);
  }
  bool is_client_disconnected() const override {
    const auto connection = connection_.lock();
    return !connection || connection->gone();
  }
  bool consumes_immediately() const override { return true; }

 private:
  const std::weak_ptr<Connection> connection_;
  std::string rows_;
};

void HttpServer::Connection::take(ClientRequest call, http::Request request) {
  const auto statement = std::make_shared<dispatch::Statement>();
  statement->text = std::move(request.body);
  statement->client_tag = call.id;
  statement->idempotency_key = std::move(call.idempotency_key);
  statement->ordering_key = std::move(call.ordering_key);
  QueryRequest query;
  query.tenant = call.tenant;
  query.estimated_cost_us = call.estimated_cost_us;
  query.estimated_memory_mb = call.estimated_memory_mb;
  if (!statement->ordering_key.empty()) query.key = order_key(statement->ordering_key);
  query.class_index = call.class_index;
  query.deadline = call_arrived() + call.timeout_us;
  query.table_group = sql::table_group(statement->text);
  query.is_client_retry = call.is_retry;
  id_ = call.id;
  front_.open_ids_.insert(id_);
  stage_ = Stage::kOpen;
  const RequestId id = front_.dispatcher_.submit(query, statement, std::make_shared<Reply>(weak_from_this()));
  if (stage_ == Stage::kOpen) request_ = id;
}

HttpServer::HttpServer(HttpServerOptions options, dispatch::RequestDispatcher& dispatcher, rpc::Dialer& net,
                       Clock& clock)
    : options_(std::move(options)),
      dispatcher_(dispatcher),
      net_(net),
      clock_(clock),
      self_(std::make_shared<HttpServer*>(this)) {
  sweep();
}

HttpServer::~HttpServer() {
  *self_ = nullptr;
  for (const auto& c : connections_) c->let_go();
}

void HttpServer::close_idle_connections() {
  closing_resting_ = true;
  for (const auto& c : std::list<std::shared_ptr<Connection>>(connections_)) c->check(clock_.now());
}

// Room for one more: of those without an open call one that has been answered for good goes first, then one
// that never said anything, one that was served and is at rest, half a call that stands still. Of each kind
// the oldest. None of these that may have a call on its way: a new one, or one whose bytes wait to be read.
bool HttpServer::make_room() {
  if (connections_.size() < options_.max_connections - options_.max_connections / kSurplusShare) return true;
  const TimeUs now = clock_.now();
  std::vector<std::shared_ptr<Connection>> passed;  // whose calls wait to be read: the system is asked of few
  while (passed.size() < kMostPassed) {
    std::shared_ptr<Connection> victim;
    int worst = 0;
    for (const auto& c : connections_) {
      const int rank = c->eviction_rank(now);
      if (rank < std::max(worst, 1) || (rank == worst && c->since() >= victim->since())) continue;
      if (std::find(passed.begin(), passed.end(), c) != passed.end()) continue;
      worst = rank;
      victim = c;
    }
    if (!victim) return false;
    if (victim->readable()) {
      passed.push_back(victim);
      continue;
    }
    ++counts_.evicted_connections;
    victim->cut_off();
    connections_.remove(victim);
    return true;
  }
  return false;
}

rpc::Awaitable<void> HttpServer::serve(std::shared_ptr<rpc::ByteStream> stream) {
  const std::shared_ptr<HttpServer*> self = self_;
  ++counts_.accepted_connections;
  const bool room = make_room();
  if (connections_.size() >= options_.max_connections) {
    ++counts_.rejected_at_capacity;
    co_return;
  }
  const auto connection = std::make_shared<Connection>(*this, stream);
  if (!room) connection->be_surplus();
  connections_.push_back(connection);
  for (;;) {
    const std::optional<std::string> bytes = co_await stream->read(kPiece);
    if (*self == nullptr) co_return;
    if (connection->stage() == Connection::Stage::kClosed) break;
    if (!bytes || bytes->empty()) break;
    connection->feed(*bytes);
    while (connection->full()) {
      co_await connection->room();
      if (*self == nullptr) co_return;
    }
    if (connection->stage() == Connection::Stage::kClosed) break;
  }
  connection->close();  // its client is gone
  connections_.remove(connection);
}

void HttpServer::sweep() {
  const TimeUs now = clock_.now();
  for (const auto& c : std::list<std::shared_ptr<Connection>>(connections_)) c->check(now);
  clock_.call_after(kSweepUs, [self = self_] {
    if (*self != nullptr) (*self)->sweep();
  });
}

}  // namespace sablelink::platform
