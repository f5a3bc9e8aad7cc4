#ifndef TEASELHITCH_STANDIN_REQUESTPLAN_H
#define TEASELHITCH_STANDIN_REQUESTPLAN_H

/// \file
/// Which requests the load client sends. Pure.

#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Random.h"
#include "teaselhitch/Support/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace teaselhitch::standin {

/// A path that requests go to.
struct PlannedPath {
  std::string Path;
  /// Service that guard-bound keys are asked for; paid paths only.
  std::string Service;
};

struct RequestPlan {
  std::vector<PlannedPath> Idempotent;
  std::vector<PlannedPath> Paid;
  std::vector<std::string> Organisations;
  /// Share of paid requests, 0 to 1.
  double PaidShare = 0;
  /// Requests a second.
  double Rate = 1;
};

/// One request to send.
struct PlannedRequest {
  bool IsPaid = false;
  PlannedPath Path;
  std::string Organisation;
};

/// Parses `get:/sheets/1,paid:/bookings@visit-booking`. The service of a paid
/// path follows `@`; without it the service is the first segment of the path.
Result<void> parsePaths(std::string_view Spec, RequestPlan &Plan);

/// Chooses the next request.
PlannedRequest chooseRequest(const RequestPlan &Plan, RandomSource &Random);

/// The time until the next request. Arrivals are a Poisson process, as callers
/// do not wait for each other.
Duration chooseGap(const RequestPlan &Plan, RandomSource &Random);

} // namespace teaselhitch::standin

#endif
