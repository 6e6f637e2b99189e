#include "EngineModel.h"
#include "Fescuegauge/DispatchQueue.h"
#include "Fescuegauge/LoadBalancer.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/UnstartedRequests.h"
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

/// Simulates many entry instances, each with its own load balancer and queue, in front of engines
/// that queue requests beside a full batch, in virtual time. Reports on each other's usage arrive
/// late and at a part of the instances. A newer version of the weights is announced, and only the
/// engines with even numbers load it before the bound; requests arrive above the capacity of all of
/// them.
class WeightsBoundReplay {
public:
  static constexpr std::size_t Entries = 40;
  static constexpr std::size_t Engines = 16;
  static constexpr std::size_t MaxQueuedAtEngine = 16;
  /// The capacity of the engines is about 100 requests per second.
  static constexpr double HeavyLoad = 300;
  static constexpr double LightLoad = 80;
  static constexpr Duration Bound = 10s;
  static constexpr TimePoint AnnouncedAt = TimePoint(4s);
  static constexpr TimePoint BoundAt = AnnouncedAt + Bound;
  static constexpr TimePoint End = BoundAt + 5s;

  /// With slow links, requests and closes to two engines that do not load the version take
  /// SlowDelay, in the last seconds before the bound.
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
      m_Engines.emplace_back(engine(), MaxQueuedAtEngine);
    }
    for (std::size_t I = 0; I < Entries; ++I)
      m_Entries.emplace_back(I, m_Random());
    for (Entry &Each : m_Entries) {
      Each.m_LoadBalancer.setPlan(plan());
      Each.m_LoadBalancer.setUpstreams(m_Records);
      schedule(randomUpTo(ReportInterval), [this, &Each] { report(Each); });
      schedule(AnnouncedAt - m_Now + randomUpTo(MaxAnnouncementDelay),
               [this, &Each] { Each.m_BoundAt = m_Now + Bound; });
    }
    for (std::size_t I = 0; I < Engines; I += 2)
      schedule(AnnouncedAt - m_Now + 1s + randomUpTo(Bound - 3s), [this, I] { loadNewer(I); });
  }

  void run() {
    constexpr Duration Step = 1ms;
    for (double Due = 0; m_Now < End; m_Now += Step) {
      while (!m_ScheduledActions.empty() && m_ScheduledActions.begin()->first <= m_Now) {
        const std::function<void()> Action = std::move(m_ScheduledActions.begin()->second);
        m_ScheduledActions.erase(m_ScheduledActions.begin());
        Action();
      }
      for (std::size_t I = 0; I < Engines; ++I)
        m_Engines[I].advance(m_Now, [&](const EngineModel::Event &Each, TimePoint At) {
          onEngineEvent(I, Each, At);
        });
      for (Due += m_RequestsPerSecond * toSeconds(Step); Due >= 1; --Due)
        onArrival();
      for (Entry &Each : m_Entries) {
        for (const RunNumber Number : enforceBound(Each))
          withdrawRun(Number);
        dispatchWaiting(Each);
      }
    }
  }

  /// Requests whose first event was produced with older weights after the bound.
  int lateStartCount() const { return m_LateStartCount; }
  /// Requests that started on older weights within this time before the bound.
  int olderStartsWithin(Duration Length) const {
    return static_cast<int>(
        std::count_if(m_OlderStarts.begin(), m_OlderStarts.end(),
                      [&](TimePoint Each) { return Each <= BoundAt && Each > BoundAt - Length; }));
  }
  int withdrawn() const { return m_WithdrawnCount; }
  Duration maxWaitAtEngine() const { return m_MaxWait; }
  /// The longest time before the bound without a request to an engine with the older version.
  Duration maxIdleBeforeBound() const {
    Duration Longest{0};
    for (std::size_t I = 0; I < Engines; ++I)
      if (m_Engines[I].version() == Older)
        Longest = std::max(Longest, BoundAt - m_LastSentBeforeBound[I]);
    return Longest;
  }

private:
  /// Identifies one dispatch of a request.
  using RunNumber = std::uint64_t;

  static constexpr Duration ReportInterval = 400ms;
  /// Share of the other entry instances that receive each report.
  static constexpr double ReportReach = 0.25;
  /// The longest transit times of a message and of an announcement.
  static constexpr Duration LongestDelay = 60ms;
  static constexpr Duration MaxAnnouncementDelay = 30ms;
  static constexpr Duration SlowDelay = 1600ms;
  static constexpr Duration SlowFor = 2s;

  struct Entry {
    Entry(std::size_t Index, std::uint64_t Seed)
        : m_Id("e" + std::to_string(Index)), m_LoadBalancer({}, Seed) {}

    InstanceId m_Id;
    LoadBalancer m_LoadBalancer;
    DispatchQueue m_Queue;
    UnstartedRequests m_Unstarted;
    std::map<UnstartedNumber, RunNumber> m_Runs;
    TimePoint m_BoundAt = TimePoint::max();
  };
  struct Call {
    Entry *m_Entry = nullptr;
    std::uint32_t m_PromptTokens = 0;
    std::uint32_t m_AnswerTokens = 0;
    TimePoint m_QueuedAt;
  };
  struct Run {
    WaitingNumber m_Call;
    std::size_t m_Engine = 0;
    TimePoint m_SentAt;
    bool m_HasStarted = false;
    bool m_HasEnded = false;
    /// The close has arrived at the engine.
    bool m_IsClosed = false;
    std::optional<UnstartedNumber> m_Unstarted = std::nullopt;
  };

  /// Enforces the bound at one entry instance. Returns the executions to be withdrawn now.
  std::vector<RunNumber> enforceBound(Entry &Of) {
    if (Of.m_BoundAt == TimePoint::max())
      return {};
    if (m_Now >= Of.m_BoundAt - WeightsDeadlines::Margin)
      Of.m_LoadBalancer.setMinVersion(Model, Newer);
    Of.m_LoadBalancer.setWeightsBounds(Model, {{Newer, Of.m_BoundAt}});
    std::vector<RunNumber> Result;
    for (const UnstartedNumber Each : Of.m_Unstarted.overdue(Of.m_LoadBalancer, m_Now))
      Result.push_back(Of.m_Runs.at(Each));
    return Result;
  }
  void onSent(Entry &Of, std::size_t Engine, RunNumber Number, std::uint32_t PromptTokens) {
    const UpstreamRecord &Upstream = *Of.m_LoadBalancer.find(m_Records[Engine].m_Id);
    Of.m_LoadBalancer.onDispatched(Upstream.m_Id, PromptTokens, m_Now);
    const UnstartedNumber Unstarted = Of.m_Unstarted.add(Model, Upstream, m_Now);
    Of.m_Runs[Unstarted] = Number;
    m_Runs.at(Number).m_Unstarted = Unstarted;
  }
  /// Handles the first event of an execution, or its end without one. Returns where it had waited.
  std::optional<UnstartedRequests::Wait> endUnstarted(Entry &Of, Run &Ended) {
    if (!Ended.m_Unstarted)
      return std::nullopt;
    return Of.m_Unstarted.remove(*std::exchange(Ended.m_Unstarted, std::nullopt), m_Now);
  }
  void onStarted(Entry &Of, Run &Started, std::uint32_t PromptTokens) {
    Of.m_LoadBalancer.onPromptRead(m_Records[Started.m_Engine].m_Id, PromptTokens);
    if (const auto Wait = endUnstarted(Of, Started))
      Of.m_LoadBalancer.onStarted(Service, Wait->m_Upstream, Wait->m_Length, m_Now);
  }
  void onEnded(Entry &Of, Run &Ended, DispatchResult Result, std::uint32_t UnreadTokens) {
    Of.m_LoadBalancer.onEnded(m_Records[Ended.m_Engine].m_Id, Result, UnreadTokens, m_Now);
    const auto Wait = endUnstarted(Of, Ended);
    if (Wait && Result == DispatchResult::Abandoned)
      Of.m_LoadBalancer.onStartAbandoned(Service, Wait->m_Upstream, Wait->m_Length, m_Now);
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
  void schedule(Duration After, std::function<void()> Action) {
    m_ScheduledActions.emplace(m_Now + After, std::move(Action));
  }
  void send(std::function<void()> Action) { schedule(randomUpTo(LongestDelay), std::move(Action)); }

  /// The same for messages to an engine. A message is never processed before one that was sent
  /// earlier to the same engine.
  void sendToEngine(std::size_t Engine, std::function<void()> Action) {
    const bool IsSlow = m_Links == Links::TwoSlow && (Engine == 1 || Engine == 3) &&
                        m_Now >= BoundAt - SlowFor && m_Now < BoundAt;
    if (IsSlow)
      schedule(SlowDelay, std::move(Action));
    else
      send(std::move(Action));
  }

  void report(Entry &From) {
    for (Entry &Each : m_Entries)
      if (&Each != &From && chance(m_Random, ReportReach))
        send([this, &Each, &From, Use = From.m_LoadBalancer.ownUsage()] {
          Each.m_LoadBalancer.onPeerReport(From.m_Id, Use, m_Now);
        });
    schedule(jittered(m_Random, ReportInterval), [this, &From] { report(From); });
  }

  void loadNewer(std::size_t Index) {
    m_Engines[Index].load(Newer);
    awaitLoad(Index);
  }
  void awaitLoad(std::size_t Index) {
    if (m_Engines[Index].version() == Older) {
      schedule(10ms, [this, Index] { awaitLoad(Index); });
      return;
    }
    m_Records[Index].m_Weights = {{Model, Newer}};
    for (Entry &Each : m_Entries)
      send([this, &Each] { Each.m_LoadBalancer.setUpstreams(m_Records); });
  }

  void onArrival() {
    const WaitingNumber Number(++m_LastCall);
    Call &New = m_Calls[Number];
    New.m_Entry = &m_Entries[uniformBelow(m_Random, Entries)];
    New.m_PromptTokens =
        static_cast<std::uint32_t>(uniformBelow(m_Random, std::uint64_t{2} * MeanPrompt)) + 1;
    New.m_AnswerTokens = static_cast<std::uint32_t>(uniformBelow(m_Random, 180)) + 5;
    placeOrQueue(Number);
  }

  void placeOrQueue(WaitingNumber Number) {
    Call &Of = m_Calls.at(Number);
    Of.m_QueuedAt = m_Now;
    DispatchQueue &Queue = Of.m_Entry->m_Queue;
    if (Queue.waiting(Service) == 0 && place(Number))
      return;
    const WaitingRequest Waiting{Number, 0, false};
    if (Queue.shouldQueue(Service, Waiting, DispatchQueue::maxQueueTime(Target), m_Now))
      Queue.push(Service, Waiting);
  }

  void dispatchWaiting(Entry &Of) {
    for (const WaitingNumber Number : Of.m_Queue.order(Service)) {
      const bool Expired =
          m_Now - m_Calls.at(Number).m_QueuedAt > DispatchQueue::maxQueueTime(Target);
      if (Expired || place(Number))
        Of.m_Queue.remove(Service, Number);
    }
  }

  bool place(WaitingNumber Number) {
    const Call &Of = m_Calls.at(Number);
    const Placement Found = Of.m_Entry->m_LoadBalancer.place(
        {Service, Model, std::nullopt, {}, Of.m_PromptTokens}, m_Now);
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
      m_MaxWait = std::max(m_MaxWait, At - m_Runs.at(Each.m_Number).m_SentAt);
      if (m_Engines[Index].version() == Older) {
        m_OlderStarts.push_back(At);
        m_LateStartCount += At > BoundAt ? 1 : 0;
      }
    }
    send([this, Each] { onEvent(Each); });
  }

  void onEvent(const EngineModel::Event &Each) {
    Run &Of = m_Runs.at(Each.m_Number);
    if (Of.m_HasEnded)
      return;
    const Call &Served = m_Calls.at(Of.m_Call);
    Served.m_Entry->m_LoadBalancer.onProgress(m_Records[Of.m_Engine].m_Id, m_Now);
    if (!Of.m_HasStarted)
      onStarted(*Served.m_Entry, Of, Served.m_PromptTokens);
    Of.m_HasStarted = true;
    if (Each.m_IsLast)
      finish(Each.m_Number, DispatchResult::Answered);
  }

  void finish(RunNumber Number, DispatchResult Result) {
    Run &Of = m_Runs.at(Number);
    if (std::exchange(Of.m_HasEnded, true))
      return;
    const Call &Served = m_Calls.at(Of.m_Call);
    onEnded(*Served.m_Entry, Of, Result, Of.m_HasStarted ? 0 : Served.m_PromptTokens);
  }

  void withdrawRun(RunNumber Number) {
    const Run &Of = m_Runs.at(Number);
    ++m_WithdrawnCount;
    finish(Number, DispatchResult::Abandoned);
    sendToEngine(Of.m_Engine, [this, Number, Index = Of.m_Engine] {
      m_Runs.at(Number).m_IsClosed = true;
      m_Engines[Index].withdraw(Number);
    });
    placeOrQueue(Of.m_Call);
  }

  RandomGenerator m_Random;
  double m_RequestsPerSecond;
  Links m_Links;
  TimePoint m_Now;
  std::multimap<TimePoint, std::function<void()>> m_ScheduledActions;
  std::vector<UpstreamRecord> m_Records;
  std::vector<EngineModel> m_Engines;
  std::deque<Entry> m_Entries;
  std::map<WaitingNumber, Call> m_Calls;
  std::map<RunNumber, Run> m_Runs;
  std::uint64_t m_LastCall = 0;
  RunNumber m_LastRun = 0;
  std::vector<TimePoint> m_LastSentBeforeBound;
  std::vector<TimePoint> m_OlderStarts;
  Duration m_MaxWait{0};
  int m_LateStartCount = 0;
  int m_WithdrawnCount = 0;
};

} // namespace

// Guards against requests that were sent before the bound and start on older weights after it.
// Load: demand above capacity at many entry instances with few reports on each other, while only a
// part of the engines holds the announced weights.
TEST_CASE("no request begins on older weights after the bound", "[dispatch]") {
  const std::uint64_t Seed = GENERATE(1, 2, 3);
  WeightsBoundReplay Replay(Seed);
  Replay.run();
  CAPTURE(Seed, Replay.olderStartsWithin(1s), Replay.withdrawn(),
          toSeconds(Replay.maxWaitAtEngine()), toSeconds(Replay.maxIdleBeforeBound()));
  CHECK(Replay.lateStartCount() == 0);
}

// Guards against requests that reach an engine over a slow link after the bound, with their close
// behind them. The load is below capacity.
TEST_CASE("no request begins on older weights after the bound over a link that became slow",
          "[dispatch][known-red]") {
  const std::uint64_t Seed = GENERATE(1, 2, 3);
  WeightsBoundReplay Replay(Seed, WeightsBoundReplay::LightLoad,
                            WeightsBoundReplay::Links::TwoSlow);
  Replay.run();
  CAPTURE(Seed, Replay.withdrawn());
  CHECK(Replay.lateStartCount() == 0);
}

// Guards against engines that are idle long before the bound. Load: demand above capacity at many
// entry instances.
TEST_CASE("engines with older weights are given work until shortly before the bound",
          "[dispatch]") {
  constexpr Duration LongestUnused = 6s;
  const std::uint64_t Seed = GENERATE(1, 2, 3);
  WeightsBoundReplay Replay(Seed);
  Replay.run();
  CAPTURE(Seed, Replay.olderStartsWithin(1s));
  CHECK(toSeconds(Replay.maxIdleBeforeBound()) <= toSeconds(LongestUnused));
}
