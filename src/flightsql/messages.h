// Helpers for Flight messages, shared by the server, the engine client, the client and the stand-in.
#pragma once

#include <google/protobuf/any.pb.h>

#include <string>
#include <string_view>

#include "arrowipc/array.h"
#include "arrowipc/ipc.h"
#include "flight.pb.h"
#include "flight_sql.pb.h"

namespace sablelink::flightsql {

namespace flight = arrow::flight::protocol;
namespace fsql = arrow::flight::protocol::sql;

// Serialises a command wrapped in a google.protobuf.Any, as Flight SQL requires.
template <typename Command>
std::string pack(const Command& command) {
  google::protobuf::Any any;
  any.PackFrom(command);
  return any.SerializeAsString();
}

inline std::string encode_flight_data(const arrowipc::Message& message) {
  flight::FlightData data;
  data.set_data_header(message.header);
  data.set_data_body(message.body);
  return data.SerializeAsString();
}

// Returns a FlightDescriptor of type CMD that contains the command.
template <typename Command>
flight::FlightDescriptor descriptor_of(const Command& command) {
  flight::FlightDescriptor descriptor;
  descriptor.set_type(flight::FlightDescriptor::CMD);
  descriptor.set_cmd(pack(command));
  return descriptor;
}

// Returns the last part of a type URL: "Name" for "type.googleapis.com/a.b.Name".
inline std::string unqualified_type_name(std::string_view url) {
  const size_t dot = url.find_last_of("./");
  return std::string(dot == std::string_view::npos ? url : url.substr(dot + 1));
}

}  // namespace sablelink::flightsql
