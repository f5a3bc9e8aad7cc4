#include "teaselhitch/Entry/Entry.h"
#include "teaselhitch/Support/Hash.h"
#include "teaselhitch/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Seed = 20261207;
const OrganisationName Limited("limited");
const OrganisationName Unlimited("unlimited");

/// One service on the own node, and one organisation with a rate.
std::shared_ptr<const ActiveConfig> makeConfig(bool RequiresCredentials) {
  auto Config = std::make_shared<ActiveConfig>();
  Config->Version = 1;
  Service S;
  S.Name = ServiceName("seats");
  Group G;
  G.Name = GroupName("all");
  G.Service = S.Name;
  Rule Read;
  Read.Name = RuleName("read");
  Read.PathPrefix = "/read";
  Read.Group = G.Name;
  Rule Public = Read;
  Public.Name = RuleName("public");
  Public.PathPrefix = "/public";
  Public.IsPublic = true;
  Organisation A;
  A.Name = Limited;
  A.RatePerS = 5;
  A.Burst = 5;
  A.KeyDigests = {sha256Hex("key")};
  Organisation B;
  B.Name = Unlimited;
  Listener L;
  L.Name = ListenerName("all");
  L.RequiresCredentials = RequiresCredentials;
  Config->Objects = ObjectSet{{S}, {G}, {Public, Read}, {A, B}, {}, {L}};
  return Config;
}

std::shared_ptr<const FleetView> makeView() {
  auto View = std::make_shared<FleetView>();
  auto Nodes = std::make_shared<std::map<NodeName, NodeRecord>>();
  NodeRecord Node;
  Node.Name = NodeName("n1");
  Nodes->emplace(Node.Name, Node);
  BackendServerRecord Server;
  Server.Id = BackendServerId{Node.Name, BackendServerName("b")};
  Server.Service = ServiceName("seats");
  Server.Slots = 4;
  Server.State = BackendServerState::Ready;
  View->Nodes = Nodes;
  View->Services[Server.Service] =
      std::make_shared<ServiceView>(ServiceView{Server});
  return View;
}

template <typename T> std::size_t count(const EntryActions &Actions) {
  return static_cast<std::size_t>(std::count_if(
      Actions.begin(), Actions.end(), [](const EntryAction &Action) {
        return std::holds_alternative<T>(Action);
      }));
}

template <typename T> const T &only(const EntryActions &Actions) {
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), count<T>(Actions));
  for (const EntryAction &Action : Actions)
    if (const T *Found = std::get_if<T>(&Action))
      return *Found;
  throw std::logic_error("unreachable");
}

class EntryCreditTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryCreditTest);
  CPPUNIT_TEST(requestStartsWithItsCredit);
  CPPUNIT_TEST(requestOverTheRateDoesNotRun);
  CPPUNIT_TEST(silentOwnerEndsTheWait);
  CPPUNIT_TEST(creditOfRefusedRequestIsUsedAgain);
  CPPUNIT_TEST(requestWithinRateIsOfferedElsewhere);
  CPPUNIT_TEST(callerGoneWhileWaiting);
  CPPUNIT_TEST(removedRateStartsWaitingRequests);
  CPPUNIT_TEST(onlyRequestsOfTheOrganisationCount);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { start(false); }

private:
  void start(bool RequiresCredentials) {
    Now = Time(1000);
    Random = std::make_unique<SeededRandom>(Seed);
    EntrySettings Settings;
    Settings.Node = NodeName("n1");
    Core = std::move(Entry::create(Settings, *Random).value());
    Core->configure(makeConfig(RequiresCredentials));
    Core->updateView(makeView());
  }

  CallerRequest makeRequest(const OrganisationName &Organisation) const {
    CallerRequest Request;
    Request.Method = "GET";
    Request.Path = "/read";
    Request.Organisation = Organisation;
    return Request;
  }

  EntryActions accept(const CallerRequest &Request) {
    EntryActions Actions;
    LastId = Core->accept(Request, Now, Actions);
    return Actions;
  }

  EntryActions reply(std::uint32_t Amount, Duration RetryAfter = Duration()) {
    return Core->handleCreditReply(
        NodeName("n1"), {Limited, Amount, CreditLifetime, RetryAfter}, Now);
  }

  /// Guards against requests that start before they have a credit, or that
  /// never start.
  void requestStartsWithItsCredit() {
    EntryActions Actions = accept(makeRequest(Limited));
    const SendCreditRequest &Sent = only<SendCreditRequest>(Actions);
    CPPUNIT_ASSERT(Sent.Node == NodeName("n1"));
    CPPUNIT_ASSERT(Sent.Request == (CreditRequest{Limited, 1, 0}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Actions.size());
    CPPUNIT_ASSERT(only<SendOffer>(reply(1)).Info.Attempt.Request == LastId);
    // The credit is used up.
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1), count<SendCreditRequest>(accept(makeRequest(Limited))));
  }

  /// Guards against a refusal whose outcome or retry time is wrong, and against
  /// a question to the owner for each request that is over the rate.
  void requestOverTheRateDoesNotRun() {
    (void)accept(makeRequest(Limited));
    const EntryActions Refused = reply(0, Duration(200));
    const ReplyFailure &Failure = only<ReplyFailure>(Refused);
    CPPUNIT_ASSERT(Failure.Cause == Reason::OverRate);
    CPPUNIT_ASSERT(Failure.Result == Outcome::NotRun);
    CPPUNIT_ASSERT_EQUAL(200.0, Failure.RetryAfter.ms());
    CPPUNIT_ASSERT_EQUAL(429u, reasonInfo(Reason::OverRate).Status);
    Now = Now + Duration(150);
    const EntryActions Next = accept(makeRequest(Limited));
    CPPUNIT_ASSERT_EQUAL(50.0, only<ReplyFailure>(Next).RetryAfter.ms());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), count<SendCreditRequest>(Next));
    CPPUNIT_ASSERT(Core->isIdle());
  }

  /// Guards against requests that wait for an owner that does not reply.
  void silentOwnerEndsTheWait() {
    (void)accept(makeRequest(Limited));
    Time End = Now + Duration(170);
    std::size_t Failures = 0;
    for (; Now <= End; Now = Now + Duration(20))
      Failures += count<ReplyFailure>(Core->tick(Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Failures);
    CPPUNIT_ASSERT(Core->isIdle());
  }

  /// Guards against requests that did not run using up the rate.
  void creditOfRefusedRequestIsUsedAgain() {
    (void)accept(makeRequest(Limited));
    const EntryActions Started = reply(1);
    AttemptFailed Failure;
    Failure.Attempt = only<SendOffer>(Started).Info.Attempt;
    Failure.Cause = Reason::Quarantined;
    Failure.Result = Outcome::NotRun;
    Now = Now + Duration(10);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1), count<ReplyFailure>(Core->handleFailure(Failure, Now)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         count<SendOffer>(accept(makeRequest(Limited))));
  }

  /// Load: a large organisation within its rate meets a guard where it has used
  /// up its share of the queue. Guards against a refusal although other guards
  /// have room, and against organisations without a rate that are treated so.
  void requestWithinRateIsOfferedElsewhere() {
    for (bool HasRate : {true, false}) {
      EntryActions Started = accept(makeRequest(HasRate ? Limited : Unlimited));
      if (HasRate)
        Started = reply(1);
      AttemptFailed Failure;
      Failure.Attempt = only<SendOffer>(Started).Info.Attempt;
      Failure.Cause = Reason::OverShare;
      Failure.Result = Outcome::NotRun;
      const EntryActions Next = Core->handleFailure(Failure, Now);
      CPPUNIT_ASSERT_EQUAL(std::size_t(HasRate ? 0 : 1),
                           count<ReplyFailure>(Next));
      CPPUNIT_ASSERT_EQUAL(std::size_t(HasRate ? 1 : 0),
                           count<SendOffer>(Next));
    }
  }

  /// Guards against requests that start after their caller has gone.
  void callerGoneWhileWaiting() {
    (void)accept(makeRequest(Limited));
    (void)Core->handleCallerGone(LastId, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), count<SendOffer>(reply(1)));
    CPPUNIT_ASSERT(Core->isIdle());
    // Its credit serves the next request.
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         count<SendOffer>(accept(makeRequest(Limited))));
  }

  /// Guards against waiting requests that a new configuration without the rate
  /// leaves behind.
  void removedRateStartsWaitingRequests() {
    (void)accept(makeRequest(Limited));
    auto Config = std::make_shared<ActiveConfig>(*makeConfig(false));
    Config->Objects.Organisations[0].RatePerS = 0;
    Core->configure(Config);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), count<SendOffer>(Core->tick(Now)));
  }

  /// Guards against messages or waits for requests that the rate does not
  /// concern, and against a caller that evades the rate with an id that looks
  /// like a sub-request's.
  void onlyRequestsOfTheOrganisationCount() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), count<SendCreditRequest>(
                                             accept(makeRequest(Unlimited))));
    CallerRequest SubRequest = makeRequest(Limited);
    SubRequest.ParentId = "r1";
    SubRequest.ParentPriority = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         count<SendCreditRequest>(accept(SubRequest)));

    start(true);
    CallerRequest Public = makeRequest(OrganisationName());
    Public.Path = "/public";
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), count<SendOffer>(accept(Public)));
    Public.ParentPriority = 1;
    Public.ParentOrganisation = Limited;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), count<SendOffer>(accept(Public)));
    Public.CredentialDigest = sha256Hex("key");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         count<SendCreditRequest>(accept(Public)));
  }

  std::unique_ptr<SeededRandom> Random;
  std::unique_ptr<Entry> Core;
  Time Now;
  RequestId LastId;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryCreditTest);

} // namespace
