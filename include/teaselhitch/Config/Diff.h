#ifndef TEASELHITCH_CONFIG_DIFF_H
#define TEASELHITCH_CONFIG_DIFF_H

/// \file
/// Computes the differences between two sets of objects.

#include "teaselhitch/Config/Objects.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselhitch {

enum class ChangeKind : std::uint8_t { Added, Removed, Changed };
/// Returns "added", "removed" or "changed".
const char *changeKindName(ChangeKind Change);

/// One added object, one removed object, or one changed field of an object.
struct Difference {
  /// Kind of the object as written in the object files, e.g. "rule".
  std::string Kind;
  std::string Name;
  ChangeKind Change = ChangeKind::Changed;
  /// Key of the changed field; empty for an added or removed object.
  std::string Field;
  /// Old value of the field, or the removed object, as JSON; empty for an
  /// added object.
  std::string Before;
  /// New value of the field, or the added object, as JSON; empty for a removed
  /// object.
  std::string After;

  auto operator<=>(const Difference &) const = default;
};

/// Returns the differences between Before and After, ordered by kind (in the
/// order of ObjectSet), then by name, then by field.
std::vector<Difference> diffObjects(const ObjectSet &Before,
                                    const ObjectSet &After);

/// Formats a difference as one line without a line feed, e.g. "~ rule 'buy':
/// deadline_ms 10000 -> 5000".
std::string toString(const Difference &D);

} // namespace teaselhitch

#endif
