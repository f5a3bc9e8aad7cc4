#include "CallersDuty.h"

#include "OutstandingAttempts.h"
#include "teaselhitch/Integration/Problem.h"
#include "teaselhitch/Platform/Url.h"
#include "teaselhitch/Support/Hash.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <random>

namespace teaselhitch {

namespace {

constexpr Duration TickInterval = Duration(10);
constexpr Duration StatusInterval = Duration(500);
/// While draining, requests are refused with a reason for this time before the
/// listener closes.
constexpr Duration RefusalTime = Duration(200);
/// A whole message has to fit into one frame between nodes, with its headers.
constexpr std::uint64_t MaxForwardedBytes = MaxFrameBytes - 1024 * 1024;
/// Callers reuse connections until shortly before the idle timeout; one that
/// closes at the same moment would cost a request.
constexpr double IdleMargin = 1.25;
constexpr const char *KeysPath = "/.teaselhitch/keys";
constexpr const char *OwnPathPrefix = "/.teaselhitch/";

HttpLimits limitsOf(const Listener &L) {
  HttpLimits Limits;
  Limits.MaxHeaderBytes = L.MaxHeaderBytes;
  Limits.MaxBodyBytes = std::min(L.MaxBodyBytes, MaxForwardedBytes);
  Limits.HeaderTimeout = L.HeaderTimeout;
  Limits.IdleTimeout = L.IdleTimeout * IdleMargin;
  return Limits;
}

void countRequest(MetricRegistry &Metrics, Outcome Result,
                  const char *ReasonName) {
  Metrics
      .counter("teaselhitch_requests_total",
               "Requests by outcome and reason code.",
               std::string("outcome=\"") + outcomeName(Result) +
                   "\",reason=\"" + ReasonName + "\"")
      .add();
}

} // namespace

CallersDuty::CallersDuty(const NodeSettings &Settings, Channels &Rings)
    : Settings(Settings), Rings(Rings),
      Random(std::make_unique<SeededRandom>(std::random_device()())),
      Latency(Rings.Metrics.latency("teaselhitch_request_seconds",
                                    "Time from a whole request to its answer, "
                                    "backend server included.")) {}

Result<std::unique_ptr<CallersDuty>>
CallersDuty::create(const NodeSettings &Settings,
                    const PlatformAdapter &Platform, std::uint64_t Incarnation,
                    Channels &Rings) {
  std::unique_ptr<CallersDuty> Made(new CallersDuty(Settings, Rings));
  Made->Protocol = Platform.callerProtocol();
  EntrySettings Core;
  Core.Node = Settings.Node;
  Core.Domain = Settings.Domain;
  Core.Incarnation = Incarnation;
  Core.Balancer = Settings.Balancer;
  Core.MaxRequests = Settings.MaxRequests;
  Core.FleetRetries = Settings.FleetRetries;
  Core.RetryWindow = Settings.RetryWindow;
  BOOST_LEAF_ASSIGN(Made->Core, Entry::create(std::move(Core), *Made->Random));

  HttpServerSettings Http;
  Http.Listen = Settings.Callers;
  Http.Limits.MaxHeaderBytes = Settings.MaxHeaderBytes;
  Http.Limits.MaxBodyBytes = Settings.MaxBodyBytes;
  Http.MaxConnections = Settings.MaxCallerConnections;
  CallersDuty *Self = Made.get();
  BOOST_LEAF_ASSIGN(Made->Server,
                    HttpServer::create(
                        Made->Loop, Http,
                        [Self](std::shared_ptr<HttpExchange> E) {
                          Self->handle(std::move(E));
                        },
                        [Self](Reason Why) { return Self->refuse(Why); }));
  auto Receive = [Self](EntryMessage &&M) { Self->receive(std::move(M)); };
  Self->Duty::receive(Rings.BackendsToCallers, Receive);
  Self->Duty::receive(Rings.PeersToCallers, Receive);
  Self->Duty::receive(Rings.RunsToCallers,
                      [Self](RunChange &&Change) { Self->receive(Change); });
  Self->Duty::receive(Rings.PlatformToCallers, [Self](TableReply &&Reply) {
    Self->run(Self->Core->handleTableReply(Reply, Self->now()));
  });
  Self->Loop.every(TickInterval, [Self] {
    Self->refresh();
    Self->run(Self->Core->tick(Self->now()));
    Self->Idle = Self->hasFinished();
  });
  Self->Loop.every(StatusInterval, [Self] { Self->publishStatus(); });
  return Made;
}

void CallersDuty::drain(Duration Grace) {
  Loop.post([this, Grace] {
    IsStopping = true;
    Loop.after(Grace, [this] {
      Core->drain();
      Server->drain();
    });
    // From then on callers cannot connect, which tells them that nothing ran.
    Loop.after(Grace + RefusalTime, [this] {
      Server->stopListening();
      HasStopped = true;
    });
  });
}

bool CallersDuty::hasFinished() const {
  if (IsStopping && (!HasStopped || Server->connectionCount() > 0))
    return false;
  return Core->isIdle();
}

void CallersDuty::refresh() {
  std::uint64_t NewConfig = Rings.Config.generation();
  if (NewConfig != ConfigGeneration) {
    ConfigGeneration = NewConfig;
    std::shared_ptr<const ActiveConfig> Config = Rings.Config.current();
    ConfigVersion = Config ? Config->Version : 0;
    if (Config && !Config->Objects.Listeners.empty())
      Server->setLimits(limitsOf(Config->Objects.Listeners.front()));
    Core->configure(std::move(Config));
  }
  std::uint64_t NewView = Rings.View.generation();
  if (NewView != ViewGeneration) {
    ViewGeneration = NewView;
    Core->updateView(Rings.View.current());
  }
}

HttpAnswer CallersDuty::refuse(Reason Why, const std::string &CallerId) {
  countRequest(Rings.Metrics, Outcome::NotRun, reasonInfo(Why).Name);
  Refusal What;
  What.Why = Why;
  What.CallerId = CallerId;
  return Protocol->refuse(What);
}

void CallersDuty::handle(std::shared_ptr<HttpExchange> Exchange) {
  refresh();
  const std::string &Target = Exchange->request().Target;
  if (Target.rfind(OwnPathPrefix, 0) == 0)
    return handleMint(std::move(Exchange));
  handleRequest(Exchange);
}

void CallersDuty::handleRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  HttpRequest &Request = Exchange->request();
  std::optional<CallerRequest> Described = handleError(
      [&]() -> Result<std::optional<CallerRequest>> {
        BOOST_LEAF_AUTO(Read, Protocol->describe(Request));
        return std::optional<CallerRequest>(std::move(Read));
      },
      [](const Error &E) {
        logEvent(LogLevel::Info, "callers", "request-malformed",
                 {{"error", E.Message}});
        return std::optional<CallerRequest>();
      });
  if (!Described)
    return Exchange->reply(refuse(Reason::BadRequest));
  RuleName ParentRule = noteParent(*Described);
  EntryActions Actions;
  RequestId Id = Core->accept(*Described, now(), Actions);
  Requests.emplace(Id.Sequence,
                   Waiting{Exchange, Request, Described->CallerId, std::nullopt,
                           now(), ParentRule, false});
  Exchange->onGone([this, Id] { callerGone(Id); });
  run(std::move(Actions));
}

void CallersDuty::callerGone(const RequestId &Id) {
  auto It = Requests.find(Id.Sequence);
  if (It != Requests.end()) {
    logEvent(LogLevel::Info, "entry", "caller-gone",
             {{"request_id", toString(Id)},
              {"caller_id", It->second.CallerId},
              {"duration_ms", (now() - It->second.Since).ms()}});
    noteSubRequestEnd(It->second);
    Requests.erase(It);
  }
  run(Core->handleCallerGone(Id, now()));
}

RuleName CallersDuty::noteParent(CallerRequest &Request) {
  auto It = Runs.find(Request.ParentId);
  if (It == Runs.end())
    return RuleName();
  Request.ParentPriority = It->second.Priority;
  tellBackends(SubRequestSeen{Request.ParentId});
  return It->second.Rule;
}

void CallersDuty::noteSubRequestEnd(const Waiting &Ended) {
  if (Ended.ParentRule.empty())
    return;
  tellBackends(SubRequestEnded{Ended.ParentRule, !Ended.IsSent});
}

void CallersDuty::tellBackends(SubRequestNotice Notice) {
  // Without it, a run looks slower to its guard than it is, or the guard notes
  // later that the services behind it have no room.
  if (!Rings.SubRequestsToBackends.trySend(std::move(Notice)))
    logEvent(LogLevel::Warning, "callers", "sub-request-notice-dropped");
}

void CallersDuty::receive(const RunChange &Change) {
  if (Change.IsRunning)
    Runs.insert_or_assign(Change.CallerId, Change);
  else
    Runs.erase(Change.CallerId);
}

void CallersDuty::handleMint(std::shared_ptr<HttpExchange> Exchange) {
  const HttpRequest &Request = Exchange->request();
  ServiceName Service = handleError(
      [&]() -> Result<ServiceName> {
        BOOST_LEAF_AUTO(Target, parseTarget(Request.Target));
        return ServiceName(Target.Parameters["service"]);
      },
      [](const Error &) { return ServiceName(); });
  if (Request.Method != "POST" || pathOf(Request.Target) != KeysPath ||
      !isValidName(Service.str()))
    return Exchange->reply(refuse(Reason::BadRequest));
  std::uint64_t Token = NextMint++;
  Mints.emplace(Token, std::move(Exchange));
  run(Core->mintKey(Token, Service, now()));
}

void CallersDuty::receive(EntryMessage Message) {
  std::visit(
      Overloaded{[&](AttemptFailed &M) {
                   logFailure(M);
                   run(Core->handleFailure(M, now()));
                 },
                 [&](AttemptAnswer &M) { answer(std::move(M)); },
                 [&](AttemptOverdue &M) { run(Core->handleOverdue(M, now())); },
                 [&](Grant &M) { run(Core->handleGrant(M, now())); },
                 [&](KeyMinted &M) { run(Core->handleKeyMinted(M, now())); }},
      Message);
}

void CallersDuty::logFailure(const AttemptFailed &M) const {
  Rings.Metrics
      .counter("teaselhitch_attempts_failed_total",
               "Attempts that brought no answer, by reason.",
               std::string("reason=\"") + reasonInfo(M.Cause).Name + "\"")
      .add();
  logEvent(LogLevel::Info, "entry", "attempt-failed",
           {{"attempt", toString(M.Attempt)},
            {"reason", reasonInfo(M.Cause).Name},
            {"outcome", outcomeName(M.Result)},
            {"in_progress", M.Load.InProgress},
            {"waiting", M.Load.Waiting},
            {"risk_percent", M.Load.RiskPercent}});
}

void CallersDuty::run(EntryActions Actions) {
  for (EntryAction &Action : Actions)
    std::visit(Overloaded{[&](SendOffer &A) { perform(std::move(A)); },
                          [&](SendAttempt &A) { perform(std::move(A)); },
                          [&](TableRequest &A) { perform(std::move(A)); },
                          [](ReplyAnswer &) {}, [](KeepAnswer &) {},
                          [&](auto &A) { perform(A); }},
               Action);
}

bool CallersDuty::sendTo(const NodeName &Guard, GuardMessage Message) {
  if (Guard == Settings.Node)
    return Rings.CallersToBackends.trySend(Message);
  return Rings.CallersToPeers.trySend(ToGuard{Guard, std::move(Message)});
}

void CallersDuty::perform(SendOffer Action) {
  auto It = Requests.find(Action.Info.Attempt.Request.Sequence);
  if (It == Requests.end())
    return;
  logEvent(LogLevel::Info, "entry", "offer",
           {{"attempt", toString(Action.Info.Attempt)},
            {"caller_id", It->second.CallerId},
            {"rule", Action.Info.Rule.str()},
            {"service", Action.Info.Service.str()},
            {"node", Action.Guard.str()},
            {"server", Action.Info.Preferred.str()},
            {"idempotent", Action.Info.Idempotent},
            {"strict", Action.Info.Strict},
            {"avoids_risk", Action.Info.AvoidsRisk},
            {"max_risk_percent", Action.Info.MaxRiskPercent},
            {"remaining_ms", Action.Info.Remaining.ms()},
            {"config", ConfigVersion}});
  AttemptId Attempt = Action.Info.Attempt;
  if (!sendTo(Action.Guard, Offer{std::move(Action.Info)}))
    run(Core->handleFailure(notSent(Attempt, Reason::Overloaded), now()));
}

void CallersDuty::perform(SendAttempt Action) {
  auto It = Requests.find(Action.Info.Attempt.Request.Sequence);
  if (It == Requests.end())
    return;
  AttemptId Attempt = Action.Info.Attempt;
  It->second.IsSent = true;
  logEvent(LogLevel::Info, "entry", "dispatch",
           {{"attempt", toString(Attempt)},
            {"node", Action.Guard.str()},
            {"remaining_ms", Action.Info.Remaining.ms()}});
  // The request is kept, because another attempt may follow.
  if (!sendTo(Action.Guard,
              Dispatch{std::move(Action.Info), It->second.Request}))
    run(Core->handleFailure(notSent(Attempt, Reason::Overloaded), now()));
}

void CallersDuty::perform(const SendCancel &Action) {
  // A lost cancellation is made good by the deadline at the guard.
  if (!sendTo(Action.Guard, Cancel{Action.Attempt}))
    logEvent(LogLevel::Warning, "callers", "cancel-dropped",
             {{"attempt", toString(Action.Attempt)}});
}

void CallersDuty::perform(const SendMintKey &Action) {
  if (!sendTo(Action.Guard, Action.Request))
    run(Core->handleKeyMinted(KeyMinted{Action.Request.Token, "", Duration()},
                              now()));
}

void CallersDuty::perform(TableRequest Action) {
  std::uint64_t Token = Action.Token;
  if (Rings.CallersToPlatform.trySend(Action))
    return;
  TableReply Refused;
  Refused.Token = Token;
  Refused.Status = TableStatus::Unavailable;
  run(Core->handleTableReply(Refused, now()));
}

void CallersDuty::perform(const ReplyFailure &Action) {
  auto It = Requests.find(Action.Request.Sequence);
  if (It != Requests.end() && It->second.Kept) {
    HttpAnswer Kept = std::move(*It->second.Kept);
    Protocol->finish(Kept, toString(Action.Request));
    return finish(Action.Request, std::move(Kept), Outcome::Completed, "none");
  }
  Refusal What{Action.Cause, Action.Result, Action.RetryAfter,
               toString(Action.Request),
               It == Requests.end() ? "" : It->second.CallerId};
  finish(Action.Request, Protocol->refuse(What), Action.Result,
         reasonInfo(Action.Cause).Name);
}

void CallersDuty::perform(const ReplyKey &Action) {
  auto It = Mints.find(Action.Token);
  if (It == Mints.end())
    return;
  std::shared_ptr<HttpExchange> Exchange = std::move(It->second);
  Mints.erase(It);
  if (Action.Key.empty())
    return Exchange->reply(refuse(Reason::NoBackendServer));
  boost::json::object Body;
  Body["key"] = Action.Key;
  Body["expires_in_ms"] = static_cast<std::int64_t>(Action.ValidFor.ms());
  constexpr unsigned Created = 201;
  Exchange->reply(makeJson(Created, Body));
}

void CallersDuty::answer(AttemptAnswer Answer) {
  EntryActions Actions = Core->handleAnswer(Answer, now());
  for (const EntryAction &Action : Actions) {
    if (std::holds_alternative<KeepAnswer>(Action))
      keep(Answer);
    if (!std::holds_alternative<ReplyAnswer>(Action))
      continue;
    Protocol->finish(Answer.Answer, toString(Answer.Attempt.Request));
    finish(Answer.Attempt.Request, std::move(Answer.Answer), Outcome::Completed,
           "none");
  }
  run(std::move(Actions));
}

void CallersDuty::keep(const AttemptAnswer &Answer) {
  auto It = Requests.find(Answer.Attempt.Request.Sequence);
  if (It == Requests.end())
    return;
  logEvent(LogLevel::Info, "entry", "answer-kept",
           {{"attempt", toString(Answer.Attempt)},
            {"status", Answer.Answer.Status}});
  It->second.Kept = Answer.Answer;
}

void CallersDuty::finish(const RequestId &Id, HttpAnswer Answer, Outcome Result,
                         const char *ReasonName) {
  countRequest(Rings.Metrics, Result, ReasonName);
  auto It = Requests.find(Id.Sequence);
  if (It == Requests.end())
    return;
  Waiting Done = std::move(It->second);
  Requests.erase(It);
  noteSubRequestEnd(Done);
  Latency.record(now() - Done.Since);
  logEvent(LogLevel::Info, "entry", "request-ended",
           {{"request_id", toString(Id)},
            {"caller_id", Done.CallerId},
            {"outcome", outcomeName(Result)},
            {"reason", ReasonName},
            {"status", Answer.Status},
            {"duration_ms", (now() - Done.Since).ms()}});
  Done.Exchange->reply(std::move(Answer));
}

void CallersDuty::publishStatus() {
  boost::json::object Status;
  Status["requests_in_progress"] = Requests.size();
  Status["connections"] = Server->connectionCount();
  Status["stray_messages"] = Core->strayMessages();
  Rings.CallersStatus.publish(
      std::make_shared<boost::json::value>(std::move(Status)));
}

} // namespace teaselhitch
