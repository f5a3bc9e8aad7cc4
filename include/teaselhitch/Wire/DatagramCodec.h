#ifndef TEASELHITCH_WIRE_DATAGRAMCODEC_H
#define TEASELHITCH_WIRE_DATAGRAMCODEC_H

/// \file
/// Encoding of membership messages: authenticated datagrams, and deltas and
/// digests as payloads of TCP frames.

#include "teaselhitch/Membership/Membership.h"
#include "teaselhitch/Support/Result.h"

#include <optional>
#include <string>
#include <string_view>

namespace teaselhitch {

/// Fleet name and keys that authenticate the datagrams between the nodes of a
/// fleet.
struct DatagramAuth {
  std::string Fleet;
  /// Key that signs sent datagrams and verifies received ones.
  std::string CurrentKey;
  /// Key that also verifies received datagrams during a key rotation.
  std::optional<std::string> PreviousKey;

  auto operator<=>(const DatagramAuth &) const = default;
};

/// Layout: 2 bytes of the hash of the fleet's name, a cereal portable binary
/// archive, and the first 16 bytes of an HMAC-SHA-256 over the fleet's name, a
/// zero byte and all preceding bytes of the datagram.
std::string encodeDatagram(const Datagram &Message, const DatagramAuth &Auth);

/// Errors: Exhausted for a datagram longer than 1,400 bytes, NotFound for one
/// of another fleet, Corrupt for one without a valid MAC, InvalidInput for
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
