#ifndef FESCUEGAUGE_TABLE_H
#define FESCUEGAUGE_TABLE_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/TablePosition.h"

#include <string>
#include <vector>

namespace fescuegauge {

/// A row read from the platform's table. An absent row has version 0, in the table's current epoch,
/// and an empty value.
struct TableRow {
  std::string m_Key;
  std::string m_Value;
  TablePosition m_Position;

  bool isAbsent() const { return m_Position.m_Version == RowVersion(); }
};

/// The transaction commits only if the row was last written at this position, or is absent if the
/// version is 0. A row that was written after a restore of the table may have the same version as
/// one that was lost, but not the same epoch.
struct RowCondition {
  std::string m_Key;
  TablePosition m_Position;

  bool holds(const TableRow &Current) const {
    return Current.isAbsent() ? m_Position.m_Version == RowVersion()
                              : m_Position == Current.m_Position;
  }
};

struct RowPut {
  std::string m_Key;
  std::string m_Value;
};

/// Conditions, puts and deletions that are committed atomically. Transactions are idempotent: a
/// repetition with the same write id returns the outcome of the first and changes nothing.
struct Transaction {
  /// Limit of the platform: at most this many conditions, and at most this many puts and deletions.
  static constexpr std::size_t MaxRows = 64;

  WriteId m_WriteId;
  std::vector<RowCondition> m_Conditions;
  std::vector<RowPut> m_Puts;
  std::vector<std::string> m_Deletes;
};

enum class CommitStatus {
  /// The transaction took effect.
  Committed,
  /// A condition did not hold; nothing was changed.
  Conflict,
  /// The request did not reach the table; nothing was changed.
  Unreachable,
  /// No response arrived; the transaction may have taken effect or may still do so.
  Unknown,
};

struct CommitResult {
  CommitStatus m_Status = CommitStatus::Unknown;
  /// On Conflict: the current rows of the violated conditions.
  std::vector<TableRow> m_Conflicts;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_TABLE_H
