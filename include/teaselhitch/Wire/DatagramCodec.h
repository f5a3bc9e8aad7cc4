#ifndef TEASELHITCH_WIRE_DATAGRAMCODEC_H
#define TEASELHITCH_WIRE_DATAGRAMCODEC_H

/// \file
/// Bytes of membership messages: whole datagrams with authentication, and
/// deltas and digests as payloads of TCP frames.

#include "teaselhitch/Membership/Membership.h"
#include "teaselhitch/Support/Result.h"

#include <optional>
#include <string>
#include <string_view>

namespace teaselhitch {

/// What proves that a datagram comes from a node of the same fleet.
struct DatagramAuth {
  std::string Fleet;
  /// Signs sent datagrams; accepted in received ones.
  std::string CurrentKey;
  /// Accepted too, while keys are being replaced.
  std::optional<std::string> PreviousKey;

  auto operator<=>(const DatagramAuth &) const = default;
};

/// Layout: 2 bytes of the hash of the fleet's name, a cereal portable binary
/// archive, and the first 16 bytes of HMAC-SHA-256 over the fleet's name and
/// all bytes before.
std::string encodeDatagram(const Datagram &Message, const DatagramAuth &Auth);

/// Errors: Exhausted for a datagram above 1,400 bytes, NotFound for one of
/// another fleet, Corrupt for one without a valid MAC, InvalidInput for
/// malformed content.
Result<Datagram> decodeDatagram(std::string_view Bytes,
                                const DatagramAuth &Auth);

std::string encodeDelta(const Delta &Changes);
/// Errors: InvalidInput.
Result<Delta> decodeDelta(std::string_view Bytes);

std::string encodeDigest(const Digest &Value);
/// Errors: InvalidInput.
Result<Digest> decodeDigest(std::string_view Bytes);

} // namespace teaselhitch

#endif
