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

/// The value of a log attribute. Text is not copied; it must live as long as the call of
/// logEvent().
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
  /// A literal in lowerCamel, for example "request" or "drainLimitSeconds".
  std::string_view m_Key;
  LogValue m_Value;
};

/// Logs one event as one line of key=value pairs:
///
///     time=2026-01-01T12:00:00.000000Z severity=info event=request_finished instance=entry-1
///     dataCentre=cv-1 request=r-7 class=quotation
///
/// `Event` is a literal in lower_case. Values with spaces, quotes, "=" or control characters are
/// quoted and escaped, so an event is always exactly one line; values above MaxLogValueBytes are
/// cut and end in "...". Events below the least severity cost one comparison. May be called from
/// any thread and never waits for the reader of the log. Before a LogService is started, lines go
/// straight to standard error.
void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogAttribute> Attributes = {});

/// Longest value of an attribute in a line, in bytes before escaping.
constexpr std::size_t MaxLogValueBytes = 512;
/// Longest line; attributes that do not fit are left out and "truncated=true" is added.
constexpr std::size_t MaxLogLineBytes = 8192;
/// Lines that wait for a slow reader of the log. Further ones are dropped and counted.
constexpr std::size_t MaxQueuedLogLines = 4096;

/// Lines that this process has dropped because too many waited.
std::uint64_t droppedLogLines();

struct LogOptions {
  Severity m_Least = Severity::Info;
  InstanceId m_Instance;
  DataCentreId m_DataCentre;
};

/// Service "logs": writes the lines of logEvent() through Boost.Log on a thread of its own, and
/// reports violated invariants as events "invariant_violated". Only one may be started at a time.
class LogService : public Service {
public:
  /// `Out` must outlive the service.
  LogService(LogOptions Options, std::ostream &Out);
  /// Writes to standard error.
  explicit LogService(LogOptions Options);
  ~LogService() override;

  void start(Kernel &Services) override;
  /// Writes the lines that wait. Later events go straight to standard error.
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
