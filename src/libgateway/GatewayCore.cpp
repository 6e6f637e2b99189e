#include "GatewayCore.h"

#include "Fescuegauge/Log.h"

#include <algorithm>

namespace fescuegauge {

namespace {

/// Lines on requests written in one second, and as many again on failures and refusals. A line
/// costs about 20 us of processor time, so both bounds together are 0.4% of a core.
constexpr std::uint32_t MaxLogLinesPerSecond = 100;

constexpr Duration CrashCheckTimeout = std::chrono::milliseconds(300);

UpstreamBoardOptions boardOptions(const GatewayOptions &Options) {
  UpstreamBoardOptions Result;
  Result.m_DataCentre = Options.m_DataCentre;
  Result.m_Region = Options.m_Region;
  return Result;
}

} // namespace

HttpResponse errorResponse(const ErrorAnswer &Answer) {
  namespace http = boost::beast::http;
  HttpResponse Response(static_cast<http::status>(Answer.m_HttpStatus), 11);
  Response.set(http::field::content_type, "application/json");
  Response.body() = "{\"error\":\"" + std::string(Answer.m_Name) + "\",\"run\":\"" +
                    std::string(wasRunName(Answer.m_WasRun)) + "\"}";
  return Response;
}

GatewayCore::GatewayCore(net::io_context &Loop, GatewayOptions Options, MetricsService &Metrics)
    : m_Options(std::move(Options)), m_Pool(Loop.get_executor()), m_Random(m_Options.m_Seed),
      m_Board(boardOptions(m_Options), m_Random()), m_RetryTimes(m_Random()),
      m_PumpAlarm(Loop.get_executor()), m_WithdrawAlarm(Loop.get_executor()),
      m_StopAlarm(Loop.get_executor()),
      m_Requests(Metrics.counter({"fescuegauge_gateway_requests_total",
                                  "Requests of callers by kind of route and outcome.",
                                  {{"kind", 8}, {"outcome", 40}}})),
      m_Attempts(Metrics.counter({"fescuegauge_gateway_attempts_total",
                                  "Dispatches to upstreams by outcome.",
                                  {{"outcome", 16}}})),
      m_DroppedLines(Metrics.counter({"fescuegauge_gateway_log_lines_dropped_total",
                                      "Lines on requests left out to bound the log's volume.",
                                      {}})),
      m_LateOlderWeights(
          Metrics.counter({"fescuegauge_gateway_late_older_weights_total",
                           "Streams that began after the bound on weights older than it allows.",
                           {}})),
      m_RateLimitedSends(Metrics.counter({"fescuegauge_gateway_rate_limited_sends_total",
                                          "Requests sent to upstreams that name a rate.",
                                          {}})),
      m_RateRefusedSends(
          Metrics.counter({"fescuegauge_gateway_rate_refused_sends_total",
                           "Requests that were not sent because their upstream named a rate after "
                           "they were given a place.",
                           {}})),
      m_FirstByte(
          Metrics.histogram({"fescuegauge_gateway_first_byte_seconds",
                             "Time from a request's arrival to the first byte of its answer.",
                             {{"kind", 8}}},
                            {0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4})),
      m_Start(Metrics.histogram({"fescuegauge_gateway_start_seconds",
                                 "Time from a dispatch to the first event of the answer, or to "
                                 "the head of a plain one.",
                                 {{"kind", 8}}},
                                {0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2, 3, 4, 6, 8})),
      m_Wait(Metrics.histogram({"fescuegauge_gateway_queue_seconds",
                                "Time that dispatched requests waited for a place.",
                                {}},
                               {0.001, 0.01, 0.025, 0.05, 0.1, 0.2, 0.5})) {}

void GatewayCore::setPlan(std::shared_ptr<const RouteTable> Plan) {
  m_Plan = std::move(Plan);
  m_Board.setPlan(*m_Plan);
  pump();
}

Placement GatewayCore::placeNow(const PlacementRequest &Request) {
  const TimePoint Now = monotonicNow();
  Placement Result = m_Board.place(Request, Now);
  if (Result.m_Verdict == PlacementVerdict::Placed) {
    Result.m_HasPermit =
        m_Board.rates().takePermit(Result.m_Upstream.start(), Result.m_Upstream.m_DataCentre,
                                   Now) == SharedRates::Permit::Taken;
    m_Board.onDispatched(Result.m_Upstream.m_Id, Request.m_PromptTokens, Now);
    m_Queue.onPlaced(Request.m_Service, Now);
  }
  return Result;
}

void GatewayCore::giveBack(const Placement &Unused, std::uint32_t PromptTokens) {
  if (Unused.m_HasPermit)
    m_Board.rates().giveBackPermit(Unused.m_Upstream.start());
  release(Unused.m_Upstream.m_Id, DispatchResult::Abandoned, PromptTokens);
}

Task<Placement> GatewayCore::waitForPlace(PlacementRequest Request, WaitTerms Terms,
                                          std::shared_ptr<PlaceWaiter> &Waiter) {
  const TimePoint Now = monotonicNow();
  WaitingRequest Entry;
  Entry.m_Priority = Terms.m_Priority;
  Entry.m_Returned = Terms.m_Returned;

  Placement Direct;
  Direct.m_Verdict = PlacementVerdict::AllFull;
  if (m_Queue.waiting(Request.m_Service) == 0) {
    Direct = placeNow(Request);
    if (Direct.m_Verdict != PlacementVerdict::AllFull)
      co_return Direct;
    // No place comes free by itself before the next permit is due.
    if (Direct.m_NextPermit && *Direct.m_NextPermit - Now > Terms.m_Longest)
      co_return Direct;
  }
  if (!m_Queue.shouldWait(Request.m_Service, Entry, Terms.m_Longest, Now))
    co_return Direct;

  m_LastNumber = m_LastNumber.next();
  Entry.m_Number = m_LastNumber;
  const ServiceId Service = Request.m_Service;
  auto Waiting = std::make_shared<PlaceWaiter>(executor(), std::move(Request));
  Waiter = Waiting;
  m_Waiters.emplace(Entry.m_Number, Waiting);
  m_Queue.push(Service, Entry);
  pump();
  if (!Waiting->m_Placed) {
    Waiting->m_Timer.expires_after(Terms.m_Longest);
    co_await Waiting->m_Timer.async_wait(AsTuple);
  }
  Waiter.reset();
  m_Waiters.erase(Entry.m_Number);
  m_Queue.remove(Service, Entry.m_Number);
  co_return Waiting->m_Placed.value_or(Direct);
}

void GatewayCore::pump() {
  const auto Services = m_Queue.waitingServices();
  for (const auto &[Service, Count] : Services) {
    for (const WaitingNumber Number : m_Queue.order(Service)) {
      PlaceWaiter &Waiting = *m_Waiters.at(Number);
      Placement Found = placeNow(Waiting.m_Request);
      if (Found.m_Verdict != PlacementVerdict::Placed) {
        // Others may go where this one has been already, but not if nothing at all is free.
        if (Waiting.m_Request.m_Tried.empty())
          break;
        continue;
      }
      Waiting.m_Placed = std::move(Found);
      m_Queue.remove(Service, Number);
      Waiting.cancel();
    }
  }
  schedulePump();
}

void GatewayCore::schedulePump() {
  if (m_PumpScheduled || m_Queue.waitingServices().empty())
    return;
  m_PumpScheduled = true;
  m_PumpAlarm.set(PumpInterval, [this] {
    m_PumpScheduled = false;
    pump();
  });
}

void GatewayCore::release(const InstanceId &Upstream, DispatchResult Result,
                          std::uint32_t UnreadTokens) {
  m_Board.onEnded(Upstream, Result, UnreadTokens, monotonicNow());
  pump();
}

void GatewayCore::onPromptRead(const InstanceId &Upstream, std::uint32_t PromptTokens) {
  m_Board.onPromptRead(Upstream, PromptTokens);
  pump();
}

void GatewayCore::setWeightsBounds(const ModelId &Model, std::vector<WeightsBound> Bounds) {
  std::vector<WeightsBound> &Known = m_WeightsBounds[Model];
  if (Known == Bounds)
    return;
  Known = std::move(Bounds);
  m_Board.setWeightsBounds(Model, Known);
  m_LateStarts.setBounds(Model, Known);
  withdrawOverdue();
}

UnstartedNumber GatewayCore::addUnstarted(const ModelId &Model, const UpstreamRecord &Upstream,
                                          std::function<void()> OnWithdraw) {
  const UnstartedNumber Number = m_Unstarted.add(Model, Upstream, monotonicNow());
  m_OnWithdraw.emplace(Number, std::move(OnWithdraw));
  return Number;
}

void GatewayCore::endUnstarted(UnstartedNumber Number, const ServiceId &Service, UnstartedEnd How) {
  m_OnWithdraw.erase(Number);
  const TimePoint Now = monotonicNow();
  const auto Wait = m_Unstarted.remove(Number, Now);
  if (!Wait)
    return;
  if (How == UnstartedEnd::Started)
    m_Board.onStarted(Service, Wait->m_Upstream, Wait->m_Length, Now);
  else if (How == UnstartedEnd::GivenUp)
    m_Board.onStartGivenUp(Service, Wait->m_Upstream, Wait->m_Length, Now);
}

void GatewayCore::withdrawOverdue() {
  const TimePoint Now = monotonicNow();
  for (const UnstartedNumber Number : m_Unstarted.overdue(m_Board, Now))
    m_OnWithdraw.at(Number)();
  std::optional<TimePoint> Next;
  for (const auto &[Model, Bounds] : m_WeightsBounds)
    for (const WeightsBound &Each : Bounds)
      if (const auto At = UnstartedRequests::nextCheck(Each.m_At, Now);
          At && (!Next || *At < *Next))
        Next = At;
  if (Next)
    m_WithdrawAlarm.set(*Next - Now, [this] { withdrawOverdue(); });
}

void GatewayCore::noteRate(const UpstreamStart &Upstream, std::optional<RequestRate> Named,
                           TimePoint SentAt) {
  logRate(Upstream, m_Board.rates().onAnswer(Upstream, Named, SentAt, monotonicNow()), "");
}

void GatewayCore::noteToldRate(const InstanceId &Peer, const RateStatement &Told) {
  logRate(Told.m_Upstream, m_Board.rates().onTold(Told, monotonicNow()), Peer.str());
}

void GatewayCore::logRate(const UpstreamStart &Upstream, RateStatements::News News,
                          std::string_view From) {
  if (News == RateStatements::News::None || !mayLog(true))
    return;
  if (const auto Rate = m_Board.rates().statements().rateOf(Upstream, monotonicNow()))
    logEvent(Severity::Info, "upstream_rate_named",
             {{"upstream", Upstream.m_Id}, {"perSecond", Rate->perSecond()}, {"toldBy", From}});
  else
    logEvent(Severity::Info, "upstream_rate_ended",
             {{"upstream", Upstream.m_Id}, {"toldBy", From}});
}

void GatewayCore::addRunning(const InstanceId &Upstream, const SuspectKey &Key) {
  m_Running.emplace(Upstream, Key);
}

void GatewayCore::removeRunning(const InstanceId &Upstream, const SuspectKey &Key) {
  auto [First, Last] = m_Running.equal_range(Upstream);
  auto Found = std::find_if(First, Last, [&](const auto &Each) { return Each.second == Key; });
  if (Found != Last)
    m_Running.erase(Found);
}

void GatewayCore::checkCrash(const UpstreamRecord &Upstream) {
  const TimePoint Now = monotonicNow();
  // The check opens a connection, which an upstream that asked for a pause does not want either.
  if (m_Board.wantsPause(Upstream.start(), Now))
    return;
  auto [Entry, IsNew] = m_CrashChecked.try_emplace(Upstream.m_Id, Now);
  if (!IsNew && Now - Entry->second < CrashCheckInterval)
    return;
  Entry->second = Now;
  std::erase_if(m_CrashChecked,
                [&](const auto &Each) { return Now - Each.second > CrashCheckInterval; });
  std::vector<SuspectKey> Running;
  auto [First, Last] = m_Running.equal_range(Upstream.m_Id);
  for (auto Each = First; Each != Last; ++Each)
    Running.push_back(Each->second);
  spawnTask(executor(), "confirm_crash", confirmCrash(Upstream, std::move(Running)));
}

Task<> GatewayCore::confirmCrash(UpstreamRecord Upstream, std::vector<SuspectKey> Running) {
  co_await sleepFor(CrashCheckDelay);
  SystemError Error;
  ConnectionPtr Opened = co_await m_Pool.open(Upstream.m_Address, CrashCheckTimeout, Error);
  if (Opened) {
    m_Pool.keep(Opened, ConnectionPool::DefaultKeepAlive);
    co_return;
  }
  if (Error != net::error::connection_refused)
    co_return;
  const TimePoint Now = monotonicNow();
  // Each crash of one start of an upstream counts once; the time tells two of them apart.
  const Incarnation Crash(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch()).count()));
  m_Suspects.recordCrash(Upstream.m_Id, Crash, Running, Now);
  logEvent(Severity::Warning, "upstream_crashed",
           {{"upstream", Upstream.m_Id}, {"requestsRunning", Running.size()}});
}

bool GatewayCore::refusesRequests() const {
  const TimePoint Now = monotonicNow();
  return m_DrainingSince && (Now - *m_DrainingSince > DrainGrace || Now >= m_RequestsEndAt);
}

void GatewayCore::beginDrain() {
  m_DrainingSince = monotonicNow();
  const Duration Left = std::max(m_Options.m_StopTime - StopMargin, Duration(0));
  m_RequestsEndAt = *m_DrainingSince + Left;
  m_StopAlarm.set(Left, [this] {
    // What is called may end requests, which are removed then.
    const auto InProgress = m_InProgress;
    for (const auto &[Request, OnStop] : InProgress)
      if (m_InProgress.contains(Request))
        OnStop();
  });
}

bool GatewayCore::mayLog(bool IsFailure) {
  const TimePoint Now = monotonicNow();
  if (Now - m_LogSecond >= std::chrono::seconds(1)) {
    if (m_LogDropped > 0)
      logEvent(Severity::Warning, "request_lines_left_out", {{"count", m_LogDropped}});
    m_LogSecond = Now;
    m_LogLines = m_LogFailures = m_LogDropped = 0;
  }
  std::uint32_t &Lines = IsFailure ? m_LogFailures : m_LogLines;
  if (Lines < MaxLogLinesPerSecond) {
    ++Lines;
    return true;
  }
  ++m_LogDropped;
  m_DroppedLines.add();
  return false;
}

} // namespace fescuegauge
