#include "TestNetwork.h"
#include "teaselhitch/Membership/Membership.h"

using namespace teaselhitch;

namespace {

class MembershipFaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipFaultTest);
  CPPUNIT_TEST(lossKillsNobody);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Duration TenMinutes = Duration::seconds(600);

  /// Guards against healthy nodes that are declared dead because datagrams get
  /// lost.
  void lossKillsNobody() {
    for (std::uint64_t Seed : {11, 12, 13}) {
      TestNetwork Net(30, Seed);
      Net.Loss = 0.1;
      Net.advance(TenMinutes);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Net.Deaths.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipFaultTest);

} // namespace
