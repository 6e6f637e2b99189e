#ifndef FESCUEGAUGE_LIBGATEWAY_REQUESTEXCHANGE_H
#define FESCUEGAUGE_LIBGATEWAY_REQUESTEXCHANGE_H

#include "ClientConnection.h"
#include "Fescuegauge/ChangeSignal.h"
#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/EventSplitter.h"
#include "Fescuegauge/RequestExpiry.h"
#include "GatewayCore.h"
#include "RequestAttempt.h"
#include "UpstreamExchange.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuegauge {

/// Serves one client request from its header to the last byte of its response.
///
/// m_PossibleRuns counts the upstreams that may have run the request. An upstream is counted before
/// the first byte can leave this process, and no longer counts only if nothing was sent or it
/// states that it did not run the request. The statuses 408, 421, 429 and 503 promise that a
/// request was not run and are sent only while m_PossibleRuns is 0.
///
/// An upstream that is silent may only have paused. A repeatable request stays there while a backup
/// attempt runs at another upstream, and the first of the two attempts that has something to
/// forward, the next event of a stream or a plain response, claims the response: the other one is
/// cancelled, and the client receives nothing of it. If a backup attempt ends before that, the
/// first attempt goes on. The backup took one retry from the retry budget and, if it may have run,
/// counts as one of the route's attempts.
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
  /// Time without data after which a stream gets a backup attempt, if its upstream is silent on all
  /// requests.
  static constexpr Duration StallTimeout = std::chrono::milliseconds(900);
  /// The same if the upstream still serves other requests. Clients disconnect after 2 s or more
  /// without an event.
  static constexpr Duration LongStallTimeout = std::chrono::milliseconds(1600);
  static constexpr Duration StallCheckInterval = std::chrono::milliseconds(150);
  /// A plain idempotent request gets a backup attempt after this multiple of its target latency
  /// without data.
  static constexpr int PlainStallFactor = 2;
  /// Number of rejections that do not count as attempts, of a request that may have run at another
  /// upstream before. A rejected attempt has not run, and giving up would lose accepted work.
  static constexpr std::uint32_t MaxUncountedRejections = 3;
  /// Maximum number of backup attempts of a request. Their rejections never count as attempts,
  /// because the request is still in flight elsewhere.
  static constexpr std::uint32_t MaxBackupAttempts = 3;
  /// Maximum wait of an interrupted stream for an upstream that resumes it.
  static constexpr Duration MaxResumeWait = std::chrono::milliseconds(1200);

  RequestExchange(GatewayCore &Core, std::shared_ptr<ClientConnection> Client,
                  ClientRequest Request, TimePoint ArrivedAt);

  /// Returns whether the client connection can be used for another request.
  Task<bool> run();

private:
  struct StoredResponse {
    UpstreamExchange::Header m_Header;
    std::string m_Body;
    /// Reserved for m_Body.
    std::unique_ptr<GatewayCore::ResponseBuffer> m_Room;
  };

  std::optional<ErrorKind> resolveRoute();
  Task<> dispatch();
  Task<std::optional<Placement>> acquirePlacement();
  /// Requirements on the upstream of the next attempt.
  PlacementRequest placementRequest() const;
  /// Performs an attempt at `Chosen` and, while it is silent, backup attempts beside it. Returns
  /// how the last attempt in flight ended.
  Task<AttemptEnd> performAttempts(const Placement &Chosen);
  Task<AttemptEnd> performAttempt(RequestAttempt &Attempt);
  /// Releases the slot, the registrations and the connection of an attempt.
  AttemptEnd endAttempt(RequestAttempt &Attempt, AttemptEnd End);
  Task<AttemptEnd> sendAndRelay(RequestAttempt &Attempt);
  /// Starts a backup attempt if the request may have another attempt and an upstream has a free
  /// slot. Without one, the request stays where it is.
  void startBackup(Duration SilentTime);
  /// Performs a backup attempt, which may end after its request.
  static Task<> runBackup(std::shared_ptr<GatewayCore> Core, std::shared_ptr<RequestExchange> Self,
                          AttemptPtr Backup);
  /// Performs an attempt and stores how it ended in it.
  Task<> runAttempt(RequestAttempt &Attempt);
  /// Called when an attempt has something to forward. From here on it alone serves the request, and
  /// the other attempt in flight is cancelled. Returns false if this attempt was cancelled before.
  bool claimResponse(const RequestAttempt &By);
  /// Processes the headers in which an upstream states that it is leaving, its rate limit or a
  /// pause.
  void processUpstreamStatements(RequestAttempt &Attempt);
  void recordRateLimit(const RequestAttempt &Attempt);
  void recordCold(const RequestAttempt &Attempt);
  /// Records that reading the body of a response failed.
  void recordReadError(ExchangeError Error, const RequestAttempt &Attempt);
  Task<AttemptEnd> relayEvents(RequestAttempt &Attempt);
  Task<AttemptEnd> relayPlain(RequestAttempt &Attempt);
  /// Whether a response that was read to its end is whole. Confirms that the upstream is alive if
  /// only the end of the connection ended the response.
  Task<bool> isWhole(RequestAttempt &Attempt);
  Task<bool> forwardEvent(const RequestAttempt &Attempt, const EventSplitter::Event &Event);
  ClientRequest upstreamRequest(const UpstreamRecord &To) const;
  /// Sets the remaining time in the request. Returns false if the request must not be sent, because
  /// its deadline has passed or its placement is no longer valid.
  bool prepareSend(RequestAttempt &Attempt, ClientRequest &Request);
  /// Takes a permit if the upstream named a rate limit, or turned cold, after the request was
  /// placed. Returns false if no permit is available.
  bool ensurePermit(RequestAttempt &Attempt);

  bool canRetry() const;
  bool takeRetry();
  /// Whether an upstream may have run the request.
  bool mayHaveRun() const { return m_PossibleRuns > 0; }
  /// A plain response to a request for a stream cannot be resumed.
  bool canResume() const {
    return m_HeaderSent && m_Route->m_Kind == Repeatability::ResumableStream && m_LastEventId &&
           m_EventsResumable;
  }
  /// Called at the deadline, and repeatedly after it while a response is arriving or being written
  /// that may still be whole; see RequestExpiry. Ends the request otherwise.
  void onDeadline();
  bool isResponseArriving();
  /// Whether the deadline or GatewayCore::requestCutoff() has passed. If the event loop is delayed,
  /// the deadline timer is late too.
  bool isDeadlineOver() const { return m_Expiry.hasBegun() || remainingTime() <= Duration(0); }
  /// Called when the process is about to end. A write to the client continues, because it may
  /// complete the response; the end of the process cuts a write that does not.
  void onStop();
  void onClientDisconnected();
  void cancelPendingOperations();
  void interrupt();
  void scheduleStallCheck();
  /// Cancels an attempt because the request must no longer begin: on the weights of its upstream,
  /// or anywhere, if it is quarantined.
  void withdraw(RequestAttempt &Attempt);
  /// Cancels the attempt.
  void withdrawNow(RequestAttempt &Attempt);
  /// Withdraws an attempt that was sent, unless the start of its response has arrived.
  static Task<> withdrawUnlessBegun(std::shared_ptr<GatewayCore> Core,
                                    std::shared_ptr<RequestExchange> Self, AttemptPtr Attempt);
  /// Whether requests with the same keys crash upstreams.
  bool isQuarantined() const { return m_Core.isQuarantined(m_SuspectRequest); }
  /// Ends the wait for a placement, and attempts without a response, if the request is quarantined.
  void onQuarantine();
  /// Ends the registration as an unstarted request.
  void endUnstarted(RequestAttempt &Attempt, GatewayCore::UnstartedEnd How);
  void recordFirstByte();
  /// Called at the first bytes of an attempt's stream, or at the header of a plain response.
  void recordStart(RequestAttempt &Attempt);
  /// Called when the upstream of an attempt has survived the start of the request.
  void recordSurvivedStart(const RequestAttempt &Attempt);
  /// Counts and logs a stream that began on older weights after the bound.
  void reportLateStart(const RequestAttempt &Attempt);
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
  /// Sends a part of the body, after the header of the response if that was not sent before. A
  /// response that begins at its deadline is withheld until its last part. Returns false if the
  /// write fails or too much would have to be withheld.
  Task<bool> sendPart(const UpstreamExchange::Header &From, std::optional<std::uint64_t> Length,
                      std::string Bytes, bool IsLast);
  /// Creates the header of the response and selects the framing of its body.
  std::string makeHeader(const UpstreamExchange::Header &From, std::optional<std::uint64_t> Length);
  /// Adds the framing of the response to a part of its body.
  std::string frame(std::string Bytes, bool IsLast) const;
  Task<bool> writeClient(std::string Bytes);
  bool canKeepConnection() const { return m_KeepAlive && !m_Core.isDraining(); }

  void logAttempt(RequestAttempt &Attempt, std::string_view Outcome, std::string_view Detail);
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

  OneShotTimer m_DeadlineTimer;
  OneShotTimer m_StallTimer;
  TimePoint m_StallCheckDueAt;
  std::shared_ptr<PlacementWaiter> m_PlacementWaiter;
  /// The attempt for whose end dispatch() waits, or the last one; null before the first attempt.
  AttemptPtr m_Current;
  /// The attempt beside it; null if there is none in flight.
  AttemptPtr m_Backup;
  ChangeSignal m_BackupEnded;
  /// Has begun if the deadline has passed or the process is about to end.
  RequestExpiry m_Expiry;
  bool m_IsStopping = false;
  /// The request ends, because its deadline has passed or the process is about to end.
  bool m_TimedOut = false;
  bool m_ClientDisconnected = false;

  std::uint32_t m_PossibleRuns = 0;
  /// Attempts that were sent, or are about to be.
  std::uint32_t m_AttemptsSent = 0;
  std::uint32_t m_BackupAttempts = 0;
  /// Why the latest backup attempt that was due was not started.
  std::string_view m_BackupWithheld = "none";
  /// Rejections that do not count as attempts, and those of them that were not of backup attempts.
  std::uint32_t m_UncountedRejections = 0;
  std::uint32_t m_ResumptionRejections = 0;
  int m_ConnectFailures = 0;
  std::vector<InstanceId> m_TriedUpstreams;
  std::optional<StoredResponse> m_FailureResponse;
  bool m_IsResponseMalformed = false;
  bool m_HasThrown = false;
  std::uint32_t m_PromptTokens = 0;
  PlacementVerdict m_LastVerdict = PlacementVerdict::Placed;
  /// From the last placement; see Placement.
  std::optional<TimePoint> m_NextPermit;

  bool m_HeaderSent = false;
  bool m_IsChunked = false;
  /// Parts of a response that cannot begin before it is whole; see sendPart().
  std::string m_Withheld;
  bool m_IsClientLost = false;
  bool m_IsResponseComplete = false;
  bool m_EventsResumable = true;
  std::optional<std::uint64_t> m_LastEventId;
  std::optional<WeightsVersion> m_StreamVersion;
  /// Whether a write to the client is in progress; the upstream is not read meanwhile.
  bool m_IsWriting = false;
  /// Whether the latest write has the end of the response.
  bool m_IsLastPart = false;
  TimePoint m_LastClientWriteAt;
  std::optional<Duration> m_TimeToFirstByte;
  Duration m_QueueTime{0};
  std::uint64_t m_ForwardedEvents = 0;
  /// Longest pause between two reads of a stream.
  Duration m_LongestPause{0};

  std::string_view m_Outcome = "none";
  unsigned m_Status = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBGATEWAY_REQUESTEXCHANGE_H
