#ifndef FESCUEGAUGE_GENERATIONRULES_H
#define FESCUEGAUGE_GENERATIONRULES_H

#include "Fescuegauge/Configuration.h"
#include "Fescuegauge/Handover.h"

#include <deque>
#include <set>

namespace fescuegauge {

/// What an answer tells its caller to send back with the next request, so that any entry instance
/// can keep a conversation in its generation and model version, and a read behind a write. No
/// process remembers it.
struct GenerationTicket {
  GenerationId m_Generation;
  /// The model version of the conversation; zero for a plain service.
  Digest m_ServedDigest;
  /// The answer acknowledged a write: reads of the account belong to this generation until a later
  /// write is acknowledged elsewhere.
  bool m_AcknowledgedWrite = false;

  /// A header value of letters, digits, '.', '-' and '_'.
  std::string encode() const;
  static std::optional<GenerationTicket> decode(std::string_view Text);
};

/// Where a request must run.
struct GenerationChoice {
  /// Nothing: any generation.
  std::optional<GenerationId> m_Generation;
  std::optional<Digest> m_RequiredDigest;
  /// True when the request must be refused as not run because a handover is in progress.
  bool m_Paused = false;
};

/// The generation rule for one request.
///
/// `Owner` is the owner row as this entry instance last read it, `Moved` tells whether the account
/// was moved for the class (see MovedAccounts), `Move` is the declaration for the class, if any.
/// Non-idempotent work goes to the owner. A request with a ticket goes where the ticket says. Other
/// work goes to the new generation when its account has moved, else to the old one.
GenerationChoice chooseGeneration(const RequestDescription &Request,
                                  const std::optional<GenerationTicket> &Ticket,
                                  const std::optional<OwnerRow> &Owner,
                                  const ServiceDeclaration *Service, const MoveDeclaration *Move,
                                  bool Moved);

/// The row `moved/SERVICE/CLASS`: accounts whose idempotent work of the class runs in the new
/// generation. A stale copy sends work to the other generation, which is allowed for such work.
struct MovedAccounts {
  static constexpr std::size_t MaxAccounts = 4096;

  std::set<ClientAccountId> m_Accounts;

  std::string encode() const;
  static std::optional<MovedAccounts> decode(std::string_view Text);
};

std::string movedKey(const ServiceId &Service, const WorkClassId &Class);

/// Decides which account of one declared move goes to the new generation next, and which come back.
///
/// One process runs it for each move; the moves themselves are conditional writes (Handover for
/// non-idempotent classes, the row MovedAccounts for the others), so that two controllers at once
/// are harmless. The promise counts as met while RequiredShare of the answers meet it, and as
/// broken below ReturnShare; in between nothing moves, so that a share near one limit does not move
/// accounts back and forth.
class MoveController {
public:
  /// Observations of this length of time count.
  static constexpr Duration Window = std::chrono::seconds(60);
  /// Answers in the window below which nothing is concluded.
  static constexpr std::uint64_t MinAnswers = 20;
  /// Targets are stated at the 95th percentile.
  static constexpr double RequiredShare = 0.95;
  static constexpr double ReturnShare = 0.90;
  /// The new generation must keep the promise for this long after a step before the next one.
  static constexpr Duration ProveTime = std::chrono::seconds(60);
  /// Pause after accounts came back; doubled each time up to MaxHoldOff, and reset when everything
  /// has moved.
  static constexpr Duration HoldOff = std::chrono::minutes(10);
  static constexpr Duration MaxHoldOff = std::chrono::hours(2);
  /// Accounts that move, in either direction, within an hour.
  static constexpr std::size_t MaxMovesPerHour = 40;
  /// Part of MaxMovesPerHour that only returns may use, so that a way back is always left.
  static constexpr std::size_t ReservedForReturn = 20;
  /// Parts of Window that observations are kept in.
  static constexpr std::size_t Buckets = 12;

  struct MoveAccount {
    ClientAccountId m_Account;
    GenerationId m_From;
    GenerationId m_To;
  };
  using Actions = std::vector<MoveAccount>;

  /// Rules that a test switches off to show that it notices. Production code keeps the defaults.
  struct Rules {
    bool m_Hysteresis = true;
    bool m_BoundMoves = true;
    bool m_MoveBack = true;
  };

  MoveController(MoveDeclaration Move, Rules Enabled) : m_Move(std::move(Move)), m_Rules(Enabled) {}
  explicit MoveController(MoveDeclaration Move) : MoveController(std::move(Move), Rules()) {}

  /// The accounts of the service in the order in which they should move, smallest first, and those
  /// that have moved, as the table says.
  void setAccounts(std::vector<ClientAccountId> Accounts, std::set<ClientAccountId> Moved);
  /// Answers of the held class in one generation, and how many of them met the held promise.
  void observe(const GenerationId &Generation, std::uint64_t Answers, std::uint64_t Met,
               TimePoint Now);
  /// What an account's move came to. An account that was not moved is tried again later.
  void onMoved(const ClientAccountId &Account, bool Done, TimePoint Now);
  /// The moves to start now. None while earlier ones are under way.
  Actions onTime(TimePoint Now);

  const MoveDeclaration &declaration() const { return m_Move; }
  std::size_t movedCount() const { return m_Moved.size(); }
  /// Share that met the promise in the window; nothing below MinAnswers.
  std::optional<double> attainment(const GenerationId &Generation, TimePoint Now) const;

private:
  struct Bucket {
    TimePoint m_Start;
    std::uint64_t m_Answers = 0;
    std::uint64_t m_Met = 0;
  };

  bool mayMove(std::size_t Limit, TimePoint Now) const;
  Actions begin(std::vector<ClientAccountId> Accounts, bool Back, TimePoint Now);

  MoveDeclaration m_Move;
  Rules m_Rules;
  std::vector<ClientAccountId> m_Accounts;
  std::set<ClientAccountId> m_Moved;
  /// In the order of their moves, newest last.
  std::vector<ClientAccountId> m_MovedOrder;
  std::map<ClientAccountId, bool> m_UnderWay;
  std::map<GenerationId, std::deque<Bucket>> m_Observed;
  std::deque<TimePoint> m_RecentMoves;
  TimePoint m_NextStep{};
  TimePoint m_NotBefore{};
  Duration m_HoldOff = HoldOff;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_GENERATIONRULES_H
