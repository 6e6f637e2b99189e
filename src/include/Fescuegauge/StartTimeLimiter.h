#ifndef FESCUEGAUGE_STARTTIMELIMITER_H
#define FESCUEGAUGE_STARTTIMELIMITER_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <cstddef>
#include <map>

namespace fescuegauge {

/// Limits the requests that this instance has in flight at the engines of a service, by the times
/// in which they start.
///
/// Meant for demand above the room of the engines at many entry instances that decide
/// independently. Their reports of what they use are older than the time in which a burst fills the
/// engines, so each of them sees free slots that the others have taken meanwhile. The requests then
/// queue at the engines, where all of them become late. How soon the own requests start shows this
/// without any report. The limit falls when starts are late, and rises while they are on time, so
/// that about one start in (1 + DecreaseFactor) is late. It does not fall below the instance's
/// share of the slots, so that slow engines alone do not reduce it any further.
class StartTimeLimiter {
public:
  /// Relative increase of the limit with a start that is on time.
  static constexpr double Increase = 0.03;
  /// The decrease with a late start, as a multiple of Increase. A late answer is still of use, so the
  /// limit does not serve fewer requests for the sake of a few late ones.
  static constexpr double DecreaseFactor = 3;
  /// A late start reduces the limit to at most this multiple of the requests in flight, so that it
  /// takes effect soon after a long time without overload.
  static constexpr double MaxHeadroom = 1.5;
  static constexpr double MaxLimit = 1000;

  /// A request started. `InFlight` counts those of this instance at the service.
  void onStarted(const ServiceId &Service, bool IsLate, double InFlight);
  /// The number of requests that may be in flight, at least 1. `Slots` are those of the engines
  /// that may be used, which `Instances` share.
  double limit(const ServiceId &Service, double Slots, std::size_t Instances) const;

private:
  std::map<ServiceId, double> m_Limits;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_STARTTIMELIMITER_H
