#include "Fescuegauge/RpcNode.h"

#include "CapnpText.h"
#include "EngineLossCodec.h"
#include "EventLoopImpl.h"
#include "Peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace fescuegauge {

namespace {

/// Version of the protocol in Peer.capnp. Processes with different versions refuse connections from
/// each other.
constexpr std::uint32_t ProtocolVersion = 1;

void encode(const PeerIdentity &Self, std::uint64_t NextAttempt, rpc::Hello::Builder Hello) {
  Hello.setProtocolVersion(ProtocolVersion);
  Hello.setDeployment(Self.m_Deployment);
  Hello.setInstance(Self.m_Instance.str());
  Hello.setIncarnation(Self.m_Incarnation.value());
  Hello.setDataCentre(Self.m_DataCentre.str());
  Hello.setIsEntry(Self.m_Role == InstanceRole::Entry);
  Hello.setAttemptSource(Self.m_AttemptSource);
  Hello.setNextAttempt(NextAttempt);
}

PeerIdentity decode(rpc::Hello::Reader Hello) {
  return {stringOf(Hello.getDeployment()),
          InstanceId(stringOf(Hello.getInstance())),
          Incarnation(Hello.getIncarnation()),
          DataCentreId(stringOf(Hello.getDataCentre())),
          Hello.getIsEntry() ? InstanceRole::Entry : InstanceRole::Agent,
          stringOf(Hello.getAttemptSource()),
          Hello.getNextAttempt()};
}

void encode(const AttemptRequest &Request, rpc::AttemptRequest::Builder Out) {
  Out.setAttempt(Request.m_Attempt.str());
  Out.setRequest(Request.m_Request.str());
  Out.setAccount(Request.m_Account.str());
  Out.setService(Request.m_Service.str());
  Out.setWorkClass(Request.m_Class.str());
  Out.setExecution(Request.m_Execution);
  Out.setNonIdempotent(Request.m_NonIdempotent);
  Out.setGeneration(Request.m_Generation.str());
  if (!Request.m_RequiredDigest.isZero())
    Out.setRequiredDigest(dataOf(Request.m_RequiredDigest));
  Out.setResumeFrom(Request.m_ResumeFrom);
  Out.setPriority(Request.m_Priority);
  Out.setTimeoutMs(static_cast<std::uint32_t>(Request.m_Timeout.count() / 1000));
  Out.setBody(dataOf(Request.m_Body));
  encode(Request.m_Suspect, Out.initSuspect());
}

AttemptRequest decode(rpc::AttemptRequest::Reader In) {
  AttemptRequest Request;
  Request.m_Attempt = AttemptId(stringOf(In.getAttempt()));
  Request.m_Request = RequestId(stringOf(In.getRequest()));
  Request.m_Account = ClientAccountId(stringOf(In.getAccount()));
  Request.m_Service = ServiceId(stringOf(In.getService()));
  Request.m_Class = WorkClassId(stringOf(In.getWorkClass()));
  Request.m_Execution = stringOf(In.getExecution());
  Request.m_NonIdempotent = In.getNonIdempotent();
  Request.m_Generation = GenerationId(stringOf(In.getGeneration()));
  Request.m_RequiredDigest = digestOf(In.getRequiredDigest());
  Request.m_ResumeFrom = In.getResumeFrom();
  Request.m_Priority = In.getPriority();
  Request.m_Timeout = std::chrono::milliseconds(In.getTimeoutMs());
  Request.m_Body = stringOf(In.getBody());
  Request.m_Suspect = decodeSuspectRequest(In.getSuspect());
  return Request;
}

void encode(const AttemptEnd &End, rpc::AttemptEnd::Builder Out) {
  Out.setStatus(static_cast<rpc::AttemptStatus>(End.m_Status));
  Out.setWasRun(static_cast<std::uint8_t>(End.m_WasRun));
  Out.setReason(End.m_Reason);
  Out.setTotalBytes(End.m_TotalBytes);
  Out.setServedDigest(dataOf(End.m_ServedDigest));
  if (End.m_Status == AttemptStatus::EngineLost)
    encodeLoss(End.m_Loss, Out.initLoss());
  Out.setError(std::string(errorAnswer(End.m_Error).m_Name));
  Out.setAgentIncarnation(End.m_AgentIncarnation.value());
}

/// An unknown status is decoded as ConnectionLost, since the outcome is not known.
AttemptEnd decode(rpc::AttemptEnd::Reader In) {
  AttemptEnd End;
  if (static_cast<int>(In.getStatus()) <= static_cast<int>(AttemptStatus::EngineLost))
    End.m_Status = static_cast<AttemptStatus>(In.getStatus());
  if (In.getWasRun() <= static_cast<std::uint8_t>(WasRun::Unknown))
    End.m_WasRun = static_cast<WasRun>(In.getWasRun());
  End.m_Reason = stringOf(In.getReason());
  End.m_TotalBytes = In.getTotalBytes();
  End.m_ServedDigest = digestOf(In.getServedDigest());
  End.m_Loss = decodeLoss(In.getLoss());
  End.m_Error = errorKindFromName(stringOf(In.getError())).value_or(ErrorKind::NotReady);
  End.m_AgentIncarnation = Incarnation(In.getAgentIncarnation());
  return End;
}

/// Passes on the answer to one attempt until its end. The end may be reported twice: when the peer
/// releases its reference to the sink, and when the connection ends.
class SingleEndSink final : public AttemptSink {
public:
  explicit SingleEndSink(std::shared_ptr<AttemptSink> Sink) : m_Sink(std::move(Sink)) {}

  void onFragment(const AttemptFragment &Fragment) override {
    if (m_Sink)
      m_Sink->onFragment(Fragment);
  }
  void onEnd(const AttemptId &Attempt, const AttemptEnd &End) override {
    if (auto Sink = std::exchange(m_Sink, nullptr))
      Sink->onEnd(Attempt, End);
  }

private:
  std::shared_ptr<AttemptSink> m_Sink;
};

/// Forwards answers that arrive over a connection to the sink of the dispatching process. Ends the
/// attempt as lost if the last reference is released before an end has arrived.
class SinkServer final : public rpc::AttemptSink::Server {
public:
  SinkServer(AttemptId Attempt, std::shared_ptr<AttemptSink> Sink)
      : m_Attempt(std::move(Attempt)), m_Sink(std::move(Sink)) {}
  ~SinkServer() noexcept(false) { m_Sink->onEnd(m_Attempt, AttemptEnd()); }

  kj::Promise<void> fragment(FragmentContext Context) override {
    auto In = Context.getParams();
    m_Sink->onFragment({AttemptId(stringOf(In.getAttempt())), In.getOffset(),
                        stringOf(In.getData()), digestOf(In.getServedDigest())});
    return kj::READY_NOW;
  }

  kj::Promise<void> end(EndContext Context) override {
    m_Sink->onEnd(m_Attempt, decode(Context.getParams().getEnd()));
    return kj::READY_NOW;
  }

private:
  AttemptId m_Attempt;
  std::shared_ptr<AttemptSink> m_Sink;
};

/// Sends the answer to an attempt over the connection on which it was dispatched. Sends nothing
/// once the node has closed it.
class RemoteSink final : public AttemptSink {
public:
  explicit RemoteSink(rpc::AttemptSink::Client Client) : m_Client(kj::mv(Client)) {}
  ~RemoteSink() noexcept override = default;

  void onFragment(const AttemptFragment &Fragment) override {
    KJ_IF_MAYBE (Client, m_Client) {
      auto Call = Client->fragmentRequest();
      Call.setAttempt(Fragment.m_Attempt.str());
      Call.setOffset(Fragment.m_Offset);
      Call.setData(dataOf(Fragment.m_Data));
      Call.setServedDigest(dataOf(Fragment.m_ServedDigest));
      send(Call.send().ignoreResult());
    }
  }

  void onEnd(const AttemptId &Attempt, const AttemptEnd &End) override {
    KJ_IF_MAYBE (Client, m_Client) {
      auto Call = Client->endRequest();
      Call.setAttempt(Attempt.str());
      encode(End, Call.initEnd());
      send(Call.send().ignoreResult());
    }
  }

  /// Releases the capability; called on the loop's thread.
  void close() { m_Client = nullptr; }

private:
  /// Send failures are ignored: the dispatching process detects the lost connection itself.
  static void send(kj::Promise<void> Sent) {
    Sent.detach([](kj::Exception &&) {});
  }

  kj::Maybe<rpc::AttemptSink::Client> m_Client;
};

/// The sinks of a node whose capabilities are not released yet. Accessed only on the loop's thread.
using RemoteSinks = std::set<std::shared_ptr<RemoteSink>>;

} // namespace

struct RpcNode::Impl final : public kj::TaskSet::ErrorHandler {
  /// A connection that a peer opened.
  struct Incoming {
    kj::Own<kj::AsyncIoStream> m_Stream;
    kj::Maybe<capnp::TwoPartyVatNetwork> m_Network;
    kj::Maybe<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> m_System;
    std::optional<PeerIdentity> m_Peer;
    TimePoint m_LastCall;
    /// The peer sends heartbeats, so a connection without calls has failed.
    bool m_IsMonitored = false;
  };

  /// A peer of this process and the connection that the process opens to it.
  struct Outgoing {
    Endpoint m_Address;
    bool m_IsMonitored = false;
    bool m_IsConnecting = false;
    bool m_IsReady = false;
    /// The silence of the peer has been reported.
    bool m_IsSilent = false;
    /// Increases with each connection, so that late results of an earlier one are ignored.
    std::uint64_t m_Epoch = 0;
    kj::Own<kj::AsyncIoStream> m_Stream;
    kj::Maybe<capnp::TwoPartyVatNetwork> m_Network;
    kj::Maybe<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> m_System;
    kj::Maybe<rpc::Peer::Client> m_Client;
    TimePoint m_LastAnswer;
    TimePoint m_NextConnect;
    std::map<AttemptId, std::weak_ptr<AttemptSink>> m_Attempts;
    /// Messages to send once the connection is open; called with false if it cannot be opened.
    std::deque<std::function<void(bool IsOpen)>> m_PendingMessages;
    TimePoint m_LastUse;
  };

  class PeerServer;

  Impl(EventLoop &Loop, RpcOptions Options, RpcHandler &Handler)
      : m_Loop(Loop), m_Options(std::move(Options)), m_Handler(Handler) {}

  kj::Timer &timer() { return m_Loop.impl().m_Io->provider->getTimer(); }
  kj::TaskSet &tasks() { return *m_Tasks; }
  /// Every task handles its own failures; only broken connections are reported here.
  void taskFailed(kj::Exception &&) override {}
  capnp::ReaderOptions readerOptions() const {
    capnp::ReaderOptions Result;
    Result.traversalLimitInWords = m_Options.m_MaxMessage.count() / sizeof(capnp::word);
    return Result;
  }

  /// The last reference may be released on any thread, but the capability must be destroyed on the
  /// loop's thread. The loop discards the release if it stops first; the capability is then
  /// destroyed when the node is closed.
  std::shared_ptr<AttemptSink> makeRemoteSink(rpc::AttemptSink::Client Client) {
    auto Sink = std::make_shared<RemoteSink>(kj::mv(Client));
    m_RemoteSinks->insert(Sink);
    return {Sink.get(), [&Loop = m_Loop, Sinks = m_RemoteSinks, Sink](AttemptSink *) {
              Loop.post([Sinks, Sink] {
                Sink->close();
                Sinks->erase(Sink);
              });
            }};
  }

  void listen() {
    auto &Network = m_Loop.impl().m_Io->provider->getNetwork();
    auto Address = Network.parseAddress(m_Options.m_Listen.m_Host, m_Options.m_Listen.m_Port)
                       .wait(m_Loop.impl().m_Io->waitScope);
    m_Receiver = Address->listen();
    m_Port = static_cast<std::uint16_t>(m_Receiver->getPort());
    m_Tasks = kj::heap<kj::TaskSet>(*this);
    m_Accepting = accept().eagerlyEvaluate([](kj::Exception &&) {});
    m_Maintenance = runMaintenance().eagerlyEvaluate([](kj::Exception &&) {});
  }

  kj::Promise<void> accept() {
    return m_Receiver->accept().then([this](kj::Own<kj::AsyncIoStream> Stream) {
      if (m_Incoming.size() < m_Options.m_MaxConnections)
        open(kj::mv(Stream));
      return accept();
    });
  }

  void open(kj::Own<kj::AsyncIoStream> Stream);

  kj::Promise<void> runMaintenance() {
    Duration Interval = std::min(m_Options.m_HeartbeatInterval, m_Options.m_FailureTime / 4);
    TimePoint DueAt = EventLoop::now() + Interval;
    return timer().afterDelay(Interval.count() * kj::MICROSECONDS).then([this, DueAt] {
      TimePoint Now = EventLoop::now();
      excludePause(Now - DueAt, Now);
      closeInactiveIncoming(Now);
      for (auto &[Peer, Link] : m_Outgoing)
        maintainConnection(Peer, Link, Now);
      return runMaintenance();
    });
  }

  /// Excludes a pause of this process from the silence of its peers, because what they sent during
  /// the pause has not been read yet.
  void excludePause(Duration Pause, TimePoint Now) {
    if (Pause <= Duration(0))
      return;
    for (auto &[Id, Connection] : m_Incoming)
      Connection->m_LastCall = std::min(Connection->m_LastCall + Pause, Now);
    for (auto &[Peer, Link] : m_Outgoing)
      Link.m_LastAnswer = std::min(Link.m_LastAnswer + Pause, Now);
  }

  void closeInactiveIncoming(TimePoint Now) {
    std::vector<std::uint64_t> Inactive;
    for (auto &[Id, Connection] : m_Incoming)
      if (Now - Connection->m_LastCall > inactivityLimit(Connection->m_IsMonitored))
        Inactive.push_back(Id);
    for (std::uint64_t Id : Inactive)
      close(Id);
  }

  /// Time without calls after which an incoming connection is closed. Without heartbeats it is
  /// twice the idle time, so that the caller closes the connection first.
  Duration inactivityLimit(bool IsMonitored) const {
    return IsMonitored ? m_Options.m_FailureTime : 2 * m_Options.m_IdleTime;
  }

  void close(std::uint64_t Id) {
    auto Found = m_Incoming.find(Id);
    if (Found == m_Incoming.end())
      return;
    auto Closed = std::move(Found->second);
    m_Incoming.erase(Found);
    ++m_Counters.m_ConnectionsLost;
    if (Closed->m_Peer)
      m_Handler.onPeerLost(*Closed->m_Peer);
  }

  void maintainConnection(const InstanceId &Peer, Outgoing &Link, TimePoint Now) {
    Duration Silence = Now - Link.m_LastAnswer;
    bool HasTimedOut = Link.m_IsMonitored && Silence > m_Options.m_FailureTime;
    bool IsIdle = !Link.m_IsMonitored && Now - Link.m_LastUse > m_Options.m_IdleTime;
    if (Link.m_IsReady && (HasTimedOut || IsIdle))
      disconnect(Peer, Link);
    if (!Link.m_IsMonitored)
      return;
    bool WasSilent =
        std::exchange(Link.m_IsSilent, Link.m_IsReady && Silence > m_Options.m_FailureTime / 2);
    if (Link.m_IsSilent && !WasSilent)
      m_Handler.onSilent(Peer);
    if (Link.m_IsReady)
      sendHeartbeat(Peer, Link);
    else if (!Link.m_IsConnecting && Now >= Link.m_NextConnect)
      connect(Peer, Link);
  }

  void sendHeartbeat(const InstanceId &Peer, Outgoing &Link) {
    KJ_IF_MAYBE (Client, Link.m_Client) {
      tasks().add(Client->heartbeatRequest().send().then(
          [this, Peer, Epoch = Link.m_Epoch](auto &&Answer) {
            if (!findLink(Peer, Epoch))
              return;
            findLink(Peer, Epoch)->m_LastAnswer = EventLoop::now();
            m_Handler.onHeartbeatAnswer(Peer, stringOf(Answer.getReport()));
          },
          [this, Peer, Epoch = Link.m_Epoch](kj::Exception &&) {
            scheduleDisconnect(Peer, Epoch);
          }));
    }
  }

  Outgoing *findLink(const InstanceId &Peer, std::uint64_t Epoch) {
    auto Found = m_Outgoing.find(Peer);
    return Found != m_Outgoing.end() && Found->second.m_Epoch == Epoch ? &Found->second : nullptr;
  }

  /// Posts the disconnect to the loop, because a connection must not be destroyed inside one of its
  /// own callbacks.
  void scheduleDisconnect(const InstanceId &Peer, std::uint64_t Epoch) {
    m_Loop.post([this, Peer, Epoch, Alive = std::weak_ptr(m_Alive)] {
      if (Alive.expired())
        return;
      if (Outgoing *Link = findLink(Peer, Epoch))
        disconnect(Peer, *Link);
    });
  }

  /// Closes the connection after a call on it failed. A call that only timed out leaves a monitored
  /// connection open, since attempts may be running on it: its heartbeats decide.
  void handleFailedCall(const InstanceId &Peer, std::uint64_t Epoch, const kj::Exception &Failure) {
    const Outgoing *Link = findLink(Peer, Epoch);
    bool HasTimedOut = Failure.getType() == kj::Exception::Type::OVERLOADED;
    if (Link && !(Link->m_IsMonitored && HasTimedOut))
      scheduleDisconnect(Peer, Epoch);
  }

  void connect(const InstanceId &Peer, Outgoing &Link);
  void sendFetch(const InstanceId &Peer, const Digest &Chunk, Duration Timeout,
                 const ChunkCallback &Reply);
  void sendControl(const InstanceId &Peer, Topic Subject, const std::string &Payload,
                   Duration Timeout, const ResultCallback &Done);

  void disconnect(const InstanceId &Peer, Outgoing &Link) {
    bool WasReady = Link.m_IsReady;
    if (WasReady)
      ++m_Counters.m_ConnectionsLost;
    ++Link.m_Epoch;
    Link.m_IsReady = false;
    Link.m_IsConnecting = false;
    Link.m_NextConnect = EventLoop::now() + m_Options.m_HeartbeatInterval;
    auto Attempts = std::move(Link.m_Attempts);
    Link.m_Attempts.clear();
    Link.m_Client = nullptr;
    Link.m_System = nullptr;
    Link.m_Network = nullptr;
    Link.m_Stream = nullptr;
    for (auto &[Attempt, Sink] : Attempts)
      if (auto Waiting = Sink.lock())
        Waiting->onEnd(Attempt, {});
    auto Waiting = std::move(Link.m_PendingMessages);
    Link.m_PendingMessages.clear();
    for (auto &Message : Waiting)
      Message(false);
    if (WasReady)
      m_Handler.onDisconnected(Peer);
  }

  /// Calls `Message` once the connection to `Peer` is open, or with false if it cannot be opened.
  void whenOpen(const InstanceId &Peer, std::function<void(bool IsOpen)> Message) {
    auto Found = m_Outgoing.find(Peer);
    if (m_IsClosed || Found == m_Outgoing.end())
      return Message(false);
    Outgoing &Link = Found->second;
    Link.m_LastUse = EventLoop::now();
    if (Link.m_IsReady)
      return Message(true);
    bool IsTooEarly = !Link.m_IsConnecting && EventLoop::now() < Link.m_NextConnect;
    if (IsTooEarly || Link.m_PendingMessages.size() >= m_Options.m_MaxPendingMessages)
      return Message(false);
    Link.m_PendingMessages.push_back(std::move(Message));
    if (!Link.m_IsConnecting)
      connect(Peer, Link);
  }

  void sendPendingMessages(const InstanceId &Peer, std::uint64_t Epoch) {
    for (Outgoing *Link = findLink(Peer, Epoch); Link && !Link->m_PendingMessages.empty();
         Link = findLink(Peer, Epoch)) {
      auto Message = std::move(Link->m_PendingMessages.front());
      Link->m_PendingMessages.pop_front();
      Message(true);
    }
  }

  Outgoing *readyLink(const InstanceId &Peer) {
    auto Found = m_Outgoing.find(Peer);
    return Found != m_Outgoing.end() && Found->second.m_IsReady ? &Found->second : nullptr;
  }

  EventLoop &m_Loop;
  RpcOptions m_Options;
  RpcHandler &m_Handler;
  std::uint16_t m_Port = 0;
  std::map<std::uint64_t, std::unique_ptr<Incoming>> m_Incoming;
  std::uint64_t m_NextIncoming = 1;
  std::map<InstanceId, Outgoing> m_Outgoing;
  Counters m_Counters;
  bool m_IsClosed = false;
  /// Expires with the node; checked by tasks that may outlive it.
  std::shared_ptr<int> m_Alive = std::make_shared<int>(0);
  /// Shared with the tasks that release sinks, which may outlive the node.
  std::shared_ptr<RemoteSinks> m_RemoteSinks = std::make_shared<RemoteSinks>();
  kj::Own<kj::ConnectionReceiver> m_Receiver;
  kj::Promise<void> m_Accepting = nullptr;
  kj::Promise<void> m_Maintenance = nullptr;
  /// Declared last and so destroyed first: no task runs while the other members are destroyed.
  kj::Own<kj::TaskSet> m_Tasks;
};

/// Serves the calls of one incoming connection.
class RpcNode::Impl::PeerServer final : public rpc::Peer::Server {
public:
  PeerServer(Impl &Node, std::uint64_t Id) : m_Node(Node), m_Id(Id) {}

  kj::Promise<void> hello(HelloContext Context) override {
    auto In = Context.getParams().getHello();
    auto Out = Context.getResults();
    encode(m_Node.m_Options.m_Self, m_Node.m_Handler.nextAttemptNumber(), Out.initHello());
    std::string Reason = rejectionReason(In);
    Out.setAccepted(Reason.empty());
    Out.setReason(Reason);
    if (Incoming *Connection = connection(); Connection && Reason.empty()) {
      Connection->m_Peer = decode(In);
      m_Node.m_Handler.onPeerConnected(*Connection->m_Peer);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> heartbeat(HeartbeatContext Context) override {
    const PeerIdentity &From = peer();
    connection()->m_IsMonitored = true;
    Context.getResults().setReport(dataOf(m_Node.m_Handler.onHeartbeat(From)));
    return kj::READY_NOW;
  }

  kj::Promise<void> runAttempt(RunAttemptContext Context) override {
    auto In = Context.getParams();
    m_Node.m_Handler.onRunAttempt(peer(), decode(In.getRequest()),
                                  m_Node.makeRemoteSink(In.getSink()));
    return kj::READY_NOW;
  }

  kj::Promise<void> cancelAttempt(CancelAttemptContext Context) override {
    m_Node.m_Handler.onCancelAttempt(peer(), AttemptId(stringOf(Context.getParams().getAttempt())));
    return kj::READY_NOW;
  }

  kj::Promise<void> fetchChunk(FetchChunkContext Context) override {
    auto Pair = kj::newPromiseAndFulfiller<ChunkAnswer>();
    auto Fulfiller = std::make_shared<decltype(Pair.fulfiller)>(kj::mv(Pair.fulfiller));
    m_Node.m_Handler.onFetchChunk(
        peer(), digestOf(Context.getParams().getDigest()),
        [Fulfiller](ChunkAnswer Answer) { (*Fulfiller)->fulfill(std::move(Answer)); });
    return Pair.promise.then([Context](const ChunkAnswer &Answer) mutable {
      auto Out = Context.getResults();
      Out.setFound(Answer.m_Status == ChunkAnswer::Status::Found);
      Out.setBusy(Answer.m_Status == ChunkAnswer::Status::Busy);
      if (Out.getFound())
        Out.setData(dataOf(Answer.m_Content));
    });
  }

  kj::Promise<void> control(ControlContext Context) override {
    auto In = Context.getParams();
    auto Pair = kj::newPromiseAndFulfiller<std::string>();
    auto Fulfiller = std::make_shared<decltype(Pair.fulfiller)>(kj::mv(Pair.fulfiller));
    m_Node.m_Handler.onControl(
        peer(), static_cast<Topic>(In.getTopic()), stringOf(In.getPayload()),
        [Fulfiller](std::string Payload) { (*Fulfiller)->fulfill(std::move(Payload)); });
    return Pair.promise.then([Context](const std::string &Payload) mutable {
      Context.getResults().setPayload(dataOf(Payload));
    });
  }

private:
  std::string rejectionReason(rpc::Hello::Reader Hello) const {
    if (Hello.getProtocolVersion() != ProtocolVersion)
      return "protocol version " + std::to_string(Hello.getProtocolVersion()) +
             " is not supported, expected " + std::to_string(ProtocolVersion);
    if (stringOf(Hello.getDeployment()) != m_Node.m_Options.m_Self.m_Deployment)
      return "the peer belongs to deployment \"" + stringOf(Hello.getDeployment()) + "\"";
    return {};
  }

  Incoming *connection() {
    auto Found = m_Node.m_Incoming.find(m_Id);
    if (Found == m_Node.m_Incoming.end())
      return nullptr;
    Found->second->m_LastCall = EventLoop::now();
    return Found->second.get();
  }

  const PeerIdentity &peer() {
    Incoming *Connection = connection();
    KJ_REQUIRE(Connection != nullptr && Connection->m_Peer.has_value(),
               "a call before hello was accepted");
    return *Connection->m_Peer;
  }

  Impl &m_Node;
  const std::uint64_t m_Id;
};

void RpcNode::Impl::open(kj::Own<kj::AsyncIoStream> Stream) {
  std::uint64_t Id = m_NextIncoming++;
  auto Connection = std::make_unique<Incoming>();
  Connection->m_LastCall = EventLoop::now();
  Connection->m_Stream = kj::mv(Stream);
  auto &Network = Connection->m_Network.emplace(
      *Connection->m_Stream, capnp::rpc::twoparty::Side::SERVER, readerOptions());
  Connection->m_System.emplace(capnp::makeRpcServer(Network, kj::heap<PeerServer>(*this, Id)));
  tasks().add(Network.onDisconnect().then([this, Id, Alive = std::weak_ptr(m_Alive)] {
    m_Loop.post([this, Id, Alive] {
      if (!Alive.expired())
        close(Id);
    });
  }));
  m_Incoming.emplace(Id, std::move(Connection));
}

void RpcNode::Impl::connect(const InstanceId &Peer, Outgoing &Link) {
  Link.m_IsConnecting = true;
  std::uint64_t Epoch = ++Link.m_Epoch;
  auto &Network = m_Loop.impl().m_Io->provider->getNetwork();
  auto Connected =
      Network.parseAddress(Link.m_Address.m_Host, Link.m_Address.m_Port)
          .then([](kj::Own<kj::NetworkAddress> Address) {
            auto Pending = Address->connect();
            return Pending.attach(kj::mv(Address));
          })
          .then([this, Peer, Epoch](
                    kj::Own<kj::AsyncIoStream> Stream) -> kj::Promise<std::optional<PeerIdentity>> {
            Outgoing *Target = findLink(Peer, Epoch);
            if (!Target)
              return std::optional<PeerIdentity>();
            Target->m_Stream = kj::mv(Stream);
            auto &Vat = Target->m_Network.emplace(
                *Target->m_Stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions());
            auto &System = Target->m_System.emplace(capnp::makeRpcClient(Vat));
            capnp::MallocMessageBuilder Message;
            auto VatId = Message.initRoot<capnp::rpc::twoparty::VatId>();
            VatId.setSide(capnp::rpc::twoparty::Side::SERVER);
            Target->m_Client = System.bootstrap(VatId).castAs<rpc::Peer>();
            auto Call = KJ_ASSERT_NONNULL(Target->m_Client).helloRequest();
            encode(m_Options.m_Self, m_Handler.nextAttemptNumber(), Call.initHello());
            return Call.send().then([Peer](auto &&Answer) -> std::optional<PeerIdentity> {
              PeerIdentity Found = decode(Answer.getHello());
              if (!Answer.getAccepted() || Found.m_Instance != Peer)
                return std::nullopt;
              return Found;
            });
          });
  tasks().add(
      timer()
          .timeoutAfter(m_Options.m_FailureTime.count() * kj::MICROSECONDS, kj::mv(Connected))
          .then(
              [this, Peer, Epoch](std::optional<PeerIdentity> Accepted) {
                Outgoing *Target = findLink(Peer, Epoch);
                if (!Target || !Accepted)
                  return scheduleDisconnect(Peer, Epoch);
                Target->m_IsConnecting = false;
                Target->m_IsReady = true;
                Target->m_LastAnswer = EventLoop::now();
                // Sent first, so that the callee monitors the connection before the first attempt.
                if (Target->m_IsMonitored)
                  sendHeartbeat(Peer, *Target);
                m_Handler.onConnected(*Accepted);
                sendPendingMessages(Peer, Epoch);
              },
              [this, Peer, Epoch](kj::Exception &&) { scheduleDisconnect(Peer, Epoch); }));
}

RpcNode::RpcNode(EventLoop &Loop, RpcOptions Options, RpcHandler &Handler)
    : m_Impl(std::make_unique<Impl>(Loop, std::move(Options), Handler)) {
  std::string Failure;
  Loop.postAndWait([this, &Failure] {
    KJ_IF_MAYBE (Error, kj::runCatchingExceptions([this] { m_Impl->listen(); })) {
      Failure = Error->getDescription().cStr();
    }
  });
  if (!Failure.empty())
    throw std::runtime_error("cannot listen on " + m_Impl->m_Options.m_Listen.m_Host + ":" +
                             std::to_string(m_Impl->m_Options.m_Listen.m_Port) + ": " + Failure);
}

RpcNode::~RpcNode() {
  EventLoop &Loop = m_Impl->m_Loop;
  // Capabilities must be released on the loop's thread.
  Loop.postAndWait([this] { close(); });
}

std::vector<InstanceId> RpcNode::monitoringPeers() const {
  std::vector<InstanceId> Peers;
  for (const auto &[Id, Connection] : m_Impl->m_Incoming)
    if (Connection->m_IsMonitored && Connection->m_Peer)
      Peers.push_back(Connection->m_Peer->m_Instance);
  return Peers;
}

void RpcNode::close() {
  m_Impl->m_IsClosed = true;
  m_Impl->m_Accepting = nullptr;
  m_Impl->m_Maintenance = nullptr;
  m_Impl->m_Receiver = nullptr;
  while (!m_Impl->m_Incoming.empty())
    m_Impl->close(m_Impl->m_Incoming.begin()->first);
  for (auto &[Peer, Link] : m_Impl->m_Outgoing)
    m_Impl->disconnect(Peer, Link);
  for (const std::shared_ptr<RemoteSink> &Sink : std::exchange(*m_Impl->m_RemoteSinks, {}))
    Sink->close();
  m_Impl->m_Tasks = nullptr;
}

std::uint16_t RpcNode::port() const { return m_Impl->m_Port; }

void RpcNode::addPeer(const InstanceId &Peer, const Endpoint &Address, bool Monitored) {
  if (m_Impl->m_IsClosed)
    return;
  Impl::Outgoing &Link = m_Impl->m_Outgoing[Peer];
  // Both ends treat a new monitored connection as the start of a new sequence of attempts, so a
  // connection that was opened for control messages is replaced.
  bool BecomesMonitored = Monitored && !Link.m_IsMonitored;
  Link.m_IsMonitored = Monitored;
  if (Link.m_Address != Address || BecomesMonitored) {
    m_Impl->disconnect(Peer, Link);
    Link.m_Address = Address;
    Link.m_NextConnect = TimePoint();
  }
  if (Monitored && !Link.m_IsReady && !Link.m_IsConnecting &&
      EventLoop::now() >= Link.m_NextConnect)
    m_Impl->connect(Peer, Link);
}

void RpcNode::removePeer(const InstanceId &Peer) {
  auto Found = m_Impl->m_Outgoing.find(Peer);
  if (Found == m_Impl->m_Outgoing.end())
    return;
  m_Impl->disconnect(Peer, Found->second);
  m_Impl->m_Outgoing.erase(Found);
}

bool RpcNode::isConnected(const InstanceId &Peer) const {
  return m_Impl->readyLink(Peer) != nullptr;
}

bool RpcNode::isMonitored(const InstanceId &Peer) const {
  auto Found = m_Impl->m_Outgoing.find(Peer);
  return Found != m_Impl->m_Outgoing.end() && Found->second.m_IsMonitored;
}

void RpcNode::runAttempt(const InstanceId &Peer, const AttemptRequest &Request,
                         std::shared_ptr<AttemptSink> Sink) {
  Impl::Outgoing *Link = m_Impl->readyLink(Peer);
  if (!Link) {
    AttemptEnd End;
    End.m_Status = AttemptStatus::Refused;
    End.m_WasRun = WasRun::No;
    End.m_Reason = "no connection to the agent";
    return Sink->onEnd(Request.m_Attempt, End);
  }
  KJ_IF_MAYBE (Client, Link->m_Client) {
    auto Call = Client->runAttemptRequest();
    encode(Request, Call.initRequest());
    auto SingleEnd = std::make_shared<SingleEndSink>(std::move(Sink));
    Call.setSink(kj::heap<SinkServer>(Request.m_Attempt, SingleEnd));
    std::erase_if(Link->m_Attempts, [](const auto &Entry) { return Entry.second.expired(); });
    Link->m_Attempts[Request.m_Attempt] = SingleEnd;
    m_Impl->tasks().add(Call.send().ignoreResult().catch_(
        [Node = m_Impl.get(), Peer, Epoch = Link->m_Epoch](kj::Exception &&) {
          Node->scheduleDisconnect(Peer, Epoch);
        }));
  }
}

void RpcNode::cancelAttempt(const InstanceId &Peer, const AttemptId &Attempt) {
  Impl::Outgoing *Link = m_Impl->readyLink(Peer);
  if (!Link)
    return;
  KJ_IF_MAYBE (Client, Link->m_Client) {
    auto Call = Client->cancelAttemptRequest();
    Call.setAttempt(Attempt.str());
    m_Impl->tasks().add(Call.send().ignoreResult().catch_([](kj::Exception &&) {}));
  }
}

void RpcNode::fetchChunk(const InstanceId &Peer, const Digest &Chunk, Duration Timeout,
                         ChunkCallback Reply) {
  m_Impl->whenOpen(
      Peer, [Node = m_Impl.get(), Peer, Chunk, Timeout, Reply = std::move(Reply)](bool IsOpen) {
        if (!IsOpen)
          return Reply({ChunkAnswer::Status::NotSent, {}});
        Node->sendFetch(Peer, Chunk, Timeout, Reply);
      });
}

void RpcNode::Impl::sendFetch(const InstanceId &Peer, const Digest &Chunk, Duration Timeout,
                              const ChunkCallback &Reply) {
  Outgoing &Link = *readyLink(Peer);
  auto Call = KJ_ASSERT_NONNULL(Link.m_Client).fetchChunkRequest();
  Call.setDigest(dataOf(Chunk));
  auto Answer = Call.send().then([](auto &&Out) {
    if (Out.getFound())
      return ChunkAnswer{ChunkAnswer::Status::Found, stringOf(Out.getData())};
    return ChunkAnswer{Out.getBusy() ? ChunkAnswer::Status::Busy : ChunkAnswer::Status::NotHeld,
                       {}};
  });
  tasks().add(timer()
                  .timeoutAfter(Timeout.count() * kj::MICROSECONDS, kj::mv(Answer))
                  .then([Reply](ChunkAnswer Result) { Reply(std::move(Result)); },
                        [this, Peer, Epoch = Link.m_Epoch, Reply](kj::Exception &&Failure) {
                          handleFailedCall(Peer, Epoch, Failure);
                          Reply({ChunkAnswer::Status::NoAnswer, {}});
                        }));
}

void RpcNode::control(const InstanceId &Peer, Topic Subject, std::string Payload, Duration Timeout,
                      ResultCallback Done) {
  m_Impl->whenOpen(Peer, [Node = m_Impl.get(), Peer, Subject, Payload = std::move(Payload), Timeout,
                          Done = std::move(Done)](bool IsOpen) {
    if (!IsOpen)
      return Done(std::nullopt);
    Node->sendControl(Peer, Subject, Payload, Timeout, Done);
  });
}

void RpcNode::Impl::sendControl(const InstanceId &Peer, Topic Subject, const std::string &Payload,
                                Duration Timeout, const ResultCallback &Done) {
  ++m_Counters.m_ControlMessagesSent;
  m_Counters.m_ControlBytesSent += Payload.size();
  Outgoing &Link = *readyLink(Peer);
  auto Call = KJ_ASSERT_NONNULL(Link.m_Client).controlRequest();
  Call.setTopic(static_cast<rpc::Topic>(Subject));
  Call.setPayload(dataOf(Payload));
  auto Answer = Call.send().then(
      [](auto &&Out) -> std::optional<std::string> { return stringOf(Out.getPayload()); });
  tasks().add(timer()
                  .timeoutAfter(Timeout.count() * kj::MICROSECONDS, kj::mv(Answer))
                  .then([Done](std::optional<std::string> Content) { Done(std::move(Content)); },
                        [this, Peer, Epoch = Link.m_Epoch, Done](kj::Exception &&Failure) {
                          handleFailedCall(Peer, Epoch, Failure);
                          Done(std::nullopt);
                        }));
}

RpcNode::Counters RpcNode::counters() const {
  Counters Result = m_Impl->m_Counters;
  Result.m_Incoming = m_Impl->m_Incoming.size();
  for (const auto &[Peer, Link] : m_Impl->m_Outgoing)
    Result.m_Outgoing += Link.m_IsReady ? 1 : 0;
  return Result;
}

} // namespace fescuegauge
