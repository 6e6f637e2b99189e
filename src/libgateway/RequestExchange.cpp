#include "RequestExchange.h"

#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Log.h"
#include "Fescuegauge/ParseNumber.h"

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

/// Statuses by which callers learn that a request was not run and never will be.
bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == StatusMisdirected || Status == 429 ||
         Status == StatusUnavailable;
}

/// Headers that concern one connection only.
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

/// Copies the end-to-end headers of a message, without those that its Connection header names.
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

/// The first number of a Token-Usage header; 0 if there is none.
std::uint32_t promptTokensOf(std::string_view Usage) {
  return parseNumber<std::uint32_t>(std::string(Usage.substr(0, Usage.find(',')))).value_or(0);
}

std::string secondsText(Duration Length) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.2f", toSeconds(Length));
  return Text;
}

} // namespace

RequestExchange::RequestExchange(GatewayCore &Core, std::shared_ptr<ClientConnection> Client,
                                 HttpRequest Request, TimePoint ArrivedAt)
    : m_Core(Core), m_Client(std::move(Client)), m_Request(std::move(Request)),
      m_ArrivedAt(ArrivedAt), m_KeepAlive(m_Request.keep_alive()), m_Plan(Core.plan()),
      m_DeadlineAlarm(Core.executor()), m_StallAlarm(Core.executor()), m_LastByteAt(ArrivedAt) {}

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

std::optional<ErrorKind> RequestExchange::classify() {
  const CallHeaders &Names = m_Core.headers();
  m_RequestId = std::string(m_Request[Names.m_RequestId]);
  if (!m_Plan)
    return ErrorKind::NotReady;
  std::string_view Target(m_Request.target().data(), m_Request.target().size());
  m_Route =
      m_Plan->find(std::string(m_Request[http::field::host]), Target.substr(0, Target.find('?')));
  if (!m_Route)
    return ErrorKind::UnknownRoute;
  m_Priority = m_Route->m_Priority;
  if (m_Plan->needsKeys() && !m_Route->m_Public) {
    const AccountPlan *Account = m_Plan->accountOf(std::string(m_Request[Names.m_AccountKey]));
    if (!Account)
      return ErrorKind::UnknownAccountKey;
    m_Account = Account->m_Id;
    m_Priority = Account->m_Priority.value_or(m_Priority);
  }
  if (m_RequestId.empty())
    return ErrorKind::MalformedRequest;

  Duration Allowed = m_Route->m_Timeout;
  if (auto Wanted = parseNumber<std::uint64_t>(std::string(m_Request[Names.m_Deadline]))) {
    const Duration Asked = std::chrono::milliseconds(std::min<std::uint64_t>(*Wanted, 86'400'000));
    m_Returned = m_Core.returns().hasReturned(m_Route->m_Id, Asked);
    Allowed = std::min(Allowed, Asked);
  }
  m_Deadline = m_ArrivedAt + Allowed;
  const ServiceId *Service = RouteTable::serviceFor(*m_Route, uniformUnit(m_Core.random()));
  if (!Service)
    return ErrorKind::NoUpstream;
  m_Service = *Service;
  m_Model = ModelId(std::string(m_Request[Names.m_Model]));
  m_PromptTokens = promptTokensOf(m_Request[Names.m_TokenUsage]);
  m_SuspectKey = {m_Account, sha256(std::string(Target) + "\n" + m_Request.body())};
  if (m_Core.suspects().isQuarantined(m_SuspectKey, monotonicNow()))
    return ErrorKind::RequestBlocked;
  if (m_Core.refusesRequests() || isTooLateToBegin())
    return ErrorKind::Draining;
  return std::nullopt;
}

bool RequestExchange::isTooLateToBegin() const {
  return !isRepeatable(m_Route->m_Kind) && m_Deadline > m_Core.requestsEndAt();
}

Task<bool> RequestExchange::run() {
  auto Self = shared_from_this();
  std::optional<GatewayCore::RequestInProgress> InProgress;
  InProgress.emplace(m_Core, [this] { onStop(); });
  m_Core.m_Demand.onRequest(monotonicNow());
  std::optional<ErrorKind> Refused = classify();
  if (!Refused && m_Core.requestsInProgress() > GatewayCore::MaxRequests)
    Refused = ErrorKind::Overloaded;
  if (Refused) {
    co_await refuse(*Refused);
  } else {
    m_DeadlineAlarm.set(std::max(m_Deadline - monotonicNow(), Duration(0)),
                        [this] { onDeadline(); });
    m_Client->beginWatch([this] { onCallerLeft(); });
    co_await dispatch();
    m_Client->endWatch();
    m_DeadlineAlarm.cancel();
    m_StallAlarm.cancel();
  }
  InProgress.reset();
  m_Core.countRequest(kindName(), m_Outcome);
  logEnd();
  co_return m_Complete && !m_ClientBroken && keepsConnection() && m_Client->isOpen();
}

Task<> RequestExchange::dispatch() {
  std::optional<Placement> Next;
  while (true) {
    if (!Next) {
      Next = co_await findPlace();
      if (!Next) {
        co_await finishFailed();
        co_return;
      }
    }
    const Placement Chosen = *Next;
    Next.reset();
    const AttemptEnd End = co_await attempt(Chosen);
    if (End == AttemptEnd::Delivered) {
      m_Outcome = "delivered";
      co_return;
    }
    if (End == AttemptEnd::Moved) {
      Next = std::move(m_MoveTo);
      m_MoveTo.reset();
      continue;
    }
    const bool Unsent = (End == AttemptEnd::NotSent || End == AttemptEnd::NoLongerUsable) &&
                        ++m_ConnectFailures <= MaxConnectFailures;
    if (isInterrupted() || m_ClientBroken || (!Unsent && !takeRetry())) {
      co_await finishFailed();
      co_return;
    }
  }
}

Task<std::optional<Placement>> RequestExchange::findPlace() {
  if (isTooLateToBegin())
    co_return std::nullopt;
  PlacementRequest Wanted = wantedPlace();
  WaitTerms Terms;
  Terms.m_Longest = std::min(m_HeadSent ? LongestResumeWait
                                        : DispatchQueue::longestWait(m_Route->m_TargetLatency),
                             timeLeft());
  Terms.m_Priority = m_Priority;
  Terms.m_Returned = m_Returned && !m_HeadSent;
  const TimePoint Start = monotonicNow();
  const Placement Found = co_await m_Core.waitForPlace(std::move(Wanted), Terms, m_Waiter);
  m_Waited += monotonicNow() - Start;
  m_LastVerdict = Found.m_Verdict;
  m_NextPermit = Found.m_NextPermit;
  if (Found.m_Verdict != PlacementVerdict::Placed)
    co_return std::nullopt;
  if (isInterrupted() || isTooLateToBegin()) {
    m_Core.giveBack(Found, m_PromptTokens);
    co_return std::nullopt;
  }
  co_return Found;
}

PlacementRequest RequestExchange::wantedPlace() const {
  return {m_Service, m_Model, m_StreamVersion, m_Tried, m_PromptTokens};
}

HttpRequest RequestExchange::upstreamRequest(const UpstreamRecord &To) const {
  const CallHeaders &Names = m_Core.headers();
  HttpRequest Request(m_Request.method(), m_Request.target(), 11);
  Request.method_string(m_Request.method_string());
  copyHeaders(m_Request, Request);
  for (const std::string &Own :
       {Names.m_AccountKey, Names.m_Account, Names.m_ExpectedUpstream, Names.m_ExpectedWeights,
        Names.m_UpstreamPriority, Names.m_RunnerPath, Names.m_NotRun})
    Request.erase(Own);
  if (!m_Account.empty())
    Request.set(Names.m_Account, m_Account.str());
  Request.set(Names.m_ExpectedUpstream, To.m_Id.str());
  if (m_HeadSent && m_LastEventId)
    Request.set("Last-Event-ID", std::to_string(*m_LastEventId));
  if (m_StreamVersion)
    Request.set(Names.m_ExpectedWeights, std::to_string(m_StreamVersion->value()));
  Request.body() = m_Request.body();
  return Request;
}

bool RequestExchange::prepareSend(const UpstreamRecord &To, HttpRequest &Request) {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft());
  // In a loop that is held up, the alarm is late too.
  if (Left.count() <= 0) {
    m_TimedOut = true;
    m_DeadlineAlarm.cancel();
  }
  if (isInterrupted() || isTooLateToBegin() ||
      !m_Core.board().mayStillSend(To, wantedPlace(), monotonicNow()) || !ensurePermit(To))
    return false;
  Request.set(m_Core.headers().m_Deadline, std::to_string(Left.count()));
  return true;
}

bool RequestExchange::ensurePermit(const UpstreamRecord &To) {
  if (m_HasPermit)
    return true;
  const SharedRates::Permit Got =
      m_Core.board().rates().takePermit(To.start(), To.m_DataCentre, monotonicNow());
  m_HasPermit = Got == SharedRates::Permit::Taken;
  if (Got == SharedRates::Permit::Refused)
    m_Core.countRateRefusedSend();
  return Got != SharedRates::Permit::Refused;
}

Task<RequestExchange::AttemptEnd> RequestExchange::attempt(const Placement &Chosen) {
  const UpstreamRecord &To = Chosen.m_Upstream;
  const bool OnlyOnce = !isRepeatable(m_Route->m_Kind);
  if (!AtMostOnceSentOnce.check(!OnlyOnce || !m_MayHaveRun, m_RequestId)) {
    m_Core.giveBack(Chosen, m_PromptTokens);
    co_return AttemptEnd::Failed;
  }
  m_Tried.push_back(To.m_Id);
  m_MoveTo.reset();
  m_PauseAsked = false;
  m_HasPermit = Chosen.m_HasPermit;
  m_Withdrawn = false;
  // A head without an event binds the caller to nothing.
  if (!m_HeadSent)
    m_StreamVersion.reset();
  auto Sent = std::make_shared<UpstreamExchange>(m_Core.pool(), m_Core.headers(),
                                                 upstreamRequest(To), m_RequestId);
  m_Current = Sent;
  m_CurrentUpstream = To.m_Id;
  m_UnreadTokens = m_PromptTokens;
  m_LastByteAt = m_DispatchedAt = monotonicNow();
  m_StartAfter.reset();
  m_PlacedWeights = To.heldVersion(m_Model);
  m_AnsweredWeights.reset();
  checkStall();
  m_Core.addRunning(To.m_Id, m_SuspectKey);
  // The head of a plain answer comes when the run ends, so only a stream shows that it has begun.
  const ServicePlan *Service = m_Plan->service(m_Service);
  if (Service && Service->m_Engine && !m_Model.empty() && isStream(m_Route->m_Kind))
    m_Unstarted = m_Core.addUnstarted(m_Model, To, [this] { withdraw(); });
  const AttemptEnd End = co_await receive(Chosen, *Sent);
  const bool WasGivenUp = End == AttemptEnd::Failed || End == AttemptEnd::Interrupted;
  endUnstarted(WasGivenUp ? GatewayCore::UnstartedEnd::GivenUp : GatewayCore::UnstartedEnd::NoWait);
  m_StallAlarm.cancel();
  m_Current.reset();
  const bool Moved = End == AttemptEnd::Failed && m_MoveTo.has_value();
  // The check takes note of what runs at the upstream, this request included.
  if (End == AttemptEnd::Failed && !isInterrupted() && !Moved && !m_Withdrawn)
    m_Core.checkCrash(To);
  m_Core.removeRunning(To.m_Id, m_SuspectKey);
  Sent->finish();

  DispatchResult Result = DispatchResult::Failed;
  if (isInterrupted() || (m_Withdrawn && End == AttemptEnd::Failed) ||
      End == AttemptEnd::NoLongerUsable)
    Result = DispatchResult::Abandoned;
  else if (End == AttemptEnd::Delivered || End == AttemptEnd::AnsweredFailure)
    Result = DispatchResult::Answered;
  else if (End == AttemptEnd::Rejected)
    Result = m_PauseAsked ? DispatchResult::Deferred : DispatchResult::Rejected;
  if (Result == DispatchResult::Answered)
    m_Core.suspects().completed(m_SuspectKey, monotonicNow());
  m_Core.release(To.m_Id, Result, std::exchange(m_UnreadTokens, 0));
  if (m_MoveTo && !Moved) {
    m_Core.giveBack(*m_MoveTo, m_PromptTokens);
    m_MoveTo.reset();
  }
  co_return Moved ? AttemptEnd::Moved : End;
}

void RequestExchange::noteRate(const UpstreamExchange &Sent, const UpstreamRecord &From) {
  const UpstreamExchange::Header &Head = Sent.header();
  // Such an answer may come from another upstream that has the address now.
  if (Head.result_int() == StatusMisdirected)
    return;
  std::optional<RequestRate> Named;
  if (const auto Field = Head.find(m_Core.headers().m_UpstreamRate); Field != Head.end()) {
    Named = parseRate(Field->value());
    if (!Named) {
      if (m_Core.mayLog(true))
        logEvent(Severity::Warning, "upstream_rate_unreadable",
                 {{"upstream", From.m_Id}, {"value", std::string(Field->value())}});
      return;
    }
  }
  m_Core.noteRate(From.start(), Named, Sent.sentAt());
}

void RequestExchange::noteStatements(const UpstreamExchange &Sent, const UpstreamRecord &From) {
  const TimePoint Now = monotonicNow();
  const UpstreamExchange::Header &Head = Sent.header();
  noteRate(Sent, From);
  if (Head.count(m_Core.headers().m_UpstreamLeaving) != 0 &&
      m_Core.board().onLeaving(From.start(), Now))
    logEvent(Severity::Info, "upstream_leaving",
             {{"upstream", From.m_Id}, {"request", m_RequestId}});
  if (Head.result_int() != StatusUnavailable || Head.count(http::field::retry_after) == 0)
    return;
  if (auto Pause = parsePause(std::string(Head[http::field::retry_after]))) {
    m_PauseAsked = true;
    m_Core.board().onPauseAsked(From.start(), *Pause, Now);
    if (m_Core.mayLog(true))
      logEvent(Severity::Info, "upstream_pause_asked",
               {{"upstream", From.m_Id}, {"seconds", *Pause}, {"request", m_RequestId}});
  } else {
    logEvent(Severity::Warning, "upstream_pause_unreadable",
             {{"upstream", From.m_Id}, {"value", std::string(Head[http::field::retry_after])}});
  }
}

Task<RequestExchange::AttemptEnd> RequestExchange::receive(const Placement &Chosen,
                                                           UpstreamExchange &Sent) {
  const CallHeaders &Names = m_Core.headers();
  const UpstreamRecord &From = Chosen.m_Upstream;
  const bool RanBefore = m_MayHaveRun;
  // Set first: the request may run from the moment at which it leaves.
  m_MayHaveRun = true;
  // Counted before it is sent, because a stalled attempt may be given up for another one.
  ++m_AttemptsSent;
  const Duration LongestIdle =
      isRepeatable(m_Route->m_Kind) ? Duration::max() : LongestIdleAtMostOnce;
  const ExchangeError Error = co_await Sent.start(
      From.m_Address, LongestIdle, std::clamp(timeLeft(), Duration(0), ConnectTimeout),
      [this, &From](HttpRequest &Request) { return prepareSend(From, Request); });
  if (!Sent.wasSent()) {
    m_MayHaveRun = RanBefore;
    --m_AttemptsSent;
    if (std::exchange(m_HasPermit, false))
      m_Core.board().rates().giveBackPermit(From.start());
    logAttempt(Chosen, "not-sent", exchangeErrorName(Error));
    co_return Error == ExchangeError::NotAllowed ? AttemptEnd::NoLongerUsable : AttemptEnd::NotSent;
  }
  if (m_HasPermit)
    m_Core.countRateLimitedSend();
  if (m_AttemptsSent == 1)
    m_Core.retryBudget(m_Service).onFirstAttempt(m_Account);
  if (Error != ExchangeError::None) {
    m_AnswerMalformed = Error == ExchangeError::Malformed;
    if (!m_Withdrawn)
      logAttempt(Chosen, "failed", exchangeErrorName(Error));
    co_return isInterrupted() ? AttemptEnd::Interrupted : AttemptEnd::Failed;
  }
  m_LastByteAt = monotonicNow();
  m_Core.board().onProgress(From.m_Id, m_LastByteAt);
  const UpstreamExchange::Header &Head = Sent.header();
  const unsigned Status = Head.result_int();
  noteStatements(Sent, From);
  if (auto Version = parseNumber<std::uint64_t>(std::string(Head[Names.m_WeightsVersion])))
    m_AnsweredWeights = WeightsVersion(*Version);
  if (Head.count(Names.m_NotRun) != 0 || Status == StatusMisdirected) {
    m_MayHaveRun = RanBefore;
    co_await Sent.skipRest(LongestRejection);
    logAttempt(Chosen, "rejected", std::to_string(Status));
    co_return AttemptEnd::Rejected;
  }
  if (Head.count(http::field::content_encoding) != 0) {
    m_AnswerMalformed = true;
    logAttempt(Chosen, "failed", "content-encoding");
    co_return AttemptEnd::Failed;
  }
  const bool IsEvents =
      isStream(m_Route->m_Kind) && Status == 200 &&
      beast::iequals(
          beast::string_view(Head[http::field::content_type]).substr(0, EventStreamType.size()),
          EventStreamType);
  if (m_HeadSent && !IsEvents) {
    logAttempt(Chosen, "failed", "resumed-without-events");
    co_return AttemptEnd::Failed;
  }
  if (IsEvents)
    co_return co_await relayEvents(Sent, From);
  noteStart();
  co_return co_await relayPlain(Sent, From);
}

Task<RequestExchange::AttemptEnd> RequestExchange::relayPlain(UpstreamExchange &Sent,
                                                              const UpstreamRecord &From) {
  const unsigned Status = Sent.header().result_int();
  const bool IsFailure = Status >= 500 || promisesNotRun(Status);
  std::string Held;
  bool Done = false;
  while (!Done) {
    const std::size_t Before = Held.size();
    const ExchangeError Error = co_await Sent.read(Held);
    if (isInterrupted())
      co_return AttemptEnd::Interrupted;
    if (Error != ExchangeError::None) {
      if (m_HeadSent)
        m_ClientBroken = true;
      co_return AttemptEnd::Failed;
    }
    m_LastByteAt = monotonicNow();
    m_Core.board().onProgress(From.m_Id, m_LastByteAt);
    Done = Held.size() == Before;
    if (IsFailure && Held.size() > MaxFailureBytes)
      co_return AttemptEnd::Failed;
    if (IsFailure || (!Done && !m_HeadSent && Held.size() < HeldBytes))
      continue;
    m_StallAlarm.cancel();
    noteFirstByte();
    std::optional<std::uint64_t> Length = Sent.contentLength();
    if (Done && !isHead())
      Length = Held.size();
    const bool HeadWritten = co_await ensureHead(Sent.header(), Length);
    if (!HeadWritten)
      co_return AttemptEnd::Interrupted;
    const bool Written = co_await sendBody(std::move(Held), Done);
    if (!Written)
      co_return AttemptEnd::Interrupted;
    Held.clear();
  }
  if (IsFailure) {
    m_KeptAnswer = KeptAnswer{Sent.header(), std::move(Held)};
    co_return AttemptEnd::AnsweredFailure;
  }
  m_Complete = true;
  co_return AttemptEnd::Delivered;
}

Task<RequestExchange::AttemptEnd> RequestExchange::relayEvents(UpstreamExchange &Sent,
                                                               const UpstreamRecord &From) {
  if (m_AnsweredWeights) {
    if (m_StreamVersion && m_StreamVersion != m_AnsweredWeights)
      co_return AttemptEnd::Failed;
    m_StreamVersion = m_AnsweredWeights;
  }
  // An earlier attempt began the stream, and this one is to go on with it.
  const bool IsResumed = m_HeadSent;
  const std::uint64_t PassedBefore = m_EventsPassed;
  EventSplitter Events;
  std::string Bytes;
  bool FirstRead = true;
  while (true) {
    Bytes.clear();
    const ExchangeError Error = co_await Sent.read(Bytes);
    if (isInterrupted())
      co_return AttemptEnd::Interrupted;
    if (Error != ExchangeError::None)
      co_return AttemptEnd::Failed;
    const TimePoint Now = monotonicNow();
    m_Core.board().onProgress(From.m_Id, Now);
    if (m_HeadSent && !Bytes.empty())
      m_LongestPause = std::max(m_LongestPause, Now - m_LastByteAt);
    if (!FirstRead && !Bytes.empty())
      m_Core.board().onEventGap(From.m_Id, Now - m_LastByteAt, Now);
    FirstRead = false;
    m_LastByteAt = Now;
    const bool Done = Bytes.empty();
    if (!Done && !m_StartAfter) {
      noteStart();
      checkWeightsBound(Sent);
    }
    if (!Done && m_UnreadTokens > 0)
      m_Core.onPromptRead(From.m_Id, std::exchange(m_UnreadTokens, 0));
    Events.append(Bytes);
    if (Events.isOverlong())
      co_return AttemptEnd::Failed;
    while (auto Event = Events.next()) {
      // Without an id nobody can tell whether the caller has the event.
      if (IsResumed && !Event->m_Id)
        co_return AttemptEnd::Failed;
      const bool Passed = co_await passEvent(Sent, *Event);
      if (!Passed)
        co_return AttemptEnd::Interrupted;
    }
    if (!Done)
      continue;
    // An upstream that stops in the middle of an event, or that has nothing of a stream that broke
    // off, does not show that the stream is whole.
    if (!Events.pending().empty() || (IsResumed && m_EventsPassed == PassedBefore))
      co_return AttemptEnd::Failed;
    const std::optional<std::uint64_t> NoLength;
    const bool HeadWritten = co_await ensureHead(Sent.header(), NoLength);
    if (!HeadWritten)
      co_return AttemptEnd::Interrupted;
    const bool Written = co_await sendBody({}, true);
    if (!Written)
      co_return AttemptEnd::Interrupted;
    m_Complete = true;
    co_return AttemptEnd::Delivered;
  }
}

Task<bool> RequestExchange::passEvent(UpstreamExchange &Sent, const EventSplitter::Event &Event) {
  if (!Event.m_Id) {
    m_EventsResumable = false;
  } else if (m_HeadSent && m_LastEventId && *Event.m_Id <= *m_LastEventId) {
    // The upstream that goes on with a stream may begin with events that the caller has.
    co_return true;
  }
  noteFirstByte();
  const std::optional<std::uint64_t> NoLength;
  const bool HeadWritten = co_await ensureHead(Sent.header(), NoLength);
  if (!HeadWritten)
    co_return false;
  if (Event.m_Id)
    m_LastEventId = Event.m_Id;
  ++m_EventsPassed;
  co_return co_await sendBody(Event.m_Bytes, false);
}

void RequestExchange::noteFirstByte() {
  if (m_FirstByteAfter)
    return;
  m_FirstByteAfter = monotonicNow() - m_ArrivedAt;
  m_Core.observeFirstByte(kindName(), *m_FirstByteAfter);
  m_Core.observeWait(m_Waited);
}

void RequestExchange::noteStart() {
  m_StartAfter = m_LastByteAt - m_DispatchedAt;
  m_Core.observeStart(kindName(), *m_StartAfter);
  endUnstarted(GatewayCore::UnstartedEnd::Started);
}

void RequestExchange::checkWeightsBound(const UpstreamExchange &Sent) {
  if (!m_AnsweredWeights)
    return;
  const auto Late = m_Core.lateStarts().judge(m_Model, *m_AnsweredWeights, m_LastByteAt);
  if (!Late)
    return;
  m_Core.countLateStart();
  if (m_Core.lateStarts().mayLog(m_LastByteAt))
    logEvent(Severity::Warning, "older_weights_ran_late",
             {{"request", m_RequestId},
              {"upstream", m_CurrentUpstream},
              {"attempt", m_AttemptsSent},
              {"model", m_Model},
              {"placedWeights", m_PlacedWeights},
              {"answeredWeights", *m_AnsweredWeights},
              {"leastWeights", Late->m_Least},
              {"lateSeconds", Late->m_Late},
              {"startSeconds", *m_StartAfter},
              {"sinceSentSeconds", m_LastByteAt - Sent.sentAt()}});
}

bool RequestExchange::mayRetry() const {
  if (m_AttemptsSent >= std::max<std::uint32_t>(m_Route->m_MaxAttempts, 1))
    return false;
  if (m_HeadSent)
    return canResume();
  return !m_MayHaveRun || isRepeatable(m_Route->m_Kind);
}

bool RequestExchange::takeRetry() {
  return mayRetry() && m_Core.retryBudget(m_Service).takeRetry(m_Account);
}

void RequestExchange::onDeadline() {
  m_TimedOut = true;
  interrupt();
}

void RequestExchange::onCallerLeft() {
  m_CallerLeft = true;
  m_ClientBroken = true;
  interrupt();
}

void RequestExchange::onStop() {
  m_TimedOut = true;
  cancelWork();
}

void RequestExchange::cancelWork() {
  if (m_Waiter)
    m_Waiter->cancel();
  if (m_Current)
    m_Current->cancel();
}

void RequestExchange::interrupt() {
  cancelWork();
  // A write to a caller that does not read would otherwise go on.
  if (m_HeadSent)
    m_Client->reset();
}

void RequestExchange::withdraw() {
  if (std::exchange(m_Withdrawn, true))
    return;
  m_Current->cancel();
  m_Core.countAttempt("withdrawn");
  if (m_Core.mayLog(true))
    logEvent(Severity::Info, "request_withdrawn",
             {{"request", m_RequestId},
              {"upstream", m_CurrentUpstream},
              {"attempt", m_AttemptsSent},
              {"placedWeights", m_PlacedWeights},
              {"sinceDispatchSeconds", monotonicNow() - m_DispatchedAt}});
}

void RequestExchange::endUnstarted(GatewayCore::UnstartedEnd How) {
  if (m_Unstarted)
    m_Core.endUnstarted(*std::exchange(m_Unstarted, std::nullopt), m_Service, How);
}

void RequestExchange::checkStall() {
  m_StallAlarm.set(StallCheckInterval, [this] {
    const TimePoint Now = monotonicNow();
    const Duration Silent = m_IsWriting ? Duration(0) : Now - std::max(m_LastByteAt, m_LastWriteAt);
    const bool UpstreamSilent = m_Core.board().isSilent(m_CurrentUpstream, Now);
    const bool Stalled = isStream(m_Route->m_Kind)
                             ? Silent > (UpstreamSilent ? StallLimit : LongStallLimit)
                             : Silent > PlainStallFactor * m_Route->m_TargetLatency;
    if (Stalled && m_Current && isRepeatable(m_Route->m_Kind) && mayRetry()) {
      Placement Found = m_Core.placeNow(wantedPlace());
      if (Found.m_Verdict == PlacementVerdict::Placed) {
        if (takeRetry()) {
          m_MoveTo = std::move(Found);
          m_Current->cancel();
          return;
        }
        m_Core.giveBack(Found, m_PromptTokens);
      }
    }
    checkStall();
  });
}

Task<> RequestExchange::refuse(ErrorKind Kind) {
  const ErrorAnswer &Answer = errorAnswer(Kind);
  std::optional<Duration> RetryAfter;
  if (Answer.m_HttpStatus == 503 && Answer.m_RetryAfter) {
    RetryAfter = m_Core.retryTimes().next(m_Route ? std::max(timeLeft(), Duration(0))
                                                  : std::chrono::seconds(1));
    // Another instance may have a part in the rate where this one has none.
    if (m_NextPermit && *m_NextPermit != TimePoint::max())
      RetryAfter = std::max(*RetryAfter, *m_NextPermit - monotonicNow());
  }
  co_await replyError(Kind, RetryAfter);
}

Task<> RequestExchange::finishFailed() {
  if (m_CallerLeft) {
    m_Outcome = "caller-left";
    m_Client->close();
    co_return;
  }
  if (m_HeadSent) {
    m_Outcome = m_TimedOut ? "cut-at-deadline" : "cut-upstream-lost";
    m_ClientBroken = true;
    m_Client->reset();
    co_return;
  }
  if (m_KeptAnswer) {
    co_await deliverKept();
    co_return;
  }
  if (!m_MayHaveRun) {
    ErrorKind Kind = m_LastVerdict == PlacementVerdict::NoneUsable ? ErrorKind::NoUpstream
                                                                   : ErrorKind::Overloaded;
    if (m_Core.refusesRequests() || isTooLateToBegin())
      Kind = ErrorKind::Draining;
    co_await refuse(Kind);
    co_return;
  }
  if (m_TimedOut)
    co_await replyError(ErrorKind::DeadlineExceeded, std::nullopt);
  else
    co_await replyError(m_AnswerMalformed ? ErrorKind::AnswerMalformed : ErrorKind::UpstreamLost,
                        std::nullopt);
}

Task<> RequestExchange::deliverKept() {
  // A status that would promise that the request was not run must not reach the caller, because the
  // upstream did not say so.
  if (promisesNotRun(m_KeptAnswer->m_Header.result_int())) {
    co_await replyError(ErrorKind::UpstreamLost, std::nullopt);
    co_return;
  }
  m_Outcome = "upstream-failure";
  std::optional<std::uint64_t> Length = m_KeptAnswer->m_Body.size();
  if (isHead())
    Length = parseNumber<std::uint64_t>(
        std::string(m_KeptAnswer->m_Header[http::field::content_length]));
  const bool HeadWritten = co_await ensureHead(m_KeptAnswer->m_Header, Length);
  if (HeadWritten)
    m_Complete = co_await sendBody(std::move(m_KeptAnswer->m_Body), true);
}

Task<> RequestExchange::replyError(ErrorKind Kind, std::optional<Duration> RetryAfter) {
  const ErrorAnswer &Answer = errorAnswer(Kind);
  m_Outcome = Answer.m_Name;
  m_Status = static_cast<unsigned>(Answer.m_HttpStatus);
  if (promisesNotRun(m_Status) && !NotRunIsTrue.check(!m_MayHaveRun, m_RequestId)) {
    m_Client->reset();
    co_return;
  }
  HttpResponse Response = errorResponse(Answer);
  if (!m_RequestId.empty())
    Response.set(m_Core.headers().m_RequestId, m_RequestId);
  if (RetryAfter)
    Response.set(http::field::retry_after, secondsText(*RetryAfter));
  Response.keep_alive(keepsConnection());

  Response.prepare_payload();
  if (isHead())
    Response.body().clear();
  m_HeadSent = true;
  auto [Error, Size] = co_await http::async_write(m_Client->socket(), Response, AsTuple);
  m_Complete = !Error;
  m_ClientBroken = static_cast<bool>(Error);
}

Task<bool> RequestExchange::ensureHead(const UpstreamExchange::Header &From,
                                       std::optional<std::uint64_t> Length) {
  if (m_HeadSent)
    co_return true;
  http::response_header<> Head;
  Head.version(11);
  Head.result(From.result_int());
  Head.reason(From.reason());
  copyHeaders(From, Head);
  m_Status = From.result_int();
  m_Chunked = !Length;
  if (Length)
    Head.set(http::field::content_length, std::to_string(*Length));
  else
    Head.set(http::field::transfer_encoding, "chunked");
  if (!keepsConnection())
    Head.set(http::field::connection, "close");
  m_HeadSent = true;
  std::ostringstream Text;
  Text << Head;
  co_return co_await writeClient(Text.str());
}

Task<bool> RequestExchange::sendBody(std::string Bytes, bool IsLast) {
  if (isHead())
    co_return true;
  std::string Framed;
  if (!m_Chunked)
    Framed = std::move(Bytes);
  else if (!Bytes.empty())
    Framed = beast::buffers_to_string(http::make_chunk(net::buffer(Bytes)));
  if (m_Chunked && IsLast)
    Framed += beast::buffers_to_string(http::make_chunk_last());
  if (Framed.empty())
    co_return true;
  co_return co_await writeClient(std::move(Framed));
}

Task<bool> RequestExchange::writeClient(std::string Bytes) {
  m_IsWriting = true;
  auto [Error, Size] = co_await net::async_write(m_Client->socket(), net::buffer(Bytes), AsTuple);
  m_IsWriting = false;
  m_LastWriteAt = monotonicNow();
  if (Error)
    m_ClientBroken = true;
  co_return !Error;
}

void RequestExchange::logAttempt(const Placement &Chosen, std::string_view Outcome,
                                 std::string_view Detail) {
  m_Core.countAttempt(Outcome);
  if (m_Core.mayLog(true))
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

void RequestExchange::logEnd() {
  const bool Failed = m_Outcome != "delivered";
  if (!m_Core.mayLog(Failed))
    return;
  logEvent(Severity::Info, "request_finished",
           {{"request", m_RequestId},
            {"route", m_Route ? m_Route->m_Id.str() : std::string()},
            {"plan", m_Plan ? m_Plan->version() : PlanVersion()},
            {"account", m_Account},
            {"service", m_Service},
            {"outcome", m_Outcome},
            {"status", m_Status},
            {"returned", m_Returned},
            {"attempts", m_AttemptsSent},
            {"upstream", m_CurrentUpstream},
            {"events", m_EventsPassed},
            {"longestPauseSeconds", m_LongestPause},
            {"mayHaveRun", m_MayHaveRun},
            {"waitSeconds", m_Waited},
            {"placedWeights", m_PlacedWeights},
            {"answeredWeights", m_AnsweredWeights.value_or(WeightsVersion())},
            {"startSeconds", m_StartAfter.value_or(Duration(0))},
            {"firstByteSeconds", m_FirstByteAfter.value_or(Duration(0))},
            {"totalSeconds", monotonicNow() - m_ArrivedAt}});
}

} // namespace fescuegauge
