#include "Fescuegauge/DeclarationFile.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace fescuegauge;
namespace leaf = boost::leaf;

namespace {

constexpr std::string_view ValidTarget =
    R"({"name": "quotations", "kind": "target", "spec": {"service": "asistente", "class": "quotation",
        "answerWithinMs": 2000, "firstTokenWithinMs": 310, "neverLost": true, "priority": 5}})";

struct Outcome {
  std::vector<DeclarationText> m_Declarations;
  std::vector<std::string> m_Errors;
};

Outcome parse(std::string_view Text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Outcome> {
        BOOST_LEAF_AUTO(Read, parseDeclarationFile(Text, "d.json"));
        return Outcome{std::move(Read), {}};
      },
      [](const DeclarationErrors &Errors) {
        Outcome Result;
        for (const SettingsError &Error : Errors.m_Errors)
          Result.m_Errors.push_back(Error.text());
        return Result;
      },
      [] {
        return Outcome{{}, {"error of another type"}};
      });
}

Outcome parseOne(std::string_view Declaration) {
  return parse("{\"declarations\": [\n" + std::string(Declaration) + "]}");
}

std::string target(std::string_view SpecMembers) {
  return R"({"name": "t", "kind": "target", "spec": {)" + std::string(SpecMembers) + "}}";
}

} // namespace

// Guards against a declaration that loses a part when it is parsed.
TEST_CASE("each kind of declaration is parsed") {
  Outcome Read = parse("{\"declarations\": [ // of Tarro Sereno\n" + std::string(ValidTarget) + R"(,
    {"name": "roll", "kind": "rollout", "spec": {"service": "asistente", "version": "v2.1.0",
     "prefer": "origin-bytes"}}, /* the last one */
    {"name": "m", "kind": "move", "spec": {"service": "pedidos", "class": "confirmation",
     "from": "old", "to": "new", "promise": "answerWithin"}}]})");
  REQUIRE(Read.m_Errors.empty());
  REQUIRE(Read.m_Declarations.size() == 3);
  CHECK(Read.m_Declarations[0].m_Name == "quotations");
  CHECK(Read.m_Declarations[0].m_Spec.at("answerWithinMs") == 2000);
  CHECK(Read.m_Declarations[1].m_Kind == "rollout");
  CHECK(Read.m_Declarations[2].m_Spec.at("to") == "new");
  for (const DeclarationText &Declared : Read.m_Declarations)
    CHECK(validateDeclaration(Declared).empty());
  CHECK(parse(R"({"declarations": []})").m_Errors.empty());
}

// Guards against declarations of values that the system must derive from targets.
TEST_CASE("weights, shares and addresses are refused with the reason") {
  const std::string Reason = "weights, shares and addresses cannot be declared; declare a target, "
                             "and the system derives them";
  for (const char *Key : {"weight", "trafficShare", "Percent", "ratio", "address", "hosts", "port",
                          "endpoints", "baseUrl", "ip"}) {
    INFO(Key);
    CHECK(parseOne(target(R"("service": "a", "class": "b", ")" + std::string(Key) + "\": 1"))
              .m_Errors == std::vector<std::string>{"d.json:2: declarations[0].spec." +
                                                    std::string(Key) + ": " + Reason});
    CHECK(parseOne(R"({"name": "t", "kind": "target", ")" + std::string(Key) +
                   R"(": 1, "spec": {"service": "a", "class": "b"}})")
              .m_Errors == std::vector<std::string>{"d.json:2: declarations[0]." +
                                                    std::string(Key) + ": " + Reason});
  }
  for (const char *Address : {"10.0.0.1", "10.0.0.1:80", "::1", "[::1]:80", "http://a"}) {
    INFO(Address);
    CHECK(
        parseOne(target(R"("class": "b", "service": ")" + std::string(Address) + "\"")).m_Errors ==
        std::vector<std::string>{"d.json:2: declarations[0].spec.service: " + Reason});
  }
}

// Guards against an error that reaches the table, or that hides another one.
TEST_CASE("each error in declarations is reported once with its location") {
  struct Case {
    std::string m_Text;
    std::vector<std::string> m_Errors;
  };
  const std::string One = "d.json:2: declarations[0]";
  const std::vector<Case> Cases = {
      {"", {"d.json:1: not valid JSON: incomplete JSON"}},
      {"[]", {"d.json: expected an object, found a list"}},
      {R"({"declaration": []})",
       {"d.json: declarations: missing", "d.json:1: declaration: unknown key"}},
      {R"({"declarations": {}})", {"d.json:1: declarations: expected a list, found an object"}},
      {R"({"declarations": [],
           "declarations": []})",
       {"d.json:2: declarations: key occurs twice"}},
      {R"({"declarations": [
7, {}]})",
       {One + ": expected an object, found an integer", "d.json:2: declarations[1].name: missing",
        "d.json:2: declarations[1].kind: missing", "d.json:2: declarations[1].spec: missing"}},
  };
  for (const Case &Entry : Cases) {
    INFO(Entry.m_Text);
    CHECK(parse(Entry.m_Text).m_Errors == Entry.m_Errors);
  }
  const std::vector<Case> SingleCases = {
      {std::string(ValidTarget) + "," + std::string(ValidTarget),
       {"d.json:3: declarations[1].name: is the name of an earlier declaration"}},
      {R"({"name": "a b", "kind": "target", "spec": []})",
       {One + R"(.name: may only contain letters, digits, "-", "_" and ".")",
        One + ".spec: expected an object, found a list"}},
      {R"({"name": "t", "kind": "pool", "spec": {}})",
       {One + R"(.kind: must be "target", "rollout", "service" or "move")"}},
      {R"({"name": "t", "kind": 1, "spec": {}})",
       {One + ".kind: expected a string, found an integer"}},
      {target(R"("service": "a", "clas": "b")"),
       {One + ".spec.clas: unknown key", One + ".spec.class: missing"}},
      {target(R"("service": "a", "class": "b", "answerWithinMs": 0, "firstTokenWithinMs": 1.5,
                 "staleAfterMs": "2 s", "neverLost": 1, "priority": 101)"),
       {One + ".spec.answerWithinMs: must be 1 to 3600000",
        One + ".spec.firstTokenWithinMs: expected an integer, found a number",
        "d.json:3: declarations[0].spec.staleAfterMs: expected an integer, found a string",
        "d.json:3: declarations[0].spec.neverLost: expected true or false, found an integer",
        "d.json:3: declarations[0].spec.priority: must be -100 to 100"}},
      {target(R"("service": "a", "class": "b", "answerWithinMs": 18446744073709551615)"),
       {One + ".spec.answerWithinMs: must be 1 to 3600000"}},
      {target(R"("service": "a", "class": "b", "answerWithinMs": 10, "firstTokenWithinMs": 11)"),
       {One + ".spec.firstTokenWithinMs: must not be above answerWithinMs"}},
      {R"({"name": "r", "kind": "rollout", "spec": {"service": "a", "version": "v", "prefer": "x"}})",
       {One + R"(.spec.prefer: must be "origin-bytes" or "time")"}},
      {R"({"name": "m", "kind": "move", "spec": {"service": "a", "class": "b", "from": "old",
           "to": "old", "promise": "answerWithin"}})",
       {"d.json:3: declarations[0].spec.to: must not be the generation in from"}},
  };
  for (const Case &Entry : SingleCases) {
    INFO(Entry.m_Text);
    CHECK(parseOne(Entry.m_Text).m_Errors == Entry.m_Errors);
  }
}

// Guards against a file that makes the parser or the table grow without limit.
TEST_CASE("the number of declarations is bounded") {
  std::string Text = R"({"declarations": [)";
  for (std::size_t I = 0; I <= MaxDeclarations; ++I)
    Text += I == 0 ? "1" : ",1";
  CHECK(parse(Text + "]}").m_Errors ==
        std::vector<std::string>{"d.json:1: declarations: has more than 2000 entries"});
}

// Guards against a documentation page that differs from the schema.
TEST_CASE("the committed page ends with the reference generated from the schema") {
  std::ifstream File(FESCUEGAUGE_DOCS "/operator-api.md");
  std::stringstream Page;
  Page << File.rdbuf();
  std::string Reference = declarationReference();
  Reference.pop_back();
  CHECK(Page.str().ends_with(Reference));
}

// Guards against a daemon that accepts over HTTP what the command refuses in a file.
TEST_CASE("single declarations are validated like those of a file") {
  CHECK(validateDeclaration({"n", "target", {{"service", "a"}, {"weight", 3}}}) ==
        std::vector<std::string>{"spec.weight: weights, shares and addresses cannot be declared; "
                                 "declare a target, and the system derives them",
                                 "spec.class: missing"});
  CHECK(validateDeclaration(
            {"n", "target", {{"service", "a"}, {"class", "b"}, {"generation", "new"}}}) ==
        std::vector<std::string>{"spec.generation: unknown key"});
  CHECK(validateDeclaration({"", "x", {}}) ==
        std::vector<std::string>{"name: must not be empty",
                                 R"(kind: must be "target", "rollout", "service" or "move")"});
}
