#include "teaselhitch/Support/Clock.h"

#include <chrono>

namespace teaselhitch {

namespace {
using FractionalMs = std::chrono::duration<double, std::milli>;
} // namespace

Time SteadyClock::now() const {
  auto Since = std::chrono::steady_clock::now().time_since_epoch();
  return Time(FractionalMs(Since).count());
}

double wallClockMs() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return FractionalMs(Since).count();
}

} // namespace teaselhitch
