// The parts of the Flight SQL implementation that need no connection: schema hashes, tickets, prepared
// statements, literals, load reports, call outcomes, final responses, metadata tables.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>

#include "arrowipc/ipc.h"
#include "flightsql/catalog.h"
#include "flightsql/messages.h"
#include "flightsql/prepared.h"
#include "flightsql/protocol.h"
#include "flightsql/schema_resolver.h"
#include "flightsql/tickets.h"

namespace sablelink::flightsql {
namespace {

using dispatch::CompletionReason;
using dispatch::RequestStatus;

// An engine may encode the same schema differently in a plan and in a response.
TEST(SchemaResolver, HashIsTheSameForEveryEncodingOfASchema) {
  arrowipc::Schema schema;
  schema.fields = {{"id", arrowipc::Type::kInt64, false, {}, {}, {}},
                   {"label", arrowipc::Type::kUtf8, true, {}, {}, {}}};
  const std::string plain = arrowipc::encapsulate(arrowipc::encode_schema(schema));
  std::string padded = plain + std::string(8, '\0');  // with padding, and the length field adjusted to it
  uint32_t length = 0;
  std::memcpy(&length, padded.data() + 4, 4);
  length += 8;
  std::memcpy(padded.data() + 4, &length, 4);
  EXPECT_NE(plain, padded);
  EXPECT_EQ(SchemaResolver::hash_schema(plain), SchemaResolver::hash_schema(padded));
  schema.fields[1].nullable = false;
  EXPECT_NE(SchemaResolver::hash_schema(plain),
            SchemaResolver::hash_schema(arrowipc::encapsulate(arrowipc::encode_schema(schema))));
  EXPECT_EQ(SchemaResolver::hash_schema(""), 0u);
  EXPECT_NE(SchemaResolver::hash_schema("no schema that is read here"), 0u);
}

TEST(Tickets, AreValidOnlyAtTheGatewayThatIssuedThem) {
  TicketIssuer a(1, 2);
  TicketIssuer other_incarnation(3, 2);
  const std::string ticket = a.issue("SELECT 1");
  const OpenedTicket opened = a.open(ticket);
  EXPECT_EQ(opened.error, TicketError::kNone);
  EXPECT_EQ(opened.statement, "SELECT 1");
  EXPECT_EQ(other_incarnation.open(ticket).error, TicketError::kOtherIncarnation);
  EXPECT_EQ(a.open("").error, TicketError::kMalformed);
  EXPECT_EQ(a.open("SELECT 1").error, TicketError::kMalformed);
}

RC_GTEST_PROP(Tickets, AnyModifiedByteIsDetected, (uint32_t position, uint8_t mask)) {
  TicketIssuer a(1, 2);
  std::string ticket = a.issue("SELECT 1 FROM gallery");
  RC_PRE(mask != 0);
  ticket[position % ticket.size()] = static_cast<char>(ticket[position % ticket.size()] ^ mask);
  RC_ASSERT(a.open(ticket).error != TicketError::kNone);
}

TEST(Tickets, FirstUseIsTrueOncePerTicket) {
  TicketIssuer a(1, 2);
  a.issue("x");
  a.issue("y");
  EXPECT_TRUE(a.first_use(1));
  EXPECT_FALSE(a.first_use(1));
  EXPECT_TRUE(a.first_use(2));
  for (int i = 0; i < (1 << 20) + 5; ++i) a.issue("z");
  EXPECT_FALSE(a.first_use(2));
  EXPECT_TRUE(a.first_use((1 << 20) + 2));
}

TEST(PreparedStatements, NumberAndBytesAreLimitedAndIdleStatementsRemoved) {
  PreparedStatements::Limits limits;
  limits.max_count = 2;
  limits.min_idle_us = 100;
  PreparedStatements p(limits, 1);
  const auto a = p.create(0, "SELECT 1");
  const auto b = p.create(50, "SELECT 2");
  ASSERT_TRUE(a && b);
  EXPECT_FALSE(p.create(60, "SELECT 3"));  // no statement has been idle for long enough
  EXPECT_TRUE(p.find(90, *a));
  EXPECT_TRUE(p.create(160, "SELECT 3"));  // b, the least recently used, is removed
  EXPECT_FALSE(p.find(161, *b));
  EXPECT_TRUE(p.find(161, *a));
  EXPECT_TRUE(p.close(*a));
  EXPECT_FALSE(p.close(*a));
  limits.max_bytes = 2000;
  PreparedStatements q(limits, 1);
  const auto c = q.create(0, "SELECT ?");
  EXPECT_FALSE(q.bind(1, *c, {std::string(3000, 'x')}));
  EXPECT_TRUE(q.bind(1, *c, {"1"}));
  EXPECT_EQ(q.find(1, *c)->literals, std::vector<std::string>{"1"});
  q.close(*c);
  EXPECT_EQ(q.bytes(), 0u);
}

TEST(Literals, ExistForEverySupportedType) {
  using arrowipc::ArrayBuilder;
  using arrowipc::Field;
  using arrowipc::TimeUnit;
  using arrowipc::Type;
  const auto literal = [](Type type, auto append, TimeUnit unit = TimeUnit::kMicrosecond,
                          const char* zone = "") {
    Field field;
    field.name = "p";
    field.type = type;
    field.unit = unit;
    field.timezone = zone;
    ArrayBuilder builder(field);
    append(builder);
    return to_sql_literal(field, builder.finish(), 0);
  };
  EXPECT_EQ(literal(Type::kInt64, [](auto& b) { b.integer(-5); }), "-5");
  EXPECT_EQ(literal(Type::kDouble, [](auto& b) { b.number(2); }), "2.0");
  EXPECT_EQ(literal(Type::kDouble, [](auto& b) { b.number(0.1); }), "0.10000000000000001");
  EXPECT_EQ(literal(Type::kBool, [](auto& b) { b.boolean(true); }), "TRUE");
  EXPECT_EQ(literal(Type::kUtf8, [](auto& b) { b.bytes("it's"); }), "'it''s'");
  EXPECT_EQ(literal(Type::kBinary, [](auto& b) { b.bytes(std::string("\x01\xff", 2)); }), "X'01FF'");
  EXPECT_EQ(literal(Type::kInt32, [](auto& b) { b.null(); }), "NULL");
  EXPECT_EQ(literal(Type::kTimestamp, [](auto& b) { b.integer(951'782'400'123'456); }),
            "TIMESTAMP '2000-02-29 00:00:00.123456'");
  EXPECT_EQ(literal(
                Type::kTimestamp, [](auto& b) { b.integer(-1); }, TimeUnit::kMillisecond, "UTC"),
            "TIMESTAMP '1969-12-31 23:59:59.999+00'");
  EXPECT_THROW(literal(Type::kDouble, [](auto& b) { b.number(1 / 0.0); }), arrowipc::FormatError);
}

TEST(LoadReports, AreDecodedAsEncoded) {
  NodeReport report;
  report.load.emplace();
  report.load->in_flight = 3;
  report.load->waiting_for_memory = 0;
  report.load->cpu_utilization = 0.5;
  report.load->memory_utilization = 0;
  report.load->disk_utilization = 0.25;
  report.work_us = 2000;
  report.memory_used_mb = 64;
  const NodeReport decoded = decode_load_report(encode_load_report(report));
  ASSERT_TRUE(decoded.load);
  EXPECT_EQ(decoded.load->in_flight, 3);
  EXPECT_EQ(decoded.load->waiting_for_memory, 0);
  EXPECT_EQ(decoded.load->cpu_utilization, 0.5);
  EXPECT_EQ(decoded.load->memory_utilization, 0);
  EXPECT_EQ(decoded.load->disk_utilization, 0.25);
  EXPECT_EQ(decoded.work_us, 2000);
  EXPECT_EQ(decoded.memory_used_mb, 64);
  report.load->in_flight = 1 / 0.0;
  report.load->disk_utilization = -1;
  EXPECT_FALSE(decode_load_report(encode_load_report(report)).load->in_flight);
  EXPECT_FALSE(decode_load_report(encode_load_report(report)).load->disk_utilization);
  EXPECT_FALSE(decode_load_report("no report").load);
  EXPECT_FALSE(decode_load_report("").load);
}

rpc::CallResult make_call_result(rpc::Code code, bool from_server, rpc::Status status = {}) {
  rpc::CallResult result;
  result.status = std::move(status);
  result.status.code = code;
  if (from_server) result.trailers.emplace_back("x", "y");
  return result;
}

TEST(CallOutcomes, OnlyNotAdmittedFromANodeProvesThatNothingWasExecuted) {
  using rpc::Code;
  EXPECT_EQ(map_call_end(make_call_result(Code::kOk, true)).outcome, Outcome::kOk);
  EXPECT_EQ(map_call_end(make_call_result(Code::kUnavailable, false)).outcome, Outcome::kReset);
  EXPECT_EQ(map_call_end(make_call_result(Code::kUnavailable, true)).outcome, Outcome::kError);
  EXPECT_EQ(map_call_end(make_call_result(Code::kResourceExhausted, true)).outcome, Outcome::kError);
  EXPECT_EQ(map_call_end(make_call_result(Code::kCancelled, true)).outcome, Outcome::kReset);
  EXPECT_EQ(map_call_end(make_call_result(Code::kDeadlineExceeded, true)).outcome, Outcome::kTimeout);
  EXPECT_EQ(map_call_end(make_call_result(Code::kInternal, true)).outcome, Outcome::kError);
  const rpc::Status not_admitted =
      make_error(Code::kResourceExhausted, "draining", kNodeDomain, kNotAdmitted);
  EXPECT_EQ(map_call_end(make_call_result(Code::kResourceExhausted, true, not_admitted)).outcome,
            Outcome::kOverloaded);
  const rpc::Status from_proxy = make_error(Code::kResourceExhausted, "draining", "some.proxy", kNotAdmitted);
  EXPECT_EQ(map_call_end(make_call_result(Code::kResourceExhausted, true, from_proxy)).outcome,
            Outcome::kError);
  EXPECT_TRUE(map_call_end(make_call_result(Code::kInvalidArgument, true)).is_statement_error);
  EXPECT_FALSE(map_call_end(make_call_result(Code::kInternal, true)).is_statement_error);
}

TEST(FinalResponses, AreDueBeforeTheClientsTimeout) {
  EXPECT_EQ(response_time_limit(1'000'000, 25'000), 975'000);
  EXPECT_EQ(response_time_limit(30'000, 25'000), 15'000);
  EXPECT_EQ(response_time_limit(0, 25'000), 0);
  EXPECT_EQ(response_time_limit(2'500, 25'000), 0)
      << "any response would arrive too late, so it is due at once";
  EXPECT_EQ(response_time_limit(2'600, 25'000), 1'300);
}

TEST(FinalResponses, OnlyRejectionsAllowARetry) {
  dispatch::FinalResponse rejected{
      RequestStatus::kRejected, CompletionReason::kPolicyDecision, 250'500, 1, {}};
  const ClientCallResult r = map_final_response(rejected);
  EXPECT_EQ(r.status.code, rpc::Code::kUnavailable);
  EXPECT_EQ(read_details(r.status).retry_after_us, 250'500);
  EXPECT_EQ(read_details(r.status).reason, "DECIDED");
  EXPECT_EQ(rpc::find_value(r.trailers, kRetryPushbackKey), "251");
  rejected.retry_after_us = 0;
  EXPECT_FALSE(read_details(map_final_response(rejected).status).retry_after_us);
  EXPECT_EQ(rpc::find_value(map_final_response(rejected).trailers, kRetryPushbackKey), "");
  const dispatch::FinalResponse failed{
      RequestStatus::kFailed, CompletionReason::kPolicyDecision, 0, 2, {13, "disk on fire"}};
  const ClientCallResult f = map_final_response(failed);
  EXPECT_EQ(f.status.code, rpc::Code::kUnknown);
  EXPECT_NE(f.status.message.find("disk on fire"), std::string::npos);
  const dispatch::FinalResponse wrong{
      RequestStatus::kFailed, CompletionReason::kStatementError, 0, 1, {3, "no such column"}};
  EXPECT_EQ(map_final_response(wrong).status.code, rpc::Code::kInvalidArgument);
  EXPECT_EQ(map_final_response(wrong).status.message, "no such column");
  EXPECT_TRUE(map_final_response({}).status.ok());
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

TEST(Catalog, LikePatternsAreMatched) {
  EXPECT_TRUE(matches_like("gallery", "gal%"));
  EXPECT_TRUE(matches_like("gallery", "%l_ery"));
  EXPECT_TRUE(matches_like("", "%"));
  EXPECT_FALSE(matches_like("gallery", "gal"));
  EXPECT_FALSE(matches_like("gallery", "_"));
}

}  // namespace
}  // namespace sablelink::flightsql
