#ifndef TEASELHITCH_GUARD_GUARDKEY_H
#define TEASELHITCH_GUARD_GUARDKEY_H

/// \file
/// The text form of guard-bound keys:
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
  /// Milliseconds on the clock of that guard.
  std::uint64_t ExpiryMs = 0;
  /// HMAC-SHA-256 of the text before it, 64 hexadecimal digits.
  std::string Mac;

  auto operator<=>(const GuardKey &) const = default;
};

/// Reads a key. Only the exact form that a guard issues is accepted; the
/// signature is not checked, which only a holder of the secret can do. An entry
/// takes node and incarnation from here to route an attempt.
std::optional<GuardKey> parseGuardKey(std::string_view Text);

/// The part of the text form that is signed.
std::string signedPart(const GuardKey &Key);

/// The text form of a key.
std::string toString(const GuardKey &Key);

} // namespace teaselhitch

#endif
