#include "../../lib/Membership/GossipQueue.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

class GossipQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipQueueTest);
  CPPUNIT_TEST(orderAndLimit);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against items that are sent endlessly, and against old items that
  /// delay new ones.
  void orderAndLimit() {
    GossipQueue Queue;
    for (std::uint64_t F : {1, 2, 3})
      Queue.add(GossipItem::quarantine({F, 0, false, {}}));
    std::vector<std::uint64_t> Sent;
    auto TakeTwo = [&](const GossipItem &Item) {
      Sent.push_back(Item.Quarantine.Fingerprint);
      return Sent.size() > 2 ? GossipQueue::OfferResult::DoesNotFit
                             : GossipQueue::OfferResult::Taken;
    };
    Queue.take(1, 2, TakeTwo);
    CPPUNIT_ASSERT((Sent == std::vector<std::uint64_t>{3, 2, 1}));
    Sent.clear();
    auto TakeAll = [&](const GossipItem &Item) {
      Sent.push_back(Item.Quarantine.Fingerprint);
      return GossipQueue::OfferResult::Taken;
    };
    Queue.take(1, 2, TakeAll);
    CPPUNIT_ASSERT((Sent == std::vector<std::uint64_t>{1, 3, 2}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Queue.size());
    const GossipItem First = GossipItem::quarantine({1, 0, false, {}});
    Queue.noteDuplicate(First, 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Queue.size());
    Queue.noteDuplicate(First, 4);
    CPPUNIT_ASSERT(Queue.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipQueueTest);

} // namespace
