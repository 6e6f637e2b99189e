#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Random.h"
#include "StandinServer.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <deque>
#include <iostream>
#include <mutex>
#include <thread>

namespace fescuegauge::standins {
namespace {

namespace json = boost::json;
using SteadyTime = std::chrono::steady_clock::time_point;

/// Simulated faults by name, set by POST /faults.
class Faults {
public:
  void set(const json::object &Changes) {
    std::lock_guard Lock(m_Mutex);
    for (const auto &[Name, Value] : Changes)
      m_Values[std::string(Name)] = Value;
  }
  bool isOn(std::string_view Name) const {
    std::lock_guard Lock(m_Mutex);
    auto Found = m_Values.find(Name);
    return Found != m_Values.end() && Found->second.is_bool() && Found->second.as_bool();
  }
  std::chrono::milliseconds delay(std::string_view Name) const {
    std::lock_guard Lock(m_Mutex);
    auto Found = m_Values.find(Name);
    bool IsNumber = Found != m_Values.end() && Found->second.is_int64();
    return std::chrono::milliseconds(IsNumber ? Found->second.as_int64() : 0);
  }

private:
  mutable std::mutex m_Mutex;
  std::map<std::string, json::value, std::less<>> m_Values;
};

/// The transactional table. Stores the outcome of each write id, so that repeated writes are
/// idempotent.
class TableStandin {
public:
  explicit TableStandin(Faults &Simulated) : m_Faults(Simulated) {}

  void transact(Call &Received) {
    if (!isAvailable(Received))
      return;
    json::object Outcome = apply(Received.jsonBody());
    if (m_Faults.isOn("tableLosesAnswers"))
      Received.abortConnection();
    else
      Received.answer(Outcome);
  }

  void read(Call &Received) {
    if (!isAvailable(Received))
      return;
    std::lock_guard Lock(m_Mutex);
    ++m_Reads;
    json::object Answer = rowJson(Received.query("key"), readable());
    Answer["epoch"] = Epoch;
    Received.answer(Answer);
  }

  void scan(Call &Received) {
    if (!isAvailable(Received))
      return;
    std::lock_guard Lock(m_Mutex);
    ++m_Reads;
    std::string Prefix = Received.query("prefix");
    std::string After = Received.query("after");
    std::string Limit = Received.query("limit");
    std::size_t Count = Limit.empty() ? 100 : std::stoul(Limit);
    const Rows &Source = readable();
    json::array Listed;
    for (auto Next = Source.lower_bound(Prefix); Next != Source.end() && Listed.size() < Count;
         ++Next) {
      if (!Next->first.starts_with(Prefix))
        break;
      if (Next->first > After)
        Listed.push_back(rowJson(Next->first, Source));
    }
    Received.answer(json::object{{"rows", std::move(Listed)}, {"epoch", Epoch}});
  }

  json::object stats() const {
    std::lock_guard Lock(m_Mutex);
    return {{"writes", m_Writes}, {"reads", m_Reads}, {"rows", m_Rows.size()}};
  }

  /// Reads return a snapshot of the current rows while the fault "tableStaleReads" is on.
  void setStaleReads(bool IsStale) {
    std::lock_guard Lock(m_Mutex);
    m_ReadsAreStale = IsStale;
    if (IsStale)
      m_SnapshotRows = m_Rows;
  }

private:
  struct Row {
    std::string m_Value;
    std::uint64_t m_Version = 0;
  };
  using Rows = std::map<std::string, Row>;
  static constexpr std::size_t MaxStoredOutcomes = 100000;

  bool isAvailable(Call &Received) {
    std::this_thread::sleep_for(m_Faults.delay("tableDelayMs"));
    if (!m_Faults.isOn("tableDown"))
      return true;
    Received.abortConnection();
    return false;
  }

  const Rows &readable() const { return m_ReadsAreStale ? m_SnapshotRows : m_Rows; }

  static json::object rowJson(const std::string &Key, const Rows &Source) {
    auto Found = Source.find(Key);
    if (Found == Source.end())
      return {{"key", Key}, {"value", ""}, {"version", 0}};
    return {{"key", Key}, {"value", Found->second.m_Value}, {"version", Found->second.m_Version}};
  }

  json::object apply(const json::object &Request) {
    std::lock_guard Lock(m_Mutex);
    ++m_Writes;
    std::string WriteId = textField(Request, "writeId");
    if (auto Known = m_Outcomes.find(WriteId); Known != m_Outcomes.end())
      return Known->second;
    json::object Outcome = commit(Request);
    m_Outcomes[WriteId] = Outcome;
    m_WriteOrder.push_back(WriteId);
    if (m_WriteOrder.size() > MaxStoredOutcomes) {
      m_Outcomes.erase(m_WriteOrder.front());
      m_WriteOrder.pop_front();
    }
    return Outcome;
  }

  json::object commit(const json::object &Request) {
    json::array Conflicts;
    for (const json::object &Condition : objects(Request, "conditions")) {
      std::string Key = textField(Condition, "key");
      json::object Current = rowJson(Key, m_Rows);
      const std::uint64_t Version = numberField(Current, "version");
      if (Version != numberField(Condition, "version") ||
          (Version != 0 && numberField(Condition, "epoch") != Epoch))
        Conflicts.push_back(std::move(Current));
    }
    if (!Conflicts.empty())
      return {{"committed", false}, {"epoch", Epoch}, {"conflicts", std::move(Conflicts)}};
    for (const json::object &Put : objects(Request, "puts")) {
      Row &Target = m_Rows[textField(Put, "key")];
      Target.m_Value = textField(Put, "value");
      Target.m_Version = ++m_LastVersion;
    }
    if (const json::value *Deletes = Request.if_contains("deletes"); Deletes && Deletes->is_array())
      for (const json::value &Key : Deletes->as_array())
        m_Rows.erase(std::string(Key.as_string()));
    return {{"committed", true}, {"epoch", Epoch}, {"conflicts", json::array()}};
  }

  static std::vector<json::object> objects(const json::object &Request, std::string_view Key) {
    std::vector<json::object> Result;
    const json::value *Found = Request.if_contains(Key);
    if (Found && Found->is_array())
      for (const json::value &Entry : Found->as_array())
        if (Entry.is_object())
          Result.push_back(Entry.as_object());
    return Result;
  }

  Faults &m_Faults;
  mutable std::mutex m_Mutex;
  Rows m_Rows;
  Rows m_SnapshotRows;
  bool m_ReadsAreStale = false;
  /// The last row version. Versions are not reused, even if a row is deleted and written again.
  std::uint64_t m_LastVersion = 0;
  /// This table is never restored from a copy.
  static constexpr std::uint64_t Epoch = 1;
  std::uint64_t m_Writes = 0;
  std::uint64_t m_Reads = 0;
  std::map<std::string, json::object> m_Outcomes;
  std::deque<std::string> m_WriteOrder;
};

/// The origin: models of seeded random bytes, served over one rate-limited link.
class OriginStandin {
public:
  OriginStandin(Faults &Simulated, double BytesPerSecond)
      : m_Faults(Simulated), m_BytesPerSecond(BytesPerSecond) {}

  void createModel(Call &Received) {
    json::object Request = Received.jsonBody();
    RandomGenerator Random(numberField(Request, "seed", 1));
    std::uint64_t Left = numberField(Request, "bytes", 64u << 20);
    std::uint64_t ChunkBytes = numberField(Request, "chunkBytes", 1u << 20);
    json::array Chunks;
    std::lock_guard Lock(m_Mutex);
    while (Left > 0) {
      std::string Content(std::min(Left, ChunkBytes), '\0');
      for (std::size_t I = 0; I < Content.size(); I += sizeof(std::uint64_t)) {
        std::uint64_t Word = Random();
        std::memcpy(Content.data() + I, &Word, std::min(sizeof Word, Content.size() - I));
      }
      Left -= Content.size();
      std::string Hex = sha256(Content).hex();
      Chunks.push_back({{"digest", Hex}, {"size", Content.size()}});
      m_Chunks[Hex] = std::move(Content);
    }
    std::string Name = textField(Request, "service") + "/" + textField(Request, "version");
    m_Manifests[Name] = json::object{{"service", textField(Request, "service")},
                                     {"version", textField(Request, "version")},
                                     {"chunks", std::move(Chunks)}};
    Received.answer(m_Manifests[Name]);
  }

  void manifest(Call &Received) {
    if (m_Faults.isOn("originDown"))
      return Received.abortConnection();
    std::lock_guard Lock(m_Mutex);
    auto Found = m_Manifests.find(Received.path().substr(std::strlen("/origin/manifests/")));
    if (Found == m_Manifests.end())
      return Received.answer(json::object{{"error", "no such manifest"}}, 404);
    Received.answer(Found->second);
  }

  void chunk(Call &Received) {
    if (m_Faults.isOn("originDown"))
      return Received.abortConnection();
    std::string Content;
    {
      std::lock_guard Lock(m_Mutex);
      auto Found = m_Chunks.find(Received.path().substr(std::strlen("/origin/chunks/")));
      if (Found == m_Chunks.end())
        return Received.answer(json::object{{"error", "no such chunk"}}, 404);
      Content = Found->second;
      m_BytesServed += Content.size();
    }
    while (m_Faults.isOn("originStalled"))
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    waitForLink(Content.size());
    if (m_Faults.isOn("originCorrupt"))
      Content[Content.size() / 2] = static_cast<char>(Content[Content.size() / 2] ^ 1);
    Received.answerBytes(Content);
  }

  json::object stats() const {
    std::lock_guard Lock(m_Mutex);
    return {{"bytesServed", m_BytesServed}};
  }

private:
  /// Reserves the next free interval of the link and sleeps until it ends.
  void waitForLink(std::size_t Size) {
    SteadyTime End;
    {
      std::lock_guard Lock(m_LinkMutex);
      auto Length = std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double>(static_cast<double>(Size) / m_BytesPerSecond));
      m_LinkFreeFrom = std::max(m_LinkFreeFrom, std::chrono::steady_clock::now()) + Length;
      End = m_LinkFreeFrom;
    }
    std::this_thread::sleep_until(End);
  }

  Faults &m_Faults;
  const double m_BytesPerSecond;
  mutable std::mutex m_Mutex;
  std::mutex m_LinkMutex;
  SteadyTime m_LinkFreeFrom;
  std::map<std::string, json::object> m_Manifests;
  std::map<std::string, std::string> m_Chunks;
  std::uint64_t m_BytesServed = 0;
};

/// The instance list. Changes become visible after a lag.
class InstanceListStandin {
public:
  explicit InstanceListStandin(std::chrono::milliseconds Lag) : m_Lag(Lag) {}

  void put(Call &Received) {
    json::object Record = Received.jsonBody();
    std::lock_guard Lock(m_Mutex);
    m_Changes.push_back({std::chrono::steady_clock::now() + m_Lag, std::move(Record)});
    Received.answer(json::object{});
  }

  void list(Call &Received) {
    std::lock_guard Lock(m_Mutex);
    while (!m_Changes.empty() &&
           m_Changes.front().m_VisibleFrom <= std::chrono::steady_clock::now()) {
      json::object &Record = m_Changes.front().m_Record;
      std::string Id = textField(Record, "id");
      if (textField(Record, "state") == "gone")
        m_Listed.erase(Id);
      else
        m_Listed[Id] = std::move(Record);
      m_Changes.pop_front();
    }
    json::array Instances;
    for (const auto &[Id, Record] : m_Listed)
      Instances.push_back(Record);
    Received.answer(json::object{{"instances", std::move(Instances)}});
  }

private:
  struct Change {
    SteadyTime m_VisibleFrom;
    json::object m_Record;
  };

  const std::chrono::milliseconds m_Lag;
  std::mutex m_Mutex;
  std::deque<Change> m_Changes;
  std::map<std::string, json::object> m_Listed;
};

/// An object store in memory.
class ObjectStoreStandin {
public:
  explicit ObjectStoreStandin(Faults &Simulated) : m_Faults(Simulated) {}

  void put(Call &Received) {
    if (m_Faults.isOn("objectsDown"))
      return Received.abortConnection();
    std::lock_guard Lock(m_Mutex);
    m_Objects[Received.path()] = Received.body();
    Received.answer(json::object{});
  }

  void get(Call &Received) {
    if (m_Faults.isOn("objectsDown"))
      return Received.abortConnection();
    std::lock_guard Lock(m_Mutex);
    auto Found = m_Objects.find(Received.path());
    if (Found == m_Objects.end())
      return Received.answer(json::object{{"error", "no such object"}}, 404);
    Received.answerBytes(Found->second);
  }

private:
  Faults &m_Faults;
  std::mutex m_Mutex;
  std::map<std::string, std::string> m_Objects;
};

int run(std::uint16_t Port, double OriginRate, unsigned ListLagMs) {
  Faults Simulated;
  TableStandin Table(Simulated);
  OriginStandin Origin(Simulated, OriginRate);
  InstanceListStandin Instances{std::chrono::milliseconds(ListLagMs)};
  ObjectStoreStandin Objects(Simulated);
  constexpr int MaxThreads = 256;
  return serve(Port, MaxThreads,
               {{"POST /table/transact", [&](Call &Received) { Table.transact(Received); }},
                {"GET /table/row", [&](Call &Received) { Table.read(Received); }},
                {"GET /table/scan", [&](Call &Received) { Table.scan(Received); }},
                {"GET /table/stats", [&](Call &Received) { Received.answer(Table.stats()); }},
                {"POST /origin/models", [&](Call &Received) { Origin.createModel(Received); }},
                {"GET /origin/manifests/", [&](Call &Received) { Origin.manifest(Received); }},
                {"GET /origin/chunks/", [&](Call &Received) { Origin.chunk(Received); }},
                {"GET /origin/stats", [&](Call &Received) { Received.answer(Origin.stats()); }},
                {"POST /instances", [&](Call &Received) { Instances.put(Received); }},
                {"GET /instances", [&](Call &Received) { Instances.list(Received); }},
                {"PUT /objects/", [&](Call &Received) { Objects.put(Received); }},
                {"GET /objects/", [&](Call &Received) { Objects.get(Received); }},
                {"POST /faults", [&](Call &Received) {
                   json::object Changes = Received.jsonBody();
                   if (Changes.contains("tableStaleReads"))
                     Table.setStaleReads(boolField(Changes, "tableStaleReads"));
                   Simulated.set(Changes);
                   Received.answer(json::object{});
                 }}});
}

} // namespace
} // namespace fescuegauge::standins

int main(int ArgumentCount, char **Arguments) {
  namespace options = boost::program_options;
  std::uint16_t Port = 0;
  double OriginRate = 0;
  unsigned ListLagMs = 0;
  options::options_description Known("fescuegauge-standin-platform: a stand-in for the platform");
  // clang-format off
  Known.add_options()
      ("help", "print this text")
      ("port", options::value(&Port)->default_value(0), "TCP port on 127.0.0.1; 0 lets the kernel choose")
      ("origin-bytes-per-second", options::value(&OriginRate)->default_value(50e6), "rate of the origin's link")
      ("list-lag-ms", options::value(&ListLagMs)->default_value(200), "lag of the instance list");
  // clang-format on
  try {
    options::variables_map Values;
    options::store(options::parse_command_line(ArgumentCount, Arguments, Known), Values);
    options::notify(Values);
    if (Values.contains("help")) {
      std::cout << Known;
      return 0;
    }
    return fescuegauge::standins::run(Port, OriginRate, ListLagMs);
  } catch (const std::exception &Error) {
    std::cerr << "fescuegauge-standin-platform: " << Error.what() << '\n';
    return 2;
  }
}
