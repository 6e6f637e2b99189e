#include "Fescuegauge/Router.h"

#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Rendezvous.h"
#include "PrefixIndex.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <list>
#include <map>
#include <sstream>
#include <unordered_map>

namespace fescuegauge {

namespace {

using Slot = PrefixIndex::Slot;

Invariant SelectedIsEligible("routing.selected_upstream_takes_new_work");
Invariant CountNeverNegative("routing.in_flight_never_negative");
Invariant CountMatchesRequests("routing.in_flight_matches_requests");
Invariant SpillWithinBudget("routing.spill_within_budget");
Invariant AffinityWithinBound("routing.affinity_load_within_bound");
Invariant ConversationsBounded("routing.conversations_within_bound");

/// Number of random candidates for each selection. Two give most of the benefit over one; the third
/// compensates for candidates that do not match the query.
constexpr std::size_t RandomCandidates = 3;
/// Number of positions on the hash ring that are tried for a prefix.
constexpr std::size_t RingCandidates = 2;
constexpr std::size_t RingPointsPerUpstream = 8;
/// Maximum number of random draws from a pool for each selection.
constexpr std::size_t MaxDraws = 8;
/// Fraction of its capacity with which the ramp-up of an upstream begins.
constexpr double RampStart = 0.1;
/// History of the own in-flight counts, to look up the count at the time of a report.
constexpr std::size_t HistoryLength = 64;
constexpr Duration HistoryStep = std::chrono::milliseconds(20);
/// Reports that are older than this are not used.
constexpr Duration MaxReportAge = std::chrono::seconds(5);
/// Time for which the computed mean occupancies of a pool are reused.
constexpr Duration MeanLifetime = std::chrono::milliseconds(50);
/// Additional time in seconds by which a full batch delays an answer, to compare upstreams that are
/// not full.
constexpr double BatchDelay = 0.1;
/// Fraction of the running requests of an upstream that are delayed while it computes a prompt.
constexpr double PrefillContention = 1.0;
/// Expected time in seconds for which a request occupies a slot, before the first measurement.
constexpr double InitialServiceTime = 0.5;
constexpr double InitialTokens = 500;
constexpr double MinTimeConstant = 0.05;
/// Weight of a new sample in the mean service time of a service.
constexpr double MeanGain = 0.05;
/// Cost in seconds of selecting a last resort; higher than any other cost difference.
constexpr double LastResortCost = 1e3;
/// Cost in seconds of selecting an upstream in the local data centre, the region and other regions.
/// The values are far above the network latency, so that small load differences do not cause
/// spill-over.
constexpr std::array<double, 3> LocalityCost{0.0, 0.05, 0.25};
/// Preference for the prefix's position on the hash ring, as a fraction of the prefix's prefill
/// cost.
constexpr double RingPreference = 0.5;
/// Fraction of a match that counts if events were lost after the match was recorded.
constexpr double UncertainMatchConfidence = 0.5;
/// Fixed overhead of a KV cache transfer.
constexpr Duration KvTransferOverhead = std::chrono::milliseconds(15);
/// Minimum saving that justifies the load that a transfer puts on both upstreams.
constexpr Duration MinKvSaving = std::chrono::milliseconds(20);
constexpr double KvTransferMinSpeedup = 1.5;
constexpr std::uint32_t MaxLossDoublings = 3;

struct Sample {
  TimePoint m_Time;
  std::uint32_t m_Count = 0;
};

struct UpstreamState {
  InstanceRecord m_Record;
  std::uint32_t m_Capacity = 1;
  /// Requests in flight from this entry instance with their start times, for exactly-once release.
  std::unordered_multimap<RequestId, TimePoint> m_Requests;
  std::uint32_t m_OwnCount = 0;
  bool m_HasReport = false;
  TimePoint m_ReportMeasuredAt;
  /// Requests of other entry instances, of this one and of all, at the time of the report.
  double m_OthersAtReport = 0;
  double m_OwnAtReport = 0;
  double m_TotalAtReport = 0;
  TimePoint m_RampStartedAt = TimePoint::min();
  TimePoint m_AvoidUntil = TimePoint::min();
  std::uint32_t m_Losses = 0;
  std::uint64_t m_LastEventSequence = 0;
  bool m_HasEvent = false;
  TimePoint m_DepartedAt;
  /// The pool that contains this upstream; null while it gets no new requests.
  struct UpstreamPool *m_Pool = nullptr;
  // Last, so that the fields that every selection reads are close together in memory.
  std::size_t m_HistoryEnd = 0;
  std::array<Sample, HistoryLength> m_History{};
};

/// The upstreams of one service, generation and data centre that accept new requests.
struct UpstreamPool {
  ServiceId m_Service;
  GenerationId m_Generation;
  DataCentreId m_DataCentre;
  RegionId m_Region;
  /// 0 for the local data centre, 1 for the same region, 2 for other regions.
  std::size_t m_Locality = 0;
  std::vector<Slot> m_Members;
  std::vector<std::pair<std::uint64_t, Slot>> m_Ring;
  double m_MeanOccupancy = 0;
  /// Requests of other entry instances per slot, according to the last reports.
  double m_MeanOthersPerSlot = 0;
  /// Time constant in seconds with which occupancy tends to the mean.
  double m_TimeConstant = InitialServiceTime;
  TimePoint m_MeansUpdatedAt = TimePoint::min();
};

struct ServiceState {
  ServiceRouting m_Routing;
  std::vector<std::unique_ptr<UpstreamPool>> m_Pools;
  double m_MeanServiceTime = InitialServiceTime;
  double m_MeanTokens = InitialTokens;
};

struct Conversation {
  ConversationId m_Id;
  Slot m_Slot = 0;
  GenerationId m_Generation;
  Digest m_Digest;
};

struct Candidate {
  Slot m_Slot = 0;
  UpstreamPool *m_Pool = nullptr;
  double m_Cost = 0;
  double m_Occupancy = 0;
  bool m_IsLastResort = false;
  bool m_ForAffinity = false;
  bool m_IsSticky = false;
  /// Number of leading blocks of the request that the upstream is known to hold.
  std::size_t m_KnownBlocks = 0;
};

bool isDeparted(InstanceState State) {
  return State == InstanceState::Leaving || State == InstanceState::Dead;
}

} // namespace

struct Router::State {
  State(RouterOptions Given, std::uint64_t Seed)
      : m_Options(std::move(Given)), m_Random(Seed),
        m_Prefixes(MaxBlocksPerUpstream, m_Options.m_Rules.m_DiscountAfterGap) {}

  RouterOptions m_Options;
  RandomGenerator m_Random;
  PrefixIndex m_Prefixes;
  RouterCounters m_Counters;
  std::vector<std::unique_ptr<UpstreamState>> m_Upstreams;
  std::vector<Slot> m_FreeSlots;
  std::unordered_map<InstanceId, Slot> m_ById;
  std::unordered_map<ServiceId, ServiceState> m_Services;
  std::list<Conversation> m_Conversations;
  std::unordered_map<ConversationId, std::list<Conversation>::iterator> m_ConversationIndex;
  double m_SpillBalance = 0;
  TimePoint m_SpillRefilledAt;
  bool m_SpillStarted = false;
  std::optional<TimePoint> m_FirstRecordAt;
  /// Total bytes spent and accrued, to check the budget.
  double m_SpillUsed = 0;
  double m_SpillAccrued = 0;

  UpstreamState &at(Slot Index) { return *m_Upstreams[Index]; }
  const UpstreamState &at(Slot Index) const { return *m_Upstreams[Index]; }
  ServiceState &service(const ServiceId &Service) { return m_Services[Service]; }
  bool servesModel(const ServiceId &Service) const {
    auto Found = m_Services.find(Service);
    return Found == m_Services.end() || Found->second.m_Routing.m_ServesModel;
  }

  bool isEligible(const UpstreamState &Upstream) const {
    if (m_Options.m_Rules.m_RefuseLeaving && isDeparted(Upstream.m_Record.m_State))
      return false;
    if (Upstream.m_Record.m_State == InstanceState::Joining)
      return false;
    return !m_Options.m_Rules.m_RequireServedDigest || !servesModel(Upstream.m_Record.m_Service) ||
           !Upstream.m_Record.m_ServedDigest.isZero();
  }

  std::optional<Slot> addUpstream(const InstanceRecord &Record, TimePoint Now);
  void removeExpiredTombstones(TimePoint Now);
  void updatePool(Slot Index);
  void removeFromPool(Slot Index);
  UpstreamPool &pool(const InstanceRecord &Record);
  void recordOwnCount(UpstreamState &Upstream, TimePoint Now) const;
  double ownCountAt(const UpstreamState &Upstream, TimePoint Time) const;
  double occupancy(const UpstreamState &Upstream, TimePoint Now) const;
  double effectiveCapacity(const UpstreamState &Upstream, TimePoint Now) const;
  bool isSilent(const UpstreamState &Upstream, TimePoint Now) const;
  void updateMeans(UpstreamPool &Pool, double ServiceTime, TimePoint Now) const;
  bool matchesQuery(Slot Index, const UpstreamQuery &Query,
                    const std::optional<Digest> &Required) const;
  void scoreCandidate(Candidate Scored, double CachedTokens, const RequestDescription &Request,
                      const ServiceState &Service, TimePoint Now, std::optional<Candidate> &Best);
  void searchPool(UpstreamPool &Pool, const UpstreamQuery &Query,
                  const std::optional<Digest> &Required, const ServiceState &Service,
                  const Conversation *Last, TimePoint Now, std::optional<Candidate> &Best);
  Bytes spillSize(const RequestDescription &Request) const;
  void refillSpillBudget(TimePoint Now);
  Conversation *conversation(const ConversationId &Id);
  void storeConversation(const RequestDescription &Request, Slot Chosen);
};

std::optional<Slot> Router::State::addUpstream(const InstanceRecord &Record, TimePoint Now) {
  if (m_ById.size() >= MaxUpstreams)
    removeExpiredTombstones(Now);
  if (m_ById.size() >= MaxUpstreams) {
    ++m_Counters.m_UpstreamsRefused;
    return std::nullopt;
  }
  Slot Index;
  if (m_FreeSlots.empty()) {
    Index = static_cast<Slot>(m_Upstreams.size());
    m_Upstreams.push_back(std::make_unique<UpstreamState>());
  } else {
    Index = m_FreeSlots.back();
    m_FreeSlots.pop_back();
    *m_Upstreams[Index] = {};
  }
  m_ById.emplace(Record.m_Id, Index);
  return Index;
}

/// Frees the slots of upstreams that departed at least TombstoneLifetime ago and have no requests
/// in flight.
void Router::State::removeExpiredTombstones(TimePoint Now) {
  for (auto Entry = m_ById.begin(); Entry != m_ById.end();) {
    UpstreamState &Upstream = at(Entry->second);
    if (isDeparted(Upstream.m_Record.m_State) && Upstream.m_OwnCount == 0 &&
        Now - Upstream.m_DepartedAt >= TombstoneLifetime) {
      m_Prefixes.clear(Entry->second);
      m_FreeSlots.push_back(Entry->second);
      Entry = m_ById.erase(Entry);
    } else {
      ++Entry;
    }
  }
}

UpstreamPool &Router::State::pool(const InstanceRecord &Record) {
  ServiceState &Service = service(Record.m_Service);
  for (auto &Existing : Service.m_Pools)
    if (Existing->m_Generation == Record.m_Generation &&
        Existing->m_DataCentre == Record.m_DataCentre && Existing->m_Region == Record.m_Region)
      return *Existing;
  auto Added = std::make_unique<UpstreamPool>();
  Added->m_Service = Record.m_Service;
  Added->m_Generation = Record.m_Generation;
  Added->m_DataCentre = Record.m_DataCentre;
  Added->m_Region = Record.m_Region;
  if (Record.m_DataCentre != m_Options.m_DataCentre)
    Added->m_Locality = Record.m_Region == m_Options.m_Region ? 1 : 2;
  Service.m_Pools.push_back(std::move(Added));
  return *Service.m_Pools.back();
}

void Router::State::removeFromPool(Slot Index) {
  UpstreamState &Upstream = at(Index);
  if (!Upstream.m_Pool)
    return;
  UpstreamPool &Pool = *Upstream.m_Pool;
  std::erase(Pool.m_Members, Index);
  std::erase_if(Pool.m_Ring, [&](const auto &Point) { return Point.second == Index; });
  Upstream.m_Pool = nullptr;
}

void Router::State::updatePool(Slot Index) {
  UpstreamState &Upstream = at(Index);
  bool IsPoolMember = isEligible(Upstream);
  if (IsPoolMember == (Upstream.m_Pool != nullptr))
    return;
  if (!IsPoolMember) {
    removeFromPool(Index);
    return;
  }
  UpstreamPool &Pool = pool(Upstream.m_Record);
  Pool.m_Members.push_back(Index);
  for (std::size_t I = 0; I < RingPointsPerUpstream; ++I)
    Pool.m_Ring.emplace_back(rendezvousWeight(std::to_string(I), Upstream.m_Record.m_Id.str()),
                             Index);
  std::sort(Pool.m_Ring.begin(), Pool.m_Ring.end());
  Upstream.m_Pool = &Pool;
}

void Router::State::recordOwnCount(UpstreamState &Upstream, TimePoint Now) const {
  std::size_t Last = (Upstream.m_HistoryEnd + HistoryLength - 1) % HistoryLength;
  if (Upstream.m_HistoryEnd > 0 && Now - Upstream.m_History[Last].m_Time < HistoryStep) {
    Upstream.m_History[Last].m_Count = Upstream.m_OwnCount;
    return;
  }
  Upstream.m_History[Upstream.m_HistoryEnd % HistoryLength] = {Now, Upstream.m_OwnCount};
  ++Upstream.m_HistoryEnd;
}

/// Returns the own count at a past time, or the oldest known one if the history does not reach
/// back.
double Router::State::ownCountAt(const UpstreamState &Upstream, TimePoint Time) const {
  std::size_t Kept = std::min(Upstream.m_HistoryEnd, HistoryLength);
  double Oldest = 0;
  for (std::size_t Back = 1; Back <= Kept; ++Back) {
    const Sample &Entry = Upstream.m_History[(Upstream.m_HistoryEnd - Back) % HistoryLength];
    if (Entry.m_Time <= Time)
      return Entry.m_Count;
    Oldest = Entry.m_Count;
  }
  return Upstream.m_HistoryEnd > HistoryLength ? Oldest : 0;
}

double Router::State::occupancy(const UpstreamState &Upstream, TimePoint Now) const {
  if (!Upstream.m_HasReport || Now - Upstream.m_ReportMeasuredAt > MaxReportAge)
    return Upstream.m_OwnCount;
  if (!m_Options.m_Rules.m_CorrectReportsByOwnCounts)
    return Upstream.m_TotalAtReport;
  // The requests of other entry instances tend towards the mean, because they end and because those
  // instances also avoid upstreams that were busy. Without this decay, all entry instances would
  // select the same upstream after one report.
  double Expected = Upstream.m_OthersAtReport;
  if (Upstream.m_Pool && Upstream.m_Pool->m_MeansUpdatedAt != TimePoint::min()) {
    double Mean = Upstream.m_Pool->m_MeanOthersPerSlot * Upstream.m_Capacity;
    double Age = toSeconds(Now - Upstream.m_ReportMeasuredAt);
    Expected = Mean + (Expected - Mean) * std::exp(-Age / Upstream.m_Pool->m_TimeConstant);
  }
  return Expected + Upstream.m_OwnCount;
}

double Router::State::effectiveCapacity(const UpstreamState &Upstream, TimePoint Now) const {
  double Capacity = std::max(Upstream.m_Capacity, 1U);
  Duration Since = Upstream.m_RampStartedAt == TimePoint::min()
                       ? m_Options.m_RampUp
                       : Duration(Now - Upstream.m_RampStartedAt);
  if (!m_Options.m_Rules.m_RampUp || Since >= m_Options.m_RampUp)
    return Capacity;
  double Progress = toSeconds(Since) / toSeconds(m_Options.m_RampUp);
  return std::max(Capacity * (RampStart + (1 - RampStart) * Progress), 1.0);
}

bool Router::State::isSilent(const UpstreamState &Upstream, TimePoint Now) const {
  return m_Options.m_Rules.m_AvoidSilent && Upstream.m_HasReport &&
         Now - Upstream.m_ReportMeasuredAt > m_Options.m_SilentAfter;
}

void Router::State::updateMeans(UpstreamPool &Pool, double ServiceTime, TimePoint Now) const {
  if (Pool.m_MeansUpdatedAt != TimePoint::min() && Now - Pool.m_MeansUpdatedAt < MeanLifetime)
    return;
  double Total = 0;
  double Others = 0;
  double Slots = 0;
  for (Slot Member : Pool.m_Members) {
    const UpstreamState &Upstream = at(Member);
    Total += Upstream.m_OwnCount;
    if (Upstream.m_HasReport && Now - Upstream.m_ReportMeasuredAt <= MaxReportAge) {
      // The decay towards the mean leaves the mean itself unchanged.
      Total += Upstream.m_OthersAtReport;
      Others += Upstream.m_OthersAtReport;
      Slots += Upstream.m_Capacity;
    }
  }
  Pool.m_MeanOccupancy =
      Total / static_cast<double>(std::max<std::size_t>(Pool.m_Members.size(), 1));
  Pool.m_MeanOthersPerSlot = Others / std::max(Slots, 1.0);
  Pool.m_TimeConstant = std::max(ServiceTime, MinTimeConstant);
  Pool.m_MeansUpdatedAt = Now;
}

bool Router::State::matchesQuery(Slot Index, const UpstreamQuery &Query,
                                 const std::optional<Digest> &Required) const {
  const UpstreamState &Upstream = at(Index);
  if (Required && m_Options.m_Rules.m_MatchDigest && Upstream.m_Record.m_ServedDigest != *Required)
    return false;
  return std::find(Query.m_Excluded.begin(), Query.m_Excluded.end(), Upstream.m_Record.m_Id) ==
         Query.m_Excluded.end();
}

/// Computes the cost of a candidate, which is its expected answer time in seconds, and stores the
/// candidate in `Best` if the cost is lower.
void Router::State::scoreCandidate(Candidate Scored, double CachedTokens,
                                   const RequestDescription &Request, const ServiceState &Service,
                                   TimePoint Now, std::optional<Candidate> &Best) {
  const UpstreamState &Upstream = at(Scored.m_Slot);
  double Capacity = effectiveCapacity(Upstream, Now);
  double Occupied = occupancy(Upstream, Now);
  Scored.m_Occupancy = Occupied / Capacity;
  double After = (Occupied + 1) / Capacity;
  double Waiting = std::max(After - 1, 0.0) * Service.m_MeanServiceTime;
  double PromptTokens =
      static_cast<double>(Request.m_PrefixBlocks.size()) * Service.m_Routing.m_TokensPerBlock;
  double Uncached = std::max(PromptTokens - CachedTokens, 0.0);
  Scored.m_IsLastResort = Upstream.m_Record.m_State == InstanceState::Suspect ||
                          isSilent(Upstream, Now) || Now < Upstream.m_AvoidUntil;
  Scored.m_Cost = std::min(After, 1.0) * BatchDelay + Waiting +
                  Uncached * toSeconds(Service.m_Routing.m_PrefillPerToken) *
                      (1 + PrefillContention * Occupied) +
                  LocalityCost[Scored.m_Pool->m_Locality] +
                  (Scored.m_IsLastResort ? LastResortCost : 0);
  if (!Best || Scored.m_Cost < Best->m_Cost)
    Best = Scored;
}

void Router::State::searchPool(UpstreamPool &Pool, const UpstreamQuery &Query,
                               const std::optional<Digest> &Required, const ServiceState &Service,
                               const Conversation *Last, TimePoint Now,
                               std::optional<Candidate> &Best) {
  if (Pool.m_Members.empty())
    return;
  const RequestDescription &Request = *Query.m_Request;
  updateMeans(Pool, Service.m_MeanServiceTime, Now);
  bool IsFound = false;
  double Tokens = Service.m_Routing.m_TokensPerBlock;
  auto AddCandidate = [&](Slot Index, double CachedTokens, bool ForAffinity, bool IsSticky,
                          std::size_t KnownBlocks = 0) {
    if (!matchesQuery(Index, Query, Required))
      return;
    IsFound = true;
    Candidate Scored;
    Scored.m_Slot = Index;
    Scored.m_Pool = &Pool;
    Scored.m_ForAffinity = ForAffinity;
    Scored.m_IsSticky = IsSticky;
    Scored.m_KnownBlocks = KnownBlocks;
    scoreCandidate(Scored, CachedTokens, Request, Service, Now, Best);
  };
  // An upstream above the load bound is not preferred for its cache.
  auto IsWithinLoadBound = [&](Slot Index) {
    if (!m_Options.m_Rules.m_BoundAffinityLoad)
      return true;
    return occupancy(at(Index), Now) + 1 <=
           m_Options.m_AffinityLoadBound * Pool.m_MeanOccupancy + 2;
  };
  auto IsInPool = [&](Slot Index) { return at(Index).m_Pool == &Pool; };

  std::array<PrefixIndex::Match, PrefixIndex::MaxHolders> Matches{};
  std::size_t MatchCount = m_Prefixes.find(Request.m_PrefixBlocks, Matches);
  for (std::size_t I = 0; I < MatchCount; ++I) {
    if (!IsInPool(Matches[I].m_Slot) || !IsWithinLoadBound(Matches[I].m_Slot))
      continue;
    double Confidence = Matches[I].m_IsCertain ? 1 : UncertainMatchConfidence;
    AddCandidate(Matches[I].m_Slot, Confidence * Tokens * static_cast<double>(Matches[I].m_Blocks),
                 true, false, Matches[I].m_IsCertain ? Matches[I].m_Blocks : 0);
  }
  if (Last && IsInPool(Last->m_Slot) && IsWithinLoadBound(Last->m_Slot))
    AddCandidate(Last->m_Slot, Tokens * static_cast<double>(Request.m_PrefixBlocks.size() + 1),
                 true, true);
  if (!Request.m_PrefixBlocks.empty()) {
    // The first block determines the position, so that requests with the same first block are sent
    // to the same upstream.
    std::uint64_t Key = Request.m_PrefixBlocks.front() * 0x9E3779B97F4A7C15ULL;
    auto Point = std::lower_bound(Pool.m_Ring.begin(), Pool.m_Ring.end(),
                                  std::pair<std::uint64_t, Slot>(Key, 0));
    double Preference =
        RingPreference * Tokens * static_cast<double>(Request.m_PrefixBlocks.size());
    for (std::size_t I = 0; I < RingCandidates; ++I, ++Point) {
      if (Point == Pool.m_Ring.end())
        Point = Pool.m_Ring.begin();
      if (IsWithinLoadBound(Point->second))
        AddCandidate(Point->second, I == 0 ? Preference : Preference / 2, true, false);
    }
  }
  std::array<Slot, RandomCandidates> Drawn{};
  std::size_t Taken = 0;
  for (std::size_t Draw = 0; Draw < MaxDraws && Taken < RandomCandidates; ++Draw) {
    Slot Index = Pool.m_Members[uniformBelow(m_Random, Pool.m_Members.size())];
    bool IsRepeated =
        std::find(Drawn.begin(), Drawn.begin() + Taken, Index) != Drawn.begin() + Taken;
    if (IsRepeated || !matchesQuery(Index, Query, Required))
      continue;
    AddCandidate(Index, 0, false, false);
    Drawn[Taken++] = Index;
  }
  // Scans the whole pool if a filter or a failure leaves so few upstreams that no candidate matches
  // or only a last resort does. This is rare.
  if (!IsFound || (Best && Best->m_IsLastResort))
    for (Slot Index : Pool.m_Members)
      AddCandidate(Index, 0, false, false);
}

Bytes Router::State::spillSize(const RequestDescription &Request) const {
  return m_Options.m_BytesPerRequest +
         Bytes(m_Options.m_BytesPerToken.count() * Request.m_EstimatedTokens);
}

void Router::State::refillSpillBudget(TimePoint Now) {
  double Burst = static_cast<double>(m_Options.m_SpillBurst.count());
  if (!m_SpillStarted) {
    m_SpillStarted = true;
    m_SpillBalance = Burst;
    m_SpillAccrued = Burst;
  } else {
    double Accrued = toSeconds(Now - m_SpillRefilledAt) * m_Options.m_SpillRate.rate();
    m_SpillAccrued += Accrued;
    m_SpillBalance = std::min(m_SpillBalance + Accrued, Burst);
  }
  m_SpillRefilledAt = Now;
}

Conversation *Router::State::conversation(const ConversationId &Id) {
  if (Id.empty())
    return nullptr;
  auto Found = m_ConversationIndex.find(Id);
  if (Found == m_ConversationIndex.end())
    return nullptr;
  m_Conversations.splice(m_Conversations.begin(), m_Conversations, Found->second);
  return &m_Conversations.front();
}

void Router::State::storeConversation(const RequestDescription &Request, Slot Chosen) {
  if (Request.m_Conversation.empty())
    return;
  const InstanceRecord &Record = at(Chosen).m_Record;
  if (Conversation *Existing = conversation(Request.m_Conversation)) {
    *Existing = {Request.m_Conversation, Chosen, Record.m_Generation, Record.m_ServedDigest};
    return;
  }
  if (m_Conversations.size() >= MaxConversations) {
    m_ConversationIndex.erase(m_Conversations.back().m_Id);
    m_Conversations.pop_back();
    ++m_Counters.m_ConversationsDropped;
  }
  m_Conversations.push_front(
      {Request.m_Conversation, Chosen, Record.m_Generation, Record.m_ServedDigest});
  m_ConversationIndex[Request.m_Conversation] = m_Conversations.begin();
  ConversationsBounded.check(m_Conversations.size() <= MaxConversations);
}

Router::Router(RouterOptions Options, std::uint64_t Seed)
    : m_State(std::make_unique<State>(std::move(Options), Seed)) {}

Router::~Router() = default;

void Router::setService(const ServiceId &Service, const ServiceRouting &Routing) {
  m_State->service(Service).m_Routing = Routing;
  for (const auto &[Id, Index] : m_State->m_ById)
    if (m_State->at(Index).m_Record.m_Service == Service)
      m_State->updatePool(Index);
}

void Router::setSpillRate(BytesPerSecond Rate) { m_State->m_Options.m_SpillRate = Rate; }

void Router::onInstance(const InstanceRecord &Record, TimePoint Now) {
  State &Self = *m_State;
  if (Record.m_Role != InstanceRole::Agent)
    return;
  auto Found = Self.m_ById.find(Record.m_Id);
  std::optional<Slot> Index;
  bool IsNew = Found == Self.m_ById.end();
  if (!IsNew)
    Index = Found->second;
  else
    Index = Self.addUpstream(Record, Now);
  if (!Index)
    return;
  UpstreamState &Upstream = Self.at(*Index);
  bool IsRestart = false;
  if (!IsNew) {
    const InstanceRecord &Old = Upstream.m_Record;
    bool IsOlder = Record.m_Incarnation < Old.m_Incarnation;
    bool Revives = Record.m_Incarnation == Old.m_Incarnation && isDeparted(Old.m_State) &&
                   Record.m_State != InstanceState::Dead;
    if (Self.m_Options.m_Rules.m_CompareIncarnations && (IsOlder || Revives)) {
      ++Self.m_Counters.m_StaleRecords;
      return;
    }
    IsRestart = Record.m_Incarnation > Old.m_Incarnation;
  }
  // Within one incarnation, a record that changes neither the digest nor the eligibility leaves the
  // ramp-up and the prefix entries as they are.
  bool WasInPool = Upstream.m_Pool != nullptr;
  bool IsReloaded = !IsNew && Upstream.m_Record.m_ServedDigest != Record.m_ServedDigest;
  bool WasDeparted = !IsNew && isDeparted(Upstream.m_Record.m_State);
  Self.removeFromPool(*Index);
  Upstream.m_Record = Record;
  if (Record.m_Capacity > 0)
    Upstream.m_Capacity = Record.m_Capacity;
  if (IsRestart) {
    // Requests that were sent to the earlier incarnation are counted until they are released.
    Upstream.m_HasReport = false;
    Upstream.m_HasEvent = false;
    Upstream.m_Losses = 0;
    Upstream.m_AvoidUntil = TimePoint::min();
  }
  if (IsRestart || IsReloaded)
    Self.m_Prefixes.clear(*Index);
  if (isDeparted(Record.m_State) && !WasDeparted)
    Upstream.m_DepartedAt = Now;
  Self.updatePool(*Index);
  // Upstreams that are live when this process starts were already ramped up by other entry
  // instances.
  if (!Self.m_FirstRecordAt)
    Self.m_FirstRecordAt = Now;
  bool IsStartup = IsNew && Now - *Self.m_FirstRecordAt < Self.m_Options.m_RampUp;
  if (Upstream.m_Pool && (!WasInPool || IsRestart || IsReloaded) && !IsStartup)
    Upstream.m_RampStartedAt = Now;
}

void Router::onLeaving(const InstanceId &Id, Incarnation Number, TimePoint Now) {
  auto Found = m_State->m_ById.find(Id);
  if (Found == m_State->m_ById.end()) {
    // The announcement arrived before the first record, which must not add the upstream.
    InstanceRecord Unknown;
    Unknown.m_Id = Id;
    Unknown.m_Incarnation = Number;
    Unknown.m_State = InstanceState::Leaving;
    onInstance(Unknown, Now);
    return;
  }
  UpstreamState &Upstream = m_State->at(Found->second);
  bool IsAlreadyLeaving =
      Number == Upstream.m_Record.m_Incarnation && isDeparted(Upstream.m_Record.m_State);
  if (Number < Upstream.m_Record.m_Incarnation || IsAlreadyLeaving) {
    ++m_State->m_Counters.m_StaleRecords;
    return;
  }
  Upstream.m_Record.m_Incarnation = Number;
  Upstream.m_Record.m_State = InstanceState::Leaving;
  Upstream.m_DepartedAt = Now;
  m_State->updatePool(Found->second);
}

void Router::onLoadReport(const LoadReport &Report, TimePoint Now) {
  auto Found = m_State->m_ById.find(Report.m_Upstream);
  if (Found == m_State->m_ById.end())
    return;
  UpstreamState &Upstream = m_State->at(Found->second);
  TimePoint Taken = Now - std::max(Report.m_Age, Duration(0));
  bool IsOlder = Upstream.m_HasReport && Taken < Upstream.m_ReportMeasuredAt;
  if (Report.m_Incarnation < Upstream.m_Record.m_Incarnation || IsOlder ||
      Report.m_Age > MaxReportAge)
    return;
  Upstream.m_HasReport = true;
  Upstream.m_ReportMeasuredAt = Taken;
  if (Report.m_Capacity > 0)
    Upstream.m_Capacity = Report.m_Capacity;
  Upstream.m_TotalAtReport = static_cast<double>(Report.m_Running) + Report.m_Waiting;
  Upstream.m_OwnAtReport = std::min(m_State->ownCountAt(Upstream, Taken), Upstream.m_TotalAtReport);
  Upstream.m_OthersAtReport = Upstream.m_TotalAtReport - Upstream.m_OwnAtReport;
}

void Router::onCacheEvent(const CacheEvent &Event, TimePoint) {
  auto Found = m_State->m_ById.find(Event.m_Upstream);
  if (Found == m_State->m_ById.end())
    return;
  Slot Index = Found->second;
  UpstreamState &Upstream = m_State->at(Index);
  if (Event.m_Incarnation < Upstream.m_Record.m_Incarnation)
    return;
  // Repeated events are ignored, and so are late ones, which would revert newer events.
  if (Upstream.m_HasEvent && Event.m_Sequence <= Upstream.m_LastEventSequence)
    return;
  if (Upstream.m_HasEvent && Event.m_Sequence > Upstream.m_LastEventSequence + 1) {
    ++m_State->m_Counters.m_CacheEventGaps;
    m_State->m_Prefixes.markGap(Index);
  }
  Upstream.m_HasEvent = true;
  Upstream.m_LastEventSequence = Event.m_Sequence;
  if (Event.m_Cleared)
    m_State->m_Prefixes.clear(Index);
  for (std::uint64_t Block : Event.m_Removed)
    m_State->m_Prefixes.remove(Index, Block);
  for (std::uint64_t Block : Event.m_Added)
    m_State->m_Prefixes.add(Index, Block);
}

std::optional<InstanceId> Router::select(const UpstreamQuery &Query, TimePoint Now) {
  State &Self = *m_State;
  const RequestDescription &Request = *Query.m_Request;
  auto Found = Self.m_Services.find(Request.m_Service);
  if (Found == Self.m_Services.end()) {
    ++Self.m_Counters.m_NoUpstream;
    return std::nullopt;
  }
  ServiceState &Service = Found->second;
  const Conversation *Last = Self.conversation(Request.m_Conversation);
  std::optional<GenerationId> Generation = Query.m_Generation;
  // A conversation stays on its generation, and on its version as long as an upstream serves it.
  if (!Generation && Last)
    Generation = Last->m_Generation;
  std::optional<Digest> Required = Query.m_RequiredDigest;
  bool PrefersDigest = !Required && Last && !Last->m_Digest.isZero();
  if (PrefersDigest)
    Required = Last->m_Digest;

  std::optional<Candidate> Best;
  bool SpillRefused = false;
  auto Search = [&]() {
    for (std::size_t Locality = 0; Locality < LocalityCost.size(); ++Locality) {
      if (Best && !Best->m_IsLastResort && Best->m_Occupancy < Self.m_Options.m_SpillAbove)
        break;
      if (Locality == 2 && Self.m_Options.m_Rules.m_BudgetSpill) {
        Self.refillSpillBudget(Now);
        if (Self.m_SpillBalance < static_cast<double>(Self.spillSize(Request).count())) {
          SpillRefused = true;
          break;
        }
      }
      for (auto &Pool : Service.m_Pools) {
        bool Matches = !Generation || !Self.m_Options.m_Rules.m_MatchGeneration ||
                       Pool->m_Generation == *Generation;
        if (Pool->m_Locality == Locality && Matches)
          Self.searchPool(*Pool, Query, Required, Service, Last, Now, Best);
      }
    }
  };
  Search();
  if (!Best && PrefersDigest) {
    Required = std::nullopt;
    Search();
  }
  if (SpillRefused)
    ++Self.m_Counters.m_SpillRefused;
  if (!Best) {
    ++Self.m_Counters.m_NoUpstream;
    return std::nullopt;
  }
  UpstreamState &Chosen = Self.at(Best->m_Slot);
  const InstanceRecord &Record = Chosen.m_Record;
  bool IsEligible = !isDeparted(Record.m_State) && Record.m_State != InstanceState::Joining &&
                    (!Self.servesModel(Record.m_Service) || !Record.m_ServedDigest.isZero());
  if (!SelectedIsEligible.check(IsEligible, Record.m_Id.str()))
    return std::nullopt;
  if (Best->m_ForAffinity && Best->m_Occupancy > 1)
    AffinityWithinBound.check(
        Self.occupancy(Chosen, Now) + 1 <=
            Self.m_Options.m_AffinityLoadBound * Best->m_Pool->m_MeanOccupancy + 2,
        Record.m_Id.str());
  switch (Best->m_Pool->m_Locality) {
  case 0:
    ++Self.m_Counters.m_LocalSelections;
    break;
  case 1:
    ++Self.m_Counters.m_SpilledToDataCentre;
    break;
  default: {
    double Size = static_cast<double>(Self.spillSize(Request).count());
    Self.refillSpillBudget(Now);
    if (!SpillWithinBudget.check(Self.m_SpillUsed + Size <= Self.m_SpillAccrued, Record.m_Id.str()))
      return std::nullopt;
    Self.m_SpillBalance -= Size;
    Self.m_SpillUsed += Size;
    ++Self.m_Counters.m_SpilledToRegion;
  }
  }
  ++Self.m_Counters.m_Selections;
  if (Best->m_IsSticky)
    ++Self.m_Counters.m_StickySelections;
  if (Best->m_IsLastResort)
    ++Self.m_Counters.m_LastResortSelections;
  Chosen.m_Requests.emplace(Request.m_Id, Now);
  ++Chosen.m_OwnCount;
  Self.recordOwnCount(Chosen, Now);
  // The upstream is about to cache the prefix. Later cache events confirm or correct this entry.
  for (std::size_t I = Best->m_KnownBlocks; I < Request.m_PrefixBlocks.size(); ++I)
    Self.m_Prefixes.add(Best->m_Slot, Request.m_PrefixBlocks[I]);
  Self.storeConversation(Request, Best->m_Slot);
  return Record.m_Id;
}

void Router::release(const InstanceId &Id, const RequestDescription &Request, bool Lost,
                     TimePoint Now) {
  State &Self = *m_State;
  auto Found = Self.m_ById.find(Id);
  if (Found == Self.m_ById.end()) {
    ++Self.m_Counters.m_UnknownReleases;
    return;
  }
  UpstreamState &Upstream = Self.at(Found->second);
  auto Counted = Upstream.m_Requests.find(Request.m_Id);
  if (Counted == Upstream.m_Requests.end()) {
    ++Self.m_Counters.m_UnknownReleases;
    if (Self.m_Options.m_Rules.m_ReleaseOnce)
      return;
  } else {
    if (!Lost) {
      ServiceState &Service = Self.service(Upstream.m_Record.m_Service);
      Service.m_MeanServiceTime +=
          MeanGain * (toSeconds(Now - Counted->second) - Service.m_MeanServiceTime);
      Service.m_MeanTokens += MeanGain * (Request.m_EstimatedTokens - Service.m_MeanTokens);
    }
    Upstream.m_Requests.erase(Counted);
  }
  if (!CountNeverNegative.check(Upstream.m_OwnCount > 0, Id.str()))
    return;
  --Upstream.m_OwnCount;
  CountMatchesRequests.check(Upstream.m_OwnCount == Upstream.m_Requests.size(), Id.str());
  Self.recordOwnCount(Upstream, Now);
  if (Lost) {
    Upstream.m_AvoidUntil = Now + Self.m_Options.m_AvoidAfterLoss *
                                      (1 << std::min(Upstream.m_Losses, MaxLossDoublings));
    ++Upstream.m_Losses;
  } else {
    Upstream.m_Losses = 0;
  }
}

std::optional<KvTransfer> Router::planKvTransfer(const RequestDescription &Request,
                                                 const InstanceId &Chosen, TimePoint Now) const {
  const State &Self = *m_State;
  auto Found = Self.m_ById.find(Chosen);
  if (Found == Self.m_ById.end() || Request.m_PrefixBlocks.empty())
    return std::nullopt;
  const UpstreamState &Target = Self.at(Found->second);
  auto Service = Self.m_Services.find(Request.m_Service);
  if (Service == Self.m_Services.end() || Target.m_Record.m_ServedDigest.isZero())
    return std::nullopt;
  std::array<PrefixIndex::Match, PrefixIndex::MaxHolders> Matches{};
  std::size_t Count = Self.m_Prefixes.find(Request.m_PrefixBlocks, Matches);
  std::optional<KvTransfer> Best;
  for (std::size_t I = 0; I < Count; ++I) {
    const UpstreamState &Source = Self.at(Matches[I].m_Slot);
    // Cached state is valid only for the same model version. An uncertain match may no longer
    // exist.
    if (Source.m_Record.m_Id == Chosen || !Matches[I].m_IsCertain || !Source.m_Pool ||
        Source.m_Record.m_Service != Target.m_Record.m_Service ||
        Source.m_Record.m_ServedDigest != Target.m_Record.m_ServedDigest ||
        Source.m_Record.m_Region != Target.m_Record.m_Region || Self.isSilent(Source, Now))
      continue;
    double Tokens =
        static_cast<double>(Matches[I].m_Blocks) * Service->second.m_Routing.m_TokensPerBlock;
    Duration Compute(static_cast<Duration::rep>(
        Tokens * static_cast<double>(Service->second.m_Routing.m_PrefillPerToken.count())));
    Bytes Size(static_cast<std::uint64_t>(
        Tokens * static_cast<double>(Service->second.m_Routing.m_KvPerToken.count())));
    Duration Copy = KvTransferOverhead + Service->second.m_Routing.m_KvTransferRate.timeFor(Size);
    Duration Saving = Compute - Copy;
    if (Saving < MinKvSaving || toSeconds(Compute) < KvTransferMinSpeedup * toSeconds(Copy))
      continue;
    if (!Best || Saving > Best->m_Saving)
      Best = KvTransfer{Source.m_Record.m_Id, Chosen, Matches[I].m_Blocks, Size, Saving};
  }
  return Best;
}

ServiceLoad Router::load(const ServiceId &Service, TimePoint Now) const {
  State &Self = *m_State;
  ServiceLoad Total;
  auto Found = Self.m_Services.find(Service);
  if (Found == Self.m_Services.end())
    return Total;
  double OwnInOtherRegions = 0;
  for (const auto &[Id, Index] : Self.m_ById) {
    const UpstreamState &Upstream = Self.at(Index);
    if (Upstream.m_Record.m_Service != Service)
      continue;
    bool IsInRegion = Upstream.m_Record.m_Region == Self.m_Options.m_Region;
    bool IsCounted = Upstream.m_Pool && !Self.isSilent(Upstream, Now);
    if (!IsInRegion || !IsCounted) {
      Total.m_OwnElsewhere += Upstream.m_OwnCount;
      if (IsCounted) {
        OwnInOtherRegions += Upstream.m_OwnCount;
        Total.m_FreeElsewhere += std::max(Upstream.m_Capacity - Self.occupancy(Upstream, Now), 0.0);
      }
      continue;
    }
    ++Total.m_Upstreams;
    Total.m_OwnInFlight += Upstream.m_OwnCount;
    Total.m_Capacity += std::max(Upstream.m_Capacity, 1U);
    if (!Upstream.m_HasReport)
      continue;
    ++Total.m_Reporting;
    Total.m_Reported += Upstream.m_TotalAtReport;
    Total.m_OwnAtReport += Upstream.m_OwnAtReport;
  }
  // Number of requests that the budget for the region link allows in one service time.
  double Size =
      static_cast<double>(Self.m_Options.m_BytesPerRequest.count()) +
      Found->second.m_MeanTokens * static_cast<double>(Self.m_Options.m_BytesPerToken.count());
  double AffordableRequests =
      Self.m_Options.m_SpillRate.rate() / Size * Found->second.m_MeanServiceTime;
  Total.m_SpillHeadroom = std::max(AffordableRequests - OwnInOtherRegions, 0.0);
  return Total;
}

std::uint32_t Router::inFlight(const InstanceId &Id) const {
  auto Found = m_State->m_ById.find(Id);
  return Found == m_State->m_ById.end() ? 0 : m_State->at(Found->second).m_OwnCount;
}

const RouterCounters &Router::counters() const { return m_State->m_Counters; }

std::string Router::describe(TimePoint Now) const {
  std::map<InstanceId, Slot> Ordered(m_State->m_ById.begin(), m_State->m_ById.end());
  std::ostringstream Out;
  for (const auto &[Id, Index] : Ordered) {
    const UpstreamState &Upstream = m_State->at(Index);
    Out << "upstream=" << Id.str() << " service=" << Upstream.m_Record.m_Service.str()
        << " takes_work=" << Upstream.m_Pool
        << " incarnation=" << Upstream.m_Record.m_Incarnation.value()
        << " own=" << Upstream.m_OwnCount << " occupancy=" << m_State->occupancy(Upstream, Now)
        << " capacity=" << m_State->effectiveCapacity(Upstream, Now)
        << " prefixes=" << m_State->m_Prefixes.blocks(Index)
        << " silent=" << m_State->isSilent(Upstream, Now) << '\n';
  }
  return Out.str();
}

} // namespace fescuegauge
