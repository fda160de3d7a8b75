// Errors of the addresses of connections and listeners.
#pragma once

#include "workload/error.h"

namespace sablelink::rpc {

/// An address isn't of the form "host:port" with a numeric host and a port of at most 65535.
struct AddressError : Error {
  using Error::Error;
};

/// A listener can't be opened, for example because its port is in use.
struct ListenError : Error {
  using Error::Error;
};

}  // namespace sablelink::rpc
