#ifndef TEASELHITCH_CONFIG_CHECK_H
#define TEASELHITCH_CONFIG_CHECK_H

/// \file
/// Reads object files and checks the whole set as one.

#include "teaselhitch/Config/Objects.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselhitch {

/// A TOML file with its text.
struct SourceFile {
  std::string Path;
  std::string Text;

  auto operator<=>(const SourceFile &) const = default;
};

/// A fault in the objects. Line and Column start at 1; 0 means unknown.
struct Diagnostic {
  std::string File;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  /// What is wrong and what was expected, e.g. "unknown key 'flor' in service
  /// 'seats', did you mean 'floor'?".
  std::string Message;

  auto operator<=>(const Diagnostic &) const = default;
};

/// "file:line:column: message".
std::string toString(const Diagnostic &D);

struct CheckedSet {
  /// Complete only if Faults is empty.
  ObjectSet Objects;
  std::vector<Diagnostic> Faults;

  bool isValid() const { return Faults.empty(); }
};

/// What the check cannot know from the files.
struct CheckOptions {
  /// Names of the detector plug-ins; empty accepts every valid name.
  std::vector<std::string> Detectors;
};

/// Reads all files and reports all faults in order of position: syntax (the
/// first of each file), unknown keys, wrong types and units, ranges, duplicate
/// names, references to nothing, overlapping rules, floors above the size of
/// the groups. References are not checked while a file has a fault of syntax,
/// because what they name may be in that file.
CheckedSet checkObjects(const std::vector<SourceFile> &Files,
                        const CheckOptions &Options = {});

} // namespace teaselhitch

#endif
