#include "../../platform/ConfigReader.h"

#include "teaselhitch/Config/Pieces.h"
#include "teaselhitch/Routing/RuleTable.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

const std::string CompleteConfig =
    R"({"Version":"r12","Limits":{"MaxHeaderBytes":16384,
"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Listeners":[{"Host":"A.example","Rules":[
{"Name":"r1","Kind":"safe","SloMs":1000,"Priority":2,"Match":{"Prefix":"/a/"},
"Action":{"Split":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],
"TimeoutMs":2000,"Attempts":2}},
{"Name":"r2","Kind":"unsafe","SloMs":500,"Priority":0,"Match":{"Prefix":"/a/b/"},
"Action":{"Service":"s2","TimeoutMs":1200,"Attempts":3}}]}],
"Clusters":[{"Name":"s2","HealthPath":"/health"},{"Name":"s1"}]})";

SourcedConfig read(const std::string &Text) {
  return handleError([&] { return parseStoredConfig(Text, ConfigDefaults()); },
                     [](const Error &E) {
                       CPPUNIT_FAIL(E.Message);
                       return SourcedConfig();
                     });
}

/// Returns CompleteConfig with the first occurrence of From replaced by To.
std::string replaceInConfig(const std::string &From, const std::string &To) {
  std::string Text = CompleteConfig;
  std::size_t Pos = Text.find(From);
  CPPUNIT_ASSERT(Pos != std::string::npos);
  return Text.replace(Pos, From.size(), To);
}

class ConfigReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigReaderTest);
  CPPUNIT_TEST(translatesAllFields);
  CPPUNIT_TEST(routesByHostAndLongestPrefix);
  CPPUNIT_TEST(splitsByWeight);
  CPPUNIT_TEST(refusesInvalidConfig);
  CPPUNIT_TEST(rulesOfTwoHostsMayShareAName);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against fields that are dropped or swapped in the translation.
  void translatesAllFields() {
    SourcedConfig Read = read(CompleteConfig);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), Read.Version);
    const ObjectSet &Objects = Read.Objects;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Objects.Services.size());
    CPPUNIT_ASSERT_EQUAL(std::string("/health"),
                         Objects.Services.at(1).HealthPath);
    CPPUNIT_ASSERT(!Objects.Services.at(0).EjectionsEnabled);
    const Rule &Split = Objects.Rules.at(0);
    CPPUNIT_ASSERT(Split.Idempotent && Split.Host == "a.example");
    CPPUNIT_ASSERT(Split.Objective == Duration(1000));
    CPPUNIT_ASSERT(Split.Deadline == Duration(2000));
    const Rule &Once = Objects.Rules.at(1);
    CPPUNIT_ASSERT(!Once.Idempotent && Once.MaxAttempts == 3 &&
                   Once.Priority == 0 && Once.Group.str() == "s2");
    const Listener &L = Objects.Listeners.at(0);
    CPPUNIT_ASSERT(L.MaxBodyBytes == 67108864 &&
                   L.IdleTimeout == Duration(15000));
  }

  /// Guards against a valid configuration that every node refuses, so that its
  /// new routes are never served, because two hosts have a rule of one name.
  void rulesOfTwoHostsMayShareAName() {
    const std::string Rule =
        R"({"Name":"r1","Kind":"safe","Match":{"Prefix":"/x/"},)"
        R"("Action":{"Service":"s","TimeoutMs":1000}})";
    std::string Text = R"({"Version":"r3","Clusters":[{"Name":"s"}],)"
                       R"("Listeners":[{"Host":"a.example","Rules":[)" +
                       Rule + R"(]},{"Host":"b.example","Rules":[)" + Rule +
                       "]}]}";
    PieceSet Set = splitIntoPieces(read(Text).Objects);
    auto Active = std::make_shared<ActiveConfig>();
    Active->Objects =
        handleError([&] { return joinPieces(Set.ManifestHash, Set.Pieces); },
                    [](const Error &E) {
                      CPPUNIT_FAIL(E.Message);
                      return ObjectSet();
                    });
    RuleTable Table(Active);
    for (const char *Host : {"a.example", "b.example"})
      CPPUNIT_ASSERT(Table.match("GET", Host, "/x/1"));
  }

  /// Guards against requests that are routed to the service of another rule.
  void routesByHostAndLongestPrefix() {
    auto Active = std::make_shared<ActiveConfig>();
    Active->Objects = read(CompleteConfig).Objects;
    RuleTable Table(Active);
    struct Case {
      const char *Host;
      const char *Path;
      const char *Expected;
    };
    for (const Case &C :
         {Case{"a.example", "/a/x", "r1"}, Case{"a.example", "/a/b/x", "r2"},
          Case{"a.example", "/a/b", "r1"}, Case{"a.example", "/a/", "r1"},
          Case{"a.example", "/a", ""}, Case{"b.example", "/a/x", ""},
          Case{"", "/a/x", ""}, Case{"a.example", "/ab/", ""}}) {
      const MatchedRule *Found = Table.match("GET", C.Host, C.Path);
      CPPUNIT_ASSERT_EQUAL(std::string(C.Expected),
                           Found ? Found->Object->Name.str() : "");
    }
  }

  /// Guards against a split whose shares differ from the weights.
  void splitsByWeight() {
    auto Active = std::make_shared<ActiveConfig>();
    Active->Objects = read(CompleteConfig).Objects;
    RuleTable Table(Active);
    const MatchedRule *Found = Table.match("GET", "a.example", "/a/x");
    constexpr int Draws = 1000;
    int Second = 0;
    for (int I = 0; I != Draws; ++I)
      Second += Found->choose(static_cast<double>(I) / Draws)
                            .Dest.TargetService->Name.str() == "s2"
                    ? 1
                    : 0;
    CPPUNIT_ASSERT_EQUAL(Draws / 10, Second);
  }

  /// Guards against configurations that are applied in part, and against error
  /// messages that do not name the invalid field.
  void refusesInvalidConfig() {
    struct Case {
      std::string Text;
      const char *ExpectedInMessage;
    };
    const Case Cases[] = {
        {"{", "JSON"},
        {CompleteConfig.substr(0, CompleteConfig.size() / 2), "JSON"},
        {replaceInConfig("\"r12\"", "12"), "Version"},
        {replaceInConfig("\"r12\"", "\"12\""), "version"},
        {replaceInConfig("\"TimeoutMs\":2000,", ""), "TimeoutMs"},
        {replaceInConfig("\"safe\"", "7"), "Kind"},
        {replaceInConfig("\"Weight\":90", "\"Weight\":-1"), "Weight"},
        {replaceInConfig("{\"Prefix\":\"/a/\"}", "{}"), "Prefix"},
    };
    for (const Case &C : Cases) {
      std::string Message;
      handleError([&] { return parseStoredConfig(C.Text, ConfigDefaults()); },
                  [&](const Error &E) {
                    Message = E.Message;
                    return SourcedConfig();
                  });
      CPPUNIT_ASSERT(Message.find(C.ExpectedInMessage) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigReaderTest);

} // namespace
