#include "teaselhitch/Support/NearestName.h"

#include <algorithm>
#include <numeric>

namespace teaselhitch {

namespace {

/// Longest list of known names in a message.
constexpr std::size_t MaxListed = 10;

char lower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

/// Insertions, removals and replacements that turn A into B, regardless of
/// case.
std::size_t editDistance(const std::string &A, const std::string &B) {
  std::vector<std::size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 0; I != A.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I + 1;
    for (std::size_t J = 0; J != B.size(); ++J) {
      std::size_t Replaced = Diagonal + (lower(A[I]) == lower(B[J]) ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({Replaced, Row[J] + 1, Row[J + 1] + 1});
    }
  }
  return Row[B.size()];
}

} // namespace

std::string suggestName(const std::string &Text,
                        const std::vector<std::string> &Known) {
  const std::string *Nearest = nullptr;
  std::size_t Least = 0;
  for (const std::string &Name : Known) {
    std::size_t Distance = editDistance(Text, Name);
    if (!Nearest || Distance < Least) {
      Nearest = &Name;
      Least = Distance;
    }
  }
  // A name of which more than half differs is no likely typing error.
  if (Nearest && Least * 2 <= std::max(Text.size(), Nearest->size()))
    return ", did you mean '" + *Nearest + "'?";
  if (Known.empty() || Known.size() > MaxListed)
    return "";
  std::string List = ", known: ";
  for (const std::string &Name : Known)
    List += (&Name == &Known.front() ? "" : ", ") + Name;
  return List;
}

} // namespace teaselhitch
