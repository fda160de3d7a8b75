#include "rpc/rpc.h"

#include <array>

namespace sablelink::rpc {

std::string_view code_name(Code code) {
  static constexpr std::array<std::string_view, 17> kNames = {
      "OK",        "CANCELLED",       "UNKNOWN",           "INVALID_ARGUMENT",   "DEADLINE_EXCEEDED",
      "NOT_FOUND", "ALREADY_EXISTS",  "PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION",
      "ABORTED",   "OUT_OF_RANGE",    "UNIMPLEMENTED",     "INTERNAL",           "UNAVAILABLE",
      "DATA_LOSS", "UNAUTHENTICATED",
  };
  const auto index = static_cast<size_t>(code);
  return index < kNames.size() ? kNames[index] : "UNKNOWN";
}

std::string_view find_value(const Metadata& metadata, std::string_view key) {
  for (const auto& [name, value] : metadata) {
    if (name == key) return value;
  }
  return {};
}

}  // namespace sablelink::rpc
