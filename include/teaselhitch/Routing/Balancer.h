#ifndef TEASELHITCH_ROUTING_BALANCER_H
#define TEASELHITCH_ROUTING_BALANCER_H

/// \file
/// Balancers choose the backend server for an attempt. They are plug-ins.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Random.h"
#include "teaselhitch/Support/Registry.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace teaselhitch {

/// Distance from an entry to a backend server.
enum class Distance : std::uint8_t {
  OwnInstance,
  OwnDomain,
  OtherDomain,
  /// In a domain of FleetView::RemoteDomains.
  RemoteDomain,
};

/// A backend server that may be chosen, with the data that the entry has about
/// it.
struct Candidate {
  const BackendServerRecord *Server = nullptr;
  Distance ServerDistance = Distance::OtherDomain;
  /// Requests in progress, as estimated by the entry.
  double InProgress = 0;
  /// Requests queued at its guard, as last reported.
  double Waiting = 0;
  /// Estimated probability that the backend server is failing, 0 to 1.
  double Risk = 0;
  /// Recent run time in milliseconds; 0 if unknown.
  double RunTimeMs = 0;
  /// Share of recent attempts from this entry that failed on the path to the
  /// guard, 0 to 1.
  double PathFailures = 0;
};

class Balancer {
public:
  virtual ~Balancer() = default;

  /// Returns the index of the chosen candidate, or std::nullopt if there are no
  /// candidates.
  virtual std::optional<std::size_t>
  choose(const std::vector<Candidate> &Candidates, RandomSource &Random) = 0;
};

using BalancerRegistry = Registry<Balancer>;

} // namespace teaselhitch

#endif
