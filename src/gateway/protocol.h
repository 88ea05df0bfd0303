#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "bluebellpass/error.h"
#include "kernel/http1.h"
#include "model.h"

namespace bluebellpass::gateway {

/// What the platform asks of this instance over HTTP.
enum class LocalEndpoint { kNone, kReadiness, kAddresses };

/// Answer to a caller that asks where to connect.
struct AddressList {
  std::vector<Address> addresses;
  int ttl_s = 0;
};

/// Translates between the names and formats of the platform and the gateway's types. It decides
/// nothing.
class Protocol {
 public:
  virtual ~Protocol() = default;

  /// @return the call that a request to one of this instance's own addresses makes
  virtual LocalEndpoint DecodeLocalEndpoint(const HttpHead& head) const = 0;
  virtual std::string EncodeAddresses(const AddressList& list) const = 0;

  /// @return the caller's request, or kBadRequest with the field at fault
  virtual Result<CallerRequest> DecodeRequest(const HttpHead& head) const = 0;
  /// @return the fields to send to a backend server for a caller's request, without those that
  /// frame the body
  virtual std::vector<HttpField> EncodeBackendRequest(const HttpHead& head, const Address& backend,
                                                      const DispatchFields& fields) const = 0;
  virtual ResponseFields DecodeResponse(const HttpHead& head) const = 0;
  /// @return the fields of a backend server's response that are passed on to the caller
  virtual std::vector<HttpField> EncodeResponse(const HttpHead& head) const = 0;
  /// @return the fields of an answer that this instance gives by itself
  virtual std::vector<HttpField> EncodeLocalResponse(const AttemptId& attempt,
                                                     std::optional<Millis> retry_after) const = 0;

  /// @return the configuration, or kInvalidConfig
  virtual Result<Config> DecodeConfig(const nlohmann::json& spec) const = 0;
  /// @return the backend server, or kInvalidConfig when the entry names none that can be used
  virtual Result<Backend> DecodeBackend(const std::string& id,
                                        const nlohmann::json& spec) const = 0;
};

}  // namespace bluebellpass::gateway
