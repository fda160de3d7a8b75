// A Flight SQL client used by the command line, the bad day, tests and benchmarks.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "arrowipc/array.h"
#include "base/clock.h"
#include "dispatch/response_sink.h"
#include "rpc/rpc.h"

namespace sablelink::flightsql {

// Cancels the calls of clients, as a client's disconnection would. Thread-safe.
class CallCanceller {
 public:
  void cancel_all();

 private:
  friend class Client;
  void add(const std::shared_ptr<rpc::ClientCall>& start_call);

  std::mutex mutex_;
  std::vector<std::weak_ptr<rpc::ClientCall>> calls_;
};

struct ClientOptions {
  TimeUs timeout_us = 0;  // limits connecting and all calls together; 0 for none
  rpc::Metadata headers;
  TimeUs connect_timeout_us = 2'000'000;
  std::shared_ptr<CallCanceller> canceller;  // may be null
  // For tests of slow readers: a pause before each message is read, and the number of messages after which
  // reading stalls until the time-out has passed.
  TimeUs read_delay_us = 0;
  std::optional<int> stall_after_messages;
};

struct QueryResult {
  bool connected = false;
  bool from_gateway = false;  // false: the status was made by the client, not received from the gateway
  rpc::Status status;
  // Taken from the gateway's trailers or, if they are missing, from the status: OK means kServed, UNAVAILABLE
  // means kRejected, any other code means kFailed.
  dispatch::RequestStatus verdict = dispatch::RequestStatus::kFailed;
  std::string reason;
  int attempts = 0;
  std::optional<TimeUs> retry_after_us;
  // The schema of the FlightInfo, if it had one. The response may have another, which is the valid one.
  std::optional<arrowipc::Schema> announced_schema;
  bool schema_changed = false;  // the gateway reports that the response's schema isn't the FlightInfo's
  arrowipc::Schema schema;
  bool has_schema = false;
  std::vector<arrowipc::Batch> batches;
  int64_t rows = 0;
  int64_t updated_rows = 0;  // number of rows that an update has changed
};

// A client with one connection. Used on one strand; calls may be made concurrently.
class Client {
 public:
  // clock: the strand's; it must outlive the client.
  Client(std::unique_ptr<rpc::Channel> channel, Clock& clock) : channel_(std::move(channel)), clock_(clock) {}

  // Calls GetFlightInfo, then DoGet. Batches are passed to on_batch if given, and stored in the result
  // otherwise.
  using OnBatch = std::function<void(const arrowipc::Schema&, const arrowipc::Batch&)>;
  rpc::Awaitable<QueryResult> query(std::string statement, ClientOptions options, OnBatch on_batch = nullptr);
  rpc::Awaitable<QueryResult> update(std::string statement, ClientOptions options);

  // get_ticket() calls GetFlightInfo alone, fetch() DoGet alone. The ticket is empty unless the status is OK.
  struct Ticket {
    rpc::Status status;
    std::string info;    // the serialised FlightInfo
    std::string ticket;  // the serialised Ticket, for fetch()
    bool connected = true;
  };
  rpc::Awaitable<Ticket> get_ticket(std::string statement, ClientOptions options);
  rpc::Awaitable<QueryResult> fetch(std::string ticket, ClientOptions options, OnBatch on_batch = nullptr);
  // Calls DoAction. bodies: the bodies of the action's results.
  struct ActionResult {
    rpc::Status status;
    std::vector<std::string> bodies;
  };
  rpc::Awaitable<ActionResult> action(std::string type, std::string body, ClientOptions options);

  rpc::Channel& channel() { return *channel_; }

 private:
  std::shared_ptr<rpc::ClientCall> start_call(std::string_view method, const ClientOptions& options);

  // Connects and deducts the time spent from the time-out. Returns nullopt if a call can be made,
  // UNAVAILABLE if the connection fails, and DEADLINE_EXCEEDED if no time is left.
  rpc::Awaitable<std::optional<rpc::Status>> connect_in_time(ClientOptions* options);

  // Deducts the time since begin from the time-out; returns false if no time is left.
  bool deduct_elapsed(ClientOptions* options, TimeUs begin) const;

  std::unique_ptr<rpc::Channel> channel_;
  Clock& clock_;
};

}  // namespace sablelink::flightsql
