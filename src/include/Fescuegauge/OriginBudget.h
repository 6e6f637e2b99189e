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

/// The content of row `grant/ROLLOUT`: how many bytes of one rollout may leave the origin and who
/// was granted them.
struct GrantRow {
  /// Grants beyond this number push the oldest id out of the row; a lost response to that grant can
  /// no longer be read back, and the grant counts as spent.
  static constexpr std::size_t MaxGrants = 64;

  Bytes m_Budget;
  Bytes m_Granted;
  /// Write id and size of the latest grants, oldest first.
  std::deque<std::pair<WriteId, Bytes>> m_Grants;

  /// JSON text: {"budget":N,"granted":N,"grants":[["ID",N],...]}.
  std::string encode() const;
  /// Nothing if `Text` is not what encode() writes.
  static std::optional<GrantRow> parse(std::string_view Text);
};

/// Reads the row with the given key.
struct ReadRow {
  std::string m_Key;
};

/// What the owner of an OriginBudget must do next.
using TableAction = std::variant<Transaction, ReadRow>;

/// Acquires permission for one process to fetch bytes of one rollout from the origin.
///
/// The budget of a rollout is `CopiesLimit` times the size of the version. Permission is acquired
/// in pieces by conditional writes, so that no combination of views and failures exceeds the
/// budget. A piece is used only after its write is known to have been committed. A lost response is
/// resolved by reading the row back and by repeating the write under its id; if neither succeeds,
/// the piece counts as spent. At most one table operation is in progress.
class OriginBudget {
public:
  /// Copies of a version that may leave the origin during one rollout, whatever fails.
  static constexpr std::uint64_t CopiesLimit = 4;
  /// Attempts to resolve one lost response before the piece is given up.
  static constexpr int MaxResolveAttempts = 8;
  /// Wait after the table could not be reached or did not answer.
  static constexpr Duration RetryInterval = std::chrono::seconds(1);
  /// A piece is at most this share of what is left, so that waste by lost grants shrinks with the
  /// remaining budget and some of it stays for the processes that come later.
  static constexpr std::uint64_t PieceDivisor = 4;
  /// When more than this part of the budget was granted, isScarce() becomes true and a piece is
  /// only the least that is of use. A rollout without failures stays below it.
  static constexpr std::uint64_t ScarceDivisor = 2;

  /// Each rule is on in production. Tests switch one off to show that they notice its absence.
  struct Rules {
    bool m_CheckBudget = true;
    bool m_ConditionalWrite = true;
    bool m_ResolveLostResponse = true;
  };

  /// `Owner` distinguishes the write ids of this process and incarnation from all others.
  OriginBudget(const RolloutId &Rollout, Bytes VersionSize, std::string Owner, Rules Enabled);
  OriginBudget(const RolloutId &Rollout, Bytes VersionSize, std::string Owner)
      : OriginBudget(Rollout, VersionSize, std::move(Owner), Rules()) {}

  /// Asks for `Wanted` bytes, of which at least `Least` are of use. Ignored while an earlier
  /// request is in progress.
  void request(Bytes Wanted, Bytes Least, TimePoint Now);
  /// The next table operation, if one is due. Its result must be reported before the next one.
  std::optional<TableAction> poll(TimePoint Now);
  /// The result of the transaction; returns the bytes that may now be fetched, often none.
  Bytes onCommit(const CommitResult &Result, TimePoint Now);
  /// The row as read, or nothing if the table did not answer; returns as onCommit().
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
  Bytes m_Least;
  Bytes m_Piece;
  std::uint64_t m_Sequence = 0;
  int m_ResolveAttempts = 0;
  GrantRow m_Row;
  RowVersion m_Version;
  Transaction m_Sent;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ORIGINBUDGET_H
