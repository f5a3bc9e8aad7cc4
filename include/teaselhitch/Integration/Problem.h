#ifndef TEASELHITCH_INTEGRATION_PROBLEM_H
#define TEASELHITCH_INTEGRATION_PROBLEM_H

/// \file
/// HTTP answers that a node writes itself.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Outcome.h"
#include "teaselhitch/Support/Clock.h"

#include <boost/json/value.hpp>

#include <string>

namespace teaselhitch {

/// Headers of the caller interface.
inline constexpr const char *DeadlineHeader = "Teaselhitch-Deadline-Ms";
inline constexpr const char *OrganisationHeader = "Teaselhitch-Organisation";
inline constexpr const char *RequestIdHeader = "Teaselhitch-Request-Id";
inline constexpr const char *OutcomeHeader = "Teaselhitch-Outcome";
inline constexpr const char *ReasonHeader = "Teaselhitch-Reason";
inline constexpr const char *KeyHeader = "Idempotency-Key";

/// A refusal or failure as `application/problem+json` (RFC 9457).
HttpAnswer makeProblem(Reason Why, Outcome Result, const std::string &RequestId,
                       Duration RetryAfter);

HttpAnswer makeJson(unsigned Status, const boost::json::value &Value);

} // namespace teaselhitch

#endif
