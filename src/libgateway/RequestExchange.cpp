#include "RequestExchange.h"

#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Log.h"
#include "Fescuegauge/ParseNumber.h"
#include "Fescuegauge/ScopeExit.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace fescuegauge {

namespace http = boost::beast::http;
namespace beast = boost::beast;

namespace {

constexpr std::string_view EventStreamType = "text/event-stream";
constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusUnavailable = 503;

// The response of a request that expires at the stop of its process is sent before the process
// ends.
static_assert(2 * RequestExpiry::MaxTime <= GatewayCore::StopMargin);

Invariant NotRunIsTrue("gateway.not_run_is_true");
Invariant AtMostOnceSentOnce("gateway.at_most_once_sent_once");

/// Whether a status tells the client that the request was not run and never will be.
bool isNotRunStatus(unsigned Status) {
  return Status == 408 || Status == StatusMisdirected || Status == 429 ||
         Status == StatusUnavailable;
}

/// Whether a header applies to a single connection.
bool isHopByHop(http::field Name) {
  switch (Name) {
  case http::field::connection:
  case http::field::keep_alive:
  case http::field::proxy_connection:
  case http::field::proxy_authenticate:
  case http::field::proxy_authorization:
  case http::field::te:
  case http::field::trailer:
  case http::field::transfer_encoding:
  case http::field::upgrade:
  case http::field::content_length:
  case http::field::expect:
    return true;
  default:
    return false;
  }
}

/// Copies the end-to-end headers of a message. Headers named in its Connection header are left out.
template <typename From, typename To> void copyHeaders(const From &Source, To &Target) {
  std::vector<std::string> Named;
  for (const auto &Token : http::token_list(Source[http::field::connection]))
    Named.emplace_back(Token);
  for (const auto &Field : Source) {
    if (isHopByHop(Field.name()))
      continue;
    const bool IsNamed = std::any_of(Named.begin(), Named.end(), [&](const std::string &Name) {
      return beast::iequals(Name, Field.name_string());
    });
    if (!IsNamed)
      Target.insert(Field.name(), Field.name_string(), Field.value());
  }
}

/// Returns the first number of a Token-Usage header, or 0 if there is none.
std::uint32_t parsePromptTokens(std::string_view Usage) {
  return parseNumber<std::uint32_t>(std::string(Usage.substr(0, Usage.find(',')))).value_or(0);
}

/// Identifies requests with the same target and body.
Digest digestOf(std::string_view Target, const SharedBody::value_type &Body) {
  DigestBuilder Builder;
  Builder.update(Target);
  Builder.update("\n");
  if (Body)
    for (const std::string &Segment : Body->segments())
      Builder.update(Segment);
  return Builder.finish();
}

} // namespace

RequestExchange::RequestExchange(GatewayCore &Core, std::shared_ptr<ClientConnection> Client,
                                 ClientRequest Request, TimePoint ArrivedAt)
    : m_Core(Core), m_Client(std::move(Client)), m_Request(std::move(Request)),
      m_ArrivedAt(ArrivedAt), m_KeepAlive(m_Request.keep_alive()), m_Plan(Core.plan()),
      m_DeadlineTimer(Core.executor()), m_StallTimer(Core.executor()),
      m_BackupEnded(Core.executor()) {}

std::string_view RequestExchange::kindName() const {
  if (!m_Route)
    return "none";
  switch (m_Route->m_Kind) {
  case Repeatability::Idempotent:
    return "idempotent";
  case Repeatability::AtMostOnce:
    return "at-most-once";
  case Repeatability::ResumableStream:
    return "resumable-stream";
  case Repeatability::SingleStream:
    return "single-stream";
  }
  return "none";
}

std::optional<ErrorKind> RequestExchange::resolveRoute() {
  const CallHeaderNames &Names = m_Core.headerNames();
  m_RequestId = std::string(m_Request[Names.m_RequestId]);
  if (!m_Plan)
    return ErrorKind::NotReady;
  std::string_view Target(m_Request.target().data(), m_Request.target().size());
  m_Route =
      m_Plan->find(std::string(m_Request[http::field::host]), Target.substr(0, Target.find('?')));
  if (!m_Route)
    return ErrorKind::UnknownRoute;
  m_Priority = m_Route->m_Priority;
  m_Regions = m_Route->m_Regions;
  if (m_Plan->requiresKeys() && !m_Route->m_Public) {
    const AccountPlan *Account = m_Plan->accountOf(std::string(m_Request[Names.m_AccountKey]));
    if (!Account)
      return ErrorKind::UnknownAccountKey;
    m_Account = Account->m_Id;
    m_Priority = Account->m_Priority.value_or(m_Priority);
    m_Regions = m_Regions.intersect(Account->m_Regions);
  }
  if (m_RequestId.empty())
    return ErrorKind::MalformedRequest;

  Duration Allowed = m_Route->m_Timeout;
  if (auto RequestedMs = parseNumber<std::uint64_t>(std::string(m_Request[Names.m_Deadline]))) {
    const Duration Requested =
        std::chrono::milliseconds(std::min<std::uint64_t>(*RequestedMs, 86'400'000));
    m_IsRetry = m_Core.retryDetector().isRetry(m_Route->m_Id, Requested);
    m_IsLimitedByRoute = m_Route->m_Timeout < Requested;
    Allowed = std::min(Allowed, Requested);
  }
  m_Deadline = m_ArrivedAt + Allowed;
  const ServiceId *Service = RouteTable::selectService(*m_Route, uniformUnit(m_Core.random()));
  if (!Service)
    return ErrorKind::NoUpstream;
  m_Service = *Service;
  m_Model = ModelId(std::string(m_Request[Names.m_Model]));
  m_PromptTokens = parsePromptTokens(m_Request[Names.m_TokenUsage]);
  const ServicePlan *Plan = m_Plan->service(m_Service);
  m_IsRanked = Plan && Plan->m_Engine && m_Plan->hasRanks(m_Service);
  if (m_IsRanked && !m_IsRetry)
    m_Core.recordDemand(*Plan, m_Priority, m_PromptTokens);
  m_SuspectRequest = makeSuspectRequest(m_Account, digestOf(Target, m_Request.body()),
                                        parseSharedPromptParts(m_Request[Names.m_PromptParts]));
  if (isQuarantined())
    return ErrorKind::RequestBlocked;
  if (m_Core.isRefusingRequests() || isTooLateToStart())
    return ErrorKind::Draining;
  return std::nullopt;
}

bool RequestExchange::isTooLateToStart() const {
  return !isRepeatable(m_Route->m_Kind) && m_Deadline > m_Core.requestCutoff();
}

Task<bool> RequestExchange::run() {
  auto Self = shared_from_this();
  std::optional<GatewayCore::RequestInProgress> InProgress;
  InProgress.emplace(
      m_Core, [this] { onStop(); }, [this] { onQuarantine(); });
  m_Core.m_Demand.onRequest(monotonicNow());
  std::optional<ErrorKind> Refused = resolveRoute();
  if (!Refused && m_Core.requestsInProgress() > GatewayCore::MaxRequests)
    Refused = ErrorKind::Overloaded;
  if (Refused) {
    co_await sendRefusal(*Refused);
  } else {
    m_DeadlineTimer.set(std::max(m_Deadline - monotonicNow(), Duration(0)),
                        [this] { onDeadline(); });
    m_Client->startDisconnectWatch([this] { onClientDisconnected(); });
    const ScopeExit EndCallbacks([this] {
      m_Client->stopDisconnectWatch();
      m_DeadlineTimer.cancel();
      m_StallTimer.cancel();
    });
    try {
      co_await dispatch();
    } catch (const std::exception &Error) {
      m_HasThrown = true;
      logEvent(Severity::Error, "request_failed",
               {{"request", m_RequestId}, {"reason", Error.what()}});
    }
    if (m_HasThrown)
      co_await finishWithFailure();
  }
  InProgress.reset();
  m_Core.countRequest(kindName(), m_Outcome);
  logFinished();
  co_return m_IsResponseComplete && !m_IsClientLost && canKeepConnection() && m_Client->isOpen();
}

Task<> RequestExchange::dispatch() {
  while (true) {
    const std::optional<Placement> Chosen = co_await acquirePlacement();
    if (!Chosen) {
      co_await finishWithFailure();
      co_return;
    }
    const AttemptEnd End = co_await performAttempts(*Chosen);
    if (End == AttemptEnd::Delivered) {
      m_Outcome = "delivered";
      co_return;
    }
    const bool WasNotSent = (End == AttemptEnd::NotSent || End == AttemptEnd::NoLongerEligible) &&
                            ++m_ConnectFailures <= MaxConnectFailures;
    // An attempt that fails past the deadline is not retried.
    if (isDeadlineOver())
      m_TimedOut = true;
    if (isInterrupted() || m_IsClientLost || isQuarantined() || (!WasNotSent && !takeRetry())) {
      co_await finishWithFailure();
      co_return;
    }
  }
}

Task<std::optional<Placement>> RequestExchange::acquirePlacement() {
  if (isTooLateToStart())
    co_return std::nullopt;
  PlacementRequest Required = placementRequest();
  WaitOptions Queueing;
  Queueing.m_MaxWait =
      std::min(m_HeaderSent ? MaxResumeWait : DispatchQueue::maxQueueTime(m_Route->m_TargetLatency),
               remainingTime());
  Queueing.m_Priority = m_Priority;
  Queueing.m_IsRetry = m_IsRetry && !m_HeaderSent;
  // A stream that was interrupted resumes in the slot that its lost upstream held.
  Queueing.m_IsRanked = m_IsRanked && !m_HeaderSent;
  const TimePoint Start = monotonicNow();
  const Placement Found =
      co_await m_Core.waitForPlacement(std::move(Required), Queueing, m_PlacementWaiter);
  m_QueueTime += monotonicNow() - Start;
  m_LastVerdict = Found.m_Verdict;
  m_NextPermit = Found.m_NextPermit;
  if (Found.m_Verdict != PlacementVerdict::Placed)
    co_return std::nullopt;
  if (isInterrupted() || isTooLateToStart() || isQuarantined()) {
    m_Core.undoPlacement(Found, m_PromptTokens);
    co_return std::nullopt;
  }
  co_return Found;
}

PlacementRequest RequestExchange::placementRequest() const {
  return {m_Service, m_Model, m_StreamVersion, m_TriedUpstreams, m_PromptTokens, m_Regions};
}

ClientRequest RequestExchange::upstreamRequest(const UpstreamRecord &To) const {
  const CallHeaderNames &Names = m_Core.headerNames();
  ClientRequest Request(m_Request.method(), m_Request.target(), 11);
  Request.method_string(m_Request.method_string());
  copyHeaders(m_Request, Request);
  for (const std::string &Own :
       {Names.m_AccountKey, Names.m_Account, Names.m_ExpectedUpstream, Names.m_ExpectedWeights,
        Names.m_UpstreamPriority, Names.m_RunnerPath, Names.m_NotRun})
    Request.erase(Own);
  if (!m_Account.empty())
    Request.set(Names.m_Account, m_Account.str());
  Request.set(Names.m_ExpectedUpstream, To.m_Id.str());
  if (m_HeaderSent && m_LastEventId)
    Request.set("Last-Event-ID", std::to_string(*m_LastEventId));
  if (m_IsRanked)
    Request.set(Names.m_UpstreamPriority,
                std::to_string(engineRank(m_Priority, m_IsRetry && !m_HeaderSent)));
  if (m_StreamVersion)
    Request.set(Names.m_ExpectedWeights, std::to_string(m_StreamVersion->value()));
  Request.body() = m_Request.body();
  return Request;
}

bool RequestExchange::prepareSend(RequestAttempt &Attempt, ClientRequest &Request) {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(remainingTime());
  if (Left.count() <= 0 && !m_Expiry.hasBegun()) {
    m_DeadlineTimer.cancel();
    onDeadline();
  }
  if (m_Expiry.hasBegun() || isInterrupted() || Attempt.isCancelled() || isTooLateToStart() ||
      isQuarantined() ||
      !m_Core.loadBalancer().canStillSend(Attempt.upstream(), placementRequest(), monotonicNow()) ||
      !ensurePermit(Attempt))
    return false;
  Request.set(m_Core.headerNames().m_Deadline, std::to_string(Left.count()));
  return true;
}

bool RequestExchange::ensurePermit(RequestAttempt &Attempt) {
  const TimePoint Now = monotonicNow();
  const UpstreamRecord &To = Attempt.upstream();
  SharedRates &Rates = m_Core.loadBalancer().rates();
  if (Rates.takePermit(To.start(), To.m_DataCentre, Attempt.m_Permits, Now) ==
      SharedRates::Permit::Refused) {
    if (Rates.cold().coldUntil(To.start(), Now))
      m_Core.countColdWithheldSend();
    else
      m_Core.countRateRefusedSend();
    return false;
  }
  Rates.onSending(To.start(), Attempt.m_Permits, Now);
  return true;
}

Task<AttemptEnd> RequestExchange::performAttempts(const Placement &Chosen) {
  AttemptPtr Latest = std::make_shared<RequestAttempt>();
  Latest->m_Placement = Chosen;
  m_Current = Latest;
  const ScopeExit EndOthers([this] {
    m_StallTimer.cancel();
    for (const AttemptPtr &Each : {m_Current, m_Backup})
      if (Each && Each->m_Exchange)
        Each->cancel(RequestAttempt::Cancellation::Unneeded);
    m_Backup.reset();
  });
  scheduleStallCheck();
  co_await runAttempt(*Latest);
  while (true) {
    // A backup attempt in flight goes on alone.
    if (m_Current == Latest && m_Backup && !isInterrupted())
      m_Current = std::exchange(m_Backup, nullptr);
    if (m_Current == Latest) {
      if (Latest->m_Exception)
        std::rethrow_exception(Latest->m_Exception);
      co_return *Latest->m_End;
    }
    Latest = m_Current;
    while (!Latest->m_End)
      co_await m_BackupEnded.wait();
  }
}

Task<> RequestExchange::runAttempt(RequestAttempt &Attempt) {
  try {
    Attempt.m_End = co_await performAttempt(Attempt);
  } catch (const std::exception &Error) {
    Attempt.m_Exception = std::current_exception();
    Attempt.m_End = AttemptEnd::Aborted;
    logEvent(Severity::Error, "attempt_aborted",
             {{"request", m_RequestId},
              {"upstream", Attempt.upstream().m_Id},
              {"reason", Error.what()}});
  }
}

Task<AttemptEnd> RequestExchange::performAttempt(RequestAttempt &Attempt) {
  const UpstreamRecord &To = Attempt.upstream();
  const bool IsAtMostOnce = !isRepeatable(m_Route->m_Kind);
  if (!AtMostOnceSentOnce.check(!IsAtMostOnce || !mayHaveRun(), m_RequestId)) {
    m_Core.undoPlacement(Attempt.m_Placement, m_PromptTokens);
    co_return AttemptEnd::Failed;
  }
  m_TriedUpstreams.push_back(To.m_Id);
  Attempt.m_Permits = Attempt.m_Placement.m_Permits;
  ScopeExit Abort([&] { endAttempt(Attempt, AttemptEnd::Aborted); });
  Attempt.m_Exchange = std::make_shared<UpstreamExchange>(m_Core.pool(), m_Core.headerNames(),
                                                          upstreamRequest(To), m_RequestId);
  Attempt.m_UnreadTokens = m_PromptTokens;
  Attempt.m_LastReadAt = Attempt.m_DispatchedAt = monotonicNow();
  Attempt.m_PlacedWeights = To.heldVersion(m_Model);
  Attempt.m_Running =
      m_Core.addRunning({To.start(), m_SuspectRequest, m_RequestId, Attempt.m_Exchange});
  // Only a stream shows when the request has begun: a plain response comes at the end of the run.
  const ServicePlan *Service = m_Plan->service(m_Service);
  if (Service && Service->m_Engine && !m_Model.empty() && isStream(m_Route->m_Kind))
    Attempt.m_UnstartedNumber =
        m_Core.addUnstarted(m_Model, To, [this, &Attempt] { withdraw(Attempt); });
  const AttemptEnd End = co_await sendAndRelay(Attempt);
  Abort.dismiss();
  co_return endAttempt(Attempt, End);
}

AttemptEnd RequestExchange::endAttempt(RequestAttempt &Attempt, AttemptEnd End) {
  const UpstreamRecord &To = Attempt.upstream();
  const bool HasFailed =
      End == AttemptEnd::Failed || End == AttemptEnd::Interrupted || End == AttemptEnd::Aborted;
  endUnstarted(Attempt, HasFailed ? GatewayCore::UnstartedEnd::NotBegun
                                  : GatewayCore::UnstartedEnd::NoSample);
  const std::shared_ptr<UpstreamExchange> Sent = std::exchange(Attempt.m_Exchange, nullptr);
  const bool IsAbandoned = isInterrupted() || Attempt.isCancelled() || End == AttemptEnd::Aborted;
  // Absent if an exception ended the attempt before it was registered.
  if (const auto Running = std::exchange(Attempt.m_Running, std::nullopt)) {
    if (End == AttemptEnd::Failed && !IsAbandoned)
      m_Core.checkCrash(To, **Running);
    if (IsAbandoned)
      m_Core.abandonRunning(*Running);
    else
      m_Core.removeRunning(*Running);
  }
  if (Sent)
    Sent->finish();
  if (End == AttemptEnd::Failed && !IsAbandoned && !Attempt.m_IsEndLogged)
    logAttempt(Attempt, "failed", "response");

  const bool IsTakenOver = Attempt.m_Cancellation == RequestAttempt::Cancellation::TakenOver;
  DispatchResult Result = DispatchResult::Failed;
  if (isInterrupted() || (Attempt.isCancelled() && !IsTakenOver && End == AttemptEnd::Failed) ||
      End == AttemptEnd::NoLongerEligible || End == AttemptEnd::Aborted)
    Result = DispatchResult::Abandoned;
  else if (IsTakenOver)
    Result = DispatchResult::Stalled;
  else if (End == AttemptEnd::Delivered || End == AttemptEnd::FailureResponse)
    Result = DispatchResult::Answered;
  else if (End == AttemptEnd::Rejected)
    Result = Attempt.m_WasPauseRequested ? DispatchResult::Deferred : DispatchResult::Rejected;
  m_Core.release(To.m_Id, Result, std::exchange(Attempt.m_UnreadTokens, 0));
  return End;
}

void RequestExchange::startBackup(Duration SilentTime) {
  if (m_Backup || m_Expiry.hasBegun() || !isRepeatable(m_Route->m_Kind))
    return;
  if (m_BackupAttempts >= MaxBackupAttempts || !canRetry()) {
    m_BackupWithheld = "attempts";
    return;
  }
  Placement Found = m_Core.tryPlace(placementRequest());
  if (Found.m_Verdict != PlacementVerdict::Placed) {
    m_BackupWithheld = Found.m_Verdict == PlacementVerdict::AllFull ? "no-slot" : "no-upstream";
    return;
  }
  if (!takeRetry()) {
    m_Core.undoPlacement(Found, m_PromptTokens);
    m_BackupWithheld = "retry-budget";
    return;
  }
  ++m_BackupAttempts;
  m_BackupWithheld = "none";
  m_Core.countAttempt("backup");
  if (m_Core.tryAcquireLogLine(true))
    logEvent(Severity::Info, "backup_attempt_started",
             {{"request", m_RequestId},
              {"upstream", m_Current->upstream().m_Id},
              {"backup", Found.m_Upstream.m_Id},
              {"attempt", m_Current->m_Number},
              {"silentSeconds", SilentTime},
              {"events", m_ForwardedEvents}});
  m_Backup = std::make_shared<RequestAttempt>();
  m_Backup->m_Placement = std::move(Found);
  m_Backup->m_IsBackup = true;
  spawnTask(m_Core.executor(), "backup_attempt",
            runBackup(m_Core.shared_from_this(), shared_from_this(), m_Backup));
}

Task<> RequestExchange::runBackup([[maybe_unused]] std::shared_ptr<GatewayCore> Core,
                                  std::shared_ptr<RequestExchange> Self, AttemptPtr Backup) {
  co_await Self->runAttempt(*Backup);
  // The first attempt goes on without a backup.
  if (Self->m_Backup == Backup)
    Self->m_Backup.reset();
  Self->m_BackupEnded.notifyAll();
}

bool RequestExchange::claimResponse(const RequestAttempt &By) {
  if (By.isCancelled())
    return false;
  const bool IsTakenOver = m_Backup.get() == &By;
  if (IsTakenOver)
    std::swap(m_Current, m_Backup);
  if (const AttemptPtr Other = std::exchange(m_Backup, nullptr)) {
    logAttempt(*Other, IsTakenOver ? "taken-over" : "unneeded", "");
    Other->cancel(IsTakenOver ? RequestAttempt::Cancellation::TakenOver
                              : RequestAttempt::Cancellation::Unneeded);
  }
  return true;
}

void RequestExchange::recordRateLimit(const RequestAttempt &Attempt) {
  const UpstreamExchange &Sent = *Attempt.m_Exchange;
  const UpstreamRecord &From = Attempt.upstream();
  const UpstreamExchange::Header &ResponseHeader = Sent.header();
  // A 421 may come from another upstream that uses the address now.
  if (ResponseHeader.result_int() == StatusMisdirected)
    return;
  std::optional<RequestRate> Named;
  if (const auto Field = ResponseHeader.find(m_Core.headerNames().m_UpstreamRate);
      Field != ResponseHeader.end()) {
    Named = parseRate(Field->value());
    if (!Named) {
      if (m_Core.tryAcquireLogLine(true))
        logEvent(Severity::Warning, "upstream_rate_unreadable",
                 {{"upstream", From.m_Id}, {"value", std::string(Field->value())}});
      return;
    }
  }
  m_Core.recordRateLimit(From.start(), Named, Sent.sentAt());
}

void RequestExchange::recordCold(const RequestAttempt &Attempt) {
  const UpstreamRecord &From = Attempt.upstream();
  const UpstreamExchange::Header &ResponseHeader = Attempt.m_Exchange->header();
  const auto Field = ResponseHeader.find(m_Core.headerNames().m_UpstreamCold);
  if (Field == ResponseHeader.end() || ResponseHeader.result_int() == StatusMisdirected)
    return;
  if (const auto Remaining = parseColdRemaining(Field->value()))
    m_Core.recordCold(From.start(), *Remaining);
  else if (m_Core.tryAcquireLogLine(true))
    logEvent(Severity::Warning, "upstream_cold_unreadable",
             {{"upstream", From.m_Id}, {"value", std::string(Field->value())}});
}

void RequestExchange::processUpstreamStatements(RequestAttempt &Attempt) {
  const TimePoint Now = monotonicNow();
  const UpstreamRecord &From = Attempt.upstream();
  const UpstreamExchange::Header &ResponseHeader = Attempt.m_Exchange->header();
  recordRateLimit(Attempt);
  recordCold(Attempt);
  if (ResponseHeader.count(m_Core.headerNames().m_UpstreamLeaving) != 0 &&
      m_Core.loadBalancer().onLeaving(From.start(), Now))
    logEvent(Severity::Info, "upstream_leaving",
             {{"upstream", From.m_Id}, {"request", m_RequestId}});
  if (ResponseHeader.result_int() != StatusUnavailable ||
      ResponseHeader.count(http::field::retry_after) == 0)
    return;
  if (auto Pause = parsePause(std::string(ResponseHeader[http::field::retry_after]))) {
    Attempt.m_WasPauseRequested = true;
    m_Core.loadBalancer().onPauseRequested(From.start(), *Pause, Now);
    if (m_Core.tryAcquireLogLine(true))
      logEvent(Severity::Info, "upstream_pause_asked",
               {{"upstream", From.m_Id}, {"seconds", *Pause}, {"request", m_RequestId}});
  } else {
    logEvent(Severity::Warning, "upstream_pause_unreadable",
             {{"upstream", From.m_Id},
              {"value", std::string(ResponseHeader[http::field::retry_after])}});
  }
}

Task<AttemptEnd> RequestExchange::sendAndRelay(RequestAttempt &Attempt) {
  const CallHeaderNames &Names = m_Core.headerNames();
  const UpstreamRecord &From = Attempt.upstream();
  UpstreamExchange &Sent = *Attempt.m_Exchange;
  // Counted before sending: the request may run as soon as its first byte leaves.
  ++m_PossibleRuns;
  Attempt.m_Number = ++m_AttemptsSent;
  const Duration MaxIdleTime =
      isRepeatable(m_Route->m_Kind) ? Duration::max() : MaxIdleTimeAtMostOnce;
  const ExchangeError Error = co_await Sent.start(
      From.m_Address, MaxIdleTime, std::clamp(remainingTime(), Duration(0), ConnectTimeout),
      [this, &Attempt](ClientRequest &Request) { return prepareSend(Attempt, Request); });
  if (!Sent.wasSent()) {
    // An address without a host refuses within a round trip.
    const bool HasTimedOut = monotonicNow() - Attempt.m_DispatchedAt >= ConnectTimeout;
    if (Error == ExchangeError::NotSent && HasTimedOut)
      m_Core.onConnectTimeout(From, Attempt.m_DispatchedAt);
    --m_PossibleRuns;
    --m_AttemptsSent;
    m_Core.loadBalancer().rates().returnPermit(From.start(), std::exchange(Attempt.m_Permits, {}));
    // The end of the request may have cut the time to open the connection.
    if (Error == ExchangeError::NotSent && (HasTimedOut || remainingTime() > Duration(0)))
      m_Core.recordUnreachable(From.start());
    if (!Attempt.isCancelled())
      logAttempt(Attempt, "not-sent", exchangeErrorName(Error));
    co_return Error == ExchangeError::NotAllowed ? AttemptEnd::NoLongerEligible
                                                 : AttemptEnd::NotSent;
  }
  if (Attempt.m_Permits.m_ForNamedRate)
    m_Core.countRateLimitedSend();
  if (Attempt.m_Permits.m_ForColdRate)
    m_Core.countColdSend();
  if (Attempt.m_Number == 1)
    m_Core.retryBudget(m_Service).onFirstAttempt(m_Account);
  if (Error != ExchangeError::None || Attempt.isCancelled()) {
    if (!Attempt.isCancelled()) {
      m_IsResponseMalformed = Error == ExchangeError::Malformed;
      logAttempt(Attempt, "failed", exchangeErrorName(Error));
    }
    co_return isInterrupted() ? AttemptEnd::Interrupted : AttemptEnd::Failed;
  }
  Attempt.m_LastReadAt = monotonicNow();
  m_Core.onProgress(From, Attempt.m_LastReadAt);
  const UpstreamExchange::Header &ResponseHeader = Sent.header();
  const unsigned Status = ResponseHeader.result_int();
  processUpstreamStatements(Attempt);
  if (auto Version =
          parseNumber<std::uint64_t>(std::string(ResponseHeader[Names.m_WeightsVersion])))
    Attempt.m_AnsweredWeights = WeightsVersion(*Version);
  if (ResponseHeader.count(Names.m_NotRun) != 0 || Status == StatusMisdirected) {
    --m_PossibleRuns;
    if (Attempt.m_IsBackup || (mayHaveRun() && m_ResumptionRejections++ < MaxUncountedRejections))
      ++m_UncountedRejections;
    co_await Sent.discardRest(RejectionTimeout);
    if (!Attempt.isCancelled())
      logAttempt(Attempt, "rejected", std::to_string(Status));
    co_return AttemptEnd::Rejected;
  }
  if (ResponseHeader.count(http::field::content_encoding) != 0) {
    m_IsResponseMalformed = true;
    logAttempt(Attempt, "failed", "content-encoding");
    co_return AttemptEnd::Failed;
  }
  const bool IsEvents = isStream(m_Route->m_Kind) && Status == 200 &&
                        beast::iequals(beast::string_view(ResponseHeader[http::field::content_type])
                                           .substr(0, EventStreamType.size()),
                                       EventStreamType);
  if (m_HeaderSent && !IsEvents) {
    logAttempt(Attempt, "failed", "resumed-without-events");
    co_return AttemptEnd::Failed;
  }
  if (IsEvents)
    co_return co_await relayEvents(Attempt);
  recordStart(Attempt);
  co_return co_await relayPlain(Attempt);
}

void RequestExchange::recordReadError(ExchangeError Error, const RequestAttempt &Attempt) {
  m_IsResponseMalformed = Error == ExchangeError::Malformed;
  if (!m_IsResponseMalformed)
    return;
  m_Core.countAttempt("malformed-body");
  if (m_Core.tryAcquireLogLine(true))
    logEvent(Severity::Warning, "upstream_response_malformed",
             {{"request", m_RequestId},
              {"upstream", Attempt.upstream().m_Id},
              {"attempt", Attempt.m_Number}});
}

Task<AttemptEnd> RequestExchange::relayPlain(RequestAttempt &Attempt) {
  UpstreamExchange &Sent = *Attempt.m_Exchange;
  const unsigned Status = Sent.header().result_int();
  const bool IsFailure = Status >= 500 || isNotRunStatus(Status);
  std::string Buffered;
  auto ResponseRoom = std::make_unique<GatewayCore::ResponseBuffer>(m_Core, ResponsePart::Whole);
  bool IsDone = false;
  while (!IsDone) {
    const std::size_t Before = Buffered.size();
    const ExchangeError Error = co_await Sent.read(Buffered);
    if (isInterrupted())
      co_return AttemptEnd::Interrupted;
    if (Attempt.isCancelled())
      co_return AttemptEnd::Failed;
    if (Error != ExchangeError::None) {
      recordReadError(Error, Attempt);
      if (m_HeaderSent)
        m_IsClientLost = true;
      co_return AttemptEnd::Failed;
    }
    Attempt.m_LastReadAt = monotonicNow();
    m_Core.onProgress(Attempt.upstream(), Attempt.m_LastReadAt);
    IsDone = Buffered.size() == Before;
    if (IsFailure && (Buffered.size() > MaxFailureBytes || !ResponseRoom->resize(Buffered.size())))
      co_return AttemptEnd::Failed;
    if (IsDone) {
      const bool Whole = co_await isWhole(Attempt);
      if (isInterrupted())
        co_return AttemptEnd::Interrupted;
      if (Attempt.isCancelled())
        co_return AttemptEnd::Failed;
      if (!Whole) {
        if (m_HeaderSent)
          m_IsClientLost = true;
        co_return AttemptEnd::Failed;
      }
      // A failure does not show that the upstream ran the request.
      if (!IsFailure)
        recordSurvivedStart(Attempt);
    }
    // Without room, the response is forwarded at once and can no longer be retried.
    const std::size_t MaxBuffered = isDeadlineOver() ? MaxFailureBytes : MaxBufferedBytes;
    if (IsFailure || (!IsDone && !m_HeaderSent && Buffered.size() < MaxBuffered &&
                      ResponseRoom->resize(Buffered.size())))
      continue;
    if (!claimResponse(Attempt))
      co_return AttemptEnd::Failed;
    recordFirstByte();
    std::optional<std::uint64_t> Length = Sent.contentLength();
    if (IsDone && !isHeadRequest())
      Length = Buffered.size();
    const bool Written = co_await sendPart(Sent.header(), Length, std::move(Buffered), IsDone);
    if (!Written)
      co_return AttemptEnd::Interrupted;
    Buffered.clear();
  }
  if (IsFailure) {
    m_FailureResponse = StoredResponse{Sent.header(), std::move(Buffered), std::move(ResponseRoom)};
    co_return AttemptEnd::FailureResponse;
  }
  m_IsResponseComplete = true;
  co_return AttemptEnd::Delivered;
}

Task<AttemptEnd> RequestExchange::relayEvents(RequestAttempt &Attempt) {
  UpstreamExchange &Sent = *Attempt.m_Exchange;
  const UpstreamRecord &From = Attempt.upstream();
  // An earlier attempt began the stream, and this one resumes it.
  const bool IsResumed = m_HeaderSent;
  if (IsResumed && m_StreamVersion && Attempt.m_AnsweredWeights &&
      m_StreamVersion != Attempt.m_AnsweredWeights)
    co_return AttemptEnd::Failed;
  const std::uint64_t ForwardedBefore = m_ForwardedEvents;
  EventSplitter Events;
  GatewayCore::ResponseBuffer EventBuffer(m_Core);
  std::string Bytes;
  bool IsFirstRead = true;
  std::size_t EventCount = 0;
  while (true) {
    Bytes.clear();
    const ExchangeError Error = co_await Sent.read(Bytes);
    if (isInterrupted())
      co_return AttemptEnd::Interrupted;
    if (Attempt.isCancelled())
      co_return AttemptEnd::Failed;
    if (Error != ExchangeError::None) {
      recordReadError(Error, Attempt);
      co_return AttemptEnd::Failed;
    }
    const TimePoint Now = monotonicNow();
    m_Core.onProgress(From, Now);
    if (m_HeaderSent && !Bytes.empty())
      m_LongestPause = std::max(m_LongestPause, Now - Attempt.m_LastReadAt);
    if (!IsFirstRead && !Bytes.empty())
      m_Core.loadBalancer().onEventGap(From.m_Id, Now - Attempt.m_LastReadAt, Now);
    IsFirstRead = false;
    Attempt.m_LastReadAt = Now;
    const bool IsDone = Bytes.empty();
    if (!IsDone && !Attempt.m_TimeToStart) {
      recordStart(Attempt);
      reportLateStart(Attempt);
    }
    if (!IsDone && Attempt.m_UnreadTokens > 0)
      m_Core.onPromptRead(From.m_Id, std::exchange(Attempt.m_UnreadTokens, 0));
    Events.append(Bytes);
    if (Events.isOverlong())
      co_return AttemptEnd::Failed;
    while (auto Event = Events.next()) {
      // An event without an id cannot be checked against those that the client has received.
      if (IsResumed && !Event->m_Id)
        co_return AttemptEnd::Failed;
      if (++EventCount == CrashSuspects::EventsToBegin)
        recordSurvivedStart(Attempt);
      const bool Forwarded = co_await forwardEvent(Attempt, *Event);
      if (!Forwarded)
        co_return Attempt.isCancelled() ? AttemptEnd::Failed : AttemptEnd::Interrupted;
    }
    if (!EventBuffer.resize(Events.pending().size() + m_Withheld.size()))
      co_return AttemptEnd::Failed;
    if (!IsDone)
      continue;
    // A response that ends within an event, or that resumes a stream without a new event, does not
    // prove that the stream is complete. Neither does the end of a connection without any event.
    const bool HasNoEvent = m_ForwardedEvents == ForwardedBefore;
    if (!Events.pending().empty() || (HasNoEvent && (IsResumed || Sent.endsWithConnection())))
      co_return AttemptEnd::Failed;
    const bool Whole = co_await isWhole(Attempt);
    if (isInterrupted())
      co_return AttemptEnd::Interrupted;
    if (!Whole || !claimResponse(Attempt))
      co_return AttemptEnd::Failed;
    recordSurvivedStart(Attempt);
    const std::optional<std::uint64_t> NoLength;
    const bool Written = co_await sendPart(Sent.header(), NoLength, {}, true);
    if (!Written)
      co_return AttemptEnd::Interrupted;
    m_IsResponseComplete = true;
    co_return AttemptEnd::Delivered;
  }
}

Task<bool> RequestExchange::isWhole(RequestAttempt &Attempt) {
  // An upstream that is leaving ends its process after its last response.
  const UpstreamRecord &From = Attempt.upstream();
  const UpstreamRecord *Listed = m_Core.loadBalancer().find(From.m_Id);
  const bool IsLeaving = !Listed || Listed->m_IsLeaving ||
                         m_Core.loadBalancer().isLeaving(From.start(), monotonicNow());
  if (!Attempt.m_Exchange->endsWithConnection() || IsLeaving)
    co_return true;
  Attempt.m_IsReadToEnd = true;
  const bool IsCrashed = co_await m_Core.hasCrashed(From, GatewayCore::CrashCheckDelay);
  co_return !IsCrashed;
}

Task<bool> RequestExchange::forwardEvent(const RequestAttempt &Attempt,
                                         const EventSplitter::Event &Event) {
  // An upstream that resumes a stream may repeat events that the client has received.
  if (Event.m_Id && m_HeaderSent && m_LastEventId && *Event.m_Id <= *m_LastEventId)
    co_return true;
  if (!claimResponse(Attempt))
    co_return false;
  if (!Event.m_Id)
    m_EventsResumable = false;
  // The version is binding once the client has received a part of the stream.
  if (Attempt.m_AnsweredWeights)
    m_StreamVersion = Attempt.m_AnsweredWeights;
  recordFirstByte();
  if (Event.m_Id)
    m_LastEventId = Event.m_Id;
  ++m_ForwardedEvents;
  const std::optional<std::uint64_t> NoLength;
  co_return co_await sendPart(Attempt.m_Exchange->header(), NoLength, Event.m_Bytes, false);
}

void RequestExchange::recordFirstByte() {
  if (m_TimeToFirstByte)
    return;
  m_TimeToFirstByte = monotonicNow() - m_ArrivedAt;
  m_Core.observeFirstByte(kindName(), *m_TimeToFirstByte);
  m_Core.observeWait(m_QueueTime);
}

void RequestExchange::recordStart(RequestAttempt &Attempt) {
  Attempt.m_TimeToStart = Attempt.m_LastReadAt - Attempt.m_DispatchedAt;
  m_Core.observeStart(kindName(), *Attempt.m_TimeToStart);
  (*Attempt.m_Running)->m_HasResponded = true;
  endUnstarted(Attempt, GatewayCore::UnstartedEnd::Started);
}

void RequestExchange::recordSurvivedStart(const RequestAttempt &Attempt) {
  if (std::exchange((*Attempt.m_Running)->m_HasBegun, true))
    return;
  m_Core.recordBegun(m_SuspectRequest);
}

void RequestExchange::reportLateStart(const RequestAttempt &Attempt) {
  if (!Attempt.m_AnsweredWeights)
    return;
  const auto Late =
      m_Core.lateStartDetector().detect(m_Model, *Attempt.m_AnsweredWeights, Attempt.m_LastReadAt);
  if (!Late)
    return;
  m_Core.countLateStart();
  if (m_Core.lateStartDetector().canLog(Attempt.m_LastReadAt))
    logEvent(Severity::Warning, "older_weights_ran_late",
             {{"request", m_RequestId},
              {"upstream", Attempt.upstream().m_Id},
              {"attempt", Attempt.m_Number},
              {"model", m_Model},
              {"placedWeights", Attempt.m_PlacedWeights},
              {"answeredWeights", *Attempt.m_AnsweredWeights},
              {"leastWeights", Late->m_MinVersion},
              {"lateSeconds", Late->m_Late},
              {"startSeconds", *Attempt.m_TimeToStart},
              {"sinceSentSeconds", Attempt.m_LastReadAt - Attempt.m_Exchange->sentAt()}});
}

bool RequestExchange::canRetry() const {
  const std::uint32_t Counted = m_AttemptsSent - m_UncountedRejections;
  if (Counted >= std::max<std::uint32_t>(m_Route->m_MaxAttempts, 1))
    return false;
  if (m_HeaderSent)
    return canResume();
  return !mayHaveRun() || isRepeatable(m_Route->m_Kind);
}

bool RequestExchange::takeRetry() {
  return canRetry() && m_Core.retryBudget(m_Service).takeRetry(m_Account);
}

void RequestExchange::onDeadline() {
  // The end of a backup attempt is handled in a later turn of the loop.
  if (m_IsResponseComplete)
    return;
  const TimePoint Now = monotonicNow();
  if (!m_Expiry.hasBegun())
    m_Core.observeLoopDelay(Now - std::min(m_Deadline, m_Core.requestCutoff()));
  if (m_Expiry.check(Now, isResponseArriving())) {
    m_DeadlineTimer.set(ArrivalWatch::CheckInterval, [this] { onDeadline(); });
    return;
  }
  m_TimedOut = true;
  if (m_IsStopping)
    cancelPendingOperations();
  else
    interrupt();
}

bool RequestExchange::isResponseArriving() {
  bool Result = m_IsWriting && m_IsLastPart;
  for (const AttemptPtr &Each : {m_Current, m_Backup}) {
    if (!Each || !Each->m_Exchange)
      continue;
    const bool IsWritingEnd = m_IsWriting && Each->m_Exchange->isReadToEnd();
    const bool IsArriving = Each->isArriving(Each->m_DeadlineWatch);
    Result = Result || IsWritingEnd || IsArriving || Each->m_IsReadToEnd;
  }
  return Result;
}

void RequestExchange::onClientDisconnected() {
  m_ClientDisconnected = true;
  m_IsClientLost = true;
  interrupt();
}

void RequestExchange::onStop() {
  m_IsStopping = true;
  if (!m_Expiry.hasBegun())
    onDeadline();
}

void RequestExchange::cancelPendingOperations() {
  if (m_PlacementWaiter)
    m_PlacementWaiter->cancel();
  for (const AttemptPtr &Each : {m_Current, m_Backup})
    if (Each && Each->m_Exchange)
      Each->m_Exchange->cancel();
}

void RequestExchange::interrupt() {
  cancelPendingOperations();
  // Ends a write to a client that does not read.
  if (m_HeaderSent)
    m_Client->reset();
}

Task<> RequestExchange::withdrawUnlessBegun([[maybe_unused]] std::shared_ptr<GatewayCore> Core,
                                            std::shared_ptr<RequestExchange> Self,
                                            AttemptPtr Attempt) {
  const auto IsUnstarted = [&] {
    return Attempt->m_Running && !(*Attempt->m_Running)->m_HasResponded;
  };
  ArrivalWatch Watch;
  RequestExpiry Expiry;
  while (IsUnstarted() && Expiry.check(monotonicNow(), Attempt->isArriving(Watch)))
    co_await sleepFor(ArrivalWatch::CheckInterval);
  if (IsUnstarted())
    Self->withdrawNow(*Attempt);
}

void RequestExchange::withdraw(RequestAttempt &Attempt) {
  const AttemptPtr Withdrawn = &Attempt == m_Backup.get() ? m_Backup : m_Current;
  if (Attempt.m_Exchange && Attempt.m_Exchange->wasSent())
    spawnTask(m_Core.executor(), "withdraw",
              withdrawUnlessBegun(m_Core.shared_from_this(), shared_from_this(), Withdrawn));
  else
    withdrawNow(Attempt);
}

void RequestExchange::withdrawNow(RequestAttempt &Attempt) {
  if (Attempt.isCancelled())
    return;
  Attempt.cancel(RequestAttempt::Cancellation::Withdrawn);
  m_Core.countAttempt("withdrawn");
  if (m_Core.tryAcquireLogLine(true))
    logEvent(Severity::Info, "request_withdrawn",
             {{"request", m_RequestId},
              {"upstream", Attempt.upstream().m_Id},
              {"attempt", Attempt.m_Number},
              {"placedWeights", Attempt.m_PlacedWeights},
              {"sinceDispatchSeconds", monotonicNow() - Attempt.m_DispatchedAt}});
}

void RequestExchange::onQuarantine() {
  if (!isQuarantined())
    return;
  if (m_PlacementWaiter)
    m_PlacementWaiter->cancel();
  for (const AttemptPtr &Each : {m_Current, m_Backup})
    if (Each && Each->m_Exchange && Each->m_Running && !(*Each->m_Running)->m_HasResponded)
      withdraw(*Each);
}

void RequestExchange::endUnstarted(RequestAttempt &Attempt, GatewayCore::UnstartedEnd How) {
  if (Attempt.m_UnstartedNumber)
    m_Core.endUnstarted(*std::exchange(Attempt.m_UnstartedNumber, std::nullopt), m_Service, How);
}

void RequestExchange::scheduleStallCheck() {
  m_StallCheckDueAt = monotonicNow() + StallCheckInterval;
  m_StallTimer.set(StallCheckInterval, [this] {
    const RequestAttempt &Observed = *m_Current;
    const TimePoint Now = monotonicNow();
    m_Core.observeLoopDelay(Now - m_StallCheckDueAt);
    // After a pause of this process, timers run before what arrived meanwhile is read.
    const bool WasPaused = Now - m_StallCheckDueAt > StallCheckInterval;
    const Duration SilentTime = m_IsWriting || Observed.m_IsReadToEnd
                                    ? Duration(0)
                                    : Now - std::max(Observed.m_LastReadAt, m_LastClientWriteAt);
    const bool IsUpstreamSilent = m_Core.loadBalancer().isSilent(Observed.upstream().m_Id, Now);
    const bool IsStalled = isStream(m_Route->m_Kind)
                               ? SilentTime > (IsUpstreamSilent ? StallTimeout : LongStallTimeout)
                               : SilentTime > PlainStallFactor * m_Route->m_TargetLatency;
    // Opening a connection has a time limit of its own.
    if (IsStalled && !WasPaused && Observed.m_Exchange && Observed.m_Exchange->wasSent())
      startBackup(SilentTime);
    scheduleStallCheck();
  });
}

Task<> RequestExchange::sendRefusal(ErrorKind Kind) {
  const ErrorAnswer &Answer = errorAnswer(Kind);
  std::optional<Duration> RetryAfter;
  if (Answer.m_HttpStatus == 503 && Answer.m_RetryAfter) {
    RetryAfter = m_Core.retryDelays().next(m_Route ? std::max(remainingTime(), Duration(0))
                                                   : std::chrono::seconds(1));
    // With no permit due here, another instance may still have a share of the rate limit.
    if (m_NextPermit && *m_NextPermit != TimePoint::max())
      RetryAfter = std::max(*RetryAfter, *m_NextPermit - monotonicNow());
  }
  co_await sendErrorResponse(Kind, RetryAfter);
}

Task<> RequestExchange::finishWithFailure() {
  m_Withheld.clear();
  if (m_ClientDisconnected) {
    m_Outcome = "caller-left";
    m_Client->close();
    co_return;
  }
  if (m_HeaderSent) {
    m_Outcome = m_TimedOut ? "cut-at-deadline" : "cut-upstream-lost";
    m_IsClientLost = true;
    m_Client->reset();
    co_return;
  }
  if (m_FailureResponse) {
    co_await sendFailureResponse();
    co_return;
  }
  if (m_HasThrown) {
    co_await sendErrorResponse(ErrorKind::Internal, std::nullopt);
    co_return;
  }
  if (!mayHaveRun()) {
    ErrorKind Kind = ErrorKind::Overloaded;
    if (m_LastVerdict == PlacementVerdict::NoneUsable)
      Kind = ErrorKind::NoUpstream;
    else if (m_LastVerdict == PlacementVerdict::NoneInRegions)
      Kind = ErrorKind::NoUpstreamInRegion;
    if (m_Core.isRefusingRequests() || isTooLateToStart())
      Kind = ErrorKind::Draining;
    if (isQuarantined())
      Kind = ErrorKind::RequestBlocked;
    co_await sendRefusal(Kind);
    co_return;
  }
  if (m_TimedOut)
    co_await sendErrorResponse(ErrorKind::DeadlineExceeded, std::nullopt);
  else
    co_await sendErrorResponse(
        m_IsResponseMalformed ? ErrorKind::AnswerMalformed : ErrorKind::UpstreamLost, std::nullopt);
}

Task<> RequestExchange::sendFailureResponse() {
  // A status that promises that the request was not run must not reach the client, because the
  // upstream did not state it in the Not-Run header.
  if (isNotRunStatus(m_FailureResponse->m_Header.result_int())) {
    co_await sendErrorResponse(ErrorKind::UpstreamLost, std::nullopt);
    co_return;
  }
  m_Outcome = "upstream-failure";
  std::optional<std::uint64_t> Length = m_FailureResponse->m_Body.size();
  if (isHeadRequest())
    Length = parseNumber<std::uint64_t>(
        std::string(m_FailureResponse->m_Header[http::field::content_length]));
  m_IsResponseComplete = co_await sendPart(m_FailureResponse->m_Header, Length,
                                           std::move(m_FailureResponse->m_Body), true);
}

Task<> RequestExchange::sendErrorResponse(ErrorKind Kind, std::optional<Duration> RetryAfter) {
  const ErrorAnswer &Answer = errorAnswer(Kind);
  m_Outcome = Answer.m_Name;
  m_Status = static_cast<unsigned>(Answer.m_HttpStatus);
  if (isNotRunStatus(m_Status) && !NotRunIsTrue.check(!mayHaveRun(), m_RequestId)) {
    m_Client->reset();
    co_return;
  }
  HttpResponse Response = errorResponse(Answer);
  if (!m_RequestId.empty())
    Response.set(m_Core.headerNames().m_RequestId, m_RequestId);
  if (RetryAfter)
    Response.set(http::field::retry_after, formatSeconds(*RetryAfter));
  Response.keep_alive(canKeepConnection());

  Response.prepare_payload();
  if (isHeadRequest())
    Response.body().clear();
  m_HeaderSent = true;
  m_IsWriting = m_IsLastPart = true;
  auto [Error, Size] = co_await http::async_write(m_Client->socket(), Response, AsTuple);
  m_IsWriting = false;
  m_IsResponseComplete = !Error;
  m_IsClientLost = static_cast<bool>(Error);
}

std::string RequestExchange::makeHeader(const UpstreamExchange::Header &From,
                                        std::optional<std::uint64_t> Length) {
  http::response_header<> ResponseHeader;
  ResponseHeader.version(11);
  ResponseHeader.result(From.result_int());
  ResponseHeader.reason(From.reason());
  copyHeaders(From, ResponseHeader);
  m_IsChunked = !Length;
  if (Length)
    ResponseHeader.set(http::field::content_length, std::to_string(*Length));
  else
    ResponseHeader.set(http::field::transfer_encoding, "chunked");
  if (!canKeepConnection())
    ResponseHeader.set(http::field::connection, "close");
  std::ostringstream Text;
  Text << ResponseHeader;
  return Text.str();
}

std::string RequestExchange::frame(std::string Bytes, bool IsLast) const {
  if (isHeadRequest())
    return {};
  if (!m_IsChunked)
    return Bytes;
  std::string Framed;
  if (!Bytes.empty())
    Framed = beast::buffers_to_string(http::make_chunk(net::buffer(Bytes)));
  if (IsLast)
    Framed += beast::buffers_to_string(http::make_chunk_last());
  return Framed;
}

Task<bool> RequestExchange::sendPart(const UpstreamExchange::Header &From,
                                     std::optional<std::uint64_t> Length, std::string Bytes,
                                     bool IsLast) {
  std::string Text = std::exchange(m_Withheld, {});
  if (!m_HeaderSent && Text.empty())
    Text = makeHeader(From, Length);
  Text += frame(std::move(Bytes), IsLast);
  if (Text.empty())
    co_return true;
  if (!m_HeaderSent && !IsLast && isDeadlineOver()) {
    if (!m_Expiry.hasBegun())
      onDeadline();
    m_TimedOut = m_TimedOut || Text.size() > MaxBufferedBytes;
    m_Withheld = std::move(Text);
    co_return !m_TimedOut;
  }
  m_HeaderSent = true;
  m_IsLastPart = IsLast;
  m_Status = From.result_int();
  co_return co_await writeClient(std::move(Text));
}

Task<bool> RequestExchange::writeClient(std::string Bytes) {
  m_IsWriting = true;
  auto [Error, Size] = co_await net::async_write(m_Client->socket(), net::buffer(Bytes), AsTuple);
  m_IsWriting = false;
  m_LastClientWriteAt = monotonicNow();
  if (Error)
    m_IsClientLost = true;
  co_return !Error;
}

void RequestExchange::logAttempt(RequestAttempt &Attempt, std::string_view Outcome,
                                 std::string_view Detail) {
  Attempt.m_IsEndLogged = true;
  m_Core.countAttempt(Outcome);
  if (m_Core.tryAcquireLogLine(true))
    logEvent(Severity::Info, "attempt_ended",
             {{"request", m_RequestId},
              {"upstream", Attempt.upstream().m_Id},
              {"outcome", Outcome},
              {"detail", Detail},
              {"backup", Attempt.m_IsBackup},
              {"inFlight", Attempt.m_Placement.m_InFlight},
              {"attempt", Attempt.m_Number},
              {"mayHaveRun", mayHaveRun()},
              {"sinceDispatchSeconds", monotonicNow() - Attempt.m_DispatchedAt}});
}

void RequestExchange::logFinished() {
  const bool Failed = m_Outcome != "delivered";
  if (!m_Core.tryAcquireLogLine(Failed))
    return;
  const RequestAttempt Last = m_Current ? *m_Current : RequestAttempt();
  logEvent(Severity::Info, "request_finished",
           {{"request", m_RequestId},
            {"route", m_Route ? m_Route->m_Id.str() : std::string()},
            {"plan", m_Plan ? m_Plan->version() : PlanVersion()},
            {"account", m_Account},
            {"service", m_Service},
            {"outcome", m_Outcome},
            {"status", m_Status},
            {"returned", m_IsRetry},
            {"attempts", m_AttemptsSent},
            {"backups", m_BackupAttempts},
            {"backupWithheld", m_BackupWithheld},
            {"upstream", Last.upstream().m_Id},
            {"allowedSeconds", m_Deadline == TimePoint() ? Duration(0) : m_Deadline - m_ArrivedAt},
            {"limit", m_IsLimitedByRoute ? "route" : "client"},
            {"responseBegun", m_HeaderSent},
            {"connectionKept", m_IsResponseComplete && !m_IsClientLost},
            {"events", m_ForwardedEvents},
            {"longestPauseSeconds", m_LongestPause},
            {"mayHaveRun", mayHaveRun()},
            {"waitSeconds", m_QueueTime},
            {"placedWeights", Last.m_PlacedWeights},
            {"answeredWeights", Last.m_AnsweredWeights.value_or(WeightsVersion())},
            {"startSeconds", Last.m_TimeToStart.value_or(Duration(0))},
            {"firstByteSeconds", m_TimeToFirstByte.value_or(Duration(0))},
            {"totalSeconds", monotonicNow() - m_ArrivedAt}});
}

} // namespace fescuegauge
