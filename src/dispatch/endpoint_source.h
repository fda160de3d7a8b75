// Interface through which the dispatcher requests the endpoint list.
#pragma once

namespace sablelink::dispatch {

/// Delivers endpoint lists to RequestDispatcher::on_endpoints_changed, on the dispatcher's strand and never
/// from within a method of this interface.
class EndpointSource {
 public:
  virtual ~EndpointSource() = default;
  /// Starts or stops watching. A watch delivers the current list first, then every change.
  virtual void watch(bool enabled) = 0;
  /// Delivers the current list once.
  virtual void fetch() = 0;
};

}  // namespace sablelink::dispatch
