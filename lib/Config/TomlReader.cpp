#include "TomlReader.h"

#include <algorithm>

namespace teaselhitch::detail {

namespace {

constexpr const char *NameSyntax =
    ", a name has 1 to 64 of a-z A-Z 0-9 . _ - and starts with a letter or a "
    "digit";

std::string quoted(const std::string &Text) { return "'" + Text + "'"; }

} // namespace

std::string describeType(toml::node_type Type) {
  switch (Type) {
  case toml::node_type::table:
    return "a table";
  case toml::node_type::array:
    return "an array";
  case toml::node_type::string:
    return "a string";
  case toml::node_type::integer:
    return "an integer";
  case toml::node_type::floating_point:
    return "a floating-point number";
  case toml::node_type::boolean:
    return "a boolean";
  case toml::node_type::date:
  case toml::node_type::time:
  case toml::node_type::date_time:
    return "a date or time";
  case toml::node_type::none:
    break;
  }
  return "nothing";
}

TomlReader::TomlReader(const char *Kind, const std::string &File,
                       const toml::table &Table,
                       std::vector<Diagnostic> &Diagnostics)
    : File(File), Table(Table), Diagnostics(Diagnostics),
      Start(nodeLocation(Table)), Subject(Kind) {
  if (const toml::value<std::string> *Name = Table.get_as<std::string>("name"))
    Subject += " " + quoted(Name->get());
}

SourceLocation TomlReader::nodeLocation(const toml::node &Node) const {
  return {File, Node.source().begin.line, Node.source().begin.column};
}

void TomlReader::reportError(const SourceLocation &Location,
                             std::string Message) {
  Diagnostics.push_back(makeDiagnostic(Location, std::move(Message)));
  HasError = true;
}

void TomlReader::recordKey(const char *Key, const toml::node &Node) {
  KeyLocations.emplace(Key, nodeLocation(Node));
}

void TomlReader::reportWrongType(const char *Key, const char *Expected,
                                 const toml::node &Node) {
  reportError(nodeLocation(Node), "key " + quoted(Key) + " in " + Subject +
                                      " must be " + Expected + ", not " +
                                      describeType(Node.type()));
}

const toml::node *TomlReader::find(const char *Key, Presence P) {
  KnownKeys.emplace_back(Key);
  const toml::node *Node = Table.get(Key);
  if (!Node && P == Presence::Required)
    reportError(Start, "missing key " + quoted(Key) + " in " + Subject);
  return Node;
}

std::optional<std::string> TomlReader::stringValue(const char *Key,
                                                   Presence P) {
  const toml::node *Node = find(Key, P);
  if (!Node)
    return std::nullopt;
  if (const toml::value<std::string> *Text = Node->as_string())
    return Text->get();
  reportWrongType(Key, "a string", *Node);
  return std::nullopt;
}

std::optional<std::string> TomlReader::validName(const char *Key, Presence P) {
  std::optional<std::string> Text = stringValue(Key, P);
  if (!Text)
    return std::nullopt;
  const toml::node &Node = *Table.get(Key);
  if (!isValidName(*Text)) {
    reportError(nodeLocation(Node), "invalid name " + quoted(*Text) +
                                        " for key " + quoted(Key) + " in " +
                                        Subject + NameSyntax);
    return std::nullopt;
  }
  recordKey(Key, Node);
  return Text;
}

void TomlReader::optionalName(const char *Key, std::string &Out) {
  if (std::optional<std::string> Text = validName(Key, Presence::Optional))
    Out = *Text;
}

std::optional<std::int64_t> TomlReader::integerInRange(const char *Key,
                                                       std::int64_t Least,
                                                       std::int64_t Greatest,
                                                       const char *Unit) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return std::nullopt;
  const toml::value<std::int64_t> *Value = Node->as_integer();
  if (!Value) {
    std::string Expected =
        std::string("an integer") + (*Unit == '\0' ? "" : " number of") + Unit;
    reportWrongType(Key, Expected.c_str(), *Node);
    return std::nullopt;
  }
  if (Value->get() < Least || Value->get() > Greatest) {
    reportError(nodeLocation(*Node),
                "key " + quoted(Key) + " in " + Subject + " must be from " +
                    std::to_string(Least) + " to " + std::to_string(Greatest) +
                    Unit + ", not " + std::to_string(Value->get()));
    return std::nullopt;
  }
  recordKey(Key, *Node);
  return Value->get();
}

void TomlReader::boolean(const char *Key, bool &Out) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  if (const toml::value<bool> *Value = Node->as_boolean()) {
    Out = Value->get();
    recordKey(Key, *Node);
    return;
  }
  reportWrongType(Key, "true or false", *Node);
}

void TomlReader::milliseconds(const char *Key, std::int64_t Least,
                              std::int64_t Greatest, Duration &Out) {
  if (auto Value = integerInRange(Key, Least, Greatest, " milliseconds"))
    Out = Duration(static_cast<double>(*Value));
}

void TomlReader::split(const char *Key, std::vector<WeightedGroup> &Out) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  const toml::array *Array = Node->as_array();
  if (!Array)
    return reportWrongType(Key, "an array of GROUP:WEIGHT strings", *Node);
  for (const toml::node &Element : *Array) {
    const toml::value<std::string> *Text = Element.as_string();
    std::optional<WeightedGroup> Share;
    if (Text)
      Share = parseWeightedGroup(Text->get());
    if (!Share) {
      reportError(nodeLocation(Element),
                  "key " + quoted(Key) + " in " + Subject +
                      " must list GROUP:WEIGHT strings with a "
                      "weight of at least 1");
      continue;
    }
    bool Repeated =
        std::any_of(Out.begin(), Out.end(), [&](const WeightedGroup &Other) {
          return Other.Group == Share->Group;
        });
    if (Repeated)
      reportError(nodeLocation(Element),
                  "key " + quoted(Key) + " in " + Subject + " lists " +
                      quoted(Share->Group.str()) + " twice");
    else
      Out.push_back(std::move(*Share));
  }
  recordKey(Key, *Node);
}

void TomlReader::digests(const char *Key, std::vector<std::string> &Out) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  const toml::array *Array = Node->as_array();
  if (!Array)
    return reportWrongType(Key, "an array of SHA-256 digests", *Node);
  for (const toml::node &Element : *Array) {
    const toml::value<std::string> *Text = Element.as_string();
    if (!Text || !isSha256Digest(Text->get()))
      reportError(nodeLocation(Element),
                  "key " + quoted(Key) + " in " + Subject +
                      " must list SHA-256 digests of 64 lower-case hexadecimal "
                      "digits");
    else if (std::find(Out.begin(), Out.end(), Text->get()) != Out.end())
      reportError(nodeLocation(Element), "key " + quoted(Key) + " in " +
                                             Subject + " lists a digest twice");
    else
      Out.push_back(Text->get());
  }
  std::sort(Out.begin(), Out.end());
  recordKey(Key, *Node);
}

std::optional<std::string>
TomlReader::choice(const char *Key, const std::vector<std::string> &Choices) {
  std::optional<std::string> Text = stringValue(Key, Presence::Optional);
  if (!Text)
    return std::nullopt;
  const toml::node &Node = *Table.get(Key);
  if (std::find(Choices.begin(), Choices.end(), *Text) == Choices.end()) {
    reportError(nodeLocation(Node), "unknown " + std::string(Key) + " " +
                                        quoted(*Text) + " in " + Subject +
                                        suggestName(*Text, Choices));
    return std::nullopt;
  }
  recordKey(Key, Node);
  return Text;
}

void TomlReader::checkedString(
    const char *Key, Presence P,
    const std::function<std::string(const std::string &)> &Validate,
    std::string &Out) {
  std::optional<std::string> Text = stringValue(Key, P);
  if (!Text)
    return;
  const toml::node &Node = *Table.get(Key);
  std::string ErrorText = Validate(*Text);
  if (!ErrorText.empty()) {
    reportError(nodeLocation(Node), "key " + quoted(Key) + " in " + Subject +
                                        " " + ErrorText + ", not " +
                                        quoted(*Text));
    return;
  }
  recordKey(Key, Node);
  Out = *Text;
}

bool TomlReader::checkListElement(const char *Key, const toml::node &Node,
                                  const std::vector<std::string> &Previous) {
  const toml::value<std::string> *Text = Node.as_string();
  if (!Text) {
    reportError(nodeLocation(Node), "key " + quoted(Key) + " in " + Subject +
                                        " must list strings, not " +
                                        describeType(Node.type()));
    return false;
  }
  if (!isValidName(Text->get())) {
    reportError(nodeLocation(Node), "invalid name " + quoted(Text->get()) +
                                        " for key " + quoted(Key) + " in " +
                                        Subject + NameSyntax);
    return false;
  }
  if (std::find(Previous.begin(), Previous.end(), Text->get()) !=
      Previous.end()) {
    reportError(nodeLocation(Node), "key " + quoted(Key) + " in " + Subject +
                                        " lists " + quoted(Text->get()) +
                                        " twice");
    return false;
  }
  return true;
}

std::optional<std::vector<std::string>> TomlReader::names(const char *Key) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return std::nullopt;
  const toml::array *Array = Node->as_array();
  if (!Array) {
    reportWrongType(Key, "an array of names", *Node);
    return std::nullopt;
  }
  std::vector<std::string> Names;
  for (const toml::node &Element : *Array)
    if (checkListElement(Key, Element, Names))
      Names.push_back(Element.as_string()->get());
  recordKey(Key, *Node);
  return Names;
}

void TomlReader::reportUnknownKeys() {
  for (const auto &[Key, Node] : Table) {
    std::string Text(Key.str());
    if (std::find(KnownKeys.begin(), KnownKeys.end(), Text) != KnownKeys.end())
      continue;
    reportError({File, Key.source().begin.line, Key.source().begin.column},
                "unknown key " + quoted(Text) + " in " + Subject +
                    suggestName(Text, KnownKeys));
  }
}

} // namespace teaselhitch::detail
