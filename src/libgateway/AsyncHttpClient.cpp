#include "Fescuegauge/AsyncHttpClient.h"

#include "Fescuegauge/HttpParser.h"

#include <Poco/URI.h>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace fescuegauge {

namespace http = boost::beast::http;

HttpRequest makeGet(const std::string &Target) { return HttpRequest(http::verb::get, Target, 11); }

HttpRequest makePost(const std::string &Target, std::string Json) {
  HttpRequest Request(http::verb::post, Target, 11);
  Request.set(http::field::content_type, "application/json");
  Request.body() = std::move(Json);
  return Request;
}

Duration keepAliveTimeout(std::string_view Header, Duration Default) {
  constexpr std::string_view Name = "timeout=";
  const std::size_t At = Header.find(Name);
  if (At == std::string_view::npos)
    return Default;
  const std::string_view Rest = Header.substr(At + Name.size());
  unsigned Seconds = 0;
  auto [End, Error] = std::from_chars(Rest.data(), Rest.data() + Rest.size(), Seconds);
  return Error == std::errc() ? Duration(std::chrono::seconds(Seconds)) : Default;
}

std::string escapeQuery(std::string_view Text) {
  std::string Result;
  Poco::URI::encode(std::string(Text), "/:;?&=+#%,@!$'()*", Result);
  return Result;
}

Task<CallResult> AsyncHttpClient::callOnConnection(ConnectionPtr Connection, HttpRequest &Request,
                                                   CallTimeouts Timeouts) {
  CallResult Result;
  Result.m_Kind = CallResult::Kind::NoAnswer;
  bool TimedOut = false;
  OneShotTimer TimeoutTimer(m_Pool.executor());
  const auto OnTimeout = [&TimedOut, Connection] {
    TimedOut = true;
    Connection->close();
  };
  TimeoutTimer.set(Timeouts.m_ResponseTimeout, OnTimeout);
  auto [WriteError, Written] = co_await http::async_write(Connection->socket(), Request, AsTuple);
  if (WriteError) {
    Result.m_Reason = TimedOut ? "timeout" : WriteError.message();
    Connection->close();
    co_return Result;
  }
  HttpResponseParser<http::string_body> Parser;
  Parser.body_limit(MaxAnswerBytes);
  auto [ReadError, Read] =
      co_await http::async_read_header(Connection->socket(), Connection->buffer(), Parser, AsTuple);
  if (!ReadError && !Parser.is_done()) {
    const TimePoint BodyDeadline = monotonicNow() + CallTimeouts::MaxBodyTime;
    while (!ReadError && !Parser.is_done()) {
      if (Timeouts.m_BodyIdleTimeout > Duration(0))
        TimeoutTimer.set(std::min(Timeouts.m_BodyIdleTimeout, BodyDeadline - monotonicNow()),
                         OnTimeout);
      auto [BodyError, BodyRead] = co_await http::async_read_some(
          Connection->socket(), Connection->buffer(), Parser, AsTuple);
      ReadError = BodyError;
    }
  }
  TimeoutTimer.cancel();
  Result.m_BodyBytes = Parser.get().body().size();
  if (ReadError) {
    Result.m_Reason = TimedOut ? "timeout" : ReadError.message();
    Connection->close();
    co_return Result;
  }
  if (statusKind(static_cast<int>(Parser.get().result_int())) == StatusKind::Interim) {
    // The response that follows must not be read as that to the next request.
    Result.m_Reason = "interim response";
    Connection->close();
    co_return Result;
  }
  Result.m_Kind = CallResult::Kind::Answered;
  const bool Reusable = Parser.keep_alive();
  Result.m_Response = Parser.release();
  if (Reusable)
    m_Pool.putIdle(Connection, keepAliveTimeout(Result.m_Response[http::field::keep_alive],
                                                ConnectionPool::DefaultKeepAlive));
  else
    Connection->close();
  co_return Result;
}

Task<CallResult> AsyncHttpClient::call(Endpoint Address, HttpRequest Request, CallTimeouts Timeouts,
                                       bool AllowRetry) {
  Request.set(http::field::host, Address.m_Host + ":" + std::to_string(Address.m_Port));
  Request.prepare_payload();
  const TimePoint Start = monotonicNow();
  if (ConnectionPtr Reused =
          m_Pool.takeIdle(Address, AllowRetry ? Duration::max() : Duration::zero())) {
    CallResult Result = co_await callOnConnection(Reused, Request, Timeouts);
    const bool TimeoutPassed = monotonicNow() - Start >= Timeouts.m_ResponseTimeout;
    if (Result.isAnswered() || !AllowRetry || TimeoutPassed)
      co_return Result;
  }
  SystemError Error;
  ConnectionPtr NewConnection = co_await m_Pool.open(
      Address, std::min(Timeouts.m_ConnectTimeout, Timeouts.m_ResponseTimeout), Error);
  if (!NewConnection) {
    CallResult Result;
    Result.m_Reason = Error == net::error::operation_aborted ? "connect timeout" : Error.message();
    co_return Result;
  }
  Timeouts.m_ResponseTimeout -= monotonicNow() - Start;
  co_return co_await callOnConnection(NewConnection, Request, Timeouts);
}

} // namespace fescuegauge
