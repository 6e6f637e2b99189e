#ifndef FESCUEGAUGE_FESCUEGAUGED_ATTEMPTSERVICE_H
#define FESCUEGAUGE_FESCUEGAUGED_ATTEMPTSERVICE_H

#include "EngineClient.h"
#include "Fescuegauge/AttemptLedger.h"
#include "Fescuegauge/ControlCodec.h"
#include "MembershipService.h"

#include <boost/asio/thread_pool.hpp>
#include <deque>
#include <map>
#include <memory>

namespace fescuegauge {

/// Service "attempts" of an agent: runs the attempts that entry instances dispatch, each at most
/// once, and reports the state of the upstream in answers to their heartbeats.
class AttemptService : public Service {
public:
  /// Limit on queued attempts per unit of engine capacity. Further attempts are refused.
  static constexpr std::size_t MaxQueuedPerCapacity = 2;
  /// Number of answers to non-idempotent attempts that are retained for entry instances whose
  /// connection was lost.
  static constexpr std::size_t MaxRetainedAnswers = 256;
  /// Engine losses are repeated in reports until this time has passed since the latest one, at most
  /// MaxReportedLosses of them.
  static constexpr Duration LossReportPeriod = std::chrono::seconds(10);
  static constexpr std::size_t MaxReportedLosses = 4;
  static constexpr Duration EngineStatusInterval = std::chrono::milliseconds(500);

  AttemptService(const Settings &Configured, Incarnation OwnIncarnation, EventLoop &Loop);
  ~AttemptService() override;

  void start(Kernel &Services) override;
  void beginDrain() override;
  bool isDrained() const override;
  void stop() override;
  std::string notReadyReason() const override;
  boost::json::object dumpState() const override;

  const EngineClient &engine() const { return m_Engine; }

  /// Sets the root digest of the version to which requests may be routed, zero while the engine
  /// must not receive work. Called on the loop by WeightsService.
  void setRoutableRoot(const Digest &Root);
  /// Returns true if no attempt is running or queued. Called on the loop.
  bool isIdle() const { return m_Running.empty() && m_Queued.empty(); }

private:
  struct Attempt {
    AttemptRequest m_Request;
    std::shared_ptr<AttemptSink> m_Sink;
    std::shared_ptr<std::atomic<bool>> m_Cancelled = std::make_shared<std::atomic<bool>>(false);
    /// The answer of a non-idempotent attempt, accumulated until the attempt ends.
    std::string m_Answer;
    std::size_t m_FragmentCount = 0;
  };

  void admit(const PeerIdentity &From, AttemptRequest Request, std::shared_ptr<AttemptSink> Sink);
  std::optional<ErrorKind> admissionError(const AttemptRequest &Request) const;
  void startQueued();
  void startRun(std::shared_ptr<Attempt> Started);
  void onRunEnded(const std::shared_ptr<Attempt> &Ended, const EngineRunResult &Result);
  void finish(const std::shared_ptr<Attempt> &Ended, AttemptStatus Status, WasRun Run,
              const EngineRunResult &Result, ErrorKind Error = ErrorKind::NotReady);
  void retainAnswer(const Attempt &Completed);
  void cancel(const AttemptId &Id);
  /// Returns true if every connected entry instance has processed a report that this upstream is
  /// leaving.
  bool isDrainKnownToEntries() const;
  void queryEngineStatus();
  void onEngineStatus(const std::optional<EngineStatus> &Status);
  void onEngineLost();
  std::string encodeReport() const;

  const Settings &m_Settings;
  const Incarnation m_OwnIncarnation;
  EventLoop &m_Loop;
  EngineClient m_Engine;
  AttemptLedger m_Ledger;
  TimePoint m_LastTickAt;
  boost::asio::thread_pool m_Threads;
  MembershipService *m_Membership = nullptr;
  RpcService *m_Rpc = nullptr;
  std::map<AttemptId, std::shared_ptr<Attempt>> m_Running;
  std::deque<std::shared_ptr<Attempt>> m_Queued;
  std::map<AttemptId, RecordedAnswer> m_RetainedAnswers;
  std::deque<AttemptId> m_RetentionOrder;
  Digest m_RoutableRoot;
  std::optional<EngineStatus> m_Status;
  TimePoint m_StatusReceivedAt;
  bool m_IsStatusQueryPending = false;
  bool m_IsEngineAlive = false;
  Incarnation m_EngineIncarnation;
  std::vector<EngineLoss> m_Losses;
  TimePoint m_LastLossAt;
  bool m_IsDraining = false;
  /// Number of reports sent to each entry instance since the drain began.
  std::map<InstanceId, int> m_DrainReportCounts;
  std::uint64_t m_CompletedCount = 0;
  std::uint64_t m_RefusedCount = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_ATTEMPTSERVICE_H
