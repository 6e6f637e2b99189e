#ifndef FESCUEGAUGE_LATESTARTS_H
#define FESCUEGAUGE_LATESTARTS_H

#include "Fescuegauge/LineLimit.h"
#include "Fescuegauge/WeightsDeadlines.h"

#include <map>
#include <optional>
#include <vector>

namespace fescuegauge {

/// A run that began on weights that the bound no longer allowed.
struct LateStart {
  /// The newest version whose bound had passed.
  WeightsVersion m_Least;
  /// Time since the first of the bounds that the run broke.
  Duration m_Late{};
};

/// Recognises runs that began on older weights after the bound, for logs and metrics.
class LateStarts {
public:
  /// Lines written in one second; the counter has the rest.
  static constexpr std::uint32_t MaxLinesPerSecond = 5;

  /// Replaces what was known of the model.
  void setBounds(const ModelId &Model, std::vector<WeightsBound> Bounds);
  /// A run on `Version` that gave its first event at `StartedAt`.
  std::optional<LateStart> judge(const ModelId &Model, WeightsVersion Version,
                                 TimePoint StartedAt) const;
  /// Whether a line may be written now.
  bool mayLog(TimePoint Now) { return m_Lines.take(Now); }

private:
  std::map<ModelId, std::vector<WeightsBound>> m_Bounds;
  LineLimit m_Lines{MaxLinesPerSecond};
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LATESTARTS_H
