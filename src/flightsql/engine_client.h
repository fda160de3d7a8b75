// Sends attempts to nodes over Flight SQL: queries by GetFlightInfo and DoGet, updates by DoPut. Decides
// nothing; how a call's end reads as an outcome is in terms.h.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/log.h"
#include "dispatch/attempt.h"
#include "dispatch/engine_transport.h"
#include "dispatch/request_dispatcher.h"
#include "rpc/rpc.h"

namespace sablelink::flightsql {

struct FlightSqlEngineClientOptions {
  std::string origin;  // names this gateway and its start in every request's name
  TimeUs dial_timeout_us = 250'000;
  size_t connections = 1;  // to each node
};

// Everything happens on the executor, a strand, which is the dispatcher's as well.
class FlightSqlEngineClient : public dispatch::EngineTransport {
 public:
  using AddressOf = std::function<std::string(EngineId)>;

  // The factory must outlive this object, and this object the executor's pending work.
  FlightSqlEngineClient(FlightSqlEngineClientOptions options, boost::asio::any_io_executor executor,
                        rpc::ChannelFactory& channels, AddressOf address_of);
  ~FlightSqlEngineClient() override;
  // Where attempts' news goes; set once, before anything is started.
  void set_dispatcher(dispatch::RequestDispatcher* dispatcher) { dispatcher_ = dispatcher; }

  void start(dispatch::AttemptId key, EngineId engine, const dispatch::AttemptSpec& order) override;
  void cancel(dispatch::AttemptId key) override;
  void resume(dispatch::AttemptId key) override;
  void check_health(uint32_t probe, EngineId engine) override;
  void close_idle_connections(EngineId engine) override;

  // Drops every attempt.
  void drop_all();
  // Coroutines that haven't ended, those of dropped attempts among them. At 0 this object may go.
  size_t busy() const { return busy_; }

 private:
  struct Task;
  struct Node {
    std::string address;
    std::vector<std::shared_ptr<rpc::Channel>> channels;
    size_t next = 0;
  };
  static uint64_t number_of(dispatch::AttemptId key) {
    return uint64_t{key.request} << 8 | (key.number & 0xff);
  }

  std::shared_ptr<rpc::Channel> channel(EngineId engine);
  rpc::Awaitable<void> run(std::shared_ptr<Task> task, EngineId engine, dispatch::AttemptSpec order);
  rpc::Awaitable<void> ask(uint32_t probe, EngineId engine);
  template <typename Coroutine>
  void spawn(Coroutine coroutine);
  rpc::Awaitable<dispatch::AttemptResult> query(std::shared_ptr<Task> task,
                                                std::shared_ptr<rpc::Channel> channel,
                                                const dispatch::AttemptSpec& order);
  rpc::Awaitable<dispatch::AttemptResult> update(std::shared_ptr<Task> task,
                                                 std::shared_ptr<rpc::Channel> channel,
                                                 const dispatch::AttemptSpec& order);
  // Asks for a statement's columns; nothing is run.
  rpc::Awaitable<dispatch::AttemptResult> plan(std::shared_ptr<Task> task,
                                               std::shared_ptr<rpc::Channel> channel,
                                               const dispatch::AttemptSpec& order);
  rpc::Awaitable<void> forget_prepared(std::shared_ptr<rpc::Channel> channel, std::string handle);
  // Hands the answer's messages on until there are no more.
  rpc::Awaitable<rpc::CallResult> relay(std::shared_ptr<Task> task);
  rpc::Metadata metadata(dispatch::AttemptId key, const dispatch::AttemptSpec& order) const;

  const FlightSqlEngineClientOptions options_;
  boost::asio::any_io_executor executor_;
  rpc::ChannelFactory& channels_;
  AddressOf address_of_;
  dispatch::RequestDispatcher* dispatcher_ = nullptr;
  std::unordered_map<EngineId, Node> nodes_;
  std::unordered_map<uint64_t, std::shared_ptr<Task>> running_;
  size_t busy_ = 0;
};

}  // namespace sablelink::flightsql
