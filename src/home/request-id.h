#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

/// The right to have requests dispatched by one run of one instance.
struct Ticket {
  InstanceId instance;
  Incarnation incarnation;
  std::uint64_t issued_s = 0;  ///< uptime of the incarnation when the ticket was issued

  /// @return "<instance>.<incarnation, hexadecimal>.<issued_s>"
  std::string Text() const;
};

/// For how long after its issue a ticket may be used for new requests. Six times the validity of
/// an address list; the home remembers all ids for this time.
constexpr std::uint64_t kTicketValiditySeconds = 180;

/// A request id taken apart.
struct ParsedRequestId {
  Ticket ticket;
  std::string nonce;
};

/// @return the parts of "<ticket>.<nonce>", or kBadRequestId. The nonce has 1 to 40 letters,
/// digits,
/// '-' or '_'.
Result<ParsedRequestId> ParseRequestId(std::string_view text);

}  // namespace bluebellpass
