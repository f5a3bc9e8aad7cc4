#ifndef TEASELHITCH_MODEL_RISK_H
#define TEASELHITCH_MODEL_RISK_H

/// \file
/// How long an observation of a backend server stays valid. Entries and guards
/// share it, so that a reported risk ages in the same way as one's own.

#include "teaselhitch/Support/Clock.h"

#include <algorithm>
#include <cstdint>

namespace teaselhitch {

/// Probability that a backend server of which nothing is known is failing. Up
/// to three in ten are in a fleet under trouble, few in a calm one.
inline constexpr double UsualRisk = 0.15;

/// DispatchInfo::MaxRiskPercent of an attempt that leaves the limit to the
/// guard.
inline constexpr std::uint32_t AnyRiskPercent = 100;

/// Gray phases of the users' backend servers start and end about this far
/// apart, as the decision logs of their standard days show.
inline constexpr Duration GrayPhase = Duration::seconds(9);

/// How much an observation still tells, from 1 down to 0. The start of the next
/// phase is equally probable at each moment, so this falls linearly.
inline double evidenceWeight(Duration Age) {
  return std::clamp(1 - Age.ms() / GrayPhase.ms(), 0.0, 1.0);
}

/// A probability of failing that was estimated some time ago, as of now.
inline double agedRisk(double Risk, Duration Age) {
  return UsualRisk + (Risk - UsualRisk) * evidenceWeight(Age);
}

} // namespace teaselhitch

#endif
