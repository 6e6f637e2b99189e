#include "Fescuegauge/RpcNode.h"

#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

/// Lets the test's thread wait for an action of the loop's thread. The timeout only ends a test
/// that has failed; no test passes because of it.
class Event {
public:
  void set() {
    std::lock_guard Lock(m_Mutex);
    m_IsSet = true;
    m_Changed.notify_all();
  }
  bool wait() {
    std::unique_lock Lock(m_Mutex);
    return m_Changed.wait_for(Lock, 60s, [this] { return m_IsSet; });
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  bool m_IsSet = false;
};

AttemptEnd completeEnd(std::size_t TotalBytes) {
  AttemptEnd End;
  End.m_Status = AttemptStatus::Complete;
  End.m_WasRun = WasRun::Yes;
  End.m_TotalBytes = TotalBytes;
  return End;
}

/// Answers every attempt with its own body in two fragments, or keeps its sink without answering.
class FakeAgent : public RpcHandler {
public:
  void onPeerLost(const PeerIdentity &) override { m_PeerLost.set(); }
  void onSilent(const InstanceId &) override {
    ++m_Silences;
    m_Silent.set();
  }
  void onRunAttempt(const PeerIdentity &, AttemptRequest Request,
                    std::shared_ptr<AttemptSink> Sink) override {
    if (m_HoldsAttempts) {
      m_HeldSinks.push_back(std::move(Sink));
      m_Received.set();
      return;
    }
    std::size_t Half = Request.m_Body.size() / 2;
    Sink->onFragment({Request.m_Attempt, 0, Request.m_Body.substr(0, Half), {}});
    Sink->onFragment({Request.m_Attempt, Half, Request.m_Body.substr(Half), {}});
    Sink->onEnd(Request.m_Attempt, completeEnd(Request.m_Body.size()));
  }
  void onCancelAttempt(const PeerIdentity &, const AttemptId &) override {}
  void onFetchChunk(const PeerIdentity &, const Digest &Chunk, ChunkCallback Reply) override {
    if (Chunk == sha256("held"))
      Reply({ChunkAnswer::Status::Found, "held"});
    else
      Reply({ChunkAnswer::Status::NotHeld, {}});
  }
  void onControl(const PeerIdentity &, Topic, std::string Payload, ReplyCallback Reply) override {
    if (m_HoldsReplies)
      m_HeldReplies.push_back(std::move(Reply));
    else
      Reply("echo " + Payload);
  }

  bool m_HoldsAttempts = false;
  bool m_HoldsReplies = false;
  std::vector<std::shared_ptr<AttemptSink>> m_HeldSinks;
  std::vector<ReplyCallback> m_HeldReplies;
  Event m_Received;
  Event m_PeerLost;
  Event m_Silent;
  int m_Silences = 0;
};

class RecordingSink : public AttemptSink {
public:
  void onFragment(const AttemptFragment &Fragment) override { m_Answer += Fragment.m_Data; }
  void onEnd(const AttemptId &, const AttemptEnd &End) override {
    m_End = End;
    ++m_Ends;
    m_Ended.set();
  }

  std::string m_Answer;
  AttemptEnd m_End;
  int m_Ends = 0;
  Event m_Ended;
};

constexpr Duration DefaultFailureTime = 400ms;
/// Longer than any pause in a test.
constexpr Duration LongFailureTime = 60s;

RpcOptions optionsFor(const std::string &Name, const std::string &Deployment = "test",
                      Duration FailureTime = DefaultFailureTime) {
  RpcOptions Options;
  Options.m_Listen = {"127.0.0.1", 0};
  Options.m_Self.m_Deployment = Deployment;
  Options.m_Self.m_Instance = InstanceId(Name);
  Options.m_Self.m_Incarnation = Incarnation(1);
  Options.m_Self.m_DataCentre = DataCentreId("dc");
  Options.m_HeartbeatInterval = 20ms;
  Options.m_FailureTime = FailureTime;
  return Options;
}

/// Waits until `Condition`, evaluated on `Loop`, is true; false if it stays false for a minute.
bool waitFor(EventLoop &Loop, const std::function<bool()> &Condition) {
  constexpr int MaxTries = 6000;
  for (int I = 0; I < MaxTries; ++I) {
    bool Holds = false;
    Loop.postAndWait([&] { Holds = Condition(); });
    if (Holds)
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

} // namespace

// Guards against fragments, chunks or control replies that are lost or confused in transit.
TEST_CASE("attempts, chunk requests and control messages are answered by the peer") {
  EventLoop Loop(2);
  FakeAgent Agent;
  RpcNode Server(Loop, optionsFor("agent"), Agent);
  RpcNode Client(Loop, optionsFor("entry"), Agent);
  InstanceId Peer("agent");
  Loop.postAndWait([&] { Client.addPeer(Peer, {"127.0.0.1", Server.port()}, true); });
  REQUIRE(waitFor(Loop, [&] { return Client.isConnected(Peer); }));

  auto Sink = std::make_shared<RecordingSink>();
  ChunkAnswer Chunk;
  ChunkAnswer Missing;
  std::optional<std::string> Answer;
  Event Replied;
  Loop.post([&] {
    AttemptRequest Request;
    Request.m_Attempt = AttemptId("a1");
    Request.m_Body = "some body";
    Client.runAttempt(Peer, Request, Sink);
    Client.fetchChunk(Peer, sha256("held"), 10s,
                      [&](ChunkAnswer Received) { Chunk = std::move(Received); });
    Client.fetchChunk(Peer, sha256("other"), 10s,
                      [&](ChunkAnswer Received) { Missing = std::move(Received); });
    Client.control(Peer, Topic::Claims, "hi", 10s, [&](auto Payload) {
      Answer = Payload;
      Replied.set();
    });
  });
  REQUIRE(Sink->m_Ended.wait());
  REQUIRE(Replied.wait());
  CHECK(Sink->m_Answer == "some body");
  CHECK(Sink->m_End.m_Status == AttemptStatus::Complete);
  CHECK(Chunk.m_Content == "held");
  CHECK(Missing.m_Status == ChunkAnswer::Status::NotHeld);
  CHECK(Answer == "echo hi");
}

namespace {

/// An attempt that an agent has received and does not answer.
struct UnansweredAttempt {
  EventLoop m_Loop{2};
  EventLoop m_ServerLoop{2};
  FakeAgent m_Agent;
  FakeAgent m_Unused;
  std::unique_ptr<RpcNode> m_Server;
  RpcNode m_Client;
  InstanceId m_Peer{"agent"};
  std::shared_ptr<RecordingSink> m_Sink = std::make_shared<RecordingSink>();

  explicit UnansweredAttempt(Duration ClientFailureTime = DefaultFailureTime,
                             Duration ServerFailureTime = DefaultFailureTime)
      : m_Server(std::make_unique<RpcNode>(
            m_ServerLoop, optionsFor("agent", "test", ServerFailureTime), m_Agent)),
        m_Client(m_Loop, optionsFor("entry", "test", ClientFailureTime), m_Unused) {
    m_Agent.m_HoldsAttempts = true;
    m_Loop.postAndWait([&] { m_Client.addPeer(m_Peer, {"127.0.0.1", m_Server->port()}, true); });
    REQUIRE(waitFor(m_Loop, [&] { return m_Client.isConnected(m_Peer); }));
    AttemptRequest Request;
    Request.m_Attempt = AttemptId("a1");
    m_Loop.post([this, Request] { m_Client.runAttempt(m_Peer, Request, m_Sink); });
    REQUIRE(m_Agent.m_Received.wait());
  }

  /// The agent drops its reference to the sink.
  void releaseSink() {
    m_ServerLoop.postAndWait([&] { m_Agent.m_HeldSinks.clear(); });
  }
  /// The agent answers the attempt; true if the answer arrives.
  bool isAnswered() {
    m_ServerLoop.postAndWait([&] {
      m_Agent.m_HeldSinks.front()->onFragment({AttemptId("a1"), 0, "whole", {}});
      m_Agent.m_HeldSinks.front()->onEnd(AttemptId("a1"), completeEnd(5));
    });
    return m_Sink->m_Ended.wait() && m_Sink->m_End.m_Status == AttemptStatus::Complete &&
           m_Sink->m_Answer == "whole";
  }
};

} // namespace

// Guards against an attempt that never ends because the process that runs it has exited.
TEST_CASE("an attempt ends as lost when its connection ends") {
  UnansweredAttempt Attempt;
  Attempt.releaseSink();
  Attempt.m_Server.reset();
  REQUIRE(Attempt.m_Sink->m_Ended.wait());
  CHECK(Attempt.m_Sink->m_End.m_Status == AttemptStatus::ConnectionLost);
  CHECK(Attempt.m_Sink->m_End.m_WasRun == WasRun::Unknown);
  CHECK(Attempt.m_Sink->m_Ends == 1);
}

// Guards against a second end of an attempt: the agent releases the sink without an answer, and the
// connection ends afterwards while the caller still holds the sink.
TEST_CASE("an attempt whose sink was released does not end again with its connection") {
  UnansweredAttempt Attempt;
  Attempt.releaseSink();
  REQUIRE(Attempt.m_Sink->m_Ended.wait());
  Attempt.m_Server.reset();
  REQUIRE(waitFor(Attempt.m_Loop, [&] { return !Attempt.m_Client.isConnected(Attempt.m_Peer); }));
  CHECK(Attempt.m_Sink->m_Ends == 1);
}

// Guards against a leak of the capability that a sink holds: the task that releases it is discarded
// by a loop that stops before it runs the task. LeakSanitizer reports it when the program exits.
TEST_CASE("a sink whose last reference is released while its loop stops is not leaked") {
  UnansweredAttempt Attempt;
  SECTION("after the loop has stopped") {
    Attempt.m_Server.reset();
    Attempt.m_ServerLoop.stop();
    Attempt.m_Agent.m_HeldSinks.clear();
  }
  SECTION("before the loop has stopped, with the node closed") {
    Attempt.m_Server.reset();
    Event Started;
    Attempt.m_ServerLoop.post([&] {
      Started.set();
      // Long enough for the stop to be requested while the release is still queued.
      std::this_thread::sleep_for(100ms);
    });
    REQUIRE(Started.wait());
    Attempt.m_Agent.m_HeldSinks.clear();
    Attempt.m_ServerLoop.stop();
  }
  CHECK(Attempt.m_Sink->m_Ended.wait());
}

// Guards against the use of a capability of a closed connection by an agent that answers late.
TEST_CASE("a sink that is used after its node was closed sends nothing") {
  UnansweredAttempt Attempt;
  Attempt.m_Server.reset();
  Attempt.m_ServerLoop.postAndWait([&] {
    Attempt.m_Agent.m_HeldSinks.front()->onFragment({AttemptId("a1"), 0, "late", {}});
    Attempt.m_Agent.m_HeldSinks.front()->onEnd(AttemptId("a1"), completeEnd(4));
  });
  REQUIRE(Attempt.m_Sink->m_Ended.wait());
  CHECK(Attempt.m_Sink->m_End.m_Status == AttemptStatus::ConnectionLost);
  CHECK(Attempt.m_Sink->m_Answer.empty());
}

// Guards against losing an attempt because its sound agent was slow to answer a control message.
TEST_CASE("an attempt survives a control message that its agent does not answer in time") {
  UnansweredAttempt Attempt(LongFailureTime, LongFailureTime);
  Attempt.m_ServerLoop.postAndWait([&] { Attempt.m_Agent.m_HoldsReplies = true; });
  std::optional<std::string> Answer("none");
  Event TimedOut;
  Attempt.m_Loop.post([&] {
    Attempt.m_Client.control(Attempt.m_Peer, Topic::Configuration, "offer", 10ms, [&](auto Reply) {
      Answer = Reply;
      TimedOut.set();
    });
  });
  REQUIRE(TimedOut.wait());
  CHECK_FALSE(Answer);
  CHECK(Attempt.isAnswered());
  Attempt.m_Loop.postAndWait([&] { CHECK(Attempt.m_Client.counters().m_ConnectionsLost == 0); });
  // Replies belong to the loop's thread.
  Attempt.m_ServerLoop.postAndWait([&] { Attempt.m_Agent.m_HeldReplies.clear(); });
}

// Guards against losing attempts after a pause of this process, in which it could not read what its
// sound peers sent. A blocked loop simulates the pause.
TEST_CASE("an attempt survives a pause of either process that is longer than the failure time") {
  constexpr Duration FailureTime = 1s;
  constexpr Duration Pause = 2 * FailureTime;
  const bool DoesCallerPause = GENERATE(true, false);
  CAPTURE(DoesCallerPause);
  UnansweredAttempt Attempt(DoesCallerPause ? FailureTime : LongFailureTime,
                            DoesCallerPause ? LongFailureTime : FailureTime);
  EventLoop &Paused = DoesCallerPause ? Attempt.m_Loop : Attempt.m_ServerLoop;
  Paused.post([=] { std::this_thread::sleep_for(Pause); });
  // Several rounds of maintenance follow the pause.
  std::this_thread::sleep_for(Pause + FailureTime / 2);
  CHECK(Attempt.isAnswered());
  Attempt.m_Loop.postAndWait([&] { CHECK(Attempt.m_Client.counters().m_ConnectionsLost == 0); });
}

// Guards against giving up the attempts of a sound agent that pauses, and against a silence that is
// not reported before the connection is closed.
TEST_CASE("a silent peer is reported once and keeps its attempts") {
  UnansweredAttempt Attempt(4s, LongFailureTime);
  Event Release;
  Attempt.m_ServerLoop.post([&] { Release.wait(); });
  const bool WasReported = Attempt.m_Unused.m_Silent.wait();
  Release.set();
  REQUIRE(WasReported);
  CHECK(Attempt.isAnswered());
  Attempt.m_Loop.postAndWait([&] {
    CHECK(Attempt.m_Client.counters().m_ConnectionsLost == 0);
    CHECK(Attempt.m_Unused.m_Silences == 1);
  });
}

// Guards against a connection that stays open but delivers nothing. A blocked server loop simulates
// it.
TEST_CASE("a connection that delivers nothing is closed at both ends") {
  EventLoop Loop(2);
  EventLoop ServerLoop(2);
  FakeAgent Agent;
  RpcNode Server(ServerLoop, optionsFor("agent"), Agent);
  FakeAgent Unused;
  RpcNode Client(Loop, optionsFor("entry"), Unused);
  InstanceId Peer("agent");
  Loop.postAndWait([&] { Client.addPeer(Peer, {"127.0.0.1", Server.port()}, true); });
  REQUIRE(waitFor(Loop, [&] { return Client.isConnected(Peer); }));
  Event Release;
  ServerLoop.post([&] { Release.wait(); });
  CHECK(waitFor(Loop, [&] { return !Client.isConnected(Peer); }));
  Release.set();
  CHECK(Agent.m_PeerLost.wait());
  CHECK(waitFor(Loop, [&] { return Client.isConnected(Peer); }));
}

// Guards against serving a process of another deployment or a client that sends malformed messages.
TEST_CASE("peers of another deployment and malformed messages are refused") {
  EventLoop Loop(2);
  FakeAgent Agent;
  RpcNode Server(Loop, optionsFor("agent"), Agent);
  RpcNode OtherDeployment(Loop, optionsFor("entry", "another"), Agent);
  RpcNode Client(Loop, optionsFor("entry"), Agent);
  InstanceId Peer("agent");
  Poco::Net::StreamSocket MalformedClient(Poco::Net::SocketAddress("127.0.0.1", Server.port()));
  std::string Bytes(4096, '\xff');
  MalformedClient.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
  Loop.postAndWait([&] {
    OtherDeployment.addPeer(Peer, {"127.0.0.1", Server.port()}, true);
    Client.addPeer(Peer, {"127.0.0.1", Server.port()}, true);
  });
  CHECK(waitFor(Loop, [&] { return Client.isConnected(Peer); }));
  CHECK(waitFor(Loop, [&] { return Server.counters().m_ConnectionsLost > 0; }));
  Loop.postAndWait([&] { CHECK_FALSE(OtherDeployment.isConnected(Peer)); });
}
