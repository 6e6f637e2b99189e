#ifndef FESCUEGAUGE_PIECESOURCES_H
#define FESCUEGAUGE_PIECESOURCES_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace fescuegauge {

/// An agent that exchanges pieces of one model, this one included.
struct PiecePeer {
  InstanceId m_Id;
  Endpoint m_Address;
  DataCentreId m_DataCentre;
  RegionId m_Region;
  /// Its runner serves the wanted version, so it has every piece.
  bool m_HoldsAll = false;
};

/// Where a piece may be fetched from.
struct PieceSource {
  bool m_IsOrigin = false;
  /// Not used for the origin.
  PiecePeer m_Peer;
};

/// Chooses where to fetch each piece of a version from, so that a piece leaves the origin and
/// crosses each region link once in normal times.
///
/// Made for versions that are transferred in seconds: without messages about who holds what. Every
/// agent ranks the agents of its data centre for each piece in the same way. The first one imports
/// the piece, from the origin if it is in the origin's region, else from the importer there; the
/// others fetch it from the importer. Agents whose runner already serves the version go first. A
/// source that failed is passed over for this piece; the origin is the last resort, within an
/// allowance that keeps all agents together below a fixed number of copies.
class PieceSources {
public:
  /// Copies of the version that the agents may fetch from the origin beyond the first one, all
  /// together, when other sources fail.
  static constexpr double SpareCopies = 2;

  /// `Key` names the version. `Peers` contains `Self`.
  PieceSources(std::string Key, std::uint32_t PieceCount, InstanceId Self, RegionId OriginRegion);

  void setPeers(std::vector<PiecePeer> Peers);
  /// Whether this agent is the one that imports the piece into its data centre. Imports are fetched
  /// first, because others wait for them.
  bool isImporter(std::uint32_t Piece) const;
  /// The source to try next for a piece; nothing if all have failed.
  std::optional<PieceSource> next(std::uint32_t Piece) const;
  void onFailed(std::uint32_t Piece, const PieceSource &Source);
  /// Tries all sources of a piece again.
  void forgetFailures(std::uint32_t Piece) { m_Failed.erase(Piece); }
  /// A piece was asked of the origin.
  void onOriginFetch() { ++m_OriginFetches; }
  std::uint32_t originFetches() const { return m_OriginFetches; }
  /// Pieces that this agent may ask of the origin.
  std::uint32_t originAllowance() const;

private:
  /// Agents of a data centre in the order of their rank for a piece.
  std::vector<const PiecePeer *> ranked(std::uint32_t Piece, const DataCentreId &In) const;
  /// The data centre of a region that imports a piece for the region.
  DataCentreId leadDataCentre(std::uint32_t Piece, const RegionId &Of) const;
  std::vector<PieceSource> candidates(std::uint32_t Piece) const;
  bool mayUseOrigin() const { return m_OriginFetches < originAllowance(); }

  std::string m_Key;
  std::uint32_t m_PieceCount;
  InstanceId m_Self;
  RegionId m_OriginRegion;
  std::vector<PiecePeer> m_Peers;
  const PiecePeer *m_SelfPeer = nullptr;
  /// Ids of failed sources for each piece; the origin is the empty id.
  std::map<std::uint32_t, std::set<InstanceId>> m_Failed;
  std::uint32_t m_OriginFetches = 0;
};

/// When an agent has its runner load a new version.
///
/// A load takes a runner out for as long as its running requests need to end. Runners with work are
/// therefore converted one after the other, spread over the time until requests may no longer begin
/// on the old version; a runner that serves nothing loads at once.
class ConversionSchedule {
public:
  /// Time that a runner needs from the order until it serves again: its longest running request,
  /// and the load itself.
  static constexpr Duration ConversionTime = std::chrono::milliseconds(2500);

  /// The time at which the agent of rank `Rank` of `Count` orders the load, given when the version
  /// was announced and when its pieces were complete here.
  static TimePoint orderAt(TimePoint Announced, TimePoint Complete, Duration Deadline,
                           std::size_t Rank, std::size_t Count);
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_PIECESOURCES_H
