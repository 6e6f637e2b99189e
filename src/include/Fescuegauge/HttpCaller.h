#ifndef FESCUEGAUGE_HTTPCALLER_H
#define FESCUEGAUGE_HTTPCALLER_H

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

/// The times that one call may take.
struct CallLimits {
  static constexpr Duration UsualConnect = std::chrono::milliseconds(400);
  /// A body that keeps coming is given up after this time all the same.
  static constexpr Duration LongestBody = std::chrono::seconds(15);

  /// For the answer; with m_BodyPause, for its header.
  Duration m_Answer;
  /// Longest pause between two parts of the body; 0 if the whole answer must come within m_Answer.
  Duration m_BodyPause{0};
  Duration m_Connect = UsualConnect;
};

/// The result of one call.
struct CallResult {
  enum class Kind {
    Answered,
    /// No connection could be opened; the request was not sent.
    NotSent,
    /// The request may have arrived, but no complete answer came in time.
    NoAnswer,
  };

  Kind m_Kind = Kind::NotSent;
  HttpResponse m_Response;
  /// Why there is no answer.
  std::string m_Reason;
  /// Bytes of the body that came, also if the answer did not come whole.
  std::size_t m_BodyBytes = 0;

  bool isAnswered() const { return m_Kind == Kind::Answered; }
  /// 0 without an answer.
  unsigned status() const { return isAnswered() ? m_Response.result_int() : 0; }
};

/// Makes small HTTP calls whose answer fits into memory, and keeps connections between them.
class HttpCaller {
public:
  /// Largest answer.
  static constexpr std::uint64_t MaxAnswerBytes = 8 << 20;

  explicit HttpCaller(ConnectionPool &Pool) : m_Pool(Pool) {}

  /// Sends `Request` and waits for the whole answer within `Limits`. A request that fails on a kept
  /// connection before any byte of an answer is repeated once on a new one if `Repeatable`.
  Task<CallResult> call(Endpoint Address, HttpRequest Request, CallLimits Limits,
                        bool Repeatable = true);
  /// The whole answer must come within `Timeout`.
  Task<CallResult> call(Endpoint Address, HttpRequest Request, Duration Timeout,
                        bool Repeatable = true) {
    return call(std::move(Address), std::move(Request), CallLimits{Timeout}, Repeatable);
  }

private:
  Task<CallResult> callOn(ConnectionPtr Connection, HttpRequest &Request, CallLimits Limits);

  ConnectionPool &m_Pool;
};

/// A request without a body.
HttpRequest makeGet(const std::string &Target);
/// A request with a JSON body.
HttpRequest makePost(const std::string &Target, std::string Json);

/// The seconds in a Keep-Alive header as a duration; `Default` if the header names none.
Duration keepAliveOf(std::string_view Header, Duration Default);

/// `Text` with every byte escaped that has a meaning in a query.
std::string escapeQuery(std::string_view Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_HTTPCALLER_H
