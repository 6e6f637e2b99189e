#include "EngineModel.h"
#include "Fescuegauge/DispatchQueue.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/UnstartedRequests.h"
#include "Fescuegauge/UpstreamBoard.h"
#include "Fescuegauge/WeightsDeadlines.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

const ServiceId Service("service");
const ModelId Model("model");
constexpr WeightsVersion Older(1);
constexpr WeightsVersion Newer(2);
constexpr Duration Target = 400ms;
constexpr std::uint32_t MeanPrompt = 980;

EngineParameters engine() {
  EngineParameters Result;
  Result.m_BatchSize = 8;
  Result.m_StepsPerPass = 5;
  Result.m_StepTime = 9270us;
  Result.m_StepTimePerRequest = 23us;
  Result.m_PromptTokensPerSecond = 20700;
  Result.m_MeanPromptTokens = MeanPrompt;
  Result.m_MeanAnswerTokens = 92;
  Result.m_LoadTime = 300ms;
  return Result;
}

/// Many entry instances, each with a board and a queue of its own, before engines that keep
/// requests waiting beside a full batch, on virtual time. They hear of each other's use late and in
/// part. A newer version of the weights is announced, and only the engines with even numbers
/// convert before the bound; requests arrive above the capacity of all of them.
class WeightsBoundReplay {
public:
  static constexpr std::size_t Entries = 40;
  static constexpr std::size_t Engines = 16;
  static constexpr std::size_t MostWaitingAtEngine = 16;
  /// The engines have capacity for about 100.
  static constexpr double HeavyLoad = 300;
  static constexpr double LightLoad = 80;
  static constexpr Duration Bound = 10s;
  static constexpr TimePoint AnnouncedAt = TimePoint(4s);
  static constexpr TimePoint BoundAt = AnnouncedAt + Bound;
  static constexpr TimePoint End = BoundAt + 5s;

  /// With slow links, requests and closes are SlowDelay on the way to two engines that do not
  /// convert, in the last seconds before the bound.
  enum class Links { Fast, TwoSlow };

  explicit WeightsBoundReplay(std::uint64_t Seed, double RequestsPerSecond = HeavyLoad,
                              Links Kind = Links::Fast)
      : m_Random(Seed), m_RequestsPerSecond(RequestsPerSecond), m_Links(Kind),
        m_LastSentBeforeBound(Engines) {
    for (std::size_t I = 0; I < Engines; ++I) {
      UpstreamRecord Record;
      Record.m_Id = InstanceId("u" + std::to_string(I));
      Record.m_Address = {"10.0.0." + std::to_string(I + 1), 80};
      Record.m_Service = Service;
      Record.m_Slots = engine().m_BatchSize;
      Record.m_Weights = {{Model, Older}};
      m_Records.push_back(Record);
      m_Engines.emplace_back(engine(), MostWaitingAtEngine);
    }
    for (std::size_t I = 0; I < Entries; ++I)
      m_Entries.emplace_back(I, m_Random());
    for (Entry &Each : m_Entries) {
      Each.m_Board.setPlan(plan());
      Each.m_Board.setUpstreams(m_Records);
      later(randomUpTo(ReportInterval), [this, &Each] { report(Each); });
      later(AnnouncedAt - m_Now + randomUpTo(LongestNotice),
            [this, &Each] { Each.m_BoundAt = m_Now + Bound; });
    }
    for (std::size_t I = 0; I < Engines; I += 2)
      later(AnnouncedAt - m_Now + 1s + randomUpTo(Bound - 3s), [this, I] { convert(I); });
  }

  void run() {
    constexpr Duration Step = 1ms;
    for (double Due = 0; m_Now < End; m_Now += Step) {
      while (!m_Messages.empty() && m_Messages.begin()->first <= m_Now) {
        const std::function<void()> Action = std::move(m_Messages.begin()->second);
        m_Messages.erase(m_Messages.begin());
        Action();
      }
      for (std::size_t I = 0; I < Engines; ++I)
        m_Engines[I].advance(m_Now, [&](const EngineModel::Event &Each, TimePoint At) {
          onEngineEvent(I, Each, At);
        });
      for (Due += m_RequestsPerSecond * toSeconds(Step); Due >= 1; --Due)
        arrive();
      for (Entry &Each : m_Entries) {
        for (const RunNumber Number : enforceBound(Each))
          takeBack(Number);
        pump(Each);
      }
    }
  }

  /// Requests whose first event was made with older weights after the bound.
  int begunLate() const { return m_BegunLate; }
  /// Requests that began on older weights in the time of this length before the bound.
  int begunOnOlderWithin(Duration Length) const {
    return static_cast<int>(
        std::count_if(m_OlderBegins.begin(), m_OlderBegins.end(),
                      [&](TimePoint Each) { return Each <= BoundAt && Each > BoundAt - Length; }));
  }
  int takenBack() const { return m_TakenBack; }
  Duration longestWaitAtEngine() const { return m_LongestWait; }
  /// The longest time before the bound for which an engine that had not converted was sent nothing.
  Duration longestUnused() const {
    Duration Longest{0};
    for (std::size_t I = 0; I < Engines; ++I)
      if (m_Engines[I].version() == Older)
        Longest = std::max(Longest, BoundAt - m_LastSentBeforeBound[I]);
    return Longest;
  }

private:
  /// One dispatch of a request.
  using RunNumber = std::uint64_t;

  static constexpr Duration ReportInterval = 400ms;
  /// The part of the other entry instances that each report reaches.
  static constexpr double ReportReach = 0.25;
  /// The longest time that a message takes, and an announcement.
  static constexpr Duration LongestDelay = 60ms;
  static constexpr Duration LongestNotice = 30ms;
  static constexpr Duration SlowDelay = 1600ms;
  static constexpr Duration SlowFor = 2s;

  struct Entry {
    Entry(std::size_t Index, std::uint64_t Seed)
        : m_Id("e" + std::to_string(Index)), m_Board({}, Seed) {}

    InstanceId m_Id;
    UpstreamBoard m_Board;
    DispatchQueue m_Queue;
    UnstartedRequests m_Unstarted;
    std::map<UnstartedNumber, RunNumber> m_Runs;
    TimePoint m_BoundAt = TimePoint::max();
  };
  struct Call {
    Entry *m_Entry = nullptr;
    std::uint32_t m_PromptTokens = 0;
    std::uint32_t m_AnswerTokens = 0;
    TimePoint m_WaitsSince;
  };
  struct Run {
    WaitingNumber m_Call;
    std::size_t m_Engine = 0;
    TimePoint m_SentAt;
    bool m_HasBegun = false;
    bool m_HasEnded = false;
    /// The close has reached the engine.
    bool m_IsClosed = false;
    std::optional<UnstartedNumber> m_Unstarted = std::nullopt;
  };

  /// What enforces the bound at one entry instance: the runs that it takes back now.
  std::vector<RunNumber> enforceBound(Entry &Of) {
    if (Of.m_BoundAt == TimePoint::max())
      return {};
    if (m_Now >= Of.m_BoundAt - WeightsDeadlines::Margin)
      Of.m_Board.setLeastVersion(Model, Newer);
    Of.m_Board.setWeightsBounds(Model, {{Newer, Of.m_BoundAt}});
    std::vector<RunNumber> Result;
    for (const UnstartedNumber Each : Of.m_Unstarted.overdue(Of.m_Board, m_Now))
      Result.push_back(Of.m_Runs.at(Each));
    return Result;
  }
  void onSent(Entry &Of, std::size_t Engine, RunNumber Number, std::uint32_t PromptTokens) {
    const UpstreamRecord &Upstream = *Of.m_Board.find(m_Records[Engine].m_Id);
    Of.m_Board.onDispatched(Upstream.m_Id, PromptTokens, m_Now);
    const UnstartedNumber Unstarted = Of.m_Unstarted.add(Model, Upstream, m_Now);
    Of.m_Runs[Unstarted] = Number;
    m_Runs.at(Number).m_Unstarted = Unstarted;
  }
  /// The first event of a run came, or it ended without. Returns where it had waited.
  std::optional<UnstartedRequests::Wait> endUnstarted(Entry &Of, Run &Ended) {
    if (!Ended.m_Unstarted)
      return std::nullopt;
    return Of.m_Unstarted.remove(*std::exchange(Ended.m_Unstarted, std::nullopt), m_Now);
  }
  void onStarted(Entry &Of, Run &Started, std::uint32_t PromptTokens) {
    Of.m_Board.onPromptRead(m_Records[Started.m_Engine].m_Id, PromptTokens);
    if (const auto Wait = endUnstarted(Of, Started))
      Of.m_Board.onStarted(Service, Wait->m_Upstream, Wait->m_Length, m_Now);
  }
  void onEnded(Entry &Of, Run &Ended, DispatchResult Result, std::uint32_t UnreadTokens) {
    Of.m_Board.onEnded(m_Records[Ended.m_Engine].m_Id, Result, UnreadTokens, m_Now);
    const auto Wait = endUnstarted(Of, Ended);
    if (Wait && Result == DispatchResult::Abandoned)
      Of.m_Board.onStartGivenUp(Service, Wait->m_Upstream, Wait->m_Length, m_Now);
  }

  static RouteTable plan() {
    RoutingPlan Plan;
    ServicePlan Of;
    Of.m_Id = Service;
    Of.m_Engine = engine();
    Plan.m_Services.push_back(Of);
    Route Path;
    Path.m_TargetLatency = Target;
    Path.m_TargetGap = Target;
    Path.m_Services = {{Service, 1}};
    Plan.m_Routes.push_back(Path);
    return RouteTable(Plan);
  }

  Duration randomUpTo(Duration Longest) {
    return Duration(static_cast<Duration::rep>(
        uniformBelow(m_Random, static_cast<std::uint64_t>(Longest.count()))));
  }
  void later(Duration After, std::function<void()> Action) {
    m_Messages.emplace(m_Now + After, std::move(Action));
  }
  void send(std::function<void()> Action) { later(randomUpTo(LongestDelay), std::move(Action)); }

  /// The same for what goes to an engine. Nothing overtakes what was sent to it before.
  void sendToEngine(std::size_t Engine, std::function<void()> Action) {
    const bool IsSlow = m_Links == Links::TwoSlow && (Engine == 1 || Engine == 3) &&
                        m_Now >= BoundAt - SlowFor && m_Now < BoundAt;
    if (IsSlow)
      later(SlowDelay, std::move(Action));
    else
      send(std::move(Action));
  }

  void report(Entry &From) {
    for (Entry &Each : m_Entries)
      if (&Each != &From && chance(m_Random, ReportReach))
        send([this, &Each, &From, Use = From.m_Board.ownUse()] {
          Each.m_Board.onPeerReport(From.m_Id, Use, m_Now);
        });
    later(jittered(m_Random, ReportInterval), [this, &From] { report(From); });
  }

  void convert(std::size_t Index) {
    m_Engines[Index].load(Newer);
    awaitConversion(Index);
  }
  void awaitConversion(std::size_t Index) {
    if (m_Engines[Index].version() == Older) {
      later(10ms, [this, Index] { awaitConversion(Index); });
      return;
    }
    m_Records[Index].m_Weights = {{Model, Newer}};
    for (Entry &Each : m_Entries)
      send([this, &Each] { Each.m_Board.setUpstreams(m_Records); });
  }

  void arrive() {
    const WaitingNumber Number(++m_LastCall);
    Call &New = m_Calls[Number];
    New.m_Entry = &m_Entries[uniformBelow(m_Random, Entries)];
    New.m_PromptTokens =
        static_cast<std::uint32_t>(uniformBelow(m_Random, std::uint64_t{2} * MeanPrompt)) + 1;
    New.m_AnswerTokens = static_cast<std::uint32_t>(uniformBelow(m_Random, 180)) + 5;
    findPlace(Number);
  }

  void findPlace(WaitingNumber Number) {
    Call &Of = m_Calls.at(Number);
    Of.m_WaitsSince = m_Now;
    DispatchQueue &Queue = Of.m_Entry->m_Queue;
    if (Queue.waiting(Service) == 0 && place(Number))
      return;
    const WaitingRequest Waiting{Number, 0, false};
    if (Queue.shouldWait(Service, Waiting, DispatchQueue::longestWait(Target), m_Now))
      Queue.push(Service, Waiting);
  }

  void pump(Entry &Of) {
    for (const WaitingNumber Number : Of.m_Queue.order(Service)) {
      const bool Expired =
          m_Now - m_Calls.at(Number).m_WaitsSince > DispatchQueue::longestWait(Target);
      if (Expired || place(Number))
        Of.m_Queue.remove(Service, Number);
    }
  }

  bool place(WaitingNumber Number) {
    const Call &Of = m_Calls.at(Number);
    const Placement Found =
        Of.m_Entry->m_Board.place({Service, Model, std::nullopt, {}, Of.m_PromptTokens}, m_Now);
    if (Found.m_Verdict != PlacementVerdict::Placed)
      return false;
    const InstanceId &Id = Found.m_Upstream.m_Id;
    const std::size_t Index = std::stoul(Id.str().substr(1));
    const RunNumber Sent = ++m_LastRun;
    m_Runs[Sent] = {Number, Index, m_Now};
    onSent(*Of.m_Entry, Index, Sent, Of.m_PromptTokens);
    Of.m_Entry->m_Queue.onPlaced(Service, m_Now);
    if (m_Now <= BoundAt)
      m_LastSentBeforeBound[Index] = m_Now;
    const EngineModel::Request Request{Sent, Of.m_PromptTokens, Of.m_AnswerTokens};
    sendToEngine(Index, [this, Sent, Request] {
      if (!m_Runs.at(Sent).m_IsClosed && !m_Engines[m_Runs.at(Sent).m_Engine].submit(Request))
        send([this, Sent] { finish(Sent, DispatchResult::Rejected); });
    });
    return true;
  }

  void onEngineEvent(std::size_t Index, const EngineModel::Event &Each, TimePoint At) {
    if (Each.m_IsFirst) {
      m_LongestWait = std::max(m_LongestWait, At - m_Runs.at(Each.m_Number).m_SentAt);
      if (m_Engines[Index].version() == Older) {
        m_OlderBegins.push_back(At);
        m_BegunLate += At > BoundAt ? 1 : 0;
      }
    }
    send([this, Each] { onEvent(Each); });
  }

  void onEvent(const EngineModel::Event &Each) {
    Run &Of = m_Runs.at(Each.m_Number);
    if (Of.m_HasEnded)
      return;
    const Call &Served = m_Calls.at(Of.m_Call);
    Served.m_Entry->m_Board.onProgress(m_Records[Of.m_Engine].m_Id, m_Now);
    if (!Of.m_HasBegun)
      onStarted(*Served.m_Entry, Of, Served.m_PromptTokens);
    Of.m_HasBegun = true;
    if (Each.m_IsLast)
      finish(Each.m_Number, DispatchResult::Answered);
  }

  void finish(RunNumber Number, DispatchResult Result) {
    Run &Of = m_Runs.at(Number);
    if (std::exchange(Of.m_HasEnded, true))
      return;
    const Call &Served = m_Calls.at(Of.m_Call);
    onEnded(*Served.m_Entry, Of, Result, Of.m_HasBegun ? 0 : Served.m_PromptTokens);
  }

  void takeBack(RunNumber Number) {
    const Run &Of = m_Runs.at(Number);
    ++m_TakenBack;
    finish(Number, DispatchResult::Abandoned);
    sendToEngine(Of.m_Engine, [this, Number, Index = Of.m_Engine] {
      m_Runs.at(Number).m_IsClosed = true;
      m_Engines[Index].withdraw(Number);
    });
    findPlace(Of.m_Call);
  }

  RandomGenerator m_Random;
  double m_RequestsPerSecond;
  Links m_Links;
  TimePoint m_Now;
  std::multimap<TimePoint, std::function<void()>> m_Messages;
  std::vector<UpstreamRecord> m_Records;
  std::vector<EngineModel> m_Engines;
  std::deque<Entry> m_Entries;
  std::map<WaitingNumber, Call> m_Calls;
  std::map<RunNumber, Run> m_Runs;
  std::uint64_t m_LastCall = 0;
  RunNumber m_LastRun = 0;
  std::vector<TimePoint> m_LastSentBeforeBound;
  std::vector<TimePoint> m_OlderBegins;
  Duration m_LongestWait{0};
  int m_BegunLate = 0;
  int m_TakenBack = 0;
};

} // namespace

// Load pattern: demand above capacity from many entry instances that know little of each other,
// while only a part of the engines holds the announced weights. Guards against requests that were
// sent before the bound and begin on older weights after it.
TEST_CASE("no request begins on older weights after the bound", "[dispatch]") {
  const std::uint64_t Seed = GENERATE(1, 2, 3);
  WeightsBoundReplay Replay(Seed);
  Replay.run();
  CAPTURE(Seed, Replay.begunOnOlderWithin(1s), Replay.takenBack(),
          toSeconds(Replay.longestWaitAtEngine()), toSeconds(Replay.longestUnused()));
  CHECK(Replay.begunLate() == 0);
}

// The same load. Guards against requests that reach an engine over a slow link after the bound,
// with their close behind them.
TEST_CASE("no request begins on older weights after the bound over a link that became slow",
          "[dispatch][known-red]") {
  const std::uint64_t Seed = GENERATE(1, 2, 3);
  WeightsBoundReplay Replay(Seed, WeightsBoundReplay::LightLoad,
                            WeightsBoundReplay::Links::TwoSlow);
  Replay.run();
  CAPTURE(Seed, Replay.takenBack());
  CHECK(Replay.begunLate() == 0);
}

// The same load. Guards against engines that stand idle long before the bound.
TEST_CASE("engines with older weights are given work until shortly before the bound",
          "[dispatch]") {
  constexpr Duration LongestUnused = 6s;
  const std::uint64_t Seed = GENERATE(1, 2, 3);
  WeightsBoundReplay Replay(Seed);
  Replay.run();
  CAPTURE(Seed, Replay.begunOnOlderWithin(1s));
  CHECK(toSeconds(Replay.longestUnused()) <= toSeconds(LongestUnused));
}
