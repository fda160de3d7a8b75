#include "platform/engine_client/engine_client.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>

#include "http/message.h"
#include "platform/pages.h"

namespace sablelink::platform {
namespace {

constexpr TimeUs kHoldUs = 250'000;      // a node holds a call for news that long
constexpr TimeUs kForgetUs = 2'000'000;  // a query that nobody asks for that long is let go by its node
// By then a node has surely let go: it counts from the end of the call that it held last, by its own clock.
constexpr TimeUs kLetGoUs = kHoldUs + kForgetUs + 150'000;
// A DELETE isn't sent sooner after its POST: on a connection of its own it could overtake it, and what it was
// to end would begin after it.
constexpr TimeUs kOvertakeUs = 30'000;
// A call without an answer that long after any hold won't get one. Asking again costs a connection, waiting
// costs the client.
constexpr TimeUs kCallUs = 120'000;
constexpr TimeUs kSweepUs = 25'000;
constexpr TimeUs kMostPauseUs = 200'000;  // between dials to a node that can't be reached
// A connection rests that long after an answer, so that a second copy of it shows before the next call.
constexpr TimeUs kRestUs = 5'000;
constexpr int kMostBreaks = 6, kMostDeletes = 4;
constexpr size_t kPiece = 8 << 10;
constexpr int kMostPages = 64;

http::MessageLimits read_limits() {
  http::MessageLimits limits;
  limits.max_body_bytes = kMaxPageBytes;
  return limits;
}

}  // namespace

EngineClient::EngineClient(EngineClientOptions options, rpc::Dialer& net, Clock& clock,
                           const membership::EndpointRegistry& directory)
    : options_(std::move(options)),
      net_(net),
      clock_(clock),
      directory_(directory),
      self_(std::make_shared<EngineClient*>(this)) {
  sweep();
}

EngineClient::~EngineClient() {
  *self_ = nullptr;
  for (auto& [id, node] : nodes_)
    for (const ConnectionPtr& c : node->connections) {
      c->closed = true;
      c->stream->close();
    }
}

const std::string& EngineClient::ticket_of(const Query& query) { return query.order.statement->client_tag; }

EngineClient::NodePtr EngineClient::node_of(EngineId id) {
  NodePtr& node = nodes_[id];
  if (!node) {
    node = std::make_shared<Node>();
    node->id = id;
    node->address = directory_.address(id);
  }
  return node;
}

void EngineClient::on_endpoints_changed() {
  for (auto& [id, node] : nodes_) {
    node->listed = false;
    node->state = EndpointState::kRemoved;
  }
  listed_ = 0;
  for (const Endpoint& entry : directory_.endpoints()) {
    const NodePtr node = node_of(entry.engine);
    node->listed = true;
    node->state = entry.state;
    ++listed_;
  }
  for (const auto& [id, node] : nodes_) {
    if (!node->listed) close_idle_connections(id);
    dispatch(node);  // starts that wait for one that is leaving end here
  }
}

// ---- Attempts ------------------------------------------------------------------------------------------

void EngineClient::start(dispatch::AttemptId key, EngineId engine, const dispatch::AttemptSpec& order) {
  const auto query = std::make_shared<Query>();
  query->key = key;
  query->engine = engine;
  query->order = order;
  query->made_at = clock_.now();
  queries_[{key.request, key.number}] = query;
  const NodePtr node = node_of(engine);
  ++node->queries;
  if (!options_.hedging_allowed) {
    const auto it = leftovers_.find(ticket_of(*query));
    if (it != leftovers_.end()) {
      ++counts_.held_back;
      it->second.held.push_back(query);
      return;
    }
  }
  queue(node, {Kind::kPost, query, 0, 0});
  wake(node, 0);  // what comes of it must not be told within this call
}

void EngineClient::cancel(dispatch::AttemptId key) {
  const auto it = queries_.find({key.request, key.number});
  if (it == queries_.end()) return;
  const QueryPtr query = it->second;
  forget(query);
  if (query->asked_at > 0) give_up(query);
}

void EngineClient::check_health(uint32_t probe, EngineId) {
  // The platform's nodes have no call for it.
  clock_.call_after(0, [self = self_, probe] {
    if (*self != nullptr)
      (*self)->dispatcher_->on_health_check_completed(probe, Outcome::kConnectFailed, std::nullopt);
  });
}

void EngineClient::close_idle_connections(EngineId engine) {
  const auto it = nodes_.find(engine);
  if (it == nodes_.end()) return;
  const NodePtr node = it->second;
  for (const ConnectionPtr& c : std::list<ConnectionPtr>(node->connections))
    if (!c->call) close(node, c);
}

// From here on nothing of it is told to the dispatcher.
void EngineClient::forget(const QueryPtr& query) {
  if (query->over) return;
  query->over = true;
  queries_.erase({query->key.request, query->key.number});
  const NodePtr node = node_of(query->engine);
  --node->queries;
  for (auto& calls : node->waiting)
    std::erase_if(calls, [&](const Call& c) { return c.query == query && c.kind != Kind::kDelete; });
  const auto left = leftovers_.find(ticket_of(*query));
  if (left != leftovers_.end()) std::erase(left->second.held, query);
}

// It may be out there: the node is told, and its request's next attempt waits for the node's word.
void EngineClient::give_up(const QueryPtr& query) {
  Leftover& left = leftovers_[ticket_of(*query)];
  left.out.push_back(query);
  left.until = std::max(left.until, query->asked_at + kLetGoUs);
  const NodePtr node = node_of(query->engine);
  const auto send_delete = [this, node, query] {
    queue(node, {Kind::kDelete, query, 0, 0});
    wake(node, 0);
  };
  const TimeUs early = query->posted_at + kOvertakeUs - clock_.now();
  if (early <= 0) {
    send_delete();
    return;
  }
  clock_.call_after(early, [self = self_, send_delete] {
    if (*self != nullptr) send_delete();
  });
}

// Nothing of it is out any more.
void EngineClient::given_up(const QueryPtr& query) {
  const auto it = leftovers_.find(ticket_of(*query));
  if (it == leftovers_.end()) return;
  std::erase(it->second.out, query);
  if (it->second.out.empty()) release(ticket_of(*query));
}

void EngineClient::release(const std::string& ticket) {
  const auto it = leftovers_.find(ticket);
  if (it == leftovers_.end()) return;
  const std::vector<QueryPtr> held = std::move(it->second.held);
  leftovers_.erase(it);
  for (const QueryPtr& query : held) {
    if (query->over) continue;
    const NodePtr node = node_of(query->engine);
    queue(node, {Kind::kPost, query, 0, 0});
    wake(node, 0);
  }
}

void EngineClient::end(const QueryPtr& query, Outcome outcome) {
  if (query->over) return;
  forget(query);
  query->result.outcome = outcome;
  if (outcome != Outcome::kOk) {
    query->result.work_us.reset();
    query->result.memory_used_mb.reset();
  }
  dispatcher_->on_attempt_completed(query->key, query->result);
}

void EngineClient::whole(const QueryPtr& query) {
  std::string rows;
  for (const auto& page : query->pages) {
    if (page->empty()) continue;
    if (!rows.empty()) rows += ',';
    rows += *page;
  }
  dispatcher_->on_attempt_message(query->key, std::move(rows));
  end(query, Outcome::kOk);
}

// ---- Calls ---------------------------------------------------------------------------------------------

void EngineClient::queue(const NodePtr& node, Call call, bool first) {
  auto& calls = node->waiting[static_cast<int>(call.kind)];
  if (first)
    calls.push_front(std::move(call));
  else
    calls.push_back(std::move(call));
}

void EngineClient::wake(const NodePtr& node, TimeUs after) {
  const TimeUs at = clock_.now() + after;
  if (node->wake_at != 0 && node->wake_at <= at) return;  // what is still to wait for then wakes it anew
  node->wake_at = at;
  clock_.call_after(after, [self = self_, node, at] {
    if (node->wake_at == at) node->wake_at = 0;
    if (*self != nullptr) (*self)->dispatch(node);
  });
}

size_t EngineClient::waiting(const Node& node) const {
  size_t n = 0;
  for (const auto& calls : node.waiting) n += calls.size();
  return n;
}

// Takes the call that comes first; one waits.
EngineClient::Call EngineClient::next_call(Node& node) {
  const auto calls = std::find_if(std::begin(node.waiting), std::end(node.waiting),
                                  [](const auto& of_kind) { return !of_kind.empty(); });
  Call call = std::move(calls->front());
  calls->pop_front();
  return call;
}

void EngineClient::dispatch(const NodePtr& node) {
  // What was decided before the news of its leaving must not start there after it.
  if (node->state != EndpointState::kReady) {
    auto& starts = node->waiting[static_cast<int>(Kind::kPost)];
    while (!starts.empty()) {
      const QueryPtr query = starts.front().query;
      starts.pop_front();
      end(query, Outcome::kConnectFailed);
    }
  }
  const TimeUs now = clock_.now();
  while (waiting(*node) > 0) {
    ConnectionPtr free;
    size_t soon = node->dialing;
    TimeUs first_free = 0;
    for (const ConnectionPtr& c : node->connections) {
      if (c->call) continue;
      if (c->free_at > now) {
        ++soon;
        first_free = first_free == 0 ? c->free_at : std::min(first_free, c->free_at);
      } else if (!free || c->idle_since < free->idle_since) {
        free = c;  // the one longest at rest
      }
    }
    if (free && free->stream->readable()) {  // an end, or more than was asked for: its reader will see
      free->free_at = now + kRestUs;
      continue;
    }
    if (free) {
      Call call = next_call(*node);
      // Much may have passed since a start was decided on.
      const bool start = call.kind == Kind::kPost && call.query->order.still_valid;
      if (start && !call.query->order.still_valid())
        end(call.query, Outcome::kSuperseded);
      else
        send(node, free, std::move(call));
      continue;
    }
    if (first_free > 0) wake(node, first_free - now);
    if (soon >= waiting(*node)) break;
    if (node->connections.size() + node->dialing >= options_.budget.per_engine(listed_)) break;
    if (connections_ >= options_.budget.engines && !make_room()) {
      wake(node, kSweepUs);  // others hold them all, and none tells when it is done
      break;
    }
    ++node->dialing;
    ++connections_;
    ++counts_.dials;
    boost::asio::co_spawn(net_.executor(), run_connection(node), boost::asio::detached);
  }
}

// Lets go of the connection that has been idle longest, of any node.
bool EngineClient::make_room() {
  NodePtr from;
  ConnectionPtr oldest;
  for (const auto& [id, node] : nodes_)
    for (const ConnectionPtr& c : node->connections)
      if (!c->call && (!oldest || c->idle_since < oldest->idle_since)) oldest = c, from = node;
  if (!oldest) return false;
  close(from, oldest);
  return true;
}

void EngineClient::send(const NodePtr& node, const ConnectionPtr& connection, Call call) {
  ++counts_.calls;
  Query& query = *call.query;
  const TimeUs now = clock_.now();
  const std::string& ticket = ticket_of(query);
  const std::string target = "/v2/q/" + ticket;
  std::string bytes;
  switch (call.kind) {
    case Kind::kDelete:
      bytes = http::write_request("DELETE", target, node->address, {});
      break;
    case Kind::kPost: {
      const TimeUs left = std::max<TimeUs>(query.order.remaining_us - (now - query.made_at), 1000);
      http::Fields fields = {{"X-Ticket", ticket},
                             {"X-Queue", options_.classes[query.order.class_index]},
                             {"X-Max-Ms", std::to_string((left + 999) / 1000)}};
      const dispatch::Statement& statement = *query.order.statement;
      if (!statement.idempotency_key.empty()) fields.emplace_back("X-Nonce", statement.idempotency_key);
      if (!statement.ordering_key.empty()) fields.emplace_back("X-Ref", statement.ordering_key);
      if (query.order.memory_grant_mb > 0) {
        const auto grant = static_cast<long long>(std::ceil(query.order.memory_grant_mb));
        fields.emplace_back("Grant-Mb", std::to_string(grant));
      }
      if (query.order.priority != 1) fields.emplace_back("Rank", std::to_string(query.order.priority));
      bytes = http::write_request("POST", "/v2/q", node->address, fields, statement.text);
      query.asked_at = query.posted_at = now;
      query.posting = true;
      break;
    }
    case Kind::kPage:
    case Kind::kNews:
      bytes = http::write_request("GET", target + "/" + std::to_string(call.page), node->address, {});
      query.asked_at = now;
      break;
  }
  connection->call = std::move(call);
  const bool held = connection->call->kind == Kind::kPost || connection->call->kind == Kind::kNews;
  connection->due_at = now + kCallUs + (held ? kHoldUs : 0);
  boost::asio::co_spawn(net_.executor(), write(connection, std::move(bytes)), boost::asio::detached);
}

rpc::Awaitable<void> EngineClient::write(ConnectionPtr connection, std::string bytes) {
  // Not awaited within a condition: GCC 12 takes such a frame apart wrongly.
  const bool written = co_await rpc::write_all(*connection->stream, std::move(bytes));
  if (!written) connection->stream->close();  // whoever reads hears of it
}

rpc::Awaitable<void> EngineClient::run_connection(NodePtr node) {
  const std::shared_ptr<EngineClient*> self = self_;
  const rpc::ConnectResult connected = co_await net_.connect(node->address, options_.dial_timeout_us);
  const std::shared_ptr<rpc::ByteStream>& stream = connected.stream;
  if (*self == nullptr) co_return;
  --node->dialing;
  if (!stream) {
    --connections_;
    dial_failed(node, connected.status);
    co_return;
  }
  node->dial_pause = 0;
  node->broken = false;
  const auto connection = std::make_shared<Connection>(read_limits());
  connection->stream = stream;
  connection->idle_since = clock_.now();
  node->connections.push_back(connection);
  dispatch(node);
  while (!connection->closed) {
    const std::optional<std::string> bytes = co_await stream->read(kPiece);
    if (*self == nullptr || connection->closed) co_return;
    const bool ended = !bytes || bytes->empty();
    if (!bytes) node->broken = true;
    if (!connection->call ||
        (ended && (!bytes || connection->reader.finish() != http::ParseStatus::kComplete))) {
      lost(node, connection);
      co_return;
    }
    const http::ParseStatus state = ended ? http::ParseStatus::kComplete : connection->reader.feed(*bytes);
    if (state == http::ParseStatus::kMalformed) {
      ++counts_.spoilt;
      lost(node, connection);
      co_return;
    }
    if (state == http::ParseStatus::kNeedMore) continue;
    const bool reusable =
        !ended && !connection->reader.has_buffered_bytes() && connection->reader.response().keep_alive;
    const http::Response response = connection->reader.take();
    node->broken = false;
    Call call = std::move(*connection->call);
    connection->call.reset();
    if (call.kind == Kind::kPost) call.query->posting = false;
    connection->idle_since = clock_.now();
    connection->free_at = connection->idle_since + kRestUs;
    if (!reusable) close(node, connection);
    answered(node, std::move(call), response);
    if (*self == nullptr) co_return;
    dispatch(node);
  }
}

void EngineClient::close(const NodePtr& node, const ConnectionPtr& connection) {
  if (connection->closed) return;
  connection->closed = true;
  node->connections.remove(connection);
  --connections_;
  connection->stream->close();
}

void EngineClient::lost(const NodePtr& node, const ConnectionPtr& connection) {
  const bool asked = connection->call.has_value();
  Call call;
  if (asked) call = *connection->call;
  if (asked && call.kind == Kind::kPost) call.query->posting = false;
  connection->call.reset();
  close(node, connection);
  if (asked) {
    ++counts_.broken;
    broken(node, std::move(call));
  }
  dispatch(node);
}

// A refusal proves that what is still to start hasn't started. What runs may go on: a node with as many
// connections as it bears refuses more. It has died where its connections were reset and none stands.
void EngineClient::dial_failed(const NodePtr& node, rpc::ConnectStatus status) {
  const bool refused = status == rpc::ConnectStatus::kRefused;
  const bool dead = refused && node->connections.empty() && node->broken;
  ++(refused ? counts_.refused : counts_.dial_timeouts);
  const auto take = [&](Kind kind) { return std::exchange(node->waiting[static_cast<int>(kind)], {}); };
  if (refused || node->connections.empty())
    for (const Call& call : take(Kind::kPost)) end(call.query, Outcome::kConnectFailed);
  if (dead) {
    for (const Kind kind : {Kind::kPage, Kind::kNews})
      for (const Call& call : take(kind)) end(call.query, Outcome::kReset);
    for (const Call& call : take(Kind::kDelete)) given_up(call.query);
  }
  node->dial_pause = std::clamp(2 * node->dial_pause, kSweepUs, kMostPauseUs);
  if (waiting(*node) > 0) wake(node, node->dial_pause);
}

// ---- Answers -------------------------------------------------------------------------------------------

void EngineClient::answered(const NodePtr& node, Call call, const http::Response& response) {
  if (call.kind == Kind::kDelete) {
    // 500: the node knows of no such query, unless its start is still on the way. Anything else is no word.
    if (response.status == 204 || (response.status == 500 && !call.query->posting))
      given_up(call.query);
    else
      broken(node, std::move(call));
    return;
  }
  if (call.query->over) return;
  const bool good = call.kind == Kind::kPage ? page(call, response) : news(node, call, response);
  if (good) return;
  ++counts_.spoilt;
  broken(node, std::move(call));
}

// False: this is no answer that a node gives.
bool EngineClient::news(const NodePtr& node, Call& call, const http::Response& response) {
  const QueryPtr query = call.query;
  const bool shed = http::find(response.fields, "x-shed") == "1";
  if (const auto report = parse_load_report(http::find(response.fields, "x-meter")))
    query->result.load_report = report;
  switch (response.status) {
    case 202: {
      query->breaks = 0;
      query->doubtful = false;
      const std::string_view remark = http::find(response.fields, "x-remark");
      const std::optional<double> figure = parse_non_negative(http::find(response.fields, "figure"));
      queue(node, {Kind::kNews, query, 0, 0});
      if (figure && remark == "done")
        dispatcher_->on_attempt_progress(query->key, ProgressKind::kProgress, *figure);
      if (figure && remark == "spills")
        dispatcher_->on_attempt_progress(query->key, ProgressKind::kSpill, *figure);
      if (figure && remark == "waits")
        dispatcher_->on_attempt_progress(query->key, ProgressKind::kWaiting, *figure);
      return true;
    }
    case 200: {
      const long long pages = http::parse_decimal(http::find(response.fields, "page-count"), kMostPages);
      std::optional<std::string> rows = page_to_json_rows(response.body);
      const std::optional<double> work = parse_non_negative(http::find(response.fields, "work-ms"));
      const std::optional<double> memory = parse_non_negative(http::find(response.fields, "peak-mb"));
      if (pages < 1 || !rows) return false;
      query->breaks = 0;
      if (work && *work > 0) query->result.work_us = *work * 1000;
      if (memory && *memory > 0) query->result.memory_used_mb = *memory;
      query->pages.assign(pages, std::nullopt);
      query->pages[0] = std::move(rows);
      query->pages_missing = pages - 1;
      if (query->pages_missing == 0) {
        whole(query);
        return true;
      }
      for (int i = 1; i < pages; ++i) queue(node, {Kind::kPage, query, i, 0});
      return true;
    }
    case 503:
    case 504:  // its time was over: it never ran, where a time-out would say that it may have
      if (!shed) return false;
      end(query, Outcome::kOverloaded);
      return true;
    case 500:
      // Of a start that broke off: the node knows nothing of it. It may have run, but the node is well.
      query->result.engine_responsive = query->doubtful;
      end(query, query->doubtful ? Outcome::kReset : Outcome::kError);
      return true;
    default:
      return false;
  }
}

bool EngineClient::page(Call& call, const http::Response& response) {
  const QueryPtr query = call.query;
  if (response.status == 500) {
    end(query, Outcome::kError);
    return true;
  }
  if (response.status != 200) return false;
  if (http::parse_decimal(http::find(response.fields, "page-no"), kMostPages) != call.page) return false;
  std::optional<std::string> rows = page_to_json_rows(response.body);
  if (!rows) return false;
  query->breaks = 0;
  std::optional<std::string>& place = query->pages[call.page];
  if (place) return true;
  place = std::move(rows);
  if (--query->pages_missing == 0) whole(query);
  return true;
}

// The call came to nothing, whatever the node made of it.
void EngineClient::broken(const NodePtr& node, Call call) {
  const QueryPtr query = call.query;
  if (call.kind == Kind::kDelete) {
    if (++call.tries >= kMostDeletes) return;  // the node lets go by itself, as the sweep will find
    clock_.call_after(kOvertakeUs, [self = self_, node, call = std::move(call)] {
      if (*self == nullptr) return;
      (*self)->queue(node, call, true);
      (*self)->wake(node, 0);
    });
    return;
  }
  if (query->over) return;
  if (call.kind == Kind::kPost) {
    query->doubtful = true;
    call.kind = Kind::kNews;  // whether it has begun is for the node to say
  }
  if (++query->breaks > kMostBreaks) {
    give_up(query);  // before the dispatcher hears of it: the next attempt has to wait
    end(query, Outcome::kReset);
    return;
  }
  queue(node, std::move(call), true);
}

// ---- Times ---------------------------------------------------------------------------------------------

void EngineClient::sweep() {
  const TimeUs now = clock_.now();
  // After a standstill of this process answers may wait to be read: they come first.
  const bool stood_still = now - std::exchange(swept_at_, now) > 2 * kSweepUs;
  for (auto it = nodes_.begin(); it != nodes_.end();) {
    const NodePtr node = (it++)->second;
    std::vector<ConnectionPtr> over;
    for (const ConnectionPtr& c : node->connections)
      if (c->call ? !stood_still && now >= c->due_at : now - c->idle_since > options_.idle_close_us * 3 / 5)
        over.push_back(c);
    for (const ConnectionPtr& c : over) {
      if (c->closed) continue;
      if (!c->call) {
        close(node, c);
        continue;
      }
      ++counts_.overdue;
      lost(node, c);
    }
    if (!node->listed && node->queries == 0 && node->connections.empty() && node->dialing == 0 &&
        waiting(*node) == 0)
      nodes_.erase(node->id);
  }
  // Asked for by nobody for so long, a query is no more, wherever its node may be.
  std::vector<QueryPtr> silent;
  for (const auto& [key, query] : queries_)
    if (query->asked_at > 0 && now - query->asked_at > kLetGoUs) silent.push_back(query);
  for (const QueryPtr& query : silent) end(query, Outcome::kReset);
  std::vector<std::string> over;
  for (const auto& [ticket, left] : leftovers_)
    if (now >= left.until) over.push_back(ticket);
  for (const std::string& ticket : over) release(ticket);
  clock_.call_after(kSweepUs, [self = self_] {
    if (*self != nullptr) (*self)->sweep();
  });
}

}  // namespace sablelink::platform
