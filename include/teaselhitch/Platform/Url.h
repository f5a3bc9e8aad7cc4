#ifndef TEASELHITCH_PLATFORM_URL_H
#define TEASELHITCH_PLATFORM_URL_H

/// \file
/// Request targets of the platform's protocol: percent-encoded path segments
/// and query parameters.

#include "teaselhitch/Support/Result.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhitch {

/// Percent-encodes all characters except the unreserved ones of RFC 3986.
std::string percentEncode(std::string_view Text);

/// A decoded request target.
struct RequestTarget {
  std::vector<std::string> Segments;
  std::map<std::string, std::string> Parameters;
};

/// Parses the target of an HTTP request, such as `/table/a%2Fb?limit=3`. Fails
/// with InvalidInput if the target is malformed.
Result<RequestTarget> parseTarget(std::string_view Target);

} // namespace teaselhitch

#endif
