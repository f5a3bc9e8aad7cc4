#include "teaselhitch/Wire/DatagramCodec.h"

#include "MembershipSerialize.h"
#include "teaselhitch/Support/Hash.h"

#include <sstream>

namespace teaselhitch {

namespace {

/// Longer than any datagram that nodes send, and below the usual MTU.
constexpr std::size_t MaxReceivedBytes = 1400;
constexpr std::size_t FleetHashBytes = 2;
constexpr std::size_t MacBytes = 16;
constexpr std::uint8_t FormatVersion = 1;

std::string fleetHash(const std::string &Fleet) {
  std::uint64_t Hash = hash64(Fleet);
  return {static_cast<char>(Hash & 255), static_cast<char>(Hash >> 8 & 255)};
}

std::string mac(std::string_view Body, const std::string &Fleet,
                const std::string &Key) {
  std::string Signed = Fleet;
  Signed += '\0';
  Signed += Body;
  return wire::packHex(hmacSha256Hex(Key, Signed)).substr(0, MacBytes);
}

/// The first byte holds the format version in its upper four bits and the kind
/// of the datagram in its lower four bits.
template <typename ArchiveT, typename DatagramT>
void serializeDatagram(ArchiveT &Ar, DatagramT &Message) {
  auto FirstByte = static_cast<std::uint8_t>(
      FormatVersion << 4 | static_cast<unsigned>(Message.Kind));
  Ar(FirstByte);
  if constexpr (wire::IsLoading<ArchiveT>) {
    unsigned Kind = FirstByte & 15;
    if (FirstByte >> 4 != FormatVersion)
      wire::fail("unknown format version");
    if (Kind > static_cast<unsigned>(DatagramKind::Gossip))
      wire::fail("unknown kind of datagram");
    Message.Kind = static_cast<DatagramKind>(Kind);
  }
  wire::CodecState State;
  wire::serializeName(Ar, Message.Sender, State, false);
  wire::serializeVarint(Ar, Message.SenderIncarnation);
  if (wire::IsLoading<ArchiveT> &&
      Message.SenderIncarnation > wire::MaxVersionPart)
    wire::fail("version out of range");
  State.LastIncarnation = Message.SenderIncarnation;
  wire::serializeVarint(Ar, Message.Sequence);
  wire::serializeName(Ar, Message.Target, State, true);
  wire::serializeDelta(Ar, Message.Changes, State);
}

template <typename FunctionT> std::string encode(FunctionT &&Serialize) {
  std::ostringstream Stream;
  cereal::PortableBinaryOutputArchive Ar(
      Stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
  Serialize(Ar);
  return Stream.str();
}

template <typename T, typename FunctionT>
Result<T> decode(std::string_view Bytes, FunctionT &&Serialize) {
  // The first byte of an archive states its byte order. Nodes send only
  // little-endian archives.
  constexpr char LittleEndian = 1;
  if (Bytes.empty() || Bytes[0] != LittleEndian)
    return makeError(ErrorCode::InvalidInput, "not a portable binary archive");
  T Value;
  try {
    std::istringstream Stream{std::string(Bytes)};
    cereal::PortableBinaryInputArchive Ar(Stream);
    Serialize(Ar, Value);
    if (Stream.peek() != std::istringstream::traits_type::eof())
      wire::fail("trailing bytes");
  } catch (const std::exception &E) {
    return makeError(ErrorCode::InvalidInput,
                     std::string("malformed message: ") + E.what());
  }
  return Value;
}

} // namespace

std::string encodeDatagram(const Datagram &Message, const DatagramAuth &Auth) {
  std::string Bytes = fleetHash(Auth.Fleet);
  Bytes += encode([&](auto &Ar) { serializeDatagram(Ar, Message); });
  Bytes += mac(Bytes, Auth.Fleet, Auth.CurrentKey);
  return Bytes;
}

Result<Datagram> decodeDatagram(std::string_view Bytes,
                                const DatagramAuth &Auth) {
  if (Bytes.size() > MaxReceivedBytes)
    return makeError(ErrorCode::Exhausted, "datagram too long");
  if (Bytes.size() < FleetHashBytes + MacBytes)
    return makeError(ErrorCode::InvalidInput, "datagram too short");
  if (Bytes.substr(0, FleetHashBytes) != fleetHash(Auth.Fleet))
    return makeError(ErrorCode::NotFound, "datagram of another fleet");
  std::string_view Body = Bytes.substr(0, Bytes.size() - MacBytes);
  std::string_view Mac = Bytes.substr(Body.size());
  bool Valid = equalConstantTime(Mac, mac(Body, Auth.Fleet, Auth.CurrentKey));
  if (!Valid && Auth.PreviousKey)
    Valid = equalConstantTime(Mac, mac(Body, Auth.Fleet, *Auth.PreviousKey));
  if (!Valid)
    return makeError(ErrorCode::Corrupt, "datagram without a valid MAC");
  return decode<Datagram>(
      Body.substr(FleetHashBytes),
      [](auto &Ar, Datagram &Message) { serializeDatagram(Ar, Message); });
}

std::string encodeDelta(const Delta &Changes) {
  return encode([&](auto &Ar) { Ar(Changes); });
}

Result<Delta> decodeDelta(std::string_view Bytes) {
  return decode<Delta>(Bytes, [](auto &Ar, Delta &Changes) { Ar(Changes); });
}

std::string encodeDigest(const Digest &Value) {
  return encode([&](auto &Ar) { Ar(Value); });
}

Result<Digest> decodeDigest(std::string_view Bytes) {
  return decode<Digest>(Bytes, [](auto &Ar, Digest &Value) { Ar(Value); });
}

} // namespace teaselhitch
