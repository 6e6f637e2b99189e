#include "Fescuegauge/ConnectionPool.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fescuegauge {

namespace {

template <typename T> void setOption(int Handle, int Level, int Name, T Value) {
  // On failure the default stays, which only detects dead connections later.
  (void)::setsockopt(Handle, Level, Name, &Value, sizeof Value);
}

} // namespace

void setSocketOptions(Tcp::socket &Socket) {
  const int Handle = Socket.native_handle();
  const auto Interval = static_cast<int>(HttpConnection::KeepAliveInterval.count());
  setOption(Handle, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, Interval);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, Interval);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, HttpConnection::KeepAliveProbes);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<unsigned>(HttpConnection::UnacknowledgedDataTimeout.count()));
}

void HttpConnection::close() {
  SystemError Ignored;
  m_Socket.close(Ignored);
}

void HttpConnection::reset() {
  SystemError Ignored;
  m_Socket.set_option(net::socket_base::linger(true, 0), Ignored);
  m_Socket.close(Ignored);
}

ConnectionPtr ConnectionPool::takeIdle(const Endpoint &Address, Duration MaxIdleTime) {
  auto Found = m_Idle.find(Address);
  if (Found == m_Idle.end())
    return nullptr;
  const TimePoint Now = monotonicNow();
  while (!Found->second.empty()) {
    ConnectionPtr Candidate = std::move(Found->second.back());
    Found->second.pop_back();
    SystemError Ignored;
    Candidate->m_Socket.cancel(Ignored);
    if (!Candidate->m_Socket.is_open() || Now >= Candidate->m_IdleExpiresAt ||
        Now - Candidate->m_IdleSince > MaxIdleTime) {
      Candidate->close();
      continue;
    }

    return Candidate;
  }
  m_Idle.erase(Found);
  return nullptr;
}

Task<ConnectionPtr> ConnectionPool::open(Endpoint Address, Duration Timeout, SystemError &Error) {
  auto Connection = std::make_shared<HttpConnection>(m_Executor, Address);
  OneShotTimer ConnectTimer(m_Executor);
  ConnectTimer.set(Timeout, [Weak = std::weak_ptr(Connection)] {
    if (ConnectionPtr Pending = Weak.lock())
      Pending->close();
  });
  ++m_OpenedCount;
  auto [ConnectError] = co_await Connection->m_Socket.async_connect(tcpEndpoint(Address), AsTuple);
  Error = ConnectError;
  if (ConnectError)
    co_return nullptr;
  setSocketOptions(Connection->m_Socket);
  co_return Connection;
}

void ConnectionPool::putIdle(const ConnectionPtr &Connection, Duration KeepAlive) {
  if (!Connection->m_Socket.is_open() || Connection->m_Buffer.size() != 0 ||
      KeepAlive <= KeepAliveMargin) {
    Connection->close();
    return;
  }
  std::list<ConnectionPtr> &Idle = m_Idle[Connection->m_Address];
  if (Idle.size() >= MaxIdlePerAddress) {
    Connection->close();
    return;
  }
  Connection->m_IdleSince = monotonicNow();
  Connection->m_IdleExpiresAt = Connection->m_IdleSince + KeepAlive - KeepAliveMargin;
  Idle.push_back(Connection);
  // A readable idle connection is closed: the peer ended it or sent data that belong to no
  // request.
  Connection->m_Socket.async_wait(Tcp::socket::wait_read,
                                  [Weak = std::weak_ptr(Connection)](SystemError Error) {
                                    ConnectionPtr Unusable = Weak.lock();
                                    if (!Error && Unusable)
                                      Unusable->close();
                                  });
}

void ConnectionPool::closeExpired() {
  const TimePoint Now = monotonicNow();
  for (auto &[Address, Idle] : m_Idle)
    Idle.remove_if([&](const ConnectionPtr &Each) {
      if (Each->m_Socket.is_open() && Now < Each->m_IdleExpiresAt)
        return false;
      Each->close();
      return true;
    });
  std::erase_if(m_Idle, [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace fescuegauge
