#include "Fescuegauge/AsioTypes.h"

#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <exception>

namespace fescuegauge {

namespace {

Invariant TaskEndsNormally("loop.task_ends_without_exception");
Invariant HandlerEndsNormally("loop.handler_ends_without_exception");

std::string describeException(const std::exception_ptr &Thrown) {
  try {
    std::rethrow_exception(Thrown);
  } catch (const std::exception &Error) {
    return Error.what();
  } catch (...) {
    return "not a standard exception";
  }
}

void reportTaskFailure(const char *Name, const std::exception_ptr &Thrown) {
  TaskEndsNormally.check(false, Name);
  logEvent(Severity::Error, "task_failed", {{"task", Name}, {"reason", describeException(Thrown)}});
}

} // namespace

Task<> sleepFor(Duration Length) {
  net::steady_timer Timer(co_await net::this_coro::executor, Length);
  co_await Timer.async_wait(AsTuple);
}

void runEventLoop(net::io_context &Loop) {
  while (true) {
    std::exception_ptr Thrown;
    try {
      Loop.run();
    } catch (...) {
      Thrown = std::current_exception();
    }
    if (!Thrown)
      return;
    HandlerEndsNormally.check(false, describeException(Thrown));
  }
}

void spawnTask(const net::any_io_executor &Executor, const char *Name, Task<> Coroutine) {
  net::co_spawn(Executor, std::move(Coroutine), [Name](const std::exception_ptr &Thrown) {
    if (Thrown)
      reportTaskFailure(Name, Thrown);
    else
      TaskEndsNormally.check(true);
  });
}

namespace {

Task<> runWithRestarts(const char *Name, std::function<Task<>()> Start) {
  while (true) {
    try {
      co_await Start();
      co_return;
    } catch (...) {
      reportTaskFailure(Name, std::current_exception());
    }
    co_await sleepFor(TaskRestartDelay);
  }
}

} // namespace

void spawnPersistentTask(const net::any_io_executor &Executor, const char *Name,
                         std::function<Task<>()> Start) {
  spawnTask(Executor, Name, runWithRestarts(Name, std::move(Start)));
}

} // namespace fescuegauge
