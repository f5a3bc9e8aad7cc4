#include "teaselhitch/Net/PeerLinks.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace teaselhitch;

namespace {

/// One side of a link with its own port; records the events that it receives.
class TestPeer : public PeerLinksHandler {
public:
  TestPeer(EventLoop &Loop, const char *Name, const char *Fleet = "fleet") {
    PeerLinksSettings Settings;
    Settings.Listen = {"127.0.0.1", 0};
    Settings.LocalHello.Fleet = Fleet;
    Settings.LocalHello.Node = NodeName(Name);
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
  void onEntryDisconnect(LinkId) override { notify(); }

  void notify() const {
    if (OnChange)
      OnChange();
  }

  Endpoint Address;
  std::unique_ptr<PeerLinks> Links;
  std::vector<PeerMessage> Replies;
  std::vector<PeerMessage> Requests;
  LinkId LastLink = 0;
  NodeName LastNode;
  int GuardDisconnects = 0;
  bool LastWasOpen = true;
  std::function<void()> OnChange;
};

class PeerLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLinksTest);
  CPPUNIT_TEST(repliesUseTheSameLink);
  CPPUNIT_TEST(disconnectTellsWhetherTheLinkWasOpen);
  CPPUNIT_TEST(refusesOtherFleets);
  CPPUNIT_TEST(silentLinkCloses);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinksTest);

} // namespace
