#include "../../tools/teaselhitch-standin/Verify.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;
using namespace teaselhitch::standin;

namespace {

/// Returns the record of a try whose answer matches its request.
TryRecord makeTry(std::uint64_t Request, std::uint64_t Try,
                  const std::string &Key, const std::string &Outcome) {
  TryRecord Record;
  Record.Request = Request;
  Record.Try = Try;
  Record.Key = Key;
  Record.Outcome = Outcome;
  Record.RequestId = "r" + std::to_string(Request) + "-" + std::to_string(Try);
  Record.Matches = true;
  return Record;
}

/// Returns the violated guarantees and their subjects as text, in the order of
/// the report.
std::string listViolations(const std::vector<std::vector<TryRecord>> &Files,
                           const RunCounts &Runs) {
  std::string Text;
  for (const Violation &V : verifyRecords(Files, Runs).Violations)
    Text += V.Guarantee + " " + V.Subject + ";";
  return Text;
}

/// Returns the counts of runs by key and by request id in Files as text, or the
/// name of the error code.
std::string sumRuns(const std::vector<std::string> &Files) {
  return handleError(
      [&]() -> Result<std::string> {
        RunTotals Totals;
        for (const std::string &File : Files)
          BOOST_LEAF_CHECK(Totals.addFile(File));
        std::string Text;
        for (const auto &[Key, Count] : Totals.sum().ByKey)
          Text += Key + "=" + std::to_string(Count) + " ";
        for (const auto &[Id, Count] : Totals.sum().ByRequest)
          Text += Id + "=" + std::to_string(Count) + " ";
        return Text;
      },
      [](const Error &E) { return std::string(errorCodeName(E.Code)); });
}

std::string runLine(int Incarnation, const std::string &Key) {
  return "{\"address\":\"a:1\",\"incarnation\":" + std::to_string(Incarnation) +
         ",\"key\":\"" + Key + "\",\"request_id\":\"\"}\n";
}

class VerifyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VerifyTest);
  CPPUNIT_TEST(validRecordsHaveNoViolations);
  CPPUNIT_TEST(secondRunIsReported);
  CPPUNIT_TEST(runAfterNotRunIsReported);
  CPPUNIT_TEST(foreignAnswerIsReported);
  CPPUNIT_TEST(emptyRecordsDoNotPass);
  CPPUNIT_TEST(runsOfAllProcessesAreSummed);
  CPPUNIT_TEST(recordRoundTripsThroughJson);
  CPPUNIT_TEST(malformedFilesAreRefused);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against false reports: a request with an unknown outcome may or may
  /// not have run, and a released key may run after a not-run try.
  void validRecordsHaveNoViolations() {
    std::vector<TryRecord> Records = {
        makeTry(1, 1, "k1", "completed"), makeTry(2, 1, "k2", "unknown"),
        makeTry(2, 2, "k2", "unknown"),   makeTry(3, 1, "k3", "not-run"),
        makeTry(4, 1, "k4", "unknown"),   makeTry(4, 2, "k4", "not-run"),
        makeTry(5, 1, "", "completed"),   makeTry(6, 1, "k6", "completed")};
    RunCounts Runs{{{"k1", 1}, {"k2", 1}, {"k4", 1}},
                   // An idempotent request may run several times.
                   {{"r1-1", 1}, {"r4-1", 1}, {"r5-1", 3}}};
    VerifyReport Report = verifyRecords({Records}, Runs);
    CPPUNIT_ASSERT_EQUAL(std::string(), listViolations({Records}, Runs));
    CPPUNIT_ASSERT(Report.holds());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), Report.Requests);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), Report.Tries);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Report.CompletedWithoutRun);
  }

  /// Guards against a second run of a paid request that is not reported, also
  /// if no record contains its key.
  void secondRunIsReported() {
    RunCounts Runs{{{"k1", 2}, {"stray", 3}}, {}};
    CPPUNIT_ASSERT_EQUAL(
        std::string("ran-more-than-once k1;ran-more-than-once stray;"),
        listViolations({{makeTry(1, 1, "k1", "completed")}}, Runs));
  }

  /// Guards against a false not-run outcome that is not reported: by key if all
  /// tries ended as not-run, and by request id for each try.
  void runAfterNotRunIsReported() {
    std::vector<TryRecord> OneTry = {makeTry(1, 1, "k1", "not-run")};
    CPPUNIT_ASSERT_EQUAL(std::string("ran-though-not-run k1;"),
                         listViolations({OneTry}, {{{"k1", 1}}, {}}));
    std::vector<TryRecord> TwoTries = {makeTry(1, 1, "k1", "not-run"),
                                       makeTry(1, 2, "k1", "not-run")};
    CPPUNIT_ASSERT_EQUAL(std::string("ran-though-not-run k1;"),
                         listViolations({TwoTries}, {{{"k1", 1}}, {}}));
    std::vector<TryRecord> Idempotent = {makeTry(1, 1, "", "not-run")};
    CPPUNIT_ASSERT_EQUAL(std::string("ran-though-not-run r1-1;"),
                         listViolations({Idempotent}, {{}, {{"r1-1", 1}}}));
    std::vector<TryRecord> SecondRan = {makeTry(1, 1, "k1", "unknown"),
                                        makeTry(1, 2, "k1", "not-run")};
    CPPUNIT_ASSERT_EQUAL(
        std::string("ran-though-not-run r1-2;"),
        listViolations({SecondRan}, {{{"k1", 1}}, {{"r1-2", 1}}}));
    // Request numbers of different files are unrelated.
    CPPUNIT_ASSERT_EQUAL(
        std::string("ran-though-not-run k1;"),
        listViolations({OneTry, {makeTry(1, 2, "k2", "unknown")}},
                       {{{"k1", 1}}, {}}));
  }

  /// Guards against an answer to the wrong caller that is not reported, also
  /// after an unknown outcome.
  void foreignAnswerIsReported() {
    std::vector<TryRecord> Records = {makeTry(1, 1, "", "completed"),
                                      makeTry(2, 1, "k2", "unknown")};
    for (TryRecord &Record : Records)
      Record.Matches = false;
    CPPUNIT_ASSERT_EQUAL(
        std::string("mismatched-answer r1-1;mismatched-answer r2-1;"),
        listViolations({Records}, {}));
    Records[0].Matches.reset();
    Records[1].Matches.reset();
    CPPUNIT_ASSERT_EQUAL(std::string(), listViolations({Records}, {}));
  }

  /// Guards against a verification that passes because the load never started.
  void emptyRecordsDoNotPass() {
    CPPUNIT_ASSERT(!verifyRecords({{}}, {}).holds());
  }

  /// Guards against a second run that is missed because its backend server
  /// restarted, and against counting a run twice because two files report it.
  void runsOfAllProcessesAreSummed() {
    const std::string Answer = "{\"address\":\"a:1\",\"incarnation\":1,"
                               "\"runs\":{\"k\":1},\"requests\":{\"r\":2}}";
    CPPUNIT_ASSERT_EQUAL(std::string("k=1 r=2 "), sumRuns({Answer, Answer}));
    CPPUNIT_ASSERT_EQUAL(std::string("k=1 r=2 "),
                         sumRuns({Answer, runLine(1, "k")}));
    CPPUNIT_ASSERT_EQUAL(std::string("k=2 r=2 "),
                         sumRuns({Answer, runLine(2, "k")}));
    CPPUNIT_ASSERT_EQUAL(std::string("k=2 "),
                         sumRuns({runLine(1, "k") + runLine(1, "k")}));
    CPPUNIT_ASSERT_EQUAL(std::string("k=2 "),
                         sumRuns({runLine(1, "k") + runLine(2, "k")}));
  }

  /// Guards against a value that is lost when the load client writes a record
  /// and the verification reads it.
  void recordRoundTripsThroughJson() {
    TryRecord Record = makeTry(7, 2, "k\"\n", "unknown");
    Record.TimeMs = 1234567890123;
    Record.Kind = "paid";
    Record.Path = "/b";
    Record.Node = "127.0.0.1:1";
    Record.Organisation = "o";
    Record.Status = 502;
    Record.Reason = "link-lost";
    Record.Server = "s";
    Record.LatencyMs = 1.25;
    Record.Problem = "cut";
    Record.Reused = true;
    for (std::optional<bool> Matches :
         {std::optional<bool>(), std::optional<bool>(true),
          std::optional<bool>(false)}) {
      Record.Matches = Matches;
      TryRecord Parsed =
          handleError([&] { return parseTryRecord(toJsonLine(Record)); },
                      [](const Error &) { return TryRecord(); });
      CPPUNIT_ASSERT(Record == Parsed);
    }
  }

  /// Guards against a damaged file that is taken for a file without violations.
  void malformedFilesAreRefused() {
    for (const char *Text :
         {"{\"runs\":{\"k\":-1},\"requests\":{}}", "{\"runs\":{\"k\":1}}",
          "{\"runs\":[]}", "x", "{\"key\":\"k\"}"})
      CPPUNIT_ASSERT_MESSAGE(Text, sumRuns({Text}) == "corrupt" ||
                                       sumRuns({Text}) == "invalid-input");
    std::string Truncated =
        toJsonLine(makeTry(1, 1, "", "completed")) + "\n{\"requ";
    auto Count = handleError(
        [&]() -> Result<std::size_t> {
          BOOST_LEAF_AUTO(Records, parseRecords(Truncated));
          return Records.size();
        },
        [](const Error &E) {
          return E.Code == ErrorCode::Corrupt ? std::size_t(99) : 0;
        });
    CPPUNIT_ASSERT_EQUAL(std::size_t(99), Count);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VerifyTest);

} // namespace
