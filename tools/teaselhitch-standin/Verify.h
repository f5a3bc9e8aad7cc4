#ifndef TEASELHITCH_STANDIN_VERIFY_H
#define TEASELHITCH_STANDIN_VERIFY_H

/// \file
/// Checks the answers that callers received against the runs that backend
/// servers recorded. Performs no I/O.

#include "Runs.h"
#include "TryRecord.h"

#include <boost/json/object.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhitch::standin {

/// Run counts of several processes of backend servers.
class RunTotals {
public:
  /// Adds the text of a file: an answer of `GET /standin/runs`, or the lines
  /// of a `--runs-out` file. Fails with an error if the text is neither. Files
  /// of the same process overlap, so their counts are merged by maximum and not
  /// summed.
  Result<void> addFile(std::string_view Text);

  /// Returns the sum over all processes.
  RunCounts sum() const;

private:
  Result<void> addAnswer(const boost::json::object &Answer);
  Result<void> addLines(std::string_view Text);

  /// Counts of each process, keyed by address and incarnation.
  std::map<std::string, RunCounts> Processes;
};

/// One violated guarantee.
struct Violation {
  /// "ran-more-than-once", "ran-though-not-run" or "mismatched-answer".
  std::string Guarantee;
  /// The key or request id with which the violation was found.
  std::string Subject;
  std::string Detail;

  auto operator<=>(const Violation &) const = default;
};

struct VerifyReport {
  std::uint64_t Requests = 0;
  std::uint64_t Tries = 0;
  std::uint64_t Runs = 0;
  /// Completed paid requests whose key is in no run file. This is not a
  /// violation, because the counts of a crashed backend server may be missing.
  std::uint64_t CompletedWithoutRun = 0;
  std::vector<Violation> Violations;

  /// Also returns false if there are no records, because nothing was checked.
  bool holds() const { return Tries > 0 && Violations.empty(); }
};

/// Parses the text of a file of records. Fails with Corrupt if a line is not a
/// record.
Result<std::vector<TryRecord>> parseRecords(std::string_view Text);

/// Checks the records against the runs.
///
/// \param Files the records of each file. Request numbers are unique only
/// within a file.
VerifyReport verifyRecords(const std::vector<std::vector<TryRecord>> &Files,
                           const RunCounts &Runs);

boost::json::object toJson(const VerifyReport &Report);

} // namespace teaselhitch::standin

#endif
