#ifndef FESCUEGAUGE_REQUESTLIFECYCLE_H
#define FESCUEGAUGE_REQUESTLIFECYCLE_H

#include "Fescuegauge/ArrivalWatch.h"
#include "Fescuegauge/AttemptLedger.h"
#include "Fescuegauge/ClaimCoordinator.h"
#include "Fescuegauge/CrashSuspects.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/Request.h"
#include "Fescuegauge/RequestExpiry.h"

#include <set>
#include <string_view>

namespace fescuegauge {

/// The final outcome of a request.
enum class RequestOutcome {
  /// The complete answer was delivered.
  Complete,
  /// No upstream ran or will run the request. The caller may retry after a delay.
  NotRun,
  /// Permanently refused; a retry cannot succeed.
  Refused,
  /// Non-idempotent request that may or may not have run. The caller may query it by its key.
  Unknown,
  /// Idempotent request that was started and ended without a complete answer. A partially sent body
  /// ends without its terminating chunk.
  Broken,
  /// The caller disconnected before the end, so there is no response.
  Abandoned,
};

/// Constraints that the entry determined for a request before passing it to the lifecycle.
struct RequestConstraints {
  TimePoint m_Deadline;
  /// An answer is not delivered if its first byte would be delivered later than this.
  std::optional<TimePoint> m_StaleAt;
  /// For non-idempotent requests: the owner of the account.
  OwnerView m_Owner;
  /// For other requests: the generation that the conversation is bound to.
  std::optional<GenerationId> m_Generation;
  /// The model version that the conversation is bound to.
  std::optional<Digest> m_RequiredDigest;
  /// The engines of the service can resume a stream at an offset.
  bool m_Resumable = false;
};

/// Send the request to the agent of the upstream.
struct DispatchAttempt {
  AttemptId m_Attempt;
  RequestId m_Request;
  InstanceId m_Upstream;
  /// Number of bytes of the answer already received from earlier attempts.
  std::uint64_t m_ResumeOffset = 0;
  /// The agent refuses the attempt if its engine serves another version.
  std::optional<Digest> m_RequiredDigest;
  /// The agent reports this if its engine crashes before the answer begins.
  SuspectRequest m_Suspect;
};

/// Send the agent a cancellation of the attempt.
struct CancelAttempt {
  AttemptId m_Attempt;
  InstanceId m_Upstream;
};

/// Query the agent for the state of the attempt. Its reply is passed to attemptStatement().
struct QueryAttempt {
  AttemptId m_Attempt;
  InstanceId m_Upstream;
};

/// Forward bytes of the answer to the caller.
struct DeliverFragment {
  RequestId m_Request;
  std::uint64_t m_Offset = 0;
  std::string m_Data;
  /// Status of the attempt that sent the fragment. That of the first fragment goes to the caller.
  int m_HttpStatus = 200;
  std::string m_ContentType;
  InstanceId m_Upstream;
  Digest m_ServedDigest;
};

/// Send the caller the final response. There is exactly one for each request.
struct FinishRequest {
  RequestId m_Request;
  RequestOutcome m_Outcome = RequestOutcome::Complete;
  /// Set unless the outcome is Complete or Abandoned.
  std::optional<ErrorKind> m_Error;
  /// Delay after which the caller may retry.
  std::optional<Duration> m_RetryAfter;
  /// On Complete: the recorded answer of an earlier request with the same key, to be delivered as a
  /// whole. nullopt if the answer was delivered in fragments.
  std::optional<RecordedAnswer> m_Recorded;
  /// Valid on Complete without a recorded answer; used if no fragment was delivered.
  int m_HttpStatus = 200;
  std::string m_ContentType;
};

using RequestAction = std::variant<DispatchAttempt, CancelAttempt, QueryAttempt, DeliverFragment,
                                   FinishRequest, SendClaimWrite, ReadTableRow, UpdateOwnerRow>;
using RequestActions = std::vector<RequestAction>;

/// A part of an answer as received from an agent.
struct AnswerFragment {
  AttemptId m_Attempt;
  RequestId m_Request;
  std::uint64_t m_Offset = 0;
  std::string_view m_Data;
  /// Digest of the version that the engine serves; zero for plain services.
  Digest m_ServedDigest;
  int m_HttpStatus = 200;
  std::string m_ContentType;
};

/// The end of an attempt's answer as received from an agent.
struct AnswerEnd {
  AttemptId m_Attempt;
  RequestId m_Request;
  /// Length of the whole answer in bytes, including the part from earlier attempts.
  std::uint64_t m_TotalBytes = 0;
  int m_HttpStatus = 200;
  std::string m_ContentType;
};

/// Services that the lifecycle needs from its process.
class RequestEnvironment {
public:
  virtual ~RequestEnvironment() = default;

  /// Takes one retry from the retry budget. Returns false if the budget is exhausted.
  virtual bool takeRetry(const RequestDescription &Request, TimePoint Now) = 0;
  /// Takes an attempt beside a running one from the retry budget. Returns false if the budget or
  /// the load does not allow it.
  virtual bool takeHedge(const RequestDescription &Request, TimePoint Now) = 0;
  virtual GenerationId generationOf(const InstanceId &Upstream) const = 0;
  /// Returns the incarnation of the agent process that the open connection leads to.
  virtual Incarnation incarnationOf(const InstanceId &Upstream) const = 0;
};

/// Manages the requests of an entry instance, each from its arrival to its single final outcome.
///
/// A non-idempotent request is claimed first and dispatched at most once under its claim. If the
/// upstream is lost, the caller gets the outcome Unknown immediately. Other requests are retried
/// within the retry budget, and resumed on the same version if bytes were already delivered. If an
/// upstream falls silent, they stay there and are dispatched to a second one too; the attempt that
/// delivers first is kept and the other one is cancelled. An attempt of a non-idempotent request is
/// not cancelled when its caller disconnects or its deadline passes: it runs to its end, so that a
/// repeated request finds the recorded answer.
class RequestLifecycle {
public:
  /// Requests in progress. Further requests are refused as not run (Overloaded).
  static constexpr std::size_t MaxRequests = 8192;
  /// Attempts per request.
  static constexpr std::size_t MaxAttempts = 3;
  /// Tracked attempts with unknown outcome that agents can still be queried for. The oldest is
  /// evicted first.
  static constexpr std::size_t MaxUnresolved = 1024;
  /// Time to wait for the result of a non-idempotent request after its caller got a response.
  static constexpr Duration ResultTimeout = std::chrono::minutes(5);

  struct Options {
    InstanceId m_Self;
    /// Source id of this process; unique over the lifetime of the deployment.
    AttemptSourceId m_Source;
    std::function<bool(const InstanceId &)> m_IsEntryAlive;
  };

  struct Counters {
    /// Fragments and ends of attempts that had already ended.
    std::uint64_t m_LateFragments = 0;
    /// Fragments before the next expected offset.
    std::uint64_t m_DuplicateFragments = 0;
    /// Fragments beyond the next expected offset.
    std::uint64_t m_OutOfOrderFragments = 0;
    std::uint64_t m_Dispatches = 0;
    std::uint64_t m_Retries = 0;
    std::uint64_t m_Resumes = 0;
    /// Attempts beside one on a silent upstream.
    std::uint64_t m_SecondAttempts = 0;
    std::uint64_t m_ResolvedLater = 0;
    std::map<RequestOutcome, std::uint64_t> m_Outcomes;
  };

  RequestLifecycle(Options Settings, UpstreamSelector &Selector, RequestEnvironment &Environment,
                   CrashSuspects &Suspects, RandomGenerator Random);

  RequestActions arrive(const RequestDescription &Request, const RequestConstraints &Constraints,
                        TimePoint Now);
  /// The connection to the caller was closed.
  RequestActions callerDisconnected(const RequestId &Request, TimePoint Now);

  RequestActions fragment(const AnswerFragment &Fragment, TimePoint Now);
  RequestActions attemptEnded(const AnswerEnd &End, TimePoint Now);
  /// The agent refused the attempt and recorded the refusal.
  RequestActions attemptRefused(const AttemptStatement &Statement, ErrorKind Reason, TimePoint Now);
  /// The attempt was not sent: no byte of it was passed to the network.
  RequestActions attemptNotSent(const AttemptId &Attempt, TimePoint Now);
  /// The engine ended the answer prematurely but is still running.
  RequestActions attemptFailed(const AttemptId &Attempt, TimePoint Now);
  /// The agent reported an engine crash, as it does to every connected entry. `CrashIncarnation`
  /// identifies the crash among those of the upstream. Of the attempts that
  /// AttemptLedger::engineLost() returned, `Unstarted` holds the requests of all entries' failed
  /// ones whose answers had not begun, and `Ended` the attempts of this entry.
  RequestActions engineCrashed(const InstanceId &Upstream, Incarnation CrashIncarnation,
                               std::span<const SuspectRequest> Unstarted,
                               std::span<const AttemptStatement> Ended, TimePoint Now);
  /// The upstream has become silent but may still go on. Its idempotent requests get a second
  /// attempt elsewhere if the retry budget and another upstream allow it.
  RequestActions upstreamSilent(const InstanceId &Upstream, TimePoint Now);
  /// The connection was closed or its heartbeats timed out. No request becomes a crash suspect.
  RequestActions upstreamUnreachable(const InstanceId &Upstream, TimePoint Now);
  /// A connection to the agent was opened or reopened. Its unresolved attempts are queried.
  RequestActions upstreamConnected(const InstanceId &Upstream, TimePoint Now);
  /// The agent replied to a query. `Answer` is its copy of a completed answer, if it kept one.
  RequestActions attemptStatement(const AttemptStatement &Statement,
                                  std::optional<RecordedAnswer> Answer, TimePoint Now);

  RequestActions claimWriteResult(const ClaimWriteResult &Result, TimePoint Now);
  RequestActions rowRead(const std::string &Key, const std::optional<TableRow> &Row, TimePoint Now);
  void setEntries(std::vector<InstanceId> Entries) { m_Claims.setEntries(std::move(Entries)); }
  void setEpochRow(const TableRow &Row) { m_Claims.setEpochRow(Row); }

  RequestActions onTimer(TimePoint Now);
  std::optional<TimePoint> nextTimer() const;

  /// Returns the number of the next attempt, for AttemptLedger::openSource().
  std::uint64_t nextAttemptNumber() const { return m_NextAttempt; }
  /// Returns the number of requests whose callers wait for a response.
  std::size_t openCount() const { return m_OpenCount; }
  /// Returns the number of running attempts. The selector counts each as in flight.
  std::size_t runningCount() const { return m_Attempts.size(); }
  /// Returns true if no request is in progress and no claim write is pending.
  bool isIdle() const { return m_Requests.empty() && m_Claims.unfinishedCount() == 0; }
  const ClaimCoordinator &claims() const { return m_Claims; }
  const Counters &counters() const { return m_Counters; }

private:
  enum class Phase {
    Claiming,
    /// Not waiting for a claim; normally an attempt is running.
    Dispatched,
  };

  struct Attempt {
    AttemptId m_Id;
    InstanceId m_Upstream;
    Incarnation m_Agent;
    /// Offset in the answer at which the attempt starts.
    std::uint64_t m_StartOffset = 0;
    std::size_t m_FragmentCount = 0;
  };

  struct ActiveRequest {
    RequestDescription m_Request;
    RequestConstraints m_Constraints;
    SuspectRequest m_Suspect;
    Phase m_Phase = Phase::Dispatched;
    bool m_IsFinished = false;
    bool m_CallerGone = false;
    ClaimId m_Claim;
    GenerationId m_Generation;
    int m_ClaimDispatches = 0;
    std::optional<Attempt> m_Attempt;
    /// Attempt beside m_Attempt while the upstream of that one is silent.
    std::optional<Attempt> m_SecondAttempt;
    std::size_t m_Attempts = 0;
    /// Number of attempts that may have run.
    std::size_t m_PossiblyRunAttempts = 0;
    std::vector<InstanceId> m_UsedUpstreams;
    std::uint64_t m_ReceivedBytes = 0;
    std::optional<Digest> m_ServedDigest;
    /// Answer body of a claimed request, kept for the record.
    std::string m_Body;
    std::optional<TimePoint> m_TimerAt;
    RequestExpiry m_Expiry;
    ArrivalWatch m_DeadlineWatch;
  };

  struct Unresolved {
    Attempt m_Attempt;
    RequestId m_Request;
  };

  /// Returns the request that the attempt belongs to, or nullptr if the attempt has ended.
  ActiveRequest *findAttempt(const AttemptId &Attempt);
  /// Whether the deadline has passed and a response that has arrived may still be delivered.
  /// `HasInput` is true if a part of it is being handled.
  static bool isExpiring(ActiveRequest &Active, bool HasInput, TimePoint Now);
  /// Whether the request has time for a further attempt.
  static bool hasTime(const ActiveRequest &Active, TimePoint Now) {
    return Active.m_TimerAt && Now < *Active.m_TimerAt && !Active.m_Expiry.hasBegun();
  }
  /// Returns the attempt of the request with this id, which must be running.
  static const Attempt &runningAttempt(const ActiveRequest &Active, const AttemptId &Id);
  std::vector<AttemptId> attemptsOn(const InstanceId &Upstream) const;
  /// Cancels the other attempt of the request if there is one.
  void keepOnly(ActiveRequest &Active, const AttemptId &Id, TimePoint Now, RequestActions &Actions);
  /// Releases the attempt if the request has another one, which then goes on alone. Returns false
  /// if it is the only one.
  bool releaseOneOfTwo(ActiveRequest &Active, const AttemptId &Id, bool IsUpstreamLost,
                       TimePoint Now);
  void appendClaimActions(ClaimActions FromClaims, TimePoint Now, RequestActions &Actions);
  void handleClaimDecision(const ClaimDecision &Decision, TimePoint Now, RequestActions &Actions);
  bool dispatch(ActiveRequest &Active, TimePoint Now, RequestActions &Actions);
  /// Dispatches the request to a second upstream while its first attempt goes on, if that is
  /// allowed.
  void dispatchSecond(ActiveRequest &Active, TimePoint Now, RequestActions &Actions);
  Attempt startAttempt(ActiveRequest &Active, const InstanceId &Upstream, RequestActions &Actions);
  std::optional<InstanceId> selectUpstream(ActiveRequest &Active, TimePoint Now);
  void releaseAttempt(ActiveRequest &Active, bool IsUpstreamLost, TimePoint Now);
  /// The attempt with this id did not run. If another one goes on, nothing else happens.
  void handleNotRun(ActiveRequest &Active, const AttemptId &Id, ErrorKind Reason, TimePoint Now,
                    RequestActions &Actions);
  /// The attempt with this id was lost. If another one goes on, nothing else happens.
  void handleLoss(ActiveRequest &Active, const AttemptId &Id, ErrorKind Reason, bool IsUpstreamLost,
                  TimePoint Now, RequestActions &Actions);
  void cancelAttempts(ActiveRequest &Active, TimePoint Now, RequestActions &Actions);
  void complete(ActiveRequest &Active, const AnswerEnd &End, TimePoint Now,
                RequestActions &Actions);
  void finish(ActiveRequest &Active, RequestOutcome Outcome, std::optional<ErrorKind> Error,
              RequestActions &Actions, std::optional<RecordedAnswer> Recorded = std::nullopt);
  /// Ends a request without a complete answer, with outcome NotRun if no attempt of it can have
  /// run. A running attempt is cancelled first.
  void finishUnanswered(ActiveRequest &Active, ErrorKind Reason, TimePoint Now,
                        RequestActions &Actions);
  /// Schedules the removal of the request for the end of the current event.
  void scheduleRemoval(ActiveRequest &Active);
  RequestActions flushRemovals(RequestActions Actions);
  /// Waits for the result of a non-idempotent request whose caller already got a response.
  void awaitResult(ActiveRequest &Active, TimePoint Now);
  void retryOrFinish(ActiveRequest &Active, ErrorKind Reason, TimePoint Now,
                     RequestActions &Actions);
  void setTimer(ActiveRequest &Active, std::optional<TimePoint> TimerAt);
  void handleTimeout(ActiveRequest &Active, bool HasInput, TimePoint Now, RequestActions &Actions);

  Options m_Options;
  UpstreamSelector &m_Selector;
  RequestEnvironment &m_Environment;
  CrashSuspects &m_Suspects;
  RandomGenerator m_Random;
  ClaimCoordinator m_Claims;
  std::unordered_map<RequestId, ActiveRequest> m_Requests;
  std::unordered_map<AttemptId, RequestId> m_Attempts;
  std::deque<Unresolved> m_Unresolved;
  std::set<std::pair<TimePoint, RequestId>> m_Timers;
  std::vector<RequestId> m_PendingRemovals;
  std::size_t m_OpenCount = 0;
  std::uint64_t m_NextAttempt = 1;
  Counters m_Counters;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_REQUESTLIFECYCLE_H
