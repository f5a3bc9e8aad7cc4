#ifndef TEASELHITCH_LIB_MEMBERSHIP_DOMAINDISTANCE_H
#define TEASELHITCH_LIB_MEMBERSHIP_DOMAINDISTANCE_H

/// \file
/// Round trips to the failure domains, and which domains are remote.

#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Support/Clock.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace teaselhitch {

/// Decides which failure domains are remote from the round trips of probes.
class DomainDistance {
public:
  /// \param Limit round trip from which a domain is remote; with 0, no domain
  /// is.
  DomainDistance(FailureDomain Own, Duration Limit)
      : Own(std::move(Own)), Limit(Limit) {}

  /// Records one round trip; returns true if the set of remote domains changed.
  bool record(const FailureDomain &Domain, Duration RoundTrip);

  const std::set<FailureDomain> &remote() const { return Remote; }
  bool isRemote(const FailureDomain &Domain) const {
    return !Remote.empty() && Remote.count(Domain) != 0;
  }

private:
  /// The minimum over this many samples. Delays of a busy process only lengthen
  /// a round trip, so the minimum is close to the latency of the path.
  static constexpr std::size_t SampleCount = 16;
  /// Fewer samples may all have been delayed, mostly while a process starts.
  static constexpr std::size_t MinSamples = 6;
  /// The same if the two smallest samples differ by at most MaxSpread: delays
  /// of a busy process vary by more than that, the latency of a path by less.
  /// A domain gets a probe every three seconds from each node, so this saves
  /// nine seconds.
  static constexpr std::size_t MinConsistentSamples = 3;
  static constexpr Duration MaxSpread = Duration(1);

  struct Samples {
    std::array<Duration, SampleCount> RoundTrips{};
    std::size_t Count = 0;
  };

  /// Returns the smallest round trip to a domain, or nothing if there are no
  /// samples.
  std::optional<Duration> minimum(const FailureDomain &Domain) const;
  /// Returns true if the samples suffice to decide about a domain.
  static bool isDecisive(const Samples &S);
  bool evaluate(const FailureDomain &Domain);

  FailureDomain Own;
  Duration Limit;
  std::map<FailureDomain, Samples> ByDomain;
  std::set<FailureDomain> Remote;
};

} // namespace teaselhitch

#endif
