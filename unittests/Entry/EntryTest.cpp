#include "EntryFixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Seed = 11;

AttemptFailed failure(const AttemptId &Attempt, Reason Why, Outcome Result,
                      bool Crashed = false) {
  AttemptFailed F;
  F.Attempt = Attempt;
  F.Cause = Why;
  F.Result = Result;
  F.Crashed = Crashed;
  return F;
}

TableReply tableReply(const TableRequest &To, TableStatus Status,
                      const std::string &Value = "") {
  TableReply Reply;
  Reply.Token = To.Token;
  Reply.Status = Status;
  Reply.Row = TableRow{To.Key, Value, 7};
  return Reply;
}

class EntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryTest);
  CPPUNIT_TEST(refusesWithReasons);
  CPPUNIT_TEST(retriesByOutcome);
  CPPUNIT_TEST(neverReportsNotRunAfterUnknown);
  CPPUNIT_TEST(dropsStrayAnswers);
  CPPUNIT_TEST(deadlineReportsOutcome);
  CPPUNIT_TEST(waitBeforeAcceptCountsAgainstDeadline);
  CPPUNIT_TEST(endOfDrainReportsOutcome);
  CPPUNIT_TEST(retryBudgetBoundsRetries);
  CPPUNIT_TEST(callerGoneCancels);
  CPPUNIT_TEST(dispatchCarriesTheBaselineOfTheService);
  CPPUNIT_TEST(claimComesBeforeDispatch);
  CPPUNIT_TEST(claimOutcomes);
  CPPUNIT_TEST(claimIsReadBackAfterLostReply);
  CPPUNIT_TEST(refusedClaimIsReleased);
  CPPUNIT_TEST(guardKeyGoesToItsGuardOnly);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Random = std::make_unique<SeededRandom>(Seed);
    Core = makeEntry(*Random);
  }

private:
  EntryActions accept(const char *Method, const char *Path,
                      const char *Key = "") {
    CallerRequest Request;
    Request.Method = Method;
    Request.Path = Path;
    Request.Organisation = OrganisationName("org");
    Request.Key = Key;
    EntryActions Actions;
    LastId = Core->accept(Request, Now, Actions);
    return grantOffers(std::move(Actions));
  }

  EntryActions failed(const AttemptFailed &Failure, Time At) {
    return grantOffers(Core->handleFailure(Failure, At));
  }
  EntryActions tableReplied(const TableReply &Reply, Time At) {
    return grantOffers(Core->handleTableReply(Reply, At));
  }

  /// Grants the offers, as guards with a free slot do, and replaces them by the
  /// actions that follow.
  EntryActions grantOffers(EntryActions Actions) {
    EntryActions Resulting;
    for (EntryAction &Action : Actions) {
      const auto *Offered = std::get_if<SendOffer>(&Action);
      if (!Offered) {
        Resulting.push_back(std::move(Action));
        continue;
      }
      Grant Granted;
      Granted.Attempt = Offered->Info.Attempt;
      for (EntryAction &Next : Core->handleGrant(Granted, Now))
        Resulting.push_back(std::move(Next));
    }
    return Resulting;
  }

  std::string claimedByLast() const {
    return R"({"claimant":")" + toString(LastId) + R"(","state":"claimed"})";
  }

  std::unique_ptr<RandomSource> Random;
  std::unique_ptr<Entry> Core;
  Time Now{1000};
  RequestId LastId;

  /// A refusal must have the documented reason and the outcome NotRun.
  void refusesWithReasons() {
    struct Case {
      const char *Method;
      const char *Path;
      Reason Expected;
    };
    for (const Case &C : {Case{"GET", "/other", Reason::NoRule},
                          Case{"POST", "/read", Reason::NoRule},
                          Case{"GET", "/reader", Reason::NoRule}}) {
      EntryActions Actions = accept(C.Method, C.Path);
      const auto *Reply = find<ReplyFailure>(Actions);
      CPPUNIT_ASSERT(Reply && Reply->Cause == C.Expected);
      CPPUNIT_ASSERT(Reply->Result == Outcome::NotRun);
    }
    Core->drain();
    EntryActions Actions = accept("GET", "/read");
    CPPUNIT_ASSERT(find<ReplyFailure>(Actions)->Cause == Reason::Draining);
  }

  /// An attempt that may have run must not be repeated if it is not idempotent,
  /// and a request must not be given up where a retry is safe.
  void retriesByOutcome() {
    struct Case {
      const char *Method;
      const char *Path;
      Reason Why;
      Outcome Result;
      bool Crashed;
      bool ExpectRetry;
    };
    const Case Cases[] = {
        {"POST", "/pay", Reason::QueueFull, Outcome::NotRun, false, true},
        {"POST", "/pay", Reason::LinkLost, Outcome::Unknown, false, false},
        {"GET", "/read/1", Reason::LinkLost, Outcome::Unknown, false, true},
        {"GET", "/read/1", Reason::BackendServerFailed, Outcome::Unknown, true,
         false},
        {"GET", "/read/1", Reason::Quarantined, Outcome::NotRun, false, false},
    };
    for (const Case &C : Cases) {
      setUp();
      EntryActions First = accept(C.Method, C.Path);
      const auto *Sent = find<SendAttempt>(First);
      CPPUNIT_ASSERT(Sent);
      EntryActions Next =
          failed(failure(Sent->Info.Attempt, C.Why, C.Result, C.Crashed), Now);
      const auto *Retry = find<SendAttempt>(Next);
      CPPUNIT_ASSERT_EQUAL(C.ExpectRetry, Retry != nullptr);
      if (Retry) {
        CPPUNIT_ASSERT(Retry->Guard != Sent->Guard);
        CPPUNIT_ASSERT(Retry->Info.Attempt != Sent->Info.Attempt);
        continue;
      }
      const auto *Reply = find<ReplyFailure>(Next);
      CPPUNIT_ASSERT(Reply && Reply->Result == C.Result);
      CPPUNIT_ASSERT(Core->isIdle());
    }
  }

  /// A request whose first attempt may have run must not be reported as NotRun
  /// when its second attempt is refused.
  void neverReportsNotRunAfterUnknown() {
    EntryActions First = accept("GET", "/read");
    EntryActions Second = failed(failure(find<SendAttempt>(First)->Info.Attempt,
                                         Reason::LinkLost, Outcome::Unknown),
                                 Now);
    EntryActions Third = failed(failure(find<SendAttempt>(Second)->Info.Attempt,
                                        Reason::Quarantined, Outcome::NotRun),
                                Now);
    CPPUNIT_ASSERT(find<ReplyFailure>(Third)->Result == Outcome::Unknown);
  }

  /// A late or repeated answer must not be used for another request.
  void dropsStrayAnswers() {
    EntryActions First = accept("GET", "/read");
    AttemptAnswer Answer;
    Answer.Attempt = find<SendAttempt>(First)->Info.Attempt;
    Answer.Answer.Status = 200;
    AttemptAnswer Earlier = Answer;
    Earlier.Attempt.Request.Incarnation = 4;
    CPPUNIT_ASSERT(Core->handleAnswer(Earlier, Now).empty());
    AttemptAnswer Other = Answer;
    Other.Attempt.Number = 9;
    CPPUNIT_ASSERT(Core->handleAnswer(Other, Now).empty());
    EntryActions Accepted = Core->handleAnswer(Answer, Now);
    CPPUNIT_ASSERT(find<ReplyAnswer>(Accepted));
    CPPUNIT_ASSERT(Core->handleAnswer(Answer, Now).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Core->strayMessages());
  }

  /// At the deadline, the outcome must be Unknown for a request that was sent
  /// and NotRun for one whose key is still being claimed.
  void deadlineReportsOutcome() {
    accept("GET", "/read");
    EntryActions Running = Core->tick(Now + Duration::seconds(11));
    CPPUNIT_ASSERT(find<SendCancel>(Running));
    const auto *First = find<ReplyFailure>(Running);
    CPPUNIT_ASSERT(First->Cause == Reason::DeadlineExpiredRunning);
    CPPUNIT_ASSERT(First->Result == Outcome::Unknown);
    accept("POST", "/pay", "key");
    EntryActions Claiming = Core->tick(Now + Duration::seconds(11));
    const auto *Second = find<ReplyFailure>(Claiming);
    CPPUNIT_ASSERT(Second->Cause == Reason::DeadlineExpired);
    CPPUNIT_ASSERT(Second->Result == Outcome::NotRun);
  }

  /// Guards against a request that waited for earlier ones of its connection
  /// and is then given its whole deadline again, or runs after its end.
  void waitBeforeAcceptCountsAgainstDeadline() {
    CallerRequest Request;
    Request.Method = "GET";
    Request.Path = "/read";
    Request.Organisation = OrganisationName("default");
    CPPUNIT_ASSERT(Core->isIdempotent(Request));
    Request.Deadline = Duration(500);
    Request.Waited = Duration(400);
    EntryActions Actions;
    Core->accept(Request, Now, Actions);
    CPPUNIT_ASSERT(!find<ReplyFailure>(Actions));
    CPPUNIT_ASSERT(!find<ReplyFailure>(Core->tick(Now + Duration(99))));
    CPPUNIT_ASSERT(find<ReplyFailure>(Core->tick(Now + Duration(101))));
    for (auto Deadline :
         {std::optional<Duration>(Duration(400)), std::optional<Duration>()}) {
      Request.Deadline = Deadline;
      Request.Waited = Deadline.value_or(Duration::seconds(11));
      EntryActions Late;
      Core->accept(Request, Now, Late);
      CPPUNIT_ASSERT(find<ReplyFailure>(Late)->Cause ==
                     Reason::DeadlineExpired);
    }
    Request.Path = "/none";
    CPPUNIT_ASSERT(!Core->isIdempotent(Request));
  }

  /// Guards against requests that are cut at the end of a planned stop without
  /// any result, and against "not run" for one that may have run.
  void endOfDrainReportsOutcome() {
    accept("GET", "/read");
    accept("POST", "/pay", "key");
    std::vector<std::pair<Reason, Outcome>> Results;
    for (const EntryAction &Action : Core->endRequests(Now))
      if (const auto *Failure = std::get_if<ReplyFailure>(&Action))
        Results.emplace_back(Failure->Cause, Failure->Result);
    std::sort(Results.begin(), Results.end());
    CPPUNIT_ASSERT(Results == (std::vector<std::pair<Reason, Outcome>>{
                                  {Reason::Draining, Outcome::NotRun},
                                  {Reason::LinkLost, Outcome::Unknown}}));
    CPPUNIT_ASSERT(Core->endRequests(Now).empty());
  }

  /// Retries must not multiply an overload: they are limited to 20% of the
  /// requests and the fixed allowance.
  void retryBudgetBoundsRetries() {
    constexpr int Count = 1000;
    int Retries = 0;
    for (int I = 0; I != Count; ++I) {
      EntryActions Actions = accept("GET", "/read");
      while (const auto *Sent = find<SendAttempt>(Actions)) {
        Retries += Sent->Info.Attempt.Number > 1 ? 1 : 0;
        Actions = failed(
            failure(Sent->Info.Attempt, Reason::Shed, Outcome::NotRun), Now);
      }
    }
    CPPUNIT_ASSERT(Retries <= Count / 5 + 2);
    CPPUNIT_ASSERT(Retries >= Count / 5 - 2);
  }

  /// Backend servers must not keep working for a caller that is gone.
  void callerGoneCancels() {
    accept("GET", "/read");
    EntryActions Actions = Core->handleCallerGone(LastId, Now);
    CPPUNIT_ASSERT(find<SendCancel>(Actions));
    CPPUNIT_ASSERT(Core->isIdle());
  }

  /// Without the baseline of the service, guards could not compare their
  /// backend servers with others.
  void dispatchCarriesTheBaselineOfTheService() {
    EntryActions First = accept("GET", "/read");
    CPPUNIT_ASSERT_EQUAL(0.0, find<SendAttempt>(First)->Info.Baseline.Weight);
    AttemptAnswer Answer;
    Answer.Attempt = find<SendAttempt>(First)->Info.Attempt;
    Answer.Answer.Status = 500;
    Core->handleAnswer(Answer, Now);
    EntryActions Second = accept("GET", "/read");
    const ServiceBaseline &Baseline = find<SendAttempt>(Second)->Info.Baseline;
    CPPUNIT_ASSERT_EQUAL(1.0, Baseline.Weight);
    CPPUNIT_ASSERT_EQUAL(1.0, Baseline.ErrorRate);
  }

  /// A request must not be dispatched before its key is claimed.
  void claimComesBeforeDispatch() {
    EntryActions First = accept("POST", "/pay", "key-1");
    const auto *Insert = find<TableRequest>(First);
    CPPUNIT_ASSERT(Insert && Insert->Operation == TableOperation::Insert);
    CPPUNIT_ASSERT(!find<SendAttempt>(First));
    EntryActions Next = tableReplied(tableReply(*Insert, TableStatus::Ok), Now);
    CPPUNIT_ASSERT(find<SendAttempt>(Next));
  }

  /// A request must not run if its key is in use or cannot be claimed.
  void claimOutcomes() {
    struct Case {
      const char *Row;
      TableStatus Insert;
      TableStatus Read;
      Reason Expected;
    };
    const Case Cases[] = {
        {"", TableStatus::Unavailable, TableStatus::Ok,
         Reason::ClaimStoreUnavailable},
        {R"({"claimant":"n9-1-1","state":"claimed"})", TableStatus::Conflict,
         TableStatus::Ok, Reason::KeyAlreadyUsed},
        {"not json", TableStatus::Conflict, TableStatus::Ok,
         Reason::KeyAlreadyUsed},
        {"", TableStatus::Unknown, TableStatus::Unavailable,
         Reason::ClaimStoreUnavailable},
    };
    for (const Case &C : Cases) {
      setUp();
      EntryActions First = accept("POST", "/pay", "key-1");
      EntryActions Next =
          tableReplied(tableReply(*find<TableRequest>(First), C.Insert), Now);
      const auto *Read = find<TableRequest>(Next);
      if (Read && !find<ReplyFailure>(Next))
        Next = tableReplied(tableReply(*Read, C.Read, C.Row), Now);
      CPPUNIT_ASSERT(!find<SendAttempt>(Next));
      const auto *Reply = find<ReplyFailure>(Next);
      CPPUNIT_ASSERT(Reply && Reply->Cause == C.Expected);
    }
  }

  /// A caller must not be refused because of its own claim, which took effect
  /// although the reply of the table service was lost.
  void claimIsReadBackAfterLostReply() {
    EntryActions First = accept("POST", "/pay", "key-1");
    EntryActions Next = tableReplied(
        tableReply(*find<TableRequest>(First), TableStatus::Unknown), Now);
    const auto *Read = find<TableRequest>(Next);
    CPPUNIT_ASSERT(Read && Read->Operation == TableOperation::Read);
    EntryActions Last =
        tableReplied(tableReply(*Read, TableStatus::Ok, claimedByLast()), Now);
    CPPUNIT_ASSERT(find<SendAttempt>(Last));
  }

  /// A key must not stay used if nothing ran.
  void refusedClaimIsReleased() {
    EntryActions Actions = accept("POST", "/pay", "key-1");
    Actions = tableReplied(
        tableReply(*find<TableRequest>(Actions), TableStatus::Ok), Now);
    while (const auto *Sent = find<SendAttempt>(Actions))
      Actions = failed(
          failure(Sent->Info.Attempt, Reason::Draining, Outcome::NotRun), Now);
    CPPUNIT_ASSERT(find<ReplyFailure>(Actions)->Result == Outcome::NotRun);
    const auto *Read = find<TableRequest>(Actions);
    CPPUNIT_ASSERT(Read && Read->Operation == TableOperation::Read);
    Actions =
        tableReplied(tableReply(*Read, TableStatus::Ok, claimedByLast()), Now);
    const auto *Release = find<TableRequest>(Actions);
    CPPUNIT_ASSERT(Release && Release->Operation == TableOperation::Replace);
    CPPUNIT_ASSERT(Release->Value.find("released") != std::string::npos);
  }

  /// A request with a guard-bound key must not run at a node that did not issue
  /// the key.
  void guardKeyGoesToItsGuardOnly() {
    struct Case {
      const char *Key;
      bool Sent;
      Reason Expected;
    };
    const std::string Mac(64, '0');
    const std::string Good = "th1.n2.5.1.99999." + Mac;
    const std::string OldIncarnation = "th1.n2.4.1.99999." + Mac;
    const std::string UnknownNode = "th1.n9.5.1.99999." + Mac;
    const Case Cases[] = {
        {Good.c_str(), true, Reason::Overloaded},
        {OldIncarnation.c_str(), false, Reason::KeyOwnerGone},
        {UnknownNode.c_str(), false, Reason::KeyOwnerGone},
        {"th1.n2", false, Reason::BadRequest},
    };
    for (const Case &C : Cases) {
      EntryActions Actions = accept("POST", "/pay", C.Key);
      const auto *Sent = find<SendAttempt>(Actions);
      CPPUNIT_ASSERT_EQUAL(C.Sent, Sent != nullptr);
      if (!Sent) {
        CPPUNIT_ASSERT(find<ReplyFailure>(Actions)->Cause == C.Expected);
        continue;
      }
      CPPUNIT_ASSERT(Sent->Guard == NodeName("n2"));
      CPPUNIT_ASSERT(Sent->Info.GuardKey == C.Key);
      EntryActions Next = failed(
          failure(Sent->Info.Attempt, Reason::QueueFull, Outcome::NotRun), Now);
      CPPUNIT_ASSERT(!find<SendAttempt>(Next));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryTest);

} // namespace
