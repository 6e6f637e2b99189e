#ifndef FESCUEGAUGE_RPCNODE_H
#define FESCUEGAUGE_RPCNODE_H

#include "Fescuegauge/CrashSuspects.h"
#include "Fescuegauge/Digest.h"
#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/EventLoop.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/InstanceRecord.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuegauge {

/// Identity that a process presents to its peer when a connection is opened.
struct PeerIdentity {
  std::string m_Deployment;
  InstanceId m_Instance;
  Incarnation m_Incarnation;
  DataCentreId m_DataCentre;
  InstanceRole m_Role = InstanceRole::Agent;
  /// Identifies the process as the source of attempts.
  std::string m_AttemptSource;
  /// Number of the next attempt of this source.
  std::uint64_t m_NextAttempt = 1;
};

/// One dispatch of a request to an agent.
struct AttemptRequest {
  AttemptId m_Attempt;
  RequestId m_Request;
  ClientAccountId m_Account;
  ServiceId m_Service;
  WorkClassId m_Class;
  /// Key for duplicate detection: the claim of non-idempotent work, otherwise the attempt.
  std::string m_Execution;
  bool m_NonIdempotent = false;
  GenerationId m_Generation;
  /// Root digest of the weights that must be served; zero if any will do.
  Digest m_RequiredDigest;
  /// Number of bytes of the answer that the caller has already received.
  std::uint64_t m_ResumeFrom = 0;
  int m_Priority = 0;
  Duration m_Timeout{};
  std::string m_Body;
  /// Computed by the entry instance; see CrashSuspects.
  SuspectRequest m_Suspect;
};

/// A loss of an agent's engine.
struct EngineLoss {
  /// Identifies the loss among those of the agent's engine.
  Incarnation m_EngineIncarnation;
  /// Requests of all entry instances that were running on the engine and had not begun.
  std::vector<SuspectRequest> m_Unstarted;
};

enum class AttemptStatus {
  Complete,
  /// Not executed; a duplicate that arrives later will be refused too.
  Refused,
  /// The engine returned an error or aborted the answer.
  Failed,
  Cancelled,
  /// The engine was lost; all attempts that were running on it end with this status.
  EngineLost,
  /// The connection to the agent was lost. Never sent; set by the dispatching process.
  ConnectionLost,
};

struct AttemptEnd {
  AttemptStatus m_Status = AttemptStatus::ConnectionLost;
  WasRun m_WasRun = WasRun::Unknown;
  std::string m_Reason;
  std::uint64_t m_TotalBytes = 0;
  Digest m_ServedDigest;
  /// Only set with status EngineLost.
  EngineLoss m_Loss;
  /// Only meaningful with status Refused.
  ErrorKind m_Error = ErrorKind::NotReady;
  Incarnation m_AgentIncarnation;
};

struct AttemptFragment {
  AttemptId m_Attempt;
  std::uint64_t m_Offset = 0;
  std::string m_Data;
  Digest m_ServedDigest;
};

/// Receives the answer to one attempt. All calls are made on the loop; onEnd() is the last.
class AttemptSink {
public:
  virtual ~AttemptSink() = default;
  virtual void onFragment(const AttemptFragment &Fragment) = 0;
  virtual void onEnd(const AttemptId &Attempt, const AttemptEnd &End) = 0;
};

/// Subject of a control message.
enum class Topic { Membership, Configuration, Claims, Weights, Suspects, Attempts, Operator };

using ReplyCallback = std::function<void(std::string Payload)>;

/// A peer's answer to the request for a chunk.
struct ChunkAnswer {
  enum class Status {
    Found,
    /// Too many uploads are in progress.
    Busy,
    NotHeld,
    /// There was no connection; the peer received nothing of the request.
    NotSent,
    /// The request timed out or the connection was lost.
    NoAnswer,
  };
  Status m_Status = Status::NoAnswer;
  std::string m_Content;
};
using ChunkCallback = std::function<void(ChunkAnswer Answer)>;

/// Handles calls and connection events of peers. All calls are made on the loop.
class RpcHandler {
public:
  virtual ~RpcHandler() = default;
  virtual void onPeerConnected(const PeerIdentity &) {}
  /// Number of this process's next attempt, for the hello message of a connection.
  virtual std::uint64_t nextAttemptNumber() const { return 1; }
  /// Returns the payload of the answer to a heartbeat of the peer.
  virtual std::string onHeartbeat(const PeerIdentity &) { return {}; }
  /// A peer answered a heartbeat of this process; the second argument is the payload.
  virtual void onHeartbeatAnswer(const InstanceId &, const std::string &) {}
  /// The peer accepted a connection that this process opened.
  virtual void onConnected(const PeerIdentity &) {}
  /// The peer has not answered heartbeats for half of the failure time. Its connection stays open
  /// and may go on. Called once for each such silence.
  virtual void onSilent(const InstanceId &) {}
  /// A connection that this process opened was lost.
  virtual void onDisconnected(const InstanceId &) {}
  /// An incoming connection was closed, or carried no call for longer than its time limit.
  virtual void onPeerLost(const PeerIdentity &) {}
  virtual void onRunAttempt(const PeerIdentity &From, AttemptRequest Request,
                            std::shared_ptr<AttemptSink> Sink) = 0;
  virtual void onCancelAttempt(const PeerIdentity &From, const AttemptId &Attempt) = 0;
  virtual void onFetchChunk(const PeerIdentity &From, const Digest &Chunk, ChunkCallback Reply) = 0;
  virtual void onControl(const PeerIdentity &From, Topic Subject, std::string Payload,
                         ReplyCallback Reply) = 0;
};

/// Addresses, timeouts and limits of an RpcNode.
struct RpcOptions {
  Endpoint m_Listen;
  PeerIdentity m_Self;
  Duration m_HeartbeatInterval = std::chrono::milliseconds(500);
  /// A monitored connection without heartbeats or answers for this long is closed and replaced.
  Duration m_FailureTime = std::chrono::seconds(4);
  /// Further incoming connections are closed immediately.
  std::size_t m_MaxConnections = 2048;
  /// An unmonitored connection that is not used for this long is closed.
  Duration m_IdleTime = std::chrono::seconds(60);
  /// Maximum number of messages queued until a connection is open; further ones fail immediately.
  std::size_t m_MaxPendingMessages = 32;
  /// A larger message closes its connection.
  Bytes m_MaxMessage = 64_MiB;
};

/// Connections to and from other processes of the system.
///
/// There is one outgoing connection for each peer that this process calls. On a monitored one the
/// caller sends heartbeats, which the callee answers, so that both ends detect within the failure
/// time when it stops delivering data. All functions except the constructor and the destructor must
/// be called on the loop.
class RpcNode {
public:
  /// Starts listening before it returns. Throws std::runtime_error if the address cannot be used.
  RpcNode(EventLoop &Loop, RpcOptions Options, RpcHandler &Handler);
  ~RpcNode();

  std::uint16_t port() const;

  /// Adds a peer or updates its address. The connection is opened by the first message. With
  /// `Monitored`, it is opened immediately, carries heartbeats and is reopened whenever it is lost.
  void addPeer(const InstanceId &Peer, const Endpoint &Address, bool Monitored);
  void removePeer(const InstanceId &Peer);
  bool isConnected(const InstanceId &Peer) const;
  bool isMonitored(const InstanceId &Peer) const;

  /// Without a connection, `Sink` immediately receives an end with status Refused and WasRun::No.
  void runAttempt(const InstanceId &Peer, const AttemptRequest &Request,
                  std::shared_ptr<AttemptSink> Sink);
  void cancelAttempt(const InstanceId &Peer, const AttemptId &Attempt);
  void fetchChunk(const InstanceId &Peer, const Digest &Chunk, Duration Timeout,
                  ChunkCallback Reply);
  using ResultCallback = std::function<void(std::optional<std::string> Payload)>;
  /// `Done` receives std::nullopt if no answer arrives within `Timeout`, which starts when the
  /// message is sent. An unmonitored connection is then closed; a monitored one stays open.
  void control(const InstanceId &Peer, Topic Subject, std::string Payload, Duration Timeout,
               ResultCallback Done);

  /// Peers that send heartbeats to this process.
  std::vector<InstanceId> monitoringPeers() const;

  /// Closes all connections and stops listening. Later calls behave as if every peer were
  /// unreachable.
  void close();

  /// Counts of connections, bytes and messages, for dumps and metrics.
  struct Counters {
    std::size_t m_Incoming = 0;
    std::size_t m_Outgoing = 0;
    std::uint64_t m_ControlMessagesSent = 0;
    std::uint64_t m_ControlBytesSent = 0;
    std::uint64_t m_ConnectionsLost = 0;
  };
  Counters counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_RPCNODE_H
