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

/// The row `owner/SERVICE/ACCOUNT`: which generation runs the account's non-idempotent work of the
/// service. A claim is conditional on the row's version and allowed only in state Owned.
struct OwnerRow {
  enum class State {
    Owned,
    /// No claims: the generation's open claims are awaited before m_Next becomes the owner.
    Paused,
  };

  State m_State = State::Owned;
  GenerationId m_Generation;
  /// Set while paused.
  GenerationId m_Next;

  std::string encode() const;
  static std::optional<OwnerRow> decode(std::string_view Text);
  bool operator==(const OwnerRow &) const = default;
};

/// Creates the owner row of an account that has none, so that a claim has a row to be conditional
/// on. When another process was first, the conflict has the row.
Transaction initialOwner(const ServiceId &Service, const ClientAccountId &Account,
                         const GenerationId &Generation, const WriteId &Id);

/// The generation in which a claim may run, given the owner row; nothing while paused.
std::optional<GenerationId> generationForClaim(const OwnerRow &Owner);

/// Moves one account of one service from its generation to another.
///
/// 1. `owned by from` -> `paused`, conditional on the row. From then on no claim commits.
/// 2. Waits until no claim of the old generation is open. Since a scan may be stale, markers are
///    written among the account's claim rows after the pause, and a page of claims counts only if
///    it shows its marker: the state that it was read from is then not older than the pause. This
///    relies on one scan response showing one state of the table.
/// 3. `paused` -> `owned by to`, conditional on the row. Deletes the markers.
///
/// A second process that runs the same handover, or an aborted one that is started again, goes on
/// where the rows say. A pause that cannot be completed within DrainLimit is undone.
class Handover {
public:
  /// Claims in one page of a scan.
  static constexpr std::size_t PageRows = 256;
  /// Pages, and so markers; an account with more claims is handed over after old ones expire.
  static constexpr std::size_t MaxPages = 60;
  /// Pause between two looks at the open claims.
  static constexpr Duration DrainInterval = std::chrono::milliseconds(500);
  /// An account is refused claims for at most this long by one handover.
  static constexpr Duration DrainLimit = std::chrono::seconds(30);
  /// Pause before a request to the table is repeated.
  static constexpr Duration RetryAfter = std::chrono::milliseconds(250);

  struct ReadRow {
    std::string m_Key;
  };
  /// Rows with the prefix and a key greater than m_After, in order, at most m_Limit.
  struct Scan {
    std::string m_Prefix;
    std::string m_After;
    std::size_t m_Limit = 0;
  };
  struct Write {
    Transaction m_Transaction;
  };
  enum class Result {
    /// The account belongs to the new generation.
    Done,
    /// Claims stayed open; the account belongs to the old generation as before.
    NotDrained,
    /// The row is in another handover or has an unexpected owner.
    Refused,
    /// More claims than MaxPages pages.
    TooManyClaims,
  };
  struct Finish {
    Result m_Result;
  };
  using Action = std::variant<ReadRow, Scan, Write, Finish>;
  using Actions = std::vector<Action>;

  /// Rules that a test switches off to show that it notices. Production code keeps the defaults.
  struct Rules {
    bool m_PauseFirst = true;
    bool m_AwaitDrained = true;
    bool m_RequireMarkers = true;
    bool m_OwnerCondition = true;
  };

  /// `Attempt` distinguishes the write ids of this object from those of any other.
  Handover(ServiceId Service, ClientAccountId Account, GenerationId From, GenerationId To,
           std::string Attempt, Rules Enabled);
  Handover(ServiceId Service, ClientAccountId Account, GenerationId From, GenerationId To,
           std::string Attempt)
      : Handover(std::move(Service), std::move(Account), std::move(From), std::move(To),
                 std::move(Attempt), Rules()) {}

  Actions start(TimePoint Now);
  Actions onRow(const std::string &Key, const std::optional<TableRow> &Row, TimePoint Now);
  /// The rows of the last scan; nothing when it failed.
  Actions onScan(const std::string &After, const std::optional<std::vector<TableRow>> &Rows,
                 TimePoint Now);
  Actions onCommit(const WriteId &Id, const CommitResult &Result, TimePoint Now);
  Actions onTime(TimePoint Now);
  TimePoint nextWake() const { return m_Wake; }
  bool isFinished() const { return m_Phase == Phase::Finished; }

private:
  enum class Phase {
    ReadingOwner,
    Pausing,
    FindingPages,
    Marking,
    Draining,
    Completing,
    Undoing,
    Finished
  };

  Actions pending() const;
  Actions onOwner(const OwnerRow &Owner, RowVersion Version, TimePoint Now);
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
  TimePoint m_Wake{};
  TimePoint m_PausedUntil{};
  bool m_Paused = false;
  RowVersion m_OwnerVersion;
  std::uint64_t m_Writes = 0;
  Transaction m_Transaction;
  /// Keys of the markers, in order; page I lies between marker I-1 and marker I.
  std::vector<std::string> m_Markers;
  std::string m_MarkerValue;
  std::size_t m_Page = 0;
  std::string m_After;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_HANDOVER_H
