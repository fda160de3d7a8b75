// The Flight SQL front: takes clients' calls, hands requests to the dispatcher and gives its answers back.
// One instance serves one gateway, on the dispatcher's strand.
//
// A statement is taken when DoGet (or DoPut, for updates) comes: GetFlightInfo only hands out a ticket.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/log.h"
#include "config/gateway_config.h"
#include "dispatch/request_dispatcher.h"
#include "flightsql/columns.h"
#include "flightsql/messages.h"
#include "flightsql/prepared.h"
#include "flightsql/tickets.h"
#include "rpc/rpc.h"

namespace sablelink::flightsql {

// Random numbers that main draws once for each start.
struct FlightSqlServerSeeds {
  uint64_t life = 0, secret = 0, handles = 0;
};

class FlightSqlServer {
 public:
  // The references must outlive the front, and the front all calls given to handle().
  FlightSqlServer(const config::GatewayConfig& config, const FlightSqlServerSeeds& seeds,
                  dispatch::RequestDispatcher& dispatcher, Clock& clock, Log& log);
  ~FlightSqlServer();

  // Serves one call, of any method.
  rpc::Awaitable<void> handle(std::shared_ptr<rpc::ServerCall> call);

  // Takes other selectors over, for requests that come from now on.
  void set_selectors(config::SelectorSettings selectors);

  const Columns& columns() const { return columns_; }

 private:
  class Reply;
  using CallPtr = std::shared_ptr<rpc::ServerCall>;

  rpc::Awaitable<void> handshake(CallPtr call);
  rpc::Awaitable<void> get_flight_info(CallPtr call);
  rpc::Awaitable<void> get_schema(CallPtr call);
  rpc::Awaitable<std::vector<std::string>> table_schemas(CallPtr call, const fsql::CommandGetTables& command);
  rpc::Awaitable<std::string> create_prepared(CallPtr call, std::string body);
  rpc::Awaitable<void> do_get(CallPtr call);
  rpc::Awaitable<void> do_put(CallPtr call);
  rpc::Awaitable<void> do_action(CallPtr call);
  rpc::Awaitable<void> list_actions(CallPtr call);

  rpc::Awaitable<void> bind(CallPtr call, const std::string& handle, std::string first);
  rpc::Awaitable<void> update_prepared(CallPtr call, const std::string& handle, std::string first);
  // Reads the parameter batches of a DoPut, the first message among them; one list of literals for each row.
  rpc::Awaitable<std::vector<std::vector<std::string>>> read_rows(CallPtr call, std::string first);

  // A statement, and what its words and the call's headers make of it.
  struct Placed {
    std::string text;
    sql::StatementInfo info;
    config::Classification chosen;
  };
  Placed place(const rpc::ServerCall& call, std::string text) const;
  // What a statement's columns are, as far as they are known or can be asked for.
  rpc::Awaitable<Columns::Told> columns_of(CallPtr call, std::string text, bool with_parameters);

  struct Ran {
    dispatch::FinalResponse answer;
    bool other_schema = false;  // than was promised
    bool gone = false;          // the client has left
    bool cancelled = false;
    std::string message;  // of an update that wasn't to be forwarded: the node's answer
  };
  // Runs a statement. Its messages go to the client as they come, or, for updates, into Ran.
  rpc::Awaitable<Ran> run(CallPtr call, std::string text, bool update, const OpenedTicket& ticket,
                          bool repeat);
  // What the module is told of a statement.
  QueryRequest request_of(const rpc::ServerCall& call, const Placed& placed, bool update, bool repeat) const;
  // Passes an answer's messages on until it is over. kept takes the one that shouldn't go out by itself.
  rpc::Awaitable<void> forward(CallPtr call, std::shared_ptr<Reply> reply, bool update, std::string* kept);
  rpc::Awaitable<void> finish(CallPtr call, Ran ran);
  rpc::Awaitable<void> fail(CallPtr call, rpc::Code code, std::string message);
  rpc::Awaitable<void> reply(CallPtr call, std::string message);

  // The statement of a command that a ticket can be had for; throws CallError.
  std::string statement_of(const google::protobuf::Any& any);
  std::string checked_statement(std::string text) const;
  PreparedStatements::Found find_prepared(const std::string& handle);  // throws CallError
  std::string prepared_statement(const std::string& handle);
  fsql::ActionCancelQueryResult::CancelResult cancel(const flight::FlightInfo& info);

  const config::FlightSqlLimits limits_;
  config::SelectorSettings selectors_;
  const std::vector<ClassSettings> classes_;
  const TimeUs most_wait_us_;  // for plans, in one call
  dispatch::RequestDispatcher& dispatcher_;
  Clock& clock_;
  Log& log_;
  TicketOffice tickets_;
  PreparedStatements prepared_;
  Columns columns_;
  std::unordered_map<std::string, size_t> open_by_peer_;
  std::multimap<uint64_t, std::weak_ptr<Reply>> running_;  // by ticket
};

}  // namespace sablelink::flightsql
