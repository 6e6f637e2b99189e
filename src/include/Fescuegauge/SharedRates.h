#ifndef FESCUEGAUGE_SHAREDRATES_H
#define FESCUEGAUGE_SHAREDRATES_H

#include "Fescuegauge/ColdUpstreams.h"
#include "Fescuegauge/PartPacers.h"
#include "Fescuegauge/RateDivision.h"
#include "Fescuegauge/RateStatements.h"

#include <optional>
#include <vector>

namespace fescuegauge {

/// The permits that a request holds for one upstream, by the limit that requires them.
struct HeldPermits {
  /// For the rate that the upstream names.
  bool m_ForNamedRate = false;
  /// For the rate of a cold upstream.
  bool m_ForColdRate = false;

  bool any() const { return m_ForNamedRate || m_ForColdRate; }
};

/// Keeps the requests that all entry instances together send to an upstream within the rate that it
/// names, and within the rate that it bears while it is cold.
///
/// Each instance paces its requests by its part of the rate; see RateDivision. A permit is taken
/// for each request, including retries and resumed streams, and returned if the request was not
/// sent.
///
/// The bound on cold upstreams holds for each single second, and also for instances that are cut
/// off from each other or were frozen. Their parts therefore allow no burst, and an instance has
/// none while its list of the others is outdated.
class SharedRates {
public:
  /// A request may be sent ahead of its due time by this and one interval of the whole rate, so
  /// that uneven arrivals can use the part. All instances together may thereby make up for one
  /// request and one second of the rate that were left unused.
  static constexpr Duration BurstTolerance = std::chrono::seconds(1);
  /// Minimum rate for an upstream that names a lower one, or 0. Requests are needed because only
  /// answers show that the upstream accepts more again.
  static constexpr RequestRate ProbeRate{0.2};
  /// An instance has no part of the rate of a cold upstream if its list of instances is older than
  /// this, and for SettleTime after that. The list is set twice a second; an older one shows that
  /// this process stood still, and that others may have taken its part meanwhile.
  static constexpr Duration MaxListAge = std::chrono::milliseconds(1500);
  static constexpr Duration SettleTime = std::chrono::seconds(1);

  explicit SharedRates(std::optional<ColdBounds> Bounds = std::nullopt) : m_Cold(Bounds) {}

  /// Handles the rate in an answer or in a message of another instance; see RateStatements.
  RateStatements::RateChange onAnswer(const UpstreamStart &Upstream,
                                      std::optional<RequestRate> Named, TimePoint SentAt,
                                      TimePoint Now);
  RateStatements::RateChange onPeerUpdate(const RateStatement &Reported, TimePoint Now);
  /// Sets the instances that divide the rates among them, as known at `Now`. Without a time, this
  /// instance has no part of the rates of cold upstreams.
  void setInstances(KnownInstance Self, std::vector<KnownInstance> Others,
                    std::optional<TimePoint> Now = std::nullopt);
  /// Releases all parts to the other instances, because this instance is stopping.
  void releaseParts();

  /// When the next request may be sent to an upstream in this data centre: a time not after `Now`
  /// if it may be sent now, and TimePoint::max() if this instance has no part of its rate. No limit
  /// of a cold upstream applies after the end of that state.
  TimePoint nextPermit(const UpstreamStart &Upstream, const DataCentreId &DataCentre,
                       TimePoint Now);
  enum class Permit { NotNeeded, Taken, Refused };
  /// Takes the permits that a request needs and does not hold yet. Takes none if one is refused.
  Permit takePermit(const UpstreamStart &Upstream, const DataCentreId &DataCentre,
                    HeldPermits &Held, TimePoint Now);
  Permit takePermit(const UpstreamStart &Upstream, const DataCentreId &DataCentre, TimePoint Now) {
    HeldPermits Held;
    return takePermit(Upstream, DataCentre, Held, Now);
  }
  /// A request that holds permits is about to be sent.
  void onSending(const UpstreamStart &Upstream, const HeldPermits &Held, TimePoint Now);
  /// Returns the permits of a request that was not sent.
  void returnPermit(const UpstreamStart &Upstream, HeldPermits Held = {true, true});

  ColdUpstreams &cold() { return m_Cold; }
  const ColdUpstreams &cold() const { return m_Cold; }
  const RateStatements &statements() const { return m_Statements; }
  /// The part that this instance has of the rate that an upstream names; 0 if it has none or none
  /// is named.
  RequestRate partAt(const UpstreamStart &Upstream) const;
  /// The same of the rate of a cold upstream.
  RequestRate coldPartAt(const UpstreamStart &Upstream) const;

private:
  void invalidateParts();
  /// Null if the upstream names no rate.
  PartPacer *namedPacer(const UpstreamStart &Upstream, const DataCentreId &DataCentre,
                        TimePoint Now);
  /// Null if the upstream is not cold.
  PartPacer *coldPacer(const UpstreamStart &Upstream, const DataCentreId &DataCentre,
                       TimePoint Now);
  TimePoint nextColdPermit(const PartPacer &Cold, TimePoint Now) const {
    return isListCurrent(Now) ? Cold.nextPermit() : TimePoint::max();
  }
  bool isListCurrent(TimePoint Now) const {
    return m_ListedAt && Now - *m_ListedAt <= MaxListAge && Now >= m_SettledAt;
  }

  RateStatements m_Statements;
  ColdUpstreams m_Cold;
  RateDivision m_Division;
  PartPacers m_NamedPacers;
  PartPacers m_ColdPacers;
  std::optional<TimePoint> m_ListedAt;
  TimePoint m_SettledAt;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_SHAREDRATES_H
