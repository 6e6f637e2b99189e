#include "HttpService.h"

#include "Fescuegauge/Log.h"
#include "Fescuegauge/Metrics.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <list>
#include <mutex>
#include <thread>

namespace fescuegauge {

namespace json = boost::json;

HttpExchange::HttpExchange(Poco::Net::HTTPServerRequest &Request,
                           Poco::Net::HTTPServerResponse &Response,
                           const std::atomic<bool> &IsStopping)
    : m_Request(Request), m_Response(Response), m_IsStopping(IsStopping) {
  Poco::URI Uri(Request.getURI());
  Uri.getPathSegments(m_PathSegments);
  for (const auto &[Name, Value] : Uri.getQueryParameters())
    m_QueryParameters[Name] = Value;
}

std::string HttpExchange::queryParameter(const std::string &Name) const {
  auto Found = m_QueryParameters.find(Name);
  return Found == m_QueryParameters.end() ? std::string() : Found->second;
}

std::string HttpExchange::header(const std::string &Name) const {
  return m_Request.get(Name, std::string());
}

std::optional<ErrorKind> HttpExchange::readBody(const LimitSettings &Limits) {
  std::size_t HeaderBytes = 0;
  for (const auto &[Name, Value] : m_Request)
    HeaderBytes += Name.size() + Value.size();
  if (m_Request.size() > Limits.m_MaxHeaders || HeaderBytes > Limits.m_MaxHeaderBytes.count())
    return ErrorKind::RequestTooLarge;
  if (m_Request.hasContentLength() &&
      m_Request.getContentLength64() > static_cast<Poco::Int64>(Limits.m_MaxBody.count()))
    return ErrorKind::RequestTooLarge;
  auto Deadline = std::chrono::steady_clock::now() + Limits.m_BodyTimeout;
  std::array<char, 16384> Block{};
  std::istream &In = m_Request.stream();
  while (In.read(Block.data(), 1) || In.gcount() > 0) {
    // Reads only the bytes that have arrived, since a slow sender could otherwise block one read
    // past the deadline until the block is full.
    auto Available = In.rdbuf()->in_avail();
    auto Size =
        std::min<std::streamsize>(std::max<std::streamsize>(Available, 0), Block.size() - 1);
    In.read(Block.data() + 1, Size);
    m_Body.append(Block.data(), 1 + static_cast<std::size_t>(In.gcount()));
    if (m_Body.size() > Limits.m_MaxBody.count())
      return ErrorKind::RequestTooLarge;
    if (std::chrono::steady_clock::now() > Deadline)
      return ErrorKind::RequestTimeout;
  }
  const bool HasLength = m_Request.hasContentLength();
  const bool IsCut =
      HasLength && m_Body.size() != static_cast<std::size_t>(m_Request.getContentLength64());
  // The stream of a body in chunks does not report whether the last one has arrived.
  if (m_IsStopping && (IsCut || !HasLength))
    return ErrorKind::Draining;
  return IsCut ? std::optional(ErrorKind::MalformedRequest) : std::nullopt;
}

void HttpExchange::sendJson(const json::value &Body, int Status) {
  sendText(json::serialize(Body), "application/json", Status);
}

void HttpExchange::sendText(const std::string &Body, const std::string &ContentType, int Status) {
  m_Response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  m_Response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(m_Response.getStatus()));
  m_Response.setContentType(ContentType);
  m_Response.sendBuffer(Body.data(), Body.size());
}

void HttpExchange::sendError(ErrorKind Kind, const std::string &Message,
                             std::optional<Duration> RetryAfter, std::optional<WasRun> Run) {
  const ErrorAnswer &Answer = errorAnswer(Kind);
  json::object Body{{"error", Answer.m_Name},
                    {"message", Message},
                    {"run", wasRunName(Run.value_or(Answer.m_WasRun))}};
  if (auto After = RetryAfter ? RetryAfter : Answer.m_RetryAfter) {
    Body["retryAfterMs"] = After->count() / 1000;
    // The header is in whole seconds. It is rounded up, so that no caller retries too early.
    m_Response.set("Retry-After", std::to_string((After->count() + 999999) / 1000000));
  }
  // The connection cannot be reused after a request that was not read completely.
  if (Kind == ErrorKind::RequestTooLarge || Kind == ErrorKind::RequestTimeout)
    m_Response.setKeepAlive(false);
  sendJson(Body, Answer.m_HttpStatus);
}

void HttpExchange::setHeader(const std::string &Name, const std::string &Value) {
  m_Response.set(Name, Value);
}

bool HttpExchange::sendFragment(const std::string &Data, const std::string &ContentType) {
  if (!m_BodyStream) {
    m_Response.setChunkedTransferEncoding(true);
    m_Response.setContentType(ContentType);
    m_BodyStream = &m_Response.send();
  }
  m_BodyStream->write(Data.data(), static_cast<std::streamsize>(Data.size()));
  m_BodyStream->flush();
  return m_BodyStream->good();
}

void HttpExchange::endStream() { m_BodyStream->flush(); }

void HttpExchange::abortStream() {
  // Shuts down the socket, since the server would otherwise write the terminating chunk when the
  // exchange ends.
  static_cast<Poco::Net::HTTPServerRequestImpl &>(m_Request).socket().shutdown();
}

bool HttpExchange::isCallerDisconnected() const {
  auto &Socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(m_Request).socket();
  try {
    if (!Socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
      return false;
    char Byte = 0;
    if (Socket.receiveBytes(&Byte, 1, MSG_PEEK) > 0)
      return false;
  } catch (const Poco::Exception &Error) {
    logEvent(Severity::Debug, "connection_ended", {{"reason", Error.displayText()}});
  }
  // The stop shuts the receiving side, which looks like the end of the caller's connection.
  return !m_IsStopping;
}

namespace {

using Routes = std::map<std::string, HttpService::Handler>;

class RoutingHandler final : public Poco::Net::HTTPRequestHandler {
public:
  RoutingHandler(const Routes &RouteTable, std::atomic<int> &ActiveExchanges,
                 const std::atomic<bool> &IsStopping)
      : m_RouteTable(RouteTable), m_ActiveExchanges(ActiveExchanges), m_IsStopping(IsStopping) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    ++m_ActiveExchanges;
    try {
      HttpExchange Exchange(Request, Response, m_IsStopping);
      if (const HttpService::Handler *Found = find(Request))
        (*Found)(Exchange);
      else
        Exchange.sendError(ErrorKind::MalformedRequest, "no route for this method and path");
    } catch (const std::exception &Error) {
      logEvent(Severity::Info, "http_exchange_failed", {{"reason", Error.what()}});
    }
    --m_ActiveExchanges;
  }

private:
  const HttpService::Handler *find(const Poco::Net::HTTPServerRequest &Request) const {
    const std::string &Uri = Request.getURI();
    std::string Target = Request.getMethod() + " " + Uri.substr(0, Uri.find('?'));
    const HttpService::Handler *Best = nullptr;
    std::size_t BestLength = 0;
    for (const auto &[Prefix, RouteHandler] : m_RouteTable) {
      bool IsMatch = Target == Prefix || Target.starts_with(Prefix + "/");
      if (IsMatch && Prefix.size() >= BestLength) {
        Best = &RouteHandler;
        BestLength = Prefix.size();
      }
    }
    return Best;
  }

  const Routes &m_RouteTable;
  std::atomic<int> &m_ActiveExchanges;
  const std::atomic<bool> &m_IsStopping;
};

class RoutingHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  RoutingHandlerFactory(const Routes &RouteTable, std::atomic<int> &ActiveExchanges,
                        const std::atomic<bool> &IsStopping)
      : m_RouteTable(RouteTable), m_ActiveExchanges(ActiveExchanges), m_IsStopping(IsStopping) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new RoutingHandler(m_RouteTable, m_ActiveExchanges, m_IsStopping);
  }

private:
  const Routes &m_RouteTable;
  std::atomic<int> &m_ActiveExchanges;
  const std::atomic<bool> &m_IsStopping;
};

/// The open connections of the server. Used by several threads.
class OpenConnections {
public:
  using Position = std::list<Poco::Net::StreamSocket>::iterator;

  Position add(const Poco::Net::StreamSocket &Socket) {
    std::lock_guard Lock(m_Mutex);
    ++m_AddedCount;
    return m_Sockets.insert(m_Sockets.end(), Socket);
  }
  void remove(Position Closed) {
    std::lock_guard Lock(m_Mutex);
    m_Sockets.erase(Closed);
  }
  bool isEmpty() const {
    std::lock_guard Lock(m_Mutex);
    return m_Sockets.empty();
  }
  /// The number of connections that were added since the start.
  int addedCount() const {
    std::lock_guard Lock(m_Mutex);
    return m_AddedCount;
  }
  /// A connection that its client has closed is left out.
  template <typename Action> void forEach(Action Apply) {
    std::lock_guard Lock(m_Mutex);
    for (Poco::Net::StreamSocket &Each : m_Sockets) {
      try {
        Apply(Each);
      } catch (const Poco::Exception &Error) {
        logEvent(Severity::Debug, "connection_ended", {{"reason", Error.displayText()}});
      }
    }
  }

private:
  mutable std::mutex m_Mutex;
  std::list<Poco::Net::StreamSocket> m_Sockets;
  int m_AddedCount = 0;
};

/// Counts the connections that are accepted, before they are queued for a thread.
class AcceptCounter final : public Poco::Net::TCPServerConnectionFilter {
public:
  bool accept(const Poco::Net::StreamSocket & /*Socket*/) override {
    ++m_Count;
    return true;
  }
  int count() const { return m_Count; }

private:
  std::atomic<int> m_Count{0};
};

class Connection final : public Poco::Net::HTTPServerConnection {
public:
  Connection(const Poco::Net::StreamSocket &Socket, Poco::Net::HTTPServerParams::Ptr Parameters,
             Poco::Net::HTTPRequestHandlerFactory::Ptr Handlers, OpenConnections &Others)
      : HTTPServerConnection(Socket, std::move(Parameters), std::move(Handlers)), m_Others(Others),
        m_Position(Others.add(Socket)) {}
  ~Connection() override { m_Others.remove(m_Position); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

private:
  OpenConnections &m_Others;
  OpenConnections::Position m_Position;
};

class ConnectionFactory final : public Poco::Net::TCPServerConnectionFactory {
public:
  ConnectionFactory(Poco::Net::HTTPServerParams::Ptr Parameters,
                    Poco::Net::HTTPRequestHandlerFactory::Ptr Handlers, OpenConnections &Others)
      : m_Parameters(std::move(Parameters)), m_Handlers(std::move(Handlers)), m_Others(Others) {}
  Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &Socket) override {
    return new Connection(Socket, m_Parameters, m_Handlers, m_Others);
  }

private:
  Poco::Net::HTTPServerParams::Ptr m_Parameters;
  Poco::Net::HTTPRequestHandlerFactory::Ptr m_Handlers;
  OpenConnections &m_Others;
};

} // namespace

struct HttpService::Server {
  Server(const Settings &Configured, const Routes &RouteTable, std::atomic<int> &ActiveExchanges,
         const std::atomic<bool> &IsStopping)
      : m_Pool(2, static_cast<int>(Configured.m_Limits.m_MaxConnections)),
        m_Socket(Poco::Net::SocketAddress(Configured.m_Listen.m_Http.m_Host,
                                          Configured.m_Listen.m_Http.m_Port),
                 ListenBacklog),
        m_Parameters(parameters(Configured.m_Limits)),
        m_Server(new ConnectionFactory(
                     m_Parameters,
                     new RoutingHandlerFactory(RouteTable, ActiveExchanges, IsStopping),
                     m_Connections),
                 m_Pool, m_Socket, m_Parameters) {
    m_Server.setConnectionFilter(m_AcceptCounter);
  }

  static constexpr int ListenBacklog = 512;

  static Poco::Net::HTTPServerParams::Ptr parameters(const LimitSettings &Limits) {
    Poco::Net::HTTPServerParams::Ptr Result(new Poco::Net::HTTPServerParams);
    Result->setMaxThreads(static_cast<int>(Limits.m_MaxConnections));
    // Connections beyond the limit are refused rather than queued without an answer.
    Result->setMaxQueued(static_cast<int>(Limits.m_MaxConnections));
    Result->setTimeout(Poco::Timespan(Limits.m_HeaderTimeout.count()));
    Result->setKeepAliveTimeout(Poco::Timespan(Limits.m_IdleTimeout.count()));
    return Result;
  }

  bool hasConnectionsToAccept() const {
    return m_Socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  }

  /// Returns true if an accepted connection waits for a thread.
  bool hasQueuedConnections() const {
    return m_AcceptCounter->count() > m_Connections.addedCount() + m_Server.refusedConnections();
  }

  /// Ends each connection that a thread serves as soon as what has arrived on it is answered.
  void endConnections() {
    m_Connections.forEach([](Poco::Net::StreamSocket &Socket) { Socket.shutdownReceive(); });
  }

  OpenConnections m_Connections;
  Poco::AutoPtr<AcceptCounter> m_AcceptCounter{new AcceptCounter};
  Poco::ThreadPool m_Pool;
  Poco::Net::ServerSocket m_Socket;
  Poco::Net::HTTPServerParams::Ptr m_Parameters;
  Poco::Net::TCPServer m_Server;
};

HttpService::HttpService(const Settings &Configured) : Service("http"), m_Settings(Configured) {}

HttpService::~HttpService() = default;

void HttpService::addRoute(const std::string &MethodAndPrefix, Handler RouteHandler) {
  m_Routes[MethodAndPrefix] = std::move(RouteHandler);
}

void HttpService::start(Kernel &Services) {
  addRoute("GET /healthz", [](HttpExchange &Exchange) {
    Exchange.sendJson(json::object{{"healthy", true}});
  });
  addRoute("GET /readyz", [&Services](HttpExchange &Exchange) {
    json::array Reasons;
    for (const std::string &Reason : Services.notReadyReasons())
      Reasons.emplace_back(Reason);
    bool IsReady = Reasons.empty();
    Exchange.sendJson(json::object{{"ready", IsReady}, {"reasons", std::move(Reasons)}},
                      IsReady ? 200 : 503);
  });
  addRoute("GET /dump",
           [&Services](HttpExchange &Exchange) { Exchange.sendJson(Services.dumpState()); });
  auto &Metrics = Services.find<MetricsService>("metrics");
  addRoute("GET /metrics", [&Metrics](HttpExchange &Exchange) {
    Exchange.sendText(Metrics.serialize(), "text/plain; version=0.0.4");
  });
  m_Server = std::make_unique<Server>(m_Settings, m_Routes, m_ActiveExchanges, m_IsStopping);
  m_Server->m_Server.start();
}

void HttpService::stop() {
  if (!m_Server)
    return;
  m_IsStopping = true;
  // A request that has arrived is answered, also on a connection that is not accepted yet or waits
  // for a thread, because the process was paused or all threads serve idle connections.
  endConnectionsWhile(
      [this] { return m_Server->hasConnectionsToAccept() || m_Server->hasQueuedConnections(); });
  m_Server->m_Socket.impl()->shutdownReceive();
  endConnectionsWhile([this] { return m_Server->hasQueuedConnections(); });
  m_Server->m_Server.stop();
  endConnectionsWhile([this] { return !m_Server->m_Connections.isEmpty(); });
  m_Server->m_Connections.forEach([](Poco::Net::StreamSocket &Socket) { Socket.shutdown(); });
}

void HttpService::endConnectionsWhile(const std::function<bool()> &IsWaiting) {
  m_Server->endConnections();
  // Checks are counted, because a pause of the process is not time to accept or to answer.
  for (int Checks = 0; Checks < MaxStopChecks && IsWaiting(); ++Checks) {
    std::this_thread::sleep_for(ConnectionCheckInterval);
    m_Server->endConnections();
  }
}

std::uint16_t HttpService::port() const { return m_Server->m_Socket.address().port(); }

} // namespace fescuegauge
