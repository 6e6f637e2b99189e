#ifndef FESCUEGAUGE_RPCNODE_H
#define FESCUEGAUGE_RPCNODE_H

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

/// Who stands at the other end of a connection between two processes of the system.
struct PeerIdentity {
  std::string m_Deployment;
  InstanceId m_Instance;
  Incarnation m_Incarnation;
  DataCentreId m_DataCentre;
  InstanceRole m_Role = InstanceRole::Agent;
  /// Names the process as the origin of attempts.
  std::string m_AttemptSource;
  /// The number that the process gives to its next attempt.
  std::uint64_t m_NextAttempt = 1;
};

/// One dispatch of a request to an agent.
struct AttemptRequest {
  AttemptId m_Attempt;
  RequestId m_Request;
  ClientAccountId m_Account;
  ServiceId m_Service;
  WorkClassId m_Class;
  /// Names the work for duplicate detection: the claim of non-idempotent work, else the attempt.
  std::string m_Execution;
  bool m_NonIdempotent = false;
  GenerationId m_Generation;
  /// Zero, or the root digest that must be served.
  Digest m_RequiredDigest;
  /// Bytes of the answer that the caller already has.
  std::uint64_t m_ResumeFrom = 0;
  int m_Priority = 0;
  Duration m_Timeout{};
  std::string m_Body;
  /// As the entry instance computed it, for recognising requests that crash engines.
  Digest m_BodyDigest;
};

/// What identifies a request that may crash engines.
struct RunningRequest {
  ClientAccountId m_Account;
  Digest m_BodyDigest;
};

/// One loss of the engine beside an agent.
struct EngineLoss {
  /// Numbers the losses of one agent's engine.
  Incarnation m_EngineIncarnation;
  /// The requests of all entry instances that ran on it.
  std::vector<RunningRequest> m_Running;
};

enum class AttemptStatus {
  Complete,
  /// Not run, and a late copy will be refused too.
  Refused,
  /// The engine answered with an error or broke off.
  Failed,
  Cancelled,
  /// The engine is gone; every attempt that it ran ends like this.
  EngineLost,
  /// The connection to the agent was lost; set by the dispatching side.
  ConnectionLost,
};

struct AttemptEnd {
  AttemptStatus m_Status = AttemptStatus::ConnectionLost;
  WasRun m_WasRun = WasRun::Unknown;
  std::string m_Reason;
  std::uint64_t m_TotalBytes = 0;
  Digest m_ServedDigest;
  /// On EngineLost.
  EngineLoss m_Loss;
  /// On Refused.
  ErrorKind m_Error = ErrorKind::NotReady;
  Incarnation m_AgentIncarnation;
};

struct AttemptFragment {
  AttemptId m_Attempt;
  std::uint64_t m_Offset = 0;
  std::string m_Data;
  Digest m_ServedDigest;
};

/// Receives the answer to one attempt. All calls are made on the loop; after onEnd no more follow.
class AttemptSink {
public:
  virtual ~AttemptSink() = default;
  virtual void onFragment(const AttemptFragment &Fragment) = 0;
  virtual void onEnd(const AttemptId &Attempt, const AttemptEnd &End) = 0;
};

/// Subject of a control message.
enum class Topic { Membership, Configuration, Claims, Weights, Suspects, Attempts, Operator };

using ControlReply = std::function<void(std::string Payload)>;

/// A peer's answer to the request for a chunk.
struct ChunkAnswer {
  enum class Status {
    Found,
    /// Too many uploads are in progress.
    Busy,
    NotHeld,
    /// No connection; the peer saw nothing of the request.
    NotSent,
    /// No answer in time, or the connection was lost.
    NoAnswer,
  };
  Status m_Status = Status::NoAnswer;
  std::string m_Content;
};
using ChunkReply = std::function<void(ChunkAnswer Answer)>;

/// The process's answer to calls of its peers. All calls are made on the loop.
class RpcHandler {
public:
  virtual ~RpcHandler() = default;
  virtual void onPeerConnected(const PeerIdentity &) {}
  /// The number that this process gives to its next attempt, for the hello of a connection.
  virtual std::uint64_t nextAttemptNumber() const { return 1; }
  /// What is sent back on a heartbeat of `From`.
  virtual std::string onHeartbeat(const PeerIdentity &) { return {}; }
  /// What `Peer` sent back on a heartbeat of this process.
  virtual void onHeartbeatAnswer(const InstanceId &, const std::string &) {}
  /// A connection that this process opened was accepted.
  virtual void onConnected(const PeerIdentity &) {}
  /// A connection that this process opened was lost.
  virtual void onDisconnected(const InstanceId &) {}
  /// An incoming connection was closed or carried nothing for the failure time.
  virtual void onPeerLost(const PeerIdentity &) {}
  virtual void onRunAttempt(const PeerIdentity &From, AttemptRequest Request,
                            std::shared_ptr<AttemptSink> Sink) = 0;
  virtual void onCancelAttempt(const PeerIdentity &From, const AttemptId &Attempt) = 0;
  virtual void onFetchChunk(const PeerIdentity &From, const Digest &Chunk, ChunkReply Reply) = 0;
  virtual void onControl(const PeerIdentity &From, Topic Subject, std::string Payload,
                         ControlReply Reply) = 0;
};

/// How connections between processes are kept.
struct RpcOptions {
  Endpoint m_Listen;
  PeerIdentity m_Self;
  Duration m_HeartbeatInterval = std::chrono::milliseconds(500);
  /// A connection that carries nothing for this long is given up and replaced.
  Duration m_FailureTime = std::chrono::seconds(2);
  /// Connections beyond this number are closed at once.
  std::size_t m_MaxConnections = 2048;
  /// A connection without monitoring that carries nothing for this long is closed.
  Duration m_IdleTime = std::chrono::seconds(60);
  /// Messages that wait for a connection to be opened; a further one fails at once.
  std::size_t m_MaxWaiting = 32;
  /// A longer message breaks its connection.
  Bytes m_MaxMessage = 64_MiB;
};

/// Connections to and from other processes of the system.
///
/// One connection leads to each peer that this process calls. It carries heartbeats from the
/// caller, which the callee answers, so both ends find out within the failure time when it stops
/// delivering data. All functions but the constructor and destructor are called on the loop.
class RpcNode {
public:
  /// Listens before it returns. Throws std::runtime_error if the address cannot be used.
  RpcNode(EventLoop &Loop, RpcOptions Options, RpcHandler &Handler);
  ~RpcNode();

  std::uint16_t port() const;

  /// Makes the address of a peer known; the connection is opened with the first message. With
  /// `Monitored`, it is opened at once, carries heartbeats and is opened again whenever it is lost.
  void remember(const InstanceId &Peer, const Endpoint &Address, bool Monitored);
  void forget(const InstanceId &Peer);
  bool isConnected(const InstanceId &Peer) const;
  bool isMonitored(const InstanceId &Peer) const;

  /// Without a connection `Sink` gets an end with status Refused and "not run" at once.
  void runAttempt(const InstanceId &Peer, const AttemptRequest &Request,
                  std::shared_ptr<AttemptSink> Sink);
  void cancelAttempt(const InstanceId &Peer, const AttemptId &Attempt);
  void fetchChunk(const InstanceId &Peer, const Digest &Chunk, Duration Timeout, ChunkReply Reply);
  using ControlResult = std::function<void(std::optional<std::string> Payload)>;
  /// `Done` gets nothing if no answer came in time, counted from when the message could be sent.
  void control(const InstanceId &Peer, Topic Subject, std::string Payload, Duration Timeout,
               ControlResult Done);

  /// The peers whose heartbeats this process answers.
  std::vector<InstanceId> monitoringPeers() const;

  /// Closes all connections and stops listening. Later calls behave as if no peer could be reached.
  void close();

  /// Connections, bytes and messages, for dumps and metrics.
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
