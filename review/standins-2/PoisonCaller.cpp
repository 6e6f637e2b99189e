// Case 10: a lookup that crashes each runner that begins to run it. It comes again with the same path, caller and body.
// Another caller looks up the same path all the time, and that is harmless.
#include "Manifest.h"
#include "Rig.h"

using namespace rig;

namespace {

constexpr int RunnerCount = 6;
constexpr double BackAfter = 3;    // "the runner is back after some seconds"
constexpr double StableWindow = 3; // bounds.stableWindowMs
constexpr double Length = 40;
constexpr double PoisonInterval = 1;

} // namespace

int main(int Count, char **Arguments) {
  Case Of(Count, Arguments);
  // The path of the sound caller; for comparison, OTHER_PATH=1 gives it one of its own.
  const std::string SoundPath = std::getenv("OTHER_PATH") ? "/stock/lids" : "/stock/jars";
  std::mutex Mutex;
  std::vector<double> Crashes, Arrivals;
  std::atomic<int> SoundWhole{0}, SoundRefused{0}, SoundLost{0}, PoisonRefused{0}, PoisonSent{0};
  std::vector<std::unique_ptr<Runner>> Runners;
  std::vector<std::atomic<bool>> IsCrashing(RunnerCount);
  std::atomic<bool> IsOver{false};

  for (int I = 0; I < RunnerCount; ++I)
    Runners.push_back(std::make_unique<Runner>(
        *Of.m_Store, Of.host(40 + I), 8700, "pedidos", "", 6,
        [&, I](Runner &Self, const StreamPtr &Client, const Message &Call) {
          const std::string Id = Call.header("attempt-id");
          const bool IsPoison = Call.header("tenant") == "coop-b";
          if (IsPoison) {
            {
              std::lock_guard Lock(Mutex);
              Arrivals.push_back(now());
            }
            Log.line("poison %s reaches runner %s", Id.c_str(), Self.id().c_str());
          }
          sleepSeconds(0.015);
          if (IsPoison && Of.m_HasTrouble) {
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
          return Client->write(
              response(200, "Attempt-Id: " + Id + "\r\nResponse-Signature: s." + Id + "\r\n", "in stock"));
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

  const auto Send = [&](std::size_t To, const std::string &Key, const std::string &Path, const std::string &Id) {
    const StreamPtr Client = Stream::connect(Entries[To]->host(), 8005);
    if (!Client)
      return 0;
    Client->write("GET " + Path + " HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: " + Id + "\r\nX-Api-Key: " + Key +
                  "\r\nDeadline-Ms: 600\r\n\r\n");
    auto Answer = readHead(*Client, now() + 0.7);
    if (!Answer)
      return 0;
    readBody(*Client, *Answer, now() + 0.7, true);
    return Answer->m_IsWhole ? Answer->m_Status : -Answer->m_Status;
  };
  std::vector<std::thread> Clients;
  const double End = now() + Length;
  for (std::size_t I = 0; I < 6; ++I)
    Clients.emplace_back([&, I] {
      while (now() < End) {
        const std::string Id = newId();
        const int Status = Send(I % Entries.size(), "key-a", SoundPath, Id);
        if (Status == 200)
          ++SoundWhole;
        else if (Status == 503 || Status == 429)
          ++SoundRefused;
        else {
          ++SoundLost;
          Log.line("sound %s ends with %d", Id.c_str(), Status);
        }
        sleepSeconds(0.15);
      }
    });
  Clients.emplace_back([&] {
    sleepSeconds(4);
    for (std::size_t I = 0; now() < End; ++I) {
      const std::string Id = newId();
      ++PoisonSent;
      const int Status = Send(I % Entries.size(), "key-b", "/stock/jars", Id);
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
  Log.line("sound lookups: %d answered, %d refused, %d lost", SoundWhole.load(), SoundRefused.load(), SoundLost.load());
  if (SoundWhole < 50)
    return 2;
  const int Result = Late > 3 ? 1 : 0;
  for (const auto &Each : Entries)
    Each->kill();
  std::error_code Ignored;
  std::filesystem::remove_all(Of.m_Folder, Ignored);
  std::_Exit(Result);
}
