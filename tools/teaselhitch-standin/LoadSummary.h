#ifndef TEASELHITCH_STANDIN_LOADSUMMARY_H
#define TEASELHITCH_STANDIN_LOADSUMMARY_H

/// \file
/// Statistics of the tries of a load run.

#include "TryRecord.h"

#include <boost/json/object.hpp>

#include <map>
#include <vector>

namespace teaselhitch::standin {

class LoadSummary {
public:
  /// Adds a try. IsLast is true for the last try of its request.
  void add(const TryRecord &Record, bool IsLast);

  /// Returns the statistics as JSON. The member "outcomes" counts requests by
  /// the outcome of their last try; "statuses", "reasons", "problems",
  /// "servers", "mismatched" and the "cut" members count tries. Latencies
  /// include only tries with the outcome "completed".
  boost::json::object toJson() const;

private:
  using Counts = std::map<std::string, std::uint64_t>;

  std::uint64_t Requests = 0;
  std::uint64_t Tries = 0;
  std::uint64_t Mismatched = 0;
  std::uint64_t Cut = 0;
  std::uint64_t CutOnReused = 0;
  Counts Outcomes;
  Counts Statuses;
  Counts Reasons;
  Counts Problems;
  Counts Servers;
  std::vector<double> LatenciesMs;
};

} // namespace teaselhitch::standin

#endif
