#include "Fescuegauge/DataCentreReachability.h"

namespace fescuegauge {

bool DataCentreReachability::onTimeout(const DataCentreId &DataCentre, const InstanceId &Upstream,
                                       TimePoint StartedAt, TimePoint Now) {
  State &Of = m_States[DataCentre];
  if (Of.m_IsUnreachable || Of.m_HeardAt >= StartedAt)
    return false;
  if (Of.m_TimedOut.empty() || Now - Of.m_FirstTimeoutAt > EvidenceWindow) {
    Of.m_TimedOut.clear();
    Of.m_FirstTimeoutAt = Now;
  }
  Of.m_TimedOut.insert(Upstream);
  Of.m_IsUnreachable = Of.m_TimedOut.size() >= MinTimedOut;
  return Of.m_IsUnreachable;
}

bool DataCentreReachability::onHeard(const DataCentreId &DataCentre, TimePoint Now) {
  State &Of = m_States[DataCentre];
  Of.m_HeardAt = Now;
  Of.m_TimedOut.clear();
  return std::exchange(Of.m_IsUnreachable, false);
}

} // namespace fescuegauge
