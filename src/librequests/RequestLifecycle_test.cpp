#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/RequestLifecycle.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

const Digest Version = sha256("version");

/// Selects the first of the upstreams u1 to u3 that is not excluded, and has a retry budget.
class FakeRouting : public UpstreamSelector, public RequestEnvironment {
public:
  std::optional<InstanceId> select(const UpstreamQuery &Query, TimePoint) override {
    m_RequiredDigest = Query.m_RequiredDigest;
    for (const InstanceId &Upstream : m_Upstreams)
      if (std::find(Query.m_Excluded.begin(), Query.m_Excluded.end(), Upstream) ==
          Query.m_Excluded.end()) {
        ++m_InFlight;
        return Upstream;
      }
    return std::nullopt;
  }
  void release(const InstanceId &, const RequestDescription &, bool, TimePoint) override {
    --m_InFlight;
  }
  bool takeRetry(const RequestDescription &, TimePoint) override { return m_Retries-- > 0; }
  bool takeHedge(const RequestDescription &, TimePoint) override { return m_Retries-- > 0; }
  GenerationId generationOf(const InstanceId &) const override { return m_Generation; }
  Incarnation incarnationOf(const InstanceId &) const override { return Incarnation(1); }

  std::vector<InstanceId> m_Upstreams{InstanceId("u1"), InstanceId("u2"), InstanceId("u3")};
  GenerationId m_Generation{"old"};
  std::optional<Digest> m_RequiredDigest;
  int m_InFlight = 0;
  int m_Retries = 10;
};

struct LifecycleFixture {
  LifecycleFixture()
      : m_Lifecycle({InstanceId("entry0"), AttemptSourceId("entry0~1"), {}}, m_Routing, m_Routing,
                    m_Suspects, RandomGenerator(1)) {
    m_Lifecycle.setEpochRow({std::string(ClaimEpochRowKey), "", TablePosition()});
  }
  /// Handles a deadline that passes now, and the checks after it, in which nothing arrives.
  RequestActions expire() {
    RequestActions Actions = m_Lifecycle.onTimer(m_Now);
    for (int Check = 0; Check < ArrivalWatch::MaxQuietChecks; ++Check) {
      m_Now += ArrivalWatch::CheckInterval;
      for (RequestAction &Each : m_Lifecycle.onTimer(m_Now))
        Actions.push_back(std::move(Each));
    }
    return Actions;
  }
  RequestActions arrive(bool NonIdempotent, const std::string &Id = "r1") {
    RequestDescription Request;
    Request.m_Id = RequestId(Id);
    Request.m_Account = ClientAccountId("a");
    Request.m_Service = ServiceId("s");
    Request.m_NonIdempotent = NonIdempotent;
    Request.m_Key = IdempotencyKey("1-" + Id);
    Request.m_BodyDigest = sha256(Id);
    RequestConstraints Constraints;
    Constraints.m_Deadline = m_Now + 10s;
    if (m_StaleAfter)
      Constraints.m_StaleAt = m_Now + *m_StaleAfter;
    Constraints.m_Owner.m_Generation = GenerationId("old");
    Constraints.m_Resumable = m_Resumable;
    return m_Lifecycle.arrive(Request, Constraints, m_Now);
  }
  /// Submits request r1, commits its claim if it is non-idempotent, and returns its attempt.
  AttemptId dispatch(bool NonIdempotent) {
    RequestActions Actions = arrive(NonIdempotent);
    if (NonIdempotent)
      Actions = commitClaim(Actions);
    return get<DispatchAttempt>(Actions).m_Attempt;
  }
  RequestActions commitClaim(const RequestActions &Submitted) {
    return m_Lifecycle.claimWriteResult({get<SendClaimWrite>(Submitted).m_Write.m_Ticket,
                                         ClaimWriteStatus::Committed,
                                         {},
                                         ErrorKind::TableUnreachable},
                                        m_Now);
  }
  RequestActions fragment(const AttemptId &Attempt, std::uint64_t Offset, std::string_view Data,
                          const Digest &Served = Version) {
    return m_Lifecycle.fragment({Attempt, RequestId("r1"), Offset, Data, Served, 200, "text/plain"},
                                m_Now);
  }
  RequestActions end(const AttemptId &Attempt, std::uint64_t Total) {
    return m_Lifecycle.attemptEnded({Attempt, RequestId("r1"), Total, 200, "text/plain"}, m_Now);
  }
  template <typename T> static const T *find(const RequestActions &Actions) {
    for (const RequestAction &Action : Actions)
      if (const auto *Found = std::get_if<T>(&Action))
        return Found;
    return nullptr;
  }
  template <typename T> static T get(const RequestActions &Actions) {
    const T *Found = find<T>(Actions);
    REQUIRE(Found);
    return *Found;
  }
  static ClaimState writtenState(const RequestActions &Actions) {
    return ClaimRow::decode(get<SendClaimWrite>(Actions).m_Write.m_Value)->m_State;
  }

  TimePoint m_Now{};
  std::optional<Duration> m_StaleAfter;
  bool m_Resumable = true;
  FakeRouting m_Routing;
  CrashSuspects m_Suspects;
  RequestLifecycle m_Lifecycle;
};

} // namespace

// Guards against answers assembled from late, duplicate or reordered fragments.
TEST_CASE("only the next fragment of the current attempt is delivered") {
  LifecycleFixture F;
  AttemptId Attempt = F.dispatch(false);
  CHECK(F.get<DeliverFragment>(F.fragment(Attempt, 0, "abc")).m_Data == "abc");
  CHECK(F.fragment(Attempt, 0, "abc").empty());
  CHECK(F.fragment(Attempt, 6, "ghi").empty());
  CHECK(F.fragment(AttemptId("entry0~1.99"), 3, "def").empty());
  CHECK(F.get<DeliverFragment>(F.fragment(Attempt, 3, "def")).m_Offset == 3);
  CHECK(F.get<FinishRequest>(F.end(Attempt, 6)).m_Outcome == RequestOutcome::Complete);
  CHECK(F.fragment(Attempt, 6, "ghi").empty());
  CHECK(F.end(Attempt, 6).empty());
  CHECK(F.m_Lifecycle.counters().m_DuplicateFragments == 1);
  CHECK(F.m_Lifecycle.counters().m_OutOfOrderFragments == 1);
  CHECK(F.m_Lifecycle.counters().m_LateFragments == 3);
  CHECK(F.m_Routing.m_InFlight == 0);
  CHECK(F.m_Lifecycle.isIdle());
}

// Guards against answers with mixed versions and against truncation that the caller cannot detect.
TEST_CASE("an interrupted stream resumes on the same version or ends with an error") {
  for (bool Resumable : {true, false}) {
    LifecycleFixture F;
    F.m_Resumable = Resumable;
    AttemptId First = F.dispatch(false);
    F.fragment(First, 0, "abc");
    // The total length shows that bytes are missing.
    RequestActions Actions = F.end(First, 6);
    if (!Resumable) {
      CHECK(F.get<FinishRequest>(Actions).m_Outcome == RequestOutcome::Broken);
      continue;
    }
    auto Retry = F.get<DispatchAttempt>(Actions);
    CHECK(Retry.m_ResumeOffset == 3);
    CHECK(Retry.m_RequiredDigest == Version);
    CHECK(F.m_Routing.m_RequiredDigest == Version);
    Actions = F.fragment(Retry.m_Attempt, 3, "xyz", sha256("other version"));
    CHECK_FALSE(F.find<DeliverFragment>(Actions));
    Retry = F.get<DispatchAttempt>(Actions);
    F.fragment(Retry.m_Attempt, 3, "def");
    CHECK(F.get<FinishRequest>(F.end(Retry.m_Attempt, 6)).m_Outcome == RequestOutcome::Complete);
  }
}

// Guards against retries beyond the budget and against the outcome "not run" after a possible run.
TEST_CASE("an idempotent request is retried within the budget and gets a correct outcome") {
  for (bool WasSent : {true, false}) {
    LifecycleFixture F;
    F.m_Routing.m_Retries = 1;
    AttemptId First = F.dispatch(false);
    RequestActions Actions = WasSent ? F.m_Lifecycle.attemptFailed(First, F.m_Now)
                                     : F.m_Lifecycle.attemptNotSent(First, F.m_Now);
    AttemptId Second = F.get<DispatchAttempt>(Actions).m_Attempt;
    Actions = F.m_Lifecycle.attemptRefused({Second, AttemptState::Refused, Incarnation(1)},
                                           ErrorKind::Draining, F.m_Now);
    auto Response = F.get<FinishRequest>(Actions);
    CHECK(Response.m_Outcome == (WasSent ? RequestOutcome::Broken : RequestOutcome::NotRun));
    CHECK(Response.m_RetryAfter);
    CHECK(F.m_Routing.m_InFlight == 0);
  }
}

// Guards against accepting a refusal from a later agent process, which has no record of attempts
// that an earlier one ran.
TEST_CASE("a claimed request is not run only if the same agent process refused it") {
  for (std::uint64_t Agent : {1, 2}) {
    LifecycleFixture F;
    AttemptId Attempt = F.dispatch(true);
    auto Actions = F.m_Lifecycle.attemptRefused(
        {Attempt, AttemptState::Refused, Incarnation(Agent)}, ErrorKind::Draining, F.m_Now);
    CHECK(F.get<FinishRequest>(Actions).m_Outcome ==
          (Agent == 1 ? RequestOutcome::NotRun : RequestOutcome::Unknown));
    CHECK(F.writtenState(Actions) == (Agent == 1 ? ClaimState::NotRun : ClaimState::Unknown));
    CHECK_FALSE(F.find<DispatchAttempt>(Actions));
  }
}

// Guards against an outcome that stays unknown although the agent later reports the result.
TEST_CASE("an unknown outcome is resolved by a later statement of the agent") {
  LifecycleFixture F;
  AttemptId Attempt = F.dispatch(true);
  auto Actions = F.m_Lifecycle.upstreamUnreachable(InstanceId("u1"), F.m_Now);
  CHECK(F.get<FinishRequest>(Actions).m_Outcome == RequestOutcome::Unknown);
  CHECK(F.writtenState(Actions) == ClaimState::Unknown);
  F.commitClaim(Actions);
  Actions = F.m_Lifecycle.upstreamConnected(InstanceId("u1"), F.m_Now);
  CHECK(F.get<QueryAttempt>(Actions).m_Attempt == Attempt);
  RecordedAnswer Answer{200, "text/plain", "kept", false};
  Actions = F.m_Lifecycle.attemptStatement({Attempt, AttemptState::Completed, Incarnation(1)},
                                           Answer, F.m_Now);
  CHECK(F.writtenState(Actions) == ClaimState::Done);
}

// Guards against callers that wait beyond their deadline and against losing the result of a claimed
// request whose caller disconnected.
TEST_CASE("deadlines and disconnects cancel idempotent requests; claimed ones are recorded") {
  for (bool IsDisconnected : {true, false})
    for (bool NonIdempotent : {true, false}) {
      LifecycleFixture F;
      AttemptId Attempt = F.dispatch(NonIdempotent);
      F.m_Now += 10s;
      auto Actions =
          IsDisconnected ? F.m_Lifecycle.callerDisconnected(RequestId("r1"), F.m_Now) : F.expire();
      CHECK(F.get<FinishRequest>(Actions).m_Outcome == (IsDisconnected  ? RequestOutcome::Abandoned
                                                        : NonIdempotent ? RequestOutcome::Unknown
                                                                        : RequestOutcome::Broken));
      CHECK((F.find<CancelAttempt>(Actions) != nullptr) == !NonIdempotent);
      CHECK(F.m_Lifecycle.openCount() == 0);
      if (!NonIdempotent)
        continue;
      CHECK_FALSE(F.find<DeliverFragment>(F.fragment(Attempt, 0, "abc")));
      Actions = F.end(Attempt, 3);
      CHECK_FALSE(F.find<FinishRequest>(Actions));
      CHECK(F.writtenState(Actions) == ClaimState::Done);
    }
}

// Guards against a whole answer that is cut at its deadline, or replaced by an error, because the
// deadline is handled before the end of the answer, which has arrived.
TEST_CASE("an answer that has arrived at its deadline is delivered whole") {
  const bool IsBegun = GENERATE(false, true);
  CAPTURE(IsBegun);
  LifecycleFixture F;
  const AttemptId Attempt = F.dispatch(false);
  if (IsBegun)
    F.fragment(Attempt, 0, "abc");
  F.m_Now += 10s;
  RequestActions AtDeadline = F.m_Lifecycle.onTimer(F.m_Now);
  CHECK_FALSE(F.find<FinishRequest>(AtDeadline));
  if (!IsBegun)
    F.fragment(Attempt, 0, "abc");
  RequestActions AtEnd = F.end(Attempt, 3);
  const FinishRequest *Final = F.find<FinishRequest>(AtEnd);
  CHECK((Final && Final->m_Outcome == RequestOutcome::Complete));
}

// Guards against a request that is retried, or stays open, after its deadline.
TEST_CASE("a request whose answer arrives at its deadline ends soon after, without a retry") {
  LifecycleFixture F;
  AttemptId Attempt = F.dispatch(false);
  F.m_Now += 10s;
  const TimePoint Deadline = F.m_Now;
  F.m_Lifecycle.onTimer(F.m_Now);
  SECTION("the upstream fails") {
    RequestActions Actions = F.m_Lifecycle.attemptFailed(Attempt, F.m_Now);
    CHECK_FALSE(F.find<DispatchAttempt>(Actions));
    CHECK(F.get<FinishRequest>(Actions).m_Outcome == RequestOutcome::Broken);
  }
  SECTION("the upstream is silent") {
    CHECK_FALSE(F.find<DispatchAttempt>(F.m_Lifecycle.upstreamSilent(InstanceId("u1"), F.m_Now)));
  }
  SECTION("the first fragment is in hand when the checks end") {
    F.m_Now += ArrivalWatch::CheckInterval;
    F.m_Lifecycle.onTimer(F.m_Now);
    F.m_Now += ArrivalWatch::CheckInterval;
    CHECK(F.find<DeliverFragment>(F.fragment(Attempt, 0, "abc")));
    CHECK(F.get<FinishRequest>(F.end(Attempt, 3)).m_Outcome == RequestOutcome::Complete);
  }
  SECTION("the answer does not end") {
    std::uint64_t Offset = 0;
    while (F.m_Lifecycle.openCount() > 0) {
      F.fragment(Attempt, Offset++, "x");
      F.m_Now += ArrivalWatch::CheckInterval;
      F.m_Lifecycle.onTimer(F.m_Now);
      REQUIRE(F.m_Now <= Deadline + RequestExpiry::MaxTime + ArrivalWatch::CheckInterval);
    }
    CHECK(F.m_Now >= Deadline + RequestExpiry::MaxTime);
  }
}

// Guards against an answer that begins after its caller no longer wants it.
TEST_CASE("a stale answer gets no time beyond its limit") {
  LifecycleFixture F;
  F.m_StaleAfter = 5s;
  const AttemptId Attempt = F.dispatch(false);
  F.m_Now += 5s;
  CHECK(F.find<FinishRequest>(F.m_Lifecycle.onTimer(F.m_Now)));
  CHECK_FALSE(F.find<DeliverFragment>(F.fragment(Attempt, 0, "abc")));
}

// Guards against a dispatch to another generation if the selector returns an upstream of it.
TEST_CASE("a claimed request is not dispatched outside its generation") {
  LifecycleFixture F;
  Invariant::setReporter([](std::string_view, std::string_view) {});
  F.m_Routing.m_Generation = GenerationId("new");
  auto Actions = F.commitClaim(F.arrive(true));
  Invariant::setReporter({});
  Invariant::resetCounters();
  CHECK_FALSE(F.find<DispatchAttempt>(Actions));
  CHECK(F.get<FinishRequest>(Actions).m_Outcome == RequestOutcome::NotRun);
  CHECK(F.writtenState(Actions) == ClaimState::NotRun);
  CHECK(F.m_Routing.m_InFlight == 0);
}

// Guards against a request that keeps crashing engines, and against retrying two suspects on the
// same upstream.
TEST_CASE("a request is refused after the second crash, and suspects use different upstreams") {
  LifecycleFixture F;
  std::vector<SuspectRequest> Running{makeSuspectRequest(ClientAccountId("a"), sha256("r1"), {}),
                                      makeSuspectRequest(ClientAccountId("a"), sha256("r2"), {})};
  AttemptId First = F.get<DispatchAttempt>(F.arrive(false, "r1")).m_Attempt;
  AttemptId Second = F.get<DispatchAttempt>(F.arrive(false, "r2")).m_Attempt;
  std::vector<AttemptStatement> Ended{{First, AttemptState::Failed, Incarnation(1)},
                                      {Second, AttemptState::Failed, Incarnation(1)}};
  auto Actions =
      F.m_Lifecycle.engineCrashed(InstanceId("u1"), Incarnation(1), Running, Ended, F.m_Now);
  REQUIRE(Actions.size() == 2);
  auto Retry = std::get<DispatchAttempt>(Actions[0]);
  CHECK(Retry.m_Upstream != std::get<DispatchAttempt>(Actions[1]).m_Upstream);
  Ended = {{Retry.m_Attempt, AttemptState::Failed, Incarnation(1)}};
  Actions = F.m_Lifecycle.engineCrashed(Retry.m_Upstream, Incarnation(1),
                                        std::span(Running).first(1), Ended, F.m_Now);
  CHECK(F.get<FinishRequest>(Actions).m_Error == ErrorKind::RequestCrashesUpstreams);
  CHECK(F.get<FinishRequest>(F.arrive(false, "r1")).m_Outcome == RequestOutcome::Refused);
}

// Guards against a request that is never recognised because its first fragment, which leaves the
// engine before it crashes, is taken for a sound start.
TEST_CASE("a first fragment does not refute the crashes of its request, a second one does") {
  LifecycleFixture F;
  const std::vector<SuspectRequest> Running{
      makeSuspectRequest(ClientAccountId("a"), sha256("r1"), {})};
  const auto Crash = [&](const std::string &Upstream) {
    F.m_Lifecycle.engineCrashed(InstanceId(Upstream), Incarnation(1), Running, {}, F.m_Now);
    F.m_Now += 1s;
  };
  const AttemptId Attempt = F.dispatch(false);
  Crash("other1");
  F.fragment(Attempt, 0, "abc");
  Crash("other2");
  CHECK(F.m_Suspects.isQuarantined(Running[0], F.m_Now));
  F.fragment(Attempt, 3, "def");
  CHECK_FALSE(F.m_Suspects.isQuarantined(Running[0], F.m_Now));
}

namespace {

/// A stream whose upstream u1 falls silent after its first bytes.
struct SilentUpstream : LifecycleFixture {
  explicit SilentUpstream(int Retries = 1) {
    m_Routing.m_Retries = Retries;
    m_First = dispatch(false);
    fragment(m_First, 0, "abc");
    RequestActions Actions = m_Lifecycle.upstreamSilent(InstanceId("u1"), m_Now);
    if (const auto *Second = find<DispatchAttempt>(Actions)) {
      m_Second = Second->m_Attempt;
      CHECK(Second->m_Upstream == InstanceId("u2"));
      CHECK(Second->m_ResumeOffset == 3);
      CHECK(Second->m_RequiredDigest == Version);
    }
    CHECK_FALSE(find<CancelAttempt>(Actions));
    CHECK_FALSE(find<FinishRequest>(Actions));
  }
  /// The attempt delivers the rest of the answer, which must be the whole one.
  void checkCompletes(const AttemptId &Attempt) {
    CHECK(get<DeliverFragment>(fragment(Attempt, 3, "def")).m_Data == "def");
    CHECK(get<FinishRequest>(end(Attempt, 6)).m_Outcome == RequestOutcome::Complete);
    CHECK(m_Routing.m_InFlight == 0);
    CHECK(m_Lifecycle.runningCount() == 0);
    CHECK(m_Lifecycle.isIdle());
  }

  AttemptId m_First;
  AttemptId m_Second;
};

} // namespace

// Guards against giving up a request on a paused upstream before another one has taken it over.
TEST_CASE("a request stays on its silent upstream whatever happens to its second attempt") {
  SilentUpstream F;
  REQUIRE_FALSE(F.m_Second.empty());
  RequestActions Actions;
  SECTION("the second attempt is refused") {
    Actions = F.m_Lifecycle.attemptRefused({F.m_Second, AttemptState::Refused, Incarnation(1)},
                                           ErrorKind::Overloaded, F.m_Now);
  }
  SECTION("the second attempt is not sent") {
    Actions = F.m_Lifecycle.attemptNotSent(F.m_Second, F.m_Now);
  }
  SECTION("the second attempt fails") {
    Actions = F.m_Lifecycle.attemptFailed(F.m_Second, F.m_Now);
  }
  SECTION("the second upstream is lost") {
    Actions = F.m_Lifecycle.upstreamUnreachable(InstanceId("u2"), F.m_Now);
  }
  SECTION("the second upstream serves another version") {
    Actions = F.fragment(F.m_Second, 3, "xyz", sha256("other"));
    CHECK(F.get<CancelAttempt>(Actions).m_Attempt == F.m_Second);
  }
  SECTION("the second answer ends too early") { Actions = F.end(F.m_Second, 5); }
  CHECK_FALSE(F.find<FinishRequest>(Actions));
  CHECK_FALSE(F.find<DispatchAttempt>(Actions));
  F.checkCompletes(F.m_First);
}

// Guards against giving up a request on a paused upstream when no second attempt is possible.
TEST_CASE("a request stays on its silent upstream without a retry budget or another upstream") {
  const bool HasBudget = GENERATE(false, true);
  SilentUpstream F(0);
  if (HasBudget) {
    F.m_Routing.m_Retries = 1;
    F.m_Routing.m_Upstreams.resize(1);
    CHECK(F.m_Lifecycle.upstreamSilent(InstanceId("u1"), F.m_Now).empty());
  }
  CHECK(F.m_Second.empty());
  F.checkCompletes(F.m_First);
}

// Guards against an answer that mixes two attempts, and against a second attempt that runs on.
TEST_CASE("the attempt that delivers first is kept and the other one is cancelled") {
  SilentUpstream F;
  const bool IsFirstKept = GENERATE(true, false);
  const AttemptId Kept = IsFirstKept ? F.m_First : F.m_Second;
  const AttemptId Other = IsFirstKept ? F.m_Second : F.m_First;
  RequestActions Actions = F.fragment(Kept, 3, "d");
  CHECK(F.get<CancelAttempt>(Actions).m_Attempt == Other);
  CHECK(F.get<DeliverFragment>(Actions).m_Upstream == InstanceId(IsFirstKept ? "u1" : "u2"));
  CHECK(F.fragment(Other, 4, "x").empty());
  CHECK(F.end(Other, 4).empty());
  CHECK(F.fragment(Kept, 4, "ef").size() == 1);
  CHECK(F.get<FinishRequest>(F.end(Kept, 6)).m_Outcome == RequestOutcome::Complete);
  CHECK(F.m_Routing.m_InFlight == 0);
  CHECK(F.m_Lifecycle.isIdle());
}

// Guards against a request that is dispatched again although its second attempt runs, and against
// attempts that outlive their request.
TEST_CASE("two attempts end with their request, and one goes on when the other is lost") {
  SilentUpstream F;
  SECTION("the silent upstream is lost") {
    CHECK(F.m_Lifecycle.upstreamUnreachable(InstanceId("u1"), F.m_Now).empty());
    F.checkCompletes(F.m_Second);
  }
  SECTION("the caller disconnects or the deadline passes") {
    const bool IsDisconnected = GENERATE(true, false);
    F.m_Now += 10s;
    RequestActions Actions =
        IsDisconnected ? F.m_Lifecycle.callerDisconnected(RequestId("r1"), F.m_Now) : F.expire();
    CHECK(std::count_if(Actions.begin(), Actions.end(), [](const RequestAction &Action) {
            return std::holds_alternative<CancelAttempt>(Action);
          }) == 2);
    CHECK(F.find<FinishRequest>(Actions));
    CHECK(F.m_Routing.m_InFlight == 0);
    CHECK(F.m_Lifecycle.isIdle());
  }
}

// Guards against running work twice that may run only once.
TEST_CASE("a non-idempotent request gets no second attempt") {
  LifecycleFixture F;
  AttemptId Attempt = F.dispatch(true);
  CHECK(F.m_Lifecycle.upstreamSilent(InstanceId("u1"), F.m_Now).empty());
  F.fragment(Attempt, 0, "abc");
  CHECK(F.find<FinishRequest>(F.end(Attempt, 3)));
}
