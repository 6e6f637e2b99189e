#ifndef FESCUEGAUGE_FESCUEGAUGED_CALLEREXCHANGE_H
#define FESCUEGAUGE_FESCUEGAUGED_CALLEREXCHANGE_H

#include "Fescuegauge/RequestLifecycle.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace fescuegauge {

/// Passes the answer to one caller from the loop to the HTTP thread that serves the caller.
class CallerExchange {
public:
  /// Bytes that wait for a slow caller. Beyond it the answer is broken off, so that slow callers
  /// cannot take all memory.
  static constexpr std::size_t MaxWaitingBytes = 1u << 20;

  struct Event {
    std::string m_Data;
    std::string m_ContentType;
    Digest m_ServedDigest;
    /// What the caller sends back to stay with this generation and version.
    std::string m_Ticket;
    /// Set on the last event.
    std::optional<FinishRequest> m_Finish;
    /// The caller was too slow.
    bool m_Overflow = false;
  };

  void deliver(const DeliverFragment &Fragment, const Digest &ServedDigest, std::string Ticket);
  void finish(const FinishRequest &Final);

  /// Waits up to `Limit` for the next event.
  std::optional<Event> wait(Duration Limit);

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::deque<Event> m_Events;
  std::size_t m_WaitingBytes = 0;
  bool m_Overflow = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_CALLEREXCHANGE_H
