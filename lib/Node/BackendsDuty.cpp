#include "BackendsDuty.h"

#include "OutstandingAttempts.h"
#include "teaselhitch/Support/Log.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace teaselhitch {

namespace {

constexpr Duration TickInterval = Duration(20);
/// How long a slot is held for a request that was granted. It covers the way
/// between failure domains and back and a node that is short of processor time.
constexpr Duration GrantTime = Duration(250);
constexpr Duration StatusInterval = Duration(200);
constexpr Duration IdleInterval = Duration::seconds(1);

void countRun(MetricRegistry &Metrics, const RunResult &Result) {
  Metrics
      .counter("teaselhitch_runs_total",
               "Attempts at the own backend servers, by their end.",
               std::string("end=\"") + runEndName(Result.End) + "\"")
      .add();
  if (Result.End == RunEnd::Answered)
    Metrics
        .latency("teaselhitch_run_seconds",
                 "Time from sending a request to a backend server to its whole "
                 "answer.")
        .record(Result.RunTime);
}

} // namespace

BackendsDuty::BackendsDuty(const NodeSettings &Settings, Channels &Rings)
    : Settings(Settings), Rings(Rings) {}

Result<std::unique_ptr<BackendsDuty>>
BackendsDuty::create(const NodeSettings &Settings,
                     const PlatformAdapter &Platform, std::uint64_t Incarnation,
                     Channels &Rings) {
  std::unique_ptr<BackendsDuty> Made(new BackendsDuty(Settings, Rings));
  Made->Protocol = Platform.backendProtocol();
  BackendsDuty *Self = Made.get();
  GuardSettings Core;
  Core.Node = Settings.Node;
  Core.Domain = Settings.Domain;
  Core.Incarnation = Incarnation;
  Core.KeySecret = Settings.Secret;
  Core.AnnouncementTimeout = Settings.AnnouncementTimeout;
  BOOST_LEAF_ASSIGN(Made->Core, Guard::create(std::move(Core)));
  HealthSettings Health;
  Health.Node = Settings.Node;
  EjectionSettings Leases;
  Leases.Node = Settings.Node;
  Leases.Incarnation = Incarnation;
  BOOST_LEAF_ASSIGN(Made->Control, GrayFailureControl::create(Health, Leases));
  Made->Client = BackendClient::create(
      Made->Loop, Settings.MaxAnswerBytes, *Made->Protocol,
      [Self](const AttemptId &Attempt, const RunResult &Result,
             HttpAnswer Answer) {
        Self->onDone(Attempt, Result, std::move(Answer));
      });
  HttpServerSettings Http;
  Http.Listen = Settings.BackendServers;
  BOOST_LEAF_ASSIGN(Made->Server,
                    HttpServer::create(
                        Made->Loop, Http,
                        [Self](const std::shared_ptr<HttpExchange> &E) {
                          Self->handleAnnouncement(E);
                        },
                        [Self](Reason Why) {
                          return Self->Protocol->refused(Error{
                              ErrorCode::InvalidInput, reasonInfo(Why).Detail});
                        }));
  Self->Duty::receive(Rings.CallersToBackends, [Self](GuardMessage &&M) {
    Self->receive(std::nullopt, std::move(M));
  });
  Self->Duty::receive(Rings.PeersToBackendsRing, [Self](PeersToBackends &&M) {
    Self->receive(std::move(M));
  });
  Self->Duty::receive(
      Rings.SubRequestsToBackends, [Self](SubRequestNotice &&Notice) {
        std::visit([Self](const auto &M) { Self->receive(M); }, Notice);
      });
  Self->Duty::receive(Rings.PlatformToBackends, [Self](TableReply &&Reply) {
    Self->run(Self->Control->reply(Reply, Self->now()));
  });
  Self->Loop.every(TickInterval, [Self] {
    Self->refresh();
    Self->run(Self->Core->tick(Self->now()));
    Self->expireGrants();
    Self->run(Self->Control->tick(Self->now()));
    Self->Idle = Self->Core->isIdle();
  });
  Self->Loop.every(StatusInterval, [Self] { Self->publishStatus(); });
  Self->Loop.every(IdleInterval, [Self] { Self->Client->closeIdle(); });
  return Made;
}

void BackendsDuty::drain() {
  Loop.post([this] { run(Core->drain(now())); });
}

void BackendsDuty::refresh() {
  std::uint64_t NewConfig = Rings.Config.generation();
  if (NewConfig != ConfigGeneration) {
    ConfigGeneration = NewConfig;
    std::shared_ptr<const ActiveConfig> Config = Rings.Config.current();
    Unmonitored.clear();
    if (Config)
      for (const Service &S : Config->Objects.Services)
        if (!S.EjectionsEnabled)
          Unmonitored.insert(S.Name);
    run(Core->configure(Config, now()));
    run(handleError([&] { return Control->configure(Config, now()); },
                    [](const Error &E) {
                      logEvent(LogLevel::Error, "backends", "bad-detector",
                               {{"error", E.Message}});
                      return ControlActions();
                    }));
  }
  std::uint64_t NewView = Rings.View.generation();
  if (NewView == ViewGeneration)
    return;
  ViewGeneration = NewView;
  View = Rings.View.current();
  run(Control->view(*View, now()));
}

void BackendsDuty::handleAnnouncement(
    const std::shared_ptr<HttpExchange> &Exchange) {
  std::optional<Error> Fault;
  GuardActions Actions = handleError(
      [&]() -> Result<GuardActions> {
        BOOST_LEAF_AUTO(Message, Protocol->read(Exchange->request()));
        return std::visit([&](const auto &M) { return accept(M); }, Message);
      },
      [&](const Error &E) {
        Fault = E;
        return GuardActions();
      });
  if (Fault) {
    logEvent(
        LogLevel::Warning, "backends", "announcement-refused",
        {{"target", Exchange->request().Target}, {"error", Fault->Message}});
    return Exchange->reply(Protocol->refused(*Fault));
  }
  run(Actions);
  Exchange->reply(Protocol->accepted(Settings.Node));
}

Result<GuardActions> BackendsDuty::accept(const Announcement &A) {
  BOOST_LEAF_AUTO(Actions, Core->announce(A, now()));
  if (isMonitored(A.Service))
    run(Control->announced(A.Service, A.Name, A.State, A.Incarnation, now()));
  return Actions;
}

Result<GuardActions> BackendsDuty::accept(const Departure &D) {
  return Core->drainServer(D.Name, D.Incarnation, now());
}

void BackendsDuty::receive(std::optional<LinkId> Origin, GuardMessage Message) {
  std::visit(
      Overloaded{[&](Offer &M) { receive(Origin, M); },
                 [&](Dispatch &M) { receive(Origin, M); },
                 [&](Cancel &M) { receive(M); },
                 [&](MintKey &M) { reply(Origin, Core->mintKey(M, now())); }},
      Message);
}

void BackendsDuty::receive(std::optional<LinkId> Origin, Offer &Message) {
  const DispatchInfo &Info = Message.Info;
  Running R;
  R.Origin = Origin;
  R.Service = Info.Service;
  R.Idempotent = Info.Idempotent;
  R.Organisation = Info.Organisation;
  R.Rule = Info.Rule;
  R.Priority = Info.Priority;
  // A repeated attempt id is a fault of the sender; the first stays.
  if (!Attempts.emplace(Info.Attempt, std::move(R)).second)
    return;
  if (isMonitored(Info.Service))
    Control->dispatched(Info.Service, Info.Attempt.Request.Entry, Info.Baseline,
                        now());
  run(Core->dispatch(Info, now()));
}

void BackendsDuty::receive(std::optional<LinkId> Origin, Dispatch &Message) {
  const DispatchInfo &Info = Message.Info;
  auto It = Attempts.find(Info.Attempt);
  bool IsGranted = It != Attempts.end() && !It->second.Server.empty() &&
                   !It->second.IsSent && !It->second.IsSettled;
  if (!IsGranted) {
    // Nothing runs without a slot, also if the message comes again or late.
    if (It == Attempts.end() || !It->second.IsSent)
      reply(Origin, notSent(Info.Attempt, Reason::GrantExpired));
    return;
  }
  Running &R = It->second;
  R.IsSent = true;
  HttpRequest Request = std::move(Message.Request);
  R.CallerId = Protocol->callerId(Request);
  announceRun(R, true);
  Protocol->prepare(Request,
                    RunContext{R.Server, Info.Attempt.Request, Info.Remaining});
  logEvent(LogLevel::Info, "guard", "attempt-started",
           {{"attempt", toString(Info.Attempt)},
            {"server", R.Server.str()},
            {"remaining_ms", Info.Remaining.ms()}});
  Client->start(Info.Attempt, R.Address, std::move(Request), R.Idempotent);
}

void BackendsDuty::announceRun(const Running &R, bool IsRunning) {
  if (R.CallerId.empty())
    return;
  // Without it, sub-requests have the priority of their own rule.
  if (!Rings.RunsToCallers.trySend(
          RunChange{R.CallerId, R.Rule, R.Priority, IsRunning}))
    logEvent(LogLevel::Warning, "backends", "run-change-dropped",
             {{"caller_id", R.CallerId}});
}

void BackendsDuty::receive(const SubRequestSeen &Message) {
  for (const auto &[Attempt, R] : Attempts)
    if (R.IsSent && R.CallerId == Message.ParentId)
      Core->recordProgress(Attempt, now());
}

void BackendsDuty::receive(const SubRequestEnded &Message) {
  Core->subRequestEnded(Message.ParentRule, Message.Congested, now());
}

void BackendsDuty::receive(const Cancel &Message) {
  auto It = Attempts.find(Message.Attempt);
  if (It != Attempts.end())
    It->second.IsSettled = true;
  run(Core->cancel(Message.Attempt, now()));
}

void BackendsDuty::expireGrants() {
  std::vector<AttemptId> Expired;
  for (const auto &[Attempt, R] : Attempts)
    if (!R.Server.empty() && !R.IsSent && now() - R.GrantedAt > GrantTime)
      Expired.push_back(Attempt);
  for (const AttemptId &Attempt : Expired)
    withdraw(Attempt);
}

void BackendsDuty::withdraw(const AttemptId &Attempt) {
  RunResult Result;
  Result.End = RunEnd::Withdrawn;
  onDone(Attempt, Result, HttpAnswer());
}

void BackendsDuty::receive(PeersToBackends Message) {
  std::visit(
      Overloaded{[&](FromEntry &M) { receive(M.Link, std::move(M.Message)); },
                 [&](EntryLost &M) { entryLost(M.Link); },
                 [&](Quarantine &M) { Core->receiveQuarantine(M, now()); },
                 [&](CrashMark &M) { Core->receiveCrashMark(M, now()); }},
      Message);
}

void BackendsDuty::entryLost(LinkId Link) {
  std::vector<AttemptId> Lost;
  for (const auto &[Attempt, R] : Attempts)
    if (R.Origin == Link)
      Lost.push_back(Attempt);
  for (const AttemptId &Attempt : Lost) {
    run(Core->cancel(Attempt, now()));
    auto It = Attempts.find(Attempt);
    if (It != Attempts.end())
      It->second.IsSettled = true;
  }
}

void BackendsDuty::run(const GuardActions &Actions) {
  for (const GuardAction &Action : Actions)
    std::visit([&](const auto &A) { perform(A); }, Action);
}

void BackendsDuty::perform(const StartAttempt &Action) {
  auto It = Attempts.find(Action.Attempt);
  if (It == Attempts.end())
    return;
  Running &R = It->second;
  R.Server = Action.Server;
  R.Address = Action.Address;
  R.GrantedAt = now();
  Grant Message{Action.Attempt, Core->load(Action.Server, now())};
  logEvent(LogLevel::Info, "guard", "attempt-granted",
           {{"attempt", toString(Action.Attempt)},
            {"server", Action.Server.str()},
            {"in_progress", Message.Load.InProgress},
            {"waiting", Message.Load.Waiting},
            {"risk_percent", Message.Load.RiskPercent}});
  reply(R.Origin, Message);
}

void BackendsDuty::perform(const AbortAttempt &Action) {
  auto It = Attempts.find(Action.Attempt);
  if (It == Attempts.end())
    return;
  if (It->second.IsSent)
    return Client->abort(Action.Attempt);
  // Not from within the core, which is still at the action before.
  Loop.post([this, Attempt = Action.Attempt] { withdraw(Attempt); });
}

void BackendsDuty::perform(const AttemptFailed &Action) {
  auto It = Attempts.find(Action.Attempt);
  if (It == Attempts.end())
    return;
  if (!It->second.IsSettled)
    reply(It->second.Origin, Action);
  It->second.IsSettled = true;
  It->second.IsOverdue = Action.Cause == Reason::DeadlineExpiredRunning;
  // An attempt without a slot has no end to wait for.
  if (It->second.Server.empty())
    Attempts.erase(It);
}

void BackendsDuty::perform(const AttemptOverdue &Action) {
  auto It = Attempts.find(Action.Attempt);
  if (It == Attempts.end() || It->second.IsSettled)
    return;
  logEvent(LogLevel::Info, "guard", "attempt-overdue",
           {{"attempt", toString(Action.Attempt)},
            {"risk_percent", Action.Load.RiskPercent}});
  reply(It->second.Origin, Action);
}

void BackendsDuty::perform(const PublishRecord &Action) {
  const BackendServerRecord &R = Action.Record;
  Rings.Audit.record("backend-server-changed", R.Id.Name.str(),
                     std::string(backendServerStateName(R.State)) + ", " +
                         backendServerHealthName(R.Health) + ", weight " +
                         std::to_string(R.Weight));
  if (!Rings.BackendsToPeersRing.trySend(R))
    logEvent(LogLevel::Error, "backends", "record-dropped",
             {{"server", R.Id.Name.str()}});
  if (R.State == BackendServerState::Gone && isMonitored(R.Service))
    run(Control->announced(R.Service, R.Id.Name, R.State, R.Version.Incarnation,
                           now()));
}

void BackendsDuty::run(const ControlActions &Actions) {
  for (const ControlAction &Action : Actions)
    std::visit([&](const auto &A) { perform(A); }, Action);
}

void BackendsDuty::perform(const SetHealth &Action) {
  Rings.Audit.record(
      std::string("backend-server-") + backendServerHealthName(Action.Health),
      Action.Server.str(),
      "weight " + std::to_string(Action.Weight) + ", " + Action.Reason);
  run(Core->setHealth(Action.Server, Action.Health, Action.Weight, now()));
}

void BackendsDuty::perform(const TableRequest &Action) {
  if (Rings.BackendsToPlatform.trySend(TableRequest(Action)))
    return;
  TableReply Refused;
  Refused.Token = Action.Token;
  Refused.Status = TableStatus::Unavailable;
  run(Control->reply(Refused, now()));
}

void BackendsDuty::perform(const CrashMark &Action) {
  if (!Rings.BackendsToPeersRing.trySend(Action))
    logEvent(LogLevel::Error, "backends", "crash-mark-dropped",
             {{"fingerprint", Action.Fingerprint}});
}

void BackendsDuty::sample(const AttemptId &Attempt, const Running &R,
                          const RunResult &Result) {
  if (!isMonitored(R.Service))
    return;
  constexpr unsigned FirstServerError = 500;
  RunSample S;
  S.Service = R.Service;
  S.Server = R.Server;
  S.Entry = Attempt.Request.Entry;
  S.Organisation = R.Organisation;
  S.RunTime = Result.RunTime;
  if (View && View->Nodes) {
    auto It = View->Nodes->find(S.Entry);
    if (It != View->Nodes->end())
      S.EntryDomain = It->second.Domain;
  }
  switch (Result.End) {
  case RunEnd::Answered:
    S.Outcome = Result.Status < FirstServerError ? SampleOutcome::Succeeded
                                                 : SampleOutcome::Failed;
    break;
  case RunEnd::Shed:
  case RunEnd::OtherServer:
  case RunEnd::TooLarge:
  case RunEnd::Withdrawn:
    S.Outcome = SampleOutcome::Shed;
    break;
  case RunEnd::ConnectFailed:
  case RunEnd::ConnectionLost:
    S.Outcome = SampleOutcome::Failed;
    break;
  case RunEnd::Crashed:
    S.Outcome = SampleOutcome::Crashed;
    break;
  case RunEnd::Aborted:
    S.Outcome = R.IsOverdue ? SampleOutcome::Failed : SampleOutcome::Cancelled;
    break;
  }
  run(Control->sample(S, now()));
}

void BackendsDuty::perform(const Quarantine &Action) {
  Rings.Audit.record("request-quarantined", std::to_string(Action.Fingerprint),
                     "second crash with this fingerprint");
  if (!Rings.BackendsToPeersRing.trySend(Action))
    logEvent(LogLevel::Error, "backends", "quarantine-dropped",
             {{"fingerprint", Action.Fingerprint}});
}

void BackendsDuty::onDone(const AttemptId &Attempt, const RunResult &Result,
                          HttpAnswer Answer) {
  auto It = Attempts.find(Attempt);
  if (It == Attempts.end())
    return;
  BackendServerName Server = It->second.Server;
  announceRun(It->second, false);
  countRun(Rings.Metrics, Result);
  logEvent(LogLevel::Info, "guard", "attempt-ended",
           {{"attempt", toString(Attempt)},
            {"server", Server.str()},
            {"end", runEndName(Result.End)},
            {"status", Result.Status},
            {"run_ms", Result.RunTime.ms()}});
  sample(Attempt, It->second, Result);
  run(Core->finished(Attempt, Result, now()));
  It = Attempts.find(Attempt);
  if (It == Attempts.end())
    return;
  if (Result.End == RunEnd::Answered && !It->second.IsSettled) {
    AttemptAnswer Message;
    Message.Attempt = Attempt;
    Message.RanOn = Server;
    Message.Load = Core->load(Server, now());
    Message.RunTime = Result.RunTime;
    Message.Answer = std::move(Answer);
    reply(It->second.Origin, std::move(Message));
  }
  Attempts.erase(It);
}

void BackendsDuty::reply(std::optional<LinkId> Origin, EntryMessage Message) {
  bool Sent = Origin ? Rings.BackendsToPeersRing.trySend(
                           ToEntry{*Origin, std::move(Message)})
                     : Rings.BackendsToCallers.trySend(Message);
  // The entry ends the request as unknown at its deadline.
  if (!Sent)
    logEvent(LogLevel::Error, "backends", "answer-dropped");
}

void BackendsDuty::publishStatus() {
  std::map<BackendServerName, std::string> Evidence;
  for (MonitoredServer &S : Control->status(now()))
    Evidence[S.Server] = std::move(S.Evidence);
  boost::json::array Servers;
  for (const GuardedServerStatus &S : Core->status()) {
    boost::json::object Server;
    Server["name"] = S.Record.Id.Name.str();
    Server["service"] = S.Record.Service.str();
    Server["address"] = toString(S.Address);
    Server["state"] = backendServerStateName(S.Record.State);
    Server["health"] = backendServerHealthName(S.Record.Health);
    Server["weight"] = S.Record.Weight;
    Server["evidence"] = Evidence[S.Record.Id.Name];
    Server["slots"] = S.Record.Slots;
    Server["in_progress"] = S.InProgress;
    Server["waiting"] = S.Waiting;
    Servers.push_back(std::move(Server));
  }
  boost::json::object Status;
  Status["backend_servers"] = std::move(Servers);
  Status["attempts"] = Attempts.size();
  Rings.BackendsStatus.publish(
      std::make_shared<boost::json::value>(std::move(Status)));
}

} // namespace teaselhitch
