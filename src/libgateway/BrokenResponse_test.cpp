#include "FakeUpstream.h"
#include "GatewayCore.h"

#include <boost/beast/http/parser.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace fescuegauge;
using namespace fescuegauge::test;
using namespace std::chrono_literals;

namespace {

/// Larger than the socket buffers of a connection to an EarlyUpstream.
constexpr std::size_t UploadBytes = 3 << 20;

std::string upload(const std::string &Path, const std::string &Id) {
  return "POST " + Path + " HTTP/1.1\r\nHost: host.example\r\nRequest-Id: " + Id +
         "\r\nAccount-Key: key\r\nDeadline-Ms: 1200\r\nContent-Length: " +
         std::to_string(UploadBytes) + "\r\n\r\n" + std::string(UploadBytes, 'u');
}

/// Upstream that responds when it has read the header of a request, while the body is still being
/// written, and then ends the connection.
class EarlyUpstream {
public:
  enum class End {
    Reset,
    /// Shuts its sending side down and reads the request to its end.
    ShutDown,
  };
  struct Response {
    std::string m_Bytes;
    End m_End;
    /// Time between the last byte and the end.
    Duration m_DelayBeforeEnd{0};
  };
  using Responder = std::function<Response(const HttpRequest &)>;

  EarlyUpstream(net::io_context &Loop, Responder Respond)
      : m_Respond(std::move(Respond)),
        m_Server(
            Loop, [this](Tcp::socket Socket) { return serve(std::move(Socket)); },
            ReceiveBufferBytes) {}

  Endpoint address() const { return m_Server.address(); }
  /// Reads nothing between the header of a request and its response.
  void setDelayBeforeResponse(Duration Delay) { m_DelayBeforeResponse = Delay; }
  /// Number of requests that arrived.
  int requests() const { return m_Requests; }

private:
  /// Small, so that a request is still being written when its response arrives.
  static constexpr int ReceiveBufferBytes = 4 << 10;

  Task<> serve(Tcp::socket Socket) {
    namespace http = boost::beast::http;
    Socket.set_option(Tcp::no_delay(true));
    boost::beast::flat_buffer Buffer;
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(UploadBytes);
    auto [HeaderError, HeaderSize] =
        co_await http::async_read_header(Socket, Buffer, Parser, AsTuple);
    if (HeaderError)
      co_return;
    ++m_Requests;
    if (m_DelayBeforeResponse > Duration(0))
      co_await sleepFor(m_DelayBeforeResponse);
    const Response Early = m_Respond(Parser.get());
    co_await net::async_write(Socket, net::buffer(Early.m_Bytes), AsTuple);
    if (Early.m_DelayBeforeEnd > Duration(0))
      co_await sleepFor(Early.m_DelayBeforeEnd);
    if (Early.m_End == End::Reset) {
      Socket.set_option(net::socket_base::linger(true, 0));
    } else {
      Socket.shutdown(Tcp::socket::shutdown_send);
      co_await http::async_read(Socket, Buffer, Parser, AsTuple);
    }
    Socket.close();
  }

  Responder m_Respond;
  Duration m_DelayBeforeResponse{0};
  int m_Requests = 0;
  LoopbackServer m_Server;
};

/// Header of a response with the given framing.
std::string header(const HttpRequest &To, const std::string &Framing, unsigned Status = 200) {
  const bool IsStream = To.target().starts_with("/stream/");
  return "HTTP/1.1 " + std::to_string(Status) +
         " Any\r\nRequest-Id: " + std::string(To["Request-Id"]) +
         "\r\nContent-Type: " + (IsStream ? "text/event-stream" : "text/plain") + "\r\n" + Framing +
         "\r\n";
}

const std::string Unframed = "Connection: close\r\n";

bool isWholeSuccess(const RawResponse &Response) {
  return Response.status() == 200 && Response.isComplete();
}

/// A gateway with one upstream that responds early.
struct EarlyFixture {
  GatewayFixture m_Gateway;
  EarlyUpstream m_Upstream;

  explicit EarlyFixture(EarlyUpstream::Responder Respond)
      : m_Upstream(m_Gateway.loop(), std::move(Respond)) {
    m_Gateway.setPlan();
    m_Gateway.listUpstream(m_Upstream.address());
  }
};

} // namespace

// Guards against a part of a response that reaches the client as a whole one: the write of the
// request takes the error of the reset, and the read sees an end like that of an unframed body.
TEST_CASE("an unframed response is not whole if its connection is reset during an upload",
          "[gateway]") {
  const std::string Path = GENERATE(as<std::string>(), "/safe/x", "/once/x", "/stream/x");
  const Duration Delay = GENERATE(0ms, 2ms, 50ms, 300ms);
  // The upstream of a response need not outlive it if it is leaving.
  const std::string Extra = GENERATE(as<std::string>(), "", "Upstream-Leaving: 1\r\n");
  CAPTURE(Path, Delay.count(), Extra);
  EarlyFixture Fixture([&](const HttpRequest &Request) {
    const std::string Body = Path == "/stream/x" ? event(1) : "part";
    return EarlyUpstream::Response{header(Request, Unframed + Extra) + Body,
                                   EarlyUpstream::End::Reset, Delay};
  });
  const RawResponse Response = Fixture.m_Gateway.exchange(upload(Path, "r1"));
  CHECK_FALSE(isWholeSuccess(Response));
  // The upstream may have run the request. A stream has begun before it is cut.
  if (Path != "/stream/x")
    CHECK((Response.status() == 502 && Response.contains("upstream-lost")));
  CHECK(Fixture.m_Upstream.requests() == 1);
}

// Guards against a repeatable request that is lost because its first response is broken.
TEST_CASE("a request whose early response is broken is sent to another upstream", "[gateway]") {
  const std::string Path = GENERATE(as<std::string>(), "/safe/x", "/stream/x");
  GatewayFixture Fixture;
  Fixture.setPlan();
  EarlyUpstream Sound(Fixture.loop(), [](const HttpRequest &Request) {
    const std::string Body = Request.target() == "/stream/x" ? event(1) : "whole";
    const std::string Framing = "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    return EarlyUpstream::Response{header(Request, Framing) + Body, EarlyUpstream::End::ShutDown};
  });
  Fixture.listUpstream(Sound.address());
  // First attempts earn the budget for retries.
  for (int I = 0; I < 2 / RetryBudget::Share; ++I)
    REQUIRE(isWholeSuccess(
        Fixture.exchange(GatewayFixture::request("/safe/first", "f" + std::to_string(I)))));
  EarlyUpstream Broken(Fixture.loop(), [](const HttpRequest &Request) {
    return EarlyUpstream::Response{header(Request, Unframed) + "part", EarlyUpstream::End::Reset,
                                   20ms};
  });
  Fixture.listUpstream(Broken.address());
  for (int I = 0; I < 4 && Broken.requests() == 0; ++I) {
    const RawResponse Response = Fixture.exchange(upload(Path, "r" + std::to_string(I)));
    CHECK(isWholeSuccess(Response));
    CHECK(Response.contains(Path == "/stream/x" ? "token-1" : "whole"));
  }
  CHECK(Broken.requests() == 1);
}

// Guards against refusing a sound response because it comes before the request is written, or
// because its upstream ends the connection after it.
TEST_CASE("a whole response during an upload reaches the client", "[gateway]") {
  struct Case {
    const char *m_Path;
    unsigned m_Status;
    std::string m_Framing;
    std::string m_Body;
    EarlyUpstream::End m_End;
  };
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::string Length = "Content-Length: 5\r\n";
  const Case Each = GENERATE_COPY(
      Case{"/once/x", 200, Unframed, "whole", EarlyUpstream::End::ShutDown},
      Case{"/safe/x", 200, Unframed, "whole", EarlyUpstream::End::ShutDown},
      Case{"/stream/x", 200, Unframed, event(1) + event(2), EarlyUpstream::End::ShutDown},
      Case{"/once/x", 200, Length, "whole", EarlyUpstream::End::Reset},
      Case{"/safe/x", 200, Length, "whole", EarlyUpstream::End::Reset},
      Case{"/safe/x", 200, Chunked, chunk("whole") + LastChunk, EarlyUpstream::End::Reset},
      Case{"/stream/x", 200, Chunked, chunk(event(1)) + LastChunk, EarlyUpstream::End::Reset},
      Case{"/once/x", 500, Length, "whole", EarlyUpstream::End::Reset});
  const Duration Delay = GENERATE(0ms, 50ms);
  INFO(Each.m_Path << ' ' << Each.m_Status << ' ' << Each.m_Framing << Delay.count());
  EarlyFixture Fixture([&](const HttpRequest &Request) {
    return EarlyUpstream::Response{header(Request, Each.m_Framing, Each.m_Status) + Each.m_Body,
                                   Each.m_End, Delay};
  });
  const RawResponse Response = Fixture.m_Gateway.exchange(upload(Each.m_Path, "r1"));
  CHECK(Response.status() == Each.m_Status);
  CHECK(Response.isComplete());
  CHECK(Response.contains(Each.m_Path == std::string("/stream/x") ? "token-1" : "whole"));
}

// Guards against a part of an answer of the store or of another instance that counts as a whole
// one.
TEST_CASE("a call whose unframed response is reset does not count as answered", "[gateway]") {
  const Duration Delay = GENERATE(0ms, 2ms, 50ms);
  // The second one is still being written when it is reset.
  const std::size_t BodyBytes = GENERATE(std::size_t{2}, UploadBytes);
  CAPTURE(Delay.count(), BodyBytes);
  net::io_context Loop;
  EarlyUpstream Called(Loop, [&](const HttpRequest &Request) {
    return EarlyUpstream::Response{header(Request, Unframed) + "part", EarlyUpstream::End::Reset,
                                   Delay};
  });
  ConnectionPool Pool(Loop.get_executor());
  AsyncHttpClient HttpClient(Pool);
  std::optional<CallResult> Result;
  net::co_spawn(
      Loop,
      [&]() -> Task<> {
        HttpRequest Request = makePost("/any", std::string(BodyBytes, 'u'));
        Result = co_await HttpClient.call(Called.address(), std::move(Request), CallTimeouts{1s});
      },
      net::detached);
  REQUIRE(test::runUntil(
      Loop, [&] { return Result.has_value(); }, 2s));
  CHECK_FALSE(Result->isAnswered());
}

// Guards against an upload that ends because its upstream pauses longer than the time limit on
// unacknowledged data: a pause cannot be distinguished from a lost host while no data can be sent.
TEST_CASE("an upload goes on after its upstream has read nothing for three seconds",
          "[gateway][known-red]") {
  GatewayFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) {
    for (Route &Each : Plan.m_Routes)
      Each.m_Timeout = 6s;
  });
  EarlyUpstream Paused(Fixture.loop(), [](const HttpRequest &Request) {
    return EarlyUpstream::Response{header(Request, "Content-Length: 5\r\n") + "whole",
                                   EarlyUpstream::End::ShutDown};
  });
  Paused.setDelayBeforeResponse(3s);
  Fixture.listUpstream(Paused.address());
  const std::string Request = GatewayFixture::withDeadline(upload("/once/x", "r1"), 5s);
  CHECK(isWholeSuccess(Fixture.exchange(Request, 7s)));
}
