#ifndef FESCUEGAUGE_LIBTARGETS_FAKESTORE_H
#define FESCUEGAUGE_LIBTARGETS_FAKESTORE_H

#include "Fescuegauge/Random.h"
#include "Fescuegauge/Table.h"
#include "Fescuegauge/Units.h"

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace fescuegauge {

/// Virtual time for tests and benchmarks: runs events in order of time, then of scheduling.
class EventQueue {
public:
  TimePoint now() const { return m_Now; }
  void at(TimePoint When, std::function<void()> Event) {
    m_Events.push({std::max(When, m_Now), m_Next++, std::move(Event)});
  }
  void after(Duration Delay, std::function<void()> Event) { at(m_Now + Delay, std::move(Event)); }
  void runUntil(TimePoint End) {
    while (!m_Events.empty() && m_Events.top().m_When <= End) {
      // The const_cast is safe: the item is removed before the queue compares it again.
      Item First = std::move(const_cast<Item &>(m_Events.top()));
      m_Events.pop();
      m_Now = First.m_When;
      First.m_Event();
    }
    m_Now = End;
  }
  void runFor(Duration Length) { runUntil(m_Now + Length); }

private:
  struct Item {
    TimePoint m_When;
    std::uint64_t m_Sequence;
    std::function<void()> m_Event;
    bool operator<(const Item &Other) const {
      return m_When != Other.m_When ? m_When > Other.m_When : m_Sequence > Other.m_Sequence;
    }
  };
  std::priority_queue<Item> m_Events;
  std::uint64_t m_Next = 0;
  TimePoint m_Now{};
};

/// Simulates the platform's table and its faults: outages, stale reads, lost responses, delayed
/// commits, repeated deliveries.
class FakeStore {
public:
  struct Faults {
    double m_LostResponse = 0;
    /// Share of the lost responses whose transaction takes effect up to 1 s later.
    double m_DelayedCommit = 0.5;
    double m_StaleRead = 0;
    Duration m_MaxStaleness = std::chrono::seconds(2);
    /// The store keeps no write ids, so that only the conditions prevent a second execution.
    bool m_ForgetsWriteIds = false;
  };

  FakeStore(EventQueue &Events, std::uint64_t Seed) : m_Events(Events), m_Random(Seed) {}

  Faults m_Faults;
  bool m_Down = false;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_Writes = 0;

  using RowHandler = std::function<void(std::optional<TableRow>)>;
  using ScanHandler = std::function<void(std::optional<std::vector<TableRow>>)>;
  using CommitHandler = std::function<void(CommitResult)>;

  void read(const std::string &Key, bool Reachable, const RowHandler &Handler) {
    ++m_Reads;
    if (!isAvailable(Reachable))
      return schedule(ResponseTimeout, [Handler] { Handler(std::nullopt); });
    TableRow Row = rowAt(Key, readTime());
    schedule(delay(), [Handler, Row] { Handler(Row); });
  }
  void scan(const std::string &Prefix, const std::string &After, std::size_t Limit, bool Reachable,
            const ScanHandler &Handler) {
    ++m_Reads;
    if (!isAvailable(Reachable))
      return schedule(ResponseTimeout, [Handler] { Handler(std::nullopt); });
    TimePoint When = readTime();
    std::vector<TableRow> Rows;
    for (auto Item = m_Rows.lower_bound(std::max(Prefix, After));
         Item != m_Rows.end() && Item->first.starts_with(Prefix) && Rows.size() < Limit; ++Item)
      if (TableRow Row = rowAt(Item->first, When); !Row.isAbsent() && Row.m_Key != After)
        Rows.push_back(std::move(Row));
    schedule(delay(), [Handler, Rows] { Handler(Rows); });
  }
  void transact(const Transaction &Write, bool Reachable, const CommitHandler &Handler) {
    ++m_Writes;
    if (!isAvailable(Reachable)) {
      bool IsKnownUnsent = chance(m_Random, 0.5);
      return schedule(ResponseTimeout, [Handler, IsKnownUnsent] {
        Handler({IsKnownUnsent ? CommitStatus::Unreachable : CommitStatus::Unknown, {}});
      });
    }
    bool IsResponseLost = chance(m_Random, m_Faults.m_LostResponse);
    Duration CommitDelay = delay();
    if (IsResponseLost && chance(m_Random, m_Faults.m_DelayedCommit))
      CommitDelay = Duration(static_cast<Duration::rep>(uniformBelow(m_Random, 1'000'000)));
    schedule(CommitDelay, [this, Write, Handler, IsResponseLost] {
      CommitResult Result = apply(Write);
      if (!IsResponseLost)
        schedule(delay(), [Handler, Result] { Handler(Result); });
    });
    if (IsResponseLost)
      schedule(ResponseTimeout, [Handler] { Handler({CommitStatus::Unknown, {}}); });
  }
  /// Goes back to the rows as of `AsOf`, in a new epoch. Later versions are given out again. `AsOf`
  /// must not be older than Faults::m_MaxStaleness.
  void restore(TimePoint AsOf) {
    m_Epoch = m_Epoch.next();
    m_LastVersion = RowVersion();
    for (auto &[Key, Versions] : m_Rows) {
      std::erase_if(Versions, [&](const Version &Each) { return Each.m_Since > AsOf; });
      for (Version &Each : Versions) {
        m_LastVersion = std::max(m_LastVersion, Each.m_Position.m_Version);
        Each.m_Position.m_Epoch = m_Epoch;
      }
    }
    std::erase_if(m_Outcomes, [&](const auto &Each) { return Each.second.m_At > AsOf; });
  }
  /// Returns the current row without faults, for checks.
  TableRow current(const std::string &Key) const { return rowAt(Key, m_Events.now()); }
  /// Called for every committed transaction.
  std::function<void(const Transaction &)> m_OnCommit;

private:
  static constexpr Duration ResponseTimeout = std::chrono::milliseconds(300);
  struct Version {
    TimePoint m_Since;
    TablePosition m_Position;
    std::string m_Value;
    bool m_Absent = false;
  };

  struct Outcome {
    CommitResult m_Result;
    TimePoint m_At;
  };

  bool isAvailable(bool Reachable) const { return Reachable && !m_Down; }
  Duration delay() { return jittered(m_Random, std::chrono::milliseconds(4), 0.9); }
  void schedule(Duration Delay, std::function<void()> Event) {
    m_Events.after(Delay, std::move(Event));
  }
  TimePoint readTime() {
    if (!chance(m_Random, m_Faults.m_StaleRead))
      return m_Events.now();
    return m_Events.now() -
           Duration(static_cast<Duration::rep>(uniformBelow(
               m_Random, static_cast<std::uint64_t>(m_Faults.m_MaxStaleness.count()))));
  }
  TableRow rowAt(const std::string &Key, TimePoint When) const {
    auto Found = m_Rows.find(Key);
    TableRow Result{Key, {}, {m_Epoch, RowVersion()}};
    if (Found != m_Rows.end())
      for (const Version &Value : Found->second)
        if (Value.m_Since <= When)
          Result = {Key, Value.m_Absent ? "" : Value.m_Value,
                    Value.m_Absent ? TablePosition{m_Epoch, RowVersion()} : Value.m_Position};
    return Result;
  }
  void put(const std::string &Key, std::string Value, bool Absent) {
    auto &Versions = m_Rows[Key];
    m_LastVersion = m_LastVersion.next();
    Versions.push_back({m_Events.now(), {m_Epoch, m_LastVersion}, std::move(Value), Absent});
    while (Versions.size() > 1 && Versions[1].m_Since + m_Faults.m_MaxStaleness < m_Events.now())
      Versions.erase(Versions.begin());
  }
  CommitResult apply(const Transaction &Write) {
    auto Previous = m_Outcomes.find(Write.m_WriteId);
    if (Previous != m_Outcomes.end() && !m_Faults.m_ForgetsWriteIds)
      return Previous->second.m_Result;
    CommitResult Result{CommitStatus::Committed, {}};
    for (const RowCondition &Condition : Write.m_Conditions)
      if (TableRow Row = current(Condition.m_Key); !Condition.holds(Row))
        Result.m_Conflicts.push_back(std::move(Row));
    if (!Result.m_Conflicts.empty()) {
      Result.m_Status = CommitStatus::Conflict;
    } else {
      for (const RowPut &Put : Write.m_Puts)
        put(Put.m_Key, Put.m_Value, false);
      for (const std::string &Key : Write.m_Deletes)
        put(Key, {}, true);
      if (m_OnCommit)
        m_OnCommit(Write);
    }
    m_Outcomes[Write.m_WriteId] = {Result, m_Events.now()};
    return Result;
  }

  EventQueue &m_Events;
  RandomGenerator m_Random;
  StoreEpoch m_Epoch = FirstStoreEpoch;
  RowVersion m_LastVersion;
  std::map<std::string, std::vector<Version>> m_Rows;
  std::map<WriteId, Outcome> m_Outcomes;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBTARGETS_FAKESTORE_H
