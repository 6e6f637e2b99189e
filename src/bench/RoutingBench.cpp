#include "Fescuegauge/Figure.h"
#include "Fescuegauge/Invariant.h"
#include "TrafficSimulation.h"

#include <chrono>
#include <iostream>

using namespace fescuegauge;
using namespace fescuegauge::simulation;

namespace {

/// The product's policy and the baselines, which dispatch every request at once.
enum class Policy { Product, RoundRobin, LeastInFlight, NoAdmission };

constexpr std::array<std::pair<Policy, const char *>, 3> Baselines{
    {{Policy::RoundRobin, "round_robin"},
     {Policy::LeastInFlight, "least_in_flight"},
     {Policy::NoAdmission, "no_admission"}}};

Options optionsFor(Policy Used) {
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

/// Throughput of saturated upstreams with the product's placement, in slot seconds per second.
/// Loads are multiples of it.
double measuredCapacity(const Options &Given) {
  Options Saturated = Given;
  Saturated.m_ClosedLoop = Given.m_Upstreams * Given.m_Slots * 3 / 2;
  Saturated.m_UseScheduler = false;
  Saturated.m_Hedge = false;
  return Simulation(Saturated).run().m_Throughput;
}

double meanWork() {
  Simulation Any{Options()};
  std::vector<TrafficClass> Classes = standardClasses();
  double Mean = 0;
  for (std::size_t I = 0; I < Classes.size(); ++I)
    Mean += Classes[I].m_Share * Any.workOf(I);
  return Mean;
}

/// Measures the time of one selection and release with a given number of upstreams.
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

  /// Measures a series of selections. The load reports before it are not timed.
  void measure() {
    constexpr std::size_t MaxInFlight = 40;
    constexpr std::uint64_t Selections = 500;
    for (std::uint32_t I = 0; I < m_Count; ++I) {
      LoadReport Report;
      Report.m_Upstream = InstanceId("runner-" + std::to_string(I));
      Report.m_Running = 40;
      m_Router->onLoadReport(Report, m_Now);
    }
    std::vector<RequestDescription> Requests;
    for (std::uint64_t I = 0; I < Selections; ++I)
      Requests.push_back(makeRequest());
    auto Begin = std::chrono::steady_clock::now();
    for (RequestDescription &Request : Requests) {
      // 500 requests per second; an entry instance of the largest deployment sends 20.
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
    m_MinMeanMicroseconds =
        std::min(m_MinMeanMicroseconds, Spent.count() / static_cast<double>(Selections));
  }

  /// The minimum over all series of the mean time per selection, in microseconds.
  double minMeanMicroseconds() const { return m_MinMeanMicroseconds; }

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
  double m_MinMeanMicroseconds = 1e9;
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

  void measureLoads() {
    std::vector<TrafficClass> Classes = standardClasses();
    for (double Load : {0.5, 0.9, 1.2, 3.0}) {
      Result Own = run(optionsFor(Policy::Product), Load);
      std::vector<Result> Others;
      for (const auto &[Used, Name] : Baselines)
        Others.push_back(run(optionsFor(Used), Load));
      // Up to capacity the share is of all offered requests. Above it some have to be refused, so
      // the bounds are on admitted requests answered in time and on goodput.
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

  /// Attempts per request with lost upstreams and failing attempts, below and above capacity.
  void measureAttempts() {
    double Worst = 0;
    double WithoutBudget = 0;
    for (double Load : {0.5, 0.9, 3.0}) {
      Options Given;
      Given.m_AttemptFailure = 0.1;
      Given.m_Faults = {{Fault::Kind::Crash, 12s, 0, 8s}, {Fault::Kind::Freeze, 20s, 1, 4s}};
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

  /// Max-min fair shares: capacity is divided equally, and what an account leaves unused goes to
  /// the others.
  static std::vector<double> maxMinFairShares(const std::vector<double> &Demand, double Capacity) {
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

  static double jainIndex(const Result &Measured) {
    double Served = 0;
    for (double Work : Measured.m_AccountWork)
      Served += Work;
    std::vector<double> Shares = maxMinFairShares(Measured.m_AccountDemand, Served);
    double Sum = 0;
    double Squares = 0;
    for (std::size_t I = 0; I < Shares.size(); ++I) {
      double Ratio = Measured.m_AccountWork[I] / Shares[I];
      Sum += Ratio;
      Squares += Ratio * Ratio;
    }
    return Sum * Sum / (Squares * static_cast<double>(Shares.size()));
  }

  void measureFairness() {
    auto Measure = [&](Options Given) {
      // Two large, two medium and six small accounts at twice the capacity.
      Given.m_Accounts = {10, 10, 4, 4, 1, 1, 1, 1, 1, 1};
      return jainIndex(run(std::move(Given), 2.0));
    };
    Options OneQueue;
    OneQueue.m_Scheduler.m_Queue.m_ShareByAccount = false;
    m_Report.add({"requests.fairness_jain",
                  Measure(optionsFor(Policy::Product)),
                  "index",
                  Figure::Limit::AtLeast,
                  0.95,
                  {{"one_queue", Measure(OneQueue)},
                   {"round_robin", Measure(optionsFor(Policy::RoundRobin))},
                   {"least_in_flight", Measure(optionsFor(Policy::LeastInFlight))},
                   {"no_admission", Measure(optionsFor(Policy::NoAdmission))}}});
  }

  void measurePrefixHits() {
    auto Measure = [&](Placement Used) {
      Options Given;
      Given.m_Placement = Used;
      return run(Given, 0.9).prefixHitShare();
    };
    double Random = Measure(Placement::Random);
    double LeastInFlight = Measure(Placement::LeastInFlight);
    // A quarter of each prompt is unique, so the hit share is at most about 0.75.
    m_Report.add({"requests.prefix_hit_share",
                  Measure(Placement::Router),
                  "share",
                  Figure::Limit::AtLeast,
                  std::max(Random, LeastInFlight),
                  {{"random", Random}, {"least_in_flight", LeastInFlight}}});
  }

  struct Recovery {
    /// Seconds from the end of the overload until goodput has recovered and stays so.
    double m_Time = 0;
    /// Share of the requests arriving later than 5 s after the overload whose first submission is
    /// answered within target.
    double m_FirstSubmissionShare = 0;
  };

  /// Runs an overload of 15 s. Goodput has recovered when the work answered within target is 0.9 of
  /// the demand of new callers; retries of callers refused before come in addition.
  Recovery measureRecovery(Options Given) const {
    static constexpr Duration OverloadFrom = 10s;
    static constexpr Duration OverloadTo = 25s;
    static constexpr double Base = 0.7;
    constexpr double RecoveredShare = 0.9;
    // Goodput is averaged over 2 s, since the work arriving in shorter intervals varies by a tenth.
    constexpr std::size_t AveragedBins = 4;
    Given.m_Length = 60s;
    Given.m_WarmUp = 0s;
    Given.m_EarlyRetryShare = 0.5;
    Given.m_Rate = [Rate = m_RatePerLoad](Duration Now) {
      return (Now >= OverloadFrom && Now < OverloadTo ? 3.0 : Base) * Rate;
    };
    Result Measured = Simulation(Given).run();
    Recovery Found;
    std::uint64_t Offered = 0;
    std::uint64_t Within = 0;
    for (std::size_t I = static_cast<std::size_t>(OverloadTo / Simulation::Bin);
         Simulation::Bin * (I + AveragedBins) <= Given.m_Length; ++I) {
      double Goodput = 0;
      for (std::size_t J = I; J < I + AveragedBins; ++J)
        Goodput += Measured.m_BinGoodput[J] / static_cast<double>(AveragedBins);
      if (Goodput < RecoveredShare * Base * m_Capacity)
        Found.m_Time = toSeconds(Simulation::Bin * (I + 1) - OverloadTo);
      if (Simulation::Bin * I >= OverloadTo + 5s) {
        Offered += Measured.m_Bins[I].first;
        Within += Measured.m_Bins[I].second;
      }
    }
    Found.m_FirstSubmissionShare = static_cast<double>(Within) / static_cast<double>(Offered);
    return Found;
  }

  void measureRecoveryTime() {
    Recovery Own = measureRecovery(optionsFor(Policy::Product));
    Figure Time{"requests.recovery_s", Own.m_Time, "s", Figure::Limit::AtMost, 5, {}};
    Figure FirstSubmission{"requests.first_ask_within_target.after_overload",
                           Own.m_FirstSubmissionShare,
                           "share_of_offered",
                           Figure::Limit::None,
                           0,
                           {}};
    for (const auto &[Used, Name] : Baselines) {
      Recovery Other = measureRecovery(optionsFor(Used));
      Time.m_Baselines.emplace_back(Name, Other.m_Time);
      FirstSubmission.m_Baselines.emplace_back(Name, Other.m_FirstSubmissionShare);
    }
    m_Report.add(Time);
    m_Report.add(FirstSubmission);
  }

  /// Most of the traffic arrives in one region, whose link to the others is limited.
  void measureSpillOver() {
    auto Measure = [&](double BytesEachSecond) {
      Options Given;
      Given.m_Regions = 3;
      Given.m_Entries = 9;
      Given.m_Upstreams = 12;
      Given.m_HotRegionShare = 0.6;
      Given.m_SpillRate = BytesPerSecond(BytesEachSecond);
      // Load 0.7 of twelve upstreams is 1.26 times the capacity of the four in the busy region.
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

  /// Many entry instances, each of which receives a small part of the traffic.
  void measureManyInstances() {
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

  /// Measurements with different numbers of upstreams alternate, so that load on the machine
  /// affects all of them alike.
  void measureRouteTimes() {
    constexpr int Rounds = 60;
    std::array<RouteTimer, 3> Timers{RouteTimer(10), RouteTimer(100), RouteTimer(910)};
    for (int Round = 0; Round < Rounds; ++Round)
      for (RouteTimer &Timer : Timers)
        Timer.measure();
    double Few = Timers[0].minMeanMicroseconds();
    m_Report.add({"requests.route_us.n10", Few, "us", Figure::Limit::None, 0, {}});
    m_Report.add({"requests.route_us.n100",
                  Timers[1].minMeanMicroseconds(),
                  "us",
                  Figure::Limit::AtMost,
                  3 * Few,
                  {}});
    m_Report.add({"requests.route_us.n910",
                  Timers[2].minMeanMicroseconds(),
                  "us",
                  Figure::Limit::AtMost,
                  3 * Few,
                  {}});
  }
};

} // namespace

int main() {
  // Baselines without a budget violate invariants by design.
  Invariant::setReporter([](std::string_view, std::string_view) {});
  Bench Run;
  Run.m_Report.add(
      {"requests.capacity", Run.m_RatePerLoad, "requests_per_s", Figure::Limit::None, 0, {}});
  Run.measureLoads();
  Run.measureAttempts();
  Run.measureFairness();
  Run.measurePrefixHits();
  Run.measureRecoveryTime();
  Run.measureSpillOver();
  Run.measureManyInstances();
  Run.measureRouteTimes();
  return Run.m_Report.exitCode();
}
