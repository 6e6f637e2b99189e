#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/RequestScheduler.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

const ServiceId Service("asistente");
const TimePoint Start{100s};

QueuedRequest queued(int Number, int Account, bool NeverLost = false, int Priority = 0) {
  QueuedRequest Request;
  Request.m_Id = RequestId("request-" + std::to_string(Number));
  Request.m_Account = ClientAccountId("account-" + std::to_string(Account));
  Request.m_Cost = 500ms;
  Request.m_NeverLost = NeverLost;
  Request.m_Priority = Priority;
  Request.m_LatestStart = Start + 10s;
  Request.m_ExpiresAt = Start + 10s;
  Request.m_Arrived = Start;
  return Request;
}

RequestDescription description(int Number, const char *Class = "quotation") {
  RequestDescription Request;
  Request.m_Id = RequestId("request-" + std::to_string(Number));
  Request.m_Account = ClientAccountId("account");
  Request.m_Service = Service;
  Request.m_Class = WorkClassId(Class);
  Request.m_EstimatedTokens = 100;
  return Request;
}

ClassTarget within(const char *Class, Duration Limit, bool NeverLost = false) {
  ClassTarget Target;
  Target.m_Class = WorkClassId(Class);
  Target.m_AnswerWithin = Limit;
  Target.m_NeverLost = NeverLost;
  return Target;
}

/// A scheduler whose in-flight limit is used up and whose measured service times are 500 ms.
struct Fixture {
  explicit Fixture(SchedulerRules Rules = {}) : m_Scheduler(3, Rules) {
    std::vector<ClassTarget> Targets{within("quotation", 2s), within("confirmation", 1900ms, true)};
    m_Scheduler.setTargets(Targets);
    // Only a few are confirmations, so that their recent rate uses less than one slot.
    for (int I = 0; I < 100; ++I) {
      RequestDescription Request =
          description(m_Next++, I % 10 == 9 ? "confirmation" : "quotation");
      TimePoint Earlier = Start - 25s + 250ms * I;
      m_Scheduler.submit(Request, Earlier);
      m_Scheduler.finished(Request.m_Id, 100ms, 500ms, Earlier);
    }
    ServiceLoad Load;
    Load.m_Upstreams = 1;
    Load.m_Capacity = 4 / AdmissionController::TargetOccupancy;
    Load.m_Reporting = 1;
    m_Scheduler.onLoad(Service, Load, 1);
    for (int I = 0; I < 4; ++I)
      m_Running.push_back(submitted(Start));
  }
  RequestId submitted(TimePoint Now, const char *Class = "quotation") {
    RequestDescription Request = description(m_Next++, Class);
    for (const SchedulerAction &Action : m_Scheduler.submit(Request, Now))
      m_Actions[Action.m_Id] = Action;
    return Request.m_Id;
  }
  bool wasRefused(const RequestId &Id) const {
    auto Found = m_Actions.find(Id);
    return Found != m_Actions.end() && Found->second.m_Kind == SchedulerAction::Kind::Refuse;
  }
  void poll(TimePoint Now) {
    for (const SchedulerAction &Action : m_Scheduler.poll(Now))
      m_Actions[Action.m_Id] = Action;
  }
  RequestScheduler m_Scheduler;
  std::map<RequestId, SchedulerAction> m_Actions;
  std::vector<RequestId> m_Running;
  int m_Next = 0;
};

} // namespace

// Guards against an account that gets more than its share because it sends more requests.
TEST_CASE("accounts get equal shares of starts regardless of their demand") {
  auto LightAccountStarts = [](FairQueueRules Rules) {
    FairQueue Queue(Rules);
    for (int I = 0; I < 400; ++I)
      Queue.push(queued(I, 0));
    for (int I = 400; I < 420; ++I)
      Queue.push(queued(I, 1));
    int LightStarts = 0;
    for (int I = 0; I < 40; ++I)
      LightStarts += Queue.pop(Start)->m_Account == ClientAccountId("account-1");
    return LightStarts;
  };
  CHECK(LightAccountStarts({}) >= 16);
  FairQueueRules OneQueue;
  OneQueue.m_ShareByAccount = false;
  CHECK(LightAccountStarts(OneQueue) < 16);
}

// Guards against a weight that has no effect.
TEST_CASE("an account with twice the weight gets twice the starts") {
  FairQueue Queue;
  Queue.setWeight(ClientAccountId("account-0"), 2);
  for (int I = 0; I < 400; ++I)
    Queue.push(queued(I, I % 2));
  int WeightedStarts = 0;
  for (int I = 0; I < 150; ++I)
    WeightedStarts += Queue.pop(Start)->m_Account == ClientAccountId("account-0");
  CHECK(WeightedStarts >= 95);
  CHECK(WeightedStarts <= 105);
}

// Guards against never-lost work that waits behind other work or starves it.
TEST_CASE("never-lost work has precedence but leaves a share to other work") {
  auto NeverLostStarts = [](FairQueueRules Rules) {
    FairQueue Queue(Rules);
    for (int I = 0; I < 400; ++I)
      Queue.push(queued(I, 0, I >= 200));
    int Count = 0;
    for (int I = 0; I < 100; ++I)
      Count += Queue.pop(Start)->m_NeverLost;
    return Count;
  };
  CHECK(NeverLostStarts({}) >= 68);
  CHECK(NeverLostStarts({}) <= 72);
  FairQueueRules NoTier;
  NoTier.m_UseNeverLostTier = false;
  CHECK(NeverLostStarts(NoTier) < 68);
}

// Guards against queues that grow without bound, and against refusing never-lost work because the
// queue is full.
TEST_CASE("a full queue evicts the request with the lowest priority") {
  auto LongestQueue = [](FairQueueRules Rules) {
    Invariant::setReporter([](std::string_view, std::string_view) {});
    FairQueue Queue(Rules);
    for (int I = 0; I < 4000; ++I)
      Queue.push(queued(I, I % 10));
    Invariant::setReporter({});
    return Queue.length();
  };
  CHECK(LongestQueue({}) == FairQueue::MaxLength);
  FairQueueRules NoBound;
  NoBound.m_BoundLength = false;
  CHECK(LongestQueue(NoBound) > FairQueue::MaxLength);

  FairQueue Queue;
  for (int I = 0; I < 512; ++I)
    CHECK(Queue.push(queued(I, 0, false, I == 100 ? 0 : 1)).m_Accepted);
  CHECK_FALSE(Queue.push(queued(600, 0)).m_Accepted);
  FairQueue::PushResult Result = Queue.push(queued(601, 0, true));
  CHECK(Result.m_Accepted);
  REQUIRE(Result.m_Evicted);
  CHECK(Result.m_Evicted->m_Id == RequestId("request-100"));
  CHECK(Queue.push(queued(602, 1)).m_Accepted);
}

// Guards against requests that are admitted although their target cannot be met.
TEST_CASE("a request is refused if the backlog is longer than its target allows") {
  auto Admitted = [](SchedulerRules Rules) {
    Fixture F(Rules);
    int Count = 0;
    for (int I = 0; I < 100; ++I)
      Count += !F.wasRefused(F.submitted(Start));
    return Count;
  };
  // Four slots with 500 ms per request start about 12 requests within the allowed wait of 1.5 s.
  CHECK(Admitted({}) >= 8);
  CHECK(Admitted({}) <= 14);
  SchedulerRules NoPrediction;
  NoPrediction.m_Admission.m_PredictTarget = false;
  CHECK(Admitted(NoPrediction) == 100);
}

// Guards against ignoring the limit on requests in flight.
TEST_CASE("no more requests are started than the limit on requests in flight allows") {
  auto InFlight = [](SchedulerRules Rules) {
    Fixture F(Rules);
    for (int I = 0; I < 10; ++I)
      F.submitted(Start);
    return F.m_Scheduler.inFlight(Service);
  };
  CHECK(InFlight({}) == 4);
  SchedulerRules NoLimit;
  NoLimit.m_Admission.m_LimitInFlight = false;
  CHECK(InFlight(NoLimit) == 14);
}

// Guards against requests that stay queued although they can no longer be answered in time.
TEST_CASE("a queued request that can no longer meet its target is refused immediately") {
  auto IsRefusedOnExpiry = [](SchedulerRules Rules) {
    Fixture F(Rules);
    RequestId Waiting = F.submitted(Start);
    CHECK_FALSE(F.wasRefused(Waiting));
    F.poll(Start + 1400ms);
    CHECK_FALSE(F.wasRefused(Waiting));
    F.poll(Start + 1600ms);
    return F.wasRefused(Waiting);
  };
  CHECK(IsRefusedOnExpiry({}));
  SchedulerRules KeepExpired;
  KeepExpired.m_RefuseExpired = false;
  CHECK_FALSE(IsRefusedOnExpiry(KeepExpired));
}

// Guards against never-lost work that is refused while other work is admitted.
TEST_CASE("never-lost work is refused last") {
  auto IsRefused = [](SchedulerRules Rules) {
    Fixture F(Rules);
    while (!F.wasRefused(F.submitted(Start)))
      continue;
    return F.wasRefused(F.submitted(Start, "confirmation"));
  };
  CHECK_FALSE(IsRefused({}));
  SchedulerRules NoTier;
  NoTier.m_RefuseNeverLostLast = false;
  CHECK(IsRefused(NoTier));
}

// Guards against callers that retry all at the same time, or too early for the backlog.
TEST_CASE("retry-after times are randomised and grow with the backlog") {
  auto Spread = [](AdmissionRules Rules) {
    AdmissionController Admission(5, Rules);
    std::set<Duration> Times;
    for (int I = 0; I < 200; ++I)
      Times.insert(
          Admission.refuse(Service, ErrorKind::TargetNotAttainable, 4s, Start).m_RetryAfter);
    CHECK(*Times.begin() >= AdmissionController::MinRetryAfter);
    CHECK(*Times.rbegin() <= AdmissionController::MaxRetryAfter);
    return *Times.rbegin() - *Times.begin();
  };
  CHECK(Spread({}) >= 3s);
  AdmissionRules NoSpread;
  NoSpread.m_JitterRetryAfter = false;
  CHECK(Spread(NoSpread) < 3s);
  auto Mean = [](Duration Backlog) {
    AdmissionController Admission(5);
    Duration Total{0};
    for (int I = 0; I < 20; ++I)
      Total += Admission.refuse(Service, ErrorKind::Overloaded, Backlog, Start).m_RetryAfter;
    return Total / 20;
  };
  CHECK(Mean(10s) > Mean(1s));
}

// Guards against a class that is refused permanently because no new sample is measured.
TEST_CASE("an estimate above the target decays while nothing is measured") {
  auto IsAdmittedLater = [](AdmissionRules Rules) {
    AdmissionController Admission(5, Rules);
    std::vector<ClassTarget> Targets{within("quotation", 2s)};
    Admission.setTargets(Targets);
    Admission.onFinished(description(0), 1s, 5s, Start);
    auto IsAdmitted = [&](TimePoint Now) {
      return !Admission.assess(description(1), Admission.startWindow(description(1), Now), 0s,
                               false, Now);
    };
    CHECK_FALSE(IsAdmitted(Start + 20s));
    return IsAdmitted(Start + 40s);
  };
  CHECK(IsAdmittedLater({}));
  AdmissionRules NoDecay;
  NoDecay.m_DecayEstimates = false;
  CHECK_FALSE(IsAdmittedLater(NoDecay));
}

// Guards against more than 1.1 attempts per request, and against hedging requests that must not run
// twice.
TEST_CASE("retries and hedges stay within the budget") {
  auto Attempts = [](bool Enforced) {
    Invariant::setReporter([](std::string_view, std::string_view) {});
    RetryBudget Budget(Enforced);
    for (int I = 0; I < 1000; ++I) {
      Budget.onFirstAttempt(ClientAccountId("a"));
      Budget.takeRetry(ClientAccountId("a"));
      Budget.takeHedge(ClientAccountId("a"), false);
    }
    Invariant::setReporter({});
    return static_cast<double>(Budget.firstAttempts() + Budget.furtherAttempts()) /
           static_cast<double>(Budget.firstAttempts());
  };
  CHECK(Attempts(true) <= 1.1);
  CHECK(Attempts(true) > 1.09);
  CHECK(Attempts(false) > 1.1);
  RetryBudget Budget;
  for (int I = 0; I < 1000; ++I)
    Budget.onFirstAttempt(ClientAccountId("a"));
  CHECK_FALSE(Budget.takeHedge(ClientAccountId("a"), true));
  CHECK(Budget.takeHedge(ClientAccountId("a"), false));
}

// Guards against one account that uses up the retries of all others.
TEST_CASE("an account cannot use up the retries of other accounts") {
  RetryBudget Budget;
  for (int I = 0; I < 1000; ++I)
    Budget.onFirstAttempt(ClientAccountId(I % 100 == 0 ? "greedy" : "other"));
  int RetriesOfOne = 0;
  while (Budget.takeRetry(ClientAccountId("greedy")))
    ++RetriesOfOne;
  CHECK(RetriesOfOne <= 3);
  CHECK(Budget.takeRetry(ClientAccountId("other")));
}

// Guards against limits that ignore the load from other entry instances.
TEST_CASE("the limit on requests in flight follows the load reports") {
  AdmissionController Admission(5);
  ServiceLoad Load;
  Load.m_Upstreams = 10;
  Load.m_Reporting = 10;
  Load.m_Capacity = 100;
  Load.m_Reported = 50;
  Load.m_OwnAtReport = 10;
  Admission.onLoad(Service, Load, 5);
  double TargetLoad = 100 * AdmissionController::TargetOccupancy;
  CHECK(Admission.inFlightLimit(Service) == Approx(10 + (TargetLoad - 50) / 5));
  Load.m_Reported = 200;
  Load.m_OwnAtReport = 40;
  Admission.onLoad(Service, Load, 5);
  CHECK(Admission.inFlightLimit(Service) == Approx(40 * TargetLoad / 200));
}

// Guards against overloading a plain service, which reports no load, and against never sending it
// more than an equal share.
TEST_CASE("without load reports the limit follows the service times") {
  AdmissionController Admission(5);
  ServiceLoad Load;
  Load.m_Upstreams = 2;
  Load.m_Capacity = 100;
  double Share = 100 * AdmissionController::TargetOccupancy / 10;
  auto LimitAfter = [&](Duration ServiceTime) {
    for (int I = 0; I < 200; ++I) {
      Admission.onFinished(description(I), std::nullopt, ServiceTime, Start);
      Load.m_OwnInFlight = static_cast<std::uint32_t>(Admission.inFlightLimit(Service));
      Admission.onLoad(Service, Load, 10);
    }
    return Admission.inFlightLimit(Service);
  };
  double Idle = LimitAfter(50ms);
  CHECK(Idle > 5 * Share);
  CHECK(Idle <= 100);
  CHECK(LimitAfter(500ms) == Approx(Share));
  CHECK(Admission.isSaturated(Service));
}
