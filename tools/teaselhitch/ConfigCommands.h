#ifndef TEASELHITCH_TOOLS_CONFIGCOMMANDS_H
#define TEASELHITCH_TOOLS_CONFIGCOMMANDS_H

/// \file
/// The commands `teaselhitch config check|publish|show|diff|history`.

#include "teaselhitch/Config/Publisher.h"

#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teaselhitch {

/// Exit codes of all commands of the program.
enum ExitCode : int {
  ExitSuccess = 0,
  /// The operation was refused or failed.
  ExitFailure = 1,
  /// Invalid options, unreadable files or invalid objects.
  ExitBadInput = 2,
  /// The platform or the node cannot be reached.
  ExitUnreachable = 3,
};

/// The stores of the platform that the commands use.
struct ConfigStores {
  std::shared_ptr<TableStore> Table;
  std::shared_ptr<ObjectStore> Objects;
};

/// The operating system facilities and settings that the commands use. Tests
/// replace them.
struct ConfigEnvironment {
  std::ostream &Out;
  std::ostream &Err;
  /// Opens the stores of the platform at "address:port".
  std::function<Result<ConfigStores>(const std::string &Platform)> OpenStores;
  /// Returns the content of a file.
  std::function<Result<std::string>(const std::string &Path)> ReadFile;
  /// Returns the wall clock time in milliseconds since the Unix epoch.
  std::function<std::uint64_t()> WallClockMs;
  /// Returns a new unique id for a publication.
  std::function<std::string()> GeneratePublishId;
  /// Blocks for the given duration between two tries of a store operation.
  std::function<void(Duration)> Sleep;
  /// Names of the available detector plug-ins. If empty, every valid name is
  /// accepted.
  std::vector<std::string> Detectors;
};

/// Returns an environment that uses the files, the clock and the random number
/// source of the operating system.
ConfigEnvironment systemConfigEnvironment(
    std::ostream &Out, std::ostream &Err,
    std::function<Result<ConfigStores>(const std::string &)> OpenStores);

/// Options of all `config` commands. Each command accepts only the options that
/// it uses.
struct ConfigOptions {
  /// One of check, publish, show, diff and history.
  std::string Command;
  std::string Platform;
  /// The author of a publication, from --who.
  std::string Author;
  std::string Message;
  std::optional<std::uint64_t> Base;
  std::optional<std::uint64_t> Version;
  /// Maximum number of versions that the history command prints.
  std::uint64_t Limit = 20;
  bool Json = false;
  bool Help = false;
  std::vector<std::string> Files;
};

/// Parses the arguments after `teaselhitch config`. Fails with InvalidInput
/// that names the invalid or missing argument.
Result<ConfigOptions> parseConfigOptions(const std::vector<std::string> &Args);

/// Runs a `config` command and returns its exit code.
int runConfigCommand(const ConfigOptions &Options,
                     const ConfigEnvironment &Environment);

/// Parses the arguments after `teaselhitch config`, runs the command and
/// returns its exit code.
int runConfig(const std::vector<std::string> &Args,
              const ConfigEnvironment &Environment);

} // namespace teaselhitch

#endif
