#include "Fescuegauge/ChangeSignal.h"

namespace fescuegauge {

Task<> ChangeSignal::waitUntil(TimePoint Deadline) {
  auto Timer = std::make_shared<net::steady_timer>(m_Executor);
  Timer->expires_after(Deadline - monotonicNow());
  m_Waiters.push_back(Timer);
  co_await Timer->async_wait(AsTuple);
  m_Waiters.remove(Timer);
}

void ChangeSignal::notifyAll() {
  for (const std::shared_ptr<net::steady_timer> &Each : m_Waiters)
    Each->cancel();
}

} // namespace fescuegauge
