#include "Fescuegauge/UnstartedRequests.h"

#include <algorithm>

namespace fescuegauge {

UnstartedNumber UnstartedRequests::add(const ModelId &Model, const UpstreamRecord &Upstream,
                                       TimePoint Now) {
  m_LastNumber = m_LastNumber.next();
  m_Entries[m_LastNumber] = {Model, Upstream.m_Id, Upstream.heldVersion(Model), Now};
  return m_LastNumber;
}

std::optional<UnstartedRequests::Wait> UnstartedRequests::remove(UnstartedNumber Number,
                                                                 TimePoint Now) {
  const auto Removed = m_Entries.extract(Number);
  if (Removed.empty())
    return std::nullopt;
  return Wait{Removed.mapped().m_Upstream, Now - Removed.mapped().m_SentAt};
}

std::vector<UnstartedNumber> UnstartedRequests::overdue(const LoadBalancer &Balancer,
                                                        TimePoint Now) const {
  std::vector<UnstartedNumber> Result;
  for (const auto &[Number, Each] : m_Entries) {
    const Duration Lead = std::clamp(Now - Each.m_SentAt, MinLead, MaxLead);
    const WeightsVersion MinVersion = Balancer.minVersionAt(Each.m_Model, Now + Lead);
    const UpstreamRecord *Listed = Balancer.find(Each.m_Upstream);
    if ((Listed ? Listed->heldVersion(Each.m_Model) : Each.m_Version) < MinVersion)
      Result.push_back(Number);
  }
  return Result;
}

std::optional<TimePoint> UnstartedRequests::nextCheck(TimePoint Bound, TimePoint Now) {
  if (Now >= Bound - MinLead)
    return std::nullopt;
  return std::min(std::max(Bound - MaxLead, Now + CheckInterval), Bound - MinLead);
}

} // namespace fescuegauge
