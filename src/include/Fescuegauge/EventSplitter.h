#ifndef FESCUEGAUGE_EVENTSPLITTER_H
#define FESCUEGAUGE_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuegauge {

/// Cuts the bytes of a text/event-stream into whole events, so that a caller never gets a part of
/// an event from an upstream that stops in the middle, and a stream can go on at another upstream.
///
/// Only the end of an event (an empty line) and its `id` line are looked at; the bytes of an event
/// are passed on unchanged.
class EventSplitter {
public:
  /// An event that grows beyond this is no event; see isOverlong().
  static constexpr std::size_t MaxEventBytes = 256 << 10;

  /// An event with its closing empty line.
  struct Event {
    std::string m_Bytes;
    /// Nothing if the event has no numeric id.
    std::optional<std::uint64_t> m_Id;
  };

  void append(std::string_view Bytes);
  /// The next whole event; nothing if more bytes are needed.
  std::optional<Event> next();
  /// Bytes that are no event came without end. Valid after append().
  bool isOverlong() const { return m_IsOverlong; }
  /// Bytes after the last whole event.
  const std::string &pending() const { return m_Pending; }
  void clear() { m_Pending.clear(); }

private:
  std::string m_Pending;
  bool m_IsOverlong = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_EVENTSPLITTER_H
