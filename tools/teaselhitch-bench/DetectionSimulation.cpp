#include "DetectionSimulation.h"

#include "teaselhitch/Detection/Baseline.h"
#include "teaselhitch/Detection/GrayFailureControl.h"
#include "teaselhitch/Support/Random.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <queue>

namespace teaselhitch::bench {

namespace {

/// Run times are log-normally distributed with this median and this standard
/// deviation of the logarithm.
constexpr double MedianRunTimeMs = 50;
constexpr double RunTimeDeviation = 0.6;
constexpr double FailureRunTimeMs = 5;
/// Delay from a decision of a guard until the entries apply it.
constexpr double GossipDelayMs = 100;
/// One-way delay of requests to the table and of its replies.
constexpr double TableDelayMs = 5;
constexpr double TickIntervalMs = 100;
/// Share of requests that an entry sends to its own failure domain.
constexpr double LocalShare = 0.5;
/// The guard refuses requests that would wait longer for a slot.
constexpr double MaxWaitMs = 2000;
constexpr unsigned Organisations = 4;

constexpr double OverloadPeriodSeconds = 1200;
constexpr double OverloadSlowdown = 5;
constexpr double OverloadErrorRate = 0.3;
constexpr double OverloadShedRate = 0.2;
constexpr double ColdSeconds = 20;
constexpr double ColdSlowdown = 5;
constexpr double ColdErrorRate = 0.02;
constexpr double DeployIntervalSeconds = 30;
constexpr double DrainSeconds = 5;
constexpr double DowntimeSeconds = 10;

enum class EventKind : std::uint8_t {
  Arrival,
  Completion,
  TableArrival,
  TableReply,
  View,
  Tick,
  Deploy,
};

struct Event {
  double TimeMs;
  /// Number of the event by time of scheduling, which breaks ties.
  std::uint64_t Order;
  EventKind Kind;
  std::size_t Server = 0;
  /// For a completion: the entry and the organisation that sent the request,
  /// its outcome and its run time.
  std::size_t Entry = 0;
  std::size_t Organisation = 0;
  SampleOutcome Outcome = SampleOutcome::Succeeded;
  double RunTimeMs = 0;
  /// Step of a deployment, or key of a message in Requests or Replies.
  std::uint64_t Step = 0;
};

struct Later {
  bool operator()(const Event &A, const Event &B) const {
    return A.TimeMs != B.TimeMs ? A.TimeMs > B.TimeMs : A.Order > B.Order;
  }
};

class Simulation {
public:
  Simulation(const Scenario &S, bool StopAtDetection)
      : S(S), StopAtDetection(StopAtDetection), Random(S.Seed) {
    start();
  }

  ScenarioResult run() {
    const double EndMs = (S.WarmUp + S.Length) * 1000;
    while (!Queue.empty() && !Stopped && Queue.top().TimeMs < EndMs) {
      const Event E = Queue.top();
      Queue.pop();
      NowMs = E.TimeMs;
      handle(E);
    }
    const double ObservedSeconds = std::max(0.0, NowMs / 1000 - S.WarmUp);
    const unsigned Healthy = S.Servers - (expectsEjection() ? 1 : 0);
    Result.ServerDays = ObservedSeconds * Healthy / 86400;
    return Result;
  }

private:
  struct Instance {
    NodeName Node;
    FailureDomain Domain;
    std::unique_ptr<GrayFailureControl> Control;
    BackendServerRecord Record;
    /// Weight that the entries use, which lags behind Record.Weight.
    double KnownWeight = 100;
    std::uint64_t Incarnation = 1;
    double ReadySinceMs = 0;
    /// Time at which each slot becomes free.
    std::vector<double> SlotFreeMs;
  };

  struct EntryState {
    NodeName Node;
    FailureDomain Domain;
    BaselineTracker Statistics;
  };

  bool expectsEjection() const {
    return S.Fault == FaultKind::Failing || S.Fault == FaultKind::Slow ||
           S.Fault == FaultKind::Flapping;
  }
  Time now() const { return Time(NowMs); }
  double secondsSinceFault() const { return NowMs / 1000 - S.WarmUp; }

  void push(EventKind Kind, double DelayMs, Event E = {}) {
    E.Kind = Kind;
    E.TimeMs = NowMs + DelayMs;
    E.Order = NextOrder++;
    Queue.push(E);
  }

  void start() {
    ActiveConfig Config;
    Service Tickets;
    Tickets.Name = Name;
    Tickets.Floor = S.Servers / 2 + 1;
    Tickets.Preset = S.Preset;
    Tickets.Detector = S.Detector;
    Config.Objects.Services.push_back(Tickets);
    const auto Shared = std::make_shared<const ActiveConfig>(Config);
    Instances.resize(S.Servers);
    Entries.resize(std::max(S.Servers, S.Entries));
    for (std::size_t I = 0; I < Entries.size(); ++I)
      Entries[I] = {NodeName("n" + std::to_string(I)),
                    FailureDomain("d" + std::to_string(I % S.Domains)),
                    {}};
    for (std::size_t I = 0; I < Instances.size(); ++I)
      startInstance(I, Shared);
    publishView();
    push(EventKind::Arrival, 0);
    push(EventKind::Tick, TickIntervalMs);
    if (S.Fault == FaultKind::DeployWave)
      push(EventKind::Deploy, S.WarmUp * 1000);
  }

  void startInstance(std::size_t I,
                     const std::shared_ptr<const ActiveConfig> &Config) {
    Instance &In = Instances[I];
    In.Node = NodeName("n" + std::to_string(I));
    In.Domain = FailureDomain("d" + std::to_string(I % S.Domains));
    HealthSettings Health;
    Health.Node = In.Node;
    EjectionSettings Leases;
    Leases.Node = In.Node;
    Leases.Incarnation = 1;
    auto Created = GrayFailureControl::create(Health, Leases);
    In.Control = std::move(*Created);
    In.Record.Id = {In.Node, Server};
    In.Record.Service = Name;
    In.Record.Domain = In.Domain;
    In.Record.State = BackendServerState::Ready;
    In.SlotFreeMs.assign(S.Slots, 0);
    // In all other scenarios, the backend servers start warm.
    if (S.Fault != FaultKind::ColdStart)
      In.ReadySinceMs = -1e9;
    (void)In.Control->configure(Config, now());
    handle(I, In.Control->announced(Name, Server, BackendServerState::Ready, 1,
                                    Time(In.ReadySinceMs)));
  }

  void handle(const Event &E) {
    switch (E.Kind) {
    case EventKind::Arrival:
      handleArrival();
      break;
    case EventKind::Completion:
      handleCompletion(E);
      break;
    case EventKind::TableArrival:
      Replies[E.Step] = applyTableRequest(Requests[E.Step]);
      Requests.erase(E.Step);
      push(EventKind::TableReply, TableDelayMs, E);
      break;
    case EventKind::TableReply: {
      const TableReply Reply = Replies[E.Step];
      Replies.erase(E.Step);
      handle(E.Server, Instances[E.Server].Control->reply(Reply, now()));
      break;
    }
    case EventKind::View:
      publishView();
      break;
    case EventKind::Tick:
      for (std::size_t I = 0; I < Instances.size(); ++I) {
        // A guard and an entry of the same instance share a process, so the
        // guard reads the statistics of this entry directly.
        Instance &In = Instances[I];
        In.Control->dispatched(Name, In.Node,
                               Entries[I].Statistics.baseline(now()), now());
        handle(I, In.Control->tick(now()));
      }
      push(EventKind::Tick, TickIntervalMs);
      break;
    case EventKind::Deploy:
      handleDeployStep(E.Server, E.Step);
      break;
    }
  }

  void handle(std::size_t I, const ControlActions &Actions) {
    for (const ControlAction &Action : Actions) {
      if (const auto *Request = std::get_if<TableRequest>(&Action)) {
        Event E;
        E.Server = I;
        E.Step = NextOrder;
        Requests[E.Step] = *Request;
        push(EventKind::TableArrival, TableDelayMs, E);
      }
      if (const auto *Health = std::get_if<SetHealth>(&Action))
        setHealth(I, *Health);
    }
  }

  void setHealth(std::size_t I, const SetHealth &Health) {
    BackendServerRecord &Record = Instances[I].Record;
    const bool NewlyEjected = Health.Health == BackendServerHealth::Ejected &&
                              Record.Health != BackendServerHealth::Ejected;
    Record.Health = Health.Health;
    Record.Weight = Health.Weight;
    push(EventKind::View, GossipDelayMs);
    if (secondsSinceFault() < 0)
      return;
    const bool IsFaulty = expectsEjection() && I == 0;
    if (IsFaulty && Result.LoweredSeconds < 0 &&
        Health.Health != BackendServerHealth::Healthy)
      Result.LoweredSeconds = secondsSinceFault();
    if (!NewlyEjected)
      return;
    if (!IsFaulty) {
      ++Result.FalseEjections;
      return;
    }
    ++Result.Ejections;
    if (Result.DetectionSeconds >= 0)
      return;
    Result.DetectionSeconds = secondsSinceFault();
    Stopped = StopAtDetection;
  }

  void publishView() {
    ServiceView View;
    for (Instance &In : Instances) {
      View.push_back(In.Record);
      const bool IsHeld = In.Record.Health == BackendServerHealth::Ejected &&
                          In.Record.Weight <= HealthSettings().HoldWeight;
      In.KnownWeight = IsHeld || In.Record.State != BackendServerState::Ready
                           ? 0
                           : In.Record.Weight;
    }
    FleetView Fleet;
    Fleet.Services[Name] = std::make_shared<const ServiceView>(View);
    for (std::size_t I = 0; I < Instances.size(); ++I)
      handle(I, Instances[I].Control->view(Fleet, now()));
  }

  /// Chooses a backend server at random in proportion to the weights. With the
  /// probability LocalShare, only the failure domain of the entry is
  /// considered.
  std::size_t chooseServer(const EntryState &Entry) {
    const bool Local = Random.uniform() < LocalShare;
    double Sum = 0;
    const auto EffectiveWeight = [&](const Instance &In) {
      return Local && In.Domain != Entry.Domain ? 0 : In.KnownWeight;
    };
    for (const Instance &In : Instances)
      Sum += EffectiveWeight(In);
    if (Sum <= 0)
      return Random.uniformInt(Instances.size());
    double At = Random.uniform() * Sum;
    for (std::size_t I = 0; I < Instances.size(); ++I) {
      At -= EffectiveWeight(Instances[I]);
      if (At < 0)
        return I;
    }
    return Instances.size() - 1;
  }

  struct Behaviour {
    double ErrorRate;
    double Slowdown = 1;
    double ShedRate = 0;
  };

  Behaviour behaviour(std::size_t I, const EntryState &Entry) const {
    Behaviour B{S.ErrorRate};
    const double T = secondsSinceFault();
    if (NowMs - Instances[I].ReadySinceMs < ColdSeconds * 1000) {
      B.ErrorRate = ColdErrorRate;
      B.Slowdown = ColdSlowdown;
    }
    if (T < 0)
      return B;
    if (S.Fault == FaultKind::Overload &&
        std::fmod(T, OverloadPeriodSeconds) < OverloadPeriodSeconds / 2)
      return {OverloadErrorRate, OverloadSlowdown, OverloadShedRate};
    if (I != 0)
      return B;
    if (S.Fault == FaultKind::Failing)
      B.ErrorRate = S.FaultParameter;
    if (S.Fault == FaultKind::Slow)
      B.Slowdown = S.FaultParameter;
    if (S.Fault == FaultKind::OneDomain &&
        Entry.Domain ==
            Instances[static_cast<std::size_t>(S.FaultParameter)].Domain)
      B.ErrorRate = 1;
    if (S.Fault == FaultKind::Flapping &&
        std::fmod(T, S.FaultParameter) < S.FaultParameter / 2)
      B.ErrorRate = 1;
    return B;
  }

  double standardNormal() {
    const double U = 1 - Random.uniform();
    const double V = Random.uniform();
    return std::sqrt(-2 * std::log(U)) * std::cos(2 * 3.14159265358979 * V);
  }

  void handleArrival() {
    const double ArrivalsPerMs = S.Rate * S.Servers / 1000;
    push(EventKind::Arrival, -std::log(1 - Random.uniform()) / ArrivalsPerMs);
    const std::size_t EntryIndex = Random.uniformInt(Entries.size());
    const EntryState &Entry = Entries[EntryIndex];
    const std::size_t I = chooseServer(Entry);
    Instance &In = Instances[I];
    if (In.Record.State != BackendServerState::Ready)
      return;
    ++Result.Requests;
    In.Control->dispatched(Name, Entry.Node, Entry.Statistics.baseline(now()),
                           now());
    auto Slot = std::min_element(In.SlotFreeMs.begin(), In.SlotFreeMs.end());
    const double StartMs = std::max(NowMs, *Slot);
    if (StartMs - NowMs > MaxWaitMs)
      return;
    const Behaviour B = behaviour(I, Entry);
    Event E;
    E.Server = I;
    E.Entry = EntryIndex;
    E.Organisation = Random.uniformInt(Organisations);
    double RunTimeMs = MedianRunTimeMs *
                       std::exp(RunTimeDeviation * standardNormal()) *
                       B.Slowdown;
    if (Random.uniform() < B.ShedRate) {
      E.Outcome = SampleOutcome::Shed;
      RunTimeMs = 1;
    } else if (Random.uniform() < B.ErrorRate) {
      E.Outcome = SampleOutcome::Failed;
      RunTimeMs = FailureRunTimeMs;
    }
    E.RunTimeMs = RunTimeMs;
    *Slot = StartMs + RunTimeMs;
    push(EventKind::Completion, *Slot - NowMs, E);
  }

  void handleCompletion(const Event &E) {
    EntryState &Entry = Entries[E.Entry];
    RunSample R;
    R.Service = Name;
    R.Server = Server;
    R.Entry = Entry.Node;
    R.EntryDomain = Entry.Domain;
    R.Organisation = OrganisationNames[E.Organisation];
    R.Outcome = E.Outcome;
    R.RunTime = Duration(E.RunTimeMs);
    if (R.Outcome != SampleOutcome::Shed)
      Entry.Statistics.record(R.Outcome == SampleOutcome::Succeeded, R.RunTime,
                              now());
    handle(E.Server, Instances[E.Server].Control->sample(R, now()));
  }

  /// Performs one step of the deployment of instance \p I: 0 drains the backend
  /// server and schedules the next instance, 1 stops the server, 2 restarts it
  /// cold.
  void handleDeployStep(std::size_t I, std::uint64_t Step) {
    if (I >= Instances.size())
      return;
    Instance &In = Instances[I];
    Event Next;
    Next.Server = I;
    Next.Step = Step + 1;
    if (Step == 0) {
      In.Record.State = BackendServerState::Draining;
      push(EventKind::Deploy, DrainSeconds * 1000, Next);
      Event Other;
      Other.Server = I + 1;
      push(EventKind::Deploy, DeployIntervalSeconds * 1000, Other);
    } else if (Step == 1) {
      In.Record.State = BackendServerState::Gone;
      push(EventKind::Deploy, DowntimeSeconds * 1000, Next);
    } else {
      In.Record.State = BackendServerState::Ready;
      In.ReadySinceMs = NowMs;
      ++In.Incarnation;
    }
    handle(I, In.Control->announced(Name, Server, In.Record.State,
                                    In.Incarnation, now()));
    push(EventKind::View, GossipDelayMs);
  }

  /// Applies a request to the only row of the simulated table.
  TableReply applyTableRequest(const TableRequest &Request) {
    TableReply Reply{Request.Token, TableStatus::Ok, {Request.Key, "", 0}};
    if (Request.Operation == TableOperation::Read) {
      if (RowVersion == 0)
        Reply.Status = TableStatus::NotFound;
      Reply.Row = {Request.Key, Row, RowVersion};
      return Reply;
    }
    const bool Insert = Request.Operation == TableOperation::Insert;
    if (Insert ? RowVersion != 0 : Request.ExpectedVersion != RowVersion) {
      Reply.Status = TableStatus::Conflict;
      return Reply;
    }
    Row = Request.Value;
    Reply.Row.Version = ++RowVersion;
    return Reply;
  }

  const Scenario S;
  const bool StopAtDetection;
  const ServiceName Name{"tickets"};
  const BackendServerName Server{"server"};
  const std::vector<OrganisationName> OrganisationNames = {
      OrganisationName("o0"), OrganisationName("o1"), OrganisationName("o2"),
      OrganisationName("o3")};
  SeededRandom Random;
  std::priority_queue<Event, std::vector<Event>, Later> Queue;
  std::uint64_t NextOrder = 0;
  double NowMs = 0;
  bool Stopped = false;
  std::vector<Instance> Instances;
  std::vector<EntryState> Entries;
  /// Requests to the table and its replies that are in transit, by the Step of
  /// their event.
  std::map<std::uint64_t, TableRequest> Requests;
  std::map<std::uint64_t, TableReply> Replies;
  std::string Row;
  std::uint64_t RowVersion = 0;
  ScenarioResult Result;
};

} // namespace

ScenarioResult runScenario(const Scenario &S, bool StopAtDetection) {
  return Simulation(S, StopAtDetection).run();
}

} // namespace teaselhitch::bench
