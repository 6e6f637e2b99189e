#ifndef FESCUEGAUGE_CHANGESIGNAL_H
#define FESCUEGAUGE_CHANGESIGNAL_H

#include "Fescuegauge/AsioTypes.h"

#include <list>
#include <memory>

namespace fescuegauge {

/// Wakes all coroutines that wait for a change. Each waits up to its own deadline.
class ChangeSignal {
public:
  explicit ChangeSignal(net::any_io_executor Executor) : m_Executor(std::move(Executor)) {}

  /// Suspends the calling coroutine until notifyAll() is called or `Deadline` has passed.
  Task<> waitUntil(TimePoint Deadline);
  /// The same without a deadline.
  Task<> wait();
  void notifyAll();
  std::size_t waiterCount() const { return m_Waiters.size(); }

private:
  Task<> waitFor(std::shared_ptr<net::steady_timer> Timer);

  net::any_io_executor m_Executor;
  std::list<std::shared_ptr<net::steady_timer>> m_Waiters;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CHANGESIGNAL_H
