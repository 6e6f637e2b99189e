#include "Fescuegauge/RateStatements.h"

#include "Fescuegauge/ParseNumber.h"

#include <algorithm>

namespace fescuegauge {

bool RateStatements::isExpired(const Entry &Statement, TimePoint Now) {
  return Now - Statement.m_ConfirmedAt > (Statement.m_Rate ? Lifetime : EndedRateLifetime);
}

RateStatements::RateChange RateStatements::changeBetween(std::optional<RequestRate> Before,
                                                         std::optional<RequestRate> After) {
  if (Before == After)
    return RateChange::None;
  if (!After)
    return RateChange::Ended;
  return Before ? RateChange::Changed : RateChange::Named;
}

void RateStatements::evictIfFull(TimePoint Now) {
  if (m_Entries.size() < MaxUpstreams)
    return;
  std::erase_if(m_Entries, [&](const auto &Each) { return isExpired(Each.second, Now); });
  if (m_Entries.size() >= MaxUpstreams)
    m_Entries.erase(std::min_element(
        m_Entries.begin(), m_Entries.end(), [](const auto &Left, const auto &Right) {
          return Left.second.m_ConfirmedAt < Right.second.m_ConfirmedAt;
        }));
}

RateStatements::RateChange RateStatements::onAnswer(const UpstreamStart &Upstream,
                                                    std::optional<RequestRate> Named,
                                                    TimePoint SentAt, TimePoint Now) {
  auto Found = m_Entries.find(Upstream);
  if (Found != m_Entries.end() && isExpired(Found->second, Now)) {
    m_Entries.erase(Found);
    Found = m_Entries.end();
  }
  if (Found == m_Entries.end()) {
    if (!Named)
      return RateChange::None;
    evictIfFull(Now);
    m_Entries[Upstream] = {Named, Now, Now, Now};
    return RateChange::Named;
  }
  Entry &Known = Found->second;
  const std::optional<RequestRate> Before = Known.m_Rate;
  if (!Named && Before && SentAt < Known.m_ConfirmedAt)
    return RateChange::None;
  if (Named && Before && SentAt < Known.m_FirstSeenAt)
    Named = std::min(*Named, *Before);
  Known = {Named, Now, Named == Before ? Known.m_FirstSeenAt : Now, Now};
  return changeBetween(Before, Named);
}

RateStatements::RateChange RateStatements::onPeerUpdate(const RateStatement &Reported,
                                                        TimePoint Now) {
  const TimePoint At = Now - std::max(Reported.m_Age, Duration(0));
  auto Found = m_Entries.find(Reported.m_Upstream);
  if (Found == m_Entries.end()) {
    const Entry New{Reported.m_Rate, At, At, std::nullopt};
    if (!Reported.m_Rate || isExpired(New, Now))
      return RateChange::None;
    evictIfFull(Now);
    m_Entries.emplace(Reported.m_Upstream, New);
    return RateChange::Named;
  }
  Entry &Known = Found->second;
  if (At <= Known.m_ConfirmedAt)
    return RateChange::None;
  const std::optional<RequestRate> Before = isExpired(Known, Now) ? std::nullopt : Known.m_Rate;
  if (Known.m_Rate != Reported.m_Rate) {
    Known.m_OwnConfirmedAt.reset();
    Known.m_FirstSeenAt = At;
  }
  Known.m_Rate = Reported.m_Rate;
  Known.m_ConfirmedAt = At;
  return changeBetween(Before, Reported.m_Rate);
}

std::optional<RequestRate> RateStatements::rateOf(const UpstreamStart &Upstream,
                                                  TimePoint Now) const {
  auto Found = m_Entries.find(Upstream);
  if (Found == m_Entries.end() || isExpired(Found->second, Now))
    return std::nullopt;
  return Found->second.m_Rate;
}

std::map<UpstreamStart, RequestRate> RateStatements::rates(TimePoint Now) const {
  std::map<UpstreamStart, RequestRate> Result;
  for (const auto &[Upstream, Known] : m_Entries)
    if (Known.m_Rate && !isExpired(Known, Now))
      Result.emplace(Upstream, *Known.m_Rate);
  return Result;
}

std::vector<RateStatement> RateStatements::updateForPeers(TimePoint Now) const {
  std::vector<RateStatement> Result;
  for (const auto &[Upstream, Known] : m_Entries)
    if (Known.m_OwnConfirmedAt && !isExpired(Known, Now))
      Result.push_back({Upstream, Known.m_Rate, Now - *Known.m_OwnConfirmedAt});
  if (Result.size() > MaxStatementsPerMessage) {
    std::nth_element(Result.begin(), Result.begin() + MaxStatementsPerMessage, Result.end(),
                     [](const RateStatement &Left, const RateStatement &Right) {
                       return Left.m_Age < Right.m_Age;
                     });
    Result.resize(MaxStatementsPerMessage);
  }
  return Result;
}

std::optional<RequestRate> parseRate(std::string_view Text) {
  const auto PerSecond = parseNonNegative(Text);
  return PerSecond ? std::optional(RequestRate(*PerSecond)) : std::nullopt;
}

} // namespace fescuegauge
