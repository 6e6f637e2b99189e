#ifndef FESCUEGAUGE_UPSTREAMSTATEMENTS_H
#define FESCUEGAUGE_UPSTREAMSTATEMENTS_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// Identifies one start of an upstream.
struct UpstreamStart {
  InstanceId m_Id;
  Incarnation m_Incarnation;

  auto operator<=>(const UpstreamStart &) const = default;
};

/// Statements of upstreams about themselves in their answers.
///
/// Meant for upstreams that are leaving or full while the platform's list is delayed or
/// unavailable. The statements are kept separately from the list, because an entry may lapse and
/// return while its upstream is alive. They are valid for one start of the upstream.
class UpstreamStatements {
public:
  /// Upper limit for a pause; longer ones are taken for an error of the upstream.
  static constexpr Duration MaxPause = std::chrono::hours(1);
  /// A leaving upstream is gone long before this time is over.
  static constexpr Duration LeavingLifetime = std::chrono::minutes(30);
  /// Capacity; the statements that expire first are evicted when it is reached.
  static constexpr std::size_t MaxUpstreams = 4096;

  /// The upstream is leaving: no more requests may be sent to it. Returns whether this was not
  /// known.
  bool onLeaving(const UpstreamStart &Upstream, TimePoint Now);
  /// The upstream accepts no requests from this instance for `Pause`.
  void onPauseRequested(const UpstreamStart &Upstream, Duration Pause, TimePoint Now);

  bool isLeaving(const UpstreamStart &Upstream, TimePoint Now) const;
  bool isPaused(const UpstreamStart &Upstream, TimePoint Now) const;

private:
  using Times = std::map<UpstreamStart, TimePoint>;

  static void insert(Times &Into, const UpstreamStart &Upstream, TimePoint Until, TimePoint Now);
  static bool contains(const Times &In, const UpstreamStart &Upstream, TimePoint Now);

  /// When each statement expires.
  Times m_Leaving;
  Times m_Paused;
};

/// Parses the pause in seconds of a Retry-After header, limited to UpstreamStatements::MaxPause.
/// Nothing if it is not a number of seconds, or negative.
std::optional<Duration> parsePause(std::string_view RetryAfter);

} // namespace fescuegauge

#endif // FESCUEGAUGE_UPSTREAMSTATEMENTS_H
