#include "Fescuegauge/PartPacers.h"

namespace fescuegauge {

PartPacer &PartPacers::pacer(const UpstreamStart &Upstream, const DataCentreId &DataCentre,
                             const SharedLimit &Limit, const RateDivision &Division,
                             TimePoint Now) {
  PartPacer &Result = m_Pacers[Upstream];
  if (Result.m_IsPartCurrent && Result.m_Rate == Limit.m_Rate)
    return Result;
  const bool HadPart = Result.hasPart();
  Result.m_Rate = Limit.m_Rate;
  Result.m_Tolerance = Limit.m_Tolerance;
  Result.m_Part = Division.partOf(Upstream.m_Id.str(), DataCentre, Limit.m_Rate, Limit.m_Division);
  Result.m_IsPartCurrent = true;
  // The instance that had the part before may have used it just now. On average it is due after
  // half an interval.
  if (Result.hasPart() && !HadPart)
    Result.m_NextDueAt =
        std::max(Result.m_NextDueAt, Now + Result.m_Part.interval() / 2 + Result.m_Tolerance);
  return Result;
}

PartPacer *PartPacers::find(const UpstreamStart &Upstream) {
  auto Found = m_Pacers.find(Upstream);
  return Found == m_Pacers.end() ? nullptr : &Found->second;
}

const PartPacer *PartPacers::find(const UpstreamStart &Upstream) const {
  auto Found = m_Pacers.find(Upstream);
  return Found == m_Pacers.end() ? nullptr : &Found->second;
}

void PartPacers::invalidateParts() {
  for (auto &[Upstream, Each] : m_Pacers)
    Each.m_IsPartCurrent = false;
}

} // namespace fescuegauge
