// Small helpers around the Flight messages that front, node client, client and stand-in share.
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

// A command as Flight SQL wraps it.
template <typename Command>
std::string pack(const Command& command) {
  google::protobuf::Any any;
  any.PackFrom(command);
  return any.SerializeAsString();
}

inline std::string flight_data(const arrowipc::Message& message) {
  flight::FlightData data;
  data.set_data_header(message.header);
  data.set_data_body(message.body);
  return data.SerializeAsString();
}

// A descriptor for a command.
template <typename Command>
flight::FlightDescriptor descriptor_of(const Command& command) {
  flight::FlightDescriptor out;
  out.set_type(flight::FlightDescriptor::CMD);
  out.set_cmd(pack(command));
  return out;
}

// "type.googleapis.com/a.b.Name" to "Name".
inline std::string short_type(std::string_view url) {
  const size_t dot = url.find_last_of("./");
  return std::string(dot == std::string_view::npos ? url : url.substr(dot + 1));
}

}  // namespace sablelink::flightsql
