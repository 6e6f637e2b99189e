#ifndef FESCUEGAUGE_ARRIVALWATCH_H
#define FESCUEGAUGE_ARRIVALWATCH_H

#include "Fescuegauge/Units.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace fescuegauge {

/// Decides whether a response goes on arriving when its request is about to end.
///
/// Meant for a timer of a delayed event loop: it runs before the bytes that arrived earlier are
/// read, and reading them takes several turns of the loop. Each turn between two checks allows one
/// step of a read, so a response stops arriving only after MaxQuietChecks checks in a row that saw
/// neither input nor a step.
class ArrivalWatch {
public:
  /// Time between two checks, in which the loop takes a further turn.
  static constexpr Duration CheckInterval = std::chrono::milliseconds(1);
  static constexpr int MaxQuietChecks = 2;

  /// What was read and not yet forwarded, at a check.
  struct Progress {
    /// When a part of the response was last read.
    TimePoint m_LastReadAt;
    /// Bytes that were received and not parsed.
    std::size_t m_BufferedBytes = 0;

    bool operator==(const Progress &) const = default;
  };

  /// Records a check. `HasInput` is true if further bytes have arrived.
  bool isArriving(const Progress &Current, bool HasInput) {
    const bool HasRead = m_Last != Current;
    m_Last = Current;
    m_QuietChecks = HasRead || HasInput ? 0 : m_QuietChecks + 1;
    return m_QuietChecks < MaxQuietChecks;
  }

private:
  /// Empty before the first check.
  std::optional<Progress> m_Last;
  int m_QuietChecks = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ARRIVALWATCH_H
