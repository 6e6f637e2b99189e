#include "Fescuegauge/UnstartedRequests.h"

#include <algorithm>

namespace fescuegauge {

UnstartedNumber UnstartedRequests::add(const ModelId &Model, const UpstreamRecord &Upstream,
                                       TimePoint Now) {
  m_Last = m_Last.next();
  m_Entries[m_Last] = {Model, Upstream.m_Id, Upstream.heldVersion(Model), Now};
  return m_Last;
}

std::optional<UnstartedRequests::Wait> UnstartedRequests::remove(UnstartedNumber Number,
                                                                 TimePoint Now) {
  const auto Removed = m_Entries.extract(Number);
  if (Removed.empty())
    return std::nullopt;
  return Wait{Removed.mapped().m_Upstream, Now - Removed.mapped().m_SentAt};
}

std::vector<UnstartedNumber> UnstartedRequests::overdue(const UpstreamBoard &Board,
                                                        TimePoint Now) const {
  std::vector<UnstartedNumber> Result;
  for (const auto &[Number, Each] : m_Entries) {
    const Duration Lead = std::clamp(Now - Each.m_SentAt, LeastLead, LongestLead);
    const WeightsVersion Least = Board.boundedVersion(Each.m_Model, Now + Lead);
    const UpstreamRecord *Listed = Board.find(Each.m_Upstream);
    if ((Listed ? Listed->heldVersion(Each.m_Model) : Each.m_Version) < Least)
      Result.push_back(Number);
  }
  return Result;
}

std::optional<TimePoint> UnstartedRequests::nextCheck(TimePoint Bound, TimePoint Now) {
  if (Now >= Bound - LeastLead)
    return std::nullopt;
  return std::min(std::max(Bound - LongestLead, Now + CheckInterval), Bound - LeastLead);
}

} // namespace fescuegauge
