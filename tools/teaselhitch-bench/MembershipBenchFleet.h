#ifndef TEASELHITCH_TOOLS_BENCH_MEMBERSHIPBENCHFLEET_H
#define TEASELHITCH_TOOLS_BENCH_MEMBERSHIPBENCHFLEET_H

/// \file
/// The memberships of a measurement and the messages between them.

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

  /// Runs for this long in virtual time.
  void advance(Duration Length);
  /// Runs Action after Delay.
  void schedule(Duration Delay, std::function<void()> Action);

  /// Starts counting anew.
  void resetCounters();
  /// The counters since then, per node and second.
  MembershipCostRow costs() const;

  void stop(std::size_t I);
  /// Starts a new process of node I, which knows nobody but the seeds.
  void start(std::size_t I);
  /// Drains, stops and starts node I with its backend servers.
  void restart(std::size_t I);
  void publishAll(std::size_t I, BackendServerState State,
                  std::uint32_t Weight = 100);

  std::size_t size() const { return Nodes.size(); }
  bool isRunning(std::size_t I) const { return Nodes[I].IsRunning; }
  Membership &core(std::size_t I) { return *Nodes[I].Core; }
  Time now() const { return Now; }
  RandomSource &random() { return Random; }
  /// Running nodes that hold node I for dead.
  std::size_t deathsKnown(std::size_t I) const;

  static NodeName nodeName(std::size_t I);
  /// The record of backend server Index of node I, as its guard publishes it.
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
    Time At;
    std::uint64_t Order = 0;
    std::function<void()> Action;

    bool operator<(const Event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  void preload();
  void tickDue();
  /// True when a report of the death of node I is wrong.
  bool isStable(std::size_t I) const;
  void act(std::size_t I, const MembershipActions &Actions);
  void send(std::size_t From, const SendDatagram &Out);
  void sync(std::size_t From, std::size_t To);
  /// Runs Function and adds the processor time to the count.
  template <typename FunctionT> auto timed(FunctionT &&Function);

  MembershipBenchOptions Options;
  SeededRandom Random;
  DatagramAuth Auth{"bench", "key", std::nullopt};
  std::vector<Node> Nodes;
  std::priority_queue<Event> Events;
  std::uint64_t LastOrder = 0;
  Time Now = Time(1000);
  unsigned Phase = 0;

  Time CountingSince;
  double DatagramBytes = 0;
  double Datagrams = 0;
  double SyncBytes = 0;
  double CpuSeconds = 0;
  std::uint64_t Restarts = 0;
  std::uint64_t FalseDeaths = 0;
};

} // namespace teaselhitch

#endif
