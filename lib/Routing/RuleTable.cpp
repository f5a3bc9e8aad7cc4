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

/// "/a/b/" becomes "/a/b" and "/" becomes "".
std::string_view withoutTrailingSlash(std::string_view Path) {
  while (!Path.empty() && Path.back() == '/')
    Path.remove_suffix(1);
  return Path;
}

} // namespace

RuleTable::RuleTable(std::shared_ptr<const ActiveConfig> Active)
    : Config(std::move(Active)) {
  const ObjectSet &Objects = Config->Objects;
  std::map<ServiceName, const Limit *> Limits;
  for (const Limit &L : Objects.Limits)
    Limits[L.Service] = &L;
  for (const Rule &R : Objects.Rules) {
    const Group *G = findByName(Objects.Groups, R.Group);
    if (!G)
      continue;
    auto It = Limits.find(G->Service);
    const Limit *L = It == Limits.end() ? &DefaultLimit : It->second;
    std::string Prefix(withoutTrailingSlash(R.PathPrefix));
    ByPrefix[Prefix].push_back(Route{&R, G, service(G->Service), L});
  }
  for (auto &[Prefix, Routes] : ByPrefix)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const Route &A, const Route &B) {
                       return A.MatchedRule->Method > B.MatchedRule->Method;
                     });
}

const Route *RuleTable::match(std::string_view Method,
                              std::string_view Path) const {
  std::string Prefix(withoutTrailingSlash(Path));
  while (true) {
    auto It = ByPrefix.find(Prefix);
    if (It != ByPrefix.end())
      for (const Route &R : It->second)
        if (R.MatchedRule->Method.empty() || R.MatchedRule->Method == Method)
          return &R;
    std::size_t Slash = Prefix.rfind('/');
    if (Slash == std::string::npos)
      return nullptr;
    Prefix.resize(Slash);
  }
}

bool RuleTable::knowsOrganisation(const OrganisationName &Name) const {
  const auto &Organisations = Config->Objects.Organisations;
  return Organisations.empty() || findByName(Organisations, Name) != nullptr;
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
