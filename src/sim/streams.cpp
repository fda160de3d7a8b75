#include "sim/streams.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "base/async_event.h"

namespace sablelink::sim {

using rpc::Awaitable;

// Side 0 is the client, side 1 the server. Each side has its receive buffer and the state of its own writes.
struct Streams::Connection {
  struct Side {
    std::shared_ptr<Actor> actor;
    std::string received;          // not yet read
    bool received_all = false;     // the other side has shut down its writes
    bool broken = false;           // or closed by this side
    bool write_shut_down = false;  // has shut down its writes
    bool peer_gone = false;        // the other side is closed: writes are discarded
    size_t unread_bytes = 0;       // written here and not yet read at the other side
    TimeUs latest_arrival = 0;     // the latest arrival so far
    AsyncEvent readable;
    AsyncEvent writable;
  };
  std::string address;
  Side sides[2];
  RandomStream random;
  explicit Connection(RandomStream r) : random(r) {}
};

class Streams::End : public rpc::ByteStream {
 public:
  End(Streams& streams, std::shared_ptr<Connection> connection, int side)
      : streams_(streams), connection_(std::move(connection)), side_(side) {}
  ~End() override { close(); }

  Awaitable<std::optional<std::string>> read(size_t max_bytes) override {
    const std::shared_ptr<Connection> c = connection_;
    const int side = side_;
    Streams& streams = streams_;
    Connection::Side& here = c->sides[side];
    while (here.received.empty() && !here.received_all && !here.broken) co_await here.readable.wait();
    if (here.broken) co_return std::nullopt;
    if (here.received.empty()) co_return std::string();
    const size_t n = random_part(*c, std::min(std::max<size_t>(max_bytes, 1), here.received.size()));
    std::string out = here.received.substr(0, n);
    here.received.erase(0, n);
    streams.send(c, 1 - side, [c, side, n] {
      Connection::Side& writer = c->sides[1 - side];
      writer.unread_bytes -= n;
      writer.writable.set();
    });
    co_return out;
  }

  Awaitable<size_t> write(std::string_view bytes) override {
    const std::shared_ptr<Connection> c = connection_;
    const int side = side_;
    Streams& streams = streams_;
    Connection::Side& here = c->sides[side];
    const size_t window = streams.settings_.window_bytes;
    // Waits for half of the window, to avoid the silly window syndrome of ever smaller writes (RFC
    // 9293, 3.8.6.2.1).
    while (here.unread_bytes > window / 2 && !here.broken && !here.peer_gone) co_await here.writable.wait();
    if (here.broken || here.peer_gone || here.write_shut_down) co_return 0;
    const size_t n = random_part(*c, std::min(bytes.size(), window - here.unread_bytes));
    here.unread_bytes += n;
    streams.send(c, 1 - side, [c, side, part = std::string(bytes.substr(0, n))] {
      Connection::Side& there = c->sides[1 - side];
      there.received += part;
      there.readable.set();
    });
    co_return n;
  }

  bool readable() const override {
    const Connection::Side& here = connection_->sides[side_];
    return !here.received.empty() || here.received_all || here.broken;
  }
  bool peer_closed() const override {
    const Connection::Side& here = connection_->sides[side_];
    return here.received_all || here.broken;
  }

  void shutdown_write() override {
    Connection::Side& here = connection_->sides[side_];
    if (here.broken || std::exchange(here.write_shut_down, true)) return;
    streams_.send(connection_, 1 - side_, [c = connection_, side = side_] {
      c->sides[1 - side].received_all = true;
      c->sides[1 - side].readable.set();
    });
  }

  void close() override {
    Connection::Side& here = connection_->sides[side_];
    if (here.broken) return;
    streams_.send(connection_, 1 - side_, [c = connection_, side = side_, ended = here.write_shut_down] {
      if (!ended) return break_side(c, 1 - side);
      c->sides[1 - side].peer_gone = true;
      c->sides[1 - side].writable.set();
    });
    break_side(connection_, side_);
  }

  void reset() override {
    connection_->sides[side_].write_shut_down = false;
    close();
  }

 private:
  // Returns `max_bytes` or, with a probability of one half, a random number up to it.
  static size_t random_part(Connection& c, size_t max_bytes) {
    return max_bytes > 1 && c.random.chance(0.5)
               ? static_cast<size_t>(c.random.between(1, static_cast<int64_t>(max_bytes)))
               : max_bytes;
  }

  Streams& streams_;
  const std::shared_ptr<Connection> connection_;
  const int side_;
};

void Streams::break_side(const std::shared_ptr<Connection>& c, int side) {
  Connection::Side& s = c->sides[side];
  s.broken = true;
  s.received.clear();
  s.readable.set();
  s.writable.set();
}

void Streams::send(const std::shared_ptr<Connection>& c, int to, std::function<void()> fn) {
  const TimeUs arrival = settings_.next_arrival(world_.now(), 0, &c->random, &c->sides[to].latest_arrival);
  world_.at(arrival, [c, to, fn = std::move(fn)]() mutable {
    if (!c->sides[to].broken) c->sides[to].actor->deliver(std::move(fn));
  });
}

void Streams::listen(const std::string& address, std::shared_ptr<Actor> actor, rpc::StreamHandler handler) {
  listeners_[address] = {std::move(actor), std::move(handler)};
}

Awaitable<rpc::ConnectResult> Streams::connect(std::shared_ptr<Actor> client, std::string address,
                                               TimeUs timeout) {
  const std::string name = "stream/" + client->name() + "/" + address;
  auto c =
      std::make_shared<Connection>(world_.stream(name + "/" + std::to_string(++connection_counts_[name])));
  c->address = address;
  c->sides[0].actor = client;
  const auto dial_result = std::make_shared<FirstResult>();
  const auto it = listeners_.find(address);
  const bool refused = it == listeners_.end();
  if (!refused) {
    c->sides[1].actor = it->second.actor;
    std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
    connections_.push_back(c);
    send(c, 1, [this, c, handler = it->second.handler] {
      boost::asio::co_spawn(
          world_.executor(),
          [](rpc::StreamHandler run, std::shared_ptr<rpc::ByteStream> stream) -> Awaitable<void> {
            co_await run(std::move(stream));
          }(handler, std::make_shared<End>(*this, c, 1)),
          boost::asio::detached);
    });
  }
  // The kernel's response takes one round trip.
  world_.after(2 * settings_.base_us, [client, dial_result, refused] {
    client->deliver([dial_result, refused] { dial_result->set(!refused); });
  });
  client->call_after(timeout, [dial_result] { dial_result->set(false); });
  const bool connected = co_await dial_result->wait();
  if (connected)
    co_return rpc::ConnectResult{rpc::ConnectStatus::kConnected, std::make_shared<End>(*this, c, 0)};
  const rpc::ConnectStatus status = refused ? rpc::ConnectStatus::kRefused : rpc::ConnectStatus::kTimeout;
  co_return rpc::ConnectResult{status, nullptr};
}

void Streams::reset(const std::string& address) {
  for (const auto& weak : connections_) {
    const std::shared_ptr<Connection> c = weak.lock();
    if (!c || c->address != address) continue;
    for (int side = 0; side < 2; ++side)
      if (!c->sides[side].broken) c->sides[side].actor->deliver([c, side] { break_side(c, side); });
  }
}

}  // namespace sablelink::sim
