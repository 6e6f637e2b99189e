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

/// Service "weights" of an agent: brings the model version in force to its engine. Carries out what
/// RolloutAgent decides. Not part of an agent in front of a plain service.
class WeightsService : public Service {
public:
  /// An upload or download by a peer connection gets this long.
  static constexpr Duration FetchTimeout = std::chrono::seconds(120);

  WeightsService(const Settings &Configured, EventLoop &Loop);

  void start(Kernel &Services) override;
  boost::json::object dumpState() const override;

private:
  void configurationChanged(const Configuration &InForce);
  void manifestFound(const Digest &Root, const std::optional<std::string> &Text);
  void requestManifest(const Digest &Root);
  void askPeerForManifest(const Digest &Root);
  void applyTarget();
  void updateView(TimePoint Now);
  std::uint32_t minimumServing() const;
  void serveControl(const InstanceId &From, const std::string &Payload, const ControlReply &Reply);
  void serveChunk(const PeerIdentity &From, const Digest &Chunk, const ChunkReply &Reply);

  void poll();
  void carryOut(const StartFetch &Fetch);
  void received(const StartFetch &Fetch, std::string Content);
  void stage(const StartFetch &Fetch, const std::shared_ptr<std::string> &Content);
  void carryOut(const CancelFetch &) {}
  void carryOut(const SendSummary &Message);
  void carryOut(const TableRequest &Request);
  void carryOut(const EvictChunk &Evicted);
  void carryOut(const ListStaging &Listing);
  void carryOut(const FetchManifest &Needed) { requestManifest(Needed.m_Root); }
  void carryOut(const ActivationCommand &Command);
  void confirmConfiguration(std::uint64_t Number);
  void verifyStaging(const ActivationCommand &Command);
  void readServed(std::uint64_t Number);
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
  /// Bytes of chunks that were received and are not staged yet. At the limit of the settings, peers
  /// are answered Busy.
  Bytes m_ChunkBytes;
  bool m_Polling = false;
  TimePoint m_NextView;
  Digest m_Routable;
};

/// Name of the object that holds the manifest with that root digest.
std::string manifestObjectName(const Digest &Root);

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_WEIGHTSSERVICE_H
