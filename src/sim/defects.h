// Deliberate defects for the proof that the simulation finds them: stands between a gateway's parts and
// spoils what passes, or what the gateway is told. Without a defect everything passes untouched.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "config/gateway_config.h"
#include "dispatch/engine_transport.h"
#include "rpc/rpc.h"
#include "service/gateway_core.h"
#include "sim/run.h"
#include "sim/world.h"

namespace sablelink::sim {

// For one life of one gateway.
class DefectiveParts {
 public:
  DefectiveParts(Defect defect, Actor& actor);
  ~DefectiveParts();

  void spoil(config::GatewayConfig* config) const;
  void spoil(std::vector<config::EngineConfig>* list) const;
  Clock& clock();
  service::TransportDecorator decorate_transport() const;
  std::shared_ptr<rpc::ServerCall> wrap_call(std::shared_ptr<rpc::ServerCall> call);
  service::DispatcherFactory make_dispatcher() const;

 private:
  class LosingClock;
  class SpoiltCall;
  struct Earlier;

  const Defect defect_;
  Actor& actor_;
  std::unique_ptr<LosingClock> losing_;
  uint64_t calls_ = 0;
  const std::shared_ptr<Earlier> earlier_;
};

}  // namespace sablelink::sim
