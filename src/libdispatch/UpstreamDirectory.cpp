#include "Fescuegauge/UpstreamDirectory.h"

#include <algorithm>

namespace fescuegauge {

void UpstreamDirectory::put(const UpstreamRecord &Record) {
  m_Entries[Record.m_Id] = {Record, {}};
  std::erase(m_Departures, Record.start());
}

bool UpstreamDirectory::isOlder(const UpstreamRecord &Restored, const UpstreamRecord &Known) {
  if (Restored.m_Incarnation != Known.m_Incarnation)
    return Restored.m_Incarnation < Known.m_Incarnation;
  // A start that is leaving never becomes ready again, and loads only newer weights.
  return (Known.m_IsLeaving && !Restored.m_IsLeaving) ||
         std::any_of(Known.m_Weights.begin(), Known.m_Weights.end(), [&](const HeldWeights &Held) {
           return Restored.heldVersion(Held.m_Model) < Held.m_Version;
         });
}

bool UpstreamDirectory::putRestored(const UpstreamRecord &Record) {
  const bool HasLeft =
      std::any_of(m_Departures.begin(), m_Departures.end(), [&](const UpstreamStart &Each) {
        return Each.m_Id == Record.m_Id && Record.m_Incarnation <= Each.m_Incarnation;
      });
  auto Found = m_Entries.find(Record.m_Id);
  if (Found == m_Entries.end() ? HasLeft : isOlder(Record, Found->second.m_Record))
    return false;
  put(Record);
  return true;
}

void UpstreamDirectory::remove(const InstanceId &Id) {
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return;
  m_Departures.push_back(Found->second.m_Record.start());
  if (m_Departures.size() > MaxDepartures)
    m_Departures.pop_front();
  m_Entries.erase(Found);
}

void UpstreamDirectory::removeLapsed(const InstanceId &Id, TimePoint LearntAt, TimePoint Now) {
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return;
  Entry &Known = Found->second;
  Known.m_ExpiresAt =
      std::min(Known.m_ExpiresAt.value_or(TimePoint::max()), LearntAt + ReturnGrace);
  // An upstream that announced that it is leaving does not return.
  if (Known.m_Record.m_IsLeaving)
    remove(Id);
  else if (Now >= *Known.m_ExpiresAt)
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
