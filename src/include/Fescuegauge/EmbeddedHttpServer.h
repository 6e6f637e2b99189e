#ifndef FESCUEGAUGE_EMBEDDEDHTTPSERVER_H
#define FESCUEGAUGE_EMBEDDEDHTTPSERVER_H

#include "Fescuegauge/AsioTypes.h"
#include "Fescuegauge/AsyncHttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace fescuegauge {

struct HandlerResponse {
  unsigned m_Status = 200;
  std::string m_ContentType = "text/plain";
  std::string m_Body;
};

/// HTTP server that dispatches small requests by path: readiness, metrics, state dumps, and
/// requests between agents.
class EmbeddedHttpServer {
public:
  /// Serves one request. The handler with the longest matching path prefix is called.
  using Handler = std::function<Task<HandlerResponse>(const HttpRequest &Request)>;
  /// A connection is closed after this time without a complete request.
  static constexpr Duration IdleTimeout = std::chrono::seconds(30);
  static constexpr std::size_t MaxConnections = 256;
  /// Limits on one request, so that all connections together hold less than 10 MiB of requests.
  /// Requests between processes have short headers and no body.
  static constexpr std::size_t MaxBodyBytes = 4 << 10;
  /// Limit of bytes received and not yet parsed.
  static constexpr std::size_t MaxBufferedBytes = 16 << 10;

  explicit EmbeddedHttpServer(net::io_context &Loop);
  ~EmbeddedHttpServer();

  /// Registers the handler for paths that begin with `Prefix`. Call before listen().
  void handle(std::string Prefix, Handler RequestHandler);
  /// Throws boost::system::system_error if the address is taken.
  void listen(const Endpoint &Address);

private:
  struct State;
  static Task<> accept(std::shared_ptr<State> Shared);
  static Task<> serve(std::shared_ptr<State> Shared, Tcp::socket Socket);
  /// Responds with status 500 if the handler throws.
  static Task<HandlerResponse> callHandler(const Handler &Called, const HttpRequest &Request);
  /// Returns whether the connection can be used for another request.
  static Task<bool> write(Tcp::socket &Socket, HandlerResponse Reply, bool KeepAlive);

  std::shared_ptr<State> m_State;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_EMBEDDEDHTTPSERVER_H
