#ifndef FESCUEGAUGE_LIBGATEWAY_CLIENTSESSION_H
#define FESCUEGAUGE_LIBGATEWAY_CLIENTSESSION_H

#include "ClientConnection.h"
#include "Fescuegauge/ErrorKind.h"
#include "GatewayCore.h"

#include <memory>
#include <optional>

namespace fescuegauge {

/// Reads the requests of one client connection in sequence, within the limits of the plan in force.
/// A RequestExchange serves each.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
public:
  /// Time limit for a body, from the end of its header.
  static constexpr Duration BodyTimeout = std::chrono::seconds(10);
  /// A connection counts as idle after this time without a request. The first request of a new
  /// connection takes some milliseconds to arrive, or more over a slow link.
  static constexpr Duration MinIdleTime = std::chrono::milliseconds(200);

  ClientSession(std::shared_ptr<GatewayCore> Core, Tcp::socket Socket);
  ~ClientSession();

  Task<> run();
  /// Closes the connection if no request is being read or served and none arrived for MinIdleTime.
  void closeIfIdle();

private:
  Task<bool> serveNext();
  Task<> rejectUnreadable(ErrorKind Kind);
  ClientLimits limits() const;

  std::shared_ptr<GatewayCore> m_Core;
  std::shared_ptr<ClientConnection> m_Client;
  OneShotTimer m_ReadTimer;
  /// Empty while a request is being read or served.
  std::optional<TimePoint> m_IdleSince;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBGATEWAY_CLIENTSESSION_H
