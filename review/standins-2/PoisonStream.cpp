// Case 9: a streaming request that crashes each runner that begins to run it. It comes again and again, as
// the pages say, with the same path, caller and body. The runner's process ends in the middle of the first event.
#include "Manifest.h"
#include "Rig.h"

using namespace rig;

namespace {

constexpr int RunnerCount = 6;
constexpr double BackAfter = 3;     // "the runner is back after some seconds"
constexpr double StableWindow = 3;  // bounds.stableWindowMs
constexpr double Length = 45;
constexpr double PoisonInterval = 1;
const std::string PoisonBody = "the body that crashes runners";

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
  // Where the crash comes: "head" (nothing sent), "middle" (within the first event), "event" (after it).
  const char *Mode = std::getenv("CRASH_AT");
  const std::string CrashAt = Mode ? Mode : "middle";
  std::mutex Mutex;
  std::vector<double> Crashes, Arrivals;
  std::map<std::string, int> CutByCrash;
  std::atomic<int> SoundWhole{0}, SoundCut{0}, SoundRefused{0}, PoisonRefused{0}, PoisonSent{0};
  std::vector<std::unique_ptr<Runner>> Runners;
  std::vector<std::atomic<bool>> IsCrashing(RunnerCount);
  std::atomic<bool> IsOver{false};

  for (int I = 0; I < RunnerCount; ++I)
    Runners.push_back(std::make_unique<Runner>(
        *Of.m_Store, Of.host(40 + I), 8700, "asistente", "m0", 16,
        [&, I](Runner &Self, const StreamPtr &Client, const Message &Call) {
          const std::string Id = Call.header("attempt-id");
          const std::string Head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id + "\r\nResponse-Signature: s." + Id +
                                   "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n";
          const bool IsPoison = Call.m_Body == PoisonBody;
          if (IsPoison) {
            {
              std::lock_guard Lock(Mutex);
              Arrivals.push_back(now());
            }
            Log.line("poison %s reaches runner %s", Id.c_str(), Self.id().c_str());
          }
          sleepSeconds(0.03);
          if (IsPoison && Of.m_HasTrouble) {
            if (CrashAt == "middle")
              Client->write(Head + chunk(event(1).substr(0, 14)));
            else if (CrashAt == "event")
              Client->write(Head + chunk(event(1)));
            sleepSeconds(0.005);
            if (!IsCrashing[static_cast<std::size_t>(I)].exchange(true)) {
              {
                std::lock_guard Lock(Mutex);
                Crashes.push_back(now());
              }
              Log.line("runner %s crashes", Self.id().c_str());
              std::thread([&, I] {
                Runner &Crashed = *Runners[static_cast<std::size_t>(I)];
                Crashed.end();
                for (double End = now() + BackAfter; now() < End && !IsOver; sleepSeconds(0.05))
                  ;
                if (IsOver)
                  return;
                Crashed.unlist();
                Crashed.start();
                IsCrashing[static_cast<std::size_t>(I)] = false;
              }).detach();
            }
            return false;
          }
          if (!Client->write(Head))
            return false;
          const int From = std::atoi(Call.header("last-event-id").c_str()) + 1;
          for (int Number = From; Number <= 8; ++Number) {
            if (!Client->write(chunk(event(Number))))
              return false;
            sleepSeconds(0.08);
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

  const auto Send = [&](std::size_t To, const std::string &Body, const std::string &Id) -> int {
    const StreamPtr Client = Stream::connect(Entries[To]->host(), 8005);
    if (!Client)
      return 0;
    Client->write("POST /quotes/2f HTTP/1.1\r\nHost: quotes.example\r\nAttempt-Id: " + Id +
                  "\r\nX-Api-Key: " + (Body == PoisonBody ? "key-b" : "key-a") +
                  "\r\nModel: m0\r\nToken-Usage: 900,40\r\nPrompt-Prefix: 5c1e07a2:40," + Id.substr(8) +
                  ":860\r\nDeadline-Ms: 6000\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body);
    auto Answer = readHead(*Client, now() + 7);
    if (!Answer)
      return 0;
    readBody(*Client, *Answer, now() + 7, true);
    return Answer->m_IsWhole ? Answer->m_Status : -Answer->m_Status;
  };
  std::vector<std::thread> Clients;
  const double End = now() + Length;
  // Sound callers keep the runners busy and earn the retry budget.
  for (std::size_t I = 0; I < 12; ++I)
    Clients.emplace_back([&, I] {
      while (now() < End) {
        const std::string Id = newId();
        const int Status = Send(I % Entries.size(), "sound " + Id, Id);
        if (Status == 200)
          ++SoundWhole;
        else if (Status == 503 || Status == 429)
          ++SoundRefused;
        else {
          ++SoundCut;
          Log.line("sound %s ends without its whole answer (%d)", Id.c_str(), Status);
        }
        sleepSeconds(0.05);
      }
    });
  Clients.emplace_back([&] {
    sleepSeconds(4);
    for (std::size_t I = 0; now() < End; ++I) {
      const std::string Id = newId();
      ++PoisonSent;
      const int Status = Send(I % Entries.size(), PoisonBody, Id);
      PoisonRefused += Status == 503;
      Log.line("poison %s sent to entry %zu, answered %d", Id.c_str(), I % Entries.size() + 1, Status);
      sleepSeconds(PoisonInterval);
    }
  });
  for (std::thread &Each : Clients)
    Each.join();
  IsOver = true;
  sleepSeconds(0.3);

  std::lock_guard Lock(Mutex);
  int Late = 0;
  if (Crashes.size() >= 3)
    for (const double At : Arrivals)
      Late += At > Crashes[2] + StableWindow;
  Log.line("poison: %d sent, %d refused, %zu arrivals, %zu crashes; %d arrivals later than %.0f s after the third "
           "crash (3 are allowed)",
           PoisonSent.load(), PoisonRefused.load(), Arrivals.size(), Crashes.size(), Late, StableWindow);
  Log.line("sound streams: %d whole, %d refused, %d cut", SoundWhole.load(), SoundRefused.load(), SoundCut.load());
  if (SoundWhole < 50)
    return 2;
  std::fflush(nullptr);
  const int Result = Late > 3 ? 1 : 0;
  for (const auto &Each : Entries)
    Each->kill();
  std::error_code Ignored;
  std::filesystem::remove_all(Of.m_Folder, Ignored);
  std::_Exit(Result);
}
