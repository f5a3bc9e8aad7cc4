#include "ConfigCommands.h"

#include "teaselhitch/Config/Check.h"
#include "teaselhitch/Config/Text.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <fstream>
#include <ostream>
#include <random>
#include <sstream>
#include <thread>

namespace teaselhitch {

namespace {

namespace json = boost::json;

constexpr const char *Usage =
    "usage:\n"
    "  teaselhitch config check [--json] FILE...\n"
    "  teaselhitch config publish --platform ADDRESS:PORT --who NAME\n"
    "      --message TEXT [--base VERSION] [--json] FILE...\n"
    "  teaselhitch config show --platform ADDRESS:PORT [--version VERSION]\n"
    "      [--json]\n"
    "  teaselhitch config diff --platform ADDRESS:PORT [--version VERSION]\n"
    "      [--json] FILE...\n"
    "  teaselhitch config history --platform ADDRESS:PORT\n"
    "      [--version VERSION | --limit COUNT] [--json]\n";

std::string utcTime(std::uint64_t TimeMs) {
  std::time_t Seconds = static_cast<std::time_t>(TimeMs / 1000);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return Text.data();
}

/// Describes a publication in one line, e.g.
/// "version 3 by mai at 2026-01-01T00:00:00Z: more workers".
std::string describe(const PublishedHead &Head) {
  std::string Line = "version " + std::to_string(Head.Version) + " by " +
                     Head.Author + " at " + utcTime(Head.TimeMs) + ": " +
                     Head.Message;
  // Replaces control characters: the author and the message are entered by
  // operators and must not break the line or control the terminal.
  std::replace_if(
      Line.begin(), Line.end(),
      [](char C) { return static_cast<unsigned char>(C) < 0x20 || C == 0x7f; },
      ' ');
  return Line;
}

json::value toJson(const PublishedHead &Head) {
  return json::parse(toJsonText(Head));
}

json::array toJson(const std::vector<Difference> &Differences) {
  json::array Array;
  for (const Difference &D : Differences)
    Array.push_back(json::object{{"kind", D.Kind},
                                 {"name", D.Name},
                                 {"change", changeKindName(D.Change)},
                                 {"field", D.Field},
                                 {"before", D.Before},
                                 {"after", D.After}});
  return Array;
}

json::array toJson(const std::vector<Diagnostic> &Faults) {
  json::array Array;
  for (const Diagnostic &D : Faults)
    Array.push_back(json::object{{"file", D.File},
                                 {"line", D.Line},
                                 {"column", D.Column},
                                 {"message", D.Message}});
  return Array;
}

/// Runs one `config` command with its options.
class ConfigCommand {
public:
  ConfigCommand(const ConfigOptions &Options, const ConfigEnvironment &Env)
      : Options(Options), Env(Env) {}

  Result<int> run() {
    if (Options.Command == "check")
      return check();
    Result<ConfigStores> Opened = Env.OpenStores(Options.Platform);
    if (!Opened)
      return Opened.error();
    Stores = std::move(*Opened);
    if (Options.Command == "publish")
      return publish();
    if (Options.Command == "show")
      return show();
    if (Options.Command == "diff")
      return diff();
    return history();
  }

private:
  void print(const json::value &V) { Env.Out << json::serialize(V) << "\n"; }

  Result<CheckedSet> readFiles() {
    std::vector<SourceFile> Files;
    for (const std::string &Path : Options.Files) {
      Result<std::string> Text = Env.ReadFile(Path);
      if (!Text)
        return Text.error();
      Files.push_back({Path, std::move(*Text)});
    }
    return checkObjects(Files, {Env.Detectors});
  }

  /// Prints the errors of an invalid set of objects.
  int reportFaults(const CheckedSet &Checked) {
    if (Options.Json)
      print(json::object{{"status", "invalid"},
                         {"faults", toJson(Checked.Diagnostics)}});
    for (const Diagnostic &Fault : Checked.Diagnostics)
      if (!Options.Json)
        Env.Err << toString(Fault) << "\n";
    return ExitBadInput;
  }

  Result<int> check() {
    Result<CheckedSet> Checked = readFiles();
    if (!Checked)
      return Checked.error();
    if (!Checked->isValid())
      return reportFaults(*Checked);
    const ObjectSet &Set = Checked->Objects;
    if (Options.Json)
      print(json::object{{"status", "valid"},
                         {"services", Set.Services.size()},
                         {"groups", Set.Groups.size()},
                         {"rules", Set.Rules.size()},
                         {"organisations", Set.Organisations.size()},
                         {"limits", Set.Limits.size()}});
    else
      Env.Out << "valid: services " << Set.Services.size() << ", groups "
              << Set.Groups.size() << ", rules " << Set.Rules.size()
              << ", organisations " << Set.Organisations.size() << ", limits "
              << Set.Limits.size() << "\n";
    return ExitSuccess;
  }

  Result<int> publish() {
    Result<CheckedSet> Checked = readFiles();
    if (!Checked)
      return Checked.error();
    if (!Checked->isValid())
      return reportFaults(*Checked);
    ConfigPublisher Publisher(*Stores.Table, *Stores.Objects, Env.Sleep);
    PublishOutcome Outcome =
        Publisher.publish(Checked->Objects, {Options.Author, Options.Message,
                                             Env.GeneratePublishId(),
                                             Env.WallClockMs(), Options.Base});
    if (Options.Json)
      printJson(Outcome);
    else
      printText(Outcome);
    return exitCode(Outcome.Status);
  }

  static int exitCode(PublishStatus Status) {
    switch (Status) {
    case PublishStatus::Published:
    case PublishStatus::Unchanged:
      return ExitSuccess;
    case PublishStatus::UnknownBase:
    case PublishStatus::InvalidRequest:
      return ExitBadInput;
    case PublishStatus::StoreUnavailable:
      return ExitUnreachable;
    case PublishStatus::LostRace:
    case PublishStatus::StoreFault:
      break;
    }
    return ExitFailure;
  }

  void printJson(const PublishOutcome &Outcome) {
    json::object Root{{"status", publishStatusName(Outcome.Status)}};
    if (Outcome.Head.Version != 0)
      Root["head"] = toJson(Outcome.Head);
    if (Outcome.Status == PublishStatus::Published) {
      Root["history_written"] = Outcome.HistoryWritten;
      Root["pieces_written"] = Outcome.PiecesWritten;
      Root["bytes_written"] = Outcome.BytesWritten;
    }
    if (Outcome.Status == PublishStatus::LostRace) {
      Root["differences_known"] = Outcome.DifferencesKnown;
      Root["differences"] = toJson(Outcome.BaseToWinner);
    }
    if (!Outcome.Detail.empty()) {
      Root["detail"] = Outcome.Detail;
      Root["may_have_taken_effect"] = Outcome.MayHaveTakenEffect;
    }
    print(Root);
  }

  void printText(const PublishOutcome &Outcome) {
    switch (Outcome.Status) {
    case PublishStatus::Published:
      Env.Out << "published " << describe(Outcome.Head) << "\n"
              << Outcome.PiecesWritten << " pieces, " << Outcome.BytesWritten
              << " bytes\n";
      if (!Outcome.HistoryWritten)
        Env.Err << "the history row was not written; the next publication adds "
                   "it\n";
      return;
    case PublishStatus::Unchanged:
      Env.Out << "unchanged, the same set is published as "
              << describe(Outcome.Head) << "\n";
      return;
    case PublishStatus::LostRace:
      Env.Err << "not published, another publication came first: "
              << describe(Outcome.Head) << "\n";
      for (const Difference &D : Outcome.BaseToWinner)
        Env.Err << toString(D) << "\n";
      if (!Outcome.DifferencesKnown)
        Env.Err << "the differences from the base could not be read\n";
      return;
    case PublishStatus::UnknownBase:
      Env.Err << "not published, the base is newer than the published version "
              << Outcome.Head.Version << "\n";
      return;
    case PublishStatus::InvalidRequest:
    case PublishStatus::StoreUnavailable:
    case PublishStatus::StoreFault:
      break;
    }
    Env.Err << (Outcome.MayHaveTakenEffect
                    ? "the publication may have taken effect, publish again "
                      "to find out: "
                    : "not published: ")
            << Outcome.Detail << "\n";
  }

  /// Reads the publication that --version selects or, without --version, the
  /// head. The result has version 0 if nothing is published.
  Result<PublishedHead> readSelectedHead() {
    if (Options.Version)
      return readPublication(*Stores.Table, *Options.Version);
    Result<std::optional<HeadRow>> Head = readHead(*Stores.Table);
    if (!Head)
      return Head.error();
    return *Head ? (*Head)->Head : PublishedHead();
  }

  Result<int> show() {
    Result<PublishedHead> Head = readSelectedHead();
    if (!Head)
      return Head.error();
    if (Head->Version == 0)
      return makeError(ErrorCode::NotFound, "nothing is published");
    Result<ObjectSet> Set =
        PublishedSetReader(*Stores.Objects).read(Head->Manifest);
    if (!Set)
      return Set.error();
    if (Options.Json) {
      print(json::object{{"head", toJson(*Head)},
                         {"objects", json::parse(toJsonText(*Set))}});
      return ExitSuccess;
    }
    Env.Out << "# " << describe(*Head) << "\n\n" << toToml(*Set);
    return ExitSuccess;
  }

  Result<int> diff() {
    Result<CheckedSet> Checked = readFiles();
    if (!Checked)
      return Checked.error();
    if (!Checked->isValid())
      return reportFaults(*Checked);
    Result<PublishedHead> Head = readSelectedHead();
    if (!Head)
      return Head.error();
    Result<ObjectSet> Set =
        PublishedSetReader(*Stores.Objects).read(Head->Manifest);
    if (!Set)
      return Set.error();
    std::vector<Difference> Differences = diffObjects(*Set, Checked->Objects);
    if (Options.Json)
      print(json::object{{"version", Head->Version},
                         {"differences", toJson(Differences)}});
    for (const Difference &D : Differences)
      if (!Options.Json)
        Env.Out << toString(D) << "\n";
    return ExitSuccess;
  }

  Result<int> history() {
    std::vector<PublishedHead> Publications;
    if (Options.Version) {
      Result<PublishedHead> Head = readSelectedHead();
      if (!Head)
        return Head.error();
      Publications.push_back(std::move(*Head));
    } else {
      Result<std::vector<PublishedHead>> Newest =
          readHistory(*Stores.Table, static_cast<unsigned>(Options.Limit));
      if (!Newest)
        return Newest.error();
      Publications = std::move(*Newest);
    }
    json::array Array;
    for (const PublishedHead &Head : Publications) {
      if (Options.Json)
        Array.push_back(toJson(Head));
      else
        Env.Out << describe(Head) << "\n";
    }
    if (Options.Json)
      print(Array);
    return ExitSuccess;
  }

  const ConfigOptions &Options;
  const ConfigEnvironment &Env;
  ConfigStores Stores;
};

int exitCode(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidInput:
    return ExitBadInput;
  case ErrorCode::Unavailable:
  case ErrorCode::Timeout:
    return ExitUnreachable;
  default:
    return ExitFailure;
  }
}

std::string randomId() {
  constexpr int Words = 4;
  std::random_device Device;
  std::ostringstream Text;
  Text << std::hex;
  for (int I = 0; I != Words; ++I) {
    Text.width(8);
    Text.fill('0');
    Text << static_cast<std::uint32_t>(Device());
  }
  return Text.str();
}

Result<std::string> readTextFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  if (!In || !(Text << In.rdbuf()).flush() || In.bad())
    return makeError(ErrorCode::InvalidInput, "cannot read '" + Path + "'");
  return Text.str();
}

} // namespace

ConfigEnvironment systemConfigEnvironment(
    std::ostream &Out, std::ostream &Err,
    std::function<Result<ConfigStores>(const std::string &)> OpenStores) {
  return {Out,
          Err,
          std::move(OpenStores),
          readTextFile,
          [] { return static_cast<std::uint64_t>(wallClockMs()); },
          randomId,
          [](Duration D) {
            std::this_thread::sleep_for(
                std::chrono::duration<double, std::milli>(D.ms()));
          },
          {}};
}

int runConfigCommand(const ConfigOptions &Options,
                     const ConfigEnvironment &Environment) {
  if (Options.Help) {
    Environment.Out << Usage;
    return ExitSuccess;
  }
  return handleError([&] { return ConfigCommand(Options, Environment).run(); },
                     [&](const Error &E) {
                       if (Options.Json)
                         Environment.Out << json::serialize(json::object{
                                                {"status", "error"},
                                                {"code", errorCodeName(E.Code)},
                                                {"message", E.Message}})
                                         << "\n";
                       else
                         Environment.Err << "error: " << E.Message << "\n";
                       return exitCode(E.Code);
                     });
}

int runConfig(const std::vector<std::string> &Args,
              const ConfigEnvironment &Environment) {
  return handleError(
      [&]() -> Result<int> {
        Result<ConfigOptions> Options = parseConfigOptions(Args);
        if (!Options)
          return Options.error();
        return runConfigCommand(*Options, Environment);
      },
      [&](const Error &E) -> int {
        Environment.Err << "error: " << E.Message << "\n" << Usage;
        return ExitBadInput;
      });
}

} // namespace teaselhitch
