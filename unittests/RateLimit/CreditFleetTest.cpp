#include "CreditNetwork.h"

using namespace teaselhitch;

namespace {

class CreditFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CreditFleetTest);
  CPPUNIT_TEST(organisationsAreSpread);
  CPPUNIT_TEST(departureMovesOnlyItsOrganisations);
  CPPUNIT_TEST(partitionDoesNotRaiseTheRate);
  CPPUNIT_TEST(leavingNodesHandOverAtOnce);
  CPPUNIT_TEST_SUITE_END();

  static std::map<NodeName, NodeState> states(std::size_t Count) {
    std::map<NodeName, NodeState> States;
    for (std::size_t I = 0; I != Count; ++I)
      States[creditNode(I)] = NodeState::Alive;
    return States;
  }

  /// Guards against a hash that gives one node many more organisations than
  /// the others, whose messages then use up its share of the processor.
  void organisationsAreSpread() {
    constexpr std::size_t NodeCount = 354, OrganisationCount = 42000;
    CreditFleet Fleet(creditNode(0));
    Fleet.update(creditView(states(NodeCount)), Time());
    std::map<NodeName, std::size_t> Owned;
    for (std::size_t I = 0; I != OrganisationCount; ++I) {
      CreditOwners Owners = Fleet.owners(creditOrganisation(I));
      CPPUNIT_ASSERT(Owners.Owner != Owners.Deputy);
      ++Owned[Owners.Owner];
    }
    CPPUNIT_ASSERT_EQUAL(NodeCount, Owned.size());
    for (const auto &[Node, Count] : Owned)
      CPPUNIT_ASSERT(Count < 2 * OrganisationCount / NodeCount);
  }

  /// Guards against a change of the view that moves organisations whose owner
  /// is still there: their credits would be lost.
  void departureMovesOnlyItsOrganisations() {
    constexpr std::size_t NodeCount = 70;
    CreditFleet Fleet(creditNode(0));
    auto States = states(NodeCount);
    Fleet.update(creditView(States), Time());
    std::vector<CreditOwners> Before;
    for (std::size_t I = 0; I != 1000; ++I)
      Before.push_back(Fleet.owners(creditOrganisation(I)));
    States.erase(creditNode(7));
    Fleet.update(creditView(States), Time(5000));
    for (std::size_t I = 0; I != Before.size(); ++I) {
      CreditOwners After = Fleet.owners(creditOrganisation(I));
      CPPUNIT_ASSERT(After.Owner == (Before[I].Owner == creditNode(7)
                                         ? Before[I].Deputy
                                         : Before[I].Owner));
      if (After.Owner == creditNode(0))
        CPPUNIT_ASSERT_EQUAL(Before[I].Owner == creditNode(7) ? 5000.0 : 0.0,
                             Fleet.ownedSince(creditOrganisation(I)).ms());
    }
  }

  /// Guards against the sides of a partition accruing more than the rate
  /// together, and against nodes that are gone for good keeping a part of the
  /// rate.
  void partitionDoesNotRaiseTheRate() {
    CreditFleet Fleet(creditNode(0));
    auto States = states(10);
    Fleet.update(creditView(States), Time());
    CPPUNIT_ASSERT_EQUAL(1.0, Fleet.liveShare(Time()));
    for (std::size_t I = 5; I != 10; ++I)
      States[creditNode(I)] = NodeState::Suspected;
    Fleet.update(creditView(States), Time(1000));
    CPPUNIT_ASSERT_EQUAL(0.5, Fleet.liveShare(Time(1000)));
    for (std::size_t I = 5; I != 10; ++I)
      States.erase(creditNode(I));
    Fleet.update(creditView(States), Time(3000));
    CPPUNIT_ASSERT_EQUAL(0.5, Fleet.liveShare(Time(120000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), Fleet.knownNodes(Time(120000)));
    CPPUNIT_ASSERT_EQUAL(1.0, Fleet.liveShare(Time(123001)));
  }

  /// Guards against a planned stop that leaves organisations without an owner,
  /// or that lowers the rate for two minutes.
  void leavingNodesHandOverAtOnce() {
    CreditFleet Fleet(creditNode(0));
    auto States = states(2);
    Fleet.update(creditView(States), Time());
    OrganisationName Moved;
    for (std::size_t I = 0; Moved.empty(); ++I)
      if (Fleet.owners(creditOrganisation(I)).Owner == creditNode(1))
        Moved = creditOrganisation(I);
    States[creditNode(1)] = NodeState::Leaving;
    for (double Ms : {1000.0, 2000.0}) {
      Fleet.update(creditView(States), Time(Ms));
      CPPUNIT_ASSERT(Fleet.owners(Moved).Owner == creditNode(0));
      CPPUNIT_ASSERT_EQUAL(1000.0, Fleet.ownedSince(Moved).ms());
      CPPUNIT_ASSERT_EQUAL(1.0, Fleet.liveShare(Time(Ms)));
    }
    States.erase(creditNode(1));
    Fleet.update(creditView(States), Time(3000));
    CPPUNIT_ASSERT_EQUAL(1000.0, Fleet.ownedSince(Moved).ms());
    CPPUNIT_ASSERT_EQUAL(1.0, Fleet.liveShare(Time(3000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CreditFleetTest);

} // namespace
