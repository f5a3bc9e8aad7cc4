/// \file
/// The program `teaselhitch-bench`: runs simulations and measurements, checks
/// their results against bounds, and runs speed benchmarks.

#include "Command.h"

#include <popt.h>

#include <iostream>
#include <string>

using namespace teaselhitch;
using namespace teaselhitch::bench;

namespace {

constexpr int ExitBadInput = 2;

int runCommand(const std::string &Name, const CommandOptions &Options) {
  return handleError(
      [&]() -> Result<int> {
        auto Created = CommandRegistry::create(Name);
        if (!Created)
          return Created.error();
        return (*Created)->run(Options);
      },
      [](const Error &E) {
        std::cerr << "teaselhitch-bench: " << E.Message << "\n";
        return ExitBadInput;
      });
}

} // namespace

int main(int Argc, const char **Argv) {
  int Json = 0;
  int Speed = 0;
  int Quick = 0;
  int Threads = 4;
  char *Filter = nullptr;
  const poptOption Table[] = {
      {"json", 0, POPT_ARG_NONE, &Json, 0, "print JSON instead of tables",
       nullptr},
      {"speed", 0, POPT_ARG_NONE, &Speed, 0,
       "run the speed benchmarks instead of the tables", nullptr},
      {"quick", 0, POPT_ARG_NONE, &Quick, 0,
       "use shorter runs with fewer samples", nullptr},
      {"threads", 0, POPT_ARG_INT, &Threads, 0, "number of worker threads",
       "COUNT"},
      {"filter", 0, POPT_ARG_STRING, &Filter, 0,
       "run only the rows whose name contains TEXT", "TEXT"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context =
      poptGetContext("teaselhitch-bench", Argc, Argv, Table, 0);
  poptSetOtherOptionHelp(Context, "COMMAND");
  const int Code = poptGetNextOpt(Context);
  const char *Name = poptGetArg(Context);
  int Exit = ExitBadInput;
  if (Code < -1) {
    std::cerr << "teaselhitch-bench: " << poptStrerror(Code) << ": "
              << poptBadOption(Context, 0) << "\n";
  } else if (Name == nullptr || Threads < 1) {
    poptPrintUsage(Context, stderr, 0);
    for (const std::string &Known : CommandRegistry::names())
      std::cerr << "  " << Known << "\n";
  } else {
    Exit = runCommand(Name, {Json != 0, Speed != 0, Quick != 0,
                             static_cast<unsigned>(Threads),
                             Filter == nullptr ? "" : Filter});
  }
  poptFreeContext(Context);
  return Exit;
}
