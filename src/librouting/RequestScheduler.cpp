#include "Fescuegauge/RequestScheduler.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>

namespace fescuegauge {

namespace {

Invariant StartedOnce("routing.request_started_once");
Invariant WithinLimit("routing.in_flight_within_limit");

/// Weight of a new limit in the smoothed one. About ten limits arrive per second.
constexpr double SmoothGain = 0.1;
/// Fraction of the waiting times that predictions should cover, and the step and the maximum of
/// their margin in standard deviations.
constexpr double CoveredWaits = 0.9;
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
  ServiceQueue &Owner = service(Service);
  double Limit = m_Admission.inFlightLimit(Service);
  if (Owner.m_SmoothLimit <= 0)
    Owner.m_SmoothLimit = Limit;
  else
    Owner.m_SmoothLimit += SmoothGain * (Limit - Owner.m_SmoothLimit);
}

Duration RequestScheduler::backlog(const ServiceQueue &Owner, const ServiceId &Service) const {
  double Limit = std::max(m_Admission.inFlightLimit(Service), 1.0);
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Owner.m_Queue.totalWork().count()) / Limit));
}

void RequestScheduler::refuse(const RequestId &Id, const Refusal &Why,
                              std::vector<SchedulerAction> &Actions) {
  m_Queued.erase(Id);
  Actions.push_back({SchedulerAction::Kind::Refuse, Id, Why});
}

std::vector<SchedulerAction> RequestScheduler::submit(const RequestDescription &Request,
                                                      TimePoint Now) {
  std::vector<SchedulerAction> Actions;
  if (!StartedOnce.check(!m_Started.count(Request.m_Id) && !m_Queued.count(Request.m_Id),
                         Request.m_Id.str()))
    return Actions;
  ServiceQueue &Owner = service(Request.m_Service);
  const ClassTarget *Target = m_Admission.target(Request.m_Class);
  QueuedRequest Added;
  Added.m_Id = Request.m_Id;
  Added.m_Account = Request.m_Account;
  Added.m_Class = Request.m_Class;
  Added.m_Cost = m_Admission.expectedCost(Request);
  Added.m_Priority = Target ? Target->m_Priority : 0;
  Added.m_NeverLost = Target && Target->m_NeverLost && m_Rules.m_NeverLostLast;
  AdmissionController::StartWindow Window = m_Admission.startWindow(Request, Now);
  Added.m_LatestStart = Window.m_Latest;
  Added.m_GiveUpAt = Window.m_GiveUpAt;
  Added.m_Arrived = Now;

  double Limit = std::max(m_Admission.inFlightLimit(Request.m_Service), 1.0);
  double InFlight = static_cast<double>(Owner.m_InFlight);
  bool IsSmall = Owner.m_Queue.isSmall(Request.m_Account);
  bool HasRoom = IsSmall ? InFlight < Limit && !Owner.m_Queue.hasSmallQueued()
                         : InFlight < Limit - Owner.m_Queue.reservedSlots(Limit) &&
                               Owner.m_Queue.length() == 0;
  Duration Wait{0};
  bool DelaysOthers = false;
  if (!HasRoom) {
    FairQueue::Pace Current;
    Current.m_Slots = std::max(Owner.m_SmoothLimit > 0 ? Owner.m_SmoothLimit : Limit, 1.0);
    Current.m_MeanCost = Owner.m_InFlight > 0
                             ? Owner.m_CostInFlight / static_cast<Duration::rep>(Owner.m_InFlight)
                             : Added.m_Cost;
    // After the limit was reduced, the requests in flight above it have to end first.
    Current.m_Excess = std::max(InFlight - Limit, 0.0);
    Current.m_Margin = Owner.m_Margin;
    Wait = Owner.m_Queue.predictedWait(Added, Current, Now);
    Added.m_PredictedWait = Wait;
    // Never-lost requests may delay others.
    DelaysOthers = !Added.m_NeverLost && Owner.m_Queue.delaysOthers(Added, Current, Now);
  }
  if (auto Refused = m_Admission.assess(Request, Window, Wait, DelaysOthers, Now)) {
    refuse(Request.m_Id, *Refused, Actions);
    return Actions;
  }
  m_Queued.emplace(Request.m_Id, Request);
  FairQueue::PushResult Result = Owner.m_Queue.push(std::move(Added));
  if (Result.m_PushedOut)
    refuse(Result.m_PushedOut->m_Id,
           m_Admission.refuse(Request.m_Service, ErrorKind::Overloaded,
                              backlog(Owner, Request.m_Service), Now),
           Actions);
  if (!Result.m_Accepted) {
    refuse(Request.m_Id,
           m_Admission.refuse(Request.m_Service, ErrorKind::AccountOverShare,
                              backlog(Owner, Request.m_Service), Now),
           Actions);
    return Actions;
  }
  startWhatFits(Owner, Request.m_Service, Now, Actions);
  return Actions;
}

void RequestScheduler::refuseLate(ServiceQueue &Owner, const ServiceId &Service, TimePoint Now,
                                  std::vector<SchedulerAction> &Actions) {
  if (!m_Rules.m_AnswerLateAtOnce)
    return;
  for (const QueuedRequest &Late : Owner.m_Queue.takeLate(Now)) {
    learnFromWait(Owner, Late, Now);
    refuse(
        Late.m_Id,
        m_Admission.refuse(Service, ErrorKind::TargetNotAttainable, backlog(Owner, Service), Now),
        Actions);
  }
}

void RequestScheduler::learnFromWait(ServiceQueue &Owner, const QueuedRequest &Request,
                                     TimePoint Now) {
  if (Request.m_PredictedWait == Duration(0))
    return;
  bool WasLonger = Now - Request.m_Arrived > Request.m_PredictedWait;
  Owner.m_Margin += MarginStep * (WasLonger ? CoveredWaits : CoveredWaits - 1);
  Owner.m_Margin = std::clamp(Owner.m_Margin, 0.0, MaxMargin);
}

void RequestScheduler::startWhatFits(ServiceQueue &Owner, const ServiceId &Service, TimePoint Now,
                                     std::vector<SchedulerAction> &Actions) {
  double Limit = std::max(m_Admission.inFlightLimit(Service), 1.0);
  while (static_cast<double>(Owner.m_InFlight) < Limit) {
    bool SmallOnly =
        static_cast<double>(Owner.m_InFlight) >= Limit - Owner.m_Queue.reservedSlots(Limit);
    std::optional<QueuedRequest> Next = Owner.m_Queue.pop(Now, SmallOnly);
    if (!Next)
      return;
    learnFromWait(Owner, *Next, Now);
    auto Description = m_Queued.extract(Next->m_Id);
    m_Budget.onFirstAttempt(Next->m_Account);
    ++Owner.m_InFlight;
    // Compared without adding 1 to the limit, which could be rounded down to the count.
    WithinLimit.check(static_cast<double>(Owner.m_InFlight - 1) < Limit);
    Owner.m_CostInFlight += Next->m_Cost;
    m_Started.emplace(Next->m_Id, Started{std::move(Description.mapped()), Next->m_Cost});
    Actions.push_back({SchedulerAction::Kind::Start, Next->m_Id, {}});
  }
}

std::vector<SchedulerAction> RequestScheduler::poll(TimePoint Now) {
  std::vector<SchedulerAction> Actions;
  for (auto &[Service, Owner] : m_Services) {
    refuseLate(Owner, Service, Now, Actions);
    startWhatFits(Owner, Service, Now, Actions);
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
  ServiceQueue &Owner = service(Found->second.m_Request.m_Service);
  --Owner.m_InFlight;
  Owner.m_CostInFlight -= Found->second.m_Cost;
  m_Started.erase(Found);
}

bool RequestScheduler::mayRetry(const RequestId &Id) {
  auto Found = m_Started.find(Id);
  return Found != m_Started.end() && m_Budget.takeRetry(Found->second.m_Request.m_Account);
}

std::optional<Duration> RequestScheduler::hedgeAfter(const RequestId &Id) const {
  auto Found = m_Started.find(Id);
  return Found == m_Started.end() ? std::nullopt : m_Admission.hedgeAfter(Found->second.m_Request);
}

bool RequestScheduler::mayHedge(const RequestId &Id) {
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
