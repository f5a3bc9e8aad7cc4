#include "teaselhitch/Entry/RetryBudget.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Parts of a window. What is spent counts a part longer than what is earned,
/// so that no window of any start exceeds its share.
constexpr int SlicesPerWindow = 10;

} // namespace

RetryBudget::Allowance RetryBudget::share(double FleetRetries, Duration Window,
                                          std::size_t Nodes) {
  double Part =
      FleetRetries / static_cast<double>(std::max<std::size_t>(Nodes, 1));
  // Half is saved up, half comes in during a window.
  double Half = Part / 2;
  return {Half * 1000 / Window.ms(), std::max(Half, 1.0), Window};
}

void RetryBudget::refill(Time Now) {
  double Seconds = std::max(0.0, (Now - RefilledAt).ms()) / 1000;
  Saved = std::min(Allowed.MaxSaved, Saved + Seconds * Allowed.PerSecond);
  RefilledAt = Now;
}

RetryBudget::Slice &RetryBudget::current(Time Now) {
  Duration Width = Allowed.Window * (1.0 / SlicesPerWindow);
  while (!Slices.empty() && Now - Slices.front().Start > Allowed.Window + Width)
    Slices.pop_front();
  if (Slices.empty() || Now - Slices.back().Start >= Width)
    Slices.push_back({Now, 0, 0});
  return Slices.back();
}

void RetryBudget::requestArrived(std::uint32_t RetryPercent, Time Now) {
  current(Now).Earned += RetryPercent / 100.0;
}

bool RetryBudget::tryRetry(Time Now) {
  Slice &Newest = current(Now);
  double Earned = 0;
  double Spent = 0;
  for (const Slice &S : Slices) {
    Spent += S.Spent;
    if (Now - S.Start <= Allowed.Window)
      Earned += S.Earned;
  }
  if (Spent + 1 <= Earned) {
    Newest.Spent += 1;
    return true;
  }
  refill(Now);
  if (Saved < 1)
    return false;
  Saved -= 1;
  return true;
}

} // namespace teaselhitch
