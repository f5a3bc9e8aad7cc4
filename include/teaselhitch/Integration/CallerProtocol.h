#ifndef TEASELHITCH_INTEGRATION_CALLERPROTOCOL_H
#define TEASELHITCH_INTEGRATION_CALLERPROTOCOL_H

/// \file
/// How callers and the node talk over HTTP: headers of requests, statuses and
/// headers of answers.

#include "teaselhitch/Entry/Entry.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Outcome.h"
#include "teaselhitch/Support/Result.h"

#include <string>

namespace teaselhitch {

/// Why and how a request ended without an answer of a backend server.
struct Refusal {
  Reason Why = Reason::Overloaded;
  Outcome Result = Outcome::NotRun;
  /// When the request has a chance; zero if unknown.
  Duration RetryAfter;
  /// Id of the request within the fleet; empty if it got none.
  std::string RequestId;
  /// Id that the caller gave to the request, or empty.
  std::string CallerId;

  auto operator<=>(const Refusal &) const = default;
};

class CallerProtocol {
public:
  virtual ~CallerProtocol() = default;

  /// What the entry needs of a request; InvalidInput if a header is malformed.
  /// Replaces the headers in \p Request that the system sets itself.
  virtual Result<CallerRequest> describe(HttpRequest &Request) const = 0;

  /// The answer that tells a caller of a refusal or failure.
  virtual HttpAnswer refuse(const Refusal &What) const = 0;

  /// Prepares the answer of a backend server for the caller.
  virtual void finish(HttpAnswer &Answer,
                      const std::string &RequestId) const = 0;
};

/// Path of a request target, without the query.
std::string pathOf(const std::string &Target);

/// Value of the `Host` header without the port, in lower case.
std::string hostOf(const HttpRequest &Request);

/// Reads a whole number of milliseconds. InvalidInput names \p Header.
Result<Duration> parseMilliseconds(const std::string &Header,
                                   const std::string &Value);

} // namespace teaselhitch

#endif
