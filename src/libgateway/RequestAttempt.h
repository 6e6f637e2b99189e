#ifndef FESCUEGAUGE_LIBGATEWAY_REQUESTATTEMPT_H
#define FESCUEGAUGE_LIBGATEWAY_REQUESTATTEMPT_H

#include "Fescuegauge/ArrivalWatch.h"
#include "GatewayCore.h"
#include "UpstreamExchange.h"

#include <cstdint>
#include <exception>
#include <memory>
#include <optional>

namespace fescuegauge {

/// How an attempt at an upstream ended.
enum class AttemptEnd {
  /// The response was forwarded to the client.
  Delivered,
  NotSent,
  /// The upstream or the request became ineligible before the request was sent.
  NoLongerEligible,
  Rejected,
  /// The upstream may have run the request but gave no usable response, or the attempt was
  /// cancelled.
  Failed,
  /// The upstream ran the request and responded with a failure, which was stored.
  FailureResponse,
  /// The deadline passed, or the client disconnected.
  Interrupted,
  /// An exception ended the attempt.
  Aborted,
};

/// State of one attempt of a request at one upstream.
struct RequestAttempt {
  /// Why this process cancelled the attempt, other than for the deadline of the request or because
  /// its client disconnected.
  enum class Cancellation {
    None,
    /// The request must no longer begin at this upstream, or anywhere.
    Withdrawn,
    /// The upstream was silent, and the backup attempt went on first.
    TakenOver,
    /// Another attempt serves the request, or the request has ended.
    Unneeded,
  };

  Placement m_Placement;
  /// Whether the attempt was started beside another one whose upstream was silent.
  bool m_IsBackup = false;
  /// Null after the end of the attempt.
  std::shared_ptr<UpstreamExchange> m_Exchange;
  Cancellation m_Cancellation = Cancellation::None;
  /// Set after the end of the attempt.
  std::optional<AttemptEnd> m_End;
  /// The exception that ended the attempt.
  std::exception_ptr m_Exception;
  /// Whether the end of the attempt was logged.
  bool m_IsEndLogged = false;

  /// Number among the attempts of the request that were sent; the first is 1.
  std::uint32_t m_Number = 0;
  /// The permits that were taken for the attempt; see SharedRates.
  HeldPermits m_Permits;
  /// Prompt tokens that the upstream has not read yet.
  std::uint32_t m_UnreadTokens = 0;
  /// Set while the upstream is an engine that has not begun the request.
  std::optional<UnstartedNumber> m_UnstartedNumber;
  /// Set while the attempt is in flight.
  std::optional<RunningAttempts::iterator> m_Running;
  /// Whether the upstream asked for a pause.
  bool m_WasPauseRequested = false;
  /// The response was read to its end, and it remains to confirm that it is whole.
  bool m_IsReadToEnd = false;

  TimePoint m_DispatchedAt;
  TimePoint m_LastReadAt;
  /// Used from the deadline of the request on.
  ArrivalWatch m_DeadlineWatch;
  /// Time from the dispatch to the start of the response.
  std::optional<Duration> m_TimeToStart;
  /// Version of the weights by the upstream's record, and by its response.
  WeightsVersion m_PlacedWeights;
  std::optional<WeightsVersion> m_AnsweredWeights;

  const UpstreamRecord &upstream() const { return m_Placement.m_Upstream; }
  bool isCancelled() const { return m_Cancellation != Cancellation::None; }
  /// Whether its response goes on arriving; see ArrivalWatch.
  bool isArriving(ArrivalWatch &Watch) const {
    return m_Exchange && m_Exchange->wasSent() &&
           Watch.isArriving({m_LastReadAt, m_Exchange->bufferedBytes()}, m_Exchange->hasInput());
  }
  /// The first reason is kept.
  void cancel(Cancellation Why) {
    if (!isCancelled())
      m_Cancellation = Why;
    if (m_Exchange)
      m_Exchange->cancel();
  }
};
using AttemptPtr = std::shared_ptr<RequestAttempt>;

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBGATEWAY_REQUESTATTEMPT_H
