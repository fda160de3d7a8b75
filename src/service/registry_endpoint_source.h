// Serves the dispatcher's requests for endpoints from the gateway's endpoint registry.
#pragma once

#include <functional>

#include "base/weak_ptr.h"
#include "dispatch/endpoint_source.h"
#include "dispatch/request_dispatcher.h"
#include "membership/endpoint_registry.h"

namespace sablelink::service {

/// Delivers all endpoints of the registry on request. The code that changes the registry notifies the
/// dispatcher itself, so a watch delivers the current endpoints only once.
///
/// Belongs to the dispatcher's strand. May be destroyed with deliveries pending; the registry must outlive
/// it.
class RegistryEndpointSource : public dispatch::EndpointSource {
 public:
  /// Posts a function to the dispatcher's strand; it doesn't run within the call.
  using Scheduler = std::function<void(std::function<void()>)>;

  RegistryEndpointSource(const membership::EndpointRegistry& registry, Scheduler schedule);

  /// Must be called before the dispatcher is started. The dispatcher must outlive the source.
  void set_dispatcher(dispatch::RequestDispatcher* dispatcher) { dispatcher_ = dispatcher; }

  void watch(bool enabled) override;
  void fetch() override;

 private:
  void deliver();

  const membership::EndpointRegistry& registry_;
  const Scheduler schedule_;
  dispatch::RequestDispatcher* dispatcher_ = nullptr;
  WeakPtrFactory<RegistryEndpointSource> weak_factory_{this};
};

}  // namespace sablelink::service
