#include "codec.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

#include "settings.h"

namespace sablelink::benchlink {
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
  WireReader in(bytes);
  BatchHeader header;
  header.now = static_cast<TimeUs>(in.u64());
  header.body_bytes = in.u32();
  if (header.body_bytes < 4) throw WireError("wire: batch length leaves no room for the record count");
  return header;
}

uint64_t WireReader::whole(int width) {
  const std::string_view part = bytes(width);
  uint64_t value = 0;
  for (int i = width - 1; i >= 0; --i) value = value << 8 | static_cast<uint8_t>(part[i]);
  return value;
}

float WireReader::f32() { return std::bit_cast<float>(u32()); }

EngineId WireReader::engine() {
  EngineId id = 0;
  for (int i = 0; i < 4; ++i) id = id << 8 | u8();
  return id << 16 | u16();
}

std::string_view WireReader::bytes(size_t n) {
  if (rest_.size() < n) throw WireError("wire: truncated record");
  const std::string_view part = rest_.substr(0, n);
  rest_.remove_prefix(n);
  return part;
}

std::vector<EngineEntry> read_entries(WireReader& in) {
  const uint32_t n = in.u32();
  WireReader lines(in.bytes(size_t{n} * kEntryBytes));
  std::vector<EngineEntry> entries(n);
  for (EngineEntry& e : entries) {
    e.cell = lines.u16();
    const uint8_t state = lines.u8();
    if (state > 2) throw WireError(unknown("engine state", state));
    e.state = state == 1 ? EngineState::kReady : state == 2 ? EngineState::kDraining : EngineState::kGone;
    e.engine = lines.engine();
    e.size = lines.f32();
    e.zone = lines.u16();
    e.started_us = static_cast<TimeUs>(lines.u64());
    e.kind = lines.u16();
  }
  return entries;
}

QueryRequest read_request(WireReader& in) {
  QueryRequest r;
  r.id = in.u32();
  r.cls = in.u16();
  r.tenant = in.u16();
  r.key = in.u64();
  r.due_us = static_cast<TimeUs>(in.u64());
  const uint32_t cost = in.u32();
  const float need = in.f32();
  const float group = in.f32();
  const uint8_t opts = in.u8();
  if ((opts & kHasCost) != 0) r.cost_us = cost;
  r.need_mb = std::isfinite(need) ? need : 0;
  r.table_group = std::isfinite(group) && std::abs(group) < 1e9f ? std::lround(group) : -1;
  r.client_repeat = (opts & kClientRepeat) != 0;
  r.write = (opts & kWrites) != 0;
  return r;
}

Outcome read_outcome(WireReader& in) {
  const uint16_t code = in.u16();
  switch (code) {
    case 100:
      return Outcome::kOk;
    case 301:
      return Outcome::kError;
    case 302:
      return Outcome::kFull;
    case 303:
      return Outcome::kTimeout;
    case 304:
      return Outcome::kConnectFailed;
    case 305:
      return Outcome::kReset;
    case 306:
      return Outcome::kCancelled;
    case 307:
      return Outcome::kMoot;
    default:
      throw WireError(unknown("outcome", code));
  }
}

std::optional<LoadReport> read_report(WireReader& in, const std::vector<std::string>& fields) {
  const uint8_t n = in.u8();
  if (n == 0) return std::nullopt;
  LoadReport report;
  for (int i = 0; i < n; ++i) {
    const float value = in.f32();
    if (i >= static_cast<int>(fields.size()) || !std::isfinite(value)) continue;
    set_report_value(report, fields[i], value);
  }
  return report;
}

AttemptEnd read_attempt_end(WireReader& in, bool tells_cost, const std::vector<std::string>& fields) {
  AttemptEnd end;
  end.id = in.u32();
  end.attempt = in.u8();
  end.engine = in.engine();
  end.outcome = read_outcome(in);
  end.took_us = in.u32();
  end.request_over = in.u8() != 0;
  const uint32_t stats = in.u32();
  if (tells_cost && end.outcome == Outcome::kOk && stats != 0) {
    end.work_us = static_cast<double>(stats >> kWorkShift) * 1000;
    end.used_mb = (stats & ((1u << kWorkShift) - 1)) * kMemoryUnitMb;
  }
  end.report = read_report(in, fields);
  return end;
}

ProgressNote read_progress(WireReader& in) {
  ProgressNote note;
  note.id = in.u32();
  note.attempt = in.u8();
  note.engine = in.engine();
  const uint8_t kind = in.u8();
  if (kind < 1 || kind > 3) throw WireError(unknown("kind of note", kind));
  note.kind = kind == 1 ? NoteKind::kProgress : kind == 2 ? NoteKind::kSpill : NoteKind::kWait;
  note.value = in.f32();
  return note;
}

std::string ReplyWriter::take_frame() {
  std::string records;
  records.swap(body_);
  written_for_ = -1;
  put(records.size(), 4);
  std::string frame;
  frame.swap(body_);
  return frame + records;
}

void ReplyWriter::start(uint8_t code) {
  if (written_for_ != instance_) {
    put(6, 1);
    put(instance_, 2);
    written_for_ = instance_;
  }
  put(code, 1);
}

void ReplyWriter::put(uint64_t value, int width) {
  for (int i = 0; i < width; ++i) body_ += static_cast<char>(value >> (8 * i) & 0xff);
}

void ReplyWriter::put_engine(EngineId engine) {
  for (int i = 5; i >= 2; --i) put(engine >> (8 * i), 1);
  put(engine & 0xffff, 2);
}

void ReplyWriter::put_text(std::string_view text) {
  text = text.substr(0, kMaxText);
  put(text.size(), 2);
  body_ += text;
}

void ReplyWriter::set_terms(RequestId id, int priority, double grant_mb) {
  start(2);
  put(id, 4);
  put(priority, 1);
  put(std::bit_cast<uint32_t>(static_cast<float>(grant_mb)), 4);
}

void ReplyWriter::send(RequestId id, EngineId engine, TimeUs timeout_us) {
  start(3);
  put(id, 4);
  put_engine(engine);
  put(clamp_u32(timeout_us), 4);
}

void ReplyWriter::cancel(RequestId id, int attempt) {
  start(11);
  put(id, 4);
  put(attempt, 1);
}

void ReplyWriter::refuse(RequestId id, TimeUs retry_after_us) {
  start(5);
  put(id, 4);
  put(clamp_u32(retry_after_us), 4);
}

void ReplyWriter::fail(RequestId id) {
  start(4);
  put(id, 4);
}

void ReplyWriter::set_timer(TimeUs delay_us, uint32_t token) {
  start(9);
  put(clamp_u32(delay_us), 4);
  put(token, 4);
}

void ReplyWriter::subscribe(bool on) {
  start(1);
  put(on ? 1 : 0, 1);
}

void ReplyWriter::fetch_list() { start(8); }

void ReplyWriter::probe(EngineId engine) {
  start(7);
  put_engine(engine);
}

void ReplyWriter::close_idle(EngineId engine) {
  start(13);
  put_engine(engine);
}

void ReplyWriter::tell_peer(uint32_t peer, std::string_view bytes) {
  start(14);
  put(peer, 4);
  put_text(bytes);
}

void ReplyWriter::log(std::string_view line) {
  start(10);
  put_text(line);
}

}  // namespace sablelink::benchlink
