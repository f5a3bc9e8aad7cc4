#include "LoadSummary.h"

#include "Runs.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch::standin {

namespace {

/// Returns the quantile of the values by the nearest-rank method, or 0 if there
/// are no values. Share is 0 to 1.
double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  auto Rank = static_cast<std::ptrdiff_t>(
      std::ceil(Share * static_cast<double>(Values.size())));
  auto It = Values.begin() + std::max<std::ptrdiff_t>(Rank - 1, 0);
  std::nth_element(Values.begin(), It, Values.end());
  return *It;
}

} // namespace

void LoadSummary::add(const TryRecord &Record, bool IsLast) {
  ++Tries;
  if (IsLast) {
    ++Requests;
    ++Outcomes[Record.Outcome.empty() ? "none" : Record.Outcome];
  }
  if (Record.Problem.empty())
    ++Statuses[std::to_string(Record.Status)];
  else
    ++Problems[Record.Problem];
  if (!Record.Reason.empty())
    ++Reasons[Record.Reason];
  if (!Record.Server.empty())
    ++Servers[Record.Server];
  Mismatched += Record.Matches == false;
  Cut += Record.Problem == "cut";
  CutOnReused += Record.Problem == "cut" && Record.Reused;
  if (Record.Outcome == "completed")
    LatenciesMs.push_back(Record.LatencyMs);
}

boost::json::object LoadSummary::toJson() const {
  return {{"requests", Requests},
          {"tries", Tries},
          {"outcomes", standin::toJson(Outcomes)},
          {"statuses", standin::toJson(Statuses)},
          {"reasons", standin::toJson(Reasons)},
          {"problems", standin::toJson(Problems)},
          {"servers", standin::toJson(Servers)},
          {"mismatched", Mismatched},
          {"cut", Cut},
          {"cut_on_reused", CutOnReused},
          {"latency_p50_ms", quantile(LatenciesMs, 0.5)},
          {"latency_p99_ms", quantile(LatenciesMs, 0.99)}};
}

} // namespace teaselhitch::standin
