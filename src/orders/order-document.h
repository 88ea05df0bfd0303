#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bluebellpass/types.h"

/// The stored forms of orders and of the record of loads. Pure logic, no I/O.

namespace bluebellpass {

/// Object that records the loads begun lately, over the whole system.
inline constexpr std::string_view kRateKey = "orders/rate";

/// @return the key of the object that holds the desired state of a server
std::string OrderKey(const BackendId& backend);

/// The model that a server is to have loaded.
struct DesiredModel {
  std::string model;
  std::string version;  ///< empty for any version
  std::string mark;     ///< unique for each write, to recognise it after a lost answer

  bool operator==(const DesiredModel&) const = default;
};

/// @return the stored form, compact JSON
std::string FormatDesired(const DesiredModel& desired);

/// @return the desired state, or nullopt when the document is not of the known form
std::optional<DesiredModel> ParseDesired(std::string_view text);

/// What an engine reports as loaded.
struct LoadedModels {
  std::map<std::string, std::string> models;  ///< version by name
  std::uint64_t fencing = 0;                  ///< number of the order carried out last; 0 for none
};

/// @return the report of `GET /v1/loaded`, or nullopt when it is malformed
std::optional<LoadedModels> ParseLoaded(std::string_view text);

/// The loads that have begun within the rate's window.
class LoadRecord {
 public:
  /// @return the record, or nullopt when the document is not of the known form
  static std::optional<LoadRecord> Parse(std::string_view text);

  /// @return the stored form, compact JSON
  std::string Format() const;

  bool Has(const std::string& id) const;

  /// Enters a load if the rate allows it.
  /// @param now wall clock, ms since 1970. The window is shortened by the skew between instances.
  /// @param per_minute most loads in a minute; a rate below 1 allows one load in a longer window
  /// @return nullopt when the load was entered, else the time until it is worth trying again
  std::optional<Millis> Take(const std::string& id, std::int64_t now, double per_minute);

 private:
  struct Entry {
    std::string id;
    std::int64_t at = 0;  ///< wall clock, ms since 1970
  };
  std::vector<Entry> m_entries;
};

}  // namespace bluebellpass
