#include "teaselhitch/Integration/CallerProtocol.h"

#include <algorithm>
#include <charconv>

namespace teaselhitch {

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

std::string hostOf(const HttpRequest &Request) {
  std::string Host = headerValue(Request.Headers, "Host");
  // Colons before a closing bracket belong to an IPv6 address and do not
  // separate a port.
  std::size_t Colon = Host.rfind(':');
  if (Colon != std::string::npos && Host.find(']', Colon) == std::string::npos)
    Host.resize(Colon);
  std::transform(Host.begin(), Host.end(), Host.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Host;
}

Result<Duration> parseMilliseconds(const std::string &Header,
                                   const std::string &Value) {
  std::uint32_t Ms = 0;
  const char *End = Value.data() + Value.size();
  auto [Rest, EC] = std::from_chars(Value.data(), End, Ms);
  if (EC != std::errc() || Rest != End)
    return makeError(ErrorCode::InvalidInput,
                     Header + ": '" + Value +
                         "' is no whole number of milliseconds");
  return Duration(Ms);
}

} // namespace teaselhitch
