#include "Fescuegauge/StartTimeLimiter.h"

#include <algorithm>

namespace fescuegauge {

void StartTimeLimiter::onStarted(const ServiceId &Service, bool IsLate, double InFlight) {
  double &Limit = m_Limits.try_emplace(Service, MaxLimit).first->second;
  if (IsLate)
    Limit = std::min(Limit, MaxHeadroom * InFlight) * (1 - DecreaseFactor * Increase);
  else
    Limit = std::min(Limit * (1 + Increase), MaxLimit);
}

double StartTimeLimiter::limit(const ServiceId &Service, double Slots,
                               std::size_t Instances) const {
  auto Found = m_Limits.find(Service);
  if (Found == m_Limits.end())
    return MaxLimit;
  const double Share = Slots / static_cast<double>(std::max<std::size_t>(Instances, 1));
  return std::max({Found->second, Share, 1.0});
}

} // namespace fescuegauge
