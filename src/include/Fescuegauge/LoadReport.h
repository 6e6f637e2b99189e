#ifndef FESCUEGAUGE_LOADREPORT_H
#define FESCUEGAUGE_LOADREPORT_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <cstdint>
#include <vector>

namespace fescuegauge {

/// The load of one upstream as its agent measured it. Reports arrive late; their times are ages, so
/// that no two clocks are compared.
struct LoadReport {
  InstanceId m_Upstream;
  /// A report of an older incarnation than the known one is dropped.
  Incarnation m_Incarnation;
  /// Requests that the upstream runs, from all entry instances.
  std::uint32_t m_Running = 0;
  /// Requests that wait inside the upstream.
  std::uint32_t m_Waiting = 0;
  /// Concurrent requests that the upstream can run; 0 keeps the capacity of the instance record.
  std::uint32_t m_Capacity = 0;
  /// How long ago the measurement was taken when the report is handed over.
  Duration m_Age{0};
};

/// A change of an upstream's prefix cache. Events may be late, and some are lost.
struct CacheEvent {
  InstanceId m_Upstream;
  Incarnation m_Incarnation;
  /// Grows by one with every event of an incarnation; a jump shows that events were lost.
  std::uint64_t m_Sequence = 0;
  /// Prefix digests as in RequestDescription::m_PrefixBlocks.
  std::vector<std::uint64_t> m_Added;
  std::vector<std::uint64_t> m_Removed;
  /// True when the whole cache was emptied before `m_Added`.
  bool m_Cleared = false;
};

/// What an entry instance knows of the upstreams of one service in its region, which it may send
/// new work to without a limit on bytes, and of the others.
struct ServiceLoad {
  std::uint32_t m_Upstreams = 0;
  /// Concurrent requests that these upstreams can run.
  double m_Capacity = 0;
  /// Requests at these upstreams from all entry instances at the time of their reports; 0 if no
  /// upstream reports.
  double m_Reported = 0;
  /// The part of `m_Reported` that this entry instance had sent, at the same times.
  double m_OwnAtReport = 0;
  /// Requests that this entry instance has in flight now at these upstreams.
  std::uint32_t m_OwnInFlight = 0;
  /// Requests that it has in flight at other upstreams of the service: silent, leaving, dead or in
  /// other regions.
  std::uint32_t m_OwnElsewhere = 0;
  /// Capacity that is free at upstreams of other regions.
  double m_FreeElsewhere = 0;
  /// Further requests that this entry instance can have in flight in other regions by its budget on
  /// the region link.
  double m_SpillRoom = 0;
  /// Upstreams whose last report is recent enough to be used.
  std::uint32_t m_Reporting = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LOADREPORT_H
