#ifndef FESCUEGAUGE_ADMISSIONCONTROLLER_H
#define FESCUEGAUGE_ADMISSIONCONTROLLER_H

#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/LoadReport.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/Request.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace fescuegauge {

struct AdmissionRules {
  /// If false, every request is admitted without a prediction.
  bool m_PredictTarget = true;
  /// If false, every refusal carries MinRetryAfter instead of a randomised time.
  bool m_JitterRetryAfter = true;
  /// If false, the number of requests in flight is not limited.
  bool m_LimitInFlight = true;
  /// If false, an estimate above the target does not decay until a request of the class is
  /// measured.
  bool m_DecayEstimates = true;
};

/// The refusal of a request before any work on it was started.
struct Refusal {
  ErrorKind m_Kind = ErrorKind::Overloaded;
  Duration m_RetryAfter{0};
};

/// Predicts from measured service times whether a request can meet the target of its class, and
/// limits the number of requests that this entry instance has in flight at each service.
///
/// The limit is computed from load reports only. With free capacity, it is the entry instance's
/// in-flight count at the time of the reports plus an equal share of the capacity that was free
/// then. With more requests at the upstreams than they can run, the in-flight count is reduced in
/// proportion. No process needs to know the traffic of another one, and the limits converge to
/// equal shares of the demand.
class AdmissionController {
public:
  /// Target occupancy of the upstreams, as a fraction of their capacity. At a higher value,
  /// requests would queue inside the upstreams, where they can be neither refused nor reordered.
  static constexpr double TargetOccupancy = 0.9;
  /// Bounds of the retry-after time that is returned to callers.
  static constexpr Duration MinRetryAfter = std::chrono::seconds(1);
  static constexpr Duration MaxRetryAfter = std::chrono::seconds(30);
  /// Maximum queueing time for requests of classes without a target.
  static constexpr Duration DefaultMaxWait = std::chrono::seconds(10);
  /// Fraction of the allowed waiting time that a class may use. It is applied once for each
  /// priority above that of the class.
  static constexpr double LowerPriorityWaitShare = 0.6;
  /// Quantile of the measured service times that predictions use.
  static constexpr double ServiceTimeQuantile = 0.97;
  /// Maximum numbers of classes and services that are tracked separately; any others share one
  /// estimate.
  static constexpr std::size_t MaxClasses = 256;
  static constexpr std::size_t MaxServices = 256;

  explicit AdmissionController(std::uint64_t Seed, AdmissionRules Rules = {})
      : m_Random(Seed), m_Rules(Rules) {}

  /// Replaces all targets. They apply to requests that arrive from now on.
  void setTargets(std::span<const ClassTarget> Targets);
  /// Returns the target of the class, or null if none was declared.
  const ClassTarget *target(const WorkClassId &Class) const;

  /// Updates the in-flight limit from the load of a service and the number of live entry instances
  /// in this region, including this one. An approximate number is sufficient.
  void onLoad(const ServiceId &Service, const ServiceLoad &Load, std::uint32_t EntryInstances);
  /// Records the measured times of a request, from its start at an upstream to its first token and
  /// to its end.
  void onFinished(const RequestDescription &Request, std::optional<Duration> FirstToken,
                  Duration Total, TimePoint Now);

  /// Returns the number of requests that this entry instance may have in flight at the service; at
  /// least 1.
  double inFlightLimit(const ServiceId &Service) const;
  /// Returns true if the service's upstreams have no free capacity, so that hedged requests would
  /// add to the overload.
  bool isSaturated(const ServiceId &Service) const;
  /// Returns the expected time for which the request occupies a slot.
  Duration expectedCost(const RequestDescription &Request) const;
  /// Returns the delay after which a second attempt is likely to help, or nothing while too few
  /// requests were measured.
  std::optional<Duration> hedgeAfter(const RequestDescription &Request) const;

  /// The times by which a request has to be started.
  struct StartWindow {
    /// Of the requests that are started by this time, the fraction ServiceTimeQuantile meets the
    /// target.
    TimePoint m_Latest;
    /// A request started later than this misses the target even if it takes only the mean time.
    TimePoint m_ExpiresAt;
  };
  StartWindow startWindow(const RequestDescription &Request, TimePoint Now) const;

  /// Returns nothing if the request should be admitted, otherwise the refusal. `Wait` is the
  /// predicted time until the request starts; `DelaysOthers` is true if admitting it would make an
  /// admitted request miss its target.
  ///
  /// Classes of lower priority may use only a fraction of the waiting time that their target
  /// allows, so that they are refused first under overload.
  std::optional<Refusal> assess(const RequestDescription &Request, const StartWindow &Window,
                                Duration Wait, bool DelaysOthers, TimePoint Now);
  /// Returns a refusal whose retry-after time grows with the backlog and with the number of recent
  /// refusals.
  Refusal refuse(const ServiceId &Service, ErrorKind Kind, Duration Backlog, TimePoint Now);

private:
  /// Running estimates for one class at one service. Times are in microseconds.
  struct ClassEstimate {
    double m_MeanTokens = 0;
    double m_MeanTotal = 0;
    /// Upper quantile of the times by stochastic approximation; see ServiceTimeQuantile.
    double m_QuantileTotal = 0;
    double m_QuantileFirstToken = 0;
    double m_MeanFirstToken = 0;
    /// Minimum of m_MeanTotal, which grows slowly until a lower mean replaces it.
    double m_BaselineTotal = 0;
    std::uint64_t m_Count = 0;
    /// Time of the first refusal since the last sample.
    std::optional<TimePoint> m_RefusedSince;
  };
  struct ServiceState {
    double m_Limit = InitialLimit;
    /// The part of the limit that applies to upstreams of this region.
    double m_LocalLimit = InitialLimit;
    double m_Capacity = 0;
    bool m_Saturated = false;
    /// Exponentially decaying count of refusals, as of m_LastRefusalAt.
    double m_RecentRefusals = 0;
    TimePoint m_LastRefusalAt;
    /// Mean of recent service times as a multiple of the baseline of their class. It replaces load
    /// reports for services that send none.
    double m_Slowdown = 1;
  };
  /// In-flight limit until the first load arrives.
  static constexpr double InitialLimit = 4;

  const ClassEstimate *estimate(const RequestDescription &Request) const;
  double decayedValue(double Value, const ClassEstimate &Estimate, TimePoint Now) const;
  ServiceState &service(const ServiceId &Service);
  double waitShare(const ClassTarget &Target) const;

  RandomGenerator m_Random;
  AdmissionRules m_Rules;
  std::unordered_map<WorkClassId, ClassTarget> m_Targets;
  /// Distinct priorities of all classes that are not never-lost, highest first.
  std::vector<int> m_Priorities;
  std::unordered_map<std::string, ClassEstimate> m_Estimates;
  std::unordered_map<ServiceId, ServiceState> m_Services;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ADMISSIONCONTROLLER_H
