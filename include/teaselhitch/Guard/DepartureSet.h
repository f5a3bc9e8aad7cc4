#ifndef TEASELHITCH_GUARD_DEPARTURESET_H
#define TEASELHITCH_GUARD_DEPARTURESET_H

/// \file
/// A set of departures of backend servers whose copies can be merged in any
/// order.

#include "teaselhitch/Model/Messages.h"

#include <compare>
#include <vector>

namespace teaselhitch {

/// That a process of a backend server has departed stays true, so sets are
/// joined and entries are never undone. Per backend server, the set contains
/// the highest departed incarnation, which covers all lower ones, and besides
/// whether a departure named no incarnation.
class DepartureSet {
public:
  DepartureSet() = default;
  explicit DepartureSet(const std::vector<DepartedServer> &Servers);

  /// Adds a departure. Returns false if the set covers it already; the covering
  /// entry then counts as the newest. A full set (MaxDepartedServers) drops its
  /// oldest entry, so a set that was joined with a whole other one covers it.
  bool join(const DepartedServer &Server);

  /// Returns true if the set states that \p Server has departed.
  bool covers(const DepartedServer &Server) const;
  bool coversAll(const DepartureSet &Other) const;

  bool empty() const { return Entries.empty(); }
  void clear() { Entries.clear(); }
  /// The entries, oldest first.
  const std::vector<DepartedServer> &servers() const { return Entries; }

  auto operator<=>(const DepartureSet &) const = default;

private:
  std::vector<DepartedServer> Entries;
};

} // namespace teaselhitch

#endif
