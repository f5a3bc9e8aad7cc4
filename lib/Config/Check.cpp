#include "teaselhitch/Config/Check.h"

#include "TomlReader.h"

#include <algorithm>

namespace teaselhitch {

namespace {

using detail::Located;
using detail::TomlReader;
using Need = TomlReader::Need;

/// Most backend servers of one service or group.
constexpr std::int64_t MaxBackendServers = 100'000;
constexpr std::int64_t MaxShare = 10'000;
constexpr std::int64_t MaxQueuePerSlot = 1'000;
/// A body travels between nodes in one frame of at most 72 MiB.
constexpr std::int64_t MaxBodyBytes = 64LL * 1024 * 1024;
/// A node that stops waits 30 s for its requests, so a longer request could be
/// interrupted by a planned stop.
constexpr std::int64_t MaxDeadlineMs = 30'000;
constexpr std::size_t MaxPathLength = 1024;
constexpr std::size_t MaxHostLength = 253;
constexpr std::int64_t MaxAttempts = 16;
constexpr std::int64_t MaxPriority = 100;
/// Bounds of the timeouts of a listener.
constexpr std::int64_t MinListenerMs = 100;
constexpr std::int64_t MaxListenerMs = 3'600'000;
constexpr std::int64_t MinHeaderBytes = 1024;
constexpr std::int64_t MaxHeaderBytes = 1024LL * 1024;
constexpr std::size_t MaxLabelLength = 128;

const std::vector<std::string> Methods = {"GET",    "HEAD",  "POST",   "PUT",
                                          "DELETE", "PATCH", "OPTIONS"};

std::string labelFault(const std::string &Text) {
  bool Printable = std::all_of(Text.begin(), Text.end(), [](char C) {
    return static_cast<unsigned char>(C) >= 0x20 && C != 0x7f;
  });
  if (Text.size() <= MaxLabelLength && Printable)
    return "";
  return "must have at most " + std::to_string(MaxLabelLength) +
         " bytes and no control characters";
}

bool isPathChar(char C) {
  return C > 0x20 && C < 0x7f && C != '?' && C != '#' && C != '\\' && C != '"';
}

/// True if a segment between slashes is empty, "." or "..".
bool hasUnusableSegment(const std::string &Path) {
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

std::string pathFault(const std::string &Text) {
  if (Text.empty() || Text[0] != '/')
    return "must start with '/'";
  if (Text.size() > MaxPathLength)
    return "must have at most " + std::to_string(MaxPathLength) + " bytes";
  if (!std::all_of(Text.begin(), Text.end(), isPathChar))
    return "must be visible ASCII without ? # \\ \"";
  // One spelling for each prefix, so that equal prefixes are equal texts.
  if (Text.size() > 1 && hasUnusableSegment(Text))
    return "must have no empty, '.' or '..' segment and no '/' at the end";
  return "";
}

std::string hostFault(const std::string &Text) {
  bool Valid = std::all_of(Text.begin(), Text.end(), [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '.' ||
           C == '-';
  });
  if (Valid && Text.size() <= MaxHostLength)
    return "";
  return "must be a host name in lower case without a port";
}

/// A path that starts with '/', or a prefix of one that may end with '/'.
std::string prefixFault(const std::string &Text) {
  bool IsDirectory = Text.size() > 1 && Text.back() == '/';
  return pathFault(IsDirectory ? Text.substr(0, Text.size() - 1) : Text);
}

void readObject(TomlReader &R, Service &S, const CheckOptions &Options) {
  R.name("name", S.Name);
  R.integer("floor", 1, MaxBackendServers, " backend servers", S.Floor);
  std::vector<std::string> Presets;
  for (DetectionPreset Preset :
       {DetectionPreset::FewFalseEjections, DetectionPreset::Balanced,
        DetectionPreset::FastDetection})
    Presets.emplace_back(detectionPresetName(Preset));
  if (std::optional<std::string> Word = R.word("detection", Presets))
    S.Preset = static_cast<DetectionPreset>(
        std::find(Presets.begin(), Presets.end(), *Word) - Presets.begin());
  if (Options.Detectors.empty())
    R.optionalName("detector", S.Detector);
  else if (std::optional<std::string> Word =
               R.word("detector", Options.Detectors))
    S.Detector = *Word;
  R.text("health_path", Need::Optional, pathFault, S.HealthPath);
  R.boolean("ejections", S.Ejections);
}

void readObject(TomlReader &R, Group &G, const CheckOptions &) {
  R.name("name", G.Name);
  R.name("service", G.Service);
  if (auto Names = R.names("failure_domains"))
    for (const std::string &Name : *Names)
      G.Domains.emplace_back(Name);
  std::sort(G.Domains.begin(), G.Domains.end());
  R.text("label", Need::Optional, labelFault, G.Label);
  R.integer("expected_size", 1, MaxBackendServers, " backend servers",
            G.ExpectedSize);
}

void readObject(TomlReader &R, Rule &Out, const CheckOptions &) {
  R.name("name", Out.Name);
  if (std::optional<std::string> Word = R.word("method", Methods))
    Out.Method = *Word;
  R.text("host", Need::Optional, hostFault, Out.Host);
  R.text("path_prefix", Need::Required, prefixFault, Out.PathPrefix);
  R.split("split", Out.Split);
  if (Out.Split.empty())
    R.name("group", Out.Group);
  R.boolean("idempotent", Out.Idempotent);
  R.boolean("paid", Out.Paid);
  R.milliseconds("deadline_ms", 1, MaxDeadlineMs, Out.Deadline);
  R.milliseconds("objective_ms", 1, MaxDeadlineMs, Out.Objective);
  R.integer("attempts", 1, MaxAttempts, "", Out.Attempts);
  R.integer("priority", 0, MaxPriority, "", Out.Priority);
}

void readObject(TomlReader &R, Organisation &O, const CheckOptions &) {
  R.name("name", O.Name);
  R.integer("share", 1, MaxShare, "", O.Share);
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
  R.milliseconds("header_timeout_ms", MinListenerMs, MaxListenerMs,
                 L.HeaderTimeout);
  R.milliseconds("idle_timeout_ms", MinListenerMs, MaxListenerMs,
                 L.IdleTimeout);
}

/// The parser's text starts with "Error while parsing ...".
std::string syntaxMessage(const toml::parse_error &E) {
  constexpr std::string_view Prefix = "Error ";
  std::string_view Text = E.description();
  if (Text.substr(0, Prefix.size()) == Prefix)
    return "syntax error " + std::string(Text.substr(Prefix.size()));
  return "syntax error: " + std::string(Text);
}

/// Reads the files into a LocatedSet.
class SetReader {
public:
  SetReader(const CheckOptions &Options, std::vector<Diagnostic> &Faults)
      : Options(Options), Faults(Faults) {}

  void readFile(const SourceFile &File) {
    toml::parse_result Parsed =
        toml::parse(std::string_view(File.Text), File.Path);
    if (!Parsed) {
      const toml::parse_error &E = Parsed.error();
      Faults.push_back({File.Path, E.source().begin.line,
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
    Faults.push_back(
        {File, Key.source().begin.line, Key.source().begin.column,
         "unknown table '" + Text + "'" +
             suggestName(Text, {"service", "group", "rule", "organisation",
                                "limit", "listener"})});
  }

  template <typename T>
  void readObjects(const char *Kind, const std::string &File,
                   const toml::node &Node, std::vector<Located<T>> &Objects) {
    const toml::array *Array = Node.as_array();
    bool Tables = Array && std::all_of(Array->begin(), Array->end(),
                                       [](const toml::node &Element) {
                                         return Element.is_table();
                                       });
    if (!Tables) {
      Faults.push_back(
          {File, Node.source().begin.line, Node.source().begin.column,
           std::string("'") + Kind + "' must be an array of tables, write [[" +
               Kind + "]]"});
      return;
    }
    for (const toml::node &Element : *Array) {
      TomlReader Reader(Kind, File, *Element.as_table(), Faults);
      Located<T> &Object = Objects.emplace_back();
      readObject(Reader, Object.Object, Options);
      Reader.finish(Object);
    }
  }

  const CheckOptions &Options;
  std::vector<Diagnostic> &Faults;
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
  SetReader Reader(Options, Checked.Faults);
  for (const SourceFile &File : Files)
    Reader.readFile(File);
  const detail::LocatedSet &Set = Reader.set();
  detail::crossCheck(Set, Checked.Faults);
  std::sort(Checked.Faults.begin(), Checked.Faults.end());
  Checked.Objects = {
      sortedObjects(Set.Services), sortedObjects(Set.Groups),
      sortedObjects(Set.Rules),    sortedObjects(Set.Organisations),
      sortedObjects(Set.Limits),   sortedObjects(Set.Listeners)};
  // An empty set would leave the whole fleet without rules; it is taken for a
  // wrong file.
  if (Checked.Faults.empty() && Checked.Objects == ObjectSet())
    Checked.Faults.push_back({Files.empty() ? "" : Files.front().Path, 0, 0,
                              "the files define no objects"});
  return Checked;
}

} // namespace teaselhitch
