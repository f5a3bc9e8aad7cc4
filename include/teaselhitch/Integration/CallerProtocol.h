#ifndef TEASELHITCH_INTEGRATION_CALLERPROTOCOL_H
#define TEASELHITCH_INTEGRATION_CALLERPROTOCOL_H

/// \file
/// Interface of the HTTP protocol between callers and a node: request headers,
/// and the statuses and headers of answers.

#include "teaselhitch/Entry/Entry.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Outcome.h"
#include "teaselhitch/Support/Result.h"

#include <string>

namespace teaselhitch {

/// Describes a request that ended without an answer of a backend server.
struct Refusal {
  Reason Cause = Reason::Overloaded;
  Outcome Result = Outcome::NotRun;
  /// Delay after which a retry may succeed; zero if unknown.
  Duration RetryAfter;
  /// Fleet-wide id of the request; empty if none was assigned.
  std::string RequestId;
  /// Correlation id that the caller assigned to the request, or empty.
  std::string CallerId;

  auto operator<=>(const Refusal &) const = default;
};

/// Translates between the HTTP messages of callers and the entry. Each
/// platform adapter provides an implementation.
class CallerProtocol {
public:
  virtual ~CallerProtocol() = default;

  /// Extracts the fields that the entry needs from a request. Fails with
  /// InvalidInput if a header is malformed. Replaces the headers in \p Request
  /// that are reserved for the system, so that a caller cannot set them.
  /// \param RequiresCredentials whether the listener requires credentials. If
  /// so, CredentialDigest is set and the key is removed from \p Request;
  /// otherwise the headers with the key and the organisation are passed on.
  virtual Result<CallerRequest> describe(HttpRequest &Request,
                                         bool RequiresCredentials) const = 0;

  /// Replaces the organisation's header with the organisation that the entry
  /// has resolved from the key; an empty name removes the header. Must be
  /// called if and only if the listener requires credentials.
  virtual void identify(HttpRequest &Request,
                        const OrganisationName &Organisation) const = 0;

  /// Returns the answer that reports a refusal or failure to the caller.
  virtual HttpAnswer refuse(const Refusal &R) const = 0;

  /// Adapts the answer of a backend server before it is sent to the caller,
  /// e.g. replaces the headers that are reserved for the system.
  virtual void finish(HttpAnswer &Answer,
                      const std::string &RequestId) const = 0;
};

/// Removes the header `Authorization` and returns the hexadecimal SHA-256
/// digest of the key that it contains as `Bearer KEY`. Returns an empty string
/// if there is no key, or if there are several such headers: it would be
/// undefined which of them applies.
std::string takeBearerDigest(HeaderList &Headers);

/// Removes all headers with this name. Names are compared case-insensitively.
void removeHeader(HeaderList &Headers, const std::string &Name);

/// Returns the path of a request target, without the query.
std::string pathOf(const std::string &Target);

/// Returns the value of the `Host` header without the port, in lower case.
std::string hostOf(const HttpRequest &Request);

/// Parses an unsigned integer number of milliseconds. Fails with InvalidInput
/// and a message that names \p Header.
Result<Duration> parseMilliseconds(const std::string &Header,
                                   const std::string &Value);

} // namespace teaselhitch

#endif
