#ifndef FESCUEGAUGE_WEIGHTSAGENT_H
#define FESCUEGAUGE_WEIGHTSAGENT_H

#include "Fescuegauge/AsioTypes.h"
#include "Fescuegauge/AsyncHttpClient.h"
#include "Fescuegauge/EmbeddedHttpServer.h"
#include "Fescuegauge/Metrics.h"
#include "Fescuegauge/PieceExchange.h"
#include "Fescuegauge/PieceManifest.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/RoutingPlan.h"
#include "Fescuegauge/StoreOutage.h"

#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuegauge {

/// The state of a runner as reported by it.
struct RunnerReport {
  /// Distinguishes restarts of the runner.
  Incarnation m_Incarnation;
  /// Number of load orders accepted since the runner started.
  std::uint64_t m_OrderCount = 0;
  /// Whether a load order is in progress.
  bool m_IsBusy = false;
  /// Number of running requests.
  std::uint64_t m_Running = 0;
  /// For each model, the version of which all layers are loaded.
  std::map<ModelId, WeightsVersion> m_Loaded;
};

enum class LoadOrderResult {
  Accepted,
  /// The state of the runner does not permit the order; read the report again.
  Refused,
  /// No answer was received; the order may have been accepted.
  Unknown,
};

/// Interface to the runner of an agent. Calls that fail for any reason return nothing or false.
class RunnerControl {
public:
  virtual ~RunnerControl() = default;
  virtual Task<std::optional<RunnerReport>> report() = 0;
  /// Writes one piece to the staging area, replacing an older one with the same number.
  virtual Task<bool> stage(ModelId Model, std::uint32_t Piece,
                           std::shared_ptr<const std::string> Bytes) = 0;
  /// Reads one piece from the staging area.
  virtual Task<std::optional<std::string>> readStaged(ModelId Model, std::uint32_t Piece) = 0;
  /// Orders the runner to load the staged pieces once its running requests have ended. The order is
  /// refused unless the runner has accepted exactly `ExpectedOrders` orders before.
  virtual Task<LoadOrderResult> load(ModelId Model, WeightsVersion Version,
                                     std::uint64_t ExpectedOrders) = 0;
};

/// The answer of the origin or of another agent to the request for a piece.
struct FetchedPiece {
  /// Nothing if the piece did not arrive.
  std::optional<std::string> m_Bytes;
  /// Whether the source was reached and may have sent bytes.
  bool m_WasAsked = false;
  /// Whether the source refused because its upload queue is full.
  bool m_WasBusy = false;
};

/// Client of the origin of new weights.
class WeightsOriginClient {
public:
  virtual ~WeightsOriginClient() = default;
  /// Returns the answer as received; PieceManifest checks it.
  virtual Task<std::optional<DigestList>> digests(ModelId Model, WeightsVersion Version) = 0;
  virtual Task<FetchedPiece> piece(ModelId Model, WeightsVersion Version, std::uint32_t Piece) = 0;
};

/// Lists the agents of the same service, as registered with the platform.
class PeerDirectory {
public:
  virtual ~PeerDirectory() = default;
  /// Returns nothing if the platform is unreachable.
  virtual Task<std::optional<std::vector<PiecePeer>>> peers(ModelId Model,
                                                            WeightsVersion Version) = 0;
};

/// Notifies entry instances that the runner is about to load.
class LoadNotifier {
public:
  virtual ~LoadNotifier() = default;
  /// Requests sent to the runner within `TimeLeft` would have to wait. 0 cancels an earlier notice.
  virtual Task<> notify(Duration TimeLeft) = 0;
};

struct WeightsAgentOptions {
  InstanceId m_Self;
  RegionId m_OriginRegion;
  /// Time from the announcement of a version until no request may begin on an older one.
  Duration m_Deadline = std::chrono::seconds(8);
  std::uint64_t m_Seed = 0;
  /// Rate limit of uploads. The runner's events share the link and queue behind uploads, so it must
  /// be less than the rate of the link.
  BytesPerSecond m_UploadRate{0.75e6};
};

/// Transfers the announced version of a model to the runner of the agent, and serves its pieces to
/// other agents.
///
/// A version goes through these steps: fetch the digests, fetch the pieces (each checked against
/// its digest before it is staged), wait for the scheduled load time, read back the whole staging
/// area, order the load, and wait for a report that shows the version loaded. After a failed step
/// the sequence resumes from the current report. A newer announcement replaces the version at any
/// step before the order.
class WeightsAgent {
public:
  /// Maximum number of queued uploads; further requests are refused, so that the requesting agents
  /// ask another holder instead of queueing at the first one.
  static constexpr std::size_t MaxWaitingUploads = 2;
  /// Long poll of the holdings of this agent: answered when they have changed, after HoldingsWait
  /// at the latest, and not before HoldingsInterval, which bounds the number of answers.
  static constexpr Duration HoldingsWait = std::chrono::milliseconds(1000);
  static constexpr Duration HoldingsInterval = std::chrono::milliseconds(60);
  /// Long poll of digests: answered when they are known, after DigestsWait at the latest.
  /// DigestsTimeout is the time-out of the requesting agent.
  static constexpr Duration DigestsWait = std::chrono::milliseconds(600);
  static constexpr Duration DigestsTimeout = std::chrono::milliseconds(900);
  /// The next source of digests is asked when the previous one has not answered for this time.
  static constexpr Duration DigestsStagger = std::chrono::milliseconds(150);
  /// Time-out of requests to peers for pieces and holdings.
  static constexpr Duration PeerTimeout = std::chrono::milliseconds(2500);
  /// Interval between reports of the runner, when no transfer is due and during a load.
  static constexpr Duration IdleInterval = std::chrono::milliseconds(500);
  static constexpr Duration LoadInterval = std::chrono::milliseconds(100);
  static constexpr Duration RetryInterval = std::chrono::milliseconds(200);
  /// Maximum delay between searches for digests while the origin's lists are refused. It bounds the
  /// load on the origin if the plan states a wrong number of pieces.
  static constexpr Duration MaxSearchDelay = std::chrono::seconds(2);
  /// Maximum age of the list of peers during a transfer, and between transfers.
  static constexpr Duration PeersValidity = std::chrono::seconds(2);
  static constexpr Duration IdlePeersValidity = std::chrono::seconds(10);
  /// Maximum age of a read-back, counted from its first piece, at the time of the order. Corruption
  /// less than 3 s before the load is tolerated; the difference is left for the order.
  static constexpr Duration ReadBackValidity = std::chrono::milliseconds(2500);
  /// Maximum number of announcements whose times are stored.
  static constexpr std::size_t MaxAnnouncements = 16;
  /// Time stated in the notice for which a runner is unavailable: its running requests and the
  /// load.
  static constexpr Duration LoadUnavailability = std::chrono::milliseconds(4000);
  /// Delay from the notice to the read-back before the order, so that the notice arrives first.
  static constexpr Duration NoticeDelay = std::chrono::milliseconds(40);

  WeightsAgent(net::io_context &Loop, AsyncHttpClient &HttpClient, RunnerControl &Runner,
               WeightsOriginClient &Origin, PeerDirectory &Peers, LoadNotifier &Notifier,
               MetricsService &Metrics, WeightsAgentOptions Options);
  ~WeightsAgent();
  WeightsAgent(const WeightsAgent &) = delete;
  WeightsAgent &operator=(const WeightsAgent &) = delete;

  /// Starts the agent and registers the handler for other agents with `Server`; call before
  /// listen().
  void start(EmbeddedHttpServer &Server);
  /// A version was announced, at `NotBefore` at the earliest; `NotBefore` is empty if that may have
  /// been long ago. Versions not newer than the known one are ignored.
  void announce(const ModelId &Model, WeightsVersion Version, std::optional<TimePoint> NotBefore);
  /// Sets the number of pieces of the weights, from the plan in force; 0 is ignored. No transfer
  /// begins before it is known, and transfers with another number are discarded.
  void setPieceCount(std::uint32_t Count);
  /// See WeightsAgentOptions::m_Deadline.
  void setDeadline(Duration Deadline);
  /// Sets the last outage of the platform's store that this agent observed.
  void onOutage(const StoreOutage &Outage);
  boost::json::object dumpState() const;

private:
  struct Implementation;
  std::shared_ptr<Implementation> m_Implementation;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_WEIGHTSAGENT_H
