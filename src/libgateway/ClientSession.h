#ifndef FESCUEGAUGE_LIBGATEWAY_CLIENTSESSION_H
#define FESCUEGAUGE_LIBGATEWAY_CLIENTSESSION_H

#include "ClientConnection.h"
#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/HttpParser.h"
#include "Fescuegauge/SharedBody.h"
#include "GatewayCore.h"

#include <memory>
#include <optional>

namespace fescuegauge {

/// Reads the requests of one client connection in sequence, within the limits of the plan in force
/// and of ClientAdmission. A RequestExchange serves each.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
public:
  /// A connection counts as idle after this time without a request. The first request of a new
  /// connection takes some milliseconds to arrive, or more over a slow link.
  static constexpr Duration MinIdleTime = std::chrono::milliseconds(200);
  /// Bytes read at a time: of a header, whose short fields take up to 16 times their size, of a
  /// request without a reservation, and of one with it.
  static constexpr std::size_t HeaderReadBytes = 4 << 10;
  static constexpr std::size_t SmallReadBytes = 16 << 10;
  static constexpr std::size_t LargeReadBytes = 64 << 10;
  /// Memory of a request in progress beside its header and body.
  static constexpr std::size_t RequestBytes = 16 << 10;
  /// Memory of a large request beside its header and body: the last segment of the body may be
  /// larger than its content, and the last read may contain a part of the next request.
  static constexpr std::size_t LargeRequestBytes =
      RequestBytes + BodyBytes::MaxSegmentBytes + LargeReadBytes;
  /// Allowance for a header in the limit on bodies.
  static constexpr std::size_t MaxHeaderMemory = 1 << 20;
  /// After the last response, input is discarded up to these limits until the client closes the
  /// connection. A connection that is closed with unread input, or that gets input afterwards, is
  /// reset, which may destroy the response.
  static constexpr Duration DiscardTime = std::chrono::milliseconds(300);
  static constexpr std::size_t MaxDiscardedBytes = 256 << 10;

  /// Input that has arrived when a time limit ends is read before the limit is applied, because the
  /// event loop may be late. The rest of a request may take this time.
  static constexpr Duration ArrivedInputTime = std::chrono::seconds(1);

  ClientSession(std::shared_ptr<GatewayCore> Core, Tcp::socket Socket);
  ~ClientSession();

  Task<> run();
  /// Ends the connection if no request is being read or served and none arrived for MinIdleTime.
  void closeIfIdle();

private:
  using Parser = HttpRequestParser<SharedBody>;

  enum class Part { Header, Message };
  enum class State {
    /// No part of a request is known to have arrived.
    Waiting,
    Reading,
    /// A request is served or refused, or the connection ends.
    Responding,
  };

  Task<bool> serveNext();
  /// Waits for a request. Returns false if the connection ended, or was idle too long, before it.
  Task<bool> waitForRequest();
  /// Ends the wait at the idle timeout of the plan in force, which may change meanwhile.
  void scheduleIdleCheck();
  void endIdleWait();
  /// Reads up to the end of a part. Fails with operation_aborted if a limit ended the read; then
  /// m_Refusal is set if the client gets a response.
  Task<SystemError> readPart(Parser &Message, Part Wanted);
  /// Waits until the request can hold `Bytes`; see ClientMemoryBudget::hold(). Returns false if the
  /// request must end.
  Task<bool> makeRoom(std::size_t Bytes, std::size_t MaxBytes);
  /// Memory held for the request, and the most that it can be after its header.
  std::size_t heldBytes(const Parser &Message) const;
  std::size_t maxHeldBytes(const Parser &Message) const;
  /// Ends the read at the time limit of the header or of the body. `IsInputRead` is true if
  /// the input that had arrived at the limit was read.
  void checkTimeLimit(bool IsInputRead);
  void onDecision(ClientMemoryBudget::Action Action);
  void endReading(ErrorKind Refusal, std::optional<ClientLimit> Reason);
  Task<> reject(ErrorKind Kind);
  /// Response that refuses a request which was not read as a whole.
  HttpResponse refusal(ErrorKind Kind);
  void reportRefusal(ErrorKind Kind);
  /// Refuses a request that has arrived in whole or in part, and closes the connection, without
  /// waiting for the client.
  void refuseAndClose(ErrorKind Kind);
  /// Stops reading requests. The connection is closed after DiscardTime at the latest.
  void startClosing();
  /// Ends the connection so that the client gets the whole response; see DiscardTime.
  Task<> closeGracefully();
  ClientLimits limits() const;
  std::size_t unreadBytes();
  bool hasInput() { return m_Client->buffer().size() > 0 || unreadBytes() > 0; }

  std::shared_ptr<GatewayCore> m_Core;
  std::shared_ptr<ClientConnection> m_Client;
  ClientConnectionNumber m_Number;
  OneShotTimer m_ReadTimer;
  net::steady_timer m_RoomTimer;
  /// Empty while a request is being read or served.
  std::optional<TimePoint> m_IdleSince;
  State m_State = State::Waiting;
  TimePoint m_HeaderDeadline;
  /// Set while a body is being read.
  std::optional<BodyProgress> m_BodyProgress;
  /// Bytes that had arrived when a time limit ended, and were not read.
  std::optional<std::size_t> m_ArrivedInput;
  /// Whether the socket is known to have input.
  bool m_IsReadable = false;
  /// Whether a limit ended the read in progress, and the response to it.
  bool m_IsEnded = false;
  std::optional<ErrorKind> m_Refusal;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBGATEWAY_CLIENTSESSION_H
