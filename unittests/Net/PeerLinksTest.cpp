#include "teaselhitch/Net/PeerLinks.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <arpa/inet.h>
#include <functional>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace teaselhitch;

namespace {

/// More than the buffers of a connection hold, so that a part of the body is
/// still unsent when its first bytes arrive.
constexpr std::size_t BodyBytes = 16UL * 1024 * 1024;

Dispatch largeDispatch() {
  Dispatch D;
  D.Info.Attempt = AttemptId{RequestId{NodeName("a"), 7, 8}, 2};
  D.Info.BodyBytes = BodyBytes;
  D.Request.Method = "POST";
  D.Request.Target = "/";
  D.Request.Body = std::string(BodyBytes, 'b');
  return D;
}

/// One side of a link with its own port; records the events that it receives.
class TestPeer : public PeerLinksHandler {
public:
  TestPeer(EventLoop &Loop, const char *Name, const char *Fleet = "fleet") {
    PeerLinksSettings Settings;
    Settings.Listen = {"127.0.0.1", 0};
    Settings.LocalHello.Fleet = Fleet;
    Settings.LocalHello.Node = NodeName(Name);
    Settings.Memory = &Memory;
    handleError(
        [&]() -> Result<int> {
          BOOST_LEAF_ASSIGN(Links, PeerLinks::create(Loop, Settings, *this));
          return 0;
        },
        [](const Error &E) {
          CPPUNIT_FAIL(E.Message);
          return 0;
        });
    Address = {"127.0.0.1", Links->port()};
  }

  void onGuardMessage(const NodeName &, PeerMessage Message) override {
    Replies.push_back(std::move(Message));
    notify();
  }
  void onEntryMessage(LinkId Link, const NodeName &Node,
                      PeerMessage Message) override {
    Requests.push_back(std::move(Message));
    LastLink = Link;
    LastNode = Node;
    notify();
  }
  void onGuardDisconnect(const NodeName &, bool WasOpen) override {
    ++GuardDisconnects;
    LastWasOpen = WasOpen;
    notify();
  }
  void onEntryDisconnect(LinkId) override {
    ++EntryDisconnects;
    notify();
  }
  std::optional<MemoryBudget::Reservation>
  takeGrantedMemory(const AttemptId &) override {
    if (!IsGranted)
      return std::nullopt;
    auto Reserved = Memory.reserve(BodyBytes);
    notify();
    return Reserved;
  }

  void notify() const {
    if (OnChange)
      OnChange();
  }

  Endpoint Address;
  MemoryBudget Memory;
  /// Whether dispatches with large bodies find their grant.
  bool IsGranted = true;
  std::unique_ptr<PeerLinks> Links;
  std::vector<PeerMessage> Replies;
  std::vector<PeerMessage> Requests;
  LinkId LastLink = 0;
  NodeName LastNode;
  int GuardDisconnects = 0;
  int EntryDisconnects = 0;
  bool LastWasOpen = true;
  std::function<void()> OnChange;
};

class PeerLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLinksTest);
  CPPUNIT_TEST(repliesUseTheSameLink);
  CPPUNIT_TEST(disconnectTellsWhetherTheLinkWasOpen);
  CPPUNIT_TEST(refusesOtherFleets);
  CPPUNIT_TEST(silentLinkCloses);
  CPPUNIT_TEST(largeBodyIsCountedUntilItIsDropped);
  CPPUNIT_TEST(bodyWithoutGrantIsRefused);
  CPPUNIT_TEST(answerWithoutMemoryFailsAttempt);
  CPPUNIT_TEST(lostLinkReleasesItsMemory);
  CPPUNIT_TEST(stalledBodyReleasesItsMemory);
  CPPUNIT_TEST(stalledPeerHoldsABoundedAmount);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against replies that are sent on another link than their request.
  void repliesUseTheSameLink() {
    EventLoop Loop;
    TestPeer A(Loop, "a");
    TestPeer B(Loop, "b");
    B.OnChange = [&] {
      if (!B.Requests.empty())
        B.Links->reply(B.LastLink, KeyMinted{5, "key", Duration(1)});
    };
    A.OnChange = [&] { Loop.stop(); };
    CPPUNIT_ASSERT(
        A.Links->send(NodeName("b"), B.Address, MintKey{5, ServiceName("s")}));
    Loop.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), A.Replies.size());
    CPPUNIT_ASSERT(
        (A.Replies[0] == PeerMessage(KeyMinted{5, "key", Duration(1)})));
    CPPUNIT_ASSERT(B.LastNode == NodeName("a"));
  }

  /// Guards against reporting that a request may have run although its message
  /// never left the node.
  void disconnectTellsWhetherTheLinkWasOpen() {
    EventLoop Loop;
    TestPeer A(Loop, "a");
    Endpoint Closed = TestPeer(Loop, "b").Address;
    A.OnChange = [&] { Loop.stop(); };
    CPPUNIT_ASSERT(A.Links->send(NodeName("b"), Closed, Heartbeat{1, false}));
    Loop.run();
    CPPUNIT_ASSERT_EQUAL(1, A.GuardDisconnects);
    CPPUNIT_ASSERT(!A.LastWasOpen);
  }

  /// Guards against requests that are exchanged between two fleets.
  void refusesOtherFleets() {
    EventLoop Loop;
    TestPeer A(Loop, "a");
    TestPeer B(Loop, "b", "other");
    A.OnChange = [&] { Loop.stop(); };
    CPPUNIT_ASSERT(
        A.Links->send(NodeName("b"), B.Address, MintKey{5, ServiceName("s")}));
    Loop.run();
    CPPUNIT_ASSERT_EQUAL(1, A.GuardDisconnects);
    CPPUNIT_ASSERT(B.Requests.empty());
  }

  /// Guards against requests that wait indefinitely on a link whose connection
  /// state was dropped by a device on the path. The test advances the time that
  /// it passes to tick().
  void silentLinkCloses() {
    EventLoop Loop;
    TestPeer A(Loop, "a");
    TestPeer B(Loop, "b");
    B.OnChange = [&] { Loop.stop(); };
    CPPUNIT_ASSERT(
        A.Links->send(NodeName("b"), B.Address, MintKey{5, ServiceName("s")}));
    Loop.run();
    Time Now = SteadyClock().now();
    A.Links->tick(Now);
    CPPUNIT_ASSERT_EQUAL(0, A.GuardDisconnects);
    A.Links->tick(Now + Duration::seconds(3));
    CPPUNIT_ASSERT_EQUAL(1, A.GuardDisconnects);
    CPPUNIT_ASSERT(A.LastWasOpen);
  }

  /// Guards against a body that is stored twice, or that stays counted after
  /// the attempt has ended.
  void largeBodyIsCountedUntilItIsDropped() {
    EventLoop Loop;
    TestPeer A(Loop, "a");
    TestPeer B(Loop, "b");
    B.OnChange = [&] {
      if (!B.Requests.empty())
        Loop.stop();
    };
    CPPUNIT_ASSERT(A.Links->send(NodeName("b"), B.Address, largeDispatch()));
    Loop.run();
    CPPUNIT_ASSERT(B.Requests[0] == PeerMessage(largeDispatch()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(BodyBytes), B.Memory.held());
    B.Requests.clear();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), B.Memory.held());
  }

  /// Guards against bodies that are held although their grant has ended, and
  /// against a refusal that takes the link with it.
  void bodyWithoutGrantIsRefused() {
    EventLoop Loop;
    TestPeer A(Loop, "a");
    TestPeer B(Loop, "b");
    B.IsGranted = false;
    bool IsSentAgain = false;
    // The next message follows the discarded body on the same link.
    A.OnChange = [&] {
      B.IsGranted = true;
      IsSentAgain = A.Links->send(NodeName("b"), B.Address, largeDispatch());
      if (!IsSentAgain)
        Loop.stop();
    };
    B.OnChange = [&] {
      if (!B.Requests.empty())
        Loop.stop();
    };
    CPPUNIT_ASSERT(A.Links->send(NodeName("b"), B.Address, largeDispatch()));
    Loop.run();
    CPPUNIT_ASSERT(IsSentAgain);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), A.Replies.size());
    const auto &Failure = std::get<AttemptFailed>(A.Replies[0]);
    CPPUNIT_ASSERT(Failure.Attempt == largeDispatch().Info.Attempt);
    CPPUNIT_ASSERT(Failure.Result == Outcome::NotRun);
    CPPUNIT_ASSERT(Failure.Cause == Reason::GrantExpired);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), B.Requests.size());
    CPPUNIT_ASSERT(B.Requests[0] == PeerMessage(largeDispatch()));
    CPPUNIT_ASSERT_EQUAL(0, A.GuardDisconnects);
  }

  /// Guards against answers that exceed the memory of the entry, and against an
  /// answer that is dropped without an end of its attempt.
  void answerWithoutMemoryFailsAttempt() {
    EventLoop Loop;
    TestPeer A(Loop, "a");
    TestPeer B(Loop, "b");
    A.Memory.setLimit(BodyBytes);
    auto Used = A.Memory.reserve(BodyBytes / 2);
    CPPUNIT_ASSERT(Used);
    A.OnChange = [&] { Loop.stop(); };
    B.OnChange = [&] {
      if (B.Requests.empty())
        return;
      AttemptAnswer Answer;
      Answer.Attempt = largeDispatch().Info.Attempt;
      Answer.Answer = HttpAnswer{200, {}, std::string(BodyBytes, 'c')};
      B.Links->reply(B.LastLink, Answer);
    };
    CPPUNIT_ASSERT(A.Links->send(NodeName("b"), B.Address, largeDispatch()));
    Loop.run();
    const auto &Failure = std::get<AttemptFailed>(A.Replies.at(0));
    CPPUNIT_ASSERT(Failure.Attempt == largeDispatch().Info.Attempt);
    CPPUNIT_ASSERT(Failure.Result == Outcome::Unknown);
    CPPUNIT_ASSERT_EQUAL(Used->bytes(), A.Memory.held());
  }

  /// Guards against memory that stays counted when the sender of a body dies.
  void lostLinkReleasesItsMemory() {
    EventLoop Loop;
    TestPeer A(Loop, "a");
    TestPeer B(Loop, "b");
    std::uint64_t HeldWhileArriving = 0;
    B.OnChange = [&] {
      if (B.EntryDisconnects > 0)
        return Loop.schedule(Duration(1), [&] { Loop.stop(); });
      // The body begins to arrive.
      HeldWhileArriving = B.Memory.held();
      Loop.post([&] { A.Links.reset(); });
    };
    CPPUNIT_ASSERT(A.Links->send(NodeName("b"), B.Address, largeDispatch()));
    Loop.run();
    CPPUNIT_ASSERT(HeldWhileArriving >= BodyBytes);
    CPPUNIT_ASSERT(B.Requests.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), B.Memory.held());
  }

  /// Guards against a sender that stops within a body and keeps its memory
  /// reserved. The test advances the time that it passes to tick().
  void stalledBodyReleasesItsMemory() {
    EventLoop Loop;
    TestPeer A(Loop, "a");
    TestPeer B(Loop, "b");
    int DisconnectsBefore = -1;
    B.OnChange = [&] {
      if (B.EntryDisconnects > 0)
        return Loop.schedule(Duration(1), [&] { Loop.stop(); });
      // The body begins to arrive.
      Loop.post([&] {
        Time Now = SteadyClock().now();
        B.Links->tick(Now);
        DisconnectsBefore = B.EntryDisconnects;
        B.Links->tick(Now + Duration::seconds(3));
      });
    };
    CPPUNIT_ASSERT(A.Links->send(NodeName("b"), B.Address, largeDispatch()));
    Loop.run();
    CPPUNIT_ASSERT_EQUAL(0, DisconnectsBefore);
    CPPUNIT_ASSERT_EQUAL(1, B.EntryDisconnects);
    CPPUNIT_ASSERT(B.Requests.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), B.Memory.held());
  }

  /// Guards against a peer that does not read and for which bodies pile up, and
  /// against bodies that stay in memory after its link was closed. The test
  /// advances the time that it passes to tick().
  void stalledPeerHoldsABoundedAmount() {
    EventLoop Loop;
    TestPeer A(Loop, "a");
    // The system accepts connections to this socket, and nothing reads them.
    int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    CPPUNIT_ASSERT_EQUAL(0, bind(Listener, Generic, Size));
    CPPUNIT_ASSERT_EQUAL(0, listen(Listener, 1));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(Listener, Generic, &Size));
    Endpoint Stalled{"127.0.0.1", ntohs(Address.sin_port)};
    MemoryBudget Bodies;
    // Each dispatch has a body of its own.
    auto SendOne = [&] {
      Dispatch D = largeDispatch();
      D.Request.Body = SharedBytes(std::string(BodyBytes, 'b'),
                                   std::move(*Bodies.reserve(BodyBytes)));
      return A.Links->send(NodeName("b"), Stalled, D);
    };
    CPPUNIT_ASSERT(SendOne());
    CPPUNIT_ASSERT(!SendOne());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(BodyBytes), Bodies.held());
    std::uint64_t MostHeld = 0;
    A.OnChange = [&] { Loop.schedule(Duration(1), [&] { Loop.stop(); }); };
    Loop.schedulePeriodic(Duration(5), [&] {
      if (A.GuardDisconnects > 0)
        return;
      for (int I = 0; I != 5; ++I)
        (void)SendOne();
      MostHeld = std::max(MostHeld, Bodies.held());
      A.Links->tick(SteadyClock().now() + Duration::seconds(3));
    });
    Loop.run();
    close(Listener);
    // One body is being written and one waits.
    CPPUNIT_ASSERT(MostHeld <= 2 * BodyBytes);
    CPPUNIT_ASSERT_EQUAL(1, A.GuardDisconnects);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Bodies.held());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinksTest);

} // namespace
