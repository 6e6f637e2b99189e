#include "Fescuegauge/RolloutAgent.h"

#include <algorithm>

namespace fescuegauge {

RolloutAgent::RolloutAgent(const RolloutAgentSettings &Settings)
    : m_Self(Settings.m_Self), m_Planner(Settings.m_Self, Settings.m_OriginRegion, Settings.m_Seed,
                                         Settings.m_TransferRules),
      m_Staging(Settings.m_StagingCapacity, Settings.m_StagingRules),
      m_Activator(Settings.m_LastServed, Settings.m_ActivationRules),
      m_ReplacementRule(Settings.m_ReplacementRules), m_Rules(Settings.m_AgentRules),
      m_BudgetRules(Settings.m_BudgetRules),
      m_BudgetOwner(Settings.m_Self.m_Id.str() + '-' +
                    std::to_string(Settings.m_Self.m_Incarnation.value())) {}

bool RolloutAgent::setTarget(const TransferOrder &Order, TimePoint Now) {
  if (!m_Activator.setTarget(Order.m_Manifest.rootDigest(), Order.m_Change))
    return false;
  if (m_Target && m_Target->m_Change == Order.m_Change &&
      m_Target->m_Manifest.rootDigest() == Order.m_Manifest.rootDigest())
    return true;
  m_Target = Order;
  m_TargetSetAt = Now;
  m_Activator.setMayReplace(false);
  m_OrderPending = true;
  addManifest(Order.m_Manifest);
  return true;
}

void RolloutAgent::setView(std::shared_ptr<const std::vector<InstanceRecord>> View,
                           std::vector<ClassNeed> Needs, TimePoint Now) {
  m_View = std::move(View);
  m_Needs = std::move(Needs);
  m_Planner.setView(*m_View, Now);
}

void RolloutAgent::addManifest(const Manifest &Version) {
  if (m_Manifests.size() >= StagingPolicy::MaxVersions &&
      !m_Manifests.contains(Version.rootDigest()))
    for (auto It = m_Manifests.begin(); It != m_Manifests.end(); ++It)
      if (It->first != m_RecordedServedRoot &&
          (!m_Target || It->first != m_Target->m_Manifest.rootDigest())) {
        m_Manifests.erase(It);
        break;
      }
  m_Manifests.insert_or_assign(Version.rootDigest(), Version);
}

void RolloutAgent::onStagingListed(std::uint64_t Number, std::span<const ChunkRef> Chunks,
                                   TimePoint Now) {
  if (Number != m_ListingNumber || !m_IsListingPending)
    return;
  m_IsListingPending = false;
  m_NextListingAt = Now;
  m_StagingListedAt = Now;
  m_IsStagingListed = true;
  m_Staging.clear();
  for (const ChunkRef &Chunk : Chunks)
    m_Staging.restoreChunk(Chunk);
  m_OrderPending = m_Target.has_value();
}

void RolloutAgent::onListingFailed(std::uint64_t Number, TimePoint Now) {
  if (Number != m_ListingNumber || !m_IsListingPending)
    return;
  m_IsListingPending = false;
  m_NextListingAt = Now + ListRetryInterval;
}

void RolloutAgent::onStaged(const ChunkRef &Chunk, bool Written, TimePoint Now) {
  bool Kept = Written && m_Staging.addChunk(Chunk);
  if (Written && !Kept)
    m_UnneededChunks.push_back(Chunk.m_Digest);
  // The area may hold chunks written by another process that controlled the engine; a listing finds
  // them, so that they can be evicted.
  if (!Written && Now - m_StagingListedAt >= RelistInterval && m_Rules.m_ListAfterRefusedWrite)
    m_IsStagingListed = false;
  m_Planner.onStaged(Chunk.m_Digest, Kept, Now);
}

void RolloutAgent::applyGrant(Bytes Granted, TimePoint Now) {
  if (Granted != Bytes() || !m_Budget->isPending())
    m_Planner.addGrant(m_BudgetRollout, Granted, Now);
  if (m_Target && m_Target->m_Rollout == m_BudgetRollout)
    m_Planner.setOriginScarce(m_Budget->isScarce());
}

void RolloutAgent::onTableCommit(std::uint64_t Number, const CommitResult &Result, TimePoint Now) {
  if (Number == m_TableRequestNumber && m_Budget)
    applyGrant(m_Budget->onCommit(Result, Now), Now);
}

void RolloutAgent::onTableRead(std::uint64_t Number, const std::optional<TableRow> &Row,
                               TimePoint Now) {
  if (Number == m_TableRequestNumber && m_Budget)
    applyGrant(m_Budget->onRead(Row, Now), Now);
}

void RolloutAgent::beginOrder(TimePoint Now, std::vector<AgentAction> &Actions) {
  std::optional<std::vector<Digest>> Evicted = m_Staging.beginTransfer(m_Target->m_Manifest);
  m_DoesNotFit = !Evicted;
  if (!Evicted)
    return;
  for (const Digest &Chunk : *Evicted)
    Actions.emplace_back(EvictChunk{Chunk});
  m_Planner.setOrder(*m_Target, m_Staging.held(), Now);
  m_OrderPending = false;
}

void RolloutAgent::updateServedManifest(std::vector<AgentAction> &Actions, TimePoint Now) {
  const Digest Served = m_Activator.routableRoot();
  if (Served.isZero() || Served == m_RecordedServedRoot)
    return;
  auto It = m_Manifests.find(Served);
  if (It != m_Manifests.end()) {
    m_Staging.setServed(It->second);
    m_RecordedServedRoot = Served;
    return;
  }
  m_Staging.setServedUnknown();
  if (!m_ManifestRequestedAt || Now - *m_ManifestRequestedAt >= ManifestInterval) {
    m_ManifestRequestedAt = Now;
    Actions.emplace_back(FetchManifest{Served});
  }
}

std::vector<AgentAction> RolloutAgent::poll(TimePoint Now) {
  std::vector<AgentAction> Actions;
  if (m_Activator.takeEngineRestart()) {
    m_IsStagingListed = false;
    // A pending listing may show the area from before the restart.
    m_NextListingAt = Now;
  }
  if (m_Activator.takeStagingFault())
    m_IsStagingListed = false;
  if (!m_IsStagingListed && Now >= m_NextListingAt) {
    m_IsListingPending = true;
    m_NextListingAt = Now + ListTimeout;
    Actions.emplace_back(ListStaging{++m_ListingNumber});
  }
  for (const Digest &Chunk : m_UnneededChunks)
    Actions.emplace_back(EvictChunk{Chunk});
  m_UnneededChunks.clear();
  updateServedManifest(Actions, Now);
  if (m_OrderPending && m_IsStagingListed)
    beginOrder(Now, Actions);

  for (TransferAction &Action : m_Planner.poll(Now)) {
    if (auto *Request = std::get_if<RequestGrant>(&Action)) {
      if (!m_Budget || m_BudgetRollout != Request->m_Rollout) {
        m_BudgetRollout = Request->m_Rollout;
        m_Budget.emplace(Request->m_Rollout, m_Target->m_Manifest.totalSize(), m_BudgetOwner,
                         m_BudgetRules);
      }
      m_Budget->request(Request->m_Wanted, Request->m_MinUsable, Now);
    } else {
      std::visit(
          [&](auto &Other) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(Other)>, RequestGrant>)
              Actions.emplace_back(std::move(Other));
          },
          Action);
    }
  }
  if (m_Budget)
    if (std::optional<TableAction> Next = m_Budget->poll(Now))
      Actions.emplace_back(TableRequest{++m_TableRequestNumber, std::move(*Next)});

  const bool Staged = m_IsStagingListed && !m_OrderPending && m_Planner.isComplete();
  m_Activator.setStaged(Staged);
  const bool HasWaited = Now - m_TargetSetAt >= ReplacementWait ||
                         m_Activator.routableRoot().isZero() || !m_Rules.m_WaitAfterChange;
  if (Staged && HasWaited && !m_Activator.isConverged() &&
      (!m_RuleEvaluatedAt || Now - *m_RuleEvaluatedAt >= RuleEvaluationInterval)) {
    m_RuleEvaluatedAt = Now;
    m_Self.m_ServedDigest = m_Activator.routableRoot();
    static const std::vector<InstanceRecord> Empty;
    m_Verdict =
        m_ReplacementRule.mayReplace(m_Self, m_Planner.root(), m_View ? *m_View : Empty, m_Needs);
    m_Activator.setMayReplace(m_Verdict == ReplacementRule::Verdict::Allowed);
  }
  if (std::optional<ActivationCommand> Command = m_Activator.poll(Now))
    Actions.emplace_back(*Command);
  return Actions;
}

std::string RolloutAgent::problem() const {
  if (m_DoesNotFit)
    return "the staging area has no room for the version beside the served one";
  if (m_Budget && m_Budget->isExhausted() && !m_Planner.isComplete())
    return "the origin budget of the rollout is exhausted";
  if (m_Planner.isComplete() && m_Verdict == ReplacementRule::Verdict::NeedsSurge &&
      !m_Activator.isConverged())
    return "stopping this upstream would leave a work class below its minimum capacity";
  return {};
}

} // namespace fescuegauge
