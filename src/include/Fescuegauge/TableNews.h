#ifndef FESCUEGAUGE_TABLENEWS_H
#define FESCUEGAUGE_TABLENEWS_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/Units.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace fescuegauge {

/// What an entry instance tells the others of one table of the platform's store: a few bytes, so
/// that each can tell whether its own source is behind.
struct TableState {
  std::string m_Table;
  /// The version of the newest change in the table that the instance knows.
  RowVersion m_NewestChange;
  /// Since when the table was known to be like this at the store.
  Duration m_Age{};
  /// The last question of the instance was answered.
  bool m_IsInTouch = false;
  /// It asks the store itself.
  bool m_AsksStore = false;
  /// The store did not answer it when it asked last.
  bool m_StoreFailed = false;

  bool operator==(const TableState &) const = default;
};

/// Decides when an entry instance looks for changes of a table beside the source at which it waits,
/// and where.
///
/// An instance waits at one source at a time, which may be cut off from the store, frozen or slow
/// without knowing it. What the other instances tell of the same table shows this: one that knows a
/// change that this one lacks is asked for it, and the store itself is asked when nobody has
/// confirmed the table for a large part of the time in which a change must be in force.
class TableNews {
public:
  /// Time in which the own source may still bring a change that another instance has, as a share of
  /// the time in which it must be in force. The source brings it in a few hundredths of a second if
  /// all is well.
  static constexpr double GraceShare = 0.1;
  /// The store is asked when the table was not confirmed for this share of that time. A source in
  /// touch confirms it after 0.4 of it, and instances tell each other at once.
  static constexpr double StaleShare = 0.5;
  /// Instances that find this together ask the store in the order of their addresses, with this
  /// share between two, so that the first ones spare the rest the call. It is enough to be told of
  /// the call.
  static constexpr double TurnShare = 0.05;
  /// The last of them ask after this share.
  static constexpr double LongestTurnShare = 0.25;
  /// An instance that was asked in vain is passed over for this time.
  static constexpr Duration FailurePause = std::chrono::seconds(1);
  /// An instance that was not heard for this time is frozen or cut off. Each is told at least twice
  /// a second.
  static constexpr Duration LongestSilence = std::chrono::milliseconds(1200);
  /// Instances of a data centre that ask the store at the same time, the first ones in the order of
  /// addresses. Whole plans for all of them would fill the link to the store for seconds.
  static constexpr int MaxAskers = 2;
  /// One that is not in touch and asks for longer than this share of the time in which a change
  /// must be in force no longer keeps others from asking.
  static constexpr double AskerShare = 0.6;
  /// The store is taken to have served all the while if it answered somebody at least this often.
  /// An entry lapses after three heartbeats of 1.2 s without an answer, the first of which may be
  /// up to 1.2 s before an outage, so a shorter outage removes none. An instance in touch tells of
  /// an answer after 2.1 s at the latest with a bound of 4 s.
  static constexpr Duration LongestPause = std::chrono::milliseconds(2300);
  /// Instances of which anything is remembered, and for how long.
  static constexpr std::size_t MaxInstances = 1024;
  static constexpr Duration Lifetime = std::chrono::seconds(5);

  /// Where to ask for changes now.
  struct Step {
    enum class Kind { Wait, AskInstance, AskStore };

    Kind m_Kind = Kind::Wait;
    /// For AskInstance.
    Endpoint m_Instance;
  };

  /// Changes must be in force within `Bound`.
  TableNews(Endpoint Self, Duration Bound, std::uint64_t Seed)
      : m_Self(std::move(Self)), m_Bound(Bound), m_Random(Seed) {}

  /// The instance at `By` told its state.
  void onTold(const Endpoint &By, bool IsLocal, const TableState &State, TimePoint Now);
  /// The newest change that this instance knows, the version of the store as of which it knows the
  /// table, and until when that was right.
  void onKnown(RowVersion NewestChange, RowVersion AsOf, std::optional<TimePoint> KnownUntil);
  /// An instance did not answer, or had nothing new.
  void onFailure(const Endpoint &Instance, TimePoint Now);
  /// `IsWaiting`: the instance takes its source for one that is in touch with the store.
  Step next(bool IsWaiting, TimePoint Now);
  enum class Freshness {
    /// Nothing was told.
    Unknown,
    /// It is in touch with the store, or follows one that is.
    Fresh,
    /// It lost its source, has not learnt anything for long, or is silent.
    Stale,
  };
  Freshness freshness(const Endpoint &Instance, TimePoint Now) const;
  /// Nobody has confirmed what this instance knows for StaleShare of the bound.
  bool isStale(TimePoint Now) const {
    return m_ConfirmedUntil && Now - *m_ConfirmedUntil >= share(StaleShare);
  }
  /// Since when the store has answered this instance or another one until `AnsweredAt`, without a
  /// pause of LongestPause.
  TimePoint servedSince(TimePoint AnsweredAt) const;
  /// Whether this instance may ask the store, given how many of those before it do.
  bool mayAskStore(TimePoint Now) const;

private:
  struct Instance {
    bool m_IsLocal = false;
    RowVersion m_NewestChange;
    TimePoint m_ToldAt;
    /// Until when it knew the table, as it told.
    TimePoint m_KnownUntil;
    bool m_IsInTouch = false;
    std::optional<TimePoint> m_AskingSince;
    bool m_StoreFailed = false;
    TimePoint m_PausedUntil;

    /// The instance with the newest change is asked, one of the own data centre if there is one.
    std::pair<RowVersion, bool> rank() const { return {m_NewestChange, m_IsLocal}; }
  };

  Duration share(double Of) const { return std::chrono::duration_cast<Duration>(m_Bound * Of); }
  bool isHeard(const Instance &Told, TimePoint Now) const {
    return Now - Told.m_ToldAt <= LongestSilence;
  }
  /// It is likely to learn what the store holds, and others need not ask meanwhile.
  bool isAsking(const Instance &Told, bool IsStoreAway, TimePoint Now) const;
  bool isFresh(const Instance &Told, TimePoint Now) const {
    return Told.m_IsInTouch && isHeard(Told, Now) && Now - Told.m_KnownUntil < share(StaleShare);
  }
  std::optional<Endpoint> choose(TimePoint Now);
  void noteServed(TimePoint AnsweredAt);
  /// How long after the others this instance asks the store.
  Duration turn(TimePoint Now) const;

  Endpoint m_Self;
  Duration m_Bound;
  RandomGenerator m_Random;
  RowVersion m_NewestChange;
  RowVersion m_AsOf;
  /// Until when the own version was confirmed, by this instance or by another one.
  std::optional<TimePoint> m_ConfirmedUntil;
  TimePoint m_ServedSince;
  std::optional<TimePoint> m_ServedUntil;
  /// Since when another instance is known to have a change that this one lacks.
  std::optional<TimePoint> m_BehindSince;
  /// Since when no source in touch is known; nothing while there is one.
  std::optional<TimePoint> m_NoSourceSince;
  std::optional<TimePoint> m_AskedStoreAt;
  std::map<Endpoint, Instance> m_Instances;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_TABLENEWS_H
