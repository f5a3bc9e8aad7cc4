#ifndef TEASELHITCH_WIRE_FRAMECODEC_H
#define TEASELHITCH_WIRE_FRAMECODEC_H

/// \file
/// Frames of the TCP links between nodes: a length of 4 bytes, most significant
/// first, then the type in 1 byte and the payload.

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

/// First message on a link, from both sides.
struct Hello {
  static constexpr std::uint32_t CurrentProtocol = 3;

  std::string Fleet;
  NodeName Node;
  std::uint64_t Incarnation = 0;
  FailureDomain Domain;
  std::uint32_t Protocol = CurrentProtocol;

  auto operator<=>(const Hello &) const = default;
};

/// Asks for a sign of life, or gives it.
struct Heartbeat {
  std::uint64_t Sequence = 0;
  bool IsReply = false;

  auto operator<=>(const Heartbeat &) const = default;
};

/// Asks for a piece of the configuration.
struct PieceRequest {
  std::string Hash;

  auto operator<=>(const PieceRequest &) const = default;
};

struct Piece {
  std::string Hash;
  std::string Bytes;

  auto operator<=>(const Piece &) const = default;
};

/// The order of the alternatives is the type byte of the frame.
using PeerMessage =
    std::variant<Hello, Heartbeat, Dispatch, Cancel, MintKey, AttemptFailed,
                 AttemptAnswer, KeyMinted, Digest, Delta, PieceRequest, Piece,
                 AttemptOverdue, Offer, Grant>;

/// Greatest length of a frame without its length field in bytes.
inline constexpr std::uint32_t MaxFrameBytes = 72 * 1024 * 1024;

/// The frame of a message; Exhausted if it would be too long.
Result<std::string> encodeFrame(const PeerMessage &Message);

/// Cuts a stream of bytes into messages.
class FrameReader {
public:
  void append(std::string_view Bytes) { Buffer.append(Bytes); }

  /// The next whole message, or nothing if more bytes are needed. Corrupt if
  /// the stream is malformed; it cannot be read on after that.
  Result<std::optional<PeerMessage>> next();

private:
  std::string Buffer;
  std::size_t Consumed = 0;
};

} // namespace teaselhitch

#endif
