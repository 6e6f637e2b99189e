#ifndef FESCUEGAUGE_TOOL_H
#define FESCUEGAUGE_TOOL_H

#include "Fescuegauge/Units.h"

#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace fescuegauge {

/// Bounds on one exchange with an entry instance.
struct ClientLimits {
  Duration m_ConnectTimeout = std::chrono::seconds(2);
  /// Longest time without a byte of the answer.
  Duration m_ReceiveTimeout = std::chrono::seconds(10);
  /// Longest time for the request and the whole answer.
  Duration m_TotalTimeout = std::chrono::seconds(60);
  /// A dump of a large instance has a few MiB.
  Bytes m_MaxAnswer = 32_MiB;
};

/// What the tool uses of its surroundings. Tests replace it.
struct ToolEnvironment {
  std::ostream &m_Out;
  std::ostream &m_Err;
  /// An environment variable.
  std::function<std::optional<std::string>(const std::string &Name)> m_Variable;
  /// An id for a change that no other change has.
  std::function<std::string()> m_NewChangeId;
  std::function<void(Duration)> m_Sleep;
  std::function<TimePoint()> m_Now;
  ClientLimits m_Limits;
};

/// The surroundings of this process.
ToolEnvironment processEnvironment(std::ostream &Out, std::ostream &Err);

/// Runs one command of the tool and returns its exit code: 0, the exit code of an ErrorKind, or
/// DifferencesFoundExitCode.
int runTool(const std::vector<std::string> &Arguments, const ToolEnvironment &Environment);

/// Exit code of `target diff --exit-code` when there are differences.
constexpr int DifferencesFoundExitCode = 6;

} // namespace fescuegauge

#endif // FESCUEGAUGE_TOOL_H
