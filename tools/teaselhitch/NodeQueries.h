#ifndef TEASELHITCH_TOOLS_NODEQUERIES_H
#define TEASELHITCH_TOOLS_NODEQUERIES_H

/// \file
/// The commands `teaselhitch status` and `teaselhitch audit`, which query a
/// running node.

#include <string>
#include <vector>

namespace teaselhitch {

/// Prints the state of the node and its uptime, its view of the fleet, the
/// evidence for the health of its backend servers, and the configuration
/// version in force. Returns exit code 0 on success, 2 if the options are
/// invalid, and 3 if the node cannot be reached or its response is not valid.
int runStatusCommand(const std::vector<std::string> &Args);

/// Prints the changes and decisions in the audit trail of the node, oldest
/// first and at most 1000. Returns the same exit codes as runStatusCommand().
int runAuditCommand(const std::vector<std::string> &Args);

} // namespace teaselhitch

#endif
