#include "Fescuegauge/Figure.h"
#include "Fescuegauge/Invariant.h"
#include "TrafficSimulation.h"

#include <chrono>
#include <iostream>

using namespace fescuegauge;
using namespace fescuegauge::simulation;

namespace {

/// The policies that figures are compared with. They send every request to an upstream at once.
enum class Policy { Product, RoundRobin, LeastInFlight, NoAdmission };

constexpr std::array<std::pair<Policy, const char *>, 3> Baselines{
    {{Policy::RoundRobin, "round_robin"},
     {Policy::LeastInFlight, "least_in_flight"},
     {Policy::NoAdmission, "no_admission"}}};

Options with(Policy Used) {
  Options Given;
  Given.m_Length = 30s;
  if (Used == Policy::Product)
    return Given;
  Given.m_UseScheduler = false;
  Given.m_Hedge = false;
  if (Used == Policy::RoundRobin)
    Given.m_Placement = Placement::RoundRobin;
  if (Used == Policy::LeastInFlight)
    Given.m_Placement = Placement::LeastInFlight;
  return Given;
}

/// What the upstreams can do when each always has work waiting, in slot seconds per second, with
/// the product's placement. Loads are multiples of it.
double measuredCapacity(const Options &Given) {
  Options Saturated = Given;
  Saturated.m_ClosedLoop = Given.m_Upstreams * Given.m_Slots * 3 / 2;
  Saturated.m_UseScheduler = false;
  Saturated.m_Hedge = false;
  return Simulation(Saturated).run().m_Throughput;
}

double meanWork() {
  Simulation Any{Options()};
  std::vector<ClassOfTraffic> Classes = standardClasses();
  double Mean = 0;
  for (std::size_t I = 0; I < Classes.size(); ++I)
    Mean += Classes[I].m_Share * Any.workOf(I);
  return Mean;
}

/// Measures the processor time of one selection and release with a number of upstreams.
class RouteTimer {
public:
  explicit RouteTimer(std::uint32_t Count) : m_Count(Count) {
    RouterOptions Options;
    Options.m_DataCentre = DataCentreId("dc");
    Options.m_Region = RegionId("region");
    m_Router = std::make_unique<Router>(Options, 1);
    m_Router->setService(m_Service, {});
    for (std::uint32_t I = 0; I < Count; ++I) {
      InstanceRecord Record;
      Record.m_Id = InstanceId("runner-" + std::to_string(I));
      Record.m_State = InstanceState::Live;
      Record.m_DataCentre = Options.m_DataCentre;
      Record.m_Region = Options.m_Region;
      Record.m_Service = m_Service;
      Record.m_ServedDigest = sha256("version");
      Record.m_Capacity = 64;
      m_Router->onInstance(Record, m_Now);
    }
  }

  /// Times some choices. Load reports arrive between them and are not timed.
  void measure() {
    constexpr std::size_t MaxInFlight = 40;
    constexpr std::uint64_t Choices = 500;
    for (std::uint32_t I = 0; I < m_Count; ++I) {
      LoadReport Report;
      Report.m_Upstream = InstanceId("runner-" + std::to_string(I));
      Report.m_Running = 40;
      m_Router->onLoadReport(Report, m_Now);
    }
    std::vector<RequestDescription> Requests;
    for (std::uint64_t I = 0; I < Choices; ++I)
      Requests.push_back(makeRequest());
    auto Begin = std::chrono::steady_clock::now();
    for (RequestDescription &Request : Requests) {
      // An entry instance of the largest deployment sends 20 requests a second; 500 are assumed.
      m_Now += 2ms;
      UpstreamQuery Query;
      Query.m_Request = &Request;
      std::optional<InstanceId> Chosen = m_Router->select(Query, m_Now);
      if (Chosen)
        m_InFlight.emplace_back(*Chosen, std::move(Request));
      if (m_InFlight.size() > MaxInFlight) {
        m_Router->release(m_InFlight.front().first, m_InFlight.front().second, false, m_Now);
        m_InFlight.pop_front();
      }
    }
    std::chrono::duration<double, std::micro> Spent = std::chrono::steady_clock::now() - Begin;
    m_Best = std::min(m_Best, Spent.count() / static_cast<double>(Choices));
  }

  /// The shortest mean time of all measurements, in microseconds.
  double best() const { return m_Best; }

private:
  RequestDescription makeRequest() {
    RequestDescription Request;
    Request.m_Id = RequestId("request-" + std::to_string(m_Number++));
    Request.m_Service = m_Service;
    Request.m_EstimatedTokens = 500;
    std::uint64_t Document = uniformBelow(m_Random, 50ULL * m_Count);
    for (std::uint64_t I = 0; I < 8; ++I)
      Request.m_PrefixBlocks.push_back((Document << 8 | I) * 0x9E3779B97F4A7C15ULL);
    return Request;
  }

  std::uint32_t m_Count;
  ServiceId m_Service{"asistente"};
  TimePoint m_Now{Duration(1s)};
  std::unique_ptr<Router> m_Router;
  RandomGenerator m_Random{3};
  std::deque<std::pair<InstanceId, RequestDescription>> m_InFlight;
  std::uint64_t m_Number = 0;
  double m_Best = 1e9;
};

struct Bench {
  FigureReport m_Report{std::cout};
  double m_Capacity = measuredCapacity(Options());
  double m_RatePerLoad = m_Capacity / meanWork();

  Result run(Options Given, double Load) const {
    Given.m_Rate = [Rate = Load * m_RatePerLoad](Duration) { return Rate; };
    return Simulation(Given).run();
  }

  static std::string text(double Load) {
    std::string Digits = std::to_string(Load);
    return Digits.substr(0, Digits.find('.') + 2);
  }

  void loads() {
    std::vector<ClassOfTraffic> Classes = standardClasses();
    for (double Load : {0.5, 0.9, 1.2, 3.0}) {
      Result Own = run(with(Policy::Product), Load);
      std::vector<Result> Others;
      for (const auto &[Used, Name] : Baselines)
        Others.push_back(run(with(Used), Load));
      // Up to capacity every offered request counts. Above it some have to be refused, and the
      // target is that those admitted are answered in time and that capacity is not wasted.
      bool IsOverload = Load > 1;
      for (std::size_t I = 0; I < Classes.size(); ++I) {
        std::string Suffix = ".load" + text(Load) + "." + Classes[I].m_Target.m_Class.str();
        const ClassResult &Counts = Own.m_Classes[I];
        Figure Within{"requests.within_target" + Suffix,
                      IsOverload ? Counts.admittedShare() : Counts.offeredShare(),
                      IsOverload ? "share_of_admitted" : "share_of_offered",
                      Figure::Limit::AtLeast,
                      0.95,
                      {}};
        Figure Offered{"requests.offered_within_target" + Suffix,
                       Counts.offeredShare(),
                       "share_of_offered",
                       Figure::Limit::None,
                       0,
                       {}};
        for (std::size_t B = 0; B < Baselines.size(); ++B) {
          const ClassResult &Other = Others[B].m_Classes[I];
          Within.m_Baselines.emplace_back(Baselines[B].second, IsOverload ? Other.admittedShare()
                                                                          : Other.offeredShare());
          Offered.m_Baselines.emplace_back(Baselines[B].second, Other.offeredShare());
        }
        m_Report.add(Within);
        if (IsOverload)
          m_Report.add(Offered);
      }
      Figure Goodput{"requests.goodput.load" + text(Load),
                     Own.m_Goodput / m_Capacity,
                     "share_of_capacity",
                     Figure::Limit::AtLeast,
                     0.9 * std::min(Load, 1.0),
                     {}};
      for (std::size_t B = 0; B < Baselines.size(); ++B)
        Goodput.m_Baselines.emplace_back(Baselines[B].second, Others[B].m_Goodput / m_Capacity);
      m_Report.add(Goodput);
    }
  }

  /// Runs with lost upstreams and failing attempts, at and above capacity.
  void attempts() {
    double Worst = 0;
    double WithoutBudget = 0;
    for (double Load : {0.5, 0.9, 3.0}) {
      Options Given;
      Given.m_AttemptFailure = 0.1;
      Given.m_Faults = {{Fault::Kind::Die, 12s, 0, 8s}, {Fault::Kind::Freeze, 20s, 1, 4s}};
      Worst = std::max(Worst, run(Given, Load).attemptsPerRequest());
      Given.m_Scheduler.m_BudgetRetries = false;
      WithoutBudget = std::max(WithoutBudget, run(Given, Load).attemptsPerRequest());
    }
    m_Report.add({"requests.attempts_per_request",
                  Worst,
                  "attempts",
                  Figure::Limit::AtMost,
                  1.1,
                  {{"no_budget", WithoutBudget}}});
  }

  /// What each account would get if capacity were divided equally and what one leaves unused went
  /// to the others.
  static std::vector<double> maxMinShares(const std::vector<double> &Demand, double Capacity) {
    std::vector<double> Shares(Demand.size());
    std::vector<std::size_t> Open(Demand.size());
    for (std::size_t I = 0; I < Open.size(); ++I)
      Open[I] = I;
    std::sort(Open.begin(), Open.end(),
              [&](std::size_t A, std::size_t B) { return Demand[A] < Demand[B]; });
    for (std::size_t I = 0; I < Open.size(); ++I) {
      Shares[Open[I]] = std::min(Demand[Open[I]], Capacity / static_cast<double>(Open.size() - I));
      Capacity -= Shares[Open[I]];
    }
    return Shares;
  }

  static double jain(const Result &Measured) {
    double Served = 0;
    for (double Work : Measured.m_AccountWork)
      Served += Work;
    std::vector<double> Shares = maxMinShares(Measured.m_AccountDemand, Served);
    double Sum = 0;
    double Squares = 0;
    for (std::size_t I = 0; I < Shares.size(); ++I) {
      double Ratio = Measured.m_AccountWork[I] / Shares[I];
      Sum += Ratio;
      Squares += Ratio * Ratio;
    }
    return Sum * Sum / (Squares * static_cast<double>(Shares.size()));
  }

  void fairness() {
    auto Measure = [&](Options Given) {
      // Two large accounts, two of medium size and six small ones, at twice the capacity.
      Given.m_Accounts = {10, 10, 4, 4, 1, 1, 1, 1, 1, 1};
      return jain(run(std::move(Given), 2.0));
    };
    Options OneQueue;
    OneQueue.m_Scheduler.m_Queue.m_ShareByAccount = false;
    m_Report.add({"requests.fairness_jain",
                  Measure(with(Policy::Product)),
                  "index",
                  Figure::Limit::AtLeast,
                  0.95,
                  {{"one_queue", Measure(OneQueue)},
                   {"round_robin", Measure(with(Policy::RoundRobin))},
                   {"least_in_flight", Measure(with(Policy::LeastInFlight))},
                   {"no_admission", Measure(with(Policy::NoAdmission))}}});
  }

  void prefixHits() {
    auto Measure = [&](Placement Used) {
      Options Given;
      Given.m_Placement = Used;
      return run(Given, 0.9).prefixHitShare();
    };
    double Random = Measure(Placement::Random);
    double LeastInFlight = Measure(Placement::LeastInFlight);
    // A quarter of each prompt is unique, so that at most about 0.75 can be found in a cache.
    m_Report.add({"requests.prefix_hit_share",
                  Measure(Placement::Router),
                  "share",
                  Figure::Limit::AtLeast,
                  std::max(Random, LeastInFlight),
                  {{"random", Random}, {"least_in_flight", LeastInFlight}}});
  }

  struct Recovery {
    /// From the end of the overload until goodput is back for good.
    double m_Time = 0;
    /// Of the requests that arrive later than 5 s after the overload: answered when first asked.
    double m_FirstAsk = 0;
  };

  /// Runs an overload of 15 s. Goodput is back when the work answered within target is 0.9 of what
  /// new callers ask for; those that were refused before come back in addition.
  Recovery recover(Options Given) const {
    static constexpr Duration OverloadFrom = 10s;
    static constexpr Duration OverloadTo = 25s;
    static constexpr double Base = 0.7;
    constexpr double Back = 0.9;
    // Goodput is averaged over 2 s, because the work that arrives in less varies by a tenth.
    constexpr std::size_t Averaged = 4;
    Given.m_Length = 60s;
    Given.m_WarmUp = 0s;
    Given.m_Impatient = 0.5;
    Given.m_Rate = [Rate = m_RatePerLoad](Duration Now) {
      return (Now >= OverloadFrom && Now < OverloadTo ? 3.0 : Base) * Rate;
    };
    Result Measured = Simulation(Given).run();
    Recovery Found;
    std::uint64_t Offered = 0;
    std::uint64_t Within = 0;
    for (std::size_t I = static_cast<std::size_t>(OverloadTo / Simulation::Bin);
         Simulation::Bin * (I + Averaged) <= Given.m_Length; ++I) {
      double Goodput = 0;
      for (std::size_t J = I; J < I + Averaged; ++J)
        Goodput += Measured.m_BinGoodput[J] / static_cast<double>(Averaged);
      if (Goodput < Back * Base * m_Capacity)
        Found.m_Time = toSeconds(Simulation::Bin * (I + 1) - OverloadTo);
      if (Simulation::Bin * I >= OverloadTo + 5s) {
        Offered += Measured.m_Bins[I].first;
        Within += Measured.m_Bins[I].second;
      }
    }
    Found.m_FirstAsk = static_cast<double>(Within) / static_cast<double>(Offered);
    return Found;
  }

  void recovery() {
    Recovery Own = recover(with(Policy::Product));
    Figure Time{"requests.recovery_s", Own.m_Time, "s", Figure::Limit::AtMost, 5, {}};
    Figure FirstAsk{"requests.first_ask_within_target.after_overload",
                    Own.m_FirstAsk,
                    "share_of_offered",
                    Figure::Limit::None,
                    0,
                    {}};
    for (const auto &[Used, Name] : Baselines) {
      Recovery Other = recover(with(Used));
      Time.m_Baselines.emplace_back(Name, Other.m_Time);
      FirstAsk.m_Baselines.emplace_back(Name, Other.m_FirstAsk);
    }
    m_Report.add(Time);
    m_Report.add(FirstAsk);
  }

  /// One region gets most of the traffic; its link to the others is limited.
  void spillOver() {
    auto Measure = [&](double BytesEachSecond) {
      Options Given;
      Given.m_Regions = 3;
      Given.m_Entries = 9;
      Given.m_Upstreams = 12;
      Given.m_HotRegion = 0.6;
      Given.m_SpillRate = BytesPerSecond(BytesEachSecond);
      // Load 0.7 of twelve upstreams is 1.26 times what the four of the busy region can do.
      Result Measured = run(Given, 0.7 * 12 / 10);
      std::uint64_t Offered = 0;
      std::uint64_t Within = 0;
      for (const ClassResult &Counts : Measured.m_Classes) {
        Offered += Counts.m_Offered;
        Within += Counts.m_OfferedWithin;
      }
      return static_cast<double>(Within) / static_cast<double>(Offered);
    };
    // Half of a link of 20 Mbit/s, shared by the three entry instances of the region.
    m_Report.add({"requests.within_target.busy_region",
                  Measure(2.5e6 / 2 / 3),
                  "share_of_offered",
                  Figure::Limit::AtLeast,
                  0.95,
                  {{"no_spill_over", Measure(0)}}});
  }

  /// Many entry instances, each of which sees a small part of the traffic.
  void manyInstances() {
    for (double Load : {0.9, 3.0}) {
      Options Given;
      Given.m_Entries = 40;
      Given.m_Upstreams = 40;
      Given.m_Documents = 400;
      Given.m_Length = 20s;
      Given.m_WarmUp = 8s;
      Result Measured = run(Given, Load * 4);
      double Lowest = 1;
      for (const ClassResult &Counts : Measured.m_Classes)
        Lowest = std::min(Lowest, Load > 1 ? Counts.admittedShare() : Counts.offeredShare());
      m_Report.add({"requests.within_target.entries40.load" + text(Load) + ".lowest_class",
                    Lowest,
                    Load > 1 ? "share_of_admitted" : "share_of_offered",
                    Figure::Limit::AtLeast,
                    0.95,
                    {}});
      m_Report.add({"requests.goodput.entries40.load" + text(Load),
                    Measured.m_Goodput / m_Capacity / 4,
                    "share_of_capacity",
                    Figure::Limit::AtLeast,
                    0.9 * std::min(Load, 1.0),
                    {}});
    }
  }

  /// The counts take turns, so that all are measured at the same speed of a busy machine.
  void routeTimes() {
    constexpr int Rounds = 60;
    std::array<RouteTimer, 3> Timers{RouteTimer(10), RouteTimer(100), RouteTimer(910)};
    for (int Round = 0; Round < Rounds; ++Round)
      for (RouteTimer &Timer : Timers)
        Timer.measure();
    double Few = Timers[0].best();
    m_Report.add({"requests.route_us.n10", Few, "us", Figure::Limit::None, 0, {}});
    m_Report.add(
        {"requests.route_us.n100", Timers[1].best(), "us", Figure::Limit::AtMost, 3 * Few, {}});
    m_Report.add(
        {"requests.route_us.n910", Timers[2].best(), "us", Figure::Limit::AtMost, 3 * Few, {}});
  }
};

} // namespace

int main() {
  // Baselines without a budget break the rules on purpose.
  Invariant::setReporter([](std::string_view, std::string_view) {});
  Bench Run;
  Run.m_Report.add(
      {"requests.capacity", Run.m_RatePerLoad, "requests_per_s", Figure::Limit::None, 0, {}});
  Run.loads();
  Run.attempts();
  Run.fairness();
  Run.prefixHits();
  Run.recovery();
  Run.spillOver();
  Run.manyInstances();
  Run.routeTimes();
  return Run.m_Report.exitCode();
}
