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
constexpr Duration LoadInterval = 100ms;
constexpr Duration SuspectInterval = 200ms;
/// `claim-epoch` changes about once a day; claims with an old copy fail and bring the current row.
constexpr Duration EpochInterval = 60s;
constexpr Duration EpochRetry = 500ms;
/// How long the HTTP thread waits before it looks whether the caller is still there.
constexpr Duration CallerCheckInterval = 100ms;
/// Bytes of a prompt that one entry of RequestDescription::m_PrefixBlocks covers.
constexpr std::size_t PrefixBlockBytes = 256;
constexpr std::size_t MaxPrefixBlocks = 64;
/// Rough length of a token, for cost estimates only.
constexpr std::size_t BytesPerToken = 4;
constexpr std::uint32_t DefaultAnswerTokens = 64;

std::string processId(const Settings &Configured, Incarnation Started) {
  return Configured.m_Id.str() + "~" + std::to_string(Started.value());
}

RouterOptions routerOptions(const Settings &Configured) {
  RouterOptions Options;
  Options.m_DataCentre = Configured.m_DataCentre;
  Options.m_Region = Configured.m_Region;
  return Options;
}

/// Digests of the prompt's prefixes, each one block longer than the one before.
std::vector<std::uint64_t> prefixBlocks(std::string_view Prompt) {
  std::vector<std::uint64_t> Blocks;
  for (std::size_t End = PrefixBlockBytes; End <= Prompt.size() && Blocks.size() < MaxPrefixBlocks;
       End += PrefixBlockBytes)
    Blocks.push_back(sha256(Prompt.substr(0, End)).prefix());
  return Blocks;
}

} // namespace

/// Passes the answer of one attempt to the lifecycle.
class RequestService::Sink final : public AttemptSink {
public:
  Sink(RequestService &Owner, InstanceId Upstream, RequestId Request)
      : m_Owner(Owner), m_Upstream(std::move(Upstream)), m_Request(std::move(Request)) {}

  void onFragment(const AttemptFragment &Fragment) override {
    AnswerFragment Received;
    Received.m_Attempt = Fragment.m_Attempt;
    Received.m_Request = m_Request;
    Received.m_Offset = Fragment.m_Offset;
    Received.m_Data = Fragment.m_Data;
    Received.m_ServedDigest = Fragment.m_ServedDigest;
    Received.m_ContentType = "text/plain; charset=utf-8";
    if (auto Found = m_Owner.m_Running.find(m_Request); Found != m_Owner.m_Running.end())
      Found->second->m_ServedDigest = Fragment.m_ServedDigest;
    m_Owner.carryOut(m_Owner.m_Lifecycle.fragment(Received, EventLoop::now()));
  }

  void onEnd(const AttemptId &Attempt, const AttemptEnd &End) override {
    m_Owner.attemptEnded(m_Upstream, m_Request, Attempt, End);
  }

private:
  RequestService &m_Owner;
  InstanceId m_Upstream;
  RequestId m_Request;
};

RequestService::RequestService(const Settings &Configured, Incarnation Started, EventLoop &Loop)
    : Service("requests"), m_Settings(Configured), m_Loop(Loop),
      m_ProcessId(processId(Configured, Started)),
      m_Router(routerOptions(Configured), Started.value()), m_Scheduler(Started.value()),
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
          m_Router, *this, m_Suspects, RandomGenerator(Started.value())),
      m_Batcher(m_ProcessId + ".b") {}

void RequestService::start(Kernel &Services) {
  m_Platform = &Services.find<PlatformService>("platform");
  m_Rpc = &Services.find<RpcService>("rpc");
  m_Membership = &Services.find<MembershipService>("membership");
  m_Targets = &Services.find<TargetsService>("targets");
  auto &Metrics = Services.find<MetricsService>("metrics");
  m_Outcomes = &Metrics.counter({"fescuegauge_requests_total",
                                 "Requests by class of work and final outcome.",
                                 {{"class", 32}, {"outcome", 32}}});
  m_Times = &Metrics.histogram(
      {"fescuegauge_request_seconds", "Time from arrival to the final answer.", {{"class", 32}}},
      {0.05, 0.1, 0.31, 0.5, 1, 2, 5, 10, 30, 60});
  auto &Http = Services.find<HttpService>("http");
  Http.route("POST /v1", [this](HttpExchange &Exchange) { serveRequest(Exchange); });
  Http.route("GET /v1/outcomes", [this](HttpExchange &Exchange) { serveOutcome(Exchange); });

  m_Loop.postAndWait([this] {
    m_Rpc->m_NextAttempt = [this] { return m_Lifecycle.nextAttemptNumber(); };
    m_Rpc->m_HeartbeatAnswer = [this](const InstanceId &Upstream, const std::string &Payload) {
      heartbeatAnswered(Upstream, Payload);
    };
    m_Rpc->m_Connected.push_back([this](const PeerIdentity &Peer) {
      if (Peer.m_Role != InstanceRole::Agent)
        return;
      m_AgentIncarnations[Peer.m_Instance] = Peer.m_Incarnation;
      carryOut(m_Lifecycle.upstreamConnected(Peer.m_Instance, EventLoop::now()));
    });
    m_Rpc->m_Disconnected.push_back([this](const InstanceId &Peer) {
      carryOut(m_Lifecycle.upstreamUnreachable(Peer, EventLoop::now()));
    });
    m_Rpc->onTopic(Topic::Claims, [this](const PeerIdentity &From, const std::string &Payload,
                                         const ControlReply &Reply) {
      auto Write = decodeClaimWrite(Payload);
      if (!Write)
        return Reply({});
      submitClaim(From.m_Instance, std::move(*Write),
                  [Reply](const ClaimWriteResult &Result) { Reply(encodePayload(Result)); });
    });
    m_Rpc->onTopic(Topic::Suspects, [this](const PeerIdentity &, const std::string &Payload,
                                           const ControlReply &Reply) {
      Reply({});
      if (auto Deltas = decodeSuspectDeltas(Payload))
        m_Suspects.merge(*Deltas, EventLoop::now());
    });
    m_Membership->onChanged([this](const InstanceRecord &Record) { memberChanged(Record); });
    updateEntries();
    m_Targets->onInForce([this](const Configuration &InForce) { configurationChanged(InForce); });
    configurationChanged(m_Targets->configuration());
  });
  m_Loop.every(TickInterval, [this] { tick(); });
  m_Loop.every(SuspectInterval, [this] { sendSuspects(); });
}

void RequestService::beginDrain() {
  m_Loop.postAndWait([this] { m_Draining = true; });
}

bool RequestService::isDrained() const {
  bool Idle = false;
  m_Loop.postAndWait([&] { Idle = m_Running.empty() && m_Lifecycle.isIdle(); });
  return Idle;
}

void RequestService::stop() {
  m_Loop.postAndWait([this] {
    for (const auto &[Id, Cut] : m_Running) {
      logEvent(Severity::Warning, "request_interrupted",
               {{"request", Id}, {"class", Cut->m_Request.m_Class}});
      FinishRequest Final;
      Final.m_Request = Id;
      Final.m_Outcome = RequestOutcome::Unknown;
      Final.m_Error = ErrorKind::OutcomeUnknown;
      Cut->m_Exchange->finish(Final);
    }
    m_Running.clear();
  });
}

// Calls from HTTP threads.

std::optional<ErrorKind> RequestService::describe(HttpExchange &Exchange, Running &Arrived) {
  const auto &Path = Exchange.segments();
  if (Path.size() != 3)
    return ErrorKind::MalformedRequest;
  if (auto Failure = Exchange.readBody(m_Settings.m_Limits))
    return Failure;
  RequestDescription &Request = Arrived.m_Request;
  Request.m_Account = ClientAccountId(Exchange.header("Client-Account"));
  boost::system::error_code Error;
  json::value Body = json::parse(Exchange.body(), Error);
  if (Error || !Body.is_object() || !isRowKeyPart(Request.m_Account.str()))
    return ErrorKind::MalformedRequest;
  Request.m_Id = RequestId(m_ProcessId + "-" + std::to_string(m_NextRequest.fetch_add(1)));
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
    Arrived.m_Ticket = GenerationTicket::decode(Ticket);
    if (!Arrived.m_Ticket)
      return ErrorKind::MalformedRequest;
  }
  Arrived.m_Body = Exchange.body();
  Arrived.m_Arrived = EventLoop::now();
  Duration Limit = std::min(DefaultDeadline, m_Settings.m_Limits.m_MaxDeadline);
  if (std::string Asked = Exchange.header("Request-Timeout-Ms"); !Asked.empty()) {
    auto Wanted = std::chrono::milliseconds(std::strtoul(Asked.c_str(), nullptr, 10));
    if (Wanted <= 0ms)
      return ErrorKind::MalformedRequest;
    Limit = std::min<Duration>(Wanted, m_Settings.m_Limits.m_MaxDeadline);
  }
  Arrived.m_Constraints.m_Deadline = Arrived.m_Arrived + Limit;
  return std::nullopt;
}

void RequestService::serveRequest(HttpExchange &Exchange) {
  auto Arrived = std::make_shared<Running>();
  if (auto Failure = describe(Exchange, *Arrived))
    return Exchange.answerError(*Failure, "the request cannot be read: expected POST "
                                          "/v1/SERVICE/CLASS with a JSON object as body and the "
                                          "header Client-Account");
  auto Events = std::make_shared<CallerExchange>();
  Arrived->m_Exchange = Events;
  RequestId Id = Arrived->m_Request.m_Id;
  Exchange.setHeader("Request-Id", Id.str());
  m_Loop.post([this, Arrived] { arrive(Arrived); });
  pumpAnswer(Exchange, Id, *Events);
}

void RequestService::pumpAnswer(HttpExchange &Exchange, const RequestId &Id,
                                CallerExchange &Events) {
  bool CallerPresent = true;
  auto Leave = [&] {
    if (CallerPresent)
      m_Loop.post([this, Id] { callerLeft(Id); });
    CallerPresent = false;
  };
  while (true) {
    auto Next = Events.wait(CallerCheckInterval);
    if (!Next) {
      if (CallerPresent && Exchange.isCallerGone())
        Leave();
      continue;
    }
    if (Next->m_Finish) {
      if (CallerPresent)
        finishExchange(Exchange, *Next->m_Finish);
      return;
    }
    if (!CallerPresent)
      continue;
    if (Next->m_Overflow) {
      Exchange.breakStream();
      Leave();
      continue;
    }
    if (!Exchange.hasStarted()) {
      Exchange.setHeader("Served-Digest", Next->m_ServedDigest.hex());
      Exchange.setHeader("Generation-Ticket", Next->m_Ticket);
    }
    if (!Exchange.sendFragment(Next->m_Data, Next->m_ContentType))
      Leave();
  }
}

void RequestService::finishExchange(HttpExchange &Exchange, const FinishRequest &Final) {
  if (Final.m_Outcome == RequestOutcome::Complete) {
    if (Final.m_Recorded) {
      Exchange.setHeader("Answer-Recorded", "true");
      return Exchange.answerText(Final.m_Recorded->m_Body, Final.m_Recorded->m_ContentType,
                                 Final.m_Recorded->m_HttpStatus);
    }
    if (Exchange.hasStarted())
      return Exchange.finishStream();
    return Exchange.answerText({}, "text/plain", 200);
  }
  if (Exchange.hasStarted())
    return Exchange.breakStream();
  ErrorKind Kind = Final.m_Error.value_or(ErrorKind::Internal);
  WasRun Run = Final.m_Outcome == RequestOutcome::NotRun ? WasRun::No : WasRun::Unknown;
  if (Final.m_Outcome == RequestOutcome::Refused)
    Run = errorAnswer(Kind).m_WasRun;
  Exchange.answerError(Kind, "the request was not answered", Final.m_RetryAfter, Run);
}

void RequestService::serveOutcome(HttpExchange &Exchange) {
  const auto &Path = Exchange.segments();
  std::string Account = Exchange.header("Client-Account");
  if (Path.size() != 3 || !isRowKeyPart(Account))
    return Exchange.answerError(ErrorKind::MalformedRequest,
                                "expected GET /v1/outcomes/KEY with the header Client-Account");
  std::string Key = claimRowKey(ClientAccountId(Account), IdempotencyKey(Path[2]));
  using Found = std::optional<TableRow>;
  Found Row = waitForLoop<Found>(
      m_Loop, [&](std::function<void(Found)> Done) { m_Platform->read(Key, std::move(Done)); });
  if (!Row)
    return Exchange.answerError(ErrorKind::TableUnreachable, "the table did not answer");
  auto Claim = ClaimRow::decode(Row->m_Value);
  json::object Answer{{"key", Path[2]}, {"outcome", "none"}};
  if (Claim) {
    constexpr std::array<std::string_view, 4> Names{"claimed", "done", "not-run", "unknown"};
    Answer["outcome"] = Names.at(static_cast<std::size_t>(Claim->m_State));
    if (Claim->m_Answer)
      Answer["answer"] = Claim->m_Answer->m_Body;
  }
  Exchange.answer(Answer);
}

// Calls on the loop.

std::optional<ErrorKind> RequestService::refusalFor(Running &Arrived) const {
  if (m_Draining)
    return ErrorKind::Draining;
  if (!m_Targets->isReady())
    return ErrorKind::NotReady;
  const LimitSettings &Limits = m_Settings.m_Limits;
  if (m_Running.size() > Limits.m_MaxRequestsInFlight + Limits.m_MaxQueuedRequests ||
      m_Waiting > Limits.m_MaxQueuedRequests)
    return ErrorKind::Overloaded;
  auto Waiting = m_WaitingOfAccount.find(Arrived.m_Request.m_Account);
  if (Waiting != m_WaitingOfAccount.end() && Waiting->second > Limits.m_MaxQueuedRequestsPerAccount)
    return ErrorKind::AccountOverShare;
  RequestDescription &Request = Arrived.m_Request;
  const Configuration &InForce = m_Targets->configuration();
  const ClassTarget *Target = InForce.target(Request.m_Service, Request.m_Class);
  if (!Target)
    return ErrorKind::UnknownWorkClass;
  Request.m_NonIdempotent = Target->m_NonIdempotent;
  Arrived.m_Priority = Target->m_Priority;
  if (Target->m_StaleAfter)
    Arrived.m_Constraints.m_StaleAt = Arrived.m_Arrived + *Target->m_StaleAfter;
  if (Request.m_NonIdempotent && Request.m_Key.empty())
    return ErrorKind::KeyMissing;
  Arrived.m_Constraints.m_Resumable = !Request.m_NonIdempotent;
  return std::nullopt;
}

void RequestService::arrive(const std::shared_ptr<Running> &Arrived) {
  m_Running[Arrived->m_Request.m_Id] = Arrived;
  Arrived->m_IsWaiting = true;
  ++m_Waiting;
  ++m_WaitingOfAccount[Arrived->m_Request.m_Account];
  if (auto Refusal = refusalFor(*Arrived))
    return refuse(Arrived, *Refusal);
  withOwner(Arrived);
}

/// Work that depends on the owner of its account waits for the owner row; other work goes on at
/// once.
void RequestService::withOwner(const std::shared_ptr<Running> &Arrived) {
  const RequestDescription &Request = Arrived->m_Request;
  if (!Request.m_NonIdempotent)
    return submit(Arrived);
  std::string Key = ownerRowKey(Request.m_Service, Request.m_Account);
  if (m_Owners.contains(Key))
    return submit(Arrived);
  m_Platform->read(Key, [this, Arrived, Key](const std::optional<TableRow> &Row) {
    ownerRead(Arrived, Key, Row);
  });
}

void RequestService::ownerRead(const std::shared_ptr<Running> &Arrived, const std::string &Key,
                               const std::optional<TableRow> &Row) {
  if (!Row)
    return refuse(Arrived, ErrorKind::TableUnreachable);
  if (Row->m_Version == RowVersion())
    return createOwner(Arrived, Key);
  if (!storeOwner(*Row))
    return refuse(Arrived, ErrorKind::Internal);
  submit(Arrived);
}

const ServiceDeclaration *RequestService::declarationOf(const ServiceId &Wanted) const {
  for (const ServiceDeclaration *Declared : m_Targets->configuration().all<ServiceDeclaration>())
    if (Declared->m_Service == Wanted)
      return Declared;
  return nullptr;
}

void RequestService::createOwner(const std::shared_ptr<Running> &Arrived, const std::string &Key) {
  const RequestDescription &Request = Arrived->m_Request;
  GenerationId Initial;
  if (const ServiceDeclaration *Declared = declarationOf(Request.m_Service))
    Initial = Declared->m_InitialGeneration;
  // Without a declaration there is one generation, whose name the upstreams report.
  if (Initial.empty())
    for (const auto &Member : m_Membership->view().members())
      if (Member->m_Service == Request.m_Service && Initial.empty())
        Initial = Member->m_Generation;
  if (Initial.empty())
    return refuse(Arrived, ErrorKind::NoUpstream);
  WriteId Id(m_ProcessId + ".o" + std::to_string(m_NextOwnerWrite++));
  m_Platform->transact(initialOwner(Request.m_Service, Request.m_Account, Initial, Id),
                       [this, Arrived, Key](const CommitResult &Result) {
                         if (Result.m_Status == CommitStatus::Unreachable ||
                             Result.m_Status == CommitStatus::Unknown)
                           return refuse(Arrived, ErrorKind::TableUnreachable);
                         m_Platform->read(Key, [this, Arrived](const std::optional<TableRow> &Row) {
                           // A stale read may still miss the row; the caller comes back.
                           if (!Row || !storeOwner(*Row))
                             return refuse(Arrived, ErrorKind::TableUnreachable);
                           submit(Arrived);
                         });
                       });
}

bool RequestService::storeOwner(const TableRow &Row) {
  auto Owner = OwnerRow::decode(Row.m_Value);
  if (!Owner)
    return false;
  auto Known = m_Owners.find(Row.m_Key);
  // Versions grow, so a stale read never replaces what a claim's conflict has shown.
  if (Known != m_Owners.end() && Known->second.m_Version >= Row.m_Version)
    return true;
  if (Known == m_Owners.end() && m_Owners.size() >= MaxOwners)
    m_Owners.erase(m_Owners.begin());
  m_Owners[Row.m_Key] = {*Owner, Row.m_Version};
  return true;
}

void RequestService::submit(const std::shared_ptr<Running> &Arrived) {
  const RequestDescription &Request = Arrived->m_Request;
  auto Known = m_Owners.find(ownerRowKey(Request.m_Service, Request.m_Account));
  std::optional<OwnerRow> Owner;
  if (Known != m_Owners.end()) {
    Owner = Known->second.m_Row;
    Arrived->m_Constraints.m_Owner = {Owner->m_Generation, Known->second.m_Version,
                                      Owner->m_State == OwnerRow::State::Paused};
  }
  const ServiceDeclaration *ServiceOf = declarationOf(Request.m_Service);
  const MoveDeclaration *Move = nullptr;
  for (const MoveDeclaration *Declared : m_Targets->configuration().all<MoveDeclaration>())
    if (Declared->m_Service == Request.m_Service && Declared->m_Class == Request.m_Class)
      Move = Declared;
  GenerationChoice Choice =
      chooseGeneration(Request, Arrived->m_Ticket, Owner, ServiceOf, Move, false);
  if (Choice.m_Paused) {
    // The pause ends with a later row, so the copy must not be used again.
    if (Known != m_Owners.end())
      m_Owners.erase(Known);
    return refuse(Arrived, ErrorKind::HandoverInProgress);
  }
  Arrived->m_Constraints.m_Generation = Choice.m_Generation;
  Arrived->m_Constraints.m_RequiredDigest = Choice.m_RequiredDigest;
  carryOut(m_Scheduler.submit(Request, EventLoop::now()));
}

void RequestService::refuse(const std::shared_ptr<Running> &Arrived, ErrorKind Kind,
                            std::optional<Duration> RetryAfter) {
  FinishRequest Final;
  Final.m_Request = Arrived->m_Request.m_Id;
  const ErrorAnswer &Answer = errorAnswer(Kind);
  Final.m_Outcome = Answer.m_RetryAfter ? RequestOutcome::NotRun : RequestOutcome::Refused;
  Final.m_Error = Kind;
  Final.m_RetryAfter = RetryAfter ? RetryAfter : Answer.m_RetryAfter;
  carryOut(Final);
}

void RequestService::endWait(Running &Waited) {
  if (!Waited.m_IsWaiting)
    return;
  Waited.m_IsWaiting = false;
  --m_Waiting;
  auto Found = m_WaitingOfAccount.find(Waited.m_Request.m_Account);
  if (--Found->second == 0)
    m_WaitingOfAccount.erase(Found);
}

void RequestService::carryOut(const std::vector<SchedulerAction> &Actions) {
  for (const SchedulerAction &Action : Actions) {
    auto Found = m_Running.find(Action.m_Id);
    if (Found == m_Running.end())
      continue;
    auto Target = Found->second;
    if (Action.m_Kind == SchedulerAction::Kind::Refuse) {
      refuse(Target, Action.m_Refusal.m_Kind, Action.m_Refusal.m_RetryAfter);
      continue;
    }
    Target->m_Started = EventLoop::now();
    endWait(*Target);
    carryOut(m_Lifecycle.arrive(Target->m_Request, Target->m_Constraints, EventLoop::now()));
  }
}

void RequestService::carryOut(const RequestActions &Actions) {
  for (const RequestAction &Action : Actions)
    std::visit([this](const auto &Wanted) { carryOut(Wanted); }, Action);
}

void RequestService::carryOut(const DispatchAttempt &Action) {
  auto Found = m_Running.find(Action.m_Request);
  if (Found == m_Running.end())
    return carryOut(m_Lifecycle.attemptNotSent(Action.m_Attempt, EventLoop::now()));
  Running &From = *Found->second;
  From.m_Generation = generationOf(Action.m_Upstream);
  AttemptRequest Request;
  Request.m_Attempt = Action.m_Attempt;
  Request.m_Request = Action.m_Request;
  Request.m_Account = From.m_Request.m_Account;
  Request.m_Service = From.m_Request.m_Service;
  Request.m_Class = From.m_Request.m_Class;
  Request.m_NonIdempotent = From.m_Request.m_NonIdempotent;
  Request.m_Execution = From.m_Request.m_NonIdempotent
                            ? From.m_Request.m_Account.str() + "/" + From.m_Request.m_Key.str()
                            : Action.m_Attempt.str();
  Request.m_Generation = From.m_Generation;
  Request.m_RequiredDigest = Action.m_RequiredDigest.value_or(Digest());
  Request.m_ResumeFrom = Action.m_ResumeOffset;
  Request.m_Priority = From.m_Priority;
  Request.m_Timeout = std::max<Duration>(From.m_Constraints.m_Deadline - EventLoop::now(), 1s);
  Request.m_Body = From.m_Body;
  Request.m_BodyDigest = From.m_Request.m_BodyDigest;
  logEvent(Severity::Debug, "attempt_dispatched",
           {{"request", Action.m_Request},
            {"attempt", Action.m_Attempt},
            {"upstream", Action.m_Upstream}});
  m_Rpc->node().runAttempt(Action.m_Upstream, Request,
                           std::make_shared<Sink>(*this, Action.m_Upstream, Action.m_Request));
}

void RequestService::carryOut(const CancelAttempt &Action) {
  m_Rpc->node().cancelAttempt(Action.m_Upstream, Action.m_Attempt);
}

void RequestService::carryOut(const QueryAttempt &Action) {
  m_Membership->send(Action.m_Upstream, Topic::Attempts, Action.m_Attempt.str(),
                     [this](const std::optional<std::string> &Payload) {
                       auto Reply = Payload ? decodeAttemptStatement(*Payload) : std::nullopt;
                       if (Reply)
                         carryOut(m_Lifecycle.attemptStatement(Reply->m_Statement, Reply->m_Answer,
                                                               EventLoop::now()));
                     });
}

void RequestService::carryOut(const DeliverFragment &Action) {
  auto Found = m_Running.find(Action.m_Request);
  if (Found == m_Running.end())
    return;
  if (!Found->second->m_FirstToken)
    Found->second->m_FirstToken = EventLoop::now();
  const Running &To = *Found->second;
  GenerationTicket Ticket;
  Ticket.m_Generation = To.m_Generation;
  Ticket.m_ServedDigest = To.m_ServedDigest;
  Ticket.m_AcknowledgedWrite = To.m_Request.m_NonIdempotent;
  To.m_Exchange->deliver(Action, To.m_ServedDigest, Ticket.encode());
}

void RequestService::carryOut(const FinishRequest &Action) {
  auto Found = m_Running.find(Action.m_Request);
  if (Found == m_Running.end())
    return;
  auto Finished = std::move(Found->second);
  m_Running.erase(Found);
  endWait(*Finished);
  TimePoint Now = EventLoop::now();
  bool IsComplete = Action.m_Outcome == RequestOutcome::Complete;
  if (Finished->m_Started) {
    std::optional<Duration> FirstToken;
    std::optional<Duration> Total;
    if (Finished->m_FirstToken)
      FirstToken = *Finished->m_FirstToken - *Finished->m_Started;
    if (IsComplete && !Action.m_Recorded)
      Total = Now - *Finished->m_Started;
    m_Scheduler.finished(Action.m_Request, FirstToken, Total, Now);
  }
  constexpr std::array<std::string_view, 6> Names{"complete", "not_run", "refused",
                                                  "unknown",  "broken",  "abandoned"};
  std::string_view Outcome = Names.at(static_cast<std::size_t>(Action.m_Outcome));
  const std::string &Class = Finished->m_Request.m_Class.str();
  m_Outcomes->add({Class, Outcome});
  m_Times->observe({Class}, toSeconds(Now - Finished->m_Arrived));
  logEvent(Severity::Info, "request_finished",
           {{"request", Action.m_Request},
            {"service", Finished->m_Request.m_Service},
            {"class", Class},
            {"account", Finished->m_Request.m_Account},
            {"outcome", Outcome},
            {"error", Action.m_Error ? errorAnswer(*Action.m_Error).m_Name : "none"},
            {"seconds", Now - Finished->m_Arrived}});
  Finished->m_Exchange->finish(Action);
}

void RequestService::carryOut(const SendClaimWrite &Action) {
  if (Action.m_To == m_Settings.m_Id)
    return submitClaim(m_Settings.m_Id, Action.m_Write, [this](const ClaimWriteResult &Result) {
      carryOut(m_Lifecycle.claimWriteResult(Result, EventLoop::now()));
    });
  m_Membership->send(
      Action.m_To, Topic::Claims, encodePayload(Action.m_Write),
      [this](const std::optional<std::string> &Payload) {
        // Without an answer the coordinator's own timeout sends the write elsewhere.
        auto Result = Payload ? decodeClaimWriteResult(*Payload) : std::nullopt;
        if (Result)
          carryOut(m_Lifecycle.claimWriteResult(*Result, EventLoop::now()));
      },
      2 * ClaimCoordinator::BatcherTimeout);
}

void RequestService::carryOut(const ReadTableRow &Action) {
  m_Platform->read(Action.m_Key, [this, Key = Action.m_Key](const std::optional<TableRow> &Row) {
    carryOut(m_Lifecycle.rowRead(Key, Row, EventLoop::now()));
  });
}

void RequestService::carryOut(const UpdateOwnerRow &Action) { storeOwner(Action.m_Row); }

void RequestService::submitClaim(const InstanceId &From, ClaimWrite Write,
                                 std::function<void(const ClaimWriteResult &)> Done) {
  m_ClaimAnswers[{From, Write.m_Ticket}] = std::move(Done);
  carryOut(m_Batcher.submit(From, std::move(Write), EventLoop::now()));
}

void RequestService::carryOut(const ClaimBatcherActions &Actions) {
  for (const Transaction &Commit : Actions.m_Commits)
    m_Platform->transact(Commit, [this, Id = Commit.m_WriteId](const CommitResult &Result) {
      carryOut(m_Batcher.onCommit(Id, Result, EventLoop::now()));
    });
  for (const ClaimBatcherActions::Answer &Answer : Actions.m_Answers) {
    auto Found = m_ClaimAnswers.find({Answer.m_To, Answer.m_Result.m_Ticket});
    if (Found == m_ClaimAnswers.end())
      continue;
    auto Done = std::move(Found->second);
    m_ClaimAnswers.erase(Found);
    Done(Answer.m_Result);
  }
}

void RequestService::callerLeft(const RequestId &Id) {
  auto Found = m_Running.find(Id);
  if (Found == m_Running.end())
    return;
  if (Found->second->m_Started)
    return carryOut(m_Lifecycle.callerLeft(Id, EventLoop::now()));
  m_Scheduler.cancel(Id);
  FinishRequest Final;
  Final.m_Request = Id;
  Final.m_Outcome = RequestOutcome::Abandoned;
  carryOut(Final);
}

void RequestService::attemptEnded(const InstanceId &Upstream, const RequestId &Request,
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
    return carryOut(m_Lifecycle.attemptEnded(Complete, Now));
  }
  case AttemptStatus::Refused:
    if (End.m_AgentIncarnation == Incarnation())
      return carryOut(m_Lifecycle.attemptNotSent(Attempt, Now));
    Statement.m_State = AttemptState::Refused;
    return carryOut(m_Lifecycle.attemptRefused(Statement, End.m_Error, Now));
  case AttemptStatus::EngineLost: {
    Statement.m_State = AttemptState::Failed;
    noteLoss(Upstream, End.m_Loss).m_Ended.push_back(Statement);
    return;
  }
  case AttemptStatus::Failed:
  case AttemptStatus::Cancelled:
    return carryOut(m_Lifecycle.attemptFailed(Attempt, Now));
  case AttemptStatus::ConnectionLost:
    // upstreamUnreachable() covers it when the whole connection is gone.
    if (m_Rpc->node().isConnected(Upstream))
      carryOut(m_Lifecycle.attemptFailed(Attempt, Now));
    return;
  }
}

RequestService::Crash &RequestService::noteLoss(const InstanceId &Upstream,
                                                const EngineLoss &Loss) {
  auto [Entry, IsNew] = m_Crashes.try_emplace({Upstream, Loss.m_EngineIncarnation});
  Crash &Collected = Entry->second;
  if (IsNew) {
    Collected.m_At = EventLoop::now();
    for (const RunningRequest &Lost : Loss.m_Running)
      Collected.m_Running.push_back({Lost.m_Account, Lost.m_BodyDigest});
  }
  return Collected;
}

void RequestService::sendSuspects() {
  auto Deltas = m_Suspects.takeDeltas(EventLoop::now());
  if (Deltas.empty())
    return;
  for (const InstanceId &Entry : m_Membership->view().entries(m_Settings.m_DataCentre))
    m_Membership->send(Entry, Topic::Suspects, encodePayload(Deltas));
}

/// Hands each loss over once, when the ends of its attempts have been collected. Losses are
/// remembered as long as agents repeat them in their reports.
void RequestService::flushCrashes(TimePoint Now) {
  for (auto Next = m_Crashes.begin(); Next != m_Crashes.end();) {
    const auto &[Upstream, Lost] = Next->first;
    Crash &Collected = Next->second;
    bool IsDue = Now - Collected.m_At >= CrashCollectTime;
    if (IsDue && (!Collected.m_IsReported || !Collected.m_Ended.empty())) {
      logEvent(Severity::Warning, "upstream_engine_lost",
               {{"upstream", Upstream}, {"attempts", Collected.m_Ended.size()}});
      std::vector<SuspectKey> Suspected;
      if (!Collected.m_IsReported)
        Suspected = Collected.m_Running;
      Collected.m_IsReported = true;
      std::vector<AttemptStatement> Ended;
      Ended.swap(Collected.m_Ended);
      carryOut(m_Lifecycle.engineCrashed(Upstream, Lost, Suspected, Ended, Now));
      sendSuspects();
    }
    Next = Now - Collected.m_At > CrashMemory ? m_Crashes.erase(Next) : std::next(Next);
  }
}

void RequestService::heartbeatAnswered(const InstanceId &Upstream, const std::string &Payload) {
  auto Report = decodeAgentReport(Payload);
  if (!Report)
    return;
  TimePoint Now = EventLoop::now();
  for (const EngineLoss &Loss : Report->m_Losses)
    noteLoss(Upstream, Loss);
  if (Report->m_IsLeaving)
    m_Router.onLeaving(Upstream, Report->m_Incarnation, Now);
  if (const InstanceRecord *Known = m_Membership->view().find(Upstream);
      Known && Known->m_Incarnation == Report->m_Incarnation) {
    InstanceRecord Current = *Known;
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

void RequestService::memberChanged(const InstanceRecord &Record) {
  m_LinksChanged = true;
  if (Record.m_Role == InstanceRole::Agent && m_Links.contains(Record.m_Id))
    m_Router.onInstance(Record, EventLoop::now());
  if (Record.m_Role == InstanceRole::Entry)
    updateEntries();
}

/// The entry instances of the data centre share the work of batching claims.
void RequestService::updateEntries() {
  std::vector<InstanceId> Entries = m_Membership->view().entries(m_Settings.m_DataCentre);
  Entries.push_back(m_Settings.m_Id);
  m_Lifecycle.setEntries(std::move(Entries));
}

/// Opens and closes connections so that they lead to the agents of the own subset. A connection
/// with attempts in progress is kept until they end.
void RequestService::updateLinks() {
  m_LinksChanged = false;
  const Membership &View = m_Membership->view();
  std::vector<InstanceId> Chosen = DispatchSubset::choose(View.self(), View.members());
  std::set<InstanceId> Wanted(Chosen.begin(), Chosen.end());
  for (auto Link = m_Links.begin(); Link != m_Links.end();) {
    const InstanceRecord *Record = View.find(*Link);
    bool IsDead = !Record || Record->m_State == InstanceState::Dead;
    if (IsDead || (!Wanted.contains(*Link) && m_Router.inFlight(*Link) == 0)) {
      m_Rpc->node().forget(*Link);
      Link = m_Links.erase(Link);
    } else {
      m_LinksChanged = m_LinksChanged || !Wanted.contains(*Link);
      ++Link;
    }
  }
  for (const InstanceId &Agent : Wanted) {
    const InstanceRecord *Record = View.find(Agent);
    if (!Record || Record->m_State == InstanceState::Dead)
      continue;
    m_Links.insert(Agent);
    m_Router.onInstance(*Record, EventLoop::now());
    m_Rpc->node().remember(Agent, Record->m_Endpoint, true);
  }
}

void RequestService::configurationChanged(const Configuration &InForce) {
  std::vector<ClassTarget> Targets;
  for (const TargetDeclaration *Declared : InForce.all<TargetDeclaration>())
    Targets.push_back(Declared->m_Target);
  m_Scheduler.setTargets(Targets);
}

void RequestService::readEpoch() {
  m_NextEpochRead = EventLoop::now() + (m_EpochKnown ? EpochInterval : EpochRetry);
  m_Platform->read(std::string(ClaimEpochRowKey), [this](const std::optional<TableRow> &Row) {
    if (!Row)
      return;
    m_EpochKnown = true;
    m_NextEpochRead = EventLoop::now() + EpochInterval;
    m_Lifecycle.setEpochRow(*Row);
  });
}

void RequestService::tick() {
  TimePoint Now = EventLoop::now();
  if (Now >= m_NextEpochRead)
    readEpoch();
  if (auto Due = m_Batcher.nextTimer(); Due && Now >= *Due)
    carryOut(m_Batcher.onTimer(Now));
  if (auto Due = m_Lifecycle.nextTimer(); Due && Now >= *Due)
    carryOut(m_Lifecycle.onTimer(Now));
  flushCrashes(Now);
  if (Now >= m_NextLoad) {
    m_NextLoad = Now + LoadInterval;
    loadTick();
  }
  carryOut(m_Scheduler.poll(Now));
}

void RequestService::loadTick() {
  TimePoint Now = EventLoop::now();
  std::set<ServiceId> Services;
  std::uint32_t Entries = 1;
  for (const auto &Member : m_Membership->view().members()) {
    if (Member->m_Role == InstanceRole::Agent)
      Services.insert(Member->m_Service);
    else if (Member->m_Region == m_Settings.m_Region)
      ++Entries;
  }
  if (m_LinksChanged)
    updateLinks();
  for (const ServiceId &Known : Services)
    m_Scheduler.onLoad(Known, m_Router.load(Known, Now), Entries);
  m_Suspects.onTimer(Now);
}

bool RequestService::takeRetry(const RequestDescription &Request, TimePoint) {
  return m_Scheduler.mayRetry(Request.m_Id);
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
    State["inProgress"] = m_Running.size();
    State["waiting"] = m_Waiting;
    State["draining"] = m_Draining;
    State["dispatches"] = m_Lifecycle.counters().m_Dispatches;
    State["retries"] = m_Lifecycle.counters().m_Retries;
    State["resumes"] = m_Lifecycle.counters().m_Resumes;
    State["lateFragments"] = m_Lifecycle.counters().m_LateFragments;
    State["claimTransactions"] = m_Batcher.transactionsSent();
    State["claimRows"] = m_Batcher.rowsCommitted();
    State["claims"] = m_Lifecycle.claims().claimCount();
    State["suspects"] = m_Suspects.size();
    State["ownersKnown"] = m_Owners.size();
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
