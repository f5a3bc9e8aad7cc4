#include "TomlReader.h"

#include <algorithm>

namespace teaselhitch::detail {

namespace {

constexpr const char *NameRule =
    ", a name has 1 to 64 of a-z A-Z 0-9 . _ - and starts with a letter or a "
    "digit";

std::string quoted(const std::string &Text) { return "'" + Text + "'"; }

} // namespace

std::string typeText(toml::node_type Type) {
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
    return "a fraction";
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
                       std::vector<Diagnostic> &Faults)
    : File(File), Table(Table), Faults(Faults), Start(placeOf(Table)),
      Subject(Kind) {
  if (const toml::value<std::string> *Name = Table.get_as<std::string>("name"))
    Subject += " " + quoted(Name->get());
}

Place TomlReader::placeOf(const toml::node &Node) const {
  return {File, Node.source().begin.line, Node.source().begin.column};
}

void TomlReader::fault(const Place &P, std::string Message) {
  Faults.push_back(diagnostic(P, std::move(Message)));
  HasFault = true;
}

void TomlReader::accept(const char *Key, const toml::node &Node) {
  Keys.emplace(Key, placeOf(Node));
}

void TomlReader::wrongType(const char *Key, const char *Expected,
                           const toml::node &Node) {
  fault(placeOf(Node), "key " + quoted(Key) + " in " + Subject + " must be " +
                           Expected + ", not " + typeText(Node.type()));
}

const toml::node *TomlReader::find(const char *Key, Need N) {
  Known.emplace_back(Key);
  const toml::node *Node = Table.get(Key);
  if (!Node && N == Need::Required)
    fault(Start, "missing key " + quoted(Key) + " in " + Subject);
  return Node;
}

std::optional<std::string> TomlReader::string(const char *Key, Need N) {
  const toml::node *Node = find(Key, N);
  if (!Node)
    return std::nullopt;
  if (const toml::value<std::string> *Text = Node->as_string())
    return Text->get();
  wrongType(Key, "a string", *Node);
  return std::nullopt;
}

std::optional<std::string> TomlReader::validName(const char *Key, Need N) {
  std::optional<std::string> Text = string(Key, N);
  if (!Text)
    return std::nullopt;
  const toml::node &Node = *Table.get(Key);
  if (!isValidName(*Text)) {
    fault(placeOf(Node), "invalid name " + quoted(*Text) + " for key " +
                             quoted(Key) + " in " + Subject + NameRule);
    return std::nullopt;
  }
  accept(Key, Node);
  return Text;
}

void TomlReader::optionalName(const char *Key, std::string &Out) {
  if (std::optional<std::string> Text = validName(Key, Need::Optional))
    Out = *Text;
}

std::optional<std::int64_t> TomlReader::integerInRange(const char *Key,
                                                       std::int64_t Least,
                                                       std::int64_t Greatest,
                                                       const char *Unit) {
  const toml::node *Node = find(Key, Need::Optional);
  if (!Node)
    return std::nullopt;
  const toml::value<std::int64_t> *Value = Node->as_integer();
  if (!Value) {
    std::string Expected =
        std::string("an integer") + (*Unit == '\0' ? "" : " number of") + Unit;
    wrongType(Key, Expected.c_str(), *Node);
    return std::nullopt;
  }
  if (Value->get() < Least || Value->get() > Greatest) {
    fault(placeOf(*Node), "key " + quoted(Key) + " in " + Subject +
                              " must be from " + std::to_string(Least) +
                              " to " + std::to_string(Greatest) + Unit +
                              ", not " + std::to_string(Value->get()));
    return std::nullopt;
  }
  accept(Key, *Node);
  return Value->get();
}

void TomlReader::boolean(const char *Key, bool &Out) {
  const toml::node *Node = find(Key, Need::Optional);
  if (!Node)
    return;
  if (const toml::value<bool> *Value = Node->as_boolean()) {
    Out = Value->get();
    accept(Key, *Node);
    return;
  }
  wrongType(Key, "true or false", *Node);
}

void TomlReader::milliseconds(const char *Key, std::int64_t Least,
                              std::int64_t Greatest, Duration &Out) {
  if (auto Value = integerInRange(Key, Least, Greatest, " milliseconds"))
    Out = Duration(static_cast<double>(*Value));
}

void TomlReader::split(const char *Key, std::vector<WeightedGroup> &Out) {
  const toml::node *Node = find(Key, Need::Optional);
  if (!Node)
    return;
  const toml::array *Array = Node->as_array();
  if (!Array)
    return wrongType(Key, "an array of texts GROUP:WEIGHT", *Node);
  for (const toml::node &Element : *Array) {
    const toml::value<std::string> *Text = Element.as_string();
    std::optional<WeightedGroup> Share;
    if (Text)
      Share = parseWeightedGroup(Text->get());
    if (!Share) {
      fault(placeOf(Element), "key " + quoted(Key) + " in " + Subject +
                                  " must list texts GROUP:WEIGHT with a "
                                  "weight of at least 1");
      continue;
    }
    bool Repeated =
        std::any_of(Out.begin(), Out.end(), [&](const WeightedGroup &Other) {
          return Other.Group == Share->Group;
        });
    if (Repeated)
      fault(placeOf(Element), "key " + quoted(Key) + " in " + Subject +
                                  " lists " + quoted(Share->Group.str()) +
                                  " twice");
    else
      Out.push_back(std::move(*Share));
  }
  accept(Key, *Node);
}

std::optional<std::string>
TomlReader::word(const char *Key, const std::vector<std::string> &Words) {
  std::optional<std::string> Text = string(Key, Need::Optional);
  if (!Text)
    return std::nullopt;
  const toml::node &Node = *Table.get(Key);
  if (std::find(Words.begin(), Words.end(), *Text) == Words.end()) {
    fault(placeOf(Node), "unknown " + std::string(Key) + " " + quoted(*Text) +
                             " in " + Subject + suggestName(*Text, Words));
    return std::nullopt;
  }
  accept(Key, Node);
  return Text;
}

void TomlReader::text(
    const char *Key, Need N,
    const std::function<std::string(const std::string &)> &Fault,
    std::string &Out) {
  std::optional<std::string> Text = string(Key, N);
  if (!Text)
    return;
  const toml::node &Node = *Table.get(Key);
  std::string Wrong = Fault(*Text);
  if (!Wrong.empty()) {
    fault(placeOf(Node), "key " + quoted(Key) + " in " + Subject + " " + Wrong +
                             ", not " + quoted(*Text));
    return;
  }
  accept(Key, Node);
  Out = *Text;
}

bool TomlReader::isNewName(const char *Key, const toml::node &Node,
                           const std::vector<std::string> &Before) {
  const toml::value<std::string> *Text = Node.as_string();
  if (!Text) {
    fault(placeOf(Node), "key " + quoted(Key) + " in " + Subject +
                             " must list strings, not " +
                             typeText(Node.type()));
    return false;
  }
  if (!isValidName(Text->get())) {
    fault(placeOf(Node), "invalid name " + quoted(Text->get()) + " for key " +
                             quoted(Key) + " in " + Subject + NameRule);
    return false;
  }
  if (std::find(Before.begin(), Before.end(), Text->get()) != Before.end()) {
    fault(placeOf(Node), "key " + quoted(Key) + " in " + Subject + " lists " +
                             quoted(Text->get()) + " twice");
    return false;
  }
  return true;
}

std::optional<std::vector<std::string>> TomlReader::names(const char *Key) {
  const toml::node *Node = find(Key, Need::Optional);
  if (!Node)
    return std::nullopt;
  const toml::array *Array = Node->as_array();
  if (!Array) {
    wrongType(Key, "an array of names", *Node);
    return std::nullopt;
  }
  std::vector<std::string> Names;
  for (const toml::node &Element : *Array)
    if (isNewName(Key, Element, Names))
      Names.push_back(Element.as_string()->get());
  accept(Key, *Node);
  return Names;
}

void TomlReader::reportUnknownKeys() {
  for (const auto &[Key, Node] : Table) {
    std::string Text(Key.str());
    if (std::find(Known.begin(), Known.end(), Text) != Known.end())
      continue;
    fault({File, Key.source().begin.line, Key.source().begin.column},
          "unknown key " + quoted(Text) + " in " + Subject +
              suggestName(Text, Known));
  }
}

} // namespace teaselhitch::detail
