#include "teaselhitch/Detection/Detector.h"

#include "teaselhitch/Detection/Baseline.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

const ServiceBaseline HealthyPeers{0.001, 50, 500};

class DetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DetectorTest);
  CPPUNIT_TEST(pluginsAreLinked);
  CPPUNIT_TEST(eachPluginDetectsTotalFailure);
  CPPUNIT_TEST(resetClearsEvidence);
  CPPUNIT_TEST(sequentialDetectsSlowServer);
  CPPUNIT_TEST(sequentialIgnoresServiceWideFailure);
  CPPUNIT_TEST(sequentialReevaluatesHistory);
  CPPUNIT_TEST(peerBaselineExcludesServer);
  CPPUNIT_TEST_SUITE_END();

  static std::unique_ptr<Detector>
  make(const std::string &Name,
       DetectionPreset Preset = DetectionPreset::Balanced) {
    auto Created = createDetector(Name, Preset);
    CPPUNIT_ASSERT(Created);
    return std::move(*Created);
  }

  /// Feeds the same sample until the verdict is Failing. Returns the number of
  /// samples, or Limit + 1 if Limit samples do not suffice.
  static unsigned detectionSamples(Detector &D, const Sample &S,
                                   const ServiceBaseline &Peers,
                                   unsigned Limit) {
    for (unsigned I = 1; I <= Limit; ++I) {
      D.observe(S, Peers, Time(I * 200.0));
      if (D.verdict(Time(I * 200.0)) == Verdict::Failing)
        return I;
    }
    return Limit + 1;
  }

  /// Guards against plug-ins that the linker drops from the static library.
  void pluginsAreLinked() {
    CPPUNIT_ASSERT(!createDetector("none", DetectionPreset::Balanced));
    for (const char *Name : {"sequential", "consecutive", "window"})
      CPPUNIT_ASSERT(DetectorRegistry::has(Name));
  }

  /// Guards against a plug-in that never returns the verdict Failing.
  void eachPluginDetectsTotalFailure() {
    for (const std::string &Name : DetectorRegistry::names())
      CPPUNIT_ASSERT(detectionSamples(*make(Name), {false, Duration(5), 1},
                                      HealthyPeers, 20) <= 20);
  }

  /// Guards against the ejection of a readmitted backend server because of old
  /// evidence.
  void resetClearsEvidence() {
    for (const std::string &Name : DetectorRegistry::names()) {
      auto D = make(Name);
      detectionSamples(*D, {false, Duration(5), 1}, HealthyPeers, 20);
      D->reset(Time(9000));
      CPPUNIT_ASSERT(D->verdict(Time(9000)) == Verdict::Healthy);
      D->observe({false, Duration(5), 1}, HealthyPeers, Time(9100));
      CPPUNIT_ASSERT(D->verdict(Time(9100)) != Verdict::Failing);
    }
  }

  /// Guards against a detector that detects errors but not slow responses.
  void sequentialDetectsSlowServer() {
    auto D = make("sequential");
    CPPUNIT_ASSERT(
        detectionSamples(*D, {true, Duration(500), 1}, HealthyPeers, 12) <= 12);
  }

  /// Guards against ejections when the whole service fails or is slow.
  void sequentialIgnoresServiceWideFailure() {
    auto D = make("sequential", DetectionPreset::FastDetection);
    const ServiceBaseline Overloaded{0.6, 500, 500};
    CPPUNIT_ASSERT_EQUAL(
        301U, detectionSamples(*D, {false, Duration(500), 1}, Overloaded, 300));
    CPPUNIT_ASSERT_EQUAL(
        301U, detectionSamples(*D, {true, Duration(500), 1}, Overloaded, 300));
  }

  /// Guards against an ejection because of evidence that was collected before
  /// the peers' statistics showed a failure of the whole service.
  void sequentialReevaluatesHistory() {
    auto D = make("sequential");
    for (int I = 0; I < 2; ++I)
      D->observe({false, Duration(5), 1}, HealthyPeers, Time(I));
    const ServiceBaseline Overloaded{0.45, 50, 500};
    for (int I = 2; I < 6; ++I)
      D->observe({false, Duration(5), 1}, Overloaded, Time(I));
    CPPUNIT_ASSERT(D->verdict(Time(6)) == Verdict::Healthy);
  }

  /// Guards against comparing a backend server with itself: its own failures
  /// are part of the entries' statistics and would mask its failure.
  void peerBaselineExcludesServer() {
    PeerStatistics Statistics;
    BaselineTracker Entry;
    const BackendServerName Bad("a");
    for (int I = 0; I < 50; ++I) {
      const Time Now(I * 20.0);
      Statistics.record(Bad, NodeName("n1"), false, Duration(5), Now);
      Entry.record(false, Duration(5), Now);
      for (int Peer = 0; Peer < 3; ++Peer)
        Entry.record(true, Duration(50), Now);
      Statistics.receive(NodeName("n1"), Entry.baseline(Now), Now);
    }
    const ServiceBaseline Peers = Statistics.peerBaseline(Bad, Time(1000));
    CPPUNIT_ASSERT(Peers.ErrorRate < 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, Peers.RunTimeMs, 1);
    const ServiceBaseline Others =
        Statistics.peerBaseline(BackendServerName("b"), Time(1000));
    CPPUNIT_ASSERT(Others.ErrorRate > 0.2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DetectorTest);

} // namespace
