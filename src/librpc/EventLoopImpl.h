#ifndef FESCUEGAUGE_LIBRPC_EVENTLOOPIMPL_H
#define FESCUEGAUGE_LIBRPC_EVENTLOOPIMPL_H

#include "Fescuegauge/EventLoop.h"

#include <atomic>
#include <boost/asio/thread_pool.hpp>
#include <deque>
#include <future>
#include <kj/async-io.h>
#include <mutex>
#include <thread>

namespace fescuegauge {

struct EventLoop::Impl final : private kj::TaskSet::ErrorHandler {
  explicit Impl(unsigned WorkerThreads) : m_Workers(WorkerThreads) {}

  void run(std::promise<void> &Started);
  void enqueue(std::function<void()> Task);
  kj::Promise<void> repeat(Duration Interval, std::function<void()> Task);
  void taskFailed(kj::Exception &&Error) override;

  boost::asio::thread_pool m_Workers;
  std::thread m_Thread;
  std::atomic<bool> m_Stopping{false};

  std::mutex m_Mutex;
  std::deque<std::function<void()>> m_Queue;
  /// The loop has ended; no further task will run.
  bool m_IsFinished = false;
  /// Wakes the loop; set only while it waits with an empty queue.
  kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> m_Wake;

  /// Only accessed on the loop's thread; null when the loop is not running.
  kj::AsyncIoContext *m_Io = nullptr;
  kj::TaskSet *m_Tasks = nullptr;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBRPC_EVENTLOOPIMPL_H
