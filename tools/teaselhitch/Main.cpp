/// \file
/// The program `teaselhitch`, which runs a node and provides the commands of
/// operators.

#include "ConfigCommands.h"
#include "Explain.h"
#include "NodeCommand.h"
#include "NodeQueries.h"
#include "teaselhitch/Platform/HttpStores.h"
#include "teaselhitch/Settings/NodeSettings.h"
#include "teaselhitch/Support/NameSuggestion.h"

#include <iostream>

using namespace teaselhitch;

namespace {

constexpr const char *Usage =
    R"(usage: teaselhitch COMMAND [OPTION...]

commands
  node --settings FILE   run a node
  config check           check object files as one set
  config publish         check and publish object files
  config show            print the published objects
  config diff            compare object files with the published objects
  config history         list the published versions
  status --node ADDRESS  print the state of a running node, with evidence
  audit --node ADDRESS   print the changes and decisions of a running node
  explain ID             trace a request through log lines

'teaselhitch COMMAND --help' lists the options of a command.
exit codes: 0 done, 1 refused or failed, 2 bad input, 3 platform or node
unreachable
)";

Result<ConfigStores> openStores(const std::string &Platform) {
  std::optional<Endpoint> Address = parseEndpoint(Platform);
  if (!Address)
    return makeError(ErrorCode::InvalidInput,
                     "'" + Platform + "' is not an IP address and port");
  ConfigStores Stores;
  BOOST_LEAF_AUTO(Table, createHttpTableStore(*Address));
  BOOST_LEAF_AUTO(Objects, createHttpObjectStore(*Address));
  Stores.Table = std::move(Table);
  Stores.Objects = std::move(Objects);
  return Stores;
}

} // namespace

int main(int Argc, char **Argv) {
  std::vector<std::string> Args(Argv + 1, Argv + Argc);
  if (Args.empty()) {
    std::cerr << Usage;
    return ExitBadInput;
  }
  std::string Command = Args.front();
  Args.erase(Args.begin());
  if (Command == "--help" || Command == "-h") {
    std::cout << Usage;
    return ExitSuccess;
  }
  if (Command == "node")
    return runNodeCommand(Args);
  if (Command == "config")
    return runConfig(Args,
                     systemConfigEnvironment(std::cout, std::cerr, openStores));
  if (Command == "status")
    return runStatusCommand(Args);
  if (Command == "audit")
    return runAuditCommand(Args);
  if (Command == "explain")
    return runExplainCommand(Args);
  std::cerr << "unknown command '" << Command << "'"
            << suggestName(Command,
                           {"node", "config", "status", "audit", "explain"})
            << '\n';
  return ExitBadInput;
}
