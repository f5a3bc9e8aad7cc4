#include "teaselhitch/Config/Text.h"

#include "ObjectJson.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace teaselhitch {

std::string toToml(const ObjectSet &Objects) {
  // JSON numbers, booleans, strings without control characters, and arrays of
  // strings are valid TOML as well.
  std::string Text;
  detail::forEachKind(
      [&](const auto &Kind) {
        for (const auto &Object : Kind) {
          Text += std::string("[[") + detail::kindName(Object) + "]]\n";
          for (const auto &Field : detail::toJson(Object))
            Text += std::string(Field.key()) + " = " +
                    boost::json::serialize(Field.value()) + "\n";
          Text += "\n";
        }
      },
      Objects);
  return Text;
}

std::string toJsonText(const ObjectSet &Objects) {
  auto ToArray = [](const auto &Kind) {
    boost::json::array Array;
    for (const auto &Object : Kind)
      Array.push_back(detail::toJson(Object));
    return Array;
  };
  return boost::json::serialize(
      boost::json::object{{"service", ToArray(Objects.Services)},
                          {"group", ToArray(Objects.Groups)},
                          {"rule", ToArray(Objects.Rules)},
                          {"organisation", ToArray(Objects.Organisations)},
                          {"limit", ToArray(Objects.Limits)},
                          {"listener", ToArray(Objects.Listeners)}});
}

} // namespace teaselhitch
