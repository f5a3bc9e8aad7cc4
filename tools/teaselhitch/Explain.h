#ifndef TEASELHITCH_TOOLS_EXPLAIN_H
#define TEASELHITCH_TOOLS_EXPLAIN_H

/// \file
/// `teaselhitch explain`: the way of one request through the fleet, from the
/// log lines of the nodes.

#include <iosfwd>
#include <string>
#include <vector>

namespace teaselhitch {

/// One log line of the request.
struct ExplainedLine {
  double TimeMs = 0;
  std::string Event;
  /// What decided it, as "name=value" in the order of the line.
  std::string Inputs;
  /// The line itself.
  std::string Json;
};

/// The lines that belong to a request, in order of time. \param Id the id of
/// the request, of one of its attempts, or the caller's own. Text before the
/// JSON object of a line is skipped; other lines are ignored.
std::vector<ExplainedLine> explainRequest(std::istream &Log,
                                          const std::string &Id);

/// Runs the command; returns the exit code.
int runExplainCommand(const std::vector<std::string> &Args);

} // namespace teaselhitch

#endif
