#ifndef TEASELHITCH_LIB_DETECTION_ORIGINCOMPARISON_H
#define TEASELHITCH_LIB_DETECTION_ORIGINCOMPARISON_H

/// \file
/// Distinguishes a failure of a backend server from a failure that is limited
/// to one origin: a network path to the backend server or the requests of one
/// organisation.

#include "teaselhitch/Detection/HealthMonitor.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace teaselhitch::detail {

/// The dimensions of an origin: failure domain of the entry, entry,
/// organisation.
constexpr std::size_t DimensionCount = 3;
using Origin = std::array<std::string, DimensionCount>;
Origin originOf(const RunSample &S);

enum class Cause : std::uint8_t {
  Server,
  /// Only requests of one origin fail.
  Origin,
  /// There are too few requests from other origins to decide.
  Unclear,
};

/// Compares the results of recent requests to one backend server by origin.
class OriginComparison {
public:
  /// Records a request. Returns false if its origin is excluded, so that the
  /// request is not evidence against the backend server. A failure from an
  /// excluded origin renews the exclusion; enough failures from other origins
  /// lift the exclusion.
  bool add(Origin Source, bool Failed, bool Slow, double PeerRate, Time Now);

  /// Determines the cause of the failures since \p Since. For Cause::Origin,
  /// also excludes the origin.
  /// \param PeerRate share of failed requests at the other backend servers.
  Cause findCause(EvidenceKind Kind, Time Since, double PeerRate, Time Now);

  void reset() {
    Requests.clear();
    Excluded.clear();
  }

private:
  struct Request {
    Origin Source;
    bool Failed;
    bool Slow;
    Time At;

    bool isBad(EvidenceKind Kind) const {
      return Kind == EvidenceKind::Errors ? Failed : Failed || Slow;
    }
  };
  struct Counts {
    unsigned Count = 0;
    unsigned Bad = 0;
  };

  /// Counts of requests from one origin and from all other origins.
  struct OriginSplit {
    std::string Origin;
    Counts Suspect;
    Counts Others;
    /// Share of the stored requests that come from other origins.
    double OtherShare = 0;
  };
  /// Splits the requests since \p Since by \p Origin or, if null, by the origin
  /// with the most failures.
  OriginSplit split(EvidenceKind Kind, std::size_t Dimension, Time Since,
                    const std::string *Origin) const;
  static double score(const OriginSplit &S, double PeerRate);
  static Cause classify(const OriginSplit &S, double PeerRate);
  void liftExclusions(double PeerRate);

  std::deque<Request> Requests;
  struct Exclusion {
    EvidenceKind Kind;
    Time Since;
    Time Until;
  };
  /// Exclusions by dimension and origin.
  std::map<std::pair<std::size_t, std::string>, Exclusion> Excluded;
};

} // namespace teaselhitch::detail

#endif
