#ifndef TEASELHITCH_ENTRY_RETRYBUDGET_H
#define TEASELHITCH_ENTRY_RETRYBUDGET_H

/// \file
/// Bounds retries to a share of the live traffic, so that they cannot multiply
/// an overload.

#include "teaselhitch/Support/Clock.h"

#include <cstdint>

namespace teaselhitch {

/// The retry budget of one service at one entry.
class RetryBudget {
public:
  /// Retries that are always allowed in a second, for services with little
  /// traffic.
  static constexpr double MinRetriesPerSecond = 1;
  /// Greatest number of saved-up retries.
  static constexpr double MaxSaved = 20;

  /// A request arrived. \param RetryPercent its share for retries.
  void requestArrived(std::uint32_t RetryPercent, Time Now);

  /// Takes one retry from the budget; false if it is spent.
  [[nodiscard]] bool tryRetry(Time Now);

private:
  void refill(Time Now);

  double Saved = MinRetriesPerSecond;
  Time RefilledAt;
};

} // namespace teaselhitch

#endif
