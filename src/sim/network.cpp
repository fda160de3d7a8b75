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

CallResult made_up(Code code, std::string what) {
  CallResult end;
  end.status = {code, std::move(what), ""};
  return end;
}

constexpr TimeUs kReconnectPauseUs = 100'000;  // gRPC's, as grpc_client.h sets it

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
  std::function<void(bool)> done;  // hears once whether it stands
  RandomStream random;
  TimeUs arrives[2] = {0, 0};  // the latest arrival so far, to the client and to the server
  bool silent = false;         // the server's machine is gone: what is sent vanishes
  bool cut = false;
  std::vector<std::pair<bool, std::function<void()>>> held;  // sent while it was cut
  std::vector<std::weak_ptr<Call>> calls;

  explicit Connection(RandomStream r) : random(r) {}
};

// Both halves of a call. Each is touched in events of its own side alone, but for the facts.
struct Network::Call {
  struct Half {
    std::deque<std::string> in;  // arrived and not yet read
    bool in_end = false;         // nothing more comes
    AsyncEvent readable;
    AsyncEvent writable;
    size_t unread = 0;  // sent from here and not yet told to be read there
    size_t read = 0;    // here, and not yet told
    bool over = false;
  };
  CallFacts facts;
  std::shared_ptr<Connection> connection;
  Half client, server;
  TimeUs allow = 0;
  bool started = false;
  // At the client.
  std::optional<CallResult> end;
  AsyncEvent ended;
  // At the server.
  std::shared_ptr<Listener> listener;
  std::optional<TimeUs> allowed;
  bool cancelled = false, finished = false;
  std::function<void()> on_cancelled;
};

// ---- Ends

class Network::ServerEnd : public rpc::ServerCall {
 public:
  ServerEnd(Network& network, std::shared_ptr<Call> call) : network_(network), call_(std::move(call)) {}
  ~ServerEnd() override { break_off(); }

  const std::string& method() const override { return call_->facts.method; }
  const rpc::Metadata& metadata() const override { return call_->facts.metadata; }
  const std::string& peer() const override { return peer_; }
  std::optional<TimeUs> client_timeout_us() const override { return call_->allowed; }
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
    while (call->server.in.empty() && !call->server.in_end && !call->server.over)
      co_await call->server.readable.wait();
    if (call->server.in.empty() || call->server.over) co_return std::nullopt;
    std::string message = std::move(call->server.in.front());
    call->server.in.pop_front();
    network.tell_read(call, false, message.size());
    co_return message;
  }

  Awaitable<bool> write(std::string message) override {
    const std::shared_ptr<Call> call = call_;
    if (call->server.over || call->finished) co_return false;
    call->server.unread += message.size();
    pass_on(std::move(message));
    while (call->server.unread > network_.terms_.window_bytes && !call->server.over)
      co_await call->server.writable.wait();
    co_return !call->server.over;
  }

  Awaitable<bool> finish(rpc::Status status, rpc::Metadata trailers,
                         std::optional<std::string> last) override {
    const std::shared_ptr<Call> call = call_;
    if (call->finished) {
      network_.tap_.answered_again(call->facts);
      co_return false;
    }
    call->finished = true;
    if (call->server.over) co_return false;
    if (last) pass_on(std::move(*last));
    network_.tap_.answer_left(call->facts, status);
    CallResult end{std::move(status), std::move(trailers)};
    network_.end_at_server(call);
    const auto losing = network_.losing_.find(call->facts.address);
    if (losing != network_.losing_.end() && losing->second > 0) {
      --losing->second;
      network_.break_connection(call->connection, Hears::kLater, Hears::kLater);
      co_return false;
    }
    Network* const network = &network_;
    network_.send(call->connection, false,
                  [network, call, end = std::move(end)] { network->end_at_client(call, end, true); });
    co_return true;
  }

  void break_off() {
    if (call_->finished || call_->server.over) return;
    call_->finished = true;
    network_.end_at_server(call_);
    Network* const network = &network_;
    network_.send(call_->connection, false, [network, call = call_] {
      network->end_at_client(call, made_up(Code::kCancelled, "the server broke the call off"), false);
    });
  }

 private:
  void pass_on(std::string message) {
    network_.send(call_->connection, false, [call = call_, message = std::move(message)]() mutable {
      if (call->client.over) return;
      call->client.in.push_back(std::move(message));
      call->client.readable.set();
    });
  }

  Network& network_;
  const std::shared_ptr<Call> call_;
  const std::string peer_ = call_->facts.client + "#" + std::to_string(call_->connection->number);
};

class Network::ClientEnd : public rpc::ClientCall {
 public:
  ClientEnd(Network& network, std::shared_ptr<Call> call) : network_(network), call_(std::move(call)) {}
  ~ClientEnd() override { cancel(); }

  Awaitable<bool> write(std::string message, bool last) override {
    const std::shared_ptr<Call> call = call_;
    if (call->client.over) co_return false;
    call->client.unread += message.size();
    const bool first = !call->started;
    if (first) start();
    Network* const network = &network_;
    network_.send(call->connection, true,
                  [network, call, message = std::move(message), last, first]() mutable {
                    if (!call->connection->server) return;  // nobody is there
                    if (first) network->arrive(call);
                    if (call->server.over) return;
                    if (message.size() > call->listener->max_message_bytes) {
                      network->end_at_server(call);
                      network->send(call->connection, false, [network, call] {
                        network->end_at_client(
                            call, made_up(Code::kResourceExhausted, "a message is too large"), false);
                      });
                      return;
                    }
                    call->server.in.push_back(std::move(message));
                    call->server.in_end = last;
                    call->server.readable.set();
                  });
    while (call->client.unread > network_.terms_.window_bytes && !call->client.over)
      co_await call->client.writable.wait();
    co_return !call->client.over;
  }

  Awaitable<std::optional<std::string>> read() override {
    const std::shared_ptr<Call> call = call_;
    Network& network = network_;
    while (call->client.in.empty() && !call->client.over) co_await call->client.readable.wait();
    if (call->client.in.empty()) co_return std::nullopt;
    std::string message = std::move(call->client.in.front());
    call->client.in.pop_front();
    network.tell_read(call, true, message.size());
    co_return message;
  }

  Awaitable<CallResult> finish() override {
    const std::shared_ptr<Call> call = call_;
    while (!call->end) co_await call->ended.wait();
    co_return *call->end;
  }

  void cancel() override {
    if (call_->client.over) return;
    call_->client.in.clear();
    if (call_->started) tell_server(network_, call_);
    network_.end_at_client(call_, made_up(Code::kCancelled, "cancelled"), false);
  }

 private:
  void start() {
    call_->started = true;
    CallFacts& facts = call_->facts;
    facts.asked_at = network_.world_.now();
    if (call_->allow > 0) {
      facts.deadline_at = facts.asked_at + call_->allow;
      Network* const network = &network_;
      call_->connection->client->call_after(call_->allow, [network, weak = std::weak_ptr<Call>(call_)] {
        const std::shared_ptr<Call> call = weak.lock();
        if (!call || call->client.over) return;
        tell_server(*network, call);
        network->end_at_client(call, made_up(Code::kDeadlineExceeded, "the time is up"), false);
      });
    }
    network_.tap_.call_left(facts);
  }
  static void tell_server(Network& network, const std::shared_ptr<Call>& call) {
    network.send(call->connection, true, [&network, call] { network.end_at_server(call); });
  }

  Network& network_;
  const std::shared_ptr<Call> call_;
};

// What a side has read makes room at the other. As HTTP/2 does, it is told in pieces of a part of the window,
// and not for each message.
void Network::tell_read(const std::shared_ptr<Call>& call, bool to_server, size_t bytes) {
  Call::Half& reader = to_server ? call->client : call->server;
  reader.read += bytes;
  if (reader.read < terms_.window_bytes / 4) return;
  send(call->connection, to_server, [call, to_server, n = std::exchange(reader.read, 0)] {
    Call::Half& writer = to_server ? call->server : call->client;
    writer.unread -= std::min(n, writer.unread);
    writer.writable.set();
  });
}

// A call's server learns that it is over without its doing, or has ended it itself.
void Network::end_at_server(const std::shared_ptr<Call>& call) {
  if (call->server.over) return;
  call->server.over = true;
  tap_.call_over_at_server(call->facts);
  if (!call->finished) {
    call->cancelled = true;
    call->server.in.clear();
  }
  call->server.readable.set();
  call->server.writable.set();
  // What it holds may hold the call.
  const std::function<void()> fn = std::exchange(call->on_cancelled, nullptr);
  if (call->cancelled && fn) fn();
}

void Network::end_at_client(const std::shared_ptr<Call>& call, CallResult end, bool from_server) {
  if (call->client.over) return;
  call->client.over = true;
  call->end = std::move(end);
  if (call->started) {
    tap_.call_over(call->facts, *call->end, from_server);
  }
  call->client.readable.set();
  call->client.writable.set();
  call->ended.set();
}

// A call's first message is at the server.
void Network::arrive(const std::shared_ptr<Call>& call) {
  call->listener = call->connection->server;
  call->facts.server = call->listener->actor->name();
  if (!call->listener->open) {
    call->server.over = true;
    send(call->connection, false,
         [this, call] { end_at_client(call, made_up(Code::kUnavailable, "the server has closed"), false); });
    return;
  }
  if (call->allow > 0) {
    // gRPC tells a server up to 4% more than the client waits; GrpcServer takes as much off.
    const auto told = static_cast<TimeUs>(static_cast<double>(call->allow) *
                                          (1 + 0.04 * call->connection->random.uniform()));
    call->allowed = told - told / 25;
    call->listener->actor->call_after(told, [this, weak = std::weak_ptr<Call>(call)] {
      if (const std::shared_ptr<Call> c = weak.lock()) end_at_server(c);
    });
  }
  tap_.call_arrived(call->facts);
  ++call->listener->running;
  boost::asio::co_spawn(
      world_.executor(),
      [](Network* network, std::shared_ptr<Call> c) -> Awaitable<void> {
        const std::shared_ptr<Listener> listener = c->listener;
        const auto end = std::make_shared<ServerEnd>(*network, c);
        co_await listener->handler(end);
        end->break_off();
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
    if (connection_) network_.break_connection(connection_, Hears::kNever, Hears::kLater);
  }

  Awaitable<bool> connect(TimeUs within) override {
    if (up()) co_return true;
    const auto waiter = std::make_shared<FirstResult>();
    begin();
    if (!connecting_) co_return false;
    waiters_.push_back(waiter);
    actor_->call_after(within, [waiter] { waiter->set(false); });
    const bool stands = co_await waiter->wait();
    co_return stands;
  }

  std::unique_ptr<rpc::ClientCall> call(std::string method, rpc::Metadata metadata, TimeUs allow) override {
    auto call = std::make_shared<Call>();
    call->facts.id = ++network_.last_call_;
    call->facts.client = actor_->name();
    call->facts.address = address_;
    call->facts.method = std::move(method);
    call->facts.metadata = std::move(metadata);
    call->allow = allow;
    if (!up()) begin();
    call->connection = connection_;
    if (!connection_) {
      call->client.over = true;
      call->end = made_up(Code::kUnavailable, "no connection to " + address_);
    } else {
      connection_->calls.push_back(call);
    }
    return std::make_unique<ClientEnd>(network_, std::move(call));
  }

 private:
  bool up() const { return connection_ && connection_->state == Connection::State::kUp; }

  // Begins a connection where none stands or comes about, unless the last has just failed.
  void begin() {
    if (connection_ && connection_->state != Connection::State::kBroken) return;
    connection_ = nullptr;
    connecting_ = false;
    if (!actor_->alive() || actor_->now() < not_before_) return;
    connecting_ = true;
    connection_ = network_.connect(actor_, address_, [this, alive = std::weak_ptr<bool>(alive_)](bool ok) {
      if (alive.expired()) return;
      connecting_ = false;
      if (!ok) not_before_ = actor_->now() + kReconnectPauseUs;
      for (const auto& w : std::exchange(waiters_, {})) w->set(ok);
    });
  }

  Network& network_;
  const std::shared_ptr<Actor> actor_;
  const std::string address_;
  std::shared_ptr<Connection> connection_;
  bool connecting_ = false;
  TimeUs not_before_ = 0;
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

Network::Network(World& world, LinkTerms terms, NetworkTap* tap)
    : world_(world), terms_(terms), tap_(tap != nullptr ? *tap : none_) {}

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
  // A machine that is back knows nothing of connections to its former life.
  silent_.erase(address);
  for_connections("", address, [&](const std::shared_ptr<Connection>& c) {
    if (c->silent) break_connection(c, Hears::kLater, Hears::kNever);
  });
  return listener;
}

void Network::close(const std::shared_ptr<Listener>& listener) {
  listener->open = false;
  const auto it = listeners_.find(listener->address);
  if (it != listeners_.end() && it->second == listener) listeners_.erase(it);
  for_connections("", listener->address, [&](const std::shared_ptr<Connection>& c) {
    if (c->server == listener && !c->silent) break_connection(c, Hears::kLater, Hears::kAtOnce);
  });
}

size_t Network::running(const std::shared_ptr<Listener>& listener) const { return listener->running; }

std::shared_ptr<Network::Connection> Network::connect(const std::shared_ptr<Actor>& client,
                                                      const std::string& address,
                                                      std::function<void(bool)> done) {
  // A stream for each connection, by its own name.
  const uint64_t nth = ++made_[{client->name(), address}];
  auto c = std::make_shared<Connection>(
      world_.stream("connection/" + client->name() + "/" + address + "/" + std::to_string(nth)));
  c->number = ++last_connection_;
  c->address = address;
  c->client = client;
  c->done = std::move(done);
  connections_[c->number] = c;
  if (matches(swallowing_, address) || silent_.contains(address)) return c;  // no word ever comes
  const auto it = listeners_.find(address);
  const bool refused = it == listeners_.end() || matches(refusing_, address);
  if (!refused) c->server = it->second;
  send(c, true, [this, c, refused] {
    // The kernel answers, whatever the process is doing.
    const bool stands = !refused && c->server->open;
    send(c, false, [this, c, stands] {
      if (!stands) {
        break_connection(c, Hears::kAtOnce, Hears::kNever, "no connection to " + c->address);
        return;
      }
      if (c->state != Connection::State::kConnecting) return;  // heard late, where the process stood still
      c->state = Connection::State::kUp;
      std::exchange(c->done, nullptr)(true);
    });
  });
  return c;
}

void Network::send(const std::shared_ptr<Connection>& connection, bool to_server, std::function<void()> fn) {
  if (!connection || connection->state == Connection::State::kBroken || connection->silent) return;
  if (connection->cut) {
    connection->held.emplace_back(to_server, std::move(fn));
    return;
  }
  const TimeUs arrives = terms_.arrival(world_.now(), slowed(connection->address), &connection->random,
                                        &connection->arrives[to_server ? 1 : 0]);
  world_.at(arrives, [connection, to_server, fn = std::move(fn)]() mutable {
    if (connection->state == Connection::State::kBroken || connection->silent) return;
    if (connection->cut) {  // it was on its way when the line went
      connection->held.emplace_back(to_server, std::move(fn));
      return;
    }
    // Setting up is the kernel's; all else waits where the process stands still.
    if (to_server && connection->server && connection->state == Connection::State::kUp)
      connection->server->actor->deliver(std::move(fn));
    else if (to_server)
      fn();
    else
      connection->client->deliver(std::move(fn));
  });
}

void Network::break_connection(const std::shared_ptr<Connection>& connection, Hears client, Hears server,
                               const std::string& why) {
  if (connection->state == Connection::State::kBroken) return;
  connection->state = Connection::State::kBroken;
  connection->held.clear();
  if (connection->done) std::exchange(connection->done, nullptr)(false);
  const std::vector<std::weak_ptr<Call>> calls = std::exchange(connection->calls, {});
  if (client == Hears::kAtOnce) end_calls(calls, true, why);
  if (server == Hears::kAtOnce) end_calls(calls, false, why);
  if (client != Hears::kLater && server != Hears::kLater) return;
  world_.after(terms_.base_us + slowed(connection->address), [this, connection, calls, client, server, why] {
    if (client == Hears::kLater)
      connection->client->deliver([this, calls, why] { end_calls(calls, true, why); });
    if (server == Hears::kLater && connection->server)
      connection->server->actor->deliver([this, calls, why] { end_calls(calls, false, why); });
  });
}

void Network::end_calls(const std::vector<std::weak_ptr<Call>>& calls, bool at_client,
                        const std::string& why) {
  for (const auto& weak : calls) {
    const std::shared_ptr<Call> call = weak.lock();
    if (!call) continue;
    if (at_client)
      end_at_client(call, made_up(Code::kUnavailable, why), false);
    else if (call->listener)
      end_at_server(call);
  }
}

void Network::for_connections(const std::string& client, const std::string& address,
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

TimeUs Network::slowed(const std::string& address) const {
  TimeUs by = 0;
  for (const std::string& name : {address, std::string()}) {
    const auto it = slow_.find(name);
    if (it != slow_.end()) by += it->second;
  }
  return by;
}

void Network::refuse(const std::string& address, bool on) {
  if (on)
    refusing_.insert(address);
  else
    refusing_.erase(address);
}

void Network::swallow(const std::string& address, bool on) {
  if (on)
    swallowing_.insert(address);
  else
    swallowing_.erase(address);
}

void Network::slow(const std::string& address, TimeUs by_us) {
  if (by_us > 0)
    slow_[address] = by_us;
  else
    slow_.erase(address);
}

void Network::cut(const std::string& client, const std::string& address, TimeUs how_long, bool repaired) {
  for_connections(client, address, [&](const std::shared_ptr<Connection>& c) {
    c->cut = true;
    world_.after(how_long, [this, c, repaired] {
      if (!c->cut) return;
      c->cut = false;
      if (!repaired) {
        break_connection(c, Hears::kLater, Hears::kLater);
        return;
      }
      for (auto& [to_server, fn] : std::exchange(c->held, {})) send(c, to_server, std::move(fn));
    });
  });
}

void Network::reset(const std::string& client, const std::string& address) {
  for_connections(client, address, [&](const std::shared_ptr<Connection>& c) {
    break_connection(c, Hears::kLater, Hears::kLater);
  });
}

void Network::lose_answers(const std::string& address, int count) { losing_[address] += count; }

void Network::died(const std::string& actor, bool no_word) {
  for_connections("", "", [&](const std::shared_ptr<Connection>& c) {
    const bool is_client = c->client->name() == actor;
    const bool is_server = c->server && c->server->actor->name() == actor;
    if (is_server && no_word) {
      c->silent = true;
      silent_.insert(c->address);
      end_calls(c->calls, false, "the process died");
    } else if (is_server) {
      break_connection(c, Hears::kLater, Hears::kAtOnce);
    } else if (is_client) {
      break_connection(c, Hears::kAtOnce, Hears::kLater, "the process died");
    }
  });
}

}  // namespace sablelink::sim
