#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass::detail {

/// Keeps the first fault found in a document.
class Faults {
 public:
  void Add(const std::string& path, const std::string& message);
  const std::optional<Error>& First() const { return m_first; }

 private:
  std::optional<Error> m_first;
};

/// Reads the fields of one JSON object with their checks. After a fault it returns defaults, so
/// that readers need no checks of their own.
class FieldReader {
 public:
  FieldReader(Faults& faults, const nlohmann::json& json, std::string path);

  /// @return a name of letters, digits, '-' and '_'; the field is required
  std::string Name(const std::string& key);
  /// @return a number above or at `low` (above it when `is_open`), at most `high`
  double Number(const std::string& key, double fallback, double low, double high,
                bool is_open = false);
  /// @return a whole number from `low` to `high`; without a fallback the field is required
  std::int64_t Integer(const std::string& key, std::optional<std::int64_t> fallback,
                       std::int64_t low, std::int64_t high);
  /// @return an address with a port; the field is required
  Address Endpoint(const std::string& key);
  /// @return the index of the value in `choices`; without a fallback the field is required
  std::size_t Choice(const std::string& key, std::optional<std::size_t> fallback,
                     std::span<const std::string_view> choices);
  /// @return the array, or null when the field is absent or of another type
  const nlohmann::json* List(const std::string& key);
  /// @return true when the field is present; it then counts as known
  bool Has(const std::string& key) { return Find(key) != nullptr; }
  /// Reports the first field that was not asked for.
  void RefuseUnknown();

  /// @return the path of a field for errors
  std::string PathOf(const std::string& key) const;

 private:
  const nlohmann::json* Find(const std::string& key);
  const nlohmann::json* Require(const std::string& key);

  Faults& m_faults;
  const nlohmann::json& m_json;
  std::string m_path;
  std::set<std::string> m_known;
};

}  // namespace bluebellpass::detail
