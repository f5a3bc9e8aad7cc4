#include "LeaseWorld.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

class FloorCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FloorCheckTest);
  CPPUNIT_TEST(floorHoldsUnderFaults);
  CPPUNIT_TEST(catchesValidityFromReply);
  CPPUNIT_TEST(catchesUnconditionalWrites);
  CPPUNIT_TEST(catchesTrustInLostAnswers);
  CPPUNIT_TEST(catchesIgnoredHolders);
  CPPUNIT_TEST(catchesEarlyRemoval);
  CPPUNIT_TEST(catchesLeasesWithoutEnd);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t FirstSeed = 7001;
  static constexpr unsigned Runs = 24;
  static constexpr unsigned Steps = 6000;

  struct Totals {
    unsigned Violations = 0;
    unsigned LateReadmissions = 0;
    unsigned Ejections = 0;
  };

  static Totals runAll(const detail::LeaseRules &Rules) {
    Totals Sum;
    for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
      test::LeaseWorld World(Seed, Rules);
      World.run(Steps);
      Sum.Violations += World.Violations;
      Sum.LateReadmissions += World.LateReadmissions;
      Sum.Ejections += World.Ejections;
    }
    return Sum;
  }

  static void expectCaught(const detail::LeaseRules &Rules) {
    CPPUNIT_ASSERT(runAll(Rules).Violations > 0);
  }

  /// Guards against an interleaving of guards, outages, lost answers, pauses,
  /// stale views and deaths in which an ejection takes a service below its
  /// floor, or in which a guard that sees too few in use keeps one out of use.
  void floorHoldsUnderFaults() {
    const Totals Sum = runAll({});
    CPPUNIT_ASSERT_EQUAL(0U, Sum.Violations);
    CPPUNIT_ASSERT_EQUAL(0U, Sum.LateReadmissions);
    CPPUNIT_ASSERT(Sum.Ejections > 1000);
  }

  /// Guards against a check that misses a holder that believes in its lease for
  /// longer than other guards do.
  void catchesValidityFromReply() {
    detail::LeaseRules Rules;
    Rules.ValidFromEnd = true;
    expectCaught(Rules);
  }

  /// Guards against a check that misses two guards that overwrite each other.
  void catchesUnconditionalWrites() {
    detail::LeaseRules Rules;
    Rules.UnconditionalWrite = true;
    expectCaught(Rules);
  }

  /// Guards against a check that misses an ejection that is not in the row.
  void catchesTrustInLostAnswers() {
    detail::LeaseRules Rules;
    Rules.TrustLostAnswer = true;
    expectCaught(Rules);
  }

  /// Guards against a check in which the leases of others do not matter.
  void catchesIgnoredHolders() {
    detail::LeaseRules Rules;
    Rules.IgnoreOtherHolders = true;
    expectCaught(Rules);
  }

  /// Guards against a check that misses the removal of leases that still hold.
  void catchesEarlyRemoval() {
    detail::LeaseRules Rules;
    Rules.RemoveWithoutWait = true;
    expectCaught(Rules);
  }

  /// Guards against a check that misses a holder that resumes after a pause and
  /// does not look at its clock.
  void catchesLeasesWithoutEnd() {
    detail::LeaseRules Rules;
    Rules.NeverExpire = true;
    expectCaught(Rules);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FloorCheckTest);

} // namespace
