#include "TestNetwork.h"
#include "teaselhitch/Membership/Membership.h"

using namespace teaselhitch;

namespace {

constexpr Duration TenMinutes = Duration::seconds(600);
constexpr std::size_t NoExcludedNode = 1000;

using VersionMap = std::map<std::string, RecordVersion>;

/// Returns the versions of all records in a view.
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

/// Changes one backend server of a random node every 200 ms for Length, and
/// checks that no version in any view decreases.
void churn(TestNetwork &Net, Duration Length,
           std::vector<VersionMap> &LastVersions) {
  LastVersions.resize(Net.Nodes.size());
  for (Time End = Net.Now + Length; Net.Now < End;) {
    std::size_t I = Net.Random.uniformInt(Net.Nodes.size());
    auto State = static_cast<BackendServerState>(Net.Random.uniformInt(3));
    std::string Name = "seats-" + std::to_string(Net.Random.uniformInt(3));
    Net.Nodes[I].Core->publish(TestNetwork::server(I, Name, State), Net.Now);
    Net.advance(Duration(200));
    for (std::size_t N = 0; N != Net.Nodes.size(); ++N)
      for (const auto &[Key, Version] :
           versionsIn(*Net.Nodes[N].Core->view())) {
        CPPUNIT_ASSERT(LastVersions[N][Key] <= Version);
        LastVersions[N][Key] = Version;
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
  CPPUNIT_TEST(datagramLossCausesNoDeath);
  CPPUNIT_TEST(oneWayPartitionCausesNoDeath);
  CPPUNIT_TEST(pausedObserverCausesNoDeath);
  CPPUNIT_TEST(rejoinTransfersOnlyDeltas);
  CPPUNIT_TEST(equalServersOfDeadNodesAreNotSent);
  CPPUNIT_TEST(versionsNeverDecrease);
  CPPUNIT_TEST(restartWithLowerClockReplacesRecords);
  CPPUNIT_TEST(trafficOfDuplicateNodeNameIsBounded);
  CPPUNIT_TEST(forgedRecordsAreCorrected);
  CPPUNIT_TEST(outOfRangeVersionsAreRejected);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against healthy nodes that are declared dead because datagrams are
  /// lost.
  void datagramLossCausesNoDeath() {
    for (std::uint64_t Seed : {11, 12, 13}) {
      TestNetwork Net(30, Seed);
      Net.LossRate = 0.1;
      Net.advance(TenMinutes);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Net.Deaths.size());
    }
  }

  /// Guards against a node that is declared dead because one path to it fails
  /// in one direction, with and without datagram loss elsewhere. Without loss,
  /// indirect probes prevent even the suspicion.
  void oneWayPartitionCausesNoDeath() {
    for (std::uint64_t Seed : {21, 22, 23}) {
      TestNetwork Net(12, Seed);
      Net.LossRate = Seed == 23 ? 0.05 : 0;
      Net.IsBlocked = [](std::size_t From, std::size_t To) {
        return From == 2 && To == 7;
      };
      Net.Suspicions = 0;
      Net.advance(TenMinutes);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Net.Deaths.size());
      CPPUNIT_ASSERT(Net.LossRate > 0 || Net.Suspicions == 0);
    }
  }

  /// Guards against a stalled node that takes missing answers for the failure
  /// of other nodes. Other nodes may declare it dead while it is paused.
  void pausedObserverCausesNoDeath() {
    for (std::uint64_t Seed : {31, 32, 33}) {
      TestNetwork Net(12, Seed);
      for (int Round = 0; Round != 40; ++Round) {
        Duration Pause(300 + 9000 * Net.Random.uniform());
        Net.Nodes[4].PauseEnd = Net.Now + Pause;
        Net.advance(Duration::seconds(15));
      }
      for (const auto &[Observer, Subject] : Net.Deaths)
        CPPUNIT_ASSERT(Subject == TestNetwork::nodeName(4));
      CPPUNIT_ASSERT(Net.Nodes[4].Core->counters().LateTicks >= 40);
      CPPUNIT_ASSERT(Net.allViewsComplete());
    }
  }

  /// Guards against a full transfer of all records after a partition, against
  /// halves that do not merge, and against deaths caused by outdated claims.
  void rejoinTransfersOnlyDeltas() {
    TestNetwork Net(40, 41);
    for (std::size_t I = 0; I != 40; ++I)
      for (int S = 0; S != 13; ++S)
        Net.Nodes[I].Core->publish(
            TestNetwork::server(I, "seats-" + std::to_string(S),
                                BackendServerState::Ready),
            Net.Now);
    Net.advance(Duration::seconds(30));
    CPPUNIT_ASSERT(allDigestsEqual(Net));
    std::size_t FullSetBytes = 0;
    for (const Delta &Part : Net.Nodes[0].Core->deltasFor(Digest(), 1000))
      FullSetBytes += encodeDelta(Part).size();
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
    Duration Elapsed = Net.advanceUntil(Duration::seconds(60), [&] {
      return Net.allViewsComplete() && allDigestsEqual(Net);
    });
    std::size_t PerNode = (Net.DeltaBytes - Before) / 40;
    CPPUNIT_ASSERT(Elapsed <= Duration::seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Net.Deaths.size());
    CPPUNIT_ASSERT(PerNode < FullSetBytes / 3);
  }

  /// Guards against anti-entropy that sends all backend servers of the nodes
  /// that one side considers dead.
  void equalServersOfDeadNodesAreNotSent() {
    TestNetwork Net(2, 43);
    Delta Known, DeadClaims;
    for (std::size_t I = 2; I != 102; ++I) {
      NodeRecord Node = Net.Nodes[0].Record;
      Node.Name = TestNetwork::nodeName(I);
      Known.Nodes.push_back(Node);
      Known.Servers.push_back(
          TestNetwork::server(I, "s", BackendServerState::Ready));
      Known.Servers.back().Version = Node.Version;
      Node.State = NodeState::Dead;
      if (I % 2 == 0)
        DeadClaims.Nodes.push_back(Node);
    }
    Membership &Intact = *Net.Nodes[0].Core, &Partitioned = *Net.Nodes[1].Core;
    Datagram Claims;
    Claims.Sender = TestNetwork::nodeName(0);
    Claims.Changes = DeadClaims;
    Intact.apply(Known, Net.Now);
    Partitioned.apply(Known, Net.Now);
    CPPUNIT_ASSERT(Intact.digest() == Partitioned.digest());
    // The first claim makes the nodes suspected, the second one makes them
    // dead.
    for (int Claim = 0; Claim != 2; ++Claim)
      Partitioned.receive(Claims, Net.Nodes[0].Record.Address, Net.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(52), Partitioned.view()->Nodes->size());
    std::size_t Nodes = 0;
    for (const Delta &Part : Intact.deltasFor(Partitioned.digest(), 1000)) {
      CPPUNIT_ASSERT(Part.Servers.empty());
      Nodes += Part.Nodes.size();
    }
    CPPUNIT_ASSERT(Nodes >= 50);
    for (NodeRecord &Node : Known.Nodes)
      ++Node.Version.Sequence;
    Intact.apply({Known.Nodes, {}, {}, {}}, Net.Now);
    Partitioned.apply({Known.Nodes, {}, {}, {}}, Net.Now);
    CPPUNIT_ASSERT(Intact.digest() == Partitioned.digest());
  }

  /// Guards against old records that replace newer ones when datagrams are
  /// reordered and lost, with a partition in between.
  void versionsNeverDecrease() {
    TestNetwork Net(12, 51);
    std::vector<VersionMap> LastVersions;
    Net.LossRate = 0.2;
    churn(Net, Duration::seconds(60), LastVersions);
    Net.IsBlocked = [](std::size_t From, std::size_t To) {
      return From % 3 == 0 && To % 3 != 0;
    };
    churn(Net, Duration::seconds(60), LastVersions);
    Net.IsBlocked = [](std::size_t, std::size_t) { return false; };
    churn(Net, Duration::seconds(60), LastVersions);
    Net.LossRate = 0;
    Net.advance(Duration::seconds(40));
    CPPUNIT_ASSERT(Net.allViewsComplete());
    CPPUNIT_ASSERT(allDigestsEqual(Net));
  }

  /// Guards against a restarted node that stays invisible because its wall
  /// clock is behind, and against backend servers that remain from its earlier
  /// process.
  void restartWithLowerClockReplacesRecords() {
    TestNetwork Net(8, 61);
    auto Ready = BackendServerState::Ready;
    Net.Nodes[3].Core->publish(TestNetwork::server(3, "old", Ready), Net.Now);
    Net.advance(Duration::seconds(3));
    Net.Nodes[3] = Net.start(3, 5);
    Net.Nodes[3].Core->publish(TestNetwork::server(3, "new", Ready), Net.Now);
    Net.advance(Duration::seconds(15));
    CPPUNIT_ASSERT(Net.allViewsMatch(NoExcludedNode, [](const FleetView &View) {
      const ServiceView &Seats = *View.Services.at(ServiceName("seats"));
      return Seats.size() == 1 && Seats[0].Id.Name.str() == "new" &&
             Seats[0].Version.Incarnation == 1004 &&
             View.Nodes->at(TestNetwork::nodeName(3)).State == NodeState::Alive;
    }));
  }

  /// Guards against a flood of records when two processes use the same node
  /// name.
  void trafficOfDuplicateNodeNameIsBounded() {
    TestNetwork Net(6, 71);
    Net.Nodes.push_back(Net.start(5, 2000));
    Net.Nodes[6].Record.Address.Address = "10.0.0.6";
    NodeRecord Duplicate = Net.Nodes[6].Record;
    MembershipSettings Settings;
    Settings.Seeds = {{"10.0.0.0", 7000}};
    Net.Nodes[6].Core = valueOf(
        Membership::create(Settings, Duplicate, *Net.Nodes[6].Random, Net.Now));
    Net.DatagramBytes = 0;
    Net.advance(Duration::seconds(60));
    CPPUNIT_ASSERT(Net.Nodes[5].Core->counters().ForeignWrites > 0);
    CPPUNIT_ASSERT(Net.DatagramBytes < std::size_t(60) * 6 * 4000);
  }

  /// Guards against a peer that writes records of other nodes. The shared key
  /// does not distinguish nodes, so the owner detects the forged record and
  /// overwrites it.
  void forgedRecordsAreCorrected() {
    TestNetwork Net(10, 81);
    auto Ready = BackendServerState::Ready;
    Net.Nodes[3].Core->publish(TestNetwork::server(3, "s", Ready), Net.Now);
    Net.advance(Duration::seconds(3));
    Datagram Forged;
    Forged.Sender = TestNetwork::nodeName(9);
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
    // Because of the forged address, gossip does not reach the owner. The owner
    // learns of the forgery by anti-entropy after at most 11 s, and the
    // correction takes 3 s to spread.
    Net.advance(Duration::seconds(14));
    CPPUNIT_ASSERT(Net.Nodes[3].Core->counters().ForeignWrites >= 3);
    CPPUNIT_ASSERT(
        Net.allViewsMatch(NoExcludedNode, [&](const FleetView &View) {
          const ServiceView &Seats = *View.Services.at(ServiceName("seats"));
          return Seats.size() == 1 && Seats[0].State == Ready &&
                 View.Nodes->at(TestNetwork::nodeName(3)).Address.Address ==
                     "10.0.0.3";
        }));
    // A record with an equal version but other content does not replace the
    // known one.
    Forged.Changes.Nodes[0].Version =
        Net.Nodes[1].Core->view()->Nodes->at(Node.Name).Version;
    Net.Nodes[1].Core->receive(Forged, Node.Address, Net.Now);
    CPPUNIT_ASSERT(Net.Nodes[1].Core->counters().Conflicts > 0);
  }

  /// Guards against versions that are too high to be exceeded, with which a
  /// peer could take a name away from its owner permanently.
  void outOfRangeVersionsAreRejected() {
    TestNetwork Net(2, 91);
    Membership &Core = *Net.Nodes[0].Core;
    NodeRecord Node = Net.Nodes[1].Record;
    Node.Version = {std::uint64_t(1) << 63, 1};
    BackendServerRecord Server =
        TestNetwork::server(1, "s", BackendServerState::Ready);
    Server.Version = {1001, std::uint64_t(1) << 63};
    Core.apply({{Node}, {Server}, {}, {}}, Net.Now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Core.counters().Rejected);
    CPPUNIT_ASSERT(Core.view()->Services.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipFaultTest);

} // namespace
