#ifndef TEASELHITCH_GUARD_GUARDKEY_H
#define TEASELHITCH_GUARD_GUARDKEY_H

/// \file
/// Text format of guard-bound keys:
/// `th1.<node>.<incarnation>.<sequence>.<expiry>.<hmac>`.

#include "teaselhitch/Model/Names.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhitch {

/// The fields of a guard-bound key.
struct GuardKey {
  /// The guard that issued the key.
  NodeName Node;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Time of expiry in milliseconds on the clock of the issuing guard.
  std::uint64_t ExpiryMs = 0;
  /// HMAC-SHA-256 of the preceding text, as 64 hexadecimal digits.
  std::string Mac;

  auto operator<=>(const GuardKey &) const = default;
};

/// Parses a key. Only the exact format that a guard issues is accepted. The
/// signature is not checked, since only a holder of the secret can do so. An
/// entry uses the node and the incarnation to route an attempt.
std::optional<GuardKey> parseGuardKey(std::string_view Text);

/// The part of the text format that is signed.
std::string signedPart(const GuardKey &Key);

/// The text format of a key.
std::string toString(const GuardKey &Key);

} // namespace teaselhitch

#endif
