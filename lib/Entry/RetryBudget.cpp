#include "teaselhitch/Entry/RetryBudget.h"

#include <algorithm>

namespace teaselhitch {

RetryBudget::Allowance RetryBudget::share(double FleetRetries, Duration Window,
                                          std::size_t Nodes) {
  double Part =
      FleetRetries / static_cast<double>(std::max<std::size_t>(Nodes, 1));
  // Half is saved up, half comes in during a window.
  double Half = Part / 2;
  return {Half * 1000 / Window.ms(), std::max(Half, 1.0)};
}

void RetryBudget::refill(Time Now) {
  double Seconds = std::max(0.0, (Now - RefilledAt).ms()) / 1000;
  Saved = std::min(Allowed.MaxSaved, Saved + Seconds * Allowed.PerSecond);
  RefilledAt = Now;
}

void RetryBudget::requestArrived(std::uint32_t RetryPercent, Time Now) {
  refill(Now);
  Saved = std::min(Allowed.MaxSaved, Saved + RetryPercent / 100.0);
}

bool RetryBudget::tryRetry(Time Now) {
  refill(Now);
  if (Saved < 1)
    return false;
  Saved -= 1;
  return true;
}

} // namespace teaselhitch
