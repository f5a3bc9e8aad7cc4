#ifndef TEASELHITCH_TOOLS_NODEQUERIES_H
#define TEASELHITCH_TOOLS_NODEQUERIES_H

/// \file
/// The commands `teaselhitch status` and `teaselhitch audit`, which ask a
/// running node.

#include <string>
#include <vector>

namespace teaselhitch {

/// What the node believes, since when, on what evidence, and which version is
/// in force. Exit codes 0, 2 for wrong options, 3 if the node cannot be
/// reached.
int runStatusCommand(const std::vector<std::string> &Args);

/// Changes and decisions of the node.
int runAuditCommand(const std::vector<std::string> &Args);

} // namespace teaselhitch

#endif
