#ifndef FESCUEGAUGE_RELAYRANKING_H
#define FESCUEGAUGE_RELAYRANKING_H

#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Units.h"

#include <map>
#include <vector>

namespace fescuegauge {

/// Decides which entry instances of the own data centre a process asks for what the platform's
/// store holds, before it asks the store itself.
///
/// Load pattern answered: dozens of processes that each read a large plan over one link between
/// regions, or all start at the same moment. Entry instances are ranked by address and form a tree
/// in that order; each asks those above it, so the first one reads from the store, none serves many
/// others, and no two wait for each other. Agents spread over all entry instances.
class RelayRanking {
public:
  /// Instances asked before the store. Later ones are asked by more followers, so the count grows
  /// with the number of instances.
  static constexpr std::size_t MinCandidates = 3;
  static constexpr std::size_t InstancesPerCandidate = 16;
  /// One that did not answer is passed over for this time.
  static constexpr Duration FailurePause = std::chrono::seconds(5);

  /// Entry instances that ask the same one first. A plan of 600 kB takes 0.12 s of a link of
  /// 40 Mbit/s for each of them.
  static constexpr std::size_t FanOut = 4;

  /// An entry instance asks only those ranked before itself.
  RelayRanking(Endpoint Self, bool IsEntry) : m_Self(std::move(Self)), m_IsEntry(IsEntry) {}

  /// The entry instances of the own data centre, in any order, with or without `Self`.
  void setInstances(std::vector<Endpoint> Known);
  /// Whom to ask, in this order; none if the store is to be asked.
  std::vector<Endpoint> candidates(TimePoint Now) const;
  void onFailure(const Endpoint &Instance, TimePoint Now);

private:
  /// Those above the own place in the tree first, then the others.
  static std::vector<Endpoint> inTreeOrder(std::vector<Endpoint> Before);

  Endpoint m_Self;
  bool m_IsEntry;
  /// In order of rank.
  std::vector<Endpoint> m_Ranked;
  std::map<Endpoint, TimePoint> m_PausedUntil;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_RELAYRANKING_H
