#ifndef TEASELHITCH_LIB_WIRE_WIRESTRINGS_H
#define TEASELHITCH_LIB_WIRE_WIRESTRINGS_H

/// \file
/// Compact coding of integers and strings on cereal archives: variable-length
/// integers, a table of strings sent before, and common prefixes.

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

/// Longest string of a record, in bytes.
constexpr std::size_t MaxTextLength = 255;
/// Strings after this many are sent without a table entry.
constexpr std::size_t MaxTableStrings = 16384;
constexpr std::size_t PackedHashBytes = 32;

/// Reports malformed input; decoders turn it into an Error.
[[noreturn]] inline void fail(const char *What) {
  throw cereal::Exception(What);
}

template <typename ArchiveT>
constexpr bool IsLoading = ArchiveT::is_loading::value;

/// The bits of a canonical dotted IPv4 address.
std::optional<std::uint32_t> parseIpv4(const std::string &Text);
std::string formatIpv4(std::uint32_t Bits);
/// 32 bytes for 64 lower-case hexadecimal digits, empty for other text.
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

/// Seven bits a byte, low bits first.
template <typename ArchiveT, typename IntT>
void codeVarint(ArchiveT &Ar, IntT &Value) {
  if constexpr (IsLoading<ArchiveT>) {
    std::uint64_t Loaded = loadVarint(Ar);
    if (Loaded > std::numeric_limits<IntT>::max())
      fail("integer out of range");
    Value = static_cast<IntT>(Loaded);
  } else {
    std::uint64_t Rest = Value;
    while (Rest >= 0x80) {
      Ar(static_cast<std::uint8_t>(Rest | 0x80));
      Rest >>= 7;
    }
    Ar(static_cast<std::uint8_t>(Rest));
  }
}

template <typename ArchiveT, typename TextT>
void codeText(ArchiveT &Ar, TextT &Text, std::size_t MaxLength) {
  std::size_t Length = Text.size();
  codeVarint(Ar, Length);
  if constexpr (IsLoading<ArchiveT>) {
    if (Length > MaxLength)
      fail("text too long");
    Text.resize(Length);
  }
  if (Length != 0)
    Ar(cereal::binary_data(Text.data(), Length));
}

/// Codes Text as the number of leading bytes that it shares with Base, and the
/// rest.
template <typename ArchiveT, typename TextT>
void codeWithPrefix(ArchiveT &Ar, TextT &Text, const std::string &Base) {
  std::size_t Shared = 0;
  if constexpr (!IsLoading<ArchiveT>) {
    auto Ends =
        std::mismatch(Text.begin(), Text.end(), Base.begin(), Base.end());
    Shared = static_cast<std::size_t>(Ends.first - Text.begin());
  }
  codeVarint(Ar, Shared);
  if constexpr (IsLoading<ArchiveT>) {
    if (Shared > Base.size())
      fail("prefix longer than its base");
    std::string Rest;
    codeText(Ar, Rest, MaxTextLength - Shared);
    Text = Base.substr(0, Shared) + Rest;
  } else {
    const std::string Rest = Text.substr(Shared);
    codeText(Ar, Rest, MaxTextLength);
  }
}

/// Strings that a message has carried so far. A repeated string takes one or
/// two bytes; a new one shares its prefix with the new one before.
class StringTable {
public:
  template <typename ArchiveT, typename TextT>
  void code(ArchiveT &Ar, TextT &Text) {
    std::size_t Reference = 0;
    if constexpr (!IsLoading<ArchiveT>) {
      if (auto It = Index.find(Text); It != Index.end())
        Reference = It->second + 1;
    }
    codeVarint(Ar, Reference);
    if (Reference != 0) {
      if constexpr (IsLoading<ArchiveT>)
        Text = at(Reference - 1);
      return;
    }
    codeWithPrefix(Ar, Text, Entries.back());
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

  /// Starts with the empty string.
  std::vector<std::string> Entries = {""};
  std::unordered_map<std::string, std::size_t> Index = {{"", 0}};
};

} // namespace teaselhitch::wire

#endif
