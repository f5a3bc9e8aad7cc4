#include "teaselhitch/Support/Clock.h"

#include <chrono>
#include <ctime>

namespace teaselhitch {

namespace {
using FractionalMs = std::chrono::duration<double, std::milli>;
} // namespace

// CLOCK_MONOTONIC, and with it std::chrono::steady_clock, stops while the
// machine is suspended. Leases, grants and deadlines do not.
Time SteadyClock::now() const {
  timespec Elapsed{};
  clock_gettime(CLOCK_BOOTTIME, &Elapsed);
  constexpr double MsPerSecond = 1e3;
  constexpr double NsPerMs = 1e6;
  return Time(static_cast<double>(Elapsed.tv_sec) * MsPerSecond +
              static_cast<double>(Elapsed.tv_nsec) / NsPerMs);
}

double wallClockMs() {
  auto Elapsed = std::chrono::system_clock::now().time_since_epoch();
  return FractionalMs(Elapsed).count();
}

} // namespace teaselhitch
