#ifndef FESCUEGAUGE_MANIFESTSOURCES_H
#define FESCUEGAUGE_MANIFESTSOURCES_H

#include "Fescuegauge/PieceExchange.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuegauge {

/// Selects the sources from which an agent requests the piece digests of a new version.
///
/// All agents learn of a version at the same time. A list of digests has a few kilobytes, so 90
/// agents that ask the origin transfer a quarter of a copy and occupy its link for a second.
/// Therefore all agents compute the same tree over themselves: only its roots ask the origin, the
/// others ask their parent, which answers once it has the digests. An agent that will not obtain
/// them answers so at once; if all agents that were asked do, the origin is asked.
class ManifestSources {
public:
  /// Number of agents that ask the origin in the first attempt.
  static constexpr std::size_t MaxRoots = 3;
  /// Maximum number of children of an agent in the tree.
  static constexpr std::size_t FanOut = 4;
  /// Maximum number of sources in one attempt, not counting an origin appended from OriginAttempt
  /// on.
  static constexpr std::size_t MaxPeersAsked = 3;

  struct Source {
    /// Empty for the origin.
    std::optional<PiecePeer> m_Peer;
  };

  /// First attempt in which agents below the roots also ask the origin, in case all their ancestors
  /// have failed.
  static constexpr unsigned OriginAttempt = 1;
  /// Returns the sources in the order in which they are asked. `Key` identifies the version;
  /// `Attempt` counts from 0.
  static std::vector<Source> sources(const std::string &Key, const std::vector<PiecePeer> &Peers,
                                     const InstanceId &Self, const RegionId &OriginRegion,
                                     unsigned Attempt);
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_MANIFESTSOURCES_H
