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
  /// Off: every request is admitted.
  bool m_PredictTarget = true;
  bool m_SpreadRetries = true;
  /// Off: the number of requests in flight is not limited.
  bool m_LimitInFlight = true;
  /// Off: an estimate above the target stays until a request of the class is measured.
  bool m_RelaxEstimates = true;
};

/// A refusal before any work was started.
struct Refusal {
  ErrorKind m_Kind = ErrorKind::Overloaded;
  Duration m_RetryAfter{0};
};

/// Predicts from measured service times whether requests can meet the target of their class, and
/// limits how many requests this entry instance has in flight at a service.
///
/// The limit follows from the load reports alone: what the entry instance had in flight at the time
/// of the reports, plus an equal part of the capacity that was free then; or, when the upstreams
/// held more than they can run, its own part reduced in proportion. No process needs to know the
/// traffic of another, and parts converge to equal shares of what is asked for.
class AdmissionController {
public:
  /// Upstreams are kept this full, as a multiple of capacity. More would make requests wait inside
  /// upstreams, where they can no longer be refused or put in order.
  static constexpr double TargetOccupancy = 0.9;
  /// Limits of the retry-after time that callers are told.
  static constexpr Duration MinRetryAfter = std::chrono::seconds(1);
  static constexpr Duration MaxRetryAfter = std::chrono::seconds(30);
  /// A request of a class without a target waits this long at most.
  static constexpr Duration DefaultMaxWait = std::chrono::seconds(10);
  /// The part of the waiting time that a target allows which a class may use, for each class of
  /// higher priority.
  static constexpr double LowerPriorityPart = 0.6;
  /// The share of requests that the predicted service time covers.
  static constexpr double CoveredShare = 0.97;
  /// Classes and services beyond these numbers share one estimate.
  static constexpr std::size_t MaxClasses = 256;
  static constexpr std::size_t MaxServices = 256;

  explicit AdmissionController(std::uint64_t Seed, AdmissionRules Rules = {})
      : m_Random(Seed), m_Rules(Rules) {}

  /// Replaces all targets; takes effect for requests admitted from now on.
  void setTargets(std::span<const ClassTarget> Targets);
  /// Nothing if no target was declared for the class.
  const ClassTarget *target(const WorkClassId &Class) const;

  /// Takes the load of a service and the number of live entry instances of the own region, itself
  /// included. The number needs to be right only roughly.
  void onLoad(const ServiceId &Service, const ServiceLoad &Load, std::uint32_t EntryInstances);
  /// Takes the measured times of a request, from its start at an upstream to its first token and to
  /// its end.
  void onFinished(const RequestDescription &Request, std::optional<Duration> FirstToken,
                  Duration Total, TimePoint Now);

  /// Requests that this entry instance may have in flight at the service; at least 1.
  double inFlightLimit(const ServiceId &Service) const;
  /// True when the service's upstreams have nothing free, so that hedges would do harm.
  bool isSaturated(const ServiceId &Service) const;
  /// Expected time that the request occupies a slot.
  Duration expectedCost(const RequestDescription &Request) const;
  /// The time after which a second attempt is likely to help; nothing while it is not known.
  std::optional<Duration> hedgeAfter(const RequestDescription &Request) const;

  /// When a request that arrives at `Now` has to be started.
  struct StartWindow {
    /// Started by then, a share CoveredShare of such requests meets the target.
    TimePoint m_Latest;
    /// Started later, even a request that takes the mean time misses it.
    TimePoint m_GiveUpAt;
  };
  StartWindow startWindow(const RequestDescription &Request, TimePoint Now) const;

  /// Nothing if the request should be admitted, else the refusal. `Wait` is the predicted time
  /// until it starts, `DelaysOthers` true if it would make an admitted request miss its target.
  ///
  /// Classes of lower priority may use only a part of the time that the target leaves for waiting,
  /// so that under overload they are refused first.
  std::optional<Refusal> assess(const RequestDescription &Request, const StartWindow &Window,
                                Duration Wait, bool DelaysOthers, TimePoint Now);
  /// A refusal whose retry-after grows with the backlog and with the number of recent refusals.
  Refusal refuse(const ServiceId &Service, ErrorKind Kind, Duration Backlog, TimePoint Now);

private:
  /// Running estimates of one class at one service.
  struct Estimate {
    double m_MeanTokens = 0;
    double m_MeanTotal = 0;
    /// Quantile CoveredShare of the times, by stochastic approximation, in microseconds.
    double m_HighTotal = 0;
    double m_HighFirstToken = 0;
    double m_MeanFirstToken = 0;
    /// Low of m_MeanTotal, rising slowly.
    double m_LowTotal = 0;
    std::uint64_t m_Count = 0;
    /// Since when requests are refused without a new sample.
    std::optional<TimePoint> m_RefusedSince;
  };
  struct ServiceState {
    double m_Limit = InitialLimit;
    /// The part of the limit for upstreams of the own region.
    double m_LocalLimit = InitialLimit;
    double m_Capacity = 0;
    bool m_Saturated = false;
    /// Refusals of recent seconds, decaying, and the time of the last decay.
    double m_RecentRefusals = 0;
    TimePoint m_LastRefusal;
    /// Mean of recent times as a multiple of the long-run low of their class, for services without
    /// load reports.
    double m_Inflation = 1;
  };
  /// Used until the first load arrives.
  static constexpr double InitialLimit = 4;

  const Estimate *estimate(const RequestDescription &Request) const;
  double relaxed(double Value, const Estimate &Known, TimePoint Now) const;
  ServiceState &service(const ServiceId &Service);
  double waitingPart(const ClassTarget &Target) const;

  RandomGenerator m_Random;
  AdmissionRules m_Rules;
  std::unordered_map<WorkClassId, ClassTarget> m_Targets;
  /// Priorities of classes that may be refused, highest first, each once.
  std::vector<int> m_Priorities;
  std::unordered_map<std::string, Estimate> m_Estimates;
  std::unordered_map<ServiceId, ServiceState> m_Services;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ADMISSIONCONTROLLER_H
