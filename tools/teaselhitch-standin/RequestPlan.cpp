#include "RequestPlan.h"

#include "CommandLine.h"

#include <cmath>

namespace teaselhitch::standin {

namespace {

template <typename T>
const T &chooseOne(const std::vector<T> &Choices, RandomSource &Random) {
  return Choices[Random.uniformInt(Choices.size())];
}

PlannedPath parsePaidPath(std::string_view Text) {
  std::size_t At = Text.rfind('@');
  if (At != std::string_view::npos)
    return {std::string(Text.substr(0, At)), std::string(Text.substr(At + 1))};
  std::string_view Rest = Text.substr(1);
  return {std::string(Text), std::string(Rest.substr(0, Rest.find('/')))};
}

} // namespace

Result<void> parsePaths(std::string_view Spec, RequestPlan &Plan) {
  for (const std::string &Part : splitList(Spec)) {
    std::size_t Colon = Part.find(':');
    std::string Kind = Part.substr(0, Colon);
    std::string Path = Colon == std::string::npos ? "" : Part.substr(Colon + 1);
    if ((Kind != "get" && Kind != "paid") || Path.empty() || Path[0] != '/')
      return makeError(ErrorCode::InvalidInput,
                       "'" + Part +
                           "' is not of the form get:/PATH or paid:/PATH");
    if (Kind == "get")
      Plan.Idempotent.push_back({Path, ""});
    else
      Plan.Paid.push_back(parsePaidPath(Path));
  }
  if (Plan.Idempotent.empty() && Plan.Paid.empty())
    return makeError(ErrorCode::InvalidInput, "--paths contains no path");
  return {};
}

PlannedRequest chooseRequest(const RequestPlan &Plan, RandomSource &Random) {
  PlannedRequest Chosen;
  bool DrewPaid = Random.uniform() < Plan.PaidShare;
  Chosen.IsPaid = Plan.Idempotent.empty() || (DrewPaid && !Plan.Paid.empty());
  Chosen.Path = chooseOne(Chosen.IsPaid ? Plan.Paid : Plan.Idempotent, Random);
  if (!Plan.Organisations.empty())
    Chosen.Organisation = chooseOne(Plan.Organisations, Random);
  return Chosen;
}

Duration chooseInterval(const RequestPlan &Plan, RandomSource &Random) {
  return Duration::seconds(-std::log(1 - Random.uniform()) / Plan.Rate);
}

} // namespace teaselhitch::standin
