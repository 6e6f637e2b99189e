#ifndef FESCUEGAUGE_FESCUEGAUGED_HTTPSERVICE_H
#define FESCUEGAUGE_FESCUEGAUGED_HTTPSERVICE_H

#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/Kernel.h"
#include "Fescuegauge/Settings.h"

#include <atomic>
#include <boost/json/value.hpp>
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

/// One HTTP exchange, used by one thread.
class HttpExchange {
public:
  HttpExchange(Poco::Net::HTTPServerRequest &Request, Poco::Net::HTTPServerResponse &Response);

  /// The parts of the path between slashes, percent-decoded.
  const std::vector<std::string> &segments() const { return m_Segments; }
  std::string query(const std::string &Name) const;
  std::string header(const std::string &Name) const;
  const std::string &body() const { return m_Body; }
  /// Reads the body within the limits; otherwise the error to answer with.
  std::optional<ErrorKind> readBody(const LimitSettings &Limits);

  void answer(const boost::json::value &Body, int Status = 200);
  void answerText(const std::string &Body, const std::string &ContentType, int Status = 200);
  /// Answers with the error's JSON form: {"error", "message", "run", "retryAfterMs"}. `RetryAfter`
  /// and `Run` override the table of error kinds.
  void answerError(ErrorKind Kind, const std::string &Message,
                   std::optional<Duration> RetryAfter = std::nullopt,
                   std::optional<WasRun> Run = std::nullopt);
  void setHeader(const std::string &Name, const std::string &Value);

  /// Starts a streamed answer, sends a piece of it. False once the caller has gone.
  bool sendFragment(const std::string &Data, const std::string &ContentType);
  /// Ends a streamed answer as complete.
  void finishStream();
  /// Ends a streamed answer so that the caller sees that it is not complete.
  void breakStream();
  bool hasStarted() const { return m_Out != nullptr; }
  /// True if the caller has closed its connection.
  bool isCallerGone() const;

private:
  Poco::Net::HTTPServerRequest &m_Request;
  Poco::Net::HTTPServerResponse &m_Response;
  std::vector<std::string> m_Segments;
  std::map<std::string, std::string> m_Query;
  std::string m_Body;
  std::ostream *m_Out = nullptr;
};

/// Service "http": the HTTP server for callers, operators, health and metrics.
class HttpService : public Service {
public:
  using Handler = std::function<void(HttpExchange &)>;

  explicit HttpService(const Settings &Configured);
  ~HttpService() override;

  /// Adds a handler for a method and the first segments of a path, such as "GET /healthz". The
  /// longest prefix wins. Only before start().
  void route(const std::string &MethodAndPrefix, Handler Added);

  /// Serves /healthz, /readyz, /metrics and /dump beside the added routes.
  void start(Kernel &Services) override;
  /// True when no exchange is in progress, so no answer is cut by stop().
  bool isDrained() const override { return m_Active == 0; }
  void stop() override;
  std::uint16_t port() const;

private:
  struct Server;
  const Settings &m_Settings;
  std::map<std::string, Handler> m_Routes;
  std::atomic<int> m_Active{0};
  std::unique_ptr<Server> m_Server;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_HTTPSERVICE_H
