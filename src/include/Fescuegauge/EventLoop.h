#ifndef FESCUEGAUGE_EVENTLOOP_H
#define FESCUEGAUGE_EVENTLOOP_H

#include "Fescuegauge/Units.h"

#include <functional>
#include <memory>

namespace fescuegauge {

/// A single-threaded event loop, and a pool of worker threads for blocking calls.
///
/// State that is accessed only by callbacks on the loop needs no lock.
class EventLoop {
public:
  /// `WorkerThreads` is the number of threads for runBlocking().
  explicit EventLoop(unsigned WorkerThreads);
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Queues `Task` for the loop; may be called from any thread. The task is discarded if the loop
  /// stops first.
  void post(std::function<void()> Task);
  /// Runs `Task` on the loop and waits for it. Calling this on the loop itself deadlocks.
  void postAndWait(std::function<void()> Task);
  /// Runs `Task` on the loop periodically until the loop stops; first after one `Interval`.
  void every(Duration Interval, std::function<void()> Task);
  /// Runs `Work` on a worker thread and then `Done` on the loop.
  void runBlocking(std::function<void()> Work, std::function<void()> Done);
  /// Waits for the tasks of the worker threads, then stops the loop. Must be called at most once.
  void stop();

  /// The time of this process's monotonic clock.
  static TimePoint now();

  struct Impl;
  /// For the RPC library.
  Impl &impl() { return *m_Impl; }

private:
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_EVENTLOOP_H
