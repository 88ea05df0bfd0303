#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/types.h"

/// Stored formats of orders and of the load record. No I/O.

namespace bluebellpass {

/// Key of the load record, which lists the recent loads of the whole system.
inline constexpr std::string_view kLoadRecordKey = "orders/rate";

/// @return the key of the object with the desired state of a server
std::string OrderKey(const BackendId& backend);

/// Desired state of a server: the model that it should have loaded.
struct DesiredModel {
  std::string model;
  std::string version;   ///< empty for any version
  std::string write_id;  ///< unique id of the write, to recognise it after a lost response

  bool operator==(const DesiredModel&) const = default;
};

/// @return the stored format, compact JSON
std::string FormatDesired(const DesiredModel& desired);

/// @return the desired state, or nullopt when the format of the document is unknown
std::optional<DesiredModel> ParseDesired(std::string_view text);

/// The models that an engine reports as loaded.
struct LoadedModels {
  std::map<std::string, std::string> models;  ///< version by model name
  std::uint64_t fencing_token = 0;            ///< of the last executed order; 0 for none
};

/// Parses the response to `GET /v1/loaded`.
/// @return nullopt when it is malformed
std::optional<LoadedModels> ParseLoaded(std::string_view text);

/// The loads that started within the window of the rate limit.
class LoadRecord {
 public:
  /// @return the record, or nullopt when the format of the document is unknown
  static std::optional<LoadRecord> Parse(std::string_view text);

  /// @return the stored format, compact JSON
  std::string Format() const;

  bool HasLoad(const std::string& id) const;

  /// Adds a load if the rate limit allows it.
  /// @param now wall clock, ms since 1970. Clock skew between instances shortens the window.
  /// @param per_minute limit on the loads per minute; a value below 1 allows one load in a longer
  /// window
  /// @return nullopt when the load was added, else the time until the next attempt
  std::optional<Millis> TryAdd(const std::string& id, std::int64_t now, double per_minute);

 private:
  struct Entry {
    std::string id;
    std::int64_t at = 0;  ///< wall clock, ms since 1970
  };
  std::vector<Entry> m_entries;
};

}  // namespace bluebellpass
