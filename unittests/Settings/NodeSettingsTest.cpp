#include "teaselhitch/Settings/NodeSettings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

const char *const ValidText = R"([node]
fleet = "demo"
name = "n1"
failure_domain = "d1"
[listen]
callers = "127.0.0.1:7001"
backend_servers = "127.0.0.1:7002"
operators = "127.0.0.1:7003"
peers = "127.0.0.1:7004"
[peers]
seeds = ["127.0.0.1:7104", "[::1]:7204"]
secret = "0123456789abcdef"
[platform]
address = "127.0.0.1:7900"
)";

class NodeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeSettingsTest);
  CPPUNIT_TEST(readsValidSettings);
  CPPUNIT_TEST(reportsInvalidSettings);
  CPPUNIT_TEST(reportsAllErrorsInOneRun);
  CPPUNIT_TEST(errorsDoNotContainSecret);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against values that are stored in the wrong field.
  void readsValidSettings() {
    CheckedSettings Checked = readNodeSettings(
        std::string(ValidText) + "[limits]\ndrain_timeout_ms = 500\n");
    CPPUNIT_ASSERT(Checked.Errors.empty());
    const NodeSettings &S = Checked.Settings;
    CPPUNIT_ASSERT_EQUAL(std::string("n1"), S.Node.str());
    CPPUNIT_ASSERT((S.Peers == Endpoint{"127.0.0.1", 7004}));
    CPPUNIT_ASSERT((S.Seeds[1] == Endpoint{"::1", 7204}));
    CPPUNIT_ASSERT(S.DrainTimeout == Duration(500));
  }

  /// Guards against invalid settings that are accepted, and against error
  /// messages without the location or the expected value.
  void reportsInvalidSettings() {
    struct Case {
      const char *Extra;
      const char *Expected;
    };
    const Case Cases[] = {
        {"[limits]\nmax_request = 5\n",
         "f:16: limits.max_request: unknown key, did you mean "
         "'max_requests'?"},
        {"[limit]\nmax_requests = 5\n",
         "f:15: limit: unknown table or key, did you mean 'limits'?"},
        {"[limits]\nmax_requests = \"5\"\n",
         "f:16: limits.max_requests: expected a whole number"},
        {"[limits]\nmax_requests = 0\n",
         "f:16: limits.max_requests: 0 is out of range, expected 1 to 65536"},
        {"[log]\nlevel = \"loud\"\n",
         "f:16: log.level: unknown value 'loud', expected one of: debug, info, "
         "warning, error"},
    };
    for (const Case &C : Cases) {
      CheckedSettings Checked =
          readNodeSettings(std::string(ValidText) + C.Extra);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Checked.Errors.size());
      CPPUNIT_ASSERT_EQUAL(std::string(C.Expected),
                           formatSettingsError("f", Checked.Errors[0]));
    }
  }

  /// Guards against a reader that stops at the first error, so that an operator
  /// has to run the check once per error.
  void reportsAllErrorsInOneRun() {
    CheckedSettings Checked =
        readNodeSettings("[node]\nname = \"a/b\"\n[listen]\npeers = \"x\"\n");
    // Missing: fleet, failure_domain, three addresses, secret and platform.
    // Invalid: name and peers.
    CPPUNIT_ASSERT_EQUAL(std::size_t(9), Checked.Errors.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), readNodeSettings("[[").Errors.size());
  }

  /// Guards against an error message that contains the secret.
  void errorsDoNotContainSecret() {
    std::string Text(ValidText);
    Text.replace(Text.find("0123456789abcdef"), 16, "hush");
    CheckedSettings Checked = readNodeSettings(Text);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Checked.Errors.size());
    CPPUNIT_ASSERT(formatSettingsError("f", Checked.Errors[0]).find("hush") ==
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);

} // namespace
