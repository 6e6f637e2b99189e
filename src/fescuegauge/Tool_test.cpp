#include "Tool.h"

#include "FakeEntry.h"
#include "Fescuegauge/ErrorKind.h"
#include "TextTable.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

using namespace fescuegauge;
namespace json = boost::json;

namespace {

constexpr const char *Targets = "GET /operator/targets";
constexpr const char *Status = "GET /operator/status";
constexpr const char *Post = "POST /operator/targets";

constexpr std::string_view InForce = R"({"change": 7, "declarations": [
  {"name": "quotations", "kind": "target", "change": 5,
   "spec": {"service": "asistente", "class": "quotation", "answerWithinMs": 2000}},
  {"name": "roll", "kind": "rollout", "change": 7,
   "spec": {"service": "asistente", "version": "v1", "prefer": "time"}}]})";

constexpr std::string_view File = R"({"declarations": [
  // the same in another order
  {"kind": "target", "name": "quotations",
   "spec": {"answerWithinMs": 2000, "class": "quotation", "service": "asistente"}}]})";

struct Run {
  int m_ExitCode;
  std::string m_Out;
  std::string m_Err;
};

/// Runs the tool with virtual time and a fixed change id.
class ToolRunner {
public:
  Run operator()(const std::vector<std::string> &Arguments) {
    std::ostringstream Out;
    std::ostringstream Err;
    ToolEnvironment Environment{Out,
                                Err,
                                [this](const std::string &Name) -> std::optional<std::string> {
                                  auto Found = m_Variables.find(Name);
                                  if (Found == m_Variables.end())
                                    return std::nullopt;
                                  return Found->second;
                                },
                                [] { return "change-id-1"; },
                                [this](Duration Length) { m_Now += Length; },
                                [this] { return m_Now; },
                                m_Limits};
    int ExitCode = runTool(Arguments, Environment);
    return {ExitCode, Out.str(), Err.str()};
  }

  std::map<std::string, std::string> m_Variables{{"USER", "mirta"}};
  ClientLimits m_Limits;

private:
  TimePoint m_Now;
};

/// A file that is removed at the end of the test.
class TemporaryFile {
public:
  explicit TemporaryFile(std::string_view Text) { std::ofstream(m_Name) << Text; }
  ~TemporaryFile() { std::remove(m_Name.c_str()); }
  TemporaryFile(const TemporaryFile &) = delete;
  TemporaryFile &operator=(const TemporaryFile &) = delete;
  const std::string m_Name = "tool-test-file.json";
};

std::string replaced(std::string_view Text, std::string_view From, std::string_view To) {
  std::string Result(Text);
  auto Position = Result.find(From);
  REQUIRE(Position != std::string::npos);
  return Result.replace(Position, From.size(), To);
}

/// An address whose port refuses connections.
std::string refusingAddress() {
  Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress("127.0.0.1", 0));
  return Socket.address().toString();
}

json::object body(const std::string &Request) {
  return json::parse(Request.substr(Request.find('{'))).as_object();
}

} // namespace

// Guards against a change being proposed although the declarations are already in force.
TEST_CASE("applying declarations already in force sends no proposal") {
  FakeEntry Entry;
  Entry.setResponse(Targets, std::string(InForce));
  TemporaryFile Declared(File);
  ToolRunner Tool;
  Run Result = Tool({"target", "apply", Declared.m_Name, "--entry", Entry.address()});
  CHECK(Result.m_ExitCode == 0);
  CHECK(Result.m_Out == "unchanged, change 7 is in force\n");
  CHECK(Entry.requests() == std::vector<std::string>{Targets});
}

// Guards against a proposal whose base, author or content differs from the command line and the
// file.
TEST_CASE("a change is proposed as declared in the file and its acceptance is reported") {
  FakeEntry Entry;
  Entry.setResponse(Targets, std::string(InForce));
  Entry.setResponse(Post, R"({"outcome": "accepted", "change": 8})");
  TemporaryFile Declared(replaced(File, "2000", "1500"));
  ToolRunner Tool;
  Tool.m_Variables["FESCUEGAUGE_ENTRY"] = " " + Entry.address() + " ,";
  Run Result = Tool({"target", "apply", Declared.m_Name});
  CHECK(Result.m_ExitCode == 0);
  CHECK(Result.m_Out == "accepted as change 8\n");
  CHECK(body(Entry.lastRequest()) == json::parse(R"({"changeId": "change-id-1", "base": 7,
    "author": "mirta", "deletes": [], "puts": [{"name": "quotations", "kind": "target",
    "spec": {"service": "asistente", "class": "quotation", "answerWithinMs": 1500}}]})"));
  Result = Tool({"target", "apply", Declared.m_Name, "--base=5", "--author", "ana", "--json"});
  CHECK(json::parse(Result.m_Out) == json::parse(R"({"outcome": "accepted", "change": 8})"));
  CHECK(body(Entry.lastRequest()).at("base") == 5);
  CHECK(body(Entry.lastRequest()).at("author") == "ana");
}

// Guards against silently overwriting a change of another operator.
TEST_CASE("a refusal for a stale base reports the conflicting changes and their authors") {
  const std::string Refusal = R"({"outcome": "refused", "error": "stale-base-version", "change": 9,
    "conflicts": [{"name": "quotations", "author": "ana\u001b[2J", "change": 9, "spec": {"a": 1}},
                  {"name": "x", "author": "leif", "change": 8, "spec": null}]})";
  FakeEntry Entry;
  Entry.setResponse(Targets, std::string(InForce));
  Entry.setResponse(Post, {{409, Refusal}});
  TemporaryFile Declared(replaced(File, "2000", "1500"));
  ToolRunner Tool;
  Run Result = Tool({"target", "apply", Declared.m_Name, "--entry", Entry.address()});
  CHECK(Result.m_ExitCode == errorAnswer(ErrorKind::StaleBaseVersion).m_ExitCode);
  CHECK(Result.m_Out.empty());
  CHECK(Result.m_Err == "refused: base change 7 is stale, change in force is 9\n"
                        "  quotations was set by ana?[2J in change 9: {\"a\":1}\n"
                        "  x was deleted by leif in change 8\n");
  Result = Tool({"target", "apply", Declared.m_Name, "--entry", Entry.address(), "--json"});
  CHECK(Result.m_ExitCode == 3);
  CHECK(json::parse(Result.m_Out) == json::parse(Refusal));
}

// Guards against a dry run that sends a proposal and a diff that omits a difference.
TEST_CASE("diff and dry run print the differences and send no proposal") {
  FakeEntry Entry;
  Entry.setResponse(Targets, std::string(InForce));
  TemporaryFile Declared(replaced(File, "quotations", "replies"));
  ToolRunner Tool;
  const std::string Added = "+ replies target {\"answerWithinMs\":2000,\"class\":\"quotation\","
                            "\"service\":\"asistente\"}\n";
  Run Result = Tool({"target", "diff", Declared.m_Name, "--entry", Entry.address()});
  CHECK(Result.m_ExitCode == 0);
  CHECK(Result.m_Out == Added);
  Result = Tool(
      {"target", "apply", "--dry-run", "--prune", Declared.m_Name, "--entry", Entry.address()});
  CHECK(Result.m_ExitCode == 0);
  CHECK(Result.m_Out == Added + "- quotations target {\"service\":\"asistente\",\"class\":"
                                "\"quotation\",\"answerWithinMs\":2000}\n");
  Result = Tool({"target", "diff", Declared.m_Name, "--entry", Entry.address(), "--json", "--prune",
                 "--exit-code"});
  CHECK(Result.m_ExitCode == DifferencesFoundExitCode);
  json::object Shown = json::parse(Result.m_Out).as_object();
  CHECK(Shown.at("change") == 7);
  CHECK(Shown.at("puts").as_array().size() == 1);
  CHECK(Shown.at("deletes") == json::parse(R"(["quotations"])"));
  for (const std::string &Request : Entry.requests())
    CHECK(Request == Targets);
  TemporaryFile Changed(replaced(File, "2000", "1500"));
  Result = Tool({"target", "diff", Changed.m_Name, "--entry", Entry.address()});
  CHECK(Result.m_Out.substr(0, 20) == "- quotations target ");
  CHECK(Result.m_Out.find("  (change 5)\n+ quotations target ") != std::string::npos);
}

// Guards against a prune that deletes the rollout in force, and against a repeated delete that
// fails.
TEST_CASE("only declarations in force are deleted, and pruning keeps rollouts") {
  FakeEntry Entry;
  Entry.setResponse(Targets, std::string(InForce));
  Entry.setResponse(Post, R"({"outcome": "accepted", "change": 8})");
  TemporaryFile Empty(R"({"declarations": []})");
  ToolRunner Tool;
  CHECK(Tool({"target", "apply", Empty.m_Name, "--prune", "--entry", Entry.address()}).m_Out ==
        "accepted as change 8\n");
  CHECK(body(Entry.lastRequest()).at("deletes") == json::parse(R"(["quotations"])"));
  CHECK(Tool({"target", "delete", "roll", "gone", "roll", "--entry", Entry.address()}).m_ExitCode ==
        0);
  CHECK(body(Entry.lastRequest()).at("deletes") == json::parse(R"(["roll"])"));
  CHECK(Tool({"target", "delete", "gone", "--entry", Entry.address()}).m_Out ==
        "unchanged, change 7 is in force\n");
}

// Guards against a change that is reported as failed or made twice because its response was lost.
TEST_CASE("the outcome after a lost response is looked up or reported as unknown") {
  TemporaryFile Declared(replaced(File, "2000", "1500"));
  ToolRunner Tool;
  const std::string History = "GET /operator/history?after=7&limit=100";
  const std::string Ours = R"({"changes": [{"change": 8, "changeId": "change-id-1",
    "author": "mirta", "puts": [{"name": "quotations"}], "deletes": []}]})";
  const std::string Theirs = R"({"changes": [{"change": 8, "changeId": "other", "author": "ana",
    "puts": [], "deletes": []}]})";
  const FakeEntry::CannedResponse Lost{200, "", std::string()};
  const FakeEntry::CannedResponse Unknown{504,
                                          R"({"outcome": "unknown", "changeId": "change-id-1"})"};
  const FakeEntry::CannedResponse Stale{409,
                                        R"({"outcome": "refused", "change": 8, "conflicts": []})"};
  struct Case {
    std::string m_Description;
    FakeEntry::CannedResponse m_First;
    FakeEntry::CannedResponse m_Second;
    std::string m_History;
    int m_ExitCode;
    std::string m_Out;
  };
  const std::string Accepted = "accepted as change 8\n";
  const std::vector<Case> Cases = {
      {"the second instance reports the outcome",
       Lost,
       {200, R"({"outcome":"accepted","change":8})"},
       Theirs,
       0,
       Accepted},
      {"the history contains the change", Lost, Unknown, Ours, 0, Accepted},
      {"neither an instance nor the history tells the outcome", Unknown, Lost, R"({"changes": []})",
       5, ""},
      {"the history cannot be read", Unknown, Unknown, "[]", 5, ""},
      {"the proposed change itself made the base stale", Lost, Stale, Ours, 0, Accepted},
      {"another change made the base stale", Lost, Stale, Theirs, 3, ""},
      {"a malformed answer is not a refusal",
       {200, "{"},
       {200, R"({"outcome": 1})"},
       Theirs,
       5,
       ""},
      {"a later refusal does not settle the first outcome",
       Unknown,
       {422, R"({"error": "invalid-declaration", "message": "no", "run": "no"})"},
       Theirs,
       5,
       ""},
      {"an internal error may have taken effect",
       {500, R"({"error": "internal", "message": "no", "run": "unknown"})"},
       Unknown,
       Theirs,
       5,
       ""},
      {"the second instance is tried if the first is not ready",
       {503, R"({"error": "not-ready", "message": "no", "run": "no"})"},
       {200, R"({"outcome":"accepted","change":8})"},
       Theirs,
       0,
       Accepted},
      {"a definite error is not retried",
       {422, R"({"error": "invalid-declaration", "message": "no", "run": "no"})"},
       Lost,
       Theirs,
       2,
       ""},
      {"the table is unreachable for both instances",
       {503, R"({"error": "table-unreachable", "message": "no", "run": "no"})"},
       {503, R"({"error": "table-unreachable", "message": "no", "run": "no"})"},
       Theirs,
       4,
       ""},
  };
  FakeEntry First;
  FakeEntry Second;
  for (const Case &Each : Cases) {
    INFO(Each.m_Description);
    for (FakeEntry *Instance : {&First, &Second}) {
      Instance->setResponse(Targets, std::string(InForce));
      Instance->setResponse(History, Each.m_History);
    }
    First.setResponse(Post, {Each.m_First});
    Second.setResponse(Post, {Each.m_Second});
    Run Result = Tool({"target", "apply", Declared.m_Name, "--entry", First.address(), "--entry",
                       Second.address()});
    CHECK(Result.m_ExitCode == Each.m_ExitCode);
    CHECK(Result.m_Out == Each.m_Out);
    if (Result.m_ExitCode == 5)
      CHECK(Result.m_Err.find("change-id-1") != std::string::npos);
  }
}

// Guards against a tool that fails, hangs or accepts an invalid response although another instance
// is healthy.
TEST_CASE(
    "the next instance is tried after an invalid response, which is reported if there is none") {
  struct Case {
    std::string m_Description;
    FakeEntry::CannedResponse m_Response;
    std::string m_Message;
  };
  const std::string Header = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
  const std::vector<Case> Cases = {
      {"closed without an answer", {200, "", ""}, "No message received"},
      {"not HTTP", {200, "", "SSH-2.0-x\r\n\r\n"}, ""},
      {"truncated body",
       {200, "", Header + "Content-Length: 100\r\n\r\n{\"change\": 7"},
       "the response is not whole"},
      {"chunked body without its end",
       {200, "", Header + "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"a\":"},
       "the response is not whole"},
      {"chunked body without its last chunk",
       {200, "", Header + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"},
       "the response is not whole"},
      {"truncated header", {200, "", "HTTP/1.1 200 OK\r\nContent-Type: te"}, "no valid response"},
      {"folded field",
       {200, "", Header + " Name: v\r\n\r\n" + std::string(InForce)},
       "no valid response"},
      {"invalid field name",
       {200, "", Header + "Na me: v\r\n\r\n" + std::string(InForce)},
       "no valid response"},
      {"invalid status",
       {200, "", "HTTP/1.1 0200 OK\r\n\r\n" + std::string(InForce)},
       "no valid response"},
      {"many headers",
       {200, "",
        Header +
            [] {
              std::string Flood;
              for (int I = 0; I < 2000; ++I)
                Flood += "X-" + std::to_string(I) + ": 1\r\n";
              return Flood + "\r\n{}";
            }()},
       "no valid response"},
      {"empty", {200, ""}, "is not a JSON object"},
      {"a list", {200, "[]"}, "is not a JSON object"},
      {"deep", {200, std::string(100, '[')}, "is not a JSON object"},
      {"oversized",
       {200, "{\"a\": \"" + std::string(5000, 'a') + "\"}"},
       "answer is larger than 4096 bytes"},
      {"error without JSON", {500, "<html>"}, "answer with HTTP status 500 is not a JSON object"},
      {"error without a kind", {500, "{}"}, "unexpected HTTP status 500"},
      {"redirect", {302, "{}"}, "unexpected HTTP status 302"},
      {"not ready", {503, R"({"error": "not-ready", "message": "no peers"})"}, "no peers"},
  };
  ToolRunner Tool;
  Tool.m_Limits.m_MaxAnswer = 4_KiB;
  FakeEntry Broken;
  FakeEntry Healthy;
  Healthy.setResponse(Targets, std::string(InForce));
  for (const Case &Each : Cases) {
    INFO(Each.m_Description);
    Broken.setResponse(Targets, {Each.m_Response});
    Run Alone = Tool({"target", "list", "--entry", Broken.address()});
    CHECK(Alone.m_ExitCode == 4);
    CHECK(Alone.m_Out.empty());
    CHECK(Alone.m_Err.find(Broken.address() + ": ") != std::string::npos);
    CHECK(Alone.m_Err.find(Each.m_Message) != std::string::npos);
    Run Both = Tool({"target", "list", "--entry", refusingAddress(), "--entry", Broken.address(),
                     "--entry", Healthy.address()});
    CHECK(Both.m_ExitCode == 0);
  }
}

// Guards against waiting without limit for an instance that accepts connections and never responds.
TEST_CASE("the next instance is tried when the receive timeout expires") {
  Poco::Net::ServerSocket Silent(Poco::Net::SocketAddress("127.0.0.1", 0));
  FakeEntry Healthy;
  Healthy.setResponse(Targets, std::string(InForce));
  ToolRunner Tool;
  Tool.m_Limits.m_ReceiveTimeout = std::chrono::milliseconds(50);
  const std::string Address = Silent.address().toString();
  Run Result = Tool({"target", "list", "--entry", Address, "--entry", Healthy.address()});
  CHECK(Result.m_ExitCode == 0);
  CHECK(Tool({"target", "list", "--entry", Address}).m_ExitCode == 4);
}

// Guards against waiting without limit for an instance that sends its response byte by byte, so
// that no single read times out.
TEST_CASE("the next instance is tried when the total timeout expires") {
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::thread Sender([&Listener] {
    Poco::Net::StreamSocket Socket = Listener.acceptConnection();
    try {
      for (const std::string Byte = "H";; std::this_thread::sleep_for(std::chrono::milliseconds(1)))
        Socket.sendBytes(Byte.data(), 1);
    } catch (const Poco::Exception &) {
      // The tool has closed the connection.
    }
  });
  ToolRunner Tool;
  Tool.m_Limits.m_TotalTimeout = std::chrono::milliseconds(20);
  CHECK(Tool({"status", "--entry", Listener.address().toString()}).m_ExitCode == 4);
  Sender.join();
}

// Guards against a response with mistyped members that crashes the tool or is printed in part.
TEST_CASE("responses with missing or mistyped members are errors") {
  ToolRunner Tool;
  struct Case {
    const char *m_Request;
    std::vector<std::string> m_Command;
    std::vector<std::string> m_Bodies;
  };
  const std::vector<Case> Cases = {
      {Targets,
       {"target", "list"},
       {"{}", R"({"change": -1})", R"({"change": "7"})", R"({"change": 1.5})",
        R"({"change": 7, "declarations": {}})", R"({"change": 7, "declarations": [1]})",
        R"({"change": 7, "declarations": [{"name": 1, "kind": "a", "spec": {}, "change": 1}]})",
        R"({"change": 7, "declarations": [{"name": "a", "kind": "a", "spec": 1, "change": 1}]})"}},
      {"GET /operator/history?after=0&limit=20",
       {"target", "history", "--after", "0"},
       {R"({"changes": 1})", R"({"changes": [{}]})",
        R"({"changes": [{"change": 1, "changeId": "a", "author": "b", "puts": ["x"]}]})"}},
      {Status,
       {"status"},
       {"{}", R"({"change": 1, "dataCentres": [7]})",
        R"({"change": 1, "dataCentres": [{"dataCentre": "a", "change": 1, "instances": 1}]})",
        R"({"change": 1, "dataCentres": [{"dataCentre": "a", "change": 1, "instances": 1, "live": 1,
            "laggards": ["x"]}]})",
        R"({"change": 1, "dataCentres": [{"dataCentre": "a", "change": 1, "instances": 1, "live": 1,
            "rollouts": [{"service": "s"}]}]})"}},
  };
  FakeEntry Instance;
  for (const Case &Each : Cases)
    for (const std::string &Body : Each.m_Bodies) {
      INFO(Body);
      Instance.setResponse(Each.m_Request, Body);
      std::vector<std::string> Command = Each.m_Command;
      Command.insert(Command.end(), {"--entry", Instance.address()});
      Run Result = Tool(Command);
      CHECK(Result.m_ExitCode == 4);
      CHECK(Result.m_Out.empty());
      CHECK(Result.m_Err.find("lacks a part") != std::string::npos);
    }
}

// Guards against printing a declaration or change other than the requested one.
TEST_CASE("list, show and history print tables or the response as JSON") {
  FakeEntry Entry;
  Entry.setResponse(Targets, std::string(InForce));
  Entry.setResponse("GET /operator/history?after=5&limit=2",
                    R"({"changes": [{"change": 6, "changeId": "c6", "author": "Åke", "puts": [],
                 "deletes": ["a", "b"]}, {"change": 7, "changeId": "c7", "author": "mirta",
                 "puts": [{"name": "roll", "kind": "rollout", "spec": {}}], "deletes": []}]})");
  ToolRunner Tool;
  Tool.m_Variables["FESCUEGAUGE_ENTRY"] = Entry.address();
  CHECK(Tool({"target", "list"}).m_Out ==
        "NAME        KIND     CHANGE  SPEC\n"
        "quotations  target   5       {\"service\":\"asistente\",\"class\":\"quotation\","
        "\"answerWithinMs\":2000}\n"
        "roll        rollout  7       {\"service\":\"asistente\",\"version\":\"v1\","
        "\"prefer\":\"time\"}\n"
        "change in force: 7\n");
  CHECK(json::parse(Tool({"target", "list", "--json"}).m_Out) ==
        json::parse(json::string_view(InForce.data(), InForce.size())));
  CHECK(Tool({"target", "show", "roll"}).m_Out == "name     roll\n"
                                                  "kind     rollout\n"
                                                  "change   7\n"
                                                  "service  \"asistente\"\n"
                                                  "version  \"v1\"\n"
                                                  "prefer   \"time\"\n");
  CHECK(json::parse(Tool({"target", "show", "roll", "--json"}).m_Out).at("change") == 7);
  Run Missing = Tool({"target", "show", "none"});
  CHECK(Missing.m_ExitCode == 2);
  CHECK(Missing.m_Err == "fescuegauge: invalid-arguments: no declaration \"none\" in change 7\n");
  CHECK(Tool({"target", "history", "--limit", "2"}).m_Out ==
        "CHANGE  AUTHOR  PUT   DELETED  CHANGE ID\n"
        "6       Åke     -     a b      c6\n"
        "7       mirta   roll  -        c7\n");
}

// Guards against a status that omits lagging instances or unreachable processes.
TEST_CASE("status prints lagging and unreachable instances") {
  FakeEntry Entry;
  Entry.setResponse(Status, R"({"change": 9, "dataCentres": [
    {"dataCentre": "cv-1", "change": 9, "instances": 12, "live": 11,
     "laggards": [{"instance": "entry-3", "change": 8}], "unreachable": [], "rollouts": []},
    {"dataCentre": "guanacaste-1", "change": 4, "instances": 5, "live": 0,
     "unreachable": ["guanacaste-1", "entry-9"]}]})");
  ToolRunner Tool;
  CHECK(Tool({"status", "--entry", Entry.address()}).m_Out ==
        "change in force: 9\n"
        "DATA CENTRE   CHANGE  INSTANCES  LIVE  LAGGING  UNREACHABLE\n"
        "cv-1          9       12         11    1        0\n"
        "guanacaste-1  4       5          0     0        2\n"
        "cv-1: entry-3 is at change 8\n"
        "guanacaste-1: guanacaste-1 cannot be reached\n"
        "guanacaste-1: entry-9 cannot be reached\n");
  CHECK(json::parse(Tool({"--json", "--entry", Entry.address(), "status"}).m_Out).at("change") ==
        9);
}

// Guards against a dump of another instance and path traversal through an unescaped id.
TEST_CASE("dump requests the named instance with its id escaped") {
  FakeEntry Entry;
  Entry.setResponse("GET /operator/instances/entry-1/dump", R"({"logs": {"droppedLines": 0}})");
  ToolRunner Tool;
  Tool.m_Variables["FESCUEGAUGE_ENTRY"] = Entry.address();
  CHECK(Tool({"dump", "entry-1"}).m_Out == "{\"logs\":{\"droppedLines\":0}}\n");
  Run Unknown = Tool({"dump", "a/../b?c"});
  CHECK(Unknown.m_ExitCode == 3);
  CHECK(Unknown.m_Err == "fescuegauge: unknown-instance: no answer set\n");
  CHECK(Entry.lastRequest() == "GET /operator/instances/a%2F..%2Fb%3Fc/dump");
}

// Guards against a second rollout of the same service and against a lost preference.
TEST_CASE("rollout start replaces the rollout of the service") {
  FakeEntry Entry;
  Entry.setResponse(Targets, std::string(InForce));
  Entry.setResponse(Post, R"({"outcome": "accepted", "change": 8})");
  ToolRunner Tool;
  Tool.m_Variables["FESCUEGAUGE_ENTRY"] = Entry.address();
  CHECK(Tool({"rollout", "start", "asistente", "v2"}).m_Out == "accepted as change 8\n");
  CHECK(body(Entry.lastRequest()).at("puts") ==
        json::parse(R"([{"name": "roll", "kind": "rollout", "spec":
          {"service": "asistente", "version": "v2", "prefer": "time"}}])"));
  Tool({"rollout", "start", "pedidos", "v3"});
  CHECK(body(Entry.lastRequest()).at("puts") ==
        json::parse(R"([{"name": "rollout.pedidos", "kind": "rollout", "spec":
          {"service": "pedidos", "version": "v3", "prefer": "origin-bytes"}}])"));
  CHECK(Tool({"rollout", "start", "asistente", "v1"}).m_Out == "unchanged, change 7 is in force\n");
  Run Bad = Tool({"rollout", "start", "asistente", "v2", "--prefer", "cost"});
  CHECK(Bad.m_ExitCode == 2);
  CHECK(Bad.m_Err == "fescuegauge: invalid-arguments: spec.prefer: must be \"origin-bytes\" or "
                     "\"time\"\n");
  Entry.setResponse(Targets, replaced(InForce, R"("kind": "target")", R"("kind": "rollout")"));
  CHECK(Tool({"rollout", "start", "asistente", "v2"}).m_Err.find("has two rollouts") !=
        std::string::npos);
}

namespace {

std::string progress(int LiveHere, int LiveThere, int ChangeThere = 7,
                     std::string_view There = "v1") {
  auto Centre = [](std::string_view Name, int Change, std::string_view Version, int Live) {
    return json::object{
        {"dataCentre", json::string_view(Name.data(), Name.size())},
        {"change", Change},
        {"instances", 9},
        {"live", 9},
        {"rollouts", json::array{{{"service", "asistente"},
                                  {"version", json::string_view(Version.data(), Version.size())},
                                  {"live", Live},
                                  {"wanted", 5},
                                  {"originBytes", 64000000}},
                                 {{"service", "other"},
                                  {"version", "w"},
                                  {"live", 0},
                                  {"wanted", 1},
                                  {"originBytes", 0}}}}};
  };
  return json::serialize(json::object{
      {"change", 7},
      {"dataCentres",
       {Centre("cv-1", 7, "v1", LiveHere), Centre("gu-1", ChangeThere, There, LiveThere)}}});
}

} // namespace

// Guards against a wait that ends too early or prints unchanged progress at each poll.
TEST_CASE("rollout wait follows each data centre until all serve the version") {
  FakeEntry Entry;
  Entry.setResponse(Targets, std::string(InForce));
  Entry.setResponse(Status, {{200, progress(0, 5, 6, "v0")},
                             {200, progress(3, 0)},
                             {200, progress(3, 0)},
                             {503, R"({"error": "draining", "message": "leaving", "run": "no"})"},
                             {200, progress(5, 4)},
                             {200, progress(5, 5)}});
  ToolRunner Tool;
  Tool.m_Variables["FESCUEGAUGE_ENTRY"] = Entry.address();
  Run Result = Tool({"rollout", "wait", "asistente"});
  CHECK(Result.m_ExitCode == 0);
  CHECK(Result.m_Out == "cv-1: asistente v1 live on 0 of 5, 64 MB granted from the origin\n"
                        "gu-1: asistente v0 live on 5 of 5, 64 MB granted from the origin\n"
                        "cv-1: asistente v1 live on 3 of 5, 64 MB granted from the origin\n"
                        "gu-1: asistente v1 live on 0 of 5, 64 MB granted from the origin\n"
                        "cv-1: asistente v1 live on 5 of 5, 64 MB granted from the origin\n"
                        "gu-1: asistente v1 live on 4 of 5, 64 MB granted from the origin\n"
                        "gu-1: asistente v1 live on 5 of 5, 64 MB granted from the origin\n"
                        "complete\n");
  CHECK(Result.m_Err == "waiting: " + Entry.address() + ": leaving\n");
  CHECK(Tool({"rollout", "status", "asistente"}).m_Out ==
        "cv-1: asistente v1 live on 5 of 5, 64 MB granted from the origin\n"
        "gu-1: asistente v1 live on 5 of 5, 64 MB granted from the origin\n");
  CHECK(json::parse(Tool({"rollout", "status", "--json"}).m_Out).at("rollouts").as_array().size() ==
        4);
  CHECK(Tool({"rollout", "status", "none"}).m_Out == "no rollout is under way\n");
}

// Guards against a wait without limit and one that accepts another version.
TEST_CASE("rollout wait ends at its timeout and when another version is declared") {
  FakeEntry Entry;
  Entry.setResponse(Targets, std::string(InForce));
  Entry.setResponse(Status, progress(5, 4));
  ToolRunner Tool;
  Tool.m_Variables["FESCUEGAUGE_ENTRY"] = Entry.address();
  Run Late = Tool({"rollout", "wait", "asistente", "v1", "--timeout", "3"});
  CHECK(Late.m_ExitCode == errorAnswer(ErrorKind::DeadlineExceeded).m_ExitCode);
  CHECK(Late.m_Err == "fescuegauge: deadline-exceeded: the rollout was not complete after 3 s\n");
  // One poll at the start and one after each of three seconds, with two requests each.
  CHECK(Entry.requests().size() == 8);
  Run Superseded = Tool({"rollout", "wait", "asistente", "v0"});
  CHECK(Superseded.m_ExitCode == 3);
  CHECK(Superseded.m_Err.find(R"(change 7 set "v1")") != std::string::npos);
  CHECK(Tool({"rollout", "wait", "none"}).m_ExitCode == 2);
  // No data centre, no rollout or upstream of the service, and a data centre without the change.
  const std::string Complete = R"({"dataCentre": "a", "change": 7, "instances": 1, "live": 1,
    "rollouts": [{"service": "asistente", "version": "v1", "live": 2, "wanted": 2,
                  "originBytes": 0}]})";
  for (const std::string &Centres :
       {std::string(), replaced(Complete, "asistente", "other"),
        replaced(Complete, "\"live\": 2, \"wanted\": 2", "\"live\": 0, \"wanted\": 0"),
        Complete + R"(, {"dataCentre": "b", "change": 6, "instances": 1, "live": 1})"}) {
    INFO(Centres);
    Entry.setResponse(Status, R"({"change": 7, "dataCentres": [)" + Centres + "]}");
    CHECK(Tool({"rollout", "wait", "asistente", "--timeout", "1"}).m_ExitCode == 5);
  }
  Entry.setResponse(Status, R"({"change": 7, "dataCentres": [)" + Complete + "]}");
  CHECK(Tool({"rollout", "wait", "asistente", "--timeout", "1"}).m_ExitCode == 0);
}

// Guards against sending an invalid file and against reporting only its first error.
TEST_CASE("errors in files give exit code 2 and one line each") {
  ToolRunner Tool;
  TemporaryFile Bad(R"({"declarations": [{"name": "a", "kind": "target",
    "spec": {"service": "s", "trafficShare": 0.5}}]})");
  Run Result = Tool({"target", "apply", Bad.m_Name, "--entry", "127.0.0.1:1"});
  CHECK(Result.m_ExitCode == 2);
  CHECK(Result.m_Err ==
        Bad.m_Name +
            ":2: declarations[0].spec.trafficShare: weights, shares and addresses cannot "
            "be declared; declare a target, and the system derives them\n" +
            Bad.m_Name + ":2: declarations[0].spec.class: missing\n");
  Result = Tool({"target", "diff", Bad.m_Name, "--entry", "127.0.0.1:1", "--json"});
  CHECK(json::parse(Result.m_Err).at("error") == "invalid-declaration");
  Result = Tool({"config", "check", Bad.m_Name});
  CHECK(Result.m_ExitCode == 2);
  CHECK(Result.m_Err.find(Bad.m_Name + ": role: missing\n") != std::string::npos);
  Result = Tool({"config", "check", Bad.m_Name, "--json"});
  CHECK(Result.m_ExitCode == 2);
  CHECK(json::parse(Result.m_Out).at("valid") == false);
}

// Guards against rejecting a valid settings file.
TEST_CASE("config check accepts valid settings") {
  ToolRunner Tool;
  TemporaryFile Valid(R"({"role": "entry", "id": "e", "region": "r", "dataCentre": "d",
    "deployment": "x", "listen": {"http": "127.0.0.1:0", "rpc": "127.0.0.1:0"},
    "platform": {"table": "127.0.0.1:1", "objects": "127.0.0.1:1", "origin": "127.0.0.1:1",
    "instanceList": "127.0.0.1:1"}})");
  Run Result = Tool({"config", "check", Valid.m_Name});
  CHECK(Result.m_ExitCode == 0);
  CHECK(Result.m_Out == Valid.m_Name + ": valid settings for role entry, id e\n");
  CHECK(json::parse(Tool({"config", "check", Valid.m_Name, "--json"}).m_Out).at("valid") == true);
}

// Guards against a mistyped command that is run as another one.
TEST_CASE("invalid command lines give exit code 2") {
  ToolRunner Tool;
  const std::vector<std::vector<std::string>> Cases = {
      {},
      {"targets"},
      {"target"},
      {"target", "aply", "f"},
      {"target", "apply"},
      {"target", "apply", "a", "b"},
      {"target", "list", "--prune"},
      {"target", "list", "x"},
      {"status", "--jso"},
      {"status", "--entry"},
      {"status"},
      {"status", "--entry", "localhost:80"},
      {"status", "--entry", "127.0.0.1:0"},
      {"status", "--entry", "http://127.0.0.1:80"},
      {"target", "history", "--limit", "-1"},
      {"target", "history", "--limit", "1x"},
      {"target", "history", "--limit", "99999999999999999999"},
      {"rollout", "start", "asistente"},
      {"dump"},
  };
  for (const auto &Arguments : Cases) {
    INFO((Arguments.empty() ? "" : Arguments.back()));
    Run Result = Tool(Arguments);
    CHECK(Result.m_ExitCode == 2);
    CHECK(Result.m_Out.empty());
    CHECK(Result.m_Err.starts_with("fescuegauge: invalid-arguments: "));
  }
}

// Guards against a command without help or examples.
TEST_CASE("every command has help with examples") {
  ToolRunner Tool;
  Run Overview = Tool({"--help"});
  CHECK(Overview.m_ExitCode == 0);
  for (std::string Name : {"target apply", "target diff", "target list", "target show",
                           "target history", "target delete", "rollout start", "rollout status",
                           "rollout wait", "status", "dump", "config check", "config reference"}) {
    INFO(Name);
    CHECK(Overview.m_Out.find("\n  " + Name + " ") != std::string::npos);
    std::vector<std::string> CommandLine;
    std::istringstream In(Name);
    for (std::string Word; In >> Word;)
      CommandLine.push_back(Word);
    CommandLine.emplace_back("--help");
    Run Help = Tool(CommandLine);
    CHECK(Help.m_ExitCode == 0);
    CHECK(Help.m_Out.starts_with("Usage: fescuegauge " + Name));
    CHECK(Help.m_Out.find("\nExamples:\n  fescuegauge " + Name) != std::string::npos);
    CHECK(Help.m_Out.find("\nExit codes: ") != std::string::npos);
  }
  CHECK(Tool({"--version"}).m_Out.starts_with("fescuegauge "));
}

// Guards against escape sequences in untrusted text that reach the operator's terminal.
TEST_CASE("control characters are replaced and columns stay aligned") {
  CHECK(printable("a\x1b[1m\n\x7f\xC2\x9B"
                  "b \xC3\xB6") == "a?[1m???b \xC3\xB6");
  std::ostringstream Out;
  TextTable Table({"A", "B"});
  Table.add({"\xC3\xB6", "x"});
  Table.print(Out);
  CHECK(Out.str() == "A  B\n\xC3\xB6  x\n");
  CHECK(wrapText("aa bb cc", 5) == "aa bb\ncc");
}
