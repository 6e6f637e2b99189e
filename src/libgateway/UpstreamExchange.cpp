#include "UpstreamExchange.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <poll.h>
#include <utility>

namespace fescuegauge {

namespace http = boost::beast::http;

namespace {

ExchangeError readError(SystemError Error) {
  return isMalformedMessage(Error) ? ExchangeError::Malformed : ExchangeError::Broken;
}

} // namespace

std::string_view exchangeErrorName(ExchangeError Error) {
  switch (Error) {
  case ExchangeError::None:
    return "none";
  case ExchangeError::NotSent:
    return "not-sent";
  case ExchangeError::NotAllowed:
    return "not-allowed";
  case ExchangeError::Broken:
    return "broken";
  case ExchangeError::Malformed:
    return "malformed";
  }
  return "unknown";
}

std::optional<std::uint64_t> UpstreamExchange::contentLength() const {
  const auto Length = m_Parser->content_length();
  return Length ? std::optional<std::uint64_t>(*Length) : std::nullopt;
}

void UpstreamExchange::write() {
  m_WasSent = true;
  m_SentAt = monotonicNow();
  // The write refers to the connection after finish() has released it, if the exchange ends before
  // the request is written.
  http::async_write(
      m_Connection->socket(), m_Request,
      [Self = shared_from_this(), Kept = m_Connection](SystemError Error, std::size_t) {
        // The read reports how the exchange ends: the response may be whole without the request.
        Self->m_IsWritten = !Error;
      });
}

Task<ExchangeError> UpstreamExchange::start(Endpoint Address, Duration MaxIdleTime,
                                            Duration ConnectTimeout, BeforeSend Prepare) {
  auto Self = shared_from_this();
  if (!Prepare(m_Request))
    co_return ExchangeError::NotAllowed;
  m_Connection = m_Pool.takeIdle(Address, MaxIdleTime);
  m_IsReused = m_Connection != nullptr;
  if (!m_Connection) {
    SystemError Error;
    m_Connection = co_await m_Pool.open(Address, ConnectTimeout, Error);
    if (!m_Connection)
      co_return ExchangeError::NotSent;
    if (m_IsCancelled || !Prepare(m_Request)) {
      m_Pool.putIdle(std::exchange(m_Connection, nullptr), ConnectionPool::DefaultKeepAlive);
      co_return ExchangeError::NotAllowed;
    }
  }
  m_Request.prepare_payload();
  write();
  co_return co_await readHeader();
}

Task<ExchangeError> UpstreamExchange::readHeader() {
  int InterimCount = 0;
  for (int Stale = 0; Stale <= MaxStaleResponses;) {
    m_Parser.emplace();
    m_Parser->header_limit(MaxHeaderBytes);
    m_Parser->body_limit(boost::none);
    if (m_Request.method() == http::verb::head)
      m_Parser->skip(true);
    auto [Error, Size] = co_await http::async_read_header(
        m_Connection->socket(), m_Connection->buffer(), *m_Parser, AsTuple);
    if (Error)
      co_return readError(Error);
    const Header &Response = header();
    if (statusKind(static_cast<int>(Response.result_int())) == StatusKind::Interim) {
      if (++InterimCount > MaxInterimResponses)
        co_return ExchangeError::Malformed;
      continue;
    }
    const auto Id = Response[m_HeaderNames.m_RequestId];
    const bool IsSuccess =
        http::to_status_class(Response.result_int()) == http::status_class::successful;
    // A failure without an id belongs to this request only if it is the first response of a new
    // connection.
    const bool IsFirstOnNewConnection = !m_IsReused && Stale == 0;
    if (Id == m_RequestId || (Id.empty() && !IsSuccess && IsFirstOnNewConnection))
      co_return ExchangeError::None;
    if (Id.empty())
      co_return ExchangeError::Malformed;
    ++Stale;
    const bool Discarded = co_await discardBody();
    if (!Discarded)
      co_return ExchangeError::Broken;
    m_IsComplete = false;
  }
  co_return ExchangeError::Malformed;
}

Task<bool> UpstreamExchange::discardBody() {
  std::string Discard;
  std::size_t Discarded = 0;
  while (Discarded <= MaxDiscardedBytes) {
    Discard.clear();
    const ExchangeError Error = co_await read(Discard);
    if (Error != ExchangeError::None)
      co_return false;
    if (Discard.empty())
      co_return true;
    Discarded += Discard.size();
  }
  co_return false;
}

Task<> UpstreamExchange::discardRest(Duration Timeout) {
  auto Self = shared_from_this();
  OneShotTimer TimeoutTimer(m_Pool.executor());
  TimeoutTimer.set(Timeout, [this] { cancel(); });
  const bool Discarded = co_await discardBody();
  TimeoutTimer.cancel();
  if (!Discarded)
    cancel();
}

Task<ExchangeError> UpstreamExchange::read(std::string &Bytes) {
  while (!m_Parser->is_done()) {
    auto &Body = m_Parser->get().body();
    Body.data = m_ReadBuffer.data();
    Body.size = m_ReadBuffer.size();
    auto [Error, Size] = co_await http::async_read_some(m_Connection->socket(),
                                                        m_Connection->buffer(), *m_Parser, AsTuple);
    const std::size_t Received = m_ReadBuffer.size() - Body.size;
    Bytes.append(m_ReadBuffer.data(), Received);
    if (Error && Error != http::error::need_buffer)
      co_return readError(Error);
    if (Received > 0)
      co_return ExchangeError::None;
  }
  if (endsWithConnection() && wasLostDuringWrite())
    co_return ExchangeError::Broken;
  m_IsComplete = true;
  co_return ExchangeError::None;
}

void UpstreamExchange::finish() {
  if (!m_Connection)
    return;
  const bool Reusable = m_IsComplete && m_IsWritten && !m_IsCancelled && m_Parser->keep_alive();
  if (Reusable)
    m_Pool.putIdle(m_Connection, keepAliveTimeout(header()[http::field::keep_alive],
                                                  ConnectionPool::DefaultKeepAlive));
  else
    m_Connection->close();
  m_Connection.reset();
}

bool UpstreamExchange::hasInput() const {
  if (!m_Connection || !m_Connection->socket().is_open())
    return false;
  // A call of recv() would clear an error of the socket, and a reset would look like an end.
  pollfd Polled{m_Connection->socket().native_handle(), POLLIN, 0};
  return ::poll(&Polled, 1, 0) > 0;
}

bool UpstreamExchange::wasLostDuringWrite() const {
  if (m_IsWritten)
    return false;
  // Without requested events, poll() reports only an error and the end of both directions. A peer
  // that only shuts its sending side down causes neither.
  pollfd Polled{m_Connection->socket().native_handle(), 0, 0};
  return ::poll(&Polled, 1, 0) > 0;
}

void UpstreamExchange::cancel() {
  m_IsCancelled = true;
  if (m_Connection)
    m_Connection->reset();
}

} // namespace fescuegauge
