#include "Fescuegauge/UpstreamDirectory.h"

namespace fescuegauge {

void UpstreamDirectory::replace(std::vector<UpstreamRecord> Listed, TimePoint Now) {
  if (m_LostAt) {
    m_ReturnedAt = Now;
    m_LostAt.reset();
  }
  std::map<InstanceId, Entry> Next;
  for (UpstreamRecord &Record : Listed) {
    const InstanceId Id = Record.m_Id;
    Next[Id].m_Record = std::move(Record);
  }
  if (isInGrace(Now))
    for (auto &[Id, Known] : m_Entries)
      if (!Next.contains(Id)) {
        Known.m_ForgetAt = Known.m_ForgetAt.value_or(*m_ReturnedAt + ReturnGrace);
        Next.emplace(Id, std::move(Known));
      }
  m_Entries = std::move(Next);
}

void UpstreamDirectory::put(const UpstreamRecord &Record) { m_Entries[Record.m_Id] = {Record, {}}; }

void UpstreamDirectory::remove(const InstanceId &Id, TimePoint Now) {
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return;
  if (isInGrace(Now) && !Found->second.m_Record.m_Leaving)
    Found->second.m_ForgetAt = *m_ReturnedAt + ReturnGrace;
  else
    m_Entries.erase(Found);
}

bool UpstreamDirectory::expire(TimePoint Now) {
  return std::erase_if(m_Entries, [&](const auto &Each) {
           return Each.second.m_ForgetAt && Now >= *Each.second.m_ForgetAt;
         }) > 0;
}

std::optional<TimePoint> UpstreamDirectory::nextExpiry() const {
  std::optional<TimePoint> Next;
  for (const auto &[Id, Each] : m_Entries)
    if (Each.m_ForgetAt && (!Next || *Each.m_ForgetAt < *Next))
      Next = Each.m_ForgetAt;
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
