#ifndef TEASELHITCH_LIB_WIRE_MEMBERSHIPSERIALIZE_H
#define TEASELHITCH_LIB_WIRE_MEMBERSHIPSERIALIZE_H

/// \file
/// Serialization with cereal of the types of Model/Records.h and Membership.h.
/// Each function serves both directions. Loading throws cereal::Exception on
/// input that is out of bounds; decoders catch it at their entry points.

#include "WireStrings.h"
#include "teaselhitch/Membership/Membership.h"

#include <cereal/archives/portable_binary.hpp>

#include <limits>
#include <type_traits>

namespace teaselhitch::wire {

/// Maximum number of records of one kind in a delta. Bounds the memory that a
/// short frame can make the decoder allocate.
constexpr std::size_t MaxDeltaRecords = 4096;
constexpr std::size_t MaxHashLength = 128;
/// Maximum weight of a backend server in percent.
constexpr std::uint32_t MaxWeight = 100;
/// Incarnations and sequences above this value are refused, so that
/// incrementing one never overflows.
constexpr std::uint64_t MaxVersionPart = std::uint64_t(1) << 62;

/// Values of a message that its later parts refer back to.
struct CodecState {
  StringTable Strings;
  std::uint64_t LastIncarnation = 0;
  std::uint64_t LastSequence = 0;
  /// The preceding backend server record.
  BackendServerRecord LastServer;
};

template <typename ArchiveT, typename TextT>
void serializeName(ArchiveT &Ar, TextT &Name, CodecState &State,
                   bool MayBeEmpty) {
  using NameT = std::remove_const_t<TextT>;
  if constexpr (IsLoading<ArchiveT>) {
    std::string Text;
    State.Strings.serialize(Ar, Text);
    if (!(MayBeEmpty && Text.empty()) && !isValidName(Text))
      fail("invalid name");
    Name = NameT(std::move(Text));
  } else {
    State.Strings.serialize(Ar, Name.str());
  }
}

/// An IPv4 address takes 4 bytes; any other address is sent as text.
template <typename ArchiveT, typename EndpointT>
void serializeEndpoint(ArchiveT &Ar, EndpointT &E, CodecState &State) {
  constexpr std::uint8_t IsText = 0, IsV4 = 1;
  std::optional<std::uint32_t> V4;
  if constexpr (!IsLoading<ArchiveT>)
    V4 = parseIpv4(E.Address);
  std::uint8_t Tag = V4 ? IsV4 : IsText;
  Ar(Tag);
  if (Tag > IsV4)
    fail("unknown kind of address");
  if (Tag == IsV4) {
    std::uint32_t Bits = V4.value_or(0);
    Ar(Bits);
    if constexpr (IsLoading<ArchiveT>)
      E.Address = formatIpv4(Bits);
  } else {
    State.Strings.serialize(Ar, E.Address);
  }
  Ar(E.Port);
}

/// Encodes a number as the zigzag-coded difference from the previous number of
/// its kind in the message. The arithmetic is modulo 2^64, so any two numbers
/// have a difference.
template <typename ArchiveT, typename IntT>
void serializeDifference(ArchiveT &Ar, IntT &Value, std::uint64_t &Last) {
  std::uint64_t ZigZag = 0;
  if constexpr (!IsLoading<ArchiveT>) {
    auto Difference = static_cast<std::int64_t>(Value - Last);
    ZigZag = (static_cast<std::uint64_t>(Difference) << 1) ^
             static_cast<std::uint64_t>(Difference >> 63);
  }
  serializeVarint(Ar, ZigZag);
  if constexpr (IsLoading<ArchiveT>)
    Value = Last + ((ZigZag >> 1) ^ (~(ZigZag & 1) + 1));
  Last = Value;
}

/// Differences are shorter than the values: versions of the records of one node
/// lie close together, and the difference of two wall clock times is smaller
/// than the times.
template <typename ArchiveT, typename VersionT>
void serializeVersion(ArchiveT &Ar, VersionT &Version, CodecState &State) {
  serializeDifference(Ar, Version.Incarnation, State.LastIncarnation);
  serializeDifference(Ar, Version.Sequence, State.LastSequence);
  if (IsLoading<ArchiveT> && (Version.Incarnation > MaxVersionPart ||
                              Version.Sequence > MaxVersionPart))
    fail("version out of range");
}

template <typename ArchiveT, typename EnumT>
void serializeEnum(ArchiveT &Ar, EnumT &Value,
                   std::remove_const_t<EnumT> Last) {
  using PlainT = std::remove_const_t<EnumT>;
  auto Raw = static_cast<std::uint8_t>(Value);
  Ar(Raw);
  if constexpr (IsLoading<ArchiveT>) {
    if (Raw > static_cast<std::uint8_t>(Last))
      fail("unknown enumerator");
    Value = static_cast<PlainT>(Raw);
  }
}

template <typename ArchiveT, typename RecordT>
void serializeNode(ArchiveT &Ar, RecordT &Record, CodecState &State) {
  serializeName(Ar, Record.Name, State, false);
  serializeEndpoint(Ar, Record.Address, State);
  serializeName(Ar, Record.Domain, State, true);
  serializeName(Ar, Record.Region, State, true);
  serializeEnum(Ar, Record.State, NodeState::Leaving);
  serializeVersion(Ar, Record.Version, State);
}

/// Packs state and health into one byte.
template <typename ArchiveT, typename RecordT>
void serializeServerStates(ArchiveT &Ar, RecordT &Record) {
  auto Packed =
      static_cast<std::uint8_t>(static_cast<unsigned>(Record.State) |
                                static_cast<unsigned>(Record.Health) << 4);
  Ar(Packed);
  if constexpr (IsLoading<ArchiveT>) {
    unsigned State = Packed & 15, Health = Packed >> 4;
    if (State > static_cast<unsigned>(BackendServerState::Gone) ||
        Health > static_cast<unsigned>(BackendServerHealth::Ejected))
      fail("unknown state of a backend server");
    Record.State = static_cast<BackendServerState>(State);
    Record.Health = static_cast<BackendServerHealth>(Health);
  }
}

/// Backend servers are usually named after their service, so a name is encoded
/// as the length of the prefix that it shares with the service name, and the
/// suffix.
template <typename ArchiveT, typename RecordT>
void serializeServerName(ArchiveT &Ar, RecordT &Record) {
  if constexpr (IsLoading<ArchiveT>) {
    std::string Text;
    serializeWithPrefix(Ar, Text, Record.Service.str());
    if (!isValidName(Text))
      fail("invalid name");
    Record.Id.Name = BackendServerName(std::move(Text));
  } else {
    serializeWithPrefix(Ar, Record.Id.Name.str(), Record.Service.str());
  }
}

/// Bit mask of the fields that equal those of the preceding record.
enum SameField : std::uint8_t {
  SameNode = 1,
  SameDomain = 2,
  SameLabel = 4,
  SameSlots = 8,
  SameStates = 16,
  SameWeight = 32,
};
constexpr std::uint8_t AllSameFields = 63;

inline std::uint8_t sameFields(const BackendServerRecord &A,
                               const BackendServerRecord &B) {
  bool States = A.State == B.State && A.Health == B.Health;
  return static_cast<std::uint8_t>((A.Id.Node == B.Id.Node ? SameNode : 0) |
                                   (A.Domain == B.Domain ? SameDomain : 0) |
                                   (A.Label == B.Label ? SameLabel : 0) |
                                   (A.Slots == B.Slots ? SameSlots : 0) |
                                   (States ? SameStates : 0) |
                                   (A.Weight == B.Weight ? SameWeight : 0));
}

/// A node often changes all its backend servers at once, so a record is encoded
/// as the difference from the preceding one.
template <typename ArchiveT, typename RecordT>
void serializeServer(ArchiveT &Ar, RecordT &Record, CodecState &State) {
  std::uint8_t Same = sameFields(Record, State.LastServer);
  Ar(Same);
  if constexpr (IsLoading<ArchiveT>) {
    if (Same > AllSameFields)
      fail("unknown field");
    Record = State.LastServer;
  }
  if ((Same & SameNode) == 0)
    serializeName(Ar, Record.Id.Node, State, false);
  if (Record.Id.Node.empty())
    fail("backend server without a node");
  serializeName(Ar, Record.Service, State, false);
  serializeServerName(Ar, Record);
  if ((Same & SameDomain) == 0)
    serializeName(Ar, Record.Domain, State, true);
  if ((Same & SameLabel) == 0)
    State.Strings.serialize(Ar, Record.Label);
  if ((Same & SameSlots) == 0)
    serializeVarint(Ar, Record.Slots);
  if ((Same & SameStates) == 0)
    serializeServerStates(Ar, Record);
  if ((Same & SameWeight) == 0)
    serializeVarint(Ar, Record.Weight);
  if (IsLoading<ArchiveT> && Record.Weight > MaxWeight)
    fail("weight out of range");
  serializeVersion(Ar, Record.Version, State);
  State.LastServer = Record;
}

template <typename ArchiveT, typename RecordT>
void serializeQuarantine(ArchiveT &Ar, RecordT &Record, CodecState &State) {
  Ar(Record.Fingerprint);
  serializeVarint(Ar, Record.RemainingMs);
  Ar(Record.CrashId);
  // The byte is checked before it becomes a bool, because a bool with a value
  // other than 0 and 1 is undefined behaviour.
  std::uint8_t Repeated = Record.Repeated ? 1 : 0;
  Ar(Repeated);
  if (Repeated > 1)
    fail("flag out of range");
  if constexpr (IsLoading<ArchiveT>)
    Record.Repeated = Repeated == 1;
  serializeName(Ar, Record.Service, State, true);
}

/// A hash of 64 hexadecimal digits is packed into 32 bytes; any other text is
/// sent unchanged.
template <typename ArchiveT, typename HeadT>
void serializeHead(ArchiveT &Ar, HeadT &Head) {
  serializeVarint(Ar, Head.Version);
  if (IsLoading<ArchiveT> && Head.Version > MaxVersionPart)
    fail("version out of range");
  if (Head.Version == 0)
    return;
  std::string Packed;
  if constexpr (!IsLoading<ArchiveT>)
    Packed = packHex(Head.ManifestHash);
  std::uint8_t IsPacked = Packed.empty() ? 0 : 1;
  Ar(IsPacked);
  if (IsPacked > 1)
    fail("unknown kind of hash");
  if (IsPacked == 0) {
    serializeText(Ar, Head.ManifestHash, MaxHashLength);
    return;
  }
  Packed.resize(PackedHashBytes);
  Ar(cereal::binary_data(Packed.data(), Packed.size()));
  if constexpr (IsLoading<ArchiveT>)
    Head.ManifestHash = unpackHex(Packed);
}

template <typename ArchiveT, typename ListT, typename FunctionT>
void serializeList(ArchiveT &Ar, ListT &List, FunctionT &&SerializeElement) {
  std::size_t Count = List.size();
  serializeVarint(Ar, Count);
  if constexpr (IsLoading<ArchiveT>) {
    if (Count > MaxDeltaRecords)
      fail("too many records");
    List.clear();
    // Elements are added one by one, so that a short message with a large count
    // cannot allocate much memory.
    for (std::size_t I = 0; I != Count; ++I)
      SerializeElement(List.emplace_back());
  } else {
    for (const auto &Element : List)
      SerializeElement(Element);
  }
}

template <typename ArchiveT, typename DeltaT>
void serializeDelta(ArchiveT &Ar, DeltaT &Changes, CodecState &State) {
  serializeList(Ar, Changes.Nodes,
                [&](auto &Record) { serializeNode(Ar, Record, State); });
  serializeList(Ar, Changes.Servers,
                [&](auto &Record) { serializeServer(Ar, Record, State); });
  serializeList(Ar, Changes.Quarantines,
                [&](auto &Record) { serializeQuarantine(Ar, Record, State); });
  serializeHead(Ar, Changes.Head);
}

/// Buckets take 4 bytes each if all of them fit into 32 bits, else 8 bytes.
template <typename ArchiveT, typename DigestT>
void serializeDigest(ArchiveT &Ar, DigestT &Value) {
  constexpr std::uint8_t Narrow = 4, Wide = 8;
  constexpr std::uint64_t Limit = std::numeric_limits<std::uint32_t>::max();
  std::uint8_t Width = Narrow;
  for (std::uint64_t Bucket : Value.Buckets)
    Width = Bucket > Limit ? Wide : Width;
  Ar(Width);
  if (Width != Narrow && Width != Wide)
    fail("unknown width of digest buckets");
  for (auto &Bucket : Value.Buckets) {
    if (Width == Wide) {
      Ar(Bucket);
      continue;
    }
    auto Short = static_cast<std::uint32_t>(Bucket);
    Ar(Short);
    if constexpr (IsLoading<ArchiveT>)
      Bucket = Short;
  }
  serializeHead(Ar, Value.Head);
}

/// The types that the save() and load() functions below support with cereal's
/// `Ar(Value)`.
template <typename T>
concept MembershipType =
    std::is_same_v<T, Endpoint> || std::is_same_v<T, RecordVersion> ||
    std::is_same_v<T, NodeRecord> || std::is_same_v<T, BackendServerRecord> ||
    std::is_same_v<T, BackendServerId> || std::is_same_v<T, QuarantineRecord> ||
    std::is_same_v<T, ConfigHead> || std::is_same_v<T, Delta> ||
    std::is_same_v<T, Digest>;

template <typename ArchiveT, typename ValueT>
void serializeStandalone(ArchiveT &Ar, ValueT &Value) {
  using T = std::remove_const_t<ValueT>;
  CodecState State;
  if constexpr (std::is_same_v<T, Endpoint>)
    serializeEndpoint(Ar, Value, State);
  else if constexpr (std::is_same_v<T, RecordVersion>)
    serializeVersion(Ar, Value, State);
  else if constexpr (std::is_same_v<T, NodeRecord>)
    serializeNode(Ar, Value, State);
  else if constexpr (std::is_same_v<T, BackendServerRecord>)
    serializeServer(Ar, Value, State);
  else if constexpr (std::is_same_v<T, QuarantineRecord>)
    serializeQuarantine(Ar, Value, State);
  else if constexpr (std::is_same_v<T, ConfigHead>)
    serializeHead(Ar, Value);
  else if constexpr (std::is_same_v<T, Delta>)
    serializeDelta(Ar, Value, State);
  else if constexpr (std::is_same_v<T, Digest>)
    serializeDigest(Ar, Value);
  else {
    serializeName(Ar, Value.Node, State, true);
    serializeName(Ar, Value.Name, State, true);
  }
}

} // namespace teaselhitch::wire

namespace teaselhitch {

template <typename ArchiveT, wire::MembershipType ValueT>
void save(ArchiveT &Ar, const ValueT &Value) {
  wire::serializeStandalone(Ar, Value);
}

template <typename ArchiveT, wire::MembershipType ValueT>
void load(ArchiveT &Ar, ValueT &Value) {
  wire::serializeStandalone(Ar, Value);
}

/// A name is encoded as text. It may be empty but not otherwise invalid.
template <typename ArchiveT, typename TagT>
void save(ArchiveT &Ar, const Name<TagT> &Value) {
  wire::serializeText(Ar, Value.str(), wire::MaxTextLength);
}

template <typename ArchiveT, typename TagT>
void load(ArchiveT &Ar, Name<TagT> &Value) {
  std::string Text;
  wire::serializeText(Ar, Text, wire::MaxTextLength);
  if (!Text.empty() && !isValidName(Text))
    wire::fail("invalid name");
  Value = Name<TagT>(std::move(Text));
}

} // namespace teaselhitch

#endif
