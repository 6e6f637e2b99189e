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

/// Serves one request of a caller from its head to the last byte of its answer.
///
/// Truth about whether the request was run: m_MayHaveRun is set before the first byte of it can
/// have left this process and is only taken back when the upstream states that it did not run it.
/// The statuses 408, 421, 429 and 503 promise that a request was not run and are sent only while
/// m_MayHaveRun is false.
class RequestExchange : public std::enable_shared_from_this<RequestExchange> {
public:
  /// Upstreams to which no connection could be opened before the request is refused. They do not
  /// count as attempts, because nothing was sent.
  static constexpr int MaxConnectFailures = 3;
  static constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
  /// Work that runs at most once uses only connections that were used this recently, because one
  /// that its upstream closes meanwhile leaves the outcome unknown.
  static constexpr Duration LongestIdleAtMostOnce = std::chrono::milliseconds(1500);
  /// An answer without events is held back until it is complete or this long, so that one that
  /// breaks off can be asked for again.
  static constexpr std::size_t HeldBytes = 64 << 10;
  /// A failure is passed on only as a whole; a longer one is taken for no answer.
  static constexpr std::size_t MaxFailureBytes = 1 << 20;
  /// The rest of a rejection must come within this time for its connection to be kept.
  static constexpr Duration LongestRejection = std::chrono::milliseconds(100);
  /// Time without an event after which a stream looks for another upstream, if its own one is
  /// silent to all requests.
  static constexpr Duration StallLimit = std::chrono::milliseconds(900);
  /// The same where the upstream goes on with other requests. Callers leave after 2 s without an
  /// event or more.
  static constexpr Duration LongStallLimit = std::chrono::milliseconds(1600);
  static constexpr Duration StallCheckInterval = std::chrono::milliseconds(150);
  /// A plain idempotent request looks for another upstream after this many times its target
  /// latency.
  static constexpr int PlainStallFactor = 2;
  /// A stream that broke off in the middle waits this long for a place to go on.
  static constexpr Duration LongestResumeWait = std::chrono::milliseconds(1200);

  RequestExchange(GatewayCore &Core, std::shared_ptr<ClientConnection> Client, HttpRequest Request,
                  TimePoint ArrivedAt);

  /// Returns whether the caller's connection can be used for another request.
  Task<bool> run();

private:
  enum class AttemptEnd {
    /// The answer, or all that there is of it, was passed on.
    Delivered,
    NotSent,
    /// The upstream ceased to be usable before the request was sent.
    NoLongerUsable,
    Rejected,
    /// The upstream may have run the request, and nothing usable came.
    Failed,
    /// The upstream ran the request and answered with a failure, kept in m_KeptAnswer.
    AnsweredFailure,
    /// Another upstream was found for a request whose own one is silent.
    Moved,
    /// The time was over, or the caller left.
    Interrupted,
  };

  struct KeptAnswer {
    UpstreamExchange::Header m_Header;
    std::string m_Body;
  };

  std::optional<ErrorKind> classify();
  Task<> dispatch();
  Task<std::optional<Placement>> findPlace();
  /// What the request needs of the upstream that it goes to next.
  PlacementRequest wantedPlace() const;
  Task<AttemptEnd> attempt(const Placement &Chosen);
  Task<AttemptEnd> receive(const Placement &Chosen, UpstreamExchange &Sent);
  /// Notes what the upstream says of itself in the head of an answer.
  void noteStatements(const UpstreamExchange &Sent, const UpstreamRecord &From);
  void recordRate(const UpstreamExchange &Sent, const UpstreamRecord &From);
  Task<AttemptEnd> relayEvents(UpstreamExchange &Sent, const UpstreamRecord &From);
  Task<AttemptEnd> relayPlain(UpstreamExchange &Sent, const UpstreamRecord &From);
  Task<bool> passEvent(UpstreamExchange &Sent, const EventSplitter::Event &Event);
  HttpRequest upstreamRequest(const UpstreamRecord &To) const;
  /// Adds the time that is left. False if the request must not be sent, because its time is over or
  /// what was decided when the place was given holds no more.
  bool prepareSend(const UpstreamRecord &To, HttpRequest &Request);
  /// Takes a permit if the upstream named a rate after the place was given. False if it is refused.
  bool ensurePermit(const UpstreamRecord &To);

  bool mayRetry() const;
  bool takeRetry();
  bool canResume() const {
    return m_HeadSent && m_Route->m_Kind == Repeatability::ResumableStream && m_EventsResumable;
  }
  void onDeadline();
  /// The process is about to end. A write to the caller goes on, because the answer may be whole
  /// then; the end of the process cuts one that does not end.
  void onStop();
  void onCallerLeft();
  void cancelWork();
  void interrupt();
  void checkStall();
  /// The request must not begin at its upstream any more, because the weights there are too old.
  void withdraw();
  /// The upstream has begun the request, or the attempt ended before.
  void endUnstarted(GatewayCore::UnstartedEnd How);
  void noteFirstByte();
  /// The first event of the current attempt came, or the head of a plain answer.
  void noteStart();
  /// Reports a stream that began on weights that the bound no longer allows.
  void checkWeightsBound(const UpstreamExchange &Sent);
  /// An answer has the head of one to GET, and no body.
  bool isHead() const { return m_Request.method() == boost::beast::http::verb::head; }
  bool isInterrupted() const { return m_TimedOut || m_CallerLeft; }
  Duration timeLeft() const {
    return std::min(m_Deadline, m_Core.requestCutoff()) - monotonicNow();
  }
  /// The request may run only once, and its time ends after GatewayCore::requestsEndAt().
  bool isTooLateToBegin() const;

  Task<> refuse(ErrorKind Kind);
  Task<> finishFailed();
  Task<> replyError(ErrorKind Kind, std::optional<Duration> RetryAfter);
  Task<> deliverKept();
  /// Sends the head of the answer unless it was sent before. False if the caller is gone.
  Task<bool> ensureHead(const UpstreamExchange::Header &From, std::optional<std::uint64_t> Length);
  Task<bool> sendBody(std::string Bytes, bool IsLast);
  Task<bool> writeClient(std::string Bytes);
  bool keepsConnection() const { return m_KeepAlive && !m_Core.isDraining(); }

  void logAttempt(const Placement &Chosen, std::string_view Outcome, std::string_view Detail);
  void logEnd();
  std::string_view kindName() const;

  GatewayCore &m_Core;
  std::shared_ptr<ClientConnection> m_Client;
  HttpRequest m_Request;
  TimePoint m_ArrivedAt;
  TimePoint m_Deadline;
  bool m_KeepAlive;

  std::shared_ptr<const RouteTable> m_Plan;
  const Route *m_Route = nullptr;
  ClientAccountId m_Account;
  ServiceId m_Service;
  ModelId m_Model;
  std::string m_RequestId;
  int m_Priority = 0;
  bool m_Returned = false;
  SuspectKey m_SuspectKey;

  Alarm m_DeadlineAlarm;
  Alarm m_StallAlarm;
  std::shared_ptr<PlacementWaiter> m_Waiter;
  std::shared_ptr<UpstreamExchange> m_Current;
  InstanceId m_CurrentUpstream;
  std::optional<Placement> m_MoveTo;
  bool m_TimedOut = false;
  bool m_CallerLeft = false;

  bool m_MayHaveRun = false;
  std::uint32_t m_AttemptsSent = 0;
  int m_ConnectFailures = 0;
  std::vector<InstanceId> m_Tried;
  std::optional<KeptAnswer> m_KeptAnswer;
  bool m_AnswerMalformed = false;
  std::uint32_t m_PromptTokens = 0;
  /// Those that the upstream of the current attempt has yet to read.
  std::uint32_t m_UnreadTokens = 0;
  /// Set while the upstream of the current attempt, an engine, has not begun the request.
  std::optional<UnstartedNumber> m_Unstarted;
  /// The current attempt was ended by withdraw().
  bool m_Withdrawn = false;
  /// A permit was taken for the current attempt; see SharedRates.
  bool m_HasPermit = false;
  /// The upstream of the current attempt named a time for which it wants nothing.
  bool m_PauseAsked = false;
  PlacementVerdict m_LastVerdict = PlacementVerdict::Placed;
  /// Of the last search for a place; see Placement.
  std::optional<TimePoint> m_NextPermit;

  bool m_HeadSent = false;
  bool m_Chunked = false;
  bool m_ClientBroken = false;
  bool m_Complete = false;
  bool m_EventsResumable = true;
  std::optional<std::uint64_t> m_LastEventId;
  std::optional<WeightsVersion> m_StreamVersion;
  /// Of the current attempt, or of the last one: when it was dispatched, how long it took to start,
  /// and the weights of the upstream by its record and by its answer.
  TimePoint m_DispatchedAt;
  std::optional<Duration> m_StartAfter;
  WeightsVersion m_PlacedWeights;
  std::optional<WeightsVersion> m_AnsweredWeights;
  TimePoint m_LastByteAt;
  /// The upstream is not read while a write to the caller is in progress.
  bool m_IsWriting = false;
  TimePoint m_LastWriteAt;
  std::optional<Duration> m_FirstByteAfter;
  Duration m_Waited{0};
  std::uint64_t m_EventsPassed = 0;
  /// The longest pause between two reads of a stream, and when the last one was.
  Duration m_LongestPause{0};

  std::string_view m_Outcome = "none";
  unsigned m_Status = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBGATEWAY_REQUESTEXCHANGE_H
