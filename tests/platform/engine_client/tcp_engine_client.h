// An engine client on TCP sockets and an event loop of its own, for tests that need real time.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "base/async_event.h"
#include "rpc/asio_loop.h"
#include "rpc/tcp_transport.h"
#include "tests/platform/engine_client/engine_client_harness.h"

namespace sablelink::test {

// Passes dials on until their number reaches a limit that only a busy loop reaches; later ones never
// complete, so that the loop ends.
class LimitedDialer : public rpc::Dialer {
 public:
  static constexpr int kMaxDials = 1'000;

  explicit LimitedDialer(rpc::Dialer& dialer) : dialer_(dialer) {}
  boost::asio::any_io_executor executor() const override { return dialer_.executor(); }
  rpc::Awaitable<rpc::ConnectResult> connect(std::string address, TimeUs timeout_us) override {
    if (++dials_ > kMaxDials) co_await never_.wait();
    const rpc::ConnectResult connected = co_await dialer_.connect(std::move(address), timeout_us);
    co_return connected;
  }
  int dials() const { return dials_; }

 private:
  rpc::Dialer& dialer_;
  AsyncEvent never_;
  int dials_ = 0;
};

// Runs an engine client on TCP sockets and an event loop of its own.
class TcpEngineClient {
 public:
  TcpEngineClient() {
    platform::EngineClientOptions options;
    options.budget.engines = 4;
    options.class_names = {"lookup"};
    client_ = std::make_unique<platform::EngineClient>(options, dialer_, loop_, registry_, log_);
    dispatcher_ = std::make_unique<dispatch::RequestDispatcher>(
        plain_settings(), 7, dispatch::DispatcherLimits{}, loop_, *client_, endpoint_source_, log_);
    client_->set_dispatcher(dispatcher_.get());
  }
  ~TcpEngineClient() {
    client_.reset();
    network_.reset();
    loop_.poll();
  }

  void publish_addresses(const std::vector<std::string>& addresses) {
    std::vector<config::EngineConfig> engines;
    for (const std::string& address : addresses) {
      config::EngineConfig engine;
      engine.name = address;
      engine.address = address;
      engines.push_back(engine);
    }
    registry_.replace(engines);
    client_->on_endpoints_changed();
  }
  void run_for(TimeUs duration) {
    loop_.call_after(duration, [this] { loop_.stop(); });
    loop_.run();
  }

  rpc::AsioLoop& loop() { return loop_; }
  rpc::TcpTransport& network() { return *network_; }
  const membership::EndpointRegistry& registry() const { return registry_; }
  platform::EngineClient& client() { return *client_; }
  int dials() const { return dialer_.dials(); }

 private:
  struct StaticEndpointSource : dispatch::EndpointSource {
    void watch(bool) override {}
    void fetch() override {}
  };

  rpc::AsioLoop loop_{[] { return std::chrono::system_clock::now(); },
                      [] { return std::chrono::steady_clock::now(); }};
  std::unique_ptr<rpc::TcpTransport> network_ = std::make_unique<rpc::TcpTransport>(loop_);
  LimitedDialer dialer_{*network_};
  membership::EndpointRegistry registry_;
  NullLog log_;
  StaticEndpointSource endpoint_source_;
  std::unique_ptr<platform::EngineClient> client_;
  std::unique_ptr<dispatch::RequestDispatcher> dispatcher_;
};

}  // namespace sablelink::test
