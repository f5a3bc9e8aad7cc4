#ifndef TEASELHITCH_CONFIG_CHECK_H
#define TEASELHITCH_CONFIG_CHECK_H

/// \file
/// Parses object files and validates all of them together as one set.

#include "teaselhitch/Config/Objects.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselhitch {

/// The path and contents of a TOML file.
struct SourceFile {
  std::string Path;
  std::string Text;

  auto operator<=>(const SourceFile &) const = default;
};

/// An error in the object files. Line and Column start at 1; 0 means unknown.
struct Diagnostic {
  std::string File;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  /// The error and the expected value, e.g. "unknown key 'flor' in service
  /// 'seats', did you mean 'floor'?".
  std::string Message;

  auto operator<=>(const Diagnostic &) const = default;
};

/// Formats a diagnostic as "file:line:column: message".
std::string toString(const Diagnostic &D);

/// The result of checkObjects().
struct CheckedSet {
  /// Complete only if Faults is empty.
  ObjectSet Objects;
  std::vector<Diagnostic> Diagnostics;

  bool isValid() const { return Diagnostics.empty(); }
};

/// Facts that checkObjects() cannot derive from the files.
struct CheckOptions {
  /// Names of the available detector plug-ins. If empty, every valid name is
  /// accepted.
  std::vector<std::string> Detectors;
};

/// Parses all files and reports all errors, sorted by location: the first
/// syntax error of each file, unknown keys, wrong types and units, values out
/// of range, duplicate names, unresolved references, overlapping rules, and
/// floors above the total expected size of the groups. References are not
/// checked if any file has a syntax error, because the referenced object may be
/// defined in that file.
CheckedSet checkObjects(const std::vector<SourceFile> &Files,
                        const CheckOptions &Options = {});

} // namespace teaselhitch

#endif
