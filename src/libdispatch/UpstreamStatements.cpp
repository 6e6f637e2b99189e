#include "Fescuegauge/UpstreamStatements.h"

#include "Fescuegauge/ParseNumber.h"

#include <algorithm>

namespace fescuegauge {

void UpstreamStatements::insert(Times &Into, const UpstreamStart &Upstream, TimePoint Until,
                                TimePoint Now) {
  if (Into.size() >= MaxUpstreams && !Into.contains(Upstream)) {
    std::erase_if(Into, [&](const auto &Each) { return Each.second <= Now; });
    if (Into.size() >= MaxUpstreams)
      Into.erase(
          std::min_element(Into.begin(), Into.end(), [](const auto &Left, const auto &Right) {
            return Left.second < Right.second;
          }));
  }
  Into[Upstream] = Until;
}

bool UpstreamStatements::contains(const Times &In, const UpstreamStart &Upstream, TimePoint Now) {
  auto Found = In.find(Upstream);
  return Found != In.end() && Now < Found->second;
}

bool UpstreamStatements::onLeaving(const UpstreamStart &Upstream, TimePoint Now) {
  if (contains(m_Leaving, Upstream, Now))
    return false;
  insert(m_Leaving, Upstream, Now + LeavingLifetime, Now);
  return true;
}

void UpstreamStatements::onPauseRequested(const UpstreamStart &Upstream, Duration Pause,
                                          TimePoint Now) {
  TimePoint Until = Now + std::clamp(Pause, Duration(0), MaxPause);
  // Each pause must be kept in full, so an answer that names an earlier end has no effect.
  if (auto Found = m_Paused.find(Upstream); Found != m_Paused.end())
    Until = std::max(Until, Found->second);
  insert(m_Paused, Upstream, Until, Now);
}

bool UpstreamStatements::isLeaving(const UpstreamStart &Upstream, TimePoint Now) const {
  return contains(m_Leaving, Upstream, Now);
}

bool UpstreamStatements::isPaused(const UpstreamStart &Upstream, TimePoint Now) const {
  return contains(m_Paused, Upstream, Now);
}

std::optional<Duration> parsePause(std::string_view RetryAfter) {
  const auto Seconds = parseNonNegative(RetryAfter);
  if (!Seconds)
    return std::nullopt;
  const double Longest = toSeconds(UpstreamStatements::MaxPause);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(*Seconds, Longest)));
}

} // namespace fescuegauge
