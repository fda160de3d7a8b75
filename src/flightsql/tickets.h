// Issues and reads tickets. A ticket contains its statement, so that an issued ticket takes no memory in the
// gateway. It is valid only at the gateway that issued it, until that gateway restarts. Its checksum detects
// corruption and modification; it doesn't protect against attacks, as a client may run any other statement
// anyway.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sablelink::flightsql {

enum class TicketError { kNone, kMalformed, kOtherIncarnation, kModified };
// The error message for the client.
const char* ticket_error_message(TicketError error);

struct OpenedTicket {
  TicketError error = TicketError::kNone;
  uint64_t serial = 0;
  std::string statement;
  uint64_t announced_schema_hash = 0;  // as given to issue()
};

class TicketIssuer {
 public:
  // Both are random numbers drawn when the gateway starts. Every ticket contains incarnation; secret is never
  // sent.
  TicketIssuer(uint64_t incarnation, uint64_t secret)
      : incarnation_(incarnation), secret_(secret), used_(kTrackedTickets, false) {}

  // announced_schema_hash: hash of the result schema that the FlightInfo with the ticket contains; 0 for
  // none.
  std::string issue(std::string_view statement, uint64_t announced_schema_hash = 0);
  OpenedTicket open(std::string_view ticket) const;

  // True for the first use of a ticket. Only the latest 2^20 tickets are tracked; for older ones it is always
  // false.
  bool first_use(uint64_t serial);

 private:
  static constexpr size_t kTrackedTickets = size_t{1} << 20;

  std::array<uint64_t, 2> checksum(std::string_view body) const;

  uint64_t incarnation_, secret_;
  uint64_t last_serial_ = 0;
  std::vector<bool> used_;  // by serial modulo kTrackedTickets
};

}  // namespace sablelink::flightsql
