#include "GuardFixture.h"
#include "teaselhitch/Platform/MemoryStores.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>

using namespace teaselhitch;

namespace {

using S = std::string;

/// A guard and its log, as in one process of a node.
struct Process {
  GuardFixture F;
  explicit Process(bool IsFirstStart = false)
      : Log(NodeName("n1"), IsFirstStart) {}

  DepartureLog Log;

  void depart(const S &Name, std::optional<std::uint64_t> Incarnation = {}) {
    keep(F.G->drainServer(BackendServerName(Name), Incarnation, F.Now));
  }
  void announce(const Announcement &A) { keep(F.announce(A)); }
  /// Returns true if a departure is recorded and not known to be in the table.
  bool isUnsaved() const { return !Log.departures().empty() && !Log.isSaved(); }
  void keep(const GuardActions &Actions) {
    for (const KeepDeparture &K : filterActions<KeepDeparture>(Actions))
      Log.record(K.Server);
  }

  /// Runs all requests that are due.
  void sync(TableStore &Store) {
    while (std::optional<TableRequest> Next = Log.tick(F.Now))
      F.G->restoreDepartures(Log.reply(runTableRequest(Store, *Next), F.Now),
                             F.Now);
  }
  /// Sends the requests that are due, and gets a reply with this status.
  void fail(TableStatus Status) {
    while (std::optional<TableRequest> Next = Log.tick(F.Now))
      Log.reply({Next->Token, Status, {}}, F.Now);
  }
  void restoreStore() {
    Log.reply({0, TableStatus::StoreRestored, {}, 2}, F.Now);
  }
  bool runs(std::uint64_t Sequence) {
    return text(F.dispatch(F.info(Sequence))).rfind("start", 0) == 0;
  }
};

Announcement numbered(const S &Name, std::uint64_t Sequence,
                      std::uint64_t Incarnation = 5) {
  Announcement A = GuardFixture::announcement(Name, 3, Incarnation);
  A.Sequence = Sequence;
  return A;
}

class DepartureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DepartureTest);
  CPPUNIT_TEST(nextProcessKnowsDepartures);
  CPPUNIT_TEST(announcedDeparturesAreKept);
  CPPUNIT_TEST(unknownServersCanDepart);
  CPPUNIT_TEST(newIncarnationsAreUsed);
  CPPUNIT_TEST(earlierDepartureHidesNoLaterOne);
  CPPUNIT_TEST(departureStopsEarlierIncarnation);
  CPPUNIT_TEST(lateDepartureIsKeptForNextProcess);
  CPPUNIT_TEST(manyDeparturesAreBounded);
  CPPUNIT_TEST(lostAnswersAreRepeated);
  CPPUNIT_TEST(laterProcessesKeepEarlierDepartures);
  CPPUNIT_TEST(invalidRowsAreIgnored);
  CPPUNIT_TEST(firstStartReadsNothing);
  CPPUNIT_TEST(lostDeparturesAreWrittenAgain);
  CPPUNIT_TEST(olderRowsRestoreNothing);
  CPPUNIT_TEST(writesInFlightAreRepeatedAfterRestore);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a late announcement that puts a departed server into use
  /// again, because the node was restarted after it acknowledged the departure.
  void nextProcessKnowsDepartures() {
    MemoryTableStore Store;
    {
      Process First;
      First.announce(numbered("w1", 5));
      First.depart("w1");
      CPPUNIT_ASSERT(First.isUnsaved());
      First.sync(Store);
      CPPUNIT_ASSERT(!First.isUnsaved());
    }
    // The row arrives before or after the late announcement.
    for (bool ReadsFirst : {true, false}) {
      Process Next;
      if (ReadsFirst)
        Next.sync(Store);
      Next.announce(numbered("w1", 6));
      Next.sync(Store);
      CPPUNIT_ASSERT(!Next.runs(1));
    }
  }

  /// Guards against a late announcement after a restart of the node that undoes
  /// the announced state Draining.
  void announcedDeparturesAreKept() {
    MemoryTableStore Store;
    Announcement Leaving = numbered("w1", 7);
    Leaving.State = BackendServerState::Draining;
    Process First;
    First.announce(Leaving);
    First.sync(Store);
    Process Next;
    Next.sync(Store);
    Next.announce(numbered("w1", 6));
    CPPUNIT_ASSERT(!Next.runs(1));
  }

  /// Guards against a departure that is acknowledged and forgotten, because the
  /// node was restarted before it and has not heard of the server.
  void unknownServersCanDepart() {
    for (std::optional<std::uint64_t> Incarnation :
         {std::optional<std::uint64_t>(), std::optional<std::uint64_t>(5)}) {
      Process P;
      P.depart("w1", Incarnation);
      CPPUNIT_ASSERT(P.isUnsaved());
      P.announce(numbered("w1", 6));
      CPPUNIT_ASSERT(!P.runs(1));
    }
  }

  /// Guards against a departure that locks out a server which starts again
  /// under the same name.
  void newIncarnationsAreUsed() {
    MemoryTableStore Store;
    Process First;
    First.announce(numbered("w1", 5));
    First.depart("w1");
    First.sync(Store);
    First.announce(numbered("w1", 1, 6));
    CPPUNIT_ASSERT(First.runs(1));
    Process Next;
    Next.sync(Store);
    Next.announce(numbered("w1", 1, 6));
    CPPUNIT_ASSERT(Next.runs(1));

    Process Unnamed;
    Unnamed.depart("w1");
    Unnamed.F.Now = Time(60000);
    Unnamed.announce(numbered("w1", 1));
    CPPUNIT_ASSERT(Unnamed.runs(1));
  }

  /// Guards against a restored departure of an earlier incarnation that hides
  /// the departure of a later one, which has not announced itself to this
  /// process. The late announcement arrives here or at the next process.
  void earlierDepartureHidesNoLaterOne() {
    for (bool IsNamed : {true, false}) {
      MemoryTableStore Store;
      Process First;
      First.announce(numbered("w1", 5, 5));
      First.depart("w1");
      First.sync(Store);
      {
        Process Second;
        Second.sync(Store);
        Second.depart("w1",
                      IsNamed ? std::optional<std::uint64_t>(6) : std::nullopt);
        CPPUNIT_ASSERT(Second.isUnsaved());
        Second.sync(Store);
        Second.announce(numbered("w1", 9, 6));
        CPPUNIT_ASSERT(!Second.runs(1));
        // A departure that names no incarnation holds for 30 s.
        Second.F.Now = Second.F.Now + Duration::seconds(31);
        Second.announce(numbered("w1", 1, 7));
        CPPUNIT_ASSERT(Second.runs(2));
      }
      Process Third;
      Third.sync(Store);
      Third.announce(numbered("w1", 9, 6));
      CPPUNIT_ASSERT(!Third.runs(1));
    }
  }

  /// Guards against requests to a departed process whose announcements have not
  /// arrived, at the address that its predecessor of the same name announced.
  void departureStopsEarlierIncarnation() {
    Process P;
    P.announce(numbered("w1", 5, 5));
    CPPUNIT_ASSERT(P.runs(1));
    P.F.finish(1);
    P.depart("w1", 6);
    CPPUNIT_ASSERT(!P.runs(2));
    P.announce(numbered("w1", 6, 5));
    CPPUNIT_ASSERT(!P.runs(3));
    P.announce(numbered("w1", 1, 7));
    CPPUNIT_ASSERT(P.runs(4));
  }

  /// Guards against a departure that arrives after a later process of the
  /// backend server has announced itself, and that is then forgotten.
  void lateDepartureIsKeptForNextProcess() {
    MemoryTableStore Store;
    Process First;
    First.sync(Store);
    First.announce(numbered("w1", 1, 6));
    First.depart("w1", 5);
    First.sync(Store);
    CPPUNIT_ASSERT(First.runs(1));
    Process Next;
    Next.sync(Store);
    Next.announce(numbered("w1", 9, 5));
    CPPUNIT_ASSERT(!Next.runs(1));
    Next.announce(numbered("w1", 2, 6));
    CPPUNIT_ASSERT(Next.runs(2));
  }

  /// Guards against a full table of departures that ignores a new one.
  void manyDeparturesAreBounded() {
    Process P;
    constexpr int Names = 300;
    for (int I = 0; I != Names; ++I) {
      P.F.Now = P.F.Now + Duration(1);
      P.depart("x" + std::to_string(I), 5);
    }
    P.depart("w1", 5);
    P.announce(numbered("w1", 6));
    CPPUNIT_ASSERT(!P.runs(1));
  }

  /// Guards against a departure that is never saved after an outage of the
  /// store or a lost answer to the write.
  void lostAnswersAreRepeated() {
    MemoryTableStore Store;
    Process First;
    First.sync(Store);
    First.announce(numbered("w1", 5));
    First.depart("w1");
    for (TableStatus Status : {TableStatus::Unavailable, TableStatus::Unknown,
                               TableStatus::Conflict}) {
      First.fail(Status);
      CPPUNIT_ASSERT(First.isUnsaved());
      First.F.Now = First.F.Now + Duration::seconds(2);
    }
    // The write takes effect, but its answer is lost.
    std::optional<TableRequest> Read = First.Log.tick(First.F.Now);
    First.Log.reply(runTableRequest(Store, *Read), First.F.Now);
    std::optional<TableRequest> Write = First.Log.tick(First.F.Now);
    runTableRequest(Store, *Write);
    First.Log.reply({Write->Token, TableStatus::Unknown, {}}, First.F.Now);
    First.F.Now = First.F.Now + Duration::seconds(2);
    First.sync(Store);
    CPPUNIT_ASSERT(!First.isUnsaved());
  }

  /// Guards against a write of one process that drops what an earlier one
  /// wrote.
  void laterProcessesKeepEarlierDepartures() {
    MemoryTableStore Store;
    for (const char *Name : {"w1", "w2"}) {
      Process P;
      P.announce(numbered(Name, 5));
      P.depart(Name);
      P.sync(Store);
    }
    Process Next;
    Next.sync(Store);
    Next.announce(numbered("w1", 6));
    Next.announce(numbered("w2", 6));
    CPPUNIT_ASSERT(!Next.runs(1));
  }

  /// Guards against a departure that is acknowledged and forgotten, because the
  /// store was restored from a copy that lacks it, also twice in a row.
  void lostDeparturesAreWrittenAgain() {
    Process First;
    MemoryTableStore Store;
    First.sync(Store);
    First.announce(numbered("w1", 5));
    First.depart("w1");
    First.sync(Store);
    for (int Restore = 0; Restore != 2; ++Restore) {
      First.restoreStore();
      CPPUNIT_ASSERT(First.isUnsaved());
      MemoryTableStore Restored;
      First.sync(Restored);
      CPPUNIT_ASSERT(!First.isUnsaved());
      Process Next;
      Next.sync(Restored);
      Next.announce(numbered("w1", 6));
      CPPUNIT_ASSERT(!Next.runs(1));
    }
  }

  /// Guards against an older copy of the row that replaces a newer departure,
  /// or that makes a server of a later incarnation count as departed.
  void olderRowsRestoreNothing() {
    MemoryTableStore Older;
    Process First;
    First.sync(Older);
    First.announce(numbered("w1", 5));
    First.depart("w1");
    First.sync(Older);
    First.announce(numbered("w1", 1, 6));
    First.depart("w1");
    First.announce(numbered("w1", 1, 7));
    First.restoreStore();
    First.sync(Older);
    CPPUNIT_ASSERT(First.runs(1));
    Process Next;
    Next.sync(Older);
    Next.announce(numbered("w1", 2, 6));
    CPPUNIT_ASSERT(!Next.runs(1));
  }

  /// Guards against a reply from before a restore that marks a departure as
  /// saved although the restored store lacks it.
  void writesInFlightAreRepeatedAfterRestore() {
    MemoryTableStore Lost;
    MemoryTableStore Restored;
    Process First;
    First.sync(Lost);
    First.depart("w1");
    std::optional<TableRequest> Write = First.Log.tick(First.F.Now);
    TableReply Late = runTableRequest(Lost, *Write);
    First.restoreStore();
    First.Log.reply(Late, First.F.Now);
    CPPUNIT_ASSERT(First.isUnsaved());
    First.sync(Restored);
    CPPUNIT_ASSERT(Restored.read("departures", "n1").value().has_value());
  }

  /// Guards against a read of the store by each node of a fleet that starts for
  /// the first time, and against a departure that is lost because there is a
  /// row all the same.
  void firstStartReadsNothing() {
    MemoryTableStore Store;
    Process First(true);
    CPPUNIT_ASSERT(!First.Log.tick(First.F.Now));
    First.announce(numbered("w1", 5));
    First.depart("w1");
    First.sync(Store);
    Process Again(true);
    Again.announce(numbered("w2", 5));
    Again.depart("w2");
    Again.sync(Store);
    CPPUNIT_ASSERT(!Again.isUnsaved());
    Again.announce(numbered("w1", 6));
    CPPUNIT_ASSERT(!Again.runs(1));
  }

  /// Guards against a row of another writer that ends the process or hides the
  /// other entries.
  void invalidRowsAreIgnored() {
    for (const char *Row : {"[]", "7", R"({"servers":{}})",
                            R"({"servers":[7,{"server":"../w"},{"server":"w1",)"
                            R"("incarnation":-1}]})"}) {
      MemoryTableStore Store;
      CPPUNIT_ASSERT(Store.insert("departures", "n1", Row));
      Process P;
      P.sync(Store);
      P.announce(numbered("w1", 6));
      CPPUNIT_ASSERT(P.runs(1));
    }
    MemoryTableStore Store;
    CPPUNIT_ASSERT(Store.insert(
        "departures", "n1",
        R"({"servers":[{},{"server":"w1","incarnation":5},null]})"));
    Process P;
    P.sync(Store);
    P.announce(numbered("w1", 6));
    CPPUNIT_ASSERT(!P.runs(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartureTest);

} // namespace
