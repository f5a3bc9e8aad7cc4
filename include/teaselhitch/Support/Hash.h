#ifndef TEASELHITCH_SUPPORT_HASH_H
#define TEASELHITCH_SUPPORT_HASH_H

/// \file
/// Hash functions from OpenSSL and xxHash.

#include <cstdint>
#include <string>
#include <string_view>

namespace teaselhitch {

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Data);

/// HMAC-SHA-256 as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view Key, std::string_view Data);

/// True when A and B are equal, in time that depends on their length only.
bool equalConstantTime(std::string_view A, std::string_view B);

/// XXH3, the same on every machine. Not for security.
std::uint64_t hash64(std::string_view Data);

} // namespace teaselhitch

#endif
