#include "Fescuegauge/StoreOutage.h"

namespace fescuegauge {

void OutageDetector::onUnanswered(TimePoint BegunAt, TimePoint Now) {
  if (!m_FirstFailureAt) {
    m_FirstFailureAt = Now;
    m_From = BegunAt;
    m_ConfirmationCount = 0;
    return;
  }
  if (BegunAt < *m_FirstFailureAt || ++m_ConfirmationCount < RequiredConfirmations)
    return;
  m_Last = {m_From, Now};
}

void OutageDetector::onPeerAnswered(TimePoint At) {
  if (m_FirstFailureAt && At > *m_FirstFailureAt)
    m_FirstFailureAt.reset();
}

} // namespace fescuegauge
