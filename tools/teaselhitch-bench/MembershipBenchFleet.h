#ifndef TEASELHITCH_TOOLS_BENCH_MEMBERSHIPBENCHFLEET_H
#define TEASELHITCH_TOOLS_BENCH_MEMBERSHIPBENCHFLEET_H

/// \file
/// Simulates the nodes of a measurement, each with a Membership object, and the
/// network between them.

#include "MembershipBench.h"
#include "teaselhitch/Membership/Membership.h"
#include "teaselhitch/Wire/DatagramCodec.h"

#include <functional>
#include <optional>
#include <queue>

namespace teaselhitch {

class MembershipBenchFleet {
public:
  MembershipBenchFleet(std::size_t Count,
                       const MembershipBenchOptions &Options);

  /// Runs the simulation for \p Length of virtual time.
  void advance(Duration Length);
  /// Schedules \p Action to run after \p Delay.
  void schedule(Duration Delay, std::function<void()> Action);

  void resetCounters();
  /// Returns the costs since the last resetCounters(), per node and second.
  MembershipCostRow costs() const;

  /// Stops node I without notice to the other nodes.
  void stop(std::size_t I);
  /// Starts a new process of node I, which knows only the seeds.
  void start(std::size_t I);
  /// Drains, stops and restarts node I and its backend servers. The steps are
  /// scheduled; the function returns immediately.
  void restart(std::size_t I);
  /// Publishes the state and weight of all backend servers of node I.
  void publishAll(std::size_t I, BackendServerState State,
                  std::uint32_t Weight = 100);

  std::size_t size() const { return Nodes.size(); }
  bool isRunning(std::size_t I) const { return Nodes[I].IsRunning; }
  Membership &core(std::size_t I) { return *Nodes[I].Core; }
  Time now() const { return Now; }
  RandomSource &random() { return Random; }
  /// Returns the number of running nodes whose views do not contain node I.
  std::size_t deathObservers(std::size_t I) const;

  static NodeName nodeName(std::size_t I);
  /// Returns the record of backend server Index of node I in the form that its
  /// guard publishes.
  BackendServerRecord serverRecord(std::size_t I, std::size_t Index) const;

private:
  struct Node {
    NodeRecord Record;
    std::unique_ptr<SeededRandom> Random;
    std::unique_ptr<Membership> Core;
    bool IsRunning = true;
    Time StartedAt;
    std::uint64_t Incarnation = 0;
  };
  struct Event {
    Time DueTime;
    std::uint64_t Sequence = 0;
    std::function<void()> Action;

    bool operator<(const Event &Other) const {
      return DueTime != Other.DueTime ? DueTime > Other.DueTime
                                      : Sequence > Other.Sequence;
    }
  };

  /// Passes the records of all nodes to all nodes.
  void preload();
  /// Ticks the nodes of the next phase.
  void tickNextPhase();
  /// Returns true if node I has been running for so long that a report of its
  /// death cannot stem from an earlier process and is therefore false.
  bool isStable(std::size_t I) const;
  void handleActions(std::size_t I, const MembershipActions &Actions);
  void send(std::size_t From, const SendDatagram &Out);
  /// Sends the digest of node \p From to node \p To, which replies with the
  /// deltas that are missing.
  void sync(std::size_t From, std::size_t To);
  /// Runs \p Function and adds its processor time to CpuSeconds.
  template <typename FunctionT> auto timed(FunctionT &&Function);

  MembershipBenchOptions Options;
  SeededRandom Random;
  DatagramAuth Auth{"bench", "key", std::nullopt};
  std::vector<Node> Nodes;
  std::priority_queue<Event> Events;
  std::uint64_t LastSequence = 0;
  Time Now = Time(1000);
  unsigned Phase = 0;

  Time CountingStart;
  double DatagramBytes = 0;
  double Datagrams = 0;
  double SyncBytes = 0;
  double CpuSeconds = 0;
  std::uint64_t Restarts = 0;
  std::uint64_t FalseDeaths = 0;
};

} // namespace teaselhitch

#endif
