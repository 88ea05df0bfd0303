#pragma once

#include <string>
#include <string_view>

#include "kernel/loop.h"

namespace bluebellpass::test {

/// Software versions of the engines, of which several serve side by side.
inline constexpr const char* kEngineVersions[] = {"1", "2", "3"};

/// An event stream as its caller sees it, over all attempts to receive it.
class SoakStream {
 public:
  SoakStream(std::string id, TimePoint began) : m_id(std::move(id)), m_began(began) {}

  const std::string& Id() const { return m_id; }
  TimePoint Began() const { return m_began; }
  /// @return number of the last event received; 0 without one
  int LastEvent() const { return m_last_event; }
  /// @return request id of the attempt that brought the first event; empty without one
  const std::string& FirstAttempt() const { return m_first_attempt; }
  /// @return software version of the engine that wrote the first event; empty without one
  const std::string& Version() const { return m_version; }
  int Attempts() const { return m_attempts; }

  void BeginAttempt() { ++m_attempts; }
  /// Checks that the events follow those received before and are of one software version.
  /// @return the violation, or empty; further bytes of the stream are not checked after one
  std::string Receive(const std::string& attempt, std::string_view bytes);
  /// Ends an attempt; the bytes of an incomplete event are dropped.
  /// @return the violation, or empty
  std::string EndAttempt(bool is_complete);

 private:
  std::string CheckEvent(const std::string& event);
  std::string SetViolation(const std::string& what);

  std::string m_id;
  TimePoint m_began;
  std::string m_first_attempt;
  std::string m_version;
  std::string m_incomplete_event;
  int m_last_event = 0;
  int m_attempts = 0;
  bool m_is_violated = false;
};

}  // namespace bluebellpass::test
