#include "SimulatedDeployment.h"

#include <algorithm>
#include <chrono>

namespace fescuegauge::model {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t EntryCount = 6;
constexpr std::size_t AgentCount = 6;
constexpr std::size_t AccountCount = 5;
constexpr std::size_t OperationCount = 150;
constexpr Duration Tick = 10ms;
constexpr Duration HeartbeatInterval = 500ms;
constexpr Duration HeartbeatTimeout = 2s;
constexpr Duration WriteTimeout = 500ms;
constexpr Duration RequestDeadline = 4s;
constexpr Duration FaultPeriod = 40s;
constexpr Duration QuietBegin = 50s;
constexpr Duration LastIssue = 70s;
constexpr Duration RunLength = 80s;
constexpr std::size_t FragmentBytes = 24;

const ServiceId TheService("pedidos");
const ClaimEpoch FirstEpoch(40);
const ClaimEpoch NextEpoch(50);

std::string accountName(std::size_t Index) { return "account" + std::to_string(Index); }
GenerationId otherGeneration(const GenerationId &Of) {
  return GenerationId(Of.str() == "old" ? "new" : "old");
}
Digest servedDigest(const GenerationId &Of) { return sha256("model of " + Of.str()); }

} // namespace

/// What a caller wants, possibly through several requests with one key.
struct SimulatedDeployment::Operation {
  std::size_t m_Index = 0;
  ClientAccountId m_Account;
  IdempotencyKey m_Key;
  bool m_NonIdempotent = false;
  bool m_Poison = false;
  int m_TriesLeft = 6;
  bool m_Done = false;
  bool m_EverDispatched = false;
  int m_Executions = 0;
  std::optional<RequestOutcome> m_Last;
  std::map<std::size_t, std::uint64_t> m_CrashesByDataCentre;
};

/// One request of a caller to one entry.
struct SimulatedDeployment::Call {
  std::size_t m_Operation = 0;
  std::size_t m_Entry = 0;
  std::uint64_t m_EntryEpoch = 0;
  int m_Outcomes = 0;
  bool m_Arrived = false;
  bool m_ToldNotRun = false;
  bool m_Started = false;
  bool m_Gone = false;
  std::string m_Received;
};

/// An attempt at an engine.
struct SimulatedDeployment::Job {
  AttemptId m_Attempt;
  RequestId m_Request;
  std::size_t m_Operation = 0;
  std::size_t m_Entry = 0;
  std::uint64_t m_EntryEpoch = 0;
  std::uint64_t m_Offset = 0;
  std::optional<Digest> m_RequiredDigest;
};

struct SimulatedDeployment::Agent {
  std::size_t m_Index = 0;
  InstanceId m_Id;
  GenerationId m_Generation;
  std::uint64_t m_Epoch = 0;
  bool m_Alive = false;
  TimePoint m_PausedUntil{};
  TimePoint m_EngineDownUntil{};
  std::uint64_t m_EngineEpoch = 1;
  TimePoint m_NextHeartbeat{};
  std::unique_ptr<AttemptLedger> m_Ledger;
  std::map<AttemptId, Job> m_Jobs;
  std::map<AttemptId, RecordedAnswer> m_Answers;
};

class SimulatedDeployment::Selector : public UpstreamSelector {
public:
  Selector(SimulatedDeployment &World, std::size_t Index) : m_World(World), m_Index(Index) {}
  std::optional<InstanceId> select(const UpstreamQuery &Query, TimePoint Now) override;
  void release(const InstanceId &Upstream, const RequestDescription &, bool, TimePoint) override {
    if (--m_InFlight[Upstream] < 0)
      ++m_World.m_Result.m_UnbalancedReleases;
  }
  std::map<InstanceId, int> m_InFlight;

private:
  SimulatedDeployment &m_World;
  std::size_t m_Index;
};

class SimulatedDeployment::Environment : public RequestEnvironment {
public:
  Environment(SimulatedDeployment &World, std::size_t Index) : m_World(World), m_Index(Index) {}
  bool takeRetry(const RequestDescription &, TimePoint) override { return m_Retries++ < 40; }
  GenerationId generationOf(const InstanceId &Upstream) const override;
  Incarnation incarnationOf(const InstanceId &Upstream) const override;

private:
  SimulatedDeployment &m_World;
  std::size_t m_Index;
  int m_Retries = 0;
};

struct SimulatedDeployment::Entry {
  struct Link {
    bool m_Connected = false;
    TimePoint m_LastHeard{};
    std::uint64_t m_Connection = 0;
    Incarnation m_Agent;
  };
  std::size_t m_Index = 0;
  std::size_t m_DataCentre = 0;
  InstanceId m_Id;
  std::uint64_t m_Epoch = 0;
  bool m_Alive = false;
  TimePoint m_PausedUntil{};
  TimePoint m_NextHeartbeat{};
  TimePoint m_NextRefresh{};
  AttemptSourceId m_Source;
  std::vector<Link> m_Links{AgentCount};
  std::map<ClientAccountId, TableRow> m_Owners;
  std::unique_ptr<CrashSuspects> m_Suspects;
  std::unique_ptr<Selector> m_Selector;
  std::unique_ptr<Environment> m_Environment;
  std::unique_ptr<RequestLifecycle> m_Lifecycle;
  std::unique_ptr<ClaimBatcher> m_Batcher;
  std::map<RequestId, AttemptId> m_LastAttempt;
};

std::optional<InstanceId> SimulatedDeployment::Selector::select(const UpstreamQuery &Query,
                                                                TimePoint) {
  std::vector<InstanceId> Fit;
  for (const auto &Upstream : m_World.m_Agents) {
    if (!m_World.m_Entries[m_Index]->m_Links[Upstream->m_Index].m_Connected)
      continue;
    if (Query.m_Generation && *Query.m_Generation != Upstream->m_Generation)
      continue;
    if (Query.m_RequiredDigest && *Query.m_RequiredDigest != servedDigest(Upstream->m_Generation))
      continue;
    if (std::find(Query.m_Excluded.begin(), Query.m_Excluded.end(), Upstream->m_Id) ==
        Query.m_Excluded.end())
      Fit.push_back(Upstream->m_Id);
  }
  if (Fit.empty())
    return std::nullopt;
  InstanceId Chosen = Fit[uniformBelow(m_World.m_Random, Fit.size())];
  ++m_InFlight[Chosen];
  return Chosen;
}

GenerationId SimulatedDeployment::Environment::generationOf(const InstanceId &Upstream) const {
  for (const auto &Known : m_World.m_Agents)
    if (Known->m_Id == Upstream)
      return Known->m_Generation;
  return {};
}

Incarnation SimulatedDeployment::Environment::incarnationOf(const InstanceId &Upstream) const {
  for (const auto &Known : m_World.m_Agents)
    if (Known->m_Id == Upstream)
      return m_World.m_Entries[m_Index]->m_Links[Known->m_Index].m_Agent;
  return {};
}

SimulatedDeployment::SimulatedDeployment(std::uint64_t Seed, Faults Injected, Mutant Variant)
    : m_Random(Seed), m_Faults(Injected), m_Mutant(Variant),
      m_FaultsEnd(TimePoint() + FaultPeriod) {}

SimulatedDeployment::~SimulatedDeployment() = default;

void SimulatedDeployment::post(Duration After, std::function<void()> Run) {
  m_Events.push({m_Now + After, m_NextOrder++, std::move(Run)});
}

Duration SimulatedDeployment::latency() {
  return Duration(1000 + static_cast<Duration::rep>(uniformBelow(m_Random, 2000)));
}

void SimulatedDeployment::toEntry(std::size_t Index, Duration After,
                                  std::function<void(Entry &)> Run,
                                  std::optional<std::uint64_t> Epoch) {
  post(After, [this, Index, Run = std::move(Run), Epoch] {
    Entry &To = *m_Entries[Index];
    if (!To.m_Alive || (Epoch && *Epoch != To.m_Epoch))
      return;
    if (m_Now < To.m_PausedUntil)
      toEntry(Index, To.m_PausedUntil - m_Now, Run, To.m_Epoch);
    else
      Run(To);
  });
}

void SimulatedDeployment::toAgent(std::size_t Index, Duration After,
                                  std::function<void(Agent &)> Run) {
  std::uint64_t Epoch = m_Agents[Index]->m_Epoch;
  post(After, [this, Index, Run = std::move(Run), Epoch] {
    Agent &To = *m_Agents[Index];
    if (!To.m_Alive || Epoch != To.m_Epoch)
      return;
    if (m_Now < To.m_PausedUntil)
      toAgent(Index, To.m_PausedUntil - m_Now, Run);
    else
      Run(To);
  });
}

bool SimulatedDeployment::isCut(std::size_t EntryIndex, std::size_t AgentIndex) const {
  auto Found = m_CutUntil.find({EntryIndex, AgentIndex});
  return Found != m_CutUntil.end() && m_Now < Found->second;
}

void SimulatedDeployment::overLink(std::size_t EntryIndex, std::size_t AgentIndex,
                                   std::function<void()> Deliver) {
  if (isCut(EntryIndex, AgentIndex)) {
    // Half of what is sent into a cut connection comes out after it, late.
    if (chance(m_Random, 0.5))
      post(m_CutUntil[{EntryIndex, AgentIndex}] - m_Now + latency(), std::move(Deliver));
    return;
  }
  if (m_Faults.m_Messages && chance(m_Random, 0.02))
    post(latency() + Duration(static_cast<Duration::rep>(uniformBelow(m_Random, 4'000'000))),
         Deliver);
  post(latency(), std::move(Deliver));
}

void SimulatedDeployment::startEntry(std::size_t Index) {
  Entry &On = *m_Entries[Index];
  ++On.m_Epoch;
  On.m_Alive = true;
  On.m_PausedUntil = {};
  std::string Process = On.m_Id.str() + "~" + std::to_string(On.m_Epoch);
  On.m_Source = AttemptSourceId(Process);
  On.m_Links.assign(AgentCount, {});
  On.m_Owners.clear();
  On.m_LastAttempt.clear();
  On.m_NextHeartbeat = m_Now;
  On.m_NextRefresh = m_Now;
  On.m_Suspects = std::make_unique<CrashSuspects>();
  On.m_Selector = std::make_unique<Selector>(*this, Index);
  On.m_Environment = std::make_unique<Environment>(*this, Index);
  RequestLifecycle::Options Settings;
  Settings.m_Self = On.m_Id;
  Settings.m_Source = On.m_Source;
  Settings.m_IsEntryAlive = [this](const InstanceId &Id) {
    return std::any_of(m_Entries.begin(), m_Entries.end(),
                       [&](const auto &Other) { return Other->m_Id == Id && Other->m_Alive; });
  };
  On.m_Lifecycle = std::make_unique<RequestLifecycle>(Settings, *On.m_Selector, *On.m_Environment,
                                                      *On.m_Suspects, RandomGenerator(m_Random()));
  On.m_Batcher = std::make_unique<ClaimBatcher>(Process);
  std::vector<InstanceId> Peers;
  for (const auto &Other : m_Entries)
    if (Other->m_DataCentre == On.m_DataCentre)
      Peers.push_back(Other->m_Id);
  On.m_Lifecycle->setEntries(Peers);
  for (const auto &Other : m_Entries)
    if (Other->m_Index != Index && Other->m_Alive && Other->m_DataCentre == On.m_DataCentre)
      On.m_Suspects->merge(Other->m_Suspects->allDeltas(m_Now), m_Now);
  std::uint64_t Epoch = On.m_Epoch;
  post(Tick, [this, Index, Epoch] {
    if (m_Entries[Index]->m_Epoch == Epoch)
      tickEntry(Index);
  });
}

void SimulatedDeployment::startAgent(std::size_t Index) {
  Agent &On = *m_Agents[Index];
  ++On.m_Epoch;
  On.m_Alive = true;
  On.m_PausedUntil = {};
  On.m_NextHeartbeat = m_Now;
  On.m_Ledger = std::make_unique<AttemptLedger>(Incarnation(On.m_Epoch));
  On.m_Jobs.clear();
  On.m_Answers.clear();
  ++On.m_EngineEpoch;
  std::uint64_t Epoch = On.m_Epoch;
  post(Tick, [this, Index, Epoch] {
    if (m_Agents[Index]->m_Epoch == Epoch)
      tickAgent(Index);
  });
}

void SimulatedDeployment::tickEntry(std::size_t Index) {
  Entry &On = *m_Entries[Index];
  if (!On.m_Alive)
    return;
  std::uint64_t Epoch = On.m_Epoch;
  Duration Next = std::max(Tick, On.m_PausedUntil - m_Now);
  post(Next, [this, Index, Epoch] {
    if (m_Entries[Index]->m_Epoch == Epoch)
      tickEntry(Index);
  });
  if (m_Now < On.m_PausedUntil)
    return;
  if (m_Now >= On.m_NextRefresh) {
    On.m_NextRefresh = m_Now + 1s;
    if (m_Now >= m_TableDownUntil) {
      for (std::size_t Account = 0; Account < AccountCount; ++Account) {
        ClientAccountId Id(accountName(Account));
        TableRow Row = readRow(ownerRowKey(TheService, Id), true);
        if (Row.m_Version >= On.m_Owners[Id].m_Version)
          On.m_Owners[Id] = Row;
      }
      TableRow Oldest = readRow(std::string(ClaimEpochRowKey), true);
      if (m_Mutant == Mutant::NoEpochCondition)
        Oldest = {Oldest.m_Key, encodeClaimEpoch(FirstEpoch), RowVersion(1)};
      On.m_Lifecycle->setEpochRow(Oldest);
    }
    for (const SuspectDelta &Delta : On.m_Suspects->takeDeltas(m_Now))
      for (const auto &Other : m_Entries)
        if (Other->m_Index != Index && Other->m_DataCentre == On.m_DataCentre)
          toEntry(Other->m_Index, latency(),
                  [this, Delta](Entry &To) { To.m_Suspects->merge(std::span(&Delta, 1), m_Now); });
  }
  if (m_Now >= On.m_NextHeartbeat) {
    On.m_NextHeartbeat = m_Now + HeartbeatInterval;
    for (const auto &Upstream : m_Agents) {
      std::size_t A = Upstream->m_Index;
      Entry::Link &To = On.m_Links[A];
      if (To.m_Connected && m_Now - To.m_LastHeard > HeartbeatTimeout) {
        To.m_Connected = false;
        if (m_Mutant == Mutant::NotRunOnLoss) {
          for (const auto &[Request, Attempt] : std::map(On.m_LastAttempt))
            if (m_Agents[A]->m_Jobs.contains(Attempt))
              perform(On, On.m_Lifecycle->attemptNotSent(Attempt, m_Now));
        }
        perform(On, On.m_Lifecycle->upstreamUnreachable(Upstream->m_Id, m_Now));
      }
      AttemptSourceId Source = On.m_Source;
      if (To.m_Connected) {
        overLink(Index, A, [this, A, Source] {
          toAgent(A, 0s, [this, Source](Agent &Peer) { Peer.m_Ledger->heartbeat(Source, m_Now); });
        });
        continue;
      }
      std::uint64_t Connection = ++To.m_Connection;
      std::uint64_t NextNumber = On.m_Lifecycle->nextAttemptNumber();
      overLink(Index, A, [this, A, Index, Source, Connection, NextNumber, Epoch] {
        toAgent(A, 0s, [=, this](Agent &Peer) {
          if (!Peer.m_Ledger->openSource(Source, NextNumber, m_Now))
            return;
          Incarnation Process(Peer.m_Epoch);
          overLink(Index, A, [=, this] {
            toEntry(
                Index, 0s,
                [=, this](Entry &Back) {
                  Entry::Link &Opened = Back.m_Links[A];
                  if (Opened.m_Connection != Connection || Opened.m_Connected)
                    return;
                  Opened.m_Connected = true;
                  Opened.m_LastHeard = m_Now;
                  Opened.m_Agent = Process;
                  perform(Back, Back.m_Lifecycle->upstreamConnected(m_Agents[A]->m_Id, m_Now));
                },
                Epoch);
          });
        });
      });
    }
  }
  perform(On, On.m_Lifecycle->onTimer(m_Now));
  perform(On, On.m_Batcher->onTimer(m_Now));
  On.m_Suspects->onTimer(m_Now);
}

void SimulatedDeployment::tickAgent(std::size_t Index) {
  Agent &On = *m_Agents[Index];
  if (!On.m_Alive)
    return;
  std::uint64_t Epoch = On.m_Epoch;
  post(std::max(Tick, On.m_PausedUntil - m_Now), [this, Index, Epoch] {
    if (m_Agents[Index]->m_Epoch == Epoch)
      tickAgent(Index);
  });
  if (m_Now < On.m_PausedUntil)
    return;
  for (const AttemptId &Id : On.m_Ledger->onTimer(m_Now))
    On.m_Jobs.erase(Id);
  if (m_Now < On.m_NextHeartbeat)
    return;
  On.m_NextHeartbeat = m_Now + HeartbeatInterval;
  Incarnation Self(On.m_Epoch);
  for (std::size_t E = 0; E < EntryCount; ++E)
    overLink(E, Index, [this, E, Index, Self] {
      toEntry(E, 0s, [this, Index, Self](Entry &To) {
        if (To.m_Links[Index].m_Agent == Self)
          To.m_Links[Index].m_LastHeard = m_Now;
      });
    });
}

void SimulatedDeployment::injectFault() {
  if (m_Now >= m_FaultsEnd)
    return;
  post(Duration(300'000 + static_cast<Duration::rep>(uniformBelow(m_Random, 1'400'000))),
       [this] { injectFault(); });
  auto Length = [&](Duration Least, Duration Most) {
    return Least + Duration(static_cast<Duration::rep>(
                       uniformBelow(m_Random, static_cast<std::uint64_t>((Most - Least).count()))));
  };
  std::size_t E = uniformBelow(m_Random, EntryCount);
  std::size_t A = uniformBelow(m_Random, AgentCount);
  switch (uniformBelow(m_Random, 8)) {
  case 0:
    if (!m_Faults.m_Kills || !m_Entries[E]->m_Alive)
      return;
    m_Entries[E]->m_Alive = false;
    loseClaims(m_Entries[E]->m_Id.str());
    for (auto &[Id, Open] : m_Calls)
      if (Open.m_Entry == E && Open.m_Outcomes == 0 && !Open.m_Gone) {
        Open.m_Gone = true;
        std::string Request = Id;
        post(10ms, [this, Request] { callerHears(Request, nullptr); });
      }
    post(Length(500ms, 3s), [this, E] { startEntry(E); });
    return;
  case 1:
    if (!m_Faults.m_Kills || !m_Agents[A]->m_Alive)
      return;
    m_Agents[A]->m_Alive = false;
    loseClaims(m_Agents[A]->m_Id.str());
    post(Length(500ms, 3s), [this, A] { startAgent(A); });
    return;
  case 2:
    if (m_Faults.m_Pauses)
      m_Entries[E]->m_PausedUntil = m_Now + Length(200ms, 5s);
    return;
  case 3:
    if (m_Faults.m_Pauses)
      m_Agents[A]->m_PausedUntil = m_Now + Length(200ms, 5s);
    return;
  case 4:
  case 5:
    if (m_Faults.m_Cuts)
      m_CutUntil[{E, A}] = m_Now + Length(500ms, 6s);
    return;
  case 6:
    if (m_Faults.m_Table && chance(m_Random, 0.5))
      m_TableDownUntil = m_Now + Length(200ms, 4s);
    else if (m_Faults.m_Table)
      m_TableSlowUntil = m_Now + Length(500ms, 5s);
    return;
  default:
    if (m_Faults.m_Table)
      m_TableLossyUntil = m_Now + Length(500ms, 5s);
    return;
  }
}

TableRow SimulatedDeployment::readRow(const std::string &Key, bool Stale) {
  const auto &From = Stale && m_Now < m_FaultsEnd && chance(m_Random, 0.3) ? m_OldRows : m_Rows;
  auto Found = From.find(Key);
  return Found == From.end() ? TableRow{Key, "", RowVersion()} : Found->second;
}

CommitResult SimulatedDeployment::apply(const Transaction &Sent) {
  if (auto Known = m_WriteOutcomes.find(Sent.m_WriteId); Known != m_WriteOutcomes.end())
    return Known->second;
  CommitResult Result;
  Result.m_Status = CommitStatus::Committed;
  for (const RowCondition &Condition : Sent.m_Conditions) {
    TableRow Current = readRow(Condition.m_Key, false);
    if (Current.m_Version != Condition.m_Version) {
      Result.m_Status = CommitStatus::Conflict;
      Result.m_Conflicts.push_back(Current);
    }
  }
  if (Result.m_Status == CommitStatus::Committed) {
    for (const RowPut &Put : Sent.m_Puts) {
      TableRow &Row = m_Rows[Put.m_Key];
      m_OldRows[Put.m_Key] = Row.m_Version == RowVersion() ? TableRow{Put.m_Key, "", {}} : Row;
      // Versions that grow by more than one must not mislead anybody.
      m_NextRowVersion += 1 + uniformBelow(m_Random, 2);
      Row = {Put.m_Key, Put.m_Value, RowVersion(m_NextRowVersion)};
    }
    if (m_Mutant == Mutant::ForgetWithBatcher || m_Mutant == Mutant::UnknownWithBatcher)
      for (const RowPut &Put : Sent.m_Puts)
        if (Put.m_Key.starts_with("claim/"))
          m_ClaimHolders[Put.m_Key] =
              Sent.m_WriteId.str().substr(0, Sent.m_WriteId.str().find('~'));
    for (const std::string &Key : Sent.m_Deletes)
      m_Rows.erase(Key);
  }
  m_WriteOutcomes[Sent.m_WriteId] = Result;
  return Result;
}

void SimulatedDeployment::commit(std::size_t EntryIndex, Transaction Sent) {
  ++m_Result.m_Transactions;
  auto Strip = [&](std::string_view Prefix) {
    std::erase_if(Sent.m_Conditions, [&](const RowCondition &Condition) {
      return Condition.m_Key.starts_with(Prefix);
    });
  };
  if (m_Mutant == Mutant::NoClaimCondition)
    Strip("claim/");
  if (m_Mutant == Mutant::NoOwnerCondition)
    Strip("owner/");
  if (m_Mutant == Mutant::NoEpochCondition)
    Strip(ClaimEpochRowKey);
  std::uint64_t Epoch = m_Entries[EntryIndex]->m_Epoch;
  WriteId Id = Sent.m_WriteId;
  auto Answer = [=, this](Duration After, CommitResult Result) {
    if (m_Mutant == Mutant::NoReadBack && Result.m_Status == CommitStatus::Unknown)
      Result.m_Status = CommitStatus::Committed;
    if (m_Mutant == Mutant::TakeOver)
      for (TableRow &Row : Result.m_Conflicts)
        if (auto Claim = ClaimRow::decode(Row.m_Value)) {
          Claim->m_State = ClaimState::NotRun;
          Claim->m_Answer.reset();
          Row.m_Value = Claim->encode();
        }
    toEntry(
        EntryIndex, After,
        [this, Id, Result](Entry &On) { perform(On, On.m_Batcher->onCommit(Id, Result, m_Now)); },
        Epoch);
  };
  if (m_Now < m_TableDownUntil) {
    bool Hangs = chance(m_Random, 0.3);
    Answer(Hangs ? WriteTimeout : Duration(5ms),
           {Hangs ? CommitStatus::Unknown : CommitStatus::Unreachable, {}});
    return;
  }
  Duration There = latency() * 2;
  Duration Back = latency() * 2;
  if (m_Now < m_TableSlowUntil)
    There += Duration(static_cast<Duration::rep>(uniformBelow(m_Random, 1'500'000)));
  bool Lossy = m_Now < m_TableLossyUntil;
  bool RequestLost = Lossy && chance(m_Random, 0.25);
  bool ResponseLost = Lossy && chance(m_Random, 0.35);
  if (Lossy && chance(m_Random, 0.3))
    There += Duration(static_cast<Duration::rep>(uniformBelow(m_Random, 3'000'000)));
  if (There + Back >= WriteTimeout || RequestLost || ResponseLost)
    Answer(WriteTimeout, {CommitStatus::Unknown, {}});
  if (RequestLost)
    return;
  post(There, [=, this, Sent = std::move(Sent)] {
    CommitResult Result = apply(Sent);
    if (There + Back < WriteTimeout && !ResponseLost)
      Answer(Back, Result);
  });
}

OwnerView SimulatedDeployment::ownerView(const TableRow &Row) const {
  OwnerView View;
  View.m_Version = Row.m_Version;
  View.m_Generation = GenerationId(Row.m_Value.substr(0, Row.m_Value.find(' ')));
  View.m_Paused = Row.m_Value.ends_with(" paused");
  return View;
}

void SimulatedDeployment::handOver(std::size_t Account) {
  TableRow Row = readRow(ownerRowKey(TheService, ClientAccountId(accountName(Account))), false);
  OwnerView View = ownerView(Row);
  if (View.m_Paused)
    return;
  apply({WriteId("operator" + std::to_string(m_NextOrder++)),
         {{Row.m_Key, Row.m_Version}},
         {{Row.m_Key, View.m_Generation.str() + " paused"}},
         {}});
  RowVersion Paused = readRow(Row.m_Key, false).m_Version;
  GenerationId From = View.m_Generation;
  post(200ms, [=, this] { finishHandOver(Account, Paused, From, 20); });
}

void SimulatedDeployment::finishHandOver(std::size_t Account, RowVersion Paused, GenerationId From,
                                         int Tries) {
  bool Open = std::any_of(m_Rows.begin(), m_Rows.end(), [&](const auto &Row) {
    if (!Row.first.starts_with("claim/" + accountName(Account) + "/"))
      return false;
    auto Claim = ClaimRow::decode(Row.second.m_Value);
    return Claim && Claim->m_State == ClaimState::Claimed && Claim->m_Generation == From;
  });
  if (Open && Tries > 0) {
    post(300ms, [=, this] { finishHandOver(Account, Paused, From, Tries - 1); });
    return;
  }
  m_Result.m_Handovers += Open ? 0 : 1;
  std::string Key = ownerRowKey(TheService, ClientAccountId(accountName(Account)));
  apply({WriteId("operator" + std::to_string(m_NextOrder++)),
         {{Key, Paused}},
         {{Key, Open ? From.str() : otherGeneration(From).str()}},
         {}});
}

void SimulatedDeployment::advanceEpoch() {
  std::string Key(ClaimEpochRowKey);
  apply({WriteId("epoch"),
         {{Key, readRow(Key, false).m_Version}},
         {{Key, encodeClaimEpoch(NextEpoch)}},
         {}});
  Transaction Cleanup{WriteId("cleanup"), {}, {}, {}};
  for (const auto &[RowKey, Row] : m_Rows)
    if (isClaimRowDeletable(Row, NextEpoch))
      Cleanup.m_Deletes.push_back(RowKey);
  apply(Cleanup);
}

void SimulatedDeployment::loseClaims(const std::string &Holder) {
  bool Forgets = m_Mutant == Mutant::ForgetWithBatcher || m_Mutant == Mutant::ForgetWithAgent;
  for (const auto &[Key, Process] : m_ClaimHolders) {
    auto Row = m_Rows.find(Key);
    if (Process != Holder || Row == m_Rows.end())
      continue;
    auto Claim = ClaimRow::decode(Row->second.m_Value);
    if (Forgets) {
      m_Rows.erase(Row);
    } else if (Claim && Claim->m_State != ClaimState::NotRun) {
      Claim->m_State = ClaimState::Unknown;
      Claim->m_Answer.reset();
      Row->second.m_Value = Claim->encode();
    }
  }
  std::erase_if(m_ClaimHolders, [&](const auto &Held) { return Held.second == Holder; });
}

void SimulatedDeployment::perform(Entry &On, RequestActions Actions) {
  std::size_t Index = On.m_Index;
  std::uint64_t Epoch = On.m_Epoch;
  for (RequestAction &Action : Actions) {
    if (auto *Send = std::get_if<DispatchAttempt>(&Action)) {
      dispatch(On, *Send);
    } else if (auto *Cancel = std::get_if<CancelAttempt>(&Action)) {
      for (const auto &Upstream : m_Agents)
        if (Upstream->m_Id == Cancel->m_Upstream)
          overLink(Index, Upstream->m_Index, [this, A = Upstream->m_Index, Id = Cancel->m_Attempt] {
            toAgent(A, 0s, [Id](Agent &To) {
              if (To.m_Ledger->cancel(Id))
                To.m_Jobs.erase(Id);
            });
          });
    } else if (auto *Ask = std::get_if<AskAttempt>(&Action)) {
      for (const auto &Upstream : m_Agents)
        if (Upstream->m_Id == Ask->m_Upstream)
          overLink(Index, Upstream->m_Index,
                   [this, Index, Epoch, A = Upstream->m_Index, Id = Ask->m_Attempt] {
                     toAgent(A, 0s, [=, this](Agent &To) {
                       AttemptStatement Statement = To.m_Ledger->state(Id);
                       std::optional<RecordedAnswer> Kept;
                       if (auto Found = To.m_Answers.find(Id); Found != To.m_Answers.end())
                         Kept = Found->second;
                       overLink(Index, A, [=, this] {
                         toEntry(
                             Index, 0s,
                             [=, this](Entry &Back) {
                               perform(Back,
                                       Back.m_Lifecycle->attemptStatement(Statement, Kept, m_Now));
                             },
                             Epoch);
                       });
                     });
                   });
    } else if (auto *Piece = std::get_if<DeliverFragment>(&Action)) {
      Call &To = m_Calls.at(Piece->m_Request.str());
      if (Piece->m_Offset != To.m_Received.size())
        ++m_Result.m_WrongAnswers;
      To.m_Received += Piece->m_Data;
    } else if (auto *Told = std::get_if<FinishRequest>(&Action)) {
      finished(On, *Told);
    } else if (auto *Write = std::get_if<SendClaimWrite>(&Action)) {
      auto Row = ClaimRow::decode(Write->m_Write.m_Value);
      if (m_Mutant == Mutant::NoWithdrawal && Row && Row->m_State == ClaimState::NotRun)
        continue;
      int Copies = 1;
      if (m_Faults.m_Messages && chance(m_Random, 0.02))
        Copies = static_cast<int>(uniformBelow(m_Random, 2)) * 2;
      for (const auto &Other : m_Entries)
        if (Other->m_Id == Write->m_To)
          for (int I = 0; I < Copies; ++I)
            toEntry(Other->m_Index, latency(), [this, Index, Sent = Write->m_Write](Entry &To) {
              perform(To, To.m_Batcher->submit(m_Entries[Index]->m_Id, Sent, m_Now));
            });
    } else if (auto *Read = std::get_if<ReadTableRow>(&Action)) {
      if (m_Now < m_TableDownUntil)
        continue;
      TableRow Row = readRow(Read->m_Key, true);
      toEntry(
          Index, latency() * 4,
          [this, Row](Entry &To) { perform(To, To.m_Lifecycle->rowRead(Row.m_Key, Row, m_Now)); },
          Epoch);
    } else if (auto *Seen = std::get_if<OwnerRowSeen>(&Action)) {
      for (std::size_t Account = 0; Account < AccountCount; ++Account) {
        ClientAccountId Id(accountName(Account));
        if (ownerRowKey(TheService, Id) == Seen->m_Row.m_Key &&
            Seen->m_Row.m_Version >= On.m_Owners[Id].m_Version)
          On.m_Owners[Id] = Seen->m_Row;
      }
    }
  }
}

void SimulatedDeployment::perform(Entry &On, ClaimBatcherActions Actions) {
  for (Transaction &Sent : Actions.m_Commits)
    commit(On.m_Index, std::move(Sent));
  for (ClaimBatcherActions::Answer &Back : Actions.m_Answers) {
    if (m_Faults.m_Messages && chance(m_Random, 0.01))
      continue;
    for (const auto &Other : m_Entries)
      if (Other->m_Id == Back.m_To)
        toEntry(Other->m_Index, latency(), [this, Result = Back.m_Result](Entry &To) {
          perform(To, To.m_Lifecycle->claimWriteResult(Result, m_Now));
        });
  }
}

void SimulatedDeployment::dispatch(Entry &On, const DispatchAttempt &Action) {
  const Call &Made = m_Calls.at(Action.m_Request.str());
  Operation &Of = m_Operations[Made.m_Operation];
  Of.m_EverDispatched = true;
  On.m_LastAttempt[Action.m_Request] = Action.m_Attempt;
  for (const auto &Upstream : m_Agents) {
    if (Upstream->m_Id != Action.m_Upstream)
      continue;
    if (Of.m_NonIdempotent &&
        ownerView(readRow(ownerRowKey(TheService, Of.m_Account), false)).m_Generation !=
            Upstream->m_Generation)
      ++m_Result.m_OutsideOwner;
    Job Work{Action.m_Attempt, Action.m_Request,      Made.m_Operation,       On.m_Index,
             On.m_Epoch,       Action.m_ResumeOffset, Action.m_RequiredDigest};
    if (m_Mutant == Mutant::ForgetWithAgent || m_Mutant == Mutant::UnknownWithAgent)
      m_ClaimHolders[claimRowKey(Of.m_Account, Of.m_Key)] = Upstream->m_Id.str();
    std::uint64_t AgentEpoch = On.m_Links[Upstream->m_Index].m_Agent.value();
    overLink(On.m_Index, Upstream->m_Index, [this, A = Upstream->m_Index, Work, AgentEpoch] {
      // A connection leads to one process of the agent.
      if (m_Agents[A]->m_Epoch == AgentEpoch)
        toAgent(A, 0s, [this, Work](Agent &To) {
          attemptArrives(To, Work.m_Entry, Work.m_EntryEpoch, Work);
        });
    });
  }
}

void SimulatedDeployment::attemptArrives(Agent &On, std::size_t EntryIndex,
                                         std::uint64_t EntryEpoch, Job Work) {
  std::optional<ErrorKind> Refusal;
  if (m_Now < On.m_EngineDownUntil ||
      (Work.m_RequiredDigest && *Work.m_RequiredDigest != servedDigest(On.m_Generation)))
    Refusal = ErrorKind::NotReady;
  else if (chance(m_Random, 0.03))
    Refusal = ErrorKind::Draining;
  AttemptLedger::Decision Verdict = On.m_Ledger->arrive(Work.m_Attempt, Refusal, m_Now);
  bool Run = Verdict.m_Verdict == AttemptLedger::Verdict::Run;
  if (Run || m_Mutant == Mutant::RunLateCopy) {
    AttemptId Id = Work.m_Attempt;
    On.m_Jobs[Id] = std::move(Work);
    toAgent(On.m_Index, latency(), [this, Id](Agent &To) { startJob(To, Id); });
  } else if (Verdict.m_Verdict == AttemptLedger::Verdict::Refuse) {
    AttemptStatement Statement = On.m_Ledger->state(Work.m_Attempt);
    overLink(EntryIndex, On.m_Index, [=, this] {
      toEntry(
          EntryIndex, 0s,
          [=, this](Entry &To) {
            perform(To, To.m_Lifecycle->attemptRefused(Statement, Verdict.m_Reason, m_Now));
          },
          EntryEpoch);
    });
  }
}

void SimulatedDeployment::startJob(Agent &On, const AttemptId &Id) {
  auto Found = On.m_Jobs.find(Id);
  bool Allowed = m_Mutant == Mutant::RunLateCopy || On.m_Ledger->start(Id);
  if (Found == On.m_Jobs.end() || !Allowed)
    return;
  const Job &Work = Found->second;
  Operation &Of = m_Operations[Work.m_Operation];
  Call &Made = m_Calls.at(Work.m_Request.str());
  if (!m_StartedAttempts.insert(Id).second)
    ++m_Result.m_AttemptsRunTwice;
  Made.m_Started = true;
  if (Made.m_ToldNotRun)
    ++m_Result.m_FalseNotRun;
  ++Of.m_Executions;
  if (Of.m_NonIdempotent && Of.m_Executions > 1)
    ++m_Result.m_Duplicates;
  if (Of.m_Poison) {
    std::uint64_t &Crashes = Of.m_CrashesByDataCentre[m_Entries[Work.m_Entry]->m_DataCentre];
    m_Result.m_WorstCrashes = std::max(m_Result.m_WorstCrashes, ++Crashes);
    toAgent(On.m_Index, 20ms, [this](Agent &To) { crashEngine(To); });
    return;
  }
  stream(On, Id, On.m_EngineEpoch);
}

void SimulatedDeployment::stream(Agent &On, const AttemptId &Id, std::uint64_t EngineEpoch) {
  auto Found = On.m_Jobs.find(Id);
  if (Found == On.m_Jobs.end() || On.m_EngineEpoch != EngineEpoch)
    return;
  Job &Work = Found->second;
  std::size_t E = Work.m_Entry;
  auto Send = [&](std::function<void(Entry &)> Run) {
    overLink(E, On.m_Index, [this, E, Epoch = Work.m_EntryEpoch, Run = std::move(Run)] {
      toEntry(E, 0s, Run, Epoch);
    });
  };
  if (m_Faults.m_Messages && chance(m_Random, 0.01)) {
    On.m_Ledger->end(Id, false);
    Send([this, Id](Entry &To) { perform(To, To.m_Lifecycle->attemptBroken(Id, m_Now)); });
    On.m_Jobs.erase(Found);
    return;
  }
  std::string Whole = answerOf(m_Operations[Work.m_Operation], On.m_Generation);
  if (Work.m_Offset < Whole.size()) {
    std::string Data = Whole.substr(Work.m_Offset, FragmentBytes);
    Digest Served = servedDigest(On.m_Generation);
    Send([this, Id, Request = Work.m_Request, Offset = Work.m_Offset, Data, Served](Entry &To) {
      std::uint64_t At =
          m_Mutant == Mutant::AnyOffset ? m_Calls.at(Request.str()).m_Received.size() : Offset;
      perform(To,
              To.m_Lifecycle->fragment({Id, Request, At, Data, Served, 200, "text/plain"}, m_Now));
    });
    Work.m_Offset += Data.size();
    toAgent(On.m_Index, 15ms, [this, Id, EngineEpoch](Agent &To) { stream(To, Id, EngineEpoch); });
    return;
  }
  On.m_Ledger->end(Id, true);
  if (m_Operations[Work.m_Operation].m_NonIdempotent)
    On.m_Answers[Id] = {200, "text/plain", Whole, false};
  Send([this, Id, Request = Work.m_Request, Total = Whole.size()](Entry &To) {
    if (m_Mutant == Mutant::AnyOffset)
      perform(To, To.m_Lifecycle->attemptEnded(
                      {Id, Request, m_Calls.at(Request.str()).m_Received.size(), 200, "text/plain"},
                      m_Now));
    perform(To, To.m_Lifecycle->attemptEnded({Id, Request, Total, 200, "text/plain"}, m_Now));
  });
  On.m_Jobs.erase(Id);
}

void SimulatedDeployment::crashEngine(Agent &On) {
  Incarnation Lost(++On.m_EngineEpoch);
  On.m_EngineDownUntil = m_Now + 1s;
  std::map<AttemptId, Job> Jobs = std::move(On.m_Jobs);
  On.m_Jobs.clear();
  std::vector<AttemptStatement> Ended = On.m_Ledger->engineLost();
  std::vector<SuspectKey> Running;
  for (const AttemptStatement &Statement : Ended)
    if (auto Found = Jobs.find(Statement.m_Attempt);
        Found != Jobs.end() && Statement.m_State == AttemptState::Failed)
      Running.push_back(suspectKey(m_Operations[Found->second.m_Operation]));
  for (std::size_t E = 0; E < EntryCount; ++E) {
    std::vector<AttemptStatement> Own;
    for (const AttemptStatement &Statement : Ended)
      if (AttemptNumber::parse(Statement.m_Attempt)->m_Source == m_Entries[E]->m_Source)
        Own.push_back(Statement);
    overLink(E, On.m_Index, [=, this, Id = On.m_Id] {
      toEntry(E, 0s, [=, this](Entry &To) {
        if (m_Mutant == Mutant::BlameEveryone)
          for (std::size_t I = 0; I < Running.size(); ++I)
            for (std::uint64_t Fake = 1; Fake <= 2; ++Fake)
              To.m_Suspects->upstreamLost(Id, Incarnation(Lost.value() * 1000 + 2 * I + Fake),
                                          std::span(&Running[I], 1), m_Now);
        bool Blames = m_Mutant != Mutant::BlameNobody;
        perform(To, To.m_Lifecycle->engineCrashed(
                        Id, Lost, Blames ? std::span(Running) : std::span<const SuspectKey>(), Own,
                        m_Now));
      });
    });
  }
}

SuspectKey SimulatedDeployment::suspectKey(const Operation &Of) const {
  return {Of.m_Account, sha256("body" + std::to_string(Of.m_Index))};
}

std::string SimulatedDeployment::answerOf(const Operation &Of,
                                          const GenerationId &Generation) const {
  std::string Text;
  for (int Line = 0; Line < 4; ++Line)
    Text += Generation.str() + " answers operation " + std::to_string(Of.m_Index) + " line " +
            std::to_string(Line) + "\n";
  return Text;
}

void SimulatedDeployment::issue(std::size_t OperationIndex) {
  Operation &Of = m_Operations[OperationIndex];
  if (Of.m_Done || m_Now > TimePoint() + LastIssue || Of.m_TriesLeft-- <= 0)
    return;
  std::size_t E = uniformBelow(m_Random, EntryCount);
  if (!m_Entries[E]->m_Alive) {
    ++Of.m_TriesLeft;
    post(200ms, [this, OperationIndex] { issue(OperationIndex); });
    return;
  }
  std::string Request = "request" + std::to_string(m_Result.m_Requests++);
  m_Calls[Request] = {OperationIndex, E, m_Entries[E]->m_Epoch, 0, false, false, false, false, ""};
  toEntry(
      E, 3 * latency(),
      [this, Request, OperationIndex](Entry &On) {
        Call &Made = m_Calls.at(Request);
        if (Made.m_Gone)
          return;
        Made.m_Arrived = true;
        const Operation &Wanted = m_Operations[OperationIndex];
        RequestDescription Description;
        Description.m_Id = RequestId(Request);
        Description.m_Account = Wanted.m_Account;
        Description.m_Service = TheService;
        Description.m_NonIdempotent = Wanted.m_NonIdempotent && m_Mutant != Mutant::NoClaim;
        Description.m_Key = Wanted.m_Key;
        Description.m_BodyDigest = suspectKey(Wanted).m_BodyDigest;
        RequestTerms Terms;
        Terms.m_Deadline = m_Now + RequestDeadline;
        Terms.m_Owner = ownerView(On.m_Owners[Wanted.m_Account]);
        Terms.m_Resumable = true;
        perform(On, On.m_Lifecycle->arrive(Description, Terms, m_Now));
      },
      m_Entries[E]->m_Epoch);
  if (chance(m_Random, 0.05))
    toEntry(E, 50ms + latency() * 20, [this, Request](Entry &On) {
      Call &Made = m_Calls.at(Request);
      if (!Made.m_Arrived || Made.m_Outcomes > 0)
        return;
      perform(On, On.m_Lifecycle->callerLeft(RequestId(Request), m_Now));
    });
}

void SimulatedDeployment::finished(Entry &, const FinishRequest &Told) {
  std::string Request = Told.m_Request.str();
  Call &Made = m_Calls.at(Request);
  const Operation &Of = m_Operations[Made.m_Operation];
  ++m_Result.m_Outcomes[Told.m_Outcome];
  if (++Made.m_Outcomes > 1) {
    ++m_Result.m_WrongOutcomeCount;
    return;
  }
  if (Told.m_Outcome == RequestOutcome::Complete) {
    if (Told.m_Recorded) {
      ++m_Result.m_RepeatsAnswered;
      Made.m_Received = Told.m_Recorded->m_Body;
    }
    if (Made.m_Received != answerOf(Of, GenerationId("old")) &&
        Made.m_Received != answerOf(Of, GenerationId("new")))
      ++m_Result.m_WrongAnswers;
  } else if (Told.m_Outcome == RequestOutcome::NotRun) {
    Made.m_ToldNotRun = true;
    if (Told.m_Error == ErrorKind::TableUnreachable)
      ++m_Result.m_RefusedForTable;
    if (Made.m_Started)
      ++m_Result.m_FalseNotRun;
  } else if (Told.m_Outcome == RequestOutcome::Refused &&
             Told.m_Error == ErrorKind::RequestCrashesUpstreams && !Of.m_Poison) {
    ++m_Result.m_InnocentsBlamed;
  }
  FinishRequest Copy = Told;
  post(latency(), [this, Request, Copy] { callerHears(Request, &Copy); });
}

void SimulatedDeployment::callerHears(const std::string &Request, const FinishRequest *Told) {
  std::size_t Index = m_Calls.at(Request).m_Operation;
  Operation &Of = m_Operations[Index];
  if (Told &&
      (Told->m_Outcome == RequestOutcome::Complete || Told->m_Outcome == RequestOutcome::Refused)) {
    // Some callers lose the answer and repeat all the same, as do those of a poisonous request.
    Of.m_Done = !Of.m_Poison && !(Of.m_NonIdempotent && chance(m_Random, 0.4));
  }
  Of.m_Last = Told ? std::optional(Told->m_Outcome) : std::nullopt;
  Duration After = Told && Told->m_RetryAfter ? *Told->m_RetryAfter : Duration(500ms);
  if (!Of.m_Done)
    post(After, [this, Index] { issue(Index); });
}

RunResult SimulatedDeployment::run() {
  m_Rows[std::string(ClaimEpochRowKey)] = {std::string(ClaimEpochRowKey),
                                           encodeClaimEpoch(FirstEpoch), RowVersion(1)};
  for (std::size_t Account = 0; Account < AccountCount; ++Account) {
    std::string Key = ownerRowKey(TheService, ClientAccountId(accountName(Account)));
    m_Rows[Key] = {Key, Account % 2 == 0 ? "old" : "new", RowVersion(1)};
  }
  m_OldRows = m_Rows;
  for (std::size_t I = 0; I < EntryCount; ++I) {
    m_Entries.push_back(std::make_unique<Entry>());
    m_Entries[I]->m_Index = I;
    m_Entries[I]->m_DataCentre = I % 2;
    m_Entries[I]->m_Id = InstanceId("entry" + std::to_string(I));
  }
  for (std::size_t I = 0; I < AgentCount; ++I) {
    m_Agents.push_back(std::make_unique<Agent>());
    m_Agents[I]->m_Index = I;
    m_Agents[I]->m_Id = InstanceId("agent" + std::to_string(I));
    m_Agents[I]->m_Generation = GenerationId(I % 2 == 0 ? "old" : "new");
    startAgent(I);
  }
  for (std::size_t I = 0; I < EntryCount; ++I)
    startEntry(I);
  m_Operations.resize(OperationCount);
  m_Result.m_Operations = OperationCount;
  for (std::size_t I = 0; I < OperationCount; ++I) {
    Operation &Of = m_Operations[I];
    Of.m_Index = I;
    Of.m_Account = ClientAccountId(accountName(uniformBelow(m_Random, AccountCount)));
    Of.m_Poison = m_Faults.m_Poison && I < 2;
    Of.m_NonIdempotent = !Of.m_Poison && chance(m_Random, 0.65);
    Duration At = 1s + Duration(static_cast<Duration::rep>(uniformBelow(
                           m_Random, static_cast<std::uint64_t>((FaultPeriod - 3s).count()))));
    bool Expires = At < 18s && chance(m_Random, 0.3);
    Of.m_Key = IdempotencyKey(std::to_string(Expires ? FirstEpoch.value() : NextEpoch.value()) +
                              "-k" + std::to_string(I));
    post(At, [this, I] { issue(I); });
    // Callers that send the same request to two entries at once.
    if (Of.m_NonIdempotent && chance(m_Random, 0.2))
      post(At, [this, I] { issue(I); });
    if (Of.m_NonIdempotent && Expires)
      post(22s, [this, I] {
        m_Operations[I].m_Done = false;
        ++m_Operations[I].m_TriesLeft;
        issue(I);
      });
    if (Of.m_NonIdempotent)
      post(QuietBegin, [this, I] {
        m_Operations[I].m_Done = false;
        m_Operations[I].m_TriesLeft = 3;
        issue(I);
      });
  }
  post(20s, [this] { advanceEpoch(); });
  if (m_Faults.m_Handovers)
    for (int I = 0; I < 12; ++I)
      post(2s + 3s * I, [this] { handOver(uniformBelow(m_Random, AccountCount)); });
  injectFault();
  while (!m_Events.empty() && m_Events.top().m_At <= TimePoint() + RunLength) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Run();
  }
  for (const auto &[Id, Made] : m_Calls) {
    const Entry &At = *m_Entries[Made.m_Entry];
    if (Made.m_Arrived && Made.m_Outcomes == 0 && At.m_Alive && At.m_Epoch == Made.m_EntryEpoch)
      ++m_Result.m_WrongOutcomeCount;
  }
  for (const Operation &Of : m_Operations)
    if (Of.m_NonIdempotent && !Of.m_EverDispatched && Of.m_Last == RequestOutcome::Unknown)
      ++m_Result.m_StuckKeys;
  for (const auto &On : m_Entries) {
    int InFlight = 0;
    for (const auto &[Upstream, Count] : On->m_Selector->m_InFlight)
      InFlight += Count;
    m_Result.m_UnbalancedReleases +=
        InFlight != static_cast<int>(On->m_Lifecycle->runningCount()) ? 1 : 0;
    const RequestLifecycle::Counters &Counts = On->m_Lifecycle->counters();
    m_Result.m_FragmentsDropped +=
        Counts.m_LateFragments + Counts.m_DuplicateFragments + Counts.m_OutOfOrderFragments;
    m_Result.m_ResolvedLater += Counts.m_ResolvedLater;
  }
  for (const auto &On : m_Agents)
    m_Result.m_LateCopiesRefused += On->m_Ledger->lateCopiesRefused();
  return m_Result;
}

} // namespace fescuegauge::model
