#include "teaselhitch/Support/NameSuggestion.h"

#include <algorithm>
#include <numeric>

namespace teaselhitch {

namespace {

/// Maximum number of known names that a message lists.
constexpr std::size_t MaxListedNames = 10;

char toLower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

/// Returns the Levenshtein distance between A and B, ignoring case.
std::size_t editDistance(const std::string &A, const std::string &B) {
  std::vector<std::size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 0; I != A.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I + 1;
    for (std::size_t J = 0; J != B.size(); ++J) {
      std::size_t SubstitutionCost =
          Diagonal + (toLower(A[I]) == toLower(B[J]) ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({SubstitutionCost, Row[J] + 1, Row[J + 1] + 1});
    }
  }
  return Row[B.size()];
}

} // namespace

std::string suggestName(const std::string &Text,
                        const std::vector<std::string> &KnownNames) {
  const std::string *Nearest = nullptr;
  std::size_t LeastDistance = 0;
  for (const std::string &Name : KnownNames) {
    std::size_t Distance = editDistance(Text, Name);
    if (!Nearest || Distance < LeastDistance) {
      Nearest = &Name;
      LeastDistance = Distance;
    }
  }
  // A name that differs in more than half of its characters is unlikely to be
  // the result of a typing error.
  if (Nearest && LeastDistance * 2 <= std::max(Text.size(), Nearest->size()))
    return ", did you mean '" + *Nearest + "'?";
  if (KnownNames.empty() || KnownNames.size() > MaxListedNames)
    return "";
  std::string List = ", known: ";
  for (const std::string &Name : KnownNames)
    List += (&Name == &KnownNames.front() ? "" : ", ") + Name;
  return List;
}

} // namespace teaselhitch
