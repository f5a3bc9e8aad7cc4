#ifndef TEASELHITCH_STANDIN_COMMANDS_H
#define TEASELHITCH_STANDIN_COMMANDS_H

/// \file
/// The sub-commands. Each takes the arguments from its own name on and returns
/// the exit code of the process.

namespace teaselhitch::standin {

int runPlatform(int Argc, const char **Argv);
int runBackend(int Argc, const char **Argv);
int runLoad(int Argc, const char **Argv);
int runVerify(int Argc, const char **Argv);

} // namespace teaselhitch::standin

#endif
