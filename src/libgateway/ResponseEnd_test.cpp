#include "FakeUpstream.h"
#include "GatewayCore.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace fescuegauge::test;
using namespace std::chrono_literals;

using Script = FakeUpstream::Script;

namespace {

/// Header of a response that has neither a length nor chunks.
std::string unframedHeader(const HttpRequest &To, const std::string &Type) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(To["Request-Id"]) +
         "\r\nContent-Type: " + Type + "\r\nConnection: keep-alive\r\n\r\n";
}

/// An upstream that sends a prefix of an unframed response and ends the connection.
struct UnframedUpstream {
  GatewayFixture m_Fixture;
  FakeUpstream *m_Upstream = nullptr;
  std::string m_Type = "text/event-stream";
  std::string m_Body;
  Script::End m_End = Script::End::Close;
  /// The process ends with the connection.
  bool m_Dies = false;

  UnframedUpstream() {
    m_Fixture.setPlan();
    m_Upstream = &m_Fixture.addUpstream([this](const HttpRequest &Request) {
      if (m_Dies)
        m_Upstream->stopListening();
      return Script{{{unframedHeader(Request, m_Type) + m_Body}}, m_End};
    });
  }
};

} // namespace

// Guards against a stream that was cut off and looks complete: without a length or chunks, the end
// of the connection is the only end.
TEST_CASE("an unframed stream is complete only if it ends after an event", "[gateway]") {
  const std::string Body = event(1) + event(2);
  for (const Script::End End : {Script::End::Close, Script::End::Reset})
    for (std::size_t Size = 0; Size <= Body.size(); ++Size) {
      UnframedUpstream Upstream;
      Upstream.m_Body = Body.substr(0, Size);
      Upstream.m_End = End;
      const RawResponse Response =
          Upstream.m_Fixture.exchange(GatewayFixture::request("/stream/x", "r1"));
      INFO("after " << Size << " bytes, reset " << (End == Script::End::Reset));
      const bool IsAfterEvent = Size == event(1).size() || Size == Body.size();
      CHECK((Response.status() == 200 && Response.isCompleteChunked()) ==
            (IsAfterEvent && End == Script::End::Close));
    }
}

// Guards against taking the end of a process for the end of its response: both close the
// connection in the same way.
TEST_CASE("an unframed response of an upstream that crashed is not complete", "[gateway]") {
  for (const char *Path : {"/stream/x", "/safe/x", "/once/x"}) {
    UnframedUpstream Upstream;
    Upstream.m_Type = Path == std::string("/stream/x") ? "text/event-stream" : "text/plain";
    Upstream.m_Body = event(1);
    Upstream.m_Dies = true;
    const RawResponse Response = Upstream.m_Fixture.exchange(GatewayFixture::request(Path, "r1"));
    INFO(Path);
    CHECK_FALSE((Response.status() == 200 && Response.isComplete()));
    CHECK(Response.status() != 503);
  }
}

// Guards against refusing what an upstream sends whole, and against an unframed response that keeps
// its connection.
TEST_CASE("a plain unframed response is forwarded with its length", "[gateway]") {
  for (const char *Path : {"/safe/x", "/once/x"}) {
    UnframedUpstream Upstream;
    Upstream.m_Type = "text/plain";
    Upstream.m_Body = "whole";
    const RawResponse Response = Upstream.m_Fixture.exchange(GatewayFixture::request(Path, "r1"));
    CHECK(Response.status() == 200);
    CHECK(Response.contains("Content-Length: 5\r\n"));
    CHECK(Response.m_Bytes.ends_with("\r\n\r\nwhole"));
  }
}

// Guards against a response without a body that is taken for an unframed one, which would wait for
// the end of the connection.
TEST_CASE("responses to HEAD and with status 204 have no body", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  unsigned Status = 204;
  Fixture.addUpstream([&](const HttpRequest &Request) {
    return Script{{{"HTTP/1.1 " + std::to_string(Status) +
                    " Any\r\nRequest-Id: " + std::string(Request["Request-Id"]) + "\r\n\r\n"}}};
  });
  CHECK(Fixture.exchange(GatewayFixture::request("/safe/x", "r1")).status() == 204);
  Status = 200;
  CHECK(Fixture.exchange(GatewayFixture::request("/safe/x", "r2", "", "HEAD"), 500ms).status() ==
        200);
}

// Guards against a resumed stream that is complete because its second upstream crashed after some
// events.
TEST_CASE("a resumed unframed stream of an upstream that crashed is cut", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  std::vector<FakeUpstream *> Upstreams(2);
  int Count = 0;
  for (std::size_t I = 0; I < 2; ++I)
    Upstreams[I] = &Fixture.addUpstream([&, I](const HttpRequest &Request) {
      if (Request["Request-Id"].starts_with("warm"))
        return Script{{{streamHeader(Request) + chunk(event(1)) + LastChunk}}};
      Upstreams[I]->stopListening();
      return Script{{{unframedHeader(Request, "text/event-stream") + event(++Count)}},
                    Script::End::Close};
    });
  // Completed requests fill the retry budget.
  for (int I = 0; I < 12; ++I)
    Fixture.exchange(GatewayFixture::request("/stream/x", "warm-" + std::to_string(I)));
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/stream/x", "r1"));
  CHECK(Count == 2);
  CHECK(Response.contains("token-1"));
  CHECK(Response.contains("token-2"));
  CHECK_FALSE(Response.isCompleteChunked());
}

// Guards against failure responses that together exceed the memory of the machine, although each of
// them is bounded.
TEST_CASE("the buffered failure responses of all requests are bounded", "[gateway]") {
  constexpr Duration StopTime = 600ms;
  constexpr std::size_t BodyBytes = 900 << 10;
  constexpr std::size_t Count = 30;
  constexpr std::size_t Fitting = GatewayCore::MaxFailureBufferBytes / BodyBytes;
  GatewayFixture Fixture(StopTime);
  // No request reaches its deadline, so one that ends early was ended by the limit.
  Fixture.setPlan([](RoutingPlan &Plan) {
    for (Route &Each : Plan.m_Routes)
      Each.m_Timeout = 60s;
  });
  Fixture.addUpstream([](const HttpRequest &Request) {
    const std::string Part(BodyBytes, 'x');
    return Script{{{"HTTP/1.1 500 Any\r\nRequest-Id: " + std::string(Request["Request-Id"]) +
                    "\r\nContent-Length: " + std::to_string(Part.size() + 1) + "\r\n\r\n" + Part}}};
  });
  Fixture.records()[0].m_Slots = 2 * Count;
  Fixture.gateway().setUpstreams(Fixture.records());
  std::vector<RawResponse> Responses(Count);
  std::array<bool, Count> Done{};
  for (std::size_t I = 0; I < Count; ++I) {
    std::string Request = GatewayFixture::request("/once/x", "r" + std::to_string(I));
    Request.replace(Request.find("Deadline-Ms: 1200"), 17, "Deadline-Ms: 50000");
    Fixture.start(Request, Responses[I], Done[I]);
  }
  // The upstream never ends a response, so only those beyond the limit end.
  const auto EndedCount = [&] {
    return static_cast<std::size_t>(std::count(Done.begin(), Done.end(), true));
  };
  CHECK(Fixture.runUntil([&] { return EndedCount() >= Count - Fitting; }, 40s));
  for (std::size_t I = 0; I < Count; ++I)
    if (Done[I])
      CHECK(Responses[I].status() == 502);
  Fixture.gateway().beginDrain();
  REQUIRE(Fixture.runUntil([&] { return EndedCount() == Count; }, 10s));
  for (const RawResponse &Each : Responses)
    CHECK(Each.status() >= 502);
}
