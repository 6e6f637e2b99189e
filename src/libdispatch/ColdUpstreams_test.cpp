#include "Fescuegauge/ColdUpstreams.h"
#include "Fescuegauge/LoadBalancer.h"
#include "Fescuegauge/PeerTable.h"
#include "Fescuegauge/Random.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

constexpr ColdBounds Bounds{1.5, 5};
constexpr ColdStartParameters Parameters{3s, RequestRate(17)};
/// Requests that a cold upstream may get in any second.
constexpr double Bound = 17 * 1.5 + 5;
const DataCentreId Here("dc0");

constexpr TimePoint at(Duration SinceStart) { return TimePoint(1h) + SinceStart; }

RouteTable plan() {
  RoutingPlan Plan;
  ServicePlan Service;
  Service.m_Id = ServiceId("service");
  Service.m_ColdStart = Parameters;
  Plan.m_Services.push_back(Service);
  return RouteTable(Plan);
}

UpstreamRecord upstream(std::uint64_t Start = 1, std::optional<ColdStatement> Cold = {}) {
  UpstreamRecord Record;
  Record.m_Id = InstanceId("u0");
  Record.m_Incarnation = Incarnation(Start);
  Record.m_DataCentre = Here;
  Record.m_Service = ServiceId("service");
  Record.m_Cold = Cold;
  return Record;
}

ColdUpstreams listedOnce() {
  ColdUpstreams Cold(Bounds);
  Cold.setPlan(plan());
  Cold.onListed(std::vector{upstream()}, at(0s));
  return Cold;
}

/// Entry instances in three data centres that all want to send to one upstream of the first.
class ColdReplay {
public:
  struct Instance {
    KnownInstance m_Self;
    std::optional<SharedRates> m_Rates;
    std::optional<PeerTable> m_Peers;
    TimePoint m_FrozenUntil;
    bool m_IsCut = false;
    RequestRate m_Demand{12};
  };

  ColdReplay(std::size_t Count, std::uint64_t Seed) : m_Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I) {
      Instance &New = m_Instances.emplace_back();
      New.m_Self = {{"10.0.0." + std::to_string(I), 7700},
                    DataCentreId("dc" + std::to_string(I % 3))};
    }
    for (Instance &Each : m_Instances)
      restart(Each);
  }

  void restart(Instance &New) {
    New.m_Rates.emplace(Bounds);
    New.m_Rates->cold().setPlan(plan());
    New.m_Rates->cold().onListed(std::vector{m_Record}, m_Now);
    New.m_Peers.emplace(New.m_Self.m_DataCentre);
    for (const Instance &Each : m_Instances)
      if (&Each != &New)
        New.m_Peers->onListed(Each.m_Self.m_Address, Each.m_Self.m_DataCentre, m_Now);
  }
  /// The upstream is cold from now on; an instance learns of it after up to `LongestDelay`.
  void turnCold(Duration Length, Duration LongestDelay) {
    m_Record.m_Cold = ColdStatement{Length, m_Now, ++m_Sequence};
    for (Instance &Each : m_Instances)
      m_Actions.emplace(m_Now + randomUpTo(LongestDelay), [this, &Each, Listed = m_Record] {
        Each.m_Rates->cold().onListed(std::vector{Listed}, m_Now);
      });
    m_IsCold = true;
  }
  void at(Duration When, std::function<void()> Action) {
    m_Actions.emplace(fromStart(When), std::move(Action));
  }

  void run(Duration Length) {
    constexpr Duration Step = 2ms;
    for (; m_Now < fromStart(Length); m_Now += Step) {
      while (!m_Actions.empty() && m_Actions.begin()->first <= m_Now) {
        const auto Action = m_Actions.begin()->second;
        m_Actions.erase(m_Actions.begin());
        Action();
      }
      for (Instance &Each : m_Instances)
        if (m_Now >= Each.m_FrozenUntil)
          step(Each, toSeconds(Step));
    }
  }

  /// The largest number of requests in a second, while the upstream is cold.
  double mostInSecond(Duration From = 0s) const {
    std::size_t Most = 0;
    for (std::size_t First = 0, Last = 0; First < m_Sent.size(); ++First) {
      if (m_Sent[First] < fromStart(From))
        continue;
      for (Last = std::max(Last, First);
           Last < m_Sent.size() && m_Sent[Last] <= m_Sent[First] + 1s;)
        ++Last;
      Most = std::max(Most, Last - First);
    }
    return static_cast<double>(Most);
  }
  double meanRate(Duration From, Duration To) const {
    return static_cast<double>(std::count_if(
               m_Sent.begin(), m_Sent.end(),
               [&](TimePoint Each) { return Each >= fromStart(From) && Each < fromStart(To); })) /
           toSeconds(To - From);
  }

  std::deque<Instance> m_Instances;
  double m_Loss = 0.05;
  bool m_IsCold = false;

private:
  static constexpr TimePoint fromStart(Duration When) { return TimePoint(1h) + When; }
  Duration randomUpTo(Duration Most) {
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(Most.count()) * uniformUnit(m_Random)));
  }

  void step(Instance &From, double Seconds) {
    if (m_Now >= m_NextRefresh[&From]) {
      m_NextRefresh[&From] = m_Now + 500ms;
      From.m_Self.m_Demand = From.m_Demand;
      From.m_Rates->setInstances(From.m_Self, From.m_Peers->known({550ms, 1200ms}, m_Now), m_Now);
      for (Instance &To : m_Instances)
        if (&To != &From && !From.m_IsCut && !To.m_IsCut && !chance(m_Random, m_Loss))
          m_Actions.emplace(m_Now + randomUpTo(60ms), [this, &To, Self = From.m_Self] {
            if (m_Now >= To.m_FrozenUntil)
              To.m_Peers->onPeerMessage(Self, false, m_Now);
          });
    }
    if (!m_IsCold || !chance(m_Random, Seconds * From.m_Demand.perSecond()))
      return;
    if (From.m_Rates->takePermit(m_Record.start(), Here, m_Now) != SharedRates::Permit::Refused)
      m_Sent.push_back(m_Now);
  }

  RandomGenerator m_Random;
  TimePoint m_Now = fromStart(0s);
  UpstreamRecord m_Record = upstream();
  std::uint64_t m_Sequence = 0;
  std::multimap<TimePoint, std::function<void()>> m_Actions;
  std::map<const Instance *, TimePoint> m_NextRefresh;
  std::vector<TimePoint> m_Sent;
};

} // namespace

// Guards against instances that each treat the allowance of a cold upstream as their own, and
// against an allowance that is left unused.
TEST_CASE("a cold upstream gets its rate from all instances together", "[cold]") {
  for (const std::size_t Count : {1, 2, 13, 41, 120})
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      CAPTURE(Count, Seed);
      ColdReplay Replay(Count, Seed);
      Replay.at(5s, [&] { Replay.turnCold(10s, 0s); });
      Replay.run(15s);
      CHECK(Replay.mostInSecond() <= Bound);
      // The instances of the data centre cannot use more than the demand of their clients.
      const double Demand = 12 * std::ceil(static_cast<double>(Count) / 3);
      CHECK(Replay.meanRate(6s, 15s) >= 0.5 * std::min(17.0, Demand));
    }
}

// Guards against parts that are taken twice: by an instance that was frozen, was restarted or is
// cut off, and by those that took over its part.
TEST_CASE("the bound of a cold upstream holds while lists of instances differ", "[cold]") {
  for (const std::size_t Count : {13, 41})
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      CAPTURE(Count, Seed);
      ColdReplay Replay(Count, Seed);
      Replay.m_Loss = 0.3;
      Replay.at(5s, [&] { Replay.turnCold(20s, 0s); });
      for (std::size_t I = 0; I < Count; I += 5)
        Replay.at(7s, [&, I] { Replay.m_Instances[I].m_FrozenUntil = TimePoint(1h) + 11s; });
      for (std::size_t I = 1; I < Count; I += 5)
        Replay.at(9s, [&, I] { Replay.restart(Replay.m_Instances[I]); });
      // Two of five instances are cut off, those of the upstream's data centre among them.
      for (std::size_t I = 0; I < Count; ++I)
        for (const auto &[When, IsCut] : {std::pair{13s, true}, std::pair{19s, false}})
          if (I % 5 > 2)
            Replay.at(When, [&, I, IsCut = IsCut] { Replay.m_Instances[I].m_IsCut = IsCut; });
      Replay.run(25s);
      CHECK(Replay.mostInSecond() <= Bound);
      CHECK(Replay.meanRate(6s, 25s) >= 0.5 * 17);
    }
}

// Guards against a part that stays with an instance without clients.
TEST_CASE("idle instances leave the rate of a cold upstream to others", "[cold]") {
  ColdReplay Replay(41, 1);
  for (std::size_t I = 0; I < 41; I += 2)
    Replay.m_Instances[I].m_Demand = RequestRate(0.5);
  Replay.at(5s, [&] { Replay.turnCold(10s, 0s); });
  Replay.run(15s);
  CHECK(Replay.mostInSecond() <= Bound);
  CHECK(Replay.meanRate(6s, 15s) >= 0.5 * 17);
}

// Guards against a woken instance that sends before it has heard from the others, and against two
// halves that are cut off from each other and both divide the rate.
TEST_CASE("an instance that hears no majority has no part of the rate of a cold upstream",
          "[cold]") {
  const KnownInstance Self{{"10.0.0.2", 7700}, Here};
  const KnownInstance Live{{"10.0.0.1", 7700}, Here};
  const KnownInstance Dead{{"10.0.0.3", 7700}, Here, std::nullopt, false};
  const KnownInstance DeadFirst{{"10.0.0.0", 7700}, Here, std::nullopt, false};
  const KnownInstance Remote{{"10.1.0.0", 7700}, DataCentreId("dc1")};
  const DivisionRule Rule{9, true};
  const auto PartOf = [&](const KnownInstance &Of, std::vector<KnownInstance> Others) {
    RateDivision Division;
    Division.setInstances(Of, std::move(Others));
    return Division.partOf("u0", Here, RequestRate(18), Rule).perSecond();
  };
  CHECK(PartOf(Self, {}) == Approx(18));
  CHECK(PartOf(Self, {Live, Dead}) == Approx(9));
  CHECK(PartOf(Self, {Dead}) == Approx(18));
  CHECK(PartOf(Self, {DeadFirst}) == 0);
  CHECK(PartOf(Self, {DeadFirst, Dead}) == 0);
  CHECK(PartOf(Remote, {Dead}) == 0);
  CHECK(PartOf(Remote, {}) == Approx(18));

  SharedRates Rates(Bounds);
  Rates.cold().setPlan(plan());
  Rates.cold().onListed(std::vector{upstream(1, ColdStatement{1min, at(0s), 1})}, at(0s));
  const UpstreamStart Start = upstream().start();
  CHECK(Rates.nextPermit(Start, Here, at(10s)) == at(1min));
  for (const Duration Listed : {10s, 20s}) {
    Rates.setInstances(Self, {}, at(Listed));
    CHECK(Rates.takePermit(Start, Here, at(Listed)) == SharedRates::Permit::Refused);
    Rates.setInstances(Self, {}, at(Listed + 1s));
    CHECK(Rates.takePermit(Start, Here, at(Listed + 1100ms)) == SharedRates::Permit::Taken);
  }
  CHECK(Rates.takePermit(Start, Here, at(24s)) == SharedRates::Permit::Refused);
}

// Guards against requests that are sent together because opening their connections took long, and
// against a request that was placed before its upstream turned cold and needs no permit then.
TEST_CASE("permits of a cold upstream are spaced by the times of sending", "[cold]") {
  SharedRates Rates(Bounds);
  Rates.cold().setPlan(plan());
  Rates.cold().onListed(std::vector{upstream()}, at(0s));
  const UpstreamStart Start = upstream().start();
  HeldPermits Held;
  CHECK(Rates.takePermit(Start, Here, Held, at(0s)) == SharedRates::Permit::NotNeeded);
  Rates.cold().markCold(Here, at(1s));
  CHECK(Rates.takePermit(Start, Here, Held, at(1s)) == SharedRates::Permit::Refused);
  Rates.setInstances({{"10.0.0.1", 7700}, Here}, {}, at(1s));
  Rates.setInstances({{"10.0.0.1", 7700}, Here}, {}, at(2s));
  // A part that is new to this instance begins after half an interval.
  CHECK(Rates.takePermit(Start, Here, Held, at(2s)) == SharedRates::Permit::Refused);
  CHECK(Rates.takePermit(Start, Here, Held, at(2100ms)) == SharedRates::Permit::Taken);
  Rates.onSending(Start, Held, at(2150ms));
  CHECK(Rates.nextPermit(Start, Here, at(2150ms)) > at(2200ms));
  Rates.returnPermit(Start, Held);
  CHECK(Rates.nextPermit(Start, Here, at(2150ms)) > at(2200ms));
  CHECK(Rates.takePermit(Start, Here, at(5s)) == SharedRates::Permit::NotNeeded);
}

// Guards against an upstream that is treated as warm because an entry is late, old or unreadable.
TEST_CASE("an upstream is cold by its statement and by signs of a restart", "[cold]") {
  const UpstreamStart Start = upstream().start();
  {
    // Without a statement, those of the first list are warm and later ones cold.
    ColdUpstreams Cold = listedOnce();
    CHECK_FALSE(Cold.coldUntil(Start, at(0s)));
    Cold.onListed(std::vector{upstream(2)}, at(10s));
    CHECK(Cold.coldUntil({Start.m_Id, Incarnation(2)}, at(10s)) == at(13s));
    // An entry of the earlier start does not end that.
    Cold.onListed(std::vector{upstream(1, ColdStatement{0s, at(11s), 900})}, at(11s));
    CHECK(Cold.coldUntil(Start, at(11s)) == at(13s));
  }
  {
    ColdUpstreams Cold = listedOnce();
    Cold.onListed(std::vector{upstream(1, ColdStatement{2s, at(1s), 7})}, at(2s));
    CHECK(Cold.coldUntil(Start, at(2s)) == at(3s));
    Cold.onListed(std::vector{upstream(1, ColdStatement{0s, at(2s), 6})}, at(2s));
    Cold.onListed(std::vector{upstream()}, at(2s));
    CHECK(Cold.coldUntil(Start, at(2s)) == at(3s));
    Cold.onListed(std::vector{upstream(1, ColdStatement{0s, at(2s), 8})}, at(2s));
    CHECK_FALSE(Cold.coldUntil(Start, at(2s)));
  }
  {
    ColdUpstreams Cold = listedOnce();
    Cold.onUnreachable(Start, at(1s));
    CHECK(Cold.coldUntil(Start, at(5900ms)) == at(6s));
    CHECK(Cold.takeChanges(at(1s)).size() == 1);
    // Told to another instance, and not told further by that one.
    ColdUpstreams Other = listedOnce();
    REQUIRE(Cold.noticesForPeers(at(2s)).size() == 1);
    Other.onPeerNotice(Cold.noticesForPeers(at(2s)).front(), at(2s));
    CHECK(Other.coldUntil(Start, at(2s)) == at(6s));
    CHECK(Other.noticesForPeers(at(2s)).empty());
    // The statement of a new start takes precedence.
    Cold.onListed(std::vector{upstream(2, ColdStatement{500ms, at(3s), 0})}, at(3s));
    CHECK_FALSE(Cold.coldUntil({Start.m_Id, Incarnation(2)}, at(4s)));
    CHECK(Cold.noticesForPeers(at(3s)).empty());
  }
  {
    ColdUpstreams Cold = listedOnce();
    Cold.onAnswer(Start, 1h, at(1s));
    CHECK(Cold.coldUntil(Start, at(1s)) == at(1s) + ColdUpstreams::MaxRemaining);
    Cold.setBounds(std::nullopt);
    CHECK_FALSE(Cold.coldUntil(Start, at(1s)));
  }
  CHECK(parseColdRemaining("1500") == Duration(1500ms));
  for (const char *Unreadable : {"", "-1", "nan", "soon"})
    CHECK_FALSE(parseColdRemaining(Unreadable));
}
