#ifndef FESCUEGAUGE_CONNECTIONPOOL_H
#define FESCUEGAUGE_CONNECTIONPOOL_H

#include "Fescuegauge/AsioTypes.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>

namespace fescuegauge {

/// Outgoing TCP connection. Keep-alive probes and TCP_USER_TIMEOUT end it when the peer disappears
/// without closing it.
class HttpConnection {
public:
  /// Idle time before the first keep-alive probe, and interval between probes. The connection ends
  /// after KeepAliveProbes unanswered probes.
  static constexpr std::chrono::seconds KeepAliveInterval{1};
  static constexpr int KeepAliveProbes = 2;
  /// Value of TCP_USER_TIMEOUT: unacknowledged data end the connection after this time.
  static constexpr std::chrono::milliseconds UnacknowledgedDataTimeout{2500};

  /// Limit of bytes received and not yet parsed. An endless header, chunk extension or trailer
  /// exceeds it and fails the response.
  static constexpr std::size_t MaxBufferedBytes = 128 << 10;

  HttpConnection(const net::any_io_executor &Executor, Endpoint Address)
      : m_Address(std::move(Address)), m_Socket(Executor), m_Buffer(MaxBufferedBytes) {}

  Tcp::socket &socket() { return m_Socket; }
  boost::beast::flat_buffer &buffer() { return m_Buffer; }
  const Endpoint &address() const { return m_Address; }

  /// Closes the socket; operations in progress fail.
  void close();
  /// Closes the socket with a TCP reset, so that the peer stops work on the request at once.
  void reset();

private:
  friend class ConnectionPool;

  Endpoint m_Address;
  Tcp::socket m_Socket;
  boost::beast::flat_buffer m_Buffer;

  TimePoint m_IdleSince;
  TimePoint m_IdleExpiresAt;
};

using ConnectionPtr = std::shared_ptr<HttpConnection>;

/// Enables keep-alive probes, TCP_USER_TIMEOUT and TCP_NODELAY. Errors are ignored because the
/// options only shorten the time until a dead connection is detected.
void setSocketOptions(Tcp::socket &Socket);

/// Pool of idle outgoing connections by address.
class ConnectionPool {
public:
  /// Maximum number of idle connections to one address; further ones are closed.
  static constexpr std::size_t MaxIdlePerAddress = 8;
  /// Keep-alive time of a connection if the peer states none.
  static constexpr Duration DefaultKeepAlive = std::chrono::seconds(4);
  /// Subtracted from the peer's keep-alive time, so that the peer does not close the connection
  /// while a request is in transit.
  static constexpr Duration KeepAliveMargin = std::chrono::milliseconds(700);

  explicit ConnectionPool(net::any_io_executor Executor) : m_Executor(std::move(Executor)) {}

  /// Returns an idle connection that was in use within the last `MaxIdleTime`, or null.
  ConnectionPtr takeIdle(const Endpoint &Address, Duration MaxIdleTime);
  /// Opens a connection. Returns null and sets `Error` if it cannot be opened within `Timeout`.
  Task<ConnectionPtr> open(Endpoint Address, Duration Timeout, SystemError &Error);
  /// Puts a connection whose exchange completed into the pool, for the peer's keep-alive time.
  void putIdle(const ConnectionPtr &Connection, Duration KeepAlive);

  /// Closes idle connections whose keep-alive time has passed. Call about once a second.
  void closeExpired();
  const net::any_io_executor &executor() const { return m_Executor; }
  std::uint64_t opened() const { return m_OpenedCount; }

private:
  net::any_io_executor m_Executor;
  std::map<Endpoint, std::list<ConnectionPtr>> m_Idle;
  std::uint64_t m_OpenedCount = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CONNECTIONPOOL_H
