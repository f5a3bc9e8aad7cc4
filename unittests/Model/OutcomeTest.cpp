#include "teaselhitch/Model/Outcome.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

using namespace teaselhitch;

namespace {

class OutcomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutcomeTest);
  CPPUNIT_TEST(reasonTableMatchesEnum);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a reason table that is not in enumerator order, so that a
  /// reason gets the name or status of another one.
  void reasonTableMatchesEnum() {
    std::set<std::string> Names;
    for (const ReasonInfo &Info : allReasons()) {
      CPPUNIT_ASSERT(&reasonInfo(Info.Code) == &Info);
      CPPUNIT_ASSERT(reasonByName(Info.Name) == Info.Code);
      CPPUNIT_ASSERT(Names.insert(Info.Name).second);
      CPPUNIT_ASSERT(Info.Status >= 400 && Info.Status < 600);
      CPPUNIT_ASSERT(Info.Result != Outcome::Completed);
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(LastReason) + 1,
                         allReasons().size());
    CPPUNIT_ASSERT(!reasonByName("no-such-reason"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutcomeTest);

} // namespace
