#include "teaselhitch/Config/Diff.h"

#include "ObjectJson.h"

#include <boost/json/serialize.hpp>

namespace teaselhitch {

namespace {

std::string fieldText(const boost::json::value &Value) {
  return Value.is_null() ? "default" : boost::json::serialize(Value);
}

/// Compares two objects of the same kind and name field by field.
template <typename T>
void diffFields(const T &Before, const T &After,
                std::vector<Difference> &Differences) {
  boost::json::object Old = detail::toJson(Before);
  boost::json::object New = detail::toJson(After);
  // A key that is missing from the JSON has its default value.
  for (const auto &Field : Old)
    New.emplace(Field.key(), nullptr);
  for (const auto &Field : New) {
    const boost::json::value *Value = Old.if_contains(Field.key());
    if (Value && *Value == Field.value())
      continue;
    Differences.push_back({detail::kindName(Before), Before.Name.str(),
                           ChangeKind::Changed, std::string(Field.key()),
                           fieldText(Value ? *Value : nullptr),
                           fieldText(Field.value())});
  }
}

template <typename T> std::string objectJson(const T &Object) {
  return boost::json::serialize(detail::toJson(Object));
}

/// Compares two vectors that are sorted by name, in one merge pass.
template <typename T>
void diffKind(const std::vector<T> &Before, const std::vector<T> &After,
              std::vector<Difference> &Differences) {
  auto Old = Before.begin();
  auto New = After.begin();
  while (Old != Before.end() || New != After.end()) {
    if (New == After.end() ||
        (Old != Before.end() && Old->Name.str() < New->Name.str())) {
      Differences.push_back({detail::kindName(*Old), Old->Name.str(),
                             ChangeKind::Removed, "", objectJson(*Old), ""});
      ++Old;
      continue;
    }
    if (Old == Before.end() || New->Name.str() < Old->Name.str()) {
      Differences.push_back({detail::kindName(*New), New->Name.str(),
                             ChangeKind::Added, "", "", objectJson(*New)});
      ++New;
      continue;
    }
    if (*Old != *New)
      diffFields(*Old, *New, Differences);
    ++Old;
    ++New;
  }
}

} // namespace

const char *changeKindName(ChangeKind Change) {
  switch (Change) {
  case ChangeKind::Added:
    return "added";
  case ChangeKind::Removed:
    return "removed";
  case ChangeKind::Changed:
    return "changed";
  }
  return "changed";
}

std::vector<Difference> diffObjects(const ObjectSet &Before,
                                    const ObjectSet &After) {
  std::vector<Difference> Differences;
  detail::forEachKind([&](const auto &Old,
                          const auto &New) { diffKind(Old, New, Differences); },
                      Before, After);
  return Differences;
}

std::string toString(const Difference &D) {
  std::string Object = D.Kind + " '" + D.Name + "'";
  switch (D.Change) {
  case ChangeKind::Added:
    return "+ " + Object + " " + D.After;
  case ChangeKind::Removed:
    return "- " + Object + " " + D.Before;
  case ChangeKind::Changed:
    break;
  }
  return "~ " + Object + ": " + D.Field + " " + D.Before + " -> " + D.After;
}

} // namespace teaselhitch
