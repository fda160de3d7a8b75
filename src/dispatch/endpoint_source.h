// Interface through which the dispatcher asks for the list of endpoints.
#pragma once

namespace sablelink::dispatch {

// Where the list of nodes comes from; answers reach Carrier::set_list.
class EndpointSource {
 public:
  virtual ~EndpointSource() = default;
  virtual void watch(bool on) = 0;
  virtual void fetch() = 0;
};

}  // namespace sablelink::dispatch
