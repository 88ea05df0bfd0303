#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "bluebellpass/error.h"
#include "bluebellpass/gateway/model.h"
#include "bluebellpass/gateway/rollout.h"
#include "kernel/http1.h"

namespace bluebellpass::gateway {

/// HTTP endpoints that this instance serves itself instead of forwarding the request.
enum class LocalEndpoint { kNone, kReadiness, kAddresses };

/// Response to a caller that looks up the addresses of instances.
struct AddressList {
  std::vector<Address> addresses;
  int ttl_s = 0;
};

/// Translates between the platform's wire formats and the gateway's types. Contains no policy.
class Protocol {
 public:
  virtual ~Protocol() = default;

  /// @param head of a request to an address for local endpoints; at the callers' address its path
  /// may belong to a route
  /// @return the local endpoint that the request is for, or kNone
  virtual LocalEndpoint DecodeLocalEndpoint(const HttpHead& head) const = 0;
  /// @return the data centre of a caller that asks for addresses; empty if it is not stated
  virtual DataCentre DecodeCallerDataCentre(const HttpHead& head) const = 0;
  virtual std::string EncodeAddresses(const AddressList& list) const = 0;

  /// @return the caller's request, or kBadRequest with the name of the invalid field
  virtual Result<CallerRequest> DecodeRequest(const HttpHead& head) const = 0;
  /// @return the header fields to send to a backend server for a caller's request, except those
  /// that frame the body
  virtual std::vector<HttpField> EncodeBackendRequest(const HttpHead& head, const Address& backend,
                                                      const DispatchFields& fields) const = 0;
  /// @param deadline that is left of the caller's; nullopt if it stated none
  /// @return the header fields to send to another instance for a caller's request, except those
  /// that frame the body
  virtual std::vector<HttpField> EncodeForwardedRequest(const HttpHead& head,
                                                        std::optional<Millis> deadline) const = 0;
  virtual ResponseFields DecodeResponse(const HttpHead& head) const = 0;
  /// @return the header fields of a backend server's response that are forwarded to the caller
  virtual std::vector<HttpField> EncodeResponse(const HttpHead& head) const = 0;
  /// @return the header fields of a response that this instance generates itself
  virtual std::vector<HttpField> EncodeLocalResponse(const AttemptId& attempt,
                                                     std::optional<Millis> retry_after) const = 0;

  /// @return the configuration, or kInvalidConfig
  virtual Result<Config> DecodeConfig(const nlohmann::json& spec) const = 0;
  /// @return the order with its status, or kInvalidConfig when the object is not an order
  virtual Result<RolloutEntry> DecodeRollout(const StoredObject& object) const = 0;
  virtual nlohmann::json EncodeRolloutStatus(const RolloutStatus& status) const = 0;
  /// @return the backend server, or kInvalidConfig when the object does not describe a usable one
  virtual Result<Backend> DecodeBackend(const std::string& id,
                                        const nlohmann::json& spec) const = 0;
};

}  // namespace bluebellpass::gateway
