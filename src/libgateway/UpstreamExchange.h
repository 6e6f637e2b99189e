#ifndef FESCUEGAUGE_LIBGATEWAY_UPSTREAMEXCHANGE_H
#define FESCUEGAUGE_LIBGATEWAY_UPSTREAMEXCHANGE_H

#include "Fescuegauge/CallHeaders.h"
#include "Fescuegauge/ConnectionPool.h"
#include "Fescuegauge/HttpCaller.h"

#include <array>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fescuegauge {

/// Why an exchange with an upstream gave no (further) answer.
enum class ExchangeError {
  None,
  /// No connection; nothing was sent.
  NotSent,
  /// The owner's check before the first byte failed; nothing was sent.
  NotAllowed,
  /// The connection ended before the answer was complete.
  Broken,
  /// Bytes arrived that are no answer to the request.
  Malformed,
};

std::string_view exchangeErrorName(ExchangeError Error);

/// One request sent to one upstream, and its answer as it arrives.
///
/// Answers to earlier requests that arrive late on a kept connection are recognised by their
/// request id and skipped; one without an id counts only on a new connection. The connection is
/// kept afterwards only if the answer was complete and nothing follows it. Objects are held by
/// shared_ptr, because the request may still be being written when the owner lets go.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange> {
public:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  using Header = boost::beast::http::response_header<>;

  /// Interim answers (1xx) that are skipped before the connection is given up.
  static constexpr int MaxInterimAnswers = 8;
  /// Bytes of a body of no interest that are read so that the connection can be kept.
  static constexpr std::size_t MaxSkippedBytes = 64 << 10;
  /// Answers of earlier requests that are skipped before the connection is given up.
  static constexpr int MaxStrayAnswers = 4;
  /// Longest header of an answer, in bytes.
  static constexpr std::uint32_t MaxHeaderBytes = 64 << 10;

  UpstreamExchange(ConnectionPool &Pool, const CallHeaders &Names, HttpRequest Request,
                   std::string Id)
      : m_Pool(Pool), m_Names(Names), m_Request(std::move(Request)), m_RequestId(std::move(Id)) {}
  UpstreamExchange(const UpstreamExchange &) = delete;
  UpstreamExchange &operator=(const UpstreamExchange &) = delete;

  /// Completes the request right before its first byte is sent. False if it must not be sent.
  using BeforeSend = std::function<bool(HttpRequest &)>;

  /// Sends the request and waits for the head of its answer. A connection that was idle for longer
  /// than `LongestIdle` is not used. `Check` is asked before a connection is opened and again when
  /// it is open, because that takes up to `ConnectTimeout`.
  Task<ExchangeError> start(Endpoint Address, Duration LongestIdle, Duration ConnectTimeout,
                            BeforeSend Check);
  /// The head of the answer, after start() returned None.
  const Header &header() const { return m_Parser->get(); }
  /// The length of the body if the answer tells it.
  std::optional<std::uint64_t> contentLength() const;
  /// Waits for more of the body. Empty with None when the body is complete.
  Task<ExchangeError> read(std::string &Bytes);
  /// Reads the rest of an answer of no interest, so that the connection can be kept. Gives the
  /// connection up if the rest is long or takes longer than `Limit`.
  Task<> skipRest(Duration Limit);
  /// Gives the connection back, or closes it if the exchange is not complete.
  void finish();
  /// Ends the operation in progress with Broken.
  void cancel();

  /// Whether a byte of the request may have left this process.
  bool wasSent() const { return m_Sent; }
  /// When the request was given to the connection, if it was.
  TimePoint sentAt() const { return m_SentAt; }

private:
  void write();
  Task<ExchangeError> readHead();
  Task<bool> skipBody();

  ConnectionPool &m_Pool;
  const CallHeaders &m_Names;
  HttpRequest m_Request;
  std::string m_RequestId;
  ConnectionPtr m_Connection;
  std::optional<Parser> m_Parser;
  std::array<char, 8192> m_Chunk;
  /// The connection carried other requests before.
  bool m_IsKept = false;
  bool m_Sent = false;
  TimePoint m_SentAt;
  bool m_Written = false;
  bool m_Complete = false;
  bool m_Cancelled = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBGATEWAY_UPSTREAMEXCHANGE_H
