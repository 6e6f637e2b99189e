#ifndef FESCUEGAUGE_FESCUEGAUGED_REQUESTSERVICE_H
#define FESCUEGAUGE_FESCUEGAUGED_REQUESTSERVICE_H

#include "CallerExchange.h"
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

/// Service "requests" of an entry instance: takes callers' requests from HTTP through admission,
/// claim, routing and attempts to their one final answer.
class RequestService : public Service, private RequestEnvironment {
public:
  /// Time after which a request without a deadline of its own is given up.
  static constexpr Duration DefaultDeadline = std::chrono::seconds(60);
  /// Owner rows kept in memory; the copies only save reads, claims are conditional on the row.
  static constexpr std::size_t MaxOwners = 4096;
  /// Losses that one engine caused are collected for this long before anyone is blamed.
  static constexpr Duration CrashCollectTime = std::chrono::milliseconds(50);
  /// Agents repeat a loss in their reports for a shorter time than this.
  static constexpr Duration CrashMemory = std::chrono::seconds(30);

  RequestService(const Settings &Configured, Incarnation Started, EventLoop &Loop);

  void start(Kernel &Services) override;
  void beginDrain() override;
  bool isDrained() const override;
  void stop() override;
  boost::json::object dumpState() const override;

private:
  struct Running {
    std::shared_ptr<CallerExchange> m_Exchange;
    RequestDescription m_Request;
    RequestConstraints m_Constraints;
    std::string m_Body;
    std::optional<GenerationTicket> m_Ticket;
    TimePoint m_Arrived;
    std::optional<TimePoint> m_Started;
    std::optional<TimePoint> m_FirstToken;
    Digest m_ServedDigest;
    /// Of the upstream of the latest attempt.
    GenerationId m_Generation;
    int m_Priority = 0;
    bool m_IsWaiting = false;
  };
  struct OwnerEntry {
    OwnerRow m_Row;
    RowVersion m_Version;
  };
  class Sink;

  // Called by HTTP threads.
  void serveRequest(HttpExchange &Exchange);
  void serveOutcome(HttpExchange &Exchange);
  std::optional<ErrorKind> describe(HttpExchange &Exchange, Running &Arrived);
  void pumpAnswer(HttpExchange &Exchange, const RequestId &Id, CallerExchange &Events);
  static void finishExchange(HttpExchange &Exchange, const FinishRequest &Final);

  // Called on the loop.
  void arrive(const std::shared_ptr<Running> &Arrived);
  std::optional<ErrorKind> refusalFor(Running &Arrived) const;
  void withOwner(const std::shared_ptr<Running> &Arrived);
  void ownerRead(const std::shared_ptr<Running> &Arrived, const std::string &Key,
                 const std::optional<TableRow> &Row);
  void createOwner(const std::shared_ptr<Running> &Arrived, const std::string &Key);
  bool storeOwner(const TableRow &Row);
  /// The declaration of the service; null if there is none.
  const ServiceDeclaration *declarationOf(const ServiceId &Wanted) const;
  void submit(const std::shared_ptr<Running> &Arrived);
  /// The request no longer waits: it is started or finished.
  void endWait(Running &Waited);
  void refuse(const std::shared_ptr<Running> &Arrived, ErrorKind Kind,
              std::optional<Duration> RetryAfter = std::nullopt);
  void carryOut(const std::vector<SchedulerAction> &Actions);
  void carryOut(const RequestActions &Actions);
  void carryOut(const DispatchAttempt &Action);
  void carryOut(const CancelAttempt &Action);
  void carryOut(const QueryAttempt &Action);
  void carryOut(const DeliverFragment &Action);
  void carryOut(const FinishRequest &Action);
  void carryOut(const SendClaimWrite &Action);
  void carryOut(const ReadTableRow &Action);
  void carryOut(const UpdateOwnerRow &Action);
  void carryOut(const ClaimBatcherActions &Actions);
  void submitClaim(const InstanceId &From, ClaimWrite Write,
                   std::function<void(const ClaimWriteResult &)> Done);
  void callerLeft(const RequestId &Id);
  void attemptEnded(const InstanceId &Upstream, const RequestId &Request, const AttemptId &Attempt,
                    const AttemptEnd &End);
  struct Crash;
  Crash &noteLoss(const InstanceId &Upstream, const EngineLoss &Loss);
  void flushCrashes(TimePoint Now);
  void sendSuspects();
  void heartbeatAnswered(const InstanceId &Upstream, const std::string &Payload);
  void memberChanged(const InstanceRecord &Record);
  void updateEntries();
  void updateLinks();
  void configurationChanged(const Configuration &InForce);
  void readEpoch();
  void tick();
  void loadTick();

  bool takeRetry(const RequestDescription &Request, TimePoint Now) override;
  GenerationId generationOf(const InstanceId &Upstream) const override;
  Incarnation incarnationOf(const InstanceId &Upstream) const override;

  const Settings &m_Settings;
  EventLoop &m_Loop;
  const std::string m_ProcessId;
  PlatformService *m_Platform = nullptr;
  RpcService *m_Rpc = nullptr;
  MembershipService *m_Membership = nullptr;
  TargetsService *m_Targets = nullptr;
  CounterMetric *m_Outcomes = nullptr;
  HistogramMetric *m_Times = nullptr;

  Router m_Router;
  RequestScheduler m_Scheduler;
  CrashSuspects m_Suspects;
  RequestLifecycle m_Lifecycle;
  ClaimBatcher m_Batcher;
  std::map<std::pair<InstanceId, ClaimTicket>, std::function<void(const ClaimWriteResult &)>>
      m_ClaimAnswers;
  std::unordered_map<RequestId, std::shared_ptr<Running>> m_Running;
  /// Requests that were not started yet, of each account that has any.
  std::unordered_map<ClientAccountId, std::size_t> m_WaitingOfAccount;
  std::size_t m_Waiting = 0;
  std::map<std::string, OwnerEntry> m_Owners;
  /// Agents to which monitored connections are kept.
  std::set<InstanceId> m_Links;
  bool m_LinksChanged = true;
  std::map<InstanceId, Incarnation> m_AgentIncarnations;
  struct Crash {
    TimePoint m_At;
    std::vector<SuspectKey> m_Running;
    std::vector<AttemptStatement> m_Ended;
    bool m_IsReported = false;
  };
  std::map<std::pair<InstanceId, Incarnation>, Crash> m_Crashes;
  std::atomic<std::uint64_t> m_NextRequest{1};
  std::uint64_t m_NextOwnerWrite = 1;
  bool m_EpochKnown = false;
  TimePoint m_NextEpochRead;
  TimePoint m_NextLoad;
  bool m_Draining = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_REQUESTSERVICE_H
