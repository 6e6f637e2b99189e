#ifndef FESCUEGAUGE_LIBGATEWAY_PAUSESCENARIO_H
#define FESCUEGAUGE_LIBGATEWAY_PAUSESCENARIO_H

#include "Fescuegauge/Random.h"
#include "Fescuegauge/RetryBudget.h"
#include "GatewayCore.h"
#include "PauseChecks.h"

#include <boost/asio/post.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <thread>

namespace fescuegauge::test {

using namespace std::chrono_literals;

inline Duration drawBetween(RandomGenerator &Random, Duration Least, Duration Most) {
  const auto Range = static_cast<std::uint64_t>((Most - Least).count());
  return Least + Duration(static_cast<Duration::rep>(uniformBelow(Random, Range)));
}

/// Creates the steps of the response that a run sends.
class ResponseWriter {
public:
  ResponseWriter(UpstreamRun &Run, const ClientCall &Call, const HttpRequest &Request,
                 RandomGenerator &Random)
      : m_Run(Run), m_Call(Call), m_Request(Request), m_Random(Random) {}

  void write() {
    switch (m_Run.m_Kind) {
    case RunKind::Rejection:
      add(ResponsePhase::Header, 1ms, 10ms,
          plainResponse(m_Request, uniformBelow(m_Random, 2) == 0 ? 503 : 421, "not run",
                        "Not-Run: 1\r\n"));
      return;
    case RunKind::Failure: {
      static constexpr std::array<unsigned, 3> Statuses = {500, 502, 503};
      add(ResponsePhase::Header, 20ms, 150ms,
          plainResponse(m_Request, Statuses[uniformBelow(m_Random, Statuses.size())], "failed"));
      return;
    }
    default:
      break;
    }
    m_Run.m_IsUnframed = m_Call.m_Framing == Framing::Unframed;
    if (m_Run.m_IsUnframed)
      m_Run.m_End = FakeUpstream::Script::End::Close;
    if (m_Call.m_Kind == RequestKind::Stream)
      writeStream();
    else
      writePlain();
    if (m_Run.m_Kind == RunKind::Break)
      breakOff();
  }

private:
  void add(ResponsePhase Phase, Duration LeastDelay, Duration MostDelay, std::string Bytes,
           bool EndsEvent = false) {
    m_Run.m_Steps.push_back(
        {Phase, drawBetween(m_Random, LeastDelay, MostDelay), std::move(Bytes), EndsEvent});
  }

  std::string header(const std::string &Type, const std::string &FramingHeader) const {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + m_Run.m_RequestId + "\r\nContent-Type: " + Type +
           "\r\nWeights-Version: " + std::to_string(m_Run.m_WeightsVersion) + "\r\n" +
           FramingHeader + "\r\n";
  }

  std::string framed(const std::string &Bytes) const {
    return m_Call.m_Framing == Framing::Chunked && !Bytes.empty() ? chunk(Bytes) : Bytes;
  }

  /// Adds a text in two steps.
  void addInParts(ResponsePhase Phase, Duration Delay, const std::string &Text) {
    const std::size_t Split = 1 + uniformBelow(m_Random, Text.size() - 1);
    add(Phase, Delay, Delay + 20ms, framed(Text.substr(0, Split)));
    add(ResponsePhase::RestOfEvent, 0ms, 30ms, framed(Text.substr(Split)), true);
  }

  void addEnd() {
    if (m_Call.m_Framing != Framing::Length)
      add(ResponsePhase::End, 10ms, 60ms, m_Run.m_IsUnframed ? "" : LastChunk);
  }

  void writeStream() {
    add(ResponsePhase::Header, 10ms, 60ms,
        header("text/event-stream", m_Run.m_IsUnframed ? "" : "Transfer-Encoding: chunked\r\n"));
    const int First = m_Run.m_ResumedAfter + 1;
    const int Last = m_Run.m_Kind == RunKind::NoEvents ? 0 : m_Call.m_Events;
    for (int Event = First; Event <= Last; ++Event)
      addInParts(Event == First ? ResponsePhase::FirstEvent : ResponsePhase::NextEvent,
                 m_Call.m_EventGap, eventText(m_Run, runNumber(), Event));
    addEnd();
  }

  void writePlain() {
    const std::string Body = plainBody(m_Run, runNumber());
    std::string FramingHeader;
    if (m_Call.m_Framing == Framing::Length)
      FramingHeader = "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    else if (m_Call.m_Framing == Framing::Chunked)
      FramingHeader = "Transfer-Encoding: chunked\r\n";
    add(ResponsePhase::Header, 30ms, 250ms, header("text/plain", FramingHeader));
    addInParts(ResponsePhase::FirstEvent, 20ms, Body);
    addEnd();
  }

  /// Resets the connection before one of the steps.
  void breakOff() {
    const std::size_t At = uniformBelow(m_Random, m_Run.m_Steps.size());
    m_Run.m_Steps.resize(At + 1);
    m_Run.m_Steps.back().m_Bytes.clear();
    m_Run.m_Steps.back().m_EndsEvent = false;
    m_Run.m_End = FakeUpstream::Script::End::Reset;
  }

  std::size_t runNumber() const { return m_Call.m_Runs.size() - 1; }

  UpstreamRun &m_Run;
  const ClientCall &m_Call;
  const HttpRequest &m_Request;
  RandomGenerator &m_Random;
};

/// What a new plan or list of upstreams changes. Each starts from the first plan and the whole
/// list, so that it also undoes the changes before it.
enum class Change {
  ShorterTimeout,
  LongerTimeout,
  RouteRemoved,
  RouteMoved,
  NoService,
  AccountRemoved,
  KeyRemoved,
  LowLimits,
  ShortIdleTime,
  FewerAttempts,
  OtherEngine,
  UpstreamLeaving,
  UpstreamUnlisted,
  OneSlot,
  NewerWeights,
  OtherRegion,
  SamePlan,
};
inline constexpr std::array<const char *, 17> ChangeNames = {
    "shorter-timeout", "longer-timeout",   "route-removed",     "route-moved", "no-service",
    "account-removed", "key-removed",      "low-limits",        "short-idle",  "fewer-attempts",
    "other-engine",    "upstream-leaving", "upstream-unlisted", "one-slot",    "newer-weights",
    "other-region",    "same-plan"};

/// A gateway with upstreams and clients, whose requests and faults are drawn from a seed.
///
/// The gateway has an event loop of its own, so that its delays do not delay the others. Its loop
/// only runs in pollGateway(), which one thread calls for all scenarios, because gateways of a
/// process share buffers; all other functions are called from another thread.
class Scenario {
public:
  Scenario(std::uint64_t Seed, Findings &Result)
      : m_Seed(Seed), m_Result(Result), m_Random(Seed), m_StopTime(draw(2) == 0 ? 4s : 7600ms),
        m_Fixture(m_StopTime) {
    drawUpstreams();
    drawRequests();
    drawPauses();
    drawFirstPlan();
    putInForce({}, m_Fixture.records());
    pollGateway();
    net::co_spawn(m_PeerLoop, run(), net::detached);
  }

  void pollGateway() { m_GatewayPolls.poll(m_Fixture.loop()); }
  /// Runs upstreams and clients. Their first requests find a plan in force.
  void pollPeers() { m_PeerPolls.poll(m_PeerLoop); }

  bool isDone() const {
    const auto IsOver = [](const UpstreamRun &Run) { return Run.m_EndedAt.has_value(); };
    const auto HasEnded = [](const ClientCall &Call) { return Call.m_IsDone; };
    return m_HasRun && std::all_of(m_Calls.begin(), m_Calls.end(), HasEnded) &&
           std::all_of(m_Runs.begin(), m_Runs.end(), IsOver);
  }

  void check() {
    m_Result.check("ended", isDone(), "[seed " + std::to_string(m_Seed) + "]");
    m_Bounds.m_LongestDelay = std::max(m_GatewayPolls.longestDelay(), m_PeerPolls.longestDelay());
    for (const ClientCall &Call : m_Calls)
      CallChecker(Call, m_Bounds, m_Seed, m_Result).checkAll();
  }

private:
  /// The upstreams pause together when a run at the first of them reaches a phase.
  struct PlannedPause {
    std::vector<std::size_t> m_Upstreams;
    Duration m_NotBefore{0};
    ResponsePhase m_Phase = ResponsePhase::Header;
    Duration m_Length{0};
    bool m_HasBegun = false;
  };
  /// An upstream rejects new requests because others fill it.
  struct FullTime {
    Duration m_Begin{0};
    Duration m_End{0};
  };
  struct UpstreamState {
    std::unique_ptr<PausingUpstream> m_Server;
    std::uint32_t m_Slots = 1;
    int m_WeightsVersion = 3;
    std::optional<FullTime> m_Full;
  };
  /// Runs a loop, and records the longest time that an event may have waited for its end.
  class Polls {
  public:
    void poll(net::io_context &Loop) {
      const TimePoint Begin = monotonicNow();
      const TimePoint Previous = std::exchange(m_Begin, Begin);
      Loop.restart();
      Loop.poll();
      if (Previous != TimePoint())
        m_LongestDelay = std::max<Duration>(m_LongestDelay, monotonicNow() - Previous);
    }
    Duration longestDelay() const { return m_LongestDelay; }

  private:
    TimePoint m_Begin;
    Duration m_LongestDelay{0};
  };
  using PlanEdit = std::function<void(RoutingPlan &)>;
  struct AccountUse {
    std::size_t m_Requests = 0;
    std::size_t m_FurtherArrivals = 0;
  };

  static constexpr std::size_t Accounts = 3;
  static constexpr Duration ArrivalTime = 3s;
  /// Requests that an upstream accepts beyond its slots.
  static constexpr std::uint32_t UpstreamQueue = 4;
  /// Shorter waits for the end of a pause do not count as one.
  static constexpr Duration LeastPause = 100ms;
  static constexpr Duration ShortIdleTime = 100ms;
  /// More of them would delay the gateways of all scenarios for most of the time.
  static constexpr std::size_t CallsEndingAtDeadline = 4;

  std::size_t draw(std::size_t Bound) { return uniformBelow(m_Random, Bound); }
  Duration drawTime(Duration Least, Duration Most) { return drawBetween(m_Random, Least, Most); }

  void drawUpstreams() {
    m_IsEngine = draw(2) == 0;
    const std::size_t LeastSlots = 1 + draw(2);
    const std::size_t MoreSlots = LeastSlots == 1 ? 2 : 5;
    m_Upstreams.resize(2 + draw(4));
    for (std::size_t I = 0; I < m_Upstreams.size(); ++I) {
      UpstreamState &Each = m_Upstreams[I];
      if (I > 0 && draw(2) == 0)
        Each.m_WeightsVersion = 4;
      if (draw(4) == 0) {
        const Duration Begin = drawTime(0s, ArrivalTime);
        Each.m_Full = FullTime{Begin, Begin + drawTime(500ms, 2s)};
      }
      UpstreamRecord Record;
      Record.m_Id = InstanceId("upstream-" + std::to_string(I));
      Record.m_DataCentre = DataCentreId("a");
      Record.m_Region = RegionId("r");
      Record.m_Service = ServiceId("service");
      Record.m_Weights = {heldWeights(Each.m_WeightsVersion)};
      Record.m_Slots = Each.m_Slots = static_cast<std::uint32_t>(LeastSlots + draw(MoreSlots));
      Each.m_Server = std::make_unique<PausingUpstream>(
          m_PeerLoop,
          [this, I](const HttpRequest &Request) -> UpstreamRun & { return startRun(I, Request); },
          [this, I](const UpstreamRun &, ResponsePhase Phase) { beginPauses(I, Phase); },
          [this](const UpstreamRun &Run, ResponsePhase Phase, Duration Length) {
            countPause(Run, Phase, Length);
          });
      Record.m_Address = Each.m_Server->address();
      m_Fixture.records().push_back(Record);
    }
  }

  static HeldWeights heldWeights(int Version) {
    HeldWeights Result;
    Result.m_Model = ModelId("model");
    Result.m_Version = WeightsVersion(static_cast<std::uint64_t>(Version));
    return Result;
  }

  void drawRequests() {
    static constexpr std::array<std::size_t, 4> LeastWarm = {0, 10, 80, 80};
    const std::size_t Budget = m_Seed % LeastWarm.size();
    m_WarmUpRequests = LeastWarm[Budget] + (Budget == 0 ? 0 : draw(LeastWarm[Budget]));
    m_Result.count(Budget == 0 ? "budget.empty" : Budget == 1 ? "budget.small" : "budget.full");
    const std::size_t Count = 40 + draw(21);
    for (std::size_t I = 0; I < Count; ++I) {
      ClientCall &Call = m_Calls.emplace_back();
      const std::size_t Kind = draw(10);
      Call.m_Kind = Kind < 6   ? RequestKind::Stream
                    : Kind < 8 ? RequestKind::Safe
                               : RequestKind::Once;
      Call.m_Id = "r" + std::to_string(I);
      Call.m_Account = draw(Accounts);
      Call.m_Start = drawTime(0s, ArrivalTime);
      Call.m_Allowed = drawTime(3s, 6s);
      if (draw(10) == 0)
        Call.m_LeaveAfter = drawTime(200ms, 2500ms);
      Call.m_Events = Call.m_Kind == RequestKind::Stream ? 3 + static_cast<int>(draw(6)) : 0;
      Call.m_EventGap = drawTime(40ms, 180ms);
      Call.m_Framing = draw(4) == 0                         ? Framing::Unframed
                       : Call.m_Kind == RequestKind::Stream ? Framing::Chunked
                       : draw(2) == 0                       ? Framing::Length
                                                            : Framing::Chunked;
      Call.m_IsToMovedRoute = draw(10) == 0;
      Call.m_NamesModel = draw(2) == 0;
      Call.m_HasLargeHeader = draw(4) == 0;
      if (draw(5) == 0)
        Call.m_BodyDelay = drawTime(1ms, 300ms);
      if (draw(4) == 0)
        Call.m_IdleTime = drawTime(0ms, 2 * ShortIdleTime);
    }
    for (std::size_t Left = CallsEndingAtDeadline; Left > 0; --Left) {
      ClientCall &Call = m_Calls[draw(m_Calls.size())];
      Call.m_EndsAtDeadline = true;
      Call.m_Allowed = drawTime(1s, 3s);
      if (Call.m_Framing == Framing::Unframed)
        Call.m_Framing = Framing::Chunked;
    }
  }

  void drawPauses() {
    const std::size_t Count = 4 + draw(5);
    for (std::size_t I = 0; I < Count; ++I) {
      PlannedPause &Pause = m_Pauses.emplace_back();
      Pause.m_Upstreams.push_back(draw(m_Upstreams.size()));
      if (draw(5) < 2)
        for (std::size_t Other = 0; Other < m_Upstreams.size(); ++Other)
          if (Other != Pause.m_Upstreams[0] && draw(2) == 0)
            Pause.m_Upstreams.push_back(Other);
      Pause.m_NotBefore = drawTime(0s, ArrivalTime);
      Pause.m_Phase = static_cast<ResponsePhase>(draw(PhaseNames.size()));
      Pause.m_Length = draw(3) == 0 ? drawTime(200ms, 1s) : drawTime(1s, 2s);
    }
  }

  void drawFirstPlan() {
    m_TargetLatency = drawTime(350ms, 450ms);
    m_RouteTimeout = draw(2) == 0 ? 10s : 4s;
  }

  /// The plan from which all changes start.
  void editFirst(RoutingPlan &Plan) const {
    for (Route &Each : Plan.m_Routes) {
      Each.m_Timeout = m_RouteTimeout;
      Each.m_TargetLatency = m_TargetLatency;
    }
    // Half of the moved paths have a route from the beginning.
    if (m_Seed % 2 == 0)
      for (const char *Kind : RequestKindNames)
        addMoved(Plan, Kind);
    if (m_IsEngine)
      Plan.m_Services[0].m_Engine = engine();
    Plan.m_Accounts.clear();
    for (std::size_t I = 0; I < Accounts; ++I)
      Plan.m_Accounts.push_back({ClientAccountId("account-" + std::to_string(I)),
                                 {"key-" + std::to_string(I)},
                                 std::nullopt});
  }

  static void addMoved(RoutingPlan &Plan, const std::string &Kind) {
    const auto From = std::find_if(Plan.m_Routes.begin(), Plan.m_Routes.end(),
                                   [&](const Route &Each) { return Each.m_Id.str() == Kind; });
    if (From == Plan.m_Routes.end())
      return;
    Route Moved = *From;
    Moved.m_Id = RouteId("moved-" + Kind);
    Moved.m_Prefix = ClientCall::MovedPrefix + Kind + "/";
    Plan.m_Routes.push_back(Moved);
  }

  static EngineParameters engine() {
    EngineParameters Result;
    Result.m_Models = {ModelId("model")};
    return Result;
  }

  /// Puts a plan and a list of upstreams in force, on the loop of the gateway.
  void putInForce(const std::vector<PlanEdit> &Edits, const std::vector<UpstreamRecord> &Listed) {
    atGateway([this, Edits, Listed] {
      const TimePoint From = monotonicNow();
      m_Fixture.setPlan([&](RoutingPlan &Plan) {
        editFirst(Plan);
        for (const PlanEdit &Each : Edits)
          Each(Plan);
        m_LatestPlan = std::make_shared<const RouteTable>(Plan);
      });
      m_Fixture.gateway().setUpstreams(Listed);
      if (!m_Bounds.m_Plans.empty())
        m_Bounds.m_Plans.back().m_Until = monotonicNow();
      m_Bounds.m_Plans.push_back({m_LatestPlan, From});
    });
  }

  void atGateway(std::function<void()> Action) { net::post(m_Fixture.loop(), std::move(Action)); }

  /// The gateway handles no events for a while.
  void delayGateway(Duration Length) {
    atGateway([Length] { std::this_thread::sleep_for(Length); });
  }

  void changePlan() {
    std::vector<PlanEdit> Edits;
    std::vector<UpstreamRecord> Listed = m_Fixture.records();
    bool IsSamePlan = false;
    for (std::size_t Left = 1 + draw(4); Left > 0; --Left) {
      const auto Drawn = static_cast<Change>(draw(ChangeNames.size()));
      m_Result.count("change." + nameOf(ChangeNames, Drawn));
      if (Drawn == Change::SamePlan)
        IsSamePlan = true;
      else if (Drawn >= Change::UpstreamLeaving)
        changeList(Drawn, Listed);
      else
        Edits.push_back(drawEdit(Drawn));
    }
    // SIGHUP reads the same plan and the same list again.
    if (IsSamePlan)
      atGateway([this] { m_Fixture.gateway().setPlan(m_LatestPlan); });
    putInForce(Edits, Listed);
    if (IsSamePlan)
      atGateway([this] { m_Fixture.gateway().setPlan(m_LatestPlan); });
    m_Result.count("fault.plan");
  }

  /// Changes one upstream of the list. The first one stays as it is.
  void changeList(Change Drawn, std::vector<UpstreamRecord> &Listed) {
    const std::size_t Position = 1 + draw(m_Upstreams.size() - 1);
    const InstanceId Id = m_Fixture.records()[Position].m_Id;
    const auto Found = std::find_if(Listed.begin(), Listed.end(),
                                    [&](const UpstreamRecord &Each) { return Each.m_Id == Id; });
    if (Found == Listed.end())
      return;
    if (Drawn == Change::UpstreamUnlisted) {
      Listed.erase(Found);
    } else if (Drawn == Change::UpstreamLeaving) {
      Found->m_IsLeaving = true;
    } else if (Drawn == Change::OneSlot) {
      Found->m_Slots = 1;
    } else if (Drawn == Change::OtherRegion) {
      Found->m_Region = RegionId("s");
      Found->m_DataCentre = DataCentreId("b");
    } else {
      Found->m_Weights = {heldWeights(++m_Upstreams[Position].m_WeightsVersion)};
      m_Fixture.records()[Position].m_Weights = Found->m_Weights;
    }
  }

  PlanEdit drawEdit(Change Drawn) {
    const std::string Kind = RequestKindNames.at(draw(RequestKindNames.size()));
    const std::size_t Account = draw(Accounts);
    const auto IsOfKind = [Kind](const Route &Each) { return Each.m_Prefix.ends_with(Kind + "/"); };
    const auto ForRoutes = [IsOfKind](const std::function<void(Route &)> &Edit) {
      return [IsOfKind, Edit](RoutingPlan &Plan) {
        for (Route &Each : Plan.m_Routes)
          if (IsOfKind(Each))
            Edit(Each);
      };
    };
    switch (Drawn) {
    case Change::ShorterTimeout:
      return ForRoutes([Time = drawTime(600ms, 2500ms)](Route &Each) { Each.m_Timeout = Time; });
    case Change::LongerTimeout:
      return ForRoutes([](Route &Each) { Each.m_Timeout = 20s; });
    case Change::RouteMoved:
    case Change::RouteRemoved:
      return [Kind, IsMoved = Drawn == Change::RouteMoved](RoutingPlan &Plan) {
        if (IsMoved)
          addMoved(Plan, Kind);
        std::erase_if(Plan.m_Routes, [&](const Route &Each) { return Each.m_Id.str() == Kind; });
      };
    case Change::NoService:
      return ForRoutes([](Route &Each) { Each.m_Services.clear(); });
    case Change::FewerAttempts:
      return ForRoutes([](Route &Each) { Each.m_MaxAttempts = 1; });
    case Change::AccountRemoved:
      return [Id = ClientAccountId("account-" + std::to_string(Account))](RoutingPlan &Plan) {
        std::erase_if(Plan.m_Accounts, [&](const AccountPlan &Each) { return Each.m_Id == Id; });
      };
    case Change::KeyRemoved:
      return [Key = "key-" + std::to_string(Account)](RoutingPlan &Plan) {
        for (AccountPlan &Each : Plan.m_Accounts)
          std::erase(Each.m_Keys, Key);
        // Without any account, no key is needed.
        Plan.m_Accounts.push_back({ClientAccountId("other"), {"other"}, std::nullopt});
      };
    case Change::LowLimits:
      return [](RoutingPlan &Plan) { Plan.m_Limits.m_MaxHeaderBytes = ClientCall::LowHeaderLimit; };
    case Change::ShortIdleTime:
      return [](RoutingPlan &Plan) { Plan.m_Limits.m_IdleTimeout = ShortIdleTime; };
    default:
      return [IsEngine = !m_IsEngine](RoutingPlan &Plan) {
        Plan.m_Services[0].m_Engine = IsEngine ? std::optional(engine()) : std::nullopt;
      };
    }
  }

  Task<> run() {
    co_await warmUp();
    m_Begin = monotonicNow();
    const net::any_io_executor Executor = co_await net::this_coro::executor;
    for (ClientCall &Call : m_Calls)
      net::co_spawn(Executor, send(Call), net::detached);
    if (draw(3) == 0)
      net::co_spawn(Executor, drain(drawTime(500ms, ArrivalTime)), net::detached);
    for (std::size_t Left = 1 + draw(2); Left > 0; --Left)
      net::co_spawn(Executor, delayLater(drawTime(0s, 2 * ArrivalTime)), net::detached);
    for (std::size_t Left = 2 + draw(4); Left > 0; --Left) {
      // Every other change comes just after a request.
      const Duration AfterCall = m_Calls[draw(m_Calls.size())].m_Start + drawTime(0ms, 10ms);
      const Duration Wait = m_Begin + AfterCall - monotonicNow();
      const Duration Drawn = drawTime(50ms, 900ms);
      co_await sleepFor(draw(2) == 0 && Wait > 0ms && Wait < 1s ? Wait : Drawn);
      changePlan();
    }
    m_HasRun = true;
  }

  Task<> delayLater(Duration After) {
    const Duration Length = drawTime(5ms, 60ms);
    co_await sleepFor(After);
    delayGateway(Length);
    m_Result.count("delay.any");
  }

  /// The gateway handles no events while the deadline passes.
  Task<> delayAt(TimePoint Deadline) {
    const Duration Before = drawTime(5ms, 40ms);
    const Duration Length = Before + drawTime(5ms, 20ms);
    co_await sleepFor(std::max(Deadline - Before - monotonicNow(), Duration(0)));
    delayGateway(Length);
    m_Result.count("delay.at-deadline");
  }

  /// Completed requests fill the retry budget.
  Task<> warmUp() {
    for (std::size_t I = 0; I < m_WarmUpRequests; ++I) {
      ClientCall Call;
      Call.m_Id = "warm" + std::to_string(I);
      Call.m_Kind = RequestKind::Safe;
      Call.m_Account = I % Accounts;
      Call.m_Allowed = 1s;
      countRequest(Call.m_Account);
      bool Done = false;
      co_await callRaw(m_Fixture.address(), Call.bytes(), Call.m_Response, Done);
    }
  }

  Task<> drain(Duration After) {
    co_await sleepFor(After);
    atGateway([this] {
      const TimePoint Now = monotonicNow();
      m_Bounds.m_Cutoff = Now + m_StopTime - GatewayCore::StopMargin;
      m_Bounds.m_IdleCloseFrom = std::min(Now + GatewayCore::DrainGrace, m_Bounds.m_Cutoff);
      m_Fixture.gateway().beginDrain();
    });
    m_Result.count("fault.drain");
  }

  Task<> send(ClientCall &Call) {
    co_await sleepFor(Call.m_Start);
    const net::any_io_executor Executor = co_await net::this_coro::executor;
    Tcp::socket Socket(Executor);
    co_await Socket.async_connect(tcpEndpoint(m_Fixture.address()), AsTuple);
    if (Call.m_IdleTime)
      co_await useBefore(Socket, Call);
    const std::string Header = Call.header();
    Call.m_BodySentAt = Call.m_SentAt = monotonicNow();
    countRequest(Call.m_Account);
    if (Call.m_BodyDelay > 0ms) {
      co_await net::async_write(Socket, net::buffer(Header), AsTuple);
      co_await sleepFor(Call.m_BodyDelay);
      Call.m_BodySentAt = monotonicNow();
      co_await net::async_write(Socket, net::buffer(Call.Body, 4), AsTuple);
    } else {
      co_await net::async_write(Socket, net::buffer(Call.bytes()), AsTuple);
    }
    OneShotTimer Leave(Executor);
    if (Call.m_LeaveAfter)
      Leave.set(*Call.m_LeaveAfter, [&] {
        Call.m_LeftAt = monotonicNow();
        m_Result.count("fault.client-left");
        SystemError Ignored;
        Socket.close(Ignored);
      });
    co_await readRaw(Socket, Call.m_Response, Call.m_IsDone);
    Call.m_EndedAt = monotonicNow();
  }

  /// Sends another request on the connection and leaves it idle for a while. A client that finds
  /// its connection closed opens another one.
  Task<> useBefore(Tcp::socket &Socket, ClientCall &Call) {
    ClientCall Earlier;
    Earlier.m_Id = "warm-" + Call.m_Id;
    Earlier.m_Kind = RequestKind::Safe;
    Earlier.m_Account = Call.m_Account;
    Earlier.m_Allowed = 1s;
    countRequest(Earlier.m_Account);
    co_await net::async_write(Socket, net::buffer(Earlier.bytes()), AsTuple);
    co_await readRaw(Socket, Earlier.m_Response, Earlier.m_IsDone);
    const TimePoint IdleSince = monotonicNow();
    co_await sleepFor(*Call.m_IdleTime);
    if (Earlier.m_Response.isComplete() && !isClosedByPeer(Socket)) {
      Call.m_IdleSince = IdleSince;
      m_Result.count("connection.kept");
      co_return;
    }
    m_Result.count("connection.closed");
    Socket = Tcp::socket(co_await net::this_coro::executor);
    co_await Socket.async_connect(tcpEndpoint(m_Fixture.address()), AsTuple);
  }

  void countRequest(std::size_t Account) {
    ++m_AccountUse[Account].m_Requests;
    ++m_Use.m_Requests;
  }

  /// The retry budget allows a share of the requests as further arrivals.
  void checkBudget(std::size_t Account) {
    constexpr double Tolerance = 1e-6;
    const auto Within = [](const AccountUse &Use, double Start, double Share) {
      return static_cast<double>(Use.m_FurtherArrivals) <=
             Start + Share * static_cast<double>(Use.m_Requests) + Tolerance;
    };
    ++m_Use.m_FurtherArrivals;
    ++m_AccountUse[Account].m_FurtherArrivals;
    const std::string Detail = "[seed " + std::to_string(m_Seed) + "]";
    m_Result.check("retry-budget", Within(m_Use, 0, RetryBudget::Share), Detail);
    m_Result.check(
        "retry-budget-of-account",
        Within(m_AccountUse[Account], RetryBudget::AccountStart, RetryBudget::AccountShare),
        Detail);
  }

  UpstreamRun &startRun(std::size_t Upstream, const HttpRequest &Request) {
    UpstreamRun &Run = m_Runs.emplace_back();
    Run.m_RequestId = std::string(Request["Request-Id"]);
    Run.m_Upstream = m_Fixture.records()[Upstream].m_Id;
    Run.m_ArrivedAt = monotonicNow();
    Run.m_WeightsVersion = m_Upstreams[Upstream].m_WeightsVersion;
    if (Run.m_RequestId.starts_with("warm")) {
      Run.m_Steps = {{ResponsePhase::Header, 0ms, plainResponse(Request, 200, "x")}};
      return Run;
    }
    ClientCall &Call = m_Calls.at(std::stoul(Run.m_RequestId.substr(1)));
    if (!Call.m_Runs.empty())
      checkBudget(Call.m_Account);
    Call.m_Runs.push_back(&Run);
    if (Request.count("Last-Event-ID") != 0)
      Run.m_ResumedAfter = std::atoi(std::string(Request["Last-Event-ID"]).c_str());
    RandomGenerator Random(m_Seed * 1'000'003 + std::stoul(Run.m_RequestId.substr(1)) * 101 +
                           Call.m_Runs.size());
    Run.m_Kind = drawKind(Run, Call, m_Upstreams[Upstream], Request, Random);
    ResponseWriter(Run, Call, Request, Random).write();
    if (Run.m_Kind == RunKind::Sound && Call.m_EndsAtDeadline)
      endAtDeadline(Run, Request);
    if (Run.m_Kind != RunKind::Sound)
      m_Result.count("fault." + nameOf(RunKindNames, Run.m_Kind));
    return Run;
  }

  /// Spreads the response over the time that the request has left, and delays the gateway at the
  /// deadline.
  void endAtDeadline(UpstreamRun &Run, const HttpRequest &Request) {
    const Duration Left =
        std::chrono::milliseconds(std::stoul(std::string(Request["Deadline-Ms"])));
    Duration Spare = Left - drawTime(20ms, 60ms);
    for (const ResponseStep &Each : Run.m_Steps)
      Spare -= Each.m_DelayBefore;
    if (Spare < 0ms)
      return;
    for (ResponseStep &Each : Run.m_Steps)
      Each.m_DelayBefore += Spare / static_cast<Duration::rep>(Run.m_Steps.size());
    net::co_spawn(m_PeerLoop, delayAt(Run.m_ArrivedAt + Left), net::detached);
  }

  bool isFull(const UpstreamState &Upstream) const {
    const Duration SinceBegin = std::chrono::duration_cast<Duration>(monotonicNow() - m_Begin);
    return Upstream.m_Server->inFlight() >= Upstream.m_Slots + UpstreamQueue ||
           (Upstream.m_Full && SinceBegin >= Upstream.m_Full->m_Begin &&
            SinceBegin < Upstream.m_Full->m_End);
  }

  /// Draws what the upstream does with the request.
  RunKind drawKind(const UpstreamRun &Run, const ClientCall &Call, const UpstreamState &Upstream,
                   const HttpRequest &Request, RandomGenerator &Random) const {
    if (isFull(Upstream)) {
      m_Result.count("fault.full");
      return RunKind::Rejection;
    }
    const bool IsOtherVersion = Request.count("Expected-Weights") != 0 &&
                                Request["Expected-Weights"] != std::to_string(Run.m_WeightsVersion);
    if (IsOtherVersion)
      return chance(Random, 0.3) ? RunKind::Rejection : RunKind::OtherVersion;
    // Further upstreams of a request fail more often.
    if (chance(Random, Call.m_Runs.size() == 1 ? 0.1 : 0.65)) {
      static constexpr std::array<RunKind, 6> Faults = {RunKind::Rejection, RunKind::Rejection,
                                                        RunKind::Break,     RunKind::Break,
                                                        RunKind::Failure,   RunKind::NoEvents};
      const RunKind Drawn = Faults.at(uniformBelow(Random, Faults.size()));
      if (Drawn != RunKind::NoEvents || Call.m_Kind == RequestKind::Stream)
        return Drawn;
    }
    // A resumed stream that has no further event does not show that it is whole.
    const bool HasNoEvents =
        Call.m_Kind == RequestKind::Stream && Run.m_ResumedAfter == Call.m_Events;
    return HasNoEvents ? RunKind::NoEvents : RunKind::Sound;
  }

  /// Pauses begin when a run at their first upstream reaches their phase.
  void beginPauses(std::size_t Upstream, ResponsePhase Phase) {
    for (PlannedPause &Each : m_Pauses) {
      if (Each.m_HasBegun || Each.m_Upstreams[0] != Upstream || Each.m_Phase != Phase ||
          monotonicNow() < m_Begin + Each.m_NotBefore)
        continue;
      Each.m_HasBegun = true;
      for (const std::size_t Paused : Each.m_Upstreams)
        m_Upstreams[Paused].m_Server->pause(Each.m_Length);
      m_Result.count(Each.m_Upstreams.size() > 1 ? "pause.several" : "pause.one");
    }
  }

  void countPause(const UpstreamRun &Run, ResponsePhase Phase, Duration Length) {
    if (Length < LeastPause)
      return;
    m_Result.count("pause." + nameOf(PhaseNames, Phase));
    if (Run.m_IsUnframed)
      m_Result.count("pause.unframed-" + nameOf(PhaseNames, Phase));
    const auto IsFull = [&](const UpstreamState &Each) {
      return Each.m_Server->inFlight() >= Each.m_Slots + (m_IsEngine ? 0 : UpstreamQueue);
    };
    if (Length > StallTime && std::all_of(m_Upstreams.begin(), m_Upstreams.end(), IsFull))
      m_Result.count("pause.no-room-elsewhere");
  }

  std::uint64_t m_Seed;
  Findings &m_Result;
  RandomGenerator m_Random;
  Duration m_StopTime;
  GatewayFixture m_Fixture;
  net::io_context m_PeerLoop;
  Polls m_GatewayPolls;
  Polls m_PeerPolls;
  Duration m_RouteTimeout{0};
  Duration m_TargetLatency{0};
  /// Used on the loop of the gateway.
  std::shared_ptr<const RouteTable> m_LatestPlan;
  bool m_IsEngine = false;
  std::vector<UpstreamState> m_Upstreams;
  std::deque<ClientCall> m_Calls;
  std::deque<UpstreamRun> m_Runs;
  std::vector<PlannedPause> m_Pauses;
  std::size_t m_WarmUpRequests = 0;
  AccountUse m_Use;
  std::array<AccountUse, Accounts> m_AccountUse;
  TimePoint m_Begin;
  bool m_HasRun = false;
  /// Written on the loop of the gateway, and read after its end.
  ScenarioBounds m_Bounds;
};

} // namespace fescuegauge::test

#endif // FESCUEGAUGE_LIBGATEWAY_PAUSESCENARIO_H
