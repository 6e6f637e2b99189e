#ifndef FESCUEGAUGE_ERRORKIND_H
#define FESCUEGAUGE_ERRORKIND_H

#include "Fescuegauge/Units.h"

#include <optional>
#include <string_view>

namespace fescuegauge {

/// Every way in which a request, an operator's command or a process can fail. The list is closed:
/// errorAnswer() has a row for each kind.
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

/// Whether a request that failed was run by an upstream.
enum class WasRun { No, Yes, Unknown };

/// How a failure is told to a caller and to a shell.
struct ErrorAnswer {
  ErrorKind m_Kind;
  /// The name in JSON answers and logs, for example "table-unreachable".
  std::string_view m_Name;
  int m_HttpStatus;
  int m_ExitCode;
  WasRun m_WasRun;
  /// The least time after which the caller may ask again; nothing if repeating is of no use.
  std::optional<Duration> m_RetryAfter;
};

/// The row for `Kind`.
const ErrorAnswer &errorAnswer(ErrorKind Kind);

/// The kind with that name; nothing if there is none.
std::optional<ErrorKind> errorKindFromName(std::string_view Name);

std::string_view wasRunName(WasRun Value);

} // namespace fescuegauge

#endif // FESCUEGAUGE_ERRORKIND_H
