#include "EventLoopImpl.h"

#include <boost/asio/post.hpp>
#include <iostream>

namespace fescuegauge {

EventLoop::EventLoop(unsigned WorkerThreads) : m_Impl(std::make_unique<Impl>(WorkerThreads)) {
  std::promise<void> Started;
  std::future<void> Ready = Started.get_future();
  m_Impl->m_Thread = std::thread([this, &Started] { m_Impl->run(Started); });
  Ready.get();
}

EventLoop::~EventLoop() {
  if (m_Impl->m_Thread.joinable())
    stop();
}

TimePoint EventLoop::now() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

void EventLoop::post(std::function<void()> Task) { m_Impl->enqueue(std::move(Task)); }

void EventLoop::postAndWait(std::function<void()> Task) {
  auto Finished = std::make_shared<std::promise<void>>();
  std::future<void> Result = Finished->get_future();
  post([Task = std::move(Task), Finished] {
    Task();
    Finished->set_value();
  });
  // The loop discards queued tasks when it stops; the broken promise then ends the wait.
  Finished.reset();
  try {
    Result.get();
  } catch (const std::future_error &) {
    return;
  }
}

void EventLoop::every(Duration Interval, std::function<void()> Task) {
  post([this, Interval, Task = std::move(Task)]() mutable {
    m_Impl->m_Tasks->add(m_Impl->repeat(Interval, std::move(Task)));
  });
}

void EventLoop::runBlocking(std::function<void()> Work, std::function<void()> Done) {
  boost::asio::post(m_Impl->m_Workers,
                    [this, Work = std::move(Work), Done = std::move(Done)]() mutable {
                      Work();
                      post(std::move(Done));
                    });
}

void EventLoop::stop() {
  m_Impl->m_Workers.join();
  m_Impl->m_Stopping = true;
  m_Impl->enqueue([] {});
  m_Impl->m_Thread.join();
}

void EventLoop::Impl::enqueue(std::function<void()> Task) {
  std::lock_guard Lock(m_Mutex);
  // Discarding the task breaks the promise of a postAndWait() that was called after the stop.
  if (m_IsFinished)
    return;
  m_Queue.push_back(std::move(Task));
  KJ_IF_MAYBE (Fulfiller, m_Wake) {
    (*Fulfiller)->fulfill();
    m_Wake = nullptr;
  }
}

void EventLoop::Impl::run(std::promise<void> &Started) {
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  kj::TaskSet Tasks(*this);
  m_Io = &Io;
  m_Tasks = &Tasks;
  Started.set_value();
  while (!m_Stopping) {
    std::deque<std::function<void()>> Batch;
    kj::Maybe<kj::Promise<void>> WakeUp;
    {
      std::lock_guard Lock(m_Mutex);
      Batch.swap(m_Queue);
      if (Batch.empty()) {
        auto Pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        m_Wake = kj::mv(Pair.fulfiller);
        WakeUp = kj::mv(Pair.promise);
      }
    }
    KJ_IF_MAYBE (Pending, WakeUp) {
      Pending->wait(Io.waitScope);
    }
    for (std::function<void()> &Task : Batch)
      Task();
    // Polls for network events, which would starve while tasks keep arriving.
    if (!Batch.empty())
      Io.waitScope.poll();
  }
  m_Tasks = nullptr;
  m_Io = nullptr;
  std::deque<std::function<void()>> Discarded;
  std::lock_guard Lock(m_Mutex);
  m_IsFinished = true;
  Discarded.swap(m_Queue);
}

kj::Promise<void> EventLoop::Impl::repeat(Duration Interval, std::function<void()> Task) {
  return m_Io->provider->getTimer()
      .afterDelay(Interval.count() * kj::MICROSECONDS)
      .then([this, Interval, Task = std::move(Task)]() mutable {
        Task();
        return repeat(Interval, std::move(Task));
      });
}

void EventLoop::Impl::taskFailed(kj::Exception &&Error) {
  std::cerr << "event=loop_task_failed reason=\"" << Error.getDescription().cStr() << "\"\n";
}

} // namespace fescuegauge
