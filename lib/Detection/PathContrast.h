#ifndef TEASELHITCH_LIB_DETECTION_PATHCONTRAST_H
#define TEASELHITCH_LIB_DETECTION_PATHCONTRAST_H

/// \file
/// Tells a failure of a backend server from one of a path to it or of the
/// requests of one caller.

#include "teaselhitch/Detection/HealthMonitor.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace teaselhitch::detail {

/// What requests have in common: domain of the entry, entry, organisation.
constexpr std::size_t DimensionCount = 3;
using Origin = std::array<std::string, DimensionCount>;
Origin originOf(const RunSample &S);

enum class Cause : std::uint8_t {
  Server,
  /// Only requests of one origin fail.
  Path,
  /// Too few requests of other origins to tell.
  Unclear,
};

/// Recent requests of one backend server by origin.
class PathContrast {
public:
  void add(Origin From, bool Bad, Time Now);

  /// Cause of the failures since Since. Cause::Path also excludes the origin.
  /// \param PeerRate share of failed requests at the other backend servers.
  Cause judge(Time Since, double PeerRate, Time Now);

  /// True if requests of this origin do not count. A failure of an excluded
  /// origin renews the exclusion.
  bool isExcluded(const Origin &From, bool Bad, Time Now);

  void reset() {
    Items.clear();
    Excluded.clear();
  }

private:
  struct Item {
    Origin From;
    bool Bad;
    Time At;
  };
  struct Tally {
    unsigned Count = 0;
    unsigned Bad = 0;
  };

  Cause judgeDimension(std::size_t Dimension, Time Since, double PeerRate,
                       std::string &Guilty) const;

  std::deque<Item> Items;
  /// End of each exclusion.
  std::map<std::pair<std::size_t, std::string>, Time> Excluded;
};

} // namespace teaselhitch::detail

#endif
