#include "LoopbackTestUtils.h"
#include "PauseScenario.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <thread>
#include <utility>

using namespace fescuegauge;
using namespace fescuegauge::test;
using namespace std::chrono_literals;

using Script = FakeUpstream::Script;

namespace {

/// A request whose first upstream pauses and goes on, and the responses of the next upstreams.
class PausedRequest {
public:
  explicit PausedRequest(std::string Path) : m_Path(std::move(Path)) {
    setPlan([](RoutingPlan &) {});
  }

  void setPlan(const std::function<void(RoutingPlan &)> &Change) {
    m_Fixture.setPlan([&](RoutingPlan &Plan) {
      for (Route &Each : Plan.m_Routes)
        Each.m_Timeout = 6s;
      Change(Plan);
    });
  }

  void setSlots(std::uint32_t Slots) { m_Slots = Slots; }

  /// Sends the request after `EarningRequests` others, which earn the retry budget. `Next` responds
  /// to it at all upstreams but the first.
  RawResponse run(std::size_t Upstreams, int EarningRequests, FakeUpstream::RequestHandler Next) {
    m_Next = std::move(Next);
    for (std::size_t I = 0; I < Upstreams; ++I)
      m_Fixture.addUpstream([this](const HttpRequest &Request) { return respond(Request); });
    for (UpstreamRecord &Each : m_Fixture.records())
      Each.m_Slots = m_Slots;
    m_Fixture.gateway().setUpstreams(m_Fixture.records());
    for (int I = 0; I < EarningRequests; ++I)
      m_Fixture.exchange(GatewayFixture::request("/safe/earning", "e" + std::to_string(I)));
    return m_Fixture.exchange(request(m_Path), 7s);
  }

  /// Sends a further request without waiting for its response.
  void startOther(const std::string &Path) {
    m_Fixture.start(request(Path), m_OtherResponse, m_IsOtherDone);
  }

private:
  static constexpr Duration Pause = 1500ms;

  static std::string request(const std::string &Path) {
    return GatewayFixture::withDeadline(GatewayFixture::request(Path, Path), 6s);
  }

  Script respond(const HttpRequest &Request) {
    if (Request.target() == "/safe/earning")
      return Script{{{plainResponse(Request, 200, "x")}}};
    if (Request.target() != m_Path || std::exchange(m_HasArrived, true))
      return m_Next(Request);
    if (m_Path.starts_with("/safe/"))
      return Script{{{plainResponse(Request, 200, "whole"), Pause}}};
    return Script{
        {{streamHeader(Request)}, {chunk(event(1))}, {chunk(event(2)), Pause}, {LastChunk}}};
  }

  std::string m_Path;
  std::uint32_t m_Slots = 4;
  FakeUpstream::RequestHandler m_Next;
  bool m_HasArrived = false;
  RawResponse m_OtherResponse;
  bool m_IsOtherDone = false;
  GatewayFixture m_Fixture;
};

bool isWholeStream(const RawResponse &Response) {
  return Response.status() == 200 && Response.isCompleteChunked() &&
         Response.m_Bytes.find("token-1") < Response.m_Bytes.find("token-2") &&
         Response.contains("token-2");
}

Script reject(const HttpRequest &Request) {
  return Script{{{plainResponse(Request, 503, "full", "Not-Run: 1\r\n")}}};
}

/// Rejects the first request and resumes the stream of the others.
FakeUpstream::RequestHandler rejectOnce() {
  return [IsRejected = false](const HttpRequest &Request) mutable {
    if (!std::exchange(IsRejected, true))
      return reject(Request);
    return Script{{{streamHeader(Request)}, {chunk(event(2))}, {LastChunk}}};
  };
}

/// Streams and plain requests earn enough for all attempts here.
constexpr int FullBudget = 60;

} // namespace

// Guards against a move that takes the last retry, so that a rejection ends the stream.
TEST_CASE("a stream of a paused upstream is not lost when the retry budget is used up by its move",
          "[gateway]") {
  for (const std::size_t Upstreams : {2, 3})
    for (const int EarningRequests : {10, 15}) {
      INFO(Upstreams << " upstreams, " << EarningRequests << " requests before");
      CHECK(
          isWholeStream(PausedRequest("/stream/x").run(Upstreams, EarningRequests, rejectOnce())));
    }
}

// Guards against a stream that gives its slot to another request and finds no other one.
TEST_CASE("a stream of a paused upstream is not lost when there is no room elsewhere",
          "[gateway]") {
  PausedRequest Request("/stream/x");
  // An engine gets no more requests than it has slots.
  Request.setPlan([](RoutingPlan &Plan) { Plan.m_Services[0].m_Engine = EngineParameters(); });
  Request.setSlots(1);
  CHECK(isWholeStream(Request.run(2, FullBudget, [&](const HttpRequest &Next) {
    if (Next.target() == "/safe/other")
      return Script{{{plainResponse(Next, 200, "x"), 4s}}};
    Request.startOther("/safe/other");
    return Script{{{plainResponse(Next, 503, "full", "Not-Run: 1\r\nRetry-After: 5\r\n"), 300ms}}};
  })));
}

// Guards against a stream that is cut by a response which does not resume it.
TEST_CASE("a stream of a paused upstream is not lost when the next one has no events",
          "[gateway]") {
  CHECK(isWholeStream(PausedRequest("/stream/x").run(2, FullBudget, [](const HttpRequest &Request) {
    return Script{{{streamHeader(Request)}, {LastChunk}}};
  })));
}

// Guards against a stream that is cut with the connection of an upstream that sent no event.
TEST_CASE("a stream of a paused upstream is not lost when the next one breaks off", "[gateway]") {
  CHECK(isWholeStream(PausedRequest("/stream/x").run(2, FullBudget, [](const HttpRequest &Request) {
    return Script{{{streamHeader(Request)}, {"", 30ms}}, Script::End::Reset};
  })));
}

// Guards against a stream that is cut by the failure of another upstream.
TEST_CASE("a stream of a paused upstream is not lost when the next one fails", "[gateway]") {
  CHECK(isWholeStream(PausedRequest("/stream/x").run(2, FullBudget, [](const HttpRequest &Request) {
    return Script{{{plainResponse(Request, 500, "failed")}}};
  })));
}

// Guards against a stream that is cut after a number of rejections.
TEST_CASE("a stream of a paused upstream is not lost by repeated rejections", "[gateway]") {
  CHECK(isWholeStream(PausedRequest("/stream/x").run(6, FullBudget, reject)));
}

// Guards against a stream that is cut because no other upstream holds its version of the weights.
TEST_CASE("a stream of a paused upstream is not lost when the next one holds another version",
          "[gateway]") {
  CHECK(isWholeStream(PausedRequest("/stream/x").run(2, FullBudget, [](const HttpRequest &Request) {
    std::string Header = streamHeader(Request);
    Header.replace(Header.find("Weights-Version: 3"), 18, "Weights-Version: 4");
    return Script{{{Header}, {chunk(event(2))}, {LastChunk}}};
  })));
}

// Guards against a 502 for a request that its first upstream would have served.
TEST_CASE("a plain request of a paused upstream is not lost when the next one rejects it",
          "[gateway]") {
  // The first number of requests earns only the retry of the move.
  for (const int EarningRequests : {15, FullBudget}) {
    INFO(EarningRequests << " requests before");
    CHECK(PausedRequest("/safe/x").run(2, EarningRequests, reject).status() == 200);
  }
}

// Guards against a 502 after the connection of another upstream broke.
TEST_CASE("a plain request of a paused upstream is not lost when the next one breaks off",
          "[gateway]") {
  CHECK(PausedRequest("/safe/x")
            .run(2, FullBudget,
                 [](const HttpRequest &) {
                   return Script{{{"", 30ms}}, Script::End::Reset};
                 })
            .status() == 200);
}

// Guards against the failure of another upstream as the response.
TEST_CASE("a plain request of a paused upstream is not lost when the next one fails", "[gateway]") {
  CHECK(PausedRequest("/safe/x")
            .run(2, FullBudget,
                 [](const HttpRequest &Request) {
                   return Script{{{plainResponse(Request, 500, "failed")}}};
                 })
            .status() == 200);
}

// Guards against events of another upstream inside the plain response of the first one, after
// which the connection was kept.
TEST_CASE("a plain response to a request for a stream is not continued by events", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) {
    for (Route &Each : Plan.m_Routes)
      Each.m_Timeout = 6s;
  });
  bool HasArrived = false;
  const auto Serve = [&](const HttpRequest &Request) {
    if (Request.target() != "/stream/x")
      return Script{{{plainResponse(Request, 200, "x")}}};
    if (std::exchange(HasArrived, true))
      return Script{{{streamHeader(Request) + chunk(event(1)) + LastChunk}}};
    // More than the gateway holds back.
    const std::string Whole = plainResponse(Request, 200, std::string(200'000, 'x'));
    return Script{{{Whole.substr(0, 120'000)}, {Whole.substr(120'000), 2500ms}}};
  };
  Fixture.addUpstream(Serve);
  Fixture.addUpstream(Serve);
  for (int I = 0; I < FullBudget; ++I)
    Fixture.exchange(GatewayFixture::request("/safe/earning", "e" + std::to_string(I)));
  const RawResponse Response = Fixture.exchange(
      GatewayFixture::withDeadline(GatewayFixture::request("/stream/x", "r1"), 6s), 7s);
  CHECK_FALSE(Response.contains("token-1"));
  CHECK(Response.isComplete());
}

// Guards against a whole response whose connection is reset, because the deadline passes after the
// end of the backup attempt and before the request goes on.
TEST_CASE("a response that a backup attempt ends at its deadline keeps its connection",
          "[gateway]") {
  int WholeResponses = 0;
  // The last one is whole on a busy machine too.
  for (const Duration EndBefore : {0ms, 2ms, 4ms, 6ms, 8ms, 150ms}) {
    INFO("ends " << toSeconds(EndBefore) << " s before the deadline");
    GatewayFixture Fixture;
    Fixture.setPlan([](RoutingPlan &Plan) {
      for (Route &Each : Plan.m_Routes)
        Each.m_Timeout = 6s;
    });
    OneShotTimer SlowTimer(Fixture.loop().get_executor());
    TimePoint SlowUntil;
    // Slow handlers let timers become due between any two steps of a request.
    std::function<void()> RunSlowly = [&] {
      std::this_thread::sleep_for(2ms);
      if (monotonicNow() < SlowUntil)
        net::post(Fixture.loop(), RunSlowly);
    };
    bool HasArrived = false;
    const auto Serve = [&](const HttpRequest &Request) {
      if (Request.target() != "/stream/x")
        return Script{{{plainResponse(Request, 200, "x")}}};
      if (!std::exchange(HasArrived, true))
        return Script{{{streamHeader(Request)}, {chunk(event(1))}, {chunk(event(2)), 4s}}};
      const Duration Left =
          std::chrono::milliseconds(std::stoul(std::string(Request["Deadline-Ms"])));
      SlowUntil = monotonicNow() + Left + 100ms;
      SlowTimer.set(Left - 20ms, RunSlowly);
      return Script{{{streamHeader(Request)}, {chunk(event(2))}, {LastChunk, Left - EndBefore}}};
    };
    Fixture.addUpstream(Serve);
    Fixture.addUpstream(Serve);
    for (int I = 0; I < FullBudget; ++I)
      Fixture.exchange(GatewayFixture::request("/safe/earning", "e" + std::to_string(I)));
    const std::string Bytes =
        GatewayFixture::withDeadline(GatewayFixture::request("/stream/x", "r1"), 1500ms);
    Tcp::socket Socket(Fixture.loop());
    RawResponse Response;
    bool IsDone = false;
    const auto Send = [&]() -> Task<> {
      co_await Socket.async_connect(tcpEndpoint(Fixture.address()), AsTuple);
      co_await net::async_write(Socket, net::buffer(Bytes), AsTuple);
      co_await readRaw(Socket, Response, IsDone);
    };
    net::co_spawn(Fixture.loop(), Send(), net::detached);
    REQUIRE(Fixture.runUntil([&] { return IsDone; }, 4s));
    runFor(Fixture.loop(), 200ms);
    if (!isWholeStream(Response))
      continue;
    ++WholeResponses;
    CHECK_FALSE(isClosedByPeer(Socket));
  }
  CHECK(WholeResponses > 0);
}

// Guards against a busy loop while a request waits for the attempt that took it over.
TEST_CASE("a stream that its backup serves takes little processor time", "[gateway]") {
  PausedRequest Paused("/stream/x");
  const std::clock_t Before = std::clock();
  const TimePoint Begin = monotonicNow();
  const RawResponse Response = Paused.run(2, FullBudget, [](const HttpRequest &Request) {
    return Script{{{streamHeader(Request)},
                   {chunk(event(2))},
                   {chunk(event(3)), 1500ms},
                   {chunk(event(4)), 1500ms},
                   {LastChunk}}};
  });
  const double Busy = static_cast<double>(std::clock() - Before) / CLOCKS_PER_SEC;
  CHECK(isWholeStream(Response));
  CHECK(Response.contains("token-4"));
  // The requests that earn the retry budget take most of it.
  CHECK(Busy < 0.25 * toSeconds(monotonicNow() - Begin));
}

namespace {

/// Names that must be counted in a run over all seeds.
void expectAll(Findings &Result) {
  for (const char *Check : {"answered",
                            "not-lost",
                            "not-lost-after-long-pause",
                            "at-most-once",
                            "attempts-of-route",
                            "not-run-status",
                            "order",
                            "one-version",
                            "whole-stream",
                            "whole-plain",
                            "closed",
                            "retry-budget",
                            "retry-budget-of-account",
                            "not-lost-at-deadline",
                            "plan-without-route",
                            "plan-without-key",
                            "plan-with-low-limits",
                            "plan-without-service",
                            "refused-by-plan",
                            "run-by-plan",
                            "in-time"})
    Result.expect(std::string("check.") + Check);
  for (const char *Fault : {"rejection", "break", "failure", "no-events", "other-version", "full",
                            "plan", "drain", "client-left"})
    Result.expect(std::string("fault.") + Fault);
  for (const char *Phase : PhaseNames) {
    Result.expect(std::string("pause.") + Phase);
    Result.expect(std::string("pause.unframed-") + Phase);
  }
  for (const char *Name :
       {"pause.one", "pause.several", "pause.no-room-elsewhere", "budget.empty", "budget.small",
        "budget.full", "delay.any", "delay.at-deadline", "connection.kept", "connection.closed"})
    Result.expect(Name);
  for (const char *Name : ChangeNames)
    Result.expect(std::string("change.") + Name);
}

/// Runs scenarios at the same time, because most of their time passes in waiting.
void runTogether(std::deque<Scenario> &Scenarios) {
  constexpr Duration Limit = 20s;
  constexpr Duration PollInterval = 1ms;
  const TimePoint Begin = monotonicNow();
  std::atomic<bool> IsEnded = false;
  std::thread Gateways([&] {
    while (!IsEnded) {
      for (Scenario &Each : Scenarios)
        Each.pollGateway();
      std::this_thread::sleep_for(PollInterval);
    }
  });
  const auto IsDone = [](const Scenario &Each) { return Each.isDone(); };
  while (!std::all_of(Scenarios.begin(), Scenarios.end(), IsDone) &&
         monotonicNow() < Begin + Limit) {
    for (Scenario &Each : Scenarios)
      Each.pollPeers();
    std::this_thread::sleep_for(PollInterval);
  }
  IsEnded = true;
  Gateways.join();
}

std::uint64_t numberFromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

} // namespace

// Guards against accepted work that is abandoned at an upstream that only paused, before another
// upstream has taken it over. FESCUEGAUGE_TEST_FIRST_SEED and FESCUEGAUGE_TEST_SEEDS set the seeds.
TEST_CASE("requests of paused upstreams are neither lost nor run twice", "[gateway][random]") {
  constexpr std::uint64_t SeedsAtOnce = 16;
  const std::uint64_t First = numberFromEnvironment("FESCUEGAUGE_TEST_FIRST_SEED", 1);
  const std::uint64_t End = First + numberFromEnvironment("FESCUEGAUGE_TEST_SEEDS", SeedsAtOnce);
  Findings Result;
  expectAll(Result);
  for (std::uint64_t Seed = First; Seed < End;) {
    std::deque<Scenario> Scenarios;
    for (; Scenarios.size() < SeedsAtOnce && Seed < End; ++Seed)
      Scenarios.emplace_back(Seed, Result);
    runTogether(Scenarios);
    for (Scenario &Each : Scenarios)
      Each.check();
  }
  WARN(Result.summary());
  for (const std::string &Each : Result.violations())
    UNSCOPED_INFO(Each);
  CHECK(Result.violations().empty());
  // A few seeds, as for the repetition of a failure, cannot cover everything.
  if (End - First < SeedsAtOnce)
    return;
  for (const std::string &Each : Result.missing())
    UNSCOPED_INFO("never counted: " << Each);
  CHECK(Result.missing().empty());
}
