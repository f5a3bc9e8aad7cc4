#include "teaselhitch/Detection/FailureOdds.h"

#include "teaselhitch/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Seed = 5;
const ServiceBaseline HealthyPeers{0.01, 100, 50};

AttemptId id(std::uint64_t Sequence) {
  return {{NodeName("n"), 1, Sequence}, 1};
}

/// A model with recorded run times around 100 ms.
RunTimeModel learnedModel() {
  RunTimeModel Model(Duration(300));
  for (int I = 0; I != 200; ++I)
    Model.record(Duration(80 + I % 5 * 10));
  return Model;
}

class FailureOddsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailureOddsTest);
  CPPUNIT_TEST(modelLearnsRunTimes);
  CPPUNIT_TEST(overdueRequestRaisesTheProbability);
  CPPUNIT_TEST(serviceWideFailuresAreWeakEvidence);
  CPPUNIT_TEST(evidenceDecays);
  CPPUNIT_TEST(hungRequestEvidenceDecays);
  CPPUNIT_TEST(successEvidenceDecays);
  CPPUNIT_TEST(progressCountsAsSuccess);
  CPPUNIT_TEST(healthyServerIsRarelySuspected);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a model that keeps its initial expectation.
  void modelLearnsRunTimes() {
    RunTimeModel Model = learnedModel();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Model.mean().ms(), 15);
    CPPUNIT_ASSERT(Model.survival(Duration(50)) > 0.95);
    CPPUNIT_ASSERT(Model.survival(Duration(300)) < 0.01);
    CPPUNIT_ASSERT(Model.quantile(0.5) < Model.quantile(0.9));
  }

  /// Guards against a hanging backend server that receives more requests until
  /// the deadline of the first one expires.
  void overdueRequestRaisesTheProbability() {
    RunTimeModel Model = learnedModel();
    FailureOdds Odds;
    Time Now;
    Odds.started(id(1), Model, Now);
    CPPUNIT_ASSERT(Odds.probability(Now + Duration(60)) < 0.2);
    CPPUNIT_ASSERT(Odds.probability(Now + Duration(400)) > 0.7);
    Odds.started(id(2), Model, Now);
    CPPUNIT_ASSERT(Odds.probability(Now + Duration(400)) > 0.95);
  }

  /// Guards against an outage of a dependency that makes all backend servers of
  /// the service appear to be failing.
  void serviceWideFailuresAreWeakEvidence() {
    RunTimeModel Model = learnedModel();
    const ServiceBaseline Outage{0.6, 100, 50};
    FailureOdds One;
    FailureOdds Many;
    for (std::uint64_t I = 0; I != 3; ++I) {
      One.started(id(I), Model, Time());
      One.failed(id(I), HealthyPeers, Time());
      Many.started(id(I), Model, Time());
      Many.failed(id(I), Outage, Time());
    }
    CPPUNIT_ASSERT(One.probability(Time()) > 0.95);
    CPPUNIT_ASSERT(Many.probability(Time()) < 0.3);
  }

  /// Guards against a backend server that is avoided permanently after
  /// failures.
  void evidenceDecays() {
    RunTimeModel Model = learnedModel();
    FailureOdds Odds;
    for (std::uint64_t I = 0; I != 5; ++I) {
      Odds.started(id(I), Model, Time());
      Odds.failed(id(I), HealthyPeers, Time());
    }
    CPPUNIT_ASSERT(Odds.probability(Time() + Duration::seconds(1)) > 0.9);
    CPPUNIT_ASSERT(Odds.probability(Time() + Duration::seconds(12)) < 0.3);
  }

  /// Guards against a backend server that is avoided until the deadline of a
  /// hanging request although the failure ended long before.
  void hungRequestEvidenceDecays() {
    RunTimeModel Model = learnedModel();
    FailureOdds Odds;
    Odds.started(id(1), Model, Time());
    Time Later = Time() + Duration::seconds(8);
    CPPUNIT_ASSERT(Odds.probability(Time() + Duration(500)) > 0.7);
    CPPUNIT_ASSERT(Odds.probability(Later) < 0.4);
    Odds.abandoned(id(1), Later);
    CPPUNIT_ASSERT(Odds.probability(Later) < 0.4);
  }

  /// Guards against sending paid requests to a backend server whose last
  /// success is old although another one has just succeeded.
  void successEvidenceDecays() {
    RunTimeModel Model = learnedModel();
    FailureOdds Odds;
    for (std::uint64_t I = 0; I != 5; ++I) {
      Odds.started(id(I), Model, Time());
      Odds.succeeded(id(I), HealthyPeers, Time());
    }
    double Fresh = Odds.probability(Time() + Duration(300));
    double Old = Odds.probability(Time() + Duration::seconds(3));
    CPPUNIT_ASSERT(Fresh < 0.02);
    CPPUNIT_ASSERT(Old > 2 * Fresh);
    CPPUNIT_ASSERT(Old < 0.15);
  }

  /// Guards against attributing the failures of the services that a backend
  /// server calls to the backend server itself.
  void progressCountsAsSuccess() {
    RunTimeModel Model = learnedModel();
    FailureOdds Odds;
    double Before = Odds.probability(Time());
    for (std::uint64_t I = 0; I != 3; ++I) {
      Odds.started(id(I), Model, Time());
      Odds.progressed(id(I), HealthyPeers, Time() + Duration(50));
    }
    Time Later = Time() + Duration(600);
    CPPUNIT_ASSERT(Odds.probability(Later) < Before / 3);
    for (std::uint64_t I = 0; I != 3; ++I)
      Odds.failed(id(I), HealthyPeers, Later);
    CPPUNIT_ASSERT(Odds.probability(Later) < Before / 3);
  }

  /// Guards against false suspicions at 1% errors: at no more than one in fifty
  /// request starts may a healthy backend server be suspected.
  void healthyServerIsRarelySuspected() {
    SeededRandom Random(Seed);
    RunTimeModel Model = learnedModel();
    FailureOdds Odds;
    Time Now;
    int Suspected = 0;
    constexpr int Requests = 5000;
    for (std::uint64_t I = 0; I != Requests; ++I) {
      Suspected += Odds.probability(Now) > 0.35 ? 1 : 0;
      Odds.started(id(I), Model, Now);
      Now = Now + Duration(80 + 40 * Random.uniform());
      if (Random.uniform() < 0.01)
        Odds.failed(id(I), HealthyPeers, Now);
      else
        Odds.succeeded(id(I), HealthyPeers, Now);
      Now = Now + Duration(200 * Random.uniform());
    }
    CPPUNIT_ASSERT(Suspected <= Requests / 50);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureOddsTest);

} // namespace
