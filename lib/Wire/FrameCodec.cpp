#include "teaselhitch/Wire/FrameCodec.h"

#include "MessageSerialize.h"
#include "teaselhitch/Wire/DatagramCodec.h"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <sstream>
#include <type_traits>
#include <utility>

namespace teaselhitch {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t TypeBytes = 1;
/// Consumed bytes are erased from the buffer once there are more than this
/// many.
constexpr std::size_t CompactionBytes = 64ULL * 1024;
/// Maximum length of the fields of a message with a body. Headers take at most
/// 1 MiB.
constexpr std::uint32_t MaxFieldBytes = 2 * 1024 * 1024;

/// Returns the type byte of the frames of a message.
template <typename T, std::size_t Index = 0> constexpr std::size_t typeOf() {
  if constexpr (std::is_same_v<std::variant_alternative_t<Index, PeerMessage>,
                               T>)
    return Index;
  else
    return typeOf<T, Index + 1>();
}

constexpr bool hasBody(std::size_t Type) {
  return Type == typeOf<Dispatch>() || Type == typeOf<AttemptAnswer>();
}

template <typename MessageT> auto *bodyOf(MessageT &Message) {
  if (auto *D = std::get_if<Dispatch>(&Message))
    return &D->Request.Body;
  return &std::get<AttemptAnswer>(Message).Answer.Body;
}

void appendLength(std::string &Out, std::size_t Length) {
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out += static_cast<char>((Length >> Shift) & 0xff);
}

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

Result<EncodedFrame> encodeFrame(const PeerMessage &Message) {
  std::string Payload;
  try {
    Payload =
        std::visit([](const auto &M) { return encodePayload(M); }, Message);
  } catch (const cereal::Exception &E) {
    return makeError(ErrorCode::InvalidInput, E.what());
  }
  EncodedFrame Frame;
  std::size_t Length = TypeBytes + Payload.size();
  if (hasBody(Message.index())) {
    Frame.Body = *bodyOf(Message);
    Length += LengthBytes + Frame.Body.size();
  }
  if (Length > MaxFrameBytes)
    return makeError(ErrorCode::Exhausted,
                     "message of " + std::to_string(Length) +
                         " bytes exceeds the frame limit");
  Frame.Head.reserve(LengthBytes * 2 + TypeBytes + Payload.size());
  appendLength(Frame.Head, Length);
  Frame.Head += static_cast<char>(Message.index());
  if (hasBody(Message.index()))
    appendLength(Frame.Head, Payload.size());
  Frame.Head += Payload;
  return Frame;
}

void FrameReader::append(std::string_view Bytes) {
  if (BytesToSkip > 0) {
    std::size_t Count = std::min<std::uint64_t>(BytesToSkip, Bytes.size());
    BytesToSkip -= Count;
    Bytes.remove_prefix(Count);
  }
  if (Partial) {
    std::size_t Count =
        std::min<std::uint64_t>(BodyBytes - Body.size(), Bytes.size());
    Body.append(Bytes.substr(0, Count));
    Bytes.remove_prefix(Count);
  }
  Buffer.append(Bytes);
}

Result<std::optional<PeerMessage>> FrameReader::next() {
  IsDiscarded = false;
  if (Partial)
    return takeComplete();
  std::string_view Unread = std::string_view(Buffer).substr(Consumed);
  if (Unread.size() < LengthBytes)
    return std::optional<PeerMessage>();
  std::uint32_t Length = readLength(Unread);
  if (Length < TypeBytes || Length > MaxFrameBytes)
    return makeError(ErrorCode::Corrupt,
                     "invalid frame length " + std::to_string(Length));
  if (Unread.size() < LengthBytes + TypeBytes)
    return std::optional<PeerMessage>();
  auto Type = static_cast<unsigned char>(Unread[LengthBytes]);
  if (hasBody(Type))
    return nextWithBody(Length);
  if (Unread.size() < LengthBytes + Length)
    return std::optional<PeerMessage>();
  BOOST_LEAF_AUTO(Message,
                  decodeByType(Type, Unread.substr(LengthBytes + TypeBytes,
                                                   Length - TypeBytes)));
  consume(LengthBytes + Length);
  return std::optional<PeerMessage>(std::move(Message));
}

Result<std::optional<PeerMessage>>
FrameReader::nextWithBody(std::uint32_t Length) {
  constexpr std::size_t PrefixBytes = LengthBytes + TypeBytes + LengthBytes;
  std::string_view Unread = std::string_view(Buffer).substr(Consumed);
  if (Length < TypeBytes + LengthBytes)
    return makeError(ErrorCode::Corrupt,
                     "invalid frame length " + std::to_string(Length));
  if (Unread.size() < PrefixBytes)
    return std::optional<PeerMessage>();
  std::uint32_t FieldBytes = readLength(Unread.substr(LengthBytes + TypeBytes));
  if (FieldBytes > MaxFieldBytes ||
      FieldBytes > Length - TypeBytes - LengthBytes)
    return makeError(ErrorCode::Corrupt,
                     "invalid field length " + std::to_string(FieldBytes));
  if (Unread.size() < PrefixBytes + FieldBytes)
    return std::optional<PeerMessage>();
  auto Type = static_cast<unsigned char>(Unread[LengthBytes]);
  BOOST_LEAF_AUTO(Message,
                  decodeByType(Type, Unread.substr(PrefixBytes, FieldBytes)));
  BodyBytes = Length - TypeBytes - LengthBytes - FieldBytes;
  std::size_t Arrived = std::min<std::uint64_t>(
      BodyBytes, Unread.size() - PrefixBytes - FieldBytes);
  std::optional<MemoryBudget::Reservation> Reserved =
      Reserve ? Reserve(Message, BodyBytes) : MemoryBudget::Reservation();
  if (!Reserved) {
    IsDiscarded = true;
    BytesToSkip = BodyBytes - Arrived;
    consume(PrefixBytes + FieldBytes + Arrived);
    return std::optional<PeerMessage>(std::move(Message));
  }
  Held = std::move(*Reserved);
  // The pages of a large block take no memory before bytes arrive for them.
  Body.reserve(BodyBytes);
  Body.append(Unread.substr(PrefixBytes + FieldBytes, Arrived));
  consume(PrefixBytes + FieldBytes + Arrived);
  Partial = std::move(Message);
  return takeComplete();
}

std::optional<PeerMessage> FrameReader::takeComplete() {
  if (Body.size() < BodyBytes)
    return std::nullopt;
  *bodyOf(*Partial) = SharedBytes(std::move(Body), std::move(Held));
  Body.clear();
  Held.release();
  return std::exchange(Partial, std::nullopt);
}

void FrameReader::consume(std::size_t Bytes) {
  Consumed += Bytes;
  if (Consumed == Buffer.size() || Consumed > CompactionBytes) {
    Buffer.erase(0, Consumed);
    Consumed = 0;
  }
}

} // namespace teaselhitch
