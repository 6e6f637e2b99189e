#ifndef FESCUEGAUGE_CONNECTIONPOOL_H
#define FESCUEGAUGE_CONNECTIONPOOL_H

#include "Fescuegauge/AsioTypes.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>

namespace fescuegauge {

/// An outgoing TCP connection. Keep-alive probes and TCP_USER_TIMEOUT end it when the other side is
/// gone without a word.
class HttpConnection {
public:
  /// Probes start after this time without traffic and follow at this interval; the connection ends
  /// after KeepAliveProbes without an answer.
  static constexpr std::chrono::seconds KeepAliveInterval{1};
  static constexpr int KeepAliveProbes = 2;
  /// Data that the other side does not acknowledge for this long end the connection.
  static constexpr std::chrono::milliseconds UnacknowledgedLimit{2500};

  /// Bytes received and not yet parsed. Bounds what a head, a chunk extension or a trailer without
  /// end costs; such an answer ends with an error.
  static constexpr std::size_t MaxBufferedBytes = 128 << 10;

  HttpConnection(const net::any_io_executor &Executor, Endpoint Address)
      : m_Address(std::move(Address)), m_Socket(Executor), m_Buffer(MaxBufferedBytes) {}

  Tcp::socket &socket() { return m_Socket; }
  boost::beast::flat_buffer &buffer() { return m_Buffer; }
  const Endpoint &address() const { return m_Address; }

  /// Ends all operations in progress with an error.
  void close();
  /// As close(), and the other side learns at once that nothing sent is of interest any more.
  void reset();

private:
  friend class ConnectionPool;

  Endpoint m_Address;
  Tcp::socket m_Socket;
  boost::beast::flat_buffer m_Buffer;

  TimePoint m_IdleSince;
  TimePoint m_IdleUntil;
};

using ConnectionPtr = std::shared_ptr<HttpConnection>;

/// Sets keep-alive probes, TCP_USER_TIMEOUT and TCP_NODELAY. Errors are ignored: the options only
/// shorten the time after which a dead connection is noticed.
void setSocketOptions(Tcp::socket &Socket);

/// Idle outgoing connections by address.
class ConnectionPool {
public:
  /// Idle connections kept to one address; a further one is closed.
  static constexpr std::size_t MaxIdlePerAddress = 8;
  /// Time for which a connection is kept when the other side names none.
  static constexpr Duration DefaultKeepAlive = std::chrono::seconds(4);
  /// Taken off the time that the other side names, so that it does not close the connection while
  /// a request is on its way.
  static constexpr Duration KeepAliveMargin = std::chrono::milliseconds(700);

  explicit ConnectionPool(net::any_io_executor Executor) : m_Executor(std::move(Executor)) {}

  /// An idle connection that was used within `LongestIdle`; null if there is none.
  ConnectionPtr takeIdle(const Endpoint &Address, Duration LongestIdle);
  /// A new connection; null and `Error` if it could not be opened within `Timeout`.
  Task<ConnectionPtr> open(Endpoint Address, Duration Timeout, SystemError &Error);
  /// Keeps a connection on which an exchange ended cleanly for `KeepAlive`.
  void keep(const ConnectionPtr &Connection, Duration KeepAlive);

  /// Closes idle connections whose time is over; call about once a second.
  void expire();
  const net::any_io_executor &executor() const { return m_Executor; }
  std::uint64_t opened() const { return m_Opened; }

private:
  net::any_io_executor m_Executor;
  std::map<Endpoint, std::list<ConnectionPtr>> m_Idle;
  std::uint64_t m_Opened = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CONNECTIONPOOL_H
