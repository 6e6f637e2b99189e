#ifndef FESCUEGAUGE_LIBGATEWAY_FAKEUPSTREAM_H
#define FESCUEGAUGE_LIBGATEWAY_FAKEUPSTREAM_H

#include "Fescuegauge/Gateway.h"
#include "Fescuegauge/Metrics.h"
#include "LoopbackTestUtils.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace fescuegauge::test {

/// Whether the peer has closed or reset the connection.
inline bool isClosedByPeer(Tcp::socket &Socket) {
  char Byte = 0;
  const auto Received = ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Received == 0 || (Received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Returns false, before the delay is over, if the peer closes the connection.
inline Task<bool> delayUnlessClosed(Tcp::socket &Socket, Duration Length) {
  constexpr Duration CheckInterval = std::chrono::milliseconds(5);
  const TimePoint End = monotonicNow() + Length;
  for (TimePoint Now = monotonicNow(); Now < End; Now = monotonicNow()) {
    co_await sleepFor(std::min(CheckInterval, End - Now));
    if (isClosedByPeer(Socket))
      co_return false;
  }
  co_return true;
}

/// Upstream whose responses a test scripts byte by byte.
class FakeUpstream {
public:
  /// Bytes to send, after a delay.
  struct Step {
    std::string m_Bytes;
    Duration m_DelayBefore{0};
  };
  struct Script {
    std::vector<Step> m_Steps;
    enum class End { KeepOpen, Close, Reset } m_End = End::KeepOpen;
    /// Sent repeatedly after the steps, until the peer closes the connection.
    std::string m_Repeated = {};
  };
  using RequestHandler = std::function<Script(const HttpRequest &)>;

  FakeUpstream(net::io_context &Loop, RequestHandler Handler)
      : m_Handler(std::move(Handler)),
        m_Server(Loop, [this](Tcp::socket Socket) { return serve(std::move(Socket)); }) {}

  Endpoint address() const { return m_Server.address(); }
  const std::vector<HttpRequest> &requests() const { return m_Requests; }
  /// Number of connections that the peer closed while a script was running.
  int abandonedCount() const { return static_cast<int>(m_AbandonedTimes.size()); }
  /// Times at which these closes were detected, also during the delay of a step.
  const std::vector<TimePoint> &abandonedTimes() const { return m_AbandonedTimes; }
  int connections() const { return m_Connections; }
  /// Number of repeated bytes that the peer or the socket buffers took.
  std::size_t repeatedBytes() const { return m_RepeatedBytes; }
  void stopListening() { m_Server.stopListening(); }

private:
  Task<> serve(Tcp::socket Socket) {
    namespace http = boost::beast::http;
    ++m_Connections;
    Socket.set_option(Tcp::no_delay(true));
    boost::beast::flat_buffer Buffer;
    while (true) {
      HttpRequest Request;
      auto [Error, Size] = co_await http::async_read(Socket, Buffer, Request, AsTuple);
      if (Error)
        co_return;
      m_Requests.push_back(Request);
      const Script Plan = m_Handler(Request);
      for (const Step &Each : Plan.m_Steps) {
        const bool StillOpen = co_await delayUnlessClosed(Socket, Each.m_DelayBefore);
        if (!StillOpen) {
          m_AbandonedTimes.push_back(monotonicNow());
          co_return;
        }
        auto [WriteError, Written] =
            co_await net::async_write(Socket, net::buffer(Each.m_Bytes), AsTuple);
        if (WriteError) {
          m_AbandonedTimes.push_back(monotonicNow());
          co_return;
        }
      }
      while (!Plan.m_Repeated.empty()) {
        auto [WriteError, Written] =
            co_await net::async_write(Socket, net::buffer(Plan.m_Repeated), AsTuple);
        m_RepeatedBytes += Written;
        if (WriteError) {
          m_AbandonedTimes.push_back(monotonicNow());
          co_return;
        }
      }
      if (Plan.m_End == Script::End::Reset)
        Socket.set_option(net::socket_base::linger(true, 0));
      if (Plan.m_End != Script::End::KeepOpen) {
        Socket.close();
        co_return;
      }
    }
  }

  RequestHandler m_Handler;
  std::vector<HttpRequest> m_Requests;
  std::vector<TimePoint> m_AbandonedTimes;
  std::size_t m_RepeatedBytes = 0;
  int m_Connections = 0;
  LoopbackServer m_Server;
};

/// Raw bytes of a response as the client receives it, so that the framing can be checked.
struct RawResponse {
  std::string m_Bytes;
  bool m_ClosedByServer = false;
  bool m_Reset = false;

  unsigned status() const {
    return m_Bytes.size() > 12 ? static_cast<unsigned>(std::stoi(m_Bytes.substr(9, 3))) : 0;
  }
  bool contains(std::string_view Text) const { return m_Bytes.find(Text) != std::string::npos; }
  /// Whether a chunked response ended with its last chunk.
  bool isCompleteChunked() const { return m_Bytes.ends_with("0\r\n\r\n"); }
  /// Whether the response is complete, chunked or with a length.
  bool isComplete() const {
    const std::size_t Head = m_Bytes.find("\r\n\r\n");
    if (Head == std::string::npos)
      return false;
    const std::size_t At = m_Bytes.find("Content-Length: ");
    if (At != std::string::npos && At < Head)
      return m_Bytes.size() >= Head + 4 + std::stoul(m_Bytes.substr(At + 16));
    return m_Bytes.ends_with("\r\n0\r\n\r\n");
  }
};

/// Reads until the server closes the connection or, unless `UntilClosed` is set, the response is
/// complete.
inline Task<> readRaw(Tcp::socket &Socket, RawResponse &Result, bool &Done,
                      bool UntilClosed = false) {
  std::array<char, 4096> Chunk;
  while (UntilClosed || !Result.isComplete()) {
    auto [Error, Size] = co_await Socket.async_read_some(net::buffer(Chunk), AsTuple);
    Result.m_Bytes.append(Chunk.data(), Size);
    if (Error) {
      Result.m_ClosedByServer = true;
      Result.m_Reset = Error != net::error::eof;
      break;
    }
  }
  Done = true;
}

/// Connects, sends raw bytes after `Wait`, and reads until the server closes the connection or the
/// response is complete.
inline Task<> callRaw(Endpoint To, std::string Bytes, RawResponse &Result, bool &Done,
                      Duration Wait = Duration(0)) {
  Tcp::socket Socket(co_await net::this_coro::executor);
  co_await Socket.async_connect(tcpEndpoint(To), AsTuple);
  if (Wait > Duration(0))
    co_await sleepFor(Wait);
  co_await net::async_write(Socket, net::buffer(Bytes), AsTuple);
  co_await readRaw(Socket, Result, Done);
}

/// Gateway on the loopback address with a stream route, an at-most-once route and an idempotent
/// route.
class GatewayFixture {
public:
  /// `MemoryBytes` is the memory limit of the process; 0 for the default.
  explicit GatewayFixture(Duration StopTime = GatewayOptions().m_StopTime,
                          std::size_t MemoryBytes = 0) {
    GatewayOptions Options;
    Options.m_StopTime = StopTime;
    Options.m_MemoryBytes = MemoryBytes;
    Options.m_Instance = InstanceId("entry-1");
    Options.m_DataCentre = DataCentreId("a");
    Options.m_Region = RegionId("r");
    Options.m_Seed = 7;
    m_Gateway = std::make_unique<Gateway>(m_Loop, Options, m_Metrics);
    m_Address = loopbackEndpoint(freePort(m_Loop));
    m_Gateway->listen(m_Address);
  }

  /// Puts a plan with the three routes in force, after `Change` has modified it.
  void setPlan(const std::function<void(RoutingPlan &)> &Change = {}) {
    RoutingPlan Plan;
    Plan.m_Version = PlanVersion(++m_Version);
    auto Add = [&](const char *Prefix, Repeatability Kind, std::uint32_t Attempts) {
      Route Each;
      Each.m_Id = RouteId(Prefix);
      Each.m_Host = "host.example";
      Each.m_Prefix = std::string("/") + Prefix + "/";
      Each.m_Kind = Kind;
      Each.m_Timeout = std::chrono::milliseconds(1500);
      Each.m_TargetLatency = std::chrono::milliseconds(400);
      Each.m_Services = {{ServiceId("service"), 1}};
      Each.m_MaxAttempts = Attempts;
      Plan.m_Routes.push_back(Each);
    };
    Add("stream", Repeatability::ResumableStream, 2);
    Add("once", Repeatability::AtMostOnce, 1);
    Add("safe", Repeatability::Idempotent, 2);
    ServicePlan Service;
    Service.m_Id = ServiceId("service");
    Plan.m_Services.push_back(Service);
    Plan.m_Accounts.push_back({ClientAccountId("account"), {"key"}, std::nullopt});
    if (Change)
      Change(Plan);
    m_Gateway->setPlan(std::make_shared<const RouteTable>(std::move(Plan)));
  }

  FakeUpstream &addUpstream(FakeUpstream::RequestHandler Handler) {
    m_Upstreams.push_back(std::make_unique<FakeUpstream>(m_Loop, std::move(Handler)));
    listUpstream(m_Upstreams.back()->address());
    return *m_Upstreams.back();
  }

  /// Adds an upstream that the test serves itself.
  void listUpstream(const Endpoint &Address) {
    UpstreamRecord Record;
    Record.m_Id = InstanceId("upstream-" + std::to_string(m_Records.size() + 1));
    Record.m_Address = Address;
    Record.m_DataCentre = DataCentreId("a");
    Record.m_Region = RegionId("r");
    Record.m_Service = ServiceId("service");
    Record.m_Slots = 4;
    m_Records.push_back(Record);
    m_Gateway->setUpstreams(m_Records);
  }

  static std::string request(const std::string &Path, const std::string &Id,
                             const std::string &Extra = "", const std::string &Method = "POST") {
    return Method + " " + Path + " HTTP/1.1\r\nHost: host.example\r\nRequest-Id: " + Id +
           "\r\nAccount-Key: key\r\nDeadline-Ms: 1200\r\nContent-Length: 4\r\n" + Extra +
           "\r\nbody";
  }

  /// Returns the request with another time in which its client expects the response.
  static std::string withDeadline(std::string Request, std::chrono::milliseconds Allowed) {
    const std::string_view Name = "Deadline-Ms: ";
    const std::size_t Begin = Request.find(Name) + Name.size();
    return Request.replace(Begin, Request.find('\r', Begin) - Begin,
                           std::to_string(Allowed.count()));
  }

  /// Sends raw bytes and reads until the server closes the connection, the response is complete or
  /// `Limit` has passed.
  RawResponse exchange(const std::string &Bytes, Duration Limit = std::chrono::milliseconds(2500)) {
    RawResponse Result;
    bool Done = false;
    start(Bytes, Result, Done);
    runUntil([&] { return Done; }, Limit);
    return Result;
  }

  /// The same without waiting. `Result` and `Done` must outlive the exchange, which ends when
  /// `Done` is set.
  void start(const std::string &Bytes, RawResponse &Result, bool &Done) {
    net::co_spawn(m_Loop, callRaw(m_Address, Bytes, Result, Done), net::detached);
  }

  /// Runs the loop until a condition holds. Returns false if it does not hold within `Limit`.
  bool runUntil(const std::function<bool()> &Condition, Duration Limit) {
    return test::runUntil(m_Loop, Condition, Limit);
  }

  /// Runs single handlers until a request is placed. Its connection is not open by then, unless an
  /// idle one was reused.
  bool runUntilPlaced() {
    const TimePoint End = monotonicNow() + std::chrono::seconds(1);
    while (m_Gateway->ownUsage().empty() && monotonicNow() < End) {
      m_Loop.restart();
      m_Loop.run_one_for(std::chrono::milliseconds(5));
    }
    return !m_Gateway->ownUsage().empty();
  }

  net::io_context &loop() { return m_Loop; }
  Gateway &gateway() { return *m_Gateway; }
  std::string metrics() { return m_Metrics.serialize(); }
  const Endpoint &address() const { return m_Address; }
  std::vector<UpstreamRecord> &records() { return m_Records; }

private:
  net::io_context m_Loop;
  MetricsService m_Metrics;
  std::unique_ptr<Gateway> m_Gateway;
  Endpoint m_Address;
  std::vector<std::unique_ptr<FakeUpstream>> m_Upstreams;
  std::vector<UpstreamRecord> m_Records;
  std::uint64_t m_Version = 0;
};

/// Makes each turn of an event loop take some time, as on a slow or busy machine.
class SlowLoop {
public:
  SlowLoop(net::io_context &Loop, Duration TurnTime)
      : m_Loop(Loop), m_TurnTime(TurnTime), m_IsSlow(std::make_shared<bool>(true)) {
    takeTurn();
  }
  SlowLoop(const SlowLoop &) = delete;
  SlowLoop &operator=(const SlowLoop &) = delete;

private:
  void takeTurn() {
    net::post(m_Loop, [this, IsSlow = std::weak_ptr<bool>(m_IsSlow)] {
      if (IsSlow.expired())
        return;
      std::this_thread::sleep_for(m_TurnTime);
      takeTurn();
    });
  }

  net::io_context &m_Loop;
  Duration m_TurnTime;
  /// Expires with the object.
  std::shared_ptr<bool> m_IsSlow;
};

/// Response with a Content-Length.
inline std::string plainResponse(const HttpRequest &To, unsigned Status, const std::string &Body,
                                 const std::string &Extra = "") {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Any\r\nRequest-Id: " + std::string(To["Request-Id"]) +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n" + Extra + "\r\n" + Body;
}

/// Header of a chunked event stream.
inline std::string streamHeader(const HttpRequest &To) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(To["Request-Id"]) +
         "\r\nContent-Type: text/event-stream\r\nWeights-Version: 3\r\nSignature: s\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string &Bytes) {
  char Size[20];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Bytes.size());
  return Size + Bytes + "\r\n";
}

inline std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: token-" + std::to_string(Id) + "\n\n";
}

inline const std::string LastChunk = "0\r\n\r\n";

} // namespace fescuegauge::test

#endif // FESCUEGAUGE_LIBGATEWAY_FAKEUPSTREAM_H
