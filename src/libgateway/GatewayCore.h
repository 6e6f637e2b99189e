#ifndef FESCUEGAUGE_LIBGATEWAY_GATEWAYCORE_H
#define FESCUEGAUGE_LIBGATEWAY_GATEWAYCORE_H

#include "ClientAdmission.h"
#include "Fescuegauge/AsyncHttpClient.h"
#include "Fescuegauge/ConnectionPool.h"
#include "Fescuegauge/CrashSuspects.h"
#include "Fescuegauge/DataCentreReachability.h"
#include "Fescuegauge/DemandMeter.h"
#include "Fescuegauge/DispatchQueue.h"
#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/Gateway.h"
#include "Fescuegauge/LateStartDetector.h"
#include "Fescuegauge/LoadBalancer.h"
#include "Fescuegauge/RankReservation.h"
#include "Fescuegauge/RetryBudget.h"
#include "Fescuegauge/UnstartedRequests.h"
#include "UpstreamExchange.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace fescuegauge {

/// Creates this process's own response for an error, without the headers of a single exchange.
HttpResponse errorResponse(const ErrorAnswer &Answer);

/// Formats a length of time as in a Retry-After header.
std::string formatSeconds(Duration Length);

/// How a request waits for a placement.
struct WaitOptions {
  Duration m_MaxWait{0};
  int m_Priority = 0;
  bool m_IsRetry = false;
  /// Whether slots are reserved for requests with a higher priority.
  bool m_IsRanked = false;
};

/// Request that waits in the DispatchQueue for a slot at an upstream.
class PlacementWaiter {
public:
  PlacementWaiter(const net::any_io_executor &Executor, PlacementRequest Request,
                  const WaitOptions &Queueing)
      : m_Timer(Executor), m_Request(std::move(Request)), m_Queueing(Queueing) {}

  /// Ends the wait without a placement.
  void cancel() { m_Timer.cancel(); }

private:
  friend class GatewayCore;

  net::steady_timer m_Timer;
  PlacementRequest m_Request;
  WaitOptions m_Queueing;
  std::optional<Placement> m_Placement;
};

/// An attempt in flight at an upstream.
struct RunningAttempt {
  UpstreamStart m_Upstream;
  SuspectRequest m_Request;
  std::string m_RequestId;
  /// Null after the end of the attempt.
  std::shared_ptr<const UpstreamExchange> m_Exchange;
  /// Whether the header of a plain response, or bytes of the body of a stream, arrived.
  bool m_HasResponded = false;
  /// Whether the upstream survived the start of the request; see CrashSuspects::recordBegun().
  bool m_HasBegun = false;
};
using RunningAttempts = std::list<RunningAttempt>;

/// State shared by all requests of a gateway: the plan, the routing state and the connections.
class GatewayCore : public std::enable_shared_from_this<GatewayCore> {
public:
  /// Requests are served for this time after the start of a drain, until the load balancer has
  /// noticed it and sends clients elsewhere.
  static constexpr Duration DrainGrace = std::chrono::milliseconds(3000);
  /// Requests in progress are ended this long before the end of the process, so that their clients
  /// get a response. Allows for writing it while the loop runs at a quarter of a core.
  static constexpr Duration StopMargin = std::chrono::milliseconds(300);
  /// Interval of placement attempts while requests wait, because the end of an upstream's pause
  /// raises no event.
  static constexpr Duration PlacementInterval = std::chrono::milliseconds(25);
  /// Evidence on a crash is considered after this time; see CrashSuspects. Other instances report
  /// the crash within one interval of PeerReportExchange and a transmission; the rest allows for
  /// two lost datagrams.
  static constexpr Duration CrashCollectionTime = std::chrono::milliseconds(300);
  /// Time for which an attempt that was abandoned before it began may still crash its upstream. An
  /// engine notices the closed connection only after the pass that reads the prompt.
  static constexpr Duration AbandonedSuspectTime = std::chrono::milliseconds(1000);
  /// Maximum number of such attempts; the oldest is evicted first.
  static constexpr std::size_t MaxAbandonedSuspects = 1024;
  /// Maximum number of suspects of one crash that are logged.
  static constexpr std::size_t MaxLoggedSuspects = 8;
  /// Minimum time between two crash checks of an upstream.
  static constexpr Duration CrashCheckInterval = std::chrono::milliseconds(500);
  /// Delay of a crash check after a connection broke. A crashed upstream refuses connections by
  /// then.
  static constexpr Duration CrashCheckDelay = std::chrono::milliseconds(40);
  /// Limit on the parts of responses that are held back for all requests: bodies of failures, and
  /// events that have not ended. A response that exceeds it counts as no response.
  static constexpr std::size_t MaxResponseBufferBytes = 16 << 20;
  /// Part of it that only events can use.
  static constexpr std::size_t EventBufferBytes = 4 << 20;
  /// Delays of the event loop are logged from this length on, one line per interval.
  static constexpr Duration MinLoggedLoopDelay = std::chrono::milliseconds(100);
  static constexpr Duration LoopDelayLogInterval = std::chrono::milliseconds(500);
  /// Maximum number of client requests in progress; further ones are refused.
  static constexpr std::size_t MaxRequests = 2048;

  GatewayCore(net::io_context &Loop, GatewayOptions Options, MetricsService &Metrics);

  const GatewayOptions &options() const { return m_Options; }
  const CallHeaderNames &headerNames() const { return m_Options.m_HeaderNames; }
  const std::shared_ptr<const RouteTable> &plan() const { return m_Plan; }
  void setPlan(std::shared_ptr<const RouteTable> Plan);
  LoadBalancer &loadBalancer() { return m_LoadBalancer; }
  ConnectionPool &pool() { return m_Pool; }
  RetryDelays &retryDelays() { return m_RetryDelays; }
  RetryBudget &retryBudget(const ServiceId &Service) { return m_RetryBudgets[Service]; }
  CrashSuspects &suspects() { return m_Suspects; }
  ClientAdmission &admission() { return m_Admission; }
  RandomGenerator &random() { return m_Random; }
  const net::any_io_executor &executor() { return m_Pool.executor(); }

  /// Places a request at an upstream, at once or after a wait within `Queueing`. A placed request
  /// counts as in flight until release(). `Waiter` is set during the wait. Returns a placement with
  /// another verdict than Placed if no slot became free.
  Task<Placement> waitForPlacement(PlacementRequest Request, WaitOptions Queueing,
                                   std::shared_ptr<PlacementWaiter> &Waiter);
  /// Places a request only if a slot is free now.
  Placement tryPlace(const PlacementRequest &Request);
  /// Records the arrival of a first request for engines whose requests compete by rank.
  void recordDemand(const ServicePlan &Service, int Priority, std::uint32_t PromptTokens) {
    m_Reservation.onArrival(Service.m_Id, Priority, slotTime(*Service.m_Engine, PromptTokens),
                            monotonicNow());
  }
  /// Undoes a placement whose request was not sent.
  void undoPlacement(const Placement &Unsent, std::uint32_t PromptTokens);
  /// Ends a request that was placed at `Upstream`. `UnreadTokens` is the size of its prompt if the
  /// response had no event.
  void release(const InstanceId &Upstream, DispatchResult Result, std::uint32_t UnreadTokens);
  /// The first event of a response arrived.
  void onPromptRead(const InstanceId &Upstream, std::uint32_t PromptTokens);
  /// Places waiting requests in free slots.
  void placeWaiting();

  /// See LoadBalancer::setWeightsBounds().
  void setWeightsBounds(const ModelId &Model, std::vector<WeightsBound> Bounds);
  /// Registers a request for `Model` that is sent to an engine. `OnWithdraw` is called when the
  /// request must no longer begin there. The request counts as unstarted until endUnstarted().
  UnstartedNumber addUnstarted(const ModelId &Model, const UpstreamRecord &Upstream,
                               std::function<void()> OnWithdraw);
  /// How an unstarted request ended.
  enum class UnstartedEnd {
    Started,
    /// The request was given up before the upstream began it.
    NotBegun,
    /// The request was not sent, or was rejected at once, and gives no sample of the wait.
    NoSample,
  };
  void endUnstarted(UnstartedNumber Number, const ServiceId &Service, UnstartedEnd How);

  /// Records the rate limit in a response to a request that was sent at `SentAt`; nothing if the
  /// response named none.
  void recordRateLimit(const UpstreamStart &Upstream, std::optional<RequestRate> Named,
                       TimePoint SentAt);
  /// Records a rate statement from another entry instance.
  void recordPeerRate(const InstanceId &Peer, const RateStatement &Statement);

  /// An upstream stated in a response for how long it stays cold.
  void recordCold(const UpstreamStart &Upstream, Duration Remaining);
  /// No connection to an upstream could be opened, or it crashed.
  void recordUnreachable(const UpstreamStart &Upstream);
  /// Logs upstreams that are treated as cold from now on, or no longer.
  void logColdChanges();
  /// Bytes of an answer arrived from the upstream.
  void onProgress(const UpstreamRecord &From, TimePoint Now);
  /// A connection to the upstream, attempted at `StartedAt`, did not open in time.
  void onConnectTimeout(const UpstreamRecord &To, TimePoint StartedAt);

  /// Registers an attempt in flight at an upstream, as a suspect if the upstream crashes.
  RunningAttempts::iterator addRunning(RunningAttempt Attempt);
  void removeRunning(RunningAttempts::iterator Attempt) { m_Running.erase(Attempt); }
  /// Removes an attempt that this instance cancelled. It remains a suspect for a while.
  void abandonRunning(RunningAttempts::iterator Attempt);
  /// Checks whether an upstream crashed after the connection of an attempt broke. If it did, the
  /// requests that had not begun there are recorded as crash suspects.
  void checkCrash(const UpstreamRecord &Upstream, const RunningAttempt &Lost);
  /// Returns true if the upstream refuses connections after `Delay`, as it does after a crash.
  Task<bool> hasCrashed(UpstreamRecord Upstream, Duration Delay);
  /// An upstream survived the start of a request.
  void recordBegun(const SuspectRequest &Request);
  void mergeSuspects(const SuspectUpdate &Update);
  /// Evaluates and expires evidence and quarantines.
  void checkSuspects();
  bool isQuarantined(const SuspectRequest &Request) const {
    return m_Suspects.isQuarantined(Request, monotonicNow());
  }

  RetryDetector &retryDetector() { return m_RetryDetector; }
  LateStartDetector &lateStartDetector() { return m_LateStartDetector; }

  bool isDraining() const { return m_DrainingSince.has_value(); }
  /// Whether the grace period of a drain is over.
  bool isRefusingRequests() const;
  void beginDrain();
  /// Time at which requests in progress are ended because the process is about to end.
  /// TimePoint::max() unless the gateway is draining.
  TimePoint requestCutoff() const { return m_RequestCutoff; }
  /// Counts a request as in progress during the object's lifetime. `OnStop` is called at
  /// requestCutoff(), and `OnQuarantine` when a quarantine began.
  class RequestInProgress {
  public:
    RequestInProgress(GatewayCore &Core, std::function<void()> OnStop,
                      std::function<void()> OnQuarantine)
        : m_Core(Core) {
      m_Core.m_InProgress.emplace(this, Callbacks{std::move(OnStop), std::move(OnQuarantine)});
    }
    RequestInProgress(const RequestInProgress &) = delete;
    RequestInProgress &operator=(const RequestInProgress &) = delete;
    ~RequestInProgress() { m_Core.m_InProgress.erase(this); }

  private:
    GatewayCore &m_Core;
  };
  std::size_t requestsInProgress() const { return m_InProgress.size(); }
  /// Part of the ClientMemoryBudget, and of MaxResponseBufferBytes, that the buffered response of a
  /// request uses during the object's lifetime.
  class ResponseBuffer {
  public:
    explicit ResponseBuffer(GatewayCore &Core, ResponsePart Part = ResponsePart::Event)
        : m_Core(Core), m_Part(Part) {}
    ResponseBuffer(const ResponseBuffer &) = delete;
    ResponseBuffer &operator=(const ResponseBuffer &) = delete;
    ~ResponseBuffer() { resize(0); }

    /// Returns false, and uses nothing any more, if the limit would be exceeded.
    bool resize(std::size_t Size) {
      const std::size_t Others = m_Core.m_Admission.budget().responseBytes() - m_Size;
      const std::size_t Limit = m_Part == ResponsePart::Event
                                    ? MaxResponseBufferBytes
                                    : MaxResponseBufferBytes - EventBufferBytes;
      const bool Fits =
          Others + Size <= Limit && m_Core.m_Admission.resizeResponse(m_Part, m_Size, Size);
      if (!Fits)
        m_Core.m_Admission.resizeResponse(m_Part, m_Size, 0);
      m_Size = Fits ? Size : 0;
      return Fits;
    }

  private:
    GatewayCore &m_Core;
    ResponsePart m_Part;
    std::size_t m_Size = 0;
  };

  void countRequest(std::string_view Kind, std::string_view Outcome) {
    m_Requests.add({Kind, Outcome});
  }
  void countAttempt(std::string_view Outcome) { m_Attempts.add({Outcome}); }
  void observeFirstByte(std::string_view Kind, Duration Time) {
    m_FirstByte.observe({Kind}, toSeconds(Time));
  }
  void observeStart(std::string_view Kind, Duration Time) {
    m_Start.observe({Kind}, toSeconds(Time));
  }
  void countRateLimitedSend() { m_RateLimitedSends.add(); }
  void countRateRefusedSend() { m_RateRefusedSends.add(); }
  void countColdSend() { m_ColdSends.add(); }
  void countColdWithheldSend() { m_ColdWithheldSends.add(); }
  void countLateStart() { m_LateOlderWeights.add(); }
  /// Records by how much a timer of the event loop was late. Longer delays are logged.
  void observeLoopDelay(Duration Late);
  void observeWait(Duration Time) { m_Wait.observe({}, toSeconds(Time)); }
  /// Returns whether a log line on a request may be written, and counts it against the limit of the
  /// current second. Failures and refusals have a limit of their own.
  bool tryAcquireLogLine(bool IsFailure);

  /// Counts a request as being read or served during the object's lifetime. The gateway is not
  /// drained before, so that a client whose body is still arriving gets a response.
  class ReadingScope {
  public:
    explicit ReadingScope(GatewayCore &Core) : m_Core(Core) { ++m_Core.m_RequestsBeingRead; }
    ReadingScope(const ReadingScope &) = delete;
    ReadingScope &operator=(const ReadingScope &) = delete;
    ~ReadingScope() { --m_Core.m_RequestsBeingRead; }

  private:
    GatewayCore &m_Core;
  };
  std::size_t requestsBeingRead() const { return m_RequestsBeingRead; }

  DemandMeter m_Demand;
  std::size_t m_Sessions = 0;

private:
  /// Callbacks of a request in progress.
  struct Callbacks {
    std::function<void()> m_OnStop;
    std::function<void()> m_OnQuarantine;
  };
  /// The crash check of one start of an upstream.
  struct CrashCheck {
    /// When the latest check began.
    TimePoint m_At;
    bool m_IsPending = false;
    /// When the first connection broke since the previous check.
    TimePoint m_FirstLossAt;
    /// Attempts that ended since then without a beginning.
    std::vector<RunningAttempt> m_Lost;
  };

  /// Whether a request waits for the same upstreams. One that is restricted to other regions may
  /// wait while upstreams of these have free slots.
  bool hasWaitingRival(const PlacementRequest &Request) const;
  /// Opens connections to upstreams of an unreachable data centre until one opens.
  Task<> probeDataCentre(DataCentreId DataCentre);
  void setReachable(const DataCentreId &DataCentre, bool IsReachable);
  Task<> confirmCrash(UpstreamRecord Upstream, Duration Delay);
  void recordCrash(const UpstreamRecord &Upstream, const CrashCheck &Confirmed);
  void handleSuspectChanges();
  void logQuarantine(const QuarantineChange &Change);
  void callInProgress(std::function<void()> Callbacks::*Callback);
  /// As tryPlace(), unless the slots that are left are reserved for more urgent requests.
  Placement tryAdmit(const PlacementRequest &Request, const WaitOptions &Queueing);
  void schedulePlacement();
  void withdrawOverdue();
  void logRate(const UpstreamStart &Upstream, RateStatements::RateChange Change,
               std::string_view From);

  GatewayOptions m_Options;
  ConnectionPool m_Pool;
  RandomGenerator m_Random;
  LoadBalancer m_LoadBalancer;
  DispatchQueue m_Queue;
  RankReservation m_Reservation;
  DataCentreReachability m_Reachability;
  RetryDelays m_RetryDelays;
  std::unordered_map<ServiceId, RetryBudget> m_RetryBudgets;
  CrashSuspects m_Suspects;
  ClientAdmission m_Admission;
  std::shared_ptr<const RouteTable> m_Plan;
  std::map<WaitingNumber, std::shared_ptr<PlacementWaiter>> m_Waiters;
  WaitingNumber m_LastNumber;
  OneShotTimer m_PlacementTimer;
  bool m_PlacementScheduled = false;
  std::map<ModelId, std::vector<WeightsBound>> m_WeightsBounds;
  UnstartedRequests m_Unstarted;
  std::map<UnstartedNumber, std::function<void()>> m_WithdrawCallbacks;
  OneShotTimer m_WithdrawTimer;
  RunningAttempts m_Running;
  struct AbandonedAttempt {
    RunningAttempt m_Attempt;
    TimePoint m_At;
  };
  std::deque<AbandonedAttempt> m_Abandoned;
  std::map<UpstreamStart, CrashCheck> m_CrashChecks;
  OneShotTimer m_SuspectsTimer;
  RetryDetector m_RetryDetector;
  LateStartDetector m_LateStartDetector;
  std::optional<TimePoint> m_DrainingSince;
  TimePoint m_RequestCutoff = TimePoint::max();
  OneShotTimer m_StopTimer;
  std::size_t m_RequestsBeingRead = 0;
  std::map<const RequestInProgress *, Callbacks> m_InProgress;
  CounterMetric &m_Requests;
  CounterMetric &m_Attempts;
  CounterMetric &m_DroppedLogLinesTotal;
  CounterMetric &m_LateOlderWeights;
  CounterMetric &m_UpstreamCrashes;
  CounterMetric &m_QuarantineChanges;
  CounterMetric &m_RateLimitedSends;
  CounterMetric &m_RateRefusedSends;
  CounterMetric &m_ColdSends;
  CounterMetric &m_ColdWithheldSends;
  CounterMetric &m_ReachabilityChanges;
  CounterMetric &m_ReservedSlots;
  HistogramMetric &m_FirstByte;
  HistogramMetric &m_Start;
  HistogramMetric &m_Wait;
  HistogramMetric &m_LoopDelay;
  TimePoint m_LoopDelayLoggedAt;
  TimePoint m_LogWindowStart;
  std::uint32_t m_LogLines = 0;
  std::uint32_t m_FailureLogLines = 0;
  std::uint32_t m_DroppedLogLines = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBGATEWAY_GATEWAYCORE_H
