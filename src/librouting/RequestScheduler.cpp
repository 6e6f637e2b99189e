#include "Fescuegauge/RequestScheduler.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>

namespace fescuegauge {

namespace {

Invariant StartedOnce("routing.request_started_once");
Invariant WithinLimit("routing.in_flight_within_limit");

/// Weight of a new limit in the smoothed one. About ten limits arrive per second.
constexpr double LimitGain = 0.1;
/// Fraction of the waiting times that predictions should cover, and the step and the maximum of
/// their margin in standard deviations.
constexpr double WaitQuantile = 0.9;
constexpr double MarginStep = 0.05;
constexpr double MaxMargin = 4;

} // namespace

RequestScheduler::RequestScheduler(std::uint64_t Seed, SchedulerRules Rules)
    : m_Rules(Rules), m_Admission(Seed, Rules.m_Admission), m_Budget(Rules.m_BudgetRetries) {}

RequestScheduler::ServiceQueue &RequestScheduler::service(const ServiceId &Service) {
  auto Found = m_Services.find(Service);
  if (Found != m_Services.end())
    return Found->second;
  ServiceQueue &Added = m_Services.emplace(Service, ServiceQueue(m_Rules.m_Queue)).first->second;
  for (const auto &[Account, Weight] : m_Weights)
    Added.m_Queue.setWeight(Account, Weight);
  return Added;
}

void RequestScheduler::setWeight(const ClientAccountId &Account, double Weight) {
  m_Weights[Account] = Weight;
  for (auto &[Service, Queue] : m_Services)
    Queue.m_Queue.setWeight(Account, Weight);
}

void RequestScheduler::onLoad(const ServiceId &Service, const ServiceLoad &Load,
                              std::uint32_t EntryInstances) {
  m_Admission.onLoad(Service, Load, EntryInstances);
  ServiceQueue &PerService = service(Service);
  double Limit = m_Admission.inFlightLimit(Service);
  if (PerService.m_SmoothedLimit <= 0)
    PerService.m_SmoothedLimit = Limit;
  else
    PerService.m_SmoothedLimit += LimitGain * (Limit - PerService.m_SmoothedLimit);
}

Duration RequestScheduler::backlog(const ServiceQueue &PerService, const ServiceId &Service) const {
  double Limit = std::max(m_Admission.inFlightLimit(Service), 1.0);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(PerService.m_Queue.totalWork().count()) / Limit));
}

void RequestScheduler::refuse(const RequestId &Id, const Refusal &Reason,
                              std::vector<SchedulerAction> &Actions) {
  m_Queued.erase(Id);
  Actions.push_back({SchedulerAction::Kind::Refuse, Id, Reason});
}

std::vector<SchedulerAction> RequestScheduler::submit(const RequestDescription &Request,
                                                      TimePoint Now) {
  std::vector<SchedulerAction> Actions;
  if (!StartedOnce.check(!m_Started.count(Request.m_Id) && !m_Queued.count(Request.m_Id),
                         Request.m_Id.str()))
    return Actions;
  ServiceQueue &PerService = service(Request.m_Service);
  const ClassTarget *Target = m_Admission.target(Request.m_Class);
  QueuedRequest Added;
  Added.m_Id = Request.m_Id;
  Added.m_Account = Request.m_Account;
  Added.m_Class = Request.m_Class;
  Added.m_Cost = m_Admission.expectedCost(Request);
  Added.m_Priority = Target ? Target->m_Priority : 0;
  Added.m_NeverLost = Target && Target->m_NeverLost && m_Rules.m_RefuseNeverLostLast;
  AdmissionController::StartWindow Window = m_Admission.startWindow(Request, Now);
  Added.m_LatestStart = Window.m_Latest;
  Added.m_ExpiresAt = Window.m_ExpiresAt;
  Added.m_Arrived = Now;

  double Limit = std::max(m_Admission.inFlightLimit(Request.m_Service), 1.0);
  double InFlight = static_cast<double>(PerService.m_InFlight);
  bool IsBelowShare = PerService.m_Queue.isBelowShare(Request.m_Account);
  bool HasRoom = IsBelowShare ? InFlight < Limit && !PerService.m_Queue.hasBelowShareQueued()
                              : InFlight < Limit - PerService.m_Queue.reservedSlots(Limit) &&
                                    PerService.m_Queue.length() == 0;
  Duration Wait{0};
  bool DelaysOthers = false;
  if (!HasRoom) {
    FairQueue::StartRate Current;
    Current.m_Slots =
        std::max(PerService.m_SmoothedLimit > 0 ? PerService.m_SmoothedLimit : Limit, 1.0);
    Current.m_MeanCost =
        PerService.m_InFlight > 0
            ? PerService.m_CostInFlight / static_cast<Duration::rep>(PerService.m_InFlight)
            : Added.m_Cost;
    // After the limit was reduced, the requests in flight above it have to end first.
    Current.m_Excess = std::max(InFlight - Limit, 0.0);
    Current.m_Margin = PerService.m_Margin;
    Wait = PerService.m_Queue.predictedWait(Added, Current, Now);
    Added.m_PredictedWait = Wait;
    // Never-lost requests may delay others.
    DelaysOthers = !Added.m_NeverLost && PerService.m_Queue.delaysOthers(Added, Current, Now);
  }
  if (auto Refused = m_Admission.assess(Request, Window, Wait, DelaysOthers, Now)) {
    refuse(Request.m_Id, *Refused, Actions);
    return Actions;
  }
  m_Queued.emplace(Request.m_Id, Request);
  FairQueue::PushResult Result = PerService.m_Queue.push(std::move(Added));
  if (Result.m_Evicted)
    refuse(Result.m_Evicted->m_Id,
           m_Admission.refuse(Request.m_Service, ErrorKind::Overloaded,
                              backlog(PerService, Request.m_Service), Now),
           Actions);
  if (!Result.m_Accepted) {
    refuse(Request.m_Id,
           m_Admission.refuse(Request.m_Service, ErrorKind::AccountOverShare,
                              backlog(PerService, Request.m_Service), Now),
           Actions);
    return Actions;
  }
  startQueued(PerService, Request.m_Service, Now, Actions);
  return Actions;
}

void RequestScheduler::refuseExpired(ServiceQueue &PerService, const ServiceId &Service,
                                     TimePoint Now, std::vector<SchedulerAction> &Actions) {
  if (!m_Rules.m_RefuseExpired)
    return;
  for (const QueuedRequest &Expired : PerService.m_Queue.takeExpired(Now)) {
    adjustMargin(PerService, Expired, Now);
    refuse(Expired.m_Id,
           m_Admission.refuse(Service, ErrorKind::TargetNotAttainable, backlog(PerService, Service),
                              Now),
           Actions);
  }
}

void RequestScheduler::adjustMargin(ServiceQueue &PerService, const QueuedRequest &Request,
                                    TimePoint Now) {
  if (Request.m_PredictedWait == Duration(0))
    return;
  bool WasLonger = Now - Request.m_Arrived > Request.m_PredictedWait;
  PerService.m_Margin += MarginStep * (WasLonger ? WaitQuantile : WaitQuantile - 1);
  PerService.m_Margin = std::clamp(PerService.m_Margin, 0.0, MaxMargin);
}

void RequestScheduler::startQueued(ServiceQueue &PerService, const ServiceId &Service,
                                   TimePoint Now, std::vector<SchedulerAction> &Actions) {
  double Limit = std::max(m_Admission.inFlightLimit(Service), 1.0);
  while (static_cast<double>(PerService.m_InFlight) < Limit) {
    bool BelowShareOnly = static_cast<double>(PerService.m_InFlight) >=
                          Limit - PerService.m_Queue.reservedSlots(Limit);
    std::optional<QueuedRequest> Next = PerService.m_Queue.pop(Now, BelowShareOnly);
    if (!Next)
      return;
    adjustMargin(PerService, *Next, Now);
    auto Description = m_Queued.extract(Next->m_Id);
    m_Budget.onFirstAttempt(Next->m_Account);
    ++PerService.m_InFlight;
    // Compared without adding 1 to the limit, which could be rounded down to the count.
    WithinLimit.check(static_cast<double>(PerService.m_InFlight - 1) < Limit);
    PerService.m_CostInFlight += Next->m_Cost;
    m_Started.emplace(Next->m_Id, Started{std::move(Description.mapped()), Next->m_Cost});
    Actions.push_back({SchedulerAction::Kind::Start, Next->m_Id, {}});
  }
}

std::vector<SchedulerAction> RequestScheduler::poll(TimePoint Now) {
  std::vector<SchedulerAction> Actions;
  for (auto &[Service, PerService] : m_Services) {
    refuseExpired(PerService, Service, Now, Actions);
    startQueued(PerService, Service, Now, Actions);
  }
  return Actions;
}

bool RequestScheduler::cancel(const RequestId &Id) {
  auto Found = m_Queued.find(Id);
  if (Found == m_Queued.end())
    return false;
  service(Found->second.m_Service).m_Queue.remove(Id);
  m_Queued.erase(Found);
  return true;
}

void RequestScheduler::finished(const RequestId &Id, std::optional<Duration> FirstToken,
                                std::optional<Duration> Total, TimePoint Now) {
  auto Found = m_Started.find(Id);
  if (!StartedOnce.check(Found != m_Started.end(), Id.str()))
    return;
  if (Total)
    m_Admission.onFinished(Found->second.m_Request, FirstToken, *Total, Now);
  ServiceQueue &PerService = service(Found->second.m_Request.m_Service);
  --PerService.m_InFlight;
  PerService.m_CostInFlight -= Found->second.m_Cost;
  m_Started.erase(Found);
}

bool RequestScheduler::takeRetry(const RequestId &Id) {
  auto Found = m_Started.find(Id);
  return Found != m_Started.end() && m_Budget.takeRetry(Found->second.m_Request.m_Account);
}

std::optional<Duration> RequestScheduler::hedgeAfter(const RequestId &Id) const {
  auto Found = m_Started.find(Id);
  return Found == m_Started.end() ? std::nullopt : m_Admission.hedgeAfter(Found->second.m_Request);
}

bool RequestScheduler::takeHedge(const RequestId &Id) {
  auto Found = m_Started.find(Id);
  if (Found == m_Started.end() || m_Admission.isSaturated(Found->second.m_Request.m_Service))
    return false;
  return m_Budget.takeHedge(Found->second.m_Request.m_Account,
                            Found->second.m_Request.m_NonIdempotent);
}

std::size_t RequestScheduler::queued(const ServiceId &Service) const {
  auto Found = m_Services.find(Service);
  return Found == m_Services.end() ? 0 : Found->second.m_Queue.length();
}

std::size_t RequestScheduler::inFlight(const ServiceId &Service) const {
  auto Found = m_Services.find(Service);
  return Found == m_Services.end() ? 0 : Found->second.m_InFlight;
}

} // namespace fescuegauge
