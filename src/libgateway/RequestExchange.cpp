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
      m_LastUpstreamReadAt(ArrivedAt) {}

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
  std::optional<Placement> Next;
  while (true) {
    if (!Next) {
      Next = co_await acquirePlacement();
      if (!Next) {
        co_await finishWithFailure();
        co_return;
      }
    }
    const Placement Chosen = *Next;
    Next.reset();
    const AttemptEnd End = co_await performAttempt(Chosen);
    if (End == AttemptEnd::Delivered) {
      m_Outcome = "delivered";
      co_return;
    }
    if (End == AttemptEnd::Moved) {
      Next = std::move(m_NextPlacement);
      m_NextPlacement.reset();
      continue;
    }
    const bool HasNotRun = End == AttemptEnd::Rejected || End == AttemptEnd::NotSent ||
                           End == AttemptEnd::NoLongerEligible;
    if (HasNotRun && m_SilentUpstream)
      std::erase(m_TriedUpstreams, *std::exchange(m_SilentUpstream, std::nullopt));
    const bool WasNotSent = (End == AttemptEnd::NotSent || End == AttemptEnd::NoLongerEligible) &&
                            ++m_ConnectFailures <= MaxConnectFailures;
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

bool RequestExchange::prepareSend(const UpstreamRecord &To, ClientRequest &Request) {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(remainingTime());
  // If the event loop is delayed, the deadline timer is late too.
  if (Left.count() <= 0) {
    m_TimedOut = true;
    m_DeadlineTimer.cancel();
  }
  if (isInterrupted() || isTooLateToStart() || isQuarantined() ||
      !m_Core.loadBalancer().canStillSend(To, placementRequest(), monotonicNow()) ||
      !ensurePermit(To))
    return false;
  Request.set(m_Core.headerNames().m_Deadline, std::to_string(Left.count()));
  return true;
}

bool RequestExchange::ensurePermit(const UpstreamRecord &To) {
  const TimePoint Now = monotonicNow();
  SharedRates &Rates = m_Core.loadBalancer().rates();
  if (Rates.takePermit(To.start(), To.m_DataCentre, m_Permits, Now) ==
      SharedRates::Permit::Refused) {
    if (Rates.cold().coldUntil(To.start(), Now))
      m_Core.countColdWithheldSend();
    else
      m_Core.countRateRefusedSend();
    return false;
  }
  Rates.onSending(To.start(), m_Permits, Now);
  return true;
}

Task<RequestExchange::AttemptEnd> RequestExchange::performAttempt(const Placement &Chosen) {
  const UpstreamRecord &To = Chosen.m_Upstream;
  const bool IsAtMostOnce = !isRepeatable(m_Route->m_Kind);
  if (!AtMostOnceSentOnce.check(!IsAtMostOnce || !m_MayHaveRun, m_RequestId)) {
    m_Core.undoPlacement(Chosen, m_PromptTokens);
    co_return AttemptEnd::Failed;
  }
  m_TriedUpstreams.push_back(To.m_Id);
  m_NextPlacement.reset();
  m_WasPauseRequested = false;
  m_Permits = Chosen.m_Permits;
  m_Withdrawn = false;
  ScopeExit Abort([&] { endAttempt(Chosen, AttemptEnd::Aborted); });
  // A version is binding only once the client has received a part of the stream.
  if (!m_HeaderSent)
    m_StreamVersion.reset();
  auto Sent = std::make_shared<UpstreamExchange>(m_Core.pool(), m_Core.headerNames(),
                                                 upstreamRequest(To), m_RequestId);
  m_CurrentExchange = Sent;
  m_CurrentUpstream = To.m_Id;
  m_UnreadTokens = m_PromptTokens;
  m_LastUpstreamReadAt = m_DispatchedAt = monotonicNow();
  m_TimeToStart.reset();
  m_PlacedWeights = To.heldVersion(m_Model);
  m_AnsweredWeights.reset();
  scheduleStallCheck();
  m_Running = m_Core.addRunning({To.start(), m_SuspectRequest, m_RequestId, Sent});
  // Only a stream shows when the request has begun: a plain response comes at the end of the run.
  const ServicePlan *Service = m_Plan->service(m_Service);
  if (Service && Service->m_Engine && !m_Model.empty() && isStream(m_Route->m_Kind))
    m_UnstartedNumber = m_Core.addUnstarted(m_Model, To, [this] { withdraw(); });
  const AttemptEnd End = co_await sendAndRelay(Chosen, *Sent);
  Abort.dismiss();
  co_return endAttempt(Chosen, End);
}

RequestExchange::AttemptEnd RequestExchange::endAttempt(const Placement &Chosen, AttemptEnd End) {
  const UpstreamRecord &To = Chosen.m_Upstream;
  const bool HasFailed =
      End == AttemptEnd::Failed || End == AttemptEnd::Interrupted || End == AttemptEnd::Aborted;
  endUnstarted(HasFailed ? GatewayCore::UnstartedEnd::NotBegun
                         : GatewayCore::UnstartedEnd::NoSample);
  m_StallTimer.cancel();
  const std::shared_ptr<UpstreamExchange> Sent = std::exchange(m_CurrentExchange, nullptr);
  const bool Moved = End == AttemptEnd::Failed && m_NextPlacement.has_value();
  const bool IsAbandoned = isInterrupted() || Moved || m_Withdrawn || End == AttemptEnd::Aborted;
  // Absent if an exception ended the attempt before it was registered.
  if (const auto Running = std::exchange(m_Running, std::nullopt)) {
    if (End == AttemptEnd::Failed && !IsAbandoned)
      m_Core.checkCrash(To, **Running);
    if (IsAbandoned)
      m_Core.abandonRunning(*Running);
    else
      m_Core.removeRunning(*Running);
  }
  if (Sent)
    Sent->finish();

  DispatchResult Result = DispatchResult::Failed;
  if (isInterrupted() || (m_Withdrawn && End == AttemptEnd::Failed) ||
      End == AttemptEnd::NoLongerEligible || End == AttemptEnd::Aborted)
    Result = DispatchResult::Abandoned;
  else if (End == AttemptEnd::Delivered || End == AttemptEnd::FailureResponse)
    Result = DispatchResult::Answered;
  else if (End == AttemptEnd::Rejected)
    Result = m_WasPauseRequested ? DispatchResult::Deferred : DispatchResult::Rejected;
  m_Core.release(To.m_Id, Result, std::exchange(m_UnreadTokens, 0));
  if (m_NextPlacement && !Moved) {
    m_Core.undoPlacement(*m_NextPlacement, m_PromptTokens);
    m_NextPlacement.reset();
  }
  return Moved ? AttemptEnd::Moved : End;
}

void RequestExchange::recordRateLimit(const UpstreamExchange &Sent, const UpstreamRecord &From) {
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

void RequestExchange::recordCold(const UpstreamExchange &Sent, const UpstreamRecord &From) {
  const UpstreamExchange::Header &ResponseHeader = Sent.header();
  const auto Field = ResponseHeader.find(m_Core.headerNames().m_UpstreamCold);
  if (Field == ResponseHeader.end() || ResponseHeader.result_int() == StatusMisdirected)
    return;
  if (const auto Remaining = parseColdRemaining(Field->value()))
    m_Core.recordCold(From.start(), *Remaining);
  else if (m_Core.tryAcquireLogLine(true))
    logEvent(Severity::Warning, "upstream_cold_unreadable",
             {{"upstream", From.m_Id}, {"value", std::string(Field->value())}});
}

void RequestExchange::processUpstreamStatements(const UpstreamExchange &Sent,
                                                const UpstreamRecord &From) {
  const TimePoint Now = monotonicNow();
  const UpstreamExchange::Header &ResponseHeader = Sent.header();
  recordRateLimit(Sent, From);
  recordCold(Sent, From);
  if (ResponseHeader.count(m_Core.headerNames().m_UpstreamLeaving) != 0 &&
      m_Core.loadBalancer().onLeaving(From.start(), Now))
    logEvent(Severity::Info, "upstream_leaving",
             {{"upstream", From.m_Id}, {"request", m_RequestId}});
  if (ResponseHeader.result_int() != StatusUnavailable ||
      ResponseHeader.count(http::field::retry_after) == 0)
    return;
  if (auto Pause = parsePause(std::string(ResponseHeader[http::field::retry_after]))) {
    m_WasPauseRequested = true;
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

Task<RequestExchange::AttemptEnd> RequestExchange::sendAndRelay(const Placement &Chosen,
                                                                UpstreamExchange &Sent) {
  const CallHeaderNames &Names = m_Core.headerNames();
  const UpstreamRecord &From = Chosen.m_Upstream;
  const bool MayHaveRunBefore = m_MayHaveRun;
  // Set before sending: the request may run as soon as its first byte leaves.
  m_MayHaveRun = true;
  // Counted before sending, because canRetry() must count this attempt when it stalls.
  ++m_AttemptsSent;
  const Duration MaxIdleTime =
      isRepeatable(m_Route->m_Kind) ? Duration::max() : MaxIdleTimeAtMostOnce;
  const ExchangeError Error = co_await Sent.start(
      From.m_Address, MaxIdleTime, std::clamp(remainingTime(), Duration(0), ConnectTimeout),
      [this, &From](ClientRequest &Request) { return prepareSend(From, Request); });
  if (!Sent.wasSent()) {
    // An address without a host refuses within a round trip.
    if (Error == ExchangeError::NotSent && monotonicNow() - m_DispatchedAt >= ConnectTimeout)
      m_Core.onConnectTimeout(From, m_DispatchedAt);
    m_MayHaveRun = MayHaveRunBefore;
    --m_AttemptsSent;
    m_Core.loadBalancer().rates().returnPermit(From.start(), std::exchange(m_Permits, {}));
    if (Error == ExchangeError::NotSent)
      m_Core.recordUnreachable(From.start());
    logAttempt(Chosen, "not-sent", exchangeErrorName(Error));
    co_return Error == ExchangeError::NotAllowed ? AttemptEnd::NoLongerEligible
                                                 : AttemptEnd::NotSent;
  }
  if (m_Permits.m_ForNamedRate)
    m_Core.countRateLimitedSend();
  if (m_Permits.m_ForColdRate)
    m_Core.countColdSend();
  if (m_AttemptsSent == 1)
    m_Core.retryBudget(m_Service).onFirstAttempt(m_Account);
  if (Error != ExchangeError::None) {
    m_IsResponseMalformed = Error == ExchangeError::Malformed;
    if (!m_Withdrawn)
      logAttempt(Chosen, "failed", exchangeErrorName(Error));
    co_return isInterrupted() ? AttemptEnd::Interrupted : AttemptEnd::Failed;
  }
  m_LastUpstreamReadAt = monotonicNow();
  m_Core.onProgress(From, m_LastUpstreamReadAt);
  const UpstreamExchange::Header &ResponseHeader = Sent.header();
  const unsigned Status = ResponseHeader.result_int();
  processUpstreamStatements(Sent, From);
  if (auto Version =
          parseNumber<std::uint64_t>(std::string(ResponseHeader[Names.m_WeightsVersion])))
    m_AnsweredWeights = WeightsVersion(*Version);
  if (ResponseHeader.count(Names.m_NotRun) != 0 || Status == StatusMisdirected) {
    m_MayHaveRun = MayHaveRunBefore;
    if (MayHaveRunBefore)
      m_UncountedRejections = std::min(m_UncountedRejections + 1, MaxUncountedRejections);
    co_await Sent.discardRest(RejectionTimeout);
    logAttempt(Chosen, "rejected", std::to_string(Status));
    co_return AttemptEnd::Rejected;
  }
  if (ResponseHeader.count(http::field::content_encoding) != 0) {
    m_IsResponseMalformed = true;
    logAttempt(Chosen, "failed", "content-encoding");
    co_return AttemptEnd::Failed;
  }
  const bool IsEvents = isStream(m_Route->m_Kind) && Status == 200 &&
                        beast::iequals(beast::string_view(ResponseHeader[http::field::content_type])
                                           .substr(0, EventStreamType.size()),
                                       EventStreamType);
  if (m_HeaderSent && !IsEvents) {
    logAttempt(Chosen, "failed", "resumed-without-events");
    co_return AttemptEnd::Failed;
  }
  if (IsEvents)
    co_return co_await relayEvents(Sent, From);
  recordStart();
  co_return co_await relayPlain(Sent, From);
}

void RequestExchange::recordReadError(ExchangeError Error, const UpstreamRecord &From) {
  m_IsResponseMalformed = Error == ExchangeError::Malformed;
  if (!m_IsResponseMalformed)
    return;
  m_Core.countAttempt("malformed-body");
  if (m_Core.tryAcquireLogLine(true))
    logEvent(Severity::Warning, "upstream_response_malformed",
             {{"request", m_RequestId}, {"upstream", From.m_Id}, {"attempt", m_AttemptsSent}});
}

Task<RequestExchange::AttemptEnd> RequestExchange::relayPlain(UpstreamExchange &Sent,
                                                              const UpstreamRecord &From) {
  const unsigned Status = Sent.header().result_int();
  const bool IsFailure = Status >= 500 || isNotRunStatus(Status);
  std::string Buffered;
  GatewayCore::ResponseBuffer ResponseRoom(m_Core);
  bool IsDone = false;
  while (!IsDone) {
    const std::size_t Before = Buffered.size();
    const ExchangeError Error = co_await Sent.read(Buffered);
    if (isInterrupted())
      co_return AttemptEnd::Interrupted;
    if (Error != ExchangeError::None) {
      recordReadError(Error, From);
      if (m_HeaderSent)
        m_IsClientLost = true;
      co_return AttemptEnd::Failed;
    }
    m_LastUpstreamReadAt = monotonicNow();
    m_Core.onProgress(From, m_LastUpstreamReadAt);
    IsDone = Buffered.size() == Before;
    if (IsFailure &&
        (Buffered.size() > MaxFailureBytes || !m_FailureBuffer.resize(Buffered.size())))
      co_return AttemptEnd::Failed;
    if (IsDone) {
      const bool Whole = co_await isWhole(Sent, From);
      if (isInterrupted())
        co_return AttemptEnd::Interrupted;
      if (!Whole) {
        if (m_HeaderSent)
          m_IsClientLost = true;
        co_return AttemptEnd::Failed;
      }
      // A failure does not show that the upstream ran the request.
      if (!IsFailure)
        recordSurvivedStart();
    }
    // Without room, the response is forwarded at once and can no longer be retried.
    if (IsFailure || (!IsDone && !m_HeaderSent && Buffered.size() < MaxBufferedBytes &&
                      ResponseRoom.resize(Buffered.size())))
      continue;
    m_StallTimer.cancel();
    recordFirstByte();
    std::optional<std::uint64_t> Length = Sent.contentLength();
    if (IsDone && !isHeadRequest())
      Length = Buffered.size();
    const bool IsHeaderWritten = co_await ensureHeaderSent(Sent.header(), Length);
    if (!IsHeaderWritten)
      co_return AttemptEnd::Interrupted;
    const bool Written = co_await sendBody(std::move(Buffered), IsDone);
    if (!Written)
      co_return AttemptEnd::Interrupted;
    Buffered.clear();
  }
  if (IsFailure) {
    m_FailureResponse = StoredResponse{Sent.header(), std::move(Buffered)};
    co_return AttemptEnd::FailureResponse;
  }
  m_IsResponseComplete = true;
  co_return AttemptEnd::Delivered;
}

Task<RequestExchange::AttemptEnd> RequestExchange::relayEvents(UpstreamExchange &Sent,
                                                               const UpstreamRecord &From) {
  if (m_AnsweredWeights) {
    if (m_StreamVersion && m_StreamVersion != m_AnsweredWeights)
      co_return AttemptEnd::Failed;
    m_StreamVersion = m_AnsweredWeights;
  }
  // An earlier attempt began the stream, and this one resumes it.
  const bool IsResumed = m_HeaderSent;
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
    if (Error != ExchangeError::None) {
      recordReadError(Error, From);
      co_return AttemptEnd::Failed;
    }
    const TimePoint Now = monotonicNow();
    m_Core.onProgress(From, Now);
    if (m_HeaderSent && !Bytes.empty())
      m_LongestPause = std::max(m_LongestPause, Now - m_LastUpstreamReadAt);
    if (!IsFirstRead && !Bytes.empty())
      m_Core.loadBalancer().onEventGap(From.m_Id, Now - m_LastUpstreamReadAt, Now);
    IsFirstRead = false;
    m_LastUpstreamReadAt = Now;
    const bool IsDone = Bytes.empty();
    if (!IsDone && !m_TimeToStart) {
      recordStart();
      reportLateStart(Sent);
    }
    if (!IsDone && m_UnreadTokens > 0)
      m_Core.onPromptRead(From.m_Id, std::exchange(m_UnreadTokens, 0));
    Events.append(Bytes);
    if (Events.isOverlong())
      co_return AttemptEnd::Failed;
    while (auto Event = Events.next()) {
      // An event without an id cannot be checked against those that the client has received.
      if (IsResumed && !Event->m_Id)
        co_return AttemptEnd::Failed;
      if (++EventCount == CrashSuspects::EventsToBegin)
        recordSurvivedStart();
      const bool Forwarded = co_await forwardEvent(Sent, *Event);
      if (!Forwarded)
        co_return AttemptEnd::Interrupted;
    }
    if (!EventBuffer.resize(Events.pending().size()))
      co_return AttemptEnd::Failed;
    if (!IsDone)
      continue;
    // A response that ends within an event, or that resumes a stream without a new event, does not
    // prove that the stream is complete. Neither does the end of a connection without any event.
    const bool HasNoEvent = m_ForwardedEvents == ForwardedBefore;
    if (!Events.pending().empty() || (HasNoEvent && (IsResumed || Sent.endsWithConnection())))
      co_return AttemptEnd::Failed;
    const bool Whole = co_await isWhole(Sent, From);
    if (isInterrupted())
      co_return AttemptEnd::Interrupted;
    if (!Whole)
      co_return AttemptEnd::Failed;
    recordSurvivedStart();
    const std::optional<std::uint64_t> NoLength;
    const bool IsHeaderWritten = co_await ensureHeaderSent(Sent.header(), NoLength);
    if (!IsHeaderWritten)
      co_return AttemptEnd::Interrupted;
    const bool Written = co_await sendBody({}, true);
    if (!Written)
      co_return AttemptEnd::Interrupted;
    m_IsResponseComplete = true;
    co_return AttemptEnd::Delivered;
  }
}

Task<bool> RequestExchange::isWhole(const UpstreamExchange &Sent, const UpstreamRecord &From) {
  // An upstream that is leaving ends its process after its last response.
  const UpstreamRecord *Listed = m_Core.loadBalancer().find(From.m_Id);
  const bool IsLeaving = !Listed || Listed->m_IsLeaving ||
                         m_Core.loadBalancer().isLeaving(From.start(), monotonicNow());
  if (!Sent.endsWithConnection() || IsLeaving)
    co_return true;
  m_StallTimer.cancel();
  const bool IsCrashed = co_await m_Core.hasCrashed(From, GatewayCore::CrashCheckDelay);
  co_return !IsCrashed;
}

Task<bool> RequestExchange::forwardEvent(UpstreamExchange &Sent,
                                         const EventSplitter::Event &Event) {
  if (!Event.m_Id) {
    m_EventsResumable = false;
  } else if (m_HeaderSent && m_LastEventId && *Event.m_Id <= *m_LastEventId) {
    // An upstream that resumes a stream may repeat events that the client has received.
    co_return true;
  }
  recordFirstByte();
  const std::optional<std::uint64_t> NoLength;
  const bool IsHeaderWritten = co_await ensureHeaderSent(Sent.header(), NoLength);
  if (!IsHeaderWritten)
    co_return false;
  if (Event.m_Id)
    m_LastEventId = Event.m_Id;
  ++m_ForwardedEvents;
  co_return co_await sendBody(Event.m_Bytes, false);
}

void RequestExchange::recordFirstByte() {
  if (m_TimeToFirstByte)
    return;
  m_TimeToFirstByte = monotonicNow() - m_ArrivedAt;
  m_Core.observeFirstByte(kindName(), *m_TimeToFirstByte);
  m_Core.observeWait(m_QueueTime);
}

void RequestExchange::recordStart() {
  m_TimeToStart = m_LastUpstreamReadAt - m_DispatchedAt;
  m_Core.observeStart(kindName(), *m_TimeToStart);
  (*m_Running)->m_HasResponded = true;
  endUnstarted(GatewayCore::UnstartedEnd::Started);
}

void RequestExchange::recordSurvivedStart() {
  if (std::exchange((*m_Running)->m_HasBegun, true))
    return;
  m_Core.recordBegun(m_SuspectRequest);
}

void RequestExchange::reportLateStart(const UpstreamExchange &Sent) {
  if (!m_AnsweredWeights)
    return;
  const auto Late =
      m_Core.lateStartDetector().detect(m_Model, *m_AnsweredWeights, m_LastUpstreamReadAt);
  if (!Late)
    return;
  m_Core.countLateStart();
  if (m_Core.lateStartDetector().canLog(m_LastUpstreamReadAt))
    logEvent(Severity::Warning, "older_weights_ran_late",
             {{"request", m_RequestId},
              {"upstream", m_CurrentUpstream},
              {"attempt", m_AttemptsSent},
              {"model", m_Model},
              {"placedWeights", m_PlacedWeights},
              {"answeredWeights", *m_AnsweredWeights},
              {"leastWeights", Late->m_MinVersion},
              {"lateSeconds", Late->m_Late},
              {"startSeconds", *m_TimeToStart},
              {"sinceSentSeconds", m_LastUpstreamReadAt - Sent.sentAt()}});
}

bool RequestExchange::canRetry() const {
  const std::uint32_t Counted = m_AttemptsSent - m_UncountedRejections;
  if (Counted >= std::max<std::uint32_t>(m_Route->m_MaxAttempts, 1))
    return false;
  if (m_HeaderSent)
    return canResume();
  return !m_MayHaveRun || isRepeatable(m_Route->m_Kind);
}

bool RequestExchange::takeRetry() {
  return canRetry() && m_Core.retryBudget(m_Service).takeRetry(m_Account);
}

void RequestExchange::onDeadline() {
  m_TimedOut = true;
  interrupt();
}

void RequestExchange::onClientDisconnected() {
  m_ClientDisconnected = true;
  m_IsClientLost = true;
  interrupt();
}

void RequestExchange::onStop() {
  m_TimedOut = true;
  cancelPendingOperations();
}

void RequestExchange::cancelPendingOperations() {
  if (m_PlacementWaiter)
    m_PlacementWaiter->cancel();
  if (m_CurrentExchange)
    m_CurrentExchange->cancel();
}

void RequestExchange::interrupt() {
  cancelPendingOperations();
  // Ends a write to a client that does not read.
  if (m_HeaderSent)
    m_Client->reset();
}

void RequestExchange::withdraw() {
  if (std::exchange(m_Withdrawn, true))
    return;
  m_CurrentExchange->cancel();
  m_Core.countAttempt("withdrawn");
  if (m_Core.tryAcquireLogLine(true))
    logEvent(Severity::Info, "request_withdrawn",
             {{"request", m_RequestId},
              {"upstream", m_CurrentUpstream},
              {"attempt", m_AttemptsSent},
              {"placedWeights", m_PlacedWeights},
              {"sinceDispatchSeconds", monotonicNow() - m_DispatchedAt}});
}

void RequestExchange::onQuarantine() {
  if (!isQuarantined())
    return;
  if (m_PlacementWaiter)
    m_PlacementWaiter->cancel();
  if (m_CurrentExchange && m_Running && !(*m_Running)->m_HasResponded)
    withdraw();
}

void RequestExchange::endUnstarted(GatewayCore::UnstartedEnd How) {
  if (m_UnstartedNumber)
    m_Core.endUnstarted(*std::exchange(m_UnstartedNumber, std::nullopt), m_Service, How);
}

void RequestExchange::scheduleStallCheck() {
  m_StallTimer.set(StallCheckInterval, [this] {
    const TimePoint Now = monotonicNow();
    const Duration SilentTime =
        m_IsWriting ? Duration(0) : Now - std::max(m_LastUpstreamReadAt, m_LastClientWriteAt);
    const bool IsUpstreamSilent = m_Core.loadBalancer().isSilent(m_CurrentUpstream, Now);
    const bool IsStalled = isStream(m_Route->m_Kind)
                               ? SilentTime > (IsUpstreamSilent ? StallTimeout : LongStallTimeout)
                               : SilentTime > PlainStallFactor * m_Route->m_TargetLatency;
    if (IsStalled && m_CurrentExchange && isRepeatable(m_Route->m_Kind) && canRetry()) {
      Placement Found = m_Core.tryPlace(placementRequest());
      if (Found.m_Verdict == PlacementVerdict::Placed) {
        if (takeRetry()) {
          ++m_Moves;
          m_Core.countAttempt("moved");
          if (m_Core.tryAcquireLogLine(true))
            logEvent(Severity::Info, "request_moved",
                     {{"request", m_RequestId},
                      {"upstream", m_CurrentUpstream},
                      {"to", Found.m_Upstream.m_Id},
                      {"attempt", m_AttemptsSent},
                      {"silentSeconds", SilentTime},
                      {"upstreamSilent", IsUpstreamSilent},
                      {"events", m_ForwardedEvents}});
          m_NextPlacement = std::move(Found);
          m_SilentUpstream = m_CurrentUpstream;
          m_CurrentExchange->cancel();
          return;
        }
        m_Core.undoPlacement(Found, m_PromptTokens);
      }
    }
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
  if (!m_MayHaveRun) {
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
  const bool IsHeaderWritten = co_await ensureHeaderSent(m_FailureResponse->m_Header, Length);
  if (IsHeaderWritten)
    m_IsResponseComplete = co_await sendBody(std::move(m_FailureResponse->m_Body), true);
}

Task<> RequestExchange::sendErrorResponse(ErrorKind Kind, std::optional<Duration> RetryAfter) {
  const ErrorAnswer &Answer = errorAnswer(Kind);
  m_Outcome = Answer.m_Name;
  m_Status = static_cast<unsigned>(Answer.m_HttpStatus);
  if (isNotRunStatus(m_Status) && !NotRunIsTrue.check(!m_MayHaveRun, m_RequestId)) {
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
  auto [Error, Size] = co_await http::async_write(m_Client->socket(), Response, AsTuple);
  m_IsResponseComplete = !Error;
  m_IsClientLost = static_cast<bool>(Error);
}

Task<bool> RequestExchange::ensureHeaderSent(const UpstreamExchange::Header &From,
                                             std::optional<std::uint64_t> Length) {
  if (m_HeaderSent)
    co_return true;
  http::response_header<> ResponseHeader;
  ResponseHeader.version(11);
  ResponseHeader.result(From.result_int());
  ResponseHeader.reason(From.reason());
  copyHeaders(From, ResponseHeader);
  m_Status = From.result_int();
  m_IsChunked = !Length;
  if (Length)
    ResponseHeader.set(http::field::content_length, std::to_string(*Length));
  else
    ResponseHeader.set(http::field::transfer_encoding, "chunked");
  if (!canKeepConnection())
    ResponseHeader.set(http::field::connection, "close");
  m_HeaderSent = true;
  std::ostringstream Text;
  Text << ResponseHeader;
  co_return co_await writeClient(Text.str());
}

Task<bool> RequestExchange::sendBody(std::string Bytes, bool IsLast) {
  if (isHeadRequest())
    co_return true;
  std::string Framed;
  if (!m_IsChunked)
    Framed = std::move(Bytes);
  else if (!Bytes.empty())
    Framed = beast::buffers_to_string(http::make_chunk(net::buffer(Bytes)));
  if (m_IsChunked && IsLast)
    Framed += beast::buffers_to_string(http::make_chunk_last());
  if (Framed.empty())
    co_return true;
  co_return co_await writeClient(std::move(Framed));
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

void RequestExchange::logAttempt(const Placement &Chosen, std::string_view Outcome,
                                 std::string_view Detail) {
  m_Core.countAttempt(Outcome);
  if (m_Core.tryAcquireLogLine(true))
    logEvent(Severity::Info, "attempt_ended",
             {{"request", m_RequestId},
              {"upstream", Chosen.m_Upstream.m_Id},
              {"outcome", Outcome},
              {"detail", Detail},
              {"inFlight", Chosen.m_InFlight},
              {"attempt", m_AttemptsSent},
              {"mayHaveRun", m_MayHaveRun},
              {"sinceDispatchSeconds", monotonicNow() - m_DispatchedAt}});
}

void RequestExchange::logFinished() {
  const bool Failed = m_Outcome != "delivered";
  if (!m_Core.tryAcquireLogLine(Failed))
    return;
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
            {"moves", m_Moves},
            {"upstream", m_CurrentUpstream},
            {"allowedSeconds", m_Deadline == TimePoint() ? Duration(0) : m_Deadline - m_ArrivedAt},
            {"limit", m_IsLimitedByRoute ? "route" : "client"},
            {"responseBegun", m_HeaderSent},
            {"connectionKept", m_IsResponseComplete && !m_IsClientLost},
            {"events", m_ForwardedEvents},
            {"longestPauseSeconds", m_LongestPause},
            {"mayHaveRun", m_MayHaveRun},
            {"waitSeconds", m_QueueTime},
            {"placedWeights", m_PlacedWeights},
            {"answeredWeights", m_AnsweredWeights.value_or(WeightsVersion())},
            {"startSeconds", m_TimeToStart.value_or(Duration(0))},
            {"firstByteSeconds", m_TimeToFirstByte.value_or(Duration(0))},
            {"totalSeconds", monotonicNow() - m_ArrivedAt}});
}

} // namespace fescuegauge
