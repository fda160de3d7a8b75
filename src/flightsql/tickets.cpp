#include "flightsql/tickets.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>

#include "sablelink.pb.h"

namespace sablelink::flightsql {
namespace {

// Layout: magic (4 bytes), incarnation (8 bytes), checksum (16 bytes), serialised TicketBody.
constexpr std::string_view kMagic = "SLT1";
constexpr size_t kHeaderBytes = 4 + 8 + 16;

}  // namespace

const char* ticket_error_message(TicketError error) {
  switch (error) {
    case TicketError::kNone:
      return "the ticket is good";
    case TicketError::kMalformed:
      return "the statement handle is none that a gateway gives out";
    case TicketError::kOtherIncarnation:
      return "the ticket is of another gateway or of this one before its restart; ask for a new FlightInfo";
    case TicketError::kModified:
      return "the ticket has been changed since it was given out";
  }
  return "";
}

std::array<uint64_t, 2> TicketIssuer::checksum(std::string_view body) const {
  const XXH128_hash_t hash = XXH3_128bits_withSeed(body.data(), body.size(), secret_ ^ incarnation_);
  return {hash.low64, hash.high64};
}

std::string TicketIssuer::issue(std::string_view statement, uint64_t announced_schema_hash) {
  wire::TicketBody body;
  body.set_serial(++last_serial_);
  body.set_statement(std::string(statement));
  body.set_promised(announced_schema_hash);
  used_[last_serial_ % kTrackedTickets] = false;
  const std::string bytes = body.SerializeAsString();
  const std::array<uint64_t, 2> body_checksum = checksum(bytes);
  std::string ticket(kMagic);
  ticket.append(reinterpret_cast<const char*>(&incarnation_), 8);
  ticket.append(reinterpret_cast<const char*>(body_checksum.data()), 16);
  return ticket + bytes;
}

OpenedTicket TicketIssuer::open(std::string_view ticket) const {
  OpenedTicket opened;
  opened.error = TicketError::kMalformed;
  if (ticket.size() < kHeaderBytes || ticket.substr(0, 4) != kMagic) return opened;
  uint64_t incarnation = 0;
  std::array<uint64_t, 2> stored_checksum;
  std::memcpy(&incarnation, ticket.data() + 4, 8);
  std::memcpy(stored_checksum.data(), ticket.data() + 12, 16);
  const std::string_view bytes = ticket.substr(kHeaderBytes);
  if (incarnation != incarnation_) {
    opened.error = TicketError::kOtherIncarnation;
    return opened;
  }
  wire::TicketBody body;
  if (checksum(bytes) != stored_checksum ||
      !body.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || body.serial() == 0 ||
      body.serial() > last_serial_) {
    opened.error = TicketError::kModified;
    return opened;
  }
  opened.error = TicketError::kNone;
  opened.serial = body.serial();
  opened.statement = body.statement();
  opened.announced_schema_hash = body.promised();
  return opened;
}

bool TicketIssuer::first_use(uint64_t serial) {
  if (serial + kTrackedTickets <= last_serial_) return false;
  const bool first = !used_[serial % kTrackedTickets];
  used_[serial % kTrackedTickets] = true;
  return first;
}

}  // namespace sablelink::flightsql
