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

void ClientConnection::beginWatch(std::function<void()> OnLeft) {
  m_OnLeft = std::move(OnLeft);
  ++m_Watch;
  waitReadable();
}

void ClientConnection::endWatch() {
  ++m_Watch;
  m_OnLeft = nullptr;
  SystemError Ignored;
  if (m_Socket.is_open())
    m_Socket.cancel(Ignored);
}

void ClientConnection::waitReadable() {
  if (!m_Socket.is_open())
    return;
  m_Socket.async_wait(Tcp::socket::wait_read, [Self = shared_from_this(),
                                               Watch = m_Watch](SystemError Error) {
    if (Watch != Self->m_Watch || !Self->m_OnLeft)
      return;
    if (!Error) {
      char Byte = 0;
      const ssize_t Got = ::recv(Self->m_Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (Got > 0)
        return;
      if (Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        Self->waitReadable();
        return;
      }
    }
    auto OnLeft = std::move(Self->m_OnLeft);
    Self->m_OnLeft = nullptr;
    OnLeft();
  });
}

} // namespace fescuegauge
