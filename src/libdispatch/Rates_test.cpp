#include "Fescuegauge/PeerTable.h"
#include "Fescuegauge/RateStatements.h"
#include "Fescuegauge/SharedRates.h"
#include "RateReplay.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

using RateChange = RateStatements::RateChange;

const UpstreamStart Upstream{InstanceId("u1"), Incarnation(1)};
constexpr RequestRate Low(1.3);
constexpr RequestRate High(20);

constexpr TimePoint at(Duration SinceStart) { return TimePoint(1h) + SinceStart; }

} // namespace

// Guards against a rate that is ended or raised by an answer that was made before the rate was
// named.
TEST_CASE("reordered answers do not end or raise a named rate", "[rates]") {
  RateStatements Rates;
  CHECK(Rates.onAnswer(Upstream, Low, at(0s), at(1s)) == RateChange::Named);
  CHECK(Rates.onAnswer(Upstream, std::nullopt, at(900ms), at(1100ms)) == RateChange::None);
  CHECK(Rates.onAnswer(Upstream, High, at(900ms), at(1200ms)) == RateChange::None);
  CHECK(Rates.rateOf(Upstream, at(2s)) == Low);
  CHECK(Rates.onAnswer(Upstream, High, at(2s), at(3s)) == RateChange::Changed);
  CHECK(Rates.rateOf(Upstream, at(3s)) == High);
  CHECK(Rates.onAnswer(Upstream, std::nullopt, at(4s), at(5s)) == RateChange::Ended);
  CHECK_FALSE(Rates.rateOf(Upstream, at(5s)));
}

// Guards against a rate that can never rise while answers that confirm it are always in transit.
TEST_CASE("a named rate rises under dense traffic", "[rates]") {
  RateStatements Rates;
  for (Duration Each = 0s; Each < 1s; Each += 10ms)
    Rates.onAnswer(Upstream, Low, at(Each), at(Each + 500ms));
  for (Duration Each = 1s; Each < 2s; Each += 10ms)
    Rates.onAnswer(Upstream, High, at(Each), at(Each + 500ms));
  CHECK(Rates.rateOf(Upstream, at(3s)) == High);
}

// Guards against a rate that stays in force after a restart of the upstream that named it.
TEST_CASE("a rate is valid for one start of an upstream and expires", "[rates]") {
  RateStatements Rates;
  Rates.onAnswer(Upstream, Low, at(0s), at(1s));
  CHECK_FALSE(Rates.rateOf({Upstream.m_Id, Incarnation(2)}, at(1s)));
  CHECK(Rates.rateOf(Upstream, at(1s) + RateStatements::Lifetime));
  CHECK_FALSE(Rates.rateOf(Upstream, at(2s) + RateStatements::Lifetime));
}

// Guards against an old statement of one instance that replaces a newer one of another, and against
// statements that are forwarded between instances and whose age becomes too low on the way.
TEST_CASE("statements of other instances are ordered by age and not forwarded", "[rates]") {
  RateStatements Sender;
  Sender.onAnswer(Upstream, Low, at(0s), at(1s));
  const auto Old = Sender.updateForPeers(at(3s));
  REQUIRE(Old == std::vector<RateStatement>{{Upstream, Low, 2s}});
  Sender.onAnswer(Upstream, std::nullopt, at(4s), at(5s));
  const auto Ended = Sender.updateForPeers(at(6s));
  REQUIRE(Ended == std::vector<RateStatement>{{Upstream, std::nullopt, 1s}});

  RateStatements Receiver;
  CHECK(Receiver.onPeerUpdate(Old.front(), at(3s)) == RateChange::Named);
  CHECK(Receiver.updateForPeers(at(3s)).empty());
  CHECK(Receiver.onPeerUpdate(Ended.front(), at(6s)) == RateChange::Ended);
  CHECK(Receiver.onPeerUpdate({Upstream, Low, 6s}, at(7s)) == RateChange::None);
  CHECK_FALSE(Receiver.rateOf(Upstream, at(7s)));
}

TEST_CASE("rates are parsed as finite numbers of zero or more", "[rates]") {
  CHECK(parseRate("1.3") == RequestRate(1.3));
  CHECK(parseRate("0") == RequestRate(0));
  CHECK(parseRate("200") == RequestRate(200));
  for (const char *Invalid : {"", "-1", "nan", "inf", "1.3/s", " 2", "1e999"})
    CHECK_FALSE(parseRate(Invalid));
}

TEST_CASE("statements on many upstreams use bounded memory and message sizes", "[rates]") {
  RateStatements Rates;
  for (std::size_t I = 0; I < 2 * RateStatements::MaxUpstreams; ++I)
    Rates.onAnswer({InstanceId("u" + std::to_string(I)), Incarnation(1)}, Low, at(0s),
                   at(1s) + Duration(I));
  CHECK(Rates.rates(at(2s)).size() == RateStatements::MaxUpstreams);
  CHECK(Rates.updateForPeers(at(2s)).size() == RateStatements::MaxStatementsPerMessage);
}

namespace {

const DataCentreId Here("here");
const DataCentreId There("there");

std::vector<KnownInstance> instances(std::size_t Count, const DataCentreId &DataCentre) {
  std::vector<KnownInstance> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back({{"10.0.0." + std::to_string(I), 7700}, DataCentre});
  return Result;
}

/// The part of each instance when all have the same list.
std::vector<double> parts(const std::vector<KnownInstance> &All, RequestRate Rate) {
  std::vector<double> Result;
  for (const KnownInstance &Self : All) {
    std::vector<KnownInstance> Others = All;
    std::erase(Others, Self);
    RateDivision Division;
    Division.setInstances(Self, Others);
    Result.push_back(Division.partOf("u1", Here, Rate).perSecond());
  }
  return Result;
}

} // namespace

// Guards against parts that add up to more than the rate, and against an unused rate.
TEST_CASE("the parts of a rate add up to it", "[rates]") {
  for (const std::size_t Count : {1, 2, 8, 34, 340})
    for (const double Rate : {0.3, 1.3, 10.0, 200.0})
      for (const DataCentreId &DataCentre : {Here, There}) {
        CAPTURE(Count, Rate, DataCentre.str());
        double Sum = 0;
        for (const double Each : parts(instances(Count, DataCentre), RequestRate(Rate)))
          Sum += Each;
        CHECK(Sum == Approx(Rate));
      }
}

TEST_CASE("instances of the upstream's data centre divide its rate, others if there are none",
          "[rates]") {
  std::vector<KnownInstance> All = instances(4, Here);
  All.push_back({{"10.1.0.1", 7700}, There});
  CHECK(parts(All, RequestRate(200)) == std::vector<double>{50, 50, 50, 50, 0});
  CHECK(parts({All.back()}, RequestRate(200)) == std::vector<double>{200});
}

// Guards against an instance that sends requests under a rate before it knows the instances among
// which the rate is divided.
TEST_CASE("an instance without a list of the others has no part of a rate", "[rates]") {
  SharedRates Rates;
  CHECK(Rates.nextPermit(Upstream, Here, at(0s)) <= at(0s));
  Rates.onAnswer(Upstream, Low, at(0s), at(0s));
  CHECK(Rates.nextPermit(Upstream, Here, at(1min)) == TimePoint::max());
  CHECK(Rates.takePermit(Upstream, Here, at(1s)) == SharedRates::Permit::Refused);
}

// Guards against a part that is used twice within its interval when it passes to another instance.
TEST_CASE("a new owner of a part waits before it uses it", "[rates]") {
  const KnownInstance Self{{"10.0.0.1", 7700}, Here};
  SharedRates Rates;
  Rates.setInstances(Self, {});
  Rates.onAnswer(Upstream, RequestRate(1), at(0s), at(0s));
  CHECK(Rates.takePermit(Upstream, Here, at(0s)) == SharedRates::Permit::Refused);
  CHECK(Rates.nextPermit(Upstream, Here, at(0s)) == at(500ms));
  int Taken = 0;
  for (Duration Each = 0s; Each < 10s; Each += 10ms)
    if (Rates.takePermit(Upstream, Here, at(Each)) == SharedRates::Permit::Taken)
      ++Taken;
  CHECK(Taken == 10);
}

TEST_CASE("a permit that was not used can be taken again", "[rates]") {
  SharedRates Rates;
  Rates.setInstances({{"10.0.0.1", 7700}, Here}, {});
  Rates.onAnswer(Upstream, RequestRate(1), at(0s), at(0s));
  REQUIRE(Rates.takePermit(Upstream, Here, at(0s)) == SharedRates::Permit::Refused);
  REQUIRE(Rates.takePermit(Upstream, Here, at(1s)) == SharedRates::Permit::Taken);
  CHECK(Rates.takePermit(Upstream, Here, at(1s)) == SharedRates::Permit::Refused);
  Rates.returnPermit(Upstream);
  CHECK(Rates.takePermit(Upstream, Here, at(1s)) == SharedRates::Permit::Taken);
}

// Guards against an upstream that names a rate of 0 and never gets a request again.
TEST_CASE("an upstream that names a rate of 0 is still probed", "[rates]") {
  SharedRates Rates;
  Rates.setInstances({{"10.0.0.1", 7700}, Here}, {});
  Rates.onAnswer(Upstream, RequestRate(0), at(0s), at(0s));
  CHECK(Rates.takePermit(Upstream, Here, at(1s)) == SharedRates::Permit::Refused);
  CHECK(Rates.takePermit(Upstream, Here, at(6s)) == SharedRates::Permit::Taken);
  Rates.onAnswer(Upstream, std::nullopt, at(6s), at(7s));
  CHECK(Rates.takePermit(Upstream, Here, at(7s)) == SharedRates::Permit::NotNeeded);
}

// Guards against requests that wait for a slot that cannot become free.
TEST_CASE("a placement has the time of the next permit if only permits are missing", "[rates]") {
  UpstreamRecord Record;
  Record.m_Id = Upstream.m_Id;
  Record.m_Incarnation = Upstream.m_Incarnation;
  Record.m_DataCentre = Here;
  Record.m_Service = ServiceId("service");
  Record.m_Slots = 1;
  LoadBalancer Balancer({}, 1);
  Balancer.setUpstreams(std::vector{Record});
  Balancer.rates().onAnswer(Upstream, RequestRate(1), at(0s), at(0s));
  PlacementRequest Request;
  Request.m_Service = Record.m_Service;
  CHECK(Balancer.place(Request, at(0s)).m_NextPermit == TimePoint::max());
  Balancer.rates().setInstances({{"10.0.0.1", 7700}, Here}, {});
  CHECK(Balancer.place(Request, at(0s)).m_NextPermit == at(500ms));
  CHECK(Balancer.place(Request, at(500ms)).m_Verdict == PlacementVerdict::Placed);

  // Another upstream that is full may have a free slot at any time.
  UpstreamRecord Full = Record;
  Full.m_Id = InstanceId("u2");
  Full.m_Slots = 0;
  Balancer.setUpstreams(std::vector{Record, Full});
  for (int I = 0; I < 10; ++I)
    Balancer.onDispatched(Full.m_Id, 0, at(0s));
  const Placement Found = Balancer.place(Request, at(0s));
  CHECK(Found.m_Verdict == PlacementVerdict::AllFull);
  CHECK_FALSE(Found.m_NextPermit);
}

// Guards against a dead instance that keeps its part, and against a live one that loses its part
// because a few datagrams are lost.
TEST_CASE("an instance is considered dead when several of its messages are missing", "[rates]") {
  const PeerTable::MessageIntervals Intervals{500ms, 4s};
  const Endpoint Local{"10.0.0.1", 7700};
  const Endpoint Remote{"10.1.0.1", 7700};
  PeerTable Peers(Here);
  Peers.onListed(Local, Here, at(0s));
  Peers.onListed(Remote, There, at(0s));
  CHECK(Peers.live(Intervals, at(2s)).size() == 2);
  CHECK(Peers.live(Intervals, at(3s)) == std::vector<KnownInstance>{{Remote, There}});
  CHECK(Peers.live(Intervals, at(21s)).empty());
  CHECK(Peers.local() == std::vector{Local});
  Peers.removeExpired(at(61s));
  CHECK(Peers.size() == 0);
}

namespace {

RateReplayOptions largeSite() {
  RateReplayOptions Result;
  Result.m_Instances = 340;
  Result.m_DataCentres = 10;
  Result.m_Upstreams = 24;
  return Result;
}

void checkBoundAndUse(const RateReplayOptions &Given) {
  CAPTURE(Given.m_Instances, Given.m_Rate.perSecond(), Given.m_Cut, Given.m_Loss, Given.m_Restarts,
          Given.m_Seed);
  RateReplay Replay(Given);
  Replay.run();
  CHECK(Replay.worstShareOfBound() <= 1);
  CHECK(Replay.leastUse() >= RateReplay::LeastUse);
}

/// The cases of the regression test.
std::vector<RateReplayOptions> rateReplays() {
  std::vector<RateReplayOptions> Result;
  for (const double Rate : {0.3, 1.3, 6.0, 40.0}) {
    RateReplayOptions Small;
    Small.m_Rate = RequestRate(Rate);
    Result.push_back(Small);
  }
  RateReplayOptions Cut;
  Cut.m_Cut = true;
  Result.push_back(Cut);
  RateReplayOptions Lossy;
  Lossy.m_Loss = 0.3;
  Lossy.m_LongestDelay = 400ms;
  Result.push_back(Lossy);
  RateReplayOptions Restarts;
  Restarts.m_Restarts = 6;
  Result.push_back(Restarts);
  for (const double Rate : {1.3, 8.0}) {
    RateReplayOptions Large = largeSite();
    Large.m_Rate = RequestRate(Rate);
    Result.push_back(Large);
  }
  return Result;
}

} // namespace

// Guards against instances that each send as much to an upstream as it accepts from all of them
// together, and against a division that leaves much of the rate unused.
TEST_CASE("an upstream gets no more requests than the rate that it names for all instances",
          "[rates]") {
  for (const RateReplayOptions &Each : rateReplays())
    checkBoundAndUse(Each);
}

// Guards against a rate that is left unused because stopping instances keep their parts until they
// send no more reports.
TEST_CASE("a rate is used where instances with a part stop", "[rates]") {
  RateReplayOptions Given;
  Given.m_Stopping = 2;
  checkBoundAndUse(Given);
}

// Guards against a rate that is left unused because instances with a part have hardly any clients,
// while others have many.
TEST_CASE("a rate is used where half of the instances have clients", "[rates]") {
  RateReplayOptions Given;
  Given.m_Instances = 34;
  Given.m_DataCentres = 4;
  Given.m_Upstreams = 16;
  Given.m_IdleShare = 0.5;
  for (Given.m_Seed = 1; Given.m_Seed <= 6; ++Given.m_Seed)
    checkBoundAndUse(Given);
}

// Guards against a rate that is left unused because the instances with a part have few clients.
TEST_CASE("a rate is used where each instance has few clients", "[rates]") {
  RateReplayOptions Given = largeSite();
  Given.m_Loss = 0.3;
  Given.m_LongestDelay = 400ms;
  Given.m_Cut = true;
  Given.m_Restarts = 8;
  Given.m_Seed = 13;
  checkBoundAndUse(Given);
}
