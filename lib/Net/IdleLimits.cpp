#include "IdleLimits.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// A loss after a shorter idle time has another cause than an idle timeout and
/// is ignored.
constexpr Duration MinIdleTime = Duration(100);
/// The reduced limit is this fraction of the idle time after which a connection
/// was lost.
constexpr double ReductionFactor = 0.6;
/// How long a reduced limit applies. Idle timeouts of servers and devices
/// seldom change, but a loss may also have had another cause.
constexpr Duration ReductionPeriod = Duration::seconds(20);

} // namespace

Duration IdleLimits::limit(const Endpoint &Server, Time Now) const {
  auto It = Servers.find(Server);
  bool IsKnown = It != Servers.end() && Now < It->second.Expiry;
  return IsKnown ? It->second.Limit : DefaultIdleLimit;
}

void IdleLimits::recordIdleLoss(const Endpoint &Server, Duration IdleTime,
                                Time Now) {
  if (IdleTime < MinIdleTime)
    return;
  Duration Limit = std::min(limit(Server, Now), IdleTime * ReductionFactor);
  Servers.insert_or_assign(Server, ReducedLimit{Limit, Now + ReductionPeriod});
}

void IdleLimits::prune(Time Now) {
  std::erase_if(Servers,
                [&](const auto &Item) { return Now >= Item.second.Expiry; });
}

} // namespace teaselhitch
