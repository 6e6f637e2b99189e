#include "Fescuegauge/LateStartDetector.h"

#include <algorithm>

namespace fescuegauge {

void LateStartDetector::setBounds(const ModelId &Model, std::vector<WeightsBound> Bounds) {
  m_Bounds[Model] = std::move(Bounds);
}

std::optional<LateStart> LateStartDetector::detect(const ModelId &Model, WeightsVersion Version,
                                                   TimePoint StartedAt) const {
  auto Found = m_Bounds.find(Model);
  if (Found == m_Bounds.end())
    return std::nullopt;
  std::optional<LateStart> Result;
  for (const WeightsBound &Each : Found->second) {
    if (Each.m_Version <= Version || StartedAt <= Each.m_At)
      continue;
    if (!Result)
      Result.emplace();
    Result->m_MinVersion = std::max(Result->m_MinVersion, Each.m_Version);
    Result->m_Late = std::max(Result->m_Late, StartedAt - Each.m_At);
  }
  return Result;
}

} // namespace fescuegauge
