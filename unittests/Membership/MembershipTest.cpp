#include "teaselhitch/Membership/Membership.h"

#include "TestNetwork.h"

using namespace teaselhitch;

namespace {

constexpr std::size_t NoExcludedNode = 1000;

/// Publishes Count ready backend servers on each node and waits until they have
/// spread.
void addServers(TestNetwork &Net, std::size_t Count) {
  for (std::size_t I = 0; I != Net.Nodes.size(); ++I)
    for (std::size_t S = 0; S != Count; ++S)
      Net.Nodes[I].Core->publish(
          TestNetwork::server(I, "seats-" + std::to_string(S),
                              BackendServerState::Ready),
          Net.Now);
  Net.advance(Duration::seconds(30));
}

const BackendServerRecord *findServer(const FleetView &View, std::size_t I,
                                      const std::string &Name) {
  auto It = View.Services.find(ServiceName("seats"));
  if (It == View.Services.end())
    return nullptr;
  for (const BackendServerRecord &Record : *It->second)
    if (Record.Id.Node == TestNetwork::nodeName(I) &&
        Record.Id.Name.str() == Name)
      return &Record;
  return nullptr;
}

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(killedNodeIsRemovedInTime);
  CPPUNIT_TEST(drainingBackendServerIsKnownInTime);
  CPPUNIT_TEST(snapshotsShareUnchangedServices);
  CPPUNIT_TEST(unchangedRecordIsNotSentAgain);
  CPPUNIT_TEST(leavingNodeIsNotSuspected);
  CPPUNIT_TEST(leavingNodeOffersNoBackendServers);
  CPPUNIT_TEST(startingNodeContactsAllSeeds);
  CPPUNIT_TEST(configHeadNeverReverts);
  CPPUNIT_TEST(headIsForwardedOnlyWithItsPieces);
  CPPUNIT_TEST(quarantinesReachEveryNode);
  CPPUNIT_TEST(invalidSettingsAreRejected);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against requests that still go to a killed node; the
  /// design allows at most 5 s.
  void killedNodeIsRemovedInTime() {
    for (std::uint64_t Seed : {1, 2, 3}) {
      TestNetwork Net(100, Seed);
      CPPUNIT_ASSERT(Net.allViewsComplete());
      for (std::size_t KilledNode : {17, 42, 63, 99}) {
        Net.Nodes[KilledNode].IsRunning = false;
        Duration Elapsed = Net.advanceUntil(Duration::seconds(20), [&] {
          return Net.removedFromAllViews(KilledNode);
        });
        CPPUNIT_ASSERT(Elapsed <= Duration::seconds(5));
      }
    }
  }

  /// Guards against new requests to a backend server that is stopping; the
  /// design allows at most 3 s.
  void drainingBackendServerIsKnownInTime() {
    TestNetwork Net(100, 4);
    addServers(Net, 1);
    for (std::size_t I : {5, 50, 95}) {
      Net.Nodes[I].Core->publish(
          TestNetwork::server(I, "seats-0", BackendServerState::Draining),
          Net.Now);
      Duration Elapsed = Net.advanceUntil(Duration::seconds(20), [&] {
        return Net.allViewsMatch(NoExcludedNode, [&](const FleetView &View) {
          return findServer(View, I, "seats-0")->State ==
                 BackendServerState::Draining;
        });
      });
      CPPUNIT_ASSERT(Elapsed <= Duration::seconds(3));
    }
  }

  /// Guards against snapshots whose cost grows with the size of the fleet.
  void snapshotsShareUnchangedServices() {
    TestNetwork Net(3, 5);
    addServers(Net, 2);
    Membership &Core = *Net.Nodes[0].Core;
    BackendServerRecord Other =
        TestNetwork::server(0, "refunds-0", BackendServerState::Ready);
    Other.Service = ServiceName("refunds");
    auto Before = Core.view();
    Core.publish(Other, Net.Now);
    auto After = Core.view();
    CPPUNIT_ASSERT(After != Before);
    CPPUNIT_ASSERT(After == Core.view());
    CPPUNIT_ASSERT(After->Nodes == Before->Nodes);
    CPPUNIT_ASSERT(After->Services.at(ServiceName("seats")) ==
                   Before->Services.at(ServiceName("seats")));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), After->Services.count(Other.Service));
    Other.State = BackendServerState::Gone;
    Core.publish(Other, Net.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Core.view()->Services.count(Other.Service));
  }

  /// Guards against a flood of gossip from a guard that repeats unchanged
  /// announcements every second.
  void unchangedRecordIsNotSentAgain() {
    TestNetwork Net(3, 6);
    addServers(Net, 1);
    auto Before = Net.Nodes[0].Core->digest();
    addServers(Net, 1);
    CPPUNIT_ASSERT(Before == Net.Nodes[0].Core->digest());
  }

  /// Guards against the loss of the state Leaving while the node finishes its
  /// requests, and against nodes that stay in the view after they exited.
  void leavingNodeIsNotSuspected() {
    TestNetwork Net(10, 7);
    Net.Nodes[3].Core->leave(Net.Now);
    Net.advance(Duration::seconds(20));
    CPPUNIT_ASSERT(Net.allViewsMatch(NoExcludedNode, [](const FleetView &View) {
      return View.Nodes->at(TestNetwork::nodeName(3)).State ==
             NodeState::Leaving;
    }));
    Net.Nodes[3].IsRunning = false;
    Net.advance(Duration::seconds(5));
    CPPUNIT_ASSERT(Net.removedFromAllViews(3));
  }

  /// Guards against requests and key requests that a node in shutdown, or its
  /// peers, still send to its guard, which refuses them.
  void leavingNodeOffersNoBackendServers() {
    TestNetwork Net(10, 9);
    addServers(Net, 1);
    Net.Nodes[3].Core->leave(Net.Now);
    CPPUNIT_ASSERT(!findServer(*Net.Nodes[3].Core->view(), 3, "seats-0"));
    Net.advance(Duration::seconds(3));
    CPPUNIT_ASSERT(Net.allViewsMatch(NoExcludedNode, [](const FleetView &View) {
      return !findServer(View, 3, "seats-0") && findServer(View, 4, "seats-0");
    }));
  }

  /// Guards against nodes that start at the same time and stay in separate
  /// groups: once one peer was known, the other seeds were rarely contacted,
  /// and the backend servers of the other group appeared after 10 s or more.
  void startingNodeContactsAllSeeds() {
    MembershipSettings Settings;
    Settings.Seeds = {{"10.0.0.1", 7000}, {"10.0.0.2", 7000}};
    NodeRecord Self;
    Self.Name = TestNetwork::nodeName(0);
    Self.Address = {"10.0.0.0", 7000};
    Self.Version = {1, 1};
    SeededRandom Random(1);
    Time Now(1000);
    auto Core = valueOf(Membership::create(Settings, Self, Random, Now));
    Datagram Hello;
    Hello.Kind = DatagramKind::Gossip;
    Hello.Sender = TestNetwork::nodeName(1);
    Hello.SenderIncarnation = 1;
    NodeRecord Peer = Self;
    Peer.Name = Hello.Sender;
    Peer.Address = Settings.Seeds[0];
    Hello.Changes.Nodes = {Peer};
    Core->tick(Now);
    Core->receive(Hello, Peer.Address, Now);
    unsigned Contacts = 0;
    unsigned Syncs = 0;
    for (Time End = Now + Duration(4900); Now < End; Now = Now + Duration(20))
      for (const MembershipAction &Action : Core->tick(Now)) {
        const auto *Out = std::get_if<SendDatagram>(&Action);
        Contacts += Out && Out->Destination == Settings.Seeds[1] ? 1 : 0;
        Syncs += std::holds_alternative<StartSync>(Action) ? 1 : 0;
      }
    CPPUNIT_ASSERT(Contacts >= 3);
    CPPUNIT_ASSERT(Syncs >= 3);
  }

  /// Guards against a configuration that reverts to an older version.
  void configHeadNeverReverts() {
    TestNetwork Net(10, 8);
    Net.Nodes[1].Core->publishHead({7, std::string(64, 'a')}, Net.Now);
    Net.Nodes[2].Core->publishHead({6, std::string(64, 'b')}, Net.Now);
    Net.advance(Duration::seconds(3));
    for (const TestNetwork::Node &N : Net.Nodes)
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), N.Core->digest().Head.Version);
  }

  /// Guards against nodes that forward a head before they have its pieces: the
  /// receivers would ask nodes for pieces that these do not have.
  void headIsForwardedOnlyWithItsPieces() {
    TestNetwork Net(10, 8);
    Net.AdoptsHeads = false;
    const ConfigHead Head{7, std::string(64, 'a')};
    Net.Nodes[1].Core->publishHead(Head, Net.Now);
    Net.advance(Duration::seconds(3));
    for (std::size_t I = 0; I != Net.Nodes.size(); ++I)
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(I == 1 ? 7 : 0),
                           Net.Nodes[I].Core->digest().Head.Version);
    Datagram Message;
    Message.Sender = NodeName("node-1");
    Message.SenderIncarnation = 1;
    Message.Changes.Head = Head;
    MembershipActions Actions = Net.Nodes[2].Core->receive(
        Message, Net.Nodes[1].Record.Address, Net.Now);
    CPPUNIT_ASSERT(std::find(Actions.begin(), Actions.end(),
                             MembershipAction(ConfigHeadUpdated{
                                 Head, NodeName("node-1")})) != Actions.end());
  }

  /// Guards against a crashing request that reaches nodes which were started
  /// after its quarantine.
  void quarantinesReachEveryNode() {
    TestNetwork Net(5, 9);
    Net.Nodes[1].Core->publishQuarantine({77, 600000, 0, false, {}}, Net.Now);
    Net.advance(Duration::seconds(60));
    Membership &Member = *Net.Nodes[0].Core;
    auto Parts = Member.deltasFor(Digest(), 100);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Parts.at(0).Quarantines.size());
    QuarantineRecord Quarantine = Parts[0].Quarantines[0];
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(77), Quarantine.Fingerprint);
    CPPUNIT_ASSERT(Quarantine.RemainingMs <= 542000 &&
                   Quarantine.RemainingMs >= 538000);
    auto Actions = Net.Nodes[2].Core->apply(
        {{}, {}, {{78, 5000, 0, false, {}}}, {}}, Net.Now);
    MembershipActions Expected = {QuarantineReceived{{78, 5000, 0, false, {}}}};
    CPPUNIT_ASSERT(Actions == Expected);
  }

  /// Guards against settings that make a node suspect all other nodes.
  void invalidSettingsAreRejected() {
    SeededRandom Random(1);
    NodeRecord Self;
    Self.Name = NodeName("a");
    Self.Version = {1, 1};
    auto IsAccepted = [&](const MembershipSettings &S, const NodeRecord &Own) {
      return handleError(
          [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(Membership::create(S, Own, Random, Time()));
            return true;
          },
          [](const Error &) { return false; });
    };
    MembershipSettings Good, Slow, Large;
    Slow.ProbeTimeout = Slow.ProbeInterval;
    Large.MaxDatagramBytes = 9000;
    CPPUNIT_ASSERT(IsAccepted(Good, Self));
    CPPUNIT_ASSERT(!IsAccepted(Slow, Self));
    CPPUNIT_ASSERT(!IsAccepted(Large, Self));
    CPPUNIT_ASSERT(!IsAccepted(Good, NodeRecord()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace
