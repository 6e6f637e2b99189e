#include "Fescuegauge/TransferPlanner.h"

#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Rendezvous.h"

#include <cmath>
#include <limits>
#include <set>

namespace fescuegauge {

using namespace std::chrono_literals;

namespace {

Invariant OriginWithinGrants("weights.origin_bytes_within_grants");
Invariant InFlightBounded("weights.bytes_in_flight_bounded");
Invariant ChunkVerified("weights.accepted_chunk_matches_digest");
Invariant OrderNotOlder("weights.order_change_never_decreases");

std::string laneKey(const Digest &Root, std::size_t Lane) {
  return Root.hex() + '/' + std::to_string(Lane);
}

/// Time without progress after which an importer of rank `Rank` starts to import. It doubles with
/// each rank, so that few importers fetch the same chunks when the source is down.
Duration takeoverDelay(std::size_t Rank, Duration ProgressTimeout) {
  constexpr std::size_t LastRank = 10;
  return Rank > LastRank ? Duration::max() : ProgressTimeout * ((1 << Rank) - 1);
}

} // namespace

TransferTradeOff TransferTradeOff::of(TransferPreference Preference) {
  switch (Preference) {
  case TransferPreference::OriginBytes:
    return {1, 30s};
  case TransferPreference::Time:
    // One of the four copies of OriginBudget::CopiesLimit is reserved for failures.
    return {3, 15s};
  }
  return {};
}

Bytes ChunkSummary::encodedSize(std::size_t ChunkCount) const {
  constexpr std::uint64_t IndexBytes = 2;
  std::uint64_t List = m_Indices.size() * IndexBytes;
  return Bytes(HeaderBytes + std::min<std::uint64_t>(List, (ChunkCount + 7) / 8) +
               m_Importing.size() * IndexBytes);
}

TransferPlanner::TransferPlanner(InstanceRecord Self, RegionId OriginRegion, std::uint64_t Seed,
                                 Rules Enabled)
    : m_Self(std::move(Self)), m_OriginRegion(std::move(OriginRegion)), m_Random(Seed),
      m_Rules(Enabled) {
  m_Epoch = static_cast<std::uint32_t>(m_Random());
}

const Digest &TransferPlanner::root() const {
  static const Digest None;
  return m_Order ? m_Order->m_Manifest.rootDigest() : None;
}

bool TransferPlanner::setOrder(const TransferOrder &Order, const std::unordered_set<Digest> &Held,
                               TimePoint Now) {
  if (m_Order) {
    if (Order.m_Change < m_Order->m_Change && m_Rules.m_IgnoreOlderChange)
      return false;
    OrderNotOlder.check(Order.m_Change >= m_Order->m_Change, "order with an older change number");
    if (Order.m_Change == m_Order->m_Change && Order.m_Manifest.rootDigest() == root()) {
      resetHeld(Held);
      return true;
    }
  }
  cancelAll();
  if (Order.m_Rollout != m_GrantRollout) {
    m_GrantRollout = Order.m_Rollout;
    m_Granted = Bytes();
    m_IsGrantRequested = false;
    m_OriginScarce = false;
  }
  m_Order = Order;
  m_OrderedAt = Now;
  m_TradeOff = TransferTradeOff::of(Order.m_Preference);
  updateProgressTimeout();
  const std::vector<ChunkRef> &Chunks = m_Order->m_Manifest.chunks();
  m_IndexOf.clear();
  for (std::uint32_t I = 0; I < Chunks.size(); ++I)
    m_IndexOf.emplace(Chunks[I].m_Digest, I);
  m_BeingStaged = ChunkSet(Chunks.size());
  resetHeld(Held);
  for (auto &[Id, Neighbour] : m_Peers)
    Neighbour = Peer{};
  for (Lane &State : m_Lanes)
    State = Lane{};
  rebuildNeighbours(Now);
  return true;
}

void TransferPlanner::resetHeld(const std::unordered_set<Digest> &Held) {
  m_StagedChunks = ChunkSet(chunkCount());
  m_Missing = ChunkSet(chunkCount());
  for (const auto &[Chunk, Index] : m_IndexOf)
    if (Held.contains(Chunk))
      m_StagedChunks.insert(Index);
    else
      m_Missing.insert(Index);
  m_Wanted = m_Missing;
  for (const auto &[Id, Entry] : m_Fetches)
    m_Wanted.erase(Entry.m_Index);
  m_MissingCount = m_Missing.count();
  rebuildLog();
}

void TransferPlanner::cancelAll() {
  if (!m_Rules.m_CancelOldTransfer)
    return;
  for (const auto &[Id, Entry] : m_Fetches)
    m_CancelledFetches.push_back(Id);
  m_Fetches.clear();
  m_BytesInFlight = Bytes();
}

void TransferPlanner::rebuildLog() {
  m_Log.clear();
  ++m_Epoch;
  for (std::uint32_t I = 0; I < m_StagedChunks.size(); ++I)
    if (m_StagedChunks.contains(I))
      m_Log.push_back(I);
  for (auto &[Id, Neighbour] : m_Peers) {
    Neighbour.m_SentPosition = 0;
    Neighbour.m_HasSentSummary = false;
  }
}

void TransferPlanner::setView(std::span<const InstanceRecord> View, TimePoint Now) {
  auto IsUsedAgent = [&](const InstanceRecord &Record) {
    return Record.m_Role == InstanceRole::Agent && Record.m_Service == m_Self.m_Service &&
           (Record.m_State == InstanceState::Live || Record.m_State == InstanceState::Joining) &&
           Record.m_Id != m_Self.m_Id;
  };
  // Most views differ from the previous one only in fields that are not used here.
  std::size_t Same = 0;
  std::size_t Count = 0;
  for (const InstanceRecord &Record : View)
    if (IsUsedAgent(Record)) {
      if (Count == Same && Same < m_Members.size() && m_Members[Same].m_Id == Record.m_Id &&
          m_Members[Same].m_DataCentre == Record.m_DataCentre &&
          m_Members[Same].m_Region == Record.m_Region)
        ++Same;
      ++Count;
    }
  if (Same == Count && m_Members.size() == Count + 1)
    return;
  m_Members.clear();
  m_Members.reserve(Count + 1);
  for (const InstanceRecord &Record : View)
    if (IsUsedAgent(Record))
      m_Members.push_back({Record.m_Id, Record.m_DataCentre, Record.m_Region});
  m_Members.push_back({m_Self.m_Id, m_Self.m_DataCentre, m_Self.m_Region});
  rebuildNeighbours(Now);
}

void TransferPlanner::setLinkBudget(const LinkBudget &Budget) {
  m_Links.m_Instance = std::max(Budget.m_Instance, LinkBudget::MinRate);
  m_Links.m_Region = std::max(Budget.m_Region, LinkBudget::MinRate);
  m_Links.m_Origin = std::max(Budget.m_Origin, LinkBudget::MinRate);
  if (m_Order)
    updateProgressTimeout();
}

void TransferPlanner::rebuildNeighbours(TimePoint Now) {
  if (!m_Order || m_Members.empty())
    return;
  std::map<DataCentreId, std::vector<InstanceId>> ByDataCentre;
  std::map<DataCentreId, RegionId> RegionOf;
  std::map<RegionId, std::vector<InstanceId>> DataCentresOf;
  for (const Member &Each : m_Members) {
    ByDataCentre[Each.m_DataCentre].push_back(Each.m_Id);
    RegionOf[Each.m_DataCentre] = Each.m_Region;
  }
  for (const auto &[Centre, Region] : RegionOf)
    DataCentresOf[Region].emplace_back(Centre.str());

  std::map<InstanceId, DataCentreId> Neighbours;
  auto AddNeighbour = [&](const InstanceId &Id, const DataCentreId &Centre) {
    if (Id != m_Self.m_Id && Neighbours.size() < MaxNeighbours)
      Neighbours.emplace(Id, Centre);
  };

  for (std::size_t I = 0; I < Lanes; ++I) {
    Lane &State = m_Lanes[I];
    const std::string Key = laneKey(root(), I);
    RegionId First = m_OriginRegion;
    if (!DataCentresOf.contains(First)) {
      std::vector<InstanceId> Regions;
      for (const auto &[Region, Centres] : DataCentresOf)
        Regions.emplace_back(Region.str());
      First = RegionId(rendezvousRank(Key, Regions, 1).front().str());
    }
    // Position of the own data centre among the sites. Data centres that import only from their own
    // region are not sites and get the maximum.
    auto ImportingDataCentre = [&](const RegionId &Region) {
      return DataCentreId(rendezvousRank(Key, DataCentresOf[Region], 1).front().str());
    };
    std::vector<DataCentreId> Sites{ImportingDataCentre(First)};
    for (const InstanceId &Centre : DataCentresOf[First])
      if (Centre.str() != Sites.front().str())
        Sites.emplace_back(Centre.str());
    for (const auto &[Region, Centres] : DataCentresOf)
      if (Region != First)
        Sites.push_back(ImportingDataCentre(Region));
    State.m_Site = static_cast<std::size_t>(
        std::find(Sites.begin(), Sites.end(), m_Self.m_DataCentre) - Sites.begin());
    if (State.m_Site == Sites.size())
      State.m_Site = std::numeric_limits<std::size_t>::max();
    State.m_ImportsForRegion = ImportingDataCentre(m_Self.m_Region) == m_Self.m_DataCentre;

    std::vector<InstanceId> Importers =
        rendezvousRank(Key, ByDataCentre[m_Self.m_DataCentre], RemoteNeighbourRanks);
    if (Importers != State.m_Importers) {
      State.m_Importers = Importers;
      State.m_LastProgressAt = Now;
    }
    const std::uint64_t OwnWeight = rendezvousWeight(Key, m_Self.m_Id.str());
    State.m_OwnRank = 0;
    for (const InstanceId &Id : ByDataCentre[m_Self.m_DataCentre])
      if (rendezvousWeight(Key, Id.str()) > OwnWeight)
        ++State.m_OwnRank;
    if (State.m_OwnRank >= RemoteNeighbourRanks)
      continue;
    for (const auto &[Centre, Ids] : ByDataCentre)
      for (const InstanceId &Id : rendezvousRank(Key, Ids, RemoteNeighbourRanks))
        AddNeighbour(Id, Centre);
  }

  std::vector<InstanceId> &Local = ByDataCentre[m_Self.m_DataCentre];
  std::vector<InstanceId> Ring = rendezvousRank(root().hex(), Local, Local.size());
  const std::size_t Size = Ring.size();
  const auto Own =
      static_cast<std::size_t>(std::find(Ring.begin(), Ring.end(), m_Self.m_Id) - Ring.begin());
  std::size_t Offset = 0;
  for (std::size_t K = 0; K < RingOffsets; ++K) {
    double Grown = std::pow(static_cast<double>(Size) / 2.0,
                            static_cast<double>(K) / static_cast<double>(RingOffsets));
    Offset = std::max(Offset + 1, static_cast<std::size_t>(std::lround(Grown)));
    if (Offset > Size / 2)
      break;
    AddNeighbour(Ring[(Own + Offset) % Size], m_Self.m_DataCentre);
    AddNeighbour(Ring[(Own + Size - Offset) % Size], m_Self.m_DataCentre);
  }

  std::map<InstanceId, Peer> Kept;
  for (const auto &[Id, Centre] : Neighbours) {
    auto It = m_Peers.find(Id);
    Peer &Neighbour = Kept[Id];
    if (It != m_Peers.end())
      Neighbour = std::move(It->second);
    if (Neighbour.m_Held.size() != m_StagedChunks.size())
      Neighbour.m_Held = ChunkSet(m_StagedChunks.size());
    Neighbour.m_SameDataCentre = Centre == m_Self.m_DataCentre;
    Neighbour.m_SameRegion = RegionOf[Centre] == m_Self.m_Region;
  }
  m_Peers = std::move(Kept);
  m_LocalHolders.assign(m_StagedChunks.size(), 0);
  for (const auto &[Id, Neighbour] : m_Peers)
    if (Neighbour.m_SameDataCentre)
      for (std::uint32_t I = 0; I < m_StagedChunks.size(); ++I)
        if (Neighbour.m_Held.contains(I))
          ++m_LocalHolders[I];
  for (auto &[Id, Entry] : m_Fetches)
    if (Entry.m_Source == FetchSource::Peer && !m_Peers.contains(Entry.m_Peer))
      Entry.m_Deadline = Now;
}

void TransferPlanner::clearPeerChunks(Peer &Neighbour) {
  if (Neighbour.m_SameDataCentre)
    for (std::uint32_t I = 0; I < m_StagedChunks.size(); ++I)
      if (Neighbour.m_Held.contains(I))
        --m_LocalHolders[I];
  Neighbour.m_Held = ChunkSet(m_StagedChunks.size());
}

void TransferPlanner::addPeerChunk(Peer &Neighbour, std::uint32_t Index) {
  if (Neighbour.m_Held.insert(Index) && Neighbour.m_SameDataCentre)
    ++m_LocalHolders[Index];
}

void TransferPlanner::onSummary(const InstanceId &From, const ChunkSummary &Summary,
                                TimePoint Now) {
  auto It = m_Peers.find(From);
  if (!m_Order || Summary.m_Root != root() || It == m_Peers.end())
    return;
  Peer &Neighbour = It->second;
  if (Summary.m_WantsAll) {
    Neighbour.m_SentPosition = 0;
    Neighbour.m_HasSentSummary = false;
  }
  if (Neighbour.m_SameDataCentre)
    for (std::uint32_t Index : Summary.m_Importing)
      m_Lanes[Index % Lanes].m_LastProgressAt = Now;
  if (!Neighbour.m_HasSummary || Summary.m_Epoch != Neighbour.m_ReceivedEpoch) {
    if (Summary.m_From != 0) {
      Neighbour.m_NeedsFullLog = true;
      return;
    }
    clearPeerChunks(Neighbour);
    Neighbour.m_ReceivedEpoch = Summary.m_Epoch;
    Neighbour.m_ReceivedPosition = 0;
    Neighbour.m_HasSummary = true;
  }
  if (Summary.m_From > Neighbour.m_ReceivedPosition) {
    Neighbour.m_NeedsFullLog = true;
    return;
  }
  Neighbour.m_NeedsFullLog = false;
  Neighbour.m_ReceivedPosition =
      std::max(Neighbour.m_ReceivedPosition,
               Summary.m_From + static_cast<std::uint32_t>(Summary.m_Indices.size()));
  for (std::uint32_t Index : Summary.m_Indices) {
    if (Index >= m_StagedChunks.size())
      continue;
    if (Neighbour.m_SameDataCentre && m_LocalHolders[Index] == 0 && !m_StagedChunks.contains(Index))
      m_Lanes[Index % Lanes].m_LastProgressAt = Now;
    addPeerChunk(Neighbour, Index);
  }
}

std::optional<TransferPlanner::Fetch> TransferPlanner::removeFetch(FetchId Id) {
  auto It = m_Fetches.find(Id);
  if (It == m_Fetches.end())
    return std::nullopt;
  Fetch Result = It->second;
  m_Fetches.erase(It);
  m_BytesInFlight -= Result.m_Size;
  if (Result.m_Import && m_Lanes[Result.m_Index % Lanes].m_ImportsInFlight > 0)
    --m_Lanes[Result.m_Index % Lanes].m_ImportsInFlight;
  auto From = m_Peers.find(Result.m_Peer);
  if (From != m_Peers.end() && From->second.m_FetchCount > 0)
    --From->second.m_FetchCount;
  if (m_Missing.contains(Result.m_Index))
    m_Wanted.insert(Result.m_Index);
  return Result;
}

void TransferPlanner::backOffPeer(Peer &Neighbour, Duration Base, TimePoint Now) {
  constexpr int MaxDoublings = 5;
  if (!m_Rules.m_AvoidBadPeers)
    return;
  Duration Backoff = Base * (1 << std::min(Neighbour.m_FailuresInRow, MaxDoublings));
  ++Neighbour.m_FailuresInRow;
  Neighbour.m_BackoffUntil = Now + std::min<Duration>(Backoff, CorruptPeerBackoff);
}

void TransferPlanner::backOffSource(const Fetch &Failed, Duration Base, TimePoint Now) {
  auto It = m_Peers.find(Failed.m_Peer);
  if (It != m_Peers.end())
    backOffPeer(It->second, Base, Now);
}

void TransferPlanner::removeHolder(const Fetch &Failed) {
  auto From = m_Peers.find(Failed.m_Peer);
  if (From == m_Peers.end() || !From->second.m_Held.contains(Failed.m_Index))
    return;
  From->second.m_Held.erase(Failed.m_Index);
  if (From->second.m_SameDataCentre)
    --m_LocalHolders[Failed.m_Index];
}

void TransferPlanner::refundRateLimits(const Fetch &Failed) {
  m_DownloadRateLimiter.refund(Failed.m_LinkCost);
  m_Lanes[Failed.m_Index % Lanes].m_RegionRateLimiter.refund(Failed.m_RegionCost);
}

void TransferPlanner::backOffOrigin(const Fetch &Failed, TimePoint Now) {
  Lane &State = m_Lanes[Failed.m_Index % Lanes];
  if (Failed.m_Source != FetchSource::Origin)
    return;
  State.m_OriginBackoff =
      std::clamp<Duration>(State.m_OriginBackoff * 2, OriginRetryMin, OriginRetryMax);
  State.m_NextOriginFetchAt = Now + jittered(m_Random, State.m_OriginBackoff);
}

bool TransferPlanner::onReceived(FetchId Id, const Digest &Received, TimePoint Now) {
  std::optional<Fetch> Done = removeFetch(Id);
  if (!Done || !m_Order || Done->m_Index >= chunkCount())
    return false;
  Lane &State = m_Lanes[Done->m_Index % Lanes];
  bool Matches = Received == m_Order->m_Manifest.chunks()[Done->m_Index].m_Digest;
  if (!Matches && m_Rules.m_VerifyChunks) {
    ++m_Counters.m_BadChunks;
    backOffSource(*Done, CorruptPeerBackoff, Now);
    // The peer's copy may be permanently corrupted. If no other local holder is known, the chunk is
    // imported.
    if (m_Rules.m_RemoveCorruptHolder)
      removeHolder(*Done);
    backOffOrigin(*Done, Now);
    return false;
  }
  if (m_StagedChunks.contains(Done->m_Index) || m_BeingStaged.contains(Done->m_Index))
    return false;
  ChunkVerified.check(Matches, "a chunk that does not match its digest was accepted");
  auto From = m_Peers.find(Done->m_Peer);
  if (From != m_Peers.end())
    From->second.m_FailuresInRow = 0;
  if (Done->m_Import)
    State.m_TimeoutFactor = std::max(1, State.m_TimeoutFactor / 2);
  if (Done->m_Source == FetchSource::Origin)
    State.m_OriginBackoff = Duration();
  m_Wanted.erase(Done->m_Index);
  m_BeingStaged.insert(Done->m_Index);
  return true;
}

void TransferPlanner::onStaged(const Digest &Chunk, bool Written, TimePoint Now) {
  // The order may have changed since the chunk was accepted.
  auto It = m_IndexOf.find(Chunk);
  if (It == m_IndexOf.end())
    return;
  const std::uint32_t Index = It->second;
  m_BeingStaged.erase(Index);
  if (!Written) {
    if (m_Missing.contains(Index))
      m_Wanted.insert(Index);
    return;
  }
  if (!m_StagedChunks.insert(Index))
    return;
  m_Missing.erase(Index);
  m_Wanted.erase(Index);
  m_Log.push_back(Index);
  --m_MissingCount;
  m_Lanes[Index % Lanes].m_LastProgressAt = Now;
}

void TransferPlanner::onProgress(FetchId Id, TimePoint Now) {
  auto It = m_Fetches.find(Id);
  if (It == m_Fetches.end() || !It->second.m_Import || !m_Rules.m_TimeOut ||
      !m_Rules.m_ExtendSlowImports)
    return;
  It->second.m_Deadline = std::max(It->second.m_Deadline, Now + MinFetchTime);
  It->second.m_ProgressAt = Now;
  m_Lanes[It->second.m_Index % Lanes].m_LastProgressAt = Now;
}

Duration TransferPlanner::busyBackoff(Bytes Size) const {
  return std::clamp(m_Links.m_Instance.timeFor(Size) * BusyPeerBackoffChunks, MinBusyPeerBackoff,
                    MaxBusyPeerBackoff);
}

void TransferPlanner::onFetchFailed(FetchId Id, FetchFailure Failure, TimePoint Now) {
  std::optional<Fetch> Failed = removeFetch(Id);
  if (!Failed)
    return;
  auto From = m_Peers.find(Failed->m_Peer);
  if (Failure != FetchFailure::Broken)
    refundRateLimits(*Failed);
  switch (Failure) {
  case FetchFailure::Busy:
    ++m_Counters.m_BusyAnswers;
    if (From != m_Peers.end())
      From->second.m_BackoffUntil = Now + jittered(m_Random, busyBackoff(Failed->m_Size), 0.5);
    break;
  case FetchFailure::NotHeld:
    removeHolder(*Failed);
    break;
  case FetchFailure::NotStarted:
    if (Failed->m_Source == FetchSource::Origin)
      m_Granted += Failed->m_Size;
    [[fallthrough]];
  case FetchFailure::Broken:
    backOffSource(*Failed, FailedPeerBackoff, Now);
    backOffOrigin(*Failed, Now);
    break;
  }
}

void TransferPlanner::addGrant(const RolloutId &Rollout, Bytes Granted, TimePoint Now) {
  if (Rollout != m_GrantRollout)
    return;
  m_IsGrantRequested = false;
  m_Granted += Granted;
  if (Granted == Bytes())
    m_NextGrantRequestAt = Now + jittered(m_Random, GrantRetryInterval);
}

void TransferPlanner::dropChunk(const Digest &Chunk, TimePoint) {
  auto It = m_IndexOf.find(Chunk);
  if (It == m_IndexOf.end() || !m_StagedChunks.contains(It->second))
    return;
  m_StagedChunks.erase(It->second);
  m_Missing.insert(It->second);
  m_Wanted.insert(It->second);
  ++m_MissingCount;
  rebuildLog();
}

UploadAnswer TransferPlanner::admitUpload(const InstanceId &Requester, const Digest &Chunk,
                                          TimePoint Now) {
  auto It = m_IndexOf.find(Chunk);
  if (It == m_IndexOf.end() || !m_StagedChunks.contains(It->second))
    return UploadAnswer::NotHeld;
  auto Known = m_Peers.find(Requester);
  bool Import = Known != m_Peers.end() && !Known->second.m_SameDataCentre;
  std::size_t Limit = Import ? MaxImportUploads : MaxUploads;
  std::size_t &InProgress = Import ? m_ImportUploads : m_LocalUploads;
  Duration Cost = m_Links.m_Instance.timeFor(m_Order->m_Manifest.chunks()[It->second].m_Size);
  bool Refused = InProgress >= Limit || !m_UploadRateLimiter.allows(Now, Cost * Limit);
  if (!Import && Known != m_Peers.end()) {
    std::uint32_t Served = Known->second.m_UploadCount;
    Refused = Refused || std::any_of(m_Peers.begin(), m_Peers.end(), [&](const auto &Other) {
                const auto &[Id, Entry] = Other;
                return Entry.m_RefusedAt && Now - *Entry.m_RefusedAt < RefusalPriorityTime &&
                       Entry.m_UploadCount < Served;
              });
    if (Refused)
      Known->second.m_RefusedAt = Now;
  }
  if (Refused)
    return UploadAnswer::Busy;
  if (!Import && Known != m_Peers.end()) {
    Known->second.m_RefusedAt.reset();
    ++Known->second.m_UploadCount;
  }
  m_UploadRateLimiter.spend(Now, Cost, Duration());
  ++InProgress;
  if (Import)
    ++m_ImportUploadsOf[Requester];
  return UploadAnswer::Accept;
}

void TransferPlanner::endUpload(const InstanceId &Requester) {
  auto It = m_ImportUploadsOf.find(Requester);
  if (It == m_ImportUploadsOf.end()) {
    m_LocalUploads -= m_LocalUploads > 0 ? 1 : 0;
    return;
  }
  --m_ImportUploads;
  if (--It->second == 0)
    m_ImportUploadsOf.erase(It);
}

bool TransferPlanner::hasRoom(Bytes Size) const {
  return m_Fetches.size() < MaxFetches &&
         (m_Fetches.empty() || m_BytesInFlight + Size <= MaxBytesInFlight);
}

bool TransferPlanner::hasInitialSummaries(TimePoint Now) const {
  if (!m_Rules.m_AwaitSummaries || Now - m_OrderedAt >= MaxInitialSummaryWait)
    return true;
  return std::all_of(m_Peers.begin(), m_Peers.end(), [](const auto &Each) {
    return Each.second.m_HasSummary || !Each.second.m_SameDataCentre;
  });
}

bool TransferPlanner::isUsable(const Peer &Neighbour, TimePoint Now) const {
  return Now >= Neighbour.m_BackoffUntil && Neighbour.m_FetchCount < MaxFetchesPerPeer;
}

void TransferPlanner::updateProgressTimeout() {
  Bytes Largest;
  for (const ChunkRef &Chunk : m_Order->m_Manifest.chunks())
    Largest = std::max(Largest, Chunk.m_Size);
  BytesPerSecond LaneRate(m_Links.m_Region.rate() / Lanes);
  m_ProgressTimeout = std::max<Duration>(m_TradeOff.m_ProgressTimeout,
                                         LaneRate.timeFor(Largest) * ProgressTimeoutChunks);
}

BytesPerSecond TransferPlanner::regionLaneRate() const {
  return BytesPerSecond(m_Links.m_Region.rate() / static_cast<double>(m_ActiveLanes));
}

bool TransferPlanner::crossesRegion(FetchSource Source, const InstanceId &From) const {
  if (Source == FetchSource::Origin)
    return !m_OriginRegion.empty() && m_OriginRegion != m_Self.m_Region;
  auto It = m_Peers.find(From);
  return It != m_Peers.end() && !It->second.m_SameRegion;
}

InstanceId TransferPlanner::chooseHolder(std::uint32_t Index, bool SameDataCentre,
                                         bool OtherRegions, TimePoint Now) {
  InstanceId Best;
  std::size_t BestCount = 0;
  std::uint64_t Ties = 0;
  for (const auto &[Id, Neighbour] : m_Peers) {
    if (Neighbour.m_SameDataCentre != SameDataCentre || !Neighbour.m_Held.contains(Index) ||
        (!Neighbour.m_SameRegion && !OtherRegions) || !isUsable(Neighbour, Now))
      continue;
    // A holder in the own region is preferred to one across a region link.
    std::size_t Count = Neighbour.m_FetchCount + (Neighbour.m_SameRegion ? 0 : MaxFetches);
    if (Best.empty() || Count < BestCount) {
      Best = Id;
      BestCount = Count;
      Ties = 1;
    } else if (Count == BestCount && uniformBelow(m_Random, ++Ties) == 0) {
      Best = Id;
    }
  }
  return Best;
}

void TransferPlanner::startFetch(std::uint32_t Index, FetchSource Source, const InstanceId &From,
                                 TimePoint Now, std::vector<TransferAction> &Actions) {
  const ChunkRef &Chunk = m_Order->m_Manifest.chunks()[Index];
  Lane &State = m_Lanes[Index % Lanes];
  auto FromPeer = m_Peers.find(From);
  Fetch Started;
  Started.m_Index = Index;
  Started.m_Size = Chunk.m_Size;
  Started.m_Source = Source;
  Started.m_Peer = From;
  Started.m_Import = Source == FetchSource::Origin || FromPeer == m_Peers.end() ||
                     !FromPeer->second.m_SameDataCentre;
  if (Source == FetchSource::Origin) {
    if (!OriginWithinGrants.check(m_Granted >= Chunk.m_Size, m_GrantRollout.str()) &&
        m_Rules.m_SpendGrants)
      return;
    m_Granted = m_Granted >= Chunk.m_Size ? m_Granted - Chunk.m_Size : Bytes();
    ++m_Counters.m_OriginFetches;
  }
  if (!InFlightBounded.check(hasRoom(Chunk.m_Size), "too many fetches"))
    return;
  double Rate = m_Links.m_Instance.rate();
  if (Source == FetchSource::Origin)
    Rate = std::min(Rate, m_Links.m_Origin.rate() / Lanes);
  if (crossesRegion(Source, From)) {
    Rate = std::min(Rate, m_Links.m_Region.rate() / Lanes);
    ++m_Counters.m_RegionFetches;
    Started.m_RegionCost = regionLaneRate().timeFor(Chunk.m_Size);
    State.m_RegionRateLimiter.spend(Now, Started.m_RegionCost, MaxRateCredit);
  }
  Started.m_LinkCost = m_Links.m_Instance.timeFor(Chunk.m_Size);
  m_DownloadRateLimiter.spend(Now, Started.m_LinkCost, MaxRateCredit);
  Duration Limit = BytesPerSecond(Rate).timeFor(Chunk.m_Size) * FetchTimeFactor + MinFetchTime;
  if (Started.m_Import) {
    ++State.m_ImportsInFlight;
    Limit *= State.m_TimeoutFactor;
  }
  Started.m_Deadline = m_Rules.m_TimeOut ? Now + Limit : TimePoint::max();
  if (FromPeer != m_Peers.end())
    ++FromPeer->second.m_FetchCount;
  m_Wanted.erase(Index);
  m_BytesInFlight += Chunk.m_Size;
  FetchId Id(++m_NextFetch);
  m_Fetches.emplace(Id, Started);
  Actions.emplace_back(StartFetch{Id, Index, Chunk, Source, From});
}

void TransferPlanner::expireFetches(TimePoint Now, std::vector<TransferAction> &Actions) {
  std::vector<FetchId> Expired;
  for (const auto &[Id, Entry] : m_Fetches)
    if (Now >= Entry.m_Deadline)
      Expired.push_back(Id);
  for (FetchId Id : Expired) {
    std::optional<Fetch> Failed = removeFetch(Id);
    if (!Failed)
      continue;
    ++m_Counters.m_TimedOut;
    Actions.emplace_back(CancelFetch{Id});
    backOffSource(*Failed, FailedPeerBackoff, Now);
    backOffOrigin(*Failed, Now);
    if (Failed->m_Import) {
      Lane &State = m_Lanes[Failed->m_Index % Lanes];
      State.m_TimeoutFactor = std::min(State.m_TimeoutFactor * 2, MaxTimeoutFactor);
    }
  }
}

void TransferPlanner::planImports(TimePoint Now, std::vector<TransferAction> &Actions) {
  if (!hasInitialSummaries(Now))
    return;
  for (std::size_t I = 0; I < Lanes; ++I)
    planImport(I, Now, Actions);
  auto HasPendingImports = [](const Lane &State) { return State.m_HasPendingImports; };
  m_ActiveLanes = std::max<std::size_t>(1, static_cast<std::size_t>(std::count_if(
                                               m_Lanes.begin(), m_Lanes.end(), HasPendingImports)));
}

void TransferPlanner::planImport(std::size_t LaneIndex, TimePoint Now,
                                 std::vector<TransferAction> &Actions) {
  Lane &State = m_Lanes[LaneIndex];
  const Duration Start = takeoverDelay(State.m_OwnRank, m_ProgressTimeout);
  if (Start == Duration::max())
    return;
  const std::vector<ChunkRef> &Chunks = m_Order->m_Manifest.chunks();
  std::vector<std::uint32_t> Needed;
  Bytes NeededSize;
  bool HasPendingImports = false;
  for (std::size_t I = LaneIndex; I < Chunks.size(); I += Lanes) {
    auto Index = static_cast<std::uint32_t>(I);
    if (m_LocalHolders[Index] != 0 || !m_Missing.contains(Index))
      continue;
    HasPendingImports = true;
    if (m_Wanted.contains(Index)) {
      Needed.push_back(Index);
      NeededSize += Chunks[Index].m_Size;
    }
  }
  if (HasPendingImports && !State.m_HasPendingImports)
    State.m_LastProgressAt = Now;
  State.m_HasPendingImports = HasPendingImports;
  if (Needed.empty())
    return;
  const Duration Idle = Now - State.m_LastProgressAt;
  if (Idle < Start || (State.m_OwnRank > 0 && !m_Rules.m_TakeOver))
    return;
  const auto Escalation = m_Rules.m_TakeOver ? (Idle - Start) / m_ProgressTimeout : 0;
  const bool OtherRegions = State.m_ImportsForRegion || Escalation >= 1;
  const std::size_t OriginSites =
      m_OriginScarce && m_Rules.m_SaveScarceBudget ? 1 : m_TradeOff.m_OriginSites;
  const bool FromOrigin = State.m_Site < OriginSites || Escalation >= 2;
  // Importers of different ranks start at different chunks, so that they do not fetch the same ones
  // when several are active.
  std::rotate(Needed.begin(),
              Needed.begin() + static_cast<std::ptrdiff_t>(State.m_OwnRank % Needed.size()),
              Needed.end());

  for (std::uint32_t Index : Needed) {
    const Bytes Size = Chunks[Index].m_Size;
    if (State.m_ImportsInFlight >= MaxImportsPerLane || !hasRoom(Size))
      return;
    bool RegionFree =
        State.m_RegionRateLimiter.allows(Now, Duration()) || !m_Rules.m_LimitImportRate;
    InstanceId Holder = chooseHolder(Index, false, OtherRegions && RegionFree, Now);
    if (!Holder.empty()) {
      startFetch(Index, FetchSource::Peer, Holder, Now, Actions);
      continue;
    }
    if (!FromOrigin || Now < State.m_NextOriginFetchAt ||
        (crossesRegion(FetchSource::Origin, InstanceId()) && !RegionFree))
      continue;
    if (m_Granted < Size && m_Rules.m_SpendGrants) {
      if (!m_IsGrantRequested && Now >= m_NextGrantRequestAt) {
        m_IsGrantRequested = true;
        Actions.emplace_back(RequestGrant{m_Order->m_Rollout, NeededSize, Size});
      }
      return;
    }
    startFetch(Index, FetchSource::Origin, InstanceId(), Now, Actions);
  }
}

void TransferPlanner::planPeerFetches(TimePoint Now, std::vector<TransferAction> &Actions) {
  std::size_t InFlight = 0;
  for (const auto &[Id, Entry] : m_Fetches)
    InFlight += Entry.m_Import ? 0 : 1;
  while (InFlight < MaxLocalFetches) {
    std::vector<std::uint64_t> Offered(m_Wanted.words().size(), 0);
    for (const auto &[Id, Neighbour] : m_Peers)
      if (Neighbour.m_SameDataCentre && isUsable(Neighbour, Now))
        for (std::size_t I = 0; I < Offered.size(); ++I)
          Offered[I] |= Neighbour.m_Held.words()[I];
    // The rarest chunk is usually the newest one; spreading it first keeps all agents useful as
    // sources.
    std::optional<std::uint32_t> Best;
    std::uint64_t Ties = 0;
    for (std::size_t I = 0; I < Offered.size(); ++I)
      for (std::uint64_t Word = Offered[I] & m_Wanted.words()[I]; Word != 0; Word &= Word - 1) {
        auto Index =
            static_cast<std::uint32_t>(I * 64) + static_cast<std::uint32_t>(std::countr_zero(Word));
        if (!Best || m_LocalHolders[Index] < m_LocalHolders[*Best]) {
          Best = Index;
          Ties = 1;
        } else if (m_LocalHolders[Index] == m_LocalHolders[*Best] &&
                   uniformBelow(m_Random, ++Ties) == 0) {
          Best = Index;
        }
      }
    if (!Best)
      return;
    const Bytes Size = m_Order->m_Manifest.chunks()[*Best].m_Size;
    if (!hasRoom(Size) ||
        !m_DownloadRateLimiter.allows(Now, m_Links.m_Instance.timeFor(Size) * MaxLocalFetches))
      return;
    InstanceId Holder = chooseHolder(*Best, true, false, Now);
    if (Holder.empty())
      return;
    startFetch(*Best, FetchSource::Peer, Holder, Now, Actions);
    ++InFlight;
  }
}

void TransferPlanner::planSummaries(TimePoint Now, std::vector<TransferAction> &Actions) {
  const auto End = static_cast<std::uint32_t>(m_Log.size());
  std::vector<std::uint32_t> Importing;
  for (const auto &[Id, Entry] : m_Fetches)
    if (Entry.m_ProgressAt && Now - *Entry.m_ProgressAt < MinFetchTime)
      Importing.push_back(Entry.m_Index);
  for (auto &[Id, Neighbour] : m_Peers) {
    if (Neighbour.m_HasSentSummary || Neighbour.m_LastSentAt != TimePoint()) {
      Duration Since = Now - Neighbour.m_LastSentAt;
      bool HasUpdate = !Neighbour.m_HasSentSummary || Neighbour.m_SentPosition < End ||
                       (Neighbour.m_NeedsFullLog && Neighbour.m_HasSummary);
      if (Since < SummaryInterval || (!HasUpdate && Since < SummaryRefresh))
        continue;
    }
    ChunkSummary Summary;
    Summary.m_Root = root();
    Summary.m_Epoch = m_Epoch;
    Summary.m_From = Neighbour.m_SentPosition;
    Summary.m_Indices.assign(m_Log.begin() + Neighbour.m_SentPosition, m_Log.end());
    Summary.m_WantsAll = Neighbour.m_NeedsFullLog;
    if (Neighbour.m_SameDataCentre)
      Summary.m_Importing = Importing;
    Neighbour.m_SentPosition = End;
    Neighbour.m_HasSentSummary = true;
    Neighbour.m_LastSentAt = Now;
    Actions.emplace_back(SendSummary{Id, std::move(Summary)});
  }
}

std::vector<TransferAction> TransferPlanner::poll(TimePoint Now) {
  std::vector<TransferAction> Actions;
  for (FetchId Id : m_CancelledFetches)
    Actions.emplace_back(CancelFetch{Id});
  m_CancelledFetches.clear();
  if (!m_Order)
    return Actions;
  expireFetches(Now, Actions);
  if (m_MissingCount != 0) {
    planImports(Now, Actions);
    planPeerFetches(Now, Actions);
  }
  planSummaries(Now, Actions);
  return Actions;
}

} // namespace fescuegauge
