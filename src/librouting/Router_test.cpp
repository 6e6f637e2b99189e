#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Router.h"

#include <catch2/catch.hpp>
#include <map>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

const ServiceId Service("asistente");
const TimePoint Start{1s};

InstanceRecord runner(int Number, std::uint64_t IncarnationNumber = 1) {
  InstanceRecord Record;
  Record.m_Id = InstanceId("runner-" + std::to_string(Number));
  Record.m_State = InstanceState::Live;
  Record.m_Incarnation = Incarnation(IncarnationNumber);
  Record.m_DataCentre = DataCentreId("dc-0");
  Record.m_Region = RegionId("region-0");
  Record.m_Service = Service;
  Record.m_Generation = GenerationId("new");
  Record.m_ServedDigest = sha256("version-1");
  Record.m_Capacity = 16;
  return Record;
}

/// A router with some upstreams, and a generator of requests that differ only in their ids.
struct Fixture {
  explicit Fixture(int Count, const RouterOptions &Options = {}) : m_Router(local(Options), 7) {
    ServiceRouting Routing;
    Routing.m_KvPerToken = 16_KiB;
    m_Router.setService(Service, Routing);
    for (int I = 0; I < Count; ++I)
      m_Router.onInstance(runner(I), Start);
  }
  static RouterOptions local(RouterOptions Options) {
    Options.m_DataCentre = DataCentreId("dc-0");
    Options.m_Region = RegionId("region-0");
    return Options;
  }
  RequestDescription request() {
    RequestDescription Request;
    Request.m_Id = RequestId("request-" + std::to_string(m_Next++));
    Request.m_Service = Service;
    Request.m_EstimatedTokens = 200;
    return Request;
  }
  std::optional<InstanceId> send(const RequestDescription &Request, TimePoint Now = Start,
                                 UpstreamQuery Query = {}) {
    Query.m_Request = &Request;
    return m_Router.select(Query, Now);
  }
  /// Sends `Count` requests and returns how many of them each upstream gets.
  std::map<std::string, int> spread(int Count, TimePoint Now = Start) {
    std::map<std::string, int> Result;
    for (int I = 0; I < Count; ++I)
      if (auto Chosen = send(request(), Now))
        ++Result[Chosen->str()];
    return Result;
  }
  Router m_Router;
  int m_Next = 0;
};

RouterOptions withRules(void (*Change)(RouterRules &)) {
  RouterOptions Options;
  Change(Options.m_Rules);
  return Options;
}

LoadReport report(int Number, std::uint32_t Running, Duration Age = 0ms) {
  LoadReport Report;
  Report.m_Upstream = runner(Number).m_Id;
  Report.m_Incarnation = Incarnation(1);
  Report.m_Running = Running;
  Report.m_Age = Age;
  return Report;
}

std::vector<std::uint64_t> prefix(std::uint64_t First, std::size_t Length) {
  std::vector<std::uint64_t> Blocks;
  for (std::size_t I = 0; I < Length; ++I)
    Blocks.push_back(First * 1000 + I);
  return Blocks;
}

/// Counts violations without printing them, because they are expected while a rule is disabled.
struct QuietInvariants {
  QuietInvariants() {
    Invariant::resetCounters();
    Invariant::setReporter([](std::string_view, std::string_view) {});
  }
  ~QuietInvariants() { Invariant::setReporter({}); }
  static std::uint64_t violations() {
    std::uint64_t Total = 0;
    for (const Invariant *Rule : Invariant::all())
      Total += Rule->violations();
    return Total;
  }
};

/// Returns true if runner 0 gets requests, or a rule is violated, after the announcement that it
/// leaves and a stale live record.
bool leavingGetsWork(const RouterOptions &Options) {
  QuietInvariants Quiet;
  Fixture F(3, Options);
  F.m_Router.onLeaving(runner(0).m_Id, Incarnation(1), Start);
  F.m_Router.onInstance(runner(0), Start + 1s);
  return F.spread(60, Start + 2s).count("runner-0") > 0 || QuietInvariants::violations() > 0;
}

} // namespace

// Guards against new requests to a leaving upstream, and against a stale list that makes it
// eligible again.
TEST_CASE("a leaving upstream gets no new requests and a stale list does not bring it back") {
  CHECK_FALSE(leavingGetsWork({}));
  CHECK(
      leavingGetsWork(withRules([](RouterRules &Rules) { Rules.m_CompareIncarnations = false; })));
  CHECK(leavingGetsWork(withRules([](RouterRules &Rules) { Rules.m_RefuseLeaving = false; })));
  Fixture F(3);
  F.m_Router.onLeaving(runner(0).m_Id, Incarnation(1), Start);
  F.m_Router.onInstance(runner(0, 2), Start + 1s);
  CHECK(F.spread(60, Start + 60s).count("runner-0") == 1);
}

// Guards against a leave announcement that is lost because it arrives before the first record.
TEST_CASE("a leave announcement that arrives before the record takes effect") {
  Fixture F(2);
  F.m_Router.onLeaving(runner(7).m_Id, Incarnation(1), Start);
  F.m_Router.onInstance(runner(7), Start);
  CHECK(F.spread(40).count("runner-7") == 0);
  // The same for the second incarnation of an upstream that had left before.
  F.m_Router.onLeaving(runner(1).m_Id, Incarnation(1), Start);
  F.m_Router.onLeaving(runner(1).m_Id, Incarnation(2), Start);
  F.m_Router.onInstance(runner(1, 2), Start);
  CHECK(F.spread(40).count("runner-1") == 0);
}

// Guards against requests to an upstream that has not reported which model it serves.
TEST_CASE("an upstream without a served digest gets requests only for a plain service") {
  auto GetsWork = [](const RouterOptions &Options, bool ServesModel) {
    QuietInvariants Quiet;
    Fixture F(0, Options);
    ServiceRouting Routing;
    Routing.m_ServesModel = ServesModel;
    F.m_Router.setService(Service, Routing);
    InstanceRecord Record = runner(0);
    Record.m_ServedDigest = Digest();
    F.m_Router.onInstance(Record, Start);
    return !F.spread(5).empty() || QuietInvariants::violations() > 0;
  };
  CHECK_FALSE(GetsWork({}, true));
  CHECK(GetsWork({}, false));
  CHECK(GetsWork(withRules([](RouterRules &Rules) { Rules.m_RequireServedDigest = false; }), true));
}

// Guards against decrementing an in-flight count twice, which would make a busy upstream look idle.
TEST_CASE("a request is released exactly once") {
  auto CountAfter = [](const RouterOptions &Options) {
    QuietInvariants Quiet;
    Fixture F(1, Options);
    RequestDescription First = F.request();
    RequestDescription Second = F.request();
    F.send(First);
    F.send(Second);
    F.m_Router.release(runner(0).m_Id, First, false, Start);
    F.m_Router.release(runner(0).m_Id, First, false, Start);
    return F.m_Router.inFlight(runner(0).m_Id);
  };
  CHECK(CountAfter({}) == 1);
  CHECK(CountAfter(withRules([](RouterRules &Rules) { Rules.m_ReleaseOnce = false; })) == 0);
}

// Guards against a filter that accepts another generation or another model version.
TEST_CASE("generation, digest and excluded upstreams are respected") {
  auto Violated = [](const RouterOptions &Options) {
    Fixture F(4, Options);
    InstanceRecord Old = runner(9);
    Old.m_Generation = GenerationId("old");
    Old.m_ServedDigest = sha256("version-0");
    F.m_Router.onInstance(Old, Start);
    UpstreamQuery ByGeneration;
    ByGeneration.m_Generation = GenerationId("old");
    UpstreamQuery ByDigest;
    ByDigest.m_RequiredDigest = sha256("version-0");
    UpstreamQuery Excluding;
    Excluding.m_Excluded = {Old.m_Id};
    for (int I = 0; I < 40; ++I)
      if (F.send(F.request(), Start, ByGeneration) != Old.m_Id ||
          F.send(F.request(), Start, ByDigest) != Old.m_Id ||
          F.send(F.request(), Start, Excluding) == Old.m_Id)
        return true;
    return false;
  };
  CHECK_FALSE(Violated({}));
  CHECK(Violated(withRules([](RouterRules &Rules) { Rules.m_MatchGeneration = false; })));
  CHECK(Violated(withRules([](RouterRules &Rules) { Rules.m_MatchDigest = false; })));
}

// Guards against too many requests to an upstream whose report was measured before they were sent.
TEST_CASE("a late report is corrected by the requests sent since") {
  auto Busiest = [](const RouterOptions &Options) {
    Fixture F(4, Options);
    for (int I = 0; I < 4; ++I)
      F.m_Router.onLoadReport(report(I, I == 0 ? 0 : 4, 100ms), Start);
    int Most = 0;
    for (const auto &[Name, Count] : F.spread(60))
      Most = std::max(Most, Count);
    return Most;
  };
  CHECK(Busiest({}) <= 24);
  CHECK(Busiest(withRules([](RouterRules &Rules) { Rules.m_CorrectReportsByOwnCounts = false; })) >
        24);
}

// Guards against overloading an upstream that holds a popular prefix.
TEST_CASE("a cached prefix attracts requests only up to the load bound") {
  auto Busiest = [](const RouterOptions &Options) {
    QuietInvariants Quiet;
    Fixture F(10, Options);
    CacheEvent Event;
    Event.m_Upstream = runner(3).m_Id;
    Event.m_Incarnation = Incarnation(1);
    Event.m_Sequence = 1;
    Event.m_Added = prefix(1, 400);
    F.m_Router.onCacheEvent(Event, Start);
    std::map<std::string, int> Counts;
    for (int I = 0; I < 80; ++I) {
      RequestDescription Request = F.request();
      Request.m_PrefixBlocks = prefix(1, 400);
      ++Counts[F.send(Request)->str()];
    }
    int Most = 0;
    for (const auto &[Name, Count] : Counts)
      Most = std::max(Most, Count);
    CHECK(Counts["runner-3"] > 4);
    return Most;
  };
  CHECK(Busiest({}) <= 16);
  CHECK(Busiest(withRules([](RouterRules &Rules) { Rules.m_BoundAffinityLoad = false; })) > 16);
}

// Guards against relying on cache entries that a lost event may have removed.
TEST_CASE("a gap in the cache events makes older entries uncertain") {
  auto PlansTransfer = [](const RouterOptions &Options) {
    Fixture F(2, Options);
    RequestDescription Request = F.request();
    Request.m_PrefixBlocks = prefix(5, 100);
    CacheEvent Event;
    Event.m_Upstream = runner(0).m_Id;
    Event.m_Incarnation = Incarnation(1);
    Event.m_Sequence = 1;
    Event.m_Added = Request.m_PrefixBlocks;
    F.m_Router.onCacheEvent(Event, Start);
    CHECK(F.m_Router.planKvTransfer(Request, runner(1).m_Id, Start));
    Event.m_Added.clear();
    Event.m_Sequence = 3;
    F.m_Router.onCacheEvent(Event, Start);
    return F.m_Router.planKvTransfer(Request, runner(1).m_Id, Start).has_value();
  };
  CHECK_FALSE(PlansTransfer({}));
  CHECK(PlansTransfer(withRules([](RouterRules &Rules) { Rules.m_DiscountAfterGap = false; })));
}

// Guards against transfers that take longer than computing the prefix again, or that mix model
// versions.
TEST_CASE("a KV cache transfer is planned only if it saves time and the version is the same") {
  Fixture F(2);
  RequestDescription Long = F.request();
  Long.m_PrefixBlocks = prefix(1, 100);
  RequestDescription Short = F.request();
  Short.m_PrefixBlocks = prefix(2, 4);
  CacheEvent Event;
  Event.m_Upstream = runner(0).m_Id;
  Event.m_Incarnation = Incarnation(1);
  Event.m_Sequence = 1;
  Event.m_Added = Long.m_PrefixBlocks;
  Event.m_Added.insert(Event.m_Added.end(), Short.m_PrefixBlocks.begin(),
                       Short.m_PrefixBlocks.end());
  F.m_Router.onCacheEvent(Event, Start);
  auto Transfer = F.m_Router.planKvTransfer(Long, runner(1).m_Id, Start);
  REQUIRE(Transfer);
  CHECK(Transfer->m_From == runner(0).m_Id);
  CHECK(Transfer->m_Blocks == 100);
  CHECK_FALSE(F.m_Router.planKvTransfer(Short, runner(1).m_Id, Start));
  CHECK_FALSE(F.m_Router.planKvTransfer(Long, runner(0).m_Id, Start));
  InstanceRecord Reloaded = runner(1);
  Reloaded.m_ServedDigest = sha256("version-2");
  F.m_Router.onInstance(Reloaded, Start);
  CHECK_FALSE(F.m_Router.planKvTransfer(Long, runner(1).m_Id, Start));
}

// Guards against spill-over that saturates the link between regions.
TEST_CASE("requests are sent to other regions only within the budget for the link") {
  auto SpilledOrViolations = [](RouterOptions Options) {
    QuietInvariants Quiet;
    Options.m_SpillRate = BytesPerSecond(10000);
    Options.m_SpillBurst = Bytes(20000);
    Fixture F(1, Options);
    InstanceRecord Remote = runner(1);
    Remote.m_DataCentre = DataCentreId("dc-1");
    Remote.m_Region = RegionId("region-1");
    Remote.m_Capacity = 1000;
    F.m_Router.onInstance(Remote, Start);
    CHECK(F.spread(10).count("runner-1") == 0);
    F.spread(300);
    return F.m_Router.inFlight(Remote.m_Id) + QuietInvariants::violations();
  };
  // One request is 2048 + 200 * 8 bytes, so the burst of 20,000 bytes carries five.
  CHECK(SpilledOrViolations({}) == 5);
  CHECK(SpilledOrViolations(withRules([](RouterRules &Rules) { Rules.m_BudgetSpill = false; })) >
        5);
}

// Guards against a full share of requests for an upstream with an empty cache.
TEST_CASE("an upstream that joins later is ramped up") {
  auto Share = [](const RouterOptions &Options) {
    Fixture F(4, Options);
    F.m_Router.onInstance(runner(4), Start + 60s);
    return F.spread(50, Start + 60s)["runner-4"];
  };
  CHECK(Share({}) <= 3);
  CHECK(Share(withRules([](RouterRules &Rules) { Rules.m_RampUp = false; })) > 3);
  Fixture F(4);
  F.m_Router.onInstance(runner(4), Start + 60s);
  CHECK(F.spread(50, Start + 80s)["runner-4"] >= 7);
}

// Guards against requests to an upstream that has stopped reporting.
TEST_CASE("a silent upstream is selected only as a last resort") {
  auto GetsWork = [](const RouterOptions &Options) {
    Fixture F(3, Options);
    for (int I = 0; I < 3; ++I)
      F.m_Router.onLoadReport(report(I, 4), Start);
    for (int I = 1; I < 3; ++I)
      F.m_Router.onLoadReport(report(I, 4), Start + 3s);
    return F.spread(20, Start + 3s).count("runner-0") > 0;
  };
  CHECK_FALSE(GetsWork({}));
  CHECK(GetsWork(withRules([](RouterRules &Rules) { Rules.m_AvoidSilent = false; })));
}

// Guards against repeated selection of an upstream that loses its requests.
TEST_CASE("an upstream that lost an attempt is avoided temporarily") {
  Fixture F(3);
  RequestDescription Request = F.request();
  InstanceId First = *F.send(Request);
  F.m_Router.release(First, Request, true, Start);
  CHECK(F.spread(30).count(First.str()) == 0);
  CHECK(F.spread(30, Start + 5s).count(First.str()) == 1);
}

// Guards against a conversation that changes its upstream, generation or version unnecessarily.
TEST_CASE("a conversation stays on its upstream, or else on its version") {
  Fixture F(5);
  InstanceRecord Other = runner(9);
  Other.m_ServedDigest = sha256("version-2");
  F.m_Router.onInstance(Other, Start);
  RequestDescription Request = F.request();
  Request.m_Conversation = ConversationId("talk");
  Request.m_PrefixBlocks = prefix(3, 10);
  UpstreamQuery NotOther;
  NotOther.m_RequiredDigest = sha256("version-1");
  InstanceId First = *F.send(Request, Start, NotOther);
  F.m_Router.release(First, Request, false, Start);
  for (int I = 0; I < 10; ++I) {
    Request.m_Id = RequestId("next-" + std::to_string(I));
    CHECK(F.send(Request) == First);
    F.m_Router.release(First, Request, false, Start);
  }
  F.m_Router.onLeaving(First, Incarnation(1), Start);
  auto Next = F.send(Request);
  REQUIRE(Next);
  CHECK(*Next != First);
  CHECK(*Next != Other.m_Id);
}
