#ifndef FESCUEGAUGE_ROUTER_H
#define FESCUEGAUGE_ROUTER_H

#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/LoadReport.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/Request.h"

#include <memory>
#include <optional>
#include <string>

namespace fescuegauge {

/// Properties of a service that affect routing, from the deployment's settings.
struct ServiceRouting {
  /// False for a plain service, which has no model and reports no digest. An upstream of a service
  /// with a model gets no requests before it reports its served digest.
  bool m_ServesModel = true;
  /// Tokens in one block of RequestDescription::m_PrefixBlocks.
  std::uint32_t m_TokensPerBlock = 64;
  /// Prefill time for one uncached prompt token.
  Duration m_PrefillPerToken{40};
  /// Size of the KV cache for one token, to estimate transfers of prefixes between upstreams.
  Bytes m_KvPerToken{64 << 10};
  /// Rate of a KV cache transfer within a region.
  BytesPerSecond m_KvTransferRate{1.25e9};
};

/// Rules that a test can disable to show that it detects their absence. All are enabled in
/// production.
struct RouterRules {
  bool m_RefuseLeaving = true;
  bool m_CompareIncarnations = true;
  bool m_RequireServedDigest = true;
  bool m_CorrectReportsByOwnCounts = true;
  bool m_BoundAffinityLoad = true;
  bool m_BudgetSpill = true;
  bool m_RampUp = true;
  bool m_MatchGeneration = true;
  bool m_MatchDigest = true;
  bool m_ReleaseOnce = true;
  bool m_AvoidSilent = true;
  bool m_DiscountAfterGap = true;
};

struct RouterOptions {
  DataCentreId m_DataCentre;
  RegionId m_Region;
  /// Bandwidth of the region link that this entry instance may use for requests to other regions,
  /// in each direction. The default is half of a link of 20 Mbit/s, divided among eight entry
  /// instances.
  BytesPerSecond m_SpillRate{2.5e6 / 2 / 8};
  /// Maximum amount of unused budget that is kept.
  Bytes m_SpillBurst{256_KiB};
  /// Estimated sizes in a forwarded request: one prompt or answer token, and the fixed part.
  Bytes m_BytesPerToken{8};
  Bytes m_BytesPerRequest{2_KiB};
  /// Time after which a joining or reloaded upstream gets its full share of new requests.
  Duration m_RampUp = std::chrono::seconds(10);
  /// An upstream that has not reported for this long after an earlier report is selected only as a
  /// last resort.
  Duration m_SilentAfter = std::chrono::seconds(2);
  /// An upstream that lost an attempt is selected only as a last resort for this long. The time is
  /// doubled with each consecutive loss, up to eight times this value.
  Duration m_AvoidAfterLoss = std::chrono::seconds(1);
  /// An upstream is not preferred for its cache if its occupancy exceeds this multiple of the mean
  /// occupancy in its data centre.
  double m_AffinityLoadBound = 1.25;
  /// Other data centres are considered if the best local candidate has at least this multiple of
  /// its capacity in use.
  double m_SpillAbove = 1.1;
  RouterRules m_Rules;
};

/// A transfer of KV cache blocks between two upstreams, to be made before the request is sent.
struct KvTransfer {
  InstanceId m_From;
  InstanceId m_To;
  /// Number of leading blocks of RequestDescription::m_PrefixBlocks to transfer.
  std::size_t m_Blocks = 0;
  Bytes m_Size;
  /// Estimated time that the transfer saves compared to computing the prefix again.
  Duration m_Saving{0};
};

/// Event counts since construction, for metrics.
struct RouterCounters {
  std::uint64_t m_Selections = 0;
  std::uint64_t m_NoUpstream = 0;
  std::uint64_t m_LocalSelections = 0;
  std::uint64_t m_SpilledToDataCentre = 0;
  std::uint64_t m_SpilledToRegion = 0;
  std::uint64_t m_SpillRefused = 0;
  std::uint64_t m_StickySelections = 0;
  std::uint64_t m_LastResortSelections = 0;
  std::uint64_t m_StaleRecords = 0;
  std::uint64_t m_CacheEventGaps = 0;
  std::uint64_t m_UnknownReleases = 0;
  std::uint64_t m_ConversationsDropped = 0;
  std::uint64_t m_UpstreamsRefused = 0;
};

/// Selects upstreams by the in-flight counts of this entry instance and by delayed load reports and
/// cache events.
///
/// The cost of a selection does not depend on the number of upstreams. A fixed number of candidates
/// is compared: random ones, those that hold the request's prefix, the positions of the prefix on a
/// consistent-hash ring, and the last upstream of the conversation. All upstreams are scanned only
/// if no candidate meets the conditions or the best one is a last resort.
///
/// Upstreams of other data centres of the region, and then of other regions, are considered if the
/// local ones are full or absent. Requests to other regions are limited by a byte budget.
///
/// Memory is bounded by MaxUpstreams, MaxConversations and, for each upstream,
/// MaxBlocksPerUpstream. Beyond these limits, new upstreams are refused and counted, and the least
/// recently used conversations and the oldest blocks are evicted.
class Router final : public UpstreamSelector {
public:
  static constexpr std::size_t MaxUpstreams = 4096;
  static constexpr std::size_t MaxConversations = 16384;
  static constexpr std::size_t MaxBlocksPerUpstream = 2048;
  /// How long the incarnation of a departed upstream is kept, so that a stale list cannot bring the
  /// upstream back.
  static constexpr Duration TombstoneLifetime = std::chrono::minutes(30);

  Router(RouterOptions Options, std::uint64_t Seed);
  ~Router() override;

  void setService(const ServiceId &Service, const ServiceRouting &Routing);
  /// Changes the rate of the budget for other regions, for example when the number of entry
  /// instances changes.
  void setSpillRate(BytesPerSecond Rate);

  /// Applies the record of an upstream from the membership view or the platform's list. A record of
  /// an older incarnation is ignored; one of the same incarnation never reverts Leaving or Dead.
  void onInstance(const InstanceRecord &Record, TimePoint Now);
  /// Applies the announcement of the upstream's agent that the upstream leaves. It gets no new
  /// requests from now on.
  void onLeaving(const InstanceId &Upstream, Incarnation Number, TimePoint Now);
  void onLoadReport(const LoadReport &Report, TimePoint Now);
  void onCacheEvent(const CacheEvent &Event, TimePoint Now);

  std::optional<InstanceId> select(const UpstreamQuery &Query, TimePoint Now) override;
  void release(const InstanceId &Upstream, const RequestDescription &Request, bool Lost,
               TimePoint Now) override;

  /// Returns the KV cache transfer for the request's prefix that should be made to `Chosen` first,
  /// or nothing if computing the prefix again is estimated to be about as fast. Never proposes a
  /// transfer between regions.
  std::optional<KvTransfer> planKvTransfer(const RequestDescription &Request,
                                           const InstanceId &Chosen, TimePoint Now) const;

  /// Returns the load of the service's upstreams. The cost is linear in the number of upstreams, so
  /// this should be called on a timer and not for each request.
  ServiceLoad load(const ServiceId &Service, TimePoint Now) const;

  std::uint32_t inFlight(const InstanceId &Upstream) const;
  const RouterCounters &counters() const;
  /// Returns one line for each upstream, for a state dump.
  std::string describe(TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ROUTER_H
