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
  /// Off: requests that can no longer meet their target stay in the queue.
  bool m_AnswerLateAtOnce = true;
  /// Off: classes that are never lost are refused like all others.
  bool m_NeverLostLast = true;
};

/// What the owner of a request has to do with it.
struct SchedulerAction {
  enum class Kind {
    /// Claim if needed, select an upstream and send the first attempt.
    Start,
    /// Answer "not run" with `m_Refusal`. Nothing of the request was sent.
    Refuse,
  };
  Kind m_Kind = Kind::Start;
  RequestId m_Id;
  Refusal m_Refusal;
};

/// Admits, queues and starts the requests of one entry instance: admission control, fair queues and
/// retry budget behind one interface.
///
/// Call submit() for each request, poll() about every 20 ms and after finished(), and onLoad()
/// about every 100 ms. Each submitted request gets exactly one action, from submit() or a later
/// call, unless it is cancelled first. A started request is in flight until finished().
class RequestScheduler {
public:
  RequestScheduler(std::uint64_t Seed, SchedulerRules Rules = {});

  void setTargets(std::span<const ClassTarget> Targets) { m_Admission.setTargets(Targets); }
  void setWeight(const ClientAccountId &Account, double Weight);

  /// `Load` is Router::load(). `EntryInstances` is the number of live entry instances of the own
  /// region, itself included, from the membership view. It needs to be right only roughly.
  void onLoad(const ServiceId &Service, const ServiceLoad &Load, std::uint32_t EntryInstances);

  /// The actions due, for this request and for others that it displaces.
  std::vector<SchedulerAction> submit(const RequestDescription &Request, TimePoint Now);
  /// Starts what fits and refuses what can no longer meet its target.
  std::vector<SchedulerAction> poll(TimePoint Now);
  /// The caller of a queued request has gone. False if it was not queued.
  bool cancel(const RequestId &Id);

  /// Ends a started request. `FirstToken` and `Total` are measured from its start; `Total` is
  /// absent when the request did not end with a complete answer and so says nothing about service
  /// times.
  void finished(const RequestId &Id, std::optional<Duration> FirstToken,
                std::optional<Duration> Total, TimePoint Now);

  /// True if a started request may be sent again after its upstream failed; takes from the budget.
  /// The request lifecycle decides whether repeating it is safe.
  bool mayRetry(const RequestId &Id);
  /// The delay from start after which takeHedge() is worth asking for; nothing if never.
  std::optional<Duration> hedgeAfter(const RequestId &Id) const;
  /// True if a second attempt may be sent to another upstream; takes from the budget. Never for
  /// non-idempotent requests or while the service is saturated.
  bool mayHedge(const RequestId &Id);

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
    /// The in-flight limit smoothed over about a second, for predictions.
    double m_SmoothLimit = 0;
    /// Standard deviations added to predictions, adjusted by how earlier ones came out.
    double m_Margin = 1;
    explicit ServiceQueue(FairQueueRules Rules) : m_Queue(Rules) {}
  };

  ServiceQueue &service(const ServiceId &Service);
  void startWhatFits(ServiceQueue &Owner, const ServiceId &Service, TimePoint Now,
                     std::vector<SchedulerAction> &Actions);
  void refuseLate(ServiceQueue &Owner, const ServiceId &Service, TimePoint Now,
                  std::vector<SchedulerAction> &Actions);
  static void learnFromWait(ServiceQueue &Owner, const QueuedRequest &Request, TimePoint Now);
  void refuse(const RequestId &Id, const Refusal &Why, std::vector<SchedulerAction> &Actions);
  Duration backlog(const ServiceQueue &Owner, const ServiceId &Service) const;

  SchedulerRules m_Rules;
  AdmissionController m_Admission;
  RetryBudget m_Budget;
  std::map<ServiceId, ServiceQueue> m_Services;
  std::map<ClientAccountId, double> m_Weights;
  /// Queued requests, needed again when they start.
  std::unordered_map<RequestId, RequestDescription> m_Queued;
  struct Started {
    RequestDescription m_Request;
    Duration m_Cost{0};
  };
  std::unordered_map<RequestId, Started> m_Started;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_REQUESTSCHEDULER_H
