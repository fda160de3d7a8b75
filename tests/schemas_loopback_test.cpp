// The schemas that clients receive, on loopback connections: with the sequences of calls that other client
// libraries make, where tables change, and where engines are missing, slow or inconsistent.
#include <algorithm>
#include <set>

#include "nodes/content.h"
#include "tests/loopback_harness.h"

namespace sablelink::test {
namespace {

namespace flight = flightsql::flight;
namespace fsql = flightsql::fsql;
using flightsql::descriptor_of;
using flightsql::pack;

// The messages and the end of one call.
struct Reply {
  rpc::CallResult end;
  std::vector<std::string> messages;
  bool ok() const { return end.status.ok(); }
};

class Schemas : public Loopback {
 protected:
  void SetUp() override {
    Loopback::SetUp();
    ClassSettings plan;
    plan.latency_objective_us = 100 * kMs;
    plan.request_timeout_us = 2 * kSecond;
    plan.late_weight_fraction = 0.5;
    config_.settings.classes.push_back(plan);
    config_.class_names.emplace_back("plan");
    config_.planning.enabled = true;
    config_.planning.budget_base_calls = 10'000;
    config_.planning.max_concurrent_calls = 1'000;
    config_.planning_class = config_.class_index("plan");
  }

  Reply call(const std::string& method, std::string message, Client* client = nullptr) {
    return spawn(make_call(client == nullptr ? client_.get() : client, method, {std::move(message)})).get();
  }
  std::future<Reply> start_call(const std::string& method, std::string message) {
    return spawn(make_call(client_.get(), method, {std::move(message)}));
  }
  static rpc::Awaitable<Reply> make_call(Client* client, std::string method,
                                         std::vector<std::string> messages) {
    const auto made =
        client->channel().call("/arrow.flight.protocol.FlightService/" + method, {}, 10 * kSecond);
    for (size_t i = 0; i < messages.size(); ++i)
      co_await made->write(std::move(messages[i]), i + 1 == messages.size());
    Reply out;
    while (std::optional<std::string> message = co_await made->read())
      out.messages.push_back(*std::move(message));
    out.end = co_await made->finish();
    co_return out;
  }

  // Calls DoAction.
  Reply do_action(const std::string& type, std::string body) {
    flight::Action action;
    action.set_type(type);
    action.set_body(std::move(body));
    return call("DoAction", action.SerializeAsString());
  }
  fsql::ActionCreatePreparedStatementResult prepare(const std::string& sql, Reply* reply = nullptr) {
    fsql::ActionCreatePreparedStatementRequest request;
    request.set_query(sql);
    const Reply r = do_action("CreatePreparedStatement", pack(request));
    if (reply != nullptr) *reply = r;
    fsql::ActionCreatePreparedStatementResult created;
    flight::Result result;
    google::protobuf::Any any;
    if (r.messages.size() == 1 && result.ParseFromString(r.messages[0]) && any.ParseFromString(result.body()))
      any.UnpackTo(&created);
    return created;
  }
  Reply close(const std::string& handle) {
    fsql::ActionClosePreparedStatementRequest request;
    request.set_prepared_statement_handle(handle);
    return do_action("ClosePreparedStatement", pack(request));
  }
  template <typename Command>
  flight::FlightInfo info(const Command& command, Reply* reply = nullptr) {
    const Reply r = call("GetFlightInfo", descriptor_of(command).SerializeAsString());
    if (reply != nullptr) *reply = r;
    flight::FlightInfo out;
    if (r.messages.size() == 1) out.ParseFromString(r.messages[0]);
    return out;
  }
  flight::FlightInfo info(const std::string& sql, Reply* reply = nullptr) {
    fsql::CommandStatementQuery command;
    command.set_query(sql);
    return info(command, reply);
  }
  static std::optional<arrowipc::Schema> schema_of(const std::string& encapsulated) {
    if (encapsulated.empty()) return std::nullopt;
    return arrowipc::decode_encapsulated_schema(encapsulated);
  }
  // Executes the statement of a ticket and reads the whole response. Returns what is wrong with it; empty for
  // nothing.
  std::string read(const flight::FlightInfo& flight_info, const std::string& sql,
                   QueryResult* out = nullptr) {
    const auto check = std::make_shared<nodes::ResponseCheck>(sql);
    if (flight_info.endpoint_size() != 1) return "no endpoint";
    QueryResult r =
        spawn(client_->fetch(
                  flight_info.endpoint(0).ticket().SerializeAsString(), options(10 * kSecond),
                  [check](const auto& schema, const auto& batch) { check->on_batch(schema, batch); }))
            .get();
    if (out != nullptr) *out = r;
    if (r.verdict != RequestStatus::kServed) return "not served: " + r.status.message;
    std::string fault = check->error(true);
    const std::optional<arrowipc::Schema> promised = schema_of(flight_info.schema());
    if (fault.empty() && promised && *promised != r.schema && !r.schema_changed) return "another schema";
    return fault;
  }
  // Returns the result of a metadata command.
  template <typename Command>
  QueryResult metadata(const Command& command) {
    const flight::FlightInfo flight_info = info(command);
    EXPECT_TRUE(schema_of(flight_info.schema()));
    if (flight_info.endpoint_size() != 1) return {};
    QueryResult r =
        spawn(client_->fetch(flight_info.endpoint(0).ticket().SerializeAsString(), options(5 * kSecond)))
            .get();
    EXPECT_TRUE(r.status.ok()) << r.status.message;
    return r;
  }
  // Number of planning calls that reached a node. Retries of one aren't counted.
  size_t planning_calls() {
    std::set<std::string> tags;
    for (const NodeEvent& e : recorder_.events())
      if (e.kind == NodeEvent::Kind::kArrived && e.tag.starts_with(flightsql::kPlanTagPrefix))
        tags.insert(e.tag);
    return tags.size();
  }
  schemas::SchemaCache::Counts cache_counts() {
    schemas::SchemaCache::Counts counts;
    gateway_->inspect([&](const dispatch::RequestDispatcher&, const flightsql::FlightSqlServer& f) {
      counts = f.schema_resolver().cache().counts();
    });
    return counts;
  }
};

// ---- Sequences of calls of other client libraries

// Like a library that prepares each statement, gets its FlightInfo, decodes the schema in it and only then
// fetches the result.
TEST_F(Schemas, StrictClient_GetsTheSchemasOfTwoThousandStatements) {
  for (int i = 0; i < 3; ++i) add_node();
  start();
  size_t fault_count = 0;
  for (int i = 0; i < 2000; ++i) {
    static constexpr const char* kSelects[] = {"*", "id, label", "weight, 'x'", "label, 7, id", "taken_at"};
    const std::string sql = std::string("SELECT ") + kSelects[i % 5] +
                            " FROM gallery /*+ work=100us rows=" + std::to_string(i % 7) +
                            " */ WHERE id = " + std::to_string(i);
    const auto created = prepare(sql);
    fsql::CommandPreparedStatementQuery command;
    command.set_prepared_statement_handle(created.prepared_statement_handle());
    const flight::FlightInfo flight_info = info(command);
    const bool has_schemas =
        schema_of(created.dataset_schema()).has_value() && schema_of(flight_info.schema()).has_value();
    const std::string fault = has_schemas ? read(flight_info, sql) : "no schema";
    if (!fault.empty() && ++fault_count < 5) ADD_FAILURE() << sql << ": " << fault;
    close(created.prepared_statement_handle());
  }
  EXPECT_EQ(fault_count, 0u);
  EXPECT_EQ(planning_calls(), 5u);
  EXPECT_EQ(audit_findings(), "");
}

// The calls that a tool makes after connecting, in the order of JDBC and ADBC drivers.
TEST_F(Schemas, CallsOfAConnectingTool_Succeed) {
  add_node();
  config_.selectors.tables.push_back({"default", "archive", "photo", 1});
  start();
  flight::HandshakeRequest handshake;
  EXPECT_TRUE(call("Handshake", handshake.SerializeAsString()).ok());
  EXPECT_EQ(call("ListActions", "").messages.size(), 5u);
  EXPECT_GT(metadata(fsql::CommandGetSqlInfo()).rows, 5);
  EXPECT_EQ(metadata(fsql::CommandGetCatalogs()).rows, 1);
  EXPECT_EQ(metadata(fsql::CommandGetDbSchemas()).rows, 2);
  EXPECT_EQ(metadata(fsql::CommandGetTableTypes()).rows, 1);
  EXPECT_EQ(metadata(fsql::CommandGetXdbcTypeInfo()).rows, 7);
  fsql::CommandGetTables tables;
  tables.set_include_schema(true);
  const QueryResult listed = metadata(tables);
  ASSERT_EQ(listed.rows, 2);
  for (int64_t row = 0; row < 2; ++row) {
    const auto columns = schema_of(std::string(listed.batches[0].columns[4].bytes_at(row)));
    ASSERT_TRUE(columns);
    EXPECT_EQ(columns->fields.size(), 4u) << "the engine's own columns of the table";
  }
  fsql::CommandGetPrimaryKeys keys;
  keys.set_table("photo");
  EXPECT_EQ(metadata(keys).rows, 0);
  EXPECT_EQ(metadata(fsql::CommandGetExportedKeys()).rows, 0);
  EXPECT_EQ(metadata(fsql::CommandGetImportedKeys()).rows, 0);
  EXPECT_EQ(metadata(fsql::CommandGetCrossReference()).schema.fields.size(), 13u);

  const std::string sql = "SELECT id, label FROM photo /*+ rows=3000 */ WHERE gallery = ? AND name = ?";
  const auto created = prepare(sql);
  EXPECT_EQ(schema_of(created.dataset_schema())->fields.size(), 2u);
  EXPECT_EQ(schema_of(created.parameter_schema())->fields.size(), 2u);
  arrowipc::Field number{"1", arrowipc::Type::kInt64, true, {}, {}, {}};
  arrowipc::Field text{"2", arrowipc::Type::kUtf8, true, {}, {}, {}};
  const arrowipc::Schema schema{{number, text}};
  arrowipc::ArrayBuilder a(number);
  arrowipc::ArrayBuilder b(text);
  a.integer(48213);
  b.bytes("Oak");
  arrowipc::Batch batch;
  batch.rows = 1;
  batch.columns = {a.finish(), b.finish()};
  fsql::CommandPreparedStatementQuery command;
  command.set_prepared_statement_handle(created.prepared_statement_handle());
  flight::FlightData first;
  flight::FlightData second;
  *first.mutable_flight_descriptor() = descriptor_of(command);
  first.set_data_header(arrowipc::encode_schema(schema).header);
  const arrowipc::Message message = arrowipc::encode_batch(schema, batch);
  second.set_data_header(message.header);
  second.set_data_body(message.body);
  EXPECT_TRUE(
      spawn(make_call(client_.get(), "DoPut", {first.SerializeAsString(), second.SerializeAsString()}))
          .get()
          .ok());
  const flight::FlightInfo flight_info = info(command);
  EXPECT_EQ(schema_of(flight_info.schema()), schema_of(created.dataset_schema()));
  EXPECT_EQ(read(flight_info,
                 "SELECT id, label FROM photo /*+ rows=3000 */ WHERE gallery = 48213 AND name = 'Oak'"),
            "");

  // A second query is cancelled while it is executed.
  const flight::FlightInfo slow = info(std::string("SELECT id FROM photo /*+ work=5s */"));
  auto running = spawn(client_->fetch(slow.endpoint(0).ticket().SerializeAsString(), options(10 * kSecond)));
  ASSERT_TRUE(wait_for([&] { return open_requests() > 0; }));
  flight::CancelFlightInfoRequest cancel;
  *cancel.mutable_info() = slow;
  EXPECT_TRUE(do_action("CancelFlightInfo", cancel.SerializeAsString()).ok());
  EXPECT_EQ(running.get().status.code, Code::kCancelled);
  EXPECT_TRUE(close(created.prepared_statement_handle()).ok());
  EXPECT_TRUE(do_action("CloseSession", "").ok());
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Schemas, GetSchema_ReturnsTheSchemaOfTheFlightInfo) {
  add_node();
  start();
  fsql::CommandStatementQuery command;
  command.set_query("SELECT label, 5 FROM gallery");
  const Reply r = call("GetSchema", descriptor_of(command).SerializeAsString());
  ASSERT_TRUE(r.ok()) << r.end.status.message;
  flight::SchemaResult result;
  ASSERT_TRUE(result.ParseFromString(r.messages.at(0)));
  EXPECT_EQ(result.schema(), info(command).schema());
  EXPECT_EQ(planning_calls(), 1u);
  EXPECT_EQ(call("GetSchema", "x").end.status.code, Code::kInvalidArgument);
}

TEST_F(Schemas, PreparedUpdate_HasNoColumnsAndNoPlan) {
  add_node();
  start();
  EXPECT_EQ(prepare("INSERT INTO gallery VALUES (1)").dataset_schema(), "");
  EXPECT_EQ(planning_calls(), 0u);
}

// ---- Sharing of plans

TEST_F(Schemas, HundredClientsOfOneShape_ShareOnePlan) {
  add_node();
  start();
  std::vector<std::future<Reply>> replies;
  for (int i = 0; i < 100; ++i) {
    fsql::CommandStatementQuery command;
    command.set_query("SELECT id, 7 FROM gallery /*+ plan=300ms */ WHERE id = " + std::to_string(i));
    replies.push_back(start_call("GetFlightInfo", descriptor_of(command).SerializeAsString()));
  }
  for (auto& a : replies) {
    const Reply r = a.get();
    flight::FlightInfo flight_info;
    ASSERT_TRUE(r.ok() && flight_info.ParseFromString(r.messages.at(0)));
    EXPECT_TRUE(schema_of(flight_info.schema()));
  }
  EXPECT_EQ(planning_calls(), 1u);
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Schemas, Response_AddsItsColumnsToTheCache) {
  config_.planning.enabled = false;
  add_node();
  start();
  const std::string sql = "SELECT id FROM gallery WHERE id = ";
  EXPECT_FALSE(schema_of(info(sql + "1").schema()));
  EXPECT_EQ(read(info(sql + "1"), sql + "1"), "");
  EXPECT_TRUE(schema_of(info(sql + "2").schema()));
  EXPECT_EQ(planning_calls(), 0u);
}

// ---- Changes and failures

TEST_F(Schemas, TableChangedBetweenPlanAndResponse_IsReported) {
  add_node();
  start();
  const std::string sql = "SELECT * FROM gallery";
  const flight::FlightInfo flight_info = info(sql);
  EXPECT_EQ(schema_of(flight_info.schema())->fields.size(), 4u);
  tables_->apply_definition("ALTER TABLE gallery ADD COLUMN seen INT");  // not through this gateway
  QueryResult r;
  EXPECT_EQ(read(flight_info, sql, &r), "");
  EXPECT_EQ(r.schema.fields.size(), 5u) << "the response has the engine's current schema";
  EXPECT_TRUE(r.schema_changed);
  EXPECT_EQ(schema_of(info(sql).schema())->fields.size(), 5u)
      << "the next FlightInfo has the schema of the response";
  EXPECT_EQ(planning_calls(), 1u);
}

TEST_F(Schemas, Definition_InvalidatesCachedColumns) {
  add_node();
  start();
  const std::string sql = "SELECT * FROM gallery WHERE id = 1";
  EXPECT_EQ(schema_of(info(sql).schema())->fields.size(), 4u);
  EXPECT_EQ(spawn(client_->update("ALTER TABLE main.gallery ADD COLUMN seen INT", options(5 * kSecond)))
                .get()
                .verdict,
            RequestStatus::kServed);
  EXPECT_EQ(schema_of(info(sql).schema())->fields.size(), 5u);
  EXPECT_EQ(planning_calls(), 2u);
}

TEST_F(Schemas, PreparedStatement_AfterItsTableIsAltered_HasTheNewColumns) {
  add_node();
  start();
  const std::string sql = "SELECT * FROM gallery";
  const auto created = prepare(sql);
  EXPECT_EQ(schema_of(created.dataset_schema())->fields.size(), 4u);
  spawn(client_->update("ALTER TABLE gallery ADD COLUMN seen INT", options(5 * kSecond))).get();
  fsql::CommandPreparedStatementQuery command;
  command.set_prepared_statement_handle(created.prepared_statement_handle());
  const flight::FlightInfo flight_info = info(command);
  EXPECT_EQ(schema_of(flight_info.schema())->fields.size(), 5u);
  QueryResult r;
  EXPECT_EQ(read(flight_info, sql, &r), "");
  EXPECT_FALSE(r.schema_changed) << "the FlightInfo had the new schema";
}

TEST_F(Schemas, GatewaysWithDifferentColumns_BothForwardTheResponseUnchanged) {
  add_node();
  start();
  service::GatewayService other(config_, system_);
  auto other_client =
      std::make_unique<Client>(channels_->open("127.0.0.1:" + std::to_string(other.port())), *loop_);
  const std::string sql = "SELECT * FROM gallery";
  EXPECT_EQ(schema_of(info(sql).schema())->fields.size(), 4u);
  spawn(other_client->update("ALTER TABLE gallery ADD COLUMN seen INT", options(5 * kSecond))).get();
  const QueryResult from_other = spawn(other_client->query(sql, options(5 * kSecond))).get();
  EXPECT_EQ(from_other.announced_schema->fields.size(), 5u);
  const QueryResult from_stale = spawn(client_->query(sql, options(5 * kSecond))).get();
  EXPECT_EQ(from_stale.announced_schema->fields.size(), 4u);
  EXPECT_EQ(from_stale.schema.fields.size(), 5u);
  EXPECT_TRUE(from_stale.schema_changed);
  other_client.reset();
}

TEST_F(Schemas, DrainingEngine_GetsNoPlanningCalls) {
  add_node();
  start();
  config::GatewayConfig changed = config_;
  changed.engines[0].state = EndpointState::kDraining;
  gateway_->reload(changed);
  Reply r;
  config_.planning.max_wait_us = kSecond;
  const flight::FlightInfo flight_info = info(std::string("SELECT id FROM gallery"), &r);
  EXPECT_TRUE(r.ok()) << r.end.status.message;
  EXPECT_EQ(flight_info.schema(), "");
  EXPECT_EQ(flight_info.endpoint_size(), 1);
  EXPECT_EQ(planning_calls(), 0u) << "a draining node receives no requests, planning calls included";
}

TEST_F(Schemas, EngineInSlowStartWithoutBudget_GetsNoPlanningCalls) {
  nodes::NodeConfig node;
  add_node(node);
  config_.settings.slow_start_min_capacity_fraction = 0.35;
  config_.settings.slow_start_duration_us = 3600 * kSecond;
  config_.settings.collapse_window_us = 1500 * kMs;
  config_.settings.collapse_load_multiple = 2;
  // A gateway that starts at the same time as the engine considers the budget exhausted.
  config_.engines[0].started_at = wall_time_us();
  config_.planning.max_wait_us = 200 * kMs;
  start();
  Reply r;
  EXPECT_EQ(info(std::string("SELECT id FROM gallery"), &r).schema(), "");
  EXPECT_TRUE(r.ok());
  EXPECT_EQ(planning_calls(), 0u);
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Schemas, AllEnginesDown_StillIssuesTickets) {
  add_node();
  start();
  const std::string known = "SELECT id FROM gallery";
  EXPECT_EQ(read(info(known), known), "");
  nodes_[0]->kill();
  EXPECT_TRUE(schema_of(info(known).schema()));
  Reply r;
  EXPECT_FALSE(schema_of(info(std::string("SELECT label FROM gallery"), &r).schema()));
  EXPECT_TRUE(r.ok()) << "a ticket is issued nevertheless";
  const std::string ticket = info(known).endpoint(0).ticket().SerializeAsString();
  const QueryResult answer = spawn(client_->fetch(ticket, options(kSecond))).get();
  EXPECT_EQ(answer.verdict, RequestStatus::kRejected);
  EXPECT_TRUE(answer.from_gateway);
}

TEST_F(Schemas, HangingPlan_DelaysClientsOnlyForTheMaximumWait) {
  add_node();
  config_.planning.max_wait_us = kSecond;
  config_.planning.call_timeout_us = 3 * kSecond;
  start();
  Reply r;
  const std::string sql = "SELECT id FROM gallery /*+ plan_mishap=hang */";
  EXPECT_EQ(info(sql, &r).schema(), "");
  EXPECT_TRUE(r.ok());
  EXPECT_TRUE(schema_of(info(std::string("SELECT label FROM gallery")).schema()))
      << "other statements are still planned";
  EXPECT_EQ(read(info(sql), sql), "") << "the statement is executed";
  EXPECT_TRUE(schema_of(info(sql).schema())) << "its response has shown the columns";
  EXPECT_TRUE(wait_for([&] { return open_requests() == 0; }));
}

TEST_F(Schemas, CancelledClient_DoesNotCancelTheSharedPlan) {
  add_node();
  config_.planning.call_timeout_us = config_.planning.max_wait_us = 5 * kSecond;
  start();
  const std::string sql = "SELECT id, 9 FROM gallery /*+ plan=400ms */";
  auto cancelled_client = open_client();
  ClientOptions client_options = options(5 * kSecond);
  client_options.canceller = cancel_;
  auto first = spawn(cancelled_client->get_ticket(sql, client_options));
  ASSERT_TRUE(wait_for([&] { return planning_calls() == 1; }));
  fsql::CommandStatementQuery command;
  command.set_query(sql);
  auto second = start_call("GetFlightInfo", descriptor_of(command).SerializeAsString());
  sleep(50 * kMs);
  cancel_all();
  EXPECT_FALSE(first.get().status.ok());
  flight::FlightInfo flight_info;
  ASSERT_TRUE(flight_info.ParseFromString(second.get().messages.at(0)));
  EXPECT_TRUE(schema_of(flight_info.schema()));
  EXPECT_EQ(planning_calls(), 1u);
  cancelled_client.reset();
}

TEST_F(Schemas, InvalidStatement_FailsWhenItIsPrepared) {
  add_node();
  start();
  Reply r;
  prepare("SELECT id FROM gallery /*+ plan_mishap=statement */", &r);
  EXPECT_EQ(r.end.status.code, Code::kInvalidArgument);
  EXPECT_NE(r.end.status.message.find("syntax error"), std::string::npos) << r.end.status.message;
}

// Where one engine rejects a statement as invalid, another may execute it, so GetFlightInfo succeeds and only
// the execution decides.
TEST_F(Schemas, StatementValidOnOneEngineOnly_GetsATicket) {
  add_node();
  add_node();
  start();
  const std::string sql = "SELECT id FROM gallery /*+ valid_at=n1 */";
  int with_schema_count = 0;
  int served = 0;
  for (int i = 0; i < 30; ++i) {
    Reply r;
    const flight::FlightInfo flight_info =
        info(sql + " WHERE " + std::string(static_cast<size_t>(i + 1), 'a') + " = 1", &r);
    ASSERT_TRUE(r.ok()) << r.end.status.message;
    with_schema_count += schema_of(flight_info.schema()).has_value();
    const std::string text = sql + " WHERE " + std::string(static_cast<size_t>(i + 1), 'a') + " = 1";
    served += read(flight_info, text).empty();
  }
  EXPECT_GT(with_schema_count, 0);
  EXPECT_LT(with_schema_count, 30);
  EXPECT_GT(served, 0);
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Schemas, TenThousandStatements_StayWithinTheCacheLimits) {
  add_node();
  config_.schema_cache.max_entries = 500;
  config_.schema_cache.max_bytes = 128u << 10;
  config_.planning.budget_base_calls = 50;
  config_.planning.budget_calls_per_statement = 0;
  config_.flight_sql.max_prepared_statements = 20'000;
  start();
  for (int from = 0; from < 10'000; from += 500) {
    std::vector<std::future<Reply>> replies;
    for (int i = from; i < from + 500; ++i) {
      fsql::ActionCreatePreparedStatementRequest request;
      request.set_query("SELECT id, " + std::to_string(i) + " FROM gallery");
      flight::Action action;
      action.set_type("CreatePreparedStatement");
      action.set_body(pack(request));
      replies.push_back(start_call("DoAction", action.SerializeAsString()));
    }
    for (auto& a : replies) EXPECT_TRUE(a.get().ok());
  }
  EXPECT_GT(planning_calls(), 0u);
  EXPECT_LE(planning_calls(), 50u) << "statements over the budget get no columns";
  gateway_->inspect([&](const dispatch::RequestDispatcher& c, const flightsql::FlightSqlServer& f) {
    EXPECT_LE(f.schema_resolver().cache().size(), 500u);
    EXPECT_LE(f.schema_resolver().cache().bytes(), 128u << 10);
    EXPECT_EQ(f.schema_resolver().planning_coordinator().waiters(), 0u);
    EXPECT_EQ(c.buffered_bytes(), 0u);
  });
}

TEST_F(Schemas, EmptyResult_HasItsSchema) {
  add_node();
  start();
  const std::string sql = "SELECT id, label FROM gallery /*+ rows=0 */";
  QueryResult r;
  EXPECT_EQ(read(info(sql), sql, &r), "");
  EXPECT_EQ(r.rows, 0);
  EXPECT_EQ(r.schema.fields.size(), 2u);
}

TEST_F(Schemas, ReloadWithOtherTables_ClearsTheCache) {
  add_node();
  start();
  const std::string sql = "SELECT id FROM gallery";
  info(sql);
  gateway_->reload(config_);
  info(sql);
  EXPECT_EQ(planning_calls(), 1u) << "nothing has changed";
  config::GatewayConfig changed = config_;
  changed.selectors.tables.push_back({"default", "main", "photo", 7});
  gateway_->reload(changed);
  info(sql);
  EXPECT_EQ(planning_calls(), 2u);
}

// A response of 200 MB to a slow reader, with lookups at the same time: the buffered bytes stay within the
// limit. The reader pauses for 1 ms before each message; bench/gateway_bench has one that reads 1 MB a
// second.
TEST_F(Schemas, LargeResponseToASlowReader_StaysWithinTheBufferLimit) {
  add_node();
  start();
  const std::string sql = "SELECT label FROM gallery /*+ rows=3200 row_bytes=65536 work=10ms */";
  auto reader = open_client();
  ClientOptions client_options = options(60 * kSecond);
  client_options.read_delay_us = kMs;
  const auto check = std::make_shared<nodes::ResponseCheck>(sql);
  auto large = spawn(reader->query(sql, client_options, [check](const auto& schema, const auto& batch) {
    check->on_batch(schema, batch);
  }));
  ASSERT_TRUE(wait_for([&] { return recorder_.count(NodeEvent::Kind::kArrived) > planning_calls(); }));
  size_t max_buffered = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string lookup = "SELECT id FROM gallery /*+ work=100us */ WHERE id = " + std::to_string(i);
    ASSERT_EQ(read(info(lookup), lookup), "");
    if (i % 10 != 0) continue;
    gateway_->inspect([&](const dispatch::RequestDispatcher& c, const flightsql::FlightSqlServer&) {
      max_buffered = std::max(max_buffered, c.buffered_bytes());
    });
  }
  const QueryResult r = large.get();
  EXPECT_EQ(r.verdict, RequestStatus::kServed) << r.status.message;
  EXPECT_EQ(check->error(r.verdict == RequestStatus::kServed), "");
  EXPECT_GT(max_buffered, 0u);
  EXPECT_LE(max_buffered,
            config_.dispatcher.response_buffer_bytes + config_.dispatcher.stream_window_bytes + (1u << 20));
  reader.reset();
}

}  // namespace
}  // namespace sablelink::test
