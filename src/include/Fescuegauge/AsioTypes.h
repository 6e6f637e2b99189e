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

/// A coroutine of the event loop.
///
/// GCC 12 miscompiles a co_await whose arguments are temporaries inside a condition with && or ||;
/// results of co_await are therefore stored in a variable first.
template <typename T = void> using Task = net::awaitable<T>;

/// Completion token: the coroutine resumes with the error code instead of an exception.
inline constexpr auto AsTuple = net::as_tuple(net::use_awaitable);

inline TimePoint monotonicNow() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// `Address` holds a numeric address; a text that is none gives an address that refuses
/// connections.
inline Tcp::endpoint tcpEndpoint(const Endpoint &Address) {
  SystemError Error;
  return {net::ip::make_address(Address.m_Host, Error), Address.m_Port};
}

/// Calls a function when its time has come, unless it is destroyed or restarted before. The
/// function runs on the event loop.
class Alarm {
public:
  explicit Alarm(const net::any_io_executor &Executor) : m_Timer(Executor) {}
  Alarm(const Alarm &) = delete;
  Alarm &operator=(const Alarm &) = delete;
  ~Alarm() { cancel(); }

  void set(Duration After, std::function<void()> Action) {
    cancel();
    m_Live = std::make_shared<bool>(true);
    m_Timer.expires_after(After);
    m_Timer.async_wait(
        [Live = std::weak_ptr<bool>(m_Live), Action = std::move(Action)](SystemError Error) {
          if (!Error && Live.lock())
            Action();
        });
  }
  void cancel() {
    m_Live.reset();
    m_Timer.cancel();
  }

private:
  net::steady_timer m_Timer;
  std::shared_ptr<bool> m_Live;
};

/// Suspends the calling coroutine.
Task<> sleepFor(Duration Length);

/// Runs a coroutine on its own. An exception that leaves it is logged under `Name` and ends only
/// that coroutine.
void spawnTask(const net::any_io_executor &Executor, const char *Name, Task<> Body);

/// Pause before a lasting task that threw is started again.
inline constexpr Duration LastingTaskPause = std::chrono::milliseconds(500);

/// Runs the coroutine that `Start` gives, and again after an exception, which is logged under
/// `Name`; for work that must go on as long as the process.
void spawnLastingTask(const net::any_io_executor &Executor, const char *Name,
                      std::function<Task<>()> Start);

} // namespace fescuegauge

#endif // FESCUEGAUGE_ASIOTYPES_H
