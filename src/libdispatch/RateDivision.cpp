#include "Fescuegauge/RateDivision.h"

#include "Fescuegauge/EndpointText.h"
#include "Fescuegauge/Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace fescuegauge {

void RateDivision::setInstances(KnownInstance Self, std::vector<KnownInstance> Others) {
  m_Instances = std::move(Others);
  m_Instances.insert(m_Instances.begin(), std::move(Self));
}

DivisionRule RateDivision::ruleForNamedRate(RequestRate Rate) {
  return {MinParts + std::floor(Rate.perSecond() / RatePerExtraPart.perSecond()), false};
}

bool RateDivision::isMajorityLive(const std::vector<const KnownInstance *> &Group) {
  const auto Live = std::count_if(Group.begin(), Group.end(),
                                  [](const KnownInstance *Each) { return Each->m_IsLive; });
  const auto Size = static_cast<std::ptrdiff_t>(Group.size());
  if (2 * Live != Size)
    return 2 * Live > Size;
  // One of two equal halves: the one with the first address.
  const auto First = std::min_element(Group.begin(), Group.end(),
                                      [](const KnownInstance *Left, const KnownInstance *Right) {
                                        return Left->m_Address < Right->m_Address;
                                      });
  return First != Group.end() && (*First)->m_IsLive;
}

std::vector<const KnownInstance *> RateDivision::candidates(const DataCentreId &DataCentre,
                                                            bool NeedsMajority) const {
  const auto IsLocal = [&](const KnownInstance &Each) { return Each.m_DataCentre == DataCentre; };
  const auto IsMember = [&](const KnownInstance &Each) { return NeedsMajority || Each.m_IsLive; };
  const bool AnyLocal =
      std::any_of(m_Instances.begin(), m_Instances.end(),
                  [&](const KnownInstance &Each) { return IsMember(Each) && IsLocal(Each); });
  std::vector<const KnownInstance *> Result;
  for (const KnownInstance &Each : m_Instances)
    if (IsMember(Each) && (!AnyLocal || IsLocal(Each)))
      Result.push_back(&Each);
  if (NeedsMajority && !isMajorityLive(Result))
    return {};
  std::erase_if(Result, [](const KnownInstance *Each) { return !Each->m_IsLive; });
  double TotalDemand = 0;
  double WithDemand = 0;
  for (const KnownInstance *Each : Result)
    if (Each->m_Demand) {
      TotalDemand += Each->m_Demand->perSecond();
      ++WithDemand;
    }
  const RequestRate MinDemand(WithDemand > 0 ? MinDemandShare * TotalDemand / WithDemand : 0);
  std::erase_if(Result, [&](const KnownInstance *Each) {
    return Each->m_Demand && *Each->m_Demand < MinDemand;
  });
  return Result;
}

RequestRate RateDivision::partOf(std::string_view Key, const DataCentreId &DataCentre,
                                 RequestRate Rate, const DivisionRule &Rule) const {
  const std::vector<const KnownInstance *> Candidates =
      candidates(DataCentre, Rule.m_NeedsMajority);
  if (Candidates.empty() || Candidates.front() != &m_Instances.front())
    return RequestRate(0);
  const auto WeightOf = [&](const KnownInstance *Each) {
    return rendezvousWeight(Key, endpointText(Each->m_Address));
  };
  const std::uint64_t Own = WeightOf(Candidates.front());
  const auto HigherRanked =
      std::count_if(Candidates.begin(), Candidates.end(),
                    [&](const KnownInstance *Each) { return WeightOf(Each) > Own; });
  const double Parts = std::min(static_cast<double>(Candidates.size()), Rule.m_MaxParts);
  return static_cast<double>(HigherRanked) < Parts ? RequestRate(Rate.perSecond() / Parts)
                                                   : RequestRate(0);
}

} // namespace fescuegauge
