#ifndef FESCUEGAUGE_LATESTARTDETECTOR_H
#define FESCUEGAUGE_LATESTARTDETECTOR_H

#include "Fescuegauge/LogRateLimiter.h"
#include "Fescuegauge/WeightsDeadlines.h"

#include <map>
#include <optional>
#include <vector>

namespace fescuegauge {

/// An execution that began on a weights version that the bound no longer allowed.
struct LateStart {
  /// The newest version whose bound had passed.
  WeightsVersion m_MinVersion;
  /// Time since the earliest of the bounds that the execution violated.
  Duration m_Late{};
};

/// Detects executions that began on older weights after the bound, for logs and metrics.
class LateStartDetector {
public:
  /// Limit on log lines; the counter includes the executions that are not logged.
  static constexpr std::uint32_t MaxLogLinesPerSecond = 5;

  /// Replaces the bounds of the model.
  void setBounds(const ModelId &Model, std::vector<WeightsBound> Bounds);
  /// Checks an execution on `Version` whose first event came at `StartedAt`. Nothing if it was
  /// within all bounds.
  std::optional<LateStart> detect(const ModelId &Model, WeightsVersion Version,
                                  TimePoint StartedAt) const;
  /// Consumes one log line of the limit; false if the limit is reached.
  bool canLog(TimePoint Now) { return m_LogLimit.take(Now); }

private:
  std::map<ModelId, std::vector<WeightsBound>> m_Bounds;
  LogRateLimiter m_LogLimit{MaxLogLinesPerSecond};
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LATESTARTDETECTOR_H
