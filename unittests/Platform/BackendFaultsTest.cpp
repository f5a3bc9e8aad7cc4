#include "../../tools/teaselhitch-standin/BackendFaults.h"

#include "../../tools/teaselhitch-standin/RequestPlan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;
using namespace teaselhitch::standin;

namespace {

BackendFaults parseFaults(const std::string &Body) {
  return handleError([&] { return parseBackendFaults(Body, Time(1000)); },
                     [](const Error &E) {
                       CPPUNIT_FAIL(E.Message);
                       return BackendFaults();
                     });
}

std::string parseErrorMessage(const std::string &Body) {
  return handleError(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(parseBackendFaults(Body, Time()));
        return std::string();
      },
      [](const Error &E) { return E.Message; });
}

class BackendFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendFaultsTest);
  CPPUNIT_TEST(failAffectsItsPercentageOfOneCaller);
  CPPUNIT_TEST(slowMultipliesWork);
  CPPUNIT_TEST(flapAlternates);
  CPPUNIT_TEST(errorsNameInvalidFaults);
  CPPUNIT_TEST(pathsAreParsed);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a partial gray failure that affects other callers or
  /// another percentage of the requests.
  void failAffectsItsPercentageOfOneCaller() {
    BackendFaults Faults =
        parseFaults(R"({"mode":"fail","percent":30,"caller":"acme"})");
    SeededRandom Random(1);
    int Failed = 0;
    for (int Count = 0; Count < 10000; ++Count) {
      Failed += chooseEffect(Faults, "acme", Time(), Random).Fails;
      CPPUNIT_ASSERT(!chooseEffect(Faults, "other", Time(), Random).Fails);
    }
    // The mean is 30% of 10,000; the bounds are five standard deviations of 46
    // away from it.
    CPPUNIT_ASSERT(Failed > 2770 && Failed < 3230);
  }

  /// Guards against a slow backend server that fails requests instead of
  /// delaying them.
  void slowMultipliesWork() {
    SeededRandom Random(1);
    FaultEffect Fate = chooseEffect(
        parseFaults(R"({"mode":"slow","factor":4})"), "", Time(), Random);
    CPPUNIT_ASSERT(!Fate.Fails);
    CPPUNIT_ASSERT_EQUAL(4.0, Fate.WorkFactor);
  }

  /// Guards against a flapping backend server that does not alternate between
  /// failing and healthy.
  void flapAlternates() {
    BackendFaults Faults = parseFaults(R"({"mode":"flap","period_ms":100})");
    SeededRandom Random(1);
    for (double Ms : {1000.0, 1099.0, 1200.0})
      CPPUNIT_ASSERT(chooseEffect(Faults, "", Time(Ms), Random).Fails);
    for (double Ms : {1100.0, 1199.0, 1300.0})
      CPPUNIT_ASSERT(!chooseEffect(Faults, "", Time(Ms), Random).Fails);
  }

  /// Guards against a misspelt fault that is ignored, so that the backend
  /// server stays healthy.
  void errorsNameInvalidFaults() {
    CPPUNIT_ASSERT_EQUAL(std::string("unknown member 'precent'"),
                         parseErrorMessage(R"({"mode":"fail","precent":3})"));
    CPPUNIT_ASSERT_EQUAL(std::string("'percent' is not a number from 0 up"),
                         parseErrorMessage(R"({"mode":"fail","percent":"3"})"));
    CPPUNIT_ASSERT_EQUAL(std::string("not a JSON object"),
                         parseErrorMessage("fail"));
    CPPUNIT_ASSERT(parseErrorMessage(R"({"mode":"fial"})").find("'fial'") !=
                   std::string::npos);
  }

  /// Guards against paid requests that request their keys from the guard of
  /// another service, and against a misspelt path list that is accepted and
  /// sends no requests.
  void pathsAreParsed() {
    auto Parse = [](const char *Spec) {
      return handleError(
          [&]() -> Result<std::string> {
            RequestPlan Plan;
            BOOST_LEAF_CHECK(parsePaths(Spec, Plan));
            std::string Text;
            for (const PlannedPath &Path : Plan.Idempotent)
              Text += "get " + Path.Path + ";";
            for (const PlannedPath &Path : Plan.Paid)
              Text += "paid " + Path.Path + " of " + Path.Service + ";";
            return Text;
          },
          [](const Error &) { return std::string("refused"); });
    };
    CPPUNIT_ASSERT_EQUAL(
        std::string("get /s/1;paid /b of b;paid /c/d of visit;"),
        Parse("get:/s/1,paid:/b,paid:/c/d@visit"));
    for (const char *Invalid : {"", "x", "get:s", "get:", "post:/s"})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Invalid, std::string("refused"),
                                   Parse(Invalid));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendFaultsTest);

} // namespace
