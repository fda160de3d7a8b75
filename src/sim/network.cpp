#include "sim/network.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <utility>

#include "base/async_event.h"

namespace sablelink::sim {

using rpc::Awaitable;
using rpc::CallResult;
using rpc::Code;

namespace {

CallResult local_result(Code code, std::string what) {
  CallResult result;
  result.status = {code, std::move(what), ""};
  return result;
}

constexpr TimeUs kReconnectBackoffUs = 100'000;  // as grpc_client.h configures gRPC

}  // namespace

class Network::Listener {
 public:
  std::string address;
  std::shared_ptr<Actor> actor;
  rpc::ServerHandler handler;
  size_t max_message_bytes = 0;
  bool open = true;
  size_t running = 0;
};

struct Network::Connection {
  enum class State { kConnecting, kUp, kBroken };
  uint64_t number = 0;
  std::string address;
  std::shared_ptr<Actor> client;
  std::shared_ptr<Listener> server;
  State state = State::kConnecting;
  std::function<void(bool)> on_result;  // called once, with whether the connection was established
  RandomStream random;
  TimeUs latest_arrivals[2] = {0, 0};  // the latest arrival so far, at the client and at the server
  bool powered_off = false;            // the server's machine lost its power: messages are discarded
  bool interrupted = false;
  // Messages sent while interrupted; true: to the server.
  std::vector<std::pair<bool, std::function<void()>>> buffered;
  std::vector<std::weak_ptr<Call>> calls;

  explicit Connection(RandomStream r) : random(r) {}
};

// The state of a call at both sides. Except for `info`, each side's part is accessed only by events of that
// side.
struct Network::Call {
  struct Side {
    std::deque<std::string> received;  // not yet read
    bool received_all = false;         // the other side has sent its last message
    AsyncEvent readable;
    AsyncEvent writable;
    size_t unacknowledged_bytes = 0;  // sent, but not yet acknowledged by the reader
    size_t read_bytes = 0;            // read, but not yet acknowledged to the sender
    bool ended = false;
  };
  CallInfo info;
  std::shared_ptr<Connection> connection;
  Side client, server;
  TimeUs timeout_us = 0;
  bool started = false;
  // At the client.
  std::optional<CallResult> result;
  AsyncEvent result_ready;
  // At the server.
  std::shared_ptr<Listener> listener;
  std::optional<TimeUs> server_timeout_us;
  bool cancelled = false, finished = false;
  std::function<void()> on_cancelled;
};

// ---- The two ends of a call

class Network::ServerEnd : public rpc::ServerCall {
 public:
  ServerEnd(Network& network, std::shared_ptr<Call> call) : network_(network), call_(std::move(call)) {}
  ~ServerEnd() override { cancel_unfinished(); }

  const std::string& method() const override { return call_->info.method; }
  const rpc::Metadata& metadata() const override { return call_->info.metadata; }
  const std::string& peer() const override { return peer_; }
  std::optional<TimeUs> client_timeout_us() const override { return call_->server_timeout_us; }
  bool cancelled() const override { return call_->cancelled; }
  void on_cancelled(std::function<void()> fn) override {
    if (call_->cancelled)
      fn();
    else
      call_->on_cancelled = std::move(fn);
  }

  Awaitable<std::optional<std::string>> read() override {
    const std::shared_ptr<Call> call = call_;
    Network& network = network_;
    while (call->server.received.empty() && !call->server.received_all && !call->server.ended)
      co_await call->server.readable.wait();
    if (call->server.received.empty() || call->server.ended) co_return std::nullopt;
    std::string message = std::move(call->server.received.front());
    call->server.received.pop_front();
    network.acknowledge_read(call, false, message.size());
    co_return message;
  }

  Awaitable<bool> write(std::string message) override {
    const std::shared_ptr<Call> call = call_;
    if (call->server.ended || call->finished) co_return false;
    call->server.unacknowledged_bytes += message.size();
    send_to_client(std::move(message));
    while (call->server.unacknowledged_bytes > network_.settings_.window_bytes && !call->server.ended)
      co_await call->server.writable.wait();
    co_return !call->server.ended;
  }

  Awaitable<bool> finish(rpc::Status status, rpc::Metadata trailers,
                         std::optional<std::string> last) override {
    const std::shared_ptr<Call> call = call_;
    if (call->finished) {
      network_.observer_.on_duplicate_response(call->info);
      co_return false;
    }
    call->finished = true;
    if (call->server.ended) co_return false;
    if (last) send_to_client(std::move(*last));
    network_.observer_.on_response_sent(call->info, status);
    CallResult result{std::move(status), std::move(trailers)};
    network_.end_at_server(call);
    const auto to_lose = network_.responses_to_lose_.find(call->info.address);
    if (to_lose != network_.responses_to_lose_.end() && to_lose->second > 0) {
      --to_lose->second;
      network_.break_connection(call->connection, Notify::kDelayed, Notify::kDelayed);
      co_return false;
    }
    Network* const network = &network_;
    network_.send(call->connection, false, [network, call, result = std::move(result)] {
      network->end_at_client(call, result, true);
    });
    co_return true;
  }

  void cancel_unfinished() {
    if (call_->finished || call_->server.ended) return;
    call_->finished = true;
    network_.end_at_server(call_);
    Network* const network = &network_;
    network_.send(call_->connection, false, [network, call = call_] {
      network->end_at_client(call, local_result(Code::kCancelled, "the server broke the call off"), false);
    });
  }

 private:
  void send_to_client(std::string message) {
    network_.send(call_->connection, false, [call = call_, message = std::move(message)]() mutable {
      if (call->client.ended) return;
      call->client.received.push_back(std::move(message));
      call->client.readable.set();
    });
  }

  Network& network_;
  const std::shared_ptr<Call> call_;
  const std::string peer_ = call_->info.client + "#" + std::to_string(call_->connection->number);
};

class Network::ClientEnd : public rpc::ClientCall {
 public:
  ClientEnd(Network& network, std::shared_ptr<Call> call) : network_(network), call_(std::move(call)) {}
  ~ClientEnd() override { cancel(); }

  Awaitable<bool> write(std::string message, bool last) override {
    const std::shared_ptr<Call> call = call_;
    if (call->client.ended) co_return false;
    call->client.unacknowledged_bytes += message.size();
    const bool first = !call->started;
    if (first) start();
    Network* const network = &network_;
    network_.send(call->connection, true,
                  [network, call, message = std::move(message), last, first]() mutable {
                    if (!call->connection->server) return;  // the connection was refused
                    if (first) network->start_handler(call);
                    if (call->server.ended) return;
                    if (message.size() > call->listener->max_message_bytes) {
                      network->end_at_server(call);
                      network->send(call->connection, false, [network, call] {
                        network->end_at_client(
                            call, local_result(Code::kResourceExhausted, "a message is too large"), false);
                      });
                      return;
                    }
                    call->server.received.push_back(std::move(message));
                    call->server.received_all = last;
                    call->server.readable.set();
                  });
    while (call->client.unacknowledged_bytes > network_.settings_.window_bytes && !call->client.ended)
      co_await call->client.writable.wait();
    co_return !call->client.ended;
  }

  Awaitable<std::optional<std::string>> read() override {
    const std::shared_ptr<Call> call = call_;
    Network& network = network_;
    while (call->client.received.empty() && !call->client.ended) co_await call->client.readable.wait();
    if (call->client.received.empty()) co_return std::nullopt;
    std::string message = std::move(call->client.received.front());
    call->client.received.pop_front();
    network.acknowledge_read(call, true, message.size());
    co_return message;
  }

  Awaitable<CallResult> finish() override {
    const std::shared_ptr<Call> call = call_;
    while (!call->result) co_await call->result_ready.wait();
    co_return *call->result;
  }

  void cancel() override {
    if (call_->client.ended) return;
    call_->client.received.clear();
    if (call_->started) notify_server(network_, call_);
    network_.end_at_client(call_, local_result(Code::kCancelled, "cancelled"), false);
  }

 private:
  void start() {
    call_->started = true;
    CallInfo& info = call_->info;
    info.sent_at = network_.world_.now();
    if (call_->timeout_us > 0) {
      info.deadline_at = info.sent_at + call_->timeout_us;
      Network* const network = &network_;
      call_->connection->client->call_after(call_->timeout_us, [network, weak = std::weak_ptr<Call>(call_)] {
        const std::shared_ptr<Call> call = weak.lock();
        if (!call || call->client.ended) return;
        notify_server(*network, call);
        network->end_at_client(call, local_result(Code::kDeadlineExceeded, "the time is up"), false);
      });
    }
    network_.observer_.on_call_sent(info);
  }
  static void notify_server(Network& network, const std::shared_ptr<Call>& call) {
    network.send(call->connection, true, [&network, call] { network.end_at_server(call); });
  }

  Network& network_;
  const std::shared_ptr<Call> call_;
};

// Enlarges the sender's window by the bytes read. As in HTTP/2, the update is sent after each quarter of the
// window, not for each message.
void Network::acknowledge_read(const std::shared_ptr<Call>& call, bool to_server, size_t bytes) {
  Call::Side& reader = to_server ? call->client : call->server;
  reader.read_bytes += bytes;
  if (reader.read_bytes < settings_.window_bytes / 4) return;
  send(call->connection, to_server, [call, to_server, n = std::exchange(reader.read_bytes, 0)] {
    Call::Side& writer = to_server ? call->server : call->client;
    writer.unacknowledged_bytes -= std::min(n, writer.unacknowledged_bytes);
    writer.writable.set();
  });
}

// Ends a call at its server: the server has finished it, it was cancelled, or its connection broke.
void Network::end_at_server(const std::shared_ptr<Call>& call) {
  if (call->server.ended) return;
  call->server.ended = true;
  observer_.on_call_ended_at_server(call->info);
  if (!call->finished) {
    call->cancelled = true;
    call->server.received.clear();
  }
  call->server.readable.set();
  call->server.writable.set();
  // The callback may own the last reference to the call, so it is moved out first.
  const std::function<void()> fn = std::exchange(call->on_cancelled, nullptr);
  if (call->cancelled && fn) fn();
}

void Network::end_at_client(const std::shared_ptr<Call>& call, CallResult result, bool from_server) {
  if (call->client.ended) return;
  call->client.ended = true;
  call->result = std::move(result);
  if (call->started) {
    observer_.on_call_ended_at_client(call->info, *call->result, from_server);
  }
  call->client.readable.set();
  call->client.writable.set();
  call->result_ready.set();
}

// Handles the arrival of a call's first message at the server.
void Network::start_handler(const std::shared_ptr<Call>& call) {
  call->listener = call->connection->server;
  call->info.server = call->listener->actor->name();
  if (!call->listener->open) {
    call->server.ended = true;
    send(call->connection, false, [this, call] {
      end_at_client(call, local_result(Code::kUnavailable, "the server has closed"), false);
    });
    return;
  }
  if (call->timeout_us > 0) {
    // gRPC sends a server a timeout of up to 4% more than the client's; GrpcServer subtracts as much.
    const auto sent_timeout = static_cast<TimeUs>(static_cast<double>(call->timeout_us) *
                                                  (1 + 0.04 * call->connection->random.uniform()));
    call->server_timeout_us = sent_timeout - sent_timeout / 25;
    call->listener->actor->call_after(sent_timeout, [this, weak = std::weak_ptr<Call>(call)] {
      if (const std::shared_ptr<Call> c = weak.lock()) end_at_server(c);
    });
  }
  observer_.on_call_received(call->info);
  ++call->listener->running;
  boost::asio::co_spawn(
      world_.executor(),
      [](Network* network, std::shared_ptr<Call> c) -> Awaitable<void> {
        const std::shared_ptr<Listener> listener = c->listener;
        const auto end = std::make_shared<ServerEnd>(*network, c);
        co_await listener->handler(end);
        end->cancel_unfinished();
        --listener->running;
      }(this, call),
      boost::asio::detached);
}

// ---- Channels

class Network::Channel : public rpc::Channel {
 public:
  Channel(Network& network, std::shared_ptr<Actor> actor, std::string address)
      : network_(network), actor_(std::move(actor)), address_(std::move(address)) {}
  ~Channel() override {
    if (connection_) network_.break_connection(connection_, Notify::kNever, Notify::kDelayed);
  }

  Awaitable<bool> connect(TimeUs timeout) override {
    if (up()) co_return true;
    const auto waiter = std::make_shared<FirstResult>();
    start_connecting();
    if (!connecting_) co_return false;
    waiters_.push_back(waiter);
    actor_->call_after(timeout, [waiter] { waiter->set(false); });
    const bool connected = co_await waiter->wait();
    co_return connected;
  }

  std::unique_ptr<rpc::ClientCall> call(std::string method, rpc::Metadata metadata,
                                        TimeUs timeout_us) override {
    auto call = std::make_shared<Call>();
    call->info.id = ++network_.last_call_;
    call->info.client = actor_->name();
    call->info.address = address_;
    call->info.method = std::move(method);
    call->info.metadata = std::move(metadata);
    call->timeout_us = timeout_us;
    if (!up()) start_connecting();
    call->connection = connection_;
    if (!connection_) {
      call->client.ended = true;
      call->result = local_result(Code::kUnavailable, "no connection to " + address_);
    } else {
      connection_->calls.push_back(call);
    }
    return std::make_unique<ClientEnd>(network_, std::move(call));
  }

 private:
  bool up() const { return connection_ && connection_->state == Connection::State::kUp; }

  // Starts a connection attempt unless there is a connection, an attempt is in progress or the last one has
  // just failed.
  void start_connecting() {
    if (connection_ && connection_->state != Connection::State::kBroken) return;
    connection_ = nullptr;
    connecting_ = false;
    if (!actor_->alive() || actor_->now() < retry_not_before_) return;
    connecting_ = true;
    connection_ = network_.connect(actor_, address_, [this, alive = std::weak_ptr<bool>(alive_)](bool ok) {
      if (alive.expired()) return;
      connecting_ = false;
      if (!ok) retry_not_before_ = actor_->now() + kReconnectBackoffUs;
      for (const auto& w : std::exchange(waiters_, {})) w->set(ok);
    });
  }

  Network& network_;
  const std::shared_ptr<Actor> actor_;
  const std::string address_;
  std::shared_ptr<Connection> connection_;
  bool connecting_ = false;
  TimeUs retry_not_before_ = 0;
  std::vector<std::shared_ptr<FirstResult>> waiters_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class Network::Factory : public rpc::ChannelFactory {
 public:
  Factory(Network& network, std::shared_ptr<Actor> actor) : network_(network), actor_(std::move(actor)) {}
  std::unique_ptr<rpc::Channel> open(const std::string& address) override {
    return std::make_unique<Channel>(network_, actor_, address);
  }

 private:
  Network& network_;
  const std::shared_ptr<Actor> actor_;
};

// ---- Network

Network::Network(World& world, LinkSettings settings, NetworkObserver* observer)
    : world_(world), settings_(settings), observer_(observer != nullptr ? *observer : no_observer_) {}

Network::~Network() = default;

std::unique_ptr<rpc::ChannelFactory> Network::channels(std::shared_ptr<Actor> actor) {
  return std::make_unique<Factory>(*this, std::move(actor));
}

std::shared_ptr<Network::Listener> Network::listen(const std::string& address, std::shared_ptr<Actor> actor,
                                                   rpc::ServerHandler handler, size_t max_message_bytes) {
  auto listener = std::make_shared<Listener>();
  listener->address = address;
  listener->actor = std::move(actor);
  listener->handler = std::move(handler);
  listener->max_message_bytes = max_message_bytes;
  listeners_[address] = listener;
  // A restarted machine rejects messages on connections to its previous incarnation.
  powered_off_addresses_.erase(address);
  for_each_connection("", address, [&](const std::shared_ptr<Connection>& c) {
    if (c->powered_off) break_connection(c, Notify::kDelayed, Notify::kNever);
  });
  return listener;
}

void Network::close(const std::shared_ptr<Listener>& listener) {
  listener->open = false;
  const auto it = listeners_.find(listener->address);
  if (it != listeners_.end() && it->second == listener) listeners_.erase(it);
  for_each_connection("", listener->address, [&](const std::shared_ptr<Connection>& c) {
    if (c->server == listener && !c->powered_off) break_connection(c, Notify::kDelayed, Notify::kImmediately);
  });
}

size_t Network::running(const std::shared_ptr<Listener>& listener) const { return listener->running; }

std::shared_ptr<Network::Connection> Network::connect(const std::shared_ptr<Actor>& client,
                                                      const std::string& address,
                                                      std::function<void(bool)> on_result) {
  // Each connection has its own random stream.
  const uint64_t nth = ++connection_counts_[{client->name(), address}];
  auto c = std::make_shared<Connection>(
      world_.stream("connection/" + client->name() + "/" + address + "/" + std::to_string(nth)));
  c->number = ++last_connection_;
  c->address = address;
  c->client = client;
  c->on_result = std::move(on_result);
  connections_[c->number] = c;
  // A blackholed or powered-off address never responds.
  if (matches(blackholed_addresses_, address) || powered_off_addresses_.contains(address)) return c;
  const auto it = listeners_.find(address);
  const bool refused = it == listeners_.end() || matches(refused_addresses_, address);
  if (!refused) c->server = it->second;
  send(c, true, [this, c, refused] {
    // The kernel responds even if the process is stalled.
    const bool connected = !refused && c->server->open;
    send(c, false, [this, c, connected] {
      if (!connected) {
        break_connection(c, Notify::kImmediately, Notify::kNever, "no connection to " + c->address);
        return;
      }
      if (c->state != Connection::State::kConnecting) return;  // it broke while the client was stalled
      c->state = Connection::State::kUp;
      std::exchange(c->on_result, nullptr)(true);
    });
  });
  return c;
}

void Network::send(const std::shared_ptr<Connection>& connection, bool to_server, std::function<void()> fn) {
  if (!connection || connection->state == Connection::State::kBroken || connection->powered_off) return;
  if (connection->interrupted) {
    connection->buffered.emplace_back(to_server, std::move(fn));
    return;
  }
  const TimeUs arrival =
      settings_.next_arrival(world_.now(), added_delay(connection->address), &connection->random,
                             &connection->latest_arrivals[to_server ? 1 : 0]);
  world_.at(arrival, [connection, to_server, fn = std::move(fn)]() mutable {
    if (connection->state == Connection::State::kBroken || connection->powered_off) return;
    if (connection->interrupted) {  // sent before the interruption began
      connection->buffered.emplace_back(to_server, std::move(fn));
      return;
    }
    // The kernel accepts connections; all else waits while the process is stalled.
    if (to_server && connection->server && connection->state == Connection::State::kUp)
      connection->server->actor->deliver(std::move(fn));
    else if (to_server)
      fn();
    else
      connection->client->deliver(std::move(fn));
  });
}

void Network::break_connection(const std::shared_ptr<Connection>& connection, Notify client, Notify server,
                               const std::string& why) {
  if (connection->state == Connection::State::kBroken) return;
  connection->state = Connection::State::kBroken;
  connection->buffered.clear();
  if (connection->on_result) std::exchange(connection->on_result, nullptr)(false);
  const std::vector<std::weak_ptr<Call>> calls = std::exchange(connection->calls, {});
  if (client == Notify::kImmediately) end_calls(calls, true, why);
  if (server == Notify::kImmediately) end_calls(calls, false, why);
  if (client != Notify::kDelayed && server != Notify::kDelayed) return;
  world_.after(settings_.base_us + added_delay(connection->address),
               [this, connection, calls, client, server, why] {
                 if (client == Notify::kDelayed)
                   connection->client->deliver([this, calls, why] { end_calls(calls, true, why); });
                 if (server == Notify::kDelayed && connection->server)
                   connection->server->actor->deliver([this, calls, why] { end_calls(calls, false, why); });
               });
}

void Network::end_calls(const std::vector<std::weak_ptr<Call>>& calls, bool at_client,
                        const std::string& why) {
  for (const auto& weak : calls) {
    const std::shared_ptr<Call> call = weak.lock();
    if (!call) continue;
    if (at_client)
      end_at_client(call, local_result(Code::kUnavailable, why), false);
    else if (call->listener)
      end_at_server(call);
  }
}

void Network::for_each_connection(const std::string& client, const std::string& address,
                                  const std::function<void(const std::shared_ptr<Connection>&)>& fn) {
  std::vector<std::shared_ptr<Connection>> found;
  for (auto it = connections_.begin(); it != connections_.end();) {
    const std::shared_ptr<Connection> c = it->second.lock();
    if (!c || c->state == Connection::State::kBroken) {
      it = connections_.erase(it);
      continue;
    }
    if ((client.empty() || c->client->name() == client) && (address.empty() || c->address == address))
      found.push_back(c);
    ++it;
  }
  for (const auto& c : found) fn(c);
}

bool Network::matches(const std::set<std::string>& addresses, const std::string& address) const {
  return addresses.contains(address) || addresses.contains("");
}

TimeUs Network::added_delay(const std::string& address) const {
  TimeUs delay = 0;
  for (const std::string& name : {address, std::string()}) {
    const auto it = added_delays_.find(name);
    if (it != added_delays_.end()) delay += it->second;
  }
  return delay;
}

void Network::refuse_connections(const std::string& address, bool on) {
  if (on)
    refused_addresses_.insert(address);
  else
    refused_addresses_.erase(address);
}

void Network::blackhole(const std::string& address, bool on) {
  if (on)
    blackholed_addresses_.insert(address);
  else
    blackholed_addresses_.erase(address);
}

void Network::set_added_delay(const std::string& address, TimeUs delay_us) {
  if (delay_us > 0)
    added_delays_[address] = delay_us;
  else
    added_delays_.erase(address);
}

void Network::interrupt(const std::string& client, const std::string& address, TimeUs duration,
                        bool repaired) {
  for_each_connection(client, address, [&](const std::shared_ptr<Connection>& c) {
    c->interrupted = true;
    world_.after(duration, [this, c, repaired] {
      if (!c->interrupted) return;
      c->interrupted = false;
      if (!repaired) {
        break_connection(c, Notify::kDelayed, Notify::kDelayed);
        return;
      }
      for (auto& [to_server, fn] : std::exchange(c->buffered, {})) send(c, to_server, std::move(fn));
    });
  });
}

void Network::reset(const std::string& client, const std::string& address) {
  for_each_connection(client, address, [&](const std::shared_ptr<Connection>& c) {
    break_connection(c, Notify::kDelayed, Notify::kDelayed);
  });
}

void Network::lose_responses(const std::string& address, int count) { responses_to_lose_[address] += count; }

void Network::actor_died(const std::string& actor, bool power_loss) {
  for_each_connection("", "", [&](const std::shared_ptr<Connection>& c) {
    const bool is_client = c->client->name() == actor;
    const bool is_server = c->server && c->server->actor->name() == actor;
    if (is_server && power_loss) {
      c->powered_off = true;
      powered_off_addresses_.insert(c->address);
      end_calls(c->calls, false, "the process died");
    } else if (is_server) {
      break_connection(c, Notify::kDelayed, Notify::kImmediately);
    } else if (is_client) {
      break_connection(c, Notify::kImmediately, Notify::kDelayed, "the process died");
    }
  });
}

}  // namespace sablelink::sim
