#include "../../tools/teaselhitch/ConfigCommands.h"

#include "FakeStores.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace teaselhitch;

namespace {

const std::map<std::string, std::string> Files = {
    {"one.toml", "[[organisation]]\nname = \"firm\"\n"},
    {"two.toml", "[[organisation]]\nname = \"firm\"\nshare = 2\n"},
    {"bad.toml", "[[organisation]]\nname = \"firm\"\nshare = 0\n"},
};

class ConfigCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigCommandsTest);
  CPPUNIT_TEST(rejectsInvalidOptions);
  CPPUNIT_TEST(checksFiles);
  CPPUNIT_TEST(publishesAndShows);
  CPPUNIT_TEST(writesJson);
  CPPUNIT_TEST(exitCodesReflectCause);
  CPPUNIT_TEST_SUITE_END();

  std::shared_ptr<FakeTable> Table = std::make_shared<FakeTable>();
  std::shared_ptr<FakeObjects> Objects = std::make_shared<FakeObjects>();
  std::uint64_t Publications = 0;
  std::string Out;
  std::string Err;

  /// Runs `teaselhitch config` with the arguments in Line, separated by spaces.
  int run(const std::string &Line) {
    std::ostringstream OutText;
    std::ostringstream ErrText;
    ConfigEnvironment Env{
        OutText,
        ErrText,
        [this](const std::string &Platform) -> Result<ConfigStores> {
          if (Platform != "[::1]:80")
            return makeError(ErrorCode::InvalidInput, "no address");
          return ConfigStores{Table, Objects};
        },
        [](const std::string &Path) -> Result<std::string> {
          auto It = Files.find(Path);
          if (It == Files.end())
            return makeError(ErrorCode::InvalidInput, "cannot read");
          return It->second;
        },
        [] { return std::uint64_t(0); },
        [this] { return "id-" + std::to_string(++Publications); },
        [](Duration) {},
        {}};
    std::istringstream Words(Line);
    std::vector<std::string> Args;
    for (std::string Word; Words >> Word;)
      Args.push_back(Word);
    int Code = runConfig(Args, Env);
    Out = OutText.str();
    Err = ErrText.str();
    return Code;
  }

  int publish(const std::string &Arguments) {
    return run("publish --platform [::1]:80 --who mai --message m " +
               Arguments);
  }

  /// Guards against invalid options that are misread or silently ignored.
  void rejectsInvalidOptions() {
    const std::string Publish = "publish --platform [::1]:80 --who mai ";
    for (const std::string &Line :
         {std::string(), std::string("chekc one.toml"), std::string("check"),
          std::string("check --who x one.toml"),
          std::string("check --jsn one.toml"), std::string("publish one.toml"),
          Publish + "one.toml", Publish + "--message m --base -1 one.toml",
          Publish + "--message m --base x one.toml", std::string("show"),
          std::string("show --platform [::1]:80 one.toml"),
          std::string("show --platform [::1]:80 --version 0"),
          std::string("history --platform [::1]:80 --limit 0"),
          std::string("show --platform [::1]:81")})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Line, int(ExitBadInput), run(Line));
    CPPUNIT_ASSERT_EQUAL(int(ExitSuccess), run("check --help"));
    CPPUNIT_ASSERT(Out.find("usage:") == 0);
  }

  /// Guards against errors in object files that are missing from the output or
  /// the exit code.
  void checksFiles() {
    CPPUNIT_ASSERT_EQUAL(int(ExitSuccess), run("check one.toml"));
    CPPUNIT_ASSERT_EQUAL(std::string("valid: services 0, groups 0, rules 0, "
                                     "organisations 1, limits 0\n"),
                         Out);
    CPPUNIT_ASSERT_EQUAL(int(ExitBadInput), run("check bad.toml"));
    CPPUNIT_ASSERT(Err.find("bad.toml:3:9: key 'share'") == 0);
    CPPUNIT_ASSERT_EQUAL(int(ExitBadInput), run("check none.toml"));
    CPPUNIT_ASSERT_EQUAL(int(ExitBadInput), publish("bad.toml"));
    CPPUNIT_ASSERT(Table->Rows.empty());
  }

  /// Guards against commands that report different published configurations.
  void publishesAndShows() {
    CPPUNIT_ASSERT_EQUAL(int(ExitSuccess), publish("one.toml"));
    CPPUNIT_ASSERT(Out.find("published version 1 by mai at "
                            "1970-01-01T00:00:00Z: m\n") == 0);
    CPPUNIT_ASSERT_EQUAL(int(ExitSuccess),
                         run("diff --platform [::1]:80 two.toml"));
    CPPUNIT_ASSERT_EQUAL(std::string("~ organisation 'firm': share 1 -> 2\n"),
                         Out);
    CPPUNIT_ASSERT_EQUAL(int(ExitSuccess), publish("--base 1 two.toml"));
    CPPUNIT_ASSERT_EQUAL(int(ExitSuccess), run("show --platform [::1]:80"));
    CPPUNIT_ASSERT(Out.find("name = \"firm\"\nshare = 2\n") !=
                   std::string::npos);
    run("show --platform [::1]:80 --version 1");
    CPPUNIT_ASSERT(Out.find("share = 1\n") != std::string::npos);
    run("history --platform [::1]:80");
    CPPUNIT_ASSERT_EQUAL(
        std::string("version 2 by mai at 1970-01-01T00:00:00Z: m\n"
                    "version 1 by mai at 1970-01-01T00:00:00Z: m\n"),
        Out);
    run("history --platform [::1]:80 --limit 1");
    CPPUNIT_ASSERT(Out.find("version 2 ") == 0 &&
                   Out.find("version 1 ") == std::string::npos);
  }

  /// Guards against scripts that have to parse human-readable output.
  void writesJson() {
    publish("--json one.toml");
    CPPUNIT_ASSERT(
        Out.find("{\"status\":\"published\",\"head\":{\"version\":1,") == 0);
    run("diff --json --platform [::1]:80 two.toml");
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "{\"version\":1,\"differences\":[{\"kind\":"
            "\"organisation\",\"name\":\"firm\",\"change\":\"changed\","
            "\"field\":\"share\",\"before\":\"1\",\"after\":\"2\"}]}\n"),
        Out);
    run("check --json bad.toml");
    CPPUNIT_ASSERT(Out.find("{\"status\":\"invalid\",\"faults\":[{\"file\":"
                            "\"bad.toml\",\"line\":3,\"column\":9,") == 0);
    run("show --json --platform [::1]:80 --version 7");
    CPPUNIT_ASSERT_EQUAL(
        std::string("{\"status\":\"error\",\"code\":\"not-found\",\"message\":"
                    "\"there is no published version 7\"}\n"),
        Out);
  }

  /// Guards against scripts that retry a command that cannot succeed, or that
  /// do not retry after an outage.
  void exitCodesReflectCause() {
    CPPUNIT_ASSERT_EQUAL(int(ExitFailure), run("show --platform [::1]:80"));
    CPPUNIT_ASSERT_EQUAL(int(ExitBadInput), publish("--base 1 one.toml"));
    publish("one.toml");
    CPPUNIT_ASSERT_EQUAL(int(ExitFailure), publish("--base 0 two.toml"));
    CPPUNIT_ASSERT(Err.find("not published, another publication came first: "
                            "version 1 by mai") == 0);
    Table->Faults = [](StringArg, StringArg) {
      return StoreFault::Unavailable;
    };
    CPPUNIT_ASSERT_EQUAL(int(ExitUnreachable), publish("two.toml"));
    CPPUNIT_ASSERT_EQUAL(int(ExitUnreachable), run("show --platform [::1]:80"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigCommandsTest);

} // namespace
