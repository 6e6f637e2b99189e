#include "Fescuegauge/CrashSuspects.h"

#include <algorithm>

namespace fescuegauge {

const CrashSuspects::Losses *CrashSuspects::find(const SuspectKey &Key) const {
  auto Account = m_Parts.find(Key.m_Account);
  if (Account == m_Parts.end())
    return nullptr;
  auto Found = Account->second.find(Key.m_BodyDigest);
  return Found == Account->second.end() ? nullptr : &Found->second;
}

std::vector<CrashSuspects::LossId> CrashSuspects::marks(const Losses &Of, TimePoint Now) const {
  std::vector<LossId> Result;
  for (const auto &[Id, Lost] : Of)
    if (!Lost.m_Cleared && Now < Lost.m_At + Lifetime)
      Result.push_back(Id);
  return Result;
}

void CrashSuspects::upstreamLost(const InstanceId &Upstream, Incarnation Lost,
                                 std::span<const SuspectKey> Running, TimePoint Now) {
  std::vector<SuspectKey> Marked;
  for (const SuspectKey &Key : Running)
    if (isSuspect(Key, Now))
      Marked.push_back(Key);
  if (Marked.empty())
    Marked.assign(Running.begin(), Running.end());
  for (const SuspectKey &Key : Marked) {
    SuspectDelta Delta{Key, Upstream, Lost, false, Duration()};
    if (add(Delta, Now))
      queue(std::move(Delta), Now);
  }
}

void CrashSuspects::completed(const SuspectKey &Key, TimePoint Now) {
  const Losses *Found = find(Key);
  if (!Found)
    return;
  for (const LossId &Id : marks(*Found, Now)) {
    SuspectDelta Delta{Key, Id.first, Id.second, true, Now - Found->at(Id).m_At};
    if (add(Delta, Now))
      queue(std::move(Delta), Now);
  }
}

bool CrashSuspects::isSuspect(const SuspectKey &Key, TimePoint Now) const {
  const Losses *Found = find(Key);
  return Found && !marks(*Found, Now).empty();
}

bool CrashSuspects::isBlamed(const SuspectKey &Key, TimePoint Now) const {
  const Losses *Found = find(Key);
  if (!Found)
    return false;
  std::vector<LossId> Own = marks(*Found, Now);
  if (Own.size() < LossesToBlame)
    return false;
  for (const auto &[Account, Requests] : m_Parts)
    for (const auto &[Body, Others] : Requests) {
      if (Account == Key.m_Account && Body == Key.m_BodyDigest)
        continue;
      std::vector<LossId> Other = marks(Others, Now);
      if (std::includes(Other.begin(), Other.end(), Own.begin(), Own.end()))
        return false;
    }
  return true;
}

TimePoint CrashSuspects::lastLoss(const Losses &Of) {
  TimePoint Last = TimePoint::min();
  for (const auto &[Id, Lost] : Of)
    Last = std::max(Last, Lost.m_At);
  return Last;
}

void CrashSuspects::makeRoom(const SuspectKey &For) {
  if (!m_Parts.contains(For.m_Account) && m_Parts.size() >= MaxAccounts) {
    auto LastOf = [](const Part &Requests) {
      TimePoint Last = TimePoint::min();
      for (const auto &[Body, Lost] : Requests)
        Last = std::max(Last, lastLoss(Lost));
      return Last;
    };
    m_Parts.erase(
        std::min_element(m_Parts.begin(), m_Parts.end(), [&](const auto &Left, const auto &Right) {
          return LastOf(Left.second) < LastOf(Right.second);
        }));
  }
  Part &Requests = m_Parts[For.m_Account];
  if (Requests.contains(For.m_BodyDigest) || Requests.size() < MaxPerAccount)
    return;
  // Requests with fewer losses go first, so that innocent ones do not displace one to blame.
  Requests.erase(
      std::min_element(Requests.begin(), Requests.end(), [](const auto &Left, const auto &Right) {
        auto Rank = [](const Losses &Of) {
          auto Standing = std::count_if(Of.begin(), Of.end(),
                                        [](const auto &Lost) { return !Lost.second.m_Cleared; });
          return std::pair(Standing, lastLoss(Of));
        };
        return Rank(Left.second) < Rank(Right.second);
      }));
}

bool CrashSuspects::add(const SuspectDelta &Delta, TimePoint Now) {
  if (Delta.m_Age >= Lifetime)
    return false;
  makeRoom(Delta.m_Key);
  Losses &Known = m_Parts[Delta.m_Key.m_Account][Delta.m_Key.m_BodyDigest];
  LossId Id{Delta.m_Upstream, Delta.m_Incarnation};
  if (auto Found = Known.find(Id); Found != Known.end()) {
    bool News = Delta.m_Cleared && !Found->second.m_Cleared;
    Found->second.m_Cleared = Found->second.m_Cleared || Delta.m_Cleared;
    return News;
  }
  if (Known.size() >= MaxLosses)
    Known.erase(
        std::min_element(Known.begin(), Known.end(), [](const auto &Left, const auto &Right) {
          return Left.second.m_At < Right.second.m_At;
        }));
  Known.emplace(Id, Loss{Now - Delta.m_Age, Delta.m_Cleared});
  return true;
}

void CrashSuspects::queue(SuspectDelta Delta, TimePoint Now) {
  if (m_Outgoing.size() >= MaxOutgoing)
    m_Outgoing.erase(m_Outgoing.begin());
  TimePoint At = Now - Delta.m_Age;
  m_Outgoing.emplace_back(At, std::move(Delta));
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

std::vector<SuspectDelta> CrashSuspects::everything(TimePoint Now) const {
  std::vector<SuspectDelta> Result;
  for (const auto &[Account, Requests] : m_Parts)
    for (const auto &[Body, Known] : Requests)
      for (const auto &[Id, Lost] : Known)
        Result.push_back({{Account, Body}, Id.first, Id.second, Lost.m_Cleared, Now - Lost.m_At});
  return Result;
}

void CrashSuspects::merge(std::span<const SuspectDelta> Deltas, TimePoint Now) {
  for (const SuspectDelta &Delta : Deltas)
    add(Delta, Now);
}

void CrashSuspects::onTimer(TimePoint Now) {
  for (auto &[Account, Requests] : m_Parts) {
    for (auto &[Body, Known] : Requests)
      std::erase_if(Known, [&](const auto &Lost) { return Now >= Lost.second.m_At + Lifetime; });
    std::erase_if(Requests, [](const auto &Request) { return Request.second.empty(); });
  }
  std::erase_if(m_Parts, [](const auto &Account) { return Account.second.empty(); });
}

std::size_t CrashSuspects::size() const {
  std::size_t Count = 0;
  for (const auto &[Account, Requests] : m_Parts)
    Count += Requests.size();
  return Count;
}

std::size_t CrashSuspects::sizeOf(const ClientAccountId &Account) const {
  auto Found = m_Parts.find(Account);
  return Found == m_Parts.end() ? 0 : Found->second.size();
}

} // namespace fescuegauge
