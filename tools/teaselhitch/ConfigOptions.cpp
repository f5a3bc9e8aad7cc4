#include "ConfigCommands.h"

#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace teaselhitch {

namespace {

constexpr std::size_t MaxAuthorBytes = 128;
constexpr std::size_t MaxMessageBytes = 1000;
constexpr long long MaxHistoryLimit = 10'000;

/// The variables that popt writes the values of the options to.
struct RawOptions {
  char *Platform = nullptr;
  char *Author = nullptr;
  char *Message = nullptr;
  long long Base = 0;
  long long Version = 0;
  long long Limit = 0;
  int Json = 0;
  int Help = 0;

  ~RawOptions() {
    for (char *Text : {Platform, Author, Message})
      std::free(Text);
  }
  RawOptions() = default;
  RawOptions(const RawOptions &) = delete;
  RawOptions &operator=(const RawOptions &) = delete;
};

/// Values that popt returns for the numeric options. They distinguish an absent
/// option from one with the value 0.
enum OptionCode : int { BaseOption = 1, VersionOption, LimitOption };

std::vector<poptOption> optionTable(const std::string &Command,
                                    RawOptions &Raw) {
  std::vector<poptOption> Table;
  auto Add = [&](const char *Name, unsigned Type, void *Target, int Code) {
    Table.push_back({Name, '\0', Type, Target, Code, nullptr, nullptr});
  };
  Add("json", POPT_ARG_NONE, &Raw.Json, 0);
  Add("help", POPT_ARG_NONE, &Raw.Help, 0);
  if (Command != "check")
    Add("platform", POPT_ARG_STRING, &Raw.Platform, 0);
  if (Command == "publish") {
    Add("who", POPT_ARG_STRING, &Raw.Author, 0);
    Add("message", POPT_ARG_STRING, &Raw.Message, 0);
    Add("base", POPT_ARG_LONGLONG, &Raw.Base, BaseOption);
  } else if (Command != "check") {
    Add("version", POPT_ARG_LONGLONG, &Raw.Version, VersionOption);
  }
  if (Command == "history")
    Add("limit", POPT_ARG_LONGLONG, &Raw.Limit, LimitOption);
  Table.push_back(POPT_TABLEEND);
  return Table;
}

/// Copies the value of the numeric option \p Code to \p Options. Returns an
/// error message if the value is out of range, else an empty string.
std::string storeNumber(int Code, const RawOptions &Raw,
                        ConfigOptions &Options) {
  if (Code == BaseOption) {
    Options.Base = static_cast<std::uint64_t>(Raw.Base);
    return Raw.Base >= 0 ? "" : "--base must not be negative";
  }
  if (Code == VersionOption) {
    Options.Version = static_cast<std::uint64_t>(Raw.Version);
    return Raw.Version >= 1 ? "" : "--version must be at least 1";
  }
  Options.Limit = static_cast<std::uint64_t>(Raw.Limit);
  return Raw.Limit >= 1 && Raw.Limit <= MaxHistoryLimit
             ? ""
             : "--limit must be from 1 to " + std::to_string(MaxHistoryLimit);
}

/// Parses the arguments with popt. Returns an error message, or an empty string
/// on success.
std::string parseWithPopt(const std::vector<std::string> &Args,
                          ConfigOptions &Options) {
  std::vector<const char *> Argv = {"teaselhitch config"};
  for (const std::string &Arg : Args)
    Argv.push_back(Arg.c_str());
  Argv.push_back(nullptr);
  RawOptions Raw;
  std::vector<poptOption> Table = optionTable(Options.Command, Raw);
  std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> Context(
      poptGetContext(nullptr, static_cast<int>(Argv.size()) - 1, Argv.data(),
                     Table.data(), 0),
      poptFreeContext);
  int Code = 0;
  while ((Code = poptGetNextOpt(Context.get())) > 0)
    if (std::string ErrorText = storeNumber(Code, Raw, Options);
        !ErrorText.empty())
      return ErrorText;
  if (Code < -1)
    return std::string(poptBadOption(Context.get(), POPT_BADOPTION_NOALIAS)) +
           ": " + poptStrerror(Code);
  // Skips the first positional argument, which is the command.
  poptGetArg(Context.get());
  while (const char *File = poptGetArg(Context.get()))
    Options.Files.emplace_back(File);
  auto Text = [](const char *T) { return std::string(T ? T : ""); };
  Options.Platform = Text(Raw.Platform);
  Options.Author = Text(Raw.Author);
  Options.Message = Text(Raw.Message);
  Options.Json = Raw.Json != 0;
  Options.Help = Raw.Help != 0;
  return "";
}

/// Returns an error message if a required option or file is missing, a file is
/// not accepted or a text is too long, else an empty string.
std::string validateOptions(const ConfigOptions &Options) {
  const std::string &Command = Options.Command;
  bool TakesFiles =
      Command == "check" || Command == "publish" || Command == "diff";
  if (TakesFiles && Options.Files.empty())
    return "config " + Command + " needs at least one file";
  if (!TakesFiles && !Options.Files.empty())
    return "config " + Command + " accepts no files, got '" + Options.Files[0] +
           "'";
  if (Command != "check" && Options.Platform.empty())
    return "config " + Command + " needs --platform ADDRESS:PORT";
  if (Command != "publish")
    return "";
  if (Options.Author.empty() || Options.Author.size() > MaxAuthorBytes)
    return "config publish needs --who with 1 to " +
           std::to_string(MaxAuthorBytes) + " bytes";
  if (Options.Message.empty() || Options.Message.size() > MaxMessageBytes)
    return "config publish needs --message with 1 to " +
           std::to_string(MaxMessageBytes) + " bytes";
  return "";
}

} // namespace

Result<ConfigOptions> parseConfigOptions(const std::vector<std::string> &Args) {
  ConfigOptions Options;
  if (!Args.empty())
    Options.Command = Args[0];
  if (Options.Command == "--help") {
    Options.Help = true;
    return Options;
  }
  constexpr std::array Commands = {"check", "publish", "show", "diff",
                                   "history"};
  if (std::find(Commands.begin(), Commands.end(), Options.Command) ==
      Commands.end())
    return makeError(ErrorCode::InvalidInput,
                     "unknown command 'config " + Options.Command +
                         "', known: check, publish, show, diff, history");
  std::string ErrorText = parseWithPopt(Args, Options);
  if (ErrorText.empty() && !Options.Help)
    ErrorText = validateOptions(Options);
  if (!ErrorText.empty())
    return makeError(ErrorCode::InvalidInput, std::move(ErrorText));
  return Options;
}

} // namespace teaselhitch
