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

/// Which generation owns an account's non-idempotent work of a service, as this process knows it.
struct OwnerView {
  GenerationId m_Generation;
  /// Version of the row `owner/SERVICE/ACCOUNT` that says so; 0 if the row is absent.
  RowVersion m_Version;
  /// A handover is under way: no claim may be made.
  bool m_Paused = false;
};

/// A non-idempotent request that asks for permission to be dispatched.
struct ClaimRequest {
  RequestId m_Request;
  ClientAccountId m_Account;
  IdempotencyKey m_Key;
  Digest m_BodyDigest;
  ServiceId m_Service;
  OwnerView m_Owner;
  /// The wait for another request with the same key ends no later than this.
  TimePoint m_GiveUpAt;
};

enum class ClaimVerdict {
  /// The claim is committed: the request may be dispatched once, in the generation of its claim.
  Granted,
  /// The key was used before and the answer is recorded.
  Recorded,
  /// Nothing was dispatched under the claim and nothing will be; the caller may ask again.
  NotRun,
  /// Asking again is of no use.
  Refused,
  /// An earlier request with the key may or may not have run.
  Unknown,
};

/// The answer to one ClaimRequest; each request gets exactly one.
struct ClaimDecision {
  RequestId m_Request;
  ClaimVerdict m_Verdict = ClaimVerdict::Unknown;
  /// Set unless Granted or Recorded.
  ErrorKind m_Error = ErrorKind::OutcomeUnknown;
  ClaimId m_Claim;
  GenerationId m_Generation;
  std::optional<RecordedAnswer> m_Answer;
};

/// Send the write to the batcher `m_To`, which may be this process itself.
struct SendClaimWrite {
  InstanceId m_To;
  ClaimWrite m_Write;
};

/// Read the row and pass it to rowRead(). The read may be stale.
struct ReadTableRow {
  std::string m_Key;
};

/// A current owner row, learned because a claim was made with an old version of it.
struct OwnerRowSeen {
  TableRow m_Row;
};

using ClaimAction = std::variant<SendClaimWrite, ReadTableRow, OwnerRowSeen, ClaimDecision>;
using ClaimActions = std::vector<ClaimAction>;

/// Makes and resolves the claims of one entry instance.
///
/// A claim is inserted on condition that its row is absent (or is exactly the `notRun` row that was
/// seen), that the owner row has the known version and that the key's epoch is accepted. A write
/// whose outcome is not known is sent again through another batcher with the same claim id: the
/// conflict that it meets carries the current row and so tells whether the first copy committed.
/// When that fails too, the request is not run, and a conditional `notRun` write makes any late
/// copy of the claim fail. No claim of another process is ever replaced unless its state is
/// `notRun`.
class ClaimCoordinator {
public:
  /// Batchers per data centre.
  static constexpr std::size_t ActiveBatchers = 2;
  /// A batcher that does not answer in this time is replaced by the next.
  static constexpr Duration BatcherTimeout = std::chrono::milliseconds(700);
  /// Time for which a batcher that did not answer is passed over.
  static constexpr Duration BatcherAvoidance = std::chrono::seconds(5);
  /// Submissions of a claim before the entry gives up.
  static constexpr int MaxSubmissions = 3;
  /// Times that a claim is made anew because of an expired epoch version or a `notRun` row.
  static constexpr int MaxAttempts = 4;
  /// Tries to write a `notRun` or a result; then the row stays `claimed`.
  static constexpr int MaxResolveTries = 200;
  static constexpr Duration ResolveBackoff = std::chrono::milliseconds(500);
  static constexpr Duration MaxResolveBackoff = std::chrono::seconds(5);
  /// Claims known at a time, each with at most one recorded answer (64 MiB in all); a further
  /// request is refused as not run (Overloaded).
  static constexpr std::size_t MaxClaims = 4096;
  /// Requests that wait for another with the same key; a further one gets `unknown`.
  static constexpr std::size_t MaxWaiters = 1024;
  /// Longest wait for another request with the same key.
  static constexpr Duration MaxWait = std::chrono::seconds(10);
  /// 340 entries x 4 reads/s stay within the 2,000 reads/s that the platform sustains.
  static constexpr Duration ReadInterval = std::chrono::milliseconds(250);
  /// Claims with state `unknown` that can still be resolved; the oldest is forgotten first.
  static constexpr std::size_t MaxUnresolved = 1024;

  struct Options {
    InstanceId m_Self;
    /// Unique to this process for the life of the deployment; claim ids start with it.
    std::string m_ProcessId;
    /// Whether the entry instance is believed to be alive. A wait for its claim ends if not.
    std::function<bool(const InstanceId &)> m_IsEntryAlive;
  };

  struct Counters {
    std::uint64_t m_Granted = 0;
    std::uint64_t m_Repeats = 0;
    std::uint64_t m_BatcherTimeouts = 0;
    /// Claims whose row could not be brought up to date within MaxResolveTries.
    std::uint64_t m_LeftUnresolved = 0;
  };

  explicit ClaimCoordinator(Options Settings) : m_Options(std::move(Settings)) {}

  /// The live entry instances of this data centre, this one included.
  void setEntries(std::vector<InstanceId> Entries);
  /// The row `claim-epoch`, read at the start and whenever it changes. Until the first one, claims
  /// are refused as not run.
  void setEpochRow(const TableRow &Row);

  ClaimActions claim(const ClaimRequest &Request, TimePoint Now);
  ClaimActions writeResult(const ClaimWriteResult &Result, TimePoint Now);
  /// `Row` is nothing if the read failed.
  ClaimActions rowRead(const std::string &Key, const std::optional<TableRow> &Row, TimePoint Now);
  /// The request will not be dispatched: its caller left or its deadline passed. No decision
  /// follows. Must not be called once the request was dispatched.
  ClaimActions abandon(const RequestId &Request, TimePoint Now);
  /// Records what came of a granted claim. `unknown` may be followed by a later, known outcome.
  ClaimActions resolve(const RequestId &Request, ClaimState Outcome,
                       std::optional<RecordedAnswer> Answer, TimePoint Now);
  ClaimActions onTimer(TimePoint Now);
  std::optional<TimePoint> nextTimer() const;

  /// The batchers in the order in which this entry would use them for `Key` at `Now`.
  std::vector<InstanceId> batchersFor(const IdempotencyKey &Key, TimePoint Now) const;
  std::size_t claimCount() const { return m_Claims.size(); }
  /// Claims that still have a write under way or wait for one.
  std::size_t unfinishedCount() const;
  const Counters &counters() const { return m_Counters; }

private:
  enum class Phase {
    /// The insert was sent; its outcome is not known.
    Claiming,
    /// Another request with the same key holds the claim.
    Waiting,
    /// Committed; the lifecycle works on it.
    Granted,
    /// Given up before the claim was known to be committed; `notRun` is being written.
    Withdrawing,
    /// The outcome in m_Row is being written.
    Resolving,
    /// The row has state `unknown`; a known outcome may still come.
    Settled,
    /// Nothing more will happen; removed at the end of the event.
    Finished,
  };

  struct Claim {
    ClaimRequest m_Request;
    Phase m_Phase = Phase::Claiming;
    ClaimRow m_Row;
    /// Version on which the current write is conditional.
    RowVersion m_Version;
    /// Version of the epoch row with which the key's epoch was compared.
    RowVersion m_EpochVersion;
    int m_Attempts = 0;
    /// Submissions of the current write; all of them are still valid.
    std::vector<ClaimTicket> m_Tickets;
    int m_Tries = 0;
    /// When the current submission times out or the next one is due.
    std::optional<TimePoint> m_Due;
    /// The due time is that of a new submission, not of a timeout.
    bool m_Idle = false;
    InstanceId m_Batcher;
    /// Outcome that became known while an earlier one was being written.
    std::optional<std::pair<ClaimState, std::optional<RecordedAnswer>>> m_Next;
  };

  void submit(Claim &Entry, TimePoint Now, ClaimActions &Actions);
  void startClaim(Claim &Entry, RowVersion Version, TimePoint Now, ClaimActions &Actions);
  void giveUp(Claim &Entry, TimePoint Now, ClaimActions &Actions);
  void startResolution(Claim &Entry, Phase As, TimePoint Now, ClaimActions &Actions);
  void claimAnswered(Claim &Entry, const ClaimWriteResult &Result, TimePoint Now,
                     ClaimActions &Actions);
  void rowFound(Claim &Entry, const TableRow &Row, TimePoint Now, ClaimActions &Actions);
  void resolutionAnswered(Claim &Entry, const ClaimWriteResult &Result, TimePoint Now,
                          ClaimActions &Actions);
  void resolutionWritten(Claim &Entry, TimePoint Now, ClaimActions &Actions);
  void retryLater(Claim &Entry, TimePoint Now);
  void timedOut(Claim &Entry, TimePoint Now, ClaimActions &Actions);
  void grant(Claim &Entry, RowVersion Version, ClaimActions &Actions);
  /// Gives the decision to the request and to those of this entry that wait for it.
  void decide(Claim &Entry, ClaimVerdict Verdict, ErrorKind Error, ClaimActions &Actions,
              const std::optional<RecordedAnswer> &Answer = std::nullopt);
  void endWaits(const std::string &Key, ClaimVerdict Verdict, ErrorKind Error,
                const std::optional<RecordedAnswer> &Answer, ClaimActions &Actions);
  void joinHolder(Claim &Entry, const Claim &Holder, TimePoint Now, ClaimActions &Actions);
  void wait(Claim &Entry, TimePoint Now, ClaimActions &Actions);
  bool isHolder(const Claim &Entry) const;
  void finish(Claim &Entry);
  void forgetTickets(Claim &Entry);
  void setDue(Claim &Entry, std::optional<TimePoint> Due, bool Idle = false);
  void readNextRow(TimePoint Now, ClaimActions &Actions);
  void removeFinished();
  static std::string rowKey(const Claim &Entry);

  Options m_Options;
  std::vector<InstanceId> m_Ranked;
  std::map<InstanceId, TimePoint> m_AvoidedUntil;
  std::optional<RowVersion> m_EpochVersion;
  ClaimEpoch m_OldestEpoch;
  std::unordered_map<RequestId, Claim> m_Claims;
  std::unordered_map<ClaimTicket, RequestId> m_Tickets;
  /// Claims of this entry whose outcome is open, by row key.
  std::unordered_map<std::string, RequestId> m_Holders;
  /// Requests that wait for a row, in the order in which the row is read for them.
  std::deque<std::pair<std::string, RequestId>> m_Waiters;
  std::multimap<TimePoint, RequestId> m_Timers;
  std::deque<RequestId> m_Settled;
  std::vector<RequestId> m_Finished;
  std::optional<TimePoint> m_NextRead;
  std::uint64_t m_NextTicket = 1;
  std::uint64_t m_NextClaim = 1;
  Counters m_Counters;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CLAIMCOORDINATOR_H
