#include "teaselhitch/Config/WatchPlan.h"

#include "teaselhitch/Support/Hash.h"

namespace teaselhitch {

namespace {

/// Number of nodes that watch the source. In a partial outage of the store that
/// affects a third of all nodes, at least one of these nodes still reaches the
/// store, except in one of four thousand outages.
constexpr std::size_t NumWatchers = 8;
/// A version that is written one second after the store has recovered must be
/// active two seconds later.
constexpr WatchPlan Watch = {Duration::seconds(3), Duration(400)};
/// Interval at which a node that does not call the source makes a new plan.
constexpr WatchPlan NoCall = {std::nullopt, Duration(200)};
/// Each node hears from others several times a second. After this time without
/// any message it may be partitioned from them, although it reaches the source.
constexpr Duration IsolationTime = Duration(600);
/// Time after the start for which a node waits for other nodes, which most
/// likely have the configuration.
constexpr Duration StartupTime = Duration(500);
/// Interval of calls by nodes that do not watch the source. They find a version
/// that gossip has missed.
constexpr Duration CheckInterval = Duration::seconds(60);
/// A node that knows of a newer configuration reads it at once.
constexpr WatchPlan ReadNow = {Duration(), Duration(400)};
/// Minimum interval between two such reads. The store has the newer
/// configuration, so the first answer brings it.
constexpr Duration OverdueInterval = Duration(400);
/// The same interval while the node has no configuration.
constexpr Duration NoConfigInterval = Duration::seconds(2);

bool isWatcher(const NodeName &Self, const FleetView &View) {
  std::uint64_t SelfHash = hash64(Self.str());
  std::size_t Rank = 0;
  for (const auto &[Name, Node] : *View.Nodes)
    Rank += Node.State == NodeState::Alive && hash64(Name.str()) < SelfHash;
  return Rank < NumWatchers;
}

bool isIsolated(const FleetView *View, const WatchSituation &S) {
  if (View == nullptr || !View->Nodes || View->Nodes->size() <= 1)
    return true;
  return !S.SincePeerContact || *S.SincePeerContact > IsolationTime;
}

} // namespace

WatchPlan planWatch(const NodeName &Self, const FleetView *View,
                    const WatchSituation &S) {
  if (isIsolated(View, S))
    return S.Uptime < StartupTime ? NoCall : Watch;
  if (isWatcher(Self, *View))
    return Watch;
  if (S.IsOverdue)
    return S.SinceLastCall && *S.SinceLastCall < OverdueInterval ? NoCall
                                                                 : ReadNow;
  if (!S.HasConfig && S.Uptime < StartupTime)
    return NoCall;
  if (!S.HasConfig && !S.SinceLastCall)
    return Watch;
  Duration Interval = S.HasConfig ? CheckInterval : NoConfigInterval;
  Duration Elapsed = S.SinceLastCall.value_or(S.Uptime);
  return Elapsed < Interval * (1 + S.Jitter) ? NoCall : Watch;
}

} // namespace teaselhitch
