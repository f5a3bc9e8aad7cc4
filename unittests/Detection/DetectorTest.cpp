#include "teaselhitch/Detection/Detector.h"

#include "teaselhitch/Detection/Baseline.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

const ServiceBaseline Usual{0.001, 50, 500};

class DetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DetectorTest);
  CPPUNIT_TEST(pluginsAreLinked);
  CPPUNIT_TEST(eachPluginFindsTotalFailure);
  CPPUNIT_TEST(resetForgets);
  CPPUNIT_TEST(sequentialFindsSlowServer);
  CPPUNIT_TEST(sequentialForgivesWhatPeersShare);
  CPPUNIT_TEST(sequentialJudgesAgainByNewPeerFigures);
  CPPUNIT_TEST(ownShareIsTakenOut);
  CPPUNIT_TEST_SUITE_END();

  static std::unique_ptr<Detector>
  make(const std::string &Name,
       DetectionPreset Preset = DetectionPreset::Balanced) {
    auto Created = createDetector(Name, Preset);
    CPPUNIT_ASSERT(Created);
    return std::move(*Created);
  }

  /// Feeds the same result until the verdict is Failing; returns how many it
  /// took, at most Limit.
  static unsigned untilFailing(Detector &D, const Sample &S,
                               const ServiceBaseline &Peers, unsigned Limit) {
    for (unsigned I = 1; I <= Limit; ++I) {
      D.observe(S, Peers, Time(I * 200.0));
      if (D.verdict(Time(I * 200.0)) == Verdict::Failing)
        return I;
    }
    return Limit + 1;
  }

  /// Guards against plug-ins that the linker drops.
  void pluginsAreLinked() {
    CPPUNIT_ASSERT(!createDetector("none", DetectionPreset::Balanced));
    for (const char *Name : {"sequential", "consecutive", "window"})
      CPPUNIT_ASSERT(DetectorRegistry::has(Name));
  }

  /// Guards against a plug-in that never gives the verdict.
  void eachPluginFindsTotalFailure() {
    for (const std::string &Name : DetectorRegistry::names())
      CPPUNIT_ASSERT(
          untilFailing(*make(Name), {false, Duration(5), 1}, Usual, 20) <= 20);
  }

  /// Guards against old evidence that ejects a readmitted backend server.
  void resetForgets() {
    for (const std::string &Name : DetectorRegistry::names()) {
      auto D = make(Name);
      untilFailing(*D, {false, Duration(5), 1}, Usual, 20);
      D->reset(Time(9000));
      CPPUNIT_ASSERT(D->verdict(Time(9000)) == Verdict::Healthy);
      D->observe({false, Duration(5), 1}, Usual, Time(9100));
      CPPUNIT_ASSERT(D->verdict(Time(9100)) != Verdict::Failing);
    }
  }

  /// Guards against a detector that sees errors only.
  void sequentialFindsSlowServer() {
    auto D = make("sequential");
    CPPUNIT_ASSERT(untilFailing(*D, {true, Duration(500), 1}, Usual, 12) <= 12);
  }

  /// Guards against ejections when the whole service fails or is slow.
  void sequentialForgivesWhatPeersShare() {
    auto D = make("sequential", DetectionPreset::FastDetection);
    const ServiceBaseline Overloaded{0.6, 500, 500};
    CPPUNIT_ASSERT_EQUAL(
        301U, untilFailing(*D, {false, Duration(500), 1}, Overloaded, 300));
    CPPUNIT_ASSERT_EQUAL(
        301U, untilFailing(*D, {true, Duration(500), 1}, Overloaded, 300));
  }

  /// Guards against evidence that was gathered before the peers' figures showed
  /// that the whole service had become bad.
  void sequentialJudgesAgainByNewPeerFigures() {
    auto D = make("sequential");
    for (int I = 0; I < 2; ++I)
      D->observe({false, Duration(5), 1}, Usual, Time(I));
    const ServiceBaseline Overloaded{0.45, 50, 500};
    for (int I = 2; I < 6; ++I)
      D->observe({false, Duration(5), 1}, Overloaded, Time(I));
    CPPUNIT_ASSERT(D->verdict(Time(6)) == Verdict::Healthy);
  }

  /// Guards against a backend server that is compared with itself: its own
  /// failures in the entries' figures would hide it.
  void ownShareIsTakenOut() {
    PeerFigures Figures;
    BaselineTracker Entry;
    const BackendServerName Bad("a");
    for (int I = 0; I < 50; ++I) {
      const Time Now(I * 20.0);
      Figures.record(Bad, NodeName("n1"), false, Duration(5), Now);
      Entry.record(false, Duration(5), Now);
      for (int Peer = 0; Peer < 3; ++Peer)
        Entry.record(true, Duration(50), Now);
      Figures.receive(NodeName("n1"), Entry.baseline(Now), Now);
    }
    const ServiceBaseline Peers = Figures.without(Bad, Time(1000));
    CPPUNIT_ASSERT(Peers.ErrorRate < 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, Peers.RunTimeMs, 1);
    const ServiceBaseline Others =
        Figures.without(BackendServerName("b"), Time(1000));
    CPPUNIT_ASSERT(Others.ErrorRate > 0.2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DetectorTest);

} // namespace
