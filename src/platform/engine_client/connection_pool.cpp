#include "platform/engine_client/connection_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <list>
#include <utility>
#include <vector>

#include "base/backoff.h"
#include "platform/engine_client/engine_protocol.h"

namespace sablelink::platform {
namespace {

// Timeout of a call, in addition to the long-poll timeout of a start or a poll. With a shorter timeout,
// repeated calls use up more connections; a longer one delays the client's response.
constexpr TimeUs kCallTimeoutUs = 120'000;
constexpr TimeUs kMinDialBackoffUs = 25'000;
constexpr TimeUs kMaxDialBackoffUs = 200'000;
// Delay before an engine's dispatch is retried while the connection budget is used up. Nothing notifies the
// engine when a connection to another engine becomes idle.
constexpr TimeUs kBudgetRetryDelayUs = 25'000;
// Delay after a response before its connection is reused. A duplicate of the response that arrives meanwhile
// is detected and cannot be mistaken for the response to the next call.
constexpr TimeUs kReuseDelayUs = 5'000;
// Delay after a result within which the rest of it arrives, if its content length was too short. An engine
// sends a response in one piece, whose parts follow each other closely.
constexpr TimeUs kTrailingBytesDelayUs = 1'000;
constexpr size_t kReadBytes = 8 << 10;

// Whether a response contains a page of rows.
bool is_result(CallType type, const http::Response& response) {
  return type != CallType::kCancel && response.status == kStatusOk;
}

bool is_long_poll(CallType type) { return type == CallType::kStart || type == CallType::kPoll; }

}  // namespace

struct ConnectionPool::EngineState {
  EngineId id = 0;
  std::string address;
  EndpointState endpoint_state = EndpointState::kRemoved;
  bool is_listed = false;
  std::vector<std::weak_ptr<const EngineAttempt>> attempts;
  CallQueue calls;
  EngineConnections connections;
  size_t dials_in_progress = 0;
  Backoff dial_backoff{kMinDialBackoffUs, kMaxDialBackoffUs};  // reset by a successful dial
  bool reset_since_last_success = false;  // a connection was reset since the last successful dial or response
  TimeUs next_dispatch_at = 0;            // 0: none is scheduled

  void remove_destroyed_attempts() {
    std::erase_if(attempts, [](const auto& attempt) { return attempt.expired(); });
  }
  bool is_unused() const {
    return !is_listed && attempts.empty() && connections.empty() && dials_in_progress == 0 && calls.empty();
  }
};

ConnectionPool::ConnectionPool(ConnectionPoolOptions options, rpc::Dialer& dialer, Clock& clock,
                               const membership::EndpointRegistry& registry, Delegate& delegate,
                               EngineClientCounters& counters, const EngineCallLog& log)
    : options_(std::move(options)),
      dialer_(dialer),
      clock_(clock),
      registry_(registry),
      delegate_(delegate),
      counters_(counters),
      log_(log) {}

ConnectionPool::~ConnectionPool() {
  weak_factory_.invalidate();
  for (const auto& [id, engine] : engines_) {
    for (const ConnectionPtr& connection : engine->connections.all()) {
      connection->closed = true;
      connection->stream->close();
    }
  }
}

ConnectionPool::EngineStatePtr ConnectionPool::state_of(EngineId id) {
  EngineStatePtr& engine = engines_[id];
  if (!engine) {
    engine = std::make_shared<EngineState>();
    engine->id = id;
    engine->address = registry_.address(id);
  }
  return engine;
}

void ConnectionPool::on_endpoints_changed() {
  for (const auto& [id, engine] : engines_) {
    engine->is_listed = false;
    engine->endpoint_state = EndpointState::kRemoved;
  }
  for (const Endpoint& endpoint : registry_.endpoints()) {
    const EngineStatePtr engine = state_of(endpoint.engine);
    engine->is_listed = true;
    engine->endpoint_state = endpoint.state;
  }
  listed_engine_count_ = registry_.endpoints().size();
  for (const auto& [id, engine] : engines_) {
    if (!engine->is_listed) close_idle_connections(id);
    dispatch(engine);
  }
}

void ConnectionPool::add_attempt(const std::shared_ptr<EngineAttempt>& attempt) {
  state_of(attempt->engine())->attempts.push_back(attempt);
}

void ConnectionPool::remove_calls(const std::shared_ptr<EngineAttempt>& attempt) {
  state_of(attempt->engine())->calls.remove_attempt(attempt);
}

void ConnectionPool::remove_cancellation(const std::shared_ptr<EngineAttempt>& attempt) {
  state_of(attempt->engine())->calls.remove_cancellation(attempt);
}

// ---- Calls

void ConnectionPool::enqueue(EngineCall call) {
  const EngineStatePtr engine = state_of(call.attempt->engine());
  engine->calls.push_back(std::move(call));
}

void ConnectionPool::enqueue_first(EngineCall call) {
  const EngineStatePtr engine = state_of(call.attempt->engine());
  engine->calls.push_front(std::move(call));
}

void ConnectionPool::schedule_dispatch(EngineId engine) { schedule_dispatch(state_of(engine), 0); }

void ConnectionPool::schedule_dispatch(const EngineStatePtr& engine, TimeUs delay) {
  const TimeUs at = clock_.now() + delay;
  // An earlier dispatch schedules the next one if calls remain in the queue.
  if (engine->next_dispatch_at != 0 && engine->next_dispatch_at <= at) return;
  engine->next_dispatch_at = at;
  clock_.call_after(delay, [self = weak_factory_.get_weak_ptr(), engine, at] {
    if (engine->next_dispatch_at == at) engine->next_dispatch_at = 0;
    if (self) self->dispatch(engine);
  });
}

void ConnectionPool::dispatch(const EngineStatePtr& engine) {
  // Starts that were queued before the engine ceased to be ready must not be sent.
  while (engine->endpoint_state != EndpointState::kReady && engine->calls.has(CallType::kStart)) {
    fail_calls(*engine, CallType::kStart, CallFailure::kNotSent);
  }
  const TimeUs now = clock_.now();
  while (!engine->calls.empty()) {
    const EngineConnections::Availability available = engine->connections.check_availability(now);
    if (available.connection && available.connection->stream->readable()) {
      // Readable without a pending call: the engine has closed the connection or sent unexpected bytes.
      // run_connection() reads them and closes the connection.
      available.connection->available_at = now + kReuseDelayUs;
      continue;
    }
    if (available.connection) {
      send_next_call(*engine, available.connection);
      continue;
    }
    if (available.next_available_at > 0) schedule_dispatch(engine, available.next_available_at - now);
    const size_t expected_connections = engine->dials_in_progress + available.soon_available;
    if (expected_connections >= engine->calls.size()) return;
    const size_t max_connections = options_.budget.per_engine(listed_engine_count_);
    if (engine->connections.usable_count() + engine->dials_in_progress >= max_connections) return;
    if (connection_count_ >= options_.budget.engines && !close_dispensable_connection()) {
      schedule_dispatch(engine, kBudgetRetryDelayUs);
      return;
    }
    dial(engine);
  }
}

void ConnectionPool::send_next_call(EngineState& engine, const ConnectionPtr& connection) {
  EngineCall call = engine.calls.pop();
  const std::optional<http::Request> request = delegate_.prepare_call(call);
  if (!request) return;
  ++counters_.calls_sent;
  std::string bytes = http::serialize_request(request->method, request->target, engine.address,
                                              request->fields, request->body);
  const TimeUs long_poll_us = is_long_poll(call.type) ? kLongPollTimeoutUs : 0;
  connection->call_deadline = clock_.now() + kCallTimeoutUs + long_poll_us;
  log_.call_sent({call, engine.address, connection->number});
  connection->pending_call = std::move(call);
  boost::asio::co_spawn(dialer_.executor(), write(connection, std::move(bytes)), boost::asio::detached);
}

rpc::Awaitable<void> ConnectionPool::write(ConnectionPtr connection, std::string bytes) {
  const MemoryReservation reservation(options_.memory, MemoryUse::kEngineCalls, bytes.size());
  // Not awaited within the condition: GCC 12 destroys the coroutine frame incorrectly then.
  const bool written = co_await rpc::write_all(*connection->stream, std::move(bytes));
  if (!written) connection->stream->close();  // run_connection() then reads the end of the stream
}

// ---- Connections

void ConnectionPool::dial(const EngineStatePtr& engine) {
  ++engine->dials_in_progress;
  ++connection_count_;
  ++counters_.dials;
  boost::asio::co_spawn(dialer_.executor(), run_connection(engine), boost::asio::detached);
}

rpc::Awaitable<void> ConnectionPool::run_connection(EngineStatePtr engine) {
  const WeakPtr<ConnectionPool> self = weak_factory_.get_weak_ptr();
  const rpc::ConnectResult connected = co_await dialer_.connect(engine->address, options_.dial_timeout_us);
  const std::shared_ptr<rpc::ByteStream>& stream = connected.stream;
  if (!self) co_return;
  --engine->dials_in_progress;
  if (!stream) {
    --connection_count_;
    on_dial_failed(engine, connected.status);
    co_return;
  }
  engine->dial_backoff.reset();
  engine->reset_since_last_success = false;
  const auto connection = std::make_shared<EngineConnection>(stream, ++last_connection_number_, clock_.now());
  engine->connections.add(connection);
  dispatch(engine);
  while (!connection->closed) {
    const std::optional<std::string> bytes = co_await stream->read(kReadBytes);
    if (!self || connection->closed) co_return;
    on_bytes(engine, connection, bytes);
    if (!self) co_return;
  }
}

void ConnectionPool::on_dial_failed(const EngineStatePtr& engine, rpc::ConnectStatus status) {
  log_.dial_failed(engine->id, engine->address, status, engine->calls.size());
  const bool refused = status == rpc::ConnectStatus::kRefused;
  // An engine at its connection limit also refuses dials, while its attempts continue. A refused dial is a
  // reason to give up the engine's attempts only if a connection was reset before and none is open.
  const bool may_be_down = refused && engine->connections.empty() && engine->reset_since_last_success;
  ++(refused ? counters_.dials_refused : counters_.dials_failed);
  if (refused || engine->connections.usable_count() == 0) {
    fail_calls(*engine, CallType::kStart, CallFailure::kNotSent);
  }
  if (may_be_down) {
    fail_calls(*engine, CallType::kFetchPage, CallFailure::kRefused);
    fail_calls(*engine, CallType::kPoll, CallFailure::kRefused);
  }
  if (refused && engine->connections.empty()) fail_calls(*engine, CallType::kCancel, CallFailure::kRefused);
  const TimeUs delay_us = engine->dial_backoff.next_us();
  if (!engine->calls.empty()) schedule_dispatch(engine, delay_us);
}

void ConnectionPool::on_bytes(const EngineStatePtr& engine, const ConnectionPtr& connection,
                              const std::optional<std::string>& bytes) {
  if (!bytes) engine->reset_since_last_success = true;
  const bool ended = !bytes || bytes->empty();
  if (connection->holds_result) {
    if (ended) {
      on_response_complete(engine, connection, false);
    } else {
      on_trailing_bytes(engine, connection, bytes->size());
    }
    return;
  }
  if (!bytes || !connection->pending_call) {
    on_connection_lost(engine, connection, CallFailure::kConnectionClosed);
    return;
  }
  const http::ParseStatus state = ended ? connection->reader.finish() : connection->reader.feed(*bytes);
  if (state == http::ParseStatus::kComplete) {
    on_message_end(engine, connection, ended);
    return;
  }
  if (state == http::ParseStatus::kNeedMore && !ended) return;
  if (!ended) ++counters_.malformed_responses;
  on_connection_lost(engine, connection, ended ? CallFailure::kConnectionClosed : CallFailure::kMalformed);
}

void ConnectionPool::on_message_end(const EngineStatePtr& engine, const ConnectionPtr& connection,
                                    bool connection_ended) {
  engine->reset_since_last_success = false;
  const http::ResponseReader& reader = connection->reader;
  if (!is_result(connection->pending_call->type, reader.response())) {
    const bool reusable = !connection_ended && !reader.has_buffered_bytes() && reader.response().keep_alive;
    on_response_complete(engine, connection, reusable);
  } else if (reader.has_buffered_bytes()) {
    on_trailing_bytes(engine, connection, reader.buffered_bytes());
  } else if (connection_ended) {
    on_response_complete(engine, connection, false);
  } else {
    connection->holds_result = true;
    hold_result(engine, connection);
  }
}

void ConnectionPool::hold_result(const EngineStatePtr& engine, const ConnectionPtr& connection) {
  clock_.call_after(kTrailingBytesDelayUs, [self = weak_factory_.get_weak_ptr(), engine, connection] {
    if (self) self->release_result(engine, connection);
  });
}

void ConnectionPool::release_result(const EngineStatePtr& engine, const ConnectionPtr& connection) {
  if (connection->closed || !connection->holds_result) return;
  if (connection->stream->readable()) {
    hold_result(engine, connection);  // on_bytes() decides
    return;
  }
  on_response_complete(engine, connection, connection->reader.response().keep_alive);
}

// The result is not used, since nothing tells a part of a result from a whole one that other bytes follow.
// The engine still has it: the call is repeated.
void ConnectionPool::on_trailing_bytes(const EngineStatePtr& engine, const ConnectionPtr& connection,
                                       size_t bytes) {
  ++counters_.trailing_bytes;
  log_.trailing_bytes({*connection->pending_call, engine->address, connection->number}, bytes);
  on_connection_lost(engine, connection, CallFailure::kTrailingBytes);
}

void ConnectionPool::on_response_complete(const EngineStatePtr& engine, const ConnectionPtr& connection,
                                          bool reusable) {
  const WeakPtr<ConnectionPool> self = weak_factory_.get_weak_ptr();
  const http::Response response = connection->reader.take_message();
  EngineCall call = std::move(*connection->pending_call);
  log_.call_completed({call, engine->address, connection->number}, response.status);
  connection->pending_call.reset();
  connection->holds_result = false;
  connection->idle_since = clock_.now();
  connection->available_at = connection->idle_since + kReuseDelayUs;
  const bool was_overdue = std::exchange(connection->is_overdue, false);
  if (!reusable) close(*engine, connection);
  if (was_overdue) {
    delegate_.on_late_response(std::move(call), response);
  } else {
    delegate_.on_response(std::move(call), response);
  }
  if (self) dispatch(engine);
}

void ConnectionPool::on_connection_lost(const EngineStatePtr& engine, const ConnectionPtr& connection,
                                        CallFailure reason) {
  std::optional<EngineCall> call = std::exchange(connection->pending_call, std::nullopt);
  const bool was_overdue = connection->is_overdue;
  close(*engine, connection);
  if (call && was_overdue) {
    if (reason == CallFailure::kConnectionClosed) delegate_.on_late_connection_closed(*call);
    if (reason == CallFailure::kTrailingBytes) delegate_.on_late_result_discarded(*call);
  } else if (call) {
    ++counters_.calls_interrupted;
    log_.call_interrupted({*call, engine->address, connection->number}, reason);
    delegate_.on_call_failed(std::move(*call), reason);
  }
  dispatch(engine);
}

void ConnectionPool::on_call_timed_out(const EngineStatePtr& engine, const ConnectionPtr& connection) {
  ++counters_.calls_timed_out;
  const CallType type = connection->pending_call->type;
  if (type != CallType::kStart && type != CallType::kCancel) {
    on_connection_lost(engine, connection, CallFailure::kTimedOut);
    return;
  }
  ++counters_.calls_interrupted;
  if (type == CallType::kStart) ++counters_.starts_overdue;
  connection->is_overdue = true;
  const EngineCall call = *connection->pending_call;
  log_.call_interrupted({call, engine->address, connection->number}, CallFailure::kTimedOut);
  limit_overdue_connections(*engine);
  delegate_.on_call_failed(call, CallFailure::kTimedOut);
  dispatch(engine);
}

void ConnectionPool::fail_calls(EngineState& engine, CallType type, CallFailure failure) {
  for (EngineCall& call : engine.calls.pop_all(type)) delegate_.on_call_failed(std::move(call), failure);
}

void ConnectionPool::close(EngineState& engine, const ConnectionPtr& connection) {
  if (connection->closed) return;
  connection->closed = true;
  engine.connections.remove(connection);
  --connection_count_;
  connection->stream->close();
}

void ConnectionPool::close_idle_connections(EngineId engine) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  const EngineStatePtr state = it->second;
  for (const ConnectionPtr& connection : std::list<ConnectionPtr>(state->connections.all())) {
    if (!connection->pending_call) close(*state, connection);
  }
}

// Connections whose call has timed out are additional to the engine's share of the connection budget, but at
// most as many.
void ConnectionPool::limit_overdue_connections(EngineState& engine) {
  const size_t max_overdue = options_.budget.per_engine(listed_engine_count_);
  while (engine.connections.overdue_count() > max_overdue)
    close(engine, engine.connections.longest_overdue());
}

// Closes the connection that is idle for the longest time or, if none is idle, the one whose call timed out
// first. Returns false if there is neither.
bool ConnectionPool::close_dispensable_connection() {
  return close_earliest(&EngineConnections::longest_idle, &EngineConnection::idle_since) ||
         close_earliest(&EngineConnections::longest_overdue, &EngineConnection::call_deadline);
}

// Closes the connection with the earliest time of those that `select` returns for each engine.
bool ConnectionPool::close_earliest(ConnectionPtr (EngineConnections::*select)() const,
                                    TimeUs EngineConnection::*time) {
  EngineStatePtr earliest_engine;
  ConnectionPtr earliest;
  for (const auto& [id, engine] : engines_) {
    const ConnectionPtr connection = (engine->connections.*select)();
    if (!connection || (earliest && (*connection).*time >= (*earliest).*time)) continue;
    earliest = connection;
    earliest_engine = engine;
  }
  if (!earliest) return false;
  close(*earliest_engine, earliest);
  return true;
}

// ---- Timeouts

void ConnectionPool::expire() {
  const TimeUs now = clock_.now();
  const bool was_stalled = now - std::exchange(last_expiry_at_, now) > 2 * kExpiryIntervalUs;
  for (auto it = engines_.begin(); it != engines_.end();) {
    const EngineStatePtr engine = it->second;
    ++it;
    expire_connections(engine, now, was_stalled);
    engine->remove_destroyed_attempts();
    if (engine->is_unused()) engines_.erase(engine->id);
  }
}

void ConnectionPool::expire_connections(const EngineStatePtr& engine, TimeUs now, bool was_stalled) {
  std::vector<ConnectionPtr> expired_connections;
  for (const ConnectionPtr& connection : engine->connections.all()) {
    if (is_expired(*connection, now, was_stalled)) expired_connections.push_back(connection);
  }
  for (const ConnectionPtr& connection : expired_connections) {
    if (connection->closed) continue;
    if (connection->pending_call && !connection->is_overdue) {
      on_call_timed_out(engine, connection);
    } else {
      close(*engine, connection);
    }
  }
}

bool ConnectionPool::is_expired(const EngineConnection& connection, TimeUs now, bool was_stalled) const {
  if (!connection.pending_call) return now - connection.idle_since > options_.engine_idle_timeout_us * 3 / 5;
  if (connection.holds_result) return false;
  if (connection.is_overdue) {
    const EngineCall& call = *connection.pending_call;
    const bool is_settled = call.type == CallType::kStart && call.attempt->is_start_settled(now);
    return is_settled || call.attempt->is_forgotten();
  }
  // After a stall of this process, unread responses may be waiting: they are read before calls time out.
  return !was_stalled && now >= connection.call_deadline;
}

}  // namespace sablelink::platform
