// Case 6: clients whose Transfer-Encoding does not end in "chunked". The body of each request has the bytes of
// another request, which nobody sends as a request of its own.
#include "Manifest.h"
#include "Rig.h"

using namespace rig;

int main(int Count, char **Arguments) {
  Case Of(Count, Arguments);
  std::mutex Mutex;
  std::map<std::string, std::string> RunBodies;
  Runner Orders(*Of.m_Store, Of.host(40), 8700, "pedidos", "", 6,
                [&](Runner &, const StreamPtr &Client, const Message &Call) {
                  const std::string Id = Call.header("attempt-id");
                  {
                    std::lock_guard Lock(Mutex);
                    RunBodies[Id] = Call.m_Body;
                  }
                  Log.line("runner runs %s %s, tenant %s, %zu bytes of body", Id.c_str(), Call.m_First.c_str(),
                           Call.header("tenant").c_str(), Call.m_Body.size());
                  return Client->write(response(
                      200, "Attempt-Id: " + Id + "\r\nResponse-Signature: s." + Id + "\r\n", "confirmed " + Id));
                });
  Orders.start();
  Of.m_Store->put("op", "config", manifest());
  auto Entry = Of.node(1);
  Entry->start();
  if (!Entry->waitReady(15))
    return 2;
  sleepSeconds(0.5);

  const auto Head = [](const std::string &Path, const std::string &Id) {
    return "POST " + Path + " HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: " + Id +
           "\r\nX-Api-Key: key-a\r\nDeadline-Ms: 600\r\n";
  };
  const std::vector<std::string> Codings =
      Of.m_HasTrouble ? std::vector<std::string>{"identity", "gzip", "chunked, identity"}
                      : std::vector<std::string>{"", "", ""};
  int Broken = 0, Answered = 0;
  for (const std::string &Coding : Codings) {
    const std::string Id = newId();
    const std::string InnerId = newId();
    const std::string Body = Head("/orders/inner", InnerId) + "Content-Length: 0\r\n\r\n";
    const std::string Framing = Coding.empty() ? "Content-Length: " + std::to_string(Body.size())
                                               : "Transfer-Encoding: " + Coding;
    const StreamPtr Client = Stream::connect(Entry->host(), 8005);
    if (!Client)
      return 2;
    Log.line("client sends %s with \"%s\", %zu bytes of body (the text of a request %s)", Id.c_str(),
             Framing.c_str(), Body.size(), InnerId.c_str());
    Client->write(Head("/orders/outer", Id) + Framing + "\r\n\r\n" + Body);
    int Answers = 0;
    while (auto Answer = readHead(*Client, now() + 1)) {
      readBody(*Client, *Answer, now() + 1, true);
      Log.line("client gets %d with Attempt-Id \"%s\"", Answer->m_Status, Answer->header("attempt-id").c_str());
      Answered += ++Answers == 1;
      if (Answers > 1 && Answer->m_Status == 200) {
        Log.line("MIXED: a success on a channel with no request waiting");
        ++Broken;
      }
    }
    std::lock_guard Lock(Mutex);
    if (RunBodies.count(InnerId)) {
      Log.line("UNASKED: the runner ran %s, which was smuggled inside %s", InnerId.c_str(), Id.c_str());
      ++Broken;
    }
    if (RunBodies.count(Id) && RunBodies[Id] != Body) {
      Log.line("UNASKED: the runner ran %s with %zu of %zu bytes of its body", Id.c_str(), RunBodies[Id].size(),
               Body.size());
      ++Broken;
    }
  }
  if (Answered < 3)
    return 2;
  Log.line("result: %d breaks", Broken);
  return Broken ? 1 : 0;
}
