#ifndef FESCUEGAUGE_ROLLOUTAGENT_H
#define FESCUEGAUGE_ROLLOUTAGENT_H

#include "Fescuegauge/Activator.h"
#include "Fescuegauge/OriginBudget.h"
#include "Fescuegauge/ReplacementRule.h"
#include "Fescuegauge/StagingPolicy.h"
#include "Fescuegauge/TransferPlanner.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace fescuegauge {

/// Delete a chunk from the staging area.
struct EvictChunk {
  Digest m_Chunk;
};

/// List the staging area, hashing each chunk; answer with onStagingListed() or onListingFailed().
struct ListStaging {
  std::uint64_t m_Number = 0;
};

/// Fetch the manifest with this root digest from the object store or a peer; answer with
/// addManifest().
struct FetchManifest {
  Digest m_Root;
};

/// A table operation; answer with onTableCommit() or onTableRead() and the same number.
struct TableRequest {
  std::uint64_t m_Number = 0;
  TableAction m_Action;
};

using AgentAction = std::variant<StartFetch, CancelFetch, SendSummary, TableRequest, EvictChunk,
                                 ListStaging, FetchManifest, ActivationCommand>;

/// All rules are enabled in production. Tests disable single rules and check that it is detected.
struct RolloutAgentRules {
  bool m_WaitAfterChange = true;
  bool m_ListAfterRefusedWrite = true;
};

struct RolloutAgentSettings {
  InstanceRecord m_Self;
  /// See TransferPlanner.
  RegionId m_OriginRegion;
  Bytes m_StagingCapacity;
  std::uint64_t m_Seed = 0;
  /// See Activator.
  Digest m_LastServed;
  TransferPlanner::Rules m_TransferRules;
  OriginBudget::Rules m_BudgetRules;
  StagingPolicy::Rules m_StagingRules;
  Activator::Rules m_ActivationRules;
  ReplacementRule::Rules m_ReplacementRules;
  RolloutAgentRules m_AgentRules;
};

/// The rollout policy of one agent: combines TransferPlanner, OriginBudget, StagingPolicy,
/// Activator and ReplacementRule for one engine.
///
/// The owner reports events, calls poll() after them and at least twice a second, and carries out
/// the actions in order. Every action that expects an answer must be answered; a time-out is
/// reported as a failure (Unknown for a table write).
class RolloutAgent {
public:
  /// Delay from a new target until the upstream may stop serving for it. Upstreams that learned of
  /// the target later may just have stopped serving for the previous one; a change is adopted
  /// within 3 s and shown by the membership view within another 3 s.
  static constexpr Duration ReplacementWait = std::chrono::seconds(6);
  /// Interval between evaluations of the replacement rule.
  static constexpr Duration RuleEvaluationInterval = std::chrono::seconds(1);
  /// Minimum time between two listings caused by refused writes.
  static constexpr Duration RelistInterval = std::chrono::seconds(30);
  /// A listing that is not answered within this time is requested again.
  static constexpr Duration ListTimeout = std::chrono::minutes(10);
  /// Delay before a failed listing is repeated.
  static constexpr Duration ListRetryInterval = std::chrono::seconds(1);
  static constexpr Duration ManifestInterval = std::chrono::seconds(5);

  explicit RolloutAgent(const RolloutAgentSettings &Settings);

  /// Sets the version in force. Returns false and changes nothing if `Order` has an older change.
  bool setTarget(const TransferOrder &Order, TimePoint Now);
  /// Sets the membership view and the minimum capacity of each work class in this data centre.
  void setView(std::shared_ptr<const std::vector<InstanceRecord>> View,
               std::vector<ClassNeed> Needs, TimePoint Now);
  void setLinkBudget(const LinkBudget &Budget) { m_Planner.setLinkBudget(Budget); }
  /// Whether no request is in progress on the engine.
  void setDrained(bool Drained) { m_Activator.setDrained(Drained); }

  /// Chunks whose content was found to match their digest.
  void onStagingListed(std::uint64_t Number, std::span<const ChunkRef> Chunks, TimePoint Now);
  /// The engine did not answer.
  void onListingFailed(std::uint64_t Number, TimePoint Now);
  void addManifest(const Manifest &Version);
  void onSummary(const InstanceId &From, const ChunkSummary &Summary, TimePoint Now) {
    m_Planner.onSummary(From, Summary, Now);
  }
  /// True if the chunk must be written to staging, followed by onStaged().
  bool onReceived(FetchId Id, const Digest &Received, TimePoint Now) {
    return m_Planner.onReceived(Id, Received, Now);
  }
  void onStaged(const ChunkRef &Chunk, bool Written, TimePoint Now);
  void onProgress(FetchId Id, TimePoint Now) { m_Planner.onProgress(Id, Now); }
  void onFetchFailed(FetchId Id, FetchFailure Failure, TimePoint Now) {
    m_Planner.onFetchFailed(Id, Failure, Now);
  }
  UploadAnswer admitUpload(const InstanceId &Requester, const Digest &Chunk, TimePoint Now) {
    return m_Planner.admitUpload(Requester, Chunk, Now);
  }
  void endUpload(const InstanceId &Requester) { m_Planner.endUpload(Requester); }
  void onTableCommit(std::uint64_t Number, const CommitResult &Result, TimePoint Now);
  /// `Row` is nothing if the table did not answer.
  void onTableRead(std::uint64_t Number, const std::optional<TableRow> &Row, TimePoint Now);
  /// For the results of activation commands.
  Activator &activator() { return m_Activator; }

  std::vector<AgentAction> poll(TimePoint Now);

  /// The version to which requests may be routed; zero if none.
  const Digest &routableRoot() const { return m_Activator.routableRoot(); }
  bool isConverged() const { return m_Activator.isConverged(); }
  const TransferPlanner &planner() const { return m_Planner; }
  const Activator &activator() const { return m_Activator; }
  const StagingPolicy &staging() const { return m_Staging; }
  ReplacementRule::Verdict replacementVerdict() const { return m_Verdict; }
  /// The reason why the rollout is blocked; empty if it is not.
  std::string problem() const;

private:
  void beginOrder(TimePoint Now, std::vector<AgentAction> &Actions);
  void updateServedManifest(std::vector<AgentAction> &Actions, TimePoint Now);
  void applyGrant(Bytes Granted, TimePoint Now);

  InstanceRecord m_Self;
  TransferPlanner m_Planner;
  StagingPolicy m_Staging;
  Activator m_Activator;
  ReplacementRule m_ReplacementRule;
  RolloutAgentRules m_Rules;
  OriginBudget::Rules m_BudgetRules;
  std::string m_BudgetOwner;
  std::optional<OriginBudget> m_Budget;
  RolloutId m_BudgetRollout;
  std::uint64_t m_TableRequestNumber = 0;
  std::optional<TransferOrder> m_Target;
  /// The target was not yet passed to the planner, because staging is not listed or has no room.
  bool m_OrderPending = false;
  TimePoint m_TargetSetAt;
  bool m_DoesNotFit = false;
  /// Chunks that were written to staging after the order had changed; to be evicted.
  std::vector<Digest> m_UnneededChunks;
  std::shared_ptr<const std::vector<InstanceRecord>> m_View;
  std::vector<ClassNeed> m_Needs;
  std::unordered_map<Digest, Manifest> m_Manifests;
  Digest m_RecordedServedRoot;
  std::optional<TimePoint> m_ManifestRequestedAt;
  bool m_IsStagingListed = false;
  std::uint64_t m_ListingNumber = 0;
  bool m_IsListingPending = false;
  /// Earliest time of the next listing, if staging is not listed.
  TimePoint m_NextListingAt;
  TimePoint m_StagingListedAt;
  std::optional<TimePoint> m_RuleEvaluatedAt;
  ReplacementRule::Verdict m_Verdict = ReplacementRule::Verdict::Waiting;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ROLLOUTAGENT_H
