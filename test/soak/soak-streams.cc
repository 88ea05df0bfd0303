#include "soak-streams.h"

#include <algorithm>
#include <iterator>

#include "engine-standin.h"

namespace bluebellpass::test {

std::string SoakStream::SetViolation(const std::string& what) {
  m_is_violated = true;
  return what + ": " + m_id + " after event " + std::to_string(m_last_event);
}

std::string SoakStream::CheckEvent(const std::string& event) {
  for (const char* version : kEngineVersions) {
    if (event != EngineStandin::EventText(m_id, m_last_event + 1, version)) continue;
    if (!m_version.empty() && m_version != version)
      return SetViolation("ORDER: stream of version " + m_version + " goes on at version " +
                          version);
    m_version = version;
    ++m_last_event;
    return {};
  }
  return SetViolation("stream with missing, duplicate or unexpected events");
}

std::string SoakStream::Receive(const std::string& attempt, std::string_view bytes) {
  if (m_is_violated) return {};
  m_incomplete_event.append(bytes);
  for (std::size_t end = 0; (end = m_incomplete_event.find("\n\n")) != std::string::npos;) {
    std::string violation = CheckEvent(m_incomplete_event.substr(0, end + 2));
    if (!violation.empty()) return violation;
    if (m_first_attempt.empty()) m_first_attempt = attempt;
    m_incomplete_event.erase(0, end + 2);
  }
  return {};
}

std::string SoakStream::EndAttempt(bool is_complete) {
  const std::string rest = std::exchange(m_incomplete_event, {});
  if (m_is_violated) return {};
  if (is_complete && (!rest.empty() || m_last_event != EngineStandin::EventCountOf(m_id)))
    return SetViolation("stream with missing events");
  const bool is_part_of_event =
      std::any_of(std::begin(kEngineVersions), std::end(kEngineVersions), [&](const char* version) {
        return EngineStandin::EventText(m_id, m_last_event + 1, version).starts_with(rest) &&
               (m_version.empty() || m_version == version);
      });
  if (!rest.empty() && !is_part_of_event) return SetViolation("stream with unexpected content");
  return {};
}

}  // namespace bluebellpass::test
