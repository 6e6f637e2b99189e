#include "Fescuegauge/WeightsAgent.h"

#include "Fescuegauge/EndpointText.h"
#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Log.h"
#include "Fescuegauge/Rendezvous.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>

namespace fescuegauge {

namespace {

constexpr std::string_view PiecePath = "/pieces/";
/// In place of a piece's number: the digests of all pieces.
constexpr std::string_view DigestsName = "digests";
/// Fetches from one peer at the same time.
constexpr int FetchesPerSource = 2;
constexpr Duration ProgressCheck = std::chrono::milliseconds(30);
constexpr Duration UploadCheck = std::chrono::milliseconds(20);

Invariant LoadedWhatWasVerified("agent.load_only_after_read_back");

std::string piecePath(const ModelId &Model, WeightsVersion Version, std::string_view Name) {
  return std::string(PiecePath) + Model.str() + "/" + std::to_string(Version.value()) + "/" +
         std::string(Name);
}

struct PieceName {
  ModelId m_Model;
  WeightsVersion m_Version;
  std::string m_Name;
};

std::optional<PieceName> parsePiecePath(std::string_view Path) {
  if (!Path.starts_with(PiecePath))
    return std::nullopt;
  Path.remove_prefix(PiecePath.size());
  const std::size_t First = Path.find('/');
  const std::size_t Second = Path.find('/', First + 1);
  if (First == std::string_view::npos || Second == std::string_view::npos)
    return std::nullopt;
  std::uint64_t Version = 0;
  auto [End, Error] =
      std::from_chars(Path.data() + First + 1, Path.data() + Second, Version);
  if (Error != std::errc() || End != Path.data() + Second)
    return std::nullopt;
  return PieceName{ModelId(std::string(Path.substr(0, First))), WeightsVersion(Version),
                   std::string(Path.substr(Second + 1))};
}

std::optional<std::uint32_t> parseIndex(const std::string &Text) {
  std::uint32_t Value = 0;
  auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::string digestsText(const PieceManifest &Manifest) {
  std::string Text;
  for (const Digest &Each : Manifest.m_Digests)
    Text += Each.hex() + "\n";
  return Text;
}

std::vector<Digest> parseDigests(const std::string &Text) {
  std::vector<Digest> Result;
  std::istringstream Lines(Text);
  std::string Line;
  while (std::getline(Lines, Line)) {
    auto Parsed = Digest::fromHex(Line);
    if (!Parsed)
      return {};
    Result.push_back(*Parsed);
  }
  return Result;
}

using PieceBytes = std::shared_ptr<const std::string>;

/// One version on its way to the runner.
struct Transfer {
  Transfer(PieceManifest Of, const WeightsAgentOptions &Options)
      : m_Manifest(std::move(Of)), m_Pieces(m_Manifest.m_Digests.size()),
        m_Staged(m_Manifest.m_Digests.size()),
        m_Sources(m_Manifest.m_Model.str() + "/" + std::to_string(m_Manifest.m_Version.value()),
                  static_cast<std::uint32_t>(m_Manifest.m_Digests.size()), Options.m_Self,
                  Options.m_OriginRegion) {}

  std::uint32_t count() const { return static_cast<std::uint32_t>(m_Pieces.size()); }
  bool isComplete() const { return m_Have == m_Pieces.size(); }

  PieceManifest m_Manifest;
  std::vector<PieceBytes> m_Pieces;
  /// Pieces written to the staging area and not found bad there since.
  std::vector<bool> m_Staged;
  std::size_t m_Have = 0;
  PieceSources m_Sources;
  std::set<std::uint32_t> m_InFlight;
  std::map<InstanceId, int> m_FetchesFrom;
  TimePoint m_StartedAt = monotonicNow();
  std::optional<TimePoint> m_CompleteAt;
  std::uint32_t m_FromOrigin = 0;
  std::uint32_t m_BadPieces = 0;
};

} // namespace

struct WeightsAgent::Implementation : std::enable_shared_from_this<Implementation> {
  struct Target {
    ModelId m_Model;
    WeightsVersion m_Version;
    TimePoint m_AnnouncedAt;
    bool m_IsNews = false;
  };

  Implementation(net::io_context &Loop, HttpCaller &Caller, RunnerControl &Runner,
                 WeightsOriginClient &Origin, PeerDirectory &Peers, WeightsAgentOptions Options)
      : m_Executor(Loop.get_executor()), m_Caller(Caller), m_Runner(Runner), m_Origin(Origin),
        m_PeerDirectory(Peers), m_Options(std::move(Options)), m_Random(m_Options.m_Seed),
        m_Wake(Loop) {}

  // The steps of one version.
  Task<> drive();
  Task<> advance(const RunnerReport &Report, Target Wanted);
  Task<bool> prepare(Target Wanted);
  Task<bool> learnDigests(Target Wanted);
  Task<bool> refreshPeers(Target Wanted);
  Task<> restoreFromStaging(std::shared_ptr<Transfer> Version);
  Task<> fetchPieces(std::shared_ptr<Transfer> Version);
  Task<bool> fetchOne(std::shared_ptr<Transfer> Version);
  Task<bool> verifyStaging(std::shared_ptr<Transfer> Version);
  Task<std::optional<std::string>> fetchFrom(PieceSource From, std::shared_ptr<Transfer> Version,
                                             std::uint32_t Piece);
  TimePoint orderTime(const Target &Wanted, bool ServesNothing) const;
  bool isCurrent(const std::shared_ptr<Transfer> &Version) const {
    return m_Current == Version && m_Target &&
           Version->m_Manifest.m_Version == m_Target->m_Version;
  }
  void accept(Transfer &Version, std::uint32_t Piece, std::string Bytes);

  Task<StatusAnswer> serve(HttpRequest Request);
  Task<StatusAnswer> servePiece(PieceName Wanted, std::uint32_t Piece);

  Task<> pause(Duration Length);

  net::any_io_executor m_Executor;
  HttpCaller &m_Caller;
  RunnerControl &m_Runner;
  WeightsOriginClient &m_Origin;
  PeerDirectory &m_PeerDirectory;
  WeightsAgentOptions m_Options;
  RandomGenerator m_Random;
  net::steady_timer m_Wake;
  std::optional<Target> m_Target;
  std::shared_ptr<Transfer> m_Current;
  std::vector<PiecePeer> m_Peers;
  std::optional<TimePoint> m_PeersAt;
  std::optional<Incarnation> m_Incarnation;
  /// The staging area may hold pieces that are not in memory.
  bool m_StagingUnread = true;
  std::map<ModelId, WeightsVersion> m_Loaded;
  std::optional<TimePoint> m_OrderedAt;
  std::size_t m_Uploads = 0;
  std::size_t m_WaitingUploads = 0;
  std::uint64_t m_UploadedPieces = 0;
};

Task<> WeightsAgent::Implementation::pause(Duration Length) {
  m_Wake.expires_after(Length);
  co_await m_Wake.async_wait(AsTuple);
}

Task<> WeightsAgent::Implementation::drive() {
  auto Self = shared_from_this();
  while (true) {
    const std::optional<RunnerReport> Report = co_await m_Runner.report();
    if (!Report) {
      co_await pause(RestInterval);
      continue;
    }
    if (m_Incarnation != Report->m_Incarnation) {
      logEvent(Severity::Info, "runner_found",
               {{"incarnation", Report->m_Incarnation}, {"models", Report->m_Loaded.size()}});
      m_Incarnation = Report->m_Incarnation;
      m_StagingUnread = true;
      if (m_Current)
        std::fill(m_Current->m_Staged.begin(), m_Current->m_Staged.end(), false);
    }
    if (m_Loaded != Report->m_Loaded) {
      m_Loaded = Report->m_Loaded;
      for (const auto &[Model, Version] : m_Loaded)
        logEvent(Severity::Info, "runner_serves",
                 {{"model", Model},
                  {"version", Version},
                  {"sinceOrderSeconds", m_OrderedAt ? monotonicNow() - *m_OrderedAt : Duration(0)}});
    }
    if (!m_Target) {
      co_await pause(RestInterval);
      continue;
    }
    co_await advance(*Report, *m_Target);
  }
}

Task<> WeightsAgent::Implementation::advance(const RunnerReport &Report, Target Wanted) {
  auto Loaded = Report.m_Loaded.find(Wanted.m_Model);
  const bool ServesNothing =
      Loaded == Report.m_Loaded.end() || Loaded->second == WeightsVersion();
  if (!ServesNothing && Loaded->second >= Wanted.m_Version) {
    co_await pause(RestInterval);
    co_return;
  }
  if (Report.m_IsBusy) {
    co_await pause(LoadInterval);
    co_return;
  }
  const bool Prepared = co_await prepare(Wanted);
  if (!Prepared) {
    co_await pause(RetryInterval);
    co_return;
  }
  const TimePoint Due = orderTime(Wanted, ServesNothing);
  if (const TimePoint Now = monotonicNow(); Now < Due) {
    co_await pause(std::min(Due - Now, RestInterval));
    co_return;
  }
  const std::shared_ptr<Transfer> Version = m_Current;
  const bool Verified = co_await verifyStaging(Version);
  if (!Verified || !isCurrent(Version))
    co_return;
  const TimePoint VerifiedAt = monotonicNow();
  const std::optional<RunnerReport> Fresh = co_await m_Runner.report();
  const bool Unchanged = Fresh && Fresh->m_Incarnation == Report.m_Incarnation &&
                         Fresh->m_OrderCount == Report.m_OrderCount && !Fresh->m_IsBusy;
  if (!Unchanged || monotonicNow() - VerifiedAt > ReadBackValidity)
    co_return;
  if (!LoadedWhatWasVerified.check(Version->isComplete(), Wanted.m_Model.str()))
    co_return;
  m_OrderedAt = monotonicNow();
  const LoadOrderResult Result =
      co_await m_Runner.load(Wanted.m_Model, Wanted.m_Version, Report.m_OrderCount);
  constexpr std::string_view Names[] = {"accepted", "refused", "unknown"};
  logEvent(Severity::Info, "load_ordered",
           {{"model", Wanted.m_Model},
            {"version", Wanted.m_Version},
            {"result", Names[static_cast<int>(Result)]},
            {"sinceAnnouncementSeconds", monotonicNow() - Wanted.m_AnnouncedAt},
            {"transferSeconds", Version->m_CompleteAt.value_or(Version->m_StartedAt) -
                                    Version->m_StartedAt},
            {"fromOrigin", Version->m_FromOrigin},
            {"badPieces", Version->m_BadPieces}});
  co_await pause(LoadInterval);
}

TimePoint WeightsAgent::Implementation::orderTime(const Target &Wanted, bool ServesNothing) const {
  const TimePoint Complete = m_Current->m_CompleteAt.value_or(monotonicNow());
  if (ServesNothing || !Wanted.m_IsNews)
    return Complete;
  // All agents compute the same order of turns.
  const std::string Key = "turn/" + std::to_string(Wanted.m_Version.value());
  const std::uint64_t Own = rendezvousWeight(Key, m_Options.m_Self.str());
  const auto Before = std::count_if(m_Peers.begin(), m_Peers.end(), [&](const PiecePeer &Each) {
    return rendezvousWeight(Key, Each.m_Id.str()) > Own;
  });
  return ConversionSchedule::orderAt(Wanted.m_AnnouncedAt, Complete, m_Options.m_Deadline,
                                     static_cast<std::size_t>(Before), m_Peers.size());
}

Task<bool> WeightsAgent::Implementation::prepare(Target Wanted) {
  const bool IsOther = !m_Current || m_Current->m_Manifest.m_Model != Wanted.m_Model ||
                       m_Current->m_Manifest.m_Version != Wanted.m_Version;
  if (IsOther) {
    const bool Learnt = co_await learnDigests(Wanted);
    if (!Learnt)
      co_return false;
  }
  const std::shared_ptr<Transfer> Version = m_Current;
  if (m_StagingUnread) {
    m_StagingUnread = false;
    if (!Version->isComplete())
      co_await restoreFromStaging(Version);
  }
  if (Version->isComplete())
    co_return true;
  const bool Refreshed = co_await refreshPeers(Wanted);
  if (!Refreshed && m_Peers.empty())
    logEvent(Severity::Warning, "peers_unknown", {{"model", Wanted.m_Model}});
  co_await fetchPieces(Version);
  co_return isCurrent(Version) && Version->isComplete();
}

Task<bool> WeightsAgent::Implementation::refreshPeers(Target Wanted) {
  const TimePoint Now = monotonicNow();
  if (m_PeersAt && Now - *m_PeersAt < PeersValidity)
    co_return true;
  std::optional<std::vector<PiecePeer>> Found =
      co_await m_PeerDirectory.peers(Wanted.m_Model, Wanted.m_Version);
  if (!Found)
    co_return false;
  m_PeersAt = Now;
  m_Peers = std::move(*Found);
  if (m_Current)
    m_Current->m_Sources.setPeers(m_Peers);
  co_return true;
}

Task<bool> WeightsAgent::Implementation::learnDigests(Target Wanted) {
  co_await refreshPeers(Wanted);
  std::optional<PieceManifest> Found;
  auto AskPeer = [this, &Wanted](Endpoint Address) -> Task<std::optional<PieceManifest>> {
    const CallResult Answer =
        co_await m_Caller.call(Address, makeGet(piecePath(Wanted.m_Model, Wanted.m_Version, DigestsName)),
                               PeerTimeout);
    if (Answer.status() != 200)
      co_return std::nullopt;
    PieceManifest Manifest{Wanted.m_Model, Wanted.m_Version,
                           parseDigests(Answer.m_Response.body())};
    if (Manifest.m_Digests.empty())
      co_return std::nullopt;
    co_return Manifest;
  };
  for (const PiecePeer &Each : std::vector<PiecePeer>(m_Peers))
    if (!Found && Each.m_HoldsAll && Each.m_Id != m_Options.m_Self)
      Found = co_await AskPeer(Each.m_Address);
  if (!Found)
    Found = co_await m_Origin.manifest(Wanted.m_Model, Wanted.m_Version);
  for (const PiecePeer &Each : std::vector<PiecePeer>(m_Peers))
    if (!Found && Each.m_Id != m_Options.m_Self)
      Found = co_await AskPeer(Each.m_Address);
  if (!Found) {
    logEvent(Severity::Warning, "digests_unavailable",
             {{"model", Wanted.m_Model}, {"version", Wanted.m_Version}});
    co_return false;
  }
  if (!m_Target || m_Target->m_Version != Wanted.m_Version)
    co_return false;
  m_Current = std::make_shared<Transfer>(std::move(*Found), m_Options);
  m_Current->m_Sources.setPeers(m_Peers);
  logEvent(Severity::Info, "transfer_started",
           {{"model", Wanted.m_Model},
            {"version", Wanted.m_Version},
            {"pieces", m_Current->count()},
            {"peers", m_Peers.size()}});
  co_return true;
}

void WeightsAgent::Implementation::accept(Transfer &Version, std::uint32_t Piece,
                                          std::string Bytes) {
  if (Version.m_Pieces[Piece])
    return;
  Version.m_Pieces[Piece] = std::make_shared<const std::string>(std::move(Bytes));
  ++Version.m_Have;
  if (!Version.isComplete())
    return;
  Version.m_CompleteAt = monotonicNow();
  logEvent(Severity::Info, "transfer_complete",
           {{"model", Version.m_Manifest.m_Model},
            {"version", Version.m_Manifest.m_Version},
            {"seconds", *Version.m_CompleteAt - Version.m_StartedAt},
            {"fromOrigin", Version.m_FromOrigin},
            {"badPieces", Version.m_BadPieces}});
}

Task<> WeightsAgent::Implementation::restoreFromStaging(std::shared_ptr<Transfer> Version) {
  for (std::uint32_t Piece = 0; Piece < Version->count() && isCurrent(Version); ++Piece) {
    if (Version->m_Pieces[Piece])
      continue;
    std::optional<std::string> Bytes =
        co_await m_Runner.readStaged(Version->m_Manifest.m_Model, Piece);
    // A staging area without the first piece, or with another version's, is not worth reading on.
    const bool Fits = Bytes && sha256(*Bytes) == Version->m_Manifest.m_Digests[Piece];
    if (!Fits && Piece == 0)
      co_return;
    if (!Fits)
      continue;
    Version->m_Staged[Piece] = true;
    accept(*Version, Piece, std::move(*Bytes));
  }
}

Task<> WeightsAgent::Implementation::fetchPieces(std::shared_ptr<Transfer> Version) {
  auto Workers = std::make_shared<std::size_t>(0);
  auto Work = [](std::shared_ptr<Implementation> Self, std::shared_ptr<Transfer> Of,
                 std::shared_ptr<std::size_t> Count) -> Task<> {
    while (Self->isCurrent(Of) && !Of->isComplete()) {
      const bool Fetched = co_await Self->fetchOne(Of);
      if (!Fetched)
        co_await sleepFor(ProgressCheck);
    }
    --*Count;
  };
  for (std::size_t I = 0; I < ParallelFetches; ++I) {
    ++*Workers;
    spawnTask(m_Executor, "fetch_pieces", Work(shared_from_this(), Version, Workers));
  }
  while (*Workers > 0) {
    co_await sleepFor(ProgressCheck);
    if (isCurrent(Version) && m_Target)
      co_await refreshPeers(*m_Target);
  }
}

Task<bool> WeightsAgent::Implementation::fetchOne(std::shared_ptr<Transfer> Version) {
  // Imports first, because others wait for them; the rest from a random start, so that agents do
  // not all ask the same peer at the same time.
  const std::uint32_t Count = Version->count();
  const auto Start = static_cast<std::uint32_t>(uniformBelow(m_Random, Count));
  std::optional<std::uint32_t> Chosen;
  std::optional<PieceSource> From;
  for (const bool Imports : {true, false}) {
    for (std::uint32_t I = 0; I < Count && !Chosen; ++I) {
      const std::uint32_t Piece = (Start + I) % Count;
      if (Version->m_Pieces[Piece] || Version->m_InFlight.contains(Piece) ||
          Version->m_Sources.isImporter(Piece) != Imports)
        continue;
      std::optional<PieceSource> Source = Version->m_Sources.next(Piece);
      if (!Source) {
        Version->m_Sources.forgetFailures(Piece);
        continue;
      }
      if (Version->m_FetchesFrom[Source->m_Peer.m_Id] >= FetchesPerSource)
        continue;
      Chosen = Piece;
      From = Source;
    }
  }
  if (!Chosen)
    co_return false;
  const std::uint32_t Piece = *Chosen;
  const InstanceId SourceId = From->m_Peer.m_Id;
  Version->m_InFlight.insert(Piece);
  ++Version->m_FetchesFrom[SourceId];
  std::optional<std::string> Bytes = co_await fetchFrom(*From, Version, Piece);
  --Version->m_FetchesFrom[SourceId];
  Version->m_InFlight.erase(Piece);
  if (!Bytes) {
    Version->m_Sources.onFailed(Piece, *From);
    co_return true;
  }
  if (sha256(*Bytes) != Version->m_Manifest.m_Digests[Piece]) {
    ++Version->m_BadPieces;
    Version->m_Sources.onFailed(Piece, *From);
    logEvent(Severity::Warning, "piece_corrupt",
             {{"piece", Piece}, {"from", From->m_IsOrigin ? "origin" : SourceId.str()}});
    co_return true;
  }
  accept(*Version, Piece, std::move(*Bytes));
  if (isCurrent(Version) && !Version->m_Staged[Piece]) {
    const PieceBytes Kept = Version->m_Pieces[Piece];
    const bool Written = co_await m_Runner.stage(Version->m_Manifest.m_Model, Piece, Kept);
    Version->m_Staged[Piece] = Written;
  }
  co_return true;
}

Task<std::optional<std::string>>
WeightsAgent::Implementation::fetchFrom(PieceSource From, std::shared_ptr<Transfer> Version,
                                        std::uint32_t Piece) {
  const PieceManifest &Manifest = Version->m_Manifest;
  if (From.m_IsOrigin) {
    Version->m_Sources.onOriginFetch();
    ++Version->m_FromOrigin;
    co_return co_await m_Origin.piece(Manifest.m_Model, Manifest.m_Version, Piece);
  }
  CallResult Answer = co_await m_Caller.call(
      From.m_Peer.m_Address,
      makeGet(piecePath(Manifest.m_Model, Manifest.m_Version, std::to_string(Piece))),
      PeerTimeout);
  if (Answer.status() != 200)
    co_return std::nullopt;
  co_return std::move(Answer.m_Response.body());
}

Task<bool> WeightsAgent::Implementation::verifyStaging(std::shared_ptr<Transfer> Version) {
  const ModelId Model = Version->m_Manifest.m_Model;
  for (std::uint32_t Piece = 0; Piece < Version->count(); ++Piece) {
    if (Version->m_Staged[Piece])
      continue;
    if (!isCurrent(Version))
      co_return false;
    const PieceBytes Kept = Version->m_Pieces[Piece];
    const bool Written = co_await m_Runner.stage(Model, Piece, Kept);
    if (!Written)
      co_return false;
    Version->m_Staged[Piece] = true;
  }
  bool AllGood = true;
  for (std::uint32_t Piece = 0; Piece < Version->count() && isCurrent(Version); ++Piece) {
    const std::optional<std::string> Bytes = co_await m_Runner.readStaged(Model, Piece);
    if (Bytes && sha256(*Bytes) == Version->m_Manifest.m_Digests[Piece])
      continue;
    logEvent(Severity::Warning, "staged_piece_bad",
             {{"model", Model}, {"piece", Piece}, {"missing", !Bytes}});
    Version->m_Staged[Piece] = false;
    AllGood = false;
  }
  co_return AllGood && isCurrent(Version);
}

Task<StatusAnswer> WeightsAgent::Implementation::serve(HttpRequest Request) {
  const std::string Target(Request.target());
  const auto Name = parsePiecePath(Target);
  if (!Name)
    co_return StatusAnswer{404, "text/plain", ""};
  const bool IsCurrent = m_Current && m_Current->m_Manifest.m_Model == Name->m_Model &&
                         m_Current->m_Manifest.m_Version == Name->m_Version;
  if (Name->m_Name == DigestsName) {
    if (!IsCurrent)
      co_return StatusAnswer{404, "text/plain", ""};
    co_return StatusAnswer{200, "text/plain", digestsText(m_Current->m_Manifest)};
  }
  const auto Piece = parseIndex(Name->m_Name);
  if (!Piece)
    co_return StatusAnswer{404, "text/plain", ""};
  if (m_WaitingUploads >= MaxWaitingUploads)
    co_return StatusAnswer{503, "text/plain", ""};
  ++m_WaitingUploads;
  const StatusAnswer Answer = co_await servePiece(*Name, *Piece);
  --m_WaitingUploads;
  co_return Answer;
}

Task<StatusAnswer> WeightsAgent::Implementation::servePiece(PieceName Wanted, std::uint32_t Piece) {
  const TimePoint Start = monotonicNow();
  while (monotonicNow() - Start < PieceWait) {
    const std::shared_ptr<Transfer> Version = m_Current;
    const bool IsCurrent = Version && Version->m_Manifest.m_Model == Wanted.m_Model &&
                           Version->m_Manifest.m_Version == Wanted.m_Version;
    if (IsCurrent && Piece < Version->count() && Version->m_Pieces[Piece]) {
      ++m_UploadedPieces;
      co_return StatusAnswer{200, "application/octet-stream", *Version->m_Pieces[Piece]};
    }
    auto Loaded = m_Loaded.find(Wanted.m_Model);
    if (!IsCurrent && Loaded != m_Loaded.end() && Loaded->second == Wanted.m_Version) {
      // This process started after the version was loaded; the receiver checks the digest.
      std::optional<std::string> Staged = co_await m_Runner.readStaged(Wanted.m_Model, Piece);
      if (!Staged)
        break;
      ++m_UploadedPieces;
      co_return StatusAnswer{200, "application/octet-stream", std::move(*Staged)};
    }
    co_await sleepFor(UploadCheck);
  }
  co_return StatusAnswer{404, "text/plain", ""};
}

WeightsAgent::WeightsAgent(net::io_context &Loop, HttpCaller &Caller, RunnerControl &Runner,
                           WeightsOriginClient &Origin, PeerDirectory &Peers,
                           WeightsAgentOptions Options)
    : m_Implementation(std::make_shared<Implementation>(Loop, Caller, Runner, Origin, Peers,
                                                        std::move(Options))) {}

WeightsAgent::~WeightsAgent() = default;

void WeightsAgent::start(StatusServer &Server) {
  Server.handle(std::string(PiecePath),
                [Shared = m_Implementation](const HttpRequest &Request) -> Task<StatusAnswer> {
                  return Shared->serve(Request);
                });
  spawnTask(m_Implementation->m_Executor, "weights_agent", m_Implementation->drive());
}

void WeightsAgent::announce(const ModelId &Model, WeightsVersion Version, bool IsNews) {
  auto &Known = m_Implementation->m_Target;
  if (Known && Version <= Known->m_Version)
    return;
  Known = Implementation::Target{Model, Version, monotonicNow(), IsNews};
  logEvent(Severity::Info, "weights_announced",
           {{"model", Model}, {"version", Version}, {"isNews", IsNews}});
  m_Implementation->m_Wake.cancel();
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
    Result["piecesHeld"] = State.m_Current->m_Have;
    Result["fromOrigin"] = State.m_Current->m_FromOrigin;
    Result["badPieces"] = State.m_Current->m_BadPieces;
  }
  Result["peers"] = State.m_Peers.size();
  Result["uploadedPieces"] = State.m_UploadedPieces;
  return Result;
}

} // namespace fescuegauge
