#include "BackendsThread.h"

#include "OutstandingAttempts.h"
#include "teaselhitch/Support/Log.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace teaselhitch {

namespace {

constexpr Duration TickInterval = Duration(20);
/// A longer time between two ticks means that the process did not run.
constexpr Duration PauseThreshold = Duration(500);
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

BackendsThread::BackendsThread(const NodeSettings &Settings,
                               SharedState &Shared)
    : Settings(Settings), Shared(Shared),
      Departures(Settings.Node, Settings.IsFirstStart) {}

Result<std::unique_ptr<BackendsThread>>
BackendsThread::create(const NodeSettings &Settings,
                       const PlatformAdapter &Platform,
                       std::uint64_t Incarnation, SharedState &Shared) {
  std::unique_ptr<BackendsThread> NewThread(
      new BackendsThread(Settings, Shared));
  NewThread->Protocol = Platform.backendProtocol();
  BackendsThread *Self = NewThread.get();
  GuardSettings GuardOptions;
  GuardOptions.Node = Settings.Node;
  GuardOptions.Domain = Settings.Domain;
  GuardOptions.Incarnation = Incarnation;
  GuardOptions.KeySecret = Settings.Secret;
  GuardOptions.AnnouncementTimeout = Settings.AnnouncementTimeout;
  GuardOptions.HoldsServers = !Settings.IsFirstStart;
  BOOST_LEAF_ASSIGN(NewThread->Core, Guard::create(std::move(GuardOptions)));
  HealthSettings Health;
  Health.Node = Settings.Node;
  EjectionSettings Leases;
  Leases.Node = Settings.Node;
  Leases.Incarnation = Incarnation;
  BOOST_LEAF_ASSIGN(NewThread->Control,
                    GrayFailureControl::create(Health, Leases));
  NewThread->Client = BackendClient::create(
      NewThread->Loop, Settings.MaxAnswerBytes, *NewThread->Protocol,
      [Self](const AttemptId &Attempt, const RunResult &Result,
             HttpAnswer Answer) {
        Self->handleRunEnd(Attempt, Result, std::move(Answer));
      },
      &Shared.Memory);
  HttpServerSettings Http;
  Http.Listen = Settings.BackendServers;
  BOOST_LEAF_ASSIGN(
      NewThread->Server,
      HttpServer::create(
          NewThread->Loop, Http,
          [Self](const std::shared_ptr<HttpExchange> &E) {
            Self->handleAnnouncement(E);
          },
          [Self](Reason Cause) {
            return Self->Protocol->refused(
                Error{ErrorCode::InvalidInput, reasonInfo(Cause).Detail});
          }));
  Self->EventLoopThread::subscribe(
      Shared.CallersToBackends,
      [Self](GuardMessage &&M) { Self->receive(std::nullopt, std::move(M)); });
  Self->EventLoopThread::subscribe(
      Shared.PeersToBackends,
      [Self](PeersToBackendsMessage &&M) { Self->receive(std::move(M)); });
  Self->EventLoopThread::subscribe(
      Shared.SubRequestsToBackends, [Self](SubRequestNotice &&Notice) {
        std::visit([Self](const auto &M) { Self->receive(M); }, Notice);
      });
  Self->EventLoopThread::subscribe(
      Shared.PlatformToBackends,
      [Self](TableReply &&Reply) { Self->receive(Reply); });
  Self->Loop.schedulePeriodic(TickInterval, [Self] {
    Self->refresh();
    Self->detectPause();
    Self->execute(Self->Core->tick(Self->now()));
    Self->expireGrants();
    Self->recordDepartures();
    Self->execute(Self->Control->tick(Self->now()));
    Self->Idle = Self->Core->isIdle();
  });
  Self->Loop.schedulePeriodic(StatusInterval,
                              [Self] { Self->publishStatus(); });
  Self->Loop.schedulePeriodic(IdleInterval,
                              [Self] { Self->Client->closeIdle(); });
  return NewThread;
}

void BackendsThread::detectPause() {
  Time Now = now();
  Duration Pause = LastTickAt > Time() ? Now - LastTickAt : Duration();
  LastTickAt = Now;
  if (Pause < PauseThreshold)
    return;
  logEvent(LogLevel::Warning, "backends", "paused",
           {{"duration_ms", Pause.ms()}});
  Core->resume(Pause, Now);
}

void BackendsThread::drain() {
  Loop.post([this] { execute(Core->drain(now())); });
}

void BackendsThread::refresh() {
  std::uint64_t NewConfig = Shared.Config.generation();
  if (NewConfig != ConfigGeneration) {
    ConfigGeneration = NewConfig;
    std::shared_ptr<const ActiveConfig> Config = Shared.Config.current();
    UnmonitoredServices.clear();
    if (Config)
      for (const Service &S : Config->Objects.Services)
        if (!S.EjectionsEnabled)
          UnmonitoredServices.insert(S.Name);
    execute(Core->configure(Config, now()));
    execute(handleError([&] { return Control->configure(Config, now()); },
                        [](const Error &E) {
                          logEvent(LogLevel::Error, "backends", "bad-detector",
                                   {{"error", E.Message}});
                          return ControlActions();
                        }));
  }
  std::uint64_t NewView = Shared.View.generation();
  if (NewView == ViewGeneration)
    return;
  ViewGeneration = NewView;
  View = Shared.View.current();
  Core->shareRisk(View->sharesRisk());
  Departures.updateView(*View, now());
  execute(Control->view(*View, now()));
}

void BackendsThread::handleAnnouncement(
    const std::shared_ptr<HttpExchange> &Exchange) {
  std::optional<Error> RequestError;
  std::optional<DepartedServer> Departed;
  GuardActions Actions = handleError(
      [&]() -> Result<GuardActions> {
        BOOST_LEAF_AUTO(Message, Protocol->read(Exchange->request()));
        return std::visit(
            [&](const auto &M) {
              Departed = departureIn(M);
              return accept(M);
            },
            Message);
      },
      [&](const Error &E) {
        RequestError = E;
        return GuardActions();
      });
  if (RequestError) {
    logEvent(LogLevel::Warning, "backends", "announcement-refused",
             {{"target", Exchange->request().Target},
              {"error", RequestError->Message}});
    return Exchange->reply(Protocol->refused(*RequestError));
  }
  execute(Actions);
  if (Departed) {
    // The guard knows the incarnation also if the message does not name it.
    for (const GuardAction &A : Actions)
      if (const auto *Kept = std::get_if<KeepDeparture>(&A))
        Departed = Kept->Server;
    WaitingReplies.push_back({Exchange, std::move(*Departed), now()});
    return recordDepartures();
  }
  Exchange->reply(Protocol->accepted(Settings.Node));
}

void BackendsThread::receive(const TableReply &Reply) {
  StoreIncarnation = Reply.StoreIncarnation;
  restoreDepartures(Departures.reply(Reply, now()), "store");
  execute(Control->reply(Reply, now()));
}

Result<GuardActions> BackendsThread::accept(const Announcement &A) {
  BOOST_LEAF_AUTO(Actions, Core->announce(A, now()));
  if (isMonitored(A.Service))
    execute(
        Control->announced(A.Service, A.Name, A.State, A.Incarnation, now()));
  return Actions;
}

void BackendsThread::receive(std::optional<LinkId> EntryLink,
                             GuardMessage Message) {
  std::visit(Overloaded{[&](Offer &M) { receive(EntryLink, M); },
                        [&](Dispatch &M) { receive(EntryLink, M); },
                        [&](Cancel &M) { receive(M); },
                        [&](MintKey &M) {
                          reply(EntryLink, Core->mintKey(M, now()));
                        }},
             Message);
}

void BackendsThread::receive(std::optional<LinkId> EntryLink, Offer &Message) {
  const DispatchInfo &Info = Message.Info;
  ActiveAttempt R;
  R.EntryLink = EntryLink;
  R.Service = Info.Service;
  R.Idempotent = Info.Idempotent;
  R.Organisation = Info.Organisation;
  R.Rule = Info.Rule;
  R.Priority = Info.Priority;
  if (EntryLink && Info.BodyBytes > MemoryBudget::LargeBytes)
    R.BytesToReserve = Info.BodyBytes;
  // A duplicate attempt id is an error of the sender; the first offer is kept.
  if (!Attempts.emplace(Info.Attempt, std::move(R)).second)
    return;
  if (isMonitored(Info.Service))
    Control->dispatched(Info.Service, Info.Attempt.Request.Entry, Info.Baseline,
                        now());
  execute(Core->dispatch(Info, now()));
}

void BackendsThread::receive(std::optional<LinkId> EntryLink,
                             Dispatch &Message) {
  const DispatchInfo &Info = Message.Info;
  auto It = Attempts.find(Info.Attempt);
  bool IsGranted = It != Attempts.end() && !It->second.Server.empty() &&
                   !It->second.IsSent && !It->second.IsSettled;
  if (!IsGranted) {
    // A request never runs without a slot, even if the message is late or a
    // duplicate.
    if (It == Attempts.end() || !It->second.IsSent)
      reply(EntryLink, makeNotRunFailure(Info.Attempt, Reason::GrantExpired));
    return;
  }
  ActiveAttempt &R = It->second;
  // A large body arrives only if its request began to arrive in time.
  R.Slot.IsArriving = R.BytesToReserve > 0;
  Duration Remaining = R.Slot.remaining(Info.Remaining, now());
  if (Remaining <= Duration()) {
    R.IsSettled = true;
    reply(EntryLink, makeNotRunFailure(Info.Attempt, Reason::GrantExpired));
    return withdraw(Info.Attempt);
  }
  R.IsSent = true;
  HttpRequest Request = std::move(Message.Request);
  R.IsRepeat = Info.IsRepeat;
  R.CallerId = Protocol->callerId(Request);
  sendRunChange(R, true);
  Protocol->prepare(Request,
                    RunContext{R.Server, Info.Attempt.Request, Remaining});
  logEvent(LogLevel::Info, "guard", "attempt-started",
           {{"attempt", toString(Info.Attempt)},
            {"server", R.Server.str()},
            {"remaining_ms", Remaining.ms()}});
  Client->start(Info.Attempt, R.Address, std::move(Request), R.Idempotent);
}

void BackendsThread::sendRunChange(const ActiveAttempt &R, bool IsRunning) {
  if (R.CallerId.empty())
    return;
  // If the message is dropped, sub-requests get the priority of their own rule
  // and are accounted to no organisation.
  if (!Shared.RunsToCallers.trySend(RunChange{R.CallerId, R.Rule, R.Priority,
                                              R.IsRepeat, IsRunning,
                                              R.Organisation}))
    logEvent(LogLevel::Warning, "backends", "run-change-dropped",
             {{"caller_id", R.CallerId}});
}

void BackendsThread::receive(const SubRequestSeen &Message) {
  for (const auto &[Attempt, R] : Attempts)
    if (R.IsSent && R.CallerId == Message.ParentId)
      Core->recordProgress(Attempt, now());
}

void BackendsThread::receive(const SubRequestEnded &Message) {
  Core->subRequestEnded(Message.ParentRule, Message.Congested, now());
}

void BackendsThread::receive(const Cancel &Message) {
  auto It = Attempts.find(Message.Attempt);
  if (It != Attempts.end())
    It->second.IsSettled = true;
  execute(Core->cancel(Message.Attempt, now()));
}

void BackendsThread::expireGrants() {
  std::vector<AttemptId> Expired;
  for (auto &[Attempt, R] : Attempts) {
    if (R.Server.empty() || R.IsSent || !R.Slot.isExpired(now()))
      continue;
    // The peers thread takes the reservation when the request begins to arrive.
    if (R.BytesToReserve > 0 && !Shared.Granted.take(Attempt))
      R.Slot.IsArriving = true;
    else
      Expired.push_back(Attempt);
  }
  for (const AttemptId &Attempt : Expired)
    withdraw(Attempt);
}

void BackendsThread::withdraw(const AttemptId &Attempt) {
  RunResult Result;
  Result.End = RunEnd::Withdrawn;
  handleRunEnd(Attempt, Result, HttpAnswer());
}

void BackendsThread::receive(PeersToBackendsMessage Message) {
  std::visit(
      Overloaded{[&](InboundGuardMessage &M) {
                   receive(M.Link, std::move(M.Message));
                 },
                 [&](EntryLinkClosed &M) { handleEntryLinkClosed(M.Link); },
                 [&](Quarantine &M) { Core->receiveQuarantine(M, now()); },
                 [&](CrashMark &M) { Core->receiveCrashMark(M, now()); },
                 [&](InboundDepartureCopy &M) {
                   restoreDepartures(Departures.reply(M.Node, M.Kept), "peer");
                 }},
      Message);
}

void BackendsThread::handleEntryLinkClosed(LinkId Link) {
  std::vector<AttemptId> Lost;
  for (const auto &[Attempt, R] : Attempts)
    if (R.EntryLink == Link)
      Lost.push_back(Attempt);
  for (const AttemptId &Attempt : Lost) {
    execute(Core->cancel(Attempt, now()));
    auto It = Attempts.find(Attempt);
    if (It != Attempts.end())
      It->second.IsSettled = true;
  }
}

void BackendsThread::execute(const GuardActions &Actions) {
  for (const GuardAction &Action : Actions)
    std::visit([&](const auto &A) { perform(A); }, Action);
}

void BackendsThread::perform(const StartAttempt &Action) {
  auto It = Attempts.find(Action.Attempt);
  if (It == Attempts.end())
    return;
  ActiveAttempt &R = It->second;
  R.Server = Action.Server;
  R.Address = Action.Address;
  R.Slot = SlotGrant{now(), now() + Action.Remaining};
  if (!reserveBody(Action.Attempt, R))
    return refuseForMemory(Action.Attempt, R);
  Grant Message{Action.Attempt, Core->load(Action.Server, now())};
  logEvent(LogLevel::Info, "guard", "attempt-granted",
           {{"attempt", toString(Action.Attempt)},
            {"server", Action.Server.str()},
            {"in_progress", Message.Load.InProgress},
            {"waiting", Message.Load.Waiting},
            {"risk_percent", Message.Load.RiskPercent}});
  reply(R.EntryLink, Message);
}

bool BackendsThread::reserveBody(const AttemptId &Attempt,
                                 const ActiveAttempt &R) {
  if (R.BytesToReserve == 0)
    return true;
  std::optional<MemoryBudget::Reservation> Reserved =
      Shared.Memory.reserve(R.BytesToReserve);
  if (!Reserved)
    return false;
  Shared.Granted.add(Attempt, std::move(*Reserved));
  return true;
}

void BackendsThread::refuseForMemory(const AttemptId &Attempt,
                                     ActiveAttempt &R) {
  logEvent(LogLevel::Warning, "guard", "refused-for-memory",
           {{"attempt", toString(Attempt)},
            {"body_bytes", R.BytesToReserve},
            {"held_bytes", Shared.Memory.held()}});
  R.IsSettled = true;
  AttemptFailed Failure = makeNotRunFailure(Attempt, Reason::OutOfMemory);
  Failure.Load = Core->load(R.Server, now());
  reply(R.EntryLink, Failure);
  // Posted, because the guard must not be re-entered while its actions are
  // being performed.
  Loop.post([this, Attempt] { withdraw(Attempt); });
}

void BackendsThread::publishMemory() {
  Shared.Metrics
      .gauge("teaselhitch_held_bytes",
             "Bytes of requests and answers that the node holds.")
      .set(static_cast<double>(Shared.Memory.held()));
  std::uint64_t Refusals = Shared.Memory.refusals();
  Shared.Metrics
      .counter("teaselhitch_memory_refusals_total",
               "Reservations of memory that did not fit.")
      .add(Refusals - std::exchange(PublishedRefusals, Refusals));
}

void BackendsThread::perform(const AbortAttempt &Action) {
  auto It = Attempts.find(Action.Attempt);
  if (It == Attempts.end())
    return;
  if (It->second.IsSent)
    return Client->abort(Action.Attempt);
  // Posted, because the guard must not be re-entered while its actions are
  // being performed.
  Loop.post([this, Attempt = Action.Attempt] { withdraw(Attempt); });
}

void BackendsThread::perform(const AttemptFailed &Action) {
  auto It = Attempts.find(Action.Attempt);
  if (It == Attempts.end())
    return;
  if (!It->second.IsSettled)
    reply(It->second.EntryLink, Action);
  It->second.IsSettled = true;
  It->second.IsOverdue = Action.Cause == Reason::DeadlineExpiredRunning;
  // An attempt without a slot never runs, so its end is never reported.
  if (It->second.Server.empty())
    Attempts.erase(It);
}

void BackendsThread::perform(const AttemptOverdue &Action) {
  auto It = Attempts.find(Action.Attempt);
  if (It == Attempts.end() || It->second.IsSettled)
    return;
  logEvent(LogLevel::Info, "guard", "attempt-overdue",
           {{"attempt", toString(Action.Attempt)},
            {"risk_percent", Action.Load.RiskPercent}});
  reply(It->second.EntryLink, Action);
}

void BackendsThread::perform(const PublishRecord &Action) {
  const BackendServerRecord &R = Action.Record;
  Shared.Audit.record("backend-server-changed", R.Id.Name.str(),
                      std::string(backendServerStateName(R.State)) + ", " +
                          backendServerHealthName(R.Health) + ", weight " +
                          std::to_string(R.Weight));
  if (!Shared.BackendsToPeers.trySend(R))
    logEvent(LogLevel::Error, "backends", "record-dropped",
             {{"server", R.Id.Name.str()}});
  if (R.State == BackendServerState::Gone && isMonitored(R.Service))
    execute(Control->announced(R.Service, R.Id.Name, R.State,
                               R.Version.Incarnation, now()));
}

void BackendsThread::execute(const ControlActions &Actions) {
  for (const ControlAction &Action : Actions)
    std::visit([&](const auto &A) { perform(A); }, Action);
}

void BackendsThread::perform(const SetHealth &Action) {
  Shared.Audit.record(
      std::string("backend-server-") + backendServerHealthName(Action.Health),
      Action.Server.str(),
      "weight " + std::to_string(Action.Weight) + ", " + Action.Reason);
  execute(Core->setHealth(Action.Server, Action.Health, Action.Weight, now()));
}

void BackendsThread::perform(const TableRequest &Action) {
  TableRequest Sent = Action;
  Sent.StoreIncarnation = StoreIncarnation;
  if (Shared.BackendsToPlatform.trySend(Sent))
    return;
  TableReply Refused;
  Refused.Token = Action.Token;
  Refused.Status = TableStatus::Unavailable;
  (void)Departures.reply(Refused, now());
  execute(Control->reply(Refused, now()));
}

void BackendsThread::perform(const CrashMark &Action) {
  if (!Shared.BackendsToPeers.trySend(Action))
    logEvent(LogLevel::Error, "backends", "crash-mark-dropped",
             {{"fingerprint", Action.Fingerprint}});
}

void BackendsThread::recordSample(const AttemptId &Attempt,
                                  const ActiveAttempt &R,
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
  execute(Control->sample(S, now()));
}

void BackendsThread::perform(const Quarantine &Action) {
  Shared.Audit.record("request-quarantined", std::to_string(Action.Fingerprint),
                      "second crash with this fingerprint");
  if (!Shared.BackendsToPeers.trySend(Action))
    logEvent(LogLevel::Error, "backends", "quarantine-dropped",
             {{"fingerprint", Action.Fingerprint}});
}

void BackendsThread::handleRunEnd(const AttemptId &Attempt,
                                  const RunResult &Result, HttpAnswer Answer) {
  auto It = Attempts.find(Attempt);
  if (It == Attempts.end())
    return;
  BackendServerName Server = It->second.Server;
  // Releases the memory of a grant whose request did not arrive.
  if (It->second.BytesToReserve > 0)
    (void)Shared.Granted.take(Attempt);
  sendRunChange(It->second, false);
  countRun(Shared.Metrics, Result);
  logEvent(LogLevel::Info, "guard", "attempt-ended",
           {{"attempt", toString(Attempt)},
            {"server", Server.str()},
            {"end", runEndName(Result.End)},
            {"status", Result.Status},
            {"run_ms", Result.RunTime.ms()}});
  recordSample(Attempt, It->second, Result);
  execute(Core->finished(Attempt, Result, now()));
  It = Attempts.find(Attempt);
  if (It == Attempts.end())
    return;
  if (Result.End == RunEnd::Answered && !It->second.IsSettled) {
    AttemptAnswer Message;
    Message.Attempt = Attempt;
    Message.Server = Server;
    Message.Load = Core->load(Server, now());
    Message.RunTime = Result.RunTime;
    Message.Answer = std::move(Answer);
    reply(It->second.EntryLink, std::move(Message));
  }
  Attempts.erase(It);
}

void BackendsThread::reply(std::optional<LinkId> EntryLink,
                           EntryMessage Message) {
  bool Sent = EntryLink ? Shared.BackendsToPeers.trySend(OutboundEntryMessage{
                              *EntryLink, std::move(Message)})
                        : Shared.BackendsToCallers.trySend(Message);
  // If the answer is dropped, the entry ends the request with an unknown
  // outcome at its deadline.
  if (!Sent)
    logEvent(LogLevel::Error, "backends", "answer-dropped");
}

void BackendsThread::publishStatus() {
  publishMemory();
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
  Shared.BackendsStatus.publish(
      std::make_shared<boost::json::value>(std::move(Status)));
}

} // namespace teaselhitch
