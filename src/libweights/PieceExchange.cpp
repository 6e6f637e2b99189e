#include "Fescuegauge/PieceExchange.h"

#include "Fescuegauge/Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace fescuegauge {

PieceExchange::PieceExchange(std::string Key, std::uint32_t PieceCount, InstanceId Self,
                             RegionId OriginRegion, std::uint64_t Seed, TimePoint Now)
    : m_Key(std::move(Key)), m_Count(PieceCount), m_Self(std::move(Self)),
      m_OriginRegion(std::move(OriginRegion)), m_Random(Seed), m_Held(PieceCount),
      m_HeldLocally(PieceCount), m_StartedAt(Now), m_LastProgressAt(Now) {
  setPeers({});
}

std::vector<PiecePeer> PieceExchange::withoutDuplicates(const std::vector<PiecePeer> &Peers) {
  std::vector<PiecePeer> Result;
  std::map<InstanceId, std::size_t> IndexOf;
  for (const PiecePeer &Each : Peers) {
    auto [Place, IsNew] = IndexOf.try_emplace(Each.m_Id, Result.size());
    if (IsNew)
      Result.push_back(Each);
    else
      Result[Place->second].m_HoldsAll = Result[Place->second].m_HoldsAll && Each.m_HoldsAll;
  }
  return Result;
}

void PieceExchange::setPeers(const std::vector<PiecePeer> &Peers) {
  std::map<InstanceId, PeerState> Known;
  for (std::size_t I = 0; I < m_Peers.size(); ++I)
    Known.emplace(m_Peers[I].m_Id, std::move(m_States[I]));
  m_Peers = withoutDuplicates(Peers);
  m_States.assign(m_Peers.size(), PeerState());
  m_IndexOf.clear();
  m_SelfPeer = nullptr;
  m_IsOriginRegionEmpty = true;
  for (std::size_t I = 0; I < m_Peers.size(); ++I) {
    const PiecePeer &Each = m_Peers[I];
    m_IndexOf.emplace(Each.m_Id, I);
    if (Each.m_Id == m_Self)
      m_SelfPeer = &Each;
    if (Each.m_Region == m_OriginRegion)
      m_IsOriginRegionEmpty = false;
  }
  m_LocalHolders.assign(m_Count, 0);
  m_HeldLocally = m_Held;
  for (std::size_t I = 0; I < m_Peers.size(); ++I) {
    const PiecePeer &Each = m_Peers[I];
    PeerState &State = m_States[I];
    if (auto Found = Known.find(Each.m_Id); Found != Known.end())
      State = std::move(Found->second);
    if (State.m_Held.size() != m_Count)
      State.m_Held = ChunkSet(m_Count);
    State.m_IsLocal = !m_SelfPeer || Each.m_DataCentre == m_SelfPeer->m_DataCentre;
    State.m_IsSameRegion = !m_SelfPeer || Each.m_Region == m_SelfPeer->m_Region;
    for (std::uint32_t Piece = 0; Piece < m_Count; ++Piece) {
      if (Each.m_HoldsAll)
        State.m_Held.insert(Piece);
      if (State.m_IsLocal && State.m_Held.contains(Piece) && Each.m_Id != m_Self) {
        ++m_LocalHolders[Piece];
        m_HeldLocally.insert(Piece);
      }
    }
  }
  computeImports();
  computeFollowed();
}

PieceExchange::ImportOrder PieceExchange::importOrder() const {
  ImportOrder Result;
  for (const PiecePeer &Each : m_Peers)
    if (Each.m_DataCentre == m_SelfPeer->m_DataCentre)
      Result.m_Importers.push_back(Each.m_Id);
  const std::string Key = m_Key + "/" + m_SelfPeer->m_DataCentre.str();
  if (isInOriginRegion())
    Result.m_Importers = rendezvousRank(Key, Result.m_Importers, MaxOriginImporters);
  std::sort(Result.m_Importers.begin(), Result.m_Importers.end());
  Result.m_First = rendezvousWeight(m_Key, m_SelfPeer->m_DataCentre.str());
  return Result;
}

std::uint32_t PieceExchange::ownRank(const ImportOrder &Order, std::uint32_t Piece) const {
  // Round-robin, so that every importer is the first one for the same number of pieces. The pieces
  // of one importer have different backups, which share them if it fails.
  const std::size_t Count = Order.m_Importers.size();
  const std::size_t Slot = Order.m_First % Count + Piece;
  for (std::uint32_t Rank = 0; Rank <= MaxBackupImporters && Rank < Count; ++Rank) {
    const std::size_t Offset = Rank == 0 ? 0 : Rank + Slot / Count % (Count - 1);
    if (Order.m_Importers[(Slot + Offset) % Count] == m_Self)
      return Rank;
  }
  return MaxBackupImporters + 1;
}

void PieceExchange::computeImports() {
  std::vector<PieceImport> Previous = std::move(m_Imports);
  m_Imports.assign(m_Count, PieceImport());
  m_IsOriginImporter = false;
  m_OriginImporters = 1;
  if (!m_SelfPeer) {
    for (PieceImport &Each : m_Imports) {
      Each.m_Rank = 0;
      Each.m_IsForRegion = true;
    }
    return;
  }
  std::set<RegionId> Regions;
  std::set<DataCentreId> DataCentres;
  for (const PiecePeer &Each : m_Peers) {
    Regions.insert(Each.m_Region);
    if (Each.m_Region == m_SelfPeer->m_Region)
      DataCentres.insert(Each.m_DataCentre);
  }
  const ImportOrder Order = importOrder();
  m_OriginImporters = Order.m_Importers.size() * DataCentres.size();
  m_IsOriginImporter = std::find(Order.m_Importers.begin(), Order.m_Importers.end(), m_Self) !=
                       Order.m_Importers.end();
  for (std::uint32_t Piece = 0; Piece < m_Count; ++Piece) {
    PieceImport &Import = m_Imports[Piece];
    Import.m_Source = sourceRegion(Piece, Regions);
    Import.m_Rank = ownRank(Order, Piece);
    auto First =
        std::next(DataCentres.begin(), static_cast<std::ptrdiff_t>(Piece % DataCentres.size()));
    Import.m_IsForRegion = *First == m_SelfPeer->m_DataCentre;
    if (Piece < Previous.size())
      Import.m_AvailableAt = Previous[Piece].m_AvailableAt;
  }
}

RegionId PieceExchange::sourceRegion(std::uint32_t Piece, const std::set<RegionId> &Regions) const {
  if (m_SelfPeer->m_Region == m_OriginRegion)
    return {};
  const std::string Key = m_Key + "/region/" + std::to_string(Piece);
  std::vector<std::pair<std::uint64_t, RegionId>> Ranked;
  for (const RegionId &Each : Regions)
    if (Each != m_OriginRegion)
      Ranked.emplace_back(rendezvousWeight(Key, Each.str()), Each);
  std::sort(Ranked.begin(), Ranked.end());
  auto Own = std::find_if(Ranked.begin(), Ranked.end(),
                          [&](const auto &Each) { return Each.second == m_SelfPeer->m_Region; });
  // The origin's region has position 0 in the tree, the others follow.
  const std::size_t Place = static_cast<std::size_t>(Own - Ranked.begin()) + 1;
  const std::size_t FanOut =
      std::min(1 + m_Peers.size() / Regions.size() / AgentsPerFanOut, MaxRegionFanOut);
  const std::size_t Parent = (Place - 1) / FanOut;
  return Parent == 0 ? m_OriginRegion : Ranked[Parent - 1].second;
}

void PieceExchange::computeFollowed() {
  std::set<RegionId> Sources;
  for (const PieceImport &Each : m_Imports)
    Sources.insert(Each.m_Source);
  m_FollowedLocal.clear();
  m_FollowedRemote.clear();
  for (std::size_t I = 0; I < m_Peers.size(); ++I)
    if (m_Peers[I].m_Id != m_Self && !m_Peers[I].m_HoldsAll)
      (m_States[I].m_IsLocal ? m_FollowedLocal : m_FollowedRemote).push_back(I);
  // Different agents follow different peers. Peers that cannot be a source come last; they are
  // followed only during a stall.
  auto Rank = [&](std::vector<std::size_t> &Of) {
    std::vector<std::pair<std::pair<bool, std::uint64_t>, std::size_t>> Weighted;
    for (const std::size_t Each : Of) {
      const bool IsSource =
          m_States[Each].m_IsSameRegion || Sources.contains(m_Peers[Each].m_Region);
      Weighted.push_back(
          {{!IsSource, rendezvousWeight(m_Self.str(), m_Peers[Each].m_Id.str())}, Each});
    }
    std::sort(Weighted.begin(), Weighted.end());
    Of.clear();
    for (const auto &Each : Weighted)
      Of.push_back(Each.second);
    return static_cast<std::size_t>(std::count_if(
        Weighted.begin(), Weighted.end(), [](const auto &Each) { return !Each.first.first; }));
  };
  Rank(m_FollowedLocal);
  m_RemoteSourceCount = Rank(m_FollowedRemote);
}

std::vector<PiecePeer> PieceExchange::followedPeers(TimePoint Now) const {
  std::vector<PiecePeer> Result;
  const std::size_t Remote = isStalled(Now) ? m_FollowedRemote.size() : m_RemoteSourceCount;
  for (std::size_t I = 0; I < std::min(MaxLocalFollowed, m_FollowedLocal.size()); ++I)
    Result.push_back(m_Peers[m_FollowedLocal[I]]);
  for (std::size_t I = 0; I < std::min(MaxRemoteFollowed, Remote); ++I)
    Result.push_back(m_Peers[m_FollowedRemote[I]]);
  return Result;
}

void PieceExchange::onHoldings(const InstanceId &Peer, const ChunkSet &Held, TimePoint Now) {
  if (auto Found = m_IndexOf.find(Peer); Found != m_IndexOf.end() && Held.size() == m_Count)
    updateHoldings(Found->second, Held, Now);
}

void PieceExchange::updateHoldings(std::size_t Peer, const ChunkSet &Held, TimePoint Now) {
  PeerState &State = m_States[Peer];
  if (State.m_Held == Held)
    return;
  for (std::uint32_t Piece = 0; Piece < m_Count; ++Piece) {
    const bool IsHeld = Held.contains(Piece);
    if (IsHeld == State.m_Held.contains(Piece))
      continue;
    if (State.m_IsLocal)
      m_LocalHolders[Piece] += IsHeld ? 1U : -1U;
    if (!IsHeld)
      continue;
    PieceImport &Import = m_Imports[Piece];
    if (!State.m_IsLocal && m_Peers[Peer].m_Region == Import.m_Source && !Import.m_AvailableAt)
      Import.m_AvailableAt = Now;
    if (State.m_IsLocal && m_HeldLocally.insert(Piece))
      m_LastProgressAt = Now;
  }
  State.m_Held = Held;
  updateOwnImportsComplete(Now);
}

void PieceExchange::updateOwnImportsComplete(TimePoint Now) {
  if (m_OwnImportsCompleteAt || ownImportCount() == 0)
    return;
  for (std::uint32_t Piece = 0; Piece < m_Count; ++Piece)
    if (m_Imports[Piece].m_Rank == 0 && !m_HeldLocally.contains(Piece))
      return;
  m_OwnImportsCompleteAt = Now;
}

bool PieceExchange::isStallFetchAllowed(std::uint32_t Piece, TimePoint Now) const {
  if (!isStalled(Now))
    return false;
  const double Steps = toSeconds(Now - m_LastProgressAt - StallTime) / toSeconds(StallStep);
  const double Share =
      std::exp2(Steps) / static_cast<double>(std::max<std::size_t>(m_Peers.size(), 1));
  constexpr int UsedBits = 53;
  const std::uint64_t Weight =
      rendezvousWeight(m_Key + "/turn/" + std::to_string(Piece), m_Self.str());
  return static_cast<double>(Weight >> (64 - UsedBits)) * 0x1.0p-53 < Share;
}

bool PieceExchange::isOriginImportDue(std::uint32_t Piece, TimePoint Now) const {
  const PieceImport &Import = m_Imports[Piece];
  if (!Import.m_IsForRegion || m_HeldLocally.contains(Piece))
    return false;
  const Duration TakeoverDelay = TakeoverTime * static_cast<Duration::rep>(Import.m_Rank);
  return TakeoverDelay == Duration(0) || Now - m_LastProgressAt >= TakeoverDelay ||
         (m_OwnImportsCompleteAt && Import.m_Rank <= MaxBackupImporters &&
          Now - *m_OwnImportsCompleteAt >= TakeoverDelay);
}

bool PieceExchange::isRegionImportDue(const PieceImport &Import, TimePoint Now) const {
  return Import.m_AvailableAt &&
         Now - *Import.m_AvailableAt >= TakeoverTime * static_cast<Duration::rep>(Import.m_Rank);
}

bool PieceExchange::mayFetchFrom(std::size_t Peer, std::uint32_t Piece, TimePoint Now) const {
  const PeerState &State = m_States[Peer];
  if (State.m_IsLocal)
    return true;
  if (isStallFetchAllowed(Piece, Now))
    return true;
  // A piece held in the data centre is not imported again.
  if (m_HeldLocally.contains(Piece))
    return false;
  const PieceImport &Import = m_Imports[Piece];
  if (State.m_IsSameRegion)
    return Import.m_Rank == 0;
  return Import.m_IsForRegion && m_Peers[Peer].m_Region == Import.m_Source &&
         isRegionImportDue(Import, Now);
}

std::uint32_t PieceExchange::ownImportCount() const {
  return static_cast<std::uint32_t>(
      std::count_if(m_Imports.begin(), m_Imports.end(), [](const PieceImport &Each) {
        return Each.m_IsForRegion && Each.m_Rank == 0;
      }));
}

std::uint32_t PieceExchange::originAllowance() const {
  auto ShareOf = [&](double Copies, std::size_t Among) {
    return static_cast<std::uint32_t>(
        std::ceil(Copies * m_Count / static_cast<double>(std::max<std::size_t>(Among, 1))));
  };
  std::uint32_t Result = ShareOf(SpareCopies, m_Peers.size());
  if (isInOriginRegion() && m_IsOriginImporter)
    Result += ownImportCount() + ShareOf(SpareImporterCopies, m_OriginImporters);
  return Result;
}

std::uint32_t PieceExchange::maxFromOrigin() const {
  const auto Share = static_cast<std::uint32_t>(OriginConcurrency / m_OriginImporters);
  return std::clamp<std::uint32_t>(Share, 1, MaxFromOrigin);
}

std::optional<std::uint32_t> PieceExchange::originPiece(TimePoint Now) {
  if (m_FromOrigin >= maxFromOrigin() || Now < m_OriginBackoffUntil)
    return std::nullopt;
  if (m_OriginFetches >= originAllowance() && Now - m_OriginFetchedAt < ExhaustedAllowanceInterval)
    return std::nullopt;
  // An agent that the platform does not list first tries its peers, if there are any.
  const bool IsImporter = m_SelfPeer ? isInOriginRegion() || m_IsOriginRegionEmpty
                                     : m_Peers.empty() || Now - m_StartedAt > StallTime;
  const bool Stalled = isStalled(Now);
  if (!IsImporter && !Stalled)
    return std::nullopt;
  const auto Start = static_cast<std::uint32_t>(uniformBelow(m_Random, m_Count));
  std::optional<std::uint32_t> Best;
  for (std::uint32_t I = 0; I < m_Count; ++I) {
    const std::uint32_t Piece = (Start + I) % m_Count;
    if (!isMissing(Piece))
      continue;
    const bool IsDue = IsImporter && isOriginImportDue(Piece, Now);
    if (IsDue && m_Imports[Piece].m_Rank == 0)
      return Piece;
    if (!Best && (IsDue || isStallFetchAllowed(Piece, Now)))
      Best = Piece;
  }
  return Best;
}

std::optional<PieceFetch> PieceExchange::next(TimePoint Now) {
  if (m_InFlight.size() >= MaxInFlight)
    return std::nullopt;
  if (auto FromOrigin = originPiece(Now)) {
    ++m_FromOrigin;
    ++m_OriginFetches;
    m_OriginFetchedAt = Now;
    m_InFlight.insert(*FromOrigin);
    return PieceFetch{*FromOrigin, true, {}};
  }
  // Pieces held by the fewest agents of the data centre come first; imported pieces have no holder
  // there.
  std::optional<std::size_t> BestPeer;
  std::uint32_t BestPiece = 0;
  std::uint64_t BestRank = 0;
  for (std::size_t Peer = 0; Peer < m_Peers.size(); ++Peer) {
    const PeerState &State = m_States[Peer];
    if (&m_Peers[Peer] == m_SelfPeer || Now < State.m_BackoffUntil ||
        State.m_InFlight >= MaxFromPeer)
      continue;
    for (std::uint32_t Piece = 0; Piece < m_Count; ++Piece) {
      if (!State.m_Held.contains(Piece) || !isMissing(Piece) || !mayFetchFrom(Peer, Piece, Now))
        continue;
      constexpr std::uint64_t RandomBits = 1 << 16;
      const std::uint64_t Rank =
          m_LocalHolders[Piece] * RandomBits + uniformBelow(m_Random, RandomBits);
      if (!BestPeer || Rank < BestRank) {
        BestPeer = Peer;
        BestPiece = Piece;
        BestRank = Rank;
      }
    }
  }
  if (!BestPeer)
    return std::nullopt;
  ++m_States[*BestPeer].m_InFlight;
  m_InFlight.insert(BestPiece);
  return PieceFetch{BestPiece, false, m_Peers[*BestPeer].m_Id};
}

void PieceExchange::onEnded(const PieceFetch &Fetch, PieceResult Result, TimePoint Now) {
  m_InFlight.erase(Fetch.m_Piece);
  PeerState *From = nullptr;
  if (auto Found = m_IndexOf.find(Fetch.m_Peer); Found != m_IndexOf.end())
    From = &m_States[Found->second];
  if (Fetch.m_FromOrigin)
    --m_FromOrigin;
  else if (From && From->m_InFlight > 0)
    --From->m_InFlight;
  if (Fetch.m_FromOrigin && Result == PieceResult::NotStarted)
    --m_OriginFetches;
  if (Result == PieceResult::Good) {
    m_Held.insert(Fetch.m_Piece);
    m_HeldLocally.insert(Fetch.m_Piece);
    m_LastProgressAt = Now;
    updateOwnImportsComplete(Now);
  } else if (Fetch.m_FromOrigin) {
    m_OriginBackoffUntil = Now + FailurePause;
  } else if (From && Result == PieceResult::Busy) {
    From->m_BackoffUntil = Now + BusyPause;
  } else if (From) {
    From->m_BackoffUntil = Now + FailurePause;
    if (From->m_Held.contains(Fetch.m_Piece)) {
      From->m_Held.erase(Fetch.m_Piece);
      if (From->m_IsLocal)
        --m_LocalHolders[Fetch.m_Piece];
    }
  }
}

std::size_t PieceExchange::reachableCount() const {
  std::size_t Result = 0;
  for (std::uint32_t Piece = 0; Piece < m_Count; ++Piece)
    if (m_Held.contains(Piece) ||
        std::any_of(m_States.begin(), m_States.end(),
                    [&](const PeerState &Each) { return Each.m_Held.contains(Piece); }))
      ++Result;
  return Result;
}

TimePoint LoadSchedule::orderAt(TimePoint Complete, TimePoint Bound, std::size_t Rank,
                                std::size_t Count, bool IsIdle) {
  const TimePoint Last = Bound - LastOrderMargin;
  const bool IsLate = Complete >= Last;
  if (Count <= 1 || (IsLate && IsIdle))
    return Complete;
  Duration Span = Last - Complete;
  if (Complete >= Bound)
    Span = LateLoadSpan;
  else if (IsLate)
    Span = std::max(Bound - MinOrderMargin - Complete, Duration(0));
  return Complete + Span * static_cast<Duration::rep>(Rank) / static_cast<Duration::rep>(Count - 1);
}

} // namespace fescuegauge
