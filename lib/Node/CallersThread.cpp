#include "CallersThread.h"

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

/// Wake-ups take most of the processor time of a quiet node, so this is as long
/// as Entry::tick() permits.
constexpr Duration TickInterval = Duration(20);
constexpr Duration StatusInterval = Duration(500);
/// How long requests are refused with a reason, while draining, before the
/// listener closes.
constexpr Duration RefusalPeriod = Duration(200);
/// Largest body that fits into one frame between nodes. 1 MiB is left for the
/// headers of the message.
constexpr std::uint64_t MaxForwardedBytes = MaxFrameBytes - 1024 * 1024;
/// Factor by which the server keeps an idle connection longer than the
/// configured idle timeout. Callers reuse connections until shortly before that
/// timeout; a connection that the server closes at the same moment would lose a
/// request.
constexpr double IdleTimeoutFactor = 1.25;
/// Smallest delay that `Retry-After` can state.
constexpr Duration MemoryRetryAfter = Duration::seconds(1);
constexpr const char *KeysPath = "/.teaselhitch/keys";
constexpr const char *ReservedPathPrefix = "/.teaselhitch/";

HttpLimits httpLimits(const Listener &L) {
  HttpLimits Limits;
  Limits.MaxHeaderBytes = L.MaxHeaderBytes;
  Limits.MaxBodyBytes = std::min(L.MaxBodyBytes, MaxForwardedBytes);
  Limits.HeaderTimeout = L.HeaderTimeout;
  Limits.IdleTimeout = L.IdleTimeout * IdleTimeoutFactor;
  return Limits;
}

/// Logs the number of known keys, so that a wrong or missing list of keys can
/// be told from callers with wrong keys.
void logCredentials(const ActiveConfig &Config) {
  if (!Config.Objects.Listeners.front().RequiresCredentials)
    return;
  std::size_t Keys = 0;
  for (const Organisation &O : Config.Objects.Organisations)
    Keys += O.KeyDigests.size();
  logEvent(LogLevel::Info, "entry", "credentials-in-force",
           {{"config", Config.Version},
            {"organisations", Config.Objects.Organisations.size()},
            {"keys", Keys}});
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

bool isReserved(const HttpRequest &Request) {
  return Request.Target.rfind(ReservedPathPrefix, 0) == 0;
}

} // namespace

CallersThread::CallersThread(const NodeSettings &Settings, SharedState &Shared)
    : Settings(Settings), Shared(Shared),
      Random(std::make_unique<SeededRandom>(std::random_device()())),
      Latency(Shared.Metrics.latency("teaselhitch_request_seconds",
                                     "Time from a whole request to its answer, "
                                     "backend server included.")),
      CreditReport(Shared.Metrics),
      PipelinedRequests(Shared.Metrics.counter(
          "teaselhitch_pipelined_requests_total",
          "Requests that were in progress together with earlier ones of their "
          "connection.")),
      DeferredRequests(Shared.Metrics.counter(
          "teaselhitch_deferred_requests_total",
          "Requests that waited for earlier ones of their connection, because "
          "they are not idempotent.")) {}

Result<std::unique_ptr<CallersThread>>
CallersThread::create(const NodeSettings &Settings,
                      const PlatformAdapter &Platform,
                      std::uint64_t Incarnation, SharedState &Shared) {
  std::unique_ptr<CallersThread> NewThread(new CallersThread(Settings, Shared));
  NewThread->Protocol = Platform.callerProtocol();
  EntrySettings EntryOptions;
  EntryOptions.Node = Settings.Node;
  EntryOptions.Domain = Settings.Domain;
  EntryOptions.Incarnation = Incarnation;
  EntryOptions.Balancer = Settings.Balancer;
  EntryOptions.MaxRequests = Settings.MaxRequests;
  EntryOptions.FleetRetries = Settings.FleetRetries;
  EntryOptions.RetryWindow = Settings.RetryWindow;
  BOOST_LEAF_ASSIGN(NewThread->Core,
                    Entry::create(std::move(EntryOptions), *NewThread->Random));

  HttpServerSettings Http;
  Http.Listen = Settings.Callers;
  Http.Limits.MaxHeaderBytes = Settings.MaxHeaderBytes;
  Http.Limits.MaxBodyBytes = Settings.MaxBodyBytes;
  Http.MaxConnections = Settings.MaxCallerConnections;
  Http.MaxPipelinedRequests = Settings.MaxPipelinedRequests;
  Http.Memory = &Shared.Memory;
  CallersThread *Self = NewThread.get();
  Http.Notify = [Self](HttpServerEvent Event) { Self->record(Event); };
  BOOST_LEAF_ASSIGN(NewThread->Server,
                    HttpServer::create(
                        NewThread->Loop, Http,
                        [Self](std::shared_ptr<HttpExchange> E) {
                          Self->handle(std::move(E));
                        },
                        [Self](Reason Cause) { return Self->refuse(Cause); }));
  auto Receive = [Self](EntryMessage &&M) { Self->receive(std::move(M)); };
  Self->EventLoopThread::subscribe(Shared.BackendsToCallers, Receive);
  Self->EventLoopThread::subscribe(Shared.PeersToCallers, Receive);
  Self->EventLoopThread::subscribe(
      Shared.CreditsToCallers,
      [Self](CreditMessage &&Message) { Self->receive(Message); });
  Self->EventLoopThread::subscribe(
      Shared.RunsToCallers,
      [Self](RunChange &&Change) { Self->receive(Change); });
  Self->EventLoopThread::subscribe(
      Shared.PlatformToCallers, [Self](TableReply &&Reply) {
        Self->StoreIncarnation = Reply.StoreIncarnation;
        Self->execute(Self->Core->handleTableReply(Reply, Self->now()));
      });
  Self->Loop.schedulePeriodic(TickInterval, [Self] {
    Self->refresh();
    Self->execute(Self->Core->tick(Self->now()));
    Self->Idle = Self->hasFinished();
  });
  Self->Loop.schedulePeriodic(StatusInterval,
                              [Self] { Self->publishStatus(); });
  return NewThread;
}

void CallersThread::drain(Duration Grace) {
  Loop.post([this, Grace] {
    IsStopping = true;
    Loop.schedule(Grace, [this] {
      Core->drain();
      Server->drain();
    });
    // From then on, connections are refused, which tells callers that their
    // requests did not run.
    Loop.schedule(Grace + RefusalPeriod, [this] {
      Server->stopListening();
      IsListenerClosed = true;
    });
  });
}

void CallersThread::endRequests() {
  Loop.post([this] {
    execute(Core->endRequests(now()));
    Idle = hasFinished();
  });
}

bool CallersThread::hasFinished() const {
  if (IsStopping && (!IsListenerClosed || Server->connectionCount() > 0))
    return false;
  return Core->isIdle();
}

void CallersThread::refresh() {
  std::uint64_t NewConfig = Shared.Config.generation();
  if (NewConfig != ConfigGeneration) {
    ConfigGeneration = NewConfig;
    std::shared_ptr<const ActiveConfig> Config = Shared.Config.current();
    ConfigVersion = Config ? Config->Version : 0;
    if (Config && !Config->Objects.Listeners.empty()) {
      Server->setLimits(httpLimits(Config->Objects.Listeners.front()));
      logCredentials(*Config);
    }
    Core->configure(std::move(Config));
  }
  std::uint64_t NewView = Shared.View.generation();
  if (NewView != ViewGeneration) {
    ViewGeneration = NewView;
    Core->updateView(Shared.View.current());
  }
}

HttpAnswer CallersThread::refuse(Reason Cause, const std::string &CallerId) {
  countRequest(Shared.Metrics, Outcome::NotRun, reasonInfo(Cause).Name);
  Refusal Details;
  Details.Cause = Cause;
  Details.CallerId = CallerId;
  if (Cause == Reason::OutOfMemory)
    Details.RetryAfter = MemoryRetryAfter;
  return Protocol->refuse(Details);
}

void CallersThread::record(HttpServerEvent Event) {
  struct Description {
    const char *Name;
    const char *Cause;
  };
  auto Describe = [](HttpServerEvent E) -> Description {
    switch (E) {
    case HttpServerEvent::EvictedForMemory:
      return {"caller-evicted", "memory"};
    case HttpServerEvent::EvictedForConnections:
      return {"caller-evicted", "connections"};
    case HttpServerEvent::RefusedForMemory:
      return {"request-refused", "memory"};
    case HttpServerEvent::BodyDelayed:
      break;
    }
    return {"body-delayed", "memory"};
  };
  Description D = Describe(Event);
  Shared.Metrics
      .counter("teaselhitch_caller_limits_total",
               "Connections and requests of callers that were closed, refused "
               "or delayed, because memory or connections were used up.",
               std::string("event=\"") + D.Name + "\",cause=\"" + D.Cause +
                   "\"")
      .add();
  logEvent(LogLevel::Info, "callers", D.Name,
           {{"cause", D.Cause}, {"memory_held", Shared.Memory.held()}});
}

void CallersThread::handle(std::shared_ptr<HttpExchange> Exchange) {
  refresh();
  if (!mayRunNow(*Exchange))
    return;
  if (isReserved(Exchange->request()))
    return handleKeyRequest(std::move(Exchange));
  handleRequest(Exchange);
}

bool CallersThread::mayRunNow(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  CallerRequest Described;
  Described.Method = Request.Method;
  Described.Host = hostOf(Request);
  Described.Path = pathOf(Request.Target);
  bool HasEarlier = Exchange.hasEarlierRequests();
  if (!isReserved(Request) && Core->isIdempotent(Described)) {
    if (HasEarlier)
      PipelinedRequests.add();
    return true;
  }
  if (!HasEarlier) {
    Exchange.holdLaterRequests();
    return true;
  }
  DeferredRequests.add();
  Exchange.defer();
  return false;
}

void CallersThread::handleRequest(
    const std::shared_ptr<HttpExchange> &Exchange) {
  HttpRequest &Request = Exchange->request();
  bool RequiresCredentials = Core->requiresCredentials();
  std::optional<CallerRequest> Parsed = handleError(
      [&]() -> Result<std::optional<CallerRequest>> {
        BOOST_LEAF_AUTO(Read, Protocol->describe(Request, RequiresCredentials));
        return std::optional<CallerRequest>(std::move(Read));
      },
      [](const Error &E) {
        logEvent(LogLevel::Info, "callers", "request-malformed",
                 {{"error", E.Message}});
        return std::optional<CallerRequest>();
      });
  if (!Parsed)
    return Exchange->reply(refuse(Reason::BadRequest));
  OrganisationName Organisation;
  if (RequiresCredentials) {
    Organisation = Core->organisationOf(Parsed->CredentialDigest);
    Protocol->identify(Request, Organisation);
  }
  Parsed->Waited = Exchange->waited();
  RuleName ParentRule = resolveParent(*Parsed);
  EntryActions Actions;
  RequestId Id = Core->accept(*Parsed, now(), Actions);
  Requests.emplace(Id.Sequence,
                   PendingRequest{Exchange, Parsed->CallerId,
                                  std::move(Organisation), std::nullopt,
                                  now() - Parsed->Waited, ParentRule, false});
  Exchange->onDisconnect([this, Id] { handleCallerGone(Id); });
  execute(std::move(Actions));
}

void CallersThread::handleCallerGone(const RequestId &Id) {
  auto It = Requests.find(Id.Sequence);
  if (It != Requests.end()) {
    logEvent(LogLevel::Info, "entry", "caller-gone",
             {{"request_id", toString(Id)},
              {"caller_id", It->second.CallerId},
              {"duration_ms", (now() - It->second.ReceivedAt).ms()}});
    // A parent that gave up says nothing about the capacity.
    reportSubRequestEnd(It->second, false);
    Requests.erase(It);
  }
  execute(Core->handleCallerGone(Id, now()));
}

RuleName CallersThread::resolveParent(CallerRequest &Request) {
  auto It = Runs.find(Request.ParentId);
  if (It == Runs.end())
    return RuleName();
  Request.ParentPriority = It->second.Priority;
  if (!It->second.Organisation.empty())
    Request.ParentOrganisation = It->second.Organisation;
  Request.IsParentRepeated = It->second.IsRepeat;
  notifyBackends(SubRequestSeen{Request.ParentId});
  return It->second.Rule;
}

void CallersThread::reportSubRequestEnd(const PendingRequest &Ended,
                                        bool Congested) {
  if (Ended.ParentRule.empty())
    return;
  notifyBackends(SubRequestEnded{Ended.ParentRule, Congested});
}

void CallersThread::notifyBackends(SubRequestNotice Notice) {
  // If a notice is dropped, the run looks slower to its guard than it is, or
  // the guard learns later that the services that the run depends on are
  // congested.
  if (!Shared.SubRequestsToBackends.trySend(std::move(Notice)))
    logEvent(LogLevel::Warning, "callers", "sub-request-notice-dropped");
}

void CallersThread::receive(const RunChange &Change) {
  if (Change.IsRunning)
    Runs.insert_or_assign(Change.CallerId, Change);
  else
    Runs.erase(Change.CallerId);
}

void CallersThread::handleKeyRequest(std::shared_ptr<HttpExchange> Exchange) {
  HttpRequest &Request = Exchange->request();
  if (Core->requiresCredentials() &&
      Core->organisationOf(takeBearerDigest(Request.Headers)).empty())
    return Exchange->reply(refuse(Reason::UnknownCredential));
  ServiceName Service = handleError(
      [&]() -> Result<ServiceName> {
        BOOST_LEAF_AUTO(Target, parseTarget(Request.Target));
        return ServiceName(Target.Parameters["service"]);
      },
      [](const Error &) { return ServiceName(); });
  if (Request.Method != "POST" || pathOf(Request.Target) != KeysPath ||
      !isValidName(Service.str()))
    return Exchange->reply(refuse(Reason::BadRequest));
  std::uint64_t Token = NextKeyToken++;
  KeyRequests.emplace(Token, std::move(Exchange));
  execute(Core->mintKey(Token, Service, now()));
}

void CallersThread::receive(EntryMessage Message) {
  std::visit(
      Overloaded{
          [&](AttemptFailed &M) {
            logFailure(M);
            execute(Core->handleFailure(M, now()));
          },
          [&](AttemptAnswer &M) { handleAnswer(std::move(M)); },
          [&](AttemptOverdue &M) { execute(Core->handleOverdue(M, now())); },
          [&](Grant &M) { execute(Core->handleGrant(M, now())); },
          [&](KeyMinted &M) { execute(Core->handleKeyMinted(M, now())); }},
      Message);
}

void CallersThread::logFailure(const AttemptFailed &M) const {
  Shared.Metrics
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

void CallersThread::execute(EntryActions Actions) {
  for (EntryAction &Action : Actions)
    std::visit(Overloaded{[&](SendOffer &A) { perform(std::move(A)); },
                          [&](SendAttempt &A) { perform(std::move(A)); },
                          [&](TableRequest &A) { perform(std::move(A)); },
                          [](ReplyAnswer &) {}, [](KeepAnswer &) {},
                          [&](auto &A) { perform(A); }},
               Action);
}

bool CallersThread::sendToGuard(const NodeName &Guard, GuardMessage Message) {
  if (Guard == Settings.Node)
    return Shared.CallersToBackends.trySend(Message);
  return Shared.CallersToPeers.trySend(
      OutboundGuardMessage{Guard, std::move(Message)});
}

void CallersThread::perform(SendOffer Action) {
  auto It = Requests.find(Action.Info.Attempt.Request.Sequence);
  if (It == Requests.end())
    return;
  logEvent(LogLevel::Info, "entry", "offer",
           {{"attempt", toString(Action.Info.Attempt)},
            {"caller_id", It->second.CallerId},
            {"rule", Action.Info.Rule.str()},
            {"organisation", Action.Info.Organisation.str()},
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
  if (!sendToGuard(Action.Guard, Offer{std::move(Action.Info)}))
    execute(Core->handleFailure(makeNotRunFailure(Attempt, Reason::Overloaded),
                                now()));
}

void CallersThread::perform(SendAttempt Action) {
  auto It = Requests.find(Action.Info.Attempt.Request.Sequence);
  if (It == Requests.end())
    return;
  AttemptId Attempt = Action.Info.Attempt;
  It->second.IsSent = true;
  logEvent(LogLevel::Info, "entry", "dispatch",
           {{"attempt", toString(Attempt)},
            {"node", Action.Guard.str()},
            {"remaining_ms", Action.Info.Remaining.ms()}});
  // The request is copied, because another attempt may need it.
  if (!sendToGuard(Action.Guard, Dispatch{std::move(Action.Info),
                                          It->second.Exchange->request()}))
    execute(Core->handleFailure(makeNotRunFailure(Attempt, Reason::Overloaded),
                                now()));
}

void CallersThread::perform(const SendCancel &Action) {
  // If the cancellation is dropped, the guard aborts the attempt at its
  // deadline.
  if (!sendToGuard(Action.Guard, Cancel{Action.Attempt}))
    logEvent(LogLevel::Warning, "callers", "cancel-dropped",
             {{"attempt", toString(Action.Attempt)}});
}

void CallersThread::perform(const SendMintKey &Action) {
  if (!sendToGuard(Action.Guard, Action.Request))
    execute(Core->handleKeyMinted(
        KeyMinted{Action.Request.Token, "", Duration()}, now()));
}

void CallersThread::perform(TableRequest Action) {
  std::uint64_t Token = Action.Token;
  Action.StoreIncarnation = StoreIncarnation;
  if (Shared.CallersToPlatform.trySend(Action))
    return;
  TableReply Refused;
  Refused.Token = Token;
  Refused.Status = TableStatus::Unavailable;
  execute(Core->handleTableReply(Refused, now()));
}

void CallersThread::perform(const ReplyFailure &Action) {
  auto It = Requests.find(Action.Request.Sequence);
  if (It != Requests.end() && It->second.FallbackAnswer) {
    HttpAnswer FallbackAnswer = std::move(*It->second.FallbackAnswer);
    Protocol->finish(FallbackAnswer, toString(Action.Request));
    return finish(Action.Request, std::move(FallbackAnswer), Outcome::Completed,
                  "none");
  }
  Refusal Details{Action.Cause, Action.Result, Action.RetryAfter,
                  toString(Action.Request),
                  It == Requests.end() ? "" : It->second.CallerId};
  finish(Action.Request, Protocol->refuse(Details), Action.Result,
         reasonInfo(Action.Cause).Name);
}

void CallersThread::perform(const ReplyKey &Action) {
  auto It = KeyRequests.find(Action.Token);
  if (It == KeyRequests.end())
    return;
  std::shared_ptr<HttpExchange> Exchange = std::move(It->second);
  KeyRequests.erase(It);
  if (Action.Key.empty())
    return Exchange->reply(refuse(Reason::NoBackendServer));
  boost::json::object Body;
  Body["key"] = Action.Key;
  Body["expires_in_ms"] = static_cast<std::int64_t>(Action.ValidFor.ms());
  constexpr unsigned Created = 201;
  Exchange->reply(makeJson(Created, Body));
}

void CallersThread::handleAnswer(AttemptAnswer Answer) {
  EntryActions Actions = Core->handleAnswer(Answer, now());
  for (const EntryAction &Action : Actions) {
    if (std::holds_alternative<KeepAnswer>(Action))
      keepAnswer(Answer);
    if (!std::holds_alternative<ReplyAnswer>(Action))
      continue;
    Protocol->finish(Answer.Answer, toString(Answer.Attempt.Request));
    finish(Answer.Attempt.Request, std::move(Answer.Answer), Outcome::Completed,
           "none");
  }
  execute(std::move(Actions));
}

void CallersThread::keepAnswer(const AttemptAnswer &Answer) {
  auto It = Requests.find(Answer.Attempt.Request.Sequence);
  if (It == Requests.end())
    return;
  logEvent(LogLevel::Info, "entry", "answer-kept",
           {{"attempt", toString(Answer.Attempt)},
            {"status", Answer.Answer.Status}});
  It->second.FallbackAnswer = Answer.Answer;
}

void CallersThread::finish(const RequestId &Id, HttpAnswer Answer,
                           Outcome Result, const char *ReasonName) {
  countRequest(Shared.Metrics, Result, ReasonName);
  auto It = Requests.find(Id.Sequence);
  if (It == Requests.end())
    return;
  PendingRequest Done = std::move(It->second);
  Requests.erase(It);
  reportSubRequestEnd(Done, !Done.IsSent);
  Latency.record(now() - Done.ReceivedAt);
  logEvent(LogLevel::Info, "entry", "request-ended",
           {{"request_id", toString(Id)},
            {"caller_id", Done.CallerId},
            {"organisation", Done.Organisation.str()},
            {"outcome", outcomeName(Result)},
            {"reason", ReasonName},
            {"status", Answer.Status},
            {"duration_ms", (now() - Done.ReceivedAt).ms()}});
  Done.Exchange->reply(std::move(Answer));
}

void CallersThread::publishStatus() {
  boost::json::object Status;
  Status["requests_in_progress"] = Requests.size();
  Status["connections"] = Server->connectionCount();
  Status["stray_messages"] = Core->strayMessages();
  CreditReport.update(Core->credits(), Status);
  Shared.CallersStatus.publish(
      std::make_shared<boost::json::value>(std::move(Status)));
}

} // namespace teaselhitch
