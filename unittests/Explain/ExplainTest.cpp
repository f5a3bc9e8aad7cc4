#include "../../tools/teaselhitch/Explain.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace teaselhitch;

namespace {

const char *const Log =
    "  1.2 n2 {\"time_ms\":30,\"module\":\"guard\",\"event\":\"attempt-ended\","
    "\"attempt\":\"n1-5-7-2\",\"end\":\"aborted\"}\n"
    "not json\n"
    "{\"time_ms\":10,\"module\":\"entry\",\"event\":\"offer\","
    "\"attempt\":\"n1-5-7-1\",\"caller_id\":\"abc\",\"node\":\"n2\"}\n"
    "{\"time_ms\":11,\"module\":\"entry\",\"event\":\"offer\","
    "\"attempt\":\"n1-5-8-1\",\"caller_id\":\"xyz\",\"node\":\"n2\"}\n"
    "{\"time_ms\":40,\"module\":\"entry\",\"event\":\"request-ended\","
    "\"request_id\":\"n1-5-7\",\"caller_id\":\"abc\",\"reason\":\"busy\"}\n"
    "{\"time_ms\":50,\"module\":\"node\",\"event\":\"stopped\"}\n";

class ExplainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainTest);
  CPPUNIT_TEST(findsEventsByEachId);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against events of a request that are missing or out of order, and
  /// against events of other requests.
  void findsEventsByEachId() {
    for (const char *Id : {"abc", "n1-5-7", "n1-5-7-2"}) {
      std::istringstream In(Log);
      std::string Events;
      for (const RequestEvent &Event : explainRequest(In, Id))
        Events += Event.Name + ";";
      CPPUNIT_ASSERT_EQUAL(
          std::string("entry offer;guard attempt-ended;entry request-ended;"),
          Events);
    }
    std::istringstream In(Log);
    CPPUNIT_ASSERT(explainRequest(In, "unknown").empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);

} // namespace
