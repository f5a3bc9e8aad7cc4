#ifndef TEASELHITCH_LIB_WIRE_SERIALIZE_H
#define TEASELHITCH_LIB_WIRE_SERIALIZE_H

/// \file
/// Cereal functions for the types of Model/Records.h and Membership.h. Each
/// function serves both directions; loading throws cereal::Exception on input
/// that is out of bounds, so a decoder catches it at its entry point.

#include "WireStrings.h"
#include "teaselhitch/Membership/Membership.h"

#include <cereal/archives/portable_binary.hpp>

#include <limits>
#include <type_traits>

namespace teaselhitch::wire {

/// Greatest number of records of one kind in a delta. Bounds the memory that a
/// small frame can claim.
constexpr std::size_t MaxDeltaRecords = 4096;
constexpr std::size_t MaxHashLength = 128;
/// Percent.
constexpr std::uint32_t MaxWeight = 100;
/// Incarnations and sequences above this are refused, so that adding one never
/// wraps around.
constexpr std::uint64_t MaxVersionPart = std::uint64_t(1) << 62;

/// What later parts of a message refer back to.
struct CodingState {
  StringTable Strings;
  std::uint64_t LastIncarnation = 0;
  std::uint64_t LastSequence = 0;
  /// The backend server record before.
  BackendServerRecord LastServer;
};

template <typename ArchiveT, typename TextT>
void codeName(ArchiveT &Ar, TextT &Name, CodingState &State, bool MayBeEmpty) {
  using NameT = std::remove_const_t<TextT>;
  if constexpr (IsLoading<ArchiveT>) {
    std::string Text;
    State.Strings.code(Ar, Text);
    if (!(MayBeEmpty && Text.empty()) && !isValidName(Text))
      fail("invalid name");
    Name = NameT(std::move(Text));
  } else {
    State.Strings.code(Ar, Name.str());
  }
}

/// IPv4 addresses take 4 bytes, all others are sent as text.
template <typename ArchiveT, typename EndpointT>
void codeEndpoint(ArchiveT &Ar, EndpointT &E, CodingState &State) {
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
    State.Strings.code(Ar, E.Address);
  }
  Ar(E.Port);
}

/// A number as the difference to an earlier one of the same message. The
/// arithmetic wraps around, so every pair of numbers has a difference.
template <typename ArchiveT, typename IntT>
void codeDifference(ArchiveT &Ar, IntT &Value, std::uint64_t &Last) {
  std::uint64_t ZigZag = 0;
  if constexpr (!IsLoading<ArchiveT>) {
    auto Difference = static_cast<std::int64_t>(Value - Last);
    ZigZag = (static_cast<std::uint64_t>(Difference) << 1) ^
             static_cast<std::uint64_t>(Difference >> 63);
  }
  codeVarint(Ar, ZigZag);
  if constexpr (IsLoading<ArchiveT>)
    Value = Last + ((ZigZag >> 1) ^ (~(ZigZag & 1) + 1));
  Last = Value;
}

/// The differences between the records of one node are small, and those between
/// wall clock times are smaller than the times.
template <typename ArchiveT, typename VersionT>
void codeVersion(ArchiveT &Ar, VersionT &Version, CodingState &State) {
  codeDifference(Ar, Version.Incarnation, State.LastIncarnation);
  codeDifference(Ar, Version.Sequence, State.LastSequence);
  if (IsLoading<ArchiveT> && (Version.Incarnation > MaxVersionPart ||
                              Version.Sequence > MaxVersionPart))
    fail("version out of range");
}

template <typename ArchiveT, typename EnumT>
void codeEnum(ArchiveT &Ar, EnumT &Value, std::remove_const_t<EnumT> Last) {
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
void codeNode(ArchiveT &Ar, RecordT &Record, CodingState &State) {
  codeName(Ar, Record.Name, State, false);
  codeEndpoint(Ar, Record.Address, State);
  codeName(Ar, Record.Domain, State, true);
  codeName(Ar, Record.Region, State, true);
  codeEnum(Ar, Record.State, NodeState::Leaving);
  codeVersion(Ar, Record.Version, State);
}

/// State and health share one byte.
template <typename ArchiveT, typename RecordT>
void codeServerStates(ArchiveT &Ar, RecordT &Record) {
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

/// Backend servers are usually named after their service, so the name is sent
/// as the length of the common prefix and the rest.
template <typename ArchiveT, typename RecordT>
void codeServerName(ArchiveT &Ar, RecordT &Record) {
  if constexpr (IsLoading<ArchiveT>) {
    std::string Text;
    codeWithPrefix(Ar, Text, Record.Service.str());
    if (!isValidName(Text))
      fail("invalid name");
    Record.Id.Name = BackendServerName(std::move(Text));
  } else {
    codeWithPrefix(Ar, Record.Id.Name.str(), Record.Service.str());
  }
}

/// Fields that equal those of the record before, one bit each.
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

/// A node often changes all its backend servers at once, so a record is sent as
/// the difference to the one before.
template <typename ArchiveT, typename RecordT>
void codeServer(ArchiveT &Ar, RecordT &Record, CodingState &State) {
  std::uint8_t Same = sameFields(Record, State.LastServer);
  Ar(Same);
  if constexpr (IsLoading<ArchiveT>) {
    if (Same > AllSameFields)
      fail("unknown field");
    Record = State.LastServer;
  }
  if ((Same & SameNode) == 0)
    codeName(Ar, Record.Id.Node, State, false);
  if (Record.Id.Node.empty())
    fail("backend server without a node");
  codeName(Ar, Record.Service, State, false);
  codeServerName(Ar, Record);
  if ((Same & SameDomain) == 0)
    codeName(Ar, Record.Domain, State, true);
  if ((Same & SameLabel) == 0)
    State.Strings.code(Ar, Record.Label);
  if ((Same & SameSlots) == 0)
    codeVarint(Ar, Record.Slots);
  if ((Same & SameStates) == 0)
    codeServerStates(Ar, Record);
  if ((Same & SameWeight) == 0)
    codeVarint(Ar, Record.Weight);
  if (IsLoading<ArchiveT> && Record.Weight > MaxWeight)
    fail("weight out of range");
  codeVersion(Ar, Record.Version, State);
  State.LastServer = Record;
}

template <typename ArchiveT, typename RecordT>
void codeQuarantine(ArchiveT &Ar, RecordT &Record, CodingState &State) {
  Ar(Record.Fingerprint);
  codeVarint(Ar, Record.RemainingMs);
  Ar(Record.CrashId);
  // Any other byte in a bool is undefined behaviour.
  std::uint8_t Repeated = Record.Repeated ? 1 : 0;
  Ar(Repeated);
  if (Repeated > 1)
    fail("flag out of range");
  if constexpr (IsLoading<ArchiveT>)
    Record.Repeated = Repeated == 1;
  codeName(Ar, Record.Service, State, true);
}

/// A hash of 64 hexadecimal digits takes 32 bytes, other text is sent as it is.
template <typename ArchiveT, typename HeadT>
void codeHead(ArchiveT &Ar, HeadT &Head) {
  codeVarint(Ar, Head.Version);
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
    codeText(Ar, Head.ManifestHash, MaxHashLength);
    return;
  }
  Packed.resize(PackedHashBytes);
  Ar(cereal::binary_data(Packed.data(), Packed.size()));
  if constexpr (IsLoading<ArchiveT>)
    Head.ManifestHash = unpackHex(Packed);
}

template <typename ArchiveT, typename ListT, typename FunctionT>
void codeList(ArchiveT &Ar, ListT &List, FunctionT &&CodeElement) {
  std::size_t Count = List.size();
  codeVarint(Ar, Count);
  if constexpr (IsLoading<ArchiveT>) {
    if (Count > MaxDeltaRecords)
      fail("too many records");
    List.clear();
    // Not resized at once: a short message cannot claim much memory.
    for (std::size_t I = 0; I != Count; ++I)
      CodeElement(List.emplace_back());
  } else {
    for (const auto &Element : List)
      CodeElement(Element);
  }
}

template <typename ArchiveT, typename DeltaT>
void codeDelta(ArchiveT &Ar, DeltaT &Changes, CodingState &State) {
  codeList(Ar, Changes.Nodes,
           [&](auto &Record) { codeNode(Ar, Record, State); });
  codeList(Ar, Changes.Servers,
           [&](auto &Record) { codeServer(Ar, Record, State); });
  codeList(Ar, Changes.Quarantines,
           [&](auto &Record) { codeQuarantine(Ar, Record, State); });
  codeHead(Ar, Changes.Head);
}

/// Buckets that all fit into 32 bits take 4 bytes each.
template <typename ArchiveT, typename DigestT>
void codeDigest(ArchiveT &Ar, DigestT &Value) {
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
  codeHead(Ar, Value.Head);
}

/// The types for which the functions below make cereal's `Ar(Value)` work.
template <typename T>
concept MembershipType =
    std::is_same_v<T, Endpoint> || std::is_same_v<T, RecordVersion> ||
    std::is_same_v<T, NodeRecord> || std::is_same_v<T, BackendServerRecord> ||
    std::is_same_v<T, BackendServerId> || std::is_same_v<T, QuarantineRecord> ||
    std::is_same_v<T, ConfigHead> || std::is_same_v<T, Delta> ||
    std::is_same_v<T, Digest>;

template <typename ArchiveT, typename ValueT>
void codeStandalone(ArchiveT &Ar, ValueT &Value) {
  using T = std::remove_const_t<ValueT>;
  CodingState State;
  if constexpr (std::is_same_v<T, Endpoint>)
    codeEndpoint(Ar, Value, State);
  else if constexpr (std::is_same_v<T, RecordVersion>)
    codeVersion(Ar, Value, State);
  else if constexpr (std::is_same_v<T, NodeRecord>)
    codeNode(Ar, Value, State);
  else if constexpr (std::is_same_v<T, BackendServerRecord>)
    codeServer(Ar, Value, State);
  else if constexpr (std::is_same_v<T, QuarantineRecord>)
    codeQuarantine(Ar, Value, State);
  else if constexpr (std::is_same_v<T, ConfigHead>)
    codeHead(Ar, Value);
  else if constexpr (std::is_same_v<T, Delta>)
    codeDelta(Ar, Value, State);
  else if constexpr (std::is_same_v<T, Digest>)
    codeDigest(Ar, Value);
  else {
    codeName(Ar, Value.Node, State, true);
    codeName(Ar, Value.Name, State, true);
  }
}

} // namespace teaselhitch::wire

namespace teaselhitch {

template <typename ArchiveT, wire::MembershipType ValueT>
void save(ArchiveT &Ar, const ValueT &Value) {
  wire::codeStandalone(Ar, Value);
}

template <typename ArchiveT, wire::MembershipType ValueT>
void load(ArchiveT &Ar, ValueT &Value) {
  wire::codeStandalone(Ar, Value);
}

/// A name is sent as text; it may be empty, but not invalid.
template <typename ArchiveT, typename TagT>
void save(ArchiveT &Ar, const Name<TagT> &Value) {
  wire::codeText(Ar, Value.str(), wire::MaxTextLength);
}

template <typename ArchiveT, typename TagT>
void load(ArchiveT &Ar, Name<TagT> &Value) {
  std::string Text;
  wire::codeText(Ar, Text, wire::MaxTextLength);
  if (!Text.empty() && !isValidName(Text))
    wire::fail("invalid name");
  Value = Name<TagT>(std::move(Text));
}

} // namespace teaselhitch

#endif
