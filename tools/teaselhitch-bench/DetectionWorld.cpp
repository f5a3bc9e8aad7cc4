#include "DetectionWorld.h"

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

/// Run times are log-normal with this median and deviation of the logarithm.
constexpr double MedianRunTimeMs = 50;
constexpr double RunTimeDeviation = 0.6;
constexpr double FailureRunTimeMs = 5;
/// From a decision at a guard to the entries.
constexpr double GossipMs = 100;
/// One way to the table and back.
constexpr double TableMs = 5;
constexpr double TickMs = 100;
/// Share of requests that the entry keeps in its failure domain.
constexpr double LocalShare = 0.5;
/// Requests that would wait longer are refused by the guard.
constexpr double LongestWaitMs = 2000;
constexpr unsigned Organisations = 4;

constexpr double OverloadPeriod = 1200;
constexpr double OverloadSlowdown = 5;
constexpr double OverloadErrors = 0.3;
constexpr double OverloadShed = 0.2;
constexpr double ColdSeconds = 20;
constexpr double ColdSlowdown = 5;
constexpr double ColdErrors = 0.02;
constexpr double DeployInterval = 30;
constexpr double DrainSeconds = 5;
constexpr double AwaySeconds = 10;

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
  double AtMs;
  std::uint64_t Order;
  EventKind Kind;
  std::size_t Server = 0;
  /// Of a completion: the entry, the organisation and the result.
  std::size_t Entry = 0;
  std::size_t Organisation = 0;
  SampleOutcome End = SampleOutcome::Succeeded;
  double RunTimeMs = 0;
  /// Step of a deployment, or key of a table message.
  std::uint64_t Step = 0;
};

struct Later {
  bool operator()(const Event &A, const Event &B) const {
    return A.AtMs != B.AtMs ? A.AtMs > B.AtMs : A.Order > B.Order;
  }
};

class World {
public:
  World(const Scenario &S, bool StopAtDetection)
      : S(S), StopAtDetection(StopAtDetection), Random(S.Seed) {
    start();
  }

  Findings run() {
    const double EndMs = (S.WarmUp + S.Length) * 1000;
    while (!Queue.empty() && !Stopped && Queue.top().AtMs < EndMs) {
      const Event E = Queue.top();
      Queue.pop();
      NowMs = E.AtMs;
      handle(E);
    }
    const double Watched = std::max(0.0, NowMs / 1000 - S.WarmUp);
    const unsigned Healthy = S.Servers - (hasOneFault() ? 1 : 0);
    Found.ServerDays = Watched * Healthy / 86400;
    return Found;
  }

private:
  struct Instance {
    NodeName Node;
    FailureDomain Domain;
    std::unique_ptr<GrayFailureControl> Control;
    BackendServerRecord Record;
    /// Weight that the entries know.
    double KnownWeight = 100;
    std::uint64_t Incarnation = 1;
    double ReadySinceMs = 0;
    std::vector<double> SlotFreeMs;
  };

  struct EntryState {
    NodeName Node;
    FailureDomain Domain;
    BaselineTracker Figures;
  };

  bool hasOneFault() const {
    return S.Fault == FaultKind::Failing || S.Fault == FaultKind::Slow ||
           S.Fault == FaultKind::Flapping;
  }
  Time now() const { return Time(NowMs); }
  double faultSeconds() const { return NowMs / 1000 - S.WarmUp; }

  void push(EventKind Kind, double DelayMs, Event E = {}) {
    E.Kind = Kind;
    E.AtMs = NowMs + DelayMs;
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
    sendView();
    push(EventKind::Arrival, 0);
    push(EventKind::Tick, TickMs);
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
    // Only the row about cold starts begins with them.
    if (S.Fault != FaultKind::ColdStart)
      In.ReadySinceMs = -1e9;
    (void)In.Control->configure(Config, now());
    handle(I, In.Control->announced(Name, Server, BackendServerState::Ready, 1,
                                    Time(In.ReadySinceMs)));
  }

  void handle(const Event &E) {
    switch (E.Kind) {
    case EventKind::Arrival:
      arrive();
      break;
    case EventKind::Completion:
      complete(E);
      break;
    case EventKind::TableArrival:
      Replies[E.Step] = apply(Requests[E.Step]);
      Requests.erase(E.Step);
      push(EventKind::TableReply, TableMs, E);
      break;
    case EventKind::TableReply: {
      const TableReply Reply = Replies[E.Step];
      Replies.erase(E.Step);
      handle(E.Server, Instances[E.Server].Control->reply(Reply, now()));
      break;
    }
    case EventKind::View:
      sendView();
      break;
    case EventKind::Tick:
      for (std::size_t I = 0; I < Instances.size(); ++I) {
        // The guard reads the figures of the entry in its own process.
        Instance &In = Instances[I];
        In.Control->dispatched(Name, In.Node,
                               Entries[I].Figures.baseline(now()), now());
        handle(I, In.Control->tick(now()));
      }
      push(EventKind::Tick, TickMs);
      break;
    case EventKind::Deploy:
      deploy(E.Server, E.Step);
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
        push(EventKind::TableArrival, TableMs, E);
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
    push(EventKind::View, GossipMs);
    if (faultSeconds() < 0)
      return;
    const bool IsFaulty = hasOneFault() && I == 0;
    if (IsFaulty && Found.Lowered < 0 &&
        Health.Health != BackendServerHealth::Healthy)
      Found.Lowered = faultSeconds();
    if (!NewlyEjected)
      return;
    if (!IsFaulty) {
      ++Found.FalseEjections;
      return;
    }
    ++Found.Ejections;
    if (Found.Detection >= 0)
      return;
    Found.Detection = faultSeconds();
    Stopped = StopAtDetection;
  }

  void sendView() {
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

  /// Chooses by weight, in the entry's own domain half of the time.
  std::size_t choose(const EntryState &Entry) {
    const bool Local = Random.uniform() < LocalShare;
    double Sum = 0;
    const auto WeightOf = [&](const Instance &In) {
      return Local && In.Domain != Entry.Domain ? 0 : In.KnownWeight;
    };
    for (const Instance &In : Instances)
      Sum += WeightOf(In);
    if (Sum <= 0)
      return Random.uniformInt(Instances.size());
    double At = Random.uniform() * Sum;
    for (std::size_t I = 0; I < Instances.size(); ++I) {
      At -= WeightOf(Instances[I]);
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
    const double T = faultSeconds();
    if (NowMs - Instances[I].ReadySinceMs < ColdSeconds * 1000) {
      B.ErrorRate = ColdErrors;
      B.Slowdown = ColdSlowdown;
    }
    if (T < 0)
      return B;
    if (S.Fault == FaultKind::Overload &&
        std::fmod(T, OverloadPeriod) < OverloadPeriod / 2)
      return {OverloadErrors, OverloadSlowdown, OverloadShed};
    if (I != 0)
      return B;
    if (S.Fault == FaultKind::Failing)
      B.ErrorRate = S.Size;
    if (S.Fault == FaultKind::Slow)
      B.Slowdown = S.Size;
    if (S.Fault == FaultKind::OneDomain &&
        Entry.Domain == Instances[static_cast<std::size_t>(S.Size)].Domain)
      B.ErrorRate = 1;
    if (S.Fault == FaultKind::Flapping && std::fmod(T, S.Size) < S.Size / 2)
      B.ErrorRate = 1;
    return B;
  }

  double gauss() {
    const double U = 1 - Random.uniform();
    const double V = Random.uniform();
    return std::sqrt(-2 * std::log(U)) * std::cos(2 * 3.14159265358979 * V);
  }

  void arrive() {
    const double PerMs = S.Rate * S.Servers / 1000;
    push(EventKind::Arrival, -std::log(1 - Random.uniform()) / PerMs);
    const std::size_t From = Random.uniformInt(Entries.size());
    const EntryState &Entry = Entries[From];
    const std::size_t I = choose(Entry);
    Instance &In = Instances[I];
    if (In.Record.State != BackendServerState::Ready)
      return;
    ++Found.Requests;
    In.Control->dispatched(Name, Entry.Node, Entry.Figures.baseline(now()),
                           now());
    auto Slot = std::min_element(In.SlotFreeMs.begin(), In.SlotFreeMs.end());
    const double StartMs = std::max(NowMs, *Slot);
    if (StartMs - NowMs > LongestWaitMs)
      return;
    const Behaviour B = behaviour(I, Entry);
    Event E;
    E.Server = I;
    E.Entry = From;
    E.Organisation = Random.uniformInt(Organisations);
    double RunTimeMs =
        MedianRunTimeMs * std::exp(RunTimeDeviation * gauss()) * B.Slowdown;
    if (Random.uniform() < B.ShedRate) {
      E.End = SampleOutcome::Shed;
      RunTimeMs = 1;
    } else if (Random.uniform() < B.ErrorRate) {
      E.End = SampleOutcome::Failed;
      RunTimeMs = FailureRunTimeMs;
    }
    E.RunTimeMs = RunTimeMs;
    *Slot = StartMs + RunTimeMs;
    push(EventKind::Completion, *Slot - NowMs, E);
  }

  void complete(const Event &E) {
    EntryState &Entry = Entries[E.Entry];
    RunSample R;
    R.Service = Name;
    R.Server = Server;
    R.Entry = Entry.Node;
    R.EntryDomain = Entry.Domain;
    R.Organisation = OrganisationNames[E.Organisation];
    R.Outcome = E.End;
    R.RunTime = Duration(E.RunTimeMs);
    if (R.Outcome != SampleOutcome::Shed)
      Entry.Figures.record(R.Outcome == SampleOutcome::Succeeded, R.RunTime,
                           now());
    handle(E.Server, Instances[E.Server].Control->sample(R, now()));
  }

  /// Steps 0 to 2: drain, go away, come back cold.
  void deploy(std::size_t I, std::uint64_t Step) {
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
      push(EventKind::Deploy, DeployInterval * 1000, Other);
    } else if (Step == 1) {
      In.Record.State = BackendServerState::Gone;
      push(EventKind::Deploy, AwaySeconds * 1000, Next);
    } else {
      In.Record.State = BackendServerState::Ready;
      In.ReadySinceMs = NowMs;
      ++In.Incarnation;
    }
    handle(I, In.Control->announced(Name, Server, In.Record.State,
                                    In.Incarnation, now()));
    push(EventKind::View, GossipMs);
  }

  TableReply apply(const TableRequest &Request) {
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
  /// Messages from and to the table that are under way.
  std::map<std::uint64_t, TableRequest> Requests;
  std::map<std::uint64_t, TableReply> Replies;
  std::string Row;
  std::uint64_t RowVersion = 0;
  Findings Found;
};

} // namespace

Findings runScenario(const Scenario &S, bool StopAtDetection) {
  return World(S, StopAtDetection).run();
}

} // namespace teaselhitch::bench
