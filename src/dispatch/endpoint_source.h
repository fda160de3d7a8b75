// Interface through which the dispatcher requests the endpoint list.
#pragma once

namespace sablelink::dispatch {

/// Delivers endpoint lists by RequestDispatcher::on_endpoints_changed, on the dispatcher's strand and never
/// within a call of this interface.
class EndpointSource {
 public:
  virtual ~EndpointSource() = default;
  /// Starts or stops the delivery of every change. Starting delivers the current list first.
  virtual void watch(bool enabled) = 0;
  /// Delivers the current list once.
  virtual void fetch() = 0;
};

}  // namespace sablelink::dispatch
