#ifndef TEASELHITCH_STANDIN_COMMANDLINE_H
#define TEASELHITCH_STANDIN_COMMANDLINE_H

/// \file
/// Options of the sub-commands, parsed with popt.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Result.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhitch::standin {

constexpr int ExitDone = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

/// The options of one sub-command. Variables keep their value unless the
/// option is given. `--help` prints the options and ends the process.
class CommandLine {
public:
  /// \param Name the sub-command as it is called.
  explicit CommandLine(std::string Name) : Name(std::move(Name)) {}

  void add(const char *Option, std::string &Variable, const char *Help,
           const char *Argument);
  void add(const char *Option, long &Variable, const char *Help);
  void add(const char *Option, double &Variable, const char *Help);

  /// Parses the arguments after the name of the sub-command. InvalidInput for
  /// an unknown option, a bad value or an extra argument.
  Result<void> parse(int Argc, const char **Argv);

private:
  struct TextOption {
    char *Given;
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
  /// A deque, because popt keeps pointers to Given.
  std::deque<TextOption> Texts;
};

/// Prints an error on standard error. Returns ExitUsage for InvalidInput,
/// ExitFailed for other errors.
int reportError(const Error &E);

/// Parses "address:port".
Result<Endpoint> parseEndpoint(std::string_view Text);

/// The parts of a list with commas; empty parts are left out.
std::vector<std::string> splitList(std::string_view Text, char Separator = ',');

} // namespace teaselhitch::standin

#endif
