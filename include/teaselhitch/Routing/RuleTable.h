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

/// A group and the objects that it refers to.
struct Destination {
  const Group *TargetGroup = nullptr;
  const Service *TargetService = nullptr;
  /// Never null; the default limit if the service has none.
  const Limit *ServiceLimit = nullptr;
  /// Weight relative to the other destinations of the rule.
  std::uint32_t Weight = 1;
};

/// A rule and one of its destinations.
struct Route {
  const Rule *MatchedRule = nullptr;
  Destination Dest;
};

/// A rule and its destinations, of which there is at least one.
struct MatchedRule {
  const Rule *Object = nullptr;
  std::vector<Destination> Destinations;

  /// Chooses a destination by weight.
  /// \param Draw uniformly distributed number, at least 0 and less than 1.
  Route choose(double Draw) const;
};

/// An index of the objects of one configuration.
class RuleTable {
public:
  /// \param Config a validated configuration; the table shares its ownership.
  explicit RuleTable(std::shared_ptr<const ActiveConfig> Config);

  /// Returns the rule for a request, or null. Rules for the host take
  /// precedence over rules without a host. Among them the longest path prefix
  /// wins; for equal prefixes, a rule with a method takes precedence over one
  /// without.
  /// \param Host in lower case, without the port.
  /// \param Path the path without the query.
  const MatchedRule *match(std::string_view Method, std::string_view Host,
                           std::string_view Path) const;

  /// Returns true if the organisation may send requests. If the configuration
  /// lists no organisations, every organisation may.
  bool isKnownOrganisation(const OrganisationName &Name) const;

  /// Returns true if callers must send the key of an organisation, unless the
  /// rule of the request is public.
  bool requiresCredentials() const { return RequiresCredentials; }

  /// Returns the organisation that has the key with this SHA-256 digest, or
  /// null. Returns null for all keys if no credentials are required.
  const Organisation *findByKeyDigest(std::string_view Digest) const;

  const Service *service(const ServiceName &Name) const;

  std::uint64_t version() const { return Config->Version; }

private:
  /// Rules by path prefix; for each prefix, rules with a method come first.
  using PrefixMap = std::unordered_map<std::string, std::vector<MatchedRule>>;

  std::vector<Destination> destinations(const Rule &R) const;
  static const MatchedRule *matchIn(const PrefixMap &ByPrefix,
                                    std::string_view Method,
                                    std::string_view Path);

  std::shared_ptr<const ActiveConfig> Config;
  Limit DefaultLimit;
  std::map<ServiceName, const Limit *> Limits;
  bool RequiresCredentials = false;
  /// Organisations by the digests of their keys. The digests are stored in
  /// Config.
  std::unordered_map<std::string_view, const Organisation *> ByKeyDigest;
  /// Rules by host; rules without a host are stored under the empty string.
  std::map<std::string, PrefixMap, std::less<>> ByHost;
};

/// Returns true if the group includes this backend server.
bool selects(const Group &G, const BackendServerRecord &Server);

} // namespace teaselhitch

#endif
