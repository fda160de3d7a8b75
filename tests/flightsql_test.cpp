// Parts of the Flight SQL packages that need no socket: tickets, prepared statements, literals, reports,
// outcomes, final answers, metadata tables.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>

#include "arrowipc/ipc.h"
#include "flightsql/catalog.h"
#include "flightsql/columns.h"
#include "flightsql/messages.h"
#include "flightsql/prepared.h"
#include "flightsql/terms.h"
#include "flightsql/tickets.h"

namespace sablelink::flightsql {
namespace {

using dispatch::CompletionReason;
using dispatch::RequestStatus;

// An engine may tell one schema in two encodings, as in a plan and in an answer.
TEST(Columns, AreTheSameHoweverTheyAreWritten) {
  arrowipc::Schema schema;
  schema.fields = {{"id", arrowipc::Type::kInt64, false, {}, {}, {}},
                   {"label", arrowipc::Type::kUtf8, true, {}, {}, {}}};
  const std::string plain = arrowipc::encapsulate(arrowipc::encode_schema(schema));
  std::string padded = plain + std::string(8, '\0');  // longer, with a length to match
  uint32_t length = 0;
  std::memcpy(&length, padded.data() + 4, 4);
  length += 8;
  std::memcpy(padded.data() + 4, &length, 4);
  EXPECT_NE(plain, padded);
  EXPECT_EQ(Columns::hash(plain), Columns::hash(padded));
  schema.fields[1].nullable = false;
  EXPECT_NE(Columns::hash(plain), Columns::hash(arrowipc::encapsulate(arrowipc::encode_schema(schema))));
  EXPECT_EQ(Columns::hash(""), 0u);
  EXPECT_NE(Columns::hash("no schema that is read here"), 0u);
}

TEST(Tickets, AreOpenedByTheirOwnGatewayAlone) {
  TicketOffice a(1, 2);
  TicketOffice other_life(3, 2);
  const std::string ticket = a.issue("SELECT 1");
  const OpenedTicket opened = a.open(ticket);
  EXPECT_EQ(opened.fault, TicketFault::kNone);
  EXPECT_EQ(opened.statement, "SELECT 1");
  EXPECT_EQ(other_life.open(ticket).fault, TicketFault::kForeign);
  EXPECT_EQ(a.open("").fault, TicketFault::kMalformed);
  EXPECT_EQ(a.open("SELECT 1").fault, TicketFault::kMalformed);
}

RC_GTEST_PROP(Tickets, AnyChangedByteIsFound, (uint32_t at, uint8_t by)) {
  TicketOffice a(1, 2);
  std::string ticket = a.issue("SELECT 1 FROM gallery");
  RC_PRE(by != 0);
  ticket[at % ticket.size()] = static_cast<char>(ticket[at % ticket.size()] ^ by);
  RC_ASSERT(a.open(ticket).fault != TicketFault::kNone);
}

TEST(Tickets, RepeatsAreKnown) {
  TicketOffice a(1, 2);
  a.issue("x");
  a.issue("y");
  EXPECT_TRUE(a.first_use(1));
  EXPECT_FALSE(a.first_use(1));
  EXPECT_TRUE(a.first_use(2));
  for (int i = 0; i < (1 << 20) + 5; ++i) a.issue("z");
  EXPECT_FALSE(a.first_use(2));
  EXPECT_TRUE(a.first_use((1 << 20) + 2));
}

TEST(Prepared, BoundsNumberAndBytesAndForgetsTheIdleFirst) {
  PreparedStatements::Limits limits;
  limits.count = 2;
  limits.idle_us = 100;
  PreparedStatements p(limits, 1);
  const auto a = p.create(0, "SELECT 1");
  const auto b = p.create(50, "SELECT 2");
  ASSERT_TRUE(a && b);
  EXPECT_FALSE(p.create(60, "SELECT 3"));  // none is idle for long enough
  EXPECT_TRUE(p.find(90, *a));
  EXPECT_TRUE(p.create(160, "SELECT 3"));  // b made room
  EXPECT_FALSE(p.find(161, *b));
  EXPECT_TRUE(p.find(161, *a));
  EXPECT_TRUE(p.close(*a));
  EXPECT_FALSE(p.close(*a));
  limits.bytes = 2000;
  PreparedStatements q(limits, 1);
  const auto c = q.create(0, "SELECT ?");
  EXPECT_FALSE(q.bind(1, *c, {std::string(3000, 'x')}));
  EXPECT_TRUE(q.bind(1, *c, {"1"}));
  EXPECT_EQ(q.find(1, *c)->literals, std::vector<std::string>{"1"});
  q.close(*c);
  EXPECT_EQ(q.bytes(), 0u);
}

TEST(Literals, OfEveryType) {
  using arrowipc::ArrayBuilder;
  using arrowipc::Field;
  using arrowipc::TimeUnit;
  using arrowipc::Type;
  const auto one = [](Type type, auto put, TimeUnit unit = TimeUnit::kMicrosecond, const char* zone = "") {
    Field f;
    f.name = "p";
    f.type = type;
    f.unit = unit;
    f.timezone = zone;
    ArrayBuilder b(f);
    put(b);
    return literal_of(f, b.finish(), 0);
  };
  EXPECT_EQ(one(Type::kInt64, [](auto& b) { b.integer(-5); }), "-5");
  EXPECT_EQ(one(Type::kDouble, [](auto& b) { b.number(2); }), "2.0");
  EXPECT_EQ(one(Type::kDouble, [](auto& b) { b.number(0.1); }), "0.10000000000000001");
  EXPECT_EQ(one(Type::kBool, [](auto& b) { b.boolean(true); }), "TRUE");
  EXPECT_EQ(one(Type::kUtf8, [](auto& b) { b.bytes("it's"); }), "'it''s'");
  EXPECT_EQ(one(Type::kBinary, [](auto& b) { b.bytes(std::string("\x01\xff", 2)); }), "X'01FF'");
  EXPECT_EQ(one(Type::kInt32, [](auto& b) { b.null(); }), "NULL");
  EXPECT_EQ(one(Type::kTimestamp, [](auto& b) { b.integer(951'782'400'123'456); }),
            "TIMESTAMP '2000-02-29 00:00:00.123456'");
  EXPECT_EQ(one(
                Type::kTimestamp, [](auto& b) { b.integer(-1); }, TimeUnit::kMillisecond, "UTC"),
            "TIMESTAMP '1969-12-31 23:59:59.999+00'");
  EXPECT_THROW(one(Type::kDouble, [](auto& b) { b.number(1 / 0.0); }), arrowipc::FormatError);
}

TEST(Reports, ComeBackAsTheyWere) {
  NodeReport r;
  r.load.emplace();
  r.load->in_flight = 3;
  r.load->waiting_for_memory = 0;
  r.load->cpu_utilization = 0.5;
  r.load->memory_utilization = 0;
  r.load->disk_utilization = 0.25;
  r.work_us = 2000;
  r.used_mb = 64;
  const NodeReport back = decode_report(encode_report(r));
  ASSERT_TRUE(back.load);
  EXPECT_EQ(back.load->in_flight, 3);
  EXPECT_EQ(back.load->waiting_for_memory, 0);
  EXPECT_EQ(back.load->cpu_utilization, 0.5);
  EXPECT_EQ(back.load->memory_utilization, 0);
  EXPECT_EQ(back.load->disk_utilization, 0.25);
  EXPECT_EQ(back.work_us, 2000);
  EXPECT_EQ(back.used_mb, 64);
  r.load->in_flight = 1 / 0.0;
  r.load->disk_utilization = -1;
  EXPECT_FALSE(decode_report(encode_report(r)).load->in_flight);
  EXPECT_FALSE(decode_report(encode_report(r)).load->disk_utilization);
  EXPECT_FALSE(decode_report("no report").load);
  EXPECT_FALSE(decode_report("").load);
}

rpc::CallResult ended(rpc::Code code, bool from_server, rpc::Status status = {}) {
  rpc::CallResult end;
  end.status = std::move(status);
  end.status.code = code;
  if (from_server) end.trailers.emplace_back("x", "y");
  return end;
}

TEST(Outcomes, OnlyANodesOwnWordProvesThatNothingRan) {
  using rpc::Code;
  EXPECT_EQ(map_call_end(ended(Code::kOk, true)).outcome, Outcome::kOk);
  EXPECT_EQ(map_call_end(ended(Code::kUnavailable, false)).outcome, Outcome::kReset);
  EXPECT_EQ(map_call_end(ended(Code::kUnavailable, true)).outcome, Outcome::kError);
  EXPECT_EQ(map_call_end(ended(Code::kResourceExhausted, true)).outcome, Outcome::kError);
  EXPECT_EQ(map_call_end(ended(Code::kCancelled, true)).outcome, Outcome::kReset);
  EXPECT_EQ(map_call_end(ended(Code::kDeadlineExceeded, true)).outcome, Outcome::kTimeout);
  EXPECT_EQ(map_call_end(ended(Code::kInternal, true)).outcome, Outcome::kError);
  const rpc::Status told = make_error(Code::kResourceExhausted, "draining", kNodeDomain, kNotAdmitted);
  EXPECT_EQ(map_call_end(ended(Code::kResourceExhausted, true, told)).outcome, Outcome::kOverloaded);
  const rpc::Status other = make_error(Code::kResourceExhausted, "draining", "some.proxy", kNotAdmitted);
  EXPECT_EQ(map_call_end(ended(Code::kResourceExhausted, true, other)).outcome, Outcome::kError);
  EXPECT_TRUE(map_call_end(ended(Code::kInvalidArgument, true)).is_statement_error);
  EXPECT_FALSE(map_call_end(ended(Code::kInternal, true)).is_statement_error);
}

TEST(FinalAnswers, LeaveBeforeTheClientsTimeIsUp) {
  EXPECT_EQ(due_after(1'000'000, 25'000), 975'000);
  EXPECT_EQ(due_after(30'000, 25'000), 15'000);
  EXPECT_EQ(due_after(0, 25'000), 0);
  EXPECT_EQ(due_after(2'500, 25'000), 0) << "spent on the way back, so it is answered at once";
  EXPECT_EQ(due_after(2'600, 25'000), 1'300);
}

TEST(FinalAnswers, PromiseOnlyWhatIsTrue) {
  dispatch::FinalResponse refused{
      RequestStatus::kRejected, CompletionReason::kPolicyDecision, 250'500, 1, {}};
  const ClientEnd r = map_final_answer(refused);
  EXPECT_EQ(r.status.code, rpc::Code::kUnavailable);
  EXPECT_EQ(read_details(r.status).retry_after_us, 250'500);
  EXPECT_EQ(read_details(r.status).reason, "DECIDED");
  EXPECT_EQ(rpc::find_value(r.trailers, kPushbackKey), "251");
  refused.retry_after_us = 0;
  EXPECT_FALSE(read_details(map_final_answer(refused).status).retry_after_us);
  EXPECT_EQ(rpc::find_value(map_final_answer(refused).trailers, kPushbackKey), "");
  const dispatch::FinalResponse failed{
      RequestStatus::kFailed, CompletionReason::kPolicyDecision, 0, 2, {13, "disk on fire"}};
  const ClientEnd f = map_final_answer(failed);
  EXPECT_EQ(f.status.code, rpc::Code::kUnknown);
  EXPECT_NE(f.status.message.find("disk on fire"), std::string::npos);
  const dispatch::FinalResponse wrong{
      RequestStatus::kFailed, CompletionReason::kStatementError, 0, 1, {3, "no such column"}};
  EXPECT_EQ(map_final_answer(wrong).status.code, rpc::Code::kInvalidArgument);
  EXPECT_EQ(map_final_answer(wrong).status.message, "no such column");
  EXPECT_TRUE(map_final_answer({}).status.ok());
}

TEST(Catalog, TablesAreFilteredAndSorted) {
  const std::vector<config::Table> all = {
      {"c", "main", "photo", 1}, {"c", "main", "gallery", 2}, {"d", "old", "gone", 3}};
  fsql::CommandGetTables command;
  command.set_db_schema_filter_pattern("ma%");
  const ResultTable t = tables(all, command);
  ASSERT_EQ(t.batch.rows, 2);
  EXPECT_EQ(t.batch.columns[2].bytes_at(0), "gallery");
  EXPECT_EQ(t.schema.fields.size(), 4u);
  command.set_include_schema(true);
  EXPECT_EQ(tables(all, command).schema.fields.size(), 5u);
  command.add_table_types("VIEW");
  EXPECT_EQ(tables(all, command).batch.rows, 0);
  EXPECT_EQ(catalogs(all).batch.rows, 2);
  fsql::CommandGetSqlInfo info;
  info.add_info(0);
  info.add_info(424242);
  EXPECT_EQ(sql_info(info).batch.rows, 1);
}

TEST(Catalog, LikePatterns) {
  EXPECT_TRUE(like("gallery", "gal%"));
  EXPECT_TRUE(like("gallery", "%l_ery"));
  EXPECT_TRUE(like("", "%"));
  EXPECT_FALSE(like("gallery", "gal"));
  EXPECT_FALSE(like("gallery", "_"));
}

}  // namespace
}  // namespace sablelink::flightsql
