#ifndef TEASELHITCH_LIB_CONFIG_LOCATED_H
#define TEASELHITCH_LIB_CONFIG_LOCATED_H

/// \file
/// Parsed objects with the source locations of their keys.

#include "teaselhitch/Config/Check.h"
#include "teaselhitch/Support/NameSuggestion.h"

#include <map>
#include <string>
#include <vector>

namespace teaselhitch::detail {

/// A position in a file. Line and Column start at 1; 0 means unknown.
struct SourceLocation {
  std::string File;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
};

/// An object with the locations of its keys.
template <typename T> struct Located {
  T Object;
  SourceLocation Start;
  /// Locations of the keys that have a valid value.
  std::map<std::string, SourceLocation> KeyLocations;
  /// Whether a key is missing or has an invalid value. Such an object is
  /// excluded from the checks that compare values with each other.
  bool HasError = false;

  /// The location of a key, or of the object if the key is missing or
  /// invalid.
  const SourceLocation &keyLocation(const std::string &Key) const {
    auto It = KeyLocations.find(Key);
    return It == KeyLocations.end() ? Start : It->second;
  }
};

/// The objects of all files in the order in which they were parsed.
struct LocatedSet {
  std::vector<Located<Service>> Services;
  std::vector<Located<Group>> Groups;
  std::vector<Located<Rule>> Rules;
  std::vector<Located<Organisation>> Organisations;
  std::vector<Located<Limit>> Limits;
  std::vector<Located<Listener>> Listeners;
  /// Whether a file has a syntax error, so that objects may be missing.
  bool Incomplete = false;
};

inline Diagnostic makeDiagnostic(const SourceLocation &Location,
                                 std::string Message) {
  return {Location.File, Location.Line, Location.Column, std::move(Message)};
}

/// Reports errors that involve several objects or several keys of one object.
void crossCheck(const LocatedSet &Set, std::vector<Diagnostic> &Diagnostics);

} // namespace teaselhitch::detail

#endif
