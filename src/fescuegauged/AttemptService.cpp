#include "AttemptService.h"

#include "Fescuegauge/Log.h"

#include <boost/asio/post.hpp>

namespace fescuegauge {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// A longer gap between two ticks is treated as a pause of this process.
constexpr Duration PauseThreshold = std::chrono::milliseconds(300);

/// Placeholder for the version of a plain service, which has none. With it, the same rule decides
/// for engines and plain services whether an upstream accepts work.
Digest plainServiceDigest() { return sha256("plain service"); }

} // namespace

AttemptService::AttemptService(const Settings &Configured, Incarnation OwnIncarnation,
                               EventLoop &Loop)
    : Service("attempts"), m_Settings(Configured), m_OwnIncarnation(OwnIncarnation), m_Loop(Loop),
      m_Engine(Configured.m_Agent.m_Engine, Configured.m_Agent.m_Kind == UpstreamKind::Plain,
               Configured.m_Limits.m_MaxAnswer),
      m_Ledger(OwnIncarnation), m_Threads(Configured.m_Agent.m_Capacity) {}

AttemptService::~AttemptService() = default;

void AttemptService::start(Kernel &Services) {
  m_Membership = &Services.find<MembershipService>("membership");
  auto &Rpc = Services.find<RpcService>("rpc");
  m_Rpc = &Rpc;
  m_Loop.postAndWait([this, &Rpc] {
    Rpc.m_RunAttemptHandler = [this](const PeerIdentity &From, AttemptRequest Request,
                                     std::shared_ptr<AttemptSink> Sink) {
      admit(From, std::move(Request), std::move(Sink));
    };
    Rpc.m_CancelAttemptHandler = [this](const AttemptId &Id) { cancel(Id); };
    Rpc.m_HeartbeatReportProvider = [this](const PeerIdentity &From) {
      // Reopens a source that was closed because of a gap during which the connection stayed open.
      m_Ledger.openSource(AttemptSourceId(From.m_AttemptSource), From.m_NextAttempt,
                          EventLoop::now());
      if (m_IsDraining)
        ++m_DrainReportCounts[From.m_Instance];
      return encodeReport();
    };
    Rpc.setTopicHandler(Topic::Attempts, [this](const PeerIdentity &, const std::string &Id,
                                                const ReplyCallback &Reply) {
      AttemptStatementReply Answer;
      Answer.m_Statement = m_Ledger.state(AttemptId(Id));
      auto Retained = m_RetainedAnswers.find(AttemptId(Id));
      if (Retained != m_RetainedAnswers.end())
        Answer.m_Answer = Retained->second;
      Reply(encodePayload(Answer));
    });
  });
  m_Loop.every(TickInterval, [this] {
    TimePoint Now = EventLoop::now();
    if (Now - m_LastTickAt > PauseThreshold)
      m_Ledger.recordPause(Now);
    m_LastTickAt = Now;
    for (const AttemptId &Abandoned : m_Ledger.onTimer(Now))
      cancel(Abandoned);
    if (!m_IsStatusQueryPending && Now >= m_StatusReceivedAt + EngineStatusInterval)
      queryEngineStatus();
  });
}

void AttemptService::beginDrain() {
  m_Loop.postAndWait([this] { m_IsDraining = true; });
}

bool AttemptService::isDrained() const {
  bool Idle = false;
  m_Loop.postAndWait([&] { Idle = isIdle() && isDrainKnownToEntries(); });
  return Idle;
}

/// A heartbeat shows that the entry instance has processed the answer to its previous one. Until
/// then it may dispatch attempts, which must be refused rather than lost with the connection.
bool AttemptService::isDrainKnownToEntries() const {
  constexpr int ReportsNeeded = 2;
  for (const InstanceId &Entry : m_Rpc->node().monitoringPeers()) {
    auto Sent = m_DrainReportCounts.find(Entry);
    if (Sent == m_DrainReportCounts.end() || Sent->second < ReportsNeeded)
      return false;
  }
  return true;
}

void AttemptService::stop() {
  m_Loop.postAndWait([this] {
    for (auto &[Id, Interrupted] : m_Running) {
      logEvent(Severity::Warning, "attempt_interrupted", {{"attempt", Id}});
      *Interrupted->m_Cancelled = true;
    }
  });
  m_Threads.join();
}

std::string AttemptService::notReadyReason() const {
  std::string Reason;
  m_Loop.postAndWait([&] {
    if (m_IsDraining)
      Reason = "draining";
    else if (!m_IsEngineAlive)
      Reason = "the engine does not answer";
    else if (m_RoutableRoot.isZero())
      Reason = "the engine serves no complete model version";
  });
  return Reason;
}

void AttemptService::setRoutableRoot(const Digest &Root) {
  m_RoutableRoot = Root;
  m_Membership->updateSelf([&](InstanceRecord &Record) { Record.m_ServedDigest = Root; });
}

std::optional<ErrorKind> AttemptService::admissionError(const AttemptRequest &Request) const {
  if (m_IsDraining)
    return ErrorKind::Draining;
  if (!m_IsEngineAlive || m_RoutableRoot.isZero())
    return ErrorKind::NotReady;
  if (Request.m_Service != m_Settings.m_Agent.m_Service)
    return ErrorKind::UnknownService;
  if (!Request.m_Generation.empty() && Request.m_Generation != m_Settings.m_Agent.m_Generation)
    return ErrorKind::NotReady;
  if (!Request.m_RequiredDigest.isZero() && Request.m_RequiredDigest != m_RoutableRoot)
    return ErrorKind::NotReady;
  if (m_Queued.size() >= MaxQueuedPerCapacity * m_Settings.m_Agent.m_Capacity)
    return ErrorKind::Overloaded;
  return std::nullopt;
}

void AttemptService::admit(const PeerIdentity &From, AttemptRequest Request,
                           std::shared_ptr<AttemptSink> Sink) {
  auto Incoming = std::make_shared<Attempt>();
  Incoming->m_Request = std::move(Request);
  Incoming->m_Sink = std::move(Sink);
  const AttemptId &Id = Incoming->m_Request.m_Attempt;
  auto Decision = m_Ledger.arrive(Id, admissionError(Incoming->m_Request), EventLoop::now());
  if (Decision.m_Verdict == AttemptLedger::Verdict::Refuse) {
    ++m_RefusedCount;
    return finish(Incoming, AttemptStatus::Refused, WasRun::No, {}, Decision.m_Reason);
  }
  if (Decision.m_Verdict == AttemptLedger::Verdict::Duplicate)
    return logEvent(Severity::Info, "attempt_duplicate",
                    {{"attempt", Id}, {"peer", From.m_Instance}});
  m_Queued.push_back(std::move(Incoming));
  startQueued();
}

void AttemptService::startQueued() {
  while (!m_Queued.empty() && m_Running.size() < m_Settings.m_Agent.m_Capacity) {
    auto Next = std::move(m_Queued.front());
    m_Queued.pop_front();
    if (m_Ledger.start(Next->m_Request.m_Attempt))
      startRun(std::move(Next));
  }
}

void AttemptService::startRun(std::shared_ptr<Attempt> Started) {
  m_Running[Started->m_Request.m_Attempt] = Started;
  boost::asio::post(m_Threads, [this, Started] {
    auto OnFragment = [this, &Started](std::uint64_t Offset, std::string Data,
                                       const Digest &ServedRoot) {
      m_Loop.post([Started, Offset, Data = std::move(Data), ServedRoot]() mutable {
        ++Started->m_FragmentCount;
        if (Started->m_Request.m_NonIdempotent)
          Started->m_Answer += Data;
        Started->m_Sink->onFragment(
            {Started->m_Request.m_Attempt, Offset, std::move(Data), ServedRoot});
      });
    };
    EngineRunResult Result = m_Engine.run(Started->m_Request, OnFragment, *Started->m_Cancelled);
    m_Loop.post([this, Started, Result] { onRunEnded(Started, Result); });
  });
}

void AttemptService::onRunEnded(const std::shared_ptr<Attempt> &Ended,
                                const EngineRunResult &Result) {
  const AttemptId &Id = Ended->m_Request.m_Attempt;
  if (m_Running.erase(Id) == 0)
    return;
  switch (Result.m_Status) {
  case EngineRunResult::Status::Complete:
    ++m_CompletedCount;
    m_Ledger.end(Id, true);
    retainAnswer(*Ended);
    finish(Ended, AttemptStatus::Complete, WasRun::Yes, Result);
    break;
  case EngineRunResult::Status::NotSent:
    queryEngineStatus();
    [[fallthrough]];
  case EngineRunResult::Status::Refused:
    m_Ledger.end(Id, false);
    finish(Ended, AttemptStatus::Refused, WasRun::No, Result);
    break;
  case EngineRunResult::Status::Failed:
    if (*Ended->m_Cancelled) {
      finish(Ended, AttemptStatus::Cancelled, WasRun::Unknown, Result);
      break;
    }
    // Entry instances treat running requests as crash suspects only if the engine was lost, so the
    // engine's state is queried before the end is reported.
    m_Running[Id] = Ended;
    boost::asio::post(m_Threads, [this, Ended, Result] {
      auto Status = m_Engine.status();
      m_Loop.post([this, Ended, Result, Status] {
        onEngineStatus(Status);
        if (m_Running.erase(Ended->m_Request.m_Attempt) == 0)
          return;
        m_Ledger.end(Ended->m_Request.m_Attempt, false);
        finish(Ended, AttemptStatus::Failed, WasRun::Unknown, Result);
        startQueued();
      });
    });
    return;
  }
  startQueued();
}

void AttemptService::finish(const std::shared_ptr<Attempt> &Ended, AttemptStatus Status, WasRun Run,
                            const EngineRunResult &Result, ErrorKind Error) {
  AttemptEnd End;
  End.m_Status = Status;
  End.m_WasRun = Run;
  End.m_Reason = Result.m_Reason;
  End.m_TotalBytes = Result.m_TotalBytes;
  End.m_ServedDigest = Result.m_ServedRoot;
  if (Status == AttemptStatus::EngineLost)
    End.m_Loss = m_Losses.back();
  End.m_AgentIncarnation = m_OwnIncarnation;
  End.m_Error = Error;
  Ended->m_Sink->onEnd(Ended->m_Request.m_Attempt, End);
}

void AttemptService::retainAnswer(const Attempt &Completed) {
  if (!Completed.m_Request.m_NonIdempotent ||
      Completed.m_Answer.size() > RecordedAnswer::MaxBodyBytes)
    return;
  RecordedAnswer Answer;
  Answer.m_ContentType = "text/plain";
  Answer.m_Body = Completed.m_Answer;
  m_RetainedAnswers[Completed.m_Request.m_Attempt] = std::move(Answer);
  m_RetentionOrder.push_back(Completed.m_Request.m_Attempt);
  if (m_RetentionOrder.size() > MaxRetainedAnswers) {
    m_RetainedAnswers.erase(m_RetentionOrder.front());
    m_RetentionOrder.pop_front();
  }
}

void AttemptService::cancel(const AttemptId &Id) {
  m_Ledger.cancel(Id);
  std::erase_if(m_Queued, [&](const auto &Entry) { return Entry->m_Request.m_Attempt == Id; });
  auto Found = m_Running.find(Id);
  if (Found == m_Running.end())
    return;
  *Found->second->m_Cancelled = true;
  m_Loop.runBlocking([this, Id] { m_Engine.cancel(Id); }, [] {});
}

void AttemptService::queryEngineStatus() {
  m_IsStatusQueryPending = true;
  auto Answer = std::make_shared<std::optional<EngineStatus>>();
  m_Loop.runBlocking([this, Answer] { *Answer = m_Engine.status(); },
                     [this, Answer] {
                       m_IsStatusQueryPending = false;
                       onEngineStatus(*Answer);
                     });
}

void AttemptService::onEngineStatus(const std::optional<EngineStatus> &Status) {
  m_StatusReceivedAt = EventLoop::now();
  m_Status = Status;
  if (Status.has_value() == m_IsEngineAlive)
    return;
  m_IsEngineAlive = Status.has_value();
  logEvent(Severity::Warning, m_IsEngineAlive ? "engine_reached" : "engine_lost");
  if (m_IsEngineAlive)
    m_EngineIncarnation = m_EngineIncarnation.next();
  else
    onEngineLost();
  if (m_Settings.m_Agent.m_Kind == UpstreamKind::Plain)
    setRoutableRoot(m_IsEngineAlive ? plainServiceDigest() : Digest());
}

void AttemptService::onEngineLost() {
  EngineLoss Loss;
  Loss.m_EngineIncarnation = m_EngineIncarnation;
  for (const auto &[Id, Running] : m_Running)
    if (Running->m_FragmentCount < CrashSuspects::EventsToBegin)
      Loss.m_Unstarted.push_back(Running->m_Request.m_Suspect);
  m_Losses.push_back(std::move(Loss));
  if (m_Losses.size() > MaxReportedLosses)
    m_Losses.erase(m_Losses.begin());
  m_LastLossAt = EventLoop::now();
  for (const AttemptStatement &Statement : m_Ledger.engineLost()) {
    auto Found = m_Running.find(Statement.m_Attempt);
    std::shared_ptr<Attempt> Lost;
    if (Found != m_Running.end()) {
      Lost = Found->second;
      m_Running.erase(Found);
    } else {
      auto Queued = std::find_if(m_Queued.begin(), m_Queued.end(), [&](const auto &Entry) {
        return Entry->m_Request.m_Attempt == Statement.m_Attempt;
      });
      if (Queued == m_Queued.end())
        continue;
      Lost = *Queued;
      m_Queued.erase(Queued);
    }
    if (Statement.isNotRun())
      finish(Lost, AttemptStatus::Refused, WasRun::No, {});
    else
      finish(Lost, AttemptStatus::EngineLost, WasRun::Unknown, {});
  }
}

std::string AttemptService::encodeReport() const {
  AgentReport Report;
  Report.m_Incarnation = m_Membership->view().self().m_Incarnation;
  Report.m_IsLeaving = m_IsDraining;
  Report.m_ServedDigest = m_IsEngineAlive ? m_RoutableRoot : Digest();
  Report.m_Capacity = m_Settings.m_Agent.m_Capacity;
  if (m_Status) {
    Report.m_Running = m_Status->m_Running + static_cast<std::uint32_t>(m_Queued.size());
    Report.m_Age = m_Status->m_ReportAge + (EventLoop::now() - m_StatusReceivedAt);
  }
  if (EventLoop::now() - m_LastLossAt < LossReportPeriod)
    Report.m_Losses = m_Losses;
  return encodePayload(Report);
}

boost::json::object AttemptService::dumpState() const {
  boost::json::object State;
  m_Loop.postAndWait([&] {
    State["running"] = m_Running.size();
    State["waiting"] = m_Queued.size();
    State["completed"] = m_CompletedCount;
    State["refused"] = m_RefusedCount;
    State["duplicates"] = m_Ledger.duplicates();
    State["lateCopiesRefused"] = m_Ledger.lateCopiesRefused();
    State["sources"] = m_Ledger.sourceCount();
    State["engineAlive"] = m_IsEngineAlive;
    State["engineIncarnation"] = m_EngineIncarnation.value();
    State["routable"] = m_RoutableRoot.hex();
    State["engineChecksFencingTokens"] = m_Settings.m_Agent.m_ChecksFencingTokens;
    State["draining"] = m_IsDraining;
  });
  return State;
}

} // namespace fescuegauge
