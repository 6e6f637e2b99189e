#include "GatewayCore.h"

#include "Fescuegauge/Log.h"
#include "Fescuegauge/ScopeExit.h"

#include <algorithm>

namespace fescuegauge {

namespace {

/// Limit of log lines per second on successful requests, and the same limit again on failures and
/// refusals. A line costs about 20 us of CPU time, so both limits together cost 0.4% of a core.
constexpr std::uint32_t MaxLogLinesPerSecond = 100;

constexpr Duration CrashCheckTimeout = std::chrono::milliseconds(300);

LoadBalancerOptions boardOptions(const GatewayOptions &Options) {
  LoadBalancerOptions Result;
  Result.m_DataCentre = Options.m_DataCentre;
  Result.m_Region = Options.m_Region;
  Result.m_ColdBounds = Options.m_ColdBounds;
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

std::string formatSeconds(Duration Length) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.2f", toSeconds(Length));
  return Text;
}

GatewayCore::GatewayCore(net::io_context &Loop, GatewayOptions Options, MetricsService &Metrics)
    : m_Options(std::move(Options)), m_Pool(Loop.get_executor()), m_Random(m_Options.m_Seed),
      m_LoadBalancer(boardOptions(m_Options), m_Random()), m_RetryDelays(m_Random()),
      m_Suspects(CrashCollectionTime),
      m_Admission(Loop.get_executor(),
                  ClientMemoryLimits::forProcess(m_Options.m_MemoryBytes, m_Options.m_Descriptors),
                  Metrics),
      m_PlacementTimer(Loop.get_executor()), m_WithdrawTimer(Loop.get_executor()),
      m_SuspectsTimer(Loop.get_executor()), m_StopTimer(Loop.get_executor()),
      m_Requests(Metrics.counter({"fescuegauge_gateway_requests_total",
                                  "Client requests by kind of route and outcome.",
                                  {{"kind", 8}, {"outcome", 40}}})),
      m_Attempts(Metrics.counter({"fescuegauge_gateway_attempts_total",
                                  "Dispatches to upstreams by outcome.",
                                  {{"outcome", 16}}})),
      m_DroppedLogLinesTotal(Metrics.counter({"fescuegauge_gateway_log_lines_dropped_total",
                                              "Log lines on requests dropped by the rate limit.",
                                              {}})),
      m_LateOlderWeights(Metrics.counter({"fescuegauge_gateway_late_older_weights_total",
                                          "Streams that began on older weights after the bound.",
                                          {}})),
      m_UpstreamCrashes(Metrics.counter({"fescuegauge_gateway_upstream_crashes_total",
                                         "Crashes of upstreams that this instance detected.",
                                         {}})),
      m_QuarantineChanges(Metrics.counter({"fescuegauge_gateway_quarantine_changes_total",
                                           "Quarantines of request keys that began or ended.",
                                           {{"change", 4}}})),
      m_RateLimitedSends(Metrics.counter({"fescuegauge_gateway_rate_limited_sends_total",
                                          "Requests sent to upstreams that name a rate limit.",
                                          {}})),
      m_RateRefusedSends(
          Metrics.counter({"fescuegauge_gateway_rate_refused_sends_total",
                           "Requests not sent because their upstream named a rate limit after they "
                           "were placed.",
                           {}})),
      m_ColdSends(Metrics.counter({"fescuegauge_gateway_cold_sends_total",
                                   "Requests sent to upstreams that are treated as cold.",
                                   {}})),
      m_ColdWithheldSends(
          Metrics.counter({"fescuegauge_gateway_cold_withheld_sends_total",
                           "Requests not sent because their upstream turned cold after they were "
                           "placed and this instance had no permit.",
                           {}})),
      m_ReachabilityChanges(Metrics.counter(
          {"fescuegauge_gateway_data_centre_reachability_changes_total",
           "Data centres whose upstreams could no longer be reached, or could again.",
           {{"change", 2}}})),
      m_ReservedSlots(Metrics.counter(
          {"fescuegauge_gateway_reserved_slots_total",
           "Requests that found free slots on arrival, all reserved for requests with "
           "a higher priority.",
           {{"priority", 10}}})),
      m_FirstByte(
          Metrics.histogram({"fescuegauge_gateway_first_byte_seconds",
                             "Time from a request's arrival to the first byte of its response.",
                             {{"kind", 8}}},
                            {0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4})),
      m_Start(Metrics.histogram({"fescuegauge_gateway_start_seconds",
                                 "Time from a dispatch to the first event of the response, or to "
                                 "the header of a plain one.",
                                 {{"kind", 8}}},
                                {0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2, 3, 4, 6, 8})),
      m_Wait(Metrics.histogram({"fescuegauge_gateway_queue_seconds",
                                "Time that dispatched requests waited for a slot.",
                                {}},
                               {0.001, 0.01, 0.025, 0.05, 0.1, 0.2, 0.5})),
      m_LoopDelay(Metrics.histogram({"fescuegauge_gateway_loop_delay_seconds",
                                     "How late timers of requests were handled.",
                                     {}},
                                    {0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2})) {}

void GatewayCore::setPlan(std::shared_ptr<const RouteTable> Plan) {
  m_Plan = std::move(Plan);
  m_LoadBalancer.setPlan(*m_Plan);
  placeWaiting();
}

Placement GatewayCore::tryPlace(const PlacementRequest &Request) {
  const TimePoint Now = monotonicNow();
  Placement Result = m_LoadBalancer.place(Request, Now);
  if (Result.m_Verdict == PlacementVerdict::Placed) {
    m_LoadBalancer.rates().takePermit(Result.m_Upstream.start(), Result.m_Upstream.m_DataCentre,
                                      Result.m_Permits, Now);
    m_LoadBalancer.onDispatched(Result.m_Upstream.m_Id, Request.m_PromptTokens, Now);
    m_Queue.onPlaced(Request.m_Service, Now);
  }
  return Result;
}

Placement GatewayCore::tryAdmit(const PlacementRequest &Request, const WaitOptions &Queueing) {
  if (Queueing.m_IsRanked &&
      !m_Reservation.admits(Request.m_Service, Queueing.m_Priority,
                            m_LoadBalancer.occupancy(Request, monotonicNow()))) {
    Placement Denied;
    Denied.m_Verdict = PlacementVerdict::AllFull;
    Denied.m_IsReserved = true;
    return Denied;
  }
  return tryPlace(Request);
}

void GatewayCore::undoPlacement(const Placement &Unsent, std::uint32_t PromptTokens) {
  m_LoadBalancer.rates().returnPermit(Unsent.m_Upstream.start(), Unsent.m_Permits);
  release(Unsent.m_Upstream.m_Id, DispatchResult::Abandoned, PromptTokens);
}

Task<Placement> GatewayCore::waitForPlacement(PlacementRequest Request, WaitOptions Queueing,
                                              std::shared_ptr<PlacementWaiter> &Waiter) {
  const TimePoint Now = monotonicNow();
  WaitingRequest Entry;
  Entry.m_Priority = Queueing.m_Priority;
  Entry.m_IsRetry = Queueing.m_IsRetry;

  Placement Immediate;
  Immediate.m_Verdict = PlacementVerdict::AllFull;
  if (!hasWaitingRival(Request)) {
    Immediate = tryAdmit(Request, Queueing);
    if (Immediate.m_IsReserved)
      m_ReservedSlots.add({std::to_string(Queueing.m_Priority)});
    if (Immediate.m_Verdict != PlacementVerdict::AllFull)
      co_return Immediate;
    // A permit of the rate limit is due only after the longest wait, and no slot becomes free
    // before.
    if (Immediate.m_NextPermit && *Immediate.m_NextPermit - Now > Queueing.m_MaxWait)
      co_return Immediate;
  }
  if (!m_Queue.shouldQueue(Request.m_Service, Entry, Queueing.m_MaxWait, Now))
    co_return Immediate;

  m_LastNumber = m_LastNumber.next();
  Entry.m_Number = m_LastNumber;
  const ServiceId Service = Request.m_Service;
  auto Waiting = std::make_shared<PlacementWaiter>(executor(), std::move(Request), Queueing);
  Waiter = Waiting;
  m_Waiters.emplace(Entry.m_Number, Waiting);
  m_Queue.push(Service, Entry);
  const ScopeExit EndWait([&] {
    Waiter.reset();
    m_Waiters.erase(Entry.m_Number);
    m_Queue.remove(Service, Entry.m_Number);
  });
  placeWaiting();
  if (!Waiting->m_Placement) {
    Waiting->m_Timer.expires_after(Queueing.m_MaxWait);
    co_await Waiting->m_Timer.async_wait(AsTuple);
  }
  co_return Waiting->m_Placement.value_or(Immediate);
}

bool GatewayCore::hasWaitingRival(const PlacementRequest &Request) const {
  if (m_Queue.waiting(Request.m_Service) == 0)
    return false;
  return std::any_of(m_Waiters.begin(), m_Waiters.end(), [&](const auto &Each) {
    const PlacementRequest &Waiting = Each.second->m_Request;
    return Waiting.m_Service == Request.m_Service && Waiting.m_Regions == Request.m_Regions;
  });
}

void GatewayCore::placeWaiting() {
  const auto Services = m_Queue.waitingServices();
  for (const auto &[Service, Count] : Services) {
    for (const WaitingNumber Number : m_Queue.order(Service)) {
      PlacementWaiter &Waiting = *m_Waiters.at(Number);
      Placement NewPlacement = tryAdmit(Waiting.m_Request, Waiting.m_Queueing);
      if (NewPlacement.m_Verdict != PlacementVerdict::Placed) {
        // If this request excludes no upstream, no slot is free for the others either.
        if (Waiting.m_Request.m_Tried.empty() && !Waiting.m_Request.m_Regions.isRestricted() &&
            !NewPlacement.m_IsReserved)
          break;
        continue;
      }
      Waiting.m_Placement = std::move(NewPlacement);
      m_Queue.remove(Service, Number);
      Waiting.cancel();
    }
  }
  schedulePlacement();
}

void GatewayCore::schedulePlacement() {
  if (m_PlacementScheduled || m_Queue.waitingServices().empty())
    return;
  m_PlacementScheduled = true;
  m_PlacementTimer.set(PlacementInterval, [this] {
    m_PlacementScheduled = false;
    placeWaiting();
  });
}

void GatewayCore::release(const InstanceId &Upstream, DispatchResult Result,
                          std::uint32_t UnreadTokens) {
  m_LoadBalancer.onEnded(Upstream, Result, UnreadTokens, monotonicNow());
  placeWaiting();
}

void GatewayCore::onPromptRead(const InstanceId &Upstream, std::uint32_t PromptTokens) {
  m_LoadBalancer.onPromptRead(Upstream, PromptTokens);
  placeWaiting();
}

void GatewayCore::setWeightsBounds(const ModelId &Model, std::vector<WeightsBound> Bounds) {
  std::vector<WeightsBound> &Known = m_WeightsBounds[Model];
  if (Known == Bounds)
    return;
  Known = std::move(Bounds);
  m_LoadBalancer.setWeightsBounds(Model, Known);
  m_LateStartDetector.setBounds(Model, Known);
  withdrawOverdue();
}

UnstartedNumber GatewayCore::addUnstarted(const ModelId &Model, const UpstreamRecord &Upstream,
                                          std::function<void()> OnWithdraw) {
  const UnstartedNumber Number = m_Unstarted.add(Model, Upstream, monotonicNow());
  m_WithdrawCallbacks.emplace(Number, std::move(OnWithdraw));
  return Number;
}

void GatewayCore::endUnstarted(UnstartedNumber Number, const ServiceId &Service, UnstartedEnd How) {
  m_WithdrawCallbacks.erase(Number);
  const TimePoint Now = monotonicNow();
  const auto Wait = m_Unstarted.remove(Number, Now);
  if (!Wait)
    return;
  if (How == UnstartedEnd::Started)
    m_LoadBalancer.onStarted(Service, Wait->m_Upstream, Wait->m_Length, Now);
  else if (How == UnstartedEnd::NotBegun)
    m_LoadBalancer.onStartAbandoned(Service, Wait->m_Upstream, Wait->m_Length, Now);
}

void GatewayCore::withdrawOverdue() {
  const TimePoint Now = monotonicNow();
  for (const UnstartedNumber Number : m_Unstarted.overdue(m_LoadBalancer, Now))
    m_WithdrawCallbacks.at(Number)();
  std::optional<TimePoint> Next;
  for (const auto &[Model, Bounds] : m_WeightsBounds)
    for (const WeightsBound &Each : Bounds)
      if (const auto At = UnstartedRequests::nextCheck(Each.m_At, Now);
          At && (!Next || *At < *Next))
        Next = At;
  if (Next)
    m_WithdrawTimer.set(*Next - Now, [this] { withdrawOverdue(); });
}

void GatewayCore::recordRateLimit(const UpstreamStart &Upstream, std::optional<RequestRate> Named,
                                  TimePoint SentAt) {
  logRate(Upstream, m_LoadBalancer.rates().onAnswer(Upstream, Named, SentAt, monotonicNow()), "");
}

void GatewayCore::recordPeerRate(const InstanceId &Peer, const RateStatement &Statement) {
  logRate(Statement.m_Upstream, m_LoadBalancer.rates().onPeerUpdate(Statement, monotonicNow()),
          Peer.str());
}

void GatewayCore::logRate(const UpstreamStart &Upstream, RateStatements::RateChange Change,
                          std::string_view From) {
  if (Change == RateStatements::RateChange::None || !tryAcquireLogLine(true))
    return;
  if (const auto Rate = m_LoadBalancer.rates().statements().rateOf(Upstream, monotonicNow()))
    logEvent(Severity::Info, "upstream_rate_named",
             {{"upstream", Upstream.m_Id}, {"perSecond", Rate->perSecond()}, {"toldBy", From}});
  else
    logEvent(Severity::Info, "upstream_rate_ended",
             {{"upstream", Upstream.m_Id}, {"toldBy", From}});
}

void GatewayCore::recordCold(const UpstreamStart &Upstream, Duration Remaining) {
  m_LoadBalancer.rates().cold().onAnswer(Upstream, Remaining, monotonicNow());
  logColdChanges();
}

void GatewayCore::recordUnreachable(const UpstreamStart &Upstream) {
  m_LoadBalancer.rates().cold().onUnreachable(Upstream, monotonicNow());
  logColdChanges();
}

void GatewayCore::logColdChanges() {
  for (const ColdUpstreams::Change &Each :
       m_LoadBalancer.rates().cold().takeChanges(monotonicNow())) {
    if (!tryAcquireLogLine(true))
      continue;
    if (Each.m_IsCold)
      logEvent(Severity::Info, "upstream_cold",
               {{"upstream", Each.m_Upstream.m_Id},
                {"incarnation", Each.m_Upstream.m_Incarnation},
                {"seconds", Each.m_Remaining},
                {"stated", Each.m_IsStated}});
    else
      logEvent(
          Severity::Info, "upstream_cold_ended",
          {{"upstream", Each.m_Upstream.m_Id}, {"incarnation", Each.m_Upstream.m_Incarnation}});
  }
}

void GatewayCore::onProgress(const UpstreamRecord &From, TimePoint Now) {
  m_LoadBalancer.onProgress(From.m_Id, Now);
  if (m_Reachability.onHeard(From.m_DataCentre, Now))
    setReachable(From.m_DataCentre, true);
}

void GatewayCore::onConnectTimeout(const UpstreamRecord &To, TimePoint StartedAt) {
  if (!m_Reachability.onTimeout(To.m_DataCentre, To.m_Id, StartedAt, monotonicNow()))
    return;
  setReachable(To.m_DataCentre, false);
  spawnTask(executor(), "probe_data_centre", probeDataCentre(To.m_DataCentre));
}

Task<> GatewayCore::probeDataCentre(DataCentreId DataCentre) {
  while (m_Reachability.isUnreachable(DataCentre)) {
    co_await sleepFor(DataCentreReachability::ProbeInterval);
    std::vector<UpstreamRecord> Listed = m_LoadBalancer.upstreamsIn(DataCentre);
    // An upstream that leaves or asked for a pause must not get a connection either.
    std::erase_if(Listed, [&](const UpstreamRecord &Each) {
      return Each.m_IsLeaving || m_LoadBalancer.isLeaving(Each.start(), monotonicNow()) ||
             m_LoadBalancer.isPaused(Each.start(), monotonicNow());
    });
    if (!m_Reachability.isUnreachable(DataCentre))
      co_return;
    if (Listed.empty()) {
      m_Reachability.onHeard(DataCentre, monotonicNow());
      setReachable(DataCentre, true);
      co_return;
    }
    const UpstreamRecord &Probed = Listed[uniformBelow(m_Random, Listed.size())];
    SystemError Error;
    ConnectionPtr Opened = co_await m_Pool.open(Probed.m_Address, CrashCheckTimeout, Error);
    if (!Opened)
      continue;
    m_Pool.putIdle(Opened, ConnectionPool::DefaultKeepAlive);
    if (m_Reachability.onHeard(DataCentre, monotonicNow()))
      setReachable(DataCentre, true);
  }
}

void GatewayCore::setReachable(const DataCentreId &DataCentre, bool IsReachable) {
  m_LoadBalancer.setReachable(DataCentre, IsReachable);
  m_ReachabilityChanges.add({IsReachable ? "reachable" : "unreachable"});
  logEvent(Severity::Warning, "data_centre_reachability",
           {{"upstreamDataCentre", DataCentre}, {"reachable", IsReachable}});
  if (IsReachable)
    placeWaiting();
}

RunningAttempts::iterator GatewayCore::addRunning(RunningAttempt Attempt) {
  return m_Running.insert(m_Running.end(), std::move(Attempt));
}

void GatewayCore::abandonRunning(RunningAttempts::iterator Attempt) {
  const TimePoint Now = monotonicNow();
  while (!m_Abandoned.empty() && (Now - m_Abandoned.front().m_At > AbandonedSuspectTime ||
                                  m_Abandoned.size() >= MaxAbandonedSuspects))
    m_Abandoned.pop_front();
  if (!Attempt->m_HasBegun && Attempt->m_Exchange->wasSent()) {
    m_Abandoned.push_back({*Attempt, Now});
    m_Abandoned.back().m_Attempt.m_Exchange.reset();
  }
  removeRunning(Attempt);
}

void GatewayCore::checkCrash(const UpstreamRecord &Upstream, const RunningAttempt &Lost) {
  const TimePoint Now = monotonicNow();
  // The check opens a connection, which an upstream that asked for a pause must not get either.
  if (m_LoadBalancer.isPaused(Upstream.start(), Now))
    return;
  std::erase_if(m_CrashChecks, [&](const auto &Each) {
    return !Each.second.m_IsPending && Now - Each.second.m_At > CrashCheckInterval;
  });
  auto [Entry, IsNew] = m_CrashChecks.try_emplace(Upstream.start());
  CrashCheck &Check = Entry->second;
  if (Check.m_Lost.empty())
    Check.m_FirstLossAt = Now;
  if (!Lost.m_HasBegun) {
    Check.m_Lost.push_back(Lost);
    Check.m_Lost.back().m_Exchange.reset();
  }
  if (Check.m_IsPending)
    return;
  const Duration Delay =
      IsNew ? CrashCheckDelay : std::max(CrashCheckDelay, CrashCheckInterval - (Now - Check.m_At));
  Check.m_IsPending = true;
  Check.m_At = Now + Delay;
  spawnTask(executor(), "confirm_crash", confirmCrash(Upstream, Delay));
}

Task<bool> GatewayCore::hasCrashed(UpstreamRecord Upstream, Duration Delay) {
  co_await sleepFor(Delay);
  SystemError Error;
  ConnectionPtr Opened = co_await m_Pool.open(Upstream.m_Address, CrashCheckTimeout, Error);
  if (Opened)
    m_Pool.putIdle(Opened, ConnectionPool::DefaultKeepAlive);
  co_return !Opened && Error == net::error::connection_refused;
}

Task<> GatewayCore::confirmCrash(UpstreamRecord Upstream, Duration Delay) {
  const bool IsCrashed = co_await hasCrashed(Upstream, Delay);
  CrashCheck &Check = m_CrashChecks.at(Upstream.start());
  Check.m_IsPending = false;
  const CrashCheck Confirmed = Check;
  Check.m_Lost.clear();
  if (IsCrashed)
    recordCrash(Upstream, Confirmed);
}

void GatewayCore::recordCrash(const UpstreamRecord &Upstream, const CrashCheck &Confirmed) {
  std::vector<RunningAttempt> Suspected = Confirmed.m_Lost;
  std::size_t BegunCount = 0;
  for (const RunningAttempt &Each : m_Running) {
    if (Each.m_Upstream != Upstream.start() || !Each.m_Exchange->wasSent())
      continue;
    if (Each.m_HasBegun)
      ++BegunCount;
    else
      Suspected.push_back(Each);
  }
  for (const AbandonedAttempt &Each : m_Abandoned)
    if (Each.m_Attempt.m_Upstream == Upstream.start() &&
        Confirmed.m_FirstLossAt - Each.m_At <= AbandonedSuspectTime)
      Suspected.push_back(Each.m_Attempt);
  std::vector<SuspectRequest> Unstarted;
  for (const RunningAttempt &Each : Suspected)
    Unstarted.push_back(Each.m_Request);
  const TimePoint Now = monotonicNow();
  m_Suspects.recordCrash(Upstream.start(), Unstarted, Confirmed.m_FirstLossAt, Now);
  m_UpstreamCrashes.add();
  recordUnreachable(Upstream.start());
  logEvent(Severity::Warning, "upstream_crashed",
           {{"upstream", Upstream.m_Id},
            {"incarnation", Upstream.m_Incarnation},
            {"sinceBreakSeconds", Now - Confirmed.m_FirstLossAt},
            {"requestsUnstarted", Suspected.size()},
            {"requestsBegun", BegunCount}});
  std::size_t Logged = 0;
  for (const RunningAttempt &Each : Suspected)
    if (Logged++ < MaxLoggedSuspects && tryAcquireLogLine(true))
      logEvent(Severity::Info, "crash_suspect",
               {{"upstream", Upstream.m_Id},
                {"request", Each.m_RequestId},
                {"account", Each.m_Request.m_Account},
                {"keys", joinKeys(Each.m_Request.m_Keys)}});
  handleSuspectChanges();
}

void GatewayCore::recordBegun(const SuspectRequest &Request) {
  m_Suspects.recordBegun(Request, monotonicNow());
  handleSuspectChanges();
}

void GatewayCore::mergeSuspects(const SuspectUpdate &Update) {
  if (Update.empty())
    return;
  m_Suspects.merge(Update, monotonicNow());
  handleSuspectChanges();
}

void GatewayCore::checkSuspects() {
  m_Suspects.onTimer(monotonicNow());
  handleSuspectChanges();
}

void GatewayCore::handleSuspectChanges() {
  bool HasBegun = false;
  for (const QuarantineChange &Change : m_Suspects.takeChanges()) {
    logQuarantine(Change);
    HasBegun = HasBegun || Change.m_Kind == QuarantineChange::Kind::Begun;
  }
  if (const auto At = m_Suspects.nextEvaluation())
    m_SuspectsTimer.set(std::max(*At - monotonicNow(), Duration(0)), [this] { checkSuspects(); });
  if (HasBegun)
    callInProgress(&Callbacks::m_OnQuarantine);
}

void GatewayCore::logQuarantine(const QuarantineChange &Change) {
  const std::string_view Kind = quarantineChangeName(Change.m_Kind);
  m_QuarantineChanges.add({Kind});
  std::string Crashes;
  for (const UpstreamStart &Each : Change.m_Crashes)
    Crashes += (Crashes.empty() ? "" : ",") + Each.m_Id.str();
  logEvent(Severity::Warning, "quarantine_changed",
           {{"change", Kind},
            {"keys", joinKeys(Change.m_Quarantine.m_Keys)},
            {"account", Change.m_Quarantine.m_Account.value_or(ClientAccountId())},
            {"lastCrash", Change.m_Quarantine.m_LastCrash.m_Id},
            {"sinceCrashSeconds", Change.m_Quarantine.m_Age},
            {"crashes", Crashes}});
}

void GatewayCore::callInProgress(std::function<void()> Callbacks::*Callback) {
  // A callback may end other requests, which removes them from m_InProgress.
  const auto InProgress = m_InProgress;
  for (const auto &[Request, Registered] : InProgress)
    if (m_InProgress.contains(Request))
      (Registered.*Callback)();
}

bool GatewayCore::isRefusingRequests() const {
  const TimePoint Now = monotonicNow();
  return m_DrainingSince && (Now - *m_DrainingSince > DrainGrace || Now >= m_RequestCutoff);
}

void GatewayCore::beginDrain() {
  m_DrainingSince = monotonicNow();
  const Duration Left = std::max(m_Options.m_StopTime - StopMargin, Duration(0));
  m_RequestCutoff = *m_DrainingSince + Left;
  m_StopTimer.set(Left, [this] { callInProgress(&Callbacks::m_OnStop); });
}

void GatewayCore::observeLoopDelay(Duration Late) {
  m_LoopDelay.observe({}, std::max(toSeconds(Late), 0.0));
  const TimePoint Now = monotonicNow();
  if (Late < MinLoggedLoopDelay || Now - m_LoopDelayLoggedAt < LoopDelayLogInterval)
    return;
  m_LoopDelayLoggedAt = Now;
  logEvent(Severity::Info, "event_loop_delayed",
           {{"seconds", Late}, {"requests", requestsInProgress()}, {"sessions", m_Sessions}});
}

bool GatewayCore::tryAcquireLogLine(bool IsFailure) {
  const TimePoint Now = monotonicNow();
  if (Now - m_LogWindowStart >= std::chrono::seconds(1)) {
    if (m_DroppedLogLines > 0)
      logEvent(Severity::Warning, "request_lines_left_out", {{"count", m_DroppedLogLines}});
    m_LogWindowStart = Now;
    m_LogLines = m_FailureLogLines = m_DroppedLogLines = 0;
  }
  std::uint32_t &Lines = IsFailure ? m_FailureLogLines : m_LogLines;
  if (Lines < MaxLogLinesPerSecond) {
    ++Lines;
    return true;
  }
  ++m_DroppedLogLines;
  m_DroppedLogLinesTotal.add();
  return false;
}

} // namespace fescuegauge
