// Case 8: two parts of prompts crash runners. The requests with them, and the sound requests of the same caller, share
// their first part.
#include "Manifest.h"
#include "Rig.h"

using namespace rig;

namespace {

constexpr int RunnerCount = 9;
constexpr double BackAfter = 3;    // "the runner is back after some seconds"
constexpr double StableWindow = 3; // bounds.stableWindowMs
constexpr double BatchInterval = 2;
constexpr int BatchCount = 18;
constexpr int CalmBatches = 5; // before the first request with the faulty part
constexpr std::size_t BatchSize = 9;
constexpr double StartTime = 0.8;      // from the arrival of a request at a runner to its first token
constexpr double PoisonInterval = 1;
constexpr double FirstCrashAfter = 0.15; // after a batch was sent
constexpr double SecondCrashAfter = 0.35;
const std::string PoisonParts[] = {"dead0001", "dead0002"};
const std::string SoundPart = "5c1e07a2";

std::string event(int Number) {
  return "id: " + std::to_string(Number) + "\ndata: five tokens of text\n\n";
}
std::string chunk(const std::string &Bytes) {
  char Size[16];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Bytes.size());
  return Size + Bytes + "\r\n";
}

} // namespace

int main(int Count, char **Arguments) {
  Case Of(Count, Arguments);
  std::mutex Mutex;
  std::vector<double> Crashes, PoisonArrivals;
  std::map<std::string, int> Arrivals;
  std::set<std::string> BegunAtFirst;
  std::map<std::string, double> SentAt;
  std::vector<std::unique_ptr<Runner>> Runners;
  std::vector<std::atomic<bool>> IsCrashing(RunnerCount);
  std::vector<std::atomic<int>> Unstarted(RunnerCount);
  // Those of Unstarted that were at another runner before.
  std::vector<std::atomic<int>> Repeated(RunnerCount);
  std::vector<std::thread> Restarts;
  std::atomic<bool> IsOver{false};

  const auto Crash = [&](int I, const char *Reason) {
    if (IsCrashing[static_cast<std::size_t>(I)].exchange(true))
      return;
    std::lock_guard Lock(Mutex);
    Crashes.push_back(now());
    Log.line("runner %s crashes: %s", Runners[static_cast<std::size_t>(I)]->id().c_str(), Reason);
    Restarts.emplace_back([&, I] {
      Runner &Crashed = *Runners[static_cast<std::size_t>(I)];
      Crashed.end();
      for (double End = now() + BackAfter; now() < End && !IsOver; sleepSeconds(0.05))
        ;
      if (IsOver)
        return;
      Crashed.unlist();
      Crashed.start();
      IsCrashing[static_cast<std::size_t>(I)] = false;
    });
  };

  for (int I = 0; I < RunnerCount; ++I)
    Runners.push_back(std::make_unique<Runner>(
        *Of.m_Store, Of.host(40 + I), 8700, "asistente", "m0", 16,
        [&, I](Runner &Self, const StreamPtr &Client, const Message &Call) {
          const std::string Id = Call.header("attempt-id");
          const bool IsPoison = Call.header("prompt-prefix").find("dead000") != std::string::npos;
          bool IsFirst = false;
          {
            std::lock_guard Lock(Mutex);
            IsFirst = ++Arrivals[Id] == 1;
            if (IsPoison)
              PoisonArrivals.push_back(now());
          }
          if (IsPoison)
            Log.line("%s with a faulty part reaches runner %s", Id.c_str(), Self.id().c_str());
          // Like most runners, it drops a request whose channel closes.
          if (!IsPoison)
            ++Unstarted[static_cast<std::size_t>(I)];
          if (!IsFirst)
            ++Repeated[static_cast<std::size_t>(I)];
          bool IsGone = false;
          for (const double StartAt = now() + StartTime; now() < StartAt && !IsGone; sleepSeconds(0.005)) {
            char Byte = 0;
            const ssize_t Peeked = ::recv(Client->handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
            IsGone = Peeked == 0 || (Peeked < 0 && errno != EAGAIN);
          }
          if (!IsPoison)
            --Unstarted[static_cast<std::size_t>(I)];
          if (!IsFirst)
            --Repeated[static_cast<std::size_t>(I)];
          if (IsGone)
            return false;
          if (IsPoison && Of.m_HasTrouble) {
            Crash(I, "its request with a faulty part");
            return false;
          }
          if (!Client->write("HTTP/1.1 200 OK\r\nAttempt-Id: " + Id + "\r\nResponse-Signature: s." + Id +
                             "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
          for (int Number = std::atoi(Call.header("last-event-id").c_str()) + 1; Number <= 8; ++Number) {
            if (!Client->write(chunk(event(Number))))
              return false;
            if (IsFirst && Number == 1) {
              std::lock_guard Lock(Mutex);
              BegunAtFirst.insert(Id);
            }
            sleepSeconds(0.05);
          }
          return Client->write("0\r\n\r\n");
        }));
  for (const auto &Each : Runners)
    Each->start();
  Of.m_Store->put("op", "config", manifest());
  std::vector<std::unique_ptr<Node>> Entries;
  for (int I = 1; I <= 3; ++I) {
    Entries.push_back(Of.node(I));
    Entries.back()->start();
  }
  for (const auto &Each : Entries)
    if (!Each->waitReady(15))
      return 2;
  sleepSeconds(2);

  const auto Send = [&](std::size_t To, const std::string &Part, const std::string &Id) {
    const StreamPtr Client = Stream::connect(Entries[To]->host(), 8005);
    if (!Client)
      return 0;
    const std::string Body = "prompt " + Id;
    Client->write("POST /quotes/2f HTTP/1.1\r\nHost: quotes.example\r\nAttempt-Id: " + Id +
                  "\r\nX-Api-Key: key-a\r\nModel: m0\r\nToken-Usage: 900,40\r\nPrompt-Prefix: " + SoundPart + ":40," +
                  (Part.empty() ? "" : Part + ":300,") + Id.substr(8) + (Part.empty() ? ":860" : ":560") + "\r\nDeadline-Ms: 6000\r\nContent-Length: " + std::to_string(Body.size()) +
                  "\r\n\r\n" + Body);
    auto Answer = readHead(*Client, now() + 7);
    if (!Answer)
      return 0;
    readBody(*Client, *Answer, now() + 7, true);
    return Answer->m_IsWhole ? Answer->m_Status : -Answer->m_Status;
  };
  const double Begin = now() + 0.5;
  const double End = Begin + BatchInterval * BatchCount;
  std::map<int, int> Ends;
  std::vector<std::thread> Sent;
  // Sound requests come in batches, from one caller.
  std::thread Sound([&] {
    for (int Batch = 0; Batch < BatchCount; ++Batch) {
      sleepSeconds(Begin + BatchInterval * Batch - now());
      std::lock_guard Lock(Mutex);
      for (std::size_t I = 0; I < BatchSize; ++I)
        Sent.emplace_back([&, I] {
          const std::string Id = newId();
          {
            std::lock_guard InnerLock(Mutex);
            SentAt[Id] = now();
          }
          const int Status = Send(I % Entries.size(), "", Id);
          std::lock_guard InnerLock(Mutex);
          ++Ends[Status];
        });
    }
  });
  const double PoisonBegin = Begin + BatchInterval * CalmBatches + FirstCrashAfter - StartTime;
  std::thread Poison([&] {
    for (std::size_t I = 0; now() < End - 2; ++I) {
      // The two parts in turn, each once in PoisonInterval.
      const double Offset = I % 2 == 0 ? 0 : SecondCrashAfter - FirstCrashAfter;
      sleepSeconds(PoisonBegin + PoisonInterval * static_cast<double>(I / 2) + Offset - now());
      std::lock_guard Lock(Mutex);
      Sent.emplace_back([&, I] {
        const std::string Id = newId();
        const int Status = Send(I % Entries.size(), PoisonParts[I % 2], Id);
        Log.line("%s with part %s, at entry %zu, is answered %d", Id.c_str(), PoisonParts[I % 2].c_str(),
                 I % Entries.size() + 1, Status);
      });
    }
  });
  Sound.join();
  Poison.join();
  for (std::thread &Each : Sent)
    Each.join();
  IsOver = true;
  for (std::thread &Each : Restarts)
    Each.join();

  std::lock_guard Lock(Mutex);
  const double From = (Crashes.empty() ? PoisonBegin : Crashes[std::min<std::size_t>(Crashes.size(), 5) - 1]) +
                      2 * StableWindow;
  int CalmSent = 0, CalmBegun = 0, LaterSent = 0, LaterBegun = 0;
  for (const auto &[Id, At] : SentAt) {
    if (At < PoisonBegin - 1.5) {
      ++CalmSent;
      CalmBegun += static_cast<int>(BegunAtFirst.count(Id));
    } else if (At > From) {
      ++LaterSent;
      LaterBegun += static_cast<int>(BegunAtFirst.count(Id));
    }
  }
  Log.line("requests with a faulty part reached runners %zu times and crashed %zu", PoisonArrivals.size(),
           Crashes.size());
  for (const auto &[Status, Number] : Ends)
    Log.line("sound requests that ended with %d: %d", Status, Number);
  Log.line("sound requests begun at the first attempt: %d of %d before, %d of %d later than %.0f s after the fifth "
           "crash (the last, if there are fewer)",
           CalmBegun, CalmSent, LaterBegun, LaterSent, 2 * StableWindow);
  int Result = 2;
  if (CalmSent >= 20 && LaterSent >= 20 && CalmBegun > 0)
    Result = static_cast<double>(LaterBegun) / LaterSent < 0.5 * CalmBegun / CalmSent ? 1 : 0;
  for (const auto &Each : Entries)
    Each->kill();
  std::error_code Ignored;
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(Of.m_Folder, Ignored);
  else
    Log.line("folder %s", Of.m_Folder.c_str());
  std::_Exit(Result);
}
