#ifndef FESCUEGAUGE_LIBGATEWAY_LOOPBACKTESTUTILS_H
#define FESCUEGAUGE_LIBGATEWAY_LOOPBACKTESTUTILS_H

#include "Fescuegauge/AsioTypes.h"
#include "Fescuegauge/AsyncHttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <functional>
#include <optional>
#include <unistd.h>

namespace fescuegauge::test {

/// Runs the loop until a condition holds. Returns false if it does not hold within `Limit`.
inline bool runUntil(net::io_context &Loop, const std::function<bool()> &Condition,
                     Duration Limit = std::chrono::seconds(4)) {
  const TimePoint End = monotonicNow() + Limit;
  bool IsLast = false;
  while (!Condition()) {
    if (IsLast)
      return false;
    // One more pass after the limit, so that a process that got no CPU time still handles due
    // events.
    IsLast = monotonicNow() >= End;
    Loop.restart();
    Loop.run_for(std::chrono::milliseconds(5));
  }
  return true;
}

inline void runFor(net::io_context &Loop, Duration Length) {
  runUntil(
      Loop, [] { return false; }, Length);
}

/// Loopback address of this process. On an address of its own, no test that runs at the same time
/// takes over a port that a test has closed or chosen and not yet opened.
inline net::ip::address_v4 loopbackAddress() {
  // 127.64.0.0/10 holds as many addresses as Linux has process ids.
  constexpr std::uint32_t Network = 0x7F400000;
  constexpr std::uint32_t HostBits = 0x003FFFFF;
  return net::ip::address_v4(Network | (static_cast<std::uint32_t>(::getpid()) & HostBits));
}

inline Endpoint loopbackEndpoint(std::uint16_t Port) {
  return {loopbackAddress().to_string(), Port};
}

/// Returns a port of the loopback address that is free for TCP and for UDP. It is above the range
/// from which Linux assigns ports by default, and a different one in each call, so that no other
/// server of the process takes it before it is opened.
inline std::uint16_t freePort(net::io_context &Loop) {
  constexpr std::uint16_t FirstPort = 61000;
  constexpr std::uint16_t LastPort = 65535;
  static std::uint16_t Next = FirstPort;
  while (true) {
    const std::uint16_t Port = Next;
    Next = Port == LastPort ? FirstPort : static_cast<std::uint16_t>(Port + 1);
    SystemError TcpError;
    SystemError UdpError;
    Tcp::acceptor TcpProbe(Loop, Tcp::v4());
    TcpProbe.set_option(net::socket_base::reuse_address(true));
    TcpProbe.bind(Tcp::endpoint(loopbackAddress(), Port), TcpError);
    Udp::socket UdpProbe(Loop, Udp::v4());
    UdpProbe.bind(Udp::endpoint(loopbackAddress(), Port), UdpError);
    if (!TcpError && !UdpError)
      return Port;
  }
}

/// Accepts connections on a free port of the loopback address and serves each in its own coroutine.
class LoopbackServer {
public:
  using ConnectionHandler = std::function<Task<>(Tcp::socket)>;

  /// `ReceiveBufferBytes` is the size of the connections' receive buffers, if it is set.
  LoopbackServer(net::io_context &Loop, ConnectionHandler OnConnection,
                 std::optional<int> ReceiveBufferBytes = std::nullopt)
      : m_Acceptor(Loop, Tcp::endpoint(loopbackAddress(), 0)), m_Handler(std::move(OnConnection)) {
    if (ReceiveBufferBytes)
      m_Acceptor.set_option(net::socket_base::receive_buffer_size(*ReceiveBufferBytes));
    net::co_spawn(Loop, accept(), net::detached);
  }

  Endpoint address() const { return loopbackEndpoint(m_Acceptor.local_endpoint().port()); }
  void stopListening() { m_Acceptor.close(); }

private:
  Task<> accept() {
    while (true) {
      auto [Error, Socket] = co_await m_Acceptor.async_accept(AsTuple);
      if (Error)
        co_return;
      net::co_spawn(m_Acceptor.get_executor(), m_Handler(std::move(Socket)), net::detached);
    }
  }

  Tcp::acceptor m_Acceptor;
  ConnectionHandler m_Handler;
};

/// Creates the response to a request, or nothing to close the connection without a response.
using ResponseFactory = std::function<Task<std::optional<HttpResponse>>(HttpRequest)>;

/// Serves the requests of one connection until it closes.
inline Task<> serveRequests(Tcp::socket Socket, ResponseFactory MakeResponse) {
  namespace http = boost::beast::http;
  boost::beast::flat_buffer Buffer;
  while (true) {
    HttpRequest Request;
    auto [Error, Size] = co_await http::async_read(Socket, Buffer, Request, AsTuple);
    if (Error)
      co_return;
    std::optional<HttpResponse> Response = co_await MakeResponse(std::move(Request));
    if (!Response)
      co_return;
    Response->prepare_payload();
    auto [WriteError, Written] = co_await http::async_write(Socket, *Response, AsTuple);
    if (WriteError)
      co_return;
  }
}

} // namespace fescuegauge::test

#endif // FESCUEGAUGE_LIBGATEWAY_LOOPBACKTESTUTILS_H
