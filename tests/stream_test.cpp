// Runs the same tests on the implementations of rpc/byte_stream.h: TCP on loopback, with a separate I/O
// thread and on an AsioLoop, and the simulated streams.
#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <memory>
#include <optional>
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

// Server and client run on one strand, so that the variables of the tests need no locks.
class StreamTransport {
 public:
  virtual ~StreamTransport() = default;
  virtual std::string serve(rpc::StreamHandler handler) = 0;
  virtual Awaitable<StreamPtr> connect(std::string address) = 0;
  virtual std::string unused_address() = 0;
  virtual Clock& clock() = 0;
  virtual void run(Awaitable<void> coroutine) = 0;
};

class TcpStreams : public StreamTransport {
 public:
  std::string serve(rpc::StreamHandler handler) override {
    return "127.0.0.1:" + std::to_string(transport_->listen("127.0.0.1:0", std::move(handler)));
  }
  Awaitable<StreamPtr> connect(std::string address) override {
    const rpc::ConnectResult connected = co_await transport_->connect(address, 5 * kSecond);
    co_return connected.stream;
  }
  std::string unused_address() override {
    rpc::TcpTransport closed_transport(strand());
    const int port = closed_transport.listen("127.0.0.1:0", [](StreamPtr) -> Awaitable<void> { co_return; });
    return "127.0.0.1:" + std::to_string(port);
  }
  Clock& clock() override { return loop_; }
  void run(Awaitable<void> coroutine) override { loop_.spawn(std::move(coroutine)).get(); }

 private:
  rpc::Strand strand() {
    return {loop_.executor(), [this](std::function<void()> fn) { loop_.post(std::move(fn)); }, loop_};
  }
  rpc::GrpcLoop loop_{[] { return std::chrono::system_clock::now(); },
                      [] { return std::chrono::steady_clock::now(); }};
  std::unique_ptr<rpc::TcpTransport> transport_ = std::make_unique<rpc::TcpTransport>(strand());
};

// TCP on an AsioLoop, which runs the sockets itself.
class LoopStreams : public StreamTransport {
 public:
  ~LoopStreams() override {
    transport_.reset();
    loop_.poll();  // completes the operations that are still in flight
  }
  std::string serve(rpc::StreamHandler handler) override {
    return "127.0.0.1:" + std::to_string(transport_->listen("127.0.0.1:0", std::move(handler)));
  }
  Awaitable<StreamPtr> connect(std::string address) override {
    const rpc::ConnectResult connected = co_await transport_->connect(address, 5 * kSecond);
    co_return connected.stream;
  }
  std::string unused_address() override {
    rpc::TcpTransport closed_transport(loop_);
    const int port = closed_transport.listen("127.0.0.1:0", [](StreamPtr) -> Awaitable<void> { co_return; });
    return "127.0.0.1:" + std::to_string(port);
  }
  Clock& clock() override { return loop_; }
  void run(Awaitable<void> coroutine) override {
    boost::asio::co_spawn(loop_.executor(), std::move(coroutine), [this](const std::exception_ptr& error) {
      loop_.stop();
      if (error) std::rethrow_exception(error);
    });
    loop_.run();
  }

 private:
  rpc::AsioLoop loop_{[] { return std::chrono::system_clock::now(); },
                      [] { return std::chrono::steady_clock::now(); }};
  std::unique_ptr<rpc::TcpTransport> transport_ = std::make_unique<rpc::TcpTransport>(loop_);
};

class SimStreams : public StreamTransport {
 public:
  ~SimStreams() override {
    while (world_.step()) continue;  // completes the operations that are still in flight
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
  void run(Awaitable<void> coroutine) override { test::run_in(world_, std::move(coroutine)); }

 private:
  sim::EventLog event_log_;
  sim::World world_{7, event_log_};
  sim::Streams streams_{world_, {}};
  std::shared_ptr<sim::Actor> server_ = sim::Actor::make(world_, "server");
  std::shared_ptr<sim::Actor> client_ = sim::Actor::make(world_, "client");
};

enum class Kind { kTcp, kLoop, kSim };

class StreamTest : public testing::TestWithParam<Kind> {
 protected:
  StreamTest() {
    if (GetParam() == Kind::kTcp)
      transport_ = std::make_unique<TcpStreams>();
    else if (GetParam() == Kind::kLoop)
      transport_ = std::make_unique<LoopStreams>();
    else
      transport_ = std::make_unique<SimStreams>();
  }
  std::unique_ptr<StreamTransport> transport_;
};

std::string pattern(size_t bytes) {
  std::string out(bytes, 0);
  for (size_t i = 0; i < bytes; ++i) out[i] = static_cast<char>((i * 31 + i / 251) & 0xff);
  return out;
}

// Reads until the peer ends its stream; nullopt where the connection breaks before.
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
  const std::string request = pattern(300'000);
  const std::string response = pattern(200'001);
  std::optional<std::string> received_request;
  std::optional<std::string> received_response;
  const std::string address = transport_->serve([&](StreamPtr s) -> Awaitable<void> {
    received_request = co_await read_all(s);
    std::string text = response;
    const bool sent = co_await rpc::write_all(*s, std::move(text));
    EXPECT_TRUE(sent);
    s->shutdown_write();
  });
  const auto client = [&]() -> Awaitable<void> {
    const StreamPtr s = co_await transport_->connect(address);
    if (!s) co_return;
    std::string text = request;
    const bool sent = co_await rpc::write_all(*s, std::move(text));
    EXPECT_TRUE(sent);
    s->shutdown_write();
    received_response = co_await read_all(s);
  };
  transport_->run(client());
  EXPECT_TRUE(received_request == request);
  EXPECT_TRUE(received_response == response);
}

// Buffers are limited: a writer waits for a reader that doesn't read.
TEST_P(StreamTest, SlowReader_ExertsBackpressure) {
  constexpr size_t kTotalBytes = 32 << 20;
  size_t written = 0;
  size_t at_first_read = 0;
  size_t read = 0;
  const std::string address = transport_->serve([&](StreamPtr s) -> Awaitable<void> {
    co_await sleep_for(transport_->clock(), 50 * kMs);
    at_first_read = written;
    while (true) {
      const std::optional<std::string> piece = co_await s->read(1 << 20);
      if (!piece || piece->empty()) break;
      read += piece->size();
    }
    s->shutdown_write();
  });
  const auto client = [&]() -> Awaitable<void> {
    const StreamPtr s = co_await transport_->connect(address);
    if (!s) co_return;
    const std::string piece(1 << 20, 'x');
    while (written < kTotalBytes) {
      const size_t n = co_await s->write(piece);
      if (n == 0) co_return;
      written += n;
    }
    s->shutdown_write();
    co_await s->read(1);
  };
  transport_->run(client());
  EXPECT_LT(at_first_read, kTotalBytes / 2);
  EXPECT_EQ(read, written);
}

TEST_P(StreamTest, CloseWithoutShutdown_IsNoEndOfStream) {
  const std::string address = transport_->serve([&](StreamPtr s) -> Awaitable<void> {
    co_await s->read(100);
    s->close();
    const std::optional<std::string> closed = co_await s->read(100);
    EXPECT_FALSE(closed.has_value());
  });
  std::optional<std::string> read_result = "nothing yet";
  size_t bytes_written = 1;
  const auto client = [&]() -> Awaitable<void> {
    const StreamPtr s = co_await transport_->connect(address);
    if (!s) co_return;
    co_await s->write("hello");
    read_result = co_await s->read(100);
    bytes_written = co_await s->write("more");
  };
  transport_->run(client());
  EXPECT_FALSE(read_result.has_value());
  EXPECT_EQ(bytes_written, 0u);
}

TEST_P(StreamTest, RefusedConnection_GivesNoStream) {
  bool refused = false;
  const std::string address = transport_->unused_address();
  const auto client = [&]() -> Awaitable<void> {
    const StreamPtr s = co_await transport_->connect(address);
    refused = s == nullptr;
  };
  transport_->run(client());
  EXPECT_TRUE(refused);
}

TEST_P(StreamTest, Close_CompletesItsOwnRead) {
  const std::string address =
      transport_->serve([&](StreamPtr s) -> Awaitable<void> { co_await read_all(s); });
  bool read_failed = false;
  const auto client = [&]() -> Awaitable<void> {
    const StreamPtr s = co_await transport_->connect(address);
    if (!s) co_return;
    transport_->clock().call_after(20 * kMs, [s] { s->close(); });
    const std::optional<std::string> piece = co_await s->read(100);
    read_failed = !piece.has_value();
  };
  transport_->run(client());
  EXPECT_TRUE(read_failed);
}

INSTANTIATE_TEST_SUITE_P(All, StreamTest, testing::Values(Kind::kTcp, Kind::kLoop, Kind::kSim),
                         [](const auto& kind) {
                           return kind.param == Kind::kTcp    ? "Tcp"
                                  : kind.param == Kind::kLoop ? "Loop"
                                                              : "Sim";
                         });

// A reset completes the pending reads of both sides.
TEST(SimulatedStreams, Reset_BreaksBothSides) {
  sim::EventLog event_log;
  sim::World world{7, event_log};
  sim::Streams streams(world, {});
  const auto server = sim::Actor::make(world, "server");
  const auto client = sim::Actor::make(world, "client");
  bool server_broken = false;
  bool client_broken = false;
  streams.listen("server", server, [&](StreamPtr s) -> Awaitable<void> {
    const std::optional<std::string> piece = co_await s->read(100);
    server_broken = !piece.has_value();
  });
  const auto coroutine = [&]() -> Awaitable<void> {
    const rpc::ConnectResult connected = co_await streams.connect(client, "server", kSecond);
    const StreamPtr s = connected.stream;
    if (!s) co_return;
    client->call_after(10 * kMs, [&] { streams.reset("server"); });
    const std::optional<std::string> piece = co_await s->read(100);
    client_broken = !piece.has_value();
  };
  test::run_in(world, coroutine());
  EXPECT_TRUE(client_broken);
  EXPECT_TRUE(server_broken);
}

// Guards against busy loops of callers that dial again as long as no dial is in progress.
TEST(TcpTransport, ConnectToAnInvalidAddress_FailsOnlyAfterTheCall) {
  rpc::AsioLoop loop([] { return std::chrono::system_clock::now(); },
                     [] { return std::chrono::steady_clock::now(); });
  rpc::TcpTransport transport(loop);
  std::optional<rpc::ConnectStatus> status;
  bool is_within_call = false;
  loop.post([&] {
    is_within_call = true;
    boost::asio::co_spawn(
        loop.executor(),
        [&]() -> Awaitable<void> {
          const rpc::ConnectResult connected = co_await transport.connect("no address", kSecond);
          EXPECT_FALSE(is_within_call);
          status = connected.status;
          loop.stop();
        },
        boost::asio::detached);
    is_within_call = false;
  });
  loop.run();
  EXPECT_EQ(status, rpc::ConnectStatus::kFailed);
}

// Guards against the use of a transport's I/O context after its destruction: coroutines that serve a
// connection end only after their transport.
TEST(TcpTransport, StreamOnAnotherThread_OutlivesTheTransport) {
  rpc::GrpcLoop loop([] { return std::chrono::system_clock::now(); },
                     [] { return std::chrono::steady_clock::now(); });
  auto transport = std::make_unique<rpc::TcpTransport>(
      rpc::Strand{loop.executor(), [&loop](const std::function<void()>& fn) { loop.post(fn); }, loop});
  const std::string address =
      "127.0.0.1:" + std::to_string(transport->listen("127.0.0.1:0", [](StreamPtr s) -> Awaitable<void> {
        const std::optional<std::string> piece = co_await s->read(100);
        EXPECT_EQ(piece, std::nullopt);
      }));
  StreamPtr stream;
  const auto connect = [&]() -> Awaitable<void> {
    const rpc::ConnectResult connected = co_await transport->connect(address, 5 * kSecond);
    stream = connected.stream;
  };
  loop.spawn(connect()).get();
  ASSERT_NE(stream, nullptr);
  transport.reset();
  const auto use_and_close = [&]() -> Awaitable<void> {
    const std::optional<std::string> piece = co_await stream->read(100);
    EXPECT_EQ(piece, std::nullopt);
    const size_t written = co_await stream->write("late");
    EXPECT_EQ(written, 0u);
    stream->shutdown_write();
    stream.reset();
  };
  loop.spawn(use_and_close()).get();
  EXPECT_EQ(stream, nullptr);
}

TEST(TcpTransport, InvalidAddress_IsNamedInTheError) {
  rpc::GrpcLoop loop([] { return std::chrono::system_clock::now(); },
                     [] { return std::chrono::steady_clock::now(); });
  rpc::TcpTransport transport(
      {loop.executor(), [&](std::function<void()> fn) { loop.post(std::move(fn)); }, loop});
  const auto handler = [](StreamPtr) -> Awaitable<void> { co_return; };
  for (const char* address : {"nowhere", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:-1", "::1"}) {
    try {
      transport.listen(address, handler);
      ADD_FAILURE() << address;
    } catch (const std::runtime_error& e) {
      EXPECT_NE(std::string(e.what()).find(address), std::string::npos) << e.what();
    }
  }
}

}  // namespace
}  // namespace sablelink
