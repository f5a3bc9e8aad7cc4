#include "teaselhitch/Integration/CallerProtocol.h"

#include "teaselhitch/Support/Hash.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace teaselhitch {

namespace {

std::string toLower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Text;
}

} // namespace

std::string takeBearerDigest(HeaderList &Headers) {
  constexpr const char *Authorization = "Authorization";
  constexpr std::string_view Scheme = "bearer ";
  std::string Value = headerValue(Headers, Authorization);
  std::size_t Before = Headers.size();
  removeHeader(Headers, Authorization);
  if (Before - Headers.size() != 1 || Value.size() < Scheme.size() ||
      toLower(Value.substr(0, Scheme.size())) != Scheme)
    return "";
  std::size_t First = Value.find_first_not_of(' ', Scheme.size());
  std::size_t Last = Value.find_last_not_of(" \t");
  if (First == std::string::npos)
    return "";
  return sha256Hex(std::string_view(Value).substr(First, Last - First + 1));
}

void removeHeader(HeaderList &Headers, const std::string &Name) {
  std::string Lower = toLower(Name);
  std::erase_if(Headers,
                [&](const Header &H) { return toLower(H.Name) == Lower; });
}

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
  return toLower(std::move(Host));
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
