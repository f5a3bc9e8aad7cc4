#include "TestNetwork.h"
#include "teaselhitch/Membership/Membership.h"

using namespace teaselhitch;

namespace {

constexpr Duration TenMinutes = Duration::seconds(600);
constexpr std::size_t Nobody = 1000;

using VersionMap = std::map<std::string, RecordVersion>;

/// The versions of all records in a view.
VersionMap versionsIn(const FleetView &View) {
  VersionMap Versions;
  for (const auto &[Name, Record] : *View.Nodes)
    Versions[Name.str()] = Record.Version;
  for (const auto &[Service, Servers] : View.Services)
    for (const BackendServerRecord &Record : *Servers)
      Versions[Record.Id.Node.str() + "/" + Record.Id.Name.str()] =
          Record.Version;
  return Versions;
}

/// Changes backend servers of random nodes for Length, one each 200 ms, and
/// checks that no version in any view goes back.
void churn(TestNetwork &Net, Duration Length, std::vector<VersionMap> &Seen) {
  Seen.resize(Net.Nodes.size());
  for (Time End = Net.Now + Length; Net.Now < End;) {
    std::size_t I = Net.Random.below(Net.Nodes.size());
    auto State = static_cast<BackendServerState>(Net.Random.below(3));
    std::string Name = "seats-" + std::to_string(Net.Random.below(3));
    Net.Nodes[I].Core->publish(TestNetwork::server(I, Name, State), Net.Now);
    Net.advance(Duration(200));
    for (std::size_t N = 0; N != Net.Nodes.size(); ++N)
      for (const auto &[Key, Version] :
           versionsIn(*Net.Nodes[N].Core->view())) {
        CPPUNIT_ASSERT(Seen[N][Key] <= Version);
        Seen[N][Key] = Version;
      }
  }
}

bool allDigestsEqual(const TestNetwork &Net) {
  for (const TestNetwork::Node &N : Net.Nodes)
    if (N.Core->digest() != Net.Nodes[0].Core->digest())
      return false;
  return true;
}

class MembershipFaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipFaultTest);
  CPPUNIT_TEST(lossKillsNobody);
  CPPUNIT_TEST(oneWayPartitionKillsNobody);
  CPPUNIT_TEST(pausedObserverKillsNobody);
  CPPUNIT_TEST(rejoinMovesDeltas);
  CPPUNIT_TEST(equalServersOfLostNodesAreNotSent);
  CPPUNIT_TEST(versionsNeverGoBack);
  CPPUNIT_TEST(restartWithLowerClockTakesOver);
  CPPUNIT_TEST(twoProcessesWithOneNameAreBounded);
  CPPUNIT_TEST(forgedRecordsAreCorrected);
  CPPUNIT_TEST(impossibleVersionsAreRefused);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against healthy nodes that are declared dead because datagrams get
  /// lost.
  void lossKillsNobody() {
    for (std::uint64_t Seed : {11, 12, 13}) {
      TestNetwork Net(30, Seed);
      Net.Loss = 0.1;
      Net.advance(TenMinutes);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Net.Deaths.size());
    }
  }

  /// Guards against a node that is declared dead because one path to it fails
  /// in one direction, with and without loss elsewhere. Without loss, indirect
  /// probes prevent even the suspicion.
  void oneWayPartitionKillsNobody() {
    for (std::uint64_t Seed : {21, 22, 23}) {
      TestNetwork Net(12, Seed);
      Net.Loss = Seed == 23 ? 0.05 : 0;
      Net.IsBlocked = [](std::size_t From, std::size_t To) {
        return From == 2 && To == 7;
      };
      Net.Suspicions = 0;
      Net.advance(TenMinutes);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Net.Deaths.size());
      CPPUNIT_ASSERT(Net.Loss > 0 || Net.Suspicions == 0);
    }
  }

  /// Guards against a node that was held up and takes the silence for the death
  /// of the others. Others may declare it dead while it is paused.
  void pausedObserverKillsNobody() {
    for (std::uint64_t Seed : {31, 32, 33}) {
      TestNetwork Net(12, Seed);
      for (int Round = 0; Round != 40; ++Round) {
        Duration Pause(300 + 9000 * Net.Random.uniform());
        Net.Nodes[4].PausedUntil = Net.Now + Pause;
        Net.advance(Duration::seconds(15));
      }
      for (const auto &[Observer, Subject] : Net.Deaths)
        CPPUNIT_ASSERT(Subject == TestNetwork::nameOf(4));
      CPPUNIT_ASSERT(Net.Nodes[4].Core->counters().LateTicks >= 40);
      CPPUNIT_ASSERT(Net.allKnowAll());
    }
  }

  /// Guards against a transfer of the whole set after a partition, against
  /// halves that stay apart, and against deaths caused by old claims.
  void rejoinMovesDeltas() {
    TestNetwork Net(40, 41);
    for (std::size_t I = 0; I != 40; ++I)
      for (int S = 0; S != 13; ++S)
        Net.Nodes[I].Core->publish(
            TestNetwork::server(I, "seats-" + std::to_string(S),
                                BackendServerState::Ready),
            Net.Now);
    Net.advance(Duration::seconds(30));
    CPPUNIT_ASSERT(allDigestsEqual(Net));
    std::size_t WholeSet = 0;
    for (const Delta &Part : Net.Nodes[0].Core->deltasFor(Digest(), 1000))
      WholeSet += encodeDelta(Part).size();
    Net.IsBlocked = [](std::size_t From, std::size_t To) {
      return From % 2 != To % 2;
    };
    Net.advance(Duration::seconds(300));
    CPPUNIT_ASSERT(Net.Nodes[0].Core->view()->Nodes->size() == 20);
    for (std::size_t I : {3, 8})
      Net.Nodes[I].Core->publish(
          TestNetwork::server(I, "seats-5", BackendServerState::Draining),
          Net.Now);
    Net.advance(Duration::seconds(30));
    Net.Deaths.clear();
    std::size_t Before = Net.DeltaBytes;
    Net.IsBlocked = [](std::size_t, std::size_t) { return false; };
    Duration Took = Net.advanceUntil(Duration::seconds(60), [&] {
      return Net.allKnowAll() && allDigestsEqual(Net);
    });
    std::size_t PerNode = (Net.DeltaBytes - Before) / 40;
    CPPUNIT_ASSERT(Took <= Duration::seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Net.Deaths.size());
    CPPUNIT_ASSERT(PerNode < WholeSet / 3);
  }

  /// Guards against a digest that sends all backend servers of the nodes that
  /// one side holds for dead.
  void equalServersOfLostNodesAreNotSent() {
    TestNetwork Net(2, 43);
    Delta Known, Lost;
    for (std::size_t I = 2; I != 102; ++I) {
      NodeRecord Node = Net.Nodes[0].Record;
      Node.Name = TestNetwork::nameOf(I);
      Known.Nodes.push_back(Node);
      Known.Servers.push_back(
          TestNetwork::server(I, "s", BackendServerState::Ready));
      Known.Servers.back().Version = Node.Version;
      Node.State = NodeState::Dead;
      if (I % 2 == 0)
        Lost.Nodes.push_back(Node);
    }
    Membership &Whole = *Net.Nodes[0].Core, &Cut = *Net.Nodes[1].Core;
    Datagram Claims;
    Claims.Sender = TestNetwork::nameOf(0);
    Claims.Changes = Lost;
    Whole.apply(Known, Net.Now);
    Cut.apply(Known, Net.Now);
    CPPUNIT_ASSERT(Whole.digest() == Cut.digest());
    // The first claim makes the nodes suspected, the second one dead.
    for (int Claim = 0; Claim != 2; ++Claim)
      Cut.receive(Claims, Net.Nodes[0].Record.Address, Net.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(52), Cut.view()->Nodes->size());
    std::size_t Nodes = 0;
    for (const Delta &Part : Whole.deltasFor(Cut.digest(), 1000)) {
      CPPUNIT_ASSERT(Part.Servers.empty());
      Nodes += Part.Nodes.size();
    }
    CPPUNIT_ASSERT(Nodes >= 50);
    for (NodeRecord &Node : Known.Nodes)
      ++Node.Version.Sequence;
    Whole.apply({Known.Nodes, {}, {}, {}}, Net.Now);
    Cut.apply({Known.Nodes, {}, {}, {}}, Net.Now);
    CPPUNIT_ASSERT(Whole.digest() == Cut.digest());
  }

  /// Guards against old records that replace new ones, on paths that reorder
  /// and lose, with a partition in between.
  void versionsNeverGoBack() {
    TestNetwork Net(12, 51);
    std::vector<VersionMap> Seen;
    Net.Loss = 0.2;
    churn(Net, Duration::seconds(60), Seen);
    Net.IsBlocked = [](std::size_t From, std::size_t To) {
      return From % 3 == 0 && To % 3 != 0;
    };
    churn(Net, Duration::seconds(60), Seen);
    Net.IsBlocked = [](std::size_t, std::size_t) { return false; };
    churn(Net, Duration::seconds(60), Seen);
    Net.Loss = 0;
    Net.advance(Duration::seconds(40));
    CPPUNIT_ASSERT(Net.allKnowAll());
    CPPUNIT_ASSERT(allDigestsEqual(Net));
  }

  /// Guards against a restarted node that stays invisible because its wall
  /// clock is behind, and against backend servers of its earlier process.
  void restartWithLowerClockTakesOver() {
    TestNetwork Net(8, 61);
    auto Ready = BackendServerState::Ready;
    Net.Nodes[3].Core->publish(TestNetwork::server(3, "old", Ready), Net.Now);
    Net.advance(Duration::seconds(3));
    Net.Nodes[3] = Net.start(3, 5);
    Net.Nodes[3].Core->publish(TestNetwork::server(3, "new", Ready), Net.Now);
    Net.advance(Duration::seconds(15));
    CPPUNIT_ASSERT(Net.everywhere(Nobody, [](const FleetView &View) {
      const ServiceView &Seats = *View.Services.at(ServiceName("seats"));
      return Seats.size() == 1 && Seats[0].Id.Name.str() == "new" &&
             Seats[0].Version.Incarnation == 1004 &&
             View.Nodes->at(TestNetwork::nameOf(3)).State == NodeState::Alive;
    }));
  }

  /// Guards against a flood of records when two processes run under one name.
  void twoProcessesWithOneNameAreBounded() {
    TestNetwork Net(6, 71);
    Net.Nodes.push_back(Net.start(5, 2000));
    Net.Nodes[6].Record.Address.Address = "10.0.0.6";
    NodeRecord Twin = Net.Nodes[6].Record;
    MembershipSettings Settings;
    Settings.Seeds = {{"10.0.0.0", 7000}};
    Net.Nodes[6].Core = valueOf(
        Membership::create(Settings, Twin, *Net.Nodes[6].Random, Net.Now));
    Net.DatagramBytes = 0;
    Net.advance(Duration::seconds(60));
    CPPUNIT_ASSERT(Net.Nodes[5].Core->counters().ForeignWrites > 0);
    CPPUNIT_ASSERT(Net.DatagramBytes < std::size_t(60) * 6 * 4000);
  }

  /// Guards against a peer that writes records of others. The shared key does
  /// not tell nodes apart, so the owner detects the claim and overwrites it.
  void forgedRecordsAreCorrected() {
    TestNetwork Net(10, 81);
    auto Ready = BackendServerState::Ready;
    Net.Nodes[3].Core->publish(TestNetwork::server(3, "s", Ready), Net.Now);
    Net.advance(Duration::seconds(3));
    Datagram Forged;
    Forged.Sender = TestNetwork::nameOf(9);
    Forged.SenderIncarnation = 1009;
    NodeRecord Node = Net.Nodes[3].Record;
    Node.Address = {"10.0.0.9", 7000};
    Node.Version = {1003, 50};
    BackendServerRecord Known =
        TestNetwork::server(3, "s", BackendServerState::Draining);
    BackendServerRecord Invented = TestNetwork::server(3, "t", Ready);
    Known.Version = Invented.Version = {1003, 70};
    Forged.Changes = {{Node}, {Known, Invented}, {}, {}};
    Net.send(9, {{"10.0.0.1", 7000}, Forged});
    // The forged address leads the gossip past the owner, which then hears of
    // the forgery by anti-entropy: 11 s at most, and 3 s to spread.
    Net.advance(Duration::seconds(14));
    CPPUNIT_ASSERT(Net.Nodes[3].Core->counters().ForeignWrites >= 3);
    CPPUNIT_ASSERT(Net.everywhere(Nobody, [&](const FleetView &View) {
      const ServiceView &Seats = *View.Services.at(ServiceName("seats"));
      return Seats.size() == 1 && Seats[0].State == Ready &&
             View.Nodes->at(TestNetwork::nameOf(3)).Address.Address ==
                 "10.0.0.3";
    }));
    // Equal versions with other content do not replace what is known.
    Forged.Changes.Nodes[0].Version =
        Net.Nodes[1].Core->view()->Nodes->at(Node.Name).Version;
    Net.Nodes[1].Core->receive(Forged, Node.Address, Net.Now);
    CPPUNIT_ASSERT(Net.Nodes[1].Core->counters().Conflicts > 0);
  }

  /// Guards against versions that cannot be exceeded, which would take a name
  /// away from its owner for good.
  void impossibleVersionsAreRefused() {
    TestNetwork Net(2, 91);
    Membership &Core = *Net.Nodes[0].Core;
    NodeRecord Node = Net.Nodes[1].Record;
    Node.Version = {std::uint64_t(1) << 63, 1};
    BackendServerRecord Server =
        TestNetwork::server(1, "s", BackendServerState::Ready);
    Server.Version = {1001, std::uint64_t(1) << 63};
    Core.apply({{Node}, {Server}, {}, {}}, Net.Now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Core.counters().Refused);
    CPPUNIT_ASSERT(Core.view()->Services.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipFaultTest);

} // namespace
