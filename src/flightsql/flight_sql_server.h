// The gateway's Flight SQL server: accepts clients' calls, submits requests to the dispatcher and returns the
// responses. There is one instance for each gateway, on the dispatcher's strand.
//
// A query is submitted by DoGet, an update by DoPut; GetFlightInfo only returns a ticket.
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
#include "flightsql/messages.h"
#include "flightsql/prepared.h"
#include "flightsql/schema_resolver.h"
#include "flightsql/tickets.h"
#include "rpc/rpc.h"

namespace sablelink::flightsql {

// Random numbers, drawn once at each start of the gateway.
struct FlightSqlServerSeeds {
  uint64_t incarnation = 0, ticket_secret = 0, handle_seed = 0;
};

class FlightSqlServer {
 public:
  // The references must outlive the server, and the server must outlive all calls passed to handle().
  FlightSqlServer(const config::GatewayConfig& config, const FlightSqlServerSeeds& seeds,
                  dispatch::RequestDispatcher& dispatcher, Clock& clock, Log& log);
  ~FlightSqlServer();

  // Serves one call of any Flight method.
  rpc::Awaitable<void> handle(std::shared_ptr<rpc::ServerCall> call);

  // Replaces the selectors, for requests that arrive from now on.
  void set_selectors(config::SelectorSettings selectors);

  const SchemaResolver& schema_resolver() const { return schema_resolver_; }

 private:
  class PendingResponse;
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

  rpc::Awaitable<void> bind_parameters(CallPtr call, const std::string& handle, std::string first_message);
  rpc::Awaitable<void> execute_prepared_update(CallPtr call, const std::string& handle,
                                               std::string first_message);
  // Reads the parameter batches of a DoPut, of which the first message has been read already. Returns the SQL
  // literals of each row.
  rpc::Awaitable<std::vector<std::vector<std::string>>> read_parameter_rows(CallPtr call,
                                                                            std::string first_message);

  // A statement and its classification by its text and the call's headers.
  struct ClassifiedStatement {
    std::string text;
    sql::StatementInfo info;
    config::Classification classification;
  };
  ClassifiedStatement classify(const rpc::ServerCall& call, std::string text) const;
  // Resolves a statement's schemas from the cache or by a planning call.
  rpc::Awaitable<SchemaResolver::Resolution> resolve_schemas(CallPtr call, std::string text,
                                                             bool with_parameters);

  struct ExecutionResult {
    dispatch::FinalResponse response;
    bool schema_changed = false;  // the response's schema wasn't the announced one
    bool client_disconnected = false;
    bool cancelled = false;    // by CancelFlightInfo or CancelQuery
    std::string last_message;  // the last message of the node's response, not sent to the client yet
  };
  // Executes a statement. The messages of a query's response are sent to the client as they arrive, except
  // the last one; those of an update's response aren't sent.
  rpc::Awaitable<ExecutionResult> execute(CallPtr call, std::string text, bool is_update,
                                          const OpenedTicket& ticket, bool is_client_retry);
  // Builds the workload manager's view of a statement.
  QueryRequest build_query_request(const rpc::ServerCall& call, const ClassifiedStatement& classified,
                                   bool is_update, bool is_client_retry) const;
  // Sends the messages of a response to the client until it has completed. The last message of a query's
  // response is stored in last_message instead, to be sent together with the status. Of an update's response
  // no message is sent, and the last one is stored.
  rpc::Awaitable<void> forward_messages(CallPtr call, std::shared_ptr<PendingResponse> pending,
                                        bool is_update, std::string* last_message);
  rpc::Awaitable<void> finish_call(CallPtr call, ExecutionResult result);
  rpc::Awaitable<void> fail_call(CallPtr call, rpc::Code code, std::string message);
  rpc::Awaitable<void> finish_with_message(CallPtr call, std::string message);

  // Returns the statement of a command for which tickets are issued. Throws CallError for other commands.
  std::string statement_from_command(const google::protobuf::Any& any);
  std::string validate_statement(std::string text) const;
  PreparedStatements::BoundStatement find_prepared(const std::string& handle);  // throws CallError
  std::string bound_statement(const std::string& handle);
  fsql::ActionCancelQueryResult::CancelResult cancel_running(const flight::FlightInfo& info);

  const config::FlightSqlLimits limits_;
  config::SelectorSettings selectors_;
  const std::vector<ClassSettings> classes_;
  const TimeUs max_planning_wait_us_;  // also limits all planning calls of one GetTables
  dispatch::RequestDispatcher& dispatcher_;
  Clock& clock_;
  Log& log_;
  TicketIssuer tickets_;
  PreparedStatements prepared_;
  SchemaResolver schema_resolver_;
  std::unordered_map<std::string, size_t> open_requests_by_peer_;
  std::multimap<uint64_t, std::weak_ptr<PendingResponse>> running_by_ticket_;  // by ticket serial
};

}  // namespace sablelink::flightsql
