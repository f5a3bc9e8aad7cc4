#include "teaselhitch/Entry/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch {

namespace {

/// Slices per window. Spent retries count for one slice longer than earned
/// ones, so that no window, whatever its start, exceeds its share.
constexpr int SlicesPerWindow = 10;

} // namespace

RetryBudget::Allowance RetryBudget::nodeAllowance(double FleetRetries,
                                                  Duration Window,
                                                  std::size_t Nodes,
                                                  std::size_t Rank) {
  auto Count = static_cast<double>(std::max<std::size_t>(Nodes, 1));
  auto Position = static_cast<double>(Rank);
  // Half of the retries may accumulate, half is added during a window.
  double FleetTokens = std::floor(FleetRetries / 2);
  // Whole tokens, because a node can spend nothing of a fraction. If there are
  // fewer tokens than nodes, they are spread evenly over the ranks.
  double NodeTokens = std::floor((Position + 1) * FleetTokens / Count) -
                      std::floor(Position * FleetTokens / Count);
  if (NodeTokens < 1)
    return {0, 0, Window};
  return {NodeTokens * 1000 / Window.ms(), NodeTokens, Window};
}

void RetryBudget::setAllowance(const Allowance &New) {
  Allowed = New;
  Tokens = std::min(Tokens, Allowed.MaxTokens);
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
  currentSlice(Now).EarnedPercent += RetryPercent;
}

double RetryBudget::shareLeft(Time Now) {
  (void)currentSlice(Now); // removes the slices of the past
  std::uint64_t EarnedPercent = 0;
  std::uint64_t Spent = 0;
  for (const Slice &S : Slices) {
    Spent += S.Spent;
    if (Now - S.Start <= Allowed.Window)
      EarnedPercent += S.EarnedPercent;
  }
  constexpr double Percent = 100;
  return static_cast<double>(EarnedPercent) / Percent -
         static_cast<double>(Spent);
}

bool RetryBudget::tryRetry(Time Now) {
  if (shareLeft(Now) >= 1) {
    ++currentSlice(Now).Spent;
    return true;
  }
  refill(Now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void RetryBudget::recordUnavoidableRetry(Time Now) {
  if (!tryRetry(Now))
    ++currentSlice(Now).Spent;
}

} // namespace teaselhitch
