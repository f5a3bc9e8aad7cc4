#ifndef TEASELHITCH_SUPPORT_NAME_H
#define TEASELHITCH_SUPPORT_NAME_H

/// \file
/// Distinct string types for the names of different kinds of entities.

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace teaselhitch {

/// A name whose type depends on Tag, so that a node name cannot be passed where
/// a service name is expected.
template <typename Tag> class Name {
public:
  Name() = default;
  explicit Name(std::string Text) : Text(std::move(Text)) {}

  const std::string &str() const { return Text; }
  bool empty() const { return Text.empty(); }

  auto operator<=>(const Name &) const = default;

private:
  std::string Text;
};

/// Returns true if Text consists of 1 to 64 characters of `a-z A-Z 0-9 . _ -`
/// and starts with a letter or a digit. All names of objects, nodes and backend
/// servers must satisfy this rule.
bool isValidName(std::string_view Text);

} // namespace teaselhitch

template <typename Tag> struct std::hash<teaselhitch::Name<Tag>> {
  std::size_t operator()(const teaselhitch::Name<Tag> &N) const noexcept {
    return std::hash<std::string>()(N.str());
  }
};

#endif
