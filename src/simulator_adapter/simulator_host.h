// Hosts one Gateway for each instance that the simulator runs in this process.
#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "simulator_adapter/codec.h"
#include "workload/events.h"
#include "workload/types.h"
#include "workload/workload_manager.h"

namespace sablelink::simulator_adapter {

class SimulatorHost {
 public:
  // Handles one batch (the body after its header) and returns the reply frame. Throws WireError.
  std::string handle(TimeUs now, std::string_view body);

 private:
  struct Instance {
    WorkloadManager gateway;
    bool tells_cost;
    std::vector<std::string> fields;
  };

  void handle_record(TimeUs now, EventCode code, FrameReader& in);
  void open(TimeUs now, FrameReader& in);
  Instance* current();

  std::map<uint16_t, Instance> instances_;
  std::array<std::vector<Endpoint>, 16> ledgers_;
  FrameWriter reply_;
  int who_ = -1;
};

}  // namespace sablelink::simulator_adapter
