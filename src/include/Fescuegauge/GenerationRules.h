#ifndef FESCUEGAUGE_GENERATIONRULES_H
#define FESCUEGAUGE_GENERATIONRULES_H

#include "Fescuegauge/Configuration.h"
#include "Fescuegauge/Handover.h"

#include <deque>
#include <set>

namespace fescuegauge {

/// Returned with an answer and sent back by the client with its next request, so that any entry
/// instance can keep a conversation on its generation and model version, and a read after a write
/// on the generation of the write. The servers store no copy.
struct GenerationTicket {
  GenerationId m_Generation;
  /// The model version of the conversation; zero for a service without models.
  Digest m_ServedDigest;
  /// The answer acknowledged a write: reads of the account go to this generation until another one
  /// acknowledges a later write.
  bool m_AcknowledgedWrite = false;

  /// Returns a header value of letters, digits, '.', '-' and '_'.
  std::string encode() const;
  static std::optional<GenerationTicket> decode(std::string_view Text);
};

/// The generation and model version that a request must run on.
struct GenerationChoice {
  /// Nullopt for any generation.
  std::optional<GenerationId> m_Generation;
  std::optional<Digest> m_RequiredDigest;
  /// The request must be rejected as not run, because a handover is in progress.
  bool m_Paused = false;
};

/// Selects the generation of one request.
///
/// `Owner` is the owner row as this entry instance last read it, `Moved` is true if the account was
/// moved for the class (see MovedAccounts), `Move` is the declaration for the class, if any.
/// Non-idempotent work goes to the owner, whatever the ticket. Any other request with a ticket goes
/// to the ticket's generation. Other work goes to the new generation if its account has moved, else
/// to the old one.
GenerationChoice chooseGeneration(const RequestDescription &Request,
                                  const std::optional<GenerationTicket> &Ticket,
                                  const std::optional<OwnerRow> &Owner,
                                  const ServiceDeclaration *Service, const MoveDeclaration *Move,
                                  bool Moved);

/// The row `moved/SERVICE/CLASS`: accounts whose idempotent work of the class runs in the new
/// generation. A stale copy routes work to the other generation, which is allowed for such work.
struct MovedAccounts {
  static constexpr std::size_t MaxAccounts = 4096;

  std::set<ClientAccountId> m_Accounts;

  std::string encode() const;
  static std::optional<MovedAccounts> decode(std::string_view Text);
};

std::string movedAccountsRowKey(const ServiceId &Service, const WorkClassId &Class);

/// Decides which accounts of one declared move go to the new generation next, and which return.
///
/// One process runs it for each move. The moves themselves are conditional writes (Handover for
/// non-idempotent classes, the row MovedAccounts for the others), so that two concurrent
/// controllers are harmless. The promise counts as met if at least RequiredShare of the answers
/// meet it, and as broken below ReturnShare. In between nothing moves: this hysteresis prevents
/// accounts from moving back and forth while the share is near a limit.
class MoveController {
public:
  /// Length of the sliding window of observations.
  static constexpr Duration Window = std::chrono::seconds(60);
  /// Minimum number of answers in the window for an estimate.
  static constexpr std::uint64_t MinAnswers = 20;
  /// Targets are defined at the 95th percentile.
  static constexpr double RequiredShare = 0.95;
  static constexpr double ReturnShare = 0.90;
  /// Minimum time between two steps, in which the new generation must meet the promise.
  static constexpr Duration StepInterval = std::chrono::seconds(60);
  /// Hold-off after accounts returned; doubled each time up to MaxHoldOff, and reset once all
  /// accounts have moved.
  static constexpr Duration HoldOff = std::chrono::minutes(10);
  static constexpr Duration MaxHoldOff = std::chrono::hours(2);
  /// Maximum number of accounts that move, in either direction, within an hour.
  static constexpr std::size_t MaxMovesPerHour = 40;
  /// Part of MaxMovesPerHour reserved for returns, so that accounts can always return.
  static constexpr std::size_t ReservedReturnMoves = 20;
  /// Number of buckets into which Window is divided.
  static constexpr std::size_t BucketCount = 12;

  struct MoveAccount {
    ClientAccountId m_Account;
    GenerationId m_From;
    GenerationId m_To;
  };
  using Actions = std::vector<MoveAccount>;

  /// Rules that a test can disable to show that it detects their absence. Production code keeps the
  /// defaults.
  struct Rules {
    bool m_Hysteresis = true;
    bool m_LimitMoveRate = true;
    bool m_ReturnAccounts = true;
  };

  MoveController(MoveDeclaration Move, Rules Enabled) : m_Move(std::move(Move)), m_Rules(Enabled) {}
  explicit MoveController(MoveDeclaration Move) : MoveController(std::move(Move), Rules()) {}

  /// `Accounts` are the accounts of the service in the order in which they should move, smallest
  /// first; `Moved` are those that have moved according to the table.
  void setAccounts(std::vector<ClientAccountId> Accounts, std::set<ClientAccountId> Moved);
  /// Records answers of `holdClass` in one generation, and how many of them met `holdPromise`.
  void observe(const GenerationId &Generation, std::uint64_t Answers, std::uint64_t Met,
               TimePoint Now);
  /// Handles the result of an account's move. A failed move is retried later.
  void onMoveResult(const ClientAccountId &Account, bool Done, TimePoint Now);
  /// Returns the moves to start now; none while earlier ones are in progress.
  Actions onTimer(TimePoint Now);

  const MoveDeclaration &declaration() const { return m_Move; }
  std::size_t movedCount() const { return m_Moved.size(); }
  /// Returns the share of answers in the window that met the promise; nullopt below MinAnswers.
  std::optional<double> attainment(const GenerationId &Generation, TimePoint Now) const;

private:
  struct Bucket {
    TimePoint m_Start;
    std::uint64_t m_AnswerCount = 0;
    std::uint64_t m_MetCount = 0;
  };

  bool isMoveAllowed(std::size_t Limit, TimePoint Now) const;
  Actions startMoves(std::vector<ClientAccountId> Accounts, bool IsReturn, TimePoint Now);

  MoveDeclaration m_Move;
  Rules m_Rules;
  std::vector<ClientAccountId> m_Accounts;
  std::set<ClientAccountId> m_Moved;
  /// The moved accounts in the order of their moves, newest last.
  std::vector<ClientAccountId> m_MoveOrder;
  /// Accounts whose move is in progress; true for a move to the new generation.
  std::map<ClientAccountId, bool> m_MovesInProgress;
  std::map<GenerationId, std::deque<Bucket>> m_Observed;
  std::deque<TimePoint> m_RecentMoves;
  TimePoint m_NextStepAt{};
  TimePoint m_HoldOffUntil{};
  Duration m_HoldOff = HoldOff;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_GENERATIONRULES_H
