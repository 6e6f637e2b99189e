#ifndef FESCUEGAUGE_LIBGATEWAY_PAUSECHECKS_H
#define FESCUEGAUGE_LIBGATEWAY_PAUSECHECKS_H

#include "Fescuegauge/ArrivalWatch.h"
#include "PausingUpstream.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <memory>
#include <sstream>

namespace fescuegauge::test {

using namespace std::chrono_literals;

enum class RequestKind { Stream, Safe, Once };
inline constexpr std::array<const char *, 3> RequestKindNames = {"stream", "safe", "once"};
inline constexpr std::array<const char *, 6> RunKindNames = {
    "sound", "rejection", "break", "failure", "no-events", "other-version"};
inline constexpr std::array<const char *, 5> PhaseNames = {
    "before-header", "after-header", "between-events", "within-event", "before-end"};

template <typename Names, typename Enum> std::string nameOf(const Names &Of, Enum Value) {
  return Of.at(static_cast<std::size_t>(Value));
}

/// How the end of a response is marked.
enum class Framing { Chunked, Length, Unframed };

/// Number of upstreams that may run one request.
constexpr std::size_t maxRuns(RequestKind Kind) { return Kind == RequestKind::Once ? 1 : 2; }

/// One request of a client, and what the client received.
struct ClientCall {
  std::string m_Id;
  RequestKind m_Kind = RequestKind::Stream;
  std::size_t m_Account = 0;
  Duration m_Start{0};
  Duration m_Allowed{0};
  /// The client closes its connection this long after sending.
  std::optional<Duration> m_LeaveAfter;
  int m_Events = 0;
  Duration m_EventGap{0};
  Framing m_Framing = Framing::Chunked;
  /// The prefix of the path is the one that routes get when they are moved.
  bool m_IsToMovedRoute = false;
  bool m_NamesModel = false;
  /// The header is larger than a plan with low limits allows.
  bool m_HasLargeHeader = false;
  /// Time between the header and the body.
  Duration m_BodyDelay{0};
  /// The request follows another one on the same connection, which is idle for this long between
  /// them.
  std::optional<Duration> m_IdleTime;
  /// A sound run ends its response shortly before the deadline.
  bool m_EndsAtDeadline = false;

  TimePoint m_SentAt;
  TimePoint m_BodySentAt;
  /// When the earlier request on the same connection ended; nothing on a new connection.
  std::optional<TimePoint> m_IdleSince;
  std::optional<TimePoint> m_LeftAt;
  std::optional<TimePoint> m_EndedAt;
  RawResponse m_Response;
  bool m_IsDone = false;
  /// In the order of their arrival.
  std::vector<UpstreamRun *> m_Runs;

  std::string path() const {
    return (m_IsToMovedRoute ? MovedPrefix : "/") + nameOf(RequestKindNames, m_Kind) + "/x";
  }
  std::string key() const { return "key-" + std::to_string(m_Account); }

  /// The request without its body.
  std::string header() const {
    return "POST " + path() + " HTTP/1.1\r\nHost: host.example\r\nRequest-Id: " + m_Id +
           "\r\nAccount-Key: " + key() + (m_NamesModel ? "\r\nModel: model" : "") +
           (m_HasLargeHeader ? "\r\nPadding: " + std::string(std::size_t{2} * LowHeaderLimit, 'x')
                             : "") +
           "\r\nDeadline-Ms: " +
           std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(m_Allowed).count()) +
           "\r\nContent-Length: 4\r\n\r\n";
  }
  std::string bytes() const { return header() + Body; }

  /// Above the size of other headers, with or without their request line.
  static constexpr std::uint32_t LowHeaderLimit = 256;
  static constexpr const char *Body = "body";
  static constexpr const char *MovedPrefix = "/moved/";
};

/// A plan and the time in which requests can have been received under it.
struct PlanInForce {
  std::shared_ptr<const RouteTable> m_Plan;
  TimePoint m_From;
  TimePoint m_Until = TimePoint::max();
};

/// The text that one run of a request sends as an event. It differs between runs.
inline std::string eventText(const UpstreamRun &Run, std::size_t RunNumber, int Event) {
  return "id: " + std::to_string(Event) + "\ndata: " + Run.m_RequestId + " run-" +
         std::to_string(RunNumber) + " version-" + std::to_string(Run.m_WeightsVersion) + "\n\n";
}

/// The body of a plain response.
inline std::string plainBody(const UpstreamRun &Run, std::size_t RunNumber) {
  return eventText(Run, RunNumber, 0) + std::string(200, 'x');
}

/// Pauses longer than this may make the gateway ask another upstream.
inline constexpr Duration StallTime = 900ms;

/// Counts the checks and the faults of all seeds, and collects the violations.
class Findings {
public:
  /// Every name must be counted at least once over all seeds.
  void expect(const std::string &Name) { m_Counts[Name]; }
  void count(const std::string &Name) { ++m_Counts[Name]; }
  void check(const std::string &Name, bool Holds, const std::string &Detail) {
    count("check." + Name);
    if (!Holds)
      m_Violations.push_back(Name + ": " + Detail);
  }

  const std::vector<std::string> &violations() const { return m_Violations; }
  std::vector<std::string> missing() const {
    std::vector<std::string> Result;
    for (const auto &[Name, Count] : m_Counts)
      if (Count == 0)
        Result.push_back(Name);
    return Result;
  }
  std::string summary() const {
    std::ostringstream Text;
    for (const auto &[Name, Count] : m_Counts)
      Text << Name << '=' << Count << ' ';
    return Text.str();
  }

private:
  std::map<std::string, std::size_t> m_Counts;
  std::vector<std::string> m_Violations;
};

/// Bounds that apply to all requests of a scenario.
struct ScenarioBounds {
  /// When a draining gateway ends its requests.
  TimePoint m_Cutoff = TimePoint::max();
  /// When it begins to close idle connections.
  TimePoint m_IdleCloseFrom = TimePoint::max();
  /// In the order in which they came into force.
  std::vector<PlanInForce> m_Plans;
  /// The longest time in which the test did not handle events, of the gateway or of others.
  Duration m_LongestDelay{0};
};

/// Checks on one request after the end of its scenario.
class CallChecker {
public:
  CallChecker(const ClientCall &Call, const ScenarioBounds &Bounds, std::uint64_t Seed,
              Findings &Result)
      : m_Call(Call), m_Bounds(Bounds), m_Seed(Seed), m_Result(Result) {}

  void checkAll() {
    findArrivalPlans();
    readEvents();
    checkPlan();
    checkInTime();
    checkAnswered();
    checkNotLost();
    checkRuns();
    checkNotRunStatus();
    if (m_Call.m_Response.status() == 200) {
      if (m_Call.m_Kind == RequestKind::Stream)
        checkStream();
      else
        checkPlain();
    }
    checkClosed();
  }

private:
  /// An event that the client received, and the run that sent it.
  struct ReceivedEvent {
    int m_Id = 0;
    std::size_t m_Run = 0;
  };

  /// Allows for a response that takes some time to be forwarded, and for a check of the upstream
  /// at the end of an unframed one.
  static constexpr Duration DeadlineMargin = 300ms;
  /// Time after the end of a request at which no upstream may still have an open connection for it.
  static constexpr Duration MaxCloseTime = 500ms;
  /// The gateway may decide before it has read an event that was sent this recently.
  static constexpr Duration TransitTime = 20ms;

  bool isWhole() const {
    return m_Call.m_Response.status() == 200 && m_Call.m_Response.isComplete();
  }
  void check(const std::string &Name, bool Holds, const std::string &Detail = "") {
    m_Result.check(Name, Holds, Holds ? "" : Detail + describe());
  }

  std::string describe() const {
    std::ostringstream Text;
    const auto Seconds = [&](TimePoint At) {
      return std::chrono::duration<double>(At - m_Call.m_SentAt).count();
    };
    Text << " [seed " << m_Seed << ", " << m_Call.m_Id << " "
         << nameOf(RequestKindNames, m_Call.m_Kind) << " of " << m_Call.m_Events
         << " events, allowed " << std::chrono::duration<double>(m_Call.m_Allowed).count()
         << " s, status " << m_Call.m_Response.status() << ", "
         << (m_Call.m_Response.isComplete() ? "whole" : "cut") << " with " << m_Events.size()
         << " events, body after "
         << std::chrono::duration<double>(m_Call.m_BodySentAt - m_Call.m_SentAt).count()
         << " s, allowed by its plans " << std::chrono::duration<double>(m_LeastAllowed).count()
         << " to " << std::chrono::duration<double>(m_MostAllowed).count() << " s";
    if (const std::string Error = refusal(); !Error.empty())
      Text << ", refused as " << Error;
    for (const PlanInForce *Each : m_ArrivalPlans)
      Text << ", plan " << Each->m_Plan->version().value();
    if (m_Call.m_IdleSince)
      Text << ", idle since " << Seconds(*m_Call.m_IdleSince);
    if (m_Call.m_EndedAt)
      Text << " at " << Seconds(*m_Call.m_EndedAt);
    if (m_Call.m_LeftAt)
      Text << ", client left at " << Seconds(*m_Call.m_LeftAt);
    for (const UpstreamRun *Run : m_Call.m_Runs) {
      Text << "; " << Run->m_Upstream.str() << " " << nameOf(RunKindNames, Run->m_Kind) << " from "
           << Seconds(Run->m_ArrivedAt) << " after event " << Run->m_ResumedAfter << ", sent "
           << Run->m_EventTimes.size() << ", paused "
           << std::chrono::duration<double>(Run->m_PausedTime).count();
      if (Run->m_AbandonedAt)
        Text << ", closed at " << Seconds(*Run->m_AbandonedAt);
      if (Run->m_EndedAt)
        Text << ", end at " << Seconds(*Run->m_EndedAt);
    }
    Text << "; events were not handled for up to "
         << std::chrono::duration<double>(m_Bounds.m_LongestDelay).count() << " s]";
    return Text.str();
  }

  /// The name of the gateway's own error, or nothing.
  std::string refusal() const {
    static const std::string Begin = "{\"error\":\"";
    const std::string &Bytes = m_Call.m_Response.m_Bytes;
    const std::size_t At = Bytes.find(Begin);
    if (At == std::string::npos)
      return "";
    const std::size_t NameAt = At + Begin.size();
    return Bytes.substr(NameAt, Bytes.find('"', NameAt) - NameAt);
  }

  const Route *routeIn(const PlanInForce &Plan) const {
    return Plan.m_Plan->find("host.example", m_Call.path());
  }
  bool hasKeyIn(const PlanInForce &Plan) const {
    return Plan.m_Plan->accountOf(m_Call.key()) != nullptr;
  }
  /// Whether the plan lets the request through to an upstream.
  bool isAllowedIn(const PlanInForce &Plan) const {
    const Route *Found = routeIn(Plan);
    return Found && !Found->m_Services.empty() && hasKeyIn(Plan);
  }
  template <typename Predicate> bool anyArrivalPlan(const Predicate &Holds) const {
    return std::any_of(m_ArrivalPlans.begin(), m_ArrivalPlans.end(),
                       [&](const PlanInForce *Each) { return Holds(*Each); });
  }
  /// Whether the gateway may have received, under this plan, what was sent at `SentAt`.
  bool isInForce(const PlanInForce &Plan, TimePoint SentAt) const {
    return Plan.m_From <= SentAt + TransitTime + m_Bounds.m_LongestDelay && Plan.m_Until >= SentAt;
  }
  /// Whether a plan that was in force when the header arrived refuses it as too large, or accepts
  /// it.
  bool mayRefuseHeader(bool IsRefused) const {
    return std::any_of(
        m_Bounds.m_Plans.begin(), m_Bounds.m_Plans.end(), [&](const PlanInForce &Each) {
          const bool IsTooLarge = Each.m_Plan->limits().m_MaxHeaderBytes < m_Call.header().size();
          return isInForce(Each, m_Call.m_SentAt) && IsTooLarge == IsRefused;
        });
  }

  /// Finds the plans under which the gateway may have received the whole request, and what they
  /// allow.
  void findArrivalPlans() {
    m_LeastAllowed = m_Call.m_Allowed;
    for (const PlanInForce &Each : m_Bounds.m_Plans) {
      if (!isInForce(Each, m_Call.m_BodySentAt))
        continue;
      m_ArrivalPlans.push_back(&Each);
      const Route *Found = routeIn(Each);
      if (!Found)
        continue;
      const Duration Allowed = std::min(m_Call.m_Allowed, Found->m_Timeout);
      m_LeastAllowed = std::min(m_LeastAllowed, Allowed);
      m_MostAllowed = std::max(m_MostAllowed, Allowed);
      m_MaxAttempts = std::max<std::size_t>(m_MaxAttempts, Found->m_MaxAttempts);
    }
  }

  /// A request is refused, or sent to an upstream, only if a plan of its arrival says so.
  void checkPlan() {
    const std::string Error = refusal();
    const auto HasNoRoute = [&](const PlanInForce &Plan) { return !routeIn(Plan); };
    const auto HasNoKey = [&](const PlanInForce &Plan) { return !hasKeyIn(Plan); };
    const auto HasNoService = [&](const PlanInForce &Plan) {
      return routeIn(Plan) && routeIn(Plan)->m_Services.empty();
    };
    if (Error == "unknown-route")
      check("plan-without-route", anyArrivalPlan(HasNoRoute));
    if (Error == "unknown-account-key")
      check("plan-without-key", anyArrivalPlan(HasNoKey));
    if (Error == "header-too-large")
      check("plan-with-low-limits", mayRefuseHeader(true));
    // The first upstream always remains in the list.
    if (Error == "no-upstream" && m_Call.m_Runs.empty())
      check("plan-without-service", anyArrivalPlan(HasNoService));
    const unsigned Status = m_Call.m_Response.status();
    if (Status >= 400 && Status < 500 && Status != 408 && Status != 429)
      check("refused-by-plan", Error == "unknown-route" || Error == "unknown-account-key" ||
                                   Error == "header-too-large");
    if (!m_Call.m_Runs.empty())
      check("run-by-plan", mayRefuseHeader(false) && anyArrivalPlan([&](const PlanInForce &Plan) {
                             return isAllowedIn(Plan);
                           }));
  }

  /// A request ends when the plan of its arrival says so, not a later one. Its arrival, the timer
  /// of its deadline and each check of ArrivalWatch after that can wait for a delayed loop.
  void checkInTime() {
    if (m_Call.m_LeftAt || m_MostAllowed == Duration(0) || !m_Call.m_EndedAt)
      return;
    constexpr int Turns = 2 + ArrivalWatch::MaxQuietChecks;
    check("in-time", *m_Call.m_EndedAt <= m_Call.m_SentAt + m_MostAllowed + DeadlineMargin +
                                              Turns * m_Bounds.m_LongestDelay);
  }

  /// Whether the request crossed the close of its idle connection. Nothing shows its client that
  /// the connection ends.
  bool hasCrossedIdleClose() const {
    if (!m_Call.m_IdleSince || !m_Call.m_Runs.empty() || !m_Call.m_Response.m_Bytes.empty())
      return false;
    if (m_Call.m_SentAt >= m_Bounds.m_IdleCloseFrom)
      return true;
    const Duration Idle = m_Call.m_SentAt - *m_Call.m_IdleSince;
    const auto IsShorter = [&](const PlanInForce &Plan) {
      return Plan.m_Until >= *m_Call.m_IdleSince && Plan.m_From <= m_Call.m_SentAt + TransitTime &&
             Plan.m_Plan->limits().m_IdleTimeout <= Idle + TransitTime;
    };
    return std::any_of(m_Bounds.m_Plans.begin(), m_Bounds.m_Plans.end(), IsShorter);
  }

  /// Splits the stream that the client received into events.
  void readEvents() {
    if (m_Call.m_Kind != RequestKind::Stream || m_Call.m_Response.status() != 200)
      return;
    const std::string Body = dechunked(m_Call.m_Response.m_Bytes);
    for (std::size_t At = 0; At < Body.size();) {
      const std::size_t End = Body.find("\n\n", At);
      if (End == std::string::npos) {
        m_HasForeignBytes = true;
        return;
      }
      readEvent(Body.substr(At, End + 2 - At));
      At = End + 2;
    }
  }

  void readEvent(const std::string &Text) {
    const int Id = Text.starts_with("id: ") ? std::atoi(Text.c_str() + 4) : 0;
    for (std::size_t I = 0; I < m_Call.m_Runs.size(); ++I)
      if (Text == eventText(*m_Call.m_Runs[I], I, Id)) {
        m_Events.push_back({Id, I});
        return;
      }
    m_HasForeignBytes = true;
  }

  /// The body of a chunked response as far as it was received in whole chunks.
  static std::string dechunked(const std::string &Response) {
    std::string Body;
    std::size_t At = Response.find("\r\n\r\n");
    while (At != std::string::npos && At + 4 <= Response.size()) {
      const std::size_t SizeAt = Body.empty() ? At + 4 : At;
      const std::size_t LineEnd = Response.find("\r\n", SizeAt);
      if (LineEnd == std::string::npos)
        break;
      const std::size_t Size =
          std::stoul("0" + Response.substr(SizeAt, LineEnd - SizeAt), nullptr, 16);
      if (Size == 0 || LineEnd + 4 + Size > Response.size())
        break;
      Body += Response.substr(LineEnd + 2, Size);
      At = LineEnd + 4 + Size;
    }
    return Body;
  }

  /// A request whose response has not begun ends with a response.
  void checkAnswered() {
    if (m_Call.m_LeftAt)
      return;
    if (hasCrossedIdleClose()) {
      m_Result.count("effect.crossed-idle-close");
      return;
    }
    const bool HasBegun = !m_Events.empty();
    check("answered", m_Call.m_Response.isComplete() || HasBegun, "neither answer nor refusal");
  }

  /// When the connection of the run closed, or its response ended.
  static TimePoint endOf(const UpstreamRun &Run) {
    const TimePoint End = Run.m_EndedAt.value_or(TimePoint::max());
    return std::min(End, Run.m_AbandonedAt.value_or(End));
  }

  /// Whether the run would have sent the whole response in time. A framed response that has arrived
  /// is in time also if the gateway handles its deadline first.
  bool isSound(const UpstreamRun &Run) const {
    const TimePoint Deadline = std::min(m_Call.m_SentAt + m_LeastAllowed, m_Bounds.m_Cutoff);
    const Duration Margin =
        Run.m_IsUnframed ? DeadlineMargin + m_Bounds.m_LongestDelay : TransitTime;
    return Run.m_Kind == RunKind::Sound && Run.m_EndedAt && *Run.m_EndedAt <= Deadline - Margin;
  }

  /// A request of which one upstream would have sent the whole response in time gets one.
  void checkNotLost() {
    if (m_Call.m_LeftAt)
      return;
    for (const UpstreamRun *Run : m_Call.m_Runs) {
      if (!isSound(*Run))
        continue;
      if (Run->m_PausedTime > StallTime)
        m_Result.count("check.not-lost-after-long-pause");
      if (*Run->m_EndedAt >= m_Call.m_SentAt + m_LeastAllowed - DeadlineMargin)
        m_Result.count("check.not-lost-at-deadline");
      check("not-lost", isWhole() || wasOvertaken(*Run), causeOfLoss(*Run));
    }
  }

  /// Whether the client got a later event of another run than this one had sent when the gateway
  /// closed its connection, and that run would not have sent the whole response in time.
  bool wasOvertaken(const UpstreamRun &Run) const {
    if (m_Events.empty())
      return false;
    const UpstreamRun &Last = *m_Call.m_Runs[m_Events.back().m_Run];
    if (&Last == &Run || isSound(Last))
      return false;
    const TimePoint Until = Run.m_AbandonedAt.value_or(TimePoint::max() - TransitTime) -
                            TransitTime - m_Bounds.m_LongestDelay;
    const auto Sent = std::count_if(Run.m_EventTimes.begin(), Run.m_EventTimes.end(),
                                    [&](TimePoint At) { return At <= Until; });
    return m_Events.back().m_Id > Run.m_ResumedAfter + Sent;
  }

  std::string causeOfLoss(const UpstreamRun &Lost) const {
    std::string Cause = "of " + Lost.m_Upstream.str() + "; others:";
    for (const UpstreamRun *Run : m_Call.m_Runs)
      if (Run != &Lost)
        Cause += " " + nameOf(RunKindNames, Run->m_Kind);
    return Cause;
  }

  void checkRuns() {
    if (m_Call.m_Runs.empty())
      return;
    bool WasRun = false;
    bool IsRepeated = false;
    std::size_t RunCount = 0;
    TimePoint LastEnd;
    for (const UpstreamRun *Run : m_Call.m_Runs) {
      if (Run->m_ArrivedAt + TransitTime < LastEnd)
        m_Result.count("effect.runs-at-the-same-time");
      LastEnd = std::max(LastEnd, endOf(*Run));
      IsRepeated = IsRepeated || WasRun;
      if (Run->m_Kind == RunKind::Rejection)
        continue;
      WasRun = true;
      ++RunCount;
    }
    if (m_Call.m_Kind == RequestKind::Once)
      check("at-most-once", !IsRepeated);
    check("attempts-of-route", RunCount <= std::min(maxRuns(m_Call.m_Kind), m_MaxAttempts));
  }

  /// Some statuses promise that the request was not run.
  void checkNotRunStatus() {
    const unsigned Status = m_Call.m_Response.status();
    const bool IsRefused = Status >= 400 && Status < 500;
    if (!IsRefused && Status != 503)
      return;
    const bool WasRun =
        std::any_of(m_Call.m_Runs.begin(), m_Call.m_Runs.end(),
                    [](const UpstreamRun *Run) { return Run->m_Kind != RunKind::Rejection; });
    check("not-run-status", !WasRun);
  }

  /// The events are in order, each of a run that resumed where the one before it ended, and of one
  /// version of the weights.
  void checkStream() {
    bool IsOrdered = !m_HasForeignBytes;
    bool IsOneVersion = true;
    for (std::size_t I = 0; I < m_Events.size(); ++I) {
      const UpstreamRun &Run = *m_Call.m_Runs[m_Events[I].m_Run];
      IsOrdered = IsOrdered && m_Events[I].m_Id == static_cast<int>(I) + 1;
      const bool IsFirstOfRun = I == 0 || m_Events[I].m_Run != m_Events[I - 1].m_Run;
      if (IsFirstOfRun)
        IsOrdered = IsOrdered && Run.m_ResumedAfter == static_cast<int>(I) &&
                    (I == 0 || m_Events[I].m_Run > m_Events[I - 1].m_Run);
      IsOneVersion =
          IsOneVersion &&
          m_Call.m_Response.contains("Weights-Version: " + std::to_string(Run.m_WeightsVersion));
      if (I > 0 && IsFirstOfRun)
        m_Result.count("effect.joined-runs");
    }
    check("order", IsOrdered, "events");
    check("one-version", IsOneVersion);
    if (!m_Call.m_Response.isComplete())
      return;
    const bool IsEmptyResponse =
        m_Events.empty() &&
        std::any_of(m_Call.m_Runs.begin(), m_Call.m_Runs.end(),
                    [](const UpstreamRun *Run) { return Run->m_Kind == RunKind::NoEvents; });
    check("whole-stream", IsEmptyResponse || static_cast<int>(m_Events.size()) == m_Call.m_Events);
  }

  /// The body is the whole body of one run.
  void checkPlain() {
    if (!m_Call.m_Response.isComplete())
      return;
    bool IsOfRun = false;
    for (std::size_t I = 0; I < m_Call.m_Runs.size(); ++I)
      IsOfRun = IsOfRun ||
                (m_Call.m_Runs[I]->m_Kind == RunKind::Sound &&
                 m_Call.m_Response.m_Bytes.ends_with("\r\n\r\n" + plainBody(*m_Call.m_Runs[I], I)));
    check("whole-plain", IsOfRun);
  }

  /// After the end of the request, no upstream works on it.
  void checkClosed() {
    const std::optional<TimePoint> End = m_Call.m_LeftAt ? m_Call.m_LeftAt : m_Call.m_EndedAt;
    if (!End)
      return;
    const TimePoint Limit = *End + MaxCloseTime + m_Bounds.m_LongestDelay;
    for (const UpstreamRun *Run : m_Call.m_Runs)
      if (Run->m_EndedAt && *Run->m_EndedAt > Limit)
        check("closed", Run->m_AbandonedAt && *Run->m_AbandonedAt <= Limit);
  }

  const ClientCall &m_Call;
  const ScenarioBounds &m_Bounds;
  std::uint64_t m_Seed;
  Findings &m_Result;
  std::vector<ReceivedEvent> m_Events;
  bool m_HasForeignBytes = false;
  std::vector<const PlanInForce *> m_ArrivalPlans;
  /// Bounds on the time to the deadline, and on the attempts, by the plans of its arrival.
  Duration m_LeastAllowed{0};
  Duration m_MostAllowed{0};
  std::size_t m_MaxAttempts = 0;
};

} // namespace fescuegauge::test

#endif // FESCUEGAUGE_LIBGATEWAY_PAUSECHECKS_H
