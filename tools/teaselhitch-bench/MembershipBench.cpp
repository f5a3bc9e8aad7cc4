#include "MembershipBench.h"

#include "MembershipBenchFleet.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <malloc.h>

namespace teaselhitch {

namespace {

/// The target size and its rates of change, from the design page.
constexpr double TargetNodes = 1400;
constexpr double RestartsPerDay = 6500;
constexpr double ConfigHeadsPerDay = 1700;
constexpr double SecondsPerDay = 86400;
/// Time until the gossip traffic of the start has ended.
constexpr Duration WarmUp = Duration::seconds(20);
constexpr Duration PollInterval = Duration(48);
constexpr Duration MaxWait = Duration::seconds(30);
constexpr unsigned SnapshotSamples = 200;

/// Schedules an endless sequence of changes, with exponentially distributed
/// intervals.
void scheduleChanges(MembershipBenchFleet &Fleet, double PerSecond,
                     const std::shared_ptr<std::function<void()>> &Change) {
  double Gap = -std::log(1 - Fleet.random().uniform()) / PerSecond;
  Fleet.schedule(Duration::seconds(Gap), [&Fleet, PerSecond, Change] {
    (*Change)();
    scheduleChanges(Fleet, PerSecond, Change);
  });
}

void restartRandomNode(MembershipBenchFleet &Fleet) {
  // Skip nodes that are already restarting.
  for (int Attempt = 0; Attempt != 10; ++Attempt) {
    // The first three nodes are the seeds, through which the others rejoin, and
    // are never restarted.
    std::size_t I = 3 + Fleet.random().uniformInt(Fleet.size() - 3);
    if (!Fleet.isRunning(I) || Fleet.core(I).self().State == NodeState::Leaving)
      continue;
    Fleet.restart(I);
    return;
  }
}

MembershipCostRow measureCosts(MembershipBenchFleet &Fleet, bool HasChanges,
                               const MembershipBenchOptions &Options) {
  double Scale = static_cast<double>(Fleet.size()) / TargetNodes;
  double RestartRate = RestartsPerDay / SecondsPerDay * Scale;
  double Seconds = Options.MinSeconds;
  if (HasChanges) {
    Seconds = std::max(Seconds, Options.MinRestarts / RestartRate);
    auto Version = std::make_shared<std::uint64_t>(1);
    scheduleChanges(Fleet, RestartRate,
                    std::make_shared<std::function<void()>>(
                        [&Fleet] { restartRandomNode(Fleet); }));
    scheduleChanges(Fleet, ConfigHeadsPerDay / SecondsPerDay,
                    std::make_shared<std::function<void()>>([&Fleet, Version] {
                      ConfigHead Head{++*Version, std::string(64, 'a')};
                      Fleet.core(0).publishHead(Head, Fleet.now());
                    }));
    // Restarts overlap in the steady state. Run for some time before the
    // measurement so that restarts are already in progress when it begins.
    Fleet.advance(Duration::seconds(30));
  }
  Fleet.resetCounters();
  Fleet.advance(Duration::seconds(Seconds));
  MembershipCostRow Row = Fleet.costs();
  Row.HasChanges = HasChanges;
  return Row;
}

/// Runs until \p Condition holds or MaxWait has passed. Returns the elapsed
/// virtual time in milliseconds.
template <typename FunctionT>
double waitMs(MembershipBenchFleet &Fleet, FunctionT &&Condition) {
  Time Start = Fleet.now();
  while (!Condition() && Fleet.now() - Start < MaxWait)
    Fleet.advance(PollInterval);
  return (Fleet.now() - Start).ms();
}

/// Stops a node. Returns the time until the other \p Running nodes have removed
/// it from their views.
double measureDetectionMs(MembershipBenchFleet &Fleet, std::size_t Stopped,
                          std::size_t Running) {
  Fleet.stop(Stopped);
  std::vector<bool> Informed(Fleet.size(), false);
  return waitMs(Fleet, [&] {
    std::size_t Count = 0;
    for (std::size_t I = 0; I != Fleet.size(); ++I) {
      if (!Informed[I] && Fleet.isRunning(I))
        Informed[I] = Fleet.core(I).view()->Nodes->count(
                          MembershipBenchFleet::nodeName(Stopped)) == 0;
      Count += Informed[I] ? 1 : 0;
    }
    return Count == Running;
  });
}

bool hasDrainingRecord(Membership &Core, const BackendServerRecord &Wanted) {
  std::shared_ptr<const FleetView> View = Core.view();
  auto It = View->Services.find(Wanted.Service);
  if (It == View->Services.end())
    return false;
  auto Matches = [&](const BackendServerRecord &Record) {
    return Record.Id == Wanted.Id &&
           Record.State == BackendServerState::Draining;
  };
  return std::any_of(It->second->begin(), It->second->end(), Matches);
}

/// Drains a backend server. Returns the time until all running nodes see the
/// new state.
double measureDisseminationMs(MembershipBenchFleet &Fleet, std::size_t Owner) {
  BackendServerRecord Record = Fleet.serverRecord(Owner, 0);
  Record.State = BackendServerState::Draining;
  Fleet.core(Owner).publish(Record, Fleet.now());
  std::vector<bool> Informed(Fleet.size(), false);
  return waitMs(Fleet, [&] {
    bool All = true;
    for (std::size_t I = 0; I != Fleet.size(); ++I) {
      if (!Informed[I] && Fleet.isRunning(I))
        Informed[I] = hasDrainingRecord(Fleet.core(I), Record);
      All = All && (Informed[I] || !Fleet.isRunning(I));
    }
    return All;
  });
}

double medianOf(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values.empty() ? 0 : Values[Values.size() / 2];
}

double maxOf(const std::vector<double> &Values) {
  return Values.empty() ? 0 : *std::max_element(Values.begin(), Values.end());
}

MembershipDelayRow measureDelays(MembershipBenchFleet &Fleet,
                                 const MembershipBenchOptions &Options) {
  std::vector<double> Detections, Disseminations;
  std::size_t Running = Fleet.size();
  for (unsigned I = 0; I != Options.Samples; ++I) {
    Fleet.advance(Duration(1000 * Fleet.random().uniform()));
    // Choose distinct nodes that are not seeds.
    std::size_t Owner = 3 + I * (Fleet.size() - 3) / Options.Samples;
    Disseminations.push_back(measureDisseminationMs(Fleet, Owner));
    Detections.push_back(measureDetectionMs(Fleet, Owner, --Running));
  }
  return {Fleet.size(), medianOf(Detections), maxOf(Detections),
          medianOf(Disseminations), maxOf(Disseminations)};
}

double allocatedBytes() {
  struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

/// Returns the records of all nodes and backend servers of a fleet.
Delta makeFullDelta(const MembershipBenchOptions &Options, std::size_t Count) {
  Delta Full;
  MembershipBenchOptions NoServers = Options;
  NoServers.ServersPerNode = 0;
  MembershipBenchFleet Fleet(Count, NoServers);
  std::size_t Services = 430;
  for (std::size_t I = 0; I != Count; ++I) {
    Full.Nodes.push_back(Fleet.core(I).self());
    for (std::size_t S = 0; S != Options.ServersPerNode; ++S) {
      BackendServerRecord Record = Fleet.serverRecord(I, S);
      Record.Service = ServiceName("seat-sales-" +
                                   std::to_string((I * 7 + S * 31) % Services));
      Record.Id.Name =
          BackendServerName(Record.Service.str() + "-" + std::to_string(S));
      Record.Version = {Full.Nodes.back().Version.Incarnation, S + 1};
      Full.Servers.push_back(Record);
    }
  }
  return Full;
}

MembershipSizeResult measureSize(const MembershipBenchOptions &Options) {
  MembershipSizeResult Row;
  Delta Full = makeFullDelta(Options, Row.Nodes);
  Row.Servers = Full.Servers.size();
  SeededRandom Random(Options.Seed);
  NodeRecord Self = Full.Nodes.front();
  malloc_trim(0);
  double Before = allocatedBytes();
  auto Created = Membership::create({}, Self, Random, Time(1000));
  std::unique_ptr<Membership> Core = std::move(Created.value());
  Core->apply(Full, Time(1000));
  Row.Services = Core->view()->Services.size();
  Row.Bytes = allocatedBytes() - Before;
  for (const Delta &Part : Core->deltasFor(Digest(), 500))
    Row.WholeSetBytes += static_cast<double>(encodeDelta(Part).size());
  std::vector<double> Snapshots;
  for (unsigned I = 0; I != SnapshotSamples; ++I) {
    BackendServerRecord Record = Full.Servers[I * 71 + 13];
    Record.Version.Sequence += 100;
    Core->apply({{}, {Record}, {}, {}}, Time(1000));
    auto Start = std::chrono::steady_clock::now();
    std::shared_ptr<const FleetView> View = Core->view();
    std::chrono::duration<double, std::milli> Elapsed =
        std::chrono::steady_clock::now() - Start;
    Snapshots.push_back(Elapsed.count());
  }
  Row.SnapshotMedianMs = medianOf(Snapshots);
  Row.SnapshotMaxMs = maxOf(Snapshots);
  return Row;
}

/// Returns the value at TargetNodes of the least-squares line through the rows
/// with changes.
template <typename FunctionT>
double projectToTarget(const std::vector<MembershipCostRow> &Rows,
                       FunctionT &&Value) {
  double N = 0, SumX = 0, SumY = 0, SumXX = 0, SumXY = 0;
  for (const MembershipCostRow &Row : Rows) {
    if (!Row.HasChanges)
      continue;
    auto X = static_cast<double>(Row.Nodes);
    double Y = Value(Row);
    N += 1;
    SumX += X;
    SumY += Y;
    SumXX += X * X;
    SumXY += X * Y;
  }
  double Denominator = N * SumXX - SumX * SumX;
  if (Denominator <= 0)
    return N > 0 ? SumY / N : 0;
  double Slope = (N * SumXY - SumX * SumY) / Denominator;
  return SumY / N + Slope * (TargetNodes - SumX / N);
}

} // namespace

MembershipBenchResult
runMembershipBench(const MembershipBenchOptions &Options) {
  MembershipBenchResult Results;
  Results.Size = measureSize(Options);
  for (std::size_t Size : Options.Sizes) {
    MembershipBenchFleet Fleet(Size, Options);
    Fleet.advance(WarmUp);
    Results.Costs.push_back(measureCosts(Fleet, false, Options));
    Results.Delays.push_back(measureDelays(Fleet, Options));
    // Use a new fleet, so that the nodes killed above do not affect the second
    // measurement.
    MembershipBenchFleet Fresh(Size, Options);
    Fresh.advance(WarmUp);
    Results.Costs.push_back(measureCosts(Fresh, true, Options));
  }
  Results.Projection.SentBytes = projectToTarget(
      Results.Costs, [](const auto &Row) { return Row.sentBytes(); });
  Results.Projection.CpuPercent = projectToTarget(
      Results.Costs, [](const auto &Row) { return Row.CpuPercent; });
  return Results;
}

} // namespace teaselhitch
