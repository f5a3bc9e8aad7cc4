#include "teaselhitch/Entry/RetryBudget.h"

#include <algorithm>

namespace teaselhitch {

void RetryBudget::refill(Time Now) {
  double Seconds = std::max(0.0, (Now - RefilledAt).ms()) / 1000;
  Saved = std::min(MaxSaved, Saved + Seconds * MinRetriesPerSecond);
  RefilledAt = Now;
}

void RetryBudget::requestArrived(std::uint32_t RetryPercent, Time Now) {
  refill(Now);
  Saved = std::min(MaxSaved, Saved + RetryPercent / 100.0);
}

bool RetryBudget::tryRetry(Time Now) {
  refill(Now);
  if (Saved < 1)
    return false;
  Saved -= 1;
  return true;
}

} // namespace teaselhitch
