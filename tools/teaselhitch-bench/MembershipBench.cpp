#include "MembershipBench.h"

#include "MembershipBenchFleet.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <malloc.h>

namespace teaselhitch {

namespace {

/// The target size and its changes, from the design page.
constexpr double TargetNodes = 1400;
constexpr double RestartsPerDay = 6500;
constexpr double HeadsPerDay = 1700;
constexpr double SecondsPerDay = 86400;
/// Time for the gossip of the start to end.
constexpr Duration WarmUp = Duration::seconds(20);
constexpr Duration PollInterval = Duration(48);
constexpr Duration LongestWait = Duration::seconds(30);
constexpr unsigned SnapshotSamples = 200;

/// Schedules one change after the other, with exponential gaps.
void scheduleChanges(MembershipBenchFleet &Fleet, double PerSecond,
                     const std::shared_ptr<std::function<void()>> &Change) {
  double Gap = -std::log(1 - Fleet.random().uniform()) / PerSecond;
  Fleet.schedule(Duration::seconds(Gap), [&Fleet, PerSecond, Change] {
    (*Change)();
    scheduleChanges(Fleet, PerSecond, Change);
  });
}

void restartSomeNode(MembershipBenchFleet &Fleet) {
  // A node that is restarting is left alone.
  for (int Try = 0; Try != 10; ++Try) {
    // The first three are seeds; the others rejoin through them.
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
                        [&Fleet] { restartSomeNode(Fleet); }));
    scheduleChanges(Fleet, HeadsPerDay / SecondsPerDay,
                    std::make_shared<std::function<void()>>([&Fleet, Version] {
                      ConfigHead Head{++*Version, std::string(64, 'a')};
                      Fleet.core(0).publishHead(Head, Fleet.now());
                    }));
    // Restarts overlap in the steady state, so begin with some of them.
    Fleet.advance(Duration::seconds(30));
  }
  Fleet.resetCounters();
  Fleet.advance(Duration::seconds(Seconds));
  MembershipCostRow Row = Fleet.costs();
  Row.HasChanges = HasChanges;
  return Row;
}

/// Runs until Holds, and gives the milliseconds that took.
template <typename FunctionT>
double msUntil(MembershipBenchFleet &Fleet, FunctionT &&Holds) {
  Time Start = Fleet.now();
  while (!Holds() && Fleet.now() - Start < LongestWait)
    Fleet.advance(PollInterval);
  return (Fleet.now() - Start).ms();
}

double msUntilDeathIsKnown(MembershipBenchFleet &Fleet, std::size_t Victim,
                           std::size_t Running) {
  Fleet.stop(Victim);
  std::vector<bool> Done(Fleet.size(), false);
  return msUntil(Fleet, [&] {
    std::size_t Count = 0;
    for (std::size_t I = 0; I != Fleet.size(); ++I) {
      if (!Done[I] && Fleet.isRunning(I))
        Done[I] = Fleet.core(I).view()->Nodes->count(
                      MembershipBenchFleet::nodeName(Victim)) == 0;
      Count += Done[I] ? 1 : 0;
    }
    return Count == Running;
  });
}

bool seesDraining(Membership &Core, const BackendServerRecord &Wanted) {
  std::shared_ptr<const FleetView> View = Core.view();
  auto It = View->Services.find(Wanted.Service);
  if (It == View->Services.end())
    return false;
  auto IsIt = [&](const BackendServerRecord &Record) {
    return Record.Id == Wanted.Id &&
           Record.State == BackendServerState::Draining;
  };
  return std::any_of(It->second->begin(), It->second->end(), IsIt);
}

double msUntilDrainIsKnown(MembershipBenchFleet &Fleet, std::size_t Owner) {
  BackendServerRecord Record = Fleet.serverRecord(Owner, 0);
  Record.State = BackendServerState::Draining;
  Fleet.core(Owner).publish(Record, Fleet.now());
  std::vector<bool> Done(Fleet.size(), false);
  return msUntil(Fleet, [&] {
    bool All = true;
    for (std::size_t I = 0; I != Fleet.size(); ++I) {
      if (!Done[I] && Fleet.isRunning(I))
        Done[I] = seesDraining(Fleet.core(I), Record);
      All = All && (Done[I] || !Fleet.isRunning(I));
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
    // Distinct nodes, none of which is a seed.
    std::size_t Owner = 3 + I * (Fleet.size() - 3) / Options.Samples;
    Disseminations.push_back(msUntilDrainIsKnown(Fleet, Owner));
    Detections.push_back(msUntilDeathIsKnown(Fleet, Owner, --Running));
  }
  return {Fleet.size(), medianOf(Detections), maxOf(Detections),
          medianOf(Disseminations), maxOf(Disseminations)};
}

double allocatedBytes() {
  struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

Delta wholeSet(const MembershipBenchOptions &Options, std::size_t Count) {
  Delta Whole;
  MembershipBenchOptions None = Options;
  None.ServersPerNode = 0;
  MembershipBenchFleet Names(Count, None);
  std::size_t Services = 430;
  for (std::size_t I = 0; I != Count; ++I) {
    Whole.Nodes.push_back(Names.core(I).self());
    for (std::size_t S = 0; S != Options.ServersPerNode; ++S) {
      BackendServerRecord Record = Names.serverRecord(I, S);
      Record.Service = ServiceName("seat-sales-" +
                                   std::to_string((I * 7 + S * 31) % Services));
      Record.Id.Name =
          BackendServerName(Record.Service.str() + "-" + std::to_string(S));
      Record.Version = {Whole.Nodes.back().Version.Incarnation, S + 1};
      Whole.Servers.push_back(Record);
    }
  }
  return Whole;
}

MembershipSizeResult measureSize(const MembershipBenchOptions &Options) {
  MembershipSizeResult Row;
  Delta Whole = wholeSet(Options, Row.Nodes);
  Row.Servers = Whole.Servers.size();
  SeededRandom Random(Options.Seed);
  NodeRecord Self = Whole.Nodes.front();
  malloc_trim(0);
  double Before = allocatedBytes();
  auto Created = Membership::create({}, Self, Random, Time(1000));
  std::unique_ptr<Membership> Core = std::move(Created.value());
  Core->apply(Whole, Time(1000));
  Row.Services = Core->view()->Services.size();
  Row.Bytes = allocatedBytes() - Before;
  for (const Delta &Part : Core->deltasFor(Digest(), 500))
    Row.WholeSetBytes += static_cast<double>(encodeDelta(Part).size());
  std::vector<double> Snapshots;
  for (unsigned I = 0; I != SnapshotSamples; ++I) {
    BackendServerRecord Record = Whole.Servers[I * 71 + 13];
    Record.Version.Sequence += 100;
    Core->apply({{}, {Record}, {}, {}}, Time(1000));
    auto Start = std::chrono::steady_clock::now();
    std::shared_ptr<const FleetView> View = Core->view();
    std::chrono::duration<double, std::milli> Took =
        std::chrono::steady_clock::now() - Start;
    Snapshots.push_back(Took.count());
  }
  Row.SnapshotMedianMs = medianOf(Snapshots);
  Row.SnapshotMaxMs = maxOf(Snapshots);
  return Row;
}

/// The value at TargetNodes of the least squares line through the rows with
/// changes.
template <typename FunctionT>
double project(const std::vector<MembershipCostRow> &Rows, FunctionT &&Value) {
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
  double Spread = N * SumXX - SumX * SumX;
  if (Spread <= 0)
    return N > 0 ? SumY / N : 0;
  double Slope = (N * SumXY - SumX * SumY) / Spread;
  return SumY / N + Slope * (TargetNodes - SumX / N);
}

} // namespace

MembershipBenchResult
runMembershipBench(const MembershipBenchOptions &Options) {
  MembershipBenchResult Measured;
  Measured.Size = measureSize(Options);
  for (std::size_t Size : Options.Sizes) {
    MembershipBenchFleet Fleet(Size, Options);
    Fleet.advance(WarmUp);
    Measured.Costs.push_back(measureCosts(Fleet, false, Options));
    Measured.Delays.push_back(measureDelays(Fleet, Options));
    // The killed nodes must not weigh on the second measurement.
    MembershipBenchFleet Fresh(Size, Options);
    Fresh.advance(WarmUp);
    Measured.Costs.push_back(measureCosts(Fresh, true, Options));
  }
  Measured.Projection.SentBytes =
      project(Measured.Costs, [](const auto &Row) { return Row.sentBytes(); });
  Measured.Projection.CpuPercent =
      project(Measured.Costs, [](const auto &Row) { return Row.CpuPercent; });
  return Measured;
}

} // namespace teaselhitch
