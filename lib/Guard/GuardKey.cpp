#include "teaselhitch/Guard/GuardKey.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace teaselhitch {

namespace {

constexpr std::string_view Prefix = "th1.";
/// Hexadecimal digits of an HMAC-SHA-256.
constexpr std::size_t MacDigits = 64;

/// Removes the field after the last dot from Text and returns it.
std::optional<std::string_view> takeLastField(std::string_view &Text) {
  std::size_t Dot = Text.rfind('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  std::string_view Last = Text.substr(Dot + 1);
  Text = Text.substr(0, Dot);
  return Last;
}

/// Accepts only the shortest decimal form, so that each key has exactly one
/// text.
std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  if (Text.size() > 1 && Text.front() == '0')
    return std::nullopt;
  return Value;
}

bool isMac(std::string_view Text) {
  return Text.size() == MacDigits &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

} // namespace

std::optional<GuardKey> parseGuardKey(std::string_view Text) {
  if (Text.substr(0, Prefix.size()) != Prefix)
    return std::nullopt;
  // Names may contain dots, so the fields are parsed from the end.
  std::string_view Rest = Text.substr(Prefix.size());
  std::optional<std::string_view> Mac = takeLastField(Rest);
  std::optional<std::string_view> Expiry = takeLastField(Rest);
  std::optional<std::string_view> Sequence = takeLastField(Rest);
  std::optional<std::string_view> Incarnation = takeLastField(Rest);
  if (!Incarnation || !isMac(*Mac) || !isValidName(Rest))
    return std::nullopt;
  std::optional<std::uint64_t> ExpiryMs = parseNumber(*Expiry);
  std::optional<std::uint64_t> SequenceNumber = parseNumber(*Sequence);
  std::optional<std::uint64_t> IncarnationNumber = parseNumber(*Incarnation);
  if (!ExpiryMs || !SequenceNumber || !IncarnationNumber)
    return std::nullopt;
  return GuardKey{NodeName(std::string(Rest)), *IncarnationNumber,
                  *SequenceNumber, *ExpiryMs, std::string(*Mac)};
}

std::string signedPart(const GuardKey &Key) {
  return std::string(Prefix) + Key.Node.str() + "." +
         std::to_string(Key.Incarnation) + "." + std::to_string(Key.Sequence) +
         "." + std::to_string(Key.ExpiryMs);
}

std::string toString(const GuardKey &Key) {
  return signedPart(Key) + "." + Key.Mac;
}

} // namespace teaselhitch
