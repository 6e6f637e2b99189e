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
/// once, and reports the state of the upstream on their heartbeats.
class AttemptService : public Service {
public:
  /// Attempts that wait for a free place at the engine, as a multiple of its capacity; a further
  /// one is refused.
  static constexpr std::size_t MaxWaitingPerPlace = 2;
  /// Answers to non-idempotent work that are kept for entry instances that lost their connection.
  static constexpr std::size_t MaxKeptAnswers = 256;
  /// Losses of the engine are repeated in reports for this long, at most MaxLosses of them.
  static constexpr Duration LossRepeatTime = std::chrono::seconds(10);
  static constexpr std::size_t MaxLosses = 4;
  static constexpr Duration StatusInterval = std::chrono::milliseconds(500);

  AttemptService(const Settings &Configured, Incarnation Started, EventLoop &Loop);
  ~AttemptService() override;

  void start(Kernel &Services) override;
  void beginDrain() override;
  bool isDrained() const override;
  void stop() override;
  std::string notReadyReason() const override;
  boost::json::object dumpState() const override;

  const EngineClient &engine() const { return m_Engine; }

  /// The version to which requests may be routed; zero while the engine must get no work. Called on
  /// the loop by the weights service.
  void setRoutable(const Digest &Root);
  /// True when no attempt runs or waits; on the loop.
  bool isIdle() const { return m_Running.empty() && m_Waiting.empty(); }

private:
  struct Attempt {
    AttemptRequest m_Request;
    std::shared_ptr<AttemptSink> m_Sink;
    std::shared_ptr<std::atomic<bool>> m_Cancelled = std::make_shared<std::atomic<bool>>(false);
    /// The answer of non-idempotent work, kept until it ends.
    std::string m_Answer;
  };

  void run(const PeerIdentity &From, AttemptRequest Request, std::shared_ptr<AttemptSink> Sink);
  std::optional<ErrorKind> refusalFor(const AttemptRequest &Request) const;
  void startWaiting();
  void begin(std::shared_ptr<Attempt> Started);
  void ended(const std::shared_ptr<Attempt> &Ended, const EngineRunResult &Result);
  void end(const std::shared_ptr<Attempt> &Ended, AttemptStatus Status, WasRun Run,
           const EngineRunResult &Result, ErrorKind Error = ErrorKind::NotReady);
  void keepAnswer(const Attempt &Completed);
  void cancel(const AttemptId &Id);
  /// True when every connected entry instance has taken in that this upstream is leaving.
  bool isLeaveKnown() const;
  void checkEngine();
  void engineChecked(const std::optional<EngineStatus> &Status);
  void engineLost();
  std::string report() const;

  const Settings &m_Settings;
  const Incarnation m_Started;
  EventLoop &m_Loop;
  EngineClient m_Engine;
  AttemptLedger m_Ledger;
  boost::asio::thread_pool m_Threads;
  MembershipService *m_Membership = nullptr;
  RpcService *m_Rpc = nullptr;
  std::map<AttemptId, std::shared_ptr<Attempt>> m_Running;
  std::deque<std::shared_ptr<Attempt>> m_Waiting;
  std::map<AttemptId, RecordedAnswer> m_KeptAnswers;
  std::deque<AttemptId> m_KeptOrder;
  Digest m_Routable;
  std::optional<EngineStatus> m_Status;
  TimePoint m_StatusAt;
  bool m_CheckUnderWay = false;
  bool m_EngineAlive = false;
  Incarnation m_EngineIncarnation;
  std::vector<EngineLoss> m_Losses;
  TimePoint m_LastLoss;
  bool m_Draining = false;
  /// Reports sent to each entry instance since the drain began.
  std::map<InstanceId, int> m_LeavingReports;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Refused = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_ATTEMPTSERVICE_H
