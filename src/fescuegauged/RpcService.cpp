#include "RpcService.h"

#include "Fescuegauge/Log.h"
#include "Fescuegauge/Metrics.h"

namespace fescuegauge {

RpcService::RpcService(const Settings &Configured, PeerIdentity Self, EventLoop &Loop)
    : Service("rpc"), m_Settings(Configured), m_Self(std::move(Self)), m_Loop(Loop) {}

RpcService::~RpcService() = default;

void RpcService::start(Kernel &Services) {
  RpcOptions Options;
  Options.m_Listen = m_Settings.m_Listen.m_Rpc;
  Options.m_Self = m_Self;
  Options.m_HeartbeatInterval = m_Settings.m_Heartbeats.m_Interval;
  Options.m_FailureTime = m_Settings.m_Heartbeats.m_FailureTime;
  m_Node = std::make_unique<RpcNode>(m_Loop, std::move(Options), *this);
  auto &Metrics = Services.find<MetricsService>("metrics");
  GaugeMetric &ControlBytes = Metrics.gauge(
      {"fescuegauge_control_bytes", "Payload bytes of control messages sent since the start.", {}});
  GaugeMetric &Connections = Metrics.gauge(
      {"fescuegauge_connections", "Open connections to other processes.", {{"direction", 2}}});
  Metrics.beforeCollection([this, &ControlBytes, &Connections] {
    RpcNode::Counters Counters;
    m_Loop.postAndWait([&] { Counters = m_Node->counters(); });
    ControlBytes.set({}, static_cast<double>(Counters.m_ControlBytesSent));
    Connections.set({"incoming"}, static_cast<double>(Counters.m_Incoming));
    Connections.set({"outgoing"}, static_cast<double>(Counters.m_Outgoing));
  });
}

void RpcService::stop() {
  // The node is closed but not destroyed, since timers of other services call it until the loop
  // stops.
  m_Loop.postAndWait([this] { m_Node->close(); });
}

boost::json::object RpcService::dumpState() const {
  RpcNode::Counters Counters;
  m_Loop.postAndWait([&] { Counters = m_Node->counters(); });
  return {{"port", m_Node->port()},
          {"incoming", Counters.m_Incoming},
          {"outgoing", Counters.m_Outgoing},
          {"controlMessagesSent", Counters.m_ControlMessagesSent},
          {"controlBytesSent", Counters.m_ControlBytesSent},
          {"connectionsLost", Counters.m_ConnectionsLost}};
}

void RpcService::onPeerConnected(const PeerIdentity &Peer) {
  logEvent(Severity::Debug, "peer_connected", {{"peer", Peer.m_Instance}});
}

void RpcService::onPeerLost(const PeerIdentity &Peer) {
  logEvent(Severity::Info, "peer_lost", {{"peer", Peer.m_Instance}});
}

std::uint64_t RpcService::nextAttemptNumber() const {
  return m_NextAttemptProvider ? m_NextAttemptProvider() : 1;
}

std::string RpcService::onHeartbeat(const PeerIdentity &From) {
  return m_HeartbeatReportProvider ? m_HeartbeatReportProvider(From) : std::string();
}

void RpcService::onHeartbeatAnswer(const InstanceId &Peer, const std::string &Report) {
  if (m_HeartbeatAnswerHandler && !Report.empty())
    m_HeartbeatAnswerHandler(Peer, Report);
}

void RpcService::onConnected(const PeerIdentity &Peer) {
  for (const auto &Callback : m_ConnectedHandlers)
    Callback(Peer);
}

void RpcService::onSilent(const InstanceId &Peer) {
  logEvent(Severity::Info, "peer_silent", {{"peer", Peer}});
  for (const auto &Callback : m_SilentHandlers)
    Callback(Peer);
}

void RpcService::onDisconnected(const InstanceId &Peer) {
  logEvent(Severity::Info, "connection_lost", {{"peer", Peer}});
  for (const auto &Callback : m_DisconnectedHandlers)
    Callback(Peer);
}

void RpcService::onRunAttempt(const PeerIdentity &From, AttemptRequest Request,
                              std::shared_ptr<AttemptSink> Sink) {
  if (m_RunAttemptHandler)
    return m_RunAttemptHandler(From, std::move(Request), std::move(Sink));
  AttemptEnd End;
  End.m_Status = AttemptStatus::Refused;
  End.m_WasRun = WasRun::No;
  Sink->onEnd(Request.m_Attempt, End);
}

void RpcService::onCancelAttempt(const PeerIdentity &, const AttemptId &Attempt) {
  if (m_CancelAttemptHandler)
    m_CancelAttemptHandler(Attempt);
}

void RpcService::onFetchChunk(const PeerIdentity &From, const Digest &Chunk, ChunkCallback Reply) {
  if (m_FetchChunkHandler)
    m_FetchChunkHandler(From, Chunk, std::move(Reply));
  else
    Reply({ChunkAnswer::Status::NotHeld, {}});
}

void RpcService::onControl(const PeerIdentity &From, Topic Subject, std::string Payload,
                           ReplyCallback Reply) {
  auto Index = static_cast<std::size_t>(Subject);
  if (Index < TopicCount && m_TopicHandlers.at(Index))
    m_TopicHandlers.at(Index)(From, std::move(Payload), std::move(Reply));
  else
    Reply({});
}

} // namespace fescuegauge
