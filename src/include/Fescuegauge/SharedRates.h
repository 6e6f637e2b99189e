#ifndef FESCUEGAUGE_SHAREDRATES_H
#define FESCUEGAUGE_SHAREDRATES_H

#include "Fescuegauge/RateDivision.h"
#include "Fescuegauge/RateStatements.h"

#include <map>
#include <optional>
#include <vector>

namespace fescuegauge {

/// Keeps the requests that all entry instances together send to an upstream within the rate that it
/// names.
///
/// Each instance paces its requests by its part of the rate; see RateDivision. A permit is taken
/// for each request, including retries and resumed streams, and returned if the request was not
/// sent.
class SharedRates {
public:
  /// A request may be sent ahead of its due time by this and one interval of the whole rate, so
  /// that uneven arrivals can use the part. All instances together may thereby make up for one
  /// request and one second of the rate that were left unused.
  static constexpr Duration BurstTolerance = std::chrono::seconds(1);
  /// Minimum rate for an upstream that names a lower one, or 0. Requests are needed because only
  /// answers show that the upstream accepts more again.
  static constexpr RequestRate ProbeRate{0.2};

  /// Handles the rate in an answer or in a message of another instance; see RateStatements.
  RateStatements::RateChange onAnswer(const UpstreamStart &Upstream,
                                      std::optional<RequestRate> Named, TimePoint SentAt,
                                      TimePoint Now);
  RateStatements::RateChange onPeerUpdate(const RateStatement &Reported, TimePoint Now);
  /// Sets the instances that divide the rates among them.
  void setInstances(KnownInstance Self, std::vector<KnownInstance> Others);
  /// Releases all parts to the other instances, because this instance is stopping.
  void releaseParts();

  /// When the next request may be sent to an upstream in this data centre: a time not after `Now`
  /// if it may be sent now, and TimePoint::max() if this instance has no part of its rate.
  TimePoint nextPermit(const UpstreamStart &Upstream, const DataCentreId &DataCentre,
                       TimePoint Now);
  enum class Permit { NotNeeded, Taken, Refused };
  Permit takePermit(const UpstreamStart &Upstream, const DataCentreId &DataCentre, TimePoint Now);
  /// Returns the permit of a request that was not sent.
  void returnPermit(const UpstreamStart &Upstream);

  const RateStatements &statements() const { return m_Statements; }
  /// The part that this instance has of the rate that an upstream names; 0 if it has none or none
  /// is named.
  RequestRate partAt(const UpstreamStart &Upstream) const;

private:
  /// Paces requests to one upstream by the generic cell rate algorithm.
  struct Pacer {
    RequestRate m_Rate;
    RequestRate m_Part;
    /// When the next request is due.
    TimePoint m_NextDueAt;
    /// The part was computed for the current list of instances.
    bool m_IsPartCurrent = false;

    bool hasPart() const { return m_Part > RequestRate(0); }
    Duration tolerance() const { return BurstTolerance + m_Rate.interval(); }
    /// When the next request may be sent; TimePoint::max() without a part.
    TimePoint nextPermit() const {
      return hasPart() ? m_NextDueAt - tolerance() : TimePoint::max();
    }
  };

  void invalidateParts();
  /// Null if the upstream names no rate.
  Pacer *pacerFor(const UpstreamStart &Upstream, const DataCentreId &DataCentre, TimePoint Now);

  RateStatements m_Statements;
  RateDivision m_Division;
  std::map<UpstreamStart, Pacer> m_Pacers;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_SHAREDRATES_H
