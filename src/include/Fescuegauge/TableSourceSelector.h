#ifndef FESCUEGAUGE_TABLESOURCESELECTOR_H
#define FESCUEGAUGE_TABLESOURCESELECTOR_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/TablePosition.h"
#include "Fescuegauge/Units.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace fescuegauge {

/// State of one table of the platform's store at an entry instance, as reported to the others. It
/// is a few bytes long and lets each instance determine whether its own source is behind.
struct TableState {
  std::string m_Table;
  /// The version of the newest change in the table that the instance knows.
  TablePosition m_NewestChange;
  /// Time since the store is known to have had the table in this state.
  Duration m_Age{};
  /// The last query of the instance was answered.
  bool m_IsInTouch = false;
  /// It is querying the store itself.
  bool m_IsQueryingStore = false;
  /// Its last query to the store was not answered.
  bool m_HasStoreFailed = false;

  bool operator==(const TableState &) const = default;
};

/// Decides when and where an entry instance queries for changes of a table in addition to the
/// source at which it waits for them.
///
/// An instance waits at one source at a time. This source may be cut off from the store, frozen or
/// slow without detecting it. Reports of the other instances on the same table show this: an
/// instance that has a change which is missing here is queried for it, and the store itself is
/// queried when no instance has confirmed the table for a large share of the time in which a change
/// must be in force.
class TableSourceSelector {
public:
  /// Time that the own source has to deliver a change that another instance has, as a share of the
  /// time in which it must be in force. A working source delivers it within a few hundredths of a
  /// second.
  static constexpr double GraceShare = 0.1;
  /// The store is queried when the table was not confirmed for this share of that time. A source in
  /// touch confirms it after a share of 0.4, and instances report to each other at once.
  static constexpr double StaleShare = 0.5;
  /// Instances that detect this together query the store in the order of their addresses, with this
  /// share between two, so that the first ones spare the others the call. A report that the call is
  /// under way is enough.
  static constexpr double StaggerShare = 0.05;
  /// Upper limit of this delay, as a share of the same time.
  static constexpr double MaxStaggerShare = 0.25;
  /// An instance that was queried without success is skipped for this time.
  static constexpr Duration FailurePause = std::chrono::seconds(1);
  /// An instance without a report for this time is frozen or cut off. Each instance receives at
  /// least two reports per second.
  static constexpr Duration MaxReportGap = std::chrono::milliseconds(1200);
  /// Instances of a data centre that query the store concurrently, in the order of addresses.
  /// Transferring whole plans to all of them would saturate the link to the store for seconds.
  static constexpr int MaxStoreQueries = 2;
  /// An instance that is not in touch and has queried for longer than this share of the time in
  /// which a change must be in force no longer keeps others from querying.
  static constexpr double MaxQueryShare = 0.6;
  /// The store is considered to have served without a break if it answered any instance at least
  /// this often. An entry lapses after three heartbeats of 1.2 s without an answer, the first of
  /// which may be up to 1.2 s before an outage, so a shorter outage removes no entry. An instance
  /// in touch reports an answer after 2.1 s at the latest with a bound of 4 s.
  static constexpr Duration MaxServedGap = std::chrono::milliseconds(2300);
  /// Limits on the number of instances remembered and on the age of their reports.
  static constexpr std::size_t MaxInstances = 1024;
  static constexpr Duration Lifetime = std::chrono::seconds(5);

  /// Where to query for changes now.
  struct Step {
    enum class Kind { Wait, QueryInstance, QueryStore };

    Kind m_Kind = Kind::Wait;
    /// Valid for QueryInstance.
    Endpoint m_Instance;
  };

  /// Changes must be in force within `Bound`.
  TableSourceSelector(Endpoint Self, Duration Bound, std::uint64_t Seed)
      : m_Self(std::move(Self)), m_Bound(Bound), m_Random(Seed) {}

  /// Handles a report of the instance at `Sender`.
  void onPeerUpdate(const Endpoint &Sender, bool IsLocal, const TableState &State, TimePoint Now);
  /// Sets the newest change that this instance knows, the position as of which it knows the
  /// table, and until when that was correct.
  void onLocalState(TablePosition NewestChange, TablePosition AsOf,
                    std::optional<TimePoint> KnownUntil);
  /// Records that an instance did not answer, or had no new change.
  void onFailure(const Endpoint &Instance, TimePoint Now);
  /// `IsWaiting`: the instance waits at a source that it considers to be in touch with the store.
  Step next(bool IsWaiting, TimePoint Now);
  enum class Freshness {
    /// There was no report.
    Unknown,
    /// It is in touch with the store, or follows an instance that is.
    Fresh,
    /// It lost its source, has not been updated for long, or sends no reports.
    Stale,
  };
  Freshness freshness(const Endpoint &Instance, TimePoint Now) const;
  /// No instance has confirmed the state known here for StaleShare of the bound.
  bool isStale(TimePoint Now) const {
    return m_ConfirmedUntil && Now - *m_ConfirmedUntil >= shareOfBound(StaleShare);
  }
  /// Since when the store has answered any instance until `AnsweredAt`, without a gap of
  /// MaxServedGap.
  TimePoint storeServedSince(TimePoint AnsweredAt) const;
  /// Whether this instance may query the store, given how many of those before it do.
  bool canQueryStore(TimePoint Now) const;
  /// The same for a full table that this instance has wanted to read since `WantedSince` because
  /// the store was restored. All instances want it at once, so they take turns in the order of
  /// their addresses.
  bool canQueryRestoredStore(TimePoint WantedSince, TimePoint Now) const {
    return Now - WantedSince >= storeQueryDelay(Now) && isAmongFirst(WantedSince, Now);
  }

private:
  struct Instance {
    bool m_IsLocal = false;
    TablePosition m_NewestChange;
    TimePoint m_ReportedAt;
    /// Until when its state was current, by its own report.
    TimePoint m_KnownUntil;
    bool m_IsInTouch = false;
    std::optional<TimePoint> m_QueryingStoreSince;
    bool m_HasStoreFailed = false;
    TimePoint m_SkippedUntil;

    /// The instance with the newest change is queried, one of the local data centre if there is
    /// one.
    std::pair<TablePosition, bool> rank() const { return {m_NewestChange, m_IsLocal}; }
  };

  Duration shareOfBound(double Of) const {
    return std::chrono::duration_cast<Duration>(m_Bound * Of);
  }
  bool isReporting(const Instance &Peer, TimePoint Now) const {
    return Now - Peer.m_ReportedAt <= MaxReportGap;
  }
  /// It is likely to obtain the state of the store, so others need not query meanwhile. Only the
  /// part of its query after `From` counts towards MaxQueryShare.
  bool isQueryingStore(const Instance &Peer, bool IsStoreUnreachable, TimePoint From,
                       TimePoint Now) const;
  /// Fewer than MaxStoreQueries instances before this one are querying the store.
  bool isAmongFirst(TimePoint From, TimePoint Now) const;
  bool isFresh(const Instance &Peer, TimePoint Now) const {
    return Peer.m_IsInTouch && isReporting(Peer, Now) &&
           Now - Peer.m_KnownUntil < shareOfBound(StaleShare);
  }
  std::optional<Endpoint> choosePeer(TimePoint Now);
  void recordStoreAnswer(TimePoint AnsweredAt);
  /// By how much this instance delays its query to the store, so that those before it query first.
  Duration storeQueryDelay(TimePoint Now) const;

  Endpoint m_Self;
  Duration m_Bound;
  RandomGenerator m_Random;
  TablePosition m_NewestChange;
  TablePosition m_AsOf;
  /// Until when the own version was confirmed, by this instance or by another one.
  std::optional<TimePoint> m_ConfirmedUntil;
  TimePoint m_ServedSince;
  std::optional<TimePoint> m_ServedUntil;
  /// Since when another instance is known to have a change that is missing here.
  std::optional<TimePoint> m_BehindSince;
  /// Since when no source in touch is known; not set while there is one.
  std::optional<TimePoint> m_NoSourceSince;
  std::optional<TimePoint> m_LastStoreQueryAt;
  std::map<Endpoint, Instance> m_Peers;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_TABLESOURCESELECTOR_H
