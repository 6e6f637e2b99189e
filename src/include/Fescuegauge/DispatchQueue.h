#ifndef FESCUEGAUGE_DISPATCHQUEUE_H
#define FESCUEGAUGE_DISPATCHQUEUE_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/RoutingPlan.h"
#include "Fescuegauge/Units.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace fescuegauge {

using WaitingNumber = StrongNumber<struct WaitingNumberTag>;

/// A request that waits for a place at an upstream of its service.
struct WaitingRequest {
  WaitingNumber m_Number;
  /// 0 is the most urgent.
  int m_Priority = 0;
  /// The caller has asked before and was refused, or has used much of its time.
  bool m_Returned = false;
};

/// The short queues of an entry instance, one for each service.
///
/// Load pattern answered: arrivals above capacity. A request waits only while a place is expected
/// to come free in time for its answer to be on time; the others are refused on arrival, so that
/// places go to requests that can still be on time instead of to the oldest ones. Requests that
/// come for the first time go before those that return, because the latter are late already.
class DispatchQueue {
public:
  /// The part of the target latency that a request may wait. What is left must suffice for the
  /// prompt and the first pass.
  static constexpr double WaitShare = 0.3;
  /// Requests that wait for one service; further ones are refused.
  static constexpr std::size_t MaxWaiting = 256;
  /// Time constant of the rate at which places come free.
  static constexpr Duration RateTime = std::chrono::seconds(1);

  /// The wait that a request of this target latency is given.
  static Duration longestWait(Duration TargetLatency) {
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(TargetLatency.count()) * WaitShare));
  }

  /// Whether a request that arrives now is likely to get a place within `Longest`.
  bool shouldWait(const ServiceId &Service, const WaitingRequest &Request, Duration Longest,
                  TimePoint Now) const;
  void push(const ServiceId &Service, const WaitingRequest &Request);
  /// The requests that wait, in the order in which they get places.
  std::vector<WaitingNumber> order(const ServiceId &Service) const;
  /// Removes a request, because it was placed or no longer waits.
  void remove(const ServiceId &Service, WaitingNumber Number);
  /// A request was placed at the service.
  void onPlaced(const ServiceId &Service, TimePoint Now);
  std::size_t waiting(const ServiceId &Service) const;
  /// Services for which requests wait.
  std::map<ServiceId, std::size_t> waitingServices() const;

private:
  struct Line {
    /// In the order in which they get places.
    std::list<WaitingRequest> m_Requests;
    /// Places given in a second, decaying.
    double m_Rate = 0;
    TimePoint m_RateAt;
  };

  static bool goesBefore(const WaitingRequest &Left, const WaitingRequest &Right);
  static double rateAt(const Line &Of, TimePoint Now);

  std::map<ServiceId, Line> m_Lines;
};

/// Recognises callers that ask again after a refusal by their deadlines.
///
/// A caller that asks for the first time gives about the deadline of its kind of work; one that
/// returns gives what is left of it.
class ReturnDetector {
public:
  /// Deadlines of a route that are remembered, and the part of the longest of them that a first
  /// request has at least: callers differ in their patience.
  static constexpr std::size_t Remembered = 64;
  static constexpr double FreshShare = 0.84;
  static constexpr std::size_t MaxRoutes = 1024;

  /// Notes the deadline of a request. True if its caller is likely to have asked before.
  bool hasReturned(const RouteId &Route, Duration Deadline);

private:
  std::unordered_map<RouteId, std::deque<Duration>> m_Lately;
};

/// When a refused caller should come back.
///
/// Load pattern answered: many callers refused at the same moment. Their times are spread, so that
/// they do not come back together, and lie within the part of their time in which they obey.
class RetryTimes {
public:
  static constexpr Duration Earliest = std::chrono::milliseconds(900);
  static constexpr Duration Latest = std::chrono::milliseconds(1700);
  /// Callers obey a time of up to a third of what they have left.
  static constexpr int ObeyedPart = 3;

  explicit RetryTimes(std::uint64_t Seed) : m_Random(Seed) {}
  Duration next(Duration TimeLeft);

private:
  RandomGenerator m_Random;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_DISPATCHQUEUE_H
