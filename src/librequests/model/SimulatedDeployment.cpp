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
constexpr Duration TickInterval = 10ms;
constexpr Duration HeartbeatInterval = 500ms;
/// Silence of an agent after which its requests get second attempts, and after which it is lost.
constexpr Duration SilentTime = 2s;
constexpr Duration HeartbeatTimeout = 4s;
constexpr Duration WriteTimeout = 500ms;
constexpr Duration RequestDeadline = 4s;
constexpr Duration FaultPeriod = 40s;
constexpr Duration FinalRetryTime = 50s;
constexpr Duration LastRequestTime = 70s;
constexpr Duration RunLength = 80s;
constexpr std::size_t FragmentBytes = 24;

const ServiceId TestService("pedidos");
const ClaimEpoch FirstEpoch(40);
const ClaimEpoch NextEpoch(50);

Digest bodyDigest(std::size_t Operation) { return sha256("body" + std::to_string(Operation)); }

std::string accountName(std::size_t Index) { return "account" + std::to_string(Index); }
GenerationId otherGeneration(const GenerationId &Generation) {
  return GenerationId(Generation.str() == "old" ? "new" : "old");
}
Digest servedDigest(const GenerationId &Generation) {
  return sha256("model of " + Generation.str());
}

} // namespace

/// An operation that a caller requests, possibly by several requests with the same key.
struct SimulatedDeployment::Operation {
  std::size_t m_Index = 0;
  ClientAccountId m_Account;
  IdempotencyKey m_Key;
  bool m_NonIdempotent = false;
  bool m_Poison = false;
  int m_TriesLeft = 6;
  bool m_IsDone = false;
  bool m_WasDispatched = false;
  int m_Executions = 0;
  std::optional<RequestOutcome> m_LastOutcome;
  std::map<std::size_t, std::uint64_t> m_CrashesByDataCentre;
};

/// A request of a caller to an entry.
struct SimulatedDeployment::Call {
  std::size_t m_Operation = 0;
  std::size_t m_Entry = 0;
  std::uint64_t m_EntryIncarnation = 0;
  int m_Outcomes = 0;
  bool m_HasArrived = false;
  bool m_WasReportedNotRun = false;
  bool m_WasStarted = false;
  bool m_IsDisconnected = false;
  std::string m_Received;
};

/// An attempt on an engine.
struct SimulatedDeployment::Job {
  AttemptId m_Attempt;
  RequestId m_Request;
  std::size_t m_Operation = 0;
  std::size_t m_Entry = 0;
  std::uint64_t m_EntryIncarnation = 0;
  std::uint64_t m_Offset = 0;
  std::optional<Digest> m_RequiredDigest;
  std::size_t m_FragmentCount = 0;
};

struct SimulatedDeployment::Agent {
  std::size_t m_Index = 0;
  InstanceId m_Id;
  GenerationId m_Generation;
  std::uint64_t m_ProcessIncarnation = 0;
  bool m_IsAlive = false;
  TimePoint m_PausedUntil{};
  TimePoint m_EngineDownUntil{};
  std::uint64_t m_EngineIncarnation = 1;
  TimePoint m_NextHeartbeat{};
  std::unique_ptr<AttemptLedger> m_Ledger;
  std::map<AttemptId, Job> m_Jobs;
  std::map<AttemptId, RecordedAnswer> m_Answers;
};

class SimulatedDeployment::Selector : public UpstreamSelector {
public:
  Selector(SimulatedDeployment &Deployment, std::size_t Index)
      : m_Deployment(Deployment), m_Index(Index) {}
  std::optional<InstanceId> select(const UpstreamQuery &Query, TimePoint Now) override;
  void release(const InstanceId &Upstream, const RequestDescription &, bool, TimePoint) override {
    if (--m_InFlight[Upstream] < 0)
      ++m_Deployment.m_Result.m_UnbalancedReleases;
  }
  std::map<InstanceId, int> m_InFlight;

private:
  SimulatedDeployment &m_Deployment;
  std::size_t m_Index;
};

class SimulatedDeployment::Environment : public RequestEnvironment {
public:
  Environment(SimulatedDeployment &Deployment, std::size_t Index)
      : m_Deployment(Deployment), m_Index(Index) {}
  bool takeRetry(const RequestDescription &, TimePoint) override { return m_Retries++ < 40; }
  bool takeHedge(const RequestDescription &, TimePoint) override { return m_Retries++ < 40; }
  GenerationId generationOf(const InstanceId &Upstream) const override;
  Incarnation incarnationOf(const InstanceId &Upstream) const override;

private:
  SimulatedDeployment &m_Deployment;
  std::size_t m_Index;
  int m_Retries = 0;
};

struct SimulatedDeployment::Entry {
  struct Link {
    bool m_IsConnected = false;
    bool m_IsSilent = false;
    TimePoint m_LastHeartbeatAt{};
    std::uint64_t m_Connection = 0;
    Incarnation m_Agent;
  };
  std::size_t m_Index = 0;
  std::size_t m_DataCentre = 0;
  InstanceId m_Id;
  std::uint64_t m_ProcessIncarnation = 0;
  bool m_IsAlive = false;
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
  std::vector<InstanceId> Candidates;
  for (const auto &Upstream : m_Deployment.m_Agents) {
    if (!m_Deployment.m_Entries[m_Index]->m_Links[Upstream->m_Index].m_IsConnected)
      continue;
    if (Query.m_Generation && *Query.m_Generation != Upstream->m_Generation)
      continue;
    if (Query.m_RequiredDigest && *Query.m_RequiredDigest != servedDigest(Upstream->m_Generation))
      continue;
    if (std::find(Query.m_Excluded.begin(), Query.m_Excluded.end(), Upstream->m_Id) ==
        Query.m_Excluded.end())
      Candidates.push_back(Upstream->m_Id);
  }
  if (Candidates.empty())
    return std::nullopt;
  InstanceId Chosen = Candidates[uniformBelow(m_Deployment.m_Random, Candidates.size())];
  ++m_InFlight[Chosen];
  return Chosen;
}

GenerationId SimulatedDeployment::Environment::generationOf(const InstanceId &Upstream) const {
  for (const auto &Known : m_Deployment.m_Agents)
    if (Known->m_Id == Upstream)
      return Known->m_Generation;
  return {};
}

Incarnation SimulatedDeployment::Environment::incarnationOf(const InstanceId &Upstream) const {
  for (const auto &Known : m_Deployment.m_Agents)
    if (Known->m_Id == Upstream)
      return m_Deployment.m_Entries[m_Index]->m_Links[Known->m_Index].m_Agent;
  return {};
}

SimulatedDeployment::SimulatedDeployment(std::uint64_t Seed, Faults Injected, Mutant Variant)
    : m_Random(Seed), m_Faults(Injected), m_Mutant(Variant),
      m_FaultsEnd(TimePoint() + FaultPeriod) {}

SimulatedDeployment::~SimulatedDeployment() = default;

void SimulatedDeployment::post(Duration After, std::function<void()> Callback) {
  m_Events.push({m_Now + After, m_NextSequence++, std::move(Callback)});
}

Duration SimulatedDeployment::latency() {
  return Duration(1000 + static_cast<Duration::rep>(uniformBelow(m_Random, 2000)));
}

void SimulatedDeployment::postToEntry(std::size_t Index, Duration After,
                                      std::function<void(Entry &)> Callback,
                                      std::optional<std::uint64_t> ProcessIncarnation) {
  post(After, [this, Index, Callback = std::move(Callback), ProcessIncarnation] {
    Entry &Receiver = *m_Entries[Index];
    if (!Receiver.m_IsAlive ||
        (ProcessIncarnation && *ProcessIncarnation != Receiver.m_ProcessIncarnation))
      return;
    if (m_Now < Receiver.m_PausedUntil)
      postToEntry(Index, Receiver.m_PausedUntil - m_Now, Callback, Receiver.m_ProcessIncarnation);
    else
      Callback(Receiver);
  });
}

void SimulatedDeployment::postToAgent(std::size_t Index, Duration After,
                                      std::function<void(Agent &)> Callback) {
  std::uint64_t ProcessIncarnation = m_Agents[Index]->m_ProcessIncarnation;
  post(After, [this, Index, Callback = std::move(Callback), ProcessIncarnation] {
    Agent &Receiver = *m_Agents[Index];
    if (!Receiver.m_IsAlive || ProcessIncarnation != Receiver.m_ProcessIncarnation)
      return;
    if (m_Now < Receiver.m_PausedUntil)
      postToAgent(Index, Receiver.m_PausedUntil - m_Now, Callback);
    else
      Callback(Receiver);
  });
}

bool SimulatedDeployment::isCut(std::size_t EntryIndex, std::size_t AgentIndex) const {
  auto Found = m_CutUntil.find({EntryIndex, AgentIndex});
  return Found != m_CutUntil.end() && m_Now < Found->second;
}

void SimulatedDeployment::sendOverLink(std::size_t EntryIndex, std::size_t AgentIndex,
                                       std::function<void()> Deliver) {
  if (isCut(EntryIndex, AgentIndex)) {
    // Half of the messages sent over a cut connection are delivered late, after the cut ends.
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
  Entry &Target = *m_Entries[Index];
  ++Target.m_ProcessIncarnation;
  Target.m_IsAlive = true;
  Target.m_PausedUntil = {};
  std::string Process = Target.m_Id.str() + "~" + std::to_string(Target.m_ProcessIncarnation);
  Target.m_Source = AttemptSourceId(Process);
  Target.m_Links.assign(AgentCount, {});
  Target.m_Owners.clear();
  Target.m_LastAttempt.clear();
  Target.m_NextHeartbeat = m_Now;
  Target.m_NextRefresh = m_Now;
  Target.m_Suspects = std::make_unique<CrashSuspects>();
  Target.m_Selector = std::make_unique<Selector>(*this, Index);
  Target.m_Environment = std::make_unique<Environment>(*this, Index);
  RequestLifecycle::Options Settings;
  Settings.m_Self = Target.m_Id;
  Settings.m_Source = Target.m_Source;
  Settings.m_IsEntryAlive = [this](const InstanceId &Id) {
    return std::any_of(m_Entries.begin(), m_Entries.end(),
                       [&](const auto &Other) { return Other->m_Id == Id && Other->m_IsAlive; });
  };
  Target.m_Lifecycle =
      std::make_unique<RequestLifecycle>(Settings, *Target.m_Selector, *Target.m_Environment,
                                         *Target.m_Suspects, RandomGenerator(m_Random()));
  Target.m_Batcher = std::make_unique<ClaimBatcher>(Process);
  std::vector<InstanceId> Peers;
  for (const auto &Other : m_Entries)
    if (Other->m_DataCentre == Target.m_DataCentre)
      Peers.push_back(Other->m_Id);
  Target.m_Lifecycle->setEntries(Peers);
  for (const auto &Other : m_Entries)
    if (Other->m_Index != Index && Other->m_IsAlive && Other->m_DataCentre == Target.m_DataCentre)
      Target.m_Suspects->merge(Other->m_Suspects->fullUpdate(m_Now), m_Now);
  std::uint64_t ProcessIncarnation = Target.m_ProcessIncarnation;
  post(TickInterval, [this, Index, ProcessIncarnation] {
    if (m_Entries[Index]->m_ProcessIncarnation == ProcessIncarnation)
      tickEntry(Index);
  });
}

void SimulatedDeployment::startAgent(std::size_t Index) {
  Agent &Target = *m_Agents[Index];
  ++Target.m_ProcessIncarnation;
  Target.m_IsAlive = true;
  Target.m_PausedUntil = {};
  Target.m_NextHeartbeat = m_Now;
  Target.m_Ledger = std::make_unique<AttemptLedger>(Incarnation(Target.m_ProcessIncarnation));
  Target.m_Jobs.clear();
  Target.m_Answers.clear();
  ++Target.m_EngineIncarnation;
  std::uint64_t ProcessIncarnation = Target.m_ProcessIncarnation;
  post(TickInterval, [this, Index, ProcessIncarnation] {
    if (m_Agents[Index]->m_ProcessIncarnation == ProcessIncarnation)
      tickAgent(Index);
  });
}

void SimulatedDeployment::tickEntry(std::size_t Index) {
  Entry &Target = *m_Entries[Index];
  if (!Target.m_IsAlive)
    return;
  std::uint64_t ProcessIncarnation = Target.m_ProcessIncarnation;
  Duration Next = std::max(TickInterval, Target.m_PausedUntil - m_Now);
  post(Next, [this, Index, ProcessIncarnation] {
    if (m_Entries[Index]->m_ProcessIncarnation == ProcessIncarnation)
      tickEntry(Index);
  });
  if (m_Now < Target.m_PausedUntil)
    return;
  if (m_Now >= Target.m_NextRefresh) {
    Target.m_NextRefresh = m_Now + 1s;
    if (m_Now >= m_TableDownUntil) {
      for (std::size_t Account = 0; Account < AccountCount; ++Account) {
        ClientAccountId Id(accountName(Account));
        TableRow Row = readRow(ownerRowKey(TestService, Id), true);
        if (Row.m_Position >= Target.m_Owners[Id].m_Position)
          Target.m_Owners[Id] = Row;
      }
      TableRow Oldest = readRow(std::string(ClaimEpochRowKey), true);
      if (m_Mutant == Mutant::NoEpochCondition)
        Oldest = {Oldest.m_Key, encodeClaimEpoch(FirstEpoch), {{}, RowVersion(1)}};
      Target.m_Lifecycle->setEpochRow(Oldest);
    }
    if (const SuspectUpdate Update = Target.m_Suspects->takeUpdate(m_Now); !Update.empty())
      for (const auto &Other : m_Entries)
        if (Other->m_Index != Index && Other->m_DataCentre == Target.m_DataCentre)
          postToEntry(Other->m_Index, latency(), [this, Update](Entry &Receiver) {
            Receiver.m_Suspects->merge(Update, m_Now);
          });
  }
  if (m_Now >= Target.m_NextHeartbeat) {
    Target.m_NextHeartbeat = m_Now + HeartbeatInterval;
    for (const auto &Upstream : m_Agents) {
      std::size_t AgentNumber = Upstream->m_Index;
      Entry::Link &AgentLink = Target.m_Links[AgentNumber];
      if (AgentLink.m_IsConnected && m_Now - AgentLink.m_LastHeartbeatAt > HeartbeatTimeout) {
        AgentLink.m_IsConnected = false;
        if (m_Mutant == Mutant::NotRunOnLoss) {
          for (const auto &[Request, Attempt] : std::map(Target.m_LastAttempt))
            if (m_Agents[AgentNumber]->m_Jobs.contains(Attempt))
              perform(Target, Target.m_Lifecycle->attemptNotSent(Attempt, m_Now));
        }
        perform(Target, Target.m_Lifecycle->upstreamUnreachable(Upstream->m_Id, m_Now));
      }
      bool IsSilent = AgentLink.m_IsConnected && m_Now - AgentLink.m_LastHeartbeatAt > SilentTime;
      if (IsSilent && !AgentLink.m_IsSilent)
        perform(Target, Target.m_Lifecycle->upstreamSilent(Upstream->m_Id, m_Now));
      AgentLink.m_IsSilent = IsSilent;
      AttemptSourceId Source = Target.m_Source;
      if (AgentLink.m_IsConnected) {
        sendOverLink(Index, AgentNumber, [this, AgentNumber, Source] {
          postToAgent(AgentNumber, 0s,
                      [this, Source](Agent &Peer) { Peer.m_Ledger->heartbeat(Source, m_Now); });
        });
        continue;
      }
      std::uint64_t Connection = ++AgentLink.m_Connection;
      std::uint64_t NextNumber = Target.m_Lifecycle->nextAttemptNumber();
      sendOverLink(Index, AgentNumber,
                   [this, AgentNumber, Index, Source, Connection, NextNumber, ProcessIncarnation] {
                     postToAgent(AgentNumber, 0s, [=, this](Agent &Peer) {
                       if (!Peer.m_Ledger->openSource(Source, NextNumber, m_Now))
                         return;
                       Incarnation Process(Peer.m_ProcessIncarnation);
                       sendOverLink(Index, AgentNumber, [=, this] {
                         postToEntry(
                             Index, 0s,
                             [=, this](Entry &Receiver) {
                               Entry::Link &Opened = Receiver.m_Links[AgentNumber];
                               if (Opened.m_Connection != Connection || Opened.m_IsConnected)
                                 return;
                               Opened.m_IsConnected = true;
                               Opened.m_LastHeartbeatAt = m_Now;
                               Opened.m_Agent = Process;
                               perform(Receiver, Receiver.m_Lifecycle->upstreamConnected(
                                                     m_Agents[AgentNumber]->m_Id, m_Now));
                             },
                             ProcessIncarnation);
                       });
                     });
                   });
    }
  }
  perform(Target, Target.m_Lifecycle->onTimer(m_Now));
  perform(Target, Target.m_Batcher->onTimer(m_Now));
  Target.m_Suspects->onTimer(m_Now);
}

void SimulatedDeployment::tickAgent(std::size_t Index) {
  Agent &Target = *m_Agents[Index];
  if (!Target.m_IsAlive)
    return;
  std::uint64_t ProcessIncarnation = Target.m_ProcessIncarnation;
  post(std::max(TickInterval, Target.m_PausedUntil - m_Now), [this, Index, ProcessIncarnation] {
    if (m_Agents[Index]->m_ProcessIncarnation == ProcessIncarnation)
      tickAgent(Index);
  });
  if (m_Now < Target.m_PausedUntil)
    return;
  for (const AttemptId &Id : Target.m_Ledger->onTimer(m_Now))
    Target.m_Jobs.erase(Id);
  if (m_Now < Target.m_NextHeartbeat)
    return;
  Target.m_NextHeartbeat = m_Now + HeartbeatInterval;
  Incarnation Self(Target.m_ProcessIncarnation);
  for (std::size_t EntryNumber = 0; EntryNumber < EntryCount; ++EntryNumber)
    sendOverLink(EntryNumber, Index, [this, EntryNumber, Index, Self] {
      postToEntry(EntryNumber, 0s, [this, Index, Self](Entry &Receiver) {
        if (Receiver.m_Links[Index].m_Agent == Self)
          Receiver.m_Links[Index].m_LastHeartbeatAt = m_Now;
      });
    });
}

void SimulatedDeployment::injectFault() {
  if (m_Now >= m_FaultsEnd)
    return;
  post(Duration(300'000 + static_cast<Duration::rep>(uniformBelow(m_Random, 1'400'000))),
       [this] { injectFault(); });
  auto Length = [&](Duration MinLength, Duration MaxLength) {
    return MinLength + Duration(static_cast<Duration::rep>(uniformBelow(
                           m_Random, static_cast<std::uint64_t>((MaxLength - MinLength).count()))));
  };
  std::size_t EntryNumber = uniformBelow(m_Random, EntryCount);
  std::size_t AgentNumber = uniformBelow(m_Random, AgentCount);
  switch (uniformBelow(m_Random, 8)) {
  case 0:
    if (!m_Faults.m_Kills || !m_Entries[EntryNumber]->m_IsAlive)
      return;
    m_Entries[EntryNumber]->m_IsAlive = false;
    dropClaims(m_Entries[EntryNumber]->m_Id.str());
    for (auto &[Id, CallState] : m_Calls)
      if (CallState.m_Entry == EntryNumber && CallState.m_Outcomes == 0 &&
          !CallState.m_IsDisconnected) {
        CallState.m_IsDisconnected = true;
        std::string Request = Id;
        post(10ms, [this, Request] { handleResponse(Request, nullptr); });
      }
    post(Length(500ms, 3s), [this, EntryNumber] { startEntry(EntryNumber); });
    return;
  case 1:
    if (!m_Faults.m_Kills || !m_Agents[AgentNumber]->m_IsAlive)
      return;
    m_Agents[AgentNumber]->m_IsAlive = false;
    dropClaims(m_Agents[AgentNumber]->m_Id.str());
    post(Length(500ms, 3s), [this, AgentNumber] { startAgent(AgentNumber); });
    return;
  case 2:
    if (m_Faults.m_Pauses)
      m_Entries[EntryNumber]->m_PausedUntil = m_Now + Length(200ms, 5s);
    return;
  case 3:
    if (m_Faults.m_Pauses)
      m_Agents[AgentNumber]->m_PausedUntil = m_Now + Length(200ms, 5s);
    return;
  case 4:
  case 5:
    if (m_Faults.m_Cuts)
      m_CutUntil[{EntryNumber, AgentNumber}] = m_Now + Length(500ms, 6s);
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
  const auto &Rows =
      Stale && m_Now < m_FaultsEnd && chance(m_Random, 0.3) ? m_PreviousRows : m_Rows;
  auto Found = Rows.find(Key);
  return Found == Rows.end() ? TableRow{Key, "", {}} : Found->second;
}

CommitResult SimulatedDeployment::apply(const Transaction &Sent) {
  if (auto Known = m_WriteOutcomes.find(Sent.m_WriteId); Known != m_WriteOutcomes.end())
    return Known->second;
  CommitResult Result;
  Result.m_Status = CommitStatus::Committed;
  for (const RowCondition &Condition : Sent.m_Conditions) {
    TableRow Current = readRow(Condition.m_Key, false);
    if (!Condition.holds(Current)) {
      Result.m_Status = CommitStatus::Conflict;
      Result.m_Conflicts.push_back(Current);
    }
  }
  if (Result.m_Status == CommitStatus::Committed) {
    for (const RowPut &Put : Sent.m_Puts) {
      TableRow &Row = m_Rows[Put.m_Key];
      m_PreviousRows[Put.m_Key] = Row.isAbsent() ? TableRow{Put.m_Key, "", {}} : Row;
      // Versions may increase by more than one, which must cause no errors.
      m_NextRowVersion += 1 + uniformBelow(m_Random, 2);
      Row = {Put.m_Key, Put.m_Value, {{}, RowVersion(m_NextRowVersion)}};
    }
    if (m_Mutant == Mutant::LoseClaimsWithBatcher || m_Mutant == Mutant::UnknownWithBatcher)
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
  auto RemoveConditions = [&](std::string_view Prefix) {
    std::erase_if(Sent.m_Conditions, [&](const RowCondition &Condition) {
      return Condition.m_Key.starts_with(Prefix);
    });
  };
  if (m_Mutant == Mutant::NoClaimCondition)
    RemoveConditions("claim/");
  if (m_Mutant == Mutant::NoOwnerCondition)
    RemoveConditions("owner/");
  if (m_Mutant == Mutant::NoEpochCondition)
    RemoveConditions(ClaimEpochRowKey);
  std::uint64_t ProcessIncarnation = m_Entries[EntryIndex]->m_ProcessIncarnation;
  WriteId Id = Sent.m_WriteId;
  auto SendResult = [=, this](Duration After, CommitResult Result) {
    if (m_Mutant == Mutant::NoReadBack && Result.m_Status == CommitStatus::Unknown)
      Result.m_Status = CommitStatus::Committed;
    if (m_Mutant == Mutant::ReplaceForeignClaim)
      for (TableRow &Row : Result.m_Conflicts)
        if (auto Claim = ClaimRow::decode(Row.m_Value)) {
          Claim->m_State = ClaimState::NotRun;
          Claim->m_Answer.reset();
          Row.m_Value = Claim->encode();
        }
    postToEntry(
        EntryIndex, After,
        [this, Id, Result](Entry &Target) {
          perform(Target, Target.m_Batcher->onCommit(Id, Result, m_Now));
        },
        ProcessIncarnation);
  };
  if (m_Now < m_TableDownUntil) {
    bool IsTimeout = chance(m_Random, 0.3);
    SendResult(IsTimeout ? WriteTimeout : Duration(5ms),
               {IsTimeout ? CommitStatus::Unknown : CommitStatus::Unreachable, {}});
    return;
  }
  Duration RequestDelay = latency() * 2;
  Duration ResponseDelay = latency() * 2;
  if (m_Now < m_TableSlowUntil)
    RequestDelay += Duration(static_cast<Duration::rep>(uniformBelow(m_Random, 1'500'000)));
  bool IsLossy = m_Now < m_TableLossyUntil;
  bool IsRequestLost = IsLossy && chance(m_Random, 0.25);
  bool IsResponseLost = IsLossy && chance(m_Random, 0.35);
  if (IsLossy && chance(m_Random, 0.3))
    RequestDelay += Duration(static_cast<Duration::rep>(uniformBelow(m_Random, 3'000'000)));
  if (RequestDelay + ResponseDelay >= WriteTimeout || IsRequestLost || IsResponseLost)
    SendResult(WriteTimeout, {CommitStatus::Unknown, {}});
  if (IsRequestLost)
    return;
  post(RequestDelay, [=, this, Sent = std::move(Sent)] {
    CommitResult Result = apply(Sent);
    if (RequestDelay + ResponseDelay < WriteTimeout && !IsResponseLost)
      SendResult(ResponseDelay, Result);
  });
}

OwnerView SimulatedDeployment::ownerView(const TableRow &Row) const {
  OwnerView View;
  View.m_Position = Row.m_Position;
  View.m_Generation = GenerationId(Row.m_Value.substr(0, Row.m_Value.find(' ')));
  View.m_Paused = Row.m_Value.ends_with(" paused");
  return View;
}

void SimulatedDeployment::startHandover(std::size_t Account) {
  TableRow Row = readRow(ownerRowKey(TestService, ClientAccountId(accountName(Account))), false);
  OwnerView Owner = ownerView(Row);
  if (Owner.m_Paused)
    return;
  apply({WriteId("operator" + std::to_string(m_NextSequence++)),
         {{Row.m_Key, Row.m_Position}},
         {{Row.m_Key, Owner.m_Generation.str() + " paused"}},
         {}});
  TablePosition Paused = readRow(Row.m_Key, false).m_Position;
  GenerationId FromGeneration = Owner.m_Generation;
  post(200ms, [=, this] { finishHandover(Account, Paused, FromGeneration, 20); });
}

void SimulatedDeployment::finishHandover(std::size_t Account, TablePosition Paused,
                                         GenerationId FromGeneration, int TriesLeft) {
  bool HasOpenClaim = std::any_of(m_Rows.begin(), m_Rows.end(), [&](const auto &Row) {
    if (!Row.first.starts_with("claim/" + accountName(Account) + "/"))
      return false;
    auto Claim = ClaimRow::decode(Row.second.m_Value);
    return Claim && Claim->m_State == ClaimState::Claimed && Claim->m_Generation == FromGeneration;
  });
  if (HasOpenClaim && TriesLeft > 0) {
    post(300ms, [=, this] { finishHandover(Account, Paused, FromGeneration, TriesLeft - 1); });
    return;
  }
  m_Result.m_Handovers += HasOpenClaim ? 0 : 1;
  std::string Key = ownerRowKey(TestService, ClientAccountId(accountName(Account)));
  apply({WriteId("operator" + std::to_string(m_NextSequence++)),
         {{Key, Paused}},
         {{Key, HasOpenClaim ? FromGeneration.str() : otherGeneration(FromGeneration).str()}},
         {}});
}

void SimulatedDeployment::advanceEpoch() {
  std::string Key(ClaimEpochRowKey);
  apply({WriteId("epoch"),
         {{Key, readRow(Key, false).m_Position}},
         {{Key, encodeClaimEpoch(NextEpoch)}},
         {}});
  Transaction Cleanup{WriteId("cleanup"), {}, {}, {}};
  for (const auto &[RowKey, Row] : m_Rows)
    if (isClaimRowDeletable(Row, NextEpoch))
      Cleanup.m_Deletes.push_back(RowKey);
  apply(Cleanup);
}

void SimulatedDeployment::dropClaims(const std::string &Holder) {
  bool IsClaimLost =
      m_Mutant == Mutant::LoseClaimsWithBatcher || m_Mutant == Mutant::LoseClaimsWithAgent;
  for (const auto &[Key, Process] : m_ClaimHolders) {
    auto Row = m_Rows.find(Key);
    if (Process != Holder || Row == m_Rows.end())
      continue;
    auto Claim = ClaimRow::decode(Row->second.m_Value);
    if (IsClaimLost) {
      m_Rows.erase(Row);
    } else if (Claim && Claim->m_State != ClaimState::NotRun) {
      Claim->m_State = ClaimState::Unknown;
      Claim->m_Answer.reset();
      Row->second.m_Value = Claim->encode();
    }
  }
  std::erase_if(m_ClaimHolders, [&](const auto &Holding) { return Holding.second == Holder; });
}

void SimulatedDeployment::perform(Entry &Target, RequestActions Actions) {
  std::size_t Index = Target.m_Index;
  std::uint64_t ProcessIncarnation = Target.m_ProcessIncarnation;
  for (RequestAction &Action : Actions) {
    if (auto *Send = std::get_if<DispatchAttempt>(&Action)) {
      dispatch(Target, *Send);
    } else if (auto *Cancel = std::get_if<CancelAttempt>(&Action)) {
      for (const auto &Upstream : m_Agents)
        if (Upstream->m_Id == Cancel->m_Upstream)
          sendOverLink(Index, Upstream->m_Index,
                       [this, AgentNumber = Upstream->m_Index, Id = Cancel->m_Attempt] {
                         postToAgent(AgentNumber, 0s, [Id](Agent &Receiver) {
                           if (Receiver.m_Ledger->cancel(Id))
                             Receiver.m_Jobs.erase(Id);
                         });
                       });
    } else if (auto *Query = std::get_if<QueryAttempt>(&Action)) {
      for (const auto &Upstream : m_Agents)
        if (Upstream->m_Id == Query->m_Upstream)
          sendOverLink(Index, Upstream->m_Index,
                       [this, Index, ProcessIncarnation, AgentNumber = Upstream->m_Index,
                        Id = Query->m_Attempt] {
                         postToAgent(AgentNumber, 0s, [=, this](Agent &Responder) {
                           AttemptStatement Statement = Responder.m_Ledger->state(Id);
                           std::optional<RecordedAnswer> StoredAnswer;
                           if (auto Found = Responder.m_Answers.find(Id);
                               Found != Responder.m_Answers.end())
                             StoredAnswer = Found->second;
                           sendOverLink(Index, AgentNumber, [=, this] {
                             postToEntry(
                                 Index, 0s,
                                 [=, this](Entry &Receiver) {
                                   perform(Receiver, Receiver.m_Lifecycle->attemptStatement(
                                                         Statement, StoredAnswer, m_Now));
                                 },
                                 ProcessIncarnation);
                           });
                         });
                       });
    } else if (auto *Fragment = std::get_if<DeliverFragment>(&Action)) {
      Call &Receiver = m_Calls.at(Fragment->m_Request.str());
      if (Fragment->m_Offset != Receiver.m_Received.size())
        ++m_Result.m_WrongAnswers;
      Receiver.m_Received += Fragment->m_Data;
    } else if (auto *Response = std::get_if<FinishRequest>(&Action)) {
      recordOutcome(Target, *Response);
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
            postToEntry(Other->m_Index, latency(),
                        [this, Index, Sent = Write->m_Write](Entry &Receiver) {
                          perform(Receiver,
                                  Receiver.m_Batcher->submit(m_Entries[Index]->m_Id, Sent, m_Now));
                        });
    } else if (auto *Read = std::get_if<ReadTableRow>(&Action)) {
      if (m_Now < m_TableDownUntil)
        continue;
      TableRow Row = readRow(Read->m_Key, true);
      postToEntry(
          Index, latency() * 4,
          [this, Row](Entry &Receiver) {
            perform(Receiver, Receiver.m_Lifecycle->rowRead(Row.m_Key, Row, m_Now));
          },
          ProcessIncarnation);
    } else if (auto *OwnerUpdate = std::get_if<UpdateOwnerRow>(&Action)) {
      for (std::size_t Account = 0; Account < AccountCount; ++Account) {
        ClientAccountId Id(accountName(Account));
        if (ownerRowKey(TestService, Id) == OwnerUpdate->m_Row.m_Key &&
            OwnerUpdate->m_Row.m_Position >= Target.m_Owners[Id].m_Position)
          Target.m_Owners[Id] = OwnerUpdate->m_Row;
      }
    }
  }
}

void SimulatedDeployment::perform(Entry &Target, ClaimBatcherActions Actions) {
  for (Transaction &Sent : Actions.m_Commits)
    commit(Target.m_Index, std::move(Sent));
  for (ClaimBatcherActions::Answer &Reply : Actions.m_Answers) {
    if (m_Faults.m_Messages && chance(m_Random, 0.01))
      continue;
    for (const auto &Other : m_Entries)
      if (Other->m_Id == Reply.m_To)
        postToEntry(Other->m_Index, latency(), [this, Result = Reply.m_Result](Entry &Receiver) {
          perform(Receiver, Receiver.m_Lifecycle->claimWriteResult(Result, m_Now));
        });
  }
}

void SimulatedDeployment::dispatch(Entry &Target, const DispatchAttempt &Action) {
  const Call &CallState = m_Calls.at(Action.m_Request.str());
  Operation &Op = m_Operations[CallState.m_Operation];
  Op.m_WasDispatched = true;
  Target.m_LastAttempt[Action.m_Request] = Action.m_Attempt;
  for (const auto &Upstream : m_Agents) {
    if (Upstream->m_Id != Action.m_Upstream)
      continue;
    if (Op.m_NonIdempotent &&
        ownerView(readRow(ownerRowKey(TestService, Op.m_Account), false)).m_Generation !=
            Upstream->m_Generation)
      ++m_Result.m_WrongGenerationDispatches;
    Job Work{Action.m_Attempt,
             Action.m_Request,
             CallState.m_Operation,
             Target.m_Index,
             Target.m_ProcessIncarnation,
             Action.m_ResumeOffset,
             Action.m_RequiredDigest};
    if (m_Mutant == Mutant::LoseClaimsWithAgent || m_Mutant == Mutant::UnknownWithAgent)
      m_ClaimHolders[claimRowKey(Op.m_Account, Op.m_Key)] = Upstream->m_Id.str();
    std::uint64_t AgentIncarnation = Target.m_Links[Upstream->m_Index].m_Agent.value();
    sendOverLink(Target.m_Index, Upstream->m_Index,
                 [this, AgentNumber = Upstream->m_Index, Work, AgentIncarnation] {
                   // A connection is bound to one process of the agent.
                   if (m_Agents[AgentNumber]->m_ProcessIncarnation == AgentIncarnation)
                     postToAgent(AgentNumber, 0s, [this, Work](Agent &Receiver) {
                       handleAttempt(Receiver, Work.m_Entry, Work.m_EntryIncarnation, Work);
                     });
                 });
  }
}

void SimulatedDeployment::handleAttempt(Agent &Target, std::size_t EntryIndex,
                                        std::uint64_t EntryIncarnation, Job Work) {
  std::optional<ErrorKind> Refusal;
  if (m_Now < Target.m_EngineDownUntil ||
      (Work.m_RequiredDigest && *Work.m_RequiredDigest != servedDigest(Target.m_Generation)))
    Refusal = ErrorKind::NotReady;
  else if (chance(m_Random, 0.03))
    Refusal = ErrorKind::Draining;
  AttemptLedger::Decision Decision = Target.m_Ledger->arrive(Work.m_Attempt, Refusal, m_Now);
  bool MayRun = Decision.m_Verdict == AttemptLedger::Verdict::Run;
  if (MayRun || m_Mutant == Mutant::RunLateCopies) {
    AttemptId Id = Work.m_Attempt;
    Target.m_Jobs[Id] = std::move(Work);
    postToAgent(Target.m_Index, latency(), [this, Id](Agent &Receiver) { startJob(Receiver, Id); });
  } else if (Decision.m_Verdict == AttemptLedger::Verdict::Refuse) {
    AttemptStatement Statement = Target.m_Ledger->state(Work.m_Attempt);
    sendOverLink(EntryIndex, Target.m_Index, [=, this] {
      postToEntry(
          EntryIndex, 0s,
          [=, this](Entry &Receiver) {
            perform(Receiver,
                    Receiver.m_Lifecycle->attemptRefused(Statement, Decision.m_Reason, m_Now));
          },
          EntryIncarnation);
    });
  }
}

void SimulatedDeployment::startJob(Agent &Target, const AttemptId &Id) {
  auto Found = Target.m_Jobs.find(Id);
  bool Allowed = m_Mutant == Mutant::RunLateCopies || Target.m_Ledger->start(Id);
  if (Found == Target.m_Jobs.end() || !Allowed)
    return;
  const Job &Work = Found->second;
  Operation &Op = m_Operations[Work.m_Operation];
  Call &CallState = m_Calls.at(Work.m_Request.str());
  if (!m_StartedAttempts.insert(Id).second)
    ++m_Result.m_AttemptsRunTwice;
  CallState.m_WasStarted = true;
  if (CallState.m_WasReportedNotRun)
    ++m_Result.m_FalseNotRun;
  ++Op.m_Executions;
  if (Op.m_NonIdempotent && Op.m_Executions > 1)
    ++m_Result.m_Duplicates;
  if (Op.m_Poison) {
    std::uint64_t &Crashes = Op.m_CrashesByDataCentre[m_Entries[Work.m_Entry]->m_DataCentre];
    m_Result.m_MaxCrashesPerRequest = std::max(m_Result.m_MaxCrashesPerRequest, ++Crashes);
    postToAgent(Target.m_Index, 20ms, [this](Agent &Receiver) { crashEngine(Receiver); });
    return;
  }
  streamAnswer(Target, Id, Target.m_EngineIncarnation);
}

void SimulatedDeployment::streamAnswer(Agent &Target, const AttemptId &Id,
                                       std::uint64_t EngineIncarnation) {
  auto Found = Target.m_Jobs.find(Id);
  if (Found == Target.m_Jobs.end() || Target.m_EngineIncarnation != EngineIncarnation)
    return;
  Job &Work = Found->second;
  std::size_t EntryNumber = Work.m_Entry;
  auto Send = [&](std::function<void(Entry &)> Callback) {
    sendOverLink(EntryNumber, Target.m_Index,
                 [this, EntryNumber, ProcessIncarnation = Work.m_EntryIncarnation,
                  Callback = std::move(Callback)] {
                   postToEntry(EntryNumber, 0s, Callback, ProcessIncarnation);
                 });
  };
  if (m_Faults.m_Messages && chance(m_Random, 0.01)) {
    Target.m_Ledger->end(Id, false);
    Send([this, Id](Entry &Receiver) {
      perform(Receiver, Receiver.m_Lifecycle->attemptFailed(Id, m_Now));
    });
    Target.m_Jobs.erase(Found);
    return;
  }
  std::string FullAnswer = answerOf(m_Operations[Work.m_Operation], Target.m_Generation);
  if (Work.m_Offset < FullAnswer.size()) {
    std::string Data = FullAnswer.substr(Work.m_Offset, FragmentBytes);
    Digest Served = servedDigest(Target.m_Generation);
    Send([this, Id, Request = Work.m_Request, Offset = Work.m_Offset, Data,
          Served](Entry &Receiver) {
      std::uint64_t DeliveredOffset =
          m_Mutant == Mutant::IgnoreOffset ? m_Calls.at(Request.str()).m_Received.size() : Offset;
      perform(Receiver,
              Receiver.m_Lifecycle->fragment(
                  {Id, Request, DeliveredOffset, Data, Served, 200, "text/plain"}, m_Now));
    });
    Work.m_Offset += Data.size();
    ++Work.m_FragmentCount;
    postToAgent(Target.m_Index, 15ms, [this, Id, EngineIncarnation](Agent &Receiver) {
      streamAnswer(Receiver, Id, EngineIncarnation);
    });
    return;
  }
  Target.m_Ledger->end(Id, true);
  if (m_Operations[Work.m_Operation].m_NonIdempotent)
    Target.m_Answers[Id] = {200, "text/plain", FullAnswer, false};
  Send([this, Id, Request = Work.m_Request, Total = FullAnswer.size()](Entry &Receiver) {
    if (m_Mutant == Mutant::IgnoreOffset)
      perform(Receiver,
              Receiver.m_Lifecycle->attemptEnded(
                  {Id, Request, m_Calls.at(Request.str()).m_Received.size(), 200, "text/plain"},
                  m_Now));
    perform(Receiver,
            Receiver.m_Lifecycle->attemptEnded({Id, Request, Total, 200, "text/plain"}, m_Now));
  });
  Target.m_Jobs.erase(Id);
}

void SimulatedDeployment::crashEngine(Agent &Target) {
  Incarnation Crash(++Target.m_EngineIncarnation);
  Target.m_EngineDownUntil = m_Now + 1s;
  std::map<AttemptId, Job> Jobs = std::move(Target.m_Jobs);
  Target.m_Jobs.clear();
  std::vector<AttemptStatement> Ended = Target.m_Ledger->engineLost();
  std::vector<SuspectRequest> Running;
  for (const AttemptStatement &Statement : Ended)
    if (auto Found = Jobs.find(Statement.m_Attempt);
        Found != Jobs.end() && Statement.m_State == AttemptState::Failed &&
        (Found->second.m_FragmentCount < CrashSuspects::EventsToBegin ||
         m_Mutant == Mutant::QuarantineAll))
      Running.push_back(suspectOf(m_Operations[Found->second.m_Operation]));
  for (std::size_t EntryNumber = 0; EntryNumber < EntryCount; ++EntryNumber) {
    std::vector<AttemptStatement> EndedHere;
    for (const AttemptStatement &Statement : Ended)
      if (AttemptNumber::parse(Statement.m_Attempt)->m_Source == m_Entries[EntryNumber]->m_Source)
        EndedHere.push_back(Statement);
    sendOverLink(EntryNumber, Target.m_Index, [=, this, Id = Target.m_Id] {
      postToEntry(EntryNumber, 0s, [=, this](Entry &Receiver) {
        if (m_Mutant == Mutant::QuarantineAll)
          for (std::size_t I = 0; I < Running.size(); ++I)
            for (std::uint64_t FakeCrash = 1; FakeCrash <= 2; ++FakeCrash)
              Receiver.m_Suspects->recordCrash(
                  {Id, Incarnation(Crash.value() * 1000 + 2 * I + FakeCrash)},
                  std::span(&Running[I], 1), m_Now, m_Now);
        bool IsQuarantineEnabled = m_Mutant != Mutant::QuarantineNone;
        perform(Receiver,
                Receiver.m_Lifecycle->engineCrashed(
                    Id, Crash,
                    IsQuarantineEnabled ? std::span(Running) : std::span<const SuspectRequest>(),
                    EndedHere, m_Now));
      });
    });
  }
}

SuspectRequest SimulatedDeployment::suspectOf(const Operation &Op) const {
  return makeSuspectRequest(Op.m_Account, bodyDigest(Op.m_Index), {});
}

std::string SimulatedDeployment::answerOf(const Operation &Op,
                                          const GenerationId &Generation) const {
  std::string Text;
  for (int Line = 0; Line < 4; ++Line)
    Text += Generation.str() + " answers operation " + std::to_string(Op.m_Index) + " line " +
            std::to_string(Line) + "\n";
  return Text;
}

void SimulatedDeployment::sendRequest(std::size_t OperationIndex) {
  Operation &Op = m_Operations[OperationIndex];
  if (Op.m_IsDone || m_Now > TimePoint() + LastRequestTime || Op.m_TriesLeft-- <= 0)
    return;
  std::size_t EntryNumber = uniformBelow(m_Random, EntryCount);
  if (!m_Entries[EntryNumber]->m_IsAlive) {
    ++Op.m_TriesLeft;
    post(200ms, [this, OperationIndex] { sendRequest(OperationIndex); });
    return;
  }
  std::string Request = "request" + std::to_string(m_Result.m_Requests++);
  m_Calls[Request] = {OperationIndex,
                      EntryNumber,
                      m_Entries[EntryNumber]->m_ProcessIncarnation,
                      0,
                      false,
                      false,
                      false,
                      false,
                      ""};
  postToEntry(
      EntryNumber, 3 * latency(),
      [this, Request, OperationIndex](Entry &Target) {
        Call &CallState = m_Calls.at(Request);
        if (CallState.m_IsDisconnected)
          return;
        CallState.m_HasArrived = true;
        const Operation &Wanted = m_Operations[OperationIndex];
        RequestDescription Description;
        Description.m_Id = RequestId(Request);
        Description.m_Account = Wanted.m_Account;
        Description.m_Service = TestService;
        Description.m_NonIdempotent = Wanted.m_NonIdempotent && m_Mutant != Mutant::NoClaim;
        Description.m_Key = Wanted.m_Key;
        Description.m_BodyDigest = bodyDigest(Wanted.m_Index);
        RequestConstraints Constraints;
        Constraints.m_Deadline = m_Now + RequestDeadline;
        Constraints.m_Owner = ownerView(Target.m_Owners[Wanted.m_Account]);
        Constraints.m_Resumable = true;
        perform(Target, Target.m_Lifecycle->arrive(Description, Constraints, m_Now));
      },
      m_Entries[EntryNumber]->m_ProcessIncarnation);
  if (chance(m_Random, 0.05))
    postToEntry(EntryNumber, 50ms + latency() * 20, [this, Request](Entry &Target) {
      Call &CallState = m_Calls.at(Request);
      if (!CallState.m_HasArrived || CallState.m_Outcomes > 0)
        return;
      perform(Target, Target.m_Lifecycle->callerDisconnected(RequestId(Request), m_Now));
    });
}

void SimulatedDeployment::recordOutcome(Entry &, const FinishRequest &Response) {
  std::string Request = Response.m_Request.str();
  Call &CallState = m_Calls.at(Request);
  const Operation &Op = m_Operations[CallState.m_Operation];
  ++m_Result.m_Outcomes[Response.m_Outcome];
  if (++CallState.m_Outcomes > 1) {
    ++m_Result.m_WrongOutcomeCount;
    return;
  }
  if (Response.m_Outcome == RequestOutcome::Complete) {
    if (Response.m_Recorded) {
      ++m_Result.m_RepeatsAnswered;
      CallState.m_Received = Response.m_Recorded->m_Body;
    }
    if (CallState.m_Received != answerOf(Op, GenerationId("old")) &&
        CallState.m_Received != answerOf(Op, GenerationId("new")))
      ++m_Result.m_WrongAnswers;
  } else if (Response.m_Outcome == RequestOutcome::NotRun) {
    CallState.m_WasReportedNotRun = true;
    if (Response.m_Error == ErrorKind::TableUnreachable)
      ++m_Result.m_RefusedForTable;
    if (CallState.m_WasStarted)
      ++m_Result.m_FalseNotRun;
  } else if (Response.m_Outcome == RequestOutcome::Refused &&
             Response.m_Error == ErrorKind::RequestCrashesUpstreams && !Op.m_Poison) {
    ++m_Result.m_FalseQuarantines;
  }
  FinishRequest Copy = Response;
  post(latency(), [this, Request, Copy] { handleResponse(Request, &Copy); });
}

void SimulatedDeployment::handleResponse(const std::string &Request,
                                         const FinishRequest *Response) {
  std::size_t Index = m_Calls.at(Request).m_Operation;
  Operation &Op = m_Operations[Index];
  if (Response && (Response->m_Outcome == RequestOutcome::Complete ||
                   Response->m_Outcome == RequestOutcome::Refused)) {
    // Some callers lose the answer and repeat the request; callers of a poison request always do.
    Op.m_IsDone = !Op.m_Poison && !(Op.m_NonIdempotent && chance(m_Random, 0.4));
  }
  Op.m_LastOutcome = Response ? std::optional(Response->m_Outcome) : std::nullopt;
  Duration After = Response && Response->m_RetryAfter ? *Response->m_RetryAfter : Duration(500ms);
  if (!Op.m_IsDone)
    post(After, [this, Index] { sendRequest(Index); });
}

RunResult SimulatedDeployment::run() {
  m_Rows[std::string(ClaimEpochRowKey)] = {
      std::string(ClaimEpochRowKey), encodeClaimEpoch(FirstEpoch), {{}, RowVersion(1)}};
  for (std::size_t Account = 0; Account < AccountCount; ++Account) {
    std::string Key = ownerRowKey(TestService, ClientAccountId(accountName(Account)));
    m_Rows[Key] = {Key, Account % 2 == 0 ? "old" : "new", {{}, RowVersion(1)}};
  }
  m_PreviousRows = m_Rows;
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
    Operation &Op = m_Operations[I];
    Op.m_Index = I;
    Op.m_Account = ClientAccountId(accountName(uniformBelow(m_Random, AccountCount)));
    Op.m_Poison = m_Faults.m_Poison && I < 2;
    Op.m_NonIdempotent = !Op.m_Poison && chance(m_Random, 0.65);
    Duration StartAt = 1s + Duration(static_cast<Duration::rep>(uniformBelow(
                                m_Random, static_cast<std::uint64_t>((FaultPeriod - 3s).count()))));
    bool IsExpiring = StartAt < 18s && chance(m_Random, 0.3);
    Op.m_Key = IdempotencyKey(std::to_string(IsExpiring ? FirstEpoch.value() : NextEpoch.value()) +
                              "-k" + std::to_string(I));
    post(StartAt, [this, I] { sendRequest(I); });
    // Some callers send the same request to two entries at the same time.
    if (Op.m_NonIdempotent && chance(m_Random, 0.2))
      post(StartAt, [this, I] { sendRequest(I); });
    if (Op.m_NonIdempotent && IsExpiring)
      post(22s, [this, I] {
        m_Operations[I].m_IsDone = false;
        ++m_Operations[I].m_TriesLeft;
        sendRequest(I);
      });
    if (Op.m_NonIdempotent)
      post(FinalRetryTime, [this, I] {
        m_Operations[I].m_IsDone = false;
        m_Operations[I].m_TriesLeft = 3;
        sendRequest(I);
      });
  }
  post(20s, [this] { advanceEpoch(); });
  if (m_Faults.m_Handovers)
    for (int I = 0; I < 12; ++I)
      post(2s + 3s * I, [this] { startHandover(uniformBelow(m_Random, AccountCount)); });
  injectFault();
  while (!m_Events.empty() && m_Events.top().m_At <= TimePoint() + RunLength) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Callback();
  }
  for (const auto &[Id, CallState] : m_Calls) {
    const Entry &Serving = *m_Entries[CallState.m_Entry];
    if (CallState.m_HasArrived && CallState.m_Outcomes == 0 && Serving.m_IsAlive &&
        Serving.m_ProcessIncarnation == CallState.m_EntryIncarnation)
      ++m_Result.m_WrongOutcomeCount;
  }
  for (const Operation &Op : m_Operations)
    if (Op.m_NonIdempotent && !Op.m_WasDispatched && Op.m_LastOutcome == RequestOutcome::Unknown)
      ++m_Result.m_UnresolvedKeys;
  for (const auto &Target : m_Entries) {
    int InFlight = 0;
    for (const auto &[Upstream, Count] : Target->m_Selector->m_InFlight)
      InFlight += Count;
    m_Result.m_UnbalancedReleases +=
        InFlight != static_cast<int>(Target->m_Lifecycle->runningCount()) ? 1 : 0;
    const RequestLifecycle::Counters &Counts = Target->m_Lifecycle->counters();
    m_Result.m_FragmentsDropped +=
        Counts.m_LateFragments + Counts.m_DuplicateFragments + Counts.m_OutOfOrderFragments;
    m_Result.m_ResolvedLater += Counts.m_ResolvedLater;
    m_Result.m_SecondAttempts += Counts.m_SecondAttempts;
  }
  for (const auto &Target : m_Agents)
    m_Result.m_LateCopiesRefused += Target->m_Ledger->lateCopiesRefused();
  return m_Result;
}

} // namespace fescuegauge::model
