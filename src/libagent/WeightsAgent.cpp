#include "Fescuegauge/WeightsAgent.h"

#include "DigestSearch.h"
#include "PieceProtocol.h"

#include "Fescuegauge/EndpointText.h"
#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Log.h"
#include "Fescuegauge/ManifestSources.h"
#include "Fescuegauge/ParseNumber.h"
#include "Fescuegauge/Rendezvous.h"
#include "Fescuegauge/ScopeExit.h"
#include "Fescuegauge/TransferPlanner.h"
#include "Fescuegauge/VersionChoice.h"

#include <algorithm>
#include <set>

namespace fescuegauge {

namespace {

constexpr Duration UploadPollInterval = std::chrono::milliseconds(5);
/// Number of digest mismatches of one piece, from any sources, after which its digest is considered
/// wrong.
constexpr std::uint32_t MaxDigestMismatches = 3;

Invariant LoadAfterReadBack("agent.load_only_after_read_back");

using PieceBytes = std::shared_ptr<const std::string>;

/// The rendezvous key of a version.
std::string versionKey(const ModelId &Model, WeightsVersion Version) {
  return Model.str() + "/" + std::to_string(Version.value());
}

/// The transfer of one version.
struct Transfer {
  Transfer(PieceManifest Of, const WeightsAgentOptions &Options)
      : m_Manifest(std::move(Of)), m_Pieces(m_Manifest.pieceCount()),
        m_Staged(m_Manifest.pieceCount()),
        m_Exchange(versionKey(m_Manifest.model(), m_Manifest.version()), m_Manifest.pieceCount(),
                   Options.m_Self, Options.m_OriginRegion, Options.m_Seed, m_StartedAt) {}

  std::uint32_t count() const { return m_Manifest.pieceCount(); }
  bool isComplete() const { return m_Exchange.isComplete(); }
  const ModelId &model() const { return m_Manifest.model(); }
  WeightsVersion version() const { return m_Manifest.version(); }
  TransferProgress progress() const {
    return {m_StartedAt, m_Exchange.held().count(), m_Exchange.reachableCount(), m_Pieces.size()};
  }

  TimePoint m_StartedAt = monotonicNow();
  PieceManifest m_Manifest;
  std::vector<PieceBytes> m_Pieces;
  /// Pieces written to the staging area and not found corrupted there since.
  std::vector<bool> m_Staged;
  PieceExchange m_Exchange;
  /// Peers whose holdings are being followed.
  std::set<InstanceId> m_FollowedPeers;
  std::optional<TimePoint> m_CompleteAt;
  std::uint32_t m_BadPieces = 0;
  /// Number of digest mismatches by piece.
  std::map<std::uint32_t, std::uint32_t> m_DigestMismatches;
};

} // namespace

struct WeightsAgent::Implementation : std::enable_shared_from_this<Implementation> {
  struct Target {
    ModelId m_Model;
    WeightsVersion m_Version;
    /// The earliest possible time of the announcement, if m_IsNews.
    TimePoint m_AnnouncedAt;
    /// False if the version may have been announced long ago.
    bool m_IsNews = false;
  };

  Implementation(net::io_context &Loop, AsyncHttpClient &HttpClient, RunnerControl &Runner,
                 WeightsOriginClient &Origin, PeerDirectory &Peers, LoadNotifier &Notifier,
                 MetricsService &Metrics, WeightsAgentOptions Options)
      : m_Executor(Loop.get_executor()), m_HttpClient(HttpClient), m_Runner(Runner),
        m_Origin(Origin), m_PeerDirectory(Peers), m_Notifier(Notifier),
        m_Options(std::move(Options)),
        m_RefusedLists(Metrics.counter({"fescuegauge_agent_refused_digest_lists_total",
                                        "Lists of piece digests that did not match the plan.",
                                        {}})),
        m_WakeTimer(Loop) {}

  // Steps of the transfer and load of a version.
  Task<> runLoop();
  Task<> advance(const RunnerReport &Report, Target Wanted);
  Task<bool> prepare(Target Wanted);
  /// Keeps the current transfer, in case the wanted version arrives too late.
  void keepFallback(const Target &Wanted);
  Task<bool> fetchDigests(Target Wanted);
  /// Reads the list of peers if it is older than `Validity`. Waits for it only if no peer is known.
  Task<> refreshPeers(Target Wanted, Duration Validity);
  Task<> readPeers(Target Wanted);
  Task<> restoreFromStaging(std::shared_ptr<Transfer> Version);
  Task<> fetchPieces(std::shared_ptr<Transfer> Version);
  Task<> fetchPiece(std::shared_ptr<Transfer> Version, PieceFetch Fetch);
  Task<> followHoldings(std::shared_ptr<Transfer> Version, PiecePeer Peer);
  /// Writes the missing pieces and reads the staging area back. Returns the start time of the
  /// read-back; nothing unless every piece is correct.
  Task<std::optional<TimePoint>> verifyStaging(std::shared_ptr<Transfer> Version);
  Task<FetchedPiece> fetchBytes(std::shared_ptr<Transfer> Version, PieceFetch Fetch);
  Task<> load(RunnerReport Report, Target Wanted, std::shared_ptr<Transfer> Version);
  /// The scheduled time of the load order. `IsIdle` if the runner has no running request.
  TimePoint orderTime(const Target &Wanted, const Transfer &Version, bool IsIdle) const;
  /// The time of the oldest announcement of a version newer than the loaded one, from which the
  /// bound for the loaded version is counted.
  TimePoint oldestPendingAnnouncement(const Target &Wanted) const;
  /// The time after which no request may begin on the version that the runner serves.
  TimePoint boundForLoaded(const Target &Wanted) const {
    return oldestPendingAnnouncement(Wanted) + m_Options.m_Deadline;
  }
  /// The rank of this agent in the order in which the agents load a version, and the number of
  /// agents.
  std::pair<std::size_t, std::size_t> loadRank(WeightsVersion Version) const;
  bool isServingNothing(const ModelId &Model) const;
  /// Whether the fallback must be loaded now, because the wanted version would arrive too late.
  bool isFallbackDue(const Target &Wanted) const;
  bool isWanted(const Transfer &Version) const {
    return m_Target && Version.version() == m_Target->m_Version;
  }
  /// Whether the version may still be loaded.
  bool isLoadable(const std::shared_ptr<Transfer> &Version) const {
    return (Version == m_Current && isWanted(*Version)) || Version == m_Fallback;
  }
  bool isCurrent(const std::shared_ptr<Transfer> &Version) const { return m_Current == Version; }
  /// Whether the pieces of this version may be staged on arrival.
  bool isStagingAllowed(const std::shared_ptr<Transfer> &Version) const {
    return isCurrent(Version) && !m_Fallback;
  }
  /// Records that the staging area no longer holds pieces of any transfer except `Except`.
  void clearStaged(const std::shared_ptr<Transfer> &Except) {
    for (const std::shared_ptr<Transfer> &Each : {m_Current, m_Fallback, m_Replaced, m_Doubted})
      if (Each && Each != Except)
        std::fill(Each->m_Staged.begin(), Each->m_Staged.end(), false);
  }
  /// The transfer of a version, or null if there is none in memory.
  std::shared_ptr<Transfer> findTransfer(const ModelId &Model, WeightsVersion Version) const {
    for (const std::shared_ptr<Transfer> &Each : {m_Current, m_Fallback, m_Replaced})
      if (Each && Each->model() == Model && Each->version() == Version)
        return Each;
    return nullptr;
  }
  /// The transfer whose pieces are served. While digests are in doubt, the pieces that match them
  /// still are: receivers verify pieces with digests of their own.
  std::shared_ptr<Transfer> findServed(const ModelId &Model, WeightsVersion Version) const {
    if (std::shared_ptr<Transfer> Known = findTransfer(Model, Version))
      return Known;
    const bool IsDoubted =
        m_Doubted && m_Doubted->model() == Model && m_Doubted->version() == Version;
    return IsDoubted ? m_Doubted : nullptr;
  }
  void storePiece(Transfer &Version, std::uint32_t Piece, PieceBytes Bytes);
  /// Ends the current transfer, to continue it with digests from the origin.
  void discardDigests();
  /// Takes the pieces of the ended transfer whose digests are the same in the current one.
  void adoptPieces();
  void setPieceCount(std::uint32_t Count);
  /// Delays the next search for digests after the origin's list was refused.
  void delayNextSearch();

  Task<HandlerResponse> serve(HttpRequest Request);
  Task<HandlerResponse> servePiece(PieceName Wanted, std::uint32_t Piece);
  Task<HandlerResponse> serveHoldings(PieceName Wanted, std::string Known);
  /// Whether this agent is about to obtain the digests of a version, because its runner needs the
  /// version or the announcement was not received yet.
  bool willObtainDigests(const PieceName &Wanted) const {
    auto Loaded = m_Loaded.find(Wanted.m_Model);
    if (Loaded != m_Loaded.end() && Loaded->second >= Wanted.m_Version)
      return false;
    return !m_Target || m_Target->m_Version <= Wanted.m_Version;
  }

  Task<> waitForWake(Duration Length);

  net::any_io_executor m_Executor;
  AsyncHttpClient &m_HttpClient;
  RunnerControl &m_Runner;
  WeightsOriginClient &m_Origin;
  PeerDirectory &m_PeerDirectory;
  LoadNotifier &m_Notifier;
  WeightsAgentOptions m_Options;
  CounterMetric &m_RefusedLists;

  net::steady_timer m_WakeTimer;
  /// 0 until it is known.
  std::uint32_t m_PieceCount = 0;
  std::optional<Target> m_Target;
  /// Times of announcements.
  std::map<WeightsVersion, TimePoint> m_AnnouncedAt;
  std::shared_ptr<Transfer> m_Current;
  /// A complete version that is newer than the served one and older than the wanted one.
  std::shared_ptr<Transfer> m_Fallback;
  /// The incomplete transfer that m_Current replaced, kept for peers that continue with it.
  std::shared_ptr<Transfer> m_Replaced;
  std::vector<PiecePeer> m_Peers;
  /// The version to which PiecePeer::m_HoldsAll in m_Peers refers.
  WeightsVersion m_PeersVersion;
  std::optional<TimePoint> m_PeersReadAt;
  bool m_IsReadingPeers = false;
  std::optional<Incarnation> m_Incarnation;
  /// True if the staging area may hold pieces that are not in memory.
  bool m_IsStagingUnread = true;
  std::map<ModelId, WeightsVersion> m_Loaded;
  /// The newest version that the runner served since this agent started.
  std::map<ModelId, WeightsVersion> m_NewestServed;
  /// Consecutive attempts to obtain digests in which no peer was about to obtain them.
  unsigned m_DigestAttempts = 0;
  /// The digests obtained before did not match the pieces; they are read from the origin next.
  bool m_NeedsOriginDigests = false;
  /// The transfer that discardDigests() ended, until its pieces are adopted.
  std::shared_ptr<Transfer> m_Doubted;
  /// Delay of the next search for digests, doubled each time the origin's list is refused; 0 after
  /// a search that found digests.
  Duration m_SearchDelay{0};
  TimePoint m_NextSearchAt;
  std::optional<TimePoint> m_OrderedAt;
  /// The version whose load entry instances were notified of, and which is not ordered yet.
  std::shared_ptr<Transfer> m_NotifiedLoad;
  StoreOutage m_Outage;
  /// Writes to the staging area by fetchPiece() in progress.
  std::size_t m_StageWritesInProgress = 0;
  RateLimiter m_UploadRateLimiter;
  std::size_t m_WaitingUploads = 0;
  std::uint64_t m_UploadedPieces = 0;
};

Task<> WeightsAgent::Implementation::waitForWake(Duration Length) {
  m_WakeTimer.expires_after(Length);
  co_await m_WakeTimer.async_wait(AsTuple);
}

Task<> WeightsAgent::Implementation::runLoop() {
  auto Self = shared_from_this();
  while (true) {
    const std::optional<RunnerReport> Report = co_await m_Runner.report();
    if (!Report) {
      co_await waitForWake(IdleInterval);
      continue;
    }
    if (m_Incarnation != Report->m_Incarnation) {
      logEvent(Severity::Info, "runner_found",
               {{"incarnation", Report->m_Incarnation}, {"models", Report->m_Loaded.size()}});
      m_Incarnation = Report->m_Incarnation;
      m_IsStagingUnread = true;
      clearStaged(nullptr);
    }
    if (m_Loaded != Report->m_Loaded) {
      m_Loaded = Report->m_Loaded;
      if (m_OrderedAt)
        co_await m_Notifier.notify(Duration(0));
      for (const auto &[Model, Version] : m_Loaded) {
        WeightsVersion &Newest = m_NewestServed[Model];
        logEvent(
            Version < Newest ? Severity::Warning : Severity::Info, "runner_serves",
            {{"model", Model},
             {"version", Version},
             {"newestBefore", Newest},
             {"sinceOrderSeconds", m_OrderedAt ? monotonicNow() - *m_OrderedAt : Duration(0)}});
        Newest = std::max(Newest, Version);
      }
    }
    if (!m_Target || m_PieceCount == 0) {
      co_await waitForWake(IdleInterval);
      continue;
    }
    co_await advance(*Report, *m_Target);
  }
}

Task<> WeightsAgent::Implementation::advance(const RunnerReport &Report, Target Wanted) {
  // The notice is cancelled only if that load is no longer wanted; otherwise it is retried at once.
  if (m_NotifiedLoad && !isLoadable(m_NotifiedLoad)) {
    m_NotifiedLoad.reset();
    co_await m_Notifier.notify(Duration(0));
  }
  auto Loaded = Report.m_Loaded.find(Wanted.m_Model);
  const bool IsServingNothing = isServingNothing(Wanted.m_Model);
  if (m_Fallback && !IsServingNothing && Loaded->second >= m_Fallback->version())
    m_Fallback.reset();
  if (!IsServingNothing && Loaded->second >= Wanted.m_Version) {
    m_Replaced.reset();
    co_await refreshPeers(Wanted, IdlePeersValidity);
    co_await waitForWake(IdleInterval);
    co_return;
  }
  const bool Prepared = co_await prepare(Wanted);
  if (!Prepared && !isFallbackDue(Wanted)) {
    co_await waitForWake(RetryInterval);
    co_return;
  }
  const std::shared_ptr<Transfer> Version = Prepared ? m_Current : m_Fallback;
  const TimePoint Due = orderTime(Wanted, *Version, Report.m_Running == 0);
  if (const TimePoint Now = monotonicNow(); Prepared && Now < Due) {
    co_await waitForWake(std::min(Due - Now, LoadInterval));
    co_return;
  }
  if (Report.m_IsBusy) {
    co_await waitForWake(LoadInterval);
    co_return;
  }
  co_await load(Report, Wanted, Version);
}

Task<> WeightsAgent::Implementation::load(RunnerReport Report, Target Wanted,
                                          std::shared_ptr<Transfer> Version) {
  if (!isServingNothing(Wanted.m_Model)) {
    m_NotifiedLoad = Version;
    co_await m_Notifier.notify(LoadUnavailability);
    co_await sleepFor(NoticeDelay);
  }
  const std::optional<TimePoint> ReadBackAt = co_await verifyStaging(Version);
  if (!ReadBackAt)
    co_return;
  const std::optional<RunnerReport> Fresh = co_await m_Runner.report();
  if (!isLoadable(Version))
    co_return;
  const bool Unchanged = Fresh && Fresh->m_Incarnation == Report.m_Incarnation &&
                         Fresh->m_OrderCount == Report.m_OrderCount && !Fresh->m_IsBusy;
  if (!Unchanged)
    co_return;
  if (const Duration Age = monotonicNow() - *ReadBackAt; Age > ReadBackValidity) {
    logEvent(Severity::Warning, "read_back_too_old",
             {{"model", Wanted.m_Model}, {"version", Version->version()}, {"ageSeconds", Age}});
    co_return;
  }
  const bool IsWhole = Version->isComplete() && Version->count() == m_PieceCount;
  if (!LoadAfterReadBack.check(IsWhole, Wanted.m_Model.str()))
    co_return;
  m_OrderedAt = monotonicNow();
  const LoadOrderResult Result =
      co_await m_Runner.load(Wanted.m_Model, Version->version(), Report.m_OrderCount);
  if (Result != LoadOrderResult::Refused)
    m_NotifiedLoad.reset();
  constexpr std::string_view Names[] = {"accepted", "refused", "unknown"};
  logEvent(Severity::Info, "load_ordered",
           {{"model", Wanted.m_Model},
            {"version", Version->version()},
            {"wanted", Wanted.m_Version},
            {"result", Names[static_cast<int>(Result)]},
            {"ageKnown", Wanted.m_IsNews},
            {"sinceAnnouncementSeconds", monotonicNow() - Wanted.m_AnnouncedAt},
            {"boundInSeconds", boundForLoaded(Wanted) - monotonicNow()},
            {"transferSeconds",
             Version->m_CompleteAt.value_or(Version->m_StartedAt) - Version->m_StartedAt},
            {"fromOrigin", Version->m_Exchange.originFetches()},
            {"badPieces", Version->m_BadPieces}});
  co_await waitForWake(LoadInterval);
}

bool WeightsAgent::Implementation::isServingNothing(const ModelId &Model) const {
  auto Loaded = m_Loaded.find(Model);
  return Loaded == m_Loaded.end() || Loaded->second == WeightsVersion();
}

TimePoint WeightsAgent::Implementation::oldestPendingAnnouncement(const Target &Wanted) const {
  TimePoint Announced = Wanted.m_AnnouncedAt;
  auto Loaded = m_Loaded.find(Wanted.m_Model);
  for (const auto &[Version, At] : m_AnnouncedAt)
    if (Loaded != m_Loaded.end() && Version > Loaded->second)
      Announced = std::min(Announced, At);
  return Announced;
}

std::pair<std::size_t, std::size_t>
WeightsAgent::Implementation::loadRank(WeightsVersion Version) const {
  // All agents compute the same order.
  const std::string Key = "turn/" + std::to_string(Version.value());
  const std::uint64_t Own = rendezvousWeight(Key, m_Options.m_Self.str());
  const auto Before = std::count_if(m_Peers.begin(), m_Peers.end(), [&](const PiecePeer &Each) {
    return rendezvousWeight(Key, Each.m_Id.str()) > Own;
  });
  return {static_cast<std::size_t>(Before), m_Peers.size()};
}

TimePoint WeightsAgent::Implementation::orderTime(const Target &Wanted, const Transfer &Version,
                                                  bool IsIdle) const {
  const TimePoint Complete = Version.m_CompleteAt.value_or(monotonicNow());
  if (isServingNothing(Wanted.m_Model) || !Wanted.m_IsNews)
    return Complete;
  const auto [Rank, Count] = loadRank(Version.version());
  return LoadSchedule::orderAt(Complete, boundForLoaded(Wanted), Rank, Count, IsIdle);
}

bool WeightsAgent::Implementation::isFallbackDue(const Target &Wanted) const {
  if (!m_Fallback)
    return false;
  const TimePoint Now = monotonicNow();
  if (isServingNothing(Wanted.m_Model) || !Wanted.m_IsNews)
    return true;
  // After an outage of the store entry instances use the loaded version for longer, which leaves
  // more time for the wanted one. An outage of the store cannot be distinguished here from one of
  // the own link, so orderTime(), for a version that is complete, disregards outages.
  const TimePoint Bound =
      m_Outage.countedFrom(oldestPendingAnnouncement(Wanted), m_Options.m_Deadline) +
      m_Options.m_Deadline;
  const auto [Rank, Count] = loadRank(m_Fallback->version());
  const bool IsNext = m_Current && isWanted(*m_Current);
  return Now >= LoadSchedule::fallbackOrderAt(m_Fallback->m_CompleteAt.value_or(Now), Bound, Rank,
                                              Count) &&
         !VersionChoice::isExpectedInTime(IsNext ? std::optional(m_Current->progress())
                                                 : std::nullopt,
                                          Bound - LoadSchedule::LastOrderMargin, Now);
}

Task<bool> WeightsAgent::Implementation::prepare(Target Wanted) {
  if (m_Current && m_Current->model() == Wanted.m_Model && !isWanted(*m_Current) &&
      !m_Current->isComplete())
    co_await fetchPieces(m_Current);
  if (!m_Current || m_Current->model() != Wanted.m_Model || !isWanted(*m_Current)) {
    keepFallback(Wanted);
    if (isFallbackDue(Wanted))
      co_return false;
    const bool IsFetched = co_await fetchDigests(Wanted);
    if (!IsFetched)
      co_return false;
  }
  const std::shared_ptr<Transfer> Version = m_Current;
  if (m_IsStagingUnread) {
    m_IsStagingUnread = false;
    if (!Version->isComplete())
      co_await restoreFromStaging(Version);
  }
  if (Version->isComplete())
    co_return true;
  co_await refreshPeers(Wanted, PeersValidity);
  if (m_Peers.empty())
    logEvent(Severity::Warning, "peers_unknown", {{"model", Wanted.m_Model}});
  co_await fetchPieces(Version);
  co_return isCurrent(Version) && isWanted(*Version) && Version->isComplete();
}

void WeightsAgent::Implementation::keepFallback(const Target &Wanted) {
  const auto Loaded = m_Loaded.find(Wanted.m_Model);
  const bool IsNewer = m_Current && m_Current->model() == Wanted.m_Model &&
                       (Loaded == m_Loaded.end() || m_Current->version() > Loaded->second);
  if (!IsNewer || !m_Current->isComplete() || m_Fallback == m_Current)
    return;
  m_Fallback = m_Current;
  logEvent(Severity::Info, "fallback_kept",
           {{"model", Wanted.m_Model},
            {"version", m_Fallback->version()},
            {"wanted", Wanted.m_Version}});
}

Task<> WeightsAgent::Implementation::refreshPeers(Target Wanted, Duration Validity) {
  if (m_PeersVersion != Wanted.m_Version) {
    m_PeersVersion = Wanted.m_Version;
    m_PeersReadAt.reset();
    for (PiecePeer &Each : m_Peers)
      Each.m_HoldsAll = false;
  }
  if (m_IsReadingPeers || (m_PeersReadAt && monotonicNow() - *m_PeersReadAt < Validity))
    co_return;
  // The list is delayed while the store is unreachable. A list some seconds old is mostly correct.
  if (m_Peers.empty())
    co_await readPeers(Wanted);
  else
    spawnTask(m_Executor, "read_peers", readPeers(Wanted));
}

Task<> WeightsAgent::Implementation::readPeers(Target Wanted) {
  auto Self = shared_from_this();
  m_IsReadingPeers = true;
  std::optional<std::vector<PiecePeer>> Found;
  {
    const ScopeExit EndRead([this] { m_IsReadingPeers = false; });
    Found = co_await m_PeerDirectory.peers(Wanted.m_Model, Wanted.m_Version);
  }
  if (!Found || m_PeersVersion != Wanted.m_Version)
    co_return;
  m_PeersReadAt = monotonicNow();
  m_Peers = PieceExchange::withoutDuplicates(*Found);
  if (m_Current && m_Current->version() == Wanted.m_Version)
    m_Current->m_Exchange.setPeers(m_Peers);
}

Task<bool> WeightsAgent::Implementation::fetchDigests(Target Wanted) {
  if (monotonicNow() < m_NextSearchAt)
    co_return false;
  co_await refreshPeers(Wanted, PeersValidity);
  std::vector<ManifestSources::Source> Sources{{}};
  if (!m_NeedsOriginDigests)
    Sources =
        ManifestSources::sources(versionKey(Wanted.m_Model, Wanted.m_Version), m_Peers,
                                 m_Options.m_Self, m_Options.m_OriginRegion, m_DigestAttempts);
  const DeclaredPieces Declared{Wanted.m_Model, Wanted.m_Version, m_PieceCount};
  auto Search =
      std::make_shared<DigestSearch>(m_Executor, m_HttpClient, m_Origin, m_RefusedLists, Declared);
  const std::function<bool()> IsAborted = [this, Wanted] { return isFallbackDue(Wanted); };
  std::optional<FoundDigests> Found = co_await Search->run(Sources, IsAborted);
  // While the origin is unreachable, an agent with a live ancestor does not ask it: the origin has
  // few connections, and requests for digests would take them from the importers.
  m_DigestAttempts = Search->isPeerObtainingDigests() ? 0 : m_DigestAttempts + 1;
  if (!Found) {
    logEvent(Severity::Warning, "digests_unavailable",
             {{"model", Wanted.m_Model}, {"version", Wanted.m_Version}});
    if (Search->wasOriginRefused())
      delayNextSearch();
    co_return false;
  }
  m_DigestAttempts = 0;
  m_SearchDelay = Duration(0);
  m_NeedsOriginDigests = false;
  if (!m_Target || m_Target->m_Version != Wanted.m_Version || Declared.m_PieceCount != m_PieceCount)
    co_return false;
  if (m_Current && !m_Current->isComplete())
    m_Replaced = m_Current;
  m_Current = std::make_shared<Transfer>(std::move(Found->m_Manifest), m_Options);
  m_Current->m_Exchange.setPeers(m_Peers);
  adoptPieces();
  logEvent(Severity::Info, "transfer_started",
           {{"model", Wanted.m_Model},
            {"version", Wanted.m_Version},
            {"pieces", m_Current->count()},
            {"piecesHeld", m_Current->m_Exchange.held().count()},
            {"peers", m_Peers.size()},
            {"digestsFrom", Found->m_Source},
            {"sinceAnnouncementSeconds", monotonicNow() - Wanted.m_AnnouncedAt}});
  co_return true;
}

void WeightsAgent::Implementation::delayNextSearch() {
  m_SearchDelay = std::clamp(2 * m_SearchDelay, RetryInterval, MaxSearchDelay);
  m_NextSearchAt = monotonicNow() + m_SearchDelay;
}

void WeightsAgent::Implementation::setPieceCount(std::uint32_t Count) {
  if (Count == 0 || Count == m_PieceCount)
    return;
  logEvent(Severity::Info, "piece_count_set", {{"pieces", Count}, {"before", m_PieceCount}});
  m_PieceCount = Count;
  for (std::shared_ptr<Transfer> *Each : {&m_Current, &m_Fallback, &m_Replaced, &m_Doubted})
    Each->reset();
  // The staging area may hold pieces that are no longer in memory.
  m_IsStagingUnread = true;
  m_SearchDelay = Duration(0);
  m_NextSearchAt = TimePoint();
  m_WakeTimer.cancel();
}

void WeightsAgent::Implementation::storePiece(Transfer &Version, std::uint32_t Piece,
                                              PieceBytes Bytes) {
  if (Version.m_Pieces[Piece])
    return;
  Version.m_Pieces[Piece] = std::move(Bytes);
  Version.m_Exchange.addHeldPiece(Piece);
  if (!Version.isComplete())
    return;
  Version.m_CompleteAt = monotonicNow();
  logEvent(Severity::Info, "transfer_complete",
           {{"model", Version.model()},
            {"version", Version.version()},
            {"seconds", *Version.m_CompleteAt - Version.m_StartedAt},
            {"fromOrigin", Version.m_Exchange.originFetches()},
            {"badPieces", Version.m_BadPieces}});
}

Task<> WeightsAgent::Implementation::restoreFromStaging(std::shared_ptr<Transfer> Version) {
  for (std::uint32_t Piece = 0; Piece < Version->count() && isCurrent(Version); ++Piece) {
    if (Version->m_Pieces[Piece])
      continue;
    std::optional<std::string> Bytes = co_await m_Runner.readStaged(Version->model(), Piece);
    // Without the first piece the staging area most likely holds no piece of this version.
    const bool IsMatch = Bytes && sha256(*Bytes) == Version->m_Manifest.digest(Piece);
    if (!IsMatch && Piece == 0)
      co_return;
    if (!IsMatch)
      continue;
    Version->m_Staged[Piece] = true;
    storePiece(*Version, Piece, std::make_shared<const std::string>(std::move(*Bytes)));
  }
}

Task<> WeightsAgent::Implementation::fetchPieces(std::shared_ptr<Transfer> Version) {
  while (isCurrent(Version) && !Version->isComplete() && !isFallbackDue(*m_Target)) {
    const TimePoint Now = monotonicNow();
    if (!isWanted(*Version) &&
        !VersionChoice::shouldFinishFirst(Version->progress(), Version->m_Exchange.isStalled(Now)))
      co_return;
    for (const PiecePeer &Each : Version->m_Exchange.followedPeers(Now))
      if (Version->m_FollowedPeers.insert(Each.m_Id).second)
        spawnTask(m_Executor, "follow_holdings", followHoldings(Version, Each));
    while (auto Fetch = Version->m_Exchange.next(Now))
      spawnTask(m_Executor, "fetch_piece", fetchPiece(Version, *Fetch));
    co_await waitForWake(ProgressPollInterval);
    if (isWanted(*Version))
      co_await refreshPeers(*m_Target, PeersValidity);
  }
}

Task<> WeightsAgent::Implementation::followHoldings(std::shared_ptr<Transfer> Version,
                                                    PiecePeer Peer) {
  auto Self = shared_from_this();
  const PieceManifest &Manifest = Version->m_Manifest;
  ChunkSet Known(Version->count());
  bool Answered = true;
  while (Answered && isCurrent(Version) && !Version->isComplete()) {
    const std::string Path = piecePath(Manifest.model(), Manifest.version(), HoldingsName) +
                             std::string(KnownParameter) + encodeHoldings(Known);
    const CallResult Answer =
        co_await m_HttpClient.call(Peer.m_Address, makeGet(Path), PeerTimeout);
    const auto Held = Answer.status() == 200
                          ? parseHoldings(Answer.m_Response.body(), Version->count())
                          : std::nullopt;
    Answered = Held.has_value();
    if (Answered) {
      Known = *Held;
      Version->m_Exchange.onHoldings(Peer.m_Id, Known, monotonicNow());
      m_WakeTimer.cancel();
    } else {
      co_await sleepFor(RetryInterval);
    }
  }
  // fetchPieces() follows the peer again if needed.
  Version->m_FollowedPeers.erase(Peer.m_Id);
}

Task<> WeightsAgent::Implementation::fetchPiece(std::shared_ptr<Transfer> Version,
                                                PieceFetch Fetch) {
  auto Self = shared_from_this();
  FetchedPiece Answer = co_await fetchBytes(Version, Fetch);
  std::optional<std::string> &Bytes = Answer.m_Bytes;
  const bool IsGood = Bytes && sha256(*Bytes) == Version->m_Manifest.digest(Fetch.m_Piece);
  PieceResult Result = Answer.m_WasAsked ? PieceResult::Bad : PieceResult::NotStarted;
  if (IsGood)
    Result = PieceResult::Good;
  else if (Answer.m_WasBusy)
    Result = PieceResult::Busy;
  Version->m_Exchange.onEnded(Fetch, Result, monotonicNow());
  m_WakeTimer.cancel();
  if (Result == PieceResult::Busy)
    co_return;
  if (!IsGood) {
    if (Bytes) {
      ++Version->m_BadPieces;
      if (++Version->m_DigestMismatches[Fetch.m_Piece] >= MaxDigestMismatches && isCurrent(Version))
        discardDigests();
    }
    logEvent(Severity::Warning, "piece_not_fetched",
             {{"piece", Fetch.m_Piece},
              {"from", Fetch.m_FromOrigin ? "origin" : Fetch.m_Peer.str()},
              {"corrupt", Bytes.has_value()}});
    co_return;
  }
  storePiece(*Version, Fetch.m_Piece, std::make_shared<const std::string>(std::move(*Bytes)));
  if (!isStagingAllowed(Version) || Version->m_Staged[Fetch.m_Piece])
    co_return;
  const PieceBytes Kept = Version->m_Pieces[Fetch.m_Piece];
  ++m_StageWritesInProgress;
  const ScopeExit EndWrite([this] { --m_StageWritesInProgress; });
  const bool Written = co_await m_Runner.stage(Version->model(), Fetch.m_Piece, Kept);
  Version->m_Staged[Fetch.m_Piece] = Written;
}

Task<FetchedPiece> WeightsAgent::Implementation::fetchBytes(std::shared_ptr<Transfer> Version,
                                                            PieceFetch Fetch) {
  const PieceManifest &Manifest = Version->m_Manifest;
  if (Fetch.m_FromOrigin)
    co_return co_await m_Origin.piece(Manifest.model(), Manifest.version(), Fetch.m_Piece);
  const std::vector<PiecePeer> &Peers = Version->m_Exchange.peers();
  auto Peer = std::find_if(Peers.begin(), Peers.end(),
                           [&](const PiecePeer &Each) { return Each.m_Id == Fetch.m_Peer; });
  if (Peer == Peers.end())
    co_return FetchedPiece();
  CallResult Answer = co_await m_HttpClient.call(
      Peer->m_Address,
      makeGet(piecePath(Manifest.model(), Manifest.version(), std::to_string(Fetch.m_Piece))),
      PeerTimeout);
  FetchedPiece Result;
  Result.m_WasAsked = Answer.m_Kind != CallResult::Kind::NotSent;
  Result.m_WasBusy = Answer.status() == StatusUnavailable;
  if (Answer.status() == 200)
    Result.m_Bytes = std::move(Answer.m_Response.body());
  co_return Result;
}

void WeightsAgent::Implementation::discardDigests() {
  logEvent(Severity::Warning, "digests_doubted",
           {{"model", m_Current->model()}, {"version", m_Current->version()}});
  m_Doubted = std::exchange(m_Current, nullptr);
  m_NeedsOriginDigests = true;
}

void WeightsAgent::Implementation::adoptPieces() {
  const std::shared_ptr<Transfer> From = std::exchange(m_Doubted, nullptr);
  if (!From || From->model() != m_Current->model() || From->version() != m_Current->version())
    return;
  for (std::uint32_t Piece = 0; Piece < From->count(); ++Piece) {
    const PieceBytes &Bytes = From->m_Pieces[Piece];
    if (!Bytes || From->m_Manifest.digest(Piece) != m_Current->m_Manifest.digest(Piece))
      continue;
    m_Current->m_Staged[Piece] = From->m_Staged[Piece];
    storePiece(*m_Current, Piece, Bytes);
  }
}

Task<std::optional<TimePoint>>
WeightsAgent::Implementation::verifyStaging(std::shared_ptr<Transfer> Version) {
  const ModelId Model = Version->model();
  // A write for another version that completes after the read-back would be loaded unverified.
  while (m_StageWritesInProgress > 0)
    co_await sleepFor(ProgressPollInterval);
  clearStaged(Version);
  for (std::uint32_t Piece = 0; Piece < Version->count(); ++Piece) {
    if (Version->m_Staged[Piece])
      continue;
    if (!isLoadable(Version))
      co_return std::nullopt;
    const PieceBytes Kept = Version->m_Pieces[Piece];
    const bool Written = co_await m_Runner.stage(Model, Piece, Kept);
    if (!Written)
      co_return std::nullopt;
    Version->m_Staged[Piece] = true;
  }
  const TimePoint ReadBackAt = monotonicNow();
  bool IsAllGood = true;
  for (std::uint32_t Piece = 0; Piece < Version->count() && isLoadable(Version); ++Piece) {
    const std::optional<std::string> Bytes = co_await m_Runner.readStaged(Model, Piece);
    if (Bytes && sha256(*Bytes) == Version->m_Manifest.digest(Piece))
      continue;
    logEvent(Severity::Warning, "staged_piece_bad",
             {{"model", Model}, {"piece", Piece}, {"missing", !Bytes}});
    Version->m_Staged[Piece] = false;
    IsAllGood = false;
  }
  if (!IsAllGood || !isLoadable(Version))
    co_return std::nullopt;
  co_return ReadBackAt;
}

Task<HandlerResponse> WeightsAgent::Implementation::serve(HttpRequest Request) {
  const std::string Path(Request.target());
  const std::size_t Query = Path.find('?');
  const auto Name = parsePiecePath(Path.substr(0, Query));
  if (!Name)
    co_return HandlerResponse{404, "text/plain", ""};
  if (Name->m_Name == DigestsName) {
    const TimePoint End = monotonicNow() + DigestsWait;
    std::shared_ptr<Transfer> Known = findTransfer(Name->m_Model, Name->m_Version);
    while (!Known && willObtainDigests(*Name) && monotonicNow() < End) {
      co_await sleepFor(ProgressPollInterval);
      Known = findTransfer(Name->m_Model, Name->m_Version);
    }
    if (!Known)
      co_return HandlerResponse{willObtainDigests(*Name) ? StatusUnavailable : StatusNotFound,
                                "text/plain", ""};
    co_return HandlerResponse{200, "text/plain", encodeDigests(Known->m_Manifest.list())};
  }
  if (Name->m_Name == HoldingsName) {
    std::string Known;
    if (Query != std::string::npos && Path.substr(Query).starts_with(KnownParameter))
      Known = Path.substr(Query + KnownParameter.size());
    co_return co_await serveHoldings(*Name, Known);
  }
  const auto Piece = parseNumber<std::uint32_t>(Name->m_Name);
  if (!Piece)
    co_return HandlerResponse{404, "text/plain", ""};
  if (m_WaitingUploads >= MaxWaitingUploads)
    co_return HandlerResponse{StatusUnavailable, "text/plain", ""};
  ++m_WaitingUploads;
  while (!m_UploadRateLimiter.allows(monotonicNow(), Duration(0)))
    co_await sleepFor(UploadPollInterval);
  --m_WaitingUploads;
  HandlerResponse Answer = co_await servePiece(*Name, *Piece);
  const Bytes Size(Answer.m_Body.size());
  // The polling interval is credited; otherwise uploads would stay a tenth below their rate.
  m_UploadRateLimiter.spend(monotonicNow(), m_Options.m_UploadRate.timeFor(Size),
                            UploadPollInterval);
  co_return Answer;
}

Task<HandlerResponse> WeightsAgent::Implementation::serveHoldings(PieceName Wanted,
                                                                  std::string Known) {
  const TimePoint Start = monotonicNow();
  co_await sleepFor(HoldingsInterval);
  while (const auto Version = findServed(Wanted.m_Model, Wanted.m_Version)) {
    std::string Held = encodeHoldings(Version->m_Exchange.held());
    if (Held != Known || monotonicNow() - Start > HoldingsWait)
      co_return HandlerResponse{200, "text/plain", std::move(Held)};
    co_await sleepFor(ProgressPollInterval);
  }
  co_return HandlerResponse{404, "text/plain", ""};
}

Task<HandlerResponse> WeightsAgent::Implementation::servePiece(PieceName Wanted,
                                                               std::uint32_t Piece) {
  const auto Version = findServed(Wanted.m_Model, Wanted.m_Version);
  if (Version && Piece < Version->count() && Version->m_Pieces[Piece]) {
    ++m_UploadedPieces;
    co_return HandlerResponse{200, "application/octet-stream", *Version->m_Pieces[Piece]};
  }
  auto Loaded = m_Loaded.find(Wanted.m_Model);
  if (!Version && Loaded != m_Loaded.end() && Loaded->second == Wanted.m_Version) {
    // This process started after the version was loaded. The receiver verifies the digest.
    std::optional<std::string> Staged = co_await m_Runner.readStaged(Wanted.m_Model, Piece);
    if (Staged) {
      ++m_UploadedPieces;
      co_return HandlerResponse{200, "application/octet-stream", std::move(*Staged)};
    }
  }
  co_return HandlerResponse{404, "text/plain", ""};
}

WeightsAgent::WeightsAgent(net::io_context &Loop, AsyncHttpClient &HttpClient,
                           RunnerControl &Runner, WeightsOriginClient &Origin, PeerDirectory &Peers,
                           LoadNotifier &Notifier, MetricsService &Metrics,
                           WeightsAgentOptions Options)
    : m_Implementation(std::make_shared<Implementation>(Loop, HttpClient, Runner, Origin, Peers,
                                                        Notifier, Metrics, std::move(Options))) {}

WeightsAgent::~WeightsAgent() = default;

void WeightsAgent::start(EmbeddedHttpServer &Server) {
  Server.handle(std::string(PiecePath),
                [Shared = m_Implementation](const HttpRequest &Request) -> Task<HandlerResponse> {
                  return Shared->serve(Request);
                });
  spawnPersistentTask(m_Implementation->m_Executor, "weights_agent",
                      [Shared = m_Implementation] { return Shared->runLoop(); });
}

void WeightsAgent::announce(const ModelId &Model, WeightsVersion Version,
                            std::optional<TimePoint> NotBefore) {
  auto &Known = m_Implementation->m_Target;
  if (Known && Version <= Known->m_Version)
    return;
  Known = Implementation::Target{Model, Version, NotBefore.value_or(monotonicNow()),
                                 NotBefore.has_value()};
  auto &Announced = m_Implementation->m_AnnouncedAt;
  Announced[Version] = Known->m_AnnouncedAt;
  if (Announced.size() > MaxAnnouncements)
    Announced.erase(Announced.begin());
  logEvent(Severity::Info, "weights_announced",
           {{"model", Model}, {"version", Version}, {"isNews", NotBefore.has_value()}});
  m_Implementation->m_WakeTimer.cancel();
}

void WeightsAgent::setPieceCount(std::uint32_t Count) { m_Implementation->setPieceCount(Count); }

void WeightsAgent::onOutage(const StoreOutage &Outage) { m_Implementation->m_Outage = Outage; }

void WeightsAgent::setDeadline(Duration Deadline) {
  m_Implementation->m_Options.m_Deadline = Deadline;
}

boost::json::object WeightsAgent::dumpState() const {
  const Implementation &State = *m_Implementation;
  boost::json::object Result;
  if (State.m_Target) {
    Result["model"] = State.m_Target->m_Model.str();
    Result["version"] = State.m_Target->m_Version.value();
  }
  if (State.m_Current) {
    Result["pieces"] = State.m_Current->count();
    Result["piecesHeld"] = State.m_Current->m_Exchange.held().count();
    Result["fromOrigin"] = State.m_Current->m_Exchange.originFetches();
    Result["badPieces"] = State.m_Current->m_BadPieces;
  }
  Result["peers"] = State.m_Peers.size();
  Result["uploadedPieces"] = State.m_UploadedPieces;
  return Result;
}

} // namespace fescuegauge
