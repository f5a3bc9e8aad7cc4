#ifndef TEASELHITCH_ENTRY_RETRYBUDGET_H
#define TEASELHITCH_ENTRY_RETRYBUDGET_H

/// \file
/// Limits retries to a share of the current traffic, so that they cannot
/// multiply an overload.

#include "teaselhitch/Support/Clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace teaselhitch {

/// The retry budget of one service at one entry. It has two parts: a share of
/// the requests of a sliding window, which may be spent at any time within the
/// window, and a fixed allowance.
class RetryBudget {
public:
  /// The fixed allowance, a token bucket that does not depend on traffic, and
  /// the length of the window for the share of requests.
  struct Allowance {
    /// Tokens that are added per second; each retry takes one.
    double TokensPerSecond = 1;
    /// Maximum number of accumulated tokens.
    double MaxTokens = 20;
    Duration Window = Duration::seconds(10);

    auto operator<=>(const Allowance &) const = default;
  };

  /// Returns the allowance of one node if the whole fleet may make \p
  /// FleetRetries in each window. In no window do the accumulated tokens of all
  /// nodes and those added meanwhile exceed FleetRetries, also if there are
  /// fewer tokens than nodes.
  /// \param Rank position of the node among all nodes, from 0.
  static Allowance nodeAllowance(double FleetRetries, Duration Window,
                                 std::size_t Nodes, std::size_t Rank);

  void setAllowance(const Allowance &New);

  /// Records a request.
  /// \param RetryPercent hundredths of a retry that the request adds to the
  /// budget.
  void recordRequest(std::uint32_t RetryPercent, Time Now);

  /// Takes one retry from the budget; returns false if the budget is spent.
  [[nodiscard]] bool tryRetry(Time Now);

  /// Takes a retry that cannot be refused, because another decision has caused
  /// it. If the budget is spent, the following retries pay for it.
  void recordUnavoidableRetry(Time Now);

private:
  /// A time slice of the window.
  struct Slice {
    Time Start;
    /// Hundredths of retries.
    std::uint64_t EarnedPercent = 0;
    std::uint64_t Spent = 0;
  };

  /// Returns the retries that the share of the current window still allows.
  double shareLeft(Time Now);

  void refill(Time Now);
  Slice &currentSlice(Time Now);

  Allowance Allowed;
  double Tokens = 1;
  Time RefilledAt;
  /// Oldest first.
  std::deque<Slice> Slices;
};

} // namespace teaselhitch

#endif
