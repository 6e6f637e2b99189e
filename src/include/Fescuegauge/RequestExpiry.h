#ifndef FESCUEGAUGE_REQUESTEXPIRY_H
#define FESCUEGAUGE_REQUESTEXPIRY_H

#include "Fescuegauge/Units.h"

#include <chrono>
#include <optional>

namespace fescuegauge {

/// Decides how long a request whose time is over still takes what has arrived: at its deadline, at
/// the stop of its process, or when it is withdrawn from an upstream.
///
/// A delayed event loop handles such an end before the input that arrived earlier. The request goes
/// on while its response is arriving or being written, which the caller determines at each check,
/// for example with ArrivalWatch. It begins nothing new meanwhile: no retry, backup attempt or
/// connection.
class RequestExpiry {
public:
  static constexpr Duration MaxTime = std::chrono::milliseconds(150);
  /// Number of checks before MaxTime applies, so that a delay of the loop does not use it up.
  static constexpr int MinChecks = 4;

  bool hasBegun() const { return m_Limit.has_value(); }

  /// Returns whether the request goes on until the next check. The first check begins the expiry.
  bool check(TimePoint Now, bool IsArriving) {
    if (!m_Limit)
      m_Limit = Now + MaxTime;
    const bool HasTime = Now < *m_Limit || m_Checks < MinChecks;
    ++m_Checks;
    return HasTime && IsArriving;
  }

private:
  std::optional<TimePoint> m_Limit;
  int m_Checks = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_REQUESTEXPIRY_H
