#include "teaselhitch/Guard/DepartureRecords.h"

#include "GuardFixture.h"
#include "teaselhitch/Platform/MemoryStores.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

using namespace teaselhitch;

namespace {

using S = std::string;

constexpr Duration Step = Duration(20);
const BackendServerName W1("w1");

/// The store and the peers of a node, which outlive its processes.
struct Surroundings {
  std::unique_ptr<MemoryTableStore> Store =
      std::make_unique<MemoryTableStore>();
  bool IsStoreAway = false;
  /// Counts restores from an older copy.
  std::uint64_t StoreIncarnation = 1;
  std::map<NodeName, DepartureKeeper> Peers;
  /// Peers whose process was started again.
  std::map<NodeName, std::uint64_t> PeerIncarnations;
  std::set<NodeName> Unreachable;
  Time Now;

  explicit Surroundings(int PeerCount = 4) {
    for (int I = 0; I != PeerCount; ++I)
      Peers[NodeName("p" + std::to_string(I))];
  }

  FleetView view() const {
    auto Nodes = std::make_shared<std::map<NodeName, NodeRecord>>();
    NodeRecord Self;
    Self.Name = NodeName("n1");
    Nodes->emplace(Self.Name, Self);
    for (const auto &[Name, Keeper] : Peers) {
      NodeRecord Record;
      Record.Name = Name;
      auto It = PeerIncarnations.find(Name);
      Record.Version.Incarnation =
          It == PeerIncarnations.end() ? 1 : It->second;
      Nodes->emplace(Name, Record);
    }
    FleetView View;
    View.Nodes = std::move(Nodes);
    return View;
  }
  /// The process of a peer ends, and another one starts.
  void restartPeer(const NodeName &Name) {
    Peers[Name] = DepartureKeeper();
    ++PeerIncarnations.try_emplace(Name, 1).first->second;
  }
  void loseStore() {
    Store = std::make_unique<MemoryTableStore>();
    ++StoreIncarnation;
  }
};

GuardSettings holdingSettings() {
  GuardSettings Settings = GuardFixture::settings();
  Settings.HoldsServers = true;
  return Settings;
}

/// The guard and the records of one process of the node n1.
struct Process {
  Surroundings &Around;
  GuardFixture F{holdingSettings()};
  DepartureRecords Records{NodeName("n1"), false};
  std::uint64_t KnownStore;
  bool HasAdmitted = false;
  std::uint64_t LastRequest = 0;

  explicit Process(Surroundings &S)
      : Around(S), KnownStore(S.StoreIncarnation) {
    Records.updateView(S.view(), S.Now);
    step();
  }

  void keep(const GuardActions &Actions) {
    for (const KeepDeparture &K : filterActions<KeepDeparture>(Actions))
      Records.record(K.Server);
  }
  void depart(std::optional<std::uint64_t> Incarnation = 5) {
    F.Now = Around.Now;
    keep(F.G->drainServer(W1, Incarnation, Around.Now));
  }
  void announce(std::uint64_t Sequence, std::uint64_t Incarnation = 5,
                BackendServerState State = BackendServerState::Ready) {
    Announcement A = GuardFixture::announcement("w1", 3, Incarnation);
    A.Sequence = Sequence;
    A.State = State;
    F.Now = Around.Now;
    keep(F.announce(A));
  }
  void restore(const std::vector<DepartedServer> &Restored) {
    F.G->restoreDepartures(Restored, Around.Now);
  }
  void notice() {
    Records.reply({0, TableStatus::StoreRestored, {}, Around.StoreIncarnation},
                  Around.Now);
    KnownStore = Around.StoreIncarnation;
  }

  /// Sends the requests that are due; replies arrive at once.
  void step() {
    DepartureRecords::Requests Due = Records.tick(Around.Now);
    if (Due.Store && Around.IsStoreAway) {
      Records.reply({Due.Store->Token, TableStatus::Unavailable, {}},
                    Around.Now);
    } else if (Due.Store) {
      if (KnownStore != Around.StoreIncarnation)
        notice();
      else
        restore(Records.reply(runTableRequest(*Around.Store, *Due.Store),
                              Around.Now));
    }
    for (const NodeName &Name : Due.Peers) {
      auto It = Around.Peers.find(Name);
      if (It == Around.Peers.end() || Around.Unreachable.count(Name) != 0)
        continue;
      DepartureSet Kept =
          It->second.keep(NodeName("n1"), Records.departures(), Around.Now);
      restore(Records.reply(Name, DepartureCopyKept{Kept.servers()}));
    }
    if (!HasAdmitted && Records.isRead(Around.Now)) {
      HasAdmitted = true;
      F.G->admitServers(Around.Now);
    }
  }
  void run(Duration Period) {
    for (Time End = Around.Now + Period; Around.Now < End;) {
      Around.Now = Around.Now + Step;
      step();
    }
  }
  /// Waits for the reply to the departure of the incarnation 5 and returns it
  /// with the delay.
  std::pair<DepartureReply, Duration> awaitReply() {
    Time Begin = Around.Now;
    step();
    for (;;) {
      DepartureReply Reply = Records.replyFor({W1, 5}, Begin, Around.Now);
      if (Reply != DepartureReply::Wait)
        return {Reply, Around.Now - Begin};
      run(Step);
    }
  }
  bool isUsed() {
    F.Now = Around.Now;
    return text(F.dispatch(F.info(++LastRequest))).rfind("start", 0) == 0;
  }
};

class DepartureRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DepartureRecordsTest);
  CPPUNIT_TEST(departureDuringOutageOutlivesKill);
  CPPUNIT_TEST(restoredStoreForgetsNothing);
  CPPUNIT_TEST(departureWithoutRecordIsRefused);
  CPPUNIT_TEST(oneKindOfRecordSuffices);
  CPPUNIT_TEST(calmDepartureIsAcknowledgedAtOnce);
  CPPUNIT_TEST(laterRunIsUsedDuringOutage);
  CPPUNIT_TEST(lonelyNodeServes);
  CPPUNIT_TEST(startOfAllNodesHoldsShortly);
  CPPUNIT_TEST(lateRecordsStillTakeEffect);
  CPPUNIT_TEST(copiesFollowThePeers);
  CPPUNIT_TEST(firstStartHoldsNothing);
  CPPUNIT_TEST(oldCopiesStopNoLaterRun);
  CPPUNIT_TEST(copiesAreJoinedInAnyOrder);
  CPPUNIT_TEST(keeperIsBounded);
  CPPUNIT_TEST(fullCopiesAgree);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a departure that was acknowledged while the store was away
  /// and is forgotten when the node is killed. The late announcement arrives
  /// before or after the next process has read anything.
  void departureDuringOutageOutlivesKill() {
    for (bool SaysDraining : {false, true})
      for (bool IsBackForStart : {false, true})
        for (Duration Late : {Duration(), Duration(500), Duration(2500)}) {
          Surroundings Around;
          {
            Process First(Around);
            First.run(Duration::seconds(1));
            First.announce(5);
            CPPUNIT_ASSERT(First.isUsed());
            Around.IsStoreAway = true;
            if (SaysDraining)
              First.announce(7, 5, BackendServerState::Draining);
            else
              First.depart();
            CPPUNIT_ASSERT(!First.isUsed());
            CPPUNIT_ASSERT(First.awaitReply().first ==
                           DepartureReply::Acknowledge);
          }
          Around.IsStoreAway = !IsBackForStart;
          Process Next(Around);
          Next.run(Late);
          Next.announce(6);
          for (int I = 0; I != 10; ++I) {
            CPPUNIT_ASSERT(!Next.isUsed());
            Next.run(Duration(500));
          }
        }
  }

  /// Guards against a departure that the store has lost in a restore and that
  /// is forgotten when the node ends, before or after it has noticed the
  /// restore.
  void restoredStoreForgetsNothing() {
    for (int Restores : {1, 2})
      for (bool IsNoticed : {false, true}) {
        Surroundings Around;
        {
          Process First(Around);
          First.announce(5);
          First.depart();
          First.run(Duration::seconds(1));
          CPPUNIT_ASSERT(First.Records.isComplete());
          for (int I = 0; I != Restores; ++I) {
            Around.loseStore();
            if (!IsNoticed)
              continue;
            First.notice();
            CPPUNIT_ASSERT(!First.Records.isComplete());
            First.run(Duration::seconds(1));
            CPPUNIT_ASSERT(First.Records.isComplete());
          }
        }
        Process Next(Around);
        Next.announce(6);
        Next.run(Duration::seconds(4));
        CPPUNIT_ASSERT(!Next.isUsed());
        // The next process has written the row again.
        CPPUNIT_ASSERT(Around.Store->read("departures", "n1").value());
      }
  }

  /// Guards against an acknowledgement of a departure that only the process
  /// knows: the store is away, and too few peers have a copy.
  void departureWithoutRecordIsRefused() {
    for (std::size_t Reached : {0, 1}) {
      Surroundings Around(3);
      for (const auto &[Name, Keeper] : Around.Peers)
        if (Around.Unreachable.size() + Reached != Around.Peers.size())
          Around.Unreachable.insert(Name);
      Around.IsStoreAway = true;
      Process P(Around);
      P.run(Duration::seconds(4));
      P.announce(5);
      P.depart();
      auto [Reply, Delay] = P.awaitReply();
      CPPUNIT_ASSERT(Reply == DepartureReply::Refuse);
      CPPUNIT_ASSERT(Delay < Duration::seconds(1));
      CPPUNIT_ASSERT(!P.isUsed());
      // The next call is acknowledged once the store is back.
      Around.IsStoreAway = false;
      P.run(Duration::seconds(1));
      CPPUNIT_ASSERT(P.awaitReply().first == DepartureReply::Acknowledge);
    }
  }

  /// Guards against workers that wait for an acknowledgement during an outage
  /// of the store, or on a node that reaches no other.
  void oneKindOfRecordSuffices() {
    for (bool IsStoreAway : {false, true}) {
      Surroundings Around(3);
      Around.IsStoreAway = IsStoreAway;
      if (!IsStoreAway)
        for (const auto &[Name, Keeper] : Around.Peers)
          Around.Unreachable.insert(Name);
      Process P(Around);
      P.run(Duration::seconds(4));
      P.announce(5);
      P.depart();
      auto [Reply, Delay] = P.awaitReply();
      CPPUNIT_ASSERT(Reply == DepartureReply::Acknowledge);
      CPPUNIT_ASSERT(Delay < Duration::seconds(1));
    }
  }

  /// Guards against an acknowledgement that waits although all is recorded, in
  /// fleets of any size.
  void calmDepartureIsAcknowledgedAtOnce() {
    for (int PeerCount : {0, 1, 2, 3, 30}) {
      Surroundings Around(PeerCount);
      Process P(Around);
      P.run(Duration::seconds(2));
      P.announce(5);
      CPPUNIT_ASSERT(P.isUsed());
      P.depart();
      auto [Reply, Delay] = P.awaitReply();
      CPPUNIT_ASSERT(Reply == DepartureReply::Acknowledge);
      CPPUNIT_ASSERT(Delay <= Step);
    }
  }

  /// Guards against a departure that locks out a later run of the backend
  /// server, also if the store is away.
  void laterRunIsUsedDuringOutage() {
    for (bool IsStoreAway : {false, true}) {
      Surroundings Around;
      {
        Process First(Around);
        First.announce(5);
        First.depart();
        First.run(Duration::seconds(1));
        Around.IsStoreAway = IsStoreAway;
        First.announce(1, 6);
        CPPUNIT_ASSERT(First.isUsed());
      }
      Process Next(Around);
      Next.announce(2, 6);
      Next.run(Duration::seconds(1));
      CPPUNIT_ASSERT(Next.isUsed());
    }
  }

  /// Guards against a node that never serves because it can read the records
  /// neither from the store nor from a peer.
  void lonelyNodeServes() {
    for (int PeerCount : {0, 3}) {
      Surroundings Around(PeerCount);
      Around.IsStoreAway = true;
      for (const auto &[Name, Keeper] : Around.Peers)
        Around.Unreachable.insert(Name);
      Process P(Around);
      P.announce(5);
      CPPUNIT_ASSERT(!P.isUsed());
      P.run(Duration::seconds(3) + Step);
      CPPUNIT_ASSERT(P.isUsed());
      CPPUNIT_ASSERT(!P.Records.isReadCompletely());
    }
  }

  /// Guards against a fleet that serves nobody for most of a second after all
  /// nodes have lost power, because the choice of peers changes with each node
  /// that appears, or because a chosen peer has not started yet.
  void startOfAllNodesHoldsShortly() {
    for (bool IsPeerAway : {false, true}) {
      Surroundings Around(0);
      Process P(Around);
      P.announce(5);
      constexpr int Nodes = 20;
      for (int I = 0; I != Nodes; ++I) {
        NodeName Peer("p" + std::to_string(I));
        Around.Peers.try_emplace(Peer);
        if (IsPeerAway)
          Around.Unreachable.insert(Peer);
        P.Records.updateView(Around.view(), Around.Now);
        P.run(Step);
        if (I == Nodes / 2)
          CPPUNIT_ASSERT(P.isUsed() != IsPeerAway);
      }
      P.run(Duration(500) - Step * Nodes + Step);
      CPPUNIT_ASSERT(P.isUsed());
    }
  }

  /// Guards against a record that is ignored because it was read after the
  /// process had begun to use the backend server.
  void lateRecordsStillTakeEffect() {
    Surroundings Around;
    {
      Process First(Around);
      First.announce(5);
      First.depart();
      First.run(Duration::seconds(1));
    }
    Around.IsStoreAway = true;
    for (const auto &[Name, Keeper] : Around.Peers)
      Around.Unreachable.insert(Name);
    Process Next(Around);
    Next.announce(6);
    Next.run(Duration::seconds(4));
    CPPUNIT_ASSERT(Next.isUsed());
    Around.Unreachable.clear();
    Next.run(Duration::seconds(1));
    CPPUNIT_ASSERT(!Next.isUsed());
  }

  /// Guards against copies that are lost one after the other because the peers
  /// are stopped and started in turn.
  void copiesFollowThePeers() {
    Surroundings Around(6);
    Around.IsStoreAway = true;
    {
      Process First(Around);
      First.announce(5);
      First.depart();
      First.run(Duration::seconds(1));
      for (const auto &[Name, Keeper] : Around.Peers) {
        Around.restartPeer(Name);
        First.Records.updateView(Around.view(), Around.Now);
        First.run(Duration(500));
        CPPUNIT_ASSERT(First.awaitReply().first == DepartureReply::Acknowledge);
      }
    }
    Process Next(Around);
    Next.announce(6);
    Next.run(Duration::seconds(4));
    CPPUNIT_ASSERT(!Next.isUsed());
  }

  /// Guards against a wait for records when the whole fleet starts.
  void firstStartHoldsNothing() {
    DepartureRecords Records(NodeName("n1"), true);
    CPPUNIT_ASSERT(Records.isRead(Time()));
    CPPUNIT_ASSERT(!Records.tick(Time()).Store);
  }

  /// Guards against a departure without an incarnation that a peer or the store
  /// still has, and that stops a later run of the backend server.
  void oldCopiesStopNoLaterRun() {
    for (bool IsInStore : {false, true}) {
      Surroundings Around(1);
      {
        Process First(Around);
        First.depart(std::nullopt);
        First.run(Duration::seconds(1));
      }
      if (IsInStore)
        Around.Peers.clear();
      else
        Around.loseStore();
      Around.IsStoreAway = true;
      Around.Unreachable = {NodeName("p0")};
      Process Next(Around);
      Next.run(Duration::seconds(40));
      Next.announce(1, 6);
      Around.IsStoreAway = false;
      Around.Unreachable.clear();
      Next.depart(4);
      Next.run(Duration::seconds(2));
      CPPUNIT_ASSERT(Next.isUsed());
    }
  }

  /// Guards against copies whose meaning depends on the order in which they are
  /// read.
  void copiesAreJoinedInAnyOrder() {
    const std::vector<DepartedServer> Servers = {
        {W1, 5}, {W1, {}}, {W1, 7}, {BackendServerName("w2"), 1}};
    DepartureSet Forward(Servers);
    DepartureSet Backward(
        std::vector<DepartedServer>(Servers.rbegin(), Servers.rend()));
    CPPUNIT_ASSERT(Forward.coversAll(Backward));
    CPPUNIT_ASSERT(Backward.coversAll(Forward));
    CPPUNIT_ASSERT(Forward.covers({W1, 6}));
    CPPUNIT_ASSERT(!Forward.covers({W1, 8}));
    CPPUNIT_ASSERT(!Forward.covers({BackendServerName("w2"), {}}));
    DepartureSet Full;
    for (std::size_t I = 0; I != MaxDepartedServers + 1; ++I)
      Full.join({BackendServerName("s" + std::to_string(I)), 1});
    CPPUNIT_ASSERT_EQUAL(MaxDepartedServers, Full.servers().size());
    CPPUNIT_ASSERT(!Full.covers({BackendServerName("s0"), 1}));
  }

  /// Guards against sets that are sent again and again, because a peer drops a
  /// part of what it is sent to keep older departures.
  void fullCopiesAgree() {
    Surroundings Around(2);
    for (int Generation = 0; Generation != 3; ++Generation) {
      Process P(Around);
      P.run(Duration::seconds(1));
      for (std::size_t I = 0; I != MaxDepartedServers; ++I)
        P.Records.record(
            {BackendServerName(
                 "s" +
                 std::to_string(I + static_cast<std::size_t>(Generation) * 40)),
             5});
      P.run(Duration::seconds(1));
      CPPUNIT_ASSERT(P.Records.isComplete());
      CPPUNIT_ASSERT(P.Records.tick(Around.Now).Peers.empty());
    }
  }

  /// Guards against a peer whose memory grows with what others send.
  void keeperIsBounded() {
    DepartureKeeper Keeper;
    const std::vector<DepartedServer> Servers = {{W1, 5}};
    constexpr int Owners = 3000;
    int Kept = 0;
    for (int I = 0; I != Owners; ++I)
      Kept += Keeper.keep(NodeName("n" + std::to_string(I)), Servers, Time())
                      .empty()
                  ? 0
                  : 1;
    CPPUNIT_ASSERT_EQUAL(2048, Kept);
    Keeper.expire(Time() + Duration::seconds(601));
    CPPUNIT_ASSERT(Keeper.keep(NodeName("n0"), {}, Time()).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartureRecordsTest);

} // namespace
