#include "ClientSession.h"
#include "FakeUpstream.h"
#include "GatewayCore.h"

#include <catch2/catch.hpp>
#include <netinet/tcp.h>
#include <thread>

using namespace fescuegauge;
using namespace fescuegauge::test;
using namespace std::chrono_literals;

using Script = FakeUpstream::Script;

namespace {

/// Larger than the receive buffer of PipeliningClient, so that a part of it is in the gateway's
/// send buffer when the gateway has written it.
constexpr std::size_t LargeBodyBytes = 256 << 10;

/// More than the gateway reads together with a request.
constexpr std::size_t ManyBytes = 20 << 10;

/// A client that does not read until the test starts it, and may send further bytes before.
class PipeliningClient {
public:
  static constexpr int ReceiveBufferBytes = 4 << 10;

  explicit PipeliningClient(GatewayFixture &Fixture)
      : m_Fixture(Fixture), m_Socket(Fixture.loop()) {
    const Tcp::endpoint To = tcpEndpoint(Fixture.address());
    m_Socket.open(To.protocol());
    m_Socket.set_option(net::socket_base::receive_buffer_size(ReceiveBufferBytes));
    m_Socket.connect(To);
    m_Socket.set_option(Tcp::no_delay(true));
  }

  /// Returns false if the gateway does not take the bytes.
  bool send(const std::string &Bytes) {
    SystemError Error;
    net::write(m_Socket, net::buffer(Bytes), Error);
    return !Error;
  }
  /// Reads until the gateway ends the connection.
  RawResponse readToEnd() {
    RawResponse Result;
    bool Done = false;
    net::co_spawn(m_Fixture.loop(), readRaw(m_Socket, Result, Done, true), net::detached);
    REQUIRE(m_Fixture.runUntil([&] { return Done; }, 5s));
    Result.m_Reset = Result.m_Reset || wasReset();
    return Result;
  }
  /// Whether the connection was reset. Linux reports a reset after the end of the input as the end.
  bool wasReset() { return state() == TCP_CLOSE; }
  bool isEndedByPeer() { return state() == TCP_CLOSE_WAIT || wasReset(); }
  void close() { m_Socket.close(); }

private:
  int state() {
    tcp_info Info{};
    socklen_t Size = sizeof Info;
    REQUIRE(::getsockopt(m_Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info, &Size) == 0);
    return Info.tcpi_state;
  }

  GatewayFixture &m_Fixture;
  Tcp::socket m_Socket;
};

/// A fixture whose upstream answers /once/large with a large body and others with a small one.
struct ConnectionEndFixture : GatewayFixture {
  explicit ConnectionEndFixture(Duration StopTime = GatewayOptions().m_StopTime)
      : GatewayFixture(StopTime) {
    setPlan();
    m_Upstream = &addUpstream([](const HttpRequest &Request) {
      const bool IsLarge = std::string_view(Request.target()).ends_with("/large");
      return Script{{{plainResponse(Request, 200, std::string(IsLarge ? LargeBodyBytes : 4, 'x')),
                      ResponseDelay}}};
    });
  }

  /// Waits until the response to the only request was written.
  bool awaitResponse(const std::string &Outcome) {
    return runUntil(
        [&] { return metrics().find("outcome=\"" + Outcome + "\"") != std::string::npos; }, 2s);
  }
  std::int64_t sessions() { return gateway().dumpState().at("sessions").to_number<std::int64_t>(); }

  /// Leaves time to send further bytes while the request is served.
  static constexpr Duration ResponseDelay = 40ms;
  FakeUpstream *m_Upstream = nullptr;
};

const std::string UntilClose = "Connection: close\r\n";

/// When the bytes behind a request are sent.
enum class SentAt { WithRequest, WhileServed, AfterResponse };

} // namespace

// Guards against a whole response that is lost when the connection is closed behind it: the kernel
// resets a connection that is closed with unread input, and discards what was not yet sent.
TEST_CASE("the last response of a connection survives input behind its request", "[gateway]") {
  const bool IsDraining = GENERATE(false, true);
  const SentAt When = GENERATE(SentAt::WithRequest, SentAt::WhileServed, SentAt::AfterResponse);
  const std::string Next = GatewayFixture::request("/once/next", "r2");
  const std::string Behind =
      GENERATE_COPY(values<std::string>({Next, Next.substr(0, 20), std::string(ManyBytes, 'x')}));
  INFO("draining " << IsDraining << ", sent at " << static_cast<int>(When) << ", " << Behind.size()
                   << " bytes");
  ConnectionEndFixture Fixture;
  if (IsDraining)
    Fixture.gateway().beginDrain();
  PipeliningClient Client(Fixture);
  const std::string Request =
      GatewayFixture::request("/once/large", "r1", IsDraining ? "" : UntilClose);
  REQUIRE(Client.send(When == SentAt::WithRequest ? Request + Behind : Request));
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Upstream->requests().size() == 1; }, 1s));
  if (When == SentAt::WhileServed)
    REQUIRE(Client.send(Behind));
  REQUIRE(Fixture.awaitResponse("delivered"));
  if (When == SentAt::AfterResponse) {
    // The client has not seen the response.
    REQUIRE(Client.send(Behind));
    Fixture.runUntil([] { return false; }, 20ms);
  }
  const RawResponse Response = Client.readToEnd();
  CHECK(Response.status() == 200);
  CHECK(Response.isComplete());
  CHECK_FALSE(Response.m_Reset);
  CHECK(Fixture.m_Upstream->requests().size() == 1);
}

// Guards against the same loss of a response that the gateway makes itself. It fits into the
// client's buffer; other systems than Linux discard it there after a reset.
TEST_CASE("the last error response of a connection is not followed by a reset", "[gateway]") {
  const SentAt When = GENERATE(SentAt::WithRequest, SentAt::AfterResponse);
  const std::string Extra = GENERATE(as<std::string>(), "", "Transfer-Encoding: any\r\n");
  const std::string Behind(ManyBytes, 'x');
  INFO("sent at " << static_cast<int>(When) << ", " << Extra);
  ConnectionEndFixture Fixture;
  PipeliningClient Client(Fixture);
  const std::string Request = GatewayFixture::request("/none/x", "r1", UntilClose + Extra);
  REQUIRE(Client.send(When == SentAt::WithRequest ? Request + Behind : Request));
  REQUIRE(Fixture.runUntil(
      [&] { return Fixture.metrics().find("gateway_requests_total{") != std::string::npos; }, 1s));
  if (When == SentAt::AfterResponse) {
    REQUIRE(Client.send(Behind));
    Fixture.runUntil([] { return false; }, 20ms);
  }
  const RawResponse Response = Client.readToEnd();
  CHECK(Response.status() >= 400);
  CHECK(Response.isComplete());
  CHECK_FALSE(Response.m_Reset);
}

// Guards against a response that was cut and looks complete, or ends like a whole one, because of
// input behind the request.
TEST_CASE("a cut response is reset even if there is input behind its request", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  FakeUpstream &Upstream = Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{streamHeader(Request) + chunk(event(1))}, {chunk(event(2)), 10s}}};
  });
  PipeliningClient Client(Fixture);
  REQUIRE(Client.send(GatewayFixture::request("/stream/x", "r1", UntilClose)));
  REQUIRE(Fixture.runUntil([&] { return Upstream.requests().size() == 1; }, 1s));
  REQUIRE(Client.send(GatewayFixture::request("/once/x", "r2")));
  const RawResponse Response = Client.readToEnd();
  CHECK(Response.m_Reset);
  CHECK_FALSE(Response.isComplete());
}

// Guards against connections that clients keep open, or on which they go on sending, after the last
// response: they would occupy the gateway without limit.
TEST_CASE("a connection ends within a limit after its last response", "[gateway]") {
  ConnectionEndFixture Fixture;
  PipeliningClient Silent(Fixture);
  PipeliningClient Busy(Fixture);
  REQUIRE(Silent.send(GatewayFixture::request("/once/x", "r1", UntilClose)));
  REQUIRE(Busy.send(GatewayFixture::request("/once/x", "r2", UntilClose)));
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Upstream->requests().size() == 2; }, 1s));
  const TimePoint Start = monotonicNow();
  bool IsBusyEnded = false;
  CHECK(Fixture.runUntil(
      [&] {
        IsBusyEnded = IsBusyEnded || !Busy.send(std::string(16 << 10, 'x'));
        return IsBusyEnded && Fixture.sessions() == 0;
      },
      5s));
  CHECK(monotonicNow() - Start <= 2 * ClientSession::DiscardTime + 1s);
}

// Guards against a client that sees the end of its response late, and against a connection that is
// kept after its client has closed it.
TEST_CASE("a connection ends with its client after its last response", "[gateway]") {
  ConnectionEndFixture Fixture;
  PipeliningClient Client(Fixture);
  REQUIRE(Client.send(GatewayFixture::request("/once/x", "r1", UntilClose)));
  REQUIRE(Fixture.awaitResponse("delivered"));
  const TimePoint WrittenAt = monotonicNow();
  const RawResponse Response = Client.readToEnd();
  CHECK(Response.isComplete());
  CHECK_FALSE(Response.m_Reset);
  Client.close();
  CHECK(Fixture.runUntil([&] { return Fixture.sessions() == 0; }, 1s));
  CHECK(monotonicNow() - WrittenAt < ClientSession::DiscardTime);
}

// Guards against a process that waits for its clients to close their connections before it ends.
TEST_CASE("the end of a connection does not delay a drain", "[gateway]") {
  ConnectionEndFixture Fixture(GatewayCore::StopMargin);
  Fixture.gateway().beginDrain();
  PipeliningClient Client(Fixture);
  REQUIRE(Client.send(GatewayFixture::request("/once/x", "r1")));
  REQUIRE(Fixture.awaitResponse("draining"));
  CHECK(Fixture.gateway().isDrained());
  CHECK_FALSE(Client.readToEnd().m_Reset);
}

// Guards against a response to the previous request that is lost when the idle time ends as the
// next request arrives.
TEST_CASE("input that crosses the end of an idle connection does not reset it", "[gateway]") {
  ConnectionEndFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) { Plan.m_Limits.m_IdleTimeout = 100ms; });
  PipeliningClient Client(Fixture);
  REQUIRE(Client.send(GatewayFixture::request("/once/x", "r1")));
  REQUIRE(Fixture.runUntil([&] { return Client.isEndedByPeer(); }, 2s));
  REQUIRE(Client.send(GatewayFixture::request("/once/x", "r2")));
  Fixture.runUntil([] { return false; }, 20ms);
  const RawResponse Response = Client.readToEnd();
  CHECK(Response.status() == 200);
  CHECK_FALSE(Response.m_Reset);
  CHECK(Fixture.m_Upstream->requests().size() == 1);
}

// Guards against a request that is dropped without a response, although it arrived before its
// connection was closed as idle.
TEST_CASE("a request that arrived before the end of the idle time is served", "[gateway]") {
  net::io_context Loop;
  MetricsService Metrics;
  const auto Core = std::make_shared<GatewayCore>(Loop, GatewayOptions(), Metrics);
  Tcp::acceptor Acceptor(Loop, Tcp::endpoint(loopbackAddress(), 0));
  Tcp::socket Client(Loop);
  Client.connect(Acceptor.local_endpoint());
  const auto Session = std::make_shared<ClientSession>(Core, Acceptor.accept());
  net::co_spawn(Loop, Session->run(), net::detached);
  runFor(Loop, ClientSession::MinIdleTime);
  net::write(Client, net::buffer(GatewayFixture::request("/once/x", "r1")));
  Session->closeIfIdle();
  RawResponse Response;
  bool Done = false;
  net::co_spawn(Loop, readRaw(Client, Response, Done), net::detached);
  REQUIRE(test::runUntil(Loop, [&] { return Done; }));
  CHECK(Response.isComplete());
}

namespace {

/// Limits of a plan with which the header of a request may be late within the time of a test.
void setShortHeaderTimeout(RoutingPlan &Plan) {
  Plan.m_Limits.m_HeaderTimeout = 200ms;
  Plan.m_Limits.m_MaxHeaderBytes = 64 << 10;
}

} // namespace

// Guards against a request that is dropped without a response, although its header arrived within
// the time limit: the event loop was late, and the header takes more than one read.
TEST_CASE("a header that arrived before its time limit is read by a late loop", "[gateway]") {
  const std::size_t FieldBytes = GENERATE(std::size_t(10), ClientSession::HeaderReadBytes + 2048);
  ConnectionEndFixture Fixture;
  Fixture.setPlan(setShortHeaderTimeout);
  PipeliningClient Client(Fixture);
  const std::string Request = GatewayFixture::request(
      "/once/x", "r1", UntilClose + "X-Long: " + std::string(FieldBytes, 'x') + "\r\n");
  REQUIRE(Client.send(Request.substr(0, 20)));
  Fixture.runUntil([] { return false; }, 50ms);
  REQUIRE(Client.send(Request.substr(20)));
  std::this_thread::sleep_for(300ms);
  const RawResponse Response = Client.readToEnd();
  CHECK(Response.status() == 200);
  CHECK(Response.isComplete());
}

// Guards against the same loss of a request whose body arrived within its time limit.
TEST_CASE("a body that arrived before its time limit is read by a late loop", "[gateway]") {
  ConnectionEndFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) {
    for (Route &Each : Plan.m_Routes)
      Each.m_Timeout = 20s;
  });
  PipeliningClient Client(Fixture);
  const std::string Body(3 * ClientSession::SmallReadBytes, 'x');
  REQUIRE(Client.send(
      "POST /once/x HTTP/1.1\r\nHost: host.example\r\nRequest-Id: r1\r\n"
      "Account-Key: key\r\nConnection: close\r\nDeadline-Ms: 20000\r\nContent-Length: " +
      std::to_string(Body.size()) + "\r\n\r\n"));
  // Bytes keep the pause limit away, so that the limit on the whole time ends the read.
  for (std::size_t I = 0; I < 2; ++I) {
    Fixture.runUntil([] { return false; }, BodyProgress::Grace / 2 - 50ms);
    REQUIRE(Client.send(Body.substr(0, 1)));
  }
  REQUIRE(Client.send(Body.substr(2)));
  std::this_thread::sleep_for(400ms);
  const RawResponse Response = Client.readToEnd();
  CHECK(Response.status() == 200);
  CHECK(Response.isComplete());
}

// Guards against a late client that cannot tell the end of its connection from a failure.
TEST_CASE("a header that arrives too late gets a response", "[gateway]") {
  ConnectionEndFixture Fixture;
  Fixture.setPlan(setShortHeaderTimeout);
  PipeliningClient Client(Fixture);
  const TimePoint Start = monotonicNow();
  REQUIRE(Client.send(GatewayFixture::request("/once/x", "r1").substr(0, 20)));
  const RawResponse Response = Client.readToEnd();
  CHECK(Response.status() == 408);
  CHECK(Response.isComplete());
  CHECK(Response.contains("Connection: close"));
  CHECK_FALSE(Response.m_Reset);
  CHECK(monotonicNow() - Start < 2s);
  CHECK(Fixture.metrics().find("request-timeout") != std::string::npos);
}

// Guards against a request that is dropped without a response when its connection is closed because
// there are too many.
TEST_CASE("a request on a connection that is closed by the limit gets a response", "[gateway]") {
  const bool IsFirstBusy = GENERATE(false, true);
  net::io_context Loop;
  MetricsService Metrics;
  GatewayOptions Options;
  // Allows one connection.
  Options.m_Descriptors = ClientMemoryLimits::OtherDescriptors + 2;
  const auto Core = std::make_shared<GatewayCore>(Loop, Options, Metrics);
  REQUIRE(Core->admission().budget().limits().m_Connections == 1);
  Tcp::acceptor Acceptor(Loop, Tcp::endpoint(loopbackAddress(), 0));
  std::array<Tcp::socket, 2> Clients{Tcp::socket(Loop), Tcp::socket(Loop)};
  std::array<std::shared_ptr<ClientSession>, 2> Sessions;
  const std::string Request = GatewayFixture::request("/once/x", "r1");
  const auto Connect = [&](std::size_t Number) {
    Clients[Number].connect(Acceptor.local_endpoint());
    Sessions[Number] = std::make_shared<ClientSession>(Core, Acceptor.accept());
    net::co_spawn(Loop, Sessions[Number]->run(), net::detached);
  };
  Connect(0);
  runFor(Loop, 20ms);
  net::write(Clients[0], net::buffer(IsFirstBusy ? Request.substr(0, 20) : Request));
  if (IsFirstBusy)
    runFor(Loop, 20ms);
  Connect(1);
  net::write(Clients[1], net::buffer(Request));
  Core->admission().closeExcess();
  // The longest idle connection is closed, or the newest one beside a busy one.
  RawResponse Response;
  bool Done = false;
  net::co_spawn(Loop, readRaw(Clients[IsFirstBusy ? 1 : 0], Response, Done, true), net::detached);
  REQUIRE(test::runUntil(Loop, [&] { return Done; }));
  CHECK(Response.status() == 503);
  CHECK(Response.isComplete());
  CHECK_FALSE(Response.m_Reset);
}
