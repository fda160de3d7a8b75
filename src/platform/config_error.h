// Error type for the platform's configuration and messages.
#pragma once

#include "workload/error.h"

namespace sablelink::platform {

/// Invalid JSON from the platform. The message contains the key and the reason.
class ConfigError : public Error {
 public:
  using Error::Error;
};

}  // namespace sablelink::platform
