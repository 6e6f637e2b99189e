#ifndef FESCUEGAUGE_ASYNCHTTPCLIENT_H
#define FESCUEGAUGE_ASYNCHTTPCLIENT_H

#include "Fescuegauge/AsioTypes.h"
#include "Fescuegauge/ConnectionPool.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace fescuegauge {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Timeouts of one call.
struct CallTimeouts {
  static constexpr Duration DefaultConnectTimeout = std::chrono::milliseconds(400);
  /// Total time for a body, however steadily it arrives.
  static constexpr Duration MaxBodyTime = std::chrono::seconds(15);

  /// For the whole response, or only for its header if m_BodyIdleTimeout is set.
  Duration m_ResponseTimeout;
  /// Maximum time between two parts of the body. 0 if m_ResponseTimeout covers the body too.
  Duration m_BodyIdleTimeout{0};
  Duration m_ConnectTimeout = DefaultConnectTimeout;
};

/// Result of one call.
struct CallResult {
  enum class Kind {
    Answered,
    /// No connection could be opened, and the request was not sent.
    NotSent,
    /// The request may have arrived, but no complete response was received in time.
    NoAnswer,
  };

  Kind m_Kind = Kind::NotSent;
  HttpResponse m_Response;
  /// Why there is no response.
  std::string m_Reason;
  /// Received bytes of the body, also of an incomplete response.
  std::size_t m_BodyBytes = 0;

  bool isAnswered() const { return m_Kind == Kind::Answered; }
  /// HTTP status, or 0 without a response.
  unsigned status() const { return isAnswered() ? m_Response.result_int() : 0; }
};

/// HTTP client for small calls. Buffers the whole response and reuses connections.
class AsyncHttpClient {
public:
  /// Maximum size of a response body.
  static constexpr std::uint64_t MaxAnswerBytes = 8 << 20;

  explicit AsyncHttpClient(ConnectionPool &Pool) : m_Pool(Pool) {}

  /// Sends `Request` and waits for the whole response within `Timeouts`. If `AllowRetry` is set, a
  /// request that fails on a reused connection is sent again once on a new one.
  Task<CallResult> call(Endpoint Address, HttpRequest Request, CallTimeouts Timeouts,
                        bool AllowRetry = true);
  /// As above, with `Timeout` for the whole response.
  Task<CallResult> call(Endpoint Address, HttpRequest Request, Duration Timeout,
                        bool AllowRetry = true) {
    return call(std::move(Address), std::move(Request), CallTimeouts{Timeout}, AllowRetry);
  }

private:
  Task<CallResult> callOnConnection(ConnectionPtr Connection, HttpRequest &Request,
                                    CallTimeouts Timeouts);

  ConnectionPool &m_Pool;
};

/// Creates a GET request.
HttpRequest makeGet(const std::string &Target);
/// Creates a POST request with a JSON body.
HttpRequest makePost(const std::string &Target, std::string Json);

/// Returns the timeout stated in a Keep-Alive header, or `Default` if it states none.
Duration keepAliveTimeout(std::string_view Header, Duration Default);

/// Percent-encodes every byte of `Text` that has a meaning in a query.
std::string escapeQuery(std::string_view Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_ASYNCHTTPCLIENT_H
