#include "Fescuegauge/CrashSuspects.h"

#include <algorithm>
#include <iterator>

namespace fescuegauge {

namespace {

/// Hexadecimal digits of a digest that identify a request or a long part id.
constexpr std::size_t DigestDigits = 16;

template <typename Set> bool includes(const Set &Whole, const Set &Part) {
  return std::includes(Whole.begin(), Whole.end(), Part.begin(), Part.end());
}

/// Sorts by the number of times that items were sent, so that all of them are sent in turn.
template <typename Item> void sortBySent(std::vector<Item *> &Items) {
  std::stable_sort(Items.begin(), Items.end(), [](const Item *Left, const Item *Right) {
    return Left->m_Sent < Right->m_Sent;
  });
}

} // namespace

std::string SuspectKey::str() const {
  return (m_Kind == Kind::Request ? "request:" : "part:") + m_Id;
}

std::string joinKeys(std::span<const SuspectKey> Keys) {
  std::string Result;
  for (const SuspectKey &Each : Keys)
    Result += (Result.empty() ? "" : ",") + Each.str();
  return Result;
}

std::string_view quarantineChangeName(QuarantineChange::Kind Kind) {
  switch (Kind) {
  case QuarantineChange::Kind::Begun:
    return "begun";
  case QuarantineChange::Kind::Refuted:
    return "refuted";
  case QuarantineChange::Kind::Expired:
    return "expired";
  }
  return "unknown";
}

bool SuspectRequest::contains(const SuspectKey &Key) const {
  return std::binary_search(m_Keys.begin(), m_Keys.end(), Key);
}

bool Quarantine::matches(const SuspectRequest &Request) const {
  return (!m_Account || *m_Account == Request.m_Account) && includes(Request.m_Keys, m_Keys);
}

bool Quarantine::isOfOneRequest() const {
  return std::any_of(m_Keys.begin(), m_Keys.end(),
                     [](const SuspectKey &Key) { return Key.m_Kind == SuspectKey::Kind::Request; });
}

SuspectRequest makeSuspectRequest(ClientAccountId Account, const Digest &Content,
                                  std::span<const std::string> PromptParts) {
  SuspectRequest Result;
  DigestBuilder Identity;
  Identity.update(Content.bytes());
  Identity.update(Account.str());
  Result.m_Keys.push_back(
      {SuspectKey::Kind::Request, Identity.finish().hex().substr(0, DigestDigits)});
  Result.m_Account = std::move(Account);
  for (const std::string &Part :
       PromptParts.first(std::min(PromptParts.size(), CrashSuspects::MaxPartsPerRequest)))
    Result.m_Keys.push_back(
        {SuspectKey::Kind::PromptPart, Part.size() <= CrashSuspects::MaxPartIdBytes
                                           ? Part
                                           : "#" + sha256(Part).hex().substr(0, DigestDigits)});
  std::sort(Result.m_Keys.begin(), Result.m_Keys.end());
  Result.m_Keys.erase(std::unique(Result.m_Keys.begin(), Result.m_Keys.end()), Result.m_Keys.end());
  return Result;
}

std::vector<std::string> parseSharedPromptParts(std::string_view Header) {
  std::vector<std::string> Result;
  for (std::size_t Comma = Header.find(','); Comma != std::string_view::npos;
       Comma = Header.find(',')) {
    std::string_view Id = Header.substr(0, std::min(Comma, Header.find(':')));
    Header.remove_prefix(Comma + 1);
    Id.remove_prefix(std::min(Id.find_first_not_of(" \t"), Id.size()));
    Id = Id.substr(0, Id.find_last_not_of(" \t") + 1);
    if (!Id.empty())
      Result.emplace_back(Id);
  }
  return Result;
}

void CrashSuspects::removeUnstarted(std::map<UpstreamStart, Crash>::iterator Of,
                                    std::size_t Index) {
  auto &[Upstream, Recorded] = *Of;
  const SuspectRequest Removed = std::move(Recorded.m_Unstarted[Index].m_Request);
  Recorded.m_Unstarted.erase(Recorded.m_Unstarted.begin() + static_cast<std::ptrdiff_t>(Index));
  for (const SuspectKey &Key : Removed.m_Keys) {
    if (Recorded.hasUnstarted([&](const SuspectRequest &Each) { return Each.contains(Key); }))
      continue;
    auto Known = m_CrashesByKey.find(Key);
    Known->second.erase(Upstream);
    if (Known->second.empty())
      m_CrashesByKey.erase(Known);
  }
  auto Count = m_KeysByAccount.find(Removed.m_Account);
  Count->second -= Removed.m_Keys.size();
  if (Count->second == 0)
    m_KeysByAccount.erase(Count);
  if (Recorded.m_Unstarted.empty())
    m_Crashes.erase(Of);
}

bool CrashSuspects::makeRoom(const SuspectRequest &For) {
  auto Count = m_KeysByAccount.find(For.m_Account);
  if (Count == m_KeysByAccount.end())
    return m_KeysByAccount.size() < MaxAccounts;
  while (Count->second + For.m_Keys.size() > MaxKeysPerAccount) {
    auto Oldest = m_Crashes.end();
    std::size_t OldestIndex = 0;
    for (auto Each = m_Crashes.begin(); Each != m_Crashes.end(); ++Each)
      for (std::size_t I = 0; I < Each->second.m_Unstarted.size(); ++I)
        if (Each->second.m_Unstarted[I].m_Request.m_Account == For.m_Account &&
            (Oldest == m_Crashes.end() || Each->second.m_At < Oldest->second.m_At)) {
          Oldest = Each;
          OldestIndex = I;
        }
    removeUnstarted(Oldest, OldestIndex);
    Count = m_KeysByAccount.find(For.m_Account);
    if (Count == m_KeysByAccount.end())
      break;
  }
  return true;
}

bool CrashSuspects::addEvidence(const UpstreamStart &Upstream, const SuspectRequest &Request,
                                TimePoint At, TimePoint Now) {
  if (Now - At >= Lifetime || Request.m_Keys.empty())
    return false;
  auto Found = m_Crashes.find(Upstream);
  if (Found != m_Crashes.end()) {
    // Reports arrive after the crash, so the earliest time is the most accurate.
    Found->second.m_At = std::min(Found->second.m_At, At);
    for (const UnstartedRequest &Each : Found->second.m_Unstarted)
      if (Each.m_Request == Request)
        return false;
  }
  if (!makeRoom(Request))
    return false;
  Crash &Recorded = m_Crashes.try_emplace(Upstream, Crash{At, Now, {}}).first->second;
  Recorded.m_Unstarted.push_back({Request, Now});
  m_KeysByAccount[Request.m_Account] += Request.m_Keys.size();
  for (const SuspectKey &Key : Request.m_Keys) {
    m_CrashesByKey[Key].insert(Upstream);
    if (m_Begun.contains(Key))
      continue;
    // Other instances may be about to quarantine the key.
    if (const auto BegunAt = recentlyBegunAt(Key); BegunAt && setBegun(Key, *BegunAt, Now))
      setUrgent(Now);
  }
  return true;
}

void CrashSuspects::scheduleEvaluation(TimePoint At) {
  m_NextEvaluation = std::min(m_NextEvaluation.value_or(At), At);
}

void CrashSuspects::recordCrash(const UpstreamStart &Upstream,
                                std::span<const SuspectRequest> Unstarted, TimePoint CrashedAt,
                                TimePoint Now) {
  for (const SuspectRequest &Request : Unstarted)
    addEvidence(Upstream, Request, CrashedAt, Now);
  if (!Unstarted.empty())
    setUrgent(Now);
  evaluateAll(Now);
}

void CrashSuspects::recordBegun(const SuspectRequest &Request, TimePoint Now) {
  bool HasNews = false;
  for (const SuspectKey &Key : Request.m_Keys) {
    if (m_CrashesByKey.contains(Key)) {
      HasNews = setBegun(Key, Now, Now) || HasNews;
      continue;
    }
    refute(Key, Now);
    auto &Keys = m_RecentlyBegun[{Request.m_Account, Key.m_Kind}];
    if (Keys.size() >= MaxBegunPerAccount && !Keys.contains(Key))
      Keys.erase(
          std::min_element(Keys.begin(), Keys.end(), [](const auto &Left, const auto &Right) {
            return Left.second < Right.second;
          }));
    Keys[Key] = Now;
  }
  // Another key may be the only one left that explains some crashes.
  if (HasNews)
    evaluateAll(Now);
}

bool CrashSuspects::setBegun(const SuspectKey &Key, TimePoint At, TimePoint Now) {
  Begun &Known = m_Begun.try_emplace(Key).first->second;
  const TimePoint Before = Known.m_At;
  if (At <= Before)
    return false;
  Known.m_At = At;
  const bool IsFirst = Before == TimePoint::min();
  bool IsNews = IsFirst;
  for (const UpstreamStart &Each : m_CrashesByKey.at(Key))
    if (const TimePoint CrashedAt = m_Crashes.at(Each).m_At; CrashedAt > Before && CrashedAt <= At)
      IsNews = true;
  if (IsNews) {
    Known.m_NewsAt = Now;
    Known.m_Sent = 0;
  }
  refute(Key, At);
  // More crashes are needed now than those that led to a quarantine.
  if (IsFirst && !isSupported(Key, Now))
    removeFromQuarantines(Key, [](const Active &) { return true; });
  return IsNews;
}

void CrashSuspects::announceBegun(const SuspectKey &Key, TimePoint At, TimePoint Now) {
  Begun &Known = m_Begun.try_emplace(Key).first->second;
  Known.m_At = std::max(Known.m_At, At);
  Known.m_NewsAt = Now;
}

std::optional<TimePoint> CrashSuspects::begunAt(const SuspectKey &Key) const {
  auto Found = m_Begun.find(Key);
  return Found == m_Begun.end() ? std::nullopt : std::optional(Found->second.m_At);
}

std::optional<TimePoint> CrashSuspects::recentlyBegunAt(const SuspectKey &Key) const {
  std::optional<TimePoint> Last;
  for (const auto &[Of, Keys] : m_RecentlyBegun)
    if (Of.second == Key.m_Kind)
      if (auto Found = Keys.find(Key); Found != Keys.end())
        Last = std::max(Last, std::optional(Found->second));
  return Last;
}

void CrashSuspects::pruneRecentlyBegun(TimePoint Now) {
  if (Now < m_PruneAt)
    return;
  m_PruneAt = Now + PruneInterval;
  for (auto &[Of, Keys] : m_RecentlyBegun) {
    const Duration Retention =
        Of.second == SuspectKey::Kind::PromptPart ? Lifetime : BegunRetention;
    std::erase_if(Keys, [&](const auto &Each) { return Now - Each.second >= Retention; });
  }
  std::erase_if(m_RecentlyBegun, [](const auto &Each) { return Each.second.empty(); });
}

template <typename Condition>
void CrashSuspects::removeFromQuarantines(const SuspectKey &Key, Condition Holds) {
  for (Active &Each : m_Quarantines) {
    std::vector<SuspectKey> &Keys = Each.m_Quarantine.m_Keys;
    auto Found = std::find(Keys.begin(), Keys.end(), Key);
    if (Found == Keys.end() || !Holds(Each))
      continue;
    if (Keys.size() == 1)
      m_Changes.push_back({QuarantineChange::Kind::Refuted, Each.m_Quarantine, {}});
    Keys.erase(Found);
  }
  std::erase_if(m_Quarantines, [](const Active &Each) { return Each.m_Quarantine.m_Keys.empty(); });
}

void CrashSuspects::refute(const SuspectKey &Key, TimePoint BegunAt) {
  removeFromQuarantines(Key, [&](const Active &Each) { return BegunAt >= Each.m_LastCrashAt; });
}

bool CrashSuspects::isExplained(const Crash &Explained, const SuspectKey &Against,
                                OwnQuarantines Own) const {
  return std::any_of(m_Quarantines.begin(), m_Quarantines.end(), [&](const Active &Each) {
    // A part may hide behind a sound request that was in flight at the same crashes.
    if (Against.m_Kind == SuspectKey::Kind::PromptPart && Each.m_Quarantine.isOfOneRequest())
      return false;
    const std::vector<SuspectKey> &Keys = Each.m_Quarantine.m_Keys;
    if (Own == OwnQuarantines::Ignored &&
        std::find(Keys.begin(), Keys.end(), Against) != Keys.end())
      return false;
    return Explained.hasUnstarted(
        [&](const SuspectRequest &Request) { return Each.m_Quarantine.matches(Request); });
  });
}

CrashSuspects::CrashSet CrashSuspects::crashesOf(const SuspectKey &Key, TimePoint Now) const {
  CrashSet Result;
  auto Known = m_CrashesByKey.find(Key);
  if (Known == m_CrashesByKey.end())
    return Result;
  const std::optional<TimePoint> LastBegun = begunAt(Key);
  for (const UpstreamStart &Upstream : Known->second) {
    const Crash &Each = m_Crashes.at(Upstream);
    const bool IsRefuted = LastBegun && *LastBegun >= Each.m_At;
    if (!IsRefuted && Now - Each.m_At < Lifetime &&
        !isExplained(Each, Key, OwnQuarantines::Ignored))
      Result.insert(Upstream);
  }
  return Result;
}

bool CrashSuspects::mayHaveOtherCause(const Crash &Of, const SuspectKey &Key) const {
  const CrashSet &WithKey = m_CrashesByKey.at(Key);
  if (std::any_of(m_Crashes.begin(), m_Crashes.end(), [&](const auto &Each) {
        const auto &[Upstream, Other] = Each;
        return std::chrono::abs(Other.m_At - Of.m_At) < CommonCauseTime &&
               !WithKey.contains(Upstream);
      }))
    return true;
  return Of.hasUnstarted([&](const SuspectRequest &Request) {
    return isBlockedAlone(Request) && !includes(WithKey, crashesOfRequest(Request));
  });
}

CrashSuspects::CrashSet CrashSuspects::crashesOfRequest(const SuspectRequest &Request) const {
  CrashSet Result;
  for (const auto &[Upstream, Each] : m_Crashes)
    if (Each.hasUnstarted([&](const SuspectRequest &Other) { return Other == Request; }))
      Result.insert(Upstream);
  return Result;
}

bool CrashSuspects::isBlockedAlone(const SuspectRequest &Request) const {
  return std::any_of(m_Quarantines.begin(), m_Quarantines.end(), [&](const Active &Each) {
    return Each.m_Quarantine.isOfOneRequest() && Each.m_Quarantine.matches(Request);
  });
}

std::size_t CrashSuspects::weight(const SuspectKey &Key, const CrashSet &Crashes) const {
  // A request runs on one upstream after the other, so its crashes have no common cause.
  if (Key.m_Kind == SuspectKey::Kind::Request)
    return Crashes.size() * CrashWeight;
  std::vector<const Crash *> ByTime;
  for (const UpstreamStart &Each : Crashes)
    ByTime.push_back(&m_Crashes.at(Each));
  std::sort(ByTime.begin(), ByTime.end(),
            [](const Crash *Left, const Crash *Right) { return Left->m_At < Right->m_At; });
  std::size_t Weight = 0;
  std::optional<TimePoint> LastCounted;
  std::set<SuspectRequest> Counted;
  for (const Crash *Each : ByTime) {
    if (LastCounted && Each->m_At - *LastCounted < CommonCauseTime)
      continue;
    // A request that was sent again may itself be the cause of all its crashes.
    bool IsNew = false;
    for (const UnstartedRequest &Running : Each->m_Unstarted)
      if (Running.m_Request.contains(Key) && Counted.insert(Running.m_Request).second)
        IsNew = true;
    if (!IsNew)
      continue;
    LastCounted = Each->m_At;
    Weight += mayHaveOtherCause(*Each, Key) ? SharedCrashWeight : CrashWeight;
  }
  return Weight;
}

std::size_t CrashSuspects::requiredWeight(const SuspectKey &Key) const {
  std::size_t Crashes = CrashesToQuarantine;
  if (begunAt(Key))
    Crashes = Key.m_Kind == SuspectKey::Kind::Request ? CrashesToQuarantineKnownRequest
                                                      : CrashesToQuarantineKnownPart;
  return Crashes * CrashWeight;
}

bool CrashSuspects::isSupported(const SuspectKey &Key, TimePoint Now) const {
  return weight(Key, crashesOf(Key, Now)) >= requiredWeight(Key);
}

std::optional<CrashSuspects::Proposal> CrashSuspects::evaluate(const SuspectKey &Key,
                                                               TimePoint Now) const {
  Proposal Result;
  CrashSet &Crashes = Result.m_Crashes;
  Crashes = crashesOf(Key, Now);
  // A single request that crashed two upstreams is blocked at once: its caller sends it again.
  if (Key.m_Kind == SuspectKey::Kind::PromptPart)
    std::erase_if(Crashes, [&](const UpstreamStart &Each) {
      return Now < m_Crashes.at(Each).m_LearnedAt + m_CollectionTime;
    });
  const std::size_t Weight = weight(Key, Crashes);
  const std::size_t Required = requiredWeight(Key);
  if (Weight < Required)
    return std::nullopt;
  // While a quarantine of several keys explains all crashes, nothing shows which key is the cause.
  if (std::all_of(Crashes.begin(), Crashes.end(), [&](const UpstreamStart &Each) {
        return isExplained(m_Crashes.at(Each), Key, OwnQuarantines::Counted);
      }))
    return std::nullopt;
  Active &Explaining = Result.m_Active;
  Quarantine &Proposed = Explaining.m_Quarantine;
  std::optional<std::vector<SuspectKey>> Common;
  std::set<ClientAccountId> Accounts;
  std::set<SuspectKey> Others;
  for (const UpstreamStart &Upstream : Crashes) {
    const Crash &Each = m_Crashes.at(Upstream);
    if (Explaining.m_LastCrashAt <= Each.m_At) {
      Explaining.m_LastCrashAt = Each.m_At;
      Proposed.m_LastCrash = Upstream;
    }
    for (const UnstartedRequest &Running : Each.m_Unstarted) {
      const std::vector<SuspectKey> &Keys = Running.m_Request.m_Keys;
      Others.insert(Keys.begin(), Keys.end());
      if (!Running.m_Request.contains(Key))
        continue;
      Accounts.insert(Running.m_Request.m_Account);
      if (!Common) {
        Common = Keys;
        continue;
      }
      std::vector<SuspectKey> Shared;
      std::set_intersection(Common->begin(), Common->end(), Keys.begin(), Keys.end(),
                            std::back_inserter(Shared));
      Common = std::move(Shared);
    }
  }
  if (Accounts.size() == 1)
    Proposed.m_Account = *Accounts.begin();
  bool IsAmbiguous = false;
  for (const SuspectKey &Other : Others) {
    if (!includes(crashesOf(Other, Now), Crashes))
      continue;
    // An answer with the other key began before its crashes, so it is the less likely cause.
    if (begunAt(Other) && !begunAt(Key))
      continue;
    if (std::binary_search(Common->begin(), Common->end(), Other))
      Proposed.m_Keys.push_back(Other);
    else
      IsAmbiguous = true;
  }
  if (IsAmbiguous && Weight <= Required)
    return std::nullopt;
  return Result;
}

bool CrashSuspects::isCovered(const Quarantine &Other) const {
  return std::any_of(m_Quarantines.begin(), m_Quarantines.end(), [&](const Active &Each) {
    const Quarantine &InForce = Each.m_Quarantine;
    return includes(Other.m_Keys, InForce.m_Keys) &&
           (!InForce.m_Account || InForce.m_Account == Other.m_Account);
  });
}

bool CrashSuspects::isFull(const std::optional<ClientAccountId> &Account) const {
  return static_cast<std::size_t>(
             std::count_if(m_Quarantines.begin(), m_Quarantines.end(), [&](const Active &Each) {
               return Each.m_Quarantine.m_Account == Account;
             })) >= MaxQuarantinesPerAccount;
}

std::vector<CrashSuspects::Active>::const_iterator
CrashSuspects::evictable(const Quarantine &For) const {
  return std::find_if(m_Quarantines.begin(), m_Quarantines.end(), [&](const Active &Each) {
    return Each.m_Quarantine.m_Account == For.m_Account && Each.m_Quarantine.isOfOneRequest();
  });
}

bool CrashSuspects::canAdd(const Quarantine &New) const {
  return !isCovered(New) && (!isFull(New.m_Account) ||
                             (!New.isOfOneRequest() && evictable(New) != m_Quarantines.end()));
}

void CrashSuspects::evaluateAll(TimePoint Now) {
  m_NextEvaluation.reset();
  for (const auto &[Upstream, Each] : m_Crashes)
    if (const TimePoint At = Each.m_LearnedAt + m_CollectionTime; At > Now)
      scheduleEvaluation(At);
  // Each quarantine explains crashes, which changes the evidence against the other keys.
  while (true) {
    std::vector<Proposal> Best = bestProposals(Now);
    if (Best.empty())
      return;
    for (Proposal &Each : Best)
      if (canAdd(Each.m_Active.m_Quarantine))
        addQuarantine(std::move(Each.m_Active), Now);
  }
}

std::vector<CrashSuspects::Proposal> CrashSuspects::bestProposals(TimePoint Now) const {
  std::vector<Proposal> Best;
  std::pair<bool, std::size_t> BestRank;
  for (const auto &[Key, Recorded] : m_CrashesByKey) {
    if (Recorded.size() < CrashesToQuarantine)
      continue;
    std::optional<Proposal> Proposed = evaluate(Key, Now);
    if (!Proposed || !canAdd(Proposed->m_Active.m_Quarantine))
      continue;
    // The first part of faulty requests is in as many crashes as the faulty part, and in those that
    // sound requests with it were in by chance.
    const std::pair Rank(!begunAt(Key).has_value(), Proposed->m_Crashes.size());
    if (Best.empty() || Rank > BestRank) {
      Best.clear();
      BestRank = Rank;
    }
    if (Best.empty() || (Rank == BestRank && Proposed->m_Crashes == Best.front().m_Crashes))
      Best.push_back(std::move(*Proposed));
  }
  // Of several explanations, the one with the most keys blocks the fewest requests.
  std::vector<Proposal> Narrowest;
  for (const Proposal &Each : Best)
    if (std::none_of(Best.begin(), Best.end(), [&](const Proposal &Other) {
          return Other.keys().size() > Each.keys().size() && includes(Other.keys(), Each.keys());
        }))
      Narrowest.push_back(Each);
  return Narrowest;
}

void CrashSuspects::addQuarantine(Active Added, TimePoint Now) {
  const Quarantine &New = Added.m_Quarantine;
  QuarantineChange Change{QuarantineChange::Kind::Begun, New, {}};
  Change.m_Quarantine.m_Age = Now - Added.m_LastCrashAt;
  for (const auto &[Upstream, Each] : m_Crashes)
    if (Each.hasUnstarted([&](const SuspectRequest &Request) { return New.matches(Request); }))
      Change.m_Crashes.push_back(Upstream);
  // The new one blocks all requests that these block.
  std::erase_if(m_Quarantines, [&](const Active &Each) {
    return includes(Each.m_Quarantine.m_Keys, New.m_Keys) &&
           (!New.m_Account || New.m_Account == Each.m_Quarantine.m_Account);
  });
  if (isFull(New.m_Account))
    m_Quarantines.erase(evictable(New));
  m_Quarantines.push_back(std::move(Added));
  m_Changes.push_back(std::move(Change));
  setUrgent(Now);
}

bool CrashSuspects::isQuarantined(const SuspectRequest &Request, TimePoint Now) const {
  return std::any_of(m_Quarantines.begin(), m_Quarantines.end(), [&](const Active &Each) {
    return Now - Each.m_LastCrashAt < Lifetime && Each.m_Quarantine.matches(Request);
  });
}

bool CrashSuspects::isSuspect(const SuspectRequest &Request, TimePoint Now) const {
  return std::any_of(Request.m_Keys.begin(), Request.m_Keys.end(),
                     [&](const SuspectKey &Key) { return !crashesOf(Key, Now).empty(); });
}

std::vector<Quarantine> CrashSuspects::quarantines(TimePoint Now) const {
  std::vector<Quarantine> Result;
  for (const Active &Each : m_Quarantines) {
    Result.push_back(Each.m_Quarantine);
    Result.back().m_Age = Now - Each.m_LastCrashAt;
  }
  return Result;
}

SuspectUpdate CrashSuspects::takeUpdate(TimePoint Now) {
  SuspectUpdate Result;
  struct Item {
    std::uint32_t &m_Sent;
    const UpstreamStart &m_Upstream;
    TimePoint m_At;
    const SuspectRequest &m_Request;
  };
  std::vector<Item> Items;
  for (auto &[Upstream, Each] : m_Crashes)
    for (UnstartedRequest &Running : Each.m_Unstarted)
      if (Now - Running.m_LearnedAt < SpreadTime)
        Items.push_back({Running.m_Sent, Upstream, Each.m_At, Running.m_Request});
  std::vector<const Item *> BySent;
  for (const Item &Each : Items)
    BySent.push_back(&Each);
  sortBySent(BySent);
  std::size_t KeyCount = 0;
  for (const Item *Each : BySent) {
    KeyCount += Each->m_Request.m_Keys.size();
    if (KeyCount > MaxKeysPerUpdate && !Result.m_Evidence.empty())
      break;
    ++Each->m_Sent;
    Result.m_Evidence.push_back({Each->m_Upstream, Now - Each->m_At, Each->m_Request});
  }
  using BegunItem = std::pair<const SuspectKey, Begun>;
  std::vector<BegunItem *> BegunNews;
  for (BegunItem &Each : m_Begun)
    if (Each.second.m_NewsAt && Now - *Each.second.m_NewsAt < SpreadTime)
      BegunNews.push_back(&Each);
  std::stable_sort(BegunNews.begin(), BegunNews.end(), [](const auto *Left, const auto *Right) {
    return Left->second.m_Sent < Right->second.m_Sent;
  });
  BegunNews.resize(std::min(BegunNews.size(), MaxBegunPerUpdate));
  for (BegunItem *Each : BegunNews) {
    ++Each->second.m_Sent;
    Result.m_Begun.push_back({Each->first, Now - Each->second.m_At});
  }
  std::vector<Active *> Quarantines;
  for (Active &Each : m_Quarantines)
    Quarantines.push_back(&Each);
  sortBySent(Quarantines);
  for (Active *Each : Quarantines) {
    if (Result.m_Quarantines.size() >= MaxQuarantinesPerUpdate)
      break;
    ++Each->m_Sent;
    Result.m_Quarantines.push_back(Each->m_Quarantine);
    Result.m_Quarantines.back().m_Age = Now - Each->m_LastCrashAt;
  }
  return Result;
}

SuspectUpdate CrashSuspects::fullUpdate(TimePoint Now) const {
  SuspectUpdate Result;
  for (const auto &[Upstream, Each] : m_Crashes)
    for (const UnstartedRequest &Running : Each.m_Unstarted)
      Result.m_Evidence.push_back({Upstream, Now - Each.m_At, Running.m_Request});
  for (const auto &[Key, Each] : m_Begun)
    Result.m_Begun.push_back({Key, Now - Each.m_At});
  Result.m_Quarantines = quarantines(Now);
  return Result;
}

void CrashSuspects::merge(const SuspectUpdate &Update, TimePoint Now) {
  bool HasNews = false;
  for (const CrashEvidence &Each : Update.m_Evidence)
    if (addEvidence(Each.m_Crash, Each.m_Request, Now - Each.m_Age, Now))
      HasNews = true;
  for (const BegunKey &Each : Update.m_Begun)
    if (m_CrashesByKey.contains(Each.m_Key))
      HasNews = setBegun(Each.m_Key, Now - Each.m_Age, Now) || HasNews;
    else
      refute(Each.m_Key, Now - Each.m_Age);
  for (const Quarantine &Each : Update.m_Quarantines) {
    const TimePoint CrashedAt = Now - Each.m_Age;
    if (Each.m_Age >= Lifetime)
      continue;
    Active Received{Each, CrashedAt};
    std::erase_if(Received.m_Quarantine.m_Keys, [&](const SuspectKey &Key) {
      const std::optional<TimePoint> LastBegun = std::max(begunAt(Key), recentlyBegunAt(Key));
      if (!LastBegun || (*LastBegun < CrashedAt && isSupported(Key, Now)))
        return false;
      // The sender does not know of the beginning.
      announceBegun(Key, *LastBegun, Now);
      return true;
    });
    if (Received.m_Quarantine.m_Keys.empty())
      continue;
    auto Same = std::find_if(m_Quarantines.begin(), m_Quarantines.end(), [&](const Active &Known) {
      return Known.m_Quarantine.m_Keys == Received.m_Quarantine.m_Keys &&
             Known.m_Quarantine.m_Account == Received.m_Quarantine.m_Account;
    });
    if (Same == m_Quarantines.end()) {
      if (canAdd(Received.m_Quarantine))
        addQuarantine(std::move(Received), Now);
    } else if (Same->m_Quarantine.m_LastCrash == Each.m_LastCrash) {
      Same->m_LastCrashAt = std::min(Same->m_LastCrashAt, CrashedAt);
    } else if (CrashedAt > Same->m_LastCrashAt) {
      Same->m_LastCrashAt = CrashedAt;
      Same->m_Quarantine.m_LastCrash = Each.m_LastCrash;
    }
  }
  if (HasNews)
    evaluateAll(Now);
}

void CrashSuspects::onTimer(TimePoint Now) {
  for (auto Each = m_Crashes.begin(); Each != m_Crashes.end();) {
    auto Next = std::next(Each);
    if (Now - Each->second.m_At >= Lifetime)
      for (std::size_t Left = Each->second.m_Unstarted.size(); Left > 0; --Left)
        removeUnstarted(Each, Left - 1);
    Each = Next;
  }
  std::erase_if(m_Begun, [&](const auto &Each) {
    const TimePoint NeededAt =
        std::max(Each.second.m_At, Each.second.m_NewsAt.value_or(Each.second.m_At));
    return !m_CrashesByKey.contains(Each.first) && Now - NeededAt >= BegunRetention;
  });
  pruneRecentlyBegun(Now);
  std::erase_if(m_Quarantines, [&](const Active &Each) {
    if (Now - Each.m_LastCrashAt < Lifetime)
      return false;
    m_Changes.push_back({QuarantineChange::Kind::Expired, Each.m_Quarantine, {}});
    return true;
  });
  if (m_NextEvaluation && Now >= *m_NextEvaluation)
    evaluateAll(Now);
}

std::size_t CrashSuspects::suspectCount(const ClientAccountId &Account) const {
  auto Found = m_KeysByAccount.find(Account);
  return Found == m_KeysByAccount.end() ? 0 : Found->second;
}

} // namespace fescuegauge
