#include "teaselhitch/Detection/HealthMonitor.h"

#include "OriginComparison.h"
#include "teaselhitch/Detection/Baseline.h"

#include <algorithm>
#include <map>
#include <optional>

namespace teaselhitch {

namespace {

using detail::Cause;

/// A successful request that takes this many times the peers' mean run time
/// counts as bad in trials and in the comparison of origins.
constexpr double SlowFactor = 3;
/// At this error rate of the peers, the cause is the service as a whole and not
/// one backend server.
constexpr double ServiceFailureRate = 0.5;
/// Weight increase per step of the slow start, in percent. The weight rises in
/// steps because each change of a record is gossiped.
constexpr std::uint32_t SlowStartStepPercent = 15;

enum class Phase : std::uint8_t {
  InUse,
  /// In use; an ejection lease was requested.
  Pending,
  /// Ejected and receives no requests.
  Hold,
  /// Ejected and receives trial requests.
  Trial,
  /// In use again with a gradually increasing weight.
  SlowStart,
};

struct ServerState {
  ServiceName Service;
  std::uint64_t Incarnation = 0;
  bool Ready = false;
  Time ReadySince;
  std::unique_ptr<Detector> FailureDetector;
  detail::OriginComparison Origins;
  Phase CurrentPhase = Phase::InUse;
  Time PhaseSince;
  std::optional<Time> SuspectedSince;
  std::optional<Time> FailingSince;
  /// Number of samples since SuspectedSince.
  std::uint32_t SuspectedSamples = 0;
  Duration HoldTime;
  std::optional<Time> LastReadmission;
  std::uint32_t TrialSuccesses = 0;
  BackendServerHealth Health = BackendServerHealth::Healthy;
  std::uint32_t Weight = 100;
};

struct ServiceState {
  std::string DetectorName = "sequential";
  DetectionPreset Preset = DetectionPreset::Balanced;
  PeerStatistics Peers;
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
                const ServiceBaseline &Statistics, Time Now) override {
    Services[Service].Peers.receive(Entry, Statistics, Now);
  }
  HealthActions sample(const RunSample &S, Time Now) override;
  HealthActions ejected(const BackendServerName &Server, Time Now) override;
  HealthActions readmitted(const BackendServerName &Server,
                           ReadmitReason Reason, Time Now) override;
  HealthActions tick(Time Now) override;
  std::vector<MonitoredServer> status(Time Now) const override;

private:
  void replaceDetector(ServerState &Server) const;
  void publish(const BackendServerName &Name, ServerState &Server,
               BackendServerHealth Health, std::uint32_t Weight,
               std::string Reason, HealthActions &Actions) const;
  void setPhase(ServerState &Server, Phase Next, Time Now) const {
    Server.CurrentPhase = Next;
    Server.PhaseSince = Now;
  }
  bool isCold(const ServerState &Server, Time Now) const {
    return Server.CurrentPhase == Phase::SlowStart ||
           Now - Server.ReadySince < Settings.ColdPeriod;
  }
  /// Numbers of all ready and of the unhealthy ready backend servers of the
  /// service.
  struct HealthCounts {
    std::size_t Total = 0;
    std::size_t Unhealthy = 0;
  };
  HealthCounts countServers(const ServerState &Server, Time Now) const;
  bool isServiceUnhealthy(const BackendServerName &Name,
                          const ServerState &Server, Time Now);
  std::uint32_t slowStartWeight(const ServerState &Server, Time Now) const;
  void evaluate(const BackendServerName &Name, ServerState &Server, Time Now,
                HealthActions &Actions);
  void handleSuspected(const BackendServerName &Name, ServerState &Server,
                       Time Now, HealthActions &Actions);
  void handleHealthy(const BackendServerName &Name, ServerState &Server,
                     Time Now, HealthActions &Actions);
  void handleFailing(const BackendServerName &Name, ServerState &Server,
                     Time Now, HealthActions &Actions);
  Cause causeOf(const BackendServerName &Name, ServerState &Server, Time Now);
  void handleTrial(const BackendServerName &Name, ServerState &Server, bool Bad,
                   Time Now, HealthActions &Actions);

  HealthSettings Settings;
  std::map<ServiceName, ServiceState> Services;
  std::map<BackendServerName, ServerState> Servers;
};

void Monitor::replaceDetector(ServerState &Server) const {
  auto It = Services.find(Server.Service);
  const ServiceState Default;
  const std::string &Name =
      It == Services.end() ? Default.DetectorName : It->second.DetectorName;
  const DetectionPreset Preset =
      It == Services.end() ? Default.Preset : It->second.Preset;
  Server.FailureDetector =
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
        replaceDetector(Server);
  }
  return {};
}

void Monitor::publish(const BackendServerName &Name, ServerState &Server,
                      BackendServerHealth Health, std::uint32_t Weight,
                      std::string Reason, HealthActions &Actions) const {
  if (Server.Health == Health && Server.Weight == Weight)
    return;
  Server.Health = Health;
  Server.Weight = Weight;
  Actions.emplace_back(SetHealth{Name, Health, Weight, std::move(Reason)});
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
  if (Known && (Restarted || !Ready) &&
      It->second.CurrentPhase != Phase::InUse &&
      It->second.CurrentPhase != Phase::SlowStart)
    Actions.emplace_back(RequestReadmission{It->second.Service, Server});
  if (State == BackendServerState::Gone) {
    if (Known) {
      Services[It->second.Service].Peers.remove(Server);
      Servers.erase(It);
    }
    return Actions;
  }
  if (!Known || Restarted) {
    ServerState NewState;
    NewState.Service = Service;
    NewState.Incarnation = Incarnation;
    NewState.PhaseSince = Now;
    NewState.HoldTime = Settings.InitialHold;
    if (Known) {
      NewState.Health = It->second.Health;
      NewState.Weight = It->second.Weight;
    }
    replaceDetector(NewState);
    It = Servers.insert_or_assign(Server, std::move(NewState)).first;
    publish(Server, It->second, BackendServerHealth::Healthy, 100,
            "started anew", Actions);
  }
  if (Ready && !It->second.Ready)
    It->second.ReadySince = Now;
  It->second.Ready = Ready;
  return Actions;
}

Monitor::HealthCounts Monitor::countServers(const ServerState &Server,
                                            Time Now) const {
  HealthCounts Result;
  const auto Service = Services.find(Server.Service);
  if (Service == Services.end() || !Service->second.View)
    return Result;
  for (const BackendServerRecord &Record : *Service->second.View) {
    if (Record.State != BackendServerState::Ready)
      continue;
    ++Result.Total;
    auto Own = Servers.find(Record.Id.Name);
    const bool IsOwn = Record.Id.Node == Settings.Node && Own != Servers.end();
    const bool IsUnhealthy =
        IsOwn ? Own->second.Health != BackendServerHealth::Healthy ||
                    (Own->second.FailureDetector &&
                     Own->second.FailureDetector->verdict(Now) !=
                         Verdict::Healthy)
              : Record.Health != BackendServerHealth::Healthy;
    Result.Unhealthy += IsUnhealthy ? 1 : 0;
  }
  return Result;
}

bool Monitor::isServiceUnhealthy(const BackendServerName &Name,
                                 const ServerState &Server, Time Now) {
  PeerStatistics &Peers = Services[Server.Service].Peers;
  if (Peers.peerBaseline(Name, Now).ErrorRate >= ServiceFailureRate)
    return true;
  const HealthCounts Count = countServers(Server, Now);
  if (Count.Unhealthy * 2 > Count.Total)
    return true;
  if (Peers.recentWeight(Name, Now) >= Settings.MinPeerRequests)
    return false;
  const double Allowed =
      std::max<double>(Settings.SparseUnhealthyCount,
                       Settings.SparseUnhealthyShare * double(Count.Total));
  return Now - *Server.FailingSince < Settings.SparseDelay ||
         double(Count.Unhealthy) - 1 > Allowed;
}

Cause Monitor::causeOf(const BackendServerName &Name, ServerState &Server,
                       Time Now) {
  const ServiceBaseline Peers =
      Services[Server.Service].Peers.peerBaseline(Name, Now);
  const Evidence DetectorEvidence = Server.FailureDetector->evidence(Now);
  return Server.Origins.findCause(DetectorEvidence.Kind, DetectorEvidence.Since,
                                  Peers.ErrorRate, Now);
}

std::uint32_t Monitor::slowStartWeight(const ServerState &Server,
                                       Time Now) const {
  if (Server.CurrentPhase != Phase::SlowStart)
    return 100;
  const double Fraction =
      (Now - Server.PhaseSince).ms() / Settings.SlowStart.ms();
  const auto Steps =
      static_cast<std::uint32_t>(Fraction * (100.0 / SlowStartStepPercent));
  return std::min(100U, Settings.TrialWeight + Steps * SlowStartStepPercent);
}

void Monitor::evaluate(const BackendServerName &Name, ServerState &Server,
                       Time Now, HealthActions &Actions) {
  if (!Server.FailureDetector || Server.CurrentPhase == Phase::Hold ||
      Server.CurrentPhase == Phase::Trial)
    return;
  switch (Server.FailureDetector->verdict(Now)) {
  case Verdict::Healthy:
    Server.FailingSince.reset();
    handleHealthy(Name, Server, Now, Actions);
    return;
  case Verdict::Suspected:
    Server.FailingSince.reset();
    handleSuspected(Name, Server, Now, Actions);
    return;
  case Verdict::Failing:
    if (!Server.FailingSince)
      Server.FailingSince = Now;
    handleFailing(Name, Server, Now, Actions);
    return;
  }
}

void Monitor::handleHealthy(const BackendServerName &Name, ServerState &Server,
                            Time Now, HealthActions &Actions) {
  Server.SuspectedSince.reset();
  Server.SuspectedSamples = 0;
  if (Server.CurrentPhase == Phase::Pending) {
    setPhase(Server, Phase::InUse, Now);
    Actions.emplace_back(RequestReadmission{Server.Service, Name});
  }
  publish(Name, Server, BackendServerHealth::Healthy,
          slowStartWeight(Server, Now), "no evidence of a failure", Actions);
}

void Monitor::handleSuspected(const BackendServerName &Name,
                              ServerState &Server, Time Now,
                              HealthActions &Actions) {
  if (!Server.SuspectedSince) {
    Server.SuspectedSince = Now;
    Server.SuspectedSamples = 0;
  }
  if (Server.Health != BackendServerHealth::Healthy ||
      Now - *Server.SuspectedSince < Settings.SuspicionDelay ||
      Server.SuspectedSamples < Settings.SuspicionSamples)
    return;
  const Cause FailureCause = causeOf(Name, Server, Now);
  if (FailureCause == Cause::Origin)
    Server.FailureDetector->reset(Now);
  if (FailureCause == Cause::Server)
    publish(Name, Server, BackendServerHealth::Suspected,
            Settings.SuspectedWeight,
            Server.FailureDetector->evidence(Now).Text, Actions);
}

void Monitor::handleFailing(const BackendServerName &Name, ServerState &Server,
                            Time Now, HealthActions &Actions) {
  if (!Server.SuspectedSince)
    Server.SuspectedSince = Now;
  if (Server.CurrentPhase == Phase::Pending)
    return;
  const Cause FailureCause = causeOf(Name, Server, Now);
  if (FailureCause == Cause::Origin) {
    Server.FailureDetector->reset(Now);
    handleHealthy(Name, Server, Now, Actions);
    return;
  }
  if (FailureCause == Cause::Unclear)
    return;
  publish(Name, Server, BackendServerHealth::Suspected,
          Settings.SuspectedWeight, Server.FailureDetector->evidence(Now).Text,
          Actions);
  if (isServiceUnhealthy(Name, Server, Now))
    return;
  setPhase(Server, Phase::Pending, Now);
  Actions.emplace_back(RequestEjection{Server.Service, Name});
}

HealthActions Monitor::sample(const RunSample &S, Time Now) {
  HealthActions Actions;
  auto It = Servers.find(S.Server);
  if (It == Servers.end() || S.Outcome == SampleOutcome::Shed ||
      S.Outcome == SampleOutcome::Cancelled ||
      (S.Outcome == SampleOutcome::Crashed && S.CrashingRequest))
    return Actions;
  ServerState &Server = It->second;
  PeerStatistics &Statistics = Services[Server.Service].Peers;
  const bool Success = S.Outcome == SampleOutcome::Succeeded;
  Statistics.record(S.Server, S.Entry, Success, S.RunTime, Now);
  const ServiceBaseline Peers = Statistics.peerBaseline(S.Server, Now);
  const bool Slow =
      Peers.RunTimeMs > 0 && S.RunTime.ms() > SlowFactor * Peers.RunTimeMs;
  const bool Bad = !Success || Slow;
  const detail::Origin RequestOrigin = detail::originOf(S);
  if (Server.CurrentPhase == Phase::Hold)
    return Actions;
  if (!Server.Origins.add(RequestOrigin, !Success, Slow, Peers.ErrorRate, Now))
    return Actions;
  if (Server.CurrentPhase == Phase::Trial) {
    handleTrial(S.Server, Server, Bad, Now, Actions);
    return Actions;
  }
  if (!Server.FailureDetector)
    return Actions;
  const double Weight = isCold(Server, Now) ? Settings.ColdSampleWeight : 1;
  ++Server.SuspectedSamples;
  Server.FailureDetector->observe({Success, S.RunTime, Weight}, Peers, Now);
  evaluate(S.Server, Server, Now, Actions);
  return Actions;
}

void Monitor::handleTrial(const BackendServerName &Name, ServerState &Server,
                          bool Bad, Time Now, HealthActions &Actions) {
  if (!Bad) {
    if (++Server.TrialSuccesses == Settings.TrialSuccesses)
      Actions.emplace_back(RequestReadmission{Server.Service, Name});
    return;
  }
  Server.HoldTime = std::min(Server.HoldTime * 2, Settings.MaxHold);
  setPhase(Server, Phase::Hold, Now);
  publish(Name, Server, BackendServerHealth::Ejected, Settings.HoldWeight,
          "a trial request failed", Actions);
}

HealthActions Monitor::ejected(const BackendServerName &Server, Time Now) {
  HealthActions Actions;
  auto It = Servers.find(Server);
  if (It == Servers.end() || It->second.CurrentPhase != Phase::Pending)
    return Actions;
  ServerState &State = It->second;
  const bool Relapse = State.LastReadmission &&
                       Now - *State.LastReadmission < Settings.RelapsePeriod;
  State.HoldTime = Relapse ? std::min(State.HoldTime * 2, Settings.MaxHold)
                           : Settings.InitialHold;
  setPhase(State, Phase::Hold, Now);
  publish(Server, State, BackendServerHealth::Ejected, Settings.HoldWeight,
          State.FailureDetector->evidence(Now).Text, Actions);
  return Actions;
}

HealthActions Monitor::readmitted(const BackendServerName &Server,
                                  ReadmitReason Reason, Time Now) {
  HealthActions Actions;
  auto It = Servers.find(Server);
  if (It == Servers.end() || (It->second.CurrentPhase != Phase::Hold &&
                              It->second.CurrentPhase != Phase::Trial))
    return Actions;
  ServerState &State = It->second;
  State.LastReadmission = Now;
  State.SuspectedSince.reset();
  State.SuspectedSamples = 0;
  if (Reason != ReadmitReason::Requested) {
    // The evidence is still valid, but without a lease the backend server is in
    // use.
    setPhase(State, Phase::InUse, Now);
    publish(Server, State, BackendServerHealth::Suspected,
            Settings.SuspectedWeight, readmitReasonName(Reason), Actions);
    return Actions;
  }
  setPhase(State, Phase::SlowStart, Now);
  State.FailureDetector->reset(Now);
  State.Origins.reset();
  publish(Server, State, BackendServerHealth::Healthy,
          slowStartWeight(State, Now), "trial requests succeeded", Actions);
  return Actions;
}

HealthActions Monitor::tick(Time Now) {
  HealthActions Actions;
  for (auto &[Name, Server] : Servers) {
    if (Server.CurrentPhase == Phase::Hold &&
        Now - Server.PhaseSince >= Server.HoldTime) {
      setPhase(Server, Phase::Trial, Now);
      Server.TrialSuccesses = 0;
      publish(Name, Server, BackendServerHealth::Ejected, Settings.TrialWeight,
              "trial requests begin", Actions);
    }
    if (Server.CurrentPhase == Phase::SlowStart &&
        Now - Server.PhaseSince >= Settings.SlowStart)
      setPhase(Server, Phase::InUse, Now);
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
    if (Server.FailureDetector) {
      const Evidence DetectorEvidence = Server.FailureDetector->evidence(Now);
      Item.DetectorVerdict = Server.FailureDetector->verdict(Now);
      Item.Score = DetectorEvidence.Score;
      Item.Evidence = DetectorEvidence.Text;
    }
    Result.push_back(std::move(Item));
  }
  return Result;
}

} // namespace

Result<std::unique_ptr<HealthMonitor>>
HealthMonitor::create(HealthSettings Settings) {
  if (Settings.Node.empty())
    return makeError(ErrorCode::InvalidInput, "node name is empty");
  if (Settings.TrialWeight <= Settings.HoldWeight)
    return makeError(ErrorCode::InvalidInput,
                     "trial weight must be above the hold weight");
  return std::unique_ptr<HealthMonitor>(
      std::make_unique<Monitor>(std::move(Settings)));
}

} // namespace teaselhitch
