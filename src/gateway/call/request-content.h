#pragma once

#include <optional>
#include <string_view>

#include "bluebellpass/types.h"
#include "kernel/http1.h"

namespace bluebellpass::gateway {

/// Hashes of what a request asks for, by which the crashes that it may have caused are recorded.
struct RequestContent {
  /// @param organisation the caller's; empty if unknown
  RequestContent(const HttpHead& head, const OrganisationId& organisation, std::string_view body);

  Fingerprint whole;  ///< equal for identical requests of an organisation
  /// Equal for requests that differ in nothing but the query; not set if there is no query.
  std::optional<Fingerprint> without_query;
};

}  // namespace bluebellpass::gateway
