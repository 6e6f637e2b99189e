#ifndef FESCUEGAUGE_FESCUEGAUGED_WEIGHTSSERVICE_H
#define FESCUEGAUGE_FESCUEGAUGED_WEIGHTSSERVICE_H

#include "AttemptService.h"
#include "Fescuegauge/RolloutAgent.h"
#include "TargetsService.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace fescuegauge {

/// Service "weights" of an agent: transfers the model version in force to the engine and activates
/// it, as decided by RolloutAgent. Not used by agents of plain services.
class WeightsService : public Service {
public:
  /// Timeout of a chunk transfer over a peer connection.
  static constexpr Duration FetchTimeout = std::chrono::seconds(120);

  WeightsService(const Settings &Configured, EventLoop &Loop);

  void start(Kernel &Services) override;
  boost::json::object dumpState() const override;

private:
  void onConfigurationChanged(const Configuration &InForce);
  void onManifest(const Digest &Root, const std::optional<std::string> &Text);
  void requestManifest(const Digest &Root);
  void requestManifestFromPeer(const Digest &Root);
  void applyTarget();
  void updateView(TimePoint Now);
  std::uint32_t minimumServing() const;
  void serveControl(const InstanceId &From, const std::string &Payload, const ReplyCallback &Reply);
  void serveChunk(const PeerIdentity &From, const Digest &Chunk, const ChunkCallback &Reply);

  void poll();
  void perform(const StartFetch &Fetch);
  void onChunkReceived(const StartFetch &Fetch, std::string Content);
  void stageChunk(const StartFetch &Fetch, const std::shared_ptr<std::string> &Content);
  void perform(const CancelFetch &) {}
  void perform(const SendSummary &Message);
  void perform(const TableRequest &Request);
  void perform(const EvictChunk &Evicted);
  void perform(const ListStaging &Listing);
  void perform(const FetchManifest &Needed) { requestManifest(Needed.m_Root); }
  void perform(const ActivationCommand &Command);
  void confirmConfiguration(std::uint64_t Number);
  void verifyStaging(const ActivationCommand &Command);
  void readServedVersion(std::uint64_t Number);
  void load(const ActivationCommand &Command);

  const Settings &m_Settings;
  EventLoop &m_Loop;
  std::unique_ptr<RolloutAgent> m_Agent;
  PlatformService *m_Platform = nullptr;
  RpcService *m_Rpc = nullptr;
  MembershipService *m_Membership = nullptr;
  TargetsService *m_Targets = nullptr;
  AttemptService *m_Attempts = nullptr;
  std::unordered_map<Digest, Manifest> m_Manifests;
  std::unordered_set<Digest> m_ManifestRequests;
  std::optional<RolloutDeclaration> m_Rollout;
  ChangeNumber m_RolloutChange;
  /// Number of the configuration in force.
  ChangeNumber m_Configuration;
  /// Bytes of chunks that were received but are not staged yet. At the configured limit, requests
  /// of peers for chunks are answered with Busy.
  Bytes m_UnstagedBytes;
  bool m_IsPolling = false;
  TimePoint m_NextViewUpdateAt;
  Digest m_RoutableRoot;
};

/// Returns the name of the object that holds the manifest with root digest `Root`.
std::string manifestObjectName(const Digest &Root);

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_WEIGHTSSERVICE_H
