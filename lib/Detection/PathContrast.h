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
  /// False if the request does not count because its origin is excluded. A
  /// failure of an excluded origin renews the exclusion; failures of other
  /// origins lift it.
  bool add(Origin From, bool Failed, bool Slow, double PeerRate, Time Now);

  /// Cause of the failures since Since. Cause::Path also excludes the origin.
  /// \param PeerRate share of failed requests at the other backend servers.
  Cause judge(EvidenceKind Kind, Time Since, double PeerRate, Time Now);

  void reset() {
    Items.clear();
    Excluded.clear();
  }

private:
  struct Item {
    Origin From;
    bool Failed;
    bool Slow;
    Time At;

    bool isBad(EvidenceKind Kind) const {
      return Kind == EvidenceKind::Errors ? Failed : Failed || Slow;
    }
  };
  struct Tally {
    unsigned Count = 0;
    unsigned Bad = 0;
  };

  /// Requests since some time of one origin and of the others.
  struct Split {
    std::string Origin;
    Tally Guilty;
    Tally Others;
    /// Share of all recent requests that come from other origins.
    double OtherShare = 0;
  };
  /// Splits by Origin, or by the one with the most failures.
  Split split(EvidenceKind Kind, std::size_t Dimension, Time Since,
              const std::string *Origin) const;
  static double score(const Split &S, double PeerRate);
  static Cause judge(const Split &S, double PeerRate);
  void liftExclusions(double PeerRate);

  std::deque<Item> Items;
  struct Exclusion {
    EvidenceKind Kind;
    Time Since;
    Time Until;
  };
  /// By dimension and origin.
  std::map<std::pair<std::size_t, std::string>, Exclusion> Excluded;
};

} // namespace teaselhitch::detail

#endif
