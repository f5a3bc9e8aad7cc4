#include "teaselhitch/Config/Check.h"

#include "teaselhitch/Config/Text.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

/// A valid set, checked together with the erroneous file of each case.
const char *const Base = R"([[service]]
name = "seats"
floor = 4
detection = "fast-detection"
[[group]]
name = "seat-workers"
service = "seats"
failure_domains = ["sapporo", "otaru"]
label = "blue"
expected_size = 8
[[rule]]
name = "lookup"
method = "GET"
path_prefix = "/seats"
group = "seat-workers"
idempotent = true
deadline_ms = 2000
[[organisation]]
name = "guests"
share = 3
[[limit]]
name = "seats-limit"
service = "seats"
)";

// Two digests, in order.
const std::string FirstDigest(64, '1');
const std::string SecondDigest(64, 'a');

/// Checks Text together with Base and returns all diagnostics, one per line.
std::string checkText(const std::string &Text) {
  CheckedSet Set = checkObjects({{"base.toml", Base}, {"more.toml", Text}},
                                {{"consecutive", "sequential", "window"}});
  std::string All;
  for (const Diagnostic &D : Set.Diagnostics)
    All += (All.empty() ? "" : "\n") + toString(D);
  return All;
}

struct Case {
  const char *Text;
  /// All diagnostics, one per line.
  const char *Expected;
};

const Case Cases[] = {
    {"[[servce]]\nname = \"a\"",
     "more.toml:1:3: unknown table 'servce', did you mean 'service'?"},
    {"[service]\nname = \"a\"",
     "more.toml:1:1: 'service' must be an array of tables, write [[service]]"},
    {"[[organisation]]\nname = \"a\"\nshares = 2",
     "more.toml:3:1: unknown key 'shares' in organisation 'a', did you mean "
     "'share'?"},
    {"[[organisation]]\nname = \"a\"\nshare = \"2\"",
     "more.toml:3:9: key 'share' in organisation 'a' must be an integer, not a "
     "string"},
    {"[[organisation]]\nname = \"a\"\nshare = 0",
     "more.toml:3:9: key 'share' in organisation 'a' must be from 1 to 10000, "
     "not 0"},
    {"[[organisation]]\nshare = 1",
     "more.toml:1:1: missing key 'name' in organisation"},
    {"[[organisation]]\nname = \"a b\"",
     "more.toml:2:8: invalid name 'a b' for key 'name' in organisation 'a b', "
     "a name has 1 to 64 of a-z A-Z 0-9 . _ - and starts with a letter or a "
     "digit"},
    {"[[organisation]]\nname = \"guests\"",
     "more.toml:2:8: duplicate organisation 'guests', first defined at "
     "base.toml:19:8"},
    {"[[rule]]\nname = \"r\"\npath_prefix = \"/r\"\ngroup = \"seat-worker\"",
     "more.toml:4:9: unknown group 'seat-worker' in rule 'r', did you mean "
     "'seat-workers'?"},
    {"[[rule]]\nname = \"r\"\npath_prefix = \"/seats\"\nmethod = \"GET\"\n"
     "group = \"seat-workers\"",
     "more.toml:3:15: rule 'r' has the same method and path prefix as rule "
     "'lookup' at base.toml:14:15"},
    {"[[rule]]\nname = \"r\"\npath_prefix = \"/r\"\ngroup = \"seat-workers\"\n"
     "paid = true\nidempotent = true",
     "more.toml:5:8: rule 'r' is paid and idempotent, but a paid request must "
     "not run twice"},
    {"[[rule]]\nname = \"r\"\npath_prefix = \"/r//\"\n"
     "group = \"seat-workers\"\nmethod = \"get\"\ndeadline_ms = 30001",
     "more.toml:3:15: key 'path_prefix' in rule 'r' must have no empty, '.' or "
     "'..' segment and no '/' at the end, not '/r//'\n"
     "more.toml:5:10: unknown method 'get' in rule 'r', did you mean 'GET'?\n"
     "more.toml:6:15: key 'deadline_ms' in rule 'r' must be from 1 to 30000 "
     "milliseconds, not 30001"},
    {"[[limit]]\nname = \"l\"\nservice = \"seats\"",
     "more.toml:3:11: limit 'l' is the second for service 'seats', the first "
     "is 'seats-limit' at base.toml:23:11"},
    {"[[service]]\nname = \"b\"", "more.toml:2:8: service 'b' has no group"},
    {"[[service]]\nname = \"b\"\nfloor = 5\n[[group]]\nname = \"g\"\n"
     "service = \"b\"\nexpected_size = 4",
     "more.toml:3:9: floor 5 of service 'b' is above the 4 backend servers "
     "that its groups expect"},
    {"[[service]]\nname = \"b\"\ndetection = \"fast\"\n"
     "detector = \"sequental\"\n[[group]]\nname = \"g\"\nservice = \"b\"",
     "more.toml:3:13: unknown detection 'fast' in service 'b', known: "
     "few-false-ejections, balanced, fast-detection\n"
     "more.toml:4:12: unknown detector 'sequental' in service 'b', did you "
     "mean 'sequential'?"},
    {"[[group]]\nname = \"g\"\nservice = \"seats\"\n"
     "failure_domains = [\"x\", 3, \"x\"]\nlabel = \"a\\u0007\"",
     "more.toml:4:25: key 'failure_domains' in group 'g' must list strings, "
     "not an integer\n"
     "more.toml:4:28: key 'failure_domains' in group 'g' lists 'x' twice\n"
     "more.toml:5:9: key 'label' in group 'g' must have at most 128 bytes and "
     "no control characters, not 'a\a'"},
    // References are not reported while a file has a syntax error, because the
    // referenced object may be defined in that file.
    {"[[rule]]\nname = \"r\npath_prefix = \"/r\"",
     "more.toml:2:10: syntax error while parsing string: "},
};

/// An organisation whose lines after the name are Rest.
std::string organisation(const std::string &Name, const std::string &Rest) {
  return "[[organisation]]\nname = \"" + Name + "\"\n" + Rest + "\n";
}

class CheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CheckTest);
  CPPUNIT_TEST(reportsErrorsWithLocation);
  CPPUNIT_TEST(invalidCredentialsAreReported);
  CPPUNIT_TEST(readsAllKeysSortedByName);
  CPPUNIT_TEST(tomlTextRoundTrips);
  CPPUNIT_TEST(rejectsEmptySet);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against errors that are not detected, that hide other errors, or
  /// that are reported with a wrong location or an unhelpful message.
  void reportsErrorsWithLocation() {
    for (const Case &C : Cases) {
      std::string Found = checkText(C.Text);
      if (std::string(C.Expected).find("syntax error") != std::string::npos)
        Found = Found.substr(0, std::string(C.Expected).size());
      CPPUNIT_ASSERT_EQUAL(std::string(C.Expected), Found);
    }
  }

  /// Guards against a key that gives access to two organisations, rates out of
  /// range, and a key that is written instead of its digest and then shown.
  void invalidCredentialsAreReported() {
    const std::string Twice =
        "key_digests = [\"" + FirstDigest + "\", \"" + FirstDigest + "\"]";
    const std::string Once = "key_digests = [\"" + FirstDigest + "\"]";
    const std::pair<std::string, std::string> Faults[] = {
        {organisation("a", "key_digests = [\"the-key\"]"),
         "more.toml:3:16: key 'key_digests' in organisation 'a' must list "
         "SHA-256 digests of 64 lower-case hexadecimal digits"},
        {organisation("a", Twice),
         "more.toml:3:84: key 'key_digests' in organisation 'a' lists a digest "
         "twice"},
        {organisation("a", Once) + organisation("b", Once),
         "more.toml:6:15: organisation 'b' has a key that organisation 'a' at "
         "more.toml:3:15 has as well"},
        {organisation("a", "rate_per_s = -1"),
         "more.toml:3:14: key 'rate_per_s' in organisation 'a' must be from 0 "
         "to 1000000000 requests, not -1"},
        {organisation("a", "burst = 1000000001"),
         "more.toml:3:9: key 'burst' in organisation 'a' must be from 0 to "
         "1000000000 requests, not 1000000001"},
        {organisation("a", "rate_per_s = inf"),
         "more.toml:3:14: key 'rate_per_s' in organisation 'a' must be an "
         "integer number of requests, not a floating-point number"},
        {organisation("a", "priority = 101"),
         "more.toml:3:12: key 'priority' in organisation 'a' must be from 0 to "
         "100, not 101"}};
    for (const auto &[Text, Expected] : Faults)
      CPPUNIT_ASSERT_EQUAL(Expected, checkText(Text));
  }

  /// Guards against keys that are accepted but not stored, and against a result
  /// that depends on the order of the files.
  void readsAllKeysSortedByName() {
    SourceFile More{"more.toml", "[[organisation]]\nname = \"doors\""};
    CheckedSet Set = checkObjects({{"base.toml", Base}, More});
    CPPUNIT_ASSERT(Set.isValid());
    ObjectSet Expected;
    Expected.Services = {{ServiceName("seats"), 4,
                          DetectionPreset::FastDetection, "sequential"}};
    Expected.Groups = {{GroupName("seat-workers"),
                        ServiceName("seats"),
                        {FailureDomain("otaru"), FailureDomain("sapporo")},
                        "blue",
                        8}};
    Expected.Rules = {{RuleName("lookup"), "GET", "/seats",
                       GroupName("seat-workers"), true, false, Duration(2000)}};
    Expected.Organisations = {{OrganisationName("doors"), 1},
                              {OrganisationName("guests"), 3}};
    Expected.Limits = {{LimitName("seats-limit"), ServiceName("seats")}};
    CPPUNIT_ASSERT(Expected == Set.Objects);
    CPPUNIT_ASSERT(checkObjects({More, {"base.toml", Base}}).Objects ==
                   Expected);
  }

  /// Guards against TOML output that an operator cannot publish again.
  void tomlTextRoundTrips() {
    ObjectSet Set = checkObjects({{"base.toml", Base}}).Objects;
    Set.Groups[0].Label = "quote \" backslash \\ \xc3\xa9";
    Set.Rules[0].IsPublic = true;
    Organisation &O = Set.Organisations[0];
    O.KeyDigests = {FirstDigest, SecondDigest};
    O.Priority = 0;
    O.RatePerS = 70;
    O.Burst = 140;
    Set.Listeners.emplace_back().Name = ListenerName("callers");
    Set.Listeners[0].RequiresCredentials = true;
    CheckedSet Reread = checkObjects({{"again.toml", toToml(Set)}});
    CPPUNIT_ASSERT(Reread.isValid());
    CPPUNIT_ASSERT(Set == Reread.Objects);
  }

  /// Guards against a wrong file that, when published, removes all objects.
  void rejectsEmptySet() {
    CheckedSet Set = checkObjects({{"empty.toml", "# nothing\n"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Set.Diagnostics.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("empty.toml:0:0: the files define no objects"),
        toString(Set.Diagnostics[0]));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckTest);

} // namespace
