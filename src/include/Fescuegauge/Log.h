#ifndef FESCUEGAUGE_LOG_H
#define FESCUEGAUGE_LOG_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Kernel.h"
#include "Fescuegauge/Severity.h"
#include "Fescuegauge/Units.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>

namespace fescuegauge {

/// The value of a log attribute. Text is not copied and must outlive the call of logEvent().
class LogValue {
public:
  using Content = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

  LogValue(std::string_view Text) : m_Content(Text) {}
  LogValue(const std::string &Text) : m_Content(std::string_view(Text)) {}
  LogValue(const char *Text) : m_Content(std::string_view(Text)) {}
  LogValue(bool Value) : m_Content(Value) {}
  LogValue(std::signed_integral auto Value) : m_Content(std::int64_t{Value}) {}
  LogValue(std::unsigned_integral auto Value) : m_Content(std::uint64_t{Value}) {}
  LogValue(double Value) : m_Content(Value) {}
  /// Logged in seconds, so the attribute's name should end in "Seconds".
  template <typename Rep, typename Period>
  LogValue(std::chrono::duration<Rep, Period> Value)
      : m_Content(std::chrono::duration<double>(Value).count()) {}
  LogValue(Bytes Value) : m_Content(Value.count()) {}
  template <typename Tag>
  LogValue(const StrongId<Tag> &Id) : m_Content(std::string_view(Id.str())) {}
  template <typename Tag> LogValue(StrongNumber<Tag> Number) : m_Content(Number.value()) {}

  const Content &content() const { return m_Content; }

private:
  Content m_Content;
};

struct LogAttribute {
  /// A string literal in lowerCamelCase, for example "request" or "drainLimitSeconds".
  std::string_view m_Key;
  LogValue m_Value;
};

/// Logs one event as one line of key=value pairs:
///
///     time=2026-01-01T12:00:00.000000Z severity=info event=request_finished instance=entry-1
///     dataCentre=cv-1 request=r-7 class=quotation
///
/// `Event` is a string literal in lower_case. Values with spaces, quotes, "=" or control characters
/// are quoted and escaped, so an event is always exactly one line; values above MaxLogValueBytes
/// are truncated and end in "...". Events below the minimum severity cost one comparison. May be
/// called from any thread and never blocks on the reader of the log. While no LogService is
/// running, lines are written directly to standard error.
void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogAttribute> Attributes = {});

/// Maximum size of an attribute's value, in bytes before escaping.
constexpr std::size_t MaxLogValueBytes = 512;
/// Maximum size of a line. Attributes that do not fit are omitted and "truncated=true" is added.
constexpr std::size_t MaxLogLineBytes = 8192;
/// Maximum number of queued lines if the reader of the log is slow; further lines are dropped and
/// counted.
constexpr std::size_t MaxQueuedLogLines = 4096;

/// Number of lines that this process has dropped because the queue was full.
std::uint64_t droppedLogLines();

struct LogOptions {
  Severity m_LeastSeverity = Severity::Info;
  InstanceId m_Instance;
  DataCentreId m_DataCentre;
};

/// Service "logs": writes the lines of logEvent() through Boost.Log on a separate thread, and
/// reports violated invariants as events "invariant_violated". Only one may be running at a time;
/// start() of a second one throws std::logic_error.
class LogService : public Service {
public:
  /// `Out` must outlive the service.
  LogService(LogOptions Options, std::ostream &Out);
  /// Writes to standard error.
  explicit LogService(LogOptions Options);
  ~LogService() override;

  void start(Kernel &Services) override;
  /// Writes the queued lines. Later events are written directly to standard error.
  void stop() override;
  boost::json::object dumpState() const override;

private:
  struct Sink;
  LogOptions m_Options;
  std::ostream &m_Out;
  std::shared_ptr<Sink> m_Sink;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LOG_H
