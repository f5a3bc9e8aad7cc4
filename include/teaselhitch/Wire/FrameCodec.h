#ifndef TEASELHITCH_WIRE_FRAMECODEC_H
#define TEASELHITCH_WIRE_FRAMECODEC_H

/// \file
/// Frames of the TCP links between nodes: a big-endian length of 4 bytes, a
/// type of 1 byte, and the payload. The length counts the type and the payload.

#include "teaselhitch/Membership/Membership.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Support/Result.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace teaselhitch {

/// Handshake: the first message that each side sends on a link.
struct Hello {
  static constexpr std::uint32_t CurrentProtocol = 5;

  std::string Fleet;
  NodeName Node;
  std::uint64_t Incarnation = 0;
  FailureDomain Domain;
  std::uint32_t Protocol = CurrentProtocol;

  auto operator<=>(const Hello &) const = default;
};

/// Liveness check of a link: a request, or the reply to one.
struct Heartbeat {
  std::uint64_t Sequence = 0;
  bool IsReply = false;

  auto operator<=>(const Heartbeat &) const = default;
};

/// Requests the piece of the configuration with the given hash.
struct PieceRequest {
  std::string Hash;

  auto operator<=>(const PieceRequest &) const = default;
};

struct Piece {
  std::string Hash;
  std::string Bytes;

  auto operator<=>(const Piece &) const = default;
};

/// The index of an alternative is the type byte of its frame, so the order is
/// part of the protocol.
using PeerMessage =
    std::variant<Hello, Heartbeat, Dispatch, Cancel, MintKey, AttemptFailed,
                 AttemptAnswer, KeyMinted, Digest, Delta, PieceRequest, Piece,
                 AttemptOverdue, Offer, Grant, CreditRequest, CreditReply>;

/// Maximum length of a frame in bytes, not counting its length field.
inline constexpr std::uint32_t MaxFrameBytes = 72 * 1024 * 1024;

/// Encodes a message as a frame. Errors: Exhausted if the frame would be longer
/// than MaxFrameBytes, InvalidInput if a field is out of range.
Result<std::string> encodeFrame(const PeerMessage &Message);

/// Splits a stream of bytes into messages.
class FrameReader {
public:
  void append(std::string_view Bytes) { Buffer.append(Bytes); }

  /// Returns the next complete message, or nothing if more bytes are needed.
  /// Errors: Corrupt if the stream is malformed, InvalidInput if a Delta or
  /// Digest in it is malformed. The reader must not be used after an error.
  Result<std::optional<PeerMessage>> next();

private:
  std::string Buffer;
  std::size_t Consumed = 0;
};

} // namespace teaselhitch

#endif
