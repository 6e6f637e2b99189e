#include "Fescuegauge/LoadBalancer.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

const ServiceId Service("service");
const TimePoint Now(100s);

UpstreamRecord upstreamIn(const std::string &Place) {
  UpstreamRecord Record;
  Record.m_Id = InstanceId("u-" + Place);
  Record.m_Address = {"10.0.0.1", 1000};
  Record.m_DataCentre = DataCentreId(Place);
  Record.m_Region = RegionId("region-" + Place);
  Record.m_Service = Service;
  Record.m_Slots = 4;
  return Record;
}

/// A load balancer in data centre "a" with one upstream in each of "a", "b" and "c", each in a
/// region of its own.
LoadBalancer threeDataCentres() {
  LoadBalancerOptions Options;
  Options.m_DataCentre = DataCentreId("a");
  Options.m_Region = RegionId("region-a");
  LoadBalancer Result(Options, 3);
  Result.setUpstreams(std::vector{upstreamIn("a"), upstreamIn("b"), upstreamIn("c")});
  return Result;
}

PlacementRequest requestFor(const RegionRestriction &Regions) {
  PlacementRequest Request;
  Request.m_Service = Service;
  Request.m_Regions = Regions;
  return Request;
}

RegionRestriction only(const std::vector<std::string> &Places) {
  std::vector<RegionId> Regions;
  for (const std::string &Each : Places)
    Regions.emplace_back("region-" + Each);
  return RegionRestriction(Regions);
}

} // namespace

// Guards against a restricted request that goes to the preferred, local data centre although it may
// not be served there, or to another one because the permitted upstream is full.
TEST_CASE("a restricted request goes only to permitted regions", "[dispatch]") {
  LoadBalancer Balancer = threeDataCentres();
  const PlacementRequest Request = requestFor(only({"b"}));
  Placement Found = Balancer.place(Request, Now);
  while (Found.m_Verdict == PlacementVerdict::Placed) {
    REQUIRE(Found.m_Upstream.m_Id.str() == "u-b");
    Balancer.onDispatched(Found.m_Upstream.m_Id, 0, Now);
    Found = Balancer.place(Request, Now);
  }
  CHECK(Found.m_Verdict == PlacementVerdict::AllFull);
  CHECK(Balancer.place(requestFor({}), Now).m_Upstream.m_Id.str() == "u-a");
  CHECK_FALSE(Balancer.canStillSend(upstreamIn("a"), Request, Now));
}

// Guards against a request that waits until its deadline although no upstream may ever serve it.
TEST_CASE("a request without a permitted upstream is told apart from overload", "[dispatch]") {
  LoadBalancer Balancer = threeDataCentres();
  CHECK(Balancer.place(requestFor(only({"d"})), Now).m_Verdict == PlacementVerdict::NoneInRegions);
  // A restriction of the route and one of the account that have no region in common.
  const RegionRestriction Both = only({"a", "b"}).intersect(only({"c"}));
  CHECK(Both.isRestricted());
  CHECK(Balancer.place(requestFor(Both), Now).m_Verdict == PlacementVerdict::NoneInRegions);
  CHECK(only({"a", "b"}).intersect(only({"b", "c"})) == only({"b"}));
  CHECK(RegionRestriction().intersect(only({"b"})) == only({"b"}));
  CHECK(only({"b"}).intersect(RegionRestriction()) == only({"b"}));
}

// Guards against requests that still reach upstreams of a data centre that is being emptied, also
// those placed there before the order, and against one that stays unused after it was taken back.
TEST_CASE("the upstreams of an evacuated data centre get no requests", "[dispatch]") {
  LoadBalancer Balancer = threeDataCentres();
  const Placement Before = Balancer.place(requestFor({}), Now);
  REQUIRE(Before.m_Upstream.m_Id.str() == "u-a");
  Balancer.onDispatched(Before.m_Upstream.m_Id, 0, Now);
  CHECK(Balancer.setEvacuated(DataCentreId("a"), true, Now));
  CHECK_FALSE(Balancer.setEvacuated(DataCentreId("a"), true, Now + 1s));
  CHECK(Balancer.evacuations().all().at(DataCentreId("a")) == Now);
  CHECK_FALSE(Balancer.canStillSend(Before.m_Upstream, requestFor({}), Now));
  CHECK(Balancer.place(requestFor({}), Now).m_Upstream.m_Id.str() != "u-a");
  CHECK(Balancer.requestsInFlight(DataCentreId("a")) == 1);

  // All data centres at once, and a name that does not exist.
  CHECK(Balancer.setEvacuated(DataCentreId("b"), true, Now));
  CHECK(Balancer.setEvacuated(DataCentreId("c"), true, Now));
  CHECK(Balancer.setEvacuated(DataCentreId("unknown"), true, Now));
  CHECK(Balancer.place(requestFor({}), Now).m_Verdict == PlacementVerdict::NoneUsable);

  CHECK(Balancer.setEvacuated(DataCentreId("a"), false, Now));
  CHECK_FALSE(Balancer.setEvacuated(DataCentreId("a"), false, Now));
  CHECK(Balancer.place(requestFor({}), Now).m_Upstream.m_Id.str() == "u-a");
}
