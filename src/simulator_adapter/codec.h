// Codec of the simulator's binary wire format: reads batches of events and writes reply frames of actions.
// Only this codec knows the wire's names and record codes; it maps them to the workload manager's terms.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "workload/error.h"
#include "workload/events.h"
#include "workload/types.h"
#include "workload/workload_manager.h"

namespace sablelink::simulator_adapter {

/// The input violates the wire format. The connection can't be used any further.
struct ProtocolError : Error {
  using Error::Error;
};

/// Size of a batch's header: the clock (u64) and the length of the body (u32).
constexpr size_t kHeaderBytes = 12;

struct BatchHeader {
  /// The time of every event in the batch and of every action in its reply.
  TimeUs now = 0;
  /// Size of the body, which consists of the number of records (u32) and the records.
  uint32_t body_bytes = 0;
};

/// Reads the first kHeaderBytes of a batch. Throws ProtocolError if the body is too short for its record
/// count.
BatchHeader read_batch_header(std::string_view bytes);

/// Reads little-endian values from the body of one batch, which must outlive the reader and the views it
/// returns. Every read throws ProtocolError if too few bytes remain.
class FrameReader {
 public:
  explicit FrameReader(std::string_view body) : remaining_(body) {}
  bool empty() const { return remaining_.empty(); }
  uint8_t u8() { return static_cast<uint8_t>(unsigned_integer(1)); }
  uint16_t u16() { return static_cast<uint16_t>(unsigned_integer(2)); }
  uint32_t u32() { return static_cast<uint32_t>(unsigned_integer(4)); }
  uint64_t u64() { return unsigned_integer(8); }
  float f32();
  /// Reads an engine's address and port as one opaque value: the four bytes of the address in the high bits,
  /// the port in the low 16.
  EngineId engine_id();
  std::string_view bytes(size_t count);

 private:
  uint64_t unsigned_integer(int width_bytes);
  std::string_view remaining_;
};

/// Codes of the records in a batch, each with its name in the wire's description. Actions have separate
/// codes.
enum class EventCode : uint8_t {
  kInstanceStarted = 1,          // open_instance
  kEndpointsChanged = 2,         // membership
  kRequest = 3,                  // req
  kResponseStarted = 4,          // ack_first
  kAttemptCompleted = 5,         // returned
  kClientDisconnected = 6,       // left
  kTimer = 7,                    // wakeup
  kHealthCheckCompleted = 8,     // probed
  kGossip = 9,                   // heard
  kInstanceTerminated = 10,      // kill
  kProgress = 11,                // hint_update
  kEndpointListDefinition = 12,  // ledger
  kInstanceSelected = 13,        // switch_to
};

// Each function below reads the fields of a record or of a part of one. It throws ProtocolError if they are
// incomplete or contain a value that the wire format doesn't define.

/// Reads the entries of a ledger record.
std::vector<Endpoint> read_endpoints(FrameReader& in);
/// Reads the Form field of a membership record.
EndpointUpdateKind read_endpoint_update_kind(FrameReader& in);
QueryRequest read_request(FrameReader& in);
/// reports_cost: whether the engines report the work and memory use of attempts.
/// load_report_fields: names of the values in a load report, in their order on the wire.
AttemptCompletion read_attempt_completion(FrameReader& in, bool reports_cost,
                                          const std::vector<std::string>& load_report_fields);
ProgressUpdate read_progress(FrameReader& in);
Outcome read_outcome(FrameReader& in);
/// Returns nullopt if the record has no load report. Values that aren't finite or have no name are skipped.
std::optional<LoadReport> read_load_report(FrameReader& in,
                                           const std::vector<std::string>& load_report_fields);

/// Collects the actions of all instances in one reply frame. A context record, which selects the instance,
/// precedes the first action and each action whose instance differs from the previous action's.
class FrameWriter : public WorkloadManagerDelegate {
 public:
  /// Selects the instance to which the following actions belong.
  void select_instance(uint16_t instance) { instance_ = instance; }
  /// Returns the reply with its header and leaves the writer empty.
  std::string take_frame();

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
  enum class ActionCode : uint8_t;

  void begin_record(ActionCode code);
  void put(uint64_t value, int width_bytes);
  void put_engine(EngineId engine);
  void put_text(std::string_view text);

  std::string records_;
  uint16_t instance_ = 0;
  std::optional<uint16_t> context_instance_;  // selected by the last context record of this reply
};

}  // namespace sablelink::simulator_adapter
