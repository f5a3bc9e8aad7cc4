#ifndef TEASELHITCH_SUPPORT_BASE64_H
#define TEASELHITCH_SUPPORT_BASE64_H

/// \file
/// Base64 encoding (RFC 4648, with padding).

#include <optional>
#include <string>
#include <string_view>

namespace teaselhitch {

std::string encodeBase64(std::string_view Bytes);

/// Returns std::nullopt if Text is not valid base64.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace teaselhitch

#endif
