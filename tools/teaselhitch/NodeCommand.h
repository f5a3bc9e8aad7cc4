#ifndef TEASELHITCH_TOOLS_NODECOMMAND_H
#define TEASELHITCH_TOOLS_NODECOMMAND_H

/// \file
/// The command `teaselhitch node`.

#include <string>
#include <vector>

namespace teaselhitch {

/// Runs a node until it is asked to shut down. Returns exit code 0 after a
/// graceful shutdown, 1 if requests in progress were aborted or an address
/// cannot be bound, and 2 if the options or settings are invalid.
int runNodeCommand(const std::vector<std::string> &Args);

} // namespace teaselhitch

#endif
