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

void SharedRates::setInstances(KnownInstance Self, std::vector<KnownInstance> Others) {
  m_Division.setInstances(std::move(Self), std::move(Others));
  invalidateParts();
}

void SharedRates::releaseParts() {
  m_Division.clear();
  invalidateParts();
}

void SharedRates::invalidateParts() {
  for (auto &[Upstream, Each] : m_Pacers)
    Each.m_IsPartCurrent = false;
}

SharedRates::Pacer *SharedRates::pacerFor(const UpstreamStart &Upstream,
                                          const DataCentreId &DataCentre, TimePoint Now) {
  if (m_Statements.empty())
    return nullptr;
  const std::optional<RequestRate> Named = m_Statements.rateOf(Upstream, Now);
  if (!Named) {
    m_Pacers.erase(Upstream);
    return nullptr;
  }
  if (m_Pacers.size() >= RateStatements::MaxUpstreams && !m_Pacers.contains(Upstream))
    std::erase_if(m_Pacers,
                  [&](const auto &Each) { return !m_Statements.rateOf(Each.first, Now); });
  const RequestRate Rate = std::max(*Named, ProbeRate);
  Pacer &Result = m_Pacers[Upstream];
  if (Result.m_IsPartCurrent && Result.m_Rate == Rate)
    return &Result;
  const bool HadPart = Result.hasPart();
  Result.m_Rate = Rate;
  Result.m_Part = m_Division.partOf(Upstream.m_Id.str(), DataCentre, Rate);
  Result.m_IsPartCurrent = true;
  // The instance that had the part before may have used it just now. On average it is due after
  // half an interval.
  if (Result.hasPart() && !HadPart)
    Result.m_NextDueAt =
        std::max(Result.m_NextDueAt, Now + Result.m_Part.interval() / 2 + Result.tolerance());
  return &Result;
}

TimePoint SharedRates::nextPermit(const UpstreamStart &Upstream, const DataCentreId &DataCentre,
                                  TimePoint Now) {
  const Pacer *Found = pacerFor(Upstream, DataCentre, Now);
  return Found ? Found->nextPermit() : Now;
}

SharedRates::Permit SharedRates::takePermit(const UpstreamStart &Upstream,
                                            const DataCentreId &DataCentre, TimePoint Now) {
  Pacer *Found = pacerFor(Upstream, DataCentre, Now);
  if (!Found)
    return Permit::NotNeeded;
  if (Found->nextPermit() > Now)
    return Permit::Refused;
  Found->m_NextDueAt = std::max(Found->m_NextDueAt, Now) + Found->m_Part.interval();
  return Permit::Taken;
}

void SharedRates::returnPermit(const UpstreamStart &Upstream) {
  auto Found = m_Pacers.find(Upstream);
  if (Found != m_Pacers.end() && Found->second.hasPart())
    Found->second.m_NextDueAt -= Found->second.m_Part.interval();
}

RequestRate SharedRates::partAt(const UpstreamStart &Upstream) const {
  auto Found = m_Pacers.find(Upstream);
  return Found == m_Pacers.end() ? RequestRate(0) : Found->second.m_Part;
}

} // namespace fescuegauge
