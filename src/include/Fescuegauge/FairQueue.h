#ifndef FESCUEGAUGE_FAIRQUEUE_H
#define FESCUEGAUGE_FAIRQUEUE_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fescuegauge {

/// A request that waits to be started.
struct QueuedRequest {
  RequestId m_Id;
  ClientAccountId m_Account;
  WorkClassId m_Class;
  /// Expected time for which it occupies a slot of an upstream; the unit in which shares are
  /// measured.
  Duration m_Cost{0};
  /// A full queue evicts requests of the lowest priority first.
  int m_Priority = 0;
  bool m_NeverLost = false;
  /// A request that is started later is likely to miss its target.
  TimePoint m_LatestStart;
  /// A request that is started later is not expected to meet its target.
  TimePoint m_ExpiresAt;
  TimePoint m_Arrived;
  /// The waiting time that was predicted on admission.
  Duration m_PredictedWait{0};
};

struct FairQueueRules {
  /// If false, all accounts share one queue.
  bool m_ShareByAccount = true;
  bool m_BoundLength = true;
  bool m_UseNeverLostTier = true;
};

/// Schedules the start of requests by weighted fair queueing among client accounts, with the
/// expected slot time as the cost of a request.
///
/// Requests of never-lost classes form a separate tier. It gets the fraction NeverLostShare of the
/// started work while both tiers have queued requests, so that it has precedence without starving
/// other work. Accounts share each tier in proportion to their weights, and work that an account
/// starts in the never-lost tier also counts in the ordinary tier. Among the requests of one
/// account, the one with the earliest m_LatestStart is started first.
///
/// If the queue is full, a never-lost request, or a request of an account with less queued work,
/// evicts a request of the lowest priority from the account with the most queued ordinary work.
class FairQueue {
public:
  static constexpr std::size_t MaxLength = 2048;
  static constexpr std::size_t MaxLengthPerAccount = 512;
  /// Maximum number of account queues; requests of further accounts are refused while all are in
  /// use.
  static constexpr std::size_t MaxAccounts = 1024;
  static constexpr double NeverLostShare = 0.7;
  /// Limits how far never-lost work can set an account back in the ordinary tier.
  static constexpr Duration MaxLag = std::chrono::seconds(20);
  /// How far an account may be ahead of its share before others have precedence. Without this
  /// allowance, an account with a share of a few slots could not start urgent requests for some
  /// time after one long request.
  static constexpr Duration MaxLead = std::chrono::seconds(2);

  explicit FairQueue(FairQueueRules Rules = {}) : m_Rules(Rules) {}

  /// Sets the weight of an account. The default is 1.
  void setWeight(const ClientAccountId &Account, double Weight);

  struct PushResult {
    bool m_Accepted = false;
    /// The request that was removed from a full queue to make room, if any.
    std::optional<QueuedRequest> m_Evicted;
  };
  PushResult push(QueuedRequest Added);
  /// Removes and returns the request to start next, or nothing if there is none. With
  /// `BelowShareOnly`, only requests of accounts below their share are considered; see
  /// isBelowShare().
  std::optional<QueuedRequest> pop(TimePoint Now, bool BelowShareOnly = false);
  /// Returns true if the account recently started clearly less work than its share. The share is
  /// the mean of all active accounts, plus what accounts below the mean leave unused.
  bool isBelowShare(const ClientAccountId &Account) const;
  bool hasBelowShareQueued() const;
  /// Returns the number of slots to keep free for accounts below their share. Targets can leave so
  /// little time for waiting that, with all slots in use, such an account would be refused as often
  /// as one above its share.
  double reservedSlots(double Slots) const;
  /// Removes a request whose caller has disconnected. Returns false if it is not queued.
  bool remove(const RequestId &Id);
  /// Removes and returns all requests that had to be started before `Now`.
  std::vector<QueuedRequest> takeExpired(TimePoint Now);

  /// The inputs from which the start of queued requests is predicted.
  struct StartRate {
    /// Number of requests that run concurrently.
    double m_Slots = 1;
    /// Mean slot time of the requests in flight.
    Duration m_MeanCost{0};
    /// Requests in flight above the number of slots, which have to end before another one starts.
    double m_Excess = 0;
    /// Standard deviations to add to predictions, because slots become free at random times.
    double m_Margin = 0;
  };
  /// Predicts the time until `Candidate` would start if it were pushed now.
  Duration predictedWait(const QueuedRequest &Candidate, const StartRate &Current,
                         TimePoint Now) const;
  /// Returns true if pushing `Candidate` is predicted to make a queued request of the same account
  /// miss its latest start.
  bool delaysOthers(const QueuedRequest &Candidate, const StartRate &Current, TimePoint Now) const;
  Duration totalWork() const { return m_TierWork[0] + m_TierWork[1]; }
  std::size_t length() const { return m_Index.size(); }

private:
  static constexpr std::size_t TierCount = 2;
  /// Sort key: the latest start, then the order of arrival.
  using Order = std::pair<TimePoint, std::uint64_t>;
  struct TierQueue {
    std::map<Order, QueuedRequest> m_Requests;
    Duration m_Work{0};
    /// Virtual time at which the account's last started request ends, in microseconds.
    double m_VirtualFinish = 0;
  };
  struct AccountState {
    std::array<TierQueue, TierCount> m_Tiers;
    double m_Weight = 1;
    /// Recently started work in microseconds, decaying with RateTimeConstantUs.
    double m_RecentWork = 0;
    std::size_t length() const {
      return m_Tiers[0].m_Requests.size() + m_Tiers[1].m_Requests.size();
    }
  };
  struct QueuePosition {
    ClientAccountId m_Account;
    std::size_t m_Tier;
    Order m_Order;
  };

  QueuedRequest take(AccountState &Account, std::size_t Tier,
                     std::map<Order, QueuedRequest>::iterator At);
  QueuedRequest takeLowestPriority(AccountState &Account);
  std::optional<QueuedRequest> evictFor(const QueuedRequest &Added);
  std::size_t nextTier() const;
  std::size_t tierOf(const QueuedRequest &Request) const;
  const ClientAccountId &queueAccount(const QueuedRequest &Request) const;
  /// Returns the work that starts before a request of the account that has `OwnAhead` of work of
  /// the same account before it, in microseconds.
  double workAhead(const ClientAccountId &Name, std::size_t Tier, double OwnAhead,
                   double Slots) const;
  /// Returns the number of slots that a request of this account and tier can expect to use.
  double availableSlots(const QueuedRequest &Request, double Slots, TimePoint Now) const;
  static Duration expectedWait(double Ahead, double Slots, const StartRate &Current);
  bool isBelowShare(const AccountState &Account) const;
  double virtualStart(const AccountState &Candidate, std::size_t Tier) const;
  void decayRates(TimePoint Now);
  void removeIdleAccounts();

  FairQueueRules m_Rules;
  std::map<ClientAccountId, AccountState> m_Accounts;
  std::unordered_map<ClientAccountId, double> m_Weights;
  std::unordered_map<RequestId, QueuePosition> m_Index;
  std::array<Duration, TierCount> m_TierWork{};
  std::array<std::size_t, TierCount> m_TierLength{};
  std::array<double, TierCount> m_VirtualTime{};
  /// Work started by each tier, divided by its share; the tier with the smaller value is next.
  std::array<double, TierCount> m_TierVirtualFinish{};
  /// Recently started never-lost work in microseconds, decaying with RateTimeConstantUs.
  double m_RecentNeverLostWork = 0;
  TimePoint m_RatesDecayedAt;
  /// Mean of the accounts' recently started work per unit of weight, and the sum of the work of
  /// accounts below their share, both as of m_RatesDecayedAt.
  double m_MeanRecentWork = 0;
  double m_BelowShareWork = 0;
  std::uint64_t m_NextSequence = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FAIRQUEUE_H
