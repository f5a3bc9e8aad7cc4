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

/// Exit codes of the commands.
enum ExitCode : int {
  ExitDone = 0,
  /// Refused or failed.
  ExitRefused = 1,
  /// Wrong options, unreadable files or faults in the objects.
  ExitBadInput = 2,
  /// The platform cannot be reached.
  ExitUnreachable = 3,
};

/// The platform as a command uses it.
struct ConfigStores {
  std::shared_ptr<TableStore> Table;
  std::shared_ptr<ObjectStore> Objects;
};

/// What the commands need from the process.
struct ConfigEnvironment {
  std::ostream &Out;
  std::ostream &Err;
  /// Opens the stores at "address:port".
  std::function<Result<ConfigStores>(const std::string &Platform)> OpenStores;
  /// The text of a file.
  std::function<Result<std::string>(const std::string &Path)> ReadFile;
  /// Milliseconds since the Unix epoch.
  std::function<std::uint64_t()> WallClockMs;
  /// A new unique id.
  std::function<std::string()> NewPublishId;
  /// Waits between tries.
  std::function<void(Duration)> Pause;
  /// Names of the detector plug-ins; empty accepts every valid name.
  std::vector<std::string> Detectors;
};

/// An environment with the files, the clock and the random source of the
/// operating system.
ConfigEnvironment systemConfigEnvironment(
    std::ostream &Out, std::ostream &Err,
    std::function<Result<ConfigStores>(const std::string &)> OpenStores);

/// Options of all commands; each command accepts those that it uses.
struct ConfigOptions {
  /// check, publish, show, diff or history.
  std::string Command;
  std::string Platform;
  std::string Who;
  std::string Message;
  std::optional<std::uint64_t> Base;
  std::optional<std::uint64_t> Version;
  /// Longest list of versions.
  std::uint64_t Limit = 20;
  bool Json = false;
  bool Help = false;
  std::vector<std::string> Files;
};

/// Reads the arguments after `teaselhitch config`. InvalidInput names the
/// wrong one.
Result<ConfigOptions> parseConfigOptions(const std::vector<std::string> &Args);

/// Runs a command and returns its exit code.
int runConfigCommand(const ConfigOptions &Options,
                     const ConfigEnvironment &Environment);

/// Parses the arguments after `teaselhitch config`, runs the command and
/// returns its exit code.
int runConfig(const std::vector<std::string> &Args,
              const ConfigEnvironment &Environment);

} // namespace teaselhitch

#endif
