#ifndef TEASELHITCH_STANDIN_COMMANDS_H
#define TEASELHITCH_STANDIN_COMMANDS_H

/// \file
/// Entry points of the subcommands. Argv[0] is the name of the subcommand. The
/// return value is the exit status of the process.

namespace teaselhitch::standin {

int runPlatform(int Argc, const char **Argv);
int runBackend(int Argc, const char **Argv);
int runLoad(int Argc, const char **Argv);
int runVerify(int Argc, const char **Argv);

} // namespace teaselhitch::standin

#endif
