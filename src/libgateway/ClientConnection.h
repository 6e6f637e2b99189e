#ifndef FESCUEGAUGE_LIBGATEWAY_CLIENTCONNECTION_H
#define FESCUEGAUGE_LIBGATEWAY_CLIENTCONNECTION_H

#include "Fescuegauge/AsioTypes.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>

namespace fescuegauge {

/// Connection from a client. Detects that the client disconnects while its request is served.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  /// Limit of bytes received and not yet parsed. Bounds the memory of an endless chunk extension or
  /// trailer; the limits of the plan bound headers and bodies.
  static constexpr std::size_t MaxBufferedBytes = 1 << 20;

  explicit ClientConnection(Tcp::socket Socket) : m_Socket(std::move(Socket)) {}

  Tcp::socket &socket() { return m_Socket; }
  boost::beast::flat_buffer &buffer() { return m_Buffer; }
  bool isOpen() const { return m_Socket.is_open(); }
  void close();
  /// Closes with a TCP reset, so that a response in progress cannot look complete to the client.
  void reset();

  /// Calls `OnDisconnect` once if the client closes the connection before stopDisconnectWatch().
  /// The watch ends early if the client sends a further request, or if this process closes the
  /// connection.
  void startDisconnectWatch(std::function<void()> OnDisconnect);
  void stopDisconnectWatch();

private:
  void waitReadable();

  Tcp::socket m_Socket;
  boost::beast::flat_buffer m_Buffer{MaxBufferedBytes};
  std::function<void()> m_OnDisconnect;
  /// Number of the current watch; a wait that completes for an earlier one is ignored.
  std::uint64_t m_WatchNumber = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBGATEWAY_CLIENTCONNECTION_H
