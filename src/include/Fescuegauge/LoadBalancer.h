#ifndef FESCUEGAUGE_LOADBALANCER_H
#define FESCUEGAUGE_LOADBALANCER_H

#include "Fescuegauge/Evacuations.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/RankReservation.h"
#include "Fescuegauge/RoutingPlan.h"
#include "Fescuegauge/SharedRates.h"
#include "Fescuegauge/Units.h"
#include "Fescuegauge/UpstreamStatements.h"
#include "Fescuegauge/WeightsDeadlines.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace fescuegauge {

/// The weights of one model of which an upstream holds all layers.
struct HeldWeights {
  ModelId m_Model;
  WeightsVersion m_Version;

  auto operator<=>(const HeldWeights &) const = default;
};

/// One upstream as listed by the platform.
struct UpstreamRecord {
  InstanceId m_Id;
  /// Distinguishes starts of an upstream that keeps its id: it increases with each of them.
  Incarnation m_Incarnation;
  Endpoint m_Address;
  DataCentreId m_DataCentre;
  RegionId m_Region;
  ServiceId m_Service;
  /// Requests that it executes concurrently.
  std::uint32_t m_Slots = 1;
  bool m_IsLeaving = false;
  std::vector<HeldWeights> m_Weights;
  /// Nothing if its entry does not state whether it is cold.
  std::optional<ColdStatement> m_Cold;

  UpstreamStart start() const { return {m_Id, m_Incarnation}; }
  /// 0 if it holds no weights of this model.
  WeightsVersion heldVersion(const ModelId &Model) const;
  auto operator<=>(const UpstreamRecord &) const = default;
};

/// What one entry instance uses of an upstream.
struct UpstreamUsage {
  /// Requests in flight.
  std::uint32_t m_Requests = 0;
  /// Prompt tokens of those without a first event: the engine has not yet read them.
  std::uint32_t m_UnreadTokens = 0;

  auto operator<=>(const UpstreamUsage &) const = default;
};

/// Usage by upstream of one entry instance; upstreams that it does not use are left out.
using UsageByUpstream = std::map<InstanceId, UpstreamUsage>;

/// Notice that an upstream is about to load weights, or has finished if no time is left.
struct LoadNotice {
  Endpoint m_Upstream;
  Duration m_TimeLeft{};

  bool operator==(const LoadNotice &) const = default;
};

/// Requirements of a request on the upstream.
struct PlacementRequest {
  ServiceId m_Service;
  /// Empty if the request needs no model.
  ModelId m_Model;
  /// Only an upstream with exactly this version; if not set, any version in force is allowed.
  std::optional<WeightsVersion> m_Version;
  /// Upstreams to which the request was sent before.
  std::vector<InstanceId> m_Tried;
  /// Tokens that an engine reads before the first event; 0 if unknown, or for a plain service.
  std::uint32_t m_PromptTokens = 0;
  /// Only upstreams in these regions.
  RegionRestriction m_Regions{};
};

enum class PlacementVerdict {
  Placed,
  /// Upstreams are usable, but none has a free slot.
  AllFull,
  /// No upstream is known that is usable now.
  NoneUsable,
  /// The service has upstreams, but none in the regions where the request may be served.
  NoneInRegions,
};

struct Placement {
  PlacementVerdict m_Verdict = PlacementVerdict::NoneUsable;
  UpstreamRecord m_Upstream;
  /// Requests known to be in flight there before this one; for the log.
  std::uint32_t m_InFlight = 0;
  /// The permits that were taken for the request; see SharedRates.
  HeldPermits m_Permits;
  /// With AllFull: if upstreams lack only permits, when the next one is due, or TimePoint::max() if
  /// none will be. Not set if another slot may become free at any time.
  std::optional<TimePoint> m_NextPermit;
  /// With AllFull: the free slots are reserved for more urgent requests; see RankReservation.
  bool m_IsReserved = false;
};

/// Result of a dispatch.
enum class DispatchResult {
  Answered,
  /// The upstream stated that it did not execute the request.
  Rejected,
  /// As Rejected, and the upstream stated for how long it accepts no requests; see
  /// onPauseRequested().
  Deferred,
  /// No connection could be opened, or the connection ended without a complete answer.
  Failed,
  /// The upstream was silent, and another one took the request over. Counts as a failure, but
  /// requests that stall together count once: the upstream may only have paused.
  Stalled,
  /// The client left or its deadline passed; says nothing about the upstream.
  Abandoned,
};

struct LoadBalancerOptions {
  DataCentreId m_DataCentre;
  RegionId m_Region;
  /// Requests in flight at an engine beyond its batch size. One queued request keeps the batch full
  /// when a request ends; more of them only delay the first event.
  double m_EngineOvercommit = 0;
  /// The same for plain services, which queue little.
  double m_PlainOvercommit = 4;
  /// Slots left free at upstreams of other data centres, because reports on their usage are older.
  double m_RemoteReserve = 2;
  /// Without them, requests to cold upstreams are not limited.
  std::optional<ColdBounds> m_ColdBounds;
};

/// Tracks the state of the upstreams at one entry instance and selects an upstream for each
/// request.
///
/// Meant for demand above capacity at several entry instances that decide independently. Each
/// counts its own requests in flight and adds the last reports of the others, so that the total
/// stays near the batch size at each upstream. Upstreams of the local data centre are preferred. An
/// upstream that rejects, fails or is silent is skipped for a time that doubles, so that one that
/// rejects at once does not attract requests because it looks idle.
///
/// Also meant for many slots that become free at the same moment, as after a load of weights or a
/// restart. An engine reads all new prompts within one pass of its batch, and all its running
/// streams stall meanwhile, so a batch that is filled at once is late as a whole. The prompt tokens
/// that an engine has yet to read are therefore bounded as well.
class LoadBalancer {
public:
  /// First and longest time for which an upstream is skipped after it rejected a request or failed.
  /// A rejecting engine is usually about to load weights, which takes a few hundred milliseconds.
  static constexpr Duration RejectionPause = std::chrono::milliseconds(150);
  static constexpr Duration MaxRejectionPause = std::chrono::milliseconds(1200);
  static constexpr Duration FailurePause = std::chrono::milliseconds(800);
  static constexpr Duration MaxFailurePause = std::chrono::seconds(5);
  /// An upstream with requests in flight that sent nothing for this long is skipped until it sends
  /// again. A pass of a full batch with prompts takes about 200 ms.
  static constexpr Duration SilenceLimit = std::chrono::milliseconds(700);
  /// A report of another entry instance expires after this time.
  static constexpr Duration PeerReportLifetime = std::chrono::milliseconds(1500);
  /// An upstream whose shortest event gap exceeds the minimum of its service by more than this
  /// factor gets proportionally fewer requests.
  static constexpr double SlowFactor = 1.6;
  /// The shortest event gap is taken over the last one to two windows of this length. Passes
  /// without a prompt occur several times per second at a full batch, and show the engine's own
  /// pace.
  static constexpr Duration GapWindow = std::chrono::seconds(1);
  /// The expected time until an engine starts a request is the mean and this many mean deviations.
  /// About one in ten requests waits longer and is withdrawn if necessary. A higher factor would
  /// refuse many that would have started in time.
  static constexpr int DeviationFactor = 2;
  /// A new sample contributes 1 / MeanSamples to the mean and 1 / DeviationSamples to the mean
  /// deviation.
  static constexpr int MeanSamples = 8;
  static constexpr int DeviationSamples = 4;
  /// Samples of one upstream expire this long after the last one.
  static constexpr Duration StartWaitLifetime = std::chrono::seconds(5);
  /// Expected wait at an upstream without samples: requests take up to 1.7 s in transit over a
  /// saturated link, and some more in a queue.
  static constexpr Duration DefaultStartWait = std::chrono::milliseconds(2500);
  /// Upper limit for samples: a request that reaches its deadline at an engine that is cut off says
  /// nothing about the queues of the others.
  static constexpr Duration MaxStartWait = std::chrono::seconds(4);
  /// Share of the target latency in which an engine should finish the pass that is running when a
  /// request arrives, and the one in which it reads the prompt. DispatchQueue may use the rest.
  static constexpr double PrefillShare = 0.7;
  /// Limit on the leaving upstreams in one message to another instance, so that the message stays
  /// below 4 kB.
  static constexpr std::size_t MaxLeavingPerMessage = 128;
  /// A notice that an upstream is loading is ignored while the end that it names is further away
  /// than this.
  static constexpr Duration MaxLoadDuration = std::chrono::seconds(6);

  LoadBalancer(LoadBalancerOptions Options, std::uint64_t Seed)
      : m_Options(std::move(Options)), m_Random(Seed), m_Rates(m_Options.m_ColdBounds) {}

  /// Replaces the list. An upstream that restarted under its id counts as a new one.
  void setUpstreams(std::span<const UpstreamRecord> Listed);
  /// Requests for `Model` go only to upstreams that hold at least this version.
  void setMinVersion(const ModelId &Model, WeightsVersion Version) {
    m_MinVersions[Model] = Version;
  }
  /// Requests for `Model` must not start on weights older than these versions after their bounds. A
  /// request that is expected to start later is not placed at such an upstream; see onStarted().
  void setWeightsBounds(const ModelId &Model, std::vector<WeightsBound> Bounds) {
    m_Bounds[Model] = std::move(Bounds);
  }
  /// The minimum version on which a request for `Model` may start at `At`; 0 if there is none.
  WeightsVersion minVersionAt(const ModelId &Model, TimePoint At) const;
  /// Takes the services with engines, and their parameters, from the plan.
  void setPlan(const RouteTable &Plan);

  Placement place(const PlacementRequest &Request, TimePoint Now);
  /// Whether a request that was placed at an upstream, but not sent yet, may still be sent there.
  /// The list, the statements of upstreams and the minimum versions may have changed since.
  bool canStillSend(const UpstreamRecord &Placed, const PlacementRequest &Request,
                    TimePoint Now) const;

  /// What is taken of the upstreams that can start the request now.
  EngineOccupancy occupancy(const PlacementRequest &Request, TimePoint Now) const;

  /// Records that a placed request is about to be sent.
  void onDispatched(const InstanceId &Upstream, std::uint32_t PromptTokens, TimePoint Now);
  /// Records that the engine has read the prompt of a request: its first event came.
  void onPromptRead(const InstanceId &Upstream, std::uint32_t PromptTokens);
  /// Records the end of a dispatch. `UnreadTokens` are those of its prompt if it had no event.
  void onEnded(const InstanceId &Upstream, DispatchResult Result, std::uint32_t UnreadTokens,
               TimePoint Now);
  /// Records how long after its sending an engine of the service started a request.
  void onStarted(const ServiceId &Service, const InstanceId &Upstream, Duration Wait,
                 TimePoint Now);
  /// Records that a request was abandoned that an engine of the service had not started after this
  /// time.
  void onStartAbandoned(const ServiceId &Service, const InstanceId &Upstream, Duration Wait,
                        TimePoint Now);
  /// Records that bytes of an answer arrived.
  void onProgress(const InstanceId &Upstream, TimePoint Now);
  /// Records the time between two events of a stream.
  void onEventGap(const InstanceId &Upstream, Duration Gap, TimePoint Now);
  /// Replaces the last report of another entry instance.
  void onPeerReport(const InstanceId &Peer, UsageByUpstream Usage, TimePoint Now);
  /// Whether the upstreams of a data centre can be reached. While they cannot, they count as
  /// silent.
  void setReachable(const DataCentreId &DataCentre, bool IsReachable);
  /// The listed upstreams of a data centre.
  std::vector<UpstreamRecord> upstreamsIn(const DataCentreId &DataCentre) const;
  /// The upstream at this address is about to load weights, and starts no request before `Until`.
  void onLoading(const Endpoint &Address, TimePoint Until);
  /// The upstream stated that it is leaving, to this or to another entry instance. Returns whether
  /// this was not known.
  bool onLeaving(const UpstreamStart &Upstream, TimePoint Now);
  /// The upstream accepts no requests from this instance for that time.
  void onPauseRequested(const UpstreamStart &Upstream, Duration Pause, TimePoint Now);
  /// Whether the upstream stated that it is leaving.
  bool isLeaving(const UpstreamStart &Upstream, TimePoint Now) const {
    return m_Statements.isLeaving(Upstream, Now);
  }
  bool isPaused(const UpstreamStart &Upstream, TimePoint Now) const {
    return m_Statements.isPaused(Upstream, Now);
  }
  /// For the other entry instances: listed upstreams that stated that they are leaving. They are
  /// reported as long as they are listed, because an instance that was frozen, cut off or restarted
  /// meanwhile must learn of it too.
  std::vector<UpstreamStart> leavingForPeers(TimePoint Now) const;

  /// Whether the upstreams of a data centre get requests; see Evacuations. They are treated as cold
  /// when they get requests again. Returns whether this changed.
  bool setEvacuated(const DataCentreId &DataCentre, bool IsEvacuated, TimePoint Now);
  const Evacuations &evacuations() const { return m_Evacuations; }
  /// Requests that this instance has in flight at the upstreams of a data centre.
  std::uint32_t requestsInFlight(const DataCentreId &DataCentre) const;

  /// The rates that upstreams name, and those of cold upstreams. A request is not placed at an
  /// upstream from which no permit is available.
  SharedRates &rates() { return m_Rates; }
  const SharedRates &rates() const { return m_Rates; }

  /// The usage of this instance, for the other entry instances.
  UsageByUpstream ownUsage() const;
  /// Whether the upstream has requests in flight and sent nothing for SilenceLimit, or cannot be
  /// reached.
  bool isSilent(const InstanceId &Upstream, TimePoint Now) const;

  /// Null if the upstream is not listed.
  const UpstreamRecord *find(const InstanceId &Upstream) const;

  std::size_t size() const { return m_Upstreams.size(); }

private:
  /// The shortest gap between the events of an upstream's streams. A mean would measure how many
  /// prompts it reads rather than how fast it is.
  class WindowedMinimum {
  public:
    void add(Duration Gap, TimePoint Now);
    /// Nothing while unknown.
    std::optional<Duration> value() const;

  private:
    TimePoint m_WindowEnd;
    std::optional<Duration> m_CurrentMinimum;
    std::optional<Duration> m_PreviousMinimum;
  };
  /// Estimates the time until an engine starts a request, as TCP estimates round-trip times.
  class StartWaitEstimator {
  public:
    /// Adds the wait of a request that started.
    void add(Duration Wait, TimePoint Now);
    /// Adds the wait of an abandoned request. Only waits above the mean carry information.
    void addAbandoned(Duration Wait, TimePoint Now) {
      if (Wait > m_Mean)
        add(Wait, Now);
    }
    /// Expected upper limit of the wait in queues; 0 without samples. A queue that gets no requests
    /// drains, so the estimate decreases while there are no new samples.
    Duration queueWait(TimePoint Now) const;
    /// The same for what does not drain, such as a slow link; DefaultStartWait without recent
    /// samples.
    Duration transitWait(TimePoint Now) const;

  private:
    Duration upperEstimate() const {
      return std::min(m_Mean + DeviationFactor * m_Deviation, MaxStartWait);
    }

    Duration m_Mean{0};
    Duration m_Deviation{0};
    std::optional<TimePoint> m_LastAt;
  };
  struct State {
    UpstreamRecord m_Record;
    UpstreamUsage m_OwnUsage;
    TimePoint m_LastByteAt;
    TimePoint m_SkippedUntil;
    int m_FailuresInRow = 0;
    int m_RejectionsInRow = 0;
    WindowedMinimum m_EventGap;
    StartWaitEstimator m_StartWait;
    /// The total of the last reports of the other entry instances.
    UpstreamUsage m_PeerUsage;
    TimePoint m_LoadingUntil;
  };
  struct PeerUsageReport {
    UsageByUpstream m_Usage;
    TimePoint m_At;
  };
  struct Engine {
    EngineParameters m_Parameters;
    /// Limit on the unread prompt tokens at an upstream; not set if the engine's speed is unknown.
    std::optional<double> m_PrefillBudget;
  };

  /// Whether the upstream may get requests of this kind, now or later.
  bool isEligible(const State &Upstream, const PlacementRequest &Request, TimePoint Now) const;
  /// `MinVersion` is the minimum version that the upstream must hold for the request.
  bool holdsWeights(const UpstreamRecord &Record, const PlacementRequest &Request,
                    WeightsVersion MinVersion) const;
  /// The minimum version that this upstream must hold for a request that is sent now. The wait
  /// there is estimated from those at all engines of the service, whose queues are similar, and
  /// from those at this one, whose link may be slow.
  WeightsVersion requiredVersion(const PlacementRequest &Request, const State &At,
                                 TimePoint Now) const;
  static bool isLoading(const State &Upstream, TimePoint Now);
  static double inFlight(const State &Upstream) {
    return Upstream.m_OwnUsage.m_Requests + Upstream.m_PeerUsage.m_Requests;
  }
  static double unreadTokens(const State &Upstream) {
    return Upstream.m_OwnUsage.m_UnreadTokens + Upstream.m_PeerUsage.m_UnreadTokens;
  }
  static std::optional<double> prefillBudget(const EngineParameters &Engine,
                                             Duration MinTargetLatency);
  /// Adds a peer report to the totals, or subtracts it.
  void addToTotals(const UsageByUpstream &Usage);
  void subtractFromTotals(const UsageByUpstream &Usage);
  void expirePeerReports(TimePoint Now);
  /// By which factor the upstream is slower than the fastest of its service; 1 below SlowFactor.
  static double slowdownFactor(const State &Upstream, std::optional<Duration> ServiceMinGap);
  double inFlightLimit(const State &Upstream, double Slowdown) const;
  /// The used share of the prefill budget; FullLoad if there is no room for another prompt.
  static double prefillLoad(const State &Upstream, const Engine *Of, double Slowdown, bool IsLocal);
  std::optional<Duration> minEventGap(const ServiceId &Service) const;
  bool isEngine(const ServiceId &Service) const { return m_Engines.contains(Service); }
  bool isSilent(const State &Upstream, TimePoint Now) const;

  LoadBalancerOptions m_Options;
  RandomGenerator m_Random;
  std::map<InstanceId, State> m_Upstreams;
  std::map<ServiceId, std::vector<const State *>> m_ByService;
  Evacuations m_Evacuations;
  UpstreamStatements m_Statements;
  SharedRates m_Rates;
  std::set<DataCentreId> m_UnreachableCentres;
  std::map<InstanceId, PeerUsageReport> m_PeerReports;
  /// No peer report expires before this time.
  TimePoint m_NextPeerExpiryAt;
  std::map<Endpoint, TimePoint> m_LoadEndByAddress;
  std::map<ModelId, WeightsVersion> m_MinVersions;
  std::map<ModelId, std::vector<WeightsBound>> m_Bounds;
  std::map<ServiceId, StartWaitEstimator> m_StartWaits;
  std::map<ServiceId, Engine> m_Engines;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LOADBALANCER_H
