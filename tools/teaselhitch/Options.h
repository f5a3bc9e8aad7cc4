#ifndef TEASELHITCH_TOOLS_OPTIONS_H
#define TEASELHITCH_TOOLS_OPTIONS_H

/// \file
/// Command-line options by popt.

#include "teaselhitch/Support/Result.h"

#include <string>
#include <vector>

namespace teaselhitch {

/// An option that takes a text, or a flag.
struct OptionSpec {
  const char *Name;
  const char *Help;
  /// Name of the argument in the help; null for a flag.
  const char *Argument;
  /// Receives the argument. Null for a flag.
  std::string *Text;
  /// Set by a flag. Null for a text.
  bool *Flag;
};

/// Options that were read.
struct ReadOptions {
  /// The help text was asked for and printed to standard output.
  bool HelpShown = false;
  /// Arguments that are not options.
  std::vector<std::string> Rest;
};

/// Reads the arguments of the command Name. InvalidInput names a wrong one.
Result<ReadOptions> readOptions(const std::string &Name,
                                const std::vector<std::string> &Args,
                                const std::vector<OptionSpec> &Specs);

} // namespace teaselhitch

#endif
