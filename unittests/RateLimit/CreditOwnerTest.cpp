#include "CreditNetwork.h"

using namespace teaselhitch;

namespace {

const OrganisationName Org("org");
constexpr std::uint32_t Many = 1000;

/// Spare credits that a new owner or a deputy may lend at once; two of them
/// lend at most the 20 requests by which the limit may be exceeded.
constexpr std::uint32_t MaxSpare = 10;

SharedRateLimits limits(RateLimits Limits) {
  return std::make_shared<RateLimits>(std::move(Limits));
}

class CreditOwnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CreditOwnerTest);
  CPPUNIT_TEST(idleOrganisationHasItsBurst);
  CPPUNIT_TEST(newOwnerStartsEmpty);
  CPPUNIT_TEST(stallEmptiesTheBuckets);
  CPPUNIT_TEST(lossOfContactLowersTheRate);
  CPPUNIT_TEST(loweredLimitTakesEffect);
  CPPUNIT_TEST(addedLimitStartsEmpty);
  CPPUNIT_TEST(returnsAreBounded);
  CPPUNIT_TEST(retryTimeIsTheTimeToACredit);
  CPPUNIT_TEST(unknownRateIsNotLimited);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<CreditOwner> Owner;
  Time Now;

  /// Creates the owner of a fleet of one node that has run for a minute.
  void start(RateLimit Limit) {
    Now = Time(1000);
    Owner = std::make_unique<CreditOwner>(creditNode(0), Now);
    Owner->configure(limits({{Org, Limit}}), Now);
    Owner->updateView(creditView({{creditNode(0), NodeState::Alive}}), Now);
    advance(Duration::seconds(60));
  }

  void advance(Duration Length) {
    for (Time End = Now + Length; Now < End; Now = Now + Duration(40))
      Owner->tick(Now);
  }

  CreditReply ask(std::uint32_t Amount, std::uint32_t Returned = 0) {
    std::optional<CreditReply> Reply =
        Owner->handle(CreditRequest{Org, Amount, Returned}, Now);
    CPPUNIT_ASSERT(Reply.has_value());
    return *Reply;
  }

  /// Guards against the first requests of an organisation that sent none for
  /// long being refused.
  void idleOrganisationHasItsBurst() {
    start({5, 5});
    CPPUNIT_ASSERT_EQUAL(5u, ask(Many).Amount);
    CPPUNIT_ASSERT_EQUAL(0u, ask(Many).Amount);
    advance(Duration::seconds(60));
    CPPUNIT_ASSERT_EQUAL(5u, ask(Many).Amount);
    start({40, 0});
    CPPUNIT_ASSERT_EQUAL(40u, ask(Many).Amount);
  }

  /// Guards against an owner that lends the burst again which the previous one
  /// has just lent.
  void newOwnerStartsEmpty() {
    for (std::size_t I = 0; I != 20; ++I) {
      OrganisationName Name = creditOrganisation(I);
      CreditOwner Fresh(creditNode(0), Time());
      Fresh.configure(limits({{Name, {100, 100}}}), Time());
      std::map<NodeName, NodeState> States{{creditNode(0), NodeState::Alive},
                                           {creditNode(1), NodeState::Alive}};
      for (int Ms = 0; Ms < 60000; Ms += 100) {
        Fresh.updateView(creditView(States), Time(Ms));
        Fresh.tick(Time(Ms));
      }
      CreditFleet Fleet(creditNode(0));
      Fleet.update(creditView(States), Time());
      if (Fleet.owners(Name).Owner == creditNode(0))
        continue;
      // As the deputy, then as the owner.
      CPPUNIT_ASSERT_EQUAL(MaxSpare,
                           Fresh.handle({Name, Many, 0}, Time(60000))->Amount);
      States.erase(creditNode(1));
      Fresh.updateView(creditView(States), Time(60100));
      CPPUNIT_ASSERT_EQUAL(0u,
                           Fresh.handle({Name, Many, 0}, Time(60100))->Amount);
      for (int Ms = 60100; Ms <= 61100; Ms += 100)
        Fresh.tick(Time(Ms));
      CPPUNIT_ASSERT_EQUAL(50u,
                           Fresh.handle({Name, Many, 0}, Time(61100))->Amount);
    }
  }

  /// Guards against an owner that was paused, while another node became the
  /// owner, and then lends what accrued before and during the pause.
  void stallEmptiesTheBuckets() {
    start({100, 100});
    CPPUNIT_ASSERT_EQUAL(10u, ask(10).Amount);
    Now = Now + Duration::seconds(30);
    CPPUNIT_ASSERT(ask(Many).Amount <= MaxSpare);
    CPPUNIT_ASSERT_EQUAL(0u, ask(Many).Amount);
    advance(Duration(500));
    CPPUNIT_ASSERT(ask(Many).Amount <= 52);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Owner->counters().Resets);
  }

  /// Guards against an owner that is cut off from all nodes and lends the whole
  /// rate, while the others have a new owner.
  void lossOfContactLowersTheRate() {
    start({100, 100});
    std::map<NodeName, NodeState> States;
    for (std::size_t I = 0; I != 10; ++I)
      States[creditNode(I)] = NodeState::Alive;
    Owner->updateView(creditView(States), Now);
    CreditFleet Fleet(creditNode(0));
    Fleet.update(creditView(States), Now);
    OrganisationName Name;
    for (std::size_t I = 0; Name.empty(); ++I)
      if (Fleet.owners(creditOrganisation(I)).Owner == creditNode(0))
        Name = creditOrganisation(I);
    Owner->configure(limits({{Name, {100, 100}}}), Now);
    advance(Duration::seconds(60));
    CPPUNIT_ASSERT_EQUAL(100u, Owner->handle({Name, Many, 0}, Now)->Amount);
    Owner->setContact(false, Now);
    advance(Duration::seconds(2));
    CPPUNIT_ASSERT_EQUAL(20u, Owner->handle({Name, Many, 0}, Now)->Amount);
    advance(Duration::seconds(60));
    Owner->setContact(true, Now);
    CPPUNIT_ASSERT(Owner->handle({Name, Many, 0}, Now)->Amount <= MaxSpare);
  }

  /// Guards against a lowered limit that the credits of the former one exceed.
  void loweredLimitTakesEffect() {
    start({100, 100});
    (void)ask(1);
    advance(Duration::seconds(10));
    Owner->configure(limits({{Org, {5, 5}}}), Now);
    CPPUNIT_ASSERT_EQUAL(5u, ask(Many).Amount);
    advance(Duration::seconds(1));
    CPPUNIT_ASSERT(ask(Many).Amount <= 6);
  }

  /// Guards against an organisation that got a rate while it was sending and
  /// then uses a whole burst in addition.
  void addedLimitStartsEmpty() {
    start({100, 100});
    OrganisationName Added("added");
    Owner->configure(limits({{Org, {100, 100}}, {Added, {50, 50}}}), Now);
    CPPUNIT_ASSERT(Owner->handle({Added, Many, 0}, Now)->Amount <= MaxSpare);
  }

  /// Guards against returned credits that were not lent, or whose lifetime has
  /// ended: they would be used twice.
  void returnsAreBounded() {
    start({10, 10});
    CPPUNIT_ASSERT_EQUAL(10u, ask(Many).Amount);
    CPPUNIT_ASSERT_EQUAL(4u, ask(Many, 4).Amount);
    CPPUNIT_ASSERT_EQUAL(10u, ask(Many, 500).Amount);
    advance(Duration::seconds(60));
    CPPUNIT_ASSERT_EQUAL(10u, ask(Many).Amount);
    advance(Duration::seconds(3));
    (void)ask(Many);
    advance(Duration::seconds(4));
    (void)ask(Many);
    advance(Duration::seconds(3));
    CPPUNIT_ASSERT(!Owner->handle(CreditRequest{Org, 0, 10}, Now));
    CPPUNIT_ASSERT_EQUAL(10u, ask(Many).Amount);
  }

  /// Guards against a time after which there is still no credit, or after
  /// which there has long been one.
  void retryTimeIsTheTimeToACredit() {
    start({5, 5});
    CPPUNIT_ASSERT_EQUAL(0.0, ask(5).RetryAfter.ms());
    Duration Wait = ask(1).RetryAfter;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, Wait.ms(), 1);
    Now = Now + Wait + Duration(1);
    CPPUNIT_ASSERT_EQUAL(1u, ask(1).Amount);
  }

  /// Guards against refusals by an owner whose configuration is older than the
  /// entry's and has no rate.
  void unknownRateIsNotLimited() {
    start({5, 5});
    std::optional<CreditReply> Reply =
        Owner->handle({OrganisationName("other"), 30, 0}, Now);
    CPPUNIT_ASSERT_EQUAL(30u, Reply->Amount);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CreditOwnerTest);

} // namespace
