#include "Fescuegauge/EmbeddedHttpServer.h"

#include "Fescuegauge/Log.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace fescuegauge {

namespace http = boost::beast::http;

struct EmbeddedHttpServer::State {
  explicit State(net::io_context &Loop) : m_Acceptor(Loop) {}

  Tcp::acceptor m_Acceptor;
  std::map<std::string, Handler> m_Handlers;
  std::size_t m_Connections = 0;

  const Handler *find(std::string_view Path) const {
    const Handler *Best = nullptr;
    std::size_t Longest = 0;
    for (const auto &[Prefix, Each] : m_Handlers)
      if (Path.starts_with(Prefix) && Prefix.size() >= Longest) {
        Best = &Each;
        Longest = Prefix.size();
      }
    return Best;
  }
};

EmbeddedHttpServer::EmbeddedHttpServer(net::io_context &Loop)
    : m_State(std::make_shared<State>(Loop)) {}

EmbeddedHttpServer::~EmbeddedHttpServer() {
  SystemError Ignored;
  m_State->m_Acceptor.close(Ignored);
}

void EmbeddedHttpServer::handle(std::string Prefix, Handler RequestHandler) {
  m_State->m_Handlers[std::move(Prefix)] = std::move(RequestHandler);
}

void EmbeddedHttpServer::listen(const Endpoint &Address) {
  const Tcp::endpoint Local = tcpEndpoint(Address);
  Tcp::acceptor &Acceptor = m_State->m_Acceptor;
  Acceptor.open(Local.protocol());
  Acceptor.set_option(net::socket_base::reuse_address(true));
  Acceptor.bind(Local);
  Acceptor.listen();
  spawnTask(Acceptor.get_executor(), "status_accept", accept(m_State));
}

Task<> EmbeddedHttpServer::accept(std::shared_ptr<State> Shared) {
  while (Shared->m_Acceptor.is_open()) {
    auto [Error, Socket] = co_await Shared->m_Acceptor.async_accept(AsTuple);
    if (Error == net::error::operation_aborted)
      co_return;
    if (Error) {
      co_await sleepFor(std::chrono::milliseconds(50));
      continue;
    }
    if (Shared->m_Connections >= MaxConnections)
      continue;
    spawnTask(Shared->m_Acceptor.get_executor(), "status_session",
              serve(Shared, std::move(Socket)));
  }
}

Task<> EmbeddedHttpServer::serve(std::shared_ptr<State> Shared, Tcp::socket Socket) {
  setSocketOptions(Socket);
  ++Shared->m_Connections;
  boost::beast::flat_buffer Buffer(MaxBufferedBytes);
  OneShotTimer IdleTimer(Socket.get_executor());
  bool KeepOpen = true;
  while (KeepOpen) {
    http::request_parser<http::string_body> Parser;
    IdleTimer.set(IdleTimeout, [&Socket] {
      SystemError Ignored;
      Socket.close(Ignored);
    });
    auto [ReadError, Size] = co_await http::async_read(Socket, Buffer, Parser, AsTuple);
    if (ReadError)
      break;
    const HttpRequest Request = Parser.release();
    const std::string Target(Request.target());
    const Handler *Found = Shared->find(Target.substr(0, Target.find('?')));
    HandlerResponse Reply{404, "text/plain", ""};
    if (Found)
      Reply = co_await (*Found)(Request);
    HttpResponse Response(static_cast<http::status>(Reply.m_Status), 11);
    Response.set(http::field::content_type, Reply.m_ContentType);
    Response.body() = std::move(Reply.m_Body);
    Response.keep_alive(Request.keep_alive());
    Response.prepare_payload();
    auto [WriteError, Written] = co_await http::async_write(Socket, Response, AsTuple);
    KeepOpen = !WriteError && Response.keep_alive();
  }
  IdleTimer.cancel();
  --Shared->m_Connections;
}

} // namespace fescuegauge
