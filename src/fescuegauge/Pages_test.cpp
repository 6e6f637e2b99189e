#include "Fescuegauge/ErrorKind.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace fescuegauge;

namespace {

std::string readText(const std::filesystem::path &Name) {
  std::ifstream File(Name);
  REQUIRE(File);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

const std::filesystem::path Root = FESCUEGAUGE_SOURCE_DIR;

/// The first capture group of every match of `Pattern` in the sources, except tests and stand-ins.
std::set<std::string> namesInSources(const char *Pattern) {
  const std::regex Expression(Pattern);
  std::set<std::string> Names;
  for (const auto &Entry : std::filesystem::recursive_directory_iterator(Root / "src")) {
    const std::string Name = Entry.path().filename().string();
    if (Entry.path().extension() != ".cpp" || Name.ends_with("_test.cpp") ||
        Entry.path().string().find("/standins/") != std::string::npos)
      continue;
    const std::string Text = readText(Entry.path());
    for (std::sregex_iterator Match(Text.begin(), Text.end(), Expression), End; Match != End;
         ++Match)
      Names.insert((*Match)[1]);
  }
  return Names;
}

/// The names of `Found` that have no table row on the page, separated by spaces.
std::string missingRows(const std::set<std::string> &Found, const std::string &Page) {
  std::string Missing;
  for (const std::string &Name : Found)
    if (Page.find("\n| `" + Name + "` |") == std::string::npos)
      Missing += Name + " ";
  return Missing;
}

} // namespace

// Guards against documented errors that differ from the HTTP statuses and exit codes of the
// programs.
TEST_CASE("docs/errors.md has exactly the rows of the table of error kinds") {
  const std::string Page = readText(Root / "docs/errors.md");
  std::size_t Kinds = 0;
  for (auto Kind = ErrorKind::MalformedRequest;; Kind = static_cast<ErrorKind>(++Kinds)) {
    const ErrorAnswer &Answer = errorAnswer(Kind);
    std::ostringstream Row;
    Row << "\n| `" << Answer.m_Name << "` | " << Answer.m_HttpStatus << " | " << Answer.m_ExitCode
        << " | " << wasRunName(Answer.m_WasRun) << " | ";
    if (Answer.m_RetryAfter)
      Row << toSeconds(*Answer.m_RetryAfter) << " s | ";
    else
      Row << "- | ";
    INFO(Row.str());
    CHECK(Page.find(Row.str()) != std::string::npos);
    if (Kind == ErrorKind::Internal)
      break;
  }
  std::size_t Rows = 0;
  for (auto At = Page.find("\n| `"); At != std::string::npos; At = Page.find("\n| `", At + 1))
    ++Rows;
  // Kinds is the index of the last kind. The table of exit codes has one row that begins with a
  // code and none that begins with an error name.
  CHECK(Rows == Kinds + 1);
}

// Guards against an event or metric without documentation.
TEST_CASE("docs/OPERATIONS.md documents every event and metric of the sources") {
  const std::string Page = readText(Root / "docs/OPERATIONS.md");
  const auto Events = namesInSources("logEvent\\(\\s*[^,;\"]*,\\s*\"([a-z_]+)\"");
  CHECK(Events.contains("invariant_violated"));
  CHECK(missingRows(Events, Page).empty());
  const auto Metrics = namesInSources("\"((?:fescuegauge|process)_[a-z_]+)\"");
  CHECK(Metrics.contains("fescuegauge_invariant_violations_total"));
  CHECK(missingRows(Metrics, Page).empty());
}
