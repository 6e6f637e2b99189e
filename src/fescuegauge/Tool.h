#ifndef FESCUEGAUGE_TOOL_H
#define FESCUEGAUGE_TOOL_H

#include "Fescuegauge/Units.h"

#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace fescuegauge {

/// Timeouts and size limit of one HTTP exchange with an entry instance.
struct ClientLimits {
  Duration m_ConnectTimeout = std::chrono::seconds(2);
  /// Maximum time without receiving a byte of the response.
  Duration m_ReceiveTimeout = std::chrono::seconds(10);
  /// Maximum time for the request and the complete response.
  Duration m_TotalTimeout = std::chrono::seconds(60);
  /// The dump of a large instance takes a few MiB.
  Bytes m_MaxAnswer = 32_MiB;
};

/// Output streams, environment variables, clock and id source of the tool; tests substitute them.
struct ToolEnvironment {
  std::ostream &m_Out;
  std::ostream &m_Err;
  /// Returns the value of an environment variable; nothing if it is not set.
  std::function<std::optional<std::string>(const std::string &Name)> m_GetVariable;
  /// Returns a new unique id for a change.
  std::function<std::string()> m_NewChangeId;
  std::function<void(Duration)> m_Sleep;
  std::function<TimePoint()> m_Now;
  ClientLimits m_Limits;
};

/// The environment of this process, with random change ids and the steady clock.
ToolEnvironment processEnvironment(std::ostream &Out, std::ostream &Err);

/// Runs one command of the tool and returns its exit code: 0, the exit code of an ErrorKind, or
/// DifferencesFoundExitCode.
int runTool(const std::vector<std::string> &Arguments, const ToolEnvironment &Environment);

/// Exit code of `target diff --exit-code` when there are differences.
constexpr int DifferencesFoundExitCode = 6;

} // namespace fescuegauge

#endif // FESCUEGAUGE_TOOL_H
