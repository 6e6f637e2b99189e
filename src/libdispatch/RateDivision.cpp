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

std::vector<const KnownInstance *> RateDivision::candidates(const DataCentreId &DataCentre) const {
  const auto IsLocal = [&](const KnownInstance &Each) { return Each.m_DataCentre == DataCentre; };
  const bool AnyLocal = std::any_of(m_Instances.begin(), m_Instances.end(), IsLocal);
  std::vector<const KnownInstance *> Result;
  double TotalDemand = 0;
  double WithDemand = 0;
  for (const KnownInstance &Each : m_Instances) {
    if (AnyLocal && !IsLocal(Each))
      continue;
    Result.push_back(&Each);
    if (Each.m_Demand) {
      TotalDemand += Each.m_Demand->perSecond();
      ++WithDemand;
    }
  }
  const RequestRate MinDemand(WithDemand > 0 ? MinDemandShare * TotalDemand / WithDemand : 0);
  std::erase_if(Result, [&](const KnownInstance *Each) {
    return Each->m_Demand && *Each->m_Demand < MinDemand;
  });
  return Result;
}

RequestRate RateDivision::partOf(std::string_view Key, const DataCentreId &DataCentre,
                                 RequestRate Rate) const {
  const std::vector<const KnownInstance *> Candidates = candidates(DataCentre);
  if (Candidates.empty() || Candidates.front() != &m_Instances.front())
    return RequestRate(0);
  const auto WeightOf = [&](const KnownInstance *Each) {
    return rendezvousWeight(Key, endpointText(Each->m_Address));
  };
  const std::uint64_t Own = WeightOf(Candidates.front());
  const auto HigherRanked =
      std::count_if(Candidates.begin(), Candidates.end(),
                    [&](const KnownInstance *Each) { return WeightOf(Each) > Own; });
  const double Parts =
      std::min(static_cast<double>(Candidates.size()),
               MinParts + std::floor(Rate.perSecond() / RatePerExtraPart.perSecond()));
  return static_cast<double>(HigherRanked) < Parts ? RequestRate(Rate.perSecond() / Parts)
                                                   : RequestRate(0);
}

} // namespace fescuegauge
