#include "../../lib/Net/IdleLimits.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

const Endpoint Server{"127.0.0.1", 9000};
const Endpoint Other{"127.0.0.1", 9001};

class IdleLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdleLimitsTest);
  CPPUNIT_TEST(forgottenConnectionsAreNotUsed);
  CPPUNIT_TEST(lossesInUseTeachNothing);
  CPPUNIT_TEST(lessonsEnd);
  CPPUNIT_TEST_SUITE_END();

  /// Load: half of the backend servers forget connections that rest for 300 ms,
  /// and paid requests come once in 400 ms. Guards against a request that is
  /// lost for each connection of the pool.
  void forgottenConnectionsAreNotUsed() {
    IdleLimits Limits;
    int Lost = 0;
    const Duration Forgets(300);
    const Duration Rest(400);
    for (int I = 0; I != 40; ++I) {
      Time Now(I * 400.0);
      if (Rest > Limits.limit(Server, Now))
        continue;
      ++Lost;
      Limits.lostAfterRest(Server, Rest, Now);
    }
    CPPUNIT_ASSERT_EQUAL(1, Lost);
    Time End(16000);
    CPPUNIT_ASSERT(Limits.limit(Server, End) < Forgets);
    CPPUNIT_ASSERT(Limits.limit(Other, End) >= Duration::seconds(1));
  }

  /// Guards against a backend server with failures of another kind that gets a
  /// new connection for each request.
  void lossesInUseTeachNothing() {
    IdleLimits Limits;
    Limits.lostAfterRest(Server, Duration(5), Time());
    CPPUNIT_ASSERT(Limits.limit(Server, Time()) >= Duration::seconds(1));
  }

  /// Guards against a limit that stays for good, and a table that grows.
  void lessonsEnd() {
    IdleLimits Limits;
    Limits.lostAfterRest(Server, Duration(400), Time());
    Time Later = Time() + Duration::seconds(30);
    CPPUNIT_ASSERT(Limits.limit(Server, Later) >= Duration::seconds(1));
    Limits.prune(Later);
    CPPUNIT_ASSERT(Limits.limit(Server, Time()) >= Duration::seconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleLimitsTest);

} // namespace
