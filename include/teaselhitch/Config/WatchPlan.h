#ifndef TEASELHITCH_CONFIG_WATCHPLAN_H
#define TEASELHITCH_CONFIG_WATCHPLAN_H

/// \file
/// Selects the nodes that poll the configuration source frequently. Performs no
/// I/O and reads no clock.
///
/// A long poll returns a change immediately, unless its connection became
/// silent or the source was unavailable when the call began; the node notices
/// either case only when the wait ends. A few nodes therefore use short waits
/// and propagate changes to the others by gossip, so that the rate of frequent
/// calls does not grow with the size of the fleet.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"

namespace teaselhitch {

/// The timing with which a node polls the configuration source.
struct WatchPlan {
  /// Maximum wait of one long poll.
  Duration Wait;
  /// Delay after a failed call.
  Duration RetryDelay;

  auto operator<=>(const WatchPlan &) const = default;
};

/// Returns the plan of the node \p Self. A node that sees few others, for
/// example during a network partition, polls frequently itself.
///
/// \param View the nodes that \p Self believes to be alive, or null.
WatchPlan planWatch(const NodeName &Self, const FleetView *View);

} // namespace teaselhitch

#endif
