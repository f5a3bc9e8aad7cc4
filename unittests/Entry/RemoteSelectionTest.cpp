#include "../../lib/Entry/ServerSelector.h"
#include "teaselhitch/Model/Risk.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Seed = 5;
constexpr std::uint32_t Slots = 15;
constexpr int ServersPerDomain = 25;
constexpr int Draws = 1000;

/// Three domains with 25 backend servers each; the entry is in d0.
class RemoteSelectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RemoteSelectionTest);
  CPPUNIT_TEST(nearSlotsAreUsedFirst);
  CPPUNIT_TEST(fullDomainUsesRemoteSlots);
  CPPUNIT_TEST(unknownLoadDoesNotKeepRequestsNear);
  CPPUNIT_TEST(queueableOffersStayNear);
  CPPUNIT_TEST(riskyDomainUsesRemoteServers);
  CPPUNIT_TEST(fewTrialsCross);
  CPPUNIT_TEST(entriesDoNotChooseTheSameRemoteServer);
  CPPUNIT_TEST(nearDomainsAreNotPreferred);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Random = std::make_unique<SeededRandom>(Seed);
    Selector = makeSelector(*Random);
    Target.Name = GroupName("all");
    Target.Service = Seats.Name = ServiceName("seats");
    Read.Name = RuleName("read");
    Read.Idempotent = true;
    Read.MaxAttempts = 2;
    Request.Target.MatchedRule = &Read;
    Request.Target.Dest.TargetGroup = &Target;
    Request.Target.Dest.TargetService = &Seats;
    useView({FailureDomain("d1"), FailureDomain("d2")});
  }

private:
  static std::unique_ptr<ServerSelector> makeSelector(SeededRandom &Random) {
    auto Policy =
        handleError([] { return BalancerRegistry::create("least-risk"); },
                    [](const Error &E) {
                      CPPUNIT_FAIL(E.Message);
                      return std::unique_ptr<Balancer>();
                    });
    return std::make_unique<ServerSelector>(
        NodeName("entry"), FailureDomain("d0"), std::move(Policy), Random);
  }

  static BackendServerId serverId(int Domain, int I) {
    return {NodeName("n" + std::to_string(Domain) + "-" + std::to_string(I)),
            BackendServerName("b")};
  }

  void useView(std::set<FailureDomain> Remote, int SuspectsPerDomain = 0) {
    auto View = std::make_shared<FleetView>();
    auto List = std::make_shared<ServiceView>();
    for (int Domain = 0; Domain != 3; ++Domain)
      for (int I = 0; I != ServersPerDomain; ++I) {
        BackendServerRecord Server;
        Server.Id = serverId(Domain, I);
        Server.Service = Seats.Name;
        Server.Domain = FailureDomain("d" + std::to_string(Domain));
        Server.Slots = Slots;
        Server.State = BackendServerState::Ready;
        if (I < SuspectsPerDomain)
          Server.Health = BackendServerHealth::Suspected;
        List->push_back(Server);
      }
    View->Services[Seats.Name] = List;
    View->RemoteDomains = std::move(Remote);
    Selector->updateView(View);
  }

  /// Reports the load of all backend servers of a domain.
  void reportLoad(ServerSelector &To, int Domain, std::uint32_t InProgress,
                  std::uint32_t Waiting, std::uint32_t RiskPercent = 0) {
    ServerLoad Load;
    Load.InProgress = InProgress;
    Load.Waiting = Waiting;
    Load.Slots = Slots;
    Load.RiskPercent = RiskPercent;
    for (int I = 0; I != ServersPerDomain; ++I)
      To.load().recordLoad(serverId(Domain, I), Load, Now);
  }

  /// Chooses many times, and counts the choices by domain.
  std::map<std::string, int> chooseByDomain() {
    std::map<std::string, int> Counts;
    for (int I = 0; I != Draws; ++I)
      if (Selection S = Selector->choose(Request, Now); S.Server)
        ++Counts[S.Server->Domain.str()];
    return Counts;
  }

  /// Load: the own domain is nearly full, the others are idle. Guards against
  /// requests that cross although a near slot is free.
  void nearSlotsAreUsedFirst() {
    reportLoad(*Selector, 0, Slots - 1, 0);
    CPPUNIT_ASSERT_EQUAL(Draws, chooseByDomain()["d0"]);
  }

  /// Load: the own domain is at the peak of its wave, d1 at its low, and d2 is
  /// full. Guards against requests that wait while a remote slot is free.
  void fullDomainUsesRemoteSlots() {
    reportLoad(*Selector, 0, Slots, 1);
    reportLoad(*Selector, 1, Slots / 3, 0);
    reportLoad(*Selector, 2, Slots, 5);
    CPPUNIT_ASSERT_EQUAL(Draws, chooseByDomain()["d1"]);
  }

  /// Load: the own domain is full, and the entry has not heard from most of its
  /// guards for a second. Guards against a request that asks only near guards.
  void unknownLoadDoesNotKeepRequestsNear() {
    Request.StrictOffers = 2;
    Request.SearchesRemote = true;
    CPPUNIT_ASSERT_EQUAL(0, chooseByDomain()["d0"]);
    reportLoad(*Selector, 1, Slots, 0);
    reportLoad(*Selector, 2, Slots, 0);
    CPPUNIT_ASSERT_EQUAL(Draws, chooseByDomain()["d0"]);
  }

  /// Load: all domains are full. Guards against a request that is queued in
  /// several domains at once: each copy crosses, and one of them runs.
  void queueableOffersStayNear() {
    Request.IsQueueable = true;
    for (int Domain : {0, 1, 2})
      reportLoad(*Selector, Domain, Slots, 2);
    CPPUNIT_ASSERT_EQUAL(Draws, chooseByDomain()["d0"]);
    // A queue of more than one run time is worth a crossing.
    reportLoad(*Selector, 0, Slots, 2 * Slots);
    CPPUNIT_ASSERT_EQUAL(0, chooseByDomain()["d0"]);
  }

  /// Guards against paid work that stays near, at backend servers that look
  /// unhealthy, although remote ones have just answered.
  void riskyDomainUsesRemoteServers() {
    Read.Idempotent = false;
    Read.MaxAttempts = 1;
    reportLoad(*Selector, 0, 1, 0, 40);
    reportLoad(*Selector, 1, 1, 0, 0);
    reportLoad(*Selector, 2, 1, 0, 0);
    CPPUNIT_ASSERT_EQUAL(0, chooseByDomain()["d0"]);
  }

  /// Guards against trials of suspected backend servers that cross: two in five
  /// requests are trials, and two thirds of the suspects are remote.
  void fewTrialsCross() {
    useView({FailureDomain("d1"), FailureDomain("d2")}, 3);
    auto Counts = chooseByDomain();
    CPPUNIT_ASSERT(Counts["d1"] + Counts["d2"] < Draws / 10);
    CPPUNIT_ASSERT(Counts["d1"] + Counts["d2"] > 0);
  }

  /// Load: the own domain becomes full, and its 25 entries have the same
  /// reports about the others, of which one backend server is a little less
  /// loaded. Guards against all entries moving to this one at the same time.
  void entriesDoNotChooseTheSameRemoteServer() {
    reportLoad(*Selector, 0, Slots, 3);
    reportLoad(*Selector, 1, 5, 0);
    reportLoad(*Selector, 2, 5, 0);
    ServerLoad Idle;
    Idle.Slots = Slots;
    Selector->load().recordLoad(serverId(1, 7), Idle, Now);
    std::map<BackendServerId, int> Counts;
    for (int I = 0; I != Draws; ++I)
      ++Counts[Selector->choose(Request, Now).Server->Id];
    // Two random choices of 50: the best one gets 4 in 100 requests.
    CPPUNIT_ASSERT(Counts[serverId(1, 7)] < Draws / 10);
    CPPUNIT_ASSERT(Counts.size() >= std::size_t(ServersPerDomain));
  }

  /// Guards against the behaviour for remote domains in fleets whose domains
  /// are near each other: a nearly full near domain still competes with idle
  /// ones only by cost.
  void nearDomainsAreNotPreferred() {
    useView({});
    Request.SearchesRemote = true;
    reportLoad(*Selector, 0, 1, 0);
    CPPUNIT_ASSERT_EQUAL(Draws, chooseByDomain()["d0"]);
    Request.SearchesRemote = false;
    reportLoad(*Selector, 0, Slots, 0);
    auto Counts = chooseByDomain();
    CPPUNIT_ASSERT_EQUAL(0, Counts["d0"]);
  }

  std::unique_ptr<SeededRandom> Random;
  std::unique_ptr<ServerSelector> Selector;
  Group Target;
  Service Seats;
  Rule Read;
  PendingRequest Request;
  Time Now{1000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RemoteSelectionTest);

} // namespace
