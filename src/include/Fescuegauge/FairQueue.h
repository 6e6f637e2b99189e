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
  /// Expected time that it occupies a slot of an upstream; shares are measured in it.
  Duration m_Cost{0};
  /// When a full queue has to give up a request, it is one of the lowest number.
  int m_Priority = 0;
  bool m_NeverLost = false;
  /// Started later than this, it is likely to miss its target.
  TimePoint m_LatestStart;
  /// Started later than this, it cannot be expected to meet its target any more.
  TimePoint m_GiveUpAt;
  TimePoint m_Arrived;
  /// The wait that was predicted when it was admitted.
  Duration m_PredictedWait{0};
};

struct FairQueueRules {
  /// Off: all accounts share one queue.
  bool m_ShareByAccount = true;
  bool m_BoundLength = true;
  bool m_NeverLostFirst = true;
};

/// Shares the start of requests among client accounts in proportion to their weights, by fair
/// queueing over expected slot time.
///
/// Classes that are never lost form a tier of their own, which gets NeverLostShare of the starts
/// while both tiers have work, so that it goes first without stopping all other work. Shares are
/// equal within each tier, and what an account starts in the first tier counts in the second. Among
/// the requests of one account the one with the earliest latest start goes first.
///
/// When the queue is full, a request of the lowest priority of the account with the most queued
/// ordinary work is pushed out if the newcomer is never lost or belongs to an account with less
/// queued work.
class FairQueue {
public:
  static constexpr std::size_t MaxLength = 2048;
  static constexpr std::size_t MaxLengthPerAccount = 512;
  /// Accounts with a queue of their own; requests of further accounts are refused while all are in
  /// use.
  static constexpr std::size_t MaxAccounts = 1024;
  static constexpr double NeverLostShare = 0.7;
  /// Bounds how far work in the first tier can set an account back in the second.
  static constexpr Duration MaxDebt = std::chrono::seconds(20);
  /// An account may be this far ahead of its share before others go first. Without it an account
  /// whose share is a few slots could start nothing urgent for a while after one long request.
  static constexpr Duration MaxLead = std::chrono::seconds(2);

  explicit FairQueue(FairQueueRules Rules = {}) : m_Rules(Rules) {}

  /// An account's weight is 1 unless set.
  void setWeight(const ClientAccountId &Account, double Weight);

  struct PushResult {
    bool m_Accepted = false;
    /// Set when another request had to leave the full queue.
    std::optional<QueuedRequest> m_PushedOut;
  };
  PushResult push(QueuedRequest Added);
  /// The request to start next, removed; nothing when there is none. With `SmallOnly`, only
  /// requests of small accounts are considered.
  std::optional<QueuedRequest> pop(TimePoint Now, bool SmallOnly = false);
  /// True for an account that recently started clearly less than its share: the mean of all active
  /// accounts, increased by what those below the mean leave unused.
  bool isSmall(const ClientAccountId &Account) const;
  bool hasSmallQueued() const;
  /// Slots to keep free for small accounts. Targets can leave so little time for waiting that a
  /// small account which finds all slots taken would be refused as often as a large one.
  double reservedSlots(double Slots) const;
  /// Removes a request whose caller has gone; false if it is not queued.
  bool remove(const RequestId &Id);
  /// Removes and returns all requests that should have been started before `Now`.
  std::vector<QueuedRequest> takeLate(TimePoint Now);

  /// How fast queued requests are expected to start.
  struct Pace {
    /// Requests that run at a time.
    double m_Slots = 1;
    /// Mean slot time of the requests in flight.
    Duration m_MeanCost{0};
    /// Requests in flight above the number of slots, which have to end first.
    double m_Excess = 0;
    /// Standard deviations that predictions add, because slots become free at random times.
    double m_Margin = 0;
  };
  /// The time until `Candidate` would start if it were pushed now.
  Duration predictedWait(const QueuedRequest &Candidate, const Pace &Current, TimePoint Now) const;
  /// True if pushing `Candidate` makes a queued request of the same account miss its latest start.
  bool delaysOthers(const QueuedRequest &Candidate, const Pace &Current, TimePoint Now) const;
  Duration totalWork() const { return m_TierWork[0] + m_TierWork[1]; }
  std::size_t length() const { return m_Index.size(); }

private:
  static constexpr std::size_t Tiers = 2;
  /// Earliest latest start first, then in order of arrival.
  using Order = std::pair<TimePoint, std::uint64_t>;
  struct TierQueue {
    std::map<Order, QueuedRequest> m_Requests;
    Duration m_Work{0};
    /// Virtual time at which the account's last started request ends, in microseconds.
    double m_Finish = 0;
  };
  struct Account {
    std::array<TierQueue, Tiers> m_Tiers;
    double m_Weight = 1;
    /// Work started recently, decaying with RateMemory.
    double m_Started = 0;
    std::size_t length() const {
      return m_Tiers[0].m_Requests.size() + m_Tiers[1].m_Requests.size();
    }
  };
  struct Place {
    ClientAccountId m_Account;
    std::size_t m_Tier;
    Order m_Order;
  };

  QueuedRequest take(Account &Owner, std::size_t Tier, std::map<Order, QueuedRequest>::iterator At);
  QueuedRequest takeLeastImportant(Account &Owner);
  std::optional<QueuedRequest> pushOut(const QueuedRequest &Added);
  std::size_t nextTier() const;
  std::size_t tierOf(const QueuedRequest &Request) const;
  const ClientAccountId &ownerOf(const QueuedRequest &Request) const;
  /// Work that starts before a request of the account which has `OwnAhead` of its own before it.
  double workBefore(const ClientAccountId &Name, std::size_t Tier, double OwnAhead,
                    double Slots) const;
  /// Slots that requests of the tier can count on.
  double slotsFor(const QueuedRequest &Request, double Slots, TimePoint Now) const;
  static Duration waitFor(double Ahead, double Slots, const Pace &Current);
  bool isSmall(const Account &Known) const;
  double startOf(const Account &Candidate, std::size_t Tier) const;
  void decayRates(TimePoint Now);
  void forgetIdleAccounts();

  FairQueueRules m_Rules;
  std::map<ClientAccountId, Account> m_Accounts;
  std::unordered_map<ClientAccountId, double> m_Weights;
  std::unordered_map<RequestId, Place> m_Index;
  std::array<Duration, Tiers> m_TierWork{};
  std::array<std::size_t, Tiers> m_TierLength{};
  std::array<double, Tiers> m_VirtualTime{};
  /// Work started by each tier, divided by its share; the smaller one goes next.
  std::array<double, Tiers> m_TierFinish{};
  /// Never-lost work started recently, decaying with RateMemory.
  double m_NeverLostStarted = 0;
  TimePoint m_RatesTaken;
  /// Mean of the accounts' recently started work for each unit of weight, and the sum over small
  /// accounts, both as of m_RatesTaken.
  double m_MeanStarted = 0;
  double m_SmallStarted = 0;
  std::uint64_t m_NextSequence = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FAIRQUEUE_H
