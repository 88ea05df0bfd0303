#include "request-content.h"

#include <initializer_list>
#include <string>

namespace bluebellpass::gateway {
namespace {

// Keeps the hash without the query apart from that of a whole request without one.
constexpr std::string_view kPathLabel = "path";

Fingerprint Hash(std::initializer_list<std::string_view> parts) {
  constexpr std::string_view separator("\0", 1);
  std::uint64_t hash = StableHash("");
  // Without a separator, the end of a part could be taken for the start of the next.
  for (const std::string_view part : parts) hash = StableHash(separator, StableHash(part, hash));
  return Fingerprint(hash);
}

}  // namespace

RequestContent::RequestContent(const HttpHead& head, const OrganisationId& organisation,
                               std::string_view body) {
  const std::string host = head.Value("Host");
  const std::string_view target = head.target;
  whole = Hash({head.method, host, target, organisation.Text(), body});
  const std::size_t query = target.find('?');
  if (query != std::string_view::npos)
    without_query =
        Hash({kPathLabel, head.method, host, target.substr(0, query), organisation.Text(), body});
}

}  // namespace bluebellpass::gateway
