#ifndef FESCUEGAUGE_UPSTREAMBOARD_H
#define FESCUEGAUGE_UPSTREAMBOARD_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/RoutingPlan.h"
#include "Fescuegauge/SharedRates.h"
#include "Fescuegauge/Units.h"
#include "Fescuegauge/UpstreamStatements.h"
#include "Fescuegauge/WeightsDeadlines.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace fescuegauge {

/// The weights of one model that an upstream holds completely.
struct HeldWeights {
  ModelId m_Model;
  WeightsVersion m_Version;

  auto operator<=>(const HeldWeights &) const = default;
};

/// One upstream as the platform lists it.
struct UpstreamRecord {
  InstanceId m_Id;
  /// Distinguishes starts of an upstream that keeps its id: it grows with each of them.
  Incarnation m_Incarnation;
  Endpoint m_Address;
  DataCentreId m_DataCentre;
  RegionId m_Region;
  ServiceId m_Service;
  /// Requests that it runs at the same time.
  std::uint32_t m_Slots = 1;
  bool m_Leaving = false;
  std::vector<HeldWeights> m_Weights;

  UpstreamStart start() const { return {m_Id, m_Incarnation}; }
  /// 0 if it holds none of this model.
  WeightsVersion heldVersion(const ModelId &Model) const;
  auto operator<=>(const UpstreamRecord &) const = default;
};

/// What one entry instance has at an upstream.
struct UpstreamUse {
  /// Requests in flight.
  std::uint32_t m_Requests = 0;
  /// Prompt tokens of those that have had no event yet.
  std::uint32_t m_UnreadTokens = 0;

  auto operator<=>(const UpstreamUse &) const = default;
};

/// What one entry instance has at each upstream where it has anything.
using UseByUpstream = std::map<InstanceId, UpstreamUse>;

/// An upstream is about to load weights, or has done so if no time is left.
struct LoadNotice {
  Endpoint m_Upstream;
  Duration m_TimeLeft{};

  bool operator==(const LoadNotice &) const = default;
};

/// What a request needs of an upstream.
struct PlacementRequest {
  ServiceId m_Service;
  /// Empty if the request needs no model.
  ModelId m_Model;
  /// Only an upstream with exactly this version; nothing if any version in force will do.
  std::optional<WeightsVersion> m_Version;
  /// Upstreams to which the request was sent before.
  std::vector<InstanceId> m_Tried;
  /// Tokens that an engine reads before the first event; 0 if unknown, or for a plain service.
  std::uint32_t m_PromptTokens = 0;
};

enum class PlacementVerdict {
  Placed,
  /// Upstreams are usable, but none has a free place.
  AllFull,
  /// No upstream that is usable now is known.
  NoneUsable,
};

struct Placement {
  PlacementVerdict m_Verdict = PlacementVerdict::NoneUsable;
  UpstreamRecord m_Upstream;
  /// Requests in flight there, as far as known, before this one; for the log.
  std::uint32_t m_InFlight = 0;
  /// A permit was taken for the request; see SharedRates.
  bool m_HasPermit = false;
  /// With AllFull: if upstreams lack only permits, when the next one is due, TimePoint::max() if
  /// none will be. Nothing if another place may come free at any time.
  std::optional<TimePoint> m_NextPermit;
};

/// How a dispatch ended.
enum class DispatchResult {
  Answered,
  /// The upstream said that it did not run the request.
  Rejected,
  /// As Rejected, and the upstream said for how long it wants nothing; see onPauseAsked().
  Deferred,
  /// No connection could be opened, or the connection ended without a complete answer.
  Failed,
  /// The caller left or its time was over; says nothing on the upstream.
  Abandoned,
};

struct UpstreamBoardOptions {
  DataCentreId m_DataCentre;
  RegionId m_Region;
  /// Requests in flight at an engine above the size of its batch. One that waits keeps the batch
  /// full when a request ends; more of them only make the first event late.
  double m_EngineOvercommit = 0;
  /// Plain services queue little; the same for them.
  double m_PlainOvercommit = 4;
  /// Places left free at upstreams of other data centres, because what is known of them is older.
  double m_RemoteReserve = 2;
};

/// What one entry instance knows of the upstreams, and its choice between them.
///
/// Load pattern answered: demand above capacity from several entry instances that decide alone.
/// Each counts its own requests in flight and adds what the others last told, so that the sum stays
/// near the size of the batch at each upstream. Upstreams of the own data centre go first; an
/// upstream that rejects, fails or is silent is passed over for a time that doubles, so that one
/// that rejects at once does not attract requests because it looks idle.
///
/// Load pattern answered: many places come free at the same moment, as after a load of weights or a
/// restart. An engine reads all prompts that it was given within one pass of its batch, and every
/// stream that runs there pauses meanwhile, so a batch that is filled at once is late as a whole.
/// The prompt tokens that an engine has yet to read are therefore bounded as well.
class UpstreamBoard {
public:
  /// First and longest time for which an upstream is passed over after it rejected a request or
  /// failed. A rejecting engine is usually about to load weights, which takes a few hundred
  /// milliseconds.
  static constexpr Duration RejectionPause = std::chrono::milliseconds(150);
  static constexpr Duration MaxRejectionPause = std::chrono::milliseconds(1200);
  static constexpr Duration FailurePause = std::chrono::milliseconds(800);
  static constexpr Duration MaxFailurePause = std::chrono::seconds(5);
  /// An upstream with requests in flight that sent nothing for this long is passed over until it
  /// sends again. A pass of a full batch with prompts takes about 200 ms.
  static constexpr Duration SilenceLimit = std::chrono::milliseconds(700);
  /// What another entry instance told counts for this long after its last message.
  static constexpr Duration PeerReportLifetime = std::chrono::milliseconds(1500);
  /// An upstream whose shortest pause between events is above this many times the least of its
  /// service is given fewer requests in proportion.
  static constexpr double SlowFactor = 1.6;
  /// The shortest pause is that of the last one to two windows of this length. Passes in which no
  /// prompt is read come several times a second at a full batch, and show the engine's own pace.
  static constexpr Duration GapWindow = std::chrono::seconds(1);
  /// The wait for an engine to begin a request is expected to be its mean and this many mean
  /// deviations. The rest of the requests, about one in ten, is withdrawn if need be, and a higher
  /// factor would refuse many that would have begun in time.
  static constexpr int DeviationFactor = 2;
  /// The share of a new wait in the mean and the mean deviation is 1 in this many.
  static constexpr int MeanSamples = 8;
  static constexpr int DeviationSamples = 4;
  /// What was observed at one upstream counts for this long after the last request there.
  static constexpr Duration StartWaitLifetime = std::chrono::seconds(5);
  /// The wait at an upstream where none was observed: requests are up to 1.7 s on the way over a
  /// squeezed link, and some more in a queue.
  static constexpr Duration UnknownStartWait = std::chrono::milliseconds(2500);
  /// Longer waits count as this one: a request that runs into its deadline at an engine that is cut
  /// off says nothing of the queues of the others.
  static constexpr Duration LongestStartWait = std::chrono::seconds(4);
  /// The part of the target latency in which an engine is to finish the pass that runs when a
  /// request comes, and the one in which it reads the prompt. DispatchQueue may use the rest.
  static constexpr double ReadShare = 0.7;
  /// Leaving upstreams in one message to another instance, so that it stays below 4 kB.
  static constexpr std::size_t MaxLeavingTold = 128;
  /// A notice that an upstream loads counts for this long at most.
  static constexpr Duration LongestLoad = std::chrono::seconds(6);

  UpstreamBoard(UpstreamBoardOptions Options, std::uint64_t Seed)
      : m_Options(std::move(Options)), m_Random(Seed) {}

  /// Replaces the list. An upstream that restarted under its id counts as another one.
  void setUpstreams(std::span<const UpstreamRecord> Listed);
  /// Requests for `Model` go only to upstreams that hold at least this version.
  void setLeastVersion(const ModelId &Model, WeightsVersion Least) { m_Least[Model] = Least; }
  /// Requests for `Model` may not begin on weights older than these after their bounds. One that
  /// is expected to begin later goes to no such upstream; see onStarted().
  void setWeightsBounds(const ModelId &Model, std::vector<WeightsBound> Bounds) {
    m_Bounds[Model] = std::move(Bounds);
  }
  /// The least version on which a request for `Model` may begin at `At`; 0 if any will do.
  WeightsVersion boundedVersion(const ModelId &Model, TimePoint At) const;
  /// Which services have engines, and their parameters.
  void setPlan(const RouteTable &Plan);

  Placement place(const PlacementRequest &Request, TimePoint Now);
  /// Whether a request that was placed at an upstream, but not sent yet, may still go there. The
  /// list, the statements of upstreams and the least versions may have changed since.
  bool mayStillSend(const UpstreamRecord &Placed, const PlacementRequest &Request,
                    TimePoint Now) const;

  /// A request is about to be sent to a place that was given.
  void onDispatched(const InstanceId &Upstream, std::uint32_t PromptTokens, TimePoint Now);
  /// The engine has read the prompt of a request: its first event came.
  void onPromptRead(const InstanceId &Upstream, std::uint32_t PromptTokens);
  /// `UnreadTokens` are those of its prompt if it had no event.
  void onEnded(const InstanceId &Upstream, DispatchResult Result, std::uint32_t UnreadTokens,
               TimePoint Now);
  /// An engine of the service began a request this long after it was sent.
  void onStarted(const ServiceId &Service, const InstanceId &Upstream, Duration Wait,
                 TimePoint Now);
  /// A request was given up that an engine of the service had not begun for this long.
  void onStartGivenUp(const ServiceId &Service, const InstanceId &Upstream, Duration Wait,
                      TimePoint Now);
  /// Bytes of an answer arrived.
  void onProgress(const InstanceId &Upstream, TimePoint Now);
  /// The pause between two events of a stream.
  void onEventGap(const InstanceId &Upstream, Duration Gap, TimePoint Now);
  /// What another entry instance told. Its earlier report is replaced.
  void onPeerReport(const InstanceId &Peer, UseByUpstream Use, TimePoint Now);
  /// The upstream at this address is about to load weights, and starts no request until then.
  void onLoading(const Endpoint &Address, TimePoint Until);
  /// The upstream, or another entry instance to which it answered, says that it leaves. Returns
  /// whether that is news.
  bool onLeaving(const UpstreamStart &Upstream, TimePoint Now);
  /// The upstream wants nothing from this instance for that long.
  void onPauseAsked(const UpstreamStart &Upstream, Duration Pause, TimePoint Now);
  bool wantsPause(const UpstreamStart &Upstream, TimePoint Now) const {
    return m_Statements.wantsPause(Upstream, Now);
  }
  /// For the other entry instances: upstreams that said that they leave, as long as they are
  /// listed. An instance that was frozen, cut off or restarted meanwhile must hear of it too.
  std::vector<UpstreamStart> leavingToTell(TimePoint Now) const;

  /// The rates that upstreams name. An upstream from which no permit can be had now gets no place.
  SharedRates &rates() { return m_Rates; }
  const SharedRates &rates() const { return m_Rates; }

  /// What this instance has at the upstreams, for the other entry instances.
  UseByUpstream ownUse() const;
  /// Whether the upstream has requests in flight and sent nothing for SilenceLimit.
  bool isSilent(const InstanceId &Upstream, TimePoint Now) const;

  /// Null if the upstream is not listed.
  const UpstreamRecord *find(const InstanceId &Upstream) const;

  std::size_t size() const { return m_Upstreams.size(); }

private:
  /// The shortest pause between the events of an upstream's streams. A mean would tell how many
  /// prompts it reads rather than how fast it is.
  class LeastGap {
  public:
    void add(Duration Gap, TimePoint Now);
    /// Nothing while unknown.
    std::optional<Duration> value() const;

  private:
    TimePoint m_WindowEnd;
    std::optional<Duration> m_InWindow;
    std::optional<Duration> m_Before;
  };
  /// The wait for an engine to begin a request, estimated as TCP estimates round-trip times.
  class StartWait {
  public:
    /// A request began after this wait.
    void add(Duration Wait, TimePoint Now);
    /// A request was given up after this wait; says something only if it was a long one.
    void addGivenUp(Duration Wait, TimePoint Now) {
      if (Wait > m_Mean)
        add(Wait, Now);
    }
    /// Most waits in queues are shorter than this; 0 if none was observed. A queue that gets no
    /// requests drains, so the wait grows shorter while none is observed.
    Duration inQueue(TimePoint Now) const;
    /// The same for what does not drain, as a slow link; UnknownStartWait if none was observed
    /// lately.
    Duration onTheWay(TimePoint Now) const;

  private:
    Duration observed() const {
      return std::min(m_Mean + DeviationFactor * m_Deviation, LongestStartWait);
    }

    Duration m_Mean{0};
    Duration m_Deviation{0};
    std::optional<TimePoint> m_LastAt;
  };
  struct State {
    UpstreamRecord m_Record;
    UpstreamUse m_Own;
    TimePoint m_LastByte;
    TimePoint m_PausedUntil;
    int m_FailuresInRow = 0;
    int m_RejectionsInRow = 0;
    LeastGap m_EventGap;
    StartWait m_StartWait;
    /// What the other entry instances have there, as last told.
    UpstreamUse m_Others;
    TimePoint m_LoadingUntil;
  };
  struct PeerReport {
    UseByUpstream m_Use;
    TimePoint m_At;
  };
  struct Engine {
    EngineParameters m_Parameters;
    /// Prompt tokens that may be unread at an upstream; nothing if the engine's pace is unknown.
    std::optional<double> m_ReadBudget;
  };

  /// Whether the upstream may be given requests of this kind, now or later.
  bool isEligible(const State &Upstream, const PlacementRequest &Request, TimePoint Now) const;
  /// `Least` is the version that the upstream must hold for the request.
  bool holdsWeights(const UpstreamRecord &Record, const PlacementRequest &Request,
                    WeightsVersion Least) const;
  /// The version that this upstream must hold for a request that is sent now. The wait there is
  /// expected from those at the service's engines, where queues are alike, and from those at this
  /// one, whose link may be slow.
  WeightsVersion leastVersion(const PlacementRequest &Request, const State &At,
                              TimePoint Now) const;
  static bool isLoading(const State &Upstream, TimePoint Now);
  static double inFlight(const State &Upstream) {
    return Upstream.m_Own.m_Requests + Upstream.m_Others.m_Requests;
  }
  static double unreadTokens(const State &Upstream) {
    return Upstream.m_Own.m_UnreadTokens + Upstream.m_Others.m_UnreadTokens;
  }
  static std::optional<double> readBudget(const EngineParameters &Engine, Duration LeastTarget);
  /// Adds what a peer told to the sums, or takes it away.
  void addToSums(const UseByUpstream &Told);
  void takeFromSums(const UseByUpstream &Told);
  void forgetSilentPeers(TimePoint Now);
  /// How many times slower the upstream is than the fastest of its service; 1 if not by much.
  static double slowness(const State &Upstream, std::optional<Duration> LeastOfService);
  double limit(const State &Upstream, double Slowness) const;
  /// The part of the read budget that is taken; FullLoad if there is no room for another prompt.
  static double readingLoad(const State &Upstream, const Engine *Of, double Slowness, bool IsLocal);
  std::optional<Duration> leastGap(const ServiceId &Service) const;
  bool isEngine(const ServiceId &Service) const { return m_Engines.contains(Service); }
  static bool isSilent(const State &Upstream, TimePoint Now);

  UpstreamBoardOptions m_Options;
  RandomGenerator m_Random;
  std::map<InstanceId, State> m_Upstreams;
  std::map<ServiceId, std::vector<const State *>> m_ByService;
  UpstreamStatements m_Statements;
  SharedRates m_Rates;
  std::map<InstanceId, PeerReport> m_Peers;
  /// No peer's report lapses before this time.
  TimePoint m_PeersValidUntil;
  std::map<Endpoint, TimePoint> m_Loading;
  std::map<ModelId, WeightsVersion> m_Least;
  std::map<ModelId, std::vector<WeightsBound>> m_Bounds;
  std::map<ServiceId, StartWait> m_StartWaits;
  std::map<ServiceId, Engine> m_Engines;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_UPSTREAMBOARD_H
