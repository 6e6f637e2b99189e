#include "Fescuegauge/UpstreamDirectory.h"

#include <algorithm>

namespace fescuegauge {

void UpstreamDirectory::put(const UpstreamRecord &Record) { m_Entries[Record.m_Id] = {Record, {}}; }

void UpstreamDirectory::removeLapsed(const InstanceId &Id, TimePoint LearntAt, TimePoint Now) {
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return;
  Entry &Known = Found->second;
  Known.m_ExpiresAt =
      std::min(Known.m_ExpiresAt.value_or(TimePoint::max()), LearntAt + ReturnGrace);
  // An upstream that announced that it is leaving does not return.
  if (Known.m_Record.m_IsLeaving || Now >= *Known.m_ExpiresAt)
    m_Entries.erase(Found);
}

bool UpstreamDirectory::expire(TimePoint Now) {
  return std::erase_if(m_Entries, [&](const auto &Each) {
           return Each.second.m_ExpiresAt && Now >= *Each.second.m_ExpiresAt;
         }) > 0;
}

std::optional<TimePoint> UpstreamDirectory::nextExpiry() const {
  std::optional<TimePoint> Next;
  for (const auto &[Id, Each] : m_Entries)
    if (Each.m_ExpiresAt && (!Next || *Each.m_ExpiresAt < *Next))
      Next = Each.m_ExpiresAt;
  return Next;
}

std::vector<UpstreamRecord> UpstreamDirectory::records() const {
  std::vector<UpstreamRecord> Result;
  Result.reserve(m_Entries.size());
  for (const auto &[Id, Each] : m_Entries)
    Result.push_back(Each.m_Record);
  return Result;
}

} // namespace fescuegauge
