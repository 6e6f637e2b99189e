#include "Fescuegauge/VersionChoice.h"

namespace fescuegauge {

bool VersionChoice::shouldFinishFirst(const TransferProgress &Older, bool IsStalled) {
  return !IsStalled && static_cast<double>(Older.m_Reachable) >=
                           FinishShare * static_cast<double>(Older.m_Pieces);
}

bool VersionChoice::isExpectedInTime(const std::optional<TransferProgress> &Newer, TimePoint Bound,
                                     TimePoint Now) {
  if (!Newer || Newer->m_Held == 0)
    return false;
  const double TimePerPiece =
      toSeconds(Now - Newer->m_StartedAt) / static_cast<double>(Newer->m_Held);
  const double Left = TimePerPiece * static_cast<double>(Newer->m_Pieces - Newer->m_Held);
  return Left <= toSeconds(Bound - Now);
}

} // namespace fescuegauge
