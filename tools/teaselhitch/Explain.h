#ifndef TEASELHITCH_TOOLS_EXPLAIN_H
#define TEASELHITCH_TOOLS_EXPLAIN_H

/// \file
/// The command `teaselhitch explain`, which traces one request through the
/// fleet by the log lines of the nodes.

#include <iosfwd>
#include <string>
#include <vector>

namespace teaselhitch {

/// An event of a request, parsed from one log line.
struct RequestEvent {
  /// Wall clock time of the event in milliseconds since the Unix epoch.
  double TimeMs = 0;
  /// Module and event of the log line, e.g. "entry offer".
  std::string Name;
  /// The other fields, such as the inputs of a decision, as "name=value" in the
  /// order of the log line.
  std::string Fields;
  /// The JSON object of the log line.
  std::string Json;
};

/// Returns the events of a request, sorted by time. Text before the JSON object
/// of a line is skipped; lines without a JSON object or a request are ignored.
///
/// \param Id the id of the request, the id of one of its attempts, or the id
/// that the caller gave the request.
std::vector<RequestEvent> explainRequest(std::istream &Log,
                                         const std::string &Id);

/// Runs the command and returns its exit code.
int runExplainCommand(const std::vector<std::string> &Args);

} // namespace teaselhitch

#endif
