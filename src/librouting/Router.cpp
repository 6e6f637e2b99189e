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

struct Upstream {
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
  struct Pool *m_Pool = nullptr;
  // Last, so that the fields that every selection reads are close together in memory.
  std::size_t m_HistoryEnd = 0;
  std::array<Sample, HistoryLength> m_History{};
};

/// The upstreams of one service, generation and data centre that accept new requests.
struct Pool {
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
  std::vector<std::unique_ptr<Pool>> m_Pools;
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
  Pool *m_Pool = nullptr;
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
  std::vector<std::unique_ptr<Upstream>> m_Upstreams;
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

  Upstream &at(Slot Index) { return *m_Upstreams[Index]; }
  const Upstream &at(Slot Index) const { return *m_Upstreams[Index]; }
  ServiceState &service(const ServiceId &Service) { return m_Services[Service]; }
  bool servesModel(const ServiceId &Service) const {
    auto Found = m_Services.find(Service);
    return Found == m_Services.end() || Found->second.m_Routing.m_ServesModel;
  }

  bool isEligible(const Upstream &Known) const {
    if (m_Options.m_Rules.m_RefuseLeaving && isDeparted(Known.m_Record.m_State))
      return false;
    if (Known.m_Record.m_State == InstanceState::Joining)
      return false;
    return !m_Options.m_Rules.m_RequireServedDigest || !servesModel(Known.m_Record.m_Service) ||
           !Known.m_Record.m_ServedDigest.isZero();
  }

  std::optional<Slot> addUpstream(const InstanceRecord &Record, TimePoint Now);
  void removeExpiredTombstones(TimePoint Now);
  void updatePool(Slot Index);
  void removeFromPool(Slot Index);
  Pool &pool(const InstanceRecord &Record);
  void recordOwnCount(Upstream &Known, TimePoint Now) const;
  double ownCountAt(const Upstream &Known, TimePoint Time) const;
  double occupancy(const Upstream &Known, TimePoint Now) const;
  double effectiveCapacity(const Upstream &Known, TimePoint Now) const;
  bool isSilent(const Upstream &Known, TimePoint Now) const;
  void updateMeans(Pool &Owner, double ServiceTime, TimePoint Now) const;
  bool matchesQuery(Slot Index, const UpstreamQuery &Query,
                    const std::optional<Digest> &Required) const;
  void scoreCandidate(Candidate Scored, double CachedTokens, const RequestDescription &Request,
                      const ServiceState &Service, TimePoint Now, std::optional<Candidate> &Best);
  void searchPool(Pool &Owner, const UpstreamQuery &Query, const std::optional<Digest> &Required,
                  const ServiceState &Service, const Conversation *Last, TimePoint Now,
                  std::optional<Candidate> &Best);
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
    m_Upstreams.push_back(std::make_unique<Upstream>());
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
    Upstream &Known = at(Entry->second);
    if (isDeparted(Known.m_Record.m_State) && Known.m_OwnCount == 0 &&
        Now - Known.m_DepartedAt >= TombstoneLifetime) {
      m_Prefixes.clear(Entry->second);
      m_FreeSlots.push_back(Entry->second);
      Entry = m_ById.erase(Entry);
    } else {
      ++Entry;
    }
  }
}

Pool &Router::State::pool(const InstanceRecord &Record) {
  ServiceState &Service = service(Record.m_Service);
  for (auto &Known : Service.m_Pools)
    if (Known->m_Generation == Record.m_Generation && Known->m_DataCentre == Record.m_DataCentre &&
        Known->m_Region == Record.m_Region)
      return *Known;
  auto Added = std::make_unique<Pool>();
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
  Upstream &Known = at(Index);
  if (!Known.m_Pool)
    return;
  Pool &Owner = *Known.m_Pool;
  std::erase(Owner.m_Members, Index);
  std::erase_if(Owner.m_Ring, [&](const auto &Point) { return Point.second == Index; });
  Known.m_Pool = nullptr;
}

void Router::State::updatePool(Slot Index) {
  Upstream &Known = at(Index);
  bool Belongs = isEligible(Known);
  if (Belongs == (Known.m_Pool != nullptr))
    return;
  if (!Belongs) {
    removeFromPool(Index);
    return;
  }
  Pool &Owner = pool(Known.m_Record);
  Owner.m_Members.push_back(Index);
  for (std::size_t I = 0; I < RingPointsPerUpstream; ++I)
    Owner.m_Ring.emplace_back(rendezvousWeight(std::to_string(I), Known.m_Record.m_Id.str()),
                              Index);
  std::sort(Owner.m_Ring.begin(), Owner.m_Ring.end());
  Known.m_Pool = &Owner;
}

void Router::State::recordOwnCount(Upstream &Known, TimePoint Now) const {
  std::size_t Last = (Known.m_HistoryEnd + HistoryLength - 1) % HistoryLength;
  if (Known.m_HistoryEnd > 0 && Now - Known.m_History[Last].m_Time < HistoryStep) {
    Known.m_History[Last].m_Count = Known.m_OwnCount;
    return;
  }
  Known.m_History[Known.m_HistoryEnd % HistoryLength] = {Now, Known.m_OwnCount};
  ++Known.m_HistoryEnd;
}

/// Returns the own count at a past time, or the oldest known one if the history does not reach
/// back.
double Router::State::ownCountAt(const Upstream &Known, TimePoint Time) const {
  std::size_t Kept = std::min(Known.m_HistoryEnd, HistoryLength);
  double Oldest = 0;
  for (std::size_t Back = 1; Back <= Kept; ++Back) {
    const Sample &Entry = Known.m_History[(Known.m_HistoryEnd - Back) % HistoryLength];
    if (Entry.m_Time <= Time)
      return Entry.m_Count;
    Oldest = Entry.m_Count;
  }
  return Known.m_HistoryEnd > HistoryLength ? Oldest : 0;
}

double Router::State::occupancy(const Upstream &Known, TimePoint Now) const {
  if (!Known.m_HasReport || Now - Known.m_ReportMeasuredAt > MaxReportAge)
    return Known.m_OwnCount;
  if (!m_Options.m_Rules.m_CorrectReportsByOwnCounts)
    return Known.m_TotalAtReport;
  // The requests of other entry instances tend towards the mean, because they end and because those
  // instances also avoid upstreams that were busy. Without this decay, all entry instances would
  // select the same upstream after one report.
  double Expected = Known.m_OthersAtReport;
  if (Known.m_Pool && Known.m_Pool->m_MeansUpdatedAt != TimePoint::min()) {
    double Mean = Known.m_Pool->m_MeanOthersPerSlot * Known.m_Capacity;
    double Age = toSeconds(Now - Known.m_ReportMeasuredAt);
    Expected = Mean + (Expected - Mean) * std::exp(-Age / Known.m_Pool->m_TimeConstant);
  }
  return Expected + Known.m_OwnCount;
}

double Router::State::effectiveCapacity(const Upstream &Known, TimePoint Now) const {
  double Capacity = std::max(Known.m_Capacity, 1U);
  Duration Since = Known.m_RampStartedAt == TimePoint::min()
                       ? m_Options.m_RampUp
                       : Duration(Now - Known.m_RampStartedAt);
  if (!m_Options.m_Rules.m_RampUp || Since >= m_Options.m_RampUp)
    return Capacity;
  double Progress = toSeconds(Since) / toSeconds(m_Options.m_RampUp);
  return std::max(Capacity * (RampStart + (1 - RampStart) * Progress), 1.0);
}

bool Router::State::isSilent(const Upstream &Known, TimePoint Now) const {
  return m_Options.m_Rules.m_AvoidSilent && Known.m_HasReport &&
         Now - Known.m_ReportMeasuredAt > m_Options.m_SilentAfter;
}

void Router::State::updateMeans(Pool &Owner, double ServiceTime, TimePoint Now) const {
  if (Owner.m_MeansUpdatedAt != TimePoint::min() && Now - Owner.m_MeansUpdatedAt < MeanLifetime)
    return;
  double Total = 0;
  double Others = 0;
  double Slots = 0;
  for (Slot Member : Owner.m_Members) {
    const Upstream &Known = at(Member);
    Total += Known.m_OwnCount;
    if (Known.m_HasReport && Now - Known.m_ReportMeasuredAt <= MaxReportAge) {
      // The decay towards the mean leaves the mean itself unchanged.
      Total += Known.m_OthersAtReport;
      Others += Known.m_OthersAtReport;
      Slots += Known.m_Capacity;
    }
  }
  Owner.m_MeanOccupancy =
      Total / static_cast<double>(std::max<std::size_t>(Owner.m_Members.size(), 1));
  Owner.m_MeanOthersPerSlot = Others / std::max(Slots, 1.0);
  Owner.m_TimeConstant = std::max(ServiceTime, MinTimeConstant);
  Owner.m_MeansUpdatedAt = Now;
}

bool Router::State::matchesQuery(Slot Index, const UpstreamQuery &Query,
                                 const std::optional<Digest> &Required) const {
  const Upstream &Known = at(Index);
  if (Required && m_Options.m_Rules.m_MatchDigest && Known.m_Record.m_ServedDigest != *Required)
    return false;
  return std::find(Query.m_Excluded.begin(), Query.m_Excluded.end(), Known.m_Record.m_Id) ==
         Query.m_Excluded.end();
}

/// Computes the cost of a candidate, which is its expected answer time in seconds, and stores the
/// candidate in `Best` if the cost is lower.
void Router::State::scoreCandidate(Candidate Scored, double CachedTokens,
                                   const RequestDescription &Request, const ServiceState &Service,
                                   TimePoint Now, std::optional<Candidate> &Best) {
  const Upstream &Known = at(Scored.m_Slot);
  double Capacity = effectiveCapacity(Known, Now);
  double Occupied = occupancy(Known, Now);
  Scored.m_Occupancy = Occupied / Capacity;
  double After = (Occupied + 1) / Capacity;
  double Waiting = std::max(After - 1, 0.0) * Service.m_MeanServiceTime;
  double PromptTokens =
      static_cast<double>(Request.m_PrefixBlocks.size()) * Service.m_Routing.m_TokensPerBlock;
  double Uncached = std::max(PromptTokens - CachedTokens, 0.0);
  Scored.m_IsLastResort = Known.m_Record.m_State == InstanceState::Suspect ||
                          isSilent(Known, Now) || Now < Known.m_AvoidUntil;
  Scored.m_Cost = std::min(After, 1.0) * BatchDelay + Waiting +
                  Uncached * toSeconds(Service.m_Routing.m_PrefillPerToken) *
                      (1 + PrefillContention * Occupied) +
                  LocalityCost[Scored.m_Pool->m_Locality] +
                  (Scored.m_IsLastResort ? LastResortCost : 0);
  if (!Best || Scored.m_Cost < Best->m_Cost)
    Best = Scored;
}

void Router::State::searchPool(Pool &Owner, const UpstreamQuery &Query,
                               const std::optional<Digest> &Required, const ServiceState &Service,
                               const Conversation *Last, TimePoint Now,
                               std::optional<Candidate> &Best) {
  if (Owner.m_Members.empty())
    return;
  const RequestDescription &Request = *Query.m_Request;
  updateMeans(Owner, Service.m_MeanServiceTime, Now);
  bool IsFound = false;
  double Tokens = Service.m_Routing.m_TokensPerBlock;
  auto AddCandidate = [&](Slot Index, double CachedTokens, bool ForAffinity, bool IsSticky,
                          std::size_t KnownBlocks = 0) {
    if (!matchesQuery(Index, Query, Required))
      return;
    IsFound = true;
    Candidate Scored;
    Scored.m_Slot = Index;
    Scored.m_Pool = &Owner;
    Scored.m_ForAffinity = ForAffinity;
    Scored.m_IsSticky = IsSticky;
    Scored.m_KnownBlocks = KnownBlocks;
    scoreCandidate(Scored, CachedTokens, Request, Service, Now, Best);
  };
  // An upstream above the load bound is not preferred for its cache.
  auto WithinLoadBound = [&](Slot Index) {
    if (!m_Options.m_Rules.m_BoundAffinityLoad)
      return true;
    return occupancy(at(Index), Now) + 1 <=
           m_Options.m_AffinityLoadBound * Owner.m_MeanOccupancy + 2;
  };
  auto IsInPool = [&](Slot Index) { return at(Index).m_Pool == &Owner; };

  std::array<PrefixIndex::Match, PrefixIndex::MaxHolders> Matches{};
  std::size_t MatchCount = m_Prefixes.find(Request.m_PrefixBlocks, Matches);
  for (std::size_t I = 0; I < MatchCount; ++I) {
    if (!IsInPool(Matches[I].m_Slot) || !WithinLoadBound(Matches[I].m_Slot))
      continue;
    double Confidence = Matches[I].m_IsCertain ? 1 : UncertainMatchConfidence;
    AddCandidate(Matches[I].m_Slot, Confidence * Tokens * static_cast<double>(Matches[I].m_Blocks),
                 true, false, Matches[I].m_IsCertain ? Matches[I].m_Blocks : 0);
  }
  if (Last && IsInPool(Last->m_Slot) && WithinLoadBound(Last->m_Slot))
    AddCandidate(Last->m_Slot, Tokens * static_cast<double>(Request.m_PrefixBlocks.size() + 1),
                 true, true);
  if (!Request.m_PrefixBlocks.empty()) {
    // The first block determines the position, so that requests with the same first block are sent
    // to the same upstream.
    std::uint64_t Key = Request.m_PrefixBlocks.front() * 0x9E3779B97F4A7C15ULL;
    auto Point = std::lower_bound(Owner.m_Ring.begin(), Owner.m_Ring.end(),
                                  std::pair<std::uint64_t, Slot>(Key, 0));
    double Preference =
        RingPreference * Tokens * static_cast<double>(Request.m_PrefixBlocks.size());
    for (std::size_t I = 0; I < RingCandidates; ++I, ++Point) {
      if (Point == Owner.m_Ring.end())
        Point = Owner.m_Ring.begin();
      if (WithinLoadBound(Point->second))
        AddCandidate(Point->second, I == 0 ? Preference : Preference / 2, true, false);
    }
  }
  std::array<Slot, RandomCandidates> Drawn{};
  std::size_t Taken = 0;
  for (std::size_t Draw = 0; Draw < MaxDraws && Taken < RandomCandidates; ++Draw) {
    Slot Index = Owner.m_Members[uniformBelow(m_Random, Owner.m_Members.size())];
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
    for (Slot Index : Owner.m_Members)
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
  if (Conversation *Known = conversation(Request.m_Conversation)) {
    *Known = {Request.m_Conversation, Chosen, Record.m_Generation, Record.m_ServedDigest};
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
  Upstream &Known = Self.at(*Index);
  bool IsRestart = false;
  if (!IsNew) {
    const InstanceRecord &Old = Known.m_Record;
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
  bool WasInPool = Known.m_Pool != nullptr;
  bool IsReloaded = !IsNew && Known.m_Record.m_ServedDigest != Record.m_ServedDigest;
  bool WasDeparted = !IsNew && isDeparted(Known.m_Record.m_State);
  Self.removeFromPool(*Index);
  Known.m_Record = Record;
  if (Record.m_Capacity > 0)
    Known.m_Capacity = Record.m_Capacity;
  if (IsRestart) {
    // Requests that were sent to the earlier incarnation are counted until they are released.
    Known.m_HasReport = false;
    Known.m_HasEvent = false;
    Known.m_Losses = 0;
    Known.m_AvoidUntil = TimePoint::min();
  }
  if (IsRestart || IsReloaded)
    Self.m_Prefixes.clear(*Index);
  if (isDeparted(Record.m_State) && !WasDeparted)
    Known.m_DepartedAt = Now;
  Self.updatePool(*Index);
  // Upstreams that are live when this process starts were already ramped up by other entry
  // instances.
  if (!Self.m_FirstRecordAt)
    Self.m_FirstRecordAt = Now;
  bool IsStartup = IsNew && Now - *Self.m_FirstRecordAt < Self.m_Options.m_RampUp;
  if (Known.m_Pool && (!WasInPool || IsRestart || IsReloaded) && !IsStartup)
    Known.m_RampStartedAt = Now;
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
  Upstream &Known = m_State->at(Found->second);
  bool IsKnown = Number == Known.m_Record.m_Incarnation && isDeparted(Known.m_Record.m_State);
  if (Number < Known.m_Record.m_Incarnation || IsKnown) {
    ++m_State->m_Counters.m_StaleRecords;
    return;
  }
  Known.m_Record.m_Incarnation = Number;
  Known.m_Record.m_State = InstanceState::Leaving;
  Known.m_DepartedAt = Now;
  m_State->updatePool(Found->second);
}

void Router::onLoadReport(const LoadReport &Report, TimePoint Now) {
  auto Found = m_State->m_ById.find(Report.m_Upstream);
  if (Found == m_State->m_ById.end())
    return;
  Upstream &Known = m_State->at(Found->second);
  TimePoint Taken = Now - std::max(Report.m_Age, Duration(0));
  bool IsOlder = Known.m_HasReport && Taken < Known.m_ReportMeasuredAt;
  if (Report.m_Incarnation < Known.m_Record.m_Incarnation || IsOlder || Report.m_Age > MaxReportAge)
    return;
  Known.m_HasReport = true;
  Known.m_ReportMeasuredAt = Taken;
  if (Report.m_Capacity > 0)
    Known.m_Capacity = Report.m_Capacity;
  Known.m_TotalAtReport = static_cast<double>(Report.m_Running) + Report.m_Waiting;
  Known.m_OwnAtReport = std::min(m_State->ownCountAt(Known, Taken), Known.m_TotalAtReport);
  Known.m_OthersAtReport = Known.m_TotalAtReport - Known.m_OwnAtReport;
}

void Router::onCacheEvent(const CacheEvent &Event, TimePoint) {
  auto Found = m_State->m_ById.find(Event.m_Upstream);
  if (Found == m_State->m_ById.end())
    return;
  Slot Index = Found->second;
  Upstream &Known = m_State->at(Index);
  if (Event.m_Incarnation < Known.m_Record.m_Incarnation)
    return;
  // Repeated events are ignored, and so are late ones, which would revert newer events.
  if (Known.m_HasEvent && Event.m_Sequence <= Known.m_LastEventSequence)
    return;
  if (Known.m_HasEvent && Event.m_Sequence > Known.m_LastEventSequence + 1) {
    ++m_State->m_Counters.m_CacheEventGaps;
    m_State->m_Prefixes.markGap(Index);
  }
  Known.m_HasEvent = true;
  Known.m_LastEventSequence = Event.m_Sequence;
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
      for (auto &Owner : Service.m_Pools) {
        bool Matches = !Generation || !Self.m_Options.m_Rules.m_MatchGeneration ||
                       Owner->m_Generation == *Generation;
        if (Owner->m_Locality == Locality && Matches)
          Self.searchPool(*Owner, Query, Required, Service, Last, Now, Best);
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
  Upstream &Chosen = Self.at(Best->m_Slot);
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
  Upstream &Known = Self.at(Found->second);
  auto Counted = Known.m_Requests.find(Request.m_Id);
  if (Counted == Known.m_Requests.end()) {
    ++Self.m_Counters.m_UnknownReleases;
    if (Self.m_Options.m_Rules.m_ReleaseOnce)
      return;
  } else {
    if (!Lost) {
      ServiceState &Service = Self.service(Known.m_Record.m_Service);
      Service.m_MeanServiceTime +=
          MeanGain * (toSeconds(Now - Counted->second) - Service.m_MeanServiceTime);
      Service.m_MeanTokens += MeanGain * (Request.m_EstimatedTokens - Service.m_MeanTokens);
    }
    Known.m_Requests.erase(Counted);
  }
  if (!CountNeverNegative.check(Known.m_OwnCount > 0, Id.str()))
    return;
  --Known.m_OwnCount;
  CountMatchesRequests.check(Known.m_OwnCount == Known.m_Requests.size(), Id.str());
  Self.recordOwnCount(Known, Now);
  if (Lost) {
    Known.m_AvoidUntil =
        Now + Self.m_Options.m_AvoidAfterLoss * (1 << std::min(Known.m_Losses, MaxLossDoublings));
    ++Known.m_Losses;
  } else {
    Known.m_Losses = 0;
  }
}

std::optional<KvTransfer> Router::planKvTransfer(const RequestDescription &Request,
                                                 const InstanceId &Chosen, TimePoint Now) const {
  const State &Self = *m_State;
  auto Found = Self.m_ById.find(Chosen);
  if (Found == Self.m_ById.end() || Request.m_PrefixBlocks.empty())
    return std::nullopt;
  const Upstream &Target = Self.at(Found->second);
  auto Service = Self.m_Services.find(Request.m_Service);
  if (Service == Self.m_Services.end() || Target.m_Record.m_ServedDigest.isZero())
    return std::nullopt;
  std::array<PrefixIndex::Match, PrefixIndex::MaxHolders> Matches{};
  std::size_t Count = Self.m_Prefixes.find(Request.m_PrefixBlocks, Matches);
  std::optional<KvTransfer> Best;
  for (std::size_t I = 0; I < Count; ++I) {
    const Upstream &Source = Self.at(Matches[I].m_Slot);
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
    const Upstream &Known = Self.at(Index);
    if (Known.m_Record.m_Service != Service)
      continue;
    bool IsInRegion = Known.m_Record.m_Region == Self.m_Options.m_Region;
    bool IsCounted = Known.m_Pool && !Self.isSilent(Known, Now);
    if (!IsInRegion || !IsCounted) {
      Total.m_OwnElsewhere += Known.m_OwnCount;
      if (IsCounted) {
        OwnInOtherRegions += Known.m_OwnCount;
        Total.m_FreeElsewhere += std::max(Known.m_Capacity - Self.occupancy(Known, Now), 0.0);
      }
      continue;
    }
    ++Total.m_Upstreams;
    Total.m_OwnInFlight += Known.m_OwnCount;
    Total.m_Capacity += std::max(Known.m_Capacity, 1U);
    if (!Known.m_HasReport)
      continue;
    ++Total.m_Reporting;
    Total.m_Reported += Known.m_TotalAtReport;
    Total.m_OwnAtReport += Known.m_OwnAtReport;
  }
  // Number of requests that the budget for the region link allows in one service time.
  double Size =
      static_cast<double>(Self.m_Options.m_BytesPerRequest.count()) +
      Found->second.m_MeanTokens * static_cast<double>(Self.m_Options.m_BytesPerToken.count());
  double Carried = Self.m_Options.m_SpillRate.rate() / Size * Found->second.m_MeanServiceTime;
  Total.m_SpillHeadroom = std::max(Carried - OwnInOtherRegions, 0.0);
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
    const Upstream &Known = m_State->at(Index);
    Out << "upstream=" << Id.str() << " service=" << Known.m_Record.m_Service.str()
        << " takes_work=" << Known.m_Pool << " incarnation=" << Known.m_Record.m_Incarnation.value()
        << " own=" << Known.m_OwnCount << " occupancy=" << m_State->occupancy(Known, Now)
        << " capacity=" << m_State->effectiveCapacity(Known, Now)
        << " prefixes=" << m_State->m_Prefixes.blocks(Index)
        << " silent=" << m_State->isSilent(Known, Now) << '\n';
  }
  return Out.str();
}

} // namespace fescuegauge
