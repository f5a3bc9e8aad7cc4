#include "teaselhitch/Config/Check.h"

#include "TomlReader.h"

#include <algorithm>

namespace teaselhitch {

namespace {

using detail::Located;
using detail::TomlReader;
using Presence = TomlReader::Presence;

/// Maximum number of backend servers of one service or group.
constexpr std::int64_t MaxBackendServers = 100'000;
constexpr std::int64_t MaxShare = 10'000;
constexpr std::int64_t MaxQueuePerSlot = 1'000;
/// Nodes transfer a body in one frame of at most 72 MiB.
constexpr std::int64_t MaxBodyBytes = 64LL * 1024 * 1024;
/// A node that shuts down waits 30 s for its requests, so a longer request
/// could be interrupted by a planned shutdown.
constexpr std::int64_t MaxDeadlineMs = 30'000;
constexpr std::size_t MaxPathBytes = 1024;
constexpr std::size_t MaxHostBytes = 253;
constexpr std::int64_t MaxAttempts = 16;
constexpr std::int64_t MaxPriority = 100;
/// Greater than any valid priority.
constexpr std::uint32_t UnsetPriority = MaxPriority + 1;
/// Range of the timeouts of a listener.
constexpr std::int64_t MinListenerTimeoutMs = 100;
constexpr std::int64_t MaxListenerTimeoutMs = 3'600'000;
constexpr std::int64_t MinHeaderBytes = 1024;
constexpr std::int64_t MaxHeaderBytes = 1024LL * 1024;
constexpr std::size_t MaxLabelBytes = 128;

const std::vector<std::string> Methods = {"GET",    "HEAD",  "POST",   "PUT",
                                          "DELETE", "PATCH", "OPTIONS"};

// The validators below return an empty string for a valid value, or else the
// part of the error message that states the requirement.

std::string labelError(const std::string &Text) {
  bool Printable = std::all_of(Text.begin(), Text.end(), [](char C) {
    return static_cast<unsigned char>(C) >= 0x20 && C != 0x7f;
  });
  if (Text.size() <= MaxLabelBytes && Printable)
    return "";
  return "must have at most " + std::to_string(MaxLabelBytes) +
         " bytes and no control characters";
}

bool isPathChar(char C) {
  return C > 0x20 && C < 0x7f && C != '?' && C != '#' && C != '\\' && C != '"';
}

/// True if a segment between slashes is empty, "." or "..".
bool hasInvalidSegment(const std::string &Path) {
  std::size_t First = 1;
  while (First <= Path.size()) {
    std::size_t Last = std::min(Path.find('/', First), Path.size());
    std::string Segment = Path.substr(First, Last - First);
    if (Segment.empty() || Segment == "." || Segment == "..")
      return true;
    First = Last + 1;
  }
  return false;
}

std::string pathError(const std::string &Text) {
  if (Text.empty() || Text[0] != '/')
    return "must start with '/'";
  if (Text.size() > MaxPathBytes)
    return "must have at most " + std::to_string(MaxPathBytes) + " bytes";
  if (!std::all_of(Text.begin(), Text.end(), isPathChar))
    return "must be visible ASCII without ? # \\ \"";
  // Each prefix has one spelling only, so that string comparison finds
  // duplicate prefixes.
  if (Text.size() > 1 && hasInvalidSegment(Text))
    return "must have no empty, '.' or '..' segment and no '/' at the end";
  return "";
}

std::string hostError(const std::string &Text) {
  bool Valid = std::all_of(Text.begin(), Text.end(), [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '.' ||
           C == '-';
  });
  if (Valid && Text.size() <= MaxHostBytes)
    return "";
  return "must be a host name in lower case without a port";
}

/// Validates a path prefix: a path that may have a trailing '/'.
std::string pathPrefixError(const std::string &Text) {
  bool IsDirectory = Text.size() > 1 && Text.back() == '/';
  return pathError(IsDirectory ? Text.substr(0, Text.size() - 1) : Text);
}

void readObject(TomlReader &R, Service &S, const CheckOptions &Options) {
  R.name("name", S.Name);
  R.integer("floor", 1, MaxBackendServers, " backend servers", S.Floor);
  std::vector<std::string> Presets;
  for (DetectionPreset Preset :
       {DetectionPreset::FewFalseEjections, DetectionPreset::Balanced,
        DetectionPreset::FastDetection})
    Presets.emplace_back(detectionPresetName(Preset));
  if (std::optional<std::string> Choice = R.choice("detection", Presets))
    S.Preset = static_cast<DetectionPreset>(
        std::find(Presets.begin(), Presets.end(), *Choice) - Presets.begin());
  if (Options.Detectors.empty())
    R.optionalName("detector", S.Detector);
  else if (std::optional<std::string> Choice =
               R.choice("detector", Options.Detectors))
    S.Detector = *Choice;
  R.checkedString("health_path", Presence::Optional, pathError, S.HealthPath);
  R.boolean("ejections", S.EjectionsEnabled);
}

void readObject(TomlReader &R, Group &G, const CheckOptions &) {
  R.name("name", G.Name);
  R.name("service", G.Service);
  if (auto Names = R.names("failure_domains"))
    for (const std::string &Name : *Names)
      G.Domains.emplace_back(Name);
  std::sort(G.Domains.begin(), G.Domains.end());
  R.checkedString("label", Presence::Optional, labelError, G.Label);
  R.integer("expected_size", 1, MaxBackendServers, " backend servers",
            G.ExpectedSize);
}

void readObject(TomlReader &R, Rule &Out, const CheckOptions &) {
  R.name("name", Out.Name);
  if (std::optional<std::string> Choice = R.choice("method", Methods))
    Out.Method = *Choice;
  R.checkedString("host", Presence::Optional, hostError, Out.Host);
  R.checkedString("path_prefix", Presence::Required, pathPrefixError,
                  Out.PathPrefix);
  R.split("split", Out.Split);
  if (Out.Split.empty())
    R.name("group", Out.Group);
  R.boolean("idempotent", Out.Idempotent);
  R.boolean("paid", Out.Paid);
  R.milliseconds("deadline_ms", 1, MaxDeadlineMs, Out.Deadline);
  R.milliseconds("objective_ms", 1, MaxDeadlineMs, Out.Objective);
  R.integer("attempts", 1, MaxAttempts, "", Out.MaxAttempts);
  R.integer("priority", 0, MaxPriority, "", Out.Priority);
  R.boolean("public", Out.IsPublic);
}

void readObject(TomlReader &R, Organisation &O, const CheckOptions &) {
  R.name("name", O.Name);
  R.integer("share", 1, MaxShare, "", O.Share);
  R.digests("key_digests", O.KeyDigests);
  std::uint32_t Priority = UnsetPriority;
  R.integer("priority", 0, MaxPriority, "", Priority);
  if (Priority != UnsetPriority)
    O.Priority = Priority;
  R.integer("rate_per_s", 0, MaxRate, " requests", O.RatePerS);
  R.integer("burst", 0, MaxRate, " requests", O.Burst);
}

void readObject(TomlReader &R, Limit &L, const CheckOptions &) {
  R.name("name", L.Name);
  R.name("service", L.Service);
  R.integer("queue_per_slot", 0, MaxQueuePerSlot, " requests", L.QueuePerSlot);
  R.integer("max_body_bytes", 0, MaxBodyBytes, " bytes", L.MaxBodyBytes);
  R.integer("retry_percent", 0, 100, " percent", L.RetryPercent);
}

void readObject(TomlReader &R, Listener &L, const CheckOptions &) {
  R.name("name", L.Name);
  R.integer("max_header_bytes", MinHeaderBytes, MaxHeaderBytes, " bytes",
            L.MaxHeaderBytes);
  R.integer("max_body_bytes", 0, MaxBodyBytes, " bytes", L.MaxBodyBytes);
  R.milliseconds("header_timeout_ms", MinListenerTimeoutMs,
                 MaxListenerTimeoutMs, L.HeaderTimeout);
  R.milliseconds("idle_timeout_ms", MinListenerTimeoutMs, MaxListenerTimeoutMs,
                 L.IdleTimeout);
  R.boolean("requires_credentials", L.RequiresCredentials);
}

/// Formats a parser error, whose description starts with "Error while parsing".
std::string syntaxMessage(const toml::parse_error &E) {
  constexpr std::string_view Prefix = "Error ";
  std::string_view Text = E.description();
  if (Text.substr(0, Prefix.size()) == Prefix)
    return "syntax error " + std::string(Text.substr(Prefix.size()));
  return "syntax error: " + std::string(Text);
}

/// Parses the files into a LocatedSet.
class SetReader {
public:
  SetReader(const CheckOptions &Options, std::vector<Diagnostic> &Diagnostics)
      : Options(Options), Diagnostics(Diagnostics) {}

  void readFile(const SourceFile &File) {
    toml::parse_result Parsed =
        toml::parse(std::string_view(File.Text), File.Path);
    if (!Parsed) {
      const toml::parse_error &E = Parsed.error();
      Diagnostics.push_back({File.Path, E.source().begin.line,
                             E.source().begin.column, syntaxMessage(E)});
      Set.Incomplete = true;
      return;
    }
    for (const auto &[Key, Node] : Parsed.table())
      readKind(File.Path, Key, Node);
  }

  const detail::LocatedSet &set() const { return Set; }

private:
  void readKind(const std::string &File, const toml::key &Key,
                const toml::node &Node) {
    if (Key == "service")
      return readObjects("service", File, Node, Set.Services);
    if (Key == "group")
      return readObjects("group", File, Node, Set.Groups);
    if (Key == "rule")
      return readObjects("rule", File, Node, Set.Rules);
    if (Key == "organisation")
      return readObjects("organisation", File, Node, Set.Organisations);
    if (Key == "limit")
      return readObjects("limit", File, Node, Set.Limits);
    if (Key == "listener")
      return readObjects("listener", File, Node, Set.Listeners);
    std::string Text(Key.str());
    Diagnostics.push_back(
        {File, Key.source().begin.line, Key.source().begin.column,
         "unknown table '" + Text + "'" +
             suggestName(Text, {"service", "group", "rule", "organisation",
                                "limit", "listener"})});
  }

  template <typename T>
  void readObjects(const char *Kind, const std::string &File,
                   const toml::node &Node, std::vector<Located<T>> &Objects) {
    const toml::array *Array = Node.as_array();
    bool AllTables = Array && std::all_of(Array->begin(), Array->end(),
                                          [](const toml::node &Element) {
                                            return Element.is_table();
                                          });
    if (!AllTables) {
      Diagnostics.push_back(
          {File, Node.source().begin.line, Node.source().begin.column,
           std::string("'") + Kind + "' must be an array of tables, write [[" +
               Kind + "]]"});
      return;
    }
    for (const toml::node &Element : *Array) {
      TomlReader Reader(Kind, File, *Element.as_table(), Diagnostics);
      Located<T> &Object = Objects.emplace_back();
      readObject(Reader, Object.Object, Options);
      Reader.finish(Object);
    }
  }

  const CheckOptions &Options;
  std::vector<Diagnostic> &Diagnostics;
  detail::LocatedSet Set;
};

template <typename T>
std::vector<T> sortedObjects(const std::vector<Located<T>> &Objects) {
  std::vector<T> Sorted;
  Sorted.reserve(Objects.size());
  for (const Located<T> &Object : Objects)
    Sorted.push_back(Object.Object);
  std::sort(Sorted.begin(), Sorted.end(),
            [](const T &A, const T &B) { return A.Name.str() < B.Name.str(); });
  return Sorted;
}

} // namespace

std::string toString(const Diagnostic &D) {
  return D.File + ":" + std::to_string(D.Line) + ":" +
         std::to_string(D.Column) + ": " + D.Message;
}

CheckedSet checkObjects(const std::vector<SourceFile> &Files,
                        const CheckOptions &Options) {
  CheckedSet Checked;
  SetReader Reader(Options, Checked.Diagnostics);
  for (const SourceFile &File : Files)
    Reader.readFile(File);
  const detail::LocatedSet &Set = Reader.set();
  detail::crossCheck(Set, Checked.Diagnostics);
  std::sort(Checked.Diagnostics.begin(), Checked.Diagnostics.end());
  Checked.Objects = {
      sortedObjects(Set.Services), sortedObjects(Set.Groups),
      sortedObjects(Set.Rules),    sortedObjects(Set.Organisations),
      sortedObjects(Set.Limits),   sortedObjects(Set.Listeners)};
  // Publishing an empty set would leave the whole fleet without rules, so an
  // empty set is treated as a wrong file.
  if (Checked.Diagnostics.empty() && Checked.Objects == ObjectSet())
    Checked.Diagnostics.push_back({Files.empty() ? "" : Files.front().Path, 0,
                                   0, "the files define no objects"});
  return Checked;
}

} // namespace teaselhitch
