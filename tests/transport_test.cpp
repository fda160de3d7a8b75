// Runs the same tests on both implementations of rpc/rpc.h, gRPC on loopback sockets and the simulated
// network, to check that the simulation behaves like gRPC.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

#include "base/async_event.h"
#include "rpc/grpc_client.h"
#include "rpc/grpc_loop.h"
#include "rpc/grpc_server.h"
#include "sim/network.h"
#include "tests/sim_harness.h"

namespace sablelink {
namespace {

using rpc::Awaitable;
using rpc::CallResult;
using rpc::Code;
using CallPtr = std::shared_ptr<rpc::ServerCall>;
constexpr TimeUs kMs = 1000, kSecond = 1'000'000;

class Transport {
 public:
  virtual ~Transport() = default;
  virtual std::string serve(rpc::ServerHandler handler, size_t max_message_bytes) = 0;
  virtual Clock& server_clock() = 0;
  virtual Clock& client_clock() = 0;
  virtual void stop_server() = 0;
  virtual std::unique_ptr<rpc::Channel> open(const std::string& address) = 0;
  virtual std::string unused_address() = 0;
  // Runs a client's coroutine to completion.
  virtual void run(Awaitable<void> coroutine) = 0;
  // Waits until a condition holds; false where it doesn't in time.
  virtual bool wait_for(const std::function<bool()>& condition) = 0;
};

class GrpcTransport : public Transport {
 public:
  GrpcTransport()
      : server_loop_(wall(), steady()), client_loop_(wall(), steady()), channels_({}, client_loop_) {}
  ~GrpcTransport() override { stop_server(); }

  std::string serve(rpc::ServerHandler handler, size_t max_message_bytes) override {
    rpc::GrpcServerOptions options;
    options.address = "127.0.0.1:0";
    options.max_message_bytes = static_cast<int>(max_message_bytes);
    server_ = std::make_unique<rpc::GrpcServer>(options, server_loop_, std::move(handler));
    return "127.0.0.1:" + std::to_string(server_->port());
  }
  Clock& server_clock() override { return server_loop_; }
  Clock& client_clock() override { return client_loop_; }
  void stop_server() override {
    if (server_) server_->shutdown(0);
  }
  std::unique_ptr<rpc::Channel> open(const std::string& address) override { return channels_.open(address); }
  std::string unused_address() override {
    rpc::GrpcLoop loop(wall(), steady());
    rpc::GrpcServerOptions options;
    options.address = "127.0.0.1:0";
    rpc::GrpcServer server(options, loop, [](CallPtr) -> Awaitable<void> { co_return; });
    return "127.0.0.1:" + std::to_string(server.port());
  }
  void run(Awaitable<void> coroutine) override { client_loop_.spawn(std::move(coroutine)).get(); }
  bool wait_for(const std::function<bool()>& condition) override {
    for (int i = 0; i < 10'000; ++i) {
      if (condition()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
  }

 private:
  static WallClock wall() {
    return [] { return std::chrono::system_clock::now(); };
  }
  static SteadyClock steady() {
    return [] { return std::chrono::steady_clock::now(); };
  }
  rpc::GrpcLoop server_loop_, client_loop_;
  rpc::GrpcChannelFactory channels_;
  std::unique_ptr<rpc::GrpcServer> server_;
};

class SimTransport : public Transport {
 public:
  std::string serve(rpc::ServerHandler handler, size_t max_message_bytes) override {
    listener_ = network_.listen("server", server_, std::move(handler), max_message_bytes);
    return "server";
  }
  Clock& server_clock() override { return *server_; }
  Clock& client_clock() override { return *client_; }
  void stop_server() override { network_.close(listener_); }
  std::unique_ptr<rpc::Channel> open(const std::string& address) override { return channels_->open(address); }
  std::string unused_address() override { return "nobody"; }
  void run(Awaitable<void> coroutine) override { test::run_in(world_, std::move(coroutine)); }
  bool wait_for(const std::function<bool()>& condition) override {
    while (!condition())
      if (!world_.step()) return condition();
    return true;
  }

 private:
  sim::EventLog event_log_;
  sim::World world_{7, event_log_};
  sim::Network network_{world_, {}};
  std::shared_ptr<sim::Actor> server_ = sim::Actor::make(world_, "server");
  std::shared_ptr<sim::Actor> client_ = sim::Actor::make(world_, "client");
  std::unique_ptr<rpc::ChannelFactory> channels_ = network_.channels(client_);
  std::shared_ptr<sim::Network::Listener> listener_;
};

enum class Kind { kGrpc, kSim };

class TransportTest : public testing::TestWithParam<Kind> {
 public:
  void SetUp() override {
    if (GetParam() == Kind::kGrpc)
      transport = std::make_unique<GrpcTransport>();
    else
      transport = std::make_unique<SimTransport>();
  }
  void TearDown() override {
    channel.reset();
    transport.reset();
  }
  void serve(rpc::ServerHandler handler, size_t max_message_bytes = 4 << 20) {
    channel = transport->open(transport->serve(std::move(handler), max_message_bytes));
  }
  std::unique_ptr<rpc::ClientCall> call(TimeUs timeout_us = 10 * kSecond, rpc::Metadata metadata = {}) {
    return channel->call("/s/Method", std::move(metadata), timeout_us);
  }
  // Ends a call with the status OK, after the last message if there is one.
  static Awaitable<void> finish_ok(CallPtr call, std::optional<std::string> last) {
    rpc::Status status;
    rpc::Metadata trailers;
    co_await call->finish(std::move(status), std::move(trailers), std::move(last));
  }
  // Sends one message as the last one and reads the response. Stores its messages in received and its end in
  // end.
  Awaitable<void> send_and_read_all(rpc::ClientCall* call, std::string message) {
    co_await call->write(std::move(message), true);
    co_await read_all(call);
  }
  Awaitable<void> connect(bool* connected) { *connected = co_await channel->connect(5 * kSecond); }
  static Awaitable<void> send(rpc::ClientCall* client_call, std::string message) {
    co_await client_call->write(std::move(message), true);
  }
  // Reads a call's messages and its end.
  Awaitable<void> read_all(rpc::ClientCall* client_call) {
    while (std::optional<std::string> m = co_await client_call->read()) received.push_back(std::move(*m));
    end = co_await client_call->finish();
  }
  static Awaitable<void> destroy_call(std::unique_ptr<rpc::ClientCall>* call) {
    call->reset();
    co_return;
  }
  // Waits in a handler until its call is cancelled.
  static Awaitable<void> until_cancelled(CallPtr call, std::atomic<int>* cancel_count) {
    const auto cancelled = std::make_shared<AsyncEvent>();
    call->on_cancelled([cancelled, cancel_count] {
      ++*cancel_count;
      cancelled->set();
    });
    co_await cancelled->wait();
  }

  std::unique_ptr<Transport> transport;
  std::unique_ptr<rpc::Channel> channel;
  std::vector<std::string> received;
  CallResult end;
};

TEST_P(TransportTest, Call_CarriesMessagesMetadataStatusAndTrailers) {
  std::string method;
  std::string metadata_value;
  std::vector<std::string> messages;
  serve([&](CallPtr call) -> Awaitable<void> {
    method = call->method();
    metadata_value = rpc::find_value(call->metadata(), "x-a");
    while (std::optional<std::string> m = co_await call->read()) messages.push_back(std::move(*m));
    for (int i = 0; i < 3; ++i) {
      std::string answer = "answer " + std::to_string(i);
      co_await call->write(std::move(answer));
    }
    rpc::Status status{Code::kAborted, "so it ends", std::string("de\0tails", 8)};
    rpc::Metadata trailers{{"x-end", "here"}, {"x-raw-bin", std::string("\0\xff", 2)}};
    std::optional<std::string> last;
    co_await call->finish(std::move(status), std::move(trailers), std::move(last));
  });
  auto c = call(kSecond, {{"x-a", "b"}});
  transport->run([](TransportTest* test, rpc::ClientCall* client_call) -> Awaitable<void> {
    std::string first = "one";
    co_await client_call->write(std::move(first), false);
    std::string second = "two";
    co_await test->send_and_read_all(client_call, std::move(second));
  }(this, c.get()));
  EXPECT_EQ(method, "/s/Method");
  EXPECT_EQ(metadata_value, "b");
  EXPECT_EQ(messages, (std::vector<std::string>{"one", "two"}));
  EXPECT_EQ(received, (std::vector<std::string>{"answer 0", "answer 1", "answer 2"}));
  EXPECT_EQ(end.status.code, Code::kAborted);
  EXPECT_EQ(end.status.message, "so it ends");
  EXPECT_EQ(end.status.details, std::string("de\0tails", 8));
  EXPECT_EQ(rpc::find_value(end.trailers, "x-end"), "here");
  EXPECT_EQ(rpc::find_value(end.trailers, "x-raw-bin"), std::string_view("\0\xff", 2));
}

TEST_P(TransportTest, LastMessage_ArrivesWithTheStatus) {
  serve([](CallPtr call) -> Awaitable<void> { co_await finish_ok(call, "last"); });
  auto c = call();
  transport->run(send_and_read_all(c.get(), "m"));
  EXPECT_EQ(received, std::vector<std::string>{"last"});
  EXPECT_EQ(end.status.code, Code::kOk);
}

TEST_P(TransportTest, EmptyMessage_IsDelivered) {
  std::atomic<size_t> read{0};
  serve([&](CallPtr call) -> Awaitable<void> {
    while (co_await call->read()) ++read;
    co_await finish_ok(call, "");
  });
  auto c = call();
  transport->run(send_and_read_all(c.get(), ""));
  EXPECT_EQ(read, 1u);
  EXPECT_EQ(received, std::vector<std::string>{""});
}

TEST_P(TransportTest, Connect_WithoutListener_Fails) {
  channel = transport->open(transport->unused_address());
  bool connected = true;
  transport->run(connect(&connected));
  EXPECT_FALSE(connected);
  auto c = call(2 * kSecond);
  transport->run(send_and_read_all(c.get(), "m"));
  EXPECT_EQ(end.status.code, Code::kUnavailable);
  EXPECT_TRUE(end.trailers.empty());
}

TEST_P(TransportTest, Connect_OnAnEstablishedConnection_Succeeds) {
  serve([](CallPtr call) -> Awaitable<void> { co_await finish_ok(call, std::nullopt); });
  bool first = false;
  bool second = false;
  transport->run(connect(&first));
  transport->run(connect(&second));
  EXPECT_TRUE(first);
  EXPECT_TRUE(second);
}

TEST_P(TransportTest, Deadline_EndsTheCallOnBothSides) {
  std::atomic<int> cancel_count{0};
  std::atomic<TimeUs> server_timeout_us{0};
  serve([&](CallPtr call) -> Awaitable<void> {
    server_timeout_us = call->client_timeout_us().value_or(-1);
    co_await until_cancelled(call, &cancel_count);
  });
  auto c = call(150 * kMs);
  transport->run(send_and_read_all(c.get(), "m"));
  EXPECT_EQ(end.status.code, Code::kDeadlineExceeded);
  EXPECT_TRUE(end.trailers.empty());
  EXPECT_TRUE(transport->wait_for([&] { return cancel_count == 1; }));
  EXPECT_LE(server_timeout_us, 150 * kMs);
  EXPECT_GT(server_timeout_us, 75 * kMs);
}

TEST_P(TransportTest, CallWithoutTimeout_GivesTheServerNone) {
  std::atomic<bool> no_timeout{false};
  serve([&](CallPtr call) -> Awaitable<void> {
    no_timeout = !call->client_timeout_us().has_value();
    co_await finish_ok(call, std::nullopt);
  });
  auto c = call(0);
  transport->run(send_and_read_all(c.get(), "m"));
  EXPECT_TRUE(no_timeout);
}

TEST_P(TransportTest, Cancel_ReachesTheServerOnce) {
  std::atomic<int> cancel_count{0};
  std::atomic<int> handlers_started{0};
  serve([&](CallPtr call) -> Awaitable<void> {
    ++handlers_started;
    co_await until_cancelled(call, &cancel_count);
    std::string late = "late";
    const bool written = co_await call->write(std::move(late));
    EXPECT_FALSE(written);
    EXPECT_TRUE(call->cancelled());
  });
  auto c = call();
  transport->run(send(c.get(), "m"));
  ASSERT_TRUE(transport->wait_for([&] { return handlers_started == 1; }));
  transport->run([](TransportTest* test, rpc::ClientCall* client_call) -> Awaitable<void> {
    client_call->cancel();
    co_await test->read_all(client_call);
  }(this, c.get()));
  EXPECT_EQ(end.status.code, Code::kCancelled);
  EXPECT_TRUE(transport->wait_for([&] { return cancel_count == 1; }));
}

TEST_P(TransportTest, DestroyedCall_IsCancelled) {
  std::atomic<int> cancel_count{0};
  std::atomic<int> handlers_started{0};
  serve([&](CallPtr call) -> Awaitable<void> {
    ++handlers_started;
    co_await until_cancelled(call, &cancel_count);
  });
  auto c = call();
  transport->run(send(c.get(), "m"));
  ASSERT_TRUE(transport->wait_for([&] { return handlers_started == 1; }));
  transport->run(destroy_call(&c));
  EXPECT_TRUE(transport->wait_for([&] { return cancel_count == 1; }));
}

TEST_P(TransportTest, CompletedCall_IsNeverCancelled) {
  std::atomic<int> cancel_count{0};
  serve([&](CallPtr call) -> Awaitable<void> {
    call->on_cancelled([&] { ++cancel_count; });
    co_await finish_ok(call, "done");
  });
  for (int i = 0; i < 20; ++i) {
    auto c = call(200 * kMs);
    transport->run(send_and_read_all(c.get(), "m"));
    EXPECT_EQ(end.status.code, Code::kOk);
  }
  transport->run(sleep_for(transport->client_clock(), 400 * kMs));
  EXPECT_EQ(cancel_count, 0);
}

TEST_P(TransportTest, HandlerWithoutFinish_CancelsTheCall) {
  serve([](CallPtr call) -> Awaitable<void> { co_await call->read(); });
  auto c = call();
  transport->run(send_and_read_all(c.get(), "m"));
  EXPECT_EQ(end.status.code, Code::kCancelled);
  EXPECT_TRUE(end.trailers.empty());
}

TEST_P(TransportTest, ServerShutdown_CancelsCallsInFlight) {
  std::atomic<int> cancel_count{0};
  std::atomic<int> handlers_started{0};
  serve([&](CallPtr call) -> Awaitable<void> {
    ++handlers_started;
    co_await until_cancelled(call, &cancel_count);
  });
  auto c = call();
  transport->run(send(c.get(), "m"));
  ASSERT_TRUE(transport->wait_for([&] { return handlers_started == 1; }));
  transport->stop_server();
  transport->run(read_all(c.get()));
  EXPECT_EQ(end.status.code, Code::kUnavailable);
  EXPECT_TRUE(end.trailers.empty());
  EXPECT_EQ(cancel_count, 1);
}

TEST_P(TransportTest, TooLargeMessage_EndsTheCall) {
  serve(
      [](CallPtr call) -> Awaitable<void> {
        while (co_await call->read()) continue;
        co_await finish_ok(call, std::nullopt);
      },
      1000);
  auto c = call();
  transport->run(send_and_read_all(c.get(), std::string(2000, 'x')));
  EXPECT_EQ(end.status.code, Code::kResourceExhausted);
  auto small = call();
  transport->run(send_and_read_all(small.get(), std::string(900, 'x')));
  EXPECT_EQ(end.status.code, Code::kOk);
}

TEST_P(TransportTest, SlowReader_ExertsBackpressure) {
  constexpr int kMessages = 200;
  constexpr size_t kBytes = 256 << 10;
  std::atomic<int> written{0};
  serve([&](CallPtr call) -> Awaitable<void> {
    for (int i = 0; i < kMessages; ++i) {
      std::string m(kBytes, 'm');
      if (!co_await call->write(std::move(m))) co_return;
      ++written;
    }
    co_await finish_ok(call, std::nullopt);
  });
  auto c = call();
  transport->run(send(c.get(), "m"));
  transport->run(sleep_for(transport->client_clock(), 300 * kMs));
  const int written_before_reading = written;
  transport->run(read_all(c.get()));
  EXPECT_LT(written_before_reading, kMessages / 2);
  EXPECT_EQ(received.size(), size_t{kMessages});
  EXPECT_EQ(end.status.code, Code::kOk);
}

TEST_P(TransportTest, CallsOfOneChannel_DoNotBlockEachOther) {
  std::atomic<int> cancel_count{0};
  serve([&](CallPtr call) -> Awaitable<void> {
    const std::optional<std::string> m = co_await call->read();
    if (m == "wait")
      co_await until_cancelled(call, &cancel_count);
    else
      co_await finish_ok(call, "quick");
  });
  auto waiting_call = call();
  transport->run(send(waiting_call.get(), "wait"));
  auto c = call();
  transport->run(send_and_read_all(c.get(), "go"));
  EXPECT_EQ(received, std::vector<std::string>{"quick"});
  transport->run(destroy_call(&waiting_call));
  EXPECT_TRUE(transport->wait_for([&] { return cancel_count == 1; }));
}

// Guards against a race in the destructor: the loop's thread can see the stop flag before the alarm that
// wakes it is set. If that thread shut the queue down, setting the alarm would abort the process.
TEST(GrpcLoop, DestructionWhileBusy_Completes) {
  for (int i = 0; i < 300; ++i) {
    std::function<void()> reschedule;
    rpc::GrpcLoop loop([] { return std::chrono::system_clock::now(); },
                       [] { return std::chrono::steady_clock::now(); });
    reschedule = [&] { loop.call_after(1, reschedule); };
    loop.post_and_wait(reschedule);
  }
}

INSTANTIATE_TEST_SUITE_P(Both, TransportTest, testing::Values(Kind::kGrpc, Kind::kSim),
                         [](const auto& kind) { return kind.param == Kind::kGrpc ? "Grpc" : "Sim"; });

}  // namespace
}  // namespace sablelink
