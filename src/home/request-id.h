#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

/// Permits callers to submit requests to one incarnation of an instance. Issued by that instance.
struct Ticket {
  InstanceId instance;
  Incarnation incarnation;
  std::uint64_t issued_s = 0;  ///< uptime of the incarnation when the ticket was issued

  /// @return "<instance>.<incarnation, hexadecimal>.<issued_s>"
  std::string Text() const;
};

/// Time after its issue during which a ticket is accepted for new requests: six times the validity
/// of an address list. The home keeps all ids for this time.
constexpr std::uint64_t kTicketValiditySeconds = 180;

/// The parts of a request id.
struct ParsedRequestId {
  Ticket ticket;
  std::string nonce;
};

/// Parses a request id of the form "<ticket>.<nonce>". The nonce has 1 to 40 letters, digits, '-'
/// or '_'.
/// @return the parts, or kBadRequestId
Result<ParsedRequestId> ParseRequestId(std::string_view text);

}  // namespace bluebellpass
