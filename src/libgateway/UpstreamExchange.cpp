#include "UpstreamExchange.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace fescuegauge {

namespace http = boost::beast::http;

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
  m_Sent = true;
  m_SentAt = monotonicNow();
  http::async_write(m_Connection->socket(), m_Request,
                    [Self = shared_from_this()](SystemError Error, std::size_t) {
                      // A failed write also ends the read, which reports it.
                      Self->m_Written = !Error;
                    });
}

Task<ExchangeError> UpstreamExchange::start(Endpoint Address, Duration LongestIdle,
                                            Duration ConnectTimeout, BeforeSend Check) {
  auto Self = shared_from_this();
  if (!Check(m_Request))
    co_return ExchangeError::NotAllowed;
  m_Connection = m_Pool.takeIdle(Address, LongestIdle);
  m_IsKept = m_Connection != nullptr;
  if (!m_Connection) {
    SystemError Error;
    m_Connection = co_await m_Pool.open(Address, ConnectTimeout, Error);
    if (!m_Connection)
      co_return ExchangeError::NotSent;
    if (m_Cancelled) {
      m_Connection->close();
      co_return ExchangeError::NotSent;
    }
    if (!Check(m_Request)) {
      m_Pool.keep(std::exchange(m_Connection, nullptr), ConnectionPool::DefaultKeepAlive);
      co_return ExchangeError::NotAllowed;
    }
  }
  m_Request.prepare_payload();
  write();
  co_return co_await readHead();
}

Task<ExchangeError> UpstreamExchange::readHead() {
  int Interim = 0;
  for (int Stray = 0; Stray <= MaxStrayAnswers;) {
    m_Parser.emplace();
    m_Parser->header_limit(MaxHeaderBytes);
    m_Parser->body_limit(boost::none);
    if (m_Request.method() == http::verb::head)
      m_Parser->skip(true);
    auto [Error, Size] = co_await http::async_read_header(
        m_Connection->socket(), m_Connection->buffer(), *m_Parser, AsTuple);
    if (Error) {
      const bool Unreadable =
          Error.category() == http::make_error_code(http::error::bad_value).category() &&
          Error != http::error::end_of_stream && Error != http::error::partial_message;
      co_return Unreadable ? ExchangeError::Malformed : ExchangeError::Broken;
    }
    const Header &Head = header();
    if (http::to_status_class(Head.result_int()) == http::status_class::informational) {
      if (++Interim > MaxInterimAnswers)
        co_return ExchangeError::Malformed;
      continue;
    }
    const auto Id = Head[m_Names.m_RequestId];
    const bool IsSuccess =
        http::to_status_class(Head.result_int()) == http::status_class::successful;
    // Only on a connection that carried nothing before, a failure without an id is this request's.
    const bool IsFirst = !m_IsKept && Stray == 0;
    if (Id == m_RequestId || (Id.empty() && !IsSuccess && IsFirst))
      co_return ExchangeError::None;
    if (Id.empty())
      co_return ExchangeError::Malformed;
    ++Stray;
    const bool Skipped = co_await skipBody();
    if (!Skipped)
      co_return ExchangeError::Broken;
    m_Complete = false;
  }
  co_return ExchangeError::Malformed;
}

Task<bool> UpstreamExchange::skipBody() {
  std::string Ignored;
  std::size_t Skipped = 0;
  while (Skipped <= MaxSkippedBytes) {
    Ignored.clear();
    const ExchangeError Error = co_await read(Ignored);
    if (Error != ExchangeError::None)
      co_return false;
    if (Ignored.empty())
      co_return true;
    Skipped += Ignored.size();
  }
  co_return false;
}

Task<> UpstreamExchange::skipRest(Duration Limit) {
  auto Self = shared_from_this();
  Alarm Late(m_Pool.executor());
  Late.set(Limit, [this] { cancel(); });
  const bool Skipped = co_await skipBody();
  Late.cancel();
  if (!Skipped)
    cancel();
}

Task<ExchangeError> UpstreamExchange::read(std::string &Bytes) {
  while (!m_Parser->is_done()) {
    auto &Body = m_Parser->get().body();
    Body.data = m_Chunk.data();
    Body.size = m_Chunk.size();
    auto [Error, Size] = co_await http::async_read_some(m_Connection->socket(),
                                                        m_Connection->buffer(), *m_Parser, AsTuple);
    const std::size_t Got = m_Chunk.size() - Body.size;
    Bytes.append(m_Chunk.data(), Got);
    if (Error && Error != http::error::need_buffer)
      co_return ExchangeError::Broken;
    if (Got > 0)
      co_return ExchangeError::None;
  }
  m_Complete = true;
  co_return ExchangeError::None;
}

void UpstreamExchange::finish() {
  if (!m_Connection)
    return;
  const bool Reusable = m_Complete && m_Written && !m_Cancelled && m_Parser->keep_alive();
  if (Reusable)
    m_Pool.keep(m_Connection,
                keepAliveOf(header()[http::field::keep_alive], ConnectionPool::DefaultKeepAlive));
  else
    m_Connection->close();
  m_Connection.reset();
}

void UpstreamExchange::cancel() {
  m_Cancelled = true;
  if (m_Connection)
    m_Connection->reset();
}

} // namespace fescuegauge
