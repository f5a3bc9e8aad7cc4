#include "SettingsReader.h"

#include "teaselhitch/Support/Name.h"
#include "teaselhitch/Support/NameSuggestion.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace teaselhitch {

struct SettingsReader::Document {
  toml::table Root;
  const toml::table *CurrentTable = nullptr;
};

namespace {

std::uint32_t lineOf(const toml::node &Node) {
  return Node.source().begin.line;
}

} // namespace

SettingsReader::SettingsReader(std::string_view Text,
                               std::vector<SettingsError> &Errors,
                               std::vector<SettingsError> &Warnings)
    : Errors(Errors), Warnings(Warnings), Doc(std::make_unique<Document>()) {
  toml::parse_result ParseResult = toml::parse(Text);
  if (ParseResult) {
    Doc->Root = std::move(ParseResult).table();
    return;
  }
  Errors.push_back(
      SettingsError{ParseResult.error().source().begin.line, "",
                    std::string(ParseResult.error().description())});
}

SettingsReader::~SettingsReader() = default;

void SettingsReader::section(const std::string &Name) {
  Section = Name;
  Doc->CurrentTable = nullptr;
  KnownKeys[Name];
  const toml::node *Node = Doc->Root.get(Name);
  if (!Node)
    return;
  Doc->CurrentTable = Node->as_table();
  if (!Doc->CurrentTable)
    Errors.push_back(SettingsError{lineOf(*Node), Name, "expected a table"});
}

void SettingsReader::reportError(const std::string &Key,
                                 const std::string &Message) {
  const toml::node *Node =
      Doc->CurrentTable ? Doc->CurrentTable->get(Key) : nullptr;
  Errors.push_back(
      SettingsError{Node ? lineOf(*Node) : 0, Section + "." + Key, Message});
}

template <typename T>
const T *SettingsReader::value(const std::string &Key, const char *Expected) {
  KnownKeys[Section].insert(Key);
  const toml::node *Node =
      Doc->CurrentTable ? Doc->CurrentTable->get(Key) : nullptr;
  if (!Node)
    return nullptr;
  const toml::value<T> *Value = Node->as<T>();
  if (!Value) {
    reportError(Key, std::string("expected ") + Expected);
    return nullptr;
  }
  return &Value->get();
}

std::string SettingsReader::name(const std::string &Key,
                                 const std::string &Default) {
  std::size_t PriorErrors = Errors.size();
  const auto *Value = value<std::string>(Key, "a quoted name");
  if (!Value) {
    if (Default.empty() && Errors.size() == PriorErrors)
      reportError(Key, "missing, expected a name");
    return Default;
  }
  if (!isValidName(*Value))
    reportError(Key,
                "'" + *Value +
                    "' is not a name: expected 1 to 64 characters of a-z A-Z "
                    "0-9 . _ - that start with a letter or a digit");
  return *Value;
}

std::string SettingsReader::text(const std::string &Key,
                                 const std::string &Default) {
  const auto *Value = value<std::string>(Key, "a quoted string");
  return Value ? *Value : Default;
}

std::string SettingsReader::choice(const std::string &Key,
                                   const std::string &Default,
                                   const std::vector<std::string> &Choices) {
  std::string Value = text(Key, Default);
  if (std::find(Choices.begin(), Choices.end(), Value) != Choices.end())
    return Value;
  std::string ExpectedValues;
  for (const std::string &C : Choices)
    ExpectedValues += (ExpectedValues.empty() ? "" : ", ") + C;
  reportError(Key, "unknown value '" + Value +
                       "', expected one of: " + ExpectedValues);
  return Default;
}

std::string SettingsReader::secret(const std::string &Key,
                                   std::size_t MinLength, bool Required) {
  std::size_t PriorErrors = Errors.size();
  const auto *Value = value<std::string>(Key, "a quoted string");
  std::string Expected =
      "expected at least " + std::to_string(MinLength) + " characters";
  if (!Value) {
    if (Required && Errors.size() == PriorErrors)
      reportError(Key, "missing, " + Expected);
    return "";
  }
  if (Value->size() < MinLength)
    reportError(Key, Expected);
  return *Value;
}

Endpoint SettingsReader::endpoint(const std::string &Key) {
  constexpr const char *Expected = "an IP address and port, e.g. "
                                   "\"127.0.0.1:7001\"";
  std::size_t PriorErrors = Errors.size();
  const auto *Value = value<std::string>(Key, Expected);
  if (!Value) {
    if (Errors.size() == PriorErrors)
      reportError(Key, std::string("missing, expected ") + Expected);
    return Endpoint();
  }
  std::optional<Endpoint> Parsed = parseEndpoint(*Value);
  if (!Parsed)
    reportError(Key, "'" + *Value + "' is not " + Expected);
  return Parsed.value_or(Endpoint());
}

std::vector<Endpoint> SettingsReader::endpoints(const std::string &Key) {
  KnownKeys[Section].insert(Key);
  std::vector<Endpoint> Result;
  const toml::node *Node =
      Doc->CurrentTable ? Doc->CurrentTable->get(Key) : nullptr;
  if (!Node)
    return Result;
  const toml::array *Array = Node->as_array();
  if (!Array) {
    reportError(Key, "expected an array of IP addresses with ports");
    return Result;
  }
  for (const toml::node &Item : *Array) {
    std::optional<std::string> Text = Item.value<std::string>();
    std::optional<Endpoint> Address =
        Text ? parseEndpoint(*Text) : std::nullopt;
    if (Address)
      Result.push_back(*Address);
    else
      Errors.push_back(
          SettingsError{lineOf(Item), Section + "." + Key,
                        "each item must be a quoted IP address and port"});
  }
  return Result;
}

std::int64_t SettingsReader::integer(const std::string &Key,
                                     std::int64_t Default, std::int64_t Min,
                                     std::int64_t Max) {
  const auto *Value = value<std::int64_t>(Key, "a whole number");
  if (!Value)
    return Default;
  if (*Value >= Min && *Value <= Max)
    return *Value;
  reportError(Key, std::to_string(*Value) + " is out of range, expected " +
                       std::to_string(Min) + " to " + std::to_string(Max));
  return Default;
}

Duration SettingsReader::duration(const std::string &Key, Duration Default,
                                  std::int64_t MinMs, std::int64_t MaxMs) {
  auto DefaultMs = static_cast<std::int64_t>(Default.ms());
  return Duration(static_cast<double>(integer(Key, DefaultMs, MinMs, MaxMs)));
}

std::optional<double> SettingsReader::bound(const std::string &Key, double Min,
                                            double Max) {
  KnownKeys[Section].insert(Key);
  const toml::node *Node =
      Doc->CurrentTable ? Doc->CurrentTable->get(Key) : nullptr;
  if (!Node)
    return std::nullopt;
  std::optional<double> Value = Node->value<double>();
  if (!Value) {
    reportError(Key, "expected a number");
    return std::nullopt;
  }
  if (std::isnan(*Value)) {
    Warnings.push_back(SettingsError{lineOf(*Node), Section + "." + Key,
                                     "not a number, the default is used"});
    return std::nullopt;
  }
  double Used = std::clamp(*Value, Min, Max);
  if (Used != *Value) {
    std::ostringstream Text;
    Text << *Value << " is not supported, " << Used << " is used";
    Warnings.push_back(
        SettingsError{lineOf(*Node), Section + "." + Key, Text.str()});
  }
  return Used;
}

void SettingsReader::reportUnknownKeys() {
  std::vector<std::string> Sections;
  for (const auto &[Name, Keys] : KnownKeys)
    Sections.push_back(Name);
  for (const auto &[Key, Node] : Doc->Root) {
    std::string Name(Key.str());
    auto Known = KnownKeys.find(Name);
    if (Known == KnownKeys.end()) {
      Errors.push_back(
          SettingsError{lineOf(Node), Name,
                        "unknown table or key" + suggestName(Name, Sections)});
      continue;
    }
    const toml::table *Table = Node.as_table();
    if (!Table)
      continue;
    std::vector<std::string> Keys(Known->second.begin(), Known->second.end());
    for (const auto &[Inner, Value] : *Table) {
      std::string InnerName(Inner.str());
      if (Known->second.count(InnerName) == 0)
        Errors.push_back(
            SettingsError{lineOf(Value), Name + "." + InnerName,
                          "unknown key" + suggestName(InnerName, Keys)});
    }
  }
}

} // namespace teaselhitch
