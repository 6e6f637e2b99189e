#include "Fescuegauge/PieceExchange.h"

#include "Fescuegauge/Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace fescuegauge {

namespace {

/// The member with the highest weight for a key.
template <typename Range, typename NameOf>
auto firstRanked(const std::string &Key, const Range &Members, NameOf Name) {
  return std::max_element(Members.begin(), Members.end(), [&](const auto &Left, const auto &Right) {
    return rendezvousWeight(Key, Name(Left)) < rendezvousWeight(Key, Name(Right));
  });
}

} // namespace

PieceExchange::PieceExchange(std::string Key, std::uint32_t PieceCount, InstanceId Self,
                             RegionId OriginRegion, std::uint64_t Seed, TimePoint Now)
    : m_Key(std::move(Key)), m_Count(PieceCount), m_Self(std::move(Self)),
      m_OriginRegion(std::move(OriginRegion)), m_Random(Seed), m_Held(PieceCount),
      m_Imports(PieceCount), m_RegionImports(PieceCount), m_StartedAt(Now), m_ProgressAt(Now) {
  computeImports();
}

void PieceExchange::setPeers(std::vector<PiecePeer> Peers) {
  m_Peers = std::move(Peers);
  auto Found = std::find_if(m_Peers.begin(), m_Peers.end(),
                            [&](const PiecePeer &Each) { return Each.m_Id == m_Self; });
  m_SelfPeer = Found == m_Peers.end() ? nullptr : &*Found;
  computeImports();
}

void PieceExchange::computeImports() {
  m_Imports = ChunkSet(m_Count);
  m_RegionImports = ChunkSet(m_Count);
  m_SourceRegions.assign(m_Count, RegionId());
  if (!m_SelfPeer) {
    for (std::uint32_t Piece = 0; Piece < m_Count; ++Piece)
      m_RegionImports.insert(Piece);
    return;
  }
  std::vector<InstanceId> Mates;
  std::set<DataCentreId> DataCentres;
  for (const PiecePeer &Each : m_Peers) {
    if (Each.m_DataCentre == m_SelfPeer->m_DataCentre)
      Mates.push_back(Each.m_Id);
    if (Each.m_Region == m_SelfPeer->m_Region)
      DataCentres.insert(Each.m_DataCentre);
  }
  auto Text = [](const auto &Id) -> std::string_view { return Id.str(); };
  // In turns, so that every agent imports the same number of pieces.
  std::sort(Mates.begin(), Mates.end());
  const std::size_t First = rendezvousWeight(m_Key, m_SelfPeer->m_DataCentre.str()) % Mates.size();
  for (std::uint32_t Piece = 0; Piece < m_Count; ++Piece) {
    m_SourceRegions[Piece] = sourceRegion(Piece);
    const std::string Key = m_Key + "/" + std::to_string(Piece);
    if (Mates[(First + Piece) % Mates.size()] != m_Self)
      continue;
    m_Imports.insert(Piece);
    if (*firstRanked(Key, DataCentres, Text) == m_SelfPeer->m_DataCentre)
      m_RegionImports.insert(Piece);
  }
}

std::vector<PiecePeer> PieceExchange::followed(TimePoint Now) const {
  std::vector<PiecePeer> Local;
  std::vector<PiecePeer> Remote;
  const bool Stalled = isStalled(Now);
  for (const PiecePeer &Each : m_Peers) {
    if (Each.m_Id == m_Self || Each.m_HoldsAll)
      continue;
    const bool IsLocal = m_SelfPeer && Each.m_DataCentre == m_SelfPeer->m_DataCentre;
    const bool SameRegion = m_SelfPeer && Each.m_Region == m_SelfPeer->m_Region;
    const bool IsSource = SameRegion || Stalled ||
                          std::find(m_SourceRegions.begin(), m_SourceRegions.end(),
                                    Each.m_Region) != m_SourceRegions.end();
    if (IsLocal)
      Local.push_back(Each);
    else if (IsSource)
      Remote.push_back(Each);
  }
  // Different agents follow different ones of many.
  auto Limit = [&](std::vector<PiecePeer> &Of, std::size_t Most) {
    if (Of.size() <= Most)
      return;
    std::sort(Of.begin(), Of.end(), [&](const PiecePeer &Left, const PiecePeer &Right) {
      return rendezvousWeight(m_Self.str(), Left.m_Id.str()) >
             rendezvousWeight(m_Self.str(), Right.m_Id.str());
    });
    Of.resize(Most);
  };
  Limit(Local, MaxLocalFollowed);
  Limit(Remote, MaxRemoteFollowed);
  Local.insert(Local.end(), Remote.begin(), Remote.end());
  return Local;
}

bool PieceExchange::holds(const PiecePeer &Peer, std::uint32_t Piece) const {
  if (Peer.m_HoldsAll)
    return true;
  auto Known = m_Holdings.find(Peer.m_Id);
  return Known != m_Holdings.end() && Known->second.contains(Piece);
}

bool PieceExchange::mayFetchFrom(const PiecePeer &Peer, std::uint32_t Piece, TimePoint Now) const {
  if (!m_SelfPeer || Peer.m_DataCentre == m_SelfPeer->m_DataCentre || isStalled(Now))
    return true;
  if (Peer.m_Region == m_SelfPeer->m_Region)
    return m_Imports.contains(Piece);
  return m_RegionImports.contains(Piece) && Peer.m_Region == m_SourceRegions[Piece];
}

RegionId PieceExchange::sourceRegion(std::uint32_t Piece) const {
  if (m_SelfPeer->m_Region == m_OriginRegion)
    return {};
  const std::string Key = m_Key + "/region/" + std::to_string(Piece);
  const std::uint64_t Own = rendezvousWeight(Key, m_SelfPeer->m_Region.str());
  // The region with the next higher weight; the origin's if there is none.
  RegionId Best = m_OriginRegion;
  std::uint64_t BestWeight = 0;
  for (const PiecePeer &Each : m_Peers) {
    if (Each.m_Region == m_OriginRegion || Each.m_Region == m_SelfPeer->m_Region)
      continue;
    const std::uint64_t Weight = rendezvousWeight(Key, Each.m_Region.str());
    if (Weight > Own && (Best == m_OriginRegion || Weight < BestWeight)) {
      Best = Each.m_Region;
      BestWeight = Weight;
    }
  }
  return Best;
}

std::vector<std::uint32_t> PieceExchange::localHolders() const {
  std::vector<std::uint32_t> Result(m_Count);
  for (const PiecePeer &Each : m_Peers) {
    if (!m_SelfPeer || Each.m_DataCentre != m_SelfPeer->m_DataCentre || Each.m_Id == m_Self)
      continue;
    for (std::uint32_t Piece = 0; Piece < m_Count; ++Piece)
      if (holds(Each, Piece))
        ++Result[Piece];
  }
  return Result;
}

std::uint32_t PieceExchange::originAllowance() const {
  const bool InOriginRegion = m_SelfPeer && m_SelfPeer->m_Region == m_OriginRegion;
  const double Spare = std::ceil(SpareCopies * m_Count /
                                 static_cast<double>(std::max<std::size_t>(m_Peers.size(), 1)));
  return static_cast<std::uint32_t>(InOriginRegion ? m_RegionImports.count() : 0) +
         static_cast<std::uint32_t>(Spare);
}

std::optional<std::uint32_t> PieceExchange::originPiece(const std::vector<std::uint32_t> &Holders,
                                                        TimePoint Now) {
  if (m_FromOrigin >= MaxFromOrigin || Now < m_OriginPausedUntil)
    return std::nullopt;
  if (m_OriginFetches >= originAllowance() && Now - m_OriginFetchedAt < BeyondAllowanceInterval)
    return std::nullopt;
  const bool NobodyAtOrigin =
      std::none_of(m_Peers.begin(), m_Peers.end(),
                   [&](const PiecePeer &Each) { return Each.m_Region == m_OriginRegion; });
  // An agent that the platform does not list asks its peers first, if there are any.
  const bool Imports = m_SelfPeer ? m_SelfPeer->m_Region == m_OriginRegion || NobodyAtOrigin
                                  : m_Peers.empty() || Now - m_StartedAt > StallTime;
  const bool Stalled = isStalled(Now);
  if (!Imports && !Stalled)
    return std::nullopt;
  const auto Start = static_cast<std::uint32_t>(uniformBelow(m_Random, m_Count));
  for (std::uint32_t I = 0; I < m_Count; ++I) {
    const std::uint32_t Piece = (Start + I) % m_Count;
    if (isMissing(Piece) && (Stalled || (m_RegionImports.contains(Piece) && Holders[Piece] == 0)))
      return Piece;
  }
  return std::nullopt;
}

std::optional<PieceFetch> PieceExchange::next(TimePoint Now) {
  if (m_InFlight.size() >= MaxInFlight)
    return std::nullopt;
  const std::vector<std::uint32_t> Holders = localHolders();
  std::optional<PieceFetch> Best;
  if (auto FromOrigin = originPiece(Holders, Now)) {
    Best = PieceFetch{*FromOrigin, true, {}};
    ++m_FromOrigin;
    ++m_OriginFetches;
    m_OriginFetchedAt = Now;
  } else {
    // Pieces that fewer agents of the data centre hold go first; imports have none.
    std::uint64_t BestRank = 0;
    for (const PiecePeer &Peer : m_Peers) {
      auto Paused = m_PausedUntil.find(Peer.m_Id);
      auto Busy = m_FromPeer.find(Peer.m_Id);
      if (Peer.m_Id == m_Self || (Paused != m_PausedUntil.end() && Now < Paused->second) ||
          (Busy != m_FromPeer.end() && Busy->second >= MaxFromPeer))
        continue;
      const bool Remote = m_SelfPeer && Peer.m_DataCentre != m_SelfPeer->m_DataCentre;
      for (std::uint32_t Piece = 0; Piece < m_Count; ++Piece) {
        if (!isMissing(Piece) || !holds(Peer, Piece) || !mayFetchFrom(Peer, Piece, Now))
          continue;
        // What a mate holds need not come from afar.
        if (Remote && Holders[Piece] > 0 && !isStalled(Now))
          continue;
        constexpr std::uint64_t RandomBits = 1 << 16;
        const std::uint64_t Rank = Holders[Piece] * RandomBits + uniformBelow(m_Random, RandomBits);
        if (!Best || Rank < BestRank) {
          Best = PieceFetch{Piece, false, Peer.m_Id};
          BestRank = Rank;
        }
      }
    }
    if (Best)
      ++m_FromPeer[Best->m_Peer];
  }
  if (Best)
    m_InFlight.insert(Best->m_Piece);
  return Best;
}

void PieceExchange::onEnded(const PieceFetch &Fetch, PieceResult Result, TimePoint Now) {
  m_InFlight.erase(Fetch.m_Piece);
  if (Fetch.m_FromOrigin)
    --m_FromOrigin;
  else
    --m_FromPeer[Fetch.m_Peer];
  if (Fetch.m_FromOrigin && Result == PieceResult::NotStarted)
    --m_OriginFetches;
  if (Result == PieceResult::Good) {
    m_Held.insert(Fetch.m_Piece);
    m_ProgressAt = Now;
  } else if (Fetch.m_FromOrigin) {
    m_OriginPausedUntil = Now + FailurePause;
  } else {
    m_PausedUntil[Fetch.m_Peer] = Now + FailurePause;
    if (auto Known = m_Holdings.find(Fetch.m_Peer); Known != m_Holdings.end())
      Known->second.erase(Fetch.m_Piece);
  }
}

TimePoint ConversionSchedule::orderAt(TimePoint Announced, TimePoint Complete, Duration Deadline,
                                      std::size_t Rank, std::size_t Count) {
  const TimePoint Last = Announced + Deadline - LastOrderMargin;
  if (Complete >= Last || Count <= 1)
    return Complete;
  const Duration Span = Last - Complete;
  return Complete + Span * static_cast<Duration::rep>(Rank) / static_cast<Duration::rep>(Count - 1);
}

} // namespace fescuegauge
