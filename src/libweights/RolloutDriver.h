#ifndef FESCUEGAUGE_LIBWEIGHTS_ROLLOUTDRIVER_H
#define FESCUEGAUGE_LIBWEIGHTS_ROLLOUTDRIVER_H

#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/RolloutAgent.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuegauge::driver {

/// Virtual time: events run in order of their time; events of equal time run in the order in which
/// they were scheduled.
class EventQueue {
public:
  TimePoint now() const { return m_Now; }
  void at(TimePoint When, std::function<void()> Run) {
    m_Events.push({std::max(When, m_Now), m_Sequence++, std::move(Run)});
  }
  void after(Duration Wait, std::function<void()> Run) { at(m_Now + Wait, std::move(Run)); }
  /// Runs the next event; false if there is none.
  bool step() {
    if (m_Events.empty())
      return false;
    Event Next = std::move(const_cast<Event &>(m_Events.top()));
    m_Events.pop();
    m_Now = Next.m_When;
    Next.m_Run();
    return true;
  }

private:
  struct Event {
    TimePoint m_When;
    std::uint64_t m_Sequence;
    std::function<void()> m_Run;
    bool operator<(const Event &Other) const {
      return m_When != Other.m_When ? m_When > Other.m_When : m_Sequence > Other.m_Sequence;
    }
  };
  std::priority_queue<Event> m_Events;
  // Not zero, because policies subtract durations from the current time.
  TimePoint m_Now{std::chrono::hours(1)};
  std::uint64_t m_Sequence = 0;
};

/// Rates available to transfers beside live requests. In the time in which a region link carries
/// one copy, an instance's link carries two copies and the origin's link carries four.
struct LinkRates {
  /// 20 Mbit/s, a fifth of which is used by live requests.
  BytesPerSecond m_Region{2e6};
  BytesPerSecond m_Instance{4e6};
  BytesPerSecond m_Origin{8e6};
};

/// Links that serve transfers in order, each at the rate of the slowest link on its path.
class ChunkNetwork {
public:
  static constexpr Duration NearLatency = std::chrono::milliseconds(1);
  static constexpr Duration FarLatency = std::chrono::milliseconds(2);
  static constexpr std::size_t OriginNode = ~std::size_t(0);

  ChunkNetwork(EventQueue &Queue, const LinkRates &Rates) : m_Queue(Queue), m_Rates(Rates) {}

  /// Adds a node in a region and returns its number. The origin is in region 0.
  std::size_t addNode(std::size_t Region) {
    m_Nodes.push_back({Region, TimePoint(), TimePoint()});
    return m_Nodes.size() - 1;
  }
  Duration latency(std::size_t From, std::size_t To) const {
    return regionOf(From) == regionOf(To) ? NearLatency : FarLatency;
  }
  void setOriginRateFactor(double Factor) { m_OriginFactor = Factor; }
  void setRegionRateFactor(double Factor) { m_RegionFactor = Factor; }
  std::uint64_t regionBytes() const { return m_RegionBytes; }

  /// Sends `Size` bytes and calls `Done` when the last one has arrived.
  void transfer(std::size_t From, std::size_t To, Bytes Size, std::function<void()> Done) {
    TimePoint &Up = From == OriginNode ? m_OriginFree : m_Nodes[From].m_UpFree;
    double UpRate =
        From == OriginNode ? m_Rates.m_Origin.rate() * m_OriginFactor : m_Rates.m_Instance.rate();
    TimePoint Start = std::max(m_Queue.now(), Up);
    Up = Start + BytesPerSecond(UpRate).timeFor(Size);
    m_Queue.at(Start, [=, this, UpEnd = Up, Done = std::move(Done)]() mutable {
      TimePoint Now = m_Queue.now();
      TimePoint &Down = m_Nodes[To].m_DownFree;
      Down = std::max(Down, Now) + m_Rates.m_Instance.timeFor(Size);
      TimePoint End = std::max(UpEnd, Down);
      if (regionOf(From) != regionOf(To)) {
        TimePoint &Link = m_RegionFree[{regionOf(From), regionOf(To)}];
        Link = std::max(Link, Now) +
               BytesPerSecond(m_Rates.m_Region.rate() * m_RegionFactor).timeFor(Size);
        End = std::max(End, Link);
        m_RegionBytes += Size.count();
      }
      m_Queue.at(End + latency(From, To), std::move(Done));
    });
  }

private:
  struct Node {
    std::size_t m_Region;
    TimePoint m_UpFree;
    TimePoint m_DownFree;
  };
  std::size_t regionOf(std::size_t Index) const {
    return Index == OriginNode ? 0 : m_Nodes[Index].m_Region;
  }

  EventQueue &m_Queue;
  LinkRates m_Rates;
  std::vector<Node> m_Nodes;
  TimePoint m_OriginFree;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_RegionFree;
  double m_OriginFactor = 1;
  double m_RegionFactor = 1;
  std::uint64_t m_RegionBytes = 0;
};

/// In-memory transactional table with conditions, write ids and stale reads.
class FakeTable {
public:
  CommitResult transact(const Transaction &Sent) {
    auto Known = m_Outcomes.find(Sent.m_WriteId);
    if (Known != m_Outcomes.end())
      return Known->second;
    CommitResult Result;
    Result.m_Status = CommitStatus::Committed;
    for (const RowCondition &Condition : Sent.m_Conditions)
      if (!Condition.holds(row(Condition.m_Key))) {
        Result.m_Status = CommitStatus::Conflict;
        Result.m_Conflicts.push_back(row(Condition.m_Key));
      }
    if (Result.m_Status == CommitStatus::Committed)
      for (const RowPut &Put : Sent.m_Puts) {
        TableRow &Row = m_Rows[Put.m_Key];
        m_PreviousRows[Put.m_Key] = Row;
        Row = {Put.m_Key, Put.m_Value, Row.m_Position.next()};
      }
    return m_Outcomes[Sent.m_WriteId] = Result;
  }
  TableRow row(const std::string &Key) const {
    auto It = m_Rows.find(Key);
    return It == m_Rows.end() ? TableRow{Key, {}, {}} : It->second;
  }
  /// The row before its last write.
  TableRow staleRow(const std::string &Key) const {
    auto It = m_PreviousRows.find(Key);
    return It == m_PreviousRows.end() ? TableRow{Key, {}, {}}
                                      : TableRow{Key, It->second.m_Value, It->second.m_Position};
  }
  const std::map<std::string, TableRow> &rows() const { return m_Rows; }

private:
  std::map<std::string, TableRow> m_Rows;
  std::map<std::string, TableRow> m_PreviousRows;
  std::map<WriteId, CommitResult> m_Outcomes;
};

struct Site {
  std::string m_Region;
  std::string m_DataCentre;
};

/// Three regions with one data centre each, the origin in the first.
inline std::vector<Site> threeSites() {
  return {{"central-valley", "cv-1"}, {"guanacaste", "gu-1"}, {"caribe", "ca-1"}};
}

/// Two regions with two data centres each, the origin in the first.
inline std::vector<Site> fourSites() {
  return {{"dalarna", "da-1"}, {"dalarna", "da-2"}, {"jamtland", "ja-1"}, {"jamtland", "ja-2"}};
}

struct DriverSettings {
  std::vector<Site> m_Sites = threeSites();
  std::size_t m_Instances = 12;
  std::size_t m_Chunks = 24;
  Bytes m_ChunkSize = 4_MiB;
  TransferPreference m_Preference = TransferPreference::Time;
  LinkRates m_Rates;
  std::uint64_t m_Seed = 1;
  /// Share of a data centre's upstreams that must keep serving.
  double m_MinServingShare = 0.5;
  /// Share of the rate of region links that planners are configured to use.
  double m_TransferRate = 1;
  /// Whether versions share a quarter of their chunks.
  bool m_SharedChunks = true;
  /// Whether control messages are lost and delayed.
  bool m_LossyMessages = false;
  TransferPlanner::Rules m_TransferRules;
  OriginBudget::Rules m_BudgetRules;
  StagingPolicy::Rules m_StagingRules;
  Activator::Rules m_ActivationRules;
  ReplacementRule::Rules m_ReplacementRules;
  RolloutAgentRules m_AgentRules;
};

/// Runs RolloutAgent objects in virtual time against fakes of links, engines, origin and table, and
/// checks invariants of the deployment independently of the agents.
class Driver {
public:
  static constexpr Duration Tick = std::chrono::milliseconds(500);
  static constexpr Duration LoadTime = std::chrono::seconds(5);
  static constexpr std::uint64_t RequestBytes = ChunkSummary::HeaderBytes + Digest::Size;

  explicit Driver(DriverSettings Settings);

  /// Issues a change, which agents adopt within 3 s while they are reachable. `Version` selects the
  /// content; by default versions share a quarter of their chunks. Returns the change number.
  ChangeNumber issue(std::uint64_t Version);
  /// As issue(), for a version that every instance holds and serves already.
  void startServing(std::uint64_t Version);
  /// Adds an empty instance to the data centre of site `SiteIndex`.
  void join(std::size_t SiteIndex);
  /// Fills every staging area with chunks unknown to the agents, such as those left by a process
  /// that controlled the engine before.
  void fillStaging();
  /// The number of agents to whose engines requests may be routed.
  std::size_t servingCount() const;
  /// Injects a fault of a random kind for a random time.
  void injectFault();
  static constexpr std::uint64_t FaultKinds = 18;
  /// Injects a fault of the given kind, a number below FaultKinds.
  void injectFault(std::uint64_t Kind);
  /// Runs until every live agent serves the newest version and no fault is active. False if that
  /// takes longer than `Limit` of virtual time.
  bool runUntilConverged(Duration Limit);
  void run(Duration Length);

  EventQueue &queue() { return m_Queue; }
  /// Bytes that left the origin for the rollout of the newest change.
  std::uint64_t originBytes() const;
  /// Share of live agents that hold every chunk of the newest version.
  double stagedShare() const;
  double originCopies() const;
  /// The most copies that left the origin in any rollout of the run.
  double worstOriginCopies() const;
  std::uint64_t regionBytes() const { return m_Network.regionBytes(); }
  /// Maximum over all agents of the control bytes sent and received per second since the newest
  /// change.
  double controlBytesPerSecond() const;
  Bytes versionSize() const { return manifest(1).totalSize(); }
  /// The number of violations found by the driver, and a description of the first one.
  std::uint64_t violations() const { return m_Violations; }
  const std::string &firstViolation() const { return m_FirstViolation; }
  /// Describes the current step of each agent that has not converged.
  std::string pending() const;
  std::size_t interruptions() const { return m_Interruptions; }

private:
  /// A model engine with its staging area; outlives its agent processes.
  struct Engine {
    std::size_t m_Node = 0;
    std::size_t m_Site = 0;
    bool m_Alive = true;
    bool m_ChecksToken = true;
    /// Expected digest of each chunk in staging, and the digest of its actual content.
    std::unordered_map<Digest, Digest> m_Staging;
    std::unordered_map<Digest, Bytes> m_Sizes;
    Bytes m_Used;
    Digest m_Served;
    FencingToken m_Token;
    FencingToken m_HighestToken;
    bool m_Loading = false;
    bool m_Stalled = false;
    TimePoint m_BusyUntil;
    /// The newest change whose version was live here.
    ChangeNumber m_LiveChange;
    Digest m_LiveRoot;
    std::size_t m_Agent = 0;
  };

  struct Agent {
    std::unique_ptr<RolloutAgent> m_Policy;
    InstanceRecord m_Record;
    std::size_t m_Engine = 0;
    bool m_Alive = true;
    /// True if another process replaced this one while it was paused.
    bool m_Superseded = false;
    TimePoint m_PausedUntil;
    std::vector<std::function<void()>> m_DeferredEvents;
    std::map<FetchId, Digest> m_Fetching;
    ChangeNumber m_AdoptedChange;
    Digest m_LastRoutable;
    std::uint64_t m_ControlBytes = 0;
    std::uint64_t m_AppliedMembersHash = 0;
    Duration m_ViewLag{};
    std::vector<TimePoint> m_LastSeenBySite;
    TimePoint m_Started;
  };

  struct Change {
    std::uint64_t m_Version = 0;
    RolloutId m_Rollout;
    TimePoint m_IssuedAt;
  };

  struct Snapshot {
    TimePoint m_At;
    std::uint64_t m_MembersHash = 0;
    std::shared_ptr<const std::vector<InstanceRecord>> m_Records;
  };

  const Manifest &manifest(std::uint64_t Version) const;
  std::size_t addEngine(std::size_t SiteIndex);
  std::size_t startAgent(std::size_t EngineIndex);
  void tick(std::size_t Index);
  void poll(std::size_t Index);
  void deliver(std::size_t Index, Duration Wait, std::function<void()> Run);
  void send(std::size_t From, std::size_t To, std::function<void()> Run);
  void perform(std::size_t Index, const StartFetch &Action);
  void perform(std::size_t Index, const CancelFetch &Action);
  void perform(std::size_t Index, const SendSummary &Action);
  void perform(std::size_t Index, const TableRequest &Action);
  void perform(std::size_t Index, const EvictChunk &Action);
  void perform(std::size_t Index, const ListStaging &Action);
  void perform(std::size_t Index, const FetchManifest &Action);
  void perform(std::size_t Index, const ActivationCommand &Action);
  /// Reports progress of a fetch until it has ended. Real transfers share a link, so transfers that
  /// are queued in the fake network also count as making progress.
  void reportProgress(std::size_t Index, FetchId Id);
  void receive(std::size_t Index, const StartFetch &Action, bool FromBadPeer);
  void load(std::size_t Index, const ActivationCommand &Action);
  void adoptNewestChange(std::size_t Index);
  void takeSnapshots();
  void checkAgent(std::size_t Index);
  bool allConverged() const;
  void checkInvariant(Invariant &Rule, bool Holds, const std::string &Detail);
  bool isBlocked(std::size_t LeftSite, std::size_t RightSite) const;
  bool isPlatformBlocked(std::size_t SiteIndex) const {
    return m_PlatformBlockedSites.contains(SiteIndex);
  }
  bool isRunning(const Agent &Checked) const {
    return Checked.m_Alive && Checked.m_PausedUntil <= m_Queue.now();
  }
  std::uint32_t minServing(std::size_t SiteIndex) const;
  void endAfter(Duration Length, std::function<void()> EndFault);
  void killAgent(std::size_t Index, bool WithEngine);
  void pauseAgent(std::size_t Index, Duration Length, bool Replaced);
  Duration randomSeconds(std::uint64_t Min, std::uint64_t Max);
  /// A random running agent with a live engine.
  std::size_t randomAgent();
  TransferOrder orderOf(ChangeNumber Number) const;
  bool isPlatformReachable(std::size_t SiteIndex) const;
  const std::unordered_set<Digest> &digestsOf(std::uint64_t Version) const;

  DriverSettings m_Settings;
  mutable std::map<std::uint64_t, Manifest> m_Manifests;
  mutable std::map<std::uint64_t, std::unordered_set<Digest>> m_Digests;
  EventQueue m_Queue;
  ChunkNetwork m_Network;
  RandomGenerator m_Random;
  FakeTable m_Table;
  std::vector<Engine> m_Engines;
  /// A deque, because references must stay valid when an instance is added.
  std::deque<Agent> m_Agents;
  std::unordered_map<InstanceId, std::size_t> m_AgentById;
  std::vector<std::size_t> m_RegionOfSite;
  std::vector<std::size_t> m_SiteSizes;
  /// Change n is at index n - 1.
  std::vector<Change> m_Changes;
  std::map<RolloutId, std::uint64_t> m_OriginBytes;
  std::vector<std::deque<Snapshot>> m_Snapshots;
  /// Multisets, because partitions overlap.
  std::multiset<std::pair<std::size_t, std::size_t>> m_BlockedSitePairs;
  std::multiset<std::size_t> m_PlatformBlockedSites;
  std::size_t m_ActiveFaults = 0;
  bool m_OriginDown = false;
  bool m_TableDown = false;
  bool m_LoseResponses = false;
  bool m_StaleReads = false;
  double m_CorruptShare = 0;
  InstanceId m_BadPeer;
  TimePoint m_LastFaultAt;
  TimePoint m_ControlBytesSince;
  std::uint64_t m_Violations = 0;
  std::string m_FirstViolation;
  std::size_t m_Interruptions = 0;
  std::size_t m_NextName = 0;
};

/// The outcome of one randomised run.
struct FaultRun {
  bool m_Converged = false;
  std::uint64_t m_Violations = 0;
  std::string m_FirstViolation;
  double m_WorstOriginCopies = 0;
  std::string m_Pending;
};

/// Runs one rollout with several random faults on a small random deployment. `Seed` determines the
/// random parameters; `Settings` provides the others.
FaultRun runWithFaults(DriverSettings Settings, std::uint64_t Seed);

} // namespace fescuegauge::driver

#endif // FESCUEGAUGE_LIBWEIGHTS_ROLLOUTDRIVER_H
