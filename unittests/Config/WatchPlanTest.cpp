#include "teaselhitch/Config/WatchPlan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

NodeName name(int I) { return NodeName("node-" + std::to_string(I)); }

/// Nodes from First on.
FleetView fleet(int First, int Count) {
  auto Nodes = std::make_shared<std::map<NodeName, NodeRecord>>();
  for (int I = First; I != First + Count; ++I) {
    NodeRecord Node;
    Node.Name = name(I);
    Nodes->emplace(Node.Name, Node);
  }
  FleetView View;
  View.Nodes = Nodes;
  return View;
}

bool asksOften(int Self, const FleetView &View) {
  return planWatch(name(Self), &View).Wait <= Duration::seconds(3);
}

class WatchPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatchPlanTest);
  CPPUNIT_TEST(fewNodesAskOften);
  CPPUNIT_TEST(othersTakeOver);
  CPPUNIT_TEST(lonelyNodeAsksOften);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against calls to the store that grow with the fleet.
  void fewNodesAskOften() {
    for (int Count : {27, 105, 1400}) {
      FleetView View = fleet(0, Count);
      int Often = 0;
      for (int I = 0; I != Count; ++I)
        Often += asksOften(I, View) ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(8, Often);
    }
  }

  /// Guards against a fleet that hears of a change late because the nodes that
  /// ask often are gone.
  void othersTakeOver() {
    FleetView View = fleet(0, 105);
    auto Left = std::make_shared<std::map<NodeName, NodeRecord>>(*View.Nodes);
    for (int I = 0; I != 105; ++I)
      if (asksOften(I, View))
        Left->erase(name(I));
    View.Nodes = Left;
    int Often = 0;
    for (const auto &[Name, Node] : *Left)
      Often += planWatch(Name, &View).Wait <= Duration::seconds(3) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(8, Often);
  }

  /// Guards against a node that is cut off from the others and relies on them.
  void lonelyNodeAsksOften() {
    for (int I = 0; I != 105; ++I)
      CPPUNIT_ASSERT(asksOften(I, fleet(I, 1)));
    CPPUNIT_ASSERT(planWatch(name(1), nullptr).Wait <= Duration::seconds(3));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchPlanTest);

} // namespace
