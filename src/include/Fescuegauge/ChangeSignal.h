#ifndef FESCUEGAUGE_CHANGESIGNAL_H
#define FESCUEGAUGE_CHANGESIGNAL_H

#include "Fescuegauge/AsioTypes.h"

#include <list>
#include <memory>

namespace fescuegauge {

/// Lets coroutines wait for a change, each up to its own time.
class ChangeSignal {
public:
  explicit ChangeSignal(net::any_io_executor Executor) : m_Executor(std::move(Executor)) {}

  /// Suspends the calling coroutine until notifyAll() is called or `End` has come.
  Task<> waitUntil(TimePoint End);
  void notifyAll();
  std::size_t waiting() const { return m_Waiting.size(); }

private:
  net::any_io_executor m_Executor;
  std::list<std::shared_ptr<net::steady_timer>> m_Waiting;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CHANGESIGNAL_H
