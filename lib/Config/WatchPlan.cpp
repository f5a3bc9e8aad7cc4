#include "teaselhitch/Config/WatchPlan.h"

#include "teaselhitch/Support/Hash.h"

namespace teaselhitch {

namespace {

/// Nodes that ask often. A partial outage of the store that hits a third of all
/// nodes spares one of them but for one time in four thousand.
constexpr std::size_t FrequentNodes = 8;
/// A version that is written a second after the return of the store has to be
/// in force two seconds later.
constexpr WatchPlan Frequent = {Duration::seconds(3), Duration(400)};
/// Calls of the store have a price and a rate that all nodes share: 1,400 nodes
/// make about a hundred of these a second.
constexpr WatchPlan Rare = {Duration::seconds(25), Duration::seconds(2)};

} // namespace

WatchPlan planWatch(const NodeName &Self, const FleetView *View) {
  if (View == nullptr || !View->Nodes)
    return Frequent;
  std::uint64_t Own = hash64(Self.str());
  std::size_t Before = 0;
  for (const auto &[Name, Node] : *View->Nodes)
    Before += hash64(Name.str()) < Own ? 1 : 0;
  return Before < FrequentNodes ? Frequent : Rare;
}

} // namespace teaselhitch
