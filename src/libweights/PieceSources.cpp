#include "Fescuegauge/PieceSources.h"

#include "Fescuegauge/Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace fescuegauge {

namespace {

/// Stands for the origin among the sources that failed.
const InstanceId OriginId;

} // namespace

PieceSources::PieceSources(std::string Key, std::uint32_t PieceCount, InstanceId Self,
                           RegionId OriginRegion)
    : m_Key(std::move(Key)), m_PieceCount(PieceCount), m_Self(std::move(Self)),
      m_OriginRegion(std::move(OriginRegion)) {}

void PieceSources::setPeers(std::vector<PiecePeer> Peers) {
  m_Peers = std::move(Peers);
  auto Found = std::find_if(m_Peers.begin(), m_Peers.end(),
                            [&](const PiecePeer &Each) { return Each.m_Id == m_Self; });
  m_SelfPeer = Found == m_Peers.end() ? nullptr : &*Found;
}

std::vector<const PiecePeer *> PieceSources::ranked(std::uint32_t Piece,
                                                    const DataCentreId &In) const {
  std::vector<const PiecePeer *> Result;
  for (const PiecePeer &Each : m_Peers)
    if (Each.m_DataCentre == In)
      Result.push_back(&Each);
  const std::string Key = m_Key + "/" + std::to_string(Piece);
  // An agent that has the whole version already imports nothing; it goes first as a source.
  std::sort(Result.begin(), Result.end(), [&](const PiecePeer *Left, const PiecePeer *Right) {
    if (Left->m_HoldsAll != Right->m_HoldsAll)
      return Left->m_HoldsAll;
    return rendezvousWeight(Key, Left->m_Id.str()) > rendezvousWeight(Key, Right->m_Id.str());
  });
  return Result;
}

DataCentreId PieceSources::leadDataCentre(std::uint32_t Piece, const RegionId &Of) const {
  const std::string Key = m_Key + "/dc/" + std::to_string(Piece);
  DataCentreId Best;
  std::uint64_t BestWeight = 0;
  for (const PiecePeer &Each : m_Peers) {
    if (Each.m_Region != Of)
      continue;
    const std::uint64_t Weight = rendezvousWeight(Key, Each.m_DataCentre.str());
    if (Best.empty() || Weight > BestWeight) {
      Best = Each.m_DataCentre;
      BestWeight = Weight;
    }
  }
  return Best;
}

bool PieceSources::isImporter(std::uint32_t Piece) const {
  if (!m_SelfPeer)
    return true;
  const auto Local = ranked(Piece, m_SelfPeer->m_DataCentre);
  return !Local.empty() && Local.front() == m_SelfPeer;
}

std::uint32_t PieceSources::originAllowance() const {
  std::uint32_t Own = 0;
  for (std::uint32_t Piece = 0; Piece < m_PieceCount; ++Piece)
    Own += isImporter(Piece) ? 1 : 0;
  if (m_SelfPeer && m_SelfPeer->m_Region != m_OriginRegion)
    Own = 0;
  const double Spare = std::ceil(SpareCopies * m_PieceCount /
                                 static_cast<double>(std::max<std::size_t>(m_Peers.size(), 1)));
  return Own + static_cast<std::uint32_t>(Spare);
}

std::vector<PieceSource> PieceSources::candidates(std::uint32_t Piece) const {
  std::vector<PieceSource> Result;
  const PieceSource Origin{true, {}};
  if (!m_SelfPeer) {
    for (const PiecePeer &Each : m_Peers)
      Result.push_back({false, Each});
    Result.push_back(Origin);
    return Result;
  }
  auto Append = [&](const std::vector<const PiecePeer *> &Peers) {
    for (const PiecePeer *Each : Peers)
      if (Each != m_SelfPeer)
        Result.push_back({false, *Each});
  };
  const auto Local = ranked(Piece, m_SelfPeer->m_DataCentre);
  const bool Imports = Local.front() == m_SelfPeer;
  if (Imports) {
    const DataCentreId Lead = leadDataCentre(Piece, m_SelfPeer->m_Region);
    const bool LeadsRegion = Lead == m_SelfPeer->m_DataCentre;
    const DataCentreId OriginLead = leadDataCentre(Piece, m_OriginRegion);
    if (!LeadsRegion)
      Append(ranked(Piece, Lead));
    else if (m_SelfPeer->m_Region == m_OriginRegion || OriginLead.empty())
      Result.push_back(Origin);
    else
      Append(ranked(Piece, OriginLead));
  }
  Append(Local);
  // After the regular sources, any agent may have the piece; those of the own region first.
  for (const bool SameRegion : {true, false})
    for (const PiecePeer &Each : m_Peers)
      if (Each.m_DataCentre != m_SelfPeer->m_DataCentre &&
          (Each.m_Region == m_SelfPeer->m_Region) == SameRegion)
        Result.push_back({false, Each});
  Result.push_back(Origin);
  return Result;
}

std::optional<PieceSource> PieceSources::next(std::uint32_t Piece) const {
  auto Failed = m_Failed.find(Piece);
  for (const PieceSource &Each : candidates(Piece)) {
    const InstanceId &Id = Each.m_IsOrigin ? OriginId : Each.m_Peer.m_Id;
    if (Each.m_IsOrigin && !mayUseOrigin())
      continue;
    if (Failed == m_Failed.end() || !Failed->second.contains(Id))
      return Each;
  }
  return std::nullopt;
}

void PieceSources::onFailed(std::uint32_t Piece, const PieceSource &Source) {
  m_Failed[Piece].insert(Source.m_IsOrigin ? OriginId : Source.m_Peer.m_Id);
}

TimePoint ConversionSchedule::orderAt(TimePoint Announced, TimePoint Complete, Duration Deadline,
                                      std::size_t Rank, std::size_t Count) {
  const TimePoint Last = Announced + Deadline - ConversionTime;
  if (Complete >= Last || Count <= 1)
    return Complete;
  const Duration Span = Last - Complete;
  return Complete + Span * static_cast<Duration::rep>(Rank) / static_cast<Duration::rep>(Count - 1);
}

} // namespace fescuegauge
