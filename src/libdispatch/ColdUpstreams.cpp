#include "Fescuegauge/ColdUpstreams.h"

#include "Fescuegauge/LoadBalancer.h"
#include "Fescuegauge/ParseNumber.h"

#include <algorithm>
#include <cmath>

namespace fescuegauge {

SharedLimit ColdUpstreams::limitFor(RequestRate Rate, const ColdBounds &Bounds) {
  // In any second, each part allows one immediate request and its share of the rate.
  const double Bound = Rate.perSecond() * Bounds.m_Overshoot + Bounds.m_Slack;
  SharedLimit Result;
  Result.m_Division.m_MaxParts =
      std::max(1.0, std::floor((Bound - Rate.perSecond()) * ImmediateShare));
  Result.m_Division.m_NeedsMajority = true;
  Result.m_Rate =
      RequestRate(std::max(0.0, std::min(Rate.perSecond(), Bound - Result.m_Division.m_MaxParts)));
  return Result;
}

void ColdUpstreams::updateLimits() {
  m_Limits.clear();
  if (!m_Bounds)
    return;
  for (const auto &[Service, Parameters] : m_Parameters)
    m_Limits.emplace(Service, ServiceLimit{Parameters, limitFor(Parameters.m_Rate, *m_Bounds)});
}

void ColdUpstreams::setBounds(std::optional<ColdBounds> Bounds) {
  m_Bounds = Bounds;
  updateLimits();
}

void ColdUpstreams::setPlan(const RouteTable &Plan) {
  m_Parameters.clear();
  for (const ServicePlan &Each : Plan.plan().m_Services)
    if (Each.m_ColdStart)
      m_Parameters.emplace(Each.m_Id, *Each.m_ColdStart);
  updateLimits();
}

const ColdUpstreams::ServiceLimit *ColdUpstreams::limitOf(const Entry &Of) const {
  auto Found = m_Limits.find(Of.m_Service);
  return Found == m_Limits.end() ? nullptr : &Found->second;
}

ColdUpstreams::Entry *ColdUpstreams::findStart(const UpstreamStart &Upstream) {
  auto Found = m_Entries.find(Upstream.m_Id);
  return Found != m_Entries.end() && Found->second.m_Incarnation == Upstream.m_Incarnation
             ? &Found->second
             : nullptr;
}

void ColdUpstreams::assume(Entry &Of, TimePoint Until, bool IsOwn) {
  Of.m_AssumedUntil = std::max(Of.m_AssumedUntil, Until);
  if (IsOwn)
    Of.m_OwnAssumedUntil = std::max(Of.m_OwnAssumedUntil, Until);
  m_LatestUntil = std::max(m_LatestUntil, Until);
}

void ColdUpstreams::applyRecord(Entry &To, const UpstreamRecord &Listed, bool IsNewStart,
                                TimePoint Now) {
  To.m_IsListed = true;
  To.m_DataCentre = Listed.m_DataCentre;
  To.m_Service = Listed.m_Service;
  if (!Listed.m_Cold) {
    const ServiceLimit *Limit = limitOf(To);
    // Upstreams in the first list may have started long ago.
    if (IsNewStart && m_HasList && Limit)
      assume(To, Now + Limit->m_Parameters.m_Length, false);
    return;
  }
  // The list is set again whenever any entry has changed.
  if (!IsNewStart && Listed.m_Cold->m_Sequence && To.m_Sequence &&
      *Listed.m_Cold->m_Sequence <= *To.m_Sequence)
    return;
  To.m_Sequence = Listed.m_Cold->m_Sequence;
  To.m_StatedUntil = Listed.m_Cold->until();
  m_LatestUntil = std::max(m_LatestUntil, To.m_StatedUntil);
}

void ColdUpstreams::onListed(std::span<const UpstreamRecord> Listed, TimePoint Now) {
  if (!m_Bounds)
    return;
  for (auto &[Id, Each] : m_Entries)
    Each.m_IsListed = false;
  for (const UpstreamRecord &Each : Listed) {
    auto [Found, IsNew] = m_Entries.try_emplace(Each.m_Id);
    Entry &Known = Found->second;
    const bool IsNewStart = IsNew || Each.m_Incarnation > Known.m_Incarnation;
    if (!IsNewStart && Each.m_Incarnation < Known.m_Incarnation) {
      Known.m_IsListed = true;
      continue;
    }
    if (IsNewStart) {
      if (Known.m_WasCold)
        --m_ReportedCold;
      Known = {};
      Known.m_Incarnation = Each.m_Incarnation;
    }
    applyRecord(Known, Each, IsNewStart, Now);
  }
  std::erase_if(m_Entries, [&](const auto &Each) {
    return !Each.second.m_IsListed && !Each.second.m_WasCold && Each.second.until() <= Now;
  });
  m_HasList = true;
}

void ColdUpstreams::onAnswer(const UpstreamStart &Upstream, Duration Remaining, TimePoint Now) {
  if (Entry *Found = findStart(Upstream); Found && Remaining > Duration(0))
    assume(*Found, Now + std::min(Remaining, MaxRemaining), true);
}

void ColdUpstreams::onUnreachable(const UpstreamStart &Upstream, TimePoint Now) {
  Entry *Found = findStart(Upstream);
  if (const ServiceLimit *Limit = Found ? limitOf(*Found) : nullptr)
    assume(*Found, Now + ListingDelay + Limit->m_Parameters.m_Length, true);
}

void ColdUpstreams::onPeerNotice(const ColdNotice &Notice, TimePoint Now) {
  if (Entry *Found = findStart(Notice.m_Upstream))
    assume(*Found, Now + std::min(Notice.m_Remaining, MaxRemaining), false);
}

void ColdUpstreams::markCold(const DataCentreId &DataCentre, TimePoint Now) {
  for (auto &[Id, Each] : m_Entries)
    if (const ServiceLimit *Limit = limitOf(Each); Limit && Each.m_DataCentre == DataCentre)
      assume(Each, Now + Limit->m_Parameters.m_Length, false);
}

std::optional<TimePoint> ColdUpstreams::coldUntil(const UpstreamStart &Upstream,
                                                  TimePoint Now) const {
  if (Now >= m_LatestUntil)
    return std::nullopt;
  auto Found = m_Entries.find(Upstream.m_Id);
  if (Found == m_Entries.end() || Upstream.m_Incarnation > Found->second.m_Incarnation ||
      Now >= Found->second.until() || !limitOf(Found->second))
    return std::nullopt;
  return Found->second.until();
}

const SharedLimit *ColdUpstreams::limitOf(const UpstreamStart &Upstream, TimePoint Now) const {
  if (!coldUntil(Upstream, Now))
    return nullptr;
  return &limitOf(m_Entries.at(Upstream.m_Id))->m_Limit;
}

std::vector<ColdNotice> ColdUpstreams::noticesForPeers(TimePoint Now) const {
  std::vector<ColdNotice> Result;
  if (Now >= m_LatestUntil)
    return Result;
  for (const auto &[Id, Each] : m_Entries)
    if (Each.m_OwnAssumedUntil > Now && limitOf(Each))
      Result.push_back({{Id, Each.m_Incarnation}, Each.m_OwnAssumedUntil - Now});
  // The latest evidence is the least known to the others.
  if (Result.size() > MaxNoticesPerMessage) {
    std::nth_element(Result.begin(), Result.begin() + MaxNoticesPerMessage, Result.end(),
                     [](const ColdNotice &Left, const ColdNotice &Right) {
                       return Left.m_Remaining > Right.m_Remaining;
                     });
    Result.resize(MaxNoticesPerMessage);
  }
  return Result;
}

std::vector<ColdUpstreams::Change> ColdUpstreams::takeChanges(TimePoint Now) {
  std::vector<Change> Result;
  if (Now >= m_LatestUntil && m_ReportedCold == 0)
    return Result;
  for (auto &[Id, Each] : m_Entries) {
    const bool IsCold = Each.until() > Now && limitOf(Each);
    if (IsCold == Each.m_WasCold)
      continue;
    Each.m_WasCold = IsCold;
    m_ReportedCold += IsCold ? 1 : std::size_t(-1);
    Result.push_back({{Id, Each.m_Incarnation},
                      IsCold,
                      std::max(Each.until() - Now, Duration(0)),
                      Each.m_StatedUntil > Now});
  }
  return Result;
}

std::map<UpstreamStart, Duration> ColdUpstreams::cold(TimePoint Now) const {
  std::map<UpstreamStart, Duration> Result;
  for (const auto &[Id, Each] : m_Entries)
    if (Each.until() > Now && limitOf(Each))
      Result.emplace(UpstreamStart{Id, Each.m_Incarnation}, Each.until() - Now);
  return Result;
}

std::optional<Duration> parseColdRemaining(std::string_view Text) {
  const auto Milliseconds = parseNonNegative(Text);
  if (!Milliseconds)
    return std::nullopt;
  const double Limited = std::min(*Milliseconds, 1e3 * toSeconds(ColdUpstreams::MaxRemaining));
  return Duration(static_cast<Duration::rep>(1e3 * Limited));
}

} // namespace fescuegauge
