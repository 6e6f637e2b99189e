// Case 8: runners are taken away two seconds after their notice, while they still write streams. Three in a hundred
// streams of three runners in five have neither a length nor chunks, and end with their channel.
#include "Manifest.h"
#include "Rig.h"

using namespace rig;

namespace {

constexpr int RunnerCount = 5;
constexpr int UnframedRunners = 3;  // share 0.6
constexpr int UnframedInterval = 34; // under 0.03 of the answers
constexpr int EventCount = 50;
constexpr double EventInterval = 0.1;
constexpr double NoticeTime = 2;    // "they are gone x s (2) after the notice"
constexpr double OthersComeAfter = 4; // "others come 4 s later"
constexpr double Length = 50;
constexpr std::size_t ClientCount = 60;

std::string event(const std::string &Id, int Number) {
  return "id: " + std::to_string(Number) + "\ndata: " + Id + "/" + std::to_string(Number) + "\n\n";
}
std::string chunk(const std::string &Bytes) {
  char Size[16];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Bytes.size());
  return Size + Bytes + "\r\n";
}

} // namespace

int main(int Count, char **Arguments) {
  Case Of(Count, Arguments);
  std::vector<std::unique_ptr<Runner>> Runners;
  std::vector<std::atomic<int>> Answers(RunnerCount);
  std::atomic<int> Leaving{-1}, Leavings{0}, Unframed{0};
  std::atomic<bool> IsOver{false};
  std::vector<std::thread> Removals;
  std::mutex Mutex;

  const auto TakeAway = [&](int I) {
    Runner &Taken = *Runners[static_cast<std::size_t>(I)];
    sleepSeconds(0.5);
    Taken.list("draining");
    Log.line("runner %s gets its notice", Taken.id().c_str());
    ++Leavings;
    sleepSeconds(NoticeTime);
    Taken.end();
    Taken.unlist();
    Log.line("runner %s is gone", Taken.id().c_str());
    for (double End = now() + OthersComeAfter; now() < End && !IsOver; sleepSeconds(0.05))
      ;
    if (!IsOver)
      Taken.start();
    Leaving = -1;
  };
  for (int I = 0; I < RunnerCount; ++I)
    Runners.push_back(std::make_unique<Runner>(
        *Of.m_Store, Of.host(40 + I), 8700, "asistente", "m0", 16,
        [&, I](Runner &Self, const StreamPtr &Client, const Message &Call) {
          const std::string Id = Call.header("attempt-id");
          const bool IsFramed =
              I >= UnframedRunners || ++Answers[static_cast<std::size_t>(I)] % UnframedInterval != 0;
          const std::string Head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id + "\r\nResponse-Signature: s." + Id +
                                   "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n" +
                                   (IsFramed ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n");
          if (!IsFramed) {
            ++Unframed;
            Log.line("runner %s runs %s, without length or chunks", Self.id().c_str(), Id.c_str());
            int None = -1;
            if (Of.m_HasTrouble && !IsOver && Leaving.compare_exchange_strong(None, I)) {
              std::lock_guard Lock(Mutex);
              Removals.emplace_back(TakeAway, I);
            }
          }
          sleepSeconds(0.05);
          if (!Client->write(Head))
            return false;
          for (int Number = std::atoi(Call.header("last-event-id").c_str()) + 1; Number <= EventCount; ++Number) {
            const std::string Text = event(Id, Number);
            if (!Client->write(IsFramed ? chunk(Text) : Text)) {
              if (!IsFramed)
                Log.line("runner %s was cut off in %s before event %d", Self.id().c_str(), Id.c_str(), Number);
              return false;
            }
            sleepSeconds(EventInterval);
          }
          if (IsFramed)
            return Client->write("0\r\n\r\n");
          Log.line("runner %s has written all of %s", Self.id().c_str(), Id.c_str());
          Client->shutdown();
          return false;
        }));
  for (const auto &Each : Runners)
    Each->start();
  Of.m_Store->put("op", "config", manifest());
  auto Entry = Of.node(1);
  Entry->start();
  if (!Entry->waitReady(15))
    return 2;
  sleepSeconds(1);

  std::atomic<int> Whole{0}, Broken{0}, Refused{0}, Visible{0};
  std::vector<std::thread> Clients;
  const double End = now() + Length;
  for (std::size_t I = 0; I < ClientCount; ++I)
    Clients.emplace_back([&, I] {
      sleepSeconds(0.1 * static_cast<double>(I));
      while (now() < End) {
        const std::string Id = newId();
        const StreamPtr Client = Stream::connect(Entry->host(), 8005);
        if (!Client)
          continue;
        Client->write("POST /quotes/2f HTTP/1.1\r\nHost: quotes.example\r\nAttempt-Id: " + Id +
                      "\r\nX-Api-Key: key-a\r\nModel: m0\r\nToken-Usage: 100,250\r\nPrompt-Prefix: 5c1e07a2:40," +
                      Id.substr(8) + ":60\r\nDeadline-Ms: 6000\r\nContent-Length: 6\r\n\r\nprompt");
        auto Answer = readHead(*Client, now() + 7);
        if (!Answer) {
          ++Visible;
          continue;
        }
        readBody(*Client, *Answer, now() + 7, true);
        std::string Expected;
        for (int Number = 1; Number <= EventCount; ++Number)
          Expected += event(Id, Number);
        if (Answer->m_Status != 200) {
          ++Refused;
          sleepSeconds(0.3);
        } else if (!Answer->m_IsWhole) {
          ++Visible;
        } else if (Answer->m_Body == Expected) {
          ++Whole;
        } else {
          ++Broken;
          const std::size_t Last = Answer->m_Body.rfind("id: ");
          Log.line("ORDER: the stream of %s ended as complete after event %s of %d", Id.c_str(),
                   Last == std::string::npos
                       ? "0"
                       : Answer->m_Body.substr(Last + 4, Answer->m_Body.find('\n', Last) - Last - 4).c_str(),
                   EventCount);
        }
      }
    });
  for (std::thread &Each : Clients)
    Each.join();
  IsOver = true;
  for (std::size_t I = 0; I < Removals.size(); ++I)
    Removals[I].join();
  Log.line("result: %d runners taken away, %d streams without length or chunks; clients: %d whole, %d refused, "
           "%d visibly cut, %d ended as complete before their last event",
           Leavings.load(), Unframed.load(), Whole.load(), Refused.load(), Visible.load(), Broken.load());
  const int Result = Whole < 50 ? 2 : Broken > 0 ? 1 : 0;
  Entry->kill();
  std::error_code Ignored;
  std::filesystem::remove_all(Of.m_Folder, Ignored);
  std::_Exit(Result);
}
