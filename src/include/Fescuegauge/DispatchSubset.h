#ifndef FESCUEGAUGE_DISPATCHSUBSET_H
#define FESCUEGAUGE_DISPATCHSUBSET_H

#include "Fescuegauge/InstanceRecord.h"

#include <memory>
#include <span>
#include <vector>

namespace fescuegauge {

/// Selects the subset of upstreams to which one entry instance keeps connections, so that the total
/// number of connections does not grow as the product of entry instances and upstreams.
///
/// The entry instances and the agents of a data centre are each arranged on a hash ring. Each entry
/// instance selects consecutive agents from its section of the ring. Every agent is therefore
/// selected by about the same number of entry instances, and a member that joins or leaves shifts
/// the sections only slightly. Services with too few local agents are completed with agents of
/// other data centres, those of the same region first.
class DispatchSubset {
public:
  /// Number of agents of one service that are selected in the local data centre. More are selected
  /// if there are more than this many agents per entry instance.
  static constexpr std::size_t LocalPerService = 12;
  /// Number of agents of one service that are selected in other data centres, for spill-over. More
  /// are selected while the service has fewer than LocalPerService local agents.
  static constexpr std::size_t RemotePerService = 2;

  using Records = std::span<const std::shared_ptr<const InstanceRecord>>;

  /// Returns the ids of the selected agents in ascending order, without dead ones. `Members` holds
  /// the agents of all data centres and the entry instances of the local one except `Self`.
  static std::vector<InstanceId> choose(const InstanceRecord &Self, Records Members);
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_DISPATCHSUBSET_H
