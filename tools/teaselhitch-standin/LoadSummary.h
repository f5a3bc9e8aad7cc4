#ifndef TEASELHITCH_STANDIN_LOADSUMMARY_H
#define TEASELHITCH_STANDIN_LOADSUMMARY_H

/// \file
/// Counts over the tries of a load run.

#include "TryRecord.h"

#include <boost/json/object.hpp>

#include <map>
#include <vector>

namespace teaselhitch::standin {

class LoadSummary {
public:
  /// Adds a try. IsLast tells that the request is not tried again.
  void add(const TryRecord &Record, bool IsLast);

  /// The counts as JSON. Outcomes count requests by their last try; the other
  /// members count tries. Latencies are those of completed tries.
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
