#ifndef FESCUEGAUGE_LIBGATEWAY_REQUESTEXCHANGE_H
#define FESCUEGAUGE_LIBGATEWAY_REQUESTEXCHANGE_H

#include "ClientConnection.h"
#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/EventSplitter.h"
#include "GatewayCore.h"
#include "UpstreamExchange.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuegauge {

/// Serves one client request from its header to the last byte of its response.
///
/// m_MayHaveRun tells whether an upstream may have run the request. It is set before the first byte
/// can leave this process and is reset only if nothing was sent or the upstream states that it did
/// not run the request. The statuses 408, 421, 429 and 503 promise that a request was not run and
/// are sent only while m_MayHaveRun is false.
class RequestExchange : public std::enable_shared_from_this<RequestExchange> {
public:
  /// Number of upstreams to which the request could not be sent before a further one needs a retry.
  /// They do not count as attempts, because nothing was sent.
  static constexpr int MaxConnectFailures = 3;
  static constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
  /// Maximum idle time of connections that an at-most-once request may reuse. A connection that the
  /// upstream closes meanwhile would leave the outcome unknown.
  static constexpr Duration MaxIdleTimeAtMostOnce = std::chrono::milliseconds(1500);
  /// A plain response is buffered up to this size before it is forwarded, so that the request can
  /// be retried if the response is truncated.
  static constexpr std::size_t MaxBufferedBytes = 64 << 10;
  /// A failure response is forwarded only as a whole. A larger one counts as no response.
  static constexpr std::size_t MaxFailureBytes = 1 << 20;
  /// Time limit for the rest of a rejection; after it, the connection is closed.
  static constexpr Duration RejectionTimeout = std::chrono::milliseconds(100);
  /// Time without data after which a stream moves to another upstream, if its upstream is silent on
  /// all requests.
  static constexpr Duration StallTimeout = std::chrono::milliseconds(900);
  /// The same if the upstream still serves other requests. Clients disconnect after 2 s or more
  /// without an event.
  static constexpr Duration LongStallTimeout = std::chrono::milliseconds(1600);
  static constexpr Duration StallCheckInterval = std::chrono::milliseconds(150);
  /// A plain idempotent request moves to another upstream after this multiple of its target latency
  /// without data.
  static constexpr int PlainStallFactor = 2;
  /// Number of rejections that do not count as attempts, of a request that may have run at another
  /// upstream before. A rejected attempt has not run, and giving up would lose accepted work.
  static constexpr std::uint32_t MaxUncountedRejections = 3;
  /// Maximum wait of an interrupted stream for an upstream that resumes it.
  static constexpr Duration MaxResumeWait = std::chrono::milliseconds(1200);

  RequestExchange(GatewayCore &Core, std::shared_ptr<ClientConnection> Client,
                  ClientRequest Request, TimePoint ArrivedAt);

  /// Returns whether the client connection can be used for another request.
  Task<bool> run();

private:
  enum class AttemptEnd {
    /// The response was forwarded to the client.
    Delivered,
    NotSent,
    /// The upstream or the request became ineligible before the request was sent.
    NoLongerEligible,
    Rejected,
    /// The upstream may have run the request but gave no usable response.
    Failed,
    /// The upstream ran the request and responded with a failure, stored in m_FailureResponse.
    FailureResponse,
    /// The request stalled at its upstream and moves to m_NextPlacement.
    Moved,
    /// The deadline passed, or the client disconnected.
    Interrupted,
    /// An exception ended the attempt.
    Aborted,
  };

  struct StoredResponse {
    UpstreamExchange::Header m_Header;
    std::string m_Body;
  };

  std::optional<ErrorKind> resolveRoute();
  Task<> dispatch();
  Task<std::optional<Placement>> acquirePlacement();
  /// Requirements on the upstream of the next attempt.
  PlacementRequest placementRequest() const;
  Task<AttemptEnd> performAttempt(const Placement &Chosen);
  /// Releases the slot, the registrations and the connection of the current attempt. Returns Moved
  /// if the request moves to m_NextPlacement, and `End` otherwise.
  AttemptEnd endAttempt(const Placement &Chosen, AttemptEnd End);
  Task<AttemptEnd> sendAndRelay(const Placement &Chosen, UpstreamExchange &Sent);
  /// Processes the headers in which an upstream states that it is leaving, its rate limit or a
  /// pause.
  void processUpstreamStatements(const UpstreamExchange &Sent, const UpstreamRecord &From);
  void recordRateLimit(const UpstreamExchange &Sent, const UpstreamRecord &From);
  void recordCold(const UpstreamExchange &Sent, const UpstreamRecord &From);
  /// Records that reading the body of a response failed.
  void recordReadError(ExchangeError Error, const UpstreamRecord &From);
  Task<AttemptEnd> relayEvents(UpstreamExchange &Sent, const UpstreamRecord &From);
  Task<AttemptEnd> relayPlain(UpstreamExchange &Sent, const UpstreamRecord &From);
  /// Whether a response that was read to its end is whole. Confirms that the upstream is alive if
  /// only the end of the connection ended the response.
  Task<bool> isWhole(const UpstreamExchange &Sent, const UpstreamRecord &From);
  Task<bool> forwardEvent(UpstreamExchange &Sent, const EventSplitter::Event &Event);
  ClientRequest upstreamRequest(const UpstreamRecord &To) const;
  /// Sets the remaining time in the request. Returns false if the request must not be sent, because
  /// its deadline has passed or its placement is no longer valid.
  bool prepareSend(const UpstreamRecord &To, ClientRequest &Request);
  /// Takes a permit if the upstream named a rate limit, or turned cold, after the request was
  /// placed. Returns false if no permit is available.
  bool ensurePermit(const UpstreamRecord &To);

  bool canRetry() const;
  bool takeRetry();
  bool canResume() const {
    return m_HeaderSent && m_Route->m_Kind == Repeatability::ResumableStream && m_EventsResumable;
  }
  void onDeadline();
  /// Called when the process is about to end. A write to the client continues, because it may
  /// complete the response; the end of the process cuts a write that does not.
  void onStop();
  void onClientDisconnected();
  void cancelPendingOperations();
  void interrupt();
  void scheduleStallCheck();
  /// Cancels the attempt because the request must no longer begin: on the weights of its upstream,
  /// or anywhere, if it is quarantined.
  void withdraw();
  /// Whether requests with the same keys crash upstreams.
  bool isQuarantined() const { return m_Core.isQuarantined(m_SuspectRequest); }
  /// Ends the wait for a placement, or an attempt without a response, if the request is
  /// quarantined.
  void onQuarantine();
  /// Ends the registration as an unstarted request.
  void endUnstarted(GatewayCore::UnstartedEnd How);
  void recordFirstByte();
  /// Called at the first bytes of the current attempt's stream, or at the header of a plain
  /// response.
  void recordStart();
  /// Called when the upstream of the current attempt has survived the start of the request.
  void recordSurvivedStart();
  /// Counts and logs a stream that began on older weights after the bound.
  void reportLateStart(const UpstreamExchange &Sent);
  /// A response to HEAD has the header of a response to GET, and no body.
  bool isHeadRequest() const { return m_Request.method() == boost::beast::http::verb::head; }
  bool isInterrupted() const { return m_TimedOut || m_ClientDisconnected; }
  Duration remainingTime() const {
    return std::min(m_Deadline, m_Core.requestCutoff()) - monotonicNow();
  }
  /// Whether this is an at-most-once request whose deadline is after GatewayCore::requestCutoff().
  bool isTooLateToStart() const;

  Task<> sendRefusal(ErrorKind Kind);
  Task<> finishWithFailure();
  Task<> sendErrorResponse(ErrorKind Kind, std::optional<Duration> RetryAfter);
  Task<> sendFailureResponse();
  /// Sends the header of the response unless it was sent before. Returns false if the write fails.
  Task<bool> ensureHeaderSent(const UpstreamExchange::Header &From,
                              std::optional<std::uint64_t> Length);
  Task<bool> sendBody(std::string Bytes, bool IsLast);
  Task<bool> writeClient(std::string Bytes);
  bool canKeepConnection() const { return m_KeepAlive && !m_Core.isDraining(); }

  void logAttempt(const Placement &Chosen, std::string_view Outcome, std::string_view Detail);
  void logFinished();
  std::string_view kindName() const;

  GatewayCore &m_Core;
  std::shared_ptr<ClientConnection> m_Client;
  ClientRequest m_Request;
  TimePoint m_ArrivedAt;
  TimePoint m_Deadline;
  /// The timeout of the route ends before the time that the client allows.
  bool m_IsLimitedByRoute = true;
  bool m_KeepAlive;

  std::shared_ptr<const RouteTable> m_Plan;
  const Route *m_Route = nullptr;
  ClientAccountId m_Account;
  ServiceId m_Service;
  ModelId m_Model;
  /// Where the route and the client account permit the request to be served.
  RegionRestriction m_Regions;
  std::string m_RequestId;
  int m_Priority = 0;
  bool m_IsRetry = false;
  /// Whether the requests of the service compete by rank; see RouteTable::hasRanks().
  bool m_IsRanked = false;
  SuspectRequest m_SuspectRequest;
  /// The current attempt while it is in flight.
  std::optional<RunningAttempts::iterator> m_Running;

  OneShotTimer m_DeadlineTimer;
  OneShotTimer m_StallTimer;
  std::shared_ptr<PlacementWaiter> m_PlacementWaiter;
  std::shared_ptr<UpstreamExchange> m_CurrentExchange;
  InstanceId m_CurrentUpstream;
  std::optional<Placement> m_NextPlacement;
  bool m_TimedOut = false;
  bool m_ClientDisconnected = false;

  bool m_MayHaveRun = false;
  std::uint32_t m_AttemptsSent = 0;
  std::uint32_t m_UncountedRejections = 0;
  /// The upstream that the request left because it was silent. It may only have paused, so it is
  /// eligible again if the next attempt does not run.
  std::optional<InstanceId> m_SilentUpstream;
  int m_ConnectFailures = 0;
  std::vector<InstanceId> m_TriedUpstreams;
  std::optional<StoredResponse> m_FailureResponse;
  /// Reserved for m_FailureResponse.
  GatewayCore::ResponseBuffer m_FailureBuffer{m_Core};
  bool m_IsResponseMalformed = false;
  bool m_HasThrown = false;
  std::uint32_t m_PromptTokens = 0;
  /// Prompt tokens that the upstream of the current attempt has not read yet.
  std::uint32_t m_UnreadTokens = 0;
  /// Set while the upstream of the current attempt is an engine that has not begun the request.
  std::optional<UnstartedNumber> m_UnstartedNumber;
  /// Whether withdraw() ended the current attempt.
  bool m_Withdrawn = false;
  /// The permits that were taken for the current attempt; see SharedRates.
  HeldPermits m_Permits;
  /// Whether the upstream of the current attempt asked for a pause.
  bool m_WasPauseRequested = false;
  PlacementVerdict m_LastVerdict = PlacementVerdict::Placed;
  /// From the last placement; see Placement.
  std::optional<TimePoint> m_NextPermit;

  bool m_HeaderSent = false;
  bool m_IsChunked = false;
  bool m_IsClientLost = false;
  bool m_IsResponseComplete = false;
  bool m_EventsResumable = true;
  std::optional<std::uint64_t> m_LastEventId;
  std::optional<WeightsVersion> m_StreamVersion;
  /// For the current or last attempt: the time of its dispatch, the time from there to its start,
  /// and the version of the weights by the upstream's record and by its response.
  TimePoint m_DispatchedAt;
  std::optional<Duration> m_TimeToStart;
  WeightsVersion m_PlacedWeights;
  std::optional<WeightsVersion> m_AnsweredWeights;
  TimePoint m_LastUpstreamReadAt;
  /// Whether a write to the client is in progress; the upstream is not read meanwhile.
  bool m_IsWriting = false;
  TimePoint m_LastClientWriteAt;
  std::optional<Duration> m_TimeToFirstByte;
  Duration m_QueueTime{0};
  std::uint64_t m_ForwardedEvents = 0;
  /// Number of moves away from a stalled upstream.
  std::uint32_t m_Moves = 0;
  /// Longest pause between two reads of a stream.
  Duration m_LongestPause{0};

  std::string_view m_Outcome = "none";
  unsigned m_Status = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBGATEWAY_REQUESTEXCHANGE_H
