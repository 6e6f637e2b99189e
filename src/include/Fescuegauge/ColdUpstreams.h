#ifndef FESCUEGAUGE_COLDUPSTREAMS_H
#define FESCUEGAUGE_COLDUPSTREAMS_H

#include "Fescuegauge/PartPacers.h"
#include "Fescuegauge/RoutingPlan.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace fescuegauge {

struct UpstreamRecord;

/// How long an upstream stays cold, by its own entry in the list.
struct ColdStatement {
  Duration m_Remaining{0};
  /// When the first instance learnt of the entry.
  TimePoint m_LearntAt;
  /// Number of the entry since the start of the upstream.
  std::optional<std::uint64_t> m_Sequence;

  TimePoint until() const { return m_LearntAt + m_Remaining; }
  auto operator<=>(const ColdStatement &) const = default;
};

/// Bound on the requests to a cold upstream in any second: its rate times the overshoot, plus the
/// slack.
struct ColdBounds {
  double m_Overshoot = 1;
  double m_Slack = 0;

  bool operator==(const ColdBounds &) const = default;
};

/// Notice to another entry instance that an upstream may be cold.
struct ColdNotice {
  UpstreamStart m_Upstream;
  Duration m_Remaining{0};

  bool operator==(const ColdNotice &) const = default;
};

/// Decides which upstreams are treated as cold, and the limit on the requests to them.
///
/// Meant for upstreams that crash if they get many requests shortly after their start, while their
/// statement is late by a heartbeat and by the propagation of the list. An upstream is therefore
/// also treated as cold when something shows that it may have restarted: it could not be reached,
/// another instance reports that, it appears without a statement, or its data centre returns to
/// service. Statements and assumptions are kept by the newest start of an upstream, because an
/// older entry may be read after a newer one.
class ColdUpstreams {
public:
  /// Upper limit for statements; longer ones are taken for an error.
  static constexpr Duration MaxRemaining = std::chrono::minutes(2);
  /// A restarted upstream is listed with its new start after at most about this time: a heartbeat
  /// and the propagation of its entry. Until then only refused connections show the restart.
  static constexpr Duration ListingDelay = std::chrono::seconds(2);
  /// Part of the requests allowed beyond the rate that is left for instances that begin their parts
  /// at the same moment. The rest is left for lists of instances that differ.
  static constexpr double ImmediateShare = 2.0 / 3;
  /// Limit on the notices in one message to another instance.
  static constexpr std::size_t MaxNoticesPerMessage = 16;

  /// Without bounds, no upstream is treated as cold.
  explicit ColdUpstreams(std::optional<ColdBounds> Bounds = std::nullopt) : m_Bounds(Bounds) {}

  void setBounds(std::optional<ColdBounds> Bounds);
  void setPlan(const RouteTable &Plan);
  /// Handles a new list of upstreams.
  void onListed(std::span<const UpstreamRecord> Listed, TimePoint Now);
  /// An answer of the upstream states that it is cold.
  void onAnswer(const UpstreamStart &Upstream, Duration Remaining, TimePoint Now);
  /// No connection to the upstream could be opened, or it crashed.
  void onUnreachable(const UpstreamStart &Upstream, TimePoint Now);
  void onPeerNotice(const ColdNotice &Notice, TimePoint Now);
  /// The upstreams of a data centre get requests again after it was out of service.
  void markCold(const DataCentreId &DataCentre, TimePoint Now);

  /// Until when the upstream is treated as cold; nothing if it is not.
  std::optional<TimePoint> coldUntil(const UpstreamStart &Upstream, TimePoint Now) const;
  /// The limit on requests to a cold upstream; null if it is not cold.
  const SharedLimit *limitOf(const UpstreamStart &Upstream, TimePoint Now) const;
  /// What this instance has learnt by itself and not from the list or from other instances.
  std::vector<ColdNotice> noticesForPeers(TimePoint Now) const;

  /// An upstream that is treated as cold from now on, or no longer.
  struct Change {
    UpstreamStart m_Upstream;
    bool m_IsCold = false;
    /// Set if the upstream is cold.
    Duration m_Remaining{0};
    /// Whether its own statement made it cold.
    bool m_IsStated = false;
  };
  std::vector<Change> takeChanges(TimePoint Now);

  /// All upstreams that are treated as cold.
  std::map<UpstreamStart, Duration> cold(TimePoint Now) const;

private:
  struct Entry {
    Incarnation m_Incarnation;
    DataCentreId m_DataCentre;
    ServiceId m_Service;
    std::optional<std::uint64_t> m_Sequence;
    /// The end by the upstream's own statements.
    TimePoint m_StatedUntil;
    /// The end by other evidence, and by the part of it that this instance saw itself.
    TimePoint m_AssumedUntil;
    TimePoint m_OwnAssumedUntil;
    bool m_IsListed = true;
    /// As of the last takeChanges().
    bool m_WasCold = false;

    TimePoint until() const { return std::max(m_StatedUntil, m_AssumedUntil); }
  };
  struct ServiceLimit {
    ColdStartParameters m_Parameters;
    SharedLimit m_Limit;
  };

  void updateLimits();
  static SharedLimit limitFor(RequestRate Rate, const ColdBounds &Bounds);
  const ServiceLimit *limitOf(const Entry &Of) const;
  /// Null unless this start of the upstream is the newest known one.
  Entry *findStart(const UpstreamStart &Upstream);
  void assume(Entry &Of, TimePoint Until, bool IsOwn);
  void applyRecord(Entry &To, const UpstreamRecord &Listed, bool IsNewStart, TimePoint Now);

  std::optional<ColdBounds> m_Bounds;
  std::map<ServiceId, ColdStartParameters> m_Parameters;
  std::map<ServiceId, ServiceLimit> m_Limits;
  std::map<InstanceId, Entry> m_Entries;
  bool m_HasList = false;
  /// No upstream is cold after this time.
  TimePoint m_LatestUntil;
  /// Entries with m_WasCold.
  std::size_t m_ReportedCold = 0;
};

/// Parses the remaining time in milliseconds of a header, limited to ColdUpstreams::MaxRemaining.
/// Nothing if the text is not a finite number of zero or more.
std::optional<Duration> parseColdRemaining(std::string_view Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_COLDUPSTREAMS_H
