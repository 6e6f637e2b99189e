#include "FakeUpstream.h"

#include "Fescuegauge/Log.h"
#include "Fescuegauge/PeerReportExchange.h"
#include "GatewayCore.h"

#include <catch2/catch.hpp>
#include <functional>
#include <sstream>
#include <thread>
#include <utility>

using namespace fescuegauge;
using namespace fescuegauge::test;
using namespace std::chrono_literals;

using Script = FakeUpstream::Script;

namespace {

/// Whether a status tells the client that the request was not run.
bool isNotRunStatus(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

FakeUpstream::RequestHandler respondWith(const std::string &Body, unsigned Status = 200) {
  return
      [=](const HttpRequest &Request) { return Script{{{plainResponse(Request, Status, Body)}}}; };
}

FakeUpstream::RequestHandler closeAfter(const std::string &Bytes, Script::End End) {
  return [=](const HttpRequest &) { return Script{{{Bytes}}, End}; };
}

} // namespace

TEST_CASE("a stream is forwarded event by event and ends complete", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  FakeUpstream &Upstream = Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{streamHeader(Request)},
                   {chunk(event(1)), 20ms},
                   {chunk(event(2)), 20ms},
                   {LastChunk, 5ms}}};
  });
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/stream/x", "r1"));
  CHECK(Response.status() == 200);
  CHECK(Response.isCompleteChunked());
  CHECK(Response.contains("token-1"));
  CHECK(Response.contains("token-2"));
  CHECK(Response.contains("Signature: s"));
  REQUIRE(Upstream.requests().size() == 1);
  const HttpRequest &Sent = Upstream.requests()[0];
  CHECK(Sent["Client-Account"] == "account");
  CHECK(Sent.count("Account-Key") == 0);
  CHECK(Sent["Expected-Upstream"] == "upstream-1");
  CHECK(Sent.body() == "body");
  CHECK(std::stoi(std::string(Sent["Deadline-Ms"])) <= 1200);
}

// Guards against an undetected violation of the bound on old weights: a stream that was sent in
// time is queued at its upstream and begins on older weights after the bound.
TEST_CASE("a stream that begins late on older weights is counted and logged", "[gateway]") {
  const ModelId Model("model");
  const TimePoint Now = monotonicNow();
  GatewayFixture Fixture;
  Fixture.setPlan();
  Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{streamHeader(Request)}, {chunk(event(1)), 60ms}, {LastChunk}}};
  });
  Fixture.records()[0].m_Weights = {{Model, WeightsVersion(3)}};
  Fixture.gateway().setUpstreams(Fixture.records());
  std::ostringstream Lines;
  LogService Logs({}, Lines);
  Kernel Services;
  Logs.start(Services);
  const auto CheckServed = [&](const std::string &Id) {
    CHECK(Fixture.exchange(GatewayFixture::request("/stream/x", Id, "Model: model\r\n")).status() ==
          200);
  };
  Fixture.gateway().setWeightsBounds(
      Model, {{WeightsVersion(3), Now - 1s}, {WeightsVersion(4), Now + 1h}});
  CheckServed("in-time");
  Fixture.gateway().setWeightsBounds(Model, {{WeightsVersion(4), Now}});
  CheckServed("late");
  Logs.stop();
  const std::string Text = Lines.str();
  INFO(Text);
  CHECK(Text.find("event=older_weights_ran_late request=late upstream=upstream-1 attempt=1 "
                  "model=model placedWeights=3 answeredWeights=3 leastWeights=4 lateSeconds=") !=
        std::string::npos);
  CHECK(Text.find("event=older_weights_ran_late request=in-time") == std::string::npos);
  CHECK(Text.find("placedWeights=3 answeredWeights=3 startSeconds=0.0") != std::string::npos);
  const std::string Metrics = Fixture.metrics();
  INFO(Metrics);
  CHECK(Metrics.find("fescuegauge_gateway_late_older_weights_total 1\n") != std::string::npos);
  CHECK(Metrics.find("fescuegauge_gateway_start_seconds_count{kind=\"resumable-stream\"} 2\n") !=
        std::string::npos);
  CHECK(Metrics.find("start_seconds_bucket{kind=\"resumable-stream\",le=\"0.05\"} 0\n") !=
        std::string::npos);
}

TEST_CASE("headers that the gateway sets are not taken from clients", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  FakeUpstream &Upstream = Fixture.addUpstream(respondWith("x"));
  Fixture.exchange(GatewayFixture::request("/safe/x", "r1",
                                           "Client-Account: forged\r\nExpected-Upstream: other\r\n"
                                           "Runner-Path: forged\r\nConnection: X-Hop\r\n"
                                           "X-Hop: 1\r\nX-Kept: 2\r\n"));
  REQUIRE(Upstream.requests().size() == 1);
  const HttpRequest &Sent = Upstream.requests()[0];
  CHECK(Sent["Client-Account"] == "account");
  CHECK(Sent["Expected-Upstream"] == "upstream-1");
  CHECK(Sent.count("Runner-Path") == 0);
  CHECK(Sent.count("X-Hop") == 0);
  CHECK(Sent["X-Kept"] == "2");
}

TEST_CASE("requests that cannot be routed are refused with the matching status", "[gateway]") {
  GatewayFixture Fixture;
  CHECK(Fixture.exchange(GatewayFixture::request("/safe/x", "r1")).status() == 503);
  CHECK_FALSE(Fixture.gateway().isReady());
  Fixture.setPlan();
  CHECK(Fixture.gateway().isReady());
  CHECK(Fixture.exchange(GatewayFixture::request("/none/x", "r1")).status() == 404);
  std::string Unknown = GatewayFixture::request("/safe/x", "r1");
  Unknown.replace(Unknown.find("Account-Key: key"), 16, "Account-Key: bad");
  CHECK(Fixture.exchange(Unknown).status() == 401);
  const RawResponse NoUpstream = Fixture.exchange(GatewayFixture::request("/safe/x", "r1"));
  CHECK(NoUpstream.status() == 503);
  CHECK(NoUpstream.contains("Retry-After: "));
  CHECK(Fixture.exchange("BAD\r\n\r\n").status() == 400);
}

// Guards against a process that stops following a table after one exception.
TEST_CASE("a persistent task that throws is restarted", "[gateway]") {
  net::io_context Loop;
  int Starts = 0;
  spawnPersistentTask(Loop.get_executor(), "test", [&Starts]() -> Task<> {
    ++Starts;
    co_await sleepFor(1ms);
    if (Starts < 3)
      throw std::runtime_error("unreadable");
  });
  CHECK(runUntil(
      Loop, [&] { return Starts == 3; }, 3 * TaskRestartDelay));
  runFor(Loop, 2 * TaskRestartDelay);
  CHECK(Starts == 3);
}

TEST_CASE("an older plan does not replace a newer one", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) { Plan.m_Version = PlanVersion(9); });
  Fixture.setPlan([](RoutingPlan &Plan) {
    Plan.m_Version = PlanVersion(8);
    Plan.m_Routes.clear();
  });
  Fixture.addUpstream(respondWith("x"));
  CHECK(Fixture.exchange(GatewayFixture::request("/safe/x", "r1")).status() == 200);
  Fixture.setPlan([](RoutingPlan &Plan) {
    Plan.m_Version = PlanVersion(10);
    Plan.m_Accounts[0].m_Keys = {"other"};
  });
  CHECK(Fixture.exchange(GatewayFixture::request("/safe/x", "r2")).status() == 401);
}

// Guards against an at-most-once request that may have run and is sent again, or gets a status that
// says that it was not run.
TEST_CASE("an at-most-once request whose response is lost ends with an unknown outcome",
          "[gateway]") {
  for (const auto End : {Script::End::Close, Script::End::Reset}) {
    GatewayFixture Fixture;
    Fixture.setPlan();
    FakeUpstream &First = Fixture.addUpstream(closeAfter("", End));
    FakeUpstream &Second = Fixture.addUpstream(closeAfter("", End));
    const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
    CHECK(Response.status() == 502);
    CHECK(First.requests().size() + Second.requests().size() == 1);
  }
}

TEST_CASE("an at-most-once request that times out ends with 504", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  Fixture.addUpstream([](const HttpRequest &) { return Script{{{"", 5s}}}; });
  const TimePoint Start = monotonicNow();
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
  CHECK(Response.status() == 504);
  CHECK(monotonicNow() - Start < 1200ms + 300ms);
}

TEST_CASE("a request that an upstream did not run is retried at another upstream", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) {
    for (Route &Each : Plan.m_Routes)
      Each.m_MaxAttempts = 2;
  });
  // Completed requests fill the retry budget.
  FakeUpstream &First = Fixture.addUpstream([](const HttpRequest &Request) {
    if (Request["Request-Id"].starts_with("warm"))
      return Script{{{plainResponse(Request, 200, "x")}}};
    return Script{{{plainResponse(Request, 503, "", "Not-Run: 1\r\n")}}};
  });
  constexpr std::size_t WarmRequests = 12;
  for (std::size_t I = 0; I < WarmRequests; ++I)
    Fixture.exchange(GatewayFixture::request("/safe/x", "warm-" + std::to_string(I)));
  FakeUpstream &Second = Fixture.addUpstream(respondWith("second"));
  RawResponse Response;
  for (int I = 0; I < 20 && First.requests().size() == WarmRequests; ++I)
    Response = Fixture.exchange(GatewayFixture::request("/once/x", "r" + std::to_string(I)));
  CHECK(First.requests().size() == WarmRequests + 1);
  CHECK(Response.status() == 200);
  CHECK(Response.contains("second"));
  CHECK(Second.requests().back()["Request-Id"] == First.requests().back()["Request-Id"]);
}

TEST_CASE("a rejection without another upstream gives a 503 with Retry-After", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{plainResponse(Request, 503, "", "Not-Run: 1\r\n")}}};
  });
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
  CHECK(Response.status() == 503);
  CHECK(Response.contains("Retry-After: "));
}

// Guards against a 503, 429 or 408 that is forwarded although the upstream may have run the
// request: without the Not-Run header it does not promise that nothing ran.
TEST_CASE("a status that promises not run is not forwarded without the Not-Run header",
          "[gateway]") {
  for (const unsigned Status : {503U, 429U, 408U}) {
    GatewayFixture Fixture;
    Fixture.setPlan();
    Fixture.addUpstream(respondWith("busy", Status));
    const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
    CHECK_FALSE(isNotRunStatus(Response.status()));
  }
}

TEST_CASE("a failure response of an upstream is forwarded unchanged", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{plainResponse(Request, 500, "boom", "Signature: s9\r\n")}}};
  });
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
  CHECK(Response.status() == 500);
  CHECK(Response.contains("Signature: s9"));
  CHECK(Response.contains("boom"));
}

// Guards against a response to the wrong request: a second response to an earlier request arrives
// late on a reused connection.
TEST_CASE("a late duplicate response reaches no client", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  int Count = 0;
  Fixture.addUpstream([&Count](const HttpRequest &Request) {
    const std::string Own =
        plainResponse(Request, 200, "own-" + std::string(Request["Request-Id"]));
    if (++Count == 1)
      return Script{{{Own}}};
    HttpRequest Stray = Request;
    Stray.set("Request-Id", "r1");
    return Script{{{plainResponse(Stray, 200, "stray")}, {Own, 10ms}}};
  });
  Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/x", "r2"));
  CHECK(Response.status() == 200);
  CHECK(Response.contains("own-r2"));
  CHECK_FALSE(Response.contains("stray"));
}

namespace {

/// Refusal without a request id, as a faulty upstream repeats it.
std::string refusalWithoutId(unsigned Status) {
  return "HTTP/1.1 " + std::to_string(Status) + " Any\r\nContent-Length: 0\r\nNot-Run: 1\r\n\r\n";
}

} // namespace

// Guards against a repeated refusal of an earlier request on a reused connection that is taken for
// the response to the next request, which the upstream runs.
TEST_CASE("a repeated refusal without an id is not taken for the response to the next request",
          "[gateway]") {
  for (const unsigned Status : {408U, 421U, 429U, 503U})
    for (const std::string Interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
      GatewayFixture Fixture;
      Fixture.setPlan();
      int Count = 0;
      FakeUpstream &Upstream = Fixture.addUpstream([&](const HttpRequest &Request) {
        const std::string Own = plainResponse(Request, 200, "own");
        if (++Count == 1)
          return Script{{{Own}}};
        return Script{{{Interim + refusalWithoutId(Status)}, {Own, 10ms}}};
      });
      Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
      const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/x", "r2"));
      CHECK_FALSE(isNotRunStatus(Response.status()));
      CHECK(Upstream.requests().size() == 2);
    }
}

TEST_CASE("a refusal without an id on a new connection belongs to the request", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  Fixture.addUpstream([](const HttpRequest &) { return Script{{{refusalWithoutId(503)}}}; });
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
  CHECK(Response.status() == 503);
}

// Guards against passing on a status code that is none, for example 000, and against reading the
// bytes of another protocol as a response.
TEST_CASE("a response with an invalid status code is not passed on", "[gateway]") {
  const std::string Status = GENERATE(as<std::string>(), "000", "099", "101", "600", "999");
  const std::string Interim = GENERATE(as<std::string>(), "", "HTTP/1.1 103 Early Hints\r\n\r\n");
  CAPTURE(Status, Interim);
  GatewayFixture Fixture;
  Fixture.setPlan();
  int Faulty = 0;
  const auto Answer = [&](const HttpRequest &Request) {
    if (Request.target().ends_with("/first") || Faulty++ > 0)
      return Script{{{plainResponse(Request, 200, "whole")}}};
    std::string Response = plainResponse(Request, 200, "faulty");
    Response.replace(Response.find("200"), 3, Status);
    return Script{{{Interim + Response}}};
  };
  FakeUpstream &First = Fixture.addUpstream(Answer);
  SECTION("a request that may run only once gets an error of the gateway's own") {
    const bool IsKept = GENERATE(false, true);
    if (IsKept)
      Fixture.exchange(GatewayFixture::request("/once/first", "r0"));
    const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
    CHECK(Response.status() == 502);
    CHECK_FALSE(Response.contains("Signature"));
    CHECK_FALSE(Response.contains("faulty"));
    CHECK(First.requests().size() == (IsKept ? 2U : 1U));
  }
  SECTION("a request that may be repeated is sent to another upstream") {
    Fixture.addUpstream(Answer);
    // First attempts earn the budget for retries.
    for (int I = 0; I < 2 / RetryBudget::Share; ++I)
      Fixture.exchange(GatewayFixture::request("/safe/first", "f" + std::to_string(I)));
    const RawResponse Response = Fixture.exchange(GatewayFixture::request("/safe/x", "r1"));
    CHECK(Response.status() == 200);
    CHECK(Response.contains("whole"));
  }
}

// Guards against a repeated refusal with the id of a request that was sent to the same upstream
// again.
TEST_CASE("a refused request is not sent again to the upstream that refused it", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  FakeUpstream &Upstream = Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{plainResponse(Request, 503, "", "Not-Run: 1\r\n")}}};
  });
  for (const char *Path : {"/safe/x", "/stream/x"}) {
    const std::size_t Before = Upstream.requests().size();
    Fixture.exchange(GatewayFixture::request(Path, "r1"));
    CHECK(Upstream.requests().size() <= Before + 1);
  }
}

TEST_CASE("bytes after a complete response close the connection to the upstream", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  FakeUpstream &Upstream = Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{plainResponse(Request, 200, "x") + plainResponse(Request, 200, "again")}}};
  });
  CHECK(Fixture.exchange(GatewayFixture::request("/once/x", "r1")).contains("\r\n\r\nx"));
  CHECK(Fixture.exchange(GatewayFixture::request("/once/x", "r2")).contains("\r\n\r\nx"));
  CHECK(Upstream.connections() == 2);
}

TEST_CASE("bytes that are not an HTTP response do not reach the client", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  Fixture.addUpstream(closeAfter("garbage that is no answer\r\n\r\n", Script::End::Close));
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
  CHECK(Response.status() == 502);
  CHECK_FALSE(Response.contains("garbage"));
}

TEST_CASE("a truncated response does not look complete", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  Fixture.addUpstream([](const HttpRequest &Request) {
    std::string Response = plainResponse(Request, 200, std::string(200 << 10, 'x'));
    Response.resize(Response.size() - 100);
    return Script{{{Response}}, Script::End::Close};
  });
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
  CHECK(Response.m_ClosedByServer);
  const std::size_t HeaderEnd = Response.m_Bytes.find("\r\n\r\n");
  REQUIRE(HeaderEnd != std::string::npos);
  CHECK(Response.m_Bytes.size() - HeaderEnd - 4 < 200U << 10);
}

// Guards against a success with an empty or short body, sent to the client when the upstream closes
// within the header of its response.
TEST_CASE("a response truncated in its header does not become a success", "[gateway]") {
  struct Case {
    const char *m_Path;
    const char *m_Method;
    /// Complete interim response, sent before the header.
    std::string m_Interim;
    std::string m_Framing;
    /// Whether the connection has carried a response before.
    bool m_IsKept = false;
  };
  const std::string Length = "Content-Length: 4\r\n";
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::string UntilClose = "Connection: close\r\n";
  const std::string Interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  const Case Each = GENERATE_COPY(
      Case{"/once/x", "POST", "", Length}, Case{"/once/x", "POST", "", UntilClose},
      Case{"/once/x", "POST", Interim, Chunked}, Case{"/once/x", "POST", "", UntilClose, true},
      Case{"/once/x", "HEAD", "", Length}, Case{"/once/x", "HEAD", "", UntilClose},
      Case{"/safe/x", "POST", "", Length}, Case{"/safe/x", "POST", "", UntilClose},
      Case{"/stream/x", "POST", "", Chunked}, Case{"/stream/x", "POST", Interim, UntilClose});
  const Script::End End = GENERATE(Script::End::Close, Script::End::Reset);
  const auto HeaderOf = [&](const HttpRequest &To) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(To["Request-Id"]) +
           "\r\nContent-Type: text/event-stream\r\nSignature: s\r\n" + Each.m_Framing + "\r\n";
  };
  HttpRequest Example;
  Example.set("Request-Id", "r-0000");
  const std::size_t Whole = HeaderOf(Example).size();
  GatewayFixture Fixture;
  Fixture.setPlan();
  std::size_t Cut = 0;
  Fixture.addUpstream([&](const HttpRequest &Request) {
    if (Request.target() == "/safe/first")
      return Script{{{plainResponse(Request, 200, "first")}}};
    return Script{{{Each.m_Interim + HeaderOf(Request).substr(0, Cut)}}, End};
  });
  INFO(Each.m_Path << ' ' << Each.m_Method << ' ' << Each.m_Framing);
  for (Cut = 0; Cut < Whole; ++Cut) {
    const std::string Id = "r-" + std::to_string(1000 + Cut);
    if (Each.m_IsKept)
      REQUIRE(Fixture.exchange(GatewayFixture::request("/safe/first", "f" + Id)).status() == 200);
    // A response to HEAD ends with its header; the client sees its end by the closed connection.
    const std::string Extra =
        std::string_view(Each.m_Method) == "HEAD" ? "Connection: close\r\n" : "";
    const RawResponse Response =
        Fixture.exchange(GatewayFixture::request(Each.m_Path, Id, Extra, Each.m_Method));
    INFO("cut after " << Cut << " bytes");
    CHECK((Response.status() == 502 || Response.status() == 503 || Response.m_ClosedByServer));
    CHECK_FALSE(Response.status() == 200);
  }
}

// Guards against a body in an error response to HEAD, which the client takes for the beginning of
// the next response, and against a Content-Length that is replaced by 0.
TEST_CASE("a response to HEAD has no body and keeps the length stated by its upstream",
          "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  Fixture.addUpstream([](const HttpRequest &Request) {
    std::string Response = plainResponse(Request, 200, "body");
    Response.resize(Response.size() - 4);
    return Script{{{Response}}};
  });
  for (const char *Path : {"/safe/x", "/nowhere/x"}) {
    const RawResponse Response =
        Fixture.exchange(GatewayFixture::request(Path, "r1", "", "HEAD"), 300ms);
    INFO(Response.m_Bytes);
    CHECK(Response.status() != 0);
    CHECK(Response.m_Bytes.ends_with("\r\n\r\n"));
    CHECK_FALSE(Response.contains("Content-Length: 0"));
  }
}

// Guards against a call that counts as answered although the store or instance closed within the
// header of its response.
TEST_CASE("a call whose response is truncated in its header does not count as answered",
          "[gateway]") {
  const std::string Framing =
      GENERATE(as<std::string>(), "Content-Length: 2\r\n", "Connection: close\r\n");
  const Script::End End = GENERATE(Script::End::Close, Script::End::Reset);
  const std::string HeaderText =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + Framing + "\r\n";
  net::io_context Loop;
  std::size_t Cut = 0;
  FakeUpstream Called(Loop, [&](const HttpRequest &) {
    return Script{{{HeaderText.substr(0, Cut)}}, End};
  });
  ConnectionPool Pool(Loop.get_executor());
  AsyncHttpClient HttpClient(Pool);
  for (Cut = 0; Cut < HeaderText.size(); ++Cut) {
    std::optional<CallResult> Result;
    net::co_spawn(
        Loop,
        [&]() -> Task<> {
          Result = co_await HttpClient.call(Called.address(), makeGet("/any"), CallTimeouts{1s});
        },
        net::detached);
    REQUIRE(test::runUntil(
        Loop, [&] { return Result.has_value(); }, 2s));
    INFO(Framing << "cut after " << Cut << " bytes");
    CHECK_FALSE(Result->isAnswered());
  }
}

TEST_CASE("a response without a length is complete when its connection closes", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  auto RespondWithoutLength = [](Script::End End) {
    return [End](const HttpRequest &Request) {
      return Script{{{"HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Request["Request-Id"]) +
                      "\r\n\r\nbody"},
                     {"-rest", 30ms},
                     {"", 30ms}},
                    End};
    };
  };
  FakeUpstream &Upstream = Fixture.addUpstream(RespondWithoutLength(Script::End::Close));
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
  CHECK(Response.status() == 200);
  CHECK(Response.contains("body-rest"));
  CHECK(Upstream.requests().size() == 1);

  GatewayFixture Other;
  Other.setPlan();
  Other.addUpstream(RespondWithoutLength(Script::End::Reset));
  CHECK(Other.exchange(GatewayFixture::request("/once/x", "r1")).status() == 502);
}

// Guards against a missing or duplicated event when a stream is resumed at another upstream.
TEST_CASE("an interrupted stream resumes at another upstream after the last complete event",
          "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  for (int I = 0; I < 2; ++I)
    Fixture.addUpstream([](const HttpRequest &Request) {
      if (Request.count("Last-Event-ID") == 0) {
        // The connection is reset within the third event.
        return Script{{{streamHeader(Request)},
                       {chunk(event(1)), 10ms},
                       {chunk(event(2) + "id: 3\ndata: tok"), 10ms},
                       {"", 30ms}},
                      Script::End::Reset};
      }
      const int Last = std::stoi(std::string(Request["Last-Event-ID"]));
      return Script{{{streamHeader(Request)},
                     {chunk(event(Last) + event(Last + 1)), 10ms},
                     {chunk(event(Last + 2)), 10ms},
                     {LastChunk, 5ms}}};
    });
  // Completed requests fill the retry budget.
  for (int I = 0; I < 12; ++I)
    Fixture.exchange(
        GatewayFixture::request("/stream/x", "warm-" + std::to_string(I), "Last-Event-ID: 5\r\n"));
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/stream/x", "r1"));
  CHECK(Response.isCompleteChunked());
  for (const char *Token : {"token-1", "token-2", "token-3", "token-4"}) {
    const std::size_t First = Response.m_Bytes.find(Token);
    CHECK(First != std::string::npos);
    CHECK(Response.m_Bytes.find(Token, First + 1) == std::string::npos);
  }
}

namespace {

/// Runs a stream that is interrupted after its second event; `ResumeResponse` creates the response
/// of the upstream that is asked to resume it.
RawResponse
runInterruptedStream(const std::function<std::string(const HttpRequest &)> &ResumeResponse) {
  GatewayFixture Fixture;
  Fixture.setPlan();
  for (int I = 0; I < 2; ++I)
    Fixture.addUpstream([&](const HttpRequest &Request) {
      if (Request.count("Last-Event-ID") == 0)
        return Script{{{streamHeader(Request)}, {chunk(event(1) + event(2)), 10ms}, {"", 30ms}},
                      Script::End::Reset};
      // Completed requests fill the retry budget.
      if (Request["Last-Event-ID"] == "90")
        return Script{{{streamHeader(Request)}, {chunk(event(91))}, {LastChunk}}};
      return Script{{{ResumeResponse(Request)}}, Script::End::Close};
    });
  for (int I = 0; I < 12; ++I)
    Fixture.exchange(
        GatewayFixture::request("/stream/x", "warm-" + std::to_string(I), "Last-Event-ID: 90\r\n"));
  return Fixture.exchange(GatewayFixture::request("/stream/x", "r1"));
}

} // namespace

// Guards against a response of the next upstream that does not resume the stream, but ends it as if
// it were complete or appears in it.
TEST_CASE("an interrupted stream is not completed by a response that does not resume it",
          "[gateway]") {
  const RawResponse Whole = runInterruptedStream([](const HttpRequest &Request) {
    return streamHeader(Request) + chunk(event(2) + event(3)) + LastChunk;
  });
  REQUIRE(Whole.isCompleteChunked());
  CHECK(Whole.contains("token-3"));
  const std::string HeaderText =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Type: text/event-stream\r\n";
  const auto Concatenated = [](std::initializer_list<std::string_view> Parts) {
    std::string Result;
    for (const std::string_view Each : Parts)
      Result += Each;
    return Result;
  };
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Response : {
           std::string("HTTP/1.1 500 Any\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nspoil"),
           std::string(
               "HTTP/1.1 503 Any\r\nRequest-Id: r1\r\nNot-Run: 1\r\nContent-Length: 5\r\n\r\n"
               "spoil"),
           std::string("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nspoil"),
           Concatenated({HeaderText, "Content-Length: 0\r\n\r\n"}),
           Concatenated({HeaderText, Chunked, LastChunk}),
           Concatenated({HeaderText, Chunked, chunk("data: spoil\n\n"), LastChunk}),
           // Closes within an event, without a length.
           Concatenated({HeaderText, "\r\n", event(3), "id: 4\ndata: spo"}),
       }) {
    const RawResponse Got = runInterruptedStream([&](const HttpRequest &) { return Response; });
    INFO(Response);
    CHECK(Got.contains("token-2"));
    CHECK_FALSE(Got.contains("spo"));
    CHECK_FALSE(Got.contains("HTTP/1.1 5"));
    CHECK_FALSE(Got.isCompleteChunked());
    CHECK(Got.m_ClosedByServer);
  }
}

TEST_CASE("a stream is not resumed on weights of another version", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  std::vector<std::string> Expected;
  for (int I = 0; I < 2; ++I)
    Fixture.addUpstream([&Expected](const HttpRequest &Request) {
      if (Request.count("Last-Event-ID") != 0 && Request["Request-Id"] == "r1")
        Expected.emplace_back(Request["Expected-Weights"]);
      const bool Warm = Request["Request-Id"] != "r1";
      return Script{
          {{streamHeader(Request)}, {chunk(event(6)) + (Warm ? LastChunk : ""), 10ms}, {"", 30ms}},
          Warm ? Script::End::KeepOpen : Script::End::Reset};
    });
  for (int I = 0; I < 12; ++I)
    Fixture.exchange(GatewayFixture::request("/stream/x", "warm-" + std::to_string(I)));
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/stream/x", "r1"));
  CHECK_FALSE(Response.isCompleteChunked());
  CHECK(Response.m_ClosedByServer);
  REQUIRE(Expected.size() == 1);
  CHECK(Expected[0] == "3");
}

// Guards against work that continues at the upstream after the client has disconnected.
TEST_CASE("the connection to the upstream closes at once when the client disconnects",
          "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  FakeUpstream &Upstream = Fixture.addUpstream([](const HttpRequest &Request) {
    std::vector<FakeUpstream::Step> Steps{{streamHeader(Request)}};
    for (int I = 1; I < 200; ++I)
      Steps.push_back({chunk(event(I)), 10ms});
    return Script{Steps};
  });
  bool Left = false;
  net::co_spawn(
      Fixture.loop(),
      [&]() -> Task<> {
        Tcp::socket Socket(Fixture.loop());
        co_await Socket.async_connect(tcpEndpoint(Fixture.address()), AsTuple);
        const std::string Bytes = GatewayFixture::request("/stream/x", "r1");
        co_await net::async_write(Socket, net::buffer(Bytes), AsTuple);
        co_await sleepFor(100ms);
        Socket.close();
        Left = true;
      },
      net::detached);
  REQUIRE(Fixture.runUntil([&] { return Left; }, 2s));
  CHECK(Fixture.runUntil([&] { return Upstream.abandonedCount() == 1; }, 500ms));
}

// Guards against a request that gets no final response after the timeout of its route.
TEST_CASE("the timeout of the route ends a request at once", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) {
    for (Route &Each : Plan.m_Routes)
      Each.m_Timeout = 300ms;
  });
  Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{streamHeader(Request)}, {chunk(event(1)), 10ms}, {chunk(event(2)), 3s}}};
  });
  const TimePoint Start = monotonicNow();
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/stream/x", "r1"));
  CHECK(monotonicNow() - Start < 300ms + 300ms);
  CHECK(Response.m_ClosedByServer);
  CHECK_FALSE(Response.isCompleteChunked());
}

// Guards against retries beyond the limit: an attempt that stalls and is moved counts like any
// other.
TEST_CASE("a stalled idempotent request moves to another upstream at most once", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) {
    for (Route &Each : Plan.m_Routes)
      Each.m_TargetLatency = 50ms;
  });
  std::vector<FakeUpstream *> Upstreams;
  for (int I = 0; I < 4; ++I)
    Upstreams.push_back(&Fixture.addUpstream([](const HttpRequest &Request) {
      if (Request["Request-Id"] != "r1")
        return Script{{{plainResponse(Request, 200, "x")}}};
      return Script{{{"", 3s}}};
    }));
  for (int I = 0; I < 40; ++I)
    Fixture.exchange(GatewayFixture::request("/safe/x", "warm-" + std::to_string(I)));
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/safe/x", "r1"));
  CHECK(Response.status() == 504);
  std::size_t Arrivals = 0;
  for (const FakeUpstream *Each : Upstreams)
    for (const HttpRequest &Request : Each->requests())
      Arrivals += Request["Request-Id"] == "r1" ? 1 : 0;
  CHECK(Arrivals == 2);
}

TEST_CASE("a refused connection does not count as an attempt", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  Fixture.addUpstream(respondWith("x")).stopListening();
  Fixture.addUpstream(respondWith("second"));
  for (int I = 0; I < 4; ++I)
    CHECK(Fixture.exchange(GatewayFixture::request("/once/x", "r" + std::to_string(I)))
              .contains("second"));
}

TEST_CASE("requests beyond the slots are refused at once", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) { Plan.m_Services[0].m_Engine = EngineParameters(); });
  FakeUpstream &Upstream = Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{"", 800ms}, {plainResponse(Request, 200, "x")}}};
  });
  int Done = 0;
  int Refused = 0;
  for (int I = 0; I < 10; ++I)
    net::co_spawn(
        Fixture.loop(),
        [&Fixture, &Done, &Refused, I]() -> Task<> {
          Tcp::socket Socket(Fixture.loop());
          co_await Socket.async_connect(tcpEndpoint(Fixture.address()), AsTuple);
          const std::string Bytes =
              GatewayFixture::request("/once/x", "r" + std::to_string(I), "Connection: close\r\n");
          co_await net::async_write(Socket, net::buffer(Bytes), AsTuple);
          std::string Response(12, ' ');
          co_await Socket.async_read_some(net::buffer(Response), AsTuple);
          Refused += Response.ends_with("503") ? 1 : 0;
          ++Done;
        },
        net::detached);
  CHECK(Fixture.runUntil([&] { return Refused == 6; }, 500ms));
  CHECK(Upstream.requests().size() == 4);
  CHECK(Fixture.runUntil([&] { return Done == 10; }, 1500ms));
}

TEST_CASE("a request that crashes upstreams is blocked after the second crash", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  std::vector<FakeUpstream *> Upstreams;
  for (int I = 0; I < 3; ++I) {
    Upstreams.push_back(nullptr);
    FakeUpstream *&Slot = Upstreams.back();
    Slot = &Fixture.addUpstream([&Upstreams, I](const HttpRequest &) {
      Upstreams[static_cast<std::size_t>(I)]->stopListening();
      return Script{{}, Script::End::Reset};
    });
  }
  for (int I = 0; I < 2; ++I) {
    Fixture.exchange(GatewayFixture::request("/once/poison", "r" + std::to_string(I)));
    Fixture.runUntil([] { return false; }, 200ms);
  }
  const RawResponse Response = Fixture.exchange(GatewayFixture::request("/once/poison", "r9"));
  CHECK(Response.status() == 503);
  CHECK(Response.contains("request-blocked"));
  std::size_t Arrivals = 0;
  for (const FakeUpstream *Each : Upstreams)
    Arrivals += Each->requests().size();
  CHECK(Arrivals == 2);
}

// Guards against a request that is never recognised because the first bytes of its response, which
// leave the upstream before it crashes, are taken for a sound start.
TEST_CASE("a request that crashes upstreams after the first bytes of its response is blocked",
          "[gateway]") {
  struct Order {
    std::string m_Name;
    std::string m_Path;
    std::function<std::string(const HttpRequest &)> m_Sent;
  };
  const std::vector<Order> Orders{
      {"within the first event", "/stream/poison",
       [](const HttpRequest &Request) {
         return streamHeader(Request) + chunk(event(1).substr(0, 9));
       }},
      {"after the first event", "/stream/poison",
       [](const HttpRequest &Request) { return streamHeader(Request) + chunk(event(1)); }},
      {"within a plain response", "/safe/poison", [](const HttpRequest &Request) {
         const std::string Whole = plainResponse(Request, 200, "twelve bytes");
         return Whole.substr(0, Whole.size() - 5);
       }}};
  for (const Order &Each : Orders) {
    INFO(Each.m_Name);
    GatewayFixture Fixture;
    Fixture.setPlan();
    std::size_t Arrivals = 0;
    std::vector<FakeUpstream *> Upstreams(6);
    for (FakeUpstream *&Slot : Upstreams)
      Slot = &Fixture.addUpstream([&](const HttpRequest &Request) {
        if (!std::string_view(Request.target()).ends_with("/poison"))
          return Script{{{plainResponse(Request, 200, "x")}}};
        ++Arrivals;
        Slot->stopListening();
        return Script{{{Each.m_Sent(Request)}, {"", 5ms}}, Script::End::Reset};
      });
    for (int I = 0; I < 4; ++I) {
      const std::string Number = std::to_string(I);
      CHECK(Fixture.exchange(GatewayFixture::request("/safe/" + Number, "s" + Number)).status() ==
            200);
      Fixture.exchange(GatewayFixture::request(Each.m_Path, "r" + Number));
      Fixture.runUntil([] { return false; }, 200ms);
    }
    const RawResponse Response = Fixture.exchange(GatewayFixture::request(Each.m_Path, "r9"));
    CHECK(Response.status() == 503);
    CHECK(Response.contains("request-blocked"));
    CHECK(Arrivals == 2);
  }
}

TEST_CASE("a draining gateway serves requests during the grace period, then refuses them",
          "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  Fixture.addUpstream(respondWith("x"));
  Fixture.gateway().beginDrain();
  CHECK_FALSE(Fixture.gateway().isReady());
  const RawResponse During = Fixture.exchange(GatewayFixture::request("/once/x", "r1"));
  CHECK(During.status() == 200);
  CHECK(During.contains("Connection: close"));
  CHECK_FALSE(Fixture.gateway().isDrained());
  CHECK(Fixture.runUntil([&] { return Fixture.gateway().isDrained(); }, 4s));
  CHECK(Fixture.exchange(GatewayFixture::request("/once/x", "r2")).status() == 503);
}

// Guards against requests that arrive late in the grace period, some of them at-most-once, and are
// sent to an upstream but cut without a response when the process ends.
TEST_CASE("a draining gateway responds to late requests before the process ends", "[gateway]") {
  constexpr Duration StopTime = 1s;
  GatewayFixture Fixture(StopTime);
  Fixture.setPlan();
  FakeUpstream &Upstream = Fixture.addUpstream([](const HttpRequest &Request) {
    if (Request.target() == "/stream/x")
      return Script{{{streamHeader(Request) + chunk(event(1))}, {chunk(event(2)), 10s}}};
    return Script{{{plainResponse(Request, 200, "late"), 10s}}};
  });
  RawResponse Safe;
  RawResponse Before;
  RawResponse Stream;
  std::array<bool, 3> Done{};
  Fixture.start(GatewayFixture::request("/once/x", "before"), Before, Done[0]);
  REQUIRE(Fixture.runUntil([&] { return Upstream.requests().size() == 1; }, 1s));
  const TimePoint Begin = monotonicNow();
  Fixture.gateway().beginDrain();
  Fixture.start(GatewayFixture::request("/stream/x", "stream"), Stream, Done[1]);
  Fixture.start(GatewayFixture::request("/safe/x", "safe"), Safe, Done[2]);
  REQUIRE(Fixture.runUntil([&] { return Upstream.requests().size() == 3; }, 1s));
  // Its deadline is after the end of the process.
  const RawResponse Once = Fixture.exchange(GatewayFixture::request("/once/x", "once"), 200ms);
  CHECK(Once.status() == 503);
  CHECK(Once.contains("Retry-After"));
  CHECK(Upstream.requests().size() == 3);
  for (const HttpRequest &Each : Upstream.requests())
    if (Each["Request-Id"] != "before")
      CHECK(std::stol(std::string(Each["Deadline-Ms"])) < 1000);
  REQUIRE(Fixture.runUntil([&] { return Done[0] && Done[1] && Done[2]; },
                           StopTime - (monotonicNow() - Begin)));
  CHECK(Before.status() == 504);
  CHECK(Safe.status() == 504);
  CHECK(Stream.contains("token-1"));
  CHECK(Stream.m_ClosedByServer);
  CHECK_FALSE(Stream.isCompleteChunked());
  CHECK(Fixture.runUntil([&] { return Fixture.gateway().isDrained(); },
                         StopTime - (monotonicNow() - Begin)));
}

// Guards against an at-most-once request that waited for a slot and is sent although the process
// ends before its deadline.
TEST_CASE("a draining gateway does not send a queued at-most-once request", "[gateway]") {
  constexpr Duration StopTime = 600ms;
  constexpr std::size_t Slots = 4;
  GatewayFixture Fixture(StopTime);
  Fixture.setPlan([](RoutingPlan &Plan) { Plan.m_Services[0].m_Engine = EngineParameters(); });
  FakeUpstream &Upstream = Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{plainResponse(Request, 200, "x"), 80ms}}};
  });
  std::array<RawResponse, Slots> Running;
  std::array<bool, Slots + 1> Done{};
  const auto AllDone = [&] { return std::all_of(Done.begin(), Done.end(), std::identity()); };
  const auto FillSlots = [&](std::size_t Expected) {
    Running = {};
    Done = {};
    for (std::size_t I = 0; I < Slots; ++I)
      Fixture.start(GatewayFixture::request("/safe/x", "r" + std::to_string(Expected + I)),
                    Running[I], Done[I]);
    REQUIRE(Fixture.runUntil([&] { return Upstream.requests().size() == Expected + Slots; }, 1s));
  };
  // Lets the queue measure how often a slot becomes free.
  for (std::size_t Round = 0; Round < 3; ++Round) {
    FillSlots(Round * Slots);
    Done.back() = true;
    REQUIRE(Fixture.runUntil(AllDone, 1s));
  }
  FillSlots(3 * Slots);
  RawResponse Waiting;
  Fixture.start(GatewayFixture::request("/once/x", "waiting"), Waiting, Done.back());
  Fixture.runUntil([] { return false; }, 20ms);
  REQUIRE_FALSE(Done.back());
  Fixture.gateway().beginDrain();
  REQUIRE(Fixture.runUntil(AllDone, StopTime));
  for (const RawResponse &Each : Running)
    CHECK(Each.status() == 200);
  CHECK(Waiting.status() == 503);
  CHECK(Upstream.requests().size() == 4 * Slots);
}

// Guards against a request without a response that is read shortly before the end of the process,
// or whose body is still arriving then.
TEST_CASE("a draining gateway responds to requests that are read shortly before its end",
          "[gateway]") {
  constexpr Duration StopTime = 1s;
  constexpr Duration RequestsEnd = StopTime - GatewayCore::StopMargin;
  GatewayFixture Fixture(StopTime);
  Fixture.setPlan();
  FakeUpstream &Upstream = Fixture.addUpstream([](const HttpRequest &Request) {
    const bool IsFirst = Request["Request-Id"].starts_with("first");
    return Script{{{plainResponse(Request, 200, "x"), IsFirst ? 0s : 10s}}};
  });
  enum Client : std::size_t { Safe, Once, Body, Idle, ClientCount };
  std::vector<Tcp::socket> Sockets;
  for (std::size_t I = 0; I < ClientCount; ++I) {
    Sockets.emplace_back(Fixture.loop()).connect(tcpEndpoint(Fixture.address()));
    net::write(Sockets[I],
               net::buffer(GatewayFixture::request("/safe/x", "first" + std::to_string(I))));
    RawResponse First;
    bool Done = false;
    net::co_spawn(Fixture.loop(), readRaw(Sockets[I], First, Done), net::detached);
    REQUIRE(Fixture.runUntil([&] { return Done; }, 1s));
    REQUIRE(First.status() == 200);
  }
  std::array<RawResponse, ClientCount> Responses;
  std::array<bool, ClientCount> Done{};
  for (std::size_t I = 0; I < ClientCount; ++I)
    net::co_spawn(Fixture.loop(), readRaw(Sockets[I], Responses[I], Done[I], true), net::detached);
  const TimePoint Begin = monotonicNow();
  const auto RunUntilTime = [&](Duration SinceBegin) {
    Fixture.runUntil([&] { return monotonicNow() >= Begin + SinceBegin; }, StopTime);
  };
  Fixture.gateway().beginDrain();
  RunUntilTime(RequestsEnd - 10ms);
  const std::string Whole = GatewayFixture::request("/once/x", "body");
  net::write(Sockets[Safe], net::buffer(GatewayFixture::request("/safe/x", "safe")));
  net::write(Sockets[Once], net::buffer(GatewayFixture::request("/once/x", "once")));
  net::write(Sockets[Body], net::buffer(Whole.substr(0, Whole.size() - 2)));
  REQUIRE(Fixture.runUntil([&] { return Done[Safe] && Done[Once]; },
                           StopTime - (monotonicNow() - Begin)));
  RunUntilTime(RequestsEnd + 10ms);
  CHECK_FALSE(Fixture.gateway().isDrained());
  CHECK_FALSE(Done[Body]);
  net::write(Sockets[Body], net::buffer(Whole.substr(Whole.size() - 2)));
  CHECK(Fixture.runUntil([&] { return Done[Body] && Fixture.gateway().isDrained(); },
                         StopTime - (monotonicNow() - Begin)));
  const bool SafeWasSent = Upstream.requests().size() == ClientCount + 1;
  CHECK(Responses[Safe].status() == (SafeWasSent ? 504 : 503));
  CHECK(Responses[Once].status() == 503);
  CHECK(Responses[Body].status() == 503);
  for (const Client Each : {Safe, Once, Body}) {
    CHECK(Responses[Each].isComplete());
    CHECK_FALSE(Responses[Each].m_Reset);
  }
  CHECK(Responses[Idle].m_Bytes.empty());
  CHECK(Upstream.requests().size() <= ClientCount + 1);
}

// Guards against a connection reset that cuts a response written just before the requests in
// progress are ended.
TEST_CASE("a draining gateway does not reset a connection after a complete response", "[gateway]") {
  constexpr Duration StopTime = 600ms;
  GatewayFixture Fixture(StopTime);
  Fixture.setPlan();
  Tcp::socket Socket(Fixture.loop());
  Socket.connect(tcpEndpoint(Fixture.address()));
  const std::string Whole = GatewayFixture::request("/once/x", "body", "Expect: 100-continue\r\n");
  RawResponse Response;
  bool Done = false;
  net::co_spawn(Fixture.loop(), readRaw(Socket, Response, Done, true), net::detached);
  const TimePoint Begin = monotonicNow();
  Fixture.gateway().beginDrain();
  net::write(Socket, net::buffer(Whole.substr(0, Whole.size() - 2)));
  REQUIRE(Fixture.runUntil([&] { return Response.contains("100 Continue"); }, 200ms));
  // The loop handles the end of the body and the cutoff of requests in one pass, the body first.
  net::write(Socket, net::buffer(Whole.substr(Whole.size() - 2)));
  std::this_thread::sleep_for(Begin + StopTime - GatewayCore::StopMargin + 5ms - monotonicNow());
  REQUIRE(Fixture.runUntil([&] { return Done; }, 1s));
  CHECK(Response.contains("HTTP/1.1 503"));
  CHECK_FALSE(Response.m_Reset);
}

// Guards against a draining gateway that closes a connection as idle while its first request is in
// transit, so that the client gets no response.
TEST_CASE("a draining gateway responds to the first request of a new connection", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  Fixture.gateway().beginDrain();
  REQUIRE(Fixture.runUntil([&] { return Fixture.gateway().isDrained(); }, 4s));
  // For more than a second, there is always a connection without its request.
  constexpr std::size_t ClientCount = 30;
  std::array<RawResponse, ClientCount> Responses;
  std::array<bool, ClientCount> Done{};
  for (std::size_t I = 0; I < ClientCount; ++I) {
    net::co_spawn(Fixture.loop(),
                  callRaw(Fixture.address(),
                          GatewayFixture::request("/once/x", "r" + std::to_string(I)), Responses[I],
                          Done[I], 60ms),
                  net::detached);
    Fixture.runUntil([] { return false; }, 40ms);
  }
  const auto IsDone = [](bool Each) { return Each; };
  REQUIRE(Fixture.runUntil([&] { return std::all_of(Done.begin(), Done.end(), IsDone); }, 2s));
  for (const RawResponse &Each : Responses)
    CHECK(Each.status() == 503);
}

TEST_CASE("peer reports and notices round-trip, and malformed ones are rejected", "[gateway]") {
  PeerReport Report;
  Report.m_Sender = InstanceId("entry-1");
  Report.m_DataCentre = DataCentreId("a");
  Report.m_IsStopping = true;
  Report.m_Demand = RequestRate(12.5);
  Report.m_Usage = {{InstanceId("u1"), {3, 1900}}, {InstanceId("u2"), {16, 0}}};
  const SuspectRequest Suspect =
      makeSuspectRequest(ClientAccountId("c"), sha256(std::string_view("x")),
                         std::vector<std::string>{"first", "bad"});
  const UpstreamStart Crash{InstanceId("u1"), Incarnation(4)};
  Report.m_Suspects.m_Evidence.push_back({Crash, 5s, Suspect});
  Report.m_Suspects.m_Begun.push_back({Suspect.m_Keys[0], 2s});
  Report.m_Suspects.m_Quarantines.push_back({Suspect.m_Keys, Suspect.m_Account, Crash, 5s});
  Report.m_Suspects.m_Quarantines.push_back({{Suspect.m_Keys[1]}, std::nullopt, Crash, 5s});
  Report.m_Weights.push_back({ModelId("m"), WeightsVersion(2), 3s, 20ms});
  Report.m_Loading.push_back({{"10.0.0.1", 80}, 2s});
  Report.m_Leaving.push_back({InstanceId("u3"), Incarnation(9)});
  Report.m_Rates.push_back({{InstanceId("u4"), Incarnation(7)}, RequestRate(1.3), 40ms});
  Report.m_Rates.push_back({{InstanceId("u5"), Incarnation(8)}, std::nullopt, 2s});
  Report.m_Cold.push_back({{InstanceId("u6"), Incarnation(3)}, 1700ms});
  Report.m_Tables.push_back({"op", {StoreEpoch(3), RowVersion(41)}, 300ms, true, true, true});
  const std::string Encoded = encodePeerReport(Report);
  const auto Decoded = decodePeerReport(Encoded);
  REQUIRE(Decoded);
  CHECK(Decoded->m_IsStopping);
  CHECK(Decoded->m_Demand == Report.m_Demand);
  CHECK(Decoded->m_Usage == Report.m_Usage);
  CHECK(Decoded->m_Suspects == Report.m_Suspects);
  CHECK(Decoded->m_Weights == Report.m_Weights);
  CHECK(Decoded->m_Loading == Report.m_Loading);
  CHECK(Decoded->m_Leaving == Report.m_Leaving);
  CHECK(Decoded->m_Rates == Report.m_Rates);
  CHECK(Decoded->m_Cold == Report.m_Cold);
  CHECK(Decoded->m_Tables == Report.m_Tables);
  for (std::size_t Size = 0; Size < Encoded.size(); ++Size)
    CHECK_FALSE(decodePeerReport(std::string_view(Encoded).substr(0, Size)));
  CHECK_FALSE(decodePeerReport(Encoded + "x"));
  const LoadNotice Notice{{"10.0.0.1", 80}, 2s};
  CHECK(decodeLoadNotice(encodeLoadNotice(Notice)) == Notice);
  CHECK_FALSE(decodeLoadNotice(Encoded));
}

namespace {

/// Peer in the own data centre that stores the last reported number of requests in flight and
/// counts the received suspects.
struct ListeningPeer {
  explicit ListeningPeer(net::io_context &Loop)
      : m_Socket(Loop, Udp::endpoint(loopbackAddress(), 0)) {
    m_Socket.non_blocking(true);
  }
  Endpoint address() const { return loopbackEndpoint(m_Socket.local_endpoint().port()); }
  /// Reads all received datagrams.
  void read() {
    std::array<char, 4096> Buffer;
    SystemError Error;
    while (true) {
      const std::size_t Size = m_Socket.receive(net::buffer(Buffer), 0, Error);
      if (Error)
        return;
      const auto Report = decodePeerReport({Buffer.data(), Size});
      REQUIRE(Report);
      m_Suspects += Report->m_Suspects.m_Evidence.size();
      if (!Report->m_Usage.empty())
        m_InFlight = Report->m_Usage.begin()->second.m_Requests;
    }
  }

  Udp::socket m_Socket;
  std::uint32_t m_InFlight = 0;
  std::size_t m_Suspects = 0;
};

} // namespace

// Guards against instances of a large data centre that never receive the requests in flight of
// other instances, or the requests that crash upstreams.
TEST_CASE("every instance of a large data centre gets a report within a bounded time",
          "[gateway]") {
  net::io_context Loop;
  constexpr std::size_t Count = 40;
  std::uint32_t InFlight = 1;
  SuspectUpdate Suspects;
  PeerReportExchange Link(
      Loop, InstanceId("entry-0"), DataCentreId("a"),
      {[] { return false; }, [] { return RequestRate(); },
       [&] {
         return UsageByUpstream{{InstanceId("u1"), {InFlight, 0}}};
       },
       [&] { return Suspects; }, [&] { return !Suspects.empty(); },
       [] { return std::vector<AnnouncedWeights>(); }, [] { return std::vector<UpstreamStart>(); },
       [] { return std::vector<RateStatement>(); }, [] { return std::vector<ColdNotice>(); },
       [] { return std::vector<TableState>(); }, [](const LoadNotice &) {},
       [](const PeerReport &) {}});
  std::vector<std::unique_ptr<ListeningPeer>> Peers;
  for (std::size_t I = 0; I < Count; ++I) {
    Peers.push_back(std::make_unique<ListeningPeer>(Loop));
    Link.addPeer(Peers.back()->address(), DataCentreId("a"));
  }
  const auto AllReceived = [&](auto Holds) {
    for (const auto &Each : Peers)
      Each->read();
    return std::all_of(Peers.begin(), Peers.end(), [&](const auto &Each) { return Holds(*Each); });
  };
  Link.start(loopbackEndpoint(freePort(Loop)));
  constexpr auto Turns =
      (Count + PeerReportExchange::MaxLocalPeers - 1) / PeerReportExchange::MaxLocalPeers;
  const Duration Bound = PeerReportExchange::LocalInterval * static_cast<int>(Turns + 1);
  for (InFlight = 1; InFlight <= 3; ++InFlight)
    CHECK(runUntil(
        Loop,
        [&] { return AllReceived([&](const auto &Each) { return Each.m_InFlight == InFlight; }); },
        Bound));
  Suspects.m_Evidence.push_back(
      {{InstanceId("u1"), Incarnation(4)},
       1s,
       makeSuspectRequest(ClientAccountId("c"), sha256(std::string_view("x")), {})});
  CHECK(runUntil(
      Loop, [&] { return AllReceived([](const auto &Each) { return Each.m_Suspects >= 1; }); },
      Bound));
}

namespace {

/// Bytes that an upstream sends before it repeats other bytes endlessly.
struct EndlessCase {
  const char *m_Name;
  const char *m_Path;
  std::string m_Header;
  std::string m_Repeated;
};

std::string headerWith(const std::string &Status, const std::string &Headers) {
  return "HTTP/1.1 " + Status + " Any\r\nRequest-Id: r1\r\n" + Headers;
}

std::vector<EndlessCase> endlessCases() {
  const std::string Line(2048, 'x');
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Events = "Content-Type: text/event-stream\r\n";
  return {
      {"head line", "/safe/x", "HTTP/1.1 200 OK\r\nX: ", Line},
      {"headers", "/safe/x", "HTTP/1.1 200 OK\r\n", "X-Filler: y\r\n"},
      {"no head", "/once/x", "", Line},
      {"interim answers", "/safe/x", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"failure body", "/once/x", headerWith("500", Chunked), chunk(Line)},
      {"failure body without length", "/once/x", headerWith("500", "\r\n"), Line},
      {"rejection body", "/safe/x", headerWith("503", "Not-Run: 1\r\n" + Chunked), chunk(Line)},
      {"chunk extension", "/once/x", headerWith("500", Chunked) + "4;x=", Line},
      {"trailer", "/once/x", headerWith("500", Chunked) + "0\r\nX: ", Line},
      {"event", "/stream/x", headerWith("200", Events + Chunked), chunk(Line)},
  };
}

} // namespace

// Guards against unbounded memory for endless bytes that form no response: the connection must be
// closed after a bounded number of bytes, and the client must get an error before its deadline.
TEST_CASE("endless bytes of an upstream cost bounded memory and end with an error", "[gateway]") {
  // Maximum number of bytes that the gateway reads before it closes the connection, and that the
  // socket buffers hold.
  constexpr std::size_t MaxRead = 1 << 20;
  constexpr std::size_t MaxBuffered = 8 << 20;
  for (const EndlessCase &Case : endlessCases()) {
    CAPTURE(Case.m_Name);
    GatewayFixture Fixture;
    Fixture.setPlan();
    FakeUpstream &Upstream = Fixture.addUpstream([&](const HttpRequest &) {
      return Script{{{Case.m_Header}}, Script::End::KeepOpen, Case.m_Repeated};
    });
    const TimePoint Start = monotonicNow();
    const RawResponse Response = Fixture.exchange(GatewayFixture::request(Case.m_Path, "r1"));
    CHECK(monotonicNow() - Start < 1000ms);
    CHECK((Response.status() >= 500 || Response.m_ClosedByServer));
    CHECK_FALSE(Response.contains("xxxx"));
    CHECK(Fixture.runUntil([&] { return Upstream.abandonedCount() == 1; }, 1s));
    CHECK(Upstream.repeatedBytes() <= MaxRead + MaxBuffered);
  }
}

// Guards against requests to a leaving upstream while the list of upstreams is late or unavailable.
TEST_CASE("an upstream that announces that it is leaving gets no further requests", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  FakeUpstream &Leaving = Fixture.addUpstream([](const HttpRequest &Request) {
    return Script{{{plainResponse(Request, 200, "last", "Upstream-Leaving: 1\r\n")}}};
  });
  CHECK(Fixture.exchange(GatewayFixture::request("/safe/x", "r1")).contains("last"));
  FakeUpstream &Other = Fixture.addUpstream(respondWith("other"));
  for (int I = 2; I < 8; ++I)
    CHECK(Fixture.exchange(GatewayFixture::request("/safe/x", "r" + std::to_string(I)))
              .contains("other"));
  CHECK(Leaving.requests().size() == 1);
  CHECK(Other.requests().size() == 6);
  const std::vector<UpstreamStart> Reported = Fixture.gateway().leavingForPeers();
  REQUIRE(Reported.size() == 1);
  CHECK(Reported.front().m_Id == InstanceId("upstream-1"));

  // An entry that expires and returns is the same upstream; a restarted one is another.
  Fixture.gateway().setUpstreams({});
  Fixture.gateway().setUpstreams(Fixture.records());
  Fixture.exchange(GatewayFixture::request("/safe/x", "r8"));
  CHECK(Leaving.requests().size() == 1);
  Fixture.records()[0].m_Incarnation = Incarnation(7);
  Fixture.records().pop_back();
  Fixture.gateway().setUpstreams(Fixture.records());
  Fixture.exchange(GatewayFixture::request("/safe/x", "r9"));
  CHECK(Leaving.requests().size() == 2);
}

// Guards against connections to a paused upstream: requests, retries and crash checks all count.
TEST_CASE("an upstream that asks for a pause gets no requests until the pause is over",
          "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  constexpr Duration Pause = 2s;
  constexpr int RefusedCount = 6;
  bool IsFull = true;
  FakeUpstream &Upstream = Fixture.addUpstream([&](const HttpRequest &Request) {
    if (IsFull)
      return Script{{{plainResponse(Request, 503, "", "Not-Run: 1\r\nRetry-After: 2\r\n")}}};
    return Script{{{plainResponse(Request, 200, "served")}}};
  });
  const TimePoint Start = monotonicNow();
  CHECK(Fixture.exchange(GatewayFixture::request("/safe/x", "r1")).status() == 503);
  const TimePoint Answered = monotonicNow();
  IsFull = false;
  for (int I = 0; I < RefusedCount; ++I) {
    const auto Response =
        Fixture.exchange(GatewayFixture::request("/once/x", "refused" + std::to_string(I)));
    CHECK(Response.status() == 503);
    CHECK(Response.contains("Retry-After: "));
    Fixture.runUntil([] { return false; }, 50ms);
  }
  CHECK(Upstream.requests().size() == 1);
  CHECK(Upstream.connections() == 1);
  // Without CPU time for this long, the requests would not show whether the pause was kept.
  REQUIRE(monotonicNow() - Start < Pause);
  Fixture.runUntil([] { return false; }, Pause + 100ms - (monotonicNow() - Answered));
  CHECK(Fixture.exchange(GatewayFixture::request("/safe/x", "last")).contains("served"));
}

// Guards against an instance that exceeds its share of a named rate limit, leaves the share unused,
// or still applies a limit that the upstream no longer names.
TEST_CASE("the rate limit of an upstream applies until it names none", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  const KnownInstance Self{{"127.0.0.1", 7700}, DataCentreId("a")};
  Fixture.gateway().setInstances(Self, {});
  std::string Header = "Upstream-Rate: 4\r\n";
  FakeUpstream &Upstream = Fixture.addUpstream([&](const HttpRequest &Request) {
    return Script{{{plainResponse(Request, 200, "served", Header)}}};
  });
  int Sent = 0;
  const auto Call = [&] {
    return Fixture.exchange(GatewayFixture::request("/safe/x", "r" + std::to_string(++Sent)));
  };
  CHECK(Call().contains("served"));
  const std::vector<RateStatement> Reported = Fixture.gateway().ratesForPeers();
  REQUIRE(Reported.size() == 1);
  CHECK(Reported.front().m_Upstream.m_Id == InstanceId("upstream-1"));
  CHECK(Reported.front().m_Rate == RequestRate(4));

  const TimePoint Start = monotonicNow();
  int Refused = 0;
  while (monotonicNow() - Start < 1500ms) {
    const auto Response = Call();
    if (Response.contains("served"))
      continue;
    CHECK(Response.status() == 503);
    CHECK(Response.contains("Retry-After: "));
    ++Refused;
    Fixture.runUntil([] { return false; }, 10ms);
  }
  const double Allowed = 1 + 4 * toSeconds(monotonicNow() - Start) + 2;
  CHECK(static_cast<double>(Upstream.requests().size()) <= Allowed);
  CHECK(Upstream.requests().size() >= 5);
  CHECK(Refused > 5);

  Header.clear();
  REQUIRE(Fixture.runUntil([&] { return Call().contains("served"); }, 1s));
  for (int I = 0; I < 10; ++I)
    CHECK(Call().contains("served"));
}

// Guards against an exceeded rate limit: the other instances take over the shares of an instance
// that stops, which must not use them any longer.
TEST_CASE("a draining instance sends nothing to an upstream with a rate limit", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  const KnownInstance Self{{"127.0.0.1", 7700}, DataCentreId("a")};
  Fixture.gateway().setInstances(Self, {});
  FakeUpstream &Upstream = Fixture.addUpstream([&](const HttpRequest &Request) {
    return Script{{{plainResponse(Request, 200, "served", "Upstream-Rate: 4\r\n")}}};
  });
  int Sent = 0;
  const auto IsServed = [&] {
    return Fixture.exchange(GatewayFixture::request("/safe/x", "r" + std::to_string(++Sent)))
        .contains("served");
  };
  CHECK(IsServed());
  REQUIRE(Fixture.runUntil([&] { return IsServed(); }, 1s));
  const std::size_t Before = Upstream.requests().size();
  Fixture.gateway().beginDrain();
  Fixture.gateway().setInstances(Self, {});
  // Longer than the interval between two permits of the share.
  Fixture.runUntil([] { return false; }, 400ms);
  CHECK_FALSE(IsServed());
  CHECK(Upstream.requests().size() == Before);
}

// Guards against a request to an upstream that became ineligible while the connection was being
// opened: one that is leaving, has other weights or has a rate limit.
TEST_CASE("a request is not sent to an upstream that became ineligible after the placement",
          "[gateway]") {
  struct Case {
    const char *m_Name;
    std::function<void(GatewayFixture &)> m_Change;
  };
  const ModelId Model("m");
  const auto UpdateFirstRecord = [](GatewayFixture &Fixture, auto Change) {
    Change(Fixture.records()[0]);
    Fixture.gateway().setUpstreams(Fixture.records());
  };
  const std::vector<Case> Cases = {
      {"listed as leaving",
       [&](GatewayFixture &Fixture) {
         UpdateFirstRecord(Fixture, [](UpstreamRecord &First) { First.m_IsLeaving = true; });
       }},
      {"removed", [](GatewayFixture &Fixture) { Fixture.gateway().setUpstreams({}); }},
      {"restarted",
       [&](GatewayFixture &Fixture) {
         UpdateFirstRecord(Fixture,
                           [](UpstreamRecord &First) { First.m_Incarnation = Incarnation(5); });
       }},
      {"moved to another service",
       [&](GatewayFixture &Fixture) {
         UpdateFirstRecord(Fixture,
                           [](UpstreamRecord &First) { First.m_Service = ServiceId("other"); });
       }},
      {"said that it leaves",
       [](GatewayFixture &Fixture) {
         Fixture.gateway().onPeerReport(InstanceId("entry-2"), {}, {},
                                        std::vector{Fixture.records()[0].start()}, {});
       }},
      {"weights too old",
       [&](GatewayFixture &Fixture) { Fixture.gateway().setMinVersion(Model, WeightsVersion(2)); }},
      {"named a rate of which this instance has no part",
       [](GatewayFixture &Fixture) {
         Fixture.gateway().onPeerReport(
             InstanceId("entry-2"), {}, {}, {},
             std::vector<RateStatement>{{Fixture.records()[0].start(), RequestRate(1.3), 0ms}});
       }},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    GatewayFixture Fixture;
    Fixture.setPlan([](RoutingPlan &Plan) { Plan.m_Services[0].m_Engine = EngineParameters(); });
    FakeUpstream &Upstream = Fixture.addUpstream(respondWith("x"));
    UpdateFirstRecord(Fixture, [&](UpstreamRecord &First) {
      First.m_Weights = {{Model, WeightsVersion(1)}};
    });
    RawResponse Response;
    bool Done = false;
    Fixture.start(GatewayFixture::request("/once/x", "r1", "Model: m\r\n"), Response, Done);
    REQUIRE(Fixture.runUntilPlaced());
    REQUIRE(Upstream.requests().empty());
    Each.m_Change(Fixture);
    CHECK(Fixture.runUntil([&] { return Done; }, 1s));
    CHECK(Upstream.requests().empty());
    CHECK(Response.status() == 503);
    CHECK(Response.contains("Retry-After: "));
    CHECK(Fixture.gateway().ownUsage().empty());
  }
}

// Guards against an upstream that gets a longer deadline than the time remaining when the request
// is sent.
TEST_CASE("the time to open a connection is deducted from the deadline of the upstream",
          "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  FakeUpstream &Upstream = Fixture.addUpstream(respondWith("x"));
  RawResponse Response;
  bool Done = false;
  Fixture.start(GatewayFixture::request("/once/x", "r1"), Response, Done);
  REQUIRE(Fixture.runUntilPlaced());
  std::this_thread::sleep_for(300ms);
  REQUIRE(Fixture.runUntil([&] { return Done; }, 1s));
  CHECK(Response.status() == 200);
  REQUIRE(Upstream.requests().size() == 1);
  CHECK(std::stoi(std::string(Upstream.requests()[0]["Deadline-Ms"])) <= 900);
}

// Guards against a request that runs after its client has timed out.
TEST_CASE("a request whose deadline passes while its connection opens is not sent", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) {
    for (Route &Each : Plan.m_Routes)
      Each.m_Timeout = 200ms;
  });
  FakeUpstream &Upstream = Fixture.addUpstream(respondWith("x"));
  RawResponse Response;
  bool Done = false;
  Fixture.start(GatewayFixture::request("/once/x", "r1"), Response, Done);
  REQUIRE(Fixture.runUntilPlaced());
  std::this_thread::sleep_for(300ms);
  REQUIRE(Fixture.runUntil([&] { return Done; }, 1s));
  CHECK(Upstream.requests().empty());
  CHECK(Response.status() == 503);
}

// Guards against a needless move of a stream whose client does not read: its upstream is healthy,
// and the slot taken at another upstream would stay unused until the client reads again.
TEST_CASE("a stream is not moved to another upstream because its client does not read",
          "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) {
    for (Route &Each : Plan.m_Routes)
      Each.m_Timeout = 5s;
  });
  std::vector<FakeUpstream *> Upstreams;
  const std::string Long = "data: " + std::string(32 << 10, 'x') + "\n\n";
  for (int I = 0; I < 2; ++I)
    Upstreams.push_back(&Fixture.addUpstream([&](const HttpRequest &Request) {
      if (Request["Request-Id"] != "r1")
        return Script{{{plainResponse(Request, 200, "x")}}};
      Script Plan{{{streamHeader(Request)}}};
      for (int Id = 1; Id <= 400; ++Id)
        Plan.m_Steps.push_back({chunk("id: " + std::to_string(Id) + "\n" + Long)});
      Plan.m_Steps.push_back({LastChunk});
      return Plan;
    }));
  // Completed requests fill the retry budget.
  for (int I = 0; I < 40; ++I)
    Fixture.exchange(GatewayFixture::request("/safe/x", "warm-" + std::to_string(I)));
  Tcp::socket Socket(Fixture.loop());
  Socket.connect(tcpEndpoint(Fixture.address()));
  std::string Bytes = GatewayFixture::request("/stream/x", "r1");
  Bytes.replace(Bytes.find("1200"), 4, "4800");
  net::write(Socket, net::buffer(Bytes));
  Fixture.runUntil([] { return false; }, 2500ms);
  CHECK(Fixture.gateway().ownUsage().size() == 1);
  std::size_t Arrivals = 0;
  for (const FakeUpstream *Each : Upstreams)
    for (const HttpRequest &Request : Each->requests())
      Arrivals += Request["Request-Id"] == "r1" ? 1 : 0;
  CHECK(Arrivals == 1);
}

// Guards against suspecting only whole requests: one prompt part crashes every upstream, and no two
// requests with it are alike.
TEST_CASE("requests that share a prompt part that crashes upstreams are blocked", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan();
  constexpr int UpstreamCount = 9;
  std::vector<FakeUpstream *> Upstreams(UpstreamCount);
  int Crashes = 0;
  for (int I = 0; I < UpstreamCount; ++I)
    Upstreams[static_cast<std::size_t>(I)] =
        &Fixture.addUpstream([&Upstreams, &Crashes, I](const HttpRequest &Request) {
          if (Request["Prompt-Parts"].find("bad:") == std::string_view::npos)
            return Script{{{streamHeader(Request)}, {chunk(event(1))}, {LastChunk}}};
          ++Crashes;
          Upstreams[static_cast<std::size_t>(I)]->stopListening();
          return Script{{{"", 30ms}}, Script::End::Reset};
        });
  const auto Send = [&](int Number, const std::string &Parts) {
    const std::string Id = std::to_string(Number);
    return Fixture.exchange(GatewayFixture::request(
        "/stream/" + Id, "r" + Id, "Prompt-Parts: " + Parts + ",own" + Id + ":90\r\n"));
  };
  int Number = 0;
  for (; Number < 4; ++Number) {
    Send(Number, "first:40,bad:160");
    CHECK(Send(Number + 100, "first:40").isCompleteChunked());
    Fixture.runUntil([] { return false; }, 400ms);
  }
  const int CrashesBefore = Crashes;
  CHECK(CrashesBefore <= 5);
  for (; Number < 8; ++Number) {
    const RawResponse Blocked = Send(Number, "first:40,bad:160");
    CHECK(Blocked.status() == 503);
    CHECK(Blocked.contains("request-blocked"));
    CHECK(Send(Number + 100, "first:40").isCompleteChunked());
  }
  CHECK(Crashes == CrashesBefore);
}

// Guards against a stream that is lost because its upstream paused and the next one rejects it.
TEST_CASE("a stream of a paused upstream survives a rejection by another one", "[gateway]") {
  for (const bool HasThird : {true, false}) {
    INFO((HasThird ? "a third upstream resumes it" : "only the paused upstream is left"));
    GatewayFixture Fixture;
    Fixture.setPlan([](RoutingPlan &Plan) {
      for (Route &Each : Plan.m_Routes)
        Each.m_Timeout = 6s;
    });
    std::size_t Rejections = 0;
    std::vector<InstanceId> Serving;
    // The first upstream to get the stream pauses, and the next one rejects it.
    const auto Serve = [&](const HttpRequest &Request) {
      if (Request.target() != "/stream/x")
        return Script{{{plainResponse(Request, 200, "x")}}};
      const InstanceId Self{std::string(Request["Expected-Upstream"])};
      if (Serving.empty()) {
        Serving.push_back(Self);
        return Script{
            {{streamHeader(Request)}, {chunk(event(1))}, {chunk(event(2)), 1900ms}, {LastChunk}}};
      }
      if (Rejections == 0) {
        ++Rejections;
        return Script{{{plainResponse(Request, 503, "full", "Not-Run: 1\r\n")}}};
      }
      Serving.push_back(Self);
      CHECK(Request["Last-Event-ID"] == "1");
      return Script{{{streamHeader(Request)}, {chunk(event(2))}, {LastChunk}}};
    };
    for (int I = 0; I < (HasThird ? 3 : 2); ++I)
      Fixture.addUpstream(Serve);
    // These earn the retry budget.
    for (int I = 0; I < 40; ++I)
      Fixture.exchange(GatewayFixture::request("/safe/x", "warm-" + std::to_string(I)));
    const RawResponse Response = Fixture.exchange(
        GatewayFixture::withDeadline(GatewayFixture::request("/stream/x", "r1"), 6s), 7s);
    CHECK(Rejections == 1);
    CHECK(Response.isCompleteChunked());
    CHECK(Response.contains("token-2"));
    // Alone, the paused upstream goes on with the exchange that it has.
    REQUIRE(Serving.size() == (HasThird ? 2U : 1U));
    CHECK((!HasThird || Serving[0] != Serving[1]));
  }
}

// Guards against a request that gets neither a response nor a refusal because its connection is
// closed after the idle timeout of an older plan, while its client goes by the one in force.
TEST_CASE("a longer idle timeout applies to connections that are idle already", "[gateway]") {
  GatewayFixture Fixture;
  const auto SetIdleTimeout = [&](Duration Timeout) {
    Fixture.setPlan([&](RoutingPlan &Plan) { Plan.m_Limits.m_IdleTimeout = Timeout; });
  };
  SetIdleTimeout(300ms);
  Fixture.addUpstream(respondWith("x"));
  Tcp::socket Client(Fixture.loop());
  Client.connect(tcpEndpoint(Fixture.address()));
  const auto Exchange = [&](const std::string &Id) {
    RawResponse Response;
    bool IsDone = false;
    SystemError Error;
    net::write(Client, net::buffer(GatewayFixture::request("/safe/x", Id)), Error);
    net::co_spawn(Fixture.loop(), readRaw(Client, Response, IsDone), net::detached);
    Fixture.runUntil([&] { return IsDone; }, 1s);
    return Response.status();
  };
  CHECK(Exchange("r1") == 200);
  Fixture.runUntil([] { return false; }, 100ms);
  SetIdleTimeout(1200ms);
  Fixture.runUntil([] { return false; }, 500ms);
  CHECK(Exchange("r2") == 200);
  // The new timeout counts from the last response.
  Fixture.runUntil([] { return false; }, 1500ms);
  CHECK(Exchange("r3") != 200);
}

// Guards against refusing a request by a limit of the plan that was in force when its connection
// became idle.
TEST_CASE("a request is read within the limits of the plan in force", "[gateway]") {
  GatewayFixture Fixture;
  Fixture.setPlan([](RoutingPlan &Plan) { Plan.m_Limits.m_MaxBodyBytes = 2; });
  Fixture.addUpstream(respondWith("x"));
  Tcp::socket Client(Fixture.loop());
  Client.connect(tcpEndpoint(Fixture.address()));
  Fixture.runUntil([] { return false; }, 50ms);
  Fixture.setPlan();
  RawResponse Response;
  bool IsDone = false;
  net::write(Client, net::buffer(GatewayFixture::request("/safe/x", "r1")));
  net::co_spawn(Fixture.loop(), readRaw(Client, Response, IsDone), net::detached);
  Fixture.runUntil([&] { return IsDone; }, 1s);
  CHECK(Response.status() == 200);
}
