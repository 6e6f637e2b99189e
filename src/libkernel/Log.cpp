#include "Fescuegauge/Log.h"

#include "Fescuegauge/Invariant.h"
#include "LogLine.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>
#include <mutex>
#include <shared_mutex>

namespace fescuegauge {

namespace logging = boost::log;

namespace {

std::atomic<std::uint64_t> DroppedLines{0};

/// Overflow strategy of the queue between callers and the writer thread: a full queue drops lines,
/// so that callers never block on a slow reader of the log.
class CountAndDrop {
protected:
  // Boost.Log requires these names of an overflow strategy.
  // NOLINTBEGIN(readability-identifier-naming)
  template <typename Lock> static bool on_overflow(const logging::record_view &, Lock &) {
    DroppedLines.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
  // NOLINTEND(readability-identifier-naming)
};

using SinkFrontend = logging::sinks::asynchronous_sink<
    logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<MaxQueuedLogLines, CountAndDrop>>;

/// State that the running service shares with logEvent().
struct LogState {
  std::shared_mutex m_Mutex;
  bool m_HasSink = false;
  std::string m_Instance;
  std::string m_DataCentre;
  logging::sources::severity_logger_mt<Severity> m_Logger;
  std::mutex m_StandardErrorMutex;
};

LogState &state() {
  static LogState Instance;
  return Instance;
}

/// Minimum severity. Outside LogState, so that logEvent() discards events below it without a lock.
std::atomic<Severity> MinSeverity{Severity::Info};

std::string currentTime() {
  return Poco::DateTimeFormatter::format(Poco::Timestamp(), "%Y-%m-%dT%H:%M:%S.%FZ");
}

} // namespace

struct LogService::Sink {
  boost::shared_ptr<SinkFrontend> m_Frontend;
};

void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogAttribute> Attributes) {
  if (Level < MinSeverity.load(std::memory_order_relaxed))
    return;
  LogState &State = state();
  std::shared_lock Lock(State.m_Mutex);
  std::string Line =
      logLine(currentTime(), Level, Event, State.m_Instance, State.m_DataCentre, Attributes);
  if (!State.m_HasSink) {
    std::lock_guard Direct(State.m_StandardErrorMutex);
    std::cerr << Line + "\n";
    return;
  }
  if (logging::record Record = State.m_Logger.open_record(logging::keywords::severity = Level)) {
    logging::record_ostream Stream(Record);
    Stream << Line;
    Stream.flush();
    State.m_Logger.push_record(std::move(Record));
  }
}

std::uint64_t droppedLogLines() { return DroppedLines.load(std::memory_order_relaxed); }

LogService::LogService(LogOptions Options, std::ostream &Out)
    : Service("logs"), m_Options(std::move(Options)), m_Out(Out) {}

LogService::LogService(LogOptions Options) : LogService(std::move(Options), std::cerr) {}

LogService::~LogService() { LogService::stop(); }

void LogService::start(Kernel &) {
  auto Backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  Backend->add_stream(boost::shared_ptr<std::ostream>(&m_Out, boost::null_deleter()));
  Backend->auto_flush(true);
  auto Frontend = boost::make_shared<SinkFrontend>(Backend);
  Frontend->set_formatter(logging::expressions::stream << logging::expressions::smessage);
  {
    LogState &State = state();
    std::unique_lock Lock(State.m_Mutex);
    if (State.m_HasSink)
      throw std::logic_error("a second log service was started");
    State.m_HasSink = true;
    State.m_Instance = m_Options.m_Instance.str();
    State.m_DataCentre = m_Options.m_DataCentre.str();
    MinSeverity = m_Options.m_LeastSeverity;
    logging::core::get()->add_sink(Frontend);
  }
  m_Sink = std::make_shared<Sink>(Sink{std::move(Frontend)});
  Invariant::setReporter([](std::string_view Name, std::string_view Detail) {
    logEvent(Severity::Error, "invariant_violated", {{"name", Name}, {"detail", Detail}});
  });
}

void LogService::stop() {
  if (!m_Sink)
    return;
  Invariant::setReporter({});
  if (std::uint64_t Dropped = droppedLogLines(); Dropped != 0)
    logEvent(Severity::Warning, "log_lines_dropped", {{"count", Dropped}});
  {
    LogState &State = state();
    std::unique_lock Lock(State.m_Mutex);
    State.m_HasSink = false;
    logging::core::get()->remove_sink(m_Sink->m_Frontend);
  }
  m_Sink->m_Frontend->stop();
  m_Sink->m_Frontend->flush();
  m_Sink.reset();
}

boost::json::object LogService::dumpState() const {
  return {{"leastSeverity", std::string(severityName(m_Options.m_LeastSeverity))},
          {"droppedLines", droppedLogLines()}};
}

} // namespace fescuegauge
