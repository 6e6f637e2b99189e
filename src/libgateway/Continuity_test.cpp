#include "FakeUpstream.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace fescuegauge;
using namespace fescuegauge::test;
using namespace std::chrono_literals;

using Script = FakeUpstream::Script;

namespace {

/// Longer than a busy machine delays a test, so that no deadline cuts a response.
constexpr Duration LongDeadline = 9s;

std::string withLongDeadline(std::string Bytes) {
  const std::size_t At = Bytes.find("Deadline-Ms: ");
  return Bytes.replace(At, Bytes.find("\r\n", At) - At, "Deadline-Ms: 9000");
}

/// A request whose body has `Bytes` bytes.
std::string requestWithBody(const std::string &Path, const std::string &Id, std::size_t Bytes) {
  return "POST " + Path + " HTTP/1.1\r\nHost: host.example\r\nRequest-Id: " + Id +
         "\r\nAccount-Key: key\r\nDeadline-Ms: 2500\r\nContent-Length: " + std::to_string(Bytes) +
         "\r\n\r\n" + std::string(Bytes, 'x');
}

} // namespace

// Guards against a stream that is cut while its upstream serves it: the bodies of other requests
// fill the memory for clients while the stream has a part of an event pending.
TEST_CASE("a stream in progress is not cut because request bodies fill the memory", "[gateway]") {
  constexpr std::size_t MemoryBytes = 8 << 20;
  constexpr std::size_t Bodies = 100;
  constexpr std::size_t BodyBytes = 40'000;
  GatewayFixture Fixture(GatewayOptions().m_StopTime, MemoryBytes);
  Fixture.setPlan([](RoutingPlan &Plan) {
    for (Route &Each : Plan.m_Routes)
      Each.m_Timeout = LongDeadline;
  });
  constexpr std::size_t PendingBytes = 40'000;
  const std::string Event = "id: 2\ndata: " + std::string(2 * PendingBytes, 'y') + "\n\n";
  Fixture.addUpstream([&](const HttpRequest &Request) {
    if (Request.target() == "/stream/x")
      return Script{{{streamHeader(Request) + chunk(event(1))},
                     {chunk(Event.substr(0, PendingBytes)), 500ms},
                     {chunk(Event.substr(PendingBytes)), 100ms},
                     {chunk(event(3)) + LastChunk}}};
    return Script{{{plainResponse(Request, 200, "x"), 900ms}}};
  });
  Fixture.records()[0].m_Slots = 2 * Bodies;
  Fixture.gateway().setUpstreams(Fixture.records());
  RawResponse Stream;
  bool IsStreamDone = false;
  Fixture.start(withLongDeadline(GatewayFixture::request("/stream/x", "stream")), Stream,
                IsStreamDone);
  REQUIRE(Fixture.runUntil([&] { return Stream.contains("token-1"); }, 1s));
  std::deque<RawResponse> Others(Bodies);
  std::deque<bool> AreDone(Bodies);
  for (std::size_t I = 0; I < Bodies; ++I)
    Fixture.start(
        withLongDeadline(requestWithBody("/once/x", "body-" + std::to_string(I), BodyBytes)),
        Others[I], AreDone[I]);
  CHECK(Fixture.runUntil([&] { return IsStreamDone; }, LongDeadline));
  CHECK(Stream.contains("token-3"));
  CHECK(Stream.isCompleteChunked());
  CHECK(Fixture.runUntil(
      [&] { return std::all_of(AreDone.begin(), AreDone.end(), [](bool Each) { return Each; }); },
      LongDeadline));
  // The memory was full, and the requests that did not fit were refused.
  const auto Count = [&](unsigned Status) {
    return std::count_if(Others.begin(), Others.end(),
                         [&](const RawResponse &Each) { return Each.status() == Status; });
  };
  CHECK(Count(200) > 10);
  CHECK(Count(503) > 0);
  CHECK(Count(200) + Count(503) == Bodies);
}

// Guards against a sound upstream that gets fewer requests from all entry instances because an
// attempt was cancelled before its connection was open.
TEST_CASE("an attempt cancelled while its connection opens says nothing about its upstream",
          "[gateway]") {
  const ModelId Model("m");
  GatewayFixture Fixture;
  Fixture.gateway().setColdBounds(ColdBounds{1.5, 5});
  Fixture.setPlan([](RoutingPlan &Plan) {
    Plan.m_Services[0].m_Engine = EngineParameters();
    Plan.m_Services[0].m_ColdStart = ColdStartParameters{3s, RequestRate(17)};
  });
  FakeUpstream &Upstream = Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{streamHeader(Request) + chunk(event(1)) + LastChunk}}};
  });
  const auto SetWeights = [&](WeightsVersion Version) {
    Fixture.records()[0].m_Weights = {{Model, Version}};
    Fixture.gateway().setUpstreams(Fixture.records());
  };
  SetWeights(WeightsVersion(1));
  RawResponse Response;
  bool Done = false;
  Fixture.start(GatewayFixture::request("/stream/x", "r1", "Model: m\r\n"), Response, Done);
  REQUIRE(Fixture.runUntilPlaced());
  REQUIRE(Upstream.connections() == 0);
  // Withdraws the request.
  Fixture.gateway().setWeightsBounds(Model, {{WeightsVersion(2), monotonicNow()}});
  REQUIRE(Fixture.runUntil([&] { return Done; }, 1s));
  CHECK(Response.status() == 503);
  CHECK(Upstream.requests().empty());
  CHECK(Fixture.gateway().coldForPeers().empty());
  SetWeights(WeightsVersion(2));
  const RawResponse Next =
      Fixture.exchange(GatewayFixture::request("/stream/x", "r2", "Model: m\r\n"));
  CHECK(Next.status() == 200);
  // The connection is used for the next request.
  CHECK(Upstream.connections() == 1);
}

// Guards against a stream that is cut although its upstream serves it: responses that need not be
// buffered, or that are failures, take the room in which it keeps an event that has not ended.
TEST_CASE("a stream in progress is not cut because other responses fill the buffers", "[gateway]") {
  const bool AreFailures = GENERATE(false, true);
  CAPTURE(AreFailures);
  constexpr std::size_t MemoryBytes = 16 << 20;
  constexpr std::size_t Count = 150;
  constexpr std::size_t HeldBytes = 60'000;
  GatewayFixture Fixture(GatewayOptions().m_StopTime, MemoryBytes);
  Fixture.setPlan([](RoutingPlan &Plan) {
    for (Route &Each : Plan.m_Routes)
      Each.m_Timeout = LongDeadline;
  });
  constexpr std::size_t PendingBytes = 40'000;
  const std::string Event = "id: 2\ndata: " + std::string(2 * PendingBytes, 'y') + "\n\n";
  Fixture.addUpstream([&](const HttpRequest &Request) {
    if (Request.target() == "/stream/x")
      return Script{{{streamHeader(Request) + chunk(event(1))},
                     {chunk(Event.substr(0, PendingBytes)), 500ms},
                     {chunk(Event.substr(PendingBytes)), 100ms},
                     {chunk(event(3)) + LastChunk}}};
    const std::string Whole =
        plainResponse(Request, AreFailures ? 500 : 200, std::string(HeldBytes + 1, 'x'));
    return Script{{{Whole.substr(0, Whole.size() - 1)}, {Whole.substr(Whole.size() - 1), 900ms}}};
  });
  Fixture.records()[0].m_Slots = 1000;
  Fixture.gateway().setUpstreams(Fixture.records());
  RawResponse Stream;
  bool IsStreamDone = false;
  Fixture.start(withLongDeadline(GatewayFixture::request("/stream/x", "stream")), Stream,
                IsStreamDone);
  REQUIRE(Fixture.runUntil([&] { return Stream.contains("token-1"); }, 1s));
  std::deque<RawResponse> Others(Count);
  std::deque<bool> AreDone(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Fixture.start(withLongDeadline(GatewayFixture::request("/once/x", "r" + std::to_string(I))),
                  Others[I], AreDone[I]);
  CHECK(Fixture.runUntil([&] { return IsStreamDone; }, LongDeadline));
  CHECK(Stream.contains("token-3"));
  CHECK(Stream.isCompleteChunked());
  CHECK(Fixture.runUntil(
      [&] { return std::all_of(AreDone.begin(), AreDone.end(), [](bool Each) { return Each; }); },
      LongDeadline));
}

namespace {

/// Upstream that is paused under load: the queue of its listener is full, so that no further
/// connection opens. It is paused from the start, or after its first response.
class PausedUpstream {
public:
  explicit PausedUpstream(net::io_context &Loop)
      : m_Acceptor(Loop, Tcp::endpoint(loopbackAddress(), 0)) {}

  Endpoint address() const { return loopbackEndpoint(m_Acceptor.local_endpoint().port()); }

  void pause() {
    ::listen(m_Acceptor.native_handle(), 0);
    // Linux lets one connection more than the stated length into the queue.
    for (int I = 0; I < 3; ++I) {
      m_Queued.emplace_back(m_Acceptor.get_executor());
      m_Queued.back().async_connect(tcpEndpoint(address()), net::detached);
    }
  }

  /// Responds to the first request with bytes that end with their connection, and pauses.
  void pauseAfter(std::function<std::string(const HttpRequest &)> Respond) {
    net::co_spawn(m_Acceptor.get_executor(), serveFirst(std::move(Respond)), net::detached);
  }

private:
  Task<> serveFirst(std::function<std::string(const HttpRequest &)> Respond) {
    auto [Error, Socket] = co_await m_Acceptor.async_accept(AsTuple);
    boost::beast::flat_buffer Buffer;
    HttpRequest Request;
    co_await boost::beast::http::async_read(Socket, Buffer, Request, AsTuple);
    co_await net::async_write(Socket, net::buffer(Respond(Request)), AsTuple);
    pause();
  }

  Tcp::acceptor m_Acceptor;
  std::deque<Tcp::socket> m_Queued;
};

} // namespace

// Guards against a response without a length that is cut at its end because its upstream is too
// busy to accept the connection that shows that it is alive.
TEST_CASE("an unframed response of an upstream that pauses after it is complete", "[gateway]") {
  const bool IsStream = GENERATE(true, false);
  GatewayFixture Fixture;
  PausedUpstream Paused(Fixture.loop());
  Paused.pauseAfter([&](const HttpRequest &Request) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Request["Request-Id"]) +
           "\r\nContent-Type: " + (IsStream ? "text/event-stream" : "text/plain") + "\r\n\r\n" +
           event(1);
  });
  Fixture.setPlan();
  Fixture.addUpstream([](const HttpRequest &) { return Script{}; });
  Fixture.records()[0].m_Address = Paused.address();
  Fixture.gateway().setUpstreams(Fixture.records());
  const RawResponse Response =
      Fixture.exchange(GatewayFixture::request(IsStream ? "/stream/x" : "/once/x", "r1"));
  CHECK(Response.status() == 200);
  CHECK(Response.contains("token-1"));
  CHECK(Response.isComplete());
}

// Guards against a sound upstream that gets fewer requests from all entry instances because the
// deadline of one request left no time to open a connection.
TEST_CASE("a connection attempt cut by the deadline says nothing about its upstream", "[gateway]") {
  GatewayFixture Fixture;
  PausedUpstream Paused(Fixture.loop());
  Paused.pause();
  Fixture.gateway().setColdBounds(ColdBounds{1.5, 5});
  Fixture.setPlan([](RoutingPlan &Plan) {
    Plan.m_Services[0].m_ColdStart = ColdStartParameters{3s, RequestRate(17)};
  });
  Fixture.addUpstream([](const HttpRequest &) { return Script{}; });
  Fixture.records()[0].m_Address = Paused.address();
  Fixture.gateway().setUpstreams(Fixture.records());
  const RawResponse Response = Fixture.exchange(
      GatewayFixture::withDeadline(GatewayFixture::request("/safe/x", "r1"), 100ms));
  CHECK(Response.status() >= 500);
  CHECK(Fixture.gateway().coldForPeers().empty());
}

// Guards against a stream that ends without an answer beside new weights: its upstream is lost
// before the first event, and its next attempt is bound to the weights that the lost one stated.
TEST_CASE("a stream without an event is not bound to the weights of its lost upstream",
          "[gateway]") {
  const bool IsWithdrawn = GENERATE(false, true);
  CAPTURE(IsWithdrawn);
  const ModelId Model("m");
  GatewayFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) {
    Plan.m_Services[0].m_Engine = EngineParameters();
    for (Route &Each : Plan.m_Routes)
      Each.m_Timeout = 3s;
  });
  // The two upstreams differ only in their weights.
  const auto Serve = [&](const HttpRequest &Request) {
    if (Request.target() != "/stream/x")
      return Script{{{plainResponse(Request, 200, "x")}}};
    std::string Header = streamHeader(Request);
    if (Request["Expected-Upstream"] != "upstream-1")
      return Script{{{Header + chunk(event(1)) + LastChunk}}};
    Header.replace(Header.find("Weights-Version: 3"), 18, "Weights-Version: 2");
    return Script{{{Header}, {"", 300ms}},
                  IsWithdrawn ? Script::End::KeepOpen : Script::End::Reset};
  };
  Fixture.addUpstream(Serve);
  Fixture.records()[0].m_Weights = {{Model, WeightsVersion(2)}};
  Fixture.gateway().setUpstreams(Fixture.records());
  // These earn the retry budget.
  for (int I = 0; I < 40; ++I)
    Fixture.exchange(GatewayFixture::request("/safe/x", "warm-" + std::to_string(I)));
  RawResponse Response;
  bool Done = false;
  Fixture.start(GatewayFixture::request("/stream/x", "r1", "Model: m\r\n"), Response, Done);
  REQUIRE(Fixture.runUntil([&] { return !Fixture.gateway().ownUsage().empty(); }, 1s));
  FakeUpstream &Newer = Fixture.addUpstream(Serve);
  Fixture.records()[1].m_Weights = {{Model, WeightsVersion(3)}};
  Fixture.gateway().setUpstreams(Fixture.records());
  if (IsWithdrawn)
    Fixture.gateway().setWeightsBounds(Model, {{WeightsVersion(3), monotonicNow() + 500ms}});
  CHECK(Fixture.runUntil([&] { return Done; }, 3s));
  CHECK(Response.status() == 200);
  CHECK(Response.contains("token-1"));
  CHECK(Response.isCompleteChunked());
  REQUIRE(Newer.requests().size() == 1);
  CHECK(Newer.requests()[0].count("Expected-Weights") == 0);
}

// Guards against a stream that its engine has begun and that is withdrawn, and lost without a
// retry, because a delayed loop handles the bound on older weights before the first event.
TEST_CASE("a stream whose first event has arrived is not withdrawn", "[gateway]") {
  const bool IsSlow = GENERATE(false, true);
  CAPTURE(IsSlow);
  const ModelId Model("m");
  GatewayFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) { Plan.m_Services[0].m_Engine = EngineParameters(); });
  LoopbackServer Server(Fixture.loop(), [&](Tcp::socket Socket) -> Task<> {
    boost::beast::flat_buffer Buffer;
    HttpRequest Request;
    auto [Error, Size] = co_await boost::beast::http::async_read(Socket, Buffer, Request, AsTuple);
    if (Error)
      co_return;
    net::write(Socket, net::buffer(streamHeader(Request) + chunk(event(1))));
    Fixture.gateway().setWeightsBounds(Model, {{WeightsVersion(4), monotonicNow()}});
    const SlowLoop SlowTurns(Fixture.loop(), IsSlow ? 2ms : 0ms);
    co_await sleepFor(20ms);
    co_await net::async_write(Socket, net::buffer(chunk(event(2)) + LastChunk), AsTuple);
  });
  Fixture.listUpstream(Server.address());
  Fixture.records()[0].m_Weights = {{Model, WeightsVersion(3)}};
  Fixture.gateway().setUpstreams(Fixture.records());
  const RawResponse Response =
      Fixture.exchange(GatewayFixture::request("/stream/x", "r1", "Model: m\r\n"));
  CHECK(Response.status() == 200);
  CHECK(Response.isCompleteChunked());
}
