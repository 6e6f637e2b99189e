#ifndef FESCUEGAUGE_ORIGINBUDGET_H
#define FESCUEGAUGE_ORIGINBUDGET_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/RowKeys.h"
#include "Fescuegauge/Table.h"
#include "Fescuegauge/Units.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace fescuegauge {

/// The content of row `grant/ROLLOUT`: the origin bytes budgeted for one rollout and the grants
/// made from them.
struct GrantRow {
  /// Maximum number of grants listed in the row. A further grant removes the oldest one; if the
  /// response to that one was lost, it can no longer be read back and counts as spent.
  static constexpr std::size_t MaxGrants = 64;

  Bytes m_Budget;
  Bytes m_Granted;
  /// Write id and size of the latest grants, oldest first.
  std::deque<std::pair<WriteId, Bytes>> m_Grants;

  /// JSON text: {"budget":N,"granted":N,"grants":[["ID",N],...]}.
  std::string encode() const;
  /// Returns nothing if `Text` does not have the format of encode().
  static std::optional<GrantRow> parse(std::string_view Text);
};

/// Reads the row with the given key.
struct ReadRow {
  std::string m_Key;
};

/// A table operation to be carried out by the owner of an OriginBudget.
using TableAction = std::variant<Transaction, ReadRow>;

/// Acquires permission for one process to fetch bytes of one rollout from the origin.
///
/// The budget of a rollout is `CopiesLimit` times the size of the version. Permission is acquired
/// in increments by conditional writes, so that no combination of views and failures exceeds the
/// budget. An increment is used only after its write is known to be committed. A lost response is
/// resolved by reading the row back and by repeating the write under its id; if neither succeeds,
/// the increment counts as spent. At most one table operation is in progress.
class OriginBudget {
public:
  /// Copies of a version that may leave the origin during one rollout, regardless of failures.
  static constexpr std::uint64_t CopiesLimit = 4;
  /// Attempts to resolve one lost response before the increment counts as spent.
  static constexpr int MaxResolveAttempts = 8;
  /// Delay after the table was unreachable or did not answer.
  static constexpr Duration RetryInterval = std::chrono::seconds(1);
  /// An increment is at most the remaining budget divided by this, so that the loss by lost grants
  /// shrinks with the remaining budget and later processes find some of it left.
  static constexpr std::uint64_t IncrementDivisor = 4;
  /// When more than the budget divided by this was granted, isScarce() becomes true and an
  /// increment is only the minimum usable size. A rollout without failures stays below it.
  static constexpr std::uint64_t ScarceDivisor = 2;

  /// All rules are enabled in production. Tests disable single rules and check that it is detected.
  struct Rules {
    bool m_CheckBudget = true;
    bool m_ConditionalWrite = true;
    bool m_ResolveLostResponse = true;
  };

  /// `Owner` distinguishes the write ids of this process and incarnation from all others.
  OriginBudget(const RolloutId &Rollout, Bytes VersionSize, std::string Owner, Rules Enabled);
  OriginBudget(const RolloutId &Rollout, Bytes VersionSize, std::string Owner)
      : OriginBudget(Rollout, VersionSize, std::move(Owner), Rules()) {}

  /// Requests `Wanted` bytes; a grant of less than `MinUsable` bytes is useless. Ignored while an
  /// earlier request is in progress.
  void request(Bytes Wanted, Bytes MinUsable, TimePoint Now);
  /// The next table operation, if one is due. Its result must be reported before the next one.
  std::optional<TableAction> poll(TimePoint Now);
  /// The result of the transaction; returns the bytes that may now be fetched, often none.
  Bytes onCommit(const CommitResult &Result, TimePoint Now);
  /// The row as read, or nothing if the table did not answer. The return value is that of
  /// onCommit().
  Bytes onRead(const std::optional<TableRow> &Row, TimePoint Now);

  /// True while a request is neither granted nor refused.
  bool isPending() const { return m_State != State::Idle; }
  /// True when the last request found too little budget left.
  bool isExhausted() const { return m_Exhausted; }
  /// True when the row, as last read, leaves less than half of the budget.
  bool isScarce() const;
  const std::string &rowKey() const { return m_Key; }

private:
  enum class State { Idle, Read, Write, ResolveRead, ResolveWrite };

  Transaction makeTransaction();
  Bytes finish(Bytes Granted);
  void resolve(TimePoint Now);

  std::string m_Key;
  Bytes m_Budget;
  std::string m_Owner;
  Rules m_Rules;
  State m_State = State::Idle;
  bool m_InProgress = false;
  bool m_Exhausted = false;
  TimePoint m_NotBefore;
  Bytes m_Wanted;
  Bytes m_MinUsable;
  Bytes m_Increment;
  std::uint64_t m_Sequence = 0;
  int m_ResolveAttempts = 0;
  GrantRow m_Row;
  TablePosition m_Position;
  Transaction m_SentTransaction;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ORIGINBUDGET_H
