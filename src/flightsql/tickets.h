// Tickets that carry their statement, so that one handed out costs the gateway no memory. A ticket is bound
// to one life of one gateway by a seal; the seal finds mistakes and tampering, it is no defence against a
// client that means to run another statement, which it may run anyway.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sablelink::flightsql {

enum class TicketFault { kNone, kMalformed, kForeign, kForged };
// What is wrong, for the client's eyes.
const char* ticket_fault_text(TicketFault fault);

struct OpenedTicket {
  TicketFault fault = TicketFault::kNone;
  uint64_t serial = 0;
  std::string statement;
  uint64_t promised = 0;  // as it was issued with
};

class TicketOffice {
 public:
  // Two random numbers of this gateway's start: the first is told in every ticket, the second never.
  TicketOffice(uint64_t life, uint64_t secret) : life_(life), secret_(secret), used_(kRemembered, false) {}

  // promised: a hash of the schema told along with the ticket; 0: none.
  std::string issue(std::string_view statement, uint64_t promised = 0);
  OpenedTicket open(std::string_view ticket) const;

  // True for a ticket's first use. Remembers the last 2^20 tickets; of older ones each use counts as further.
  bool first_use(uint64_t serial);

 private:
  static constexpr size_t kRemembered = size_t{1} << 20;

  std::array<uint64_t, 2> seal(std::string_view body) const;

  uint64_t life_, secret_;
  uint64_t last_ = 0;
  std::vector<bool> used_;  // by serial modulo its size
};

}  // namespace sablelink::flightsql
