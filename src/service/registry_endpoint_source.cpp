#include "service/registry_endpoint_source.h"

#include <utility>

namespace sablelink::service {

RegistryEndpointSource::RegistryEndpointSource(const membership::EndpointRegistry& registry,
                                               Scheduler schedule)
    : registry_(registry), schedule_(std::move(schedule)) {}

void RegistryEndpointSource::watch(bool enabled) {
  if (enabled) fetch();
}

void RegistryEndpointSource::fetch() {
  schedule_([source = weak_factory_.get_weak_ptr()] {
    if (source) source->deliver();
  });
}

void RegistryEndpointSource::deliver() {
  dispatcher_->on_endpoints_changed(EndpointUpdateKind::kFull, registry_.endpoints());
}

}  // namespace sablelink::service
