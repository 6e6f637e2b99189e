#ifndef FESCUEGAUGE_LIBGATEWAY_GATEWAYCORE_H
#define FESCUEGAUGE_LIBGATEWAY_GATEWAYCORE_H

#include "Fescuegauge/ConnectionPool.h"
#include "Fescuegauge/CrashSuspects.h"
#include "Fescuegauge/DemandMeter.h"
#include "Fescuegauge/DispatchQueue.h"
#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/Gateway.h"
#include "Fescuegauge/HttpCaller.h"
#include "Fescuegauge/LateStartDetector.h"
#include "Fescuegauge/LoadBalancer.h"
#include "Fescuegauge/RetryBudget.h"
#include "Fescuegauge/UnstartedRequests.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace fescuegauge {

/// The answer of this process's own for an error, without the headers of one exchange.
HttpResponse errorResponse(const ErrorAnswer &Answer);

/// A request that waits in the DispatchQueue for a place at an upstream.
class PlaceWaiter {
public:
  PlaceWaiter(const net::any_io_executor &Executor, PlacementRequest Request)
      : m_Timer(Executor), m_Request(std::move(Request)) {}

  /// Ends the wait without a place.
  void cancel() { m_Timer.cancel(); }

private:
  friend class GatewayCore;

  net::steady_timer m_Timer;
  PlacementRequest m_Request;
  std::optional<Placement> m_Placed;
};

/// How a request may wait for a place.
struct WaitTerms {
  Duration m_Longest{0};
  int m_Priority = 0;
  bool m_IsRetry = false;
};

/// What the requests of one gateway share: the plan, the decisions, and the connections.
class GatewayCore {
public:
  /// Requests are served for this long after a stop was announced; callers are sent elsewhere once
  /// the balancer has noticed.
  static constexpr Duration DrainGrace = std::chrono::milliseconds(3000);
  /// Requests in progress are ended this long before the process ends, so that their callers get an
  /// answer: time to write it, and to run the loop at a quarter of a core.
  static constexpr Duration StopMargin = std::chrono::milliseconds(300);
  /// While requests wait, places are looked for at this interval, because pauses of upstreams end
  /// without an event.
  static constexpr Duration PumpInterval = std::chrono::milliseconds(25);
  /// Least time between two checks whether an upstream has crashed.
  static constexpr Duration CrashCheckInterval = std::chrono::milliseconds(500);
  /// An upstream that crashed refuses connections when this time has passed since it broke one.
  static constexpr Duration CrashCheckDelay = std::chrono::milliseconds(40);
  /// Requests of callers in progress; a further one is refused.
  static constexpr std::size_t MaxRequests = 2048;

  GatewayCore(net::io_context &Loop, GatewayOptions Options, MetricsService &Metrics);

  const GatewayOptions &options() const { return m_Options; }
  const CallHeaders &headers() const { return m_Options.m_Headers; }
  const std::shared_ptr<const RouteTable> &plan() const { return m_Plan; }
  void setPlan(std::shared_ptr<const RouteTable> Plan);
  LoadBalancer &loadBalancer() { return m_LoadBalancer; }
  ConnectionPool &pool() { return m_Pool; }
  RetryDelays &retryDelays() { return m_RetryDelays; }
  RetryBudget &retryBudget(const ServiceId &Service) { return m_RetryBudgets[Service]; }
  CrashSuspects &suspects() { return m_Suspects; }
  RandomGenerator &random() { return m_Random; }
  const net::any_io_executor &executor() { return m_Pool.executor(); }

  /// Gives a place at once, after a wait, or not at all. A place that was given counts as a request
  /// in flight until release(). `Waiter` is set while the wait lasts.
  Task<Placement> waitForPlace(PlacementRequest Request, WaitTerms Terms,
                               std::shared_ptr<PlaceWaiter> &Waiter);
  /// Gives a place only if one is free.
  Placement placeNow(const PlacementRequest &Request);
  /// The request that was given the place is not sent there.
  void giveBack(const Placement &Unused, std::uint32_t PromptTokens);
  /// The request that was given a place at `Upstream` has ended. `UnreadTokens` are those of its
  /// prompt if it had no event.
  void release(const InstanceId &Upstream, DispatchResult Result, std::uint32_t UnreadTokens);
  /// The first event of a request came.
  void onPromptRead(const InstanceId &Upstream, std::uint32_t PromptTokens);
  /// Gives free places to requests that wait.
  void pump();

  /// See LoadBalancer::setWeightsBounds().
  void setWeightsBounds(const ModelId &Model, std::vector<WeightsBound> Bounds);
  /// A request for `Model` is sent to an engine. `OnWithdraw` is called if it must not begin there
  /// any more; the request counts as unstarted until endUnstarted().
  UnstartedNumber addUnstarted(const ModelId &Model, const UpstreamRecord &Upstream,
                               std::function<void()> OnWithdraw);
  /// How an unstarted request ended.
  enum class UnstartedEnd {
    Started,
    /// The upstream had the request and had not begun it.
    GivenUp,
    /// The request was not sent, or was rejected at once; says nothing of the wait.
    NoWait,
  };
  void endUnstarted(UnstartedNumber Number, const ServiceId &Service, UnstartedEnd How);

  /// An answer of the upstream to a request that was sent at `SentAt` named this rate, or none.
  void noteRate(const UpstreamStart &Upstream, std::optional<RequestRate> Named, TimePoint SentAt);
  void noteToldRate(const InstanceId &Peer, const RateStatement &Told);

  /// Requests in flight at an upstream, for when it crashes.
  void addRunning(const InstanceId &Upstream, const SuspectKey &Key);
  void removeRunning(const InstanceId &Upstream, const SuspectKey &Key);
  /// A connection to an upstream broke. Finds out whether the upstream has crashed, and if so holds
  /// it against the requests that ran there.
  void checkCrash(const UpstreamRecord &Upstream);

  RetryDetector &returns() { return m_Returns; }
  LateStartDetector &lateStartDetector() { return m_LateStartDetector; }

  bool isDraining() const { return m_DrainingSince.has_value(); }
  /// Whether the grace time after the announcement is over.
  bool refusesRequests() const;
  void beginDrain();
  /// When requests in progress end because the process is about to end; the greatest time unless it
  /// stops.
  TimePoint requestsEndAt() const { return m_RequestsEndAt; }
  /// Counts a request as in progress as long as it lives. `OnStop` is called at requestsEndAt().
  class RequestInProgress {
  public:
    RequestInProgress(GatewayCore &Core, std::function<void()> OnStop) : m_Core(Core) {
      m_Core.m_InProgress.emplace(this, std::move(OnStop));
    }
    RequestInProgress(const RequestInProgress &) = delete;
    RequestInProgress &operator=(const RequestInProgress &) = delete;
    ~RequestInProgress() { m_Core.m_InProgress.erase(this); }

  private:
    GatewayCore &m_Core;
  };
  std::size_t requestsInProgress() const { return m_InProgress.size(); }

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
  void countLateStart() { m_LateOlderWeights.add(); }
  void observeWait(Duration Time) { m_Wait.observe({}, toSeconds(Time)); }
  /// Log lines on requests that may still be written in this second. Failures and refusals have a
  /// share of their own.
  bool canLog(bool IsFailure);

  /// Counts a request as being read, or served, while it lives. The process does not end by itself
  /// before, so that a caller whose body is on its way gets an answer.
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
  Task<> confirmCrash(UpstreamRecord Upstream, std::vector<SuspectKey> Running);
  void schedulePump();
  void withdrawOverdue();
  void logRate(const UpstreamStart &Upstream, RateStatements::RateChange News,
               std::string_view From);

  GatewayOptions m_Options;
  ConnectionPool m_Pool;
  RandomGenerator m_Random;
  LoadBalancer m_LoadBalancer;
  DispatchQueue m_Queue;
  RetryDelays m_RetryDelays;
  std::unordered_map<ServiceId, RetryBudget> m_RetryBudgets;
  CrashSuspects m_Suspects;
  std::shared_ptr<const RouteTable> m_Plan;
  std::map<WaitingNumber, std::shared_ptr<PlaceWaiter>> m_Waiters;
  WaitingNumber m_LastNumber;
  Alarm m_PumpAlarm;
  bool m_PumpScheduled = false;
  std::map<ModelId, std::vector<WeightsBound>> m_WeightsBounds;
  UnstartedRequests m_Unstarted;
  std::map<UnstartedNumber, std::function<void()>> m_OnWithdraw;
  Alarm m_WithdrawAlarm;
  std::multimap<InstanceId, SuspectKey> m_Running;
  std::map<InstanceId, TimePoint> m_CrashChecked;
  RetryDetector m_Returns;
  LateStartDetector m_LateStartDetector;
  std::optional<TimePoint> m_DrainingSince;
  TimePoint m_RequestsEndAt = TimePoint::max();
  Alarm m_StopAlarm;
  std::size_t m_RequestsBeingRead = 0;
  std::map<const RequestInProgress *, std::function<void()>> m_InProgress;
  CounterMetric &m_Requests;
  CounterMetric &m_Attempts;
  CounterMetric &m_DroppedLines;
  CounterMetric &m_LateOlderWeights;
  CounterMetric &m_RateLimitedSends;
  CounterMetric &m_RateRefusedSends;
  HistogramMetric &m_FirstByte;
  HistogramMetric &m_Start;
  HistogramMetric &m_Wait;
  TimePoint m_LogSecond;
  std::uint32_t m_LogLines = 0;
  std::uint32_t m_LogFailures = 0;
  std::uint32_t m_LogDropped = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBGATEWAY_GATEWAYCORE_H
