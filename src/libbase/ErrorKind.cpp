#include "Fescuegauge/ErrorKind.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace fescuegauge {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t KindCount = static_cast<std::size_t>(ErrorKind::Internal) + 1;

/// In the order of the enumerators. Exit code 2 is an error in the command or its input, 3 a
/// permanent refusal, 4 a refusal after which a retry may succeed, 5 an unknown outcome, 1 anything
/// else.
constexpr std::array<ErrorAnswer, KindCount> Answers{{
    {ErrorKind::MalformedRequest, "malformed-request", 400, 2, WasRun::No, std::nullopt},
    {ErrorKind::RequestTooLarge, "request-too-large", 413, 2, WasRun::No, std::nullopt},
    {ErrorKind::HeaderTooLarge, "header-too-large", 431, 2, WasRun::No, std::nullopt},
    {ErrorKind::RequestTimeout, "request-timeout", 408, 4, WasRun::No, 1s},
    {ErrorKind::UnknownRoute, "unknown-route", 404, 3, WasRun::No, std::nullopt},
    {ErrorKind::UnknownAccountKey, "unknown-account-key", 401, 3, WasRun::No, std::nullopt},
    {ErrorKind::UnknownService, "unknown-service", 404, 3, WasRun::No, std::nullopt},
    {ErrorKind::UnknownWorkClass, "unknown-work-class", 404, 3, WasRun::No, std::nullopt},
    {ErrorKind::UnknownInstance, "unknown-instance", 404, 3, WasRun::No, std::nullopt},
    {ErrorKind::KeyMissing, "idempotency-key-missing", 400, 2, WasRun::No, std::nullopt},
    {ErrorKind::KeyExpired, "idempotency-key-expired", 410, 3, WasRun::No, std::nullopt},
    {ErrorKind::KeyReusedWithOtherBody, "idempotency-key-reused", 422, 3, WasRun::No, std::nullopt},
    {ErrorKind::Overloaded, "overloaded", 503, 4, WasRun::No, 1s},
    {ErrorKind::AccountOverShare, "account-over-share", 429, 4, WasRun::No, 1s},
    {ErrorKind::TargetNotAttainable, "target-not-attainable", 503, 4, WasRun::No, 1s},
    {ErrorKind::NoUpstream, "no-upstream", 503, 4, WasRun::No, 2s},
    {ErrorKind::NoUpstreamInRegion, "no-upstream-in-region", 503, 4, WasRun::No, 2s},
    {ErrorKind::RequestCrashesUpstreams, "request-crashes-upstreams", 422, 3, WasRun::Unknown,
     std::nullopt},
    {ErrorKind::RequestBlocked, "request-blocked", 503, 3, WasRun::No, std::nullopt},
    {ErrorKind::TableUnreachable, "table-unreachable", 503, 4, WasRun::No, 5s},
    {ErrorKind::HandoverInProgress, "handover-in-progress", 503, 4, WasRun::No, 2s},
    {ErrorKind::Draining, "draining", 503, 4, WasRun::No, 1s},
    {ErrorKind::NotReady, "not-ready", 503, 4, WasRun::No, 2s},
    {ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, 5, WasRun::Unknown, 1s},
    {ErrorKind::UpstreamLost, "upstream-lost", 502, 5, WasRun::Unknown, 1s},
    {ErrorKind::AnswerMalformed, "answer-malformed", 502, 5, WasRun::Unknown, 1s},
    {ErrorKind::OutcomeUnknown, "outcome-unknown", 504, 5, WasRun::Unknown, 5s},
    {ErrorKind::StaleBaseVersion, "stale-base-version", 409, 3, WasRun::No, std::nullopt},
    {ErrorKind::InvalidDeclaration, "invalid-declaration", 422, 2, WasRun::No, std::nullopt},
    {ErrorKind::InvalidSettings, "invalid-settings", 500, 2, WasRun::No, std::nullopt},
    {ErrorKind::InvalidArguments, "invalid-arguments", 400, 2, WasRun::No, std::nullopt},
    {ErrorKind::ProtocolVersionMismatch, "protocol-version-mismatch", 505, 3, WasRun::No,
     std::nullopt},
    {ErrorKind::PeerUnreachable, "peer-unreachable", 502, 4, WasRun::No, 1s},
    {ErrorKind::Internal, "internal", 500, 1, WasRun::Unknown, std::nullopt},
}};

constexpr bool isInOrder() {
  for (std::size_t I = 0; I < KindCount; ++I)
    if (Answers[I].m_Kind != static_cast<ErrorKind>(I))
      return false;
  return true;
}

static_assert(isInOrder(), "each error kind needs its entry, in the order of the enumerators");

} // namespace

const ErrorAnswer &errorAnswer(ErrorKind Kind) {
  return Answers.at(static_cast<std::size_t>(Kind));
}

std::optional<ErrorKind> errorKindFromName(std::string_view Name) {
  for (const ErrorAnswer &Answer : Answers)
    if (Answer.m_Name == Name)
      return Answer.m_Kind;
  return std::nullopt;
}

std::string_view wasRunName(WasRun Value) {
  switch (Value) {
  case WasRun::No:
    return "no";
  case WasRun::Yes:
    return "yes";
  case WasRun::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace fescuegauge
