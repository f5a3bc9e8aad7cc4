#ifndef TEASELHITCH_CONFIG_WATCHPLAN_H
#define TEASELHITCH_CONFIG_WATCHPLAN_H

/// \file
/// Which nodes ask the source of the configuration often. Pure.
///
/// A call that waits for a change delivers it at once, unless its connection
/// went silent or the source was away when it began; that shows only when the
/// wait is over. A few nodes therefore wait for a short time only and tell the
/// others by gossip, so that the calls of a fleet do not grow with its size.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"

namespace teaselhitch {

/// How a node watches the source.
struct WatchPlan {
  /// Longest wait in one call.
  Duration Wait;
  /// Pause after a call that failed.
  Duration RetryPause;

  auto operator<=>(const WatchPlan &) const = default;
};

/// The plan of the node \p Self. \param View the nodes that it believes to be
/// alive, or null. A node that sees few others, for example because it is cut
/// off from them, asks often itself.
WatchPlan planWatch(const NodeName &Self, const FleetView *View);

} // namespace teaselhitch

#endif
