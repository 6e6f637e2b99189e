#include "RolloutDriver.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace fescuegauge::driver;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

/// Suppresses reports of violations that a test causes deliberately, and counts them.
class QuietInvariants {
public:
  QuietInvariants() {
    Invariant::resetCounters();
    Invariant::setReporter([this](std::string_view, std::string_view) { ++m_Count; });
  }
  ~QuietInvariants() {
    Invariant::setReporter({});
    Invariant::resetCounters();
  }
  std::uint64_t count() const { return m_Count; }

private:
  std::uint64_t m_Count = 0;
};

Manifest manifestOf(const std::vector<std::string> &Names, Bytes Size = 1_MiB) {
  std::vector<ChunkRef> Chunks;
  for (const std::string &Name : Names)
    Chunks.push_back({sha256(Name), Size});
  return Manifest(Chunks);
}

InstanceRecord agentRecord(const std::string &Id, const Digest &Served = Digest(),
                           const std::string &DataCentre = "dc") {
  InstanceRecord Record;
  Record.m_Id = InstanceId(Id);
  Record.m_State = InstanceState::Live;
  Record.m_DataCentre = DataCentreId(DataCentre);
  Record.m_Region = RegionId("region");
  Record.m_Service = ServiceId("service");
  Record.m_ServedDigest = Served;
  Record.m_Capacity = 1;
  return Record;
}

/// Runs the budget's table operations against `Table` until it is idle.
Bytes runUntilIdle(OriginBudget &Budget, FakeTable &Table, TimePoint &Now) {
  Bytes Granted;
  for (int I = 0; I < 100 && Budget.isPending(); ++I, Now += 1s)
    if (std::optional<TableAction> Next = Budget.poll(Now)) {
      if (auto *Sent = std::get_if<Transaction>(&*Next))
        Granted += Budget.onCommit(Table.transact(*Sent), Now);
      else
        Granted += Budget.onRead(Table.row(std::get<ReadRow>(*Next).m_Key), Now);
    }
  return Granted;
}

/// Total size granted to 40 processes that each request a whole copy several times.
Bytes grantedToMany(OriginBudget::Rules Rules, Bytes Size) {
  FakeTable Table;
  Bytes Total;
  TimePoint Now = Start;
  for (int I = 0; I < 40; ++I) {
    OriginBudget Budget(RolloutId("r"), Size, "p" + std::to_string(I), Rules);
    for (int K = 0; K < 3; ++K) {
      Budget.request(Size, 1_MiB, Now);
      Total += runUntilIdle(Budget, Table, Now);
    }
  }
  return Total;
}

/// Advances an Activator to its next command of kind `Kind`, answering the commands before it like
/// an engine that serves `Served`.
std::optional<ActivationCommand> advanceTo(Activator &Policy, ActivationCommand::Kind Kind,
                                           const ServedReport &Served, TimePoint &Now,
                                           bool Drained = true) {
  using CommandKind = ActivationCommand::Kind;
  for (int I = 0; I < 40; ++I, Now += 100ms) {
    std::optional<ActivationCommand> Command = Policy.poll(Now);
    Policy.setDrained(Drained);
    if (!Command)
      continue;
    if (Command->m_Kind == Kind)
      return Command;
    switch (Command->m_Kind) {
    case CommandKind::ConfirmConfiguration:
      Policy.onConfirmed(Command->m_Number, Confirmation{Policy.targetChange(), false}, Now);
      break;
    case CommandKind::VerifyStaging:
      Policy.onStagingRoot(Command->m_Number, Command->m_Root, Now);
      break;
    case CommandKind::ReadServed:
      Policy.onServed(Command->m_Number, Served, Now);
      break;
    case CommandKind::Load:
      return std::nullopt;
    }
  }
  return std::nullopt;
}

Activator readyToLoad(const Digest &Live, const Digest &Target, Activator::Rules Rules = {}) {
  Activator Policy(Live, Rules);
  Policy.setTarget(Target, ChangeNumber(2));
  Policy.setStaged(true);
  Policy.setMayReplace(true);
  Policy.setDrained(true);
  return Policy;
}

/// Number of fetches that the planner of "a" starts from "b" in 30 s when each chunk arrives
/// corrupted.
std::size_t fetchesFromBadPeer(TransferPlanner::Rules Rules) {
  QuietInvariants Quiet;
  std::vector<std::string> Names;
  for (int I = 0; I < 40; ++I)
    Names.push_back(std::to_string(I));
  const Manifest Wanted = manifestOf(Names);
  TransferPlanner Planner(agentRecord("a"), RegionId("region"), 1, Rules);
  const std::vector<InstanceRecord> View{agentRecord("a"), agentRecord("b")};
  Planner.setView(View, Start);
  Planner.setOrder({Wanted, ChangeNumber(1), RolloutId("r"), TransferPreference::Time}, {}, Start);
  ChunkSummary Summary;
  Summary.m_Root = Wanted.rootDigest();
  for (std::uint32_t I = 0; I < 40; ++I)
    Summary.m_Indices.push_back(I);
  Planner.onSummary(InstanceId("b"), Summary, Start);
  std::size_t Fetches = 0;
  for (TimePoint Now = Start; Now < Start + 30s; Now += 500ms)
    for (const TransferAction &Action : Planner.poll(Now))
      if (const auto *Fetch = std::get_if<StartFetch>(&Action)) {
        ++Fetches;
        Planner.onReceived(Fetch->m_Id, sha256("garbage"), Now);
      }
  return Fetches;
}

} // namespace

// Guards against a manifest that is altered or misread in transit between processes.
TEST_CASE("a manifest is parsed as encoded and rejected when altered") {
  std::vector<std::uint8_t> Data(2500, 7);
  const Manifest Original = Manifest::ofData(Data, Bytes(1000));
  CHECK(Original.chunks().size() == 3);
  CHECK(Original.totalSize() == Bytes(2500));
  const std::string Text = Original.encode();
  std::optional<Manifest> Read = Manifest::parse(Text);
  REQUIRE(Read);
  CHECK(Read->rootDigest() == Original.rootDigest());
  CHECK(Read->chunks() == Original.chunks());

  std::string Error;
  CHECK_FALSE(Manifest::parse(Text.substr(0, Text.size() - 1), &Error));
  CHECK(Error == "manifest line 5: the last line is incomplete");
  std::string Altered = Text;
  Altered.replace(Altered.rfind(" 500"), 4, " 501");
  CHECK_FALSE(Manifest::parse(Altered, &Error));
  CHECK(Error == "manifest line 2: the chunks do not hash to the root digest");
  CHECK_FALSE(Manifest::parse("something else\n", &Error));
}

// Guards against transferring chunks that are already held as part of another version.
TEST_CASE("only chunks that are not held are missing, each once") {
  const Manifest Version = manifestOf({"a", "b", "a", "c"});
  CHECK(Version.missing({}) == std::vector<std::uint32_t>{0, 1, 3});
  CHECK(Version.missing({sha256("b")}) == std::vector<std::uint32_t>{0, 3});
  CHECK(Version.missingSize({sha256("a")}) == 2_MiB);
}

// Guards against more than four copies leaving the origin, and against rules without effect.
TEST_CASE("grants never exceed four copies") {
  QuietInvariants Quiet;
  const Bytes Size = 64_MiB;
  CHECK(grantedToMany({}, Size) <= Bytes(Size.count() * 4));
  CHECK(grantedToMany({}, Size) > Bytes(Size.count() * 3));
  OriginBudget::Rules Unchecked;
  Unchecked.m_CheckBudget = false;
  CHECK(grantedToMany(Unchecked, Size) > Bytes(Size.count() * 4));
}

// Guards against using a grant whose write may not have taken effect, and against losing a grant
// that can be read back.
TEST_CASE("a lost response is resolved by read-back, by repetition, or counts as spent") {
  FakeTable Table;
  TimePoint Now = Start;
  OriginBudget Budget(RolloutId("r"), 8_MiB, "p");
  auto SendWrite = [&](bool TakesEffect) {
    Budget.request(4_MiB, 1_MiB, Now);
    CHECK(std::holds_alternative<ReadRow>(*Budget.poll(Now)));
    Budget.onRead(Table.row(Budget.rowKey()), Now);
    auto Sent = std::get<Transaction>(*Budget.poll(Now));
    if (TakesEffect)
      Table.transact(Sent);
    CHECK(Budget.onCommit({CommitStatus::Unknown, {}}, Now) == Bytes());
    CHECK_FALSE(Budget.poll(Now));
    Now += OriginBudget::RetryInterval;
    return Sent;
  };
  SECTION("read back") {
    SendWrite(true);
    CHECK(std::holds_alternative<ReadRow>(*Budget.poll(Now)));
    CHECK(Budget.onRead(Table.row(Budget.rowKey()), Now) == 4_MiB);
  }
  SECTION("a stale read proves nothing; the repeated write does") {
    Transaction Sent = SendWrite(true);
    Budget.poll(Now);
    CHECK(Budget.onRead(Table.staleRow(Budget.rowKey()), Now) == Bytes());
    Now += OriginBudget::RetryInterval;
    auto Again = std::get<Transaction>(*Budget.poll(Now));
    CHECK(Again.m_WriteId == Sent.m_WriteId);
    CHECK(Budget.onCommit(Table.transact(Again), Now) == 4_MiB);
    CHECK(GrantRow::parse(Table.row(Budget.rowKey()).m_Value)->m_Granted == 4_MiB);
  }
  SECTION("given up") {
    SendWrite(false);
    for (int I = 0; I < 100 && Budget.isPending(); ++I, Now += 1s)
      if (auto Next = Budget.poll(Now)) {
        if (std::holds_alternative<ReadRow>(*Next))
          CHECK(Budget.onRead(std::nullopt, Now) == Bytes());
        else
          CHECK(Budget.onCommit({CommitStatus::Unknown, {}}, Now) == Bytes());
      }
    CHECK_FALSE(Budget.isPending());
  }
}

// Guards against a write id shared by two rollouts: the table would answer the grant of the second
// one with the outcome of the first.
TEST_CASE("write ids of two rollouts differ") {
  TimePoint Now = Start;
  FakeTable Table;
  for (const char *Name : {"r1", "r2"}) {
    OriginBudget Budget(RolloutId(Name), 8_MiB, "p");
    Budget.request(4_MiB, 1_MiB, Now);
    CHECK(runUntilIdle(Budget, Table, Now) == 4_MiB);
    CHECK(GrantRow::parse(Table.row(Budget.rowKey()).m_Value)->m_Granted == 4_MiB);
  }
}

// Guards against evicting chunks of the served or transferred version, and against rules without
// effect.
TEST_CASE("staging evicts the oldest unused version and keeps its bound") {
  QuietInvariants Quiet;
  const Manifest Old = manifestOf({"o1", "o2"});
  const Manifest Served = manifestOf({"s1", "s2"});
  const Manifest Next = manifestOf({"s1", "n1", "n2"});
  auto Fill = [&](StagingPolicy::Rules Rules, Bytes Capacity) {
    StagingPolicy Staging(Capacity, Rules);
    for (const Manifest &Version : {Old, Served}) {
      REQUIRE(Staging.beginTransfer(Version));
      for (const ChunkRef &Chunk : Version.chunks())
        REQUIRE(Staging.addChunk(Chunk));
      Staging.setServed(Version);
    }
    return Staging;
  };
  StagingPolicy Staging = Fill({}, 5_MiB);
  std::optional<std::vector<Digest>> Evicted = Staging.beginTransfer(Next);
  REQUIRE(Evicted);
  CHECK(Evicted->size() == 1);
  CHECK((Evicted->front() == sha256("o1") || Evicted->front() == sha256("o2")));
  CHECK_FALSE(Staging.addChunk({sha256("unrelated"), 1_MiB}));

  // Not enough room beside the served version.
  StagingPolicy Small = Fill({}, 4_MiB);
  CHECK_FALSE(Small.beginTransfer(manifestOf({"x1", "x2", "x3"})));
  StagingPolicy::Rules Unchecked;
  Unchecked.m_CheckCapacity = false;
  StagingPolicy Overfull = Fill(Unchecked, 4_MiB);
  const Manifest Large = manifestOf({"x1", "x2", "x3"});
  REQUIRE(Overfull.beginTransfer(Large));
  for (const ChunkRef &Chunk : Large.chunks())
    Overfull.addChunk(Chunk);
  CHECK(Overfull.usedSize() > Overfull.capacity());
  CHECK(Quiet.count() == 1);

  // Chunks of the wanted version that remained from before a restart are not evicted.
  auto EvictsWanted = [&](StagingPolicy::Rules Rules) {
    StagingPolicy Restarted(4_MiB, Rules);
    for (const char *Name : {"n1", "n2", "z1", "z2"})
      Restarted.restoreChunk({sha256(Name), 1_MiB});
    auto Gone = Restarted.beginTransfer(Next);
    return !Gone || std::any_of(Gone->begin(), Gone->end(), [](const Digest &Chunk) {
      return Chunk == sha256("n1") || Chunk == sha256("n2");
    });
  };
  CHECK_FALSE(EvictsWanted({}));
  StagingPolicy::Rules Unprotected;
  Unprotected.m_ProtectTransferred = false;
  CHECK(EvictsWanted(Unprotected));
}

// Guards against a load that skips a step, and against routing before the engine reports the target
// digest.
TEST_CASE("activation drains, verifies, reads back, loads, reads back and routes") {
  using Kind = ActivationCommand::Kind;
  const Digest Old = sha256("old");
  const Digest New = sha256("new");
  TimePoint Now = Start;
  Activator Policy(Old);
  Policy.setTarget(New, ChangeNumber(2));
  const ServedReport ServesOld{Old, FencingToken(1)};
  CHECK_FALSE(advanceTo(Policy, Kind::Load, ServesOld, Now, false));
  CHECK(Policy.routableRoot() == Old);
  Policy.setStaged(true);
  Policy.setMayReplace(true);
  CHECK_FALSE(advanceTo(Policy, Kind::Load, ServesOld, Now, false));
  CHECK(Policy.routableRoot().isZero());
  std::optional<ActivationCommand> Load = advanceTo(Policy, Kind::Load, ServesOld, Now);
  REQUIRE(Load);
  CHECK(Load->m_Root == New);
  CHECK(Load->m_Token == FencingToken(2));
  CHECK_FALSE(Policy.poll(Now));
  Policy.onLoadResult(Load->m_Number, LoadResult::Loaded, Now);
  CHECK_FALSE(Policy.isConverged());
  advanceTo(Policy, Kind::Load, {New, FencingToken(2)}, Now);
  CHECK(Policy.isConverged());
  CHECK_FALSE(Policy.setTarget(Old, ChangeNumber(1)));

  // Another process loads the old version again: no routing until the target is loaded again.
  advanceTo(Policy, Kind::Load, {Old, FencingToken()}, Now);
  CHECK(Policy.routableRoot().isZero());
}

// Guards against a newer change that interrupts a load, and against serving the replaced version.
TEST_CASE("a version that was replaced while it loaded never becomes routable") {
  using Kind = ActivationCommand::Kind;
  const Digest Old = sha256("old");
  const Digest Replaced = sha256("replaced");
  TimePoint Now = Start;
  Activator Policy = readyToLoad(Old, Replaced);
  std::optional<ActivationCommand> Load = advanceTo(Policy, Kind::Load, {Old, FencingToken()}, Now);
  REQUIRE(Load);
  Policy.setTarget(sha256("newest"), ChangeNumber(3));
  Policy.setStaged(true);
  CHECK_FALSE(Policy.poll(Now));
  Policy.onLoadResult(Load->m_Number, LoadResult::Loaded, Now);
  Load = advanceTo(Policy, Kind::Load, {Replaced, FencingToken()}, Now);
  CHECK(Policy.routableRoot().isZero());
  REQUIRE(Load);
  CHECK(Load->m_Token == FencingToken(3));
}

// Guards against a process that is paused and resumes in the middle of a load, on engines that
// ignore the fencing token.
TEST_CASE("after a pause nothing is loaded before the configuration is confirmed") {
  using Kind = ActivationCommand::Kind;
  const Digest Old = sha256("old");
  TimePoint Now = Start;
  auto UntilLoad = [&](Activator::Rules Rules) {
    Activator Policy = readyToLoad(Old, sha256("new"), Rules);
    return advanceTo(Policy, Kind::Load, {Old, FencingToken()}, Now);
  };
  SECTION("a command expires with the read-back that allowed it") {
    CHECK(UntilLoad({})->m_SendBefore <= Now + Activator::ReadValidity);
    Activator::Rules Rules;
    Rules.m_ExpireCommands = false;
    CHECK(UntilLoad(Rules)->m_SendBefore == TimePoint::max());
  }
  SECTION("an unsent command leads to a confirmation that stops a superseded process") {
    Activator Policy = readyToLoad(Old, sha256("new"));
    auto Load = advanceTo(Policy, Kind::Load, {Old, FencingToken()}, Now);
    REQUIRE(Load);
    Now += 20s;
    Policy.onNotSent(Load->m_Number, Now);
    auto Confirm = advanceTo(Policy, Kind::ConfirmConfiguration, {Old, FencingToken()}, Now);
    REQUIRE(Confirm);
    Policy.onConfirmed(Confirm->m_Number, Confirmation{ChangeNumber(2), true}, Now);
    CHECK_FALSE(advanceTo(Policy, Kind::ReadServed, {Old, FencingToken()}, Now));
    CHECK(Policy.isSuperseded());
    Activator::Rules Rules;
    Rules.m_StopWhenSuperseded = false;
    Activator Mutant = readyToLoad(Old, sha256("new"), Rules);
    Confirm = advanceTo(Mutant, Kind::ConfirmConfiguration, {Old, FencingToken()}, Now);
    Mutant.onConfirmed(Confirm->m_Number, Confirmation{ChangeNumber(2), true}, Now);
    CHECK(advanceTo(Mutant, Kind::Load, {Old, FencingToken()}, Now));
  }
  SECTION("a pause between two steps is detected") {
    // Whether the policy requests a confirmation before the load after it was paused during the
    // verification of staging.
    auto ConfirmsAgain = [&](Activator::Rules Rules) {
      Activator Policy = readyToLoad(Old, sha256("new"), Rules);
      auto Verify = advanceTo(Policy, Kind::VerifyStaging, {Old, FencingToken()}, Now);
      Now += Activator::PauseLimit + 1s;
      Policy.poll(Now);
      Policy.setDrained(true);
      Policy.onStagingRoot(Verify->m_Number, sha256("new"), Now);
      return advanceTo(Policy, Kind::ConfirmConfiguration, {Old, FencingToken()}, Now).has_value();
    };
    CHECK(ConfirmsAgain({}));
    Activator::Rules Rules;
    Rules.m_ConfirmAfterPause = false;
    CHECK_FALSE(ConfirmsAgain(Rules));
  }
  SECTION("a newer version found on the engine is not replaced by an older one") {
    // Whether the policy loads change 2 although another process loaded a newer change after the
    // configuration had been confirmed.
    auto LoadsOverNewer = [&](Activator::Rules Rules) {
      Activator Policy = readyToLoad(Old, sha256("new"), Rules);
      auto Verify = advanceTo(Policy, Kind::VerifyStaging, {Old, FencingToken()}, Now);
      Policy.onStagingRoot(Verify->m_Number, sha256("new"), Now);
      Now += 1500ms;
      for (int I = 0; I < 40; ++I, Now += 100ms)
        if (auto Command = Policy.poll(Now)) {
          if (Command->m_Kind == Kind::Load)
            return true;
          if (Command->m_Kind == Kind::ReadServed)
            Policy.onServed(Command->m_Number, ServedReport{sha256("newer"), {}}, Now);
          else if (Command->m_Kind == Kind::ConfirmConfiguration)
            Policy.onConfirmed(Command->m_Number, Confirmation{ChangeNumber(3), false}, Now);
        }
      return false;
    };
    CHECK_FALSE(LoadsOverNewer({}));
    Activator::Rules Rules;
    Rules.m_ReadBackBeforeLoad = false;
    CHECK(LoadsOverNewer(Rules));
  }
}

// Guards against an upstream that never serves again after its engine restarted, because a later
// change of another declaration was taken for one that the process does not know.
TEST_CASE("a change of another declaration does not prevent a load") {
  using Kind = ActivationCommand::Kind;
  const Digest Target = sha256("target");
  TimePoint Now = Start;
  // Whether the policy loads change 2 after the entry instances have confirmed change 3.
  auto Loads = [&](ChangeNumber Configuration) {
    Activator Policy = readyToLoad(Digest(), Target);
    Policy.setConfiguration(Configuration);
    const auto Confirm = advanceTo(Policy, Kind::ConfirmConfiguration, {}, Now);
    REQUIRE(Confirm);
    Policy.onConfirmed(Confirm->m_Number, Confirmation{ChangeNumber(3), false}, Now);
    return advanceTo(Policy, Kind::Load, {}, Now).has_value();
  };
  CHECK(Loads(ChangeNumber(3)));
  CHECK(Loads(ChangeNumber(4)));
  CHECK_FALSE(Loads(ChangeNumber(2)));
}

namespace {

/// Returns the number of the listing that a poll requests, if it requests one. Answers a read-back
/// like an engine that serves `Served`.
std::optional<std::uint64_t> requestedListing(RolloutAgent &Agent, const Digest &Served,
                                              TimePoint Now) {
  std::optional<std::uint64_t> Result;
  for (const AgentAction &Action : Agent.poll(Now)) {
    if (const auto *Listing = std::get_if<ListStaging>(&Action))
      Result = Listing->m_Number;
    const auto *Command = std::get_if<ActivationCommand>(&Action);
    if (Command && Command->m_Kind == ActivationCommand::Kind::ReadServed)
      Agent.activator().onServed(Command->m_Number, ServedReport{Served, {}}, Now);
  }
  return Result;
}

} // namespace

// Guards against an upstream that serves nothing for ten minutes, because its engine was down when
// the agent listed its staging area.
TEST_CASE("a failed listing of the staging area is repeated") {
  RolloutAgentSettings Settings;
  Settings.m_Self = agentRecord("a");
  RolloutAgent Agent(Settings);
  const auto First = requestedListing(Agent, Digest(), Start);
  REQUIRE(First);
  CHECK_FALSE(requestedListing(Agent, Digest(), Start + 1ms));
  Agent.onListingFailed(*First, Start + 2ms);
  CHECK_FALSE(requestedListing(Agent, Digest(), Start + 3ms));
  const auto Second =
      requestedListing(Agent, Digest(), Start + 2ms + RolloutAgent::ListRetryInterval);
  REQUIRE(Second);
  // A late result of the first listing does not end the second one.
  Agent.onListingFailed(*First, Start + 2s);
  CHECK_FALSE(requestedListing(Agent, Digest(), Start + 4s));
}

// Guards against taking the staging area of an engine before its restart for the one after it.
TEST_CASE("a listing that was requested before a restart of the engine is not used") {
  const Digest Live = sha256("live");
  RolloutAgentSettings Settings;
  Settings.m_Self = agentRecord("a", Live);
  Settings.m_LastServed = Live;
  RolloutAgent Agent(Settings);
  const auto First = requestedListing(Agent, Live, Start);
  REQUIRE(First);
  TimePoint Now = Start;
  for (; Now < Start + 2s; Now += 500ms)
    CHECK_FALSE(requestedListing(Agent, Live, Now));
  REQUIRE(Agent.routableRoot() == Live);
  std::optional<std::uint64_t> Second;
  for (; Now < Start + 8s && !Second; Now += 500ms)
    Second = requestedListing(Agent, Digest(), Now);
  REQUIRE(Second);
  CHECK(*Second != *First);
}

// Guards against too many upstreams being replaced at once, with equal and with differing views.
TEST_CASE("the replacement rule keeps the minimum capacity of each class") {
  const Digest Old = sha256("old");
  const Digest New = sha256("new");
  std::vector<InstanceRecord> View;
  for (int I = 0; I < 10; ++I)
    View.push_back(agentRecord("u" + std::to_string(I), Old));
  const std::vector<ClassNeed> Needs{{WorkClassId("a"), 3}, {WorkClassId("b"), 7}};
  auto AllowedCount = [&](const ReplacementRule &Rule) {
    int Count = 0;
    for (const InstanceRecord &Self : View)
      Count += Rule.mayReplace(Self, New, View, Needs) == ReplacementRule::Verdict::Allowed ? 1 : 0;
    return Count;
  };
  CHECK(AllowedCount(ReplacementRule()) == 3);
  View[0].m_State = InstanceState::Suspect;
  View[1].m_ServedDigest = Digest();
  // The upstream that serves nothing may load; of the eight that serve, one may be replaced. The
  // suspected one may be ranked early enough to be allowed by its own view, which makes two.
  const int WithFailures = AllowedCount(ReplacementRule());
  CHECK(WithFailures >= 2);
  CHECK(WithFailures <= 3);
  CHECK(AllowedCount(ReplacementRule({false, true})) > WithFailures);
  CHECK(AllowedCount(ReplacementRule({true, false})) > WithFailures);
  const std::vector<ClassNeed> All{{WorkClassId("a"), 10}};
  CHECK(ReplacementRule().mayReplace(View[5], New, View, All) ==
        ReplacementRule::Verdict::NeedsSurge);
  CHECK(ReplacementRule().mayReplace(View[1], New, View, All) == ReplacementRule::Verdict::Allowed);
}

// Guards against retrying a peer that delivers corrupted chunks.
TEST_CASE("a peer that delivers a corrupted chunk is avoided") {
  CHECK(fetchesFromBadPeer({}) <= 4);
  TransferPlanner::Rules Rules;
  Rules.m_AvoidBadPeers = false;
  CHECK(fetchesFromBadPeer(Rules) > 10);
}

// Guards against waiting forever for the only local holder of a chunk when its copy is corrupted.
TEST_CASE("a chunk whose only local copy is corrupted is imported") {
  const Manifest Wanted = manifestOf({"only"});
  auto AsksForGrant = [&](TransferPlanner::Rules Rules) {
    TransferPlanner Planner(agentRecord("a"), RegionId("region"), 1, Rules);
    Planner.setView(std::vector<InstanceRecord>{agentRecord("a"), agentRecord("b")}, Start);
    Planner.setOrder({Wanted, ChangeNumber(1), RolloutId("r"), TransferPreference::Time}, {},
                     Start);
    Planner.onSummary(InstanceId("b"), {Wanted.rootDigest(), 0, 0, {0}, {}, false}, Start);
    for (TimePoint Now = Start; Now < Start + 5min; Now += 500ms)
      for (const TransferAction &Action : Planner.poll(Now)) {
        if (std::holds_alternative<RequestGrant>(Action))
          return true;
        if (const auto *Fetch = std::get_if<StartFetch>(&Action))
          Planner.onReceived(Fetch->m_Id, sha256("garbage"), Now);
      }
    return false;
  };
  CHECK(AsksForGrant({}));
  TransferPlanner::Rules Rules;
  Rules.m_RemoveCorruptHolder = false;
  CHECK_FALSE(AsksForGrant(Rules));
}

// Guards against rollouts that do not converge when an agent, an instance or an engine fails at any
// step.
TEST_CASE("a rollout converges when a process is killed at any step") {
  for (std::uint64_t Kind : {0, 1, 2})
    for (int Seconds = 0; Seconds < 60; Seconds += 3) {
      DriverSettings Settings;
      Settings.m_Seed = static_cast<std::uint64_t>(Seconds) + 1;
      Settings.m_Instances = 6;
      Driver Run(Settings);
      Run.startServing(1);
      Run.run(10s);
      Run.issue(2);
      Run.run(std::chrono::seconds(Seconds));
      Run.injectFault(Kind);
      INFO("kind " << Kind << " after " << Seconds << " s");
      CHECK(Run.runUntilConverged(20min));
      CHECK(Run.violations() == 0);
    }
}

// Guards against state and chunks in flight that grow with the size of the deployment.
TEST_CASE("neighbours and fetches in flight stay within their bounds") {
  std::vector<InstanceRecord> View;
  for (int I = 0; I < 1000; ++I)
    View.push_back(agentRecord("u" + std::to_string(I), Digest(), "dc" + std::to_string(I % 4)));
  std::vector<std::string> Names;
  for (int I = 0; I < 64; ++I)
    Names.push_back(std::to_string(I));
  const Manifest Wanted = manifestOf(Names, Manifest::MaxChunkSize);
  for (int I = 0; I < 1000; I += 97) {
    TransferPlanner Planner(View[static_cast<std::size_t>(I)], RegionId("region"), 1);
    Planner.setView(View, Start);
    Planner.setOrder({Wanted, ChangeNumber(1), RolloutId("r"), TransferPreference::Time}, {},
                     Start);
    CHECK(Planner.neighbourCount() <= TransferPlanner::MaxNeighbours);
    Planner.addGrant(RolloutId("r"), Wanted.totalSize(), Start);
    for (TimePoint Now = Start; Now < Start + 10s; Now += 500ms)
      Planner.poll(Now);
    CHECK(Planner.fetchesInFlight() * Manifest::MaxChunkSize.count() <=
          TransferPlanner::MaxBytesInFlight.count());
  }
}

// Guards against origin transfers of chunks that the deployment already holds.
TEST_CASE("a late joiner and a rollback use no origin bytes") {
  auto Preference = GENERATE(TransferPreference::OriginBytes, TransferPreference::Time);
  DriverSettings Settings;
  Settings.m_Preference = Preference;
  Settings.m_Sites = fourSites();
  Driver Run(Settings);
  Run.startServing(1);
  Run.run(10s);
  Run.issue(2);
  REQUIRE(Run.runUntilConverged(10min));
  const double Copies = Run.originCopies();
  CHECK(Copies <= (Preference == TransferPreference::Time ? 4.0 : 1.05));
  Run.join(0);
  Run.run(1s);
  REQUIRE(Run.runUntilConverged(10min));
  CHECK(Run.originCopies() == Copies);
  Run.issue(1);
  REQUIRE(Run.runUntilConverged(10min));
  CHECK(Run.originCopies() == 0.0);
  CHECK(Run.violations() == 0);
}

// Guards against a staging area that stays full of chunks that the agent does not know.
TEST_CASE("a refused write leads to a listing that frees space") {
  auto Converges = [](bool Lists) {
    DriverSettings Settings;
    Settings.m_AgentRules.m_ListAfterRefusedWrite = Lists;
    Driver Run(Settings);
    Run.startServing(1);
    Run.run(10s);
    Run.fillStaging();
    Run.issue(2);
    return Run.runUntilConverged(20min) && Run.violations() == 0;
  };
  CHECK(Converges(true));
  CHECK_FALSE(Converges(false));
}

// Guards against upstreams that stop serving before the views of all agents show those that stopped
// for the previous target.
TEST_CASE("no upstream stops serving for a new target before all have adopted it") {
  QuietInvariants Quiet;
  auto ServingAfterChange = [](bool Waits) {
    DriverSettings Settings;
    Settings.m_AgentRules.m_WaitAfterChange = Waits;
    Driver Run(Settings);
    Run.startServing(1);
    Run.run(10s);
    Run.issue(2);
    REQUIRE(Run.runUntilConverged(10min));
    // Every chunk of version 1 is still held, so nothing else delays the change.
    Run.issue(1);
    Run.run(5s);
    return Run.servingCount();
  };
  CHECK(ServingAfterChange(true) == DriverSettings().m_Instances);
  CHECK(ServingAfterChange(false) < DriverSettings().m_Instances);
}

// Guards against spending the remaining origin budget on faster transfers.
TEST_CASE("a scarce budget leaves direct fetches to one data centre") {
  std::vector<std::string> Names;
  for (int I = 0; I < 64; ++I)
    Names.push_back(std::to_string(I));
  const Manifest Wanted = manifestOf(Names);
  const std::vector<InstanceRecord> View{agentRecord("a", Digest(), "dc-a"),
                                         agentRecord("b", Digest(), "dc-b")};
  // Total number of lanes that the two data centres fetch from the origin.
  auto DirectLanes = [&](bool Saves) {
    std::size_t Count = 0;
    for (const InstanceRecord &Self : View) {
      TransferPlanner::Rules Rules;
      Rules.m_SaveScarceBudget = Saves;
      TransferPlanner Planner(Self, RegionId("region"), 1, Rules);
      Planner.setView(View, Start);
      Planner.setOrder({Wanted, ChangeNumber(1), RolloutId("r"), TransferPreference::Time}, {},
                       Start);
      Planner.addGrant(RolloutId("r"), Wanted.totalSize(), Start);
      Planner.setOriginScarce(true);
      std::unordered_set<std::uint32_t> Fetched;
      for (TimePoint Now = Start; Now < Start + 20s; Now += 500ms)
        for (const TransferAction &Action : Planner.poll(Now))
          if (const auto *Fetch = std::get_if<StartFetch>(&Action)) {
            Fetched.insert(Fetch->m_Index % TransferPlanner::Lanes);
            Planner.onReceived(Fetch->m_Id, Fetch->m_Chunk.m_Digest, Now);
            Planner.onStaged(Fetch->m_Chunk.m_Digest, true, Now);
          }
      Count += Fetched.size();
    }
    return Count;
  };
  CHECK(DirectLanes(true) == TransferPlanner::Lanes);
  CHECK(DirectLanes(false) == 2 * TransferPlanner::Lanes);
}

// Guards against a new instance that imports chunks that its data centre already holds.
TEST_CASE("without the initial wait for summaries a late joiner uses origin bytes") {
  DriverSettings Settings;
  Settings.m_TransferRules.m_AwaitSummaries = false;
  Driver Run(Settings);
  Run.issue(1);
  REQUIRE(Run.runUntilConverged(10min));
  const double Copies = Run.originCopies();
  for (int I = 0; I < 4; ++I)
    Run.join(0);
  Run.run(30s);
  CHECK(Run.originCopies() > Copies);
}

// Guards against imports that use more than the transfers' share of a region link.
TEST_CASE("imports are limited to the share of the region link") {
  auto BytesIn = [](bool Paced) {
    DriverSettings Settings;
    Settings.m_Chunks = 64;
    Settings.m_SharedChunks = false;
    Settings.m_TransferRules.m_LimitImportRate = Paced;
    // The link is faster than the share that the planner is configured to use.
    Settings.m_TransferRate = 0.25;
    Driver Run(Settings);
    Run.issue(1);
    Run.run(60s);
    return static_cast<double>(Run.regionBytes()) / 60;
  };
  // Two region links leave the first region. On each, Lanes chunks may start at once.
  const double Share = 2 * (0.25 * 2e6 + TransferPlanner::Lanes * 4.2e6 / 60);
  CHECK(BytesIn(true) <= Share);
  CHECK(BytesIn(false) > Share);
}
