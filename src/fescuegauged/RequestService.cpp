#include "RequestService.h"

#include "Fescuegauge/ControlCodec.h"
#include "Fescuegauge/Log.h"
#include "LoopCall.h"

#include <algorithm>
#include <boost/json.hpp>

namespace fescuegauge {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr Duration TickInterval = 10ms;
constexpr Duration LoadUpdateInterval = 100ms;
constexpr Duration SuspectInterval = 200ms;
/// The row `claim-epoch` changes about once a day. A claim made with an outdated copy fails and
/// returns the current row.
constexpr Duration EpochReadInterval = 60s;
constexpr Duration EpochRetryInterval = 500ms;
/// Interval at which the HTTP thread checks whether the caller is still connected.
constexpr Duration CallerCheckInterval = 100ms;
/// Number of prompt bytes covered by one entry of RequestDescription::m_PrefixBlocks.
constexpr std::size_t PrefixBlockBytes = 256;
constexpr std::size_t MaxPrefixBlocks = 64;
/// Approximate length of a token. Used only for cost estimates.
constexpr std::size_t BytesPerToken = 4;
constexpr std::uint32_t DefaultAnswerTokens = 64;

std::string processId(const Settings &Configured, Incarnation OwnIncarnation) {
  return Configured.m_Id.str() + "~" + std::to_string(OwnIncarnation.value());
}

RouterOptions routerOptions(const Settings &Configured) {
  RouterOptions Options;
  Options.m_DataCentre = Configured.m_DataCentre;
  Options.m_Region = Configured.m_Region;
  return Options;
}

/// Returns digests of the prompt's prefixes, each one block longer than the previous one.
std::vector<std::uint64_t> prefixBlocks(std::string_view Prompt) {
  std::vector<std::uint64_t> Blocks;
  for (std::size_t End = PrefixBlockBytes; End <= Prompt.size() && Blocks.size() < MaxPrefixBlocks;
       End += PrefixBlockBytes)
    Blocks.push_back(sha256(Prompt.substr(0, End)).prefix());
  return Blocks;
}

} // namespace

/// Passes the answer of one attempt to RequestLifecycle.
class RequestService::AnswerSink final : public AttemptSink {
public:
  AnswerSink(RequestService &Owner, InstanceId Upstream, RequestId Request)
      : m_Owner(Owner), m_Upstream(std::move(Upstream)), m_Request(std::move(Request)) {}

  void onFragment(const AttemptFragment &Fragment) override {
    AnswerFragment Received;
    Received.m_Attempt = Fragment.m_Attempt;
    Received.m_Request = m_Request;
    Received.m_Offset = Fragment.m_Offset;
    Received.m_Data = Fragment.m_Data;
    Received.m_ServedDigest = Fragment.m_ServedDigest;
    Received.m_ContentType = "text/plain; charset=utf-8";
    m_Owner.perform(m_Owner.m_Lifecycle.fragment(Received, EventLoop::now()));
  }

  void onEnd(const AttemptId &Attempt, const AttemptEnd &End) override {
    m_Owner.onAttemptEnd(m_Upstream, m_Request, Attempt, End);
  }

private:
  RequestService &m_Owner;
  InstanceId m_Upstream;
  RequestId m_Request;
};

RequestService::RequestService(const Settings &Configured, Incarnation OwnIncarnation,
                               EventLoop &Loop)
    : Service("requests"), m_Settings(Configured), m_Loop(Loop),
      m_ProcessId(processId(Configured, OwnIncarnation)),
      m_Router(routerOptions(Configured), OwnIncarnation.value()),
      m_Scheduler(OwnIncarnation.value()),
      m_Lifecycle(
          [&] {
            RequestLifecycle::Options Options;
            Options.m_Self = Configured.m_Id;
            Options.m_Source = AttemptSourceId(m_ProcessId);
            Options.m_IsEntryAlive = [this](const InstanceId &Entry) {
              const InstanceRecord *Record = m_Membership->view().find(Entry);
              return Entry == m_Settings.m_Id || (Record && Record->m_State != InstanceState::Dead);
            };
            return Options;
          }(),
          m_Router, *this, m_Suspects, RandomGenerator(OwnIncarnation.value())),
      m_Batcher(m_ProcessId + ".b") {}

void RequestService::start(Kernel &Services) {
  m_Platform = &Services.find<PlatformService>("platform");
  m_Rpc = &Services.find<RpcService>("rpc");
  m_Membership = &Services.find<MembershipService>("membership");
  m_Targets = &Services.find<TargetsService>("targets");
  auto &Metrics = Services.find<MetricsService>("metrics");
  m_OutcomeCounter = &Metrics.counter({"fescuegauge_requests_total",
                                       "Requests by class of work and final outcome.",
                                       {{"class", 32}, {"outcome", 32}}});
  m_DurationHistogram = &Metrics.histogram(
      {"fescuegauge_request_seconds", "Time from arrival to the final answer.", {{"class", 32}}},
      {0.05, 0.1, 0.31, 0.5, 1, 2, 5, 10, 30, 60});
  auto &Http = Services.find<HttpService>("http");
  Http.addRoute("POST /v1", [this](HttpExchange &Exchange) { serveRequest(Exchange); });
  Http.addRoute("GET /v1/outcomes", [this](HttpExchange &Exchange) { serveOutcome(Exchange); });

  m_Loop.postAndWait([this] {
    m_Rpc->m_NextAttemptProvider = [this] { return m_Lifecycle.nextAttemptNumber(); };
    m_Rpc->m_HeartbeatAnswerHandler = [this](const InstanceId &Upstream,
                                             const std::string &Payload) {
      onAgentReport(Upstream, Payload);
    };
    m_Rpc->m_ConnectedHandlers.push_back([this](const PeerIdentity &Peer) {
      if (Peer.m_Role != InstanceRole::Agent)
        return;
      m_AgentIncarnations[Peer.m_Instance] = Peer.m_Incarnation;
      perform(m_Lifecycle.upstreamConnected(Peer.m_Instance, EventLoop::now()));
    });
    m_Rpc->m_SilentHandlers.push_back([this](const InstanceId &Peer) {
      perform(m_Lifecycle.upstreamSilent(Peer, EventLoop::now()));
    });
    m_Rpc->m_DisconnectedHandlers.push_back([this](const InstanceId &Peer) {
      perform(m_Lifecycle.upstreamUnreachable(Peer, EventLoop::now()));
    });
    m_Rpc->setTopicHandler(
        Topic::Claims,
        [this](const PeerIdentity &From, const std::string &Payload, const ReplyCallback &Reply) {
          auto Write = decodeClaimWrite(Payload);
          if (!Write)
            return Reply({});
          submitClaim(From.m_Instance, std::move(*Write),
                      [Reply](const ClaimWriteResult &Result) { Reply(encodePayload(Result)); });
        });
    m_Rpc->setTopicHandler(Topic::Suspects, [this](const PeerIdentity &, const std::string &Payload,
                                                   const ReplyCallback &Reply) {
      Reply({});
      if (auto Update = decodeSuspectUpdate(Payload)) {
        m_Suspects.merge(*Update, EventLoop::now());
        logQuarantineChanges();
      }
    });
    m_Membership->addChangeCallback(
        [this](const InstanceRecord &Record) { onMemberChanged(Record); });
    updateEntries();
    m_Targets->addConfigurationCallback(
        [this](const Configuration &InForce) { onConfigurationChanged(InForce); });
    onConfigurationChanged(m_Targets->configuration());
  });
  m_Loop.every(TickInterval, [this] { tick(); });
  m_Loop.every(SuspectInterval, [this] { sendSuspects(); });
}

void RequestService::beginDrain() {
  m_Loop.postAndWait([this] { m_IsDraining = true; });
}

bool RequestService::isDrained() const {
  bool Idle = false;
  m_Loop.postAndWait([&] { Idle = m_PendingRequests.empty() && m_Lifecycle.isIdle(); });
  return Idle;
}

void RequestService::interruptWork() {
  m_Loop.postAndWait([this] {
    for (const auto &[Id, Interrupted] : m_PendingRequests) {
      logEvent(Severity::Warning, "request_interrupted",
               {{"request", Id},
                {"class", Interrupted->m_Request.m_Class},
                {"account", Interrupted->m_Request.m_Account}});
      FinishRequest Final;
      Final.m_Request = Id;
      // A request in the queue was not dispatched.
      const bool IsQueued = Interrupted->m_IsQueued;
      Final.m_Outcome = IsQueued ? RequestOutcome::NotRun : RequestOutcome::Unknown;
      Final.m_Error = IsQueued ? ErrorKind::Draining : ErrorKind::OutcomeUnknown;
      Final.m_RetryAfter = errorAnswer(*Final.m_Error).m_RetryAfter;
      Interrupted->m_AnswerQueue->pushFinish(Final);
    }
    m_PendingRequests.clear();
  });
}

// Called by HTTP threads.

std::optional<ErrorKind> RequestService::parseRequest(HttpExchange &Exchange,
                                                      PendingRequest &Pending) {
  const auto &Path = Exchange.pathSegments();
  if (Path.size() != 3)
    return ErrorKind::MalformedRequest;
  if (auto Failure = Exchange.readBody(m_Settings.m_Limits))
    return Failure;
  RequestDescription &Request = Pending.m_Request;
  Request.m_Account = ClientAccountId(Exchange.header("Client-Account"));
  boost::system::error_code Error;
  json::value Body = json::parse(Exchange.body(), Error);
  if (Error || !Body.is_object() || !isRowKeyPart(Request.m_Account.str()))
    return ErrorKind::MalformedRequest;
  Request.m_Id = RequestId(m_ProcessId + "-" + std::to_string(m_NextRequestNumber.fetch_add(1)));
  Request.m_Service = ServiceId(Path[1]);
  Request.m_Class = WorkClassId(Path[2]);
  Request.m_Key = IdempotencyKey(Exchange.header("Idempotency-Key"));
  Request.m_Conversation = ConversationId(Exchange.header("Conversation"));
  Request.m_BodyDigest = sha256(Path[1] + "/" + Path[2] + "\n" + Exchange.body());
  const json::value *Prompt = Body.as_object().if_contains("prompt");
  if (Prompt && Prompt->is_string())
    Request.m_PrefixBlocks = prefixBlocks(std::string_view(Prompt->as_string()));
  const json::value *MaxTokens = Body.as_object().if_contains("maxTokens");
  auto AnswerTokens =
      MaxTokens && MaxTokens->is_int64() && MaxTokens->as_int64() > 0
          ? static_cast<std::uint32_t>(std::min<std::int64_t>(MaxTokens->as_int64(), 1 << 20))
          : DefaultAnswerTokens;
  Request.m_EstimatedTokens =
      AnswerTokens + static_cast<std::uint32_t>(Exchange.body().size() / BytesPerToken);
  if (std::string Ticket = Exchange.header("Generation-Ticket"); !Ticket.empty()) {
    Pending.m_Ticket = GenerationTicket::decode(Ticket);
    if (!Pending.m_Ticket)
      return ErrorKind::MalformedRequest;
  }
  Pending.m_Body = Exchange.body();
  Pending.m_ArrivedAt = EventLoop::now();
  Duration Timeout = std::min(DefaultTimeout, m_Settings.m_Limits.m_MaxDeadline);
  if (std::string TimeoutHeader = Exchange.header("Request-Timeout-Ms"); !TimeoutHeader.empty()) {
    auto RequestedTimeout =
        std::chrono::milliseconds(std::strtoul(TimeoutHeader.c_str(), nullptr, 10));
    if (RequestedTimeout <= 0ms)
      return ErrorKind::MalformedRequest;
    Timeout = std::min<Duration>(RequestedTimeout, m_Settings.m_Limits.m_MaxDeadline);
  }
  Pending.m_Constraints.m_Deadline = Pending.m_ArrivedAt + Timeout;
  return std::nullopt;
}

void RequestService::serveRequest(HttpExchange &Exchange) {
  auto Pending = std::make_shared<PendingRequest>();
  if (auto Failure = parseRequest(Exchange, *Pending))
    return Exchange.sendError(*Failure, "the request cannot be read: expected POST "
                                        "/v1/SERVICE/CLASS with a JSON object as body and the "
                                        "header Client-Account");
  auto Answers = std::make_shared<AnswerQueue>();
  Pending->m_AnswerQueue = Answers;
  RequestId Id = Pending->m_Request.m_Id;
  Exchange.setHeader("Request-Id", Id.str());
  m_Loop.post([this, Pending] { onArrival(Pending); });
  streamAnswer(Exchange, Id, *Answers);
}

void RequestService::streamAnswer(HttpExchange &Exchange, const RequestId &Id,
                                  AnswerQueue &Answers) {
  bool IsCallerConnected = true;
  auto ReportDisconnect = [&] {
    if (IsCallerConnected)
      m_Loop.post([this, Id] { onCallerDisconnected(Id); });
    IsCallerConnected = false;
  };
  while (true) {
    auto Next = Answers.pop(CallerCheckInterval);
    if (!Next) {
      if (IsCallerConnected && Exchange.isCallerDisconnected())
        ReportDisconnect();
      continue;
    }
    if (Next->m_Finish) {
      if (IsCallerConnected)
        sendFinalAnswer(Exchange, *Next->m_Finish);
      return;
    }
    if (!IsCallerConnected)
      continue;
    if (Next->m_HasOverflowed) {
      Exchange.abortStream();
      ReportDisconnect();
      continue;
    }
    if (!Exchange.isStreaming()) {
      Exchange.setHeader("Served-Digest", Next->m_ServedDigest.hex());
      Exchange.setHeader("Generation-Ticket", Next->m_Ticket);
    }
    if (!Exchange.sendFragment(Next->m_Data, Next->m_ContentType))
      ReportDisconnect();
  }
}

void RequestService::sendFinalAnswer(HttpExchange &Exchange, const FinishRequest &Final) {
  if (Final.m_Outcome == RequestOutcome::Complete) {
    if (Final.m_Recorded) {
      Exchange.setHeader("Answer-Recorded", "true");
      return Exchange.sendText(Final.m_Recorded->m_Body, Final.m_Recorded->m_ContentType,
                               Final.m_Recorded->m_HttpStatus);
    }
    if (Exchange.isStreaming())
      return Exchange.endStream();
    return Exchange.sendText({}, "text/plain", 200);
  }
  if (Exchange.isStreaming())
    return Exchange.abortStream();
  ErrorKind Kind = Final.m_Error.value_or(ErrorKind::Internal);
  WasRun Run = Final.m_Outcome == RequestOutcome::NotRun ? WasRun::No : WasRun::Unknown;
  if (Final.m_Outcome == RequestOutcome::Refused)
    Run = errorAnswer(Kind).m_WasRun;
  Exchange.sendError(Kind, "the request was not answered", Final.m_RetryAfter, Run);
}

void RequestService::serveOutcome(HttpExchange &Exchange) {
  const auto &Path = Exchange.pathSegments();
  std::string Account = Exchange.header("Client-Account");
  if (Path.size() != 3 || !isRowKeyPart(Account))
    return Exchange.sendError(ErrorKind::MalformedRequest,
                              "expected GET /v1/outcomes/KEY with the header Client-Account");
  std::string Key = claimRowKey(ClientAccountId(Account), IdempotencyKey(Path[2]));
  using Found = std::optional<TableRow>;
  Found Row = awaitLoopCall<Found>(
      m_Loop, [&](std::function<void(Found)> Done) { m_Platform->read(Key, std::move(Done)); });
  if (!Row)
    return Exchange.sendError(ErrorKind::TableUnreachable, "the table did not answer");
  auto Claim = ClaimRow::decode(Row->m_Value);
  json::object Answer{{"key", Path[2]}, {"outcome", "none"}};
  if (Claim) {
    constexpr std::array<std::string_view, 4> Names{"claimed", "done", "not-run", "unknown"};
    Answer["outcome"] = Names.at(static_cast<std::size_t>(Claim->m_State));
    if (Claim->m_Answer)
      Answer["answer"] = Claim->m_Answer->m_Body;
  }
  Exchange.sendJson(Answer);
}

// Called on the loop.

std::optional<ErrorKind> RequestService::admissionError(PendingRequest &Pending) const {
  if (m_IsDraining)
    return ErrorKind::Draining;
  if (!m_Targets->isReady())
    return ErrorKind::NotReady;
  const LimitSettings &Limits = m_Settings.m_Limits;
  if (m_PendingRequests.size() > Limits.m_MaxRequestsInFlight + Limits.m_MaxQueuedRequests ||
      m_QueuedCount > Limits.m_MaxQueuedRequests)
    return ErrorKind::Overloaded;
  auto QueuedOfAccount = m_QueuedByAccount.find(Pending.m_Request.m_Account);
  if (QueuedOfAccount != m_QueuedByAccount.end() &&
      QueuedOfAccount->second > Limits.m_MaxQueuedRequestsPerAccount)
    return ErrorKind::AccountOverShare;
  RequestDescription &Request = Pending.m_Request;
  const Configuration &InForce = m_Targets->configuration();
  const ClassTarget *Target = InForce.target(Request.m_Service, Request.m_Class);
  if (!Target)
    return ErrorKind::UnknownWorkClass;
  Request.m_NonIdempotent = Target->m_NonIdempotent;
  Pending.m_Priority = Target->m_Priority;
  if (Target->m_StaleAfter)
    Pending.m_Constraints.m_StaleAt = Pending.m_ArrivedAt + *Target->m_StaleAfter;
  if (Request.m_NonIdempotent && Request.m_Key.empty())
    return ErrorKind::KeyMissing;
  Pending.m_Constraints.m_Resumable = !Request.m_NonIdempotent;
  return std::nullopt;
}

void RequestService::onArrival(const std::shared_ptr<PendingRequest> &Pending) {
  m_PendingRequests[Pending->m_Request.m_Id] = Pending;
  Pending->m_IsQueued = true;
  ++m_QueuedCount;
  ++m_QueuedByAccount[Pending->m_Request.m_Account];
  if (auto Refusal = admissionError(*Pending))
    return refuse(Pending, *Refusal);
  resolveOwner(Pending);
}

/// Reads the owner row of the account before a non-idempotent request is submitted, unless it is
/// cached. Other requests are submitted immediately.
void RequestService::resolveOwner(const std::shared_ptr<PendingRequest> &Pending) {
  const RequestDescription &Request = Pending->m_Request;
  if (!Request.m_NonIdempotent)
    return submit(Pending);
  std::string Key = ownerRowKey(Request.m_Service, Request.m_Account);
  if (m_OwnerCache.contains(Key))
    return submit(Pending);
  m_Platform->read(Key, [this, Pending, Key](const std::optional<TableRow> &Row) {
    onOwnerRead(Pending, Key, Row);
  });
}

void RequestService::onOwnerRead(const std::shared_ptr<PendingRequest> &Pending,
                                 const std::string &Key, const std::optional<TableRow> &Row) {
  if (!Row)
    return refuse(Pending, ErrorKind::TableUnreachable);
  if (Row->isAbsent())
    return createOwner(Pending, Key);
  if (!cacheOwner(*Row))
    return refuse(Pending, ErrorKind::Internal);
  submit(Pending);
}

const ServiceDeclaration *RequestService::findServiceDeclaration(const ServiceId &Wanted) const {
  for (const ServiceDeclaration *Declared : m_Targets->configuration().all<ServiceDeclaration>())
    if (Declared->m_Service == Wanted)
      return Declared;
  return nullptr;
}

void RequestService::createOwner(const std::shared_ptr<PendingRequest> &Pending,
                                 const std::string &Key) {
  const RequestDescription &Request = Pending->m_Request;
  GenerationId Initial;
  if (const ServiceDeclaration *Declared = findServiceDeclaration(Request.m_Service))
    Initial = Declared->m_InitialGeneration;
  // A service without a declaration has one generation, which its upstreams report.
  if (Initial.empty())
    for (const auto &Member : m_Membership->view().members())
      if (Member->m_Service == Request.m_Service && Initial.empty())
        Initial = Member->m_Generation;
  if (Initial.empty())
    return refuse(Pending, ErrorKind::NoUpstream);
  WriteId Id(m_ProcessId + ".o" + std::to_string(m_NextOwnerWriteNumber++));
  m_Platform->transact(createOwnerTransaction(Request.m_Service, Request.m_Account, Initial, Id),
                       [this, Pending, Key](const CommitResult &Result) {
                         if (Result.m_Status == CommitStatus::Unreachable ||
                             Result.m_Status == CommitStatus::Unknown)
                           return refuse(Pending, ErrorKind::TableUnreachable);
                         m_Platform->read(Key, [this, Pending](const std::optional<TableRow> &Row) {
                           // A stale read may not contain the row yet, in which case the caller
                           // must retry.
                           if (!Row || !cacheOwner(*Row))
                             return refuse(Pending, ErrorKind::TableUnreachable);
                           submit(Pending);
                         });
                       });
}

bool RequestService::cacheOwner(const TableRow &Row) {
  auto Cached = m_OwnerCache.find(Row.m_Key);
  auto Owner = OwnerRow::decode(Row.m_Value);
  if (!Owner) {
    // A restored table may lack the row. The next request of the account creates it again.
    if (Row.isAbsent() && Cached != m_OwnerCache.end() &&
        Cached->second.m_Position < Row.m_Position)
      m_OwnerCache.erase(Cached);
    return false;
  }
  // Positions increase, so a stale read cannot replace a row obtained from a claim conflict.
  if (Cached != m_OwnerCache.end() && Cached->second.m_Position >= Row.m_Position)
    return true;
  if (Cached == m_OwnerCache.end() && m_OwnerCache.size() >= MaxCachedOwners)
    m_OwnerCache.erase(m_OwnerCache.begin());
  m_OwnerCache[Row.m_Key] = {*Owner, Row.m_Position};
  return true;
}

void RequestService::submit(const std::shared_ptr<PendingRequest> &Pending) {
  const RequestDescription &Request = Pending->m_Request;
  auto Cached = m_OwnerCache.find(ownerRowKey(Request.m_Service, Request.m_Account));
  std::optional<OwnerRow> Owner;
  if (Cached != m_OwnerCache.end()) {
    Owner = Cached->second.m_Row;
    Pending->m_Constraints.m_Owner = {Owner->m_Generation, Cached->second.m_Position,
                                      Owner->m_State == OwnerRow::State::Paused};
  }
  const ServiceDeclaration *DeclaredService = findServiceDeclaration(Request.m_Service);
  const MoveDeclaration *Move = nullptr;
  for (const MoveDeclaration *Declared : m_Targets->configuration().all<MoveDeclaration>())
    if (Declared->m_Service == Request.m_Service && Declared->m_Class == Request.m_Class)
      Move = Declared;
  GenerationChoice Choice =
      chooseGeneration(Request, Pending->m_Ticket, Owner, DeclaredService, Move, false);
  if (Choice.m_Paused) {
    // The pause ends with a newer row, so the cached one must not be used again.
    if (Cached != m_OwnerCache.end())
      m_OwnerCache.erase(Cached);
    return refuse(Pending, ErrorKind::HandoverInProgress);
  }
  Pending->m_Constraints.m_Generation = Choice.m_Generation;
  Pending->m_Constraints.m_RequiredDigest = Choice.m_RequiredDigest;
  perform(m_Scheduler.submit(Request, EventLoop::now()));
}

void RequestService::refuse(const std::shared_ptr<PendingRequest> &Pending, ErrorKind Kind,
                            std::optional<Duration> RetryAfter) {
  FinishRequest Final;
  Final.m_Request = Pending->m_Request.m_Id;
  const ErrorAnswer &Answer = errorAnswer(Kind);
  Final.m_Outcome = Answer.m_RetryAfter ? RequestOutcome::NotRun : RequestOutcome::Refused;
  Final.m_Error = Kind;
  Final.m_RetryAfter = RetryAfter ? RetryAfter : Answer.m_RetryAfter;
  perform(Final);
}

void RequestService::removeFromQueueCounts(PendingRequest &Dequeued) {
  if (!Dequeued.m_IsQueued)
    return;
  Dequeued.m_IsQueued = false;
  --m_QueuedCount;
  auto Found = m_QueuedByAccount.find(Dequeued.m_Request.m_Account);
  if (--Found->second == 0)
    m_QueuedByAccount.erase(Found);
}

void RequestService::perform(const std::vector<SchedulerAction> &Actions) {
  for (const SchedulerAction &Action : Actions) {
    auto Found = m_PendingRequests.find(Action.m_Id);
    if (Found == m_PendingRequests.end())
      continue;
    auto Pending = Found->second;
    if (Action.m_Kind == SchedulerAction::Kind::Refuse) {
      refuse(Pending, Action.m_Refusal.m_Kind, Action.m_Refusal.m_RetryAfter);
      continue;
    }
    Pending->m_StartedAt = EventLoop::now();
    removeFromQueueCounts(*Pending);
    perform(m_Lifecycle.arrive(Pending->m_Request, Pending->m_Constraints, EventLoop::now()));
  }
}

void RequestService::perform(const RequestActions &Actions) {
  for (const RequestAction &Action : Actions)
    std::visit([this](const auto &Wanted) { perform(Wanted); }, Action);
}

void RequestService::perform(const DispatchAttempt &Action) {
  auto Found = m_PendingRequests.find(Action.m_Request);
  if (Found == m_PendingRequests.end())
    return perform(m_Lifecycle.attemptNotSent(Action.m_Attempt, EventLoop::now()));
  PendingRequest &Pending = *Found->second;
  AttemptRequest Request;
  Request.m_Attempt = Action.m_Attempt;
  Request.m_Request = Action.m_Request;
  Request.m_Account = Pending.m_Request.m_Account;
  Request.m_Service = Pending.m_Request.m_Service;
  Request.m_Class = Pending.m_Request.m_Class;
  Request.m_NonIdempotent = Pending.m_Request.m_NonIdempotent;
  Request.m_Execution = Pending.m_Request.m_NonIdempotent ? Pending.m_Request.m_Account.str() +
                                                                "/" + Pending.m_Request.m_Key.str()
                                                          : Action.m_Attempt.str();
  Request.m_Generation = Pending.m_Generations[Action.m_Upstream] = generationOf(Action.m_Upstream);
  Request.m_RequiredDigest = Action.m_RequiredDigest.value_or(Digest());
  Request.m_ResumeFrom = Action.m_ResumeOffset;
  Request.m_Priority = Pending.m_Priority;
  Request.m_Timeout = std::max<Duration>(Pending.m_Constraints.m_Deadline - EventLoop::now(), 1s);
  Request.m_Body = Pending.m_Body;
  Request.m_Suspect = Action.m_Suspect;
  logEvent(Severity::Debug, "attempt_dispatched",
           {{"request", Action.m_Request},
            {"attempt", Action.m_Attempt},
            {"upstream", Action.m_Upstream}});
  m_Rpc->node().runAttempt(
      Action.m_Upstream, Request,
      std::make_shared<AnswerSink>(*this, Action.m_Upstream, Action.m_Request));
}

void RequestService::perform(const CancelAttempt &Action) {
  m_Rpc->node().cancelAttempt(Action.m_Upstream, Action.m_Attempt);
}

void RequestService::perform(const QueryAttempt &Action) {
  m_Membership->send(Action.m_Upstream, Topic::Attempts, Action.m_Attempt.str(),
                     [this](const std::optional<std::string> &Payload) {
                       auto Reply = Payload ? decodeAttemptStatement(*Payload) : std::nullopt;
                       if (Reply)
                         perform(m_Lifecycle.attemptStatement(Reply->m_Statement, Reply->m_Answer,
                                                              EventLoop::now()));
                     });
}

void RequestService::perform(const DeliverFragment &Action) {
  auto Found = m_PendingRequests.find(Action.m_Request);
  if (Found == m_PendingRequests.end())
    return;
  if (!Found->second->m_FirstTokenAt)
    Found->second->m_FirstTokenAt = EventLoop::now();
  const PendingRequest &Pending = *Found->second;
  GenerationTicket Ticket;
  if (const auto Known = Pending.m_Generations.find(Action.m_Upstream);
      Known != Pending.m_Generations.end())
    Ticket.m_Generation = Known->second;
  Ticket.m_ServedDigest = Action.m_ServedDigest;
  Ticket.m_AcknowledgedWrite = Pending.m_Request.m_NonIdempotent;
  Pending.m_AnswerQueue->pushFragment(Action, Ticket.encode());
}

void RequestService::perform(const FinishRequest &Action) {
  auto Found = m_PendingRequests.find(Action.m_Request);
  if (Found == m_PendingRequests.end())
    return;
  auto Finished = std::move(Found->second);
  m_PendingRequests.erase(Found);
  removeFromQueueCounts(*Finished);
  TimePoint Now = EventLoop::now();
  bool IsComplete = Action.m_Outcome == RequestOutcome::Complete;
  if (Finished->m_StartedAt) {
    std::optional<Duration> FirstToken;
    std::optional<Duration> Total;
    if (Finished->m_FirstTokenAt)
      FirstToken = *Finished->m_FirstTokenAt - *Finished->m_StartedAt;
    if (IsComplete && !Action.m_Recorded)
      Total = Now - *Finished->m_StartedAt;
    m_Scheduler.finished(Action.m_Request, FirstToken, Total, Now);
  }
  constexpr std::array<std::string_view, 6> Names{"complete", "not_run", "refused",
                                                  "unknown",  "broken",  "abandoned"};
  std::string_view Outcome = Names.at(static_cast<std::size_t>(Action.m_Outcome));
  const std::string &Class = Finished->m_Request.m_Class.str();
  m_OutcomeCounter->add({Class, Outcome});
  m_DurationHistogram->observe({Class}, toSeconds(Now - Finished->m_ArrivedAt));
  logEvent(Severity::Info, "request_finished",
           {{"request", Action.m_Request},
            {"service", Finished->m_Request.m_Service},
            {"class", Class},
            {"account", Finished->m_Request.m_Account},
            {"outcome", Outcome},
            {"error", Action.m_Error ? errorAnswer(*Action.m_Error).m_Name : "none"},
            {"seconds", Now - Finished->m_ArrivedAt}});
  Finished->m_AnswerQueue->pushFinish(Action);
}

void RequestService::perform(const SendClaimWrite &Action) {
  if (Action.m_To == m_Settings.m_Id)
    return submitClaim(m_Settings.m_Id, Action.m_Write, [this](const ClaimWriteResult &Result) {
      perform(m_Lifecycle.claimWriteResult(Result, EventLoop::now()));
    });
  m_Membership->send(
      Action.m_To, Topic::Claims, encodePayload(Action.m_Write),
      [this](const std::optional<std::string> &Payload) {
        // Without an answer, ClaimCoordinator sends the write to another instance after its
        // timeout.
        auto Result = Payload ? decodeClaimWriteResult(*Payload) : std::nullopt;
        if (Result)
          perform(m_Lifecycle.claimWriteResult(*Result, EventLoop::now()));
      },
      2 * ClaimCoordinator::BatcherTimeout);
}

void RequestService::perform(const ReadTableRow &Action) {
  m_Platform->read(Action.m_Key, [this, Key = Action.m_Key](const std::optional<TableRow> &Row) {
    perform(m_Lifecycle.rowRead(Key, Row, EventLoop::now()));
  });
}

void RequestService::perform(const UpdateOwnerRow &Action) { cacheOwner(Action.m_Row); }

void RequestService::submitClaim(const InstanceId &From, ClaimWrite Write,
                                 std::function<void(const ClaimWriteResult &)> Done) {
  m_ClaimCallbacks[{From, Write.m_Ticket}] = std::move(Done);
  perform(m_Batcher.submit(From, std::move(Write), EventLoop::now()));
}

void RequestService::perform(const ClaimBatcherActions &Actions) {
  for (const Transaction &Commit : Actions.m_Commits)
    m_Platform->transact(Commit, [this, Id = Commit.m_WriteId](const CommitResult &Result) {
      perform(m_Batcher.onCommit(Id, Result, EventLoop::now()));
    });
  for (const ClaimBatcherActions::Answer &Answer : Actions.m_Answers) {
    auto Found = m_ClaimCallbacks.find({Answer.m_To, Answer.m_Result.m_Ticket});
    if (Found == m_ClaimCallbacks.end())
      continue;
    auto Done = std::move(Found->second);
    m_ClaimCallbacks.erase(Found);
    Done(Answer.m_Result);
  }
}

void RequestService::onCallerDisconnected(const RequestId &Id) {
  auto Found = m_PendingRequests.find(Id);
  if (Found == m_PendingRequests.end())
    return;
  if (Found->second->m_StartedAt)
    return perform(m_Lifecycle.callerDisconnected(Id, EventLoop::now()));
  m_Scheduler.cancel(Id);
  FinishRequest Final;
  Final.m_Request = Id;
  Final.m_Outcome = RequestOutcome::Abandoned;
  perform(Final);
}

void RequestService::onAttemptEnd(const InstanceId &Upstream, const RequestId &Request,
                                  const AttemptId &Attempt, const AttemptEnd &End) {
  TimePoint Now = EventLoop::now();
  constexpr std::array<std::string_view, 6> Names{"complete",  "refused",     "failed",
                                                  "cancelled", "engine_lost", "connection_lost"};
  logEvent(Severity::Debug, "attempt_ended",
           {{"request", Request},
            {"attempt", Attempt},
            {"upstream", Upstream},
            {"status", Names.at(static_cast<std::size_t>(End.m_Status))},
            {"error", errorAnswer(End.m_Error).m_Name},
            {"reason", End.m_Reason}});
  AttemptStatement Statement;
  Statement.m_Attempt = Attempt;
  Statement.m_Agent = End.m_AgentIncarnation;
  switch (End.m_Status) {
  case AttemptStatus::Complete: {
    AnswerEnd Complete;
    Complete.m_Attempt = Attempt;
    Complete.m_Request = Request;
    Complete.m_TotalBytes = End.m_TotalBytes;
    Complete.m_ContentType = "text/plain; charset=utf-8";
    return perform(m_Lifecycle.attemptEnded(Complete, Now));
  }
  case AttemptStatus::Refused:
    if (End.m_AgentIncarnation == Incarnation())
      return perform(m_Lifecycle.attemptNotSent(Attempt, Now));
    Statement.m_State = AttemptState::Refused;
    return perform(m_Lifecycle.attemptRefused(Statement, End.m_Error, Now));
  case AttemptStatus::EngineLost: {
    Statement.m_State = AttemptState::Failed;
    recordLoss(Upstream, End.m_Loss).m_EndedAttempts.push_back(Statement);
    return;
  }
  case AttemptStatus::Failed:
  case AttemptStatus::Cancelled:
    return perform(m_Lifecycle.attemptFailed(Attempt, Now));
  case AttemptStatus::ConnectionLost:
    // If the entire connection was lost, upstreamUnreachable() handles the attempt.
    if (m_Rpc->node().isConnected(Upstream))
      perform(m_Lifecycle.attemptFailed(Attempt, Now));
    return;
  }
}

RequestService::Crash &RequestService::recordLoss(const InstanceId &Upstream,
                                                  const EngineLoss &Loss) {
  auto [Entry, IsNew] = m_Crashes.try_emplace({Upstream, Loss.m_EngineIncarnation});
  Crash &Collected = Entry->second;
  if (IsNew) {
    Collected.m_DetectedAt = EventLoop::now();
    Collected.m_Unstarted = Loss.m_Unstarted;
  }
  return Collected;
}

void RequestService::sendSuspects() {
  const SuspectUpdate Update = m_Suspects.takeUpdate(EventLoop::now());
  if (Update.empty())
    return;
  const std::string Payload = encodePayload(Update);
  for (const DataCentreId &DataCentre : m_Membership->view().dataCentres()) {
    const std::vector<InstanceId> Entries = m_Membership->view().entries(DataCentre);
    // One instance of each other data centre passes the news on there.
    const bool IsLocal = DataCentre == m_Settings.m_DataCentre;
    for (std::size_t I = 0;
         I < (IsLocal ? Entries.size() : std::min<std::size_t>(1, Entries.size())); ++I)
      m_Membership->send(Entries[(m_SuspectRound + I) % Entries.size()], Topic::Suspects, Payload);
  }
  ++m_SuspectRound;
}

void RequestService::logQuarantineChanges() {
  for (const QuarantineChange &Change : m_Suspects.takeChanges())
    logEvent(Severity::Warning, "quarantine_changed",
             {{"change", quarantineChangeName(Change.m_Kind)},
              {"keys", joinKeys(Change.m_Quarantine.m_Keys)},
              {"account", Change.m_Quarantine.m_Account.value_or(ClientAccountId())},
              {"lastCrash", Change.m_Quarantine.m_LastCrash.m_Id},
              {"crashes", Change.m_Crashes.size()}});
}

/// Reports each crash and its suspects once, after CrashCollectionTime; attempts that end later are
/// reported without suspects. Crashes are retained for longer than agents repeat them in their
/// reports, so that none is counted twice.
void RequestService::reportCrashes(TimePoint Now) {
  for (auto Next = m_Crashes.begin(); Next != m_Crashes.end();) {
    const auto &[Upstream, EngineIncarnation] = Next->first;
    Crash &Collected = Next->second;
    bool IsDue = Now - Collected.m_DetectedAt >= CrashCollectionTime;
    if (IsDue && (!Collected.m_IsReported || !Collected.m_EndedAttempts.empty())) {
      logEvent(Severity::Warning, "upstream_engine_lost",
               {{"upstream", Upstream}, {"attempts", Collected.m_EndedAttempts.size()}});
      std::vector<SuspectRequest> Unstarted;
      if (!Collected.m_IsReported)
        Unstarted = Collected.m_Unstarted;
      Collected.m_IsReported = true;
      std::vector<AttemptStatement> Ended;
      Ended.swap(Collected.m_EndedAttempts);
      perform(m_Lifecycle.engineCrashed(Upstream, EngineIncarnation, Unstarted, Ended, Now));
      logQuarantineChanges();
      sendSuspects();
    }
    Next = Now - Collected.m_DetectedAt > CrashRetention ? m_Crashes.erase(Next) : std::next(Next);
  }
}

void RequestService::onAgentReport(const InstanceId &Upstream, const std::string &Payload) {
  auto Report = decodeAgentReport(Payload);
  if (!Report)
    return;
  TimePoint Now = EventLoop::now();
  for (const EngineLoss &Loss : Report->m_Losses)
    recordLoss(Upstream, Loss);
  if (Report->m_IsLeaving)
    m_Router.onLeaving(Upstream, Report->m_Incarnation, Now);
  if (const InstanceRecord *Record = m_Membership->view().find(Upstream);
      Record && Record->m_Incarnation == Report->m_Incarnation) {
    InstanceRecord Current = *Record;
    Current.m_ServedDigest = Report->m_ServedDigest;
    m_Router.onInstance(Current, Now);
  }
  LoadReport Load;
  Load.m_Upstream = Upstream;
  Load.m_Incarnation = Report->m_Incarnation;
  Load.m_Running = Report->m_Running;
  Load.m_Capacity = Report->m_Capacity;
  Load.m_Age = Report->m_Age;
  m_Router.onLoadReport(Load, Now);
}

void RequestService::onMemberChanged(const InstanceRecord &Record) {
  m_IsConnectionUpdateDue = true;
  if (Record.m_Role == InstanceRole::Agent && m_ConnectedAgents.contains(Record.m_Id))
    m_Router.onInstance(Record, EventLoop::now());
  if (Record.m_Role == InstanceRole::Entry)
    updateEntries();
}

/// Sets the entry instances of the data centre, which share the batching of claims.
void RequestService::updateEntries() {
  std::vector<InstanceId> Entries = m_Membership->view().entries(m_Settings.m_DataCentre);
  Entries.push_back(m_Settings.m_Id);
  m_Lifecycle.setEntries(std::move(Entries));
}

/// Opens and closes connections according to the dispatch subset of this instance. A connection
/// with attempts in progress is not closed until they end, even if the agent was declared dead: the
/// heartbeats of the connection itself show whether it has failed.
void RequestService::updateConnections() {
  m_IsConnectionUpdateDue = false;
  const Membership &View = m_Membership->view();
  std::vector<InstanceId> Subset = DispatchSubset::choose(View.self(), View.members());
  std::set<InstanceId> Wanted(Subset.begin(), Subset.end());
  for (auto Existing = m_ConnectedAgents.begin(); Existing != m_ConnectedAgents.end();) {
    const InstanceRecord *Record = View.find(*Existing);
    bool IsDead = !Record || Record->m_State == InstanceState::Dead;
    bool IsWanted = !IsDead && Wanted.contains(*Existing);
    if (!IsWanted && m_Router.inFlight(*Existing) == 0) {
      m_Rpc->node().removePeer(*Existing);
      Existing = m_ConnectedAgents.erase(Existing);
    } else {
      m_IsConnectionUpdateDue = m_IsConnectionUpdateDue || !IsWanted;
      ++Existing;
    }
  }
  for (const InstanceId &Agent : Wanted) {
    const InstanceRecord *Record = View.find(Agent);
    if (!Record || Record->m_State == InstanceState::Dead)
      continue;
    m_ConnectedAgents.insert(Agent);
    m_Router.onInstance(*Record, EventLoop::now());
    m_Rpc->node().addPeer(Agent, Record->m_Endpoint, true);
  }
}

void RequestService::onConfigurationChanged(const Configuration &InForce) {
  std::vector<ClassTarget> Targets;
  for (const TargetDeclaration *Declared : InForce.all<TargetDeclaration>())
    Targets.push_back(Declared->m_Target);
  m_Scheduler.setTargets(Targets);
}

void RequestService::readEpoch() {
  m_NextEpochReadAt = EventLoop::now() + (m_IsEpochKnown ? EpochReadInterval : EpochRetryInterval);
  m_Platform->read(std::string(ClaimEpochRowKey), [this](const std::optional<TableRow> &Row) {
    if (!Row)
      return;
    m_IsEpochKnown = true;
    m_NextEpochReadAt = EventLoop::now() + EpochReadInterval;
    m_Lifecycle.setEpochRow(*Row);
  });
}

void RequestService::tick() {
  TimePoint Now = EventLoop::now();
  if (Now >= m_NextEpochReadAt)
    readEpoch();
  if (auto Due = m_Batcher.nextTimer(); Due && Now >= *Due)
    perform(m_Batcher.onTimer(Now));
  if (auto Due = m_Lifecycle.nextTimer(); Due && Now >= *Due)
    perform(m_Lifecycle.onTimer(Now));
  reportCrashes(Now);
  if (Now >= m_NextLoadUpdateAt) {
    m_NextLoadUpdateAt = Now + LoadUpdateInterval;
    updateLoad();
  }
  perform(m_Scheduler.poll(Now));
}

void RequestService::updateLoad() {
  TimePoint Now = EventLoop::now();
  std::set<ServiceId> Services;
  std::uint32_t Entries = 1;
  for (const auto &Member : m_Membership->view().members()) {
    if (Member->m_Role == InstanceRole::Agent)
      Services.insert(Member->m_Service);
    else if (Member->m_Region == m_Settings.m_Region)
      ++Entries;
  }
  if (m_IsConnectionUpdateDue)
    updateConnections();
  for (const ServiceId &Id : Services)
    m_Scheduler.onLoad(Id, m_Router.load(Id, Now), Entries);
  m_Suspects.onTimer(Now);
  logQuarantineChanges();
}

bool RequestService::takeRetry(const RequestDescription &Request, TimePoint) {
  return m_Scheduler.takeRetry(Request.m_Id);
}

bool RequestService::takeHedge(const RequestDescription &Request, TimePoint) {
  return m_Scheduler.takeHedge(Request.m_Id);
}

GenerationId RequestService::generationOf(const InstanceId &Upstream) const {
  const InstanceRecord *Record = m_Membership->view().find(Upstream);
  return Record ? Record->m_Generation : GenerationId();
}

Incarnation RequestService::incarnationOf(const InstanceId &Upstream) const {
  auto Found = m_AgentIncarnations.find(Upstream);
  return Found == m_AgentIncarnations.end() ? Incarnation() : Found->second;
}

boost::json::object RequestService::dumpState() const {
  json::object State;
  m_Loop.postAndWait([&] {
    State["inProgress"] = m_PendingRequests.size();
    State["waiting"] = m_QueuedCount;
    State["draining"] = m_IsDraining;
    State["dispatches"] = m_Lifecycle.counters().m_Dispatches;
    State["retries"] = m_Lifecycle.counters().m_Retries;
    State["secondAttempts"] = m_Lifecycle.counters().m_SecondAttempts;
    State["resumes"] = m_Lifecycle.counters().m_Resumes;
    State["lateFragments"] = m_Lifecycle.counters().m_LateFragments;
    State["claimTransactions"] = m_Batcher.transactionsSent();
    State["claimRows"] = m_Batcher.rowsCommitted();
    State["claims"] = m_Lifecycle.claims().claimCount();
    State["suspects"] = m_Suspects.size();
    json::array Quarantines;
    for (const Quarantine &Each : m_Suspects.quarantines(EventLoop::now()))
      Quarantines.emplace_back(joinKeys(Each.m_Keys));
    State["quarantines"] = std::move(Quarantines);
    State["ownersKnown"] = m_OwnerCache.size();
    json::array Upstreams;
    std::string Lines = m_Router.describe(EventLoop::now());
    for (std::size_t Begin = 0; Begin < Lines.size();) {
      std::size_t End = std::min(Lines.find('\n', Begin), Lines.size());
      Upstreams.emplace_back(Lines.substr(Begin, End - Begin));
      Begin = End + 1;
    }
    State["upstreams"] = std::move(Upstreams);
  });
  return State;
}

} // namespace fescuegauge
