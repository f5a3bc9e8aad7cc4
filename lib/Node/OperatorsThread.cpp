#include "OperatorsThread.h"

#include "teaselhitch/Integration/Problem.h"
#include "teaselhitch/Platform/Url.h"
#include "teaselhitch/Support/Log.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <charconv>

namespace teaselhitch {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned MethodNotAllowed = 405;
constexpr unsigned Unavailable = 503;
constexpr std::uint64_t DefaultAuditLimit = 100;
/// After this time a node is ready even if it knows no other node, because it
/// may be the first of its fleet.
constexpr Duration MaxJoinTime = Duration::seconds(5);
/// Time from the first contact until the records of other nodes have arrived. A
/// starting node exchanges records each second.
constexpr Duration SyncTime = Duration(1500);
constexpr Duration PeersCheckInterval = Duration(100);

HttpAnswer error(unsigned Status, const std::string &Message) {
  boost::json::object Body;
  Body["error"] = Message;
  return makeJson(Status, Body);
}

boost::json::value
valueOrNull(const PublishedSnapshot<boost::json::value> &Source) {
  std::shared_ptr<const boost::json::value> Current = Source.current();
  return Current ? *Current : boost::json::value();
}

boost::json::array describeNodes(const FleetView &View) {
  boost::json::array Nodes;
  if (!View.Nodes)
    return Nodes;
  for (const auto &[Name, Node] : *View.Nodes)
    Nodes.push_back(
        boost::json::object{{"name", Name.str()},
                            {"address", toString(Node.Address)},
                            {"failure_domain", Node.Domain.str()},
                            {"region", Node.Region.str()},
                            {"state", nodeStateName(Node.State)},
                            {"incarnation", Node.Version.Incarnation}});
  return Nodes;
}

boost::json::object describeServices(const FleetView &View) {
  boost::json::object Services;
  for (const auto &[Name, Servers] : View.Services) {
    boost::json::array Items;
    for (const BackendServerRecord &Server : *Servers)
      Items.push_back(boost::json::object{
          {"node", Server.Id.Node.str()},
          {"name", Server.Id.Name.str()},
          {"state", backendServerStateName(Server.State)},
          {"health", backendServerHealthName(Server.Health)},
          {"weight", Server.Weight},
          {"slots", Server.Slots}});
    Services[Name.str()] = std::move(Items);
  }
  return Services;
}

/// Called only when the status is requested, because it takes milliseconds with
/// 18,000 backend servers.
boost::json::object describeView(const SharedState &Shared) {
  boost::json::object Described;
  std::shared_ptr<const FleetView> View = Shared.View.current();
  if (View) {
    Described["nodes"] = describeNodes(*View);
    Described["services"] = describeServices(*View);
  }
  return Described;
}

/// Parses a query parameter as a number. Returns Default if it is absent.
Result<std::uint64_t> numberParameter(const RequestTarget &Target,
                                      const std::string &Name,
                                      std::uint64_t Default) {
  auto It = Target.Parameters.find(Name);
  if (It == Target.Parameters.end())
    return Default;
  const std::string &Text = It->second;
  std::uint64_t Value = 0;
  auto [End, ParseError] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (ParseError != std::errc() || End != Text.data() + Text.size())
    return makeError(ErrorCode::InvalidInput,
                     "parameter '" + Name + "': expected a whole number");
  return Value;
}

} // namespace

Result<std::unique_ptr<OperatorsThread>>
OperatorsThread::create(const NodeSettings &Settings, std::uint64_t Incarnation,
                        SharedState &Shared) {
  std::unique_ptr<OperatorsThread> NewThread(
      new OperatorsThread(Settings, Incarnation, Shared));
  OperatorsThread *Self = NewThread.get();
  HttpServerSettings Http;
  Http.Listen = Settings.Operators;
  BOOST_LEAF_ASSIGN(NewThread->Server,
                    HttpServer::create(
                        NewThread->Loop, Http,
                        [Self](const std::shared_ptr<HttpExchange> &E) {
                          E->reply(Self->handle(E->request()));
                        },
                        [](Reason Cause) {
                          return error(reasonInfo(Cause).Status,
                                       reasonInfo(Cause).Detail);
                        }));
  Self->Loop.schedulePeriodic(PeersCheckInterval,
                              [Self] { Self->checkPeers(); });
  return NewThread;
}

HttpAnswer OperatorsThread::handle(const HttpRequest &Request) {
  std::string Path = Request.Target.substr(0, Request.Target.find('?'));
  bool IsRefresh = Path == "/v1/config/refresh";
  if (Request.Method != (IsRefresh ? "POST" : "GET"))
    return error(MethodNotAllowed,
                 std::string("expected ") + (IsRefresh ? "POST" : "GET"));
  if (IsRefresh) {
    // A full channel holds an earlier refresh request, which has the same
    // effect.
    (void)Shared.OperatorsToPeers.trySend(RefreshConfig());
    return makeJson(Accepted, boost::json::object());
  }
  if (Path == "/healthz")
    return makeJson(Ok, boost::json::object{{"status", "ok"}});
  if (Path == "/readyz")
    return readiness();
  if (Path == "/metrics")
    return metrics();
  if (Path == "/v1/status")
    return status();
  if (Path == "/v1/audit")
    return audit(Request.Target);
  return error(NotFound, "unknown path '" + Path + "'");
}

HttpAnswer OperatorsThread::readiness() const {
  std::shared_ptr<const ActiveConfig> Config = Shared.Config.current();
  const char *Cause = IsDraining   ? "draining"
                      : !Config    ? "no-configuration"
                      : !hasView() ? "joining"
                                   : nullptr;
  if (Cause)
    return makeJson(Unavailable, boost::json::object{{"status", Cause}});
  return makeJson(Ok, boost::json::object{{"status", "ready"}});
}

bool OperatorsThread::hasView() const {
  Duration Uptime = now() - StartedAt;
  if (Settings.Seeds.empty() || Uptime >= MaxJoinTime)
    return true;
  return HasPeers && now() - PeersFoundAt >= SyncTime;
}

void OperatorsThread::checkPeers() {
  std::shared_ptr<const FleetView> View = Shared.View.current();
  if (HasPeers || !View || !View->Nodes || View->Nodes->size() < 2)
    return;
  HasPeers = true;
  PeersFoundAt = now();
}

HttpAnswer OperatorsThread::metrics() const {
  Shared.Metrics
      .gauge("teaselhitch_log_lines_dropped_total",
             "Log lines dropped because too many were written at once.")
      .set(static_cast<double>(droppedLogLines()));
  std::shared_ptr<const ActiveConfig> Config = Shared.Config.current();
  Shared.Metrics
      .gauge("teaselhitch_configuration_version",
             "Version of the configuration in force; 0 for none.")
      .set(Config ? static_cast<double>(Config->Version) : 0);
  HttpAnswer Answer;
  Answer.Status = Ok;
  Answer.Headers = {{"Content-Type", "text/plain; version=0.0.4"}};
  Answer.Body = Shared.Metrics.render();
  return Answer;
}

HttpAnswer OperatorsThread::status() const {
  std::shared_ptr<const ActiveConfig> Config = Shared.Config.current();
  boost::json::object Body;
  Body["node"] = Settings.Node.str();
  Body["fleet"] = Settings.Fleet;
  Body["failure_domain"] = Settings.Domain.str();
  Body["incarnation"] = Incarnation;
  Body["uptime_ms"] = static_cast<std::int64_t>((now() - StartedAt).ms());
  Body["draining"] = IsDraining.load();
  Body["configuration_version"] = Config ? Config->Version : 0;
  Body["configuration_manifest"] = Config ? Config->ManifestHash : "";
  Body["callers"] = valueOrNull(Shared.CallersStatus);
  Body["guard"] = valueOrNull(Shared.BackendsStatus);
  Body["peers"] = valueOrNull(Shared.PeersStatus);
  Body["fleet_view"] = describeView(Shared);
  return makeJson(Ok, Body);
}

HttpAnswer OperatorsThread::audit(const std::string &Text) const {
  return handleError(
      [&]() -> Result<HttpAnswer> {
        BOOST_LEAF_AUTO(Target, parseTarget(Text));
        BOOST_LEAF_AUTO(After, numberParameter(Target, "after", 0));
        BOOST_LEAF_AUTO(Limit,
                        numberParameter(Target, "limit", DefaultAuditLimit));
        boost::json::array Events;
        for (const AuditEvent &Event : Shared.Audit.events(After, Limit))
          Events.push_back(boost::json::object{{"sequence", Event.Sequence},
                                               {"time_ms", Event.TimeMs},
                                               {"kind", Event.Kind},
                                               {"subject", Event.Subject},
                                               {"detail", Event.Detail}});
        boost::json::object Body;
        Body["node"] = Settings.Node.str();
        Body["dropped"] = Shared.Audit.dropped();
        Body["events"] = std::move(Events);
        return makeJson(Ok, Body);
      },
      [](const Error &E) { return error(BadRequest, E.Message); });
}

} // namespace teaselhitch
