#include "Fescuegauge/ManifestSources.h"

#include "Fescuegauge/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace fescuegauge {

std::vector<ManifestSources::Source>
ManifestSources::sources(const std::string &Key, const std::vector<PiecePeer> &Peers,
                         const InstanceId &Self, const RegionId &OriginRegion, unsigned Attempt) {
  std::vector<Source> Result;
  // Those that hold the version know its digests for certain; different agents ask different ones.
  std::vector<std::pair<std::uint64_t, const PiecePeer *>> Holders;
  std::vector<std::pair<std::pair<bool, std::uint64_t>, const PiecePeer *>> Ranked;
  for (const PiecePeer &Each : Peers) {
    if (Each.m_HoldsAll && Each.m_Id != Self)
      Holders.emplace_back(rendezvousWeight(Self.str(), Each.m_Id.str()), &Each);
    const bool IsFar = Each.m_Region != OriginRegion;
    Ranked.push_back({{IsFar, rendezvousWeight(Key, Each.m_Id.str())}, &Each});
  }
  std::sort(Holders.begin(), Holders.end());
  for (const auto &[Weight, Peer] : Holders)
    if (Result.size() < MaxHoldersAsked)
      Result.push_back({*Peer});

  std::sort(Ranked.begin(), Ranked.end());
  auto Own = std::find_if(Ranked.begin(), Ranked.end(),
                          [&](const auto &Each) { return Each.second->m_Id == Self; });
  const auto Place = static_cast<std::size_t>(Own - Ranked.begin());
  const bool IsRoot = Own == Ranked.end() || Place < Roots;
  if (IsRoot)
    Result.push_back({});
  std::size_t Above = Place;
  while (Above >= Roots && Result.size() < MaxHoldersAsked + MaxPeersAsked && Own != Ranked.end()) {
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
