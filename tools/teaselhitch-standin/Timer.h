#ifndef TEASELHITCH_STANDIN_TIMER_H
#define TEASELHITCH_STANDIN_TIMER_H

/// \file
/// Delayed function calls on an event loop.

#include "teaselhitch/Support/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace teaselhitch::standin {

inline std::chrono::microseconds toChrono(Duration D) {
  return std::chrono::microseconds(static_cast<std::int64_t>(D.ms() * 1000));
}

using TimerPtr = std::shared_ptr<boost::asio::steady_timer>;

/// Calls Callback once after Delay, unless the returned timer is cancelled.
inline TimerPtr runAfter(boost::asio::io_context &Context, Duration Delay,
                         std::function<void()> Callback) {
  auto Timer =
      std::make_shared<boost::asio::steady_timer>(Context, toChrono(Delay));
  Timer->async_wait([Timer, Callback = std::move(Callback)](
                        const boost::system::error_code &Code) {
    if (!Code)
      Callback();
  });
  return Timer;
}

} // namespace teaselhitch::standin

#endif
