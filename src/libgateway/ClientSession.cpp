#include "ClientSession.h"

#include "Fescuegauge/HttpParser.h"
#include "Fescuegauge/Log.h"
#include "Fescuegauge/ScopeExit.h"
#include "RequestExchange.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace fescuegauge {

namespace http = boost::beast::http;

ClientSession::ClientSession(std::shared_ptr<GatewayCore> Core, Tcp::socket Socket)
    : m_Core(std::move(Core)), m_Client(std::make_shared<ClientConnection>(std::move(Socket))),
      m_ReadTimer(m_Core->executor()) {
  ++m_Core->m_Sessions;
}

ClientSession::~ClientSession() { --m_Core->m_Sessions; }

ClientLimits ClientSession::limits() const {
  return m_Core->plan() ? m_Core->plan()->limits() : ClientLimits();
}

void ClientSession::closeIfIdle() {
  if (m_IdleSince && monotonicNow() - *m_IdleSince >= MinIdleTime && m_Client->buffer().size() == 0)
    m_Client->close();
}

Task<> ClientSession::run() {
  auto Self = shared_from_this();
  setSocketOptions(m_Client->socket());
  const ScopeExit Close([this] { m_Client->close(); });
  bool KeepOpen = true;
  while (KeepOpen && m_Client->isOpen())
    KeepOpen = co_await serveNext();
}

Task<> ClientSession::rejectUnreadable(ErrorKind Kind) {
  const ErrorAnswer &Answer = errorAnswer(Kind);
  HttpResponse Response = errorResponse(Answer);
  Response.keep_alive(false);
  Response.prepare_payload();
  co_await http::async_write(m_Client->socket(), Response, AsTuple);
  m_Core->countRequest("none", Answer.m_Name);
  if (m_Core->tryAcquireLogLine(true))
    logEvent(Severity::Info, "request_unreadable", {{"outcome", Answer.m_Name}});
}

Task<bool> ClientSession::serveNext() {
  const ClientLimits Limits = limits();
  HttpRequestParser<http::string_body> Parser;
  Parser.header_limit(Limits.m_MaxHeaderBytes);
  Parser.body_limit(Limits.m_MaxBodyBytes);

  auto OnTimeout = [this] { m_Client->close(); };
  m_IdleSince = monotonicNow();
  if (m_Client->buffer().size() == 0) {
    m_ReadTimer.set(Limits.m_IdleTimeout, OnTimeout);
    auto [WaitError] = co_await m_Client->socket().async_wait(Tcp::socket::wait_read, AsTuple);
    if (WaitError)
      co_return false;
  }
  m_IdleSince.reset();
  const GatewayCore::ReadingScope Reading(*m_Core);
  m_ReadTimer.set(Limits.m_HeaderTimeout, OnTimeout);
  auto [HeaderError, HeaderSize] =
      co_await http::async_read_header(m_Client->socket(), m_Client->buffer(), Parser, AsTuple);
  if (HeaderError) {
    m_ReadTimer.cancel();
    if (isMalformedMessage(HeaderError))
      co_await rejectUnreadable(malformedMessageKind(HeaderError));
    co_return false;
  }
  const TimePoint ArrivedAt = monotonicNow();
  if (!Parser.is_done()) {
    m_ReadTimer.set(BodyTimeout, OnTimeout);
    if (boost::beast::iequals(Parser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> Continue(http::status::continue_, 11);
      co_await http::async_write(m_Client->socket(), Continue, AsTuple);
    }
    auto [BodyError, BodySize] =
        co_await http::async_read(m_Client->socket(), m_Client->buffer(), Parser, AsTuple);
    if (BodyError) {
      m_ReadTimer.cancel();
      if (isMalformedMessage(BodyError))
        co_await rejectUnreadable(malformedMessageKind(BodyError));
      co_return false;
    }
  }
  m_ReadTimer.cancel();
  // A TRACE request must not have content (RFC 9110, section 9.3.8), and cannot be sent on with it.
  if (Parser.get().method() == http::verb::trace && !Parser.get().body().empty()) {
    co_await rejectUnreadable(ErrorKind::MalformedRequest);
    co_return false;
  }
  auto Exchange = std::make_shared<RequestExchange>(*m_Core, m_Client, Parser.release(), ArrivedAt);
  co_return co_await Exchange->run();
}

} // namespace fescuegauge
