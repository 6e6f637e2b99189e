#ifndef FESCUEGAUGE_FESCUEGAUGED_LOOPCALL_H
#define FESCUEGAUGE_FESCUEGAUGED_LOOPCALL_H

#include "Fescuegauge/EventLoop.h"

#include <functional>
#include <future>
#include <memory>

namespace fescuegauge {

/// Runs `Start` on the loop and blocks until it calls its argument `Done`; returns the value passed
/// to `Done`. Must not be called on the loop. Throws std::future_error if the loop stops first.
template <typename Result>
Result awaitLoopCall(EventLoop &Loop,
                     const std::function<void(std::function<void(Result)> Done)> &Start) {
  auto Promise = std::make_shared<std::promise<Result>>();
  auto Future = Promise->get_future();
  Loop.post([Start, Promise = std::move(Promise)] {
    Start([Promise](Result Value) { Promise->set_value(std::move(Value)); });
  });
  return Future.get();
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_LOOPCALL_H
