#include "teaselhitch/Entry/RetryBudget.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Slices per window. Spent retries count for one slice longer than earned
/// ones, so that no window, whatever its start, exceeds its share.
constexpr int SlicesPerWindow = 10;

} // namespace

RetryBudget::Allowance RetryBudget::nodeAllowance(double FleetRetries,
                                                  Duration Window,
                                                  std::size_t Nodes) {
  double NodeRetries =
      FleetRetries / static_cast<double>(std::max<std::size_t>(Nodes, 1));
  // Half of the retries may accumulate, half is added during a window.
  double Half = NodeRetries / 2;
  return {Half * 1000 / Window.ms(), std::max(Half, 1.0), Window};
}

void RetryBudget::refill(Time Now) {
  double Seconds = std::max(0.0, (Now - RefilledAt).ms()) / 1000;
  Tokens =
      std::min(Allowed.MaxTokens, Tokens + Seconds * Allowed.TokensPerSecond);
  RefilledAt = Now;
}

RetryBudget::Slice &RetryBudget::currentSlice(Time Now) {
  Duration Width = Allowed.Window * (1.0 / SlicesPerWindow);
  while (!Slices.empty() && Now - Slices.front().Start > Allowed.Window + Width)
    Slices.pop_front();
  if (Slices.empty() || Now - Slices.back().Start >= Width)
    Slices.push_back({Now, 0, 0});
  return Slices.back();
}

void RetryBudget::recordRequest(std::uint32_t RetryPercent, Time Now) {
  currentSlice(Now).Earned += RetryPercent / 100.0;
}

bool RetryBudget::tryRetry(Time Now) {
  Slice &Newest = currentSlice(Now);
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
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace teaselhitch
