#ifndef FESCUEGAUGE_ASIOTYPES_H
#define FESCUEGAUGE_ASIOTYPES_H

#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Units.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace fescuegauge {

namespace net = boost::asio;
using Tcp = net::ip::tcp;
using Udp = net::ip::udp;
using SystemError = boost::system::error_code;

/// Coroutine that runs on the event loop.
///
/// GCC 12 miscompiles a co_await with temporary arguments inside a condition with && or ||, so the
/// result of a co_await is stored in a variable first.
template <typename T = void> using Task = net::awaitable<T>;

/// Completion token that returns the error code to the coroutine instead of throwing.
inline constexpr auto AsTuple = net::as_tuple(net::use_awaitable);

inline TimePoint monotonicNow() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Converts an address in numeric form. Any other text gives an address that refuses connections.
inline Tcp::endpoint tcpEndpoint(const Endpoint &Address) {
  SystemError Error;
  return {net::ip::make_address(Address.m_Host, Error), Address.m_Port};
}

/// One-shot timer that calls a function on the event loop. Destroying, cancelling or restarting the
/// timer before it expires drops the call.
class OneShotTimer {
public:
  explicit OneShotTimer(const net::any_io_executor &Executor) : m_Timer(Executor) {}
  OneShotTimer(const OneShotTimer &) = delete;
  OneShotTimer &operator=(const OneShotTimer &) = delete;
  ~OneShotTimer() { cancel(); }

  void set(Duration Delay, std::function<void()> Callback) {
    cancel();
    m_ArmedToken = std::make_shared<bool>(true);
    m_Timer.expires_after(Delay);
    m_Timer.async_wait([ArmedToken = std::weak_ptr<bool>(m_ArmedToken),
                        Callback = std::move(Callback)](SystemError Error) {
      if (!Error && ArmedToken.lock())
        Callback();
    });
  }
  void cancel() {
    m_ArmedToken.reset();
    m_Timer.cancel();
  }

private:
  net::steady_timer m_Timer;
  std::shared_ptr<bool> m_ArmedToken;
};

/// Suspends the calling coroutine for `Length`.
Task<> sleepFor(Duration Length);

/// Runs a coroutine detached from its creator. An exception that escapes it is logged with the task
/// name `Name` and ends only that coroutine.
void spawnTask(const net::any_io_executor &Executor, const char *Name, Task<> Coroutine);

/// Delay before a persistent task that threw is restarted.
inline constexpr Duration TaskRestartDelay = std::chrono::milliseconds(500);

/// Runs the coroutine that `Start` creates. After an exception, which is logged with the task name
/// `Name`, a new coroutine is created. For work that must continue for the life of the process.
void spawnPersistentTask(const net::any_io_executor &Executor, const char *Name,
                         std::function<Task<>()> Start);

/// Runs the loop until it is stopped or has no work left.
///
/// An exception that escapes a handler is logged, and the loop continues. All handlers run on this
/// thread, and each one releases what it holds by destructors, so the exception ends only the
/// connection or task to which the handler belongs. Ending the process instead would end the
/// requests of all clients.
void runEventLoop(net::io_context &Loop);

} // namespace fescuegauge

#endif // FESCUEGAUGE_ASIOTYPES_H
