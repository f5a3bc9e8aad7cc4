#include "../../lib/Integration/Announcement.h"
#include "../../lib/Node/ConfigFetcher.h"
#include "../../lib/Node/OutstandingAttempts.h"
#include "../../lib/Node/PeerTraffic.h"
#include "../../lib/Node/SharedState.h"
#include "../../lib/Node/SlotGrant.h"
#include "teaselhitch/Integration/Problem.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Seed = 17;

/// Returns the error of an announcement, or "ok".
std::string announcementError(const std::string &Text) {
  return handleError(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(parseAnnouncement(Text));
        return std::string("ok");
      },
      [](const Error &E) { return E.Message; });
}

/// Returns a valid announcement in which the text From is replaced by To.
std::string announcement(const std::string &From = "",
                         const std::string &To = "") {
  std::string Text = R"({"name":"b1","service":"seats",)"
                     R"("address":"127.0.0.1:80","slots":4,"incarnation":1,)"
                     R"("state":"ready","label":"v1","load":0.5})";
  std::size_t Offset = Text.find(From);
  CPPUNIT_ASSERT(Offset != std::string::npos);
  return Text.replace(Offset, From.size(), To);
}

/// Returns a view of the nodes n0 to n<Others>.
FleetView makeView(int Others) {
  FleetView View;
  auto Nodes = std::make_shared<std::map<NodeName, NodeRecord>>();
  for (int I = 0; I <= Others; ++I) {
    NodeRecord Node;
    Node.Name = NodeName("n" + std::to_string(I));
    Nodes->emplace(Node.Name, Node);
  }
  View.Nodes = Nodes;
  return View;
}

class NodePartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodePartsTest);
  CPPUNIT_TEST(announcementErrorsNameField);
  CPPUNIT_TEST(lostLinkFailsOutstandingAttempts);
  CPPUNIT_TEST(piecesAreFetchedFromPeersBeforeStore);
  CPPUNIT_TEST(singleNodeFetchesFromStore);
  CPPUNIT_TEST(piecesAreFetchedFromHolders);
  CPPUNIT_TEST(unreachableHoldersAreAvoided);
  CPPUNIT_TEST(seriesOfChangesBecomesOverdue);
  CPPUNIT_TEST(problemResponseHasReasonAndOutcome);
  CPPUNIT_TEST(grantEndsDuringPause);
  CPPUNIT_TEST(sentBytesAreCountedByKind);
  CPPUNIT_TEST(grantOutlastsTheArrivalOfABody);
  CPPUNIT_TEST(grantedMemoryIsTakenOnce);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a process that was paused between its grant and the arrival
  /// of the request, and then runs the request although the grant or the
  /// deadline has expired, or hands the backend server more time than is left.
  void grantEndsDuringPause() {
    SlotGrant Slot{Time(1000), Time(3000)};
    CPPUNIT_ASSERT(Slot.remaining(Duration(1990), Time(1010)) ==
                   Duration(1990));
    CPPUNIT_ASSERT(Slot.remaining(Duration(1990), Time(1200)) ==
                   Duration(1800));
    CPPUNIT_ASSERT(Slot.remaining(Duration(1990), Time(6000)) == Duration());
    SlotGrant Short{Time(1000), Time(1100)};
    CPPUNIT_ASSERT(Short.remaining(Duration(90), Time(1150)) == Duration());
    CPPUNIT_ASSERT(Slot.remaining(Duration(-5), Time(1010)) == Duration());
  }

  /// Guards against a large body that is refused because it takes longer to
  /// arrive than a grant is held, and against a run beyond its deadline.
  void grantOutlastsTheArrivalOfABody() {
    SlotGrant Slot{Time(1000), Time(30000)};
    Slot.IsArriving = true;
    CPPUNIT_ASSERT(!Slot.isExpired(Time(20000)));
    CPPUNIT_ASSERT(Slot.remaining(Duration(29000), Time(20000)) ==
                   Duration(10000));
    CPPUNIT_ASSERT(Slot.remaining(Duration(29000), Time(30001)) == Duration());
  }

  /// Guards against memory that stays reserved after a grant has ended, and
  /// against a request that uses the reservation of an ended grant.
  void grantedMemoryIsTakenOnce() {
    MemoryBudget Budget;
    GrantedBodies Granted;
    AttemptId First{RequestId{NodeName("n1"), 1, 1}, 1};
    AttemptId Second{RequestId{NodeName("n1"), 1, 1}, 2};
    Granted.add(First, std::move(*Budget.reserve(100000)));
    CPPUNIT_ASSERT(!Granted.take(Second));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100000), Budget.held());
    CPPUNIT_ASSERT(Granted.take(First));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Budget.held());
    CPPUNIT_ASSERT(!Granted.take(First));
  }

  /// Guards against announcements that are accepted although a field is
  /// invalid, and against errors that do not name the field.
  void announcementErrorsNameField() {
    struct Case {
      const char *From;
      const char *To;
      const char *Expected;
    };
    const Case Cases[] = {
        {"", "", "ok"},
        {"4", "-4", "slots: expected a whole number from 0"},
        {"4", "4294967296", "slots: too large"},
        {"\"ready\"", "\"up\"",
         "state: unknown value 'up', expected starting, ready or draining"},
        {"127.0.0.1:80", "host:80",
         "address: 'host:80' is not an IP address and port"},
        {"label", "lable", "unknown field 'lable', did you mean 'label'?"},
        {"0.5", "\"x\"", "load: expected a number"},
        {"\"seats\"", "7", "service: expected a text"},
    };
    for (const Case &C : Cases)
      CPPUNIT_ASSERT_EQUAL(std::string(C.Expected),
                           announcementError(announcement(C.From, C.To)));
    CPPUNIT_ASSERT_EQUAL(std::string("the body is not a JSON object"),
                         announcementError("["));
  }

  /// Guards against attempts that never end after their link is lost, and
  /// against the outcome "unknown" for attempts that were never sent.
  void lostLinkFailsOutstandingAttempts() {
    for (bool WasOpen : {true, false}) {
      OutstandingAttempts Outstanding;
      Dispatch First;
      First.Info.Attempt.Request.Sequence = 1;
      Dispatch Second;
      Second.Info.Attempt.Request.Sequence = 2;
      NodeName Guard("n1");
      Outstanding.recordSent(Guard, First);
      Outstanding.recordSent(Guard, Second);
      Outstanding.recordSent(Guard, MintKey{7, ServiceName("s")});
      AttemptAnswer Answer;
      Answer.Attempt = First.Info.Attempt;
      Outstanding.recordAnswer(Guard, Answer);
      std::vector<EntryMessage> Lost = Outstanding.takeLost(Guard, WasOpen);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), Lost.size());
      const auto &Failure = std::get<AttemptFailed>(Lost[0]);
      CPPUNIT_ASSERT(Failure.Attempt == Second.Info.Attempt);
      CPPUNIT_ASSERT(Failure.Result ==
                     (WasOpen ? Outcome::Unknown : Outcome::NotRun));
      CPPUNIT_ASSERT(std::get<KeyMinted>(Lost[1]).Key.empty());
      CPPUNIT_ASSERT(Outstanding.takeLost(Guard, WasOpen).empty());
    }
  }

  /// Guards against a fleet whose nodes all read a new configuration from the
  /// object store at once, and against a node that never reads from the store.
  void piecesAreFetchedFromPeersBeforeStore() {
    SeededRandom Random(Seed);
    FleetView View = makeView(5);
    ConfigFetcher Fetcher(NodeName("n0"), true);
    PieceHash Hash(64, 'a');
    std::vector<PieceFetch> First = Fetcher.handleHead(
        ConfigHead{1, Hash}, NodeName("n3"), View, Random, Time(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), First.size());
    CPPUNIT_ASSERT(First[0].Peer && First[0].Peer->Name == NodeName("n3"));
    std::vector<PieceFetch> Second =
        Fetcher.handleMissingPiece(Hash, View, Random, Time(0));
    CPPUNIT_ASSERT(Second.size() == 1 && Second[0].Peer);
    std::vector<PieceFetch> Third =
        Fetcher.handleMissingPiece(Hash, View, Random, Time(0));
    CPPUNIT_ASSERT(Third.size() == 1 && !Third[0].Peer);
    // A complete round failed; the next try follows after the retry interval.
    CPPUNIT_ASSERT(
        Fetcher.handleMissingPiece(Hash, View, Random, Time(0)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Fetcher.tick(View, Random, Time(1000)).size());
  }

  /// Guards against the first node of a fleet waiting for pieces from other
  /// nodes.
  void singleNodeFetchesFromStore() {
    SeededRandom Random(Seed);
    ConfigFetcher Fetcher(NodeName("n0"), true);
    std::vector<PieceFetch> Fetches =
        Fetcher.handleHead(ConfigHead{1, PieceHash(64, 'a')}, NodeName(),
                           makeView(0), Random, Time(0));
    CPPUNIT_ASSERT(Fetches.size() == 1 && !Fetches[0].Peer);
  }

  /// Pattern: a configuration reaches most nodes by gossip, and the object
  /// store does not have its pieces. Guards against fetches from nodes that do
  /// not have them yet, and from the store.
  void piecesAreFetchedFromHolders() {
    SeededRandom Random(Seed);
    FleetView View = makeView(50);
    ConfigFetcher Fetcher(NodeName("n0"), false);
    ConfigHead Head{4, PieceHash(64, 'a')};
    auto First = Fetcher.handleHead(Head, NodeName("n7"), View, Random, Time());
    CPPUNIT_ASSERT(First.at(0).Peer->Name == NodeName("n7"));
    CPPUNIT_ASSERT(
        Fetcher.handleHead(Head, NodeName("n9"), View, Random, Time()).empty());
    // An older version says nothing about the pieces of the newest one.
    Fetcher.handleHead({3, PieceHash(64, 'b')}, NodeName("n8"), View, Random,
                       Time());
    auto Second =
        Fetcher.handleMissingPiece(Head.ManifestHash, View, Random, Time());
    CPPUNIT_ASSERT(Second.at(0).Peer->Name == NodeName("n9"));
    for (int I = 0; I != 20; ++I)
      for (const PieceFetch &Next :
           Fetcher.tick(View, Random, Time(1000 + 1000 * I)))
        CPPUNIT_ASSERT(Next.Peer && Next.Peer->Name != NodeName("n0"));
  }

  /// Pattern: the path to a node is cut in one direction, so its gossip arrives
  /// and requests to it get no answer. Guards against a configuration that is
  /// late because each of its pieces is first requested from that node.
  void unreachableHoldersAreAvoided() {
    SeededRandom Random(Seed);
    FleetView View = makeView(50);
    ConfigFetcher Fetcher(NodeName("n0"), false);
    ObjectSet Objects;
    Objects.Organisations = {{OrganisationName("o"), 1}};
    PieceSet Set = splitIntoPieces(Objects);
    ConfigHead Head{4, Set.ManifestHash};
    auto First = Fetcher.handleHead(Head, NodeName("n7"), View, Random, Time());
    CPPUNIT_ASSERT(First.at(0).Peer->Name == NodeName("n7"));
    Fetcher.handleHead(Head, NodeName("n9"), View, Random, Time());
    Time Now = Time() + ConfigAdoption::RefetchInterval;
    std::vector<PieceFetch> Next = Fetcher.tick(View, Random, Now);
    std::size_t Steps = 0;
    while (!Next.empty()) {
      CPPUNIT_ASSERT(Next.front().Peer->Name == NodeName("n9"));
      PieceHash Hash = Next.front().Hash;
      Next = Fetcher.handlePiece(Hash, Set.Pieces.at(Hash), View, Random, Now);
      ++Steps;
    }
    CPPUNIT_ASSERT_EQUAL(Set.Pieces.size(), Steps);
    CPPUNIT_ASSERT_EQUAL(Head.Version, Fetcher.head().Version);
    CPPUNIT_ASSERT(!Fetcher.isOverdue(Now + Duration::seconds(9)));

    // The next version starts with the node that answered.
    Objects.Organisations.front().Share = 2;
    Set = splitIntoPieces(Objects);
    for (const char *Holder : {"n7", "n9"})
      Next = Fetcher.handleHead({5, Set.ManifestHash}, NodeName(Holder), View,
                                Random, Now);
    for (const PieceFetch &Fetch : Next)
      CPPUNIT_ASSERT(Fetch.Peer->Name != NodeName("n7"));
  }

  /// Pattern: changes in quick succession, each of which arrives before the
  /// pieces of the one before. Guards against a node that falls behind for as
  /// long as the series lasts.
  void seriesOfChangesBecomesOverdue() {
    SeededRandom Random(Seed);
    FleetView View = makeView(5);
    ConfigFetcher Fetcher(NodeName("n0"), false);
    CPPUNIT_ASSERT(!Fetcher.isOverdue(Time(5000)));
    for (int I = 0; I != 10; ++I)
      Fetcher.handleHead({static_cast<std::uint64_t>(I + 1),
                          PieceHash(64, static_cast<char>('a' + I))},
                         NodeName("n3"), View, Random, Time(100.0 * I));
    CPPUNIT_ASSERT(!Fetcher.isOverdue(Time(200)));
    CPPUNIT_ASSERT(Fetcher.isOverdue(Time(900)));
  }

  /// Guards against metrics that name another kind of message than the one that
  /// was sent, and against bytes that cross and do not count as such.
  void sentBytesAreCountedByKind() {
    MetricRegistry Metrics;
    PeerTraffic Traffic(Metrics);
    Traffic.countDatagram(DatagramKind::ProbeAck, false, 11);
    Traffic.countDatagram(DatagramKind::Gossip, true, 22);
    Traffic.countFrame(PeerMessage(Offer()).index(), true, 33);
    Traffic.countFrame(PeerMessage(AttemptAnswer()).index(), false, 44);
    std::string Text = Metrics.render();
    for (const char *Line : {"kind=\"probe-ack\",crossing=\"no\"} 11\n",
                             "kind=\"gossip\",crossing=\"yes\"} 22\n",
                             "kind=\"offer\",crossing=\"yes\"} 33\n",
                             "kind=\"attempt-answer\",crossing=\"no\"} 44\n",
                             "kind=\"dispatch\",crossing=\"yes\"} 0\n"})
      CPPUNIT_ASSERT(Text.find(Line) != std::string::npos);
  }

  /// Guards against refusals without a status, outcome and reason that callers
  /// can interpret.
  void problemResponseHasReasonAndOutcome() {
    HttpAnswer Answer =
        makeProblem(Reason::QueueFull, Outcome::NotRun, "id", Duration(1500));
    CPPUNIT_ASSERT_EQUAL(503U, Answer.Status);
    const HeaderList Expected = {{"Content-Type", "application/problem+json"},
                                 {"Teaselhitch-Outcome", "not-run"},
                                 {"Teaselhitch-Reason", "queue-full"},
                                 {"Teaselhitch-Request-Id", "id"},
                                 {"Retry-After", "2"}};
    CPPUNIT_ASSERT(Answer.Headers == Expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodePartsTest);

} // namespace
