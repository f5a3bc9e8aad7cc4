#ifndef TEASELHITCH_ROUTING_RULETABLE_H
#define TEASELHITCH_ROUTING_RULETABLE_H

/// \file
/// Finds the rule, group, service and limits for a request.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Model/Records.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace teaselhitch {

/// A rule with the objects that it refers to.
struct Route {
  const Rule *MatchedRule = nullptr;
  const Group *Target = nullptr;
  const Service *TargetService = nullptr;
  /// Never null; the default limit if the service has none.
  const Limit *ServiceLimit = nullptr;
};

/// An index over the objects of one configuration.
class RuleTable {
public:
  /// \param Config a checked set; the table shares its ownership.
  explicit RuleTable(std::shared_ptr<const ActiveConfig> Config);

  /// The route for a request, or null. The longest prefix of whole path
  /// segments wins; at equal length a rule with a method goes before one
  /// without. \param Path the path without the query.
  const Route *match(std::string_view Method, std::string_view Path) const;

  /// True if the organisation may send requests. Every organisation may if the
  /// set names none.
  bool knowsOrganisation(const OrganisationName &Name) const;

  const Service *service(const ServiceName &Name) const;

  std::uint64_t version() const { return Config->Version; }

private:
  std::shared_ptr<const ActiveConfig> Config;
  Limit DefaultLimit;
  /// Routes by prefix, those with a method first.
  std::unordered_map<std::string, std::vector<Route>> ByPrefix;
};

/// True if the group takes this backend server.
bool selects(const Group &G, const BackendServerRecord &Server);

} // namespace teaselhitch

#endif
