#ifndef TEASELHITCH_MODEL_NAMES_H
#define TEASELHITCH_MODEL_NAMES_H

/// \file
/// Strongly typed names of the entities of a fleet.

#include "teaselhitch/Support/Name.h"

namespace teaselhitch {

/// Names a node: the process of the system, one on each instance.
using NodeName = Name<struct NodeTag>;
/// Names a set of instances that may fail together, such as a data centre.
using FailureDomain = Name<struct FailureDomainTag>;
/// Names a set of failure domains that are close to each other in the network.
using RegionName = Name<struct RegionTag>;
using ServiceName = Name<struct ServiceTag>;
/// Names a backend server; unique only within its node.
using BackendServerName = Name<struct BackendServerTag>;
using GroupName = Name<struct GroupTag>;
using RuleName = Name<struct RuleTag>;
using LimitName = Name<struct LimitTag>;
using ListenerName = Name<struct ListenerTag>;
/// Names a set of callers that share limits.
using OrganisationName = Name<struct OrganisationTag>;

/// Identifies a backend server uniquely within the fleet.
struct BackendServerId {
  NodeName Node;
  BackendServerName Name;

  auto operator<=>(const BackendServerId &) const = default;
};

} // namespace teaselhitch

template <> struct std::hash<teaselhitch::BackendServerId> {
  std::size_t
  operator()(const teaselhitch::BackendServerId &Id) const noexcept {
    return std::hash<std::string>()(Id.Node.str()) * 31 +
           std::hash<std::string>()(Id.Name.str());
  }
};

#endif
