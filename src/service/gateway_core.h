// A gateway without its sockets: list of nodes, node client, dispatcher and front, put together on one
// executor and clock. GatewayService gives it gRPC, the simulation a network of its own.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "config/gateway_config.h"
#include "dispatch/request_dispatcher.h"
#include "flightsql/engine_client.h"
#include "flightsql/flight_sql_server.h"
#include "membership/endpoint_registry.h"
#include "rpc/rpc.h"

namespace sablelink::service {

// Random numbers that are drawn once for each start.
struct GatewaySeeds {
  uint64_t start = 0;  // names this start in every request's name
  uint64_t module = 0;
  flightsql::FlightSqlServerSeeds front;

  static GatewaySeeds draw(const std::function<uint64_t()>& random);
};

// Makes the dispatcher that a gateway uses.
using DispatcherFactory = std::function<std::unique_ptr<dispatch::RequestDispatcher>(
    const Settings& settings, uint64_t seed, const dispatch::DispatcherLimits& limits, Clock& clock,
    dispatch::EngineTransport& nodes, dispatch::EndpointSource& lists, Log& log)>;

// What a gateway is built on. All must outlive it.
struct GatewayPorts {
  boost::asio::any_io_executor executor;
  Clock& clock;
  rpc::ChannelFactory& channels;
  Log& log;
  // Asked for the list where given; else it is answered with what set_nodes() has told last.
  dispatch::EndpointSource* lists = nullptr;
  // For tests that plant defects: stands between the dispatcher and the node client.
  std::function<std::unique_ptr<dispatch::EngineTransport>(dispatch::EngineTransport&)> wrap_nodes{};
  DispatcherFactory make_dispatcher{};  // another carrier than the plain one
};

// Used on its executor alone.
class GatewayCore {
 public:
  GatewayCore(const config::GatewayConfig& config, const GatewaySeeds& seeds, const GatewayPorts& ports);
  // Every call given to handle() must have ended and quiesce() be true.
  ~GatewayCore();
  GatewayCore(const GatewayCore&) = delete;
  GatewayCore& operator=(const GatewayCore&) = delete;

  // Begins with the list of the configuration, taken as one from before.
  void start();
  rpc::Awaitable<void> handle(std::shared_ptr<rpc::ServerCall> call) {
    return front_->handle(std::move(call));
  }
  // Takes a list over, in which a node that has left is missing or marked as gone.
  void set_nodes(const std::vector<config::EngineConfig>& nodes,
                 EndpointUpdateKind form = EndpointUpdateKind::kFull);
  void set_selectors(config::SelectorSettings selectors) { front_->set_selectors(std::move(selectors)); }
  // Refuses what is new; on_idle is called once nothing is left.
  void stop(std::function<void()> on_idle) { dispatcher_->stop_accepting(std::move(on_idle)); }
  // Drops every attempt; true once all that was begun has unwound.
  bool quiesce();

  const dispatch::RequestDispatcher& dispatcher() const { return *dispatcher_; }
  const flightsql::FlightSqlServer& front() const { return *front_; }
  const flightsql::FlightSqlEngineClient& node_client() const { return nodes_; }

 private:
  class Lists;

  const std::vector<config::EngineConfig> first_nodes_;
  membership::EndpointRegistry directory_;
  flightsql::FlightSqlEngineClient nodes_;
  std::unique_ptr<dispatch::EngineTransport> wrapped_;
  std::unique_ptr<Lists> lists_;
  std::unique_ptr<dispatch::RequestDispatcher> dispatcher_;
  std::unique_ptr<flightsql::FlightSqlServer> front_;
};

}  // namespace sablelink::service
