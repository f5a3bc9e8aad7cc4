#include "../../lib/Net/IdleLimits.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

const Endpoint Server{"127.0.0.1", 9000};
const Endpoint Other{"127.0.0.1", 9001};

class IdleLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdleLimitsTest);
  CPPUNIT_TEST(droppedConnectionsAreNotReused);
  CPPUNIT_TEST(lossAfterShortIdleTimeKeepsLimit);
  CPPUNIT_TEST(reducedLimitExpires);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against one lost request per pooled connection. It comes about when
  /// half of the backend servers drop connections that are idle for 300 ms and
  /// paid requests arrive every 400 ms.
  void droppedConnectionsAreNotReused() {
    IdleLimits Limits;
    int Lost = 0;
    const Duration ServerTimeout(300);
    const Duration IdleTime(400);
    for (int I = 0; I != 40; ++I) {
      Time Now(I * 400.0);
      if (IdleTime > Limits.limit(Server, Now))
        continue;
      ++Lost;
      Limits.recordIdleLoss(Server, IdleTime, Now);
    }
    CPPUNIT_ASSERT_EQUAL(1, Lost);
    Time End(16000);
    CPPUNIT_ASSERT(Limits.limit(Server, End) < ServerTimeout);
    CPPUNIT_ASSERT(Limits.limit(Other, End) >= Duration::seconds(1));
  }

  /// Guards against a new connection for each request to a backend server that
  /// fails for reasons other than idle timeouts.
  void lossAfterShortIdleTimeKeepsLimit() {
    IdleLimits Limits;
    Limits.recordIdleLoss(Server, Duration(5), Time());
    CPPUNIT_ASSERT(Limits.limit(Server, Time()) >= Duration::seconds(1));
  }

  /// Guards against a reduced limit that never expires, and a table that grows
  /// without bound.
  void reducedLimitExpires() {
    IdleLimits Limits;
    Limits.recordIdleLoss(Server, Duration(400), Time());
    Time Later = Time() + Duration::seconds(30);
    CPPUNIT_ASSERT(Limits.limit(Server, Later) >= Duration::seconds(1));
    Limits.prune(Later);
    CPPUNIT_ASSERT(Limits.limit(Server, Time()) >= Duration::seconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleLimitsTest);

} // namespace
