#include "flightsql/tickets.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>

#include "sablelink.pb.h"

namespace sablelink::flightsql {
namespace {

// Layout: mark, life (8 bytes), seal (16 bytes), the serialised TicketBody.
constexpr std::string_view kMark = "SLT1";
constexpr size_t kHeadBytes = 4 + 8 + 16;

}  // namespace

const char* ticket_fault_text(TicketFault fault) {
  switch (fault) {
    case TicketFault::kNone:
      return "the ticket is good";
    case TicketFault::kMalformed:
      return "the statement handle is none that a gateway gives out";
    case TicketFault::kForeign:
      return "the ticket is of another gateway or of this one before its restart; ask for a new FlightInfo";
    case TicketFault::kForged:
      return "the ticket has been changed since it was given out";
  }
  return "";
}

std::array<uint64_t, 2> TicketOffice::seal(std::string_view body) const {
  const XXH128_hash_t hash = XXH3_128bits_withSeed(body.data(), body.size(), secret_ ^ life_);
  return {hash.low64, hash.high64};
}

std::string TicketOffice::issue(std::string_view statement, uint64_t promised) {
  wire::TicketBody body;
  body.set_serial(++last_);
  body.set_statement(std::string(statement));
  body.set_promised(promised);
  used_[last_ % kRemembered] = false;
  const std::string bytes = body.SerializeAsString();
  const std::array<uint64_t, 2> sealed = seal(bytes);
  std::string ticket(kMark);
  ticket.append(reinterpret_cast<const char*>(&life_), 8);
  ticket.append(reinterpret_cast<const char*>(sealed.data()), 16);
  return ticket + bytes;
}

OpenedTicket TicketOffice::open(std::string_view ticket) const {
  OpenedTicket out;
  out.fault = TicketFault::kMalformed;
  if (ticket.size() < kHeadBytes || ticket.substr(0, 4) != kMark) return out;
  uint64_t life = 0;
  std::array<uint64_t, 2> sealed;
  std::memcpy(&life, ticket.data() + 4, 8);
  std::memcpy(sealed.data(), ticket.data() + 12, 16);
  const std::string_view bytes = ticket.substr(kHeadBytes);
  if (life != life_) {
    out.fault = TicketFault::kForeign;
    return out;
  }
  wire::TicketBody body;
  if (seal(bytes) != sealed || !body.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      body.serial() == 0 || body.serial() > last_) {
    out.fault = TicketFault::kForged;
    return out;
  }
  out.fault = TicketFault::kNone;
  out.serial = body.serial();
  out.statement = body.statement();
  out.promised = body.promised();
  return out;
}

bool TicketOffice::first_use(uint64_t serial) {
  if (serial + kRemembered <= last_) return false;
  const bool first = !used_[serial % kRemembered];
  used_[serial % kRemembered] = true;
  return first;
}

}  // namespace sablelink::flightsql
