// Sends attempts to nodes over Flight SQL: queries by GetFlightInfo and DoGet, updates by DoPut, planning
// calls by GetSchema or CreatePreparedStatement. It makes no decisions; protocol.h has the mapping of calls
// to outcomes.
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
  std::string request_name_prefix;  // "GATEWAY/INCARNATION", the first part of every request's name
  TimeUs connect_timeout_us = 250'000;
  size_t connections_per_node = 1;  // to each node
};

// All methods are called on the executor, which is the dispatcher's strand.
class FlightSqlEngineClient : public dispatch::EngineTransport {
 public:
  using AddressOf = std::function<std::string(EngineId)>;

  // The channel factory must outlive this object, and this object must outlive the executor's pending work.
  FlightSqlEngineClient(FlightSqlEngineClientOptions options, boost::asio::any_io_executor executor,
                        rpc::ChannelFactory& channels, AddressOf address_of);
  ~FlightSqlEngineClient() override;
  // Sets the receiver of attempts' events; called once, before the first attempt.
  void set_dispatcher(dispatch::RequestDispatcher* dispatcher) { dispatcher_ = dispatcher; }

  void start(dispatch::AttemptId attempt, EngineId engine, const dispatch::AttemptSpec& spec) override;
  void cancel(dispatch::AttemptId attempt) override;
  void resume(dispatch::AttemptId attempt) override;
  void check_health(uint32_t check, EngineId engine) override;
  void close_idle_connections(EngineId engine) override;

  // Cancels every attempt.
  void cancel_all();
  // Number of coroutines that haven't completed, including those of cancelled attempts. This object may be
  // destroyed only when it is 0.
  size_t active_coroutines() const { return active_coroutines_; }

 private:
  struct AttemptTask;
  struct Node {
    std::string address;
    std::vector<std::shared_ptr<rpc::Channel>> channels;
    size_t next_channel_index = 0;
  };
  static uint64_t task_key(dispatch::AttemptId attempt) {
    return uint64_t{attempt.request} << 8 | (attempt.number & 0xff);
  }

  std::shared_ptr<rpc::Channel> next_channel(EngineId engine);
  rpc::Awaitable<void> run(std::shared_ptr<AttemptTask> task, EngineId engine, dispatch::AttemptSpec spec);
  rpc::Awaitable<void> run_health_check(uint32_t check, EngineId engine);
  template <typename Coroutine>
  void spawn(Coroutine coroutine);
  rpc::Awaitable<dispatch::AttemptResult> query(std::shared_ptr<AttemptTask> task,
                                                std::shared_ptr<rpc::Channel> channel,
                                                const dispatch::AttemptSpec& spec);
  rpc::Awaitable<dispatch::AttemptResult> update(std::shared_ptr<AttemptTask> task,
                                                 std::shared_ptr<rpc::Channel> channel,
                                                 const dispatch::AttemptSpec& spec);
  // Gets a statement's schemas without executing it.
  rpc::Awaitable<dispatch::AttemptResult> plan(std::shared_ptr<AttemptTask> task,
                                               std::shared_ptr<rpc::Channel> channel,
                                               const dispatch::AttemptSpec& spec);
  rpc::Awaitable<void> close_prepared_statement(std::shared_ptr<rpc::Channel> channel, std::string handle);
  // Passes the messages of a response to the dispatcher until the call ends.
  rpc::Awaitable<rpc::CallResult> relay_messages(std::shared_ptr<AttemptTask> task);
  rpc::Metadata attempt_metadata(dispatch::AttemptId attempt, const dispatch::AttemptSpec& spec) const;

  const FlightSqlEngineClientOptions options_;
  boost::asio::any_io_executor executor_;
  rpc::ChannelFactory& channels_;
  AddressOf address_of_;
  dispatch::RequestDispatcher* dispatcher_ = nullptr;
  std::unordered_map<EngineId, Node> nodes_;
  std::unordered_map<uint64_t, std::shared_ptr<AttemptTask>> tasks_;
  size_t active_coroutines_ = 0;
};

}  // namespace sablelink::flightsql
