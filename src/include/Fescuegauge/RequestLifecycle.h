#ifndef FESCUEGAUGE_REQUESTLIFECYCLE_H
#define FESCUEGAUGE_REQUESTLIFECYCLE_H

#include "Fescuegauge/AttemptLedger.h"
#include "Fescuegauge/ClaimCoordinator.h"
#include "Fescuegauge/CrashSuspects.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/Request.h"

#include <set>
#include <string_view>

namespace fescuegauge {

/// How a request ended.
enum class RequestOutcome {
  /// The complete answer was delivered.
  Complete,
  /// No upstream has run it or will; the caller may ask again after a time.
  NotRun,
  /// Permanently refused.
  Refused,
  /// Non-idempotent work that may or may not have run; the caller may query by its key.
  Unknown,
  /// Idempotent work that was begun and ended without a complete answer. A body under way ends
  /// without its terminating chunk.
  Broken,
  /// The caller left before the end; nobody is told.
  Abandoned,
};

/// What an entry decided on a request before it reaches the lifecycle.
struct RequestTerms {
  TimePoint m_Deadline;
  /// An answer whose first byte would be delivered later than this is not delivered.
  std::optional<TimePoint> m_StaleAt;
  /// For non-idempotent work: the owner of the account.
  OwnerView m_Owner;
  /// For other work: the generation that the conversation is bound to.
  std::optional<GenerationId> m_Generation;
  /// The model version that the conversation is bound to.
  std::optional<Digest> m_RequiredDigest;
  /// The service's engines can resume a stream at an offset.
  bool m_Resumable = false;
};

/// Send the request to the agent of the upstream.
struct DispatchAttempt {
  AttemptId m_Attempt;
  RequestId m_Request;
  InstanceId m_Upstream;
  /// Bytes of the answer that were received from earlier attempts.
  std::uint64_t m_ResumeOffset = 0;
  /// The agent refuses the attempt if its engine serves another version.
  std::optional<Digest> m_RequiredDigest;
  /// The agent names it if its engine crashes during the attempt.
  SuspectKey m_Suspect;
};

/// Tell the agent that the attempt is no longer wanted.
struct CancelAttempt {
  AttemptId m_Attempt;
  InstanceId m_Upstream;
};

/// Ask the agent what it knows of the attempt; the answer goes to attemptStatement().
struct AskAttempt {
  AttemptId m_Attempt;
  InstanceId m_Upstream;
};

/// Pass bytes of the answer on to the caller.
struct DeliverFragment {
  RequestId m_Request;
  std::uint64_t m_Offset = 0;
  std::string m_Data;
  /// Of the attempt that the fragment came from; the first fragment's goes to the caller.
  int m_HttpStatus = 200;
  std::string m_ContentType;
};

/// Give the caller the final response. Exactly one for each request that arrived.
struct FinishRequest {
  RequestId m_Request;
  RequestOutcome m_Outcome = RequestOutcome::Complete;
  /// Set unless Complete or Abandoned.
  std::optional<ErrorKind> m_Error;
  /// When the caller may ask again.
  std::optional<Duration> m_RetryAfter;
  /// On Complete: the recorded answer of an earlier request with the same key, to be delivered
  /// whole. Nothing if the answer was delivered in fragments.
  std::optional<RecordedAnswer> m_Recorded;
  /// On Complete without a recorded answer; needed if no fragment was delivered.
  int m_HttpStatus = 200;
  std::string m_ContentType;
};

using RequestAction = std::variant<DispatchAttempt, CancelAttempt, AskAttempt, DeliverFragment,
                                   FinishRequest, SendClaimWrite, ReadTableRow, OwnerRowSeen>;
using RequestActions = std::vector<RequestAction>;

/// A piece of an answer as it arrives from an agent.
struct AnswerFragment {
  AttemptId m_Attempt;
  RequestId m_Request;
  std::uint64_t m_Offset = 0;
  std::string_view m_Data;
  /// The version that the engine serves; zero for plain services.
  Digest m_ServedDigest;
  int m_HttpStatus = 200;
  std::string m_ContentType;
};

/// The end of an attempt's answer.
struct AnswerEnd {
  AttemptId m_Attempt;
  RequestId m_Request;
  /// Length of the whole answer, counted from its first byte.
  std::uint64_t m_TotalBytes = 0;
  int m_HttpStatus = 200;
  std::string m_ContentType;
};

/// What the lifecycle asks of the rest of the process.
class RequestEnvironment {
public:
  virtual ~RequestEnvironment() = default;

  /// Takes one retry out of the budget; false if it is spent.
  virtual bool takeRetry(const RequestDescription &Request, TimePoint Now) = 0;
  virtual GenerationId generationOf(const InstanceId &Upstream) const = 0;
  /// The incarnation of the agent to which a connection is open.
  virtual Incarnation incarnationOf(const InstanceId &Upstream) const = 0;
};

/// Takes each request of an entry instance from its arrival to its one final outcome.
///
/// Non-idempotent work is claimed first and dispatched at most once under its claim; when the
/// upstream is lost, the caller is told "unknown" at once. Other work is retried within the retry
/// budget, and resumed on the same version if bytes were already delivered. An attempt of
/// non-idempotent work is not cancelled when its caller leaves or its deadline passes: it runs to
/// its end, so that a repeat finds the recorded answer.
class RequestLifecycle {
public:
  /// Requests in progress; a further one is refused as not run (Overloaded).
  static constexpr std::size_t MaxRequests = 8192;
  /// Attempts of one request.
  static constexpr std::size_t MaxAttempts = 3;
  /// Attempts with an unknown outcome that agents can still be asked about; the oldest goes first.
  static constexpr std::size_t MaxUnresolved = 1024;
  /// How long the result of non-idempotent work is awaited after its caller was answered.
  static constexpr Duration ResultWait = std::chrono::minutes(5);

  struct Options {
    InstanceId m_Self;
    /// This process as the origin of attempts; unique for the life of the deployment.
    AttemptSourceId m_Source;
    std::function<bool(const InstanceId &)> m_IsEntryAlive;
  };

  struct Counters {
    /// Fragments and ends of attempts that are over.
    std::uint64_t m_LateFragments = 0;
    /// Fragments at an offset that was passed.
    std::uint64_t m_DuplicateFragments = 0;
    /// Fragments beyond the next offset.
    std::uint64_t m_OutOfOrderFragments = 0;
    std::uint64_t m_Dispatches = 0;
    std::uint64_t m_Retries = 0;
    std::uint64_t m_Resumes = 0;
    std::uint64_t m_ResolvedLater = 0;
    std::map<RequestOutcome, std::uint64_t> m_Outcomes;
  };

  RequestLifecycle(Options Settings, UpstreamSelector &Selector, RequestEnvironment &Environment,
                   CrashSuspects &Suspects, RandomGenerator Random);

  RequestActions arrive(const RequestDescription &Request, const RequestTerms &Terms,
                        TimePoint Now);
  /// The caller's connection is gone.
  RequestActions callerLeft(const RequestId &Request, TimePoint Now);

  RequestActions fragment(const AnswerFragment &Fragment, TimePoint Now);
  RequestActions attemptEnded(const AnswerEnd &End, TimePoint Now);
  /// The agent recorded that it refused the attempt.
  RequestActions attemptRefused(const AttemptStatement &Statement, ErrorKind Reason, TimePoint Now);
  /// No byte of the attempt was handed to the network.
  RequestActions attemptNotSent(const AttemptId &Attempt, TimePoint Now);
  /// The engine broke the answer off but is still there.
  RequestActions attemptBroken(const AttemptId &Attempt, TimePoint Now);
  /// The agent reports to every connected entry that its engine crashed. `Lost` numbers the crashes
  /// of the upstream, `Running` holds the requests of all entries that AttemptLedger::engineLost()
  /// returned as failed, `Ended` what it returned for attempts of this entry.
  RequestActions engineCrashed(const InstanceId &Upstream, Incarnation Lost,
                               std::span<const SuspectKey> Running,
                               std::span<const AttemptStatement> Ended, TimePoint Now);
  /// Heartbeats of the connection ended or it was closed. Nobody is blamed.
  RequestActions upstreamUnreachable(const InstanceId &Upstream, TimePoint Now);
  /// A connection to the agent is open (again); unresolved attempts are asked about.
  RequestActions upstreamConnected(const InstanceId &Upstream, TimePoint Now);
  /// `Answer` is the agent's copy of a completed answer, if it kept one.
  RequestActions attemptStatement(const AttemptStatement &Statement,
                                  std::optional<RecordedAnswer> Answer, TimePoint Now);

  RequestActions claimWriteResult(const ClaimWriteResult &Result, TimePoint Now);
  RequestActions rowRead(const std::string &Key, const std::optional<TableRow> &Row, TimePoint Now);
  void setEntries(std::vector<InstanceId> Entries) { m_Claims.setEntries(std::move(Entries)); }
  void setEpochRow(const TableRow &Row) { m_Claims.setEpochRow(Row); }

  RequestActions onTimer(TimePoint Now);
  std::optional<TimePoint> nextTimer() const;

  /// The number of the next attempt, for AttemptLedger::openSource().
  std::uint64_t nextAttemptNumber() const { return m_NextAttempt; }
  /// Requests whose caller waits for an answer.
  std::size_t openCount() const { return m_Open; }
  /// Attempts under way, each counted as in flight by the selector.
  std::size_t runningCount() const { return m_Attempts.size(); }
  /// True when no request is in progress and no claim waits to be written.
  bool isIdle() const { return m_Requests.empty() && m_Claims.unfinishedCount() == 0; }
  const ClaimCoordinator &claims() const { return m_Claims; }
  const Counters &counters() const { return m_Counters; }

private:
  enum class Phase {
    Claiming,
    /// An attempt runs.
    Dispatched,
  };

  struct Attempt {
    AttemptId m_Id;
    InstanceId m_Upstream;
    Incarnation m_Agent;
    /// Offset at which the attempt's answer starts.
    std::uint64_t m_Start = 0;
  };

  struct Entry {
    RequestDescription m_Request;
    RequestTerms m_Terms;
    Phase m_Phase = Phase::Dispatched;
    bool m_Finished = false;
    bool m_CallerGone = false;
    ClaimId m_Claim;
    GenerationId m_Generation;
    int m_ClaimDispatches = 0;
    std::optional<Attempt> m_Attempt;
    std::size_t m_Attempts = 0;
    /// Attempts that may have run.
    std::size_t m_PossiblyRun = 0;
    std::vector<InstanceId> m_Used;
    std::uint64_t m_Received = 0;
    std::optional<Digest> m_ServedDigest;
    /// The answer of claimed work, kept to be recorded.
    std::string m_Body;
    std::optional<TimePoint> m_Due;
  };

  struct Unresolved {
    Attempt m_Attempt;
    RequestId m_Request;
  };

  SuspectKey suspectKey(const Entry &Of) const {
    return {Of.m_Request.m_Account, Of.m_Request.m_BodyDigest};
  }
  /// The request whose current attempt this is; null if the attempt is over.
  Entry *findAttempt(const AttemptId &Attempt);
  void append(ClaimActions From, TimePoint Now, RequestActions &Actions);
  void claimDecided(const ClaimDecision &Decision, TimePoint Now, RequestActions &Actions);
  bool dispatch(Entry &Of, TimePoint Now, RequestActions &Actions);
  std::optional<InstanceId> choose(Entry &Of, TimePoint Now);
  void endAttempt(Entry &Of, bool Lost, TimePoint Now);
  void notRunAttempt(Entry &Of, ErrorKind Reason, TimePoint Now, RequestActions &Actions);
  void lostAttempt(Entry &Of, ErrorKind Reason, bool UpstreamLost, TimePoint Now,
                   RequestActions &Actions);
  void cancelAttempt(Entry &Of, TimePoint Now, RequestActions &Actions);
  void complete(Entry &Of, const AnswerEnd &End, TimePoint Now, RequestActions &Actions);
  void finish(Entry &Of, RequestOutcome Outcome, std::optional<ErrorKind> Error,
              RequestActions &Actions, std::optional<RecordedAnswer> Recorded = std::nullopt);
  /// Ends a request that has no attempt under way, with the outcome that its history allows.
  void finishUnanswered(Entry &Of, ErrorKind Reason, TimePoint Now, RequestActions &Actions);
  /// Removes the request at the end of the event.
  void remove(Entry &Of);
  RequestActions sweep(RequestActions Actions);
  /// Waits for the result of non-idempotent work whose caller has been answered.
  void awaitResult(Entry &Of, TimePoint Now);
  void retryOrFinish(Entry &Of, ErrorKind Reason, TimePoint Now, RequestActions &Actions);
  void setDue(Entry &Of, std::optional<TimePoint> Due);
  void timedOut(Entry &Of, TimePoint Now, RequestActions &Actions);

  Options m_Options;
  UpstreamSelector &m_Selector;
  RequestEnvironment &m_Environment;
  CrashSuspects &m_Suspects;
  RandomGenerator m_Random;
  ClaimCoordinator m_Claims;
  std::unordered_map<RequestId, Entry> m_Requests;
  std::unordered_map<AttemptId, RequestId> m_Attempts;
  std::deque<Unresolved> m_Unresolved;
  std::set<std::pair<TimePoint, RequestId>> m_Timers;
  std::vector<RequestId> m_Removed;
  std::size_t m_Open = 0;
  std::uint64_t m_NextAttempt = 1;
  Counters m_Counters;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_REQUESTLIFECYCLE_H
