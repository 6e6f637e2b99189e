#include "Fescuegauge/FairQueue.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fescuegauge {

namespace {

Invariant LengthBounded("routing.queue_within_bounds");
Invariant WorkNeverNegative("routing.queued_work_never_negative");

constexpr std::size_t NeverLostTier = 0;
constexpr std::size_t OrdinaryTier = 1;
constexpr std::array<double, 2> TierShare{FairQueue::NeverLostShare, 1 - FairQueue::NeverLostShare};

/// Time constant for the decay of recently started work, in microseconds.
constexpr double RateTimeConstantUs = 4e6;
/// An account is below its share if it started less than this fraction of the mean. The margin
/// keeps accounts with equal demand, which vary around the mean, from counting as below.
constexpr double BelowShareRatio = 0.8;
/// Maximum fraction of the slots that is reserved for accounts below their share.
constexpr double MaxReservedRatio = 0.1;

double count(Duration Length) { return static_cast<double>(Length.count()); }

/// The account name of the common queue if queues are not separated by account.
const ClientAccountId AllAccounts("all");

} // namespace

std::size_t FairQueue::tierOf(const QueuedRequest &Request) const {
  return Request.m_NeverLost && m_Rules.m_UseNeverLostTier ? NeverLostTier : OrdinaryTier;
}

const ClientAccountId &FairQueue::queueAccount(const QueuedRequest &Request) const {
  return m_Rules.m_ShareByAccount ? Request.m_Account : AllAccounts;
}

void FairQueue::setWeight(const ClientAccountId &Name, double Weight) {
  constexpr double MinWeight = 0.01;
  m_Weights[Name] = std::max(Weight, MinWeight);
  auto Found = m_Accounts.find(Name);
  if (Found != m_Accounts.end())
    Found->second.m_Weight = m_Weights[Name];
}

FairQueue::PushResult FairQueue::push(QueuedRequest Added) {
  PushResult Result;
  const ClientAccountId Name = queueAccount(Added);
  if (m_Index.count(Added.m_Id))
    return Result;
  auto Found = m_Accounts.find(Name);
  std::size_t OwnLength = Found == m_Accounts.end() ? 0 : Found->second.length();
  if (m_Rules.m_BoundLength) {
    std::size_t OwnBound = m_Rules.m_ShareByAccount ? MaxLengthPerAccount : MaxLength;
    // A never-lost request evicts ordinary work of its own account.
    if (OwnLength >= OwnBound) {
      if (!Added.m_NeverLost || !m_Rules.m_ShareByAccount ||
          Found->second.m_Tiers[OrdinaryTier].m_Requests.empty())
        return Result;
      Result.m_Evicted = takeLowestPriority(Found->second);
    } else if (m_Index.size() >= MaxLength) {
      Result.m_Evicted = evictFor(Added);
      if (!Result.m_Evicted)
        return Result;
    }
    if (Found == m_Accounts.end() && m_Accounts.size() >= MaxAccounts) {
      // Evicts accounts that have only a record of recent work and nothing queued.
      std::erase_if(m_Accounts, [](const auto &Entry) { return Entry.second.length() == 0; });
      if (m_Accounts.size() >= MaxAccounts)
        return Result;
    }
  }
  AccountState &Account = m_Accounts[Name];
  auto Weight = m_Weights.find(Name);
  if (Weight != m_Weights.end())
    Account.m_Weight = Weight->second;
  std::size_t Tier = tierOf(Added);
  TierQueue &Queue = Account.m_Tiers[Tier];
  // A tier that was idle resumes at the level of the other one and has accumulated no credit.
  if (m_TierLength[Tier] == 0)
    m_TierVirtualFinish[Tier] = std::max(m_TierVirtualFinish[Tier], m_TierVirtualFinish[1 - Tier]);
  Order Position{Added.m_LatestStart, m_NextSequence++};
  Queue.m_Work += Added.m_Cost;
  m_TierWork[Tier] += Added.m_Cost;
  ++m_TierLength[Tier];
  m_Index.emplace(Added.m_Id, QueuePosition{Name, Tier, Position});
  Queue.m_Requests.emplace(Position, std::move(Added));
  LengthBounded.check(m_Index.size() <= MaxLength, "queue longer than its bound");
  Result.m_Accepted = true;
  return Result;
}

/// Removes a request from a full queue. Returns nothing if no queued request should be evicted for
/// `Added`.
std::optional<QueuedRequest> FairQueue::evictFor(const QueuedRequest &Added) {
  AccountState *LargestBacklog = nullptr;
  for (auto &[Name, Candidate] : m_Accounts) {
    const TierQueue &Ordinary = Candidate.m_Tiers[OrdinaryTier];
    if (!Ordinary.m_Requests.empty() &&
        (!LargestBacklog || Ordinary.m_Work > LargestBacklog->m_Tiers[OrdinaryTier].m_Work))
      LargestBacklog = &Candidate;
  }
  if (!LargestBacklog)
    return std::nullopt;
  auto Own = m_Accounts.find(queueAccount(Added));
  Duration OwnWork = Own == m_Accounts.end()
                         ? Duration(0)
                         : Own->second.m_Tiers[0].m_Work + Own->second.m_Tiers[1].m_Work;
  const TierQueue &Queue = LargestBacklog->m_Tiers[OrdinaryTier];
  if (!Added.m_NeverLost && OwnWork >= Queue.m_Work)
    return std::nullopt;
  return takeLowestPriority(*LargestBacklog);
}

/// Removes the request with the lowest priority from the account's ordinary work; of several, the
/// last one.
QueuedRequest FairQueue::takeLowestPriority(AccountState &Account) {
  auto &Requests = Account.m_Tiers[OrdinaryTier].m_Requests;
  auto Least = Requests.begin();
  for (auto At = Requests.begin(); At != Requests.end(); ++At)
    if (At->second.m_Priority <= Least->second.m_Priority)
      Least = At;
  return take(Account, OrdinaryTier, Least);
}

QueuedRequest FairQueue::take(AccountState &Account, std::size_t Tier,
                              std::map<Order, QueuedRequest>::iterator At) {
  QueuedRequest Taken = std::move(At->second);
  Account.m_Tiers[Tier].m_Requests.erase(At);
  Account.m_Tiers[Tier].m_Work -= Taken.m_Cost;
  m_TierWork[Tier] -= Taken.m_Cost;
  --m_TierLength[Tier];
  m_Index.erase(Taken.m_Id);
  WorkNeverNegative.check(Account.m_Tiers[Tier].m_Work >= Duration(0) &&
                          m_TierWork[Tier] >= Duration(0));
  return Taken;
}

std::size_t FairQueue::nextTier() const {
  if (m_TierLength[NeverLostTier] == 0)
    return OrdinaryTier;
  if (m_TierLength[OrdinaryTier] == 0)
    return NeverLostTier;
  return m_TierVirtualFinish[NeverLostTier] <= m_TierVirtualFinish[OrdinaryTier] ? NeverLostTier
                                                                                 : OrdinaryTier;
}

/// Returns the virtual start time of the account's next request, not before the current virtual
/// time.
double FairQueue::virtualStart(const AccountState &Candidate, std::size_t Tier) const {
  return std::max(m_VirtualTime[Tier], Candidate.m_Tiers[Tier].m_VirtualFinish - count(MaxLead));
}

void FairQueue::decayRates(TimePoint Now) {
  // Decaying in steps avoids iterating over all accounts on most starts.
  constexpr Duration Step = std::chrono::milliseconds(20);
  if (Now - m_RatesDecayedAt < Step)
    return;
  double Factor = std::exp(-count(Now - m_RatesDecayedAt) / RateTimeConstantUs);
  m_RatesDecayedAt = Now;
  m_RecentNeverLostWork *= Factor;
  for (auto &[Name, Account] : m_Accounts)
    Account.m_RecentWork *= Factor;
  // The first pass computes the mean of all accounts, the second one the mean without accounts that
  // are below their share and leave the rest of it to others.
  m_MeanRecentWork = 0;
  for (int Pass = 0; Pass < 2; ++Pass) {
    double Started = 0;
    double Weight = 0;
    for (const auto &[Name, Account] : m_Accounts)
      if (!isBelowShare(Account)) {
        Started += Account.m_RecentWork;
        Weight += Account.m_Weight;
      }
    m_MeanRecentWork = Weight > 0 ? Started / Weight : 0;
  }
  m_BelowShareWork = 0;
  for (const auto &[Name, Account] : m_Accounts)
    if (isBelowShare(Account))
      m_BelowShareWork += Account.m_RecentWork;
  removeIdleAccounts();
}

bool FairQueue::isBelowShare(const AccountState &Account) const {
  return Account.m_RecentWork < BelowShareRatio * m_MeanRecentWork * Account.m_Weight;
}

bool FairQueue::isBelowShare(const ClientAccountId &Name) const {
  if (!m_Rules.m_ShareByAccount)
    return false;
  auto Found = m_Accounts.find(Name);
  return Found == m_Accounts.end() || isBelowShare(Found->second);
}

bool FairQueue::hasBelowShareQueued() const {
  return std::any_of(m_Accounts.begin(), m_Accounts.end(), [&](const auto &Entry) {
    return Entry.second.length() > 0 && isBelowShare(Entry.second);
  });
}

double FairQueue::reservedSlots(double Slots) const {
  if (!m_Rules.m_ShareByAccount)
    return 0;
  // One standard deviation of the number of slots that accounts below their share use.
  return std::min(std::sqrt(m_BelowShareWork / RateTimeConstantUs), MaxReservedRatio * Slots);
}

std::optional<QueuedRequest> FairQueue::pop(TimePoint Now, bool BelowShareOnly) {
  decayRates(Now);
  if (m_Index.empty() || (BelowShareOnly && !hasBelowShareQueued()))
    return std::nullopt;
  std::size_t Tier = nextTier();
  if (BelowShareOnly) {
    bool IsNext = std::any_of(m_Accounts.begin(), m_Accounts.end(), [&](const auto &Entry) {
      return !Entry.second.m_Tiers[Tier].m_Requests.empty() && isBelowShare(Entry.second);
    });
    Tier = IsNext ? Tier : 1 - Tier;
  }
  AccountState *Next = nullptr;
  double BestStart = std::numeric_limits<double>::infinity();
  double ActiveWeight = 0;
  for (auto &[Name, Candidate] : m_Accounts) {
    const TierQueue &Queue = Candidate.m_Tiers[Tier];
    // Queues are short if targets are tight, so an account without queued requests stays active as
    // long as it has recent work.
    if (!Queue.m_Requests.empty() || Candidate.m_RecentWork > 0)
      ActiveWeight += Candidate.m_Weight;
    if (Queue.m_Requests.empty() || (BelowShareOnly && !isBelowShare(Candidate)))
      continue;
    double Start = virtualStart(Candidate, Tier);
    // Accounts that are not ahead of their share have equal starts; the most urgent request wins.
    bool IsUrgent = Next && Start == BestStart &&
                    Queue.m_Requests.begin()->first < Next->m_Tiers[Tier].m_Requests.begin()->first;
    if (Start < BestStart || IsUrgent) {
      BestStart = Start;
      Next = &Candidate;
    }
  }
  QueuedRequest Taken = take(*Next, Tier, Next->m_Tiers[Tier].m_Requests.begin());
  double Cost = std::max(count(Taken.m_Cost), 1.0);
  double &Virtual = m_VirtualTime[Tier];
  // Virtual time advances to the earliest waiting account, so that unused shares go to the others.
  Virtual = std::max(Virtual, BestStart);
  Next->m_Tiers[Tier].m_VirtualFinish =
      std::max(Next->m_Tiers[Tier].m_VirtualFinish, Virtual) + Cost / Next->m_Weight;
  Next->m_RecentWork += Cost;
  if (Tier == NeverLostTier) {
    m_RecentNeverLostWork += Cost;
    TierQueue &Ordinary = Next->m_Tiers[OrdinaryTier];
    Ordinary.m_VirtualFinish = std::min(
        std::max(Ordinary.m_VirtualFinish, m_VirtualTime[OrdinaryTier]) + Cost / Next->m_Weight,
        m_VirtualTime[OrdinaryTier] + count(MaxLag));
  }
  Virtual += Cost / ActiveWeight;
  m_TierVirtualFinish[Tier] += Cost / TierShare[Tier];
  return Taken;
}

/// Removes accounts without queued requests whose recent work no longer affects the scheduling.
void FairQueue::removeIdleAccounts() {
  constexpr double Negligible = 1e3;
  std::erase_if(m_Accounts, [&](const auto &Entry) {
    const AccountState &Account = Entry.second;
    return Account.length() == 0 && Account.m_RecentWork < Negligible &&
           Account.m_Tiers[0].m_VirtualFinish <= m_VirtualTime[0] &&
           Account.m_Tiers[1].m_VirtualFinish <= m_VirtualTime[1];
  });
}

bool FairQueue::remove(const RequestId &Id) {
  auto Found = m_Index.find(Id);
  if (Found == m_Index.end())
    return false;
  QueuePosition At = Found->second;
  AccountState &Account = m_Accounts.at(At.m_Account);
  take(Account, At.m_Tier, Account.m_Tiers[At.m_Tier].m_Requests.find(At.m_Order));
  return true;
}

std::vector<QueuedRequest> FairQueue::takeExpired(TimePoint Now) {
  std::vector<QueuedRequest> Expired;
  for (auto &[Name, Account] : m_Accounts)
    for (std::size_t Tier = 0; Tier < TierCount; ++Tier) {
      auto &Requests = Account.m_Tiers[Tier].m_Requests;
      for (auto At = Requests.begin(); At != Requests.end();) {
        auto Here = At++;
        if (Here->second.m_ExpiresAt < Now)
          Expired.push_back(take(Account, Tier, Here));
      }
    }
  return Expired;
}

double FairQueue::workAhead(const ClientAccountId &Name, std::size_t Tier, double OwnAhead,
                            double Slots) const {
  auto Weight = m_Weights.find(Name);
  double OwnWeight = Weight == m_Weights.end() ? 1 : Weight->second;
  auto Found = m_Accounts.find(Name);
  double OwnStart =
      Found == m_Accounts.end() ? m_VirtualTime[Tier] : virtualStart(Found->second, Tier);
  // Virtual start time of the request. Work of other accounts with an earlier virtual start has
  // precedence.
  double Start = OwnStart + OwnAhead / OwnWeight;
  // Requests of other accounts that arrive while this one waits are not queued yet. The first pass
  // estimates the waiting time, the second one adds the work that others start in it at their
  // recent rate.
  double Before = OwnAhead;
  for (int Pass = 0; Pass < 2; ++Pass) {
    double Wait = Pass == 0 ? 0 : Before / Slots;
    Before = OwnAhead;
    for (const auto &[OtherName, Other] : m_Accounts) {
      if (OtherName == Name)
        continue;
      double Due = (Start - virtualStart(Other, Tier)) * Other.m_Weight;
      double Available =
          count(Other.m_Tiers[Tier].m_Work) + Other.m_RecentWork / RateTimeConstantUs * Wait;
      Before += std::clamp(Due, 0.0, Available);
    }
  }
  return Before +
         std::min(count(m_TierWork[1 - Tier]), Before * TierShare[1 - Tier] / TierShare[Tier]);
}

double FairQueue::availableSlots(const QueuedRequest &Request, double Slots, TimePoint Now) const {
  if (!isBelowShare(queueAccount(Request)))
    Slots -= reservedSlots(Slots);
  if (tierOf(Request) == NeverLostTier)
    return Slots;
  // Never-lost requests that arrive later have precedence; they are expected at their recent rate.
  double Rate = m_RecentNeverLostWork *
                std::exp(-count(Now - m_RatesDecayedAt) / RateTimeConstantUs) / RateTimeConstantUs;
  return std::max(Slots - Rate, Slots * TierShare[OrdinaryTier]);
}

/// Returns the expected time until the start of a request with `Ahead` microseconds of work before
/// it.
Duration FairQueue::expectedWait(double Ahead, double Slots, const StartRate &Current) {
  double MeanCost = std::max(count(Current.m_MeanCost), 1.0);
  // Mean time between two starts, since each of them needs a slot to become free.
  double Interval = MeanCost / Slots;
  double Starts = Ahead / MeanCost + Current.m_Excess + 1;
  return Duration(static_cast<Duration::rep>(
      Interval * std::max(Starts + Current.m_Margin * std::sqrt(Starts), 0.0)));
}

Duration FairQueue::predictedWait(const QueuedRequest &Candidate, const StartRate &Current,
                                  TimePoint Now) const {
  std::size_t Tier = tierOf(Candidate);
  const ClientAccountId &Name = queueAccount(Candidate);
  double OwnAhead = 0;
  auto Found = m_Accounts.find(Name);
  if (Found != m_Accounts.end())
    for (const auto &[Position, Request] : Found->second.m_Tiers[Tier].m_Requests) {
      if (Position.first > Candidate.m_LatestStart)
        break;
      OwnAhead += count(Request.m_Cost);
    }
  double Available = availableSlots(Candidate, Current.m_Slots, Now);
  return expectedWait(workAhead(Name, Tier, OwnAhead, Available), Available, Current);
}

bool FairQueue::delaysOthers(const QueuedRequest &Candidate, const StartRate &Current,
                             TimePoint Now) const {
  std::size_t Tier = tierOf(Candidate);
  const ClientAccountId &Name = queueAccount(Candidate);
  auto Found = m_Accounts.find(Name);
  if (Found == m_Accounts.end())
    return false;
  double Available = availableSlots(Candidate, Current.m_Slots, Now);
  double OwnAhead = 0;
  for (const auto &[Position, Request] : Found->second.m_Tiers[Tier].m_Requests) {
    if (Position.first > Candidate.m_LatestStart) {
      double Before = workAhead(Name, Tier, OwnAhead + count(Candidate.m_Cost), Available);
      if (Now + expectedWait(Before, Available, Current) > Request.m_LatestStart)
        return true;
    }
    OwnAhead += count(Request.m_Cost);
  }
  return false;
}

} // namespace fescuegauge
