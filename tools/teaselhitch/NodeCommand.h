#ifndef TEASELHITCH_TOOLS_NODECOMMAND_H
#define TEASELHITCH_TOOLS_NODECOMMAND_H

/// \file
/// The command `teaselhitch node`.

#include <string>
#include <vector>

namespace teaselhitch {

/// Runs a node until it is told to stop. Exit code 0 after a graceful shutdown,
/// 1 if requests in progress were cut or an address cannot be bound, 2 for
/// wrong options or settings.
int runNodeCommand(const std::vector<std::string> &Args);

} // namespace teaselhitch

#endif
