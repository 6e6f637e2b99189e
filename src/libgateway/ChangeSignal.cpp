#include "Fescuegauge/ChangeSignal.h"

namespace fescuegauge {

Task<> ChangeSignal::waitUntil(TimePoint Deadline) {
  auto Timer = std::make_shared<net::steady_timer>(m_Executor);
  Timer->expires_after(Deadline - monotonicNow());
  co_await waitFor(std::move(Timer));
}

Task<> ChangeSignal::wait() {
  auto Timer = std::make_shared<net::steady_timer>(m_Executor);
  Timer->expires_at(net::steady_timer::time_point::max());
  co_await waitFor(std::move(Timer));
}

Task<> ChangeSignal::waitFor(std::shared_ptr<net::steady_timer> Timer) {
  m_Waiters.push_back(Timer);
  co_await Timer->async_wait(AsTuple);
  m_Waiters.remove(Timer);
}

void ChangeSignal::notifyAll() {
  for (const std::shared_ptr<net::steady_timer> &Each : m_Waiters)
    Each->cancel();
}

} // namespace fescuegauge
