// One suite for both byte streams behind rpc/byte_stream.h, TCP on loopback and the simulated ones.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

#include "base/async_event.h"
#include "rpc/asio_loop.h"
#include "rpc/byte_stream.h"
#include "rpc/grpc_loop.h"
#include "rpc/tcp_transport.h"
#include "sim/streams.h"
#include "tests/sim_harness.h"

namespace sablelink {
namespace {

using rpc::Awaitable;
using rpc::ByteStream;
using StreamPtr = std::shared_ptr<ByteStream>;
constexpr TimeUs kMs = 1000, kSecond = 1'000'000;

// Server and client on one strand, so that the tests' own variables need no guard.
class StreamNet {
 public:
  virtual ~StreamNet() = default;
  virtual std::string serve(rpc::StreamHandler handler) = 0;
  virtual Awaitable<StreamPtr> connect(std::string address) = 0;
  virtual std::string unused_address() = 0;
  virtual Clock& clock() = 0;
  virtual void run(Awaitable<void> work) = 0;
};

class TcpStreams : public StreamNet {
 public:
  std::string serve(rpc::StreamHandler handler) override {
    return "127.0.0.1:" + std::to_string(net_->listen("127.0.0.1:0", std::move(handler)));
  }
  Awaitable<StreamPtr> connect(std::string address) override {
    const rpc::ConnectResult connected = co_await net_->connect(address, 5 * kSecond);
    co_return connected.stream;
  }
  std::string unused_address() override {
    rpc::TcpTransport other(strand());
    const int port = other.listen("127.0.0.1:0", [](StreamPtr) -> Awaitable<void> { co_return; });
    return "127.0.0.1:" + std::to_string(port);
  }
  Clock& clock() override { return loop_; }
  void run(Awaitable<void> work) override { loop_.spawn(std::move(work)).get(); }

 private:
  rpc::Strand strand() {
    return {loop_.executor(), [this](std::function<void()> fn) { loop_.post(std::move(fn)); }, loop_};
  }
  rpc::GrpcLoop loop_{[] { return std::chrono::system_clock::now(); },
                      [] { return std::chrono::steady_clock::now(); }};
  std::unique_ptr<rpc::TcpTransport> net_ = std::make_unique<rpc::TcpTransport>(strand());
};

// On a loop of Asio's own, which waits for the sockets itself.
class LoopStreams : public StreamNet {
 public:
  ~LoopStreams() override {
    net_.reset();
    loop_.poll();  // what still waits hears of its end
  }
  std::string serve(rpc::StreamHandler handler) override {
    return "127.0.0.1:" + std::to_string(net_->listen("127.0.0.1:0", std::move(handler)));
  }
  Awaitable<StreamPtr> connect(std::string address) override {
    const rpc::ConnectResult connected = co_await net_->connect(address, 5 * kSecond);
    co_return connected.stream;
  }
  std::string unused_address() override {
    rpc::TcpTransport other(loop_);
    const int port = other.listen("127.0.0.1:0", [](StreamPtr) -> Awaitable<void> { co_return; });
    return "127.0.0.1:" + std::to_string(port);
  }
  Clock& clock() override { return loop_; }
  void run(Awaitable<void> work) override {
    boost::asio::co_spawn(loop_.executor(), std::move(work), [this](const std::exception_ptr& error) {
      loop_.stop();
      if (error) std::rethrow_exception(error);
    });
    loop_.run();
  }

 private:
  rpc::AsioLoop loop_{[] { return std::chrono::system_clock::now(); },
                      [] { return std::chrono::steady_clock::now(); }};
  std::unique_ptr<rpc::TcpTransport> net_ = std::make_unique<rpc::TcpTransport>(loop_);
};

class SimStreams : public StreamNet {
 public:
  ~SimStreams() override {
    while (world_.step()) continue;  // what still waits hears of its end
  }
  std::string serve(rpc::StreamHandler handler) override {
    streams_.listen("server", server_, std::move(handler));
    return "server";
  }
  Awaitable<StreamPtr> connect(std::string address) override {
    const rpc::ConnectResult connected = co_await streams_.connect(client_, address, 5 * kSecond);
    co_return connected.stream;
  }
  std::string unused_address() override { return "nobody"; }
  Clock& clock() override { return *client_; }
  void run(Awaitable<void> work) override { test::run_in(world_, std::move(work)); }

 private:
  sim::Account account_;
  sim::World world_{7, account_};
  sim::Streams streams_{world_, {}};
  std::shared_ptr<sim::Actor> server_ = sim::Actor::make(world_, "server");
  std::shared_ptr<sim::Actor> client_ = sim::Actor::make(world_, "client");
};

enum class Kind { kTcp, kLoop, kSim };

class StreamTest : public testing::TestWithParam<Kind> {
 protected:
  StreamTest() {
    if (GetParam() == Kind::kTcp)
      net_ = std::make_unique<TcpStreams>();
    else if (GetParam() == Kind::kLoop)
      net_ = std::make_unique<LoopStreams>();
    else
      net_ = std::make_unique<SimStreams>();
  }
  std::unique_ptr<StreamNet> net_;
};

std::string pattern(size_t bytes) {
  std::string out(bytes, 0);
  for (size_t i = 0; i < bytes; ++i) out[i] = static_cast<char>((i * 31 + i / 251) & 0xff);
  return out;
}

// All that comes until the other side's end; nothing where the connection broke before.
Awaitable<std::optional<std::string>> read_all(StreamPtr stream) {
  std::string all;
  while (true) {
    const std::optional<std::string> piece = co_await stream->read(10'000);
    if (!piece) co_return std::nullopt;
    if (piece->empty()) co_return all;
    EXPECT_LE(piece->size(), 10'000u);
    all += *piece;
  }
}

TEST_P(StreamTest, ShutdownWrite_DeliversAllBytesAndReadsOn) {
  const std::string asked = pattern(300'000);
  const std::string answer = pattern(200'001);
  std::optional<std::string> seen;
  std::optional<std::string> back;
  const std::string address = net_->serve([&](StreamPtr s) -> Awaitable<void> {
    seen = co_await read_all(s);
    std::string text = answer;
    const bool sent = co_await rpc::write_all(*s, std::move(text));
    EXPECT_TRUE(sent);
    s->shutdown_write();
  });
  const auto client = [&]() -> Awaitable<void> {
    const StreamPtr s = co_await net_->connect(address);
    if (!s) co_return;
    std::string text = asked;
    const bool sent = co_await rpc::write_all(*s, std::move(text));
    EXPECT_TRUE(sent);
    s->shutdown_write();
    back = co_await read_all(s);
  };
  net_->run(client());
  EXPECT_TRUE(seen == asked);
  EXPECT_TRUE(back == answer);
}

// What is on its way is bounded: a writer waits for a reader that does nothing.
TEST_P(StreamTest, SlowReader_ExertsBackpressure) {
  constexpr size_t kAll = 32 << 20;
  size_t written = 0;
  size_t at_first_read = 0;
  size_t read = 0;
  const std::string address = net_->serve([&](StreamPtr s) -> Awaitable<void> {
    co_await sleep_for(net_->clock(), 50 * kMs);
    at_first_read = written;
    while (true) {
      const std::optional<std::string> piece = co_await s->read(1 << 20);
      if (!piece || piece->empty()) break;
      read += piece->size();
    }
    s->shutdown_write();
  });
  const auto client = [&]() -> Awaitable<void> {
    const StreamPtr s = co_await net_->connect(address);
    if (!s) co_return;
    const std::string piece(1 << 20, 'x');
    while (written < kAll) {
      const size_t n = co_await s->write(piece);
      if (n == 0) co_return;
      written += n;
    }
    s->shutdown_write();
    co_await s->read(1);
  };
  net_->run(client());
  EXPECT_LT(at_first_read, kAll / 2);
  EXPECT_EQ(read, written);
}

TEST_P(StreamTest, CloseWithoutShutdown_IsNoEndOfStream) {
  const std::string address = net_->serve([&](StreamPtr s) -> Awaitable<void> {
    co_await s->read(100);
    s->close();
    const std::optional<std::string> closed = co_await s->read(100);
    EXPECT_FALSE(closed.has_value());
  });
  std::optional<std::string> heard = "nothing yet";
  size_t taken = 1;
  const auto client = [&]() -> Awaitable<void> {
    const StreamPtr s = co_await net_->connect(address);
    if (!s) co_return;
    co_await s->write("hello");
    heard = co_await s->read(100);
    taken = co_await s->write("more");
  };
  net_->run(client());
  EXPECT_FALSE(heard.has_value());
  EXPECT_EQ(taken, 0u);
}

TEST_P(StreamTest, RefusedConnection_GivesNoStream) {
  bool refused = false;
  const std::string address = net_->unused_address();
  const auto client = [&]() -> Awaitable<void> {
    const StreamPtr s = co_await net_->connect(address);
    refused = s == nullptr;
  };
  net_->run(client());
  EXPECT_TRUE(refused);
}

TEST_P(StreamTest, Close_CompletesItsOwnRead) {
  const std::string address = net_->serve([&](StreamPtr s) -> Awaitable<void> { co_await read_all(s); });
  bool let_go = false;
  const auto client = [&]() -> Awaitable<void> {
    const StreamPtr s = co_await net_->connect(address);
    if (!s) co_return;
    net_->clock().call_after(20 * kMs, [s] { s->close(); });
    const std::optional<std::string> piece = co_await s->read(100);
    let_go = !piece.has_value();
  };
  net_->run(client());
  EXPECT_TRUE(let_go);
}

INSTANTIATE_TEST_SUITE_P(All, StreamTest, testing::Values(Kind::kTcp, Kind::kLoop, Kind::kSim),
                         [](const auto& kind) {
                           return kind.param == Kind::kTcp    ? "Tcp"
                                  : kind.param == Kind::kLoop ? "Loop"
                                                              : "Sim";
                         });

// Both sides hear of it, whatever they wait for.
TEST(SimulatedStreams, Reset_BreaksBothSides) {
  sim::Account account;
  sim::World world{7, account};
  sim::Streams streams(world, {});
  const auto server = sim::Actor::make(world, "server");
  const auto client = sim::Actor::make(world, "client");
  bool server_broken = false;
  bool client_broken = false;
  streams.listen("server", server, [&](StreamPtr s) -> Awaitable<void> {
    const std::optional<std::string> piece = co_await s->read(100);
    server_broken = !piece.has_value();
  });
  const auto work = [&]() -> Awaitable<void> {
    const rpc::ConnectResult connected = co_await streams.connect(client, "server", kSecond);
    const StreamPtr s = connected.stream;
    if (!s) co_return;
    client->call_after(10 * kMs, [&] { streams.reset("server"); });
    const std::optional<std::string> piece = co_await s->read(100);
    client_broken = !piece.has_value();
  };
  test::run_in(world, work());
  EXPECT_TRUE(client_broken);
  EXPECT_TRUE(server_broken);
}

TEST(TcpTransport, InvalidAddress_IsNamedInTheError) {
  rpc::GrpcLoop loop([] { return std::chrono::system_clock::now(); },
                     [] { return std::chrono::steady_clock::now(); });
  rpc::TcpTransport net({loop.executor(), [&](std::function<void()> fn) { loop.post(std::move(fn)); }, loop});
  const auto handler = [](StreamPtr) -> Awaitable<void> { co_return; };
  for (const char* address : {"nowhere", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:-1", "::1"}) {
    try {
      net.listen(address, handler);
      ADD_FAILURE() << address;
    } catch (const std::runtime_error& e) {
      EXPECT_NE(std::string(e.what()).find(address), std::string::npos) << e.what();
    }
  }
}

}  // namespace
}  // namespace sablelink
