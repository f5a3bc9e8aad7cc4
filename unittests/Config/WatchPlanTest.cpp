#include "teaselhitch/Config/WatchPlan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

NodeName nodeName(int I) { return NodeName("node-" + std::to_string(I)); }

/// A fleet of Count nodes, numbered from First.
FleetView makeFleet(int First, int Count) {
  auto Nodes = std::make_shared<std::map<NodeName, NodeRecord>>();
  for (int I = First; I != First + Count; ++I) {
    NodeRecord Node;
    Node.Name = nodeName(I);
    Nodes->emplace(Node.Name, Node);
  }
  FleetView View;
  View.Nodes = Nodes;
  return View;
}

bool watchesFrequently(int Self, const FleetView &View) {
  return planWatch(nodeName(Self), &View).Wait <= Duration::seconds(3);
}

class WatchPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatchPlanTest);
  CPPUNIT_TEST(fewNodesWatchFrequently);
  CPPUNIT_TEST(lostFrequentNodesAreReplaced);
  CPPUNIT_TEST(isolatedNodeWatchesFrequently);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a number of frequent callers of the store that grows with
  /// the fleet.
  void fewNodesWatchFrequently() {
    for (int Count : {27, 105, 1400}) {
      FleetView View = makeFleet(0, Count);
      int FrequentCount = 0;
      for (int I = 0; I != Count; ++I)
        FrequentCount += watchesFrequently(I, View) ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(8, FrequentCount);
    }
  }

  /// Guards against late propagation of changes after all nodes that poll
  /// frequently have left the fleet.
  void lostFrequentNodesAreReplaced() {
    FleetView View = makeFleet(0, 105);
    auto Remaining =
        std::make_shared<std::map<NodeName, NodeRecord>>(*View.Nodes);
    for (int I = 0; I != 105; ++I)
      if (watchesFrequently(I, View))
        Remaining->erase(nodeName(I));
    View.Nodes = Remaining;
    int FrequentCount = 0;
    for (const auto &[Name, Node] : *Remaining)
      FrequentCount +=
          planWatch(Name, &View).Wait <= Duration::seconds(3) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(8, FrequentCount);
  }

  /// Guards against a node that relies on others while it is partitioned from
  /// them.
  void isolatedNodeWatchesFrequently() {
    for (int I = 0; I != 105; ++I)
      CPPUNIT_ASSERT(watchesFrequently(I, makeFleet(I, 1)));
    CPPUNIT_ASSERT(planWatch(nodeName(1), nullptr).Wait <=
                   Duration::seconds(3));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchPlanTest);

} // namespace
