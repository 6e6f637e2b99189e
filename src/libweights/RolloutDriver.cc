#include "RolloutDriver.h"

#include <algorithm>

namespace fescuegauge::driver {

using namespace std::chrono_literals;

namespace {

Invariant ServedComplete("driver.loaded_version_is_complete");
Invariant OriginWithinBudget("driver.origin_bytes_within_four_copies");
Invariant OriginWithinGrants("driver.origin_bytes_within_granted_row");
Invariant NoReversal("driver.live_version_never_goes_back");
Invariant NoOldCommand("driver.no_older_load_after_newer");
Invariant RoutedServed("driver.routed_version_is_served");
Invariant StagingBounded("driver.staging_within_capacity");
Invariant NoInterruption("driver.no_load_during_answers");
Invariant EnoughServing("driver.enough_upstreams_keep_serving");
Invariant OldTransferStopped("driver.old_transfer_stopped");

constexpr Duration FailureDetectionTime = 4s;
constexpr Duration DeadRecordRetention = 60s;

Digest corrupted(const Digest &Original) { return sha256("altered " + Original.hex()); }

} // namespace

Driver::Driver(DriverSettings Settings)
    : m_Settings(std::move(Settings)), m_Network(m_Queue, m_Settings.m_Rates),
      m_Random(m_Settings.m_Seed) {
  std::vector<std::string> Regions;
  for (const Site &Each : m_Settings.m_Sites) {
    auto It = std::find(Regions.begin(), Regions.end(), Each.m_Region);
    m_RegionOfSite.push_back(static_cast<std::size_t>(It - Regions.begin()));
    if (It == Regions.end())
      Regions.push_back(Each.m_Region);
  }
  m_SiteSizes.resize(m_Settings.m_Sites.size());
  m_Snapshots.resize(m_Settings.m_Sites.size());
  m_ControlBytesSince = m_Queue.now();
  for (std::size_t I = 0; I < m_Settings.m_Instances; ++I) {
    const std::size_t SiteIndex = I % m_Settings.m_Sites.size();
    ++m_SiteSizes[SiteIndex];
    startAgent(addEngine(SiteIndex));
  }
  takeSnapshots();
}

const Manifest &Driver::manifest(std::uint64_t Version) const {
  auto It = m_Manifests.find(Version);
  if (It != m_Manifests.end())
    return It->second;
  std::vector<ChunkRef> Chunks;
  for (std::size_t I = 0; I < m_Settings.m_Chunks; ++I) {
    // The last chunk is shorter, as in most models.
    Bytes Size = I + 1 == m_Settings.m_Chunks ? Bytes(m_Settings.m_ChunkSize.count() / 2)
                                              : m_Settings.m_ChunkSize;
    std::string Owner =
        m_Settings.m_SharedChunks && I % 4 == 0 ? "shared" : std::to_string(Version);
    Chunks.push_back({sha256(Owner + '/' + std::to_string(I)), Size});
  }
  return m_Manifests.emplace(Version, Manifest(std::move(Chunks))).first->second;
}

const std::unordered_set<Digest> &Driver::digestsOf(std::uint64_t Version) const {
  std::unordered_set<Digest> &Result = m_Digests[Version];
  if (Result.empty())
    for (const ChunkRef &Chunk : manifest(Version).chunks())
      Result.insert(Chunk.m_Digest);
  return Result;
}

std::size_t Driver::addEngine(std::size_t SiteIndex) {
  Engine Added;
  Added.m_Site = SiteIndex;
  Added.m_Node = m_Network.addNode(m_RegionOfSite[SiteIndex]);
  Added.m_ChecksToken = m_Engines.size() % 2 == 0;
  m_Engines.push_back(std::move(Added));
  return m_Engines.size() - 1;
}

std::size_t Driver::startAgent(std::size_t EngineIndex) {
  Engine &AgentEngine = m_Engines[EngineIndex];
  const Site &Place = m_Settings.m_Sites[AgentEngine.m_Site];
  const std::size_t Index = m_Agents.size();
  Agent &Added = m_Agents.emplace_back();
  Added.m_Engine = EngineIndex;
  Added.m_Record.m_Id = InstanceId("runner-" + std::to_string(EngineIndex));
  Added.m_Record.m_State = InstanceState::Joining;
  Added.m_Record.m_Incarnation = Incarnation(Index + 1);
  Added.m_Record.m_DataCentre = DataCentreId(Place.m_DataCentre);
  Added.m_Record.m_Region = RegionId(Place.m_Region);
  Added.m_Record.m_Service = ServiceId("asistente");
  Added.m_Record.m_Capacity = 1;
  Added.m_LastSeenBySite.assign(m_Settings.m_Sites.size(), m_Queue.now());
  Added.m_ViewLag = Duration(static_cast<Duration::rep>(uniformBelow(m_Random, 2'000'000)));
  Added.m_Started = m_Queue.now();
  RolloutAgentSettings Options;
  Options.m_Self = Added.m_Record;
  Options.m_OriginRegion = RegionId(m_Settings.m_Sites.front().m_Region);
  Options.m_StagingCapacity = Bytes(versionSize().count() * 9 / 4);
  Options.m_Seed = m_Random();
  Options.m_LastServed = AgentEngine.m_LiveRoot;
  Options.m_TransferRules = m_Settings.m_TransferRules;
  Options.m_BudgetRules = m_Settings.m_BudgetRules;
  Options.m_StagingRules = m_Settings.m_StagingRules;
  Options.m_ActivationRules = m_Settings.m_ActivationRules;
  Options.m_ReplacementRules = m_Settings.m_ReplacementRules;
  Options.m_AgentRules = m_Settings.m_AgentRules;
  Added.m_Policy = std::make_unique<RolloutAgent>(Options);
  Added.m_Policy->setLinkBudget(
      {m_Settings.m_Rates.m_Instance,
       BytesPerSecond(m_Settings.m_Rates.m_Region.rate() * m_Settings.m_TransferRate),
       m_Settings.m_Rates.m_Origin});
  AgentEngine.m_Agent = Index;
  m_AgentById[Added.m_Record.m_Id] = Index;
  m_Queue.after(Duration(static_cast<Duration::rep>(uniformBelow(m_Random, 500'000))),
                [this, Index] { tick(Index); });
  return Index;
}

TransferOrder Driver::orderOf(ChangeNumber Number) const {
  const Change &Issued = m_Changes.at(Number.value() - 1);
  return {manifest(Issued.m_Version), Number, Issued.m_Rollout, m_Settings.m_Preference};
}

ChangeNumber Driver::issue(std::uint64_t Version) {
  ChangeNumber Number(m_Changes.size() + 1);
  for (Agent &Each : m_Agents)
    Each.m_ControlBytes = 0;
  m_ControlBytesSince = m_Queue.now();
  m_Changes.push_back({Version, RolloutId("r" + std::to_string(Number.value())), m_Queue.now()});
  return Number;
}

void Driver::startServing(std::uint64_t Version) {
  ChangeNumber Number = issue(Version);
  const Manifest &Served = manifest(Version);
  for (Engine &Each : m_Engines) {
    for (const ChunkRef &Chunk : Served.chunks()) {
      Each.m_Staging[Chunk.m_Digest] = Chunk.m_Digest;
      Each.m_Sizes[Chunk.m_Digest] = Chunk.m_Size;
    }
    Each.m_Used = Served.totalSize();
    Each.m_Served = Each.m_LiveRoot = Served.rootDigest();
    Each.m_Token = Each.m_HighestToken = FencingToken(Number.value());
    Each.m_LiveChange = Number;
  }
  for (std::size_t I = 0; I < m_Agents.size(); ++I)
    adoptNewestChange(I);
}

void Driver::join(std::size_t SiteIndex) { startAgent(addEngine(SiteIndex)); }

void Driver::fillStaging() {
  const Bytes Capacity(versionSize().count() * 9 / 4);
  for (Engine &Each : m_Engines)
    for (int I = 0; Each.m_Used + m_Settings.m_ChunkSize <= Capacity; ++I) {
      const Digest Chunk = sha256("stray " + std::to_string(I));
      Each.m_Staging[Chunk] = Chunk;
      Each.m_Sizes[Chunk] = m_Settings.m_ChunkSize;
      Each.m_Used += m_Settings.m_ChunkSize;
    }
}

std::size_t Driver::servingCount() const {
  return static_cast<std::size_t>(
      std::count_if(m_Agents.begin(), m_Agents.end(), [](const Agent &Each) {
        return Each.m_Alive && !Each.m_Policy->routableRoot().isZero();
      }));
}

bool Driver::isBlocked(std::size_t LeftSite, std::size_t RightSite) const {
  return m_BlockedSitePairs.contains(std::minmax({LeftSite, RightSite}));
}

bool Driver::isPlatformReachable(std::size_t SiteIndex) const {
  if (!isPlatformBlocked(SiteIndex))
    return true;
  for (std::size_t I = 0; I < m_Settings.m_Sites.size(); ++I)
    if (I != SiteIndex && !isPlatformBlocked(I) && !isBlocked(SiteIndex, I))
      return true;
  return false;
}

std::uint32_t Driver::minServing(std::size_t SiteIndex) const {
  return static_cast<std::uint32_t>(static_cast<double>(m_SiteSizes[SiteIndex]) *
                                    m_Settings.m_MinServingShare);
}

void Driver::adoptNewestChange(std::size_t Index) {
  Agent &ThisAgent = m_Agents[Index];
  ChangeNumber Newest(m_Changes.size());
  ThisAgent.m_AdoptedChange = Newest;
  ThisAgent.m_Policy->setTarget(orderOf(Newest), m_Queue.now());
  poll(Index);
  const std::unordered_set<Digest> &Wanted = digestsOf(m_Changes.back().m_Version);
  if (ThisAgent.m_Policy->planner().change() == Newest)
    checkInvariant(OldTransferStopped,
                   std::all_of(ThisAgent.m_Fetching.begin(), ThisAgent.m_Fetching.end(),
                               [&](const auto &Fetch) { return Wanted.contains(Fetch.second); }),
                   ThisAgent.m_Record.m_Id.str());
}

void Driver::tick(std::size_t Index) {
  Agent &ThisAgent = m_Agents[Index];
  if (!ThisAgent.m_Alive)
    return;
  const TimePoint Now = m_Queue.now();
  m_Queue.after(Tick, [this, Index] { tick(Index); });
  if (!isRunning(ThisAgent))
    return;
  if (ThisAgent.m_Superseded && Now - ThisAgent.m_PausedUntil > 5s) {
    // The process has learned that its instance has a newer incarnation.
    ThisAgent.m_Alive = false;
    return;
  }
  Engine &AgentEngine = m_Engines[ThisAgent.m_Engine];
  if (!ThisAgent.m_Superseded) {
    if (ThisAgent.m_AdoptedChange < ChangeNumber(m_Changes.size()) &&
        isPlatformReachable(AgentEngine.m_Site) &&
        (chance(m_Random, 0.3) || Now - m_Changes.back().m_IssuedAt > 2s))
      adoptNewestChange(Index);
    if (m_Settings.m_LossyMessages && ThisAgent.m_AdoptedChange > ChangeNumber(1) &&
        chance(m_Random, 0.02)) {
      // An outdated configuration arrives.
      ChangeNumber Old(1 + uniformBelow(m_Random, ThisAgent.m_AdoptedChange.value()));
      ThisAgent.m_Policy->setTarget(orderOf(Old), Now);
    }
    const std::deque<Snapshot> &Views = m_Snapshots[AgentEngine.m_Site];
    const Snapshot *Chosen = &Views.front();
    for (const Snapshot &View : Views)
      if (View.m_At + ThisAgent.m_ViewLag <= Now)
        Chosen = &View;
    // The planner ignores a view with the same members. To save run time, the view is passed on
    // only when members changed or when the replacement rule may use it before the next tick.
    bool Replacing = !ThisAgent.m_Policy->isConverged() &&
                     ThisAgent.m_Policy->planner().missingCount() <= 4 + m_Settings.m_Chunks / 16;
    if (Chosen->m_MembersHash != ThisAgent.m_AppliedMembersHash || Replacing) {
      ThisAgent.m_AppliedMembersHash = Chosen->m_MembersHash;
      ThisAgent.m_Policy->setView(
          Chosen->m_Records, {{WorkClassId("quotation"), minServing(AgentEngine.m_Site)}}, Now);
    }
  }
  poll(Index);
}

void Driver::poll(std::size_t Index) {
  Agent &ThisAgent = m_Agents[Index];
  if (!isRunning(ThisAgent))
    return;
  ThisAgent.m_Policy->setDrained(m_Engines[ThisAgent.m_Engine].m_BusyUntil <= m_Queue.now());
  for (const AgentAction &Action : ThisAgent.m_Policy->poll(m_Queue.now()))
    std::visit([&](const auto &Known) { perform(Index, Known); }, Action);
  checkAgent(Index);
}

void Driver::deliver(std::size_t Index, Duration Wait, std::function<void()> Run) {
  m_Queue.after(Wait, [this, Index, Run = std::move(Run)] {
    Agent &ThisAgent = m_Agents[Index];
    if (!ThisAgent.m_Alive)
      return;
    if (isRunning(ThisAgent))
      Run();
    else
      ThisAgent.m_DeferredEvents.push_back(Run);
  });
}

void Driver::perform(std::size_t Index, const StartFetch &Action) {
  Agent &ThisAgent = m_Agents[Index];
  const std::size_t Node = m_Engines[ThisAgent.m_Engine].m_Node;
  const std::size_t SiteIndex = m_Engines[ThisAgent.m_Engine].m_Site;
  ThisAgent.m_Fetching[Action.m_Id] = Action.m_Chunk.m_Digest;
  auto Fail = [this, Index, Id = Action.m_Id](FetchFailure Failure, Duration Wait) {
    deliver(Index, Wait, [=, this] {
      m_Agents[Index].m_Fetching.erase(Id);
      m_Agents[Index].m_Policy->onFetchFailed(Id, Failure, m_Queue.now());
      poll(Index);
    });
  };
  if (Action.m_Source == FetchSource::Origin) {
    RolloutId Rollout = m_Changes.at(ThisAgent.m_Policy->planner().change().value() - 1).m_Rollout;
    m_Queue.after(m_Network.latency(Node, ChunkNetwork::OriginNode), [=, this] {
      if (m_OriginDown || isPlatformBlocked(SiteIndex)) {
        Fail(FetchFailure::NotStarted, 10ms);
        return;
      }
      std::uint64_t &Sent = m_OriginBytes[Rollout];
      Sent += Action.m_Chunk.m_Size.count();
      checkInvariant(OriginWithinBudget, Sent <= 4 * versionSize().count(), Rollout.str());
      std::optional<GrantRow> Row = GrantRow::parse(m_Table.row(grantRowKey(Rollout)).m_Value);
      checkInvariant(OriginWithinGrants, Row && Sent <= Row->m_Granted.count(), Rollout.str());
      reportProgress(Index, Action.m_Id);
      m_Network.transfer(ChunkNetwork::OriginNode, Node, Action.m_Chunk.m_Size,
                         [=, this] { receive(Index, Action, false); });
    });
    return;
  }
  auto Known = m_AgentById.find(Action.m_Peer);
  const std::size_t From = Known->second;
  ThisAgent.m_ControlBytes += RequestBytes;
  m_Agents[From].m_ControlBytes += RequestBytes;
  if (!m_Agents[From].m_Alive) {
    Fail(FetchFailure::NotStarted, 2 * ChunkNetwork::FarLatency);
    return;
  }
  const std::size_t FromSite = m_Engines[m_Agents[From].m_Engine].m_Site;
  if (!isRunning(m_Agents[From]) || isBlocked(SiteIndex, FromSite))
    return;
  const std::size_t FromNode = m_Engines[m_Agents[From].m_Engine].m_Node;
  m_Queue.after(m_Network.latency(FromNode, Node), [=, this] {
    Agent &Source = m_Agents[From];
    if (!Source.m_Alive) {
      Fail(FetchFailure::Broken, ChunkNetwork::FarLatency);
      return;
    }
    switch (Source.m_Policy->admitUpload(m_Agents[Index].m_Record.m_Id, Action.m_Chunk.m_Digest,
                                         m_Queue.now())) {
    case UploadAnswer::Busy:
    case UploadAnswer::NotHeld: {
      bool Held = m_Engines[Source.m_Engine].m_Staging.contains(Action.m_Chunk.m_Digest);
      Source.m_ControlBytes += ChunkSummary::HeaderBytes;
      m_Agents[Index].m_ControlBytes += ChunkSummary::HeaderBytes;
      Fail(Held ? FetchFailure::Busy : FetchFailure::NotHeld, m_Network.latency(FromNode, Node));
      return;
    }
    case UploadAnswer::Accept:
      break;
    }
    m_Network.transfer(FromNode, Node, Action.m_Chunk.m_Size, [=, this] {
      Agent &Sender = m_Agents[From];
      Engine &SenderEngine = m_Engines[Sender.m_Engine];
      if (SenderEngine.m_Stalled || m_Engines[m_Agents[Index].m_Engine].m_Stalled) {
        // The connection hangs; a time-out of the sender ends the upload.
        deliver(From, 30s, [this, From, Index] {
          m_Agents[From].m_Policy->endUpload(m_Agents[Index].m_Record.m_Id);
        });
        return;
      }
      if (Sender.m_Alive)
        Sender.m_Policy->endUpload(m_Agents[Index].m_Record.m_Id);
      auto Content = SenderEngine.m_Staging.find(Action.m_Chunk.m_Digest);
      if (!Sender.m_Alive || isBlocked(SiteIndex, FromSite) ||
          Content == SenderEngine.m_Staging.end()) {
        Fail(FetchFailure::Broken, 0ms);
        return;
      }
      receive(Index, Action,
              Sender.m_Record.m_Id == m_BadPeer || Content->second != Content->first);
    });
  });
}

void Driver::reportProgress(std::size_t Index, FetchId Id) {
  m_Queue.after(TransferPlanner::ProgressInterval, [this, Index, Id] {
    Agent &ThisAgent = m_Agents[Index];
    const Engine &AgentEngine = m_Engines[ThisAgent.m_Engine];
    if (!isRunning(ThisAgent) || !ThisAgent.m_Fetching.contains(Id) || AgentEngine.m_Stalled ||
        m_OriginDown || isPlatformBlocked(AgentEngine.m_Site))
      return;
    ThisAgent.m_Policy->onProgress(Id, m_Queue.now());
    reportProgress(Index, Id);
  });
}

void Driver::receive(std::size_t Index, const StartFetch &Action, bool FromBadPeer) {
  Digest Content = Action.m_Chunk.m_Digest;
  if (FromBadPeer || chance(m_Random, m_CorruptShare))
    Content = corrupted(Content);
  deliver(Index, 0ms, [=, this] {
    Agent &ThisAgent = m_Agents[Index];
    Engine &AgentEngine = m_Engines[ThisAgent.m_Engine];
    ThisAgent.m_Fetching.erase(Action.m_Id);
    if (AgentEngine.m_Stalled)
      return;
    if (ThisAgent.m_Policy->onReceived(Action.m_Id, Content, m_Queue.now())) {
      const ChunkRef &Chunk = Action.m_Chunk;
      bool Present = AgentEngine.m_Staging.contains(Chunk.m_Digest);
      Bytes After = Present ? AgentEngine.m_Used : AgentEngine.m_Used + Chunk.m_Size;
      bool Written = AgentEngine.m_Alive && After.count() <= versionSize().count() * 9 / 4;
      if (!m_Settings.m_StagingRules.m_CheckCapacity)
        Written = AgentEngine.m_Alive;
      if (Written) {
        checkInvariant(StagingBounded, After.count() <= versionSize().count() * 9 / 4,
                       ThisAgent.m_Record.m_Id.str());
        AgentEngine.m_Used = After;
        AgentEngine.m_Staging[Chunk.m_Digest] = Content;
        AgentEngine.m_Sizes[Chunk.m_Digest] = Chunk.m_Size;
      }
      ThisAgent.m_Policy->onStaged(Chunk, Written, m_Queue.now());
    }
    poll(Index);
  });
}

void Driver::perform(std::size_t Index, const CancelFetch &Action) {
  m_Agents[Index].m_Fetching.erase(Action.m_Id);
}

void Driver::perform(std::size_t Index, const SendSummary &Action) {
  Agent &ThisAgent = m_Agents[Index];
  const std::uint64_t Size = Action.m_Summary.encodedSize(m_Settings.m_Chunks).count();
  ThisAgent.m_ControlBytes += Size;
  auto Known = m_AgentById.find(Action.m_To);
  const std::size_t To = Known->second;
  Agent &Target = m_Agents[To];
  if (!isRunning(Target) ||
      isBlocked(m_Engines[ThisAgent.m_Engine].m_Site, m_Engines[Target.m_Engine].m_Site))
    return;
  Target.m_ControlBytes += Size;
  if (!m_Settings.m_LossyMessages) {
    Target.m_Policy->onSummary(ThisAgent.m_Record.m_Id, Action.m_Summary, m_Queue.now());
    return;
  }
  if (chance(m_Random, 0.05))
    return;
  deliver(To, Duration(static_cast<Duration::rep>(1000 + uniformBelow(m_Random, 50'000))),
          [this, To, From = ThisAgent.m_Record.m_Id, Summary = Action.m_Summary] {
            m_Agents[To].m_Policy->onSummary(From, Summary, m_Queue.now());
          });
}

void Driver::perform(std::size_t Index, const TableRequest &Action) {
  const std::size_t SiteIndex = m_Engines[m_Agents[Index].m_Engine].m_Site;
  m_Queue.after(Duration(static_cast<Duration::rep>(5000 + uniformBelow(m_Random, 20'000))),
                [=, this] {
                  bool Down = m_TableDown || isPlatformBlocked(SiteIndex);
                  if (const auto *Read = std::get_if<ReadRow>(&Action.m_Action)) {
                    std::optional<TableRow> Row;
                    if (!Down)
                      Row = m_StaleReads && chance(m_Random, 0.5) ? m_Table.staleRow(Read->m_Key)
                                                                  : m_Table.row(Read->m_Key);
                    deliver(Index, 5ms, [this, Index, Number = Action.m_Number, Row] {
                      m_Agents[Index].m_Policy->onTableRead(Number, Row, m_Queue.now());
                      poll(Index);
                    });
                    return;
                  }
                  const Transaction &Sent = std::get<Transaction>(Action.m_Action);
                  CommitResult Result;
                  Result.m_Status = CommitStatus::Unreachable;
                  if (!Down && m_LoseResponses && chance(m_Random, 0.3)) {
                    // The request is delayed and takes effect after its sender timed out.
                    Result.m_Status = CommitStatus::Unknown;
                    m_Queue.after(randomSeconds(1, 20), [this, Sent] { m_Table.transact(Sent); });
                  } else if (!Down) {
                    Result = m_Table.transact(Sent);
                    if (m_LoseResponses && chance(m_Random, 0.5))
                      Result = {CommitStatus::Unknown, {}};
                  }
                  deliver(Index, 5ms, [this, Index, Number = Action.m_Number, Result] {
                    m_Agents[Index].m_Policy->onTableCommit(Number, Result, m_Queue.now());
                    poll(Index);
                  });
                });
}

void Driver::perform(std::size_t Index, const EvictChunk &Action) {
  Engine &AgentEngine = m_Engines[m_Agents[Index].m_Engine];
  if (AgentEngine.m_Staging.erase(Action.m_Chunk) != 0)
    AgentEngine.m_Used -= AgentEngine.m_Sizes.at(Action.m_Chunk);
}

void Driver::perform(std::size_t Index, const ListStaging &Action) {
  deliver(Index, 100ms, [this, Index, Number = Action.m_Number] {
    Engine &AgentEngine = m_Engines[m_Agents[Index].m_Engine];
    std::vector<ChunkRef> Good;
    for (auto It = AgentEngine.m_Staging.begin(); It != AgentEngine.m_Staging.end();)
      if (It->first == It->second) {
        Good.push_back({It->first, AgentEngine.m_Sizes.at(It->first)});
        ++It;
      } else {
        AgentEngine.m_Used -= AgentEngine.m_Sizes.at(It->first);
        It = AgentEngine.m_Staging.erase(It);
      }
    std::sort(Good.begin(), Good.end());
    m_Agents[Index].m_Policy->onStagingListed(Number, Good, m_Queue.now());
    poll(Index);
  });
}

void Driver::perform(std::size_t Index, const FetchManifest &Action) {
  if (isPlatformBlocked(m_Engines[m_Agents[Index].m_Engine].m_Site))
    return;
  deliver(Index, 1s, [this, Index, Root = Action.m_Root] {
    for (const Change &Each : m_Changes)
      if (manifest(Each.m_Version).rootDigest() == Root)
        m_Agents[Index].m_Policy->addManifest(manifest(Each.m_Version));
    poll(Index);
  });
}

void Driver::perform(std::size_t Index, const ActivationCommand &Action) {
  using Kind = ActivationCommand::Kind;
  const std::size_t EngineIndex = m_Agents[Index].m_Engine;
  const std::uint64_t Number = Action.m_Number;
  switch (Action.m_Kind) {
  case Kind::ConfirmConfiguration: {
    deliver(Index, 20ms, [=, this] {
      const std::size_t SiteIndex = m_Engines[EngineIndex].m_Site;
      std::optional<Confirmation> Known;
      if (isPlatformReachable(SiteIndex))
        Known = Confirmation{ChangeNumber(m_Changes.size()), false};
      else
        for (const Agent &Other : m_Agents)
          if (isRunning(Other) && m_Engines[Other.m_Engine].m_Site == SiteIndex)
            Known = Confirmation{
                std::max(Known ? Known->m_Highest : ChangeNumber(), Other.m_AdoptedChange), false};
      if (Known)
        Known->m_Superseded = m_Agents[Index].m_Superseded;
      m_Agents[Index].m_Policy->activator().onConfirmed(Number, Known, m_Queue.now());
      poll(Index);
    });
    return;
  }
  case Kind::VerifyStaging:
    deliver(Index, 500ms, [=, this] {
      const Engine &AgentEngine = m_Engines[EngineIndex];
      std::vector<ChunkRef> Actual;
      for (const Change &Each : m_Changes)
        if (manifest(Each.m_Version).rootDigest() == Action.m_Root) {
          for (const ChunkRef &Chunk : manifest(Each.m_Version).chunks()) {
            auto It = AgentEngine.m_Staging.find(Chunk.m_Digest);
            if (It != AgentEngine.m_Staging.end())
              Actual.push_back({It->second, Chunk.m_Size});
          }
          break;
        }
      m_Agents[Index].m_Policy->activator().onStagingRoot(Number, Manifest::rootOf(Actual),
                                                          m_Queue.now());
      poll(Index);
    });
    return;
  case Kind::ReadServed:
    deliver(Index, 2ms, [=, this] {
      const Engine &AgentEngine = m_Engines[EngineIndex];
      std::optional<ServedReport> Report;
      if (AgentEngine.m_Alive)
        Report = {AgentEngine.m_Served,
                  AgentEngine.m_ChecksToken ? AgentEngine.m_Token : FencingToken()};
      m_Agents[Index].m_Policy->activator().onServed(Number, Report, m_Queue.now());
      poll(Index);
    });
    return;
  case Kind::Load:
    deliver(Index, 1ms, [=, this] {
      if (m_Queue.now() >= Action.m_SendBefore) {
        m_Agents[Index].m_Policy->activator().onNotSent(Number, m_Queue.now());
        poll(Index);
        return;
      }
      load(Index, Action);
    });
    return;
  }
}

void Driver::load(std::size_t Index, const ActivationCommand &Action) {
  const std::size_t EngineIndex = m_Agents[Index].m_Engine;
  Engine &AgentEngine = m_Engines[EngineIndex];
  auto Answer = [this, Index, Number = Action.m_Number](LoadResult Result, Duration Wait) {
    deliver(Index, Wait, [=, this] {
      m_Agents[Index].m_Policy->activator().onLoadResult(Number, Result, m_Queue.now());
      poll(Index);
    });
  };
  if (!AgentEngine.m_Alive) {
    Answer(LoadResult::Unknown, 1s);
    return;
  }
  if (AgentEngine.m_Loading ||
      (AgentEngine.m_ChecksToken && Action.m_Token < AgentEngine.m_HighestToken)) {
    Answer(LoadResult::Rejected, 1ms);
    return;
  }
  const Agent &Owner = m_Agents[AgentEngine.m_Agent];
  bool Answering = AgentEngine.m_BusyUntil > m_Queue.now() ||
                   (isRunning(Owner) && !Owner.m_Policy->routableRoot().isZero());
  m_Interruptions += Answering ? 1 : 0;
  checkInvariant(NoInterruption, !Answering, m_Agents[Index].m_Record.m_Id.str());
  checkInvariant(NoOldCommand, Action.m_Token >= AgentEngine.m_HighestToken,
                 m_Agents[Index].m_Record.m_Id.str());
  for (const Change &Each : m_Changes) {
    const Manifest &Version = manifest(Each.m_Version);
    if (Version.rootDigest() != Action.m_Root)
      continue;
    bool Complete =
        std::all_of(Version.chunks().begin(), Version.chunks().end(), [&](const ChunkRef &Chunk) {
          auto It = AgentEngine.m_Staging.find(Chunk.m_Digest);
          return It != AgentEngine.m_Staging.end() && It->second == Chunk.m_Digest;
        });
    checkInvariant(ServedComplete, Complete, m_Agents[Index].m_Record.m_Id.str());
    break;
  }
  AgentEngine.m_HighestToken = std::max(AgentEngine.m_HighestToken, Action.m_Token);
  AgentEngine.m_Loading = true;
  AgentEngine.m_Served = Digest();
  m_Queue.after(LoadTime, [=, this] {
    Engine &Loaded = m_Engines[EngineIndex];
    if (!Loaded.m_Alive || !Loaded.m_Loading) {
      // The connection was lost when the engine died.
      Answer(LoadResult::Unknown, 1ms);
      return;
    }
    Loaded.m_Loading = false;
    Loaded.m_Served = Action.m_Root;
    Loaded.m_Token = Action.m_Token;
    bool Lost = m_Settings.m_LossyMessages && chance(m_Random, 0.1);
    Answer(Lost ? LoadResult::Unknown : LoadResult::Loaded, 1ms);
  });
}

void Driver::checkAgent(std::size_t Index) {
  Agent &ThisAgent = m_Agents[Index];
  Engine &AgentEngine = m_Engines[ThisAgent.m_Engine];
  const Digest Routable = ThisAgent.m_Policy->routableRoot();
  ThisAgent.m_Record.m_ServedDigest = Routable;
  ThisAgent.m_Record.m_State = Routable.isZero() ? InstanceState::Joining : InstanceState::Live;
  if (Routable == ThisAgent.m_LastRoutable)
    return;
  const std::string &Name = ThisAgent.m_Record.m_Id.str();
  if (Routable.isZero()) {
    AgentEngine.m_BusyUntil = m_Queue.now() + randomSeconds(1, 3);
    if (m_ActiveFaults == 0 && m_Queue.now() - m_LastFaultAt > 20s) {
      std::uint32_t Serving = 0;
      for (const Agent &Other : m_Agents)
        if (isRunning(Other) && !Other.m_Superseded &&
            m_Engines[Other.m_Engine].m_Site == AgentEngine.m_Site &&
            !Other.m_Policy->routableRoot().isZero())
          ++Serving;
      checkInvariant(EnoughServing, Serving >= minServing(AgentEngine.m_Site), Name);
    }
  } else if (!ThisAgent.m_Superseded) {
    checkInvariant(RoutedServed, AgentEngine.m_Alive && AgentEngine.m_Served == Routable, Name);
    ChangeNumber Live = ThisAgent.m_Policy->activator().targetChange();
    bool IsTarget = Live != ChangeNumber() && Routable == orderOf(Live).m_Manifest.rootDigest();
    bool Stays = Routable == AgentEngine.m_LiveRoot;
    checkInvariant(NoReversal, (IsTarget && Live >= AgentEngine.m_LiveChange) || Stays, Name);
    AgentEngine.m_LiveRoot = Routable;
    if (IsTarget)
      AgentEngine.m_LiveChange = std::max(AgentEngine.m_LiveChange, Live);
  }
  ThisAgent.m_LastRoutable = Routable;
}

void Driver::checkInvariant(Invariant &Rule, bool Holds, const std::string &Detail) {
  if (Rule.check(Holds, Detail))
    return;
  if (m_Violations++ == 0)
    m_FirstViolation = std::string(Rule.name()) + " at " + Detail;
}

void Driver::takeSnapshots() {
  const TimePoint Now = m_Queue.now();
  m_Queue.after(1s, [this] { takeSnapshots(); });
  for (std::size_t SiteIndex = 0; SiteIndex < m_Snapshots.size(); ++SiteIndex) {
    auto Records = std::make_shared<std::vector<InstanceRecord>>();
    Records->reserve(m_Agents.size());
    std::uint64_t MembersHash = 1;
    for (std::size_t I = 0; I < m_Agents.size(); ++I) {
      Agent &ThisAgent = m_Agents[I];
      if (ThisAgent.m_Superseded || m_Engines[ThisAgent.m_Engine].m_Agent != I)
        continue;
      TimePoint &LastSeenAt = ThisAgent.m_LastSeenBySite[SiteIndex];
      if (isRunning(ThisAgent) && !isBlocked(SiteIndex, m_Engines[ThisAgent.m_Engine].m_Site))
        LastSeenAt = Now;
      if (Now - LastSeenAt >= DeadRecordRetention)
        continue;
      InstanceRecord Record = ThisAgent.m_Record;
      if (Now - LastSeenAt >= FailureDetectionTime)
        Record.m_State = InstanceState::Dead;
      MembersHash = MembersHash * 1099511628211U ^
                    (I * 2 + (Now - LastSeenAt >= FailureDetectionTime ? 1 : 0));
      Records->push_back(std::move(Record));
    }
    std::deque<Snapshot> &Views = m_Snapshots[SiteIndex];
    Views.push_back({Now, MembersHash, std::move(Records)});
    if (Views.size() > 4)
      Views.pop_front();
  }
}

bool Driver::allConverged() const {
  if (m_ActiveFaults != 0)
    return false;
  ChangeNumber Newest(m_Changes.size());
  return std::all_of(m_Agents.begin(), m_Agents.end(), [&](const Agent &Each) {
    return !Each.m_Alive || Each.m_Superseded ||
           (Each.m_AdoptedChange == Newest && Each.m_Policy->isConverged());
  });
}

bool Driver::runUntilConverged(Duration Limit) {
  const TimePoint End = m_Queue.now() + Limit;
  TimePoint NextCheck = m_Queue.now();
  while (m_Queue.now() < End) {
    if (m_Queue.now() >= NextCheck) {
      if (allConverged())
        return true;
      NextCheck = m_Queue.now() + 250ms;
    }
    m_Queue.step();
  }
  return false;
}

void Driver::run(Duration Length) {
  const TimePoint End = m_Queue.now() + Length;
  while (m_Queue.now() < End)
    m_Queue.step();
}

std::uint64_t Driver::originBytes() const {
  auto It = m_OriginBytes.find(m_Changes.back().m_Rollout);
  return It == m_OriginBytes.end() ? 0 : It->second;
}

double Driver::stagedShare() const {
  double Staged = 0;
  double All = 0;
  for (const Agent &Each : m_Agents)
    if (Each.m_Alive) {
      All += 1;
      Staged += Each.m_AdoptedChange == ChangeNumber(m_Changes.size()) &&
                        Each.m_Policy->planner().isComplete()
                    ? 1
                    : 0;
    }
  return Staged / All;
}

double Driver::originCopies() const {
  return static_cast<double>(originBytes()) / static_cast<double>(versionSize().count());
}

double Driver::worstOriginCopies() const {
  std::uint64_t Worst = 0;
  for (const auto &[Rollout, Sent] : m_OriginBytes)
    Worst = std::max(Worst, Sent);
  return static_cast<double>(Worst) / static_cast<double>(versionSize().count());
}

double Driver::controlBytesPerSecond() const {
  std::uint64_t Most = 0;
  for (const Agent &Each : m_Agents)
    Most = std::max(Most, Each.m_ControlBytes);
  return static_cast<double>(Most) / toSeconds(m_Queue.now() - m_ControlBytesSince);
}

std::string Driver::pending() const {
  std::string Result;
  for (const Agent &Each : m_Agents)
    if (Each.m_Alive && !Each.m_Superseded && !Each.m_Policy->isConverged())
      Result += Each.m_Record.m_Id.str() + " at " + Each.m_Record.m_DataCentre.str() + ": " +
                std::string(Each.m_Policy->activator().stepName()) + ", " +
                std::to_string(Each.m_Policy->planner().missingCount()) + " chunks missing, " +
                std::string(verdictName(Each.m_Policy->replacementVerdict())) + ' ' +
                Each.m_Policy->problem() + '\n';
  return Result;
}

Duration Driver::randomSeconds(std::uint64_t Min, std::uint64_t Max) {
  return std::chrono::milliseconds(1000 * Min + uniformBelow(m_Random, 1000 * (Max - Min) + 1));
}

std::size_t Driver::randomAgent() {
  std::vector<std::size_t> Running;
  for (std::size_t I = 0; I < m_Agents.size(); ++I)
    if (isRunning(m_Agents[I]) && !m_Agents[I].m_Superseded &&
        m_Engines[m_Agents[I].m_Engine].m_Alive)
      Running.push_back(I);
  return Running.empty() ? m_Agents.size() : Running[uniformBelow(m_Random, Running.size())];
}

void Driver::endAfter(Duration Length, std::function<void()> EndFault) {
  ++m_ActiveFaults;
  m_LastFaultAt = m_Queue.now();
  m_Queue.after(Length, [this, EndFault = std::move(EndFault)] {
    --m_ActiveFaults;
    m_LastFaultAt = m_Queue.now();
    EndFault();
  });
}

void Driver::killAgent(std::size_t Index, bool WithEngine) {
  Agent &ThisAgent = m_Agents[Index];
  const std::size_t EngineIndex = ThisAgent.m_Engine;
  ThisAgent.m_Alive = false;
  if (!WithEngine) {
    // The requests forwarded by the agent end when their connections are lost.
    m_Engines[EngineIndex].m_BusyUntil = m_Queue.now() + 1s;
    endAfter(randomSeconds(2, 5), [this, EngineIndex] { startAgent(EngineIndex); });
    return;
  }
  Engine &Dead = m_Engines[EngineIndex];
  Dead.m_Alive = false;
  endAfter(randomSeconds(5, 20), [this, Place = Dead.m_Site] { join(Place); });
}

void Driver::pauseAgent(std::size_t Index, Duration Length, bool Replaced) {
  Agent &ThisAgent = m_Agents[Index];
  ThisAgent.m_PausedUntil = m_Queue.now() + Length;
  if (Replaced) {
    ThisAgent.m_Superseded = true;
    m_Engines[ThisAgent.m_Engine].m_BusyUntil = m_Queue.now() + 1s;
    const std::size_t EngineIndex = ThisAgent.m_Engine;
    m_Queue.after(2s, [this, EngineIndex] { startAgent(EngineIndex); });
  }
  endAfter(Length, [this, Index] {
    Agent &Resumed = m_Agents[Index];
    if (!Resumed.m_Alive)
      return;
    std::vector<std::function<void()>> Late = std::move(Resumed.m_DeferredEvents);
    Resumed.m_DeferredEvents.clear();
    for (const std::function<void()> &Run : Late)
      Run();
    poll(Index);
  });
}

void Driver::injectFault() { injectFault(uniformBelow(m_Random, FaultKinds)); }

void Driver::injectFault(std::uint64_t Kind) {
  const std::size_t Victim = randomAgent();
  if (Victim == m_Agents.size())
    return;
  const std::size_t EngineIndex = m_Agents[Victim].m_Engine;
  const std::size_t SiteIndex = m_Engines[EngineIndex].m_Site;
  m_LastFaultAt = m_Queue.now();
  switch (Kind) {
  case 0:
    killAgent(Victim, false);
    break;
  case 1:
    killAgent(Victim, true);
    break;
  case 2: {
    Engine &Restarted = m_Engines[EngineIndex];
    Restarted.m_Alive = false;
    Restarted.m_Loading = false;
    Restarted.m_Staging.clear();
    Restarted.m_Used = Bytes();
    Restarted.m_Served = Digest();
    Restarted.m_Token = FencingToken();
    Restarted.m_BusyUntil = m_Queue.now();
    endAfter(randomSeconds(3, 10), [this, EngineIndex] { m_Engines[EngineIndex].m_Alive = true; });
    break;
  }
  case 3:
    for (std::size_t I = 0, Half = 0; I < m_Agents.size(); ++I)
      if (m_Agents[I].m_Alive && !m_Agents[I].m_Superseded &&
          m_Engines[m_Agents[I].m_Engine].m_Site == SiteIndex && Half++ % 2 == 0)
        killAgent(I, true);
    break;
  case 4:
    m_Engines[EngineIndex].m_Stalled = true;
    endAfter(randomSeconds(10, 60),
             [this, EngineIndex] { m_Engines[EngineIndex].m_Stalled = false; });
    break;
  case 5:
    m_CorruptShare = 0.3;
    endAfter(randomSeconds(20, 60), [this] { m_CorruptShare = 0; });
    break;
  case 6: {
    // Corruption between the last verification and the load must be detected by the engine, since
    // the load command carries the root digest.
    if (m_Agents[Victim].m_Policy->activator().isVerified() || m_Engines[EngineIndex].m_Loading)
      break;
    auto &Staging = m_Engines[EngineIndex].m_Staging;
    std::vector<Digest> Chunks;
    for (const auto &[Chunk, Content] : Staging)
      Chunks.push_back(Chunk);
    std::sort(Chunks.begin(), Chunks.end());
    if (!Chunks.empty()) {
      const Digest &Chunk = Chunks[uniformBelow(m_Random, Chunks.size())];
      Staging[Chunk] = corrupted(Chunk);
    }
    break;
  }
  case 7:
    m_OriginDown = true;
    endAfter(randomSeconds(10, 60), [this] { m_OriginDown = false; });
    break;
  case 8:
    m_Network.setOriginRateFactor(0.1);
    endAfter(randomSeconds(20, 120), [this] { m_Network.setOriginRateFactor(1); });
    break;
  case 9:
    m_TableDown = true;
    endAfter(randomSeconds(10, 90), [this] { m_TableDown = false; });
    break;
  case 10:
    m_LoseResponses = m_StaleReads = true;
    endAfter(randomSeconds(20, 60), [this] { m_LoseResponses = m_StaleReads = false; });
    break;
  case 11: {
    // A data centre is disconnected from its peers, the platform, or both.
    const std::uint64_t Parts = 1 + uniformBelow(m_Random, 3);
    std::vector<std::pair<std::size_t, std::size_t>> BlockedPairs;
    for (std::size_t Other = 0; Other < m_Settings.m_Sites.size(); ++Other)
      if (Other != SiteIndex && Parts != 2)
        BlockedPairs.push_back(std::minmax({SiteIndex, Other}));
    m_BlockedSitePairs.insert(BlockedPairs.begin(), BlockedPairs.end());
    if (Parts != 1)
      m_PlatformBlockedSites.insert(SiteIndex);
    endAfter(randomSeconds(10, 60), [this, BlockedPairs, SiteIndex, Parts] {
      for (const auto &BlockedPair : BlockedPairs)
        m_BlockedSitePairs.erase(m_BlockedSitePairs.find(BlockedPair));
      if (Parts != 1)
        m_PlatformBlockedSites.erase(m_PlatformBlockedSites.find(SiteIndex));
    });
    break;
  }
  case 12:
    issue(1 + uniformBelow(m_Random, 4));
    break;
  case 13:
    pauseAgent(Victim, randomSeconds(4, 30), chance(m_Random, 0.5));
    break;
  case 14:
    issue(1 + uniformBelow(m_Random, 4));
    m_Queue.after(10ms, [this, Version = 1 + uniformBelow(m_Random, 4)] { issue(Version); });
    break;
  case 15:
    join(SiteIndex);
    break;
  case 16:
    m_BadPeer = m_Agents[Victim].m_Record.m_Id;
    endAfter(randomSeconds(20, 90), [this] { m_BadPeer = InstanceId(); });
    break;
  default:
    m_Network.setRegionRateFactor(0.2);
    endAfter(randomSeconds(20, 60), [this] { m_Network.setRegionRateFactor(1); });
    break;
  }
}

FaultRun runWithFaults(DriverSettings Settings, std::uint64_t Seed) {
  RandomGenerator Random(Seed);
  Settings.m_Seed = Seed;
  Settings.m_Sites = chance(Random, 0.5) ? threeSites() : fourSites();
  Settings.m_Instances = 6 + uniformBelow(Random, 11);
  Settings.m_Chunks = 8 + uniformBelow(Random, 25);
  Settings.m_Preference =
      chance(Random, 0.5) ? TransferPreference::Time : TransferPreference::OriginBytes;
  Settings.m_LossyMessages = chance(Random, 0.7);
  Driver Run(Settings);
  if (chance(Random, 0.8)) {
    Run.startServing(1);
    Run.run(10s);
  }
  Run.issue(2);
  const std::uint64_t Faults = 1 + uniformBelow(Random, 6);
  for (std::uint64_t I = 0; I < Faults; ++I) {
    Run.run(std::chrono::milliseconds(uniformBelow(Random, 40'000)));
    Run.injectFault();
  }
  FaultRun Result;
  Result.m_Converged = Run.runUntilConverged(1h);
  Result.m_Violations = Run.violations();
  Result.m_FirstViolation = Run.firstViolation();
  Result.m_WorstOriginCopies = Run.worstOriginCopies();
  if (!Result.m_Converged)
    Result.m_Pending = Run.pending();
  return Result;
}

} // namespace fescuegauge::driver
