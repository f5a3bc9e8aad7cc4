#include "../../platform/ConfigReader.h"

#include "teaselhitch/Config/Pieces.h"
#include "teaselhitch/Routing/RuleTable.h"
#include "teaselhitch/Support/Hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

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

/// Returns CompleteConfig with this text as the value of the member Tenants.
std::string withOrganisations(const std::string &Tenants) {
  return replaceInConfig("\"Clusters\"",
                         "\"Tenants\":" + Tenants + ",\"Clusters\"");
}

/// Returns the error message for a configuration, or an empty string.
std::string readError(const std::string &Text) {
  std::string Message;
  handleError([&] { return parseStoredConfig(Text, ConfigDefaults()); },
              [&](const Error &E) {
                Message = E.Message;
                return SourcedConfig();
              });
  return Message;
}

class ConfigReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigReaderTest);
  CPPUNIT_TEST(translatesAllFields);
  CPPUNIT_TEST(routesByHostAndLongestPrefix);
  CPPUNIT_TEST(splitsByWeight);
  CPPUNIT_TEST(refusesInvalidConfig);
  CPPUNIT_TEST(translatesOrganisations);
  CPPUNIT_TEST(organisationsRequireCredentials);
  CPPUNIT_TEST(refusesInvalidOrganisations);
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

  /// Guards against keys that are lost, stored in plain text or given to
  /// another organisation, and against members that are dropped or swapped.
  void translatesOrganisations() {
    ObjectSet Objects =
        read(withOrganisations(
                 R"([{"Name":"late","ApiKeys":["k~3"],"Priority":0,)"
                 R"("RatePerS":70,"Burst":140},)"
                 R"({"Name":"early","ApiKeys":["k-1","k!2"]},)"
                 R"({"Name":"none","ApiKeys":[],"RatePerS":0}])"))
            .Objects;
    Organisation Early;
    Early.Name = OrganisationName("early");
    Early.KeyDigests = {sha256Hex("k-1"), sha256Hex("k!2")};
    std::sort(Early.KeyDigests.begin(), Early.KeyDigests.end());
    Organisation Late;
    Late.Name = OrganisationName("late");
    Late.KeyDigests = {sha256Hex("k~3")};
    Late.Priority = 0;
    Late.RatePerS = 70;
    Late.Share = 70;
    Late.Burst = 140;
    Organisation None;
    None.Name = OrganisationName("none");
    CPPUNIT_ASSERT(Objects.Organisations ==
                   (std::vector<Organisation>{Early, Late, None}));
    PieceSet Set = splitIntoPieces(Objects);
    for (const auto &[Hash, Bytes] : Set.Pieces)
      for (const char *Key : {"k-1", "k!2", "k~3"})
        CPPUNIT_ASSERT(Bytes.find(Key) == std::string::npos);
    CPPUNIT_ASSERT(joinPieces(Set.ManifestHash, Set.Pieces).value() == Objects);
  }

  /// Guards against a node that serves everyone after all keys were revoked, or
  /// that asks for keys in a deployment without organisations.
  void organisationsRequireCredentials() {
    ObjectSet Without = read(CompleteConfig).Objects;
    CPPUNIT_ASSERT(!Without.Listeners.at(0).RequiresCredentials);
    for (const Rule &R : Without.Rules)
      CPPUNIT_ASSERT(!R.IsPublic);
    for (const char *Tenants :
         {"[]", R"([{"Name":"a","ApiKeys":[]}])", R"([{"Name":"a"}])"}) {
      ObjectSet Objects = read(withOrganisations(Tenants)).Objects;
      CPPUNIT_ASSERT(Objects.Listeners.at(0).RequiresCredentials);
      CPPUNIT_ASSERT(Objects.Listeners.at(0).IdleTimeout == Duration(15000));
    }
    // Without limits, too.
    std::string Text = withOrganisations("[]");
    std::size_t First = Text.find("\"Limits\"");
    Text.erase(First, Text.find("\"Listeners\"") - First);
    CPPUNIT_ASSERT(read(Text).Objects.Listeners.at(0).RequiresCredentials);
    ObjectSet Public = read(replaceInConfig("\"SloMs\":1000,",
                                            "\"SloMs\":1000,\"NoAuth\":true,"))
                           .Objects;
    CPPUNIT_ASSERT(Public.Rules.at(0).IsPublic && !Public.Rules.at(1).IsPublic);
  }

  /// Guards against invalid organisations that are applied in part, that stop
  /// the process, or whose keys are written to the log with the message.
  void refusesInvalidOrganisations() {
    struct Case {
      const char *Tenants;
      const char *ExpectedInMessage;
    };
    const Case Cases[] = {
        {"null", "Tenants: expected an array"},
        {"{}", "Tenants: expected an array"},
        {"[7]", "Tenants[0].Name: expected a string"},
        {R"([{"ApiKeys":["secret"]}])", "Tenants[0].Name: expected a string"},
        {R"([{"Name":"","ApiKeys":["secret"]}])", "Tenants[0].Name: ''"},
        {R"([{"Name":"a b","ApiKeys":[]}])", "Tenants[0].Name: 'a b'"},
        {R"([{"Name":"a"},{"Name":"b"},{"Name":"a"}])",
         "Tenants[2].Name: 'a' is the name of Tenants[0]"},
        {R"([{"Name":"a","ApiKeys":["secret","secret"]}])",
         "Tenants[0].ApiKeys[1]: the same key as Tenants[0].ApiKeys[0]"},
        {R"([{"Name":"a","ApiKeys":["x","secret"]},)"
         R"({"Name":"b","ApiKeys":["secret"]}])",
         "Tenants[1].ApiKeys[0]: the same key as Tenants[0].ApiKeys[1]"},
        {R"([{"Name":"a","ApiKeys":"secret"}])",
         "Tenants[0].ApiKeys: expected an array"},
        {R"([{"Name":"a","ApiKeys":null}])",
         "Tenants[0].ApiKeys: expected an array"},
        {R"([{"Name":"a","ApiKeys":[7]}])", "Tenants[0].ApiKeys[0]: expected"},
        {R"([{"Name":"a","ApiKeys":["x",""]}])",
         "Tenants[0].ApiKeys[1]: expected printable ASCII"},
        {R"([{"Name":"a","ApiKeys":["secret one"]}])",
         "Tenants[0].ApiKeys[0]: expected printable ASCII"},
        {R"([{"Name":"a","ApiKeys":["secret\n"]}])",
         "Tenants[0].ApiKeys[0]: expected printable ASCII"},
        {R"([{"Name":"a","ApiKeys":["secret\u0000"]}])",
         "Tenants[0].ApiKeys[0]: expected printable ASCII"},
        {R"([{"Name":"a","ApiKeys":["secret\u007f"]}])",
         "Tenants[0].ApiKeys[0]: expected printable ASCII"},
        {R"([{"Name":"a","ApiKeys":["secret\u00e9"]}])",
         "Tenants[0].ApiKeys[0]: expected printable ASCII"},
        {R"([{"Name":"a","RatePerS":-1}])", "Tenants[0].RatePerS: expected a"},
        {R"([{"Name":"a","RatePerS":0.5}])", "Tenants[0].RatePerS: expected a"},
        {R"([{"Name":"a","RatePerS":"9"}])", "Tenants[0].RatePerS: expected a"},
        {R"([{"Name":"a","RatePerS":null}])",
         "Tenants[0].RatePerS: expected a whole number"},
        {R"([{"Name":"a","RatePerS":1000000001}])",
         "Tenants[0].RatePerS: expected at most 1000000000"},
        {R"([{"Name":"a","Burst":1e300}])", "Tenants[0].Burst: expected"},
        {R"([{"Name":"a","Burst":1e999}])", ""},
        {R"([{"Name":"a","Burst":Infinity}])", "JSON"},
        {R"([{"Name":"a","Burst":NaN}])", "JSON"},
        {R"([{"Name":"a","Burst":-0.1}])", "Tenants[0].Burst: expected"},
        {R"([{"Name":"a","Burst":18446744073709551616}])",
         "Tenants[0].Burst: expected"},
        {R"([{"Name":"a","Priority":-1}])", "Tenants[0].Priority: expected"},
        {R"([{"Name":"a","Priority":4294967296}])",
         "Tenants[0].Priority: expected at most"},
    };
    for (const Case &C : Cases) {
      std::string Message = readError(withOrganisations(C.Tenants));
      CPPUNIT_ASSERT_MESSAGE(C.Tenants, !Message.empty());
      CPPUNIT_ASSERT_MESSAGE(Message, Message.find(C.ExpectedInMessage) !=
                                          std::string::npos);
      CPPUNIT_ASSERT(Message.find("secret") == std::string::npos);
    }
    CPPUNIT_ASSERT(readError(replaceInConfig("\"SloMs\":1000,",
                                             "\"SloMs\":1000,\"NoAuth\":1,"))
                       .find("NoAuth: expected true or false") !=
                   std::string::npos);
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
