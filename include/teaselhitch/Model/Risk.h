#ifndef TEASELHITCH_MODEL_RISK_H
#define TEASELHITCH_MODEL_RISK_H

/// \file
/// Decay of the estimated failure risk of a backend server with the age of the
/// observation. Entries and guards use the same functions, so that a risk that
/// a guard reports decays in the same way as one that the entry estimated
/// itself.

#include "teaselhitch/Support/Clock.h"

#include <algorithm>
#include <cstdint>

namespace teaselhitch {

/// Prior probability that a backend server without observations is failing. Up
/// to 30 % of the backend servers fail in a degraded fleet, but only few in a
/// healthy one.
inline constexpr double PriorRisk = 0.15;

/// Value of DispatchInfo::MaxRiskPercent for an attempt for which the guard
/// alone limits the risk.
inline constexpr std::uint32_t AnyRiskPercent = 100;

/// Age at which an observation no longer tells anything about the current
/// state. In the decision logs of the users' standard days, the starts and ends
/// of gray failures of backend servers are about this far apart.
inline constexpr Duration EvidenceLifetime = Duration::seconds(9);

/// Weight of an observation of this age, from 1 for a new one down to 0. The
/// weight decreases linearly, because the next start or end of a gray failure
/// is equally probable at each moment.
inline double evidenceWeight(Duration Age) {
  return std::clamp(1 - Age.ms() / EvidenceLifetime.ms(), 0.0, 1.0);
}

/// Returns the current failure probability, given an estimate \p Risk that was
/// made \p Age ago. The estimate decays to the prior probability.
inline double decayedRisk(double Risk, Duration Age) {
  return PriorRisk + (Risk - PriorRisk) * evidenceWeight(Age);
}

} // namespace teaselhitch

#endif
