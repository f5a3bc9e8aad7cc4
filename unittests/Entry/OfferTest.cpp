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
  Read.Attempts = 2;
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

template <typename T> std::vector<T> only(const EntryActions &Actions) {
  std::vector<T> Found;
  for (const EntryAction &Action : Actions)
    if (const T *Match = std::get_if<T>(&Action))
      Found.push_back(*Match);
  return Found;
}

class OfferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OfferTest);
  CPPUNIT_TEST(asksOneGuardAfterTheOther);
  CPPUNIT_TEST(firstSlotTakesTheRequest);
  CPPUNIT_TEST(unansweredOfferGoesElsewhere);
  CPPUNIT_TEST(nothingRunsAfterALateGrant);
  CPPUNIT_TEST(overdueIdempotentRequestIsHedged);
  CPPUNIT_TEST(hedgeWaitsForASlot);
  CPPUNIT_TEST(refusedHedgeEndsNothing);
  CPPUNIT_TEST(lastAttemptAsksForFreshProof);
  CPPUNIT_TEST(subRequestsRankAboveTheirParent);
  CPPUNIT_TEST(overduePaidRequestIsNotHedged);
  CPPUNIT_TEST(errorAnswerIsRepeatedAndKept);
  CPPUNIT_TEST(errorAnswerOfPaidWorkIsDelivered);
  CPPUNIT_TEST(suspectedServersAreAskedLast);
  CPPUNIT_TEST(allSuspectedServersAreTriedAgain);
  CPPUNIT_TEST(suspectedServersAreTriedWithinSeconds);
  CPPUNIT_TEST(restedServersAreProvedAgain);
  CPPUNIT_TEST(paidWorkAsksForFreshProofFirst);
  CPPUNIT_TEST(oldClaimEndsBeforeTheRequestIsOfferedWidely);
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
    Reply.Token = only<TableRequest>(Actions).at(0).Token;
    Reply.Status = TableStatus::Ok;
    return Core->tableReply(Reply, Now);
  }

  EntryActions decline(const SendOffer &Offer, Reason Why) {
    AttemptFailed Failure;
    Failure.Attempt = Offer.Info.Attempt;
    Failure.Why = Why;
    Failure.Result = Outcome::NotRun;
    Failure.Load = {3, 0, 3, 5};
    return Core->failed(Failure, Now);
  }

  EntryActions grant(const AttemptId &Attempt) {
    return Core->granted({Attempt, {1, 0, 3, 5}}, Now);
  }

  AttemptAnswer answer(const AttemptId &Attempt, unsigned Status) const {
    AttemptAnswer Answer;
    Answer.Attempt = Attempt;
    Answer.RanOn = BackendServerName("b");
    Answer.Answer.Status = Status;
    return Answer;
  }

  /// Declines strict offers until the request is offered to several guards.
  std::vector<SendOffer> offerWidely(const char *Path) {
    std::vector<SendOffer> Offers = only<SendOffer>(accept(Path));
    while (Offers.size() == 1 && Offers.front().Info.Strict)
      Offers = only<SendOffer>(decline(Offers.front(), Reason::Busy));
    return Offers;
  }

  std::unique_ptr<RandomSource> Random;
  std::unique_ptr<Entry> Core;
  Time Now{1000};

  /// Guards against a body that travels to guards that cannot take it.
  void asksOneGuardAfterTheOther() {
    EntryActions Actions = accept("/pay");
    std::set<NodeName> Asked;
    for (int I = 0; I != Servers; ++I) {
      auto Offers = only<SendOffer>(Actions);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Offers.size());
      CPPUNIT_ASSERT(Offers.front().Info.Strict);
      CPPUNIT_ASSERT(only<SendAttempt>(Actions).empty());
      CPPUNIT_ASSERT(Asked.insert(Offers.front().Guard).second);
      Actions = decline(Offers.front(), Reason::Busy);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), only<SendOffer>(Actions).size());
  }

  /// Load: all slots are taken. The request waits at several guards and runs
  /// at one.
  void firstSlotTakesTheRequest() {
    std::vector<SendOffer> Offers = offerWidely("/pay");
    EntryActions Actions = grant(Offers.at(1).Info.Attempt);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), only<SendAttempt>(Actions).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), only<SendCancel>(Actions).size());
    CPPUNIT_ASSERT(only<SendAttempt>(grant(Offers.at(0).Info.Attempt)).empty());
  }

  /// Load: a path or a node is cut off without a sign.
  void unansweredOfferGoesElsewhere() {
    auto First = only<SendOffer>(accept("/pay")).at(0);
    Now = Now + Duration(200);
    EntryActions Actions = Core->tick(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), only<SendCancel>(Actions).size());
    auto Next = only<SendOffer>(Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Next.size());
    CPPUNIT_ASSERT(Next.front().Guard != First.Guard);
    CPPUNIT_ASSERT(only<SendAttempt>(grant(First.Info.Attempt)).empty());
  }

  /// Guards against paid work that runs although its caller was refused.
  void nothingRunsAfterALateGrant() {
    std::vector<SendOffer> Offers = offerWidely("/pay");
    Now = Now + Duration::seconds(11);
    auto Replies = only<ReplyFailure>(Core->tick(Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Replies.size());
    CPPUNIT_ASSERT(Replies.front().Result == Outcome::NotRun);
    for (const SendOffer &Offer : Offers)
      CPPUNIT_ASSERT(grant(Offer.Info.Attempt).empty());
  }

  /// Load: three in ten backend servers hang most of what they get.
  void overdueIdempotentRequestIsHedged() {
    AttemptId First = only<SendOffer>(accept("/read")).at(0).Info.Attempt;
    grant(First);
    EntryActions Actions = Core->overdue({First, {1, 0, 3, 90}}, Now);
    AttemptId Second = only<SendOffer>(Actions).at(0).Info.Attempt;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         only<SendAttempt>(grant(Second)).size());
    Actions = Core->answered(answer(Second, 200), Now);
    CPPUNIT_ASSERT(only<SendCancel>(Actions).at(0).Attempt == First);
    CPPUNIT_ASSERT(only<ReplyAnswer>(Actions).at(0).Attempt == Second);
    CPPUNIT_ASSERT(Core->isIdle());
  }

  /// Runs /read at a backend server that hangs, and declines its hedges until
  /// guards may queue them.
  std::vector<SendOffer> hedgeWidely(AttemptId &First) {
    First = only<SendOffer>(accept("/read")).at(0).Info.Attempt;
    grant(First);
    auto Offers = only<SendOffer>(Core->overdue({First, {1, 0, 3, 90}}, Now));
    while (Offers.size() == 1 && Offers.front().Info.Strict)
      Offers = only<SendOffer>(decline(Offers.front(), Reason::Busy));
    return Offers;
  }

  /// Load: three in ten backend servers hang, and the others have no free slot.
  /// Guards against a sub-request that hangs until its parent fails.
  void hedgeWaitsForASlot() {
    AttemptId First;
    std::vector<SendOffer> Offers = hedgeWidely(First);
    CPPUNIT_ASSERT(!Offers.empty());
    for (const SendOffer &Offer : Offers)
      CPPUNIT_ASSERT(Offer.Info.Attempt != First && !Offer.Info.Strict);
    EntryActions Actions = grant(Offers.back().Info.Attempt);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), only<SendAttempt>(Actions).size());
    CPPUNIT_ASSERT_EQUAL(Offers.size() - 1, only<SendCancel>(Actions).size());
  }

  /// Guards against a running attempt that ends because a guard refuses the
  /// hedge beside it.
  void refusedHedgeEndsNothing() {
    AttemptId First;
    for (const SendOffer &Offer : hedgeWidely(First))
      CPPUNIT_ASSERT(
          only<ReplyFailure>(decline(Offer, Reason::DeadlineExpired)).empty());
    EntryActions Actions = Core->answered(answer(First, 200), Now);
    CPPUNIT_ASSERT(only<ReplyAnswer>(Actions).at(0).Attempt == First);
  }

  /// Load: three in ten backend servers hang. A request that hung once is lost
  /// if it hangs again.
  void lastAttemptAsksForFreshProof() {
    SendOffer First = only<SendOffer>(accept("/read")).at(0);
    CPPUNIT_ASSERT_EQUAL(100U, First.Info.MaxRiskPercent);
    grant(First.Info.Attempt);
    auto Hedges = only<SendOffer>(
        Core->overdue({First.Info.Attempt, {1, 0, 3, 90}}, Now));
    CPPUNIT_ASSERT(Hedges.at(0).Info.MaxRiskPercent < 10);
  }

  std::uint32_t priorityBelow(std::optional<std::uint32_t> Parent) {
    CallerRequest Request;
    Request.Method = "GET";
    Request.Path = "/read";
    Request.Organisation = OrganisationName("org");
    Request.ParentId = "parent";
    Request.ParentPriority = Parent;
    EntryActions Actions;
    Core->accept(Request, Now, Actions);
    return only<SendOffer>(Actions).at(0).Info.Priority;
  }

  /// Load: the service behind is full. Guards against sub-requests that are
  /// refused before new work of the rank of their parents.
  void subRequestsRankAboveTheirParent() {
    CPPUNIT_ASSERT_EQUAL(1U, priorityBelow(2));
    CPPUNIT_ASSERT_EQUAL(0U, priorityBelow(0));
    // The rule's own, where the parent is not known.
    CPPUNIT_ASSERT_EQUAL(0U, priorityBelow(std::nullopt));
  }

  /// Guards against a second run of paid work.
  void overduePaidRequestIsNotHedged() {
    AttemptId First = only<SendOffer>(accept("/pay")).at(0).Info.Attempt;
    grant(First);
    CPPUNIT_ASSERT(Core->overdue({First, {1, 0, 3, 90}}, Now).empty());
    CPPUNIT_ASSERT(only<SendOffer>(Core->tick(Now + Duration(5000))).empty());
  }

  /// Guards against an error answer that a repeat would have avoided, and
  /// against one that is lost when the repeat does not help.
  void errorAnswerIsRepeatedAndKept() {
    AttemptId First = only<SendOffer>(accept("/read")).at(0).Info.Attempt;
    grant(First);
    EntryActions Actions = Core->answered(answer(First, 500), Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), only<KeepAnswer>(Actions).size());
    CPPUNIT_ASSERT(only<ReplyAnswer>(Actions).empty());
    AttemptId Second = only<SendOffer>(Actions).at(0).Info.Attempt;
    grant(Second);
    Actions = Core->answered(answer(Second, 500), Now);
    CPPUNIT_ASSERT(only<ReplyAnswer>(Actions).at(0).Attempt == Second);
  }

  /// Guards against paid work that is repeated after an error answer.
  void errorAnswerOfPaidWorkIsDelivered() {
    AttemptId First = only<SendOffer>(accept("/pay")).at(0).Info.Attempt;
    grant(First);
    EntryActions Actions = Core->answered(answer(First, 500), Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), only<ReplyAnswer>(Actions).size());
    CPPUNIT_ASSERT(only<SendOffer>(Actions).empty());
  }

  /// Guards against the use of a request that has just ended: its claim gets
  /// too old between two passes.
  void oldClaimEndsBeforeTheRequestIsOfferedWidely() {
    EntryActions Actions = acceptWithKey("/pay");
    for (int I = 0; I != Servers; ++I) {
      if (I + 1 == Servers)
        Now = Now + Duration::seconds(61);
      Actions = decline(only<SendOffer>(Actions).at(0), Reason::Busy);
    }
    CPPUNIT_ASSERT(only<SendOffer>(Actions).empty());
    auto Replies = only<ReplyFailure>(Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Replies.size());
    CPPUNIT_ASSERT(Replies.front().Result == Outcome::NotRun);
    CPPUNIT_ASSERT(Core->isIdle());
  }

  /// Lets the fleet know that these backend servers look bad.
  void suspect(std::initializer_list<std::size_t> Which) {
    auto View = std::make_shared<FleetView>(*makeView());
    auto List =
        std::make_shared<ServiceView>(*View->Services.at(ServiceName("seats")));
    for (std::size_t I : Which)
      List->at(I).Health = BackendServerHealth::Suspected;
    View->Services[ServiceName("seats")] = List;
    Core->updateView(View);
  }

  /// Load: several backend servers look bad at once. Guards against one that
  /// gets no trial for seconds because another one gets them all.
  void allSuspectedServersAreTriedAgain() {
    suspect({1, 2, 4});
    std::map<NodeName, int> First;
    constexpr int Requests = 300;
    for (int I = 0; I != Requests; ++I)
      ++First[only<SendOffer>(accept("/read")).at(0).Guard];
    for (const char *Node : {"n2", "n3", "n5"})
      CPPUNIT_ASSERT(First[NodeName(Node)] >= Requests / 50);
  }

  /// Load: a third of the backend servers look bad, and each would get about
  /// one idempotent request in a second. Guards against sound ones that get
  /// nothing for two seconds: at most in one of five spans.
  void suspectedServersAreTriedWithinSeconds() {
    suspect({1, 4});
    constexpr int Seconds = 200;
    constexpr double RequestsPerSecond = Servers;
    std::vector<std::vector<int>> Tried(2, std::vector<int>(Seconds));
    for (int I = 0; I != static_cast<int>(Seconds * RequestsPerSecond); ++I) {
      SendOffer Offer = only<SendOffer>(accept("/read")).at(0);
      Core->callerGone(Offer.Info.Attempt.Request, Now);
      NodeName Guard = Offer.Guard;
      auto Second = static_cast<std::size_t>(I / RequestsPerSecond);
      if (Guard == NodeName("n2") || Guard == NodeName("n5"))
        ++Tried[Guard == NodeName("n2") ? 0 : 1][Second];
    }
    int Empty = 0;
    for (const std::vector<int> &Each : Tried)
      for (std::size_t S = 0; S + 1 < Each.size(); ++S)
        Empty += Each[S] + Each[S + 1] == 0 ? 1 : 0;
    CPPUNIT_ASSERT(Empty <= 2 * Seconds / 5);
  }

  /// Load: paid requests go to the backend servers with the freshest proof.
  /// Guards against sound ones that rest for seconds and then get nothing,
  /// since requests that can run again avoid them as well.
  void restedServersAreProvedAgain() {
    std::map<NodeName, int> First;
    constexpr int Requests = 200;
    for (int I = 0; I != Requests; ++I) {
      SendOffer Offer = only<SendOffer>(accept("/read")).at(0);
      ++First[Offer.Guard];
      // Only two of five are known, as proven and with a request in progress.
      bool IsKnown =
          Offer.Guard == NodeName("n1") || Offer.Guard == NodeName("n2");
      AttemptFailed Declined;
      Declined.Attempt = Offer.Info.Attempt;
      Declined.Why = Reason::Busy;
      Declined.Result = Outcome::NotRun;
      Declined.Load = {1, 0, 3, IsKnown ? 1U : 15U};
      Core->failed(Declined, Now);
      Core->callerGone(Offer.Info.Attempt.Request, Now);
      Now = Now + Duration(100);
    }
    for (const char *Node : {"n3", "n4", "n5"})
      CPPUNIT_ASSERT(First[NodeName(Node)] >= Requests / 10);
  }

  /// Load: three in ten backend servers hang most of what they get, and a paid
  /// request that hangs is lost.
  void paidWorkAsksForFreshProofFirst() {
    EntryActions Actions = accept("/pay");
    std::uint32_t Before = 0;
    for (int I = 0; I != Servers; ++I) {
      SendOffer Offer = only<SendOffer>(Actions).at(0);
      CPPUNIT_ASSERT(Offer.Info.MaxRiskPercent >= Before);
      Before = Offer.Info.MaxRiskPercent;
      CPPUNIT_ASSERT(I != 0 || Before < 10);
      Actions = decline(Offer, Reason::Suspected);
    }
    CPPUNIT_ASSERT_EQUAL(100U, Before);
    CPPUNIT_ASSERT_EQUAL(
        100U, only<SendOffer>(accept("/read")).at(0).Info.MaxRiskPercent);
  }

  /// Guards against paid work for a backend server that the fleet knows to be
  /// bad while others are free.
  void suspectedServersAreAskedLast() {
    suspect({1});
    for (int I = 0; I != 50; ++I) {
      auto Offers = only<SendOffer>(accept("/pay"));
      CPPUNIT_ASSERT(Offers.at(0).Guard != NodeName("n2"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OfferTest);

} // namespace
