#ifndef TEASELHITCH_TOOLS_BENCH_SYNTHETICSET_H
#define TEASELHITCH_TOOLS_BENCH_SYNTHETICSET_H

/// \file
/// Objects and fleet views of a given size, for measurements.

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

  /// A share of the target size of docs/CAPACITY.md.
  static SyntheticSize target(double Share);
};

ServiceName serviceName(std::size_t Index);
OrganisationName organisationName(std::size_t Index);
/// Path that rule Index matches.
std::string rulePath(std::size_t Index);

/// A checked set in which each service has one group and an equal share of the
/// rules; all rules are idempotent.
ObjectSet makeObjects(const SyntheticSize &Size);

/// Ready backend servers, spread over the services, nodes and 14 domains.
std::shared_ptr<const FleetView> makeView(const SyntheticSize &Size);

} // namespace teaselhitch::bench

#endif
