#ifndef TEASELHITCH_STANDIN_RUNS_H
#define TEASELHITCH_STANDIN_RUNS_H

/// \file
/// Which requests a backend server has run.

#include <boost/json/object.hpp>

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

namespace teaselhitch::standin {

/// Counts of runs by key and by request id.
struct RunCounts {
  /// Runs by value of the header `Idempotency-Key`.
  std::map<std::string, std::uint64_t> ByKey;
  /// Runs by value of the header `Teaselhitch-Request-Id`.
  std::map<std::string, std::uint64_t> ByRequest;
};

/// Records each run when it starts, in memory and optionally in a file that
/// survives the process.
class RunRecorder {
public:
  /// Identifies the process of a backend server in the file.
  struct Process {
    std::string Address;
    std::uint64_t Incarnation = 0;
  };

  /// Appends runs to the file at Path from here on; false if it cannot be
  /// opened.
  bool openFile(const std::string &Path, const Process &Own);

  /// Counts a run. Empty values are not counted.
  void record(const std::string &Key, const std::string &RequestId);

  const RunCounts &counts() const { return Counts; }

private:
  RunCounts Counts;
  Process Own;
  std::ofstream File;
};

boost::json::object toJson(const std::map<std::string, std::uint64_t> &Counts);

} // namespace teaselhitch::standin

#endif
