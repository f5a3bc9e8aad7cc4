#include "teaselhitch/Routing/Balancer.h"
#include "teaselhitch/Routing/LoadTracker.h"
#include "teaselhitch/Routing/RuleTable.h"
#include "teaselhitch/Support/Hash.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Seed = 3;

Rule makeRule(const char *Name, const char *Method, const char *Prefix) {
  Rule R;
  R.Name = RuleName(Name);
  R.Method = Method;
  R.PathPrefix = Prefix;
  R.Group = GroupName("g");
  return R;
}

std::unique_ptr<Balancer> makeBalancer(const std::string &Name) {
  return handleError([&] { return BalancerRegistry::create(Name); },
                     [](const Error &E) {
                       CPPUNIT_FAIL(E.Message);
                       return std::unique_ptr<Balancer>();
                     });
}

class RoutingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(longestPrefixWins);
  CPPUNIT_TEST(keysSelectOrganisations);
  CPPUNIT_TEST(groupsSelectByDomainAndLabel);
  CPPUNIT_TEST(balancersAreRegistered);
  CPPUNIT_TEST(twoChoicesAvoidsLoadAndFailedPaths);
  CPPUNIT_TEST(twoChoicesPrefersNearbyServers);
  CPPUNIT_TEST(trackerCountsAttemptsAndIgnoresStaleReports);
  CPPUNIT_TEST_SUITE_END();

  std::vector<BackendServerRecord> Records;

  std::vector<Candidate> makeCandidates(std::size_t Count,
                                        Distance ServerDistance) {
    Records.assign(Count, BackendServerRecord());
    std::vector<Candidate> Candidates(Count);
    for (std::size_t I = 0; I != Count; ++I) {
      Records[I].Slots = 4;
      Candidates[I].Server = &Records[I];
      Candidates[I].ServerDistance = ServerDistance;
      Candidates[I].RunTimeMs = 5;
    }
    return Candidates;
  }

  /// Guards against a key that gives access to another organisation or that is
  /// known although no credentials are required.
  void keysSelectOrganisations() {
    auto Config = std::make_shared<ActiveConfig>();
    std::vector<Organisation> &All = Config->Objects.Organisations;
    constexpr int Count = 1000;
    for (int I = 0; I != Count; ++I) {
      std::string Number = std::to_string(Count + I);
      All.emplace_back().Name = OrganisationName("o" + Number);
      for (const char *Suffix : {"a", "b"})
        All.back().KeyDigests.push_back(sha256Hex(Number + Suffix));
    }
    Config->Objects.Listeners.emplace_back();
    CPPUNIT_ASSERT(!RuleTable(Config).findByKeyDigest(sha256Hex("1007a")));
    Config->Objects.Listeners[0].RequiresCredentials = true;
    RuleTable Table(Config);
    for (const Organisation &O : All)
      for (const std::string &Digest : O.KeyDigests)
        CPPUNIT_ASSERT(Table.findByKeyDigest(Digest) == &O);
    CPPUNIT_ASSERT(!Table.findByKeyDigest(""));
    CPPUNIT_ASSERT(!Table.findByKeyDigest(sha256Hex("1007c")));
    CPPUNIT_ASSERT(!Table.findByKeyDigest(All[7].KeyDigests[0].substr(1)));
  }

  /// A request must not match a shorter prefix or one that only resembles its
  /// path.
  void longestPrefixWins() {
    auto Config = std::make_shared<ActiveConfig>();
    Service S;
    S.Name = ServiceName("s");
    Group G;
    G.Name = GroupName("g");
    G.Service = S.Name;
    Config->Objects =
        ObjectSet{{S},
                  {G},
                  {makeRule("all", "", "/"), makeRule("any", "", "/a/b"),
                   makeRule("get", "GET", "/a/b")},
                  {},
                  {}};
    RuleTable Table(Config);
    struct Case {
      const char *Method;
      const char *Path;
      const char *Expected;
    };
    for (const Case &C :
         {Case{"GET", "/a/b", "get"}, Case{"GET", "/a/b/c", "get"},
          Case{"PUT", "/a/b/", "any"}, Case{"GET", "/a/bc", "all"},
          Case{"GET", "/", "all"}}) {
      const MatchedRule *R = Table.match(C.Method, "", C.Path);
      CPPUNIT_ASSERT(R);
      CPPUNIT_ASSERT_EQUAL(std::string(C.Expected), R->Object->Name.str());
    }
  }

  /// A request must not reach a backend server outside its group.
  void groupsSelectByDomainAndLabel() {
    Group G;
    G.Service = ServiceName("s");
    G.Domains = {FailureDomain("d1")};
    G.Label = "v2";
    BackendServerRecord Server;
    Server.Service = ServiceName("s");
    Server.Domain = FailureDomain("d1");
    Server.Label = "v2";
    CPPUNIT_ASSERT(selects(G, Server));
    Server.Label = "v1";
    CPPUNIT_ASSERT(!selects(G, Server));
    Server.Label = "v2";
    Server.Domain = FailureDomain("d2");
    CPPUNIT_ASSERT(!selects(G, Server));
  }

  /// The linker must not drop a balancer plug-in.
  void balancersAreRegistered() {
    for (const char *Name : {"two-choices", "round-robin", "random"})
      CPPUNIT_ASSERT(BalancerRegistry::has(Name));
  }

  /// Work must not go to a loaded backend server, to a suspected one (reduced
  /// weight) or along a failing path while others are free.
  void twoChoicesAvoidsLoadAndFailedPaths() {
    SeededRandom Random(Seed);
    auto Policy = makeBalancer("two-choices");
    std::vector<Candidate> Candidates = makeCandidates(4, Distance::OwnDomain);
    Candidates[0].InProgress = 20;
    Candidates[1].PathFailures = 0.9;
    Records[2].Weight = 10;
    int FreeServerChosen = 0;
    constexpr int Count = 1000;
    for (int I = 0; I != Count; ++I)
      FreeServerChosen += *Policy->choose(Candidates, Random) == 3 ? 1 : 0;
    // The free server wins whenever it is drawn, which is in half of the draws
    // of two out of four.
    CPPUNIT_ASSERT(FreeServerChosen > Count * 0.45);
    CPPUNIT_ASSERT(!Policy->choose({}, Random));
  }

  /// A request must not cross to another failure domain without need.
  void twoChoicesPrefersNearbyServers() {
    SeededRandom Random(Seed);
    auto Policy = makeBalancer("two-choices");
    std::vector<Candidate> Candidates =
        makeCandidates(6, Distance::OtherDomain);
    Candidates[2].ServerDistance = Distance::OwnInstance;
    for (int I = 0; I != 100; ++I)
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), *Policy->choose(Candidates, Random));
    Candidates[2].InProgress = 12;
    int OtherServerChosen = 0;
    for (int I = 0; I != 100; ++I)
      OtherServerChosen += *Policy->choose(Candidates, Random) != 2 ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(100, OtherServerChosen);
  }

  /// The counts of attempts must not drift, and stale load reports must not be
  /// used.
  void trackerCountsAttemptsAndIgnoresStaleReports() {
    LoadTracker Load;
    BackendServerRecord Server;
    Server.Id = BackendServerId{NodeName("n"), BackendServerName("b")};
    Time Now(1000);
    Load.recordAttemptStart(Server.Id);
    Load.recordAttemptStart(Server.Id);
    Candidate C;
    C.Server = &Server;
    Load.fillCandidate(C, Now);
    CPPUNIT_ASSERT_EQUAL(2.0, C.InProgress);
    Load.recordAttemptEnd(Server.Id);
    Load.recordAnswer(Server.Id, true, Duration(8), {3, 0, 4, 10}, Now);
    Load.fillCandidate(C, Now);
    CPPUNIT_ASSERT_EQUAL(3.0, C.InProgress);
    CPPUNIT_ASSERT_EQUAL(8.0, C.RunTimeMs);
    // A report is ignored after a second.
    Load.fillCandidate(C, Now + Duration::seconds(2));
    CPPUNIT_ASSERT_EQUAL(1.0, C.InProgress);
    // A server error may arrive fast; its run time must not attract work.
    Load.recordAnswer(Server.Id, false, Duration(1), {3, 0, 4, 10}, Now);
    Load.fillCandidate(C, Now);
    CPPUNIT_ASSERT_EQUAL(8.0, C.RunTimeMs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

} // namespace
