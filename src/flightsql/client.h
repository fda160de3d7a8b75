// A Flight SQL client for the project's own use: the command line, the bad day, tests and benchmarks.
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

// Breaks calls off from outside, as a client does that goes away. May be used from any thread.
class Canceller {
 public:
  void cancel_all();

 private:
  friend class Client;
  void add(const std::shared_ptr<rpc::ClientCall>& call);

  std::mutex mutex_;
  std::vector<std::weak_ptr<rpc::ClientCall>> calls_;
};

struct ClientOptions {
  TimeUs timeout_us = 0;  // the client's patience, for connecting and all calls together; 0: without end
  rpc::Metadata headers;
  TimeUs dial_timeout_us = 2'000'000;
  std::shared_ptr<Canceller> cancel;  // may be none
  // For tests, a reader that takes its time: a pause before each message, and the number of messages after
  // which it reads no further, whatever its patience.
  TimeUs read_every_us = 0;
  std::optional<int> stops_after;
};

struct QueryResult {
  bool connected = false;
  bool from_gateway = false;  // the answer came from the gateway; else this side made the status up
  rpc::Status status;
  // As the gateway's trailers tell; where it sent none, from the status: UNAVAILABLE is a refusal.
  dispatch::RequestStatus verdict = dispatch::RequestStatus::kFailed;
  std::string reason;
  int attempts = 0;
  std::optional<TimeUs> retry_after_us;
  // As the FlightInfo told it; none where that had none. The answer's own is the one that counts.
  std::optional<arrowipc::Schema> promised;
  bool schema_changed = false;  // the gateway says that the answer's is another than it promised
  arrowipc::Schema schema;
  bool has_schema = false;
  std::vector<arrowipc::Batch> batches;
  int64_t rows = 0;
  int64_t updated = 0;  // of updates
};

// One connection. Used on one strand; calls may overlap.
class Client {
 public:
  // The clock, which must outlive the client, is that of the strand.
  Client(std::unique_ptr<rpc::Channel> channel, Clock& clock) : channel_(std::move(channel)), clock_(clock) {}

  // Asks for a ticket and takes its answer. Batches are handed to on_batch where given, else kept.
  using OnBatch = std::function<void(const arrowipc::Schema&, const arrowipc::Batch&)>;
  rpc::Awaitable<QueryResult> query(std::string statement, ClientOptions options, OnBatch on_batch = nullptr);
  rpc::Awaitable<QueryResult> update(std::string statement, ClientOptions options);

  // The ticket alone (status tells where there is none), and the answer to a ticket alone.
  struct Ticket {
    rpc::Status status;
    std::string info;    // the FlightInfo as it came
    std::string ticket;  // bytes for fetch()
    bool connected = true;
  };
  rpc::Awaitable<Ticket> ask(std::string statement, ClientOptions options);
  rpc::Awaitable<QueryResult> fetch(std::string ticket, ClientOptions options, OnBatch on_batch = nullptr);
  // One action; the bodies of its results.
  struct ActionResult {
    rpc::Status status;
    std::vector<std::string> bodies;
  };
  rpc::Awaitable<ActionResult> action(std::string type, std::string body, ClientOptions options);

  rpc::Channel& channel() { return *channel_; }

 private:
  std::shared_ptr<rpc::ClientCall> call(std::string_view method, const ClientOptions& options);

  // Connects, at the cost of the patience. Why no call can be made: UNAVAILABLE where there is no connection,
  // DEADLINE_EXCEEDED where no time is left; nothing where one can.
  rpc::Awaitable<std::optional<rpc::Status>> reach(ClientOptions* options);

  // Takes what has passed since begin off the patience; false where none is left.
  bool spend(ClientOptions* options, TimeUs begin) const;

  std::unique_ptr<rpc::Channel> channel_;
  Clock& clock_;
};

}  // namespace sablelink::flightsql
