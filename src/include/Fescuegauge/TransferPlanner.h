#ifndef FESCUEGAUGE_TRANSFERPLANNER_H
#define FESCUEGAUGE_TRANSFERPLANNER_H

#include "Fescuegauge/ChunkSet.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Manifest.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/Units.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace fescuegauge {

/// The operators' target `prefer` for rollouts.
enum class TransferPreference { OriginBytes, Time };

/// The parameters that depend on the preference.
struct TransferTradeOff {
  /// Sites that fetch a chunk directly from the origin in the normal case. Sites are, in this
  /// order: one data centre of the origin's region, its other data centres, one data centre of each
  /// other region.
  std::uint32_t m_OriginSites = 1;
  /// Time without progress after which the next instance in rank takes over an import, and after
  /// which an import uses the next kind of source.
  Duration m_ProgressTimeout = std::chrono::seconds(30);

  static TransferTradeOff of(TransferPreference Preference);
};

/// Rates available to transfers, after the bandwidth used by live requests.
struct LinkBudget {
  static constexpr BytesPerSecond MinRate{16e3};

  /// This instance's link, each direction.
  BytesPerSecond m_Instance{4e6};
  /// The link from any other region to this one, for all instances together.
  BytesPerSecond m_Region{2e6};
  /// The origin's link, for all instances together.
  BytesPerSecond m_Origin{8e6};
};

/// The chunks of one version that an agent holds, as sent to its neighbours.
///
/// The sender keeps a log of the chunks it holds, in the order in which it received them. A summary
/// carries the part of the log that was not yet sent to the receiver. When the log is rebuilt, the
/// epoch is incremented and the log is sent from its beginning, as a bitmap if that is shorter.
struct ChunkSummary {
  /// Overhead of each control message for framing and addresses, in bytes.
  static constexpr std::uint64_t HeaderBytes = 64;

  Digest m_Root;
  std::uint32_t m_Epoch = 0;
  /// Position in the sender's log of the first index.
  std::uint32_t m_From = 0;
  std::vector<std::uint32_t> m_Indices;
  /// Chunks that the sender is importing with progress, so that others do not take over the import
  /// when the source is slow.
  std::vector<std::uint32_t> m_Importing;
  /// Asks the receiver to send its log from the beginning.
  bool m_WantsAll = false;

  /// The size on the wire for a manifest of `ChunkCount` chunks.
  Bytes encodedSize(std::size_t ChunkCount) const;
};

/// Limits the rate of transfers by delaying their start.
class RateLimiter {
public:
  /// Whether a transfer may start. `Ahead` is the time for which the link may be reserved already.
  bool allows(TimePoint Now, Duration Ahead) const { return m_Next <= Now + Ahead; }
  /// Reserves the link for `Cost`. Unused time before `Now` is credited up to `Credit`.
  void spend(TimePoint Now, Duration Cost, Duration Credit) {
    m_Next = std::max(m_Next, Now - Credit) + Cost;
  }
  /// Returns the `Cost` of a transfer that did not take place.
  void refund(Duration Cost) { m_Next -= Cost; }

private:
  TimePoint m_Next;
};

using FetchId = StrongNumber<struct FetchIdTag>;

enum class FetchSource { Peer, Origin };

/// Start to fetch one chunk. The content goes to the staging area only after onReceived() accepted
/// its digest.
struct StartFetch {
  FetchId m_Id;
  std::uint32_t m_Index = 0;
  ChunkRef m_Chunk;
  FetchSource m_Source = FetchSource::Peer;
  /// Empty when the source is the origin.
  InstanceId m_Peer;
};

/// Cancel a fetch; its result is no longer needed.
struct CancelFetch {
  FetchId m_Id;
};

/// Request permission to fetch bytes from the origin; answer with addGrant().
struct RequestGrant {
  RolloutId m_Rollout;
  Bytes m_Wanted;
  /// The minimum usable size.
  Bytes m_MinUsable;
};

struct SendSummary {
  InstanceId m_To;
  ChunkSummary m_Summary;
};

using TransferAction = std::variant<StartFetch, CancelFetch, RequestGrant, SendSummary>;

enum class FetchFailure {
  /// The peer refused because too many uploads are in progress.
  Busy,
  /// The peer no longer holds the chunk.
  NotHeld,
  /// The source could not be reached or answered with an error before it sent any content. Bytes
  /// granted for the fetch may be used again.
  NotStarted,
  /// The transfer was interrupted. Bytes granted for the fetch count as spent.
  Broken,
};

enum class UploadAnswer { Accept, Busy, NotHeld };

/// One version to transfer.
struct TransferOrder {
  Manifest m_Manifest;
  ChangeNumber m_Change;
  RolloutId m_Rollout;
  TransferPreference m_Preference = TransferPreference::OriginBytes;
};

/// The transfer policy of one agent: which chunk to fetch next, from which source, and when to
/// request origin bytes.
///
/// The chunks of a version form Lanes lanes (index modulo Lanes). For each lane, rendezvous hashing
/// of root digest and lane over the live agents of a data centre ranks the importers of that data
/// centre; the first one imports the lane's chunks in order, and the next one takes over after
/// m_ProgressTimeout without progress. Rendezvous hashing over data centres selects the one that
/// imports for its region. A region link therefore carries at most Lanes rate-limited flows that
/// together use LinkBudget::m_Region. Within a data centre each agent exchanges summaries with a
/// bounded number of neighbours, on a ring with geometrically growing offsets, and fetches the
/// rarest chunk that a neighbour holds.
///
/// Memory is bounded: at most MaxFetches chunks and MaxBytesInFlight bytes are in flight, and state
/// is kept for at most MaxNeighbours peers.
class TransferPlanner {
public:
  static constexpr std::size_t Lanes = 4;
  /// Maximum number of fetches in flight: in total, and from the own data centre.
  static constexpr std::size_t MaxFetches = 6;
  static constexpr std::size_t MaxLocalFetches = 4;
  static constexpr std::size_t MaxImportsPerLane = 2;
  /// A single fetch is always allowed, so a chunk may be as large as Manifest::MaxChunkSize.
  static constexpr Bytes MaxBytesInFlight = 64_MiB;
  /// Maximum number of concurrent uploads to the own data centre; further requests are answered
  /// Busy.
  static constexpr std::size_t MaxUploads = 4;
  /// The same for other data centres. They are counted separately, because uploads over a region
  /// link are slow and would otherwise occupy all slots.
  static constexpr std::size_t MaxImportUploads = 8;
  static constexpr std::size_t MaxFetchesPerPeer = 2;
  /// A peer that was refused within this time has priority over peers that were served more often.
  static constexpr Duration RefusalPriorityTime = std::chrono::seconds(2);
  /// Number of offsets on the ring of a data centre; each offset gives a neighbour on both sides.
  static constexpr std::size_t RingOffsets = 5;
  static constexpr std::size_t MaxNeighbours = 64;
  /// Number of importers of a lane in each data centre that exchange summaries with those of the
  /// other data centres.
  static constexpr std::size_t RemoteNeighbourRanks = 2;
  /// Minimum time between two summaries to one neighbour.
  static constexpr Duration SummaryInterval = std::chrono::seconds(1);
  /// Maximum time between two summaries to one neighbour, so that a lost one is detected.
  static constexpr Duration SummaryRefresh = std::chrono::seconds(10);
  /// Maximum time for which an importer waits for the first summaries of its neighbours, so that a
  /// new instance does not import chunks that its data centre already holds.
  static constexpr Duration MaxInitialSummaryWait = std::chrono::seconds(4);
  /// Time for which a peer that delivered a corrupted chunk is not used.
  static constexpr Duration CorruptPeerBackoff = std::chrono::seconds(60);
  /// Time for which a peer is not used after a transfer failed or timed out; doubled for each
  /// consecutive failure, up to CorruptPeerBackoff.
  static constexpr Duration FailedPeerBackoff = std::chrono::seconds(2);
  /// Time for which a busy peer is not used: the time in which it serves BusyPeerBackoffChunks
  /// chunks at the rate of the link, between MinBusyPeerBackoff and MaxBusyPeerBackoff. With 1.5 s
  /// regardless of the rate, 64 MiB took 31 s on loopback.
  static constexpr Duration MaxBusyPeerBackoff = std::chrono::milliseconds(1500);
  static constexpr Duration MinBusyPeerBackoff = std::chrono::milliseconds(40);
  static constexpr int BusyPeerBackoffChunks = 8;
  /// Unused time that the rate limit of a link credits; two intervals of poll().
  static constexpr Duration MaxRateCredit = std::chrono::seconds(1);
  /// Time-out of a transfer: this multiple of its duration at the rate of the link budget, plus
  /// MinFetchTime.
  static constexpr int FetchTimeFactor = 4;
  static constexpr Duration MinFetchTime = std::chrono::seconds(8);
  static constexpr Duration ProgressInterval = std::chrono::seconds(2);
  /// After a time-out, the time-out of the next import of the lane is doubled, up to this factor,
  /// so that imports over a slow origin or region link still make progress.
  static constexpr int MaxTimeoutFactor = 64;
  /// The progress time-out is at least this many times the time between two chunks of a lane.
  static constexpr int ProgressTimeoutChunks = 3;
  /// Initial and maximum back-off after a failed fetch from the origin.
  static constexpr Duration OriginRetryMin = std::chrono::seconds(1);
  static constexpr Duration OriginRetryMax = std::chrono::seconds(16);
  static constexpr Duration GrantRetryInterval = std::chrono::seconds(5);

  /// All rules are enabled in production. Tests disable single rules and check that it is detected.
  struct Rules {
    bool m_VerifyChunks = true;
    bool m_SpendGrants = true;
    bool m_IgnoreOlderChange = true;
    bool m_CancelOldTransfer = true;
    bool m_AvoidBadPeers = true;
    bool m_TakeOver = true;
    bool m_TimeOut = true;
    bool m_AwaitSummaries = true;
    bool m_LimitImportRate = true;
    bool m_RemoveCorruptHolder = true;
    bool m_ExtendSlowImports = true;
    bool m_SaveScarceBudget = true;
  };

  struct Counters {
    std::uint64_t m_OriginFetches = 0;
    std::uint64_t m_RegionFetches = 0;
    std::uint64_t m_BadChunks = 0;
    std::uint64_t m_TimedOut = 0;
    std::uint64_t m_BusyAnswers = 0;
  };

  /// `Self` holds the own instance, data centre, region and service. `OriginRegion` is the region
  /// whose instances reach the origin without using a region link; empty if there is none.
  TransferPlanner(InstanceRecord Self, RegionId OriginRegion, std::uint64_t Seed, Rules Enabled);
  TransferPlanner(InstanceRecord Self, RegionId OriginRegion, std::uint64_t Seed)
      : TransferPlanner(std::move(Self), std::move(OriginRegion), Seed, Rules()) {}

  /// Transfers `Order` from now on, with `Held` as the content of the staging area. Stops the
  /// transfer of an earlier version at once. Returns false and changes nothing if a newer change is
  /// known. The same order again only replaces the content of the staging area.
  bool setOrder(const TransferOrder &Order, const std::unordered_set<Digest> &Held, TimePoint Now);
  /// Replaces the membership view. Only agents of the own service in state Joining or Live are
  /// used.
  void setView(std::span<const InstanceRecord> View, TimePoint Now);
  /// Sets the link rates. Rates below LinkBudget::MinRate are raised to it, so that a rollout never
  /// stops entirely.
  void setLinkBudget(const LinkBudget &Budget);

  /// A summary arrived from `From`.
  void onSummary(const InstanceId &From, const ChunkSummary &Summary, TimePoint Now);
  /// All bytes of a fetch arrived and hash to `Received`. True if the chunk may be written to the
  /// staging area; call onStaged() after that.
  bool onReceived(FetchId Id, const Digest &Received, TimePoint Now);
  /// A chunk that onReceived() accepted was written, or could not be written.
  void onStaged(const Digest &Chunk, bool Written, TimePoint Now);
  /// More bytes of a fetch arrived; to be called at least every ProgressInterval. The time-out of
  /// an import is extended as long as it makes progress, because its bytes were granted or have
  /// crossed a region link. The time-out of a transfer inside the data centre is not extended.
  void onProgress(FetchId Id, TimePoint Now);
  void onFetchFailed(FetchId Id, FetchFailure Failure, TimePoint Now);
  /// Adds bytes that may be fetched from the origin for `Rollout`. 0 completes an unsuccessful
  /// request.
  void addGrant(const RolloutId &Rollout, Bytes Granted, TimePoint Now);
  /// Whether little of the origin budget is left. Only one data centre then fetches directly from
  /// the origin, whatever the preference.
  void setOriginScarce(bool Scarce) { m_OriginScarce = Scarce; }
  /// A chunk is no longer in the staging area.
  void dropChunk(const Digest &Chunk, TimePoint Now);

  /// Whether `Requester` may fetch a chunk from this agent. Each accepted upload must be ended by
  /// endUpload() for the same requester.
  UploadAnswer admitUpload(const InstanceId &Requester, const Digest &Chunk, TimePoint Now);
  void endUpload(const InstanceId &Requester);

  /// Returns the actions that are due. Must be called after events and at least twice a second.
  std::vector<TransferAction> poll(TimePoint Now);

  bool hasOrder() const { return m_Order.has_value(); }
  /// True when every chunk of the order is in the staging area.
  bool isComplete() const { return m_Order && m_MissingCount == 0; }
  std::size_t missingCount() const { return m_MissingCount; }
  std::size_t chunkCount() const { return m_Order ? m_Order->m_Manifest.chunks().size() : 0; }
  const Digest &root() const;
  ChangeNumber change() const { return m_Order ? m_Order->m_Change : ChangeNumber(); }
  std::size_t fetchesInFlight() const { return m_Fetches.size(); }
  std::size_t neighbourCount() const { return m_Peers.size(); }
  const Counters &counters() const { return m_Counters; }

private:
  struct Peer {
    bool m_SameDataCentre = false;
    bool m_SameRegion = false;
    ChunkSet m_Held;
    /// Position up to which the peer's log was received, and the epoch of that log.
    std::uint32_t m_ReceivedPosition = 0;
    std::uint32_t m_ReceivedEpoch = 0;
    bool m_HasSummary = false;
    bool m_NeedsFullLog = true;
    /// Position up to which the own log was sent.
    std::uint32_t m_SentPosition = 0;
    bool m_HasSentSummary = false;
    TimePoint m_LastSentAt;
    TimePoint m_BackoffUntil;
    int m_FailuresInRow = 0;
    std::size_t m_FetchCount = 0;
    /// Number of uploads to the peer since the order, and when it was last refused one.
    std::uint32_t m_UploadCount = 0;
    std::optional<TimePoint> m_RefusedAt;
  };

  struct Fetch {
    std::uint32_t m_Index = 0;
    Bytes m_Size;
    /// From the origin or from another data centre.
    bool m_Import = false;
    FetchSource m_Source = FetchSource::Peer;
    InstanceId m_Peer;
    TimePoint m_Deadline;
    std::optional<TimePoint> m_ProgressAt;
    /// Time reserved on the own link and on the region link.
    Duration m_LinkCost{};
    Duration m_RegionCost{};
  };

  /// State of a lane. Ranks count from 0.
  struct Lane {
    std::size_t m_OwnRank = 0;
    /// Position of the own data centre among the sites of the lane.
    std::size_t m_Site = 0;
    /// True if the own data centre imports for its region.
    bool m_ImportsForRegion = false;
    /// The first importers of the own data centre, in order of rank.
    std::vector<InstanceId> m_Importers;
    TimePoint m_LastProgressAt;
    bool m_HasPendingImports = false;
    std::size_t m_ImportsInFlight = 0;
    RateLimiter m_RegionRateLimiter;
    TimePoint m_NextOriginFetchAt;
    Duration m_OriginBackoff{};
    int m_TimeoutFactor = 1;
  };

  struct Member {
    InstanceId m_Id;
    DataCentreId m_DataCentre;
    RegionId m_Region;
  };

  void rebuildNeighbours(TimePoint Now);
  void rebuildLog();
  void clearPeerChunks(Peer &Neighbour);
  void addPeerChunk(Peer &Neighbour, std::uint32_t Index);
  void backOffPeer(Peer &Neighbour, Duration Base, TimePoint Now);
  std::optional<Fetch> removeFetch(FetchId Id);
  void backOffSource(const Fetch &Failed, Duration Base, TimePoint Now);
  void removeHolder(const Fetch &Failed);
  void refundRateLimits(const Fetch &Failed);
  void backOffOrigin(const Fetch &Failed, TimePoint Now);
  void cancelAll();
  void resetHeld(const std::unordered_set<Digest> &Held);
  void expireFetches(TimePoint Now, std::vector<TransferAction> &Actions);
  void planImports(TimePoint Now, std::vector<TransferAction> &Actions);
  void planImport(std::size_t LaneIndex, TimePoint Now, std::vector<TransferAction> &Actions);
  void planPeerFetches(TimePoint Now, std::vector<TransferAction> &Actions);
  void planSummaries(TimePoint Now, std::vector<TransferAction> &Actions);
  Duration busyBackoff(Bytes Size) const;
  bool hasRoom(Bytes Size) const;
  bool hasInitialSummaries(TimePoint Now) const;
  void updateProgressTimeout();
  /// The usable neighbour with the fewest fetches in progress that holds the chunk; empty if none.
  InstanceId chooseHolder(std::uint32_t Index, bool SameDataCentre, bool OtherRegions,
                          TimePoint Now);
  void startFetch(std::uint32_t Index, FetchSource Source, const InstanceId &From, TimePoint Now,
                  std::vector<TransferAction> &Actions);
  bool crossesRegion(FetchSource Source, const InstanceId &From) const;
  bool isUsable(const Peer &Neighbour, TimePoint Now) const;
  /// The rate of the region link available to one lane. The share of lanes without remaining
  /// imports is divided among the others.
  BytesPerSecond regionLaneRate() const;

  InstanceRecord m_Self;
  RegionId m_OriginRegion;
  RandomGenerator m_Random;
  Rules m_Rules;
  LinkBudget m_Links;
  TransferTradeOff m_TradeOff;
  Duration m_ProgressTimeout{};
  std::vector<Member> m_Members;
  std::optional<TransferOrder> m_Order;
  TimePoint m_OrderedAt;
  /// The index of the first occurrence of each chunk. Later occurrences are never fetched, sent or
  /// announced.
  std::unordered_map<Digest, std::uint32_t> m_IndexOf;
  /// Chunks of the order that are in the staging area, those that are not, and those of the latter
  /// that are not in flight.
  ChunkSet m_StagedChunks;
  ChunkSet m_Missing;
  ChunkSet m_Wanted;
  std::size_t m_MissingCount = 0;
  std::vector<std::uint32_t> m_Log;
  std::uint32_t m_Epoch = 0;
  std::map<InstanceId, Peer> m_Peers;
  /// For each chunk, the number of neighbours of the own data centre that hold it.
  std::vector<std::uint16_t> m_LocalHolders;
  std::array<Lane, Lanes> m_Lanes;
  std::size_t m_ActiveLanes = Lanes;
  RateLimiter m_DownloadRateLimiter;
  RateLimiter m_UploadRateLimiter;
  std::map<FetchId, Fetch> m_Fetches;
  /// Chunks accepted by onReceived() and not yet reported by onStaged().
  ChunkSet m_BeingStaged;
  std::vector<FetchId> m_CancelledFetches;
  std::uint64_t m_NextFetch = 0;
  Bytes m_BytesInFlight;
  /// Uploads in progress to other data centres by requester, and the totals for the own data centre
  /// and for others.
  std::map<InstanceId, std::size_t> m_ImportUploadsOf;
  std::size_t m_LocalUploads = 0;
  std::size_t m_ImportUploads = 0;
  RolloutId m_GrantRollout;
  Bytes m_Granted;
  bool m_IsGrantRequested = false;
  bool m_OriginScarce = false;
  TimePoint m_NextGrantRequestAt;
  Counters m_Counters;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_TRANSFERPLANNER_H
