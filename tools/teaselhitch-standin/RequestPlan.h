#ifndef TEASELHITCH_STANDIN_REQUESTPLAN_H
#define TEASELHITCH_STANDIN_REQUESTPLAN_H

/// \file
/// Random choice of the requests that the load client sends. Performs no I/O.

#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Random.h"
#include "teaselhitch/Support/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace teaselhitch::standin {

/// A path to which requests are sent.
struct PlannedPath {
  std::string Path;
  /// Service for which keys are requested from a guard. Set for paid paths
  /// only.
  std::string Service;
};

struct RequestPlan {
  std::vector<PlannedPath> Idempotent;
  std::vector<PlannedPath> Paid;
  std::vector<std::string> Organisations;
  /// Fraction of requests that are paid, 0 to 1.
  double PaidShare = 0;
  /// Requests per second.
  double Rate = 1;
};

/// One request to send.
struct PlannedRequest {
  bool IsPaid = false;
  PlannedPath Path;
  std::string Organisation;
};

/// Parses a list such as `get:/sheets/1,paid:/bookings@visit-booking`. The
/// service of a paid path follows `@` and defaults to the first segment of the
/// path.
Result<void> parsePaths(std::string_view Spec, RequestPlan &Plan);

/// Chooses the next request at random.
PlannedRequest chooseRequest(const RequestPlan &Plan, RandomSource &Random);

/// Chooses the time until the next request. Arrivals form a Poisson process
/// because callers send independently of each other.
Duration chooseInterval(const RequestPlan &Plan, RandomSource &Random);

} // namespace teaselhitch::standin

#endif
