#include "Fescuegauge/BlockingHttpExchange.h"

#include "Fescuegauge/EndpointText.h"
#include "Fescuegauge/HttpParser.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <sstream>

namespace fescuegauge {

namespace http = boost::beast::http;

namespace {

/// Limit of bytes received and not yet parsed. An endless header, chunk extension or trailer
/// exceeds it and fails the response.
constexpr std::size_t MaxBufferedBytes = 128 << 10;
constexpr std::size_t BlockBytes = 64 << 10;

Poco::Timespan timespan(Duration Length) { return {Length.count()}; }

} // namespace

/// The connection, as a SyncReadStream of Boost.Beast.
class BlockingHttpExchange::Connection {
public:
  Connection(const Endpoint &Server, BlockingTimeouts Timeouts) : m_Timeouts(Timeouts) {
    m_Socket.connect(Poco::Net::SocketAddress(Server.m_Host, Server.m_Port),
                     timespan(Timeouts.m_Connect));
    m_Socket.setNoDelay(true);
    m_OpenedAt = monotonicNow();
  }

  void write(std::string_view Bytes) {
    // In blocks, because the timeout applies to each call.
    while (!Bytes.empty()) {
      m_Socket.setSendTimeout(timespan(nextTimeout()));
      const int Written =
          m_Socket.sendBytes(Bytes.data(), static_cast<int>(std::min(Bytes.size(), BlockBytes)));
      Bytes.remove_prefix(static_cast<std::size_t>(Written));
    }
  }

  // NOLINTBEGIN(readability-identifier-naming)
  /// Reads some bytes; sets `Error` at the end of the connection.
  template <typename Buffers> std::size_t read_some(const Buffers &To, SystemError &Error) {
    const net::mutable_buffer First = *net::buffer_sequence_begin(To);
    m_Socket.setReceiveTimeout(timespan(nextTimeout()));
    const int Received = m_Socket.receiveBytes(First.data(), static_cast<int>(First.size()));
    Error = Received > 0 ? SystemError() : net::error::eof;
    return static_cast<std::size_t>(Received);
  }
  /// Required of a SyncReadStream; not called.
  template <typename Buffers> std::size_t read_some(const Buffers &To) {
    SystemError Error;
    const std::size_t Received = read_some(To, Error);
    if (Error)
      throw boost::system::system_error(Error);
    return Received;
  }
  // NOLINTEND(readability-identifier-naming)

  boost::beast::flat_buffer &buffer() { return m_Buffer; }

private:
  Duration nextTimeout() const {
    if (m_Timeouts.m_Total == Duration::max())
      return m_Timeouts.m_Idle;
    const Duration Left = m_OpenedAt + m_Timeouts.m_Total - monotonicNow();
    if (Left <= Duration(0))
      throw Poco::TimeoutException("the exchange takes too long");
    return std::min(m_Timeouts.m_Idle, Left);
  }

  BlockingTimeouts m_Timeouts;
  Poco::Net::StreamSocket m_Socket;
  boost::beast::flat_buffer m_Buffer{MaxBufferedBytes};
  TimePoint m_OpenedAt;
};

struct BlockingHttpExchange::Response {
  HttpResponseParser<http::buffer_body> m_Parser;
  std::array<char, BlockBytes> m_Block;
};

BlockingHttpExchange::BlockingHttpExchange(const Endpoint &Server, BlockingTimeouts Timeouts)
    : m_Host(endpointText(Server)), m_Connection(std::make_unique<Connection>(Server, Timeouts)) {}

BlockingHttpExchange::~BlockingHttpExchange() = default;

bool BlockingHttpExchange::write(std::string_view Bytes) {
  try {
    m_Connection->write(Bytes);
  } catch (const Poco::IOException &) {
    return false;
  }
  return true;
}

void BlockingHttpExchange::start(Poco::Net::HTTPRequest Request, std::string_view Body) {
  Request.setHost(m_Host);
  Request.setKeepAlive(false);
  if (!Body.empty() || Request.getMethod() != Poco::Net::HTTPRequest::HTTP_GET)
    Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  std::ostringstream Header;
  Request.write(Header);
  m_IsWritten = write(Header.str()) && write(Body);
  readHeader();
}

void BlockingHttpExchange::readHeader() {
  for (int Interim = 0; Interim <= MaxInterimResponses; ++Interim) {
    m_Response = std::make_unique<Response>();
    m_Response->m_Parser.header_limit(MaxHeaderBytes);
    m_Response->m_Parser.body_limit(boost::none);
    SystemError Error;
    http::read_header(*m_Connection, m_Connection->buffer(), m_Response->m_Parser, Error);
    if (Error == http::error::end_of_stream)
      throw Poco::Net::NoMessageException();
    if (Error)
      throw Poco::Net::MessageException("no valid response", Error.message());
    if (statusKind(status()) != StatusKind::Final)
      continue;
    // A length contradicts a status that excludes a body, for example 204.
    if (m_Response->m_Parser.is_done() && m_Response->m_Parser.content_length().value_or(0) > 0)
      throw Poco::Net::MessageException("no valid response", "length of a response without body");
    return;
  }
  throw Poco::Net::MessageException("too many interim responses");
}

int BlockingHttpExchange::status() const {
  return static_cast<int>(m_Response->m_Parser.get().result_int());
}

std::string BlockingHttpExchange::field(std::string_view Name) const {
  return std::string(m_Response->m_Parser.get()[Name]);
}

bool BlockingHttpExchange::read(std::string &Bytes) {
  auto &Parser = m_Response->m_Parser;
  while (!Parser.is_done()) {
    auto &Body = Parser.get().body();
    Body.data = m_Response->m_Block.data();
    Body.size = m_Response->m_Block.size();
    SystemError Error;
    http::read_some(*m_Connection, m_Connection->buffer(), Parser, Error);
    const std::size_t Received = m_Response->m_Block.size() - Body.size;
    Bytes.append(m_Response->m_Block.data(), Received);
    if (Error && Error != http::error::need_buffer)
      throw Poco::Net::MessageException("the response is not whole", Error.message());
    if (Received > 0)
      return true;
  }
  // A failed write takes the error of a reset; the read then sees an end.
  if (Parser.need_eof() && !m_IsWritten)
    throw Poco::Net::MessageException("the connection was lost before the end of the response");
  return false;
}

std::optional<std::string> BlockingHttpExchange::readRest(Bytes Limit) {
  std::string Rest;
  while (read(Rest))
    if (Rest.size() > Limit.count())
      return std::nullopt;
  return Rest;
}

} // namespace fescuegauge
