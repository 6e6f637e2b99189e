#ifndef FESCUEGAUGE_HANDOVER_H
#define FESCUEGAUGE_HANDOVER_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/RowKeys.h"
#include "Fescuegauge/Table.h"
#include "Fescuegauge/Units.h"

#include <optional>
#include <string_view>
#include <variant>

namespace fescuegauge {

/// The row `owner/SERVICE/ACCOUNT`: the generation that runs the account's non-idempotent work of
/// the service. A claim is conditional on the row's version and allowed only in state Owned.
struct OwnerRow {
  enum class State {
    Owned,
    /// No new claims: the generation's open claims must end before m_Next becomes the owner.
    Paused,
  };

  State m_State = State::Owned;
  GenerationId m_Generation;
  /// The next owner; set only in state Paused.
  GenerationId m_Next;

  std::string encode() const;
  static std::optional<OwnerRow> decode(std::string_view Text);
  bool operator==(const OwnerRow &) const = default;
};

/// Returns the transaction that creates the owner row of an account that has none, so that claims
/// can be conditional on it. If another process was first, the conflict contains the row.
Transaction createOwnerTransaction(const ServiceId &Service, const ClientAccountId &Account,
                                   const GenerationId &Generation, const WriteId &Id);

/// Returns the generation in which a claim may run; nullopt while paused.
std::optional<GenerationId> generationForClaim(const OwnerRow &Owner);

/// Moves one account of one service from its generation to another.
///
/// 1. `owned by from` -> `paused`, conditional on the row. From then on no claim commits.
/// 2. Waits until no claim of the old generation is open. Since a scan may be stale, markers are
///    written among the account's claim rows after the pause, and a page of claims is valid only if
///    it contains its marker: the page was then read from a state not older than the pause. This
///    relies on each scan response being a consistent snapshot of the table.
/// 3. `paused` -> `owned by to`, conditional on the row. Deletes the markers.
///
/// A second process that runs the same handover, or an aborted one that is restarted, continues
/// from the state in the rows. A handover that is not drained within DrainTimeout is rolled back.
class Handover {
public:
  /// Number of claims in one page of a scan.
  static constexpr std::size_t PageRows = 256;
  /// Maximum number of pages and therefore markers; an account with more claims can be handed over
  /// once old ones have expired.
  static constexpr std::size_t MaxPages = 60;
  /// Interval between two scans for open claims.
  static constexpr Duration DrainPollInterval = std::chrono::milliseconds(500);
  /// Maximum time for which one handover blocks an account's claims.
  static constexpr Duration DrainTimeout = std::chrono::seconds(30);
  /// Interval after which an unanswered request to the table is repeated.
  static constexpr Duration RetryInterval = std::chrono::milliseconds(250);

  struct ReadRow {
    std::string m_Key;
  };
  /// Reads at most m_Limit rows with the prefix and a key greater than m_After, in order of key.
  struct Scan {
    std::string m_Prefix;
    std::string m_After;
    std::size_t m_Limit = 0;
  };
  struct Write {
    Transaction m_Transaction;
  };
  enum class Result {
    /// The new generation owns the account.
    Done,
    /// Claims stayed open; the old generation still owns the account.
    NotDrained,
    /// Another handover is in progress, or the owner is not `From`.
    Refused,
    /// The claims do not fit into MaxPages pages.
    TooManyClaims,
  };
  struct Finish {
    Result m_Result;
  };
  using Action = std::variant<ReadRow, Scan, Write, Finish>;
  using Actions = std::vector<Action>;

  /// Rules that a test can disable to show that it detects their absence. Production code keeps the
  /// defaults.
  struct Rules {
    bool m_PauseFirst = true;
    bool m_AwaitOpenClaims = true;
    bool m_RequireMarkers = true;
    bool m_OwnerCondition = true;
  };

  /// `Attempt` makes the write ids of this object unique.
  Handover(ServiceId Service, ClientAccountId Account, GenerationId From, GenerationId To,
           std::string Attempt, Rules Enabled);
  Handover(ServiceId Service, ClientAccountId Account, GenerationId From, GenerationId To,
           std::string Attempt)
      : Handover(std::move(Service), std::move(Account), std::move(From), std::move(To),
                 std::move(Attempt), Rules()) {}

  Actions start(TimePoint Now);
  Actions onRow(const std::string &Key, const std::optional<TableRow> &Row, TimePoint Now);
  /// `Rows` is nullopt if the scan failed.
  Actions onScan(const std::string &After, const std::optional<std::vector<TableRow>> &Rows,
                 TimePoint Now);
  Actions onCommit(const WriteId &Id, const CommitResult &Result, TimePoint Now);
  Actions onTimer(TimePoint Now);
  TimePoint nextTimer() const { return m_NextTimerAt; }
  bool isFinished() const { return m_Phase == Phase::Finished; }

private:
  enum class Phase {
    ReadingOwner,
    Pausing,
    FindingPages,
    WritingMarkers,
    Draining,
    Completing,
    RollingBack,
    Finished
  };

  Actions pendingActions() const;
  Actions onOwner(const OwnerRow &Owner, TablePosition Position, TimePoint Now);
  Actions write(Phase Next, std::optional<OwnerRow> Put, TimePoint Now);
  Actions findPages(TimePoint Now);
  Actions readOwner(TimePoint Now);
  Actions complete(TimePoint Now);
  Actions finish(Result Outcome);
  std::string claimPrefix() const;

  ServiceId m_Service;
  ClientAccountId m_Account;
  GenerationId m_From;
  GenerationId m_To;
  std::string m_Attempt;
  Rules m_Rules;
  Phase m_Phase = Phase::ReadingOwner;
  TimePoint m_NextTimerAt{};
  TimePoint m_DrainDeadline{};
  bool m_IsOwnerPaused = false;
  TablePosition m_OwnerPosition;
  std::uint64_t m_WriteCount = 0;
  Transaction m_Transaction;
  /// Keys of the markers, in order; page I is between marker I-1 and marker I.
  std::vector<std::string> m_Markers;
  std::string m_MarkerValue;
  std::size_t m_CurrentPage = 0;
  std::string m_After;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_HANDOVER_H
