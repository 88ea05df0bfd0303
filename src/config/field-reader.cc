#include "config/field-reader.h"

#include <cmath>

#include "config/address.h"

namespace bluebellpass::detail {
namespace {

/// @return the shortest decimal form, as in "0.9" or "65536"
std::string FormatNumber(double number) { return nlohmann::json(number).dump(); }

}  // namespace

void ValidationErrors::Add(const std::string& path, const std::string& message) {
  if (m_first) return;
  m_first = Error{ErrorKind::kInvalidConfig, path + ": " + message, path};
}

FieldReader::FieldReader(ValidationErrors& errors, const nlohmann::json& json, std::string path)
    : m_errors(errors), m_json(json), m_path(std::move(path)) {
  if (!m_json.is_object()) m_errors.Add(m_path, "must be an object");
}

std::string FieldReader::PathOf(const std::string& key) const {
  return m_path.empty() ? key : m_path + "." + key;
}

const nlohmann::json* FieldReader::Find(const std::string& key) {
  m_requested.insert(key);
  if (!m_json.is_object()) return nullptr;
  const auto found = m_json.find(key);
  return found == m_json.end() ? nullptr : &*found;
}

const nlohmann::json* FieldReader::Require(const std::string& key) {
  const nlohmann::json* value = Find(key);
  if (value == nullptr) m_errors.Add(PathOf(key), "is missing");
  return value;
}

std::string FieldReader::Name(const std::string& key) {
  const nlohmann::json* value = Require(key);
  if (value == nullptr) return {};
  const auto* text = value->get_ptr<const std::string*>();
  if (text == nullptr || !IsValidName(*text)) {
    m_errors.Add(PathOf(key), "must be 1 to 64 letters, digits, '-' or '_'");
    return {};
  }
  return *text;
}

double FieldReader::Number(const std::string& key, double fallback, double low, double high,
                           bool is_low_excluded) {
  const nlohmann::json* value = Find(key);
  if (value == nullptr) return fallback;
  const double number = value->is_number() ? value->get<double>() : std::nan("");
  const bool is_in_range = number <= high && (is_low_excluded ? number > low : number >= low);
  if (is_in_range) return number;
  m_errors.Add(PathOf(key), "must be a number " +
                                std::string(is_low_excluded ? "above " : "from ") +
                                FormatNumber(low) + (is_low_excluded ? " and at most " : " to ") +
                                FormatNumber(high));
  return fallback;
}

std::int64_t FieldReader::Integer(const std::string& key, std::optional<std::int64_t> fallback,
                                  std::int64_t low, std::int64_t high) {
  const nlohmann::json* value = fallback ? Find(key) : Require(key);
  if (value == nullptr) return fallback.value_or(low);
  // An unsigned value above the signed range would become negative in the conversion.
  const bool is_representable = value->is_number_integer() &&
                                (!value->is_number_unsigned() ||
                                 value->get<std::uint64_t>() <= static_cast<std::uint64_t>(high));
  if (is_representable && value->get<std::int64_t>() >= low && value->get<std::int64_t>() <= high)
    return value->get<std::int64_t>();
  m_errors.Add(PathOf(key), "must be a whole number from " + std::to_string(low) + " to " +
                                std::to_string(high));
  return fallback.value_or(low);
}

Address FieldReader::Endpoint(const std::string& key) {
  const nlohmann::json* value = Require(key);
  if (value == nullptr) return {};
  const auto* text = value->get_ptr<const std::string*>();
  if (text != nullptr) {
    const Result<Address> address = ParseAddress(*text);
    if (IsOk(address) && std::get<0>(address).port != 0) return std::get<0>(address);
  }
  m_errors.Add(PathOf(key), "must be an IPv4 address and a port, as in 10.0.0.1:8080");
  return {};
}

std::size_t FieldReader::Choice(const std::string& key, std::optional<std::size_t> fallback,
                                std::span<const std::string_view> choices) {
  const nlohmann::json* value = fallback ? Find(key) : Require(key);
  if (value == nullptr) return fallback.value_or(0);
  const auto* text = value->get_ptr<const std::string*>();
  std::string allowed;
  for (std::size_t i = 0; i < choices.size(); ++i) {
    if (text != nullptr && *text == choices[i]) return i;
    allowed += (i == 0 ? "\"" : " or \"") + std::string(choices[i]) + "\"";
  }
  m_errors.Add(PathOf(key), "must be " + allowed);
  return fallback.value_or(0);
}

const nlohmann::json* FieldReader::List(const std::string& key) {
  const nlohmann::json* value = Find(key);
  if (value == nullptr || value->is_array()) return value;
  m_errors.Add(PathOf(key), "must be an array");
  return nullptr;
}

void FieldReader::RejectUnknownFields() {
  if (!m_json.is_object()) return;
  for (const auto& [key, value] : m_json.items()) {
    if (!m_requested.contains(key)) {
      m_errors.Add(PathOf(key), "is not a known field");
      return;
    }
  }
}

}  // namespace bluebellpass::detail
