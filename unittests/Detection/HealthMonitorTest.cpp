#include "teaselhitch/Detection/HealthMonitor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace teaselhitch;

namespace {

const ServiceName Tickets("tickets");
const BackendServerName Server("a");

/// A monitor for one of the eight backend servers of a service. The test
/// decides when a lease is granted.
struct MonitorHarness {
  MonitorHarness() {
    HealthSettings Settings;
    Settings.Node = NodeName("n1");
    auto Created = HealthMonitor::create(Settings);
    Monitor = std::move(*Created);
    handle(Monitor->announced(Tickets, Server, BackendServerState::Ready, 1,
                              Time(0)));
    setPeers(BackendServerHealth::Healthy);
    // After the cold start.
    Now = Time(60000);
    for (int I = 0; I < 40; ++I)
      sample(SampleOutcome::Succeeded, I);
  }

  void setPeers(BackendServerHealth Health) {
    ServiceView View;
    for (int I = 0; I < 8; ++I) {
      BackendServerRecord Record;
      Record.Id = {NodeName("n" + std::to_string(I + 1)), Server};
      Record.State = BackendServerState::Ready;
      Record.Health = Health;
      View.push_back(Record);
    }
    Monitor->view(Tickets, std::make_shared<const ServiceView>(View));
  }

  void handle(const HealthActions &Actions) {
    for (const HealthAction &Action : Actions) {
      if (const auto *Set = std::get_if<SetHealth>(&Action))
        LastHealth = *Set;
      if (std::get_if<RequestEjection>(&Action) != nullptr)
        EjectionRequested = true;
      if (std::get_if<RequestReadmission>(&Action) != nullptr)
        EjectionRequested = false;
    }
  }

  /// Origin selects the entry, failure domain and organisation.
  void sample(SampleOutcome End, int Origin, bool Marked = false) {
    Now = Now + Duration(100);
    RunSample S;
    S.Service = Tickets;
    S.Server = Server;
    S.Entry = NodeName("e" + std::to_string(Origin % 6));
    S.EntryDomain = FailureDomain("d" + std::to_string(Origin % 3));
    S.Organisation = OrganisationName("o" + std::to_string(Origin % 4));
    S.Outcome = End;
    S.RunTime = Duration(50);
    S.CrashingRequest = Marked;
    Monitor->baseline(Tickets, S.Entry, {0.001, 50, 100}, Now);
    handle(Monitor->sample(S, Now));
  }

  void fail(int Count) {
    for (int I = 0; I < Count; ++I)
      sample(SampleOutcome::Failed, I);
  }

  void wait(Duration D) {
    Now = Now + D;
    handle(Monitor->tick(Now));
  }

  /// Ejects the backend server and returns the hold time in seconds.
  double ejectAndMeasureHold() {
    fail(20);
    CPPUNIT_ASSERT(EjectionRequested);
    handle(Monitor->ejected(Server, Now));
    CPPUNIT_ASSERT(LastHealth.Health == BackendServerHealth::Ejected);
    double Seconds = 0;
    for (; LastHealth.Weight == 1 && Seconds < 1000; Seconds += 1)
      wait(Duration::seconds(1));
    return Seconds;
  }

  std::unique_ptr<HealthMonitor> Monitor;
  SetHealth LastHealth;
  bool EjectionRequested = false;
  Time Now;
};

class HealthMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HealthMonitorTest);
  CPPUNIT_TEST(failureEjects);
  CPPUNIT_TEST(oneOriginDoesNotEject);
  CPPUNIT_TEST(serviceFailureDoesNotEject);
  CPPUNIT_TEST(shedAndCrashingRequestsAreIgnored);
  CPPUNIT_TEST(holdTimeDoublesOnRelapse);
  CPPUNIT_TEST(trialsReadmitWithSlowStart);
  CPPUNIT_TEST(expiredLeaseLeavesSuspected);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a monitor that never requests a lease, or that takes a
  /// backend server out of use without a lease.
  void failureEjects() {
    MonitorHarness B;
    B.fail(12);
    CPPUNIT_ASSERT(B.EjectionRequested);
    CPPUNIT_ASSERT(B.LastHealth.Health == BackendServerHealth::Suspected);
    CPPUNIT_ASSERT_EQUAL(10U, B.LastHealth.Weight);
  }

  /// Guards against an ejection because the requests of one failure domain,
  /// entry or organisation fail.
  void oneOriginDoesNotEject() {
    MonitorHarness B;
    for (int I = 0; I < 600; ++I) {
      B.sample(I % 3 == 0 ? SampleOutcome::Failed : SampleOutcome::Succeeded,
               I);
      CPPUNIT_ASSERT(!B.EjectionRequested);
    }
    // A failure of the backend server itself is still detected.
    B.fail(20);
    CPPUNIT_ASSERT(B.EjectionRequested);
  }

  /// Guards against ejections when most backend servers of the service are
  /// unhealthy.
  void serviceFailureDoesNotEject() {
    MonitorHarness B;
    B.setPeers(BackendServerHealth::Suspected);
    B.fail(30);
    CPPUNIT_ASSERT(!B.EjectionRequested);
  }

  /// Guards against ejections because of load shedding or because of requests
  /// that crash any backend server.
  void shedAndCrashingRequestsAreIgnored() {
    MonitorHarness B;
    for (int I = 0; I < 30; ++I) {
      B.sample(SampleOutcome::Shed, I);
      B.sample(SampleOutcome::Crashed, I, true);
    }
    CPPUNIT_ASSERT(B.LastHealth.Health == BackendServerHealth::Healthy);
    CPPUNIT_ASSERT(!B.EjectionRequested);
  }

  /// Guards against a flapping backend server that is readmitted every 5 s.
  void holdTimeDoublesOnRelapse() {
    MonitorHarness B;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5, B.ejectAndMeasureHold(), 1);
    B.handle(B.Monitor->readmitted(Server, ReadmitReason::Requested, B.Now));
    B.wait(Duration::seconds(20));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, B.ejectAndMeasureHold(), 1);
    B.sample(SampleOutcome::Failed, 0);
    CPPUNIT_ASSERT_EQUAL(1U, B.LastHealth.Weight);
    B.wait(Duration::seconds(19));
    CPPUNIT_ASSERT_EQUAL(1U, B.LastHealth.Weight);
    B.wait(Duration::seconds(2));
    CPPUNIT_ASSERT_EQUAL(10U, B.LastHealth.Weight);
  }

  /// Guards against an immediate return to full weight, or a return before
  /// production requests have succeeded.
  void trialsReadmitWithSlowStart() {
    MonitorHarness B;
    B.ejectAndMeasureHold();
    for (int I = 0; I < 7; ++I)
      B.sample(SampleOutcome::Succeeded, I);
    CPPUNIT_ASSERT(B.EjectionRequested);
    B.sample(SampleOutcome::Succeeded, 7);
    CPPUNIT_ASSERT(!B.EjectionRequested);
    B.handle(B.Monitor->readmitted(Server, ReadmitReason::Requested, B.Now));
    CPPUNIT_ASSERT(B.LastHealth.Health == BackendServerHealth::Healthy);
    CPPUNIT_ASSERT_EQUAL(10U, B.LastHealth.Weight);
    B.wait(Duration::seconds(11));
    CPPUNIT_ASSERT_EQUAL(100U, B.LastHealth.Weight);
  }

  /// Guards against full weight for a failing backend server whose lease
  /// expired because the platform is down.
  void expiredLeaseLeavesSuspected() {
    MonitorHarness B;
    B.fail(20);
    B.handle(B.Monitor->ejected(Server, B.Now));
    B.handle(B.Monitor->readmitted(Server, ReadmitReason::LeaseExpired, B.Now));
    CPPUNIT_ASSERT(B.LastHealth.Health == BackendServerHealth::Suspected);
    CPPUNIT_ASSERT_EQUAL(10U, B.LastHealth.Weight);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HealthMonitorTest);

} // namespace
