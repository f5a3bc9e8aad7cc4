#include "teaselhitch/Config/Objects.h"

#include <algorithm>
#include <charconv>

namespace teaselhitch {

const char *detectionPresetName(DetectionPreset Preset) {
  switch (Preset) {
  case DetectionPreset::FewFalseEjections:
    return "few-false-ejections";
  case DetectionPreset::Balanced:
    return "balanced";
  case DetectionPreset::FastDetection:
    return "fast-detection";
  }
  return "balanced";
}

bool isSha256Digest(std::string_view Text) {
  constexpr std::size_t DigestChars = 64;
  return Text.size() == DigestChars &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

std::string toString(const WeightedGroup &Share) {
  return Share.Group.str() + ":" + std::to_string(Share.Weight);
}

std::optional<WeightedGroup> parseWeightedGroup(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || !isValidName(Text.substr(0, Colon)))
    return std::nullopt;
  WeightedGroup Share;
  Share.Group = GroupName(std::string(Text.substr(0, Colon)));
  const char *End = Text.data() + Text.size();
  auto [Rest, Fault] =
      std::from_chars(Text.data() + Colon + 1, End, Share.Weight);
  if (Fault != std::errc() || Rest != End || Share.Weight == 0)
    return std::nullopt;
  return Share;
}

} // namespace teaselhitch
