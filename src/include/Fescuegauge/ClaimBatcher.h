#ifndef FESCUEGAUGE_CLAIMBATCHER_H
#define FESCUEGAUGE_CLAIMBATCHER_H

#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Table.h"
#include "Fescuegauge/Units.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuegauge {

/// Identifies one submission of a claim write: "PROCESS.tN". It contains the process id so that a
/// process does not accept a result that was addressed to an earlier process of its instance.
using ClaimTicket = StrongId<struct ClaimTicketTag>;

/// A conditional write of one claim row, which is committed in a transaction with other writes.
struct ClaimWrite {
  ClaimTicket m_Ticket;
  /// The claim row and its required version.
  RowCondition m_Row;
  std::string m_Value;
  /// Required versions of further rows (owner row, claim-epoch), which many writes share.
  std::vector<RowCondition> m_Guards;
};

enum class ClaimWriteStatus {
  /// The row was written.
  Committed,
  /// The claim row had another version; nothing was written.
  Conflict,
  /// A guard had another version; nothing was written.
  GuardFailed,
  /// Nothing was written, and no later effect is possible.
  NotWritten,
  /// The write may have taken effect or may still take effect.
  Unknown,
};

struct ClaimWriteResult {
  ClaimTicket m_Ticket;
  ClaimWriteStatus m_Status = ClaimWriteStatus::Unknown;
  /// On Conflict and GuardFailed: the current row whose version differed. It is never a stale read.
  TableRow m_Current;
  /// On NotWritten: TableUnreachable or Overloaded.
  ErrorKind m_Reason = ErrorKind::TableUnreachable;
};

/// Actions that the owner of a ClaimBatcher must perform.
struct ClaimBatcherActions {
  struct Answer {
    InstanceId m_To;
    ClaimWriteResult m_Result;
  };
  /// Transactions to send to the table. Their results are passed to onCommit().
  std::vector<Transaction> m_Commits;
  /// Results to send to the entries that submitted the writes.
  std::vector<Answer> m_Answers;
};

/// Batches the claim writes of the entry instances of a data centre into few transactions.
///
/// At most one transaction, new or retried, is sent per MinInterval; a write that is submitted
/// after an idle interval is sent immediately. A conflicting row is dropped from its transaction
/// and the other rows are written again under a new write id. A transaction without a result is
/// retried with the same write id and therefore cannot take effect twice. Correctness does not
/// depend on which process does the batching, so a batcher has no state that must survive a
/// restart.
class ClaimBatcher {
public:
  /// Keeps two batchers in each of four data centres within 400 transactions/s.
  static constexpr Duration MinInterval = std::chrono::milliseconds(25);
  /// Queued writes. Further writes are answered NotWritten (Overloaded) immediately.
  static constexpr std::size_t MaxQueued = 1024;
  /// Transactions in flight. No new one is sent while the limit is reached.
  static constexpr std::size_t MaxInFlight = 4;
  /// Retries of a transaction without a result. After them its writes are answered Unknown.
  static constexpr int MaxRetries = 3;
  /// Delay before the first retry; it doubles with each further one.
  static constexpr Duration InitialRetryDelay = std::chrono::milliseconds(50);
  /// Times that a write is sent again because other rows of its transaction conflicted. After them
  /// it is answered NotWritten.
  static constexpr int MaxRewrites = 8;
  /// Period after the table was unreachable in which writes are answered NotWritten without being
  /// sent.
  static constexpr Duration UnreachableBackoff = std::chrono::milliseconds(500);
  /// Tracked tickets of submissions that were answered NotWritten. The oldest is evicted first.
  static constexpr std::size_t MaxRefusedTickets = 1024;
  /// Total bytes of row values in one transaction. A single larger value is sent alone.
  static constexpr std::size_t MaxTransactionBytes = std::size_t{256} * 1024;

  /// `WriteIdPrefix` must be unique to this process over the lifetime of the deployment.
  explicit ClaimBatcher(std::string WriteIdPrefix) : m_Prefix(std::move(WriteIdPrefix)) {}

  /// A duplicate of a submission that is pending or was answered NotWritten is ignored, because
  /// writing it would make the NotWritten result false.
  ClaimBatcherActions submit(const InstanceId &From, ClaimWrite Write, TimePoint Now);
  ClaimBatcherActions onCommit(const WriteId &Id, const CommitResult &Result, TimePoint Now);
  ClaimBatcherActions onTimer(TimePoint Now);
  /// Time of the next onTimer() call; nullopt if none is needed.
  std::optional<TimePoint> nextTimer() const;

  std::size_t queued() const { return m_Queue.size(); }
  std::size_t inFlight() const { return m_InFlight.size(); }
  std::uint64_t transactionsSent() const { return m_TransactionsSent; }
  std::uint64_t rowsCommitted() const { return m_RowsCommitted; }

private:
  struct PendingWrite {
    InstanceId m_Submitter;
    ClaimWrite m_Write;
    int m_Rewrites = 0;
  };
  struct Batch {
    Transaction m_Transaction;
    std::vector<PendingWrite> m_Writes;
    int m_Retries = 0;
    /// Set while a retry is scheduled; otherwise the transaction is in flight.
    std::optional<TimePoint> m_RetryAt;
  };

  void sendNextTransaction(TimePoint Now, ClaimBatcherActions &Actions);
  Batch composeBatch();
  void answer(const PendingWrite &Pending, ClaimWriteStatus Status, ClaimBatcherActions &Actions,
              TableRow Current = {}, ErrorKind Reason = ErrorKind::TableUnreachable);
  void handleConflict(Batch Failed, const CommitResult &Result, ClaimBatcherActions &Actions);
  void rejectQueuedWrites(ClaimBatcherActions &Actions);

  std::string m_Prefix;
  std::deque<PendingWrite> m_Queue;
  std::map<WriteId, Batch> m_InFlight;
  /// Tickets of submissions that are pending or were answered NotWritten.
  std::set<ClaimTicket> m_KnownTickets;
  std::deque<ClaimTicket> m_RefusedTickets;
  std::optional<TimePoint> m_LastSentAt;
  std::optional<TimePoint> m_BackoffUntil;
  std::uint64_t m_NextWriteId = 1;
  std::uint64_t m_TransactionsSent = 0;
  std::uint64_t m_RowsCommitted = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CLAIMBATCHER_H
