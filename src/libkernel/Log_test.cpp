#include "Fescuegauge/Log.h"

#include "Fescuegauge/Invariant.h"
#include "LogLine.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <sstream>
#include <thread>

using namespace fescuegauge;

namespace {

/// A stream buffer that blocks every write until unblock() is called, like a full pipe without a
/// reader.
class BlockedBuffer : public std::stringbuf {
public:
  void unblock() {
    std::lock_guard Lock(m_Mutex);
    m_IsUnblocked = true;
    m_Changed.notify_all();
  }
  /// Waits until a writer is blocked.
  void waitForBlockedWriter() {
    std::unique_lock Lock(m_Mutex);
    m_Changed.wait(Lock, [&] { return m_HasWriter; });
  }

protected:
  std::streamsize xsputn(const char *Text, std::streamsize Size) override {
    wait();
    return std::stringbuf::xsputn(Text, Size);
  }
  int_type overflow(int_type Character) override {
    wait();
    return std::stringbuf::overflow(Character);
  }

private:
  void wait() {
    std::unique_lock Lock(m_Mutex);
    m_HasWriter = true;
    m_Changed.notify_all();
    m_Changed.wait(Lock, [&] { return m_IsUnblocked; });
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  bool m_IsUnblocked = false;
  bool m_HasWriter = false;
};

std::vector<std::string> linesOf(const std::string &Text) {
  std::vector<std::string> Lines;
  std::istringstream In(Text);
  for (std::string Line; std::getline(In, Line);)
    Lines.push_back(Line);
  return Lines;
}

/// The line without "time=..." , which differs between runs.
std::string withoutTime(const std::string &Line) {
  REQUIRE(Line.substr(0, 5) == "time=");
  return Line.substr(Line.find(' ') + 1);
}

} // namespace

// Guards against a value that terminates its line or its quotes and so forges log entries.
TEST_CASE("values are quoted and escaped when needed") {
  using namespace std::string_literals;
  const std::vector<std::pair<std::string, std::string>> Cases = {
      {"plain-1.2:3/x,y+z@w_v", "plain-1.2:3/x,y+z@w_v"},
      {"", R"("")"},
      {"two words", R"("two words")"},
      {"a=b", R"("a=b")"},
      {"a\nevent=forged", R"("a\nevent=forged")"},
      {"\r\t\x1b[2J\x7f", R"("\r\t\x1b[2J\x7f")"},
      {"a\0b"s, R"("a\x00b")"},
      {R"(quote" and \ backslash)", R"("quote\" and \\ backslash")"},
      {"H\xC3\xB6sl\xC3\xA4"
       "de",
       "\"H\xC3\xB6sl\xC3\xA4"
       "de\""},
      {"\xE2\x80\xA8\xC2\x85", R"("\u2028\u0085")"},
      {"bad \xC3( \xFF", "\"bad \xEF\xBF\xBD( \xEF\xBF\xBD\""},
      {"cut \xE2\x80", "\"cut \xEF\xBF\xBD\xEF\xBF\xBD\""},
  };
  for (const auto &[Text, Expected] : Cases)
    CHECK(logValueText(Text) == Expected);
}

// Guards against a caller's text that fills the log, and against truncation inside a character.
TEST_CASE("long values and lines are truncated") {
  std::string Long(MaxLogValueBytes + 1, 'a');
  CHECK(logValueText(Long) == "\"" + std::string(MaxLogValueBytes, 'a') + "...\"");
  CHECK(logValueText(Long.substr(1)) == Long.substr(1));
  std::string Wide(MaxLogValueBytes - 1, 'a');
  CHECK(logValueText(Wide + "\xC3\xB6") == "\"" + Wide + "...\"");
  std::string Controls(MaxLogValueBytes, '\x01');
  std::string Line = logLine(
      "t", Severity::Info, "e", "i", "d",
      {{"a", Controls}, {"b", Controls}, {"c", Controls}, {"d", Controls}, {"e", Controls}});
  CHECK(Line.size() <= MaxLogLineBytes);
  CHECK(Line.ends_with(" truncated=true"));
  CHECK(Line.find(" c=") != std::string::npos);
  CHECK(Line.find(" e=") == std::string::npos);
}

// Guards against a number that is logged in another unit or as another type.
TEST_CASE("each type of value has one text form") {
  CHECK(logLine("t", Severity::Warning, "e", "", "",
                {{"text", "x"},
                 {"yes", true},
                 {"negative", -3},
                 {"large", std::uint64_t{18446744073709551615U}},
                 {"share", 0.25},
                 {"limitSeconds", std::chrono::milliseconds(1500)},
                 {"bytes", 2_KiB},
                 {"request", RequestId("r-1")},
                 {"change", ChangeNumber(7)}}) ==
        "time=t severity=warning event=e text=x yes=true negative=-3 large=18446744073709551615 "
        "share=0.25 limitSeconds=1.5 bytes=2048 request=r-1 change=7");
}

// Guards against events that are lost at a stop, lack their instance or are below the minimum
// severity.
TEST_CASE("the service writes one line per event from every thread") {
  constexpr int Threads = 4;
  constexpr int EventsPerThread = 200;
  std::ostringstream Out;
  Kernel Services;
  Services.add(std::make_unique<LogService>(
      LogOptions{Severity::Info, InstanceId("entry-1"), DataCentreId("cv-1")}, Out));
  Services.start();
  logEvent(Severity::Debug, "hidden");
  std::vector<std::thread> Writers;
  for (int I = 0; I < Threads; ++I)
    Writers.emplace_back([] {
      for (int J = 0; J < EventsPerThread; ++J)
        logEvent(Severity::Info, "request_finished", {{"request", "r 1\n"}});
    });
  for (std::thread &Writer : Writers)
    Writer.join();
  static Invariant Rule("log_test.rule");
  CHECK_FALSE(Rule.check(false, "a detail"));
  Services.stop();
  std::vector<std::string> Lines = linesOf(Out.str());
  REQUIRE(Lines.size() == Threads * EventsPerThread + 1);
  for (std::size_t I = 0; I + 1 < Lines.size(); ++I)
    REQUIRE(withoutTime(Lines[I]) == "severity=info event=request_finished instance=entry-1 "
                                     "dataCentre=cv-1 request=\"r 1\\n\"");
  CHECK(withoutTime(Lines.back()) == "severity=error event=invariant_violated instance=entry-1 "
                                     "dataCentre=cv-1 name=log_test.rule detail=\"a detail\"");
}

// Guards against a daemon that blocks because nobody reads its log.
TEST_CASE("lines are dropped and callers do not block while the reader of the log is blocked") {
  const std::uint64_t Before = droppedLogLines();
  BlockedBuffer Buffer;
  std::ostream Out(&Buffer);
  Kernel Services;
  Services.add(std::make_unique<LogService>(LogOptions{}, Out));
  Services.start();
  logEvent(Severity::Info, "first");
  Buffer.waitForBlockedWriter();
  constexpr std::size_t Excess = 100;
  for (std::size_t I = 0; I < MaxQueuedLogLines + Excess; ++I)
    logEvent(Severity::Info, "next");
  CHECK(droppedLogLines() - Before == Excess);
  Buffer.unblock();
  Services.stop();
  CHECK(linesOf(Buffer.str()).size() >= 1 + MaxQueuedLogLines);
}

// Guards against two services that both write each event.
TEST_CASE("a second log service cannot be started") {
  std::ostringstream Out;
  Kernel Services;
  LogService First(LogOptions{}, Out);
  LogService Second(LogOptions{}, Out);
  First.start(Services);
  CHECK_THROWS_AS(Second.start(Services), std::logic_error);
  First.stop();
  Second.start(Services);
  Second.stop();
}
