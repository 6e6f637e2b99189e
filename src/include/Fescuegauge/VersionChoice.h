#ifndef FESCUEGAUGE_VERSIONCHOICE_H
#define FESCUEGAUGE_VERSIONCHOICE_H

#include "Fescuegauge/Units.h"

#include <cstddef>
#include <optional>

namespace fescuegauge {

/// The progress of an agent's transfer of one version.
struct TransferProgress {
  TimePoint m_StartedAt;
  std::size_t m_Held = 0;
  /// Number of pieces held by this agent or known to be held by a peer.
  std::size_t m_Reachable = 0;
  std::size_t m_Pieces = 0;
};

/// Decides between a version in transfer and a newer one that was announced during the transfer.
///
/// Designed for versions announced within seconds of each other while the origin is unreachable or
/// slow. Any version not older than the one that is due satisfies the bound on the age of weights,
/// so a version that the agents together nearly hold is completed; otherwise every runner could be
/// left with weights too old to be used.
class VersionChoice {
public:
  /// A version is completed before a newer one if at least this share of its pieces is reachable.
  /// The rest delays the newer version little at the origin.
  static constexpr double FinishShare = 0.75;

  static bool shouldFinishFirst(const TransferProgress &Older, bool IsStalled);
  /// Whether the newer version is expected to be complete by `Bound` at its rate so far. `Newer` is
  /// empty if its transfer has not begun.
  static bool isExpectedInTime(const std::optional<TransferProgress> &Newer, TimePoint Bound,
                               TimePoint Now);
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_VERSIONCHOICE_H
