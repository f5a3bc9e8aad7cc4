#ifndef TEASELHITCH_TOOLS_BENCH_SYNTHETICSET_H
#define TEASELHITCH_TOOLS_BENCH_SYNTHETICSET_H

/// \file
/// Creates configuration objects and fleet views of a given size for
/// measurements.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Model/Records.h"

#include <cstddef>
#include <memory>
#include <string>

namespace teaselhitch::bench {

struct SyntheticSize {
  std::size_t Nodes = 0;
  std::size_t Servers = 0;
  std::size_t Services = 0;
  std::size_t Rules = 0;
  std::size_t Organisations = 0;

  /// Returns the target size of docs/CAPACITY.md, multiplied by \p Share.
  static SyntheticSize target(double Share);
};

ServiceName serviceName(std::size_t Index);
OrganisationName organisationName(std::size_t Index);
/// Returns a path that rule Index matches.
std::string rulePath(std::size_t Index);

/// Creates a valid object set in which each service has one group and an equal
/// share of the rules. All rules are idempotent.
ObjectSet makeObjects(const SyntheticSize &Size);

/// Creates a view of ready backend servers, evenly distributed over the
/// services, the nodes and 14 failure domains.
std::shared_ptr<const FleetView> makeView(const SyntheticSize &Size);

} // namespace teaselhitch::bench

#endif
