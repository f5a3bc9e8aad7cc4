#ifndef TEASELHITCH_STANDIN_COMMANDLINE_H
#define TEASELHITCH_STANDIN_COMMANDLINE_H

/// \file
/// Command-line options of the subcommands, parsed with popt.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Result.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhitch::standin {

constexpr int ExitSuccess = 0;
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

/// The options of one subcommand. A variable keeps its initial value if its
/// option is not given. `--help` prints the options and terminates the process.
class CommandLine {
public:
  /// \param Name the program and subcommand, as shown by `--help`.
  explicit CommandLine(std::string Name) : Name(std::move(Name)) {}

  void add(const char *Option, std::string &Variable, const char *Help,
           const char *Argument);
  void add(const char *Option, long &Variable, const char *Help);
  void add(const char *Option, double &Variable, const char *Help);

  /// Parses the arguments. Argv[0] is the name of the subcommand. Fails with
  /// InvalidInput for an unknown option, an invalid value or an extra argument.
  Result<void> parse(int Argc, const char **Argv);

private:
  struct StringOption {
    char *Value;
    std::string *Variable;
  };
  struct Option {
    const char *Name;
    unsigned Type;
    void *Target;
    const char *Help;
    const char *Argument;
  };

  std::string Name;
  std::vector<Option> Options;
  /// A deque keeps its elements in place; popt holds pointers to Value.
  std::deque<StringOption> StringOptions;
};

/// Prints an error to standard error. Returns ExitUsage for InvalidInput and
/// ExitFailure for other errors.
int reportError(const Error &E);

/// Parses "address:port".
Result<Endpoint> parseEndpoint(std::string_view Text);

/// Splits a list at the separators. Empty elements are omitted.
std::vector<std::string> splitList(std::string_view Text, char Separator = ',');

} // namespace teaselhitch::standin

#endif
