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

/// A group with the objects that it refers to.
struct Destination {
  const Group *Target = nullptr;
  const Service *TargetService = nullptr;
  /// Never null; the default limit if the service has none.
  const Limit *ServiceLimit = nullptr;
  /// Relative to the other destinations of the rule.
  std::uint32_t Weight = 1;
};

/// A rule with one of its destinations.
struct Route {
  const Rule *MatchedRule = nullptr;
  Destination To;
};

/// A rule with its destinations, at least one.
struct MatchedRule {
  const Rule *Object = nullptr;
  std::vector<Destination> Destinations;

  /// The destination for a request. \param Draw from 0 up to 1, evenly
  /// distributed.
  Route choose(double Draw) const;
};

/// An index over the objects of one configuration.
class RuleTable {
public:
  /// \param Config a checked set; the table shares its ownership.
  explicit RuleTable(std::shared_ptr<const ActiveConfig> Config);

  /// The rule for a request, or null. Rules for the host go before rules
  /// without a host; then the longest prefix wins; at equal length a rule with
  /// a method goes before one without. \param Host in lower case, without the
  /// port. \param Path the path without the query.
  const MatchedRule *match(std::string_view Method, std::string_view Host,
                           std::string_view Path) const;

  /// True if the organisation may send requests. Every organisation may if the
  /// set names none.
  bool knowsOrganisation(const OrganisationName &Name) const;

  const Service *service(const ServiceName &Name) const;

  std::uint64_t version() const { return Config->Version; }

private:
  /// Rules by prefix, those with a method first.
  using PrefixMap = std::unordered_map<std::string, std::vector<MatchedRule>>;

  std::vector<Destination> destinations(const Rule &R) const;
  static const MatchedRule *matchIn(const PrefixMap &ByPrefix,
                                    std::string_view Method,
                                    std::string_view Path);

  std::shared_ptr<const ActiveConfig> Config;
  Limit DefaultLimit;
  std::map<ServiceName, const Limit *> Limits;
  /// Rules by host; those without a host under the empty text.
  std::map<std::string, PrefixMap, std::less<>> ByHost;
};

/// True if the group takes this backend server.
bool selects(const Group &G, const BackendServerRecord &Server);

} // namespace teaselhitch

#endif
