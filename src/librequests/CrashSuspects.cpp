#include "Fescuegauge/CrashSuspects.h"

#include <algorithm>

namespace fescuegauge {

const CrashSuspects::CrashMap *CrashSuspects::find(const SuspectKey &Key) const {
  auto Account = m_SuspectsByAccount.find(Key.m_Account);
  if (Account == m_SuspectsByAccount.end())
    return nullptr;
  auto Found = Account->second.find(Key.m_BodyDigest);
  return Found == Account->second.end() ? nullptr : &Found->second;
}

std::vector<CrashSuspects::CrashId> CrashSuspects::activeCrashes(const CrashMap &Crashes,
                                                                 TimePoint Now) const {
  std::vector<CrashId> Result;
  for (const auto &[Id, Record] : Crashes)
    if (!Record.m_Cleared && Now < Record.m_DetectedAt + Lifetime)
      Result.push_back(Id);
  return Result;
}

void CrashSuspects::recordCrash(const InstanceId &Upstream, Incarnation CrashIncarnation,
                                std::span<const SuspectKey> Running, TimePoint Now) {
  std::vector<SuspectKey> Suspected;
  for (const SuspectKey &Key : Running)
    if (isSuspect(Key, Now))
      Suspected.push_back(Key);
  if (Suspected.empty())
    Suspected.assign(Running.begin(), Running.end());
  for (const SuspectKey &Key : Suspected) {
    SuspectDelta Delta{Key, Upstream, CrashIncarnation, false, Duration()};
    if (apply(Delta, Now))
      queue(std::move(Delta), Now);
  }
}

void CrashSuspects::completed(const SuspectKey &Key, TimePoint Now) {
  const CrashMap *Found = find(Key);
  if (!Found)
    return;
  for (const CrashId &Id : activeCrashes(*Found, Now)) {
    SuspectDelta Delta{Key, Id.first, Id.second, true, Now - Found->at(Id).m_DetectedAt};
    if (apply(Delta, Now))
      queue(std::move(Delta), Now);
  }
}

bool CrashSuspects::isSuspect(const SuspectKey &Key, TimePoint Now) const {
  const CrashMap *Found = find(Key);
  return Found && !activeCrashes(*Found, Now).empty();
}

bool CrashSuspects::isQuarantined(const SuspectKey &Key, TimePoint Now) const {
  const CrashMap *Found = find(Key);
  if (!Found)
    return false;
  std::vector<CrashId> OwnActive = activeCrashes(*Found, Now);
  if (OwnActive.size() < CrashesToQuarantine)
    return false;
  for (const auto &[Account, Requests] : m_SuspectsByAccount)
    for (const auto &[Body, OtherCrashes] : Requests) {
      if (Account == Key.m_Account && Body == Key.m_BodyDigest)
        continue;
      std::vector<CrashId> OtherActive = activeCrashes(OtherCrashes, Now);
      if (std::includes(OtherActive.begin(), OtherActive.end(), OwnActive.begin(), OwnActive.end()))
        return false;
    }
  return true;
}

TimePoint CrashSuspects::lastCrash(const CrashMap &Crashes) {
  TimePoint Last = TimePoint::min();
  for (const auto &[Id, Record] : Crashes)
    Last = std::max(Last, Record.m_DetectedAt);
  return Last;
}

void CrashSuspects::makeRoom(const SuspectKey &NewKey) {
  if (!m_SuspectsByAccount.contains(NewKey.m_Account) &&
      m_SuspectsByAccount.size() >= MaxAccounts) {
    auto LastOf = [](const SuspectMap &Requests) {
      TimePoint Last = TimePoint::min();
      for (const auto &[Body, Crashes] : Requests)
        Last = std::max(Last, lastCrash(Crashes));
      return Last;
    };
    m_SuspectsByAccount.erase(std::min_element(m_SuspectsByAccount.begin(),
                                               m_SuspectsByAccount.end(),
                                               [&](const auto &Left, const auto &Right) {
                                                 return LastOf(Left.second) < LastOf(Right.second);
                                               }));
  }
  SuspectMap &Requests = m_SuspectsByAccount[NewKey.m_Account];
  if (Requests.contains(NewKey.m_BodyDigest) || Requests.size() < MaxPerAccount)
    return;
  // Requests with fewer uncleared crashes are evicted first, so that requests that cause no crashes
  // do not displace one that does.
  Requests.erase(
      std::min_element(Requests.begin(), Requests.end(), [](const auto &Left, const auto &Right) {
        auto Rank = [](const CrashMap &Crashes) {
          auto UnclearedCount =
              std::count_if(Crashes.begin(), Crashes.end(),
                            [](const auto &Record) { return !Record.second.m_Cleared; });
          return std::pair(UnclearedCount, lastCrash(Crashes));
        };
        return Rank(Left.second) < Rank(Right.second);
      }));
}

bool CrashSuspects::apply(const SuspectDelta &Delta, TimePoint Now) {
  if (Delta.m_Age >= Lifetime)
    return false;
  makeRoom(Delta.m_Key);
  CrashMap &KnownCrashes = m_SuspectsByAccount[Delta.m_Key.m_Account][Delta.m_Key.m_BodyDigest];
  CrashId Id{Delta.m_Upstream, Delta.m_Incarnation};
  if (auto Found = KnownCrashes.find(Id); Found != KnownCrashes.end()) {
    bool IsChanged = Delta.m_Cleared && !Found->second.m_Cleared;
    Found->second.m_Cleared = Found->second.m_Cleared || Delta.m_Cleared;
    return IsChanged;
  }
  if (KnownCrashes.size() >= MaxCrashesPerRequest)
    KnownCrashes.erase(std::min_element(
        KnownCrashes.begin(), KnownCrashes.end(), [](const auto &Left, const auto &Right) {
          return Left.second.m_DetectedAt < Right.second.m_DetectedAt;
        }));
  KnownCrashes.emplace(Id, Crash{Now - Delta.m_Age, Delta.m_Cleared});
  return true;
}

void CrashSuspects::queue(SuspectDelta Delta, TimePoint Now) {
  if (m_Outgoing.size() >= MaxOutgoing)
    m_Outgoing.erase(m_Outgoing.begin());
  TimePoint DetectedAt = Now - Delta.m_Age;
  m_Outgoing.emplace_back(DetectedAt, std::move(Delta));
}

std::vector<SuspectDelta> CrashSuspects::takeDeltas(TimePoint Now) {
  std::vector<SuspectDelta> Result;
  std::size_t Count = std::min(m_Outgoing.size(), MaxDeltasPerMessage);
  for (std::size_t I = 0; I < Count; ++I) {
    Result.push_back(std::move(m_Outgoing[I].second));
    Result.back().m_Age = Now - m_Outgoing[I].first;
  }
  m_Outgoing.erase(m_Outgoing.begin(), m_Outgoing.begin() + static_cast<std::ptrdiff_t>(Count));
  return Result;
}

std::vector<SuspectDelta> CrashSuspects::allDeltas(TimePoint Now) const {
  std::vector<SuspectDelta> Result;
  for (const auto &[Account, Requests] : m_SuspectsByAccount)
    for (const auto &[Body, KnownCrashes] : Requests)
      for (const auto &[Id, Record] : KnownCrashes)
        Result.push_back(
            {{Account, Body}, Id.first, Id.second, Record.m_Cleared, Now - Record.m_DetectedAt});
  return Result;
}

void CrashSuspects::merge(std::span<const SuspectDelta> Deltas, TimePoint Now) {
  for (const SuspectDelta &Delta : Deltas)
    apply(Delta, Now);
}

void CrashSuspects::onTimer(TimePoint Now) {
  for (auto &[Account, Requests] : m_SuspectsByAccount) {
    for (auto &[Body, KnownCrashes] : Requests)
      std::erase_if(KnownCrashes, [&](const auto &Record) {
        return Now >= Record.second.m_DetectedAt + Lifetime;
      });
    std::erase_if(Requests, [](const auto &Request) { return Request.second.empty(); });
  }
  std::erase_if(m_SuspectsByAccount, [](const auto &Account) { return Account.second.empty(); });
}

std::size_t CrashSuspects::size() const {
  std::size_t Count = 0;
  for (const auto &[Account, Requests] : m_SuspectsByAccount)
    Count += Requests.size();
  return Count;
}

std::size_t CrashSuspects::suspectCount(const ClientAccountId &Account) const {
  auto Found = m_SuspectsByAccount.find(Account);
  return Found == m_SuspectsByAccount.end() ? 0 : Found->second.size();
}

} // namespace fescuegauge
