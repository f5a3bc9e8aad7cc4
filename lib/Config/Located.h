#ifndef TEASELHITCH_LIB_CONFIG_LOCATED_H
#define TEASELHITCH_LIB_CONFIG_LOCATED_H

/// \file
/// Objects as read from files, with the places where they are written.

#include "teaselhitch/Config/Check.h"
#include "teaselhitch/Support/NearestName.h"

#include <map>
#include <string>
#include <vector>

namespace teaselhitch::detail {

/// A place in a file, from 1.
struct Place {
  std::string File;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
};

/// An object and where its keys are.
template <typename T> struct Located {
  T Object;
  Place Start;
  /// The keys with a valid value.
  std::map<std::string, Place> Keys;
  /// True if a key is missing or has a wrong value. The object then takes part
  /// in no checks of its values against each other.
  bool HasFault = false;

  /// The place of a key, or of the object if the key is not written.
  const Place &at(const std::string &Key) const {
    auto It = Keys.find(Key);
    return It == Keys.end() ? Start : It->second;
  }
};

/// All objects of all files in the order of reading.
struct LocatedSet {
  std::vector<Located<Service>> Services;
  std::vector<Located<Group>> Groups;
  std::vector<Located<Rule>> Rules;
  std::vector<Located<Organisation>> Organisations;
  std::vector<Located<Limit>> Limits;
  std::vector<Located<Listener>> Listeners;
  /// A file does not parse, so objects may be missing.
  bool Incomplete = false;
};

inline Diagnostic diagnostic(const Place &P, std::string Message) {
  return {P.File, P.Line, P.Column, std::move(Message)};
}

/// Reports what is wrong between objects.
void crossCheck(const LocatedSet &Set, std::vector<Diagnostic> &Faults);

} // namespace teaselhitch::detail

#endif
