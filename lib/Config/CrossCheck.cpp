#include "Located.h"

#include <algorithm>
#include <unordered_map>

namespace teaselhitch::detail {

namespace {

std::string locationText(const SourceLocation &Location) {
  return Location.File + ":" + std::to_string(Location.Line) + ":" +
         std::to_string(Location.Column);
}

/// The first object with each name.
template <typename T>
using Index = std::unordered_map<std::string, const Located<T> *>;

/// Indexes the objects of a kind by name and reports duplicate names.
template <typename T>
Index<T> indexObjects(const char *Kind, const std::vector<Located<T>> &Objects,
                      std::vector<Diagnostic> &Diagnostics) {
  Index<T> ByName;
  for (const Located<T> &Object : Objects) {
    if (Object.Object.Name.empty())
      continue;
    auto [It, Inserted] = ByName.emplace(Object.Object.Name.str(), &Object);
    if (!Inserted)
      Diagnostics.push_back(
          makeDiagnostic(Object.keyLocation("name"),
                         std::string("duplicate ") + Kind + " '" + It->first +
                             "', first defined at " +
                             locationText(It->second->keyLocation("name"))));
  }
  return ByName;
}

template <typename T>
std::vector<std::string> sortedNames(const Index<T> &ByName) {
  std::vector<std::string> Names;
  for (const auto &[Name, Unused] : ByName)
    Names.push_back(Name);
  std::sort(Names.begin(), Names.end());
  return Names;
}

/// Reports a reference to an undefined object.
template <typename ToT, typename FromT>
void checkReference(const char *Key, const std::string &Name,
                    const Index<ToT> &ByName, const char *Kind,
                    const Located<FromT> &From,
                    std::vector<Diagnostic> &Diagnostics) {
  if (Name.empty() || ByName.count(Name) != 0)
    return;
  Diagnostics.push_back(
      makeDiagnostic(From.keyLocation(Key),
                     std::string("unknown ") + Key + " '" + Name + "' in " +
                         Kind + " '" + From.Object.Name.str() + "'" +
                         suggestName(Name, sortedNames(ByName))));
}

/// Reports services without a group, and floors above the total expected size
/// of the groups.
void checkServices(const LocatedSet &Set, const Index<Service> &Services,
                   std::vector<Diagnostic> &Diagnostics) {
  struct Total {
    std::uint64_t Size = 0;
    bool Known = true;
  };
  std::unordered_map<std::string, Total> Totals;
  for (const Located<Group> &G : Set.Groups) {
    Total &T = Totals[G.Object.Service.str()];
    T.Size += G.Object.ExpectedSize;
    T.Known = T.Known && !G.HasError;
  }
  for (const auto &[Name, S] : Services) {
    auto It = Totals.find(Name);
    if (It == Totals.end()) {
      Diagnostics.push_back(makeDiagnostic(
          S->keyLocation("name"), "service '" + Name + "' has no group"));
      continue;
    }
    if (S->HasError || !It->second.Known || S->Object.Floor <= It->second.Size)
      continue;
    Diagnostics.push_back(makeDiagnostic(
        S->keyLocation("floor"),
        "floor " + std::to_string(S->Object.Floor) + " of service '" + Name +
            "' is above the " + std::to_string(It->second.Size) +
            " backend servers that its groups expect"));
  }
}

/// Reports rules that match the same requests, and rules that are both paid and
/// idempotent.
void checkRules(const std::vector<Located<Rule>> &Rules,
                std::vector<Diagnostic> &Diagnostics) {
  std::unordered_map<std::string, const Located<Rule> *> ByMatch;
  for (const Located<Rule> &R : Rules) {
    if (R.HasError)
      continue;
    const Rule &Object = R.Object;
    std::string Name = "rule '" + Object.Name.str() + "'";
    if (Object.Paid && Object.Idempotent)
      Diagnostics.push_back(makeDiagnostic(
          R.keyLocation("paid"), Name + " is paid and idempotent, but a paid "
                                        "request must not run twice"));
    auto [It, Inserted] = ByMatch.emplace(
        Object.Method + " " + Object.Host + Object.PathPrefix, &R);
    if (!Inserted)
      Diagnostics.push_back(makeDiagnostic(
          R.keyLocation("path_prefix"),
          Name + " has the same method" +
              (Object.Host.empty() ? "" : ", host") +
              " and path prefix as rule '" + It->second->Object.Name.str() +
              "' at " + locationText(It->second->keyLocation("path_prefix"))));
  }
}

/// Reports digests of keys that two organisations list. The message does not
/// contain the digest.
void checkKeys(const std::vector<Located<Organisation>> &Organisations,
               std::vector<Diagnostic> &Diagnostics) {
  std::unordered_map<std::string, const Located<Organisation> *> ByDigest;
  for (const Located<Organisation> &O : Organisations)
    for (const std::string &Digest : O.Object.KeyDigests) {
      auto [It, Inserted] = ByDigest.emplace(Digest, &O);
      if (!Inserted)
        Diagnostics.push_back(makeDiagnostic(
            O.keyLocation("key_digests"),
            "organisation '" + O.Object.Name.str() +
                "' has a key that organisation '" +
                It->second->Object.Name.str() + "' at " +
                locationText(It->second->keyLocation("key_digests")) +
                " has as well"));
    }
}

void checkLimits(const std::vector<Located<Limit>> &Limits,
                 std::vector<Diagnostic> &Diagnostics) {
  std::unordered_map<std::string, const Located<Limit> *> ByService;
  for (const Located<Limit> &L : Limits) {
    const std::string &Service = L.Object.Service.str();
    if (Service.empty())
      continue;
    auto [It, Inserted] = ByService.emplace(Service, &L);
    if (!Inserted)
      Diagnostics.push_back(makeDiagnostic(
          L.keyLocation("service"),
          "limit '" + L.Object.Name.str() + "' is the second for service '" +
              Service + "', the first is '" + It->second->Object.Name.str() +
              "' at " + locationText(It->second->keyLocation("service"))));
  }
}

/// Reports all listeners after the first: one set of limits applies to all
/// callers of a node.
void checkListeners(const std::vector<Located<Listener>> &Listeners,
                    std::vector<Diagnostic> &Diagnostics) {
  for (std::size_t I = 1; I < Listeners.size(); ++I)
    Diagnostics.push_back(makeDiagnostic(
        Listeners[I].keyLocation("name"),
        "listener '" + Listeners[I].Object.Name.str() +
            "' is the second, the first is '" +
            Listeners.front().Object.Name.str() + "' at " +
            locationText(Listeners.front().keyLocation("name"))));
}

} // namespace

void crossCheck(const LocatedSet &Set, std::vector<Diagnostic> &Diagnostics) {
  Index<Service> Services = indexObjects("service", Set.Services, Diagnostics);
  Index<Group> Groups = indexObjects("group", Set.Groups, Diagnostics);
  indexObjects("rule", Set.Rules, Diagnostics);
  indexObjects("organisation", Set.Organisations, Diagnostics);
  indexObjects("limit", Set.Limits, Diagnostics);
  checkRules(Set.Rules, Diagnostics);
  checkKeys(Set.Organisations, Diagnostics);
  checkLimits(Set.Limits, Diagnostics);
  checkListeners(Set.Listeners, Diagnostics);
  if (Set.Incomplete)
    return;
  for (const Located<Group> &G : Set.Groups)
    checkReference("service", G.Object.Service.str(), Services, "group", G,
                   Diagnostics);
  for (const Located<Rule> &R : Set.Rules) {
    checkReference("group", R.Object.Group.str(), Groups, "rule", R,
                   Diagnostics);
    for (const WeightedGroup &Share : R.Object.Split)
      checkReference("split", Share.Group.str(), Groups, "rule", R,
                     Diagnostics);
  }
  for (const Located<Limit> &L : Set.Limits)
    checkReference("service", L.Object.Service.str(), Services, "limit", L,
                   Diagnostics);
  checkServices(Set, Services, Diagnostics);
}

} // namespace teaselhitch::detail
