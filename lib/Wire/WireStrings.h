#ifndef TEASELHITCH_LIB_WIRE_WIRESTRINGS_H
#define TEASELHITCH_LIB_WIRE_WIRESTRINGS_H

/// \file
/// Compact encoding of integers and strings in cereal archives: variable-length
/// integers, references to earlier strings, and shared prefixes.

#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <vector>

namespace teaselhitch::wire {

/// Maximum length of a string in a record, in bytes.
constexpr std::size_t MaxTextLength = 255;
/// Maximum number of entries in a string table. Further strings are sent in
/// full each time.
constexpr std::size_t MaxTableStrings = 16384;
constexpr std::size_t PackedHashBytes = 32;

/// Throws on malformed input; decoders convert the exception into an Error.
[[noreturn]] inline void fail(const char *What) {
  throw cereal::Exception(What);
}

template <typename ArchiveT>
constexpr bool IsLoading = ArchiveT::is_loading::value;

/// The address as a number, or nothing unless Text is an IPv4 address in
/// canonical dotted notation.
std::optional<std::uint32_t> parseIpv4(const std::string &Text);
std::string formatIpv4(std::uint32_t Bits);
/// Converts 64 lower-case hexadecimal digits to 32 bytes. Returns an empty
/// string for any other text.
std::string packHex(const std::string &Text);
std::string unpackHex(const std::string &Bytes);

template <typename ArchiveT> std::uint64_t loadVarint(ArchiveT &Ar) {
  std::uint64_t Value = 0;
  for (unsigned Shift = 0;; Shift += 7) {
    std::uint8_t Byte = 0;
    Ar(Byte);
    if (Shift == 63 && Byte > 1)
      fail("integer out of range");
    Value |= static_cast<std::uint64_t>(Byte & 0x7f) << Shift;
    if ((Byte & 0x80) != 0)
      continue;
    if (Byte == 0 && Shift != 0)
      fail("integer not in shortest form");
    return Value;
  }
}

/// Encodes an integer with seven bits per byte, low bits first; the top bit
/// marks that more bytes follow.
template <typename ArchiveT, typename IntT>
void serializeVarint(ArchiveT &Ar, IntT &Value) {
  if constexpr (IsLoading<ArchiveT>) {
    std::uint64_t Loaded = loadVarint(Ar);
    if (Loaded > std::numeric_limits<IntT>::max())
      fail("integer out of range");
    Value = static_cast<IntT>(Loaded);
  } else {
    std::uint64_t Remaining = Value;
    while (Remaining >= 0x80) {
      Ar(static_cast<std::uint8_t>(Remaining | 0x80));
      Remaining >>= 7;
    }
    Ar(static_cast<std::uint8_t>(Remaining));
  }
}

template <typename ArchiveT, typename TextT>
void serializeText(ArchiveT &Ar, TextT &Text, std::size_t MaxLength) {
  std::size_t Length = Text.size();
  serializeVarint(Ar, Length);
  if constexpr (IsLoading<ArchiveT>) {
    if (Length > MaxLength)
      fail("text too long");
    Text.resize(Length);
  }
  if (Length != 0)
    Ar(cereal::binary_data(Text.data(), Length));
}

/// Encodes Text as the length of the prefix that it shares with Base, and the
/// suffix.
template <typename ArchiveT, typename TextT>
void serializeWithPrefix(ArchiveT &Ar, TextT &Text, const std::string &Base) {
  std::size_t Shared = 0;
  if constexpr (!IsLoading<ArchiveT>) {
    auto Mismatch =
        std::mismatch(Text.begin(), Text.end(), Base.begin(), Base.end());
    Shared = static_cast<std::size_t>(Mismatch.first - Text.begin());
  }
  serializeVarint(Ar, Shared);
  if constexpr (IsLoading<ArchiveT>) {
    if (Shared > Base.size())
      fail("prefix longer than its base");
    std::string Suffix;
    serializeText(Ar, Suffix, MaxTextLength - Shared);
    Text = Base.substr(0, Shared) + Suffix;
  } else {
    const std::string Suffix = Text.substr(Shared);
    serializeText(Ar, Suffix, MaxTextLength);
  }
}

/// The strings that a message has contained so far. A repeated string is
/// encoded as a reference of one or two bytes, a new one relative to the prefix
/// that it shares with the previous new string.
class StringTable {
public:
  template <typename ArchiveT, typename TextT>
  void serialize(ArchiveT &Ar, TextT &Text) {
    std::size_t Reference = 0;
    if constexpr (!IsLoading<ArchiveT>) {
      if (auto It = Index.find(Text); It != Index.end())
        Reference = It->second + 1;
    }
    serializeVarint(Ar, Reference);
    if (Reference != 0) {
      if constexpr (IsLoading<ArchiveT>)
        Text = at(Reference - 1);
      return;
    }
    serializeWithPrefix(Ar, Text, Entries.back());
    if (Entries.size() == MaxTableStrings)
      return;
    if constexpr (!IsLoading<ArchiveT>)
      Index.emplace(Text, Entries.size());
    Entries.push_back(Text);
  }

private:
  const std::string &at(std::size_t Position) const {
    if (Position >= Entries.size())
      fail("reference to an unknown string");
    return Entries[Position];
  }

  /// The first entry is the empty string.
  std::vector<std::string> Entries = {""};
  std::unordered_map<std::string, std::size_t> Index = {{"", 0}};
};

} // namespace teaselhitch::wire

#endif
