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

/// A node that has run for 10 s, hears from other nodes and has a
/// configuration.
WatchSituation steadyState() {
  WatchSituation S;
  S.Uptime = Duration::seconds(10);
  S.SincePeerContact = Duration(50);
  S.SinceLastCall = Duration::seconds(10);
  S.HasConfig = true;
  return S;
}

bool isFrequent(const WatchPlan &Plan) {
  return Plan.Wait && *Plan.Wait <= Duration::seconds(3);
}

bool watchesFrequently(int Self, const FleetView &View) {
  return isFrequent(planWatch(nodeName(Self), &View, steadyState()));
}

class WatchPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatchPlanTest);
  CPPUNIT_TEST(fewNodesWatchFrequently);
  CPPUNIT_TEST(lostFrequentNodesAreReplaced);
  CPPUNIT_TEST(isolatedNodeWatchesFrequently);
  CPPUNIT_TEST(silentPeersMeanIsolation);
  CPPUNIT_TEST(fleetMakesFewCalls);
  CPPUNIT_TEST(startedNodesWaitForTheirPeers);
  CPPUNIT_TEST(overdueConfigurationIsReadAtOnce);
  CPPUNIT_TEST(failedWatchersAreReplaced);
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
          isFrequent(planWatch(Name, &View, steadyState())) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(8, FrequentCount);
  }

  /// Guards against a node that relies on others while it is partitioned from
  /// them.
  void isolatedNodeWatchesFrequently() {
    for (int I = 0; I != 105; ++I)
      CPPUNIT_ASSERT(watchesFrequently(I, makeFleet(I, 1)));
    CPPUNIT_ASSERT(isFrequent(planWatch(nodeName(1), nullptr, steadyState())));
  }

  /// Pattern: a node is cut off from the others but reaches the store. Guards
  /// against a node that waits for gossip that cannot arrive: it has to notice
  /// the cut well before a new configuration must be in force, also while the
  /// others are still in its view.
  void silentPeersMeanIsolation() {
    FleetView View = makeFleet(0, 354);
    WatchSituation S = steadyState();
    for (int I = 0; I != 354; ++I) {
      S.SincePeerContact = Duration(700);
      CPPUNIT_ASSERT(isFrequent(planWatch(nodeName(I), &View, S)));
      S.SincePeerContact = std::nullopt;
      CPPUNIT_ASSERT(isFrequent(planWatch(nodeName(I), &View, S)));
    }
  }

  /// Pattern: 354 nodes, one change of the configuration every four seconds,
  /// for a minute. Guards against calls to the store that grow with the number
  /// of nodes and changes.
  void fleetMakesFewCalls() {
    constexpr int Nodes = 354;
    FleetView View = makeFleet(0, Nodes);
    int Calls = 0;
    for (int I = 0; I != Nodes; ++I) {
      WatchSituation S = steadyState();
      S.Uptime = Duration();
      S.SinceLastCall = std::nullopt;
      for (int Ms = 0; Ms < 60000; Ms += 200) {
        S.Uptime = Duration(Ms);
        S.Jitter = I / static_cast<double>(Nodes);
        if (S.SinceLastCall)
          S.SinceLastCall = *S.SinceLastCall + Duration(200);
        if (S.SinceLastCall && *S.SinceLastCall < Duration::seconds(2))
          continue;
        if (!planWatch(nodeName(I), &View, S).Wait)
          continue;
        ++Calls;
        S.SinceLastCall = Duration();
      }
    }
    // Eight watchers make a call every two seconds.
    CPPUNIT_ASSERT(Calls >= 8 * 25 && Calls <= 8 * 31);
  }

  /// Pattern: all nodes start at once. Guards against a read of the store by
  /// each of them, and against a node that waits although nobody answers.
  void startedNodesWaitForTheirPeers() {
    FleetView Alone = makeFleet(1, 1);
    FleetView View = makeFleet(0, 354);
    WatchSituation S;
    S.Uptime = Duration(100);
    CPPUNIT_ASSERT(!planWatch(nodeName(1), &Alone, S).Wait);
    S.Uptime = Duration(600);
    CPPUNIT_ASSERT(planWatch(nodeName(1), &Alone, S).Wait);
    S.SincePeerContact = Duration(10);
    int Calls = 0;
    for (int I = 0; I != 354; ++I) {
      S.Uptime = Duration(100);
      Calls += planWatch(nodeName(I), &View, S).Wait ? 1 : 0;
      // Gossip brought no configuration.
      S.Uptime = Duration(600);
      CPPUNIT_ASSERT(planWatch(nodeName(I), &View, S).Wait);
    }
    CPPUNIT_ASSERT_EQUAL(8, Calls);
  }

  /// Guards against a node that knows of a newer configuration, cannot get it
  /// from the other nodes, and does not read it from the source either.
  void overdueConfigurationIsReadAtOnce() {
    FleetView View = makeFleet(0, 105);
    WatchSituation S = steadyState();
    for (int I = 0; I != 105; ++I) {
      S.IsOverdue = true;
      S.SinceLastCall = Duration::seconds(10);
      CPPUNIT_ASSERT(planWatch(nodeName(I), &View, S).Wait);
      S.SinceLastCall = std::nullopt;
      CPPUNIT_ASSERT(planWatch(nodeName(I), &View, S).Wait);
    }
  }

  /// Pattern: many nodes are killed at the same moment. Guards against changes
  /// that no remaining node reads until the killed ones are declared dead.
  void failedWatchersAreReplaced() {
    FleetView View = makeFleet(0, 27);
    auto Nodes = std::make_shared<std::map<NodeName, NodeRecord>>(*View.Nodes);
    for (int I = 0; I != 27; ++I)
      if (watchesFrequently(I, View))
        Nodes->at(nodeName(I)).State = NodeState::Suspected;
    View.Nodes = Nodes;
    int FrequentCount = 0;
    for (int I = 0; I != 27; ++I)
      if (Nodes->at(nodeName(I)).State == NodeState::Alive)
        FrequentCount += watchesFrequently(I, View) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(8, FrequentCount);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchPlanTest);

} // namespace
