#include "LeaseSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

class FloorCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FloorCheckTest);
  CPPUNIT_TEST(floorHoldsUnderFaults);
  CPPUNIT_TEST(catchesValidityFromReply);
  CPPUNIT_TEST(catchesUnconditionalWrites);
  CPPUNIT_TEST(catchesTrustInUnknownReplies);
  CPPUNIT_TEST(catchesIgnoredHolders);
  CPPUNIT_TEST(catchesEarlyRemoval);
  CPPUNIT_TEST(catchesMissingExpiry);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t FirstSeed = 7001;
  static constexpr unsigned Runs = 24;
  static constexpr unsigned Steps = 6000;

  struct Totals {
    unsigned Violations = 0;
    unsigned MissedReadmissions = 0;
    unsigned Ejections = 0;
  };

  static Totals runAll(const detail::LeaseDefects &Defects) {
    Totals Sum;
    for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
      test::LeaseSimulation World(Seed, Defects);
      World.run(Steps);
      Sum.Violations += World.Violations;
      Sum.MissedReadmissions += World.MissedReadmissions;
      Sum.Ejections += World.Ejections;
    }
    return Sum;
  }

  static void expectViolations(const detail::LeaseDefects &Defects) {
    CPPUNIT_ASSERT(runAll(Defects).Violations > 0);
  }

  /// Guards against an interleaving of guards, outages, lost replies, pauses,
  /// stale views, restarts and lost backend servers in which an ejection
  /// reduces a service below its floor, or in which a guard keeps a backend
  /// server ejected although its view shows fewer in use than the floor.
  void floorHoldsUnderFaults() {
    const Totals Sum = runAll({});
    CPPUNIT_ASSERT_EQUAL(0U, Sum.Violations);
    CPPUNIT_ASSERT_EQUAL(0U, Sum.MissedReadmissions);
    CPPUNIT_ASSERT(Sum.Ejections > 1000);
  }

  /// Guards against a check that misses a holder that considers its lease valid
  /// for longer than other guards do.
  void catchesValidityFromReply() {
    detail::LeaseDefects Defects;
    Defects.ValidityFromReply = true;
    expectViolations(Defects);
  }

  /// Guards against a check that misses two guards that overwrite each other's
  /// entries.
  void catchesUnconditionalWrites() {
    detail::LeaseDefects Defects;
    Defects.UnconditionalWrite = true;
    expectViolations(Defects);
  }

  /// Guards against a check that misses an ejection whose write was not
  /// applied.
  void catchesTrustInUnknownReplies() {
    detail::LeaseDefects Defects;
    Defects.TrustUnknownReply = true;
    expectViolations(Defects);
  }

  /// Guards against a check that passes even if a guard ignores the leases of
  /// other guards.
  void catchesIgnoredHolders() {
    detail::LeaseDefects Defects;
    Defects.IgnoreOtherHolders = true;
    expectViolations(Defects);
  }

  /// Guards against a check that misses the removal of leases that are still
  /// valid.
  void catchesEarlyRemoval() {
    detail::LeaseDefects Defects;
    Defects.RemoveImmediately = true;
    expectViolations(Defects);
  }

  /// Guards against a check that misses a holder that resumes after a pause and
  /// does not check the expiry of its lease.
  void catchesMissingExpiry() {
    detail::LeaseDefects Defects;
    Defects.NeverExpire = true;
    expectViolations(Defects);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FloorCheckTest);

} // namespace
