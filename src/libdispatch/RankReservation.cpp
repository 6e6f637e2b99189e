#include "Fescuegauge/RankReservation.h"

#include <algorithm>
#include <cmath>

namespace fescuegauge {

Duration slotTime(const EngineParameters &Engine, std::uint32_t PromptTokens) {
  const double BatchSize = Engine.m_BatchSize;
  const double Decoding =
      Engine.m_MeanAnswerTokens *
      (toSeconds(Engine.m_StepTime) + BatchSize * toSeconds(Engine.m_StepTimePerRequest));
  const double Prefill =
      Engine.m_PromptTokensPerSecond > 0 ? PromptTokens / Engine.m_PromptTokensPerSecond : 0;
  return Duration(static_cast<Duration::rep>((Decoding + BatchSize * Prefill) * 1e6));
}

int engineRank(int Priority, bool IsLate) {
  constexpr int RanksPerClass = 5;
  return std::clamp(Priority, 0, RanksPerClass - 1) + (IsLate ? RanksPerClass : 0);
}

void RankReservation::onArrival(const ServiceId &Service, int Priority, Duration Work,
                                TimePoint Now) {
  Demand &Of = m_Demands[Service];
  const double Decay = std::exp(-toSeconds(Now - Of.m_UpdatedAt) / toSeconds(TimeConstant));
  for (auto &[Each, Sum] : Of.m_Work)
    Sum *= Decay;
  Of.m_UpdatedAt = Now;
  if (Of.m_Work.size() < MaxPriorities || Of.m_Work.contains(Priority))
    Of.m_Work[Priority] += toSeconds(Work);
}

double RankReservation::reservedShare(const ServiceId &Service, int Priority,
                                      double SlotsPerEngine) const {
  auto Found = m_Demands.find(Service);
  if (Found == m_Demands.end() || SlotsPerEngine <= 0)
    return 0;
  double Urgent = 0;
  double Total = 0;
  for (const auto &[Each, Sum] : Found->second.m_Work) {
    Total += Sum;
    if (Each < Priority)
      Urgent += Sum;
  }
  if (Total <= 0)
    return 0;
  const double UrgentSlots = Urgent / Total * SlotsPerEngine;
  return std::min(std::sqrt(UrgentSlots) / SlotsPerEngine, MaxReservedShare);
}

} // namespace fescuegauge
