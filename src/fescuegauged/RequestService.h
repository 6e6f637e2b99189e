#ifndef FESCUEGAUGE_FESCUEGAUGED_REQUESTSERVICE_H
#define FESCUEGAUGE_FESCUEGAUGED_REQUESTSERVICE_H

#include "AnswerQueue.h"
#include "Fescuegauge/ClaimBatcher.h"
#include "Fescuegauge/CrashSuspects.h"
#include "Fescuegauge/DispatchSubset.h"
#include "Fescuegauge/GenerationRules.h"
#include "Fescuegauge/Metrics.h"
#include "Fescuegauge/RequestLifecycle.h"
#include "Fescuegauge/RequestScheduler.h"
#include "Fescuegauge/Router.h"
#include "HttpService.h"
#include "TargetsService.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace fescuegauge {

/// Service "requests" of an entry instance: receives callers' requests by HTTP and processes each
/// through admission, claim, routing and attempts to a single final answer.
class RequestService : public Service, private RequestEnvironment {
public:
  /// Timeout of requests that specify none.
  static constexpr Duration DefaultTimeout = std::chrono::seconds(60);
  /// Limit on cached owner rows. The cache only saves reads: a claim is conditional on the row in
  /// the table.
  static constexpr std::size_t MaxCachedOwners = 4096;
  /// Delay before a crash is reported, during which the ends of the attempts that one engine loss
  /// interrupted are collected.
  static constexpr Duration CrashCollectionTime = std::chrono::milliseconds(50);
  /// Retention time of crashes. Must be longer than agents repeat a loss in their reports.
  static constexpr Duration CrashRetention = std::chrono::seconds(30);

  RequestService(const Settings &Configured, Incarnation OwnIncarnation, EventLoop &Loop);

  void start(Kernel &Services) override;
  void beginDrain() override;
  bool isDrained() const override;
  void interruptWork() override;
  boost::json::object dumpState() const override;

private:
  struct PendingRequest {
    std::shared_ptr<AnswerQueue> m_AnswerQueue;
    RequestDescription m_Request;
    RequestConstraints m_Constraints;
    std::string m_Body;
    std::optional<GenerationTicket> m_Ticket;
    TimePoint m_ArrivedAt;
    std::optional<TimePoint> m_StartedAt;
    std::optional<TimePoint> m_FirstTokenAt;
    int m_Priority = 0;
    bool m_IsQueued = false;
    /// Of the upstreams of all attempts, when they were dispatched.
    std::map<InstanceId, GenerationId> m_Generations;
  };
  struct CachedOwner {
    OwnerRow m_Row;
    TablePosition m_Position;
  };
  class AnswerSink;

  // Called by HTTP threads.
  void serveRequest(HttpExchange &Exchange);
  void serveOutcome(HttpExchange &Exchange);
  std::optional<ErrorKind> parseRequest(HttpExchange &Exchange, PendingRequest &Pending);
  void streamAnswer(HttpExchange &Exchange, const RequestId &Id, AnswerQueue &Answers);
  static void sendFinalAnswer(HttpExchange &Exchange, const FinishRequest &Final);

  // Called on the loop.
  void onArrival(const std::shared_ptr<PendingRequest> &Pending);
  std::optional<ErrorKind> admissionError(PendingRequest &Pending) const;
  void resolveOwner(const std::shared_ptr<PendingRequest> &Pending);
  void onOwnerRead(const std::shared_ptr<PendingRequest> &Pending, const std::string &Key,
                   const std::optional<TableRow> &Row);
  void createOwner(const std::shared_ptr<PendingRequest> &Pending, const std::string &Key);
  bool cacheOwner(const TableRow &Row);
  /// Returns the declaration of the service, null if there is none.
  const ServiceDeclaration *findServiceDeclaration(const ServiceId &Wanted) const;
  void submit(const std::shared_ptr<PendingRequest> &Pending);
  /// Updates the counts of queued requests when a request is started or finished.
  void removeFromQueueCounts(PendingRequest &Dequeued);
  void refuse(const std::shared_ptr<PendingRequest> &Pending, ErrorKind Kind,
              std::optional<Duration> RetryAfter = std::nullopt);
  void perform(const std::vector<SchedulerAction> &Actions);
  void perform(const RequestActions &Actions);
  void perform(const DispatchAttempt &Action);
  void perform(const CancelAttempt &Action);
  void perform(const QueryAttempt &Action);
  void perform(const DeliverFragment &Action);
  void perform(const FinishRequest &Action);
  void perform(const SendClaimWrite &Action);
  void perform(const ReadTableRow &Action);
  void perform(const UpdateOwnerRow &Action);
  void perform(const ClaimBatcherActions &Actions);
  void submitClaim(const InstanceId &From, ClaimWrite Write,
                   std::function<void(const ClaimWriteResult &)> Done);
  void onCallerDisconnected(const RequestId &Id);
  void onAttemptEnd(const InstanceId &Upstream, const RequestId &Request, const AttemptId &Attempt,
                    const AttemptEnd &End);
  struct Crash;
  Crash &recordLoss(const InstanceId &Upstream, const EngineLoss &Loss);
  void reportCrashes(TimePoint Now);
  void sendSuspects();
  void logQuarantineChanges();
  void onAgentReport(const InstanceId &Upstream, const std::string &Payload);
  void onMemberChanged(const InstanceRecord &Record);
  void updateEntries();
  void updateConnections();
  void onConfigurationChanged(const Configuration &InForce);
  void readEpoch();
  void tick();
  void updateLoad();

  bool takeRetry(const RequestDescription &Request, TimePoint Now) override;
  bool takeHedge(const RequestDescription &Request, TimePoint Now) override;
  GenerationId generationOf(const InstanceId &Upstream) const override;
  Incarnation incarnationOf(const InstanceId &Upstream) const override;

  const Settings &m_Settings;
  EventLoop &m_Loop;
  const std::string m_ProcessId;
  PlatformService *m_Platform = nullptr;
  RpcService *m_Rpc = nullptr;
  MembershipService *m_Membership = nullptr;
  TargetsService *m_Targets = nullptr;
  CounterMetric *m_OutcomeCounter = nullptr;
  HistogramMetric *m_DurationHistogram = nullptr;

  Router m_Router;
  RequestScheduler m_Scheduler;
  CrashSuspects m_Suspects;
  /// Selects the recipients of suspect updates in other data centres in turn.
  std::size_t m_SuspectRound = 0;
  RequestLifecycle m_Lifecycle;
  ClaimBatcher m_Batcher;
  std::map<std::pair<InstanceId, ClaimTicket>, std::function<void(const ClaimWriteResult &)>>
      m_ClaimCallbacks;
  std::unordered_map<RequestId, std::shared_ptr<PendingRequest>> m_PendingRequests;
  /// Number of queued requests by account, for accounts that have any.
  std::unordered_map<ClientAccountId, std::size_t> m_QueuedByAccount;
  std::size_t m_QueuedCount = 0;
  std::map<std::string, CachedOwner> m_OwnerCache;
  /// Agents to which monitored connections are maintained.
  std::set<InstanceId> m_ConnectedAgents;
  bool m_IsConnectionUpdateDue = true;
  std::map<InstanceId, Incarnation> m_AgentIncarnations;
  struct Crash {
    TimePoint m_DetectedAt;
    std::vector<SuspectRequest> m_Unstarted;
    std::vector<AttemptStatement> m_EndedAttempts;
    bool m_IsReported = false;
  };
  std::map<std::pair<InstanceId, Incarnation>, Crash> m_Crashes;
  std::atomic<std::uint64_t> m_NextRequestNumber{1};
  std::uint64_t m_NextOwnerWriteNumber = 1;
  bool m_IsEpochKnown = false;
  TimePoint m_NextEpochReadAt;
  TimePoint m_NextLoadUpdateAt;
  bool m_IsDraining = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_REQUESTSERVICE_H
