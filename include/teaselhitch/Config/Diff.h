#ifndef TEASELHITCH_CONFIG_DIFF_H
#define TEASELHITCH_CONFIG_DIFF_H

/// \file
/// Typed differences between two sets of objects.

#include "teaselhitch/Config/Objects.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselhitch {

enum class ChangeKind : std::uint8_t { Added, Removed, Changed };
/// "added", "removed" or "changed".
const char *changeKindName(ChangeKind Change);

/// One added object, one removed object, or one changed field of an object.
struct Difference {
  /// Kind of object as in the files, e.g. "rule".
  std::string Kind;
  std::string Name;
  ChangeKind Change = ChangeKind::Changed;
  /// Key of the field; empty for an added or removed object.
  std::string Field;
  /// JSON of the field or of the removed object; empty if there was none.
  std::string Before;
  /// JSON of the field or of the added object; empty if there is none.
  std::string After;

  auto operator<=>(const Difference &) const = default;
};

/// What turns Before into After: by kind in the order of ObjectSet, then by
/// name, then by field.
std::vector<Difference> diffObjects(const ObjectSet &Before,
                                    const ObjectSet &After);

/// One line without line feed, e.g. "~ rule 'buy': deadline_ms 10000 -> 5000".
std::string toString(const Difference &D);

} // namespace teaselhitch

#endif
