#include "DependencyLimits.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Factor of the share for each refused sub-request, but once only in the time
/// in which the effect of the last step shows.
constexpr double Decrease = 0.75;
constexpr Duration DecreaseInterval = Duration(200);
/// Least share: some requests have to show whether there is room again.
constexpr double LeastShare = 0.1;
/// Growth of the share in the first second, and how much faster it gets with
/// each further one. After three seconds without a refusal two fifths more are
/// admitted.
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
  auto [It, IsNew] = Limits.try_emplace(Rule, Limit{Decrease, Now, 0});
  Limit &L = It->second;
  if (IsNew || Now - L.ChangedAt < DecreaseInterval)
    return;
  L.Share = std::max(LeastShare, shareAt(L, Now) * Decrease);
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
