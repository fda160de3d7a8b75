// Mutation testing of the simulation: wraps the parts of a gateway, or changes its configuration and node
// lists, so that one mutation of sim/run.h takes effect. Without a mutation, nothing is changed.
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

// The mutated parts of one incarnation of one gateway.
class MutatedParts {
 public:
  MutatedParts(Mutation mutation, Actor& actor);
  ~MutatedParts();

  void mutate(config::GatewayConfig* config) const;
  void mutate(std::vector<config::EngineConfig>* list) const;
  Clock& clock();
  service::TransportDecorator decorate_transport() const;
  std::shared_ptr<rpc::ServerCall> wrap_call(std::shared_ptr<rpc::ServerCall> call);
  service::DispatcherFactory make_dispatcher() const;

 private:
  class LossyClock;
  class MutatedCall;
  struct PreviousResponse;

  const Mutation mutation_;
  Actor& actor_;
  std::unique_ptr<LossyClock> lossy_clock_;
  uint64_t calls_ = 0;
  const std::shared_ptr<PreviousResponse> previous_;
};

}  // namespace sablelink::sim
