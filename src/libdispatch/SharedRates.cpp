#include "Fescuegauge/SharedRates.h"

#include <algorithm>

namespace fescuegauge {

RateStatements::RateChange SharedRates::onAnswer(const UpstreamStart &Upstream,
                                                 std::optional<RequestRate> Named, TimePoint SentAt,
                                                 TimePoint Now) {
  return m_Statements.onAnswer(Upstream, Named, SentAt, Now);
}

RateStatements::RateChange SharedRates::onPeerUpdate(const RateStatement &Reported, TimePoint Now) {
  return m_Statements.onPeerUpdate(Reported, Now);
}

void SharedRates::setInstances(KnownInstance Self, std::vector<KnownInstance> Others,
                               std::optional<TimePoint> Now) {
  if (Now && (!m_ListedAt || *Now - *m_ListedAt > MaxListAge))
    m_SettledAt = *Now + SettleTime;
  m_ListedAt = Now;
  m_Division.setInstances(std::move(Self), std::move(Others));
  invalidateParts();
}

void SharedRates::releaseParts() {
  m_Division.clear();
  invalidateParts();
}

void SharedRates::invalidateParts() {
  m_NamedPacers.invalidateParts();
  m_ColdPacers.invalidateParts();
}

PartPacer *SharedRates::namedPacer(const UpstreamStart &Upstream, const DataCentreId &DataCentre,
                                   TimePoint Now) {
  if (m_Statements.empty())
    return nullptr;
  const std::optional<RequestRate> Named = m_Statements.rateOf(Upstream, Now);
  if (!Named) {
    m_NamedPacers.erase(Upstream);
    return nullptr;
  }
  if (m_NamedPacers.size() >= RateStatements::MaxUpstreams && !m_NamedPacers.find(Upstream))
    m_NamedPacers.eraseIf(
        [&](const UpstreamStart &Each) { return !m_Statements.rateOf(Each, Now); });
  const RequestRate Rate = std::max(*Named, ProbeRate);
  return &m_NamedPacers.pacer(
      Upstream, DataCentre,
      {Rate, RateDivision::ruleForNamedRate(Rate), BurstTolerance + Rate.interval()}, m_Division,
      Now);
}

PartPacer *SharedRates::coldPacer(const UpstreamStart &Upstream, const DataCentreId &DataCentre,
                                  TimePoint Now) {
  const SharedLimit *Limit = m_Cold.limitOf(Upstream, Now);
  if (!Limit) {
    if (m_ColdPacers.size() > 0)
      m_ColdPacers.erase(Upstream);
    return nullptr;
  }
  if (m_ColdPacers.size() >= RateStatements::MaxUpstreams && !m_ColdPacers.find(Upstream))
    m_ColdPacers.eraseIf([&](const UpstreamStart &Each) { return !m_Cold.limitOf(Each, Now); });
  return &m_ColdPacers.pacer(Upstream, DataCentre, *Limit, m_Division, Now);
}

TimePoint SharedRates::nextPermit(const UpstreamStart &Upstream, const DataCentreId &DataCentre,
                                  TimePoint Now) {
  const PartPacer *Named = namedPacer(Upstream, DataCentre, Now);
  TimePoint Next = Named ? Named->nextPermit() : Now;
  if (const PartPacer *Cold = coldPacer(Upstream, DataCentre, Now))
    Next = std::max(
        Next, std::min(nextColdPermit(*Cold, Now), m_Cold.coldUntil(Upstream, Now).value_or(Now)));
  return Next;
}

SharedRates::Permit SharedRates::takePermit(const UpstreamStart &Upstream,
                                            const DataCentreId &DataCentre, HeldPermits &Held,
                                            TimePoint Now) {
  PartPacer *Named = Held.m_ForNamedRate ? nullptr : namedPacer(Upstream, DataCentre, Now);
  PartPacer *Cold = Held.m_ForColdRate ? nullptr : coldPacer(Upstream, DataCentre, Now);
  if ((Named && Named->nextPermit() > Now) || (Cold && nextColdPermit(*Cold, Now) > Now))
    return Permit::Refused;
  if (Named) {
    Named->take(Now);
    Held.m_ForNamedRate = true;
  }
  if (Cold) {
    Cold->take(Now);
    Held.m_ForColdRate = true;
  }
  return Held.any() ? Permit::Taken : Permit::NotNeeded;
}

void SharedRates::onSending(const UpstreamStart &Upstream, const HeldPermits &Held, TimePoint Now) {
  if (PartPacer *Cold = Held.m_ForColdRate ? m_ColdPacers.find(Upstream) : nullptr)
    Cold->spaceFrom(Now);
}

void SharedRates::returnPermit(const UpstreamStart &Upstream, HeldPermits Held) {
  if (PartPacer *Named = Held.m_ForNamedRate ? m_NamedPacers.find(Upstream) : nullptr)
    Named->giveBack();
  if (PartPacer *Cold = Held.m_ForColdRate ? m_ColdPacers.find(Upstream) : nullptr)
    Cold->giveBack();
}

RequestRate SharedRates::partAt(const UpstreamStart &Upstream) const {
  const PartPacer *Found = m_NamedPacers.find(Upstream);
  return Found ? Found->part() : RequestRate(0);
}

RequestRate SharedRates::coldPartAt(const UpstreamStart &Upstream) const {
  const PartPacer *Found = m_ColdPacers.find(Upstream);
  return Found ? Found->part() : RequestRate(0);
}

} // namespace fescuegauge
