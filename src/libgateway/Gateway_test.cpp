#include "FakeUpstream.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace fescuegauge::test;
using namespace std::chrono_literals;

using Script = FakeUpstream::Script;

TEST_CASE("a stream is passed on event by event and ends whole", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  FakeUpstream &Upstream = Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{streamHead(Request)},
                   {chunk(event(1)), 20ms},
                   {chunk(event(2)), 20ms},
                   {LastChunk, 5ms}}};
  });
  const RawAnswer Answer = Fixture.exchange(GatewayFixture::request("/stream/x", "r1"));
  CHECK(Answer.status() == 200);
  CHECK(Answer.isWholeChunked());
  CHECK(Answer.contains("token-1"));
  CHECK(Answer.contains("token-2"));
  CHECK(Answer.contains("Signature: s"));
  REQUIRE(Upstream.requests().size() == 1);
  const HttpRequest &Sent = Upstream.requests()[0];
  CHECK(Sent["Client-Account"] == "account");
  CHECK(Sent.count("Account-Key") == 0);
  CHECK(Sent["Expected-Upstream"] == "upstream-1");
  CHECK(Sent.body() == "body");
}
