#include "WireStrings.h"

#include <arpa/inet.h>
#include <array>

namespace teaselhitch::wire {

std::string formatIpv4(std::uint32_t Bits) {
  std::string Text;
  for (unsigned Shift = 32; Shift != 0; Shift -= 8) {
    Text += Text.empty() ? "" : ".";
    Text += std::to_string((Bits >> (Shift - 8)) & 255);
  }
  return Text;
}

std::optional<std::uint32_t> parseIpv4(const std::string &Text) {
  in_addr Parsed{};
  if (inet_pton(AF_INET, Text.c_str(), &Parsed) != 1)
    return std::nullopt;
  std::uint32_t Bits = ntohl(Parsed.s_addr);
  if (formatIpv4(Bits) != Text)
    return std::nullopt;
  return Bits;
}

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";

} // namespace

std::string packHex(const std::string &Text) {
  if (Text.size() != PackedHashBytes * 2 ||
      Text.find_first_not_of(HexDigits) != std::string::npos)
    return "";
  std::string Bytes;
  for (std::size_t I = 0; I != Text.size(); I += 2)
    Bytes += static_cast<char>(HexDigits.find(Text[I]) << 4 |
                               HexDigits.find(Text[I + 1]));
  return Bytes;
}

std::string unpackHex(const std::string &Bytes) {
  std::string Text;
  for (char C : Bytes) {
    auto Byte = static_cast<unsigned char>(C);
    Text += HexDigits[Byte >> 4];
    Text += HexDigits[Byte & 15];
  }
  return Text;
}

} // namespace teaselhitch::wire
