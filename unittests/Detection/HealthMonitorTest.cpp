#include "teaselhitch/Detection/HealthMonitor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace teaselhitch;

namespace {

const ServiceName Tickets("tickets");
const BackendServerName Server("a");

/// A monitor with one own backend server among eight; leases are granted when
/// the test says so.
struct Bench {
  Bench() {
    HealthSettings Settings;
    Settings.Node = NodeName("n1");
    auto Created = HealthMonitor::create(Settings);
    Monitor = std::move(*Created);
    handle(Monitor->announced(Tickets, Server, BackendServerState::Ready, 1,
                              Time(0)));
    setPeers(BackendServerHealth::Healthy);
    // Past the cold start.
    Now = Time(60000);
    for (int I = 0; I < 40; ++I)
      sample(SampleEnd::Succeeded, I);
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
        Last = *Set;
      if (std::get_if<WantEjection>(&Action) != nullptr)
        Wanted = true;
      if (std::get_if<WantReadmission>(&Action) != nullptr)
        Wanted = false;
    }
  }

  /// Origin selects entry, domain and organisation.
  void sample(SampleEnd End, int Origin, bool Marked = false) {
    Now = Now + Duration(100);
    RunSample S;
    S.Service = Tickets;
    S.Server = Server;
    S.Entry = NodeName("e" + std::to_string(Origin % 6));
    S.EntryDomain = FailureDomain("d" + std::to_string(Origin % 3));
    S.Organisation = OrganisationName("o" + std::to_string(Origin % 4));
    S.End = End;
    S.RunTime = Duration(50);
    S.MarkedRequest = Marked;
    Monitor->baseline(Tickets, S.Entry, {0.001, 50, 100}, Now);
    handle(Monitor->sample(S, Now));
  }

  void fail(int Count) {
    for (int I = 0; I < Count; ++I)
      sample(SampleEnd::Failed, I);
  }

  void wait(Duration D) {
    Now = Now + D;
    handle(Monitor->tick(Now));
  }

  /// From in use to ejected; returns the hold time in seconds.
  double ejectAndMeasureHold() {
    fail(20);
    CPPUNIT_ASSERT(Wanted);
    handle(Monitor->ejected(Server, Now));
    CPPUNIT_ASSERT(Last.Health == BackendServerHealth::Ejected);
    double Seconds = 0;
    for (; Last.Weight == 1 && Seconds < 1000; Seconds += 1)
      wait(Duration::seconds(1));
    return Seconds;
  }

  std::unique_ptr<HealthMonitor> Monitor;
  SetHealth Last;
  bool Wanted = false;
  Time Now;
};

class HealthMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HealthMonitorTest);
  CPPUNIT_TEST(failureEjects);
  CPPUNIT_TEST(onePathDoesNotEject);
  CPPUNIT_TEST(badServiceDoesNotEject);
  CPPUNIT_TEST(shedAndMarkedCrashesAreNoEvidence);
  CPPUNIT_TEST(holdDoublesForRelapses);
  CPPUNIT_TEST(trialsReadmitWithSlowStart);
  CPPUNIT_TEST(expiredLeaseMeansSuspected);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a monitor that never asks for a lease, or that takes a
  /// backend server out of use without one.
  void failureEjects() {
    Bench B;
    B.fail(12);
    CPPUNIT_ASSERT(B.Wanted);
    CPPUNIT_ASSERT(B.Last.Health == BackendServerHealth::Suspected);
    CPPUNIT_ASSERT_EQUAL(10U, B.Last.Weight);
  }

  /// Guards against an ejection because one domain, entry or organisation
  /// fails.
  void onePathDoesNotEject() {
    Bench B;
    for (int I = 0; I < 600; ++I) {
      B.sample(I % 3 == 0 ? SampleEnd::Failed : SampleEnd::Succeeded, I);
      CPPUNIT_ASSERT(!B.Wanted);
    }
    // The backend server itself is still watched.
    B.fail(20);
    CPPUNIT_ASSERT(B.Wanted);
  }

  /// Guards against ejections when most of the service looks bad.
  void badServiceDoesNotEject() {
    Bench B;
    B.setPeers(BackendServerHealth::Suspected);
    B.fail(30);
    CPPUNIT_ASSERT(!B.Wanted);
  }

  /// Guards against ejections for load shedding and for requests that crash
  /// each backend server.
  void shedAndMarkedCrashesAreNoEvidence() {
    Bench B;
    for (int I = 0; I < 30; ++I) {
      B.sample(SampleEnd::Shed, I);
      B.sample(SampleEnd::Crashed, I, true);
    }
    CPPUNIT_ASSERT(B.Last.Health == BackendServerHealth::Healthy);
    CPPUNIT_ASSERT(!B.Wanted);
  }

  /// Guards against a flapping backend server that comes back each 5 s.
  void holdDoublesForRelapses() {
    Bench B;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5, B.ejectAndMeasureHold(), 1);
    B.handle(B.Monitor->readmitted(Server, ReadmitReason::Requested, B.Now));
    B.wait(Duration::seconds(20));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, B.ejectAndMeasureHold(), 1);
    B.sample(SampleEnd::Failed, 0);
    CPPUNIT_ASSERT_EQUAL(1U, B.Last.Weight);
    B.wait(Duration::seconds(19));
    CPPUNIT_ASSERT_EQUAL(1U, B.Last.Weight);
    B.wait(Duration::seconds(2));
    CPPUNIT_ASSERT_EQUAL(10U, B.Last.Weight);
  }

  /// Guards against a return to full weight at once, or before real requests
  /// succeeded.
  void trialsReadmitWithSlowStart() {
    Bench B;
    B.ejectAndMeasureHold();
    for (int I = 0; I < 7; ++I)
      B.sample(SampleEnd::Succeeded, I);
    CPPUNIT_ASSERT(B.Wanted);
    B.sample(SampleEnd::Succeeded, 7);
    CPPUNIT_ASSERT(!B.Wanted);
    B.handle(B.Monitor->readmitted(Server, ReadmitReason::Requested, B.Now));
    CPPUNIT_ASSERT(B.Last.Health == BackendServerHealth::Healthy);
    CPPUNIT_ASSERT_EQUAL(10U, B.Last.Weight);
    B.wait(Duration::seconds(11));
    CPPUNIT_ASSERT_EQUAL(100U, B.Last.Weight);
  }

  /// Guards against full weight for a failing backend server whose lease ended
  /// because the platform is down.
  void expiredLeaseMeansSuspected() {
    Bench B;
    B.fail(20);
    B.handle(B.Monitor->ejected(Server, B.Now));
    B.handle(B.Monitor->readmitted(Server, ReadmitReason::LeaseExpired, B.Now));
    CPPUNIT_ASSERT(B.Last.Health == BackendServerHealth::Suspected);
    CPPUNIT_ASSERT_EQUAL(10U, B.Last.Weight);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HealthMonitorTest);

} // namespace
