#include "IdleLimits.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// A connection that is lost after a shorter rest was not forgotten.
constexpr Duration ShortestRest = Duration(100);
/// Part of the rest after which a connection was lost that others may have.
constexpr double Margin = 0.6;
/// How long the lesson holds. The time limits of what forgets connections
/// seldom change, but a loss may also have had another cause.
constexpr Duration Memory = Duration::seconds(20);

} // namespace

Duration IdleLimits::limit(const Endpoint &Server, Time Now) const {
  auto It = Servers.find(Server);
  bool IsKnown = It != Servers.end() && Now < It->second.Until;
  return IsKnown ? It->second.Limit : UsualIdleLimit;
}

void IdleLimits::lostAfterRest(const Endpoint &Server, Duration Rested,
                               Time Now) {
  if (Rested < ShortestRest)
    return;
  Duration Limit = std::min(limit(Server, Now), Rested * Margin);
  Servers.insert_or_assign(Server, Learned{Limit, Now + Memory});
}

void IdleLimits::prune(Time Now) {
  std::erase_if(Servers,
                [&](const auto &Item) { return Now >= Item.second.Until; });
}

} // namespace teaselhitch
