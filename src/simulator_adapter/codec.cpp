#include "simulator_adapter/codec.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <utility>

#include "workload/settings_parser.h"

namespace sablelink::simulator_adapter {
namespace {

constexpr size_t kEndpointBytes = 25;
constexpr size_t kMaxTextBytes = 65535;

// The table group is sent as a float; values from this on aren't valid group numbers and are ignored.
constexpr float kMaxTableGroup = 1e9f;

// Bits of a request's Opts field.
constexpr uint8_t kHasCostEstimate = 1;
constexpr uint8_t kIsClientRetry = 2;
constexpr uint8_t kIsWrite = 4;

// The Stats field holds the memory in its low bits and the work in milliseconds in the bits above them.
constexpr int kStatsMemoryBits = 12;
constexpr uint32_t kStatsMemoryMask = (1u << kStatsMemoryBits) - 1;
constexpr double kStatsMemoryUnitMb = 4;
constexpr double kUsPerMs = 1000;

enum class WireEndpointState : uint8_t { kGone = 0, kReady = 1, kDraining = 2 };

enum class WireEndpointUpdateKind : uint8_t { kDelta = 0, kFull = 1, kCached = 2, kFailed = 3 };

enum class WireProgressKind : uint8_t { kProgress = 1, kSpill = 2, kWaiting = 3 };

enum class WireOutcome : uint16_t {
  kOk = 100,
  kError = 301,
  kOverloaded = 302,
  kTimeout = 303,
  kConnectFailed = 304,
  kReset = 305,
  kCancelled = 306,
  kSuperseded = 307,
};

uint32_t clamp_u32(TimeUs value) {
  return static_cast<uint32_t>(std::clamp<TimeUs>(value, 0, std::numeric_limits<uint32_t>::max()));
}

ProtocolError unknown_value(const char* what, int value) {
  return ProtocolError(std::string("wire: unknown ") + what + " " + std::to_string(value));
}

EndpointState read_endpoint_state(FrameReader& in) {
  const uint8_t value = in.u8();
  switch (static_cast<WireEndpointState>(value)) {
    case WireEndpointState::kGone:
      return EndpointState::kRemoved;
    case WireEndpointState::kReady:
      return EndpointState::kReady;
    case WireEndpointState::kDraining:
      return EndpointState::kDraining;
  }
  throw unknown_value("engine state", value);
}

ProgressKind read_progress_kind(FrameReader& in) {
  const uint8_t value = in.u8();
  switch (static_cast<WireProgressKind>(value)) {
    case WireProgressKind::kProgress:
      return ProgressKind::kProgress;
    case WireProgressKind::kSpill:
      return ProgressKind::kSpill;
    case WireProgressKind::kWaiting:
      return ProgressKind::kWaiting;
  }
  throw unknown_value("kind of progress update", value);
}

}  // namespace

BatchHeader read_batch_header(std::string_view bytes) {
  FrameReader in(bytes);
  BatchHeader header;
  header.now = static_cast<TimeUs>(in.u64());
  header.body_bytes = in.u32();
  if (header.body_bytes < sizeof(uint32_t)) {
    throw ProtocolError("wire: batch body is too short for the record count");
  }
  return header;
}

uint64_t FrameReader::unsigned_integer(int width_bytes) {
  const std::string_view part = bytes(width_bytes);
  uint64_t value = 0;
  for (int i = width_bytes - 1; i >= 0; --i) value = value << 8 | static_cast<uint8_t>(part[i]);
  return value;
}

float FrameReader::f32() { return std::bit_cast<float>(u32()); }

EngineId FrameReader::engine_id() {
  EngineId id = 0;
  for (int i = 0; i < 4; ++i) id = id << 8 | u8();
  return id << 16 | u16();
}

std::string_view FrameReader::bytes(size_t count) {
  if (remaining_.size() < count) throw ProtocolError("wire: truncated record");
  const std::string_view part = remaining_.substr(0, count);
  remaining_.remove_prefix(count);
  return part;
}

std::vector<Endpoint> read_endpoints(FrameReader& in) {
  const uint32_t count = in.u32();
  FrameReader entries(in.bytes(size_t{count} * kEndpointBytes));
  std::vector<Endpoint> endpoints(count);
  for (Endpoint& endpoint : endpoints) {
    endpoint.cell = entries.u16();
    endpoint.state = read_endpoint_state(entries);
    endpoint.engine = entries.engine_id();
    endpoint.size = entries.f32();
    endpoint.zone = entries.u16();
    endpoint.started_at = static_cast<TimeUs>(entries.u64());
    endpoint.engine_type = entries.u16();
  }
  return endpoints;
}

EndpointUpdateKind read_endpoint_update_kind(FrameReader& in) {
  const uint8_t value = in.u8();
  switch (static_cast<WireEndpointUpdateKind>(value)) {
    case WireEndpointUpdateKind::kDelta:
      return EndpointUpdateKind::kDelta;
    case WireEndpointUpdateKind::kFull:
      return EndpointUpdateKind::kFull;
    case WireEndpointUpdateKind::kCached:
      return EndpointUpdateKind::kCached;
    case WireEndpointUpdateKind::kFailed:
      return EndpointUpdateKind::kFailed;
  }
  throw unknown_value("kind of endpoint update", value);
}

QueryRequest read_request(FrameReader& in) {
  QueryRequest request;
  request.id = in.u32();
  request.class_index = in.u16();
  request.tenant = in.u16();
  request.key = in.u64();
  request.deadline = static_cast<TimeUs>(in.u64());
  const uint32_t estimated_cost_us = in.u32();
  const float estimated_memory_mb = in.f32();
  const float table_group = in.f32();
  const uint8_t options = in.u8();
  if ((options & kHasCostEstimate) != 0) request.estimated_cost_us = estimated_cost_us;
  if (std::isfinite(estimated_memory_mb)) request.estimated_memory_mb = estimated_memory_mb;
  if (std::isfinite(table_group) && std::abs(table_group) < kMaxTableGroup) {
    request.table_group = std::lround(table_group);
  }
  request.is_client_retry = (options & kIsClientRetry) != 0;
  request.is_write = (options & kIsWrite) != 0;
  return request;
}

Outcome read_outcome(FrameReader& in) {
  const uint16_t code = in.u16();
  switch (static_cast<WireOutcome>(code)) {
    case WireOutcome::kOk:
      return Outcome::kOk;
    case WireOutcome::kError:
      return Outcome::kError;
    case WireOutcome::kOverloaded:
      return Outcome::kOverloaded;
    case WireOutcome::kTimeout:
      return Outcome::kTimeout;
    case WireOutcome::kConnectFailed:
      return Outcome::kConnectFailed;
    case WireOutcome::kReset:
      return Outcome::kReset;
    case WireOutcome::kCancelled:
      return Outcome::kCancelled;
    case WireOutcome::kSuperseded:
      return Outcome::kSuperseded;
  }
  throw unknown_value("outcome", code);
}

std::optional<LoadReport> read_load_report(FrameReader& in,
                                           const std::vector<std::string>& load_report_fields) {
  const size_t count = in.u8();
  if (count == 0) return std::nullopt;
  LoadReport report;
  for (size_t i = 0; i < count; ++i) {
    const float value = in.f32();
    if (i >= load_report_fields.size() || !std::isfinite(value)) continue;
    set_load_report_value(report, load_report_fields[i], value);
  }
  return report;
}

AttemptCompletion read_attempt_completion(FrameReader& in, bool reports_cost,
                                          const std::vector<std::string>& load_report_fields) {
  AttemptCompletion completion;
  completion.id = in.u32();
  completion.attempt = in.u8();
  completion.engine = in.engine_id();
  completion.outcome = read_outcome(in);
  completion.duration_us = in.u32();
  completion.request_finished = in.u8() != 0;
  const uint32_t stats = in.u32();
  if (reports_cost && completion.outcome == Outcome::kOk && stats != 0) {
    completion.work_us = static_cast<double>(stats >> kStatsMemoryBits) * kUsPerMs;
    completion.memory_used_mb = (stats & kStatsMemoryMask) * kStatsMemoryUnitMb;
  }
  completion.load_report = read_load_report(in, load_report_fields);
  return completion;
}

ProgressUpdate read_progress(FrameReader& in) {
  ProgressUpdate update;
  update.id = in.u32();
  update.attempt = in.u8();
  update.engine = in.engine_id();
  update.kind = read_progress_kind(in);
  update.value = in.f32();
  return update;
}

// Codes of the records in a reply, each with its name in the wire's description.
enum class FrameWriter::ActionCode : uint8_t {
  kWatchEndpoints = 1,         // listen
  kSetExecutionHints = 2,      // terms
  kSendAttempt = 3,            // send
  kFail = 4,                   // end_failed
  kReject = 5,                 // not_now
  kSelectInstance = 6,         // context
  kCheckHealth = 7,            // poll
  kFetchEndpoints = 8,         // list_all
  kSetTimer = 9,               // notify_me
  kLog = 10,                   // trace
  kCancelAttempt = 11,         // abandon
  kCloseIdleConnections = 13,  // shut_idle
  kSendGossip = 14,            // broadcast_to
};

std::string FrameWriter::take_frame() {
  const std::string records = std::exchange(records_, {});
  context_instance_.reset();
  put(records.size(), 4);
  return std::exchange(records_, {}) + records;
}

void FrameWriter::begin_record(ActionCode code) {
  if (context_instance_ != instance_) {
    put(static_cast<uint8_t>(ActionCode::kSelectInstance), 1);
    put(instance_, 2);
    context_instance_ = instance_;
  }
  put(static_cast<uint8_t>(code), 1);
}

void FrameWriter::put(uint64_t value, int width_bytes) {
  for (int i = 0; i < width_bytes; ++i) records_ += static_cast<char>(value >> (8 * i) & 0xff);
}

void FrameWriter::put_engine(EngineId engine) {
  for (int i = 5; i >= 2; --i) put(engine >> (8 * i), 1);
  put(engine & 0xffff, 2);
}

void FrameWriter::put_text(std::string_view text) {
  text = text.substr(0, kMaxTextBytes);
  put(text.size(), 2);
  records_ += text;
}

void FrameWriter::set_execution_hints(RequestId id, int priority, double grant_mb) {
  begin_record(ActionCode::kSetExecutionHints);
  put(id, 4);
  put(priority, 1);
  put(std::bit_cast<uint32_t>(static_cast<float>(grant_mb)), 4);
}

void FrameWriter::send_attempt(RequestId id, EngineId engine, TimeUs timeout_us) {
  begin_record(ActionCode::kSendAttempt);
  put(id, 4);
  put_engine(engine);
  put(clamp_u32(timeout_us), 4);
}

void FrameWriter::cancel_attempt(RequestId id, int attempt) {
  begin_record(ActionCode::kCancelAttempt);
  put(id, 4);
  put(attempt, 1);
}

void FrameWriter::reject(RequestId id, TimeUs retry_after_us) {
  begin_record(ActionCode::kReject);
  put(id, 4);
  put(clamp_u32(retry_after_us), 4);
}

void FrameWriter::fail(RequestId id) {
  begin_record(ActionCode::kFail);
  put(id, 4);
}

void FrameWriter::set_timer(TimeUs delay_us, uint32_t token) {
  begin_record(ActionCode::kSetTimer);
  put(clamp_u32(delay_us), 4);
  put(token, 4);
}

void FrameWriter::watch_endpoints(bool on) {
  begin_record(ActionCode::kWatchEndpoints);
  put(on ? 1 : 0, 1);
}

void FrameWriter::fetch_endpoints() { begin_record(ActionCode::kFetchEndpoints); }

void FrameWriter::check_health(EngineId engine) {
  begin_record(ActionCode::kCheckHealth);
  put_engine(engine);
}

void FrameWriter::close_idle_connections(EngineId engine) {
  begin_record(ActionCode::kCloseIdleConnections);
  put_engine(engine);
}

void FrameWriter::send_gossip(uint32_t peer, std::string_view bytes) {
  begin_record(ActionCode::kSendGossip);
  put(peer, 4);
  put_text(bytes);
}

void FrameWriter::log(std::string_view line) {
  begin_record(ActionCode::kLog);
  put_text(line);
}

}  // namespace sablelink::simulator_adapter
