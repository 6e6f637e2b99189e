#ifndef FESCUEGAUGE_CHANGEWRITER_H
#define FESCUEGAUGE_CHANGEWRITER_H

#include "Fescuegauge/Configuration.h"
#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/Units.h"

namespace fescuegauge {

/// A change that an operator asks for.
struct ChangeRequest {
  /// Chosen by the operator's command and kept when it sends the change again.
  ChangeId m_Id;
  std::string m_Author;
  /// The number that the operator saw; nothing to apply to whatever is in force.
  std::optional<ChangeNumber> m_Base;
  std::vector<DeclarationEdit> m_Edits;
};

struct ChangeOutcome {
  enum class Status {
    /// The change is durable under m_Number.
    Accepted,
    /// Nothing differs from what is in force; no change was made.
    Unchanged,
    /// The change did not take effect and will not.
    Refused,
    /// The table did not answer in time; the change may take effect. Asking again with the same
    /// change id is harmless and tells.
    Unknown,
  };

  Status m_Status = Status::Unknown;
  ChangeNumber m_Number;
  /// For Refused: StaleBaseVersion, InvalidDeclaration or TableUnreachable; for Unknown:
  /// OutcomeUnknown.
  ErrorKind m_Error = ErrorKind::OutcomeUnknown;
  /// For a person: who changed what, or what is wrong.
  std::string m_Message;
};

/// Takes one change to the table and finds out whether it took effect.
///
/// The caller carries out the actions, in order, and reports each result; it may report failures as
/// often as they happen. The transaction is conditional on `config/head`, so that exactly one of
/// several racing changes takes each number. After a lost answer the same transaction is sent again
/// under the same write id; a conflict shows the current head, which remembers recent change ids.
class ChangeWriter {
public:
  /// An operator gets an outcome within this time.
  static constexpr Duration Deadline = std::chrono::seconds(10);
  /// Pause before a request to the table is repeated.
  static constexpr Duration RetryAfter = std::chrono::milliseconds(250);
  /// Times that a change without a base is moved onto a newer head before it is refused.
  static constexpr int MaxRebases = 8;
  /// Rows `config/change/NUMBER` that are kept; the change after that many deletes the oldest.
  static constexpr std::uint64_t HistoryLimit = 16384;

  /// Names in the message of a refusal.
  static constexpr std::size_t MaxNamedChanges = 8;

  struct ReadRow {
    std::string m_Key;
  };
  struct Write {
    Transaction m_Transaction;
  };
  /// The instance's replica must reach this number; then call onConfiguration().
  struct CatchUp {
    ChangeNumber m_Number;
  };
  /// The last action. An accepted configuration comes with it, for the replica to adopt.
  struct Finish {
    ChangeOutcome m_Outcome;
    std::optional<Configuration> m_Accepted;
  };
  using Action = std::variant<ReadRow, Write, CatchUp, Finish>;
  using Actions = std::vector<Action>;

  /// Rules that a test switches off to show that it notices. Production code keeps the defaults.
  struct Rules {
    bool m_HeadCondition = true;
    bool m_RecogniseOwnChange = true;
    bool m_RefuseStaleBase = true;
  };

  ChangeWriter(ChangeRequest Request, Rules Enabled);
  explicit ChangeWriter(ChangeRequest Request) : ChangeWriter(std::move(Request), Rules()) {}

  /// `InForce` is the configuration of this instance's replica.
  Actions start(const Configuration &InForce, TimePoint Now);
  /// A row that was asked for; nothing when the read failed.
  Actions onRow(const std::string &Key, const std::optional<TableRow> &Row, TimePoint Now);
  /// The result of the transaction with that write id.
  Actions onCommit(const WriteId &Id, const CommitResult &Result, TimePoint Now);
  /// The replica's configuration changed.
  Actions onConfiguration(const Configuration &InForce, TimePoint Now);
  Actions onTime(TimePoint Now);
  TimePoint nextWake() const { return m_Wake; }
  bool isFinished() const { return m_Phase == Phase::Finished; }

private:
  enum class Phase { ReadingHead, Writing, ReadingChange, CatchingUp, Finished };

  Actions readHead(TimePoint Now);
  Actions onHead(const ConfigurationHead &Head, RowVersion Version, TimePoint Now);
  Actions write(const ConfigurationHead &Head, RowVersion Version, TimePoint Now);
  Actions resolve(const ConfigurationHead &Head, RowVersion Version, TimePoint Now);
  Actions finish(ChangeOutcome Outcome, std::optional<Configuration> Accepted = {});
  Actions accepted(ChangeNumber Number);
  Actions refusedAsStale(const ConfigurationHead &Head, TimePoint Now);
  std::string changedSince(ChangeNumber Base) const;
  /// The action to repeat when the pending one did not answer.
  Actions pending();

  ChangeRequest m_Request;
  Rules m_Rules;
  Phase m_Phase = Phase::ReadingHead;
  Configuration m_InForce;
  TimePoint m_Deadline{};
  TimePoint m_Wake{};
  int m_Rebases = 0;
  /// The transaction was sent and its outcome is not known.
  bool m_InDoubt = false;
  /// Sends of the present transaction that may still reach the table.
  int m_Unanswered = 0;
  Transaction m_Transaction;
  Configuration m_Result;
  std::string m_PendingKey;
  ConfigurationHead m_Head;
  RowVersion m_HeadVersion;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CHANGEWRITER_H
