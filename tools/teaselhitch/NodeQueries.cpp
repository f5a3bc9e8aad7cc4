#include "NodeQueries.h"

#include "ConfigCommands.h"
#include "Options.h"
#include "teaselhitch/Platform/HttpCall.h"
#include "teaselhitch/Settings/NodeSettings.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <iomanip>
#include <iostream>

namespace teaselhitch {

namespace {

namespace json = boost::json;

constexpr Duration QueryTimeout = Duration::seconds(5);
constexpr unsigned HttpOk = 200;

/// Returns the text of a field, or "-" if the field is absent or null.
std::string field(const json::object &Object, const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  if (!Value || Value->is_null())
    return "-";
  if (Value->is_string())
    return std::string(Value->as_string());
  return json::serialize(*Value);
}

/// Returns a field that is an object, or an empty object if the field is absent
/// or of another type.
const json::object &objectField(const json::object &Object, const char *Name) {
  static const json::object Empty;
  const json::value *Value = Object.if_contains(Name);
  return Value && Value->is_object() ? Value->as_object() : Empty;
}

/// Calls \p Function with each object of an array. Ignores values of other
/// types.
void forEachObject(const json::value *Value,
                   const std::function<void(const json::object &)> &Function) {
  if (!Value || !Value->is_array())
    return;
  for (const json::value &Item : Value->as_array())
    if (Item.is_object())
      Function(Item.as_object());
}

void printStatus(const json::object &Status) {
  std::cout << "node " << field(Status, "node") << " of fleet "
            << field(Status, "fleet") << ", failure domain "
            << field(Status, "failure_domain") << ", up "
            << field(Status, "uptime_ms") << " ms"
            << (field(Status, "draining") == "true" ? ", draining" : "")
            << "\nconfiguration version "
            << field(Status, "configuration_version") << '\n';
  const json::object &View = objectField(Status, "fleet_view");
  std::cout << "\nnodes\n";
  forEachObject(View.if_contains("nodes"), [](const json::object &Node) {
    std::cout << "  " << std::left << std::setw(20) << field(Node, "name")
              << std::setw(16) << field(Node, "failure_domain") << std::setw(24)
              << field(Node, "address") << field(Node, "state") << '\n';
  });
  for (const auto &Service : objectField(View, "services")) {
    std::cout << "\nservice " << Service.key() << '\n';
    forEachObject(&Service.value(), [](const json::object &Server) {
      std::cout << "  " << std::left << std::setw(20) << field(Server, "name")
                << std::setw(20) << field(Server, "node") << std::setw(10)
                << field(Server, "state") << std::setw(11)
                << field(Server, "health") << "weight "
                << field(Server, "weight") << '\n';
    });
  }
  std::cout << "\nguarded here\n";
  const json::object &Guard = objectField(Status, "guard");
  forEachObject(
      Guard.if_contains("backend_servers"), [](const json::object &Server) {
        std::cout << "  " << std::left << std::setw(20) << field(Server, "name")
                  << std::setw(10) << field(Server, "state") << "in progress "
                  << field(Server, "in_progress") << " of "
                  << field(Server, "slots") << ", waiting "
                  << field(Server, "waiting") << ", evidence "
                  << field(Server, "evidence") << '\n';
      });
}

void printAudit(const json::object &Audit) {
  forEachObject(Audit.if_contains("events"), [](const json::object &Event) {
    std::cout << field(Event, "sequence") << ' ' << field(Event, "time_ms")
              << ' ' << field(Event, "kind") << ' ' << field(Event, "subject")
              << ": " << field(Event, "detail") << '\n';
  });
}

/// Sends a GET request for \p Path to the node that --node names and prints the
/// response with \p Print, or unchanged if --json is given. \p Name is the name
/// of the command in help texts and error messages.
int query(const std::string &Name, const std::vector<std::string> &Args,
          const std::string &Path, void (*Print)(const json::object &)) {
  std::string Address;
  bool Json = false;
  auto Report = [&](const Error &E) {
    std::cerr << Name << ": " << E.Message << '\n';
    return E.Code == ErrorCode::InvalidInput
               ? static_cast<int>(ExitBadInput)
               : static_cast<int>(ExitUnreachable);
  };
  auto Run = [&]() -> Result<int> {
    BOOST_LEAF_AUTO(
        Parsed,
        parseOptions(Name, Args,
                     {{"node", "operator address of the node", "ADDRESS:PORT",
                       &Address, nullptr},
                      {"json", "print JSON", nullptr, nullptr, &Json}}));
    if (Parsed.HelpShown)
      return static_cast<int>(ExitSuccess);
    std::optional<Endpoint> Node = parseEndpoint(Address);
    if (!Node || !Parsed.PositionalArgs.empty())
      return makeError(ErrorCode::InvalidInput,
                       "expected --node ADDRESS:PORT with an IP address");
    HttpRequest Request;
    Request.Method = "GET";
    Request.Target = Path;
    BOOST_LEAF_AUTO(Response, callHttp(*Node, Request, QueryTimeout));
    if (Response.Status != HttpOk)
      return makeError(ErrorCode::Unavailable,
                       "the node answered " + std::to_string(Response.Status));
    if (Json) {
      std::cout << Response.Body.str();
      return static_cast<int>(ExitSuccess);
    }
    json::error_code Code;
    json::value Value = json::parse(Response.Body.str(), Code);
    if (Code || !Value.is_object())
      return makeError(ErrorCode::Corrupt, "the answer is not a JSON object");
    Print(Value.as_object());
    return static_cast<int>(ExitSuccess);
  };
  return handleError(Run, Report);
}

} // namespace

int runStatusCommand(const std::vector<std::string> &Args) {
  return query("teaselhitch status", Args, "/v1/status", printStatus);
}

int runAuditCommand(const std::vector<std::string> &Args) {
  return query("teaselhitch audit", Args, "/v1/audit?limit=1000", printAudit);
}

} // namespace teaselhitch
