// The simulator's binary wire: batches of events in, reply frames of actions out. The wire's own names and
// record codes are mapped to the terms of the workload manager here alone. No decisions are made here.
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

/// The input doesn't follow the wire's format. The connection can't be continued after it.
struct ProtocolError : Error {
  using Error::Error;
};

/// Size of a batch's header: the clock (u64) and the length of the body (u32).
constexpr size_t kHeaderBytes = 12;

struct BatchHeader {
  /// The time of every event in the batch and of every action in its reply.
  TimeUs now = 0;
  /// Size of what follows the header: the number of records (u32) and the records.
  uint32_t body_bytes = 0;
};

/// Reads the first kHeaderBytes of a batch. Throws ProtocolError where the body is too short for its record
/// count.
BatchHeader read_batch_header(std::string_view bytes);

/// Reads little-endian values from the body of one batch, which must outlive the reader and the views it
/// returns. Every read throws ProtocolError where the body ends too early.
class FrameReader {
 public:
  explicit FrameReader(std::string_view body) : remaining_(body) {}
  bool empty() const { return remaining_.empty(); }
  uint8_t u8() { return static_cast<uint8_t>(unsigned_integer(1)); }
  uint16_t u16() { return static_cast<uint16_t>(unsigned_integer(2)); }
  uint32_t u32() { return static_cast<uint32_t>(unsigned_integer(4)); }
  uint64_t u64() { return unsigned_integer(8); }
  float f32();
  /// An engine's address and port as one opaque value: the four bytes of the address come first, the port
  /// last.
  EngineId engine_id();
  std::string_view bytes(size_t count);

 private:
  uint64_t unsigned_integer(int width_bytes);
  std::string_view remaining_;
};

/// Codes of the records in a batch; beside each the wire's name. Actions have codes of their own.
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

// Each function below reads the fields of one record, or of one part of it, and throws ProtocolError where
// they are incomplete or hold a value that the wire doesn't define.

/// The entries of a ledger record.
std::vector<Endpoint> read_endpoints(FrameReader& in);
/// The Form field of a membership record.
EndpointUpdateKind read_endpoint_update_kind(FrameReader& in);
QueryRequest read_request(FrameReader& in);
/// reports_cost: whether the site's engines report the work and memory that an attempt took.
/// load_report_fields: names of the values in a load report, in their order on the wire.
AttemptCompletion read_attempt_completion(FrameReader& in, bool reports_cost,
                                          const std::vector<std::string>& load_report_fields);
ProgressUpdate read_progress(FrameReader& in);
Outcome read_outcome(FrameReader& in);
/// None where the record carries no report. Values that aren't finite, or have no name, are skipped.
std::optional<LoadReport> read_load_report(FrameReader& in,
                                           const std::vector<std::string>& load_report_fields);

/// Collects the actions of all instances into one reply frame. A context record precedes the first action of
/// an instance and each action that follows one of another instance.
class FrameWriter : public WorkloadManagerDelegate {
 public:
  /// The instance that the following actions belong to.
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
  std::optional<uint16_t> context_instance_;  // named by the last context record of this reply
};

}  // namespace sablelink::simulator_adapter
