#ifndef FESCUEGAUGE_ERRORKIND_H
#define FESCUEGAUGE_ERRORKIND_H

#include "Fescuegauge/Units.h"

#include <optional>
#include <string_view>

namespace fescuegauge {

/// All errors that a request, an operator's command or a process can report. errorAnswer() has an
/// entry for each kind.
enum class ErrorKind {
  MalformedRequest,
  RequestTooLarge,
  HeaderTooLarge,
  RequestTimeout,
  UnknownRoute,
  UnknownAccountKey,
  UnknownService,
  UnknownWorkClass,
  UnknownInstance,
  KeyMissing,
  KeyExpired,
  KeyReusedWithOtherBody,
  Overloaded,
  AccountOverShare,
  TargetNotAttainable,
  NoUpstream,
  NoUpstreamInRegion,
  RequestCrashesUpstreams,
  RequestBlocked,
  TableUnreachable,
  HandoverInProgress,
  Draining,
  NotReady,
  DeadlineExceeded,
  UpstreamLost,
  AnswerMalformed,
  OutcomeUnknown,
  StaleBaseVersion,
  InvalidDeclaration,
  InvalidSettings,
  InvalidArguments,
  ProtocolVersionMismatch,
  PeerUnreachable,
  Internal,
};

/// Whether an upstream executed a request that failed.
enum class WasRun { No, Yes, Unknown };

/// How an error is reported to HTTP callers and as an exit code.
struct ErrorAnswer {
  ErrorKind m_Kind;
  /// The name in JSON answers and logs, for example "table-unreachable".
  std::string_view m_Name;
  int m_HttpStatus;
  int m_ExitCode;
  WasRun m_WasRun;
  /// Minimum delay before the caller may retry; empty if a retry cannot succeed.
  std::optional<Duration> m_RetryAfter;
};

const ErrorAnswer &errorAnswer(ErrorKind Kind);

/// Empty if no kind has that name.
std::optional<ErrorKind> errorKindFromName(std::string_view Name);

std::string_view wasRunName(WasRun Value);

} // namespace fescuegauge

#endif // FESCUEGAUGE_ERRORKIND_H
