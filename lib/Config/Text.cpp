#include "teaselhitch/Config/Text.h"

#include "ObjectJson.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace teaselhitch {

std::string toToml(const ObjectSet &Objects) {
  // The JSON form of strings without control characters, numbers, booleans and
  // arrays of strings is TOML as well.
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
  auto ArrayOf = [](const auto &Kind) {
    boost::json::array Array;
    for (const auto &Object : Kind)
      Array.push_back(detail::toJson(Object));
    return Array;
  };
  return boost::json::serialize(
      boost::json::object{{"service", ArrayOf(Objects.Services)},
                          {"group", ArrayOf(Objects.Groups)},
                          {"rule", ArrayOf(Objects.Rules)},
                          {"organisation", ArrayOf(Objects.Organisations)},
                          {"limit", ArrayOf(Objects.Limits)},
                          {"listener", ArrayOf(Objects.Listeners)}});
}

} // namespace teaselhitch
