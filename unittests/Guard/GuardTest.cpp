#include "teaselhitch/Guard/Guard.h"

#include "GuardFixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <functional>
#include <map>

using namespace teaselhitch;

namespace {

using S = std::string;

class GuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GuardTest);
  CPPUNIT_TEST(announcementsAreChecked);
  CPPUNIT_TEST(changesPublishRecords);
  CPPUNIT_TEST(restartEndsAttempts);
  CPPUNIT_TEST(dispatchUsesFreeServersBeforeQueueing);
  CPPUNIT_TEST(queueIsOrderedAndExpires);
  CPPUNIT_TEST(sharesDivideSlots);
  CPPUNIT_TEST(slotsAreHeldUntilFinished);
  CPPUNIT_TEST(resultsAreReportedOnce);
  CPPUNIT_TEST(unusableServersGetNoWork);
  CPPUNIT_TEST(ejectedServersGetTrials);
  CPPUNIT_TEST(ejectedServersGetNoTrialsInHoldTime);
  CPPUNIT_TEST(drainFinishesRunningWork);
  CPPUNIT_TEST(pauseIsNoSilence);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a malformed announcement that takes slots or reaches other
  /// nodes, and against errors that do not name the invalid field.
  void announcementsAreChecked() {
    struct Case {
      const char *Field;
      std::function<void(Announcement &)> Change;
    };
    const std::vector<Case> Cases = {
        {"name", [](auto &A) { A.Name = BackendServerName("../w"); }},
        {"service", [](auto &A) { A.Service = ServiceName(""); }},
        {"address", [](auto &A) { A.Address.Address = "localhost"; }},
        {"address", [](auto &A) { A.Address.Port = 0; }},
        {"slots", [](auto &A) { A.Slots = 0; }},
        {"slots", [](auto &A) { A.Slots = 4000000000; }},
        {"incarnation", [](auto &A) { A.Incarnation = 0; }},
        {"incarnation", [](auto &A) { A.Incarnation = 4; }},
        {"state", [](auto &A) { A.State = BackendServerState::Gone; }},
        {"label", [](auto &A) { A.Label = S(65, 'x'); }},
        {"label", [](auto &A) { A.Label = "a\nb"; }},
        {"load", [](auto &A) { A.Load = -1; }},
        {"cold time", [](auto &A) { A.ColdRemaining = Duration(-1); }},
        {"cold time", [](auto &A) { A.ColdRemaining = Duration(1e300); }},
        {"cold time",
         [](auto &A) { A.ColdRemaining = Duration(std::nan("")); }},
        {"service", [](auto &A) { A.Service = ServiceName("other"); }}};
    GuardFixture F;
    F.announce(F.announcement("w1", 3, 5));
    for (const Case &C : Cases) {
      Announcement A = F.announcement("w1", 3, 5);
      C.Change(A);
      CPPUNIT_ASSERT_EQUAL(S(C.Field) + ": ",
                           F.refusal(A).substr(0, S(C.Field).size() + 2));
    }
    CPPUNIT_ASSERT_EQUAL(S(), F.refusal(F.announcement("w1", 3, 5)));
  }

  /// Guards against a node that was paused for longer than the announcement
  /// timeout and then gives up its backend servers, although their
  /// announcements are waiting to be read.
  void pauseIsNoSilence() {
    GuardFixture F;
    F.announce(F.announcement("w1", 3, 5));
    const auto State = [&] { return F.G->status().at(0).Record.State; };
    F.tickAt(100);
    F.G->resume(Duration(30000), Time(30100));
    F.tickAt(30100);
    CPPUNIT_ASSERT(State() == BackendServerState::Ready);
    // Silence after the pause counts.
    F.tickAt(40100);
    CPPUNIT_ASSERT(State() == BackendServerState::Gone);
  }

  /// Guards against gossip traffic from unchanged records, and against changes
  /// that are not published.
  void changesPublishRecords() {
    GuardFixture F;
    Announcement A = F.announcement("w1", 4);
    A.State = BackendServerState::Starting;
    std::vector<PublishRecord> All;
    const auto Published = [&](const GuardActions &Actions) {
      std::vector<PublishRecord> New = filterActions<PublishRecord>(Actions);
      All.insert(All.end(), New.begin(), New.end());
      return New.size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Published(F.announce(A)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Published(F.announce(A)));
    A.State = BackendServerState::Ready;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Published(F.announce(A)));
    CPPUNIT_ASSERT_EQUAL(10U, All.back().Record.Weight);
    A.Label = "r2";
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Published(F.announce(A)));
    std::size_t Steps = 0;
    for (unsigned Ms = 100; Ms <= 11000; Ms += 100) {
      Steps += Published(F.tickAt(Ms));
      Published(F.announce(A));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(9), Steps);
    CPPUNIT_ASSERT_EQUAL(100U, All.back().Record.Weight);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1),
        Published(
            F.G->setHealth(A.Name, BackendServerHealth::Suspected, 50, F.Now)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Published(F.tickAt(14000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Published(F.tickAt(14001)));
    CPPUNIT_ASSERT(BackendServerState::Gone == All.back().Record.State);
    for (std::size_t I = 0; I != All.size(); ++I)
      CPPUNIT_ASSERT(RecordVersion({7, I + 1}) == All[I].Record.Version);
  }

  /// Guards against attempts that stay open when their server restarts, and
  /// against full load on a cold server.
  void restartEndsAttempts() {
    GuardFixture F;
    F.announce(F.announcement("w1", 4));
    F.dispatch(F.info(1));
    CPPUNIT_ASSERT_EQUAL(
        S("abort 1, fail 1 backend-server-failed unknown crashed"),
        text(F.announce(F.announcement("w1", 4, 2))));
    // The aborted attempt holds the only usable slot until it has finished.
    CPPUNIT_ASSERT_EQUAL(S(), text(F.dispatch(F.info(2))));
    CPPUNIT_ASSERT_EQUAL(S("start 2 w1"), text(F.finish(1, RunEnd::Aborted)));
    CPPUNIT_ASSERT_EQUAL(S(), text(F.dispatch(F.info(3))));
  }

  /// Guards against attempts that wait while another server of the instance has
  /// a free slot, and against a queue without a bound.
  void dispatchUsesFreeServersBeforeQueueing() {
    GuardFixture F;
    F.announce(F.announcement("w1", 1));
    F.announce(F.announcement("w2", 1));
    CPPUNIT_ASSERT_EQUAL(S("start 1 w1"), text(F.dispatch(F.info(1))));
    CPPUNIT_ASSERT_EQUAL(S("start 2 w2"), text(F.dispatch(F.info(2))));
    CPPUNIT_ASSERT_EQUAL(S(), text(F.dispatch(F.info(2))));
    std::uint64_t Next = 3;
    while (text(F.dispatch(F.info(Next))).empty())
      ++Next;
    // Four places for each of the two slots, of which a quarter is reserved for
    // other organisations.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3 + 6), Next);
    std::vector<AttemptFailed> Full =
        filterActions<AttemptFailed>(F.dispatch(F.info(Next)));
    CPPUNIT_ASSERT(Full.at(0).Cause == Reason::QueueFull);
    CPPUNIT_ASSERT(Full.at(0).RetryAfter > Duration());
    CPPUNIT_ASSERT_EQUAL(S("start 3 w2"), text(F.finish(2)));
    CPPUNIT_ASSERT_EQUAL(S("fail 99 no-backend-server not-run"),
                         text(F.dispatch([&] {
                           DispatchInfo I = F.info(99);
                           I.Service = ServiceName("other");
                           return I;
                         }())));
  }

  /// Guards against paid or urgent attempts that wait behind others, and
  /// against attempts that start after their deadline.
  void queueIsOrderedAndExpires() {
    GuardFixture F;
    F.announce(F.announcement("w1", 1));
    F.dispatch(F.info(1));
    const auto Send = [&](std::uint64_t Sequence, double Ms, bool Paid) {
      DispatchInfo I = F.info(Sequence);
      I.Remaining = Duration(Ms);
      I.Paid = Paid;
      return text(F.dispatch(I));
    };
    CPPUNIT_ASSERT_EQUAL(S("fail 9 deadline-expired not-run"),
                         Send(9, 0, true));
    Send(2, 500, false);
    Send(3, 40, false);
    Send(4, 900, true);
    CPPUNIT_ASSERT_EQUAL(S("start 4 w1"), text(F.finish(1)));
    CPPUNIT_ASSERT_EQUAL(S("fail 3 deadline-expired not-run"),
                         text(F.tickAt(40)));
    CPPUNIT_ASSERT_EQUAL(S("start 2 w1"), text(F.finish(4)));
    CPPUNIT_ASSERT(F.finish(3).empty());
  }

  /// Guards against shares that have no effect, and against invented
  /// organisations that each get a share. Organisation a has share 1 and b has
  /// share 3; c and d are unknown and have share 1 together.
  void sharesDivideSlots() {
    GuardFixture F;
    F.announce(F.announcement("w1", 5));
    std::map<S, unsigned> Started;
    std::map<std::uint64_t, S> OrganisationNames;
    std::vector<std::uint64_t> Running;
    std::uint64_t Next = 0;
    const auto RecordStarts = [&](const GuardActions &Actions) {
      for (const StartAttempt &Start : filterActions<StartAttempt>(Actions)) {
        Running.push_back(Start.Attempt.Request.Sequence);
        ++Started[OrganisationNames[Running.back()]];
      }
    };
    for (unsigned I = 0; I != 3000; ++I) {
      F.Now = F.Now + Duration(4);
      for (const char *Name : {"a", "b", "c", "d"}) {
        OrganisationNames[++Next] = Name;
        RecordStarts(F.dispatch(F.info(Next, Name)));
      }
      std::uint64_t Done = Running.front();
      Running.erase(Running.begin());
      RecordStarts(F.finish(Done));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(600, Started["a"], 30);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1800, Started["b"], 90);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(600, Started["c"] + Started["d"], 30);
  }

  /// Guards against a slot that is reused while an aborted attempt may still
  /// run in it.
  void slotsAreHeldUntilFinished() {
    GuardFixture F;
    F.announce(F.announcement("w1", 1));
    DispatchInfo I = F.info(1);
    I.Remaining = Duration(50);
    F.dispatch(I);
    F.dispatch(F.info(2));
    CPPUNIT_ASSERT_EQUAL(S("abort 1, fail 1 deadline-expired-running unknown"),
                         text(F.tickAt(50)));
    CPPUNIT_ASSERT_EQUAL(S(), text(F.tickAt(100)));
    CPPUNIT_ASSERT_EQUAL(S("start 2 w1"), text(F.finish(1, RunEnd::Aborted)));
    CPPUNIT_ASSERT_EQUAL(S("abort 2"), text(F.G->cancel(F.id(2), F.Now)));
    CPPUNIT_ASSERT_EQUAL(S(), text(F.G->cancel(F.id(2), F.Now)));
    F.dispatch(F.info(3));
    CPPUNIT_ASSERT_EQUAL(S("fail 3 deadline-expired not-run"),
                         text(F.G->cancel(F.id(3), F.Now)));
    CPPUNIT_ASSERT_EQUAL(S("fail 2 deadline-expired-running unknown"),
                         text(F.finish(2, RunEnd::Aborted)));
    CPPUNIT_ASSERT(F.G->isIdle());
  }

  /// Guards against an outcome that claims more than is proved.
  void resultsAreReportedOnce() {
    const std::vector<std::pair<RunEnd, S>> Cases = {
        {RunEnd::Answered, ""},
        {RunEnd::Shed, "fail 1 shed not-run"},
        {RunEnd::ConnectFailed, "fail 1 no-backend-server not-run"},
        {RunEnd::ConnectionLost, "fail 1 backend-server-failed unknown"},
        {RunEnd::Crashed, "fail 1 backend-server-failed unknown crashed"}};
    for (const auto &[End, Expected] : Cases) {
      GuardFixture F;
      F.announce(F.announcement("w1", 2));
      F.dispatch(F.info(1));
      F.dispatch(F.info(2));
      CPPUNIT_ASSERT_EQUAL(Expected, text(F.finish(1, End)));
      F.tickAt(1000);
      CPPUNIT_ASSERT_EQUAL(S(), text(F.finish(2, End)));
      CPPUNIT_ASSERT(F.finish(1, End).empty());
    }
  }

  /// Guards against new attempts on servers that are draining, starting or
  /// crashed, and against attempts that keep waiting for such servers.
  void unusableServersGetNoWork() {
    GuardFixture F;
    Announcement A = F.announcement("w1", 1);
    F.announce(A);
    F.dispatch(F.info(1));
    F.dispatch(F.info(2));
    A.State = BackendServerState::Draining;
    CPPUNIT_ASSERT_EQUAL(S("fail 2 draining not-run"), text(F.announce(A)));
    CPPUNIT_ASSERT_EQUAL(S("fail 3 draining not-run"),
                         text(F.dispatch(F.info(3))));
    F.announce(F.announcement("w2", 1));
    CPPUNIT_ASSERT_EQUAL(S("start 4 w2"), text(F.dispatch(F.info(4))));
    F.dispatch(F.info(5));
    F.tickAt(500);
    CPPUNIT_ASSERT_EQUAL(S("fail 4 backend-server-failed unknown crashed, "
                           "fail 5 draining not-run"),
                         text(F.finish(4, RunEnd::Crashed)));
    CPPUNIT_ASSERT_EQUAL(S(), text(F.finish(1)));
    F.tickAt(4000);
    CPPUNIT_ASSERT_EQUAL(S("fail 6 no-backend-server not-run"),
                         text(F.dispatch(F.info(6))));
  }

  /// Guards against normal load on an ejected server, and against an ejected
  /// server that is never readmitted.
  void ejectedServersGetTrials() {
    GuardFixture F;
    F.announce(F.announcement("w1", 4));
    const BackendServerName W1("w1");
    F.G->setHealth(W1, BackendServerHealth::Ejected, 100, F.Now);
    CPPUNIT_ASSERT_EQUAL(S("fail 1 no-backend-server not-run"),
                         text(F.dispatch(F.info(1))));
    const auto Trial = [&](std::uint64_t Sequence) {
      DispatchInfo I = F.info(Sequence);
      I.Idempotent = true;
      return text(F.dispatch(I));
    };
    CPPUNIT_ASSERT_EQUAL(S("start 2 w1"), Trial(2));
    F.Now = Time(1000);
    CPPUNIT_ASSERT_EQUAL(S("fail 3 no-backend-server not-run"), Trial(3));
    F.finish(2);
    CPPUNIT_ASSERT_EQUAL(S("start 4 w1"), Trial(4));
    F.finish(4);
    CPPUNIT_ASSERT_EQUAL(S("fail 5 no-backend-server not-run"), Trial(5));
    F.G->setHealth(W1, BackendServerHealth::Healthy, 100, F.Now);
    CPPUNIT_ASSERT_EQUAL(S("start 6 w1"), text(F.dispatch(F.info(6))));
    CPPUNIT_ASSERT_EQUAL(S(), text(F.dispatch(F.info(7))));
    CPPUNIT_ASSERT_EQUAL(1U, F.G->status().at(0).Waiting);
  }

  /// Guards against trial requests, whose failures callers see, before the hold
  /// time of an ejection has passed.
  void ejectedServersGetNoTrialsInHoldTime() {
    GuardFixture F;
    F.announce(F.announcement("w1", 4));
    const BackendServerName W1("w1");
    DispatchInfo I = F.info(1);
    I.Idempotent = true;
    F.G->setHealth(W1, BackendServerHealth::Ejected, 1, F.Now);
    CPPUNIT_ASSERT_EQUAL(S("fail 1 no-backend-server not-run"),
                         text(F.dispatch(I)));
    F.G->setHealth(W1, BackendServerHealth::Ejected, 10, F.Now);
    I = F.info(2);
    I.Idempotent = true;
    CPPUNIT_ASSERT_EQUAL(S("start 2 w1"), text(F.dispatch(I)));
  }

  /// Guards against a graceful shutdown that interrupts running attempts or
  /// accepts new ones.
  void drainFinishesRunningWork() {
    GuardFixture F;
    F.announce(F.announcement("w1", 1));
    F.dispatch(F.info(1));
    F.dispatch(F.info(2));
    CPPUNIT_ASSERT_EQUAL(S("fail 2 draining not-run"), text(F.G->drain(F.Now)));
    CPPUNIT_ASSERT_EQUAL(S("fail 3 draining not-run"),
                         text(F.dispatch(F.info(3))));
    CPPUNIT_ASSERT(!F.G->isIdle());
    F.finish(1);
    CPPUNIT_ASSERT(F.G->isIdle());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GuardTest);

} // namespace
