#ifndef FESCUEGAUGE_LIBDISPATCH_RATEREPLAY_H
#define FESCUEGAUGE_LIBDISPATCH_RATEREPLAY_H

#include "Fescuegauge/DemandMeter.h"
#include "Fescuegauge/LoadBalancer.h"
#include "Fescuegauge/PeerTable.h"
#include "Fescuegauge/Random.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescuegauge {

struct RateReplayOptions {
  std::size_t m_Instances = 8;
  std::size_t m_DataCentres = 3;
  std::size_t m_Upstreams = 12;
  /// Upstreams that name a rate, one in each data centre in turn.
  std::size_t m_Naming = 2;
  RequestRate m_Rate{1.3};
  /// Requests of clients, as a multiple of the capacity of the upstreams that name no rate.
  double m_Load = 1.3;
  /// Loss rate and longest delay of the datagrams between instances.
  double m_Loss = 0.02;
  Duration m_LongestDelay = std::chrono::milliseconds(60);
  /// Longest time in transit of a request to an upstream.
  Duration m_LongestTransit = std::chrono::milliseconds(5);
  /// Cuts off the first data centre from the others for CutLength in the middle of the replay.
  bool m_Cut = false;
  /// Instances that are restarted one after the other, and lose their state.
  std::size_t m_Restarts = 0;
  /// Instances of the first data centre that stop when the bound begins to apply: they accept no
  /// more requests, and send reports until the end.
  std::size_t m_Stopping = 0;
  /// Share of the instances that get a fiftieth of the requests of others.
  double m_IdleShare = 0;
  std::uint64_t m_Seed = 1;
};

/// Simulates entry instances, each with its own load balancer, that send requests to upstreams of
/// which some name a rate, in virtual time. The demand exceeds the capacity of the upstreams, and
/// some instances get several times the requests of others.
class RateReplay {
public:
  static constexpr TimePoint NamedAt = TimePoint(std::chrono::seconds(4));
  static constexpr TimePoint End = TimePoint(std::chrono::seconds(20));
  /// The bound applies from this time after the rate is first named.
  static constexpr Duration SettleTime = std::chrono::seconds(3);
  /// The bound: in any window of this length at most Excess times the rate, plus Allowance.
  static constexpr Duration Window = std::chrono::seconds(4);
  static constexpr double Excess = 1.5;
  static constexpr double Allowance = 5;
  /// Requests of an instance count from this time after it got an answer with the rate.
  static constexpr Duration KnownAfter = std::chrono::milliseconds(500);
  static constexpr Duration CutLength = std::chrono::seconds(4);
  /// Share of the rate that the upstreams must get while the demand is higher.
  static constexpr double LeastUse = 0.7;
  /// Requests of an instance do not count for this long after a cut or its restart.
  static constexpr Duration ExcuseTime = std::chrono::seconds(3);

  explicit RateReplay(const RateReplayOptions &Given)
      : m_Options(Given), m_Random(Given.m_Seed), m_Arrivals(Given.m_Upstreams) {
    const double Slots = std::max(8.0, std::ceil(3 * Given.m_Rate.perSecond() * MeanService));
    for (std::size_t I = 0; I < Given.m_Upstreams; ++I) {
      UpstreamRecord Record;
      Record.m_Id = InstanceId("u" + std::to_string(I));
      Record.m_Address = {"10.1.0." + std::to_string(I), 80};
      Record.m_DataCentre = dataCentre(I);
      Record.m_Region = RegionId(Record.m_DataCentre.str());
      Record.m_Service = ServiceId("service");
      Record.m_Slots = static_cast<std::uint32_t>(Slots);
      m_Records.push_back(Record);
    }
    m_RequestsPerSecond = Given.m_Load * Slots / MeanService *
                          static_cast<double>(Given.m_Upstreams - Given.m_Naming);
    double Sum = 0;
    for (std::size_t I = 0; I < Given.m_Instances; ++I) {
      Instance &New = m_Instances.emplace_back();
      New.m_Address = {"10.0." + std::to_string(I / 200) + "." + std::to_string(I % 200), 7700};
      New.m_DataCentre = dataCentre(I);
      const double Weight = 0.5 + uniformUnit(m_Random);
      Sum += chance(m_Random, Given.m_IdleShare) ? Weight / 50 : Weight;
      m_CumulativeWeights.push_back(Sum);
    }
    for (Instance &Each : m_Instances) {
      start(Each);
      schedule(randomUpTo(LocalInterval), [this, &Each] { report(Each); });
    }
    for (std::size_t I = 0; I < Given.m_Restarts; ++I)
      schedule(NamedAt - m_Now + SettleTime + I * std::chrono::milliseconds(700), [this] {
        Instance &Restarted = m_Instances[m_Random() % m_Instances.size()];
        Restarted.m_ExcusedUntil = m_Now + ExcuseTime;
        start(Restarted);
      });
    for (std::size_t I = 0; I < Given.m_Stopping; ++I)
      schedule(NamedAt - m_Now + SettleTime,
               [&Each = m_Instances.at(I * Given.m_DataCentres)] { Each.m_IsStopping = true; });
    for (Instance &Each : m_Instances)
      if (Given.m_Cut && Each.m_DataCentre == dataCentre(0))
        Each.m_ExcusedUntil = std::max(Each.m_ExcusedUntil, CutAt + CutLength + ExcuseTime);
  }

  void run() {
    constexpr Duration Step = std::chrono::milliseconds(1);
    constexpr Duration DispatchInterval = std::chrono::milliseconds(25);
    TimePoint NextDispatchAt;
    for (double Due = 0; m_Now < End; m_Now += Step) {
      while (!m_ScheduledActions.empty() && m_ScheduledActions.begin()->first <= m_Now) {
        const std::function<void()> Action = std::move(m_ScheduledActions.begin()->second);
        m_ScheduledActions.erase(m_ScheduledActions.begin());
        Action();
      }
      for (Due += m_RequestsPerSecond * toSeconds(Step); Due >= 1; --Due)
        onArrival();
      if (m_Now >= NextDispatchAt) {
        for (Instance &Each : m_Instances)
          dispatchWaiting(Each);
        NextDispatchAt = m_Now + DispatchInterval;
      }
    }
  }

  /// The largest number of requests in any window as a share of the bound, for the upstream where
  /// it is highest. At most 1 if the bound is kept.
  double worstShareOfBound() const { return worstShareOfBound(Selection::Counted); }
  /// The same for all requests, including those of instances that had no answer with the rate or
  /// are excused.
  double worstShareOfBoundOfAll() const { return worstShareOfBound(Selection::All); }
  /// The used share of the rate while the bound applied, for the upstream where it is lowest.
  double leastUse() const {
    double Lowest = 1e9;
    const TimePoint From = NamedAt + SettleTime;
    for (std::size_t I = 0; I < m_Options.m_Naming; ++I)
      Lowest = std::min(Lowest, static_cast<double>(arrivalTimes(I, From).size()) /
                                    (m_Options.m_Rate.perSecond() * toSeconds(End - From)));
    return Lowest;
  }
  /// The time from the first naming until all later windows are within the bound, counting all
  /// requests; nothing if the last window is not.
  std::optional<Duration> timeToBound() const {
    Duration Longest{0};
    for (std::size_t I = 0; I < m_Options.m_Naming; ++I) {
      const std::vector<TimePoint> Times = arrivalTimes(I, NamedAt);
      for (std::size_t First = 0; First < Times.size(); ++First) {
        const auto Last = std::upper_bound(Times.begin(), Times.end(), Times[First] + Window);
        if (static_cast<double>(Last - Times.begin()) - static_cast<double>(First) <=
            allowedRequests())
          continue;
        Longest = std::max(Longest, Times[First] - NamedAt);
        if (Times[First] + Window > End)
          return std::nullopt;
      }
    }
    return Longest;
  }

  /// The rate of requests at upstreams that name no rate while the bound applied, as a multiple of
  /// that before the naming. About 1 if the rates of some upstreams cost nothing at the others.
  double useOfOthers() const {
    double Before = 0;
    double After = 0;
    const TimePoint Loaded(std::chrono::seconds(2));
    for (std::size_t I = m_Options.m_Naming; I < m_Options.m_Upstreams; ++I)
      for (const Arrival &Each : m_Arrivals[I]) {
        if (Each.m_At >= Loaded && Each.m_At < NamedAt)
          ++Before;
        else if (Each.m_At >= NamedAt + SettleTime)
          ++After;
      }
    return After / toSeconds(End - NamedAt - SettleTime) / (Before / toSeconds(NamedAt - Loaded));
  }

private:
  /// Mean service time of a request at an upstream, in seconds.
  static constexpr double MeanService = 0.6;
  static constexpr Duration LongestWait = std::chrono::milliseconds(120);
  static constexpr Duration LocalInterval = std::chrono::milliseconds(100);
  static constexpr Duration LocalRoundTime = std::chrono::milliseconds(500);
  static constexpr Duration RemoteInterval = std::chrono::milliseconds(400);
  static constexpr std::size_t MaxLocalPeers = 16;
  static constexpr std::size_t MaxRemotePeers = 8;
  static constexpr TimePoint CutAt = NamedAt + std::chrono::seconds(4);

  struct Instance {
    Endpoint m_Address;
    DataCentreId m_DataCentre;
    std::optional<LoadBalancer> m_LoadBalancer;
    std::optional<PeerTable> m_Peers;
    std::deque<TimePoint> m_Queue;
    DemandMeter m_Demand;
    /// Increases with each restart; events of earlier generations are ignored.
    int m_Generation = 0;
    TimePoint m_ExcusedUntil;
    std::size_t m_NextLocalPeer = 0;
    std::size_t m_NextRemotePeer = 0;
    TimePoint m_RemoteSentAt;
    bool m_IsStopping = false;
    /// When this instance first got an answer with the rate of each upstream.
    std::map<std::size_t, TimePoint> m_RateNamedAt;
  };
  struct Arrival {
    TimePoint m_At;
    /// Counts for the bound: the instance had got an answer with the rate and is not excused.
    bool m_IsCounted = false;
  };
  enum class Selection { Counted, All };

  DataCentreId dataCentre(std::size_t Index) const {
    return DataCentreId("dc" + std::to_string(Index % m_Options.m_DataCentres));
  }
  Duration randomUpTo(Duration Most) {
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(Most.count()) * uniformUnit(m_Random)));
  }
  void schedule(Duration Wait, std::function<void()> Action) {
    m_ScheduledActions.emplace(m_Now + Wait, std::move(Action));
  }
  double allowedRequests() const {
    return Excess * toSeconds(Window) * m_Options.m_Rate.perSecond() + Allowance;
  }

  void start(Instance &New) {
    LoadBalancerOptions Options;
    Options.m_DataCentre = New.m_DataCentre;
    Options.m_Region = RegionId(New.m_DataCentre.str());
    New.m_LoadBalancer.emplace(Options, m_Random());
    New.m_LoadBalancer->setUpstreams(m_Records);
    // The platform's instance list contains all instances.
    New.m_Peers.emplace(New.m_DataCentre);
    for (const Instance &Each : m_Instances)
      if (&Each != &New)
        New.m_Peers->onListed(Each.m_Address, Each.m_DataCentre, m_Now);
    New.m_RateNamedAt.clear();
    New.m_Queue.clear();
    New.m_Demand = {};
    ++New.m_Generation;
  }

  bool isCut(const DataCentreId &From, const DataCentreId &To) const {
    return m_Options.m_Cut && m_Now >= CutAt && m_Now < CutAt + CutLength && From != To &&
           (From == dataCentre(0) || To == dataCentre(0));
  }

  /// Sends a report to some of the other instances, as PeerReportExchange does.
  void report(Instance &From) {
    const auto RemoteRounds = static_cast<int>(m_Instances.size() / MaxRemotePeers + 1);
    if (From.m_IsStopping)
      From.m_LoadBalancer->rates().releaseParts();
    else
      From.m_LoadBalancer->rates().setInstances(
          {From.m_Address, From.m_DataCentre, From.m_Demand.rate(m_Now)},
          From.m_Peers->live({LocalRoundTime, RemoteRounds * RemoteInterval}, m_Now));
    std::vector<Instance *> LocalPeers;
    std::vector<Instance *> RemotePeers;
    for (Instance &Each : m_Instances)
      if (&Each != &From)
        (Each.m_DataCentre == From.m_DataCentre ? LocalPeers : RemotePeers).push_back(&Each);
    sendReportsRoundRobin(From, LocalPeers, From.m_NextLocalPeer, MaxLocalPeers);
    if (m_Now - From.m_RemoteSentAt >= RemoteInterval) {
      From.m_RemoteSentAt = m_Now;
      sendReportsRoundRobin(From, RemotePeers, From.m_NextRemotePeer, MaxRemotePeers);
    }
    schedule(LocalInterval, [this, &From] { report(From); });
  }
  void sendReportsRoundRobin(Instance &From, const std::vector<Instance *> &To, std::size_t &Start,
                             std::size_t Most) {
    const std::size_t Count = std::min(To.size(), Most);
    for (std::size_t I = 0; I < Count; ++I)
      sendReport(From, *To[(Start + I) % To.size()]);
    Start = To.empty() ? 0 : (Start + Count) % To.size();
  }
  void sendReport(Instance &From, Instance &To) {
    if (chance(m_Random, m_Options.m_Loss) || isCut(From.m_DataCentre, To.m_DataCentre))
      return;
    schedule(
        randomUpTo(m_Options.m_LongestDelay),
        [this, &From, &To, Demand = From.m_Demand.rate(m_Now), IsStopping = From.m_IsStopping,
         Use = From.m_LoadBalancer->ownUsage(),
         Rates = From.m_LoadBalancer->rates().statements().updateForPeers(m_Now)] {
          To.m_Peers->onPeerMessage({From.m_Address, From.m_DataCentre, Demand}, IsStopping, m_Now);
          To.m_LoadBalancer->onPeerReport(InstanceId(From.m_Address.m_Host), Use, m_Now);
          for (const RateStatement &Each : Rates)
            To.m_LoadBalancer->rates().onPeerUpdate(Each, m_Now);
        });
  }

  void onArrival() {
    const double At = uniformUnit(m_Random) * m_CumulativeWeights.back();
    const auto Index = static_cast<std::size_t>(
        std::upper_bound(m_CumulativeWeights.begin(), m_CumulativeWeights.end(), At) -
        m_CumulativeWeights.begin());
    if (m_Instances[Index].m_IsStopping)
      return onArrival();
    m_Instances[Index].m_Demand.onRequest(m_Now);
    m_Instances[Index].m_Queue.push_back(m_Now);
    dispatchWaiting(m_Instances[Index]);
  }
  void dispatchWaiting(Instance &At) {
    while (!At.m_Queue.empty() && m_Now - At.m_Queue.front() > LongestWait)
      At.m_Queue.pop_front();
    while (!At.m_Queue.empty() && dispatch(At))
      At.m_Queue.pop_front();
  }
  bool dispatch(Instance &From) {
    PlacementRequest Wanted;
    Wanted.m_Service = ServiceId("service");
    const Placement Found = From.m_LoadBalancer->place(Wanted, m_Now);
    if (Found.m_Verdict != PlacementVerdict::Placed)
      return false;
    const auto To = static_cast<std::size_t>(std::stoul(Found.m_Upstream.m_Id.str().substr(1)));
    if (To < m_Options.m_Naming && isCut(From.m_DataCentre, Found.m_Upstream.m_DataCentre))
      return false;
    From.m_LoadBalancer->rates().takePermit(Found.m_Upstream.start(), Found.m_Upstream.m_DataCentre,
                                            m_Now);
    From.m_LoadBalancer->onDispatched(Found.m_Upstream.m_Id, 0, m_Now);
    schedule(randomUpTo(m_Options.m_LongestTransit),
             [this, &From, To, SentAt = m_Now, Generation = From.m_Generation] {
               serve(From, To, SentAt, Generation);
             });
    return true;
  }
  /// Handles a request that arrives at an upstream.
  void serve(Instance &From, std::size_t To, TimePoint SentAt, int Generation) {
    const auto FirstNamed = From.m_RateNamedAt.find(To);
    const bool IsCounted = FirstNamed != From.m_RateNamedAt.end() &&
                           m_Now - FirstNamed->second >= KnownAfter && m_Now >= From.m_ExcusedUntil;
    m_Arrivals[To].push_back({m_Now, IsCounted});
    const Duration Service =
        std::chrono::milliseconds(300) + randomUpTo(std::chrono::milliseconds(600));
    schedule(Service, [this, &From, To, SentAt, Generation] {
      if (From.m_Generation != Generation)
        return;
      const bool Named = To < m_Options.m_Naming && m_Now >= NamedAt;
      From.m_LoadBalancer->rates().onAnswer(m_Records[To].start(),
                                            Named ? std::optional(m_Options.m_Rate) : std::nullopt,
                                            SentAt, m_Now);
      if (Named)
        From.m_RateNamedAt.try_emplace(To, m_Now);
      From.m_LoadBalancer->onProgress(m_Records[To].m_Id, m_Now);
      From.m_LoadBalancer->onEnded(m_Records[To].m_Id, DispatchResult::Answered, 0, m_Now);
      dispatchWaiting(From);
    });
  }

  /// The times from `From` on at which requests arrived at an upstream.
  std::vector<TimePoint> arrivalTimes(std::size_t Of, TimePoint From,
                                      Selection Wanted = Selection::All) const {
    std::vector<TimePoint> Result;
    for (const Arrival &Each : m_Arrivals[Of])
      if (Each.m_At >= From && (Wanted == Selection::All || Each.m_IsCounted))
        Result.push_back(Each.m_At);
    return Result;
  }
  double worstShareOfBound(Selection Wanted) const {
    double Worst = 0;
    for (std::size_t I = 0; I < m_Options.m_Naming; ++I)
      Worst = std::max(Worst, maxInWindow(arrivalTimes(I, NamedAt + SettleTime, Wanted)) /
                                  allowedRequests());
    return Worst;
  }
  static double maxInWindow(const std::vector<TimePoint> &Times) {
    std::size_t Most = 0;
    for (std::size_t First = 0, Last = 0; First < Times.size(); ++First) {
      while (Last < Times.size() && Times[Last] <= Times[First] + Window)
        ++Last;
      Most = std::max(Most, Last - First);
    }
    return static_cast<double>(Most);
  }

  RateReplayOptions m_Options;
  RandomGenerator m_Random;
  TimePoint m_Now;
  double m_RequestsPerSecond = 0;
  std::vector<UpstreamRecord> m_Records;
  std::deque<Instance> m_Instances;
  /// Cumulative weights by which requests are distributed to the instances.
  std::vector<double> m_CumulativeWeights;
  std::multimap<TimePoint, std::function<void()>> m_ScheduledActions;
  std::vector<std::vector<Arrival>> m_Arrivals;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBDISPATCH_RATEREPLAY_H
