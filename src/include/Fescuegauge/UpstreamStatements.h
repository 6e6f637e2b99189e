#ifndef FESCUEGAUGE_UPSTREAMSTATEMENTS_H
#define FESCUEGAUGE_UPSTREAMSTATEMENTS_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// One start of an upstream.
struct UpstreamStart {
  InstanceId m_Id;
  Incarnation m_Incarnation;

  auto operator<=>(const UpstreamStart &) const = default;
};

/// What upstreams have said of themselves in their answers.
///
/// Load pattern answered: upstreams that leave or are full while the platform's list is late or
/// away. The statements are kept apart from the list, because an entry may lapse and return while
/// its upstream lives. They end with the start of the upstream that made them.
class UpstreamStatements {
public:
  /// Longest pause that is believed; longer ones are taken for an error of the upstream.
  static constexpr Duration LongestPause = std::chrono::hours(1);
  /// An upstream that leaves is gone long before this time is over.
  static constexpr Duration LeavingLifetime = std::chrono::minutes(30);
  /// Upstreams remembered; beyond it the statements that end first are forgotten.
  static constexpr std::size_t MaxUpstreams = 4096;

  /// The upstream leaves: nothing more may be sent to it. Returns whether that is news.
  bool onLeaving(const UpstreamStart &Upstream, TimePoint Now);
  /// The upstream wants nothing from this instance for `Pause`.
  void onPauseAsked(const UpstreamStart &Upstream, Duration Pause, TimePoint Now);

  bool isLeaving(const UpstreamStart &Upstream, TimePoint Now) const;
  bool wantsPause(const UpstreamStart &Upstream, TimePoint Now) const;

private:
  using Times = std::map<UpstreamStart, TimePoint>;

  static void insert(Times &Into, const UpstreamStart &Upstream, TimePoint Until, TimePoint Now);
  static bool contains(const Times &In, const UpstreamStart &Upstream, TimePoint Now);

  /// Until when each statement counts.
  Times m_Leaving;
  Times m_Paused;
};

/// The pause that a Retry-After header in seconds asks for, at most
/// UpstreamStatements::LongestPause. Nothing if it is not a number of seconds, or negative.
std::optional<Duration> parsePause(std::string_view RetryAfter);

} // namespace fescuegauge

#endif // FESCUEGAUGE_UPSTREAMSTATEMENTS_H
