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

/// Virtual time for tests and benchmarks: events run in order of time, then of scheduling.
class EventQueue {
public:
  TimePoint now() const { return m_Now; }
  void at(TimePoint When, std::function<void()> Event) {
    m_Events.push({std::max(When, m_Now), m_Next++, std::move(Event)});
  }
  void after(Duration Delay, std::function<void()> Event) { at(m_Now + Delay, std::move(Event)); }
  void runUntil(TimePoint End) {
    while (!m_Events.empty() && m_Events.top().m_When <= End) {
      // The item is removed before anything compares it again.
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

/// The platform's table with its faults: outages, stale reads, lost answers, late effects, repeated
/// deliveries.
class FakeStore {
public:
  struct Faults {
    double m_LostAnswer = 0;
    /// Of the lost answers, the share whose transaction takes effect up to a second later.
    double m_LateEffect = 0.5;
    double m_StaleRead = 0;
    Duration m_MaxStaleness = std::chrono::seconds(2);
    /// The store forgets write ids at once, so that only the conditions protect.
    bool m_ForgetsWriteIds = false;
  };

  FakeStore(EventQueue &Events, std::uint64_t Seed) : m_Events(Events), m_Random(Seed) {}

  Faults m_Faults;
  bool m_Down = false;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_Writes = 0;

  using RowAnswer = std::function<void(std::optional<TableRow>)>;
  using ScanAnswer = std::function<void(std::optional<std::vector<TableRow>>)>;
  using CommitAnswer = std::function<void(CommitResult)>;

  void read(const std::string &Key, bool Reachable, const RowAnswer &Answer) {
    ++m_Reads;
    if (!reached(Reachable))
      return later(ResponseTimeout, [Answer] { Answer(std::nullopt); });
    TableRow Row = rowAt(Key, readTime());
    later(delay(), [Answer, Row] { Answer(Row); });
  }
  void scan(const std::string &Prefix, const std::string &After, std::size_t Limit, bool Reachable,
            const ScanAnswer &Answer) {
    ++m_Reads;
    if (!reached(Reachable))
      return later(ResponseTimeout, [Answer] { Answer(std::nullopt); });
    TimePoint When = readTime();
    std::vector<TableRow> Rows;
    for (auto Item = m_Rows.lower_bound(std::max(Prefix, After));
         Item != m_Rows.end() && Item->first.starts_with(Prefix) && Rows.size() < Limit; ++Item)
      if (TableRow Row = rowAt(Item->first, When);
          Row.m_Version != RowVersion() && Row.m_Key != After)
        Rows.push_back(std::move(Row));
    later(delay(), [Answer, Rows] { Answer(Rows); });
  }
  void transact(const Transaction &Write, bool Reachable, const CommitAnswer &Answer) {
    ++m_Writes;
    if (!reached(Reachable)) {
      bool Known = chance(m_Random, 0.5);
      return later(ResponseTimeout, [Answer, Known] {
        Answer({Known ? CommitStatus::Unreachable : CommitStatus::Unknown, {}});
      });
    }
    bool Lost = chance(m_Random, m_Faults.m_LostAnswer);
    Duration Effect = delay();
    if (Lost && chance(m_Random, m_Faults.m_LateEffect))
      Effect = Duration(static_cast<Duration::rep>(uniformBelow(m_Random, 1'000'000)));
    later(Effect, [this, Write, Answer, Lost] {
      CommitResult Result = apply(Write);
      if (!Lost)
        later(delay(), [Answer, Result] { Answer(Result); });
    });
    if (Lost)
      later(ResponseTimeout, [Answer] { Answer({CommitStatus::Unknown, {}}); });
  }
  /// The current row, without faults; for checks.
  TableRow current(const std::string &Key) const { return rowAt(Key, m_Events.now()); }
  /// Called for every committed transaction.
  std::function<void(const Transaction &)> m_OnCommit;

private:
  static constexpr Duration ResponseTimeout = std::chrono::milliseconds(300);
  struct Version {
    TimePoint m_Since;
    RowVersion m_Version;
    std::string m_Value;
    bool m_Absent = false;
  };

  bool reached(bool Reachable) const { return Reachable && !m_Down; }
  Duration delay() { return jittered(m_Random, std::chrono::milliseconds(4), 0.9); }
  void later(Duration Delay, std::function<void()> Event) {
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
    TableRow Result{Key, {}, {}};
    if (Found != m_Rows.end())
      for (const Version &Value : Found->second)
        if (Value.m_Since <= When)
          Result = {Key, Value.m_Absent ? "" : Value.m_Value,
                    Value.m_Absent ? RowVersion() : Value.m_Version};
    return Result;
  }
  void put(const std::string &Key, std::string Value, bool Absent) {
    auto &Versions = m_Rows[Key];
    m_LastVersion = m_LastVersion.next();
    Versions.push_back({m_Events.now(), m_LastVersion, std::move(Value), Absent});
    while (Versions.size() > 1 && Versions[1].m_Since + m_Faults.m_MaxStaleness < m_Events.now())
      Versions.erase(Versions.begin());
  }
  CommitResult apply(const Transaction &Write) {
    auto Previous = m_Outcomes.find(Write.m_WriteId);
    if (Previous != m_Outcomes.end() && !m_Faults.m_ForgetsWriteIds)
      return Previous->second;
    CommitResult Result{CommitStatus::Committed, {}};
    for (const RowCondition &Condition : Write.m_Conditions)
      if (TableRow Row = current(Condition.m_Key); Row.m_Version != Condition.m_Version)
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
    m_Outcomes[Write.m_WriteId] = Result;
    return Result;
  }

  EventQueue &m_Events;
  RandomGenerator m_Random;
  RowVersion m_LastVersion;
  std::map<std::string, std::vector<Version>> m_Rows;
  std::map<WriteId, CommitResult> m_Outcomes;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBTARGETS_FAKESTORE_H
