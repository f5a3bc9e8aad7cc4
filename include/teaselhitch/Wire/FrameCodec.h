#ifndef TEASELHITCH_WIRE_FRAMECODEC_H
#define TEASELHITCH_WIRE_FRAMECODEC_H

/// \file
/// Frames of the TCP links between nodes: a big-endian length of 4 bytes, a
/// type of 1 byte, and the payload. The length counts the type and the payload.
/// The payload of a message with a body is a big-endian length of 4 bytes, the
/// fields other than the body in that many bytes, and the body up to the end of
/// the frame.

#include "teaselhitch/Membership/Membership.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Support/MemoryBudget.h"
#include "teaselhitch/Support/Result.h"
#include "teaselhitch/Support/SharedBytes.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace teaselhitch {

/// Handshake: the first message that each side sends on a link.
struct Hello {
  static constexpr std::uint32_t CurrentProtocol = 6;

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
                 AttemptOverdue, Offer, Grant, CreditRequest, CreditReply,
                 DepartureCopy, DepartureCopyKept>;

/// Maximum length of a frame in bytes, not counting its length field.
inline constexpr std::uint32_t MaxFrameBytes = 72 * 1024 * 1024;

/// A frame is Head followed by Body, which the message shares.
struct EncodedFrame {
  std::string Head;
  SharedBytes Body;
};

/// Encodes a message as a frame. Errors: Exhausted if the frame would be longer
/// than MaxFrameBytes, InvalidInput if a field is out of range.
Result<EncodedFrame> encodeFrame(const PeerMessage &Message);

/// Splits a stream of bytes into messages.
class FrameReader {
public:
  /// Returns the reservation for a body when the rest of its message has
  /// arrived, or nothing if the body is to be discarded.
  using BodyReserver = std::function<std::optional<MemoryBudget::Reservation>(
      const PeerMessage &Message, std::uint64_t BodyBytes)>;

  explicit FrameReader(BodyReserver Reserve = nullptr)
      : Reserve(std::move(Reserve)) {}

  void append(std::string_view Bytes);

  /// Returns the next complete message, or nothing if more bytes are needed. A
  /// message whose body is discarded is returned before its body has arrived.
  /// Errors: Corrupt if the stream is malformed, InvalidInput if a Delta or
  /// Digest in it is malformed. The reader must not be used after an error.
  Result<std::optional<PeerMessage>> next();

  /// True if the message that next() returned last lacks its body.
  bool isBodyDiscarded() const { return IsDiscarded; }
  /// True while a part of a body has still to arrive.
  bool isInBody() const { return Partial.has_value() || BytesToSkip > 0; }
  /// Number of bytes that are not part of a message yet, bodies excluded.
  std::size_t bufferedBytes() const { return Buffer.size() - Consumed; }

private:
  Result<std::optional<PeerMessage>> nextWithBody(std::uint32_t Length);
  std::optional<PeerMessage> takeComplete();
  void consume(std::size_t Bytes);

  BodyReserver Reserve;
  std::string Buffer;
  std::size_t Consumed = 0;
  /// A message whose body is incomplete. Meanwhile, Buffer is empty.
  std::optional<PeerMessage> Partial;
  std::uint64_t BodyBytes = 0;
  std::string Body;
  MemoryBudget::Reservation Held;
  /// Bytes of a discarded body that have still to arrive.
  std::uint64_t BytesToSkip = 0;
  bool IsDiscarded = false;
};

} // namespace teaselhitch

#endif
