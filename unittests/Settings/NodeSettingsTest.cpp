#include "teaselhitch/Settings/NodeSettings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <map>
#include <sstream>

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

using Fields = std::map<std::string, std::string>;

/// Replaces {{NAME}} in a settings template, and removes the sections
/// {{#NAME}} ... {{/NAME}} of fields that are absent.
std::string renderTemplate(std::string Text, const Fields &Values) {
  for (std::size_t Open = Text.find("{{#"); Open != std::string::npos;
       Open = Text.find("{{#")) {
    std::size_t NameEnd = Text.find("}}", Open);
    std::string Name = Text.substr(Open + 3, NameEnd - Open - 3);
    std::string Close = "{{/" + Name + "}}";
    std::size_t End = Text.find(Close, NameEnd);
    std::string Inner = Text.substr(NameEnd + 2, End - NameEnd - 2);
    Text.replace(Open, End + Close.size() - Open,
                 Values.count(Name) != 0 ? Inner : "");
  }
  for (std::size_t Open = Text.find("{{"); Open != std::string::npos;
       Open = Text.find("{{")) {
    std::size_t End = Text.find("}}", Open);
    auto It = Values.find(Text.substr(Open + 2, End - Open - 2));
    Text.replace(Open, End + 2 - Open, It == Values.end() ? "" : It->second);
  }
  return Text;
}

/// The settings that the platform makes from the template of the deployment.
CheckedSettings settingsWithBounds(const Fields &Bounds) {
  std::ifstream In(DEPLOY_TEMPLATE);
  std::ostringstream Template;
  Template << In.rdbuf();
  CPPUNIT_ASSERT(!Template.str().empty());
  Fields Values = {{"NodeName", "n1"},
                   {"Zone", "d1"},
                   {"Service", "s"},
                   {"Listen.Outbound", "10.0.0.1:7001"},
                   {"Listen.Control", "10.0.0.1:7002"},
                   {"Listen.Ready", "10.0.0.1:7003"},
                   {"Listen.Inbound", "10.0.0.1:7004"},
                   {"Platform.Address", "10.0.0.9:7900"}};
  Values.insert(Bounds.begin(), Bounds.end());
  return readNodeSettings(renderTemplate(Template.str(), Values));
}

class NodeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeSettingsTest);
  CPPUNIT_TEST(readsValidSettings);
  CPPUNIT_TEST(reportsInvalidSettings);
  CPPUNIT_TEST(reportsAllErrorsInOneRun);
  CPPUNIT_TEST(errorsDoNotContainSecret);
  CPPUNIT_TEST(everyPlatformBoundIsAccepted);
  CPPUNIT_TEST(platformBoundsAreApplied);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against values that are stored in the wrong field.
  void readsValidSettings() {
    CheckedSettings Checked = readNodeSettings(
        std::string(ValidText) + "[limits]\ndrain_timeout_ms = 500\n" +
        "[policy]\nremote_domain_ms = 9\n");
    CPPUNIT_ASSERT(Checked.Errors.empty());
    const NodeSettings &S = Checked.Settings;
    CPPUNIT_ASSERT_EQUAL(std::string("n1"), S.Node.str());
    CPPUNIT_ASSERT((S.Peers == Endpoint{"127.0.0.1", 7004}));
    CPPUNIT_ASSERT((S.Seeds[1] == Endpoint{"::1", 7204}));
    CPPUNIT_ASSERT(S.DrainTimeout == Duration(500));
    CPPUNIT_ASSERT(S.RemoteDomainRoundTrip == Duration(9));
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

  /// Guards against a fleet that does not start because a bound of the platform
  /// is a fraction, zero, very large or absent.
  void everyPlatformBoundIsAccepted() {
    const char *const Names[] = {"Bounds.GraceS",     "Bounds.RetrySlack",
                                 "Bounds.RetryRatio", "Bounds.BudgetWindowS",
                                 "Limits.MemoryMb",   "Region"};
    const char *const Numbers[] = {"0",   "0.4", "24.15",      "3",
                                   "1e9", "inf", "99999999999"};
    CPPUNIT_ASSERT(settingsWithBounds({}).Errors.empty());
    for (const char *Name : Names)
      for (const char *Number : Numbers) {
        CheckedSettings Checked = settingsWithBounds({{Name, Number}});
        for (const SettingsError &E : Checked.Errors)
          CPPUNIT_FAIL(std::string(Name) + " = " + Number + ": " +
                       formatSettingsError("f", E));
      }
  }

  /// Guards against a fraction that is rounded away, and against a deployment
  /// without an allowance for retries whose nodes use the default allowance.
  void platformBoundsAreApplied() {
    NodeSettings Fraction =
        settingsWithBounds({{"Bounds.RetrySlack", "24.15"}}).Settings;
    CPPUNIT_ASSERT(Fraction.FleetRetries == 24.15);
    CPPUNIT_ASSERT(settingsWithBounds({{"Bounds.RetrySlack", "0"}})
                       .Settings.FleetRetries == 0.0);
    CPPUNIT_ASSERT(!settingsWithBounds({}).Settings.FleetRetries);
    CheckedSettings Short = settingsWithBounds({{"Bounds.GraceS", "0.4"}});
    CPPUNIT_ASSERT(Short.Settings.DrainGrace + Short.Settings.DrainTimeout <=
                   Duration(400));
    CPPUNIT_ASSERT(Short.Settings.DrainTimeout >= Duration());
    // The template omits the setting if the platform does not state the memory.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         heldBytesLimit(settingsWithBounds({}).Settings));
    for (auto [MemoryMb, HeldMb] :
         {std::pair("160", 96), std::pair("512", 448), std::pair("100", 60)}) {
      CheckedSettings Limited =
          settingsWithBounds({{"Limits.MemoryMb", MemoryMb}});
      CPPUNIT_ASSERT(Limited.Errors.empty());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(HeldMb) * 1000 * 1000,
                           heldBytesLimit(Limited.Settings));
    }
    CheckedSettings Large = settingsWithBounds({{"Bounds.GraceS", "1e9"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Large.Warnings.size());
    CPPUNIT_ASSERT_EQUAL(std::string("limits.stop_time_s"),
                         Large.Warnings.front().Key);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);

} // namespace
