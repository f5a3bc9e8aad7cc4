#ifndef TEASELHITCH_ENTRY_RETRYBUDGET_H
#define TEASELHITCH_ENTRY_RETRYBUDGET_H

/// \file
/// Bounds retries to a share of the live traffic, so that they cannot multiply
/// an overload.

#include "teaselhitch/Support/Clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace teaselhitch {

/// The retry budget of one service at one entry: a share of the requests of a
/// sliding window, which may be spent at any moment of it, and a fixed part.
class RetryBudget {
public:
  /// Retries that are allowed whatever the traffic, and the window in which
  /// the share counts.
  struct Allowance {
    /// In a second.
    double PerSecond = 1;
    /// Greatest number of saved-up retries.
    double MaxSaved = 20;
    Duration Window = Duration::seconds(10);

    auto operator<=>(const Allowance &) const = default;
  };

  /// A part of what a fleet may do in each window. Saved retries and those of
  /// the window itself stay below the part together.
  static Allowance share(double FleetRetries, Duration Window,
                         std::size_t Nodes);

  void setAllowance(const Allowance &New) { Allowed = New; }

  /// A request arrived. \param RetryPercent its share for retries.
  void requestArrived(std::uint32_t RetryPercent, Time Now);

  /// Takes one retry from the budget; false if it is spent.
  [[nodiscard]] bool tryRetry(Time Now);

private:
  /// A part of the window.
  struct Slice {
    Time Start;
    double Earned = 0;
    double Spent = 0;
  };

  void refill(Time Now);
  Slice &current(Time Now);

  Allowance Allowed;
  double Saved = 1;
  Time RefilledAt;
  /// Oldest first.
  std::deque<Slice> Slices;
};

} // namespace teaselhitch

#endif
