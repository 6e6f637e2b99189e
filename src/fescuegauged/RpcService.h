#ifndef FESCUEGAUGE_FESCUEGAUGED_RPCSERVICE_H
#define FESCUEGAUGE_FESCUEGAUGED_RPCSERVICE_H

#include "Fescuegauge/EventLoop.h"
#include "Fescuegauge/Kernel.h"
#include "Fescuegauge/RpcNode.h"
#include "Fescuegauge/Settings.h"

#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace fescuegauge {

/// Service "rpc": the connections to other processes. Other services register handlers in their
/// start(). All handlers run on the loop.
class RpcService : public Service, public RpcHandler {
public:
  using ControlHandler =
      std::function<void(const PeerIdentity &From, std::string Payload, ReplyCallback Reply)>;

  RpcService(const Settings &Configured, PeerIdentity Self, EventLoop &Loop);
  ~RpcService() override;

  void start(Kernel &Services) override;
  void stop() override;
  boost::json::object dumpState() const override;

  RpcNode &node() { return *m_Node; }
  const PeerIdentity &self() const { return m_Self; }

  void setTopicHandler(Topic Subject, ControlHandler Handler) {
    m_TopicHandlers[static_cast<std::size_t>(Subject)] = std::move(Handler);
  }

  /// Handlers set by other services. Without one, attempts are refused, chunks are reported as not
  /// held, and other events are ignored.
  std::function<void(const PeerIdentity &, AttemptRequest, std::shared_ptr<AttemptSink>)>
      m_RunAttemptHandler;
  std::function<void(const AttemptId &)> m_CancelAttemptHandler;
  std::function<void(const PeerIdentity &, const Digest &, ChunkCallback)> m_FetchChunkHandler;
  std::function<std::uint64_t()> m_NextAttemptProvider;
  std::function<std::string(const PeerIdentity &)> m_HeartbeatReportProvider;
  std::function<void(const InstanceId &, const std::string &)> m_HeartbeatAnswerHandler;
  std::vector<std::function<void(const PeerIdentity &)>> m_ConnectedHandlers;
  std::vector<std::function<void(const InstanceId &)>> m_SilentHandlers;
  std::vector<std::function<void(const InstanceId &)>> m_DisconnectedHandlers;

private:
  static constexpr std::size_t TopicCount = static_cast<std::size_t>(Topic::Operator) + 1;

  void onPeerConnected(const PeerIdentity &Peer) override;
  void onPeerLost(const PeerIdentity &Peer) override;
  std::uint64_t nextAttemptNumber() const override;
  std::string onHeartbeat(const PeerIdentity &From) override;
  void onHeartbeatAnswer(const InstanceId &Peer, const std::string &Report) override;
  void onConnected(const PeerIdentity &Peer) override;
  void onSilent(const InstanceId &Peer) override;
  void onDisconnected(const InstanceId &Peer) override;
  void onRunAttempt(const PeerIdentity &From, AttemptRequest Request,
                    std::shared_ptr<AttemptSink> Sink) override;
  void onCancelAttempt(const PeerIdentity &From, const AttemptId &Attempt) override;
  void onFetchChunk(const PeerIdentity &From, const Digest &Chunk, ChunkCallback Reply) override;
  void onControl(const PeerIdentity &From, Topic Subject, std::string Payload,
                 ReplyCallback Reply) override;

  const Settings &m_Settings;
  PeerIdentity m_Self;
  EventLoop &m_Loop;
  std::array<ControlHandler, TopicCount> m_TopicHandlers;
  std::unique_ptr<RpcNode> m_Node;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_RPCSERVICE_H
