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

/// An agent that takes part in the exchange of pieces of one model.
struct PiecePeer {
  InstanceId m_Id;
  Endpoint m_Address;
  DataCentreId m_DataCentre;
  RegionId m_Region;
  /// The runner of the agent serves the wanted version, so the agent holds every piece.
  bool m_HoldsAll = false;
};

/// One piece to fetch.
struct PieceFetch {
  std::uint32_t m_Piece = 0;
  bool m_FromOrigin = false;
  /// Empty for the origin.
  InstanceId m_Peer;
};

/// The outcome of a fetch.
enum class PieceResult {
  /// The piece arrived and matches its digest.
  Good,
  /// Bytes may have been sent, but the piece is not usable.
  Bad,
  /// The source was not reached and sent no bytes.
  NotStarted,
  /// The peer refused because its upload queue is full; it sent no bytes.
  Busy,
};

/// Selects the next piece of a version that an agent fetches, and its source.
///
/// Intended for versions that are transferred in seconds, where TransferPlanner's initial wait for
/// summaries and its summary interval would exceed the duration of the transfer.
///
/// Designed for up to hundreds of agents that learn of a version at the same time, and an origin
/// whose link carries one copy in seconds. In the origin's region a few importers share the pieces
/// round-robin, so that few transfers share the origin's link and single pieces arrive early. The
/// regions form a tree for each piece, rooted in the origin's region, and in every data centre each
/// piece has one importer, so a piece leaves the origin once and enters each region once. Within a
/// data centre, agents fetch any piece from any agent that is known to hold it, rarest first.
///
/// A late import fails over: the importers of each piece are ranked, and the next one fetches the
/// piece when the time of the previous one has expired. The time of an importer from the origin has
/// expired when no new piece appeared in the data centre for TakeoverTime, or when that time has
/// passed since the next importer's own pieces were complete; a slow origin link alone does not
/// cause it. After StallTime without progress agents may fetch from any source, for each piece a
/// growing random share of them; an allowance keeps the total taken from the origin below four
/// copies.
class PieceExchange {
public:
  /// Copies that may be fetched from the origin beyond the first one: by the importers together,
  /// and by all agents together.
  static constexpr double SpareImporterCopies = 1;
  static constexpr double SpareCopies = 1;
  /// Time without progress after which agents fetch pieces that they do not import, and the time
  /// after which the share of agents that may do so doubles.
  static constexpr Duration StallTime = std::chrono::milliseconds(1200);
  static constexpr Duration StallStep = std::chrono::milliseconds(500);
  /// Time after which the next importer in rank fetches a piece too. Over an origin link that
  /// twelve importers share, a piece takes about 0.5 s.
  static constexpr Duration TakeoverTime = std::chrono::milliseconds(500);
  /// Number of backup importers of a piece; after the last one, every agent of the data centre may
  /// import it.
  static constexpr std::uint32_t MaxBackupImporters = 3;
  /// Maximum number of importers of a data centre in the origin's region, and of concurrent fetches
  /// from the origin by all importers together.
  static constexpr std::size_t MaxOriginImporters = 12;
  static constexpr std::uint32_t OriginConcurrency = 12;
  /// Maximum number of pieces in flight: in total, from one peer, and from the origin. The link
  /// also carries the runner's requests, which queue behind the pieces in flight: a piece of 24 KiB
  /// occupies a link of 7.3 Mbit/s for 27 ms.
  static constexpr std::size_t MaxInFlight = 4;
  static constexpr std::uint32_t MaxFromPeer = 1;
  static constexpr std::uint32_t MaxFromOrigin = 2;
  /// Maximum number of peers whose holdings are followed, in the own data centre and in others.
  static constexpr std::size_t MaxLocalFollowed = 10;
  static constexpr std::size_t MaxRemoteFollowed = 12;
  /// Fan-out of the region tree: one, plus one for every AgentsPerFanOut agents per region, at most
  /// MaxRegionFanOut. Each child region costs the agents of the parent region the upload of one
  /// copy.
  static constexpr std::size_t AgentsPerFanOut = 6;
  static constexpr std::size_t MaxRegionFanOut = 3;
  /// Time for which a source is not used after a failed fetch.
  static constexpr Duration FailurePause = std::chrono::milliseconds(500);
  /// Time for which a peer is not used after it was busy.
  static constexpr Duration BusyPause = std::chrono::milliseconds(50);
  /// Interval of fetches from the origin once the allowance is used up, so that a transfer never
  /// stops permanently.
  static constexpr Duration ExhaustedAllowanceInterval = std::chrono::seconds(2);

  /// `Key` identifies the version.
  PieceExchange(std::string Key, std::uint32_t PieceCount, InstanceId Self, RegionId OriginRegion,
                std::uint64_t Seed, TimePoint Now);

  /// Replaces the list of peers, which contains this agent if the platform lists it.
  void setPeers(const std::vector<PiecePeer> &Peers);
  /// Returns one entry for each agent. An agent whose runner restarted may be listed twice for some
  /// seconds, for the old and the new incarnation of the runner; it is taken to hold all pieces
  /// only if both entries say so.
  static std::vector<PiecePeer> withoutDuplicates(const std::vector<PiecePeer> &Peers);
  const std::vector<PiecePeer> &peers() const { return m_Peers; }
  /// The peers whose holdings should currently be followed.
  std::vector<PiecePeer> followedPeers(TimePoint Now) const;
  void onHoldings(const InstanceId &Peer, const ChunkSet &Held, TimePoint Now);

  /// Returns the next fetch, which counts as in flight until onEnded(); nothing if none is
  /// possible.
  std::optional<PieceFetch> next(TimePoint Now);
  void onEnded(const PieceFetch &Fetch, PieceResult Result, TimePoint Now);
  /// Records a piece that was obtained without a fetch.
  void addHeldPiece(std::uint32_t Piece) { m_Held.insert(Piece); }

  const ChunkSet &held() const { return m_Held; }
  bool isComplete() const { return m_Held.count() == m_Count; }
  /// Number of pieces held by this agent or by a peer.
  std::size_t reachableCount() const;
  /// True when no piece was received, or seen for the first time in the data centre, for StallTime.
  bool isStalled(TimePoint Now) const { return Now - m_LastProgressAt > StallTime; }
  std::uint32_t originFetches() const { return m_OriginFetches; }
  std::uint32_t originAllowance() const;

private:
  /// State of the peer of the same index in m_Peers.
  struct PeerState {
    ChunkSet m_Held;
    std::uint32_t m_InFlight = 0;
    TimePoint m_BackoffUntil;
    bool m_IsLocal = false;
    bool m_IsSameRegion = false;
  };
  /// The import of one piece into the data centre.
  struct PieceImport {
    /// Rank of this agent among the importers, 0 for the first. Agents that are not importers come
    /// after the last one.
    std::uint32_t m_Rank = MaxBackupImporters + 1;
    /// The region from which the piece comes; empty for the origin's own region.
    RegionId m_Source;
    /// Whether this data centre imports the piece for its region.
    bool m_IsForRegion = false;
    /// When a peer of the source region was first known to hold the piece.
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
  /// Whether the transfer is stalled and this agent may therefore fetch the piece from any source.
  bool isStallFetchAllowed(std::uint32_t Piece, TimePoint Now) const;
  /// Whether the agents ranked before this one had their time to fetch the piece from the origin,
  /// or from its source region.
  bool isOriginImportDue(std::uint32_t Piece, TimePoint Now) const;
  bool isRegionImportDue(const PieceImport &Import, TimePoint Now) const;
  bool mayFetchFrom(std::size_t Peer, std::uint32_t Piece, TimePoint Now) const;
  std::optional<std::uint32_t> originPiece(TimePoint Now);
  std::uint32_t maxFromOrigin() const;
  std::uint32_t ownImportCount() const;
  void computeImports();
  ImportOrder importOrder() const;
  std::uint32_t ownRank(const ImportOrder &Order, std::uint32_t Piece) const;
  void computeFollowed();
  /// The parent of the own region in the region tree of a piece.
  RegionId sourceRegion(std::uint32_t Piece, const std::set<RegionId> &Regions) const;
  void updateHoldings(std::size_t Peer, const ChunkSet &Held, TimePoint Now);
  /// Records the time at which all pieces of which this agent is the first importer are held in the
  /// data centre.
  void updateOwnImportsComplete(TimePoint Now);

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
  bool m_IsOriginRegionEmpty = true;
  /// Indexed by piece.
  std::vector<PieceImport> m_Imports;
  std::vector<std::uint32_t> m_LocalHolders;
  /// Indices of the candidates for following, in order of preference.
  std::vector<std::size_t> m_FollowedLocal;
  std::vector<std::size_t> m_FollowedRemote;
  /// Number of leading entries of m_FollowedRemote that are in the own region or in a source
  /// region.
  std::size_t m_RemoteSourceCount = 0;
  ChunkSet m_Held;
  /// Pieces known to be held in the data centre.
  ChunkSet m_HeldLocally;
  std::set<std::uint32_t> m_InFlight;
  std::uint32_t m_FromOrigin = 0;
  TimePoint m_OriginBackoffUntil;
  TimePoint m_OriginFetchedAt;
  std::uint32_t m_OriginFetches = 0;
  TimePoint m_StartedAt;
  /// When a piece was last received, or first seen in the data centre.
  TimePoint m_LastProgressAt;
  std::optional<TimePoint> m_OwnImportsCompleteAt;
};

/// Schedules the load of a new version on the runner of an agent.
///
/// During a load a runner is unavailable for as long as its running requests need to finish. The
/// loads of runners with requests are therefore spread over the time until requests may no longer
/// begin on the old version; a runner that serves no version loads at once.
class LoadSchedule {
public:
  /// Time from the last scheduled order to the bound. From about then on entry instances send no
  /// requests to runners with the old version, so a later order would leave its runner idle.
  static constexpr Duration LastOrderMargin = std::chrono::milliseconds(1300);

  /// Loads of a fallback are spread over this time before the last scheduled order. They are not
  /// started earlier, because the wanted version may still arrive.
  static constexpr Duration FallbackLoadSpan = std::chrono::milliseconds(2500);

  /// Loads after the bound are spread over this time if their runners have requests: entry
  /// instances that saw an outage of the platform's store restart the bound and continue to use the
  /// old version. A runner with requests would drain first in any case.
  static constexpr Duration LateLoadSpan = std::chrono::milliseconds(2500);

  /// Minimum time from an order to the bound, for a version that is complete before that. A runner
  /// starts queued requests on the old version until it gets the order. The read-back before the
  /// order takes up to about 300 ms.
  static constexpr Duration MinOrderMargin = std::chrono::milliseconds(500);

  /// Returns the time at which the agent of rank `Rank` of `Count` orders the load. `Complete` is
  /// the time at which its pieces were complete; after `Bound` no request may begin on the version
  /// that the runner serves.
  static TimePoint orderAt(TimePoint Complete, TimePoint Bound, std::size_t Rank, std::size_t Count,
                           bool IsIdle);
  /// The same for a version that is loaded only because a newer one is late.
  static TimePoint fallbackOrderAt(TimePoint Complete, TimePoint Bound, std::size_t Rank,
                                   std::size_t Count) {
    return orderAt(std::max(Complete, Bound - LastOrderMargin - FallbackLoadSpan), Bound, Rank,
                   Count, true);
  }
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_PIECEEXCHANGE_H
