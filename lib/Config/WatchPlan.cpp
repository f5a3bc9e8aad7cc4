#include "teaselhitch/Config/WatchPlan.h"

#include "teaselhitch/Support/Hash.h"

namespace teaselhitch {

namespace {

/// Number of nodes that poll frequently. In a partial outage of the store that
/// affects a third of all nodes, at least one of these nodes still reaches the
/// store, except in one of four thousand outages.
constexpr std::size_t NumFrequentNodes = 8;
/// A version that is written one second after the store has recovered must be
/// active two seconds later.
constexpr WatchPlan Frequent = {Duration::seconds(3), Duration(400)};
/// Calls to the store cost money and count against a rate limit shared by all
/// nodes: 1,400 nodes make about a hundred of these calls per second.
constexpr WatchPlan Infrequent = {Duration::seconds(25), Duration::seconds(2)};

} // namespace

WatchPlan planWatch(const NodeName &Self, const FleetView *View) {
  if (View == nullptr || !View->Nodes)
    return Frequent;
  std::uint64_t SelfHash = hash64(Self.str());
  std::size_t Rank = 0;
  for (const auto &[Name, Node] : *View->Nodes)
    Rank += hash64(Name.str()) < SelfHash ? 1 : 0;
  return Rank < NumFrequentNodes ? Frequent : Infrequent;
}

} // namespace teaselhitch
