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

/// A request that waits for a free slot at an upstream of its service.
struct WaitingRequest {
  WaitingNumber m_Number;
  /// 0 is the most urgent.
  int m_Priority = 0;
  /// Likely a retry: the client was refused before, or has used up much of its time.
  bool m_IsRetry = false;
};

/// Short per-service queues of requests at an entry instance.
///
/// Meant for arrivals above capacity. A request is queued only while a slot is expected to become
/// free early enough for its answer to be on time; other requests are refused on arrival, so that
/// slots go to requests that can still be on time instead of to the oldest ones. First requests
/// have precedence over retries, because the latter are late already.
class DispatchQueue {
public:
  /// Share of the target latency that a request may spend in the queue. The rest must suffice for
  /// the prompt and the first pass of the engine.
  static constexpr double MaxWaitShare = 0.3;
  /// Queue length of one service; further requests are refused.
  static constexpr std::size_t MaxWaiting = 256;
  /// Time constant of the decaying rate at which requests are placed.
  static constexpr Duration RateTimeConstant = std::chrono::seconds(1);

  /// The longest time in the queue for a request with this target latency.
  static Duration maxQueueTime(Duration TargetLatency) {
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(TargetLatency.count()) * MaxWaitShare));
  }

  /// Whether a request that arrives now is likely to get a slot within `Longest`.
  bool shouldQueue(const ServiceId &Service, const WaitingRequest &Request, Duration Longest,
                   TimePoint Now) const;
  void push(const ServiceId &Service, const WaitingRequest &Request);
  /// The queued requests in the order in which they get slots.
  std::vector<WaitingNumber> order(const ServiceId &Service) const;
  /// Removes a request that was placed or no longer waits.
  void remove(const ServiceId &Service, WaitingNumber Number);
  /// Records that a request was placed at the service.
  void onPlaced(const ServiceId &Service, TimePoint Now);
  std::size_t waiting(const ServiceId &Service) const;
  /// The number of queued requests of each service that has any.
  std::map<ServiceId, std::size_t> waitingServices() const;

private:
  struct ServiceQueue {
    /// In the order in which they get slots.
    std::list<WaitingRequest> m_Requests;
    /// Exponentially decaying count of placements; see RateTimeConstant.
    double m_Rate = 0;
    TimePoint m_RateUpdatedAt;
  };

  static bool hasPrecedence(const WaitingRequest &Left, const WaitingRequest &Right);
  static double decayedRate(const ServiceQueue &Of, TimePoint Now);

  std::map<ServiceId, ServiceQueue> m_Queues;
};

/// Recognises retries of refused requests by their deadlines.
///
/// A first request carries about the deadline that is usual for its kind of work; a retry carries
/// what is left of it.
class RetryDetector {
public:
  /// Number of recent deadlines kept for each route, and the share of the longest of them that a
  /// first request has at least. The share is below 1 because the deadlines of clients differ.
  static constexpr std::size_t MaxRecentDeadlines = 64;
  static constexpr double MinFirstRequestShare = 0.84;
  static constexpr std::size_t MaxRoutes = 1024;

  /// Records the deadline of a request. Returns true if the request is likely a retry.
  bool isRetry(const RouteId &Route, Duration Deadline);

private:
  std::unordered_map<RouteId, std::deque<Duration>> m_RecentDeadlines;
};

/// Computes retry delays for refused clients.
///
/// Meant for many clients that are refused at the same moment: the delays are randomised, so that
/// they do not retry together, and stay within the share of their remaining time that clients
/// honour.
class RetryDelays {
public:
  static constexpr Duration Earliest = std::chrono::milliseconds(900);
  static constexpr Duration Latest = std::chrono::milliseconds(1700);
  /// Clients honour a delay of up to this fraction (1 / MaxDelayDivisor) of their remaining time.
  static constexpr int MaxDelayDivisor = 3;

  explicit RetryDelays(std::uint64_t Seed) : m_Random(Seed) {}
  Duration next(Duration TimeLeft);

private:
  RandomGenerator m_Random;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_DISPATCHQUEUE_H
