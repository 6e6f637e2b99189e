#ifndef FESCUEGAUGE_FESCUEGAUGED_HTTPSERVICE_H
#define FESCUEGAUGE_FESCUEGAUGED_HTTPSERVICE_H

#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/Kernel.h"
#include "Fescuegauge/Settings.h"

#include <atomic>
#include <boost/json/value.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace fescuegauge {

/// One HTTP request and its response. Used by one thread.
class HttpExchange {
public:
  /// `IsStopping` is set before the server stops reading from its connections.
  HttpExchange(Poco::Net::HTTPServerRequest &Request, Poco::Net::HTTPServerResponse &Response,
               const std::atomic<bool> &IsStopping);

  /// The segments of the path, percent-decoded.
  const std::vector<std::string> &pathSegments() const { return m_PathSegments; }
  std::string queryParameter(const std::string &Name) const;
  std::string header(const std::string &Name) const;
  const std::string &body() const { return m_Body; }
  /// Reads the body. Returns the error to answer with if a limit is exceeded or the body is
  /// incomplete: ErrorKind::Draining if the server, rather than the caller, may have ended it.
  std::optional<ErrorKind> readBody(const LimitSettings &Limits);

  void sendJson(const boost::json::value &Body, int Status = 200);
  void sendText(const std::string &Body, const std::string &ContentType, int Status = 200);
  /// Sends the JSON object {"error", "message", "run", "retryAfterMs"}. `RetryAfter` and `Run`
  /// override the defaults of the error kind.
  void sendError(ErrorKind Kind, const std::string &Message,
                 std::optional<Duration> RetryAfter = std::nullopt,
                 std::optional<WasRun> Run = std::nullopt);
  void setHeader(const std::string &Name, const std::string &Value);

  /// Sends a fragment of a streamed response, which the first call starts. Returns false if the
  /// connection is closed.
  bool sendFragment(const std::string &Data, const std::string &ContentType);
  /// Ends a complete streamed response.
  void endStream();
  /// Ends a streamed response without the terminating chunk, so that the caller detects that it is
  /// incomplete.
  void abortStream();
  bool isStreaming() const { return m_BodyStream != nullptr; }
  /// Returns true if the caller has closed its connection. While the server stops, this is not
  /// known, and false is returned.
  bool isCallerDisconnected() const;

private:
  Poco::Net::HTTPServerRequest &m_Request;
  Poco::Net::HTTPServerResponse &m_Response;
  const std::atomic<bool> &m_IsStopping;
  std::vector<std::string> m_PathSegments;
  std::map<std::string, std::string> m_QueryParameters;
  std::string m_Body;
  std::ostream *m_BodyStream = nullptr;
};

/// Service "http": the HTTP server for callers, operators, health checks and metrics.
class HttpService : public Service {
public:
  using Handler = std::function<void(HttpExchange &)>;

  explicit HttpService(const Settings &Configured);
  ~HttpService() override;

  /// Adds a handler for a method and a path prefix of whole segments, such as "GET /healthz". The
  /// longest matching prefix is used. Must not be called after start().
  void addRoute(const std::string &MethodAndPrefix, Handler RouteHandler);

  /// Serves /healthz, /readyz, /metrics and /dump in addition to the added routes.
  void start(Kernel &Services) override;
  /// Returns true if no exchange is in progress, so that stop() interrupts no response.
  bool isDrained() const override { return m_ActiveExchanges == 0; }
  void stop() override;
  std::uint16_t port() const;

private:
  /// Ends open connections, and those that threads begin to serve meanwhile, until `IsWaiting`
  /// returns false or MaxStopChecks are over.
  void endConnectionsWhile(const std::function<bool()> &IsWaiting);

  static constexpr std::chrono::milliseconds ConnectionCheckInterval{5};
  /// stop() gives waiting connections 0.5 s to be served, and then exchanges as long to send their
  /// responses.
  static constexpr int MaxStopChecks = 100;

  struct Server;
  const Settings &m_Settings;
  std::map<std::string, Handler> m_Routes;
  std::atomic<int> m_ActiveExchanges{0};
  std::atomic<bool> m_IsStopping{false};
  std::unique_ptr<Server> m_Server;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_HTTPSERVICE_H
