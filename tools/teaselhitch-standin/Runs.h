#ifndef TEASELHITCH_STANDIN_RUNS_H
#define TEASELHITCH_STANDIN_RUNS_H

/// \file
/// Record of the requests that a backend server has run.

#include <boost/json/object.hpp>

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

namespace teaselhitch::standin {

/// Number of runs by key and by request id.
struct RunCounts {
  /// Runs by value of the header `Idempotency-Key`.
  std::map<std::string, std::uint64_t> ByKey;
  /// Runs by value of the header `Teaselhitch-Request-Id`.
  std::map<std::string, std::uint64_t> ByRequest;
};

/// Records each run when it starts, in memory and optionally in a file that
/// persists after a crash of the process.
class RunRecorder {
public:
  /// Identifies the process of a backend server in the file.
  struct Process {
    std::string Address;
    std::uint64_t Incarnation = 0;
  };

  /// Opens the file to which later runs are appended. Returns false if the file
  /// cannot be opened.
  bool openFile(const std::string &Path, const Process &Identity);

  /// Records a run. An empty value is not counted.
  void record(const std::string &Key, const std::string &RequestId);

  const RunCounts &counts() const { return Counts; }

private:
  RunCounts Counts;
  Process Identity;
  std::ofstream File;
};

boost::json::object toJson(const std::map<std::string, std::uint64_t> &Counts);

} // namespace teaselhitch::standin

#endif
