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

/// Identifies one submission of a claim write: "PROCESS.tN". It names the process, because an
/// answer to an earlier process of the same instance must not be taken for one to the present
/// process.
using ClaimTicket = StrongId<struct ClaimTicketTag>;

/// A conditional write of one claim row, to be committed together with others.
struct ClaimWrite {
  ClaimTicket m_Ticket;
  /// The claim row and the version that it must have.
  RowCondition m_Row;
  std::string m_Value;
  /// Further rows that must have a version (owner row, claim-epoch); shared by many writes.
  std::vector<RowCondition> m_Guards;
};

enum class ClaimWriteStatus {
  /// The row was written.
  Committed,
  /// The claim row had another version; nothing was written.
  Conflict,
  /// A guard had another version; nothing was written.
  GuardFailed,
  /// Nothing was written and nothing will be.
  NotWritten,
  /// The write may have taken effect or may still do so.
  Unknown,
};

struct ClaimWriteResult {
  ClaimTicket m_Ticket;
  ClaimWriteStatus m_Status = ClaimWriteStatus::Unknown;
  /// On Conflict and GuardFailed: the row that had another version. It is never a stale read.
  TableRow m_Current;
  /// On NotWritten: TableUnreachable or Overloaded.
  ErrorKind m_Reason = ErrorKind::TableUnreachable;
};

/// What a batcher wants done.
struct ClaimBatcherActions {
  struct Answer {
    InstanceId m_To;
    ClaimWriteResult m_Result;
  };
  /// To be sent to the table; the result comes back through onCommit().
  std::vector<Transaction> m_Commits;
  /// To be sent to the entries that submitted the writes.
  std::vector<Answer> m_Answers;
};

/// Combines the claim writes of the entry instances of a data centre into few transactions.
///
/// At most one transaction, first or repeated, is sent per MinInterval; a write that arrives after
/// an idle interval is sent at once. A row that conflicts is dropped from its transaction and the
/// other rows are written again under a new write id. A transaction without an answer is repeated
/// with the same write id, which cannot take effect twice. Correctness does not depend on which
/// process batches, so a batcher keeps no state that must survive it.
class ClaimBatcher {
public:
  /// Two batchers in each of four data centres stay within 400 transactions/s.
  static constexpr Duration MinInterval = std::chrono::milliseconds(25);
  /// Writes that wait; a further one is answered NotWritten (Overloaded) at once.
  static constexpr std::size_t MaxQueued = 1024;
  /// Transactions without an answer; new ones wait.
  static constexpr std::size_t MaxInFlight = 4;
  /// Repeats of a transaction without an answer; then its writes are answered Unknown.
  static constexpr int MaxRepeats = 3;
  static constexpr Duration RepeatAfter = std::chrono::milliseconds(50);
  /// Times that a write may be sent again because of other rows' conflicts; then NotWritten.
  static constexpr int MaxRewrites = 8;
  /// Time after an unreachable table in which writes are answered NotWritten without a try.
  static constexpr Duration RefuseAfterUnreachable = std::chrono::milliseconds(500);
  /// Refused submissions that are remembered; the oldest is forgotten first.
  static constexpr std::size_t MaxRefused = 1024;
  /// Bytes of row values in one transaction; a single larger value is sent alone.
  static constexpr std::size_t MaxTransactionBytes = std::size_t{256} * 1024;

  /// `WriteIdPrefix` must be unique to this process for the life of the deployment.
  explicit ClaimBatcher(std::string WriteIdPrefix) : m_Prefix(std::move(WriteIdPrefix)) {}

  /// A second copy of a submission that waits or was answered NotWritten is ignored, so that
  /// NotWritten stays true.
  ClaimBatcherActions submit(const InstanceId &From, ClaimWrite Write, TimePoint Now);
  ClaimBatcherActions onCommit(const WriteId &Id, const CommitResult &Result, TimePoint Now);
  ClaimBatcherActions onTimer(TimePoint Now);
  /// When onTimer() should be called next; nothing if there is no reason to.
  std::optional<TimePoint> nextTimer() const;

  std::size_t queued() const { return m_Queue.size(); }
  std::size_t inFlight() const { return m_InFlight.size(); }
  std::uint64_t transactionsSent() const { return m_Sent; }
  std::uint64_t rowsCommitted() const { return m_RowsCommitted; }

private:
  struct Pending {
    InstanceId m_From;
    ClaimWrite m_Write;
    int m_Rewrites = 0;
  };
  struct Batch {
    Transaction m_Transaction;
    std::vector<Pending> m_Writes;
    int m_Repeats = 0;
    /// Set while a repeat is due; otherwise an answer is awaited.
    std::optional<TimePoint> m_RepeatAt;
  };

  void sendWhatIsDue(TimePoint Now, ClaimBatcherActions &Actions);
  Batch composeBatch();
  void answer(const Pending &Entry, ClaimWriteStatus Status, ClaimBatcherActions &Actions,
              TableRow Current = {}, ErrorKind Reason = ErrorKind::TableUnreachable);
  void handleConflict(Batch Failed, const CommitResult &Result, ClaimBatcherActions &Actions);
  void refuseQueue(ClaimBatcherActions &Actions);

  std::string m_Prefix;
  std::deque<Pending> m_Queue;
  std::map<WriteId, Batch> m_InFlight;
  /// Submissions that wait for an answer or were refused.
  std::set<ClaimTicket> m_Known;
  std::deque<ClaimTicket> m_Refused;
  std::optional<TimePoint> m_LastSend;
  std::optional<TimePoint> m_RefuseUntil;
  std::uint64_t m_NextWriteId = 1;
  std::uint64_t m_Sent = 0;
  std::uint64_t m_RowsCommitted = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CLAIMBATCHER_H
