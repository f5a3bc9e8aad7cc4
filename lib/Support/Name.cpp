#include "teaselhitch/Support/Name.h"

#include <algorithm>

namespace teaselhitch {

namespace {

constexpr std::size_t MaxNameLength = 64;

bool isAlnum(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9');
}

bool isNameChar(char C) {
  return isAlnum(C) || C == '.' || C == '_' || C == '-';
}

} // namespace

bool isValidName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength && isAlnum(Text[0]) &&
         std::all_of(Text.begin(), Text.end(), isNameChar);
}

} // namespace teaselhitch
