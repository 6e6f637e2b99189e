#ifndef FESCUEGAUGE_DISPATCHSUBSET_H
#define FESCUEGAUGE_DISPATCHSUBSET_H

#include "Fescuegauge/InstanceRecord.h"

#include <memory>
#include <span>
#include <vector>

namespace fescuegauge {

/// Chooses the upstreams to which one entry instance keeps connections, so that the number of
/// connections does not grow with entry instances times upstreams.
///
/// Entry instances and agents of a data centre are each put on a ring in the order of a hash. An
/// entry instance takes consecutive agents from its part of the ring, so every agent is taken by
/// about the same number of entry instances, and a member that comes or goes shifts the parts
/// slightly. Services with fewer local agents are filled up with agents of other data centres,
/// those of the own region first.
class DispatchSubset {
public:
  /// Agents of one service in the own data centre, unless there are more than that many for each
  /// entry instance.
  static constexpr std::size_t LocalPerService = 12;
  /// Agents of one service in other data centres, for spill-over. More are taken while the service
  /// has fewer than LocalPerService agents here.
  static constexpr std::size_t RemotePerService = 2;

  using Records = std::span<const std::shared_ptr<const InstanceRecord>>;

  /// `Members` holds the agents of all data centres and the entry instances of the own one, without
  /// `Self`. Returns ids in order; dead agents are left out.
  static std::vector<InstanceId> choose(const InstanceRecord &Self, Records Members);
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_DISPATCHSUBSET_H
