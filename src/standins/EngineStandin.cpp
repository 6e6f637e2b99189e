#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Manifest.h"
#include "StandinServer.h"

#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <deque>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>
#include <unistd.h>

namespace fescuegauge::standins {
namespace {

namespace json = boost::json;

struct EngineOptions {
  std::uint16_t m_Port = 0;
  /// Acts as a plain service, which runs calls without a model.
  bool m_Plain = false;
  bool m_ChecksFencing = true;
  std::uint64_t m_StagingLimit = 0;
  unsigned m_TokenDelayMs = 0;
  unsigned m_Capacity = 0;
  /// Age of the load shown in status responses, in milliseconds.
  unsigned m_ReportLagMs = 0;
};

/// Staging area: chunks held for loading, up to a limit in bytes.
class Staging {
public:
  explicit Staging(std::uint64_t Limit) : m_Limit(Limit) {}

  bool put(const std::string &Hex, const std::string &Content) {
    std::lock_guard Lock(m_Mutex);
    std::string &Slot = m_Chunks[Hex];
    if (m_Bytes - Slot.size() + Content.size() > m_Limit) {
      if (Slot.empty())
        m_Chunks.erase(Hex);
      return false;
    }
    m_Bytes += Content.size() - Slot.size();
    Slot = Content;
    return true;
  }

  std::string get(const std::string &Hex) const {
    std::lock_guard Lock(m_Mutex);
    auto Found = m_Chunks.find(Hex);
    return Found == m_Chunks.end() ? std::string() : Found->second;
  }

  void erase(const std::string &Hex) {
    std::lock_guard Lock(m_Mutex);
    if (auto Found = m_Chunks.find(Hex); Found != m_Chunks.end()) {
      m_Bytes -= Found->second.size();
      m_Chunks.erase(Found);
    }
  }

  void corrupt(const std::string &Hex) {
    std::lock_guard Lock(m_Mutex);
    if (auto Found = m_Chunks.find(Hex); Found != m_Chunks.end() && !Found->second.empty())
      Found->second[0] = static_cast<char>(Found->second[0] ^ 1);
  }

  json::object list() const {
    std::lock_guard Lock(m_Mutex);
    json::array Chunks;
    for (const auto &[Hex, Content] : m_Chunks)
      Chunks.push_back({{"digest", Hex}, {"size", Content.size()}});
    return {{"chunks", std::move(Chunks)}, {"bytes", m_Bytes}, {"limit", m_Limit}};
  }

private:
  const std::uint64_t m_Limit;
  mutable std::mutex m_Mutex;
  std::map<std::string, std::string> m_Chunks;
  std::uint64_t m_Bytes = 0;
};

/// The stand-in of a model engine or plain service.
class EngineStandin {
public:
  explicit EngineStandin(EngineOptions Options)
      : m_Options(Options), m_Staging(Options.m_StagingLimit) {}

  int run() {
    constexpr int MaxThreads = 128;
    return serve(m_Options.m_Port, MaxThreads,
                 {{"GET /status", [this](Call &Received) { status(Received); }},
                  {"GET /staging", [this](Call &Received) { Received.answer(m_Staging.list()); }},
                  {"PUT /staging/chunks/", [this](Call &Received) { putChunk(Received); }},
                  {"GET /staging/chunks/", [this](Call &Received) { getChunk(Received); }},
                  {"DELETE /staging/chunks/", [this](Call &Received) { eraseChunk(Received); }},
                  {"POST /command", [this](Call &Received) { command(Received); }},
                  {"POST /generate", [this](Call &Received) { generate(Received); }},
                  {"POST /call", [this](Call &Received) { call(Received); }},
                  {"POST /cancel", [this](Call &Received) { cancel(Received); }},
                  {"GET /executions", [this](Call &Received) { executions(Received); }},
                  {"POST /faults", [this](Call &Received) { setFaults(Received); }}});
  }

private:
  static std::string chunkName(const Call &Received) {
    return Received.path().substr(std::strlen("/staging/chunks/"));
  }

  void putChunk(Call &Received) {
    if (m_Staging.put(chunkName(Received), Received.body()))
      Received.answer(json::object{});
    else
      Received.answer(json::object{{"error", "staging is full"}}, 507);
  }

  void getChunk(Call &Received) {
    std::string Content = m_Staging.get(chunkName(Received));
    if (Content.empty())
      Received.answer(json::object{{"error", "no such chunk"}}, 404);
    else
      Received.answerBytes(Content);
  }

  void eraseChunk(Call &Received) {
    m_Staging.erase(chunkName(Received));
    Received.answer(json::object{});
  }

  /// Loads the listed chunks. Like a real engine it does not verify staged chunks; the digest that
  /// it reports is computed from their bytes, so that tests detect corrupt ones.
  void command(Call &Received) {
    json::object Request = Received.jsonBody();
    std::uint64_t Token = numberField(Request, "fencingToken");
    std::lock_guard Lock(m_Mutex);
    if (m_Options.m_ChecksFencing && Token < m_FencingToken)
      return Received.answer(json::object{{"error", "old fencing token"}}, 409);
    std::vector<ChunkRef> Held;
    const json::value *Chunks = Request.if_contains("chunks");
    if (!Chunks || !Chunks->is_array() || Chunks->as_array().empty())
      return Received.answer(json::object{{"error", "no chunks"}}, 422);
    for (const json::value &Chunk : Chunks->as_array()) {
      std::string Hex = textField(Chunk.as_object(), "digest");
      std::string Content = m_Staging.get(Hex);
      if (Content.empty())
        return Received.answer(json::object{{"error", "chunk is not staged"}}, 422);
      Held.push_back({sha256(Content), Bytes(Content.size())});
    }
    m_FencingToken = std::max(m_FencingToken, Token);
    m_ServedVersion = textField(Request, "version");
    m_ServedDigest = Manifest::rootOf(Held).hex();
    m_LoadedToken = Token;
    Received.answer(servedJson());
  }

  json::object servedJson() const {
    return {{"version", m_ServedVersion},
            {"rootDigest", m_ServedDigest},
            {"fencingToken", m_LoadedToken}};
  }

  void status(Call &Received) {
    if (m_Stalled)
      return stall();
    std::lock_guard Lock(m_Mutex);
    recordLoad();
    json::object Answer = servedJson();
    Answer["running"] = m_LoadHistory.front().m_Running;
    Answer["reportAgeMs"] = m_Options.m_ReportLagMs;
    Answer["capacity"] = m_Options.m_Capacity;
    Received.answer(Answer);
  }

  struct LoadSample {
    std::chrono::steady_clock::time_point m_Time;
    int m_Running = 0;
  };

  void recordLoad() {
    auto Now = std::chrono::steady_clock::now();
    m_LoadHistory.push_back({Now, m_Running});
    auto Visible = Now - std::chrono::milliseconds(m_Options.m_ReportLagMs);
    while (m_LoadHistory.size() > 1 && m_LoadHistory[1].m_Time <= Visible)
      m_LoadHistory.pop_front();
  }

  void stall() const {
    while (m_Stalled)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

  /// Counts the start of an execution; tests read the counts to detect duplicate executions. A
  /// prompt with "crash-upstream" ends the process.
  void beginExecution(const json::object &Request) {
    if (textField(Request, "prompt").find("crash-upstream") != std::string::npos)
      _exit(3);
    std::lock_guard Lock(m_Mutex);
    ++m_Executions[textField(Request, "execution", textField(Request, "attempt"))];
  }

  bool isCancelled(const std::string &Attempt) {
    std::lock_guard Lock(m_Mutex);
    return m_Cancelled.contains(Attempt);
  }

  static std::string tokenAt(const std::string &Version, const std::string &Prompt,
                             std::uint64_t Position) {
    std::string Source = Version;
    Source.append(":").append(Prompt).append(":").append(std::to_string(Position));
    return sha256(Source).hex().substr(0, 7).append(" ");
  }

  /// Streams tokens that depend only on the served version, the prompt and the position, so that
  /// tests can compute the expected response and streams can be resumed.
  void generate(Call &Received) {
    json::object Request = Received.jsonBody();
    std::string Version;
    {
      std::lock_guard Lock(m_Mutex);
      Version = m_ServedDigest;
    }
    if (Version.empty())
      return Received.answer(json::object{{"error", "no model is loaded"}}, 503);
    beginExecution(Request);
    std::string Prompt = textField(Request, "prompt");
    std::uint64_t Tokens = std::min<std::uint64_t>(numberField(Request, "maxTokens", 16), 4096);
    std::uint64_t Skip = numberField(Request, "resumeFrom");
    ++m_Running;
    Received.response().setChunkedTransferEncoding(true);
    Received.response().setContentType("text/event-stream");
    Received.response().set("Served-Digest", Version);
    std::ostream &Out = Received.response().send();
    std::uint64_t Offset = 0;
    for (std::uint64_t I = 0; I < Tokens && Out.good(); ++I) {
      std::string Token = tokenAt(Version, Prompt, I);
      Offset += Token.size();
      if (Offset <= Skip)
        continue;
      std::this_thread::sleep_for(std::chrono::milliseconds(m_Options.m_TokenDelayMs));
      if (isCancelled(textField(Request, "attempt"))) {
        Received.abortConnection();
        break;
      }
      if (m_Stalled)
        stall();
      std::uint64_t Cut = Offset - Skip < Token.size() ? Token.size() - (Offset - Skip) : 0;
      Out << "data: " << json::serialize(json::object{{"text", Token.substr(Cut)}}) << "\n\n"
          << std::flush;
      if (I + 1 == Tokens)
        Out << "data: [DONE]\n\n" << std::flush;
    }
    --m_Running;
  }

  void call(Call &Received) {
    json::object Request = Received.jsonBody();
    ++m_Running;
    beginExecution(Request);
    std::this_thread::sleep_for(std::chrono::milliseconds(m_Options.m_TokenDelayMs));
    std::string Text = textField(Request, "prompt");
    Received.answer(json::object{{"result", sha256("plain:" + Text).hex()}});
    --m_Running;
  }

  void cancel(Call &Received) {
    std::lock_guard Lock(m_Mutex);
    constexpr std::size_t MaxCancelled = 10000;
    if (m_Cancelled.size() < MaxCancelled)
      m_Cancelled.insert(textField(Received.jsonBody(), "attempt"));
    Received.answer(json::object{});
  }

  void executions(Call &Received) {
    std::lock_guard Lock(m_Mutex);
    json::object Counts;
    for (const auto &[Name, Count] : m_Executions)
      Counts[Name] = Count;
    Received.answer(Counts);
  }

  void setFaults(Call &Received) {
    json::object Changes = Received.jsonBody();
    m_Stalled = boolField(Changes, "stalled");
    if (std::string Hex = textField(Changes, "corruptChunk"); !Hex.empty())
      m_Staging.corrupt(Hex);
    Received.answer(json::object{});
  }

  const EngineOptions m_Options;
  Staging m_Staging;
  std::mutex m_Mutex;
  std::string m_ServedVersion;
  std::string m_ServedDigest;
  std::uint64_t m_FencingToken = 0;
  std::uint64_t m_LoadedToken = 0;
  std::atomic<int> m_Running{0};
  std::atomic<bool> m_Stalled{false};
  std::deque<LoadSample> m_LoadHistory;
  std::map<std::string, std::uint64_t> m_Executions;
  std::set<std::string> m_Cancelled;
};

} // namespace
} // namespace fescuegauge::standins

int main(int ArgumentCount, char **Arguments) {
  namespace options = boost::program_options;
  fescuegauge::standins::EngineOptions Chosen;
  options::options_description Known(
      "fescuegauge-standin-engine: a stand-in for a model engine or a plain service");
  // clang-format off
  Known.add_options()
      ("help", "print this text")
      ("port", options::value(&Chosen.m_Port)->default_value(0), "TCP port on 127.0.0.1; 0 lets the kernel choose")
      ("plain", options::bool_switch(&Chosen.m_Plain), "be a plain service without a model")
      ("checks-fencing", options::value(&Chosen.m_ChecksFencing)->default_value(true), "refuse commands with an old fencing token")
      ("staging-limit-bytes", options::value(&Chosen.m_StagingLimit)->default_value(512u << 20), "size of the staging area")
      ("token-delay-ms", options::value(&Chosen.m_TokenDelayMs)->default_value(2), "time between two tokens")
      ("capacity", options::value(&Chosen.m_Capacity)->default_value(16), "requests that run at once")
      ("report-lag-ms", options::value(&Chosen.m_ReportLagMs)->default_value(200), "lag of load reports");
  // clang-format on
  try {
    options::variables_map Values;
    options::store(options::parse_command_line(ArgumentCount, Arguments, Known), Values);
    options::notify(Values);
    if (Values.contains("help")) {
      std::cout << Known;
      return 0;
    }
    return fescuegauge::standins::EngineStandin(Chosen).run();
  } catch (const std::exception &Error) {
    std::cerr << "fescuegauge-standin-engine: " << Error.what() << '\n';
    return 2;
  }
}
