#include "teaselhitch/Wire/FrameCodec.h"

#include "MessageSerialize.h"
#include "teaselhitch/Wire/DatagramCodec.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>

namespace teaselhitch {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t TypeBytes = 1;
/// Consumed bytes are erased from the buffer once there are more than this
/// many.
constexpr std::size_t CompactionBytes = 64ULL * 1024;

template <typename T> std::string encodePayload(const T &Message) {
  if constexpr (std::is_same_v<T, Delta>) {
    return encodeDelta(Message);
  } else if constexpr (std::is_same_v<T, Digest>) {
    return encodeDigest(Message);
  } else {
    std::ostringstream Out;
    cereal::PortableBinaryOutputArchive Archive(Out);
    // serializeFields() serves both directions; saving leaves the value
    // unchanged.
    serializeFields(Archive, const_cast<T &>(Message));
    return Out.str();
  }
}
template <typename T> Result<T> decodePayload(std::string_view Bytes) {
  if constexpr (std::is_same_v<T, Delta>) {
    return decodeDelta(Bytes);
  } else if constexpr (std::is_same_v<T, Digest>) {
    return decodeDigest(Bytes);
  } else {
    try {
      std::istringstream In{std::string(Bytes)};
      cereal::PortableBinaryInputArchive Archive(In);
      T Message;
      serializeFields(Archive, Message);
      if (In.peek() != std::istringstream::traits_type::eof())
        return makeError(ErrorCode::Corrupt,
                         "trailing bytes after the message");
      return Message;
    } catch (const cereal::Exception &E) {
      return makeError(ErrorCode::Corrupt, E.what());
    }
  }
}

template <std::size_t Index = 0>
Result<PeerMessage> decodeByType(std::size_t Type, std::string_view Bytes) {
  if constexpr (Index == std::variant_size_v<PeerMessage>) {
    return makeError(ErrorCode::Corrupt,
                     "unknown message type " + std::to_string(Type));
  } else {
    if (Type != Index)
      return decodeByType<Index + 1>(Type, Bytes);
    using MessageT = std::variant_alternative_t<Index, PeerMessage>;
    BOOST_LEAF_AUTO(Message, decodePayload<MessageT>(Bytes));
    return PeerMessage(std::move(Message));
  }
}

std::uint32_t readLength(std::string_view Bytes) {
  std::uint32_t Length = 0;
  for (std::size_t I = 0; I != LengthBytes; ++I)
    Length = (Length << 8) | static_cast<unsigned char>(Bytes[I]);
  return Length;
}

} // namespace

Result<std::string> encodeFrame(const PeerMessage &Message) {
  std::string Payload;
  try {
    Payload =
        std::visit([](const auto &M) { return encodePayload(M); }, Message);
  } catch (const cereal::Exception &E) {
    return makeError(ErrorCode::InvalidInput, E.what());
  }
  std::size_t Length = TypeBytes + Payload.size();
  if (Length > MaxFrameBytes)
    return makeError(ErrorCode::Exhausted,
                     "message of " + std::to_string(Length) +
                         " bytes exceeds the frame limit");
  std::string Frame;
  Frame.reserve(LengthBytes + Length);
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Frame += static_cast<char>((Length >> Shift) & 0xff);
  Frame += static_cast<char>(Message.index());
  return Frame + Payload;
}

Result<std::optional<PeerMessage>> FrameReader::next() {
  std::string_view Unread = std::string_view(Buffer).substr(Consumed);
  if (Unread.size() < LengthBytes)
    return std::optional<PeerMessage>();
  std::uint32_t Length = readLength(Unread);
  if (Length < TypeBytes || Length > MaxFrameBytes)
    return makeError(ErrorCode::Corrupt,
                     "invalid frame length " + std::to_string(Length));
  if (Unread.size() < LengthBytes + Length)
    return std::optional<PeerMessage>();
  auto Type = static_cast<unsigned char>(Unread[LengthBytes]);
  BOOST_LEAF_AUTO(Message,
                  decodeByType(Type, Unread.substr(LengthBytes + TypeBytes,
                                                   Length - TypeBytes)));
  Consumed += LengthBytes + Length;
  if (Consumed == Buffer.size() || Consumed > CompactionBytes) {
    Buffer.erase(0, Consumed);
    Consumed = 0;
  }
  return std::optional<PeerMessage>(std::move(Message));
}

} // namespace teaselhitch
