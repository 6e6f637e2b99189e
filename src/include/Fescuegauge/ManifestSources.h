#ifndef FESCUEGAUGE_MANIFESTSOURCES_H
#define FESCUEGAUGE_MANIFESTSOURCES_H

#include "Fescuegauge/PieceExchange.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuegauge {

/// Decides where an agent asks for the digests of a new version's pieces, in this order; the origin
/// is an entry without a peer.
///
/// Load pattern answered: all agents learn of a version at the same moment. A list of digests has a
/// few kilobytes, so 90 agents that ask the origin take a quarter of a copy from it and hold up its
/// link for a second. All agents compute the same tree over themselves; only its roots ask the
/// origin, the others ask the agent above them, which answers once it knows. An agent
/// that is not about to learn them says so at once; if all that were asked do, the origin is asked.
class ManifestSources {
public:
  /// Agents that ask the origin at once.
  static constexpr std::size_t Roots = 3;
  /// Agents that ask the same agent.
  static constexpr std::size_t FanOut = 4;
  /// Sources asked in one attempt, without the origin that is asked later.
  static constexpr std::size_t MaxPeersAsked = 3;

  struct Source {
    /// Nothing for the origin.
    std::optional<PiecePeer> m_Peer;
  };

  /// `Key` names the version. `Attempt` counts from 0; agents below the roots ask the origin from
  /// OriginAttempt on, in case that all agents above them are gone.
  static constexpr unsigned OriginAttempt = 1;
  static std::vector<Source> sources(const std::string &Key, const std::vector<PiecePeer> &Peers,
                                     const InstanceId &Self, const RegionId &OriginRegion,
                                     unsigned Attempt);
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_MANIFESTSOURCES_H
