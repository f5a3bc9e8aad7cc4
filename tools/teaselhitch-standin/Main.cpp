/// \file
/// The program `teaselhitch-standin`: simulates the systems around teaselhitch
/// for tests and the demo. Not shipped.

#include "CommandLine.h"
#include "Commands.h"

#include <iostream>
#include <string_view>

using namespace teaselhitch::standin;

namespace {

struct Command {
  const char *Name;
  int (*Run)(int Argc, const char **Argv);
  const char *Help;
};

constexpr Command Commands[] = {
    {"platform", runPlatform, "serve a table service and an object store"},
    {"backend", runBackend, "serve requests as a backend server"},
    {"load", runLoad, "send requests to nodes and record the answers"},
    {"verify", runVerify, "check the records against the runs"},
};

void printHelp(std::ostream &Out) {
  Out << "usage: teaselhitch-standin COMMAND [OPTION...]\n";
  for (const Command &C : Commands)
    Out << "  " << C.Name << ": " << C.Help << '\n';
  Out << "COMMAND --help lists the options of a command\n";
}

} // namespace

int main(int Argc, const char **Argv) {
  std::string_view Name = Argc > 1 ? Argv[1] : "";
  for (const Command &C : Commands)
    if (Name == C.Name)
      return C.Run(Argc - 1, Argv + 1);
  bool HelpRequested = Name == "--help" || Name == "-?";
  printHelp(HelpRequested ? std::cout : std::cerr);
  return HelpRequested ? ExitSuccess : ExitUsage;
}
