#include "teaselhitch/Detection/EjectionLeases.h"

#include "LeaseSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

const ServiceName Service("deposits");
const BackendServerName Server("a");

std::shared_ptr<const ServiceView> viewOf(unsigned OthersReady) {
  ServiceView View;
  BackendServerRecord Record;
  Record.State = BackendServerState::Ready;
  Record.Id = {NodeName("n1"), Server};
  View.push_back(Record);
  for (unsigned I = 0; I < OthersReady; ++I) {
    Record.Id = {NodeName("n2"), BackendServerName("b" + std::to_string(I))};
    View.push_back(Record);
  }
  return std::make_shared<const ServiceView>(View);
}

/// One guard whose requests reach the table immediately unless TableDown is
/// set.
struct GuardHarness {
  GuardHarness() {
    EjectionSettings Settings;
    Settings.Node = NodeName("n1");
    Settings.Incarnation = 4;
    auto Created = EjectionLeases::create(Settings);
    Leases = std::move(*Created);
  }

  void handle(const LeaseActions &Actions, Time Now) {
    for (const LeaseAction &Action : Actions) {
      if (const auto *Readmission = std::get_if<Readmitted>(&Action))
        LastReadmission = Readmission->Reason;
      if (std::get_if<Ejected>(&Action) != nullptr)
        ++Ejections;
      const auto *Request = std::get_if<TableRequest>(&Action);
      if (Request == nullptr)
        continue;
      TableReply Reply{Request->Token, TableStatus::Unavailable, {}};
      if (!TableDown)
        Reply = Table.apply(*Request);
      if (!TableDown && LoseReplies &&
          Request->Operation != TableOperation::Read)
        Reply.Status = TableStatus::Unknown;
      handle(Leases->reply(Reply, Now), Now);
    }
  }

  void restoreStore(Time Now) {
    handle(Leases->reply({0, TableStatus::StoreRestored, {}, 2}, Now), Now);
  }

  void eject(Time Now) {
    handle(Leases->view(Service, viewOf(3), 3, Now), Now);
    handle(Leases->eject(Service, Server, Now), Now);
  }

  std::unique_ptr<EjectionLeases> Leases;
  test::OneRowTable Table;
  bool TableDown = false;
  bool LoseReplies = false;
  unsigned Ejections = 0;
  std::optional<ReadmitReason> LastReadmission;
};

class EjectionLeasesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EjectionLeasesTest);
  CPPUNIT_TEST(rowFormatIsStable);
  CPPUNIT_TEST(floorPreventsEjection);
  CPPUNIT_TEST(leaseExpiresDuringOutage);
  CPPUNIT_TEST(validityStartsAtRequest);
  CPPUNIT_TEST(unknownReplyIsResolvedByRead);
  CPPUNIT_TEST(fallBelowFloorReadmits);
  CPPUNIT_TEST(rejectsInconsistentDurations);
  CPPUNIT_TEST(corruptRowIsNotOverwritten);
  CPPUNIT_TEST(leasesEndWhenStoreIsRestored);
  CPPUNIT_TEST(releasedLeasesDoNotReturn);
  CPPUNIT_TEST(returnedEntriesOfOthersAreKept);
  CPPUNIT_TEST(repliesFromBeforeRestoreAreIgnored);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a change of the row format, which other versions and tools
  /// could not read.
  void rowFormatIsStable() {
    GuardHarness H;
    H.eject(Time(0));
    CPPUNIT_ASSERT_EQUAL(std::string("{\"holders\":[{\"node\":\"n1\","
                                     "\"incarnation\":4,\"server\":\"a\","
                                     "\"renewal\":1}]}"),
                         H.Table.Value);
    CPPUNIT_ASSERT(H.Leases->holds(Service, Server, Time(29999)));
  }

  /// Guards against a lease that stays in use although the restored store lacks
  /// it and another guard may take the capacity, and against one that cannot be
  /// taken again, also after a second restore.
  void leasesEndWhenStoreIsRestored() {
    GuardHarness H;
    H.eject(Time(0));
    for (unsigned Restore = 1; Restore != 3; ++Restore) {
      const Time Now(Restore * 1000.0);
      H.Table = test::OneRowTable();
      H.restoreStore(Now);
      CPPUNIT_ASSERT(H.LastReadmission == ReadmitReason::LeaseLost);
      CPPUNIT_ASSERT(!H.Leases->holds(Service, Server, Now));
      H.LastReadmission.reset();
      H.eject(Now);
      CPPUNIT_ASSERT_EQUAL(1 + Restore, H.Ejections);
      CPPUNIT_ASSERT(H.Leases->holds(Service, Server, Now));
      CPPUNIT_ASSERT(H.Table.Value.find("\"n1\"") != std::string::npos);
    }
  }

  /// Guards against a released lease that the restored store contains again and
  /// that takes capacity from the other guards.
  void releasedLeasesDoNotReturn() {
    GuardHarness H;
    H.eject(Time(0));
    const test::OneRowTable Copy = H.Table;
    H.handle(H.Leases->readmit(Service, Server, Time(1000)), Time(1000));
    CPPUNIT_ASSERT_EQUAL(std::string("{\"holders\":[]}"), H.Table.Value);
    H.Table = Copy;
    H.restoreStore(Time(2000));
    H.handle(H.Leases->tick(Time(2050)), Time(2050));
    CPPUNIT_ASSERT_EQUAL(std::string("{\"holders\":[]}"), H.Table.Value);
  }

  /// Guards against a lease of another guard that is removed while in use: its
  /// entry is again as it was first read long ago, because the restored store
  /// lacks the renewals.
  void returnedEntriesOfOthersAreKept() {
    const std::string Other = "{\"holders\":[{\"node\":\"n2\","
                              "\"incarnation\":1,\"server\":\"b0\","
                              "\"renewal\":1}]}";
    GuardHarness H;
    H.Table.Value = Other;
    H.Table.Version = 1;
    // The floor prevents the ejection, so the row is only read.
    H.handle(H.Leases->view(Service, viewOf(2), 3, Time(0)), Time(0));
    H.handle(H.Leases->eject(Service, Server, Time(0)), Time(0));
    H.Table.Value = Other;
    H.restoreStore(Time(50000));
    H.handle(H.Leases->view(Service, viewOf(4), 3, Time(52000)), Time(52000));
    CPPUNIT_ASSERT_EQUAL(1U, H.Ejections);
    CPPUNIT_ASSERT(H.Table.Value.find("\"n2\"") != std::string::npos);
  }

  /// Guards against a reply from before a restore that establishes a lease.
  void repliesFromBeforeRestoreAreIgnored() {
    GuardHarness H;
    H.Leases->view(Service, viewOf(3), 3, Time(0));
    auto Read = H.Leases->eject(Service, Server, Time(0));
    auto Write = H.Leases->reply(
        H.Table.apply(std::get<TableRequest>(Read.front())), Time(0));
    const auto Late = H.Table.apply(std::get<TableRequest>(Write.front()));
    H.Table = test::OneRowTable();
    H.TableDown = true;
    H.restoreStore(Time(100));
    H.handle(H.Leases->reply(Late, Time(200)), Time(200));
    CPPUNIT_ASSERT_EQUAL(0U, H.Ejections);
    H.TableDown = false;
    H.handle(H.Leases->tick(Time(2000)), Time(2000));
    CPPUNIT_ASSERT_EQUAL(1U, H.Ejections);
  }

  /// Guards against an ejection that leaves fewer backend servers in use than
  /// the floor.
  void floorPreventsEjection() {
    GuardHarness H;
    H.handle(H.Leases->view(Service, viewOf(2), 3, Time(0)), Time(0));
    H.handle(H.Leases->eject(Service, Server, Time(0)), Time(0));
    CPPUNIT_ASSERT_EQUAL(0U, H.Ejections);
    // With one more backend server, the pending ejection is possible.
    H.handle(H.Leases->view(Service, viewOf(3), 3, Time(2000)), Time(2000));
    CPPUNIT_ASSERT_EQUAL(1U, H.Ejections);
  }

  /// Guards against a lease that stays valid during an outage of the platform.
  void leaseExpiresDuringOutage() {
    GuardHarness H;
    H.eject(Time(0));
    H.TableDown = true;
    for (int Ms = 50; Ms < 29999; Ms += 50)
      H.handle(H.Leases->tick(Time(Ms)), Time(Ms));
    CPPUNIT_ASSERT(!H.LastReadmission);
    H.handle(H.Leases->tick(Time(30000)), Time(30000));
    CPPUNIT_ASSERT(H.LastReadmission == ReadmitReason::LeaseExpired);
  }

  /// Guards against a lease that other guards may already remove while its
  /// holder still considers the lease valid because the reply arrived late.
  void validityStartsAtRequest() {
    GuardHarness H;
    H.Leases->view(Service, viewOf(3), 3, Time(0));
    auto Read = H.Leases->eject(Service, Server, Time(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Read.size());
    auto Write = H.Leases->reply(
        H.Table.apply(std::get<TableRequest>(Read.front())), Time(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Write.size());
    const auto Reply = H.Table.apply(std::get<TableRequest>(Write.front()));
    // Prevents further renewals.
    H.TableDown = true;
    H.handle(H.Leases->reply(Reply, Time(20000)), Time(20000));
    CPPUNIT_ASSERT(H.Leases->holds(Service, Server, Time(30099)));
    CPPUNIT_ASSERT(!H.Leases->holds(Service, Server, Time(30100)));
  }

  /// Guards against an ejection that is in the row but never takes effect
  /// because the reply to its write was lost.
  void unknownReplyIsResolvedByRead() {
    GuardHarness H;
    H.LoseReplies = true;
    H.eject(Time(0));
    CPPUNIT_ASSERT_EQUAL(1U, H.Ejections);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, H.Table.Version);
  }

  /// Guards against an ejection that continues although other backend servers
  /// have left and the service is below its floor.
  void fallBelowFloorReadmits() {
    GuardHarness H;
    H.eject(Time(0));
    H.handle(H.Leases->view(Service, viewOf(2), 3, Time(100)), Time(100));
    CPPUNIT_ASSERT(H.LastReadmission == ReadmitReason::FloorReached);
    CPPUNIT_ASSERT_EQUAL(std::string("{\"holders\":[]}"), H.Table.Value);
  }

  /// Guards against settings that allow the removal of a lease that is still
  /// valid.
  void rejectsInconsistentDurations() {
    EjectionSettings Settings;
    Settings.Node = NodeName("n1");
    Settings.RemoveAfter = Settings.Validity;
    CPPUNIT_ASSERT(!EjectionLeases::create(Settings));
  }

  /// Guards against overwriting a row with leases that this version cannot
  /// decode.
  void corruptRowIsNotOverwritten() {
    GuardHarness H;
    H.Table.Value = "{\"holders\":[{\"node\":7}]}";
    H.Table.Version = 3;
    H.eject(Time(0));
    CPPUNIT_ASSERT_EQUAL(0U, H.Ejections);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, H.Table.Version);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EjectionLeasesTest);

} // namespace
