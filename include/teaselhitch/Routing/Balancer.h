#ifndef TEASELHITCH_ROUTING_BALANCER_H
#define TEASELHITCH_ROUTING_BALANCER_H

/// \file
/// Chooses a backend server for an attempt. Balancers are plug-ins.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Random.h"
#include "teaselhitch/Support/Registry.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace teaselhitch {

/// How far away a backend server is.
enum class Distance : std::uint8_t { OwnInstance, OwnDomain, OtherDomain };

/// A backend server that may be chosen, with what the entry knows of it.
struct Candidate {
  const BackendServerRecord *Server = nullptr;
  Distance Away = Distance::OtherDomain;
  /// Requests in progress, estimated by the entry.
  double InProgress = 0;
  /// Requests that wait at its guard, as last reported.
  double Waiting = 0;
  /// Estimated probability that it is failing, 0 to 1.
  double Risk = 0;
  /// Recent run time in milliseconds; 0 if unknown.
  double RunTimeMs = 0;
  /// Share of recent attempts from this entry that failed on the way, 0 to 1.
  double PathFailures = 0;
};

class Balancer {
public:
  virtual ~Balancer() = default;

  /// The index of the chosen candidate, or nothing if there is none.
  virtual std::optional<std::size_t>
  choose(const std::vector<Candidate> &Candidates, RandomSource &Random) = 0;
};

using BalancerRegistry = Registry<Balancer>;

} // namespace teaselhitch

#endif
