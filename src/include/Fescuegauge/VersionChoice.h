#ifndef FESCUEGAUGE_VERSIONCHOICE_H
#define FESCUEGAUGE_VERSIONCHOICE_H

#include "Fescuegauge/Units.h"

#include <cstddef>
#include <optional>

namespace fescuegauge {

/// How far an agent is with the pieces of one version.
struct TransferProgress {
  TimePoint m_StartedAt;
  std::size_t m_Held = 0;
  /// Held here or by an agent that is known to hold it.
  std::size_t m_Reachable = 0;
  std::size_t m_Pieces = 0;
};

/// Decides between a version in transfer and a newer one that was announced meanwhile.
///
/// Load pattern answered: versions announced within seconds of each other, while the origin is away
/// or slow. Any version not older than the one that is due satisfies the bound on its age, so the
/// pieces that the agents hold together are worth completing; without them every runner may be left
/// with weights that are too old to be used.
class VersionChoice {
public:
  /// A version is completed before a newer one if at least this share of its pieces has left the
  /// origin. The rest of it costs the newer version little of the origin's time.
  static constexpr double FinishShare = 0.75;

  static bool finishesFirst(const TransferProgress &Older, bool IsStalled);
  /// Whether the newer version is expected to be whole by `Bound` at the pace so far; nothing if
  /// its transfer has not begun.
  static bool isInTime(const std::optional<TransferProgress> &Newer, TimePoint Bound,
                       TimePoint Now);
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_VERSIONCHOICE_H
