#include "Fescuegauge/WeightsDeadlines.h"

#include <algorithm>

namespace fescuegauge {

void WeightsDeadlines::onAnnounced(const ModelId &Model, WeightsVersion Version,
                                   std::optional<TimePoint> NotBefore, TimePoint Now) {
  Announcement New;
  New.m_At = NotBefore.value_or(Now);
  New.m_Uncertainty = Now - New.m_At;
  New.m_IsAgeUnknown = !NotBefore;
  New.m_HasUnobservedOutages = NotBefore && *NotBefore < m_StartedAt;
  mergeAnnouncement(Model, Version, New, Now);
}

std::optional<AgeChange> WeightsDeadlines::onPeerUpdate(const AnnouncedWeights &Reported,
                                                        TimePoint Now) {
  Announcement New;
  New.m_At = Now - Reported.m_Age;
  New.m_Uncertainty = Reported.m_Uncertainty;
  return mergeAnnouncement(Reported.m_Model, Reported.m_Version, New, Now);
}

bool WeightsDeadlines::isMoreReliable(const Announcement &New, const Announcement &Known) {
  if (!New.isCertain() || !Known.isCertain())
    return New.isCertain();
  return New.wasObserved() == Known.wasObserved() ? New.m_At < Known.m_At : New.wasObserved();
}

std::optional<AgeChange> WeightsDeadlines::mergeAnnouncement(const ModelId &Model,
                                                             WeightsVersion Version,
                                                             Announcement New, TimePoint Now) {
  auto &Versions = m_Announced[Model];
  auto [Entry, IsNew] = Versions.try_emplace(Version);
  Announcement &Known = Entry->second;
  std::optional<AgeChange> Change;
  if (IsNew || isMoreReliable(New, Known)) {
    Change.emplace();
    Change->m_IsNewVersion = IsNew;
    if (!IsNew && !Known.m_IsAgeUnknown)
      Change->m_Before = Now - Known.m_At;
    New.m_IsHeld = Known.m_IsHeld;
    Known = New;
  }
  while (Versions.size() > MaxVersions)
    Versions.erase(Versions.begin());
  return Versions.contains(Version) ? Change : std::nullopt;
}

void WeightsDeadlines::onVersionHeld(const ModelId &Model, WeightsVersion Version) {
  auto Found = m_Announced.find(Model);
  if (Found == m_Announced.end())
    return;
  for (auto &[Announced, Entry] : Found->second)
    if (Announced <= Version)
      Entry.m_IsHeld = true;
}

TimePoint WeightsDeadlines::enforcedAt(const Announcement &Of) const {
  if (!Of.m_IsAgeUnknown)
    return countedFrom(Of) + m_Bound - Margin;
  return Of.m_IsHeld ? Of.m_At : Of.m_At + UnknownAgeAllowance;
}

std::map<ModelId, WeightsVersion> WeightsDeadlines::minVersions(TimePoint Now) const {
  std::map<ModelId, WeightsVersion> Result;
  for (const auto &[Model, Versions] : m_Announced)
    for (const auto &[Version, Entry] : Versions)
      if (enforcedAt(Entry) <= Now)
        Result[Model] = std::max(Result[Model], Version);
  return Result;
}

std::optional<TimePoint> WeightsDeadlines::nextChange(TimePoint Now) const {
  std::optional<TimePoint> Next;
  for (const auto &[Model, Versions] : m_Announced)
    for (const auto &[Version, Entry] : Versions)
      if (const TimePoint At = enforcedAt(Entry); At > Now && (!Next || At < *Next))
        Next = At;
  return Next;
}

ExclusionDetails WeightsDeadlines::exclusionDetails(const ModelId &Model, WeightsVersion Version,
                                                    TimePoint Now) const {
  const Announcement &Entry = m_Announced.at(Model).at(Version);
  ExclusionDetails Result;
  Result.m_IsAgeKnown = !Entry.m_IsAgeUnknown;
  Result.m_SinceAnnouncement = Now - Entry.m_At;
  Result.m_Late = Now - enforcedAt(Entry);
  if (Result.m_IsAgeKnown)
    Result.m_DeferredByOutage = countedFrom(Entry) - Entry.m_At;
  return Result;
}

std::map<ModelId, std::vector<WeightsBound>> WeightsDeadlines::bounds() const {
  std::map<ModelId, std::vector<WeightsBound>> Result;
  for (const auto &[Model, Versions] : m_Announced)
    for (const auto &[Version, Entry] : Versions)
      Result[Model].push_back({Version, enforcedAt(Entry) + Margin});
  return Result;
}

std::vector<AnnouncedWeights> WeightsDeadlines::known(TimePoint Now) const {
  std::vector<AnnouncedWeights> Result;
  for (const auto &[Model, Versions] : m_Announced)
    for (const auto &[Version, Entry] : Versions)
      if (Entry.isCertain()) {
        // An outage may be observed by this instance alone, so the deferral adds to the
        // uncertainty.
        const TimePoint From = countedFrom(Entry);
        Result.push_back({Model, Version, Now - From, Entry.m_Uncertainty + (From - Entry.m_At)});
      }
  return Result;
}

} // namespace fescuegauge
