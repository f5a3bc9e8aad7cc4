#include "GuardFixture.h"

#include <map>
#include <optional>

using namespace teaselhitch;

namespace {

using S = std::string;

DispatchInfo strict(std::uint64_t Sequence, bool Idempotent) {
  DispatchInfo I = GuardFixture::info(Sequence);
  I.Rule = RuleName("r");
  I.Strict = true;
  I.Idempotent = Idempotent;
  I.Objective = Duration(300);
  I.ObjectiveLeft = Duration(300);
  I.Remaining = Duration::seconds(5);
  return I;
}

DispatchInfo lenient(std::uint64_t Sequence, std::uint32_t Priority) {
  DispatchInfo I = strict(Sequence, true);
  I.Strict = false;
  I.Priority = Priority;
  return I;
}

/// Sends three paid, non-idempotent requests that all fail at the current time.
void failThree(GuardFixture &F) {
  for (std::uint64_t I = 1; I <= 3; ++I)
    F.dispatch(strict(I, false));
  for (std::uint64_t I = 1; I <= 3; ++I)
    F.G->finished(F.id(I), {RunEnd::Answered, 500, Duration(100)}, F.Now);
}

class RiskTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RiskTest);
  CPPUNIT_TEST(hangingServerIsDeclined);
  CPPUNIT_TEST(fastFailingServerGetsLittleWork);
  CPPUNIT_TEST(suspectedServerGetsTrials);
  CPPUNIT_TEST(paidWorkNeedsProofAfterGrayFailure);
  CPPUNIT_TEST(serverWithoutTrialsIsUsedAgain);
  CPPUNIT_TEST(hungPaidWorkDoesNotDelayTrials);
  CPPUNIT_TEST(attemptWithSubRequestIsNotOverdue);
  CPPUNIT_TEST(paidWorkNeedsRecentSuccesses);
  CPPUNIT_TEST(lenientIdempotentWorkMayBeTrial);
  CPPUNIT_TEST(strictAttemptsAreNotQueued);
  CPPUNIT_TEST(overdueIdempotentAttemptsAreReportedOnce);
  CPPUNIT_TEST(subRequestsAndPriorityGoFirst);
  CPPUNIT_TEST(unmeetableDeadlineIsRefusedImmediately);
  CPPUNIT_TEST(addressBelongsToLatestStartedServer);
  CPPUNIT_TEST(lateAnnouncementsAreIgnored);
  CPPUNIT_TEST(riskIsPublishedOnlyIfShared);
  CPPUNIT_TEST(longRunsStartInTime);
  CPPUNIT_TEST_SUITE_END();

  /// Pattern: a saturated service gets short lookups with an objective of 300
  /// ms and payments that run for 210 ms with an objective of 800 ms. Guards
  /// against payments that wait behind lookups until they can only end late.
  void longRunsStartInTime() {
    constexpr double LookupMs = 76, PaymentMs = 210, ObjectiveMs = 800;
    GuardFixture F;
    F.announce(F.announcement("w1", 1));
    std::uint64_t Last = 0;
    const auto Make = [&](const char *Rule, double Objective) {
      DispatchInfo Info = lenient(++Last, 0);
      Info.Rule = RuleName(Rule);
      Info.Objective = Info.ObjectiveLeft = Duration(Objective);
      return Info;
    };
    const auto Finish = [&](const DispatchInfo &Info, double RunMs) {
      return F.G->finished(Info.Attempt,
                           {RunEnd::Answered, 200, Duration(RunMs)}, F.Now);
    };
    // The guard learns the run times.
    for (int I = 0; I != 100; ++I) {
      F.Now = F.Now + Duration(300);
      DispatchInfo Lookup = Make("lookup", 300);
      F.dispatch(Lookup);
      Finish(Lookup, LookupMs);
      DispatchInfo Payment = Make("pay", ObjectiveMs);
      F.dispatch(Payment);
      Finish(Payment, PaymentMs);
    }
    DispatchInfo Running = Make("lookup", 300);
    F.dispatch(Running);
    Time Arrival = F.Now;
    DispatchInfo Payment = Make("pay", ObjectiveMs);
    F.dispatch(Payment);
    std::map<AttemptId, DispatchInfo> Waiting;
    std::optional<Time> Started;
    while (!Started && F.Now - Arrival < Duration(2000)) {
      DispatchInfo Next = Make("lookup", 300);
      Waiting.emplace(Next.Attempt, Next);
      F.dispatch(Next);
      F.Now = F.Now + Duration(LookupMs);
      for (const StartAttempt &S :
           filterActions<StartAttempt>(Finish(Running, LookupMs))) {
        if (S.Attempt == Payment.Attempt)
          Started = F.Now;
        else
          Running = Waiting.at(S.Attempt);
      }
    }
    CPPUNIT_ASSERT(Started.has_value());
    CPPUNIT_ASSERT(*Started - Arrival <=
                   Duration(ObjectiveMs - 1.5 * PaymentMs));
  }

  /// Pattern: 354 guards, a third of whose backend servers look faulty in turn.
  /// Guards against gossip that grows with the number of these changes, and
  /// against a server that stays suspected after sharing has ended.
  void riskIsPublishedOnlyIfShared() {
    GuardFixture F;
    ActiveConfig Config;
    Service S1;
    S1.Name = ServiceName("s");
    S1.EjectionsEnabled = false;
    Config.Objects.Services = {S1};
    F.G->configure(std::make_shared<const ActiveConfig>(Config), F.Now);
    F.announce(F.announcement("w1", 3));
    failThree(F);
    const auto Published = [&](double Ms) {
      return filterActions<PublishRecord>(F.tickAt(Ms));
    };
    F.G->shareRisk(false);
    for (int Ms = 20; Ms < 2000; Ms += 20)
      CPPUNIT_ASSERT(Published(Ms).empty());
    F.G->shareRisk(true);
    auto Shared = Published(2000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Shared.size());
    CPPUNIT_ASSERT(Shared[0].Record.Health == BackendServerHealth::Suspected);
    F.G->shareRisk(false);
    auto Ended = Published(2020);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Ended.size());
    CPPUNIT_ASSERT(Ended[0].Record.Health == BackendServerHealth::Healthy);
    // The guard itself still knows.
    CPPUNIT_ASSERT_EQUAL(S("fail 8 suspected not-run"),
                         text(F.dispatch(strict(8, false))));
  }

  /// Load: a backend server stops answering while its health state is still
  /// good.
  void hangingServerIsDeclined() {
    GuardFixture F;
    F.announce(F.announcement("w1", 3));
    CPPUNIT_ASSERT_EQUAL(S("start 1 w1"), text(F.dispatch(strict(1, false))));
    F.tickAt(1000);
    CPPUNIT_ASSERT_EQUAL(S("fail 2 suspected not-run"),
                         text(F.dispatch(strict(2, false))));
  }

  /// Load: a backend server fails each request within a millisecond, so that
  /// its slots are always free.
  void fastFailingServerGetsLittleWork() {
    GuardFixture F;
    F.announce(F.announcement("w1", 3));
    unsigned Taken = 0;
    constexpr std::uint64_t PerSecond = 100;
    for (std::uint64_t I = 1; I <= 10 * PerSecond; ++I) {
      F.Now = F.Now + Duration(1000.0 / PerSecond);
      DispatchInfo Info = lenient(I, 0);
      Info.Idempotent = false;
      if (filterActions<StartAttempt>(F.dispatch(Info)).empty())
        continue;
      ++Taken;
      F.G->finished(F.id(I), {RunEnd::Answered, 500, Duration(1)}, F.Now);
    }
    // The first attempts, and then about one per second.
    CPPUNIT_ASSERT(Taken <= 20);
    CPPUNIT_ASSERT(Taken >= 5);
  }

  /// Guards against a recovered backend server that receives no more work.
  void suspectedServerGetsTrials() {
    GuardFixture F;
    F.announce(F.announcement("w1", 3));
    failThree(F);
    F.tickAt(2500);
    CPPUNIT_ASSERT_EQUAL(S("fail 8 suspected not-run"),
                         text(F.dispatch(strict(8, false))));
    CPPUNIT_ASSERT_EQUAL(S("start 9 w1"), text(F.dispatch(strict(9, true))));
    // Only one trial runs at a time.
    CPPUNIT_ASSERT_EQUAL(S("fail 10 suspected not-run"),
                         text(F.dispatch(strict(10, true))));
  }

  /// Load: three in ten backend servers hang on most requests for about nine
  /// seconds. Guards against paid work that is the first to try one of them
  /// again.
  void paidWorkNeedsProofAfterGrayFailure() {
    GuardFixture F;
    F.announce(F.announcement("w1", 3));
    failThree(F);
    F.tickAt(20);
    for (double Ms : {4000.0, 8000.0, 12000.0}) {
      F.Now = Time(Ms);
      CPPUNIT_ASSERT_EQUAL(S("fail 10 suspected not-run"),
                           text(F.dispatch(strict(10, false))));
    }
    F.dispatch(strict(11, true));
    F.finish(11);
    CPPUNIT_ASSERT_EQUAL(S("start 12 w1"), text(F.dispatch(strict(12, false))));
  }

  /// Guards against a service without idempotent requests that loses a backend
  /// server permanently.
  void serverWithoutTrialsIsUsedAgain() {
    GuardFixture F;
    F.announce(F.announcement("w1", 3));
    failThree(F);
    F.tickAt(20);
    F.Now = Time(25000);
    CPPUNIT_ASSERT_EQUAL(S("start 10 w1"), text(F.dispatch(strict(10, false))));
  }

  /// Load: paid requests hang until their deadlines of several seconds,
  /// although the gray failure is already over.
  void hungPaidWorkDoesNotDelayTrials() {
    GuardFixture F;
    F.announce(F.announcement("w1", 3));
    F.dispatch(strict(1, false));
    F.dispatch(strict(2, false));
    F.tickAt(1500);
    CPPUNIT_ASSERT_EQUAL(S("start 3 w1"), text(F.dispatch(strict(3, true))));
    F.Now = Time(1600);
    F.finish(3);
    // Trials are spaced in time.
    CPPUNIT_ASSERT_EQUAL(S("fail 4 suspected not-run"),
                         text(F.dispatch(strict(4, true))));
    F.tickAt(2400);
    CPPUNIT_ASSERT_EQUAL(S("start 5 w1"), text(F.dispatch(strict(5, true))));
  }

  /// Load: a service that this one calls is slow. Guards against backend
  /// servers that are suspected because their sub-requests wait there.
  void attemptWithSubRequestIsNotOverdue() {
    GuardFixture F;
    F.announce(F.announcement("w1", 3));
    F.dispatch(strict(1, true));
    F.dispatch(strict(2, false));
    F.Now = Time(50);
    F.G->recordProgress(F.id(1), F.Now);
    F.G->recordProgress(F.id(2), F.Now);
    CPPUNIT_ASSERT(filterActions<AttemptOverdue>(F.tickAt(1500)).empty());
    CPPUNIT_ASSERT_EQUAL(S("start 3 w1"), text(F.dispatch(strict(3, false))));
  }

  /// Load: most backend servers have just succeeded; some have not been used
  /// for seconds.
  void paidWorkNeedsRecentSuccesses() {
    GuardFixture F;
    F.announce(F.announcement("w1", 3));
    DispatchInfo Careful = strict(1, false);
    Careful.MaxRiskPercent = 4;
    CPPUNIT_ASSERT_EQUAL(S("fail 1 suspected not-run"),
                         text(F.dispatch(Careful)));
    for (std::uint64_t I = 2; I != 5; ++I) {
      F.dispatch(strict(I, true));
      F.finish(I);
    }
    Careful.Attempt = F.id(5);
    CPPUNIT_ASSERT_EQUAL(S("start 5 w1"), text(F.dispatch(Careful)));
    F.finish(5);
    F.Now = Time(5000);
    Careful.Attempt = F.id(6);
    CPPUNIT_ASSERT_EQUAL(S("fail 6 suspected not-run"),
                         text(F.dispatch(Careful)));
  }

  /// Load: all healthy backend servers are full. A request that can run again
  /// is better tried on a backend server that looks faulty than refused; paid
  /// work is refused.
  void lenientIdempotentWorkMayBeTrial() {
    GuardFixture F;
    F.announce(F.announcement("w1", 3));
    failThree(F);
    F.tickAt(1000);
    DispatchInfo Waiting = lenient(10, 0);
    Waiting.AvoidsRisk = true;
    CPPUNIT_ASSERT_EQUAL(S("start 10 w1"), text(F.dispatch(Waiting)));
    Waiting.Attempt = F.id(11);
    CPPUNIT_ASSERT_EQUAL(S("fail 11 suspected not-run"),
                         text(F.dispatch(Waiting)));
    Waiting.Attempt = F.id(12);
    Waiting.Idempotent = false;
    F.tickAt(2500);
    CPPUNIT_ASSERT_EQUAL(S("fail 12 suspected not-run"),
                         text(F.dispatch(Waiting)));
  }

  /// Guards against a request that waits although other servers have a free
  /// slot.
  void strictAttemptsAreNotQueued() {
    GuardFixture F;
    F.announce(F.announcement("w1", 1));
    F.dispatch(strict(1, true));
    GuardActions Busy = F.dispatch(strict(2, true));
    CPPUNIT_ASSERT_EQUAL(S("fail 2 busy not-run"), text(Busy));
    CPPUNIT_ASSERT_EQUAL(
        1U, filterActions<AttemptFailed>(Busy).at(0).Load.InProgress);
  }

  /// Guards against hedging of requests that must not run twice.
  void overdueIdempotentAttemptsAreReportedOnce() {
    GuardFixture F;
    F.announce(F.announcement("w1", 3));
    F.dispatch(strict(1, true));
    F.dispatch(strict(2, false));
    auto Notices = filterActions<AttemptOverdue>(F.tickAt(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Notices.size());
    CPPUNIT_ASSERT(Notices.at(0).Attempt == F.id(1));
    CPPUNIT_ASSERT(filterActions<AttemptOverdue>(F.tickAt(1600)).empty());
  }

  /// Load: more work than slots, and some of the work holds slots elsewhere. A
  /// sub-request has the priority of its parent and a short objective, so it
  /// goes before other work of that priority; work of higher priority does not
  /// wait for it.
  void subRequestsAndPriorityGoFirst() {
    GuardFixture F;
    F.announce(F.announcement("w1", 1));
    F.dispatch(lenient(1, 0));
    F.dispatch(lenient(2, 2));
    F.dispatch(lenient(3, 1));
    DispatchInfo Sub = lenient(4, 1);
    Sub.ObjectiveLeft = Duration(100);
    F.dispatch(Sub);
    // The queue is full; an attempt of higher priority displaces the last one.
    CPPUNIT_ASSERT_EQUAL(S("fail 5 queue-full not-run"),
                         text(F.dispatch(lenient(5, 2))));
    CPPUNIT_ASSERT_EQUAL(S("fail 2 queue-full not-run"),
                         text(F.dispatch(lenient(6, 0))));
    for (const char *Next : {"start 6 w1", "start 4 w1", "start 3 w1"}) {
      std::uint64_t Running = LastStarted;
      S Started = text(F.finish(Running));
      CPPUNIT_ASSERT_EQUAL(S(Next), Started);
      LastStarted = std::stoull(Started.substr(6));
    }
  }

  /// Guards against attempts that wait until their deadline and are refused
  /// only then.
  void unmeetableDeadlineIsRefusedImmediately() {
    GuardFixture F;
    F.announce(F.announcement("w1", 1));
    for (std::uint64_t I = 1; I <= 20; ++I) {
      F.dispatch(strict(I, true));
      F.finish(I);
    }
    F.dispatch(lenient(30, 0));
    DispatchInfo Unmeetable = lenient(31, 0);
    Unmeetable.Remaining = Duration(60);
    GuardActions Refused = F.dispatch(Unmeetable);
    CPPUNIT_ASSERT_EQUAL(S("fail 31 queue-full not-run"), text(Refused));
    CPPUNIT_ASSERT(filterActions<AttemptFailed>(Refused).at(0).RetryAfter.ms() >
                   0);
  }

  /// Guards against attempts sent to a server whose address another server now
  /// has.
  void addressBelongsToLatestStartedServer() {
    GuardFixture F;
    Announcement Old = F.announcement("w1", 3, 5);
    F.announce(Old);
    Announcement New = F.announcement("w2", 3, 9);
    New.Address = Old.Address;
    F.announce(New);
    CPPUNIT_ASSERT_EQUAL(S("start 1 w2"), text(F.dispatch(strict(1, true))));
    // An announcement that the first server sent before it ended.
    CPPUNIT_ASSERT(!F.G->announce(Old, F.Now));
  }

  /// Guards against a late announcement that undoes a departure.
  void lateAnnouncementsAreIgnored() {
    GuardFixture F;
    Announcement A = F.announcement("w1", 3);
    A.Sequence = 4;
    F.announce(A);
    F.G->drainServer(A.Name, std::nullopt, F.Now);
    A.Sequence = 3;
    F.announce(A);
    CPPUNIT_ASSERT_EQUAL(S("fail 1 draining not-run"),
                         text(F.dispatch(strict(1, true))));
    A.Sequence = 5;
    F.announce(A);
    CPPUNIT_ASSERT_EQUAL(S("fail 2 draining not-run"),
                         text(F.dispatch(strict(2, true))));
  }

  std::uint64_t LastStarted = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RiskTest);

} // namespace
