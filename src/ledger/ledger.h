#pragma once

#include <functional>
#include <string>
#include <variant>

#include "bluebellpass/types.h"

namespace bluebellpass {

/// An idempotency key and the organisation in whose scope it is unique.
struct ClaimKey {
  OrganisationId organisation;
  std::string key;

  auto operator<=>(const ClaimKey&) const = default;
};

/// The claim of the request is durable, so the request may be dispatched.
struct ClaimConfirmed {};
/// The key is claimed by another request.
struct ClaimTaken {
  RequestId holder;
};
using ClaimOutcome = std::variant<ClaimConfirmed, ClaimTaken>;

/// Stores durable claims of idempotency keys. Each key is claimed by at most one request.
class Ledger {
 public:
  virtual ~Ledger() = default;

  /// Claims a key for a request. Retries while the store is unavailable and after lost responses,
  /// until the claim is confirmed, the key is found taken, or Void() withdraws the claim.
  /// @param done called once, in a later iteration of the event loop; not called after Void()
  virtual void Claim(const ClaimKey& key, const RequestId& request,
                     std::function<void(ClaimOutcome)> done) = 0;

  /// Withdraws a request's confirmed, pending or uncertain claim. Retries until the store is known
  /// not to hold the claim. Only allowed for a request that was not and will not be dispatched.
  virtual void Void(const ClaimKey& key, const RequestId& request) = 0;

  /// @return number of claims and voids that the store has not confirmed yet
  virtual std::size_t PendingCount() const = 0;
};

}  // namespace bluebellpass
