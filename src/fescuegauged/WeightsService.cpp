#include "WeightsService.h"

#include "Fescuegauge/ControlCodec.h"
#include "Fescuegauge/Log.h"

#include <algorithm>

namespace fescuegauge {

using namespace std::chrono_literals;

namespace {

constexpr Duration TickInterval = 20ms;
constexpr Duration ViewUpdateInterval = 250ms;
/// First byte of a payload with the topic Weights.
constexpr char SummaryTag = 's';
constexpr char ManifestTag = 'm';

/// Maximum number of manifests in memory.
constexpr std::size_t MaxManifests = 8;

} // namespace

std::string manifestObjectName(const Digest &Root) { return "manifest-" + Root.hex(); }

WeightsService::WeightsService(const Settings &Configured, EventLoop &Loop)
    : Service("weights"), m_Settings(Configured), m_Loop(Loop) {}

void WeightsService::start(Kernel &Services) {
  m_Platform = &Services.find<PlatformService>("platform");
  m_Rpc = &Services.find<RpcService>("rpc");
  m_Membership = &Services.find<MembershipService>("membership");
  m_Targets = &Services.find<TargetsService>("targets");
  m_Attempts = &Services.find<AttemptService>("attempts");
  m_Loop.postAndWait([this] {
    RolloutAgentSettings Options;
    Options.m_Self = m_Membership->view().self();
    Options.m_StagingCapacity = m_Settings.m_Agent.m_StagingLimit;
    Options.m_Seed = std::hash<std::string>{}(m_Settings.m_Id.str());
    m_Agent = std::make_unique<RolloutAgent>(Options);
    LinkBudget Links;
    Links.m_Instance =
        BytesPerSecond(m_Settings.m_Links.m_Instance.rate() * m_Settings.m_Links.m_TransferShare);
    Links.m_Region =
        BytesPerSecond(m_Settings.m_Links.m_Region.rate() * m_Settings.m_Links.m_TransferShare);
    Links.m_Origin = Links.m_Instance;
    m_Agent->setLinkBudget(Links);
    m_Rpc->setTopicHandler(
        Topic::Weights,
        [this](const PeerIdentity &From, const std::string &Payload, const ReplyCallback &Reply) {
          serveControl(From.m_Instance, Payload, Reply);
        });
    m_Rpc->m_FetchChunkHandler = [this](const PeerIdentity &From, const Digest &Chunk,
                                        const ChunkCallback &Reply) {
      serveChunk(From, Chunk, Reply);
    };
    m_Targets->addConfigurationCallback(
        [this](const Configuration &InForce) { onConfigurationChanged(InForce); });
    onConfigurationChanged(m_Targets->configuration());
  });
  m_Loop.every(TickInterval, [this] { poll(); });
}

void WeightsService::onConfigurationChanged(const Configuration &InForce) {
  m_Configuration = InForce.number();
  for (const auto &[Name, Entry] : InForce.entries()) {
    if (!Entry.m_Stored)
      continue;
    const auto *Rollout = std::get_if<RolloutDeclaration>(&Entry.m_Stored->m_Declaration);
    if (!Rollout || Rollout->m_Service != m_Settings.m_Agent.m_Service)
      continue;
    if (!Rollout->m_Generation.empty() && Rollout->m_Generation != m_Settings.m_Agent.m_Generation)
      continue;
    if (Entry.m_SetBy > m_RolloutChange) {
      m_Rollout = *Rollout;
      m_RolloutChange = Entry.m_SetBy;
      logEvent(Severity::Info, "rollout_ordered",
               {{"version", Rollout->m_Version}, {"change", m_RolloutChange}});
    }
  }
  applyTarget();
}

void WeightsService::applyTarget() {
  if (!m_Rollout)
    return;
  auto Found = m_Manifests.find(m_Rollout->m_ManifestRoot);
  if (Found == m_Manifests.end())
    return requestManifest(m_Rollout->m_ManifestRoot);
  TransferOrder Order;
  Order.m_Manifest = Found->second;
  Order.m_Change = m_RolloutChange;
  Order.m_Rollout = rolloutIdOf(m_Settings.m_Agent.m_Service, m_RolloutChange);
  Order.m_Preference = m_Rollout->m_Prefer == RolloutPreference::Time
                           ? TransferPreference::Time
                           : TransferPreference::OriginBytes;
  if (m_Agent->setTarget(Order, EventLoop::now()))
    m_Agent->activator().setConfiguration(m_Configuration);
}

void WeightsService::requestManifest(const Digest &Root) {
  if (auto Known = m_Manifests.find(Root); Known != m_Manifests.end())
    return m_Agent->addManifest(Known->second);
  if (!m_ManifestRequests.insert(Root).second)
    return;
  m_Platform->getObject(manifestObjectName(Root),
                        [this, Root](const PlatformService::Content &Text) {
                          m_ManifestRequests.erase(Root);
                          if (Text)
                            onManifest(Root, Text);
                          else
                            requestManifestFromPeer(Root);
                        });
}

/// Requests the manifest from another agent of the service, since the object store may be
/// unreachable.
void WeightsService::requestManifestFromPeer(const Digest &Root) {
  std::vector<InstanceId> Peers;
  for (const auto &Member : m_Membership->view().members())
    if (Member->m_Service == m_Settings.m_Agent.m_Service && Member->m_State == InstanceState::Live)
      Peers.push_back(Member->m_Id);
  if (Peers.empty())
    return;
  auto PeerIndex =
      static_cast<std::size_t>(EventLoop::now().time_since_epoch() / ViewUpdateInterval);
  m_Membership->send(
      Peers[PeerIndex % Peers.size()], Topic::Weights, ManifestTag + Root.hex(),
      [this, Root](const std::optional<std::string> &Text) { onManifest(Root, Text); });
}

void WeightsService::onManifest(const Digest &Root, const std::optional<std::string> &Text) {
  auto Parsed = Text ? Manifest::parse(*Text) : std::nullopt;
  if (!Parsed || Parsed->rootDigest() != Root)
    return;
  bool IsTarget = m_Rollout && m_Rollout->m_ManifestRoot == Root;
  if (!IsTarget && m_Manifests.size() >= MaxManifests)
    std::erase_if(m_Manifests, [&](const auto &Entry) {
      return !m_Rollout || Entry.first != m_Rollout->m_ManifestRoot;
    });
  m_Manifests[Root] = *Parsed;
  m_Agent->addManifest(*Parsed);
  if (IsTarget)
    applyTarget();
}

void WeightsService::serveControl(const InstanceId &From, const std::string &Payload,
                                  const ReplyCallback &Reply) {
  std::string_view Content(Payload);
  char Tag = Content.empty() ? '\0' : Content.front();
  Content.remove_prefix(Content.empty() ? 0 : 1);
  if (Tag == SummaryTag) {
    Reply({});
    if (auto Summary = decodeChunkSummary(Content))
      m_Agent->onSummary(From, *Summary, EventLoop::now());
    return;
  }
  auto Root = Tag == ManifestTag ? Digest::fromHex(Content) : std::nullopt;
  auto Known = Root ? m_Manifests.find(*Root) : m_Manifests.end();
  Reply(Known == m_Manifests.end() ? std::string() : Known->second.encode());
}

void WeightsService::serveChunk(const PeerIdentity &From, const Digest &Chunk,
                                const ChunkCallback &Reply) {
  if (m_UnstagedBytes >= m_Settings.m_Limits.m_ChunkBytesInFlight)
    return Reply({ChunkAnswer::Status::Busy, {}});
  switch (m_Agent->admitUpload(From.m_Instance, Chunk, EventLoop::now())) {
  case UploadAnswer::Busy:
    return Reply({ChunkAnswer::Status::Busy, {}});
  case UploadAnswer::NotHeld:
    return Reply({ChunkAnswer::Status::NotHeld, {}});
  case UploadAnswer::Accept:
    break;
  }
  auto Content = std::make_shared<std::optional<std::string>>();
  m_Loop.runBlocking(
      [this, Chunk, Content] { *Content = m_Attempts->engine().readStagedChunk(Chunk); },
      [this, Content, Reply, To = From.m_Instance] {
        m_Agent->endUpload(To);
        if (*Content)
          Reply({ChunkAnswer::Status::Found, std::move(**Content)});
        else
          Reply({ChunkAnswer::Status::NotHeld, {}});
      });
}

std::uint32_t WeightsService::minimumServing() const {
  return m_Rollout ? m_Rollout->m_MinimumServing : 0;
}

void WeightsService::updateView(TimePoint Now) {
  std::vector<InstanceRecord> View;
  for (const auto &Member : m_Membership->view().members())
    if (Member->m_Role == InstanceRole::Agent && Member->m_Service == m_Settings.m_Agent.m_Service)
      View.push_back(*Member);
  View.push_back(m_Membership->view().self());
  // The declared minimum applies to the entire service. Each data centre keeps its proportional
  // share serving.
  std::size_t Local = 0;
  for (const InstanceRecord &Record : View)
    if (Record.m_DataCentre == m_Settings.m_DataCentre)
      ++Local;
  auto LocalMinimum =
      static_cast<std::uint32_t>((minimumServing() * Local + View.size() - 1) / View.size());
  // At least one upstream must be free to load. If it is the only one in the data centre, upstreams
  // in other data centres serve meanwhile.
  LocalMinimum = std::min(LocalMinimum, static_cast<std::uint32_t>(Local - 1));
  std::vector<ClassNeed> Needs{{WorkClassId("any"), LocalMinimum * m_Settings.m_Agent.m_Capacity}};
  m_Agent->setView(std::make_shared<const std::vector<InstanceRecord>>(std::move(View)),
                   std::move(Needs), Now);
}

void WeightsService::poll() {
  // Results that are available immediately call poll() recursively. The outer call continues.
  if (m_IsPolling)
    return;
  m_IsPolling = true;
  TimePoint Now = EventLoop::now();
  if (Now >= m_NextViewUpdateAt) {
    m_NextViewUpdateAt = Now + ViewUpdateInterval;
    updateView(Now);
    if (m_Rollout && !m_Manifests.contains(m_Rollout->m_ManifestRoot))
      requestManifest(m_Rollout->m_ManifestRoot);
  }
  m_Agent->setDrained(m_Attempts->isIdle());
  for (const AgentAction &Action : m_Agent->poll(Now))
    std::visit([this](const auto &Wanted) { perform(Wanted); }, Action);
  if (m_Agent->routableRoot() != m_RoutableRoot) {
    m_RoutableRoot = m_Agent->routableRoot();
    logEvent(Severity::Info, "routable_version_changed", {{"rootDigest", m_RoutableRoot.hex()}});
    m_Attempts->setRoutableRoot(m_RoutableRoot);
  }
  m_IsPolling = false;
}

void WeightsService::perform(const StartFetch &Fetch) {
  if (Fetch.m_Source == FetchSource::Origin) {
    m_Platform->readOriginChunk(Fetch.m_Chunk.m_Digest, Fetch.m_Chunk.m_Size,
                                [this, Fetch](PlatformService::Content Content) {
                                  if (Content)
                                    onChunkReceived(Fetch, std::move(*Content));
                                  else
                                    m_Agent->onFetchFailed(Fetch.m_Id, FetchFailure::Broken,
                                                           EventLoop::now());
                                });
    return;
  }
  const InstanceRecord *Peer = m_Membership->view().find(Fetch.m_Peer);
  if (!Peer)
    return m_Agent->onFetchFailed(Fetch.m_Id, FetchFailure::NotStarted, EventLoop::now());
  m_Rpc->node().addPeer(Fetch.m_Peer, Peer->m_Endpoint, false);
  m_Rpc->node().fetchChunk(
      Fetch.m_Peer, Fetch.m_Chunk.m_Digest, FetchTimeout, [this, Fetch](ChunkAnswer Answer) {
        TimePoint Now = EventLoop::now();
        switch (Answer.m_Status) {
        case ChunkAnswer::Status::Found:
          return onChunkReceived(Fetch, std::move(Answer.m_Content));
        case ChunkAnswer::Status::Busy:
          return m_Agent->onFetchFailed(Fetch.m_Id, FetchFailure::Busy, Now);
        case ChunkAnswer::Status::NotHeld:
          return m_Agent->onFetchFailed(Fetch.m_Id, FetchFailure::NotHeld, Now);
        case ChunkAnswer::Status::NotSent:
          return m_Agent->onFetchFailed(Fetch.m_Id, FetchFailure::NotStarted, Now);
        case ChunkAnswer::Status::NoAnswer:
          return m_Agent->onFetchFailed(Fetch.m_Id, FetchFailure::Broken, Now);
        }
      });
}

void WeightsService::onChunkReceived(const StartFetch &Fetch, std::string Content) {
  auto SharedContent = std::make_shared<std::string>(std::move(Content));
  auto Found = std::make_shared<Digest>();
  m_UnstagedBytes += Bytes(SharedContent->size());
  m_Loop.runBlocking([SharedContent, Found] { *Found = sha256(*SharedContent); },
                     [this, Fetch, SharedContent, Found] {
                       if (*Found != Fetch.m_Chunk.m_Digest)
                         logEvent(Severity::Warning, "chunk_corrupt",
                                  {{"peer", Fetch.m_Peer}, {"digest", Found->hex()}});
                       if (m_Agent->onReceived(Fetch.m_Id, *Found, EventLoop::now()))
                         stageChunk(Fetch, SharedContent);
                       else
                         m_UnstagedBytes -= Bytes(SharedContent->size());
                       poll();
                     });
}

void WeightsService::stageChunk(const StartFetch &Fetch,
                                const std::shared_ptr<std::string> &Content) {
  auto Written = std::make_shared<bool>(false);
  m_Loop.runBlocking(
      [this, Fetch, Content, Written] {
        *Written = m_Attempts->engine().stageChunk(Fetch.m_Chunk.m_Digest, *Content);
      },
      [this, Fetch, Content, Written] {
        m_UnstagedBytes -= Bytes(Content->size());
        m_Agent->onStaged(Fetch.m_Chunk, *Written, EventLoop::now());
        poll();
      });
}

void WeightsService::perform(const SendSummary &Message) {
  m_Membership->send(Message.m_To, Topic::Weights, SummaryTag + encodePayload(Message.m_Summary));
}

void WeightsService::perform(const TableRequest &Request) {
  if (const auto *Write = std::get_if<Transaction>(&Request.m_Action))
    m_Platform->transact(*Write, [this, Number = Request.m_Number](const CommitResult &Result) {
      m_Agent->onTableCommit(Number, Result, EventLoop::now());
    });
  else
    m_Platform->read(std::get<ReadRow>(Request.m_Action).m_Key,
                     [this, Number = Request.m_Number](const std::optional<TableRow> &Row) {
                       m_Agent->onTableRead(Number, Row, EventLoop::now());
                     });
}

void WeightsService::perform(const EvictChunk &Evicted) {
  m_Loop.runBlocking([this, Evicted] { m_Attempts->engine().deleteStagedChunk(Evicted.m_Chunk); },
                     [] {});
}

void WeightsService::perform(const ListStaging &Listing) {
  auto Verified = std::make_shared<std::vector<ChunkRef>>();
  auto Answered = std::make_shared<bool>(false);
  m_Loop.runBlocking(
      [this, Verified, Answered] {
        const EngineClient &Engine = m_Attempts->engine();
        auto Listed = Engine.listStagedChunks();
        *Answered = Listed.has_value();
        if (!Listed)
          return;
        for (const ChunkRef &Chunk : *Listed) {
          auto Content = Engine.readStagedChunk(Chunk.m_Digest);
          if (Content && sha256(*Content) == Chunk.m_Digest)
            Verified->push_back({Chunk.m_Digest, Bytes(Content->size())});
          else if (Content)
            Engine.deleteStagedChunk(Chunk.m_Digest);
        }
      },
      [this, Verified, Answered, Number = Listing.m_Number] {
        if (*Answered)
          m_Agent->onStagingListed(Number, *Verified, EventLoop::now());
        else
          m_Agent->onListingFailed(Number, EventLoop::now());
      });
}

void WeightsService::perform(const ActivationCommand &Command) {
  switch (Command.m_Kind) {
  case ActivationCommand::Kind::ConfirmConfiguration:
    return confirmConfiguration(Command.m_Number);
  case ActivationCommand::Kind::VerifyStaging:
    return verifyStaging(Command);
  case ActivationCommand::Kind::ReadServed:
    return readServedVersion(Command.m_Number);
  case ActivationCommand::Kind::Load:
    return load(Command);
  }
}

void WeightsService::confirmConfiguration(std::uint64_t Number) {
  auto PendingReplies = std::make_shared<std::size_t>(m_Membership->view().watchers().size());
  auto Combined = std::make_shared<std::optional<Confirmation>>();
  if (*PendingReplies == 0)
    return m_Agent->activator().onConfirmed(Number, std::nullopt, EventLoop::now());
  Incarnation OwnIncarnation = m_Membership->view().self().m_Incarnation;
  for (const InstanceId &Entry : m_Membership->view().watchers())
    m_Membership->send(Entry, Topic::Operator, std::string(ConfirmationQuery),
                       [this, Number, OwnIncarnation, PendingReplies,
                        Combined](const std::optional<std::string> &Payload) {
                         if (auto Reply = Payload ? decodeConfirmation(*Payload) : std::nullopt) {
                           Confirmation Updated = Combined->value_or(Confirmation());
                           Updated.m_Highest = std::max(Updated.m_Highest, Reply->m_Change);
                           Updated.m_Superseded =
                               Updated.m_Superseded || Reply->m_AgentIncarnation > OwnIncarnation;
                           *Combined = Updated;
                         }
                         if (--*PendingReplies == 0)
                           m_Agent->activator().onConfirmed(Number, *Combined, EventLoop::now());
                       });
}

void WeightsService::verifyStaging(const ActivationCommand &Command) {
  auto Known = m_Manifests.find(Command.m_Root);
  if (Known == m_Manifests.end())
    return m_Agent->activator().onStagingRoot(Command.m_Number, Digest(), EventLoop::now());
  auto Root = std::make_shared<Digest>();
  m_Loop.runBlocking(
      [this, Model = Known->second, Root] {
        std::vector<ChunkRef> Held;
        Held.reserve(Model.chunks().size());
        for (const ChunkRef &Chunk : Model.chunks()) {
          auto Content = m_Attempts->engine().readStagedChunk(Chunk.m_Digest);
          if (!Content)
            return;
          Held.push_back({sha256(*Content), Bytes(Content->size())});
        }
        *Root = Manifest::rootOf(Held);
      },
      [this, Root, Number = Command.m_Number] {
        m_Agent->activator().onStagingRoot(Number, *Root, EventLoop::now());
        poll();
      });
}

void WeightsService::readServedVersion(std::uint64_t Number) {
  auto Status = std::make_shared<std::optional<EngineStatus>>();
  m_Loop.runBlocking([this, Status] { *Status = m_Attempts->engine().status(); },
                     [this, Status, Number] {
                       std::optional<ServedReport> Report;
                       if (*Status)
                         Report = ServedReport{(*Status)->m_ServedRoot, (*Status)->m_Token};
                       m_Agent->activator().onServed(Number, Report, EventLoop::now());
                       poll();
                     });
}

void WeightsService::load(const ActivationCommand &Command) {
  auto Known = m_Manifests.find(Command.m_Root);
  if (Known == m_Manifests.end())
    return m_Agent->activator().onNotSent(Command.m_Number, EventLoop::now());
  auto Result = std::make_shared<std::optional<EngineLoadResult>>();
  std::string Version = m_Rollout ? m_Rollout->m_Version.str() : std::string();
  m_Loop.runBlocking(
      [this, Model = Known->second, Version, Command, Result] {
        if (EventLoop::now() < Command.m_SendBefore)
          *Result = m_Attempts->engine().load(Model, Version, Command.m_Token);
      },
      [this, Result, Number = Command.m_Number] {
        TimePoint Now = EventLoop::now();
        if (!*Result)
          m_Agent->activator().onNotSent(Number, Now);
        else if (**Result == EngineLoadResult::Loaded)
          m_Agent->activator().onLoadResult(Number, LoadResult::Loaded, Now);
        else if (**Result == EngineLoadResult::Rejected)
          m_Agent->activator().onLoadResult(Number, LoadResult::Rejected, Now);
        else
          m_Agent->activator().onLoadResult(Number, LoadResult::Unknown, Now);
        poll();
      });
}

boost::json::object WeightsService::dumpState() const {
  boost::json::object State;
  m_Loop.postAndWait([&] {
    const TransferPlanner &Planner = m_Agent->planner();
    State["wantedRoot"] = Planner.root().hex();
    State["change"] = Planner.change().value();
    State["chunks"] = Planner.chunkCount();
    State["missing"] = Planner.missingCount();
    State["fetchesInFlight"] = Planner.fetchesInFlight();
    State["neighbours"] = Planner.neighbourCount();
    State["originFetches"] = Planner.counters().m_OriginFetches;
    State["busyAnswers"] = Planner.counters().m_BusyAnswers;
    State["badChunks"] = Planner.counters().m_BadChunks;
    State["stagedBytes"] = m_Agent->staging().usedSize().count();
    State["routableRoot"] = m_Agent->routableRoot().hex();
    State["step"] = m_Agent->activator().stepName();
    State["problem"] = m_Agent->problem();
  });
  return State;
}

} // namespace fescuegauge
