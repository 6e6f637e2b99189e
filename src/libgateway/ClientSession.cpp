#include "ClientSession.h"

#include "Fescuegauge/Log.h"
#include "Fescuegauge/ScopeExit.h"
#include "RequestExchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <sys/socket.h>

namespace fescuegauge {

namespace http = boost::beast::http;

namespace {

/// Receives what is available without waiting.
std::size_t receive(Tcp::socket &Socket, std::span<char> Target, SystemError &Error) {
  const ssize_t Count = ::recv(Socket.native_handle(), Target.data(), Target.size(), MSG_DONTWAIT);
  if (Count > 0) {
    Error = {};
    return static_cast<std::size_t>(Count);
  }
  if (Count == 0)
    Error = net::error::eof;
  else if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
    Error = net::error::would_block;
  else
    Error = SystemError(errno, boost::system::system_category());
  return 0;
}

/// Target of all reads: the loop has one thread, and the bytes are parsed before another read.
std::span<char> readBuffer() {
  static std::array<char, ClientSession::LargeReadBytes> Buffer;
  return Buffer;
}

} // namespace

ClientSession::ClientSession(std::shared_ptr<GatewayCore> Core, Tcp::socket Socket)
    : m_Core(std::move(Core)), m_Client(std::make_shared<ClientConnection>(std::move(Socket))),
      m_Number(m_Core->admission().add(
          [this](ClientMemoryBudget::Action Action) { onDecision(Action); })),
      m_ReadTimer(m_Core->executor()), m_RoomTimer(m_Core->executor()) {
  ++m_Core->m_Sessions;
}

ClientSession::~ClientSession() {
  m_Core->admission().remove(m_Number);
  --m_Core->m_Sessions;
}

ClientLimits ClientSession::limits() const {
  ClientLimits Result = m_Core->plan() ? m_Core->plan()->limits() : ClientLimits();
  const std::size_t MaxBytes = m_Core->admission().budget().limits().maxRequestBytes();
  const std::size_t OtherBytes = LargeRequestBytes + MaxHeaderMemory;
  Result.m_MaxBodyBytes =
      std::min<std::uint64_t>(Result.m_MaxBodyBytes, MaxBytes - std::min(MaxBytes, OtherBytes));
  return Result;
}

void ClientSession::closeIfIdle() {
  if (m_IdleSince && monotonicNow() - *m_IdleSince >= MinIdleTime && m_Client->buffer().size() == 0)
    endIdleWait();
}

Task<> ClientSession::run() {
  auto Self = shared_from_this();
  setSocketOptions(m_Client->socket());
  const ScopeExit Close([this] { m_Client->close(); });
  bool KeepOpen = true;
  while (KeepOpen && m_Client->isOpen())
    KeepOpen = co_await serveNext();
  if (!m_Client->isOpen())
    co_return;
  startClosing();
  co_await closeGracefully();
}

void ClientSession::onDecision(ClientMemoryBudget::Action Action) {
  switch (Action) {
  case ClientMemoryBudget::Action::Resume:
    m_RoomTimer.cancel();
    break;
  case ClientMemoryBudget::Action::Refuse:
    endReading(ErrorKind::Overloaded, ClientLimit::Memory);
    break;
  case ClientMemoryBudget::Action::EndStalled:
    endReading(ErrorKind::Overloaded, ClientLimit::Stalled);
    break;
  case ClientMemoryBudget::Action::Close:
    m_Core->admission().report(ClientLimit::Connections);
    m_IsEnded = true;
    m_Refusal.reset();
    m_RoomTimer.cancel();
    if (m_State == State::Reading || (m_State == State::Waiting && hasInput()))
      refuseAndClose(ErrorKind::Overloaded);
    else
      m_Client->close();
    break;
  }
}

void ClientSession::endReading(ErrorKind Refusal, std::optional<ClientLimit> Reason) {
  if (Reason)
    m_Core->admission().report(*Reason);
  m_IsEnded = true;
  m_Refusal = Refusal;
  m_RoomTimer.cancel();
  SystemError Ignored;
  m_Client->socket().cancel(Ignored);
}

std::size_t ClientSession::unreadBytes() {
  SystemError Error;
  const std::size_t Bytes = m_Client->socket().available(Error);
  return Error ? 0 : Bytes;
}

void ClientSession::checkTimeLimit(bool IsInputRead) {
  const TimePoint Deadline = m_BodyProgress ? m_BodyProgress->deadline() : m_HeaderDeadline;
  const Duration Left = Deadline - monotonicNow();
  m_ArrivedInput.reset();
  if (Left > Duration(0)) {
    m_ReadTimer.set(Left, [this] { checkTimeLimit(false); });
    return;
  }
  const std::size_t Arrived = IsInputRead ? 0 : unreadBytes();
  if (Arrived > 0) {
    m_ArrivedInput = Arrived;
    m_ReadTimer.set(ArrivedInputTime, [this] { checkTimeLimit(true); });
    return;
  }
  endReading(ErrorKind::RequestTimeout,
             m_BodyProgress ? std::optional(ClientLimit::SlowBody) : std::nullopt);
}

std::size_t ClientSession::heldBytes(const Parser &Message) const {
  const auto &Body = Message.get().body();
  // Each attempt copies the header.
  return RequestBytes + 2 * Message.headerMemory() + m_Client->buffer().capacity() +
         (Body ? Body->capacity() : 0);
}

std::size_t ClientSession::maxHeldBytes(const Parser &Message) const {
  const std::uint64_t MaxBody = Message.content_length().value_or(limits().m_MaxBodyBytes);
  return 2 * Message.headerMemory() + MaxBody + LargeRequestBytes;
}

Task<bool> ClientSession::makeRoom(std::size_t Bytes, std::size_t MaxBytes) {
  const ClientAdmission::Admission Result = m_Core->admission().hold(m_Number, Bytes, MaxBytes);
  if (Result == ClientAdmission::Admission::Granted)
    co_return true;
  if (Result == ClientAdmission::Admission::Refused) {
    endReading(ErrorKind::Overloaded, ClientLimit::Memory);
    co_return false;
  }
  const TimePoint Start = monotonicNow();
  // Decisions end the wait.
  m_RoomTimer.expires_at(net::steady_timer::time_point::max());
  co_await m_RoomTimer.async_wait(AsTuple);
  if (m_BodyProgress)
    m_BodyProgress->onNotRead(monotonicNow() - Start);
  co_return !m_IsEnded;
}

Task<SystemError> ClientSession::readPart(Parser &Message, Part Wanted) {
  boost::beast::flat_buffer &Unparsed = m_Client->buffer();
  const auto IsDone = [&] {
    return Wanted == Part::Header ? Message.is_header_done() : Message.is_done();
  };
  // Returns the number of bytes that were parsed.
  const auto Parse = [&](net::const_buffer Bytes, SystemError &Error) {
    std::size_t Total = 0;
    Error = {};
    while (!IsDone() && Bytes.size() > 0) {
      const std::size_t Used = Message.put(Bytes, Error);
      Total += Used;
      Bytes += Used;
      if (Error || Used == 0)
        break;
    }
    if (Error == http::error::need_more)
      Error = {};
    return Total;
  };

  SystemError Error;
  Unparsed.consume(Parse(Unparsed.data(), Error));
  while (!Error && !IsDone()) {
    if (m_ArrivedInput == 0U)
      checkTimeLimit(true);
    if (m_IsEnded)
      co_return net::error::operation_aborted;
    const std::size_t NextBytes = heldBytes(Message) + SmallReadBytes;
    const bool HasRoom =
        co_await makeRoom(NextBytes, Wanted == Part::Header ? NextBytes : maxHeldBytes(Message));
    if (!HasRoom)
      co_return net::error::operation_aborted;
    if (!std::exchange(m_IsReadable, false)) {
      auto [WaitError] = co_await m_Client->socket().async_wait(Tcp::socket::wait_read, AsTuple);
      if (WaitError)
        co_return WaitError;
    }
    if (m_IsEnded)
      co_return net::error::operation_aborted;
    const bool HasReserved = heldBytes(Message) > ClientMemoryBudget::SmallRequestBytes;
    std::size_t ReadBytes = HasReserved ? LargeReadBytes : SmallReadBytes;
    if (Wanted == Part::Header)
      ReadBytes = HeaderReadBytes;
    std::span<char> Received = readBuffer().first(ReadBytes);
    Received = Received.first(receive(m_Client->socket(), Received, Error));
    if (Error == net::error::would_block) {
      Error = {};
      continue;
    }
    if (Error)
      break;
    m_Core->admission().onBytes(m_Number, Received.size());
    if (m_BodyProgress)
      m_BodyProgress->onBytes(Received.size(), monotonicNow());
    if (m_ArrivedInput)
      *m_ArrivedInput -= std::min(*m_ArrivedInput, Received.size());
    if (Unparsed.size() == 0)
      Received = Received.subspan(Parse(net::buffer(Received.data(), Received.size()), Error));
    if (Error || Received.empty())
      continue;
    if (Unparsed.size() + Received.size() > Unparsed.max_size())
      co_return http::error::buffer_overflow;
    const bool WasEmpty = Unparsed.size() == 0;
    net::buffer_copy(Unparsed.prepare(Received.size()),
                     net::buffer(Received.data(), Received.size()));
    Unparsed.commit(Received.size());
    if (!WasEmpty)
      Unparsed.consume(Parse(Unparsed.data(), Error));
  }
  if (Unparsed.size() == 0)
    Unparsed.shrink_to_fit();
  co_return Error;
}

void ClientSession::startClosing() {
  m_State = State::Responding;
  m_IdleSince.reset();
  m_Client->buffer().clear();
  m_Client->buffer().shrink_to_fit();
  m_Core->admission().onClosing(m_Number);
  m_ReadTimer.set(DiscardTime, [this] { m_Client->close(); });
}

Task<> ClientSession::closeGracefully() {
  SystemError Error;
  m_Client->socket().shutdown(Tcp::socket::shutdown_send, Error);
  // What has arrived is discarded without a wait, because the process may be about to end.
  for (std::size_t Discarded = 0; !Error && Discarded < MaxDiscardedBytes;) {
    Discarded += receive(m_Client->socket(), readBuffer(), Error);
    if (Error != net::error::would_block)
      continue;
    auto [WaitError] = co_await m_Client->socket().async_wait(Tcp::socket::wait_read, AsTuple);
    Error = WaitError;
  }
  m_ReadTimer.cancel();
  m_Client->close();
}

HttpResponse ClientSession::refusal(ErrorKind Kind) {
  const ErrorAnswer &Answer = errorAnswer(Kind);
  HttpResponse Response = errorResponse(Answer);
  if (Answer.m_RetryAfter)
    Response.set(http::field::retry_after,
                 formatSeconds(m_Core->retryDelays().next(*Answer.m_RetryAfter)));
  Response.keep_alive(false);
  Response.prepare_payload();
  return Response;
}

void ClientSession::reportRefusal(ErrorKind Kind) {
  const ErrorAnswer &Answer = errorAnswer(Kind);
  m_Core->countRequest("none", Answer.m_Name);
  if (m_Core->tryAcquireLogLine(true))
    logEvent(Severity::Info, "request_unreadable", {{"outcome", Answer.m_Name}});
}

Task<> ClientSession::reject(ErrorKind Kind) {
  // Also bounds the write to a client that does not read.
  startClosing();
  HttpResponse Response = refusal(Kind);
  co_await http::async_write(m_Client->socket(), Response, AsTuple);
  reportRefusal(Kind);
  co_await closeGracefully();
}

void ClientSession::refuseAndClose(ErrorKind Kind) {
  std::ostringstream Bytes;
  Bytes << refusal(Kind);
  const std::string Text = std::move(Bytes).str();
  // Fits into the send buffer unless the client has left earlier responses unread.
  ::send(m_Client->socket().native_handle(), Text.data(), Text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  reportRefusal(Kind);
  SystemError Error;
  m_Client->socket().shutdown(Tcp::socket::shutdown_send, Error);
  for (std::size_t Discarded = 0; !Error && Discarded < MaxDiscardedBytes;)
    Discarded += receive(m_Client->socket(), readBuffer(), Error);
  m_Client->close();
}

void ClientSession::endIdleWait() {
  SystemError Ignored;
  m_Client->socket().cancel(Ignored);
}

void ClientSession::scheduleIdleCheck() {
  const auto TimeLeft = [this] { return *m_IdleSince + limits().m_IdleTimeout - monotonicNow(); };
  m_ReadTimer.set(std::max(TimeLeft(), Duration(0)), [this, TimeLeft] {
    if (TimeLeft() <= Duration(0))
      endIdleWait();
    else
      scheduleIdleCheck();
  });
}

Task<bool> ClientSession::waitForRequest() {
  if (m_Client->buffer().size() != 0)
    co_return true;
  scheduleIdleCheck();
  auto [WaitError] = co_await m_Client->socket().async_wait(Tcp::socket::wait_read, AsTuple);
  // A request that has arrived at the end of the idle time is served.
  SystemError Ignored;
  m_IsReadable = !WaitError || m_Client->socket().available(Ignored) > 0;
  co_return m_IsReadable;
}

Task<bool> ClientSession::serveNext() {
  m_State = State::Waiting;
  m_Core->admission().onIdle(m_Number);
  m_IdleSince = monotonicNow();
  const bool HasRequest = co_await waitForRequest();
  if (!HasRequest || m_IsEnded)
    co_return false;
  m_IdleSince.reset();
  m_State = State::Reading;
  const ClientLimits Limits = limits();
  const GatewayCore::ReadingScope Reading(*m_Core);
  m_Core->admission().onReading(m_Number);
  std::optional<Parser> Message(std::in_place);
  Message->header_limit(Limits.m_MaxHeaderBytes);
  Message->body_limit(Limits.m_MaxBodyBytes);
  m_HeaderDeadline = monotonicNow() + Limits.m_HeaderTimeout;
  checkTimeLimit(false);
  SystemError Error = co_await readPart(*Message, Part::Header);
  const TimePoint ArrivedAt = monotonicNow();
  if (!Error && !Message->is_done()) {
    m_BodyProgress.emplace(ArrivedAt);
    checkTimeLimit(false);
    if (boost::beast::iequals(Message->get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> Continue(http::status::continue_, 11);
      co_await http::async_write(m_Client->socket(), Continue, AsTuple);
    }
    Error = co_await readPart(*Message, Part::Message);
    m_BodyProgress.reset();
  }
  m_ReadTimer.cancel();
  m_ArrivedInput.reset();
  if (!Error) {
    const bool HasRoom = co_await makeRoom(heldBytes(*Message), heldBytes(*Message));
    if (!HasRoom)
      Error = net::error::operation_aborted;
  }
  // A TRACE request must not have content (RFC 9110, section 9.3.8), and cannot be sent on with it.
  if (!Error && Message->get().method() == http::verb::trace &&
      SharedBody::size(Message->get().body()) > 0)
    m_Refusal = ErrorKind::MalformedRequest;
  else if (isMalformedMessage(Error))
    m_Refusal = malformedMessageKind(Error);
  m_State = State::Responding;
  if (Error || m_Refusal) {
    Message.reset();
    if (m_Refusal)
      co_await reject(*m_Refusal);
    co_return false;
  }
  m_Core->admission().onServing(m_Number, heldBytes(*Message));
  auto Exchange =
      std::make_shared<RequestExchange>(*m_Core, m_Client, Message->release(), ArrivedAt);
  Message.reset();
  co_return co_await Exchange->run();
}

} // namespace fescuegauge
