#ifndef TEASELHITCH_UNITTESTS_RATELIMIT_CREDITNETWORK_H
#define TEASELHITCH_UNITTESTS_RATELIMIT_CREDITNETWORK_H

/// \file
/// Joins the two state machines of several nodes by a queue of messages in
/// virtual time, with delays, cut paths, killed and paused nodes. Views are set
/// by the tests, with the delays that membership has.

#include "teaselhitch/RateLimit/CreditAccount.h"
#include "teaselhitch/RateLimit/CreditOwner.h"
#include "teaselhitch/Support/Random.h"
#include "teaselhitch/Wire/FrameCodec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace teaselhitch {

inline NodeName creditNode(std::size_t I) {
  return NodeName("node-" + std::to_string(I));
}

inline OrganisationName creditOrganisation(std::size_t I) {
  return OrganisationName("org-" + std::to_string(I));
}

inline FleetView creditView(const std::map<NodeName, NodeState> &States) {
  std::map<NodeName, NodeRecord> Nodes;
  for (const auto &[Name, State] : States) {
    NodeRecord Record;
    Record.Name = Name;
    Record.State = State;
    Nodes.emplace(Name, Record);
  }
  FleetView View;
  View.Nodes =
      std::make_shared<const std::map<NodeName, NodeRecord>>(std::move(Nodes));
  return View;
}

/// What became of the requests of one organisation.
struct CreditResults {
  std::vector<Time> Granted;
  std::uint64_t Refused = 0;
  Duration LongestWait;

  std::size_t grantedBetween(Time From, Time To) const {
    return static_cast<std::size_t>(
        std::count_if(Granted.begin(), Granted.end(),
                      [&](Time T) { return T >= From && T < To; }));
  }
  double refusedShare() const {
    double All = static_cast<double>(Granted.size() + Refused);
    return All == 0 ? 0 : static_cast<double>(Refused) / All;
  }
  /// Returns the largest number of grants in any window of 5 s.
  std::size_t worstWindow() const {
    constexpr Duration Window = Duration::seconds(5);
    std::size_t Worst = 0;
    std::size_t First = 0;
    for (std::size_t I = 0; I != Granted.size(); ++I) {
      while (Granted[I] - Granted[First] >= Window)
        ++First;
      Worst = std::max(Worst, I - First + 1);
    }
    return Worst;
  }
};

class CreditNetwork {
public:
  struct Node {
    std::unique_ptr<CreditOwner> Owner;
    std::unique_ptr<CreditAccount> Account;
    FleetView View;
    bool IsRunning = true;
    bool IsPaused = false;
    /// The machine refuses connections to a process that has ended.
    bool IsMachineUp = true;
    /// What arrives while the node is paused.
    std::deque<std::function<void()>> Inbox;
  };

  CreditNetwork(std::size_t Count, RateLimits InitialLimits, std::uint64_t Seed,
                Duration Latency = Duration(0.5))
      : Random(Seed), Limits(std::move(InitialLimits)), Latency(Latency),
        Shared(std::make_shared<RateLimits>(Limits)) {
    std::map<NodeName, NodeState> All;
    for (std::size_t I = 0; I != Count; ++I)
      All[creditNode(I)] = NodeState::Alive;
    // Shared, because 1,400 views of 1,400 nodes would take 0.5 GB.
    FleetView Whole = creditView(All);
    for (std::size_t I = 0; I != Count; ++I) {
      Index[creditNode(I)] = I;
      Nodes.emplace_back();
      startNode(I);
      setView(I, Whole);
    }
    // All buckets fill, as in a fleet that has run for some time.
    advance(Duration::seconds(10));
  }

  /// Starts the process of a node, which has no view yet.
  void startNode(std::size_t I) {
    Node &N = Nodes[I];
    N.Owner = std::make_unique<CreditOwner>(creditNode(I), Now);
    N.Account = std::make_unique<CreditAccount>(creditNode(I));
    N.Owner->configure(Shared, Now);
    CreditActions Actions;
    N.Account->configure(Shared, Actions);
    N.IsRunning = true;
    N.View = FleetView();
  }

  void setView(std::size_t I, const FleetView &View) {
    Nodes[I].View = View;
    Nodes[I].Owner->updateView(View, Now);
    Nodes[I].Account->updateView(View, Now);
  }
  void setView(std::size_t I, const std::map<NodeName, NodeState> &States) {
    setView(I, creditView(States));
  }

  /// Returns the states of the nodes in the view of a node.
  std::map<NodeName, NodeState> states(std::size_t I) const {
    std::map<NodeName, NodeState> States;
    if (Nodes[I].View.Nodes)
      for (const auto &[Name, Record] : *Nodes[I].View.Nodes)
        States[Name] = Record.State;
    return States;
  }

  /// Changes the state of one node in the view of another; nullopt removes it.
  void setState(std::size_t Viewer, std::size_t Subject,
                std::optional<NodeState> State) {
    std::map<NodeName, NodeState> View = states(Viewer);
    if (State)
      View[creditNode(Subject)] = *State;
    else
      View.erase(creditNode(Subject));
    setView(Viewer, View);
  }

  std::size_t ownerOf(const OrganisationName &Organisation,
                      std::size_t Viewer = 0) const {
    CreditFleet Fleet(creditNode(Viewer));
    Fleet.update(Nodes[Viewer].View, Now);
    return Index.at(Fleet.owners(Organisation).Owner);
  }

  /// Ends a process. Its sockets are closed, as the kernel does, if the machine
  /// is still up.
  void kill(std::size_t I, bool MachineIsUp = true) {
    Nodes[I].IsRunning = false;
    Nodes[I].IsMachineUp = MachineIsUp;
    if (!MachineIsUp)
      return;
    for (std::size_t Other = 0; Other != Nodes.size(); ++Other)
      reportUnreachable(Other, I);
  }

  void pause(std::size_t I) { Nodes[I].IsPaused = true; }
  /// \param TicksFirst the timers of the node run before what has arrived.
  void resume(std::size_t I, bool TicksFirst) {
    Nodes[I].IsPaused = false;
    if (TicksFirst)
      tick(I);
    std::deque<std::function<void()>> Waiting;
    Waiting.swap(Nodes[I].Inbox);
    for (auto &Event : Waiting)
      Event();
    tick(I);
  }

  /// One request of a caller.
  void request(std::size_t I, const OrganisationName &Organisation) {
    deliver(I, [this, I, Organisation, SentAt = Now] {
      std::uint64_t Token = NextToken++;
      Open[Token] = {Organisation, SentAt};
      CreditActions Actions;
      Nodes[I].Account->request(Organisation, Token, Now, Actions);
      perform(I, Actions);
    });
  }

  void schedule(Duration Delay, std::function<void()> Event) {
    Events.emplace((Now + Delay).ms(), std::move(Event));
  }

  /// Sends requests at random times. Choose selects the node of each.
  void addDemand(const OrganisationName &Organisation, double PerSecond,
                 Duration Length, std::function<std::size_t()> Choose) {
    Time End = Now + Length;
    arrive(Organisation, PerSecond, End, std::move(Choose));
  }

  void advance(Duration Length) {
    Time End = Now + Length;
    while (true) {
      double Next = Events.empty() ? End.ms() : Events.begin()->first;
      if (Next > NextTick.ms() && NextTick < End) {
        Now = NextTick;
        NextTick = Now + TickInterval;
        for (std::size_t I = 0; I != Nodes.size(); ++I)
          tick(I);
        continue;
      }
      if (Next >= End.ms())
        break;
      Now = Time(Next);
      auto Event = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Event();
    }
    Now = End;
  }

  CreditResults &results(const OrganisationName &Organisation) {
    return Results[Organisation];
  }

  /// Bound of the plan for any window of 5 s.
  double windowBound(const OrganisationName &Organisation) const {
    const RateLimit &L = Limits.at(Organisation);
    return (L.RatePerS * 5 + L.capacity()) * 1.1 + 20;
  }

  std::size_t uniformNode() { return Random.uniformInt(Nodes.size()); }

  SeededRandom Random;
  RateLimits Limits;
  Duration Latency;
  SharedRateLimits Shared;
  Time Now = Time(100000);
  std::vector<Node> Nodes;
  /// Returns true if no message passes from the first node to the second.
  std::function<bool(std::size_t, std::size_t)> IsCut =
      [](std::size_t, std::size_t) { return false; };
  /// Drops replies for which it returns true.
  std::function<bool(const CreditReply &)> LosesReply =
      [](const CreditReply &) { return false; };
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;

private:
  struct OpenRequest {
    OrganisationName Organisation;
    Time SentAt;
  };

  static constexpr Duration TickInterval = Duration(20);

  void arrive(const OrganisationName &Organisation, double PerSecond, Time End,
              std::function<std::size_t()> Choose) {
    Duration Delay =
        Duration::seconds(-std::log(1 - Random.uniform()) / PerSecond);
    if (Now + Delay >= End)
      return;
    schedule(Delay, [this, Organisation, PerSecond, End,
                     Choose = std::move(Choose)]() mutable {
      request(Choose(), Organisation);
      arrive(Organisation, PerSecond, End, std::move(Choose));
    });
  }

  void reportUnreachable(std::size_t Reporter, std::size_t Subject) {
    deliver(Reporter, [this, Reporter, Subject] {
      CreditActions Actions;
      Nodes[Reporter].Account->handleUnreachable(creditNode(Subject), Now,
                                                 Actions);
      perform(Reporter, Actions);
    });
  }

  /// Runs the event at a node at once, or after its pause.
  void deliver(std::size_t I, std::function<void()> Event) {
    if (!Nodes[I].IsRunning)
      return;
    if (Nodes[I].IsPaused)
      Nodes[I].Inbox.push_back(std::move(Event));
    else
      Event();
  }

  /// Transfers a message of a link between nodes.
  void transfer(std::size_t From, std::size_t To, const PeerMessage &Message,
                std::function<void()> Event) {
    if (From != To) {
      ++MessagesSent;
      EncodedFrame Frame =
          handleError([&] { return encodeFrame(Message); },
                      [](const Error &) { return EncodedFrame(); });
      BytesSent += Frame.Head.size() + Frame.Body.size();
      if (IsCut(From, To))
        return;
    }
    Duration Delay = From == To ? Duration() : Latency;
    schedule(Delay,
             [this, To, Event = std::move(Event)] { deliver(To, Event); });
  }

  void tick(std::size_t I) {
    Node &N = Nodes[I];
    if (!N.IsRunning || N.IsPaused)
      return;
    N.Owner->tick(Now);
    CreditActions Actions;
    N.Account->tick(Now, Actions);
    perform(I, Actions);
  }

  void perform(std::size_t I, const CreditActions &Actions) {
    for (const CreditGranted &Granted : Actions.Granted)
      finish(Granted.Token, true);
    for (const CreditDenied &Denied : Actions.Denied)
      finish(Denied.Token, false);
    for (const SendCreditRequest &Message : Actions.Messages)
      send(I, Message);
  }

  void send(std::size_t From, const SendCreditRequest &Action) {
    std::size_t To = Index.at(Action.Node);
    if (!Nodes[To].IsRunning && Nodes[To].IsMachineUp && !IsCut(From, To))
      return schedule(Latency * 2,
                      [this, From, To] { reportUnreachable(From, To); });
    transfer(From, To, Action.Request,
             [this, From, To, Request = Action.Request] {
               std::optional<CreditReply> Reply =
                   Nodes[To].Owner->handle(Request, Now);
               if (!Reply || LosesReply(*Reply))
                 return;
               transfer(To, From, *Reply, [this, From, To, Reply = *Reply] {
                 CreditActions Actions;
                 Nodes[From].Account->handleReply(creditNode(To), Reply, Now,
                                                  Actions);
                 perform(From, Actions);
               });
             });
  }

  void finish(std::uint64_t Token, bool IsGranted) {
    auto It = Open.find(Token);
    CPPUNIT_ASSERT_MESSAGE("a request was answered twice", It != Open.end());
    CreditResults &R = Results[It->second.Organisation];
    if (IsGranted)
      R.Granted.push_back(Now);
    else
      ++R.Refused;
    R.LongestWait = std::max(R.LongestWait, Now - It->second.SentAt);
    Open.erase(It);
  }

  std::multimap<double, std::function<void()>> Events;
  std::map<NodeName, std::size_t> Index;
  std::unordered_map<std::uint64_t, OpenRequest> Open;
  std::unordered_map<OrganisationName, CreditResults> Results;
  std::uint64_t NextToken = 1;
  Time NextTick = Time(100000);
};

} // namespace teaselhitch

#endif
