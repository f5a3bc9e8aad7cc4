#include "BackendServer.h"

#include "JsonMembers.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <limits>
#include <optional>

namespace teaselhitch::standin {

namespace {

/// Delay before the exit, in which the last response is sent.
constexpr Duration ExitDelay(100);

/// The remaining time from the header `Teaselhitch-Deadline-Ms`. Infinite if
/// the header is missing or malformed.
Duration remainingTime(const HttpRequest &Request) {
  std::string Text = headerOf(Request, "Teaselhitch-Deadline-Ms");
  double Ms = 0;
  auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Ms);
  if (Text.empty() || Status != std::errc())
    return Duration(std::numeric_limits<double>::infinity());
  return Duration(Ms);
}

HttpResponse notRunResponse(unsigned Status, std::string_view Message) {
  HttpResponse Response = errorResponse(Status, Message);
  Response.set("Teaselhitch-Outcome", "not-run");
  if (Status == 503)
    Response.set("Retry-After", "1");
  return Response;
}

} // namespace

/// A request that occupies a slot.
struct BackendServer::Work {
  ExchangePtr Current;
  FaultEffect Effect;
  /// Whether the deadline passes before the work is complete.
  bool Expires = false;
  TimerPtr Timer;
};

BackendServer::BackendServer(boost::asio::io_context &Context,
                             BackendSettings NewSettings)
    : Context(Context), Settings(std::move(NewSettings)),
      Server(Context, [this](const ExchangePtr &Current) { handle(Current); }),
      Announcements(Context, Settings.Announce,
                    [this] { return announcement(); }),
      Random(Settings.Seed) {}

Result<Endpoint> BackendServer::start() {
  BOOST_LEAF_ASSIGN(Settings.Listen, Server.listen(Settings.Listen));
  if (!Settings.RunsFile.empty() &&
      !Runs.openFile(Settings.RunsFile,
                     {toString(Settings.Listen), Settings.Incarnation}))
    return makeError(ErrorCode::Unavailable,
                     "cannot write '" + Settings.RunsFile + "'");
  if (Settings.ColdStart <= Duration())
    State = BackendServerState::Ready;
  else
    runAfter(Context, Settings.ColdStart, [this] {
      if (State == BackendServerState::Starting)
        State = BackendServerState::Ready;
      Announcements.announce();
    });
  Announcements.announce();
  return Endpoint(Settings.Listen);
}

void BackendServer::drain() {
  if (State == BackendServerState::Draining)
    return;
  State = BackendServerState::Draining;
  Announcements.announce();
  runAfter(Context, Settings.MinimumDrain, [this] {
    MinimumDrainPassed = true;
    exitWhenDrained();
  });
}

void BackendServer::exitWhenDrained() {
  if (!MinimumDrainPassed || InProgress > 0)
    return;
  Server.stopListening();
  runAfter(Context, ExitDelay, [this] {
    if (InProgress == 0)
      Context.stop();
  });
}

void BackendServer::handle(const ExchangePtr &Current) {
  auto Target = Current->request().target();
  // The health check always succeeds, on purpose: in a gray failure, health
  // checks pass while requests fail.
  if (Target == "/health")
    return Current->answer(makeResponse(200, "{\"status\":\"ok\"}"));
  if (Target.starts_with("/standin/"))
    return handleControl(Current);
  handleWork(Current);
}

void BackendServer::handleControl(const ExchangePtr &Current) {
  auto Target = Current->request().target();
  if (Target == "/standin/runs")
    return Current->answer(makeResponse(200, statistics()));
  if (Target == "/standin/faults")
    return handleFaults(Current);
  if (Target != "/standin/drain")
    return Current->answer(makeResponse(404));
  drain();
  Current->answer(makeResponse(202));
}

void BackendServer::handleFaults(const ExchangePtr &Current) {
  Current->answer(handleError(
      [&]() -> Result<HttpResponse> {
        BOOST_LEAF_ASSIGN(
            Faults, parseBackendFaults(Current->request().body(), Clock.now()));
        if (Faults.Mode == BackendFaultMode::Silent)
          Server.silenceConnections(Current.get());
        return makeResponse(204);
      },
      [](const Error &E) { return errorResponse(400, E.Message); }));
}

void BackendServer::handleWork(const ExchangePtr &Current) {
  const HttpRequest &Request = Current->request();
  if (Faults.Mode == BackendFaultMode::CrashOnMark &&
      headerOf(Request, "Standin-Crash") == "yes")
    crash(Request);
  if (State == BackendServerState::Draining)
    ++LateRequests;
  if (State == BackendServerState::Starting || InProgress >= Settings.Slots) {
    ++Shed;
    return Current->answer(notRunResponse(503, "no free slot"));
  }
  Duration Remaining = remainingTime(Request);
  if (Remaining <= Duration()) {
    ++Expired;
    return Current->answer(notRunResponse(504, "deadline has passed"));
  }
  startWork(Current, Remaining);
}

void BackendServer::startWork(const ExchangePtr &Current, Duration Remaining) {
  const HttpRequest &Request = Current->request();
  Runs.record(headerOf(Request, "Idempotency-Key"),
              headerOf(Request, "Teaselhitch-Request-Id"));
  MaxInProgress = std::max(MaxInProgress, ++InProgress);
  auto Job = std::make_shared<Work>();
  Job->Current = Current;
  Job->Effect =
      chooseEffect(Faults, headerOf(Request, "Teaselhitch-Organisation"),
                   Clock.now(), Random);
  Duration Needed = Settings.Work * Job->Effect.WorkFactor;
  Job->Expires = Needed > Remaining;
  Job->Timer = runAfter(Context, std::min(Needed, Remaining),
                        [this, Job] { finishWork(Job); });
  Current->onCancel([this, Job] { cancelWork(Job); });
}

void BackendServer::finishWork(const WorkPtr &Job) {
  const HttpRequest &Request = Job->Current->request();
  boost::json::object Body{
      {"server", Settings.Name},
      {"service", Settings.Service},
      {"request_id", headerOf(Request, "Teaselhitch-Request-Id")},
      {"key", headerOf(Request, "Idempotency-Key")},
      {"nonce", headerOf(Request, "Standin-Nonce")}};
  unsigned Status = Job->Expires ? 504 : Job->Effect.Fails ? 500 : 200;
  Expired += Status == 504;
  Failed += Status == 500;
  HttpResponse Response = makeResponse(Status, boost::json::serialize(Body));
  Response.set("Teaselhitch-Request-Id",
               headerOf(Request, "Teaselhitch-Request-Id"));
  Job->Current->answer(std::move(Response));
  releaseSlot();
}

void BackendServer::cancelWork(const WorkPtr &Job) {
  Job->Timer->cancel();
  ++Cancelled;
  releaseSlot();
}

void BackendServer::releaseSlot() {
  --InProgress;
  exitWhenDrained();
}

/// Terminates the process without cleanup, as a real crash does.
void BackendServer::crash(const HttpRequest &Request) {
  Runs.record(headerOf(Request, "Idempotency-Key"),
              headerOf(Request, "Teaselhitch-Request-Id"));
  std::_Exit(ExitCrashed);
}

std::string BackendServer::announcement() const {
  boost::json::object Body{
      {"name", Settings.Name},
      {"service", Settings.Service},
      {"address", toString(Settings.Listen)},
      {"slots", Settings.Slots},
      {"incarnation", Settings.Incarnation},
      {"state", backendServerStateName(State)},
      {"load", static_cast<double>(InProgress) / Settings.Slots}};
  if (!Settings.Label.empty())
    Body["label"] = Settings.Label;
  return boost::json::serialize(Body);
}

std::string BackendServer::statistics() const {
  boost::json::object Body{{"server", Settings.Name},
                           {"address", toString(Settings.Listen)},
                           {"incarnation", Settings.Incarnation},
                           {"state", backendServerStateName(State)},
                           {"in_progress", InProgress},
                           {"max_in_progress", MaxInProgress},
                           {"shed", Shed},
                           {"cancelled", Cancelled},
                           {"expired", Expired},
                           {"failed", Failed},
                           {"after_drain", LateRequests},
                           {"runs", toJson(Runs.counts().ByKey)},
                           {"requests", toJson(Runs.counts().ByRequest)}};
  return boost::json::serialize(Body);
}

} // namespace teaselhitch::standin
