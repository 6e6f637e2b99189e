#include "Fescuegauge/Settings.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <random>
#include <sstream>

using namespace fescuegauge;
namespace leaf = boost::leaf;

namespace {

constexpr std::string_view EntryText = R"({
  "role": "entry", // takes callers' requests
  "id": "entry-1",
  "region": "central-valley",
  "dataCentre": "cv-1",
  "deployment": "tarro-sereno",
  "listen": {"http": "127.0.0.1:0", "rpc": "[::1]:0"},
  "platform": {
    /* one process provides all four */
    "table": "127.0.0.1:7001",
    "objects": "127.0.0.1:7001",
    "origin": "127.0.0.1:7001",
    "instanceList": "127.0.0.1:7001"
  }
})";

/// Returns `EntryText` with the first occurrence of `From` replaced by `To`.
std::string entryWith(std::string_view From, std::string_view To) {
  std::string Text(EntryText);
  auto Position = Text.find(From);
  REQUIRE(Position != std::string::npos);
  return Text.replace(Position, From.size(), To);
}

std::string agentWith(std::string_view AgentMembers, std::string_view More = "") {
  return entryWith(R"("role": "entry",)", R"("role": "agent", "agent": {)" +
                                              std::string(AgentMembers) + "}," + std::string(More));
}

constexpr std::string_view AgentMembers =
    R"("engine": "127.0.0.1:9", "service": "asistente", "generation": "new", "kind": "engine")";

struct Outcome {
  std::optional<Settings> m_Settings;
  std::vector<std::string> m_Errors;
};

template <typename Load> Outcome outcomeOf(Load Function) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Outcome> {
        BOOST_LEAF_AUTO(Read, Function());
        return Outcome{std::move(Read), {}};
      },
      [](const SettingsErrors &Errors) {
        Outcome Result;
        for (const SettingsError &Error : Errors.m_Errors)
          Result.m_Errors.push_back(Error.text());
        return Result;
      },
      [] {
        return Outcome{std::nullopt, {"error of another type"}};
      });
}

Outcome parse(std::string_view Text) {
  return outcomeOf([&] { return parseSettings(Text, "f.json"); });
}

} // namespace

// Guards against a value that is stored in the member of another key.
TEST_CASE("every key is stored in its member") {
  Outcome Read = parse(
      agentWith(std::string(AgentMembers) + R"(, "checksFencingTokens": true, "capacity": 7,
        "stagingLimitBytes": 134217728)",
                R"("seeds": [{"id": "entry-2", "address": "127.0.0.2:44"}], "logLevel": "error",
        "links": {"instanceBytesPerSecond": 1e6, "regionBytesPerSecond": 20000,
                  "transferShare": 0.25},
        "limits": {"maxBodyBytes": 2048, "maxAnswerBytes": 2049, "maxHeaderBytes": 2050,
                   "maxHeaders": 9, "headerTimeoutSeconds": 0.5, "bodyTimeoutSeconds": 1.5,
                   "idleTimeoutSeconds": 2.5, "maxConnections": 10, "maxRequestsInFlight": 11,
                   "maxQueuedRequests": 13, "maxQueuedRequestsPerAccount": 12,
                   "maxDeadlineSeconds": 14, "chunkBytesInFlight": 2097152,
                   "drainLimitSeconds": 0},
        "heartbeats": {"intervalSeconds": 0.1, "failureSeconds": 0.2},)"));
  REQUIRE(Read.m_Errors.empty());
  const Settings &S = *Read.m_Settings;
  CHECK(S.m_Role == InstanceRole::Agent);
  CHECK(S.m_Id == InstanceId("entry-1"));
  CHECK(S.m_Region == RegionId("central-valley"));
  CHECK(S.m_DataCentre == DataCentreId("cv-1"));
  CHECK(S.m_Deployment == "tarro-sereno");
  CHECK(S.m_LogLevel == Severity::Error);
  CHECK(S.m_Listen.m_Http == Endpoint{"127.0.0.1", 0});
  CHECK(S.m_Listen.m_Rpc == Endpoint{"::1", 0});
  CHECK(S.m_Platform.m_InstanceList == Endpoint{"127.0.0.1", 7001});
  REQUIRE(S.m_Seeds.size() == 1);
  CHECK(S.m_Seeds[0].m_Id == InstanceId("entry-2"));
  CHECK(S.m_Seeds[0].m_Address == Endpoint{"127.0.0.2", 44});
  CHECK(S.m_Agent.m_Engine == Endpoint{"127.0.0.1", 9});
  CHECK(S.m_Agent.m_Service == ServiceId("asistente"));
  CHECK(S.m_Agent.m_Generation == GenerationId("new"));
  CHECK(S.m_Agent.m_Kind == UpstreamKind::Engine);
  CHECK(S.m_Agent.m_ChecksFencingTokens);
  CHECK(S.m_Agent.m_Capacity == 7);
  CHECK(S.m_Agent.m_StagingLimit == 128_MiB);
  CHECK(S.m_Links.m_Instance == BytesPerSecond(1e6));
  CHECK(S.m_Links.m_Region == BytesPerSecond(20000));
  CHECK(S.m_Links.m_TransferShare == 0.25);
  CHECK(S.m_Limits.m_MaxBody == 2_KiB);
  CHECK(S.m_Limits.m_MaxAnswer == Bytes(2049));
  CHECK(S.m_Limits.m_MaxHeaderBytes == Bytes(2050));
  CHECK(S.m_Limits.m_MaxHeaders == 9);
  CHECK(S.m_Limits.m_HeaderTimeout == std::chrono::milliseconds(500));
  CHECK(S.m_Limits.m_BodyTimeout == std::chrono::milliseconds(1500));
  CHECK(S.m_Limits.m_IdleTimeout == std::chrono::milliseconds(2500));
  CHECK(S.m_Limits.m_MaxConnections == 10);
  CHECK(S.m_Limits.m_MaxRequestsInFlight == 11);
  CHECK(S.m_Limits.m_MaxQueuedRequestsPerAccount == 12);
  CHECK(S.m_Limits.m_MaxQueuedRequests == 13);
  CHECK(S.m_Limits.m_MaxDeadline == std::chrono::seconds(14));
  CHECK(S.m_Limits.m_ChunkBytesInFlight == 2_MiB);
  CHECK(S.m_Limits.m_DrainLimit == Duration(0));
  CHECK(S.m_Heartbeats.m_Interval == std::chrono::milliseconds(100));
  CHECK(S.m_Heartbeats.m_FailureTime == std::chrono::milliseconds(200));
}

// Guards against a default outside its own range, and against defaults that differ from the
// reference page.
TEST_CASE("a minimal file is valid and has the documented defaults") {
  Outcome Read = parse(EntryText);
  REQUIRE(Read.m_Errors.empty());
  CHECK(Read.m_Settings->m_Limits.m_MaxBody == 1_MiB);
  CHECK(Read.m_Settings->m_Heartbeats.m_FailureTime == std::chrono::seconds(4));
  CHECK(
      settingsReference().find("| `heartbeats.intervalSeconds` | number, 0.02 to 10 s | `0.5` |") !=
      std::string::npos);
  CHECK(settingsReference().find("| `limits.maxBodyBytes` | integer, 1024 to 67108864 bytes | "
                                 "`1048576` |") != std::string::npos);
}

// Guards against an error that is accepted, reported without its location, or hides another one.
TEST_CASE("each error is reported once with file, line and key path") {
  struct Case {
    std::string m_Text;
    std::vector<std::string> m_Errors;
  };
  const std::vector<Case> Cases = {
      {"", {"f.json:1: not valid JSON: incomplete JSON"}},
      {"{", {"f.json:1: not valid JSON: incomplete JSON"}},
      {"{\n\"role\": entry}", {"f.json:2: not valid JSON: syntax error"}},
      {"[]", {"f.json: expected an object, found a list"}},
      {std::string(17, '['), {"f.json:1: not valid JSON: too deep"}},
      {std::string(EntryText) + "x", {"f.json:15: not valid JSON: extra data"}},
      {entryWith(R"("id": "entry-1")", "\"id\": \"\xff\""),
       {"f.json:3: not valid JSON: syntax error"}},
      {entryWith(R"("id": "entry-1")", R"("id": "a", "id": "b")"),
       {"f.json:3: id: key occurs twice"}},
      {entryWith(R"("id")", R"("ident")"), {"f.json: id: missing", "f.json:3: ident: unknown key"}},
      {entryWith(R"("http": "127.0.0.1:0", )", ""), {"f.json:7: listen.http: missing"}},
      {entryWith(R"("rpc")", R"("tcp": 1, "rpc")"), {"f.json:7: listen.tcp: unknown key"}},
      {entryWith(R"({"http": "127.0.0.1:0", "rpc": "[::1]:0"})", "[]"),
       {"f.json:7: listen: expected an object, found a list"}},
      {entryWith(R"("entry-1")", "7"), {"f.json:3: id: expected a string, found an integer"}},
      {entryWith(R"("entry-1")", R"("")"), {"f.json:3: id: must not be empty"}},
      {entryWith("entry-1", std::string(65, 'a')), {"f.json:3: id: is longer than 64 characters"}},
      {entryWith("entry-1", "entry 1"),
       {R"(f.json:3: id: may only contain letters, digits, "-", "_" and ".")"}},
      {entryWith(R"("entry")", R"("master")"), {R"(f.json:2: role: must be "entry" or "agent")"}},
      {entryWith(R"("entry")", "null"), {"f.json:2: role: expected a string, found null"}},
      {entryWith("[::1]:0", "0.0.0.0:0"),
       {"f.json:7: listen.rpc: must be an address that other processes can connect to"}},
      {entryWith("127.0.0.1:7001", "127.0.0.1:0"),
       {"f.json:10: platform.table: port 0 is allowed for listen addresses only"}},
      {entryWith(R"("127.0.0.1:7001")", "7001"),
       {"f.json:10: platform.table: expected a string IP:PORT, found an integer"}},
      {agentWith(""),
       {"f.json:2: agent.engine: missing", "f.json:2: agent.service: missing",
        "f.json:2: agent.generation: missing", "f.json:2: agent.kind: missing"}},
      {agentWith(std::string(AgentMembers) + R"(, "capacity": 0)"),
       {"f.json:2: agent.capacity: must be 1 to 65536"}},
      {agentWith(std::string(AgentMembers) + R"(, "checksFencingTokens": "yes")"),
       {"f.json:2: agent.checksFencingTokens: expected true or false, found a string"}},
      {agentWith(std::string(AgentMembers) + R"(, "stagingLimitBytes": 1048576)",
                 R"("limits": {"chunkBytesInFlight": 1048577},)"),
       {"f.json:2: limits.chunkBytesInFlight: must not be above agent.stagingLimitBytes"}},
      {entryWith(R"("id")", R"("agent": {"capacity": 3}, "id")"),
       {R"(f.json:3: agent.capacity: is allowed for role "agent" only)"}},
      {entryWith(R"("id")", R"("limits": {"maxHeaders": 9.5, "maxBodyBytes": -1,
        "maxConnections": 18446744073709551615, "headerTimeoutSeconds": "10s",
        "bodyTimeoutSeconds": 0, "idleTimeoutSeconds": 1e300}, "id")"),
       {"f.json:3: limits.maxHeaders: expected an integer, found a number",
        "f.json:3: limits.maxBodyBytes: must be 1024 to 67108864 bytes",
        "f.json:4: limits.maxConnections: must be 8 to 65536",
        "f.json:4: limits.headerTimeoutSeconds: expected a number, found a string",
        "f.json:5: limits.bodyTimeoutSeconds: must be 0.1 to 600 s",
        "f.json:5: limits.idleTimeoutSeconds: must be 0.1 to 3600 s"}},
      {entryWith(R"("id")", R"("limits": {"maxQueuedRequests": 1}, "id")"),
       {"f.json:3: limits.maxQueuedRequestsPerAccount: must not be above "
        "limits.maxQueuedRequests"}},
      {entryWith(R"("id")", R"("heartbeats": {"intervalSeconds": 1, "failureSeconds": 1.9}, "id")"),
       {"f.json:3: heartbeats.failureSeconds: must be at least twice heartbeats.intervalSeconds, "
        "so that one late heartbeat does not end a connection"}},
      {entryWith(R"("id")", R"("seeds": {}, "id")"),
       {"f.json:3: seeds: expected a list, found an object"}},
      {entryWith(R"("id")", R"("seeds": [
         {"id": "a", "address": "127.0.0.1:1"},
         {"id": "a", "adress": "127.0.0.1:1"},
         {"id": "b", "address": "host:1"}, 5], "id")"),
       {"f.json:5: seeds[1].adress: unknown key", "f.json:5: seeds[1].address: missing",
        "f.json:5: seeds[1].id: is the id of an earlier seed",
        "f.json:6: seeds[2].address: must be IP:PORT or [IPV6]:PORT; host names are not resolved",
        "f.json:6: seeds[3]: expected an object with id and address, found an integer"}},
  };
  for (const Case &Entry : Cases) {
    INFO(Entry.m_Text);
    Outcome Read = parse(Entry.m_Text);
    CHECK_FALSE(Read.m_Settings.has_value());
    CHECK(Read.m_Errors == Entry.m_Errors);
  }
}

// Guards against an address that is accepted although no connection to it is possible.
TEST_CASE("addresses that are not IP:PORT are refused") {
  for (std::string_view Bad :
       {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:1x",
        "127.0.0.1: 1", "127.0.1:1", "::1:1", "[]:1", "[::1:1", "[127.0.0.1]:1", "localhost:1",
        "http://127.0.0.1:1", "127.0.0.1\\u0000:1"}) {
    INFO(Bad);
    Outcome Read = parse(entryWith("127.0.0.1:7001", Bad));
    CHECK(Read.m_Errors ==
          std::vector<std::string>{"f.json:10: platform.table: must be IP:PORT or [IPV6]:PORT; "
                                   "host names are not resolved"});
  }
}

// Guards against a reference page that differs from the schema.
TEST_CASE("the committed reference page is generated from the schema") {
  std::ifstream File(FESCUEGAUGE_DOCS "/settings.md");
  std::stringstream Page;
  Page << File.rdbuf();
  CHECK(Page.str() == settingsReference());
}

// Guards against a process that starts with incomplete settings when the file cannot be read.
TEST_CASE("a file that cannot be read is an error and gives exit code 2") {
  CHECK(outcomeOf([] { return loadSettings("no-such-file.json"); }).m_Errors ==
        std::vector<std::string>{"no-such-file.json: cannot be opened"});
  CHECK(outcomeOf([] { return loadSettings("."); }).m_Errors ==
        std::vector<std::string>{".: cannot be read"});
  const std::string Large = "settings-test-large.json";
  std::ofstream(Large) << std::string((1 << 20) + 1, ' ');
  CHECK(outcomeOf([&] { return loadSettings(Large); }).m_Errors ==
        std::vector<std::string>{Large + ": is larger than 1048576 bytes"});
  std::remove(Large.c_str());
  std::ostringstream Out;
  CHECK(reportSettingsErrors(Out, {{{"f.json", 3, "id", "missing"}, {"f.json", 0, "", "bad"}}}) ==
        2);
  CHECK(Out.str() == "f.json:3: id: missing\nf.json: bad\n");
}

// Guards against a crash or an endless loop of the parser on corrupted files.
TEST_CASE("corrupted files give either settings or errors, never both or neither", "[random]") {
  std::mt19937_64 Random(20260101);
  const std::string Valid = agentWith(AgentMembers, R"("seeds": [{"id": "b",
    "address": "127.0.0.1:1"}], "limits": {"maxHeaders": 9},)");
  std::size_t Accepted = 0;
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Text = Valid;
    for (std::uint64_t Edits = 1 + Random() % 3; Edits > 0 && !Text.empty(); --Edits) {
      std::size_t Position = Random() % Text.size();
      switch (Random() % 4) {
      case 0:
        Text.erase(Position, 1 + Random() % 8);
        break;
      case 1:
        Text.insert(Position, 1, static_cast<char>(Random() % 256));
        break;
      case 2:
        Text.resize(Position);
        break;
      default:
        Text.insert(Position, Text.substr(Random() % Text.size(), Random() % 20));
      }
    }
    Outcome Read = parse(Text);
    if (Read.m_Settings.has_value() != Read.m_Errors.empty())
      FAIL("round " << Round << ": " << Text);
    Accepted += Read.m_Errors.empty() ? 1 : 0;
  }
  CHECK(Accepted > 0);
  CHECK(Accepted < 20000);
}

// Guards against a comment before the root value that is reported as a syntax error.
TEST_CASE("comments before the root value are allowed and do not change line numbers") {
  const std::string Text = "// one\n/* two\n   three */ // four\n{\n  \"role\": 1\n}";
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_CHECK(parseSettings(Text, "file"));
        FAIL("invalid settings were accepted");
        return {};
      },
      [](const SettingsErrors &Errors) {
        bool Found = false;
        for (const SettingsError &Error : Errors.m_Errors)
          Found = Found || Error.text().starts_with("file:5: role:");
        CHECK(Found);
      },
      [] { FAIL("no errors were reported"); });
}
