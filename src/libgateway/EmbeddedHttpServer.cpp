#include "Fescuegauge/EmbeddedHttpServer.h"

#include "Fescuegauge/HttpParser.h"
#include "Fescuegauge/Log.h"
#include "Fescuegauge/ScopeExit.h"

#include <boost/beast/core/flat_buffer.hpp>
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
  spawnPersistentTask(Acceptor.get_executor(), "status_accept",
                      [Shared = m_State] { return accept(Shared); });
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

Task<HandlerResponse> EmbeddedHttpServer::callHandler(const Handler &Called,
                                                      const HttpRequest &Request) {
  try {
    co_return co_await Called(Request);
  } catch (const std::exception &Error) {
    logEvent(Severity::Error, "handler_failed",
             {{"path", std::string(Request.target())}, {"reason", Error.what()}});
  }
  co_return HandlerResponse{500, "text/plain", ""};
}

Task<bool> EmbeddedHttpServer::write(Tcp::socket &Socket, HandlerResponse Reply, bool KeepAlive) {
  HttpResponse Response(static_cast<http::status>(Reply.m_Status), 11);
  Response.set(http::field::content_type, Reply.m_ContentType);
  Response.body() = std::move(Reply.m_Body);
  Response.keep_alive(KeepAlive);
  Response.prepare_payload();
  auto [Error, Written] = co_await http::async_write(Socket, Response, AsTuple);
  co_return !Error && KeepAlive;
}

Task<> EmbeddedHttpServer::serve(std::shared_ptr<State> Shared, Tcp::socket Socket) {
  setSocketOptions(Socket);
  ++Shared->m_Connections;
  const ScopeExit CountEnd([&Shared] { --Shared->m_Connections; });
  boost::beast::flat_buffer Buffer(MaxBufferedBytes);
  OneShotTimer IdleTimer(Socket.get_executor());
  bool KeepOpen = true;
  while (KeepOpen) {
    HttpRequestParser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    IdleTimer.set(IdleTimeout, [&Socket] {
      SystemError Ignored;
      Socket.close(Ignored);
    });
    auto [ReadError, Size] = co_await http::async_read(Socket, Buffer, Parser, AsTuple);
    if (ReadError) {
      if (isMalformedMessage(ReadError)) {
        const ErrorAnswer &Answer = errorAnswer(malformedMessageKind(ReadError));
        // Named, because GCC 12 destroys a temporary argument of a co_await twice.
        HandlerResponse Refusal{static_cast<unsigned>(Answer.m_HttpStatus), "text/plain", ""};
        co_await write(Socket, std::move(Refusal), false);
      }
      break;
    }
    const HttpRequest Request = Parser.release();
    const std::string Target(Request.target());
    const Handler *Found = Shared->find(Target.substr(0, Target.find('?')));
    HandlerResponse Reply{404, "text/plain", ""};
    if (Found)
      Reply = co_await callHandler(*Found, Request);
    KeepOpen = co_await write(Socket, std::move(Reply), Request.keep_alive());
  }
}

} // namespace fescuegauge
