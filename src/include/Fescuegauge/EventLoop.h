#ifndef FESCUEGAUGE_EVENTLOOP_H
#define FESCUEGAUGE_EVENTLOOP_H

#include "Fescuegauge/Units.h"

#include <functional>
#include <memory>

namespace fescuegauge {

/// One thread that runs all decisions of a process, and a pool of threads for calls that block.
///
/// State that only callbacks of the loop touch needs no lock.
class EventLoop {
public:
  /// `WorkerThreads` threads serve runBlocking().
  explicit EventLoop(unsigned WorkerThreads);
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs `Task` on the loop; from any thread. Dropped once the loop has stopped.
  void post(std::function<void()> Task);
  /// Runs `Task` on the loop and waits for it; never call it on the loop itself.
  void postAndWait(std::function<void()> Task);
  /// Runs `Task` on the loop after each interval, for as long as the loop runs.
  void every(Duration Interval, std::function<void()> Task);
  /// Runs `Work` on a worker thread and then `Done` on the loop.
  void runBlocking(std::function<void()> Work, std::function<void()> Done);
  /// Stops the loop and waits for the tasks of the worker threads. Called once.
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
