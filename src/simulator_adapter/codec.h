// The simulator's wire: frames to events of the gateway interface, actions to replies. No decisions here.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "workload/events.h"
#include "workload/types.h"
#include "workload/workload_manager.h"

namespace sablelink::simulator_adapter {

struct ProtocolError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr size_t kHeaderBytes = 12;  // clock and length; the record count is part of the counted length

struct BatchHeader {
  TimeUs now = 0;
  uint32_t body_bytes = 0;  // count and records
};
BatchHeader read_header(std::string_view bytes);

// Little-endian reader over one frame's body; throws WireError where the frame ends too early.
class FrameReader {
 public:
  explicit FrameReader(std::string_view bytes) : rest_(bytes) {}
  bool empty() const { return rest_.empty(); }
  uint8_t u8() { return static_cast<uint8_t>(whole(1)); }
  uint16_t u16() { return static_cast<uint16_t>(whole(2)); }
  uint32_t u32() { return static_cast<uint32_t>(whole(4)); }
  uint64_t u64() { return whole(8); }
  float f32();
  EngineId engine();
  std::string_view bytes(size_t n);

 private:
  uint64_t whole(int width);
  std::string_view rest_;
};

enum class EventCode : uint8_t {
  kOpenInstance = 1,
  kMembership = 2,
  kRequest = 3,
  kAckFirst = 4,
  kReturned = 5,
  kLeft = 6,
  kWakeup = 7,
  kProbed = 8,
  kHeard = 9,
  kKill = 10,
  kHintUpdate = 11,
  kLedger = 12,
  kSwitchTo = 13,
};

std::vector<Endpoint> read_entries(FrameReader& in);
QueryRequest read_request(FrameReader& in);
// tells_cost says whether the Stats value carries anything; fields names the report's values in order.
AttemptCompletion read_attempt_end(FrameReader& in, bool tells_cost, const std::vector<std::string>& fields);
ProgressUpdate read_progress(FrameReader& in);
Outcome read_outcome(FrameReader& in);
std::optional<LoadReport> read_report(FrameReader& in, const std::vector<std::string>& fields);

// Collects the actions of one reply, putting a context record wherever the acting instance changes.
class FrameWriter : public WorkloadManagerDelegate {
 public:
  void act_for(uint16_t instance) { instance_ = instance; }
  std::string take_frame();  // the finished reply; the writer is empty again

  void set_execution_hints(RequestId id, int priority, double grant_mb) override;
  void send_attempt(RequestId id, EngineId engine, TimeUs timeout_us) override;
  void cancel_attempt(RequestId id, int attempt) override;
  void reject(RequestId id, TimeUs retry_after_us) override;
  void fail(RequestId id) override;
  void set_timer(TimeUs delay_us, uint32_t token) override;
  void watch_endpoints(bool on) override;
  void fetch_endpoints() override;
  void check_health(EngineId engine) override;
  void close_idle_connections(EngineId engine) override;
  void send_gossip(uint32_t peer, std::string_view bytes) override;
  void log(std::string_view line) override;

 private:
  void start(uint8_t code);
  void put(uint64_t value, int width);
  void put_engine(EngineId engine);
  void put_text(std::string_view text);

  std::string body_;
  uint16_t instance_ = 0;
  int written_for_ = -1;
};

}  // namespace sablelink::simulator_adapter
