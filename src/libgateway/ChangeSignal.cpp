#include "Fescuegauge/ChangeSignal.h"

namespace fescuegauge {

Task<> ChangeSignal::waitUntil(TimePoint End) {
  auto Timer = std::make_shared<net::steady_timer>(m_Executor);
  Timer->expires_after(End - monotonicNow());
  m_Waiting.push_back(Timer);
  co_await Timer->async_wait(AsTuple);
  m_Waiting.remove(Timer);
}

void ChangeSignal::notifyAll() {
  for (const std::shared_ptr<net::steady_timer> &Each : m_Waiting)
    Each->cancel();
}

} // namespace fescuegauge
