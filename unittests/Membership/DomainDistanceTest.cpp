#include "../../lib/Membership/DomainDistance.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

const FailureDomain Own("own");
const FailureDomain Other("other");

class DomainDistanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainDistanceTest);
  CPPUNIT_TEST(consistentRoundTripsDecideSoon);
  CPPUNIT_TEST(delaysOfABusyNodeDoNotCount);
  CPPUNIT_TEST(limitIsInclusive);
  CPPUNIT_TEST(zeroSwitchesItOff);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against remote domains that are recognized only after half a
  /// minute, and against a decision by a single sample.
  void consistentRoundTripsDecideSoon() {
    DomainDistance D(Own, Duration(6));
    CPPUNIT_ASSERT(!D.record(Own, Duration(0.4)));
    CPPUNIT_ASSERT(!D.record(Other, Duration(11.3)));
    CPPUNIT_ASSERT(!D.record(Other, Duration(40)));
    CPPUNIT_ASSERT(D.record(Other, Duration(11.1)));
    CPPUNIT_ASSERT(D.isRemote(Other) && !D.isRemote(Own));
    // The path became shorter, for example after a route change.
    CPPUNIT_ASSERT(D.record(Other, Duration(2)));
    CPPUNIT_ASSERT(D.remote().empty());
  }

  /// Guards against near domains that count as remote because this node, or a
  /// peer, had no processor for a while.
  void delaysOfABusyNodeDoNotCount() {
    DomainDistance Delayed(Own, Duration(6));
    for (double Ms : {61.0, 18.0, 97.0, 35.0, 1.2, 80.0, 70.0})
      CPPUNIT_ASSERT(!Delayed.record(Other, Duration(Ms)));
    DomainDistance Slow(Own, Duration(6));
    for (int I = 0; I != 32; ++I) {
      CPPUNIT_ASSERT(!Slow.record(Own, Duration(20 + I)));
      CPPUNIT_ASSERT(!Slow.record(Other, Duration(22 + I)));
    }
  }

  /// Guards against another limit than the one in the settings.
  void limitIsInclusive() {
    for (double Ms : {5.9, 6.0}) {
      DomainDistance D(Own, Duration(6));
      for (int I = 0; I != 20; ++I)
        D.record(Other, Duration(Ms));
      CPPUNIT_ASSERT_EQUAL(Ms >= 6, D.isRemote(Other));
    }
  }

  /// Guards against a setting that does not switch the distinction off.
  void zeroSwitchesItOff() {
    DomainDistance D(Own, Duration());
    for (int I = 0; I != 20; ++I)
      CPPUNIT_ASSERT(!D.record(Other, Duration(500)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainDistanceTest);

} // namespace
