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
  /// FleetRetries in each window. Accumulated tokens and those added during a
  /// window together do not exceed the node's part.
  static Allowance nodeAllowance(double FleetRetries, Duration Window,
                                 std::size_t Nodes);

  void setAllowance(const Allowance &New) { Allowed = New; }

  /// Records a request.
  /// \param RetryPercent hundredths of a retry that the request adds to the
  /// budget.
  void recordRequest(std::uint32_t RetryPercent, Time Now);

  /// Takes one retry from the budget; returns false if the budget is spent.
  [[nodiscard]] bool tryRetry(Time Now);

private:
  /// A time slice of the window.
  struct Slice {
    Time Start;
    double Earned = 0;
    double Spent = 0;
  };

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
