#ifndef TEASELHITCH_UNITTESTS_MEMBERSHIP_TESTNETWORK_H
#define TEASELHITCH_UNITTESTS_MEMBERSHIP_TESTNETWORK_H

/// \file
/// Simulates several nodes on an in-memory network in virtual time, with
/// datagram loss, blocked paths and paused nodes. Datagrams pass through the
/// codec.

#include "teaselhitch/Membership/Membership.h"
#include "teaselhitch/Wire/DatagramCodec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>

namespace teaselhitch {

/// Returns the value of a result; fails the test if the result is an error.
template <typename T> T valueOf(Result<T> R) {
  CPPUNIT_ASSERT(!!R);
  return std::move(R.value());
}

/// Failure domains of a TestNetwork and the paths between them.
struct TestDomains {
  std::size_t Count = 4;
  /// One-way latency that crossing to another domain adds.
  Duration Latency;
  /// MembershipSettings::RemoteDomainRoundTrip of all nodes.
  Duration RemoteRoundTrip;
  /// Whether nodes handle a message when it arrives, with little jitter, and
  /// not with their next tick.
  bool IsExact = false;
};

class TestNetwork {
public:
  struct Node {
    NodeRecord Record;
    std::unique_ptr<SeededRandom> Random;
    std::unique_ptr<Membership> Core;
    bool IsRunning = true;
    /// Ticks and received messages are delayed until this time.
    Time PauseEnd;
    std::vector<std::function<void()>> Inbox;
  };

  TestNetwork(std::size_t Count, std::uint64_t Seed, TestDomains Domains = {})
      : Random(Seed), Domains(Domains) {
    for (std::size_t I = 0; I != Count; ++I)
      Nodes.push_back(start(I, 1000 + I));
    advance(Duration::seconds(15));
    Deaths.clear();
  }

  std::size_t domainOf(std::size_t I) const { return I % Domains.Count; }
  static NodeName nodeName(std::size_t I) {
    return NodeName("node-" + std::to_string(I));
  }
  static BackendServerRecord server(std::size_t I, const std::string &Name,
                                    BackendServerState State) {
    BackendServerRecord Record;
    Record.Id = {nodeName(I), BackendServerName(Name)};
    Record.Service = ServiceName("seats");
    Record.Slots = 4;
    Record.State = State;
    return Record;
  }

  /// Creates a new process of node I.
  Node start(std::size_t I, std::uint64_t Incarnation) {
    Node N;
    N.Record.Name = nodeName(I);
    N.Record.Address = {"10.0.0." + std::to_string(I), 7000};
    N.Record.Domain = FailureDomain("domain-" + std::to_string(domainOf(I)));
    N.Record.Version = {Incarnation, 1};
    MembershipSettings Settings;
    Settings.Seeds = {{"10.0.0.0", 7000}, {"10.0.0.1", 7000}};
    Settings.RemoteDomainRoundTrip = Domains.RemoteRoundTrip;
    N.Random = std::make_unique<SeededRandom>(Random.next());
    N.Core = valueOf(Membership::create(Settings, N.Record, *N.Random, Now));
    return N;
  }

  void advance(Duration D) {
    Time End = Now + D;
    while (Now < End) {
      Now = Now + TickInterval;
      while (!Events.empty() && Events.begin()->first <= Now.ms()) {
        auto Event = std::move(Events.begin()->second);
        Time TickTime = Now;
        if (Domains.IsExact)
          Now = Time(Events.begin()->first);
        Events.erase(Events.begin());
        Event();
        Now = TickTime;
      }
      for (std::size_t I = 0; I != Nodes.size(); ++I)
        step(I);
    }
  }

  /// Advances the time until Condition holds or Limit has passed, and returns
  /// the elapsed time.
  Duration advanceUntil(Duration Limit,
                        const std::function<bool()> &Condition) {
    Time Start = Now;
    while (!Condition() && Now - Start < Limit)
      advance(TickInterval);
    return Now - Start;
  }

  /// Returns true if Check accepts the view of every running node except
  /// Excluded.
  bool
  allViewsMatch(std::size_t Excluded,
                const std::function<bool(const FleetView &)> &Check) const {
    for (std::size_t I = 0; I != Nodes.size(); ++I)
      if (I != Excluded && Nodes[I].IsRunning && !Check(*Nodes[I].Core->view()))
        return false;
    return true;
  }
  bool removedFromAllViews(std::size_t I) const {
    return allViewsMatch(I, [&](const FleetView &View) {
      return View.Nodes->count(nodeName(I)) == 0;
    });
  }
  bool allViewsComplete() const {
    return allViewsMatch(Nodes.size(), [&](const FleetView &View) {
      return View.Nodes->size() == Nodes.size();
    });
  }

  void send(std::size_t From, const SendDatagram &Out) {
    auto To =
        static_cast<std::size_t>(std::stoul(Out.Destination.Address.substr(
            Out.Destination.Address.rfind('.') + 1)));
    std::string Bytes = encodeDatagram(Out.Message, Auth);
    CPPUNIT_ASSERT(Bytes.size() <= MembershipSettings().MaxDatagramBytes);
    DatagramBytes += Bytes.size();
    if (domainOf(From) != domainOf(To))
      CrossingBytes += Bytes.size();
    if (RecordsTraffic)
      Traffic += std::to_string(From) + ">" + std::to_string(To) + ":" + Bytes;
    if (To < Nodes.size() && knows(From, To) &&
        Out.CrossesDomains != (domainOf(From) != domainOf(To)))
      ++WrongCrossings;
    if (IsBlocked(From, To) || Random.uniform() < LossRate)
      return;
    Endpoint Origin = Nodes[From].Record.Address;
    deliver(From, To, [this, To, Origin, Bytes] {
      Datagram Message = valueOf(decodeDatagram(Bytes, Auth));
      perform(To, Nodes[To].Core->receive(Message, Origin, Now));
    });
  }

  static constexpr Duration TickInterval = Duration(20);
  Time Now = Time(1000);
  SeededRandom Random;
  std::vector<Node> Nodes;
  /// Share of datagrams that are lost, from 0 to 1.
  double LossRate = 0;
  /// Whether nodes fetch the pieces of a new configuration, which takes no time
  /// here.
  bool AdoptsHeads = true;
  std::function<bool(std::size_t, std::size_t)> IsBlocked =
      [](std::size_t, std::size_t) { return false; };
  std::size_t DatagramBytes = 0;
  /// Datagrams to known nodes with another SendDatagram::CrossesDomains than
  /// the domains of both nodes imply.
  std::size_t WrongCrossings = 0;
  /// Size of all datagrams between failure domains.
  std::size_t CrossingBytes = 0;
  /// All datagrams in their order, while RecordsTraffic is set.
  std::string Traffic;
  bool RecordsTraffic = false;
  /// Size of all digests and deltas between failure domains.
  std::size_t CrossingSyncBytes = 0;
  /// Size of all deltas sent by anti-entropy.
  std::size_t DeltaBytes = 0;
  /// Observer and subject of each declaration of death.
  std::vector<std::pair<std::size_t, NodeName>> Deaths;
  std::size_t Suspicions = 0;
  DatagramAuth Auth{"fleet", "key", std::nullopt};

private:
  void step(std::size_t I) {
    Node &N = Nodes[I];
    if (!N.IsRunning || Now < N.PauseEnd)
      return;
    auto Waiting = std::move(N.Inbox);
    N.Inbox.clear();
    for (auto &Event : Waiting)
      Event();
    perform(I, N.Core->tick(Now));
  }

  bool knows(std::size_t From, std::size_t To) const {
    return Nodes[From].Core->view()->Nodes->count(nodeName(To)) != 0;
  }

  void deliver(std::size_t From, std::size_t To,
               const std::function<void()> &Receive) {
    if (To >= Nodes.size())
      return;
    Duration Latency(0.5 + 3 * Random.uniform());
    if (Domains.IsExact)
      Latency = Duration(0.1) + Latency * 0.1;
    if (domainOf(From) != domainOf(To))
      Latency = Latency + Domains.Latency;
    Events.emplace((Now + Latency).ms(), [this, To, Receive] {
      if (!Nodes[To].IsRunning)
        return;
      if (Domains.IsExact && Now >= Nodes[To].PauseEnd)
        Receive();
      else
        Nodes[To].Inbox.push_back(Receive);
    });
  }

  void perform(std::size_t I, const MembershipActions &Actions) {
    for (const MembershipAction &Action : Actions) {
      if (const auto *Out = std::get_if<SendDatagram>(&Action))
        send(I, *Out);
      if (const auto *Sync = std::get_if<StartSync>(&Action))
        sync(I, Sync->Peer);
      // A node publishes a head once it has fetched the pieces.
      if (const auto *Update = std::get_if<ConfigHeadUpdated>(&Action))
        if (AdoptsHeads)
          Nodes[I].Core->publishHead(Update->Head, Now);
      if (const auto *Change = std::get_if<NodeStateChanged>(&Action)) {
        if (Change->State == NodeState::Dead)
          Deaths.emplace_back(I, Change->Node);
        Suspicions += Change->State == NodeState::Suspected ? 1 : 0;
      }
    }
  }

  void sync(std::size_t From, const NodeName &With) {
    std::size_t To = std::stoul(With.str().substr(5));
    if (IsBlocked(From, To) || IsBlocked(To, From))
      return;
    std::string Sent = encodeDigest(Nodes[From].Core->digest());
    if (domainOf(From) != domainOf(To))
      CrossingSyncBytes += Sent.size();
    deliver(From, To, [this, From, To, Sent] {
      Digest Other = valueOf(decodeDigest(Sent));
      for (const Delta &Part : Nodes[To].Core->deltasFor(Other, 1000)) {
        std::string Bytes = encodeDelta(Part);
        DeltaBytes += Bytes.size();
        if (domainOf(From) != domainOf(To))
          CrossingSyncBytes += Bytes.size();
        deliver(To, From, [this, From, Bytes] {
          Delta Received = valueOf(decodeDelta(Bytes));
          perform(From, Nodes[From].Core->apply(Received, Now));
        });
      }
    });
  }

  TestDomains Domains;
  std::multimap<double, std::function<void()>> Events;
};

} // namespace teaselhitch

#endif
