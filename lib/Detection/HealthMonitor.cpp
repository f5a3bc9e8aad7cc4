#include "teaselhitch/Detection/HealthMonitor.h"

#include "PathContrast.h"
#include "teaselhitch/Detection/Baseline.h"

#include <algorithm>
#include <map>
#include <optional>

namespace teaselhitch {

namespace {

using detail::Cause;

/// A success this many times slower than the peers counts as bad in trials and
/// in the comparison of origins.
constexpr double SlowFactor = 3;
/// When the peers fail this often, the cause is not one backend server.
constexpr double ServiceFailureRate = 0.5;
/// Weights rise in steps, because each change of a record is gossiped.
constexpr std::uint32_t RampStep = 15;

enum class Phase : std::uint8_t {
  InUse,
  /// A lease is wanted.
  Wanted,
  /// Ejected, without requests.
  Held,
  /// Ejected, with trial requests.
  Trial,
  /// In use again, with a weight that grows.
  Ramp,
};

struct ServerState {
  ServiceName Service;
  std::uint64_t Incarnation = 0;
  bool Ready = false;
  Time ReadySince;
  std::unique_ptr<Detector> Judge;
  detail::PathContrast Paths;
  Phase At = Phase::InUse;
  Time PhaseSince;
  std::optional<Time> SuspectedSince;
  std::optional<Time> FailingSince;
  /// Samples since then.
  std::uint32_t SuspectedSamples = 0;
  Duration Hold;
  std::optional<Time> LastReadmission;
  std::uint32_t TrialSuccesses = 0;
  BackendServerHealth Health = BackendServerHealth::Healthy;
  std::uint32_t Weight = 100;
};

struct ServiceState {
  std::string DetectorName = "sequential";
  DetectionPreset Preset = DetectionPreset::Balanced;
  PeerFigures Peers;
  std::shared_ptr<const ServiceView> View;
};

class Monitor final : public HealthMonitor {
public:
  explicit Monitor(HealthSettings Settings) : Settings(std::move(Settings)) {}

  Result<void> configure(const ObjectSet &Objects, Time Now) override;
  HealthActions announced(const ServiceName &Service,
                          const BackendServerName &Server,
                          BackendServerState State, std::uint64_t Incarnation,
                          Time Now) override;
  void view(const ServiceName &Service,
            std::shared_ptr<const ServiceView> View) override {
    Services[Service].View = std::move(View);
  }
  void baseline(const ServiceName &Service, const NodeName &Entry,
                const ServiceBaseline &Figures, Time Now) override {
    Services[Service].Peers.receive(Entry, Figures, Now);
  }
  HealthActions sample(const RunSample &S, Time Now) override;
  HealthActions ejected(const BackendServerName &Server, Time Now) override;
  HealthActions readmitted(const BackendServerName &Server, ReadmitReason Why,
                           Time Now) override;
  HealthActions tick(Time Now) override;
  std::vector<MonitoredServer> status(Time Now) const override;

private:
  void renewDetector(ServerState &Server) const;
  void publish(const BackendServerName &Name, ServerState &Server,
               BackendServerHealth Health, std::uint32_t Weight,
               std::string Why, HealthActions &Actions) const;
  void enter(ServerState &Server, Phase Next, Time Now) const {
    Server.At = Next;
    Server.PhaseSince = Now;
  }
  bool isCold(const ServerState &Server, Time Now) const {
    return Server.At == Phase::Ramp ||
           Now - Server.ReadySince < Settings.ColdTime;
  }
  /// Ready backend servers of the service and those that look bad.
  struct Census {
    std::size_t Known = 0;
    std::size_t Bad = 0;
  };
  Census census(const ServerState &Server, Time Now) const;
  bool isServiceBad(const BackendServerName &Name, const ServerState &Server,
                    Time Now);
  std::uint32_t rampWeight(const ServerState &Server, Time Now) const;
  void evaluate(const BackendServerName &Name, ServerState &Server, Time Now,
                HealthActions &Actions);
  void suspect(const BackendServerName &Name, ServerState &Server, Time Now,
               HealthActions &Actions);
  void clear(const BackendServerName &Name, ServerState &Server, Time Now,
             HealthActions &Actions);
  void fail(const BackendServerName &Name, ServerState &Server, Time Now,
            HealthActions &Actions);
  Cause causeOf(const BackendServerName &Name, ServerState &Server, Time Now);
  void trialEnded(const BackendServerName &Name, ServerState &Server, bool Bad,
                  Time Now, HealthActions &Actions);

  HealthSettings Settings;
  std::map<ServiceName, ServiceState> Services;
  std::map<BackendServerName, ServerState> Servers;
};

void Monitor::renewDetector(ServerState &Server) const {
  auto It = Services.find(Server.Service);
  const ServiceState Default;
  const std::string &Name =
      It == Services.end() ? Default.DetectorName : It->second.DetectorName;
  const DetectionPreset Preset =
      It == Services.end() ? Default.Preset : It->second.Preset;
  Server.Judge =
      handleError([&] { return createDetector(Name, Preset); },
                  [](const Error &) { return std::unique_ptr<Detector>(); });
}

Result<void> Monitor::configure(const ObjectSet &Objects, Time /*Now*/) {
  for (const Service &S : Objects.Services) {
    auto Detector = createDetector(S.Detector, S.Preset);
    if (!Detector)
      return Detector.error();
  }
  for (const Service &S : Objects.Services) {
    ServiceState &State = Services[S.Name];
    if (State.DetectorName == S.Detector && State.Preset == S.Preset)
      continue;
    State.DetectorName = S.Detector;
    State.Preset = S.Preset;
    for (auto &[Name, Server] : Servers)
      if (Server.Service == S.Name)
        renewDetector(Server);
  }
  return {};
}

void Monitor::publish(const BackendServerName &Name, ServerState &Server,
                      BackendServerHealth Health, std::uint32_t Weight,
                      std::string Why, HealthActions &Actions) const {
  if (Server.Health == Health && Server.Weight == Weight)
    return;
  Server.Health = Health;
  Server.Weight = Weight;
  Actions.emplace_back(SetHealth{Name, Health, Weight, std::move(Why)});
}

HealthActions Monitor::announced(const ServiceName &Service,
                                 const BackendServerName &Server,
                                 BackendServerState State,
                                 std::uint64_t Incarnation, Time Now) {
  HealthActions Actions;
  const bool Ready = State == BackendServerState::Ready;
  auto It = Servers.find(Server);
  const bool Known = It != Servers.end();
  const bool Restarted = Known && (It->second.Incarnation != Incarnation ||
                                   It->second.Service != Service);
  if (Known && (Restarted || !Ready) && It->second.At != Phase::InUse &&
      It->second.At != Phase::Ramp)
    Actions.emplace_back(WantReadmission{It->second.Service, Server});
  if (State == BackendServerState::Gone) {
    if (Known) {
      Services[It->second.Service].Peers.forget(Server);
      Servers.erase(It);
    }
    return Actions;
  }
  if (!Known || Restarted) {
    ServerState Fresh;
    Fresh.Service = Service;
    Fresh.Incarnation = Incarnation;
    Fresh.PhaseSince = Now;
    Fresh.Hold = Settings.FirstHold;
    if (Known) {
      Fresh.Health = It->second.Health;
      Fresh.Weight = It->second.Weight;
    }
    renewDetector(Fresh);
    It = Servers.insert_or_assign(Server, std::move(Fresh)).first;
    publish(Server, It->second, BackendServerHealth::Healthy, 100,
            "started anew", Actions);
  }
  if (Ready && !It->second.Ready)
    It->second.ReadySince = Now;
  It->second.Ready = Ready;
  return Actions;
}

Monitor::Census Monitor::census(const ServerState &Server, Time Now) const {
  Census Result;
  const auto Service = Services.find(Server.Service);
  if (Service == Services.end() || !Service->second.View)
    return Result;
  for (const BackendServerRecord &Record : *Service->second.View) {
    if (Record.State != BackendServerState::Ready)
      continue;
    ++Result.Known;
    auto Own = Servers.find(Record.Id.Name);
    const bool IsOwn = Record.Id.Node == Settings.Node && Own != Servers.end();
    const bool IsBad =
        IsOwn ? Own->second.Health != BackendServerHealth::Healthy ||
                    (Own->second.Judge &&
                     Own->second.Judge->verdict(Now) != Verdict::Healthy)
              : Record.Health != BackendServerHealth::Healthy;
    Result.Bad += IsBad ? 1 : 0;
  }
  return Result;
}

bool Monitor::isServiceBad(const BackendServerName &Name,
                           const ServerState &Server, Time Now) {
  PeerFigures &Peers = Services[Server.Service].Peers;
  if (Peers.without(Name, Now).ErrorRate >= ServiceFailureRate)
    return true;
  const Census Count = census(Server, Now);
  if (Count.Bad * 2 > Count.Known)
    return true;
  if (Peers.newestWeight(Name, Now) >= Settings.EnoughPeerRequests)
    return false;
  const double Allowed = std::max<double>(
      Settings.SparseBadCount, Settings.SparseBadShare * double(Count.Known));
  return Now - *Server.FailingSince < Settings.SparseDelay ||
         double(Count.Bad) - 1 > Allowed;
}

Cause Monitor::causeOf(const BackendServerName &Name, ServerState &Server,
                       Time Now) {
  const ServiceBaseline Peers =
      Services[Server.Service].Peers.without(Name, Now);
  const Evidence Found = Server.Judge->evidence(Now);
  return Server.Paths.judge(Found.Kind, Found.Since, Peers.ErrorRate, Now);
}

std::uint32_t Monitor::rampWeight(const ServerState &Server, Time Now) const {
  if (Server.At != Phase::Ramp)
    return 100;
  const double Part = (Now - Server.PhaseSince).ms() / Settings.SlowStart.ms();
  const auto Steps = static_cast<std::uint32_t>(Part * (100.0 / RampStep));
  return std::min(100U, Settings.TrialWeight + Steps * RampStep);
}

void Monitor::evaluate(const BackendServerName &Name, ServerState &Server,
                       Time Now, HealthActions &Actions) {
  if (!Server.Judge || Server.At == Phase::Held || Server.At == Phase::Trial)
    return;
  switch (Server.Judge->verdict(Now)) {
  case Verdict::Healthy:
    Server.FailingSince.reset();
    clear(Name, Server, Now, Actions);
    return;
  case Verdict::Suspected:
    Server.FailingSince.reset();
    suspect(Name, Server, Now, Actions);
    return;
  case Verdict::Failing:
    if (!Server.FailingSince)
      Server.FailingSince = Now;
    fail(Name, Server, Now, Actions);
    return;
  }
}

void Monitor::clear(const BackendServerName &Name, ServerState &Server,
                    Time Now, HealthActions &Actions) {
  Server.SuspectedSince.reset();
  Server.SuspectedSamples = 0;
  if (Server.At == Phase::Wanted) {
    enter(Server, Phase::InUse, Now);
    Actions.emplace_back(WantReadmission{Server.Service, Name});
  }
  publish(Name, Server, BackendServerHealth::Healthy, rampWeight(Server, Now),
          "no evidence of a failure", Actions);
}

void Monitor::suspect(const BackendServerName &Name, ServerState &Server,
                      Time Now, HealthActions &Actions) {
  if (!Server.SuspectedSince) {
    Server.SuspectedSince = Now;
    Server.SuspectedSamples = 0;
  }
  if (Server.Health != BackendServerHealth::Healthy ||
      Now - *Server.SuspectedSince < Settings.SuspicionDelay ||
      Server.SuspectedSamples < Settings.SuspicionSamples)
    return;
  const Cause Why = causeOf(Name, Server, Now);
  if (Why == Cause::Path)
    Server.Judge->reset(Now);
  if (Why == Cause::Server)
    publish(Name, Server, BackendServerHealth::Suspected,
            Settings.SuspectedWeight, Server.Judge->evidence(Now).Text,
            Actions);
}

void Monitor::fail(const BackendServerName &Name, ServerState &Server, Time Now,
                   HealthActions &Actions) {
  if (!Server.SuspectedSince)
    Server.SuspectedSince = Now;
  if (Server.At == Phase::Wanted)
    return;
  const Cause Why = causeOf(Name, Server, Now);
  if (Why == Cause::Path) {
    Server.Judge->reset(Now);
    clear(Name, Server, Now, Actions);
    return;
  }
  if (Why == Cause::Unclear)
    return;
  publish(Name, Server, BackendServerHealth::Suspected,
          Settings.SuspectedWeight, Server.Judge->evidence(Now).Text, Actions);
  if (isServiceBad(Name, Server, Now))
    return;
  enter(Server, Phase::Wanted, Now);
  Actions.emplace_back(WantEjection{Server.Service, Name});
}

HealthActions Monitor::sample(const RunSample &S, Time Now) {
  HealthActions Actions;
  auto It = Servers.find(S.Server);
  if (It == Servers.end() || S.End == SampleEnd::Shed ||
      S.End == SampleEnd::CallerGone ||
      (S.End == SampleEnd::Crashed && S.MarkedRequest))
    return Actions;
  ServerState &Server = It->second;
  PeerFigures &Figures = Services[Server.Service].Peers;
  const bool Success = S.End == SampleEnd::Succeeded;
  Figures.record(S.Server, S.Entry, Success, S.RunTime, Now);
  const ServiceBaseline Peers = Figures.without(S.Server, Now);
  const bool Slow =
      Peers.RunTimeMs > 0 && S.RunTime.ms() > SlowFactor * Peers.RunTimeMs;
  const bool Bad = !Success || Slow;
  const detail::Origin From = detail::originOf(S);
  if (Server.At == Phase::Held)
    return Actions;
  if (!Server.Paths.add(From, !Success, Slow, Peers.ErrorRate, Now))
    return Actions;
  if (Server.At == Phase::Trial) {
    trialEnded(S.Server, Server, Bad, Now, Actions);
    return Actions;
  }
  if (!Server.Judge)
    return Actions;
  const double Weight = isCold(Server, Now) ? Settings.ColdSampleWeight : 1;
  ++Server.SuspectedSamples;
  Server.Judge->observe({Success, S.RunTime, Weight}, Peers, Now);
  evaluate(S.Server, Server, Now, Actions);
  return Actions;
}

void Monitor::trialEnded(const BackendServerName &Name, ServerState &Server,
                         bool Bad, Time Now, HealthActions &Actions) {
  if (!Bad) {
    if (++Server.TrialSuccesses == Settings.TrialSuccesses)
      Actions.emplace_back(WantReadmission{Server.Service, Name});
    return;
  }
  Server.Hold = std::min(Server.Hold * 2, Settings.LongestHold);
  enter(Server, Phase::Held, Now);
  publish(Name, Server, BackendServerHealth::Ejected, Settings.HoldWeight,
          "a trial request failed", Actions);
}

HealthActions Monitor::ejected(const BackendServerName &Server, Time Now) {
  HealthActions Actions;
  auto It = Servers.find(Server);
  if (It == Servers.end() || It->second.At != Phase::Wanted)
    return Actions;
  ServerState &State = It->second;
  const bool Relapse = State.LastReadmission &&
                       Now - *State.LastReadmission < Settings.RelapseTime;
  State.Hold = Relapse ? std::min(State.Hold * 2, Settings.LongestHold)
                       : Settings.FirstHold;
  enter(State, Phase::Held, Now);
  publish(Server, State, BackendServerHealth::Ejected, Settings.HoldWeight,
          State.Judge->evidence(Now).Text, Actions);
  return Actions;
}

HealthActions Monitor::readmitted(const BackendServerName &Server,
                                  ReadmitReason Why, Time Now) {
  HealthActions Actions;
  auto It = Servers.find(Server);
  if (It == Servers.end() ||
      (It->second.At != Phase::Held && It->second.At != Phase::Trial))
    return Actions;
  ServerState &State = It->second;
  State.LastReadmission = Now;
  State.SuspectedSince.reset();
  State.SuspectedSamples = 0;
  if (Why != ReadmitReason::Requested) {
    // The evidence stands, but without a lease the backend server is in use.
    enter(State, Phase::InUse, Now);
    publish(Server, State, BackendServerHealth::Suspected,
            Settings.SuspectedWeight, readmitReasonName(Why), Actions);
    return Actions;
  }
  enter(State, Phase::Ramp, Now);
  State.Judge->reset(Now);
  State.Paths.reset();
  publish(Server, State, BackendServerHealth::Healthy, rampWeight(State, Now),
          "trial requests succeeded", Actions);
  return Actions;
}

HealthActions Monitor::tick(Time Now) {
  HealthActions Actions;
  for (auto &[Name, Server] : Servers) {
    if (Server.At == Phase::Held && Now - Server.PhaseSince >= Server.Hold) {
      enter(Server, Phase::Trial, Now);
      Server.TrialSuccesses = 0;
      publish(Name, Server, BackendServerHealth::Ejected, Settings.TrialWeight,
              "trial requests begin", Actions);
    }
    if (Server.At == Phase::Ramp &&
        Now - Server.PhaseSince >= Settings.SlowStart)
      enter(Server, Phase::InUse, Now);
    evaluate(Name, Server, Now, Actions);
  }
  return Actions;
}

std::vector<MonitoredServer> Monitor::status(Time Now) const {
  std::vector<MonitoredServer> Result;
  for (const auto &[Name, Server] : Servers) {
    MonitoredServer Item;
    Item.Server = Name;
    Item.Service = Server.Service;
    Item.Health = Server.Health;
    Item.Weight = Server.Weight;
    if (Server.Judge) {
      const Evidence Found = Server.Judge->evidence(Now);
      Item.Found = Server.Judge->verdict(Now);
      Item.Score = Found.Score;
      Item.Evidence = Found.Text;
    }
    Result.push_back(std::move(Item));
  }
  return Result;
}

} // namespace

Result<std::unique_ptr<HealthMonitor>>
HealthMonitor::create(HealthSettings Settings) {
  if (Settings.Node.empty())
    return makeError(ErrorCode::InvalidInput, "node has no name");
  if (Settings.TrialWeight <= Settings.HoldWeight)
    return makeError(ErrorCode::InvalidInput,
                     "trial weight must be above the hold weight");
  return std::unique_ptr<HealthMonitor>(
      std::make_unique<Monitor>(std::move(Settings)));
}

} // namespace teaselhitch
