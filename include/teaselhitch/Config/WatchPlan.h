#ifndef TEASELHITCH_CONFIG_WATCHPLAN_H
#define TEASELHITCH_CONFIG_WATCHPLAN_H

/// \file
/// Selects the nodes that poll the configuration source. Performs no I/O and
/// reads no clock.
///
/// Calls to the source cost money and count against a rate limit that all nodes
/// share. A few nodes therefore watch the source and propagate changes to the
/// others by gossip, so that the number of calls does not grow with the size of
/// the fleet. A long poll returns a change immediately, unless its connection
/// became silent or the source was unavailable when the call began; the node
/// notices either case only when the wait ends, so the waits are short.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"

#include <optional>

namespace teaselhitch {

/// The timing with which a node polls the configuration source.
struct WatchPlan {
  /// Maximum wait of one long poll; nullopt if the node does not call the
  /// source now.
  std::optional<Duration> Wait;
  /// Delay after a failed call, or until the next plan if there is no call.
  Duration RetryDelay;

  auto operator<=>(const WatchPlan &) const = default;
};

/// What a node knows about itself when it plans its next call.
struct WatchSituation {
  /// Time since the process started.
  Duration Uptime;
  /// Time since the last message from another node; nullopt if there was none.
  std::optional<Duration> SincePeerContact;
  /// Time since the last call to the source; nullopt if there was none.
  std::optional<Duration> SinceLastCall;
  /// The node has adopted a configuration.
  bool HasConfig = false;
  /// The node knows of a newer configuration and did not get it from the other
  /// nodes in time.
  bool IsOverdue = false;
  /// Number from 0 to 1 that spreads the calls of all nodes over time.
  double Jitter = 0;

  auto operator<=>(const WatchSituation &) const = default;
};

/// Returns the plan of the node \p Self. A node that hears from no other node,
/// for example during a network partition, watches the source itself.
///
/// \param View the nodes that \p Self believes to be alive, or null.
WatchPlan planWatch(const NodeName &Self, const FleetView *View,
                    const WatchSituation &Situation);

} // namespace teaselhitch

#endif
