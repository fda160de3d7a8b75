// Tests of the codec with the byte examples of the wire's description and with malformed input.
#include "simulator_adapter/codec.h"

#include <gtest/gtest.h>

#include "simulator_adapter/simulator_host.h"

namespace sablelink::simulator_adapter {
namespace {

std::string from_hex(const std::string& hex) {
  std::string out;
  int digit = -1;
  for (const char c : hex) {
    if (c == ' ' || c == '\n') continue;
    const int value = c <= '9' ? c - '0' : c - 'a' + 10;
    if (digit < 0) {
      digit = value;
    } else {
      out += static_cast<char>(digit << 4 | value);
      digit = -1;
    }
  }
  return out;
}

constexpr EngineId kEngine = 0x0a124a07138bull;

TEST(Codec, BatchHeader_ExampleBytes_IsRead) {
  const BatchHeader header = read_batch_header(from_hex("5a5c800000000000 3a000000"));
  EXPECT_EQ(header.now, 0x805c5a);
  EXPECT_EQ(header.body_bytes, 0x3au);
}

TEST(Codec, Request_ExampleBytes_IsRead) {
  const std::string bytes =
      from_hex("c4913a5d 0000 0000 640ad2557c3bf091 da05840000000000 e02e0000 0000c043 00003041 01");
  FrameReader in(bytes);
  const QueryRequest request = read_request(in);
  EXPECT_TRUE(in.empty());
  EXPECT_EQ(request.id, 0x5d3a91c4u);
  EXPECT_EQ(request.class_index, 0);
  EXPECT_EQ(request.key, 0x91f03b7c55d20a64ull);
  EXPECT_EQ(request.deadline, 0x8405da);
  EXPECT_DOUBLE_EQ(request.estimated_cost_us.value(), 12000);
  EXPECT_DOUBLE_EQ(request.estimated_memory_mb, 384);
  EXPECT_EQ(request.table_group, 11);
  EXPECT_FALSE(request.is_client_retry);
}

TEST(Codec, AttemptCompletion_WithCostAndLoadReport_IsRead) {
  const std::string bytes =
      from_hex("c4913a5d 00 0a124a07 8b13 6400 44480000 01 60100100 04 0000e040 00004040 cdcccc3e 0000a03f");
  FrameReader in(bytes);
  const AttemptCompletion completion = read_attempt_completion(in, true, {"concurrent", "depth", "x0", "x1"});
  EXPECT_TRUE(in.empty());
  EXPECT_EQ(completion.engine, kEngine);
  EXPECT_EQ(completion.outcome, Outcome::kOk);
  EXPECT_EQ(completion.duration_us, 18500);
  EXPECT_TRUE(completion.request_finished);
  EXPECT_DOUBLE_EQ(completion.work_us.value(), 17000);
  EXPECT_DOUBLE_EQ(completion.memory_used_mb.value(), 384);
  EXPECT_DOUBLE_EQ(completion.load_report->in_flight.value(), 7);
  EXPECT_DOUBLE_EQ(completion.load_report->waiting_for_memory.value(), 3);
  EXPECT_NEAR(completion.load_report->memory_utilization.value(), 0.4, 1e-6);
  EXPECT_FALSE(completion.load_report->cpu_utilization.has_value());
}

TEST(Codec, ProgressUpdate_ExampleBytes_IsRead) {
  const std::string bytes = from_hex("c4913a5d 00 0a124a07 8b13 01 0000003f");
  FrameReader in(bytes);
  const ProgressUpdate update = read_progress(in);
  EXPECT_EQ(update.kind, ProgressKind::kProgress);
  EXPECT_EQ(update.engine, kEngine);
  EXPECT_DOUBLE_EQ(update.value, 0.5);
}

TEST(Codec, EndpointList_ExampleBytes_IsRead) {
  const std::string bytes = from_hex(
      "02000000 0000 01 0a124a07 8b13 0000803f 0000 0000000000000000 0000 "
      "0000 01 0a9011f2 b413 0000c03f 0100 20145d0000000000 0000");
  FrameReader in(bytes);
  const auto entries = read_endpoints(in);
  ASSERT_EQ(entries.size(), 2u);
  EXPECT_EQ(entries[0].engine, kEngine);
  EXPECT_EQ(entries[0].started_at, 0);
  EXPECT_DOUBLE_EQ(entries[1].size, 1.5);
  EXPECT_EQ(entries[1].zone, 1);
  EXPECT_EQ(entries[1].started_at, 0x5d1420);
}

TEST(FrameWriter, ActionsOfTwoInstances_HaveAContextRecordPerInstance) {
  FrameWriter out;
  out.select_instance(3);
  out.send_attempt(0x5d3a91c4, kEngine, 0x013880);
  out.set_timer(0x07a120, 0x4d);
  out.select_instance(5);
  out.log("two servers known");
  EXPECT_EQ(out.take_frame(), from_hex("32000000 06 0300 03 c4913a5d 0a124a07 8b13 80380100 "
                                       "09 20a10700 4d000000 06 0500 "
                                       "0a 1100 74776f2073657276657273206b6e6f776e"));
  EXPECT_EQ(out.take_frame(), from_hex("00000000"));
}

TEST(FrameWriter, ExecutionHintsAndGossip_MatchExampleBytes) {
  FrameWriter out;
  out.select_instance(3);
  out.set_execution_hints(0x5d3a91c4, 2, 640);
  out.send_gossip(kAllGateways, "h i7");
  EXPECT_EQ(out.take_frame(), from_hex("18000000 06 0300 02 c4913a5d 02 00002044 0e ffffffff 0400 68206937"));
}

// Returns two records, which select instance 3 and start it with the settings.
std::string instance_started(const std::string& settings) {
  std::string out = from_hex("0d 0300 01 0100000000000000");
  const size_t n = settings.size();
  for (int i = 0; i < 4; ++i) out += static_cast<char>(n >> (8 * i) & 0xff);
  return out + settings;
}

const char kSettings[] = "Services.count=1\nServices.0.AimUs=1000000\nServices.0.DeadlineUs=5000000\n";

TEST(SimulatorHost, InstanceStartedWithSettings_SendsARequest) {
  SimulatorHost host;
  const std::string reply = host.handle_batch(
      0x805c5a, from_hex("04000000") + instance_started(kSettings) +
                    from_hex("0c 00 01000000 0000 01 0a124a07 8b13 0000803f 0000 0000000000000000 0000 "
                             "02 00 29000000 02"));
  EXPECT_GT(reply.size(), 4u);
  const std::string sent = host.handle_batch(
      0x805c5f, from_hex("02000000 0d 0300 03 c4913a5d 0000 0000 0000000000000000 da05a40000000000 "
                         "e02e0000 0000c043 00003041 01"));
  EXPECT_NE(sent.find(from_hex("03 c4913a5d 0a124a07 8b13")), std::string::npos);
}

TEST(SimulatorHost, EventsOfATerminatedInstance_AreSkipped) {
  SimulatorHost host;
  host.handle_batch(1, from_hex("03000000") + instance_started(kSettings) + from_hex("0a"));
  EXPECT_EQ(host.handle_batch(2, from_hex("02000000 0d 0300 07 01000000")), from_hex("00000000"));
}

TEST(SimulatorHost, MalformedInput_ThrowsProtocolError) {
  SimulatorHost host;
  EXPECT_THROW(host.handle_batch(1, from_hex("01000000 0d 03")), ProtocolError) << "truncated";
  EXPECT_THROW(host.handle_batch(1, from_hex("01000000 0d 0300 ff")), ProtocolError) << "too long";
  EXPECT_THROW(host.handle_batch(1, from_hex("02000000 0d 0300 63")), ProtocolError) << "unknown code";
  EXPECT_THROW(host.handle_batch(1, from_hex("01000000 07 01000000")), ProtocolError)
      << "no instance selected";
  EXPECT_THROW(host.handle_batch(1, from_hex("01000000 0c 10 00000000")), ProtocolError)
      << "ledger out of range";
  EXPECT_THROW(host.handle_batch(1, from_hex("01000000 0c 00 ffffffff")), ProtocolError) << "entries missing";
  EXPECT_THROW(read_batch_header(from_hex("5a5c800000000000 03000000")), ProtocolError);
}

}  // namespace
}  // namespace sablelink::simulator_adapter
