#ifndef TEASELHITCH_MODEL_NAMES_H
#define TEASELHITCH_MODEL_NAMES_H

/// \file
/// Names of the things that the fleet consists of.

#include "teaselhitch/Support/Name.h"

namespace teaselhitch {

/// A process of the system, one on each instance.
using NodeName = Name<struct NodeTag>;
/// A set of instances that fail together, such as a data centre.
using FailureDomain = Name<struct FailureDomainTag>;
/// A set of failure domains that are close to each other.
using RegionName = Name<struct RegionTag>;
using ServiceName = Name<struct ServiceTag>;
/// A backend server; unique within its node.
using BackendServerName = Name<struct BackendServerTag>;
using GroupName = Name<struct GroupTag>;
using RuleName = Name<struct RuleTag>;
using LimitName = Name<struct LimitTag>;
using ListenerName = Name<struct ListenerTag>;
/// A set of callers that share limits.
using OrganisationName = Name<struct OrganisationTag>;

/// Identifies a backend server in the whole fleet.
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
