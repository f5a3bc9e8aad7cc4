#include "DependencyLimits.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Factor that a refused sub-request applies to the share. It is applied at
/// most once per DecreaseInterval, the time in which the effect of the previous
/// step becomes visible.
constexpr double DecreaseFactor = 0.75;
constexpr Duration DecreaseInterval = Duration(200);
/// Minimum share; some requests must run to detect that capacity is available
/// again.
constexpr double MinShare = 0.1;
/// The share grows by Growth * t + Acceleration * t * t, with t in seconds
/// since the last change. Three seconds without a refusal add about two fifths.
constexpr double Growth = 0.04;
constexpr double Acceleration = 0.03;

} // namespace

double DependencyLimits::shareAt(const Limit &L, Time Now) {
  double Seconds = std::max(0.0, (Now - L.ChangedAt).ms()) / 1000;
  return std::min(1.0, L.Share + Growth * Seconds +
                           Acceleration * Seconds * Seconds);
}

void DependencyLimits::subRequestEnded(const RuleName &Rule, bool Congested,
                                       Time Now) {
  if (!Congested)
    return;
  auto [It, IsNew] = Limits.try_emplace(Rule, Limit{DecreaseFactor, Now, 0});
  Limit &L = It->second;
  if (IsNew || Now - L.ChangedAt < DecreaseInterval)
    return;
  L.Share = std::max(MinShare, shareAt(L, Now) * DecreaseFactor);
  L.ChangedAt = Now;
}

bool DependencyLimits::admit(const RuleName &Rule, Time Now) {
  auto It = Limits.find(Rule);
  if (It == Limits.end())
    return true;
  double Share = shareAt(It->second, Now);
  if (Share >= 1) {
    Limits.erase(It);
    return true;
  }
  It->second.Credit += Share;
  if (It->second.Credit < 1)
    return false;
  It->second.Credit -= 1;
  return true;
}

} // namespace teaselhitch
