#include "CreditNetwork.h"

#include <iostream>

using namespace teaselhitch;

namespace {

const OrganisationName Org("org");
/// Seed of the demand. Each test adds its own number.
constexpr std::uint64_t Seed = 20261206;
/// Requests that are below the limit must hardly ever be refused.
constexpr double MaxRefusedShare = 0.01;
/// Share of the rate that must be reached.
constexpr double MinReached = 0.95;
/// Usual demand as a share of the rate.
constexpr double UsualDemand = 0.6;
/// Time of a change of the view after a failure: a node is suspected after a
/// failed probe and declared dead 2 s later.
constexpr Duration SuspectedAfter = Duration::seconds(1);
constexpr Duration DeadAfter = Duration::seconds(3);
/// Maximum wait of a request, with the interval between two ticks.
constexpr Duration MaxWait = Duration(170);

/// Headers of TCP and IP for each message.
constexpr double HeaderBytes = 40;

/// Prints a measured value for docs/CAPACITY.md.
void report(const std::string &Case, const std::string &Name, double Value) {
  std::cout << "rates: " << Case << ": " << Name << " " << Value << '\n';
}

SharedRateLimits limits(RateLimits Limits) {
  return std::make_shared<RateLimits>(std::move(Limits));
}

class CreditAccountTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CreditAccountTest);
  CPPUNIT_TEST(usualDemandIsHardlyRefused);
  CPPUNIT_TEST(demandReachesTheRate);
  CPPUNIT_TEST(demandAboveTheRateIsBounded);
  CPPUNIT_TEST(idleOrganisationIsServedAtOnce);
  CPPUNIT_TEST(killedOwner);
  CPPUNIT_TEST(silentOwner);
  CPPUNIT_TEST(pausedOwner);
  CPPUNIT_TEST(pausedEntry);
  CPPUNIT_TEST(partition);
  CPPUNIT_TEST(twoOwners);
  CPPUNIT_TEST(restartedOwner);
  CPPUNIT_TEST(lostReplies);
  CPPUNIT_TEST(loweredRate);
  CPPUNIT_TEST(refundsAreUsable);
  CPPUNIT_TEST(removedRateReleasesWaitingRequests);
  CPPUNIT_TEST(ownerIsAskedAgainAfterAnOutage);
  CPPUNIT_TEST(controlBytes);
  CPPUNIT_TEST_SUITE_END();

  static void checkBound(CreditNetwork &Net, const std::string &Case) {
    std::size_t Worst = Net.results(Org).worstWindow();
    const RateLimit &Limit = Net.Limits.at(Org);
    report(Case, "most requests in 5 s", static_cast<double>(Worst));
    report(Case, "allowed in 5 s (rate and burst)",
           Limit.RatePerS * 5 + Limit.capacity());
    report(Case, "bound in 5 s", Net.windowBound(Org));
    CPPUNIT_ASSERT(static_cast<double>(Worst) <= Net.windowBound(Org));
    CPPUNIT_ASSERT(Net.results(Org).LongestWait <= MaxWait);
  }

  /// Changes the state of a node in all other views.
  static void scheduleState(CreditNetwork &Net, std::size_t Subject,
                            Duration Delay, std::optional<NodeState> State) {
    for (std::size_t I = 0; I != Net.Nodes.size(); ++I)
      if (I != Subject)
        // Gossip reaches the nodes at different times.
        Net.schedule(Delay + Duration(500 * Net.Random.uniform()),
                     [&Net, I, Subject, State] {
                       if (Net.Nodes[I].IsRunning)
                         Net.setState(I, Subject, State);
                     });
  }

  /// Guards against refusals below the limit: 71 organisations with rates of 5
  /// to 116 and a burst of one second, at 60% of their rates over 70 nodes,
  /// which is about one request in 23 s from each of most organisations at a
  /// node.
  void usualDemandIsHardlyRefused() {
    RateLimits Limits;
    for (std::size_t I = 0; I != 71; ++I) {
      double Rate = I < 60 ? 5 : I < 68 ? 20 : 116;
      Limits[creditOrganisation(I)] = {Rate, Rate};
    }
    CreditNetwork Net(70, Limits, Seed);
    Net.MessagesSent = Net.BytesSent = 0;
    constexpr Duration Length = Duration::seconds(60);
    for (const auto &[Organisation, Limit] : Limits)
      Net.addDemand(Organisation, Limit.RatePerS * UsualDemand, Length,
                    [&Net] { return Net.uniformNode(); });
    Net.advance(Length + Duration::seconds(1));
    double Granted = 0, Refused = 0, LongestWait = 0;
    for (const auto &[Organisation, Limit] : Limits) {
      CreditResults &R = Net.results(Organisation);
      Granted += static_cast<double>(R.Granted.size());
      Refused += static_cast<double>(R.Refused);
      LongestWait = std::max(LongestWait, R.LongestWait.ms());
    }
    double Share = Refused / (Granted + Refused);
    report("usual demand", "requests", Granted + Refused);
    report("usual demand", "refused share", Share);
    report("usual demand", "longest wait in ms", LongestWait);
    double PerNode = 70 * Length.ms() / 1000;
    report("usual demand", "messages per node and second",
           static_cast<double>(Net.MessagesSent) / PerNode);
    report("usual demand", "bytes per node and second",
           static_cast<double>(Net.BytesSent) / PerNode);
    CPPUNIT_ASSERT(Share <= MaxRefusedShare);
    // A request that finds a question pending may have to ask after its reply;
    // idleOrganisationIsServedAtOnce checks the one round trip of the first.
    CPPUNIT_ASSERT(LongestWait <= 4 * Net.Latency.ms() + 0.1);
  }

  /// Guards against credits that lie unused at some nodes while others have
  /// none: demand at one node, at a tenth of the nodes and at all of them must
  /// get 95% of the rate within 2 s.
  void demandReachesTheRate() {
    for (std::size_t Count : {70, 354})
      for (std::size_t Active : {std::size_t(1), Count / 10, Count})
        for (double Rate : {5.0, 116.0}) {
          CreditNetwork Net(Count, {{Org, {Rate, Rate}}}, Seed + Active);
          // The demand is above the rate, so that all of it can be used.
          Net.addDemand(Org, Rate * 1.5, Duration::seconds(22), [&Net, Active] {
            return Net.Random.uniformInt(Active);
          });
          Time Start = Net.Now;
          Net.advance(Duration::seconds(23));
          auto Granted = static_cast<double>(Net.results(Org).grantedBetween(
              Start + Duration::seconds(2), Start + Duration::seconds(22)));
          double Reached = Granted / (Rate * 20);
          report("demand at " + std::to_string(Active) + " of " +
                     std::to_string(Count) + " nodes, rate " +
                     std::to_string(static_cast<int>(Rate)),
                 "share of the rate", Reached);
          CPPUNIT_ASSERT(Reached >= MinReached);
          CPPUNIT_ASSERT(Net.results(Org).worstWindow() <=
                         static_cast<std::size_t>(Net.windowBound(Org)));
        }
  }

  /// Guards against organisations that get more than their limit: 3 to 7.5
  /// times the usual demand for 6 s.
  void demandAboveTheRateIsBounded() {
    for (double Rate : {5.0, 116.0})
      for (double Factor : {3.0, 7.5}) {
        CreditNetwork Net(70, {{Org, {Rate, Rate}}}, Seed + 1);
        Net.addDemand(Org, Rate * UsualDemand * Factor, Duration::seconds(6),
                      [&Net] { return Net.uniformNode(); });
        Net.advance(Duration::seconds(7));
        checkBound(Net, "hot, rate " + std::to_string(static_cast<int>(Rate)) +
                            ", factor " + std::to_string(Factor));
        CPPUNIT_ASSERT(Net.results(Org).worstWindow() <=
                       static_cast<std::size_t>(Rate * 6) + 1);
      }
  }

  /// Guards against the first request of an organisation being refused or
  /// waiting long, also after minutes without one and at each node.
  void idleOrganisationIsServedAtOnce() {
    CreditNetwork Net(70, {{Org, {5, 5}}}, Seed + 2, Duration(5.4));
    for (std::size_t I = 0; I != 70; ++I) {
      Net.request(I, Org);
      Net.advance(Duration::seconds(I == 35 ? 300 : 1));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(70), Net.results(Org).Granted.size());
    CPPUNIT_ASSERT(Net.results(Org).LongestWait <= Duration(10.9));
  }

  /// Runs usual or hot demand while Disturb changes the fleet 10 s after the
  /// start.
  template <typename DisturbT>
  static void runDisturbed(CreditNetwork &Net, double Demand,
                           DisturbT &&Disturb) {
    Net.addDemand(Org, Demand, Duration::seconds(20), [&Net] {
      std::size_t I = Net.uniformNode();
      while (!Net.Nodes[I].IsRunning)
        I = Net.uniformNode();
      return I;
    });
    Net.advance(Duration::seconds(10));
    Disturb();
    Net.advance(Duration::seconds(15));
  }

  /// Guards against refusals of all requests until the next owner is known,
  /// and against a next owner that lends the burst again.
  void killedOwner() {
    for (double Rate : {5.0, 116.0})
      for (double Demand : {UsualDemand, UsualDemand * 7.5}) {
        CreditNetwork Net(70, {{Org, {Rate, Rate}}}, Seed + 3);
        std::size_t Owner = Net.ownerOf(Org);
        runDisturbed(Net, Rate * Demand, [&] {
          Net.kill(Owner);
          scheduleState(Net, Owner, SuspectedAfter, NodeState::Suspected);
          scheduleState(Net, Owner, DeadAfter, std::nullopt);
        });
        std::string Case = "killed owner, rate " +
                           std::to_string(static_cast<int>(Rate)) +
                           ", demand " + std::to_string(Demand);
        report(Case, "refused share", Net.results(Org).refusedShare());
        report(Case, "refused", static_cast<double>(Net.results(Org).Refused));
        checkBound(Net, Case);
        CPPUNIT_ASSERT(Net.ownerOf(Org, (Owner + 1) % 70) != Owner);
        if (Demand < 1 && Rate < 10)
          CPPUNIT_ASSERT(Net.results(Org).refusedShare() <=
                         5 * MaxRefusedShare);
      }
  }

  /// Guards against long waits and refusals when the machine of the owner is
  /// gone without closing its connections.
  void silentOwner() {
    // One seed is checked alone, and the others together: in a run with a seed
    // of 777 the demand was 26 requests in 5 s, and 5 were refused.
    double Granted = 0, Refused = 0;
    for (std::uint64_t Trial = 0; Trial != 9; ++Trial) {
      std::uint64_t TrialSeed = Trial == 0   ? Seed + 4
                                : Trial == 1 ? 777 + 4
                                             : Seed + 400 + Trial;
      CreditNetwork Net(70, {{Org, {5, 5}}}, TrialSeed);
      std::size_t Owner = Net.ownerOf(Org);
      runDisturbed(Net, 5 * UsualDemand, [&] {
        Net.kill(Owner, false);
        scheduleState(Net, Owner, DeadAfter, std::nullopt);
      });
      const CreditResults &R = Net.results(Org);
      report("silent owner, rate 5", "refused", static_cast<double>(R.Refused));
      checkBound(Net, "silent owner, rate 5");
      if (Trial == 0)
        CPPUNIT_ASSERT(R.refusedShare() <= 5 * MaxRefusedShare);
      Granted += static_cast<double>(R.Granted.size());
      Refused += static_cast<double>(R.Refused);
    }
    report("silent owner, rate 5, all seeds", "refused share",
           Refused / (Granted + Refused));
    CPPUNIT_ASSERT(Refused / (Granted + Refused) <= 5 * MaxRefusedShare);
  }

  /// Guards against an owner that lends after a pause what accrued before or
  /// during it, while the deputy and the next owner lend as well.
  void pausedOwner() {
    for (double PauseS : {0.8, 2.0, 6.0})
      for (double Rate : {5.0, 116.0})
        for (bool TicksFirst : {true, false}) {
          CreditNetwork Net(70, {{Org, {Rate, Rate}}}, Seed + 5);
          std::size_t Owner = Net.ownerOf(Org);
          runDisturbed(Net, Rate * UsualDemand * 7.5, [&] {
            Net.pause(Owner);
            if (PauseS > 3) {
              scheduleState(Net, Owner, SuspectedAfter, NodeState::Suspected);
              scheduleState(Net, Owner, DeadAfter, std::nullopt);
            }
            Net.schedule(Duration::seconds(PauseS),
                         [&, TicksFirst] { Net.resume(Owner, TicksFirst); });
            scheduleState(Net, Owner, Duration::seconds(PauseS + 0.5),
                          NodeState::Alive);
          });
          std::size_t Worst = Net.results(Org).worstWindow();
          report("paused owner " + std::to_string(PauseS) + " s, rate " +
                     std::to_string(static_cast<int>(Rate)),
                 "most requests in 5 s", static_cast<double>(Worst));
          CPPUNIT_ASSERT(static_cast<double>(Worst) <= Net.windowBound(Org));
        }
  }

  /// Guards against an entry that uses credits after a pause, when their
  /// lifetime has ended and the bucket of the owner has filled again.
  void pausedEntry() {
    CreditNetwork Net(70, {{Org, {116, 116}}}, Seed + 6);
    std::size_t Entry = Net.ownerOf(Org) == 0 ? 1 : 0;
    Net.addDemand(Org, 500, Duration::seconds(20), [Entry] { return Entry; });
    Net.advance(Duration::seconds(5));
    Net.pause(Entry);
    Net.advance(Duration::seconds(3));
    Net.resume(Entry, true);
    Net.advance(Duration::seconds(15));
    std::size_t Worst = Net.results(Org).worstWindow();
    report("paused entry", "most requests in 5 s", static_cast<double>(Worst));
    CPPUNIT_ASSERT(static_cast<double>(Worst) <= Net.windowBound(Org));
  }

  /// Splits the fleet so that the first Count nodes reach only each other.
  static void split(CreditNetwork &Net, std::size_t Count) {
    auto Side = [Count](std::size_t I) { return I < Count; };
    Net.IsCut = [Side](std::size_t From, std::size_t To) {
      return Side(From) != Side(To);
    };
    for (std::size_t I = 0; I != Net.Nodes.size(); ++I) {
      std::map<NodeName, NodeState> Suspected = Net.states(I);
      std::map<NodeName, NodeState> Dead = Suspected;
      for (std::size_t Other = 0; Other != Net.Nodes.size(); ++Other)
        if (Side(Other) != Side(I)) {
          Suspected[creditNode(Other)] = NodeState::Suspected;
          Dead.erase(creditNode(Other));
        }
      Duration Jitter(500 * Net.Random.uniform());
      Net.schedule(SuspectedAfter + Jitter,
                   [&Net, I, Suspected] { Net.setView(I, Suspected); });
      Net.schedule(DeadAfter + Jitter,
                   [&Net, I, Dead] { Net.setView(I, Dead); });
    }
  }

  /// Guards against the two sides of a partition using the rate twice, during
  /// its detection, while it lasts, and when it heals.
  void partition() {
    for (std::size_t Count : {35, 18, 5, 1})
      for (double Rate : {5.0, 116.0})
        // The demand begins before the partition, with it, or after a second,
        // when the buckets are still full.
        for (double BeforeS : {10.0, 0.0, -1.0})
          checkPartition(Count, Rate, BeforeS);
  }

  static void checkPartition(std::size_t Count, double Rate, double BeforeS) {
    CreditNetwork Net(70, {{Org, {Rate, Rate}}}, Seed + 7);
    auto Start = [&Net, Rate] {
      Net.addDemand(Org, Rate * UsualDemand * 7.5, Duration::seconds(50),
                    [&Net] { return Net.uniformNode(); });
    };
    Net.schedule(Duration::seconds(std::max(0.0, -BeforeS)), Start);
    Net.advance(Duration::seconds(std::max(0.0, BeforeS)));
    std::map<NodeName, NodeState> Whole = Net.states(0);
    Time SplitAt = Net.Now;
    split(Net, Count);
    // A node without any contact finds out after a second.
    if (Count == 1)
      Net.schedule(Duration::seconds(1),
                   [&Net] { Net.Nodes[0].Owner->setContact(false, Net.Now); });
    Net.advance(Duration::seconds(20));
    Net.IsCut = [](std::size_t, std::size_t) { return false; };
    Net.Nodes[0].Owner->setContact(true, Net.Now);
    for (std::size_t I = 0; I != 70; ++I)
      Net.schedule(Duration(1000 * Net.Random.uniform()),
                   [&Net, I, Whole] { Net.setView(I, Whole); });
    Net.advance(Duration::seconds(20));
    std::string Case = "partition " + std::to_string(Count) +
                       " of 70, demand " + std::to_string(BeforeS) +
                       " s before, rate " +
                       std::to_string(static_cast<int>(Rate));
    checkBound(Net, Case);
    report(
        Case, "share of the rate while partitioned",
        static_cast<double>(Net.results(Org).grantedBetween(
            SplitAt + Duration::seconds(5), SplitAt + Duration::seconds(20))) /
            (Rate * 15));
  }

  /// Guards against twice the rate while some nodes do not know of a new node
  /// that owns the organisation from then on.
  void twoOwners() {
    for (double Rate : {5.0, 116.0})
      for (std::uint64_t Trial = 0; Trial != 8; ++Trial) {
        CreditNetwork Net(70, {{Org, {Rate, Rate}}}, Seed + 800 + Trial);
        std::size_t Owner = Net.ownerOf(Org);
        // The owner joins: it was not there before.
        std::map<NodeName, NodeState> All = Net.states(Owner);
        std::map<NodeName, NodeState> Others = All;
        Others.erase(creditNode(Owner));
        for (std::size_t I = 0; I != 70; ++I)
          if (I != Owner)
            Net.setView(I, Others);
        Net.advance(Duration::seconds(130));
        Net.startNode(Owner);
        Net.setView(Owner, All);
        Net.addDemand(Org, Rate * UsualDemand * 7.5, Duration::seconds(15),
                      [&Net] { return Net.uniformNode(); });
        Net.advance(Duration::seconds(1));
        scheduleState(Net, Owner, Duration::seconds(0.5), NodeState::Alive);
        Net.advance(Duration::seconds(15));
        checkBound(Net, "two owners, rate " +
                            std::to_string(static_cast<int>(Rate)));
      }
  }

  /// Guards against refusals and excess when the owner is stopped as planned
  /// and started again.
  void restartedOwner() {
    for (double Demand : {UsualDemand, UsualDemand * 7.5})
      for (double Rate : {5.0, 116.0}) {
        CreditNetwork Net(70, {{Org, {Rate, Rate}}}, Seed + 9);
        std::size_t Owner = Net.ownerOf(Org);
        runDisturbed(Net, Rate * Demand, [&] {
          std::map<NodeName, NodeState> All = Net.states(Owner);
          scheduleState(Net, Owner, Duration(), NodeState::Leaving);
          Net.setState(Owner, Owner, NodeState::Leaving);
          Net.schedule(Duration::seconds(2),
                       [&Net, Owner] { Net.kill(Owner); });
          scheduleState(Net, Owner, Duration::seconds(3), std::nullopt);
          Net.schedule(Duration::seconds(5), [&Net, Owner, All] {
            Net.startNode(Owner);
            Net.setView(Owner, All);
          });
          scheduleState(Net, Owner, Duration::seconds(5), NodeState::Alive);
        });
        std::string Case = "restarted owner, rate " +
                           std::to_string(static_cast<int>(Rate)) +
                           ", demand " + std::to_string(Demand);
        report(Case, "refused share", Net.results(Org).refusedShare());
        checkBound(Net, Case);
        if (Demand < 1)
          CPPUNIT_ASSERT(Net.results(Org).refusedShare() <=
                         5 * MaxRefusedShare);
      }
  }

  /// Guards against credits of lost replies being lent twice, and against
  /// requests that wait for a lost reply for good.
  void lostReplies() {
    for (double Rate : {5.0, 116.0}) {
      CreditNetwork Net(70, {{Org, {Rate, Rate}}}, Seed + 10);
      Net.LosesReply = [&Net](const CreditReply &) {
        return Net.Random.uniform() < 0.3;
      };
      Net.addDemand(Org, Rate * UsualDemand * 7.5, Duration::seconds(20),
                    [&Net] { return Net.uniformNode(); });
      Net.advance(Duration::seconds(21));
      checkBound(Net, "lost replies, rate " +
                          std::to_string(static_cast<int>(Rate)));
    }
  }

  /// Guards against a lowered rate that credits of the former one exceed one
  /// window later.
  void loweredRate() {
    CreditNetwork Net(70, {{Org, {116, 116}}}, Seed + 11);
    Net.addDemand(Org, 300, Duration::seconds(20),
                  [&Net] { return Net.uniformNode(); });
    Net.advance(Duration::seconds(5));
    Net.Limits[Org] = {20, 20};
    SharedRateLimits Lowered = limits(Net.Limits);
    for (CreditNetwork::Node &N : Net.Nodes) {
      N.Owner->configure(Lowered, Net.Now);
      CreditActions Actions;
      N.Account->configure(Lowered, Actions);
    }
    Time InForce = Net.Now;
    Net.advance(Duration::seconds(15));
    CreditResults After;
    for (Time T : Net.results(Org).Granted)
      if (T >= InForce)
        After.Granted.push_back(T);
    report("lowered rate", "most requests in 5 s",
           static_cast<double>(After.worstWindow()));
    CPPUNIT_ASSERT(static_cast<double>(After.worstWindow()) <=
                   Net.windowBound(Org));
  }

  /// Guards against requests that were refused without having run using up the
  /// rate of their organisation.
  void refundsAreUsable() {
    CreditAccount Account(creditNode(0));
    CreditActions Actions;
    Account.configure(limits({{Org, {5, 5}}}), Actions);
    Account.updateView(creditView({{creditNode(0), NodeState::Alive}}), Time());
    Account.request(Org, 1, Time(100), Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Actions.Messages.size());
    Account.handleReply(creditNode(0), {Org, 1, CreditLifetime, Duration()},
                        Time(101), Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Actions.Granted.size());
    CPPUNIT_ASSERT_EQUAL(1100.0, Actions.Granted[0].Expires.ms());
    Account.giveBack(Org, Actions.Granted[0].Expires, Time(300));
    Account.request(Org, 2, Time(301), Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Actions.Granted.size());
    // Unused for half of its lifetime, a credit goes back to the owner.
    Account.giveBack(Org, Actions.Granted[1].Expires, Time(400));
    for (int Ms = 400; Ms < 800; Ms += 20)
      Account.tick(Time(Ms), Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Actions.Messages.size());
    CPPUNIT_ASSERT(Actions.Messages[1].Request == (CreditRequest{Org, 0, 1}));
    // After its lifetime it is lost.
    Account.giveBack(Org, Actions.Granted[1].Expires, Time(1100));
    Account.request(Org, 3, Time(1101), Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Actions.Granted.size());
    // A request whose caller is gone takes no credit.
    Account.cancel(Org, 3);
    Account.handleReply(creditNode(0), {Org, 1, CreditLifetime, Duration()},
                        Time(1102), Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Actions.Granted.size());
  }

  /// Guards against an entry that uses its even share for good beside an owner
  /// that lends the whole rate: with a demand below that share it needs no
  /// credits, so it must ask for one to notice that the owner replies again.
  void ownerIsAskedAgainAfterAnOutage() {
    constexpr int NodeCount = 70;
    constexpr double Rate = 350;
    std::map<NodeName, NodeState> States;
    for (int I = 0; I != NodeCount; ++I)
      States[creditNode(I)] = NodeState::Alive;
    CreditAccount Account(creditNode(0));
    CreditActions Actions;
    Account.configure(limits({{Org, {Rate, Rate}}}), Actions);
    Account.updateView(creditView(States), Time());
    Account.request(Org, 1, Time(100), Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Actions.Messages.size());
    const NodeName Owner = Actions.Messages[0].Node;
    Account.handleUnreachable(Owner, Time(101), Actions);
    bool IsAsked = false;
    std::uint64_t Token = 2;
    for (int Ms = 500; Ms <= 3000 && !IsAsked; Ms += 500) {
      Actions = CreditActions();
      Account.tick(Time(Ms), Actions);
      Account.request(Org, Token++, Time(Ms), Actions);
      for (const SendCreditRequest &Message : Actions.Messages)
        IsAsked |= Message.Node == Owner && Message.Request.Amount > 0;
    }
    CPPUNIT_ASSERT(IsAsked);
  }

  /// Guards against requests that wait for good when a configuration removes
  /// the rate meanwhile.
  void removedRateReleasesWaitingRequests() {
    CreditAccount Account(creditNode(0));
    CreditActions Actions;
    Account.configure(limits({{Org, {5, 5}}}), Actions);
    Account.updateView(creditView({{creditNode(0), NodeState::Alive}}), Time());
    Account.request(Org, 1, Time(100), Actions);
    Account.configure(limits({}), Actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Actions.Granted.size());
    CPPUNIT_ASSERT(!Account.isLimited(Org));
  }

  /// Guards against messages that cost more than the 1,000 bytes per node and
  /// second that membership leaves of the 4 KB/s for control, at 5 requests per
  /// node and second; and against more than one question and one reply per
  /// request at the target size, whose bytes are only measured.
  void controlBytes() {
    struct Size {
      std::size_t Nodes;
      std::size_t Organisations;
      double PerNode;
    };
    for (const Size &S :
         {Size{70, 71, 5}, Size{354, 1000, 5}, Size{1400, 42000, 93}}) {
      double PerOrganisation = S.PerNode * static_cast<double>(S.Nodes) /
                               static_cast<double>(S.Organisations);
      RateLimits Limits;
      for (std::size_t I = 0; I != S.Organisations; ++I)
        Limits[creditOrganisation(I)] = {PerOrganisation / UsualDemand, 0};
      CreditNetwork Net(S.Nodes, std::move(Limits), Seed + 12);
      Net.MessagesSent = Net.BytesSent = 0;
      Duration Length = Duration::seconds(S.Nodes > 1000 ? 2 : 10);
      auto Requests = static_cast<std::size_t>(
          S.PerNode * static_cast<double>(S.Nodes) * Length.ms() / 1000);
      for (std::size_t I = 0; I != Requests; ++I)
        Net.schedule(Length * Net.Random.uniform(),
                     [&Net, Node = Net.uniformNode(),
                      Name = creditOrganisation(Net.Random.uniformInt(
                          S.Organisations))] { Net.request(Node, Name); });
      Net.advance(Length);
      double NodeSeconds = static_cast<double>(S.Nodes) * Length.ms() / 1000;
      double Messages = static_cast<double>(Net.MessagesSent) / NodeSeconds;
      double Bytes = static_cast<double>(Net.BytesSent) / NodeSeconds +
                     Messages * HeaderBytes;
      std::string Case = std::to_string(S.Nodes) + " nodes, " +
                         std::to_string(S.Organisations) + " organisations";
      report(Case, "messages per node and second", Messages);
      report(Case, "bytes per node and second with headers", Bytes);
      CPPUNIT_ASSERT(Messages <= 2 * S.PerNode);
      if (S.Nodes < 1400)
        CPPUNIT_ASSERT(Bytes <= 1000);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CreditAccountTest);

} // namespace
