#ifndef FESCUEGAUGE_PIECEEXCHANGE_H
#define FESCUEGAUGE_PIECEEXCHANGE_H

#include "Fescuegauge/ChunkSet.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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

/// One piece to fetch.
struct PieceFetch {
  std::uint32_t m_Piece = 0;
  bool m_FromOrigin = false;
  /// Empty for the origin.
  InstanceId m_Peer;
};

/// How a fetch ended.
enum class PieceResult {
  /// The piece arrived and has the right digest.
  Good,
  /// Bytes may have been sent, but the piece is not usable.
  Bad,
  /// The source was not reached; it sent nothing.
  NotStarted,
  /// The peer has as many uploads waiting as it accepts; it sent nothing.
  Busy,
};

/// Decides which piece of a version an agent fetches next, and from where.
///
/// Made for versions that are transferred in seconds, where TransferPlanner's settling time and its
/// interval of summaries would be longer than the transfer.
///
/// Load pattern answered: up to hundreds of agents that learn of a version at the same moment, with
/// an origin whose link carries one copy in seconds. In the origin's region a few importers take
/// turns at the pieces, so that the origin's link is shared by few and single pieces arrive early.
/// The regions form a tree for each piece, rooted in the origin's, and in every data centre each
/// piece has one importer, so a piece leaves the origin once and enters each region once. Within a
/// data centre, agents fetch any piece from any agent that is known to hold it, those that few hold
/// first.
///
/// A late piece is handed over: for each piece the importers have an order, and the next one
/// fetches it when the one before it had its time. An origin's importer has had its time when no
/// new piece appeared in the data centre for HandoverTime, or when the others have long finished
/// their own pieces; slowness of the origin's link alone does not end it. Without any news for
/// StallTime, all agents may fetch from everywhere, a growing random share of them for each piece;
/// an allowance keeps what all agents together take from the origin below four copies.
class PieceExchange {
public:
  /// Copies that the agents may fetch from the origin beyond the first one: the importers, and all
  /// agents.
  static constexpr double SpareImporterCopies = 1;
  static constexpr double SpareCopies = 1;
  /// Time without any news before agents fetch out of turn, and before each further step of it.
  static constexpr Duration StallTime = std::chrono::milliseconds(1200);
  static constexpr Duration StallStep = std::chrono::milliseconds(500);
  /// An importer has this long for a piece before the next one fetches it too. At an origin's link
  /// that twelve importers share, a piece takes about 0.5 s.
  static constexpr Duration HandoverTime = std::chrono::milliseconds(500);
  /// Importers of a piece that follow its first one; after them, every agent of the data centre may
  /// fetch it.
  static constexpr std::uint32_t MaxBackups = 3;
  /// Importers of a data centre in the origin's region, and what they fetch from the origin at a
  /// time, all together.
  static constexpr std::size_t MaxOriginImporters = 12;
  static constexpr std::uint32_t OriginConcurrency = 12;
  /// Pieces in flight: in all, from one peer, and from the origin. The machine's link also carries
  /// the runner's requests, which wait behind what is in flight: a piece of 24 KiB takes 27 ms of
  /// 7.3 Mbit/s.
  static constexpr std::size_t MaxInFlight = 4;
  static constexpr std::uint32_t MaxFromPeer = 1;
  static constexpr std::uint32_t MaxFromOrigin = 2;
  /// Peers of the own data centre, and of others, whose holdings are followed.
  static constexpr std::size_t MaxLocalFollowed = 10;
  static constexpr std::size_t MaxRemoteFollowed = 12;
  /// Regions that fetch a piece from the same region: one, and one more for every so many agents of
  /// a region. Each costs the agents of that region together the upload of one copy.
  static constexpr std::size_t AgentsPerFanOut = 6;
  static constexpr std::size_t MaxRegionFanOut = 3;
  /// A peer whose fetch failed is not asked again for this time.
  static constexpr Duration FailurePause = std::chrono::milliseconds(500);
  /// A peer that was busy is not asked again for this time.
  static constexpr Duration BusyPause = std::chrono::milliseconds(50);
  /// With the allowance used up, the origin is asked for one piece in this time, so that a transfer
  /// never stands still for good.
  static constexpr Duration BeyondAllowanceInterval = std::chrono::seconds(2);

  /// `Key` names the version.
  PieceExchange(std::string Key, std::uint32_t PieceCount, InstanceId Self, RegionId OriginRegion,
                std::uint64_t Seed, TimePoint Now);

  /// `Peers` contains this agent if the platform lists it.
  void setPeers(const std::vector<PiecePeer> &Peers);
  /// One entry for each agent. An agent whose runner restarted may be listed under the old and the
  /// new start of it for some seconds; it holds a version for certain only if all entries say so.
  static std::vector<PiecePeer> withoutDuplicates(const std::vector<PiecePeer> &Peers);
  const std::vector<PiecePeer> &peers() const { return m_Peers; }
  /// Peers whose holdings should be known now.
  std::vector<PiecePeer> followed(TimePoint Now) const;
  void onHoldings(const InstanceId &Peer, const ChunkSet &Held, TimePoint Now);

  /// The next fetch; nothing if none is possible now. Counts as in flight until onEnded().
  std::optional<PieceFetch> next(TimePoint Now);
  void onEnded(const PieceFetch &Fetch, PieceResult Result, TimePoint Now);
  /// A piece is held without a fetch.
  void onHeld(std::uint32_t Piece) { m_Held.insert(Piece); }

  const ChunkSet &held() const { return m_Held; }
  bool isComplete() const { return m_Held.count() == m_Count; }
  /// Pieces that this agent holds, or that a peer is known to hold.
  std::size_t reachableCount() const;
  /// No piece has arrived or become known for StallTime.
  bool isStalled(TimePoint Now) const { return Now - m_NewsAt > StallTime; }
  std::uint32_t originFetches() const { return m_OriginFetches; }
  std::uint32_t originAllowance() const;

private:
  /// What is known of the peer of the same index in m_Peers.
  struct PeerState {
    ChunkSet m_Held;
    std::uint32_t m_InFlight = 0;
    TimePoint m_PausedUntil;
    bool m_IsLocal = false;
    bool m_IsSameRegion = false;
  };
  /// Who imports a piece into the data centre.
  struct PieceImport {
    /// Own place in the order of importers, 0 for the first. All that have no place come after
    /// the last one.
    std::uint32_t m_Rank = MaxBackups + 1;
    /// The region from which the piece comes; empty for the origin's own region.
    RegionId m_Source;
    /// This data centre fetches the piece for its region.
    bool m_IsForRegion = false;
    /// When a peer of the source region was first known to hold it.
    std::optional<TimePoint> m_AvailableAt;
  };
  /// The order in which the agents of the data centre import a piece.
  struct ImportOrder {
    std::vector<InstanceId> m_Importers;
    std::size_t m_First = 0;
  };

  bool isMissing(std::uint32_t Piece) const {
    return !m_Held.contains(Piece) && !m_InFlight.contains(Piece);
  }
  bool isInOriginRegion() const { return m_SelfPeer && m_SelfPeer->m_Region == m_OriginRegion; }
  /// Whether agents fetch this piece out of turn, and this one is among them.
  bool isOutOfTurn(std::uint32_t Piece, TimePoint Now) const;
  /// Whether it is this agent's turn to fetch the piece from the origin, or from its source region.
  bool isOriginTurn(std::uint32_t Piece, TimePoint Now) const;
  bool isRemoteTurn(const PieceImport &Import, TimePoint Now) const;
  bool mayFetchFrom(std::size_t Peer, std::uint32_t Piece, TimePoint Now) const;
  std::optional<std::uint32_t> originPiece(TimePoint Now);
  std::uint32_t maxFromOrigin() const;
  std::uint32_t ownImportCount() const;
  void computeImports();
  ImportOrder importOrder() const;
  std::uint32_t ownRank(const ImportOrder &Order, std::uint32_t Piece) const;
  void computeFollowed();
  /// The region from which the own one fetches a piece.
  RegionId sourceRegion(std::uint32_t Piece, const std::set<RegionId> &Regions) const;
  void notePieces(std::size_t Peer, const ChunkSet &Held, TimePoint Now);
  /// Notes when this agent has every piece that it is the first to import.
  void noteOwnShare(TimePoint Now);

  std::string m_Key;
  std::uint32_t m_Count;
  InstanceId m_Self;
  RegionId m_OriginRegion;
  RandomGenerator m_Random;
  std::vector<PiecePeer> m_Peers;
  std::vector<PeerState> m_States;
  std::map<InstanceId, std::size_t> m_IndexOf;
  const PiecePeer *m_SelfPeer = nullptr;
  bool m_IsOriginImporter = false;
  std::size_t m_OriginImporters = 1;
  bool m_NobodyAtOrigin = true;
  /// By piece.
  std::vector<PieceImport> m_Imports;
  std::vector<std::uint32_t> m_LocalHolders;
  /// Indices of peers that are worth following, in order of preference.
  std::vector<std::size_t> m_FollowedLocal;
  std::vector<std::size_t> m_FollowedRemote;
  /// The first of m_FollowedRemote, which are in the own region or one that pieces come from.
  std::size_t m_UsefulRemote = 0;
  ChunkSet m_Held;
  /// Pieces held in the data centre, as far as known.
  ChunkSet m_HeldLocally;
  std::set<std::uint32_t> m_InFlight;
  std::uint32_t m_FromOrigin = 0;
  TimePoint m_OriginPausedUntil;
  TimePoint m_OriginFetchedAt;
  std::uint32_t m_OriginFetches = 0;
  TimePoint m_StartedAt;
  /// When a piece last arrived here, or became known in the data centre.
  TimePoint m_NewsAt;
  std::optional<TimePoint> m_OwnShareAt;
};

/// When an agent has its runner load a new version.
///
/// A load takes a runner out for as long as its running requests need to end. Runners with work are
/// therefore converted one after the other, spread over the time until requests may no longer begin
/// on the old version; a runner that serves nothing loads at once.
class ConversionSchedule {
public:
  /// The last order is given this long before the bound. Entry instances send nothing to runners
  /// with the old version from about then on, so a later order would only leave its runner idle.
  static constexpr Duration LastOrderMargin = std::chrono::milliseconds(1300);

  /// A fallback is loaded in the last time before the bound, because the version that is wanted may
  /// still come. The loads of all runners are spread over this time.
  static constexpr Duration FallbackSpan = std::chrono::milliseconds(2500);

  /// Loads after the bound are spread over this time as long as their runners have work: entry
  /// instances that saw an outage of the platform's store count the bound anew, and go on to use
  /// the old version. A runner that works would drain first in any case.
  static constexpr Duration LateSpan = std::chrono::milliseconds(2500);

  /// A version that is complete before the bound is ordered this long before it at the latest. A
  /// runner with an order begins no request on the old version, and until then it goes on to begin
  /// those that wait there. The read-back before the order takes up to about 300 ms.
  static constexpr Duration OrderLead = std::chrono::milliseconds(500);

  /// The time at which the agent of rank `Rank` of `Count` orders the load, given when the pieces
  /// were complete here and the time after which the version that is served is of no use.
  static TimePoint orderAt(TimePoint Complete, TimePoint Bound, std::size_t Rank, std::size_t Count,
                           bool IsIdle);
  /// The same for a version that is loaded only because a newer one is late.
  static TimePoint fallbackAt(TimePoint Complete, TimePoint Bound, std::size_t Rank,
                              std::size_t Count) {
    return orderAt(std::max(Complete, Bound - LastOrderMargin - FallbackSpan), Bound, Rank, Count,
                   true);
  }
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_PIECEEXCHANGE_H
