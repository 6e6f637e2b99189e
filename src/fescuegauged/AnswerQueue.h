#ifndef FESCUEGAUGE_FESCUEGAUGED_ANSWERQUEUE_H
#define FESCUEGAUGE_FESCUEGAUGED_ANSWERQUEUE_H

#include "Fescuegauge/RequestLifecycle.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace fescuegauge {

/// Queue that passes the answer to one request from the loop to the HTTP thread that serves the
/// caller.
class AnswerQueue {
public:
  /// Limit on bytes queued for a slow caller. An answer that exceeds it is aborted, so that slow
  /// callers cannot exhaust memory. A single fragment may be larger.
  static constexpr std::size_t MaxQueuedBytes = 1u << 20;

  struct Event {
    std::string m_Data;
    std::string m_ContentType;
    Digest m_ServedDigest;
    /// The generation ticket, which the caller sends back to stay with this generation and version.
    std::string m_Ticket;
    /// Set on the last event.
    std::optional<FinishRequest> m_Finish;
    /// The queue exceeded MaxQueuedBytes; the data was dropped.
    bool m_HasOverflowed = false;
  };

  void pushFragment(const DeliverFragment &Fragment, std::string Ticket);
  void pushFinish(const FinishRequest &Final);

  /// Removes and returns the next event. Returns nothing if none arrives within `Timeout`.
  std::optional<Event> pop(Duration Timeout);

private:
  std::mutex m_Mutex;
  std::condition_variable m_EventAdded;
  std::deque<Event> m_Events;
  std::size_t m_QueuedBytes = 0;
  bool m_HasOverflowed = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_ANSWERQUEUE_H
