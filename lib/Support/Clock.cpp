#include "teaselhitch/Support/Clock.h"

#include <chrono>

namespace teaselhitch {

namespace {
using FractionalMs = std::chrono::duration<double, std::milli>;
} // namespace

Time SteadyClock::now() const {
  auto Elapsed = std::chrono::steady_clock::now().time_since_epoch();
  return Time(FractionalMs(Elapsed).count());
}

double wallClockMs() {
  auto Elapsed = std::chrono::system_clock::now().time_since_epoch();
  return FractionalMs(Elapsed).count();
}

} // namespace teaselhitch
