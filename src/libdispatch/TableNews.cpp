#include "Fescuegauge/TableNews.h"

#include <algorithm>
#include <vector>

namespace fescuegauge {

void TableNews::onTold(const Endpoint &By, bool IsLocal, const TableState &State, TimePoint Now) {
  auto Found = m_Instances.find(By);
  if (Found == m_Instances.end()) {
    std::erase_if(m_Instances,
                  [&](const auto &Each) { return Now - Each.second.m_ToldAt > Lifetime; });
    if (m_Instances.size() >= MaxInstances)
      return;
    Found = m_Instances.emplace(By, Instance()).first;
  }
  Instance &Told = Found->second;
  Told.m_IsLocal = IsLocal;
  Told.m_NewestChange = State.m_NewestChange;
  Told.m_ToldAt = Now;
  Told.m_KnownUntil = Now - State.m_Age;
  Told.m_IsInTouch = State.m_IsInTouch;
  Told.m_StoreFailed = State.m_StoreFailed;
  if (!State.m_AsksStore)
    Told.m_AskingSince.reset();
  else if (!Told.m_AskingSince)
    Told.m_AskingSince = Now;
  if (State.m_NewestChange > m_AsOf && !m_BehindSince)
    m_BehindSince = Now;
  noteServed(Told.m_KnownUntil);
  // An instance with an older or a newer state does not confirm the one known here.
  if (State.m_NewestChange >= m_NewestChange && State.m_NewestChange <= m_AsOf)
    m_ConfirmedUntil = std::max(m_ConfirmedUntil, std::optional(Told.m_KnownUntil));
}

void TableNews::onKnown(RowVersion NewestChange, RowVersion AsOf,
                        std::optional<TimePoint> KnownUntil) {
  m_NewestChange = std::max(m_NewestChange, NewestChange);
  if (AsOf > m_AsOf) {
    m_AsOf = AsOf;
    m_BehindSince.reset();
  }
  m_ConfirmedUntil = std::max(m_ConfirmedUntil, KnownUntil);
  if (KnownUntil)
    noteServed(*KnownUntil);
}

TimePoint TableNews::servedSince(TimePoint AnsweredAt) const {
  return m_ServedUntil && AnsweredAt - *m_ServedUntil < LongestPause ? m_ServedSince : AnsweredAt;
}

void TableNews::noteServed(TimePoint AnsweredAt) {
  m_ServedSince = servedSince(AnsweredAt);
  m_ServedUntil = std::max(m_ServedUntil, std::optional(AnsweredAt));
}

void TableNews::onFailure(const Endpoint &Failed, TimePoint Now) {
  if (auto Found = m_Instances.find(Failed); Found != m_Instances.end())
    Found->second.m_PausedUntil = Now + FailurePause;
}

std::optional<Endpoint> TableNews::choose(TimePoint Now) {
  std::vector<const Endpoint *> Best;
  const Instance *Ahead = nullptr;
  for (const auto &[Address, Each] : m_Instances) {
    if (Each.m_NewestChange <= m_AsOf || Now < Each.m_PausedUntil || Now - Each.m_ToldAt > Lifetime)
      continue;
    if (!Ahead || Each.rank() > Ahead->rank()) {
      Best.clear();
      Ahead = &Each;
    }
    if (Each.rank() == Ahead->rank())
      Best.push_back(&Address);
  }
  if (Best.empty())
    return std::nullopt;
  return *Best[uniformBelow(m_Random, Best.size())];
}

TableNews::Freshness TableNews::freshness(const Endpoint &Of, TimePoint Now) const {
  auto Found = m_Instances.find(Of);
  if (Found == m_Instances.end())
    return Freshness::Unknown;
  return isFresh(Found->second, Now) ? Freshness::Fresh : Freshness::Stale;
}

Duration TableNews::turn(TimePoint Now) const {
  const auto Before =
      std::count_if(m_Instances.begin(), m_Instances.lower_bound(m_Self), [&](const auto &Each) {
        return Each.second.m_IsLocal && isHeard(Each.second, Now);
      });
  return share(std::min(static_cast<double>(Before) * TurnShare, LongestTurnShare));
}

bool TableNews::isAsking(const Instance &Told, bool IsStoreAway, TimePoint Now) const {
  if (!Told.m_IsLocal || !Told.m_AskingSince || !isHeard(Told, Now))
    return false;
  if (isFresh(Told, Now))
    return true;
  // If others reach the store, an instance that fails to reach it is cut off and queries in vain.
  return (IsStoreAway || !Told.m_StoreFailed) && Now - *Told.m_AskingSince < share(AskerShare);
}

bool TableNews::mayAskStore(TimePoint Now) const {
  if (m_NoSourceSince && Now - *m_NoSourceSince < turn(Now))
    return false;
  const bool IsStoreAway =
      std::none_of(m_Instances.begin(), m_Instances.end(), [&](const auto &Each) {
        return Each.second.m_IsLocal && isFresh(Each.second, Now);
      });
  // Instances after this one in the order yield to it, so that the first ones of the data centre
  // stay in touch and the others have an instance to follow.
  return std::count_if(m_Instances.begin(), m_Instances.lower_bound(m_Self), [&](const auto &Each) {
           return isAsking(Each.second, IsStoreAway, Now);
         }) < MaxAskers;
}

TableNews::Step TableNews::next(bool IsWaiting, TimePoint Now) {
  const bool HasSource = IsWaiting && !isStale(Now);
  if (HasSource)
    m_NoSourceSince.reset();
  else if (!m_NoSourceSince)
    m_NoSourceSince = Now;
  // A source in touch delivers a change by itself.
  if (m_BehindSince && (!HasSource || Now - *m_BehindSince >= share(GraceShare)))
    if (auto Chosen = choose(Now))
      return {Step::Kind::AskInstance, std::move(*Chosen)};
  const bool HasAsked = m_AskedStoreAt && Now - *m_AskedStoreAt < share(StaleShare);
  if (HasSource || !IsWaiting || HasAsked || !mayAskStore(Now))
    return {};
  m_AskedStoreAt = Now;
  return {Step::Kind::AskStore, {}};
}

} // namespace fescuegauge
