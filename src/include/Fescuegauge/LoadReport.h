#ifndef FESCUEGAUGE_LOADREPORT_H
#define FESCUEGAUGE_LOADREPORT_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <cstdint>
#include <vector>

namespace fescuegauge {

/// The load of one upstream, as measured by its agent. Reports arrive with a delay. Times are
/// transferred as ages, so that the clocks of two machines are never compared.
struct LoadReport {
  InstanceId m_Upstream;
  /// A report of an incarnation older than the known one is ignored.
  Incarnation m_Incarnation;
  /// Requests that the upstream is running, from all entry instances.
  std::uint32_t m_Running = 0;
  /// Requests that are queued inside the upstream.
  std::uint32_t m_Waiting = 0;
  /// Maximum number of concurrent requests; 0 keeps the capacity of the instance record.
  std::uint32_t m_Capacity = 0;
  /// Time since the measurement, when the report is passed on.
  Duration m_Age{0};
};

/// A change of an upstream's prefix cache. Events may arrive late or be lost.
struct CacheEvent {
  InstanceId m_Upstream;
  Incarnation m_Incarnation;
  /// Incremented by one with every event of an incarnation; a gap shows that events were lost.
  std::uint64_t m_Sequence = 0;
  /// Prefix digests as in RequestDescription::m_PrefixBlocks.
  std::vector<std::uint64_t> m_Added;
  std::vector<std::uint64_t> m_Removed;
  /// True when the whole cache was emptied before `m_Added`.
  bool m_Cleared = false;
};

/// The load of one service as seen by one entry instance. Upstreams of its own region, which can
/// receive requests without a byte budget, are counted separately from all others.
struct ServiceLoad {
  /// Upstreams of the region that accept new requests and are not silent.
  std::uint32_t m_Upstreams = 0;
  /// Maximum number of concurrent requests at these upstreams.
  double m_Capacity = 0;
  /// Requests at these upstreams from all entry instances at the time of their reports; 0 if no
  /// upstream reports.
  double m_Reported = 0;
  /// The part of `m_Reported` that was sent by this entry instance.
  double m_OwnAtReport = 0;
  /// Requests that this entry instance currently has in flight at these upstreams.
  std::uint32_t m_OwnInFlight = 0;
  /// Requests that it has in flight at other upstreams of the service, which are silent, leaving,
  /// dead or in other regions.
  std::uint32_t m_OwnElsewhere = 0;
  /// Free capacity at upstreams of other regions.
  double m_FreeElsewhere = 0;
  /// Additional requests that this entry instance can have in flight in other regions within its
  /// budget for the region link.
  double m_SpillHeadroom = 0;
  /// Number of these upstreams whose last load report is recent enough to be used.
  std::uint32_t m_Reporting = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LOADREPORT_H
