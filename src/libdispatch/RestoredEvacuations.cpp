#include "Fescuegauge/RestoredEvacuations.h"

#include <algorithm>

namespace fescuegauge {

void RestoredEvacuations::onWritten(const DataCentreId &DataCentre, bool IsEvacuated,
                                    TimePoint Now) {
  m_Pending.erase(DataCentre);
  State &Known = m_Known.try_emplace(DataCentre, State{!IsEvacuated, Now}).first->second;
  if (Known.m_IsEvacuated != IsEvacuated)
    Known = {IsEvacuated, Now};
}

bool RestoredEvacuations::onRestored(const DataCentreId &DataCentre, bool IsEvacuated,
                                     TimePoint Now) {
  auto Found = m_Known.find(DataCentre);
  if (Found != m_Known.end() && Found->second.m_IsEvacuated != IsEvacuated &&
      Now - Found->second.m_Since <= MaxCopyAge) {
    m_Pending.try_emplace(DataCentre, Pending{IsEvacuated, Now + RepeatGrace});
    return false;
  }
  onWritten(DataCentre, IsEvacuated, Now);
  return true;
}

std::vector<std::pair<DataCentreId, bool>> RestoredEvacuations::takeDue(TimePoint Now) {
  std::vector<std::pair<DataCentreId, bool>> Due;
  for (const auto &[DataCentre, Each] : m_Pending)
    if (Now >= Each.m_DueAt)
      Due.emplace_back(DataCentre, Each.m_IsEvacuated);
  for (const auto &[DataCentre, IsEvacuated] : Due)
    onWritten(DataCentre, IsEvacuated, Now);
  return Due;
}

std::optional<TimePoint> RestoredEvacuations::nextDue() const {
  std::optional<TimePoint> Next;
  for (const auto &[DataCentre, Each] : m_Pending)
    Next = std::min(Next.value_or(Each.m_DueAt), Each.m_DueAt);
  return Next;
}

} // namespace fescuegauge
