#include "teaselhitch/Routing/RuleTable.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Finds an object by name in a sorted vector.
template <typename ObjectT, typename NameT>
const ObjectT *findByName(const std::vector<ObjectT> &Objects,
                          const NameT &Name) {
  auto It = std::lower_bound(
      Objects.begin(), Objects.end(), Name,
      [](const ObjectT &O, const NameT &N) { return (O.Name) < N; });
  if (It == Objects.end() || It->Name != Name)
    return nullptr;
  return &*It;
}

const MatchedRule *findByMethod(const std::vector<MatchedRule> &Rules,
                                std::string_view Method) {
  for (const MatchedRule &R : Rules)
    if (R.Object->Method.empty() || R.Object->Method == Method)
      return &R;
  return nullptr;
}

} // namespace

Route MatchedRule::choose(double Draw) const {
  double Sum = 0;
  for (const Destination &D : Destinations)
    Sum += D.Weight;
  double Remaining = Draw * Sum;
  for (const Destination &D : Destinations) {
    if (Remaining < D.Weight)
      return {Object, D};
    Remaining -= D.Weight;
  }
  return {Object, Destinations.back()};
}

RuleTable::RuleTable(std::shared_ptr<const ActiveConfig> Active)
    : Config(std::move(Active)) {
  for (const Limit &L : Config->Objects.Limits)
    Limits[L.Service] = &L;
  for (const Rule &R : Config->Objects.Rules) {
    MatchedRule Matched{&R, destinations(R)};
    if (!Matched.Destinations.empty())
      ByHost[R.Host][R.PathPrefix].push_back(std::move(Matched));
  }
  const std::vector<Listener> &Listeners = Config->Objects.Listeners;
  RequiresCredentials =
      !Listeners.empty() && Listeners.front().RequiresCredentials;
  if (RequiresCredentials)
    for (const Organisation &O : Config->Objects.Organisations)
      for (const std::string &Digest : O.KeyDigests)
        ByKeyDigest.emplace(Digest, &O);
  for (auto &[Host, ByPrefix] : ByHost)
    for (auto &[Prefix, Rules] : ByPrefix)
      std::stable_sort(Rules.begin(), Rules.end(),
                       [](const MatchedRule &A, const MatchedRule &B) {
                         return A.Object->Method > B.Object->Method;
                       });
}

std::vector<Destination> RuleTable::destinations(const Rule &R) const {
  std::vector<WeightedGroup> Shares = R.Split;
  if (Shares.empty())
    Shares.push_back({R.Group, 1});
  std::vector<Destination> Found;
  for (const WeightedGroup &Share : Shares) {
    const Group *G = findByName(Config->Objects.Groups, Share.Group);
    if (!G)
      continue;
    auto It = Limits.find(G->Service);
    const Limit *L = It == Limits.end() ? &DefaultLimit : It->second;
    Found.push_back({G, service(G->Service), L, Share.Weight});
  }
  return Found;
}

const MatchedRule *RuleTable::match(std::string_view Method,
                                    std::string_view Host,
                                    std::string_view Path) const {
  auto It = ByHost.find(Host);
  if (It != ByHost.end())
    if (const MatchedRule *Found = matchIn(It->second, Method, Path))
      return Found;
  auto AnyHost = ByHost.find(std::string_view());
  if (AnyHost == ByHost.end() || Host.empty())
    return nullptr;
  return matchIn(AnyHost->second, Method, Path);
}

/// Looks up the whole path, then its prefixes that end with or before a slash,
/// from the longest to the shortest.
const MatchedRule *RuleTable::matchIn(const PrefixMap &ByPrefix,
                                      std::string_view Method,
                                      std::string_view Path) {
  std::string Prefix(Path);
  while (true) {
    auto It = ByPrefix.find(Prefix);
    if (It != ByPrefix.end())
      if (const MatchedRule *Found = findByMethod(It->second, Method))
        return Found;
    if (Prefix.empty())
      return nullptr;
    if (Prefix.back() == '/') {
      Prefix.pop_back();
      continue;
    }
    std::size_t Slash = Prefix.rfind('/');
    if (Slash == std::string::npos)
      return nullptr;
    Prefix.resize(Slash + 1);
  }
}

bool RuleTable::isKnownOrganisation(const OrganisationName &Name) const {
  const auto &Organisations = Config->Objects.Organisations;
  return Organisations.empty() || findByName(Organisations, Name) != nullptr;
}

const Organisation *RuleTable::findByKeyDigest(std::string_view Digest) const {
  auto It = ByKeyDigest.find(Digest);
  return It == ByKeyDigest.end() ? nullptr : It->second;
}

const Service *RuleTable::service(const ServiceName &Name) const {
  return findByName(Config->Objects.Services, Name);
}

bool selects(const Group &G, const BackendServerRecord &Server) {
  if (Server.Service != G.Service)
    return false;
  if (!G.Label.empty() && G.Label != Server.Label)
    return false;
  return G.Domains.empty() || std::find(G.Domains.begin(), G.Domains.end(),
                                        Server.Domain) != G.Domains.end();
}

} // namespace teaselhitch
