#include "teaselhitch/Support/MemoryBudget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Limit = 8ULL * 1024 * 1024;
constexpr std::uint64_t SmallPart = Limit / 8;
constexpr std::uint64_t Large = 1024ULL * 1024;

class MemoryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryBudgetTest);
  CPPUNIT_TEST(bytesAreReleasedAtTheEndOfTheScope);
  CPPUNIT_TEST(movedReservationsAreReleasedOnce);
  CPPUNIT_TEST(largeReservationsLeaveAPartToSmallOnes);
  CPPUNIT_TEST(smallReservationsStayWithinTheLimit);
  CPPUNIT_TEST(aSingleLargestBodyFits);
  CPPUNIT_TEST(aGrowingReservationBecomesLarge);
  CPPUNIT_TEST(refusedGrowthChangesNothing);
  CPPUNIT_TEST(hugeSizesDoNotOverflow);
  CPPUNIT_TEST(withoutALimitNothingIsRefused);
  CPPUNIT_TEST(forcedBytesAreCounted);
  CPPUNIT_TEST(threadsDoNotLoseBytes);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a leak, which would make the process refuse every caller.
  void bytesAreReleasedAtTheEndOfTheScope() {
    MemoryBudget Budget(Limit);
    {
      auto Reserved = Budget.reserve(Large);
      CPPUNIT_ASSERT(Reserved);
      CPPUNIT_ASSERT_EQUAL(Large, Budget.held());
      CPPUNIT_ASSERT(Reserved->resize(1000));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), Budget.held());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Budget.held());
  }

  /// Guards against a double release, which would let the process hold more
  /// than the limit, and against a leak of the overwritten reservation.
  void movedReservationsAreReleasedOnce() {
    MemoryBudget Budget(Limit);
    MemoryBudget::Reservation First = Budget.open();
    CPPUNIT_ASSERT(First.resize(Large));
    MemoryBudget::Reservation Second = Budget.open();
    CPPUNIT_ASSERT(Second.resize(10));
    Second = std::move(First);
    CPPUNIT_ASSERT_EQUAL(Large, Budget.held());
    MemoryBudget::Reservation Third(std::move(Second));
    CPPUNIT_ASSERT_EQUAL(Large, Third.bytes());
    Third.release();
    Third.release();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Budget.held());
  }

  /// Guards against large bodies that prevent ordinary callers from being
  /// served.
  void largeReservationsLeaveAPartToSmallOnes() {
    MemoryBudget Budget(Limit);
    std::vector<MemoryBudget::Reservation> Held;
    while (auto Reserved = Budget.reserve(Large))
      Held.push_back(std::move(*Reserved));
    CPPUNIT_ASSERT_EQUAL(Limit - SmallPart, Budget.held());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Budget.refusals());
    CPPUNIT_ASSERT(Budget.reserve(MemoryBudget::LargeBytes));
  }

  /// Guards against small requests that together exceed the limit.
  void smallReservationsStayWithinTheLimit() {
    MemoryBudget Budget(Limit);
    std::vector<MemoryBudget::Reservation> Held;
    while (auto Reserved = Budget.reserve(MemoryBudget::LargeBytes))
      Held.push_back(std::move(*Reserved));
    CPPUNIT_ASSERT_EQUAL(Limit, Budget.held());
    CPPUNIT_ASSERT(!Budget.reserve(1));
    // A large body must not fit either: small requests use more than their
    // part.
    CPPUNIT_ASSERT(!Budget.reserve(Large));
  }

  /// Guards against a body of the permitted size that is never served, because
  /// the limit is lower or because a part of it is reserved.
  void aSingleLargestBodyFits() {
    MemoryBudget Budget(Limit);
    auto Small = Budget.reserve(1000);
    CPPUNIT_ASSERT(Small);
    auto Largest = Budget.reserve(Limit * 2);
    CPPUNIT_ASSERT(Largest);
    CPPUNIT_ASSERT(!Budget.reserve(Large));
    CPPUNIT_ASSERT(Largest->grow(1));
    Largest.reset();
    CPPUNIT_ASSERT(Budget.reserve(Large));
  }

  /// Guards against bodies without a stated size that are counted as small
  /// after they have grown.
  void aGrowingReservationBecomesLarge() {
    MemoryBudget Budget(Limit);
    MemoryBudget::Reservation First = Budget.open();
    MemoryBudget::Reservation Second = Budget.open();
    CPPUNIT_ASSERT(Second.resize(Large));
    while (First.grow(MemoryBudget::LargeBytes)) {
    }
    CPPUNIT_ASSERT_EQUAL(Limit - SmallPart, Budget.held());
    First.release();
    CPPUNIT_ASSERT_EQUAL(Large, Budget.held());
    Second.release();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Budget.held());
  }

  /// Guards against bytes that stay counted after a refusal.
  void refusedGrowthChangesNothing() {
    MemoryBudget Budget(Limit);
    auto First = Budget.reserve(Large * 4);
    auto Second = Budget.reserve(Large * 2);
    CPPUNIT_ASSERT(First && Second);
    CPPUNIT_ASSERT(!Second->resize(Large * 4));
    CPPUNIT_ASSERT_EQUAL(Large * 2, Second->bytes());
    CPPUNIT_ASSERT_EQUAL(Large * 6, Budget.held());
  }

  /// Guards against a stated size near the maximum that wraps around.
  void hugeSizesDoNotOverflow() {
    MemoryBudget Budget(Limit);
    auto First = Budget.reserve(Large);
    CPPUNIT_ASSERT(First);
    CPPUNIT_ASSERT(!Budget.reserve(UINT64_MAX));
    CPPUNIT_ASSERT(!Budget.reserve(UINT64_MAX - Large + 1));
    CPPUNIT_ASSERT_EQUAL(Large, Budget.held());
  }

  /// Guards against refusals under settings that state no memory.
  void withoutALimitNothingIsRefused() {
    MemoryBudget Budget;
    auto First = Budget.reserve(Limit * 100);
    auto Second = Budget.reserve(Limit * 100);
    CPPUNIT_ASSERT(First && Second);
    CPPUNIT_ASSERT_EQUAL(Limit * 200, Budget.held());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Budget.refusals());
  }

  /// Guards against bytes that are in memory but are not counted.
  void forcedBytesAreCounted() {
    MemoryBudget Budget(Limit);
    MemoryBudget::Reservation Forced = Budget.open();
    Forced.force(Limit * 2);
    CPPUNIT_ASSERT_EQUAL(Limit * 2, Budget.held());
    CPPUNIT_ASSERT(!Budget.reserve(1));
    Forced.release();
    CPPUNIT_ASSERT(Budget.reserve(1));
  }

  /// Guards against changes of several threads that overwrite each other.
  void threadsDoNotLoseBytes() {
    MemoryBudget Budget(Limit);
    std::vector<std::thread> Threads;
    for (int T = 0; T != 4; ++T)
      Threads.emplace_back([&Budget] {
        for (std::uint64_t I = 1; I != 5000; ++I) {
          MemoryBudget::Reservation Reserved = Budget.open();
          if (Reserved.resize(I * 100))
            (void)Reserved.grow(I);
        }
      });
    for (std::thread &T : Threads)
      T.join();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Budget.held());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

} // namespace
