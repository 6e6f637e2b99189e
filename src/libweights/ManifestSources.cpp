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
    const bool IsRemote = Each.m_Region != OriginRegion;
    Ranked.push_back({{IsRemote, rendezvousWeight(Key, Each.m_Id.str())}, &Each});
  }
  std::sort(Ranked.begin(), Ranked.end());
  auto Own = std::find_if(Ranked.begin(), Ranked.end(),
                          [&](const auto &Each) { return Each.second->m_Id == Self; });
  const auto Position = static_cast<std::size_t>(Own - Ranked.begin());
  const bool IsRoot = Own == Ranked.end() || Position < MaxRoots;
  if (IsRoot)
    Result.push_back({});
  std::size_t Ancestor = Position;
  while (Ancestor >= MaxRoots && Result.size() < MaxPeersAsked && Own != Ranked.end()) {
    Ancestor = (Ancestor - MaxRoots) / FanOut;
    Result.push_back({*Ranked[Ancestor].second});
  }
  // The other roots, in case the ancestors do not answer.
  const std::size_t RootCount = std::min(MaxRoots, Ranked.size());
  for (std::size_t I = 0; I < RootCount && Result.size() < MaxPeersAsked; ++I) {
    const PiecePeer &Root = *Ranked[(Position + I) % RootCount].second;
    const bool IsListed = std::any_of(Result.begin(), Result.end(), [&](const Source &Each) {
      return Each.m_Peer && Each.m_Peer->m_Id == Root.m_Id;
    });
    if (Root.m_Id != Self && !IsListed)
      Result.push_back({Root});
  }
  if (!IsRoot && Attempt >= OriginAttempt)
    Result.push_back({});
  return Result;
}

} // namespace fescuegauge
