#ifndef TEASELHITCH_INTEGRATION_PROBLEM_H
#define TEASELHITCH_INTEGRATION_PROBLEM_H

/// \file
/// HTTP answers that a node generates itself.

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

/// Returns a refusal or failure as `application/problem+json` (RFC 9457).
HttpAnswer makeProblem(Reason Cause, Outcome Result,
                       const std::string &RequestId, Duration RetryAfter);

/// Returns an answer with \p Value as its `application/json` body.
HttpAnswer makeJson(unsigned Status, const boost::json::value &Value);

} // namespace teaselhitch

#endif
