#ifndef TEASELHITCH_TOOLS_OPTIONS_H
#define TEASELHITCH_TOOLS_OPTIONS_H

/// \file
/// Parses command-line options with popt.

#include "teaselhitch/Support/Result.h"

#include <string>
#include <vector>

namespace teaselhitch {

/// An option that takes an argument, or a flag.
struct OptionSpec {
  const char *Name;
  const char *Help;
  /// Name of the argument in the help text. Null for a flag.
  const char *ArgumentName;
  /// Receives the argument. Null for a flag.
  std::string *Value;
  /// Set to true if the flag is given. Null for an option with an argument.
  bool *Flag;
};

/// The result of parsing, besides the values stored through OptionSpec.
struct ParsedOptions {
  /// Whether --help was given and the help text was printed to standard output.
  bool HelpShown = false;
  /// Arguments that are not options.
  std::vector<std::string> PositionalArgs;
};

/// Parses the arguments of the command \p Name. Fails with InvalidInput that
/// names the invalid argument.
Result<ParsedOptions> parseOptions(const std::string &Name,
                                   const std::vector<std::string> &Args,
                                   const std::vector<OptionSpec> &Specs);

} // namespace teaselhitch

#endif
