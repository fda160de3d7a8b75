// End-to-end tests of clients, a gateway and stand-in nodes on loopback sockets, including failures of nodes,
// connections and clients. The tests check only what nodes and clients observe; most of them end with an
// audit of these observations.
#include "tests/loopback_harness.h"

namespace sablelink::test {
namespace {

TEST_F(Loopback, QueryReturnsAllRows) {
  add_node();
  start();
  const QueryResult r = send("SELECT * FROM gallery /*+ rows=2500 */", "a", options(5 * kSecond)).get();
  EXPECT_EQ(r.verdict, RequestStatus::kServed) << r.status.message;
  EXPECT_EQ(r.rows, 2500);
  EXPECT_EQ(r.attempts, 1);
  EXPECT_EQ(r.reason, "answered");
  ASSERT_EQ(r.schema.fields.size(), 4u);
  EXPECT_EQ(r.batches[1].columns[0].integer_at(0), 1024);
  EXPECT_TRUE(r.batches[0].columns[2].is_null(6));
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Loopback, UpdateReturnsRowCount) {
  add_node();
  start();
  const QueryResult r = send("UPDATE gallery SET a = 1 /*+ rows=7 */", "a", options(5 * kSecond), true).get();
  EXPECT_EQ(r.verdict, RequestStatus::kServed) << r.status.message;
  EXPECT_EQ(r.updated_rows, 7);
}

TEST_F(Loopback, LostResponseIsRetriedAfterItsAttemptEnds) {
  add_node();
  add_node();
  start();
  for (int i = 0; i < 20; ++i)  // gives the gateway an estimate of the execution time
    ASSERT_EQ(send("SELECT 1 /*+ work=10ms */", "w" + std::to_string(i), options(5 * kSecond)).get().verdict,
              RequestStatus::kServed);
  const QueryResult r =
      send("SELECT 1 /*+ work=10ms mishap=lost on_attempt=0 */", "lost", options(8 * kSecond)).get();
  EXPECT_EQ(r.verdict, RequestStatus::kServed) << r.status.message;
  EXPECT_EQ(r.attempts, 2);
  EXPECT_TRUE(wait_for([&] { return recorder_.count(NodeEvent::Kind::kEnded, "lost") == 2; }));
  size_t completed = 0;
  for (const NodeEvent& e : recorder_.events())
    completed += e.tag == "lost" && e.kind == NodeEvent::Kind::kEnded && e.work_completed;
  EXPECT_EQ(completed, 2u);  // the first attempt completed, too; only its response was lost
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Loopback, UnsafeStatementIsNotRetriedAfterConnectionReset) {
  add_node();
  add_node();
  start();
  const QueryResult r = send("UPDATE gallery SET a = 1 /*+ work=40ms mishap=reset */", "u",
                             options(5 * kSecond, "unsafe"), true)
                            .get();
  EXPECT_EQ(r.verdict, RequestStatus::kFailed);
  EXPECT_EQ(r.status.code, Code::kUnknown);
  EXPECT_EQ(recorder_.count(NodeEvent::Kind::kArrived, "u"), 1u);
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Loopback, SafeQueryIsRetriedAfterConnectionReset) {
  add_node();
  add_node();
  start();
  const QueryResult r =
      send("SELECT 1 /*+ work=40ms mishap=reset on_attempt=0 */", "s", options(5 * kSecond)).get();
  EXPECT_EQ(r.verdict, RequestStatus::kServed) << r.status.message;
  EXPECT_EQ(r.attempts, 2);
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Loopback, UnsafeStatementThatNodeRejectedIsRetried) {
  add_node();
  add_node();
  start();
  const QueryResult r = send("UPDATE gallery SET a = 1 /*+ mishap=refuse on_attempt=0 */", "u",
                             options(5 * kSecond, "unsafe"), true)
                            .get();
  EXPECT_EQ(r.verdict, RequestStatus::kServed) << r.status.message;
  EXPECT_EQ(r.attempts, 2);
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Loopback, CancellationDuringRetriesReleasesAllRequests) {
  add_node();
  add_node();
  start();
  for (int i = 0; i < 20; ++i)
    send("SELECT 1 /*+ work=50ms */", "w" + std::to_string(i), options(5 * kSecond)).get();
  // Every attempt fails after 60 ms, so the cancellation finds some requests in an attempt and others before
  // a retry.
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::future<QueryResult>> all;
  for (int i = 0; i < 10; ++i) {
    clients.push_back(open_client());
    all.push_back(send("SELECT 1 /*+ work=60ms mishap=error */", "r" + std::to_string(i),
                       options(5 * kSecond), false, clients.back().get()));
  }
  EXPECT_TRUE(wait_for([&] {
    size_t retries = 0;
    for (const NodeEvent& e : recorder_.events())
      retries += e.kind == NodeEvent::Kind::kArrived && e.attempt > 0;
    return retries > 0;
  }));
  const size_t open_before_cancel = open_requests();
  EXPECT_GT(open_before_cancel, 0u);
  gateway_->inspect([](const dispatch::RequestDispatcher& c, const flightsql::FlightSqlServer&) {
    EXPECT_GT(c.counters().retries, 0u);
  });
  cancel_all();
  for (auto& f : all) EXPECT_NE(f.get().verdict, RequestStatus::kServed);
  EXPECT_TRUE(wait_for([&] { return open_requests() == 0; }));
  EXPECT_TRUE(wait_for([&] {
    return recorder_.count(NodeEvent::Kind::kArrived) == recorder_.count(NodeEvent::Kind::kEnded);
  }));
}

TEST_F(Loopback, DisconnectDuringResponseStopsOnlyThatQuery) {
  add_node();
  config_.dispatcher.response_buffer_bytes = 1000;
  config_.dispatcher.stream_window_bytes = 64 << 10;
  start();
  auto client = open_client();
  std::atomic<int> batches{0};
  auto work = [](Client* c, std::atomic<int>* batch_count) -> rpc::Awaitable<QueryResult> {
    std::string sql = "SELECT * FROM gallery /*+ rows=1000000 row_bytes=200 */";
    Client::OnBatch on_batch = [batch_count](const arrowipc::Schema&, const arrowipc::Batch&) {
      if (++*batch_count == 3) throw std::runtime_error("the client disconnects");
    };
    ClientOptions o;
    QueryResult r = co_await c->query(std::move(sql), std::move(o), std::move(on_batch));
    co_return r;
  };
  auto aborted = spawn(work(client.get(), &batches));
  EXPECT_THROW(aborted.get(), std::runtime_error);
  client.reset();
  EXPECT_TRUE(wait_for([&] { return open_requests() == 0; }));
  EXPECT_EQ(send("SELECT 1", "after", options(5 * kSecond)).get().verdict, RequestStatus::kServed);
  EXPECT_TRUE(wait_for([&] {
    return recorder_.count(NodeEvent::Kind::kArrived) == recorder_.count(NodeEvent::Kind::kEnded);
  }));
  size_t buffered_bytes = 1;
  EXPECT_TRUE(wait_for([&] {
    gateway_->inspect([&](const dispatch::RequestDispatcher& c, const flightsql::FlightSqlServer&) {
      buffered_bytes = c.buffered_bytes();
    });
    return buffered_bytes == 0;
  }));
}

TEST_F(Loopback, QueriesOfHungNodeAreServedByOtherNode) {
  service::NodeService& hung = add_node();
  add_node();
  start();
  for (int i = 0; i < 40; ++i)
    send("SELECT 1 /*+ work=5ms */", "w" + std::to_string(i), options(5 * kSecond)).get();
  hung.inspect([](nodes::StandIn& n) { n.begin_fault(nodes::FaultKind::kHang, 60 * kSecond, 1); });
  std::vector<std::future<QueryResult>> all;
  for (int i = 0; i < 30; ++i)
    all.push_back(send("SELECT 1 /*+ work=5ms */", "h" + std::to_string(i), options(9 * kSecond)));
  for (auto& f : all) {
    const QueryResult r = f.get();
    EXPECT_EQ(r.verdict, RequestStatus::kServed) << r.status.message;
  }
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Loopback, UnsafeStatementIsRetriedAfterRefusedConnection) {
  add_node();
  config::EngineConfig closed;  // no server listens on its port
  closed.name = "closed";
  {
    nodes::NodeConfig unused_port;
    unused_port.listen = "127.0.0.1:0";
    service::NodeService stopped_node(unused_port, system_, nullptr);
    closed.address = "127.0.0.1:" + std::to_string(stopped_node.port());
  }
  config_.engines.push_back(closed);
  start();
  for (int i = 0; i < 20; ++i) {
    const QueryResult r =
        send("UPDATE gallery SET a = 1", "u" + std::to_string(i), options(5 * kSecond, "unsafe"), true).get();
    EXPECT_EQ(r.verdict, RequestStatus::kServed) << r.status.message;
  }
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Loopback, StreamBrokenWithinBufferedPartIsRetried) {
  add_node();
  add_node();
  start();
  const QueryResult r =
      send("SELECT 1 /*+ rows=5000 mishap=break on_attempt=0 */", "b", options(5 * kSecond)).get();
  EXPECT_EQ(r.verdict, RequestStatus::kServed) << r.status.message;
  EXPECT_EQ(r.attempts, 2);
  EXPECT_EQ(r.rows, 5000);
}

TEST_F(Loopback, StreamBrokenAfterBufferedPartFails) {
  add_node();
  add_node();
  config_.dispatcher.response_buffer_bytes = 1000;
  start();
  const QueryResult r = send("SELECT 1 /*+ rows=5000 mishap=break */", "b", options(5 * kSecond)).get();
  EXPECT_EQ(r.verdict, RequestStatus::kFailed);
  EXPECT_EQ(r.reason, "stream-broken");
  EXPECT_EQ(r.attempts, 1);
}

TEST_F(Loopback, RequestsOfOneKeyFromTwoClientsRunOneAtATime) {
  add_node();
  add_node();
  start();
  auto second = open_client();
  std::vector<std::future<QueryResult>> all;
  for (int i = 0; i < 6; ++i)
    all.push_back(send("SELECT 1 /*+ work=30ms */", "k" + std::to_string(i),
                       options(9 * kSecond, "ordered", "desk 4"), false,
                       i % 2 == 0 ? client_.get() : second.get()));
  for (auto& f : all) {
    const QueryResult r = f.get();
    EXPECT_EQ(r.verdict, RequestStatus::kServed) << r.status.message;
  }
  EXPECT_EQ(audit_findings(), "");
  // At the nodes, no two attempts overlap.
  int running = 0;
  std::vector<NodeEvent> events = recorder_.events();
  std::stable_sort(events.begin(), events.end(),
                   [](const NodeEvent& a, const NodeEvent& b) { return a.at < b.at; });
  for (const NodeEvent& e : events) {
    if (e.kind == NodeEvent::Kind::kArrived) ++running;
    if (e.kind == NodeEvent::Kind::kEnded) --running;
    EXPECT_LE(running, 1);
  }
  second.reset();
}

TEST_F(Loopback, DrainReportedBeforeRetryIsRespected) {
  add_node();
  add_node();
  add_node();
  start();
  std::vector<std::future<QueryResult>> all;
  for (int i = 0; i < 30; ++i)
    all.push_back(send("SELECT 1 /*+ work=100ms mishap=error on_attempt=0 */", "d" + std::to_string(i),
                       options(8 * kSecond)));
  sleep(30 * kMs);
  config::GatewayConfig changed = config_;
  changed.engines[2].state = EndpointState::kDraining;
  {
    const std::lock_guard lock(mutex_);
    records_.unavailable.push_back({"g", "n2", wall_time_us()});
  }
  gateway_->reload(changed);
  for (auto& f : all) EXPECT_EQ(f.get().verdict, RequestStatus::kServed);
  for (int i = 0; i < 30; ++i)
    EXPECT_EQ(send("SELECT 1", "e" + std::to_string(i), options(5 * kSecond)).get().verdict,
              RequestStatus::kServed);
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Loopback, RequestIsRejectedIfAllNodesOfItsZoneAreDown) {
  add_node();
  service::NodeService& far = add_node({}, 1);
  start();
  EXPECT_EQ(send("SELECT 1", "f0", options(5 * kSecond, "bound")).get().verdict, RequestStatus::kServed);
  far.kill();
  const QueryResult r = send("SELECT 1", "f1", options(2 * kSecond, "bound")).get();
  EXPECT_EQ(r.verdict, RequestStatus::kRejected);
  EXPECT_EQ(r.status.code, Code::kUnavailable);
  EXPECT_EQ(recorder_.count(NodeEvent::Kind::kArrived, "f1"), 0u);
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Loopback, NodeRestartedUnderFullLoadDoesNotCollapse) {
  nodes::NodeConfig restarted;
  restarted.engine.cores = 2;
  restarted.engine.slow_start_min_capacity_fraction = 0.3;
  restarted.engine.slow_start_duration_us = 4 * kSecond;
  restarted.engine.collapse_load_multiple = 3;
  restarted.engine.collapse_window_us = kSecond;
  Settings& rules = config_.settings;
  rules.slow_start_min_capacity_fraction = 0.3;
  rules.slow_start_duration_us = 4 * kSecond;
  rules.collapse_load_multiple = 3;
  rules.collapse_window_us = kSecond;
  rules.engine_type_cores = {2};
  nodes::NodeConfig initial = restarted;
  initial.engine.slow_start_duration_us = 0;
  add_node(initial);
  add_node(initial);
  start();
  const auto load = [&](const std::string& name, int count) {
    std::vector<std::future<QueryResult>> all;
    for (int i = 0; i < count; ++i) {
      all.push_back(send("SELECT 1 /*+ work=40ms */", name + std::to_string(i), options(4 * kSecond)));
      sleep(8 * kMs);
    }
    for (auto& f : all) f.get();
  };
  load("w", 60);
  nodes_[1]->kill();
  restarted.listen = config_.engines[1].address;
  restarted.name = "n1";
  nodes_[1] = std::make_unique<service::NodeService>(restarted, system_, &recorder_);
  config::GatewayConfig changed = config_;
  changed.engines[1].started_at = wall_time_us();
  gateway_->reload(changed);
  load("c", 250);
  bool collapsed = true;
  nodes_[1]->inspect([&](nodes::StandIn& n) { collapsed = n.collapsed(); });
  EXPECT_FALSE(collapsed);
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Loopback, SecondDoGetOfOneTicketIsServed) {
  add_node();
  start();
  const Client::Ticket ticket = spawn(client_->get_ticket("SELECT 1", options(5 * kSecond))).get();
  ASSERT_TRUE(ticket.status.ok());
  EXPECT_EQ(spawn(client_->fetch(ticket.ticket, options(5 * kSecond))).get().verdict, RequestStatus::kServed);
  EXPECT_EQ(spawn(client_->fetch(ticket.ticket, options(5 * kSecond))).get().verdict, RequestStatus::kServed);
}

TEST_F(Loopback, GetFlightInfoDoesNoEngineWork) {
  add_node();
  start();
  ASSERT_TRUE(spawn(client_->get_ticket("SELECT 1", options(5 * kSecond))).get().status.ok());
  EXPECT_EQ(recorder_.count(NodeEvent::Kind::kArrived), 0u);
}

TEST_F(Loopback, CancellationEndsQueryAndItsAttempt) {
  add_node();
  start();
  const Client::Ticket ticket =
      spawn(client_->get_ticket("SELECT 1 /*+ work=60s */", options(30 * kSecond))).get();
  auto running = spawn(client_->fetch(ticket.ticket, options(30 * kSecond)));
  ASSERT_TRUE(wait_for([&] { return recorder_.count(NodeEvent::Kind::kArrived) == 1; }));
  flightsql::flight::CancelFlightInfoRequest request;
  request.mutable_info()->ParseFromString(ticket.info);
  const auto cancel = [&] {
    const auto r =
        spawn(client_->action("CancelFlightInfo", request.SerializeAsString(), options(5 * kSecond))).get();
    flightsql::flight::CancelFlightInfoResult result;
    EXPECT_TRUE(r.status.ok()) << r.status.message;
    if (r.bodies.size() == 1) result.ParseFromString(r.bodies[0]);
    return result.status();
  };
  EXPECT_EQ(cancel(), flightsql::flight::CANCEL_STATUS_CANCELLED);
  const QueryResult r = running.get();
  EXPECT_EQ(r.status.code, Code::kCancelled);
  EXPECT_TRUE(wait_for([&] { return recorder_.count(NodeEvent::Kind::kEnded) == 1; }));
  EXPECT_EQ(cancel(), flightsql::flight::CANCEL_STATUS_NOT_CANCELLABLE);
}

TEST_F(Loopback, ShutdownCompletesOpenRequestsAndRejectsNewOnes) {
  add_node();
  start();
  auto running = send("SELECT 1 /*+ work=400ms */", "held", options(5 * kSecond));
  ASSERT_TRUE(wait_for([&] { return recorder_.count(NodeEvent::Kind::kArrived) == 1; }));
  std::future<void> shutdown_done = std::async(std::launch::async, [&] { gateway_->shut_down(5 * kSecond); });
  QueryResult fresh;
  EXPECT_TRUE(wait_for([&] {
    fresh = send("SELECT 1", "fresh" + std::to_string(wall_time_us()), options(kSecond)).get();
    return fresh.reason == "stopping";
  }));
  EXPECT_EQ(fresh.status.code, Code::kUnavailable);
  EXPECT_EQ(running.get().verdict, RequestStatus::kServed);
  shutdown_done.get();
}

TEST_F(Loopback, RestartedGatewayServesNewRequestsButNotOldTickets) {
  add_node();
  start();
  const int port = gateway_->port();
  const Client::Ticket old = spawn(client_->get_ticket("SELECT 1", options(5 * kSecond))).get();
  auto running = send("SELECT 1 /*+ work=20s */", "held", options(10 * kSecond));
  ASSERT_TRUE(wait_for([&] { return recorder_.count(NodeEvent::Kind::kArrived) == 1; }));
  gateway_.reset();  // cancels all requests
  EXPECT_NE(running.get().verdict, RequestStatus::kServed);
  EXPECT_TRUE(wait_for([&] { return recorder_.count(NodeEvent::Kind::kEnded) == 1; }));
  config_.listen_address = "127.0.0.1:" + std::to_string(port);
  start();
  EXPECT_EQ(send("SELECT 1", "again", options(5 * kSecond)).get().verdict, RequestStatus::kServed);
  const QueryResult r = spawn(client_->fetch(old.ticket, options(5 * kSecond))).get();
  EXPECT_EQ(r.status.code, Code::kNotFound);
  EXPECT_NE(r.status.message.find("another gateway or of this one before its restart"), std::string::npos);
}

TEST_F(Loopback, FiveThousandConcurrentRequests) {
  nodes::NodeConfig large;
  large.engine.sessions_per_core = 1e4;
  add_node(large);
  add_node(large);
  config_.flight_sql.max_open_requests_per_connection = 6'000;
  start();
  std::vector<std::future<QueryResult>> all;
  for (int i = 0; i < 5'000; ++i)
    all.push_back(send("SELECT 1 /*+ work=20ms */", "m" + std::to_string(i), options(60 * kSecond)));
  size_t max_open = 0;
  int served = 0;
  int rejected = 0;
  int failed = 0;
  EXPECT_TRUE(wait_for([&] {
    max_open = std::max(max_open, open_requests());
    return recorder_.count(NodeEvent::Kind::kArrived) > 0;
  }));
  for (auto& f : all) {
    const QueryResult r = f.get();
    (r.verdict == RequestStatus::kServed     ? served
     : r.verdict == RequestStatus::kRejected ? rejected
                                             : failed) += 1;
  }
  EXPECT_EQ(served + rejected, 5'000);
  EXPECT_EQ(failed, 0);
  EXPECT_TRUE(wait_for([&] { return open_requests() == 0; }));
  EXPECT_EQ(audit_findings(), "");
}

TEST_F(Loopback, OpenRequestsPerConnectionAreLimited) {
  add_node();
  config_.flight_sql.max_open_requests_per_connection = 3;
  start();
  std::vector<std::future<QueryResult>> all;
  for (int i = 0; i < 3; ++i)
    all.push_back(send("SELECT 1 /*+ work=500ms */", "c" + std::to_string(i), options(5 * kSecond)));
  ASSERT_TRUE(wait_for([&] { return recorder_.count(NodeEvent::Kind::kArrived) == 3; }));
  const QueryResult excess = send("SELECT 1", "over", options(5 * kSecond)).get();
  EXPECT_EQ(excess.reason, "connection-full");
  auto other = open_client();
  EXPECT_EQ(send("SELECT 1", "other", options(5 * kSecond), false, other.get()).get().verdict,
            RequestStatus::kServed);
  for (auto& f : all) EXPECT_EQ(f.get().verdict, RequestStatus::kServed);
  other.reset();
}

// ---- Prepared statements

class PreparedLoopback : public Loopback {
 protected:
  std::string create(const std::string& sql) {
    flightsql::fsql::ActionCreatePreparedStatementRequest request;
    request.set_query(sql);
    const auto r =
        spawn(client_->action("CreatePreparedStatement", flightsql::pack(request), options(5 * kSecond)))
            .get();
    EXPECT_TRUE(r.status.ok()) << r.status.message;
    google::protobuf::Any any;
    flightsql::fsql::ActionCreatePreparedStatementResult result;
    if (r.bodies.size() != 1 || !any.ParseFromString(r.bodies[0]) || !any.UnpackTo(&result)) return "";
    return result.prepared_statement_handle();
  }
  struct PutResult {
    rpc::Status status;
    std::string metadata;
  };
  // Calls DoPut with a command and parameter rows of one int64 column.
  template <typename Command>
  PutResult put(const Command& command, const std::vector<int64_t>& values) {
    arrowipc::Field field;
    field.name = "p";
    field.type = arrowipc::Type::kInt64;
    const arrowipc::Schema schema{{field}};
    arrowipc::ArrayBuilder builder(field);
    for (const int64_t v : values) builder.integer(v);
    arrowipc::Batch batch;
    batch.rows = static_cast<int64_t>(values.size());
    batch.columns.push_back(builder.finish());
    flightsql::flight::FlightData first;
    flightsql::flight::FlightData second;
    *first.mutable_flight_descriptor() = flightsql::descriptor_of(command);
    first.set_data_header(arrowipc::encode_schema(schema).header);
    const arrowipc::Message message = arrowipc::encode_batch(schema, batch);
    second.set_data_header(message.header);
    second.set_data_body(message.body);
    return spawn(stream(first.SerializeAsString(), second.SerializeAsString())).get();
  }
  rpc::Awaitable<PutResult> stream(std::string first, std::string second) {
    const auto call = client_->channel().call("/arrow.flight.protocol.FlightService/DoPut", {}, 5 * kSecond);
    co_await call->write(std::move(first), false);
    co_await call->write(std::move(second), true);
    PutResult put_result;
    while (const std::optional<std::string> message = co_await call->read()) {
      flightsql::flight::PutResult result;
      if (result.ParseFromString(*message)) put_result.metadata = result.app_metadata();
    }
    const rpc::CallResult end = co_await call->finish();
    put_result.status = end.status;
    co_return put_result;
  }
};

TEST_F(PreparedLoopback, BoundValuesReachTheNodeAsLiterals) {
  add_node();
  start();
  const std::string handle = create("SELECT * FROM gallery /*+ rows=4 */ WHERE id = ?");
  flightsql::fsql::CommandPreparedStatementQuery command;
  command.set_prepared_statement_handle(handle);
  const PutResult bound = put(command, {48213});
  ASSERT_TRUE(bound.status.ok()) << bound.status.message;
  const auto info = [&] {
    return spawn([](Client* c,
                    std::string descriptor) -> rpc::Awaitable<std::pair<rpc::CallResult, std::string>> {
             const auto call =
                 c->channel().call("/arrow.flight.protocol.FlightService/GetFlightInfo", {}, 5 * kSecond);
             co_await call->write(std::move(descriptor), true);
             std::pair<rpc::CallResult, std::string> response;
             if (const std::optional<std::string> message = co_await call->read()) response.second = *message;
             response.first = co_await call->finish();
             co_return response;
           }(client_.get(), flightsql::descriptor_of(command).SerializeAsString()))
        .get();
  };
  const auto [end, bytes] = info();
  ASSERT_TRUE(end.status.ok()) << end.status.message;
  flightsql::flight::FlightInfo flight;
  flight.ParseFromString(bytes);
  const QueryResult r =
      spawn(client_->fetch(flight.endpoint(0).ticket().SerializeAsString(), options(5 * kSecond))).get();
  EXPECT_EQ(r.verdict, RequestStatus::kServed) << r.status.message;
  EXPECT_EQ(r.rows, 4);
  // A query accepts at most one row of parameters.
  EXPECT_EQ(put(command, {1, 2}).status.code, Code::kInvalidArgument);
  flightsql::fsql::ActionClosePreparedStatementRequest close;
  close.set_prepared_statement_handle(handle);
  EXPECT_TRUE(spawn(client_->action("ClosePreparedStatement", flightsql::pack(close), options(kSecond)))
                  .get()
                  .status.ok());
  EXPECT_EQ(info().first.status.code, Code::kNotFound);
}

TEST_F(PreparedLoopback, UpdateRunsOncePerParameterRow) {
  add_node();
  start();
  flightsql::fsql::CommandPreparedStatementUpdate command;
  command.set_prepared_statement_handle(create("UPDATE gallery SET a = ? /*+ rows=2 */"));
  const PutResult end = put(command, {5, 6, 7});
  ASSERT_TRUE(end.status.ok()) << end.status.message;
  flightsql::fsql::DoPutUpdateResult result;
  ASSERT_TRUE(result.ParseFromString(end.metadata));
  EXPECT_EQ(result.record_count(), 6);
  EXPECT_EQ(recorder_.count(NodeEvent::Kind::kArrived), 3u);
}

// ---- Bad input

class BadInput : public Loopback {
 protected:
  rpc::Status call(const std::string& method, const std::string& message) {
    return spawn([](Client* c, std::string m, std::string bytes) -> rpc::Awaitable<rpc::Status> {
             co_await c->channel().connect(kSecond);
             const auto call =
                 c->channel().call("/arrow.flight.protocol.FlightService/" + m, {}, 5 * kSecond);
             co_await call->write(std::move(bytes), true);
             while (const std::optional<std::string> answer = co_await call->read()) continue;
             const rpc::CallResult end = co_await call->finish();
             co_return end.status;
           }(client_.get(), method, message))
        .get();
  }
  void expect(const rpc::Status& status, Code code, const std::string& part) {
    EXPECT_EQ(status.code, code) << status.message;
    EXPECT_NE(status.message.find(part), std::string::npos) << status.message;
  }
  std::string ticket_of(const std::string& inner) {
    flightsql::flight::Ticket ticket;
    ticket.set_ticket(inner);
    return ticket.SerializeAsString();
  }
};

TEST_F(BadInput, ErrorNamesCauseAndOtherRequestsAreServed) {
  add_node();
  config_.flight_sql.max_statement_bytes = 1000;
  config_.flight_sql.max_message_bytes = 64 << 10;
  start();
  expect(call("GetFlightInfo", "\xff\xff\xff"), Code::kInvalidArgument,
         "the request is no valid FlightDescriptor");
  expect(call("GetFlightInfo", ""), Code::kInvalidArgument, "its type must be CMD");
  flightsql::flight::FlightDescriptor d;
  d.set_type(flightsql::flight::FlightDescriptor::CMD);
  d.set_cmd("\xff\xff");
  expect(call("GetFlightInfo", d.SerializeAsString()), Code::kInvalidArgument, "no valid Any");
  d.set_cmd("");
  expect(call("GetFlightInfo", d.SerializeAsString()), Code::kInvalidArgument, "its type is empty");
  google::protobuf::Any any;
  any.set_type_url("type.googleapis.com/arrow.flight.protocol.sql.CommandStatementQuery");
  any.set_value("\xff");
  d.set_cmd(any.SerializeAsString());
  expect(call("GetFlightInfo", d.SerializeAsString()), Code::kInvalidArgument,
         "no valid CommandStatementQuery");
  any.set_type_url("type.googleapis.com/arrow.flight.protocol.sql.CommandStatementSubstraitPlan");
  any.set_value("");
  d.set_cmd(any.SerializeAsString());
  expect(call("GetFlightInfo", d.SerializeAsString()), Code::kUnimplemented, "CommandStatementSubstraitPlan");
  expect(call("DoExchange", ""), Code::kUnimplemented, "DoExchange");
  expect(call("DoGet", ticket_of("nothing")), Code::kInvalidArgument, "the ticket is no valid Any");
  flightsql::fsql::TicketStatementQuery handle;
  handle.set_statement_handle("SELECT 1");
  expect(call("DoGet", ticket_of(flightsql::pack(handle))), Code::kInvalidArgument,
         "none that a gateway gives out");
  expect(spawn(client_->get_ticket(std::string(1001, 'x'), options(kSecond))).get().status,
         Code::kInvalidArgument, "the statement has 1001 bytes; 1000 are allowed");
  expect(spawn(client_->get_ticket("", options(kSecond))).get().status, Code::kInvalidArgument,
         "the statement is empty");
  EXPECT_EQ(call("GetFlightInfo", std::string(100 << 10, 'x')).code, Code::kResourceExhausted);
  expect(spawn(client_->action("Fly", "", options(kSecond))).get().status, Code::kUnimplemented,
         "action Fly");
  expect(call("DoPut", ""), Code::kInvalidArgument, "must have a descriptor");
  // A ticket with one byte changed.
  const Client::Ticket valid = spawn(client_->get_ticket("SELECT 1", options(kSecond))).get();
  flightsql::flight::Ticket outer;
  google::protobuf::Any inner;
  outer.ParseFromString(valid.ticket);
  inner.ParseFromString(outer.ticket());
  inner.UnpackTo(&handle);
  handle.mutable_statement_handle()->back() ^= 1;
  expect(call("DoGet", ticket_of(flightsql::pack(handle))), Code::kInvalidArgument, "has been changed");
  // Parameters with an invalid schema header.
  flightsql::flight::FlightData data;
  flightsql::fsql::CommandPreparedStatementUpdate update;
  *data.mutable_flight_descriptor() = flightsql::descriptor_of(update);
  data.set_data_header("too short to be a schema");
  expect(call("DoPut", data.SerializeAsString()), Code::kInvalidArgument, "arrow ipc:");
  EXPECT_EQ(recorder_.count(NodeEvent::Kind::kArrived), 0u);
  EXPECT_EQ(send("SELECT 1", "after", options(5 * kSecond)).get().verdict, RequestStatus::kServed);
  EXPECT_EQ(open_requests(), 0u);
}

TEST_F(BadInput, RandomMessagesAreRejected) {
  add_node();
  start();
  std::mt19937 random(5);
  for (const char* method : {"GetFlightInfo", "DoGet", "DoPut", "DoAction"}) {
    for (int i = 0; i < 100; ++i) {
      std::string bytes(random() % 60, '\0');
      for (char& c : bytes) c = static_cast<char>(random());
      EXPECT_FALSE(call(method, bytes).ok());
    }
  }
  EXPECT_EQ(send("SELECT 1", "after", options(5 * kSecond)).get().verdict, RequestStatus::kServed);
}

// gRPC may send a longer timeout than the client set, by rounding it up or by reusing an earlier one. A
// server that relies on the received value would respond after the client's deadline.
TEST_F(Loopback, ServerNeverAssumesLongerTimeoutThanClientSet) {
  rpc::GrpcLoop server_loop(system_.wall, system_.steady);
  std::mutex mutex;
  std::vector<TimeUs> received;
  auto handler = [&](std::shared_ptr<rpc::ServerCall> call) -> rpc::Awaitable<void> {
    {
      const std::lock_guard lock(mutex);
      received.push_back(call->client_timeout_us().value_or(-1));
    }
    rpc::Status status;
    rpc::Metadata trailers;
    std::optional<std::string> last;
    co_await call->finish(std::move(status), std::move(trailers), std::move(last));
  };
  rpc::GrpcServerOptions server_options;
  server_options.address = "127.0.0.1:0";
  rpc::GrpcServer server(server_options, server_loop, handler);
  client_ = std::make_unique<Client>(channels_->open("127.0.0.1:" + std::to_string(server.port())), *loop_);
  const std::vector<TimeUs> timeouts = {123'400,     1'001'000, 2'401'000, 9'991'000, 12'301'000,
                                        100'001'000, 2'869'000, 2'797'000, 7'630'000, 7'412'000};
  for (const TimeUs us : timeouts) spawn(client_->get_ticket("SELECT 1", options(us))).get();
  const auto received_so_far = [&] {
    const std::lock_guard lock(mutex);
    return received;
  };
  const std::vector<TimeUs> timeouts_received = received_so_far();
  ASSERT_EQ(timeouts_received.size(), timeouts.size());
  for (size_t i = 0; i < timeouts_received.size(); ++i) {
    EXPECT_LE(timeouts_received[i], timeouts[i]);
    EXPECT_GT(timeouts_received[i], timeouts[i] / 2);  // a timeout was received
  }
  spawn(client_->get_ticket("SELECT 1", options(0))).get();
  server_loop.post_and_wait([] {});
  EXPECT_EQ(received_so_far().back(), -1);
}

TEST_F(Loopback, PortInUseIsAnError) {
  add_node();
  start();
  config_.listen_address = "127.0.0.1:" + std::to_string(gateway_->port());
  EXPECT_THROW(service::GatewayService(config_, system_), rpc::ListenError);
}

}  // namespace
}  // namespace sablelink::test
