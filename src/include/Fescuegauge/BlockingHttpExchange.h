#ifndef FESCUEGAUGE_BLOCKINGHTTPEXCHANGE_H
#define FESCUEGAUGE_BLOCKINGHTTPEXCHANGE_H

#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Units.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Poco::Net {
class HTTPRequest;
} // namespace Poco::Net

namespace fescuegauge {

/// Timeouts of a BlockingHttpExchange.
struct BlockingTimeouts {
  Duration m_Connect;
  /// Maximum time for a write, and maximum time without a byte of the response.
  Duration m_Idle;
  /// Maximum time for the request and the whole response, from the connection on.
  Duration m_Total = Duration::max();
};

/// One HTTP/1.1 request over a connection of its own, and its response, which is read as it
/// arrives. Blocks; for one thread at a time.
///
/// Responses are read by HttpParser, like those of the gateway's upstreams: a response is whole
/// only if its framing says so. A body that only the end of its connection ends is not whole if the
/// connection was lost while the request was being written.
///
/// All functions throw Poco::Exception: Poco::TimeoutException after a timeout,
/// Poco::Net::NoMessageException if the connection ends before a response,
/// Poco::Net::MessageException if the response is malformed or not whole, and other exceptions of
/// Poco::Net if the connection fails.
class BlockingHttpExchange {
public:
  /// Maximum number of interim responses (1xx) to skip.
  static constexpr int MaxInterimResponses = 8;
  /// Maximum size of a response header, in bytes.
  static constexpr unsigned MaxHeaderBytes = 16 << 10;

  /// Opens the connection. No byte of a request was sent if this throws.
  BlockingHttpExchange(const Endpoint &Server, BlockingTimeouts Timeouts);
  BlockingHttpExchange(const BlockingHttpExchange &) = delete;
  BlockingHttpExchange &operator=(const BlockingHttpExchange &) = delete;
  ~BlockingHttpExchange();

  /// Sends the request, with the host and the length of `Body` added to its header, and reads the
  /// header of the response. A response that arrives before the request is written counts.
  void start(Poco::Net::HTTPRequest Request, std::string_view Body);

  /// Status of the response, from 200 to 599.
  int status() const;
  /// Value of a header field of the response; empty if there is none.
  std::string field(std::string_view Name) const;
  /// Appends the next part of the body to `Bytes`. Returns false, and appends nothing, at the end
  /// of a whole response.
  bool read(std::string &Bytes);
  /// Reads the rest of the body. Returns nothing if it is longer than `Limit`.
  std::optional<std::string> readRest(Bytes Limit);

private:
  class Connection;
  struct Response;

  /// Returns whether all bytes were written; false if the connection was lost.
  bool write(std::string_view Bytes);
  void readHeader();

  std::string m_Host;
  std::unique_ptr<Connection> m_Connection;
  std::unique_ptr<Response> m_Response;
  bool m_IsWritten = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_BLOCKINGHTTPEXCHANGE_H
