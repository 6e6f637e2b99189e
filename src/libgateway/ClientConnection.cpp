#include "ClientConnection.h"

#include <sys/socket.h>

namespace fescuegauge {

void ClientConnection::close() {
  SystemError Ignored;
  m_Socket.shutdown(Tcp::socket::shutdown_send, Ignored);
  m_Socket.close(Ignored);
}

void ClientConnection::reset() {
  SystemError Ignored;
  m_Socket.set_option(net::socket_base::linger(true, 0), Ignored);
  m_Socket.close(Ignored);
}

void ClientConnection::startDisconnectWatch(std::function<void()> OnDisconnect) {
  m_OnDisconnect = std::move(OnDisconnect);
  ++m_WatchNumber;
  waitReadable();
}

void ClientConnection::stopDisconnectWatch() {
  ++m_WatchNumber;
  m_OnDisconnect = nullptr;
  SystemError Ignored;
  if (m_Socket.is_open())
    m_Socket.cancel(Ignored);
}

void ClientConnection::waitReadable() {
  if (!m_Socket.is_open())
    return;
  m_Socket.async_wait(Tcp::socket::wait_read,
                      [Self = shared_from_this(), WatchNumber = m_WatchNumber](SystemError Error) {
                        if (WatchNumber != Self->m_WatchNumber || !Self->m_OnDisconnect ||
                            Error == net::error::operation_aborted)
                          return;
                        if (!Error) {
                          char Byte = 0;
                          const ssize_t Received = ::recv(Self->m_Socket.native_handle(), &Byte, 1,
                                                          MSG_PEEK | MSG_DONTWAIT);
                          if (Received > 0)
                            return;
                          if (Received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                            Self->waitReadable();
                            return;
                          }
                        }
                        auto OnDisconnect = std::move(Self->m_OnDisconnect);
                        Self->m_OnDisconnect = nullptr;
                        OnDisconnect();
                      });
}

} // namespace fescuegauge
