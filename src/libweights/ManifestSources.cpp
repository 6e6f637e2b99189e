#include "Fescuegauge/ManifestSources.h"

#include "Fescuegauge/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace fescuegauge {

std::vector<ManifestSources::Source>
ManifestSources::sources(const std::string &Key, const std::vector<PiecePeer> &Peers,
                         const InstanceId &Self, const RegionId &OriginRegion, unsigned Attempt) {
  std::vector<Source> Result;
  std::vector<std::pair<std::pair<bool, std::uint64_t>, const PiecePeer *>> Ranked;
  for (const PiecePeer &Each : Peers) {
    const bool IsFar = Each.m_Region != OriginRegion;
    Ranked.push_back({{IsFar, rendezvousWeight(Key, Each.m_Id.str())}, &Each});
  }
  std::sort(Ranked.begin(), Ranked.end());
  auto Own = std::find_if(Ranked.begin(), Ranked.end(),
                          [&](const auto &Each) { return Each.second->m_Id == Self; });
  const auto Place = static_cast<std::size_t>(Own - Ranked.begin());
  const bool IsRoot = Own == Ranked.end() || Place < Roots;
  if (IsRoot)
    Result.push_back({});
  std::size_t Above = Place;
  while (Above >= Roots && Result.size() < MaxPeersAsked && Own != Ranked.end()) {
    Above = (Above - Roots) / FanOut;
    Result.push_back({*Ranked[Above].second});
  }
  if (IsRoot)
    for (std::size_t I = 0; I < std::min(Roots, Ranked.size()); ++I)
      if (Ranked[I].second->m_Id != Self)
        Result.push_back({*Ranked[I].second});
  if (!IsRoot && Attempt >= OriginAttempt)
    Result.push_back({});
  return Result;
}

} // namespace fescuegauge
