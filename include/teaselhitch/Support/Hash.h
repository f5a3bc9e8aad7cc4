#ifndef TEASELHITCH_SUPPORT_HASH_H
#define TEASELHITCH_SUPPORT_HASH_H

/// \file
/// Hash functions from OpenSSL and xxHash.

#include <cstdint>
#include <string>
#include <string_view>

namespace teaselhitch {

/// Returns the SHA-256 digest of Data as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Data);

/// Returns the HMAC-SHA-256 of Data as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view Key, std::string_view Data);

/// Returns true if A and B are equal. The run time depends only on their
/// lengths.
bool equalConstantTime(std::string_view A, std::string_view B);

/// Returns the 64-bit XXH3 hash of Data, which is the same on every machine.
/// Not suitable for security purposes.
std::uint64_t hash64(std::string_view Data);
/// Returns the hash of both parts in sequence, without joining them in memory.
std::uint64_t hash64(std::string_view First, std::string_view Second);

} // namespace teaselhitch

#endif
