// Runs a workload manager for each gateway instance that the simulator starts in this process.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "simulator_adapter/codec.h"
#include "workload/events.h"
#include "workload/types.h"
#include "workload/workload_manager.h"

namespace sablelink::simulator_adapter {

/// Dispatches the records of a batch to their instances and collects the resulting actions. Not thread-safe.
class SimulatorHost {
 public:
  /// Handles one batch and returns the reply frame. now: the time in the batch's header; body: the batch
  /// without its header. Throws ProtocolError for malformed input and SettingsError for invalid settings; the
  /// host must not be used after either.
  std::string handle_batch(TimeUs now, std::string_view body);

 private:
  struct Instance {
    WorkloadManager workload_manager;
    bool engines_report_cost;
    std::vector<std::string> load_report_fields;
  };

  static constexpr size_t kEndpointLists = 16;

  void handle_record(TimeUs now, EventCode code, FrameReader& in);
  void start_instance(TimeUs now, FrameReader& in);
  void define_endpoint_list(FrameReader& in);

  // Each reads the record of one event and notifies the instance of it. If the instance isn't running, it is
  // nullptr and the record is skipped.
  void handle_event(TimeUs now, EventCode code, FrameReader& in, Instance* instance);
  void on_endpoints_changed(TimeUs now, FrameReader& in, Instance* instance);
  void on_request(TimeUs now, FrameReader& in, Instance* instance);
  void on_response_started(TimeUs now, FrameReader& in, Instance* instance);
  void on_attempt_completed(TimeUs now, FrameReader& in, Instance* instance);
  void on_client_disconnected(TimeUs now, FrameReader& in, Instance* instance);
  void on_timer(TimeUs now, FrameReader& in, Instance* instance);
  void on_health_check_completed(TimeUs now, FrameReader& in, Instance* instance);
  void on_gossip(TimeUs now, FrameReader& in, Instance* instance);
  void on_progress(TimeUs now, FrameReader& in, Instance* instance);

  // Names of the values in the instance's load reports; empty if the instance isn't running.
  static const std::vector<std::string>& load_report_fields(const Instance* instance);

  // Throws ProtocolError if the batch hasn't selected an instance yet.
  uint16_t selected_instance_id() const;
  // nullptr if the selected instance isn't running.
  Instance* selected_instance();

  std::map<uint16_t, Instance> instances_;
  std::array<std::vector<Endpoint>, kEndpointLists> endpoint_lists_;
  FrameWriter reply_;
  std::optional<uint16_t> selected_id_;  // of the current batch
};

}  // namespace sablelink::simulator_adapter
