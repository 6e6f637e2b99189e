#ifndef FESCUEGAUGE_RELAYSELECTOR_H
#define FESCUEGAUGE_RELAYSELECTOR_H

#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Units.h"

#include <map>
#include <vector>

namespace fescuegauge {

/// Selects the entry instances of the local data centre from which a process reads data of the
/// platform's store before it reads from the store itself.
///
/// Meant for dozens of processes that each read a large plan over one link between regions, or that
/// all start at the same moment. Entry instances are ranked by address and form a tree in that
/// order. Each reads from its ancestors, so the first one reads from the store, none serves many
/// others, and no two wait for each other. Agents are spread over all entry instances.
class RelaySelector {
public:
  /// Number of instances that are tried before the store. Instances of a higher rank serve more
  /// others, so the number grows with the number of instances.
  static constexpr std::size_t MinCandidates = 3;
  static constexpr std::size_t InstancesPerCandidate = 16;
  /// An instance that did not answer is skipped for this time.
  static constexpr Duration FailurePause = std::chrono::seconds(5);

  /// Number of entry instances that read from the same one first. A plan of 600 kB takes 0.12 s of
  /// a link of 40 Mbit/s for each of them.
  static constexpr std::size_t FanOut = 4;

  /// An entry instance reads only from those ranked before itself.
  RelaySelector(Endpoint Self, bool IsEntry) : m_Self(std::move(Self)), m_IsEntry(IsEntry) {}

  /// Sets the entry instances of the local data centre, in any order, with or without `Self`.
  void setInstances(std::vector<Endpoint> Known);
  /// The instances to try, in this order; empty if the store is to be read.
  std::vector<Endpoint> candidates(TimePoint Now) const;
  void onFailure(const Endpoint &Instance, TimePoint Now);

private:
  /// The ancestors of this instance in the tree first, then the others.
  static std::vector<Endpoint> inTreeOrder(std::vector<Endpoint> HigherRanked);

  Endpoint m_Self;
  bool m_IsEntry;
  /// By rank.
  std::vector<Endpoint> m_Ranked;
  std::map<Endpoint, TimePoint> m_SkippedUntil;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_RELAYSELECTOR_H
