#include "Verify.h"

#include "CommandLine.h"
#include "JsonMembers.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <set>

namespace teaselhitch::standin {

namespace {

namespace json = boost::json;

/// Maximum number of violations listed in the report. The count includes all.
constexpr std::size_t MaxListedViolations = 100;

using Counts = std::map<std::string, std::uint64_t>;

std::uint64_t lookupCount(const Counts &Map, const std::string &Name) {
  auto It = Map.find(Name);
  return It == Map.end() ? 0 : It->second;
}

boost::leaf::error_id corruptRuns(const std::string &Detail) {
  return makeError(ErrorCode::Corrupt, "invalid runs file: " + Detail);
}

/// Raises each count in Dest to the count in the member Name, if that is
/// greater.
Result<void> mergeCounts(const json::object &Object, const char *Name,
                         Counts &Dest) {
  const json::value *Member = Object.if_contains(Name);
  if (!Member || !Member->is_object())
    return corruptRuns(std::string("no object '") + Name + "'");
  for (const auto &Entry : Member->get_object()) {
    BOOST_LEAF_AUTO(Number, numberMember(Member->get_object(), Entry.key(), 0));
    std::uint64_t &Count = Dest[std::string(Entry.key())];
    Count = std::max(Count, static_cast<std::uint64_t>(Number));
  }
  return {};
}

Result<std::string> processName(const json::object &Object) {
  BOOST_LEAF_AUTO(Address, textMember(Object, "address", ""));
  BOOST_LEAF_AUTO(Incarnation, numberMember(Object, "incarnation", 0));
  return Address + " " +
         std::to_string(static_cast<std::uint64_t>(Incarnation));
}

bool isNotRun(const TryRecord &Record) { return Record.Outcome == "not-run"; }

class Checker {
public:
  Checker(const RunCounts &Runs, VerifyReport &Report)
      : Runs(Runs), Report(Report) {}

  void checkKeys() {
    for (const auto &[Key, Count] : Runs.ByKey)
      if (Count > 1)
        add("ran-more-than-once", Key, std::to_string(Count) + " runs");
  }

  /// Checks the tries of one request.
  void checkRequest(const std::vector<TryRecord> &Tries) {
    ++Report.Requests;
    for (const TryRecord &Record : Tries)
      checkTry(Record);
    const TryRecord &Last = Tries.back();
    bool AllNotRun = std::all_of(Tries.begin(), Tries.end(), isNotRun);
    bool KeyRan = lookupCount(Runs.ByKey, Last.Key) > 0;
    if (AllNotRun && KeyRan)
      add("ran-though-not-run", Last.Key, "every try said not-run");
    if (Last.Outcome == "completed" && !Last.Key.empty() && !KeyRan)
      ++Report.CompletedWithoutRun;
  }

private:
  void checkTry(const TryRecord &Record) {
    ++Report.Tries;
    if (Record.Matches == false)
      add("mismatched-answer", Record.RequestId,
          "request " + std::to_string(Record.Request) + " at " + Record.Node);
    if (isNotRun(Record) && lookupCount(Runs.ByRequest, Record.RequestId) > 0)
      add("ran-though-not-run", Record.RequestId, "this try said not-run");
  }

  void add(const char *Guarantee, const std::string &Subject,
           std::string Detail) {
    Report.Violations.push_back({Guarantee, Subject, std::move(Detail)});
  }

  const RunCounts &Runs;
  VerifyReport &Report;
};

} // namespace

Result<void> RunTotals::addFile(std::string_view Text) {
  json::object Answer =
      handleError([&] { return parseJsonObject(Text); },
                  [](const Error &) { return json::object(); });
  return Answer.contains("runs") ? addAnswer(Answer) : addLines(Text);
}

Result<void> RunTotals::addAnswer(const json::object &Answer) {
  BOOST_LEAF_AUTO(Process, processName(Answer));
  RunCounts &Dest = Processes[Process];
  BOOST_LEAF_CHECK(mergeCounts(Answer, "runs", Dest.ByKey));
  return mergeCounts(Answer, "requests", Dest.ByRequest);
}

Result<void> RunTotals::addLines(std::string_view Text) {
  // The counts of this file are computed separately first, because the file may
  // overlap with another file of the same process.
  std::map<std::string, RunCounts> FileCounts;
  for (const std::string &Line : splitList(Text, '\n')) {
    BOOST_LEAF_AUTO(Object, parseJsonObject(Line));
    if (!Object.contains("key") || !Object.contains("request_id"))
      return corruptRuns("a line has no member 'key' or 'request_id'");
    BOOST_LEAF_AUTO(Process, processName(Object));
    BOOST_LEAF_AUTO(Key, textMember(Object, "key", ""));
    BOOST_LEAF_AUTO(RequestId, textMember(Object, "request_id", ""));
    RunCounts &Dest = FileCounts[Process];
    if (!Key.empty())
      ++Dest.ByKey[Key];
    if (!RequestId.empty())
      ++Dest.ByRequest[RequestId];
  }
  auto Merge = [](const Counts &Source, Counts &Dest) {
    for (const auto &[Name, Count] : Source)
      Dest[Name] = std::max(Dest[Name], Count);
  };
  for (const auto &[Process, ProcessCounts] : FileCounts) {
    Merge(ProcessCounts.ByKey, Processes[Process].ByKey);
    Merge(ProcessCounts.ByRequest, Processes[Process].ByRequest);
  }
  return {};
}

RunCounts RunTotals::sum() const {
  RunCounts Sum;
  for (const auto &[Process, ProcessCounts] : Processes) {
    for (const auto &[Key, Count] : ProcessCounts.ByKey)
      Sum.ByKey[Key] += Count;
    for (const auto &[Id, Count] : ProcessCounts.ByRequest)
      Sum.ByRequest[Id] += Count;
  }
  return Sum;
}

Result<std::vector<TryRecord>> parseRecords(std::string_view Text) {
  std::vector<TryRecord> Records;
  for (const std::string &Line : splitList(Text, '\n')) {
    BOOST_LEAF_AUTO(Record, parseTryRecord(Line));
    Records.push_back(std::move(Record));
  }
  return Records;
}

VerifyReport verifyRecords(const std::vector<std::vector<TryRecord>> &Files,
                           const RunCounts &Runs) {
  VerifyReport Report;
  Checker Check(Runs, Report);
  Check.checkKeys();
  for (const auto &[Key, Count] : Runs.ByKey)
    Report.Runs += Count;
  for (const std::vector<TryRecord> &Records : Files) {
    std::map<std::uint64_t, std::vector<TryRecord>> Requests;
    for (const TryRecord &Record : Records)
      Requests[Record.Request].push_back(Record);
    for (const auto &[Number, Tries] : Requests)
      Check.checkRequest(Tries);
  }
  return Report;
}

json::object toJson(const VerifyReport &Report) {
  json::array Listed;
  for (const Violation &V : Report.Violations) {
    if (Listed.size() == MaxListedViolations)
      break;
    Listed.push_back(json::object{{"promise", V.Guarantee},
                                  {"subject", V.Subject},
                                  {"detail", V.Detail}});
  }
  return {{"holds", Report.holds()},
          {"requests", Report.Requests},
          {"tries", Report.Tries},
          {"runs", Report.Runs},
          {"completed_without_run", Report.CompletedWithoutRun},
          {"violation_count", Report.Violations.size()},
          {"violations", std::move(Listed)}};
}

} // namespace teaselhitch::standin
