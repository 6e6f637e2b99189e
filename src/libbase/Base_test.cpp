#include "Fescuegauge/Base64.h"
#include "Fescuegauge/Digest.h"
#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/Figure.h"
#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Rendezvous.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace fescuegauge;

// Guards against an exception or uninitialised bytes when text that is not base64 is decoded.
TEST_CASE("only complete base64 text is decoded", "[base]") {
  for (const std::string Bytes : {"", "a", "ab", "abc", "abcd"})
    CHECK(decodeBase64(encodeBase64(Bytes)) == Bytes);
  const std::string All = [] {
    std::string Result;
    for (int Byte = 0; Byte < 256; ++Byte)
      Result += static_cast<char>(Byte);
    return Result;
  }();
  CHECK(decodeBase64(encodeBase64(All)) == All);
  for (const char *Text : {"QQ", "QQ=", "Q===", "====", "QQ==QQ==", "Q Q=", "QUI!", "\n\n\n\n"})
    CHECK_FALSE(decodeBase64(Text));
}

// Guards against a digest that differs from the published SHA-256 test vector.
TEST_CASE("SHA-256 matches the published vector for \"abc\"") {
  const std::string Expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  CHECK(sha256("abc").hex() == Expected);
  REQUIRE(Digest::fromHex(Expected));
  CHECK(*Digest::fromHex(Expected) == sha256("abc"));
  CHECK_FALSE(Digest::fromHex(Expected.substr(1)));
  CHECK_FALSE(Digest::fromHex("g" + Expected.substr(1)));
}

// Guards against a membership change that moves keys between the remaining members.
TEST_CASE("removing a member moves only the keys that it owned") {
  std::vector<InstanceId> Members;
  for (int I = 0; I < 20; ++I)
    Members.emplace_back("instance-" + std::to_string(I));
  std::vector<InstanceId> Fewer(Members.begin() + 1, Members.end());
  for (int Key = 0; Key < 500; ++Key) {
    InstanceId Before = rendezvousRank(std::to_string(Key), Members, 1).front();
    InstanceId After = rendezvousRank(std::to_string(Key), Fewer, 1).front();
    if (Before != Members.front())
      CHECK(Before == After);
  }
}

// Guards against two error kinds with the same name, which would make answers ambiguous.
TEST_CASE("every error kind is found by its name") {
  for (int I = 0; I <= static_cast<int>(ErrorKind::Internal); ++I) {
    auto Kind = static_cast<ErrorKind>(I);
    CHECK(errorKindFromName(errorAnswer(Kind).m_Name) == Kind);
  }
}

// Guards against a violation that is not reported or not counted.
TEST_CASE("a violated invariant is counted and reported") {
  static Invariant Rule("test.rule");
  std::string Reported;
  Invariant::setReporter([&](std::string_view Name, std::string_view Detail) {
    Reported = std::string(Name) + ": " + std::string(Detail);
  });
  CHECK(Rule.check(true));
  CHECK_FALSE(Rule.check(false, "broken on purpose"));
  Invariant::setReporter({});
  CHECK(Rule.evaluations() == 2);
  CHECK(Rule.violations() == 1);
  CHECK(Reported == "test.rule: broken on purpose");
}

// Guards against a benchmark that succeeds although a figure exceeds its bound.
TEST_CASE("a figure beyond its bound makes the exit code 1") {
  std::ostringstream Out;
  FigureReport Report(Out);
  Report.add({"test.value", 1.5, "copies", Figure::Limit::AtMost, 2, {{"other", 3}}});
  CHECK(Report.exitCode() == 0);
  CHECK(Out.str() ==
        "figure=test.value value=1.5 bound=2 limit=at_most unit=copies baseline.other=3\n");
  Report.add({"test.value", 2.5, "copies", Figure::Limit::AtMost, 2, {}});
  CHECK(Report.exitCode() == 1);
}
