#include "MembershipBenchFleet.h"

#include <chrono>

namespace teaselhitch {

namespace {

/// Each node ticks at this interval. The nodes are divided into TickPhases
/// groups, which tick in rotation.
constexpr Duration TickInterval = Duration(48);
constexpr unsigned TickPhases = 4;
constexpr double UdpHeaderBytes = 28;
/// Bytes of the headers of a TCP segment, of its acknowledgement, and of a
/// frame.
constexpr double TcpHeaderBytes = 52 + 52 + 5;
constexpr double TcpSegmentBytes = 1400;
/// Maximum number of records in one delta.
constexpr std::size_t MaxDeltaRecords = 500;
constexpr std::uint64_t FirstIncarnation = 1764840000000;
/// Difference between the incarnations of successive processes of a node.
constexpr std::uint64_t IncarnationStepMs = 60000;
/// The target size has 18,000 backend servers in 430 services.
constexpr std::size_t ServersPerService = 42;
constexpr std::size_t DomainCount = 14;
constexpr std::size_t RegionCount = 6;

/// Until this time after the start of a process, a report of death may still
/// refer to the previous process of the node.
constexpr Duration DeathReportDelay = Duration::seconds(5);

/// Times of the phases of a restart, from its start.
constexpr Duration StopDelay = Duration::seconds(5);
constexpr Duration StartDelay = Duration::seconds(8);
constexpr Duration ReadyDelay = Duration::seconds(11);
/// Steps of the slow start: weights and the times at which they apply, from the
/// start of the restart.
struct SlowStartStep {
  Duration Delay;
  std::uint32_t Weight;
};
constexpr SlowStartStep SlowStart[] = {{Duration::seconds(11), 10},
                                       {Duration::seconds(16), 40},
                                       {Duration::seconds(21), 70},
                                       {Duration::seconds(26), 100}};

std::string zeroPadded(std::size_t Number) {
  std::string Text = std::to_string(Number);
  return std::string(4 - std::min<std::size_t>(4, Text.size()), '0') + Text;
}

Endpoint addressOf(std::size_t I) {
  return {"10.17." + std::to_string(I / 256) + "." + std::to_string(I % 256),
          7400};
}

std::size_t indexOf(const Endpoint &E) {
  std::size_t Last = E.Address.rfind('.');
  return std::stoul(E.Address.substr(6, Last - 6)) * 256 +
         std::stoul(E.Address.substr(Last + 1));
}

std::size_t indexOf(const NodeName &Name) {
  return std::stoul(Name.str().substr(Name.str().rfind('-') + 1));
}

} // namespace

template <typename FunctionT>
auto MembershipBenchFleet::timed(FunctionT &&Function) {
  // The single thread never sleeps, so the elapsed time is an upper bound of
  // the processor time. It is also cheaper to read.
  auto Start = std::chrono::steady_clock::now();
  auto Value = Function();
  std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - Start;
  CpuSeconds += Elapsed.count();
  return Value;
}

NodeName MembershipBenchFleet::nodeName(std::size_t I) {
  return NodeName("ishikari-" + zeroPadded(I));
}

BackendServerRecord
MembershipBenchFleet::serverRecord(std::size_t I, std::size_t Index) const {
  std::size_t Services =
      1 + Nodes.size() * Options.ServersPerNode / ServersPerService;
  std::size_t Service = (I * 7 + Index * 31) % Services;
  BackendServerRecord Record;
  Record.Service = ServiceName("seat-sales-" + std::to_string(Service));
  Record.Id = {nodeName(I), BackendServerName(Record.Service.str() + "-" +
                                              std::to_string(Index))};
  Record.Domain = Nodes[I].Record.Domain;
  Record.Label = "r41";
  Record.Slots = 4;
  Record.State = BackendServerState::Ready;
  return Record;
}

MembershipBenchFleet::MembershipBenchFleet(
    std::size_t Count, const MembershipBenchOptions &Options)
    : Options(Options), Random(Options.Seed), Nodes(Count) {
  for (std::size_t I = 0; I != Count; ++I) {
    start(I);
    publishAll(I, BackendServerState::Ready);
  }
  preload();
  resetCounters();
}

void MembershipBenchFleet::preload() {
  std::vector<Delta> All;
  for (Node &N : Nodes)
    for (Delta &Part : N.Core->deltasFor(Digest(), MaxDeltaRecords))
      All.push_back(std::move(Part));
  Delta Full;
  for (const Delta &Part : All) {
    Full.Nodes.insert(Full.Nodes.end(), Part.Nodes.begin(), Part.Nodes.end());
    Full.Servers.insert(Full.Servers.end(), Part.Servers.begin(),
                        Part.Servers.end());
  }
  for (Node &N : Nodes)
    N.Core->apply(Full, Now);
}

void MembershipBenchFleet::start(std::size_t I) {
  Node &N = Nodes[I];
  N.Incarnation += N.Incarnation == 0
                       ? FirstIncarnation + Random.uniformInt(90000000)
                       : IncarnationStepMs;
  N.Record.Name = nodeName(I);
  N.Record.Address = addressOf(I);
  N.Record.Domain = FailureDomain("domain-" + std::to_string(I % DomainCount));
  N.Record.Region = RegionName("region-" + std::to_string(I % RegionCount));
  N.Record.Version = {N.Incarnation, 1};
  N.Random = std::make_unique<SeededRandom>(Random.next());
  MembershipSettings Settings;
  Settings.Seeds = {addressOf(0), addressOf(1), addressOf(2)};
  auto Created = Membership::create(Settings, N.Record, *N.Random, Now);
  N.Core = std::move(Created.value());
  N.IsRunning = true;
  N.StartedAt = Now;
}

void MembershipBenchFleet::stop(std::size_t I) { Nodes[I].IsRunning = false; }

void MembershipBenchFleet::publishAll(std::size_t I, BackendServerState State,
                                      std::uint32_t Weight) {
  for (std::size_t Index = 0; Index != Options.ServersPerNode; ++Index) {
    BackendServerRecord Record = serverRecord(I, Index);
    Record.State = State;
    Record.Weight = Weight;
    Nodes[I].Core->publish(Record, Now);
  }
}

void MembershipBenchFleet::restart(std::size_t I) {
  ++Restarts;
  publishAll(I, BackendServerState::Draining);
  Nodes[I].Core->leave(Now);
  schedule(StopDelay - Duration(500),
           [this, I] { publishAll(I, BackendServerState::Gone); });
  schedule(StopDelay, [this, I] { stop(I); });
  schedule(StartDelay, [this, I] {
    start(I);
    publishAll(I, BackendServerState::Starting);
  });
  for (const SlowStartStep &Step : SlowStart)
    schedule(Step.Delay, [this, I, Weight = Step.Weight] {
      publishAll(I, BackendServerState::Ready, Weight);
    });
}

void MembershipBenchFleet::schedule(Duration Delay,
                                    std::function<void()> Action) {
  Events.push({Now + Delay, ++LastSequence, std::move(Action)});
}

void MembershipBenchFleet::advance(Duration Length) {
  Time End = Now + Length;
  while (Now < End) {
    Time Next = Now + TickInterval * (1.0 / TickPhases);
    while (!Events.empty() && Events.top().DueTime <= Next) {
      Now = std::max(Now, Events.top().DueTime);
      std::function<void()> Action = Events.top().Action;
      Events.pop();
      Action();
    }
    Now = Next;
    tickNextPhase();
  }
}

void MembershipBenchFleet::tickNextPhase() {
  Phase = (Phase + 1) % TickPhases;
  for (std::size_t I = Phase; I < Nodes.size(); I += TickPhases)
    if (Nodes[I].IsRunning)
      handleActions(I, timed([&] { return Nodes[I].Core->tick(Now); }));
}

bool MembershipBenchFleet::isStable(std::size_t I) const {
  return Nodes[I].IsRunning && Now - Nodes[I].StartedAt > DeathReportDelay;
}

void MembershipBenchFleet::handleActions(std::size_t I,
                                         const MembershipActions &Actions) {
  for (const MembershipAction &Action : Actions) {
    if (const auto *Out = std::get_if<SendDatagram>(&Action))
      send(I, *Out);
    if (const auto *Sync = std::get_if<StartSync>(&Action))
      sync(I, indexOf(Sync->Peer));
    // The simulated nodes fetch the pieces of a configuration at once.
    if (const auto *Update = std::get_if<ConfigHeadUpdated>(&Action))
      Nodes[I].Core->publishHead(Update->Head, Now);
    if (const auto *Change = std::get_if<NodeStateChanged>(&Action))
      if (Change->State == NodeState::Dead && isStable(indexOf(Change->Node)))
        ++FalseDeaths;
  }
}

void MembershipBenchFleet::send(std::size_t From, const SendDatagram &Out) {
  std::string Bytes = timed([&] { return encodeDatagram(Out.Message, Auth); });
  ++Datagrams;
  DatagramBytes += static_cast<double>(Bytes.size()) + UdpHeaderBytes;
  if (Random.uniform() < Options.LossRate)
    return;
  std::size_t To = indexOf(Out.Destination);
  // Latencies range from 0.5 ms within a failure domain to 12 ms between
  // regions.
  Duration Latency(0.5 + 11.5 * Random.uniform());
  schedule(Latency, [this, From, To, Bytes = std::move(Bytes)] {
    if (!Nodes[To].IsRunning)
      return;
    handleActions(To, timed([&] {
                    Result<Datagram> Decoded = decodeDatagram(Bytes, Auth);
                    return Nodes[To].Core->receive(
                        Decoded.value(), Nodes[From].Record.Address, Now);
                  }));
  });
}

void MembershipBenchFleet::sync(std::size_t From, std::size_t To) {
  auto Count = [this](const std::string &Bytes) {
    auto Size = static_cast<double>(Bytes.size());
    SyncBytes += Size + TcpHeaderBytes * (1 + Size / TcpSegmentBytes);
  };
  std::string Sent =
      timed([&] { return encodeDigest(Nodes[From].Core->digest()); });
  Count(Sent);
  schedule(Duration(5), [this, From, To, Count, Sent] {
    if (!Nodes[To].IsRunning)
      return;
    auto Parts = timed([&] {
      std::vector<std::string> Encoded;
      Digest Other = decodeDigest(Sent).value();
      for (const Delta &Part :
           Nodes[To].Core->deltasFor(Other, MaxDeltaRecords))
        Encoded.push_back(encodeDelta(Part));
      return Encoded;
    });
    for (const std::string &Part : Parts) {
      Count(Part);
      schedule(Duration(5), [this, From, Part] {
        if (Nodes[From].IsRunning)
          handleActions(From, timed([&] {
                          return Nodes[From].Core->apply(
                              decodeDelta(Part).value(), Now);
                        }));
      });
    }
  });
}

void MembershipBenchFleet::resetCounters() {
  CountingStart = Now;
  DatagramBytes = Datagrams = SyncBytes = CpuSeconds = 0;
  Restarts = FalseDeaths = 0;
}

MembershipCostRow MembershipBenchFleet::costs() const {
  MembershipCostRow Row;
  Row.Nodes = Nodes.size();
  Row.VirtualSeconds = (Now - CountingStart).ms() / 1000;
  double NodeSeconds = Row.VirtualSeconds * static_cast<double>(Nodes.size());
  Row.Restarts = Restarts;
  Row.DatagramBytes = DatagramBytes / NodeSeconds;
  Row.Datagrams = Datagrams / NodeSeconds;
  Row.SyncBytes = SyncBytes / NodeSeconds;
  Row.CpuPercent = CpuSeconds / NodeSeconds * 100;
  Row.FalseDeaths = FalseDeaths;
  return Row;
}

std::size_t MembershipBenchFleet::deathObservers(std::size_t I) const {
  std::size_t Count = 0;
  for (const Node &N : Nodes)
    if (N.IsRunning && N.Core->view()->Nodes->count(nodeName(I)) == 0)
      ++Count;
  return Count;
}

} // namespace teaselhitch
