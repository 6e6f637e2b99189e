// Stand-ins of the platform's store, of runners and of clients, for the scripts of the second review.
//
// Everything speaks HTTP/1.1 over loopback with one thread a connection. The store keeps rows in memory and
// serves rows-get, rows-feed and rows-tx. A runner runs requests by a function that the case passes in.
#ifndef REVIEW_STANDINS_2_RIG_H
#define REVIEW_STANDINS_2_RIG_H

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using Headers = std::map<std::string, std::string>;

inline const Clock::time_point Start = Clock::now();
inline double now() { return std::chrono::duration<double>(Clock::now() - Start).count(); }
inline void sleepSeconds(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}
inline std::uint64_t unixMilliseconds() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

// The record of the case: what was sent, answered and run.
class Record {
public:
  void open(const std::string &Path) { m_File = std::fopen(Path.c_str(), "w"); }
  __attribute__((format(printf, 2, 3))) void line(const char *Format, ...) {
    std::lock_guard Lock(m_Mutex);
    std::FILE *To = m_File ? m_File : stdout;
    std::fprintf(To, "%8.3f ", now());
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(To, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', To);
    std::fflush(To);
  }

private:
  std::mutex m_Mutex;
  std::FILE *m_File = nullptr;
};
inline Record Log;

inline std::string lower(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Text;
}

inline std::string base64(const std::string &Bytes) {
  static const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned Word = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Word = Word << 8 | (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J]) : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Result += I + J <= Bytes.size() ? Digits[Word >> (18 - 6 * J) & 63] : '=';
  }
  return Result;
}

// One TCP connection with a read buffer.
class Stream {
public:
  explicit Stream(int Handle) : m_Handle(Handle) {
    int On = 1;
    ::setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }
  ~Stream() { close(); }
  Stream(const Stream &) = delete;

  static std::shared_ptr<Stream> connect(const std::string &Host, int Port, double Timeout = 1) {
    const int Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(static_cast<std::uint16_t>(Port));
    ::inet_pton(AF_INET, Host.c_str(), &To.sin_addr);
    timeval Limit{static_cast<time_t>(Timeout),
                  static_cast<suseconds_t>((Timeout - static_cast<long>(Timeout)) * 1e6)};
    ::setsockopt(Handle, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
    if (::connect(Handle, reinterpret_cast<sockaddr *>(&To), sizeof To) != 0) {
      ::close(Handle);
      return nullptr;
    }
    return std::make_shared<Stream>(Handle);
  }

  bool write(const std::string &Bytes) {
    for (std::size_t Sent = 0; Sent < Bytes.size();) {
      const ssize_t Count =
          ::send(m_Handle, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Sent += static_cast<std::size_t>(Count);
    }
    return true;
  }
  // Reads more bytes into the buffer. Returns the count, 0 at the end, -1 after an error or at `Until`.
  int fill(double Until) {
    const double Left = Until - now();
    pollfd Wait{m_Handle, POLLIN, 0};
    if (Left <= 0 || ::poll(&Wait, 1, static_cast<int>(Left * 1e3) + 1) <= 0)
      return -1;
    char Bytes[16384];
    const ssize_t Count = ::recv(m_Handle, Bytes, sizeof Bytes, 0);
    if (Count > 0)
      m_Buffer.append(Bytes, static_cast<std::size_t>(Count));
    m_WasReset = m_WasReset || Count < 0;
    return static_cast<int>(Count);
  }
  std::string &buffer() { return m_Buffer; }
  bool wasReset() const { return m_WasReset; }
  // Ends the connection as the end of a process does.
  void shutdown() { ::shutdown(m_Handle, SHUT_RDWR); }
  void close() {
    if (m_Handle >= 0)
      ::close(m_Handle);
    m_Handle = -1;
  }
  int handle() const { return m_Handle; }

private:
  int m_Handle;
  std::string m_Buffer;
  bool m_WasReset = false;
};
using StreamPtr = std::shared_ptr<Stream>;

struct Message {
  std::string m_First; // request or status line
  std::string m_Method, m_Target;
  int m_Status = 0;
  Headers m_Headers; // names in lower case
  std::string m_Body;
  bool m_IsWhole = false;
  std::string header(const std::string &Name) const {
    auto Found = m_Headers.find(lower(Name));
    return Found == m_Headers.end() ? "" : Found->second;
  }
};

inline bool readUntil(Stream &From, const std::string &End, double Until, std::size_t &At) {
  while ((At = From.buffer().find(End)) == std::string::npos)
    if (From.fill(Until) <= 0)
      return false;
  return true;
}

// Reads the head of a message. Returns nothing if the connection ends before it is complete.
inline std::optional<Message> readHead(Stream &From, double Until) {
  std::size_t At = 0;
  if (!readUntil(From, "\r\n\r\n", Until, At))
    return std::nullopt;
  std::istringstream Head(From.buffer().substr(0, At));
  From.buffer().erase(0, At + 4);
  Message Result;
  std::string Line;
  std::getline(Head, Line);
  if (!Line.empty() && Line.back() == '\r')
    Line.pop_back();
  Result.m_First = Line;
  std::istringstream First(Line);
  First >> Result.m_Method >> Result.m_Target;
  if (Result.m_Method.rfind("HTTP/", 0) == 0)
    Result.m_Status = std::atoi(Result.m_Target.c_str());
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t Value = Colon + 1;
    while (Value < Line.size() && Line[Value] == ' ')
      ++Value;
    Result.m_Headers[lower(Line.substr(0, Colon))] = Line.substr(Value);
  }
  return Result;
}

// Reads the body. `m_IsWhole` tells whether it ended as its head announced.
inline void readBody(Stream &From, Message &Of, double Until, bool IsResponse) {
  const auto Need = [&](std::size_t Size) {
    while (From.buffer().size() < Size)
      if (From.fill(Until) <= 0)
        return false;
    return true;
  };
  if (lower(Of.header("transfer-encoding")) == "chunked") {
    while (true) {
      std::size_t At = 0;
      if (!readUntil(From, "\r\n", Until, At))
        return;
      const std::size_t Size = std::strtoul(From.buffer().c_str(), nullptr, 16);
      From.buffer().erase(0, At + 2);
      if (!Need(Size + 2)) {
        Of.m_Body += From.buffer().substr(0, Size);
        return;
      }
      Of.m_Body += From.buffer().substr(0, Size);
      From.buffer().erase(0, Size + 2);
      if (Size == 0) {
        Of.m_IsWhole = true;
        return;
      }
    }
  }
  if (!Of.header("content-length").empty()) {
    const std::size_t Size = std::strtoul(Of.header("content-length").c_str(), nullptr, 10);
    Of.m_IsWhole = Need(Size);
    Of.m_Body = From.buffer().substr(0, Size);
    From.buffer().erase(0, Of.m_Body.size());
    return;
  }
  if (!IsResponse || Of.m_Status == 204 || Of.m_Status == 304) {
    Of.m_IsWhole = true;
    return;
  }
  int Count = 1;
  while (Count > 0)
    Count = From.fill(Until);
  Of.m_IsWhole = Count == 0;
  Of.m_Body = std::move(From.buffer());
  From.buffer().clear();
}

// Listens at an address and serves each connection on a thread of its own.
class Server {
public:
  using Handler = std::function<void(const StreamPtr &)>;
  Server(std::string Host, int Port, Handler Serve)
      : m_Host(std::move(Host)), m_Port(Port), m_Serve(std::move(Serve)) {}
  ~Server() { stop(); }

  void start() {
    m_Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    ::setsockopt(m_Handle, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(static_cast<std::uint16_t>(m_Port));
    ::inet_pton(AF_INET, m_Host.c_str(), &At.sin_addr);
    if (::bind(m_Handle, reinterpret_cast<sockaddr *>(&At), sizeof At) != 0 ||
        ::listen(m_Handle, 256) != 0) {
      Log.line("cannot listen at %s:%d: %s", m_Host.c_str(), m_Port, std::strerror(errno));
      std::_Exit(2);
    }
    m_IsUp = true;
    m_Acceptor = std::thread([this] { accept(); });
  }
  // Closes the listener and all connections, as the end of the process does.
  void stop() {
    if (!m_IsUp.exchange(false))
      return;
    ::shutdown(m_Handle, SHUT_RDWR);
    if (m_Acceptor.joinable())
      m_Acceptor.join();
    ::close(m_Handle);
    std::lock_guard Lock(m_Mutex);
    for (const auto &Each : m_Open)
      if (const StreamPtr Open = Each.lock())
        Open->shutdown();
    m_Open.clear();
  }
  bool isUp() const { return m_IsUp; }
  std::string address() const { return m_Host + ":" + std::to_string(m_Port); }

private:
  void accept() {
    while (m_IsUp) {
      const int Handle = ::accept4(m_Handle, nullptr, nullptr, SOCK_CLOEXEC);
      if (Handle < 0)
        continue;
      auto Opened = std::make_shared<Stream>(Handle);
      {
        std::lock_guard Lock(m_Mutex);
        std::erase_if(m_Open, [](const auto &Each) { return Each.expired(); });
        m_Open.push_back(Opened);
      }
      std::thread([Serve = m_Serve, Opened] { Serve(Opened); }).detach();
    }
  }

  std::string m_Host;
  int m_Port;
  Handler m_Serve;
  int m_Handle = -1;
  std::atomic<bool> m_IsUp{false};
  std::thread m_Acceptor;
  std::mutex m_Mutex;
  std::vector<std::weak_ptr<Stream>> m_Open;
};

inline std::string response(int Status, const std::string &ExtraHeaders, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + ExtraHeaders +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

// The platform's store, as far as the system calls it.
class Store {
public:
  Store(const std::string &Host, int Port)
      : m_Server(Host, Port, [this](const StreamPtr &Client) { serve(Client); }) {
    m_Server.start();
  }
  std::string address() const { return m_Server.address(); }

  void put(const std::string &Table, const std::string &Key, const std::string &Value) {
    std::lock_guard Lock(m_Mutex);
    m_Rows[{Table, Key}] = {base64(Value), ++m_Version, false};
    m_Changed.notify_all();
  }
  void remove(const std::string &Table, const std::string &Key) {
    std::lock_guard Lock(m_Mutex);
    m_Rows[{Table, Key}] = {"", ++m_Version, true};
    m_Changed.notify_all();
  }

private:
  struct Row {
    std::string m_Value;
    std::uint64_t m_Version = 0;
    bool m_IsRemoved = false;
  };

  static std::map<std::string, std::string> query(const std::string &Target) {
    std::map<std::string, std::string> Result;
    const std::size_t Mark = Target.find('?');
    std::istringstream Parts(Mark == std::string::npos ? "" : Target.substr(Mark + 1));
    std::string Part;
    while (std::getline(Parts, Part, '&')) {
      const std::size_t Equals = Part.find('=');
      std::string Value;
      for (std::size_t I = Equals + 1; Equals != std::string::npos && I < Part.size(); ++I) {
        if (Part[I] == '%' && I + 2 < Part.size()) {
          Value += static_cast<char>(std::strtol(Part.substr(I + 1, 2).c_str(), nullptr, 16));
          I += 2;
        } else {
          Value += Part[I];
        }
      }
      Result[Part.substr(0, Equals)] = Value;
    }
    return Result;
  }
  static std::string rowText(const std::string &Table, const std::string &Key, const Row &Of) {
    return R"({"table":")" + Table + R"(","part":"","key":")" + Key + R"(",)" +
           (Of.m_IsRemoved ? R"("deleted":true)" : R"("value":")" + Of.m_Value + "\"") +
           R"(,"recordVersion":)" + std::to_string(Of.m_Version) + "}";
  }
  std::string rowsText(const std::vector<std::string> &Rows) const {
    std::string Text = R"({"rows":[)";
    for (std::size_t I = 0; I < Rows.size(); ++I)
      Text += (I ? "," : "") + Rows[I];
    return Text + R"(],"hasMore":false,"recordVersion":)" + std::to_string(m_Version) +
           R"(,"currentTimeMs":)" + std::to_string(static_cast<long>(now() * 1e3)) + "}";
  }
  static std::string field(const std::string &Json, const std::string &Name, std::size_t From) {
    const std::string Mark = "\"" + Name + "\":\"";
    const std::size_t At = Json.find(Mark, From);
    if (At == std::string::npos)
      return "";
    return Json.substr(At + Mark.size(), Json.find('"', At + Mark.size()) - At - Mark.size());
  }

  std::string answer(const Message &Call) {
    const auto Query = query(Call.m_Target);
    const std::string Path = Call.m_Target.substr(0, Call.m_Target.find('?'));
    const auto Get = [&](const char *Name) {
      auto Found = Query.find(Name);
      return Found == Query.end() ? std::string() : Found->second;
    };
    const std::string Table = Get("table");
    std::unique_lock Lock(m_Mutex);
    std::vector<std::string> Rows;
    if (Path == "/v1/rows-get") {
      for (const auto &[Name, Each] : m_Rows)
        if (Name.first == Table && !Each.m_IsRemoved && Name.second >= Get("from"))
          Rows.push_back(rowText(Table, Name.second, Each));
      return response(200, "Content-Type: application/json\r\n", rowsText(Rows));
    }
    if (Path == "/v1/rows-feed") {
      const std::uint64_t After = std::strtoull(Get("afterRevision").c_str(), nullptr, 10);
      const auto End = Clock::now() + std::chrono::milliseconds(std::atoi(Get("waitMs").c_str()));
      while (true) {
        std::map<std::uint64_t, std::string> ByVersion;
        for (const auto &[Name, Each] : m_Rows)
          if (Name.first == Table && Each.m_Version > After)
            ByVersion[Each.m_Version] = rowText(Table, Name.second, Each);
        for (const auto &[Version, Text] : ByVersion)
          Rows.push_back(Text);
        if (!Rows.empty() || m_Changed.wait_until(Lock, End) == std::cv_status::timeout)
          break;
      }
      return response(200, "Content-Type: application/json\r\n", rowsText(Rows));
    }
    if (Path == "/v1/rows-tx") {
      // The system writes one row a call, without a precondition.
      const std::size_t Write = Call.m_Body.find("\"write\"");
      const std::string Into = field(Call.m_Body, "table", Write);
      if (Into.empty() || Into == "op" || Into == "servers")
        return response(403, "", "");
      m_Rows[{Into, field(Call.m_Body, "key", Write)}] = {field(Call.m_Body, "value", Write),
                                                          ++m_Version, false};
      m_Changed.notify_all();
      return response(200, "Content-Type: application/json\r\n", rowsText({}));
    }
    return response(404, "", "");
  }
  void serve(const StreamPtr &Client) {
    while (auto Call = readHead(*Client, now() + 600)) {
      readBody(*Client, *Call, now() + 5, false);
      if (!Client->write(answer(*Call)))
        return;
    }
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::pair<std::string, std::string>, Row> m_Rows;
  std::uint64_t m_Version = 1;
  Server m_Server;
};

// A runner. Each start is a lifetime with an id of its own, listed in the store.
class Runner {
public:
  // Runs one request and writes its answer. Returns false if the connection must end.
  using Work = std::function<bool(Runner &, const StreamPtr &, const Message &)>;
  Runner(Store &Listing, std::string Host, int Port, std::string Service, std::string Model, int Slots, Work Run)
      : m_Store(Listing), m_Service(std::move(Service)), m_Model(std::move(Model)), m_Slots(Slots),
        m_Run(std::move(Run)), m_Server(Host, Port, [this](const StreamPtr &Client) { serve(Client); }) {}

  void start() {
    m_Id = "i-" + std::to_string(::getpid()) + "-" + std::to_string(++LastNumber);
    m_Born = unixMilliseconds();
    m_Server.start();
    list("ready");
    Log.line("runner %s up at %s", m_Id.c_str(), m_Server.address().c_str());
  }
  void list(const std::string &State) {
    m_Store.put("servers", m_Id,
                R"({"service":")" + m_Service + R"(","address":")" + m_Server.address() +
                    R"(","zone":"cartago-a","version":"v1","slots":)" + std::to_string(m_Slots) +
                    R"(,"state":")" + State + R"(","coldRemainingMs":0,"born":)" + std::to_string(m_Born) +
                    (m_Model.empty() ? ""
                                     : R"(,"phase":"combined","models":[{"name":")" + m_Model +
                                           R"(","version":1,"adapters":[]}])") +
                    R"(,"sequence":1})");
  }
  void unlist() { m_Store.remove("servers", m_Id); }
  // Ends the process of this lifetime: the port refuses, and all connections close.
  void end() { m_Server.stop(); }
  bool isUp() const { return m_Server.isUp(); }
  const std::string &id() const { return m_Id; }
  std::string address() const { return m_Server.address(); }

private:
  void serve(const StreamPtr &Client) {
    while (auto Call = readHead(*Client, now() + 600)) {
      const std::string Echo = "Attempt-Id: " + Call->header("attempt-id") + "\r\n";
      readBody(*Client, *Call, now() + 10, false);
      if (!Call->m_IsWhole)
        return;
      const std::string Expected = Call->header("expected-instance");
      if (!Expected.empty() && Expected != m_Id) {
        if (!Client->write(response(421, Echo + "Instance-Id: " + m_Id + "\r\n", "")))
          return;
        continue;
      }
      if (!m_Run(*this, Client, *Call))
        return;
    }
  }

  static inline std::atomic<int> LastNumber{0};
  Store &m_Store;
  std::string m_Service, m_Model;
  int m_Slots;
  Work m_Run;
  std::string m_Id;
  std::uint64_t m_Born = 0;
  Server m_Server;
};

// An entry instance: the program that the deploy file places, as a process of its own.
class Node {
public:
  Node(const std::string &Root, const std::string &Folder, const std::string &Name, const std::string &Host,
       const std::string &StoreAddress)
      : m_Name(Name), m_Host(Host), m_Folder(Folder) {
    const std::string Settings = Folder + "/" + Name + ".conf";
    std::ofstream(Settings) << "nodeName=" << Name << "\nrole=entry\nmachineClass=frontend\nserves=frontend\nip="
                            << Host << "\nzone=cartago-a\nregion=central-valley\n"
                            << "zones.cartago-a=central-valley\nzones.liberia-a=guanacaste\nzones.limon-a=caribe\n"
                            << "listenAddresses.frontend=" << Host << ":8005\nlistenAddresses.ready=" << Host
                            << ":8002\ninternalPortRange=7700,7715\nbootstrap=true\nfaultCounted=false\n"
                            << "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
                            << "limits.fileDescriptors=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
                            << "discovery=platform\nentryPoint=virtual_ip\nheartbeatMs=1200\n"
                            << "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,chunks\n"
                            << "bounds.seedLagS=3\nbounds.addressReuseS=2\nbounds.stableWindowMs=3000\n"
                            << "bounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n"
                            << "bounds.configApplyMs=2000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
                            << "bounds.retryBudgetSlack=104\nbounds.recoveryS=12\nbounds.version_ms=8000\n"
                            << "platform.address=" << StoreAddress << "\nplatform.form=table\n";
    m_Program = Root + "/target/platform/fescuegauge-node";
    m_Settings = Settings;
  }
  ~Node() { kill(); }

  void start() {
    const std::string Output = m_Folder + "/" + m_Name + ".log";
    m_Process = ::fork();
    if (m_Process == 0) {
      // It ends with the case, also if that is interrupted.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int File = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(File, 1);
      ::dup2(File, 2);
      ::setenv("FESCUEGAUGE_SETTINGS", m_Settings.c_str(), 1);
      ::execl(m_Program.c_str(), m_Program.c_str(), static_cast<char *>(nullptr));
      std::_Exit(127);
    }
  }
  bool waitReady(double Seconds) {
    for (const double End = now() + Seconds; now() < End; sleepSeconds(0.05))
      if (const StreamPtr Asked = Stream::connect(m_Host, 8002)) {
        Asked->write("GET /v1/readiness HTTP/1.1\r\nHost: " + m_Host + "\r\nConnection: close\r\n\r\n");
        if (const auto Head = readHead(*Asked, now() + 1); Head && Head->m_Status == 200)
          return true;
      }
    return false;
  }
  void signal(int Number) { ::kill(m_Process, Number); }
  bool hasEnded() {
    int Status = 0;
    if (m_Process > 0 && ::waitpid(m_Process, &Status, WNOHANG) == m_Process) {
      m_Process = -1;
      m_Status = Status;
    }
    return m_Process < 0;
  }
  void kill() {
    if (m_Process > 0) {
      ::kill(m_Process, SIGKILL);
      ::waitpid(m_Process, nullptr, 0);
    }
    m_Process = -1;
  }
  const std::string &host() const { return m_Host; }
  const std::string &name() const { return m_Name; }
  pid_t process() const { return m_Process; }
  int status() const { return m_Status; }

private:
  std::string m_Name, m_Host, m_Folder, m_Program, m_Settings;
  pid_t m_Process = -1;
  int m_Status = 0;
};

// The frame of a case: a network of loopback addresses of its own, a temporary folder, the store.
struct Case {
  Case(int Count, char **Arguments) {
    if (Count < 3) {
      std::fprintf(stderr, "usage: PROGRAM ROOT RECORD\n");
      std::_Exit(2);
    }
    ::signal(SIGPIPE, SIG_IGN);
    m_Root = Arguments[1];
    Log.open(Arguments[2]);
    char Template[] = "/tmp/review-2-XXXXXX";
    m_Folder = ::mkdtemp(Template);
    const char *Wanted = std::getenv("TROUBLE");
    m_HasTrouble = !(Wanted && std::string(Wanted) == "0");
    const int Process = ::getpid();
    m_Network = "127." + std::to_string(10 + Process % 200) + "." + std::to_string(Process / 200 % 250) + ".";
    m_Store = std::make_unique<Store>(host(2), 8007);
    Log.line("disruption: %s", m_HasTrouble ? "yes" : "no");
  }
  ~Case() {
    std::error_code Ignored;
    if (!std::getenv("KEEP"))
      std::filesystem::remove_all(m_Folder, Ignored);
  }
  std::string host(int Number) const { return m_Network + std::to_string(Number); }
  std::unique_ptr<Node> node(int Number) const {
    return std::make_unique<Node>(m_Root, m_Folder, "frontend-cartago-a-" + std::to_string(Number),
                                  host(10 + Number), m_Store->address());
  }

  std::string m_Root, m_Folder, m_Network;
  bool m_HasTrouble = true;
  std::unique_ptr<Store> m_Store;
};

inline std::string newId() {
  static std::atomic<unsigned> Last{0};
  char Text[32];
  std::snprintf(Text, sizeof Text, "%08x%08x", static_cast<unsigned>(::getpid()) * 2654435761U, ++Last);
  return Text;
}

} // namespace rig

#endif // REVIEW_STANDINS_2_RIG_H
