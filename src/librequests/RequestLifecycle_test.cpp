#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/RequestLifecycle.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

const Digest Version = sha256("version");

/// Upstreams u1 to u3, chosen in order, and a budget of retries.
class FakeRouting : public UpstreamSelector, public RequestEnvironment {
public:
  std::optional<InstanceId> select(const UpstreamQuery &Query, TimePoint) override {
    m_Required = Query.m_RequiredDigest;
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
  GenerationId generationOf(const InstanceId &) const override { return m_Generation; }
  Incarnation incarnationOf(const InstanceId &) const override { return Incarnation(1); }

  std::vector<InstanceId> m_Upstreams{InstanceId("u1"), InstanceId("u2"), InstanceId("u3")};
  GenerationId m_Generation{"old"};
  std::optional<Digest> m_Required;
  int m_InFlight = 0;
  int m_Retries = 10;
};

struct LifecycleFixture {
  LifecycleFixture()
      : m_Lifecycle({InstanceId("entry0"), AttemptSourceId("entry0~1"), {}}, m_Routing, m_Routing,
                    m_Suspects, RandomGenerator(1)) {
    m_Lifecycle.setEpochRow({std::string(ClaimEpochRowKey), "", RowVersion()});
  }
  RequestActions arrive(bool NonIdempotent, const std::string &Id = "r1") {
    RequestDescription Request;
    Request.m_Id = RequestId(Id);
    Request.m_Account = ClientAccountId("a");
    Request.m_Service = ServiceId("s");
    Request.m_NonIdempotent = NonIdempotent;
    Request.m_Key = IdempotencyKey("1-" + Id);
    Request.m_BodyDigest = sha256(Id);
    RequestTerms Terms;
    Terms.m_Deadline = m_Now + 10s;
    Terms.m_Owner.m_Generation = GenerationId("old");
    Terms.m_Resumable = m_Resumable;
    return m_Lifecycle.arrive(Request, Terms, m_Now);
  }
  /// Arrives, is claimed and dispatched.
  AttemptId dispatched(bool NonIdempotent) {
    RequestActions Actions = arrive(NonIdempotent);
    if (NonIdempotent)
      Actions = committed(Actions);
    return get<DispatchAttempt>(Actions).m_Attempt;
  }
  RequestActions committed(const RequestActions &Sent) {
    return m_Lifecycle.claimWriteResult({get<SendClaimWrite>(Sent).m_Write.m_Ticket,
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
  static ClaimState written(const RequestActions &Actions) {
    return ClaimRow::decode(get<SendClaimWrite>(Actions).m_Write.m_Value)->m_State;
  }

  TimePoint m_Now{};
  bool m_Resumable = true;
  FakeRouting m_Routing;
  CrashSuspects m_Suspects;
  RequestLifecycle m_Lifecycle;
};

} // namespace

// Guards against answers made of fragments that came late, twice or in the wrong order.
TEST_CASE("only the next fragment of the current attempt is delivered") {
  LifecycleFixture F;
  AttemptId Attempt = F.dispatched(false);
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

// Guards against an answer that mixes versions or silently lacks its end.
TEST_CASE("a broken stream resumes on the same version or ends visibly broken") {
  for (bool Resumable : {true, false}) {
    LifecycleFixture F;
    F.m_Resumable = Resumable;
    AttemptId First = F.dispatched(false);
    F.fragment(First, 0, "abc");
    // The end says that bytes are missing.
    RequestActions Actions = F.end(First, 6);
    if (!Resumable) {
      CHECK(F.get<FinishRequest>(Actions).m_Outcome == RequestOutcome::Broken);
      continue;
    }
    auto Again = F.get<DispatchAttempt>(Actions);
    CHECK(Again.m_ResumeOffset == 3);
    CHECK(Again.m_RequiredDigest == Version);
    CHECK(F.m_Routing.m_Required == Version);
    Actions = F.fragment(Again.m_Attempt, 3, "xyz", sha256("other version"));
    CHECK_FALSE(F.find<DeliverFragment>(Actions));
    Again = F.get<DispatchAttempt>(Actions);
    F.fragment(Again.m_Attempt, 3, "def");
    CHECK(F.get<FinishRequest>(F.end(Again.m_Attempt, 6)).m_Outcome == RequestOutcome::Complete);
  }
}

// Guards against retries without budget and against "not run" after a possible run.
TEST_CASE("idempotent work is retried within its budget and ends truthfully") {
  for (bool Sent : {true, false}) {
    LifecycleFixture F;
    F.m_Routing.m_Retries = 1;
    AttemptId First = F.dispatched(false);
    RequestActions Actions = Sent ? F.m_Lifecycle.attemptBroken(First, F.m_Now)
                                  : F.m_Lifecycle.attemptNotSent(First, F.m_Now);
    AttemptId Second = F.get<DispatchAttempt>(Actions).m_Attempt;
    Actions = F.m_Lifecycle.attemptRefused({Second, AttemptState::Refused, Incarnation(1)},
                                           ErrorKind::Draining, F.m_Now);
    auto Told = F.get<FinishRequest>(Actions);
    CHECK(Told.m_Outcome == (Sent ? RequestOutcome::Broken : RequestOutcome::NotRun));
    CHECK(Told.m_RetryAfter);
    CHECK(F.m_Routing.m_InFlight == 0);
  }
}

// Guards against a refusal that is taken from an agent that does not know of the earlier attempt.
TEST_CASE("a claimed request is not run only if the same agent process refused it") {
  for (std::uint64_t Agent : {1, 2}) {
    LifecycleFixture F;
    AttemptId Attempt = F.dispatched(true);
    auto Actions = F.m_Lifecycle.attemptRefused(
        {Attempt, AttemptState::Refused, Incarnation(Agent)}, ErrorKind::Draining, F.m_Now);
    CHECK(F.get<FinishRequest>(Actions).m_Outcome ==
          (Agent == 1 ? RequestOutcome::NotRun : RequestOutcome::Unknown));
    CHECK(F.written(Actions) == (Agent == 1 ? ClaimState::NotRun : ClaimState::Unknown));
    CHECK_FALSE(F.find<DispatchAttempt>(Actions));
  }
}

// Guards against an unknown outcome that stays unknown although the agent knows better.
TEST_CASE("an unknown outcome is resolved by what the agent states later") {
  LifecycleFixture F;
  AttemptId Attempt = F.dispatched(true);
  auto Actions = F.m_Lifecycle.upstreamUnreachable(InstanceId("u1"), F.m_Now);
  CHECK(F.get<FinishRequest>(Actions).m_Outcome == RequestOutcome::Unknown);
  CHECK(F.written(Actions) == ClaimState::Unknown);
  F.committed(Actions);
  Actions = F.m_Lifecycle.upstreamConnected(InstanceId("u1"), F.m_Now);
  CHECK(F.get<AskAttempt>(Actions).m_Attempt == Attempt);
  RecordedAnswer Answer{200, "text/plain", "kept", false};
  Actions = F.m_Lifecycle.attemptStatement({Attempt, AttemptState::Completed, Incarnation(1)},
                                           Answer, F.m_Now);
  CHECK(F.written(Actions) == ClaimState::Done);
}

// Guards against callers that are held after their deadline and against the loss of a confirmation
// whose caller left.
TEST_CASE("deadlines and callers that leave end idempotent work, claimed work is recorded") {
  for (bool Leaves : {true, false})
    for (bool NonIdempotent : {true, false}) {
      LifecycleFixture F;
      AttemptId Attempt = F.dispatched(NonIdempotent);
      F.m_Now += 10s;
      auto Actions = Leaves ? F.m_Lifecycle.callerLeft(RequestId("r1"), F.m_Now)
                            : F.m_Lifecycle.onTimer(F.m_Now);
      CHECK(F.get<FinishRequest>(Actions).m_Outcome == (Leaves          ? RequestOutcome::Abandoned
                                                        : NonIdempotent ? RequestOutcome::Unknown
                                                                        : RequestOutcome::Broken));
      CHECK((F.find<CancelAttempt>(Actions) != nullptr) == !NonIdempotent);
      CHECK(F.m_Lifecycle.openCount() == 0);
      if (!NonIdempotent)
        continue;
      CHECK_FALSE(F.find<DeliverFragment>(F.fragment(Attempt, 0, "abc")));
      Actions = F.end(Attempt, 3);
      CHECK_FALSE(F.find<FinishRequest>(Actions));
      CHECK(F.written(Actions) == ClaimState::Done);
    }
}

// Guards against a dispatch to the other generation, whatever routing chooses.
TEST_CASE("claimed work is not dispatched outside its generation") {
  LifecycleFixture F;
  Invariant::setReporter([](std::string_view, std::string_view) {});
  F.m_Routing.m_Generation = GenerationId("new");
  auto Actions = F.committed(F.arrive(true));
  Invariant::setReporter({});
  Invariant::resetCounters();
  CHECK_FALSE(F.find<DispatchAttempt>(Actions));
  CHECK(F.get<FinishRequest>(Actions).m_Outcome == RequestOutcome::NotRun);
  CHECK(F.written(Actions) == ClaimState::NotRun);
  CHECK(F.m_Routing.m_InFlight == 0);
}

// Guards against a request that goes on crashing engines, and against retries that join another
// suspect on one upstream.
TEST_CASE("a request is refused after the second crash and suspects are kept apart") {
  LifecycleFixture F;
  std::vector<SuspectKey> Running{{ClientAccountId("a"), sha256("r1")},
                                  {ClientAccountId("a"), sha256("r2")}};
  AttemptId First = F.get<DispatchAttempt>(F.arrive(false, "r1")).m_Attempt;
  AttemptId Second = F.get<DispatchAttempt>(F.arrive(false, "r2")).m_Attempt;
  std::vector<AttemptStatement> Ended{{First, AttemptState::Failed, Incarnation(1)},
                                      {Second, AttemptState::Failed, Incarnation(1)}};
  auto Actions =
      F.m_Lifecycle.engineCrashed(InstanceId("u1"), Incarnation(1), Running, Ended, F.m_Now);
  REQUIRE(Actions.size() == 2);
  auto Again = std::get<DispatchAttempt>(Actions[0]);
  CHECK(Again.m_Upstream != std::get<DispatchAttempt>(Actions[1]).m_Upstream);
  Ended = {{Again.m_Attempt, AttemptState::Failed, Incarnation(1)}};
  Actions = F.m_Lifecycle.engineCrashed(Again.m_Upstream, Incarnation(1),
                                        std::span(Running).first(1), Ended, F.m_Now);
  CHECK(F.get<FinishRequest>(Actions).m_Error == ErrorKind::RequestCrashesUpstreams);
  CHECK(F.get<FinishRequest>(F.arrive(false, "r1")).m_Outcome == RequestOutcome::Refused);
}
