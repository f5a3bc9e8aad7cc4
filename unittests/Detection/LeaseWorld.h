#ifndef TEASELHITCH_UNITTESTS_DETECTION_LEASEWORLD_H
#define TEASELHITCH_UNITTESTS_DETECTION_LEASEWORLD_H

/// \file
/// Guards of one service over one table, with faults between them.

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

/// A table with one row and conditional writes. Expected = 0 in a Replace is
/// taken without a condition, for a rule that is broken on purpose.
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
    const bool Holds =
        Request.Operation == TableOperation::Insert
            ? Version == 0
            : Request.Expected == Version || Request.Expected == 0;
    if (!Holds) {
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

/// Random interleavings of several EjectionLeases.
class LeaseWorld {
public:
  static constexpr unsigned NodeCount = 6;
  static constexpr unsigned ServersPerNode = 2;
  static constexpr std::uint32_t Floor = 9;

  /// With an odd seed the health in the views is stale for ever, so that guards
  /// know of the ejections of others from the table only.
  LeaseWorld(std::uint64_t Seed, detail::LeaseRules Rules)
      : Random(Seed), Rules(Rules), HealthIsGossiped(Seed % 2 == 0) {
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

  /// Ejections after which too few were in use.
  unsigned Violations = 0;
  /// Guards that kept an ejection although they saw too few in use.
  unsigned LateReadmissions = 0;
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
    /// The node does not hear from others.
    bool Deaf = false;
    /// The node does not reach the table.
    bool CutOff = false;
  };
  struct Message {
    double AtMs;
    std::size_t To;
    std::uint64_t Incarnation;
    /// A request on its way to the table, or a reply on its way back.
    std::optional<TableRequest> Request;
    TableReply Reply;
  };

  bool chance(double P) { return Random.uniform() < P; }
  Time clockOf(const Node &N) const { return Time(NowMs + N.ClockOffsetMs); }
  bool isPaused(const Node &N) const { return NowMs < N.PausedUntilMs; }

  void start(Node &N) {
    ++N.Incarnation;
    EjectionSettings Settings;
    Settings.Node = N.Name;
    Settings.Incarnation = N.Incarnation;
    auto Created = detail::createEjectionLeases(Settings, Rules);
    N.Leases = std::move(*Created);
  }

  bool isHeld(const BackendServerId &Id) const {
    for (const Node &N : Nodes)
      if (N.Name == Id.Node)
        return N.Leases->holds(Service, Id.Name, clockOf(N));
    return false;
  }

  ServiceView truth() const {
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

  /// Number of those that any live node sees as ready and that are not ejected
  /// by a valid lease.
  std::size_t inUseInJointView() const {
    std::set<BackendServerId> Seen;
    for (const Node &N : Nodes)
      for (const BackendServerRecord &Record : *N.View)
        if (!isHeld(Record.Id))
          Seen.insert(Record.Id);
    return Seen.size();
  }

  void refreshViews() {
    const auto Fresh = std::make_shared<const ServiceView>(truth());
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      Node &N = Nodes[I];
      if (N.View && (N.Deaf || isPaused(N)))
        continue;
      N.View = Fresh;
      handle(I, N.Leases->view(Service, N.View, Floor, clockOf(N)));
    }
  }

  double delayMs() {
    return chance(0.15) ? 1000 + Random.uniform() * 28000
                        : 1 + Random.uniform() * 50;
  }

  void handle(std::size_t From, const LeaseActions &Actions) {
    for (const LeaseAction &Action : Actions) {
      if (const auto *Request = std::get_if<TableRequest>(&Action))
        Messages.push_back(
            {NowMs + delayMs(), From, Nodes[From].Incarnation, *Request, {}});
      if (std::get_if<Readmitted>(&Action) != nullptr)
        ++Readmissions;
      if (std::get_if<Ejected>(&Action) == nullptr)
        continue;
      ++Ejections;
      if (inUseInJointView() < Floor)
        ++Violations;
    }
  }

  void arriveAtTable(const Message &M) {
    TableReply Reply{M.Request->Token, TableStatus::Unavailable, {}};
    const bool IsRead = M.Request->Operation == TableOperation::Read;
    if (!Outage && (M.To == Nodes.size() || !Nodes[M.To].CutOff)) {
      Reply = Table.apply(*M.Request);
      if (!IsRead && chance(0.1))
        Reply.Status = TableStatus::Unknown;
    } else if (!IsRead && chance(0.2)) {
      // The operation is stuck and takes effect after the answer "unknown".
      Reply.Status = TableStatus::Unknown;
      Message Late = M;
      Late.AtMs = NowMs + Random.uniform() * 20000;
      Late.To = Nodes.size();
      Messages.push_back(Late);
    }
    if (M.To < Nodes.size())
      Messages.push_back(
          {NowMs + delayMs(), M.To, M.Incarnation, std::nullopt, Reply});
  }

  void deliver() {
    std::deque<Message> Due;
    std::deque<Message> Later;
    for (const Message &M : Messages) {
      const bool Waits = !M.Request && isPaused(Nodes[M.To]);
      (M.AtMs > NowMs || Waits ? Later : Due).push_back(M);
    }
    Messages = std::move(Later);
    for (const Message &M : Due) {
      if (M.Request) {
        arriveAtTable(M);
        continue;
      }
      Node &N = Nodes[M.To];
      if (N.Incarnation == M.Incarnation)
        handle(M.To, N.Leases->reply(M.Reply, clockOf(N)));
    }
  }

  void disturb() {
    const std::size_t I = Random.below(Nodes.size());
    Node &N = Nodes[I];
    const BackendServerName Server(
        "s" + std::to_string(Random.below(ServersPerNode)));
    if (chance(0.01))
      Outage = !Outage && chance(0.3);
    if (chance(0.02))
      N.Deaf = !N.Deaf && chance(0.5);
    if (chance(0.01))
      N.PausedUntilMs = NowMs + Random.uniform() * 90000;
    if (chance(0.05))
      N.CutOff = !N.CutOff && chance(0.5);
    if (chance(0.005))
      N.Ready.erase(Server);
    if (chance(0.1))
      N.Ready.insert(Server);
    if (chance(0.002))
      start(N);
    if (isPaused(N))
      return;
    if (chance(0.2))
      handle(I, N.Leases->eject(Service, Server, clockOf(N)));
    else if (chance(0.03))
      handle(I, N.Leases->readmit(Service, Server, clockOf(N)));
  }

  void step() {
    NowMs += Random.uniform() * 400;
    disturb();
    deliver();
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      if (!isPaused(Nodes[I]))
        handle(I, Nodes[I].Leases->tick(clockOf(Nodes[I])));
    refreshViews();
    checkReadmissions();
  }

  /// With a fresh view, no guard keeps a ready backend server out of use while
  /// too few are in use.
  void checkReadmissions() {
    const ServiceView Truth = truth();
    std::size_t InUse = 0;
    for (const BackendServerRecord &Record : Truth)
      InUse += isHeld(Record.Id) ? 0 : 1;
    if (InUse >= Floor || !HealthIsGossiped)
      return;
    for (const Node &N : Nodes)
      for (const BackendServerName &S : N.Ready)
        if (!N.Deaf && !isPaused(N) && isHeld({N.Name, S}))
          ++LateReadmissions;
  }

  const ServiceName Service{"tickets"};
  SeededRandom Random;
  detail::LeaseRules Rules;
  bool HealthIsGossiped;
  double NowMs = 0;
  bool Outage = false;
  OneRowTable Table;
  std::vector<Node> Nodes;
  std::deque<Message> Messages;
};

} // namespace teaselhitch::test

#endif
