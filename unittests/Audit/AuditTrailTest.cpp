#include "teaselhitch/Audit/AuditTrail.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

class AuditTrailTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AuditTrailTest);
  CPPUNIT_TEST(keepsNewestEvents);
  CPPUNIT_TEST(objectKeysSortByTime);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a trail that grows without bound or does not count dropped
  /// events.
  void keepsNewestEvents() {
    AuditTrail Trail;
    for (std::size_t I = 0; I != AuditTrail::MaxEvents + 5; ++I)
      Trail.record("kind", "subject", "detail \"quoted\"");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Trail.dropped());
    std::vector<AuditEvent> First = Trail.events(0, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), First.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), First[0].Sequence);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Trail.events(AuditTrail::MaxEvents + 4, 10).size());
    std::string Lines = toJsonLines(First);
    CPPUNIT_ASSERT(Lines.find(R"("detail":"detail \"quoted\"")") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL('\n', Lines.back());
  }

  /// Guards against object keys whose listing is not in chronological order, as
  /// numbers without padding would cause.
  void objectKeysSortByTime() {
    CPPUNIT_ASSERT(auditObjectKey("n1", 99, 1000) <
                   auditObjectKey("n1", 100, 1));
    CPPUNIT_ASSERT(auditObjectKey("n1", 99, 9) < auditObjectKey("n1", 99, 10));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AuditTrailTest);

} // namespace
