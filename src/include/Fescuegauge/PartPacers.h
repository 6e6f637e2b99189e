#ifndef FESCUEGAUGE_PARTPACERS_H
#define FESCUEGAUGE_PARTPACERS_H

#include "Fescuegauge/RateDivision.h"
#include "Fescuegauge/UpstreamStatements.h"

#include <map>

namespace fescuegauge {

/// A rate that the requests of all entry instances together must keep at one upstream.
struct SharedLimit {
  RequestRate m_Rate;
  DivisionRule m_Division;
  /// A request may be sent ahead of its due time by this.
  Duration m_Tolerance{0};
};

/// Paces requests to one upstream by the generic cell rate algorithm, at this instance's part of a
/// shared rate.
class PartPacer {
public:
  bool hasPart() const { return m_Part > RequestRate(0); }
  RequestRate part() const { return m_Part; }
  /// When the next request may be sent; TimePoint::max() without a part.
  TimePoint nextPermit() const { return hasPart() ? m_NextDueAt - m_Tolerance : TimePoint::max(); }
  void take(TimePoint Now) { m_NextDueAt = std::max(m_NextDueAt, Now) + m_Part.interval(); }
  /// Returns the permit of a request that was not sent.
  void giveBack() {
    if (hasPart())
      m_NextDueAt = std::max(m_NextDueAt - m_Part.interval(), m_MinDueAt);
  }
  /// Keeps one interval to the next request from the time at which a request is sent. The time
  /// between its permit and its sending, in which a connection is opened, could otherwise bring two
  /// requests together.
  void spaceFrom(TimePoint SentAt) {
    if (hasPart())
      m_NextDueAt = std::max(m_NextDueAt, m_MinDueAt = SentAt + m_Part.interval());
  }

private:
  friend class PartPacers;

  RequestRate m_Rate;
  RequestRate m_Part;
  Duration m_Tolerance{0};
  /// When the next request is due, and the earliest time to which giveBack() may move that.
  TimePoint m_NextDueAt;
  TimePoint m_MinDueAt;
  /// The part was computed for the current list of instances.
  bool m_IsPartCurrent = false;
};

/// The pacers of an instance for one kind of shared limit.
class PartPacers {
public:
  /// The pacer of an upstream to which `Limit` applies.
  PartPacer &pacer(const UpstreamStart &Upstream, const DataCentreId &DataCentre,
                   const SharedLimit &Limit, const RateDivision &Division, TimePoint Now);
  /// Null if the upstream has no pacer.
  PartPacer *find(const UpstreamStart &Upstream);
  const PartPacer *find(const UpstreamStart &Upstream) const;
  void erase(const UpstreamStart &Upstream) { m_Pacers.erase(Upstream); }
  template <typename Predicate> void eraseIf(Predicate Condition) {
    std::erase_if(m_Pacers, [&](const auto &Each) { return Condition(Each.first); });
  }
  std::size_t size() const { return m_Pacers.size(); }
  /// The list of instances has changed.
  void invalidateParts();

private:
  std::map<UpstreamStart, PartPacer> m_Pacers;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_PARTPACERS_H
