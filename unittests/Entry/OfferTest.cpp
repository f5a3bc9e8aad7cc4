#include "teaselhitch/Entry/Entry.h"
#include "teaselhitch/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <initializer_list>
#include <map>
#include <set>

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Seed = 23;
constexpr int Servers = 5;

/// One service with a backend server on each of five nodes; /read is
/// idempotent, /pay is not.
std::shared_ptr<const ActiveConfig> makeConfig() {
  auto Config = std::make_shared<ActiveConfig>();
  Config->Version = 1;
  Service Seats;
  Seats.Name = ServiceName("seats");
  Group All;
  All.Name = GroupName("all");
  All.Service = Seats.Name;
  Rule Pay;
  Pay.Name = RuleName("pay");
  Pay.PathPrefix = "/pay";
  Pay.Group = All.Name;
  Pay.Objective = Duration(300);
  Rule Read = Pay;
  Read.Name = RuleName("read");
  Read.PathPrefix = "/read";
  Read.Idempotent = true;
  Read.MaxAttempts = 2;
  Config->Objects = ObjectSet{{Seats}, {All}, {Pay, Read}, {}, {}};
  return Config;
}

std::shared_ptr<const FleetView> makeView() {
  auto View = std::make_shared<FleetView>();
  auto Nodes = std::make_shared<std::map<NodeName, NodeRecord>>();
  auto List = std::make_shared<ServiceView>();
  for (int I = 1; I <= Servers; ++I) {
    NodeRecord Node;
    Node.Name = NodeName("n" + std::to_string(I));
    Nodes->emplace(Node.Name, Node);
    BackendServerRecord Server;
    Server.Id = BackendServerId{Node.Name, BackendServerName("b")};
    Server.Service = ServiceName("seats");
    Server.Slots = 3;
    Server.State = BackendServerState::Ready;
    List->push_back(Server);
  }
  View->Nodes = Nodes;
  View->Services[ServiceName("seats")] = List;
  return View;
}

template <typename T> std::vector<T> collect(const EntryActions &Actions) {
  std::vector<T> Found;
  for (const EntryAction &Action : Actions)
    if (const T *Match = std::get_if<T>(&Action))
      Found.push_back(*Match);
  return Found;
}

class OfferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OfferTest);
  CPPUNIT_TEST(guardsAreAskedOneByOne);
  CPPUNIT_TEST(busyServiceIsNotSearchedInFull);
  CPPUNIT_TEST(firstGrantCancelsOtherOffers);
  CPPUNIT_TEST(unansweredOfferMovesToAnotherGuard);
  CPPUNIT_TEST(lateGrantIsIgnored);
  CPPUNIT_TEST(grantAfterPauseRunsNothing);
  CPPUNIT_TEST(overdueIdempotentRequestIsHedged);
  CPPUNIT_TEST(hedgeIsQueuedIfNoSlotIsFree);
  CPPUNIT_TEST(refusedHedgeKeepsFirstAttempt);
  CPPUNIT_TEST(lastAttemptAcceptsOnlyLowRisk);
  CPPUNIT_TEST(subRequestsOutrankTheirParent);
  CPPUNIT_TEST(repeatedAttemptsAreMarked);
  CPPUNIT_TEST(subRequestsOfRepeatedRunsUseBudget);
  CPPUNIT_TEST(overduePaidRequestIsNotHedged);
  CPPUNIT_TEST(errorAnswerIsRetriedAndKept);
  CPPUNIT_TEST(errorAnswerOfPaidWorkIsDelivered);
  CPPUNIT_TEST(suspectedServersAreAskedLast);
  CPPUNIT_TEST(allSuspectedServersAreTriedAgain);
  CPPUNIT_TEST(suspectedServersAreTriedWithinSeconds);
  CPPUNIT_TEST(idleServersStillGetRequests);
  CPPUNIT_TEST(largeFleetLearnsRiskFromReplies);
  CPPUNIT_TEST(paidWorkRaisesItsRiskLimitStepwise);
  CPPUNIT_TEST(oldClaimFailsBeforeQueueableOffers);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Random = std::make_unique<SeededRandom>(Seed);
    EntrySettings Settings;
    Settings.Node = NodeName("n0");
    Settings.Incarnation = 5;
    Settings.Balancer = "least-risk";
    Core = Entry::create(Settings, *Random).value();
    Core->configure(makeConfig());
    Core->updateView(makeView());
  }

private:
  EntryActions accept(const char *Path) {
    CallerRequest Request;
    Request.Method = "GET";
    Request.Path = Path;
    Request.Organisation = OrganisationName("org");
    EntryActions Actions;
    Core->accept(Request, Now, Actions);
    return Actions;
  }

  EntryActions acceptWithKey(const char *Path) {
    CallerRequest Request;
    Request.Method = "POST";
    Request.Path = Path;
    Request.Organisation = OrganisationName("org");
    Request.Key = "key-1";
    EntryActions Actions;
    Core->accept(Request, Now, Actions);
    TableReply Reply;
    Reply.Token = collect<TableRequest>(Actions).at(0).Token;
    Reply.Status = TableStatus::Ok;
    return Core->handleTableReply(Reply, Now);
  }

  EntryActions decline(const SendOffer &Offer, Reason Why) {
    AttemptFailed Failure;
    Failure.Attempt = Offer.Info.Attempt;
    Failure.Cause = Why;
    Failure.Result = Outcome::NotRun;
    Failure.Load = {3, 0, 3, 5};
    return Core->handleFailure(Failure, Now);
  }

  EntryActions grant(const AttemptId &Attempt) {
    return Core->handleGrant({Attempt, {1, 0, 3, 5}}, Now);
  }

  AttemptAnswer answer(const AttemptId &Attempt, unsigned Status) const {
    AttemptAnswer Answer;
    Answer.Attempt = Attempt;
    Answer.Server = BackendServerName("b");
    Answer.Answer.Status = Status;
    return Answer;
  }

  /// Declines strict offers until the request is offered to guards that may
  /// queue it. Returns these offers.
  std::vector<SendOffer> queueableOffers(const char *Path) {
    std::vector<SendOffer> Offers = collect<SendOffer>(accept(Path));
    while (Offers.size() == 1 && Offers.front().Info.Strict)
      Offers = collect<SendOffer>(decline(Offers.front(), Reason::Busy));
    return Offers;
  }

  std::unique_ptr<RandomSource> Random;
  std::unique_ptr<Entry> Core;
  Time Now{1000};

  /// A request must not be sent, with its body, to a guard that cannot run it.
  /// Guards are asked for a free slot one after the other.
  void guardsAreAskedOneByOne() {
    EntryActions Actions = accept("/pay");
    std::set<NodeName> AskedGuards;
    for (int I = 0; I != Servers; ++I) {
      auto Offers = collect<SendOffer>(Actions);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Offers.size());
      CPPUNIT_ASSERT(Offers.front().Info.Strict);
      CPPUNIT_ASSERT(collect<SendAttempt>(Actions).empty());
      CPPUNIT_ASSERT(AskedGuards.insert(Offers.front().Guard).second);
      Actions = decline(Offers.front(), Reason::Busy);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), collect<SendOffer>(Actions).size());
  }

  /// Pattern: a service that others call is saturated, and each of its
  /// sub-requests asks guard after guard for a free slot. Guards against a
  /// search that costs the time and messages of five round trips before each
  /// queue, and against a search that stays short when slots are free again.
  void busyServiceIsNotSearchedInFull() {
    const auto StrictOffers = [this](const char *Path) {
      int Count = 0;
      auto Offers = collect<SendOffer>(accept(Path));
      while (Offers.size() == 1 && Offers.front().Info.Strict) {
        ++Count;
        Offers = collect<SendOffer>(decline(Offers.front(), Reason::Busy));
      }
      return Count;
    };
    CPPUNIT_ASSERT_EQUAL(Servers, StrictOffers("/read"));
    for (int I = 0; I != 20; ++I)
      StrictOffers("/read");
    CPPUNIT_ASSERT_EQUAL(2, StrictOffers("/read"));
    CPPUNIT_ASSERT_EQUAL(Servers, StrictOffers("/pay"));
    for (int I = 0; I != 50; ++I) {
      AttemptId Id = collect<SendOffer>(accept("/read")).at(0).Info.Attempt;
      grant(Id);
      Core->handleAnswer(answer(Id, 200), Now);
    }
    CPPUNIT_ASSERT_EQUAL(Servers, StrictOffers("/read"));
  }

  /// When all slots are taken, the request is queued at several guards, but it
  /// must run at only one.
  void firstGrantCancelsOtherOffers() {
    std::vector<SendOffer> Offers = queueableOffers("/pay");
    EntryActions Actions = grant(Offers.at(1).Info.Attempt);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), collect<SendAttempt>(Actions).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), collect<SendCancel>(Actions).size());
    CPPUNIT_ASSERT(
        collect<SendAttempt>(grant(Offers.at(0).Info.Attempt)).empty());
  }

  /// When a path or a node fails without a notice, the offer must move to
  /// another guard.
  void unansweredOfferMovesToAnotherGuard() {
    auto First = collect<SendOffer>(accept("/pay")).at(0);
    Now = Now + Duration(200);
    EntryActions Actions = Core->tick(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), collect<SendCancel>(Actions).size());
    auto Next = collect<SendOffer>(Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Next.size());
    CPPUNIT_ASSERT(Next.front().Guard != First.Guard);
    CPPUNIT_ASSERT(collect<SendAttempt>(grant(First.Info.Attempt)).empty());
  }

  /// Pattern: a service with 173 backend servers of which 3 in 10 look faulty,
  /// in a fleet that does not gossip the risk. Guards against an entry that
  /// offers requests again and again to servers whose guards have just
  /// declined, because their published health is good.
  void largeFleetLearnsRiskFromReplies() {
    constexpr int Count = 173;
    auto View = std::make_shared<FleetView>(*makeView());
    auto List = std::make_shared<ServiceView>();
    for (int I = 0; I != Count; ++I) {
      BackendServerRecord Server = View->Services.begin()->second->front();
      Server.Id.Name = BackendServerName("b" + std::to_string(I));
      List->push_back(Server);
    }
    View->Services[ServiceName("seats")] = List;
    CPPUNIT_ASSERT(!View->sharesRisk());
    Core->updateView(View);
    const auto IsFaulty = [](const SendOffer &Offer) {
      return std::stoi(Offer.Info.Preferred.str().substr(1)) % 10 < 3;
    };
    int Declined = 0;
    for (int I = 0; I != 1000; ++I) {
      Now = Now + Duration(3);
      auto Offers = collect<SendOffer>(accept("/pay"));
      while (!Offers.empty() && IsFaulty(Offers.front())) {
        ++Declined;
        AttemptFailed Failure;
        Failure.Attempt = Offers.front().Info.Attempt;
        Failure.Cause = Reason::Suspected;
        Failure.Result = Outcome::NotRun;
        Failure.Load = {0, 0, 3, 90};
        Offers = collect<SendOffer>(Core->handleFailure(Failure, Now));
      }
      CPPUNIT_ASSERT(!Offers.empty());
      AttemptId Attempt = Offers.front().Info.Attempt;
      grant(Attempt);
      Core->handleAnswer(answer(Attempt, 200), Now);
    }
    // Each faulty server may decline once; 300 would be chance.
    CPPUNIT_ASSERT(Declined <= 60);
  }

  /// Paid work must not run after its caller was refused.
  void lateGrantIsIgnored() {
    std::vector<SendOffer> Offers = queueableOffers("/pay");
    Now = Now + Duration::seconds(11);
    auto Replies = collect<ReplyFailure>(Core->tick(Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Replies.size());
    CPPUNIT_ASSERT(Replies.front().Result == Outcome::NotRun);
    for (const SendOffer &Offer : Offers)
      CPPUNIT_ASSERT(grant(Offer.Info.Attempt).empty());
  }

  /// Guards against a process that was paused and then acts on a grant whose
  /// request has expired meanwhile, before its periodic work has run.
  void grantAfterPauseRunsNothing() {
    SendOffer Offer = collect<SendOffer>(accept("/pay")).at(0);
    Now = Now + Duration::seconds(11);
    EntryActions Actions = grant(Offer.Info.Attempt);
    CPPUNIT_ASSERT(collect<SendAttempt>(Actions).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), collect<SendCancel>(Actions).size());
    auto Replies = collect<ReplyFailure>(Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Replies.size());
    CPPUNIT_ASSERT(Replies.front().Result == Outcome::NotRun);
  }

  /// Three in ten backend servers hang on most of their requests. A hedge must
  /// replace the attempt that hangs.
  void overdueIdempotentRequestIsHedged() {
    AttemptId First = collect<SendOffer>(accept("/read")).at(0).Info.Attempt;
    grant(First);
    EntryActions Actions = Core->handleOverdue({First, {1, 0, 3, 90}}, Now);
    AttemptId Second = collect<SendOffer>(Actions).at(0).Info.Attempt;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         collect<SendAttempt>(grant(Second)).size());
    Actions = Core->handleAnswer(answer(Second, 200), Now);
    CPPUNIT_ASSERT(collect<SendCancel>(Actions).at(0).Attempt == First);
    CPPUNIT_ASSERT(collect<ReplyAnswer>(Actions).at(0).Attempt == Second);
    CPPUNIT_ASSERT(Core->isIdle());
  }

  /// Sends /read to a backend server that hangs, and declines strict offers of
  /// the hedge until it is offered to guards that may queue it.
  std::vector<SendOffer> queueableHedges(AttemptId &First) {
    First = collect<SendOffer>(accept("/read")).at(0).Info.Attempt;
    grant(First);
    auto Offers =
        collect<SendOffer>(Core->handleOverdue({First, {1, 0, 3, 90}}, Now));
    while (Offers.size() == 1 && Offers.front().Info.Strict)
      Offers = collect<SendOffer>(decline(Offers.front(), Reason::Busy));
    return Offers;
  }

  /// Three in ten backend servers hang, and the others have no free slot. The
  /// hedge must be queued; otherwise a sub-request hangs until its parent
  /// fails.
  void hedgeIsQueuedIfNoSlotIsFree() {
    AttemptId First;
    std::vector<SendOffer> Offers = queueableHedges(First);
    CPPUNIT_ASSERT(!Offers.empty());
    for (const SendOffer &Offer : Offers)
      CPPUNIT_ASSERT(Offer.Info.Attempt != First && !Offer.Info.Strict);
    EntryActions Actions = grant(Offers.back().Info.Attempt);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), collect<SendAttempt>(Actions).size());
    CPPUNIT_ASSERT_EQUAL(Offers.size() - 1,
                         collect<SendCancel>(Actions).size());
  }

  /// A running attempt must not end because a guard refuses its hedge.
  void refusedHedgeKeepsFirstAttempt() {
    AttemptId First;
    for (const SendOffer &Offer : queueableHedges(First))
      CPPUNIT_ASSERT(
          collect<ReplyFailure>(decline(Offer, Reason::DeadlineExpired))
              .empty());
    EntryActions Actions = Core->handleAnswer(answer(First, 200), Now);
    CPPUNIT_ASSERT(collect<ReplyAnswer>(Actions).at(0).Attempt == First);
  }

  /// Three in ten backend servers hang. A request that hung once is lost if it
  /// hangs again, so its last attempt must accept only a low risk.
  void lastAttemptAcceptsOnlyLowRisk() {
    SendOffer First = collect<SendOffer>(accept("/read")).at(0);
    CPPUNIT_ASSERT_EQUAL(100U, First.Info.MaxRiskPercent);
    grant(First.Info.Attempt);
    auto Hedges = collect<SendOffer>(
        Core->handleOverdue({First.Info.Attempt, {1, 0, 3, 90}}, Now));
    CPPUNIT_ASSERT(Hedges.at(0).Info.MaxRiskPercent < 10);
  }

  std::uint32_t
  subRequestPriority(std::optional<std::uint32_t> ParentPriority) {
    CallerRequest Request;
    Request.Method = "GET";
    Request.Path = "/read";
    Request.Organisation = OrganisationName("org");
    Request.ParentId = "parent";
    Request.ParentPriority = ParentPriority;
    EntryActions Actions;
    Core->accept(Request, Now, Actions);
    return collect<SendOffer>(Actions).at(0).Info.Priority;
  }

  /// When a service is full, sub-requests must not be refused before new
  /// requests that have the priority of their parents.
  void subRequestsOutrankTheirParent() {
    CPPUNIT_ASSERT_EQUAL(1U, subRequestPriority(2));
    CPPUNIT_ASSERT_EQUAL(0U, subRequestPriority(0));
    // Without a known parent, the priority of the rule applies.
    CPPUNIT_ASSERT_EQUAL(0U, subRequestPriority(std::nullopt));
  }

  /// Guards against a repeated run whose sub-requests are counted as new
  /// requests, because its guard cannot tell it from a first run.
  void repeatedAttemptsAreMarked() {
    SendOffer First = collect<SendOffer>(accept("/read")).at(0);
    CPPUNIT_ASSERT(!First.Info.IsRepeat);
    auto Sent = collect<SendAttempt>(grant(First.Info.Attempt));
    CPPUNIT_ASSERT(!Sent.at(0).Info.IsRepeat);
    auto Hedges = collect<SendOffer>(
        Core->handleOverdue({First.Info.Attempt, {1, 0, 3, 90}}, Now));
    CPPUNIT_ASSERT(Hedges.at(0).Info.IsRepeat);
    SendOffer Paid = collect<SendOffer>(accept("/pay")).at(0);
    grant(Paid.Info.Attempt);
    auto Next = collect<SendOffer>(decline(Paid, Reason::Shed));
    CPPUNIT_ASSERT(Next.at(0).Info.IsRepeat);
  }

  /// Pattern: a service is called by runs that are repeated elsewhere. Its
  /// backend servers see each of these calls as a retry, so the entries may add
  /// fewer retries of their own.
  void subRequestsOfRepeatedRunsUseBudget() {
    for (bool IsParentRepeated : {false, true}) {
      setUp();
      CallerRequest Call;
      Call.Method = "GET";
      Call.Path = "/read";
      Call.Organisation = OrganisationName("org");
      Call.ParentId = "parent";
      Call.IsParentRepeated = IsParentRepeated;
      EntryActions Actions;
      for (int I = 0; I != 20; ++I)
        Core->accept(Call, Now, Actions);
      int Hedges = 0;
      for (const SendOffer &Offer : collect<SendOffer>(Actions)) {
        grant(Offer.Info.Attempt);
        auto Hedge = collect<SendOffer>(
            Core->handleOverdue({Offer.Info.Attempt, {1, 0, 3, 90}}, Now));
        Hedges += Hedge.empty() ? 0 : 1;
      }
      CPPUNIT_ASSERT_EQUAL(!IsParentRepeated, Hedges > 1);
    }
  }

  /// Paid work must not run twice.
  void overduePaidRequestIsNotHedged() {
    AttemptId First = collect<SendOffer>(accept("/pay")).at(0).Info.Attempt;
    grant(First);
    CPPUNIT_ASSERT(Core->handleOverdue({First, {1, 0, 3, 90}}, Now).empty());
    CPPUNIT_ASSERT(
        collect<SendOffer>(Core->tick(Now + Duration(5000))).empty());
  }

  /// The caller must not get an error answer that a retry can avoid, and the
  /// error answer must not be lost if the retry fails as well.
  void errorAnswerIsRetriedAndKept() {
    AttemptId First = collect<SendOffer>(accept("/read")).at(0).Info.Attempt;
    grant(First);
    EntryActions Actions = Core->handleAnswer(answer(First, 500), Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), collect<KeepAnswer>(Actions).size());
    CPPUNIT_ASSERT(collect<ReplyAnswer>(Actions).empty());
    AttemptId Second = collect<SendOffer>(Actions).at(0).Info.Attempt;
    grant(Second);
    Actions = Core->handleAnswer(answer(Second, 500), Now);
    CPPUNIT_ASSERT(collect<ReplyAnswer>(Actions).at(0).Attempt == Second);
  }

  /// Paid work must not be repeated after an error answer.
  void errorAnswerOfPaidWorkIsDelivered() {
    AttemptId First = collect<SendOffer>(accept("/pay")).at(0).Info.Attempt;
    grant(First);
    EntryActions Actions = Core->handleAnswer(answer(First, 500), Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), collect<ReplyAnswer>(Actions).size());
    CPPUNIT_ASSERT(collect<SendOffer>(Actions).empty());
  }

  /// A request whose claim becomes too old between two rounds of offers fails
  /// at once. It must not be used after it has ended.
  void oldClaimFailsBeforeQueueableOffers() {
    EntryActions Actions = acceptWithKey("/pay");
    for (int I = 0; I != Servers; ++I) {
      if (I + 1 == Servers)
        Now = Now + Duration::seconds(61);
      Actions = decline(collect<SendOffer>(Actions).at(0), Reason::Busy);
    }
    CPPUNIT_ASSERT(collect<SendOffer>(Actions).empty());
    auto Replies = collect<ReplyFailure>(Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Replies.size());
    CPPUNIT_ASSERT(Replies.front().Result == Outcome::NotRun);
    CPPUNIT_ASSERT(Core->isIdle());
  }

  /// Marks backend servers, given by index, as suspected in the fleet view.
  void markSuspected(std::initializer_list<std::size_t> Indices) {
    auto View = std::make_shared<FleetView>(*makeView());
    auto List =
        std::make_shared<ServiceView>(*View->Services.at(ServiceName("seats")));
    for (std::size_t I : Indices)
      List->at(I).Health = BackendServerHealth::Suspected;
    View->Services[ServiceName("seats")] = List;
    Core->updateView(View);
  }

  /// When several backend servers are suspected, one of them must not take all
  /// trials and leave another one without a trial for seconds.
  void allSuspectedServersAreTriedAgain() {
    markSuspected({1, 2, 4});
    std::map<NodeName, int> FirstOffers;
    constexpr int Requests = 300;
    for (int I = 0; I != Requests; ++I)
      ++FirstOffers[collect<SendOffer>(accept("/read")).at(0).Guard];
    for (const char *Node : {"n2", "n3", "n5"})
      CPPUNIT_ASSERT(FirstOffers[NodeName(Node)] >= Requests / 50);
  }

  /// A third of the backend servers are suspected, and each would get about one
  /// idempotent request per second. A healthy one among them may go without a
  /// trial for two seconds in at most one of five such intervals.
  void suspectedServersAreTriedWithinSeconds() {
    markSuspected({1, 4});
    constexpr int Seconds = 200;
    constexpr double RequestsPerSecond = Servers;
    std::vector<std::vector<int>> Trials(2, std::vector<int>(Seconds));
    for (int I = 0; I != static_cast<int>(Seconds * RequestsPerSecond); ++I) {
      SendOffer Offer = collect<SendOffer>(accept("/read")).at(0);
      Core->handleCallerGone(Offer.Info.Attempt.Request, Now);
      NodeName Guard = Offer.Guard;
      auto Second = static_cast<std::size_t>(I / RequestsPerSecond);
      if (Guard == NodeName("n2") || Guard == NodeName("n5"))
        ++Trials[Guard == NodeName("n2") ? 0 : 1][Second];
    }
    int IdleIntervals = 0;
    for (const std::vector<int> &Counts : Trials)
      for (std::size_t S = 0; S + 1 < Counts.size(); ++S)
        IdleIntervals += Counts[S] + Counts[S + 1] == 0 ? 1 : 0;
    CPPUNIT_ASSERT(IdleIntervals <= 2 * Seconds / 5);
  }

  /// Paid requests prefer the backend servers with the most recent evidence of
  /// health. A healthy backend server that was idle for seconds must still get
  /// retryable requests; if these avoid it as well, it gets no work at all.
  void idleServersStillGetRequests() {
    std::map<NodeName, int> FirstOffers;
    constexpr int Requests = 200;
    for (int I = 0; I != Requests; ++I) {
      SendOffer Offer = collect<SendOffer>(accept("/read")).at(0);
      ++FirstOffers[Offer.Guard];
      // Two of five report a low risk, the others the risk of a backend server
      // without data. All report a request in progress.
      bool IsKnown =
          Offer.Guard == NodeName("n1") || Offer.Guard == NodeName("n2");
      AttemptFailed Declined;
      Declined.Attempt = Offer.Info.Attempt;
      Declined.Cause = Reason::Busy;
      Declined.Result = Outcome::NotRun;
      Declined.Load = {1, 0, 3, IsKnown ? 1U : 15U};
      Core->handleFailure(Declined, Now);
      Core->handleCallerGone(Offer.Info.Attempt.Request, Now);
      Now = Now + Duration(100);
    }
    for (const char *Node : {"n3", "n4", "n5"})
      CPPUNIT_ASSERT(FirstOffers[NodeName(Node)] >= Requests / 10);
  }

  /// Three in ten backend servers hang on most of their requests, and a paid
  /// request that hangs is lost. Its first offers must therefore accept only a
  /// low risk.
  void paidWorkRaisesItsRiskLimitStepwise() {
    EntryActions Actions = accept("/pay");
    std::uint32_t PreviousLimit = 0;
    for (int I = 0; I != Servers; ++I) {
      SendOffer Offer = collect<SendOffer>(Actions).at(0);
      CPPUNIT_ASSERT(Offer.Info.MaxRiskPercent >= PreviousLimit);
      PreviousLimit = Offer.Info.MaxRiskPercent;
      CPPUNIT_ASSERT(I != 0 || PreviousLimit < 10);
      Actions = decline(Offer, Reason::Suspected);
    }
    CPPUNIT_ASSERT_EQUAL(100U, PreviousLimit);
    CPPUNIT_ASSERT_EQUAL(
        100U, collect<SendOffer>(accept("/read")).at(0).Info.MaxRiskPercent);
  }

  /// Paid work must not go to a backend server that the fleet view marks as
  /// suspected while others are free.
  void suspectedServersAreAskedLast() {
    markSuspected({1});
    for (int I = 0; I != 50; ++I) {
      auto Offers = collect<SendOffer>(accept("/pay"));
      CPPUNIT_ASSERT(Offers.at(0).Guard != NodeName("n2"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OfferTest);

} // namespace
