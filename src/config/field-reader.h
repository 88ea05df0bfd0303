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

/// Keeps the first validation error of a document.
class ValidationErrors {
 public:
  void Add(const std::string& path, const std::string& message);
  const std::optional<Error>& First() const { return m_first; }

 private:
  std::optional<Error> m_first;
};

/// Reads and validates the fields of a JSON object. For an invalid field it records an error and
/// returns a default, so that callers need no error handling.
class FieldReader {
 public:
  FieldReader(ValidationErrors& errors, const nlohmann::json& json, std::string path);

  /// @return a name as defined by IsValidName; the field is required
  std::string Name(const std::string& key);
  /// @return a number from `low` to `high`; `low` itself is invalid if `is_low_excluded`
  double Number(const std::string& key, double fallback, double low, double high,
                bool is_low_excluded = false);
  /// @return an integer from `low` to `high`; without a fallback the field is required
  std::int64_t Integer(const std::string& key, std::optional<std::int64_t> fallback,
                       std::int64_t low, std::int64_t high);
  /// @return an IPv4 address with a port above 0; the field is required
  Address Endpoint(const std::string& key);
  /// @return the index of the value in `choices`; without a fallback the field is required
  std::size_t Choice(const std::string& key, std::optional<std::size_t> fallback,
                     std::span<const std::string_view> choices);
  /// @return the array, or null if the field is absent or not an array
  const nlohmann::json* List(const std::string& key);
  /// @return true if the field is present. RejectUnknownFields then accepts it.
  bool Has(const std::string& key) { return Find(key) != nullptr; }
  /// Records an error for a field of the object that no other call has requested.
  void RejectUnknownFields();

  /// @return the path of a field, as used in error messages
  std::string PathOf(const std::string& key) const;

 private:
  const nlohmann::json* Find(const std::string& key);
  const nlohmann::json* Require(const std::string& key);

  ValidationErrors& m_errors;
  const nlohmann::json& m_json;
  std::string m_path;
  std::set<std::string> m_requested;
};

}  // namespace bluebellpass::detail
