#include "flightsql/node_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "base/signal.h"
#include "flightsql/messages.h"
#include "flightsql/terms.h"
#include "sablelink.pb.h"

namespace sablelink::flightsql {
namespace {

using carrier::AttemptKey;
using carrier::AttemptOrder;
using carrier::AttemptResult;
using rpc::Awaitable;

constexpr size_t kNoteBytes = 256;  // a longer message holds data

std::string method(std::string_view name) { return std::string(kServicePrefix) + std::string(name); }

// The note that a message is, if it holds nothing else.
std::optional<wire::ProgressNote> note_of(const std::string& message) {
  if (message.size() > kNoteBytes) return std::nullopt;
  flight::FlightData data;
  wire::ProgressNote note;
  if (!data.ParseFromString(message) || !data.data_header().empty() || data.app_metadata().empty() ||
      !note.ParseFromString(data.app_metadata()) || note.kind() == wire::ProgressNote::KIND_UNSPECIFIED)
    return std::nullopt;
  return note;
}

AttemptResult broken(rpc::Code code, std::string what) {
  AttemptResult result;
  result.outcome = Outcome::kError;
  result.error = {static_cast<int>(code), std::move(what)};
  return result;
}

}  // namespace

// One attempt on its way. Dropped ones only unwind.
struct NodeClient::Task {
  AttemptKey key;
  std::shared_ptr<rpc::ClientCall> call;
  bool dropped = false;
  bool paused = false;
  Signal resumed;
};

NodeClient::NodeClient(NodeClientOptions options, boost::asio::any_io_executor executor,
                       rpc::ChannelFactory& channels, AddressOf address_of)
    : options_(std::move(options)),
      executor_(std::move(executor)),
      channels_(channels),
      address_of_(std::move(address_of)) {}

NodeClient::~NodeClient() = default;

std::shared_ptr<rpc::Channel> NodeClient::channel(EngineId engine) {
  Node& node = nodes_[engine];
  if (node.channels.empty()) {
    node.address = address_of_(engine);
    if (node.address.empty()) return nullptr;
    for (size_t i = 0; i < options_.connections; ++i) node.channels.push_back(channels_.open(node.address));
  }
  return node.channels[node.next++ % node.channels.size()];
}

rpc::Metadata NodeClient::metadata(AttemptKey key, const AttemptOrder& order) const {
  rpc::Metadata m;
  m.emplace_back(kRequestKey, options_.origin + "/" + std::to_string(key.request));
  m.emplace_back(kAttemptKey, std::to_string(key.number));
  m.emplace_back(kPriorityKey, std::to_string(order.priority));
  m.emplace_back(kAllowKey, std::to_string(order.allow_us));
  if (order.grant_mb > 0) m.emplace_back(kGrantKey, std::to_string(order.grant_mb));
  if (!order.statement->client_tag.empty()) m.emplace_back(kClientTagKey, order.statement->client_tag);
  return m;
}

void NodeClient::start(AttemptKey key, EngineId engine, const AttemptOrder& order) {
  const auto task = std::make_shared<Task>();
  task->key = key;
  running_[number_of(key)] = task;
  boost::asio::co_spawn(executor_, run(task, engine, order), boost::asio::detached);
}

Awaitable<void> NodeClient::run(std::shared_ptr<Task> task, EngineId engine, AttemptOrder order) {
  AttemptResult result;
  const std::shared_ptr<rpc::Channel> to = channel(engine);
  if (!to || !co_await to->connect(options_.dial_timeout_us)) {
    result.outcome = Outcome::kConnectFailed;
    result.error = {static_cast<int>(rpc::Code::kUnavailable), "no connection to the node"};
  } else if (!task->dropped) {
    result = order.statement->update ? co_await update(task, to, order) : co_await query(task, to, order);
  }
  task->call = nullptr;
  if (task->dropped) co_return;
  running_.erase(number_of(task->key));
  carrier_->attempt_ended(task->key, result);
}

Awaitable<rpc::CallEnd> NodeClient::relay(std::shared_ptr<Task> task) {
  const std::shared_ptr<rpc::ClientCall> call = task->call;
  while (std::optional<std::string> message = co_await call->read()) {
    if (task->dropped) break;
    if (const auto note = note_of(*message)) {
      carrier_->attempt_note(task->key, static_cast<NoteKind>(note->kind() - 1), note->value());
      continue;
    }
    if (!carrier_->attempt_message(task->key, std::move(*message))) task->paused = true;
    while (task->paused && !task->dropped) co_await task->resumed.wait();
  }
  if (task->dropped) co_return rpc::CallEnd{};
  co_return co_await call->finish();
}

Awaitable<AttemptResult> NodeClient::query(std::shared_ptr<Task> task, std::shared_ptr<rpc::Channel> to,
                                           const AttemptOrder& order) {
  const rpc::Metadata terms = metadata(task->key, order);
  fsql::CommandStatementQuery command;
  command.set_query(order.statement->text);
  std::shared_ptr<rpc::ClientCall> call = to->call(method("GetFlightInfo"), terms, 0);
  task->call = call;
  co_await call->write(descriptor_of(command).SerializeAsString(), true);
  std::optional<std::string> message = co_await call->read();
  if (task->dropped) co_return AttemptResult{};
  const rpc::CallEnd planned = co_await call->finish();
  if (!planned.status.ok() || task->dropped) co_return map_call_end(planned);
  flight::FlightInfo info;
  if (!message || !info.ParseFromString(*message) || info.endpoint_size() != 1)
    co_return broken(rpc::Code::kInternal, "the node's FlightInfo is no answer with one endpoint");

  call = to->call(method("DoGet"), terms, 0);
  task->call = call;
  co_await call->write(info.endpoint(0).ticket().SerializeAsString(), true);
  co_return map_call_end(co_await relay(task));
}

Awaitable<AttemptResult> NodeClient::update(std::shared_ptr<Task> task, std::shared_ptr<rpc::Channel> to,
                                            const AttemptOrder& order) {
  fsql::CommandStatementUpdate command;
  command.set_query(order.statement->text);
  flight::FlightData data;
  *data.mutable_flight_descriptor() = descriptor_of(command);
  const std::shared_ptr<rpc::ClientCall> call = to->call(method("DoPut"), metadata(task->key, order), 0);
  task->call = call;
  co_await call->write(data.SerializeAsString(), true);
  co_return map_call_end(co_await relay(task));
}

void NodeClient::drop(AttemptKey key) {
  const auto it = running_.find(number_of(key));
  if (it == running_.end()) return;
  const std::shared_ptr<Task> task = it->second;
  running_.erase(it);
  task->dropped = true;
  if (task->call) task->call->cancel();
  task->resumed.give();
}

void NodeClient::pause(AttemptKey key) {
  const auto it = running_.find(number_of(key));
  if (it != running_.end()) it->second->paused = true;
}

void NodeClient::resume(AttemptKey key) {
  const auto it = running_.find(number_of(key));
  if (it == running_.end()) return;
  it->second->paused = false;
  it->second->resumed.give();
}

// A question that any Flight SQL server can answer, and that costs it little.
void NodeClient::probe(uint32_t probe, EngineId engine) {
  boost::asio::co_spawn(
      executor_,
      [](NodeClient* self, uint32_t id, EngineId to) -> Awaitable<void> {
        const std::shared_ptr<rpc::Channel> channel = self->channel(to);
        if (!channel || !co_await channel->connect(self->options_.dial_timeout_us)) {
          self->carrier_->probe_ended(id, Outcome::kConnectFailed, std::nullopt);
          co_return;
        }
        const std::shared_ptr<rpc::ClientCall> call = channel->call(method("GetFlightInfo"), {}, 0);
        co_await call->write(descriptor_of(fsql::CommandGetSqlInfo()).SerializeAsString(), true);
        co_await call->read();
        const AttemptResult result = map_call_end(co_await call->finish());
        // A server that doesn't know the question is alive.
        const Outcome outcome = result.statement_fault ? Outcome::kOk : result.outcome;
        self->carrier_->probe_ended(id, outcome, result.report);
      }(this, probe, engine),
      boost::asio::detached);
}

// Channels close once the last call on them has ended; the next attempt dials anew.
void NodeClient::close_idle(EngineId engine) { nodes_.erase(engine); }

}  // namespace sablelink::flightsql
