#include "Fescuegauge/Log.h"
#include "Fescuegauge/ManifestSources.h"
#include "Fescuegauge/Rendezvous.h"
#include "Fescuegauge/WeightsAgent.h"
#include "LoopbackTestUtils.h"
#include "PieceProtocol.h"

#include <boost/asio/this_coro.hpp>
#include <catch2/catch.hpp>
#include <sstream>
#include <thread>
#include <utility>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

const ModelId Model("model");

std::string pieceBytes(WeightsVersion Version, std::uint32_t Piece) {
  return "version " + std::to_string(Version.value()) + " piece " + std::to_string(Piece);
}

/// A fake runner whose staging area a test can corrupt, and which it can restart.
class FakeRunner : public RunnerControl {
public:
  Task<std::optional<RunnerReport>> report() override {
    co_await sleepFor(1ms);
    co_return m_Report;
  }
  Task<bool> stage(ModelId, std::uint32_t Piece,
                   std::shared_ptr<const std::string> Bytes) override {
    m_Staged[Piece] = *Bytes;
    ++m_Writes;
    co_return true;
  }
  Task<std::optional<std::string>> readStaged(ModelId, std::uint32_t Piece) override {
    if (m_OnRead)
      m_OnRead(Piece);
    auto Found = m_Staged.find(Piece);
    if (Found == m_Staged.end())
      co_return std::nullopt;
    co_return Found->second;
  }
  Task<LoadOrderResult> load(ModelId Of, WeightsVersion Version,
                             std::uint64_t ExpectedOrders) override {
    if (ExpectedOrders != m_Report.m_OrderCount)
      co_return LoadOrderResult::Refused;
    ++m_Report.m_OrderCount;
    m_Loads.push_back(Version);
    m_LoadedBytes = m_Staged;
    if (m_LoadTime > Duration(0))
      spawnTask(co_await net::this_coro::executor, "load", finishLoad(Of, Version));
    else
      m_Report.m_Loaded[Of] = Version;
    co_return m_LosesLoadAnswer ? LoadOrderResult::Unknown : LoadOrderResult::Accepted;
  }

  /// Like a power failure: empties the staging area and resets the count of orders.
  void restart() {
    m_Report = RunnerReport();
    m_Report.m_Incarnation = Incarnation(++m_Starts);
    m_Staged.clear();
  }
  bool holds(WeightsVersion Version) const {
    auto Found = m_Report.m_Loaded.find(Model);
    return Found != m_Report.m_Loaded.end() && Found->second == Version;
  }

  Task<> finishLoad(ModelId Of, WeightsVersion Version) {
    m_Report.m_IsBusy = true;
    co_await sleepFor(m_LoadTime);
    m_Report.m_IsBusy = false;
    m_Report.m_Loaded[Of] = Version;
  }

  RunnerReport m_Report;
  std::map<std::uint32_t, std::string> m_Staged;
  std::map<std::uint32_t, std::string> m_LoadedBytes;
  std::vector<WeightsVersion> m_Loads;
  std::function<void(std::uint32_t)> m_OnRead;
  bool m_LosesLoadAnswer = false;
  Duration m_LoadTime{0};
  int m_Writes = 0;
  std::uint64_t m_Starts = 0;
};

class FakeOrigin : public WeightsOriginClient {
public:
  static constexpr std::uint32_t Pieces = 12;

  Task<std::optional<DigestList>> digests(ModelId Of, WeightsVersion Version) override {
    ++m_DigestCalls;
    if (m_IsDown || m_UnknownVersions.contains(Version))
      co_return std::nullopt;
    DigestList Result{Of, Version, {}};
    for (std::uint32_t I = 0; I < Pieces; ++I)
      Result.m_Digests.push_back(sha256(pieceBytes(Version, I)));
    if (m_OnDigests)
      m_OnDigests(Result);
    co_return Result;
  }
  Task<FetchedPiece> piece(ModelId, WeightsVersion Version, std::uint32_t Piece) override {
    co_await sleepFor(m_PieceTime);
    FetchedPiece Result;
    if (m_IsDown)
      co_return Result;
    ++m_Sent;
    Result.m_WasAsked = true;
    Result.m_Bytes = pieceBytes(Version, Piece);
    if (m_CorruptPieces.erase(Piece) != 0)
      Result.m_Bytes = "corrupt";
    co_return Result;
  }

  /// May alter an answer before it is sent.
  std::function<void(DigestList &)> m_OnDigests;
  bool m_IsDown = false;
  Duration m_PieceTime = 2ms;
  std::set<std::uint32_t> m_CorruptPieces;
  /// Versions that the origin does not have yet.
  std::set<WeightsVersion> m_UnknownVersions;
  int m_Sent = 0;
  int m_DigestCalls = 0;
};

class FakePeers : public PeerDirectory {
public:
  Task<std::optional<std::vector<PiecePeer>>> peers(ModelId, WeightsVersion) override {
    co_await sleepFor(m_Delay);
    co_return m_Peers;
  }
  std::optional<std::vector<PiecePeer>> m_Peers = std::vector<PiecePeer>();
  Duration m_Delay{0};
};

class FakeNotifier : public LoadNotifier {
public:
  Task<> notify(Duration TimeLeft) override {
    m_Notices.push_back(TimeLeft);
    co_return;
  }
  std::vector<Duration> m_Notices;
};

/// One agent with its runner, on an event loop that the test runs.
class AgentFixture {
public:
  explicit AgentFixture(net::io_context &Loop, const std::string &Name = "127.0.0.1",
                        std::uint32_t PieceCount = FakeOrigin::Pieces)
      : m_Loop(Loop), m_Pool(Loop.get_executor()), m_HttpClient(m_Pool), m_Server(Loop) {
    m_Address = test::loopbackEndpoint(test::freePort(Loop));
    WeightsAgentOptions Options;
    Options.m_Self = InstanceId(Name);
    Options.m_OriginRegion = RegionId("r");
    Options.m_Deadline = 400ms;
    Options.m_Seed = 5;
    m_Agent = std::make_unique<WeightsAgent>(Loop, m_HttpClient, m_Runner, m_Origin, m_Peers,
                                             m_Notifier, m_Metrics, Options);
    m_Agent->setPieceCount(PieceCount);
    m_Agent->start(m_Server);
    m_Server.listen(m_Address);
  }

  PiecePeer peer(const std::string &Name, bool HoldsAll) const {
    return {InstanceId(Name), m_Address, DataCentreId("d"), RegionId("r"), HoldsAll};
  }

  bool runUntil(const std::function<bool()> &Holds, Duration Limit = 5s) {
    return test::runUntil(m_Loop, Holds, Limit);
  }

  net::io_context &m_Loop;
  ConnectionPool m_Pool;
  AsyncHttpClient m_HttpClient;
  EmbeddedHttpServer m_Server;
  Endpoint m_Address;
  FakeRunner m_Runner;
  FakeOrigin m_Origin;
  FakePeers m_Peers;
  FakeNotifier m_Notifier;
  MetricsService m_Metrics;
  std::unique_ptr<WeightsAgent> m_Agent;
};

void checkLoadedCompletely(const AgentFixture &Fixture, WeightsVersion Version) {
  REQUIRE(Fixture.m_Runner.m_LoadedBytes.size() == FakeOrigin::Pieces);
  for (const auto &[Piece, Bytes] : Fixture.m_Runner.m_LoadedBytes)
    CHECK(Bytes == pieceBytes(Version, Piece));
}

const WeightsVersion First(1);
const WeightsVersion Second(2);
const WeightsVersion Third(3);

} // namespace

TEST_CASE("an empty runner loads the complete announced version", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
  checkLoadedCompletely(Fixture, First);
  CHECK(Fixture.m_Origin.m_Sent == FakeOrigin::Pieces);
  // Entry instances are not notified of the load of a runner that serves nothing.
  CHECK((Fixture.m_Notifier.m_Notices.empty() || Fixture.m_Notifier.m_Notices[0] == 0s));
}

TEST_CASE("a corrupt piece from the origin is fetched again", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Origin.m_CorruptPieces = {3, 7};
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
  checkLoadedCompletely(Fixture, First);
  CHECK(Fixture.m_Origin.m_Sent == FakeOrigin::Pieces + 2);
}

// Guards against a load of a mixture of two versions: a list of digests that is shorter than the
// version made the transfer complete with the pieces of the older version in the staging area.
TEST_CASE("a list of digests that does not match the plan is not used", "[agent]") {
  const auto Alter = GENERATE(values<std::function<void(DigestList &)>>({
      [](DigestList &List) { List.m_Digests.resize(FakeOrigin::Pieces / 2); },
      [](DigestList &List) { List.m_Digests.pop_back(); },
      [](DigestList &List) { List.m_Digests.clear(); },
      [](DigestList &List) { List.m_Digests.push_back(sha256("further")); },
      [](DigestList &List) { List.m_Version = First; },
      [](DigestList &List) { List.m_Model = ModelId("other"); },
  }));
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Runner.m_Report.m_Loaded[Model] = First;
  for (std::uint32_t I = 0; I < FakeOrigin::Pieces; ++I)
    Fixture.m_Runner.m_Staged[I] = pieceBytes(First, I);
  Fixture.m_Origin.m_OnDigests = [&](DigestList &List) {
    if (Fixture.m_Origin.m_DigestCalls == 1)
      Alter(List);
  };
  Fixture.m_Agent->announce(Model, Second, monotonicNow());
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(Second); }));
  CHECK(Fixture.m_Runner.m_Loads == std::vector<WeightsVersion>{Second});
  checkLoadedCompletely(Fixture, Second);
  CHECK(Fixture.m_Origin.m_DigestCalls == 2);
}

// Guards against a list of the right length with a wrong digest: it must not hold the version back,
// and the pieces that match both lists must not be fetched again.
TEST_CASE("a wrong digest costs only the fetches of its piece", "[agent]") {
  constexpr int Mismatches = 3;
  const std::size_t Wrong = GENERATE(0, 5, FakeOrigin::Pieces - 1);
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Runner.m_Report.m_Loaded[Model] = First;
  Fixture.m_Origin.m_OnDigests = [&](DigestList &List) {
    if (Fixture.m_Origin.m_DigestCalls == 1)
      List.m_Digests[Wrong] = sha256("other");
  };
  Fixture.m_Agent->announce(Model, Second, monotonicNow());
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(Second); }));
  checkLoadedCompletely(Fixture, Second);
  CHECK(Fixture.m_Origin.m_DigestCalls == 2);
  CHECK(Fixture.m_Origin.m_Sent <= static_cast<int>(FakeOrigin::Pieces) + Mismatches);
}

// Guards against an agent that stops serving its pieces while it waits for the origin's digests in
// place of those in doubt.
TEST_CASE("an agent with doubted digests serves the pieces that it holds", "[agent]") {
  constexpr int Mismatches = 3;
  constexpr std::uint32_t Wrong = 5;
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Origin.m_OnDigests = [&](DigestList &List) {
    List.m_Digests[Wrong] = sha256("other");
    Fixture.m_Origin.m_UnknownVersions = {First};
  };
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  const auto HasDigests = [&] { return Fixture.m_Agent->dumpState().contains("pieces"); };
  REQUIRE(Fixture.runUntil(HasDigests));
  REQUIRE(Fixture.runUntil([&] { return !HasDigests(); }));
  test::runFor(Loop, 50ms);
  const auto Get = [&](std::string_view Name) {
    std::optional<CallResult> Result;
    const auto Call = [&]() -> Task<> {
      Result = co_await Fixture.m_HttpClient.call(Fixture.m_Address,
                                                  makeGet(piecePath(Model, First, Name)), 2s);
    };
    spawnTask(Loop.get_executor(), "get", Call());
    REQUIRE(Fixture.runUntil([&] { return Result.has_value(); }));
    return std::move(*Result);
  };
  const int Held = Fixture.m_Origin.m_Sent - Mismatches;
  REQUIRE(Held > 0);
  int Served = 0;
  for (std::uint32_t Piece = 0; Piece < FakeOrigin::Pieces; ++Piece) {
    const CallResult Answer = Get(std::to_string(Piece));
    if (Answer.status() != 200)
      continue;
    ++Served;
    CHECK(Piece != Wrong);
    CHECK(Answer.m_Response.body() == pieceBytes(First, Piece));
  }
  CHECK(Served == Held);
  const CallResult Holdings = Get(HoldingsName);
  REQUIRE(Holdings.status() == 200);
  const auto Listed = parseHoldings(Holdings.m_Response.body(), FakeOrigin::Pieces);
  REQUIRE(Listed);
  CHECK(Listed->count() == static_cast<std::size_t>(Held));
  CHECK(Get(DigestsName).status() == StatusUnavailable);
  Fixture.m_Origin.m_OnDigests = nullptr;
  Fixture.m_Origin.m_UnknownVersions.clear();
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
  checkLoadedCompletely(Fixture, First);
}

// Guards against an agent that takes incomplete or foreign digests from another agent: one bad list
// of the origin reached four of six runners.
TEST_CASE("a list of another agent that does not match the plan is not used", "[agent]") {
  std::string Digests;
  for (std::uint32_t I = 0; I < FakeOrigin::Pieces; ++I)
    Digests += sha256(pieceBytes(Second, I)).hex() + "\n";
  const std::string Half = Digests.substr(0, Digests.size() / 2);
  const std::string Answer = GENERATE_COPY(
      values<std::string>({"model 2\n" + Half, Digests, Half, "model 1\n" + Digests,
                           "other 2\n" + Digests, "model 2\n", "", "model x\n" + Digests}));
  net::io_context Loop;
  test::LoopbackServer Peer(Loop, [&](Tcp::socket Socket) {
    return test::serveRequests(
        std::move(Socket), [&](HttpRequest Request) -> Task<std::optional<HttpResponse>> {
          HttpResponse Response;
          const std::string Path(Request.target());
          const std::string Name = Path.substr(Path.rfind('/') + 1);
          Response.body() = Name == "digests"
                                ? Answer
                                : pieceBytes(Second, static_cast<std::uint32_t>(std::stoul(Name)));
          co_return Response;
        });
  });
  // The agent is below the roots of the tree, so it asks other agents first.
  std::vector<PiecePeer> Peers;
  for (int I = 0; I < 5; ++I)
    Peers.push_back({InstanceId("agent-" + std::to_string(I)), Peer.address(), DataCentreId("d"),
                     RegionId("r"), true});
  const auto IsBelowRoots = [&](const PiecePeer &Each) {
    const auto Sources = ManifestSources::sources("model/2", Peers, Each.m_Id, RegionId("r"), 0);
    return Sources.front().m_Peer.has_value();
  };
  const auto Own = std::find_if(Peers.begin(), Peers.end(), IsBelowRoots);
  REQUIRE(Own != Peers.end());
  AgentFixture Fixture(Loop, Own->m_Id.str());
  Own->m_Address = Fixture.m_Address;
  Own->m_HoldsAll = false;
  Fixture.m_Runner.m_Report.m_Loaded[Model] = First;
  for (std::uint32_t I = 0; I < FakeOrigin::Pieces; ++I)
    Fixture.m_Runner.m_Staged[I] = pieceBytes(First, I);
  Fixture.m_Peers.m_Peers = Peers;
  Fixture.m_Agent->announce(Model, Second, monotonicNow());
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(Second); }));
  CHECK(Fixture.m_Runner.m_Loads == std::vector<WeightsVersion>{Second});
  checkLoadedCompletely(Fixture, Second);
  CHECK(Fixture.m_Metrics.serialize().find("fescuegauge_agent_refused_digest_lists_total 0") ==
        std::string::npos);
}

// Guards against a load, and against a flood of requests at the origin, if the plan and the origin
// disagree about the number of pieces.
TEST_CASE("an agent whose plan states another number of pieces waits for the next plan",
          "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Agent->setPieceCount(FakeOrigin::Pieces + 1);
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  Fixture.runUntil([] { return false; }, 4s);
  CHECK(Fixture.m_Runner.m_Loads.empty());
  CHECK(Fixture.m_Origin.m_DigestCalls > 0);
  // Three searches of at most five requests each, as the delay between them doubles.
  CHECK(Fixture.m_Origin.m_DigestCalls <= 15);
  CHECK(Fixture.m_Metrics.serialize().find("fescuegauge_agent_refused_digest_lists_total " +
                                           std::to_string(Fixture.m_Origin.m_DigestCalls)) !=
        std::string::npos);
  Fixture.m_Agent->setPieceCount(FakeOrigin::Pieces);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }, 2s));
  checkLoadedCompletely(Fixture, First);
}

// Guards against a load of weights whose number of pieces is no longer the declared one.
TEST_CASE("a transfer is discarded when the plan changes the number of pieces", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Origin.m_PieceTime = 30ms;
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Origin.m_Sent >= 4; }));
  Fixture.m_Agent->setPieceCount(FakeOrigin::Pieces - 1);
  Fixture.m_Origin.m_OnDigests = [](DigestList &List) { List.m_Digests.pop_back(); };
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
  CHECK(Fixture.m_Runner.m_Loads.size() == 1);
  CHECK(Fixture.m_Agent->dumpState()["pieces"].to_number<std::uint32_t>() ==
        FakeOrigin::Pieces - 1);
}

TEST_CASE("no transfer begins before the number of pieces is known", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop, "127.0.0.1", 0);
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  Fixture.runUntil([] { return false; }, 300ms);
  CHECK(Fixture.m_Origin.m_DigestCalls == 0);
  Fixture.m_Agent->setPieceCount(FakeOrigin::Pieces);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
  checkLoadedCompletely(Fixture, First);
}

// Guards against a load of a staging area that was corrupted after the pieces were written.
TEST_CASE("no load is ordered for a corrupted staging area", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  int Corruptions = 0;
  Fixture.m_Runner.m_OnRead = [&](std::uint32_t Piece) {
    if (Piece == 5 && Fixture.m_Runner.m_Writes >= static_cast<int>(FakeOrigin::Pieces) &&
        Corruptions++ < 2)
      Fixture.m_Runner.m_Staged[5] = "rotten";
  };
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
  CHECK(Corruptions >= 2);
  checkLoadedCompletely(Fixture, First);
}

// Guards against a load after a slow read-back: the pieces read first may be corrupted while the
// others are read.
TEST_CASE("a read-back that took too long is repeated before the load", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  bool WasDelayed = false;
  Fixture.m_Runner.m_OnRead = [&](std::uint32_t Piece) {
    const bool IsReadBack = Fixture.m_Runner.m_Writes >= static_cast<int>(FakeOrigin::Pieces);
    if (Piece != 5 || !IsReadBack || std::exchange(WasDelayed, true))
      return;
    Fixture.m_Runner.m_Staged[0] = "rotten";
    std::this_thread::sleep_for(WeightsAgent::ReadBackValidity + 100ms);
  };
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
  CHECK(WasDelayed);
  checkLoadedCompletely(Fixture, First);
}

TEST_CASE("a runner that restarts between read-back and order is loaded again", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  bool Restarted = false;
  Fixture.m_Runner.m_OnRead = [&](std::uint32_t Piece) {
    if (Piece == FakeOrigin::Pieces - 1 && !Restarted && !Fixture.m_Runner.m_Staged.empty()) {
      Restarted = true;
      Fixture.m_Runner.restart();
    }
  };
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
  CHECK(Restarted);
  checkLoadedCompletely(Fixture, First);
}

TEST_CASE("a version announced during the transfer of another replaces it", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Origin.m_PieceTime = 30ms;
  Fixture.m_Agent->announce(Model, First, monotonicNow());
  Fixture.runUntil([&] { return Fixture.m_Origin.m_Sent >= 4; });
  Fixture.m_Agent->announce(Model, Second, monotonicNow());
  Fixture.m_Agent->announce(Model, First, monotonicNow());
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(Second); }));
  CHECK(Fixture.m_Runner.m_Loads == std::vector<WeightsVersion>{Second});
  checkLoadedCompletely(Fixture, Second);
}

// Guards against missing log lines for a runner that serves older weights than its entry says, and
// for the time of an order relative to the bound.
TEST_CASE("log lines report a runner that returns to older weights", "[agent]") {
  std::ostringstream Lines;
  LogService Logs({}, Lines);
  Kernel Services;
  Logs.start(Services);
  {
    net::io_context Loop;
    AgentFixture Fixture(Loop);
    Fixture.m_Runner.m_Report.m_Loaded[Model] = First;
    Fixture.m_Agent->announce(Model, Second, monotonicNow());
    REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(Second); }));
    test::runFor(Loop, 2 * WeightsAgent::LoadInterval);
    Fixture.m_Runner.restart();
    Fixture.m_Runner.m_Report.m_Loaded[Model] = First;
    Fixture.m_Agent->announce(Model, Second, std::nullopt);
    REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(Second); }));
  }
  Logs.stop();
  const std::string Text = Lines.str();
  INFO(Text);
  CHECK(Text.find("severity=info event=runner_serves model=model version=1 newestBefore=0") !=
        std::string::npos);
  CHECK(Text.find("severity=info event=runner_serves model=model version=2 newestBefore=1") !=
        std::string::npos);
  CHECK(Text.find("severity=warning event=runner_serves model=model version=1 newestBefore=2") !=
        std::string::npos);
  CHECK(Text.find("event=load_ordered model=model version=2 wanted=2 result=accepted ageKnown=true "
                  "sinceAnnouncementSeconds=0.") != std::string::npos);
  CHECK(Text.find(" boundInSeconds=") != std::string::npos);
}

// Guards against versions announced within seconds of each other that replace one another until no
// runner holds a usable one: with an unreachable origin, requests were refused for eight seconds.
TEST_CASE("a nearly complete version is loaded if the newer one does not arrive", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Runner.m_Report.m_Loaded[Model] = First;
  Fixture.m_Origin.m_PieceTime = 20ms;
  Fixture.m_Origin.m_UnknownVersions = {Third};
  Fixture.m_Agent->announce(Model, Second, monotonicNow());
  Fixture.runUntil([&] { return Fixture.m_Origin.m_Sent >= 10; });
  Fixture.m_Agent->announce(Model, Third, monotonicNow());
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(Second); }));
  checkLoadedCompletely(Fixture, Second);
  Fixture.m_Origin.m_UnknownVersions.clear();
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(Third); }));
  checkLoadedCompletely(Fixture, Third);
}

// Guards against pieces of two versions in the staging area: the wanted version arrives while the
// older one is kept as the fallback and loaded.
TEST_CASE("an older version is loaded completely while the wanted one arrives", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Runner.m_Report.m_Loaded[Model] = First;
  Fixture.m_Agent->announce(Model, Second, monotonicNow());
  Fixture.runUntil([&] { return Fixture.m_Origin.m_Sent >= static_cast<int>(FakeOrigin::Pieces); });
  Fixture.m_Origin.m_PieceTime = 150ms;
  Fixture.m_Agent->announce(Model, Third, monotonicNow());
  REQUIRE(Fixture.runUntil([&] { return !Fixture.m_Runner.m_Loads.empty(); }));
  if (Fixture.m_Runner.m_Loads.front() == Second)
    checkLoadedCompletely(Fixture, Second);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(Third); }));
  checkLoadedCompletely(Fixture, Third);
}

// Guards against agents that wait 0.9 s for one hung agent before they ask another one.
TEST_CASE("digests are requested from the next agent when one does not answer", "[agent]") {
  net::io_context Loop;
  // Connections are accepted by the kernel and never answered.
  Tcp::acceptor Unresponsive(Loop, Tcp::endpoint(test::loopbackAddress(), 0));
  constexpr int Count = 16;
  std::vector<std::unique_ptr<AgentFixture>> Agents;
  std::vector<PiecePeer> Peers;
  for (int I = 0; I < Count; ++I) {
    const std::string Name = "agent-" + std::to_string(I);
    Agents.push_back(std::make_unique<AgentFixture>(Loop, Name));
    Peers.push_back(Agents.back()->peer(Name, false));
  }
  const auto Sources =
      ManifestSources::sources(Model.str() + "/1", Peers, InstanceId("agent-0"), RegionId("r"), 0);
  std::string Parent;
  for (const ManifestSources::Source &Each : Sources)
    if (Each.m_Peer && Parent.empty())
      Parent = Each.m_Peer->m_Id.str();
  REQUIRE_FALSE(Parent.empty());
  for (PiecePeer &Each : Peers)
    if (Each.m_Id.str() == Parent)
      Each.m_Address.m_Port = Unresponsive.local_endpoint().port();
  const TimePoint Start = monotonicNow();
  for (int I = 0; I < Count; ++I) {
    Agents[static_cast<std::size_t>(I)]->m_Peers.m_Peers = Peers;
    if (Peers[static_cast<std::size_t>(I)].m_Id.str() != Parent)
      Agents[static_cast<std::size_t>(I)]->m_Agent->announce(Model, First, std::nullopt);
  }
  REQUIRE(Agents.front()->runUntil(
      [&] { return Agents.front()->m_Agent->dumpState().contains("pieces"); }));
  CHECK(monotonicNow() - Start < 2 * WeightsAgent::DigestsStagger + 200ms);
}

// Guards against all agents asking an unreachable origin and occupying its few connections when it
// returns: on a site with 88 agents the importers got no connection for 3.5 s.
TEST_CASE("few agents ask an unreachable origin for digests", "[agent]") {
  net::io_context Loop;
  constexpr int Count = 16;
  std::vector<std::unique_ptr<AgentFixture>> Agents;
  std::vector<PiecePeer> Peers;
  for (int I = 0; I < Count; ++I) {
    const std::string Name = "agent-" + std::to_string(I);
    Agents.push_back(std::make_unique<AgentFixture>(Loop, Name));
    Peers.push_back(Agents.back()->peer(Name, false));
  }
  for (const auto &Each : Agents) {
    Each->m_Peers.m_Peers = Peers;
    Each->m_Origin.m_IsDown = true;
    Each->m_Agent->announce(Model, First, std::nullopt);
  }
  Agents.front()->runUntil([] { return false; }, 3s);
  const auto Asking = std::count_if(Agents.begin(), Agents.end(), [](const auto &Each) {
    return Each->m_Origin.m_DigestCalls > 0;
  });
  CHECK(Asking == static_cast<std::ptrdiff_t>(ManifestSources::MaxRoots));
  for (const auto &Each : Agents)
    Each->m_Origin.m_IsDown = false;
  REQUIRE(Agents.front()->runUntil([&] {
    return std::all_of(Agents.begin(), Agents.end(),
                       [](const auto &Each) { return Each->m_Runner.holds(First); });
  }));
}

// Guards against agents that wait for the list of peers while the store is unreachable, although
// they have one that is some seconds old: the agents of a data centre began a transfer 4 s late.
TEST_CASE("a transfer begins with the known peers", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Peers.m_Peers = {Fixture.peer("127.0.0.1", false)};
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
  Fixture.m_Peers.m_Delay = 2s;
  const TimePoint Start = monotonicNow();
  Fixture.m_Agent->announce(Model, Second, std::nullopt);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(Second); }));
  CHECK(monotonicNow() - Start < 1s);
}

TEST_CASE("a version is loaded after an outage of the origin", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Origin.m_IsDown = true;
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  Fixture.runUntil([] { return false; }, 700ms);
  CHECK(Fixture.m_Runner.m_Loads.empty());
  Fixture.m_Origin.m_IsDown = false;
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
}

TEST_CASE("a lost answer to an order does not lead to a second load", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Runner.m_LosesLoadAnswer = true;
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
  Fixture.runUntil([] { return false; }, 700ms);
  CHECK(Fixture.m_Runner.m_Loads.size() == 1);
}

TEST_CASE("entry instances are notified before and after the load of a serving runner", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Runner.m_Report.m_Loaded[Model] = First;
  Fixture.m_Agent->announce(Model, Second, monotonicNow());
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Notifier.m_Notices.size() >= 2; }));
  CHECK(Fixture.m_Notifier.m_Notices.front() == WeightsAgent::LoadUnavailability);
  CHECK(Fixture.m_Notifier.m_Notices.back() == 0s);
  CHECK(Fixture.m_Runner.holds(Second));
}

// Guards against a runner that still starts requests on older weights after the bound, because its
// agent mistook a congested link for an outage of the store and restarted the bound.
TEST_CASE("an agent that lost the store orders a complete version before the bound", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  constexpr Duration Deadline = 2500ms;
  Fixture.m_Agent->setDeadline(Deadline);
  Fixture.m_Runner.m_Report.m_Loaded[Model] = First;
  Fixture.m_Runner.m_Report.m_Running = 1;
  // The agent has the last rank.
  const std::string Key = "turn/" + std::to_string(Second.value());
  std::string Other = "other";
  while (rendezvousWeight(Key, Other) < rendezvousWeight(Key, "127.0.0.1"))
    Other += "-";
  Fixture.m_Peers.m_Peers = {Fixture.peer("127.0.0.1", false), Fixture.peer(Other, false)};
  const TimePoint Start = monotonicNow();
  Fixture.m_Agent->announce(Model, Second, Start);
  Fixture.m_Agent->onOutage({Start + 100ms, Start + 2000ms});
  REQUIRE(Fixture.runUntil([&] { return !Fixture.m_Runner.m_Loads.empty(); }));
  CHECK(monotonicNow() < Start + Deadline);
}

// Guards against entry instances that avoid a runner for seconds although nothing is loaded.
TEST_CASE("the notice of a load that is not ordered is cancelled", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Runner.m_Report.m_Loaded[Model] = First;
  // Long enough that the older version is not loaded as the fallback.
  Fixture.m_Agent->setDeadline(20s);
  bool Replaced = false;
  Fixture.m_Runner.m_OnRead = [&](std::uint32_t) {
    const bool IsReadBack = Fixture.m_Runner.m_Writes >= static_cast<int>(FakeOrigin::Pieces);
    if (!IsReadBack || std::exchange(Replaced, true))
      return;
    Fixture.m_Origin.m_IsDown = true;
    Fixture.m_Agent->announce(Model, Third, monotonicNow());
  };
  Fixture.m_Agent->announce(Model, Second, monotonicNow());
  REQUIRE(Fixture.runUntil([&] { return Replaced; }));
  Fixture.runUntil([] { return false; }, 50ms);
  CHECK(Fixture.m_Runner.m_Loads.empty());
  REQUIRE_FALSE(Fixture.m_Notifier.m_Notices.empty());
  CHECK(Fixture.m_Notifier.m_Notices.back() == 0s);
}

// Guards against a notice that is cancelled during the load, because the answer to an accepted
// order was lost; entry instances would use the runner again.
TEST_CASE("a notice is kept until an order with a lost answer has been carried out", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  Fixture.m_Runner.m_Report.m_Loaded[Model] = First;
  Fixture.m_Runner.m_LosesLoadAnswer = true;
  Fixture.m_Runner.m_LoadTime = 300ms;
  Fixture.m_Agent->announce(Model, Second, monotonicNow());
  REQUIRE(Fixture.runUntil([&] { return !Fixture.m_Runner.m_Loads.empty(); }));
  Fixture.runUntil([] { return false; }, 200ms);
  CHECK(Fixture.m_Notifier.m_Notices.back() == WeightsAgent::LoadUnavailability);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(Second); }));
  Fixture.runUntil([] { return false; }, 600ms);
  CHECK(Fixture.m_Notifier.m_Notices.back() == 0s);
  CHECK(Fixture.m_Runner.m_Loads.size() == 1);
}

TEST_CASE("a restarted agent reuses staged pieces", "[agent]") {
  net::io_context Loop;
  AgentFixture Fixture(Loop);
  for (std::uint32_t I = 0; I < FakeOrigin::Pieces; ++I)
    Fixture.m_Runner.m_Staged[I] = pieceBytes(First, I);
  Fixture.m_Runner.m_Staged[4] = "rotten";
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
  CHECK(Fixture.m_Origin.m_Sent == 1);
  checkLoadedCompletely(Fixture, First);
}

TEST_CASE("pieces come from an agent that holds them, not from the origin", "[agent]") {
  net::io_context Loop;
  AgentFixture Holder(Loop, "holder");
  Holder.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(Holder.runUntil([&] { return Holder.m_Runner.holds(First); }));
  AgentFixture Fixture(Loop, "empty");
  Fixture.m_Peers.m_Peers = {Holder.peer("holder", true), Fixture.peer("empty", false)};
  Fixture.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(Fixture.runUntil([&] { return Fixture.m_Runner.holds(First); }));
  CHECK(Fixture.m_Origin.m_Sent == 0);
  checkLoadedCompletely(Fixture, First);
}

TEST_CASE("two empty agents share one copy from the origin", "[agent]") {
  net::io_context Loop;
  AgentFixture A(Loop, "a");
  AgentFixture B(Loop, "b");
  const std::vector<PiecePeer> Both{A.peer("a", false), B.peer("b", false)};
  A.m_Peers.m_Peers = Both;
  B.m_Peers.m_Peers = Both;
  A.m_Agent->announce(Model, First, std::nullopt);
  B.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(A.runUntil([&] { return A.m_Runner.holds(First) && B.m_Runner.holds(First); }));
  CHECK(A.m_Origin.m_Sent + B.m_Origin.m_Sent == FakeOrigin::Pieces);
  checkLoadedCompletely(A, First);
  checkLoadedCompletely(B, First);
}

// Guards against a version that arrives after the bound because the agents that are listed as its
// holders no longer have the pieces.
TEST_CASE("listed holders without pieces do not delay a version beyond the bound",
          "[agent][known-red]") {
  const int Holders = GENERATE(1, 3);
  net::io_context Loop;
  test::LoopbackServer Holder(Loop, [](Tcp::socket Socket) {
    return test::serveRequests(std::move(Socket),
                               [](HttpRequest) -> Task<std::optional<HttpResponse>> {
                                 HttpResponse Response;
                                 Response.result(404);
                                 co_return Response;
                               });
  });
  AgentFixture Fixture(Loop);
  Fixture.m_Runner.m_Report.m_Loaded[Model] = First;
  Fixture.m_Agent->setDeadline(WeightsAgentOptions().m_Deadline);
  Fixture.m_Peers.m_Peers = {Fixture.peer("127.0.0.1", false)};
  for (int I = 0; I < Holders; ++I)
    Fixture.m_Peers.m_Peers->push_back({InstanceId("holder-" + std::to_string(I)), Holder.address(),
                                        DataCentreId("d"), RegionId("r"), true});
  Fixture.m_Agent->announce(Model, Second, monotonicNow());
  CHECK(Fixture.runUntil([&] { return Fixture.m_Runner.holds(Second); },
                         WeightsAgentOptions().m_Deadline));
}

// Guards against agents that wait for digests from peers that will not obtain them: the agent of a
// runner that held the version from its start never reads the digests, so an added runner stayed
// empty for seconds.
TEST_CASE("an agent whose peers have no digests asks the origin at once", "[agent]") {
  net::io_context Loop;
  std::vector<std::unique_ptr<AgentFixture>> Agents;
  std::vector<PiecePeer> Peers;
  constexpr int Count = 8;
  for (int I = 0; I < Count; ++I) {
    const std::string Name = "agent-" + std::to_string(I);
    Agents.push_back(std::make_unique<AgentFixture>(Loop, Name));
    Peers.push_back(Agents.back()->peer(Name, I + 1 < Count));
  }
  AgentFixture &Added = *Agents.back();
  for (int I = 0; I + 1 < Count; ++I) {
    AgentFixture &Holder = *Agents[static_cast<std::size_t>(I)];
    Holder.m_Peers.m_Peers = Peers;
    Holder.m_Runner.m_Report.m_Loaded[Model] = First;
    for (std::uint32_t Piece = 0; Piece < FakeOrigin::Pieces; ++Piece)
      Holder.m_Runner.m_Staged[Piece] = pieceBytes(First, Piece);
    Holder.m_Agent->announce(Model, First, std::nullopt);
  }
  Added.m_Peers.m_Peers = Peers;
  Added.runUntil([] { return false; }, 50ms);
  const TimePoint Start = monotonicNow();
  Added.m_Agent->announce(Model, First, std::nullopt);
  REQUIRE(Added.runUntil([&] { return Added.m_Runner.holds(First); }));
  CHECK(monotonicNow() - Start < 500ms);
  CHECK(Added.m_Origin.m_Sent == 0);
  checkLoadedCompletely(Added, First);
}

// Guards against agents that start together, as after a power failure, and wait for each other's
// digests although each one has the whole version in its staging area.
TEST_CASE("agents that start together reuse staged pieces without delay", "[agent]") {
  net::io_context Loop;
  std::vector<std::unique_ptr<AgentFixture>> Agents;
  std::vector<PiecePeer> Peers;
  constexpr int Count = 12;
  for (int I = 0; I < Count; ++I) {
    const std::string Name = "agent-" + std::to_string(I);
    Agents.push_back(std::make_unique<AgentFixture>(Loop, Name));
    // The list still shows the versions held before the restart.
    Peers.push_back(Agents.back()->peer(Name, true));
  }
  for (const auto &Each : Agents) {
    Each->m_Peers.m_Peers = Peers;
    for (std::uint32_t Piece = 0; Piece < FakeOrigin::Pieces; ++Piece)
      Each->m_Runner.m_Staged[Piece] = pieceBytes(First, Piece);
  }
  const TimePoint Start = monotonicNow();
  for (const auto &Each : Agents)
    Each->m_Agent->announce(Model, First, std::nullopt);
  const auto AllHold = [&] {
    return std::all_of(Agents.begin(), Agents.end(),
                       [](const auto &Each) { return Each->m_Runner.holds(First); });
  };
  REQUIRE(Agents.front()->runUntil(AllHold));
  CHECK(monotonicNow() - Start < 800ms);
}
