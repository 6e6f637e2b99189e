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
};

/// Decides which piece of a version an agent fetches next, and from where.
///
/// Made for versions that are transferred in seconds, where TransferPlanner's settling time and its
/// interval of summaries would be longer than the transfer. The agents of a data centre take turns
/// as importers of pieces: from the origin if their region is the origin's, else from the agents of
/// another region. For each piece the regions form a chain that begins with the origin's, so that
/// no region serves more than one other. Within a data centre, agents fetch any
/// piece from any agent that is known to hold it, those that few hold first. So a piece leaves the
/// origin once and crosses each region link once in normal times, and all links of a data centre
/// are used. Without progress for StallTime, any agent and the origin may be asked for any piece;
/// an allowance keeps what all agents together take from the origin below four copies.
class PieceExchange {
public:
  /// Copies that the agents may fetch from the origin beyond the first one, all together.
  static constexpr double SpareCopies = 2;
  static constexpr Duration StallTime = std::chrono::milliseconds(1000);
  /// Pieces in flight: in all, from one peer, and from the origin. The machine's link also carries
  /// the runner's requests, which wait behind what is in flight: a piece of 24 KiB takes 27 ms of
  /// 7.3 Mbit/s.
  static constexpr std::size_t MaxInFlight = 4;
  static constexpr std::uint32_t MaxFromPeer = 2;
  static constexpr std::uint32_t MaxFromOrigin = 2;
  /// Peers of the own data centre, and of others, whose holdings are followed.
  static constexpr std::size_t MaxLocalFollowed = 10;
  static constexpr std::size_t MaxRemoteFollowed = 12;
  /// A peer whose fetch failed is not asked again for this time.
  static constexpr Duration FailurePause = std::chrono::milliseconds(500);
  /// With the allowance used up, the origin is asked for one piece in this time, so that a transfer
  /// never stands still for good.
  static constexpr Duration BeyondAllowanceInterval = std::chrono::seconds(2);

  /// `Key` names the version.
  PieceExchange(std::string Key, std::uint32_t PieceCount, InstanceId Self, RegionId OriginRegion,
                std::uint64_t Seed, TimePoint Now);

  /// `Peers` contains this agent if the platform lists it.
  void setPeers(std::vector<PiecePeer> Peers);
  const std::vector<PiecePeer> &peers() const { return m_Peers; }
  /// Peers whose holdings should be known now.
  std::vector<PiecePeer> followed(TimePoint Now) const;
  void onHoldings(const InstanceId &Peer, const ChunkSet &Held) { m_Holdings[Peer] = Held; }

  /// The next fetch; nothing if none is possible now. Counts as in flight until onEnded().
  std::optional<PieceFetch> next(TimePoint Now);
  void onEnded(const PieceFetch &Fetch, PieceResult Result, TimePoint Now);
  /// A piece is held without a fetch.
  void onHeld(std::uint32_t Piece) { m_Held.insert(Piece); }

  const ChunkSet &held() const { return m_Held; }
  bool isComplete() const { return m_Held.count() == m_Count; }
  std::uint32_t originFetches() const { return m_OriginFetches; }
  std::uint32_t originAllowance() const;
  /// Whether this agent imports the piece into its data centre.
  bool isImporter(std::uint32_t Piece) const { return m_Imports.contains(Piece); }

private:
  bool isStalled(TimePoint Now) const { return Now - m_ProgressAt > StallTime; }
  bool isMissing(std::uint32_t Piece) const {
    return !m_Held.contains(Piece) && !m_InFlight.contains(Piece);
  }
  bool mayFetchFrom(const PiecePeer &Peer, std::uint32_t Piece, TimePoint Now) const;
  bool holds(const PiecePeer &Peer, std::uint32_t Piece) const;
  std::optional<std::uint32_t> originPiece(const std::vector<std::uint32_t> &Holders,
                                           TimePoint Now);
  /// For each piece, how many other agents of the data centre hold it.
  std::vector<std::uint32_t> localHolders() const;
  void computeImports();
  /// The region before the own one in the chain of a piece.
  RegionId sourceRegion(std::uint32_t Piece) const;

  std::string m_Key;
  std::uint32_t m_Count;
  InstanceId m_Self;
  RegionId m_OriginRegion;
  RandomGenerator m_Random;
  std::vector<PiecePeer> m_Peers;
  const PiecePeer *m_SelfPeer = nullptr;
  ChunkSet m_Held;
  /// Pieces that this agent imports into its data centre, and those of them that it imports into
  /// its region.
  ChunkSet m_Imports;
  ChunkSet m_RegionImports;
  /// For each piece, sourceRegion().
  std::vector<RegionId> m_SourceRegions;
  std::map<InstanceId, ChunkSet> m_Holdings;
  std::set<std::uint32_t> m_InFlight;
  std::map<InstanceId, std::uint32_t> m_FromPeer;
  std::uint32_t m_FromOrigin = 0;
  std::map<InstanceId, TimePoint> m_PausedUntil;
  TimePoint m_OriginPausedUntil;
  TimePoint m_OriginFetchedAt;
  std::uint32_t m_OriginFetches = 0;
  TimePoint m_StartedAt;
  TimePoint m_ProgressAt;
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

  /// The time at which the agent of rank `Rank` of `Count` orders the load, given when the version
  /// was announced and when its pieces were complete here.
  static TimePoint orderAt(TimePoint Announced, TimePoint Complete, Duration Deadline,
                           std::size_t Rank, std::size_t Count);
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_PIECEEXCHANGE_H
