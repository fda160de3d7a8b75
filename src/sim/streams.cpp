#include "sim/streams.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "base/async_event.h"

namespace sablelink::sim {

using rpc::Awaitable;

// Side 0 is the client, 1 the server. A side's part holds what has arrived there and what it has written.
struct Streams::Connection {
  struct Side {
    std::shared_ptr<Actor> actor;
    std::string in;       // arrived, not yet read
    bool in_end = false;  // the other side has ended its part
    bool broken = false;  // or closed here
    bool ended = false;   // its own part
    bool mute = false;    // the other side is closed: what is written goes nowhere
    size_t unread = 0;    // written here, not yet read there
    TimeUs arrives = 0;   // the latest arrival so far
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

  Awaitable<std::optional<std::string>> read(size_t most) override {
    const std::shared_ptr<Connection> c = connection_;
    const int side = side_;
    Streams& streams = streams_;
    Connection::Side& here = c->sides[side];
    while (here.in.empty() && !here.in_end && !here.broken) co_await here.readable.wait();
    if (here.broken) co_return std::nullopt;
    if (here.in.empty()) co_return std::string();
    const size_t n = piece(*c, std::min(std::max<size_t>(most, 1), here.in.size()));
    std::string out = here.in.substr(0, n);
    here.in.erase(0, n);
    streams.send(c, 1 - side, [c, side, n] {
      Connection::Side& writer = c->sides[1 - side];
      writer.unread -= n;
      writer.writable.set();
    });
    co_return out;
  }

  Awaitable<size_t> write(std::string_view bytes) override {
    const std::shared_ptr<Connection> c = connection_;
    const int side = side_;
    Streams& streams = streams_;
    Connection::Side& here = c->sides[side];
    const size_t window = streams.terms_.window_bytes;
    // Not for a few bytes of room: a full window would pass on in ever smaller pieces (RFC 9293, 3.8.6.2.1).
    while (here.unread > window / 2 && !here.broken && !here.mute) co_await here.writable.wait();
    if (here.broken || here.mute || here.ended) co_return 0;
    const size_t n = piece(*c, std::min(bytes.size(), window - here.unread));
    here.unread += n;
    streams.send(c, 1 - side, [c, side, part = std::string(bytes.substr(0, n))] {
      Connection::Side& there = c->sides[1 - side];
      there.in += part;
      there.readable.set();
    });
    co_return n;
  }

  bool readable() const override {
    const Connection::Side& here = connection_->sides[side_];
    return !here.in.empty() || here.in_end || here.broken;
  }
  bool peer_closed() const override {
    const Connection::Side& here = connection_->sides[side_];
    return here.in_end || here.broken;
  }

  void shutdown_write() override {
    Connection::Side& here = connection_->sides[side_];
    if (here.broken || std::exchange(here.ended, true)) return;
    streams_.send(connection_, 1 - side_, [c = connection_, side = side_] {
      c->sides[1 - side].in_end = true;
      c->sides[1 - side].readable.set();
    });
  }

  void close() override {
    Connection::Side& here = connection_->sides[side_];
    if (here.broken) return;
    streams_.send(connection_, 1 - side_, [c = connection_, side = side_, ended = here.ended] {
      if (!ended) return break_side(c, 1 - side);
      c->sides[1 - side].mute = true;
      c->sides[1 - side].writable.set();
    });
    break_side(connection_, side_);
  }

  void reset() override {
    connection_->sides[side_].ended = false;
    close();
  }

 private:
  // All of it, or a part that the seed draws.
  static size_t piece(Connection& c, size_t most) {
    return most > 1 && c.random.chance(0.5)
               ? static_cast<size_t>(c.random.between(1, static_cast<int64_t>(most)))
               : most;
  }

  Streams& streams_;
  const std::shared_ptr<Connection> connection_;
  const int side_;
};

void Streams::break_side(const std::shared_ptr<Connection>& c, int side) {
  Connection::Side& s = c->sides[side];
  s.broken = true;
  s.in.clear();
  s.readable.set();
  s.writable.set();
}

void Streams::send(const std::shared_ptr<Connection>& c, int to, std::function<void()> fn) {
  const TimeUs arrives = terms_.arrival(world_.now(), 0, &c->random, &c->sides[to].arrives);
  world_.at(arrives, [c, to, fn = std::move(fn)]() mutable {
    if (!c->sides[to].broken) c->sides[to].actor->deliver(std::move(fn));
  });
}

void Streams::listen(const std::string& address, std::shared_ptr<Actor> actor, rpc::StreamHandler handler) {
  listeners_[address] = {std::move(actor), std::move(handler)};
}

Awaitable<rpc::ConnectResult> Streams::connect(std::shared_ptr<Actor> client, std::string address,
                                               TimeUs within) {
  const std::string name = "stream/" + client->name() + "/" + address;
  auto c = std::make_shared<Connection>(world_.stream(name + "/" + std::to_string(++made_[name])));
  c->address = address;
  c->sides[0].actor = client;
  const auto dial = std::make_shared<FirstResult>();
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
  // The kernel's word, there and back.
  world_.after(2 * terms_.base_us,
               [client, dial, refused] { client->deliver([dial, refused] { dial->set(!refused); }); });
  client->call_after(within, [dial] { dial->set(false); });
  const bool stands = co_await dial->wait();
  if (stands)
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
