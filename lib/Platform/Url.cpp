#include "teaselhitch/Platform/Url.h"

// Compiles Boost.URL into this file instead of linking its library. Only one
// translation unit may include this header.
#include <boost/url/src.hpp>

namespace teaselhitch {

std::string percentEncode(std::string_view Text) {
  return boost::urls::encode(Text, boost::urls::unreserved_chars);
}

Result<RequestTarget> parseTarget(std::string_view Target) {
  auto View = boost::urls::parse_origin_form(Target);
  if (!View)
    return makeError(ErrorCode::InvalidInput,
                     "malformed request target '" + std::string(Target) + "'");
  RequestTarget Parsed;
  for (const auto &Segment : View->segments())
    Parsed.Segments.emplace_back(Segment);
  for (const auto &Parameter : View->params())
    Parsed.Parameters.insert_or_assign(Parameter.key, Parameter.value);
  return Parsed;
}

} // namespace teaselhitch
