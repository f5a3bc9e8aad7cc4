#ifndef TEASELHITCH_UNITTESTS_DETECTION_LEASESIMULATION_H
#define TEASELHITCH_UNITTESTS_DETECTION_LEASESIMULATION_H

/// \file
/// Simulation of the guards of one service that share a table, with injected
/// faults.

#include "../../lib/Detection/ServiceLeases.h"
#include "teaselhitch/Support/Random.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselhitch::test {

/// A table with one row and conditional writes. A Replace with Expected = 0 is
/// unconditional, as LeaseDefects::UnconditionalWrite requires.
class OneRowTable {
public:
  TableReply apply(const TableRequest &Request) {
    TableReply Reply{Request.Token, TableStatus::Ok, {Request.Key, "", 0}};
    if (Request.Operation == TableOperation::Read) {
      if (Version == 0)
        Reply.Status = TableStatus::NotFound;
      Reply.Row = {Request.Key, Value, Version};
      return Reply;
    }
    const bool ConditionMet = Request.Operation == TableOperation::Insert
                                  ? Version == 0
                                  : Request.ExpectedVersion == Version ||
                                        Request.ExpectedVersion == 0;
    if (!ConditionMet) {
      Reply.Status = TableStatus::Conflict;
      return Reply;
    }
    Value = Request.Value;
    Reply.Row.Version = ++Version;
    return Reply;
  }

  std::string Value;
  std::uint64_t Version = 0;
};

/// Runs random interleavings of several EjectionLeases.
class LeaseSimulation {
public:
  static constexpr unsigned NodeCount = 6;
  static constexpr unsigned ServersPerNode = 2;
  static constexpr std::uint32_t Floor = 9;

  /// With an odd seed, the health in the views is never updated, so that guards
  /// learn of the ejections of other guards only from the table.
  LeaseSimulation(std::uint64_t Seed, detail::LeaseDefects Defects)
      : Random(Seed), Defects(Defects), HealthIsGossiped(Seed % 2 == 0) {
    for (unsigned N = 0; N < NodeCount; ++N) {
      Nodes.emplace_back();
      Nodes[N].Name = NodeName("n" + std::to_string(N));
      Nodes[N].ClockOffsetMs = Random.uniform() * 1e6;
      start(Nodes[N]);
      for (unsigned S = 0; S < ServersPerNode; ++S)
        Nodes[N].Ready.insert(BackendServerName("s" + std::to_string(S)));
    }
    refreshViews();
  }

  void run(unsigned Steps) {
    for (unsigned I = 0; I < Steps; ++I)
      step();
  }

  /// Number of ejections after which fewer backend servers than the floor were
  /// in use.
  unsigned Violations = 0;
  /// Number of times a guard kept an ejection although its view showed fewer
  /// backend servers in use than the floor.
  unsigned MissedReadmissions = 0;
  unsigned Ejections = 0;
  unsigned Readmissions = 0;

private:
  struct Node {
    NodeName Name;
    std::uint64_t Incarnation = 0;
    double ClockOffsetMs = 0;
    std::unique_ptr<EjectionLeases> Leases;
    std::set<BackendServerName> Ready;
    std::shared_ptr<const ServiceView> View;
    double PausedUntilMs = 0;
    /// The node receives no gossip, so its view is stale.
    bool MissesGossip = false;
    /// The node cannot reach the table.
    bool TableUnreachable = false;
  };
  struct Message {
    double AtMs;
    std::size_t NodeIndex;
    std::uint64_t Incarnation;
    /// Set for a request to the table, not set for a reply from the table.
    std::optional<TableRequest> Request;
    TableReply Reply;
  };

  bool chance(double P) { return Random.uniform() < P; }
  Time localTime(const Node &N) const { return Time(NowMs + N.ClockOffsetMs); }
  bool isPaused(const Node &N) const { return NowMs < N.PausedUntilMs; }

  void start(Node &N) {
    ++N.Incarnation;
    EjectionSettings Settings;
    Settings.Node = N.Name;
    Settings.Incarnation = N.Incarnation;
    auto Created = detail::createEjectionLeases(Settings, Defects);
    N.Leases = std::move(*Created);
  }

  bool isHeld(const BackendServerId &Id) const {
    for (const Node &N : Nodes)
      if (N.Name == Id.Node)
        return N.Leases->holds(Service, Id.Name, localTime(N));
    return false;
  }

  ServiceView actualView() const {
    ServiceView View;
    for (const Node &N : Nodes)
      for (const BackendServerName &S : N.Ready) {
        BackendServerRecord Record;
        Record.Id = {N.Name, S};
        Record.State = BackendServerState::Ready;
        if (HealthIsGossiped && isHeld(Record.Id))
          Record.Health = BackendServerHealth::Ejected;
        View.push_back(Record);
      }
    return View;
  }

  /// Number of backend servers that are ready in the view of any node and not
  /// ejected by a valid lease.
  std::size_t countJointInUse() const {
    std::set<BackendServerId> Seen;
    for (const Node &N : Nodes)
      for (const BackendServerRecord &Record : *N.View)
        if (!isHeld(Record.Id))
          Seen.insert(Record.Id);
    return Seen.size();
  }

  void refreshViews() {
    const auto Fresh = std::make_shared<const ServiceView>(actualView());
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      Node &N = Nodes[I];
      if (N.View && (N.MissesGossip || isPaused(N)))
        continue;
      N.View = Fresh;
      handle(I, N.Leases->view(Service, N.View, Floor, localTime(N)));
    }
  }

  double delayMs() {
    return chance(0.15) ? 1000 + Random.uniform() * 28000
                        : 1 + Random.uniform() * 50;
  }

  void handle(std::size_t NodeIndex, const LeaseActions &Actions) {
    for (const LeaseAction &Action : Actions) {
      if (const auto *Request = std::get_if<TableRequest>(&Action))
        Messages.push_back({NowMs + delayMs(),
                            NodeIndex,
                            Nodes[NodeIndex].Incarnation,
                            *Request,
                            {}});
      if (std::get_if<Readmitted>(&Action) != nullptr)
        ++Readmissions;
      if (std::get_if<Ejected>(&Action) == nullptr)
        continue;
      ++Ejections;
      if (countJointInUse() < Floor)
        ++Violations;
    }
  }

  void processRequest(const Message &M) {
    TableReply Reply{M.Request->Token, TableStatus::Unavailable, {}};
    const bool IsRead = M.Request->Operation == TableOperation::Read;
    if (!Outage &&
        (M.NodeIndex == Nodes.size() || !Nodes[M.NodeIndex].TableUnreachable)) {
      Reply = Table.apply(*M.Request);
      if (!IsRead && chance(0.1))
        Reply.Status = TableStatus::Unknown;
    } else if (!IsRead && chance(0.2)) {
      // The operation is delayed and takes effect after the reply "unknown".
      Reply.Status = TableStatus::Unknown;
      Message Delayed = M;
      Delayed.AtMs = NowMs + Random.uniform() * 20000;
      Delayed.NodeIndex = Nodes.size();
      Messages.push_back(Delayed);
    }
    if (M.NodeIndex < Nodes.size())
      Messages.push_back(
          {NowMs + delayMs(), M.NodeIndex, M.Incarnation, std::nullopt, Reply});
  }

  void deliverMessages() {
    std::deque<Message> Due;
    std::deque<Message> Later;
    for (const Message &M : Messages) {
      const bool Waits = !M.Request && isPaused(Nodes[M.NodeIndex]);
      (M.AtMs > NowMs || Waits ? Later : Due).push_back(M);
    }
    Messages = std::move(Later);
    for (const Message &M : Due) {
      if (M.Request) {
        processRequest(M);
        continue;
      }
      Node &N = Nodes[M.NodeIndex];
      if (N.Incarnation == M.Incarnation)
        handle(M.NodeIndex, N.Leases->reply(M.Reply, localTime(N)));
    }
  }

  void injectFaults() {
    const std::size_t I = Random.uniformInt(Nodes.size());
    Node &N = Nodes[I];
    const BackendServerName Server(
        "s" + std::to_string(Random.uniformInt(ServersPerNode)));
    if (chance(0.01))
      Outage = !Outage && chance(0.3);
    if (chance(0.02))
      N.MissesGossip = !N.MissesGossip && chance(0.5);
    if (chance(0.01))
      N.PausedUntilMs = NowMs + Random.uniform() * 90000;
    if (chance(0.05))
      N.TableUnreachable = !N.TableUnreachable && chance(0.5);
    if (chance(0.005))
      N.Ready.erase(Server);
    if (chance(0.1))
      N.Ready.insert(Server);
    if (chance(0.002))
      start(N);
    if (isPaused(N))
      return;
    if (chance(0.2))
      handle(I, N.Leases->eject(Service, Server, localTime(N)));
    else if (chance(0.03))
      handle(I, N.Leases->readmit(Service, Server, localTime(N)));
  }

  void step() {
    NowMs += Random.uniform() * 400;
    injectFaults();
    deliverMessages();
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      if (!isPaused(Nodes[I]))
        handle(I, Nodes[I].Leases->tick(localTime(Nodes[I])));
    refreshViews();
    checkReadmissions();
  }

  /// Checks that no guard with a current view keeps a ready backend server out
  /// of use while fewer than the floor are in use.
  void checkReadmissions() {
    const ServiceView Actual = actualView();
    std::size_t InUse = 0;
    for (const BackendServerRecord &Record : Actual)
      InUse += isHeld(Record.Id) ? 0 : 1;
    if (InUse >= Floor || !HealthIsGossiped)
      return;
    for (const Node &N : Nodes)
      for (const BackendServerName &S : N.Ready)
        if (!N.MissesGossip && !isPaused(N) && isHeld({N.Name, S}))
          ++MissedReadmissions;
  }

  const ServiceName Service{"tickets"};
  SeededRandom Random;
  detail::LeaseDefects Defects;
  bool HealthIsGossiped;
  double NowMs = 0;
  bool Outage = false;
  OneRowTable Table;
  std::vector<Node> Nodes;
  std::deque<Message> Messages;
};

} // namespace teaselhitch::test

#endif
