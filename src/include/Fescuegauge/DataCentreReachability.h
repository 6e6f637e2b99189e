#ifndef FESCUEGAUGE_DATACENTREREACHABILITY_H
#define FESCUEGAUGE_DATACENTREREACHABILITY_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <map>
#include <set>
#include <utility>

namespace fescuegauge {

/// Detects data centres whose upstreams can no longer be reached from this instance.
///
/// Meant for a data centre that is cut off under load. Its upstreams then look the least loaded of
/// all, because nothing is placed there for long, and each request that is sent to one of them
/// spends its target latency on a connection that does not open. Upstreams that fail one by one do
/// not show this soon enough: a data centre has dozens of them, and each entry instance would have
/// to try each one. Two of them that time out while none of the others sends anything are taken as
/// evidence on all. Requests are kept away from then on; a connection that opens, tried at
/// ProbeInterval, ends that state.
class DataCentreReachability {
public:
  /// Number of upstreams that must time out. One that fails alone has crashed.
  static constexpr std::size_t MinTimedOut = 2;
  /// Timeouts that are further apart are not evidence on the same event.
  static constexpr Duration EvidenceWindow = std::chrono::milliseconds(1000);
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(250);

  /// A connection to the upstream did not open in time; it was attempted at `StartedAt`. Returns
  /// whether the data centre became unreachable.
  bool onTimeout(const DataCentreId &DataCentre, const InstanceId &Upstream, TimePoint StartedAt,
                 TimePoint Now);
  /// An upstream of the data centre sent something, or accepted a connection. Returns whether the
  /// data centre was unreachable.
  bool onHeard(const DataCentreId &DataCentre, TimePoint Now);
  bool isUnreachable(const DataCentreId &DataCentre) const {
    auto Found = m_States.find(DataCentre);
    return Found != m_States.end() && Found->second.m_IsUnreachable;
  }

private:
  struct State {
    bool m_IsUnreachable = false;
    TimePoint m_HeardAt;
    TimePoint m_FirstTimeoutAt;
    std::set<InstanceId> m_TimedOut;
  };
  std::map<DataCentreId, State> m_States;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_DATACENTREREACHABILITY_H
