#ifndef FESCUEGAUGE_CLAIMCOORDINATOR_H
#define FESCUEGAUGE_CLAIMCOORDINATOR_H

#include "Fescuegauge/ClaimBatcher.h"
#include "Fescuegauge/ClaimRow.h"

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <variant>

namespace fescuegauge {

/// The generation that owns an account's non-idempotent requests to a service, as this process last
/// read it.
struct OwnerView {
  GenerationId m_Generation;
  /// Position of row `owner/SERVICE/ACCOUNT` that was read; with version 0 if the row is absent.
  TablePosition m_Position;
  /// A handover is in progress and no claim may be made.
  bool m_Paused = false;
};

/// A non-idempotent request that needs a claim before it may be dispatched.
struct ClaimRequest {
  RequestId m_Request;
  ClientAccountId m_Account;
  IdempotencyKey m_Key;
  Digest m_BodyDigest;
  ServiceId m_Service;
  OwnerView m_Owner;
  /// Latest end of the wait for another request with the same key.
  TimePoint m_WaitUntil;
};

enum class ClaimVerdict {
  /// The claim is committed. The request may be dispatched once, in the generation of its claim.
  Granted,
  /// The key was used before and its answer is recorded.
  Recorded,
  /// Nothing was or will be dispatched under the claim. The caller may retry.
  NotRun,
  /// The request is permanently rejected; a retry cannot succeed.
  Refused,
  /// It is unknown whether an earlier request with the key ran.
  Unknown,
};

/// The decision on a ClaimRequest. Each request gets exactly one, unless it is abandoned.
struct ClaimDecision {
  RequestId m_Request;
  ClaimVerdict m_Verdict = ClaimVerdict::Unknown;
  /// Valid unless the verdict is Granted or Recorded.
  ErrorKind m_Error = ErrorKind::OutcomeUnknown;
  ClaimId m_Claim;
  GenerationId m_Generation;
  std::optional<RecordedAnswer> m_Answer;
};

/// Send the write to the batcher on `m_To`, which may be this instance.
struct SendClaimWrite {
  InstanceId m_To;
  ClaimWrite m_Write;
};

/// Read the row and pass the result to rowRead(). The read may be stale.
struct ReadTableRow {
  std::string m_Key;
};

/// Update the known owner row: a claim that required an older version of it failed.
struct UpdateOwnerRow {
  TableRow m_Row;
};

using ClaimAction = std::variant<SendClaimWrite, ReadTableRow, UpdateOwnerRow, ClaimDecision>;
using ClaimActions = std::vector<ClaimAction>;

/// Makes and resolves the claims of an entry instance.
///
/// A claim is inserted on condition that its row is absent (or still is the `notRun` row that was
/// read), that the owner row has the known version and that the key's epoch is accepted. A write
/// with unknown outcome is submitted again through another batcher with the same claim id. If it
/// conflicts, the conflict contains the current row and thereby shows whether the first copy was
/// committed. If all submissions fail, the request is not run, and a conditional `notRun` write
/// makes any late copy of the claim fail. A claim of another process is replaced only if its state
/// is `notRun`.
class ClaimCoordinator {
public:
  /// Batchers in use per data centre.
  static constexpr std::size_t ActiveBatchers = 2;
  /// After this time without a result a write is submitted to the next batcher.
  static constexpr Duration BatcherTimeout = std::chrono::milliseconds(700);
  /// Period for which a batcher is avoided after a timeout.
  static constexpr Duration BatcherAvoidPeriod = std::chrono::seconds(5);
  /// Submissions of a claim before it is withdrawn.
  static constexpr int MaxSubmissions = 3;
  /// Claim attempts of a request. A new one follows an outdated epoch row or a `notRun` row.
  static constexpr int MaxAttempts = 4;
  /// Submissions of a resolution (`notRun` or a result). After them the row stays as it is, for
  /// example `claimed`.
  static constexpr int MaxResolveSubmissions = 200;
  static constexpr Duration ResolveBackoff = std::chrono::milliseconds(500);
  static constexpr Duration MaxResolveBackoff = std::chrono::seconds(5);
  /// Tracked claims, each with at most one recorded answer (64 MiB in total). Further requests are
  /// refused as not run (Overloaded).
  static constexpr std::size_t MaxClaims = 4096;
  /// Requests that wait for another one with the same key. Further ones get the verdict Unknown.
  static constexpr std::size_t MaxWaiters = 1024;
  /// Longest wait for another request with the same key.
  static constexpr Duration MaxWait = std::chrono::seconds(10);
  /// Interval between reads of awaited rows. 340 entries with 4 reads/s each stay within the 2,000
  /// reads/s that the platform sustains.
  static constexpr Duration ReadInterval = std::chrono::milliseconds(250);
  /// Tracked claims with state `unknown` that can still be resolved. The oldest is evicted first.
  static constexpr std::size_t MaxUnresolved = 1024;

  struct Options {
    InstanceId m_Self;
    /// Unique to this process over the lifetime of the deployment; prefix of claim ids and tickets.
    std::string m_ProcessId;
    /// Returns whether the entry instance is considered alive. If not, waits for its claims end.
    std::function<bool(const InstanceId &)> m_IsEntryAlive;
  };

  struct Counters {
    std::uint64_t m_Granted = 0;
    std::uint64_t m_RepeatedRequests = 0;
    std::uint64_t m_BatcherTimeouts = 0;
    /// Claims whose outcome could not be written within MaxResolveSubmissions.
    std::uint64_t m_LeftUnresolved = 0;
  };

  explicit ClaimCoordinator(Options Settings) : m_Options(std::move(Settings)) {}

  /// Sets the live entry instances of this data centre, including this one.
  void setEntries(std::vector<InstanceId> Entries);
  /// Sets row `claim-epoch`. Must be called at startup and whenever the row changes. Claims are
  /// refused as not run until the first call.
  void setEpochRow(const TableRow &Row);

  ClaimActions claim(const ClaimRequest &Request, TimePoint Now);
  ClaimActions writeResult(const ClaimWriteResult &Result, TimePoint Now);
  /// `Row` is nullopt if the read failed.
  ClaimActions rowRead(const std::string &Key, const std::optional<TableRow> &Row, TimePoint Now);
  /// Abandons a request that will not be dispatched because its caller disconnected or its deadline
  /// passed. No decision follows. Must not be called after the request was dispatched.
  ClaimActions abandon(const RequestId &Request, TimePoint Now);
  /// Records the outcome of a granted claim. The outcome Unknown may be followed by a known one.
  ClaimActions resolve(const RequestId &Request, ClaimState Outcome,
                       std::optional<RecordedAnswer> Answer, TimePoint Now);
  ClaimActions onTimer(TimePoint Now);
  std::optional<TimePoint> nextTimer() const;

  /// Returns the batchers in the order in which this entry would use them for `Key` at `Now`.
  std::vector<InstanceId> batchersFor(const IdempotencyKey &Key, TimePoint Now) const;
  std::size_t claimCount() const { return m_Claims.size(); }
  /// Number of claims that are not finally resolved, except those with state `unknown`.
  std::size_t unfinishedCount() const;
  const Counters &counters() const { return m_Counters; }

private:
  enum class Phase {
    /// The claim was submitted and its outcome is not yet known.
    Claiming,
    /// Waiting for another request with the same key, which holds the claim.
    Waiting,
    /// The claim is committed and its request is being processed.
    Granted,
    /// Withdrawn before the claim was known to be committed; `notRun` is being written.
    Withdrawing,
    /// The outcome in m_Row is being written.
    Resolving,
    /// The row has state `unknown`; a known outcome may still follow.
    Unresolved,
    /// Finished; removed at the end of the current event.
    Finished,
  };

  struct Claim {
    ClaimRequest m_Request;
    Phase m_Phase = Phase::Claiming;
    ClaimRow m_Row;
    /// Required position of the row for the current write.
    TablePosition m_Position;
    /// Position of the epoch row that the key's epoch was compared with.
    TablePosition m_EpochRowPosition;
    int m_Attempts = 0;
    /// Tickets of all submissions of the current write. A result for any of them is accepted.
    std::vector<ClaimTicket> m_Tickets;
    int m_SubmissionCount = 0;
    /// When the current submission or wait times out, or the next submission is due.
    std::optional<TimePoint> m_TimerAt;
    /// m_TimerAt is the time of the next submission rather than of a timeout.
    bool m_IsWaitingToSubmit = false;
    InstanceId m_Batcher;
    /// Outcome that became known while `unknown` was being written.
    std::optional<std::pair<ClaimState, std::optional<RecordedAnswer>>> m_NextOutcome;
  };

  void submit(Claim &OpenClaim, TimePoint Now, ClaimActions &Actions);
  void startClaim(Claim &OpenClaim, TablePosition Position, TimePoint Now, ClaimActions &Actions);
  void withdraw(Claim &OpenClaim, TimePoint Now, ClaimActions &Actions);
  void startResolution(Claim &OpenClaim, Phase NewPhase, TimePoint Now, ClaimActions &Actions);
  void handleClaimResult(Claim &OpenClaim, const ClaimWriteResult &Result, TimePoint Now,
                         ClaimActions &Actions);
  void handleCurrentRow(Claim &OpenClaim, const TableRow &Row, TimePoint Now,
                        ClaimActions &Actions);
  void handleResolutionResult(Claim &OpenClaim, const ClaimWriteResult &Result, TimePoint Now,
                              ClaimActions &Actions);
  void completeResolution(Claim &OpenClaim, TimePoint Now, ClaimActions &Actions);
  void scheduleResubmission(Claim &OpenClaim, TimePoint Now);
  void handleTimer(Claim &OpenClaim, TimePoint Now, ClaimActions &Actions);
  void grant(Claim &OpenClaim, TablePosition Position, ClaimActions &Actions);
  /// Reports the decision for the request and for the requests of this entry that wait for it.
  void decide(Claim &OpenClaim, ClaimVerdict Verdict, ErrorKind Error, ClaimActions &Actions,
              const std::optional<RecordedAnswer> &Answer = std::nullopt);
  void decideWaiters(const std::string &Key, ClaimVerdict Verdict, ErrorKind Error,
                     const std::optional<RecordedAnswer> &Answer, ClaimActions &Actions);
  void handleRepeat(Claim &OpenClaim, const Claim &Holder, TimePoint Now, ClaimActions &Actions);
  void startWaiting(Claim &OpenClaim, TimePoint Now, ClaimActions &Actions);
  bool isHolder(const Claim &OpenClaim) const;
  void finish(Claim &OpenClaim);
  void clearTickets(Claim &OpenClaim);
  void setTimer(Claim &OpenClaim, std::optional<TimePoint> TimerAt, bool IsWaitingToSubmit = false);
  void readNextRow(TimePoint Now, ClaimActions &Actions);
  void removeFinished();
  static std::string rowKey(const Claim &OpenClaim);

  Options m_Options;
  std::vector<InstanceId> m_RankedEntries;
  std::map<InstanceId, TimePoint> m_AvoidedUntil;
  std::optional<TablePosition> m_EpochRowPosition;
  ClaimEpoch m_OldestEpoch;
  std::unordered_map<RequestId, Claim> m_Claims;
  std::unordered_map<ClaimTicket, RequestId> m_Tickets;
  /// Requests of this entry that hold a claim with open outcome, by row key.
  std::unordered_map<std::string, RequestId> m_Holders;
  /// Waiting requests with their row keys, in the order in which the rows are read.
  std::deque<std::pair<std::string, RequestId>> m_Waiters;
  std::multimap<TimePoint, RequestId> m_Timers;
  std::deque<RequestId> m_Unresolved;
  std::vector<RequestId> m_Finished;
  std::optional<TimePoint> m_NextReadAt;
  std::uint64_t m_NextTicket = 1;
  std::uint64_t m_NextClaim = 1;
  Counters m_Counters;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CLAIMCOORDINATOR_H
