#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bluebellpass::gateway {

/// Splits a stream of server-sent events (text/event-stream) into complete events. A backend server
/// may disconnect in the middle of an event; the stream is then resumed after the last complete
/// one.
class EventSplitter {
 public:
  /// Appends received bytes.
  /// @return the bytes of the events that are now complete; valid until the next call
  std::string_view Append(std::string_view bytes);
  /// @return id of the last complete event that has a numeric id
  std::optional<std::uint64_t> LastEventId() const { return m_last_event_id; }
  std::size_t EventCount() const { return m_event_count; }
  /// @return buffered bytes of an incomplete event
  std::size_t PartialBytes() const { return m_partial.size(); }
  /// @return memory of the buffers
  std::size_t BufferedBytes() const { return m_partial.capacity() + m_complete.capacity(); }
  /// Discards an incomplete event, before another backend server resumes the stream.
  void DiscardPartial() { m_partial = std::string(); }

 private:
  void RecordEvent(std::string_view event);

  std::string m_partial;
  std::string m_complete;
  std::optional<std::uint64_t> m_last_event_id;
  std::size_t m_event_count = 0;
};

}  // namespace bluebellpass::gateway
