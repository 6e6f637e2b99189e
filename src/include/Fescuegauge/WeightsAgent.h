#ifndef FESCUEGAUGE_WEIGHTSAGENT_H
#define FESCUEGAUGE_WEIGHTSAGENT_H

#include "Fescuegauge/AsioTypes.h"
#include "Fescuegauge/AsyncHttpClient.h"
#include "Fescuegauge/Digest.h"
#include "Fescuegauge/EmbeddedHttpServer.h"
#include "Fescuegauge/PieceExchange.h"
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

/// What a runner says of itself.
struct RunnerReport {
  /// Distinguishes starts of the runner.
  Incarnation m_Incarnation;
  /// Orders accepted since its start.
  std::uint64_t m_OrderCount = 0;
  /// An order is in progress.
  bool m_IsBusy = false;
  /// Requests that it runs.
  std::uint64_t m_Running = 0;
  /// The version of which all layers are loaded, by model.
  std::map<ModelId, WeightsVersion> m_Loaded;
};

enum class LoadOrderResult {
  Accepted,
  /// The runner's state does not fit; read it again.
  Refused,
  /// No answer; the order may have been accepted.
  Unknown,
};

/// The runner beside an agent. Calls that fail for any reason give nothing or false.
class RunnerControl {
public:
  virtual ~RunnerControl() = default;
  virtual Task<std::optional<RunnerReport>> report() = 0;
  /// Writes one piece to the staging area, over an older one of the same number.
  virtual Task<bool> stage(ModelId Model, std::uint32_t Piece,
                           std::shared_ptr<const std::string> Bytes) = 0;
  /// The bytes that the staging area holds.
  virtual Task<std::optional<std::string>> readStaged(ModelId Model, std::uint32_t Piece) = 0;
  /// Has the runner load what is staged once its running requests have ended. The order is valid
  /// only while the runner has accepted `ExpectedOrders` orders.
  virtual Task<LoadOrderResult> load(ModelId Model, WeightsVersion Version,
                                     std::uint64_t ExpectedOrders) = 0;
};

/// The digests of the pieces of one version.
struct PieceManifest {
  ModelId m_Model;
  WeightsVersion m_Version;
  std::vector<Digest> m_Digests;
};

/// The answer of the origin or of another agent to the request for a piece.
struct FetchedPiece {
  /// Nothing if the piece did not arrive.
  std::optional<std::string> m_Bytes;
  /// The source was reached and may have sent bytes.
  bool m_WasAsked = false;
  /// The source refused, because enough uploads wait there.
  bool m_WasBusy = false;
};

/// Where new weights come from.
class WeightsOriginClient {
public:
  virtual ~WeightsOriginClient() = default;
  virtual Task<std::optional<PieceManifest>> manifest(ModelId Model, WeightsVersion Version) = 0;
  virtual Task<FetchedPiece> piece(ModelId Model, WeightsVersion Version, std::uint32_t Piece) = 0;
};

/// The agents of the same service, as far as the platform knows them.
class PeerDirectory {
public:
  virtual ~PeerDirectory() = default;
  /// Nothing if the platform cannot be asked now.
  virtual Task<std::optional<std::vector<PiecePeer>>> peers(ModelId Model,
                                                            WeightsVersion Version) = 0;
};

/// Tells entry instances that the runner is about to load.
class LoadAnnouncer {
public:
  virtual ~LoadAnnouncer() = default;
  /// Requests sent to the runner within `TimeLeft` would wait. 0 takes an earlier notice back.
  virtual Task<> announce(Duration TimeLeft) = 0;
};

struct WeightsAgentOptions {
  InstanceId m_Self;

  RegionId m_OriginRegion;
  /// Time from the announcement of a version until no request may begin on an older one.
  Duration m_Deadline = std::chrono::seconds(8);
  std::uint64_t m_Seed = 0;
  /// Uploads are started at this rate. The runner's events leave by the same link and wait behind
  /// them, so it must be less than the link's rate.
  BytesPerSecond m_UploadRate{0.75e6};
};

/// Brings the announced version of a model to the runner beside it, and serves pieces of it to the
/// other agents.
///
/// A version goes through these steps: digests, pieces (each checked against its digest before it
/// is staged), the wait for the agent's turn, a read-back of the whole staging area, the order to
/// load, and the report that shows it loaded. Any step that fails is taken again from the report. A
/// newer announcement replaces the version at any step before the order.
class WeightsAgent {
public:
  /// Requests of other agents for pieces that wait for their turn; further ones are refused, so
  /// that they ask another holder instead of queueing at the one that had the piece first.
  static constexpr std::size_t MaxWaitingUploads = 2;
  /// A question for what this agent holds is answered when that has changed, after this time at
  /// the latest, and not before HoldingsInterval, which bounds the number of answers.
  static constexpr Duration HoldingsWait = std::chrono::milliseconds(1000);
  static constexpr Duration HoldingsInterval = std::chrono::milliseconds(60);
  /// A request for digests is answered when they are known, after this time at the latest; the
  /// asking agent waits a little longer.
  static constexpr Duration DigestsWait = std::chrono::milliseconds(600);
  static constexpr Duration DigestsTimeout = std::chrono::milliseconds(900);
  /// The next source of digests is asked when the one before has not answered for this long.
  static constexpr Duration DigestsStagger = std::chrono::milliseconds(150);
  /// A peer must deliver a piece within this time.
  static constexpr Duration PeerTimeout = std::chrono::milliseconds(2500);
  /// Interval at which the runner is asked what it holds, at rest and while it loads.
  static constexpr Duration RestInterval = std::chrono::milliseconds(500);
  static constexpr Duration LoadInterval = std::chrono::milliseconds(100);
  static constexpr Duration RetryInterval = std::chrono::milliseconds(200);
  /// The list of peers is read again after this time during a transfer, and between transfers.
  static constexpr Duration PeersValidity = std::chrono::seconds(2);
  static constexpr Duration PeersValidityAtRest = std::chrono::seconds(10);
  /// A staging area whose first piece was read back longer ago than this is read again before the
  /// order. What turned bad less than 3 s before the load is not held against the agent; the rest
  /// of that time is for the order.
  static constexpr Duration ReadBackValidity = std::chrono::milliseconds(2500);
  /// Announcements whose times are remembered.
  static constexpr std::size_t MaxAnnouncements = 16;
  /// Entry instances are told for how long the runner is out: its running requests, and the load.
  static constexpr Duration LoadOutage = std::chrono::milliseconds(4000);
  /// The notice is given this long before the order, so that it arrives first.
  static constexpr Duration NoticeLead = std::chrono::milliseconds(40);

  WeightsAgent(net::io_context &Loop, AsyncHttpClient &Caller, RunnerControl &Runner,
               WeightsOriginClient &Origin, PeerDirectory &Peers, LoadAnnouncer &Announcer,
               WeightsAgentOptions Options);
  ~WeightsAgent();
  WeightsAgent(const WeightsAgent &) = delete;
  WeightsAgent &operator=(const WeightsAgent &) = delete;

  /// Starts to work. `Server` gets the handler for other agents; call before its listen().
  void start(EmbeddedHttpServer &Server);
  /// A version was announced after `NotBefore`; nothing if it may have been announced long ago.
  /// Older ones than the one known are ignored.
  void announce(const ModelId &Model, WeightsVersion Version, std::optional<TimePoint> NotBefore);
  /// See WeightsAgentOptions::m_Deadline.
  void setDeadline(Duration Deadline);
  /// The last outage of the platform's store that this agent saw.
  void onOutage(const StoreOutage &Outage);
  boost::json::object dumpState() const;

private:
  struct Implementation;
  std::shared_ptr<Implementation> m_Implementation;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_WEIGHTSAGENT_H
