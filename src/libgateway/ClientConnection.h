#ifndef FESCUEGAUGE_LIBGATEWAY_CLIENTCONNECTION_H
#define FESCUEGAUGE_LIBGATEWAY_CLIENTCONNECTION_H

#include "Fescuegauge/AsioTypes.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>

namespace fescuegauge {

/// The connection of a caller, with a watch for the caller leaving while its request is served.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  /// Bytes received and not yet parsed. Bounds what a chunk extension or a trailer without end
  /// costs; limits of the plan bound heads and bodies.
  static constexpr std::size_t MaxBufferedBytes = 1 << 20;

  explicit ClientConnection(Tcp::socket Socket) : m_Socket(std::move(Socket)) {}

  Tcp::socket &socket() { return m_Socket; }
  boost::beast::flat_buffer &buffer() { return m_Buffer; }
  bool isOpen() const { return m_Socket.is_open(); }
  void close();
  /// Closes so that an answer in progress cannot look complete to the caller.
  void reset();

  /// Calls `OnLeft` once if the caller closes the connection before endWatch(). A caller that sends
  /// a further request meanwhile is not watched any more.
  void beginWatch(std::function<void()> OnLeft);
  void endWatch();

private:
  void waitReadable();

  Tcp::socket m_Socket;
  boost::beast::flat_buffer m_Buffer{MaxBufferedBytes};
  std::function<void()> m_OnLeft;
  /// Number of the watch in progress; a completed wait of an earlier one is ignored.
  std::uint64_t m_Watch = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBGATEWAY_CLIENTCONNECTION_H
