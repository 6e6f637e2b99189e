#include "FakeDeployment.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Invariant NoNewWorkAfterLeave("membership.no_new_work_after_leave");

constexpr std::size_t DataCentres = 3;
/// Seeds of a run in CI.
constexpr std::uint64_t RandomRuns = 60;

DeclarationEdit edit(std::size_t Index, std::uint64_t Milliseconds) {
  TargetDeclaration Target;
  Target.m_Service = ServiceId("pedidos");
  Target.m_Target.m_Class = WorkClassId("class-" + std::to_string(Index));
  Target.m_Target.m_AnswerWithin = milliseconds(static_cast<long>(Milliseconds));
  return {declarationName(Target), Target};
}

struct Mutant {
  ConfigurationReplica::Rules m_Replica;
  ChangeWriter::Rules m_Writer;
  Membership::Rules m_Membership;
};

std::unique_ptr<FakeDeployment> deployment(std::uint64_t Seed, const Mutant &Rules = {},
                                           std::size_t Entries = 9, std::size_t Agents = 12) {
  auto Result = std::make_unique<FakeDeployment>(Seed);
  Result->m_ReplicaRules = Rules.m_Replica;
  Result->m_WriterRules = Rules.m_Writer;
  Result->m_MembershipRules = Rules.m_Membership;
  Result->add(InstanceRole::Entry, Entries, DataCentres);
  Result->add(InstanceRole::Agent, Agents, DataCentres);
  Result->startAll();
  Result->m_Events.runFor(seconds(4));
  return Result;
}

/// A run with random faults of all kinds, followed by a time without faults in which everything
/// must come to one state. Gives what went wrong, empty if nothing did.
std::vector<std::string> runWithFaults(std::uint64_t Seed, const Mutant &Rules) {
  auto Sim = deployment(Seed, Rules);
  RandomGenerator Random(Seed * 7919);
  auto Below = [&](std::uint64_t Limit) { return uniformBelow(Random, Limit); };
  Sim->m_Corrupt = 0.05;
  std::map<std::size_t, TimePoint> LeftAt;
  std::uint64_t NextChange = 0;
  std::vector<ChangeRequest> Sent;
  auto Process = [&](std::size_t Number) -> FakeDeployment::Process & {
    return Sim->m_Processes[Number];
  };

  for (int Second = 0; Second < 40; ++Second) {
    Sim->m_Loss = 0.3 * uniformUnit(Random);
    Sim->m_Duplicate = 0.2 * uniformUnit(Random);
    Sim->m_ExtraDelay = milliseconds(static_cast<long>(Below(400)));
    Sim->m_Store.m_Faults.m_LostAnswer = chance(Random, 0.3) ? 0.5 : 0;
    Sim->m_Store.m_Faults.m_StaleRead = chance(Random, 0.3) ? 0.8 : 0;
    Sim->m_Store.m_Faults.m_ForgetsWriteIds = chance(Random, 0.5);
    Sim->m_Store.m_Down = chance(Random, 0.1);
    if (chance(Random, 0.15)) {
      std::size_t One = Below(DataCentres);
      Sim->cut(One, (One + 1) % DataCentres);
    }
    if (chance(Random, 0.1))
      Sim->m_CutFromStore.insert(Below(DataCentres));
    if (chance(Random, 0.2)) {
      Sim->m_Cut.clear();
      Sim->m_CutFromStore.clear();
    }
    std::size_t Chosen = Below(Sim->m_Processes.size());
    if (chance(Random, 0.2) && Process(Chosen).m_Alive)
      Sim->kill(Chosen);
    if (chance(Random, 0.2) && Process(Chosen).m_Alive)
      Sim->pause(Chosen, milliseconds(static_cast<long>(500 + Below(4500))));
    if (chance(Random, 0.05))
      for (std::size_t Number = Below(DataCentres); Number < Sim->m_Processes.size();
           Number += DataCentres) {
        if (Process(Number).m_Alive)
          Sim->kill(Number);
        Sim->start(Number, false);
        LeftAt.erase(Number);
      }
    for (std::size_t Number = 0; Number < Sim->m_Processes.size(); ++Number)
      if (!Process(Number).m_Alive && chance(Random, 0.4)) {
        Sim->start(Number, false);
        LeftAt.erase(Number);
      }
    // A leaving agent is taken out only while messages can arrive, since the bound is meant for
    // that.
    std::size_t Agent = 9 + Below(12);
    if (chance(Random, 0.3) && Process(Agent).m_Alive && !LeftAt.contains(Agent) &&
        Process(Agent).m_PausedUntil <= Sim->m_Events.now()) {
      Sim->leave(Agent);
      LeftAt[Agent] = Sim->m_Events.now();
    }
    for (std::uint64_t Operator = Below(3); Operator > 0; --Operator) {
      ChangeRequest Request{
          ChangeId("c" + std::to_string(NextChange++)), "ana", {}, {edit(Below(4), 1 + Below(9))}};
      if (chance(Random, 0.3))
        Request.m_Edits.front().m_Declaration.reset();
      std::size_t Entry = Sim->randomEntry();
      if (chance(Random, 0.3) && Process(Entry).m_Alive)
        Request.m_Base = Process(Entry).m_Replica->configuration().number();
      // The operator's command may send the same change again, through another instance.
      if (!Sent.empty() && chance(Random, 0.3))
        Request = Sent[Below(Sent.size())];
      Sent.push_back(Request);
      Sim->apply(Entry, Request);
    }
    for (int Step = 0; Step < 10; ++Step) {
      Sim->m_Events.runFor(milliseconds(100));
      for (const auto &[Left, When] : LeftAt)
        for (std::size_t Entry = 0; Entry < 9; ++Entry) {
          const auto &At = Process(Entry);
          // The bound is for a leaving agent that runs and an entry instance that runs; one that
          // has just started has its own time to learn.
          if (When + Membership::LeavePropagationBound < Sim->m_Events.now() &&
              Process(Left).m_Alive && At.m_Alive &&
              At.m_DataCentre == Process(Left).m_DataCentre && At.m_PausedUntil <= When &&
              Process(Left).m_PausedUntil <= When &&
              At.m_StartedAt + Membership::LeavePropagationBound < Sim->m_Events.now() &&
              At.m_Membership->find(Process(Left).m_Record->m_Id))
            NoNewWorkAfterLeave.check(!At.m_Membership->isRoutable(Process(Left).m_Record->m_Id),
                                      Process(Left).m_Record->m_Id.str() + " at " +
                                          At.m_Record->m_Id.str());
        }
    }
  }

  Sim->m_Loss = Sim->m_Duplicate = Sim->m_Corrupt = 0;
  Sim->m_ExtraDelay = {};
  Sim->m_Store.m_Faults = {};
  Sim->m_Store.m_Down = false;
  Sim->m_Cut.clear();
  Sim->m_CutFromStore.clear();
  for (std::size_t Number = 0; Number < Sim->m_Processes.size(); ++Number)
    if (!Process(Number).m_Alive) {
      Sim->start(Number, false);
      LeftAt.erase(Number);
    }
  // Pauses of up to 5 s may still last, and writers finish within 10 s.
  Sim->m_Events.runFor(seconds(25));

  std::vector<std::string> Wrong = Sim->m_Violations;
  auto Head = ConfigurationHead::decode(Sim->m_Store.current(ConfigurationHeadKey).m_Value);
  std::map<ChangeId, ChangeNumber> InLog;
  for (std::uint64_t Number = 1; Number <= Head->m_Number.value(); ++Number) {
    auto Made = Change::decode(Sim->m_Store.current(changeKey(ChangeNumber(Number))).m_Value);
    if (!Made) {
      Wrong.push_back("no row of change " + std::to_string(Number));
      continue;
    }
    if (!InLog.emplace(Made->m_Id, Made->m_Number).second)
      Wrong.push_back(Made->m_Id.str() + " was applied twice");
    auto Content = Sim->m_Contents.find(Made->m_Number);
    if (Content != Sim->m_Contents.end() && Content->second != Made->m_ResultDigest)
      Wrong.push_back("change " + std::to_string(Number) + " reverted");
  }
  std::set<ChangeId> Repeated;
  std::set<ChangeId> Once;
  for (const ChangeRequest &Request : Sent)
    if (!Once.insert(Request.m_Id).second)
      Repeated.insert(Request.m_Id);
  for (const auto &[Id, Outcome] : Sim->m_Outcomes) {
    bool Applied = InLog.contains(Id);
    if (Outcome.m_Status == ChangeOutcome::Status::Accepted &&
        (!Applied || InLog[Id] != Outcome.m_Number))
      Wrong.push_back(Id.str() + " was accepted and is not in force");
    if (Outcome.m_Status == ChangeOutcome::Status::Refused && Applied && !Repeated.contains(Id))
      Wrong.push_back(Id.str() + " was refused and took effect");
  }
  for (const auto &At : Sim->m_Processes) {
    if (!At.m_Replica->isReady())
      Wrong.push_back(At.m_Record->m_Id.str() + " is not ready: " + At.m_Replica->notReadyReason());
    else if (At.m_Replica->configuration().number() != Head->m_Number)
      Wrong.push_back(At.m_Record->m_Id.str() + " stays at an older change");
    for (std::size_t Number = 0; Number < Sim->m_Processes.size(); ++Number)
      if (bool Expected = !LeftAt.contains(Number);
          At.m_Membership->isRoutable(Process(Number).m_Record->m_Id) != Expected)
        Wrong.push_back(At.m_Record->m_Id.str() + " has a wrong state of " +
                        Process(Number).m_Record->m_Id.str());
  }
  for (Invariant *Each : Invariant::all())
    if (Each->violations() > 0)
      Wrong.push_back("violated " + std::string(Each->name()));
  return Wrong;
}

/// True when one of the seeds shows that the mutant is wrong.
bool isCaught(const Mutant &Rules, std::uint64_t Seeds = 12) {
  bool Caught = false;
  Invariant::setReporter([](std::string_view, std::string_view) {});
  for (std::uint64_t Seed = 1; Seed <= Seeds && !Caught; ++Seed) {
    Invariant::resetCounters();
    Caught = !runWithFaults(Seed, Rules).empty();
  }
  Invariant::resetCounters();
  Invariant::setReporter({});
  return Caught;
}

} // namespace

TEST_CASE("Faults in combination break no rule", "[random]") {
  std::map<std::string_view, std::uint64_t> Evaluations;
  for (std::uint64_t Seed = 1; Seed <= RandomRuns; ++Seed) {
    Invariant::resetCounters();
    std::vector<std::string> Wrong = runWithFaults(Seed, {});
    std::string Listed;
    for (std::size_t Index = 0; Index < Wrong.size() && Index < 8; ++Index)
      Listed += Wrong[Index] + "; ";
    INFO("seed " << Seed << ": " << Listed);
    CHECK(Wrong.empty());
    for (Invariant *Each : Invariant::all())
      Evaluations[Each->name()] += Each->evaluations();
  }
  for (const char *Name :
       {"targets.change_number_never_decreases", "targets.same_number_same_content",
        "membership.incarnation_never_decreases", "membership.no_revival_of_same_incarnation",
        "membership.no_new_work_after_leave"}) {
    INFO(Name);
    CHECK(Evaluations[Name] > 0);
  }
}

// Each mutant lacks one rule; a run that does not notice would not notice the rule's loss either.
TEST_CASE("The faults show every missing rule", "[random]") {
  Mutant Broken;
  SECTION("an older number is adopted") { Broken.m_Replica.m_RejectOlder = false; }
  SECTION("content is not compared with its digest") { Broken.m_Replica.m_CheckDigest = false; }
  SECTION("offers on heartbeats are ignored") { Broken.m_Replica.m_RepairFromStatus = false; }
  SECTION("a change is written without a condition") { Broken.m_Writer.m_HeadCondition = false; }
  SECTION("a change that was sent before is not recognised") {
    Broken.m_Writer.m_DetectRetriedChange = false;
  }
  SECTION("incarnations are not compared") { Broken.m_Membership.m_CompareIncarnations = false; }
  SECTION("a suspected member cannot refute") { Broken.m_Membership.m_Refute = false; }
  CHECK(isCaught(Broken));
}

namespace {

/// True when every entry instance of a data centre of the design's size has agents that died as
/// dead within 5 s.
bool detectsInTime(const Mutant &Rules) {
  auto Sim = deployment(3, Rules, 255, 60);
  for (std::size_t Agent = 255; Agent < 285; Agent += 3)
    Sim->kill(Agent);
  Sim->m_Events.runFor(seconds(5));
  for (std::size_t Entry = 0; Entry < 255; Entry += 3)
    for (std::size_t Agent = 255; Agent < 285; Agent += 3)
      if (Sim->m_Processes[Entry]
              .m_Membership->find(Sim->m_Processes[Agent].m_Record->m_Id)
              ->m_State != InstanceState::Dead)
        return false;
  return true;
}

struct Declared {
  std::uint64_t m_Suspect = 0;
  std::uint64_t m_Dead = 0;
};

/// Suspicions and deaths that were declared although no process died.
Declared falselyDeclared(const Mutant &Rules) {
  auto Sim = deployment(4, Rules, 15, 30);
  Sim->m_Loss = 0.2;
  for (int Second = 0; Second < 240; ++Second) {
    for (std::size_t Number = 0; Number < Sim->m_Processes.size(); ++Number)
      if (chance(Sim->m_Random, 0.03))
        Sim->pause(Number, seconds(1));
    Sim->m_Events.runFor(seconds(1));
  }
  Declared Result;
  for (const auto &Process : Sim->m_Processes) {
    Result.m_Suspect += Process.m_Membership->declaredSuspect();
    Result.m_Dead += Process.m_Membership->declaredDead();
  }
  return Result;
}

} // namespace

// Guards against requests to dead upstreams for longer than the stated 5 s.
TEST_CASE("Every entry instance learns of a failed process within 5 s") {
  CHECK(detectsInTime({}));
  Mutant Broken;
  Broken.m_Membership.m_GossipUpdates = false;
  CHECK_FALSE(detectsInTime(Broken));
}

// Guards against removing processes that only lost messages or were paused for 1 s.
TEST_CASE("Loss and pauses remove nobody", "[random]") {
  Declared Right = falselyDeclared({});
  CHECK(Right.m_Dead == 0);
  Mutant NoSuspicion;
  NoSuspicion.m_Membership.m_SuspectFirst = false;
  CHECK(falselyDeclared(NoSuspicion).m_Dead > 0);
  Mutant Alone;
  Alone.m_Membership.m_AskOtherWatchers = false;
  CHECK(falselyDeclared(Alone).m_Suspect > 4 * Right.m_Suspect);
}

// Guards against a restarted process that relies on a stale read of the head.
TEST_CASE("A process without peers confirms the head before it is ready") {
  for (bool Confirms : {true, false}) {
    Mutant Rules;
    Rules.m_Replica.m_ConfirmHead = Confirms;
    auto Sim = deployment(5, Rules);
    Sim->apply(0, {ChangeId("a"), "ana", {}, {edit(0, 1)}});
    Sim->m_Events.runFor(seconds(5));
    Sim->apply(0, {ChangeId("b"), "ana", {}, {edit(0, 2)}});
    Sim->m_Events.runFor(milliseconds(50));
    REQUIRE(Sim->m_Accepted.size() == 2);
    Sim->m_Store.m_Faults.m_StaleRead = 1;
    Sim->m_Store.m_Faults.m_MaxStaleness = seconds(60);
    for (std::size_t Number = 0; Number < Sim->m_Processes.size(); ++Number)
      Sim->kill(Number);
    for (std::size_t Number = 1; Number < Sim->m_Processes.size(); ++Number)
      Sim->start(Number, false);
    bool ReadyWithOld = false;
    for (int Step = 0; Step < 100; ++Step) {
      Sim->m_Events.runFor(milliseconds(20));
      for (const auto &Process : Sim->m_Processes)
        ReadyWithOld |= Process.m_Alive && Process.m_Replica->isReady() &&
                        Process.m_Replica->configuration().number() < ChangeNumber(2);
    }
    CHECK(ReadyWithOld == !Confirms);
  }
}

// Guards against a data centre that hears of changes only from other data centres.
TEST_CASE("A data centre that only reaches the table gets changes from it") {
  for (bool Polls : {true, false}) {
    Mutant Rules;
    auto Sim = deployment(6, Rules);
    // Only the first data centre must not poll: elsewhere a start needs the table.
    Sim->m_ReplicaRules.m_PollTable = Polls;
    for (std::size_t Number = 0; Number < Sim->m_Processes.size(); Number += DataCentres) {
      Sim->kill(Number);
      Sim->start(Number, false);
    }
    Sim->m_Events.runFor(seconds(5));
    Sim->cut(0, 1);
    Sim->cut(0, 2);
    Sim->apply(1, {ChangeId("a"), "ana", {}, {edit(0, 1)}});
    Sim->m_Events.runFor(seconds(3));
    CHECK(Sim->behind(ChangeNumber(1)).empty() == Polls);
  }
}

// Guards against being unready, or ready with nothing, while the table is unreachable.
TEST_CASE("A new instance in a cut-off data centre takes what its peers hold") {
  auto Sim = deployment(7);
  Sim->apply(0, {ChangeId("a"), "ana", {}, {edit(0, 1)}});
  Sim->m_Events.runFor(seconds(3));
  Sim->cut(0, 1);
  Sim->cut(0, 2);
  Sim->m_CutFromStore.insert(0);
  Sim->kill(0);
  Sim->start(0, false);
  Sim->m_Events.runFor(seconds(5));
  CHECK(Sim->m_Processes[0].m_Replica->isReady());
  CHECK(Sim->m_Processes[0].m_Replica->configuration().number() == ChangeNumber(1));
  for (std::size_t Number = 0; Number < Sim->m_Processes.size(); Number += DataCentres) {
    Sim->kill(Number);
    Sim->start(Number, false);
  }
  Sim->m_Events.runFor(seconds(10));
  CHECK_FALSE(Sim->m_Processes[0].m_Replica->isReady());
  CHECK_FALSE(Sim->m_Processes[0].m_Replica->notReadyReason().empty());
  Sim->m_CutFromStore.clear();
  Sim->m_Events.runFor(seconds(3));
  CHECK(Sim->behind(ChangeNumber(1)).empty());
}

// Guards against an operator's change that overwrites one the operator never saw.
TEST_CASE("A stale base is refused with who changed what, and applying again is harmless") {
  for (bool Refuses : {true, false}) {
    Mutant Rules;
    Rules.m_Writer.m_RefuseStaleBase = Refuses;
    auto Sim = deployment(8, Rules);
    Sim->apply(0, {ChangeId("a"), "ana", {}, {edit(0, 1)}});
    Sim->m_Events.runFor(seconds(2));
    Sim->apply(1, {ChangeId("b"), "eva", ChangeNumber(0), {edit(0, 2)}});
    Sim->apply(2, {ChangeId("c"), "eva", ChangeNumber(0), {edit(0, 1)}});
    Sim->m_Events.runFor(seconds(2));
    REQUIRE(Sim->m_Outcomes.size() == 3);
    std::map<ChangeId, ChangeOutcome> Outcomes(Sim->m_Outcomes.begin(), Sim->m_Outcomes.end());
    const ChangeOutcome &Stale = Outcomes[ChangeId("b")];
    CHECK((Stale.m_Status == ChangeOutcome::Status::Refused) == Refuses);
    if (!Refuses)
      continue;
    CHECK(Stale.m_Error == ErrorKind::StaleBaseVersion);
    CHECK(Stale.m_Message ==
          "the base is change 0, since then changed: target/pedidos/class-0 (change 1); in force "
          "is change 1 by ana: set target/pedidos/class-0 to "
          R"({"kind":"target","service":"pedidos","class":"class-0","answerWithin":"1ms"})");
    CHECK(Outcomes[ChangeId("c")].m_Status == ChangeOutcome::Status::Unchanged);
  }
}

// Guards against a replica that was away for so long that deletions have been forgotten.
TEST_CASE("A replica behind all tombstones gets a full copy") {
  for (bool FullCopy : {true, false}) {
    ConfigurationReplica::Rules Rules;
    Rules.m_FullCopyAcrossTombstones = FullCopy;
    InstanceId Old("old");
    InstanceId New("new");
    ConfigurationReplica Behind(Old, InstanceRole::Entry, 1, Rules);
    ConfigurationReplica Ahead(New, InstanceRole::Entry, 2, Rules);
    TimePoint Now{};
    Behind.start({}, Now);
    Ahead.start({}, Now);
    Configuration First = Configuration().withEdits(std::vector{edit(0, 1), edit(1, 1)});
    Behind.onAccepted(First, Now);
    Configuration Later = First.withEdits(std::vector{DeclarationEdit{edit(0, 1).m_Name, {}}});
    for (std::uint64_t Step = 0; Step <= Configuration::TombstoneLifetimeChanges; ++Step)
      Later = Later.withEdits(std::vector{edit(1, 2 + Step % 2)});
    Ahead.onAccepted(Later, Now);
    auto Request = Behind.onOffer(New, Ahead.offer(), Now);
    REQUIRE(Request.size() == 1);
    for (const auto &Answer :
         Ahead.onMessage(Old, std::get<ConfigurationReplica::Send>(Request[0]).m_Message, Now))
      Behind.onMessage(New, std::get<ConfigurationReplica::Send>(Answer).m_Message, Now);
    CHECK((Behind.configuration().digest() == Later.digest()) == FullCopy);
    CHECK((Behind.rejectedMessages() > 0) == !FullCopy);
  }
}

// Guards against a status command that waits for ever or hides what lags.
TEST_CASE("The lag report names what lags and what was not reached") {
  auto Sim = deployment(9);
  std::vector<InstanceRecord> Entries;
  for (std::size_t Number = 1; Number < 9; ++Number)
    Entries.push_back(*Sim->m_Processes[Number].m_Record);
  TimePoint Now{};
  LagCollector Collector(Entries, Now);
  CHECK(Collector.start().size() == 8);
  ConfigurationMessage Answer;
  Answer.m_Kind = ConfigurationMessage::Kind::LagAnswer;
  for (std::size_t Number = 1; Number < 8; ++Number) {
    Answer.m_Offer.m_Number = ChangeNumber(Number == 4 ? 6 : 7);
    Answer.m_Lagging.clear();
    if (Number == 2)
      Answer.m_Lagging = {InstanceId("caribe-agent-11")};
    auto Read = ConfigurationMessage::decode(Answer.encode());
    REQUIRE(Read);
    Collector.onAnswer(Entries[Number - 1].m_Id, *Read);
  }
  CHECK_FALSE(Collector.isDone(Now));
  CHECK(Collector.isDone(Now + LagCollector::CollectionTimeout));
  auto Report = Collector.report();
  REQUIRE(Report.size() == 3);
  CHECK(Report[0].m_Lagging == std::vector{InstanceId("caribe-agent-11")});
  CHECK(Report[0].m_NotReached == std::vector{InstanceId("caribe-entry-8")});
  CHECK(Report[2].m_Lagging == std::vector{InstanceId("guanacaste-entry-4")});
  CHECK(Report[1].m_InForce == ChangeNumber(7));
}
