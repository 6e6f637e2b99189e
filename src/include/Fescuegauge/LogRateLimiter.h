#ifndef FESCUEGAUGE_LOGRATELIMITER_H
#define FESCUEGAUGE_LOGRATELIMITER_H

#include "Fescuegauge/Units.h"

#include <cstdint>

namespace fescuegauge {

/// Limits the number of log lines about one kind of event in each second.
class LogRateLimiter {
public:
  explicit LogRateLimiter(std::uint32_t PerSecond) : m_PerSecond(PerSecond) {}

  /// Consumes one line; false if the limit of this second is reached.
  bool take(TimePoint Now) {
    if (Now - m_SecondStart >= std::chrono::seconds(1)) {
      m_SecondStart = Now;
      m_LinesInSecond = 0;
    }
    return m_LinesInSecond++ < m_PerSecond;
  }

private:
  std::uint32_t m_PerSecond;
  TimePoint m_SecondStart;
  std::uint32_t m_LinesInSecond = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LOGRATELIMITER_H
