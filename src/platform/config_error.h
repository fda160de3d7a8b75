// The error type of the platform's configuration and messages.
#pragma once

#include "workload/error.h"

namespace sablelink::platform {

/// JSON of the platform that can't be used. The message names the key and what was expected.
class ConfigError : public Error {
 public:
  using Error::Error;
};

}  // namespace sablelink::platform
