#include "../../tools/teaselhitch-bench/CrashBench.h"
#include "GuardFixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace teaselhitch;

namespace {

class CrashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashTest);
  CPPUNIT_TEST(simulatedLossesStayWithinBounds);
  CPPUNIT_TEST(answeredRequestsAreNotMarked);
  CPPUNIT_TEST(remoteMarksAreApplied);
  CPPUNIT_TEST(tableIsBounded);
  CPPUNIT_TEST_SUITE_END();

  /// Simulated crashes. Guards against a crashing request that crashes a third
  /// server or stays undetected in a wave, and against the quarantine of
  /// ordinary requests that ran on the same server at the time of a crash or
  /// while all servers crashed. A wave may cost one server more.
  void simulatedLossesStayWithinBounds() {
    const std::vector<unsigned> MaxServersLost = {2, 4, 0, 3};
    std::vector<CrashRow> Rows = runCrashTable(40);
    std::string Text = crashTableText(Rows);
    CPPUNIT_ASSERT_EQUAL(MaxServersLost.size(), Rows.size());
    for (std::size_t I = 0; I != Rows.size(); ++I) {
      const CrashRow &R = Rows[I];
      CPPUNIT_ASSERT_MESSAGE(Text, R.Worst.ServersLost <= MaxServersLost[I]);
      CPPUNIT_ASSERT_MESSAGE(Text,
                             R.Worst.CrashingQuarantined == R.CrashingRequests);
      CPPUNIT_ASSERT_MESSAGE(Text, R.Worst.OrdinaryQuarantined == 0);
      CPPUNIT_ASSERT_MESSAGE(Text, R.Worst.OrdinaryUnanswered == 0);
    }
  }

  /// Guards against frequent requests that run only one at a time after one
  /// crash.
  void answeredRequestsAreNotMarked() {
    GuardFixture F;
    F.announce(F.announcement("w1", 4));
    DispatchInfo I = F.info(1);
    I.Fingerprint = 5;
    F.dispatch(I);
    F.finish(1);
    I.Attempt = F.id(2);
    F.dispatch(I);
    I.Attempt = F.id(3);
    F.dispatch(I);
    CPPUNIT_ASSERT(
        filterActions<CrashMark>(F.finish(2, RunEnd::Crashed)).empty());
    F.finish(3, RunEnd::Crashed);
    F.announce(F.announcement("w1", 4, 2));
    I.Attempt = F.id(4);
    F.dispatch(I);
    CPPUNIT_ASSERT(
        filterActions<CrashMark>(F.finish(4, RunEnd::Crashed)).size() == 1);
  }

  /// Guards against a request that crashes two servers at each guard.
  void remoteMarksAreApplied() {
    GuardFixture F;
    F.announce(F.announcement("w1", 4));
    std::uint64_t Sequence = 0;
    const auto Send = [&](std::uint64_t Fingerprint) {
      DispatchInfo I = F.info(++Sequence);
      I.Fingerprint = Fingerprint;
      return text(F.dispatch(I));
    };
    F.G->receiveCrashMark({5, 77, ServiceName("s"), false}, F.Now);
    F.G->receiveCrashMark({6, 78, ServiceName("s"), true}, F.Now);
    F.G->receiveQuarantine({7, Duration(3000)}, F.Now);
    CPPUNIT_ASSERT_EQUAL(std::string("start 1 w1"), Send(5));
    CPPUNIT_ASSERT_EQUAL(std::string("fail 2 quarantined not-run"), Send(6));
    CPPUNIT_ASSERT_EQUAL(std::string("fail 3 quarantined not-run"), Send(7));
    std::vector<CrashMark> Marks =
        filterActions<CrashMark>(F.finish(1, RunEnd::Crashed));
    CPPUNIT_ASSERT(Marks.size() == 1 && Marks[0].Repeated);
    CPPUNIT_ASSERT_EQUAL(std::string("fail 4 quarantined not-run"), Send(5));
    F.announce(F.announcement("w1", 4, 2));
    F.tickAt(3000);
    F.announce(F.announcement("w1", 4, 2));
    CPPUNIT_ASSERT_EQUAL(std::string("quarantine 5"), text(F.tickAt(3510)));
    CPPUNIT_ASSERT_EQUAL(std::string("start 5 w1"), Send(7));
    CPPUNIT_ASSERT_EQUAL(std::string("fail 6 quarantined not-run"), Send(5));
  }

  /// Guards against a table that grows without bound under a flood of marks, or
  /// that evicts quarantines in favour of marks.
  void tableIsBounded() {
    GuardSettings Settings = GuardFixture::settings();
    Settings.MaxFingerprints = 10;
    GuardFixture F(Settings);
    F.announce(F.announcement("w1", 4));
    F.G->receiveQuarantine({1000, Duration::seconds(600)}, F.Now);
    for (std::uint64_t I = 1; I != 100; ++I)
      F.G->receiveCrashMark({I, I, ServiceName("s"), true}, F.Now);
    DispatchInfo I = F.info(1);
    I.Fingerprint = 1000;
    CPPUNIT_ASSERT_EQUAL(std::string("fail 1 quarantined not-run"),
                         text(F.dispatch(I)));
    I.Fingerprint = 1;
    CPPUNIT_ASSERT_EQUAL(std::string("start 1 w1"), text(F.dispatch(I)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTest);

} // namespace
