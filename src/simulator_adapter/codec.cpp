#include "simulator_adapter/codec.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

#include "workload/settings_parser.h"

namespace sablelink::simulator_adapter {
namespace {

constexpr size_t kEntryBytes = 25;
constexpr uint8_t kHasCost = 1;
constexpr uint8_t kClientRepeat = 2;
constexpr uint8_t kWrites = 4;
constexpr int kWorkShift = 12;       // Stats: milliseconds of work x 4096 ...
constexpr double kMemoryUnitMb = 4;  // ... plus memory in units of 4 MB
constexpr size_t kMaxText = 65535;

uint32_t clamp_u32(TimeUs value) {
  return static_cast<uint32_t>(std::clamp<TimeUs>(value, 0, std::numeric_limits<uint32_t>::max()));
}

std::string unknown(const char* what, int value) {
  return std::string("wire: unknown ") + what + " " + std::to_string(value);
}

}  // namespace

BatchHeader read_header(std::string_view bytes) {
  FrameReader in(bytes);
  BatchHeader header;
  header.now = static_cast<TimeUs>(in.u64());
  header.body_bytes = in.u32();
  if (header.body_bytes < 4) throw ProtocolError("wire: batch length leaves no room for the record count");
  return header;
}

uint64_t FrameReader::whole(int width) {
  const std::string_view part = bytes(width);
  uint64_t value = 0;
  for (int i = width - 1; i >= 0; --i) value = value << 8 | static_cast<uint8_t>(part[i]);
  return value;
}

float FrameReader::f32() { return std::bit_cast<float>(u32()); }

EngineId FrameReader::engine() {
  EngineId id = 0;
  for (int i = 0; i < 4; ++i) id = id << 8 | u8();
  return id << 16 | u16();
}

std::string_view FrameReader::bytes(size_t n) {
  if (rest_.size() < n) throw ProtocolError("wire: truncated record");
  const std::string_view part = rest_.substr(0, n);
  rest_.remove_prefix(n);
  return part;
}

std::vector<Endpoint> read_entries(FrameReader& in) {
  const uint32_t n = in.u32();
  FrameReader lines(in.bytes(size_t{n} * kEntryBytes));
  std::vector<Endpoint> entries(n);
  for (Endpoint& e : entries) {
    e.cell = lines.u16();
    const uint8_t state = lines.u8();
    if (state > 2) throw ProtocolError(unknown("engine state", state));
    e.state = state == 1   ? EndpointState::kReady
              : state == 2 ? EndpointState::kDraining
                           : EndpointState::kRemoved;
    e.engine = lines.engine();
    e.size = lines.f32();
    e.zone = lines.u16();
    e.started_at = static_cast<TimeUs>(lines.u64());
    e.engine_type = lines.u16();
  }
  return entries;
}

QueryRequest read_request(FrameReader& in) {
  QueryRequest r;
  r.id = in.u32();
  r.class_index = in.u16();
  r.tenant = in.u16();
  r.key = in.u64();
  r.deadline = static_cast<TimeUs>(in.u64());
  const uint32_t cost = in.u32();
  const float need = in.f32();
  const float group = in.f32();
  const uint8_t opts = in.u8();
  if ((opts & kHasCost) != 0) r.estimated_cost_us = cost;
  r.estimated_memory_mb = std::isfinite(need) ? need : 0;
  r.table_group = std::isfinite(group) && std::abs(group) < 1e9f ? std::lround(group) : -1;
  r.is_client_retry = (opts & kClientRepeat) != 0;
  r.is_write = (opts & kWrites) != 0;
  return r;
}

Outcome read_outcome(FrameReader& in) {
  const uint16_t code = in.u16();
  switch (code) {
    case 100:
      return Outcome::kOk;
    case 301:
      return Outcome::kError;
    case 302:
      return Outcome::kOverloaded;
    case 303:
      return Outcome::kTimeout;
    case 304:
      return Outcome::kConnectFailed;
    case 305:
      return Outcome::kReset;
    case 306:
      return Outcome::kCancelled;
    case 307:
      return Outcome::kSuperseded;
    default:
      throw ProtocolError(unknown("outcome", code));
  }
}

std::optional<LoadReport> read_report(FrameReader& in, const std::vector<std::string>& fields) {
  const uint8_t n = in.u8();
  if (n == 0) return std::nullopt;
  LoadReport report;
  for (int i = 0; i < n; ++i) {
    const float value = in.f32();
    if (i >= static_cast<int>(fields.size()) || !std::isfinite(value)) continue;
    set_load_report_value(report, fields[i], value);
  }
  return report;
}

AttemptCompletion read_attempt_end(FrameReader& in, bool tells_cost, const std::vector<std::string>& fields) {
  AttemptCompletion end;
  end.id = in.u32();
  end.attempt = in.u8();
  end.engine = in.engine();
  end.outcome = read_outcome(in);
  end.duration_us = in.u32();
  end.request_finished = in.u8() != 0;
  const uint32_t stats = in.u32();
  if (tells_cost && end.outcome == Outcome::kOk && stats != 0) {
    end.work_us = static_cast<double>(stats >> kWorkShift) * 1000;
    end.memory_used_mb = (stats & ((1u << kWorkShift) - 1)) * kMemoryUnitMb;
  }
  end.load_report = read_report(in, fields);
  return end;
}

ProgressUpdate read_progress(FrameReader& in) {
  ProgressUpdate note;
  note.id = in.u32();
  note.attempt = in.u8();
  note.engine = in.engine();
  const uint8_t kind = in.u8();
  if (kind < 1 || kind > 3) throw ProtocolError(unknown("kind of note", kind));
  note.kind = kind == 1 ? ProgressKind::kProgress : kind == 2 ? ProgressKind::kSpill : ProgressKind::kWaiting;
  note.value = in.f32();
  return note;
}

std::string FrameWriter::take_frame() {
  std::string records;
  records.swap(body_);
  written_for_ = -1;
  put(records.size(), 4);
  std::string frame;
  frame.swap(body_);
  return frame + records;
}

void FrameWriter::start(uint8_t code) {
  if (written_for_ != instance_) {
    put(6, 1);
    put(instance_, 2);
    written_for_ = instance_;
  }
  put(code, 1);
}

void FrameWriter::put(uint64_t value, int width) {
  for (int i = 0; i < width; ++i) body_ += static_cast<char>(value >> (8 * i) & 0xff);
}

void FrameWriter::put_engine(EngineId engine) {
  for (int i = 5; i >= 2; --i) put(engine >> (8 * i), 1);
  put(engine & 0xffff, 2);
}

void FrameWriter::put_text(std::string_view text) {
  text = text.substr(0, kMaxText);
  put(text.size(), 2);
  body_ += text;
}

void FrameWriter::set_execution_hints(RequestId id, int priority, double grant_mb) {
  start(2);
  put(id, 4);
  put(priority, 1);
  put(std::bit_cast<uint32_t>(static_cast<float>(grant_mb)), 4);
}

void FrameWriter::send_attempt(RequestId id, EngineId engine, TimeUs timeout_us) {
  start(3);
  put(id, 4);
  put_engine(engine);
  put(clamp_u32(timeout_us), 4);
}

void FrameWriter::cancel_attempt(RequestId id, int attempt) {
  start(11);
  put(id, 4);
  put(attempt, 1);
}

void FrameWriter::reject(RequestId id, TimeUs retry_after_us) {
  start(5);
  put(id, 4);
  put(clamp_u32(retry_after_us), 4);
}

void FrameWriter::fail(RequestId id) {
  start(4);
  put(id, 4);
}

void FrameWriter::set_timer(TimeUs delay_us, uint32_t token) {
  start(9);
  put(clamp_u32(delay_us), 4);
  put(token, 4);
}

void FrameWriter::watch_endpoints(bool on) {
  start(1);
  put(on ? 1 : 0, 1);
}

void FrameWriter::fetch_endpoints() { start(8); }

void FrameWriter::check_health(EngineId engine) {
  start(7);
  put_engine(engine);
}

void FrameWriter::close_idle_connections(EngineId engine) {
  start(13);
  put_engine(engine);
}

void FrameWriter::send_gossip(uint32_t peer, std::string_view bytes) {
  start(14);
  put(peer, 4);
  put_text(bytes);
}

void FrameWriter::log(std::string_view line) {
  start(10);
  put_text(line);
}

}  // namespace sablelink::simulator_adapter
