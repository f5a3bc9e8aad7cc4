#include "NodeCommand.h"

#include "ConfigCommands.h"
#include "Options.h"
#include "teaselhitch/Node/Node.h"
#include "teaselhitch/Routing/Balancer.h"
#include "teaselhitch/Support/Log.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

namespace teaselhitch {

namespace {

/// Environment variable that holds the path of the settings file if the command
/// line has no --settings.
constexpr const char *SettingsVariable = "TEASELHITCH_CONFIG";

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return std::nullopt;
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

CheckedSettings checkSettings(const std::string &Text) {
  CheckedSettings Checked = readNodeSettings(Text);
  if (Checked.Errors.empty() &&
      !BalancerRegistry::has(Checked.Settings.Balancer))
    Checked.Errors.push_back(
        SettingsError{0, "policy.balancer",
                      "unknown balancer '" + Checked.Settings.Balancer + "'"});
  return Checked;
}

/// The settings file of a running node, which is read again on each check for
/// changes.
class SettingsFile final : public SettingsSource {
public:
  SettingsFile(std::string Path, std::string Text)
      : Path(std::move(Path)), LastText(std::move(Text)) {}

  Result<std::optional<NodeSettings>> pollChanges() override {
    std::optional<std::string> Text = readFile(Path);
    if (!Text)
      return makeError(ErrorCode::Unavailable, Path + ": cannot be read");
    if (*Text == LastText)
      return std::optional<NodeSettings>();
    LastText = *Text;
    CheckedSettings Checked = checkSettings(*Text);
    if (!Checked.Errors.empty())
      return makeError(ErrorCode::InvalidInput,
                       formatSettingsError(Path, Checked.Errors.front()));
    for (const SettingsError &Warning : Checked.Warnings)
      logEvent(LogLevel::Warning, "node", "setting-limited",
               {{"key", Warning.Key}, {"cause", Warning.Message}});
    return std::optional<NodeSettings>(std::move(Checked.Settings));
  }

private:
  std::string Path;
  /// Content at the last read, valid or not: the errors of an invalid file are
  /// reported once.
  std::string LastText;
};

/// Reads the settings file and stores its content in \p Text. Prints errors and
/// warnings. Returns nullopt if the file cannot be read or is invalid.
std::optional<NodeSettings> loadSettings(const std::string &Path,
                                         std::optional<std::string> &Text) {
  Text = readFile(Path);
  if (!Text) {
    std::cerr << Path << ": cannot be read\n";
    return std::nullopt;
  }
  CheckedSettings Checked = checkSettings(*Text);
  for (const SettingsError &Fault : Checked.Errors)
    std::cerr << formatSettingsError(Path, Fault) << '\n';
  for (const SettingsError &Warning : Checked.Warnings)
    std::cerr << "warning: " << formatSettingsError(Path, Warning) << '\n';
  if (!Checked.Errors.empty())
    return std::nullopt;
  return Checked.Settings;
}

/// How long the threads of a node may take to end after the drain. With the
/// time for the last responses, it stays below the second that
/// `limits.stop_time_s` reserves for the exit.
constexpr std::chrono::milliseconds ExitTime(400);

/// Ends the process after ExitTime, also if a thread still waits for an answer
/// of the platform. The requests have ended by then.
void limitExitTime(bool IsGraceful) {
  std::thread([IsGraceful] {
    std::this_thread::sleep_for(ExitTime);
    std::quick_exit(IsGraceful ? ExitSuccess : ExitFailure);
  }).detach();
}

[[noreturn]] void runNode(const NodeSettings &Settings,
                          std::unique_ptr<SettingsSource> Source) {
  configureLogging(Settings.Level, Settings.LogPath);
  int Code = handleError(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(Created, Node::create(Settings, std::move(Source)));
        Created->onEnd(limitExitTime);
        return Created->run() ? ExitSuccess : ExitFailure;
      },
      [](const Error &E) {
        std::cerr << "teaselhitch node: " << E.Message << '\n';
        return static_cast<int>(ExitFailure);
      });
  shutdownLogging();
  // Skips the destructors of static objects: the destructor of the logging
  // library's thread pool can block for seconds, and a process that has not
  // exited a few seconds after the start of a planned shutdown is killed.
  std::cout.flush();
  std::quick_exit(Code);
}

} // namespace

int runNodeCommand(const std::vector<std::string> &Args) {
  std::string Path;
  bool CheckOnly = false;
  std::string ErrorText;
  ParsedOptions Parsed = handleError(
      [&] {
        return parseOptions("teaselhitch node", Args,
                            {{"settings", "file with the settings of the node",
                              "FILE", &Path, nullptr},
                             {"check", "check the settings and exit", nullptr,
                              nullptr, &CheckOnly}});
      },
      [&](const Error &E) {
        ErrorText = E.Message;
        return ParsedOptions();
      });
  if (Parsed.HelpShown)
    return ExitSuccess;
  if (ErrorText.empty() && !Parsed.PositionalArgs.empty())
    ErrorText = "unexpected argument '" + Parsed.PositionalArgs.front() + "'";
  if (ErrorText.empty() && Path.empty())
    if (const char *EnvironmentPath = std::getenv(SettingsVariable))
      Path = EnvironmentPath;
  if (ErrorText.empty() && Path.empty())
    ErrorText = std::string("--settings FILE is missing and ") +
                SettingsVariable + " is not set";
  if (!ErrorText.empty()) {
    std::cerr << "teaselhitch node: " << ErrorText << '\n';
    return ExitBadInput;
  }
  std::optional<std::string> Text;
  std::optional<NodeSettings> Settings = loadSettings(Path, Text);
  if (!Settings)
    return ExitBadInput;
  if (CheckOnly)
    return ExitSuccess;
  runNode(*Settings, std::make_unique<SettingsFile>(Path, *Text));
}

} // namespace teaselhitch
