#ifndef TEASELHITCH_STANDIN_VERIFY_H
#define TEASELHITCH_STANDIN_VERIFY_H

/// \file
/// Checks what callers were told against what backend servers ran. Pure.

#include "Runs.h"
#include "TryRecord.h"

#include <boost/json/object.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhitch::standin {

/// Runs of several backend servers.
class RunTotals {
public:
  /// Adds the text of a file: an answer of `GET /standin/runs`, or the lines
  /// of `--runs-out`. Corrupt if it is neither. Several files of one process
  /// overlap and are not added up.
  Result<void> addFile(std::string_view Text);

  /// Sums over all processes.
  RunCounts sum() const;

private:
  Result<void> addAnswer(const boost::json::object &Answer);
  Result<void> addLines(std::string_view Text);

  /// By address and incarnation.
  std::map<std::string, RunCounts> Processes;
};

/// One broken promise.
struct Violation {
  /// "ran-more-than-once", "ran-though-not-run" or "mismatched-answer".
  std::string Promise;
  /// The key or request id that shows it.
  std::string Subject;
  std::string Detail;

  auto operator<=>(const Violation &) const = default;
};

struct VerifyReport {
  std::uint64_t Requests = 0;
  std::uint64_t Tries = 0;
  std::uint64_t Runs = 0;
  /// Completed paid requests whose key is in no run file. Not a broken promise:
  /// the counts of a crashed backend server may be missing.
  std::uint64_t CompletedWithoutRun = 0;
  std::vector<Violation> Violations;

  /// False without records as well: nothing was checked then.
  bool holds() const { return Tries > 0 && Violations.empty(); }
};

/// Parses a file of records; Corrupt names the line that is not a record.
Result<std::vector<TryRecord>> parseRecords(std::string_view Text);

/// \param Files the records of each file; request numbers are per file.
VerifyReport verifyRecords(const std::vector<std::vector<TryRecord>> &Files,
                           const RunCounts &Runs);

boost::json::object toJson(const VerifyReport &Report);

} // namespace teaselhitch::standin

#endif
