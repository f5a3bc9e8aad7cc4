#ifndef TEASELHITCH_LIB_DETECTION_EJECTIONROW_H
#define TEASELHITCH_LIB_DETECTION_EJECTIONROW_H

/// \file
/// Encoding of the JSON value of a row of the table `ejections`.

#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Support/Result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselhitch::detail {

/// One lease in the row.
struct LeaseEntry {
  BackendServerId Id;
  std::uint64_t Incarnation = 0;
  /// Increases with each write by the same incarnation.
  std::uint64_t Renewal = 0;

  auto operator<=>(const LeaseEntry &) const = default;
};
using LeaseEntries = std::vector<LeaseEntry>;

std::string encodeRow(const LeaseEntries &Entries);
/// Returns Corrupt if the text is not a valid row.
Result<LeaseEntries> decodeRow(const std::string &Text);

} // namespace teaselhitch::detail

#endif
