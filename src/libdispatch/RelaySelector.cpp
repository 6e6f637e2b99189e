#include "Fescuegauge/RelaySelector.h"

#include <algorithm>
#include <functional>

namespace fescuegauge {

void RelaySelector::setInstances(std::vector<Endpoint> Known) {
  std::sort(Known.begin(), Known.end());
  if (m_IsEntry) {
    Known.erase(std::lower_bound(Known.begin(), Known.end(), m_Self), Known.end());
    Known = inTreeOrder(std::move(Known));
  } else if (!Known.empty()) {
    const std::size_t First = std::hash<std::string>()(m_Self.m_Host) % Known.size();
    std::rotate(Known.begin(), Known.begin() + static_cast<std::ptrdiff_t>(First), Known.end());
  }
  std::erase_if(m_SkippedUntil, [&](const auto &Each) {
    return std::find(Known.begin(), Known.end(), Each.first) == Known.end();
  });
  m_Ranked = std::move(Known);
}

std::vector<Endpoint> RelaySelector::inTreeOrder(std::vector<Endpoint> HigherRanked) {
  std::vector<Endpoint> Result;
  std::vector<bool> IsAbove(HigherRanked.size());
  for (std::size_t Position = HigherRanked.size(); Position > 0;) {
    Position = (Position - 1) / FanOut;
    IsAbove[Position] = true;
    Result.push_back(HigherRanked[Position]);
  }
  for (std::size_t I = 0; I < HigherRanked.size(); ++I)
    if (!IsAbove[I])
      Result.push_back(std::move(HigherRanked[I]));
  return Result;
}

std::vector<Endpoint> RelaySelector::candidates(TimePoint Now) const {
  std::vector<Endpoint> Result;
  const std::size_t MaxCandidates = MinCandidates + m_Ranked.size() / InstancesPerCandidate;
  for (const Endpoint &Each : m_Ranked) {
    if (Result.size() == MaxCandidates)
      break;
    auto Skipped = m_SkippedUntil.find(Each);
    if (Skipped == m_SkippedUntil.end() || Now >= Skipped->second)
      Result.push_back(Each);
  }
  return Result;
}

void RelaySelector::onFailure(const Endpoint &Instance, TimePoint Now) {
  m_SkippedUntil[Instance] = Now + FailurePause;
}

} // namespace fescuegauge
