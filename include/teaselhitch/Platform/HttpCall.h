#ifndef TEASELHITCH_PLATFORM_HTTPCALL_H
#define TEASELHITCH_PLATFORM_HTTPCALL_H

/// \file
/// One blocking HTTP call, for the operators' commands.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Result.h"

namespace teaselhitch {

/// Sends a request and waits for the whole answer, at most Timeout.
///
/// Errors: InvalidInput (not an IP address), Unavailable (no connection or no
/// answer), Corrupt (the answer is not HTTP).
Result<HttpAnswer> callHttp(const Endpoint &Server, const HttpRequest &Request,
                            Duration Timeout);

} // namespace teaselhitch

#endif
