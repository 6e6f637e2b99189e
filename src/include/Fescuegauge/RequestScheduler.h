#ifndef FESCUEGAUGE_REQUESTSCHEDULER_H
#define FESCUEGAUGE_REQUESTSCHEDULER_H

#include "Fescuegauge/AdmissionController.h"
#include "Fescuegauge/FairQueue.h"
#include "Fescuegauge/RetryBudget.h"

#include <map>
#include <memory>
#include <vector>

namespace fescuegauge {

struct SchedulerRules {
  AdmissionRules m_Admission;
  FairQueueRules m_Queue;
  bool m_BudgetRetries = true;
  /// If false, requests that can no longer meet their target stay in the queue.
  bool m_RefuseExpired = true;
  /// If false, requests of never-lost classes are refused like all others.
  bool m_RefuseNeverLostLast = true;
};

/// An action that the caller of RequestScheduler has to carry out for a request.
struct SchedulerAction {
  enum class Kind {
    /// Claim if needed, select an upstream and send the first attempt.
    Start,
    /// Answer "not run" with `m_Refusal`. No part of the request was sent to an upstream.
    Refuse,
  };
  Kind m_Kind = Kind::Start;
  RequestId m_Id;
  Refusal m_Refusal;
};

/// Admits, queues and starts the requests of one entry instance. Combines admission control, fair
/// queues and retry budget.
///
/// Call submit() for each request, poll() about every 20 ms and after finished(), and onLoad()
/// about every 100 ms. Each submitted request gets exactly one action, returned by submit() or by a
/// later call, unless it is cancelled first. A started request is in flight until finished().
class RequestScheduler {
public:
  RequestScheduler(std::uint64_t Seed, SchedulerRules Rules = {});

  void setTargets(std::span<const ClassTarget> Targets) { m_Admission.setTargets(Targets); }
  void setWeight(const ClientAccountId &Account, double Weight);

  /// Updates the limits of a service. `Load` is the result of Router::load(). `EntryInstances` is
  /// the number of live entry instances in this region, including this one, from the membership
  /// view; an approximate number is sufficient.
  void onLoad(const ServiceId &Service, const ServiceLoad &Load, std::uint32_t EntryInstances);

  /// Admits or refuses a request. Returns the resulting actions for this request and for requests
  /// that it displaces.
  std::vector<SchedulerAction> submit(const RequestDescription &Request, TimePoint Now);
  /// Starts queued requests up to the in-flight limit and refuses those that can no longer meet
  /// their target.
  std::vector<SchedulerAction> poll(TimePoint Now);
  /// Removes a queued request whose caller has disconnected. Returns false if it was not queued.
  bool cancel(const RequestId &Id);

  /// Ends a started request. `FirstToken` and `Total` are measured from its start. `Total` is
  /// absent if the request did not end with a complete answer, since its time is then no sample of
  /// the service time.
  void finished(const RequestId &Id, std::optional<Duration> FirstToken,
                std::optional<Duration> Total, TimePoint Now);

  /// Takes one retry from the budget for a started request whose upstream failed. Returns false if
  /// the budget is used up. The request lifecycle decides whether a retry is safe.
  bool takeRetry(const RequestId &Id);
  /// Returns the delay from the start after which takeHedge() should be called, or nothing if the
  /// request should not be hedged.
  std::optional<Duration> hedgeAfter(const RequestId &Id) const;
  /// Takes one hedge from the budget for a second attempt at another upstream. Returns false if the
  /// budget is used up, the request is non-idempotent or the service is saturated.
  bool takeHedge(const RequestId &Id);

  std::size_t queued(const ServiceId &Service) const;
  std::size_t inFlight(const ServiceId &Service) const;
  double inFlightLimit(const ServiceId &Service) const {
    return m_Admission.inFlightLimit(Service);
  }
  const RetryBudget &retryBudget() const { return m_Budget; }

private:
  struct ServiceQueue {
    FairQueue m_Queue;
    std::size_t m_InFlight = 0;
    /// Expected slot time of the requests in flight.
    Duration m_CostInFlight{0};
    /// The in-flight limit, smoothed over about one second, for predictions.
    double m_SmoothedLimit = 0;
    /// Standard deviations to add to predictions, adjusted by comparing earlier predictions with
    /// the measured waiting times.
    double m_Margin = 1;
    explicit ServiceQueue(FairQueueRules Rules) : m_Queue(Rules) {}
  };

  ServiceQueue &service(const ServiceId &Service);
  void startQueued(ServiceQueue &PerService, const ServiceId &Service, TimePoint Now,
                   std::vector<SchedulerAction> &Actions);
  void refuseExpired(ServiceQueue &PerService, const ServiceId &Service, TimePoint Now,
                     std::vector<SchedulerAction> &Actions);
  static void adjustMargin(ServiceQueue &PerService, const QueuedRequest &Request, TimePoint Now);
  void refuse(const RequestId &Id, const Refusal &Reason, std::vector<SchedulerAction> &Actions);
  Duration backlog(const ServiceQueue &PerService, const ServiceId &Service) const;

  SchedulerRules m_Rules;
  AdmissionController m_Admission;
  RetryBudget m_Budget;
  std::map<ServiceId, ServiceQueue> m_Services;
  std::map<ClientAccountId, double> m_Weights;
  /// Descriptions of queued requests, which are needed when they start.
  std::unordered_map<RequestId, RequestDescription> m_Queued;
  struct Started {
    RequestDescription m_Request;
    Duration m_Cost{0};
  };
  std::unordered_map<RequestId, Started> m_Started;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_REQUESTSCHEDULER_H
