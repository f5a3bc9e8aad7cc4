#ifndef TEASELHITCH_PLATFORM_HTTPCALL_H
#define TEASELHITCH_PLATFORM_HTTPCALL_H

/// \file
/// A blocking HTTP call, used by the operators' command-line tools.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Result.h"

namespace teaselhitch {

/// Sends a request and waits at most Timeout for the complete answer.
///
/// Errors: InvalidInput (the server's address is not an IP address),
/// Unavailable (no connection or no answer), Corrupt (the answer is not HTTP).
Result<HttpAnswer> callHttp(const Endpoint &Server, const HttpRequest &Request,
                            Duration Timeout);

} // namespace teaselhitch

#endif
