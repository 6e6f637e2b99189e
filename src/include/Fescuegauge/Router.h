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

/// Properties of a service that routing depends on. Set from the deployment's settings.
struct ServiceRouting {
  /// False for a plain service, which has no model and reports no digest. An upstream of a service
  /// with a model gets no work before it reports the digest that it serves.
  bool m_ServesModel = true;
  /// Tokens in one block of RequestDescription::m_PrefixBlocks.
  std::uint32_t m_TokensPerBlock = 64;
  /// Time to compute one token of a prompt that is not cached.
  Duration m_PrefillPerToken{40};
  /// Size of the cached state of one token, for moves of prefixes between upstreams.
  Bytes m_KvPerToken{64 << 10};
  /// Rate of such a move within a region.
  BytesPerSecond m_KvMoveRate{1.25e9};
};

/// The rules of the router that a test can switch off to show that it detects their absence. All
/// are on in production.
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
  /// Share of the region link that this entry instance may use for requests sent to other regions,
  /// in each direction. The default is 20 Mbit/s, half for requests, over eight entry instances.
  BytesPerSecond m_SpillRate{2.5e6 / 2 / 8};
  /// Largest amount of unused budget that is kept.
  Bytes m_SpillBurst{256_KiB};
  /// Estimated bytes of one token, prompt or answer, in a forwarded request, and of its envelope.
  Bytes m_BytesPerToken{8};
  Bytes m_BytesPerRequest{2_KiB};
  /// A joining or reloaded upstream reaches its full share of new work after this time.
  Duration m_RampUp = std::chrono::seconds(10);
  /// An upstream that reported before and is now silent for this long is a last resort.
  Duration m_SilentAfter = std::chrono::seconds(2);
  /// An upstream that lost an attempt is a last resort for this long; doubled with each further
  /// loss, at most eight times this.
  Duration m_AvoidAfterLoss = std::chrono::seconds(1);
  /// An upstream is not preferred for its cache when it holds more than this many times the mean
  /// occupancy of its data centre.
  double m_AffinityLoadBound = 1.25;
  /// The local data centre is left when its best candidate holds more than this many times its
  /// capacity.
  double m_SpillAbove = 1.1;
  RouterRules m_Rules;
};

/// An order to copy cached state between two upstreams before the request is sent.
struct KvMove {
  InstanceId m_From;
  InstanceId m_To;
  /// The leading blocks of RequestDescription::m_PrefixBlocks to move.
  std::size_t m_Blocks = 0;
  Bytes m_Size;
  /// Estimated time saved over computing the prefix again.
  Duration m_Saving{0};
};

/// Counters since construction, for metrics.
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

/// Chooses upstreams from this entry instance's own counts, late load reports and late cache
/// events.
///
/// The cost of a choice does not depend on the number of upstreams: it compares a fixed number of
/// candidates (random ones, holders of the request's prefix, the prefix's place on a hash ring and
/// the conversation's last upstream). All upstreams are looked at only when no candidate qualifies.
///
/// Upstreams of other data centres of the region, then of other regions, are considered when the
/// local ones are full or absent; requests to other regions are limited by a byte budget.
///
/// Bounds: MaxUpstreams upstreams, MaxConversations remembered conversations, MaxBlocksPerUpstream
/// remembered prefix blocks each. Beyond them, new upstreams are refused and counted, and the
/// oldest conversations and blocks are forgotten.
class Router final : public UpstreamSelector {
public:
  static constexpr std::size_t MaxUpstreams = 4096;
  static constexpr std::size_t MaxConversations = 16384;
  static constexpr std::size_t MaxBlocksPerUpstream = 2048;
  /// How long a dead upstream's incarnation is remembered, so that a stale list cannot revive it.
  static constexpr Duration TombstoneLifetime = std::chrono::minutes(30);

  Router(RouterOptions Options, std::uint64_t Seed);
  ~Router() override;

  void setService(const ServiceId &Service, const ServiceRouting &Routing);
  /// Changes the budget for other regions, for example when the number of entry instances changes.
  void setSpillRate(BytesPerSecond Rate);

  /// Takes a record of an upstream from the membership view or the platform's list. A record with
  /// an older incarnation is dropped; one with the same incarnation never undoes Leaving or Dead.
  void onInstance(const InstanceRecord &Record, TimePoint Now);
  /// The upstream's agent announced that it leaves. It gets no new work from now on.
  void onLeaving(const InstanceId &Upstream, Incarnation Number, TimePoint Now);
  void onLoadReport(const LoadReport &Report, TimePoint Now);
  void onCacheEvent(const CacheEvent &Event, TimePoint Now);

  std::optional<InstanceId> select(const UpstreamQuery &Query, TimePoint Now) override;
  void release(const InstanceId &Upstream, const RequestDescription &Request, bool Lost,
               TimePoint Now) override;

  /// Whether cached state of the request's prefix should be copied to `Chosen` first. Nothing when
  /// computing it again is estimated to be about as fast. Never proposes a move between regions.
  std::optional<KvMove> planKvMove(const RequestDescription &Request, const InstanceId &Chosen,
                                   TimePoint Now) const;

  /// The load of the service's upstreams. The cost grows with their number, so it is for timers.
  ServiceLoad load(const ServiceId &Service, TimePoint Now) const;

  std::uint32_t inFlight(const InstanceId &Upstream) const;
  const RouterCounters &counters() const;
  /// One line for each upstream, for a state dump.
  std::string describe(TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ROUTER_H
