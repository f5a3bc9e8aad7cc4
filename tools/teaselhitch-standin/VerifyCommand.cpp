/// \file
/// `teaselhitch-standin verify`: checks the records of `load` against the runs
/// of backend servers.

#include "CommandLine.h"
#include "Commands.h"
#include "Verify.h"

#include <boost/json/serialize.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace teaselhitch::standin {

namespace {

Result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return makeError(ErrorCode::Unavailable, "cannot read '" + Path + "'");
  return std::string(std::istreambuf_iterator<char>(File), {});
}

Result<int> verifyFiles(const std::string &Records, const std::string &Runs) {
  std::vector<std::vector<TryRecord>> Files;
  for (const std::string &Path : splitList(Records)) {
    BOOST_LEAF_AUTO(Text, readFile(Path));
    BOOST_LEAF_AUTO(Parsed, parseRecords(Text));
    Files.push_back(std::move(Parsed));
  }
  RunTotals Totals;
  for (const std::string &Path : splitList(Runs)) {
    BOOST_LEAF_AUTO(Text, readFile(Path));
    BOOST_LEAF_CHECK(Totals.addFile(Text));
  }
  VerifyReport Report = verifyRecords(Files, Totals.sum());
  std::cout << boost::json::serialize(toJson(Report)) << '\n';
  return Report.holds() ? int(ExitSuccess) : int(ExitFailure);
}

} // namespace

int runVerify(int Argc, const char **Argv) {
  std::string Records;
  std::string Runs;
  CommandLine Line("teaselhitch-standin verify");
  Line.add("records", Records, "files written by load --out", "FILE,...");
  Line.add(
      "runs", Runs,
      "answers of GET /standin/runs, or files written by backend --runs-out",
      "FILE,...");
  return handleError(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(Line.parse(Argc, Argv));
        if (Records.empty() || Runs.empty())
          return makeError(ErrorCode::InvalidInput,
                           "--records and --runs are required");
        return verifyFiles(Records, Runs);
      },
      reportError);
}

} // namespace teaselhitch::standin
