#include "Fescuegauge/DispatchQueue.h"
#include "Fescuegauge/EventSplitter.h"
#include "Fescuegauge/LateStartDetector.h"
#include "Fescuegauge/LoadBalancer.h"
#include "Fescuegauge/RelaySelector.h"
#include "Fescuegauge/RestoredEvacuations.h"
#include "Fescuegauge/RoutingPlan.h"
#include "Fescuegauge/UnstartedRequests.h"
#include "Fescuegauge/UpstreamDirectory.h"
#include "Fescuegauge/WeightsDeadlines.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

const ServiceId Service("service");
const ModelId Model("model");
const DataCentreId Here("a");
const RegionId HomeRegion("r");

TimePoint at(Duration Since) { return TimePoint(100s) + Since; }

UpstreamRecord upstream(const std::string &Id, std::uint32_t Slots = 2,
                        const DataCentreId &DataCentre = Here) {
  UpstreamRecord Record;
  Record.m_Id = InstanceId(Id);
  Record.m_Incarnation = Incarnation(1);
  Record.m_Address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + Id.back())};
  Record.m_DataCentre = DataCentre;
  Record.m_Region = DataCentre == Here ? HomeRegion : RegionId("other");
  Record.m_Service = Service;
  Record.m_Slots = Slots;
  Record.m_Weights = {{Model, WeightsVersion(1)}};
  return Record;
}

/// A load balancer whose service has engines, so that the batch size bounds the requests in flight.
class EngineBalancer {
public:
  explicit EngineBalancer(std::vector<UpstreamRecord> Listed) : m_LoadBalancer(options(), 3) {
    RoutingPlan Plan;
    ServicePlan Engine;
    Engine.m_Id = Service;
    Engine.m_Engine = EngineParameters();
    Plan.m_Services.push_back(Engine);
    m_LoadBalancer.setPlan(RouteTable(Plan));
    m_LoadBalancer.setUpstreams(Listed);
  }

  LoadBalancer *operator->() { return &m_LoadBalancer; }
  const LoadBalancer &loadBalancer() const { return m_LoadBalancer; }

  Placement place(TimePoint Now, std::vector<InstanceId> Tried = {}) {
    return m_LoadBalancer.place({Service, Model, std::nullopt, std::move(Tried), 0}, Now);
  }
  /// Places a request and counts it as sent. Returns the id of its upstream, empty if there was no
  /// slot.
  std::string dispatch(TimePoint Now, std::uint32_t PromptTokens = 0) {
    const Placement Found = place(Now);
    if (Found.m_Verdict != PlacementVerdict::Placed)
      return {};
    m_LoadBalancer.onDispatched(Found.m_Upstream.m_Id, PromptTokens, Now);
    return Found.m_Upstream.m_Id.str();
  }

private:
  static LoadBalancerOptions options() {
    LoadBalancerOptions Options;
    Options.m_DataCentre = Here;
    Options.m_Region = HomeRegion;
    return Options;
  }

  LoadBalancer m_LoadBalancer;
};

} // namespace

TEST_CASE("the route with the longest prefix of the host is selected", "[dispatch]") {
  RoutingPlan Plan;
  auto Add = [&](const char *Id, const char *Host, const char *Prefix) {
    Route Each;
    Each.m_Id = RouteId(Id);
    Each.m_Host = Host;
    Each.m_Prefix = Prefix;
    Plan.m_Routes.push_back(Each);
  };
  Add("short", "one.example", "/a/");
  Add("long", "one.example", "/a/b/");
  Add("other", "two.example", "/a/b/c/");
  const RouteTable Table(Plan);
  auto Find = [&](const char *Host, const char *Path) {
    const Route *Found = Table.find(Host, Path);
    return Found ? Found->m_Id.str() : std::string();
  };
  CHECK(Find("one.example", "/a/b/c") == "long");
  CHECK(Find("one.example", "/a/b") == "short");
  CHECK(Find("ONE.example:80", "/a/x") == "short");
  CHECK(Find("one.example", "/ab/").empty());
  CHECK(Find("two.example", "/a/b/").empty());
  CHECK(Find("three.example", "/a/").empty());
}

TEST_CASE("services of a split route get requests in proportion", "[dispatch]") {
  Route Split;
  Split.m_Services = {{ServiceId("x"), 90}, {ServiceId("y"), 10}};
  CHECK(RouteTable::selectService(Split, 0.0)->str() == "x");
  CHECK(RouteTable::selectService(Split, 0.899)->str() == "x");
  CHECK(RouteTable::selectService(Split, 0.901)->str() == "y");
  CHECK(RouteTable::selectService(Split, 0.999999)->str() == "y");
}

// Guards against requests that queue inside engines, where they can be neither ordered nor refused.
// Load: more requests than the engines' batches hold, from several entry instances.
TEST_CASE("requests in flight of all entry instances stay within the batch", "[dispatch]") {
  EngineBalancer Balancer({upstream("u1"), upstream("u2")});
  std::multiset<std::string> Sent;
  for (int I = 0; I < 4; ++I)
    Sent.insert(Balancer.dispatch(at(0s)));
  CHECK(Sent.count("u1") == 2);
  CHECK(Sent.count("u2") == 2);
  CHECK(Balancer.place(at(0s)).m_Verdict == PlacementVerdict::AllFull);

  Balancer->onEnded(InstanceId("u1"), DispatchResult::Answered, 0, at(10ms));
  Balancer->onPeerReport(InstanceId("entry-2"), {{InstanceId("u1"), {1, 0}}}, at(10ms));
  CHECK(Balancer.place(at(20ms)).m_Verdict == PlacementVerdict::AllFull);
  // Old reports of a peer expire, so that a lost peer does not occupy slots for good.
  CHECK(Balancer.place(at(10ms) + LoadBalancer::PeerReportLifetime + 1ms).m_Verdict ==
        PlacementVerdict::Placed);
}

TEST_CASE("upstreams of the local data centre are preferred, others keep a reserve", "[dispatch]") {
  EngineBalancer Balancer({upstream("far", 4, DataCentreId("b")), upstream("near", 1)});
  CHECK(Balancer.dispatch(at(0s)) == "near");
  CHECK(Balancer.dispatch(at(0s)) == "far");
  CHECK(Balancer.dispatch(at(0s)) == "far");
  CHECK(Balancer.dispatch(at(0s)).empty());
}

// Guards against an empty engine that rejects at once, looks idle and, without the pause, attracts
// all requests of the service.
TEST_CASE("an upstream that rejects is skipped for a time that doubles", "[dispatch]") {
  EngineBalancer Balancer({upstream("u1")});
  TimePoint Now = at(0s);
  Duration Pause = LoadBalancer::RejectionPause;
  for (int I = 0; I < 3; ++I) {
    REQUIRE(Balancer.dispatch(Now) == "u1");
    Balancer->onEnded(InstanceId("u1"), DispatchResult::Rejected, 0, Now);
    CHECK(Balancer.dispatch(Now + Pause - 1ms).empty());
    Now += Pause;
    Pause *= 2;
  }
  REQUIRE(Balancer.dispatch(Now) == "u1");
  Balancer->onEnded(InstanceId("u1"), DispatchResult::Answered, 0, Now);
  CHECK(Balancer.dispatch(Now) == "u1");
}

TEST_CASE("an upstream that failed is a last resort", "[dispatch]") {
  EngineBalancer Balancer({upstream("u1", 8), upstream("u2", 8)});
  const std::string First = Balancer.dispatch(at(0s));
  Balancer->onEnded(InstanceId(First), DispatchResult::Failed, 0, at(0s));
  for (int I = 0; I < 5; ++I)
    CHECK(Balancer.dispatch(at(1ms)) != First);
  const std::string Second = First == "u1" ? "u2" : "u1";
  CHECK(Balancer.place(at(1ms), {InstanceId(Second)}).m_Upstream.m_Id.str() == First);
}

// Guards against a sound upstream that is skipped for 5 s after one pause of all its requests.
TEST_CASE("requests that stall together count as one failure", "[dispatch]") {
  EngineBalancer Balancer({upstream("u1", 8)});
  for (int I = 0; I < 6; ++I)
    REQUIRE(Balancer.dispatch(at(0s)) == "u1");
  for (int I = 0; I < 6; ++I)
    Balancer->onEnded(InstanceId("u1"), DispatchResult::Stalled, 0, at(0s));
  Balancer->setUpstreams(std::vector{upstream("u1", 8), upstream("u2", 8)});
  CHECK(Balancer.dispatch(at(LoadBalancer::FailurePause - 1ms)) == "u2");
  CHECK(Balancer.dispatch(at(LoadBalancer::FailurePause)) == "u1");
}

TEST_CASE("an upstream that is silent with requests in flight gets no more", "[dispatch]") {
  EngineBalancer Balancer({upstream("u1", 4)});
  REQUIRE(Balancer.dispatch(at(0s)) == "u1");
  Balancer->onProgress(InstanceId("u1"), at(500ms));
  CHECK(Balancer.place(at(1100ms)).m_Verdict == PlacementVerdict::Placed);
  CHECK(Balancer->isSilent(InstanceId("u1"), at(1300ms)));
  Balancer->onProgress(InstanceId("u1"), at(1300ms));
  CHECK_FALSE(Balancer->isSilent(InstanceId("u1"), at(1300ms)));
}

// Guards against requests that wait inside a runner until it has drained and loaded, up to 2.4 s.
TEST_CASE("an upstream that loads weights gets no requests until it has finished", "[dispatch]") {
  EngineBalancer Balancer({upstream("u1")});
  const Endpoint Address = upstream("u1").m_Address;
  Balancer->onLoading(Address, at(3s));
  CHECK(Balancer.place(at(1s)).m_Verdict == PlacementVerdict::AllFull);
  Balancer->onLoading(Address, at(1s));
  CHECK(Balancer.place(at(1s)).m_Verdict == PlacementVerdict::Placed);
  Balancer->onLoading(Address, at(1s) + LoadBalancer::MaxLoadDuration + 1h);
  CHECK(Balancer.place(at(1s)).m_Verdict == PlacementVerdict::Placed);
}

TEST_CASE("leaving upstreams and those without the weights get no requests", "[dispatch]") {
  UpstreamRecord Leaving = upstream("u1");
  Leaving.m_IsLeaving = true;
  UpstreamRecord Empty = upstream("u2");
  Empty.m_Weights.clear();
  EngineBalancer Balancer({Leaving, Empty, upstream("u3")});
  CHECK(Balancer.place(at(0s)).m_Upstream.m_Id.str() == "u3");
  Balancer->setMinVersion(Model, WeightsVersion(2));
  CHECK(Balancer.place(at(0s)).m_Verdict == PlacementVerdict::NoneUsable);
  const Placement Exact = Balancer->place({Service, Model, WeightsVersion(7), {}, 0}, at(0s));
  CHECK(Exact.m_Verdict == PlacementVerdict::NoneUsable);
}

// Guards against requests that are sent in time and start on older weights after the bound, because
// they wait longer at the engine than any fixed margin.
TEST_CASE(
    "an engine with older weights gets no requests that are expected to start after the bound",
    "[dispatch]") {
  EngineBalancer Balancer({upstream("u1")});
  Balancer->setWeightsBounds(Model, {{WeightsVersion(2), at(10s)}});
  Balancer->onStarted(Service, InstanceId("u1"), 200ms, at(6s));
  CHECK(Balancer.place(at(9s)).m_Verdict == PlacementVerdict::Placed);
  for (int I = 0; I < 80; ++I)
    Balancer->onStarted(Service, InstanceId("u9"), 3s, at(6500ms));
  CHECK(Balancer.place(at(6500ms)).m_Verdict == PlacementVerdict::Placed);
  Balancer->onStarted(Service, InstanceId("u9"), 3s, at(7s));
  CHECK(Balancer.place(at(7s)).m_Verdict == PlacementVerdict::NoneUsable);
  // The short wait of an abandoned request is no sample of the time until an engine starts one.
  for (int I = 0; I < 40; ++I)
    Balancer->onStartAbandoned(Service, InstanceId("u9"), 5ms, at(7s));
  Balancer->onStarted(ServiceId("other"), InstanceId("u9"), 10ms, at(7s));
  CHECK(Balancer.place(at(7s)).m_Verdict == PlacementVerdict::NoneUsable);
  for (int I = 0; I < 40; ++I)
    Balancer->onStarted(Service, InstanceId("u9"), 200ms, at(9s));
  CHECK(Balancer.place(at(9s)).m_Verdict == PlacementVerdict::Placed);
  CHECK(Balancer.place(at(10s)).m_Verdict == PlacementVerdict::NoneUsable);
}

// Guards against requests that reach an engine with older weights after the bound over a slow link,
// where even their close arrives too late.
TEST_CASE("an engine where requests wait longest is excluded first", "[dispatch]") {
  EngineBalancer Balancer({upstream("u1"), upstream("u2")});
  Balancer->setWeightsBounds(Model, {{WeightsVersion(2), at(10s)}});
  for (int I = 0; I < 40; ++I) {
    Balancer->onStarted(Service, InstanceId("u1"), 2s, at(7s));
    for (int J = 0; J < 3; ++J)
      Balancer->onStarted(Service, InstanceId("u2"), 200ms, at(7s));
  }
  CHECK(Balancer.place(at(8500ms), {InstanceId("u2")}).m_Verdict == PlacementVerdict::NoneUsable);
  CHECK(Balancer.place(at(8500ms)).m_Upstream.m_Id.str() == "u2");
  // Old samples expire, and having no samples is not considered a short wait.
  Balancer->setWeightsBounds(Model, {{WeightsVersion(2), at(20s)}});
  const Duration Unknown = LoadBalancer::DefaultStartWait;
  CHECK(Balancer.place(at(20s) - Unknown - 1ms).m_Verdict == PlacementVerdict::Placed);
  CHECK(Balancer.place(at(20s) - Unknown).m_Verdict == PlacementVerdict::NoneUsable);
}

// Guards against instances that refuse clients long before the bound, because requests timed out at
// an engine that is cut off, or because without requests there are no samples of a shorter wait.
TEST_CASE("time-outs and old waits exclude engines with older weights only for a short time",
          "[dispatch]") {
  EngineBalancer Balancer({upstream("u1")});
  Balancer->setWeightsBounds(Model, {{WeightsVersion(2), at(13s)}});
  Balancer->onStarted(Service, InstanceId("u1"), 200ms, at(5s));
  for (int I = 0; I < 5; ++I)
    Balancer->onStartAbandoned(Service, InstanceId("u9"), 30s, at(5s));
  CHECK(Balancer.place(at(13s) - LoadBalancer::MaxStartWait - 1ms).m_Verdict ==
        PlacementVerdict::Placed);
  // At 8 s the expected wait in queues is 4 s; without new requests the queues drain.
  for (int I = 0; I < 40; ++I)
    Balancer->onStarted(Service, InstanceId("u9"), 4s, at(8s));
  Balancer->onStarted(ServiceId("other"), InstanceId("u1"), 200ms, at(8s));
  CHECK(Balancer.place(at(9s) + 1ms).m_Verdict == PlacementVerdict::Placed);
  CHECK(Balancer.place(at(12500ms)).m_Verdict == PlacementVerdict::Placed);
  Balancer->onStarted(Service, InstanceId("u9"), 4s, at(9500ms));
  CHECK(Balancer.place(at(9500ms)).m_Verdict == PlacementVerdict::NoneUsable);
}

// Guards against requests that are still queued at an engine with older weights when the bound
// expires, and against a close that takes as long to reach the engine as the request did.
TEST_CASE("requests that have not started are withdrawn shortly before the bound", "[dispatch]") {
  using Numbers = std::vector<UnstartedNumber>;
  constexpr Duration MinLead = UnstartedRequests::MinLead;
  constexpr Duration MaxLead = UnstartedRequests::MaxLead;
  const TimePoint Bound = at(10s);
  EngineBalancer Balancer({upstream("u1"), upstream("u2")});
  UnstartedRequests Unstarted;
  const UnstartedNumber Waits = Unstarted.add(Model, upstream("u1"), at(0s));
  const UnstartedNumber Starts = Unstarted.add(Model, upstream("u1"), at(1s));
  const UnstartedNumber LoadsNewer = Unstarted.add(Model, upstream("u2"), at(2s));
  const UnstartedNumber Unlisted = Unstarted.add(Model, upstream("u3"), at(3s));
  const UnstartedNumber Late = Unstarted.add(Model, upstream("u1"), Bound - 2 * MinLead);
  Balancer->setWeightsBounds(Model, {{WeightsVersion(2), Bound}, {WeightsVersion(3), at(20s)}});
  CHECK(Unstarted.overdue(Balancer.loadBalancer(), Bound - MaxLead - 1ms).empty());
  REQUIRE(Unstarted.remove(Starts, at(4s)).value().m_Length == 3s);
  CHECK_FALSE(Unstarted.remove(Starts, at(4s)));
  UpstreamRecord WithNewer = upstream("u2");
  WithNewer.m_Weights = {{Model, WeightsVersion(2)}};
  Balancer->setUpstreams(std::vector<UpstreamRecord>{upstream("u1"), WithNewer});
  CHECK(Unstarted.overdue(Balancer.loadBalancer(), Bound - MaxLead) == Numbers{Waits, Unlisted});
  CHECK(Unstarted.overdue(Balancer.loadBalancer(), Bound - MinLead) ==
        Numbers{Waits, Unlisted, Late});
  CHECK(Unstarted.overdue(Balancer.loadBalancer(), at(20s)) ==
        Numbers{Waits, LoadsNewer, Unlisted, Late});
  // The cut-off for new requests is earlier, and withdraws nothing.
  Balancer->setWeightsBounds(Model, {});
  Balancer->setMinVersion(Model, WeightsVersion(2));
  CHECK(Unstarted.overdue(Balancer.loadBalancer(), at(20s)).empty());

  CHECK(UnstartedRequests::nextCheck(Bound, at(0s)) == Bound - MaxLead);
  CHECK(UnstartedRequests::nextCheck(Bound, Bound - MaxLead) < Bound - MinLead);
  CHECK(UnstartedRequests::nextCheck(Bound, Bound - MinLead - 1ms) == Bound - MinLead);
  CHECK_FALSE(UnstartedRequests::nextCheck(Bound, Bound - MinLead));
}

// Guards against sending a request on the basis of the state at the time of its placement.
TEST_CASE("a placement is void after its upstream paused, left or changed", "[dispatch]") {
  const UpstreamRecord Placed = upstream("u1");
  const PlacementRequest Wanted{Service, Model, std::nullopt, {Placed.m_Id}, 0};
  EngineBalancer Balancer({Placed});
  CHECK(Balancer->canStillSend(Placed, Wanted, at(0s)));
  // An upstream that is full by now, including this request, is no reason to choose another one.
  Balancer.dispatch(at(0s));
  Balancer.dispatch(at(0s));
  CHECK(Balancer->canStillSend(Placed, Wanted, at(0s)));

  Balancer->onPauseRequested(Placed.start(), 1s, at(1s));
  CHECK_FALSE(Balancer->canStillSend(Placed, Wanted, at(1500ms)));
  CHECK(Balancer->canStillSend(Placed, Wanted, at(2s)));

  UpstreamRecord Changed = Placed;
  Changed.m_Incarnation = Incarnation(2);
  Balancer->setUpstreams(std::vector{Changed});
  CHECK_FALSE(Balancer->canStillSend(Placed, Wanted, at(3s)));
  Changed = Placed;
  Changed.m_Address.m_Port = 9;
  Balancer->setUpstreams(std::vector{Changed});
  CHECK_FALSE(Balancer->canStillSend(Placed, Wanted, at(3s)));
  Changed = Placed;
  Changed.m_Weights.clear();
  Balancer->setUpstreams(std::vector{Changed});
  CHECK_FALSE(Balancer->canStillSend(Placed, Wanted, at(3s)));

  Balancer->setUpstreams(std::vector{Placed});
  CHECK(Balancer->canStillSend(Placed, Wanted, at(4s)));
  Balancer->onLeaving(Placed.start(), at(4s));
  CHECK_FALSE(Balancer->canStillSend(Placed, Wanted, at(4s)));
  CHECK_FALSE(Balancer->canStillSend(upstream("u2"), Wanted, at(4s)));
}

// Guards against a VERSION violation: a request keeps the service of the plan under which it
// arrived.
TEST_CASE("older weights stay excluded when a plan drops the service", "[dispatch]") {
  EngineBalancer Balancer({upstream("u1")});
  Balancer->setMinVersion(Model, WeightsVersion(2));
  CHECK(Balancer.place(at(0s)).m_Verdict == PlacementVerdict::NoneUsable);
  Balancer->setPlan(RouteTable(RoutingPlan()));
  CHECK(Balancer.place(at(0s)).m_Verdict == PlacementVerdict::NoneUsable);
}

TEST_CASE("an upstream that restarts under its id starts without history", "[dispatch]") {
  UpstreamRecord NextStart = upstream("u1", 1);
  EngineBalancer Balancer({NextStart});
  REQUIRE(Balancer.dispatch(at(0s)) == "u1");
  CHECK(Balancer.dispatch(at(0s)).empty());
  NextStart.m_Incarnation = Incarnation(2);
  Balancer->setUpstreams(std::vector<UpstreamRecord>{NextStart});
  CHECK(Balancer.dispatch(at(0s)) == "u1");
}

TEST_CASE("a slow upstream gets fewer requests in proportion", "[dispatch]") {
  EngineBalancer Balancer({upstream("u1", 8), upstream("u2", 8)});
  for (int I = 0; I < 200; ++I) {
    Balancer->onEventGap(InstanceId("u1"), 50ms, at(I * 10ms));
    Balancer->onEventGap(InstanceId("u2"), 200ms, at(I * 10ms));
  }
  std::multiset<std::string> Sent;
  for (int I = 0; I < 20; ++I)
    Sent.insert(Balancer.dispatch(at(0s)));
  CHECK(Sent.count("u1") == 8);
  CHECK(Sent.count("u2") == 2);
}

// Guards against full upstreams that are considered slow and lose half of their slots. Load: one
// upstream has restarted with an empty batch, the others read prompts in most of their passes.
TEST_CASE("an upstream that reads many prompts is not considered slow", "[dispatch]") {
  EngineBalancer Balancer({upstream("u1", 8), upstream("u2", 8)});
  for (int I = 0; I < 200; ++I) {
    Balancer->onEventGap(InstanceId("u1"), 50ms, at(I * 10ms));
    Balancer->onEventGap(InstanceId("u2"), I % 20 == 0 ? 52ms : 140ms, at(I * 10ms));
  }
  std::multiset<std::string> Sent;
  for (int I = 0; I < 20; ++I)
    Sent.insert(Balancer.dispatch(at(2s)));
  CHECK(Sent.count("u2") == 8);
}

// Guards against queues in which every request is late. Load: arrivals above capacity.
TEST_CASE("a request is queued only while a slot is likely to become free in time", "[dispatch]") {
  DispatchQueue Queue;
  TimePoint Now = at(0s);
  for (int I = 0; I < 100; ++I, Now += 50ms)
    Queue.onPlaced(Service, Now);
  // 20 slots become free per second; within 120 ms two can be expected.
  WaitingRequest Request;
  Request.m_Number = WaitingNumber(1);
  CHECK(Queue.shouldQueue(Service, Request, 120ms, Now));
  Queue.push(Service, Request);
  Request.m_Number = WaitingNumber(2);
  CHECK(Queue.shouldQueue(Service, Request, 120ms, Now));
  Queue.push(Service, Request);
  CHECK_FALSE(Queue.shouldQueue(Service, Request, 120ms, Now));
  CHECK(DispatchQueue::maxQueueTime(400ms) == 120ms);
}

TEST_CASE("first requests have precedence over retries, urgent ones over others", "[dispatch]") {
  DispatchQueue Queue;
  auto Push = [&](std::uint64_t Number, bool Returned, int Priority) {
    Queue.push(Service, {WaitingNumber(Number), Priority, Returned});
  };
  Push(1, true, 0);
  Push(2, false, 1);
  Push(3, false, 1);
  Push(4, false, 0);
  CHECK(Queue.order(Service) == std::vector<WaitingNumber>{WaitingNumber(4), WaitingNumber(2),
                                                           WaitingNumber(3), WaitingNumber(1)});
  Queue.remove(Service, WaitingNumber(2));
  CHECK(Queue.waiting(Service) == 3);
}

// Guards against many refused clients that retry at the same moment, or later than they honour.
TEST_CASE("retry delays are spread over the time that clients honour", "[dispatch]") {
  RetryDelays Times(1);
  std::set<std::int64_t> Buckets;
  for (int I = 0; I < 200; ++I) {
    const Duration Next = Times.next(6s);
    CHECK(Next >= RetryDelays::Earliest);
    CHECK(Next <= 2s);
    Buckets.insert(Next.count() / 100'000);
    CHECK(Times.next(300ms) <= 100ms);
  }
  CHECK(Buckets.size() >= 7);
}

TEST_CASE("retries are recognised by their remaining deadline", "[dispatch]") {
  RetryDetector Detector;
  const RouteId Route("route");
  for (Duration Deadline : {5900ms, 6000ms, 5200ms, 5600ms})
    CHECK_FALSE(Detector.isRetry(Route, Deadline));
  CHECK(Detector.isRetry(Route, 4500ms));
  CHECK_FALSE(Detector.isRetry(RouteId("other"), 4500ms));
}

// Guards against a DRAIN violation: requests to an upstream that left while the list could not be
// read, or while this instance alone could not read it.
TEST_CASE("entries that may have lapsed are kept for a bounded time, those that left are not",
          "[dispatch]") {
  UpstreamDirectory Directory;
  Directory.put(upstream("u1"));
  Directory.put(upstream("u2"));
  Directory.remove(InstanceId("u2"));
  CHECK(Directory.records().size() == 1);

  Directory.removeLapsed(InstanceId("u1"), at(10s), at(10s));
  CHECK(Directory.records().size() == 1);
  REQUIRE(Directory.nextExpiry());
  CHECK(*Directory.nextExpiry() == at(10s) + UpstreamDirectory::ReturnGrace);
  SECTION("a live one returns") {
    Directory.put(upstream("u1"));
    CHECK_FALSE(Directory.expire(at(10s) + UpstreamDirectory::ReturnGrace));
    CHECK(Directory.records().size() == 1);
  }
  SECTION("one that does not return is deleted") {
    CHECK_FALSE(Directory.expire(at(10s) + UpstreamDirectory::ReturnGrace - 1ms));
    CHECK(Directory.expire(at(10s) + UpstreamDirectory::ReturnGrace));
    CHECK(Directory.records().empty());
  }
  SECTION("the time is counted from when the first instance learnt of it") {
    Directory.removeLapsed(InstanceId("u1"), at(9s), at(10500ms));
    CHECK(*Directory.nextExpiry() == at(9s) + UpstreamDirectory::ReturnGrace);
    Directory.removeLapsed(InstanceId("u1"), at(8s), at(10500ms));
    CHECK(Directory.records().empty());
  }
  SECTION("another instance knows that it left") {
    Directory.remove(InstanceId("u1"));
    CHECK(Directory.records().empty());
  }

  UpstreamRecord Leaving = upstream("u3");
  Leaving.m_IsLeaving = true;
  Directory.put(Leaving);
  Directory.removeLapsed(InstanceId("u3"), at(22s), at(22s));
  for (const UpstreamRecord &Each : Directory.records())
    CHECK(Each.m_Id != InstanceId("u3"));
}

// Guards against the use of an upstream that left, and of outdated statements, after the list was
// restored from an older copy.
TEST_CASE("restored entries do not replace newer states of the same start", "[dispatch]") {
  UpstreamDirectory Directory;
  UpstreamRecord Newest = upstream("u1");
  const UpstreamRecord Older = Newest;
  SECTION("it is leaving") { Newest.m_IsLeaving = true; }
  SECTION("it has loaded newer weights") { Newest.m_Weights = {{Model, WeightsVersion(2)}}; }
  SECTION("it has started again") { Newest.m_Incarnation = Incarnation(2); }
  Directory.put(Newest);
  CHECK_FALSE(Directory.putRestored(Older));
  CHECK(Directory.records() == std::vector<UpstreamRecord>{Newest});

  UpstreamRecord Next = Older;
  Next.m_Incarnation = Incarnation(3);
  CHECK(Directory.putRestored(Next));
  CHECK(Directory.records() == std::vector<UpstreamRecord>{Next});
  // A start that has left is used again only if it writes its entry.
  Directory.remove(Next.m_Id);
  CHECK_FALSE(Directory.putRestored(Older));
  CHECK_FALSE(Directory.putRestored(Next));
  CHECK(Directory.records().empty());
  Directory.put(Next);
  CHECK(Directory.records().size() == 1);
  // It is alive, so it is used again also if its entry lapses.
  Directory.removeLapsed(Next.m_Id, at(0s), at(1h));
  CHECK(Directory.putRestored(Next));
  CHECK(Directory.putRestored(upstream("unknown")));
}

// Guards against requests to an evacuated data centre while the operators' table lacks the order,
// and against an evacuation that was withdrawn before.
TEST_CASE("evacuations stay as they are until operators repeat a lost write", "[dispatch]") {
  RestoredEvacuations Orders;
  const DataCentreId There("b");
  Orders.onWritten(Here, true, at(-1s));
  Orders.onWritten(There, true, at(-1h));
  Orders.onWritten(There, false, at(-1s));
  CHECK_FALSE(Orders.onRestored(Here, false, at(0s)));
  CHECK_FALSE(Orders.onRestored(There, true, at(0s)));
  CHECK(Orders.takeDue(at(RestoredEvacuations::RepeatGrace - 1ms)).empty());
  SECTION("they are not repeated") {
    CHECK(*Orders.nextDue() == at(RestoredEvacuations::RepeatGrace));
    CHECK(Orders.takeDue(at(RestoredEvacuations::RepeatGrace)) ==
          std::vector<std::pair<DataCentreId, bool>>{{Here, false}, {There, true}});
  }
  SECTION("they are repeated") {
    Orders.onWritten(Here, true, at(1s));
    Orders.onWritten(There, false, at(1s));
  }
  SECTION("a second restore does not extend the time") {
    CHECK_FALSE(Orders.onRestored(Here, false, at(9s)));
    CHECK_FALSE(Orders.onRestored(There, true, at(9s)));
    CHECK(Orders.takeDue(at(RestoredEvacuations::RepeatGrace)).size() == 2);
  }
  CHECK_FALSE(Orders.nextDue());
  // An order that was never known takes effect at once.
  CHECK(Orders.onRestored(DataCentreId("c"), true, at(0s)));
}

// Guards against an order that takes effect late because an earlier one was withdrawn long before
// the restore.
TEST_CASE("an order that is given after a restore takes effect at once", "[dispatch]") {
  RestoredEvacuations Orders;
  Orders.onWritten(Here, true, at(0s));
  Orders.onWritten(Here, false, at(1s));
  CHECK(Orders.onRestored(Here, true, at(2s) + RestoredEvacuations::MaxCopyAge));
  CHECK_FALSE(Orders.nextDue());
}

// Guards against a VERSION violation: a restarted entry instance counted the age of an announcement
// from its restart and let requests start on old weights up to 16.6 s after the announcement.
TEST_CASE("older weights are excluded by the greatest possible age of an announcement",
          "[dispatch]") {
  const WeightsVersion Second(2);
  const Duration Bound = 8s;
  WeightsDeadlines Live(Bound);
  Live.onAnnounced(Model, Second, at(0s), at(0s));
  CHECK(Live.minVersions(at(6700ms)).empty());
  CHECK(Live.minVersions(at(6800ms)).at(Model) == Second);
  CHECK(*Live.nextChange(at(0s)) == at(6800ms));

  WeightsDeadlines Restarted(Bound);
  Restarted.onAnnounced(Model, Second, std::nullopt, at(100s));
  CHECK(Restarted.known(at(100s)).empty());
  CHECK(Restarted.minVersions(at(101s)).empty());
  CHECK(Restarted.minVersions(at(100s) + WeightsDeadlines::UnknownAgeAllowance).size() == 1);
  Restarted.onVersionHeld(Model, Second);
  CHECK(Restarted.minVersions(at(100s)).at(Model) == Second);

  WeightsDeadlines Informed(Bound);
  Informed.onAnnounced(Model, Second, std::nullopt, at(100s));
  Informed.onPeerUpdate({Model, Second, 1s}, at(100s));
  CHECK(Informed.minVersions(at(105s)).empty());
  CHECK(Informed.minVersions(at(99s) + 6800ms).at(Model) == Second);
  // A smaller age that is reported later does not extend the time.
  Informed.onPeerUpdate({Model, Second, 0s}, at(101s));
  CHECK(Informed.minVersions(at(99s) + 6800ms).at(Model) == Second);
}

// Guards against refusals for lack of new weights because instances that had not looked for some
// seconds report the greatest possible age: all others excluded the weights 4.3 s too early.
TEST_CASE("instances that saw an announcement know its age better than those that did not",
          "[dispatch]") {
  const WeightsVersion Second(2);
  const Duration Bound = 8s;
  const Duration Enforced = Bound - WeightsDeadlines::Margin;
  WeightsDeadlines Observer(Bound);
  Observer.onAnnounced(Model, Second, at(10s), at(10005ms));
  WeightsDeadlines Late(Bound);
  Late.onAnnounced(Model, Second, at(5700ms), at(10010ms));
  for (const AnnouncedWeights &Each : Late.known(at(10050ms)))
    CHECK_FALSE(Observer.onPeerUpdate(Each, at(10050ms)));
  CHECK(*Observer.nextChange(at(11s)) == at(10s) + Enforced);
  for (const AnnouncedWeights &Each : Observer.known(at(10050ms)))
    CHECK(Late.onPeerUpdate(Each, at(10050ms)));
  CHECK(*Late.nextChange(at(11s)) == at(10s) + Enforced);

  // Of two instances that saw it, the one that reports the greater age is right: in transit an age
  // becomes too low.
  CHECK(Observer.onPeerUpdate({Model, Second, 1200ms, 5ms}, at(11s)));
  CHECK(*Observer.nextChange(at(11s)) == at(9800ms) + Enforced);
  // Between two that did not, the greater age applies.
  WeightsDeadlines Later(Bound);
  Later.onAnnounced(Model, Second, at(7s), at(10s));
  CHECK(Later.onPeerUpdate({Model, Second, 6s, 5s}, at(11s)));
  CHECK(*Later.nextChange(at(11s)) == at(5s) + Enforced);

  // An outage that only one instance recorded does not make it an observer.
  Observer.onOutage({at(12s), at(14s)});
  for (const AnnouncedWeights &Each : Observer.known(at(15s)))
    CHECK_FALSE(Later.onPeerUpdate(Each, at(15s)));
  CHECK(*Later.nextChange(at(11s)) == at(5s) + Enforced);
}

// Guards against an age that was assumed too low, or a bound that an outage deferred, without a log
// line that shows it.
TEST_CASE("causes of a changed bound on old weights are distinguished", "[dispatch]") {
  const WeightsVersion Second(2);
  const Duration Bound = 8s;
  WeightsDeadlines Weights(Bound);
  const auto New = Weights.onPeerUpdate({Model, Second, 1s}, at(10s));
  REQUIRE(New);
  CHECK(New->m_IsNewVersion);
  CHECK_FALSE(Weights.onPeerUpdate({Model, Second, 1s}, at(10100ms)));
  const auto Older = Weights.onPeerUpdate({Model, Second, 3s}, at(11s));
  REQUIRE(Older);
  CHECK_FALSE(Older->m_IsNewVersion);
  CHECK(Older->m_Before == Duration(2s));
  const ExclusionDetails Known = Weights.exclusionDetails(Model, Second, at(15s));
  CHECK(Known.m_IsAgeKnown);
  CHECK(Known.m_SinceAnnouncement == Duration(7s));
  CHECK(Known.m_Late == 7s - (Bound - WeightsDeadlines::Margin));
  CHECK(Known.m_DeferredByOutage == Duration(0));
  Weights.onOutage({at(9s), at(12s)});
  CHECK(Weights.exclusionDetails(Model, Second, at(15s)).m_DeferredByOutage == Duration(4s));

  WeightsDeadlines Restarted(Bound);
  Restarted.onAnnounced(Model, Second, std::nullopt, at(0s));
  CHECK_FALSE(Restarted.exclusionDetails(Model, Second, at(1s)).m_IsAgeKnown);
  const auto Change = Restarted.onPeerUpdate({Model, Second, 5s}, at(1s));
  REQUIRE(Change);
  CHECK_FALSE(Change->m_IsNewVersion);
  CHECK_FALSE(Change->m_Before);
  CHECK(Restarted.exclusionDetails(Model, Second, at(1s)).m_SinceAnnouncement == Duration(5s));

  // A version that is too old to be remembered does not count as new each time.
  for (std::uint64_t I = 3; I < 3 + WeightsDeadlines::MaxVersions; ++I)
    Weights.onAnnounced(Model, WeightsVersion(I), at(20s), at(20s));
  CHECK_FALSE(Weights.onPeerUpdate({Model, Second, 30s}, at(21s)));
}

// Guards against refusals for lack of new weights while the store is unreachable: nobody can tell
// then whether a version was announced, and the available weights serve clients.
TEST_CASE("the bound on old weights is counted again after an outage of the store", "[dispatch]") {
  const Duration Bound = 8s;
  const Duration Enforced = Bound - WeightsDeadlines::Margin;
  WeightsDeadlines Weights(Bound);
  Weights.onAnnounced(Model, WeightsVersion(2), at(0s), at(0s));
  Weights.onOutage({at(4s), at(6s)});
  CHECK(Weights.minVersions(at(6s) + Enforced - 1ms).empty());
  CHECK(Weights.minVersions(at(6s) + Enforced).at(Model) == WeightsVersion(2));
  CHECK(*Weights.nextChange(at(6s)) == at(6s) + Enforced);

  // The bound had expired when the store became unreachable.
  Weights.onOutage({at(7s), at(9s)});
  CHECK(Weights.minVersions(at(8s)).at(Model) == WeightsVersion(2));
}

// Guards against an execution on older weights after the bound without a log line, and against log
// lines on executions that the bound allows.
TEST_CASE("an execution on older weights is late by the first bound that it violates",
          "[dispatch]") {
  const Duration Bound = 8s;
  WeightsDeadlines Weights(Bound);
  Weights.onAnnounced(Model, WeightsVersion(2), at(0s), at(0s));
  Weights.onAnnounced(Model, WeightsVersion(3), at(2s), at(2s));
  LateStartDetector Late;
  CHECK_FALSE(Late.detect(Model, WeightsVersion(1), at(20s)));
  for (const auto &[Each, Bounds] : Weights.bounds())
    Late.setBounds(Each, Bounds);
  CHECK_FALSE(Late.detect(ModelId("other"), WeightsVersion(1), at(20s)));
  CHECK_FALSE(Late.detect(Model, WeightsVersion(1), at(8s)));
  const auto AfterFirst = Late.detect(Model, WeightsVersion(1), at(9s));
  REQUIRE(AfterFirst);
  CHECK(AfterFirst->m_MinVersion == WeightsVersion(2));
  CHECK(AfterFirst->m_Late == Duration(1s));
  CHECK_FALSE(Late.detect(Model, WeightsVersion(2), at(9s)));
  const auto AfterBoth = Late.detect(Model, WeightsVersion(1), at(11s));
  REQUIRE(AfterBoth);
  CHECK(AfterBoth->m_MinVersion == WeightsVersion(3));
  CHECK(AfterBoth->m_Late == Duration(3s));
  CHECK_FALSE(Late.detect(Model, WeightsVersion(3), at(30s)));

  // An outage of the store defers the bounds that had not expired.
  Weights.onOutage({at(4s), at(6s)});
  CHECK(Weights.bounds().at(Model) ==
        std::vector<WeightsBound>{{WeightsVersion(2), at(14s)}, {WeightsVersion(3), at(14s)}});
}

// Guards against logs that grow with the number of late executions.
TEST_CASE("log lines on late executions are limited in each second", "[dispatch]") {
  LateStartDetector Late;
  const auto Lines = [&](TimePoint Now) {
    std::uint32_t Count = 0;
    for (int I = 0; I < 100; ++I)
      Count += Late.canLog(Now);
    return Count;
  };
  CHECK(Lines(at(0s)) == LateStartDetector::MaxLogLinesPerSecond);
  CHECK(Lines(at(999ms)) == 0);
  CHECK(Lines(at(1s)) == LateStartDetector::MaxLogLinesPerSecond);
}

// Guards against refusals for lack of new weights at instances that were restarted after an outage:
// they learnt when the version was announced, but not that the bound is counted again.
TEST_CASE("a restarted instance counts the bound from the end of an outage that others saw",
          "[dispatch]") {
  const WeightsVersion Second(2);
  const Duration Bound = 12s;
  const Duration Enforced = Bound - WeightsDeadlines::Margin;
  WeightsDeadlines Observer(Bound);
  Observer.onAnnounced(Model, Second, at(0s), at(0s));
  Observer.onOutage({at(1s), at(8s)});

  WeightsDeadlines Restarted(Bound);
  Restarted.setStart(at(9s));
  Restarted.onAnnounced(Model, Second, at(0s), at(9s));
  CHECK((*Restarted.nextChange(at(9s)) - at(0s)).count() == Enforced.count());
  // Other restarted instances must not take its age for that of an observer.
  CHECK(Restarted.known(at(9s)).empty());
  for (const AnnouncedWeights &Each : Observer.known(at(10s)))
    Restarted.onPeerUpdate(Each, at(10s));
  CHECK((*Restarted.nextChange(at(10s)) - at(8s)).count() == Enforced.count());
  CHECK(Restarted.known(at(10s)) == Observer.known(at(10s)));

  // An instance that was in touch all the time is more reliable.
  Restarted.onPeerUpdate({Model, Second, 11s}, at(11s));
  CHECK((*Restarted.nextChange(at(10s)) - at(0s)).count() == Enforced.count());
  Restarted.onPeerUpdate({Model, Second, 3s}, at(11s));
  CHECK((*Restarted.nextChange(at(10s)) - at(0s)).count() == Enforced.count());
}

// Guards against a stalled connection that is taken for an outage of the store.
TEST_CASE("an outage is confirmed when new calls are unanswered too", "[dispatch]") {
  const auto HasOutage = [](const OutageDetector &Each) {
    return Each.last().m_Until > Each.last().m_From;
  };
  OutageDetector Detector;
  Detector.onUnanswered(at(0s), at(1s));
  // Began before the first failure was known, on a connection of the same age.
  Detector.onUnanswered(at(500ms), at(1500ms));
  Detector.onUnanswered(at(1600ms), at(2s));
  CHECK_FALSE(HasOutage(Detector));
  Detector.onAnswered();
  Detector.onUnanswered(at(5s), at(6s));
  Detector.onUnanswered(at(6s), at(7s));
  CHECK_FALSE(HasOutage(Detector));
  Detector.onUnanswered(at(7s), at(8s));
  REQUIRE(HasOutage(Detector));
  CHECK(Detector.last().m_From == at(5s));
  CHECK(Detector.last().m_Until == at(8s));
  Detector.onAnswered();
  CHECK(Detector.last().m_Until == at(8s));
}

// Guards against a VERSION violation: unanswered calls of one process, hours before an outage or
// while the store answered others, were counted as part of an outage of the store.
TEST_CASE("unanswered calls count towards an outage only while the store answers no process",
          "[dispatch]") {
  OutageDetector Detector;
  Detector.onUnanswered(at(0s), at(1s));
  Detector.onUnanswered(at(1s), at(2s));
  // This answer came before the first call failed.
  Detector.onPeerAnswered(at(500ms));
  Detector.onPeerAnswered(at(2500ms));
  Detector.onUnanswered(at(2s), at(3s));
  Detector.onUnanswered(at(3s), at(4s));
  CHECK(Detector.last().m_Until == TimePoint());
  Detector.onPeerAnswered(at(1s));
  Detector.onUnanswered(at(4s), at(5s));
  CHECK(Detector.last().m_From == at(2s));
  CHECK(Detector.last().m_Until == at(5s));
}

TEST_CASE("events are passed on complete and with their ids", "[dispatch]") {
  EventSplitter Events;
  Events.append("id: 7\ndata: a\n");
  CHECK_FALSE(Events.next());
  Events.append("\nid:8\r\ndata: b\r\n\r\ndata: c\n\nid: 9\nda");
  auto First = Events.next();
  REQUIRE(First);
  CHECK(First->m_Bytes == "id: 7\ndata: a\n\n");
  CHECK(First->m_Id == 7U);
  auto Second = Events.next();
  REQUIRE(Second);
  CHECK(Second->m_Id == 8U);
  auto Third = Events.next();
  REQUIRE(Third);
  CHECK_FALSE(Third->m_Id);
  CHECK_FALSE(Events.next());
  CHECK(Events.pending() == "id: 9\nda");
}

TEST_CASE("an event without end is detected at the size limit", "[dispatch]") {
  EventSplitter Events;
  Events.append("id: 1\ndata: a\n\n");
  const std::string Part(1024, 'x');
  for (std::size_t Size = 0; Size < EventSplitter::MaxEventBytes; Size += Part.size())
    Events.append(Part);
  CHECK(Events.next());
  CHECK_FALSE(Events.isOverlong());
  Events.append(Part);
  CHECK(Events.isOverlong());
  CHECK_FALSE(Events.next());
}

// Guards against a DRAIN violation: a leaving upstream was reported for one second only, so an
// instance that was frozen or cut off then, or was restarted, never learnt of it.
TEST_CASE("a leaving upstream is reported as long as it is listed", "[dispatch]") {
  LoadBalancer Balancer({}, 1);
  const std::vector<UpstreamRecord> Listed{upstream("u1"), upstream("u2")};
  Balancer.setUpstreams(Listed);
  CHECK(Balancer.onLeaving(Listed[0].start(), at(0s)));
  CHECK(Balancer.leavingForPeers(at(20s)) == std::vector{Listed[0].start()});
  UpstreamRecord Restarted = Listed[0];
  Restarted.m_Incarnation = Incarnation(99);
  Balancer.setUpstreams(std::vector{Restarted, Listed[1]});
  CHECK(Balancer.leavingForPeers(at(20s)).empty());
  Balancer.setUpstreams(std::vector{Listed[1]});
  CHECK(Balancer.leavingForPeers(at(20s)).empty());
}

TEST_CASE("pauses that upstreams ask for are kept, excessive ones are limited", "[dispatch]") {
  CHECK(parsePause("2") == Duration(2s));
  CHECK(parsePause("0.25") == Duration(250ms));
  CHECK(parsePause("0") == Duration(0));
  CHECK(parsePause("31536000") == UpstreamStatements::MaxPause);
  CHECK(parsePause("1e300") == UpstreamStatements::MaxPause);
  for (const char *Text : {"", "soon", "-1", "nan", "inf", "2 s", "Fri, 04 Dec 2026 10:00:00 GMT"})
    CHECK_FALSE(parsePause(Text));

  EngineBalancer Balancer({upstream("u1"), upstream("u2")});
  const UpstreamStart First{InstanceId("u1"), Incarnation(1)};
  Balancer->onPauseRequested(First, 2s, at(0s));
  // An answer that was in transit names an earlier end.
  Balancer->onPauseRequested(First, 500ms, at(100ms));
  Balancer->onEnded(First.m_Id, DispatchResult::Deferred, 0, at(100ms));
  for (int I = 0; I < 2; ++I)
    CHECK(Balancer.dispatch(at(1900ms)) == "u2");
  CHECK(Balancer.place(at(1900ms)).m_Verdict == PlacementVerdict::AllFull);
  CHECK(Balancer.dispatch(at(2001ms)) == "u1");
}

// Guards against work per placement that grows with the number of instances, and against totals
// that drift when reports are replaced, expire, or contain upstreams that come and go.
TEST_CASE("the usage of many instances is kept as totals", "[dispatch]") {
  std::vector<UpstreamRecord> Listed{upstream("u1", 8), upstream("u2", 8)};
  EngineBalancer Balancer(Listed);
  const auto InFlightAtFirst = [&](Duration Now) {
    const Placement Found = Balancer.place(at(Now), {InstanceId("u2")});
    return Found.m_Verdict == PlacementVerdict::Placed ? static_cast<int>(Found.m_InFlight) : -1;
  };
  for (int I = 0; I < 5; ++I)
    Balancer->onPeerReport(InstanceId("entry-" + std::to_string(I)), {{InstanceId("u1"), {1, 0}}},
                           at(0s));
  CHECK(InFlightAtFirst(10ms) == 5);
  Balancer->onPeerReport(InstanceId("entry-0"), {{InstanceId("u1"), {3, 0}}}, at(1s));
  CHECK(InFlightAtFirst(1s) == 7);
  Balancer->setUpstreams({});
  Balancer->onPeerReport(InstanceId("entry-1"), {}, at(1s));
  Balancer->setUpstreams(Listed);
  CHECK(InFlightAtFirst(1s) == 6);
  // Three reports of the beginning expire.
  CHECK(InFlightAtFirst(LoadBalancer::PeerReportLifetime + 10ms) == 3);
  CHECK(InFlightAtFirst(1s + LoadBalancer::PeerReportLifetime + 10ms) == 0);
}

// Guards against instances that wait for each other, and against all agents reading from the same
// one.
TEST_CASE("entry instances read only from those before them, agents from all", "[dispatch]") {
  std::vector<Endpoint> Entries;
  for (int I = 1; I <= 6; ++I)
    Entries.push_back({"10.0.0." + std::to_string(I), 7700});
  const TimePoint Start(std::chrono::seconds(1));

  RelaySelector First(Entries[0], true);
  First.setInstances(Entries);
  CHECK(First.candidates(Start).empty());
  RelaySelector Fifth(Entries[4], true);
  Fifth.setInstances({Entries.rbegin(), Entries.rend()});
  CHECK(Fifth.candidates(Start) == std::vector<Endpoint>{Entries[0], Entries[1], Entries[2]});
  Fifth.onFailure(Entries[0], Start);
  CHECK(Fifth.candidates(Start) == std::vector<Endpoint>{Entries[1], Entries[2], Entries[3]});
  CHECK(Fifth.candidates(Start + RelaySelector::FailurePause).front() == Entries[0]);

  std::set<Endpoint> Candidates;
  for (int I = 0; I < 60; ++I) {
    RelaySelector Agent({"10.1.0." + std::to_string(I), 7700}, false);
    Agent.setInstances(Entries);
    REQUIRE(Agent.candidates(Start).size() == RelaySelector::MinCandidates);
    Candidates.insert(Agent.candidates(Start).front());
  }
  CHECK(Candidates.size() == Entries.size());
}

// Guards against one entry instance that serves a large plan to all others of its data centre.
TEST_CASE("entry instances of a large data centre forward tables in a tree", "[dispatch]") {
  std::vector<Endpoint> Entries;
  for (int I = 0; I < 31; ++I)
    Entries.push_back({"10.0.0." + std::to_string(100 + I), 7700});
  std::map<Endpoint, std::size_t> Followers;
  for (std::size_t I = 1; I < Entries.size(); ++I) {
    RelaySelector Ranking(Entries[I], true);
    Ranking.setInstances(Entries);
    const std::vector<Endpoint> Candidates = Ranking.candidates(at(0s));
    REQUIRE_FALSE(Candidates.empty());
    CHECK(Candidates.front() < Entries[I]);
    ++Followers[Candidates.front()];
  }
  for (const auto &[Entry, Count] : Followers)
    CHECK(Count <= RelaySelector::FanOut);
}
