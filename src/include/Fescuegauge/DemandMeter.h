#ifndef FESCUEGAUGE_DEMANDMETER_H
#define FESCUEGAUGE_DEMANDMETER_H

#include "Fescuegauge/Units.h"

#include <cmath>

namespace fescuegauge {

/// Estimates the rate of requests that callers send to an instance, as an exponentially decaying
/// mean.
class DemandMeter {
public:
  /// Time constant of the decay. A mean of one request per second is then estimated from about ten
  /// requests, which is precise enough to detect that an instance has a small share of the callers.
  static constexpr Duration TimeConstant = std::chrono::seconds(10);

  void onRequest(TimePoint Now) {
    m_PerSecond = rate(Now).perSecond() + 1 / toSeconds(TimeConstant);
    m_UpdatedAt = Now;
  }
  RequestRate rate(TimePoint Now) const {
    return RequestRate(m_PerSecond *
                       std::exp(-toSeconds(Now - m_UpdatedAt) / toSeconds(TimeConstant)));
  }

private:
  double m_PerSecond = 0;
  TimePoint m_UpdatedAt;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_DEMANDMETER_H
