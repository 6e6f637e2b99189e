#include "Fescuegauge/TableSourceSelector.h"

#include <algorithm>
#include <vector>

namespace fescuegauge {

void TableSourceSelector::onPeerUpdate(const Endpoint &Sender, bool IsLocal,
                                       const TableState &State, TimePoint Now) {
  auto Found = m_Peers.find(Sender);
  if (Found == m_Peers.end()) {
    std::erase_if(m_Peers,
                  [&](const auto &Each) { return Now - Each.second.m_ReportedAt > Lifetime; });
    if (m_Peers.size() >= MaxInstances)
      return;
    Found = m_Peers.emplace(Sender, Instance()).first;
  }
  Instance &Peer = Found->second;
  Peer.m_IsLocal = IsLocal;
  Peer.m_NewestChange = State.m_NewestChange;
  Peer.m_ReportedAt = Now;
  Peer.m_KnownUntil = Now - State.m_Age;
  Peer.m_IsInTouch = State.m_IsInTouch;
  Peer.m_HasStoreFailed = State.m_HasStoreFailed;
  if (!State.m_IsQueryingStore)
    Peer.m_QueryingStoreSince.reset();
  else if (!Peer.m_QueryingStoreSince)
    Peer.m_QueryingStoreSince = Now;
  if (State.m_NewestChange > m_AsOf && !m_BehindSince)
    m_BehindSince = Now;
  recordStoreAnswer(Peer.m_KnownUntil);
  // An instance with an older or a newer state does not confirm the one known here.
  if (State.m_NewestChange >= m_NewestChange && State.m_NewestChange <= m_AsOf)
    m_ConfirmedUntil = std::max(m_ConfirmedUntil, std::optional(Peer.m_KnownUntil));
}

void TableSourceSelector::onLocalState(TablePosition NewestChange, TablePosition AsOf,
                                       std::optional<TimePoint> KnownUntil) {
  m_NewestChange = std::max(m_NewestChange, NewestChange);
  if (AsOf > m_AsOf) {
    m_AsOf = AsOf;
    m_BehindSince.reset();
  }
  m_ConfirmedUntil = std::max(m_ConfirmedUntil, KnownUntil);
  if (KnownUntil)
    recordStoreAnswer(*KnownUntil);
}

TimePoint TableSourceSelector::storeServedSince(TimePoint AnsweredAt) const {
  return m_ServedUntil && AnsweredAt - *m_ServedUntil < MaxServedGap ? m_ServedSince : AnsweredAt;
}

void TableSourceSelector::recordStoreAnswer(TimePoint AnsweredAt) {
  m_ServedSince = storeServedSince(AnsweredAt);
  m_ServedUntil = std::max(m_ServedUntil, std::optional(AnsweredAt));
}

void TableSourceSelector::onFailure(const Endpoint &Failed, TimePoint Now) {
  if (auto Found = m_Peers.find(Failed); Found != m_Peers.end())
    Found->second.m_SkippedUntil = Now + FailurePause;
}

std::optional<Endpoint> TableSourceSelector::choosePeer(TimePoint Now) {
  std::vector<const Endpoint *> Best;
  const Instance *Newest = nullptr;
  for (const auto &[Address, Each] : m_Peers) {
    if (Each.m_NewestChange <= m_AsOf || Now < Each.m_SkippedUntil ||
        Now - Each.m_ReportedAt > Lifetime)
      continue;
    if (!Newest || Each.rank() > Newest->rank()) {
      Best.clear();
      Newest = &Each;
    }
    if (Each.rank() == Newest->rank())
      Best.push_back(&Address);
  }
  if (Best.empty())
    return std::nullopt;
  return *Best[uniformBelow(m_Random, Best.size())];
}

TableSourceSelector::Freshness TableSourceSelector::freshness(const Endpoint &Of,
                                                              TimePoint Now) const {
  auto Found = m_Peers.find(Of);
  if (Found == m_Peers.end())
    return Freshness::Unknown;
  return isFresh(Found->second, Now) ? Freshness::Fresh : Freshness::Stale;
}

Duration TableSourceSelector::storeQueryDelay(TimePoint Now) const {
  const auto Before =
      std::count_if(m_Peers.begin(), m_Peers.lower_bound(m_Self), [&](const auto &Each) {
        return Each.second.m_IsLocal && isReporting(Each.second, Now);
      });
  return shareOfBound(std::min(static_cast<double>(Before) * StaggerShare, MaxStaggerShare));
}

bool TableSourceSelector::isQueryingStore(const Instance &Peer, bool IsStoreUnreachable,
                                          TimePoint From, TimePoint Now) const {
  if (!Peer.m_IsLocal || !Peer.m_QueryingStoreSince || !isReporting(Peer, Now))
    return false;
  if (isFresh(Peer, Now))
    return true;
  // If others reach the store, an instance that fails to reach it is cut off and queries without
  // success.
  return (IsStoreUnreachable || !Peer.m_HasStoreFailed) &&
         Now - std::max(*Peer.m_QueryingStoreSince, From) < shareOfBound(MaxQueryShare);
}

bool TableSourceSelector::canQueryStore(TimePoint Now) const {
  if (m_NoSourceSince && Now - *m_NoSourceSince < storeQueryDelay(Now))
    return false;
  return isAmongFirst(TimePoint::min(), Now);
}

bool TableSourceSelector::isAmongFirst(TimePoint From, TimePoint Now) const {
  const bool IsStoreUnreachable =
      std::none_of(m_Peers.begin(), m_Peers.end(), [&](const auto &Each) {
        return Each.second.m_IsLocal && isFresh(Each.second, Now);
      });
  // Instances after this one in the order yield to it, so that the first ones of the data centre
  // stay in touch and the others have an instance to follow.
  return std::count_if(m_Peers.begin(), m_Peers.lower_bound(m_Self), [&](const auto &Each) {
           return isQueryingStore(Each.second, IsStoreUnreachable, From, Now);
         }) < MaxStoreQueries;
}

TableSourceSelector::Step TableSourceSelector::next(bool IsWaiting, TimePoint Now) {
  const bool HasSource = IsWaiting && !isStale(Now);
  if (HasSource)
    m_NoSourceSince.reset();
  else if (!m_NoSourceSince)
    m_NoSourceSince = Now;
  // A source in touch delivers a change by itself.
  if (m_BehindSince && (!HasSource || Now - *m_BehindSince >= shareOfBound(GraceShare)))
    if (auto Chosen = choosePeer(Now))
      return {Step::Kind::QueryInstance, std::move(*Chosen)};
  const bool HasQueriedStore =
      m_LastStoreQueryAt && Now - *m_LastStoreQueryAt < shareOfBound(StaleShare);
  if (HasSource || !IsWaiting || HasQueriedStore || !canQueryStore(Now))
    return {};
  m_LastStoreQueryAt = Now;
  return {Step::Kind::QueryStore, {}};
}

} // namespace fescuegauge
