#include "Fescuegauge/AttemptLedger.h"
#include "Fescuegauge/CrashSuspects.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

const AttemptSourceId Source("entry0~1");
constexpr TimePoint Start{};

AttemptId attempt(std::uint64_t Number) { return AttemptNumber{Source, Number}.id(); }

SuspectRequest suspect(const std::string &Body, const std::string &Account = "a") {
  return makeSuspectRequest(ClientAccountId(Account), sha256(Body), {});
}

} // namespace

// Guards against running an attempt twice, and against running one that was refused or cancelled.
TEST_CASE("an attempt runs once, and never after it was refused or cancelled") {
  AttemptLedger Ledger(Incarnation(1));
  using Verdict = AttemptLedger::Verdict;
  CHECK(Ledger.arrive(attempt(1), {}, Start).m_Verdict == Verdict::Refuse);
  REQUIRE(Ledger.openSource(Source, 1, Start));
  CHECK(Ledger.arrive(attempt(2), {}, Start).m_Verdict == Verdict::Run);
  CHECK(Ledger.start(attempt(2)));
  CHECK(Ledger.arrive(attempt(2), {}, Start).m_Verdict == Verdict::Duplicate);
  CHECK(Ledger.cancel(attempt(2)));
  CHECK_FALSE(Ledger.cancel(attempt(2)));
  CHECK(Ledger.state(attempt(2)).m_State == AttemptState::Cancelled);
  CHECK(Ledger.arrive(attempt(3), ErrorKind::Draining, Start).m_Reason == ErrorKind::Draining);
  CHECK(Ledger.arrive(attempt(3), {}, Start).m_Verdict == Verdict::Refuse);
  // The cancellation is received before the attempt.
  CHECK_FALSE(Ledger.cancel(attempt(4)));
  CHECK(Ledger.arrive(attempt(4), {}, Start).m_Verdict == Verdict::Refuse);
  // The state query is received before the attempt. Its result must remain true.
  CHECK(Ledger.state(attempt(5)).isNotRun());
  CHECK(Ledger.arrive(attempt(5), {}, Start).m_Verdict == Verdict::Refuse);
  // Cancelled after the attempt was accepted, before its first byte was sent.
  CHECK(Ledger.arrive(attempt(6), {}, Start).m_Verdict == Verdict::Run);
  CHECK_FALSE(Ledger.cancel(attempt(6)));
  CHECK_FALSE(Ledger.start(attempt(6)));
  CHECK(Ledger.state(attempt(6)).isNotRun());
  CHECK(Ledger.runningCount() == 0);
}

// Guards against false statements on attempts that were evicted from the ledger.
TEST_CASE("an evicted attempt is never run and never reported as not run") {
  AttemptLedger Ledger(Incarnation(1));
  REQUIRE(Ledger.openSource(Source, 1, Start));
  for (std::uint64_t I = 1; I <= AttemptLedger::MaxPerSource + 10; ++I) {
    REQUIRE(Ledger.arrive(attempt(I), {}, Start).m_Verdict == AttemptLedger::Verdict::Run);
    REQUIRE(Ledger.start(attempt(I)));
    Ledger.end(attempt(I), true);
  }
  CHECK_FALSE(Ledger.state(attempt(5)).m_State);
  CHECK(Ledger.arrive(attempt(5), {}, Start).m_Verdict == AttemptLedger::Verdict::Refuse);
  CHECK(Ledger.state(attempt(AttemptLedger::MaxPerSource)).m_State == AttemptState::Completed);
  CHECK_FALSE(Ledger.state(AttemptId("other~1.4")).m_State);
  CHECK_FALSE(Ledger.state(AttemptId("malformed")).m_State);
}

// Guards against cancelling the attempts of a sound entry instance after a pause of this process,
// in which its heartbeats were not handled.
TEST_CASE("attempts survive a pause of their agent if heartbeats arrived during it") {
  AttemptLedger Ledger(Incarnation(1));
  REQUIRE(Ledger.openSource(Source, 1, Start));
  CHECK(Ledger.arrive(attempt(1), {}, Start).m_Verdict == AttemptLedger::Verdict::Run);
  REQUIRE(Ledger.start(attempt(1)));
  TimePoint Resumed = Start + AttemptLedger::HeartbeatTimeout + 1s;
  Ledger.recordPause(Resumed);
  CHECK(Ledger.onTimer(Resumed).empty());
  Ledger.heartbeat(Source, Resumed);
  CHECK(Ledger.onTimer(Resumed + AttemptLedger::PauseGrace).empty());
  CHECK(Ledger.state(attempt(1)).m_State == AttemptState::Started);
  // Without a heartbeat after the pause, the source is closed.
  Resumed += AttemptLedger::HeartbeatTimeout + 1s;
  Ledger.recordPause(Resumed);
  CHECK(Ledger.onTimer(Resumed + AttemptLedger::PauseGrace) == std::vector{attempt(1)});
}

// Guards against an unbounded number of sources, and against running late copies of attempts from
// an evicted source.
TEST_CASE("closed sources are evicted and their earlier attempts stay refused") {
  AttemptLedger Ledger(Incarnation(1));
  REQUIRE(Ledger.openSource(Source, 1, Start));
  CHECK(Ledger.arrive(attempt(1), {}, Start).m_Verdict == AttemptLedger::Verdict::Run);
  REQUIRE(Ledger.start(attempt(1)));
  CHECK(Ledger.onTimer(Start + AttemptLedger::HeartbeatTimeout) == std::vector{attempt(1)});
  TimePoint Later = Start + 1min;
  for (std::size_t I = 0; I < AttemptLedger::MaxSources; ++I)
    CHECK(Ledger.openSource(AttemptSourceId("e" + std::to_string(I) + "~1"), 1, Later));
  CHECK_FALSE(Ledger.openSource(Source, 2, Later));
  CHECK(Ledger.sourceCount() == AttemptLedger::MaxSources);
  Ledger.onTimer(Later + 1min);
  REQUIRE(Ledger.openSource(Source, 2, Later + 1min));
  CHECK(Ledger.arrive(attempt(1), {}, Later + 1min).m_Verdict == AttemptLedger::Verdict::Refuse);
  CHECK_FALSE(Ledger.state(attempt(1)).m_State);
}

// Guards against running an attempt after a pause of the agent that exceeded the heartbeat timeout,
// by which time the entry has considered the attempt lost.
TEST_CASE("an attempt that arrives after the heartbeat timeout is refused before any timer runs") {
  AttemptLedger Ledger(Incarnation(1));
  REQUIRE(Ledger.openSource(Source, 1, Start));
  auto Decision = Ledger.arrive(attempt(1), {}, Start + AttemptLedger::HeartbeatTimeout);
  CHECK(Decision.m_Verdict == AttemptLedger::Verdict::Refuse);
}

// Guards against quarantining every request that was running on a crashed upstream.
TEST_CASE("only the request that was running at both crashes is quarantined") {
  CrashSuspects Suspects;
  std::vector<SuspectRequest> AtFirstCrash{suspect("poison"), suspect("b"), suspect("c")};
  Suspects.recordCrash({InstanceId("u1"), Incarnation(1)}, AtFirstCrash, Start, Start);
  for (const SuspectRequest &Request : AtFirstCrash)
    CHECK_FALSE(Suspects.isQuarantined(Request, Start));
  std::vector<SuspectRequest> AtSecondCrash{suspect("d"), suspect("poison")};
  Suspects.recordCrash({InstanceId("u2"), Incarnation(1)}, AtSecondCrash, Start, Start);
  CHECK(Suspects.isQuarantined(suspect("poison"), Start));
  CHECK_FALSE(Suspects.isSuspect(suspect("d"), Start));
  CHECK_FALSE(Suspects.isQuarantined(suspect("b"), Start));
  CHECK_FALSE(Suspects.isQuarantined(suspect("poison"), Start + CrashSuspects::Lifetime));
}

// Guards against refusing a harmless request that shared both upstreams with the one that crashed
// them.
TEST_CASE("requests with the same crashes are distinguished by a completion or a third crash") {
  for (bool IsCompleted : {true, false}) {
    CrashSuspects Suspects;
    std::vector<SuspectRequest> Suspected{suspect("innocent"), suspect("poison")};
    Suspects.recordCrash({InstanceId("u1"), Incarnation(1)}, Suspected, Start, Start);
    Suspects.recordCrash({InstanceId("u2"), Incarnation(1)}, Suspected, Start, Start);
    CHECK_FALSE(Suspects.isQuarantined(Suspected[0], Start));
    CHECK_FALSE(Suspects.isQuarantined(Suspected[1], Start));
    if (IsCompleted)
      Suspects.recordBegun(Suspected[0], Start);
    else
      Suspects.recordCrash({InstanceId("u3"), Incarnation(1)}, std::span(&Suspected[1], 1), Start,
                           Start);
    CHECK_FALSE(Suspects.isQuarantined(Suspected[0], Start));
    CHECK(Suspects.isQuarantined(Suspected[1], Start));
  }
}

// Guards against an account that evicts the suspects of other accounts, and against unbounded
// messages between entries.
TEST_CASE("suspects are bounded per account, and deltas quarantine them on other entries") {
  CrashSuspects Suspects;
  SuspectRequest Poison = suspect("poison");
  Suspects.recordCrash({InstanceId("u1"), Incarnation(1)}, std::span(&Poison, 1), Start, Start);
  Suspects.recordCrash({InstanceId("u2"), Incarnation(1)}, std::span(&Poison, 1), Start, Start);
  for (std::uint64_t I = 0; I < 5000; ++I) {
    SuspectRequest Flood = suspect(std::to_string(I), "flood");
    Suspects.recordCrash({InstanceId("u3"), Incarnation(I)}, std::span(&Flood, 1), Start, Start);
  }
  CHECK(Suspects.suspectCount(ClientAccountId("flood")) == CrashSuspects::MaxKeysPerAccount);
  CHECK(Suspects.isQuarantined(Poison, Start));

  CrashSuspects Other;
  Other.merge(Suspects.fullUpdate(Start), Start + 1s);
  CHECK(Other.isQuarantined(Poison, Start + 1s));
  CHECK(Other.isQuarantined(Poison, Start + 1s));
  CHECK(Suspects.takeUpdate(Start).m_Evidence.size() == CrashSuspects::MaxKeysPerUpdate);
  CHECK(Suspects.takeUpdate(Start + CrashSuspects::SpreadTime).m_Evidence.empty());
  Suspects.recordBegun(Poison, Start);
  Other.merge(Suspects.fullUpdate(Start), Start + 1s);
  CHECK_FALSE(Other.isSuspect(Poison, Start + 1s));
  Suspects.onTimer(Start + CrashSuspects::Lifetime);
  CHECK(Suspects.size() == 0);
}
