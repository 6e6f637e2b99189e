#include "EngineClient.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace fescuegauge;

namespace {

/// An engine that answers one request with fixed bytes and closes the connection.
class RawEngine {
public:
  enum class Timing {
    /// Reads the request first, and waits for the end of the connection at last.
    AfterRequest,
    /// Answers when the request begins, and resets the connection while the rest is being written.
    BeforeReset,
  };

  explicit RawEngine(std::string Response, Timing When = Timing::AfterRequest)
      : m_Listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
        m_Thread([this, Bytes = std::move(Response), When] { answer(Bytes, When); }) {}
  RawEngine(const RawEngine &) = delete;
  RawEngine &operator=(const RawEngine &) = delete;
  ~RawEngine() { m_Thread.join(); }

  Endpoint address() const { return {"127.0.0.1", m_Listener.address().port()}; }

private:
  static constexpr int Backlog = 1;
  /// Time in which the answer arrives before the reset.
  static constexpr auto ResetDelay = std::chrono::milliseconds(50);

  void answer(const std::string &Response, Timing When) {
    m_Listener.listen(Backlog);
    Poco::Net::StreamSocket Connection = m_Listener.acceptConnection();
    const bool IsEarly = When == Timing::BeforeReset;
    std::string Request;
    std::array<char, 4096> Block{};
    while (Request.find("\r\n\r\n{") == std::string::npos || (!IsEarly && Request.back() != '}')) {
      const int Count = Connection.receiveBytes(Block.data(), Block.size());
      if (Count <= 0)
        return;
      Request.append(Block.data(), static_cast<std::size_t>(Count));
    }
    Connection.sendBytes(Response.data(), static_cast<int>(Response.size()));
    if (IsEarly) {
      std::this_thread::sleep_for(ResetDelay);
      Connection.setLinger(true, 0);
      Connection.close();
      return;
    }
    Connection.shutdownSend();
    // Closing with unread bytes would reset the connection.
    while (Connection.receiveBytes(Block.data(), Block.size()) > 0) {
    }
  }

  Poco::Net::ServerSocket m_Listener;
  std::thread m_Thread;
};

/// Larger than the socket buffers of a loopback connection.
constexpr std::size_t UploadBytes = 32 << 20;

struct Outcome {
  EngineRunResult::Status m_Status = EngineRunResult::Status::Failed;
  std::string m_Text;

  bool isWhole() const {
    return m_Status == EngineRunResult::Status::Complete && m_Text == "whole";
  }
};

/// Runs one attempt on an engine that answers with `Response`.
Outcome runWith(const std::string &Response, bool IsPlain,
                RawEngine::Timing When = RawEngine::Timing::AfterRequest) {
  RawEngine Engine(Response, When);
  const EngineClient Client(Engine.address(), IsPlain, Bytes(1024));
  AttemptRequest Request;
  Request.m_Timeout = std::chrono::seconds(2);
  Request.m_Body = "{}";
  if (When == RawEngine::Timing::BeforeReset)
    Request.m_Body = "{\"prompt\":\"" + std::string(UploadBytes, 'u') + "\"}";
  const std::atomic<bool> Cancelled = false;
  Outcome Result;
  Result.m_Status = Client
                        .run(
                            Request,
                            [&](std::uint64_t, const std::string &Data, const Digest &) {
                              Result.m_Text += Data;
                            },
                            Cancelled)
                        .m_Status;
  return Result;
}

/// Body of a whole answer.
std::string wholeBody(bool IsPlain) {
  return IsPlain ? "whole" : "data: {\"text\":\"whole\"}\n\ndata: [DONE]\n\n";
}

std::string withLength(const std::string &Body, const std::string &Fields = "") {
  return "HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

std::string chunk(const std::string &Bytes) {
  std::ostringstream Size;
  Size << std::hex << Bytes.size();
  return Size.str() + "\r\n" + Bytes + "\r\n";
}

const std::string Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string Unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const std::string LastChunk = "0\r\n\r\n";

} // namespace

// Guards against a whole body under a status that is no success, or no status, for example 000,
// that is taken for the engine's answer.
TEST_CASE("only a success of the engine completes an attempt", "[path]") {
  const bool IsPlain = GENERATE(false, true);
  for (const char *Status :
       {"200", "000", "099", "204", "500", "600", "999", "0200", "2000", "200x", "00", "-20"}) {
    CAPTURE(IsPlain, Status);
    const Outcome Result = runWith("HTTP/1.1 " + std::string(Status) + " Any" +
                                       withLength(wholeBody(IsPlain)).substr(15),
                                   IsPlain);
    CHECK(Result.isWhole() == (Status == std::string("200")));
    if (!Result.isWhole())
      CHECK((Result.m_Status == EngineRunResult::Status::Failed && Result.m_Text.empty()));
  }
}

// Guards against a part of an answer, or the bytes of its framing, that count as a whole answer.
TEST_CASE("an answer with a broken framing completes no attempt", "[path]") {
  const bool IsPlain = GENERATE(false, true);
  const std::string Body = wholeBody(IsPlain);
  // Within the last event of a stream.
  const std::string Part = Body.substr(0, Body.size() - 4);
  const std::string Rest = Body.substr(Part.size());
  const std::string Length = std::to_string(Body.size());
  std::vector<std::string> Answers = {
      Chunked + chunk(Body).substr(0, chunk(Body).size() - Rest.size() - 2),
      Chunked + chunk(Part),
      Chunked + chunk(Part) + "zz\r\n" + Rest + "\r\n" + LastChunk,
      Chunked + chunk(Part) + "\r\n" + LastChunk,
      Chunked + chunk(Part) + "-4\r\n" + Rest + "\r\n" + LastChunk,
      "HTTP/1.1 200 OK\r\nContent-Type: te",
      "HTTP/1.1 200 OK\r\n",
      "HTTP/1.1 2",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + chunk(Body) + LastChunk,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n\r\n" + chunk(Body) + LastChunk,
      "HTTP/1.1 200 OK\r\nContent-Length : " + Length + "\r\n\r\n" + Body,
      "HTTP/1.1 200 OK\r\nContent-Length: " + Length + "x\r\n\r\n" + Body,
      "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n" + Body,
      withLength(Body, "Content-Length: 2\r\n"),
      withLength(Body).substr(0, withLength(Body).size() - Rest.size()),
      withLength(Body, "First: v\r\n Name: v\r\n"),
      withLength(Body, "First: v\r\n\t\r\n"),
      withLength(Body, "Na me: v\r\n"),
      withLength(Body, std::string("Na\x01me: v\r\n")),
      withLength(Body, std::string("Na\0me: v\r\n", 10)),
      withLength(Body, ": v\r\n"),
      withLength(Body, "Name\r\n"),
  };
  // The final event ends a stream before its last chunk.
  if (IsPlain)
    Answers.push_back(Chunked + chunk(Body));
  for (const std::string &Answer : Answers) {
    CAPTURE(IsPlain, Answer);
    CHECK(runWith(Answer, IsPlain).m_Status == EngineRunResult::Status::Failed);
  }
}

// Guards against refusing a whole answer because of its framing.
TEST_CASE("whole answers of each framing complete an attempt", "[path]") {
  const bool IsPlain = GENERATE(false, true);
  const std::string Body = wholeBody(IsPlain);
  const std::vector<std::string> Answers = {
      withLength(Body),
      "HTTP/1.1 100 Continue\r\n\r\n" + withLength(Body),
      "HTTP/1.1 103 Early Hints\r\nName: v\r\n\r\n" + withLength(Body),
      Chunked + chunk(Body) + LastChunk,
      Chunked + chunk(Body.substr(0, 3)) + chunk(Body.substr(3)) + "0\r\nTrailer: v\r\n\r\n",
      Chunked + std::to_string(0) + chunk(Body) + LastChunk,
      Unframed + Body,
      "HTTP/1.0 200 OK\r\n\r\n" + Body,
      "HTTP/1.1 200 OK\r\nEmpty:\r\n" + withLength(Body).substr(17),
  };
  for (const std::string &Answer : Answers) {
    CAPTURE(IsPlain, Answer);
    CHECK(runWith(Answer, IsPlain).isWhole());
  }
}

// Guards against a part of an answer that counts as whole because its connection was reset while
// the request was being written, and against the loss of a whole answer for the same reason.
TEST_CASE("an early answer completes an attempt only if it has a length or chunks", "[path]") {
  const bool IsPlain = GENERATE(false, true);
  const std::string Body = wholeBody(IsPlain);
  CAPTURE(IsPlain);
  const auto RunEarly = [&](const std::string &Answer) {
    return runWith(Answer, IsPlain, RawEngine::Timing::BeforeReset);
  };
  CHECK(RunEarly(withLength(Body)).isWhole());
  CHECK(RunEarly(Chunked + chunk(Body) + LastChunk).isWhole());
  CHECK(RunEarly(Unframed + Body.substr(0, Body.size() - 4)).m_Status ==
        EngineRunResult::Status::Failed);
}
