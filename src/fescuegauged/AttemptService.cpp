#include "AttemptService.h"

#include "Fescuegauge/Log.h"

#include <boost/asio/post.hpp>

namespace fescuegauge {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);

/// Stands for the version of a plain service, which has none, so that one rule decides which
/// upstreams take work.
Digest plainServiceDigest() { return sha256("plain service"); }

} // namespace

AttemptService::AttemptService(const Settings &Configured, Incarnation Started, EventLoop &Loop)
    : Service("attempts"), m_Settings(Configured), m_Started(Started), m_Loop(Loop),
      m_Engine(Configured.m_Agent.m_Engine, Configured.m_Agent.m_Kind == UpstreamKind::Plain,
               Configured.m_Limits.m_MaxAnswer),
      m_Ledger(Started), m_Threads(Configured.m_Agent.m_Capacity) {}

AttemptService::~AttemptService() = default;

void AttemptService::start(Kernel &Services) {
  m_Membership = &Services.find<MembershipService>("membership");
  auto &Rpc = Services.find<RpcService>("rpc");
  m_Rpc = &Rpc;
  m_Loop.postAndWait([this, &Rpc] {
    Rpc.m_RunAttempt = [this](const PeerIdentity &From, AttemptRequest Request,
                              std::shared_ptr<AttemptSink> Sink) {
      run(From, std::move(Request), std::move(Sink));
    };
    Rpc.m_CancelAttempt = [this](const AttemptId &Id) { cancel(Id); };
    Rpc.m_Heartbeat = [this](const PeerIdentity &From) {
      // Opens the source again if it was closed for a gap that did not break the connection.
      m_Ledger.openSource(AttemptSourceId(From.m_AttemptSource), From.m_NextAttempt,
                          EventLoop::now());
      if (m_Draining)
        ++m_LeavingReports[From.m_Instance];
      return report();
    };
    Rpc.onTopic(Topic::Attempts,
                [this](const PeerIdentity &, const std::string &Id, const ControlReply &Reply) {
                  AttemptStatementReply Answer;
                  Answer.m_Statement = m_Ledger.state(AttemptId(Id));
                  auto Kept = m_KeptAnswers.find(AttemptId(Id));
                  if (Kept != m_KeptAnswers.end())
                    Answer.m_Answer = Kept->second;
                  Reply(encodePayload(Answer));
                });
  });
  m_Loop.every(TickInterval, [this] {
    TimePoint Now = EventLoop::now();
    for (const AttemptId &Abandoned : m_Ledger.onTimer(Now))
      cancel(Abandoned);
    if (!m_CheckUnderWay && Now >= m_StatusAt + StatusInterval)
      checkEngine();
  });
}

void AttemptService::beginDrain() {
  m_Loop.postAndWait([this] { m_Draining = true; });
}

bool AttemptService::isDrained() const {
  bool Idle = false;
  m_Loop.postAndWait([&] { Idle = isIdle() && isLeaveKnown(); });
  return Idle;
}

/// An entry instance that sends a heartbeat has taken in the answer to the one before. Until then
/// it may dispatch attempts, which must be refused rather than lost with the connection.
bool AttemptService::isLeaveKnown() const {
  constexpr int ReportsNeeded = 2;
  for (const InstanceId &Entry : m_Rpc->node().monitoringPeers()) {
    auto Sent = m_LeavingReports.find(Entry);
    if (Sent == m_LeavingReports.end() || Sent->second < ReportsNeeded)
      return false;
  }
  return true;
}

void AttemptService::stop() {
  m_Loop.postAndWait([this] {
    for (auto &[Id, Cut] : m_Running) {
      logEvent(Severity::Warning, "attempt_interrupted", {{"attempt", Id}});
      *Cut->m_Cancelled = true;
    }
  });
  m_Threads.join();
}

std::string AttemptService::notReadyReason() const {
  std::string Reason;
  m_Loop.postAndWait([&] {
    if (m_Draining)
      Reason = "draining";
    else if (!m_EngineAlive)
      Reason = "the engine does not answer";
    else if (m_Routable.isZero())
      Reason = "the engine serves no complete model version";
  });
  return Reason;
}

void AttemptService::setRoutable(const Digest &Root) {
  m_Routable = Root;
  m_Membership->updateSelf([&](InstanceRecord &Record) { Record.m_ServedDigest = Root; });
}

std::optional<ErrorKind> AttemptService::refusalFor(const AttemptRequest &Request) const {
  if (m_Draining)
    return ErrorKind::Draining;
  if (!m_EngineAlive || m_Routable.isZero())
    return ErrorKind::NotReady;
  if (Request.m_Service != m_Settings.m_Agent.m_Service)
    return ErrorKind::UnknownService;
  if (!Request.m_Generation.empty() && Request.m_Generation != m_Settings.m_Agent.m_Generation)
    return ErrorKind::NotReady;
  if (!Request.m_RequiredDigest.isZero() && Request.m_RequiredDigest != m_Routable)
    return ErrorKind::NotReady;
  if (m_Waiting.size() >= MaxWaitingPerPlace * m_Settings.m_Agent.m_Capacity)
    return ErrorKind::Overloaded;
  return std::nullopt;
}

void AttemptService::run(const PeerIdentity &From, AttemptRequest Request,
                         std::shared_ptr<AttemptSink> Sink) {
  auto Arrived = std::make_shared<Attempt>();
  Arrived->m_Request = std::move(Request);
  Arrived->m_Sink = std::move(Sink);
  const AttemptId &Id = Arrived->m_Request.m_Attempt;
  auto Decision = m_Ledger.arrive(Id, refusalFor(Arrived->m_Request), EventLoop::now());
  if (Decision.m_Verdict == AttemptLedger::Verdict::Refuse) {
    ++m_Refused;
    return end(Arrived, AttemptStatus::Refused, WasRun::No, {}, Decision.m_Reason);
  }
  if (Decision.m_Verdict == AttemptLedger::Verdict::Duplicate)
    return logEvent(Severity::Info, "attempt_duplicate",
                    {{"attempt", Id}, {"peer", From.m_Instance}});
  m_Waiting.push_back(std::move(Arrived));
  startWaiting();
}

void AttemptService::startWaiting() {
  while (!m_Waiting.empty() && m_Running.size() < m_Settings.m_Agent.m_Capacity) {
    auto Next = std::move(m_Waiting.front());
    m_Waiting.pop_front();
    if (m_Ledger.start(Next->m_Request.m_Attempt))
      begin(std::move(Next));
  }
}

void AttemptService::begin(std::shared_ptr<Attempt> Started) {
  m_Running[Started->m_Request.m_Attempt] = Started;
  boost::asio::post(m_Threads, [this, Started] {
    auto OnFragment = [this, &Started](std::uint64_t Offset, std::string Data,
                                       const Digest &ServedRoot) {
      m_Loop.post([Started, Offset, Data = std::move(Data), ServedRoot]() mutable {
        if (Started->m_Request.m_NonIdempotent)
          Started->m_Answer += Data;
        Started->m_Sink->onFragment(
            {Started->m_Request.m_Attempt, Offset, std::move(Data), ServedRoot});
      });
    };
    EngineRunResult Result = m_Engine.run(Started->m_Request, OnFragment, *Started->m_Cancelled);
    m_Loop.post([this, Started, Result] { ended(Started, Result); });
  });
}

void AttemptService::ended(const std::shared_ptr<Attempt> &Ended, const EngineRunResult &Result) {
  const AttemptId &Id = Ended->m_Request.m_Attempt;
  if (m_Running.erase(Id) == 0)
    return;
  switch (Result.m_Status) {
  case EngineRunResult::Status::Complete:
    ++m_Completed;
    m_Ledger.end(Id, true);
    keepAnswer(*Ended);
    end(Ended, AttemptStatus::Complete, WasRun::Yes, Result);
    break;
  case EngineRunResult::Status::NotSent:
    checkEngine();
    [[fallthrough]];
  case EngineRunResult::Status::Refused:
    m_Ledger.end(Id, false);
    end(Ended, AttemptStatus::Refused, WasRun::No, Result);
    break;
  case EngineRunResult::Status::Broken:
    if (*Ended->m_Cancelled) {
      end(Ended, AttemptStatus::Cancelled, WasRun::Unknown, Result);
      break;
    }
    // Whether the engine is gone decides whom the entry instances blame, so it is asked first.
    m_Running[Id] = Ended;
    boost::asio::post(m_Threads, [this, Ended, Result] {
      auto Status = m_Engine.status();
      m_Loop.post([this, Ended, Result, Status] {
        engineChecked(Status);
        if (m_Running.erase(Ended->m_Request.m_Attempt) == 0)
          return;
        m_Ledger.end(Ended->m_Request.m_Attempt, false);
        end(Ended, AttemptStatus::Failed, WasRun::Unknown, Result);
        startWaiting();
      });
    });
    return;
  }
  startWaiting();
}

void AttemptService::end(const std::shared_ptr<Attempt> &Ended, AttemptStatus Status, WasRun Run,
                         const EngineRunResult &Result, ErrorKind Error) {
  AttemptEnd End;
  End.m_Status = Status;
  End.m_WasRun = Run;
  End.m_Reason = Result.m_Reason;
  End.m_TotalBytes = Result.m_TotalBytes;
  End.m_ServedDigest = Result.m_ServedRoot;
  if (Status == AttemptStatus::EngineLost)
    End.m_Loss = m_Losses.back();
  End.m_AgentIncarnation = m_Started;
  End.m_Error = Error;
  Ended->m_Sink->onEnd(Ended->m_Request.m_Attempt, End);
}

void AttemptService::keepAnswer(const Attempt &Completed) {
  if (!Completed.m_Request.m_NonIdempotent ||
      Completed.m_Answer.size() > RecordedAnswer::MaxBodyBytes)
    return;
  RecordedAnswer Answer;
  Answer.m_ContentType = "text/plain";
  Answer.m_Body = Completed.m_Answer;
  m_KeptAnswers[Completed.m_Request.m_Attempt] = std::move(Answer);
  m_KeptOrder.push_back(Completed.m_Request.m_Attempt);
  if (m_KeptOrder.size() > MaxKeptAnswers) {
    m_KeptAnswers.erase(m_KeptOrder.front());
    m_KeptOrder.pop_front();
  }
}

void AttemptService::cancel(const AttemptId &Id) {
  m_Ledger.cancel(Id);
  std::erase_if(m_Waiting, [&](const auto &Entry) { return Entry->m_Request.m_Attempt == Id; });
  auto Found = m_Running.find(Id);
  if (Found == m_Running.end())
    return;
  *Found->second->m_Cancelled = true;
  m_Loop.runBlocking([this, Id] { m_Engine.cancel(Id); }, [] {});
}

void AttemptService::checkEngine() {
  m_CheckUnderWay = true;
  auto Answer = std::make_shared<std::optional<EngineStatus>>();
  m_Loop.runBlocking([this, Answer] { *Answer = m_Engine.status(); },
                     [this, Answer] {
                       m_CheckUnderWay = false;
                       engineChecked(*Answer);
                     });
}

void AttemptService::engineChecked(const std::optional<EngineStatus> &Status) {
  m_StatusAt = EventLoop::now();
  m_Status = Status;
  if (Status.has_value() == m_EngineAlive)
    return;
  m_EngineAlive = Status.has_value();
  logEvent(Severity::Warning, m_EngineAlive ? "engine_reached" : "engine_lost");
  if (m_EngineAlive)
    m_EngineIncarnation = m_EngineIncarnation.next();
  else
    engineLost();
  if (m_Settings.m_Agent.m_Kind == UpstreamKind::Plain)
    setRoutable(m_EngineAlive ? plainServiceDigest() : Digest());
}

void AttemptService::engineLost() {
  EngineLoss Loss;
  Loss.m_EngineIncarnation = m_EngineIncarnation;
  for (const auto &[Id, Running] : m_Running)
    Loss.m_Running.push_back({Running->m_Request.m_Account, Running->m_Request.m_BodyDigest});
  m_Losses.push_back(std::move(Loss));
  if (m_Losses.size() > MaxLosses)
    m_Losses.erase(m_Losses.begin());
  m_LastLoss = EventLoop::now();
  for (const AttemptStatement &Statement : m_Ledger.engineLost()) {
    auto Found = m_Running.find(Statement.m_Attempt);
    std::shared_ptr<Attempt> Lost;
    if (Found != m_Running.end()) {
      Lost = Found->second;
      m_Running.erase(Found);
    } else {
      auto Waiting = std::find_if(m_Waiting.begin(), m_Waiting.end(), [&](const auto &Entry) {
        return Entry->m_Request.m_Attempt == Statement.m_Attempt;
      });
      if (Waiting == m_Waiting.end())
        continue;
      Lost = *Waiting;
      m_Waiting.erase(Waiting);
    }
    if (Statement.isNotRun())
      end(Lost, AttemptStatus::Refused, WasRun::No, {});
    else
      end(Lost, AttemptStatus::EngineLost, WasRun::Unknown, {});
  }
}

std::string AttemptService::report() const {
  AgentReport Report;
  Report.m_Incarnation = m_Membership->view().self().m_Incarnation;
  Report.m_IsLeaving = m_Draining;
  Report.m_ServedDigest = m_EngineAlive ? m_Routable : Digest();
  Report.m_Capacity = m_Settings.m_Agent.m_Capacity;
  if (m_Status) {
    Report.m_Running = m_Status->m_Running + static_cast<std::uint32_t>(m_Waiting.size());
    Report.m_Age = m_Status->m_ReportAge + (EventLoop::now() - m_StatusAt);
  }
  if (EventLoop::now() - m_LastLoss < LossRepeatTime)
    Report.m_Losses = m_Losses;
  return encodePayload(Report);
}

boost::json::object AttemptService::dumpState() const {
  boost::json::object State;
  m_Loop.postAndWait([&] {
    State["running"] = m_Running.size();
    State["waiting"] = m_Waiting.size();
    State["completed"] = m_Completed;
    State["refused"] = m_Refused;
    State["duplicates"] = m_Ledger.duplicates();
    State["lateCopiesRefused"] = m_Ledger.lateCopiesRefused();
    State["sources"] = m_Ledger.sourceCount();
    State["engineAlive"] = m_EngineAlive;
    State["engineIncarnation"] = m_EngineIncarnation.value();
    State["routable"] = m_Routable.hex();
    State["engineChecksFencingTokens"] = m_Settings.m_Agent.m_ChecksFencingTokens;
    State["draining"] = m_Draining;
  });
  return State;
}

} // namespace fescuegauge
