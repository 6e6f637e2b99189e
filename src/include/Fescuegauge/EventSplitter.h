#ifndef FESCUEGAUGE_EVENTSPLITTER_H
#define FESCUEGAUGE_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuegauge {

/// Splits a text/event-stream into complete events, so that a client never receives a partial event
/// of an upstream that fails in the middle, and the stream can be resumed at another upstream.
///
/// Only the end of an event (an empty line) and its `id` line are parsed; the bytes of an event are
/// passed on unchanged.
class EventSplitter {
public:
  /// Longer data without an end of event is not an event stream; see isOverlong().
  static constexpr std::size_t MaxEventBytes = 256 << 10;

  /// An event with its terminating empty line.
  struct Event {
    std::string m_Bytes;
    /// Not set if the event has no numeric id.
    std::optional<std::uint64_t> m_Id;
  };

  void append(std::string_view Bytes);
  /// The next complete event; nothing if more bytes are needed.
  std::optional<Event> next();
  /// More than MaxEventBytes arrived without an end of event. Valid after append().
  bool isOverlong() const { return m_IsOverlong; }
  /// Bytes after the last complete event.
  const std::string &pending() const { return m_Pending; }
  void clear() { m_Pending.clear(); }

private:
  std::string m_Pending;
  bool m_IsOverlong = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_EVENTSPLITTER_H
